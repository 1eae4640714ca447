//! Two sites, one account, one guarded key, over the real cores together: books and credit of accounts, logs, histories and keys of
//! placements, homes and their proof, holders and ledger of budgets. Either site is cut off and healed, crashes with its disk or
//! without, clocks are fast and slow, files are handed to either, grants come late or never, histories come in pieces.
//!
//! In every state that is reached: the guarded key ran once at most, what was begun on unconfirmed standing is within the credit,
//! nothing new is taken against what a site was told, running work goes on, and once all links are whole both sites end with one history
//! and one book. The same search finds each planted fault.
//!
//! Simplified: the divider is neither site and does not fail; a grant is lost where it is asked for anew; a note of credit is on the disk
//! at once. What is searched whole is the key and the account each for itself, over all the cores; both together are searched in part and
//! walked through by chance. A site whose disk is lost comes back under another name, as `docs/design/sites.md` asks for, which has no range of keys.

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

/// A lease holds for two ticks, and clocks go at 8, 10 or 12 a tick, which is 10 in truth.
const TERM: LeasePeriod = LeasePeriod { length: 20, drift_ppm: 200_000, longest: 0 };
/// The key's range is the first site's.
const BUDGET: &str = "home:a/n";
const CLASS: &str = "valve";
const ACME: &str = "acme";
const CREDIT: Credit = Credit { total: 2, reserve: 0, shrink_after: 1_000 };
/// What the authority's files say, one after the other: closing, and named no more.
const FILES: [Option<AccountStatus>; 2] = [Some(AccountStatus::Closing), None];
/// The guarded job; others count from 1.
const GUARDED: u8 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The divider gives an heir the range although the last lease may still hold.
    EarlyHeir,
    /// A site whose disk is lost goes on under its name as if it had never written anything.
    LostIsWhole,
    /// A site that starts takes its credit for unspent.
    Refill,
    /// A book that is heard replaces what is known, whatever its number.
    OlderWins,
    /// The first byte is sent before the placement is on the disk.
    SendsFirst,
    /// What was placed is sent although the lease has ended since.
    SendsLate,
    /// What was taken is forgotten as its account closes.
    Dropped,
    /// A site tells others its own log alone: what it holds of a disk that is lost comes back nowhere.
    OwnAlone,
}

/// How much is searched.
#[derive(Clone, Copy, Debug)]
struct Size {
    ticks: Micros,
    /// Askings of each life of a site.
    asks: u8,
    /// Free jobs, and files.
    jobs: u8,
    files: usize,
    cuts: u8,
    crashes: u8,
    /// Entries of a history that come at once are so many bytes at most, but one.
    piece: usize,
}

/// All that a site's disk and its partners' give of all logs. What is asked of it is made once.
#[derive(Clone, Debug)]
struct SiteReport {
    history: Arc<History>,
    bytes: Arc<Vec<u8>>,
    known: KeyState,
}

impl SiteReport {
    fn of(history: History) -> SiteReport {
        let mut keys = IdempotencyIndex::default();
        for writer in history.writers() {
            let last = history.heads(writer).iter().map(|p| p.0).max().unwrap_or(0);
            for number in 1..=last {
                let entry = history.entry(writer, number).unwrap().entry;
                keys.apply_entry(writer, number, &entry);
            }
        }
        let (bytes, known) = (Arc::new(history.canonical_bytes()), keys.state(CLASS, "key"));
        SiteReport { history: Arc::new(history), bytes, known }
    }
}

