//! One divider: who asks for what, what the fleet is to agree on, and what is said once it has.
//!
//! All dividers hold the same [`Book`], since entries go into it in the one order in which the fleet agrees on them. The one
//! that leads hears nodes ask, divides, and proposes; its proposal names the numbers that it builds on, so that one which was
//! worked out before somebody else's changes nothing, however late it is agreed on.

use crate::allocation::{rebalance, Claim, MoveLimits};
use crate::config::{Budget, BudgetKind, Plan};
use crate::ledger::Ledger;
use crate::messages::{BudgetGrant, BudgetStatus, Message, PartStatus, Status};
use crate::{Grant, LeasePeriod, Micros, NodeId, NodeIncarnation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Proposals follow each other by this much at least where somebody is short.
const GAP: Micros = 20_000;
/// And by this much where grants are only renewed.
const CALM: Micros = 250_000;
/// Somebody who has more than its part is asked to hurry this often at most.
const HURRY: Micros = 200_000;
/// A part that would change by no more than this many hundredths stays as it is.
const BAND_PERCENT: u64 = 5;

/// What the fleet agrees on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Another file of the operator's is in force.
    Plan(Box<Plan>),
    /// A term has passed since the fleet was founded: no grant of an earlier one can hold any more, and this one gives its own
    /// from now on, by that number.
    Open(u32),
    /// All nodes go by that version or a newer one: the reserves of older ones are kept no longer.
    Settled(u64),
    /// Grants, and for each budget among them the number of the last one that they build on.
    Grants {
        /// Budgets, with the numbers of their last grants.
        base: BTreeMap<String, u64>,
        /// Budgets, with grants.
        grants: Vec<(String, Grant)>,
    },
}

/// All that was agreed on, less what has surely ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    plans: Vec<Plan>,
    epoch: Option<u32>,
    ledgers: BTreeMap<String, (u64, Vec<Grant>)>,
}

/// What the fleet has agreed on so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicatedState {
    /// The oldest of which something is still kept first; the last is in force.
    plans: Vec<Plan>,
    epoch: Option<u32>,
    /// When this divider first knew of a plan.
    founded: Option<Micros>,
    ledgers: BTreeMap<String, Ledger>,
}

impl ReplicatedState {
    /// The file in force.
    pub fn plan(&self) -> Option<&Plan> {
        self.plans.last()
    }

    /// Where the units of a budget are.
    pub fn ledger(&self, budget: &str) -> Option<&Ledger> {
        self.ledgers.get(budget)
    }

    /// An entry was agreed on; this divider knows of it now. Whether it changed anything.
    pub fn apply(&mut self, entry: &Entry, now: Micros) -> bool {
        match entry {
            Entry::Plan(plan) => {
                if self.plan().is_some_and(|p| p.version >= plan.version) {
                    return false;
                }
                self.founded.get_or_insert(now);
                self.plans.push((**plan).clone());
                self.resize();
            }
            Entry::Open(epoch) => {
                if self.epoch.is_some() {
                    return false;
                }
                self.epoch = Some(*epoch);
                self.resize();
            }
            Entry::Settled(version) => {
                let before = self.plans.len();
                let newest = self.plan().map_or(0, |p| p.version);
                self.plans.retain(|p| p.version >= (*version).min(newest));
                self.resize();
                return self.plans.len() < before;
            }
            Entry::Grants { base, grants } => {
                let last = |name: &str| self.ledgers.get(name).map(Ledger::last_number);
                if self.epoch.is_none() || base.iter().any(|(name, number)| last(name) != Some(*number)) {
                    return false;
                }
                for (name, grant) in grants {
                    self.ledgers.get_mut(name).into_iter().for_each(|l| l.record(*grant, now));
                }
            }
        }
        true
    }

