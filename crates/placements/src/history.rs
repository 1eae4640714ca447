//! What all sites have written, as far as one of them knows: of each log a verified part from its beginning on.
//!
//! The merge is a join: order, repetition and partial delivery don't matter. A log has one writer and so one line of entries. Two entries of
//! one number of one log mean that two processes wrote it: its disk was copied, or an older one was put back. Both lines are kept
//! then, as a tree that looks the same at all sites whatever came first, and the fork is named; nobody chooses between them.
//!
//! The root of each log may be sealed: its entries are dropped, what stands for them and the memory of guarded keys stay ([`crate::compaction`]).

use crate::hash_chain::{self, Digest, EntryError, Piece, Point};
use crate::{End, Entry, Micros, Timed, Writer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// So many entries share one digest that is kept; the ones between are made again when they are asked for.
const ENTRIES_PER_CHUNK: u64 = 16;

/// Why something can't be taken into a history.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum HistoryError {
    /// Entries before it are missing.
    #[error("log {writer:?}: entries from {have} to {after} are missing")]
    #[diagnostic(help("nothing to do: they are asked for again"))]
    Gap {
        /// Whose log.
        writer: Writer,
        /// The last that is held.
        have: u64,
        /// The one before the first that came.
        after: u64,
    },
    /// It follows an entry that is not the one that is held under that number.
    #[error("log {writer:?} parts from what is held at or before entry {after}")]
    #[diagnostic(help(
        "the log was written from two disks; the fork is named once the point where they part is known"
    ))]
    Diverged {
        /// Whose log.
        writer: Writer,
        /// The number of the entry that is another.
        after: u64,
    },
    /// It parts from entries that are sealed.
    #[error("log {writer:?} parts from what was sealed, at or before entry {number}")]
    #[diagnostic(help("a disk older than what all sites confirmed was put back: stop that node, found its log anew, and compare the guarded keys it served since"))]
    Sealed {
        /// Whose log.
        writer: Writer,
        /// The last entry that was sealed.
        number: u64,
    },
    /// The entries are not what the digest says.
    #[error("log {writer:?}: what came after entry {after} is not what its digest says")]
    #[diagnostic(help("it was changed on its way, or on the disk it was read from; look at that disk where it happens again"))]
    Changed {
        /// Whose log.
        writer: Writer,
        /// The number before the first of them.
        after: u64,
    },
    /// One of them is no entry.
    #[error("log {writer:?}, entry {number}: {why}")]
    #[diagnostic(help(
        "the other site runs another version of this program, or is faulty; compare their versions"
    ))]
    Entry {
        /// Whose log.
        writer: Writer,
        /// Its number.
        number: u64,
        /// Why.
        why: EntryError,
    },
    /// There can't be sealed so far.
    #[error("log {writer:?} can't be sealed up to entry {upto}")]
    #[diagnostic(help(
        "nothing to do: a log is sealed only where it has one line and no placement without an end"
    ))]
    Unsealable {
        /// Whose log.
        writer: Writer,
        /// Up to where.
        upto: u64,
    },
}

/// What stays of a placement that must not run twice, once its entries are dropped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RetainedKey {
    /// Its class.
    pub class: String,
    /// Its key.
    pub key: String,
    /// Its number in the log.
    pub number: u64,
    /// When it was placed, by the writer's clock.
    pub at: Micros,
    /// The server.
    pub server: String,
    /// The fence under which it was placed.
    pub fence: u64,
    /// How it ended. What never ran is not remembered.
    pub how: End,
}

/// Two lines of one log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fork {
    /// Whose log.
    pub writer: Writer,
    /// The number of which there are several entries.
    pub number: u64,
    /// What stands for each of them.
    pub entries: Vec<Digest>,
}

/// What a writer's own log is to what others know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnLogState {
    /// Others know a part of it, or all.
    Intact,
    /// Others know more of it: an older disk was put back. The log must be founded anew before the next entry.
    RolledBack {
        /// The last entry that the disk holds.
        own: u64,
        /// The last entry that others know.
        known: u64,
    },
    /// Others know another entry of that number: the disk was copied, or put back and written since. As above.
    Forked {
        /// The last entry that the disk holds.
        own: u64,
    },
}

