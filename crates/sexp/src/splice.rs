//! Replaces one value in a text of S-expressions and keeps the rest of the text, with its comments and layout.

use lexpr::datum::Ref;

/// Why a value could not be replaced.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpliceError {
    /// The text is not a valid S-expression.
    #[error("the text can't be read: {0}")]
    Unreadable(String),
    /// The path is empty, or leads to a list that does not exist and can't be added.
    #[error("there is no ({0} ...) to change")]
    NoSuchList(String),
}

/// Returns the byte offset of a position of the parser.
fn offset(text: &str, position: lexpr::parse::Position) -> usize {
    let before: usize =
        text.split_inclusive('\n').take(position.line().saturating_sub(1)).map(str::len).sum();
    (before + position.column()).min(text.len())
}

fn symbol_text(value: &lexpr::Value) -> Option<&str> {
    value.as_symbol().or(value.as_str())
}

/// Returns whether a list begins with the symbol `name`; a name `a:b` matches a list that begins with `a b`.
fn is_named(list: &Ref, name: &str) -> bool {
    let (name, second) = name.split_once(':').map_or((name, None), |(n, s)| (n, Some(s)));
    let mut items = list.list_iter().into_iter().flatten();
    let first = items.next().is_some_and(|item| symbol_text(item.value()) == Some(name));
    first && second.is_none_or(|s| items.next().is_some_and(|item| symbol_text(item.value()) == Some(s)))
}

/// Replaces the content of the list at a path, except for its name, and returns the new text. `path` has the names of the lists
/// inside the outermost one, from the outside in: with `["servers", "count"]` and `20`, `(x (servers (count 10)))` becomes
/// `(x (servers (count 20)))`. Missing lists are added. If several lists have the same name, `tenant:b` selects the one that begins
/// with `tenant b`.
///
/// # Errors
/// The text can't be parsed, the path is empty, or a list with a name such as `tenant:b` does not exist.
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
            // The missing lists are inserted before the closing parenthesis of the innermost existing list.
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
    fn set_replaces_one_value_and_keeps_the_rest() {
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
