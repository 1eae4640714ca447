//! What is known of all accounts: a join-semilattice, so that order, repetition and partial delivery of files don't matter.
//!
//! A file counts when it has arrived whole: only then is it known whom it does not name. The book keeps the [`PAGES`] files of the
//! greatest numbers. For each account the newest file holds whose time for it has come; one that does not name it says that it is
//! good again, at once. Two files of one number are joined: at each time the stricter standing that either gives holds, an
//! account that only one names stands as that one says, and that there were two is part of what is known.
//!
//! Why this is a join: the greatest few of a union, by number, and the union of what files of one number say, each without what
//! another line makes void, don't depend on the order ("Conflict-free Replicated Data Types", Shapiro, Preguiça, Baquero and
//! Zawirski, 2011).
//!
//! Bound: [`PAGES`] files with [`NAMES`] accounts each, with at most one line for each of the five standings; a file that has no
//! rival has one.
//! What held before a change that lies ahead in each of the last [`PAGES`] files is forgotten: the account is good until then.

use crate::config::{AccountsFile, ACCOUNTS, NUMBERS};
use crate::{AccountStatus, Change, Micros};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

/// Files that are kept.
pub const PAGES: usize = 16;
/// Accounts of one number at most: those of two full files. Beyond, those whose names come last are left out, and that is told.
pub const NAMES: usize = 2 * ACCOUNTS;

/// What was learned that somebody should be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryUpdate {
    /// A newer file than all before it holds now.
    Newer {
        /// Its number.
        number: u64,
    },
    /// By the newest file an account stands otherwise than by the newest before.
    Changed {
        /// The account.
        account: String,
        /// How, and from when on.
        change: Change,
    },
    /// An older file was learned after a newer one. It changes nothing but what held before changes that lie ahead.
    Older {
        /// Its number.
        number: u64,
        /// The greatest that is known.
        highest: u64,
    },
    /// Two files have one number and say different things. For each account the stricter holds.
    TwoFiles {
        /// The number. A file of a greater number ends it.
        number: u64,
    },
    /// Files of one number name more than [`NAMES`] accounts; the last names are left out.
    Full {
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
    fn of(change: &Change) -> Line {
        Line { standing: change.standing, from: Reverse(change.from), reason: change.reason.clone() }
    }
}

/// What files of one number say.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Page {
    /// Lines of each account, the one that holds against the others first.
    pub accounts: BTreeMap<String, Vec<Line>>,
    /// There were two that said different things.
    pub two: bool,
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
    Page::of(number, changes).digest
}

impl Page {
    pub fn new(number: u64, mut accounts: BTreeMap<String, Vec<Line>>, two: bool) -> Page {
        accounts.values_mut().for_each(prune);
        while accounts.len() > NAMES {
            accounts.pop_last();
        }
        let mut hasher = hasher();
        (number, two, &accounts).hash(&mut hasher);
        Page { accounts, two, digest: hasher.finish() }
    }

    fn of(number: u64, changes: &BTreeMap<String, Change>) -> Page {
        let accounts = changes.iter().map(|(name, c)| (name.clone(), vec![Line::of(c)]));
        Page::new(number, accounts.collect(), false)
    }

    /// What both say.
    fn joined(&self, number: u64, other: &Page) -> (Page, bool) {
        let two = self.two || other.two || self.accounts != other.accounts;
        let mut accounts = self.accounts.clone();
        for (name, lines) in &other.accounts {
            accounts.entry(name.clone()).or_default().extend(lines.iter().cloned());
        }
        let full = accounts.len() > NAMES;
        (Page::new(number, accounts, two), full)
    }
}

/// All that is known. Written to a disk as it is; [`Book::merge`] what was read into an empty one, which checks it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    pages: BTreeMap<u64, Page>,
    hash: u64,
    /// Accounts that an earlier file bars and the newest does not name; it is asked for with each request.
    #[serde(skip)]
    reopened: BTreeSet<String>,
}

impl Hash for Book {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u64(self.hash);
    }
}

impl Book {
    /// Nothing is known yet: all accounts are good.
    pub fn new() -> Book {
        Book::default()
    }

    /// Take in a file.
    pub fn learn(&mut self, accounts_file: &AccountsFile) -> Vec<RegistryUpdate> {
        let page = Page::of(accounts_file.number, &accounts_file.changes);
        let mut updates = self.take(accounts_file.number, &page);
        let highest = self.highest();
        if accounts_file.number < highest {
            updates.push(RegistryUpdate::Older { number: accounts_file.number, highest });
        }
        updates
    }

    /// Take in all that another knows.
    pub fn merge(&mut self, other: &Book) -> Vec<RegistryUpdate> {
        let pages = other.pages.iter();
        pages.flat_map(|(n, page)| self.take(*n, &Page::new(*n, page.accounts.clone(), page.two))).collect()
    }