    /// Bring wholes and reserves in line with the plans kept.
    fn resize(&mut self) {
        let Some(plan) = self.plans.last() else { return };
        let nodes = self.plans.iter().map(|p| p.nodes).max().unwrap_or(0);
        let names: BTreeSet<&str> =
            self.plans.iter().flat_map(|p| p.budgets.iter().map(|b| b.name.as_str())).collect();
        for name in names {
            let of = |p: &Plan| p.budgets.iter().find(|b| b.name == *name).cloned();
            let reserves = self.plans.iter().filter_map(of).map(|b| b.reserve).max().unwrap_or(0);
            let reserved = u64::from(nodes).saturating_mul(reserves);
            let now = of(plan);
            let total = now.as_ref().map_or(0, |b| b.total);
            let term = now.map(|b| plan.lease_period(&b)).or(self
                .plans
                .iter()
                .rev()
                .find_map(|p| Some(p.lease_period(&of(p)?))));
            let Some(term) = term else { continue };
            let new = || Ledger::new(total, reserved, term);
            let ledger = self.ledgers.entry(name.to_string()).or_insert_with(new);
            ledger.resize(total, reserved, term);
            ledger.set_epoch(self.epoch.unwrap_or(0));
        }
    }

    /// All that another divider needs to go on from here.
    pub fn snapshot(&self) -> StateSnapshot {
        let ledgers = self.ledgers.iter().map(|(name, l)| (name.clone(), l.snapshot())).collect();
        StateSnapshot { plans: self.plans.clone(), epoch: self.epoch, ledgers }
    }

    /// Go on from what another divider kept; all of it counts from now.
    pub fn restore(kept: &StateSnapshot, now: Micros) -> ReplicatedState {
        let founded = (!kept.plans.is_empty()).then_some(now);
        let mut state = ReplicatedState {
            plans: kept.plans.clone(),
            epoch: kept.epoch,
            founded,
            ledgers: BTreeMap::new(),
        };
        // One that only an older plan named is still counted.
        state.resize();
        for (name, kept) in &kept.ledgers {
            let term = LeasePeriod { length: 0, drift_ppm: 0, longest: 0 };
            let ledger = state.ledgers.entry(name.clone()).or_insert_with(|| Ledger::new(0, 0, term));
            ledger.restore(kept, now);
        }
        state
    }

    /// From when on grants of an earlier fleet can't hold any more.
    fn opens(&self) -> Option<Micros> {
        let longest =
            self.plans.iter().flat_map(|p| p.budgets.iter().map(|b| p.lease_period(b).for_allocator())).max();
        Some(self.founded? + longest?)
    }

    /// Grants that have surely ended are over.
    fn expire(&mut self, now: Micros) {
        self.ledgers.values_mut().for_each(|l| {
            l.expire(now);
        });
    }
}

/// What a life said of a budget, and what it was last granted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Claimed {
    demand: u64,
    used: u64,
    answers: u64,
    /// Its newest grant by this divider.
    granted: u64,
    /// It has asked, and has had no grant since.
    owed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Asker {
    received: Micros,
    plan: u64,
    claims: BTreeMap<String, Claimed>,
    hurried: Micros,
}

impl Asker {
    fn is_owed(&self) -> bool {
        self.claims.values().any(|c| c.owed)
    }

    fn is_short(&self) -> bool {
        self.claims.values().any(|c| c.demand > c.granted)
    }

    /// It is owed an answer, and short.
    fn is_pressed(&self) -> bool {
        self.is_owed() && self.is_short()
    }
}

/// Something to say to a life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// To whom.
    pub to: NodeIncarnation,
    /// What.
    pub message: Message,
}

/// One divider.
#[derive(Clone, Debug)]
pub struct Allocator {
    name: String,
    /// The operator's file as this divider has it.
    file: Plan,
    state: ReplicatedState,
    leads: bool,
    proposing: bool,
    askers: BTreeMap<NodeIncarnation, Asker>,
    proposed: Micros,
    /// The number of the fleet, should this one found it.
    epoch: u32,
    /// The newest version whose reserves had room beside all that was granted.
    covered: u64,
    /// Somebody who is short may be owed an answer: not sure before it is looked at, but surely not where this is false.
    pressed: bool,
}

