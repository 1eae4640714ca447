//! Reading, writing and comparing golden files.

use std::path::PathBuf;

/// Returns the path of a golden file.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/data").join(name)
}

/// Returns whether golden files are recorded instead of compared.
pub fn is_recording() -> bool {
    std::env::var_os("GOLDEN_RECORD").is_some()
}

/// Returns the text of a golden file; in recording mode, writes `found` to it first.
pub fn text(name: &str, found: &str) -> String {
    if is_recording() {
        std::fs::write(path(name), found).unwrap();
    }
    std::fs::read_to_string(path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Asserts that the golden file equals `found`, line by line.
pub fn assert_golden(name: &str, found: &str) {
    let golden = text(name, found);
    for (number, (golden, found)) in golden.lines().zip(found.lines()).enumerate() {
        assert_eq!(found, golden, "{name}, line {}", number + 1);
    }
    assert_eq!(found.lines().count(), golden.lines().count(), "{name}: the number of lines");
}

/// Encodes bytes as hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal digits.
pub fn unhex(digits: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Replaces the value after each of these names by `*`, for times and random values.
pub fn masked(text: &str, names: &[&str]) -> String {
    let mask = |field: &str| {
        let name = names.iter().find(|name| field.starts_with(**name));
        name.map_or_else(|| field.to_string(), |name| format!("{name}*"))
    };
    let line = |line: &str| line.split(' ').map(mask).collect::<Vec<_>>().join(" ");
    text.lines().map(line).collect::<Vec<_>>().join("\n")
}
