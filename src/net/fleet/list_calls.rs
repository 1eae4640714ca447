//! Limits this node's discovery calls to its share of the fleet's quota.

use crate::net::deadlines::Deadlines;
use shorepath_quota::client::Usage;
use shorepath_quota::rate_limiter::TokenBucket;
use shorepath_quota::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval after which a call that found no quota unit tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Limits this node's discovery calls to its share of the fleet's quota; unlimited until a rate is set.
#[derive(Debug, Default)]
pub struct DiscoveryCallLimit {
    pub(super) limit: RefCell<Option<(TokenBucket, u64)>>,
    pub(super) origin: Cell<Option<Instant>>,
    pub(super) wanted: Cell<u64>,
    pub(super) used: Cell<u64>,
    /// Number of calls that wait for a quota unit.
    pub(super) waiting: Cell<u64>,
}

/// Counts a call as waiting until it is dropped.
pub(super) struct WaitingCall<'a>(&'a Cell<u64>);

impl<'a> WaitingCall<'a> {
    pub(super) fn start(count: &'a Cell<u64>) -> Self {
        count.set(count.get() + 1);
        WaitingCall(count)
    }
}

impl Drop for WaitingCall<'_> {
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

    pub(super) fn set_rate(&self, rate: u64, burst: Micros) {
        let now = self.now();
        let mut limit = self.limit.borrow_mut();
        let (bucket, current_rate) = limit.get_or_insert((TokenBucket::new(burst, now), 0));
        bucket.refill(now, *current_rate);
        *current_rate = rate;
    }

    pub(super) fn remove_limit(&self) {
        self.limit.replace(None);
    }

    /// Waits until a call may be made, and takes a quota unit for it.
    pub async fn acquire(&self, deadlines: &Rc<Deadlines>) {
        self.wanted.set(self.wanted.get() + 1);
        let _waiting = WaitingCall::start(&self.waiting);
        loop {
            let now = self.now();
            let taken = self.limit.borrow_mut().as_mut().is_none_or(|(bucket, rate)| {
                bucket.refill(now, *rate);
                bucket.take()
            });
            if taken {
                return self.used.set(self.used.get() + 1);
            }
            deadlines.after(RETRY_INTERVAL).await;
        }
    }

    pub(super) fn take_usage(&self) -> Usage {
        // Guards against a lost or unanswered request for quota: a call that still waits is requested again.
        Usage { wanted: self.wanted.take().max(self.waiting.get()), used: self.used.take() }
    }
}
