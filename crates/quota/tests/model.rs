//! All that two nodes, a divider and the next one can do, in every order, with clocks that are fast, slow and set otherwise,
//! and messages that are lost, doubled and late: the sum of what may be used never exceeds the whole. The same search finds
//! each planted fault.

use shorepath_quota::lease::Holder;
use shorepath_quota::ledger::Ledger;
use shorepath_quota::{Grant, LeasePeriod, Micros, NodeId, NodeIncarnation};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Two units between two nodes; a grant holds for two ticks, and clocks go at 8, 10 or 12 a tick, which is 10 in truth.
const WHOLE: u64 = 2;
const TERM: LeasePeriod = LeasePeriod { length: 20, drift_ppm: 200_000, longest: 0 };
const RATES: [Micros; 2] = [8, 12];
const LAST_TICK: Micros = 3;
/// What each node asks for, one after the other.
const ASKS: [&[u64]; 2] = [&[WHOLE, 1], &[WHOLE]];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A holder uses a grant for its whole length by its own clock, whatever that is worth.
    NoMargin,
    /// A divider that takes over takes all earlier grants for over.
    EarlyRegrant,
    /// A divider that was replaced goes on granting.
    NoFence,
    /// A life is given what is counted for itself, also where a divider that took over counts more than the whole.
    OwnCharge,
    /// A grant that makes a part smaller frees the rest before the holder has said that it goes by it.
    EarlyShrink,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask { holder: NodeIncarnation, answers: u64, wanted: u64 },
    Grant(Grant),
    Taken { holder: NodeIncarnation, number: u64 },
    Returned { holder: NodeIncarnation, number: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: Micros,
    rates: [Micros; 3],
    holders: [Holder; 2],
    asked: [u64; 2],
    lives: [u64; 2],
    allocator: Ledger,
    /// One that was replaced, and doesn't know it.
    replaced: Option<Ledger>,
    agreed: Vec<Grant>,
    /// Grants beyond one an asking that may still be given.
    more: u32,
    messages: BTreeSet<Message>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    Ask(usize, u64),
    Leave(usize),
    Restart(usize),
    Deliver(Message),
    /// A life that asked is granted more by the same asking.
    More(usize),
    Replace,
    /// The divider that was replaced wakes, and answers.
    Wake(Message),
}

struct World(Fault);

impl State {
    /// The clock of a node, or of the divider: none agrees with another.
    fn clock(&self, who: usize) -> Micros {
        1_000 * who as Micros + self.tick * self.rates[who]
    }

    fn usable(&self) -> u64 {
        (0..2).map(|n| self.holders[n].usable(self.clock(n))).sum()
    }
}

fn node_incarnation(node: usize, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId(node as u32), incarnation }
}

