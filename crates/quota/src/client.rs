//! One node's side of all budgets: when it asks whom, what it may use now, and what it says as it leaves.

use crate::config::{Budget, BudgetKind, Per, Plan};
use crate::lease::Holder;
use crate::messages::{BudgetClaim, Message};
use crate::{Grant, LeasePeriod, Micros, NodeIncarnation};
use std::collections::BTreeMap;

/// It asks this often in a term at least.
const ASKS: Micros = 4;
/// It asks no sooner than this after it has asked, however short it is.
const SOONEST: Micros = 100_000;
/// An asking that nobody has answered by then is done again, from the next divider.
const ANSWER: Micros = 300_000;
/// An asking is sent on from one divider to another this often at most.
const SENT_ON: u32 = 2;
/// What was wanted is a running mean over this.
const MEMORY: Micros = 1_500_000;

/// What a node did with a budget since it last said so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Units that were wanted since then; of what is in use at once, the most at any moment.
    pub wanted: u64,
    /// Units that were used since then; of what is in use at once, those in use.
    pub used: u64,
}

/// Something to say to a divider.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Its place in the file.
    pub to: usize,
    /// What.
    pub message: Message,
}

#[derive(Clone, Debug)]
struct Held {
    budget: Budget,
    holder: Holder,
    /// Wanted since the last asking, and the demand that was told then.
    since: Usage,
    notified: u64,
    /// What was wanted lately, by the second or at once.
    mean: f64,
    /// The number of the grant that nothing in use goes beyond any more.
    settled: (u32, u64),
    /// It has become smaller, which was not told yet.
    shrinks: bool,
    /// It was wanted at some time.
    ever: bool,
}

impl Held {
    /// Whether a grant is newly gone by: nothing that was begun under a greater one is in use beyond it. Its number.
    fn settle(&mut self, now: Micros) -> Option<(u32, u64)> {
        let debt = match self.budget.per {
            Per::Second { .. } => 0,
            Per::Moment { .. } => self.holder.debt(self.since.used, now),
        };
        let number = self.holder.in_force();
        let updates = debt == 0 && number != self.settled;
        self.settled = if updates { number } else { self.settled };
        updates.then_some(number)
    }

    /// What was wanted lately, that long after the last asking, and the demand that follows from it: hardly more, since where all
    /// is wanted room for one is taken from another, and where it isn't room is lent. A jump, up or down, is told at once.
    fn demand(&self, span: Micros) -> (f64, u64) {
        // A home is wanted or not: a mean of it would keep it for seconds from the node that it belongs to.
        if matches!(BudgetKind::of(&self.budget.name), Some(BudgetKind::Home(_))) {
            return (0.0, self.since.wanted);
        }
        let span = span.max(SOONEST) as f64;
        let wanted = match self.budget.per {
            Per::Second { .. } => self.since.wanted as f64 * 1e6 / span,
            Per::Moment { .. } => self.since.wanted as f64,
        };
        // A home is wanted or not.
        if self.is_home() {
            return (wanted, u64::from(wanted > 0.0));
        }
        let mean = self.mean + (1.0 - (-span / MEMORY as f64).exp()) * (wanted - self.mean);
        let jumps = wanted > 1.5 * self.mean + 3.0 || wanted < self.mean / 1.5 - 3.0;
        let mean = if jumps { wanted } else { mean };
        // What is next to nothing is nothing.
        (mean, if mean < 0.05 { 0 } else { mean.ceil() as u64 })
    }

    fn is_home(&self) -> bool {
        matches!(BudgetKind::of(&self.budget.name), Some(BudgetKind::Home(_)))
    }

    /// Use nothing more; what to tell of it, unless something is in use.
    fn release(&mut self) -> Option<(String, u32, u64)> {
        let (epoch, number) = self.holder.release();
        let busy = matches!(self.budget.per, Per::Moment { .. }) && self.since.used > 0;
        (number > 0 && !busy).then(|| (self.budget.name.clone(), epoch, number))
    }
}

