//! From dark to serving: each step with what it waits for, for how long, and what then.

use crate::disk_trust::Disk;
use crate::Micros;
use std::fmt;

/// Where a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// Nothing has begun.
    Dark,
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

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Dark => "dark",
            Step::Reading => "reading",
            Step::Asking => "asking",
            Step::CatchingUp => "catching up",
            Step::Guarded => "guarded",
            Step::Serving => "serving",
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
    pub outlive: Micros,
}

/// Something that was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Observation {
    /// The disk has been read.
    Read(Disk),
    /// Discovery's list has come in this life, with so many servers.
    Listed(usize),
    /// All peers that must be asked for what they know have answered.
    Peers,
    /// All that was open on the disk has been settled, and what peers said is taken in.
    CaughtUp,
    /// There is an epoch of this life to act under, or none any more.
    Epoch(bool),
    /// An operator lets it go on from that step.
    Release(Step),
}

/// One thing that happened, for the log: from where to where, and why.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Moved {
    /// The step that it left.
    pub from: Step,
    /// The step that it is in.
    pub to: Step,
    /// Why.
    pub why: &'static str,
    /// An operator did it.
    pub by_hand: bool,
}

/// A node on its way back.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Return {
    limits: Limits,
    step: Step,
    since: Micros,
    began: Micros,
    disk: Option<Disk>,
    servers: usize,
    peers: bool,
    caught_up: bool,
    epoch: bool,
    /// An operator has said that what may be missing on this disk does not matter.
    excused: bool,
}

impl Return {
    /// One that begins now.
    pub fn new(limits: Limits, now: Micros) -> Return {
        Return {
            limits,
            step: Step::Dark,
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
    pub fn step(&self) -> Step {
        self.step
    }

    /// What may be served.
    pub fn admits(&self) -> Admits {
        match self.step {
            Step::Guarded if self.servers > 0 => Admits::Repeatable,
            Step::Serving if self.servers > 0 => Admits::All,
            _ => Admits::Nothing,
        }
    }

    /// What it waits for, in words for operators; `None` once it serves all.
    pub fn waits_for(&self, now: Micros) -> Option<&'static str> {
        Some(match self.step {
            Step::Dark => "its beginning",
            Step::Reading => "its disk",
            Step::Asking if self.servers == 0 => "discovery's list",
            Step::Asking => "its peers",
            Step::CatchingUp => "what peers said to be taken in",
            Step::Guarded | Step::Serving if self.servers == 0 => "servers",
            Step::Guarded if !self.is_whole() && !self.excused => {
                "an operator: what must not run twice may be missing on its disk"
            }
            Step::Guarded if !self.peers => "its peers: they may know what must not run twice",
            Step::Guarded if !self.epoch => "an epoch of this life",
            Step::Guarded if now < self.free() => "what an earlier life may still act under to be over",
            Step::Guarded => "its turn",
            Step::Serving => return None,
        })
    }

    fn is_whole(&self) -> bool {
        self.disk.is_some_and(Disk::is_whole)
    }

    /// From when on nothing of an earlier life can be acted under.
    fn free(&self) -> Micros {
        self.began + self.limits.outlive
    }

    /// Something was learned.
    pub fn learn(&mut self, updates: Observation, now: Micros) -> Vec<Moved> {
        let mut moved = Vec::new();
        match updates {
            Observation::Read(disk) => self.disk = Some(disk),
            Observation::Listed(servers) => self.servers = servers,
            Observation::Peers => self.peers = true,
            Observation::CaughtUp => self.caught_up = true,
            Observation::Epoch(there) => self.epoch = there,
            Observation::Release(step) if step == self.step => moved.extend(self.release(now)),
            // A word for a step that it has left meanwhile.
            Observation::Release(_) => {}
        }
        moved.extend(self.pass(now));
        moved
    }

    /// An operator lets it go on. What must not run twice still waits for its epoch, and for what an earlier one could do.
    fn release(&mut self, now: Micros) -> Option<Moved> {
        let next = match self.step {
            Step::Dark | Step::Serving => return None,
            Step::Reading => {
                self.disk = self.disk.or(Some(Disk::Lost));
                Step::Asking
            }
            Step::Asking => Step::CatchingUp,
            Step::CatchingUp => Step::Guarded,
            Step::Guarded => {
                (self.excused, self.peers) = (true, true);
                return Some(Moved {
                    from: self.step,
                    to: self.step,
                    why: "what may be missing is excused",
                    by_hand: true,
                });
            }
        };
        Some(self.go(next, now, "released", true))
    }

    fn go(&mut self, to: Step, now: Micros, why: &'static str, by_hand: bool) -> Moved {
        let from = std::mem::replace(&mut self.step, to);
        self.since = now;
        Moved { from, to, why, by_hand }
    }

    /// Time has passed. All steps that it has gone on.
    pub fn pass(&mut self, now: Micros) -> Vec<Moved> {
        let mut all = Vec::new();
        while let Some((to, why)) = self.next(now) {
            all.push(self.go(to, now, why, false));
        }
        all
    }

    fn next(&mut self, now: Micros) -> Option<(Step, &'static str)> {
        let late = |limit: Micros| now >= self.since + limit;
        match self.step {
            Step::Dark => Some((Step::Reading, "it has begun")),
            Step::Reading if self.disk.is_some() => Some((Step::Asking, "its disk is read")),
            Step::Reading if late(self.limits.reading) => {
                self.disk = Some(Disk::Lost);
                Some((Step::Asking, "its disk takes too long and is taken for lost"))
            }
            Step::Asking if self.servers > 0 && self.peers => {
                Some((Step::CatchingUp, "peers and discovery have answered"))
            }
            // Without peers what may be repeated is served all the same; without a list nobody can be.
            Step::Asking if self.servers > 0 && late(self.limits.asking) => {
                Some((Step::CatchingUp, "peers have not answered in time"))
            }
            Step::CatchingUp if self.caught_up => Some((Step::Guarded, "all is taken in")),
            Step::CatchingUp if late(self.limits.catching_up) => {
                Some((Step::Guarded, "taking in takes too long; what may be repeated need not wait"))
            }
            Step::Guarded if self.may_all(now) => {
                Some((Step::Serving, "an epoch of this life, and nothing older can be acted under"))
            }
            // An epoch that is gone takes what must not run twice with it.
            Step::Serving if !self.epoch => Some((Step::Guarded, "its epoch is gone")),
            _ => None,
        }
    }

    fn may_all(&self, now: Micros) -> bool {
        self.epoch && self.peers && self.caught_up && (self.is_whole() || self.excused) && now >= self.free()
    }

    /// When [`Return::pass`] has something to do at the latest.
    pub fn due(&self) -> Option<Micros> {
        match self.step {
            Step::Dark => Some(self.since),
            Step::Reading => Some(self.since + self.limits.reading),
            Step::Asking => Some(self.since + self.limits.asking),
            Step::CatchingUp => Some(self.since + self.limits.catching_up),
            Step::Guarded => Some(self.free()),
            Step::Serving => None,
        }
    }
}
