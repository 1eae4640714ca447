//! The authority's file: what is read, and every fault with its place.

use rstest::rstest;
use shorepath_accounts::config::{read, AccountsFile, FileError};
use shorepath_accounts::{AccountStatus, Change};

#[test]
fn a_good_file_is_read() {
    let text = "(accounts (number 12)\n\
        (account acme (standing closing) (from 1764633600 s) (reason \"unpaid since October\"))\n\
        (account fyn (standing warned)))";
    let accounts_file = read("f", text).unwrap();
    let change = |standing, from, reason: &str| Change { number: 12, standing, from, reason: reason.into() };
    let acme = change(AccountStatus::Closing, 1_764_633_600_000_000, "unpaid since October");
    let changes = [("acme".to_string(), acme), ("fyn".to_string(), change(AccountStatus::Warned, 0, ""))];
    assert_eq!(accounts_file, AccountsFile::new(12, changes.into()));
    let other = read("f", &text.replace("closing", "closed")).unwrap();
    assert_ne!(accounts_file.digest, other.digest);
    assert!(read("f", "(accounts (number 13))").unwrap().changes.is_empty());
}

#[rstest]
#[case::numberless("(accounts)", &["1:1: a file of accounts needs a (number N) that is greater than that of the one before"])]
#[case::zero("(accounts (number 0))", &["1:19: 0 is out of range: (number) lies in 1 to 1000000000000"])]
#[case::bare("(accounts (number 1)\n (account a))", &["2:2: a needs a (standing WORD)"])]
#[case::unknown("(accounts (number 1)\n (account a (standing closd)))", &["2:23: closd is not known in (standing); did you mean closed?"])]
#[case::twice("(accounts (number 1) (account a (standing good))\n (account a (standing closed)))", &[
    "2:2: the account a is given twice; first in line 1",
])]
#[case::several("(accounts (number 1)\n (account a (standing closed) (from -1 s))\n (account b (standing good) (form 1 s)))", &[
    "2:31: (from) needs Unix time in whole seconds, 0 to 100000000000: (from 1764633600 s)",
    "3:29: form is not known in (account); did you mean from?",
])]
#[case::control("(accounts (number 1) (account \"a\\nb\" (standing good)))", &[
    "1:22: an account's name has 1 to 128 bytes and no control characters",
])]
fn every_fault_is_named_with_its_place(#[case] text: &str, #[case] wanted: &[&str]) {
    let FileError::Invalid(complaints) = read("f", text).unwrap_err();
    let lines = complaints.to_string();
    let lines: Vec<&str> = lines.lines().map(|l| l.strip_prefix("f:").unwrap()).collect();
    assert_eq!(lines, wanted);
}

#[test]
fn an_error_says_what_to_do() {
    let error = read("f", "(accounts)").unwrap_err();
    let help = miette::Diagnostic::help(&error).map(|h| h.to_string()).unwrap();
    assert!(help.contains("nothing of the file was taken"), "{help}");
}
