//! How two nodes give each other what the other lacks of all logs: bounded words, paced, from where the other stands.
//!
//! Each says what it has ([`Message::Have`]): at first and from time to time all of it, soon after something came that log. What the other
//! said it has stays true for its life, so words may be lost, doubled, late or out of order. Pieces are sent ahead of what was
//! confirmed by a window at most, and again from there where nothing is confirmed for a time; so nothing is queued but the window, and after a
//! cut it goes on where it stood. Where logs forked, points at doubling distances from the end tell where they part (as block locators of
//! Bitcoin do: "Protocol documentation", getblocks).
//!
//! That the other is ahead on a log is a claim until it shows: it is waited for, as what the other lacks is most likely a part of that. The
//! wait ends with the next whole that says otherwise, with the second whole that does not name the log at all, and where nothing new of the
//! log came for [`Settings::again`]: then the other is told where its line may part, and is sent what it lacks by what it is known to have.
//!
//! One exchange is one node's side towards one other node. Entries are read and taken through [`Holdings`], which the shell may keep as it likes.

use crate::hash_chain::{self, Digest, Piece, Point};
use crate::history::{Base, History, HistoryError, OwnLogState, RetainedKey};
use crate::{Micros, Writer};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A word has this many bytes at most, encoded, where the names of a site and a node hold 60 together.
pub const MAX_MESSAGE_BYTES: usize = 1_150;
/// A claim that was not backed is waited for so many times [`Settings::again`] at most, before the other is sent something once more.
const MAX_WAIT_FACTOR: Micros = 16;

/// What a node holds of all logs; [`History`] is one. Reading may fail: then there is nothing to send for now.
pub trait LogReplicas {
    /// All writers that are known, in order.
    fn writers(&self) -> Vec<Writer>;
    /// See [`History::heads`].
    fn heads(&self, writer: &Writer) -> Vec<Point>;
    /// See [`History::locators`].
    fn locators(&self, writer: &Writer) -> Vec<Vec<Point>>;
    /// See [`History::knows`].
    fn knows(&self, writer: &Writer, point: &Point) -> bool;
    /// See [`History::sealed`].
    fn sealed(&self, writer: &Writer) -> Point;
    /// See [`History::remembered`].
    fn retained_keys(&self, writer: &Writer, from: u64, most: usize) -> (u64, Vec<RetainedKey>);
    /// See [`History::lacking`].
    fn missing(&self, writer: &Writer, points: &[Point], most: usize) -> Option<Piece>;
    /// See [`History::prune`].
    fn prune(&self, writer: &Writer, points: &mut Vec<Point>);
    /// See [`History::walk`].
    fn visit_missing(
        &self,
        writer: &Writer,
        points: &[Point],
        most: usize,
        reply: &mut dyn FnMut(Point, &[u8]) -> bool,
    ) -> Option<(Point, Point)>;
    /// See [`History::on_line`].
    fn digest_on_branch(&self, writer: &Writer, point: &Point, number: u64) -> Option<Digest>;
    /// See [`History::take`].
    ///
    /// # Errors
    /// See there.
    fn insert(&mut self, piece: &Piece) -> Result<u64, HistoryError>;
    /// See [`History::adopt`].
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
    fn retained_keys(&self, writer: &Writer, from: u64, most: usize) -> (u64, Vec<RetainedKey>) {
        History::retained_keys(self, writer, from, most)
    }
    fn missing(&self, writer: &Writer, points: &[Point], most: usize) -> Option<Piece> {
        History::missing(self, writer, points, most)
    }
    fn prune(&self, writer: &Writer, points: &mut Vec<Point>) {
        History::prune(self, writer, points);
    }
    fn visit_missing(
        &self,
        writer: &Writer,
        points: &[Point],
        most: usize,
        reply: &mut dyn FnMut(Point, &[u8]) -> bool,
    ) -> Option<(Point, Point)> {
        History::visit_missing(self, writer, points, most, reply)
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

/// What a node has of one log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSummary {
    /// Whose log.
    pub writer: Writer,
    /// The last entry that it has sealed.
    pub sealed: Point,
    /// Points that it has, with all before each.
    pub points: Vec<Point>,
    /// How many guarded keys it has been told of what another one sealed up to a point.
    pub taking: Option<(Point, u64)>,
}

/// What one node says to another. Encoded by postcard ([`Message::encode`]); in a text format it is longer than [`MAX_MESSAGE`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// What I have.
    Have {
        /// The life of the node that says it. What was known of another one is not known any more: it may have another disk. A late word of
        /// an earlier life costs no more than that something is sent again.
        life: u64,
        /// The number of the whole of which this is a part.
        number: u64,
        /// Which part, from 0.
        part: u32,
        /// How many there are; 0 for something said in between, which is no part of a whole.
        parts: u32,
        /// Of some logs.
        of: Vec<LogSummary>,
    },
    /// What you lack.
    Piece {
        /// Entries.
        piece: Piece,
    },
    /// What was sealed of what you lack.
    Sealed {
        /// Whose log.
        writer: Writer,
        /// Up to there.
        point: Point,
        /// The place of the first of these guarded keys among all.
        from: u64,
        /// How many there are.
        total: u64,
        /// Guarded keys that were placed up to there.
        #[serde(rename = "remembered")]
        retained_keys: Vec<RetainedKey>,
        /// Stands for all of that: by it entries are dropped.
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

/// Why a word was dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum MessageError {
    /// It is no word.
    #[error("a word about placements can't be read")]
    #[diagnostic(help("the other node runs another version of this program: let both run one"))]
    Unreadable,
    /// What it says of a sealed log is not what its digest says.
    #[error("what was said of sealed placements was changed on its way")]
    #[diagnostic(help("nothing to do where it happens once: it is said again; otherwise look at the network between the sites"))]
    Changed,
    /// What it brought can't be taken.
    #[error(transparent)]
    #[diagnostic(transparent)]
    History(#[from] HistoryError),
}

impl Message {
    /// As it is sent.
    pub fn encode(&self) -> Vec<u8> {
        // Nothing in a word fails to be written.
        postcard::to_stdvec(self).expect("a message has a length known before")
    }

    /// From what was received.
    ///
    /// # Errors
    /// It is no word.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            _ => Err(MessageError::Unreadable),
        }
    }
}

