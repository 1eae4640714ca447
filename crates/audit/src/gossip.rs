//! Gossip of version vectors and audit log heads, which also detects logs that were rolled back or forked.
//!
//! A node that learns a change forwards it to three random peers, at a limited rate. In addition, each node regularly sends one
//! random peer the latest changes and some of the unchanged reports in turn. The message rate per node is therefore independent of
//! the size of the fleet.

use crate::audit_log::{ChainPoint, Digest};
use crate::version::{ContentHash, VersionVector};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Limit of reports in a message, and of disputed log positions.
pub const MAX_REPORTS: usize = 10;
/// Limit of version vectors in a message.
pub const MAX_VECTORS: usize = 2;
/// Number of messages in which a node forwards a change.
const FANOUT: u8 = 3;
/// Limit of remembered log positions per node.
const MAX_LOG_POINTS: usize = 64;

/// Minimum intervals between messages of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intervals {
    /// Between messages about changes, in microseconds.
    pub changes: Micros,
    /// Between periodic messages, in microseconds; a quarter of it during the first five intervals after a change.
    pub periodic: Micros,
}

impl Default for Intervals {
    fn default() -> Self {
        Intervals { changes: 50_000, periodic: 1_000_000 }
    }
}

/// A node's report on itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeReport {
    /// The node's number.
    pub node: u32,
    /// Increases with each report of the node, also across restarts: its Unix time in microseconds, or one more than the last value
    /// if its clock went backwards.
    pub at: Micros,
    /// Random id of the node's audit log, drawn when the log was created.
    #[serde(rename = "life")]
    pub log_id: u64,
    /// Position of the last entry of the log.
    pub head: ChainPoint,
    /// Hash of the node's version vector, see [`VersionVector::shared`].
    pub content: ContentHash,
}

/// A gossip message between two nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Reports of any nodes, at most [`MAX_REPORTS`].
    #[serde(rename = "stories")]
    pub reports: Vec<NodeReport>,
    /// Version vectors for some of the reports, at most [`MAX_VECTORS`].
    pub vectors: Vec<VersionVector>,
    /// Positions of the receiver's own log, with the log's id, that contradict its later reports.
    pub disputed: Vec<(u64, ChainPoint)>,
}

/// An observation on a node, for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditUpdate {
    /// A node acts on other versions than before.
    VersionsChanged {
        /// The node's number.
        node: u32,
        /// Hash of its version vector.
        content: ContentHash,
    },
    /// A node has started a new log: its disk was lost, or the old log was invalid.
    LogReplaced {
        /// The node's number.
        node: u32,
    },
    /// A node's log has become shorter: an older disk was restored.
    LogRolledBack {
        /// The node's number.
        node: u32,
        /// Number of the last entry before.
        previous: u64,
        /// Number of the last entry now.
        current: u64,
    },
    /// A node reports different digests for one entry of its log.
    LogForked {
        /// The node's number.
        node: u32,
        /// Number of the entry that has two digests.
        number: u64,
    },
    /// Peers know a position of this node's own log that the log on its disk has to be checked against.
    OwnLogClaim {
        /// Id of the log that the position belongs to.
        log_id: u64,
        /// The position that peers know.
        point: ChainPoint,
    },
}

#[derive(Clone, Debug)]
struct KnownNode {
    report: NodeReport,
    /// When this version vector became known here.
    since: Micros,
    /// When the last newer report arrived.
    received: Micros,
    /// Number of messages that are still to forward the report.
    pending_forwards: u8,
    /// Digests of the current log by entry number.
    points: BTreeMap<u64, Digest>,
    /// A position of the log, with its id, that later reports contradict; the node is informed until it starts a new log.
    disputed: Option<(u64, ChainPoint)>,
}

/// One node's knowledge of the fleet, and its outgoing messages.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: u32,
    peers: Vec<u32>,
    intervals: Intervals,
    known: BTreeMap<u32, KnownNode>,
    vectors: BTreeMap<ContentHash, VersionVector>,
    /// State of the random number generator, never 0.
    random: u64,
    /// Nodes by the time of their last change, the latest one last.
    changed: VecDeque<u32>,
    /// The last node whose report was sent in turn.
    last_in_turn: u32,
    next_change_message: Micros,
    next_periodic_message: Micros,
    updates: Vec<AuditUpdate>,
}

impl Gossip {
    /// Returns the gossip state of node `me`; `seed` is a random number.
    pub fn new(me: u32, peers: &[u32], intervals: Intervals, seed: u64, now: Micros) -> Gossip {
        Gossip {
            me,
            peers: peers.iter().copied().filter(|n| *n != me).collect(),
            intervals,
            known: BTreeMap::new(),
            vectors: BTreeMap::new(),
            random: seed | 1,
            changed: VecDeque::new(),
            last_in_turn: 0,
            next_change_message: now,
            next_periodic_message: now.saturating_add((seed % 1_000) as i64 * intervals.periodic / 1_000),
            updates: Vec::new(),
        }
    }

