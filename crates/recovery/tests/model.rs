//! Two nodes that lose power in any order, with their disks or without, while a client asks one and then the other for a thing that
//! must not be done twice: it is done once at most. The same search finds each planted fault.

use shorepath_recovery::at_most_once::{Decision, Guard, RequestState};
use stateright::{Checker, Model, Property};

const KEY: &str = "valve-1";
/// Losses of power, and of a disk, in all.
const LOSSES: u8 = 3;
const DISKS: u8 = 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The send goes out before the intent is on the disk.
    SentFirst,
    /// What was open on the disk is taken for never sent.
    Forgets,
    /// A peer that has lost its disk is believed when it says that it knows nothing.
    BelievesTheLost,
    /// A peer that is asked does not give the key up.
    KeepsIt,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// It has been asked, and asks its peer.
    Asked,
    /// Its peer has answered, or could not.
    Received(bool),
    /// Its intent is on the disk; the send is not out.
    Intended,
    /// The send is out.
    Sent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    /// In memory, while it has power.
    guard: Option<Guard>,
    phase: Phase,
    /// On its disk: whether an intent is open, the answer, and the greatest epoch.
    open: bool,
    answered: bool,
    floor: u64,
    /// All that it ever wrote is on the disk.
    whole: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    nodes: [Node; 2],
    /// The fleet's epoch; those of before the last loss of all are over.
    epoch: u64,
    /// Sends on their way to the server, and how often it has run.
    on_the_way: u8,
    runs: u8,
    losses: u8,
    disks: u8,
    /// Which node the client waits for.
    waits: Option<usize>,
    done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Ask(usize),
    /// The node that was asked hears its peer.
    Peer(usize),
    Decide(usize),
    Send(usize),
    Run,
    Served(usize),
    LosePower(usize),
    LoseDisk(usize),
    Return(usize),
    /// The client gives up waiting.
    GiveUp,
}

struct World(Fault);

impl World {
    /// What a node that comes back begins with.
    fn back(&self, node: &Node, epoch: u64) -> Guard {
        let open = (node.open && self.0 != Fault::Forgets).then(|| KEY.to_string());
        let answered = node.answered.then(|| (KEY.to_string(), 200));
        let mut guard = Guard::new(open, answered, node.floor);
        guard.set_epoch(Some(epoch));
        guard
    }
}

