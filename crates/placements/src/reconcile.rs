//! What follows from a history: who ran what twice, who began work that was not to begin, what was used above the whole.
//!
//! It reads each entry once, whatever came in between; what it has decided in the end does not depend on the order. What it finds changes
//! decisions: it is no report.
//!
//! It works in slices ([`Reconciler::slice`]) of so many steps at most and goes on where the last one ended, so that a node's loop is not held up: a
//! step is an entry, a log that is looked at, a guarded key of what was sealed, a placement that is given up or one that is judged again.
//!
//! Memory: some 200 bytes and its names for each guarded key, for ever, as nothing undoes that it may have run; some 60 for each open
//! placement; some 70 for each remembered key of a free class ([`Settings::keys`]); the rest is bounded by [`Settings`], and by the
//! credit that was given.

use crate::anti_entropy::LogReplicas;
use crate::hash_chain::{self, Digest, Point};
use crate::history::RetainedKey;
use crate::{End, Entry, Micros, Placement, Writer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

/// What is kept, and how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// A placement without an end is given up so long after it was placed: the longest job, and what clocks may differ.
    pub give_up_after: Micros,
    /// Quotas and the use of servers are counted by spans of this length.
    pub span: Micros,
    /// So many pairs of a span and a tenant, and of a span and a server, are remembered; the oldest give way.
    pub max_spans: usize,
    /// So many keys of free classes are remembered, twice at most; in 64 parts, each of which forgets its older half by itself.
    pub max_repeatable_keys: usize,
    /// So many of each account's latest placements are remembered, for changes of standing that are learned later.
    pub placements_per_account: usize,
    /// So many steps are made at once, see [`Reconciler::slice`].
    pub steps_per_slice: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            give_up_after: 600_000_000,
            span: 10_000_000,
            max_spans: 20_000,
            max_repeatable_keys: 500_000,
            placements_per_account: 4_096,
            steps_per_slice: 256,
        }
    }
}

/// A change of an account's standing, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandingChange {
    /// Its number.
    pub number: u64,
    /// From when on it holds, in Unix time.
    pub from: Micros,
    /// New work is taken.
    pub takes_new: bool,
}

/// What a debt is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DebtKind {
    /// Jobs that were begun on unconfirmed standing.
    Credit,
    /// Jobs above the quota.
    Quota,
}

/// Whether whoever began something could know that it was not to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Awareness {
    /// It was not told yet.
    #[serde(rename = "good")]
    Unaware,
    /// It had been told: the number that it wrote is the closing's or a later one.
    #[serde(rename = "against-knowledge")]
    Aware,
}

/// One placement in the story of a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// Who placed it.
    pub writer: Writer,
    /// The number of the entry.
    pub number: u64,
    /// When, by the writer's clock.
    pub at: Micros,
    /// Where.
    pub server: String,
    /// Under which fence.
    pub fence: u64,
    /// Under which standing.
    pub standing: u64,
    /// How it ended, where that is known.
    pub how: Option<End>,
}

/// All that is known of a key that must not run twice and may have.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DuplicateRun {
    /// Its class.
    pub class: String,
    /// The key.
    pub key: String,
    /// Placements that are not known never to have run: two at least.
    #[serde(rename = "scenes")]
    pub placements: Vec<PlacementRecord>,
}

/// What follows from a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// So much more was used than the whole: later parts pay it off ([`Debts`]).
    Debt {
        /// The tenant.
        tenant: String,
        /// What it is of.
        kind: DebtKind,
        /// Jobs.
        jobs: u64,
    },
    /// Work was begun under a standing that took no new work any more.
    Standing {
        /// The tenant.
        tenant: String,
        /// The number of the change that closed it.
        number: u64,
        /// Whether that was known there.
        #[serde(rename = "faith")]
        awareness: Awareness,
        /// Who began it.
        writer: Writer,
        /// The number of the entry.
        entry: u64,
    },
    /// That job may have run, and nobody knows: it is neither run again nor forgotten.
    MayHaveRun {
        /// Its class.
        class: String,
        /// Its key, where it has one.
        key: Option<String>,
        /// Who placed it.
        writer: Writer,
        /// The number of the entry.
        entry: u64,
    },
    /// What was said of that key before, a violation or that it may have run, was taken back by a later entry: it never ran, or ran once.
    Cleared {
        /// Its class.
        class: String,
        /// The key.
        key: String,
    },
    /// Two sites used a server as if each had it alone: what was learned of its speed in that time, and its cold budget, are to be set
    /// right.
    SharedServer {
        /// The server.
        server: String,
        /// The beginning of the span, by the writers' clocks.
        from: Micros,
        /// Its end.
        to: Micros,
    },
    /// A key that must not run twice may have, with its whole story.
    Violation(DuplicateRun),
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Placements.
    pub placements: u64,
    /// Of them such as must not run twice.
    pub guarded: u64,
    /// Ends.
    pub ends: u64,
    /// Ends of what is not open, as a log that forked has them.
    #[serde(rename = "strays")]
    pub unmatched_ends: u64,
    /// Keys of free classes that were placed at another site, too.
    pub repeated: u64,
    /// Free placements that were given up without an end.
    pub lost: u64,
    /// Placements on unconfirmed standing.
    pub on_credit: u64,
}

