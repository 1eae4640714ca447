//! Model check of two sites with one account and one guarded key, over the real accounts, placements, sites and quota
//! code together: partitions, crashes with or without the disk, clock drift, and delayed or lost messages.
//!
//! Simplifications: the quota server never fails, a grant is lost when a new one is requested, and a credit note is
//! durable at once. The key and the account are searched completely only separately; together they are searched in
//! part and by random walks. A site that has lost its disk returns under another name, without a key range.

use shorepath_accounts::admission::{decide, restrictions, AdmissionDecision, CreditBalances, Now};
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::credit::{divide, Credit, CreditBalance, CreditRecord, NodeCredit, SiteShare};
use shorepath_accounts::in_flight::{AcceptedRequests, Key};
use shorepath_accounts::registry::AccountRegistry;
use shorepath_accounts::{AccountStatus, Change};
use shorepath_placements::hash_chain::{encode, next_digest, origin, Piece, Point};
use shorepath_placements::history::History;
use shorepath_placements::idempotency_index::{IdempotencyIndex, KeyState};
use shorepath_placements::{End, Entry, Placement, Timed, Writer};
use shorepath_quota::lease::Holder;
use shorepath_quota::ledger::Ledger;
use shorepath_quota::{Grant, LeasePeriod, Micros, NodeId, NodeIncarnation};
use shorepath_sites::catch_up::{CatchUp, Message};
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::key_ownership::{Fence, KeyOwnership, PersistedOwnership, Proof};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A lease lasts for 20 units, which are two ticks; clocks advance by 8 to 12 units a tick.
const TERM: LeasePeriod = LeasePeriod { length: 20, drift_ppm: 200_000, longest: 0 };
/// Budget of the key's range, whose home is in the first site.
const BUDGET: &str = "home:a/n";
const CLASS: &str = "valve";
const ACME: &str = "acme";
const CREDIT: Credit = Credit { total: 2, reserve: 0, shrink_after: 1_000 };
/// Status of the account in successive accounts files: closing, then not listed.
const FILES: [Option<AccountStatus>; 2] = [Some(AccountStatus::Closing), None];
/// Number of the guarded job; other jobs are numbered from 1.
const GUARDED: u8 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The quota server grants the range to a successor before the last lease has certainly expired.
    GrantsEarly,
    /// A site that has lost its disk continues under its name as if it had never written anything.
    KeepsName,
    /// A restarted site considers its credit unspent.
    RefillsCredit,
    /// A received account registry replaces the known one even if it is older.
    AcceptsOlder,
    /// A job is sent before its placement is durable.
    SendsBeforeWrite,
    /// A job is sent although the lease has expired since its placement.
    SendsAfterExpiry,
    /// Admitted jobs are forgotten when their account closes.
    ForgetsAdmitted,
    /// A site replicates only its own log, so entries of a lost disk are never restored.
    SharesOwnLogOnly,
}

/// Numbers that bound the explored states of a model.
#[derive(Clone, Copy, Debug)]
struct SearchLimits {
    ticks: Micros,
    /// Lease requests of each incarnation of a site.
    max_requests: u8,
    /// Jobs besides the guarded one.
    jobs: u8,
    /// Accounts files.
    files: usize,
    partitions: u8,
    crashes: u8,
    /// Largest size of a transferred piece of history in bytes, unless it has a single entry.
    piece: usize,
}

/// A site's copy of the logs of all nodes, with derived values that are computed once.
#[derive(Clone, Debug)]
struct LogReplica {
    history: Arc<History>,
    bytes: Arc<Vec<u8>>,
    known: KeyState,
}

impl LogReplica {
    fn of(history: History) -> LogReplica {
        let mut keys = IdempotencyIndex::default();
        for writer in history.writers() {
            let last = history.heads(writer).iter().map(|p| p.0).max().unwrap_or(0);
            for number in 1..=last {
                let entry = history.entry(writer, number).unwrap().entry;
                keys.apply_entry(writer, number, &entry);
            }
        }
        let (bytes, known) = (Arc::new(history.canonical_bytes()), keys.state(CLASS, "key"));
        LogReplica { history: Arc::new(history), bytes, known }
    }
}