/// Entries of one line, `EVERY` together at most.
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

/// A line of entries up to where it parts.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Run {
    before: Digest,
    /// The number of its first entry; its last is one less where it has none.
    first: u64,
    last: u64,
    head: Digest,
    chunks: Vec<Chunk>,
    /// None, or two at least, in the order of their first entries.
    next: Vec<Run>,
}

impl Run {
    fn after((number, before): Point) -> Run {
        let first = number + 1;
        Run { before, first, last: number, head: before, chunks: Vec::new(), next: Vec::new() }
    }

    fn slot(&self, number: u64) -> (usize, usize) {
        let (chunk, start) = ((number - 1) / ENTRIES_PER_CHUNK, (self.first - 1) / ENTRIES_PER_CHUNK);
        let begin = (chunk * ENTRIES_PER_CHUNK + 1).max(self.first);
        ((chunk - start) as usize, (number - begin) as usize)
    }

    fn entry(&self, number: u64) -> Option<&[u8]> {
        if number < self.first || number > self.last {
            return None;
        }
        let (chunk, k) = self.slot(number);
        self.chunks.get(chunk)?.entry(k)
    }

    /// What stands for that entry, or for the one before the first.
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
        let (chunk, k) = self.slot(number);
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

    /// Keep what is up to that number; what comes after it.
    fn split(&mut self, number: u64) -> Run {
        let mut tail = Run::after((number, self.digest(number).unwrap_or(self.head)));
        for k in number + 1..=self.last {
            if let Some(entry) = self.entry(k) {
                tail.push(entry);
            }
        }
        tail.next = std::mem::take(&mut self.next);
        self.head = tail.before;
        if number + 1 == self.first {
            self.chunks.clear();
        } else {
            let (chunk, k) = self.slot(number);
            self.chunks.truncate(chunk + 1);
            if let Some(chunk) = self.chunks.last_mut() {
                chunk.ends.truncate(k + 1);
                chunk.bytes.truncate(chunk.ends.last().map_or(0, |end| *end as usize));
            }
        }
        self.last = number;
        tail
    }

    /// Drop what is up to that number.
    fn drop_front(&mut self, number: u64) {
        if number.is_multiple_of(ENTRIES_PER_CHUNK) && number >= self.first {
            self.before = self.digest(number).unwrap_or(self.head);
            let gone = (number / ENTRIES_PER_CHUNK - (self.first - 1) / ENTRIES_PER_CHUNK) as usize;
            self.chunks.drain(..gone.min(self.chunks.len()));
            self.first = number + 1;
        } else if number >= self.first {
            *self = self.split(number);
        }
    }

    fn find(&self, point: &Point) -> Option<&Run> {
        if self.digest(point.0) == Some(point.1) {
            return Some(self);
        }
        self.next.iter().find_map(|run| run.find(point))
    }

    fn find_mut(&mut self, point: &Point) -> Option<&mut Run> {
        if self.digest(point.0) == Some(point.1) {
            return Some(self);
        }
        self.next.iter_mut().find_map(|run| run.find_mut(point))
    }

    /// Take entries after that number, which this run holds; how many were new.
    fn insert(&mut self, mut at: u64, entries: &[Vec<u8>]) -> u64 {
        for (k, entry) in entries.iter().enumerate() {
            if at < self.last {
                if self.entry(at + 1) == Some(entry.as_slice()) {
                    at += 1;
                    continue;
                }
                let tail = self.split(at);
                self.next.push(tail);
            } else if self.next.is_empty() {
                entries.iter().skip(k).for_each(|entry| self.push(entry));
                return (entries.len() - k) as u64;
            }
            // Here it parts.
            let first = |run: &Run| run.entry(run.first).map(<[u8]>::to_vec).unwrap_or_default();
            let rest = entries.get(k..).unwrap_or_default();
            return match self.next.binary_search_by_key(entry, first) {
                Ok(same) => self.next.get_mut(same).map_or(0, |run| run.insert(at, rest)),
                Err(place) => {
                    let mut run = Run::after((self.last, self.head));
                    rest.iter().for_each(|entry| run.push(entry));
                    self.next.insert(place, run);
                    rest.len() as u64
                }
            };
        }
        0
    }

