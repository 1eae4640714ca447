//! The phases of a node's recovery, from the start of the process to full service, with their conditions and timeouts.

use crate::disk_trust::DiskState;
use crate::Micros;
use std::fmt;

/// A phase of the recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// The recovery has not been started.
    NotStarted,
    /// Reads the node's disk.
    Reading,
    /// Waits for replies of peers and for discovery's server list.
    Asking,
    /// Settles open intents and applies the peers' replies.
    CatchingUp,
    /// Serves idempotent requests only.
    Guarded,
    /// Serves all requests.
    Serving,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::NotStarted => "dark", // the name on the operators' status page
            Phase::Reading => "reading",
            Phase::Asking => "asking",
            Phase::CatchingUp => "catching up",
            Phase::Guarded => "guarded",
            Phase::Serving => "serving",
        })
    }
}

/// The requests that a node admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Admits {
    /// No requests; the readiness check fails.
    Nothing,
    /// Idempotent requests only.
    Repeatable,
    /// Idempotent and at-most-once requests.
    All,
}

/// Timeouts of the phases, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Limit for reading the disk.
    pub reading: Micros,
    /// Limit for replies of peers and discovery.
    pub asking: Micros,
    /// Limit for applying the peers' replies.
    pub catching_up: Micros,
    /// Until grants from before the restart have expired; no at-most-once request is sent earlier.
    pub grant_expiry: Micros,
}

/// An input to [`Recovery::observe`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Observation {
    /// The disk was read and classified.
    DiskRead(DiskState),
    /// Discovery's list arrived in this process, with this number of servers.
    ServersListed(usize),
    /// Every required peer has replied.
    PeersReplied,
    /// Open intents on the disk are settled and the peers' replies are applied.
    CaughtUp,
    /// Whether this process holds an epoch to act under.
    Epoch(bool),
    /// An operator ends the wait in this phase.
    Release(Phase),
}

/// A change of phase, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transition {
    /// The previous phase.
    pub from: Phase,
    /// The new phase; equal to `from` if an operator only waived missing records.
    pub to: Phase,
    /// The cause, for operators.
    pub reason: &'static str,
    /// Whether an operator caused the change.
    pub by_operator: bool,
}

/// State machine of a node's recovery.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    limits: Limits,
    phase: Phase,
    phase_since: Micros,
    started: Micros,
    disk: Option<DiskState>,
    servers: usize,
    peers_replied: bool,
    caught_up: bool,
    epoch_held: bool,
    /// An operator has accepted that records may be missing on this disk.
    missing_accepted: bool,
}

