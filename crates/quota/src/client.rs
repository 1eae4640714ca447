//! A node's client of the quota servers: its requests, its leases and its demand for each budget.

use crate::config::{Budget, BudgetKind, Per, Plan};
use crate::lease::Holder;
use crate::messages::{BudgetClaim, Message};
use crate::{Grant, LeasePeriod, Micros, NodeIncarnation};
use std::collections::BTreeMap;

/// The number of requests per lease term.
const REQUESTS_PER_TERM: Micros = 4;
/// The shortest time between requests, in microseconds.
const MIN_REQUEST_INTERVAL: Micros = 100_000;
/// The time after which an unanswered request is repeated to the next allocator, in microseconds.
const ANSWER_TIMEOUT: Micros = 300_000;
/// The most redirects between allocators that a request follows.
const MAX_REDIRECTS: u32 = 2;
/// The time constant of the exponential moving average of the demand, in microseconds.
const DEMAND_TIME_CONSTANT: Micros = 1_500_000;

/// A node's use of a budget since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The units wanted; for budgets of concurrent use the most at any time.
    pub wanted: u64,
    /// The units used; for budgets of concurrent use those in use now.
    pub used: u64,
}

/// A message to an allocator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The index of the allocator in the configuration.
    pub to: usize,
    /// The message to send.
    pub message: Message,
}

/// A node's lease on one budget and its use.
#[derive(Clone, Debug)]
struct HeldBudget {
    budget: Budget,
    holder: Holder,
    /// The use since the last request.
    since: Usage,
    /// The demand in the last request, in units.
    reported: u64,
    /// The moving average of the wanted units, per second or at once.
    mean: f64,
    /// The epoch and the number of the last grant that the use has not exceeded.
    settled: (u32, u64),
    /// Whether the grant became smaller and this was not acknowledged yet.
    has_shrunk: bool,
    /// Whether the node ever demanded units.
    was_wanted: bool,
}

impl HeldBudget {
    /// Returns the epoch and the number of the grant in force once the use no longer exceeds it; `None` if they were returned
    /// before.
    fn settle(&mut self, now: Micros) -> Option<(u32, u64)> {
        let debt = match self.budget.per {
            Per::Second { .. } => 0,
            Per::Moment { .. } => self.holder.debt(self.since.used, now),
        };
        let number = self.holder.in_force();
        let is_newly_settled = debt == 0 && number != self.settled;
        self.settled = if is_newly_settled { number } else { self.settled };
        is_newly_settled.then_some(number)
    }

    /// Returns the updated average of the wanted units and the demand to request, `span` microseconds after the last request.
    /// The demand is the average rounded up, without a margin: unused units are distributed among the nodes anyway. After a
    /// jump up or down the average restarts from the new value.
    fn demand(&self, span: Micros) -> (f64, u64) {
        // A key range is wanted or not; an average would delay its return to its own node by seconds.
        if matches!(BudgetKind::of(&self.budget.name), Some(BudgetKind::Home(_))) {
            return (0.0, self.since.wanted);
        }
        let span = span.max(MIN_REQUEST_INTERVAL) as f64;
        let wanted = match self.budget.per {
            Per::Second { .. } => self.since.wanted as f64 * 1e6 / span,
            Per::Moment { .. } => self.since.wanted as f64,
        };
        // A key range is wanted or not.
        if self.is_key_range() {
            return (wanted, u64::from(wanted > 0.0));
        }
        let mean = self.mean + (1.0 - (-span / DEMAND_TIME_CONSTANT as f64).exp()) * (wanted - self.mean);
        let has_jumped = wanted > 1.5 * self.mean + 3.0 || wanted < self.mean / 1.5 - 3.0;
        let mean = if has_jumped { wanted } else { mean };
        // An average that has decayed to almost zero counts as zero.
        (mean, if mean < 0.05 { 0 } else { mean.ceil() as u64 })
    }

    fn is_key_range(&self) -> bool {
        matches!(BudgetKind::of(&self.budget.name), Some(BudgetKind::Home(_)))
    }

    /// Releases the lease and returns what to report as released, unless units are in use.
    fn release(&mut self) -> Option<(String, u32, u64)> {
        let (epoch, number) = self.holder.release();
        let is_in_use = matches!(self.budget.per, Per::Moment { .. }) && self.since.used > 0;
        (number > 0 && !is_in_use).then(|| (self.budget.name.clone(), epoch, number))
    }
}

