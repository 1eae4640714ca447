//! Fleet-wide budgets in virtual time: the real dividers, ledgers and seats of `shorepath-quota`, with a network that loses,
//! delays, doubles and cuts, processes that die and stand still, clocks that drift, and an agreement that takes its time.
//!
//! What is emulated of the agreement is what its library promises: one order of entries, a leader that is replaced after a while,
//! and proposals of replaced leaders that may still be agreed on, late.

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
/// The step of virtual time.
const TICK: Micros = 10 * MS;
/// How long the fleet is without a leader once it has lost one.
const ELECTION: (Micros, Micros) = (600 * MS, 1_500 * MS);
/// Units a node in the mean.
const UNITS: u64 = 50;

/// What is done to a fleet.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Nodes.
    pub nodes: u32,
    /// Dividers.
    pub dividers: usize,
    /// The length of a grant.
    pub term: Micros,
    /// Clocks are off by up to so many millionths, as the plan says.
    pub drift_ppm: u32,
    /// A word is lost with that probability, and doubled with a tenth of it.
    pub loss: f64,
    /// The shortest and the longest way of a word.
    pub ways: (Micros, Micros),
    /// Who wants much is drawn anew this often.
    pub every: Micros,
    /// That part of the nodes dies at [`Trial::death`].
    pub dead: f64,
    /// When.
    pub death: Micros,
    /// Until when it runs.
    pub end: Micros,
    /// Nodes and dividers are halted, killed, restarted and cut off all the while, and the whole is changed.
    pub havoc: bool,
    /// For random numbers.
    pub seed: u64,
}

impl Default for Trial {
    fn default() -> Self {
        Trial {
            nodes: 10,
            dividers: 3,
            term: 5 * S,
            drift_ppm: 500,
            loss: 0.0,
            ways: (5 * MS, 40 * MS),
            every: 60 * S,
            dead: 0.0,
            death: 35 * S,
            end: 60 * S,
            havoc: false,
            seed: 1,
        }
    }
}

/// What a trial came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Part of what could be used that was, before the deaths; and what parts fixed by the list would give.
    pub used: f64,
    /// See `used`.
    pub fixed: f64,
    /// Until 95% of what could be used after the deaths is used again, in seconds; `None` where that does not come.
    pub back: Option<f64>,
    /// Words and bytes a node and second, of nodes and dividers together.
    pub words: f64,
    /// See `words`.
    pub bytes: f64,
    /// Moments at which more than the whole could have been used, or more was in use at once.
    pub over: u64,
    /// The most units that were used in any second, above the whole and what is stated.
    pub overrun: u64,
    /// Jobs begun under the budget of what is in use at once.
    pub begun: u64,
    /// Part of what could be used that was, in each second.
    pub course: Vec<(f64, f64)>,
}

struct Clock {
    rate: f64,
    offset: Micros,
}

impl Clock {
    fn drawn(rng: &mut ChaCha8Rng, ppm: u32) -> Clock {
        let off = (rng.random::<f64>() * 2.0 - 1.0) * f64::from(ppm) / 1e6;
        Clock { rate: 1.0 + off, offset: rng.random_range(0..1_000) * S }
    }

    fn at(&self, now: Micros) -> Micros {
        self.offset + (now as f64 * self.rate) as Micros
    }
}

struct Node {
    name: String,
    /// Its process, if one runs.
    seat: Option<QuotaClient>,
    clock: Clock,
    meter: TokenBucket,
    lives: u64,
    halted: Micros,
    back: Option<Micros>,
    demand: u64,
    /// Fractions of units wanted and not yet counted.
    wants: f64,
    /// When each job that is out ends, by whichever life it was begun.
    out: Vec<Micros>,
    /// How many of them this life knows of.
    own: Vec<Micros>,
}

struct Voter {
    divider: Allocator,
    clock: Clock,
    applied: usize,
    halted: Micros,
    term: u64,
}

