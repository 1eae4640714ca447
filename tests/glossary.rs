//! `docs/glossary.md` against the code: modules that are listed as whole have no retired word.

use std::path::{Path, PathBuf};

/// Words of the earlier house style that name nothing any more.
const RETIRED: &[&str] = &[
    "word",
    "words",
    "say",
    "says",
    "said",
    "saying",
    "hear",
    "hears",
    "heard",
    "tell",
    "tells",
    "told",
    "news",
    "roster",
    "deny",
    "denied",
    "barred",
    "bars",
    "bar",
    "shun",
    "shuns",
    "verdict",
    "ruling",
    "lane",
    "lanes",
    "patience",
    "furnish",
    "retune",
    "retuned",
    "reread",
    "doubt",
    "doubts",
    "blame",
    "purse",
    "purses",
    "decree",
    "faith",
    "seat",
    "divider",
    "dividers",
    "homecoming",
    "homing",
    "homes",
    "lent",
    "lending",
    "seeing",
    "sight",
    "partner",
    "partners",
    "troupe",
    "deed",
    "deeds",
    "door",
    "ending",
    "keeper",
    "shadow",
    "beginning",
    "anew",
    "whom",
    "complaint",
    "complaints",
    "envelope",
    "rig",
    "spell",
    "stand",
    "stands",
    "stood",
    "room",
    "rooms",
    "astray",
    "bunch",
    "bunches",
    "chatter",
    "guests",
    "hardly",
    "lone",
    "luck",
    "patient",
    "rubbish",
    "worth",
    "wholes",
];

/// Texts of the wire, of disks, of settings, of the command line and of the standard library, which keep a retired word.
const KEPT_TEXTS: &[&str] = &[
    "(divider ",
    "\"divider\"",
    "divider.redb",
    "shorepath-divider",
    "(\"room\", ",
    "ErrorKind::PermissionDenied",
    "\"AsBeginning\"",
    "\"its beginning\"",
    "\"what peers said to be taken in\"",
    "\"a word too short for a code\"",
    "\"a word without a code, or of another version\"",
    "\"a word of another fleet\"",
    "\"a word under another key, or changed on its way\"",
    "\"a word of a life that its sender has left behind\"",
    "\"a word that was heard before\"",
    "\"a word too far behind the newest of its sender\"",
    "\"a word of one sender too many\"",
    "\"accounts/purse/\"",
    "\"sites/homes\"",
    "\"homecoming part={part}\\n\"",
    "make room on its disk first\"",
    "\"loss \\\"peers have not told yet\\\"\\n\"",
    "\"list \\\"as a beginning\\\" age_ms={}\\n\"",
    "\"it has said nothing\"",
    "\"entry {} is another one than others were told\"",
    "\"others were told of entry {}, and it ends at {head}: an older disk was put back\"",
    " heard_ms={received_ms}",
    "granted, used, lent and held back",
    "which lists the dividers",
    "; told by {}\\n\"",
    "this divider does not lead: it knows no demands",
    "\"lent\", \"in doubt\"",
    "heard of {} ago",
    "not heard of lately",
    "surely ended: it is not heard of",
    "{} of it lent",
    "for lives that are not heard of",
    "Serve clients until told to stop by SIGTERM or SIGINT",
    "Ask the dividers of a fleet where its budgets are",
    "and say what is wrong with it",
    "\"barred\"",
    "\"denied\"",
    "\"denied: trying again is harmless\"",
    "\"unknown word\"",
    "Words carry a code: changes of their content",
    "accounts, seeing, placements, homes or lending",
    "\"seeing\"",
    "\"homes\"",
    "\"lending\"",
];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn glossary() -> String {
    std::fs::read_to_string(root().join("docs/glossary.md")).unwrap()
}

/// The modules that the page lists as whole.
fn whole_modules() -> Vec<String> {
    let text = glossary();
    let list = text.split("## Modules that are whole").nth(1).unwrap();
    let listed = list.lines().filter_map(|line| line.strip_prefix("- `")?.strip_suffix('`'));
    listed.map(str::to_string).collect()
}

fn sources(path: &Path, all: &mut Vec<PathBuf>) {
    if path.is_dir() {
        std::fs::read_dir(path).unwrap().for_each(|entry| sources(&entry.unwrap().path(), all));
    } else if path.extension().is_some_and(|extension| extension == "rs") {
        all.push(path.to_path_buf());
    }
}

/// The words of a line, also those between underscores and capitals, in small letters.
fn words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut was_small = false;
    for c in line.chars() {
        if !c.is_ascii_alphabetic() || (c.is_ascii_uppercase() && was_small) {
            words.push(String::new());
        }
        if c.is_ascii_alphabetic() {
            words.last_mut().unwrap().push(c.to_ascii_lowercase());
        }
        was_small = c.is_ascii_lowercase();
    }
    words
}

fn retired_word(line: &str) -> Option<String> {
    let line = KEPT_TEXTS.iter().fold(line.to_string(), |line, text| line.replace(text, " "));
    words(&line).into_iter().find(|word| RETIRED.contains(&word.as_str()))
}

#[test]
fn whole_modules_have_no_retired_word() {
    let modules = whole_modules();
    assert!(modules.iter().any(|module| module == "crates/scheduler"), "{modules:?}: the list only grows");
    let mut found = Vec::new();
    for module in modules {
        let mut files = Vec::new();
        let path = root().join(&module);
        sources(if path.join("src").is_dir() { path.join("src") } else { path }.as_path(), &mut files);
        assert!(!files.is_empty(), "{module} has no files");
        for file in files {
            let text = std::fs::read_to_string(&file).unwrap();
            let lines = text.lines().enumerate();
            // Old forms of serialized names stay.
            let lines = lines.filter(|(_, line)| !line.trim_start().starts_with("#[serde("));
            found.extend(lines.filter_map(|(number, line)| {
                retired_word(line).map(|word| format!("{}:{}: {word}", file.display(), number + 1))
            }));
        }
    }
    assert!(found.is_empty(), "retired words:\n{}", found.join("\n"));
}

#[test]
fn words_are_found_inside_identifiers() {
    for line in
        ["fn hear_digest() {", "enum HeardError {", "// what was told", "let SAY = 1;", "Self::sayWord"]
    {
        assert!(retired_word(line).is_some(), "{line}");
    }
    for line in ["(divider d0)", "// purse of accounts/purse/", "heard_ms", "let room = \"room\";"] {
        assert_eq!(retired_word(line).is_some(), line != "(divider d0)", "{line}");
    }
    for line in ["let standing = 1;", "fn forward() {", "struct Password;"] {
        assert_eq!(retired_word(line), None, "{line}");
    }
}

/// Each term has a row of its own, in order.
#[test]
fn terms_are_in_order_and_explained() {
    let text = glossary();
    let rows: Vec<Vec<&str>> = text
        .lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| term") && !line.starts_with("| ---"))
        .map(|line| line.split('|').map(str::trim).collect())
        .collect();
    assert!(rows.len() > 40);
    for row in &rows {
        assert!(row.len() == 6 && !row[2].is_empty(), "{row:?}");
    }
    let terms: Vec<String> = rows.iter().map(|row| row[1].to_lowercase()).collect();
    let mut sorted = terms.clone();
    sorted.sort();
    assert_eq!(terms, sorted);
}
