//! Verified copies of all logs, as far as one node knows them.
//!
//! Merging is a join: order, duplicates and partial delivery don't matter. A log has a single writer and
//! therefore a single branch. Two different entries with the same number in one log mean that two processes
//! wrote it: its disk was copied, or restored from an older copy. Both branches are then kept in a tree that
//! is the same at all sites whatever arrived first, and the fork is reported; none of the branches is
//! preferred.
//!
//! The start of a log may be sealed: its entries are dropped, while its digest and its guarded keys are
//! retained ([`crate::compaction`]).

use crate::hash_chain::{self, Digest, EntryError, Piece, Point};
use crate::{End, Entry, Micros, Timed, Writer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of entries that share one stored digest; digests between are recomputed on demand.
const ENTRIES_PER_CHUNK: u64 = 16;

/// Why a piece or a seal was rejected by a history.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum HistoryError {
    /// Entries before the piece are missing.
    #[error("log {writer:?}: entries after {have} up to {after} are missing")]
    #[diagnostic(help("no action is needed: peers send the missing entries again"))]
    Gap {
        /// Log of the piece.
        writer: Writer,
        /// Number of the last entry that is held.
        have: u64,
        /// Number of the entry before the piece.
        after: u64,
    },
    /// The piece follows an entry that differs from the one that is held under the same number.
    #[error("log {writer:?} differs from the stored copy at or before entry {after}")]
    #[diagnostic(help(
        "the log was written from two disks; the fork is reported as soon as its position is known"
    ))]
    Diverged {
        /// Log of the piece.
        writer: Writer,
        /// Number of the differing entry.
        after: u64,
    },
    /// The piece forks from entries that are sealed.
    #[error("log {writer:?} differs from its sealed part at or before entry {number}")]
    #[diagnostic(help("a disk was restored that is older than what all sites confirmed: stop that node, let it start a new log, and check the guarded keys that it has served since"))]
    Sealed {
        /// Log of the piece.
        writer: Writer,
        /// Number of the last sealed entry.
        number: u64,
    },
    /// The entries don't match the piece's digest.
    #[error("log {writer:?}: entries after {after} do not match their digest")]
    #[diagnostic(help("the entries were corrupted in transit or on the disk from which they were read; check that disk if this happens again"))]
    Changed {
        /// Log of the piece.
        writer: Writer,
        /// Number of the entry before the piece.
        after: u64,
    },
    /// The piece contains an invalid entry.
    #[error("log {writer:?}, entry {number}: {why}")]
    #[diagnostic(help(
        "the sending site runs another version of this program or has a defect; compare the versions of both sites"
    ))]
    Entry {
        /// Log of the piece.
        writer: Writer,
        /// Number of the invalid entry.
        number: u64,
        /// Why the entry is invalid.
        why: EntryError,
    },
    /// The log can't be sealed up to that entry.
    #[error("log {writer:?} can't be sealed up to entry {upto}")]
    #[diagnostic(help(
        "no action is needed: a log is sealed only up to an entry before which it has no fork and no open placement"
    ))]
    Unsealable {
        /// Log to seal.
        writer: Writer,
        /// Number of the last entry to seal.
        upto: u64,
    },
}

/// What is retained, after its entries are dropped, of a guarded placement that may have run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RetainedKey {
    /// Name of the request class.
    pub class: String,
    /// Idempotency key of the job.
    pub key: String,
    /// Number of the placement's entry in its log.
    pub number: u64,
    /// Time of the placement in microseconds, by the writer's clock.
    pub at: Micros,
    /// Id of the server.
    pub server: String,
    /// Fencing token under which the job was placed.
    pub fence: u64,
    /// How the placement ended; never [`End::NeverRan`].
    pub how: End,
}

/// A log with two or more branches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fork {
    /// The forked log.
    pub writer: Writer,
    /// Entry number at which the branches differ.
    pub number: u64,
    /// Digests at that number, one for each branch.
    pub entries: Vec<Digest>,
}

