//! What is known of all accounts: a join-semilattice, so that order, repetition and partial delivery of files don't matter.
//!
//! A file counts when it has arrived whole: only then is it known whom it does not name. The book keeps the [`MAX_FILES`] files of the
//! greatest numbers. For each account the newest file holds whose time for it has come; one that does not name it says that it is
//! good again, at once. Two files of one number are joined: at each time the stricter standing that either gives holds, an
//! account that only one names stands as that one says, and that there were two is part of what is known.
//!
//! Why this is a join: the greatest few of a union, by number, and the union of what files of one number say, each without what
//! another line makes void, don't depend on the order ("Conflict-free Replicated Data Types", Shapiro, Preguiça, Baquero and
//! Zawirski, 2011).
//!
//! Bound: [`MAX_FILES`] files with [`MAX_ACCOUNTS_PER_NUMBER`] accounts each, with at most one line for each of the five standings; a file that has no
//! rival has one.
//! What held before a change that lies ahead in each of the last [`MAX_FILES`] files is forgotten: the account is good until then.

use crate::config::{AccountsFile, MAX_ACCOUNTS, MAX_NUMBER};
use crate::{AccountStatus, Change, Micros};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Files that are kept.
pub const MAX_FILES: usize = 16;
/// Accounts of one number at most: those of two full files. Beyond, those whose names come last are left out, and that is told.
pub const MAX_ACCOUNTS_PER_NUMBER: usize = 2 * MAX_ACCOUNTS;

/// What was learned that somebody should be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryUpdate {
    /// A newer file than all before it holds now.
    NewFile {
        /// Its number.
        number: u64,
    },
    /// By the newest file an account stands otherwise than by the newest before.
    StandingChanged {
        /// The account.
        account: String,
        /// How, and from when on.
        change: Change,
    },
    /// An older file was learned after a newer one. It changes nothing but what held before changes that lie ahead.
    OldFile {
        /// Its number.
        number: u64,
        /// The greatest that is known.
        newest: u64,
    },
    /// Two files have one number and say different things. For each account the stricter holds.
    ConflictingFiles {
        /// The number. A file of a greater number ends it.
        number: u64,
    },
    /// Files of one number name more than [`MAX_ACCOUNTS_PER_NUMBER`] accounts; the last names are left out.
    TooManyAccounts {
        /// The number.
        number: u64,
    },
}

/// One line of a file, from the mildest to the one that holds against all.
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

/// What files of one number say.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct MergedFile {
    /// Lines of each account, the one that holds against the others first.
    pub accounts: BTreeMap<String, Vec<Line>>,
    /// There were two that said different things.
    #[serde(rename = "two")]
    pub conflicting: bool,
    /// Of all that, for telling pages apart.
    pub digest: u64,
}

/// Only lines that hold at some time: one is void if a stricter one holds from the same time on, or earlier.
fn prune(lines: &mut Vec<Line>) {
    lines.sort_by(|a, b| b.cmp(a));
    let mut soonest: Option<Micros> = None;
    lines.retain(|line| {
        let holds = soonest.is_none_or(|soonest| line.from.0 < soonest);
        soonest = if holds { Some(line.from.0) } else { soonest };
        holds
    });
}

fn hasher() -> SipHasher13 {
    SipHasher13::new_with_keys(0x73686f7265706174, 0x6163636f756e7473)
}

/// The digest of a file that says that.
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

    /// What both say.
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

/// All that is known. Written to a disk as it is; [`AccountRegistry::merge`] what was read into an empty one, which checks it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRegistry {
    #[serde(rename = "pages")]
    files: BTreeMap<u64, MergedFile>,
    hash: u64,
    /// Accounts that an earlier file bars and the newest does not name; it is asked for with each request.
    #[serde(skip)]
    reopened: BTreeSet<String>,
}

impl Hash for AccountRegistry {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

impl AccountRegistry {
    /// Nothing is known yet: all accounts are good.
    pub fn new() -> AccountRegistry {
        AccountRegistry::default()
    }

    /// Take in a file.
    pub fn add_file(&mut self, accounts_file: &AccountsFile) -> Vec<RegistryUpdate> {
        let file = MergedFile::from_changes(accounts_file.number, &accounts_file.changes);
        let mut updates = self.merge_file(accounts_file.number, &file);
        let newest = self.newest_number();
        if accounts_file.number < newest {
            updates.push(RegistryUpdate::OldFile { number: accounts_file.number, newest });
        }
        updates
    }

    /// Take in all that another knows.
    pub fn merge(&mut self, other: &AccountRegistry) -> Vec<RegistryUpdate> {
        let files = other.files.iter();
        files
            .flat_map(|(n, file)| {
                self.merge_file(*n, &MergedFile::new(*n, file.accounts.clone(), file.conflicting))
            })
            .collect()
    }