/// How an exchange goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Bytes a second that it sends at most, over a second.
    pub bytes_per_second: u64,
    /// Bytes that it sends ahead of what is confirmed.
    pub window_bytes: usize,
    /// What is not confirmed for so long is sent again.
    pub resend_after: Micros,
    /// It says all that it has so often.
    pub full_summary_interval: Micros,
    /// What came is said to be here so long after the last such saying, at the soonest; a tenth of it where a quarter of the window has come
    /// since, or where it shows that one of both lacks something.
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

/// What a word brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// Pieces of which something was new: to be kept on the disk ([`crate::log::Copies::piece`]).
    pub pieces: Vec<Piece>,
    /// A log of which somebody has sealed more ([`crate::log::Copies::base`]).
    pub sealed: Option<(Writer, Base)>,
    /// How many entries were new.
    pub new: u64,
}

/// A point that the other says it has, and that is not known here.
#[derive(Clone, Copy, Debug)]
struct Claim {
    point: Point,
    /// Since when nothing new of that log came, and for how long that is waited for.
    since: Micros,
    wait: Micros,
    /// Nothing came: it is not waited for any more.
    given_up: bool,
}

#[derive(Clone, Debug, Default)]
struct Theirs {
    /// What the other has, as far as it is known here.
    points: Vec<Point>,
    /// The furthest that it has and is not known here.
    ahead: Option<Claim>,
    /// It has another entry of a number than is known here.
    apart: bool,
    /// Wholes since it named that log, the one in or after which it did counted.
    wholes: u32,
    /// How many of the guarded keys that were sealed up to there it has been told.
    taking: Option<(Point, u64)>,
}

/// What the other gets of a log from somebody else, and why not from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spare {
    /// It lacks something, and has not come on since then.
    Stalled(Micros),
    /// It stood for too long: it is sent from here, until it comes on another way.
    Sent,
}