#[derive(Clone)]
enum To {
    /// A divider, from that node.
    Divider(usize, u32),
    /// A node, from that divider.
    Node(u32, usize),
}

struct World {
    trial: Trial,
    rng: ChaCha8Rng,
    now: Micros,
    plan: Plan,
    nodes: Vec<Node>,
    voters: Vec<Voter>,
    log: Vec<Entry>,
    /// Proposed by whom, in which term of leadership, and when it is agreed on.
    proposals: Vec<(Micros, usize, u64, Entry)>,
    leader: Option<usize>,
    election: Micros,
    terms: u64,
    way: BTreeMap<(Micros, u64), (To, Vec<u8>)>,
    said: u64,
    bytes: u64,
    /// Nodes with odd numbers are cut from dividers with even ones until then.
    cut: Micros,
    used: VecDeque<(Micros, u64)>,
    whole_was: (u64, Micros),
    out: Outcome,
}

const RATE: &str = "quota:acme";
const FLIGHT: &str = "flight:valve";
/// How long a job of [`FLIGHT`] is out at most.
const LONGEST: Micros = 2 * S;

fn plan_of(trial: &Trial) -> Plan {
    let place = |kind: char, k: usize| ProcessAddress {
        name: format!("{kind}{k}"),
        address: ([127, 0, 0, 1], 10_000 + k as u16).into(),
    };
    let whole = UNITS * u64::from(trial.nodes);
    let budget = |name: &str, per, whole, reserve| Budget {
        name: name.to_string(),
        per,
        total: whole,
        floor: 0,
        reserve,
    };
    Plan {
        version: 1,
        nodes: trial.nodes,
        allocators: (0..trial.dividers).map(|k| place('d', k)).collect(),
        members: (0..trial.nodes as usize).map(|k| place('n', k)).collect(),
        term: trial.term,
        drift_ppm: trial.drift_ppm,
        budgets: vec![
            budget(RATE, Per::Second { burst: 200 * MS }, whole, 1),
            budget(FLIGHT, Per::Moment { longest: LONGEST }, 4 * u64::from(trial.nodes), 1),
        ],
        ..Plan::default()
    }
}

