//! A node that confines itself, and who answers it: all orders of asking, answering, losing, doubling, crashing and of a clock that
//! is off. Once the time has passed that [`AdmissionLease::max_validity`] says, nothing guarded is done that was forbidden.

use shorepath_audit::version_lag::{AdmissionLease, Admits};
use stateright::{Checker, Model, Property};

const LEASE: i64 = 4;
/// A quarter each: while one clock shows three ticks, the other may show five.
const DRIFT: u32 = 250_000;
const LAST: i64 = 9;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// The lease counts from the answer's arrival.
    FromArrival,
    /// An answer to what an earlier process asked is believed.
    AnyLife,
    /// Who answers does not reckon with a slow clock.
    NoDrift,
    /// A process that begins anew goes on with what was confirmed.
    CrashKeeps,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    /// The node's clock, and which of the last four ticks it missed, one bit each.
    clock: i64,
    missed: u8,
    own: AdmissionLease,
    /// In which life, and when by its clock.
    asks: Vec<(u8, i64)>,
    /// The asking, the answer's number, what may be done.
    answers: Vec<((u8, i64), u64, Admits)>,
    numbered: u64,
    /// Who answers says no more than this from now on.
    outgoing_messages: Admits,
    /// When it last said that all may be done.
    last_all: Option<i64>,
    crashes: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// The node's clock misses one.
    SlowTick,
    Ask,
    Answer((u8, i64)),
    /// An answer arrives; it stays on the way, to arrive again.
    Arrive((u8, i64), u64, Admits),
    Confine,
    Crash,
}

struct Fleet(Planted);

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            now: 0,
            clock: 0,
            missed: 0,
            own: AdmissionLease::new(0, LEASE, DRIFT),
            asks: Vec::new(),
            answers: Vec::new(),
            numbered: 0,
            outgoing_messages: Admits::All,
            last_all: None,
            crashes: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < LAST {
            steps.push(Step::Tick);
            if world.missed.count_ones() < 2 {
                steps.push(Step::SlowTick);
            }
        }
        if world.asks.len() < 2 && !world.asks.contains(&(world.crashes, world.clock)) {
            steps.push(Step::Ask);
        }
        if world.answers.len() < 2 {
            steps.extend(world.asks.iter().map(|asked| Step::Answer(*asked)));
        }
        steps.extend(
            world.answers.iter().map(|(asked, number, admits)| Step::Arrive(*asked, *number, *admits)),
        );
        if world.outgoing_messages == Admits::All {
            steps.push(Step::Confine);
        }
        if world.crashes == 0 {
            steps.push(Step::Crash);
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
            Step::Ask => world.asks.push((world.crashes, world.clock)),
            Step::Answer(asked) => {
                world.numbered += 1;
                if world.outgoing_messages == Admits::All {
                    world.last_all = Some(world.now);
                }
                world.answers.push((asked, world.numbered, world.outgoing_messages));
            }
            Step::Arrive((life, asked), number, admits) => {
                let asked = if self.0 == Planted::FromArrival { world.clock } else { asked };
                let life = if self.0 == Planted::AnyLife { world.crashes } else { life };
                if !world.own.record_answer(u64::from(life), asked, number, admits) {
                    return None;
                }
            }
            Step::Confine => world.outgoing_messages = Admits::Repeatable,
            Step::Crash => {
                world.crashes += 1;
                if self.0 != Planted::CrashKeeps {
                    world.own = AdmissionLease::new(u64::from(world.crashes), LEASE, DRIFT);
                }
                // Its clock counts from its start.
                world.clock = 0;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("confined once the time is over", |fleet: &Fleet, world: &World| {
                let drift = if fleet.0 == Planted::NoDrift { 0 } else { DRIFT };
                let over = world
                    .last_all
                    .is_none_or(|last| world.now - last >= AdmissionLease::max_validity(LEASE, drift));
                let confined = world.outgoing_messages < Admits::All && over;
                !confined || world.own.admits(world.clock) < Admits::All
            }),
            Property::sometimes("a confirmed node does all", |_, world: &World| {
                world.own.admits(world.clock) == Admits::All
            }),
        ]
    }
}

fn broken(planted: Planted) -> (bool, usize) {
    let checker = Fleet(planted).checker().threads(2).spawn_bfs().join();
    checker.assert_any_discovery("a confirmed node does all");
    (checker.discovery("confined once the time is over").is_some(), checker.unique_state_count())
}

#[test]
fn a_node_has_confined_itself_before_anyone_takes_it_for_confined() {
    let (broken, states) = broken(Planted::Nothing);
    println!("{states} states");
    assert!(!broken);
    assert!(states > 1_000_000, "{states} states");
}

#[test]
fn planted_faults_are_found() {
    for planted in [Planted::FromArrival, Planted::AnyLife, Planted::NoDrift, Planted::CrashKeeps] {
        assert!(broken(planted).0, "{planted:?} was not found");
    }
}