#[derive(Clone, Debug)]
struct Flight {
    writer: Writer,
    point: Point,
    /// Guarded keys of what was sealed, up to that one of them; 0 for entries.
    keys: u64,
    bytes: usize,
    /// Since when nothing of that log was confirmed.
    since: Micros,
}

/// What was sent of one log and is not confirmed.
#[derive(Clone, Debug, Default)]
struct Unconfirmed {
    points: Vec<Point>,
    keys: Option<(Point, u64)>,
}

/// How far others know a log beyond its writer's disk, whose last entry is `own`, or otherwise: then an older disk was put back, or a copied one,
/// and the log is founded anew before the next entry. Asked once exchanges are complete. What only the exchanges say is not all of it: an entry that
/// one partner has given back meanwhile is no longer ahead.
pub fn newest_entry_at_peers<'a>(
    exchanges: impl IntoIterator<Item = &'a Exchange>,
    history: &History,
    writer: &Writer,
    own: Point,
) -> Option<u64> {
    let outgoing_messages =
        |e: &Exchange| e.ahead(writer).map(|point| point.0).max(e.diverged(writer).then_some(own.0));
    let ahead = exchanges.into_iter().filter_map(outgoing_messages).max();
    let back = match history.own_log_state(writer, own) {
        OwnLogState::Intact => None,
        OwnLogState::RolledBack { known, .. } => Some(known),
        OwnLogState::Forked { own } => Some(own),
    };
    ahead.max(back)
}

/// One node's side of the exchange with one other.
#[derive(Clone, Debug)]
pub struct Exchange {
    settings: Settings,
    life: u64,
    number: u64,
    other: Option<u64>,
    /// Parts of the last whole that were heard.
    whole: (u64, BTreeSet<u32>),
    /// The last whole that was heard to its end.
    ended: u64,
    complete: bool,
    theirs: BTreeMap<Writer, Theirs>,
    /// Sent and not confirmed: until it is sent again it counts as had.
    notified: BTreeMap<Writer, Unconfirmed>,
    flying: VecDeque<Flight>,
    /// Pieces that came before the ones before them, and when.
    early: BTreeMap<(Writer, u64), (Piece, Micros)>,
    early_bytes: usize,
    /// Keys of what the other has sealed, as far as they came.
    taking: BTreeMap<Writer, (Point, Vec<RetainedKey>)>,
    soon: BTreeSet<Writer>,
    /// Bytes that came since it was last said what is had.
    unsaid: usize,
    /// The other waits for that word.
    waited: bool,
    /// Nodes, by site and name, whose entries the other gets another way.
    spare: BTreeSet<(String, String)>,
    /// Of logs of those: how that goes.
    spares: BTreeMap<Writer, Spare>,
    next_look: Micros,
    part_ways: BTreeSet<Writer>,
    next_whole: Micros,
    /// When it last said what it has.
    sent: Micros,
    /// What may be sent now, in bytes; below nothing where a word was longer.
    may: i64,
    filled: Micros,
    more: bool,
    /// The window was full.
    full: bool,
    /// The writer that is served next.
    turn: usize,
    out: Vec<Message>,
}

impl Exchange {
    /// One that begins now, in a life of this node that is never used twice.
    pub fn new(settings: Settings, life: u64, now: Micros) -> Exchange {
        Exchange {
            settings,
            life,
            number: 0,
            other: None,
            whole: (0, BTreeSet::new()),
            ended: 0,
            complete: false,
            theirs: BTreeMap::new(),
            notified: BTreeMap::new(),
            flying: VecDeque::new(),
            early: BTreeMap::new(),
            early_bytes: 0,
            taking: BTreeMap::new(),
            soon: BTreeSet::new(),
            unsaid: 0,
            waited: false,
            spare: BTreeSet::new(),
            spares: BTreeMap::new(),
            next_look: now,
            part_ways: BTreeSet::new(),
            next_whole: now,
            sent: now.saturating_sub(settings.summary_delay),
            may: 0,
            filled: now,
            more: false,
            full: false,
            turn: 0,
            out: Vec::new(),
        }
    }

