//! The emulator: discrete events in virtual time.
//!
//! Time is whole microseconds. Events of one time happen in the order in which they were scheduled, and
//! what one event makes a node do happens before the next event.

pub mod draw;
pub mod faults;
mod net;
pub mod server;
pub mod tally;

use crate::clients::{self, Next, Quota};
use crate::policy::{self, Policy};
use crate::rules::{Answer, Checker, Limits};
use crate::scenario::Scenario;
use draw::{cumulate, stream, Arrivals, Jobs, Needs, Purpose};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use server::{Make, Server};
use shorepath_scheduler::*;
use slotmap::{Key, KeyData, SlotMap};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use tally::{Outcome, Report, Tally};

slotmap::new_key_type! {
    /// A client's request with all its tries.
    pub struct AskKey;
    /// One try: a request as a node takes it.
    pub struct TryKey;
    /// One attempt at a server.
    pub struct RunKey;
}

/// Virtual time begins here: 0 stands for "long ago" in the module's interface.
pub const START: Micros = 1_000_000;
/// How often what is in flight is looked at.
const SAMPLE: Micros = 250_000;
/// How often a cold server's rate is brought up to date.
const WARMING: Micros = 100_000;
/// How often idle connections are looked through.
const SWEEP: Micros = 500_000;

/// Something that is to happen.
#[derive(Clone, Copy, Debug)]
enum Happening {
    Arrival {
        tenant: u32,
    },
    Burst {
        index: u32,
    },
    Retry(AskKey),
    Deadline(TryKey),
    Leave(TryKey),
    Overdue(TryKey),
    Wake {
        node: u32,
    },
    /// The first packet of a new connection is at its server.
    Syn(RunKey),
    /// A connection that never came up is given up.
    NotUp(RunKey),
    AtServer(RunKey),
    Finish {
        server: u32,
        turn: u32,
    },
    Warming {
        server: u32,
        born: Micros,
    },
    ToNode {
        run: RunKey,
        what: News,
    },
    Told {
        node: u32,
        news: u32,
    },
    Fault {
        index: u32,
        step: faults::Step,
    },
    Sample,
    Sweep,
}

/// What a server, or the network, tells a node about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum News {
    Started,
    Ended(AttemptStatus),
}

#[derive(Debug)]
struct Item {
    at: Micros,
    order: u64,
    what: Happening,
}

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A client's request.
#[derive(Debug)]
struct Ask {
    tenant: u32,
    class: u32,
    node: u32,
    work: f64,
    needs: Needs,
    hint: Option<Micros>,
    first: Micros,
    tries: u32,
    excess: bool,
    /// The share of it that a server saved before it was lost there.
    saved: f64,
}

/// A request as a node has it.
#[derive(Debug)]
struct Try {
    ask: AskKey,
    node: u32,
    attempts: u32,
    answered: bool,
    out: Vec<RunKey>,
    deadline: Micros,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its connection is being made.
    Connecting,
    /// Its last byte is on the way.
    Sent,
    /// Queued or in work.
    Held,
    /// Nothing more will come of it: lost, done, or turned away.
    Over,
}

#[derive(Debug)]
struct Run {
    of: TryKey,
    /// The request's number, which outlives the try.
    id: u64,
    attempt: u32,
    node: u32,
    server: u32,
    class: u32,
    work: f64,
    needs: Needs,
    stage: Stage,
    /// The node has a connection for it, and waits for news.
    open: bool,
    fails: bool,
    started: bool,
    /// No news comes before that which was sent earlier.
    last_news: Micros,
}

struct Node {
    policy: Box<dyn Policy>,
    zone: u32,
    /// Since when each idle connection has been so, the latest last.
    idle: BTreeMap<u32, Vec<Micros>>,
    /// News of the list comes in order.
    told: Micros,
    wake: Micros,
    out: u32,
    open: u32,
}

/// One line of a request's story.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoryLine {
    /// When, since the start of the scenario.
    pub at: Micros,
    /// What happened.
    pub what: String,
}