impl PartialEq for LogReplica {
    fn eq(&self, other: &LogReplica) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for LogReplica {}

impl Hash for LogReplica {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.bytes.hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Site {
    rate: Micros,
    life: u64,
    /// The disk was lost; the site has another name and no key range.
    renamed: bool,
    holder: Holder,
    ownership: KeyOwnership,
    persisted: PersistedOwnership,
    requests: u8,
    /// A grant in transit to the site.
    grant: Option<Grant>,
    writer: Writer,
    /// The last durable entry of its own log.
    head: Point,
    replica: LogReplica,
    registry: AccountRegistry,
    balance: CreditBalance,
    note: Option<CreditRecord>,
    accepted_requests: AcceptedRequests,
    /// Running jobs, with the number of their durable placement.
    running: BTreeMap<u8, u64>,
    /// The fence of the guarded job's placement, which is not durable yet.
    pending: Option<Fence>,
    /// The account status has not been confirmed since the last partition or restart.
    unconfirmed: bool,
    /// The greatest number of a received accounts file.
    file_number: u64,
    /// Jobs started on credit since the account status was last confirmed, over restarts.
    started_on_credit: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: Micros,
    sites: [Arc<Site>; 2],
    /// Index of the site that a partition separates from the other site and the quota server.
    separable: usize,
    partitioned: bool,
    partitions: u8,
    crashes: u8,
    allocator: Ledger,
    issued: usize,
    jobs: u8,
    /// Actual number of runs of the guarded job.
    runs: u8,
    /// The guarded job ran at the second site.
    ran_at_successor: bool,
    /// A site has admitted a new job that its accounts file rejects.
    admitted_wrongly: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    AdvanceClocks,
    Partition,
    EndPartition,
    /// A crash of a site; whether its disk survives.
    Crash(usize, bool),
    /// A site receives the next accounts file.
    Issue(usize),
    /// A site sends its account registry to the other one.
    SendRegistry(usize),
    /// A site sends a piece of its history to the other one.
    SendHistory(usize),
    /// The links have been intact for long enough to confirm the account status.
    Confirm(usize),
    /// A site requests the range or releases it, and the quota server answers.
    RequestLease(usize, u64),
    ReceiveGrant(usize),
    /// A site asks the other one for the end of its log, which answers.
    Prove(usize),
    StartJob(usize),
    /// A client requests the guarded job, which is placed if allowed.
    PlaceGuarded(usize),
    /// The placement becomes durable, and the job is sent.
    SendGuarded(usize),
    Finish(usize, u8),
}

struct World {
    fault: Fault,
    limits: SearchLimits,
    config: SitesConfig,
    key: String,
    parts: Vec<NodeCredit>,
}

fn world(fault: Fault, limits: SearchLimits) -> World {
    let text = r#"(sites (fleet "f") (key "k") (site a (node n "1.1.1.1:1") (bears 1)) (site b (node m "1.1.1.1:2") (bears 1)))"#;
    let config = read("s", text).unwrap();
    let ownership = KeyOwnership::new(0, &config, &PersistedOwnership::default());
    let key = (0..100).map(|k| format!("k{k}")).find(|k| ownership.home(k) == "a/n").unwrap();
    let share = || SiteShare { site: String::new(), nodes: 1, weight: None };
    let parts = divide(&CREDIT, &[share(), share()]).unwrap().concat();
    World { fault, limits, config, key, parts }
}

fn file(number: usize) -> AccountsFile {
    let change = |standing| Change { number: number as u64, standing, from: 0, reason: String::new() };
    let named = FILES[number - 1].map(|s| (ACME.to_string(), change(s)));
    AccountsFile::new(number as u64, named.into_iter().collect())
}

/// Returns whether an accounts file rejects new jobs; number 0 is no file.
fn rejects_new_jobs(number: u64) -> bool {
    number > 0 && FILES[number as usize - 1].is_some()
}

fn name(job: u8) -> Key {
    Key::Idempotency(job.to_string())
}

/// Returns the time of a site's clock; clocks differ in offset and rate.
fn clock(s: &State, n: usize) -> Micros {
    1_000 * (n as Micros + 1) + s.tick * s.sites[n].rate
}

/// Transfers the next missing piece to another history, of all logs or of one, and returns the number of new entries.
fn transfer(of: &History, writer: Option<&Writer>, to: &mut History, max_bytes: usize) -> u64 {
    for writer in of.writers().filter(|w| writer.is_none_or(|own| own == *w)) {
        if let Some(piece) = of.missing(writer, &to.heads(writer), max_bytes) {
            return to.insert(&piece).unwrap();
        }
    }
    0
}

impl Site {
    fn now(&self) -> Now {
        Now { unix: 1, steady: 1, unconfirmed_since: self.unconfirmed.then_some(0) }
    }