impl PartialEq for SiteReport {
    fn eq(&self, other: &SiteReport) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for SiteReport {}

impl Hash for SiteReport {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.bytes.hash(state);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Site {
    rate: Micros,
    life: u64,
    /// Its disk was lost: it has another name, and no range.
    renamed: bool,
    holder: Holder,
    ownership: KeyOwnership,
    kept: PersistedOwnership,
    asked: u8,
    /// A grant on its way to it.
    grant: Option<Grant>,
    writer: Writer,
    /// The last entry of its own log that is on the disk.
    head: Point,
    notified: SiteReport,
    book: AccountRegistry,
    balance: CreditBalance,
    note: Option<CreditRecord>,
    taken: AcceptedRequests,
    /// Jobs that were taken here and have no answer yet, with the number of their placement, which is on the disk.
    running: BTreeMap<u8, u64>,
    /// The guarded job is placed, which is not on the disk yet.
    pending: Option<Fence>,
    /// Standing was not confirmed since the last cut or start.
    alone: bool,
    /// The greatest number of a file that it was told.
    number: u64,
    /// Jobs begun on credit since standing was last confirmed here, by whichever life.
    begun: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: Micros,
    sites: [Arc<Site>; 2],
    /// Which of them a cut parts from the other and the divider.
    cuttable: usize,
    cut: bool,
    cuts: u8,
    crashes: u8,
    allocator: Ledger,
    issued: usize,
    jobs: u8,
    /// How often the guarded job ran in truth.
    runs: u8,
    /// It ran at the second site.
    adopted: bool,
    /// Something new was taken by a site that was told that it must not.
    wrong: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Cut,
    Heal,
    /// A crash; whether the disk is there afterwards.
    Crash(usize, bool),
    /// The authority hands its next file to a site.
    Issue(usize),
    /// Books, and a piece of the histories, from one to the other.
    Reply(usize),
    Exchange(usize),
    /// Links have stood for long enough.
    Confirm(usize),
    /// It asks for the range, or says that it wants it no more; the divider answers.
    Ask(usize, u64),
    Granted(usize),
    /// It asks the other how far its log goes, which answers.
    Prove(usize),
    New(usize),
    /// A client asks for the guarded job: it is placed, if it may be.
    Guard(usize),
    /// The placement is on the disk, and its first byte is sent.
    Send(usize),
    Finish(usize, u8),
}

struct World {
    fault: Fault,
    size: Size,
    plan: SitesConfig,
    key: String,
    parts: Vec<NodeCredit>,
}

fn world(fault: Fault, size: Size) -> World {
    let text = r#"(sites (fleet "f") (key "k") (site a (node n "1.1.1.1:1") (bears 1)) (site b (node m "1.1.1.1:2") (bears 1)))"#;
    let plan = read("s", text).unwrap();
    let ownership = KeyOwnership::new(0, &plan, &PersistedOwnership::default());
    let key = (0..100).map(|k| format!("k{k}")).find(|k| ownership.home(k) == "a/n").unwrap();
    let share = || SiteShare { site: String::new(), nodes: 1, weight: None };
    let parts = divide(&CREDIT, &[share(), share()]).unwrap().concat();
    World { fault, size, plan, key, parts }
}

fn file(number: usize) -> AccountsFile {
    let change = |standing| Change { number: number as u64, standing, from: 0, reason: String::new() };
    let named = FILES[number - 1].map(|s| (ACME.to_string(), change(s)));
    AccountsFile::new(number as u64, named.into_iter().collect())
}

/// Whether the file of that number bars new work; none was told by 0.
fn rejection(number: u64) -> bool {
    number > 0 && FILES[number as usize - 1].is_some()
}

fn name(job: u8) -> Key {
    Key::Idempotency(job.to_string())
}

/// The clock of a site: none agrees with another.
fn clock(s: &State, n: usize) -> Micros {
    1_000 * (n as Micros + 1) + s.tick * s.sites[n].rate
}

/// Give another history the next piece that it lacks, of all logs or of one.
fn give(of: &History, alone: Option<&Writer>, to: &mut History, most: usize) -> u64 {
    for writer in of.writers().filter(|w| alone.is_none_or(|own| own == *w)) {
        if let Some(piece) = of.missing(writer, &to.heads(writer), most) {
            return to.insert(&piece).unwrap();
        }
    }
    0
}

impl Site {
    fn now(&self) -> Now {
        Now { unix: 1, steady: 1, unconfirmed_since: self.alone.then_some(0) }
    }

    /// Write the next entry of its own log.
    fn write(&mut self, entry: Entry) {
        let bytes = encode(&Timed { at: 1, entry }).unwrap();
        let (after, before) = self.head;
        self.head = (after + 1, next_digest(&before, &bytes));
        let writer = self.writer.clone();
        let piece = Piece { writer, after, before, entries: vec![bytes], head: self.head.1 };
        let mut history = (*self.notified.history).clone();
        assert_eq!(history.insert(&piece), Ok(1));
        self.notified = SiteReport::of(history);
    }