/// One run of a scenario.
pub struct World<'a> {
    sc: &'a Scenario,
    now: Micros,
    order: u64,
    heap: BinaryHeap<Reverse<Item>>,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    asks: SlotMap<AskKey, Ask>,
    tries: SlotMap<TryKey, Try>,
    runs: SlotMap<RunKey, Run>,
    arrivals: Vec<Arrivals>,
    jobs: Vec<Jobs>,
    quotas: Vec<Quota>,
    network: ChaCha8Rng,
    clients: ChaCha8Rng,
    failures: ChaCha8Rng,
    discovery: ChaCha8Rng,
    struck: Vec<Vec<u32>>,
    news: Vec<Endpoint>,
    silent_until: Micros,
    /// What a node does to itself by an action: told after the event in hand.
    local: VecDeque<(u32, Event)>,
    telling: bool,
    checker: Checker,
    tally: Tally,
    sees_work: bool,
    /// The request whose story is written down.
    followed: Option<u64>,
    story: Vec<StoryLine>,
}

/// Run a scenario to its end.
pub fn run(scenario: &Scenario) -> Report {
    World::new(scenario, None).into_report().0
}

/// Run it again for the story of one request.
pub fn story(scenario: &Scenario, request: u64) -> Vec<StoryLine> {
    World::new(scenario, Some(request)).into_report().1
}

/// The fleet of a scenario, warm and idle.
pub fn make_servers(sc: &Scenario) -> Vec<Server> {
    let mut rng = stream(sc.seed, Purpose::Fleet);
    let s = &sc.servers;
    let kinds = cumulate(s.kinds.iter().map(|k| k.share));
    let total = kinds.last().copied().unwrap_or(1.0);
    // Shares are kept as nearly as whole servers allow; only their order is drawn.
    let mut order: Vec<u32> = (0..s.count).collect();
    for k in (1..order.len()).rev() {
        order.swap(k, rng.random_range(0..=k));
    }
    let mut kind_of = vec![0u32; s.count as usize];
    for (k, server) in order.iter().enumerate() {
        let part = (k as f64 + 0.5) / f64::from(s.count) * total;
        kind_of[*server as usize] = kinds.partition_point(|c| *c <= part).min(kinds.len() - 1) as u32;
    }
    let server = |n: u32| {
        let kind = kind_of[n as usize];
        let k = &s.kinds[kind as usize];
        Server::new(Make {
            kind,
            zone: n % sc.zones.len() as u32,
            cores: k.cores,
            slots: k.slots.max(k.cores),
            speed: k.speed.0 + (k.speed.1 - k.speed.0) * rng.random::<f64>(),
            queue: s.queue,
            crowd: s.crowding_loss,
            cold: s.slow_start_min_share,
            warm_up: s.slow_start_duration,
        })
    };
    (0..s.count).map(server).collect()
}

