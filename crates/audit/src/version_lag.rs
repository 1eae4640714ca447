//! Who is behind what is required, and what follows: brought up, confined to work that may be repeated, shut out, readmitted.
//!
//! [`VersionMonitor`] is a pure function of what it was told and when, so that all who go by one agreement hold the same. It confines nobody by a
//! word: what a node may place ends with its leases, which are not renewed. [`AdmissionLease`] is the node's side of that: without a fresh confirmation it confines itself,
//! before anyone may take it for confined.

use crate::version::{Item, Lag, VersionVector};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// When what follows, times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// A node may act on an older version for so long before it is behind, and peers push what it lacks.
    #[serde(rename = "behind")]
    pub grace: Micros,
    /// It is behind and brought up for so long before it is confined.
    #[serde(rename = "bring")]
    pub catch_up: Micros,
    /// It is confined for so long before it is shut out.
    #[serde(rename = "confine")]
    pub confinement: Micros,
    /// Once readmitted it has to stay with what is required for so long before it is as any other.
    #[serde(rename = "hold")]
    pub probation: Micros,
    /// A node that was not heard for so long can't be reached.
    #[serde(rename = "silent")]
    pub unreachable_after: Micros,
    /// So many hundredths of the fleet may be shut out at once, one node at least.
    #[serde(rename = "share")]
    pub max_shut_out_percent: u32,
}

impl Default for Rules {
    fn default() -> Self {
        let s = 1_000_000;
        Rules {
            grace: 5 * s,
            catch_up: 10 * s,
            confinement: 10 * s,
            probation: 10 * s,
            unreachable_after: 5 * s,
            max_shut_out_percent: 10,
        }
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
    #[serde(rename = "BringingUp")]
    CatchingUp,
    /// It may only do what may be repeated.
    Confined,
    /// It may do nothing, and its door says not ready.
    ShutOut,
    /// It was confined or shut out, and acts on what is required again, not for long.
    #[serde(rename = "Readmitted")]
    Probation,
    /// It was not heard; it has confined itself by now.
    #[serde(rename = "Unreached")]
    Unreachable,
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
            State::Confined | State::Unreachable => Admits::Repeatable,
            State::Current | State::Behind | State::CatchingUp | State::Probation => Admits::All,
        }
    }
}

/// LagReason a node's state has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LagReason {
    /// It reports something older, or something else, of that item.
    Older(Item),
    /// It reports what is required and was seen to act on something older of that item.
    Contradicts(Item),
    /// It was not heard.
    Silent,
    /// It was heard again.
    #[serde(rename = "Heard")]
    Reachable,
    /// A peer has pushed what it lacks.
    Pushed,
    /// It acts on what is required.
    CaughtUp,
    /// It has stayed with that for long enough.
    #[serde(rename = "Held")]
    Stable,
    /// It fell behind again too soon.
    #[serde(rename = "Flaps")]
    Flapping(Item),
}

/// One thing that has come about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LagEvent {
    /// A node's state has changed.
    #[serde(rename = "Moved")]
    StateChanged {
        /// Which node.
        node: u32,
        /// Its state before.
        from: State,
        /// Its state from now on.
        to: State,
        /// LagReason.
        #[serde(rename = "why")]
        reason: LagReason,
    },
    /// One node more would have been shut out than may be: the change that is required is stopped, and what was required before it counts as
    /// well. It is to be called back: by a greater number with the old content.
    #[serde(rename = "Stopped")]
    RolloutStopped {
        /// How many are shut out.
        out: usize,
        /// How many would be.
        wanted: usize,
    },
    /// A node holds another content of the very number that is required of that item: whichever is meant, a greater number has to say so.
    #[serde(rename = "Two")]
    Conflict {
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
    #[serde(rename = "older")]
    outdated_since: Option<Micros>,
    reported: VersionVector,
    /// What it was seen to act on last, by others.
    #[serde(rename = "acted")]
    observed: Option<VersionVector>,
    /// Items of which it holds another content of the same number, as far as that was told.
    #[serde(rename = "two")]
    conflicts: Vec<Item>,
}