/// How a writer's log on its disk compares with what peers know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnLogState {
    /// Peers know all of the log or a first part of it.
    Intact,
    /// Peers know further entries, because the disk was restored from an older copy. A new log must be
    /// started before the next entry.
    RolledBack {
        /// Number of the last entry on the disk.
        own: u64,
        /// Number of the last entry that peers know.
        known: u64,
    },
    /// Peers know another entry of the same number, because the disk was copied, or was restored and then
    /// written. A new log must be started before the next entry.
    Forked {
        /// Number of the last entry on the disk.
        own: u64,
    },
}

/// Up to [`ENTRIES_PER_CHUNK`] consecutive entries of a branch: their bytes, and the offset of each entry's
/// end.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Chunk {
    before: Digest,
    bytes: Vec<u8>,
    ends: Vec<u32>,
}

impl Chunk {
    fn entry(&self, k: usize) -> Option<&[u8]> {
        let from = if k == 0 { 0 } else { *self.ends.get(k - 1)? as usize };
        self.bytes.get(from..*self.ends.get(k)? as usize)
    }
}

/// A sequence of entries without a fork, and the branches that follow it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Branch {
    before: Digest,
    /// Number of the first entry; if the branch is empty, `last` is `first - 1`.
    first: u64,
    last: u64,
    head: Digest,
    chunks: Vec<Chunk>,
    /// Branches after the last entry, ordered by their first entries: none, or at least two.
    children: Vec<Branch>,
}

impl Branch {
    fn starting_after((number, before): Point) -> Branch {
        let first = number + 1;
        Branch { before, first, last: number, head: before, chunks: Vec::new(), children: Vec::new() }
    }

    fn position(&self, number: u64) -> (usize, usize) {
        let (chunk, start) = ((number - 1) / ENTRIES_PER_CHUNK, (self.first - 1) / ENTRIES_PER_CHUNK);
        let begin = (chunk * ENTRIES_PER_CHUNK + 1).max(self.first);
        ((chunk - start) as usize, (number - begin) as usize)
    }

    fn entry(&self, number: u64) -> Option<&[u8]> {
        if number < self.first || number > self.last {
            return None;
        }
        let (chunk, k) = self.position(number);
        self.chunks.get(chunk)?.entry(k)
    }

    /// Returns the digest at that entry, or at the one before the first.
    fn digest(&self, number: u64) -> Option<Digest> {
        if number == self.first - 1 {
            return Some(self.before);
        }
        if number == self.last {
            return Some(self.head);
        }
        if number < self.first || number > self.last {
            return None;
        }
        let (chunk, k) = self.position(number);
        let chunk = self.chunks.get(chunk)?;
        let mut digest = chunk.before;
        for i in 0..=k {
            digest = hash_chain::next_digest(&digest, chunk.entry(i)?);
        }
        Some(digest)
    }

    fn push(&mut self, entry: &[u8]) {
        if self.chunks.is_empty() || self.last.is_multiple_of(ENTRIES_PER_CHUNK) {
            self.chunks.push(Chunk { before: self.head, bytes: Vec::new(), ends: Vec::new() });
        }
        if let Some(chunk) = self.chunks.last_mut() {
            chunk.bytes.extend_from_slice(entry);
            chunk.ends.push(chunk.bytes.len() as u32);
        }
        self.head = hash_chain::next_digest(&self.head, entry);
        self.last += 1;
        if self.last.is_multiple_of(ENTRIES_PER_CHUNK) {
            if let Some(chunk) = self.chunks.last_mut() {
                chunk.bytes.shrink_to_fit();
                chunk.ends.shrink_to_fit();
            }
        }
    }

    /// Truncates the branch after that number and returns the rest.
    fn split(&mut self, number: u64) -> Branch {
        let mut tail = Branch::starting_after((number, self.digest(number).unwrap_or(self.head)));
        for k in number + 1..=self.last {
            if let Some(entry) = self.entry(k) {
                tail.push(entry);
            }
        }
        tail.children = std::mem::take(&mut self.children);
        self.head = tail.before;
        if number + 1 == self.first {
            self.chunks.clear();
        } else {
            let (chunk, k) = self.position(number);
            self.chunks.truncate(chunk + 1);
            if let Some(chunk) = self.chunks.last_mut() {
                chunk.ends.truncate(k + 1);
                chunk.bytes.truncate(chunk.ends.last().map_or(0, |end| *end as usize));
            }
        }
        self.last = number;
        tail
    }