    /// Whether one of these points is in it or after it, and the first place after which nothing is covered by them.
    fn missing(&self, points: &[Point]) -> (bool, Option<(&Run, u64)>) {
        let after: Vec<_> = self.next.iter().map(|run| run.missing(points)).collect();
        let from = if after.iter().any(|(touched, _)| *touched) {
            self.last
        } else {
            let within = points.iter().filter(|p| {
                p.0 >= self.first && p.0 <= self.last && self.digest(p.0).is_some_and(|d| d == p.1)
            });
            within.map(|p| p.0).max().unwrap_or(self.first - 1)
        };
        let lack =
            if from < self.last { Some((self, from)) } else { after.into_iter().find_map(|(_, lack)| lack) };
        (from >= self.first, lack)
    }

    fn leaves<'a>(&'a self, path: &mut Vec<&'a Run>, report: &mut dyn FnMut(&[&'a Run])) {
        path.push(self);
        if self.next.is_empty() {
            report(path);
        }
        self.next.iter().for_each(|run| run.leaves(path, report));
        path.pop();
    }

    fn forks(&self, writer: &Writer, into: &mut Vec<Fork>) {
        if !self.next.is_empty() {
            let mut entries: Vec<Digest> = self.next.iter().filter_map(|run| run.digest(run.first)).collect();
            entries.sort_unstable();
            into.push(Fork { writer: writer.clone(), number: self.last + 1, entries });
        }
        self.next.iter().for_each(|run| run.forks(writer, into));
    }

    fn bytes(&self, out: &mut Vec<u8>) {
        out.extend((self.last + 1 - self.first).to_be_bytes());
        for number in self.first..=self.last {
            let entry = self.entry(number).unwrap_or_default();
            out.extend((entry.len() as u32).to_be_bytes());
            out.extend(entry);
        }
        out.extend((self.next.len() as u32).to_be_bytes());
        self.next.iter().for_each(|run| run.bytes(out));
    }

    fn count(&self) -> (u64, u64) {
        let held = self.chunks.iter().map(|c| c.bytes.len() as u64).sum();
        self.next
            .iter()
            .map(Run::count)
            .fold((self.last + 1 - self.first, held), |a, b| (a.0 + b.0, a.1 + b.1))
    }
}

/// What is kept of a log whose beginning was sealed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The last entry that was dropped; number 0 where none was.
    pub point: Point,
    /// Guarded keys that were placed up to there and may have run, by class and key; of several placements the last.
    #[serde(rename = "remembered")]
    pub retained_keys: Vec<RetainedKey>,
}

fn by_key(retained_keys: &[RetainedKey]) -> BTreeMap<(String, String), RetainedKey> {
    retained_keys.iter().map(|r| ((r.class.clone(), r.key.clone()), r.clone())).collect()
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Log {
    point: Point,
    /// In the order of class and key.
    retained_keys: Vec<RetainedKey>,
    root: Run,
}

impl Log {
    fn new(writer: &Writer) -> Log {
        let point = hash_chain::origin(writer);
        Log { point, retained_keys: Vec::new(), root: Run::after(point) }
    }
}

/// All that is known of all logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    logs: BTreeMap<Writer, Log>,
}

impl History {
    /// One that knows nothing.
    pub fn new() -> History {
        History::default()
    }

    /// All writers that are known.
    pub fn writers(&self) -> impl Iterator<Item = &Writer> {
        self.logs.keys()
    }

    /// Of each log its last entry; of one that forked the longest line's, of several the one with the least digest.
    pub fn latest_points(&self) -> BTreeMap<Writer, Point> {
        let best =
            |writer: &Writer| self.heads(writer).into_iter().max_by_key(|p| (p.0, std::cmp::Reverse(p.1)));
        self.logs.keys().filter_map(|w| Some((w.clone(), best(w)?))).collect()
    }

