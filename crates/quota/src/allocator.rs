//! An allocator: it collects the claims of nodes, proposes grants to the replicated log, and answers once they are committed.
//!
//! All allocators apply the same log to a [`ReplicatedState`]. The leader receives claims, allocates shares and proposes
//! grants. A proposal names the last grant number of each budget that it is based on, so that an outdated proposal has no
//! effect even if it is committed.

use crate::allocation::{rebalance, Claim, MoveLimits};
use crate::config::{Budget, BudgetKind, Plan};
use crate::ledger::Ledger;
use crate::messages::{BudgetGrant, BudgetStatus, Message, PartStatus, Status};
use crate::{Grant, LeasePeriod, Micros, NodeId, NodeIncarnation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The shortest time between proposals while a node lacks units, in microseconds.
const MIN_PROPOSAL_INTERVAL: Micros = 20_000;
/// The shortest time between proposals that only renew grants, in microseconds.
const RENEWAL_INTERVAL: Micros = 250_000;
/// The shortest time between two [`Message::AskAgain`] to one node, in microseconds.
const ASK_AGAIN_INTERVAL: Micros = 200_000;
/// Shares that would change by at most this percentage are left unchanged.
const BAND_PERCENT: u64 = 5;
/// Most incarnations of a node whose requests are processed. A node has two while its process is replaced, and one more for each restart
/// shortly before.
const MAX_INCARNATIONS_PER_NODE: usize = 8;

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Puts a new version of the configuration in force.
    Plan(Box<Plan>),
    /// Starts granting with this epoch: since the log was initialized a lease term has passed, so all grants of earlier epochs
    /// have expired.
    Open(u32),
    /// All nodes use this version of the configuration or a newer one, so the reserves of older ones are no longer counted.
    Settled(u64),
    /// Grants, which take effect only if no other grants of the same budgets were committed since they were computed.
    Grants {
        /// For each budget the number of the last grant at the time of the proposal.
        base: BTreeMap<String, u64>,
        /// The names of budgets, each with a grant.
        grants: Vec<(String, Grant)>,
    },
}

/// A serializable snapshot of a [`ReplicatedState`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSnapshot {
    plans: Vec<Plan>,
    epoch: Option<u32>,
    ledgers: BTreeMap<String, (u64, Vec<Grant>)>,
}

/// The state that results from the replicated log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicatedState {
    /// The configuration in force comes last; older ones come first and are kept while their reserves are counted.
    plans: Vec<Plan>,
    epoch: Option<u32>,
    /// When this allocator applied the first configuration or restored a snapshot with one.
    first_plan_at: Option<Micros>,
    ledgers: BTreeMap<String, Ledger>,
}

impl ReplicatedState {
    /// Returns the configuration in force; `None` before the first one is committed.
    pub fn plan(&self) -> Option<&Plan> {
        self.plans.last()
    }

    /// Returns the ledger of a budget; `None` where no configuration has named it.
    pub fn ledger(&self, budget: &str) -> Option<&Ledger> {
        self.ledgers.get(budget)
    }

