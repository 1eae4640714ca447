//! What the divider has granted, and what it may not grant again yet.
//!
//! Entries are agreed on by the fleet before they count (how is not this module's concern), so every divider has the same
//! ledger. Only the times are its own: each counts a grant from the moment at which it knew itself that it was agreed on, which is
//! later than its holder did; one that begins anew counts all of them from its beginning.

use crate::{Grant, LeasePeriod, Micros, NodeIncarnation};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Out {
    grant: Grant,
    until: Micros,
}

/// Where the units of a budget are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// All of them.
    pub total: u64,
    /// Kept for nodes without a grant.
    pub reserved: u64,
    /// Taken for used by lives that were heard of lately.
    pub granted: u64,
    /// Taken for used by lives that are thought dead, until their grants have surely ended.
    pub withheld: u64,
    /// What can be granted now.
    pub free: u64,
    /// How much more is taken for used than the whole allows, since that was lowered.
    pub debt: u64,
}

/// One budget's ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    term: LeasePeriod,
    total: u64,
    reserved: u64,
    epoch: u32,
    last: u64,
    out: BTreeMap<NodeIncarnation, Vec<Out>>,
    /// What all lives together have to be taken to use: a thousand lives are asked for it a thousand times in a division.
    charged: u64,
    dead: BTreeSet<NodeIncarnation>,
}

impl Ledger {
    /// Nothing granted yet. `reserved` units are kept for nodes that have no grant, all nodes together; they are counted
    /// inside the whole.
    pub fn new(total: u64, reserved: u64, term: LeasePeriod) -> Ledger {
        Ledger {
            term,
            total,
            reserved: reserved.min(total),
            epoch: 0,
            last: 0,
            out: BTreeMap::new(),
            charged: 0,
            dead: BTreeSet::new(),
        }
    }

    /// What a life has to be taken to use: the greatest of its grants, as it may not have heard of the last one.
    pub fn charge(&self, holder: NodeIncarnation) -> u64 {
        self.out.get(&holder).and_then(|all| all.iter().map(|o| o.grant.amount).max()).unwrap_or(0)
    }

    /// Change what is out to a life, and the sum with it.
    fn change(&mut self, holder: NodeIncarnation, change: impl FnOnce(&mut Vec<Out>)) {
        let greatest = |all: &[Out]| all.iter().map(|o| o.grant.amount).max().unwrap_or(0);
        let all = self.out.entry(holder).or_default();
        let before = greatest(all);
        change(all);
        let after = greatest(all);
        if all.is_empty() {
            self.out.remove(&holder);
            self.dead.remove(&holder);
        }
        self.charged = self.charged.saturating_sub(before).saturating_add(after);
    }

    /// Where all units are.
    pub fn account(&self) -> Account {
        let (total, reserved, charged) = (self.total, self.reserved, self.charged);
        let withheld = self.dead.iter().map(|holder| self.charge(*holder)).sum();
        let used = reserved.saturating_add(charged);
        let granted = charged - withheld;
        let (free, debt) = (total.saturating_sub(used), used.saturating_sub(total));
        Account { total, reserved, granted, withheld, free, debt }
    }

    /// The grant that would give a life so much, or as much of it as the others leave of the whole by all that they have to be
    /// taken to use. It counts once the fleet has agreed on it, see [`Ledger::enter`].
    pub fn offer(&self, holder: NodeIncarnation, wanted: u64, answers: u64) -> Grant {
        // Not what it has itself and what is free: a divider that took over counts grants that are long over, and would give
        // a life its own old part although another has that by now (found by the model).
        let others = self.charged.saturating_sub(self.charge(holder));
        let most = self.total.saturating_sub(self.reserved).saturating_sub(others);
        let (epoch, number) = (self.epoch, self.last + 1);
        Grant { holder, epoch, number, amount: wanted.min(most), answers, length: self.term.length }
    }

    /// The fleet has agreed on a grant; this divider knows of it now. One that was agreed on before is entered once.
    pub fn record(&mut self, grant: Grant, now: Micros) {
        if grant.number <= self.last {
            return;
        }
        self.last = grant.number;
        let until = now + self.counted(&grant);
        self.dead.remove(&grant.holder);
        self.change(grant.holder, |all| all.push(Out { grant, until }));
    }

