//! A node's lease on a share of one budget.

use crate::{Grant, LeasePeriod, Micros, NodeIncarnation};
use std::collections::VecDeque;

/// The most requests that wait for an answer; answers to older ones are ignored.
const MAX_PENDING_REQUESTS: usize = 8;

/// The lease that one node incarnation holds on a budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    incarnation: NodeIncarnation,
    lease_period: LeasePeriod,
    /// Units that may be used without a grant. Only the process that owns the node's address has a reserve.
    reserve: u64,
    /// The numbers and times of the requests that wait for an answer.
    pending: VecDeque<(u64, Micros)>,
    request_count: u64,
    /// The grant in force and when it expires.
    held: Option<(Grant, Micros)>,
    /// The epoch and the number of the last released grant; it and earlier ones are never used again.
    released: (u32, u64),
}

impl Holder {
    /// Returns a lease without a grant: only `reserve` units may be used.
    pub fn new(incarnation: NodeIncarnation, reserve: u64, lease_period: LeasePeriod) -> Holder {
        Holder {
            incarnation,
            lease_period,
            reserve,
            pending: VecDeque::new(),
            request_count: 0,
            held: None,
            released: (0, 0),
        }
    }

    /// Starts a request and returns its number, which the answer has to carry. The term of the granted lease counts from
    /// `now`, so a delay of the answer shortens the lease.
    pub fn ask(&mut self, now: Micros) -> u64 {
        self.request_count += 1;
        if self.pending.len() == MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        self.pending.push_back((self.request_count, now));
        self.request_count
    }

    /// Puts a received grant in force and returns `true`, unless it belongs to another incarnation, answers no pending
    /// request, is older than the grant in force, was released, or has expired.
    pub fn accept(&mut self, grant: Grant, now: Micros) -> bool {
        let Some(&(_, requested_at)) = self.pending.iter().find(|(n, _)| *n == grant.answers) else {
            return false;
        };
        let expires_at = requested_at
            .saturating_add(LeasePeriod { length: grant.length, ..self.lease_period }.for_holder());
        // Numbers of different epochs can't be compared, but an epoch grants nothing before all grants of the last one expire.
        let newer = match self.held {
            Some((held, _)) if held.epoch == grant.epoch => grant.number > held.number,
            Some((_, expires_at)) => now >= expires_at,
            None => grant.epoch != self.released.0 || grant.number > self.released.1,
        };
        if grant.holder != self.incarnation || !newer || now >= expires_at {
            return false;
        }
        self.held = Some((grant, expires_at));
        true
    }

    /// Returns the units that may be used now, per second or at once. Read it before each use, since a process that was paused
    /// may find its lease expired.
    pub fn usable(&self, now: Micros) -> u64 {
        // A clock that was set back must not extend the lease: it isn't valid before the time of its request.
        let length = |g: &Grant| LeasePeriod { length: g.length, ..self.lease_period }.for_holder();
        let is_valid = |(g, expires_at): &(Grant, Micros)| now < *expires_at && now >= expires_at - length(g);
        self.held
            .as_ref()
            .filter(|h| is_valid(h))
            .map_or(self.reserve, |(g, _)| g.amount.saturating_add(self.reserve))
    }

    /// Returns the grant in force; `None` once it has expired.
    pub fn grant(&self, now: Micros) -> Option<Grant> {
        self.held.filter(|(_, expires_at)| now < *expires_at).map(|(g, _)| g)
    }

    /// Returns the epoch and the number of the last grant that was in force, also after its expiry or release; zeros for none.
    /// An earlier grant is never put in force again.
    pub fn in_force(&self) -> (u32, u64) {
        self.held.map_or(self.released, |(g, _)| (g.epoch, g.number))
    }

    /// Sets the units that may be used without a grant.
    pub fn set_reserve(&mut self, reserve: u64) {
        self.reserve = reserve;
    }

    /// Returns when the current grant expires, also after that time; `None` without a grant.
    pub fn expires_at(&self) -> Option<Micros> {
        self.held.map(|(_, expires_at)| expires_at)
    }

    /// Releases all grants and returns the epoch and the number of the last one; zeros for none.
    pub fn release(&mut self) -> (u32, u64) {
        if let Some((grant, _)) = self.held.take() {
            self.released = (grant.epoch, grant.number);
        }
        self.pending.clear();
        self.released
    }

    /// Returns the units in use beyond those that may be used. They are left to finish; the caller starts no new use meanwhile.
    pub fn debt(&self, in_use: u64, now: Micros) -> u64 {
        in_use.saturating_sub(self.usable(now))
    }
}
