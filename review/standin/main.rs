//! The stand-ins of the review's cases: `standin CASE FOLDER RECORD`, started from the repository's root.
//!
//! FOLDER is for temporary files. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod gone;
mod memory;
mod peers;
mod platform;
mod settings;

use platform::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What a case needs to run.
pub struct Case {
    pub record: Record,
    /// The repository's root.
    pub root: PathBuf,
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder, record] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::create(Path::new(record));
    let case = Case { record, root: PathBuf::from("."), folder: PathBuf::from(folder), trouble };
    case.record.line(&format!("case {name}, disruption: {}", if trouble { "yes" } else { "no" }));
    let broken = match name.as_str() {
        "memory" => memory::run(&case),
        "gone" => gone::run(&case),
        "settings" => settings::run(&case),
        _ => Err("there is no such case".to_string()),
    };
    match broken {
        Ok(false) => {
            case.record.say("HELD");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            case.record.say("BROKEN");
            ExitCode::from(1)
        }
        Err(reason) => {
            case.record.say(&format!("NOT RUN: {reason}"));
            ExitCode::from(2)
        }
    }
}
