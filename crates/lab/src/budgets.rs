//! Fleet-wide budgets in virtual time: the real allocators, ledgers and clients of `shorepath-quota`, on an
//! emulated network that loses, delays, duplicates and partitions messages, with processes that crash and
//! pause, clocks that drift, and consensus that takes time.
//!
//! Consensus is emulated by what its library promises: a single order of entries, a leader that is replaced
//! after a delay, and proposals of replaced leaders that may still be committed late.

use crate::plot::{Plot, Series};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;
use shorepath_quota::allocator::{Allocator, Entry};
use shorepath_quota::client::{QuotaClient, Usage};
use shorepath_quota::config::{Budget, Per, Plan, ProcessAddress};
use shorepath_quota::messages::Message;
use shorepath_quota::rate_limiter::TokenBucket;
use shorepath_quota::{Micros, NodeId, NodeIncarnation};
use std::collections::{BTreeMap, VecDeque};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Step of the virtual time.
const TICK: Micros = 10 * MS;
/// Range of the time without a leader after a leader is lost.
const ELECTION_DELAY: (Micros, Micros) = (600 * MS, 1_500 * MS);
/// Mean budget per node.
const UNITS_PER_NODE: u64 = 50;

/// Settings of one simulated run of a fleet.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Number of nodes.
    pub nodes: u32,
    /// Number of quota servers.
    pub quota_servers: usize,
    /// Duration of a grant.
    pub grant_term: Micros,
    /// Maximum clock drift in parts per million, as in the configuration of the budgets.
    pub drift_ppm: u32,
    /// Probability that a message is lost. It is duplicated with a tenth of this probability.
    pub message_loss: f64,
    /// Shortest and longest network delay of a message.
    pub network_delay: (Micros, Micros),
    /// Interval at which the demand of every node is redrawn.
    pub demand_interval: Micros,
    /// Fraction of the nodes that fail at [`Trial::death_at`].
    pub dead_fraction: f64,
    /// Time at which nodes fail.
    pub death_at: Micros,
    /// Duration of the run.
    pub end_at: Micros,
    /// Whether nodes and quota servers are paused, killed, restarted and partitioned during the run, and the
    /// budget's total is changed.
    pub inject_faults: bool,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl Default for Trial {
    fn default() -> Self {
        Trial {
            nodes: 10,
            quota_servers: 3,
            grant_term: 5 * S,
            drift_ppm: 500,
            message_loss: 0.0,
            network_delay: (5 * MS, 40 * MS),
            demand_interval: 60 * S,
            dead_fraction: 0.0,
            death_at: 35 * S,
            end_at: 60 * S,
            inject_faults: false,
            seed: 1,
        }
    }
}

/// Results of one simulated run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Fraction of the usable budget that the nodes were able to use before the failures.
    pub used: f64,
    /// The same fraction if each node had an equal, fixed share.
    pub fixed_shares: f64,
    /// Seconds until 95% of the usable budget is in use again after the failures; `None` if that is never
    /// reached.
    pub recovery_s: Option<f64>,
    /// Messages per node and second, sent by nodes and quota servers together.
    pub messages: f64,
    /// Bytes of these messages per node and second.
    pub bytes: f64,
    /// Steps at which the nodes together could have used more than a budget's total, or had more jobs in
    /// flight.
    pub over_total: u64,
    /// The most units used within any second beyond the total and the stated bursts.
    pub overrun: u64,
    /// Jobs started under the budget of concurrent jobs.
    pub jobs_started: u64,
    /// Fraction of the usable budget in use, sampled every second.
    pub usage_over_time: Vec<(f64, f64)>,
}

struct Clock {
    rate: f64,
    offset: Micros,
}

impl Clock {
    fn random(rng: &mut ChaCha8Rng, ppm: u32) -> Clock {
        let off = (rng.random::<f64>() * 2.0 - 1.0) * f64::from(ppm) / 1e6;
        Clock { rate: 1.0 + off, offset: rng.random_range(0..1_000) * S }
    }

