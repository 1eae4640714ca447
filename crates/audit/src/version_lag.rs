//! Nodes that lag behind the required versions: they are updated, confined to idempotent requests, shut out and readmitted.
//!
//! [`VersionMonitor`] is a deterministic state machine, so replicas with the same inputs agree. It restricts a node by not renewing its
//! leases, never by a command. [`AdmissionLease`] is the node's side: without a fresh answer the node confines itself, before the
//! monitor may consider it confined.

use crate::version::{Item, Lag, VersionVector};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time limits of the states, in microseconds, and the limit of nodes that are shut out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// How long a node may act on an older version before it counts as behind and peers push the missing versions to it.
    #[serde(rename = "behind")]
    pub grace: Micros,
    /// How long a node may stay behind, or catch up, before it is confined.
    #[serde(rename = "bring")]
    pub catch_up: Micros,
    /// How long a node stays confined before it is shut out.
    #[serde(rename = "confine")]
    pub confinement: Micros,
    /// How long a readmitted node has to keep the required versions before it counts as current.
    #[serde(rename = "hold")]
    pub probation: Micros,
    /// A node counts as unreachable after this time without a report.
    #[serde(rename = "silent")]
    pub unreachable_after: Micros,
    /// Share of the fleet that may be shut out at once, in percent; at least one node may be.
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

/// State of a node with respect to the required versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// Acts on the required versions or newer ones, or on older ones within the grace period.
    Current,
    /// Has acted on an older version for longer than the grace period.
    Behind,
    /// Behind, and a peer has pushed the missing versions.
    #[serde(rename = "BringingUp")]
    CatchingUp,
    /// May serve idempotent requests only.
    Confined,
    /// May serve no requests, and its readiness check fails.
    ShutOut,
    /// Was confined, shut out or unreachable, and has acted on the required versions again for a short time.
    #[serde(rename = "Readmitted")]
    Probation,
    /// Has sent no report for too long, and has confined itself by now.
    #[serde(rename = "Unreached")]
    Unreachable,
}

/// The requests that a node may serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Admits {
    /// No requests.
    Nothing,
    /// Idempotent requests only.
    Repeatable,
    /// All requests.
    All,
}

impl State {
    /// Returns which requests a node in this state may serve.
    pub fn admits(self) -> Admits {
        match self {
            State::ShutOut => Admits::Nothing,
            State::Confined | State::Unreachable => Admits::Repeatable,
            State::Current | State::Behind | State::CatchingUp | State::Probation => Admits::All,
        }
    }
}

/// Why a node's state has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LagReason {
    /// It reports an older or a different version of this item.
    Older(Item),
    /// It reports the required version of this item, and other nodes saw it act on an older one.
    Contradicts(Item),
    /// It has sent no report for too long.
    Silent,
    /// A report arrived after the node was unreachable.
    #[serde(rename = "Heard")]
    Reachable,
    /// A peer has pushed the missing versions.
    Pushed,
    /// It acts on the required versions.
    CaughtUp,
    /// It kept the required versions during its probation.
    #[serde(rename = "Held")]
    Stable,
    /// It fell behind on this item during its probation.
    #[serde(rename = "Flaps")]
    Flapping(Item),
}

/// An event for operators and for the rollout of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LagEvent {
    /// A node entered another state.
    #[serde(rename = "Moved")]
    StateChanged {
        /// The node's number.
        node: u32,
        /// The previous state.
        from: State,
        /// The new state.
        to: State,
        /// The cause of the change.
        #[serde(rename = "why")]
        reason: LagReason,
    },
    /// Too many nodes would be shut out: the required change is stopped, and nodes on the versions before it count as current too.
    ///
    /// The change has to be withdrawn by distributing the old content under a greater number.
    #[serde(rename = "Stopped")]
    RolloutStopped {
        /// Number of nodes that are shut out.
        out: usize,
        /// Number of nodes that would be shut out.
        wanted: usize,
    },
    /// A node has different content under the required number of an item; the valid content needs a greater number.
    #[serde(rename = "Two")]
    Conflict {
        /// The node's number.
        node: u32,
        /// The item in conflict.
        item: Item,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Node {
    state: State,
    /// When the node entered the state.
    since: Micros,
    /// When the last report arrived.
    #[serde(rename = "heard")]
    received: Micros,
    /// Since when the node acts on an older version; `None` if it doesn't.
    #[serde(rename = "older")]
    outdated_since: Option<Micros>,
    reported: VersionVector,
    /// The versions that other nodes last saw the node act on.
    #[serde(rename = "acted")]
    observed: Option<VersionVector>,
    /// Items with different content under the required number that were already reported as events.
    #[serde(rename = "two")]
    conflicts: Vec<Item>,
}

/// Tracks the state of each node of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionMonitor {
    rules: Rules,
    required: VersionVector,
    /// The versions required before the last change, which are accepted too once that change is stopped.
    before: VersionVector,
    stopped: bool,
    nodes: BTreeMap<u32, Node>,
    #[serde(rename = "said")]
    events: Vec<LagEvent>,
}