    fn placed(&mut self, job: u8, fence: u64, on_credit: bool) {
        let guarded = job == GUARDED;
        let key = Some(if guarded { "key".to_string() } else { job.to_string() });
        let class = if guarded { CLASS } else { "free" }.to_string();
        let (server, standing) = ("s".to_string(), self.book.newest_number());
        let tenant = Some(ACME.to_string());
        let (list, taken) = (1, 1);
        let entry =
            Placement { key, class, guarded, tenant, server, standing, taken, on_credit, list, fence };
        self.write(Entry::Placed(entry));
        self.running.insert(job, self.head.0);
    }

    /// Whether a request of the account is taken, and on credit.
    fn take(&mut self, fault: Fault, job: u8) -> Option<bool> {
        if let Some(note) = self.balance.record_to_write().filter(|_| self.alone) {
            self.balance.record_written(note);
            self.note = Some(note);
        }
        let now = self.now();
        let admission = decide(&self.book, Some(&mut self.balance), &self.taken, ACME, Some(&name(job)), now);
        let on_credit = match admission {
            AdmissionDecision::Refuse(_) => return None,
            admission => admission == AdmissionDecision::AdmitOnCredit,
        };
        self.begun += u64::from(on_credit);
        self.taken.record(ACME, Some(&name(job)), 1);
        if fault == Fault::Dropped && self.book.standing_at(ACME, 1).rejects_new_work() {
            self.taken = AcceptedRequests::new(8, 100);
        }
        Some(on_credit)
    }

    fn receive(&mut self, fault: Fault, number: u64, what: impl FnOnce(&mut AccountRegistry)) {
        if fault == Fault::OlderWins {
            self.book = AccountRegistry::new();
        }
        what(&mut self.book);
        self.number = self.number.max(number);
        if fault == Fault::Dropped && self.book.standing_at(ACME, 1).rejects_new_work() {
            self.taken = AcceptedRequests::new(8, 100);
        }
    }
}

impl World {
    fn life(&self, n: usize, incarnation: u64) -> NodeIncarnation {
        let number = self.plan.nodes().nth(n).unwrap().1.number;
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
            ownership: KeyOwnership::new(life.node.0, &self.plan, &self.founded()),
            kept: self.founded(),
            asked: 0,
            grant: None,
            head: origin(&writer),
            writer,
            notified: SiteReport::of(History::new()),
            book: AccountRegistry::new(),
            balance: CreditBalance::restore(part, CREDIT.shrink_after, 1, Some(CreditRecord::default())),
            note: Some(CreditRecord::default()),
            taken: AcceptedRequests::new(8, 100),
            running: BTreeMap::new(),
            pending: None,
            alone: false,
            number: 0,
            begun: 0,
        }
    }

    /// The fleet is new: what others may have placed is nothing. So says the disk that it was founded with.
    fn founded(&self) -> PersistedOwnership {
        let fences = BTreeMap::from([("a/n".to_string(), Fence { epoch: 0, number: 0 })]);
        let settled_nodes: BTreeSet<u32> = self.plan.nodes().map(|(_, n)| n.number).collect();
        PersistedOwnership { fences, current_nodes: settled_nodes.clone(), settled_nodes }
    }

    /// Whether words go between that site and the rest.
    fn linked(&self, s: &State, n: usize) -> bool {
        !(s.cut && s.cuttable == n)
    }

    /// Whether it takes itself for the home, whatever it knows of the key.
    fn holds(&self, s: &State, n: usize) -> bool {
        s.sites[n].ownership.may_place(&self.key, clock(s, n), |_| Proof::Clean).is_ok()
    }