    /// A life has said that it goes by that grant: it never goes back to an earlier one.
    pub fn acknowledge(&mut self, holder: NodeIncarnation, number: u64) {
        if self.out.get(&holder).is_some_and(|all| all.iter().any(|o| o.grant.number == number)) {
            self.change(holder, |all| all.retain(|o| o.grant.number >= number));
        }
        self.dead.remove(&holder);
    }

    /// A life has said that it uses nothing of that grant any more, nor of earlier ones, and never will.
    pub fn release(&mut self, holder: NodeIncarnation, number: u64) {
        if self.out.contains_key(&holder) {
            self.change(holder, |all| all.retain(|o| o.grant.number > number));
        }
    }

    /// A life is thought dead, or heard of again. That frees nothing: it may only be cut off.
    pub fn suspect(&mut self, holder: NodeIncarnation, dead: bool) {
        if dead && self.out.contains_key(&holder) {
            self.dead.insert(holder);
        } else {
            self.dead.remove(&holder);
        }
    }

    /// Grants that have surely ended by now are over. When the next one will be.
    pub fn expire(&mut self, now: Micros) -> Option<Micros> {
        let over: Vec<NodeIncarnation> =
            self.out.iter().filter(|(_, all)| all.iter().any(|o| o.until <= now)).map(|(l, _)| *l).collect();
        for holder in over {
            self.change(holder, |all| all.retain(|o| o.until > now));
        }
        self.out.values().flatten().map(|o| o.until).min()
    }

    /// For how long a grant is taken for used, from the moment at which this divider knew of it.
    fn counted(&self, grant: &Grant) -> Micros {
        LeasePeriod { length: grant.length, ..self.term }.for_allocator()
    }

    /// All grants that have to be taken for used, and the number of the last one ever entered: what another divider
    /// needs to go on from here, see [`Ledger::restore`].
    pub fn snapshot(&self) -> (u64, Vec<Grant>) {
        (self.last, self.out.values().flatten().map(|o| o.grant).collect())
    }

    /// Go on from what another divider kept. Grants count from now.
    pub fn restore(&mut self, (last, grants): &(u64, Vec<Grant>), now: Micros) {
        self.last = *last;
        self.dead.clear();
        self.out.clear();
        self.charged = 0;
        for grant in grants {
            let until = now + self.counted(grant);
            self.change(grant.holder, |all| all.push(Out { grant: *grant, until }));
        }
    }

    /// The fleet that gives from now on.
    pub fn set_epoch(&mut self, epoch: u32) {
        self.epoch = epoch;
    }

    /// The number of the last grant entered.
    pub fn last_number(&self) -> u64 {
        self.last
    }

    /// The greatest number of a life's grants, 0 for none.
    pub fn newest_number(&self, holder: NodeIncarnation) -> u64 {
        self.out.get(&holder).and_then(|all| all.iter().map(|o| o.grant.number).max()).unwrap_or(0)
    }

    /// Whether a life that has to be taken to use something is thought dead.
    pub fn is_suspected(&self, holder: NodeIncarnation) -> bool {
        self.dead.contains(&holder)
    }

    /// The operators' file has another whole, another reserve, or another term. What is granted stays granted, for as long
    /// as it was granted; what may still be in use after that is taken for the longest that was ever said.
    pub fn resize(&mut self, total: u64, reserved: u64, term: LeasePeriod) {
        (self.total, self.reserved) = (total, reserved.min(total));
        let longest = self.term.longest.max(term.longest);
        let drift_ppm = self.term.drift_ppm.max(term.drift_ppm);
        self.term = LeasePeriod { longest, drift_ppm, ..term };
    }

    /// What may be divided among lives that are heard of: the whole less the reserve and what is in doubt.
    pub fn divisible(&self) -> u64 {
        let a = self.account();
        a.total.saturating_sub(a.reserved).saturating_sub(a.withheld)
    }

    /// All lives that have to be taken to use something.
    pub fn holders(&self) -> impl Iterator<Item = NodeIncarnation> + '_ {
        self.out.keys().copied()
    }
}