impl World {
    fn new(trial: &Trial) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(trial.seed);
        let plan = plan_of(trial);
        let voters = (0..trial.dividers)
            .map(|k| Voter {
                divider: Allocator::new(&format!("d{k}"), plan.clone(), rng.random()),
                clock: Clock::drawn(&mut rng, trial.drift_ppm),
                applied: 0,
                halted: 0,
                term: 0,
            })
            .collect();
        let nodes = (0..trial.nodes)
            .map(|k| Node {
                name: format!("n{k}"),
                seat: None,
                clock: Clock::drawn(&mut rng, trial.drift_ppm),
                meter: TokenBucket::new(0, 0),
                lives: 0,
                halted: 0,
                // All within a second.
                back: Some(rng.random_range(0..S)),
                demand: 0,
                wants: 0.0,
                out: Vec::new(),
                own: Vec::new(),
            })
            .collect();
        let whole = UNITS * u64::from(trial.nodes);
        World {
            trial: trial.clone(),
            rng,
            now: 0,
            plan,
            nodes,
            voters,
            log: Vec::new(),
            proposals: Vec::new(),
            leader: None,
            election: 0,
            terms: 0,
            way: BTreeMap::new(),
            said: 0,
            bytes: 0,
            cut: 0,
            used: VecDeque::new(),
            whole_was: (whole, 0),
            out: Outcome::default(),
        }
    }

    fn say(&mut self, to: To, word: &Message) {
        let bytes = word.bytes();
        self.said += 1;
        self.bytes += bytes.len() as u64;
        let (divider, node) = match to {
            To::Divider(d, n) | To::Node(n, d) => (d, n),
        };
        let apart = self.now < self.cut && (divider % 2 == 0) != (node % 2 == 0);
        let copies = match self.rng.random::<f64>() {
            p if p < self.trial.loss || apart => 0,
            p if p < self.trial.loss * 1.1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let at = self.now + self.rng.random_range(self.trial.ways.0..=self.trial.ways.1);
            self.said += 1;
            self.way.insert((at, self.said), (to.clone(), bytes.clone()));
            self.said -= u64::from(copies > 1);
        }
    }

    fn alive(&self, voter: usize) -> bool {
        self.voters[voter].halted <= self.now
    }

    /// Bring a divider up to date with what was agreed on.
    fn catch_up(&mut self, k: usize) {
        let voter = &mut self.voters[k];
        let now = voter.clock.at(self.now);
        for entry in &self.log[voter.applied..] {
            voter.divider.apply(entry, now);
        }
        voter.applied = self.log.len();
    }

    fn agreement(&mut self) {
        let majority = (0..self.voters.len()).filter(|k| self.alive(*k)).count() * 2 > self.voters.len();
        if self.leader.is_some_and(|k| !self.alive(k)) {
            // It doesn't know yet that it is replaced: it goes on once it wakes, and what it had proposed may come late.
            self.leader = None;
            self.election = self.now + self.rng.random_range(ELECTION.0..ELECTION.1);
            let late = self.rng.random_range(0..3 * S);
            self.proposals.iter_mut().for_each(|p| p.0 += late);
        }
        if self.leader.is_none() && majority && self.now >= self.election {
            let from = self.rng.random_range(0..self.voters.len());
            let found =
                (0..self.voters.len()).map(|i| (from + i) % self.voters.len()).find(|k| self.alive(*k));
            if let Some(k) = found {
                self.terms += 1;
                self.catch_up(k);
                let term = self.terms;
                let voter = &mut self.voters[k];
                voter.term = term;
                voter.divider.set_leader(false);
                voter.divider.set_leader(true);
                self.leader = Some(k);
            }
        }
        // Proposals come through while there is a majority; those of a replaced leader sometimes, too.
        let (due, wait): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.proposals).into_iter().partition(|p| p.0 <= self.now && majority);
        self.proposals = wait;
        for (_, who, term, entry) in due {
            let current = self.leader == Some(who) && self.voters[who].term == term;
            if !current && self.rng.random::<bool>() {
                continue;
            }
            self.log.push(entry.clone());
            for k in 0..self.voters.len() {
                // Others hear of it at some later time.
                if k != who && self.alive(k) && self.rng.random::<f64>() < 0.7 {
                    self.catch_up(k);
                }
            }
            if current {
                // Everything before it went in already: what comes back is about this entry.
                let voter = &mut self.voters[who];
                let now = voter.clock.at(self.now);
                let last = self.log.len() - 1;
                for entry in &self.log[voter.applied..last] {
                    voter.divider.apply(entry, now);
                }
                let changed = voter.divider.apply(&entry, now);
                voter.applied = self.log.len();
                for say in voter.divider.complete_proposal(&entry, changed, now) {
                    self.tell_life(who, say.to, &say.message);
                }
            }
        }
        for k in 0..self.voters.len() {
            if !self.alive(k) {
                continue;
            }
            let now = self.voters[k].clock.at(self.now);
            // One that was replaced learns of it after a moment of acting on what it holds true.
            if self.voters[k].divider.is_leader() && self.leader != Some(k) && self.rng.random::<f64>() < 0.05
            {
                self.voters[k].divider.set_leader(false);
            }
            if let Some(entry) = self.voters[k].divider.propose(now) {
                let at = self.now + self.rng.random_range(2 * MS..15 * MS);
                self.proposals.push((at, k, self.voters[k].term, entry));
            }
        }
    }

    fn tell_life(&mut self, from: usize, life: NodeIncarnation, word: &Message) {
        let node = self.nodes.iter().position(|n| NodeId::of(&n.name) == life.node);
        if let Some(node) = node {
            self.say(To::Node(node as u32, from), word);
        }
    }

    fn deliver(&mut self) {
        while let Some((&key, _)) = self.way.first_key_value().filter(|(k, _)| k.0 <= self.now) {
            let Some((to, bytes)) = self.way.remove(&key) else { return };
            let Ok(word) = Message::read(&bytes) else { continue };
            match to {
                To::Divider(d, n) => {
                    if !self.alive(d) {
                        // It waits in the socket.
                        self.way.insert((self.voters[d].halted + TICK, key.1), (To::Divider(d, n), bytes));
                        continue;
                    }
                    let leader = self.leader;
                    let voter = &mut self.voters[d];
                    let now = voter.clock.at(self.now);
                    if voter.divider.is_leader() {
                        voter.divider.receive(&word, now);
                    } else if matches!(word, Message::Ask { .. }) {
                        let leader = leader.map(|l| format!("d{l}"));
                        self.say(To::Node(n, d), &Message::NotLeader { leader });
                    }
                }
                To::Node(n, d) => {
                    let node = &mut self.nodes[n as usize];
                    if node.halted > self.now {
                        self.way.insert((node.halted + TICK, key.1), (To::Node(n, d), bytes));
                        continue;
                    }
                    let now = node.clock.at(self.now);
                    node.seat.iter_mut().for_each(|s| {
                        s.receive(d, &word, now);
                    });
                }
            }
        }
    }

    fn start(&mut self, k: usize) {
        let (now, plan) = (self.now, self.plan.clone());
        let seed = self.rng.random::<u64>() as usize;
        let node = &mut self.nodes[k];
        node.lives += 1;
        let at = node.clock.at(now);
        let life = NodeIncarnation { node: NodeId::of(&node.name), incarnation: node.lives };
        let mut seat = QuotaClient::new(life, plan, seed, at);
        seat.set_owns_address(true, at);
        node.meter = TokenBucket::new(200 * MS, at);
        (node.seat, node.back, node.wants) = (Some(seat), None, 0.0);
        node.own.clear();
    }

    /// Every process does what it may, and what that comes to.
    fn live(&mut self) {
        let (mut does, mut best, mut even) = (0, 0u64, 0u64);
        let mut used = 0;
        for k in 0..self.nodes.len() {
            if self.nodes[k].back.is_some_and(|at| at <= self.now) {
                self.start(k);
            }
            let now = self.now;
            let node = &mut self.nodes[k];
            node.out.retain(|end| *end > now);
            node.own.retain(|end| *end > now);
            if node.halted > now {
                continue;
            }
            let Some(seat) = &mut node.seat else { continue };
            let at = node.clock.at(now);
            best += node.demand;
            even += node.demand.min(UNITS);
            // By the second.
            let rate = seat.usable(RATE, at).unwrap_or(0);
            node.meter.refill(at, rate);
            node.wants += node.demand as f64 * TICK as f64 / 1e6;
            let wanted = node.wants as u64;
            let mut taken = 0;
            while taken < wanted && node.meter.take() {
                taken += 1;
            }
            // What was not to be had now is not wanted any more.
            node.wants -= wanted as f64;
            used += taken;
            does += node.demand.min(rate);
            seat.record_usage(RATE, Usage { wanted, used: taken });
            // In use at once: as many as a tenth of the demand.
            let most = seat.usable(FLIGHT, at).unwrap_or(0);
            let wants = node.demand / 10 + 1;
            while (node.own.len() as u64) < wants.min(most) {
                let end = now + self.rng.random_range(200 * MS..LONGEST);
                node.own.push(end);
                node.out.push(end);
                self.out.begun += 1;
            }
            seat.record_usage(FLIGHT, Usage { wanted: wants, used: node.own.len() as u64 });
            seat.pass(at);
            for say in seat.take_outgoing() {
                self.say(To::Divider(say.to, k as u32), &say.message);
            }
        }
        self.judge(used, (does, best, even));
    }

    fn judge(&mut self, used: u64, (does, best, even): (u64, u64, u64)) {
        let whole = self.plan.budgets[0].total;
        // Grants given before it was lowered are a debt until they end.
        if whole != self.whole_was.0 {
            self.whole_was = (whole.max(self.whole_was.0), self.now + self.trial.term + S);
        } else if self.now > self.whole_was.1 {
            self.whole_was.0 = whole;
        }
        let most = if self.now <= self.whole_was.1 { self.whole_was.0.max(whole) } else { whole };
        let clocks =
            |n: &Node| n.seat.as_ref().and_then(|s| s.usable(RATE, n.clock.at(self.now))).unwrap_or(0);
        let may: u64 = self.nodes.iter().map(clocks).sum();
        let flight: u64 = self.nodes.iter().map(|n| n.out.len() as u64).sum();
        self.out.over += u64::from(may > most) + u64::from(flight > self.plan.budgets[1].total);
        // Any second: the whole, what was saved for 200 ms, and a unit a node.
        self.used.push_back((self.now, used));
        while self.used.front().is_some_and(|u| u.0 <= self.now - S) {
            self.used.pop_front();
        }
        let second: u64 = self.used.iter().map(|u| u.1).sum();
        let stated = most + most / 5 + most / 100 + u64::from(self.trial.nodes);
        self.out.overrun = self.out.overrun.max(second.saturating_sub(stated));
        let best = best.min(whole) as f64;
        if best > 0.0 {
            let part = does as f64 / best;
            if (15 * S..self.trial.death).contains(&self.now) {
                self.out.used += does as f64;
                self.out.fixed += even as f64;
                self.out.words += best;
            }
            if self.now >= self.trial.death
                && self.trial.dead > 0.0
                && self.out.back.is_none()
                && part >= 0.95
            {
                self.out.back = Some((self.now - self.trial.death) as f64 / 1e6);
            }
            if self.now % S == 0 {
                self.out.course.push((self.now as f64 / 1e6, part));
            }
        }
    }

    fn demands(&mut self) {
        for node in &mut self.nodes {
            let much = self.rng.random::<f64>() < 0.1;
            node.demand = if much { 5 * UNITS } else { UNITS / 2 } + self.rng.random_range(0..UNITS / 5);
        }
    }

    fn havoc(&mut self) {
        let nodes = self.nodes.len();
        let k = self.rng.random_range(0..nodes);
        let long = self.rng.random_range(100 * MS..2 * self.trial.term);
        match self.rng.random_range(0..9) {
            0 => self.nodes[k].halted = self.now + long,
            1 | 2 => {
                // Killed, and back within its term more often than not; sometimes three times.
                self.nodes[k].seat = None;
                self.nodes[k].halted = 0;
                self.nodes[k].back = Some(self.now + long / 4);
            }
            3 => {
                let at = self.nodes[k].clock.at(self.now);
                if let Some(mut seat) = self.nodes[k].seat.take() {
                    seat.leave(at);
                    for say in seat.take_outgoing() {
                        self.say(To::Divider(say.to, k as u32), &say.message);
                    }
                    self.nodes[k].back = Some(self.now + long / 4);
                }
            }
            4 => {
                let d = self.rng.random_range(0..self.voters.len());
                self.voters[d].halted = self.now + long;
            }
            5 => {
                // A divider starts again with its disk: all it agreed on counts from now.
                let d = self.rng.random_range(0..self.voters.len());
                let now = self.voters[d].clock.at(self.now);
                let mut divider = Allocator::new(&format!("d{d}"), self.plan.clone(), self.rng.random());
                divider.restore(&self.voters[d].divider.state().snapshot(), now);
                self.voters[d].divider = divider;
                if self.leader == Some(d) {
                    self.leader = None;
                    self.election = self.now + self.rng.random_range(ELECTION.0..ELECTION.1);
                }
            }
            6 => self.cut = self.now + long,
            7 => {
                // All dividers lose their disks, and a fleet is founded anew. Who has an old proposal out doesn't know it.
                self.log.clear();
                self.proposals.clear();
                for (d, voter) in self.voters.iter_mut().enumerate() {
                    voter.divider = Allocator::new(&format!("d{d}"), self.plan.clone(), self.rng.random());
                    (voter.applied, voter.term) = (0, 0);
                }
                self.leader = None;
                self.election = self.now + self.rng.random_range(ELECTION.0..ELECTION.1);
            }
            _ => {
                // Another file: the dividers first, then the nodes.
                let whole = UNITS * u64::from(self.trial.nodes);
                self.plan.version += 1;
                self.plan.budgets[0].total = self.rng.random_range(whole / 2..whole);
                self.plan.budgets[0].reserve = self.rng.random_range(0..4);
                self.plan.budgets[1].reserve = self.rng.random_range(0..3);
                for v in &mut self.voters {
                    v.divider.set_plan(self.plan.clone());
                }
                for n in &mut self.nodes {
                    let at = n.clock.at(self.now);
                    let plan = self.plan.clone();
                    n.seat
                        .iter_mut()
                        .filter(|_| n.halted <= self.now)
                        .for_each(|s| s.replan(plan.clone(), at));
                }
            }
        }
    }

    fn run(mut self) -> Outcome {
        let mut next_havoc = 12 * S;
        while self.now < self.trial.end {
            if self.now % self.trial.every == 0 {
                self.demands();
            }
            if self.now == self.trial.death {
                let dying = (self.trial.dead * self.nodes.len() as f64).round() as usize;
                for node in self.nodes.iter_mut().rev().take(dying) {
                    node.seat = None;
                }
            }
            if self.trial.havoc && self.now >= next_havoc {
                next_havoc = self.now + self.rng.random_range(200 * MS..2 * S);
                self.havoc();
            }
            self.deliver();
            self.agreement();
            self.live();
            self.now += TICK;
        }
        let could = self.out.words;
        self.out.used /= could;
        self.out.fixed /= could;
        let per = self.nodes.len() as f64 * self.trial.end as f64 / 1e6;
        (self.out.words, self.out.bytes) = (self.said as f64 / per, self.bytes as f64 / per);
        self.out
    }
}