    /// Take in what files of one number say.
    pub(crate) fn take(&mut self, number: u64, page: &Page) -> Vec<RegistryUpdate> {
        let mut updates = Vec::new();
        if number == 0 || number > NUMBERS || number < self.floor() {
            return updates;
        }
        let highest = self.highest();
        let before = self.pages.get(&number);
        let (joined, full) = before.map_or_else(|| (page.clone(), false), |b| b.joined(number, page));
        if before == Some(&joined) {
            return updates;
        }
        if joined.two && !before.is_some_and(|b| b.two) {
            updates.push(RegistryUpdate::TwoFiles { number });
        }
        if full {
            updates.push(RegistryUpdate::Full { number });
        }
        let mut named = BTreeMap::new();
        if number >= highest {
            let others = self.pages.get(&highest).into_iter().flat_map(|p| p.accounts.keys());
            let names: BTreeSet<&String> = others.chain(joined.accounts.keys()).collect();
            named = names.into_iter().map(|n| (n.clone(), self.last(n))).collect();
        }
        self.pages.insert(number, joined);
        while self.pages.len() > PAGES {
            self.pages.pop_first();
        }
        let mut hasher = hasher();
        self.pages.iter().for_each(|(n, p)| (n, p.digest).hash(&mut hasher));
        self.hash = hasher.finish();
        let rejection = |(account, lines): (&String, &Vec<Line>)| {
            lines.iter().any(|l| l.standing.rejects_new_work()).then(|| account.clone())
        };
        let newest = self.pages.last_key_value().map(|(_, p)| &p.accounts);
        let earlier = self.pages.values().rev().skip(1).flat_map(|p| &p.accounts);
        let unnamed = earlier.filter(|(a, _)| newest.is_some_and(|n| !n.contains_key(*a)));
        self.reopened = unnamed.filter_map(rejection).collect();
        if number > highest {
            updates.push(RegistryUpdate::Newer { number });
        }
        for (account, before) in named {
            let change = self.last(&account);
            let what = |c: &Change| (c.standing, c.from, c.reason.clone());
            if what(&before) != what(&change) {
                updates.push(RegistryUpdate::Changed { account, change });
            }
        }
        updates
    }

    /// The least number that may still be taken in.
    fn floor(&self) -> u64 {
        let full = self.pages.len() >= PAGES;
        self.pages.first_key_value().filter(|_| full).map_or(1, |(n, _)| *n)
    }

    /// How an account stands once all times have come.
    fn last(&self, account: &str) -> Change {
        self.change(account, Micros::MAX)
    }

    /// Where an account stands at that Unix time, since which file, and why.
    pub fn change(&self, account: &str, now_unix: Micros) -> Change {
        for (number, page) in self.pages.iter().rev() {
            let Some(lines) = page.accounts.get(account) else {
                return Change { number: *number, standing: self.unnamed(account, *number), ..nothing() };
            };
            if let Some(line) = lines.iter().find(|l| l.from.0 <= now_unix) {
                let (standing, from, reason) = (line.standing, line.from.0, line.reason.clone());
                return Change { number: *number, standing, from, reason };
            }
        }
        nothing()
    }

    /// Where an account stands that a file does not name.
    fn unnamed(&self, account: &str, number: u64) -> AccountStatus {
        let mut earlier = self.pages.range(..number).filter_map(|(_, p)| p.accounts.get(account)).flatten();
        let rejection = match number == self.highest() {
            true => self.reopened.contains(account),
            false => earlier.any(|l| l.standing.rejects_new_work()),
        };
        match rejection {
            true => AccountStatus::Reopened,
            false => AccountStatus::Good,
        }
    }

    /// Where an account stands at that Unix time.
    pub fn standing(&self, account: &str, now_unix: Micros) -> AccountStatus {
        self.change(account, now_unix).standing
    }

    /// When, in Unix time after `now_unix`, an account may stand otherwise though nothing new is learned; for a timer.
    pub fn next(&self, now_unix: Micros) -> Option<Micros> {
        let lines = self.pages.values().flat_map(|p| p.accounts.values().flatten());
        lines.map(|l| l.from.0).filter(|from| *from > now_unix).min()
    }

    /// All accounts that some file names.
    pub fn accounts(&self) -> BTreeSet<&str> {
        self.pages.values().flat_map(|p| p.accounts.keys().map(String::as_str)).collect()
    }

    /// Accounts that the newest file names. Only of these some may be barred.
    pub fn named(&self) -> impl Iterator<Item = &str> {
        self.pages.last_key_value().into_iter().flat_map(|(_, p)| p.accounts.keys().map(String::as_str))
    }

    /// The number of the newest file; 0 for none.
    pub fn highest(&self) -> u64 {
        self.pages.last_key_value().map_or(0, |(n, _)| *n)
    }

    /// Books of one hash say the same (SipHash-1-3; no guard against forgery).
    pub fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn page(&self, number: u64) -> Option<&Page> {
        self.pages.get(&number)
    }

    /// Numbers and digests, the greatest first.
    pub(crate) fn listed(&self) -> Vec<(u64, u64)> {
        self.pages.iter().rev().map(|(n, p)| (*n, p.digest)).collect()
    }

    /// Whether a page of that number and digest would add something, as far as its digest tells.
    pub(crate) fn lacks(&self, number: u64, digest: u64) -> bool {
        let known = self.page(number).is_some_and(|p| p.digest == digest);
        !known && number >= self.floor() && number <= NUMBERS
    }
}

fn nothing() -> Change {
    Change { number: 0, standing: AccountStatus::Good, from: 0, reason: String::new() }
}