impl Model for World {
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
                whole: true,
            }
        };
        vec![State {
            nodes: [node(), node()],
            epoch: 1,
            on_the_way: 0,
            runs: 0,
            losses: 0,
            disks: 0,
            waits: None,
            done: false,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        for n in 0..2 {
            let node = &s.nodes[n];
            if node.guard.is_none() {
                actions.push(Step::Return(n));
                if s.disks < DISKS {
                    actions.push(Step::LoseDisk(n));
                }
                continue;
            }
            if s.waits.is_none() && !s.done && node.phase == Phase::Idle {
                actions.push(Step::Ask(n));
            }
            match node.phase {
                Phase::Asked => actions.push(Step::Peer(n)),
                Phase::Received(_) => actions.push(Step::Decide(n)),
                Phase::Intended => actions.push(Step::Send(n)),
                Phase::Sent if s.runs > 0 => actions.push(Step::Served(n)),
                _ => {}
            }
            if s.losses < LOSSES {
                actions.push(Step::LosePower(n));
            }
        }
        if s.on_the_way > 0 {
            actions.push(Step::Run);
        }
        if s.waits.is_some() {
            actions.push(Step::GiveUp);
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Ask(n) => {
                s.waits = Some(n);
                s.nodes[n].phase = Phase::Asked;
            }
            Step::Peer(n) => {
                let peer = &mut s.nodes[1 - n];
                let whole = peer.whole || self.0 == Fault::BelievesTheLost;
                // A peer without power answers nothing.
                let replies = match peer.guard.as_mut().filter(|_| whole) {
                    Some(guard) if self.0 == Fault::KeepsIt => Some(guard.state(KEY)),
                    Some(guard) => Some(guard.cede(KEY)),
                    None => None,
                };
                let node = &mut s.nodes[n];
                if let Some(Some(known)) = replies {
                    node.guard.as_mut()?.merge(KEY, known);
                }
                node.phase = Phase::Received(replies.is_some());
            }
            Step::Decide(n) => {
                let (node, epoch) = (&mut s.nodes[n], s.epoch);
                let Phase::Received(received) = node.phase else { return None };
                let guard = node.guard.as_mut()?;
                // A node whose own disk is not whole sends nothing of this kind.
                let whole = node.whole || self.0 == Fault::BelievesTheLost;
                let outcome = guard.decide(&[KEY], received && whole);
                match outcome {
                    Decision::Send => {
                        guard.record_intent(&[KEY]);
                        node.phase = Phase::Intended;
                        if self.0 != Fault::SentFirst {
                            (node.open, node.floor) = (true, epoch);
                        }
                    }
                    Decision::Replay(_) | Decision::Failed | Decision::Reject => {
                        node.phase = Phase::Idle;
                        // Whoever has given up waiting does not hear it.
                        s.done |= s.waits == Some(n) && outcome != Decision::Reject;
                        s.waits = s.waits.filter(|w| *w != n);
                    }
                }
            }
            Step::Send(n) => {
                s.on_the_way += 1;
                s.nodes[n].phase = Phase::Sent;
            }
            Step::Run => {
                s.on_the_way -= 1;
                s.runs += 1;
            }
            Step::Served(n) => {
                let node = &mut s.nodes[n];
                (node.phase, node.open, node.answered) = (Phase::Idle, false, true);
                node.guard.as_mut()?.record_answer(&[KEY], 200);
                s.done |= s.waits == Some(n);
                s.waits = s.waits.filter(|w| *w != n);
            }
            Step::LosePower(n) => {
                s.losses += 1;
                (s.nodes[n].guard, s.nodes[n].phase) = (None, Phase::Idle);
                s.waits = s.waits.filter(|w| *w != n);
            }
            Step::LoseDisk(n) => {
                s.disks += 1;
                let node = &mut s.nodes[n];
                (node.open, node.answered, node.floor, node.whole) = (false, false, 0, false);
            }
            Step::Return(n) => {
                // A node that comes back acts under an epoch of its own.
                s.epoch += 1;
                let guard = self.back(&s.nodes[n], s.epoch);
                s.nodes[n].guard = Some(guard);
            }
            // It may ask another one, or the same again, while the first still goes on.
            Step::GiveUp => s.waits = None,
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("done once at most", |_, s: &State| s.runs <= 1),
            Property::sometimes("done although power was lost", |_, s: &State| {
                s.losses > 0 && s.runs == 1 && s.done
            }),
            Property::sometimes("told that it may have run", |_, s: &State| {
                s.done
                    && s.nodes.iter().any(|n| {
                        n.guard.as_ref().and_then(|g| g.state(KEY)) == Some(RequestState::MayHaveRun)
                    })
            }),
        ]
    }
}

fn searched(fault: Fault) -> impl Checker<World> {
    World(fault).checker().threads(2).target_state_count(2_000_000).spawn_bfs().join()
}

#[test]
fn what_must_not_run_twice_does_not() {
    let search = searched(Fault::None);
    search.assert_no_discovery("done once at most");
    search.assert_any_discovery("done although power was lost");
    search.assert_any_discovery("told that it may have run");
    println!("{} states", search.unique_state_count());
}

#[test]
fn each_planted_fault_is_found() {
    for fault in [Fault::SentFirst, Fault::Forgets, Fault::BelievesTheLost, Fault::KeepsIt] {
        let found = searched(fault).discovery("done once at most").is_some();
        assert!(found, "{fault:?} was not found");
    }
}