/// Run one.
pub fn run(trial: &Trial) -> Outcome {
    World::new(trial).run()
}

/// One kind of trial at one size, in the mean of its seeds.
#[derive(Clone, Debug)]
pub struct Row {
    /// Nodes.
    pub nodes: u32,
    /// Demands are drawn anew this often, if they are.
    pub every: Option<Micros>,
    /// The part that dies.
    pub dead: f64,
    /// The part of words that is lost.
    pub loss: f64,
    /// See [`Outcome`].
    pub used: f64,
    /// See [`Outcome`].
    pub fixed: f64,
    /// See [`Outcome`]; `None` where it did not come with some seed.
    pub back: Option<f64>,
    /// See [`Outcome`].
    pub words: f64,
    /// See [`Outcome`].
    pub bytes: f64,
    /// Moments at which more than the whole could have been used, with all seeds.
    pub over: u64,
    /// See [`Outcome`]; of the first seed.
    pub course: Vec<(f64, f64)>,
}

impl Row {
    /// What its columns are.
    pub const HEAD: &'static str =
        "| nodes | demand | dead | words lost | used of what could be | fixed parts | 95% used again after | words | bytes a node and second | over |";
}

impl std::fmt::Display for Row {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let demand = self.every.map_or("steady".into(), |e| format!("new each {} s", e / S));
        let back = self.back.map_or("not in all".into(), |b| format!("{b:.2} s"));
        write!(
            f,
            "| {} | {demand} | {:.0}% | {:.0}% | {:.3} | {:.3} | {back} | {:.1} | {:.0} | {} |",
            self.nodes,
            self.dead * 100.0,
            self.loss * 100.0,
            self.used,
            self.fixed,
            self.words,
            self.bytes,
            self.over
        )
    }
}

