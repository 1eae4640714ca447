//! Anti-entropy between two nodes: each sends the log entries that the other lacks, in size-limited messages
//! and at a limited rate.
//!
//! Each node reports what it holds ([`Message::Have`]): all logs at the start and at regular intervals, and a
//! single log soon after entries of it arrived. What a peer reported stays valid until it restarts, so
//! messages may be lost, duplicated, delayed or reordered. Pieces are sent ahead of the confirmed point by at
//! most one window and are sent again if nothing is confirmed for a time. Only the window is buffered, and
//! after a network partition sending resumes at the confirmed point. For forked logs the nodes exchange
//! points at doubling distances from the end, which locate the fork (like Bitcoin's block locators: "Protocol
//! documentation", getblocks).
//!
//! A peer that reports a point beyond this node's log is assumed to hold a superset of the log, so nothing of
//! the log is sent to it while its entries arrive. The claim ends with the next full summary that no longer
//! contains it, with the second full summary that doesn't name the log at all, or when no new entry of the
//! log arrived for [`Settings::resend_after`]. In the last case the peer is sent locators of the log, and the
//! entries that it lacks according to its confirmed points.
//!
//! An [`Exchange`] is one node's side of the exchange with one peer. It reads and writes entries through
//! [`LogReplicas`], which may be implemented on any storage.

use crate::hash_chain::{self, Digest, Piece, Point};
use crate::history::{Base, History, HistoryError, OwnLogState, RetainedKey};
use crate::{Micros, Writer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum size of an encoded message in bytes, provided that the names of a site and a node together have at
/// most 60 bytes.
pub const MAX_MESSAGE_BYTES: usize = 1_150;
/// Maximum wait for the entries of an unconfirmed claim, as a multiple of [`Settings::resend_after`].
const MAX_WAIT_FACTOR: Micros = 16;

/// Copies of logs that a node holds; [`History`] implements it. If reading fails there is nothing to send for
/// now.
pub trait LogReplicas {
    /// Returns the writers of all known logs, in order.
    fn writers(&self) -> Vec<Writer>;
    /// Returns the last entry of each branch; see [`History::heads`].
    fn heads(&self, writer: &Writer) -> Vec<Point>;
    /// Returns points that locate a fork; see [`History::locators`].
    fn locators(&self, writer: &Writer) -> Vec<Vec<Point>>;
    /// Returns whether an entry and all before it are held or sealed; see [`History::knows`].
    fn knows(&self, writer: &Writer, point: &Point) -> bool;
    /// Returns the last sealed entry of a log; see [`History::sealed`].
    fn sealed(&self, writer: &Writer) -> Point;
    /// Returns guarded keys of the sealed part of a log; see [`History::retained_keys`].
    fn retained_keys(&self, writer: &Writer, from: u64, max_bytes: usize) -> (u64, Vec<RetainedKey>);
    /// Returns entries that are missing at a node which holds `points`; see [`History::missing`].
    fn missing(&self, writer: &Writer, points: &[Point], max_bytes: usize) -> Option<Piece>;
    /// Removes points that are implied by others; see [`History::prune`].
    fn prune(&self, writer: &Writer, points: &mut Vec<Point>);
    /// Visits entries that are missing at a node which holds `points`; see [`History::visit_missing`].
    fn visit_missing(
        &self,
        writer: &Writer,
        points: &[Point],
        max_bytes: usize,
        report: &mut dyn FnMut(Point, &[u8]) -> bool,
    ) -> Option<(Point, Point)>;
    /// Returns the digest at an entry of a branch; see [`History::digest_on_branch`].
    fn digest_on_branch(&self, writer: &Writer, point: &Point, number: u64) -> Option<Digest>;
    /// Inserts entries; see [`History::insert`].
    ///
    /// # Errors
    /// Those of [`History::insert`].
    fn insert(&mut self, piece: &Piece) -> Result<u64, HistoryError>;
    /// Adopts the seal of another node; see [`History::adopt`].
    fn adopt(&mut self, writer: &Writer, base: &Base);
}

impl LogReplicas for History {
    fn writers(&self) -> Vec<Writer> {
        History::writers(self).cloned().collect()
    }
    fn heads(&self, writer: &Writer) -> Vec<Point> {
        History::heads(self, writer)
    }
    fn locators(&self, writer: &Writer) -> Vec<Vec<Point>> {
        History::locators(self, writer)
    }
    fn knows(&self, writer: &Writer, point: &Point) -> bool {
        History::knows(self, writer, point)
    }
    fn sealed(&self, writer: &Writer) -> Point {
        History::sealed(self, writer)
    }
    fn retained_keys(&self, writer: &Writer, from: u64, max_bytes: usize) -> (u64, Vec<RetainedKey>) {
        History::retained_keys(self, writer, from, max_bytes)
    }
    fn missing(&self, writer: &Writer, points: &[Point], max_bytes: usize) -> Option<Piece> {
        History::missing(self, writer, points, max_bytes)
    }
    fn prune(&self, writer: &Writer, points: &mut Vec<Point>) {
        History::prune(self, writer, points);
    }
    fn visit_missing(
        &self,
        writer: &Writer,
        points: &[Point],
        max_bytes: usize,
        report: &mut dyn FnMut(Point, &[u8]) -> bool,
    ) -> Option<(Point, Point)> {
        History::visit_missing(self, writer, points, max_bytes, report)
    }
    fn digest_on_branch(&self, writer: &Writer, point: &Point, number: u64) -> Option<Digest> {
        History::digest_on_branch(self, writer, point, number)
    }
    fn insert(&mut self, piece: &Piece) -> Result<u64, HistoryError> {
        History::insert(self, piece)
    }
    fn adopt(&mut self, writer: &Writer, base: &Base) {
        History::adopt(self, writer, base);
    }
}

/// What a node holds of one log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSummary {
    /// Log that is summarized.
    pub writer: Writer,
    /// Last entry that the node has sealed.
    pub sealed: Point,
    /// Points that the node holds together with all entries before them.
    pub points: Vec<Point>,
    /// Point up to which the node is receiving the seal of another one, and how many of its guarded keys have
    /// arrived.
    #[serde(rename = "taking")]
    pub receiving: Option<(Point, u64)>,
}

