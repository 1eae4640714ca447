//! Who is behind what is required, and what follows: brought up, confined to work that may be repeated, shut out, readmitted.
//!
//! [`Overseer`] is a pure function of what it was told and when, so that all who go by one agreement hold the same. It confines nobody by a
//! word: what a node may place ends with its leases, which are not renewed. [`Own`] is the node's side of that: without a fresh confirmation it confines itself,
//! before anyone may take it for confined.

use crate::version::{Item, Lag, Vector};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// When what follows, times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// A node may act on an older version for so long before it is behind, and peers push what it lacks.
    pub behind: Micros,
    /// It is behind and brought up for so long before it is confined.
    pub bring: Micros,
    /// It is confined for so long before it is shut out.
    pub confine: Micros,
    /// Once readmitted it has to stay with what is required for so long before it is as any other.
    pub hold: Micros,
    /// A node that was not heard for so long can't be reached.
    pub silent: Micros,
    /// So many hundredths of the fleet may be shut out at once, one node at least.
    pub share: u32,
}

impl Default for Rules {
    fn default() -> Self {
        let s = 1_000_000;
        Rules { behind: 5 * s, bring: 10 * s, confine: 10 * s, hold: 10 * s, silent: 5 * s, share: 10 }
    }
}

/// How a node stands to what is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It acts on what is required, on something newer, or not for long on something older.
    Current,
    /// It acts on something older.
    Behind,
    /// It does, and a peer has pushed what it lacks.
    BringingUp,
    /// It may only do what may be repeated.
    Confined,
    /// It may do nothing, and its door says not ready.
    ShutOut,
    /// It was confined or shut out, and acts on what is required again, not for long.
    Readmitted,
    /// It was not heard; it has confined itself by now.
    Unreached,
}

/// What a node may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Admits {
    /// Nothing.
    Nothing,
    /// What may be repeated.
    Repeatable,
    /// Everything.
    All,
}

impl State {
    /// What a node in it may do.
    pub fn admits(self) -> Admits {
        match self {
            State::ShutOut => Admits::Nothing,
            State::Confined | State::Unreached => Admits::Repeatable,
            State::Current | State::Behind | State::BringingUp | State::Readmitted => Admits::All,
        }
    }
}

/// Why a node's state has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Why {
    /// It reports something older, or something else, of that item.
    Older(Item),
    /// It reports what is required and was seen to act on something older of that item.
    Contradicts(Item),
    /// It was not heard.
    Silent,
    /// It was heard again.
    #[serde(rename = "Heard")]
    Received,
    /// A peer has pushed what it lacks.
    Pushed,
    /// It acts on what is required.
    CaughtUp,
    /// It has stayed with that for long enough.
    Held,
    /// It fell behind again too soon.
    Flaps(Item),
}

/// One thing that has come about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LagEvent {
    /// A node's state has changed.
    Moved {
        /// Which node.
        node: u32,
        /// Its state before.
        from: State,
        /// Its state from now on.
        to: State,
        /// Why.
        why: Why,
    },
    /// One node more would have been shut out than may be: the change that is required is stopped, and what was required before it counts as
    /// well. It is to be called back: by a greater number with the old content.
    Stopped {
        /// How many are shut out.
        out: usize,
        /// How many would be.
        wanted: usize,
    },
    /// A node holds another content of the very number that is required of that item: whichever is meant, a greater number has to say so.
    Two {
        /// Which node.
        node: u32,
        /// Of what.
        item: Item,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Node {
    state: State,
    /// Since when it is in that state.
    since: Micros,
    #[serde(rename = "heard")]
    received: Micros,
    /// Since when it acts on something older.
    older: Option<Micros>,
    reported: Vector,
    /// What it was seen to act on last, by others.
    acted: Option<Vector>,
    /// Items of which it holds another content of the same number, as far as that was told.
    two: Vec<Item>,
}

/// Knows how each node of a fleet stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Overseer {
    rules: Rules,
    required: Vector,
    /// What was required before; it counts as well once a change was stopped.
    before: Vector,
    stopped: bool,
    nodes: BTreeMap<u32, Node>,
    #[serde(rename = "said")]
    events: Vec<LagEvent>,
}

impl Overseer {
    /// Nothing is required, nobody is known.
    pub fn new(rules: Rules) -> Overseer {
        Overseer {
            rules,
            required: Vector::default(),
            before: Vector::default(),
            stopped: false,
            nodes: BTreeMap::new(),
            events: Vec::new(),
        }
    }