/// One life of a node, and what it may use.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    incarnation: NodeIncarnation,
    plan: Plan,
    held: BTreeMap<String, Held>,
    /// Budgets that a file named no more. One that is named again goes on from here: what was on the way to it meanwhile would
    /// answer an asking of a count that began anew.
    gone: BTreeMap<String, Held>,
    born: Micros,
    /// It has the node's address, so that the reserve is its own.
    owns: bool,
    /// The version that the dividers last named.
    agreed: Option<u64>,
    allocator: usize,
    /// When it last asked, and whether that was answered.
    asked: Option<Micros>,
    answered: bool,
    hurry: bool,
    /// How often this asking was sent on to another divider.
    sent_on: u32,
    left: bool,
    outgoing: Vec<Outgoing>,
}

impl QuotaClient {
    /// One that starts now, with that file. `first` says which divider it asks first.
    pub fn new(incarnation: NodeIncarnation, plan: Plan, first: usize, now: Micros) -> QuotaClient {
        let allocator = first % plan.allocators.len().max(1);
        let mut quota_client = QuotaClient {
            incarnation,
            plan: Plan::default(),
            held: BTreeMap::new(),
            gone: BTreeMap::new(),
            born: now,
            owns: false,
            agreed: None,
            allocator,
            asked: None,
            answered: false,
            hurry: true,
            sent_on: 0,
            left: false,
            outgoing: Vec::new(),
        };
        quota_client.replan(plan, now);
        quota_client
    }

    /// Which life it is.
    pub fn incarnation(&self) -> NodeIncarnation {
        self.incarnation
    }

    /// The file that it goes by.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Another file holds. Grants go on; of a budget that is gone nothing is used any more.
    pub fn replan(&mut self, plan: Plan, now: Micros) {
        let gone: Vec<String> =
            self.held.keys().filter(|n| plan.budgets.iter().all(|b| b.name != **n)).cloned().collect();
        let mut grants = Vec::new();
        for (name, mut held) in gone.into_iter().filter_map(|name| self.held.remove_entry(&name)) {
            grants.extend(held.release());
            (held.mean, held.notified, held.shrinks, held.since.wanted) = (0.0, 0, false, 0);
            self.gone.insert(name, held);
        }
        if !grants.is_empty() {
            self.send(Message::Returns { holder: self.incarnation, grants });
        }
        for budget in &plan.budgets {
            let term = plan.lease_period(budget);
            let new = || Held {
                budget: budget.clone(),
                holder: Holder::new(self.incarnation, 0, term),
                since: Usage::default(),
                notified: 0,
                mean: 0.0,
                settled: (0, 0),
                shrinks: false,
                ever: false,
            };
            let before = self.gone.remove(&budget.name);
            self.held.entry(budget.name.clone()).or_insert_with(|| before.unwrap_or_else(new));
        }
        self.allocator %= plan.allocators.len().max(1);
        let before = std::mem::replace(&mut self.plan, plan);
        for held in self.held.values_mut() {
            let Some(budget) = self.plan.budgets.iter().find(|b| b.name == held.budget.name) else {
                continue;
            };
            // Until the dividers count another reserve, the lesser one is used.
            let newer = self.agreed.is_none_or(|v| v >= self.plan.version) || before.version == 0;
            let reserve = if newer { budget.reserve } else { budget.reserve.min(held.budget.reserve) };
            held.budget = Budget { reserve, ..budget.clone() };
        }
        self.hurry = true;
        self.reserves(now);
    }

    /// This process has the node's address now, or has it no more.
    pub fn set_owns_address(&mut self, owns: bool, now: Micros) {
        self.owns = owns;
        self.reserves(now);
    }

