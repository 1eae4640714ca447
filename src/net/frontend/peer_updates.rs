//! What the other process of this node has to learn of the request ids here during a hot restart.

use super::used_ids::UsedIds;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// Most replies that wait to be sent.
const MAX_REPLIES: usize = 1024;

/// How an id has changed since the other process was last sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    Taken,
    Freed,
}

/// The changes that the other process has not been sent. There is at most one for each id that is open here or that the other process
/// takes for open, so that a process which reads nothing makes them neither grow without end nor get lost.
#[derive(Debug, Default)]
pub struct PeerUpdates {
    pending: RefCell<HashMap<Rc<str>, Change>>,
    replies: RefCell<VecDeque<String>>,
    /// Number of the next used id to send.
    next_used: Cell<u64>,
    changed: Notify,
}

impl PeerUpdates {
    /// Waits until there may be another update.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that an id is in use from now on.
    pub(super) fn take(&self, id: Rc<str>) {
        self.record(id, Change::Taken);
    }

    /// Records that an id is no longer in use.
    pub(super) fn free(&self, id: Rc<str>) {
        self.record(id, Change::Freed);
    }

    /// Queues a reply. One too many is dropped: the other process then refuses its request.
    pub(super) fn reply(&self, line: String) {
        let mut replies = self.replies.borrow_mut();
        if replies.len() < MAX_REPLIES {
            replies.push_back(line);
        }
        self.changed.notify_one();
    }

    fn record(&self, id: Rc<str>, change: Change) {
        let mut pending = self.pending.borrow_mut();
        match pending.get(&id) {
            // The other process has not been sent the change before, which this one undoes.
            Some(before) if *before != change => drop(pending.remove(&id)),
            _ => drop(pending.insert(id, change)),
        }
        self.changed.notify_one();
    }

    /// Returns the next line to send to the other process, if there is one.
    pub(super) fn next_line(&self, used: &UsedIds) -> Option<String> {
        let reply = self.replies.borrow_mut().pop_front();
        reply.or_else(|| self.next_open_change()).or_else(|| self.next_used(used))
    }

    /// Removes a change of the open ids and returns the line that reports it.
    fn next_open_change(&self) -> Option<String> {
        let mut pending = self.pending.borrow_mut();
        let id = pending.keys().next()?.clone();
        let name = match pending.remove(&id)? {
            Change::Taken => "take",
            Change::Freed => "free",
        };
        Some(format!("{name} {id}"))
    }

    /// Returns the line that reports the next used id.
    fn next_used(&self, used: &UsedIds) -> Option<String> {
        let (id, next) = used.at_or_after(self.next_used.get())?;
        self.next_used.set(next);
        Some(format!("used {id}"))
    }
}