    /// Who belongs to the fleet. One that is new begins as unreached, one that is gone is forgotten.
    pub fn set_fleet(&mut self, nodes: &[u32], now: Micros) {
        self.nodes.retain(|node, _| nodes.contains(node));
        for node in nodes {
            self.nodes.entry(*node).or_insert_with(|| Node {
                state: State::Unreached,
                since: now,
                received: now,
                older: None,
                reported: Vector::default(),
                acted: None,
                two: Vec::new(),
            });
        }
    }

    /// That is required from now on. It has to have gone by [`Vector::take`], so that no older one ever comes back.
    pub fn require(&mut self, required: Vector) {
        if required != self.required {
            self.before = std::mem::replace(&mut self.required, required);
            self.stopped = false;
            for node in self.nodes.values_mut() {
                node.two.clear();
                // Whoever lags behind an earlier change as well has had no more time to take this one.
                if node.state == State::Current {
                    node.older = None;
                }
            }
        }
    }

    /// What is required.
    pub fn required(&self) -> &Vector {
        &self.required
    }

    /// The change to it was stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// A node's own word of what steers it. One of nobody that is known changes nothing.
    pub fn report(&mut self, node: u32, vector: &Vector, now: Micros) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.received = node.received.max(now);
            node.reported = vector.clone();
        }
        self.pass(now);
    }

    /// Others saw the node act under that: it counts above its own word until it is seen to act under another.
    pub fn acted(&mut self, node: u32, vector: &Vector, now: Micros) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.acted = Some(vector.clone());
        }
        self.pass(now);
    }

    /// A peer has pushed to a node what it lacks.
    pub fn pushed(&mut self, number: u32, now: Micros) {
        if let Some(node) = self.nodes.get_mut(&number).filter(|n| n.state == State::Behind) {
            node.state = State::BringingUp;
            self.events.push(LagEvent::Moved {
                node: number,
                from: State::Behind,
                to: State::BringingUp,
                why: Why::Pushed,
            });
        }
        self.pass(now);
    }

    /// How a node stands; nothing of one that is not known.
    pub fn state(&self, node: u32) -> Option<State> {
        self.nodes.get(&node).map(|n| n.state)
    }

    /// What a node may do. One that is not known may only do what may be repeated.
    pub fn admits(&self, node: u32) -> Admits {
        self.state(node).map_or(Admits::Repeatable, State::admits)
    }

    /// Nodes that are to be pushed what they lack.
    pub fn lacking(&self) -> impl Iterator<Item = u32> + '_ {
        let lacks = |n: &Node| {
            matches!(n.state, State::Behind | State::BringingUp | State::Confined | State::ShutOut)
        };
        self.nodes.iter().filter(move |(_, n)| lacks(n)).map(|(node, _)| *node)
    }

    /// What has come about since it was last asked.
    pub fn take_outgoing(&mut self) -> Vec<LagEvent> {
        std::mem::take(&mut self.events)
    }

    /// So many may be shut out at once.
    pub fn most_out(&self) -> usize {
        (self.nodes.len() * self.rules.share as usize / 100).max(1)
    }

    /// Bring all states up to `now`, of a clock that does not go back.
    pub fn pass(&mut self, now: Micros) {
        let numbers: Vec<u32> = self.nodes.keys().copied().collect();
        for number in numbers {
            // One step may make the next one due.
            while self.step(number, now) {}
        }
    }

    /// When something may be due without a word from anybody.
    pub fn due(&self) -> Option<Micros> {
        let rules = self.rules;
        let of = |n: &Node| {
            let ends = match n.state {
                State::Current => n.older.map(|older| older + rules.behind),
                State::Behind | State::BringingUp => Some(n.since + rules.bring),
                State::Confined if !self.stopped => Some(n.since + rules.confine),
                State::Readmitted => Some(n.since + rules.hold),
                _ => None,
            };
            let silent = (n.state != State::Unreached).then(|| n.received + rules.silent);
            ends.into_iter().chain(silent).min()
        };
        self.nodes.values().filter_map(of).min()
    }

    /// Of what it is behind, and whether its own word says otherwise.
    fn behind(&self, node: &Node) -> Option<(Item, bool)> {
        let older = |vector: &Vector| {
            let of = |required: &Vector| {
                let lags = vector.against(required);
                lags.into_iter()
                    .find(|(_, lag)| matches!(lag, Lag::Behind(_) | Lag::Other))
                    .map(|(item, _)| item)
            };
            let first = of(&self.required);
            first.filter(|_| !self.stopped || of(&self.before).is_some())
        };
        let reported = older(&node.reported);
        let acted = node.acted.as_ref().and_then(older);
        reported.map(|item| (item, false)).or(acted.map(|item| (item, true)))
    }

    fn step(&mut self, number: u32, now: Micros) -> bool {
        let Some(node) = self.nodes.get(&number) else { return false };
        let behind = self.behind(node);
        let older = behind.map(|_| node.older.unwrap_or(now));
        let (state, since, rules) = (node.state, node.since, self.rules);
        let two = node.reported.against(&self.required).into_iter().filter(|(_, lag)| *lag == Lag::Apart);
        let two: Vec<Item> = two.map(|(item, _)| item).filter(|item| !node.two.contains(item)).collect();
        let silent = now - node.received >= rules.silent;
        // A node that was never heard has said nothing.
        let received =
            node.received > since || (node.received == since && node.reported != Vector::default());
        let because = |(item, contradicts)| match contradicts {
            true => Why::Contradicts(item),
            false => Why::Older(item),
        };
        let to = match (state, behind) {
            (State::Unreached, _) if silent || !received => None,
            (_, _) if silent => Some((State::Unreached, Why::Silent)),
            // It was away: it is brought up from now on, and may not place meanwhile what must not run twice.
            (State::Unreached, Some(_)) => Some((State::Confined, Why::Received)),
            (State::Unreached, None) => Some((State::Readmitted, Why::Received)),
            (State::Current, Some(why)) if older.is_some_and(|older| now - older >= rules.behind) => {
                Some((State::Behind, because(why)))
            }
            (State::Behind | State::BringingUp, Some(why)) if now - since >= rules.bring => {
                Some((State::Confined, because(why)))
            }
            (State::Confined, Some(why)) if now - since >= rules.confine && !self.stopped => {
                Some((State::ShutOut, because(why)))
            }
            (State::Readmitted, Some((item, _))) => Some((State::Confined, Why::Flaps(item))),
            (State::Behind | State::BringingUp, None) => Some((State::Current, Why::CaughtUp)),
            (State::Confined | State::ShutOut, None) => Some((State::Readmitted, Why::CaughtUp)),
            (State::Readmitted, None) if now - since >= rules.hold => Some((State::Current, Why::Held)),
            _ => None,
        };
        if let Some((State::ShutOut, _)) = to {
            let out = self.nodes.values().filter(|n| n.state == State::ShutOut).count();
            if out + 1 > self.most_out() {
                self.stopped = true;
                self.events.push(LagEvent::Stopped { out, wanted: out + 1 });
                return true;
            }
        }
        self.events.extend(two.iter().map(|item| LagEvent::Two { node: number, item: *item }));
        if let Some(node) = self.nodes.get_mut(&number) {
            node.two.extend(two);
            node.older = older;
            if let Some((to, why)) = to {
                (node.state, node.since) = (to, now);
                self.events.push(LagEvent::Moved { node: number, from: state, to, why });
            }
        }
        to.is_some()
    }
}