    /// The other gets what these nodes write, by site and name, from somebody else: it is sent from here only once the other lacks something
    /// of such a log and has not come on in it for three times [`Settings::soon`].
    pub fn set_covered_nodes(&mut self, nodes: BTreeSet<(String, String)>) {
        self.spare = nodes;
        self.spares.clear();
    }

    fn is_spare(&self, writer: &Writer) -> bool {
        // No name is made for the asking where there are none.
        !self.spare.is_empty() && self.spare.contains(&(writer.site.clone(), writer.node.clone()))
    }

    /// The other has said all that it has in this life.
    pub fn complete(&self) -> bool {
        self.complete
    }

    /// The furthest entry of a log that the other has and this node has not. Of one's own log it means that an older disk was put back:
    /// asked once [`Exchange::complete`], by [`beyond`].
    pub fn ahead(&self, writer: &Writer) -> Option<Point> {
        self.theirs.get(writer)?.ahead.map(|claim| claim.point)
    }

    /// The other has another entry of that log than this node for one number at least: of one's own log that it forked.
    pub fn diverged(&self, writer: &Writer) -> bool {
        self.theirs.get(writer).is_some_and(|theirs| theirs.apart)
    }

    /// The furthest entry of a log that the other has by its own word and this node knows, too.
    pub fn confirmed_point(&self, holdings: &impl LogReplicas, writer: &Writer) -> Option<Point> {
        let points = self.theirs.get(writer)?.points.iter().filter(|p| holdings.knows(writer, p));
        points.max_by_key(|p| p.0).copied()
    }

    /// Each has what the other has, as far as is known.
    pub fn in_sync(&self, holdings: &impl LogReplicas) -> bool {
        let same = |writer: &Writer| {
            let theirs = self.theirs.get(writer);
            theirs.is_some_and(|t| !t.points.is_empty() && holdings.missing(writer, &t.points, 1).is_none())
        };
        self.complete
            && self.theirs.values().all(|t| t.ahead.is_none())
            && holdings.writers().iter().all(same)
    }

    /// What is held here for the other's sake, in bytes: what flies, and what came early.
    pub fn buffered_bytes(&self) -> usize {
        self.early_bytes + self.out.len() * MAX_MESSAGE_BYTES
    }

    /// A word came. What it brought is taken at once.
    ///
    /// # Errors
    /// It was dropped.
    pub fn receive(
        &mut self,
        holdings: &mut impl LogReplicas,
        message: Message,
        now: Micros,
    ) -> Result<Received, MessageError> {
        match message {
            Message::Have { life, number, part, parts, of } => {
                if self.other.replace(life) != Some(life) {
                    self.theirs.clear();
                    self.notified.clear();
                    self.spares.clear();
                    self.flying.clear();
                    (self.whole, self.ended) = ((0, BTreeSet::new()), 0);
                    self.complete = false;
                }
                for known in of {
                    self.receive_summary(holdings, known, parts > 0, now);
                }
                if part < parts {
                    if number != self.whole.0 {
                        self.whole = (number, BTreeSet::new());
                    }
                    self.whole.1.insert(part);
                    if self.whole.1.len() as u32 == parts && number != self.ended {
                        (self.ended, self.complete) = (number, true);
                        // What it does not name the other does not have, whatever was said in between. One such whole may
                        // have been on its way when it was said.
                        self.theirs.retain(|_, theirs| theirs.wholes < 2);
                        self.theirs.values_mut().for_each(|theirs| theirs.wholes += 1);
                    }
                }
                Ok(Received::default())
            }
            Message::Piece { piece } => self.receive_piece(holdings, piece, now),
            Message::Sealed { writer, point, from, total, retained_keys, check: sent } => {
                if sent != sealed_checksum(&writer, &point, from, total, &retained_keys) {
                    return Err(MessageError::Changed);
                }
                Ok(self.receive_sealed(holdings, writer, point, (from, total), retained_keys))
            }
        }
    }