/// Trials at several sizes.
#[derive(Clone, Debug)]
pub struct Study {
    /// What they came to.
    pub rows: Vec<Row>,
}

/// Try each kind of trial at each size, with so many seeds.
pub fn study(sizes: &[u32], seeds: u64, term: Micros) -> Study {
    let kinds = [
        (None, 0.01, 0.0),
        (None, 0.1, 0.0),
        (None, 0.7, 0.0),
        (None, 0.7, 0.3),
        (Some(10 * S), 0.1, 0.0),
        (Some(10 * S), 0.1, 0.3),
    ];
    let all: Vec<(u32, Option<Micros>, f64, f64)> =
        sizes.iter().flat_map(|n| kinds.map(|(every, dead, loss)| (*n, every, dead, loss))).collect();
    let rows = all.par_iter().map(|(nodes, every, dead, loss)| {
        let trial = |seed| Trial {
            nodes: *nodes,
            term,
            every: every.unwrap_or(600 * S),
            dead: *dead,
            loss: *loss,
            seed,
            ..Trial::default()
        };
        let outs: Vec<Outcome> = (1..=seeds).map(|seed| run(&trial(seed))).collect();
        let mean = |of: fn(&Outcome) -> f64| outs.iter().map(of).sum::<f64>() / seeds as f64;
        let back: Option<Vec<f64>> = outs.iter().map(|o| o.back).collect();
        Row {
            nodes: *nodes,
            every: *every,
            dead: *dead,
            loss: *loss,
            used: mean(|o| o.used),
            fixed: mean(|o| o.fixed),
            back: back.map(|b| b.iter().sum::<f64>() / seeds as f64),
            words: mean(|o| o.words),
            bytes: mean(|o| o.bytes),
            over: outs.iter().map(|o| o.over + o.overrun).sum(),
            course: outs.first().map(|o| o.course.clone()).unwrap_or_default(),
        }
    });
    Study { rows: rows.collect() }
}

