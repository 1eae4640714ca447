//! Model check of leases: with two nodes, changes of the leader, drifting clocks and lost, duplicated or delayed messages, the
//! usable units never exceed the total. The same search must detect each injected fault.

use shorepath_quota::lease::Holder;
use shorepath_quota::ledger::Ledger;
use shorepath_quota::{Grant, LeasePeriod, Micros, NodeId, NodeIncarnation};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// The units that two nodes share.
const TOTAL: u64 = 2;
/// A grant is valid for two ticks of 10 microseconds of real time.
const TERM: LeasePeriod = LeasePeriod { length: 20, drift_ppm: 200_000, longest: 0 };
/// Microseconds per tick of a slow and of a fast clock.
const CLOCK_RATES: [Micros; 2] = [8, 12];
const LAST_TICK: Micros = 3;
/// The demands of each node's successive requests.
const DEMANDS: [&[u64]; 2] = [&[TOTAL, 1], &[TOTAL]];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A holder uses a grant for its full term by its own clock, without a margin for drift.
    NoDriftMargin,
    /// A new leader takes earlier grants for expired.
    ExpiryAtTakeover,
    /// A former leader continues to grant.
    StaleLeaderGrants,
    /// A holder is offered its own charge plus the free units, even while a new leader counts more than the total.
    OwnChargePlusFree,
    /// A smaller grant frees units before the holder has acknowledged it.
    ShrinkBeforeAcknowledgement,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask { holder: NodeIncarnation, answers: u64, wanted: u64 },
    Grant(Grant),
    Acknowledge { holder: NodeIncarnation, number: u64 },
    Release { holder: NodeIncarnation, number: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: Micros,
    clock_rates: [Micros; 3],
    holders: [Holder; 2],
    asked: [u64; 2],
    incarnations: [u64; 2],
    allocator: Ledger,
    /// A former leader that does not know that it was replaced.
    former_leader: Option<Ledger>,
    committed: Vec<Grant>,
    /// The number of second grants for answered requests that are left.
    extra_grants: u32,
    messages: BTreeSet<Message>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Ask(usize, u64),
    Leave(usize),
    Restart(usize),
    Deliver(Message),
    /// A node gets a second grant for an answered request.
    GrantMore(usize),
    ChangeLeader,
    /// The former leader answers a request.
    StaleLeaderAnswers(Message),
}

struct LeaseModel(Fault);

impl State {
    /// Returns the clock of a node or, with 2, of the allocator. The clocks are not synchronized.
    fn clock(&self, process: usize) -> Micros {
        1_000 * process as Micros + self.tick * self.clock_rates[process]
    }

    fn usable(&self) -> u64 {
        (0..2).map(|n| self.holders[n].usable(self.clock(n))).sum()
    }
}

fn node_incarnation(node: usize, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId(node as u32), incarnation }
}