impl Allocator {
    /// One of that name, with that file of the operator's; it leads nobody yet. `epoch` is drawn by chance.
    pub fn new(name: &str, file: Plan, epoch: u32) -> Allocator {
        Allocator {
            name: name.to_string(),
            file,
            state: ReplicatedState::default(),
            leads: false,
            proposing: false,
            askers: BTreeMap::new(),
            proposed: Micros::MIN / 2,
            epoch,
            covered: 0,
            pressed: false,
        }
    }

    /// What was agreed on.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// The operator's file has been read again.
    pub fn set_plan(&mut self, file: Plan) {
        self.file = file;
    }

    /// Go on from a snapshot.
    pub fn restore(&mut self, kept: &StateSnapshot, now: Micros) {
        self.state = ReplicatedState::restore(kept, now);
    }

    /// An entry was agreed on. Whether it changed anything.
    pub fn apply(&mut self, entry: &Entry, now: Micros) -> bool {
        self.state.apply(entry, now)
    }

    /// It leads from now on, and knows all that was agreed on; or it leads no more.
    pub fn set_leader(&mut self, leads: bool) {
        (self.leads, self.proposing) = (leads, false);
        self.askers.clear();
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        self.leads
    }

    /// A life that says nothing for that long is thought dead.
    fn silence(&self) -> Micros {
        self.state.plan().map_or(0, |p| p.term * 3 / 4)
    }

    /// A node has said something. Words are for the divider that leads: the others say who does.
    pub fn receive(&mut self, message: &Message, now: Micros) {
        if !self.leads {
            return;
        }
        match message {
            Message::Ask { holder, plan, claims } => {
                if self.state.plan().is_none_or(|p| p.name_of(holder.node).is_none()) {
                    return;
                }
                let asker = self.askers.entry(*holder).or_insert(Asker {
                    received: now,
                    plan: *plan,
                    claims: BTreeMap::new(),
                    hurried: Micros::MIN / 2,
                });
                (asker.received, asker.plan) = (now, *plan);
                let epoch = self.state.epoch;
                for c in claims {
                    let Some(ledger) = self.state.ledgers.get_mut(&c.budget) else { continue };
                    if Some(c.in_force.0) == epoch {
                        ledger.acknowledge(*holder, c.in_force.1);
                    }
                    let claimed = asker.claims.entry(c.budget.clone()).or_default();
                    // What was overtaken on the way tells nothing new.
                    if c.answers >= claimed.answers {
                        *claimed = Claimed {
                            demand: c.demand,
                            used: c.used,
                            answers: c.answers,
                            owed: true,
                            ..*claimed
                        };
                    }
                }
                self.pressed |= asker.is_pressed();
            }
            Message::Acknowledge { holder, grants } => {
                for (name, _, number) in grants.iter().filter(|b| Some(b.1) == self.state.epoch) {
                    self.state
                        .ledgers
                        .get_mut(name)
                        .into_iter()
                        .for_each(|l| l.acknowledge(*holder, *number));
                }
            }
            Message::Returns { holder, grants } => {
                for (name, epoch, number) in grants {
                    let same = Some(*epoch) == self.state.epoch;
                    self.state
                        .ledgers
                        .get_mut(name)
                        .filter(|_| same)
                        .into_iter()
                        .for_each(|l| l.release(*holder, *number));
                    // A holder that gives back sends no more askings for that life.
                    self.askers.get_mut(holder).into_iter().for_each(|a| {
                        a.claims.remove(name);
                    });
                }
                if self.askers.get(holder).is_some_and(|a| a.claims.is_empty()) {
                    self.askers.remove(holder);
                }
            }
            Message::Grants { .. } | Message::AskAgain { .. } | Message::NotLeader { .. } => {}
        }
    }

