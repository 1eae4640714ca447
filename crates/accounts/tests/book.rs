//! The account registry: the order, repetition and partial delivery of files don't matter, and an older file never wins.

use proptest::prelude::*;
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::registry::{AccountRegistry, RegistryUpdate, MAX_FILES};
use shorepath_accounts::{AccountStatus, Change, Micros};
use std::collections::BTreeMap;

fn accounts_file(number: u64, changes: &[(&str, AccountStatus, Micros)]) -> AccountsFile {
    let change = |s, f| Change { number, standing: s, from: f, reason: String::new() };
    AccountsFile::new(number, changes.iter().map(|(a, s, f)| (a.to_string(), change(*s, *f))).collect())
}

fn registry_of(files: &[AccountsFile]) -> AccountRegistry {
    let mut registry = AccountRegistry::new();
    files.iter().for_each(|file| drop(registry.add_file(file)));
    registry
}

use AccountStatus::{Closed, Closing, Good, Reopened, Warned};

#[test]
fn the_newest_file_applies_from_its_start_time() {
    let files = [
        accounts_file(1, &[("a", Warned, 0)]),
        accounts_file(4, &[("a", Closing, 50)]),
        accounts_file(7, &[("a", Closed, 100), ("b", Good, 0)]),
    ];
    let registry = registry_of(&files);
    let at = |now| registry.change_at("a", now);
    assert_eq!([0, 49, 50, 99, 100].map(|t| at(t).standing), [Warned, Warned, Closing, Closing, Closed]);
    assert_eq!([0, 50, 100].map(|t| at(t).number), [1, 4, 7]);
    assert_eq!(
        (registry.next_change_after(0), registry.next_change_after(50), registry.next_change_after(100)),
        (Some(50), Some(100), None)
    );
    let mut registry = registry_of(&[files[2].clone(), files[0].clone()]);
    assert_eq!(registry.add_file(&files[1]), [RegistryUpdate::OldFile { number: 4, newest: 7 }]);
    assert_eq!(registry, registry_of(&files));
    // An account that the file no longer lists is reopened if it was closed, and good if it never was.
    let updates = registry.add_file(&accounts_file(8, &[]));
    assert_eq!(updates[0], RegistryUpdate::NewFile { number: 8 });
    assert!(
        matches!(&updates[1], RegistryUpdate::StandingChanged { account, change } if account == "a" && change.number == 8)
    );
    assert_eq!((registry.standing_at("a", 0), registry.standing_at("b", 0)), (Reopened, Good));
}

#[test]
fn conflicting_files_apply_the_stricter_standing_at_each_time() {
    let one = accounts_file(3, &[("a", Closing, 10), ("b", Closed, 0)]);
    let other = accounts_file(3, &[("a", Closed, 20), ("c", Warned, 0)]);
    let mut registry = registry_of(std::slice::from_ref(&one));
    assert!(registry.add_file(&one).is_empty());
    assert_eq!(registry.add_file(&other)[0], RegistryUpdate::ConflictingFiles { number: 3 });
    assert!(registry.add_file(&other).is_empty(), "the conflict is reported once");
    assert_eq!([0, 10, 20].map(|t| registry.standing_at("a", t)), [Good, Closing, Closed]);
    assert_eq!((registry.standing_at("b", 0), registry.standing_at("c", 0)), (Closed, Warned));
    assert_eq!(registry, registry_of(&[other, one]));
    // A file that lists fewer accounts conflicts as well.
    let mut registry = registry_of(&[accounts_file(3, &[("a", Closed, 0)])]);
    assert_eq!(registry.add_file(&accounts_file(3, &[])), [RegistryUpdate::ConflictingFiles { number: 3 }]);
}

#[test]
fn the_number_of_kept_files_is_bounded() {
    let mut registry = AccountRegistry::new();
    for number in 1..=3 * MAX_FILES as u64 {
        registry.add_file(&accounts_file(number, &[("a", Closing, 0)]));
    }
    let before = registry.clone();
    registry.add_file(&accounts_file(1, &[("a", Closed, 0)]));
    registry.add_file(&accounts_file(0, &[]));
    registry.add_file(&accounts_file(u64::MAX, &[]));
    assert_eq!(registry, before);
    assert_eq!(registry.change_at("a", 0).number, 3 * MAX_FILES as u64);
}

fn any_accounts_file() -> impl Strategy<Value = AccountsFile> {
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
    fn the_join_is_commutative_associative_and_idempotent(
        (a, b, c) in (prop::collection::vec(any_accounts_file(), 0..14), prop::collection::vec(any_accounts_file(), 0..14),
            prop::collection::vec(any_accounts_file(), 0..14)),
    ) {
        let [x, y, z] = [&a, &b, &c].map(|files| registry_of(files));
        let join = |p: &AccountRegistry, q: &AccountRegistry| { let mut p = p.clone(); p.merge(q); p };
        prop_assert_eq!(join(&x, &y), join(&y, &x));
        prop_assert_eq!(join(&join(&x, &y), &z), join(&x, &join(&y, &z)));
        prop_assert_eq!(join(&x, &x), x.clone());
        let written = serde_json::to_string(&x).unwrap();
        prop_assert_eq!(join(&AccountRegistry::new(), &serde_json::from_str(&written).unwrap()), x.clone());
        prop_assert_eq!(join(&join(&x, &y), &y), join(&x, &y));
        // Adding the files one by one, reversed and repeated, gives the same registry as joining.
        let mut all: Vec<AccountsFile> = [a, b, c].concat();
        all.reverse();
        all.extend(all.clone());
        prop_assert_eq!(registry_of(&all), join(&join(&x, &y), &z));
    }

    #[test]
    fn an_older_number_never_wins(files in prop::collection::vec(any_accounts_file(), 1..14), now in 0..4i64) {
        let newest = files.iter().map(|d| d.number).max().unwrap_or(0);
        let last: Vec<&AccountsFile> = files.iter().filter(|d| d.number == newest).collect();
        let registry = registry_of(&files);
        for account in ["a", "b", "c"] {
            let listed = |d: &&AccountsFile| d.changes.get(account).map(|c| (c.from <= now, c.standing));
            if let Some(strictest) = last.iter().filter_map(listed).filter(|c| c.0).map(|c| c.1).max() {
                prop_assert_eq!(registry.standing_at(account, now), strictest);
            } else if last.iter().all(|d| !d.changes.contains_key(account)) {
                prop_assert!(registry.standing_at(account, now) <= Reopened);
            }
        }
    }
}
