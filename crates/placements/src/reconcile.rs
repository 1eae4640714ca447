//! Derives decisions from a history: jobs that ran twice, jobs that were started after their account was
//! closed, and usage above a quota or a credit limit.
//!
//! Each entry is read once, whatever arrives in between; the final result doesn't depend on the order. The
//! decisions change how the node acts: debts are paid off, and keys stay blocked.
//!
//! The work is divided into slices ([`Reconciler::slice`]) of a limited number of steps, so that a node's
//! event loop isn't blocked. A step is one entry, one examined log, one retained key of a sealed part, one
//! placement that is given up, or one that is evaluated again.
//!
//! Memory: about 200 bytes and its names for each guarded key, which are never freed, because a key that may
//! have run stays blocked; about 60 bytes for each open placement; about 70 bytes for each stored key of a
//! repeatable class ([`Settings::max_repeatable_keys`]). The rest is limited by [`Settings`] and by the
//! granted credit.

use crate::anti_entropy::LogReplicas;
use crate::hash_chain::{self, Digest, Point};
use crate::history::RetainedKey;
use crate::{End, Entry, Micros, Placement, Writer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};

/// Limits of what a reconciler stores and does at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time in microseconds after which a placement without an end is given up. It must exceed the longest
    /// job plus the difference of the nodes' clocks.
    pub give_up_after: Micros,
    /// Length in microseconds of the spans by which quotas and the use of servers are counted.
    pub span: Micros,
    /// Maximum number of pairs of a span and a tenant, and of a span and a server, that are stored; the
    /// oldest are dropped first.
    pub max_spans: usize,
    /// Number of keys of repeatable classes in one generation; two generations are stored, and the older one
    /// is dropped when the newer one is full. The keys are divided into up to 64 parts, each of which does
    /// this by itself.
    pub max_repeatable_keys: usize,
    /// Maximum number of recent placements that are stored for each account, to evaluate them again when a
    /// change of the account's standing arrives late.
    pub placements_per_account: usize,
    /// Maximum number of steps of one slice (see [`Reconciler::slice`]).
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

/// A change of an account's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StandingChange {
    /// Number of the change.
    pub number: u64,
    /// Unix time in microseconds from which the change applies.
    pub from: Micros,
    /// Whether the account may start new jobs.
    pub takes_new: bool,
}

/// Kind of use for which a tenant owes jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DebtKind {
    /// Jobs that were started while the account's standing was unconfirmed.
    Credit,
    /// Jobs above the quota.
    Quota,
}

/// Whether the node that started a job knew that the account was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Awareness {
    /// The node had not received the change yet.
    #[serde(rename = "good")]
    Unaware,
    /// The node had received it: the standing that it recorded is that change or a later one.
    #[serde(rename = "against-knowledge")]
    Aware,
}

/// One placement of a guarded key, as reported in a [`DuplicateRun`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlacementRecord {
    /// Log that contains the placement.
    pub writer: Writer,
    /// Entry number of the placement.
    pub number: u64,
    /// Time of the placement in microseconds, by the writer's clock.
    pub at: Micros,
    /// Id of the server.
    pub server: String,
    /// Fencing token under which the job was placed.
    pub fence: u64,
    /// Number of the account standing that the node knew.
    pub standing: u64,
    /// How the placement ended; `None` if it is open.
    pub how: Option<End>,
}

/// Placements of a guarded key that may have run more than once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DuplicateRun {
    /// Name of the request class.
    pub class: String,
    /// Idempotency key of the job.
    pub key: String,
    /// Placements that may have run, two or more.
    #[serde(rename = "scenes")]
    pub placements: Vec<PlacementRecord>,
}