    /// Applies a committed entry and returns whether it changed anything. The terms of its grants count from `now`.
    pub fn apply(&mut self, entry: &Entry, now: Micros) -> bool {
        match entry {
            Entry::Plan(plan) => {
                if self.plan().is_some_and(|p| p.version >= plan.version) {
                    return false;
                }
                self.first_plan_at.get_or_insert(now);
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

    /// Updates the ledgers' totals, reserves and epochs from the configurations. A budget counts the greatest reserve of all of
    /// them.
    fn resize(&mut self) {
        let Some(plan) = self.plans.last() else { return };
        let nodes = self.plans.iter().map(|p| p.nodes).max().unwrap_or(0);
        let names: BTreeSet<&str> =
            self.plans.iter().flat_map(|p| p.budgets.iter().map(|b| b.name.as_str())).collect();
        for name in names {
            let budget_in = |p: &Plan| p.budgets.iter().find(|b| b.name == *name).cloned();
            let reserve = self.plans.iter().filter_map(budget_in).map(|b| b.reserve).max().unwrap_or(0);
            let reserved = u64::from(nodes).saturating_mul(reserve);
            let current_budget = budget_in(plan);
            let total = current_budget.as_ref().map_or(0, |b| b.total);
            let lease_period = current_budget.map(|b| plan.lease_period(&b)).or(self
                .plans
                .iter()
                .rev()
                .find_map(|p| Some(p.lease_period(&budget_in(p)?))));
            let Some(lease_period) = lease_period else { continue };
            let new = || Ledger::new(total, reserved, lease_period);
            let ledger = self.ledgers.entry(name.to_string()).or_insert_with(new);
            ledger.resize(total, reserved, lease_period);
            ledger.set_epoch(self.epoch.unwrap_or(0));
        }
    }

    /// Returns a snapshot for [`ReplicatedState::restore`].
    pub fn snapshot(&self) -> StateSnapshot {
        let ledgers = self.ledgers.iter().map(|(name, l)| (name.clone(), l.snapshot())).collect();
        StateSnapshot { plans: self.plans.clone(), epoch: self.epoch, ledgers }
    }

    /// Returns the state of a snapshot; the terms of all grants count from `now`.
    pub fn restore(snapshot: &StateSnapshot, now: Micros) -> ReplicatedState {
        let first_plan_at = (!snapshot.plans.is_empty()).then_some(now);
        let mut state = ReplicatedState {
            plans: snapshot.plans.clone(),
            epoch: snapshot.epoch,
            first_plan_at,
            ledgers: BTreeMap::new(),
        };
        // Budgets that no configuration names any more may still have outstanding grants.
        state.resize();
        for (name, snapshot) in &snapshot.ledgers {
            let lease_period = LeasePeriod { length: 0, drift_ppm: 0, longest: 0 };
            let ledger = state.ledgers.entry(name.clone()).or_insert_with(|| Ledger::new(0, 0, lease_period));
            ledger.restore(snapshot, now);
        }
        state
    }

    /// Returns the time by which all grants of earlier epochs have expired.
    fn grants_start_at(&self) -> Option<Micros> {
        let longest =
            self.plans.iter().flat_map(|p| p.budgets.iter().map(|b| p.lease_period(b).for_allocator())).max();
        Some(self.first_plan_at? + longest?)
    }

    /// Drops expired grants from all ledgers.
    fn expire(&mut self, now: Micros) {
        self.ledgers.values_mut().for_each(|l| {
            l.expire(now);
        });
    }
}

/// The last claim of a node incarnation to a budget, and its last grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ClaimState {
    demand: u64,
    used: u64,
    request_number: u64,
    /// The units of the newest grant since this allocator became the leader.
    granted: u64,
    /// Whether the last request has had no answer yet.
    unanswered: bool,
}

/// A node incarnation that sent requests recently.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Requester {
    /// When the last request arrived.
    received: Micros,
    /// The version of the configuration that the node uses.
    plan: u64,
    claims: BTreeMap<String, ClaimState>,
    asked_again_at: Micros,
}

impl Requester {
    fn is_unanswered(&self) -> bool {
        self.claims.values().any(|c| c.unanswered)
    }

    fn is_short(&self) -> bool {
        self.claims.values().any(|c| c.demand > c.granted)
    }

    /// Returns whether an answer is due to a node that lacks units.
    fn is_waiting(&self) -> bool {
        self.is_unanswered() && self.is_short()
    }
}

/// A message to a node incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The incarnation that receives the message.
    pub to: NodeIncarnation,
    /// The message to send.
    pub message: Message,
}

/// The decisions of one quota server.
#[derive(Clone, Debug)]
pub struct Allocator {
    name: String,
    /// The configuration that this allocator last read, which may not be committed yet.
    configured_plan: Plan,
    state: ReplicatedState,
    is_leader: bool,
    proposal_pending: bool,
    requesters: BTreeMap<NodeIncarnation, Requester>,
    proposed_at: Micros,
    /// The epoch to propose after the log was initialized.
    epoch: u32,
    /// The newest version of the configuration whose reserves fit into the totals beside all grants.
    covered_version: u64,
    /// Whether a requester may be waiting for an answer; `false` only if certainly none is.
    may_be_waiting: bool,
}

