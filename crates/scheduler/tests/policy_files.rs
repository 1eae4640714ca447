//! Tests of the source files with scheduling decisions: `policy` in `deploy/balancer.toml` lists all of them,
//! and none does I/O, reads a clock or seeds its own random numbers.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Files that only declare the interface and the settings of the package.
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
/// Names that files with decisions may not use. Their random numbers come from the generator that the caller
/// seeds.
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

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else {
            files.push(path);
        }
    }
}

/// Returns the files that `policy` lists, as paths relative to the root.
fn listed_files() -> BTreeSet<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let start = text.find("policy = [").unwrap();
    let list = &text[start..start + text[start..].find(']').unwrap()];
    list.split('"').skip(1).step_by(2).map(str::to_string).collect()
}

#[test]
fn policy_lists_all_files_with_decisions() {
    let mut files = Vec::new();
    collect_sources(&root().join("crates/scheduler/src"), &mut files);
    let relative_path = |path: &PathBuf| path.strip_prefix(root()).unwrap().to_str().unwrap().to_string();
    let is_interface =
        |path: &String| INTERFACE.iter().any(|file| path == &format!("crates/scheduler/src/{file}"));
    let with_decisions: BTreeSet<String> =
        files.iter().map(relative_path).filter(|path| !is_interface(path)).collect();
    assert_eq!(
        listed_files(),
        with_decisions,
        "`policy` in deploy/balancer.toml must list the files with decisions"
    );
}

#[test]
fn files_with_decisions_use_neither_io_nor_clock() {
    for file in listed_files() {
        let text = std::fs::read_to_string(root().join(&file)).unwrap();
        for (number, line) in text.lines().enumerate() {
            let code = line.split("//").next().unwrap();
            let found = FORBIDDEN.iter().find(|name| code.contains(**name));
            assert!(found.is_none(), "{file}:{}: use of {}", number + 1, found.unwrap());
        }
        // The only generator is the scheduler's, which uses the caller's seed.
        let generators = text.matches("Rand64::new").count();
        assert!(
            generators <= usize::from(file.ends_with("src/scheduler.rs")),
            "{file}: creates a random number generator"
        );
    }
}
