//! Three nodes and two allocators, with faults and changes of configuration.
//!
//! One node is killed and restarted, the leadership moves to the other allocator, a budget is removed and added again, a node leaves
//! and joins again, and a node is partitioned for longer than a lease term.
//!
//! The replicated log of the allocators is in memory: a proposal of the leader is committed at once, and the follower applies it
//! later. Clocks have any offset, and a drift of up to 400 parts per million.

use crate::change::{Change, Encoding};
use crate::simulation::{Actor, SentMessage, System, Violation};
use crate::Micros;
use shorepath_quota::allocator::{Allocator, Entry, ReplicatedState};
use shorepath_quota::client::{QuotaClient, Usage};
use shorepath_quota::config::{read, Per, Plan};
use shorepath_quota::messages::Message;
use shorepath_quota::{ClockSkew, NodeId, NodeIncarnation};
use std::collections::{BTreeMap, VecDeque};
use std::sync::OnceLock;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// The budgets and their total units, the same in all configurations that contain them.
const BUDGET_TOTALS: [(&str, u64); 3] = [("flight:v", 16), ("probes", 30), ("quota:a", 90)];
const NODES: usize = 3;
const ALLOCATORS: usize = 2;
/// The interval at which nodes and allocators are advanced.
const TICK: Micros = 25 * MS;
/// The duration of a request of the concurrency budget, less than the maximum in the configuration.
const REQUEST_DURATION: Micros = 700 * MS;

/// Simulates a fault around the real cores: it can replace the messages to allocators, and change the units that nodes may use.
pub trait FaultInjection: Default + Clone {
    /// Returns the messages that an allocator with this state receives in place of `message`.
    fn at_allocator(&mut self, message: Message, _state: &ReplicatedState) -> Vec<Message> {
        vec![message]
    }

    /// Observes a message that a node receives, at the time of the node's clock.
    fn at_node(&mut self, _incarnation: NodeIncarnation, _message: &Message, _now: Micros) {}

    /// Returns the units of a budget that a node may use, where the real core allows `real`.
    fn usable(&self, _incarnation: NodeIncarnation, _budget: &str, real: u64, _now: Micros) -> u64 {
        real
    }
}

/// No fault.
impl FaultInjection for () {}

#[derive(Clone, Copy, Debug)]
enum Action {
    Kill(usize),
    Leave(usize),
    Start(usize),
    /// The leader steps down, without a successor.
    StepDown,
    BecomeLeader(usize),
    /// The allocators load this version of the configuration.
    ConfigureAllocators(u64),
    /// A node loads this version of the configuration.
    ConfigureNode(usize, u64),
    /// The partition of a node from all allocators begins (`true`) or ends (`false`).
    Partition(usize, bool),
}

/// Returns the scheduled actions, at times that vary with the seed.
fn actions(seed: u64) -> Vec<(Micros, Action)> {
    let jitter = |k: u64| ((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (8 * k)) % 400) as Micros * MS;
    use Action::*;
    let mut all = vec![
        (4_500 * MS + jitter(0), Kill(0)),
        (5 * S + jitter(0), Start(0)),
        (6_500 * MS + jitter(1), StepDown),
        (6_700 * MS + jitter(1), BecomeLeader(1)),
        (7_800 * MS + jitter(2), ConfigureAllocators(2)),
        (8_100 * MS + jitter(2), ConfigureNode(0, 2)),
        (8_150 * MS + jitter(3), ConfigureNode(1, 2)),
        (8_300 * MS + jitter(4), ConfigureNode(2, 2)),
        (9_300 * MS + jitter(2), ConfigureAllocators(3)),
        (9_600 * MS + jitter(2), ConfigureNode(0, 3)),
        (9_700 * MS + jitter(5), ConfigureNode(1, 3)),
        (9_900 * MS + jitter(1), ConfigureNode(2, 3)),
        (11_500 * MS + jitter(3), Leave(2)),
        (12_300 * MS + jitter(4), Start(2)),
        (13_300 * MS + jitter(5), Partition(1, true)),
        (15_900 * MS, Partition(1, false)),
    ];
    all.sort_by_key(|a| a.0);
    all
}

/// Returns a version of the configuration. Version 2 has no budget `probes`, version 3 has it again.
fn plan(version: u64) -> &'static Plan {
    static PLANS: OnceLock<[Plan; 3]> = OnceLock::new();
    let [first, second, third] = PLANS.get_or_init(|| [1, 2, 3].map(create_plan));
    match version {
        1 => first,
        2 => second,
        _ => third,
    }
}

