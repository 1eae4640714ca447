//! The ids of open requests, shared with the other process of this node during a hot restart.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;
use tokio::sync::mpsc;
use tracing::warn;

/// Most messages that wait to be sent to the other process; enough for one id per connection.
const MAX_QUEUED_MESSAGES: usize = 4096;

/// The ids of open jobs.
#[derive(Debug, Default)]
pub struct RequestIds {
    pub(super) local: HashSet<String>,
    /// Ids of open jobs of the other process.
    pub(super) remote: HashSet<String>,
    /// Queue of messages to the other process, if it is connected.
    pub(super) peer_messages: Option<mpsc::Sender<String>>,
}

impl RequestIds {
    /// Connects the other process: returns the messages to send to it, `take ID` for each id that is in use and later becomes
    /// used, and `free ID` for each one that is released.
    pub fn connect_peer(ids: &RefCell<RequestIds>) -> mpsc::Receiver<String> {
        let (peer_messages, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let mut ids = ids.borrow_mut();
        ids.peer_messages = Some(peer_messages);
        ids.local.iter().for_each(|id| ids.send_to_peer("take", id));
        receiver
    }

    /// Disconnects the other process and releases its ids.
    pub fn disconnect_peer(ids: &RefCell<RequestIds>) {
        let mut ids = ids.borrow_mut();
        ids.peer_messages = None;
        ids.remote.clear();
    }

    /// Records that the other process has started (`open`) or ended a job with that id.
    pub fn set_remote(&mut self, id: &str, open: bool) {
        match open {
            true => self.remote.insert(id.to_string()),
            false => self.remote.remove(id),
        };
    }

    pub(super) fn send_to_peer(&self, message: &str, id: &str) {
        let Some(peer_messages) = &self.peer_messages else { return };
        if peer_messages.try_send(format!("{message} {id}")).is_err() {
            warn!(
                "could not queue a message to the other process: it may accept a request id that is in use"
            );
        }
    }
}

/// The exclusive use of a request id, until it is dropped: no other job has the id while this one is open or an attempt of it
/// is in flight. Guards against a client that sends the id of another request: a backend server would take both for one
/// request, and reject the second or answer it with the result of the first.
#[derive(Debug)]
pub struct Claim {
    pub(super) id: String,
    pub(super) registry: Rc<RefCell<RequestIds>>,
}

impl Claim {
    /// Claims an id; `None` if another job uses it.
    pub fn acquire(id: String, registry: &Rc<RefCell<RequestIds>>) -> Option<Claim> {
        let mut ids = registry.borrow_mut();
        let is_free = !ids.remote.contains(&id) && ids.local.insert(id.clone());
        is_free.then(|| {
            ids.send_to_peer("take", &id);
            Claim { id, registry: registry.clone() }
        })
    }
}

impl Deref for Claim {
    type Target = str;
    fn deref(&self) -> &str {
        &self.id
    }
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut ids = self.registry.borrow_mut();
        ids.local.remove(&self.id);
        ids.send_to_peer("free", &self.id);
    }
}