impl Allocator {
    /// Returns an allocator that is not the leader. `epoch` is a random number.
    pub fn new(name: &str, configured_plan: Plan, epoch: u32) -> Allocator {
        Allocator {
            name: name.to_string(),
            configured_plan,
            state: ReplicatedState::default(),
            is_leader: false,
            proposal_pending: false,
            requesters: BTreeMap::new(),
            proposed_at: Micros::MIN / 2,
            epoch,
            covered_version: 0,
            may_be_waiting: false,
        }
    }

    /// Returns the state that results from the replicated log.
    pub fn state(&self) -> &ReplicatedState {
        &self.state
    }

    /// Sets a configuration for the leader to propose; it is ignored unless its version is newer than the committed one.
    pub fn set_plan(&mut self, configured_plan: Plan) {
        self.configured_plan = configured_plan;
    }

    /// Replaces the state by a snapshot; the terms of all its grants count from `now`.
    pub fn restore(&mut self, snapshot: &StateSnapshot, now: Micros) {
        self.state = ReplicatedState::restore(snapshot, now);
    }

    /// Applies a committed entry to the replicated state and returns whether it changed anything. The terms of its grants
    /// count from `now`.
    pub fn apply(&mut self, entry: &Entry, now: Micros) -> bool {
        self.state.apply(entry, now)
    }

    /// Starts or ends leadership. A new leader must have applied all committed entries.
    pub fn set_leader(&mut self, is_leader: bool) {
        (self.is_leader, self.proposal_pending) = (is_leader, false);
        self.requesters.clear();
    }

    /// Returns whether this allocator is the leader.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Returns the time without a request after which a node incarnation is suspected, in microseconds.
    fn suspicion_timeout(&self) -> Micros {
        self.state.plan().map_or(0, |p| p.term * 3 / 4)
    }

    /// Returns whether a node incarnation has sent a request recently.
    pub fn is_requester(&self, holder: &NodeIncarnation) -> bool {
        self.requesters.contains_key(holder)
    }

    /// Returns whether the requests of a node incarnation are processed. Guards the other nodes against one that asks under ever new
    /// incarnations, each of which would take memory and a share.
    fn admits(&self, holder: NodeIncarnation) -> bool {
        let first = NodeIncarnation { incarnation: u64::MIN, ..holder };
        let last = NodeIncarnation { incarnation: u64::MAX, ..holder };
        self.is_requester(&holder) || self.requesters.range(first..=last).count() < MAX_INCARNATIONS_PER_NODE
    }