/// The client of one incarnation of a node.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    incarnation: NodeIncarnation,
    plan: Plan,
    held: BTreeMap<String, HeldBudget>,
    /// Budgets that were removed from the configuration. One that is added again continues its request numbers, so that a
    /// delayed answer does not match a new request.
    removed: BTreeMap<String, HeldBudget>,
    started_at: Micros,
    /// Whether this process owns the node's address and with it the reserves.
    owns_address: bool,
    /// The latest version of the configuration that an allocator reported.
    committed_version: Option<u64>,
    allocator: usize,
    /// When the last request was sent.
    asked_at: Option<Micros>,
    answered: bool,
    ask_now: bool,
    /// The redirects that the last request has followed.
    redirects: u32,
    has_left: bool,
    outgoing: Vec<Outgoing>,
}

impl QuotaClient {
    /// Returns a client of a process that starts now. It asks the allocator with index `first`, modulo their number, first.
    pub fn new(incarnation: NodeIncarnation, plan: Plan, first: usize, now: Micros) -> QuotaClient {
        let allocator = first % plan.allocators.len().max(1);
        let mut quota_client = QuotaClient {
            incarnation,
            plan: Plan::default(),
            held: BTreeMap::new(),
            removed: BTreeMap::new(),
            started_at: now,
            owns_address: false,
            committed_version: None,
            allocator,
            asked_at: None,
            answered: false,
            ask_now: true,
            redirects: 0,
            has_left: false,
            outgoing: Vec::new(),
        };
        quota_client.replan(plan, now);
        quota_client
    }

    /// Returns the incarnation of the node that the client asks for.
    pub fn incarnation(&self) -> NodeIncarnation {
        self.incarnation
    }

    /// Returns the configuration in use.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Replaces the configuration. Leases on budgets that it still has continue; those on others are released.
    pub fn replan(&mut self, plan: Plan, now: Micros) {
        let removed: Vec<String> =
            self.held.keys().filter(|n| plan.budgets.iter().all(|b| b.name != **n)).cloned().collect();
        let mut grants = Vec::new();
        for (name, mut held) in removed.into_iter().filter_map(|name| self.held.remove_entry(&name)) {
            grants.extend(held.release());
            (held.mean, held.reported, held.has_shrunk, held.since.wanted) = (0.0, 0, false, 0);
            self.removed.insert(name, held);
        }
        if !grants.is_empty() {
            self.send(Message::Returns { holder: self.incarnation, grants });
        }
        for budget in &plan.budgets {
            let lease_period = plan.lease_period(budget);
            let new = || HeldBudget {
                budget: budget.clone(),
                holder: Holder::new(self.incarnation, 0, lease_period),
                since: Usage::default(),
                reported: 0,
                mean: 0.0,
                settled: (0, 0),
                has_shrunk: false,
                was_wanted: false,
            };
            let before = self.removed.remove(&budget.name);
            self.held.entry(budget.name.clone()).or_insert_with(|| before.unwrap_or_else(new));
        }
        self.allocator %= plan.allocators.len().max(1);
        let before = std::mem::replace(&mut self.plan, plan);
        for held in self.held.values_mut() {
            let Some(budget) = self.plan.budgets.iter().find(|b| b.name == held.budget.name) else {
                continue;
            };
            // Until the allocators count the new reserve, the smaller of the two is used.
            let reserve_is_counted =
                self.committed_version.is_none_or(|v| v >= self.plan.version) || before.version == 0;
            let reserve =
                if reserve_is_counted { budget.reserve } else { budget.reserve.min(held.budget.reserve) };
            held.budget = Budget { reserve, ..budget.clone() };
        }
        self.ask_now = true;
        self.update_reserves(now);
    }

    /// Sets whether this process owns the node's address; only its owner may use the reserves.
    pub fn set_owns_address(&mut self, owns_address: bool, now: Micros) {
        self.owns_address = owns_address;
        self.update_reserves(now);
    }