    /// The last entry of each line of a log: one, unless it forked; none of a log that is not known.
    pub fn heads(&self, writer: &Writer) -> Vec<Point> {
        let mut heads = Vec::new();
        if let Some(log) = self.logs.get(writer) {
            log.root.leaves(&mut Vec::new(), &mut |path| {
                heads.extend(path.last().map(|run| (run.last, run.head)));
            });
        }
        heads
    }

    /// Points of each line of a log, from its end on at doubling distances down to what is sealed: with them two histories find where
    /// theirs part.
    pub fn locators(&self, writer: &Writer) -> Vec<Vec<Point>> {
        let mut all = Vec::new();
        let Some(log) = self.logs.get(writer) else { return all };
        log.root.leaves(&mut Vec::new(), &mut |path| {
            let last = path.last().map_or(0, |run| run.last);
            let (mut points, mut back) = (Vec::new(), 0);
            while last > log.point.0 + back {
                let number = last - back;
                let run = path.iter().find(|run| run.first <= number && number <= run.last);
                points.extend(run.and_then(|run| Some((number, run.digest(number)?))));
                back = (back * 2).max(1);
            }
            points.push(log.point);
            all.push(points);
        });
        all
    }

    /// Whether that entry and all before it are held, or were sealed.
    pub fn knows(&self, writer: &Writer, point: &Point) -> bool {
        self.logs.get(writer).is_some_and(|log| log.root.find(point).is_some())
            || *point == hash_chain::origin(writer)
    }

    /// What stands for the entry of that number on the line that holds that point.
    pub fn digest_on_branch(&self, writer: &Writer, point: &Point, number: u64) -> Option<Digest> {
        fn of(run: &Run, point: &Point, number: u64) -> Option<Option<Digest>> {
            let own = |run: &Run| if run.first <= number { run.digest(number) } else { None };
            if run.digest(point.0) == Some(point.1) {
                return Some(own(run));
            }
            let found = run.next.iter().find_map(|next| of(next, point, number))?;
            Some(found.or_else(|| own(run)))
        }
        of(&self.logs.get(writer)?.root, point, number)?
    }

    /// What was sealed of a log.
    pub fn base(&self, writer: &Writer) -> Option<Base> {
        let log = self.logs.get(writer)?;
        Some(Base { point: log.point, retained_keys: log.retained_keys.clone() })
    }

    /// The last entry that was sealed of a log, the beginning where none was.
    pub fn sealed(&self, writer: &Writer) -> Point {
        self.logs.get(writer).map_or_else(|| hash_chain::origin(writer), |log| log.point)
    }

    /// How many guarded keys of what was sealed there are, and those from that place on, of `most` bytes at most, but one at least.
    pub fn retained_keys(&self, writer: &Writer, from: u64, most: usize) -> (u64, Vec<RetainedKey>) {
        let Some(log) = self.logs.get(writer) else { return (0, Vec::new()) };
        let mut held = 0;
        let size = |r: &RetainedKey| r.class.len() + r.key.len() + r.server.len() + 40;
        let some = log.retained_keys.iter().skip(from as usize).enumerate().take_while(|(k, r)| {
            held += size(r);
            *k == 0 || held <= most
        });
        (log.retained_keys.len() as u64, some.map(|(_, r)| r.clone()).collect())
    }

    /// Drop points that follow from others: of each line the last one stays. A point that is not known here goes, too.
    pub fn prune(&self, writer: &Writer, points: &mut Vec<Point>) {
        fn last(run: &Run, points: &[Point], into: &mut Vec<Point>) -> bool {
            let after = run.next.iter().fold(false, |any, run| last(run, points, into) | any);
            let within = points.iter().filter(|p| p.0 >= run.first && p.0 <= run.last);
            let within = within.filter(|p| run.digest(p.0) == Some(p.1)).max();
            if !after {
                into.extend(within);
            }
            after || within.is_some()
        }
        let Some(log) = self.logs.get(writer) else { return points.clear() };
        let mut kept = Vec::new();
        if !last(&log.root, points, &mut kept) && points.contains(&log.point) {
            kept.push(log.point);
        }
        *points = kept;
    }