    /// Take in what files of one number say.
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
        let mut named = BTreeMap::new();
        if number >= newest {
            let others = self.files.get(&newest).into_iter().flat_map(|p| p.accounts.keys());
            let names: BTreeSet<&String> = others.chain(joined.accounts.keys()).collect();
            named = names.into_iter().map(|n| (n.clone(), self.final_change(n))).collect();
        }
        self.files.insert(number, joined);
        while self.files.len() > MAX_FILES {
            self.files.pop_first();
        }
        let mut hasher = hasher();
        self.files.iter().for_each(|(n, p)| (n, p.digest).hash(&mut hasher));
        self.hash = hasher.finish();
        let rejection = |(account, lines): (&String, &Vec<Line>)| {
            lines.iter().any(|l| l.standing.rejects_new_work()).then(|| account.clone())
        };
        let newest_accounts = self.files.last_key_value().map(|(_, p)| &p.accounts);
        let earlier = self.files.values().rev().skip(1).flat_map(|p| &p.accounts);
        let unnamed = earlier.filter(|(a, _)| newest_accounts.is_some_and(|n| !n.contains_key(*a)));
        self.reopened = unnamed.filter_map(rejection).collect();
        if number > newest {
            updates.push(RegistryUpdate::NewFile { number });
        }
        for (account, before) in named {
            let change = self.final_change(&account);
            let what = |c: &Change| (c.standing, c.from, c.reason.clone());
            if what(&before) != what(&change) {
                updates.push(RegistryUpdate::StandingChanged { account, change });
            }
        }
        updates
    }

    /// The least number that may still be taken in.
    fn min_number(&self) -> u64 {
        let full = self.files.len() >= MAX_FILES;
        self.files.first_key_value().filter(|_| full).map_or(1, |(n, _)| *n)
    }

    /// How an account stands once all times have come.
    fn final_change(&self, account: &str) -> Change {
        self.change_at(account, Micros::MAX)
    }

    /// Where an account stands at that Unix time, since which file, and why.
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

    /// Where an account stands that a file does not name.
    fn standing_if_unlisted(&self, account: &str, number: u64) -> AccountStatus {
        let mut earlier = self.files.range(..number).filter_map(|(_, p)| p.accounts.get(account)).flatten();
        let rejection = match number == self.newest_number() {
            true => self.reopened.contains(account),
            false => earlier.any(|l| l.standing.rejects_new_work()),
        };
        match rejection {
            true => AccountStatus::Reopened,
            false => AccountStatus::Good,
        }
    }

    /// Where an account stands at that Unix time.
    pub fn standing_at(&self, account: &str, now_unix: Micros) -> AccountStatus {
        self.change_at(account, now_unix).standing
    }

    /// When, in Unix time after `now_unix`, an account may stand otherwise though nothing new is learned; for a timer.
    pub fn next_change_after(&self, now_unix: Micros) -> Option<Micros> {
        let lines = self.files.values().flat_map(|p| p.accounts.values().flatten());
        lines.map(|l| l.from.0).filter(|from| *from > now_unix).min()
    }

    /// All accounts that some file names.
    pub fn accounts(&self) -> BTreeSet<&str> {
        self.files.values().flat_map(|p| p.accounts.keys().map(String::as_str)).collect()
    }

    /// Accounts that the newest file names. Only of these some may be barred.
    pub fn accounts_in_newest_file(&self) -> impl Iterator<Item = &str> {
        self.files.last_key_value().into_iter().flat_map(|(_, p)| p.accounts.keys().map(String::as_str))
    }

    /// The number of the newest file; 0 for none.
    pub fn newest_number(&self) -> u64 {
        self.files.last_key_value().map_or(0, |(n, _)| *n)
    }

    /// Books of one hash say the same (SipHash-1-3; no guard against forgery).
    pub fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn file(&self, number: u64) -> Option<&MergedFile> {
        self.files.get(&number)
    }

    /// Numbers and digests, the greatest first.
    pub(crate) fn file_ids(&self) -> Vec<(u64, u64)> {
        self.files.iter().rev().map(|(n, p)| (*n, p.digest)).collect()
    }

    /// Whether a file of that number and digest would add something, as far as its digest tells.
    pub(crate) fn is_missing(&self, number: u64, digest: u64) -> bool {
        let known = self.file(number).is_some_and(|p| p.digest == digest);
        !known && number >= self.min_number() && number <= MAX_NUMBER
    }
}

fn default_change() -> Change {
    Change { number: 0, standing: AccountStatus::Good, from: 0, reason: String::new() }
}
