//! All that two sites, their divider and a network can do with one guarded key, in every order: clocks that are fast and slow, words that
//! are late or never come, a cut, one crash with the disk or without. Never two that may place it at once, and never placed twice. The
//! same search finds each planted fault.

use shorepath_quota::lease::Holder;
use shorepath_quota::ledger::Ledger;
use shorepath_quota::{Grant, LeasePeriod, Micros, NodeId, NodeIncarnation};
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::key_ownership::{Fence, KeyOwnership, PersistedOwnership, Proof};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

/// A lease holds for two ticks, and clocks go at 8, 10 or 12 a tick, which is 10 in truth.
const TERM: LeasePeriod = LeasePeriod { length: 20, drift_ppm: 200_000, longest: 0 };
const RATES: [Micros; 2] = [8, 12];
const LAST_TICK: Micros = 3;
/// States looked at.
const MOST: usize = 450_000;
/// Askings of each life.
const ASKS: u8 = 2;
/// The key's range is the first node's.
const BUDGET: &str = "home:a/n";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A lease's time counts from when the grant came.
    FromArrival,
    /// A site that takes the other for lost takes its keys over by itself.
    BySight,
    /// An heir goes on although it was told that it has the range no more, and has said that it goes by that.
    GoesOn,
    /// An heir takes keys that it has not heard of for keys that were never placed.
    Trusting,
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
    asked: u8,
    life: u64,
    /// What its disk says: by what it held ranges, whether it placed the key, and which disk it is.
    kept: PersistedOwnership,
    placed: bool,
    disk: u8,
    /// It goes on with what it had, by a planted fault.
    goes_on: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: Micros,
    sites: [Site; 2],
    allocator: Ledger,
    agreed: Vec<Grant>,
    messages: BTreeSet<Message>,
    /// Not yet, now, no more.
    cut: u8,
    /// How often the key was placed in truth.
    placements: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// It asks for the range, or says that it wants it no more.
    Ask(usize, u64),
    Deliver(Message),
    Place(usize),
    /// A crash; whether the disk is there afterwards.
    Crash(usize, bool),
    Cut,
    BySight,
}

struct World(Fault, SitesConfig, String);

fn world(fault: Fault) -> World {
    let text = r#"(sites (fleet "f") (key "k") (site a (node n "1.1.1.1:1") (bears 1)) (site b (node m "1.1.1.1:2") (bears 1)))"#;
    let plan = read("s", text).unwrap();
    let ownership = KeyOwnership::new(0, &plan, &PersistedOwnership::default());
    let key = (0..100).map(|k| format!("k{k}")).find(|k| ownership.home(k) == "a/n").unwrap();
    World(fault, plan, key)
}

impl World {
    fn life(&self, n: usize, incarnation: u64) -> NodeIncarnation {
        let number = self.1.nodes().nth(n).unwrap().1.number;
        NodeIncarnation { node: NodeId(number), incarnation }
    }

    fn start(&self, n: usize, rate: Micros) -> Site {
        let life = self.life(n, 1);
        // The fleet is new: what others may have placed is nothing. So says the disk that it was founded with.
        let fences = BTreeMap::from([("a/n".to_string(), Fence { epoch: 0, number: 0 })]);
        let kept = PersistedOwnership {
            fences,
            settled_nodes: self.1.nodes().map(|(_, n)| n.number).collect(),
            ..PersistedOwnership::default()
        };
        let ownership = KeyOwnership::new(life.node.0, &self.1, &kept);
        let holder = Holder::new(life, 0, TERM);
        Site { rate, holder, ownership, asked: 0, life: 1, kept, placed: false, disk: 1, goes_on: false }
    }

    /// Whether a site may place the key, by all that it has.
    fn may(&self, s: &State, n: usize) -> bool {
        let (here, other) = (&s.sites[n], &s.sites[1 - n]);
        let history = |_: &str| match () {
            _ if self.0 == Fault::Trusting => Proof::Clean,
            _ if here.placed => Proof::Placed,
            // The other is there, its disk and one's own are the ones that the fleet was founded with, and it says what is on it.
            _ if s.cut == 1 || other.disk > 1 || here.disk > 1 => Proof::Unknown,
            _ if other.placed => Proof::Placed,
            _ => Proof::Clean,
        };
        here.goes_on || here.ownership.may_place(&self.2, clock(s, n), history).is_ok()
    }

    /// Whether it takes itself for the home, whatever it knows of the key.
    fn holds(&self, s: &State, n: usize) -> bool {
        s.sites[n].goes_on || s.sites[n].ownership.may_place(&self.2, clock(s, n), |_| Proof::Clean).is_ok()
    }
}

/// The clock of a site: none agrees with another.
fn clock(s: &State, n: usize) -> Micros {
    1_000 * (n as Micros + 1) + s.tick * s.sites[n].rate
}