    /// Drops the entries up to that number.
    fn drop_front(&mut self, number: u64) {
        if number.is_multiple_of(ENTRIES_PER_CHUNK) && number >= self.first {
            self.before = self.digest(number).unwrap_or(self.head);
            let dropped_chunks = (number / ENTRIES_PER_CHUNK - (self.first - 1) / ENTRIES_PER_CHUNK) as usize;
            self.chunks.drain(..dropped_chunks.min(self.chunks.len()));
            self.first = number + 1;
        } else if number >= self.first {
            *self = self.split(number);
        }
    }

    fn find(&self, point: &Point) -> Option<&Branch> {
        if self.digest(point.0) == Some(point.1) {
            return Some(self);
        }
        self.children.iter().find_map(|branch| branch.find(point))
    }

    fn find_mut(&mut self, point: &Point) -> Option<&mut Branch> {
        if self.digest(point.0) == Some(point.1) {
            return Some(self);
        }
        self.children.iter_mut().find_map(|branch| branch.find_mut(point))
    }

    /// Inserts entries after the number `at`, which the branch holds; returns how many were new.
    fn insert(&mut self, mut at: u64, entries: &[Vec<u8>]) -> u64 {
        for (k, entry) in entries.iter().enumerate() {
            if at < self.last {
                if self.entry(at + 1) == Some(entry.as_slice()) {
                    at += 1;
                    continue;
                }
                let tail = self.split(at);
                self.children.push(tail);
            } else if self.children.is_empty() {
                entries.iter().skip(k).for_each(|entry| self.push(entry));
                return (entries.len() - k) as u64;
            }
            // The entries fork from the held ones at this number.
            let first = |branch: &Branch| branch.entry(branch.first).map(<[u8]>::to_vec).unwrap_or_default();
            let rest = entries.get(k..).unwrap_or_default();
            return match self.children.binary_search_by_key(entry, first) {
                Ok(same) => self.children.get_mut(same).map_or(0, |branch| branch.insert(at, rest)),
                Err(place) => {
                    let mut branch = Branch::starting_after((self.last, self.head));
                    rest.iter().for_each(|entry| branch.push(entry));
                    self.children.insert(place, branch);
                    rest.len() as u64
                }
            };
        }
        0
    }

    /// Returns whether one of the points is in this branch or after it, and the first position after which no
    /// entry is covered by the points.
    fn missing(&self, points: &[Point]) -> (bool, Option<(&Branch, u64)>) {
        let after: Vec<_> = self.children.iter().map(|branch| branch.missing(points)).collect();
        let from = if after.iter().any(|(touched, _)| *touched) {
            self.last
        } else {
            let within = points.iter().filter(|p| {
                p.0 >= self.first && p.0 <= self.last && self.digest(p.0).is_some_and(|d| d == p.1)
            });
            within.map(|p| p.0).max().unwrap_or(self.first - 1)
        };
        let missing = if from < self.last {
            Some((self, from))
        } else {
            after.into_iter().find_map(|(_, missing)| missing)
        };
        (from >= self.first, missing)
    }

    fn visit_leaves<'a>(&'a self, path: &mut Vec<&'a Branch>, report: &mut dyn FnMut(&[&'a Branch])) {
        path.push(self);
        if self.children.is_empty() {
            report(path);
        }
        self.children.iter().for_each(|branch| branch.visit_leaves(path, report));
        path.pop();
    }

    fn forks(&self, writer: &Writer, into: &mut Vec<Fork>) {
        if !self.children.is_empty() {
            let mut entries: Vec<Digest> =
                self.children.iter().filter_map(|branch| branch.digest(branch.first)).collect();
            entries.sort_unstable();
            into.push(Fork { writer: writer.clone(), number: self.last + 1, entries });
        }
        self.children.iter().for_each(|branch| branch.forks(writer, into));
    }

    fn write_bytes(&self, out: &mut Vec<u8>) {
        out.extend((self.last + 1 - self.first).to_be_bytes());
        for number in self.first..=self.last {
            let entry = self.entry(number).unwrap_or_default();
            out.extend((entry.len() as u32).to_be_bytes());
            out.extend(entry);
        }
        out.extend((self.children.len() as u32).to_be_bytes());
        self.children.iter().for_each(|branch| branch.write_bytes(out));
    }

    fn count(&self) -> (u64, u64) {
        let total_size = self.chunks.iter().map(|c| c.bytes.len() as u64).sum();
        self.children
            .iter()
            .map(Branch::count)
            .fold((self.last + 1 - self.first, total_size), |a, b| (a.0 + b.0, a.1 + b.1))
    }
}

