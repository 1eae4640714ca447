//! Model check: two nodes lose power or their disks in any order while a client sends an at-most-once request to both in turn.
//! The request runs at most once, and the search finds each injected fault.

use shorepath_recovery::at_most_once::{Decision, Guard, RequestState};
use stateright::{Checker, Model, Property};

const KEY: &str = "valve-1";
/// Power losses in one run, over both nodes.
const MAX_POWER_LOSSES: u8 = 3;
/// Disk losses in one run, over both nodes.
const MAX_DISK_LOSSES: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The request is sent before the intent is on the disk.
    SendBeforeIntent,
    /// A restart treats open intents as never sent.
    IgnoreOpenIntents,
    /// A peer with a lost disk is trusted when it knows nothing of the request.
    TrustLostDisk,
    /// A peer replies without ceding the key, so that both nodes may send the request.
    NoCede,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// The node has the client's request and asks its peer.
    Asked,
    /// Whether the peer has answered.
    PeerReplied(bool),
    /// The intent is on the disk and the request is not sent yet.
    Intended,
    /// The request was sent to the server.
    Sent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    /// The node's memory; `None` without power.
    guard: Option<Guard>,
    phase: Phase,
    /// Whether the disk has an open intent.
    open: bool,
    /// Whether the disk has the final answer.
    answered: bool,
    /// The greatest epoch on the disk.
    floor: u64,
    /// Whether the disk has everything that the node wrote.
    complete: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: [Node; 2],
    /// The newest epoch of the fleet.
    epoch: u64,
    /// Requests that were sent and have not reached the server.
    in_flight: u8,
    /// How often the request has run.
    runs: u8,
    power_losses: u8,
    disk_losses: u8,
    /// The node that the client waits for.
    waiting_for: Option<usize>,
    /// Whether the client has a final answer.
    done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Ask(usize),
    /// The peer's reply arrives at the node.
    PeerReply(usize),
    Decide(usize),
    Send(usize),
    Run,
    Served(usize),
    LosePower(usize),
    LoseDisk(usize),
    Restart(usize),
    /// The client stops waiting for the node.
    GiveUp,
}

struct Cluster(Fault);

impl Cluster {
    /// Returns the guard of a restarted node, with the contents of its disk.
    fn restarted(&self, node: &Node, epoch: u64) -> Guard {
        let open = (node.open && self.0 != Fault::IgnoreOpenIntents).then(|| KEY.to_string());
        let answered = node.answered.then(|| (KEY.to_string(), 200));
        let mut guard = Guard::new(open, answered, node.floor);
        guard.set_epoch(Some(epoch));
        guard
    }
}