/// What is owed for use above the whole; each later part pays off a stated share of itself at most, so that nobody stands still for it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debts {
    owed: BTreeMap<String, BTreeMap<DebtKind, u64>>,
}

impl Debts {
    /// So much more is owed.
    pub fn add(&mut self, tenant: &str, kind: DebtKind, jobs: u64) {
        let owed = self.owed.entry(tenant.to_string()).or_default().entry(kind).or_default();
        *owed = owed.saturating_add(jobs);
    }

    /// What is owed, in jobs.
    pub fn owed(&self, tenant: &str, kind: DebtKind) -> u64 {
        self.owed.get(tenant).and_then(|kinds| kinds.get(&kind)).copied().unwrap_or(0)
    }

    /// What is left of a part once it has paid: `share` thousandths of it at most, one job at least where it has one.
    pub fn pay(&mut self, tenant: &str, kind: DebtKind, part: u64, share: u32) -> u64 {
        let Some(kinds) = self.owed.get_mut(tenant) else { return part };
        let Some(owed) = kinds.get_mut(&kind) else { return part };
        let most = (part / 1_000 * u64::from(share.min(1_000))
            + part % 1_000 * u64::from(share.min(1_000)) / 1_000)
            .max(1)
            .min(part);
        let step = most.min(*owed);
        *owed -= step;
        if *owed == 0 {
            kinds.remove(&kind);
            if kinds.is_empty() {
                self.owed.remove(tenant);
            }
        }
        part - step
    }
}

/// Names by number, so that what is remembered is small.
#[derive(Clone, Debug, Default)]
struct Names {
    numbers: BTreeMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    fn number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        let number = self.names.len() as u32;
        self.names.push(name.to_string());
        self.numbers.insert(name.to_string(), number);
        number
    }

    fn name(&self, number: u32) -> String {
        self.names.get(number as usize).cloned().unwrap_or_default()
    }
}

/// An entry of a line of a log: the number of its writer, its own, and the beginning of what stands for it.
type Place = (u32, u64, u64);

fn tag(digest: &Digest) -> u64 {
    digest.0.iter().take(8).fold(0, |all, b| all << 8 | u64::from(*b))
}

#[derive(Clone, Copy, Debug)]
struct KeyPlacement {
    at: Micros,
    server: u32,
    fence: u64,
    standing: u64,
    how: Option<End>,
    /// It was said that it may have run.
    notified: bool,
}

#[derive(Clone, Debug, Default)]
struct Key {
    key_placements: Vec<(Place, KeyPlacement)>,
    /// So many scenes the last story had.
    notified: usize,
}

#[derive(Clone, Debug)]
struct Open {
    at: Micros,
    server: u32,
    /// The class and the key of one that must not run twice; `None` for others.
    guarded: Option<(u32, Option<String>)>,
    alone: bool,
}

#[derive(Clone, Debug, Default)]
struct Account {
    changes: BTreeMap<u64, StandingChange>,
    credit: Option<(u64, Micros)>,
    quota: Option<u64>,
    /// Jobs on credit, and when they were taken.
    on_credit: BTreeMap<u64, Micros>,
    charged: u64,
    /// When taken, and where written; under which standing, and the change that it was blamed for.
    recent: BTreeMap<(Micros, Place), (u64, u64)>,
}

/// For what is hashed already.
#[derive(Clone, Copy, Debug, Default)]
struct Hashed(u64);

