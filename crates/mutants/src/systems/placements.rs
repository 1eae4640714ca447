//! Three nodes record their placements in logs, and replicate the logs to each other by anti-entropy.
//!
//! The first node restarts with an older copy of its disk, learns that its peers know more of its log, and starts a new log. Until it
//! knows which log it continues, it only places requests that may run more than once, and buffers their entries.

use crate::change::Encoding;
use crate::scenario::{Action, Process, Scenario};
use crate::simulation::{Actor, Violation};
use crate::Micros;
use shorepath_placements::anti_entropy::{Exchange, Message, MessageError, Settings};
use shorepath_placements::hash_chain::{encode, next_digest, origin, Piece, Point};
use shorepath_placements::history::{History, HistoryError};
use shorepath_placements::idempotency_index::{IdempotencyIndex, KeyState};
use shorepath_placements::log_recovery::{LogOutcome, LogRecovery, PlacementRef};
use shorepath_placements::{End, Entry, Placement, Timed, Writer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const NODES: usize = 3;
const TICK: Micros = 200 * MS;
/// The time at which nodes stop placing requests.
const STOP: Micros = 5_300 * MS;
/// How long a started node waits for its peers before it writes to its log.
const PEER_TIMEOUT: Micros = 1_500 * MS;
const CLASS: &str = "valve";
const SETTINGS: Settings = Settings {
    bytes_per_second: 200_000,
    window_bytes: 16 << 10,
    resend_after: 500 * MS,
    full_summary_interval: 800 * MS,
    summary_delay: 100 * MS,
};

/// A log and the number of an entry in it.
type EntryId = (Writer, u64);

/// A fault: the entries of a duplicated piece are counted again.
pub const COUNTS_DUPLICATES: u8 = 1;
/// A fault: a started node writes to its log before it has asked its peers.
pub const WRITES_BEFORE_RECOVERY: u8 = 2;

/// One incarnation of a node. `FAULT` is 0 for none, [`COUNTS_DUPLICATES`] or [`WRITES_BEFORE_RECOVERY`].
#[derive(Clone, Debug)]
pub struct Node<const FAULT: u8> {
    me: usize,
    incarnation: u64,
    history: History,
    keys: IdempotencyIndex,
    exchanges: Vec<(Actor, Exchange)>,
    writer: Writer,
    head: Point,
    log_recovery: LogRecovery,
    placed: u64,
    /// Placements of this node in progress, and when they were placed.
    in_progress: VecDeque<(PlacementRef, Micros)>,
    next: Micros,
    /// The number of entries that the node has counted as new.
    counted: u64,
    /// The last entry of each branch of each log at the last check.
    known: BTreeSet<(Writer, Point)>,
    /// All entries written by any incarnation of this node.
    written: BTreeMap<EntryId, Vec<u8>>,
    /// An older copy of the disk.
    disk_copy: Option<Box<Node<FAULT>>>,
    /// Pieces received, for [`COUNTS_DUPLICATES`].
    received: BTreeSet<(Actor, Vec<u8>)>,
    violation: Option<Violation>,
}

impl<const FAULT: u8> Node<FAULT> {
    fn report_violation(&mut self, rule: &'static str, details: String) {
        self.violation.get_or_insert(Violation::new(rule, details));
    }

    /// Starts an incarnation with what is on the disk.
    fn start_incarnation(&mut self, me: usize, incarnation: u64, now: Micros) {
        (self.me, self.incarnation, self.next) = (me, incarnation, now);
        let written =
            std::mem::take(&mut self.in_progress).into_iter().filter_map(|(placement, _)| match placement {
                PlacementRef::Written(number) => Some(number),
                PlacementRef::Buffered(_) => None,
            });
        self.log_recovery = LogRecovery::new(now, PEER_TIMEOUT, written);
        if FAULT == WRITES_BEFORE_RECOVERY {
            let (mut log_recovery, outcome) = (self.log_recovery.clone(), LogOutcome::Continues(false));
            log_recovery.write_buffered(outcome, |timed| self.append(now, timed.entry));
            self.log_recovery = LogRecovery::new(now, PEER_TIMEOUT, []);
        }
        let others = (0..NODES).filter(|o| *o != me);
        self.exchanges = others.map(|o| (o, Exchange::new(SETTINGS, incarnation, now))).collect();
        self.received.clear();
    }

    /// Appends an entry to the node's own log. Returns its number, or `None` if it can't be encoded.
    fn append(&mut self, now: Micros, entry: Entry) -> Option<u64> {
        let bytes = encode(&Timed { at: now, entry: entry.clone() }).ok()?;
        let ((after, before), writer) = (self.head, self.writer.clone());
        self.head = (after + 1, next_digest(&before, &bytes));
        let piece = Piece { writer, after, before, entries: vec![bytes.clone()], head: self.head.1 };
        self.written.insert((self.writer.clone(), self.head.0), bytes);
        match self.history.insert(&piece) {
            Ok(new) => self.counted += new,
            Err(e) => self.report_violation("a node can extend its own log", e.to_string()),
        }
        self.keys.apply_entry(&self.writer, self.head.0, &entry);
        self.exchanges.iter_mut().for_each(|(_, e)| e.note_update(&self.writer));
        self.check();
        Some(self.head.0)
    }

    /// Writes the buffered entries once the peers have answered or the timeout has passed: to a new log if peers know more of the
    /// old one than this node.
    fn recover_log(&mut self, now: Micros) {
        let exchanges = self.exchanges.iter().map(|(_, e)| e);
        let outcome = self.log_recovery.decide(exchanges, &self.history, &self.writer, self.head, now);
        let Some(outcome) = outcome else { return };
        if let LogOutcome::Replaced(_) = outcome {
            self.writer.log = self.incarnation << 32 | self.me as u64;
            self.head = origin(&self.writer);
            self.in_progress.retain(|(placement, _)| matches!(placement, PlacementRef::Buffered(_)));
        }
        let mut log_recovery = self.log_recovery.clone();
        let numbers = log_recovery.write_buffered(outcome, |timed| self.append(now, timed.entry));
        self.log_recovery = log_recovery;
        for (placement, at) in std::mem::take(&mut self.in_progress) {
            match placement {
                PlacementRef::Buffered(ticket) => match numbers.get(&ticket) {
                    Some(number) => self.in_progress.push_back((PlacementRef::Written(*number), at)),
                    None => self.report_violation(
                        "buffered placements are written",
                        format!("ticket {ticket} has no log entry"),
                    ),
                },
                PlacementRef::Written(_) => self.in_progress.push_back((placement, at)),
            }
        }
    }

    /// Ends the placements that were made a while ago, and places one more request unless its key forbids it.
    fn place(&mut self, now: Micros) {
        while let Some((placement, _)) =
            self.in_progress.front().copied().filter(|(_, at)| now - at > 400 * MS)
        {
            self.in_progress.pop_front();
            let how = |n: u64| [End::Served, End::NeverRan, End::Unknown][(n % 3) as usize];
            match placement {
                PlacementRef::Buffered(ticket) => self.log_recovery.buffer_end(ticket, now, how(ticket)),
                PlacementRef::Written(of) => drop(self.append(now, Entry::Ended { of, how: how(of) })),
            }
        }
        self.placed += 1;
        let key = format!("k{}", self.placed / 2 % 6 + self.me as u64 * 3);
        let guarded = self.placed.is_multiple_of(2);
        let forbidden = guarded
            && (!self.log_recovery.peers_answered() || self.keys.state(CLASS, &key) != KeyState::Free);
        if now >= STOP || forbidden {
            return;
        }
        let class = if guarded { CLASS } else { "free" }.to_string();
        let (server, fence, key) = ("s1".to_string(), u64::from(guarded), Some(key));
        let (tenant, standing, on_credit, list, taken) = (None, 1, false, 1, now);
        let placement =
            Placement { key, class, guarded, tenant, server, standing, taken, on_credit, list, fence };
        let entry = Entry::Placed(placement);
        let placement = match self.log_recovery.is_buffering() && FAULT != WRITES_BEFORE_RECOVERY {
            true => self.log_recovery.buffer_placement(Timed { at: now, entry }),
            false => self.append(now, entry).map(PlacementRef::Written),
        };
        self.in_progress.extend(placement.map(|placement| (placement, now)));
    }

    /// Checks the history and the key index entry by entry, without the totals that the cores maintain.
    fn check(&mut self) {
        if let Some((writer, point)) = self.known.iter().find(|(w, p)| !self.history.knows(w, p)) {
            let details = format!("node {} no longer knows {point:?} of {writer:?}", self.me);
            return self.report_violation("known entries are never lost", details);
        }
        self.known.clear();
        let writers: Vec<Writer> = self.history.writers().cloned().collect();
        let (mut open, mut count) = (BTreeMap::new(), 0);
        for writer in writers {
            let heads = self.history.heads(&writer);
            for number in 1..=heads.iter().map(|p| p.0).max().unwrap_or(0) {
                count += 1;
                match self.history.entry(&writer, number).map(|t| t.entry) {
                    Some(Entry::Placed(p)) if p.guarded => drop(open.insert((writer.clone(), number), p.key)),
                    Some(Entry::Ended { of, how: End::NeverRan }) => drop(open.remove(&(writer.clone(), of))),
                    _ => {}
                }
            }
            self.known.extend(heads.into_iter().map(|p| (writer.clone(), p)));
        }
        let free = |key: &&String| self.keys.state(CLASS, key) == KeyState::Free;
        if let Some(key) = open.values().flatten().find(free) {
            let details = format!("node {} reports the placed key {key} as free", self.me);
            return self.report_violation("a placed key is not free", details);
        }
        if !self.history.forks().is_empty() {
            let details = format!("node {} knows the forks {:?}", self.me, self.history.forks());
            return self.report_violation("no log forks", details);
        }
        if self.counted != count {
            let details = format!("node {} has counted {} entries of {count}", self.me, self.counted);
            self.report_violation("each entry counts once", details);
        }
    }
}

impl<const FAULT: u8> Process for Node<FAULT> {
    fn receive(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        let reason = |e: &MessageError| match e {
            MessageError::Unreadable => "unreadable message",
            MessageError::Changed | MessageError::History(HistoryError::Changed { .. }) => "digest mismatch",
            MessageError::History(HistoryError::Diverged { .. }) => "entries of a forked log",
            MessageError::History(HistoryError::Entry { .. }) => "unreadable entry",
            MessageError::History(_) => "entries can't be added to the history",
        };
        let message = Message::decode(bytes).map_err(|e| reason(&e).to_string())?;
        if let (true, Message::Piece { piece }) = (FAULT == COUNTS_DUPLICATES, &message) {
            if !self.received.insert((from, bytes.to_vec())) {
                self.counted += piece.entries.len() as u64;
                self.check();
            }
        }
        let Some((_, exchange)) = self.exchanges.iter_mut().find(|(o, _)| *o == from) else {
            return Err("sender is not a peer".into());
        };
        let received =
            exchange.receive(&mut self.history, message, now).map_err(|e| reason(&e).to_string())?;
        self.counted += received.new;
        for piece in &received.pieces {
            for (number, bytes) in (piece.after + 1..).zip(&piece.entries) {
                if let Ok(timed) = shorepath_placements::hash_chain::decode(number, bytes) {
                    self.keys.apply_entry(&piece.writer, number, &timed.entry);
                }
            }
            let others = self.exchanges.iter_mut().filter(|(o, _)| *o != from);
            others.for_each(|(_, e)| e.note_update(&piece.writer));
        }
        if received.new > 0 || received.sealed.is_some() {
            self.check();
        }
        Ok(())
    }

    fn advance(&mut self, now: Micros) {
        if now >= self.next {
            self.next = now + TICK;
            self.recover_log(now);
            self.place(now);
        }
        for (o, exchange) in &mut self.exchanges {
            exchange.poll(&self.history, now, (now as u64 ^ (*o as u64) << 20).wrapping_mul(0x9e37_79b9));
        }
    }

    fn next_due(&self) -> Option<Micros> {
        self.exchanges.iter().map(|(_, e)| e.due()).chain([self.next]).min()
    }

    fn take_outgoing(&mut self) -> Vec<(Actor, Vec<u8>)> {
        let all = self.exchanges.iter_mut();
        all.flat_map(|(o, e)| e.take_outgoing().into_iter().map(|m| (*o, m.encode()))).collect()
    }

    /// Copies the disk. The next incarnation starts with the copy.
    fn perform(&mut self, _: Micros, _: u32) {
        self.disk_copy = Some(Box::new(Node { disk_copy: None, ..self.clone() }));
    }

    fn try_clone(&self) -> Option<Self> {
        Some(self.clone())
    }
}

/// The scenario of [`crate::systems::placements`]; for `FAULT` see [`Node`].
#[derive(Debug)]
pub struct PlacementsScenario<const FAULT: u8 = 0>;

impl<const FAULT: u8> Scenario for PlacementsScenario<FAULT> {
    type Process = Node<FAULT>;
    const NAME: &'static str = "placements";
    const ENCODING: Encoding = Encoding::Binary;
    const DURATION: Micros = 7_500 * MS;
    const DELAYS: [Micros; 3] = [200 * MS, S, 3 * S];
    const SETTLE_TIME: Micros = 2 * S;
    const CLONEABLE: bool = true;
    const ACTOR_COUNT: usize = NODES;

    fn start(seed: u64, me: Actor, incarnation: u64, now: Micros) -> Self::Process {
        let writer = Writer { site: format!("s{me}"), node: format!("n{me}"), log: seed << 8 | me as u64 };
        let mut node = Node {
            me,
            incarnation,
            history: History::new(),
            keys: IdempotencyIndex::default(),
            exchanges: Vec::new(),
            head: origin(&writer),
            writer,
            log_recovery: LogRecovery::new(now, PEER_TIMEOUT, []),
            placed: seed,
            in_progress: VecDeque::new(),
            next: now,
            counted: 0,
            known: BTreeSet::new(),
            written: BTreeMap::new(),
            disk_copy: None,
            received: BTreeSet::new(),
            violation: None,
        };
        node.start_incarnation(me, Self::wire_incarnation(incarnation), now);
        node
    }

    fn restart(
        seed: u64,
        me: Actor,
        incarnation: u64,
        now: Micros,
        last: Option<Self::Process>,
    ) -> Self::Process {
        let Some(mut last) = last else { return Self::start(seed, me, incarnation, now) };
        let Some(mut node) = last.disk_copy.take() else { return Self::start(seed, me, incarnation, now) };
        (node.written, node.violation) = (last.written, last.violation);
        node.start_incarnation(me, Self::wire_incarnation(incarnation), now);
        *node
    }

    fn wire_incarnation(incarnation: u64) -> u64 {
        incarnation * 1_000_000
    }

    fn actions(seed: u64) -> Vec<(Micros, Action)> {
        let jitter = (seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20) as Micros % 300 * MS;
        vec![
            (1_500 * MS + jitter, Action::Perform(0, 0)),
            (3 * S + jitter, Action::Kill(0)),
            (3_300 * MS + jitter, Action::Start(0)),
        ]
    }

    fn check_invariants(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        processes.iter().flatten().find_map(|n| n.violation.clone()).map_or(Ok(()), Err)
    }

    fn check_final_state(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        let nodes: Vec<&Self::Process> = processes.iter().flatten().collect();
        let written: BTreeMap<&EntryId, &Vec<u8>> = nodes.iter().flat_map(|n| &n.written).collect();
        for node in &nodes {
            let bytes = node.history.canonical_bytes();
            if nodes.len() < NODES || nodes.iter().any(|n| n.history.canonical_bytes() != bytes) {
                let sizes: Vec<_> = nodes.iter().map(|n| n.history.entries_and_bytes()).collect();
                return Err(Violation::new("all histories are equal", format!("{sizes:?}")));
            }
            // A log that was started after the last placement has no entry, and so no head in the history.
            let heads = node.history.heads(&node.writer);
            let answered = node.log_recovery.peers_answered();
            if !answered || (heads != [node.head] && node.head.0 > 0) {
                return Err(Violation::new(
                    "each node knows its own log",
                    format!("node {}: all peers answered: {answered}, heads in the history: {heads:?}, own head: {:?}", node.me, node.head),
                ));
            }
            for (writer, last) in node.history.latest_points() {
                for number in 1..=last.0 {
                    let bytes = node.history.entry(&writer, number).and_then(|t| encode(&t).ok());
                    if bytes.as_ref() != written.get(&(writer.clone(), number)).copied() {
                        let details = format!("entry {number} of {writer:?} differs from the written one");
                        return Err(Violation::new("only written entries are known", details));
                    }
                }
            }
        }
        Ok(())
    }
}
