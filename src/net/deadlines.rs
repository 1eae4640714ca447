//! All deadlines of the node, in one sorted structure that is swept each turn.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The one place where the node waits for a time.
#[derive(Debug, Default)]
pub struct Deadlines {
    waiting: RefCell<BTreeMap<(Instant, u64), Waker>>,
    count: std::cell::Cell<u64>,
    earlier: Notify,
}

impl Deadlines {
    /// Whether nothing waits for a time.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// A future that is ready at that time; dropped, it is forgotten.
    pub fn at(self: &Rc<Self>, when: Instant) -> Due {
        let number = self.count.get();
        self.count.set(number + 1);
        Due { key: (when, number), all: self.clone() }
    }

    /// A future that is ready after that time.
    pub fn after(self: &Rc<Self>, length: Duration) -> Due {
        self.at(Instant::now() + length)
    }

    /// Wake what has come due, turn by turn, for as long as the node runs.
    pub async fn sweep(&self) {
        loop {
            let now = Instant::now();
            let next = loop {
                let first = self.waiting.borrow().first_key_value().map(|(key, _)| *key);
                match first {
                    Some(key) if key.0 <= now => {
                        let waker = self.waiting.borrow_mut().remove(&key);
                        waker.into_iter().for_each(Waker::wake);
                    }
                    other => break other.map(|key| key.0),
                }
            };
            // The only timer of the node.
            let nothing = now + Duration::from_secs(3600);
            tokio::select! {
                () = tokio::time::sleep_until(next.unwrap_or(nothing).into()) => {}
                () = self.earlier.notified() => {}
            }
        }
    }
}

/// Ready at its deadline.
#[derive(Debug)]
pub struct Due {
    key: (Instant, u64),
    all: Rc<Deadlines>,
}

impl Future for Due {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.key.0 {
            return Poll::Ready(());
        }
        let mut waiting = self.all.waiting.borrow_mut();
        let first = waiting.first_key_value().is_none_or(|(first, _)| self.key < *first);
        waiting.insert(self.key, cx.waker().clone());
        if first {
            self.all.earlier.notify_one();
        }
        Poll::Pending
    }
}

impl Drop for Due {
    fn drop(&mut self) {
        self.all.waiting.borrow_mut().remove(&self.key);
    }
}
