//! What nodes tell each other of their versions and records, told on by all: who stands where since when, and whose report contradicts itself.
//!
//! A change is told at once to three others by each that learns it, within a pace; besides that each tells one other from time to time what has
//! changed last and, in turn, what has not. So words a node and second don't grow with the fleet.

use crate::audit_log::{ChainPoint, Digest};
use crate::version::{ContentHash, VersionVector};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Stories in a word at most, and vectors.
pub const MAX_REPORTS: usize = 10;
/// See [`MAX_REPORTS`].
pub const MAX_VECTORS: usize = 2;
/// Each that learns a change tells so many others.
const FANOUT: u8 = 3;
/// Points of a record that are remembered of one node.
const POINTS: usize = 64;

/// How often is told what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intervals {
    /// Between two words about changes, in microseconds.
    pub hot: Micros,
    /// Between two words that are said in any case, in microseconds; a quarter of it for five of these after a change.
    pub idle: Micros,
}

impl Default for Intervals {
    fn default() -> Self {
        Intervals { hot: 50_000, idle: 1_000_000 }
    }
}

/// What a node says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeReport {
    /// Which node, by its number.
    pub node: u32,
    /// Grows with each report of the node, over its lives: its Unix time in microseconds, or one more than it was heard to have told.
    pub at: Micros,
    /// The log_id of its record.
    #[serde(rename = "life")]
    pub log_id: u64,
    /// Where its record ends.
    pub head: ChainPoint,
    /// What steers it, see [`VersionVector::shared`].
    pub content: ContentHash,
}

/// One word between two nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// What nodes say of themselves.
    #[serde(rename = "stories")]
    pub reports: Vec<NodeReport>,
    /// What some of their contents are.
    pub vectors: Vec<VersionVector>,
    /// Of the hearer's own record, by its log_id: what it has told, and tells otherwise now.
    pub disputed: Vec<(u64, ChainPoint)>,
}

/// What has come to be known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditUpdate {
    /// A node is steered by something else than before.
    VersionsChanged {
        /// Which node.
        node: u32,
        /// What steers it.
        content: ContentHash,
    },
    /// A node has begun another record: its disk was lost, or the record was not what was written.
    LogReplaced {
        /// Which node.
        node: u32,
    },
    /// A node's record ends before where it has ended: an older disk was put back.
    LogRolledBack {
        /// Which node.
        node: u32,
        /// Where it has ended.
        previous: u64,
        /// Where it ends.
        current: u64,
    },
    /// An entry of a node's record is another one than it has told.
    LogForked {
        /// Which node.
        node: u32,
        /// The entry's number.
        number: u64,
    },
    /// Others know that point of this node's own record of that log_id: it has to be looked up there.
    OwnLogClaim {
        /// The log_id of the record.
        log_id: u64,
        /// What they know.
        point: ChainPoint,
    },
}

#[derive(Clone, Debug)]
struct Known {
    report: NodeReport,
    /// Since when its content is known here, and when it was heard last.
    since: Micros,
    received: Micros,
    /// How many are still to be told.
    hot: u8,
    points: BTreeMap<u64, Digest>,
    /// What it has told of that log_id of its record, and does not any more: it is told so until it begins another.
    disputed: Option<(u64, ChainPoint)>,
}

/// What one node knows of all, and what it says.
#[derive(Clone, Debug)]
pub struct Gossip {
    me: u32,
    others: Vec<u32>,
    pace: Intervals,
    known: BTreeMap<u32, Known>,
    vectors: BTreeMap<ContentHash, VersionVector>,
    chance: u64,
    /// In the order in which they changed, the newest last.
    changed: VecDeque<u32>,
    /// Whom it told of last in its turn.
    turn: u32,
    next_hot: Micros,
    next_idle: Micros,
    updates: Vec<AuditUpdate>,
}

impl Gossip {
    /// One node among others; `chance` is any number by chance.
    pub fn new(me: u32, others: &[u32], pace: Intervals, chance: u64, now: Micros) -> Gossip {
        Gossip {
            me,
            others: others.iter().copied().filter(|n| *n != me).collect(),
            pace,
            known: BTreeMap::new(),
            vectors: BTreeMap::new(),
            chance: chance | 1,
            changed: VecDeque::new(),
            turn: 0,
            next_hot: now,
            next_idle: now.saturating_add((chance % 1_000) as i64 * pace.idle / 1_000),
            updates: Vec::new(),
        }
    }