fn create_plan(version: u64) -> Plan {
    let probes = if version == 2 { "" } else { "(budget probes (whole 30) (reserve 1))" };
    let text = format!(
        "(budgets (version {version}) (term 2 s) (drift-ppm 500) (divider d0 \"127.0.0.1:1\") (divider d1 \"127.0.0.1:2\")
           (node n0 \"127.0.0.1:3\") (node n1 \"127.0.0.1:4\") (node n2 \"127.0.0.1:5\")
           (budget quota:a (whole 90) (floor 2) (reserve {version}))
           (budget flight:v (per moment) (whole 16) (reserve 1) (longest 800 ms)) {probes})"
    );
    // An invalid configuration would have no allocators, and every run would fail its final check.
    read("b.sexp", &text).unwrap_or_default()
}

#[derive(Clone)]
struct Node {
    name: String,
    skew: ClockSkew,
    partitioned: bool,
    plan: u64,
    starts: u64,
    client: Option<QuotaClient>,
    /// Requests in progress: the start of the node that began it, its budget, and the real time at which it ends.
    requests: Vec<(u64, &'static str, Micros)>,
    /// The latest request numbers by budget, which the reason for rejecting a grant depends on.
    request_numbers: BTreeMap<String, VecDeque<u64>>,
    /// The epoch and number of the newest grant received, by budget.
    received: BTreeMap<String, (u32, u64)>,
    /// The epoch and number of the grant that the node last reported in force, by budget.
    in_force: BTreeMap<String, (u32, u64)>,
}

#[derive(Clone)]
struct AllocatorActor {
    skew: ClockSkew,
    allocator: Allocator,
    /// The number of log entries that it has applied.
    applied: usize,
    addresses: BTreeMap<NodeIncarnation, Actor>,
    /// The greatest request number received, by incarnation and budget.
    request_numbers: BTreeMap<(NodeIncarnation, String), u64>,
}

/// The system of [`crate::systems::quota`], with an injected fault or with none.
#[derive(Clone)]
pub struct QuotaSystem<F: FaultInjection = ()> {
    seed: u64,
    nodes: Vec<Node>,
    allocators: Vec<AllocatorActor>,
    leader: Option<usize>,
    log: Vec<Entry>,
    actions: VecDeque<(Micros, Action)>,
    tick: Micros,
    outgoing: Vec<SentMessage>,
    violation: Option<Violation>,
    last_numbers: BTreeMap<&'static str, u64>,
    fault: F,
}

fn node_incarnation(name: &str, starts: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId::of(name), incarnation: 7_000 + starts }
}

impl<F: FaultInjection> QuotaSystem<F> {
    fn start_node(&mut self, n: usize, now: Micros) {
        let seed = self.seed;
        let node = &mut self.nodes[n];
        node.starts += 1;
        let at = node.skew.at(now);
        let mut client = QuotaClient::new(
            node_incarnation(&node.name, node.starts),
            plan(node.plan).clone(),
            seed as usize + n,
            at,
        );
        client.set_owns_address(true, at);
        node.client = Some(client);
        node.request_numbers.clear();
        node.received.clear();
        node.in_force.clear();
    }

    /// Returns how many units of a budget a node could use. From the partition on, every node wants more than the total; in the end
    /// all nodes together want the total.
    fn demand(&self, n: usize, budget: &str, now: Micros) -> u64 {
        if now > 14 * S {
            let overload = now < Self::DURATION - Self::SETTLE_TIME;
            let demand = |(name, total): &(&str, u64)| {
                (*name == budget).then_some(if overload { total * 2 } else { total / 3 })
            };
            return BUDGET_TOTALS.iter().find_map(demand).unwrap_or(0);
        }
        let period = (now / (1_100 * MS)) as u64;
        let mixed = (self.seed ^ period << 20 ^ (n as u64) << 40 ^ (budget.len() as u64) << 50)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let max = if budget == "flight:v" { 14 } else { 90 };
        (mixed >> 33) % max
    }