/// Message from one node to another. Messages are encoded by postcard ([`Message::encode`]); in a text format
/// they may exceed [`MAX_MESSAGE_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Reports what the sender holds.
    Have {
        /// Incarnation of the sender. When it changes, everything known of the previous one is discarded,
        /// because the node may have another disk. A delayed message of a previous incarnation only causes
        /// entries to be sent again.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Number of the full summary to which this part belongs.
        #[serde(rename = "number")]
        summary_number: u64,
        /// Index of the part, from 0.
        part: u32,
        /// Number of parts of the full summary; 0 in a message that summarizes single logs only.
        parts: u32,
        /// Summaries of some logs.
        #[serde(rename = "of")]
        logs: Vec<LogSummary>,
    },
    /// Sends entries that the receiver lacks.
    Piece {
        /// Consecutive entries of one log.
        piece: Piece,
    },
    /// Sends retained keys of a sealed part that the receiver lacks.
    Sealed {
        /// Log that was sealed.
        writer: Writer,
        /// Last sealed entry.
        point: Point,
        /// Index of the first of these guarded keys.
        from: u64,
        /// Total number of guarded keys of the sealed part.
        total: u64,
        /// Guarded keys from index `from` on.
        #[serde(rename = "remembered")]
        retained_keys: Vec<RetainedKey>,
        /// Checksum of the other fields. It is needed because the receiver drops entries on the strength of
        /// this message.
        check: Digest,
    },
}

fn sealed_checksum(
    writer: &Writer,
    point: &Point,
    from: u64,
    total: u64,
    retained_keys: &[RetainedKey],
) -> Digest {
    let bytes = postcard::to_stdvec(&(point, from, total, retained_keys));
    let bytes = bytes.expect("retained keys have a length known before serialization");
    hash_chain::next_digest(&hash_chain::origin(writer).1, &bytes)
}

/// Why a received message was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum MessageError {
    /// The bytes don't decode to a message.
    #[error("a message about placements can't be decoded")]
    #[diagnostic(help(
        "the sending node runs another version of this program; install the same version on both nodes"
    ))]
    Unreadable,
    /// The checksum of a sealed part doesn't match.
    #[error("a message about sealed placements was corrupted in transit")]
    #[diagnostic(help("no action is needed if this happens once, because the message is repeated; otherwise check the network between the sites"))]
    Changed,
    /// The entries that it carried were rejected.
    #[error(transparent)]
    #[diagnostic(transparent)]
    History(#[from] HistoryError),
}

impl Message {
    /// Encodes the message as it is sent.
    pub fn encode(&self) -> Vec<u8> {
        // Serializing these types can't fail.
        postcard::to_stdvec(self).expect("a message has a length known before serialization")
    }

    /// Decodes a received message.
    ///
    /// # Errors
    /// [`MessageError::Unreadable`] if the bytes don't decode.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            _ => Err(MessageError::Unreadable),
        }
    }
}

/// Rates and delays of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Maximum send rate in bytes per second.
    pub bytes_per_second: u64,
    /// Maximum number of bytes that are sent ahead of what is confirmed.
    pub window_bytes: usize,
    /// Time in microseconds without a confirmation after which entries are sent again.
    pub resend_after: Micros,
    /// Interval between full summaries in microseconds.
    pub full_summary_interval: Micros,
    /// Minimum delay in microseconds between two summaries of single logs. A tenth of it applies once a
    /// quarter of the window has arrived, or when a summary shows that one of the two nodes lacks entries.
    pub summary_delay: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            bytes_per_second: 2_000_000,
            window_bytes: 128 << 10,
            resend_after: 500_000,
            full_summary_interval: 1_000_000,
            summary_delay: 200_000,
        }
    }
}