    fn receive_summary(&mut self, holdings: &impl LogReplicas, known: LogSummary, whole: bool, now: Micros) {
        let LogSummary { writer, sealed, points, taking } = known;
        let heads = holdings.heads(&writer);
        let own_last = heads.iter().map(|p| p.0).max().unwrap_or(0);
        let own_sealed = holdings.sealed(&writer);
        let theirs = self.theirs.entry(writer.clone()).or_default();
        let before = (theirs.points.clone(), theirs.taking);
        let (mut had, mut all) = (Vec::new(), true);
        theirs.wholes = u32::from(!whole);
        theirs.apart &= !whole;
        let mut ahead = theirs.ahead.filter(|_| !whole).map(|claim| claim.point);
        for point in points.into_iter().chain([sealed]) {
            if holdings.knows(&writer, &point) {
                had.push(point);
                continue;
            }
            all = false;
            if point.0 > own_last {
                ahead = ahead.max(Some(point));
                self.soon.insert(writer.clone());
                self.waited = true;
            } else if point.0 > own_sealed.0 {
                // It is another entry than the one here: where they part is told by points further back.
                theirs.apart = true;
                self.part_ways.insert(writer.clone());
                self.soon.insert(writer.clone());
                self.waited = true;
            }
        }
        // Where all that it said is known here it is taken at its word; else what it said before still holds.
        if !(whole && all) {
            had.append(&mut theirs.points);
        }
        holdings.prune(&writer, &mut had);
        had.sort_unstable();
        theirs.points = had;
        if let Some(taking) = taking.filter(|(point, _)| *point == own_sealed) {
            theirs.taking = Some(taking);
        }
        let fresh = Claim { point: sealed, since: now, wait: self.settings.resend_after, given_up: false };
        let claim = theirs.ahead.unwrap_or(fresh);
        theirs.ahead = ahead.filter(|p| !holdings.knows(&writer, p)).map(|point| Claim { point, ..claim });
        if before == (theirs.points.clone(), theirs.taking) {
            return;
        }
        let (points, keys) = (&theirs.points, theirs.taking.map_or(0, |(_, keys)| keys));
        if let Some(spare) = self.spares.get(&writer) {
            // It has come on; further than it was sent from here only another way.
            let notified = self.notified.get(&writer).and_then(|t| t.points.iter().map(|p| p.0).max());
            let further = |notified| points.iter().any(|p| p.0 > notified);
            if *spare != Spare::Sent || notified.is_some_and(further) {
                self.spares.remove(&writer);
            }
        }
        let covers = |point: &Point| {
            points.iter().any(|p| p.0 >= point.0) && {
                let mut with = points.clone();
                with.push(*point);
                // On a log of one line the number says it.
                if heads.len() > 1 {
                    holdings.prune(&writer, &mut with);
                    with.sort_unstable();
                    with == *points
                } else {
                    true
                }
            }
        };
        // There is room again for what waited.
        self.more |= self.full;
        self.flying.retain_mut(|flight| {
            if flight.writer != writer {
                return true;
            }
            flight.since = now;
            !match flight.keys {
                0 => covers(&flight.point),
                up_to => up_to <= keys || !points.is_empty(),
            }
        });
    }

    fn receive_piece(
        &mut self,
        holdings: &mut impl LogReplicas,
        piece: Piece,
        now: Micros,
    ) -> Result<Received, MessageError> {
        let writer = piece.writer.clone();
        self.soon.insert(writer.clone());
        self.unsaid += piece.size();
        let mut received = Received::default();
        let last = (!piece.entries.is_empty()).then(|| piece.last());
        let mut next = Some(piece);
        while let Some(piece) = next.take() {
            match holdings.insert(&piece) {
                Ok(new) => {
                    received.new += new;
                    let last = piece.last().0;
                    if new > 0 {
                        received.pieces.push(piece);
                    }
                    // What came early may follow now.
                    let range = (writer.clone(), 0)..=(writer.clone(), last);
                    if let Some(key) = self.early.range(range).next().map(|(key, _)| key.clone()) {
                        next = self.early.remove(&key).map(|(piece, _)| piece);
                        self.early_bytes -= next.as_ref().map_or(0, Piece::size);
                    }
                }
                Err(HistoryError::Gap { .. }) => {
                    if self.early_bytes + piece.size() <= self.settings.window_bytes * 2 {
                        let (key, size) = ((writer.clone(), piece.after), piece.size());
                        let old = self.early.insert(key, (piece, now)).map_or(0, |(old, _)| old.size());
                        self.early_bytes = self.early_bytes + size - old;
                    }
                }
                Err(e) => {
                    if matches!(e, HistoryError::Diverged { .. }) {
                        self.part_ways.insert(writer.clone());
                    }
                    // What was taken before it stays, and is to be kept.
                    if received.pieces.is_empty() {
                        return Err(e.into());
                    }
                }
            }
        }
        // What came from it, it has, and what it said it has and is known now.
        let theirs = self.theirs.entry(writer.clone()).or_default();
        let claim = theirs.ahead.take_if(|claim| holdings.knows(&writer, &claim.point));
        let had = claim.map(|claim| claim.point).into_iter().chain(last);
        theirs.points.extend(had.filter(|point| holdings.knows(&writer, point)));
        holdings.prune(&writer, &mut theirs.points);
        theirs.points.sort_unstable();
        if let (Some(claim), true) = (&mut theirs.ahead, received.new > 0) {
            *claim = Claim { since: now, wait: self.settings.resend_after, given_up: false, ..*claim };
        }
        Ok(received)
    }