    /// Who may use the reserve: the one process that has the node's address, whose file's reserve is counted; and of what is in
    /// use at once only when all has ended that an earlier life can have begun.
    fn reserves(&mut self, now: Micros) {
        let counted = self.agreed.is_none_or(|v| v >= self.plan.version);
        for held in self.held.values_mut() {
            let over = match held.budget.per {
                Per::Second { .. } => self.born,
                Per::Moment { .. } => {
                    self.born + self.plan.lease_period(&held.budget).for_allocator() - self.plan.term
                }
            };
            let usable = self.owns && counted && now >= over && !self.left;
            held.holder.set_reserve(if usable { held.budget.reserve } else { 0 });
        }
    }

    fn send(&mut self, message: Message) {
        let to = self.allocator;
        self.outgoing.push(Outgoing { to, message });
    }

    /// What is to be said, since this was last asked.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// What was done with a budget, since this was last told.
    pub fn record_usage(&mut self, budget: &str, what: Usage) {
        let Some(held) = self.held.get_mut(budget) else { return };
        let since = &mut held.since;
        match held.budget.per {
            Per::Second { .. } => {
                since.wanted += what.wanted;
                since.used += what.used;
            }
            Per::Moment { .. } => {
                since.wanted = since.wanted.max(what.wanted);
                since.used = what.used;
            }
        }
    }

    /// What may be used of a budget now; `None` for one that the file does not name.
    pub fn usable(&self, budget: &str, now: Micros) -> Option<u64> {
        Some(self.held.get(budget)?.holder.usable(now))
    }

    /// Whether a grant of that budget holds now.
    pub fn is_granted(&self, budget: &str, now: Micros) -> bool {
        self.held.get(budget).is_some_and(|h| h.holder.grant(now).is_some())
    }

    /// The grant of that budget that is gone by now, and when it was asked for by one's own clock: its time counts from there.
    pub fn lease(&self, budget: &str, now: Micros) -> Option<(Grant, Micros)> {
        let held = self.held.get(budget)?;
        let grant = held.holder.grant(now)?;
        let length =
            LeasePeriod { length: grant.length, ..self.plan.lease_period(&held.budget) }.for_holder();
        Some((grant, held.holder.expires_at()? - length))
    }

    /// What may be used of every budget now.
    pub fn all_usable(&self, now: Micros) -> Vec<(&Budget, u64)> {
        self.held.values().map(|h| (&h.budget, h.holder.usable(now))).collect()
    }

    fn period(&self) -> Micros {
        (self.plan.term / ASKS).max(SOONEST)
    }

    /// Whether much more is wanted of some budget than may be used, and than the dividers were told.
    fn is_short(&self, now: Micros) -> bool {
        let span = self.asked.map_or(SOONEST, |at| now - at);
        let much = |notified: u64| notified.saturating_add(notified / 8 + 2);
        self.held.values().any(|h| h.demand(span).1 > much(h.holder.usable(now).max(h.notified)))
    }

    /// Time has passed: ask, if it is time to.
    pub fn pass(&mut self, now: Micros) {
        self.reserves(now);
        self.settle(now);
        if self.left || self.plan.allocators.is_empty() {
            return;
        }
        let due = match self.asked {
            None => true,
            Some(_) if (1..=SENT_ON).contains(&self.sent_on) && self.hurry => true,
            Some(at) if now < at + SOONEST => false,
            Some(at) if !self.answered && now >= at + ANSWER => {
                self.allocator = (self.allocator + 1) % self.plan.allocators.len();
                self.sent_on = 0;
                true
            }
            Some(at) => self.hurry || now >= at + self.period() || self.is_short(now),
        };
        if due {
            self.ask(now);
        }
    }

    /// What was given up is free for others as soon as nothing of it is in use: say so at once.
    fn settle(&mut self, now: Micros) {
        let mut grants = Vec::new();
        for (name, held) in &mut self.held {
            let Some((epoch, number)) = held.settle(now) else { continue };
            if std::mem::take(&mut held.shrinks) {
                grants.push((name.clone(), epoch, number));
            }
        }
        if !grants.is_empty() {
            self.send(Message::Acknowledge { holder: self.incarnation, grants });
        }
    }