    /// Begins the requests that a node's budgets allow, and reports to its client the use over the last `span`.
    fn use_budgets(&mut self, n: usize, now: Micros, span: Micros) {
        let demands = BUDGET_TOTALS.map(|(budget, _)| (budget, self.demand(n, budget, now)));
        let node = &mut self.nodes[n];
        node.requests.retain(|r| r.2 > now);
        let Some(client) = &mut node.client else { return };
        let (me, at) = (client.incarnation(), node.skew.at(now));
        for (budget, wanted) in demands {
            let Some(real) = client.usable(budget, at) else { continue };
            let usable = self.fault.usable(me, budget, real, at);
            let limits_concurrency = budget == "flight:v";
            if limits_concurrency {
                let running = node.requests.iter().filter(|r| r.0 == node.starts).count() as u64;
                let begun = wanted.min(usable).saturating_sub(running);
                node.requests.extend((0..begun).map(|_| (node.starts, budget, now + REQUEST_DURATION)));
                client.record_usage(budget, Usage { wanted, used: running + begun });
            } else {
                let units = |rate: u64| (rate as i64 * now / S - rate as i64 * (now - span) / S) as u64;
                client.record_usage(budget, Usage { wanted: units(wanted), used: units(wanted.min(usable)) });
            }
        }
    }

    /// Sends what a node's client has to send, and checks the grants that it reports in force.
    fn send_from_node(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let Some(client) = &mut node.client else { return };
        for outgoing in client.take_outgoing() {
            if let Message::Ask { claims, .. } = &outgoing.message {
                for c in claims {
                    let numbers = node.request_numbers.entry(c.budget.clone()).or_default();
                    numbers.push_back(c.request_number);
                    if numbers.len() > 8 {
                        numbers.pop_front();
                    }
                    let last = node.in_force.entry(c.budget.clone()).or_default();
                    if last.0 == c.in_force.0 && c.in_force.1 < last.1 {
                        let details = format!(
                            "{} had grant {last:?} of {} in force, and then the older grant {:?}",
                            node.name, c.budget, c.in_force
                        );
                        self.violation.get_or_insert(Violation::new("grant numbers never decrease", details));
                    }
                    *last = if c.in_force.1 > 0 { c.in_force } else { *last };
                }
            }
            if outgoing.to < ALLOCATORS {
                self.outgoing.push(SentMessage {
                    from: n,
                    to: NODES + outgoing.to,
                    bytes: outgoing.message.bytes(),
                });
            }
        }
    }

    /// Applies all committed entries to an allocator.
    fn catch_up(&mut self, a: usize, now: Micros) {
        let actor = &mut self.allocators[a];
        let at = actor.skew.at(now);
        for entry in self.log.iter().skip(actor.applied) {
            actor.allocator.apply(entry, at);
        }
        actor.applied = self.log.len();
    }

    /// Commits the leader's next proposal, sends the resulting messages, and checks the grant numbers.
    fn allocate(&mut self, a: usize, now: Micros) {
        let at = self.allocators[a].skew.at(now);
        let Some(entry) = self.allocators[a].allocator.propose(at) else { return };
        self.log.push(entry.clone());
        let actor = &mut self.allocators[a];
        let changed = actor.allocator.apply(&entry, at);
        actor.applied = self.log.len();
        let messages = actor.allocator.complete_proposal(&entry, changed, at);
        for outgoing in messages {
            if let Some(to) = actor.addresses.get(&outgoing.to) {
                self.outgoing.push(SentMessage { from: NODES + a, to: *to, bytes: outgoing.message.bytes() });
            }
        }
        for (budget, _) in BUDGET_TOTALS {
            let number = actor.allocator.state().ledger(budget).map_or(0, |l| l.last_number());
            let last = self.last_numbers.entry(budget).or_default();
            if number < *last {
                let details = format!("{budget} has number {number} after {last}");
                self.violation.get_or_insert(Violation::new("grant numbers never decrease", details));
            }
            *last = number;
        }
    }