    /// The fleet is that from now on.
    pub fn set_peers(&mut self, others: &[u32]) {
        self.others = others.iter().copied().filter(|n| *n != self.me).collect();
        let (me, others) = (self.me, &self.others);
        self.known.retain(|node, _| *node == me || others.contains(node));
        self.changed.retain(|node| *node == me || others.contains(node));
    }

    /// This node's own report; `unix` is its clock, which may go back.
    pub fn report(
        &mut self,
        vector: &VersionVector,
        log_id: u64,
        head: ChainPoint,
        unix: Micros,
        now: Micros,
    ) {
        let notified = vector.shared();
        let content = notified.content_hash();
        let before = self.known.get(&self.me).map(|k| k.report);
        if before.is_some_and(|s| (s.content, s.log_id, s.head) == (content, log_id, head)) {
            return;
        }
        self.vectors.insert(content, notified);
        let at = before.map_or(unix, |s| unix.max(s.at.saturating_add(1)));
        self.learn(NodeReport { node: self.me, at, log_id, head, content }, now);
    }

    fn learn(&mut self, report: NodeReport, now: Micros) {
        let node = report.node;
        let before = self.known.get(&node);
        let steers = before.is_none_or(|k| k.report.content != report.content);
        let is_new = steers || before.is_some_and(|k| k.report.log_id != report.log_id);
        let (mut points, mut since, mut hot) = before.map_or((BTreeMap::new(), now, 0), |k| {
            (
                if k.report.log_id == report.log_id { k.points.clone() } else { BTreeMap::new() },
                k.since,
                k.hot,
            )
        });
        let mut disputed = before.and_then(|k| k.disputed).filter(|(log_id, _)| *log_id == report.log_id);
        if let Some(was) = before.filter(|_| node != self.me) {
            let (was, is) = (&was.report, &report);
            if was.log_id != is.log_id {
                self.updates.push(AuditUpdate::LogReplaced { node });
            } else if is.head.number < was.head.number {
                disputed = Some((was.log_id, was.head));
                self.updates.push(AuditUpdate::LogRolledBack {
                    node,
                    previous: was.head.number,
                    current: is.head.number,
                });
            }
            let (number, digest) = (is.head.number, is.head.digest);
            if let Some(known) = points.get(&number).filter(|known| **known != digest) {
                disputed = Some((is.log_id, ChainPoint { number, digest: *known }));
                self.updates.push(AuditUpdate::LogForked { node, number });
            }
            if disputed.is_some() {
                self.next_idle = now;
            }
        }
        points.entry(report.head.number).or_insert(report.head.digest);
        if points.len() > POINTS {
            // Every other one of the older half goes, so that what is left reaches back in growing steps.
            let older: Vec<u64> = points.keys().copied().take(POINTS / 2).skip(1).step_by(2).collect();
            points.retain(|number, _| !older.contains(number));
        }
        if is_new {
            (since, hot) = (now, FANOUT);
            self.changed.retain(|n| *n != node);
            self.changed.push_back(node);
            if steers && node != self.me {
                self.updates.push(AuditUpdate::VersionsChanged { node, content: report.content });
            }
        }
        self.known.insert(node, Known { report, since, received: now, hot, points, disputed });
    }

    /// A word came. Stories of nobody that is known, and older ones than are known, change nothing.
    pub fn receive(&mut self, message: &Message, now: Micros) {
        for vector in message.vectors.iter().take(MAX_VECTORS) {
            let notified = vector.shared();
            // Kept only while somebody is steered by it; see `forget`.
            self.vectors.entry(notified.content_hash()).or_insert(notified);
        }
        let disputed = message.disputed.iter().take(MAX_REPORTS);
        self.updates.extend(
            disputed.map(|(log_id, point)| AuditUpdate::OwnLogClaim { log_id: *log_id, point: *point }),
        );
        for report in message.reports.iter().take(MAX_REPORTS) {
            if report.node == self.me {
                self.own(*report, now);
                continue;
            }
            let is_newer = match self.known.get(&report.node) {
                Some(known) => report.at > known.report.at,
                None => self.others.contains(&report.node),
            };
            if is_newer {
                self.learn(*report, now);
            }
        }
        self.forget();
    }

    /// Others know of an earlier log_id of this node, or of this one.
    fn own(&mut self, report: NodeReport, now: Micros) {
        let Some(known) = self.known.get_mut(&self.me) else { return };
        if known.points.get(&report.head.number) != Some(&report.head.digest)
            || report.log_id != known.report.log_id
        {
            self.updates.push(AuditUpdate::OwnLogClaim { log_id: report.log_id, point: report.head });
        }
        if report.at > known.report.at || (report.at == known.report.at && report != known.report) {
            // Its clock has gone back: what it says has to be newer than what it has said.
            known.report.at = report.at.saturating_add(1);
            (known.hot, known.received) = (FANOUT, now);
        }
    }

