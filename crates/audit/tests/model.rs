//! Model check of [`AdmissionLease`]: requests and answers are lost, reordered and repeated, the node restarts, and its clock drifts.
//! Once [`AdmissionLease::max_validity`] has passed after a restricting answer, the node serves no at-most-once request.

use shorepath_audit::version_lag::{AdmissionLease, Admits};
use stateright::{Checker, Model, Property};

/// Duration of the lease, in ticks.
const LEASE: i64 = 4;
/// Largest drift of each clock, in parts per million: one clock may advance by five ticks while the other advances by three.
const DRIFT: u32 = 250_000;
/// Last tick of a run.
const LAST: i64 = 9;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The lease starts at the arrival of the answer.
    LeaseFromArrival,
    /// An answer to an earlier process is accepted.
    AnyProcess,
    /// The answering side ignores clock drift.
    IgnoreDrift,
    /// A restarted process keeps the lease.
    KeepLeaseOnRestart,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    /// The node's clock, in ticks.
    clock: i64,
    /// Which of the last four ticks the node's clock missed, one bit each.
    missed: u8,
    lease: AdmissionLease,
    /// Requests in flight: the sending process, and the send time by its clock.
    requests: Vec<(u8, i64)>,
    /// Answers in flight: the request, the answer's number, and what is admitted.
    answers: Vec<((u8, i64), u64, Admits)>,
    last_answer_number: u64,
    /// What new answers admit.
    permitted: Admits,
    /// When an answer last admitted all requests.
    last_all: Option<i64>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// Time advances by one tick, and the node's clock doesn't.
    SlowTick,
    Ask,
    Answer((u8, i64)),
    /// An answer arrives, and may arrive again later.
    Arrive((u8, i64), u64, Admits),
    Confine,
    Restart,
}

struct Fleet(Fault);

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            now: 0,
            clock: 0,
            missed: 0,
            lease: AdmissionLease::new(0, LEASE, DRIFT),
            requests: Vec::new(),
            answers: Vec::new(),
            last_answer_number: 0,
            permitted: Admits::All,
            last_all: None,
            restarts: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < LAST {
            steps.push(Step::Tick);
            if world.missed.count_ones() < 2 {
                steps.push(Step::SlowTick);
            }
        }
        if world.requests.len() < 2 && !world.requests.contains(&(world.restarts, world.clock)) {
            steps.push(Step::Ask);
        }
        if world.answers.len() < 2 {
            steps.extend(world.requests.iter().map(|asked| Step::Answer(*asked)));
        }
        steps.extend(
            world.answers.iter().map(|(asked, number, admits)| Step::Arrive(*asked, *number, *admits)),
        );
        if world.permitted == Admits::All {
            steps.push(Step::Confine);
        }
        if world.restarts == 0 {
            steps.push(Step::Restart);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Tick => {
                (world.now, world.clock) = (world.now + 1, world.clock + 1);
                world.missed = world.missed << 1 & 15;
            }
            Step::SlowTick => {
                world.now += 1;
                world.missed = (world.missed << 1 | 1) & 15;
            }
            Step::Ask => world.requests.push((world.restarts, world.clock)),
            Step::Answer(asked) => {
                world.last_answer_number += 1;
                if world.permitted == Admits::All {
                    world.last_all = Some(world.now);
                }
                world.answers.push((asked, world.last_answer_number, world.permitted));
            }
            Step::Arrive((process, asked), number, admits) => {
                let asked = if self.0 == Fault::LeaseFromArrival { world.clock } else { asked };
                let process = if self.0 == Fault::AnyProcess { world.restarts } else { process };
                if !world.lease.record_answer(u64::from(process), asked, number, admits) {
                    return None;
                }
            }
            Step::Confine => world.permitted = Admits::Repeatable,
            Step::Restart => {
                world.restarts += 1;
                if self.0 != Fault::KeepLeaseOnRestart {
                    world.lease = AdmissionLease::new(u64::from(world.restarts), LEASE, DRIFT);
                }
                // The clock of the new process starts at 0.
                world.clock = 0;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("confined once the validity has passed", |fleet: &Fleet, world: &World| {
                let drift = if fleet.0 == Fault::IgnoreDrift { 0 } else { DRIFT };
                let expired = world
                    .last_all
                    .is_none_or(|last| world.now - last >= AdmissionLease::max_validity(LEASE, drift));
                let confined = world.permitted < Admits::All && expired;
                !confined || world.lease.admits(world.clock) < Admits::All
            }),
            Property::sometimes("a node with a valid lease serves all requests", |_, world: &World| {
                world.lease.admits(world.clock) == Admits::All
            }),
        ]
    }
}

/// Returns whether the search found a violation, and the number of states.
fn search(fault: Fault) -> (bool, usize) {
    let checker = Fleet(fault).checker().threads(2).spawn_bfs().join();
    checker.assert_any_discovery("a node with a valid lease serves all requests");
    (checker.discovery("confined once the validity has passed").is_some(), checker.unique_state_count())
}

#[test]
fn node_confines_itself_before_others_consider_it_confined() {
    let (violated, states) = search(Fault::None);
    println!("{states} states");
    assert!(!violated);
    assert!(states > 1_000_000, "{states} states");
}

#[test]
fn injected_faults_are_found() {
    for fault in [Fault::LeaseFromArrival, Fault::AnyProcess, Fault::IgnoreDrift, Fault::KeepLeaseOnRestart] {
        assert!(search(fault).0, "{fault:?} was not found");
    }
}
