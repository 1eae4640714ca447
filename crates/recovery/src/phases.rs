//! From dark to serving: each step with what it waits for, for how long, and what then.

use crate::disk_trust::DiskState;
use crate::Micros;
use std::fmt;

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Nothing has begun.
    NotStarted,
    /// It reads its disk.
    Reading,
    /// It asks peers and discovery.
    Asking,
    /// It takes in what they said.
    CatchingUp,
    /// It serves what may be repeated.
    Guarded,
    /// It serves all.
    Serving,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::NotStarted => "dark",
            Phase::Reading => "reading",
            Phase::Asking => "asking",
            Phase::CatchingUp => "catching up",
            Phase::Guarded => "guarded",
            Phase::Serving => "serving",
        })
    }
}

/// What may be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Admits {
    /// Nothing: the door says that it is not ready.
    Nothing,
    /// What may be repeated.
    Repeatable,
    /// All.
    All,
}

/// How long each step may take, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Reading the disk.
    pub reading: Micros,
    /// Until peers and discovery have answered.
    pub asking: Micros,
    /// Taking in what they said.
    pub catching_up: Micros,
    /// What an earlier life, or a fleet before the loss, may still act under: no request that must not run twice is sent before.
    pub grant_expiry: Micros,
}

/// Something that was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Observation {
    /// The disk has been read.
    DiskRead(DiskState),
    /// Discovery's list has come in this life, with so many servers.
    ServersListed(usize),
    /// All peers that must be asked for what they know have answered.
    PeersReplied,
    /// All that was open on the disk has been settled, and what peers said is taken in.
    CaughtUp,
    /// There is an epoch of this life to act under, or none any more.
    Epoch(bool),
    /// An operator lets it go on from that step.
    Release(Phase),
}

/// One thing that happened, for the log: from where to where, and why.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transition {
    /// The step that it left.
    pub from: Phase,
    /// The step that it is in.
    pub to: Phase,
    /// Why.
    pub reason: &'static str,
    /// An operator did it.
    pub by_operator: bool,
}

/// A node on its way back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    limits: Limits,
    phase: Phase,
    since: Micros,
    began: Micros,
    disk: Option<DiskState>,
    servers: usize,
    peers: bool,
    caught_up: bool,
    epoch: bool,
    /// An operator has said that what may be missing on this disk does not matter.
    excused: bool,
}