/// Changes to the stored logs that a received message caused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Pieces with new entries, which are to be stored ([`crate::log::Copies::append_piece`]).
    pub pieces: Vec<Piece>,
    /// Log whose further seal was adopted from the peer, which is to be stored
    /// ([`crate::log::Copies::append_base`]).
    pub sealed: Option<(Writer, Base)>,
    /// Number of new entries.
    pub new: u64,
}

/// A point that the peer reports to hold and that is unknown here.
#[derive(Clone, Copy, Debug)]
struct Claim {
    point: Point,
    /// Time since which no new entry of the log has arrived, and how long to wait for one.
    since: Micros,
    wait: Micros,
    /// The wait ended without a new entry.
    given_up: bool,
}

#[derive(Clone, Debug, Default)]
struct PeerLog {
    /// Known points that the peer holds.
    points: Vec<Point>,
    /// The last point that the peer holds and that is unknown here.
    ahead: Option<Claim>,
    /// The peer holds another entry of the same number.
    diverged: bool,
    /// Number of full summaries since the peer last named the log, including the one in or after which it
    /// did.
    full_summaries: u32,
    /// Seal that the peer is receiving, and how many of its guarded keys have arrived there.
    receiving: Option<(Point, u64)>,
}

/// State of a log that the peer normally receives from another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayedLog {
    /// The peer lacks entries and has made no progress since that time.
    Stalled(Micros),
    /// The peer made no progress for too long: this node sends the entries until the peer receives some from
    /// elsewhere.
    Sent,
}

#[derive(Clone, Debug)]
struct InFlight {
    writer: Writer,
    point: Point,
    /// Number of guarded keys sent so far of a sealed part; 0 for entries.
    keys: u64,
    bytes: usize,
    /// Time since which nothing of the log was confirmed.
    since: Micros,
}

/// What was sent of one log and is not confirmed yet.
#[derive(Clone, Debug, Default)]
struct Unconfirmed {
    points: Vec<Point>,
    keys: Option<(Point, u64)>,
}

/// Returns the number of the last entry that peers hold of a log beyond its writer's disk, or the disk's last
/// entry `own` if peers hold a different one. In both cases the disk was restored from an older copy or was
/// copied, and a new log must be started before the next entry. `None` if the disk is up to date.
///
/// It is called once the exchanges are complete. The history is examined, too, because entries that a peer
/// has sent back meanwhile no longer count as ahead.
pub fn newest_entry_at_peers<'a>(
    exchanges: impl IntoIterator<Item = &'a Exchange>,
    history: &History,
    writer: &Writer,
    own: Point,
) -> Option<u64> {
    let last_at_peer =
        |e: &Exchange| e.ahead(writer).map(|point| point.0).max(e.diverged(writer).then_some(own.0));
    let ahead = exchanges.into_iter().filter_map(last_at_peer).max();
    let in_history = match history.own_log_state(writer, own) {
        OwnLogState::Intact => None,
        OwnLogState::RolledBack { known, .. } => Some(known),
        OwnLogState::Forked { own } => Some(own),
    };
    ahead.max(in_history)
}

/// One node's side of the exchange with one peer.
#[derive(Clone, Debug)]
pub struct Exchange {
    settings: Settings,
    incarnation: u64,
    summary_number: u64,
    peer_incarnation: Option<u64>,
    /// Number of the full summary that is being received, and the parts that have arrived.
    incoming_summary: (u64, BTreeSet<u32>),
    /// Number of the last full summary that arrived completely.
    last_full_summary: u64,
    complete: bool,
    peer_logs: BTreeMap<Writer, PeerLog>,
    /// What was sent and is not confirmed; the peer is assumed to hold it until it is sent again.
    unconfirmed: BTreeMap<Writer, Unconfirmed>,
    in_flight: VecDeque<InFlight>,
    /// Pieces that arrived before the entries that precede them, with their arrival times.
    out_of_order: BTreeMap<(Writer, u64), (Piece, Micros)>,
    out_of_order_bytes: usize,
    /// Guarded keys of the peer's seals that have arrived so far.
    receiving: BTreeMap<Writer, (Point, Vec<RetainedKey>)>,
    summaries_due: BTreeSet<Writer>,
    /// Bytes received since the last summary was sent.
    unreported_bytes: usize,
    /// The peer needs the next summary before it can go on.
    peer_waits: bool,
    /// Nodes, by site and name, whose logs this node relays only if the peer doesn't receive them from
    /// others.
    relayed_nodes: BTreeSet<(String, String)>,
    /// States of those nodes' logs in which the peer lacks entries.
    relayed_logs: BTreeMap<Writer, RelayedLog>,
    next_check: Micros,
    locators_due: BTreeSet<Writer>,
    next_full_summary: Micros,
    /// Time at which the last summary was sent.
    last_summary_at: Micros,
    /// Bytes that may be sent now; negative after a message that exceeded the budget.
    send_budget: i64,
    refilled_at: Micros,
    more_to_send: bool,
    /// Sending stopped because the window was full.
    window_full: bool,
    /// Index of the log that is served next.
    next_log: usize,
    outgoing: Vec<Message>,
}

