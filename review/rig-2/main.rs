//! The stand-ins and the checks of the cases of the second review.

mod client;
mod crowd;
mod deployment;
mod discovery;
mod drain;
mod executor;
mod http;
mod node;
mod record;
mod second_copies;
mod settings;
mod slow_list;
mod watchdog;

use record::Record;
use std::process::ExitCode;

/// The result of a case.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    if let ["crowd-member", node] = arguments[..] {
        if let Ok(node) = node.parse() {
            crowd::join_crowd(node);
        }
        return ExitCode::SUCCESS;
    }
    let [case, folder] = arguments[..] else { return ExitCode::from(2) };
    watchdog::start();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&std::path::Path::new(folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    let verdict = match case {
        "crowd" => crowd::run(trouble, &record),
        "drain" => drain::run(trouble, &record),
        "second-copies" => second_copies::run(trouble, &record),
        "slow-list" => slow_list::run(trouble, &record),
        _ => return ExitCode::from(2),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            record.say(&format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