/// A decision that follows from a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// A tenant used more than its limit; later shares pay the difference off ([`Debts`]).
    Debt {
        /// Tenant that owes the jobs.
        tenant: String,
        /// Limit that was exceeded.
        kind: DebtKind,
        /// Number of jobs.
        jobs: u64,
    },
    /// A job was started after its account had been closed to new jobs.
    Standing {
        /// Tenant whose account was closed.
        tenant: String,
        /// Number of the change that closed the account.
        number: u64,
        /// Whether the node that started the job knew of the change.
        #[serde(rename = "faith")]
        awareness: Awareness,
        /// Log that contains the placement.
        writer: Writer,
        /// Entry number of the placement.
        entry: u64,
    },
    /// A job may have run: it is neither repeated nor forgotten.
    MayHaveRun {
        /// Name of the request class.
        class: String,
        /// Idempotency key of the job; `None` if it has none.
        key: Option<String>,
        /// Log that contains the placement.
        writer: Writer,
        /// Entry number of the placement.
        entry: u64,
    },
    /// A later entry revokes an earlier decision about a key: its job never ran, or ran once.
    Cleared {
        /// Name of the request class.
        class: String,
        /// Idempotency key of the job.
        key: String,
    },
    /// Two sites used a server at the same time, at least one of them isolated. The speed observed then and
    /// its cold-start budget of that time must be corrected.
    SharedServer {
        /// Id of the server.
        server: String,
        /// Start of the span in microseconds, by the writers' clocks.
        from: Micros,
        /// End of the span in microseconds, by the writers' clocks.
        to: Micros,
    },
    /// A guarded key may have run more than once.
    Violation(DuplicateRun),
}

/// Counts of the entries that a reconciler has read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Number of placements.
    pub placements: u64,
    /// Number of placements that must not run twice.
    pub guarded: u64,
    /// Number of ends of placements.
    pub ends: u64,
    /// Number of ends without an open placement, which occur in forked logs.
    #[serde(rename = "strays")]
    pub unmatched_ends: u64,
    /// Number of keys of repeatable classes that were placed at more than one site.
    pub repeated: u64,
    /// Number of repeatable placements that were given up without an end.
    pub lost: u64,
    /// Number of placements that were accepted while the account's standing was unconfirmed.
    pub on_credit: u64,
}

/// Jobs owed for use above a limit. Each later share pays off at most a given part of itself, so that no
/// tenant is stopped completely.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Debts {
    owed: BTreeMap<String, BTreeMap<DebtKind, u64>>,
}

impl Debts {
    /// Adds jobs to a debt.
    pub fn add(&mut self, tenant: &str, kind: DebtKind, jobs: u64) {
        let owed = self.owed.entry(tenant.to_string()).or_default().entry(kind).or_default();
        *owed = owed.saturating_add(jobs);
    }

    /// Returns the owed number of jobs.
    pub fn owed(&self, tenant: &str, kind: DebtKind) -> u64 {
        self.owed.get(tenant).and_then(|kinds| kinds.get(&kind)).copied().unwrap_or(0)
    }

    /// Pays off a debt from a tenant's next share of `part` jobs, and returns what remains of the share. At
    /// most `share` thousandths of it are paid, but at least one job if the share has one.
    pub fn pay(&mut self, tenant: &str, kind: DebtKind, part: u64, share: u32) -> u64 {
        let Some(kinds) = self.owed.get_mut(tenant) else { return part };
        let Some(owed) = kinds.get_mut(&kind) else { return part };
        let payment_limit = (part / 1_000 * u64::from(share.min(1_000))
            + part % 1_000 * u64::from(share.min(1_000)) / 1_000)
            .max(1)
            .min(part);
        let payment = payment_limit.min(*owed);
        *owed -= payment;
        if *owed == 0 {
            kinds.remove(&kind);
            if kinds.is_empty() {
                self.owed.remove(tenant);
            }
        }
        part - payment
    }
}

/// Maps names to numbers, to store each name once.
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

/// Identifies an entry of a branch of a log: the number of its writer, its entry number, and the first 8
/// bytes of its digest.
type Place = (u32, u64, u64);

fn digest_prefix(digest: &Digest) -> u64 {
    digest.0.iter().take(8).fold(0, |all, b| all << 8 | u64::from(*b))
}

#[derive(Clone, Copy, Debug)]
struct KeyPlacement {
    at: Micros,
    server: u32,
    fence: u64,
    standing: u64,
    how: Option<End>,
    /// [`Decision::MayHaveRun`] was returned for the placement.
    reported: bool,
}

