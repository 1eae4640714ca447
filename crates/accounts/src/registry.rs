//! The standing of all accounts, merged from the accounts files that a node knows.
//!
//! The registry is a join-semilattice, so the order, repetition and partial delivery of files don't matter: it is the union of all
//! files, reduced to those with the greatest numbers, and within a number to the lines that still have an effect; neither reduction
//! depends on the order ("Conflict-free Replicated Data Types", Shapiro, Preguiça, Baquero and Zawirski, 2011).
//!
//! Only complete files are merged, as accounts are also changed by being left out. The registry keeps the [`MAX_FILES`] files with the
//! greatest numbers. For each account the newest file whose time for the account has come applies; a file that doesn't list an
//! account returns it to good standing at once. Different files with one number are joined: at each time the stricter of their standings
//! applies, an account that only one of them lists has its standing there, and the conflict is recorded.
//!
//! Size bound: [`MAX_FILES`] files with [`MAX_ACCOUNTS_PER_NUMBER`] accounts each, and at most one line per account for each of the five
//! standings; a file without a conflicting one has one line per account. If all kept files change an account's standing only in the
//! future, an earlier standing is forgotten and the account is good until then.

use crate::config::{AccountsFile, MAX_ACCOUNTS, MAX_NUMBER};
use crate::{AccountStatus, Change, Micros};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Most files that are kept; the oldest are dropped.
pub const MAX_FILES: usize = 16;
/// Most accounts listed by all files of one number, enough for two full files. The last names in order are dropped and reported.
pub const MAX_ACCOUNTS_PER_NUMBER: usize = 2 * MAX_ACCOUNTS;

/// An event that operators or other parts of the node should be notified of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryUpdate {
    /// A file newer than all earlier ones applies.
    NewFile {
        /// Its number, now the greatest one known.
        number: u64,
    },
    /// The newest file gives an account another standing than the newest file before it.
    StandingChanged {
        /// The account's name, as the files list it.
        account: String,
        /// The new standing.
        change: Change,
    },
    /// A file older than the newest one was added. It matters only for accounts whose standing in newer files starts in the future.
    OldFile {
        /// Its number, less than `newest`.
        number: u64,
        /// The greatest number of a known file.
        newest: u64,
    },
    /// Files with one number have different contents. For each account the stricter standing applies.
    ConflictingFiles {
        /// Their common number; a file with a greater number resolves the conflict.
        number: u64,
    },
    /// Files of one number list more than [`MAX_ACCOUNTS_PER_NUMBER`] accounts; the last names in order were dropped.
    TooManyAccounts {
        /// Their common number.
        number: u64,
    },
}

/// The standing of an account in a file, ordered by precedence: the greatest line wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct Line {
    pub standing: AccountStatus,
    pub from: Reverse<Micros>,
    pub reason: String,
}

impl Line {
    fn from_change(change: &Change) -> Line {
        Line { standing: change.standing, from: Reverse(change.from), reason: change.reason.clone() }
    }
}

/// The joined contents of all files with one number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct MergedFile {
    /// The lines of each account, greatest precedence first.
    pub accounts: BTreeMap<String, Vec<Line>>,
    /// Whether files with different contents were joined.
    #[serde(rename = "two")]
    pub conflicting: bool,
    /// Digest of the file number, the lines of all accounts and the conflict flag.
    pub digest: u64,
}

/// Drops lines without effect: those for which a stricter line starts at the same time or earlier.
fn prune(lines: &mut Vec<Line>) {
    lines.sort_by(|a, b| b.cmp(a));
    let mut earliest: Option<Micros> = None;
    lines.retain(|line| {
        let effective = earliest.is_none_or(|earliest| line.from.0 < earliest);
        earliest = if effective { Some(line.from.0) } else { earliest };
        effective
    });
}

fn hasher() -> SipHasher13 {
    SipHasher13::new_with_keys(0x73686f7265706174, 0x6163636f756e7473)
}

/// Returns the digest of a file with this number and these changes.
pub(crate) fn digest_of(number: u64, changes: &BTreeMap<String, Change>) -> u64 {
    MergedFile::from_changes(number, changes).digest
}