    fn own_alone<'a>(&self, site: &'a Site) -> Option<&'a Writer> {
        (self.fault == Fault::OwnAlone).then_some(&site.writer)
    }

    /// What both sites have once all links are whole and nothing more happens.
    fn whole(&self, s: &State) -> bool {
        let [a, b] = &s.sites;
        let mut all = [(*a.notified.history).clone(), (*b.notified.history).clone()];
        if a.notified != b.notified {
            loop {
                let [left, right] = &mut all;
                let new = give(left, self.own_alone(a), right, self.size.piece)
                    + give(right, self.own_alone(b), left, self.size.piece);
                if new == 0 {
                    break;
                }
            }
        }
        let (mut left, mut right) = (a.book.clone(), b.book.clone());
        if left.hash() != right.hash() {
            left.merge(&b.book);
            right.merge(&a.book);
        }
        let one_line = all[0].forks().is_empty() && all[1].forks().is_empty();
        one_line && all[0].canonical_bytes() == all[1].canonical_bytes() && left.hash() == right.hash()
    }

    /// A site that starts again.
    fn crash(&self, s: &mut State, n: usize, disk: bool) {
        let life = self.life(n, s.sites[n].life + 1);
        let site = Arc::make_mut(&mut s.sites[n]);
        (site.life, site.asked, site.grant, site.pending, site.alone) =
            (life.incarnation, 0, None, None, true);
        if !disk {
            (site.book, site.number, site.note) = (AccountRegistry::new(), 0, None);
            site.running.clear();
            site.notified = SiteReport::of(History::new());
            if self.fault == Fault::LostIsWhole {
                (site.note, site.kept) = (Some(CreditRecord::default()), self.founded());
            } else {
                (site.renamed, site.kept) = (true, PersistedOwnership::default());
                site.writer = World::writer(n, 2);
            }
            site.head = origin(&site.writer);
        }
        let note = if self.fault == Fault::Refill { Some(CreditRecord::default()) } else { site.note };
        site.balance = CreditBalance::restore(self.parts[n], CREDIT.shrink_after, 1, note);
        site.taken = AcceptedRequests::new(8, 100);
        let names: Vec<Key> = site.running.keys().map(|job| name(*job)).collect();
        site.taken.restore(names.iter().map(|name| (ACME, name, 0)), 1);
        site.holder = Holder::new(life, 0, TERM);
        site.ownership = KeyOwnership::new(life.node.0, &self.plan, &site.kept);
        // There is one file, which all go by.
        site.ownership.mark_settled();
    }

    fn ask(&self, s: &mut State, n: usize, wanted: u64) {
        let (now, at) = (clock(s, n), s.tick * 10);
        let life = self.life(n, s.sites[n].life);
        let site = Arc::make_mut(&mut s.sites[n]);
        let answers = site.holder.ask(now);
        (site.asked, site.grant) = (site.asked + 1, None);
        if wanted == 0 {
            // One that others should hold is not used any more from now on.
            site.ownership.lease_ended(BUDGET);
        }
        let early = if self.fault == Fault::EarlyHeir && n == 1 { TERM.for_allocator() } else { 0 };
        s.allocator.expire(at + early);
        let grant = s.allocator.offer(life, wanted, answers);
        if grant.amount > 0 || s.allocator.charge(life) > 0 {
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
        let mut proving = CatchUp::default();
        for (to, message) in proving.tick(&self.plan, me, &unproven, &site.notified.history, 0).0 {
            let Message::Ask { home, fence } = message else { continue };
            proving.record_reply(to, &home, fence, other.writer.log, other.head.0);
        }
        let (_, proved) = proving.tick(&self.plan, me, &unproven, &site.notified.history, 0);
        proved.iter().for_each(|(home, fence)| site.ownership.mark_proved(home, *fence));
    }

    fn guard(&self, s: &mut State, n: usize) {
        let now = clock(s, n);
        let site = Arc::make_mut(&mut s.sites[n]);
        let may = site.ownership.may_place(&self.key, now, |_| Proof::Unknown);
        let Some(fence) = may.ok().filter(|_| site.notified.known == KeyState::Free) else { return };
        let rejection = rejection(site.number) && !site.taken.contains(ACME, Some(&name(GUARDED)), 1);
        if site.take(self.fault, GUARDED).is_none() {
            return;
        }
        s.wrong |= rejection;
        site.pending = Some(fence);
        site.kept = site.ownership.persisted();
        if self.fault == Fault::SendsFirst {
            (s.runs, s.adopted) = (s.runs + 1, s.adopted || n == 1);
        }
    }

    fn send(&self, s: &mut State, n: usize) {
        let now = clock(s, n);
        let site = Arc::make_mut(&mut s.sites[n]);
        let Some(fence) = site.pending.take() else { return };
        site.placed(GUARDED, fence.as_u64(), false);
        if self.fault == Fault::SendsFirst {
            return;
        }
        if self.fault == Fault::SendsLate || site.ownership.is_still_held(&self.key, fence, now) {
            (s.runs, s.adopted) = (s.runs + 1, s.adopted || n == 1);
        } else {
            // It surely never ran, and its client is told so.
            let of = site.running.remove(&GUARDED).unwrap();
            site.write(Entry::Ended { of, how: End::NeverRan });
            site.taken.remove(ACME, Some(&name(GUARDED)));
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut all = Vec::new();
        // Clocks and the divider don't matter where nobody asks for the range.
        let keys = self.size.asks > 0;
        for (a, b) in [(8, 12), (12, 8)].into_iter().take(if keys { 2 } else { 1 }) {
            for cuttable in 0..if keys { 2 } else { 1 } {
                all.push(State {
                    tick: 0,
                    sites: [Arc::new(self.start(0, a)), Arc::new(self.start(1, b))],
                    cuttable,
                    cut: false,
                    cuts: 0,
                    crashes: 0,
                    allocator: Ledger::new(1, 0, TERM),
                    issued: 0,
                    jobs: 0,
                    runs: 0,
                    adopted: false,
                    wrong: false,
                });
            }
        }
        all
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        let size = &self.size;
        if s.tick < size.ticks {
            actions.push(Step::Tick);
        }
        if s.cut {
            actions.push(Step::Heal);
        } else if s.cuts < size.cuts {
            actions.push(Step::Cut);
        }
        for n in 0..2 {
            let (site, other) = (&s.sites[n], &s.sites[1 - n]);
            if s.issued < size.files {
                actions.push(Step::Issue(n));
            }
            if s.jobs < size.jobs {
                actions.push(Step::New(n));
            }
            if s.crashes < size.crashes {
                actions.extend([Step::Crash(n, true), Step::Crash(n, false)]);
            }
            if !s.cut {
                if site.book.hash() != other.book.hash() {
                    actions.push(Step::Reply(n));
                } else if site.alone {
                    actions.push(Step::Confirm(n));
                }
                if site.notified != other.notified {
                    actions.push(Step::Exchange(n));
                }
                if !site.renamed && !other.renamed && !site.ownership.unproven(clock(s, n)).is_empty() {
                    actions.push(Step::Prove(n));
                }
            }
            if !site.renamed && self.linked(s, n) && site.asked < size.asks {
                // The home asks; the heir asks, and then leaves it.
                actions.push(Step::Ask(n, u64::from(n == 0 || site.asked == 0)));
            }
            if self.linked(s, n) && site.grant.is_some() {
                actions.push(Step::Granted(n));
            }
            if !site.renamed && site.pending.is_none() && self.holds(s, n) {
                actions.push(Step::Guard(n));
            }
            if site.pending.is_some() {
                actions.push(Step::Send(n));
            }
            actions.extend(site.running.keys().map(|job| Step::Finish(n, *job)));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let (mut s, fault) = (before.clone(), self.fault);
        match step {
            Step::Tick => s.tick += 1,
            Step::Cut => {
                (s.cut, s.cuts) = (true, s.cuts + 1);
                s.sites.iter_mut().for_each(|site| Arc::make_mut(site).alone = true);
            }
            Step::Heal => s.cut = false,
            Step::Crash(n, disk) => {
                s.crashes += 1;
                self.crash(&mut s, n, disk);
            }
            Step::Issue(n) => {
                s.issued += 1;
                let number = s.issued;
                let site = Arc::make_mut(&mut s.sites[n]);
                site.receive(fault, number as u64, |book| drop(book.add_file(&file(number))));
            }
            Step::Reply(n) => {
                let (book, number) = (s.sites[n].book.clone(), s.sites[n].number);
                let site = Arc::make_mut(&mut s.sites[1 - n]);
                site.receive(fault, number, |known| drop(known.merge(&book)));
            }
            Step::Exchange(n) => {
                let from = s.sites[n].clone();
                let site = Arc::make_mut(&mut s.sites[1 - n]);
                let mut history = (*site.notified.history).clone();
                if give(&from.notified.history, self.own_alone(&from), &mut history, self.size.piece) == 0 {
                    return None;
                }
                site.notified = SiteReport::of(history);
            }
            Step::Confirm(n) => {
                let site = Arc::make_mut(&mut s.sites[n]);
                let change = site.book.change_at(ACME, 1);
                site.balance.confirmed(&change);
                (site.alone, site.begun) = (false, 0);
            }
            Step::Ask(n, wanted) => self.ask(&mut s, n, wanted),
            Step::Granted(n) => {
                let at = clock(&s, n);
                let site = Arc::make_mut(&mut s.sites[n]);
                let grant = site.grant.take()?;
                if site.holder.accept(grant, at) {
                    let asked = site.holder.expires_at()? - TERM.for_holder();
                    site.ownership.apply_grant(BUDGET, &grant, asked, TERM, at);
                    s.allocator.acknowledge(grant.holder, grant.number);
                }
            }
            Step::Prove(n) => self.prove(&mut s, n),
            Step::New(n) => {
                s.jobs += 1;
                let job = s.jobs;
                let site = Arc::make_mut(&mut s.sites[n]);
                let rejection = rejection(site.number);
                if let Some(on_credit) = site.take(fault, job) {
                    site.placed(job, 0, on_credit);
                    s.wrong |= rejection;
                }
            }
            Step::Guard(n) => self.guard(&mut s, n),
            Step::Send(n) => self.send(&mut s, n),
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
            Property::always(ONE_HOME, |w: &World, s: &State| !(w.holds(s, 0) && w.holds(s, 1))),
            Property::always(CREDITED, |w: &World, s: &State| {
                s.sites.iter().zip(&w.parts).all(|(site, part)| site.begun <= part.total)
            }),
            Property::always(NOTIFIED_AFTER, |_, s: &State| !s.wrong),
            Property::always(FINISHED, |_, s: &State| {
                s.sites.iter().all(|site| {
                    let sent = restrictions(&site.book, &mut CreditBalances::new(), site.now())
                        .get(ACME)
                        .is_none_or(|restriction| restriction.may_send);
                    let repeat = |job: &u8| {
                        decide(&site.book, None, &site.taken, ACME, Some(&name(*job)), site.now())
                            == AdmissionDecision::Admit
                    };
                    sent && site.running.keys().all(repeat)
                })
            }),
            Property::always(EQUAL, |w: &World, s: &State| w.whole(s)),
            Property::sometimes("an heir places what is proved", |_, s: &State| s.adopted),
            Property::sometimes("all of the credit is used", |_, s: &State| {
                s.sites.iter().map(|site| site.begun).sum::<u64>() == CREDIT.total
            }),
            Property::sometimes("work ends after the closing", |_, s: &State| {
                let ends = |n: &Arc<Site>| n.number == 1 && n.running.is_empty() && n.head.0 > 1;
                s.sites.iter().any(ends)
            }),
            Property::sometimes("taken again after it was reopened", |_, s: &State| {
                s.sites.iter().any(|n| n.number == 2 && !n.running.is_empty())
            }),
        ]
    }
}

const ONCE: &str = "the guarded key runs once";
const ONE_HOME: &str = "one home at a time";
const CREDITED: &str = "begun on credit within the whole";
const NOTIFIED_AFTER: &str = "nothing new after it was told";
const FINISHED: &str = "running work goes on";
const EQUAL: &str = "whole links make one history and one book";
const ALWAYS: [&str; 6] = [ONCE, ONE_HOME, CREDITED, NOTIFIED_AFTER, FINISHED, EQUAL];

/// The key with a cut or a crash; the account with a cut, or both and one file.
const KEY_CUT: Size = Size { ticks: 3, asks: 1, jobs: 0, files: 0, cuts: 1, crashes: 0, piece: 1 << 16 };
const KEY_CRASH: Size = Size { cuts: 0, crashes: 1, ..KEY_CUT };
const ACCOUNT: Size = Size { ticks: 0, asks: 0, jobs: 2, files: 2, cuts: 1, crashes: 0, piece: 1 << 16 };
const ACCOUNT_CRASH: Size = Size { files: 1, crashes: 1, ..ACCOUNT };
/// Cut and crash with all files, in pieces of one entry: what the long search adds.
const KEY: Size = Size { crashes: 1, ..KEY_CUT };
const ACCOUNT_ALL: Size = Size { crashes: 1, piece: 1, ..ACCOUNT };
/// The account's jobs beside the key's, a file, askings again.
const TOGETHER: Size = Size { asks: 2, jobs: 1, files: 1, ..KEY };
/// Too much to be searched whole.
const ALL: Size = Size { ticks: 6, asks: 3, jobs: 2, files: 2, cuts: 2, crashes: 2, piece: 1 };

const SOMETIMES: [&str; 4] = [
    "an heir places what is proved",
    "all of the credit is used",
    "work ends after the closing",
    "taken again after it was reopened",
];

/// All states that can be reached, or so many of them, the fewest steps first; with a fault only until that rule is broken.
fn searched(fault: Fault, size: Size, rule: &'static str, most: usize) -> impl Checker<World> {
    let found = match fault {
        Fault::None => HasDiscoveries::All,
        _ => HasDiscoveries::AllOf([rule].into()),
    };
    world(fault, size).checker().threads(3).target_state_count(most).finish_when(found).spawn_bfs().join()
}

fn holds(what: &str, search: &impl Checker<World>, reached: &[&'static str]) {
    println!("{what}: {} states, depth {}", search.unique_state_count(), search.max_depth());
    ALWAYS.iter().for_each(|rule| search.assert_no_discovery(rule));
    reached.iter().for_each(|rule| drop(search.assert_any_discovery(rule)));
}

/// All states of worlds that are small enough.
#[test]
fn what_holds_of_each_core_holds_of_all_together() {
    let most = 400_000;
    for (what, size, reached) in [
        ("the key, with a cut", KEY_CUT, &SOMETIMES[..2]),
        ("the key, with a crash", KEY_CRASH, &SOMETIMES[..1]),
        ("the account, with a cut", ACCOUNT, &SOMETIMES[1..]),
        ("the account, with a cut and a crash", ACCOUNT_CRASH, &SOMETIMES[1..3]),
    ] {
        let search = searched(Fault::None, size, ONCE, most);
        holds(what, &search, reached);
        assert!(search.state_count() < most, "not all were searched");
    }
}

/// Walks by chance through the world that is too large, from that seed on; how many states were looked at.
fn walk(seed: u64, most: usize) -> usize {
    let world = world(Fault::None, ALL);
    let rules = world.properties();
    let (mut chance, mut seen) = (oorandom::Rand32::new(seed), 0);
    let mut draw = |count: usize| chance.rand_range(0..count as u32) as usize;
    while seen < most {
        let mut all = world.init_states();
        let mut state = all.swap_remove(draw(all.len()));
        for _ in 0..80 {
            let mut steps = Vec::new();
            world.actions(&state, &mut steps);
            if steps.is_empty() {
                break;
            }
            let step = steps.swap_remove(draw(steps.len()));
            let Some(next) = world.next_state(&state, step.clone()) else { continue };
            let broken = rules.iter().find(|r| ALWAYS.contains(&r.name) && !(r.condition)(&world, &next));
            if let Some(rule) = broken {
                panic!("seed {seed}, state {seen}, {step:?} breaks: {}", rule.name);
            }
            (state, seen) = (next, seen + 1);
        }
    }
    seen
}

#[test]
fn walks_through_the_whole_world_break_nothing() {
    println!("walks: {} states", walk(1, 40_000));
}

#[test]
fn each_planted_fault_is_found() {
    for (fault, size, rule) in [
        (Fault::EarlyHeir, KEY_CUT, ONE_HOME),
        (Fault::LostIsWhole, KEY_CRASH, ONCE),
        (Fault::LostIsWhole, ACCOUNT_CRASH, CREDITED),
        (Fault::LostIsWhole, ACCOUNT_CRASH, EQUAL),
        (Fault::SendsFirst, KEY_CRASH, ONCE),
        (Fault::SendsLate, KEY_CUT, ONCE),
        (Fault::Refill, ACCOUNT_CRASH, CREDITED),
        (Fault::OlderWins, ACCOUNT, NOTIFIED_AFTER),
        (Fault::Dropped, ACCOUNT, FINISHED),
        (Fault::OwnAlone, ACCOUNT_CRASH, EQUAL),
    ] {
        let search = searched(fault, size, rule, 400_000);
        assert!(search.discovery(rule).is_some(), "{fault:?} does not break: {rule}");
        println!("{fault:?} after {} states: {rule}", search.unique_state_count());
    }
}

/// `cargo test --release -p shorepath-sites --test joint -- --ignored --nocapture`
#[test]
#[ignore = "millions of states"]
fn what_holds_of_each_core_holds_of_all_together_for_long() {
    println!("walks: {} states", walk(2, 3_000_000));
    holds("the key, with both", &searched(Fault::None, KEY, ONCE, 10_000_000), &SOMETIMES[..2]);
    holds("the account, with both", &searched(Fault::None, ACCOUNT_ALL, ONCE, 10_000_000), &SOMETIMES[1..]);
    holds("together", &searched(Fault::None, TOGETHER, ONCE, 6_000_000), &SOMETIMES[..2]);
}