    /// Appends an entry to its own log.
    fn write(&mut self, entry: Entry) {
        let bytes = encode(&Timed { at: 1, entry }).unwrap();
        let (after, before) = self.head;
        self.head = (after + 1, next_digest(&before, &bytes));
        let writer = self.writer.clone();
        let piece = Piece { writer, after, before, entries: vec![bytes], head: self.head.1 };
        let mut history = (*self.replica.history).clone();
        assert_eq!(history.insert(&piece), Ok(1));
        self.replica = LogReplica::of(history);
    }

    fn placed(&mut self, job: u8, fence: u64, on_credit: bool) {
        let guarded = job == GUARDED;
        let key = Some(if guarded { "key".to_string() } else { job.to_string() });
        let class = if guarded { CLASS } else { "free" }.to_string();
        let (server, standing) = ("s".to_string(), self.registry.newest_number());
        let tenant = Some(ACME.to_string());
        let (list, taken) = (1, 1);
        let entry =
            Placement { key, class, guarded, tenant, server, standing, taken, on_credit, list, fence };
        self.write(Entry::Placed(entry));
        self.running.insert(job, self.head.0);
    }

    /// Returns whether an admitted request of the account uses credit; `None` if it is rejected.
    fn admit(&mut self, fault: Fault, job: u8) -> Option<bool> {
        if let Some(note) = self.balance.record_to_write().filter(|_| self.unconfirmed) {
            self.balance.record_written(note);
            self.note = Some(note);
        }
        let now = self.now();
        let admission = decide(
            &self.registry,
            Some(&mut self.balance),
            &self.accepted_requests,
            ACME,
            Some(&name(job)),
            now,
        );
        let on_credit = match admission {
            AdmissionDecision::Refuse(_) => return None,
            admission => admission == AdmissionDecision::AdmitOnCredit,
        };
        self.started_on_credit += u64::from(on_credit);
        self.accepted_requests.record(ACME, Some(&name(job)), 1);
        if fault == Fault::ForgetsAdmitted && self.registry.standing_at(ACME, 1).rejects_new_work() {
            self.accepted_requests = AcceptedRequests::new(8, 100);
        }
        Some(on_credit)
    }

    fn receive(&mut self, fault: Fault, number: u64, what: impl FnOnce(&mut AccountRegistry)) {
        if fault == Fault::AcceptsOlder {
            self.registry = AccountRegistry::new();
        }
        what(&mut self.registry);
        self.file_number = self.file_number.max(number);
        if fault == Fault::ForgetsAdmitted && self.registry.standing_at(ACME, 1).rejects_new_work() {
            self.accepted_requests = AcceptedRequests::new(8, 100);
        }
    }
}

impl World {
    fn life(&self, n: usize, incarnation: u64) -> NodeIncarnation {
        let number = self.config.nodes().nth(n).unwrap().1.number;
        NodeIncarnation { node: NodeId(number), incarnation }
    }

    fn writer(n: usize, log: u64) -> Writer {
        let node = if log == 1 { ["n", "m"][n].to_string() } else { format!("new{n}") };
        Writer { site: ["a", "b"][n].into(), node, log }
    }

    fn start(&self, n: usize, rate: Micros) -> Site {
        let life = self.life(n, 1);
        let writer = World::writer(n, 1);
        let part = self.parts[n];
        Site {
            rate,
            life: 1,
            renamed: false,
            holder: Holder::new(life, 0, TERM),
            ownership: KeyOwnership::new(life.node.0, &self.config, &self.initial_state()),
            persisted: self.initial_state(),
            requests: 0,
            grant: None,
            head: origin(&writer),
            writer,
            replica: LogReplica::of(History::new()),
            registry: AccountRegistry::new(),
            balance: CreditBalance::restore(part, CREDIT.shrink_after, 1, Some(CreditRecord::default())),
            note: Some(CreditRecord::default()),
            accepted_requests: AcceptedRequests::new(8, 100),
            running: BTreeMap::new(),
            pending: None,
            unconfirmed: false,
            file_number: 0,
            started_on_credit: 0,
        }
    }