    fn local_time(&self, now: Micros) -> Micros {
        self.offset + (now as f64 * self.rate) as Micros
    }
}

struct Node {
    name: String,
    /// The quota client of the running process; `None` while the node is down.
    client: Option<QuotaClient>,
    clock: Clock,
    rate_limiter: TokenBucket,
    start_count: u64,
    halted_until: Micros,
    restart_at: Option<Micros>,
    demand: u64,
    /// Demanded units, with fractions, that are not yet counted as wanted.
    pending_demand: f64,
    /// End times of the jobs in flight, whichever process started them.
    job_ends: Vec<Micros>,
    /// End times of the jobs that the running process has started.
    own_job_ends: Vec<Micros>,
}

struct QuotaServer {
    allocator: Allocator,
    clock: Clock,
    applied: usize,
    halted_until: Micros,
    leader_term: u64,
}

#[derive(Clone)]
enum Destination {
    /// To a quota server, from a node.
    QuotaServer(usize, u32),
    /// To a node, from a quota server.
    Node(u32, usize),
}

struct World {
    trial: Trial,
    rng: ChaCha8Rng,
    now: Micros,
    plan: Plan,
    nodes: Vec<Node>,
    quota_servers: Vec<QuotaServer>,
    log: Vec<Entry>,
    /// Time of the commit, proposing server, its leader term, and the entry.
    proposals: Vec<(Micros, usize, u64, Entry)>,
    leader: Option<usize>,
    election: Micros,
    last_leader_term: u64,
    in_transit: BTreeMap<(Micros, u64), (Destination, Vec<u8>)>,
    messages_sent: u64,
    bytes: u64,
    /// Until this time, nodes with odd numbers are partitioned from quota servers with even ones.
    partitioned_until: Micros,
    recent_usage: VecDeque<(Micros, u64)>,
    previous_total: (u64, Micros),
    outcome: Outcome,
}

const RATE: &str = "quota:acme";
const FLIGHT: &str = "flight:valve";
/// Maximum duration of a job of [`FLIGHT`].
const MAX_JOB_DURATION: Micros = 2 * S;

fn plan_of(trial: &Trial) -> Plan {
    let process_address = |kind: char, k: usize| ProcessAddress {
        name: format!("{kind}{k}"),
        address: ([127, 0, 0, 1], 10_000 + k as u16).into(),
    };
    let budget_total = UNITS_PER_NODE * u64::from(trial.nodes);
    let budget = |name: &str, per, budget_total, reserve| Budget {
        name: name.to_string(),
        per,
        total: budget_total,
        floor: 0,
        reserve,
    };
    Plan {
        version: 1,
        nodes: trial.nodes,
        allocators: (0..trial.quota_servers).map(|k| process_address('d', k)).collect(),
        members: (0..trial.nodes as usize).map(|k| process_address('n', k)).collect(),
        term: trial.grant_term,
        drift_ppm: trial.drift_ppm,
        budgets: vec![
            budget(RATE, Per::Second { burst: 200 * MS }, budget_total, 1),
            budget(FLIGHT, Per::Moment { longest: MAX_JOB_DURATION }, 4 * u64::from(trial.nodes), 1),
        ],
        ..Plan::default()
    }
}

