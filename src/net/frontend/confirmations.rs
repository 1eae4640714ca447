//! The questions of a process to its predecessor, which may have run a request with the same id.

use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;

/// What the predecessor knows of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerReply {
    /// No request with the id is open there or must not run again.
    Free,
    /// A request with the id is open there.
    InUse,
    /// A request with the id may have run there and must not run again.
    Used,
}

/// The ids that the predecessor was sent and has not replied to.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    waiting: HashMap<Rc<str>, oneshot::Sender<PeerReply>>,
    /// The predecessor has replied before.
    has_replied: bool,
    /// The predecessor did not reply in time and never has: it is of a version that doesn't.
    is_unsupported: bool,
}

impl Confirmations {
    /// Waits for the reply about an id; `None` if the predecessor doesn't reply.
    pub(super) fn ask(&mut self, id: &Rc<str>) -> Option<oneshot::Receiver<PeerReply>> {
        if self.is_unsupported {
            return None;
        }
        let (reply, replied) = oneshot::channel();
        self.waiting.insert(id.clone(), reply);
        Some(replied)
    }

    /// Passes on the predecessor's reply about an id.
    pub(super) fn reply(&mut self, id: &str, reply: PeerReply) {
        (self.has_replied, self.is_unsupported) = (true, false);
        if let Some(waiting) = self.waiting.remove(id) {
            // The receiver is dropped if the wait has just ended.
            let _ = waiting.send(reply);
        }
    }

    /// Ends the wait for a reply that has not come in time. Returns whether the predecessor should have replied.
    pub(super) fn timed_out(&mut self, id: &str) -> bool {
        self.waiting.remove(id);
        self.is_unsupported = !self.has_replied;
        self.has_replied
    }
}
