//! The authority's file of accounts, S-expressions, checked whole: each complaint names its line and column.
//!
//! ```text
//! (accounts
//!   (number 12)
//!   (account acme (standing closing) (from 1764633600 s) (reason "unpaid since October"))
//!   (account fyn (standing warned)))
//! ```
//!
//! A file is a whole: an account that an earlier file named and this one doesn't is good again.

use crate::registry::digest_of;
use crate::{AccountStatus, Change, Micros};
use serde::{Deserialize, Serialize};
use shorepath_sexp::{Form, ParseErrors};
use std::collections::BTreeMap;

/// Accounts that one file may name.
pub const MAX_ACCOUNTS: usize = 4_096;
/// The greatest number that a file may have. One that stands higher could hardly be followed by another.
pub const MAX_NUMBER: u64 = 1_000_000_000_000;
/// Bytes of an account's name at most.
pub const MAX_NAME_BYTES: usize = 128;
/// Bytes of a reason at most.
pub const MAX_REASON_BYTES: usize = 200;
/// The last time that a file may name, in seconds of Unix time (the year 5138).
const MAX_FROM_SECONDS: u64 = 100_000_000_000;

/// A file that can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum FileError {
    /// Something in it is wrong.
    #[error("{0}")]
    #[diagnostic(help(
        "nothing of the file was taken: mend the lines named, give it a code anew, and hand it to any node"
    ))]
    Invalid(#[from] ParseErrors),
}

/// What one file of the authority says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AccountsFile {
    /// Its number; greater ones are newer.
    pub number: u64,
    /// Where each account stands that it names.
    pub changes: BTreeMap<String, Change>,
    /// Tells two files of one number from each other (SipHash-1-3 of what they say; no guard against forgery).
    pub digest: u64,
}

impl AccountsFile {
    /// A file of that number that says that.
    pub fn new(number: u64, changes: BTreeMap<String, Change>) -> AccountsFile {
        let digest = digest_of(number, &changes);
        AccountsFile { number, changes, digest }
    }
}

/// Read the authority's file, whose code the caller has verified. `file` is its name, for complaints.
///
/// # Errors
/// All faults of the text, with their places.
pub fn read(file: &str, text: &str) -> Result<AccountsFile, FileError> {
    Ok(shorepath_sexp::read(file, text, "accounts", accounts_file)?)
}

/// The standing of that name.
fn standing(name: &str) -> AccountStatus {
    match name {
        "reopened" => AccountStatus::Reopened,
        "warned" => AccountStatus::Warned,
        "closing" => AccountStatus::Closing,
        "closed" => AccountStatus::Closed,
        _ => AccountStatus::Good,
    }
}

/// Unix time in seconds: greater than the times that [`Form::time`] reads.
fn start_time(form: &Form) -> Micros {
    let read = |f: &Form| {
        let parts = f.rest();
        let seconds = match parts.as_slice() {
            [number, unit] if unit == "s" => number.parse::<u64>().ok().filter(|n| *n <= MAX_FROM_SECONDS),
            _ => None,
        };
        if seconds.is_none() {
            f.add_error(format!(
                "(from) needs Unix time in whole seconds, 0 to {MAX_FROM_SECONDS}: (from 1764633600 s)"
            ));
        }
        seconds
    };
    form.given("from", read).map_or(0, |s| Micros::try_from(s).unwrap_or(0).saturating_mul(1_000_000))
}

/// Whether words of that fit everywhere.
pub(crate) fn is_valid_text(text: &str, most: usize) -> bool {
    text.len() <= most && !text.chars().any(char::is_control)
}

fn accounts_file(f: &Form) -> AccountsFile {
    if f.many("number").is_empty() {
        f.add_error("a file of accounts needs a (number N) that is greater than that of the one before");
    }
    let number = f.count("number", 0, 1..=MAX_NUMBER);
    let mut changes = BTreeMap::new();
    let mut lines = BTreeMap::new();
    for form in f.many("account") {
        let name = form.symbol("an account's name");
        if !is_valid_text(&name, MAX_NAME_BYTES) || name.is_empty() {
            form.add_error(format!(
                "an account's name has 1 to {MAX_NAME_BYTES} bytes and no control characters"
            ));
        }
        if form.many("standing").is_empty() {
            form.add_error(format!("{name} needs a (standing WORD)"));
        }
        let names = ["good", "warned", "closing", "closed", "reopened"];
        let standing = standing(&form.choice("standing", "good", &names));
        let (from, reason) = (start_time(&form), form.text("reason", ""));
        if !is_valid_text(&reason, MAX_REASON_BYTES) {
            form.add_error(format!(
                "a reason has {MAX_REASON_BYTES} bytes at most and no control characters"
            ));
        }
        form.finish();
        let line = form.place().line;
        if let Some(first) = lines.insert(name.clone(), line) {
            form.add_error(format!("the account {name} is given twice; first in line {first}"));
        }
        changes.insert(name, Change { number, standing, from, reason });
    }
    if changes.len() > MAX_ACCOUNTS {
        f.add_error(format!("{} accounts; {MAX_ACCOUNTS} at most", changes.len()));
    }
    AccountsFile::new(number, changes)
}