/// What is retained of the sealed part of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Last sealed entry; number 0 if none is sealed.
    pub point: Point,
    /// Guarded keys of the sealed placements that may have run, ordered by class and key; the latest
    /// placement of each key.
    #[serde(rename = "remembered")]
    pub retained_keys: Vec<RetainedKey>,
}

fn by_key(retained_keys: &[RetainedKey]) -> BTreeMap<(String, String), RetainedKey> {
    retained_keys.iter().map(|r| ((r.class.clone(), r.key.clone()), r.clone())).collect()
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Log {
    point: Point,
    /// Ordered by class and key.
    retained_keys: Vec<RetainedKey>,
    root: Branch,
}

impl Log {
    fn new(writer: &Writer) -> Log {
        let point = hash_chain::origin(writer);
        Log { point, retained_keys: Vec::new(), root: Branch::starting_after(point) }
    }
}

/// All entries and seals that are known of all logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    logs: BTreeMap<Writer, Log>,
}

impl History {
    /// Creates an empty history.
    pub fn new() -> History {
        History::default()
    }

    /// Returns the writers of all known logs, in order.
    pub fn writers(&self) -> impl Iterator<Item = &Writer> {
        self.logs.keys()
    }

    /// Returns the last entry of each log. Of a forked log it is the end of the longest branch, or of equally
    /// long ones the one with the smallest digest.
    pub fn latest_points(&self) -> BTreeMap<Writer, Point> {
        let best =
            |writer: &Writer| self.heads(writer).into_iter().max_by_key(|p| (p.0, std::cmp::Reverse(p.1)));
        self.logs.keys().filter_map(|w| Some((w.clone(), best(w)?))).collect()
    }

    /// Returns the last entry of each branch of a log: one unless the log forked, and none for an unknown
    /// log.
    pub fn heads(&self, writer: &Writer) -> Vec<Point> {
        let mut heads = Vec::new();
        if let Some(log) = self.logs.get(writer) {
            log.root.visit_leaves(&mut Vec::new(), &mut |path| {
                heads.extend(path.last().map(|branch| (branch.last, branch.head)));
            });
        }
        heads
    }

    /// Returns points of each branch of a log, from its end backwards at doubling distances down to the
    /// sealed part. Two histories use them to find where their branches differ.
    pub fn locators(&self, writer: &Writer) -> Vec<Vec<Point>> {
        let mut all = Vec::new();
        let Some(log) = self.logs.get(writer) else { return all };
        log.root.visit_leaves(&mut Vec::new(), &mut |path| {
            let last = path.last().map_or(0, |branch| branch.last);
            let (mut points, mut back) = (Vec::new(), 0);
            while last > log.point.0 + back {
                let number = last - back;
                let branch = path.iter().find(|branch| branch.first <= number && number <= branch.last);
                points.extend(branch.and_then(|branch| Some((number, branch.digest(number)?))));
                back = (back * 2).max(1);
            }
            points.push(log.point);
            all.push(points);
        });
        all
    }

    /// Returns whether that entry and all before it are held or sealed.
    pub fn knows(&self, writer: &Writer, point: &Point) -> bool {
        self.logs.get(writer).is_some_and(|log| log.root.find(point).is_some())
            || *point == hash_chain::origin(writer)
    }

    /// Returns the digest at the entry `number` of the branch that contains `point`.
    pub fn digest_on_branch(&self, writer: &Writer, point: &Point, number: u64) -> Option<Digest> {
        fn find_digest(branch: &Branch, point: &Point, number: u64) -> Option<Option<Digest>> {
            let own = |branch: &Branch| if branch.first <= number { branch.digest(number) } else { None };
            if branch.digest(point.0) == Some(point.1) {
                return Some(own(branch));
            }
            let found = branch.children.iter().find_map(|next| find_digest(next, point, number))?;
            Some(found.or_else(|| own(branch)))
        }
        find_digest(&self.logs.get(writer)?.root, point, number)?
    }