impl Study {
    /// The part used as time goes on, and what a node says by the size of its fleet.
    pub fn plots(&self) -> Vec<(&'static str, Plot)> {
        let name = |r: &Row| {
            let loss = if r.loss > 0.0 { ", three words in ten lost" } else { "" };
            format!("{} nodes, {:.0}% die{loss}", r.nodes, r.dead * 100.0)
        };
        let points = |r: &Row| r.course.iter().map(|(t, used)| (*t, *used, None)).collect();
        let course = |rows: Vec<&Row>| -> Vec<Series> {
            rows.into_iter().map(|r| Series { name: name(r), points: points(r) }).collect()
        };
        let steady = course(self.rows.iter().filter(|r| r.every.is_none() && r.dead >= 0.1).collect());
        let moving = course(self.rows.iter().filter(|r| r.every.is_some()).collect());
        let by_size = |title: &str, of: fn(&Row) -> f64| -> Series {
            let rows = self.rows.iter().filter(|r| r.every.is_none() && r.dead == 0.1);
            Series { name: title.into(), points: rows.map(|r| (f64::from(r.nodes), of(r), None)).collect() }
        };
        let part = |title: &str, series| Plot {
            title: title.into(),
            x: "seconds".into(),
            y: "part of what could be used".into(),
            y_range: Some((0.0, 1.05)),
            series,
            ..Plot::default()
        };
        let words = Plot {
            title: "what a node and its dividers say to each other".into(),
            x: "nodes".into(),
            y: "words a node and second".into(),
            log_x: true,
            series: vec![by_size("words", |r| r.words)],
            ..Plot::default()
        };
        vec![
            ("budgets-steady", part("steady uneven demand; nodes die at 35 s", steady)),
            ("budgets-moving", part("demand drawn anew every 10 s; a tenth dies at 35 s", moving)),
            ("budgets-words", words),
        ]
    }
}
