//! Reads files of S-expressions whose lists begin with a word: `(length 30 s)`.
//!
//! A file is checked whole: a getter that finds something wrong notes a [`ParseError`] with its place and
//! returns the usual value, so that one reading names every fault. [`read`] returns what was built only
//! where nothing was noted. What a file holds beyond what was asked for is a fault, too.

pub mod splice;

use lexpr::datum::Ref;
use lexpr::Value;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::ops::RangeInclusive;

/// Where something stands in a file; both count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column, in bytes.
    pub column: usize,
}

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ParseError {
    /// Where.
    pub place: Place,
    /// What is wrong, and a hint where there is one.
    pub text: String,
}

/// All that is wrong with a file, in the order of its places.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ParseErrors {
    /// The file's name.
    pub file: String,
    /// At least one.
    pub list: Vec<ParseError>,
}

impl fmt::Display for ParseErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (k, c) in self.list.iter().enumerate() {
            let line = if k > 0 { "\n" } else { "" };
            write!(f, "{line}{}:{}:{}: {}", self.file, c.place.line, c.place.column, c.text)?;
        }
        Ok(())
    }
}

/// Units of time, in microseconds.
const UNITS: [(&str, f64); 5] = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3600e6)];

/// Numbers above this are refused: they would lose digits as whole microseconds.
const MOST: f64 = 1e15;

type Notes = RefCell<Vec<ParseError>>;

/// Read a text whose one list begins with `head`, and build from it.
///
/// # Errors
/// Everything that is wrong with the text, when anything is.
pub fn read<T>(
    file: &str,
    text: &str,
    head: &'static str,
    build: impl FnOnce(&Form) -> T,
) -> Result<T, ParseErrors> {
    let notes = Notes::default();
    let fail = |mut list: Vec<ParseError>| {
        list.sort();
        list.dedup();
        ParseErrors { file: file.to_string(), list }
    };
    let start = Place { line: 1, column: 1 };
    let mut data = Vec::new();
    for datum in lexpr::Parser::from_str(text).datum_iter() {
        match datum {
            Ok(datum) => data.push(datum),
            Err(e) => {
                let place =
                    e.location().map_or(start, |l| Place { line: l.line(), column: l.column().max(1) });
                let text = format!("can't be read: {}", plain(&e.to_string()));
                return Err(fail(vec![ParseError { place, text }]));
            }
        }
    }
    let mut forms = data.iter().map(|d| Form::new(d.as_ref(), &notes));
    let built = match forms.next() {
        None => {
            let text = format!("is empty; it needs ({head} ...)");
            return Err(fail(vec![ParseError { place: start, text }]));
        }
        Some(Some(form)) if form.head == head => {
            let built = build(&form);
            form.finish();
            Some(built)
        }
        Some(form) => {
            if let Some(form) = form {
                form.add_error(format!("({}) stands where ({head} ...) is needed", form.head));
            }
            None
        }
    };
    for form in forms.flatten() {
        form.add_error(format!("a second list; the file holds one, ({head} ...)"));
    }
    let list = notes.into_inner();
    match built {
        Some(built) if list.is_empty() => Ok(built),
        _ => Err(fail(list)),
    }
}

/// The reader's words without the place, which is told apart.
fn plain(error: &str) -> &str {
    error.split(" at line ").next().unwrap_or(error)
}

/// One list that begins with a word.
#[derive(Debug)]
pub struct Form<'a> {
    head: String,
    place: Place,
    items: Vec<(Ref<'a>, Cell<bool>)>,
    asked: RefCell<Vec<&'static str>>,
    notes: &'a Notes,
}

fn place(of: &Ref) -> Place {
    let start = of.span().start();
    Place { line: start.line(), column: start.column() + 1 }
}

fn show(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() > 40 {
        format!("{}...", text.chars().take(40).collect::<String>())
    } else {
        text
    }
}

/// A time in the greatest unit that leaves it a whole number.
pub fn format_duration(micros: i64) -> String {
    let whole = |u: &&(&str, f64)| micros != 0 && micros as f64 % u.1 == 0.0;
    let (name, size) = UNITS.iter().rev().find(whole).unwrap_or(&UNITS[0]);
    format!("{} {name}", micros as f64 / size)
}

fn symbol_text(value: &Value) -> Option<&str> {
    value.as_symbol().or(value.as_str())
}