impl MergedFile {
    pub fn new(number: u64, mut accounts: BTreeMap<String, Vec<Line>>, conflicting: bool) -> MergedFile {
        accounts.values_mut().for_each(prune);
        while accounts.len() > MAX_ACCOUNTS_PER_NUMBER {
            accounts.pop_last();
        }
        let mut hasher = hasher();
        (number, conflicting, &accounts).hash(&mut hasher);
        MergedFile { accounts, conflicting, digest: hasher.finish() }
    }

    fn from_changes(number: u64, changes: &BTreeMap<String, Change>) -> MergedFile {
        let accounts = changes.iter().map(|(name, c)| (name.clone(), vec![Line::from_change(c)]));
        MergedFile::new(number, accounts.collect(), false)
    }

    /// Joins two files of one number. The flag is true if accounts were dropped because there were too many.
    fn join(&self, number: u64, other: &MergedFile) -> (MergedFile, bool) {
        let conflicting = self.conflicting || other.conflicting || self.accounts != other.accounts;
        let mut accounts = self.accounts.clone();
        for (name, lines) in &other.accounts {
            accounts.entry(name.clone()).or_default().extend(lines.iter().cloned());
        }
        let full = accounts.len() > MAX_ACCOUNTS_PER_NUMBER;
        (MergedFile::new(number, accounts, conflicting), full)
    }
}

/// The accounts files that a node knows. To load one from disk, [`AccountRegistry::merge`] it into an empty one, which validates it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRegistry {
    #[serde(rename = "pages")]
    files: BTreeMap<u64, MergedFile>,
    hash: u64,
    /// Accounts that an older file closes to new work and the newest file doesn't list; cached for lookups on each request.
    #[serde(skip)]
    reopened: BTreeSet<String>,
}

impl Hash for AccountRegistry {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

impl AccountRegistry {
    /// Creates an empty registry, in which all accounts are in good standing.
    pub fn new() -> AccountRegistry {
        AccountRegistry::default()
    }

    /// Adds a file and returns what changed.
    pub fn add_file(&mut self, accounts_file: &AccountsFile) -> Vec<RegistryUpdate> {
        let file = MergedFile::from_changes(accounts_file.number, &accounts_file.changes);
        let mut updates = self.merge_file(accounts_file.number, &file);
        let newest = self.newest_number();
        if accounts_file.number < newest {
            updates.push(RegistryUpdate::OldFile { number: accounts_file.number, newest });
        }
        updates
    }

    /// Adds all files of another registry and returns what changed.
    pub fn merge(&mut self, other: &AccountRegistry) -> Vec<RegistryUpdate> {
        let files = other.files.iter();
        files
            .flat_map(|(n, file)| {
                self.merge_file(*n, &MergedFile::new(*n, file.accounts.clone(), file.conflicting))
            })
            .collect()
    }

    /// Joins the contents of files with this number into the registry.
    pub(crate) fn merge_file(&mut self, number: u64, file: &MergedFile) -> Vec<RegistryUpdate> {
        let mut updates = Vec::new();
        if number == 0 || number > MAX_NUMBER || number < self.min_number() {
            return updates;
        }
        let newest = self.newest_number();
        let before = self.files.get(&number);
        let (joined, full) = before.map_or_else(|| (file.clone(), false), |b| b.join(number, file));
        if before == Some(&joined) {
            return updates;
        }
        if joined.conflicting && !before.is_some_and(|b| b.conflicting) {
            updates.push(RegistryUpdate::ConflictingFiles { number });
        }
        if full {
            updates.push(RegistryUpdate::TooManyAccounts { number });
        }
        let mut changes_before = BTreeMap::new();
        if number >= newest {
            let newest_names = self.files.get(&newest).into_iter().flat_map(|p| p.accounts.keys());
            let names: BTreeSet<&String> = newest_names.chain(joined.accounts.keys()).collect();
            changes_before = names.into_iter().map(|n| (n.clone(), self.final_change(n))).collect();
        }
        self.files.insert(number, joined);
        while self.files.len() > MAX_FILES {
            self.files.pop_first();
        }
        let mut hasher = hasher();
        self.files.iter().for_each(|(n, p)| (n, p.digest).hash(&mut hasher));
        self.hash = hasher.finish();
        let if_closed = |(account, lines): (&String, &Vec<Line>)| {
            lines.iter().any(|l| l.standing.rejects_new_work()).then(|| account.clone())
        };
        let newest_accounts = self.files.last_key_value().map(|(_, p)| &p.accounts);
        let earlier = self.files.values().rev().skip(1).flat_map(|p| &p.accounts);
        let unlisted = earlier.filter(|(a, _)| newest_accounts.is_some_and(|n| !n.contains_key(*a)));
        self.reopened = unlisted.filter_map(if_closed).collect();
        if number > newest {
            updates.push(RegistryUpdate::NewFile { number });
        }
        for (account, before) in changes_before {
            let change = self.final_change(&account);
            let content = |c: &Change| (c.standing, c.from, c.reason.clone());
            if content(&before) != content(&change) {
                updates.push(RegistryUpdate::StandingChanged { account, change });
            }
        }
        updates
    }