impl Recovery {
    /// One that begins now.
    pub fn new(limits: Limits, now: Micros) -> Recovery {
        Recovery {
            limits,
            phase: Phase::NotStarted,
            since: now,
            began: now,
            disk: None,
            servers: 0,
            peers: false,
            caught_up: false,
            epoch: false,
            excused: false,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What may be served.
    pub fn admits(&self) -> Admits {
        match self.phase {
            Phase::Guarded if self.servers > 0 => Admits::Repeatable,
            Phase::Serving if self.servers > 0 => Admits::All,
            _ => Admits::Nothing,
        }
    }

    /// What it waits for, in words for operators; `None` once it serves all.
    pub fn waits_for(&self, now: Micros) -> Option<&'static str> {
        Some(match self.phase {
            Phase::NotStarted => "its beginning",
            Phase::Reading => "its disk",
            Phase::Asking if self.servers == 0 => "discovery's list",
            Phase::Asking => "its peers",
            Phase::CatchingUp => "what peers said to be taken in",
            Phase::Guarded | Phase::Serving if self.servers == 0 => "servers",
            Phase::Guarded if !self.is_complete() && !self.excused => {
                "an operator: what must not run twice may be missing on its disk"
            }
            Phase::Guarded if !self.peers => "its peers: they may know what must not run twice",
            Phase::Guarded if !self.epoch => "an epoch of this life",
            Phase::Guarded if now < self.free() => "what an earlier life may still act under to be over",
            Phase::Guarded => "its turn",
            Phase::Serving => return None,
        })
    }

    fn is_complete(&self) -> bool {
        self.disk.is_some_and(DiskState::is_complete)
    }

    /// From when on nothing of an earlier life can be acted under.
    fn free(&self) -> Micros {
        self.began + self.limits.grant_expiry
    }

    /// Something was learned.
    pub fn observe(&mut self, updates: Observation, now: Micros) -> Vec<Transition> {
        let mut moved = Vec::new();
        match updates {
            Observation::DiskRead(disk) => self.disk = Some(disk),
            Observation::ServersListed(servers) => self.servers = servers,
            Observation::PeersReplied => self.peers = true,
            Observation::CaughtUp => self.caught_up = true,
            Observation::Epoch(there) => self.epoch = there,
            Observation::Release(phase) if phase == self.phase => moved.extend(self.release(now)),
            // A word for a step that it has left meanwhile.
            Observation::Release(_) => {}
        }
        moved.extend(self.advance(now));
        moved
    }

    /// An operator lets it go on. What must not run twice still waits for its epoch, and for what an earlier one could do.
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
                (self.excused, self.peers) = (true, true);
                return Some(Transition {
                    from: self.phase,
                    to: self.phase,
                    reason: "what may be missing is excused",
                    by_operator: true,
                });
            }
        };
        Some(self.go(next, now, "released", true))
    }

    fn go(&mut self, to: Phase, now: Micros, reason: &'static str, by_operator: bool) -> Transition {
        let from = std::mem::replace(&mut self.phase, to);
        self.since = now;
        Transition { from, to, reason, by_operator }
    }

    /// Time has passed. All steps that it has gone on.
    pub fn advance(&mut self, now: Micros) -> Vec<Transition> {
        let mut all = Vec::new();
        while let Some((to, reason)) = self.next(now) {
            all.push(self.go(to, now, reason, false));
        }
        all
    }

    fn next(&mut self, now: Micros) -> Option<(Phase, &'static str)> {
        let late = |limit: Micros| now >= self.since + limit;
        match self.phase {
            Phase::NotStarted => Some((Phase::Reading, "it has begun")),
            Phase::Reading if self.disk.is_some() => Some((Phase::Asking, "its disk is read")),
            Phase::Reading if late(self.limits.reading) => {
                self.disk = Some(DiskState::Lost);
                Some((Phase::Asking, "its disk takes too long and is taken for lost"))
            }
            Phase::Asking if self.servers > 0 && self.peers => {
                Some((Phase::CatchingUp, "peers and discovery have answered"))
            }
            // Without peers what may be repeated is served all the same; without a list nobody can be.
            Phase::Asking if self.servers > 0 && late(self.limits.asking) => {
                Some((Phase::CatchingUp, "peers have not answered in time"))
            }
            Phase::CatchingUp if self.caught_up => Some((Phase::Guarded, "all is taken in")),
            Phase::CatchingUp if late(self.limits.catching_up) => {
                Some((Phase::Guarded, "taking in takes too long; what may be repeated need not wait"))
            }
            Phase::Guarded if self.may_all(now) => {
                Some((Phase::Serving, "an epoch of this life, and nothing older can be acted under"))
            }
            // An epoch that is gone takes what must not run twice with it.
            Phase::Serving if !self.epoch => Some((Phase::Guarded, "its epoch is gone")),
            _ => None,
        }
    }

    fn may_all(&self, now: Micros) -> bool {
        self.epoch
            && self.peers
            && self.caught_up
            && (self.is_complete() || self.excused)
            && now >= self.free()
    }

    /// When [`Recovery::advance`] has something to do at the latest.
    pub fn due(&self) -> Option<Micros> {
        match self.phase {
            Phase::NotStarted => Some(self.since),
            Phase::Reading => Some(self.since + self.limits.reading),
            Phase::Asking => Some(self.since + self.limits.asking),
            Phase::CatchingUp => Some(self.since + self.limits.catching_up),
            Phase::Guarded => Some(self.free()),
            Phase::Serving => None,
        }
    }
}