    /// Returns the initial state on the disk of a new fleet, in which nothing has been placed.
    fn initial_state(&self) -> PersistedOwnership {
        let fences = BTreeMap::from([("a/n".to_string(), Fence { epoch: 0, number: 0 })]);
        let settled_nodes: BTreeSet<u32> = self.config.nodes().map(|(_, n)| n.number).collect();
        PersistedOwnership { fences, current_nodes: settled_nodes.clone(), settled_nodes }
    }

    /// Returns whether a site can exchange messages with the others.
    fn linked(&self, s: &State, n: usize) -> bool {
        !(s.partitioned && s.separable == n)
    }

    /// Returns whether a site holds the range, whatever the history.
    fn holds_range(&self, s: &State, n: usize) -> bool {
        s.sites[n].ownership.may_place(&self.key, clock(s, n), |_| Proof::Clean).is_ok()
    }

    fn shared_log<'a>(&self, site: &'a Site) -> Option<&'a Writer> {
        (self.fault == Fault::SharesOwnLogOnly).then_some(&site.writer)
    }

    /// Returns whether the histories and account registries of both sites agree once all messages are exchanged.
    fn converges(&self, s: &State) -> bool {
        let [a, b] = &s.sites;
        let mut all = [(*a.replica.history).clone(), (*b.replica.history).clone()];
        if a.replica != b.replica {
            loop {
                let [left, right] = &mut all;
                let new = transfer(left, self.shared_log(a), right, self.limits.piece)
                    + transfer(right, self.shared_log(b), left, self.limits.piece);
                if new == 0 {
                    break;
                }
            }
        }
        let (mut left, mut right) = (a.registry.clone(), b.registry.clone());
        if left.hash() != right.hash() {
            left.merge(&b.registry);
            right.merge(&a.registry);
        }
        let one_line = all[0].forks().is_empty() && all[1].forks().is_empty();
        one_line && all[0].canonical_bytes() == all[1].canonical_bytes() && left.hash() == right.hash()
    }

    /// Restarts a site.
    fn crash(&self, s: &mut State, n: usize, disk: bool) {
        let life = self.life(n, s.sites[n].life + 1);
        let site = Arc::make_mut(&mut s.sites[n]);
        (site.life, site.requests, site.grant, site.pending, site.unconfirmed) =
            (life.incarnation, 0, None, None, true);
        if !disk {
            (site.registry, site.file_number, site.note) = (AccountRegistry::new(), 0, None);
            site.running.clear();
            site.replica = LogReplica::of(History::new());
            if self.fault == Fault::KeepsName {
                (site.note, site.persisted) = (Some(CreditRecord::default()), self.initial_state());
            } else {
                (site.renamed, site.persisted) = (true, PersistedOwnership::default());
                site.writer = World::writer(n, 2);
            }
            site.head = origin(&site.writer);
        }
        let note = if self.fault == Fault::RefillsCredit { Some(CreditRecord::default()) } else { site.note };
        site.balance = CreditBalance::restore(self.parts[n], CREDIT.shrink_after, 1, note);
        site.accepted_requests = AcceptedRequests::new(8, 100);
        let names: Vec<Key> = site.running.keys().map(|job| name(*job)).collect();
        site.accepted_requests.restore(names.iter().map(|name| (ACME, name, 0)), 1);
        site.holder = Holder::new(life, 0, TERM);
        site.ownership = KeyOwnership::new(life.node.0, &self.config, &site.persisted);
        // All nodes use the same configuration.
        site.ownership.mark_settled();
    }

    fn request_lease(&self, s: &mut State, n: usize, wanted: u64) {
        let (now, at) = (clock(s, n), s.tick * 10);
        let life = self.life(n, s.sites[n].life);
        let site = Arc::make_mut(&mut s.sites[n]);
        let answers = site.holder.ask(now);
        (site.requests, site.grant) = (site.requests + 1, None);
        if wanted == 0 {
            // A released range must not be used from now on.
            site.ownership.lease_ended(BUDGET);
        }
        let early = if self.fault == Fault::GrantsEarly && n == 1 { TERM.for_allocator() } else { 0 };
        s.allocator.expire(at + early);
        let grant = s.allocator.offer(life, wanted, answers);
        if grant.amount > 0 || s.allocator.charged_units(life) > 0 {
            s.allocator.record(grant, at);
            site.grant = Some(grant);
        }
    }