    /// Returns the sealed part of a log; `None` if the log is unknown.
    pub fn base(&self, writer: &Writer) -> Option<Base> {
        let log = self.logs.get(writer)?;
        Some(Base { point: log.point, retained_keys: log.retained_keys.clone() })
    }

    /// Returns the last sealed entry of a log, or its origin if none is sealed.
    pub fn sealed(&self, writer: &Writer) -> Point {
        self.logs.get(writer).map_or_else(|| hash_chain::origin(writer), |log| log.point)
    }

    /// Returns the number of guarded keys that are retained of the sealed part of a log, and the keys from
    /// index `from` on: at most `max_bytes` bytes, but at least one key if there is one.
    pub fn retained_keys(&self, writer: &Writer, from: u64, max_bytes: usize) -> (u64, Vec<RetainedKey>) {
        let Some(log) = self.logs.get(writer) else { return (0, Vec::new()) };
        let mut total_size = 0;
        let size = |r: &RetainedKey| r.class.len() + r.key.len() + r.server.len() + 40;
        let some = log.retained_keys.iter().skip(from as usize).enumerate().take_while(|(k, r)| {
            total_size += size(r);
            *k == 0 || total_size <= max_bytes
        });
        (log.retained_keys.len() as u64, some.map(|(_, r)| r.clone()).collect())
    }

    /// Removes points that are implied by others, so that the last one of each branch remains. Unknown points
    /// are removed, too.
    pub fn prune(&self, writer: &Writer, points: &mut Vec<Point>) {
        fn collect_last(branch: &Branch, points: &[Point], into: &mut Vec<Point>) -> bool {
            let after =
                branch.children.iter().fold(false, |any, branch| collect_last(branch, points, into) | any);
            let within = points.iter().filter(|p| p.0 >= branch.first && p.0 <= branch.last);
            let within = within.filter(|p| branch.digest(p.0) == Some(p.1)).max();
            if !after {
                into.extend(within);
            }
            after || within.is_some()
        }
        let Some(log) = self.logs.get(writer) else { return points.clear() };
        let mut kept = Vec::new();
        if !collect_last(&log.root, points, &mut kept) && points.contains(&log.point) {
            kept.push(log.point);
        }
        *points = kept;
    }

    /// Returns how many entries are held, and their total size in bytes.
    pub fn entries_and_bytes(&self) -> (u64, u64) {
        self.logs.values().map(|log| log.root.count()).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }

    /// Returns the entry of that number on the first branch that has one.
    pub fn entry(&self, writer: &Writer, number: u64) -> Option<Timed> {
        fn find_entry(branch: &Branch, number: u64) -> Option<&[u8]> {
            branch
                .entry(number)
                .or_else(|| branch.children.iter().find_map(|branch| find_entry(branch, number)))
        }
        hash_chain::decode(number, find_entry(&self.logs.get(writer)?.root, number)?).ok()
    }

    /// Returns the first entries that are missing at a node which holds `points` and all entries before them:
    /// at most `max_bytes` bytes, but at least one entry. Repeated calls that add the last point of each
    /// result go through all branches until the result is `None`.
    pub fn missing(&self, writer: &Writer, points: &[Point], max_bytes: usize) -> Option<Piece> {
        let mut entries = Vec::new();
        let (before, last) = self.visit_missing(writer, points, max_bytes, &mut |_, entry| {
            entries.push(entry.to_vec());
            true
        })?;
        Some(Piece { writer: writer.clone(), after: before.0, before: before.1, entries, head: last.1 })
    }

    /// Passes the entries that [`History::missing`] would return to `report`, each with its point, until
    /// `report` returns `false`. Returns the point before the first and that of the last passed entry.
    pub fn visit_missing(
        &self,
        writer: &Writer,
        points: &[Point],
        max_bytes: usize,
        report: &mut dyn FnMut(Point, &[u8]) -> bool,
    ) -> Option<(Point, Point)> {
        let (branch, after) = self.logs.get(writer)?.root.missing(points).1?;
        let before = (after, branch.digest(after)?);
        let (mut last, mut total_size) = (before, 0);
        for number in after + 1..=branch.last {
            let entry = branch.entry(number)?;
            total_size += entry.len() + 2;
            if total_size > max_bytes && last != before {
                break;
            }
            last = (number, hash_chain::next_digest(&last.1, entry));
            if !report(last, entry) {
                break;
            }
        }
        Some((before, last))
    }