    /// A node is known to have left, or to be gone. It frees nothing.
    pub fn remove_node(&mut self, node: NodeId) {
        for holder in self.askers.keys().copied().filter(|l| l.node == node).collect::<Vec<_>>() {
            self.askers.remove(&holder);
            self.state.ledgers.values_mut().for_each(|l| l.suspect(holder, true));
        }
    }

    fn tidy(&mut self, now: Micros) {
        self.state.expire(now);
        let from = now - self.silence();
        self.askers.retain(|_, a| a.received >= from);
        for ledger in self.state.ledgers.values_mut() {
            for holder in ledger.holders().collect::<Vec<_>>() {
                ledger.suspect(holder, !self.askers.contains_key(&holder));
            }
        }
    }

    /// The part of each life that is heard of, by demand.
    fn parts(&self, budget: &Budget, now: Micros) -> BTreeMap<NodeIncarnation, u64> {
        let Some(ledger) = self.state.ledgers.get(&budget.name) else { return BTreeMap::new() };
        let who: Vec<(NodeIncarnation, Claimed)> =
            self.askers.iter().filter_map(|(l, a)| Some((*l, *a.claims.get(&budget.name)?))).collect();
        // A home is not shared by demand: its own node has it if it wants it, else who has it keeps it while it wants it. Nobody is lent it,
        // since who may have held it may have placed its keys.
        if let Some(BudgetKind::Home(home)) = BudgetKind::of(&budget.name) {
            let own = home.split_once('/').map(|(_, node)| NodeId::of(node));
            let rank = |l: &NodeIncarnation| (Some(l.node) != own, ledger.charge(*l) == 0, *l);
            let first = who.iter().filter(|(_, c)| c.demand > 0).map(|(l, _)| *l).min_by_key(rank);
            return who.into_iter().map(|(l, _)| (l, u64::from(Some(l) == first))).collect();
        }
        let claims: Vec<Claim> = who
            .iter()
            .map(|(holder, c)| Claim {
                // What its reserve covers it needs no grant for.
                demand: c.demand.saturating_sub(budget.reserve),
                floor: budget.floor,
                held: ledger.charge(*holder),
            })
            .collect();
        let total = ledger.divisible();
        let moves = MoveLimits { band_percent: BAND_PERCENT, most: (budget.total / 2).max(1) };
        // Single units go round from term to term.
        let turn = (now / self.state.plan().map_or(1, |p| p.term.max(1))).unsigned_abs();
        let parts = rebalance(total, &claims, turn, moves).or_else(|_| {
            // Much is in doubt: nobody has a floor then.
            let bare: Vec<Claim> = claims.iter().map(|c| Claim { floor: 0, ..*c }).collect();
            rebalance(total, &bare, turn, moves)
        });
        who.into_iter().map(|(holder, _)| holder).zip(parts.unwrap_or_default()).collect()
    }

    /// What the fleet should agree on now, if anything; one proposal at a time, see [`Allocator::settled`].
    pub fn propose(&mut self, now: Micros) -> Option<Entry> {
        if !self.leads || self.proposing || self.rests(now) {
            return None;
        }
        self.tidy(now);
        let entry = self.next_entry(now)?;
        (self.proposing, self.proposed) = (true, now);
        Some(entry)
    }

    /// Whether nothing is to be agreed on for now, whoever has fallen silent. Guards against going through all lives of all budgets at
    /// every look.
    fn rests(&self, now: Micros) -> bool {
        let newest = self.state.plan().map_or(0, |p| p.version);
        let settled =
            self.file.version <= newest && self.state.epoch.is_some() && self.state.plans.len() == 1;
        settled && now < self.proposed + if self.pressed { GAP } else { CALM }
    }

