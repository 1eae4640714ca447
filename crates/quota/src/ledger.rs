//! An allocator's record of the grants of one budget that have not expired.
//!
//! Grants are committed to the replicated log before they are recorded, so all allocators record the same ones. Only expiry
//! times differ: each allocator counts a grant's term from when it applied the grant, which is later than its holder counts
//! from. After a restart an allocator counts the terms of all grants from its start.

use crate::{Grant, LeasePeriod, Micros, NodeIncarnation};
use std::collections::{BTreeMap, BTreeSet};

/// A grant that has to be counted as in use, and when this ends by the allocator's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OutstandingGrant {
    grant: Grant,
    expires_at: Micros,
}

/// The units of a budget by use: reserved, granted, withheld and free.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// All units of the budget.
    pub total: u64,
    /// Units that nodes may use without a grant.
    pub reserved: u64,
    /// Units charged to holders that are not suspected.
    pub granted: u64,
    /// Units charged to suspected holders, until their grants expire.
    pub withheld: u64,
    /// Units that can be granted now.
    pub free: u64,
    /// Units charged or reserved beyond the total, after the total was lowered.
    pub debt: u64,
}

/// The outstanding grants of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// The period of new grants.
    lease_period: LeasePeriod,
    total: u64,
    reserved: u64,
    epoch: u32,
    last_number: u64,
    outstanding: BTreeMap<NodeIncarnation, Vec<OutstandingGrant>>,
    /// The sum of [`Ledger::charged_units`] over all holders, kept up to date because an allocation reads it once per holder.
    charged: u64,
    suspected: BTreeSet<NodeIncarnation>,
}

impl Ledger {
    /// Returns a ledger without grants. `reserved` is the part of `total` that all nodes together may use without a grant.
    pub fn new(total: u64, reserved: u64, lease_period: LeasePeriod) -> Ledger {
        Ledger {
            lease_period,
            total,
            reserved: reserved.min(total),
            epoch: 0,
            last_number: 0,
            outstanding: BTreeMap::new(),
            charged: 0,
            suspected: BTreeSet::new(),
        }
    }

    /// Returns the units that a holder may still be using: its largest outstanding grant, because it may not have received the
    /// last one.
    pub fn charged_units(&self, holder: NodeIncarnation) -> u64 {
        self.outstanding
            .get(&holder)
            .and_then(|grants| grants.iter().map(|outstanding| outstanding.grant.amount).max())
            .unwrap_or(0)
    }

    /// Updates the outstanding grants of a holder and the sum of all charges.
    fn update(&mut self, holder: NodeIncarnation, update: impl FnOnce(&mut Vec<OutstandingGrant>)) {
        let greatest = |grants: &[OutstandingGrant]| {
            grants.iter().map(|outstanding| outstanding.grant.amount).max().unwrap_or(0)
        };
        let grants = self.outstanding.entry(holder).or_default();
        let before = greatest(grants);
        update(grants);
        let after = greatest(grants);
        if grants.is_empty() {
            self.outstanding.remove(&holder);
            self.suspected.remove(&holder);
        }
        self.charged = self.charged.saturating_sub(before).saturating_add(after);
    }

    /// Returns how the units are distributed.
    pub fn account(&self) -> Account {
        let (total, reserved, charged) = (self.total, self.reserved, self.charged);
        let withheld = self.suspected.iter().map(|holder| self.charged_units(*holder)).sum();
        let used = reserved.saturating_add(charged);
        let granted = charged - withheld;
        let (free, debt) = (total.saturating_sub(used), used.saturating_sub(total));
        Account { total, reserved, granted, withheld, free, debt }
    }

    /// Returns the grant that would give a holder `wanted` units, or fewer where the charges of other holders leave less. It
    /// takes effect once it is committed, see [`Ledger::record`].
    pub fn offer(&self, holder: NodeIncarnation, wanted: u64, answers: u64) -> Grant {
        // The holder's own charge plus the free units would be too much: a new leader still counts expired grants, and units
        // of an expired grant of this holder may be granted to another one by now.
        let others = self.charged.saturating_sub(self.charged_units(holder));
        let most = self.total.saturating_sub(self.reserved).saturating_sub(others);
        let (epoch, number) = (self.epoch, self.last_number + 1);
        Grant { holder, epoch, number, amount: wanted.min(most), answers, length: self.lease_period.length }
    }

    /// Records a committed grant, whose term counts from `now`. A grant that is already recorded is ignored.
    pub fn record(&mut self, grant: Grant, now: Micros) {
        if grant.number <= self.last_number {
            return;
        }
        self.last_number = grant.number;
        let expires_at = now + self.count_duration(&grant);
        self.suspected.remove(&grant.holder);
        self.update(grant.holder, |grants| grants.push(OutstandingGrant { grant, expires_at }));
    }