    fn apply_action(&mut self, action: Action, now: Micros) {
        match action {
            Action::Kill(n) => self.nodes[n].client = None,
            Action::Leave(n) => {
                self.use_budgets(n, now, 0);
                let at = self.nodes[n].skew.at(now);
                self.nodes[n].client.iter_mut().for_each(|c| c.leave(at));
                self.send_from_node(n);
                self.nodes[n].client = None;
                // Simulates the membership protocol, which reports the node's departure to the leader.
                let node = NodeId::of(&self.nodes[n].name);
                self.leader.into_iter().for_each(|a| self.allocators[a].allocator.remove_node(node));
            }
            Action::Start(n) => self.start_node(n, now),
            Action::StepDown => {
                self.leader.take().into_iter().for_each(|a| self.allocators[a].allocator.set_leader(false));
            }
            Action::BecomeLeader(a) => {
                self.catch_up(a, now);
                self.allocators[a].allocator.set_leader(true);
                self.leader = Some(a);
            }
            Action::ConfigureAllocators(version) => {
                for actor in &mut self.allocators {
                    actor.allocator.set_plan(plan(version).clone());
                }
            }
            Action::Partition(n, partitioned) => self.nodes[n].partitioned = partitioned,
            Action::ConfigureNode(n, version) => {
                self.use_budgets(n, now, 0);
                let node = &mut self.nodes[n];
                node.plan = version;
                let at = node.skew.at(now);
                node.client.iter_mut().for_each(|c| c.replan(plan(version).clone(), at));
                self.send_from_node(n);
            }
        }
    }

    fn receive_at_node(&mut self, now: Micros, from: Actor, to: usize, bytes: &[u8]) -> Result<(), String> {
        let sender =
            from.checked_sub(NODES).filter(|a| *a < ALLOCATORS).ok_or("sender is not an allocator")?;
        let message = Message::read(bytes).map_err(|_| "unreadable message")?;
        self.use_budgets(to, now, 0);
        let node = &mut self.nodes[to];
        let at = node.skew.at(now);
        let Some(client) = &mut node.client else { return Err("receiver is down".into()) };
        let rejection = match &message {
            Message::Grants { holder, .. } | Message::AskAgain { holder }
                if *holder != client.incarnation() =>
            {
                Some("message is for another incarnation")
            }
            Message::Ask { .. } | Message::Acknowledge { .. } | Message::Returns { .. } => {
                Some("not a message for a node")
            }
            Message::NotLeader { leader } => {
                let known =
                    leader.as_ref().is_none_or(|l| client.plan().allocators.iter().any(|a| a.name == *l));
                (!known).then_some("unknown allocator")
            }
            Message::Grants { grants, .. } => {
                let mut reasons = grants.iter().map(|g| {
                    let requested =
                        node.request_numbers.get(&g.budget).is_some_and(|r| r.contains(&g.answers));
                    let last = node.received.get(&g.budget).copied().unwrap_or_default();
                    let not_newer = last.0 == g.epoch && g.number <= last.1;
                    let other_epoch = last.0 != 0 && last.0 != g.epoch;
                    match (client.usable(&g.budget, at), requested, not_newer, other_epoch) {
                        (None, ..) => Some("unknown budget"),
                        (_, false, ..) => Some("answers no recent request"),
                        (_, _, true, _) => Some("no newer grant"),
                        (_, _, _, true) => Some("grant of another epoch"),
                        _ => None,
                    }
                });
                let first = reasons.next().flatten();
                let accepted = reasons.any(|r| r.is_none());
                for g in grants.iter().filter(|_| first.is_none()) {
                    let last = node.received.entry(g.budget.clone()).or_default();
                    *last = (*last).max((g.epoch, g.number));
                }
                first.filter(|_| !accepted)
            }
            Message::AskAgain { .. } => None,
        };
        self.fault.at_node(client.incarnation(), &message, at);
        client.receive(sender, &message, at);
        self.use_budgets(to, now, 0);
        self.send_from_node(to);
        rejection.map_or(Ok(()), |reason| Err(reason.into()))
    }

