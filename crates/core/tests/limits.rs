//! The module is read aloud in reviews: its length and width are limited.

#[test]
fn module_is_short_and_narrow() {
    let text = include_str!("../src/balance.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1070, "{lines} lines");
    let wide: Vec<_> = text.lines().filter(|l| l.chars().count() > 110).collect();
    assert!(wide.is_empty(), "too wide: {wide:?}");
    assert!(text.lines().take(3).any(|l| l.contains("src/api.rs")));
}