impl World {
    fn new(trial: &Trial) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(trial.seed);
        let plan = plan_of(trial);
        let quota_servers = (0..trial.quota_servers)
            .map(|k| QuotaServer {
                allocator: Allocator::new(&format!("d{k}"), plan.clone(), rng.random()),
                clock: Clock::random(&mut rng, trial.drift_ppm),
                applied: 0,
                halted_until: 0,
                leader_term: 0,
            })
            .collect();
        let nodes = (0..trial.nodes)
            .map(|k| Node {
                name: format!("n{k}"),
                client: None,
                clock: Clock::random(&mut rng, trial.drift_ppm),
                rate_limiter: TokenBucket::new(0, 0),
                start_count: 0,
                halted_until: 0,
                // All nodes start within the first second.
                restart_at: Some(rng.random_range(0..S)),
                demand: 0,
                pending_demand: 0.0,
                job_ends: Vec::new(),
                own_job_ends: Vec::new(),
            })
            .collect();
        let budget_total = UNITS_PER_NODE * u64::from(trial.nodes);
        World {
            trial: trial.clone(),
            rng,
            now: 0,
            plan,
            nodes,
            quota_servers,
            log: Vec::new(),
            proposals: Vec::new(),
            leader: None,
            election: 0,
            last_leader_term: 0,
            in_transit: BTreeMap::new(),
            messages_sent: 0,
            bytes: 0,
            partitioned_until: 0,
            recent_usage: VecDeque::new(),
            previous_total: (budget_total, 0),
            outcome: Outcome::default(),
        }
    }

    fn send(&mut self, to: Destination, message: &Message) {
        let bytes = message.bytes();
        self.messages_sent += 1;
        self.bytes += bytes.len() as u64;
        let (server, node) = match to {
            Destination::QuotaServer(d, n) | Destination::Node(n, d) => (d, n),
        };
        let is_partitioned = self.now < self.partitioned_until && (server % 2 == 0) != (node % 2 == 0);
        let copies = match self.rng.random::<f64>() {
            p if p < self.trial.message_loss || is_partitioned => 0,
            p if p < self.trial.message_loss * 1.1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at =
                self.now + self.rng.random_range(self.trial.network_delay.0..=self.trial.network_delay.1);
            self.messages_sent += 1;
            self.in_transit.insert((at, self.messages_sent), (to.clone(), bytes.clone()));
            self.messages_sent -= u64::from(copies > 1);
        }
    }

    fn is_running(&self, server: usize) -> bool {
        self.quota_servers[server].halted_until <= self.now
    }

    /// Applies the committed entries that a quota server has not applied yet.
    fn catch_up(&mut self, k: usize) {
        let server = &mut self.quota_servers[k];
        let now = server.clock.local_time(self.now);
        for entry in &self.log[server.applied..] {
            server.allocator.apply(entry, now);
        }
        server.applied = self.log.len();
    }

    fn run_consensus(&mut self) {
        let has_majority = (0..self.quota_servers.len()).filter(|k| self.is_running(*k)).count() * 2
            > self.quota_servers.len();
        if self.leader.is_some_and(|k| !self.is_running(k)) {
            // The old leader still acts as one when it resumes, and its proposals may be committed late.
            self.leader = None;
            self.election = self.now + self.rng.random_range(ELECTION_DELAY.0..ELECTION_DELAY.1);
            let late = self.rng.random_range(0..3 * S);
            self.proposals.iter_mut().for_each(|p| p.0 += late);
        }
        if self.leader.is_none() && has_majority && self.now >= self.election {
            let from = self.rng.random_range(0..self.quota_servers.len());
            let candidate = (0..self.quota_servers.len())
                .map(|i| (from + i) % self.quota_servers.len())
                .find(|k| self.is_running(*k));
            if let Some(k) = candidate {
                self.last_leader_term += 1;
                self.catch_up(k);
                let leader_term = self.last_leader_term;
                let server = &mut self.quota_servers[k];
                server.leader_term = leader_term;
                server.allocator.set_leader(false);
                server.allocator.set_leader(true);
                self.leader = Some(k);
            }
        }
        // Proposals are committed while there is a majority; those of a replaced leader only sometimes.
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.proposals).into_iter().partition(|p| p.0 <= self.now && has_majority);
        self.proposals = waiting;
        for (_, proposer, leader_term, entry) in ready {
            let is_current =
                self.leader == Some(proposer) && self.quota_servers[proposer].leader_term == leader_term;
            if !is_current && self.rng.random::<bool>() {
                continue;
            }
            self.log.push(entry.clone());
            for k in 0..self.quota_servers.len() {
                // The other servers apply the entry now or at some later time.
                if k != proposer && self.is_running(k) && self.rng.random::<f64>() < 0.7 {
                    self.catch_up(k);
                }
            }
            if is_current {
                // The entries before this one are applied first, so that the change reported is that of this
                // entry.
                let server = &mut self.quota_servers[proposer];
                let now = server.clock.local_time(self.now);
                let last = self.log.len() - 1;
                for entry in &self.log[server.applied..last] {
                    server.allocator.apply(entry, now);
                }
                let changed = server.allocator.apply(&entry, now);
                server.applied = self.log.len();
                for outgoing in server.allocator.complete_proposal(&entry, changed, now) {
                    self.send_to_incarnation(proposer, outgoing.to, &outgoing.message);
                }
            }
        }
        for k in 0..self.quota_servers.len() {
            if !self.is_running(k) {
                continue;
            }
            let now = self.quota_servers[k].clock.local_time(self.now);
            // A replaced leader acts as the leader for a while before it learns of its replacement.
            if self.quota_servers[k].allocator.is_leader()
                && self.leader != Some(k)
                && self.rng.random::<f64>() < 0.05
            {
                self.quota_servers[k].allocator.set_leader(false);
            }
            if let Some(entry) = self.quota_servers[k].allocator.propose(now) {
                let at = self.now + self.rng.random_range(2 * MS..15 * MS);
                self.proposals.push((at, k, self.quota_servers[k].leader_term, entry));
            }
        }
    }

    fn send_to_incarnation(&mut self, from: usize, incarnation: NodeIncarnation, message: &Message) {
        let node = self.nodes.iter().position(|n| NodeId::of(&n.name) == incarnation.node);
        if let Some(node) = node {
            self.send(Destination::Node(node as u32, from), message);
        }
    }

    fn deliver(&mut self) {
        while let Some((&key, _)) = self.in_transit.first_key_value().filter(|(k, _)| k.0 <= self.now) {
            let Some((to, bytes)) = self.in_transit.remove(&key) else { return };
            let Ok(message) = Message::read(&bytes) else { continue };
            match to {
                Destination::QuotaServer(d, n) => {
                    if !self.is_running(d) {
                        // The message waits in the socket of the paused process.
                        self.in_transit.insert(
                            (self.quota_servers[d].halted_until + TICK, key.1),
                            (Destination::QuotaServer(d, n), bytes),
                        );
                        continue;
                    }
                    let leader = self.leader;
                    let server = &mut self.quota_servers[d];
                    let now = server.clock.local_time(self.now);
                    if server.allocator.is_leader() {
                        server.allocator.receive(&message, now);
                    } else if matches!(message, Message::Ask { .. }) {
                        let leader = leader.map(|l| format!("d{l}"));
                        self.send(Destination::Node(n, d), &Message::NotLeader { leader });
                    }
                }
                Destination::Node(n, d) => {
                    let node = &mut self.nodes[n as usize];
                    if node.halted_until > self.now {
                        self.in_transit
                            .insert((node.halted_until + TICK, key.1), (Destination::Node(n, d), bytes));
                        continue;
                    }
                    let now = node.clock.local_time(self.now);
                    node.client.iter_mut().for_each(|s| {
                        s.receive(d, &message, now);
                    });
                }
            }
        }
    }

    fn start(&mut self, k: usize) {
        let (now, plan) = (self.now, self.plan.clone());
        let seed = self.rng.random::<u64>() as usize;
        let node = &mut self.nodes[k];
        node.start_count += 1;
        let local_now = node.clock.local_time(now);
        let incarnation = NodeIncarnation { node: NodeId::of(&node.name), incarnation: node.start_count };
        let mut client = QuotaClient::new(incarnation, plan, seed, local_now);
        client.set_owns_address(true, local_now);
        node.rate_limiter = TokenBucket::new(200 * MS, local_now);
        (node.client, node.restart_at, node.pending_demand) = (Some(client), None, 0.0);
        node.own_job_ends.clear();
    }

    /// Runs one step of every node, then checks the limits.
    fn run_nodes(&mut self) {
        let (mut usable, mut max_usable, mut usable_by_fixed_shares) = (0, 0u64, 0u64);
        let mut used = 0;
        for k in 0..self.nodes.len() {
            if self.nodes[k].restart_at.is_some_and(|at| at <= self.now) {
                self.start(k);
            }
            let now = self.now;
            let node = &mut self.nodes[k];
            node.job_ends.retain(|end_at| *end_at > now);
            node.own_job_ends.retain(|end_at| *end_at > now);
            if node.halted_until > now {
                continue;
            }
            let Some(client) = &mut node.client else { continue };
            let local_now = node.clock.local_time(now);
            max_usable += node.demand;
            usable_by_fixed_shares += node.demand.min(UNITS_PER_NODE);
            // Demand for the budget per second.
            let rate = client.usable(RATE, local_now).unwrap_or(0);
            node.rate_limiter.refill(local_now, rate);
            node.pending_demand += node.demand as f64 * TICK as f64 / 1e6;
            let wanted = node.pending_demand as u64;
            let mut taken = 0;
            while taken < wanted && node.rate_limiter.take() {
                taken += 1;
            }
            // Demand that is not met now is dropped.
            node.pending_demand -= wanted as f64;
            used += taken;
            usable += node.demand.min(rate);
            client.record_usage(RATE, Usage { wanted, used: taken });
            // Demand for concurrent jobs: a tenth of the demand per second.
            let limit = client.usable(FLIGHT, local_now).unwrap_or(0);
            let wanted_jobs = node.demand / 10 + 1;
            while (node.own_job_ends.len() as u64) < wanted_jobs.min(limit) {
                let end_at = now + self.rng.random_range(200 * MS..MAX_JOB_DURATION);
                node.own_job_ends.push(end_at);
                node.job_ends.push(end_at);
                self.outcome.jobs_started += 1;
            }
            client.record_usage(FLIGHT, Usage { wanted: wanted_jobs, used: node.own_job_ends.len() as u64 });
            client.pass(local_now);
            for outgoing in client.take_outgoing() {
                self.send(Destination::QuotaServer(outgoing.to, k as u32), &outgoing.message);
            }
        }
        self.check_limits(used, (usable, max_usable, usable_by_fixed_shares));
    }

    fn check_limits(&mut self, used: u64, (usable, max_usable, usable_by_fixed_shares): (u64, u64, u64)) {
        let budget_total = self.plan.budgets[0].total;
        // Grants from before a decrease of the total stay in use until they end.
        if budget_total != self.previous_total.0 {
            self.previous_total =
                (budget_total.max(self.previous_total.0), self.now + self.trial.grant_term + S);
        } else if self.now > self.previous_total.1 {
            self.previous_total.0 = budget_total;
        }
        let limit = if self.now <= self.previous_total.1 {
            self.previous_total.0.max(budget_total)
        } else {
            budget_total
        };
        let usable_rate = |n: &Node| {
            n.client.as_ref().and_then(|s| s.usable(RATE, n.clock.local_time(self.now))).unwrap_or(0)
        };
        let usable_total: u64 = self.nodes.iter().map(usable_rate).sum();
        let in_flight: u64 = self.nodes.iter().map(|n| n.job_ends.len() as u64).sum();
        self.outcome.over_total +=
            u64::from(usable_total > limit) + u64::from(in_flight > self.plan.budgets[1].total);
        // Usage of any second is bounded by the total, a burst of 200 ms, the clock drift and one unit per
        // node.
        self.recent_usage.push_back((self.now, used));
        while self.recent_usage.front().is_some_and(|u| u.0 <= self.now - S) {
            self.recent_usage.pop_front();
        }
        let used_in_second: u64 = self.recent_usage.iter().map(|u| u.1).sum();
        let bound = limit + limit / 5 + limit / 100 + u64::from(self.trial.nodes);
        self.outcome.overrun = self.outcome.overrun.max(used_in_second.saturating_sub(bound));
        let max_usable = max_usable.min(budget_total) as f64;
        if max_usable > 0.0 {
            let usable_fraction = usable as f64 / max_usable;
            if (15 * S..self.trial.death_at).contains(&self.now) {
                self.outcome.used += usable as f64;
                self.outcome.fixed_shares += usable_by_fixed_shares as f64;
                self.outcome.messages += max_usable;
            }
            if self.now >= self.trial.death_at
                && self.trial.dead_fraction > 0.0
                && self.outcome.recovery_s.is_none()
                && usable_fraction >= 0.95
            {
                self.outcome.recovery_s = Some((self.now - self.trial.death_at) as f64 / 1e6);
            }
            if self.now % S == 0 {
                self.outcome.usage_over_time.push((self.now as f64 / 1e6, usable_fraction));
            }
        }
    }

    fn draw_demands(&mut self) {
        for node in &mut self.nodes {
            let is_high = self.rng.random::<f64>() < 0.1;
            node.demand = if is_high { 5 * UNITS_PER_NODE } else { UNITS_PER_NODE / 2 }
                + self.rng.random_range(0..UNITS_PER_NODE / 5);
        }
    }

    fn inject_fault(&mut self) {
        let nodes = self.nodes.len();
        let k = self.rng.random_range(0..nodes);
        let duration = self.rng.random_range(100 * MS..2 * self.trial.grant_term);
        match self.rng.random_range(0..9) {
            0 => self.nodes[k].halted_until = self.now + duration,
            1 | 2 => {
                // The process is killed and usually restarted within the term of its grants.
                self.nodes[k].client = None;
                self.nodes[k].halted_until = 0;
                self.nodes[k].restart_at = Some(self.now + duration / 4);
            }
            3 => {
                let local_now = self.nodes[k].clock.local_time(self.now);
                if let Some(mut client) = self.nodes[k].client.take() {
                    client.leave(local_now);
                    for outgoing in client.take_outgoing() {
                        self.send(Destination::QuotaServer(outgoing.to, k as u32), &outgoing.message);
                    }
                    self.nodes[k].restart_at = Some(self.now + duration / 4);
                }
            }
            4 => {
                let d = self.rng.random_range(0..self.quota_servers.len());
                self.quota_servers[d].halted_until = self.now + duration;
            }
            5 => {
                // A quota server restarts from its disk: the age of all committed entries counts from now.
                let d = self.rng.random_range(0..self.quota_servers.len());
                let now = self.quota_servers[d].clock.local_time(self.now);
                let mut allocator = Allocator::new(&format!("d{d}"), self.plan.clone(), self.rng.random());
                allocator.restore(&self.quota_servers[d].allocator.state().snapshot(), now);
                self.quota_servers[d].allocator = allocator;
                if self.leader == Some(d) {
                    self.leader = None;
                    self.election = self.now + self.rng.random_range(ELECTION_DELAY.0..ELECTION_DELAY.1);
                }
            }
            6 => self.partitioned_until = self.now + duration,
            7 => {
                // All quota servers lose their disks and form a new fleet. A server with an old proposal
                // pending does not know.
                self.log.clear();
                self.proposals.clear();
                for (d, server) in self.quota_servers.iter_mut().enumerate() {
                    server.allocator = Allocator::new(&format!("d{d}"), self.plan.clone(), self.rng.random());
                    (server.applied, server.leader_term) = (0, 0);
                }
                self.leader = None;
                self.election = self.now + self.rng.random_range(ELECTION_DELAY.0..ELECTION_DELAY.1);
            }
            _ => {
                // A new configuration reaches the quota servers first, then the nodes.
                let budget_total = UNITS_PER_NODE * u64::from(self.trial.nodes);
                self.plan.version += 1;
                self.plan.budgets[0].total = self.rng.random_range(budget_total / 2..budget_total);
                self.plan.budgets[0].reserve = self.rng.random_range(0..4);
                self.plan.budgets[1].reserve = self.rng.random_range(0..3);
                for v in &mut self.quota_servers {
                    v.allocator.set_plan(self.plan.clone());
                }
                for n in &mut self.nodes {
                    let local_now = n.clock.local_time(self.now);
                    let plan = self.plan.clone();
                    n.client
                        .iter_mut()
                        .filter(|_| n.halted_until <= self.now)
                        .for_each(|s| s.replan(plan.clone(), local_now));
                }
            }
        }
    }

    fn run(mut self) -> Outcome {
        let mut next_fault_at = 12 * S;
        while self.now < self.trial.end_at {
            if self.now % self.trial.demand_interval == 0 {
                self.draw_demands();
            }
            if self.now == self.trial.death_at {
                let dying = (self.trial.dead_fraction * self.nodes.len() as f64).round() as usize;
                for node in self.nodes.iter_mut().rev().take(dying) {
                    node.client = None;
                }
            }
            if self.trial.inject_faults && self.now >= next_fault_at {
                next_fault_at = self.now + self.rng.random_range(200 * MS..2 * S);
                self.inject_fault();
            }
            self.deliver();
            self.run_consensus();
            self.run_nodes();
            self.now += TICK;
        }
        let possible_usage = self.outcome.messages;
        self.outcome.used /= possible_usage;
        self.outcome.fixed_shares /= possible_usage;
        let node_seconds = self.nodes.len() as f64 * self.trial.end_at as f64 / 1e6;
        (self.outcome.messages, self.outcome.bytes) =
            (self.messages_sent as f64 / node_seconds, self.bytes as f64 / node_seconds);
        self.outcome
    }
}