impl Hasher for Hashed {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {}
    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

/// A table that grows or goes whole takes long: it is kept in so many parts.
const FREE_PARTS: usize = 64;

type FreeKeys = HashMap<u64, u64, BuildHasherDefault<Hashed>>;

/// What has been read, and what follows.
#[derive(Clone, Debug)]
pub struct Reconciler {
    settings: Settings,
    seen: BTreeMap<Writer, Vec<Point>>,
    /// The log that is read next.
    turn: Option<Writer>,
    /// So many logs were looked at in turn and had nothing new.
    calm: usize,
    /// All was read that had come by the last news.
    level: bool,
    /// What was sealed of the log that is read, where not all of its guarded keys were yet, and how many were.
    sealing: Option<(Writer, Point, u64)>,
    /// Placements that are to be judged again.
    again: VecDeque<(String, (Micros, Place))>,
    writers: BTreeMap<Writer, u32>,
    by_number: Vec<Writer>,
    sites: Names,
    names: Names,
    keys: BTreeMap<(u32, String), Key>,
    open: BTreeMap<Place, Open>,
    /// Open placements by when they were placed.
    due: BTreeSet<(Micros, Place)>,
    /// Free keys, and the sites that placed them: the latest, and those before.
    free: Vec<[FreeKeys; 2]>,
    accounts: BTreeMap<String, Account>,
    /// Placements of a tenant in a span, and those charged.
    quotas: BTreeMap<(Micros, String), (u64, u64)>,
    /// Which sites used a server in a span, which of them were alone, and whether it was said.
    servers: BTreeMap<(Micros, u32), (u64, u64, bool)>,
    counts: Counts,
    debts: BTreeMap<(String, DebtKind), u64>,
    out: Vec<Decision>,
}

/// FNV-1a over the parts of a name.
fn hashed<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for part in parts {
        for b in part.iter().chain(&[0xff]) {
            hash = (hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    hash
}

/// The more it says that it ran, the more it holds.
fn rank(how: Option<End>) -> u8 {
    match how {
        None => 0,
        Some(End::NeverRan) => 1,
        Some(End::Unknown) => 2,
        Some(End::Served) => 3,
    }
}

impl Reconciler {
    /// One that has read nothing.
    pub fn new(settings: Settings) -> Reconciler {
        Reconciler {
            settings: Settings { span: settings.span.max(1), ..settings },
            seen: BTreeMap::new(),
            turn: None,
            calm: 0,
            level: false,
            sealing: None,
            again: VecDeque::new(),
            writers: BTreeMap::new(),
            by_number: Vec::new(),
            sites: Names::default(),
            names: Names::default(),
            keys: BTreeMap::new(),
            open: BTreeMap::new(),
            due: BTreeSet::new(),
            // Few parts where there are few keys.
            free: vec![
                Default::default();
                if settings.max_repeatable_keys < FREE_PARTS * FREE_PARTS { 1 } else { FREE_PARTS }
            ],
            accounts: BTreeMap::new(),
            quotas: BTreeMap::new(),
            servers: BTreeMap::new(),
            counts: Counts::default(),
            debts: BTreeMap::new(),
            out: Vec::new(),
        }
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// All keys that must not run twice and may have.
    pub fn violations(&self) -> Vec<DuplicateRun> {
        self.keys.keys().filter_map(|place| self.story(place)).filter(|s| s.placements.len() > 1).collect()
    }

    /// Placements that have no end yet.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// An account's standing has changed, or is learned of; placements that are remembered are judged again: some at once, the rest in
    /// slices.
    pub fn change_standing(&mut self, tenant: &str, change: StandingChange) -> Vec<Decision> {
        let account = self.accounts.entry(tenant.to_string()).or_default();
        account.changes.insert(change.number, change);
        self.again.extend(account.recent.keys().map(|at| (tenant.to_string(), *at)));
        self.judge_again(self.settings.steps_per_slice);
        self.decisions()
    }

    /// How many steps that took.
    fn judge_again(&mut self, most: usize) -> usize {
        let some = most.min(self.again.len());
        for _ in 0..some {
            if let Some((tenant, at)) = self.again.pop_front() {
                self.judge(&tenant, at);
            }
        }
        some
    }

    /// So many jobs may be begun on unconfirmed standing, over all sites together, taken after `since`, when it was confirmed last.
    pub fn set_credit(&mut self, tenant: &str, whole: u64, since: Micros) -> Vec<Decision> {
        let account = self.accounts.entry(tenant.to_string()).or_default();
        if account.credit.is_none_or(|(_, before)| before != since) {
            account.on_credit.retain(|_, taken| *taken > since);
            account.charged = 0;
        }
        account.credit = Some((whole, since));
        self.charge(tenant);
        self.decisions()
    }

    /// So many placements a span are a tenant's whole quota.
    pub fn set_quota(&mut self, tenant: &str, a_span: u64) {
        self.accounts.entry(tenant.to_string()).or_default().quota = Some(a_span);
    }

    /// Go on for [`Settings::steps`] steps: give up what has no end for too long by `now`, in Unix time, judge again what is to be, and read what
    /// is new: `news` where something may have come since the last slice. What follows, and whether there is more to do.
    pub fn slice(
        &mut self,
        holdings: &impl LogReplicas,
        now: Micros,
        updates: bool,
    ) -> (Vec<Decision>, bool) {
        if updates {
            (self.calm, self.level) = (0, false);
        }
        let most = self.settings.steps_per_slice.max(1);
        let mut left = most - self.give_up(now, most);
        left -= self.judge_again(left);
        let more = match left {
            0 => true,
            _ => !self.level && self.read(holdings, left),
        };
        (self.decisions(), more || !self.again.is_empty())
    }

    /// Read all that is new at once; what follows.
    pub fn read_all(&mut self, holdings: &impl LogReplicas) -> Vec<Decision> {
        self.calm = 0;
        while self.read(holdings, usize::MAX) {}
        self.judge_again(usize::MAX);
        self.decisions()
    }

    /// Whether there is more to read.
    fn read(&mut self, holdings: &impl LogReplicas, most: usize) -> bool {
        let writers = holdings.writers();
        let first = self.turn.take().map_or(0, |turn| writers.partition_point(|w| *w < turn));
        let mut left = most;
        for writer in writers.iter().cycle().skip(first) {
            if self.calm >= writers.len() || left == 0 {
                self.turn = Some(writer.clone());
                break;
            }
            let before = left;
            if !self.read_log(holdings, writer, &mut left) {
                (self.turn, self.calm) = (Some(writer.clone()), 0);
                break;
            }
            if left < before {
                self.calm = 1;
            } else {
                self.calm += 1;
                left -= 1;
            }
        }
        self.level = self.calm >= writers.len();
        !self.level
    }

    /// Whether it was read to its end. There has to be a step left.
    fn read_log(&mut self, holdings: &impl LogReplicas, writer: &Writer, left: &mut usize) -> bool {
        let mut points = self.seen.remove(writer).unwrap_or_default();
        holdings.prune(writer, &mut points);
        if points.is_empty() {
            // What was sealed before it was read here is known by its guarded keys only.
            let sealed = holdings.sealed(writer);
            let at = self.sealing.take().filter(|(w, point, _)| w == writer && *point == sealed);
            let mut from = at.map_or(0, |(.., from)| from);
            loop {
                // One is said to have 40 bytes and its names.
                let (total, retained_keys) = holdings.retained_keys(writer, from, left.saturating_mul(40));
                from += retained_keys.len() as u64;
                *left = left.saturating_sub(retained_keys.len());
                retained_keys.into_iter().for_each(|kept| self.apply_retained_key(writer, kept));
                if from >= total {
                    break;
                }
                if *left == 0 {
                    self.sealing = Some((writer.clone(), sealed, from));
                    return false;
                }
            }
            points.push(sealed);
        }
        let mut all = false;
        while !all && *left > 0 {
            let walked = holdings.visit_missing(writer, &points, 1 << 16, &mut |point, entry| {
                *left -= 1;
                if let Ok(timed) = hash_chain::decode(point.0, entry) {
                    self.entry(holdings, writer, point, timed.at, timed.entry);
                }
                *left > 0
            });
            match walked {
                Some((before, last)) => {
                    points.retain(|p| *p != before);
                    points.push(last);
                }
                None => all = true,
            }
        }
        self.seen.insert(writer.clone(), points);
        all
    }

    /// What has no end for too long by now, in Unix time, is given up: if it must not run twice it may have run. [`Settings::steps`] of it at most.
    pub fn give_up_overdue(&mut self, now: Micros) -> Vec<Decision> {
        self.give_up(now, self.settings.steps_per_slice.max(1));
        self.decisions()
    }

    /// How many were given up.
    fn give_up(&mut self, now: Micros, most: usize) -> usize {
        let mut count = 0;
        while let Some((at, place)) = self.due.first().copied().filter(|_| count < most) {
            if at.saturating_add(self.settings.give_up_after) > now {
                break;
            }
            count += 1;
            self.due.remove(&(at, place));
            let Some(open) = self.open.get(&place) else { continue };
            match open.guarded.clone() {
                None => {
                    self.counts.lost += 1;
                    self.open.remove(&place);
                }
                Some((class, key)) => self.may_have_run(class, key, place),
            }
        }
        count
    }

    fn decisions(&mut self) -> Vec<Decision> {
        for ((tenant, kind), jobs) in std::mem::take(&mut self.debts) {
            self.out.push(Decision::Debt { tenant, kind, jobs });
        }
        std::mem::take(&mut self.out)
    }

    fn writer(&mut self, writer: &Writer) -> (u32, u64) {
        let site = 1 << self.sites.number(&writer.site).min(63);
        if let Some(number) = self.writers.get(writer) {
            return (*number, site);
        }
        let number = self.by_number.len() as u32;
        self.by_number.push(writer.clone());
        self.writers.insert(writer.clone(), number);
        (number, site)
    }

    fn by_number(&self, number: u32) -> Writer {
        let nobody = || Writer { site: String::new(), node: String::new(), log: 0 };
        self.by_number.get(number as usize).cloned().unwrap_or_else(nobody)
    }

    fn entry(
        &mut self,
        holdings: &impl LogReplicas,
        writer: &Writer,
        (number, digest): Point,
        at: Micros,
        entry: Entry,
    ) {
        let (who, site) = self.writer(writer);
        match entry {
            Entry::Placed(placement) => self.placed((who, number, tag(&digest)), site, at, placement),
            Entry::Ended { of, how } => {
                self.counts.ends += 1;
                let mut places = self.open.range((who, of, 0)..=(who, of, u64::MAX)).map(|(place, _)| *place);
                let place = match (places.next(), places.next()) {
                    (one, None) => one,
                    // The log forked: it ends what is on its own line.
                    (Some(_), Some(_)) => {
                        let own = holdings.digest_on_branch(writer, &(number, digest), of);
                        own.map(|d| (who, of, tag(&d))).filter(|place| self.open.contains_key(place))
                    }
                    (None, Some(_)) => None,
                };
                if let Some(place) = place {
                    return self.ended(place, site, at, how);
                }
                self.counts.unmatched_ends += 1;
                // A log that forked after a placement may end it twice.
                if holdings.heads(writer).len() > 1 {
                    let own =
                        holdings.digest_on_branch(writer, &(number, digest), of).map(|d| (who, of, tag(&d)));
                    let of_place =
                        |key: &Key| key.key_placements.iter().any(|(place, _)| Some(*place) == own);
                    let named =
                        self.keys.iter().find(|(_, key)| of_place(key)).map(|(named, _)| named.clone());
                    if let (Some(named), Some(place)) = (named, own) {
                        self.settled(named, place, how);
                    }
                }
            }
        }
    }

    fn placed(&mut self, place: Place, site: u64, at: Micros, placement: Placement) {
        self.counts.placements += 1;
        let server = self.names.number(&placement.server);
        let class = self.names.number(&placement.class);
        let Placement { key, guarded, tenant, standing, on_credit, fence, taken, .. } = placement;
        self.counts.on_credit += u64::from(on_credit);
        self.use_server(server, site, at, on_credit);
        let (who, number) = (place.0.to_be_bytes(), place.1.to_be_bytes());
        let job = match &key {
            Some(key) => hashed([
                placement.class.as_bytes(),
                tenant.as_deref().unwrap_or_default().as_bytes(),
                key.as_bytes(),
            ]),
            None => hashed([&who[..], &number[..], &place.2.to_be_bytes()[..]]),
        };
        if let Some(tenant) = &tenant {
            self.account(tenant, place, job, (at, taken), standing, on_credit);
        }
        let mut open = Open { at, server, guarded: None, alone: on_credit };
        if guarded {
            self.counts.guarded += 1;
            open.guarded = Some((class, key.clone()));
            if let Some(key) = key {
                let key_placement = KeyPlacement { at, server, fence, standing, how: None, notified: false };
                self.keys
                    .entry((class, key.clone()))
                    .or_default()
                    .key_placements
                    .push((place, key_placement));
                self.report(&(class, key));
            }
        } else if key.is_some() {
            self.free_key(job, site);
        }
        self.open.insert(place, open);
        self.due.insert((at, place));
    }

    fn ended(&mut self, place: Place, site: u64, at: Micros, how: End) {
        let Some(open) = self.open.get(&place).cloned() else { return };
        self.use_server(open.server, site, at, open.alone);
        self.due.remove(&(open.at, place));
        self.open.remove(&place);
        match open.guarded {
            Some((class, Some(key))) => self.settled((class, key), place, how),
            Some((class, None)) if how == End::Unknown => self.may_have_run(class, None, place),
            _ => {}
        }
    }

    /// The placement of a key that must not run twice has ended so. Of two ends, as a log that forked may have them, the one that says more
    /// that it ran holds.
    fn settled(&mut self, named: (u32, String), place: Place, how: End) {
        let mut cleared = false;
        if let Some(found) = self.keys.get_mut(&named) {
            for (_, key_placement) in found.key_placements.iter_mut().filter(|(p, _)| *p == place) {
                if rank(key_placement.how) < rank(Some(how)) {
                    key_placement.how = Some(how);
                }
                cleared |= key_placement.notified && key_placement.how != Some(End::Unknown);
                key_placement.notified &= key_placement.how == Some(End::Unknown);
            }
        }
        self.report(&named);
        let (class, key) = named;
        if how == End::Unknown {
            self.may_have_run(class, Some(key), place);
        } else if cleared {
            self.out.push(Decision::Cleared { class: self.names.name(class), key });
        }
    }

    fn may_have_run(&mut self, class: u32, key: Option<String>, place: Place) {
        if let Some(key) = &key {
            let found = self.keys.get_mut(&(class, key.clone()));
            let key_placement = found.and_then(|k| k.key_placements.iter_mut().find(|(p, _)| *p == place));
            if key_placement
                .is_some_and(|(_, key_placement)| std::mem::replace(&mut key_placement.notified, true))
            {
                return;
            }
        }
        let (class, writer) = (self.names.name(class), self.by_number(place.0));
        self.out.push(Decision::MayHaveRun { class, key, writer, entry: place.1 });
    }

    fn story(&self, named: &(u32, String)) -> Option<DuplicateRun> {
        let key = self.keys.get(named)?;
        let record = |(place, key_placement): &(Place, KeyPlacement)| PlacementRecord {
            writer: self.by_number(place.0),
            number: place.1,
            at: key_placement.at,
            server: self.names.name(key_placement.server),
            fence: key_placement.fence,
            standing: key_placement.standing,
            how: key_placement.how,
        };
        let ran =
            key.key_placements.iter().filter(|(_, key_placement)| key_placement.how != Some(End::NeverRan));
        let mut placements: Vec<PlacementRecord> = ran.map(record).collect();
        placements.sort();
        Some(DuplicateRun { class: self.names.name(named.0), key: named.1.clone(), placements })
    }

    /// Say what is to be said of a key, where that is new.
    fn report(&mut self, named: &(u32, String)) {
        let Some(key) = self.keys.get_mut(named) else { return };
        let ran = key
            .key_placements
            .iter()
            .filter(|(_, key_placement)| key_placement.how != Some(End::NeverRan))
            .count();
        let before = std::mem::replace(&mut key.notified, ran);
        if ran > 1 && ran != before {
            self.out.extend(self.story(named).map(Decision::Violation));
        } else if ran <= 1 && before > 1 {
            self.out.push(Decision::Cleared { class: self.names.name(named.0), key: named.1.clone() });
        }
    }

    fn apply_retained_key(&mut self, writer: &Writer, kept: RetainedKey) {
        let (who, _) = self.writer(writer);
        let (class, server) = (self.names.number(&kept.class), self.names.number(&kept.server));
        let named = (class, kept.key);
        let key = self.keys.entry(named.clone()).or_default();
        if key.key_placements.iter().any(|(place, _)| place.0 == who && place.1 == kept.number) {
            return;
        }
        let key_placement = KeyPlacement {
            at: kept.at,
            server,
            fence: kept.fence,
            standing: 0,
            how: Some(kept.how),
            notified: false,
        };
        let place = (who, kept.number, 0);
        key.key_placements.push((place, key_placement));
        self.report(&named);
        if kept.how == End::Unknown {
            self.may_have_run(class, Some(named.1), place);
        }
    }

    fn free_key(&mut self, job: u64, site: u64) {
        let parts = self.free.len();
        // Neither the bits by which a table finds its places nor those by which it tells entries apart.
        let Some([now, before]) = self.free.get_mut((job >> 40) as usize % parts) else { return };
        let most = (self.settings.max_repeatable_keys / parts).max(1);
        let known = now.get(&job).or_else(|| before.get(&job)).copied().unwrap_or(0);
        self.counts.repeated += u64::from(known != 0 && known & site == 0);
        now.insert(job, known | site);
        if now.len() >= most {
            *before = std::mem::take(now);
        }
    }

    fn use_server(&mut self, server: u32, site: u64, at: Micros, alone: bool) {
        let (span, length) = (at.div_euclid(self.settings.span), self.settings.span);
        let used = self.servers.entry((span, server)).or_default();
        used.0 |= site;
        used.1 |= if alone { site } else { 0 };
        if used.0.count_ones() > 1 && used.1 != 0 && !std::mem::replace(&mut used.2, true) {
            let (from, to) = (span.saturating_mul(length), (span + 1).saturating_mul(length));
            self.out.push(Decision::SharedServer { server: self.names.name(server), from, to });
        }
        if self.servers.len() > self.settings.max_spans {
            self.servers.pop_first();
        }
    }

    fn account(
        &mut self,
        tenant: &str,
        place: Place,
        job: u64,
        (at, taken): (Micros, Micros),
        standing: u64,
        on_credit: bool,
    ) {
        if !self.accounts.contains_key(tenant) {
            self.accounts.insert(tenant.to_string(), Account::default());
        }
        let Some(account) = self.accounts.get_mut(tenant) else { return };
        account.recent.insert((taken, place), (standing, 0));
        if account.recent.len() > self.settings.placements_per_account.max(1) {
            account.recent.pop_first();
        }
        if let Some(quota) = account.quota {
            let span = at.div_euclid(self.settings.span);
            let used = self.quotas.entry((span, tenant.to_string())).or_default();
            used.0 += 1;
            if used.0 - used.1 > quota {
                used.1 += 1;
                *self.debts.entry((tenant.to_string(), DebtKind::Quota)).or_default() += 1;
            }
            if self.quotas.len() > self.settings.max_spans {
                self.quotas.pop_first();
            }
        }
        let counts = on_credit && account.credit.is_none_or(|(_, since)| taken > since);
        if counts {
            let first = account.on_credit.entry(job).or_insert(taken);
            *first = taken.min(*first);
        }
        self.judge(tenant, (taken, place));
        if counts {
            self.charge(tenant);
        }
    }

    /// Whether that placement began what was not to begin.
    fn judge(&mut self, tenant: &str, at: (Micros, Place)) {
        let Some(account) = self.accounts.get_mut(tenant) else { return };
        let Some((standing, blamed)) = account.recent.get_mut(&at) else { return };
        let Some(change) = account.changes.values().rev().find(|c| c.from <= at.0) else { return };
        if change.takes_new || *blamed == change.number {
            return;
        }
        *blamed = change.number;
        let awareness = if *standing >= change.number { Awareness::Aware } else { Awareness::Unaware };
        let (tenant, number, entry) = (tenant.to_string(), change.number, at.1 .1);
        let writer = self.by_number(at.1 .0);
        self.out.push(Decision::Standing { tenant, number, awareness, writer, entry });
    }

    fn charge(&mut self, tenant: &str) {
        let Some(account) = self.accounts.get_mut(tenant) else { return };
        let Some((whole, _)) = account.credit else { return };
        let above = (account.on_credit.len() as u64).saturating_sub(whole);
        if above > account.charged {
            let jobs = above - account.charged;
            account.charged = above;
            *self.debts.entry((tenant.to_string(), DebtKind::Credit)).or_default() += jobs;
        }
    }
}