    fn receive_sealed(
        &mut self,
        holdings: &mut impl LogReplicas,
        writer: Writer,
        point: Point,
        (from, total): (u64, u64),
        retained_keys: Vec<RetainedKey>,
    ) -> Received {
        self.soon.insert(writer.clone());
        self.waited = true;
        // What is known that far needs no word of what was sealed; whatever is sealed here follows from one's own entries.
        if point.0 <= holdings.sealed(&writer).0 || holdings.knows(&writer, &point) {
            self.taking.remove(&writer);
            return Received::default();
        }
        let taking = self.taking.entry(writer.clone()).or_insert((point, Vec::new()));
        if taking.0 != point {
            *taking = (point, Vec::new());
        }
        if from == taking.1.len() as u64 {
            taking.1.extend(retained_keys);
        }
        if taking.1.len() as u64 != total {
            return Received::default();
        }
        let Some((point, retained_keys)) = self.taking.remove(&writer) else { return Received::default() };
        let base = Base { point, retained_keys };
        holdings.adopt(&writer, &base);
        Received { sealed: Some((writer, base)), ..Received::default() }
    }

    /// Time has passed: what is to be said is made ([`Exchange::take_outgoing`]). `chance` spreads the sayings of many.
    pub fn poll(&mut self, holdings: &impl LogReplicas, now: Micros, chance: u64) {
        let rate = i64::try_from(self.settings.bytes_per_second).unwrap_or(i64::MAX).max(1);
        let burst = (rate / 50).max(MAX_MESSAGE_BYTES as i64);
        let gone = (now - self.filled).clamp(0, 1_000_000);
        let add = rate.saturating_mul(gone) / 1_000_000;
        if add > 0 {
            self.may = self.may.saturating_add(add).min(burst);
            self.filled = now;
        }
        if now >= self.next_whole {
            let all = holdings.writers();
            self.number += 1;
            self.send_summary(holdings, &all, true);
            let spread = (self.settings.full_summary_interval / 8).max(1);
            self.next_whole = now + self.settings.full_summary_interval + (chance % spread as u64) as Micros;
            self.sent = now;
            self.soon.retain(|writer| !all.contains(writer));
        } else if !self.soon.is_empty() && now >= self.next_soon() {
            let some: Vec<Writer> = std::mem::take(&mut self.soon).into_iter().collect();
            self.send_summary(holdings, &some, false);
            self.sent = now;
        }
        let again = self.settings.resend_after;
        let mut late: Vec<Writer> =
            self.flying.iter().filter(|f| now - f.since >= again).map(|f| f.writer.clone()).collect();
        late.dedup();
        for writer in late {
            self.flying.retain(|f| f.writer != writer);
            self.notified.remove(&writer);
            // What it was sent though it says that it is ahead did not get there either: less of that.
            if let Some(claim) = self.theirs.get_mut(&writer).and_then(|t| t.ahead.as_mut()) {
                let wait = (claim.wait * 2).min(again.saturating_mul(MAX_WAIT_FACTOR));
                *claim = Claim { since: now, wait, given_up: false, ..*claim };
            }
        }
        for (writer, theirs) in &mut self.theirs {
            let Some(claim) = theirs.ahead.as_mut().filter(|c| !c.given_up && now - c.since >= c.wait) else {
                continue;
            };
            claim.given_up = true;
            self.part_ways.insert(writer.clone());
            self.soon.insert(writer.clone());
        }
        // What came early is sent again by then, with what is before it, if there is such a thing.
        let early_bytes = &mut self.early_bytes;
        self.early.retain(|_, (piece, came)| {
            let keeps = now - *came < again;
            *early_bytes -= if keeps { 0 } else { piece.size() };
            keeps
        });
        (self.more, self.full) = (false, false);
        let writers = if self.other.is_some() { holdings.writers() } else { Vec::new() };
        let looks = now >= self.next_look;
        if looks {
            self.next_look = now + self.settings.summary_delay;
        }
        let mut idle = 0;
        let mut flying: usize = self.flying.iter().map(|f| f.bytes).sum();
        while idle < writers.len() {
            if self.may <= 0 || flying >= self.settings.window_bytes {
                (self.more, self.full) = (self.may <= 0, self.may > 0);
                break;
            }
            let Some(writer) = writers.get(self.turn % writers.len()) else { break };
            let held = self.is_spare(writer) && self.is_deferred(holdings, writer, looks, now);
            match if held { None } else { self.next_message(holdings, writer) } {
                Some((message, point, keys)) => {
                    let writer = writer.clone();
                    let bytes = self.send(message);
                    self.flying.push_back(Flight { writer, point, keys, bytes, since: now });
                    flying += bytes;
                    idle = 0;
                }
                None => {
                    idle += 1;
                    self.turn = (self.turn + 1) % writers.len();
                }
            }
        }
    }

