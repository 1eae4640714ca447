//! The faults of servers, without any I/O, so that the simulator and the test servers on sockets share them.

use super::draw::{stream, Purpose};
use super::server::Server;
use crate::scenario::{Fault, FaultKind, Scenario};
use rand::RngExt;
use shorepath_scheduler::*;

/// A step in the course of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The fault begins.
    Begins,
    /// The time for draining is over, and the servers stop.
    Drained,
    /// A periodic fault switches on or off.
    Toggles,
    /// The fault ends.
    Ends,
}

/// What the caller has to do after a step of a fault has changed a server's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effects {
    /// The process dies and loses its jobs. `Some(true)` if it dies silently, `Some(false)` if its connections are
    /// reset.
    pub dies: Option<Silently>,
    /// The process has started again and is warming up.
    pub restarts: bool,
    /// The network to the server works again.
    pub reachable_again: bool,
    /// Discovery has to announce the server's new state.
    pub announce: bool,
}

/// Whether a process dies without its connections being reset.
pub type Silently = bool;

/// Draws the servers that a fault affects, in the order of their indices.
pub fn affected_servers(sc: &Scenario, servers: &[Server], index: usize) -> Vec<u32> {
    let f = &sc.faults[index];
    let mut rng = stream(sc.seed, Purpose::Fault(index as u32));
    let in_zone = |s: &u32| f.zone.is_none_or(|z| servers[*s as usize].spec.zone as usize == z);
    let mut all: Vec<u32> = (0..servers.len() as u32).filter(in_zone).collect();
    for k in (1..all.len()).rev() {
        all.swap(k, rng.random_range(0..=k));
    }
    let count = (f.part * all.len() as f64).round() as usize;
    all.truncate(count.max(usize::from(f.part > 0.0)));
    all.sort_unstable();
    all
}

/// Returns the steps of a fault up to the time `until`, with their times since the start of the scenario.
pub fn steps(f: &Fault, until: Micros) -> Vec<(Micros, Step)> {
    let end = f.at.saturating_add(f.length);
    let mut all = vec![(f.at, Step::Begins)];
    if f.kind == FaultKind::Shrink {
        all.push((f.at + f.drain.min(f.length), Step::Drained));
    }
    if f.kind == FaultKind::Neighbour && f.every > 0 {
        let toggles = (1..).map(|k| f.at + k * f.every).take_while(|at| *at < end.min(until));
        all.extend(toggles.map(|at| (at, Step::Toggles)));
    }
    all.push((end, Step::Ends));
    all.retain(|s| s.0 <= until);
    all
}

/// Applies a step of a fault to one of the servers that it affects. The caller has to advance the server to `now`
/// first. States are counted rather than set, so that faults may overlap.
pub fn apply_step(s: &mut Server, f: &Fault, index: u32, step: Step, now: Micros) -> Effects {
    let mut effects = Effects::default();
    let mut down = |s: &mut Server, silently: Silently| {
        s.down += 1;
        effects.dies = (s.down == 1).then_some(silently);
        effects.announce = true;
    };
    match (f.kind, step) {
        (FaultKind::Crash, Step::Begins) | (FaultKind::Shrink, Step::Drained) => down(s, false),
        (FaultKind::ZoneLoss, Step::Begins) => {
            s.unreachable += 1;
            down(s, true);
        }
        (FaultKind::Shrink, Step::Begins) => {
            s.draining += 1;
            effects.announce = true;
        }
        (FaultKind::Cut, Step::Begins) => s.unreachable += 1,
        (FaultKind::Pause, Step::Begins) => s.paused += 1,
        (FaultKind::Pause, Step::Ends) => s.paused -= 1,
        (FaultKind::Slow, Step::Begins) => s.speed_factors.push((index, 1.0 / f.size)),
        (FaultKind::Neighbour, Step::Begins) => s.speed_factors.push((index, 1.0 - f.size)),
        (FaultKind::Neighbour, Step::Toggles) => match s.speed_factors.iter().position(|x| x.0 == index) {
            Some(on) => {
                s.speed_factors.remove(on);
            }
            None => s.speed_factors.push((index, 1.0 - f.size)),
        },
        (FaultKind::Slow | FaultKind::Neighbour, Step::Ends) => s.speed_factors.retain(|x| x.0 != index),
        (FaultKind::BadRelease, Step::Begins) => s.failure_shares.push((index, f.size)),
        (FaultKind::BadRelease, Step::Ends) => s.failure_shares.retain(|x| x.0 != index),
        (FaultKind::Crash | FaultKind::Shrink | FaultKind::ZoneLoss | FaultKind::Cut, Step::Ends) => {
            if matches!(f.kind, FaultKind::Cut | FaultKind::ZoneLoss) {
                s.unreachable -= 1;
                effects.reachable_again = s.unreachable == 0;
            }
            s.draining -= u32::from(f.kind == FaultKind::Shrink);
            if f.kind != FaultKind::Cut {
                s.down -= 1;
                effects.restarts = s.down == 0;
                effects.announce = effects.restarts;
            }
            if effects.restarts {
                s.started_at = now;
            }
        }
        _ => {}
    }
    effects
}

/// Returns a server's entry in discovery's endpoint list.
pub fn endpoint_entry(sc: &Scenario, server: u32, s: &Server) -> Endpoint {
    let kind = &sc.servers.kinds[s.spec.kind as usize];
    let state = match (s.down, s.draining) {
        (0, 0) => EndpointState::Live,
        (0, _) => EndpointState::Draining,
        _ => EndpointState::Removed,
    };
    Endpoint {
        id: EndpointId(server),
        name_hash: u64::from(server),
        kind: KindId(s.spec.kind),
        zone: ZoneId(s.spec.zone),
        cell: 0,
        // The registered capacity ignores a server's own speed: it assumes the mean speed of its kind.
        capacity: f64::from(kind.cores) * (kind.speed.0 + kind.speed.1) / 2.0,
        state,
        started_at: s.started_at,
    }
}