    /// Processes a message of a node; ignored unless this allocator is the leader.
    pub fn receive(&mut self, message: &Message, now: Micros) {
        if !self.is_leader {
            return;
        }
        match message {
            Message::Ask { holder, plan, claims } => {
                if self.state.plan().is_none_or(|p| p.name_of(holder.node).is_none()) {
                    return;
                }
                if !self.admits(*holder) {
                    return;
                }
                let requester = self.requesters.entry(*holder).or_insert(Requester {
                    received: now,
                    plan: *plan,
                    claims: BTreeMap::new(),
                    asked_again_at: Micros::MIN / 2,
                });
                (requester.received, requester.plan) = (now, *plan);
                let epoch = self.state.epoch;
                for c in claims {
                    let Some(ledger) = self.state.ledgers.get_mut(&c.budget) else { continue };
                    if Some(c.in_force.0) == epoch {
                        ledger.acknowledge(*holder, c.in_force.1);
                    }
                    let claim_state = requester.claims.entry(c.budget.clone()).or_default();
                    // A request that was overtaken by a later one is outdated.
                    if c.request_number >= claim_state.request_number {
                        *claim_state = ClaimState {
                            demand: c.demand,
                            used: c.used,
                            request_number: c.request_number,
                            unanswered: true,
                            ..*claim_state
                        };
                    }
                }
                self.may_be_waiting |= requester.is_waiting();
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
                    // An incarnation that has released a budget sends no more claims for it.
                    self.requesters.get_mut(holder).into_iter().for_each(|a| {
                        a.claims.remove(name);
                    });
                }
                if self.requesters.get(holder).is_some_and(|a| a.claims.is_empty()) {
                    self.requesters.remove(holder);
                }
            }
            Message::Grants { .. } | Message::AskAgain { .. } | Message::NotLeader { .. } => {}
        }
    }

    /// Suspects all incarnations of a node that has left or is dead. Their grants stay charged until they expire.
    pub fn remove_node(&mut self, node: NodeId) {
        for holder in self.requesters.keys().copied().filter(|holder| holder.node == node).collect::<Vec<_>>()
        {
            self.requesters.remove(&holder);
            self.state.ledgers.values_mut().for_each(|l| l.suspect(holder, true));
        }
    }

    /// Drops expired grants and requesters that sent nothing recently, and suspects holders that are not requesters.
    fn update_suspicions(&mut self, now: Micros) {
        self.state.expire(now);
        let from = now - self.suspicion_timeout();
        self.requesters.retain(|_, requester| requester.received >= from);
        for ledger in self.state.ledgers.values_mut() {
            for holder in ledger.holders().collect::<Vec<_>>() {
                ledger.suspect(holder, !self.requesters.contains_key(&holder));
            }
        }
    }

    /// Returns the share of each requester of a budget.
    fn shares(&self, budget: &Budget, now: Micros) -> BTreeMap<NodeIncarnation, u64> {
        let Some(ledger) = self.state.ledgers.get(&budget.name) else { return BTreeMap::new() };
        let claimants: Vec<(NodeIncarnation, ClaimState)> = self
            .requesters
            .iter()
            .filter_map(|(holder, requester)| Some((*holder, *requester.claims.get(&budget.name)?)))
            .collect();
        // The lease of a key range isn't divided by demand: the range's own node comes first, then the current holder. Nodes that
        // don't ask for it get nothing, since a node that may have held it may also have placed its keys.
        if let Some(BudgetKind::Home(home)) = BudgetKind::of(&budget.name) {
            let own = home.split_once('/').map(|(_, node)| NodeId::of(node));
            let rank = |holder: &NodeIncarnation| {
                (Some(holder.node) != own, ledger.charged_units(*holder) == 0, *holder)
            };
            let first =
                claimants.iter().filter(|(_, c)| c.demand > 0).map(|(holder, _)| *holder).min_by_key(rank);
            return claimants
                .into_iter()
                .map(|(holder, _)| (holder, u64::from(Some(holder) == first)))
                .collect();
        }
        let claims: Vec<Claim> = claimants
            .iter()
            .map(|(holder, c)| Claim {
                // Demand that the reserve covers needs no grant.
                demand: c.demand.saturating_sub(budget.reserve),
                floor: budget.floor,
                held: ledger.charged_units(*holder),
            })
            .collect();
        let total = ledger.divisible();
        let limits = MoveLimits { band_percent: BAND_PERCENT, max_taken: (budget.total / 2).max(1) };
        // Units that don't divide evenly go to other holders in each term.
        let rotation = (now / self.state.plan().map_or(1, |p| p.term.max(1))).unsigned_abs();
        let shares = rebalance(total, &claims, rotation, limits).or_else(|_| {
            // So much is withheld for suspected holders that the floors don't fit: allocate without floors.
            let without_floors: Vec<Claim> = claims.iter().map(|c| Claim { floor: 0, ..*c }).collect();
            rebalance(total, &without_floors, rotation, limits)
        });
        claimants.into_iter().map(|(holder, _)| holder).zip(shares.unwrap_or_default()).collect()
    }

    /// Returns the next entry to append to the replicated log, if any. The next one follows only after
    /// [`Allocator::complete_proposal`].
    pub fn propose(&mut self, now: Micros) -> Option<Entry> {
        if !self.is_leader || self.proposal_pending || self.is_idle(now) {
            return None;
        }
        self.update_suspicions(now);
        let entry = self.next_entry(now)?;
        (self.proposal_pending, self.proposed_at) = (true, now);
        Some(entry)
    }

    /// Returns whether no proposal can be due yet. Guards against iterating over all holders of all budgets on each call.
    fn is_idle(&self, now: Micros) -> bool {
        let newest = self.state.plan().map_or(0, |p| p.version);
        let is_settled = self.configured_plan.version <= newest
            && self.state.epoch.is_some()
            && self.state.plans.len() == 1;
        is_settled
            && now
                < self.proposed_at
                    + if self.may_be_waiting { MIN_PROPOSAL_INTERVAL } else { RENEWAL_INTERVAL }
    }

    fn next_entry(&mut self, now: Micros) -> Option<Entry> {
        let newest = self.state.plan().map_or(0, |p| p.version);
        if self.configured_plan.version > newest {
            return Some(Entry::Plan(Box::new(self.configured_plan.clone())));
        }
        if self.state.epoch.is_none() {
            return (now > self.state.grants_start_at()?).then_some(Entry::Open(self.epoch));
        }
        if self.state.plans.len() > 1 && self.all_use_version(newest) {
            return Some(Entry::Settled(newest));
        }
        self.may_be_waiting = self.requesters.values().any(Requester::is_waiting);
        let interval = if self.may_be_waiting { MIN_PROPOSAL_INTERVAL } else { RENEWAL_INTERVAL };
        if now < self.proposed_at + interval
            || !self.requesters.values().any(|requester| requester.is_unanswered() || requester.is_short())
        {
            return None;
        }
        let (mut base, mut grants) = (BTreeMap::new(), Vec::new());
        for budget in self.state.plan()?.budgets.clone() {
            let shares = self.shares(&budget, now);
            let Some(mut ledger) = self.state.ledgers.get(&budget.name).cloned() else { continue };
            let before = ledger.last_number();
            // Shares that shrink come first, then unanswered requests. A holder below its share may get more for a request that
            // was answered before.
            let mut order: Vec<NodeIncarnation> = shares.keys().copied().collect();
            let claim_of = |holder: &NodeIncarnation| self.requesters[holder].claims[&budget.name];
            order.sort_by_cached_key(|holder| {
                (shares[holder] > ledger.charged_units(*holder), !claim_of(holder).unanswered, *holder)
            });
            for holder in order {
                let (c, share) = (claim_of(&holder), shares[&holder]);
                let grant = ledger.offer(holder, share, c.request_number);
                // A grant of 0 units is needed only to replace an earlier grant.
                let is_needed = grant.amount > 0 || ledger.charged_units(holder) > 0;
                if is_needed && (c.unanswered || grant.amount > c.granted) {
                    ledger.record(grant, now);
                    grants.push((budget.name.clone(), grant));
                }
            }
            if ledger.last_number() > before {
                base.insert(budget.name.clone(), before);
            }
        }
        if grants.is_empty() {
            self.proposed_at = now;
            return None;
        }
        Some(Entry::Grants { base, grants })
    }

    /// Returns whether every listed node has sent requests, and all its incarnations use this version of the configuration or a
    /// newer one.
    fn all_use_version(&self, version: u64) -> bool {
        let Some(plan) = self.state.plan() else { return false };
        let versions = |node: NodeId| {
            self.requesters
                .iter()
                .filter(move |(holder, _)| holder.node == node)
                .map(|(_, requester)| requester.plan)
        };
        plan.members.iter().all(|p| {
            let mut all = versions(NodeId::of(&p.name)).peekable();
            all.peek().is_some() && all.all(|v| v >= version)
        })
    }

    /// Ends a proposal and returns the messages to send. `changed` is whether the entry was committed and changed the
    /// state.
    pub fn complete_proposal(&mut self, entry: &Entry, changed: bool, now: Micros) -> Vec<Outgoing> {
        self.proposal_pending = false;
        let (Entry::Grants { grants, .. }, true, true) = (entry, changed, self.is_leader) else {
            return Vec::new();
        };
        let mut grants_by_holder: BTreeMap<NodeIncarnation, Vec<BudgetGrant>> = BTreeMap::new();
        for (name, grant) in grants {
            grants_by_holder.entry(grant.holder).or_default().push(BudgetGrant::of(name, grant));
            let requester = self.requesters.get_mut(&grant.holder);
            if let Some(c) = requester
                .and_then(|requester| requester.claims.get_mut(name))
                .filter(|c| c.request_number == grant.answers)
            {
                (c.granted, c.unanswered) = (grant.amount, false);
            }
        }
        self.build_answers(grants_by_holder, now)
    }

    /// Returns the messages that deliver grants, answers without grants to all other unanswered requests, and requests to ask
    /// again for holders that have more than their share while others lack units.
    fn build_answers(
        &mut self,
        mut grants_by_holder: BTreeMap<NodeIncarnation, Vec<BudgetGrant>>,
        now: Micros,
    ) -> Vec<Outgoing> {
        let plan = self.update_covered_version();
        for (holder, requester) in &mut self.requesters {
            let mut unanswered = false;
            for c in requester.claims.values_mut().filter(|c| c.unanswered) {
                (c.unanswered, c.granted, unanswered) = (false, 0, true);
            }
            if unanswered {
                grants_by_holder.entry(*holder).or_default();
            }
        }
        let mut all: Vec<Outgoing> = grants_by_holder
            .into_iter()
            .map(|(holder, grants)| Outgoing {
                to: holder,
                message: Message::Grants { holder, plan, grants },
            })
            .collect();
        for holder in self.holders_above_share(now) {
            self.requesters.get_mut(&holder).into_iter().for_each(|requester| requester.asked_again_at = now);
            all.push(Outgoing { to: holder, message: Message::AskAgain { holder } });
        }
        all
    }

    /// Updates and returns the version of the configuration whose reserves nodes may use. Reserves that were raised may be used
    /// only after earlier grants have shrunk so far that the reserves fit into the totals.
    fn update_covered_version(&mut self) -> u64 {
        let Some(plan) = self.state.plan() else { return 0 };
        let debt = |b: &Budget| self.state.ledgers.get(&b.name).map_or(0, |l| l.account().debt);
        if !plan.budgets.iter().any(|b| b.reserve > 0 && debt(b) > 0) {
            self.covered_version = plan.version;
        }
        self.covered_version
    }

    /// Returns the holders that have more than their share of a budget of which others lack units.
    fn holders_above_share(&self, now: Micros) -> BTreeSet<NodeIncarnation> {
        let mut found = BTreeSet::new();
        for budget in self.state.plan().map(|plan| plan.budgets.as_slice()).unwrap_or_default() {
            let Some(ledger) = self.state.ledgers.get(&budget.name) else { continue };
            let shares = self.shares(budget, now);
            let granted = |holder: &NodeIncarnation| self.requesters[holder].claims[&budget.name].granted;
            if !shares.iter().any(|(holder, share)| *share > granted(holder)) {
                continue;
            }
            let is_above_share = |holder: &NodeIncarnation, share: u64| {
                ledger.charged_units(*holder) > share
                    && now >= self.requesters[holder].asked_again_at + ASK_AGAIN_INTERVAL
            };
            found.extend(
                shares
                    .iter()
                    .filter(|(holder, share)| is_above_share(holder, **share))
                    .map(|(holder, _)| *holder),
            );
        }
        found
    }

    /// Returns the status for operators; `leader` is the leader's name, if the replicated log knows one.
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

    fn budget_status(&self, budget: &Budget, plan: &Plan, now: Micros) -> Option<BudgetStatus> {
        let ledger = self.state.ledgers.get(&budget.name)?;
        let account = ledger.account();
        let claim_of = |holder: &NodeIncarnation| {
            self.requesters
                .get(holder)
                .and_then(|requester| requester.claims.get(&budget.name))
                .copied()
                .unwrap_or_default()
        };
        let mut holders: BTreeSet<NodeIncarnation> = ledger.holders().collect();
        holders.extend(
            self.requesters
                .iter()
                .filter(|(_, requester)| requester.claims.contains_key(&budget.name))
                .map(|(holder, _)| *holder),
        );
        let parts: Vec<PartStatus> = holders
            .iter()
            .map(|holder| PartStatus {
                node: plan.name_of(holder.node).map_or_else(|| format!("?{}", holder.node.0), str::to_string),
                incarnation: holder.incarnation,
                amount: ledger.charged_units(*holder),
                demand: claim_of(holder).demand,
                used: claim_of(holder).used,
                number: ledger.newest_number(*holder),
                received: self.requesters.get(holder).map(|requester| now - requester.received),
                is_suspected: ledger.is_suspected(*holder),
            })
            .collect();
        let surplus_of = |share: &PartStatus| {
            if share.is_suspected {
                0
            } else {
                share.amount.saturating_sub(share.demand)
            }
        };
        Some(BudgetStatus {
            name: budget.name.clone(),
            total: account.total,
            reserved: account.reserved,
            granted: account.granted,
            surplus: parts.iter().map(surplus_of).sum(),
            withheld: account.withheld,
            free: account.free,
            debt: account.debt,
            used: parts.iter().map(|share| share.used).sum(),
            number: ledger.last_number(),
            parts,
        })
    }
}