impl Exchange {
    /// Creates an exchange. `incarnation` identifies this run of the node and must never be reused.
    pub fn new(settings: Settings, incarnation: u64, now: Micros) -> Exchange {
        Exchange {
            settings,
            incarnation,
            summary_number: 0,
            peer_incarnation: None,
            incoming_summary: (0, BTreeSet::new()),
            last_full_summary: 0,
            complete: false,
            peer_logs: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            in_flight: VecDeque::new(),
            out_of_order: BTreeMap::new(),
            out_of_order_bytes: 0,
            receiving: BTreeMap::new(),
            summaries_due: BTreeSet::new(),
            unreported_bytes: 0,
            peer_waits: false,
            relayed_nodes: BTreeSet::new(),
            relayed_logs: BTreeMap::new(),
            next_check: now,
            locators_due: BTreeSet::new(),
            next_full_summary: now,
            last_summary_at: now.saturating_sub(settings.summary_delay),
            send_budget: 0,
            refilled_at: now,
            more_to_send: false,
            window_full: false,
            next_log: 0,
            outgoing: Vec::new(),
        }
    }

    /// Sets the nodes, by site and name, whose logs the peer normally receives from others. This node relays
    /// entries of these logs only after the peer has lacked some of them and made no progress for three times
    /// [`Settings::summary_delay`].
    pub fn set_relayed_nodes(&mut self, nodes: BTreeSet<(String, String)>) {
        self.relayed_nodes = nodes;
        self.relayed_logs.clear();
    }

    fn is_relayed(&self, writer: &Writer) -> bool {
        // Avoids cloning the names in the common case without relayed nodes.
        !self.relayed_nodes.is_empty()
            && self.relayed_nodes.contains(&(writer.site.clone(), writer.node.clone()))
    }

    /// Returns whether a full summary of the peer's present incarnation has arrived.
    pub fn complete(&self) -> bool {
        self.complete
    }

    /// Returns the last point of a log that the peer holds and this node doesn't. If it is this node's own
    /// log its disk was restored from an older copy; [`newest_entry_at_peers`] evaluates that once
    /// [`Exchange::complete`].
    pub fn ahead(&self, writer: &Writer) -> Option<Point> {
        self.peer_logs.get(writer)?.ahead.map(|claim| claim.point)
    }

    /// Returns whether the peer holds a different entry of the same number in that log. If it is this node's
    /// own log, it has forked.
    pub fn diverged(&self, writer: &Writer) -> bool {
        self.peer_logs.get(writer).is_some_and(|peer_log| peer_log.diverged)
    }

    /// Returns the last entry of a log that the peer reported to hold and that this node knows, too.
    pub fn confirmed_point(&self, replicas: &impl LogReplicas, writer: &Writer) -> Option<Point> {
        let points = self.peer_logs.get(writer)?.points.iter().filter(|p| replicas.knows(writer, p));
        points.max_by_key(|p| p.0).copied()
    }

    /// Returns whether both nodes hold the same entries, as far as this node knows.
    pub fn in_sync(&self, replicas: &impl LogReplicas) -> bool {
        let same = |writer: &Writer| {
            let peer_log = self.peer_logs.get(writer);
            peer_log.is_some_and(|t| !t.points.is_empty() && replicas.missing(writer, &t.points, 1).is_none())
        };
        self.complete
            && self.peer_logs.values().all(|t| t.ahead.is_none())
            && replicas.writers().iter().all(same)
    }

    /// Returns the number of bytes that are buffered: pieces that arrived out of order, and outgoing messages
    /// at their maximum size.
    pub fn buffered_bytes(&self) -> usize {
        self.out_of_order_bytes + self.outgoing.len() * MAX_MESSAGE_BYTES
    }

    /// Handles a received message and inserts its entries at once.
    ///
    /// # Errors
    /// The message was dropped.
    pub fn receive(
        &mut self,
        replicas: &mut impl LogReplicas,
        message: Message,
        now: Micros,
    ) -> Result<Received, MessageError> {
        match message {
            Message::Have { incarnation, summary_number, part, parts, logs } => {
                if self.peer_incarnation.replace(incarnation) != Some(incarnation) {
                    self.peer_logs.clear();
                    self.unconfirmed.clear();
                    self.relayed_logs.clear();
                    self.in_flight.clear();
                    (self.incoming_summary, self.last_full_summary) = ((0, BTreeSet::new()), 0);
                    self.complete = false;
                }
                for summary in logs {
                    self.receive_summary(replicas, summary, parts > 0, now);
                }
                if part < parts {
                    if summary_number != self.incoming_summary.0 {
                        self.incoming_summary = (summary_number, BTreeSet::new());
                    }
                    self.incoming_summary.1.insert(part);
                    if self.incoming_summary.1.len() as u32 == parts
                        && summary_number != self.last_full_summary
                    {
                        (self.last_full_summary, self.complete) = (summary_number, true);
                        // The peer doesn't hold a log that a full summary leaves out, whatever it reported
                        // before. One such summary may have been on its way when it did.
                        self.peer_logs.retain(|_, peer_log| peer_log.full_summaries < 2);
                        self.peer_logs.values_mut().for_each(|peer_log| peer_log.full_summaries += 1);
                    }
                }
                Ok(Received::default())
            }
            Message::Piece { piece } => self.receive_piece(replicas, piece, now),
            Message::Sealed { writer, point, from, total, retained_keys, check: sent } => {
                if sent != sealed_checksum(&writer, &point, from, total, &retained_keys) {
                    return Err(MessageError::Changed);
                }
                Ok(self.receive_sealed(replicas, writer, point, (from, total), retained_keys))
            }
        }
    }

