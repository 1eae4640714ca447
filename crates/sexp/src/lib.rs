//! Parses files of S-expressions whose lists begin with a symbol: `(length 30 s)`.
//!
//! All errors of a file are reported at once: a getter that finds an error adds a [`ParseError`] with its
//! position and returns the default value. [`read`] returns the parsed value only if there was no error.
//! Content of the file that no getter requested is an error, too.

pub mod splice;

use lexpr::datum::Ref;
use lexpr::Value;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::ops::RangeInclusive;

/// A position in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Number of the line, from 1.
    pub line: usize,
    /// Column in bytes, from 1.
    pub column: usize,
}

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ParseError {
    /// Position of the list, symbol or number that is wrong.
    pub place: Place,
    /// Description of the error, with a hint if there is one.
    pub text: String,
}

/// All errors of a file, in the order of their positions.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct ParseErrors {
    /// Name of the file as given to [`read`]; each line of the error message begins with it.
    pub file: String,
    /// The errors, at least one.
    pub list: Vec<ParseError>,
}

impl fmt::Display for ParseErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.list.iter().enumerate() {
            let separator = if index > 0 { "\n" } else { "" };
            write!(
                f,
                "{separator}{}:{}:{}: {}",
                self.file, error.place.line, error.place.column, error.text
            )?;
        }
        Ok(())
    }
}

/// Units of time and their lengths in microseconds.
const UNITS: [(&str, f64); 5] = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("min", 60e6), ("h", 3600e6)];

/// Maximum absolute value of a number. Numbers above it are rejected, since they would lose precision as integer microseconds.
const MAX_NUMBER: f64 = 1e15;

type ErrorList = RefCell<Vec<ParseError>>;

/// Parses a text that consists of one list whose first symbol is `head`; `build` converts the list to the result. `file` is
/// the name of the file for errors.
///
/// # Errors
/// All errors of the text.
pub fn read<T>(
    file: &str,
    text: &str,
    head: &'static str,
    build: impl FnOnce(&Form) -> T,
) -> Result<T, ParseErrors> {
    let errors = ErrorList::default();
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
                let text = format!("the text can't be parsed: {}", without_position(&e.to_string()));
                return Err(fail(vec![ParseError { place, text }]));
            }
        }
    }
    let mut forms = data.iter().map(|d| Form::new(d.as_ref(), &errors));
    let built = match forms.next() {
        None => {
            let text = format!("the file is empty; it must contain ({head} ...)");
            return Err(fail(vec![ParseError { place: start, text }]));
        }
        Some(Some(form)) if form.head == head => {
            let built = build(&form);
            form.finish();
            Some(built)
        }
        Some(form) => {
            if let Some(form) = form {
                form.add_error(format!("expected ({head} ...), found ({})", form.head));
            }
            None
        }
    };
    for form in forms.flatten() {
        form.add_error(format!("a second list; the file holds one, ({head} ...)"));
    }
    let list = errors.into_inner();
    match built {
        Some(built) if list.is_empty() => Ok(built),
        _ => Err(fail(list)),
    }
}

/// Returns an error text of the parser without its position, which is reported separately.
fn without_position(error: &str) -> &str {
    error.split(" at line ").next().unwrap_or(error)
}

/// A list that begins with a symbol. Its getters mark the items that they read; [`Form::finish`] reports the others as errors.
#[derive(Debug)]
pub struct Form<'a> {
    head: String,
    place: Place,
    items: Vec<(Ref<'a>, Cell<bool>)>,
    requested: RefCell<Vec<&'static str>>,
    errors: &'a ErrorList,
}

fn place(datum: &Ref) -> Place {
    let start = datum.span().start();
    Place { line: start.line(), column: start.column() + 1 }
}

fn abbreviate(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() > 40 {
        format!("{}...", text.chars().take(40).collect::<String>())
    } else {
        text
    }
}

/// Formats a duration in microseconds in the largest unit that divides it evenly.
pub fn format_duration(micros: i64) -> String {
    let divides_evenly = |u: &&(&str, f64)| micros != 0 && micros as f64 % u.1 == 0.0;
    let (unit, size) = UNITS.iter().rev().find(divides_evenly).unwrap_or(&UNITS[0]);
    format!("{} {unit}", micros as f64 / size)
}

fn symbol_text(value: &Value) -> Option<&str> {
    value.as_symbol().or(value.as_str())
}