/// Runs one trial.
pub fn run(trial: &Trial) -> Outcome {
    World::new(trial).run()
}

/// Means of one kind of trial at one fleet size, over its seeds.
#[derive(Clone, Debug)]
pub struct Row {
    /// Number of nodes.
    pub nodes: u32,
    /// Interval at which demands are redrawn; `None` for a steady demand.
    pub demand_interval: Option<Micros>,
    /// Fraction of the nodes that fails.
    pub dead_fraction: f64,
    /// Fraction of the messages that is lost.
    pub message_loss: f64,
    /// Mean of [`Outcome::used`].
    pub used: f64,
    /// Mean of [`Outcome::fixed_shares`].
    pub fixed_shares: f64,
    /// Mean of [`Outcome::recovery_s`]; `None` if any seed did not recover.
    pub recovery_s: Option<f64>,
    /// Mean of [`Outcome::messages`].
    pub messages: f64,
    /// Mean of [`Outcome::bytes`].
    pub bytes: f64,
    /// Violations of the limits, over all seeds: steps above the total, and units of the overrun.
    pub over_total: u64,
    /// [`Outcome::usage_over_time`] of the first seed.
    pub usage_over_time: Vec<(f64, f64)>,
}

impl Row {
    /// Header of the Markdown table of rows.
    pub const HEAD: &'static str =
        "| nodes | demand | dead | words lost | used of what could be | fixed parts | 95% used again after | words | bytes a node and second | over |";
}