    /// Inserts entries and returns how many were new. Inserting them again changes nothing.
    ///
    /// # Errors
    /// The entries don't follow the held ones, don't match their digests, or are invalid. The history is
    /// unchanged then.
    pub fn insert(&mut self, piece: &Piece) -> Result<u64, HistoryError> {
        let writer = &piece.writer;
        if piece.entries.is_empty() {
            return Ok(0);
        }
        if !piece.digests_match() {
            return Err(HistoryError::Changed { writer: writer.clone(), after: piece.after });
        }
        for (number, entry) in (piece.after + 1..).zip(&piece.entries) {
            let why = |why| HistoryError::Entry { writer: writer.clone(), number, why };
            hash_chain::decode(number, entry).map_err(why)?;
        }
        self.insert_verified(piece)
    }

    /// Inserts a piece whose digests and entries have been verified; see [`History::insert`].
    pub(crate) fn insert_verified(&mut self, piece: &Piece) -> Result<u64, HistoryError> {
        let writer = &piece.writer;
        let mut new_log = None;
        let log = match self.logs.get_mut(writer) {
            Some(log) => log,
            None => new_log.insert(Log::new(writer)),
        };
        let (mut at, mut entries) = ((piece.after, piece.before), piece.entries.as_slice());
        while at.0 < log.point.0 {
            // Sealed entries can be compared only by the digest at their end.
            let Some((entry, rest)) = entries.split_first() else { return Ok(0) };
            at = (at.0 + 1, hash_chain::next_digest(&at.1, entry));
            entries = rest;
        }
        if at.0 == log.point.0 && at.1 != log.point.1 {
            return Err(HistoryError::Sealed { writer: writer.clone(), number: at.0 });
        }
        let Some(branch) = log.root.find_mut(&at) else {
            let have = self.heads(writer).iter().map(|p| p.0).max().unwrap_or(0);
            let (writer, after) = (writer.clone(), at.0);
            return Err(if after > have {
                HistoryError::Gap { writer, have, after }
            } else {
                HistoryError::Diverged { writer, after }
            });
        };
        let new = branch.insert(at.0, entries);
        if let Some(log) = new_log {
            self.logs.insert(writer.clone(), log);
        }
        Ok(new)
    }

    /// Merges another history into this one; returns how many entries were new.
    ///
    /// If the two sealed a log up to different entries the later seal applies, because only entries that all
    /// sites confirmed are sealed.
    pub fn merge(&mut self, other: &History) -> u64 {
        let mut new = 0;
        for (writer, log) in &other.logs {
            let base = Base { point: log.point, retained_keys: log.retained_keys.clone() };
            self.adopt(writer, &base);
            let mut points = self.heads(writer);
            while let Some(piece) = other.missing(writer, &points, 1 << 16) {
                // A branch that forks from the sealed part is rejected.
                new += self.insert_verified(&piece).unwrap_or(0);
                points.retain(|p| *p != (piece.after, piece.before));
                points.push(piece.last());
            }
        }
        new
    }

    /// Adopts the seal of another node if it reaches further than the one held here. Entries up to it are
    /// dropped, and so are branches that fork before it, because the other node sealed only what all sites
    /// had confirmed.
    pub fn adopt(&mut self, writer: &Writer, base: &Base) {
        let log = self.logs.entry(writer.clone()).or_insert_with(|| Log::new(writer));
        // Of two seals with the same number and different digests the smaller digest wins, so that the result
        // doesn't depend on the order.
        let further =
            base.point.0 > log.point.0 || (base.point.0 == log.point.0 && base.point.1 < log.point.1);
        // Rejects numbers near the maximum, which no valid log reaches, so that arithmetic on them can't
        // overflow.
        if !further || base.point.0 >= u64::MAX / 2 {
            return;
        }
        let on_root = log.root.digest(base.point.0) == Some(base.point.1);
        if on_root && base.point.0 != log.point.0 {
            log.root.drop_front(base.point.0);
        } else if let Some(branch) = log.root.find(&base.point).filter(|_| base.point.0 != log.point.0) {
            let mut branch = branch.clone();
            branch.drop_front(base.point.0);
            log.root = branch;
        } else {
            log.root = Branch::starting_after(base.point);
        }
        log.point = base.point;
        log.retained_keys = by_key(&base.retained_keys).into_values().collect();
    }