    fn receive_at_allocator(
        &mut self,
        now: Micros,
        from: Actor,
        a: usize,
        bytes: &[u8],
    ) -> Result<(), String> {
        let message = Message::read(bytes).map_err(|_| "unreadable message")?;
        let actor = &mut self.allocators[a];
        let at = actor.skew.at(now);
        let is_leader = actor.allocator.is_leader();
        if let Message::Ask { holder, .. } = &message {
            if !is_leader {
                let leader = self.leader.map(|l| format!("d{l}"));
                self.outgoing.push(SentMessage {
                    from: NODES + a,
                    to: from,
                    bytes: Message::NotLeader { leader }.bytes(),
                });
                return Err("not the leader".into());
            }
            actor.addresses.insert(*holder, from);
        }
        let state = actor.allocator.state();
        let unknown = |holder: &NodeIncarnation, grants: &[(String, u32, u64)]| {
            let granted = |(b, _, n): &(String, u32, u64)| {
                state.ledger(b).is_some_and(|l| l.newest_number(*holder) >= *n && *n > 0)
            };
            !grants.iter().any(granted)
        };
        let rejection = match &message {
            _ if !is_leader => Some("not the leader"),
            Message::Ask { holder, .. } if state.plan().is_none_or(|p| p.name_of(holder.node).is_none()) => {
                Some("unknown node")
            }
            Message::Ask { holder, claims, .. } => {
                let mut newer = claims.is_empty();
                for c in claims {
                    let last = actor.request_numbers.entry((*holder, c.budget.clone())).or_default();
                    newer |= c.request_number > *last;
                    *last = (*last).max(c.request_number);
                }
                (!newer).then_some("no newer request")
            }
            Message::Acknowledge { holder, grants } => unknown(holder, grants).then_some("unknown grant"),
            Message::Returns { holder, grants } => unknown(holder, grants).then_some("unknown grant"),
            _ => Some("not a message for an allocator"),
        };
        for message in self.fault.at_allocator(message, actor.allocator.state()) {
            actor.allocator.receive(&message, at);
        }
        rejection.map_or(Ok(()), |reason| Err(reason.into()))
    }
}

impl<F: FaultInjection> System for QuotaSystem<F> {
    const NAME: &'static str = "budgets";
    const ENCODING: Encoding = Encoding::Json("w");
    const DURATION: Micros = 20 * S;
    const SETTLE_TIME: Micros = 4 * S;
    const DELAYS: [Micros; 3] = [700 * MS, 2_500 * MS, 6 * S];

    const CLONEABLE: bool = true;

    fn try_clone(&self) -> Option<Self> {
        Some(self.clone())
    }

    fn start(seed: u64) -> Self {
        let skew = |k: u64| {
            let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(7 * k as u32);
            ClockSkew {
                offset: (mixed % 1_000) as i64 * S + 5 * S,
                drift_ppm: (mixed >> 32) as i64 % 801 - 400,
            }
        };
        let node = |n: usize| Node {
            name: format!("n{n}"),
            skew: skew(n as u64),
            partitioned: false,
            plan: 1,
            starts: 0,
            client: None,
            requests: Vec::new(),
            request_numbers: BTreeMap::new(),
            received: BTreeMap::new(),
            in_force: BTreeMap::new(),
        };
        let allocator = |a: usize| AllocatorActor {
            skew: skew(5 + a as u64),
            allocator: Allocator::new(&format!("d{a}"), plan(1).clone(), 40 + a as u32),
            applied: 0,
            addresses: BTreeMap::new(),
            request_numbers: BTreeMap::new(),
        };
        let mut system = QuotaSystem {
            seed,
            nodes: (0..NODES).map(node).collect(),
            allocators: (0..ALLOCATORS).map(allocator).collect(),
            leader: Some(0),
            log: Vec::new(),
            actions: actions(seed).into(),
            tick: 0,
            outgoing: Vec::new(),
            violation: None,
            last_numbers: BTreeMap::new(),
            fault: F::default(),
        };
        system.allocators[0].allocator.set_leader(true);
        (0..NODES).for_each(|n| system.start_node(n, 0));
        system
    }

    fn actor_count(&self) -> usize {
        NODES + ALLOCATORS
    }

    fn incarnation(&self, actor: Actor) -> u64 {
        match self.nodes.get(actor) {
            Some(node) => node.client.as_ref().map_or(0, |c| c.incarnation().incarnation),
            None => 901 + actor as u64,
        }
    }

    fn receive(&mut self, now: Micros, from: Actor, to: Actor, bytes: &[u8]) -> Result<(), String> {
        match to.checked_sub(NODES) {
            None => self.receive_at_node(now, from, to, bytes),
            Some(a) if a < ALLOCATORS => self.receive_at_allocator(now, from, a, bytes),
            Some(_) => Err("unknown receiver".into()),
        }
    }

    fn next_due(&self, _: Micros) -> Micros {
        self.actions.front().map_or(self.tick, |a| a.0.min(self.tick))
    }

