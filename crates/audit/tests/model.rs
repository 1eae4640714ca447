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
struct State {
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
    /// The requests that new answers admit.
    permitted: Admits,
    /// When an answer last admitted all requests.
    last_all: Option<i64>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// Time advances by one tick, and the node's clock doesn't.
    TickWithStoppedClock,
    Ask,
    Answer((u8, i64)),
    /// An answer arrives, and may arrive again later.
    Arrive((u8, i64), u64, Admits),
    Confine,
    Restart,
}

struct LeaseModel(Fault);

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
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

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < LAST {
            steps.push(Step::Tick);
            if state.missed.count_ones() < 2 {
                steps.push(Step::TickWithStoppedClock);
            }
        }
        if state.requests.len() < 2 && !state.requests.contains(&(state.restarts, state.clock)) {
            steps.push(Step::Ask);
        }
        if state.answers.len() < 2 {
            steps.extend(state.requests.iter().map(|request| Step::Answer(*request)));
        }
        steps.extend(
            state.answers.iter().map(|(request, number, admits)| Step::Arrive(*request, *number, *admits)),
        );
        if state.permitted == Admits::All {
            steps.push(Step::Confine);
        }
        if state.restarts == 0 {
            steps.push(Step::Restart);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut state = state.clone();
        match step {
            Step::Tick => {
                (state.now, state.clock) = (state.now + 1, state.clock + 1);
                state.missed = state.missed << 1 & 15;
            }
            Step::TickWithStoppedClock => {
                state.now += 1;
                state.missed = (state.missed << 1 | 1) & 15;
            }
            Step::Ask => state.requests.push((state.restarts, state.clock)),
            Step::Answer(request) => {
                state.last_answer_number += 1;
                if state.permitted == Admits::All {
                    state.last_all = Some(state.now);
                }
                state.answers.push((request, state.last_answer_number, state.permitted));
            }
            Step::Arrive((process, sent_at), number, admits) => {
                let sent_at = if self.0 == Fault::LeaseFromArrival { state.clock } else { sent_at };
                let process = if self.0 == Fault::AnyProcess { state.restarts } else { process };
                if !state.lease.record_answer(u64::from(process), sent_at, number, admits) {
                    return None;
                }
            }
            Step::Confine => state.permitted = Admits::Repeatable,
            Step::Restart => {
                state.restarts += 1;
                if self.0 != Fault::KeepLeaseOnRestart {
                    state.lease = AdmissionLease::new(u64::from(state.restarts), LEASE, DRIFT);
                }
                // The clock of the new process starts at 0.
                state.clock = 0;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("confined once the validity has passed", |model: &LeaseModel, state: &State| {
                let drift = if model.0 == Fault::IgnoreDrift { 0 } else { DRIFT };
                let expired = state
                    .last_all
                    .is_none_or(|last| state.now - last >= AdmissionLease::max_validity(LEASE, drift));
                let confined = state.permitted < Admits::All && expired;
                !confined || state.lease.admits(state.clock) < Admits::All
            }),
            Property::sometimes("a node with a valid lease serves all requests", |_, state: &State| {
                state.lease.admits(state.clock) == Admits::All
            }),
        ]
    }
}

/// Returns whether the search found a violation, and the number of states.
fn search(fault: Fault) -> (bool, usize) {
    let checker = LeaseModel(fault).checker().threads(2).spawn_bfs().join();
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