    fn prove(&self, s: &mut State, n: usize) {
        let now = clock(s, n);
        let other = s.sites[1 - n].clone();
        let site = Arc::make_mut(&mut s.sites[n]);
        let unproven = site.ownership.unproven(now);
        let me = (self.life(n, 1).node.0, (site.writer.log, site.head.0));
        let mut catch_up = CatchUp::default();
        for (to, message) in catch_up.tick(&self.config, me, &unproven, &site.replica.history, 0).0 {
            let Message::Ask { home, fence } = message else { continue };
            catch_up.record_reply(to, &home, fence, other.writer.log, other.head.0);
        }
        let (_, proved) = catch_up.tick(&self.config, me, &unproven, &site.replica.history, 0);
        proved.iter().for_each(|(home, fence)| site.ownership.mark_proved(home, *fence));
    }

    fn place_guarded(&self, s: &mut State, n: usize) {
        let now = clock(s, n);
        let site = Arc::make_mut(&mut s.sites[n]);
        let may = site.ownership.may_place(&self.key, now, |_| Proof::Unknown);
        let Some(fence) = may.ok().filter(|_| site.replica.known == KeyState::Free) else { return };
        let must_reject = rejects_new_jobs(site.file_number)
            && !site.accepted_requests.contains(ACME, Some(&name(GUARDED)), 1);
        if site.admit(self.fault, GUARDED).is_none() {
            return;
        }
        s.admitted_wrongly |= must_reject;
        site.pending = Some(fence);
        site.persisted = site.ownership.persisted();
        if self.fault == Fault::SendsBeforeWrite {
            (s.runs, s.ran_at_successor) = (s.runs + 1, s.ran_at_successor || n == 1);
        }
    }