    fn receive_summary(
        &mut self,
        replicas: &impl LogReplicas,
        summary: LogSummary,
        is_full: bool,
        now: Micros,
    ) {
        let LogSummary { writer, sealed, points, receiving } = summary;
        let heads = replicas.heads(&writer);
        let own_last = heads.iter().map(|p| p.0).max().unwrap_or(0);
        let own_sealed = replicas.sealed(&writer);
        let peer_log = self.peer_logs.entry(writer.clone()).or_default();
        let before = (peer_log.points.clone(), peer_log.receiving);
        let (mut held_points, mut all) = (Vec::new(), true);
        peer_log.full_summaries = u32::from(!is_full);
        peer_log.diverged &= !is_full;
        let mut ahead = peer_log.ahead.filter(|_| !is_full).map(|claim| claim.point);
        for point in points.into_iter().chain([sealed]) {
            if replicas.knows(&writer, &point) {
                held_points.push(point);
                continue;
            }
            all = false;
            if point.0 > own_last {
                ahead = ahead.max(Some(point));
                self.summaries_due.insert(writer.clone());
                self.peer_waits = true;
            } else if point.0 > own_sealed.0 {
                // The peer has another entry of that number; locators show where the branches differ.
                peer_log.diverged = true;
                self.locators_due.insert(writer.clone());
                self.summaries_due.insert(writer.clone());
                self.peer_waits = true;
            }
        }
        // A full summary whose points are all known replaces earlier reports; otherwise these remain valid.
        if !(is_full && all) {
            held_points.append(&mut peer_log.points);
        }
        replicas.prune(&writer, &mut held_points);
        held_points.sort_unstable();
        peer_log.points = held_points;
        if let Some(receiving) = receiving.filter(|(point, _)| *point == own_sealed) {
            peer_log.receiving = Some(receiving);
        }
        let new_claim =
            Claim { point: sealed, since: now, wait: self.settings.resend_after, given_up: false };
        let claim = peer_log.ahead.unwrap_or(new_claim);
        peer_log.ahead = ahead.filter(|p| !replicas.knows(&writer, p)).map(|point| Claim { point, ..claim });
        if before == (peer_log.points.clone(), peer_log.receiving) {
            return;
        }
        let (points, keys) = (&peer_log.points, peer_log.receiving.map_or(0, |(_, keys)| keys));
        if let Some(state) = self.relayed_logs.get(&writer) {
            // The peer made progress. It goes beyond what this node sent only if entries reach it from
            // elsewhere.
            let last_sent = self.unconfirmed.get(&writer).and_then(|t| t.points.iter().map(|p| p.0).max());
            let further = |last_sent| points.iter().any(|p| p.0 > last_sent);
            if *state != RelayedLog::Sent || last_sent.is_some_and(further) {
                self.relayed_logs.remove(&writer);
            }
        }
        let covers = |point: &Point| {
            points.iter().any(|p| p.0 >= point.0) && {
                let mut extended = points.clone();
                extended.push(*point);
                // On a log with one branch comparing the numbers is enough.
                if heads.len() > 1 {
                    replicas.prune(&writer, &mut extended);
                    extended.sort_unstable();
                    extended == *points
                } else {
                    true
                }
            }
        };
        // The window has space again for entries that were held back.
        self.more_to_send |= self.window_full;
        self.in_flight.retain_mut(|sent| {
            if sent.writer != writer {
                return true;
            }
            sent.since = now;
            !match sent.keys {
                0 => covers(&sent.point),
                up_to => up_to <= keys || !points.is_empty(),
            }
        });
    }