impl World {
    fn holder_term(&self) -> LeasePeriod {
        // Without its margin a holder goes by the bare length.
        if self.0 == Fault::NoMargin {
            LeasePeriod { drift_ppm: 0, ..TERM }
        } else {
            TERM
        }
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut all = Vec::new();
        for a in RATES {
            for d in RATES {
                let holders = [0, 1].map(|n| Holder::new(node_incarnation(n, 1), 0, self.holder_term()));
                all.push(State {
                    tick: 0,
                    rates: [a, 10, d],
                    holders,
                    asked: [0; 2],
                    lives: [1; 2],
                    allocator: Ledger::new(WHOLE, 0, TERM),
                    replaced: None,
                    agreed: Vec::new(),
                    more: u32::from(self.0 == Fault::None),
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
        for (n, asks) in ASKS.iter().enumerate() {
            let next = asks.get(s.asked[n] as usize);
            actions.extend(next.map(|wanted| Step::Ask(n, *wanted)));
            if s.holders[n].expires_at().is_some() && n == 0 {
                actions.push(Step::Leave(n));
            }
            if s.lives[n] < 2 && n == 0 {
                actions.push(Step::Restart(n));
            }
        }
        actions.extend(s.messages.iter().cloned().map(Step::Deliver));
        actions.extend((0..2).filter(|n| s.asked[*n] > 0 && s.more > 0).map(Step::More));
        if s.replaced.is_none() {
            actions.push(Step::Replace);
        } else if self.0 == Fault::NoFence {
            let asks = s.messages.iter().filter(|m| matches!(m, Message::Ask { .. }));
            actions.extend(asks.cloned().map(Step::Wake));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Tick => s.tick += 1,
            Step::Ask(n, wanted) => {
                s.asked[n] += 1;
                let answers = s.holders[n].ask(s.clock(n));
                s.messages.insert(Message::Ask { holder: node_incarnation(n, s.lives[n]), answers, wanted });
            }
            Step::Leave(n) => {
                let (_, number) = s.holders[n].release();
                s.messages.insert(Message::Returned { holder: node_incarnation(n, s.lives[n]), number });
            }
            Step::Restart(n) => {
                s.lives[n] += 1;
                s.holders[n] = Holder::new(node_incarnation(n, s.lives[n]), 0, self.holder_term());
            }
            Step::More(n) => {
                let now = s.clock(2);
                s.more -= 1;
                s.allocator.expire(now);
                let answered = s.agreed.iter().rfind(|g| g.holder.node.0 as usize == n)?;
                let grant = s.allocator.offer(answered.holder, WHOLE, answered.answers);
                s.agreed.push(grant);
                s.allocator.record(grant, now);
                s.messages.insert(Message::Grant(grant));
            }
            Step::Replace => {
                let now = s.clock(2);
                let mut next = Ledger::new(WHOLE, 0, TERM);
                s.agreed.iter().for_each(|g| next.record(*g, now));
                if self.0 == Fault::EarlyRegrant {
                    next.expire(now + 1_000);
                }
                let old = std::mem::replace(&mut s.allocator, next);
                // What it still believes matters only where somebody listens to it.
                let unheard = Ledger::new(0, 0, TERM);
                s.replaced = Some(if self.0 == Fault::NoFence { old } else { unheard });
            }
            Step::Wake(message) => {
                let now = s.clock(2);
                let Message::Ask { holder, answers, wanted } = message else { return None };
                let old = s.replaced.as_mut()?;
                old.expire(now);
                let grant = old.offer(holder, wanted, answers);
                // The fleet would not agree to what one says that it has replaced; here it is not asked.
                old.record(grant, now);
                s.messages.insert(Message::Grant(grant));
            }
            Step::Deliver(message) => {
                let now = s.clock(2);
                match message {
                    Message::Ask { holder, answers, wanted } => {
                        s.allocator.expire(now);
                        if s.agreed.iter().any(|g| g.holder == holder && g.answers == answers) {
                            return None; // answered already
                        }
                        let mut grant = s.allocator.offer(holder, wanted, answers);
                        if self.0 == Fault::OwnCharge {
                            grant.amount =
                                wanted.min(s.allocator.charge(holder) + s.allocator.account().free);
                        }
                        s.agreed.push(grant);
                        s.allocator.record(grant, now);
                        if self.0 == Fault::EarlyShrink {
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
                        s.messages.insert(Message::Taken { holder: grant.holder, number: grant.number });
                    }
                    Message::Taken { holder, number } => s.allocator.acknowledge(holder, number),
                    Message::Returned { holder, number } => s.allocator.release(holder, number),
                }
            }
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("never above the whole", |_, s: &State| s.usable() <= WHOLE),
            Property::sometimes("all of it can be used", |_, s: &State| s.usable() == WHOLE),
            Property::sometimes("what one had another gets", |_, s: &State| {
                s.lives[0] == 2 && s.holders[1].usable(s.clock(1)) == WHOLE
            }),
        ]
    }
}

/// All states that can be reached, or three million of them, the fewest steps first.
fn searched(fault: Fault) -> impl Checker<World> {
    World(fault).checker().threads(2).target_state_count(3_000_000).spawn_bfs().join()
}

#[test]
fn the_sum_never_exceeds_the_whole() {
    let search = searched(Fault::None);
    search.assert_no_discovery("never above the whole");
    search.assert_any_discovery("all of it can be used");
    search.assert_any_discovery("what one had another gets");
    println!("{} states", search.unique_state_count());
}

#[test]
fn each_planted_fault_is_found() {
    for fault in [Fault::NoMargin, Fault::EarlyRegrant, Fault::NoFence, Fault::EarlyShrink, Fault::OwnCharge]
    {
        let search = searched(fault);
        assert!(search.discovery("never above the whole").is_some(), "{fault:?} was not found");
    }
}