    /// Sets the nodes of the fleet, and forgets those that left.
    pub fn set_peers(&mut self, peers: &[u32]) {
        self.peers = peers.iter().copied().filter(|n| *n != self.me).collect();
        let (me, peers) = (self.me, &self.peers);
        self.known.retain(|node, _| *node == me || peers.contains(node));
        self.changed.retain(|node| *node == me || peers.contains(node));
    }

    /// Sets this node's own report; `unix` is its clock in microseconds, which may go backwards.
    pub fn report(
        &mut self,
        vector: &VersionVector,
        log_id: u64,
        head: ChainPoint,
        unix: Micros,
        now: Micros,
    ) {
        let shared_vector = vector.shared();
        let content = shared_vector.content_hash();
        let before = self.known.get(&self.me).map(|k| k.report);
        if before.is_some_and(|r| (r.content, r.log_id, r.head) == (content, log_id, head)) {
            return;
        }
        self.vectors.insert(content, shared_vector);
        let at = before.map_or(unix, |r| unix.max(r.at.saturating_add(1)));
        self.apply_report(NodeReport { node: self.me, at, log_id, head, content }, now);
    }

    fn apply_report(&mut self, report: NodeReport, now: Micros) {
        let node = report.node;
        let last = self.known.get(&node);
        let versions_changed = last.is_none_or(|k| k.report.content != report.content);
        let is_new = versions_changed || last.is_some_and(|k| k.report.log_id != report.log_id);
        let (mut points, mut since, mut pending_forwards) = last.map_or((BTreeMap::new(), now, 0), |k| {
            (
                if k.report.log_id == report.log_id { k.points.clone() } else { BTreeMap::new() },
                k.since,
                k.pending_forwards,
            )
        });
        let mut disputed = last.and_then(|k| k.disputed).filter(|(log_id, _)| *log_id == report.log_id);
        if let Some(previous) = last.filter(|_| node != self.me) {
            let (previous, current) = (&previous.report, &report);
            if previous.log_id != current.log_id {
                self.updates.push(AuditUpdate::LogReplaced { node });
            } else if current.head.number < previous.head.number {
                disputed = Some((previous.log_id, previous.head));
                self.updates.push(AuditUpdate::LogRolledBack {
                    node,
                    previous: previous.head.number,
                    current: current.head.number,
                });
            }
            let (number, digest) = (current.head.number, current.head.digest);
            if let Some(known) = points.get(&number).filter(|known| **known != digest) {
                disputed = Some((current.log_id, ChainPoint { number, digest: *known }));
                self.updates.push(AuditUpdate::LogForked { node, number });
            }
            if disputed.is_some() {
                self.next_periodic_message = now;
            }
        }
        points.entry(report.head.number).or_insert(report.head.digest);
        if points.len() > MAX_LOG_POINTS {
            // Drops every second position of the older half, so that the kept ones thin out towards the past.
            let dropped: Vec<u64> =
                points.keys().copied().take(MAX_LOG_POINTS / 2).skip(1).step_by(2).collect();
            points.retain(|number, _| !dropped.contains(number));
        }
        if is_new {
            (since, pending_forwards) = (now, FANOUT);
            self.changed.retain(|n| *n != node);
            self.changed.push_back(node);
            if versions_changed && node != self.me {
                self.updates.push(AuditUpdate::VersionsChanged { node, content: report.content });
            }
        }
        self.known
            .insert(node, KnownNode { report, since, received: now, pending_forwards, points, disputed });
    }

    /// Applies a message; reports of unknown nodes and reports no newer than the known one are ignored.
    pub fn receive(&mut self, message: &Message, now: Micros) {
        for vector in message.vectors.iter().take(MAX_VECTORS) {
            let shared_vector = vector.shared();
            // `drop_unused_vectors` removes it once no node reports it.
            self.vectors.entry(shared_vector.content_hash()).or_insert(shared_vector);
        }
        let disputed = message.disputed.iter().take(MAX_REPORTS);
        self.updates.extend(
            disputed.map(|(log_id, point)| AuditUpdate::OwnLogClaim { log_id: *log_id, point: *point }),
        );
        for report in message.reports.iter().take(MAX_REPORTS) {
            if report.node == self.me {
                self.receive_own(*report, now);
                continue;
            }
            let is_newer = match self.known.get(&report.node) {
                Some(known) => report.at > known.report.at,
                None => self.peers.contains(&report.node),
            };
            if is_newer {
                self.apply_report(*report, now);
            }
        }
        self.drop_unused_vectors();
    }

    /// Compares a report on this node, of this or an earlier process, to the node's own state.
    fn receive_own(&mut self, report: NodeReport, now: Micros) {
        let Some(known) = self.known.get_mut(&self.me) else { return };
        if known.points.get(&report.head.number) != Some(&report.head.digest)
            || report.log_id != known.report.log_id
        {
            self.updates.push(AuditUpdate::OwnLogClaim { log_id: report.log_id, point: report.head });
        }
        if report.at > known.report.at || (report.at == known.report.at && report != known.report) {
            // The clock went backwards: the next report must have a greater `at` than those that peers know.
            known.report.at = report.at.saturating_add(1);
            (known.pending_forwards, known.received) = (FANOUT, now);
        }
    }