    fn receive_piece(
        &mut self,
        replicas: &mut impl LogReplicas,
        piece: Piece,
        now: Micros,
    ) -> Result<Received, MessageError> {
        let writer = piece.writer.clone();
        self.summaries_due.insert(writer.clone());
        self.unreported_bytes += piece.size();
        let mut received = Received::default();
        let last = (!piece.entries.is_empty()).then(|| piece.last());
        let mut next = Some(piece);
        while let Some(piece) = next.take() {
            match replicas.insert(&piece) {
                Ok(new) => {
                    received.new += new;
                    let last = piece.last().0;
                    if new > 0 {
                        received.pieces.push(piece);
                    }
                    // A piece that arrived too early may follow now.
                    let range = (writer.clone(), 0)..=(writer.clone(), last);
                    if let Some(key) = self.out_of_order.range(range).next().map(|(key, _)| key.clone()) {
                        next = self.out_of_order.remove(&key).map(|(piece, _)| piece);
                        self.out_of_order_bytes -= next.as_ref().map_or(0, Piece::size);
                    }
                }
                Err(HistoryError::Gap { .. }) => {
                    if self.out_of_order_bytes + piece.size() <= self.settings.window_bytes * 2 {
                        let (key, size) = ((writer.clone(), piece.after), piece.size());
                        let old =
                            self.out_of_order.insert(key, (piece, now)).map_or(0, |(old, _)| old.size());
                        self.out_of_order_bytes = self.out_of_order_bytes + size - old;
                    }
                }
                Err(e) => {
                    if matches!(e, HistoryError::Diverged { .. }) {
                        self.locators_due.insert(writer.clone());
                    }
                    // Pieces inserted before the error remain valid and must be stored.
                    if received.pieces.is_empty() {
                        return Err(e.into());
                    }
                }
            }
        }
        // The peer holds the entries that it sent, and a claimed point that is known now.
        let peer_log = self.peer_logs.entry(writer.clone()).or_default();
        let claim = peer_log.ahead.take_if(|claim| replicas.knows(&writer, &claim.point));
        let held_points = claim.map(|claim| claim.point).into_iter().chain(last);
        peer_log.points.extend(held_points.filter(|point| replicas.knows(&writer, point)));
        replicas.prune(&writer, &mut peer_log.points);
        peer_log.points.sort_unstable();
        if let (Some(claim), true) = (&mut peer_log.ahead, received.new > 0) {
            *claim = Claim { since: now, wait: self.settings.resend_after, given_up: false, ..*claim };
        }
        Ok(received)
    }

    fn receive_sealed(
        &mut self,
        replicas: &mut impl LogReplicas,
        writer: Writer,
        point: Point,
        (from, total): (u64, u64),
        retained_keys: Vec<RetainedKey>,
    ) -> Received {
        self.summaries_due.insert(writer.clone());
        self.peer_waits = true;
        // A node that holds the entries up to the seal doesn't need it; it seals the log itself from its own
        // entries.
        if point.0 <= replicas.sealed(&writer).0 || replicas.knows(&writer, &point) {
            self.receiving.remove(&writer);
            return Received::default();
        }
        let receiving = self.receiving.entry(writer.clone()).or_insert((point, Vec::new()));
        if receiving.0 != point {
            *receiving = (point, Vec::new());
        }
        if from == receiving.1.len() as u64 {
            receiving.1.extend(retained_keys);
        }
        if receiving.1.len() as u64 != total {
            return Received::default();
        }
        let Some((point, retained_keys)) = self.receiving.remove(&writer) else { return Received::default() };
        let base = Base { point, retained_keys };
        replicas.adopt(&writer, &base);
        Received { sealed: Some((writer, base)), ..Received::default() }
    }