    fn forget(&mut self) {
        if self.vectors.len() <= self.known.len() + MAX_VECTORS {
            return;
        }
        let used: Vec<ContentHash> = self.known.values().map(|k| k.report.content).collect();
        self.vectors.retain(|content, _| used.contains(content));
    }

    fn dice(&mut self, sides: usize) -> usize {
        // xorshift64: Marsaglia, "Xorshift RNGs", 2003.
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        (self.chance >> 11) as usize % sides.max(1)
    }

    /// One of the others; there are some.
    fn someone(&mut self) -> u32 {
        let place = self.dice(self.others.len());
        self.others.get(place).copied().unwrap_or(self.me)
    }

    fn message(&self, nodes: &[u32]) -> Message {
        let reports: Vec<NodeReport> = nodes.iter().filter_map(|n| Some(self.known.get(n)?.report)).collect();
        let mut contents: Vec<ContentHash> = Vec::new();
        // The most told one first: after a release all are steered by one.
        for report in &reports {
            if !contents.contains(&report.content) {
                contents.push(report.content);
            }
        }
        contents.sort_by_key(|c| std::cmp::Reverse(reports.iter().filter(|s| s.content == *c).count()));
        let vectors =
            contents.iter().filter_map(|c| self.vectors.get(c)).take(MAX_VECTORS).cloned().collect();
        Message { reports, vectors, disputed: Vec::new() }
    }

    /// What is to be said now, and to whom.
    pub fn take_outgoing(&mut self, now: Micros) -> Vec<(u32, Message)> {
        let mut events = Vec::new();
        if self.others.is_empty() {
            return events;
        }
        if now >= self.next_hot {
            let hot: Vec<u32> = self.known.iter().filter(|(_, k)| k.hot > 0).map(|(n, _)| *n).collect();
            if !hot.is_empty() {
                let start = self.dice(hot.len());
                let notified: Vec<u32> =
                    hot.iter().cycle().skip(start).take(hot.len().min(MAX_REPORTS)).copied().collect();
                for node in &notified {
                    self.known.entry(*node).and_modify(|k| k.hot -= 1);
                }
                let to = self.someone();
                events.push((to, self.message(&notified)));
                self.next_hot = now.saturating_add(self.pace.hot);
            }
        }
        if now >= self.next_idle {
            let newest = self.changed.iter().rev().take(MAX_REPORTS / 2).copied();
            let mut nodes: Vec<u32> = [self.me].into_iter().chain(newest).collect();
            let after = self.known.range(self.turn.saturating_add(1)..).map(|(n, _)| *n);
            let from_start = self.known.keys().copied();
            for node in after.chain(from_start).take(MAX_REPORTS / 2 - 1) {
                self.turn = node;
                nodes.push(node);
            }
            nodes.dedup();
            let mut once = Vec::new();
            nodes.retain(|n| {
                !once.contains(n) && {
                    once.push(*n);
                    true
                }
            });
            let to = self.someone();
            events.push((to, self.message(&nodes)));
            let disputed =
                self.known.iter().filter_map(|(node, k)| Some((*node, k.disputed?))).take(MAX_REPORTS);
            events.extend(
                disputed.map(|(node, of)| (node, Message { disputed: vec![of], ..Message::default() })),
            );
            let newest = self.changed.back().and_then(|n| self.known.get(n)).map(|k| k.since);
            let lately =
                newest.is_some_and(|since| now.saturating_sub(since) < self.pace.idle.saturating_mul(5));
            self.next_idle = now.saturating_add(if lately { self.pace.idle / 4 } else { self.pace.idle });
        }
        events
    }

    /// When something is to be said.
    pub fn due(&self) -> Micros {
        match self.known.values().any(|k| k.hot > 0) {
            true => self.next_hot.min(self.next_idle),
            false => self.next_idle,
        }
    }

    /// What has come to be known since it was last asked.
    pub fn take_updates(&mut self) -> Vec<AuditUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Where each node stands: its report, what steers it where that was told, since when that is known here and when it was heard last.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodeReport, Option<&VersionVector>, Micros, Micros)> {
        self.known.values().map(|k| (&k.report, self.vectors.get(&k.report.content), k.since, k.received))
    }

    /// Points of a node's record as they were told, to verify it by.
    pub fn points(&self, node: u32) -> Option<(u64, &BTreeMap<u64, Digest>)> {
        self.known.get(&node).map(|k| (k.report.log_id, &k.points))
    }
}