    /// Drops the grants of a holder that are earlier than the one with this number, if that one is outstanding, and ends the
    /// suspicion of the holder. Called when the holder has put that grant in force.
    pub fn acknowledge(&mut self, holder: NodeIncarnation, number: u64) {
        if self
            .outstanding
            .get(&holder)
            .is_some_and(|grants| grants.iter().any(|outstanding| outstanding.grant.number == number))
        {
            self.update(holder, |grants| grants.retain(|outstanding| outstanding.grant.number >= number));
        }
        self.suspected.remove(&holder);
    }

    /// Drops the grant with this number and all earlier ones of a holder that has released them.
    pub fn release(&mut self, holder: NodeIncarnation, number: u64) {
        if self.outstanding.contains_key(&holder) {
            self.update(holder, |grants| grants.retain(|outstanding| outstanding.grant.number > number));
        }
    }

    /// Marks a holder as suspected or not. Its grants stay charged, since it may only be partitioned from the allocator.
    pub fn suspect(&mut self, holder: NodeIncarnation, suspected: bool) {
        if suspected && self.outstanding.contains_key(&holder) {
            self.suspected.insert(holder);
        } else {
            self.suspected.remove(&holder);
        }
    }

    /// Drops the expired grants and returns when the next one expires.
    pub fn expire(&mut self, now: Micros) -> Option<Micros> {
        let expired: Vec<NodeIncarnation> = self
            .outstanding
            .iter()
            .filter(|(_, grants)| grants.iter().any(|outstanding| outstanding.expires_at <= now))
            .map(|(holder, _)| *holder)
            .collect();
        for holder in expired {
            self.update(holder, |grants| grants.retain(|outstanding| outstanding.expires_at > now));
        }
        self.outstanding.values().flatten().map(|outstanding| outstanding.expires_at).min()
    }

    /// Returns how long a grant is charged, counted from when this allocator applied it.
    fn count_duration(&self, grant: &Grant) -> Micros {
        LeasePeriod { length: grant.length, ..self.lease_period }.for_allocator()
    }

    /// Returns the number of the last grant and all outstanding grants, for [`Ledger::restore`].
    pub fn snapshot(&self) -> (u64, Vec<Grant>) {
        (self.last_number, self.outstanding.values().flatten().map(|outstanding| outstanding.grant).collect())
    }

    /// Replaces all grants by those of a snapshot, whose terms count from `now`.
    pub fn restore(&mut self, (last_number, grants): &(u64, Vec<Grant>), now: Micros) {
        self.last_number = *last_number;
        self.suspected.clear();
        self.outstanding.clear();
        self.charged = 0;
        for grant in grants {
            let expires_at = now + self.count_duration(grant);
            self.update(grant.holder, |grants| grants.push(OutstandingGrant { grant: *grant, expires_at }));
        }
    }

    /// Sets the epoch of new grants.
    pub fn set_epoch(&mut self, epoch: u32) {
        self.epoch = epoch;
    }

    /// Returns the number of the last recorded grant; 0 for none.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the greatest number of a holder's outstanding grants; 0 for none.
    pub fn newest_number(&self, holder: NodeIncarnation) -> u64 {
        self.outstanding
            .get(&holder)
            .and_then(|grants| grants.iter().map(|outstanding| outstanding.grant.number).max())
            .unwrap_or(0)
    }

    /// Returns whether a holder of outstanding grants is suspected.
    pub fn is_suspected(&self, holder: NodeIncarnation) -> bool {
        self.suspected.contains(&holder)
    }

    /// Applies a changed configuration. Outstanding grants keep their terms; the drift and the time of use after a grant's
    /// expiry keep the greatest values that were ever configured.
    pub fn resize(&mut self, total: u64, reserved: u64, lease_period: LeasePeriod) {
        (self.total, self.reserved) = (total, reserved.min(total));
        let longest = self.lease_period.longest.max(lease_period.longest);
        let drift_ppm = self.lease_period.drift_ppm.max(lease_period.drift_ppm);
        self.lease_period = LeasePeriod { longest, drift_ppm, ..lease_period };
    }

    /// Returns the units to divide among holders that are not suspected: the total without reserved and withheld units.
    pub fn divisible(&self) -> u64 {
        let account = self.account();
        account.total.saturating_sub(account.reserved).saturating_sub(account.withheld)
    }

    /// Returns all holders of outstanding grants.
    pub fn holders(&self) -> impl Iterator<Item = NodeIncarnation> + '_ {
        self.outstanding.keys().copied()
    }
}