    /// Whether what the other lacks of a log is left to somebody else for now. It is looked at once in `soon`.
    fn is_deferred(
        &mut self,
        holdings: &impl LogReplicas,
        writer: &Writer,
        looks: bool,
        now: Micros,
    ) -> bool {
        match self.spares.get(writer) {
            Some(Spare::Sent) => return false,
            _ if !looks => return true,
            _ => {}
        }
        let theirs = self.theirs.get(writer);
        let had = theirs.map_or(&[][..], |t| t.points.as_slice());
        let sealed = had.is_empty() && holdings.sealed(writer).0 > 0;
        let waits = theirs.map_or(!self.complete, |t| t.ahead.is_some_and(|claim| !claim.given_up));
        if waits || !(sealed || holdings.missing(writer, had, 1).is_some()) {
            self.spares.remove(writer);
            return true;
        }
        let spare = self.spares.entry(writer.clone()).or_insert(Spare::Stalled(now));
        match *spare {
            Spare::Stalled(since) if now - since < 3 * self.settings.summary_delay => true,
            _ => {
                *spare = Spare::Sent;
                false
            }
        }
    }

    /// When it says what it has of logs of which something came.
    fn next_soon(&self) -> Micros {
        let hurry = self.waited || self.unsaid >= self.settings.window_bytes / 4;
        self.sent + if hurry { self.settings.summary_delay / 10 } else { self.settings.summary_delay }
    }

    /// Have that said; how many bytes it has.
    fn send(&mut self, message: Message) -> usize {
        let bytes = message.encode().len();
        self.may -= bytes as i64;
        self.out.push(message);
        bytes
    }

