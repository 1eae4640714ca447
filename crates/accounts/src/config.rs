//! Parses the operators' accounts file, an S-expression. Each error names its line and column.
//!
//! ```text
//! (accounts
//!   (number 12)
//!   (account acme (standing closing) (from 1764633600 s) (reason "unpaid since October"))
//!   (account fyn (standing warned)))
//! ```
//!
//! A file is complete: an account that an earlier file lists and this one doesn't is in good standing again.

use crate::registry::digest_of;
use crate::{AccountStatus, Change, Micros};
use serde::{Deserialize, Serialize};
use shorepath_sexp::{Form, ParseErrors};
use std::collections::BTreeMap;

/// Most accounts that one file may list.
pub const MAX_ACCOUNTS: usize = 4_096;
/// The greatest number of a file. Without a limit, one mistyped number could leave no greater one for the next file.
pub const MAX_NUMBER: u64 = 1_000_000_000_000;
/// Longest account name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Longest reason in bytes.
pub const MAX_REASON_BYTES: usize = 200;
/// Latest Unix time that a file may contain, in seconds (the year 5138).
const MAX_FROM_SECONDS: u64 = 100_000_000_000;

/// An accounts file that can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum FileError {
    /// The text has errors, which are listed with their places.
    #[error("{0}")]
    #[diagnostic(help(
        "the file was not applied: correct the listed lines, sign it again and submit it to any node"
    ))]
    Invalid(#[from] ParseErrors),
}

/// The contents of one accounts file.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AccountsFile {
    /// The number of the file; of two files the one with the greater number is newer.
    pub number: u64,
    /// The standing of each listed account, by account.
    pub changes: BTreeMap<String, Change>,
    /// Distinguishes files with the same number (SipHash-1-3 of number and changes, no protection against forgery).
    pub digest: u64,
}

impl AccountsFile {
    /// Creates a file and computes its digest.
    pub fn new(number: u64, changes: BTreeMap<String, Change>) -> AccountsFile {
        let digest = digest_of(number, &changes);
        AccountsFile { number, changes, digest }
    }
}

/// Parses an accounts file whose authentication code the caller has verified. `file` is its name for error messages.
///
/// # Errors
/// Returns all errors in the text, with their places.
pub fn read(file: &str, text: &str) -> Result<AccountsFile, FileError> {
    Ok(shorepath_sexp::read(file, text, "accounts", accounts_file)?)
}

/// Returns the standing with this name, or good standing for any other name.
fn standing_named(name: &str) -> AccountStatus {
    match name {
        "reopened" => AccountStatus::Reopened,
        "warned" => AccountStatus::Warned,
        "closing" => AccountStatus::Closing,
        "closed" => AccountStatus::Closed,
        _ => AccountStatus::Good,
    }
}

/// Reads `(from ...)` as Unix time in seconds, which [`Form::time`] can't represent; 0 where it is missing.
fn start_time(form: &Form) -> Micros {
    let read = |f: &Form| {
        let parts = f.rest();
        let seconds = match parts.as_slice() {
            [number, unit] if unit == "s" => number.parse::<u64>().ok().filter(|n| *n <= MAX_FROM_SECONDS),
            _ => None,
        };
        if seconds.is_none() {
            f.add_error(format!(
                "(from) takes Unix time as an integer of seconds, 0 to {MAX_FROM_SECONDS}, as in (from 1764633600 s)"
            ));
        }
        seconds
    };
    form.given("from", read).map_or(0, |s| Micros::try_from(s).unwrap_or(0).saturating_mul(1_000_000))
}

/// Whether a text has at most `max_bytes` bytes and no control characters, so that it can be sent, stored and logged.
pub(crate) fn is_valid_text(text: &str, max_bytes: usize) -> bool {
    text.len() <= max_bytes && !text.chars().any(char::is_control)
}

fn accounts_file(f: &Form) -> AccountsFile {
    if f.many("number").is_empty() {
        f.add_error("an accounts file needs a (number N) that is greater than the previous file's");
    }
    let number = f.count("number", 0, 1..=MAX_NUMBER);
    let mut changes = BTreeMap::new();
    let mut first_lines = BTreeMap::new();
    for form in f.many("account") {
        let name = form.symbol("an account's name");
        if !is_valid_text(&name, MAX_NAME_BYTES) || name.is_empty() {
            form.add_error(format!(
                "an account name must have 1 to {MAX_NAME_BYTES} bytes and no control characters"
            ));
        }
        if form.many("standing").is_empty() {
            form.add_error(format!("the account {name} has no (standing ...)"));
        }
        let standings = ["good", "warned", "closing", "closed", "reopened"];
        let standing = standing_named(&form.choice("standing", "good", &standings));
        let (from, reason) = (start_time(&form), form.text("reason", ""));
        if !is_valid_text(&reason, MAX_REASON_BYTES) {
            form.add_error(format!(
                "a reason may have at most {MAX_REASON_BYTES} bytes and no control characters"
            ));
        }
        form.finish();
        let line = form.place().line;
        if let Some(first) = first_lines.insert(name.clone(), line) {
            form.add_error(format!("the account {name} is listed twice, first in line {first}"));
        }
        changes.insert(name, Change { number, standing, from, reason });
    }
    if changes.len() > MAX_ACCOUNTS {
        f.add_error(format!("the file lists {} accounts; at most {MAX_ACCOUNTS} are allowed", changes.len()));
    }
    AccountsFile::new(number, changes)
}
