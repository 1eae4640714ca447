//! Model check of the ownership of one guarded key with two sites and a quota server: clock drift, delayed and lost
//! messages, a network partition, and a crash with or without the disk. The key never has two owners and is never
//! placed twice, and the search finds each injected fault.

use shorepath_quota::lease::Holder;
use shorepath_quota::ledger::Ledger;
use shorepath_quota::{Grant, LeasePeriod, Micros, NodeId, NodeIncarnation};
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::key_ownership::{Fence, KeyOwnership, PersistedOwnership, Proof};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// A lease lasts for 20 units, which are two ticks; clocks advance by 8 to 12 units a tick.
const TERM: LeasePeriod = LeasePeriod { length: 20, drift_ppm: 200_000, longest: 0 };
/// Units by which the clocks of sites advance in a tick.
const RATES: [Micros; 2] = [8, 12];
const MAX_TICK: Micros = 3;
/// Largest number of explored states.
const MAX_STATES: usize = 450_000;
/// Largest number of lease requests of an incarnation.
const MAX_REQUESTS: u8 = 2;
/// Budget of the key's range, whose home is the first node.
const BUDGET: &str = "home:a/n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A lease counts from the arrival of its grant.
    LeaseFromArrival,
    /// A site that considers the other one lost takes over its keys without a grant.
    TakeOver,
    /// A successor continues after it has acknowledged the revocation of its lease.
    IgnoresRevocation,
    /// A successor considers unknown keys as never placed.
    AssumesUnplaced,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask { life: NodeIncarnation, answers: u64, wanted: u64 },
    Grant(Grant),
    Taken { life: NodeIncarnation, number: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Site {
    rate: Micros,
    holder: Holder,
    ownership: KeyOwnership,
    requests: u8,
    life: u64,
    /// The state of the key ownership on its disk.
    persisted: PersistedOwnership,
    /// Whether its disk has a placement of the key.
    placed: bool,
    /// Number of its disk, which increases when one is lost.
    disk: u8,
    /// It ignores a revocation, by [`Fault::IgnoresRevocation`].
    ignores_revocation: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: Micros,
    sites: [Site; 2],
    allocator: Ledger,
    agreed: Vec<Grant>,
    messages: BTreeSet<Message>,
    /// State of the partition: 0 before, 1 during and 2 after it.
    partition: u8,
    /// Actual number of placements of the key.
    placements: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    AdvanceClocks,
    /// A site requests the range, or releases it.
    Ask(usize, u64),
    Deliver(Message),
    Place(usize),
    /// A crash; whether the disk is there afterwards.
    Crash(usize, bool),
    Partition,
    TakeOver,
}

struct World(Fault, SitesConfig, String);

fn world(fault: Fault) -> World {
    let text = r#"(sites (fleet "f") (key "k") (site a (node n "1.1.1.1:1") (bears 1)) (site b (node m "1.1.1.1:2") (bears 1)))"#;
    let config = read("s", text).unwrap();
    let ownership = KeyOwnership::new(0, &config, &PersistedOwnership::default());
    let key = (0..100).map(|k| format!("k{k}")).find(|k| ownership.home(k) == "a/n").unwrap();
    World(fault, config, key)
}

impl World {
    fn life(&self, n: usize, incarnation: u64) -> NodeIncarnation {
        let number = self.1.nodes().nth(n).unwrap().1.number;
        NodeIncarnation { node: NodeId(number), incarnation }
    }

    fn start(&self, n: usize, rate: Micros) -> Site {
        let life = self.life(n, 1);
        // In a new fleet nothing has been placed, which the initial disks record.
        let fences = BTreeMap::from([("a/n".to_string(), Fence { epoch: 0, number: 0 })]);
        let persisted = PersistedOwnership {
            fences,
            settled_nodes: self.1.nodes().map(|(_, n)| n.number).collect(),
            ..PersistedOwnership::default()
        };
        let ownership = KeyOwnership::new(life.node.0, &self.1, &persisted);
        let holder = Holder::new(life, 0, TERM);
        Site {
            rate,
            holder,
            ownership,
            requests: 0,
            life: 1,
            persisted,
            placed: false,
            disk: 1,
            ignores_revocation: false,
        }
    }

    /// Returns whether a site may place the key, by its lease and the history.
    fn may_place(&self, s: &State, n: usize) -> bool {
        let (here, other) = (&s.sites[n], &s.sites[1 - n]);
        let history = |_: &str| match () {
            _ if self.0 == Fault::AssumesUnplaced => Proof::Clean,
            _ if here.placed => Proof::Placed,
            // The history is complete only if the other site is reachable and both disks are the initial ones.
            _ if s.partition == 1 || other.disk > 1 || here.disk > 1 => Proof::Unknown,
            _ if other.placed => Proof::Placed,
            _ => Proof::Clean,
        };
        here.ignores_revocation || here.ownership.may_place(&self.2, clock(s, n), history).is_ok()
    }

    /// Returns whether a site holds the range, whatever the history.
    fn holds_range(&self, s: &State, n: usize) -> bool {
        s.sites[n].ignores_revocation
            || s.sites[n].ownership.may_place(&self.2, clock(s, n), |_| Proof::Clean).is_ok()
    }
}

/// Returns the time of a site's clock; clocks differ in offset and rate.
fn clock(s: &State, n: usize) -> Micros {
    1_000 * (n as Micros + 1) + s.tick * s.sites[n].rate
}

fn server_clock(s: &State) -> Micros {
    s.tick * 10
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let mut all = Vec::new();
        for a in RATES {
            for b in RATES {
                all.push(State {
                    tick: 0,
                    sites: [self.start(0, a), self.start(1, b)],
                    allocator: Ledger::new(1, 0, TERM),
                    agreed: Vec::new(),
                    messages: BTreeSet::new(),
                    partition: 0,
                    placements: 0,
                });
            }
        }
        all
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        if s.tick < MAX_TICK {
            actions.push(Step::AdvanceClocks);
        }
        for n in 0..2 {
            let site = &s.sites[n];
            if site.requests < MAX_REQUESTS {
                // The home requests the range repeatedly; the successor requests it once and then releases it.
                actions.push(Step::Ask(n, u64::from(n == 0 || site.requests == 0)));
            }
            if self.may_place(s, n) && !site.placed {
                actions.push(Step::Place(n));
            }
            if site.life == 1 && n == 0 && self.0 == Fault::None {
                actions.extend([Step::Crash(n, true), Step::Crash(n, false)]);
            }
        }
        if s.partition < 2 && matches!(self.0, Fault::None | Fault::TakeOver) {
            actions.push(Step::Partition);
        }
        actions.extend(s.messages.iter().cloned().map(Step::Deliver));
        if self.0 == Fault::TakeOver && s.partition == 1 {
            actions.push(Step::TakeOver);
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::AdvanceClocks => s.tick += 1,
            Step::Partition => s.partition += 1,
            Step::Ask(n, wanted) => {
                let now = clock(&s, n);
                let answers = s.sites[n].holder.ask(now);
                s.sites[n].requests += 1;
                s.messages.insert(Message::Ask { life: self.life(n, s.sites[n].life), answers, wanted });
            }
            Step::Place(n) => {
                s.placements += 1;
                s.sites[n].placed = true;
                s.sites[n].persisted = s.sites[n].ownership.persisted();
            }
            Step::Crash(n, disk) => {
                let site = &mut s.sites[n];
                if !disk {
                    (site.persisted, site.placed, site.disk) =
                        (PersistedOwnership::default(), false, site.disk + 1);
                }
                (site.life, site.requests, site.ignores_revocation) = (site.life + 1, 0, false);
                let life = self.life(n, site.life);
                site.holder = Holder::new(life, 0, TERM);
                site.ownership = KeyOwnership::new(life.node.0, &self.1, &site.persisted);
                // All nodes use the same configuration.
                site.ownership.mark_settled();
            }
            Step::TakeOver => {
                let (now, life) = (clock(&s, 1), self.life(1, s.sites[1].life));
                let number = s.allocator.last_number() + 1;
                let grant =
                    Grant { holder: life, epoch: 0, number, amount: 1, answers: 0, length: TERM.length };
                s.sites[1].ownership.apply_grant(BUDGET, &grant, now, TERM, now);
            }
            Step::Deliver(message) => {
                let now = server_clock(&s);
                match message {
                    Message::Ask { life, answers, wanted } => {
                        s.allocator.expire(now);
                        if s.agreed.iter().any(|g| g.holder == life && g.answers == answers) {
                            return None; // The quota server has already answered the request.
                        }
                        let grant = s.allocator.offer(life, wanted, answers);
                        if grant.amount == 0 && s.allocator.charged_units(life) == 0 {
                            return None;
                        }
                        s.agreed.push(grant);
                        s.allocator.record(grant, now);
                        s.messages.insert(Message::Grant(grant));
                    }
                    Message::Grant(grant) => {
                        let n = usize::from(grant.holder.node == self.life(1, 1).node);
                        let at = clock(&s, n);
                        let site = &mut s.sites[n];
                        if grant.holder.incarnation != site.life {
                            return None;
                        }
                        let accepted = site.holder.accept(grant, at);
                        let requested_at = match self.0 {
                            Fault::LeaseFromArrival => at,
                            _ if accepted => site.holder.expires_at()? - TERM.for_holder(),
                            _ => return None,
                        };
                        let held = site.ownership.may_place(&self.2, at, |_| Proof::Clean).is_ok();
                        site.ownership.apply_grant(BUDGET, &grant, requested_at, TERM, at);
                        site.ignores_revocation =
                            self.0 == Fault::IgnoresRevocation && held && grant.amount == 0;
                        s.messages.insert(Message::Taken { life: grant.holder, number: grant.number });
                    }
                    Message::Taken { life, number } => s.allocator.acknowledge(life, number),
                }
            }
        }
        (s != *before).then_some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one owner at a time", |w: &World, s: &State| {
                !(w.holds_range(s, 0) && w.holds_range(s, 1))
            }),
            Property::always("placed once", |_, s: &State| s.placements < 2),
            Property::sometimes("a successor places proved keys", |w: &World, s: &State| w.may_place(s, 1)),
            Property::sometimes("the range returns to its home", |w: &World, s: &State| {
                s.agreed.iter().any(|g| g.holder.node == w.life(1, 1).node) && w.may_place(s, 0)
            }),
        ]
    }
}