/// The placements of a guarded key.
#[derive(Clone, Debug, Default)]
struct KeyRecord {
    key_placements: Vec<(Place, KeyPlacement)>,
    /// Number of placements in the last reported violation.
    reported: usize,
}

#[derive(Clone, Debug)]
struct Open {
    at: Micros,
    server: u32,
    /// Class and key of a placement that must not run twice; `None` for others.
    guarded: Option<(u32, Option<String>)>,
    isolated: bool,
}

#[derive(Clone, Debug, Default)]
struct Account {
    changes: BTreeMap<u64, StandingChange>,
    credit: Option<(u64, Micros)>,
    quota: Option<u64>,
    /// Jobs on credit by hash, and when they were accepted.
    on_credit: BTreeMap<u64, Micros>,
    charged: u64,
    /// Recent placements by time of acceptance and place: the standing that the node knew, and the number of
    /// the change for which a decision was returned, or 0.
    recent: BTreeMap<(Micros, Place), (u64, u64)>,
}

/// Hasher for keys that are hashes already.
#[derive(Clone, Copy, Debug, Default)]
struct IdentityHasher(u64);

impl Hasher for IdentityHasher {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, _: &[u8]) {}
    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

/// Number of parts of the table of repeatable keys; growing or dropping one large table would block the
/// caller for too long.
const KEY_PARTS: usize = 64;

type KeySites = HashMap<u64, u64, BuildHasherDefault<IdentityHasher>>;

/// Reads histories and returns the decisions that follow from them.
#[derive(Clone, Debug)]
pub struct Reconciler {
    settings: Settings,
    seen: BTreeMap<Writer, Vec<Point>>,
    /// Log that is read next.
    next_log: Option<Writer>,
    /// Number of consecutive logs without new entries.
    idle_logs: usize,
    /// All entries that existed at the last update were read.
    all_read: bool,
    /// Sealed part of a log of which not all retained keys were read yet: the log, its last sealed entry, and
    /// the number of keys read.
    sealing: Option<(Writer, Point, u64)>,
    /// Placements that are to be evaluated again because their account's standing has changed.
    to_evaluate: VecDeque<(String, (Micros, Place))>,
    writers: BTreeMap<Writer, u32>,
    writers_by_number: Vec<Writer>,
    sites: Names,
    names: Names,
    keys: BTreeMap<(u32, String), KeyRecord>,
    open: BTreeMap<Place, Open>,
    /// Open placements by the time of their placement.
    due: BTreeSet<(Micros, Place)>,
    /// Repeatable keys by hash, with a bit for each site that placed them: the newer and the older generation
    /// of each part.
    repeatable_keys: Vec<[KeySites; 2]>,
    accounts: BTreeMap<String, Account>,
    /// Placements of a tenant in a span, and how many of them were charged.
    quotas: BTreeMap<(Micros, String), (u64, u64)>,
    /// Use of a server in a span: a bit for each site that used it, a bit for each of them that was isolated,
    /// and whether [`Decision::SharedServer`] was returned.
    servers: BTreeMap<(Micros, u32), (u64, u64, bool)>,
    counts: Counts,
    debts: BTreeMap<(String, DebtKind), u64>,
    out: Vec<Decision>,
}