impl<'a> World<'a> {
    fn new(sc: &'a Scenario, followed: Option<u64>) -> Self {
        let servers = make_servers(sc);
        let node = |n: u32| {
            let seed = stream(sc.seed, Purpose::Node(n)).random();
            // The reader lets no unknown name through; the module serves where one got by.
            let policy = policy::make(&sc.policy, sc.settings(n), seed)
                .unwrap_or_else(|| Box::new(shorepath_scheduler::Scheduler::new(sc.settings(n), seed)));
            let zone = n % sc.zones.len() as u32;
            Node { policy, zone, idle: BTreeMap::new(), told: 0, wake: Micros::MAX, out: 0, open: 0 }
        };
        let tenants = 0..sc.tenants.len();
        let mut world = World {
            now: START,
            order: 0,
            heap: BinaryHeap::new(),
            nodes: (0..sc.nodes).map(node).collect(),
            asks: SlotMap::with_key(),
            tries: SlotMap::with_key(),
            runs: SlotMap::with_key(),
            arrivals: tenants.clone().map(|t| Arrivals::new(sc, t)).collect(),
            jobs: tenants.clone().map(|t| Jobs::new(sc, t)).collect(),
            quotas: sc.tenants.iter().map(|t| Quota::new(t.quota, START)).collect(),
            network: stream(sc.seed, Purpose::Network),
            clients: stream(sc.seed, Purpose::Clients),
            failures: stream(sc.seed, Purpose::Failures),
            discovery: stream(sc.seed, Purpose::Discovery),
            struck: Vec::new(),
            news: Vec::new(),
            silent_until: 0,
            local: VecDeque::new(),
            telling: false,
            checker: Checker::new(Limits {
                slack: sc.rules.deadline_slack,
                drain_grace: sc.rules.drain_grace,
            }),
            tally: Tally::new(sc),
            sees_work: sc.policy == "clairvoyant",
            followed,
            story: Vec::new(),
            servers,
            sc,
        };
        world.struck = (0..sc.faults.len()).map(|f| faults::struck(sc, &world.servers, f)).collect();
        for (index, f) in sc.faults.iter().enumerate() {
            for (at, step) in faults::steps(f, world.end() - START) {
                world.at(START + at, Happening::Fault { index: index as u32, step });
            }
        }
        for node in 0..sc.nodes {
            let servers = world.servers.iter().enumerate();
            let list: Vec<Endpoint> = servers.map(|(k, s)| faults::member(sc, k as u32, s)).collect();
            for m in &list {
                world.checker.stands(m.id.0, m.zone.0);
                world.checker.told(node, m.id.0, true, 0, START);
            }
            world.tell(node, Event::EndpointList(list));
        }
        for tenant in 0..sc.tenants.len() {
            world.next_arrival(tenant as u32);
        }
        for (index, burst) in sc.bursts.iter().enumerate() {
            world.at(START + burst.at, Happening::Burst { index: index as u32 });
        }
        world.at(START + SAMPLE, Happening::Sample);
        world.at(START + SWEEP, Happening::Sweep);
        world
    }

    fn at(&mut self, at: Micros, what: Happening) {
        self.order += 1;
        self.heap.push(Reverse(Item { at: at.max(self.now), order: self.order, what }));
    }

    fn end(&self) -> Micros {
        START + self.sc.length + self.sc.longest_deadline() + self.sc.rules.deadline_slack + 1_000
    }

    fn into_report(mut self) -> (Report, Vec<StoryLine>) {
        let end = self.end();
        let mut events = 0u64;
        while let Some(Reverse(item)) = self.heap.pop() {
            if item.at > end {
                break;
            }
            self.now = item.at;
            events += 1;
            self.happens(item.what);
        }
        let done: f64 = self.servers.iter().map(|s| s.done).sum();
        (self.tally.report(self.sc, events, done, &self.checker), self.story)
    }

    fn happens(&mut self, what: Happening) {
        match what {
            Happening::Arrival { tenant } => {
                self.arrival(tenant);
                self.next_arrival(tenant);
            }
            Happening::Burst { index } => {
                let sc = self.sc;
                let burst = &sc.bursts[index as usize];
                (0..burst.count).for_each(|_| self.arrival(burst.tenant as u32));
            }
            Happening::Retry(ask) => self.hand_in(ask),
            Happening::Deadline(key) => self.deadline(key),
            Happening::Leave(key) => self.leave(key),
            Happening::Overdue(key) => self.overdue(key),
            Happening::Wake { node } => {
                if self.nodes[node as usize].wake <= self.now {
                    self.nodes[node as usize].wake = Micros::MAX;
                }
                self.tell(node, Event::Wake);
            }
            Happening::Syn(run) => self.syn(run),
            Happening::NotUp(run) => {
                if self.runs.get(run).is_some_and(|r| r.stage == Stage::Connecting) {
                    self.news(run, News::Ended(AttemptStatus::ConnectFailed));
                }
            }
            Happening::AtServer(run) => self.at_server(run),
            Happening::Finish { server, turn } => {
                if self.servers[server as usize].turn == turn {
                    self.work_on(server);
                }
            }
            Happening::Warming { server, born } => {
                let s = &self.servers[server as usize];
                if s.born == born && s.is_cold(self.now) {
                    self.work_on(server);
                    self.at(self.now + WARMING, Happening::Warming { server, born });
                }
            }
            Happening::ToNode { run, what } => self.news(run, what),
            Happening::Told { node, news } => self.told(node, news),
            Happening::Fault { index, step } => self.fault(index, step),
            Happening::Sample => {
                let (mut out, mut open) = (0, 0);
                for node in &self.nodes {
                    (out, open) = (out + node.out, open + node.open);
                }
                self.tally.sample(self.now - START, out, open, self.servers.iter().map(Server::held));
                if self.now < START + self.sc.length {
                    self.at(self.now + SAMPLE, Happening::Sample);
                }
            }
            Happening::Sweep => self.sweep(),
        }
    }