impl std::fmt::Display for Row {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let demand = self.demand_interval.map_or("steady".into(), |e| format!("new each {} s", e / S));
        let recovery_s = self.recovery_s.map_or("not in all".into(), |b| format!("{b:.2} s"));
        write!(
            f,
            "| {} | {demand} | {:.0}% | {:.0}% | {:.3} | {:.3} | {recovery_s} | {:.1} | {:.0} | {} |",
            self.nodes,
            self.dead_fraction * 100.0,
            self.message_loss * 100.0,
            self.used,
            self.fixed_shares,
            self.messages,
            self.bytes,
            self.over_total
        )
    }
}

/// Results of trials at several fleet sizes.
#[derive(Clone, Debug)]
pub struct Study {
    /// One row per kind of trial and fleet size.
    pub rows: Vec<Row>,
}

/// Runs each kind of trial at each fleet size, with seeds from 1 to `seeds`.
pub fn study(sizes: &[u32], seeds: u64, grant_term: Micros) -> Study {
    let kinds = [
        (None, 0.01, 0.0),
        (None, 0.1, 0.0),
        (None, 0.7, 0.0),
        (None, 0.7, 0.3),
        (Some(10 * S), 0.1, 0.0),
        (Some(10 * S), 0.1, 0.3),
    ];
    let all: Vec<(u32, Option<Micros>, f64, f64)> = sizes
        .iter()
        .flat_map(|n| {
            kinds.map(|(demand_interval, dead_fraction, message_loss)| {
                (*n, demand_interval, dead_fraction, message_loss)
            })
        })
        .collect();
    let rows = all.par_iter().map(|(nodes, demand_interval, dead_fraction, message_loss)| {
        let trial = |seed| Trial {
            nodes: *nodes,
            grant_term,
            demand_interval: demand_interval.unwrap_or(600 * S),
            dead_fraction: *dead_fraction,
            message_loss: *message_loss,
            seed,
            ..Trial::default()
        };
        let outcomes: Vec<Outcome> = (1..=seeds).map(|seed| run(&trial(seed))).collect();
        let mean = |of: fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / seeds as f64;
        let recovery_s: Option<Vec<f64>> = outcomes.iter().map(|o| o.recovery_s).collect();
        Row {
            nodes: *nodes,
            demand_interval: *demand_interval,
            dead_fraction: *dead_fraction,
            message_loss: *message_loss,
            used: mean(|o| o.used),
            fixed_shares: mean(|o| o.fixed_shares),
            recovery_s: recovery_s.map(|b| b.iter().sum::<f64>() / seeds as f64),
            messages: mean(|o| o.messages),
            bytes: mean(|o| o.bytes),
            over_total: outcomes.iter().map(|o| o.over_total + o.overrun).sum(),
            usage_over_time: outcomes.first().map(|o| o.usage_over_time.clone()).unwrap_or_default(),
        }
    });
    Study { rows: rows.collect() }
}