    /// Advances the exchange to `now`, in microseconds, and creates outgoing messages
    /// ([`Exchange::take_outgoing`]). `chance` is a random number that spreads the full summaries of
    /// different nodes.
    pub fn poll(&mut self, replicas: &impl LogReplicas, now: Micros, chance: u64) {
        let rate = i64::try_from(self.settings.bytes_per_second).unwrap_or(i64::MAX).max(1);
        let burst = (rate / 50).max(MAX_MESSAGE_BYTES as i64);
        let elapsed = (now - self.refilled_at).clamp(0, 1_000_000);
        let add = rate.saturating_mul(elapsed) / 1_000_000;
        if add > 0 {
            self.send_budget = self.send_budget.saturating_add(add).min(burst);
            self.refilled_at = now;
        }
        if now >= self.next_full_summary {
            let all = replicas.writers();
            self.summary_number += 1;
            self.send_summary(replicas, &all, true);
            let spread = (self.settings.full_summary_interval / 8).max(1);
            self.next_full_summary =
                now + self.settings.full_summary_interval + (chance % spread as u64) as Micros;
            self.last_summary_at = now;
            self.summaries_due.retain(|writer| !all.contains(writer));
        } else if !self.summaries_due.is_empty() && now >= self.next_summary_due() {
            let writers_due: Vec<Writer> = std::mem::take(&mut self.summaries_due).into_iter().collect();
            self.send_summary(replicas, &writers_due, false);
            self.last_summary_at = now;
        }
        let resend_after = self.settings.resend_after;
        let mut overdue: Vec<Writer> = self
            .in_flight
            .iter()
            .filter(|f| now - f.since >= resend_after)
            .map(|f| f.writer.clone())
            .collect();
        overdue.dedup();
        for writer in overdue {
            self.in_flight.retain(|f| f.writer != writer);
            self.unconfirmed.remove(&writer);
            // Entries sent despite the peer's claim were not confirmed either, so the next wait is longer.
            if let Some(claim) = self.peer_logs.get_mut(&writer).and_then(|t| t.ahead.as_mut()) {
                let wait = (claim.wait * 2).min(resend_after.saturating_mul(MAX_WAIT_FACTOR));
                *claim = Claim { since: now, wait, given_up: false, ..*claim };
            }
        }
        for (writer, peer_log) in &mut self.peer_logs {
            let Some(claim) = peer_log.ahead.as_mut().filter(|c| !c.given_up && now - c.since >= c.wait)
            else {
                continue;
            };
            claim.given_up = true;
            self.locators_due.insert(writer.clone());
            self.summaries_due.insert(writer.clone());
        }
        // Pieces that arrived too early are dropped by the time the peer sends them again together with the
        // entries before them.
        let out_of_order_bytes = &mut self.out_of_order_bytes;
        self.out_of_order.retain(|_, (piece, arrived_at)| {
            let keep = now - *arrived_at < resend_after;
            *out_of_order_bytes -= if keep { 0 } else { piece.size() };
            keep
        });
        (self.more_to_send, self.window_full) = (false, false);
        let writers = if self.peer_incarnation.is_some() { replicas.writers() } else { Vec::new() };
        let check_due = now >= self.next_check;
        if check_due {
            self.next_check = now + self.settings.summary_delay;
        }
        let mut idle = 0;
        let mut in_flight: usize = self.in_flight.iter().map(|f| f.bytes).sum();
        while idle < writers.len() {
            if self.send_budget <= 0 || in_flight >= self.settings.window_bytes {
                (self.more_to_send, self.window_full) = (self.send_budget <= 0, self.send_budget > 0);
                break;
            }
            let Some(writer) = writers.get(self.next_log % writers.len()) else { break };
            let deferred = self.is_relayed(writer) && self.is_deferred(replicas, writer, check_due, now);
            match if deferred { None } else { self.next_message(replicas, writer) } {
                Some((message, point, keys)) => {
                    let writer = writer.clone();
                    let bytes = self.send(message);
                    self.in_flight.push_back(InFlight { writer, point, keys, bytes, since: now });
                    in_flight += bytes;
                    idle = 0;
                }
                None => {
                    idle += 1;
                    self.next_log = (self.next_log + 1) % writers.len();
                }
            }
        }
    }

    /// Returns whether the entries that the peer lacks of a log are left to other nodes for now. It is
    /// evaluated once per [`Settings::summary_delay`].
    fn is_deferred(
        &mut self,
        replicas: &impl LogReplicas,
        writer: &Writer,
        check_due: bool,
        now: Micros,
    ) -> bool {
        match self.relayed_logs.get(writer) {
            Some(RelayedLog::Sent) => return false,
            _ if !check_due => return true,
            _ => {}
        }
        let peer_log = self.peer_logs.get(writer);
        let held_points = peer_log.map_or(&[][..], |t| t.points.as_slice());
        let sealed = held_points.is_empty() && replicas.sealed(writer).0 > 0;
        let awaits_claim = peer_log.map_or(!self.complete, |t| t.ahead.is_some_and(|claim| !claim.given_up));
        if awaits_claim || !(sealed || replicas.missing(writer, held_points, 1).is_some()) {
            self.relayed_logs.remove(writer);
            return true;
        }
        let state = self.relayed_logs.entry(writer.clone()).or_insert(RelayedLog::Stalled(now));
        match *state {
            RelayedLog::Stalled(since) if now - since < 3 * self.settings.summary_delay => true,
            _ => {
                *state = RelayedLog::Sent;
                false
            }
        }
    }

    /// Returns when the next summary of single logs is due.
    fn next_summary_due(&self) -> Micros {
        let urgent = self.peer_waits || self.unreported_bytes >= self.settings.window_bytes / 4;
        self.last_summary_at
            + if urgent { self.settings.summary_delay / 10 } else { self.settings.summary_delay }
    }

    /// Queues a message and returns its encoded size in bytes.
    fn send(&mut self, message: Message) -> usize {
        let bytes = message.encode().len();
        self.send_budget -= bytes as i64;
        self.outgoing.push(message);
        bytes
    }