impl Recovery {
    /// Returns a recovery that starts now.
    pub fn new(limits: Limits, now: Micros) -> Recovery {
        Recovery {
            limits,
            phase: Phase::NotStarted,
            phase_since: now,
            started: now,
            disk: None,
            servers: 0,
            peers_replied: false,
            caught_up: false,
            epoch_held: false,
            missing_accepted: false,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns which requests the node admits now; none while the server list is empty.
    pub fn admits(&self) -> Admits {
        match self.phase {
            Phase::Guarded if self.servers > 0 => Admits::Repeatable,
            Phase::Serving if self.servers > 0 => Admits::All,
            _ => Admits::Nothing,
        }
    }

    /// Describes for operators what the recovery waits for; `None` once all requests are served.
    pub fn waits_for(&self, now: Micros) -> Option<&'static str> {
        Some(match self.phase {
            Phase::NotStarted => "its beginning",
            Phase::Reading => "its disk",
            Phase::Asking if self.servers == 0 => "discovery's list",
            Phase::Asking => "its peers",
            Phase::CatchingUp => "what peers said to be taken in",
            Phase::Guarded | Phase::Serving if self.servers == 0 => "servers",
            Phase::Guarded if !self.is_complete() && !self.missing_accepted => {
                "an operator: what must not run twice may be missing on its disk"
            }
            Phase::Guarded if !self.peers_replied => "its peers: they may know what must not run twice",
            Phase::Guarded if !self.epoch_held => "an epoch of this life",
            Phase::Guarded if now < self.grants_expire_at() => {
                "what an earlier life may still act under to be over"
            }
            Phase::Guarded => "its turn",
            Phase::Serving => return None,
        })
    }

    fn is_complete(&self) -> bool {
        self.disk.is_some_and(DiskState::is_complete)
    }

    /// When the grants of earlier processes have expired.
    fn grants_expire_at(&self) -> Micros {
        self.started + self.limits.grant_expiry
    }

    /// Applies an observation and returns the phase changes that follow.
    pub fn observe(&mut self, observation: Observation, now: Micros) -> Vec<Transition> {
        let mut transitions = Vec::new();
        match observation {
            Observation::DiskRead(disk) => self.disk = Some(disk),
            Observation::ServersListed(servers) => self.servers = servers,
            Observation::PeersReplied => self.peers_replied = true,
            Observation::CaughtUp => self.caught_up = true,
            Observation::Epoch(held) => self.epoch_held = held,
            Observation::Release(phase) if phase == self.phase => transitions.extend(self.release(now)),
            // The node has left the released phase in the meantime.
            Observation::Release(_) => {}
        }
        transitions.extend(self.advance(now));
        transitions
    }

    /// Ends the wait in the current phase; at-most-once requests still wait for an epoch and for older grants to expire.
    fn release(&mut self, now: Micros) -> Option<Transition> {
        let next = match self.phase {
            Phase::NotStarted | Phase::Serving => return None,
            Phase::Reading => {
                self.disk = self.disk.or(Some(DiskState::Lost));
                Phase::Asking
            }
            Phase::Asking => Phase::CatchingUp,
            Phase::CatchingUp => Phase::Guarded,
            Phase::Guarded => {
                (self.missing_accepted, self.peers_replied) = (true, true);
                return Some(Transition {
                    from: self.phase,
                    to: self.phase,
                    reason: "an operator accepted that records may be missing",
                    by_operator: true,
                });
            }
        };
        Some(self.enter(next, now, "released by an operator", true))
    }

    fn enter(&mut self, to: Phase, now: Micros, reason: &'static str, by_operator: bool) -> Transition {
        let from = std::mem::replace(&mut self.phase, to);
        self.phase_since = now;
        Transition { from, to, reason, by_operator }
    }

    /// Enters each phase that is due at `now`, and returns the changes.
    pub fn advance(&mut self, now: Micros) -> Vec<Transition> {
        let mut transitions = Vec::new();
        while let Some((to, reason)) = self.next(now) {
            transitions.push(self.enter(to, now, reason, false));
        }
        transitions
    }

    fn next(&mut self, now: Micros) -> Option<(Phase, &'static str)> {
        let timed_out = |limit: Micros| now >= self.phase_since + limit;
        match self.phase {
            Phase::NotStarted => Some((Phase::Reading, "started")),
            Phase::Reading if self.disk.is_some() => Some((Phase::Asking, "the disk was read")),
            Phase::Reading if timed_out(self.limits.reading) => {
                self.disk = Some(DiskState::Lost);
                Some((Phase::Asking, "reading the disk timed out; the disk counts as lost"))
            }
            Phase::Asking if self.servers > 0 && self.peers_replied => {
                Some((Phase::CatchingUp, "peers and discovery have replied"))
            }
            // Idempotent requests need a server list, but no peers.
            Phase::Asking if self.servers > 0 && timed_out(self.limits.asking) => {
                Some((Phase::CatchingUp, "peers did not reply in time"))
            }
            Phase::CatchingUp if self.caught_up => Some((Phase::Guarded, "replies of peers were applied")),
            Phase::CatchingUp if timed_out(self.limits.catching_up) => Some((
                Phase::Guarded,
                "applying replies of peers timed out; idempotent requests need not wait",
            )),
            Phase::Guarded if self.may_serve_all(now) => {
                Some((Phase::Serving, "an epoch is held and earlier grants have expired"))
            }
            // At-most-once requests need an epoch.
            Phase::Serving if !self.epoch_held => Some((Phase::Guarded, "the epoch was lost")),
            _ => None,
        }
    }

    fn may_serve_all(&self, now: Micros) -> bool {
        self.epoch_held
            && self.peers_replied
            && self.caught_up
            && (self.is_complete() || self.missing_accepted)
            && now >= self.grants_expire_at()
    }

    /// Returns the latest time for the next call of [`Recovery::advance`]; `None` if none is needed.
    pub fn due(&self) -> Option<Micros> {
        match self.phase {
            Phase::NotStarted => Some(self.phase_since),
            Phase::Reading => Some(self.phase_since + self.limits.reading),
            Phase::Asking => Some(self.phase_since + self.limits.asking),
            Phase::CatchingUp => Some(self.phase_since + self.limits.catching_up),
            Phase::Guarded => Some(self.grants_expire_at()),
            Phase::Serving => None,
        }
    }
}