    // ------------------------------------------------------------ clients

    fn next_arrival(&mut self, tenant: u32) {
        let at = self.arrivals[tenant as usize].next_time();
        if at < self.sc.length {
            self.at(START + at, Happening::Arrival { tenant });
        }
    }

    fn arrival(&mut self, tenant: u32) {
        let job = self.jobs[tenant as usize].next_job(self.now - START);
        let excess = self.quotas[tenant as usize].exceeded(self.now);
        let class = job.class as u32;
        self.tally.asked(self.sc, self.now - START, tenant, class, excess, job.work);
        let ask = Ask {
            tenant,
            class,
            node: job.node,
            work: job.work,
            needs: job.needs,
            hint: job.hint,
            first: self.now,
            tries: 0,
            excess,
            saved: 0.0,
        };
        let ask = self.asks.insert(ask);
        self.hand_in(ask);
    }

    /// A client hands its request to its node, for the first time or once more.
    fn hand_in(&mut self, key: AskKey) {
        let Some(ask) = self.asks.get_mut(key) else { return };
        let class = &self.sc.classes[ask.class as usize];
        let deadline = ask.first + class.deadline;
        let (node, tenant) = (ask.node, ask.tenant);
        let hint = if self.sees_work { Some(ask.work as Micros) } else { ask.hint };
        let slots = ask.needs.slots;
        let first = ask.tries == 0;
        ask.tries += 1;
        let (class_id, effect) = (ClassId(ask.class as usize), class.idempotency);
        let leaves = self.now + ((deadline - self.now) as f64 * self.sc.clients.timeout_fraction) as Micros;
        let one = Try { ask: key, node, attempts: 0, answered: false, out: Vec::new(), deadline };
        let key = self.tries.insert(one);
        let id = key.data().as_ffi();
        self.checker.taken(id, deadline, effect);
        self.nodes[node as usize].open += 1;
        self.follow(id, || format!("taken by node {node}, {}", if first { "first try" } else { "a retry" }));
        self.at(deadline, Happening::Deadline(key));
        if leaves < deadline {
            self.at(leaves, Happening::Leave(key));
        }
        self.tell(
            node,
            Event::RequestArrived(Request {
                id: RequestId(id),
                class: class_id,
                tenant: Some(TenantId(tenant as usize)),
                key: None,
                time_remaining: deadline - self.now,
                work_hint: hint,
                slots,
                is_retry: false,
                work_state: WorkState::New,
                is_remote: false,
            }),
        );
    }

    fn try_of(id: RequestId) -> TryKey {
        TryKey::from(KeyData::from_ffi(id.0))
    }

    /// A request has its final answer, from its node.
    fn answer(&mut self, key: TryKey, answer: Answer, retry_after: Option<Micros>) {
        let id = key.data().as_ffi();
        self.checker.answered(id, answer, self.now);
        self.follow(id, || format!("answered: {answer:?}"));
        let Some(one) = self.tries.get_mut(key) else { return };
        if std::mem::replace(&mut one.answered, true) {
            return;
        }
        let ask_key = one.ask;
        self.nodes[one.node as usize].open -= 1;
        let Some(ask) = self.asks.get(ask_key) else { return };
        let so_far = (self.now - ask.first, ask.tries);
        let answer = (answer, retry_after);
        match clients::next(self.sc, ask.class as usize, ask.work, answer, so_far, &mut self.clients) {
            Next::Retry(wait) => self.at(self.now + wait, Happening::Retry(ask_key)),
            Next::Settled(outcome) => self.settle(ask_key, outcome),
        }
        self.close(key);
    }

