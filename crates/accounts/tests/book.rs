//! What is known of accounts joins: the order, repetition and partial delivery of files don't matter, and older numbers never win.

use proptest::prelude::*;
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::registry::{AccountRegistry, RegistryUpdate, MAX_FILES};
use shorepath_accounts::{AccountStatus, Change, Micros};
use std::collections::BTreeMap;

fn accounts_file(number: u64, changes: &[(&str, AccountStatus, Micros)]) -> AccountsFile {
    let change = |s, f| Change { number, standing: s, from: f, reason: String::new() };
    AccountsFile::new(number, changes.iter().map(|(a, s, f)| (a.to_string(), change(*s, *f))).collect())
}

fn book(decrees: &[AccountsFile]) -> AccountRegistry {
    let mut book = AccountRegistry::new();
    decrees.iter().for_each(|d| drop(book.add_file(d)));
    book
}

use AccountStatus::{Closed, Closing, Good, Reopened, Warned};

#[test]
fn the_newest_file_holds_from_its_time_on() {
    let files = [
        accounts_file(1, &[("a", Warned, 0)]),
        accounts_file(4, &[("a", Closing, 50)]),
        accounts_file(7, &[("a", Closed, 100), ("b", Good, 0)]),
    ];
    let known = book(&files);
    let at = |now| known.change_at("a", now);
    assert_eq!([0, 49, 50, 99, 100].map(|t| at(t).standing), [Warned, Warned, Closing, Closing, Closed]);
    assert_eq!([0, 50, 100].map(|t| at(t).number), [1, 4, 7]);
    assert_eq!(
        (known.next_change_after(0), known.next_change_after(50), known.next_change_after(100)),
        (Some(50), Some(100), None)
    );
    let mut known = book(&[files[2].clone(), files[0].clone()]);
    assert_eq!(known.add_file(&files[1]), [RegistryUpdate::OldFile { number: 4, newest: 7 }]);
    assert_eq!(known, book(&files));
    // Who is not named is good again, and told apart from one that always was.
    let updates = known.add_file(&accounts_file(8, &[]));
    assert_eq!(updates[0], RegistryUpdate::NewFile { number: 8 });
    assert!(
        matches!(&updates[1], RegistryUpdate::StandingChanged { account, change } if account == "a" && change.number == 8)
    );
    assert_eq!((known.standing_at("a", 0), known.standing_at("b", 0)), (Reopened, Good));
}

#[test]
fn of_two_files_of_one_number_the_stricter_holds_at_each_time() {
    let one = accounts_file(3, &[("a", Closing, 10), ("b", Closed, 0)]);
    let other = accounts_file(3, &[("a", Closed, 20), ("c", Warned, 0)]);
    let mut known = book(std::slice::from_ref(&one));
    assert!(known.add_file(&one).is_empty());
    assert_eq!(known.add_file(&other)[0], RegistryUpdate::ConflictingFiles { number: 3 });
    assert!(known.add_file(&other).is_empty(), "told once");
    assert_eq!([0, 10, 20].map(|t| known.standing_at("a", t)), [Good, Closing, Closed]);
    assert_eq!((known.standing_at("b", 0), known.standing_at("c", 0)), (Closed, Warned));
    assert_eq!(known, book(&[other, one]));
    // One that says less than the other is another file, too.
    let mut known = book(&[accounts_file(3, &[("a", Closed, 0)])]);
    assert_eq!(known.add_file(&accounts_file(3, &[])), [RegistryUpdate::ConflictingFiles { number: 3 }]);
}

#[test]
fn a_book_is_bounded() {
    let mut known = AccountRegistry::new();
    for number in 1..=3 * MAX_FILES as u64 {
        known.add_file(&accounts_file(number, &[("a", Closing, 0)]));
    }
    let before = known.clone();
    known.add_file(&accounts_file(1, &[("a", Closed, 0)]));
    known.add_file(&accounts_file(0, &[]));
    known.add_file(&accounts_file(u64::MAX, &[]));
    assert_eq!(known, before);
    assert_eq!(known.change_at("a", 0).number, 3 * MAX_FILES as u64);
}

fn any_decree() -> impl Strategy<Value = AccountsFile> {
    let standing = prop::sample::select(vec![Good, Reopened, Warned, Closing, Closed]);
    let change = (standing, 0..4i64, "[xy]?");
    let changes = prop::collection::btree_map("[a-c]", change, 0..4);
    (1..24u64, changes).prop_map(|(number, changes)| {
        let of = |(standing, from, reason)| Change { number, standing, from, reason };
        AccountsFile::new(number, changes.into_iter().map(|(a, c)| (a, of(c))).collect::<BTreeMap<_, _>>())
    })
}

proptest! {
    #[test]
    fn the_join_commutes_associates_and_repeats_harmlessly(
        (a, b, c) in (prop::collection::vec(any_decree(), 0..14), prop::collection::vec(any_decree(), 0..14),
            prop::collection::vec(any_decree(), 0..14)),
    ) {
        let [x, y, z] = [&a, &b, &c].map(|d| book(d));
        let join = |p: &AccountRegistry, q: &AccountRegistry| { let mut p = p.clone(); p.merge(q); p };
        prop_assert_eq!(join(&x, &y), join(&y, &x));
        prop_assert_eq!(join(&join(&x, &y), &z), join(&x, &join(&y, &z)));
        prop_assert_eq!(join(&x, &x), x.clone());
        let written = serde_json::to_string(&x).unwrap();
        prop_assert_eq!(join(&AccountRegistry::new(), &serde_json::from_str(&written).unwrap()), x.clone());
        prop_assert_eq!(join(&join(&x, &y), &y), join(&x, &y));
        // Files one by one, backwards and doubled, say what the books say.
        let mut all: Vec<AccountsFile> = [a, b, c].concat();
        all.reverse();
        all.extend(all.clone());
        prop_assert_eq!(book(&all), join(&join(&x, &y), &z));
    }

    #[test]
    fn an_older_number_never_wins(files in prop::collection::vec(any_decree(), 1..14), now in 0..4i64) {
        let newest = files.iter().map(|d| d.number).max().unwrap_or(0);
        let last: Vec<&AccountsFile> = files.iter().filter(|d| d.number == newest).collect();
        let known = book(&files);
        for account in ["a", "b", "c"] {
            let here = |d: &&AccountsFile| d.changes.get(account).map(|c| (c.from <= now, c.standing));
            if let Some(strictest) = last.iter().filter_map(here).filter(|c| c.0).map(|c| c.1).max() {
                prop_assert_eq!(known.standing_at(account, now), strictest);
            } else if last.iter().all(|d| !d.changes.contains_key(account)) {
                prop_assert!(known.standing_at(account, now) <= Reopened);
            }
        }
    }
}