impl VersionMonitor {
    /// Returns a monitor without nodes and without required versions.
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

    /// Sets the nodes of the fleet: new ones start as unreachable, and those that left are forgotten.
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

    /// Sets the required versions. They have to come from [`VersionVector::apply`], so that older ones never return.
    pub fn require(&mut self, required: VersionVector) {
        if required != self.required {
            self.before = std::mem::replace(&mut self.required, required);
            self.stopped = false;
            for node in self.nodes.values_mut() {
                node.conflicts.clear();
                // A node that already lags behind an earlier change gets no new grace period.
                if node.state == State::Current {
                    node.outdated_since = None;
                }
            }
        }
    }

    /// Returns the required versions.
    pub fn required(&self) -> &VersionVector {
        &self.required
    }

    /// Whether the last change of the required versions was stopped.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Records a node's report of its versions; one from an unknown node is ignored.
    pub fn report(&mut self, node: u32, vector: &VersionVector, now: Micros) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.received = node.received.max(now);
            node.reported = vector.clone();
        }
        self.advance(now);
    }

    /// Records the versions that other nodes saw a node act on; the node is behind if either these or its report are.
    pub fn record_observed(&mut self, node: u32, vector: &VersionVector, now: Micros) {
        if let Some(node) = self.nodes.get_mut(&node) {
            node.observed = Some(vector.clone());
        }
        self.advance(now);
    }

    /// Records that a peer has pushed the missing versions to a node.
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

    /// Returns the state of a node; `None` if it is unknown.
    pub fn state(&self, node: u32) -> Option<State> {
        self.nodes.get(&node).map(|n| n.state)
    }

    /// Returns which requests a node may serve; an unknown node only idempotent ones.
    pub fn admits(&self, node: u32) -> Admits {
        self.state(node).map_or(Admits::Repeatable, State::admits)
    }

    /// Returns the nodes that peers should push the missing versions to.
    pub fn outdated_nodes(&self) -> impl Iterator<Item = u32> + '_ {
        let is_outdated = |n: &Node| {
            matches!(n.state, State::Behind | State::CatchingUp | State::Confined | State::ShutOut)
        };
        self.nodes.iter().filter(move |(_, n)| is_outdated(n)).map(|(node, _)| *node)
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<LagEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns how many nodes may be shut out at once.
    pub fn max_shut_out(&self) -> usize {
        (self.nodes.len() * self.rules.max_shut_out_percent as usize / 100).max(1)
    }

    /// Advances all states to `now`, from a monotonic clock.
    pub fn advance(&mut self, now: Micros) {
        let numbers: Vec<u32> = self.nodes.keys().copied().collect();
        for number in numbers {
            // A transition may make the next one due.
            while self.transition(number, now) {}
        }
    }

    /// Returns when a state may change without a new input; `None` if none can.
    pub fn due(&self) -> Option<Micros> {
        let rules = self.rules;
        let node_due = |n: &Node| {
            let deadline = match n.state {
                State::Current => n.outdated_since.map(|since| since + rules.grace),
                State::Behind | State::CatchingUp => Some(n.since + rules.catch_up),
                State::Confined if !self.stopped => Some(n.since + rules.confinement),
                State::Probation => Some(n.since + rules.probation),
                _ => None,
            };
            let silent = (n.state != State::Unreachable).then(|| n.received + rules.unreachable_after);
            deadline.into_iter().chain(silent).min()
        };
        self.nodes.values().filter_map(node_due).min()
    }

    /// Returns an item on which the node is behind, and whether the node's own report contradicts that.
    fn outdated_item(&self, node: &Node) -> Option<(Item, bool)> {
        let first_outdated = |vector: &VersionVector| {
            let behind = |required: &VersionVector| {
                let lags = vector.compare(required);
                lags.into_iter()
                    .find(|(_, lag)| matches!(lag, Lag::Behind(_) | Lag::Different))
                    .map(|(item, _)| item)
            };
            let first = behind(&self.required);
            first.filter(|_| !self.stopped || behind(&self.before).is_some())
        };
        let reported = first_outdated(&node.reported);
        let observed = node.observed.as_ref().and_then(first_outdated);
        reported.map(|item| (item, false)).or(observed.map(|item| (item, true)))
    }

    fn transition(&mut self, number: u32, now: Micros) -> bool {
        let Some(node) = self.nodes.get(&number) else { return false };
        let behind = self.outdated_item(node);
        let outdated_since = behind.map(|_| node.outdated_since.unwrap_or(now));
        let (state, since, rules) = (node.state, node.since, self.rules);
        let new_conflicts =
            node.reported.compare(&self.required).into_iter().filter(|(_, lag)| *lag == Lag::Conflict);
        let new_conflicts: Vec<Item> =
            new_conflicts.map(|(item, _)| item).filter(|item| !node.conflicts.contains(item)).collect();
        let silent = now - node.received >= rules.unreachable_after;
        // A new node counts as reachable only after its first report.
        let has_reported =
            node.received > since || (node.received == since && node.reported != VersionVector::default());
        let lag_reason = |(item, contradicts)| match contradicts {
            true => LagReason::Contradicts(item),
            false => LagReason::Older(item),
        };
        let to = match (state, behind) {
            (State::Unreachable, _) if silent || !has_reported => None,
            (_, _) if silent => Some((State::Unreachable, LagReason::Silent)),
            // Guards against an at-most-once request on old versions by a node that was unreachable.
            (State::Unreachable, Some(_)) => Some((State::Confined, LagReason::Reachable)),
            (State::Unreachable, None) => Some((State::Probation, LagReason::Reachable)),
            (State::Current, Some(lag)) if outdated_since.is_some_and(|since| now - since >= rules.grace) => {
                Some((State::Behind, lag_reason(lag)))
            }
            (State::Behind | State::CatchingUp, Some(lag)) if now - since >= rules.catch_up => {
                Some((State::Confined, lag_reason(lag)))
            }
            (State::Confined, Some(lag)) if now - since >= rules.confinement && !self.stopped => {
                Some((State::ShutOut, lag_reason(lag)))
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
        self.events.extend(new_conflicts.iter().map(|item| LagEvent::Conflict { node: number, item: *item }));
        if let Some(node) = self.nodes.get_mut(&number) {
            node.conflicts.extend(new_conflicts);
            node.outdated_since = outdated_since;
            if let Some((to, reason)) = to {
                (node.state, node.since) = (to, now);
                self.events.push(LagEvent::StateChanged { node: number, from: state, to, reason });
            }
        }
        to.is_some()
    }
}

/// The node's side of the restrictions: which requests it may serve, by its own clock.
///
/// The node sends requests to the monitor's side. An answer is valid for one lease from the time of the *request*, shortened by the
/// possible clock drift. The monitor's side considers the node confined only [`AdmissionLease::max_validity`] after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionLease {
    /// Random number of this process; answers to an earlier process, with another clock, are ignored.
    process: u64,
    /// Duration of the lease, in microseconds.
    lease: Micros,
    /// Largest clock drift, in parts per million.
    drift: u32,
    admits: Admits,
    /// When the latest answered request was sent.
    request_sent_at: Option<Micros>,
    /// Number of the newest answer.
    number: u64,
}