/// Knows how each node of a fleet stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionMonitor {
    rules: Rules,
    required: VersionVector,
    /// What was required before; it counts as well once a change was stopped.
    before: VersionVector,
    stopped: bool,
    nodes: BTreeMap<u32, Node>,
    #[serde(rename = "said")]
    events: Vec<LagEvent>,
}

impl VersionMonitor {
    /// Nothing is required, nobody is known.
    pub fn new(rules: Rules) -> VersionMonitor {
        VersionMonitor {
            rules,
            required: VersionVector::default(),
            before: VersionVector::default(),
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
                state: State::Unreachable,
                since: now,
                received: now,
                outdated_since: None,
                reported: VersionVector::default(),
                observed: None,
                conflicts: Vec::new(),
            });
        }
    }

    /// That is required from now on. It has to have gone by [`VersionVector::apply`], so that no older one ever comes back.
    pub fn require(&mut self, required: VersionVector) {
        if required != self.required {
            self.before = std::mem::replace(&mut self.required, required);
            self.stopped = false;
            for node in self.nodes.values_mut() {
                node.conflicts.clear();
                // Whoever lags behind an earlier change as well has had no more time to take this one.
                if node.state == State::Current {
                    node.outdated_since = None;
                }
            }
        }
    }

    /// What is required.
    pub fn required(&self) -> &VersionVector {
        &self.required
    }

    /// The change to it was stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// A node's own word of what steers it. One of nobody that is known changes nothing.
    pub fn report(&mut self, node: u32, vector: &VersionVector, now: Micros) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.received = node.received.max(now);
            node.reported = vector.clone();
        }
        self.advance(now);
    }

    /// Others saw the node act under that: it counts above its own word until it is seen to act under another.
    pub fn record_observed(&mut self, node: u32, vector: &VersionVector, now: Micros) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.observed = Some(vector.clone());
        }
        self.advance(now);
    }

    /// A peer has pushed to a node what it lacks.
    pub fn record_push(&mut self, number: u32, now: Micros) {
        if let Some(node) = self.nodes.get_mut(&number).filter(|n| n.state == State::Behind) {
            node.state = State::CatchingUp;
            self.events.push(LagEvent::StateChanged {
                node: number,
                from: State::Behind,
                to: State::CatchingUp,
                reason: LagReason::Pushed,
            });
        }
        self.advance(now);
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
    pub fn outdated_nodes(&self) -> impl Iterator<Item = u32> + '_ {
        let lacks = |n: &Node| {
            matches!(n.state, State::Behind | State::CatchingUp | State::Confined | State::ShutOut)
        };
        self.nodes.iter().filter(move |(_, n)| lacks(n)).map(|(node, _)| *node)
    }

    /// What has come about since it was last asked.
    pub fn take_events(&mut self) -> Vec<LagEvent> {
        std::mem::take(&mut self.events)
    }

    /// So many may be shut out at once.
    pub fn max_shut_out(&self) -> usize {
        (self.nodes.len() * self.rules.max_shut_out_percent as usize / 100).max(1)
    }

    /// Bring all states up to `now`, of a clock that does not go back.
    pub fn advance(&mut self, now: Micros) {
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
                State::Current => n.outdated_since.map(|older| older + rules.grace),
                State::Behind | State::CatchingUp => Some(n.since + rules.catch_up),
                State::Confined if !self.stopped => Some(n.since + rules.confinement),
                State::Probation => Some(n.since + rules.probation),
                _ => None,
            };
            let silent = (n.state != State::Unreachable).then(|| n.received + rules.unreachable_after);
            ends.into_iter().chain(silent).min()
        };
        self.nodes.values().filter_map(of).min()
    }

    /// Of what it is behind, and whether its own word says otherwise.
    fn behind(&self, node: &Node) -> Option<(Item, bool)> {
        let older = |vector: &VersionVector| {
            let of = |required: &VersionVector| {
                let lags = vector.compare(required);
                lags.into_iter()
                    .find(|(_, lag)| matches!(lag, Lag::Behind(_) | Lag::Different))
                    .map(|(item, _)| item)
            };
            let first = of(&self.required);
            first.filter(|_| !self.stopped || of(&self.before).is_some())
        };
        let reported = older(&node.reported);
        let acted = node.observed.as_ref().and_then(older);
        reported.map(|item| (item, false)).or(acted.map(|item| (item, true)))
    }

    fn step(&mut self, number: u32, now: Micros) -> bool {
        let Some(node) = self.nodes.get(&number) else { return false };
        let behind = self.behind(node);
        let older = behind.map(|_| node.outdated_since.unwrap_or(now));
        let (state, since, rules) = (node.state, node.since, self.rules);
        let two = node.reported.compare(&self.required).into_iter().filter(|(_, lag)| *lag == Lag::Conflict);
        let two: Vec<Item> =
            two.map(|(item, _)| item).filter(|item| !node.conflicts.contains(item)).collect();
        let silent = now - node.received >= rules.unreachable_after;
        // A node that was never heard has said nothing.
        let received =
            node.received > since || (node.received == since && node.reported != VersionVector::default());
        let because = |(item, contradicts)| match contradicts {
            true => LagReason::Contradicts(item),
            false => LagReason::Older(item),
        };
        let to = match (state, behind) {
            (State::Unreachable, _) if silent || !received => None,
            (_, _) if silent => Some((State::Unreachable, LagReason::Silent)),
            // It was away: it is brought up from now on, and may not place meanwhile what must not run twice.
            (State::Unreachable, Some(_)) => Some((State::Confined, LagReason::Reachable)),
            (State::Unreachable, None) => Some((State::Probation, LagReason::Reachable)),
            (State::Current, Some(why)) if older.is_some_and(|older| now - older >= rules.grace) => {
                Some((State::Behind, because(why)))
            }
            (State::Behind | State::CatchingUp, Some(why)) if now - since >= rules.catch_up => {
                Some((State::Confined, because(why)))
            }
            (State::Confined, Some(why)) if now - since >= rules.confinement && !self.stopped => {
                Some((State::ShutOut, because(why)))
            }
            (State::Probation, Some((item, _))) => Some((State::Confined, LagReason::Flapping(item))),
            (State::Behind | State::CatchingUp, None) => Some((State::Current, LagReason::CaughtUp)),
            (State::Confined | State::ShutOut, None) => Some((State::Probation, LagReason::CaughtUp)),
            (State::Probation, None) if now - since >= rules.probation => {
                Some((State::Current, LagReason::Stable))
            }
            _ => None,
        };
        if let Some((State::ShutOut, _)) = to {
            let out = self.nodes.values().filter(|n| n.state == State::ShutOut).count();
            if out + 1 > self.max_shut_out() {
                self.stopped = true;
                self.events.push(LagEvent::RolloutStopped { out, wanted: out + 1 });
                return true;
            }
        }
        self.events.extend(two.iter().map(|item| LagEvent::Conflict { node: number, item: *item }));
        if let Some(node) = self.nodes.get_mut(&number) {
            node.conflicts.extend(two);
            node.outdated_since = older;
            if let Some((to, why)) = to {
                (node.state, node.since) = (to, now);
                self.events.push(LagEvent::StateChanged { node: number, from: state, to, reason: why });
            }
        }
        to.is_some()
    }
}

/// A node's own side: what it may do, by its own clock.
///
/// It asks; the answer says what it may do, and holds for a lease from the *asking* on, less what its clock may be off by. Who answers takes the node for
/// confined only after [`AdmissionLease::max_validity`], counted from the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionLease {
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

impl AdmissionLease {
    /// Nothing is confirmed: only what may be repeated is done.
    pub fn new(life: u64, lease: Micros, drift: u32) -> AdmissionLease {
        AdmissionLease { life, lease, drift, admits: Admits::Repeatable, asked: None, number: 0 }
    }

    /// An answer to what this life asked at `asked`, by its clock. Answers are numbered by who answers; an older one changes nothing, and
    /// neither does one to another life.
    pub fn record_answer(&mut self, life: u64, asked: Micros, number: u64, admits: Admits) -> bool {
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
    pub fn max_validity(lease: Micros, drift: u32) -> Micros {
        lease + lease * Micros::from(drift) / 1_000_000
    }
}