    /// Updates which reserves may be used: only by the process that owns the node's address, and only once the allocators
    /// count the reserve of its configuration. Reserves of concurrent use also wait until the jobs of earlier incarnations have
    /// ended.
    fn update_reserves(&mut self, now: Micros) {
        let reserve_is_counted = self.committed_version.is_none_or(|v| v >= self.plan.version);
        for held in self.held.values_mut() {
            let earlier_use_ended_at = match held.budget.per {
                Per::Second { .. } => self.started_at,
                Per::Moment { .. } => {
                    self.started_at + self.plan.lease_period(&held.budget).for_allocator() - self.plan.term
                }
            };
            let usable =
                self.owns_address && reserve_is_counted && now >= earlier_use_ended_at && !self.has_left;
            held.holder.set_reserve(if usable { held.budget.reserve } else { 0 });
        }
    }

    fn send(&mut self, message: Message) {
        let to = self.allocator;
        self.outgoing.push(Outgoing { to, message });
    }

    /// Takes the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Adds to the recorded use of a budget; ignored for a budget that is not configured.
    pub fn record_usage(&mut self, budget: &str, usage: Usage) {
        let Some(held) = self.held.get_mut(budget) else { return };
        let since = &mut held.since;
        match held.budget.per {
            Per::Second { .. } => {
                since.wanted += usage.wanted;
                since.used += usage.used;
            }
            Per::Moment { .. } => {
                since.wanted = since.wanted.max(usage.wanted);
                since.used = usage.used;
            }
        }
    }

    /// Returns the units of a budget that may be used now; `None` for a budget that is not configured.
    pub fn usable(&self, budget: &str, now: Micros) -> Option<u64> {
        Some(self.held.get(budget)?.holder.usable(now))
    }

    /// Returns whether a grant of the budget is in force.
    pub fn is_granted(&self, budget: &str, now: Micros) -> bool {
        self.held.get(budget).is_some_and(|h| h.holder.grant(now).is_some())
    }

    /// Returns the grant of a budget in force and the time of its request by this node's clock, from which its term counts.
    pub fn lease(&self, budget: &str, now: Micros) -> Option<(Grant, Micros)> {
        let held = self.held.get(budget)?;
        let grant = held.holder.grant(now)?;
        let length =
            LeasePeriod { length: grant.length, ..self.plan.lease_period(&held.budget) }.for_holder();
        Some((grant, held.holder.expires_at()? - length))
    }

    /// Returns all budgets with the units that may be used now.
    pub fn all_usable(&self, now: Micros) -> Vec<(&Budget, u64)> {
        self.held.values().map(|h| (&h.budget, h.holder.usable(now))).collect()
    }

    fn request_interval(&self) -> Micros {
        (self.plan.term / REQUESTS_PER_TERM).max(MIN_REQUEST_INTERVAL)
    }

    /// Returns whether the demand for a budget is well above the usable units and the last reported demand.
    fn is_short(&self, now: Micros) -> bool {
        let span = self.asked_at.map_or(MIN_REQUEST_INTERVAL, |at| now - at);
        let threshold = |reported: u64| reported.saturating_add(reported / 8 + 2);
        self.held.values().any(|h| h.demand(span).1 > threshold(h.holder.usable(now).max(h.reported)))
    }

    /// Advances the client to `now`: updates leases and sends a request if one is due.
    pub fn pass(&mut self, now: Micros) {
        self.update_reserves(now);
        self.settle(now);
        if self.has_left || self.plan.allocators.is_empty() {
            return;
        }
        let is_due = match self.asked_at {
            None => true,
            Some(_) if (1..=MAX_REDIRECTS).contains(&self.redirects) && self.ask_now => true,
            Some(at) if now < at + MIN_REQUEST_INTERVAL => false,
            Some(at) if !self.answered && now >= at + ANSWER_TIMEOUT => {
                self.allocator = (self.allocator + 1) % self.plan.allocators.len();
                self.redirects = 0;
                true
            }
            Some(at) => self.ask_now || now >= at + self.request_interval() || self.is_short(now),
        };
        if is_due {
            self.ask(now);
        }
    }

    /// Acknowledges grants that have become smaller as soon as the use no longer exceeds them, so that the difference can be
    /// granted to others.
    fn settle(&mut self, now: Micros) {
        let mut grants = Vec::new();
        for (name, held) in &mut self.held {
            let Some((epoch, number)) = held.settle(now) else { continue };
            if std::mem::take(&mut held.has_shrunk) {
                grants.push((name.clone(), epoch, number));
            }
        }
        if !grants.is_empty() {
            self.send(Message::Acknowledge { holder: self.incarnation, grants });
        }
    }