impl<'a> Form<'a> {
    fn new(datum: Ref<'a>, errors: &'a ErrorList) -> Option<Form<'a>> {
        let at = place(&datum);
        let reject = |problem: &str| {
            let text = format!("{} {problem}", abbreviate(datum.value()));
            errors.borrow_mut().push(ParseError { place: at, text });
            None
        };
        if !datum.value().is_list() {
            return reject("is not a list of the form (symbol ...)");
        }
        let mut items: Vec<Ref> = datum.list_iter().into_iter().flatten().collect();
        let Some(head) = items.first().and_then(|i| symbol_text(i.value())).map(str::to_string) else {
            return reject("does not begin with a symbol");
        };
        let items = items.drain(1..).map(|i| (i, Cell::new(false))).collect();
        Some(Form { head, place: at, items, requested: RefCell::default(), errors })
    }

    /// Returns the first symbol of the list.
    pub fn head(&self) -> &str {
        &self.head
    }

    /// Returns the line and column at which the list begins.
    pub fn place(&self) -> Place {
        self.place
    }

    /// Adds an error at the position of the list.
    pub fn add_error(&self, text: impl Into<String>) {
        self.add_error_at(self.place, text);
    }

    fn add_error_at(&self, place: Place, text: impl Into<String>) {
        self.errors.borrow_mut().push(ParseError { place, text: text.into() });
    }

    /// Returns the inner lists that begin with the symbol `name`.
    pub fn many(&self, name: &'static str) -> Vec<Form<'a>> {
        self.requested.borrow_mut().push(name);
        let is_named = |value: &Value| value.as_pair().and_then(|(car, _)| symbol_text(car)) == Some(name);
        let found = self.items.iter().filter(|(i, _)| is_named(i.value()));
        found
            .filter_map(|(item, used)| {
                used.set(true);
                Form::new(*item, self.errors)
            })
            .collect()
    }

    /// Returns the inner list that begins with the symbol `name`, or `None` if there is none. A second one is an error.
    pub fn one(&self, name: &'static str) -> Option<Form<'a>> {
        let mut found = self.many(name).into_iter();
        let first = found.next()?;
        if let Some(second) = found.next() {
            second.add_error(format!("({name}) is given twice; first in line {}", first.place.line));
        }
        Some(first)
    }

    /// Returns the next item that is not a list and was not read yet.
    fn next_atom(&self) -> Option<&Ref<'a>> {
        let unread = self.items.iter().find(|(i, used)| !used.get() && !i.value().is_list());
        unread.map(|(item, used)| {
            used.set(true);
            item
        })
    }

    /// Returns the next symbol or string of the list. Adds an error and returns an empty string if there is none; `description` is
    /// the expected item in the error text.
    pub fn symbol(&self, description: &str) -> String {
        match self.next_atom() {
            Some(item) => match symbol_text(item.value()) {
                Some(symbol) => symbol.to_string(),
                None => {
                    self.add_error_at(
                        place(item),
                        format!("{} is not a symbol or string for {description}", abbreviate(item.value())),
                    );
                    String::new()
                }
            },
            None => {
                self.add_error(format!("({}) needs {description}", self.head));
                String::new()
            }
        }
    }

    /// Returns all remaining symbols and strings of the list; see [`Form::symbol`].
    pub fn symbols(&self, description: &str) -> Vec<String> {
        let mut all = Vec::new();
        while self.items.iter().any(|(i, used)| !used.get() && !i.value().is_list()) {
            all.push(self.symbol(description));
        }
        all
    }

    /// Returns the next number of the list. Adds an error and returns `None` if it is missing or out of range.
    fn next_number(&self, description: &str, range: &RangeInclusive<f64>) -> Option<f64> {
        let Some(item) = self.next_atom() else {
            self.add_error(format!("({}) needs {description}", self.head));
            return None;
        };
        let Some(number) = item.value().as_f64().filter(|n| n.is_finite() && n.abs() <= MAX_NUMBER) else {
            self.add_error_at(
                place(item),
                format!("{} is no number for {description}", abbreviate(item.value())),
            );
            return None;
        };
        if !range.contains(&number) {
            let text = format!(
                "{number} is out of range: {description} must be from {} to {}",
                range.start(),
                range.end()
            );
            self.add_error_at(place(item), text);
            return None;
        }
        Some(number)
    }

    /// Returns all items that were not read yet, as S-expressions.
    pub fn rest(&self) -> Vec<String> {
        let left = self.items.iter().filter(|(_, used)| !used.get());
        left.map(|(item, used)| {
            used.set(true);
            item.value().to_string()
        })
        .collect()
    }

    /// Returns the number of items that are not lists and were not read yet.
    fn remaining_count(&self) -> usize {
        self.items.iter().filter(|(i, used)| !used.get() && !i.value().is_list()).count()
    }

    /// Returns the remaining numbers of the list. A count outside `min` to `max` and a number out of range are errors.
    pub fn numbers(&self, min: usize, max: usize, range: RangeInclusive<f64>) -> Vec<f64> {
        let (count, description) = (self.remaining_count(), format!("({})", self.head));
        if count < min || count > max {
            let expected = if min == max { format!("{min}") } else { format!("{min} to {max}") };
            self.add_error(format!("{description} must have {expected} number(s), but has {count}"));
        }
        (0..count).filter_map(|_| self.next_number(&description, &range)).collect()
    }

    /// Returns the remaining durations of the list in microseconds. Their unit comes last: `(lag 1 3 s)`. A missing unit, a count
    /// outside `min` to `max` and a duration out of range are errors.
    pub fn times(&self, min: usize, max: usize, range: RangeInclusive<i64>) -> Vec<i64> {
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
        let found = self.numbers(min, max, 0.0..=MAX_NUMBER / unit);
        let micros: Vec<i64> = found.iter().map(|n| (n * unit).round() as i64).collect();
        for t in micros.iter().filter(|t| !range.contains(t)) {
            let (low, high) = (format_duration(*range.start()), format_duration(*range.end()));
            let text = format!("({}) must be from {low} to {high}, not {}", self.head, format_duration(*t));
            self.add_error(text);
        }
        micros
    }

    /// Returns the number in the inner list `name`, or the default without such a list.
    pub fn number(&self, name: &'static str, default: f64, range: RangeInclusive<f64>) -> f64 {
        self.given(name, |f| f.numbers(1, 1, range).first().copied()).unwrap_or(default)
    }

    /// Returns the integer in the inner list `name`, or the default without such a list.
    pub fn count(&self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let found = self.given(name, |f| {
            let n = f.numbers(1, 1, *range.start() as f64..=*range.end() as f64).first().copied()?;
            if n.fract() != 0.0 {
                f.add_error(format!("({name}) must be a whole number, not {n}"));
            }
            Some(n as u64)
        });
        found.unwrap_or(default)
    }

    /// Returns the duration in the inner list `name`, in microseconds, or the default without such a list.
    pub fn time(&self, name: &'static str, default: i64, range: RangeInclusive<i64>) -> i64 {
        self.given(name, |f| f.times(1, 1, range).first().copied()).unwrap_or(default)
    }

    /// Returns the bounds of the range of durations in the inner list `name`, in microseconds, or the default without such a list.
    /// A single duration is both bounds.
    pub fn time_range(
        &self,
        name: &'static str,
        default: (i64, i64),
        range: RangeInclusive<i64>,
    ) -> (i64, i64) {
        self.given(name, |f| f.bounds(&f.times(1, 2, range))).unwrap_or(default)
    }

    /// Returns the bounds of the range of numbers in the inner list `name`, or the default without such a list. A single number is
    /// both bounds.
    pub fn number_range(
        &self,
        name: &'static str,
        default: (f64, f64),
        range: RangeInclusive<f64>,
    ) -> (f64, f64) {
        self.given(name, |f| f.bounds(&f.numbers(1, 2, range))).unwrap_or(default)
    }

    fn bounds<T: PartialOrd + Copy + fmt::Display>(&self, found: &[T]) -> Option<(T, T)> {
        let (low, high) = (*found.first()?, *found.last()?);
        if low > high {
            self.add_error(format!("({}) must have the lower bound first, then the upper bound", self.head));
        }
        Some((low, high))
    }

    /// Returns the symbol in the inner list `name`, or the default without such a list. A symbol that is not among the choices is
    /// an error.
    pub fn choice(&self, name: &'static str, default: &str, choices: &[&str]) -> String {
        let found = self.given(name, |f| {
            let (at, symbol) = (f.items.first().map_or(f.place, |i| place(&i.0)), f.symbol("a symbol"));
            if !symbol.is_empty() && !choices.contains(&symbol.as_str()) {
                f.add_error_at(at, unknown(&symbol, &format!("({name})"), choices));
            }
            Some(symbol)
        });
        found.unwrap_or_else(|| default.to_string())
    }

    /// Returns the symbol or string in the inner list `name`, or the default without such a list.
    pub fn text(&self, name: &'static str, default: &str) -> String {
        self.given(name, |f| Some(f.symbol("a symbol or string"))).unwrap_or_else(|| default.to_string())
    }

    /// Returns whether the inner list `name` has the symbol `yes`, or the default without such a list. A symbol other than `yes` and
    /// `no` is an error.
    pub fn flag(&self, name: &'static str, default: bool) -> bool {
        self.choice(name, if default { "yes" } else { "no" }, &["yes", "no"]) == "yes"
    }

    /// Returns the value that `read` parses from the inner list `name`, or `None` without such a list. Items that `read` did not
    /// request are errors.
    pub fn given<T>(&self, name: &'static str, read: impl FnOnce(&Form<'a>) -> Option<T>) -> Option<T> {
        let form = self.one(name)?;
        let found = read(&form);
        form.finish();
        found
    }

    /// Adds an error for each item that was not requested.
    pub fn finish(&self) {
        let requested = self.requested.borrow();
        for (item, _) in self.items.iter().filter(|(_, used)| !used.get()) {
            let text = match item.value().as_pair().and_then(|(car, _)| symbol_text(car)) {
                Some(symbol) => unknown(symbol, &format!("({})", self.head), &requested),
                None => format!("{} is not expected in ({}); remove it", abbreviate(item.value()), self.head),
            };
            self.add_error_at(place(item), text);
        }
    }
}

/// Returns the error text for an unknown symbol, with the most similar known one.
fn unknown(symbol: &str, place: &str, known: &[&str]) -> String {
    let near = known.iter().map(|k| (strsim::damerau_levenshtein(k, symbol), *k)).min();
    let hint = match near {
        Some((distance, k)) if distance <= 2.max(k.len() / 3) => format!("; did you mean {k}?"),
        _ if known.is_empty() => String::new(),
        _ => format!("; known: {}", known.join(", ")),
    };
    format!("{symbol} is not known in {place}{hint}")
}