    fn next_entry(&mut self, now: Micros) -> Option<Entry> {
        let newest = self.state.plan().map_or(0, |p| p.version);
        if self.file.version > newest {
            return Some(Entry::Plan(Box::new(self.file.clone())));
        }
        if self.state.epoch.is_none() {
            return (now > self.state.opens()?).then_some(Entry::Open(self.epoch));
        }
        if self.state.plans.len() > 1 && self.all_go_by(newest) {
            return Some(Entry::Settled(newest));
        }
        self.pressed = self.askers.values().any(Asker::is_pressed);
        let gap = if self.pressed { GAP } else { CALM };
        if now < self.proposed + gap || !self.askers.values().any(|a| a.is_owed() || a.is_short()) {
            return None;
        }
        let (mut base, mut grants) = (BTreeMap::new(), Vec::new());
        for budget in self.state.plan()?.budgets.clone() {
            let parts = self.parts(&budget, now);
            let Some(mut ledger) = self.state.ledgers.get(&budget.name).cloned() else { continue };
            let before = ledger.last_number();
            // Who shrinks comes first, then who is owed an answer; whoever is short of its part may have more of an
            // earlier asking's.
            let mut order: Vec<NodeIncarnation> = parts.keys().copied().collect();
            let claimed = |l: &NodeIncarnation| self.askers[l].claims[&budget.name];
            order.sort_by_cached_key(|l| (parts[l] > ledger.charge(*l), !claimed(l).owed, *l));
            for holder in order {
                let (c, part) = (claimed(&holder), parts[&holder]);
                let grant = ledger.offer(holder, part, c.answers);
                // Nothing at all needs no grant, unless it takes the place of something.
                let outgoing_messages = grant.amount > 0 || ledger.charge(holder) > 0;
                if outgoing_messages && (c.owed || grant.amount > c.granted) {
                    ledger.record(grant, now);
                    grants.push((budget.name.clone(), grant));
                }
            }
            if ledger.last_number() > before {
                base.insert(budget.name.clone(), before);
            }
        }
        if grants.is_empty() {
            self.proposed = now;
            return None;
        }
        Some(Entry::Grants { base, grants })
    }

    /// Whether every node that is listed has said that it goes by that version, in all its lives that are heard of.
    fn all_go_by(&self, version: u64) -> bool {
        let Some(plan) = self.state.plan() else { return false };
        let lives =
            |node: NodeId| self.askers.iter().filter(move |(l, _)| l.node == node).map(|(_, a)| a.plan);
        plan.members.iter().all(|p| {
            let mut all = lives(NodeId::of(&p.name)).peekable();
            all.peek().is_some() && all.all(|v| v >= version)
        })
    }

    /// What was proposed has been agreed on, and changed something, or not. What is to be said now.
    pub fn complete_proposal(&mut self, entry: &Entry, agreed: bool, now: Micros) -> Vec<Outgoing> {
        self.proposing = false;
        let (Entry::Grants { grants, .. }, true, true) = (entry, agreed, self.leads) else {
            return Vec::new();
        };
        let mut notified: BTreeMap<NodeIncarnation, Vec<BudgetGrant>> = BTreeMap::new();
        for (name, grant) in grants {
            notified.entry(grant.holder).or_default().push(BudgetGrant::of(name, grant));
            let asker = self.askers.get_mut(&grant.holder);
            if let Some(c) = asker.and_then(|a| a.claims.get_mut(name)).filter(|c| c.answers == grant.answers)
            {
                (c.granted, c.owed) = (grant.amount, false);
            }
        }
        self.answers(notified, now)
    }

    /// Grants to their lives, a bare answer to who was owed one and had nothing granted, and a call to who has more than its part
    /// while others are short.
    fn answers(
        &mut self,
        mut notified: BTreeMap<NodeIncarnation, Vec<BudgetGrant>>,
        now: Micros,
    ) -> Vec<Outgoing> {
        let plan = self.covered();
        for (holder, asker) in &mut self.askers {
            let mut owed = false;
            for c in asker.claims.values_mut().filter(|c| c.owed) {
                (c.owed, c.granted, owed) = (false, 0, true);
            }
            if owed {
                notified.entry(*holder).or_default();
            }
        }
        let mut all: Vec<Outgoing> = notified
            .into_iter()
            .map(|(holder, grants)| Outgoing {
                to: holder,
                message: Message::Grants { holder, plan, grants },
            })
            .collect();
        for holder in self.has_too_much(now) {
            self.askers.get_mut(&holder).into_iter().for_each(|a| a.hurried = now);
            all.push(Outgoing { to: holder, message: Message::AskAgain { holder } });
        }
        all
    }