    fn send(&self, s: &mut State, n: usize) {
        let now = clock(s, n);
        let site = Arc::make_mut(&mut s.sites[n]);
        let Some(fence) = site.pending.take() else { return };
        site.placed(GUARDED, fence.as_u64(), false);
        if self.fault == Fault::SendsBeforeWrite {
            return;
        }
        if self.fault == Fault::SendsAfterExpiry || site.ownership.is_still_held(&self.key, fence, now) {
            (s.runs, s.ran_at_successor) = (s.runs + 1, s.ran_at_successor || n == 1);
        } else {
            // The job certainly never ran, which the client learns.
            let of = site.running.remove(&GUARDED).unwrap();
            site.write(Entry::Ended { of, how: End::NeverRan });
            site.accepted_requests.remove(ACME, Some(&name(GUARDED)));
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut all = Vec::new();
        // Without lease requests, clocks and partitions of the quota server don't matter.
        let keys = self.limits.max_requests > 0;
        for (a, b) in [(8, 12), (12, 8)].into_iter().take(if keys { 2 } else { 1 }) {
            for separable in 0..if keys { 2 } else { 1 } {
                all.push(State {
                    tick: 0,
                    sites: [Arc::new(self.start(0, a)), Arc::new(self.start(1, b))],
                    separable,
                    partitioned: false,
                    partitions: 0,
                    crashes: 0,
                    allocator: Ledger::new(1, 0, TERM),
                    issued: 0,
                    jobs: 0,
                    runs: 0,
                    ran_at_successor: false,
                    admitted_wrongly: false,
                });
            }
        }
        all
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        let limits = &self.limits;
        if s.tick < limits.ticks {
            actions.push(Step::AdvanceClocks);
        }
        if s.partitioned {
            actions.push(Step::EndPartition);
        } else if s.partitions < limits.partitions {
            actions.push(Step::Partition);
        }
        for n in 0..2 {
            let (site, other) = (&s.sites[n], &s.sites[1 - n]);
            if s.issued < limits.files {
                actions.push(Step::Issue(n));
            }
            if s.jobs < limits.jobs {
                actions.push(Step::StartJob(n));
            }
            if s.crashes < limits.crashes {
                actions.extend([Step::Crash(n, true), Step::Crash(n, false)]);
            }
            if !s.partitioned {
                if site.registry.hash() != other.registry.hash() {
                    actions.push(Step::SendRegistry(n));
                } else if site.unconfirmed {
                    actions.push(Step::Confirm(n));
                }
                if site.replica != other.replica {
                    actions.push(Step::SendHistory(n));
                }
                if !site.renamed && !other.renamed && !site.ownership.unproven(clock(s, n)).is_empty() {
                    actions.push(Step::Prove(n));
                }
            }
            if !site.renamed && self.linked(s, n) && site.requests < limits.max_requests {
                // The home requests the range repeatedly; the successor requests it once and then releases it.
                actions.push(Step::RequestLease(n, u64::from(n == 0 || site.requests == 0)));
            }
            if self.linked(s, n) && site.grant.is_some() {
                actions.push(Step::ReceiveGrant(n));
            }
            if !site.renamed && site.pending.is_none() && self.holds_range(s, n) {
                actions.push(Step::PlaceGuarded(n));
            }
            if site.pending.is_some() {
                actions.push(Step::SendGuarded(n));
            }
            actions.extend(site.running.keys().map(|job| Step::Finish(n, *job)));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let (mut s, fault) = (before.clone(), self.fault);
        match step {
            Step::AdvanceClocks => s.tick += 1,
            Step::Partition => {
                (s.partitioned, s.partitions) = (true, s.partitions + 1);
                s.sites.iter_mut().for_each(|site| Arc::make_mut(site).unconfirmed = true);
            }
            Step::EndPartition => s.partitioned = false,
            Step::Crash(n, disk) => {
                s.crashes += 1;
                self.crash(&mut s, n, disk);
            }
            Step::Issue(n) => {
                s.issued += 1;
                let number = s.issued;
                let site = Arc::make_mut(&mut s.sites[n]);
                site.receive(fault, number as u64, |registry| drop(registry.add_file(&file(number))));
            }
            Step::SendRegistry(n) => {
                let (registry, number) = (s.sites[n].registry.clone(), s.sites[n].file_number);
                let site = Arc::make_mut(&mut s.sites[1 - n]);
                site.receive(fault, number, |known| drop(known.merge(&registry)));
            }
            Step::SendHistory(n) => {
                let from = s.sites[n].clone();
                let site = Arc::make_mut(&mut s.sites[1 - n]);
                let mut history = (*site.replica.history).clone();
                if transfer(&from.replica.history, self.shared_log(&from), &mut history, self.limits.piece)
                    == 0
                {
                    return None;
                }
                site.replica = LogReplica::of(history);
            }
            Step::Confirm(n) => {
                let site = Arc::make_mut(&mut s.sites[n]);
                let change = site.registry.change_at(ACME, 1);
                site.balance.confirmed(&change);
                (site.unconfirmed, site.started_on_credit) = (false, 0);
            }
            Step::RequestLease(n, wanted) => self.request_lease(&mut s, n, wanted),
            Step::ReceiveGrant(n) => {
                let at = clock(&s, n);
                let site = Arc::make_mut(&mut s.sites[n]);
                let grant = site.grant.take()?;
                if site.holder.accept(grant, at) {
                    let requested_at = site.holder.expires_at()? - TERM.for_holder();
                    site.ownership.apply_grant(BUDGET, &grant, requested_at, TERM, at);
                    s.allocator.acknowledge(grant.holder, grant.number);
                }
            }
            Step::Prove(n) => self.prove(&mut s, n),
            Step::StartJob(n) => {
                s.jobs += 1;
                let job = s.jobs;
                let site = Arc::make_mut(&mut s.sites[n]);
                let must_reject = rejects_new_jobs(site.file_number);
                if let Some(on_credit) = site.admit(fault, job) {
                    site.placed(job, 0, on_credit);
                    s.admitted_wrongly |= must_reject;
                }
            }
            Step::PlaceGuarded(n) => self.place_guarded(&mut s, n),
            Step::SendGuarded(n) => self.send(&mut s, n),
            Step::Finish(n, job) => {
                let site = Arc::make_mut(&mut s.sites[n]);
                let of = site.running.remove(&job)?;
                site.write(Entry::Ended { of, how: End::Served });
            }
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ONCE, |_, s: &State| s.runs < 2),
            Property::always(ONE_OWNER, |w: &World, s: &State| !(w.holds_range(s, 0) && w.holds_range(s, 1))),
            Property::always(WITHIN_CREDIT, |w: &World, s: &State| {
                s.sites.iter().zip(&w.parts).all(|(site, part)| site.started_on_credit <= part.total)
            }),
            Property::always(REJECTED_WHEN_CLOSED, |_, s: &State| !s.admitted_wrongly),
            Property::always(RUNNING_CONTINUE, |_, s: &State| {
                s.sites.iter().all(|site| {
                    let sent = restrictions(&site.registry, &mut CreditBalances::new(), site.now())
                        .get(ACME)
                        .is_none_or(|restriction| restriction.may_send);
                    let repeat = |job: &u8| {
                        decide(
                            &site.registry,
                            None,
                            &site.accepted_requests,
                            ACME,
                            Some(&name(*job)),
                            site.now(),
                        ) == AdmissionDecision::Admit
                    };
                    sent && site.running.keys().all(repeat)
                })
            }),
            Property::always(CONVERGED, |w: &World, s: &State| w.converges(s)),
            Property::sometimes("a successor places proved keys", |_, s: &State| s.ran_at_successor),
            Property::sometimes("all of the credit is used", |_, s: &State| {
                s.sites.iter().map(|site| site.started_on_credit).sum::<u64>() == CREDIT.total
            }),
            Property::sometimes("a job finishes after its account closes", |_, s: &State| {
                let ends = |n: &Arc<Site>| n.file_number == 1 && n.running.is_empty() && n.head.0 > 1;
                s.sites.iter().any(ends)
            }),
            Property::sometimes("a job is admitted after its account reopens", |_, s: &State| {
                s.sites.iter().any(|n| n.file_number == 2 && !n.running.is_empty())
            }),
        ]
    }
}

const ONCE: &str = "the guarded key runs once";
const ONE_OWNER: &str = "one owner at a time";
const WITHIN_CREDIT: &str = "jobs started on credit stay within it";
const REJECTED_WHEN_CLOSED: &str = "no new job after the account closes";
const RUNNING_CONTINUE: &str = "running jobs continue";
const CONVERGED: &str = "histories and account registries converge";
const ALWAYS: [&str; 6] = [ONCE, ONE_OWNER, WITHIN_CREDIT, REJECTED_WHEN_CLOSED, RUNNING_CONTINUE, CONVERGED];

/// Search limits for one guarded key, no account, and one partition without crashes.
const KEY_WITH_PARTITION: SearchLimits =
    SearchLimits { ticks: 3, max_requests: 1, jobs: 0, files: 0, partitions: 1, crashes: 0, piece: 1 << 16 };
/// Search limits for one guarded key, no account, and one crash without a partition.
const KEY_WITH_CRASH: SearchLimits = SearchLimits { partitions: 0, crashes: 1, ..KEY_WITH_PARTITION };
/// Search limits for one account, no guarded key, and one partition without crashes.
const ACCOUNT_WITH_PARTITION: SearchLimits =
    SearchLimits { ticks: 0, max_requests: 0, jobs: 2, files: 2, partitions: 1, crashes: 0, piece: 1 << 16 };
/// Search limits for one account with a partition, a crash and one accounts file.
const ACCOUNT_WITH_CRASH: SearchLimits = SearchLimits { files: 1, crashes: 1, ..ACCOUNT_WITH_PARTITION };
/// Search limits for one guarded key with a partition and a crash, for long searches.
const KEY_WITH_BOTH: SearchLimits = SearchLimits { crashes: 1, ..KEY_WITH_PARTITION };
/// Search limits for one account with a partition, a crash, two accounts files, and histories sent entry by entry; for long
/// searches.
const ACCOUNT_WITH_ALL_FILES: SearchLimits = SearchLimits { crashes: 1, piece: 1, ..ACCOUNT_WITH_PARTITION };
/// Search limits for one guarded key and one account together, for long searches.
const KEY_AND_ACCOUNT: SearchLimits = SearchLimits { max_requests: 2, jobs: 1, files: 1, ..KEY_WITH_BOTH };
/// Limits of random walks over the guarded key and the account; too large for a search.
const RANDOM_WALK: SearchLimits =
    SearchLimits { ticks: 6, max_requests: 3, jobs: 2, files: 2, partitions: 2, crashes: 2, piece: 1 };

const SOMETIMES: [&str; 4] = [
    "a successor places proved keys",
    "all of the credit is used",
    "a job finishes after its account closes",
    "a job is admitted after its account reopens",
];

/// Explores the reachable states up to a number, breadth first; with a fault only until a property is violated.
fn explore(fault: Fault, limits: SearchLimits, rule: &'static str, max_states: usize) -> impl Checker<World> {
    let finish_when = match fault {
        Fault::None => HasDiscoveries::All,
        _ => HasDiscoveries::AllOf([rule].into()),
    };
    world(fault, limits)
        .checker()
        .threads(3)
        .target_state_count(max_states)
        .finish_when(finish_when)
        .spawn_bfs()
        .join()
}

fn assert_properties(what: &str, search: &impl Checker<World>, reached: &[&'static str]) {
    println!("{what}: {} states, depth {}", search.unique_state_count(), search.max_depth());
    ALWAYS.iter().for_each(|rule| search.assert_no_discovery(rule));
    reached.iter().for_each(|rule| drop(search.assert_any_discovery(rule)));
}

/// Guards against violations in small models, which are searched completely.
#[test]
fn small_models_have_no_violation() {
    let max_states = 400_000;
    for (what, limits, reached) in [
        ("the key with a partition", KEY_WITH_PARTITION, &SOMETIMES[..2]),
        ("the key with a crash", KEY_WITH_CRASH, &SOMETIMES[..1]),
        ("the account with a partition", ACCOUNT_WITH_PARTITION, &SOMETIMES[1..]),
        ("the account with a partition and a crash", ACCOUNT_WITH_CRASH, &SOMETIMES[1..3]),
    ] {
        let search = explore(Fault::None, limits, ONCE, max_states);
        assert_properties(what, &search, reached);
        assert!(search.state_count() < max_states, "the search stopped before it had explored all states");
    }
}

/// Takes random walks through the model that is too large for a search, and returns the number of visited states.
fn walk(seed: u64, max_states: usize) -> usize {
    let world = world(Fault::None, RANDOM_WALK);
    let properties = world.properties();
    let (mut rng, mut visited) = (oorandom::Rand32::new(seed), 0);
    let mut pick = |count: usize| rng.rand_range(0..count as u32) as usize;
    while visited < max_states {
        let mut all = world.init_states();
        let mut state = all.swap_remove(pick(all.len()));
        for _ in 0..80 {
            let mut steps = Vec::new();
            world.actions(&state, &mut steps);
            if steps.is_empty() {
                break;
            }
            let step = steps.swap_remove(pick(steps.len()));
            let Some(next) = world.next_state(&state, step.clone()) else { continue };
            let violated =
                properties.iter().find(|r| ALWAYS.contains(&r.name) && !(r.condition)(&world, &next));
            if let Some(rule) = violated {
                panic!("seed {seed}, state {visited}, {step:?} violates: {}", rule.name);
            }
            (state, visited) = (next, visited + 1);
        }
    }
    visited
}

#[test]
fn random_walks_find_no_violation() {
    println!("walks: {} states", walk(1, 40_000));
}

#[test]
fn each_injected_fault_is_found() {
    for (fault, limits, rule) in [
        (Fault::GrantsEarly, KEY_WITH_PARTITION, ONE_OWNER),
        (Fault::KeepsName, KEY_WITH_CRASH, ONCE),
        (Fault::KeepsName, ACCOUNT_WITH_CRASH, WITHIN_CREDIT),
        (Fault::KeepsName, ACCOUNT_WITH_CRASH, CONVERGED),
        (Fault::SendsBeforeWrite, KEY_WITH_CRASH, ONCE),
        (Fault::SendsAfterExpiry, KEY_WITH_PARTITION, ONCE),
        (Fault::RefillsCredit, ACCOUNT_WITH_CRASH, WITHIN_CREDIT),
        (Fault::AcceptsOlder, ACCOUNT_WITH_PARTITION, REJECTED_WHEN_CLOSED),
        (Fault::ForgetsAdmitted, ACCOUNT_WITH_PARTITION, RUNNING_CONTINUE),
        (Fault::SharesOwnLogOnly, ACCOUNT_WITH_CRASH, CONVERGED),
    ] {
        let search = explore(fault, limits, rule, 400_000);
        assert!(search.discovery(rule).is_some(), "{fault:?} does not violate: {rule}");
        println!("{fault:?} after {} states: {rule}", search.unique_state_count());
    }
}

/// `cargo test --release -p shorepath-sites --test joint -- --ignored --nocapture`
#[test]
#[ignore = "millions of states"]
fn long_searches_find_no_violation() {
    println!("walks: {} states", walk(2, 3_000_000));
    assert_properties(
        "the key with both",
        &explore(Fault::None, KEY_WITH_BOTH, ONCE, 10_000_000),
        &SOMETIMES[..2],
    );
    assert_properties(
        "the account with both",
        &explore(Fault::None, ACCOUNT_WITH_ALL_FILES, ONCE, 10_000_000),
        &SOMETIMES[1..],
    );
    assert_properties("together", &explore(Fault::None, KEY_AND_ACCOUNT, ONCE, 6_000_000), &SOMETIMES[..2]);
}
