//! `policy` in `deploy/balancer.toml` lists every file that decides, and none of them does I/O, reads a clock or draws randomness
//! of its own.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Files of the package that declare its interface and decide nothing.
const INTERFACE: &[&str] = &[
    "lib.rs",
    "action.rs",
    "endpoint.rs",
    "event.rs",
    "ids.rs",
    "names.rs",
    "settings.rs",
    "settings_object.rs",
];
/// What a file that decides has no business with. Random numbers come from the generator that the caller has seeded.
const FORBIDDEN: &[&str] = &[
    "std::env",
    "std::fs",
    "std::io",
    "std::net",
    "std::process",
    "std::sync",
    "std::thread",
    "std::time",
    "Instant",
    "SystemTime",
    "tokio",
    "getrandom",
    "thread_rng",
    "RandomState",
    "println!",
    "eprintln!",
    "unsafe",
    "extern",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).ancestors().nth(2).unwrap().to_path_buf()
}

fn sources(folder: &Path, all: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, all);
        } else {
            all.push(path);
        }
    }
}

/// The files that `policy` lists, as paths from the root.
fn listed() -> BTreeSet<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let start = text.find("policy = [").unwrap();
    let list = &text[start..start + text[start..].find(']').unwrap()];
    list.split('"').skip(1).step_by(2).map(str::to_string).collect()
}

#[test]
fn policy_lists_every_file_that_decides() {
    let mut all = Vec::new();
    sources(&root().join("crates/scheduler/src"), &mut all);
    let name = |path: &PathBuf| path.strip_prefix(root()).unwrap().to_str().unwrap().to_string();
    let is_interface =
        |path: &String| INTERFACE.iter().any(|file| path == &format!("crates/scheduler/src/{file}"));
    let deciding: BTreeSet<String> = all.iter().map(name).filter(|path| !is_interface(path)).collect();
    assert_eq!(listed(), deciding, "policy in deploy/balancer.toml");
}

#[test]
fn files_that_decide_do_no_io_and_read_no_clock() {
    for file in listed() {
        let text = std::fs::read_to_string(root().join(&file)).unwrap();
        for (number, line) in text.lines().enumerate() {
            let code = line.split("//").next().unwrap();
            let found = FORBIDDEN.iter().find(|word| code.contains(**word));
            assert!(found.is_none(), "{file}:{}: {}", number + 1, found.unwrap());
        }
        // The one generator is made from the caller's seed.
        let generators = text.matches("Rand64::new").count();
        assert!(
            generators <= usize::from(file.ends_with("src/scheduler.rs")),
            "{file}: a generator of its own"
        );
    }
}
