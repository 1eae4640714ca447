//! All deadlines of the node, in one sorted map behind a single runtime timer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The pending deadlines. All timeouts of the node wait here, as long as [`Deadlines::sweep`] runs.
#[derive(Debug, Default)]
pub struct Deadlines {
    wakers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    next_number: std::cell::Cell<u64>,
    /// Notified when a deadline before all others is added.
    new_earliest: Notify,
}

impl Deadlines {
    /// Returns whether no deadline is pending.
    pub fn is_empty(&self) -> bool {
        self.wakers.borrow().is_empty()
    }

    /// Returns a future that is ready at that time. Dropping it removes the deadline.
    pub fn at(self: &Rc<Self>, when: Instant) -> Deadline {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        Deadline { key: (when, number), deadlines: self.clone() }
    }

    /// Returns a future that is ready after that duration. Dropping it removes the deadline.
    pub fn after(self: &Rc<Self>, duration: Duration) -> Deadline {
        self.at(Instant::now() + duration)
    }

    /// Wakes the tasks whose deadlines have passed, for as long as the node runs.
    pub async fn sweep(&self) {
        loop {
            let now = Instant::now();
            let next = loop {
                let first = self.wakers.borrow().first_key_value().map(|(key, _)| *key);
                match first {
                    Some(key) if key.0 <= now => {
                        let waker = self.wakers.borrow_mut().remove(&key);
                        waker.into_iter().for_each(Waker::wake);
                    }
                    other => break other.map(|key| key.0),
                }
            };
            // Without any deadline, any distant time will do.
            let far_future = now + Duration::from_secs(3600);
            tokio::select! {
                () = tokio::time::sleep_until(next.unwrap_or(far_future).into()) => {}
                () = self.new_earliest.notified() => {}
            }
        }
    }
}

/// A future that is ready once its time has come.
#[derive(Debug)]
pub struct Deadline {
    key: (Instant, u64),
    deadlines: Rc<Deadlines>,
}

impl Future for Deadline {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.key.0 {
            return Poll::Ready(());
        }
        let mut wakers = self.deadlines.wakers.borrow_mut();
        let is_earliest = wakers.first_key_value().is_none_or(|(first, _)| self.key < *first);
        wakers.insert(self.key, cx.waker().clone());
        if is_earliest {
            self.deadlines.new_earliest.notify_one();
        }
        Poll::Pending
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        self.deadlines.wakers.borrow_mut().remove(&self.key);
    }
}