    fn settle(&mut self, key: AskKey, outcome: Outcome) {
        if let Some(ask) = self.asks.remove(key) {
            let what = (ask.tenant, ask.class, ask.excess);
            self.tally.settled(self.sc, ask.first - START, self.now - ask.first, what, ask.work, outcome);
        }
    }

    /// Drop a try of which nothing more can come.
    fn close(&mut self, key: TryKey) {
        if self.tries.get(key).is_some_and(|t| t.answered && t.out.is_empty()) {
            self.tries.remove(key);
            self.checker.forget(key.data().as_ffi());
        }
    }

    fn deadline(&mut self, key: TryKey) {
        let Some(one) = self.tries.get(key) else { return };
        let out = one.out.clone();
        for run in out {
            self.news(run, News::Ended(AttemptStatus::Timeout));
        }
        let Some(one) = self.tries.get(key) else { return };
        if !one.answered {
            self.at(one.deadline + self.sc.rules.deadline_slack, Happening::Overdue(key));
        }
        self.close(key);
    }

    fn leave(&mut self, key: TryKey) {
        let Some(one) = self.tries.get_mut(key).filter(|t| !t.answered) else { return };
        one.answered = true;
        let (ask, node) = (one.ask, one.node);
        self.nodes[node as usize].open -= 1;
        let id = key.data().as_ffi();
        self.checker.left(id);
        self.follow(id, || "its client left".to_string());
        self.settle(ask, Outcome::Left);
        self.tell(node, Event::ClientLeft(RequestId(id)));
        self.close(key);
    }

    fn overdue(&mut self, key: TryKey) {
        let Some(one) = self.tries.get_mut(key).filter(|t| !t.answered) else { return };
        one.answered = true;
        let (ask, node) = (one.ask, one.node);
        self.nodes[node as usize].open -= 1;
        let id = key.data().as_ffi();
        self.checker.overdue(id, self.now);
        self.settle(ask, Outcome::Lost);
        self.tell(node, Event::ClientLeft(RequestId(id)));
        self.close(key);
    }

    // -------------------------------------------------------------- nodes

    /// Hand an event to a node and do what it asks for.
    fn tell(&mut self, node: u32, event: Event) {
        self.local.push_back((node, event));
        if std::mem::replace(&mut self.telling, true) {
            return; // told by the loop below, which is running
        }
        while let Some((node, event)) = self.local.pop_front() {
            let mut actions = Vec::new();
            let n = &mut self.nodes[node as usize];
            n.policy.handle(self.now, event, &self.servers, &mut actions);
            for action in actions {
                self.act(node, action);
            }
        }
        self.telling = false;
    }

    fn act(&mut self, node: u32, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint: worker } => self.send(node, id, worker),
            Action::Shed { id, retry_after } => self.answer(World::try_of(id), Answer::Refused, retry_after),
            Action::Reject { id, .. } => self.answer(World::try_of(id), Answer::Refused, None),
            Action::Fail { id } => self.answer(World::try_of(id), Answer::Failed, None),
            Action::CancelAttempt { id, attempt } => self.cancel(id, attempt),
            Action::WakeAfter { delay: after } => {
                let at = self.now + after.max(1);
                if at < self.nodes[node as usize].wake {
                    self.nodes[node as usize].wake = at;
                }
                self.at(at, Happening::Wake { node });
            }
            Action::CloseIdleConnections { endpoint: worker } => {
                let idle = self.nodes[node as usize].idle.remove(&worker.0).unwrap_or_default();
                let s = &mut self.servers[worker.0 as usize];
                s.connections = s.connections.saturating_sub(idle.len() as u32);
            }
            // Discovery pushes, and the settings allow no probes.
            Action::Subscribe | Action::Probe { .. } => {}
        }
    }

    fn follow(&mut self, id: u64, what: impl FnOnce() -> String) {
        if self.followed == Some(id) {
            self.story.push(StoryLine { at: self.now - START, what: what() });
        }
    }
}