/// A node's own side: what it may do, by its own clock.
///
/// It asks; the answer says what it may do, and holds for a lease from the *asking* on, less what its clock may be off by. Who answers takes the node for
/// confined only after [`Own::outlives`], counted from the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Own {
    /// Drawn as the process begins: what an earlier one asked by another clock is none of this one's.
    life: u64,
    lease: Micros,
    /// What clocks may be off by, in millionths.
    drift: u32,
    admits: Admits,
    /// When the asking was sent to which the newest answer belongs.
    asked: Option<Micros>,
    /// The number of the newest answer.
    number: u64,
}

impl Own {
    /// Nothing is confirmed: only what may be repeated is done.
    pub fn new(life: u64, lease: Micros, drift: u32) -> Own {
        Own { life, lease, drift, admits: Admits::Repeatable, asked: None, number: 0 }
    }

    /// An answer to what this life asked at `asked`, by its clock. Answers are numbered by who answers; an older one changes nothing, and
    /// neither does one to another life.
    pub fn confirmed(&mut self, life: u64, asked: Micros, number: u64, admits: Admits) -> bool {
        if number <= self.number || life != self.life {
            return false;
        }
        (self.number, self.admits) = (number, admits);
        self.asked = Some(self.asked.map_or(asked, |before| before.max(asked)));
        true
    }

    /// What it may do now, by its own clock.
    pub fn admits(&self, now: Micros) -> Admits {
        let holds = self.lease - self.lease * Micros::from(self.drift) / 1_000_000;
        match self.asked {
            Some(asked) if now - asked < holds && now >= asked => self.admits,
            // What it was refused stays refused; nothing more than that is allowed without a word.
            _ => self.admits.min(Admits::Repeatable),
        }
    }

    /// So long after an answer that said less, by the clock of who answered, nothing that the one before allowed is done any more.
    pub fn outlives(lease: Micros, drift: u32) -> Micros {
        lease + lease * Micros::from(drift) / 1_000_000
    }
}
