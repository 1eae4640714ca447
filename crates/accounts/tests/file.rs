//! Parsing of accounts files, and the errors with their places.

use rstest::rstest;
use shorepath_accounts::config::{read, AccountsFile, FileError};
use shorepath_accounts::{AccountStatus, Change};

#[test]
fn parses_a_valid_file() {
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
#[case::missing_number("(accounts)", &["1:1: an accounts file needs a (number N) that is greater than the previous file's"])]
#[case::number_zero("(accounts (number 0))", &["1:19: 0 is out of range: (number) must be from 1 to 1000000000000"])]
#[case::missing_standing("(accounts (number 1)\n (account a))", &["2:2: the account a has no (standing ...)"])]
#[case::unknown_standing("(accounts (number 1)\n (account a (standing closd)))", &["2:23: closd is not known in (standing); did you mean closed?"])]
#[case::account_listed_twice("(accounts (number 1) (account a (standing good))\n (account a (standing closed)))", &[
    "2:2: the account a is listed twice, first in line 1",
])]
#[case::two_errors("(accounts (number 1)\n (account a (standing closed) (from -1 s))\n (account b (standing good) (form 1 s)))", &[
    "2:31: (from) takes Unix time as an integer of seconds, 0 to 100000000000, as in (from 1764633600 s)",
    "3:29: form is not known in (account); did you mean from?",
])]
#[case::control_character_in_name("(accounts (number 1) (account \"a\\nb\" (standing good)))", &[
    "1:22: an account name must have 1 to 128 bytes and no control characters",
])]
fn reports_every_error_with_its_place(#[case] text: &str, #[case] expected: &[&str]) {
    let FileError::Invalid(errors) = read("f", text).unwrap_err();
    let lines = errors.to_string();
    let lines: Vec<&str> = lines.lines().map(|l| l.strip_prefix("f:").unwrap()).collect();
    assert_eq!(lines, expected);
}

#[test]
fn an_error_has_help_for_the_operator() {
    let error = read("f", "(accounts)").unwrap_err();
    let help = miette::Diagnostic::help(&error).map(|h| h.to_string()).unwrap();
    assert!(help.contains("the file was not applied"), "{help}");
}