impl<'a> Form<'a> {
    fn new(datum: Ref<'a>, notes: &'a Notes) -> Option<Form<'a>> {
        let at = place(&datum);
        let bad = |text: &str| {
            let text = format!("{} {text}", show(datum.value()));
            notes.borrow_mut().push(ParseError { place: at, text });
            None
        };
        if !datum.value().is_list() {
            return bad("is no list of the form (word ...)");
        }
        let mut items: Vec<Ref> = datum.list_iter().into_iter().flatten().collect();
        let Some(head) = items.first().and_then(|i| symbol_text(i.value())).map(str::to_string) else {
            return bad("does not begin with a word");
        };
        let items = items.drain(1..).map(|i| (i, Cell::new(false))).collect();
        Some(Form { head, place: at, items, asked: RefCell::default(), notes })
    }

    /// The word that it begins with.
    pub fn head(&self) -> &str {
        &self.head
    }

    /// Where it stands.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Note a fault of the whole list.
    pub fn add_error(&self, text: impl Into<String>) {
        self.add_error_at(self.place, text);
    }

    fn add_error_at(&self, place: Place, text: impl Into<String>) {
        self.notes.borrow_mut().push(ParseError { place, text: text.into() });
    }

    /// The lists in it that begin with that word.
    pub fn many(&self, name: &'static str) -> Vec<Form<'a>> {
        self.asked.borrow_mut().push(name);
        let here = |value: &Value| value.as_pair().and_then(|(car, _)| symbol_text(car)) == Some(name);
        let found = self.items.iter().filter(|(i, _)| here(i.value()));
        found
            .filter_map(|(item, used)| {
                used.set(true);
                Form::new(*item, self.notes)
            })
            .collect()
    }

    /// The one list in it that begins with that word, if there is one.
    pub fn one(&self, name: &'static str) -> Option<Form<'a>> {
        let mut found = self.many(name).into_iter();
        let first = found.next()?;
        if let Some(again) = found.next() {
            again.add_error(format!("({name}) is given twice; first in line {}", first.place.line));
        }
        Some(first)
    }

    /// The next of its own words and numbers that was not read yet.
    fn next(&self) -> Option<&Ref<'a>> {
        let free = self.items.iter().find(|(i, used)| !used.get() && !i.value().is_list());
        free.map(|(item, used)| {
            used.set(true);
            item
        })
    }

    /// Its next own word, or the usual one with a complaint where there is none.
    pub fn symbol(&self, what: &str) -> String {
        match self.next() {
            Some(item) => match symbol_text(item.value()) {
                Some(word) => word.to_string(),
                None => {
                    self.add_error_at(place(item), format!("{} is no word for {what}", show(item.value())));
                    String::new()
                }
            },
            None => {
                self.add_error(format!("({}) needs {what}", self.head));
                String::new()
            }
        }
    }

    /// All its own words that are left.
    pub fn symbols(&self, what: &str) -> Vec<String> {
        let mut all = Vec::new();
        while self.items.iter().any(|(i, used)| !used.get() && !i.value().is_list()) {
            all.push(self.symbol(what));
        }
        all
    }

    /// Its next own number, in the range.
    fn amount(&self, what: &str, range: &RangeInclusive<f64>) -> Option<f64> {
        let Some(item) = self.next() else {
            self.add_error(format!("({}) needs {what}", self.head));
            return None;
        };
        let Some(number) = item.value().as_f64().filter(|n| n.is_finite() && n.abs() <= MOST) else {
            self.add_error_at(place(item), format!("{} is no number for {what}", show(item.value())));
            return None;
        };
        if !range.contains(&number) {
            let text =
                format!("{number} is out of range: {what} lies in {} to {}", range.start(), range.end());
            self.add_error_at(place(item), text);
            return None;
        }
        Some(number)
    }

    /// Everything in it that was not read yet, each as it is written.
    pub fn rest(&self) -> Vec<String> {
        let left = self.items.iter().filter(|(_, used)| !used.get());
        left.map(|(item, used)| {
            used.set(true);
            item.value().to_string()
        })
        .collect()
    }

    /// How many words and numbers of its own are left.
    fn left(&self) -> usize {
        self.items.iter().filter(|(i, used)| !used.get() && !i.value().is_list()).count()
    }

    /// Its own numbers that are left, `least` to `most` of them, each in the range.
    pub fn numbers(&self, least: usize, most: usize, range: RangeInclusive<f64>) -> Vec<f64> {
        let (count, what) = (self.left(), format!("({})", self.head));
        if count < least || count > most {
            let wanted = if least == most { format!("{least}") } else { format!("{least} to {most}") };
            self.add_error(format!("{what} needs {wanted} figures and has {count}"));
        }
        (0..count).filter_map(|_| self.amount(&what, &range)).collect()
    }

    /// Its own times, `least` to `most` of them and then their unit: `(lag 1 3 s)`, in microseconds.
    pub fn times(&self, least: usize, most: usize, range: RangeInclusive<i64>) -> Vec<i64> {
        let names = || UNITS.map(|u| u.0).join(", ");
        let last = self.items.iter().rev().find(|(i, used)| !used.get() && !i.value().is_list());
        let unit = last.and_then(|(i, _)| symbol_text(i.value()));
        let Some(&(_, unit)) = UNITS.iter().find(|u| Some(u.0) == unit) else {
            let at = last.map_or(self.place, |(i, _)| place(i));
            self.add_error_at(at, format!("({}) needs a unit of time at its end: {}", self.head, names()));
            self.items.iter().for_each(|(_, used)| used.set(true));
            return Vec::new();
        };
        if let Some((_, used)) = last {
            used.set(true);
        }
        let found = self.numbers(least, most, 0.0..=MOST / unit);
        let micros: Vec<i64> = found.iter().map(|n| (n * unit).round() as i64).collect();
        for t in micros.iter().filter(|t| !range.contains(t)) {
            let (low, high) = (format_duration(*range.start()), format_duration(*range.end()));
            let text = format!("({}) lies in {low} to {high}, not {}", self.head, format_duration(*t));
            self.add_error(text);
        }
        micros
    }

    /// The number of the list in it with that name.
    pub fn number(&self, name: &'static str, usual: f64, range: RangeInclusive<f64>) -> f64 {
        self.given(name, |f| f.numbers(1, 1, range).first().copied()).unwrap_or(usual)
    }

    /// The whole number of the list in it with that name.
    pub fn count(&self, name: &'static str, usual: u64, range: RangeInclusive<u64>) -> u64 {
        let found = self.given(name, |f| {
            let n = f.numbers(1, 1, *range.start() as f64..=*range.end() as f64).first().copied()?;
            if n.fract() != 0.0 {
                f.add_error(format!("({name}) is a whole number, not {n}"));
            }
            Some(n as u64)
        });
        found.unwrap_or(usual)
    }

    /// The time of the list in it with that name, in microseconds.
    pub fn time(&self, name: &'static str, usual: i64, range: RangeInclusive<i64>) -> i64 {
        self.given(name, |f| f.times(1, 1, range).first().copied()).unwrap_or(usual)
    }

    /// The range of times of the list in it with that name: one figure stands for both ends.
    pub fn time_range(
        &self,
        name: &'static str,
        usual: (i64, i64),
        range: RangeInclusive<i64>,
    ) -> (i64, i64) {
        self.given(name, |f| f.ends(&f.times(1, 2, range))).unwrap_or(usual)
    }

    /// The range of numbers of the list in it with that name: one figure stands for both ends.
    pub fn number_range(
        &self,
        name: &'static str,
        usual: (f64, f64),
        range: RangeInclusive<f64>,
    ) -> (f64, f64) {
        self.given(name, |f| f.ends(&f.numbers(1, 2, range))).unwrap_or(usual)
    }

    fn ends<T: PartialOrd + Copy + fmt::Display>(&self, found: &[T]) -> Option<(T, T)> {
        let (low, high) = (*found.first()?, *found.last()?);
        if low > high {
            self.add_error(format!("({}) begins above its end", self.head));
        }
        Some((low, high))
    }

    /// The word of the list in it with that name, one of those.
    pub fn choice(&self, name: &'static str, usual: &str, among: &[&str]) -> String {
        let found = self.given(name, |f| {
            let (at, word) = (f.items.first().map_or(f.place, |i| place(&i.0)), f.symbol("a word"));
            if !word.is_empty() && !among.contains(&word.as_str()) {
                f.add_error_at(at, unknown(&word, &format!("({name})"), among));
            }
            Some(word)
        });
        found.unwrap_or_else(|| usual.to_string())
    }

    /// The text of the list in it with that name.
    pub fn text(&self, name: &'static str, usual: &str) -> String {
        self.given(name, |f| Some(f.symbol("a word"))).unwrap_or_else(|| usual.to_string())
    }

    /// Whether the list in it with that name says `yes`.
    pub fn flag(&self, name: &'static str, usual: bool) -> bool {
        self.choice(name, if usual { "yes" } else { "no" }, &["yes", "no"]) == "yes"
    }

    /// What `read` makes of the list in it with that name, which must then hold nothing more.
    pub fn given<T>(&self, name: &'static str, read: impl FnOnce(&Form<'a>) -> Option<T>) -> Option<T> {
        let form = self.one(name)?;
        let found = read(&form);
        form.finish();
        found
    }

    /// Note everything in it that nobody asked for.
    pub fn finish(&self) {
        let asked = self.asked.borrow();
        for (item, _) in self.items.iter().filter(|(_, used)| !used.get()) {
            let text = match item.value().as_pair().and_then(|(car, _)| symbol_text(car)) {
                Some(word) => unknown(word, &format!("({})", self.head), &asked),
                None => format!("{} is too much for ({})", show(item.value()), self.head),
            };
            self.add_error_at(place(item), text);
        }
    }
}

/// That a word is not known there, with the nearest that is.
fn unknown(word: &str, place: &str, known: &[&str]) -> String {
    let near = known.iter().map(|k| (strsim::damerau_levenshtein(k, word), *k)).min();
    let hint = match near {
        Some((far, k)) if far <= 2.max(k.len() / 3) => format!("; did you mean {k}?"),
        _ if known.is_empty() => String::new(),
        _ => format!("; known: {}", known.join(", ")),
    };
    format!("{word} is not known in {place}{hint}")
}
