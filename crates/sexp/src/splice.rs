//! Changing one value in a text of S-expressions, with everything else left as it stands.

use lexpr::datum::Ref;

/// Why a text can't be changed that way.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpliceError {
    /// The text is no list.
    #[error("the text can't be read: {0}")]
    Unreadable(String),
    /// There is no list of that name to go into.
    #[error("there is no ({0} ...) to change")]
    NoSuchList(String),
}

/// Bytes from the start of the text to a place that the reader gives.
fn offset(text: &str, at: lexpr::parse::Position) -> usize {
    let before: usize = text.split_inclusive('\n').take(at.line().saturating_sub(1)).map(str::len).sum();
    (before + at.column()).min(text.len())
}

fn word(value: &lexpr::Value) -> Option<&str> {
    value.as_symbol().or(value.as_str())
}

/// Whether a list begins with that name, or with `NAME:WORD` begins with both.
fn is_named(list: &Ref, name: &str) -> bool {
    let (name, second) = name.split_once(':').map_or((name, None), |(n, s)| (n, Some(s)));
    let mut items = list.list_iter().into_iter().flatten();
    let first = items.next().is_some_and(|i| word(i.value()) == Some(name));
    first && second.is_none_or(|s| items.next().is_some_and(|i| word(i.value()) == Some(s)))
}

/// The text with what follows the name of the list at that path replaced. `path` names lists from the
/// outermost's children inwards: with `["servers", "count"]` and `20`, `(x (servers (count 10)))` becomes
/// `(x (servers (count 20)))`. What is not there is added.
/// Where several lists have one name, `tenant:b` is the one that begins with `tenant b`.
///
/// # Errors
/// [`SpliceError`]: the text can't be read, or the path is empty.
pub fn set(text: &str, path: &[&str], value: &str) -> Result<String, SpliceError> {
    let datum = lexpr::datum::from_str(text).map_err(|e| SpliceError::Unreadable(e.to_string()))?;
    let mut list = datum.as_ref();
    let mut rest = path;
    while let [name, inner @ ..] = rest {
        let found = list.list_iter().into_iter().flatten().find(|i| is_named(i, name));
        let Some(found) = found else {
            if name.contains(':') {
                return Err(SpliceError::NoSuchList(rest.join(" ")));
            }
            // Before the closing bracket of the innermost list that is there.
            let end = offset(text, list.span().end()).saturating_sub(1);
            if !text.is_char_boundary(end) || !text[end..].starts_with(')') {
                return Err(SpliceError::NoSuchList(rest.join(" ")));
            }
            let added =
                rest.iter().rev().fold(value.to_string(), |inside, name| format!("({name} {inside})"));
            return Ok(format!("{} {added}{}", &text[..end], &text[end..]));
        };
        (list, rest) = (found, inner);
    }
    let Some(name) = path.last() else { return Err(SpliceError::NoSuchList(String::new())) };
    let (start, end) = (offset(text, list.span().start()), offset(text, list.span().end()));
    let name = name.replace(':', " ");
    Ok(format!("{}({name} {value}){}", &text[..start], &text[end..]))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_value_changes_and_the_rest_stays() {
        let text = "; a day\n(day (servers (count 10) ; ten\n  (queue 8)) (name \"æ\"))";
        let changed = set(text, &["servers", "count"], "20").unwrap();
        assert_eq!(changed, text.replace("(count 10)", "(count 20)"));
        assert_eq!(set(text, &["name"], "b").unwrap(), text.replace("(name \"æ\")", "(name b)"));
        let two = "(day (tenant a (quota 1)) (tenant b (quota 2)))";
        let changed = set(two, &["tenant:b", "quota"], "9").unwrap();
        assert_eq!(changed, "(day (tenant a (quota 1)) (tenant b (quota 9)))");
        assert_eq!(set(two, &["tenant:b"], "(x)").unwrap(), "(day (tenant a (quota 1)) (tenant b (x)))");
        assert_eq!(set(two, &["tenant:c"], "").unwrap_err(), SpliceError::NoSuchList("tenant:c".into()));
        let added = set(text, &["servers", "cold"], "0.2").unwrap();
        assert_eq!(added, text.replace("(queue 8)", "(queue 8) (cold 0.2)"));
        let both = set(text, &["arrivals", "rate"], "5").unwrap();
        assert_eq!(both, text.replace("(name \"æ\")", "(name \"æ\") (arrivals (rate 5))"));
        assert!(matches!(set("(day", &["a"], "1"), Err(SpliceError::Unreadable(_))));
        assert!(matches!(set("(day)", &[], "1"), Err(SpliceError::NoSuchList(_))));
    }
}