    /// Returns the least number of a file that can still be added.
    fn min_number(&self) -> u64 {
        let full = self.files.len() >= MAX_FILES;
        self.files.first_key_value().filter(|_| full).map_or(1, |(n, _)| *n)
    }

    /// Returns the standing of an account after all changes that lie in the future.
    fn final_change(&self, account: &str) -> Change {
        self.change_at(account, Micros::MAX)
    }

    /// Returns the change that determines an account's standing at Unix time `now_unix`; number 0 and good standing if there is none.
    pub fn change_at(&self, account: &str, now_unix: Micros) -> Change {
        for (number, file) in self.files.iter().rev() {
            let Some(lines) = file.accounts.get(account) else {
                return Change {
                    number: *number,
                    standing: self.standing_if_unlisted(account, *number),
                    ..default_change()
                };
            };
            if let Some(line) = lines.iter().find(|l| l.from.0 <= now_unix) {
                let (standing, from, reason) = (line.standing, line.from.0, line.reason.clone());
                return Change { number: *number, standing, from, reason };
            }
        }
        default_change()
    }

    /// Returns the standing of an account that the file with this number doesn't list.
    fn standing_if_unlisted(&self, account: &str, number: u64) -> AccountStatus {
        let mut earlier = self.files.range(..number).filter_map(|(_, p)| p.accounts.get(account)).flatten();
        let was_closed = match number == self.newest_number() {
            true => self.reopened.contains(account),
            false => earlier.any(|l| l.standing.rejects_new_work()),
        };
        match was_closed {
            true => AccountStatus::Reopened,
            false => AccountStatus::Good,
        }
    }

    /// Returns the standing of an account at Unix time `now_unix`.
    pub fn standing_at(&self, account: &str, now_unix: Micros) -> AccountStatus {
        self.change_at(account, now_unix).standing
    }

    /// Returns the earliest Unix time after `now_unix` at which a known change takes effect, for use in a timer.
    pub fn next_change_after(&self, now_unix: Micros) -> Option<Micros> {
        let lines = self.files.values().flat_map(|p| p.accounts.values().flatten());
        lines.map(|l| l.from.0).filter(|from| *from > now_unix).min()
    }

    /// Returns the accounts that any known file lists.
    pub fn accounts(&self) -> BTreeSet<&str> {
        self.files.values().flat_map(|p| p.accounts.keys().map(String::as_str)).collect()
    }

    /// Returns the accounts that the newest file lists; only these can be closing or closed.
    pub fn accounts_in_newest_file(&self) -> impl Iterator<Item = &str> {
        self.files.last_key_value().into_iter().flat_map(|(_, p)| p.accounts.keys().map(String::as_str))
    }

    /// Returns the number of the newest file, or 0 if there is none.
    pub fn newest_number(&self) -> u64 {
        self.files.last_key_value().map_or(0, |(n, _)| *n)
    }

    /// Returns a hash of the contents; registries with equal hashes are equal (SipHash-1-3, no protection against forgery).
    pub fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn file(&self, number: u64) -> Option<&MergedFile> {
        self.files.get(&number)
    }

    /// Returns the number and digest of each file, newest first.
    pub(crate) fn file_ids(&self) -> Vec<(u64, u64)> {
        self.files.iter().rev().map(|(n, p)| (*n, p.digest)).collect()
    }

    /// Whether a file with this number could be added and isn't known with this digest.
    pub(crate) fn is_missing(&self, number: u64, digest: u64) -> bool {
        let known = self.file(number).is_some_and(|p| p.digest == digest);
        !known && number >= self.min_number() && number <= MAX_NUMBER
    }
}

fn default_change() -> Change {
    Change { number: 0, standing: AccountStatus::Good, from: 0, reason: String::new() }
}