impl Study {
    /// Plots the usage over time, and the messages of a node by the size of its fleet.
    pub fn plots(&self) -> Vec<(&'static str, Plot)> {
        let name = |r: &Row| {
            let message_loss = if r.message_loss > 0.0 { ", 30% of messages lost" } else { "" };
            format!("{} nodes, {:.0}% fail{message_loss}", r.nodes, r.dead_fraction * 100.0)
        };
        let points = |r: &Row| r.usage_over_time.iter().map(|(t, used)| (*t, *used, None)).collect();
        let usage_series = |rows: Vec<&Row>| -> Vec<Series> {
            rows.into_iter().map(|r| Series { name: name(r), points: points(r) }).collect()
        };
        let steady = usage_series(
            self.rows.iter().filter(|r| r.demand_interval.is_none() && r.dead_fraction >= 0.1).collect(),
        );
        let varying = usage_series(self.rows.iter().filter(|r| r.demand_interval.is_some()).collect());
        let by_size = |title: &str, of: fn(&Row) -> f64| -> Series {
            let rows = self.rows.iter().filter(|r| r.demand_interval.is_none() && r.dead_fraction == 0.1);
            Series { name: title.into(), points: rows.map(|r| (f64::from(r.nodes), of(r), None)).collect() }
        };
        let usage_plot = |title: &str, series| Plot {
            title: title.into(),
            x: "seconds".into(),
            y: "fraction of the usable budget in use".into(),
            y_range: Some((0.0, 1.05)),
            series,
            ..Plot::default()
        };
        let message_plot = Plot {
            title: "messages between a node and its quota servers".into(),
            x: "nodes".into(),
            y: "messages per node and second".into(),
            log_x: true,
            series: vec![by_size("messages", |r| r.messages)],
            ..Plot::default()
        };
        vec![
            ("budgets-steady", usage_plot("steady uneven demand; nodes fail at 35 s", steady)),
            (
                "budgets-moving",
                usage_plot("demand redrawn every 10 s; a tenth of the nodes fails at 35 s", varying),
            ),
            ("budgets-words", message_plot),
        ]
    }
}