fn divider_clock(s: &State) -> Micros {
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
                    cut: 0,
                    placements: 0,
                });
            }
        }
        all
    }

    fn actions(&self, s: &State, actions: &mut Vec<Step>) {
        if s.tick < LAST_TICK {
            actions.push(Step::Tick);
        }
        for n in 0..2 {
            let site = &s.sites[n];
            if site.asked < ASKS {
                // The home asks; the heir asks, and then leaves it.
                actions.push(Step::Ask(n, u64::from(n == 0 || site.asked == 0)));
            }
            if self.may(s, n) && !site.placed {
                actions.push(Step::Place(n));
            }
            if site.life == 1 && n == 0 && self.0 == Fault::None {
                actions.extend([Step::Crash(n, true), Step::Crash(n, false)]);
            }
        }
        if s.cut < 2 && matches!(self.0, Fault::None | Fault::BySight) {
            actions.push(Step::Cut);
        }
        actions.extend(s.messages.iter().cloned().map(Step::Deliver));
        if self.0 == Fault::BySight && s.cut == 1 {
            actions.push(Step::BySight);
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut s = before.clone();
        match step {
            Step::Tick => s.tick += 1,
            Step::Cut => s.cut += 1,
            Step::Ask(n, wanted) => {
                let now = clock(&s, n);
                let answers = s.sites[n].holder.ask(now);
                s.sites[n].asked += 1;
                s.messages.insert(Message::Ask { life: self.life(n, s.sites[n].life), answers, wanted });
            }
            Step::Place(n) => {
                s.placements += 1;
                s.sites[n].placed = true;
                s.sites[n].kept = s.sites[n].ownership.persisted();
            }
            Step::Crash(n, disk) => {
                let site = &mut s.sites[n];
                if !disk {
                    (site.kept, site.placed, site.disk) =
                        (PersistedOwnership::default(), false, site.disk + 1);
                }
                (site.life, site.asked, site.goes_on) = (site.life + 1, 0, false);
                let life = self.life(n, site.life);
                site.holder = Holder::new(life, 0, TERM);
                site.ownership = KeyOwnership::new(life.node.0, &self.1, &site.kept);
                // There is one file, which all go by.
                site.ownership.mark_settled();
            }
            Step::BySight => {
                let (now, life) = (clock(&s, 1), self.life(1, s.sites[1].life));
                let number = s.allocator.last_number() + 1;
                let grant =
                    Grant { holder: life, epoch: 0, number, amount: 1, answers: 0, length: TERM.length };
                s.sites[1].ownership.apply_grant(BUDGET, &grant, now, TERM, now);
            }
            Step::Deliver(message) => {
                let now = divider_clock(&s);
                match message {
                    Message::Ask { life, answers, wanted } => {
                        s.allocator.expire(now);
                        if s.agreed.iter().any(|g| g.holder == life && g.answers == answers) {
                            return None; // answered already
                        }
                        let grant = s.allocator.offer(life, wanted, answers);
                        if grant.amount == 0 && s.allocator.charge(life) == 0 {
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
                        let took = site.holder.accept(grant, at);
                        let asked = match self.0 {
                            Fault::FromArrival => at,
                            _ if took => site.holder.expires_at()? - TERM.for_holder(),
                            _ => return None,
                        };
                        let held = site.ownership.may_place(&self.2, at, |_| Proof::Clean).is_ok();
                        site.ownership.apply_grant(BUDGET, &grant, asked, TERM, at);
                        site.goes_on = self.0 == Fault::GoesOn && held && grant.amount == 0;
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
            Property::always("one home at a time", |w: &World, s: &State| !(w.holds(s, 0) && w.holds(s, 1))),
            Property::always("placed once", |_, s: &State| s.placements < 2),
            Property::sometimes("an heir places what is proved", |w: &World, s: &State| w.may(s, 1)),
            Property::sometimes("it comes home again", |w: &World, s: &State| {
                s.agreed.iter().any(|g| g.holder.node == w.life(1, 1).node) && w.may(s, 0)
            }),
        ]
    }
}

/// All states that can be reached, or so many of them, the fewest steps first. Faults are looked for without crashes, and most of them
/// without cuts: fewer states lead to them.
fn searched(fault: Fault, most: usize) -> impl Checker<World> {
    let found = if fault == Fault::None { HasDiscoveries::All } else { HasDiscoveries::AnyFailures };
    world(fault).checker().threads(3).target_state_count(most).finish_when(found).spawn_bfs().join()
}

#[test]
fn one_home_at_a_time_and_no_second_run() {
    let search = searched(Fault::None, MOST);
    println!("{} states", search.unique_state_count());
    search.assert_no_discovery("one home at a time");
    search.assert_no_discovery("placed once");
    search.assert_any_discovery("an heir places what is proved");
    search.assert_any_discovery("it comes home again");
}

#[test]
fn each_planted_fault_is_found() {
    for fault in [Fault::FromArrival, Fault::BySight, Fault::GoesOn] {
        let search = searched(fault, MOST);
        assert!(search.discovery("one home at a time").is_some(), "{fault:?} was not found");
    }
    assert!(searched(Fault::Trusting, MOST).discovery("placed once").is_some(), "Trusting was not found");
}