    fn ask(&mut self, now: Micros) {
        let span = self.asked.map_or(SOONEST, |at| now - at);
        let mut claims = Vec::new();
        for (name, held) in &mut self.held {
            (held.mean, held.notified) = held.demand(span);
            held.ever |= held.notified > 0;
            // There is a home for each node of a fleet: those that this one never wanted would fill its words.
            if !held.ever && held.is_home() {
                continue;
            }
            let used = match held.budget.per {
                Per::Second { .. } => held.since.used * 1_000_000 / span.max(SOONEST) as u64,
                Per::Moment { .. } => held.since.used,
            };
            claims.push(BudgetClaim {
                budget: name.clone(),
                answers: held.holder.ask(now),
                demand: held.notified,
                used,
                in_force: held.settled,
            });
            held.since = Usage { wanted: 0, used: held.since.used };
            if matches!(held.budget.per, Per::Second { .. }) {
                held.since.used = 0;
            }
        }
        (self.asked, self.answered, self.hurry) = (Some(now), false, false);
        self.send(Message::Ask { holder: self.incarnation, plan: self.plan.version, claims });
    }

    /// A divider has said something, the one of that place in the file. Whether what may be used has changed.
    pub fn receive(&mut self, from: usize, message: &Message, now: Micros) -> bool {
        match message {
            Message::Grants { holder, plan, grants } if *holder == self.incarnation && !self.left => {
                (self.answered, self.allocator, self.sent_on) = (true, from, 0);
                self.agreed = Some(self.agreed.map_or(*plan, |v| v.max(*plan)));
                if *plan >= self.plan.version {
                    for held in self.held.values_mut() {
                        let reserve = self.plan.budgets.iter().find(|b| b.name == held.budget.name);
                        reserve.into_iter().for_each(|b| held.budget.reserve = b.reserve);
                    }
                }
                self.reserves(now);
                for g in grants {
                    let Some(held) = self.held.get_mut(&g.budget) else { continue };
                    let before = held.holder.grant(now).map_or(0, |g| g.amount);
                    held.shrinks |= held.holder.accept(g.to(*holder), now) && g.amount < before;
                }
                self.settle(now);
                true
            }
            Message::AskAgain { holder } if *holder == self.incarnation => {
                self.hurry = true;
                false
            }
            Message::NotLeader { leader } => {
                let place = |name: &String| self.plan.allocators.iter().position(|d| d.name == *name);
                let place =
                    leader.as_ref().and_then(place).filter(|p| *p != self.allocator && !self.answered);
                // Guards against two dividers that each send it to the other.
                if let Some(place) = place.filter(|_| self.sent_on < SENT_ON) {
                    (self.allocator, self.hurry, self.sent_on) = (place, true, self.sent_on + 1);
                }
                false
            }
            _ => false,
        }
    }

    /// Hand everything back that is not in use: nothing begins any more, and nothing is asked for. What is still in use is
    /// counted until its grant has ended.
    pub fn leave(&mut self, now: Micros) {
        let grants: Vec<(String, u32, u64)> = self.held.values_mut().filter_map(Held::release).collect();
        self.left = true;
        self.reserves(now);
        if !grants.is_empty() {
            self.send(Message::Returns { holder: self.incarnation, grants });
        }
    }

    /// When [`QuotaClient::pass`] has something to do next, or something may no longer be used.
    pub fn due(&self, now: Micros) -> Micros {
        let ends = self.held.values().filter_map(|h| h.holder.expires_at()).filter(|at| *at > now);
        let asks = match self.asked {
            None => now,
            Some(_) if self.sent_on > 0 && self.hurry => now,
            Some(at) if self.hurry => at + SOONEST,
            Some(at) if !self.answered => at + ANSWER,
            Some(at) => at + self.period(),
        };
        ends.chain([asks.max(now + 1_000)]).min().unwrap_or(now + SOONEST)
    }
}