    fn drop_unused_vectors(&mut self) {
        if self.vectors.len() <= self.known.len() + MAX_VECTORS {
            return;
        }
        let used: Vec<ContentHash> = self.known.values().map(|k| k.report.content).collect();
        self.vectors.retain(|content, _| used.contains(content));
    }

    fn random_below(&mut self, bound: usize) -> usize {
        // xorshift64: Marsaglia, "Xorshift RNGs", 2003.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as usize % bound.max(1)
    }

    /// Returns a random peer; the caller makes sure that there is one.
    fn random_peer(&mut self) -> u32 {
        let index = self.random_below(self.peers.len());
        self.peers.get(index).copied().unwrap_or(self.me)
    }

    fn build_message(&self, nodes: &[u32]) -> Message {
        let reports: Vec<NodeReport> = nodes.iter().filter_map(|n| Some(self.known.get(n)?.report)).collect();
        let mut contents: Vec<ContentHash> = Vec::new();
        // The most frequent vector first: after a release most nodes have the same one.
        for report in &reports {
            if !contents.contains(&report.content) {
                contents.push(report.content);
            }
        }
        contents.sort_by_key(|c| std::cmp::Reverse(reports.iter().filter(|r| r.content == *c).count()));
        let vectors =
            contents.iter().filter_map(|c| self.vectors.get(c)).take(MAX_VECTORS).cloned().collect();
        Message { reports, vectors, disputed: Vec::new() }
    }

    /// Returns the messages that are due at `now`, with their receivers.
    pub fn take_outgoing(&mut self, now: Micros) -> Vec<(u32, Message)> {
        let mut outgoing = Vec::new();
        if self.peers.is_empty() {
            return outgoing;
        }
        if now >= self.next_change_message {
            let pending: Vec<u32> =
                self.known.iter().filter(|(_, k)| k.pending_forwards > 0).map(|(n, _)| *n).collect();
            if !pending.is_empty() {
                let start = self.random_below(pending.len());
                let selected: Vec<u32> = pending
                    .iter()
                    .cycle()
                    .skip(start)
                    .take(pending.len().min(MAX_REPORTS))
                    .copied()
                    .collect();
                for node in &selected {
                    self.known.entry(*node).and_modify(|k| k.pending_forwards -= 1);
                }
                let to = self.random_peer();
                outgoing.push((to, self.build_message(&selected)));
                self.next_change_message = now.saturating_add(self.intervals.changes);
            }
        }
        if now >= self.next_periodic_message {
            let newest = self.changed.iter().rev().take(MAX_REPORTS / 2).copied();
            let mut nodes: Vec<u32> = [self.me].into_iter().chain(newest).collect();
            let after = self.known.range(self.last_in_turn.saturating_add(1)..).map(|(n, _)| *n);
            let from_start = self.known.keys().copied();
            for node in after.chain(from_start).take(MAX_REPORTS / 2 - 1) {
                self.last_in_turn = node;
                nodes.push(node);
            }
            nodes.dedup();
            let mut seen = Vec::new();
            nodes.retain(|n| {
                !seen.contains(n) && {
                    seen.push(*n);
                    true
                }
            });
            let to = self.random_peer();
            outgoing.push((to, self.build_message(&nodes)));
            let disputed =
                self.known.iter().filter_map(|(node, k)| Some((*node, k.disputed?))).take(MAX_REPORTS);
            outgoing.extend(
                disputed.map(|(node, position)| {
                    (node, Message { disputed: vec![position], ..Message::default() })
                }),
            );
            let newest = self.changed.back().and_then(|n| self.known.get(n)).map(|k| k.since);
            let changed_recently = newest
                .is_some_and(|since| now.saturating_sub(since) < self.intervals.periodic.saturating_mul(5));
            self.next_periodic_message = now.saturating_add(if changed_recently {
                self.intervals.periodic / 4
            } else {
                self.intervals.periodic
            });
        }
        outgoing
    }

    /// Returns when the next message is due, in microseconds.
    pub fn due(&self) -> Micros {
        match self.known.values().any(|k| k.pending_forwards > 0) {
            true => self.next_change_message.min(self.next_periodic_message),
            false => self.next_periodic_message,
        }
    }

    /// Returns the updates since the last call.
    pub fn take_updates(&mut self) -> Vec<AuditUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Returns for each known node its latest report, its version vector (`None` until it was received), when that vector became
    /// known here, and when the last newer report arrived.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeReport, Option<&VersionVector>, Micros, Micros)> {
        self.known.values().map(|k| (&k.report, self.vectors.get(&k.report.content), k.since, k.received))
    }

    /// Returns a node's log id and the known digests of that log by entry number; `None` for an unknown node.
    pub fn points(&self, node: u32) -> Option<(u64, &BTreeMap<u64, Digest>)> {
        self.known.get(&node).map(|k| (k.report.log_id, &k.points))
    }
}