    /// The next word that the other lacks of that log.
    fn next_message(
        &mut self,
        holdings: &impl LogReplicas,
        writer: &Writer,
    ) -> Option<(Message, Point, u64)> {
        let theirs = self.theirs.get(writer);
        if theirs.is_none() && !self.complete {
            return None;
        }
        // What is behind of the other's is most likely a part of it; whether it is shows once that came.
        if theirs.and_then(|t| t.ahead).is_some_and(|claim| !claim.given_up) {
            return None;
        }
        let had = theirs.map_or(&[][..], |t| t.points.as_slice());
        let notified = self.notified.entry(writer.clone()).or_default();
        let sealed = holdings.sealed(writer);
        let names = writer.site.len() + writer.node.len();
        if sealed.0 > 0 && had.is_empty() {
            let upto = |keys: Option<(Point, u64)>| keys.filter(|(p, _)| *p == sealed).map_or(0, |(_, n)| n);
            let notified_keys = upto(notified.keys);
            let from = notified_keys.max(upto(theirs.and_then(|t| t.taking)));
            let (total, retained_keys) =
                holdings.retained_keys(writer, from, (MAX_MESSAGE_BYTES - 180).saturating_sub(names));
            // After the last one, one word more, so that the other surely knows that it was.
            if notified_keys > total {
                return None;
            }
            let from = from.min(total);
            let keys = if retained_keys.is_empty() { total + 1 } else { from + retained_keys.len() as u64 };
            notified.keys = Some((sealed, keys));
            let (writer, point) = (writer.clone(), sealed);
            let check = sealed_checksum(&writer, &point, from, total, &retained_keys);
            return Some((
                Message::Sealed { writer, point, from, total, retained_keys, check },
                sealed,
                keys,
            ));
        }
        let notified = &mut notified.points;
        let points: Vec<Point> = had.iter().chain(notified.iter()).copied().collect();
        let piece = holdings.missing(writer, &points, (MAX_MESSAGE_BYTES - 120).saturating_sub(names))?;
        notified.retain(|p| *p != (piece.after, piece.before));
        notified.push(piece.last());
        let last = piece.last();
        Some((Message::Piece { piece }, last, 0))
    }

    /// Say what is had of those logs.
    fn send_summary(&mut self, holdings: &impl LogReplicas, writers: &[Writer], whole: bool) {
        let point_size = 36;
        let mut groups: Vec<Vec<LogSummary>> = vec![Vec::new()];
        let mut capacity = MAX_MESSAGE_BYTES - 40;
        for writer in writers {
            let sealed = holdings.sealed(writer);
            let lines = if self.part_ways.remove(writer) {
                holdings.locators(writer).into_iter().flatten().collect()
            } else {
                holdings.heads(writer)
            };
            let taking = self.taking.get(writer).map(|(point, keys)| (*point, keys.len() as u64));
            let base = writer.site.len() + writer.node.len() + 20 + point_size + 45;
            let most = ((MAX_MESSAGE_BYTES - 40).saturating_sub(base) / point_size).max(1);
            // A log of which nothing is held is said, too: so the other knows.
            let mut chunks: Vec<&[Point]> = lines.chunks(most).collect();
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
                let known = LogSummary { writer: writer.clone(), sealed, points: points.to_vec(), taking };
                if let Some(group) = groups.last_mut() {
                    group.push(known);
                }
            }
        }
        (self.unsaid, self.waited) = (0, false);
        let (life, number) = (self.life, self.number);
        let parts = if whole { groups.len() as u32 } else { 0 };
        for (part, of) in (0..).zip(groups) {
            self.send(Message::Have { life, number, part, parts, of });
        }
    }

    /// Something of that log came another way: the other is told soon, so that it does not send it, too.
    pub fn note_update(&mut self, writer: &Writer) {
        self.soon.insert(writer.clone());
    }

    /// What is to be said now.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.out)
    }

    /// When it wants to be passed again, at the latest.
    pub fn due(&self) -> Micros {
        let mut due = self.next_whole;
        if !self.soon.is_empty() {
            due = due.min(self.next_soon());
        }
        if let Some(since) = self.flying.iter().map(|f| f.since).min() {
            due = due.min(since + self.settings.resend_after);
        }
        if !self.spares.is_empty() {
            due = due.min(self.next_look);
        }
        let claims = self.theirs.values().filter_map(|t| t.ahead).filter(|claim| !claim.given_up);
        due = claims.map(|claim| claim.since.saturating_add(claim.wait)).fold(due, Micros::min);
        if self.more {
            let rate = i64::try_from(self.settings.bytes_per_second).unwrap_or(i64::MAX).max(1);
            due = due.min(self.filled + (1 - self.may).max(1).saturating_mul(1_000_000) / rate + 1);
        }
        due
    }
}
