//! What becomes of a request that must not run twice: it is sent once, under an epoch that no older grant can outlive, after its
//! intent is on the disk; one that may have run is never sent again, by whomever it is asked again.

use std::collections::BTreeMap;

/// What is known of a request, or of what it is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestState {
    /// A peer has asked about it to send it itself: it is not sent from here.
    Ceded,
    /// It was about to be sent: it may have run.
    MayHaveRun,
    /// It had that final answer, by its status.
    Answered(u16),
}

/// What becomes of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Write its intent, and send it once that is on the disk.
    Send,
    /// Answer as it was answered.
    Replay(u16),
    /// Answer that it failed: it may have run.
    Failed,
    /// Deny it; asking again is harmless. Nothing of this kind is sent now.
    Reject,
}

/// What one node knows of requests that must not run twice. Keys are what repeats are known by: a request's id, and what it
/// is about where it says so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Guard {
    known: BTreeMap<String, RequestState>,
    /// It acts under this epoch, if it may act at all.
    epoch: Option<u64>,
    /// The greatest that it ever acted under.
    floor: u64,
}

impl Guard {
    /// One that begins with what the disk holds: what was about to be done and is not settled may have run.
    pub fn new(
        open: impl IntoIterator<Item = String>,
        answered: impl IntoIterator<Item = (String, u16)>,
        floor: u64,
    ) -> Guard {
        let mut known: BTreeMap<String, RequestState> =
            open.into_iter().map(|k| (k, RequestState::MayHaveRun)).collect();
        known.extend(answered.into_iter().map(|(k, status)| (k, RequestState::Answered(status))));
        Guard { known, epoch: None, floor }
    }

    /// A peer knows that of a key.
    pub fn merge(&mut self, key: &str, what: RequestState) {
        let known = self.known.entry(key.to_string()).or_insert(what);
        // A final answer says more than that something may have run.
        *known = (*known).max(what);
    }

    /// The fleet has an epoch in which it may act, or none any more. One that is not newer than what it ever acted under was
    /// given before the loss.
    pub fn set_epoch(&mut self, epoch: Option<u64>) -> bool {
        self.epoch = epoch.filter(|e| *e > self.floor);
        self.epoch.is_some()
    }

    /// The epoch that it acts under, which goes with each intent.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// What becomes of a request with those keys; `peers` is whether all who may know of them have been asked.
    pub fn decide(&self, keys: &[&str], peers: bool) -> Decision {
        let known = keys.iter().filter_map(|k| self.known.get(*k)).max();
        match known {
            Some(RequestState::Answered(status)) => Decision::Replay(*status),
            Some(RequestState::MayHaveRun) => Decision::Failed,
            Some(RequestState::Ceded) => Decision::Reject,
            None if self.epoch.is_some() && peers => Decision::Send,
            None => Decision::Reject,
        }
    }

    /// Its intent is on the disk: from now on it may have run.
    pub fn record_intent(&mut self, keys: &[&str]) {
        for key in keys {
            self.known.insert(key.to_string(), RequestState::MayHaveRun);
        }
    }

    /// It never ran, which its server has proved: it may be sent, here or elsewhere.
    pub fn record_never_ran(&mut self, keys: &[&str]) {
        for key in keys {
            if self.known.get(*key) == Some(&RequestState::MayHaveRun) {
                self.known.remove(*key);
            }
        }
    }

    /// It has its final answer.
    pub fn record_answer(&mut self, keys: &[&str], status: u16) {
        for key in keys {
            self.merge(key, RequestState::Answered(status));
        }
    }

    /// A peer asks about a key, to send what it stands for itself: what is known of it. Where nothing is, it is the peer's from now
    /// on, so that two that ask each other at once do not both send.
    pub fn cede(&mut self, key: &str) -> Option<RequestState> {
        let known = *self.known.entry(key.to_string()).or_insert(RequestState::Ceded);
        (known != RequestState::Ceded).then_some(known)
    }

    /// What is known of a key.
    pub fn state(&self, key: &str) -> Option<RequestState> {
        self.known.get(key).copied()
    }
}