    /// How many entries are held, and how many bytes they have.
    pub fn entries_and_bytes(&self) -> (u64, u64) {
        self.logs.values().map(|log| log.root.count()).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    }

    /// The entry of that number on the first line that holds one.
    pub fn entry(&self, writer: &Writer, number: u64) -> Option<Timed> {
        fn of(run: &Run, number: u64) -> Option<&[u8]> {
            run.entry(number).or_else(|| run.next.iter().find_map(|run| of(run, number)))
        }
        hash_chain::decode(number, of(&self.logs.get(writer)?.root, number)?).ok()
    }

    /// The first entries that somebody lacks who has these points and all before them: `most` bytes at most, but one entry at least.
    /// Asked again with the last point of what it gave it goes on, through all lines, until nothing is lacking.
    pub fn missing(&self, writer: &Writer, points: &[Point], most: usize) -> Option<Piece> {
        let mut entries = Vec::new();
        let (before, last) = self.visit_missing(writer, points, most, &mut |_, entry| {
            entries.push(entry.to_vec());
            true
        })?;
        Some(Piece { writer: writer.clone(), after: before.0, before: before.1, entries, head: last.1 })
    }

    /// As [`History::lacking`], but each entry is told with its point, until whoever is told says no; the points before the first and of the last one.
    pub fn visit_missing(
        &self,
        writer: &Writer,
        points: &[Point],
        most: usize,
        report: &mut dyn FnMut(Point, &[u8]) -> bool,
    ) -> Option<(Point, Point)> {
        let (run, after) = self.logs.get(writer)?.root.missing(points).1?;
        let before = (after, run.digest(after)?);
        let (mut last, mut held) = (before, 0);
        for number in after + 1..=run.last {
            let entry = run.entry(number)?;
            held += entry.len() + 2;
            if held > most && last != before {
                break;
            }
            last = (number, hash_chain::next_digest(&last.1, entry));
            if !report(last, entry) {
                break;
            }
        }
        Some((before, last))
    }

    /// Take entries; how many were new. Taken again they change nothing.
    ///
    /// # Errors
    /// They don't follow what is held, are not what their digests say, or are no entries. Nothing was taken then.
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

    /// See [`History::take`], for what is known to be well.
    pub(crate) fn insert_verified(&mut self, piece: &Piece) -> Result<u64, HistoryError> {
        let writer = &piece.writer;
        let mut fresh = None;
        let log = match self.logs.get_mut(writer) {
            Some(log) => log,
            None => fresh.insert(Log::new(writer)),
        };
        let (mut at, mut entries) = ((piece.after, piece.before), piece.entries.as_slice());
        while at.0 < log.point.0 {
            // What is sealed can't be compared any more but at its end.
            let Some((entry, rest)) = entries.split_first() else { return Ok(0) };
            at = (at.0 + 1, hash_chain::next_digest(&at.1, entry));
            entries = rest;
        }
        if at.0 == log.point.0 && at.1 != log.point.1 {
            return Err(HistoryError::Sealed { writer: writer.clone(), number: at.0 });
        }
        let Some(run) = log.root.find_mut(&at) else {
            let have = self.heads(writer).iter().map(|p| p.0).max().unwrap_or(0);
            let (writer, after) = (writer.clone(), at.0);
            return Err(if after > have {
                HistoryError::Gap { writer, have, after }
            } else {
                HistoryError::Diverged { writer, after }
            });
        };
        let new = run.insert(at.0, entries);
        if let Some(log) = fresh {
            self.logs.insert(writer.clone(), log);
        }
        Ok(new)
    }

    /// Take what another history knows; how many entries were new.
    ///
    /// Of two that sealed differently far, the one that sealed more is gone by: only what all sites confirmed is sealed.
    pub fn merge(&mut self, other: &History) -> u64 {
        let mut new = 0;
        for (writer, log) in &other.logs {
            let base = Base { point: log.point, retained_keys: log.retained_keys.clone() };
            self.adopt(writer, &base);
            let mut points = self.heads(writer);
            while let Some(piece) = other.missing(writer, &points, 1 << 16) {
                // What parts from the sealed is not taken: see above.
                new += self.insert_verified(&piece).unwrap_or(0);
                points.retain(|p| *p != (piece.after, piece.before));
                points.push(piece.last());
            }
        }
        new
    }