    fn ask(&mut self, now: Micros) {
        let span = self.asked_at.map_or(MIN_REQUEST_INTERVAL, |at| now - at);
        let mut claims = Vec::new();
        for (name, held) in &mut self.held {
            (held.mean, held.reported) = held.demand(span);
            held.was_wanted |= held.reported > 0;
            // There is a key range for each node: claims to all of them would fill the datagram.
            if !held.was_wanted && held.is_key_range() {
                continue;
            }
            let used = match held.budget.per {
                Per::Second { .. } => held.since.used * 1_000_000 / span.max(MIN_REQUEST_INTERVAL) as u64,
                Per::Moment { .. } => held.since.used,
            };
            claims.push(BudgetClaim {
                budget: name.clone(),
                request_number: held.holder.ask(now),
                demand: held.reported,
                used,
                in_force: held.settled,
            });
            held.since = Usage { wanted: 0, used: held.since.used };
            if matches!(held.budget.per, Per::Second { .. }) {
                held.since.used = 0;
            }
        }
        (self.asked_at, self.answered, self.ask_now) = (Some(now), false, false);
        self.send(Message::Ask { holder: self.incarnation, plan: self.plan.version, claims });
    }

    /// Processes a message of the allocator with index `from` and returns whether the usable units may have changed.
    pub fn receive(&mut self, from: usize, message: &Message, now: Micros) -> bool {
        match message {
            Message::Grants { holder, plan, grants } if *holder == self.incarnation && !self.has_left => {
                (self.answered, self.allocator, self.redirects) = (true, from, 0);
                self.committed_version = Some(self.committed_version.map_or(*plan, |v| v.max(*plan)));
                if *plan >= self.plan.version {
                    for held in self.held.values_mut() {
                        let reserve = self.plan.budgets.iter().find(|b| b.name == held.budget.name);
                        reserve.into_iter().for_each(|b| held.budget.reserve = b.reserve);
                    }
                }
                self.update_reserves(now);
                for g in grants {
                    let Some(held) = self.held.get_mut(&g.budget) else { continue };
                    let before = held.holder.grant(now).map_or(0, |g| g.amount);
                    held.has_shrunk |= held.holder.accept(g.to(*holder), now) && g.amount < before;
                }
                self.settle(now);
                true
            }
            Message::AskAgain { holder } if *holder == self.incarnation => {
                self.ask_now = true;
                false
            }
            Message::NotLeader { leader } => {
                let index_of = |name: &String| self.plan.allocators.iter().position(|d| d.name == *name);
                let index =
                    leader.as_ref().and_then(index_of).filter(|p| *p != self.allocator && !self.answered);
                // Guards against two allocators that redirect to each other.
                if let Some(index) = index.filter(|_| self.redirects < MAX_REDIRECTS) {
                    (self.allocator, self.ask_now, self.redirects) = (index, true, self.redirects + 1);
                }
                false
            }
            _ => false,
        }
    }

    /// Releases all leases and stops requests. A lease with units in use is not reported as released; the allocators count it
    /// until it expires.
    pub fn leave(&mut self, now: Micros) {
        let grants: Vec<(String, u32, u64)> =
            self.held.values_mut().filter_map(HeldBudget::release).collect();
        self.has_left = true;
        self.update_reserves(now);
        if !grants.is_empty() {
            self.send(Message::Returns { holder: self.incarnation, grants });
        }
    }

    /// Returns when [`QuotaClient::pass`] should be called next: for the next request or when a lease expires.
    pub fn due(&self, now: Micros) -> Micros {
        let expiries = self.held.values().filter_map(|h| h.holder.expires_at()).filter(|at| *at > now);
        let next_request_at = match self.asked_at {
            None => now,
            Some(_) if self.redirects > 0 && self.ask_now => now,
            Some(at) if self.ask_now => at + MIN_REQUEST_INTERVAL,
            Some(at) if !self.answered => at + ANSWER_TIMEOUT,
            Some(at) => at + self.request_interval(),
        };
        expiries.chain([next_request_at.max(now + 1_000)]).min().unwrap_or(now + MIN_REQUEST_INTERVAL)
    }
}