    /// Drops the entries of a log up to that number and retains their digest and guarded keys.
    ///
    /// # Errors
    /// The log forks before that entry, is not held up to it, or a placement up to it has not ended by then.
    /// The history is unchanged then.
    pub fn seal(&mut self, writer: &Writer, upto: u64) -> Result<(), HistoryError> {
        let unsealable = || HistoryError::Unsealable { writer: writer.clone(), upto };
        let log = self.logs.get_mut(writer).ok_or_else(unsealable)?;
        if upto <= log.point.0 {
            return Ok(());
        }
        let digest = log.root.digest(upto).filter(|_| upto >= log.root.first).ok_or_else(unsealable)?;
        let (mut open, mut retained_keys) = (BTreeMap::new(), by_key(&log.retained_keys));
        for number in log.root.first..=upto {
            let bytes = log.root.entry(number).ok_or_else(unsealable)?;
            let timed = hash_chain::decode(number, bytes).map_err(|_| unsealable())?;
            match timed.entry {
                Entry::Placed(placement) => drop(open.insert(number, (timed.at, placement))),
                Entry::Ended { of, how } => {
                    let Some((at, p)) = open.remove(&of) else { continue };
                    let (true, Some(key)) = (p.guarded && how != End::NeverRan, p.key) else { continue };
                    let (class, server, fence) = (p.class, p.server, p.fence);
                    let kept = RetainedKey { class, key, number: of, at, server, fence, how };
                    let place = retained_keys.entry((kept.class.clone(), kept.key.clone()));
                    let old = place.or_insert_with(|| kept.clone());
                    if old.number < of {
                        *old = kept;
                    }
                }
            }
        }
        if !open.is_empty() {
            return Err(unsealable());
        }
        (log.retained_keys, log.point) = (retained_keys.into_values().collect(), (upto, digest));
        log.root.drop_front(upto);
        Ok(())
    }

    /// Returns all forks, in the order of their logs.
    pub fn forks(&self) -> Vec<Fork> {
        let mut forks = Vec::new();
        self.logs.iter().for_each(|(writer, log)| log.root.forks(writer, &mut forks));
        forks
    }

    /// Compares the last entry on a writer's disk with what is known of its log. It is called once peers have
    /// sent what they hold.
    pub fn own_log_state(&self, writer: &Writer, own: Point) -> OwnLogState {
        let heads = self.heads(writer);
        let known = heads.iter().map(|p| p.0).max().unwrap_or(0);
        match self.knows(writer, &own) {
            true if heads.len() > 1 => OwnLogState::Forked { own: own.0 },
            true if known > own.0 => OwnLogState::RolledBack { own: own.0, known },
            true => OwnLogState::Intact,
            false if known < own.0 => OwnLogState::Intact,
            false => OwnLogState::Forked { own: own.0 },
        }
    }

    /// Returns a canonical encoding: histories with the same contents have the same bytes.
    pub fn canonical_bytes(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let write_text = |out: &mut Vec<u8>, text: &str| {
            out.extend((text.len() as u32).to_be_bytes());
            out.extend(text.as_bytes());
        };
        for (writer, log) in &self.logs {
            // A log without any entry is left out, as if it were unknown.
            if log.point.0 == 0 && log.root.last == 0 && log.root.children.is_empty() {
                continue;
            }
            write_text(&mut out, &writer.site);
            write_text(&mut out, &writer.node);
            out.extend(writer.log.to_be_bytes());
            out.extend(log.point.0.to_be_bytes());
            out.extend(log.point.1 .0);
            out.extend((log.retained_keys.len() as u32).to_be_bytes());
            for r in &log.retained_keys {
                [&r.class, &r.key, &r.server].into_iter().for_each(|text| write_text(&mut out, text));
                [r.number, r.fence].into_iter().for_each(|n| out.extend(n.to_be_bytes()));
                out.extend(r.at.to_be_bytes());
                out.push(r.how as u8);
            }
            log.root.write_bytes(&mut out);
        }
        out
    }
}
