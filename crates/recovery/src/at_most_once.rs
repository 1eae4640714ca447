//! Guards against running a request twice that must run at most once.
//!
//! A node sends such a request after its intent is on the disk, under an epoch newer than any earlier grant. A request that may
//! have run is never sent again, by any node.

use std::collections::BTreeMap;

/// What a node knows of the request under one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestState {
    /// A peer has asked for the key in order to send the request; this node doesn't send it.
    Ceded,
    /// An intent to send the request was written.
    MayHaveRun,
    /// The request has this final HTTP status.
    Answered(u16),
}

/// The next step for an at-most-once request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Write the intent; send the request once the intent is on the disk.
    Send,
    /// Repeat the final answer with this HTTP status.
    Replay(u16),
    /// Answer that the request failed and may have run.
    Failed,
    /// Reject the request unsent, so that a retry is harmless.
    Reject,
}

/// One node's knowledge of at-most-once requests.
///
/// A key identifies repeats: the request's id, or the idempotency key that it names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guard {
    states: BTreeMap<String, RequestState>,
    /// The epoch that the node may send under; `None` while it may not send.
    epoch: Option<u64>,
    /// The greatest epoch that the node ever acted under, as found on the disk.
    floor: u64,
}

impl Guard {
    /// Returns a guard with the disk's contents: the keys of `open` intents, final answers by key, and the greatest epoch used.
    pub fn new(
        open: impl IntoIterator<Item = String>,
        answered: impl IntoIterator<Item = (String, u16)>,
        floor: u64,
    ) -> Guard {
        let mut states: BTreeMap<String, RequestState> =
            open.into_iter().map(|k| (k, RequestState::MayHaveRun)).collect();
        states.extend(answered.into_iter().map(|(k, status)| (k, RequestState::Answered(status))));
        Guard { states, epoch: None, floor }
    }

    /// Merges a peer's knowledge of a key; a final answer takes precedence over `MayHaveRun`, and that over `Ceded`.
    pub fn merge(&mut self, key: &str, received: RequestState) {
        let state = self.states.entry(key.to_string()).or_insert(received);
        *state = (*state).max(received);
    }

    /// Sets or clears the epoch to send under, and returns whether the node may send.
    ///
    /// An epoch no newer than the greatest one used before is ignored: it was granted before the restart.
    pub fn set_epoch(&mut self, epoch: Option<u64>) -> bool {
        self.epoch = epoch.filter(|e| *e > self.floor);
        self.epoch.is_some()
    }

    /// Returns the epoch to store with each intent; `None` while the node may not send.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Decides on a request with these keys; `peers_asked` is whether every peer that may know of them has answered.
    pub fn decide(&self, keys: &[&str], peers_asked: bool) -> Decision {
        let state = keys.iter().filter_map(|k| self.states.get(*k)).max();
        match state {
            Some(RequestState::Answered(status)) => Decision::Replay(*status),
            Some(RequestState::MayHaveRun) => Decision::Failed,
            Some(RequestState::Ceded) => Decision::Reject,
            None if self.epoch.is_some() && peers_asked => Decision::Send,
            None => Decision::Reject,
        }
    }

    /// Records that the intent is on the disk, so that the request may have run.
    pub fn record_intent(&mut self, keys: &[&str]) {
        for key in keys {
            self.states.insert(key.to_string(), RequestState::MayHaveRun);
        }
    }

    /// Records the server's proof that the request never ran, which makes another attempt safe.
    pub fn record_never_ran(&mut self, keys: &[&str]) {
        for key in keys {
            if self.states.get(*key) == Some(&RequestState::MayHaveRun) {
                self.states.remove(*key);
            }
        }
    }

    /// Records the final HTTP status of a request.
    pub fn record_answer(&mut self, keys: &[&str], status: u16) {
        for key in keys {
            self.merge(key, RequestState::Answered(status));
        }
    }

    /// Answers a peer that wants to send the request with this key: the known state, or `None` if the key is ceded to the peer.
    ///
    /// Ceding guards against two nodes that ask each other at the same time and then both send.
    pub fn cede(&mut self, key: &str) -> Option<RequestState> {
        let state = *self.states.entry(key.to_string()).or_insert(RequestState::Ceded);
        (state != RequestState::Ceded).then_some(state)
    }

    /// Returns the state of a key; `None` if the node knows nothing of it.
    pub fn state(&self, key: &str) -> Option<RequestState> {
        self.states.get(key).copied()
    }
}
