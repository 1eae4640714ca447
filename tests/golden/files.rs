//! Reading, writing and comparing golden files.

use std::path::PathBuf;

/// A golden file, by its name.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/data").join(name)
}

/// Whether the golden files are to be written anew instead of being compared.
pub fn records() -> bool {
    std::env::var_os("GOLDEN_RECORD").is_some()
}

/// The text of a golden file; where files are recorded it is `found`, which is written to it first.
pub fn text(name: &str, found: &str) -> String {
    if records() {
        std::fs::write(path(name), found).unwrap();
    }
    std::fs::read_to_string(path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// The golden file says exactly that, line by line.
pub fn matches(name: &str, found: &str) {
    let golden = text(name, found);
    for (number, (golden, found)) in golden.lines().zip(found.lines()).enumerate() {
        assert_eq!(found, golden, "{name}, line {}", number + 1);
    }
    assert_eq!(found.lines().count(), golden.lines().count(), "{name}: the number of lines");
}

/// Bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes that hexadecimal digits stand for.
pub fn unhex(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// The text with each number that stands after one of these names masked: times and what is drawn by chance.
pub fn masked(text: &str, names: &[&str]) -> String {
    let mask = |message: &str| {
        let name = names.iter().find(|name| message.starts_with(**name));
        name.map_or_else(|| message.to_string(), |name| format!("{name}*"))
    };
    let line = |line: &str| line.split(' ').map(mask).collect::<Vec<_>>().join(" ");
    text.lines().map(line).collect::<Vec<_>>().join("\n")
}