impl LeaseModel {
    fn holder_term(&self) -> LeasePeriod {
        // Without drift in its lease period a holder applies no margin.
        if self.0 == Fault::NoDriftMargin {
            LeasePeriod { drift_ppm: 0, ..TERM }
        } else {
            TERM
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut all = Vec::new();
        for a in CLOCK_RATES {
            for d in CLOCK_RATES {
                let holders = [0, 1].map(|n| Holder::new(node_incarnation(n, 1), 0, self.holder_term()));
                all.push(State {
                    tick: 0,
                    clock_rates: [a, 10, d],
                    holders,
                    asked: [0; 2],
                    incarnations: [1; 2],
                    allocator: Ledger::new(TOTAL, 0, TERM),
                    former_leader: None,
                    committed: Vec::new(),
                    extra_grants: u32::from(self.0 == Fault::None),
                    messages: BTreeSet::new(),
                });
            }
        }
        all
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        if s.tick < LAST_TICK {
            actions.push(Step::Tick);
        }
        for (n, asks) in DEMANDS.iter().enumerate() {
            let next = asks.get(s.asked[n] as usize);
            actions.extend(next.map(|wanted| Step::Ask(n, *wanted)));
            if s.holders[n].expires_at().is_some() && n == 0 {
                actions.push(Step::Leave(n));
            }
            if s.incarnations[n] < 2 && n == 0 {
                actions.push(Step::Restart(n));
            }
        }
        actions.extend(s.messages.iter().cloned().map(Step::Deliver));
        actions.extend((0..2).filter(|n| s.asked[*n] > 0 && s.extra_grants > 0).map(Step::GrantMore));
        if s.former_leader.is_none() {
            actions.push(Step::ChangeLeader);
        } else if self.0 == Fault::StaleLeaderGrants {
            let asks = s.messages.iter().filter(|m| matches!(m, Message::Ask { .. }));
            actions.extend(asks.cloned().map(Step::StaleLeaderAnswers));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Tick => s.tick += 1,
            Step::Ask(n, wanted) => {
                s.asked[n] += 1;
                let answers = s.holders[n].ask(s.clock(n));
                s.messages.insert(Message::Ask {
                    holder: node_incarnation(n, s.incarnations[n]),
                    answers,
                    wanted,
                });
            }
            Step::Leave(n) => {
                let (_, number) = s.holders[n].release();
                s.messages
                    .insert(Message::Release { holder: node_incarnation(n, s.incarnations[n]), number });
            }
            Step::Restart(n) => {
                s.incarnations[n] += 1;
                s.holders[n] = Holder::new(node_incarnation(n, s.incarnations[n]), 0, self.holder_term());
            }
            Step::GrantMore(n) => {
                let now = s.clock(2);
                s.extra_grants -= 1;
                s.allocator.expire(now);
                let answered = s.committed.iter().rfind(|g| g.holder.node.0 as usize == n)?;
                let grant = s.allocator.offer(answered.holder, TOTAL, answered.answers);
                s.committed.push(grant);
                s.allocator.record(grant, now);
                s.messages.insert(Message::Grant(grant));
            }
            Step::ChangeLeader => {
                let now = s.clock(2);
                let mut next = Ledger::new(TOTAL, 0, TERM);
                s.committed.iter().for_each(|g| next.record(*g, now));
                if self.0 == Fault::ExpiryAtTakeover {
                    next.expire(now + 1_000);
                }
                let former = std::mem::replace(&mut s.allocator, next);
                // The former leader's ledger matters only if its grants are delivered; leaving it out keeps the state small.
                let unused = Ledger::new(0, 0, TERM);
                s.former_leader = Some(if self.0 == Fault::StaleLeaderGrants { former } else { unused });
            }
            Step::StaleLeaderAnswers(message) => {
                let now = s.clock(2);
                let Message::Ask { holder, answers, wanted } = message else { return None };
                let former = s.former_leader.as_mut()?;
                former.expire(now);
                let grant = former.offer(holder, wanted, answers);
                // The replicated log would reject this grant; the fault delivers it without a commit.
                former.record(grant, now);
                s.messages.insert(Message::Grant(grant));
            }
            Step::Deliver(message) => {
                let now = s.clock(2);
                match message {
                    Message::Ask { holder, answers, wanted } => {
                        s.allocator.expire(now);
                        if s.committed.iter().any(|g| g.holder == holder && g.answers == answers) {
                            return None; // already answered
                        }
                        let mut grant = s.allocator.offer(holder, wanted, answers);
                        if self.0 == Fault::OwnChargePlusFree {
                            grant.amount =
                                wanted.min(s.allocator.charged_units(holder) + s.allocator.account().free);
                        }
                        s.committed.push(grant);
                        s.allocator.record(grant, now);
                        if self.0 == Fault::ShrinkBeforeAcknowledgement {
                            s.allocator.acknowledge(holder, grant.number);
                        }
                        s.messages.insert(Message::Grant(grant));
                    }
                    Message::Grant(grant) => {
                        let n = grant.holder.node.0 as usize;
                        let at = s.clock(n);
                        if !s.holders[n].accept(grant, at) {
                            return None;
                        }
                        s.messages
                            .insert(Message::Acknowledge { holder: grant.holder, number: grant.number });
                    }
                    Message::Acknowledge { holder, number } => s.allocator.acknowledge(holder, number),
                    Message::Release { holder, number } => s.allocator.release(holder, number),
                }
            }
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("usable units never exceed the total", |_, s: &State| s.usable() <= TOTAL),
            Property::sometimes("all units can be used", |_, s: &State| s.usable() == TOTAL),
            Property::sometimes("units move to another node", |_, s: &State| {
                s.incarnations[0] == 2 && s.holders[1].usable(s.clock(1)) == TOTAL
            }),
        ]
    }
}

/// Searches the reachable states breadth-first, up to three million of them.
fn search_states(fault: Fault) -> impl Checker<LeaseModel> {
    LeaseModel(fault).checker().threads(2).target_state_count(3_000_000).spawn_bfs().join()
}

#[test]
fn usable_units_never_exceed_the_total() {
    let search = search_states(Fault::None);
    search.assert_no_discovery("usable units never exceed the total");
    search.assert_any_discovery("all units can be used");
    search.assert_any_discovery("units move to another node");
    println!("{} states", search.unique_state_count());
}

#[test]
fn each_injected_fault_is_detected() {
    for fault in [
        Fault::NoDriftMargin,
        Fault::ExpiryAtTakeover,
        Fault::StaleLeaderGrants,
        Fault::ShrinkBeforeAcknowledgement,
        Fault::OwnChargePlusFree,
    ] {
        let search = search_states(fault);
        assert!(search.discovery("usable units never exceed the total").is_some(), "{fault:?} was not found");
    }
}