    /// Go by what somebody else has sealed, where that is further. Entries up to there are dropped; a line that parts before it goes,
    /// as whoever sealed knew it from all sites.
    pub fn adopt(&mut self, writer: &Writer, base: &Base) {
        let log = self.logs.entry(writer.clone()).or_insert_with(|| Log::new(writer));
        // Two that sealed another entry of one number: no order may matter, so the lesser goes on.
        let further =
            base.point.0 > log.point.0 || (base.point.0 == log.point.0 && base.point.1 < log.point.1);
        // No log is that long.
        if !further || base.point.0 >= u64::MAX / 2 {
            return;
        }
        let on_root = log.root.digest(base.point.0) == Some(base.point.1);
        if on_root && base.point.0 != log.point.0 {
            log.root.drop_front(base.point.0);
        } else if let Some(run) = log.root.find(&base.point).filter(|_| base.point.0 != log.point.0) {
            let mut run = run.clone();
            run.drop_front(base.point.0);
            log.root = run;
        } else {
            log.root = Run::after(base.point);
        }
        log.point = base.point;
        log.retained_keys = by_key(&base.retained_keys).into_values().collect();
    }

    /// Drop the entries of a log up to that number; what stands for them and its guarded keys stay.
    ///
    /// # Errors
    /// It parts before there, is not held so far, or a placement up to there has no end up to there.
    pub fn seal(&mut self, writer: &Writer, upto: u64) -> Result<(), HistoryError> {
        let no = || HistoryError::Unsealable { writer: writer.clone(), upto };
        let log = self.logs.get_mut(writer).ok_or_else(no)?;
        if upto <= log.point.0 {
            return Ok(());
        }
        let digest = log.root.digest(upto).filter(|_| upto >= log.root.first).ok_or_else(no)?;
        let (mut open, mut retained_keys) = (BTreeMap::new(), by_key(&log.retained_keys));
        for number in log.root.first..=upto {
            let bytes = log.root.entry(number).ok_or_else(no)?;
            let timed = hash_chain::decode(number, bytes).map_err(|_| no())?;
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
            return Err(no());
        }
        (log.retained_keys, log.point) = (retained_keys.into_values().collect(), (upto, digest));
        log.root.drop_front(upto);
        Ok(())
    }

    /// All numbers of which there are two entries.
    pub fn forks(&self) -> Vec<Fork> {
        let mut forks = Vec::new();
        self.logs.iter().for_each(|(writer, log)| log.root.forks(writer, &mut forks));
        forks
    }

    /// What a writer's own disk is to what others know of its log: asked with the disk's last entry, once others were heard.
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

    /// All of it, the same at all who know the same, byte for byte.
    pub fn canonical_bytes(&self) -> Vec<u8> {
        let mut out = Vec::new();
        let name = |out: &mut Vec<u8>, text: &str| {
            out.extend((text.len() as u32).to_be_bytes());
            out.extend(text.as_bytes());
        };
        for (writer, log) in &self.logs {
            // A log of which nothing is known is as one that was not heard of.
            if log.point.0 == 0 && log.root.last == 0 && log.root.next.is_empty() {
                continue;
            }
            name(&mut out, &writer.site);
            name(&mut out, &writer.node);
            out.extend(writer.log.to_be_bytes());
            out.extend(log.point.0.to_be_bytes());
            out.extend(log.point.1 .0);
            out.extend((log.retained_keys.len() as u32).to_be_bytes());
            for r in &log.retained_keys {
                [&r.class, &r.key, &r.server].into_iter().for_each(|text| name(&mut out, text));
                [r.number, r.fence].into_iter().for_each(|n| out.extend(n.to_be_bytes()));
                out.extend(r.at.to_be_bytes());
                out.push(r.how as u8);
            }
            log.root.bytes(&mut out);
        }
        out
    }
}
