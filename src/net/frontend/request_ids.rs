//! The ids of requests that are open or must not come again, shared with the other process of this node during a hot restart.

use super::confirmations::{Confirmations, PeerReply};
use super::peer_updates::PeerUpdates;
use super::used_ids::UsedIds;
use crate::net::deadlines::Deadlines;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::fmt;
use std::ops::Deref;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a predecessor may take to reply. It may be held up for some tenths of a second.
const PEER_REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Least size of the updates that are sent at once, in bytes, if there are as many.
const UPDATE_BATCH_BYTES: usize = 4 * 1024;

/// Whether a request may run again after another one with its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again is harmless.
    Allowed,
    /// It must not run if a request with its id may have run.
    Forbidden,
}

/// Why a request id can't be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimError {
    /// Another request with the id is open, or an attempt of it is in flight.
    InUse,
    /// A request with the id may have run, and must not run again.
    MayHaveRun,
    /// The predecessor of this process has not replied whether it uses the id.
    Unconfirmed,
}

/// The ids of open requests, and of ended ones that must not run again.
#[derive(Debug)]
pub struct RequestIds {
    local: HashSet<Rc<str>>,
    /// Ids of open requests of the other process.
    remote: HashSet<String>,
    used: UsedIds,
    /// What the other process has to learn; `None` if there is none.
    peer: Option<Rc<PeerUpdates>>,
    /// The questions to the predecessor of this process; `None` if there is none.
    predecessor: Option<Confirmations>,
}

impl RequestIds {
    /// Creates the ids of a process that remembers ended requests in at most `max_used_bytes`.
    pub fn new(max_used_bytes: usize) -> Self {
        RequestIds {
            local: HashSet::new(),
            remote: HashSet::new(),
            used: UsedIds::new(max_used_bytes),
            peer: None,
            predecessor: None,
        }
    }

    /// Connects the other process: returns the updates to send to it, of the ids that are in use or used and of all later changes.
    pub fn connect_peer(ids: &RefCell<RequestIds>, is_predecessor: bool) -> Rc<PeerUpdates> {
        let updates = Rc::new(PeerUpdates::default());
        let mut ids = ids.borrow_mut();
        ids.predecessor = is_predecessor.then(Confirmations::default);
        ids.local.iter().for_each(|id| updates.take(id.clone()));
        ids.peer = Some(updates.clone());
        updates
    }

    /// Disconnects the other process. Its open requests may have run, so those that must not run twice stay refused.
    pub fn disconnect_peer(ids: &RefCell<RequestIds>) {
        let mut ids = ids.borrow_mut();
        (ids.peer, ids.predecessor) = (None, None);
        for id in std::mem::take(&mut ids.remote) {
            ids.used.insert(id.into(), Instant::now());
        }
    }

    /// Handles a line of the other process. Returns whether it was one about a request id.
    pub fn receive(&mut self, line: &str) -> bool {
        let Some((name, id)) = line.split_once(' ') else { return false };
        match name {
            "take" => self.taken_by_peer(id),
            "free" => drop(self.remote.remove(id)),
            "taken" => self.confirm(id, PeerReply::Free),
            "held" => self.confirm(id, PeerReply::InUse),
            "used" => {
                self.used.insert(id.into(), Instant::now());
                self.confirm(id, PeerReply::Used);
            }
            _ => return false,
        }
        true
    }

    /// Records that the other process has started a request with that id, and replies to a successor. Of two requests that come to both
    /// processes at once, the predecessor's goes on.
    fn taken_by_peer(&mut self, id: &str) {
        self.remote.insert(id.to_string());
        let Some(peer) = self.peer.as_ref().filter(|_| self.predecessor.is_none()) else { return };
        let name = if self.local.contains(id) {
            "held"
        } else if self.used.contains(id, Instant::now()) {
            "used"
        } else {
            "taken"
        };
        peer.reply(format!("{name} {id}"));
    }