impl AdmissionLease {
    /// Returns a lease without an answer, which admits idempotent requests only.
    ///
    /// `lease` is in microseconds, `drift` in parts per million.
    pub fn new(process: u64, lease: Micros, drift: u32) -> AdmissionLease {
        AdmissionLease { process, lease, drift, admits: Admits::Repeatable, request_sent_at: None, number: 0 }
    }

    /// Records the answer to a request that was sent at `request_sent_at` by this process's clock, and returns whether it was accepted.
    ///
    /// The answering side numbers its answers; an older one, or one to another process, is ignored.
    pub fn record_answer(
        &mut self,
        process: u64,
        request_sent_at: Micros,
        number: u64,
        admits: Admits,
    ) -> bool {
        if number <= self.number || process != self.process {
            return false;
        }
        (self.number, self.admits) = (number, admits);
        self.request_sent_at =
            Some(self.request_sent_at.map_or(request_sent_at, |before| before.max(request_sent_at)));
        true
    }

    /// Returns which requests the node may serve at `now`, by its own clock.
    pub fn admits(&self, now: Micros) -> Admits {
        let validity = self.lease - self.lease * Micros::from(self.drift) / 1_000_000;
        match self.request_sent_at {
            Some(request_sent_at) if now - request_sent_at < validity && now >= request_sent_at => {
                self.admits
            }
            // Without a valid answer, idempotent requests at most; an earlier restriction stays.
            _ => self.admits.min(Admits::Repeatable),
        }
    }

    /// Returns how long, in microseconds after a restricting answer, an earlier permission may stay in use.
    ///
    /// It is measured by the answering side's clock; `lease` is in microseconds, `drift` in parts per million.
    pub fn max_validity(lease: Micros, drift: u32) -> Micros {
        lease + lease * Micros::from(drift) / 1_000_000
    }
}