    fn advance(&mut self, now: Micros) {
        while let Some((_, action)) = self.actions.front().copied().filter(|a| a.0 <= now) {
            self.actions.pop_front();
            self.apply_action(action, now);
        }
        if now < self.tick {
            return;
        }
        self.tick = now + TICK;
        for n in 0..NODES {
            self.use_budgets(n, now, TICK);
            let at = self.nodes[n].skew.at(now);
            self.nodes[n].client.iter_mut().for_each(|c| c.pass(at));
            self.send_from_node(n);
        }
        if let Some(a) = self.leader {
            self.allocate(a, now);
        }
        // A follower applies each entry up to one tick after the leader.
        for a in (0..ALLOCATORS).filter(|a| Some(*a) != self.leader).collect::<Vec<_>>() {
            self.catch_up(a, now);
        }
    }

    fn take_outgoing(&mut self) -> Vec<SentMessage> {
        let partitioned = |a: usize| self.nodes.get(a).is_some_and(|n| n.partitioned);
        let all = std::mem::take(&mut self.outgoing);
        all.into_iter().filter(|m| !partitioned(m.from) && !partitioned(m.to)).collect()
    }

    fn check_invariants(&self, now: Micros) -> Result<(), Violation> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        for (budget, total) in BUDGET_TOTALS {
            let mut shares = [0; NODES];
            for (share, node) in shares.iter_mut().zip(&self.nodes) {
                let running = |current: bool| {
                    let counted = |r: &&(u64, &str, Micros)| {
                        r.1 == budget && r.2 > now && (r.0 == node.starts) == current
                    };
                    node.requests.iter().filter(counted).count() as u64
                };
                let at = node.skew.at(now);
                let usable = node.client.as_ref().and_then(|c| {
                    let real = c.usable(budget, at)?;
                    Some(self.fault.usable(c.incarnation(), budget, real, at))
                });
                // Requests of a killed incarnation run on until they end.
                *share = usable.unwrap_or(0).max(running(true)).saturating_add(running(false));
            }
            let sum = shares.iter().fold(0u64, |sum, s| sum.saturating_add(*s));
            if sum > total {
                let details = format!("{budget}: nodes may use {shares:?} of {total}");
                return Err(Violation::new("usable units never exceed the total", details));
            }
        }
        Ok(())
    }

    fn check_final_state(&self, now: Micros) -> Result<(), Violation> {
        for budget in &plan(3).budgets {
            let mut sum = 0;
            for node in &self.nodes {
                let at = node.skew.at(now);
                let Some(client) = node.client.as_ref().filter(|c| c.is_granted(&budget.name, at)) else {
                    let details = format!("{} has no grant of {}", node.name, budget.name);
                    return Err(Violation::new("budgets are granted at the end", details));
                };
                sum += client.usable(&budget.name, at).unwrap_or(0);
            }
            // Under high demand, units are unused only within the allocator's tolerance or while it moves them between nodes.
            let min = if matches!(budget.per, Per::Moment { .. }) {
                budget.total / 2
            } else {
                budget.total * 3 / 4
            };
            if sum < min {
                let details = format!("{}: {sum} of {} are granted", budget.name, budget.total);
                return Err(Violation::new("budgets are granted at the end", details));
            }
        }
        Ok(())
    }

    fn forgery_exemption(message: &[u8], change: &Change, violation: &Violation) -> Option<&'static str> {
        let tag = serde_json::from_slice::<serde_json::Value>(message).ok()?.get("w")?.as_str()?.to_string();
        match (tag.as_str(), change.field().as_str(), violation.rule) {
            ("grants", "g.m", _) => Some("the amount of a grant is known only from the message"),
            ("grants", "g.l", "usable units never exceed the total") => {
                Some("the term of a grant is known only from the message")
            }
            ("grants", "g.n", "usable units never exceed the total") => {
                Some("the node acknowledges another grant than the one that it uses")
            }
            ("grants", "g.n", "budgets are granted at the end") => {
                Some("no later grant has a greater number")
            }
            ("ask", "c.a", "usable units never exceed the total")
            | ("grants", "g.a", "usable units never exceed the total") => {
                Some("the term of a grant starts with the request that it names")
            }
            ("grants", "plan", "usable units never exceed the total") => {
                Some("the reserves that nodes may use are known only from the message")
            }
            ("ask", "plan", "usable units never exceed the total") => {
                Some("the configuration of a node is known only from the message")
            }
            ("ask", "c.a", "budgets are granted at the end") => {
                Some("all later requests of this incarnation seem to be older")
            }
            _ => None,
        }
    }
}
