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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deadlines_come_in_their_order_and_leave_nothing_behind() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let all = Rc::new(Deadlines::default());
            let sweeping = all.clone();
            tokio::task::spawn_local(async move { sweeping.sweep().await });
            let now = Instant::now();
            let order = Rc::new(RefCell::new(Vec::new()));
            // The earliest is asked for last, when the sweep waits for another already.
            let tasks = [30, 20, 10].map(|ms| {
                let (due, order) = (all.at(now + Duration::from_millis(ms)), order.clone());
                tokio::task::spawn_local(async move {
                    due.await;
                    order.borrow_mut().push(ms);
                })
            });
            drop(all.after(Duration::from_secs(9)));
            for task in tasks {
                task.await.unwrap();
            }
            assert_eq!(*order.borrow(), [10, 20, 30]);
            assert!(now.elapsed() >= Duration::from_millis(30));
            assert!(all.waiting.borrow().is_empty());
        });
    }
}
