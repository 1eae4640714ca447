//! What goes wrong with servers, without any I/O: the emulator and the stand-ins on sockets share it.

use super::draw::{stream, Purpose};
use super::server::Server;
use crate::scenario::{Fault, FaultKind, Scenario};
use rand::RngExt;
use shorepath_scheduler::*;

/// A moment of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It begins.
    Begins,
    /// What drained is gone.
    Drained,
    /// It goes on or off, by its own period.
    Turns,
    /// It ends.
    Ends,
}

/// What a step of a fault calls for at one server, beyond what has changed in its record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effects {
    /// Its process is gone: what it held is lost, with a word (connections are reset) or without.
    pub dies: Option<Silently>,
    /// Its process has started again, cold.
    pub starts: bool,
    /// It can be reached again.
    pub mended: bool,
    /// Discovery has something to tell.
    pub announce: bool,
}

/// Whether the network says nothing of a process that is gone.
pub type Silently = bool;

/// Whom a fault strikes, in the order of their numbers.
pub fn struck(sc: &Scenario, servers: &[Server], index: usize) -> Vec<u32> {
    let f = &sc.faults[index];
    let mut rng = stream(sc.seed, Purpose::Fault(index as u32));
    let there = |s: &u32| f.zone.is_none_or(|z| servers[*s as usize].make.zone as usize == z);
    let mut all: Vec<u32> = (0..servers.len() as u32).filter(there).collect();
    for k in (1..all.len()).rev() {
        all.swap(k, rng.random_range(0..=k));
    }
    let count = (f.part * all.len() as f64).round() as usize;
    all.truncate(count.max(usize::from(f.part > 0.0)));
    all.sort_unstable();
    all
}

/// The steps of a fault and when they come, counted from the start of the scenario, up to that time.
pub fn steps(f: &Fault, until: Micros) -> Vec<(Micros, Step)> {
    let end = f.at.saturating_add(f.length);
    let mut all = vec![(f.at, Step::Begins)];
    if f.kind == FaultKind::Shrink {
        all.push((f.at + f.drain.min(f.length), Step::Drained));
    }
    if f.kind == FaultKind::Neighbour && f.every > 0 {
        let turns = (1..).map(|k| f.at + k * f.every).take_while(|at| *at < end.min(until));
        all.extend(turns.map(|at| (at, Step::Turns)));
    }
    all.push((end, Step::Ends));
    all.retain(|s| s.0 <= until);
    all
}

/// Let a step of a fault do its part to one of those that it strikes. The server's work has to be brought up to
/// `now` before; states that exclude service are counted, so that faults compose.
pub fn strike(s: &mut Server, f: &Fault, index: u32, step: Step, now: Micros) -> Effects {
    let mut effects = Effects::default();
    let mut down = |s: &mut Server, silently: Silently| {
        s.down += 1;
        effects.dies = (s.down == 1).then_some(silently);
        effects.announce = true;
    };
    match (f.kind, step) {
        (FaultKind::Crash, Step::Begins) | (FaultKind::Shrink, Step::Drained) => down(s, false),
        (FaultKind::ZoneLoss, Step::Begins) => {
            s.cut += 1;
            down(s, true);
        }
        (FaultKind::Shrink, Step::Begins) => {
            s.draining += 1;
            effects.announce = true;
        }
        (FaultKind::Cut, Step::Begins) => s.cut += 1,
        (FaultKind::Pause, Step::Begins) => s.paused += 1,
        (FaultKind::Pause, Step::Ends) => s.paused -= 1,
        (FaultKind::Slow, Step::Begins) => s.factors.push((index, 1.0 / f.size)),
        (FaultKind::Neighbour, Step::Begins) => s.factors.push((index, 1.0 - f.size)),
        (FaultKind::Neighbour, Step::Turns) => match s.factors.iter().position(|x| x.0 == index) {
            Some(on) => {
                s.factors.remove(on);
            }
            None => s.factors.push((index, 1.0 - f.size)),
        },
        (FaultKind::Slow | FaultKind::Neighbour, Step::Ends) => s.factors.retain(|x| x.0 != index),
        (FaultKind::BadRelease, Step::Begins) => s.failing.push((index, f.size)),
        (FaultKind::BadRelease, Step::Ends) => s.failing.retain(|x| x.0 != index),
        (FaultKind::Crash | FaultKind::Shrink | FaultKind::ZoneLoss | FaultKind::Cut, Step::Ends) => {
            if matches!(f.kind, FaultKind::Cut | FaultKind::ZoneLoss) {
                s.cut -= 1;
                effects.mended = s.cut == 0;
            }
            s.draining -= u32::from(f.kind == FaultKind::Shrink);
            if f.kind != FaultKind::Cut {
                s.down -= 1;
                effects.starts = s.down == 0;
                effects.announce = effects.starts;
            }
            if effects.starts {
                s.born = now;
            }
        }
        _ => {}
    }
    effects
}

/// A server's entry in the list.
pub fn member(sc: &Scenario, server: u32, s: &Server) -> Endpoint {
    let kind = &sc.servers.kinds[s.make.kind as usize];
    let standing = match (s.down, s.draining) {
        (0, 0) => EndpointState::Live,
        (0, _) => EndpointState::Draining,
        _ => EndpointState::Removed,
    };
    Endpoint {
        id: EndpointId(server),
        name_hash: u64::from(server),
        kind: KindId(s.make.kind),
        zone: ZoneId(s.make.zone),
        cell: 0,
        // The registered size: cores at the middle of the kind's speeds.
        capacity: f64::from(kind.cores) * (kind.speed.0 + kind.speed.1) / 2.0,
        state: standing,
        started_at: s.born,
    }
}
