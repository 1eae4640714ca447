//! The part of the fleet's calls to discovery that this node may make.

use crate::net::deadlines::Deadlines;
use shorepath_quota::client::Usage;
use shorepath_quota::rate_limiter::TokenBucket;
use shorepath_quota::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A call to discovery that has no unit looks again after this.
const LISTS: Duration = Duration::from_millis(100);

/// The part of the fleet's calls to discovery that this node may make; none where that is not bounded.
#[derive(Debug, Default)]
pub struct DiscoveryCallLimit {
    pub(super) part: RefCell<Option<(TokenBucket, u64)>>,
    pub(super) origin: Cell<Option<Instant>>,
    pub(super) wanted: Cell<u64>,
    pub(super) used: Cell<u64>,
    /// Calls that wait for a unit.
    pub(super) waiting: Cell<u64>,
}

/// A call that waits, for as long as this is kept.
pub(super) struct Waiting<'a>(&'a Cell<u64>);

impl<'a> Waiting<'a> {
    pub(super) fn one(count: &'a Cell<u64>) -> Self {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl DiscoveryCallLimit {
    pub(super) fn now(&self) -> Micros {
        let origin = self.origin.get().unwrap_or_else(Instant::now);
        self.origin.set(Some(origin));
        origin.elapsed().as_micros() as Micros
    }

    pub(super) fn hold(&self, rate: u64, burst: Micros) {
        let now = self.now();
        let mut part = self.part.borrow_mut();
        let (meter, before) = part.get_or_insert((TokenBucket::new(burst, now), 0));
        meter.refill(now, *before);
        *before = rate;
    }

    pub(super) fn free(&self) {
        self.part.replace(None);
    }

    /// Ready once a call may be made.
    pub async fn acquire(&self, deadlines: &Rc<Deadlines>) {
        self.wanted.set(self.wanted.get() + 1);
        let _waits = Waiting::one(&self.waiting);
        loop {
            let now = self.now();
            let there = self.part.borrow_mut().as_mut().is_none_or(|(meter, rate)| {
                meter.refill(now, *rate);
                meter.take()
            });
            if there {
                return self.used.set(self.used.get() + 1);
            }
            deadlines.after(LISTS).await;
        }
    }

    pub(super) fn done(&self) -> Usage {
        // Guards against a call whose first asking was lost, or answered with nothing: what still waits is wanted on.
        Usage { wanted: self.wanted.take().max(self.waiting.get()), used: self.used.take() }
    }
}
