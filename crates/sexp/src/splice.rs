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

fn head(list: &Ref) -> Option<String> {
    let (car, _) = list.value().as_pair()?;
    car.as_symbol().or(car.as_str()).map(str::to_string)
}

/// The text with what follows the name of the list at that path replaced. `path` names lists from the
/// outermost's children inwards: with `["servers", "count"]` and `20`, `(x (servers (count 10)))` becomes
/// `(x (servers (count 20)))`. The last list is added where there is none, and so is what it stands in.
///
/// # Errors
/// [`SpliceError`]: the text can't be read, or the path is empty.
pub fn set(text: &str, path: &[&str], value: &str) -> Result<String, SpliceError> {
    let datum = lexpr::datum::from_str(text).map_err(|e| SpliceError::Unreadable(e.to_string()))?;
    let mut list = datum.as_ref();
    let mut rest = path;
    while let [name, inner @ ..] = rest {
        let found = list.list_iter().into_iter().flatten().find(|i| head(i).as_deref() == Some(name));
        let Some(found) = found else {
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
        let added = set(text, &["servers", "cold"], "0.2").unwrap();
        assert_eq!(added, text.replace("(queue 8)", "(queue 8) (cold 0.2)"));
        let both = set(text, &["arrivals", "rate"], "5").unwrap();
        assert_eq!(both, text.replace("(name \"æ\")", "(name \"æ\") (arrivals (rate 5))"));
        assert!(matches!(set("(day", &["a"], "1"), Err(SpliceError::Unreadable(_))));
        assert!(matches!(set("(day)", &[], "1"), Err(SpliceError::NoSuchList(_))));
    }
}