    fn confirm(&mut self, id: &str, reply: PeerReply) {
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.reply(id, reply);
        }
    }

    /// Returns the next updates for the other process, a line each; `None` if there are none at present.
    pub fn next_updates(&self, updates: &PeerUpdates) -> Option<String> {
        let mut lines = String::new();
        while lines.len() < UPDATE_BATCH_BYTES {
            let line = updates.next_line(&self.used);
            let Some(line) = line else { break };
            if !lines.is_empty() {
                lines.push('\n');
            }
            lines.push_str(&line);
        }
        (!lines.is_empty()).then_some(lines)
    }

    fn release(&mut self, id: &Rc<str>, must_not_run_again: bool) {
        self.local.remove(id);
        if must_not_run_again {
            self.used.insert(id.clone(), Instant::now());
        }
        if let Some(peer) = &self.peer {
            peer.free(id.clone());
        }
    }
}

/// The exclusive use of a request id, until it is dropped: no other job has the id while this one is open or an attempt of it
/// is in flight. Guards against a client that sends the id of another request: a backend server would take both for one
/// request, and reject the second or answer it with the result of the first.
#[derive(Debug)]
pub struct Claim {
    id: Rc<str>,
    repeat: Repeat,
    may_have_run: Cell<bool>,
    registry: Rc<RefCell<RequestIds>>,
}

impl Claim {
    /// Claims an id.
    ///
    /// # Errors
    /// Fails if another request uses the id, or has used it and the request must not run again.
    pub fn acquire(
        id: &str,
        repeat: Repeat,
        registry: &Rc<RefCell<RequestIds>>,
    ) -> Result<Claim, ClaimError> {
        let mut ids = registry.borrow_mut();
        if repeat == Repeat::Forbidden && ids.used.contains(id, Instant::now()) {
            return Err(ClaimError::MayHaveRun);
        }
        if ids.remote.contains(id) || ids.local.contains(id) {
            return Err(ClaimError::InUse);
        }
        let id: Rc<str> = id.into();
        ids.local.insert(id.clone());
        if let Some(peer) = &ids.peer {
            peer.take(id.clone());
        }
        Ok(Claim { id, repeat, may_have_run: Cell::new(false), registry: registry.clone() })
    }

    /// Waits until the predecessor of this process, if there is one that replies, has replied that the request may run.
    ///
    /// # Errors
    /// Fails if the predecessor uses the id, a request with it may have run there, or it does not reply.
    pub async fn confirmed(&self, deadlines: &Rc<Deadlines>) -> Result<(), ClaimError> {
        if self.repeat == Repeat::Allowed {
            return Ok(());
        }
        let asked = self.registry.borrow_mut().predecessor.as_mut().and_then(|p| p.ask(&self.id));
        let Some(replied) = asked else { return Ok(()) };
        tokio::select! {
            biased;
            reply = replied => match reply {
                Ok(PeerReply::Free) => Ok(()),
                Ok(PeerReply::InUse) => Err(ClaimError::InUse),
                Ok(PeerReply::Used) => Err(ClaimError::MayHaveRun),
                // The predecessor has ended, and all that it has sent before was handled.
                Err(_) if self.registry.borrow_mut().used.contains(&self.id, Instant::now()) => {
                    Err(ClaimError::MayHaveRun)
                }
                Err(_) => Ok(()),
            },
            () = deadlines.after(PEER_REPLY_TIMEOUT) => {
                let mut ids = self.registry.borrow_mut();
                let should_have_replied = ids.predecessor.as_mut().is_some_and(|p| p.timed_out(&self.id));
                if should_have_replied { Err(ClaimError::Unconfirmed) } else { Ok(()) }
            }
        }
    }

    /// Records that an attempt of the request may have run.
    pub fn set_may_have_run(&self) {
        self.may_have_run.set(true);
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
        let must_not_run_again = self.may_have_run.get() && self.repeat == Repeat::Forbidden;
        self.registry.borrow_mut().release(&self.id, must_not_run_again);
    }
}