/// Explores the reachable states up to a number, breadth first. To keep the search small, faults are searched without
/// crashes and mostly without partitions.
fn explore(fault: Fault, most: usize) -> impl Checker<World> {
    let finish_when = if fault == Fault::None { HasDiscoveries::All } else { HasDiscoveries::AnyFailures };
    world(fault).checker().threads(3).target_state_count(most).finish_when(finish_when).spawn_bfs().join()
}

#[test]
fn a_key_has_one_owner_and_is_placed_once() {
    let search = explore(Fault::None, MAX_STATES);
    println!("{} states", search.unique_state_count());
    search.assert_no_discovery("one owner at a time");
    search.assert_no_discovery("placed once");
    search.assert_any_discovery("a successor places proved keys");
    search.assert_any_discovery("the range returns to its home");
}

#[test]
fn each_injected_fault_is_found() {
    for fault in [Fault::LeaseFromArrival, Fault::TakeOver, Fault::IgnoresRevocation] {
        let search = explore(fault, MAX_STATES);
        assert!(search.discovery("one owner at a time").is_some(), "{fault:?} was not found");
    }
    assert!(
        explore(Fault::AssumesUnplaced, MAX_STATES).discovery("placed once").is_some(),
        "AssumesUnplaced was not found"
    );
}