    /// Returns the next message with content of that log which the peer lacks.
    fn next_message(
        &mut self,
        replicas: &impl LogReplicas,
        writer: &Writer,
    ) -> Option<(Message, Point, u64)> {
        let peer_log = self.peer_logs.get(writer);
        if peer_log.is_none() && !self.complete {
            return None;
        }
        // A peer that is ahead most likely holds everything held here; whether it does shows once its
        // entries have arrived.
        if peer_log.and_then(|t| t.ahead).is_some_and(|claim| !claim.given_up) {
            return None;
        }
        let held_points = peer_log.map_or(&[][..], |t| t.points.as_slice());
        let unconfirmed = self.unconfirmed.entry(writer.clone()).or_default();
        let sealed = replicas.sealed(writer);
        let names = writer.site.len() + writer.node.len();
        if sealed.0 > 0 && held_points.is_empty() {
            let upto = |keys: Option<(Point, u64)>| keys.filter(|(p, _)| *p == sealed).map_or(0, |(_, n)| n);
            let sent_keys = upto(unconfirmed.keys);
            let from = sent_keys.max(upto(peer_log.and_then(|t| t.receiving)));
            let (total, retained_keys) =
                replicas.retained_keys(writer, from, (MAX_MESSAGE_BYTES - 180).saturating_sub(names));
            // One more message follows the last key, so that the peer certainly learns that the list is
            // complete.
            if sent_keys > total {
                return None;
            }
            let from = from.min(total);
            let keys = if retained_keys.is_empty() { total + 1 } else { from + retained_keys.len() as u64 };
            unconfirmed.keys = Some((sealed, keys));
            let (writer, point) = (writer.clone(), sealed);
            let check = sealed_checksum(&writer, &point, from, total, &retained_keys);
            return Some((
                Message::Sealed { writer, point, from, total, retained_keys, check },
                sealed,
                keys,
            ));
        }
        let unconfirmed = &mut unconfirmed.points;
        let points: Vec<Point> = held_points.iter().chain(unconfirmed.iter()).copied().collect();
        let piece = replicas.missing(writer, &points, (MAX_MESSAGE_BYTES - 120).saturating_sub(names))?;
        unconfirmed.retain(|p| *p != (piece.after, piece.before));
        unconfirmed.push(piece.last());
        let last = piece.last();
        Some((Message::Piece { piece }, last, 0))
    }

    /// Queues summaries of those logs.
    fn send_summary(&mut self, replicas: &impl LogReplicas, writers: &[Writer], is_full: bool) {
        let point_size = 36;
        let mut groups: Vec<Vec<LogSummary>> = vec![Vec::new()];
        let mut capacity = MAX_MESSAGE_BYTES - 40;
        for writer in writers {
            let sealed = replicas.sealed(writer);
            let all_points = if self.locators_due.remove(writer) {
                replicas.locators(writer).into_iter().flatten().collect()
            } else {
                replicas.heads(writer)
            };
            let receiving = self.receiving.get(writer).map(|(point, keys)| (*point, keys.len() as u64));
            let base = writer.site.len() + writer.node.len() + 20 + point_size + 45;
            let max_points = ((MAX_MESSAGE_BYTES - 40).saturating_sub(base) / point_size).max(1);
            // A log without entries is summarized, too, so that the peer learns that none are held.
            let mut chunks: Vec<&[Point]> = all_points.chunks(max_points).collect();
            if chunks.is_empty() {
                chunks.push(&[]);
            }
            for points in chunks {
                let size = base + points.len() * point_size;
                if size > capacity && groups.last().is_some_and(|g| !g.is_empty()) {
                    groups.push(Vec::new());
                    capacity = MAX_MESSAGE_BYTES - 40;
                }
                capacity = capacity.saturating_sub(size);
                let summary =
                    LogSummary { writer: writer.clone(), sealed, points: points.to_vec(), receiving };
                if let Some(group) = groups.last_mut() {
                    group.push(summary);
                }
            }
        }
        (self.unreported_bytes, self.peer_waits) = (0, false);
        let (incarnation, summary_number) = (self.incarnation, self.summary_number);
        let parts = if is_full { groups.len() as u32 } else { 0 };
        for (part, logs) in (0..).zip(groups) {
            self.send(Message::Have { incarnation, summary_number, part, parts, logs });
        }
    }

    /// Notes that entries of a log arrived from another node. The next summary informs the peer, so that it
    /// doesn't send them again.
    pub fn note_update(&mut self, writer: &Writer) {
        self.summaries_due.insert(writer.clone());
    }

    /// Returns and removes the outgoing messages.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the latest time, in microseconds, at which [`Exchange::poll`] must be called again.
    pub fn due(&self) -> Micros {
        let mut due = self.next_full_summary;
        if !self.summaries_due.is_empty() {
            due = due.min(self.next_summary_due());
        }
        if let Some(since) = self.in_flight.iter().map(|f| f.since).min() {
            due = due.min(since + self.settings.resend_after);
        }
        if !self.relayed_logs.is_empty() {
            due = due.min(self.next_check);
        }
        let claims = self.peer_logs.values().filter_map(|t| t.ahead).filter(|claim| !claim.given_up);
        due = claims.map(|claim| claim.since.saturating_add(claim.wait)).fold(due, Micros::min);
        if self.more_to_send {
            let rate = i64::try_from(self.settings.bytes_per_second).unwrap_or(i64::MAX).max(1);
            due = due
                .min(self.refilled_at + (1 - self.send_budget).max(1).saturating_mul(1_000_000) / rate + 1);
        }
        due
    }
}