/// Hashes the parts of a name by FNV-1a.
fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for part in parts {
        for b in part.iter().chain(&[0xff]) {
            hash = (hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    hash
}

/// Ranks ends; of several ends of one placement the one with the highest rank applies.
fn rank(how: Option<End>) -> u8 {
    match how {
        None => 0,
        Some(End::NeverRan) => 1,
        Some(End::Unknown) => 2,
        Some(End::Served) => 3,
    }
}

impl Reconciler {
    /// Creates a reconciler that has read nothing.
    pub fn new(settings: Settings) -> Reconciler {
        Reconciler {
            settings: Settings { span: settings.span.max(1), ..settings },
            seen: BTreeMap::new(),
            next_log: None,
            idle_logs: 0,
            all_read: false,
            sealing: None,
            to_evaluate: VecDeque::new(),
            writers: BTreeMap::new(),
            writers_by_number: Vec::new(),
            sites: Names::default(),
            names: Names::default(),
            keys: BTreeMap::new(),
            open: BTreeMap::new(),
            due: BTreeSet::new(),
            // A small table is not divided.
            repeatable_keys: vec![
                Default::default();
                if settings.max_repeatable_keys < KEY_PARTS * KEY_PARTS {
                    1
                } else {
                    KEY_PARTS
                }
            ],
            accounts: BTreeMap::new(),
            quotas: BTreeMap::new(),
            servers: BTreeMap::new(),
            counts: Counts::default(),
            debts: BTreeMap::new(),
            out: Vec::new(),
        }
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns all guarded keys that may have run more than once.
    pub fn violations(&self) -> Vec<DuplicateRun> {
        self.keys
            .keys()
            .filter_map(|place| self.duplicate_run(place))
            .filter(|s| s.placements.len() > 1)
            .collect()
    }

    /// Returns the number of placements without an end.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Records a change of an account's standing, which may be learned late. Stored placements are evaluated
    /// again, some at once and the rest in slices. Returns the decisions so far.
    pub fn change_standing(&mut self, tenant: &str, change: StandingChange) -> Vec<Decision> {
        let account = self.accounts.entry(tenant.to_string()).or_default();
        account.changes.insert(change.number, change);
        self.to_evaluate.extend(account.recent.keys().map(|at| (tenant.to_string(), *at)));
        self.evaluate_queued(self.settings.steps_per_slice);
        self.decisions()
    }

    /// Evaluates up to `max_steps` queued placements again; returns how many it did.
    fn evaluate_queued(&mut self, max_steps: usize) -> usize {
        let count = max_steps.min(self.to_evaluate.len());
        for _ in 0..count {
            if let Some((tenant, at)) = self.to_evaluate.pop_front() {
                self.evaluate(&tenant, at);
            }
        }
        count
    }

    /// Sets how many jobs a tenant may start at all sites together while its standing is unconfirmed. Only
    /// jobs accepted after `since`, the Unix time of the last confirmation in microseconds, count.
    pub fn set_credit(&mut self, tenant: &str, limit: u64, since: Micros) -> Vec<Decision> {
        let account = self.accounts.entry(tenant.to_string()).or_default();
        if account.credit.is_none_or(|(_, before)| before != since) {
            account.on_credit.retain(|_, taken| *taken > since);
            account.charged = 0;
        }
        account.credit = Some((limit, since));
        self.charge(tenant);
        self.decisions()
    }

    /// Sets a tenant's quota at all sites together, in placements per span.
    pub fn set_quota(&mut self, tenant: &str, jobs_per_span: u64) {
        self.accounts.entry(tenant.to_string()).or_default().quota = Some(jobs_per_span);
    }

    /// Performs up to [`Settings::steps_per_slice`] steps: gives up placements that have had no end for too
    /// long at `now` (Unix time in microseconds), evaluates queued placements again, and reads new entries.
    /// `updates` is `true` if entries may have arrived since the last slice. Returns the decisions, and
    /// whether there is more to do.
    pub fn slice(
        &mut self,
        replicas: &impl LogReplicas,
        now: Micros,
        updates: bool,
    ) -> (Vec<Decision>, bool) {
        if updates {
            (self.idle_logs, self.all_read) = (0, false);
        }
        let max_steps = self.settings.steps_per_slice.max(1);
        let mut left = max_steps - self.give_up(now, max_steps);
        left -= self.evaluate_queued(left);
        let more = match left {
            0 => true,
            _ => !self.all_read && self.read(replicas, left),
        };
        (self.decisions(), more || !self.to_evaluate.is_empty())
    }

    /// Reads all new entries at once and returns the decisions.
    pub fn read_all(&mut self, replicas: &impl LogReplicas) -> Vec<Decision> {
        self.idle_logs = 0;
        while self.read(replicas, usize::MAX) {}
        self.evaluate_queued(usize::MAX);
        self.decisions()
    }

    /// Reads up to `max_steps` steps of new entries; returns whether there is more to read.
    fn read(&mut self, replicas: &impl LogReplicas, max_steps: usize) -> bool {
        let writers = replicas.writers();
        let first = self.next_log.take().map_or(0, |next_log| writers.partition_point(|w| *w < next_log));
        let mut left = max_steps;
        for writer in writers.iter().cycle().skip(first) {
            if self.idle_logs >= writers.len() || left == 0 {
                self.next_log = Some(writer.clone());
                break;
            }
            let before = left;
            if !self.read_log(replicas, writer, &mut left) {
                (self.next_log, self.idle_logs) = (Some(writer.clone()), 0);
                break;
            }
            if left < before {
                self.idle_logs = 1;
            } else {
                self.idle_logs += 1;
                left -= 1;
            }
        }
        self.all_read = self.idle_logs >= writers.len();
        !self.all_read
    }

    /// Returns whether the log was read to its end. At least one step must be left.
    fn read_log(&mut self, replicas: &impl LogReplicas, writer: &Writer, left: &mut usize) -> bool {
        let mut points = self.seen.remove(writer).unwrap_or_default();
        replicas.prune(writer, &mut points);
        if points.is_empty() {
            // Entries that were sealed before they were read are known only by their retained keys.
            let sealed = replicas.sealed(writer);
            let at = self.sealing.take().filter(|(w, point, _)| w == writer && *point == sealed);
            let mut from = at.map_or(0, |(.., from)| from);
            loop {
                // The size limit assumes 40 bytes per key, not counting its names.
                let (total, retained_keys) = replicas.retained_keys(writer, from, left.saturating_mul(40));
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
            let walked = replicas.visit_missing(writer, &points, 1 << 16, &mut |point, entry| {
                *left -= 1;
                if let Ok(timed) = hash_chain::decode(point.0, entry) {
                    self.entry(replicas, writer, point, timed.at, timed.entry);
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

    /// Gives up placements that have had no end for too long at `now` (Unix time in microseconds), at most
    /// [`Settings::steps_per_slice`] of them. A given-up placement that must not run twice may have run.
    pub fn give_up_overdue(&mut self, now: Micros) -> Vec<Decision> {
        self.give_up(now, self.settings.steps_per_slice.max(1));
        self.decisions()
    }

    /// Gives up at most `max_steps` placements and returns how many it did.
    fn give_up(&mut self, now: Micros, max_steps: usize) -> usize {
        let mut count = 0;
        while let Some((at, place)) = self.due.first().copied().filter(|_| count < max_steps) {
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
        let number = self.writers_by_number.len() as u32;
        self.writers_by_number.push(writer.clone());
        self.writers.insert(writer.clone(), number);
        (number, site)
    }

    fn writer_by_number(&self, number: u32) -> Writer {
        let unknown_writer = || Writer { site: String::new(), node: String::new(), log: 0 };
        self.writers_by_number.get(number as usize).cloned().unwrap_or_else(unknown_writer)
    }

    fn entry(
        &mut self,
        replicas: &impl LogReplicas,
        writer: &Writer,
        (number, digest): Point,
        at: Micros,
        entry: Entry,
    ) {
        let (writer_number, site) = self.writer(writer);
        match entry {
            Entry::Placed(placement) => {
                self.placed((writer_number, number, digest_prefix(&digest)), site, at, placement)
            }
            Entry::Ended { of, how } => {
                self.counts.ends += 1;
                let mut places = self
                    .open
                    .range((writer_number, of, 0)..=(writer_number, of, u64::MAX))
                    .map(|(place, _)| *place);
                let place = match (places.next(), places.next()) {
                    (one, None) => one,
                    // The log forked: the end belongs to the placement on its own branch.
                    (Some(_), Some(_)) => {
                        let own = replicas.digest_on_branch(writer, &(number, digest), of);
                        own.map(|d| (writer_number, of, digest_prefix(&d)))
                            .filter(|place| self.open.contains_key(place))
                    }
                    (None, Some(_)) => None,
                };
                if let Some(place) = place {
                    return self.ended(place, site, at, how);
                }
                self.counts.unmatched_ends += 1;
                // A log that forked after a placement may contain two ends of it.
                if replicas.heads(writer).len() > 1 {
                    let own = replicas
                        .digest_on_branch(writer, &(number, digest), of)
                        .map(|d| (writer_number, of, digest_prefix(&d)));
                    let has_place =
                        |key: &KeyRecord| key.key_placements.iter().any(|(place, _)| Some(*place) == own);
                    let class_and_key = self
                        .keys
                        .iter()
                        .find(|(_, key)| has_place(key))
                        .map(|(class_and_key, _)| class_and_key.clone());
                    if let (Some(class_and_key), Some(place)) = (class_and_key, own) {
                        self.set_outcome(class_and_key, place, how);
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
        self.record_server_use(server, site, at, on_credit);
        let (writer_number, number) = (place.0.to_be_bytes(), place.1.to_be_bytes());
        let job = match &key {
            Some(key) => hash_parts([
                placement.class.as_bytes(),
                tenant.as_deref().unwrap_or_default().as_bytes(),
                key.as_bytes(),
            ]),
            None => hash_parts([&writer_number[..], &number[..], &place.2.to_be_bytes()[..]]),
        };
        if let Some(tenant) = &tenant {
            self.account(tenant, place, job, (at, taken), standing, on_credit);
        }
        let mut open = Open { at, server, guarded: None, isolated: on_credit };
        if guarded {
            self.counts.guarded += 1;
            open.guarded = Some((class, key.clone()));
            if let Some(key) = key {
                let key_placement = KeyPlacement { at, server, fence, standing, how: None, reported: false };
                self.keys
                    .entry((class, key.clone()))
                    .or_default()
                    .key_placements
                    .push((place, key_placement));
                self.report(&(class, key));
            }
        } else if key.is_some() {
            self.record_repeatable_key(job, site);
        }
        self.open.insert(place, open);
        self.due.insert((at, place));
    }

    fn ended(&mut self, place: Place, site: u64, at: Micros, how: End) {
        let Some(open) = self.open.get(&place).cloned() else { return };
        self.record_server_use(open.server, site, at, open.isolated);
        self.due.remove(&(open.at, place));
        self.open.remove(&place);
        match open.guarded {
            Some((class, Some(key))) => self.set_outcome((class, key), place, how),
            Some((class, None)) if how == End::Unknown => self.may_have_run(class, None, place),
            _ => {}
        }
    }

    /// Records the end of a guarded placement. A forked log may contain several; the one with the highest
    /// rank applies.
    fn set_outcome(&mut self, class_and_key: (u32, String), place: Place, how: End) {
        let mut cleared = false;
        if let Some(found) = self.keys.get_mut(&class_and_key) {
            for (_, key_placement) in found.key_placements.iter_mut().filter(|(p, _)| *p == place) {
                if rank(key_placement.how) < rank(Some(how)) {
                    key_placement.how = Some(how);
                }
                cleared |= key_placement.reported && key_placement.how != Some(End::Unknown);
                key_placement.reported &= key_placement.how == Some(End::Unknown);
            }
        }
        self.report(&class_and_key);
        let (class, key) = class_and_key;
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
                .is_some_and(|(_, key_placement)| std::mem::replace(&mut key_placement.reported, true))
            {
                return;
            }
        }
        let (class, writer) = (self.names.name(class), self.writer_by_number(place.0));
        self.out.push(Decision::MayHaveRun { class, key, writer, entry: place.1 });
    }

    fn duplicate_run(&self, class_and_key: &(u32, String)) -> Option<DuplicateRun> {
        let key = self.keys.get(class_and_key)?;
        let record = |(place, key_placement): &(Place, KeyPlacement)| PlacementRecord {
            writer: self.writer_by_number(place.0),
            number: place.1,
            at: key_placement.at,
            server: self.names.name(key_placement.server),
            fence: key_placement.fence,
            standing: key_placement.standing,
            how: key_placement.how,
        };
        let may_have_run =
            key.key_placements.iter().filter(|(_, key_placement)| key_placement.how != Some(End::NeverRan));
        let mut placements: Vec<PlacementRecord> = may_have_run.map(record).collect();
        placements.sort();
        Some(DuplicateRun {
            class: self.names.name(class_and_key.0),
            key: class_and_key.1.clone(),
            placements,
        })
    }

    /// Queues a decision about a key if its number of placements that may have run has changed.
    fn report(&mut self, class_and_key: &(u32, String)) {
        let Some(key) = self.keys.get_mut(class_and_key) else { return };
        let may_have_run_count = key
            .key_placements
            .iter()
            .filter(|(_, key_placement)| key_placement.how != Some(End::NeverRan))
            .count();
        let before = std::mem::replace(&mut key.reported, may_have_run_count);
        if may_have_run_count > 1 && may_have_run_count != before {
            self.out.extend(self.duplicate_run(class_and_key).map(Decision::Violation));
        } else if may_have_run_count <= 1 && before > 1 {
            self.out.push(Decision::Cleared {
                class: self.names.name(class_and_key.0),
                key: class_and_key.1.clone(),
            });
        }
    }

    fn apply_retained_key(&mut self, writer: &Writer, kept: RetainedKey) {
        let (writer_number, _) = self.writer(writer);
        let (class, server) = (self.names.number(&kept.class), self.names.number(&kept.server));
        let class_and_key = (class, kept.key);
        let key = self.keys.entry(class_and_key.clone()).or_default();
        if key.key_placements.iter().any(|(place, _)| place.0 == writer_number && place.1 == kept.number) {
            return;
        }
        let key_placement = KeyPlacement {
            at: kept.at,
            server,
            fence: kept.fence,
            standing: 0,
            how: Some(kept.how),
            reported: false,
        };
        let place = (writer_number, kept.number, 0);
        key.key_placements.push((place, key_placement));
        self.report(&class_and_key);
        if kept.how == End::Unknown {
            self.may_have_run(class, Some(class_and_key.1), place);
        }
    }

    fn record_repeatable_key(&mut self, job: u64, site: u64) {
        let parts = self.repeatable_keys.len();
        // Uses neither the bits by which the table selects a bucket nor those by which it compares entries.
        let Some([now, before]) = self.repeatable_keys.get_mut((job >> 40) as usize % parts) else { return };
        let max_keys = (self.settings.max_repeatable_keys / parts).max(1);
        let known = now.get(&job).or_else(|| before.get(&job)).copied().unwrap_or(0);
        self.counts.repeated += u64::from(known != 0 && known & site == 0);
        now.insert(job, known | site);
        if now.len() >= max_keys {
            *before = std::mem::take(now);
        }
    }

    fn record_server_use(&mut self, server: u32, site: u64, at: Micros, isolated: bool) {
        let (span, length) = (at.div_euclid(self.settings.span), self.settings.span);
        let used = self.servers.entry((span, server)).or_default();
        used.0 |= site;
        used.1 |= if isolated { site } else { 0 };
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
        self.evaluate(tenant, (taken, place));
        if counts {
            self.charge(tenant);
        }
    }

    /// Queues a decision if the placement was started after its account was closed.
    fn evaluate(&mut self, tenant: &str, at: (Micros, Place)) {
        let Some(account) = self.accounts.get_mut(tenant) else { return };
        let Some((standing, reported_change)) = account.recent.get_mut(&at) else { return };
        let Some(change) = account.changes.values().rev().find(|c| c.from <= at.0) else { return };
        if change.takes_new || *reported_change == change.number {
            return;
        }
        *reported_change = change.number;
        let awareness = if *standing >= change.number { Awareness::Aware } else { Awareness::Unaware };
        let (tenant, number, entry) = (tenant.to_string(), change.number, at.1 .1);
        let writer = self.writer_by_number(at.1 .0);
        self.out.push(Decision::Standing { tenant, number, awareness, writer, entry });
    }

    fn charge(&mut self, tenant: &str) {
        let Some(account) = self.accounts.get_mut(tenant) else { return };
        let Some((limit, _)) = account.credit else { return };
        let above = (account.on_credit.len() as u64).saturating_sub(limit);
        if above > account.charged {
            let jobs = above - account.charged;
            account.charged = above;
            *self.debts.entry((tenant.to_string(), DebtKind::Credit)).or_default() += jobs;
        }
    }
}