impl Model for Cluster {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let node = || {
            let mut guard = Guard::new([], [], 0);
            guard.set_epoch(Some(1));
            Node {
                guard: Some(guard),
                phase: Phase::Idle,
                open: false,
                answered: false,
                floor: 0,
                complete: true,
            }
        };
        vec![State {
            nodes: [node(), node()],
            epoch: 1,
            in_flight: 0,
            runs: 0,
            power_losses: 0,
            disk_losses: 0,
            waiting_for: None,
            done: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        for n in 0..2 {
            let node = &s.nodes[n];
            if node.guard.is_none() {
                actions.push(Step::Restart(n));
                if s.disk_losses < MAX_DISK_LOSSES {
                    actions.push(Step::LoseDisk(n));
                }
                continue;
            }
            if s.waiting_for.is_none() && !s.done && node.phase == Phase::Idle {
                actions.push(Step::Ask(n));
            }
            match node.phase {
                Phase::Asked => actions.push(Step::PeerReply(n)),
                Phase::PeerReplied(_) => actions.push(Step::Decide(n)),
                Phase::Intended => actions.push(Step::Send(n)),
                Phase::Sent if s.runs > 0 => actions.push(Step::Served(n)),
                _ => {}
            }
            if s.power_losses < MAX_POWER_LOSSES {
                actions.push(Step::LosePower(n));
            }
        }
        if s.in_flight > 0 {
            actions.push(Step::Run);
        }
        if s.waiting_for.is_some() {
            actions.push(Step::GiveUp);
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Ask(n) => {
                s.waiting_for = Some(n);
                s.nodes[n].phase = Phase::Asked;
            }
            Step::PeerReply(n) => {
                let peer = &mut s.nodes[1 - n];
                let trusted = peer.complete || self.0 == Fault::TrustLostDisk;
                // A peer without power doesn't reply.
                let reply = match peer.guard.as_mut().filter(|_| trusted) {
                    Some(guard) if self.0 == Fault::NoCede => Some(guard.state(KEY)),
                    Some(guard) => Some(guard.cede(KEY)),
                    None => None,
                };
                let node = &mut s.nodes[n];
                if let Some(Some(state)) = reply {
                    node.guard.as_mut()?.merge(KEY, state);
                }
                node.phase = Phase::PeerReplied(reply.is_some());
            }
            Step::Decide(n) => {
                let (node, epoch) = (&mut s.nodes[n], s.epoch);
                let Phase::PeerReplied(replied) = node.phase else { return None };
                let guard = node.guard.as_mut()?;
                // A node whose own disk is incomplete sends no at-most-once request.
                let complete = node.complete || self.0 == Fault::TrustLostDisk;
                let decision = guard.decide(&[KEY], replied && complete);
                match decision {
                    Decision::Send => {
                        guard.record_intent(&[KEY]);
                        node.phase = Phase::Intended;
                        if self.0 != Fault::SendBeforeIntent {
                            (node.open, node.floor) = (true, epoch);
                        }
                    }
                    Decision::Replay(_) | Decision::Failed | Decision::Reject => {
                        node.phase = Phase::Idle;
                        // A client that has stopped waiting doesn't get the answer.
                        s.done |= s.waiting_for == Some(n) && decision != Decision::Reject;
                        s.waiting_for = s.waiting_for.filter(|w| *w != n);
                    }
                }
            }
            Step::Send(n) => {
                s.in_flight += 1;
                s.nodes[n].phase = Phase::Sent;
            }
            Step::Run => {
                s.in_flight -= 1;
                s.runs += 1;
            }
            Step::Served(n) => {
                let node = &mut s.nodes[n];
                (node.phase, node.open, node.answered) = (Phase::Idle, false, true);
                node.guard.as_mut()?.record_answer(&[KEY], 200);
                s.done |= s.waiting_for == Some(n);
                s.waiting_for = s.waiting_for.filter(|w| *w != n);
            }
            Step::LosePower(n) => {
                s.power_losses += 1;
                (s.nodes[n].guard, s.nodes[n].phase) = (None, Phase::Idle);
                s.waiting_for = s.waiting_for.filter(|w| *w != n);
            }
            Step::LoseDisk(n) => {
                s.disk_losses += 1;
                let node = &mut s.nodes[n];
                (node.open, node.answered, node.floor, node.complete) = (false, false, 0, false);
            }
            Step::Restart(n) => {
                // A restarted node acts under a new epoch.
                s.epoch += 1;
                let guard = self.restarted(&s.nodes[n], s.epoch);
                s.nodes[n].guard = Some(guard);
            }
            // The client may retry at either node while the first attempt is still in progress.
            Step::GiveUp => s.waiting_for = None,
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("runs at most once", |_, s: &State| s.runs <= 1),
            Property::sometimes("succeeds despite a power loss", |_, s: &State| {
                s.power_losses > 0 && s.runs == 1 && s.done
            }),
            Property::sometimes("client learns that the request may have run", |_, s: &State| {
                s.done
                    && s.nodes.iter().any(|n| {
                        n.guard.as_ref().and_then(|g| g.state(KEY)) == Some(RequestState::MayHaveRun)
                    })
            }),
        ]
    }
}

fn search(fault: Fault) -> impl Checker<Cluster> {
    Cluster(fault).checker().threads(2).target_state_count(2_000_000).spawn_bfs().join()
}

#[test]
fn request_runs_at_most_once() {
    let checker = search(Fault::None);
    checker.assert_no_discovery("runs at most once");
    checker.assert_any_discovery("succeeds despite a power loss");
    checker.assert_any_discovery("client learns that the request may have run");
    println!("{} states", checker.unique_state_count());
}

#[test]
fn injected_faults_are_found() {
    for fault in [Fault::SendBeforeIntent, Fault::IgnoreOpenIntents, Fault::TrustLostDisk, Fault::NoCede] {
        let found = search(fault).discovery("runs at most once").is_some();
        assert!(found, "{fault:?} was not found");
    }
}