    /// The version that nodes are told of: a reserve may be used once it has room. One that has grown takes it from parts that were
    /// granted before, which are used until their holders go by smaller ones (found by mutants).
    fn covered(&mut self) -> u64 {
        let Some(plan) = self.state.plan() else { return 0 };
        let debt = |b: &Budget| self.state.ledgers.get(&b.name).map_or(0, |l| l.account().debt);
        if !plan.budgets.iter().any(|b| b.reserve > 0 && debt(b) > 0) {
            self.covered = plan.version;
        }
        self.covered
    }

    fn has_too_much(&self, now: Micros) -> BTreeSet<NodeIncarnation> {
        let mut found = BTreeSet::new();
        for budget in self.state.plan().map(|p| p.budgets.as_slice()).unwrap_or_default() {
            let Some(ledger) = self.state.ledgers.get(&budget.name) else { continue };
            let parts = self.parts(budget, now);
            let granted = |l: &NodeIncarnation| self.askers[l].claims[&budget.name].granted;
            if !parts.iter().any(|(l, p)| *p > granted(l)) {
                continue;
            }
            let much =
                |l: &NodeIncarnation, p: u64| ledger.charge(*l) > p && now >= self.askers[l].hurried + HURRY;
            found.extend(parts.iter().filter(|(l, p)| much(l, **p)).map(|(l, _)| *l));
        }
        found
    }

    /// Where everything is, for operators; `leader` is who leads by the agreement's word.
    pub fn status(&self, leader: Option<String>, now: Micros) -> Status {
        let plan = self.state.plan().cloned().unwrap_or_default();
        let budgets = plan.budgets.iter().filter_map(|b| self.budget_status(b, &plan, now)).collect();
        let kept = self.state.plans.iter().rev().skip(1).map(|p| p.version).collect();
        Status {
            allocator: self.name.clone(),
            leader,
            plan: plan.version,
            epoch: self.state.epoch,
            kept,
            budgets,
            members: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn budget_status(&self, b: &Budget, plan: &Plan, now: Micros) -> Option<BudgetStatus> {
        let ledger = self.state.ledgers.get(&b.name)?;
        let account = ledger.account();
        let claimed = |l: &NodeIncarnation| {
            self.askers.get(l).and_then(|a| a.claims.get(&b.name)).copied().unwrap_or_default()
        };
        let mut lives: BTreeSet<NodeIncarnation> = ledger.holders().collect();
        lives.extend(self.askers.iter().filter(|(_, a)| a.claims.contains_key(&b.name)).map(|(l, _)| *l));
        let parts: Vec<PartStatus> = lives
            .iter()
            .map(|l| PartStatus {
                node: plan.name_of(l.node).map_or_else(|| format!("?{}", l.node.0), str::to_string),
                incarnation: l.incarnation,
                amount: ledger.charge(*l),
                demand: claimed(l).demand,
                used: claimed(l).used,
                number: ledger.newest_number(*l),
                received: self.askers.get(l).map(|a| now - a.received),
                is_suspected: ledger.is_suspected(*l),
            })
            .collect();
        let beyond = |p: &PartStatus| if p.is_suspected { 0 } else { p.amount.saturating_sub(p.demand) };
        Some(BudgetStatus {
            name: b.name.clone(),
            total: account.total,
            reserved: account.reserved,
            granted: account.granted,
            surplus: parts.iter().map(beyond).sum(),
            withheld: account.withheld,
            free: account.free,
            debt: account.debt,
            used: parts.iter().map(|p| p.used).sum(),
            number: ledger.last_number(),
            parts,
        })
    }
}
