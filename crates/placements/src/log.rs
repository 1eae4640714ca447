//! One node's own log on its disk, over the store, and its copies of others' logs.
//!
//! What must not run twice is on the disk before it may be sent; the rest goes with it, or when [`Log::flush`] is called. Numbers and
//! chain are given at once, in the order of asking; only what is on the disk is ever shown ([`Log::read`], [`Log::pour`]), so that a crash
//! never takes back what another site has heard. After a write that failed nothing more is taken until the log is opened again.

use crate::hash_chain::{self, Digest, EntryError, Piece, Point};
use crate::history::{Base, History, HistoryError};
use crate::{Entry, Placement, Timed, Writer};
use serde::{Deserialize, Serialize};
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Op, Store, StoreError};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The name of the fact that holds the log's identity.
const IDENTITY: &str = "placements";
/// The journal of others' logs.
const COPIES: &str = "placements copies";
/// So much is read at once, in bytes.
const READ_BYTES: usize = 1 << 20;
/// So many entries that need not be on the disk wait at most; then they go, asked for or not.
pub const MAX_PENDING_ENTRIES: usize = 256;
/// So many of the last entries are kept in memory at most until they are poured into a history.
const MAX_RECENT_ENTRIES: usize = 4_096;

/// Why a log can't be used or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum LogError {
    /// The disk is full.
    #[error("placements can't be recorded: the disk is full")]
    #[diagnostic(help("make room on the disk of the node's state and start the node again; until then guarded work and closing accounts are refused, the rest is served unrecorded"))]
    Full,
    /// The store failed, now or at an earlier write.
    #[error("placements can't be recorded: {0}")]
    #[diagnostic(help(
        "look at the disk of the node's state; the log has to be opened again before guarded work is taken"
    ))]
    Store(String),
    /// Another process has the store.
    #[error("another process has the log")]
    #[diagnostic(help("two nodes were started on one state folder: stop one of them"))]
    Locked,
    /// An entry is missing.
    #[error("entry {number} of log {log} is missing")]
    #[diagnostic(help("the disk lost what it had written: keep a copy for inquiry, then remove the state folder; the node founds another log, and what others hold of this one stays"))]
    Missing {
        /// Which log.
        log: u64,
        /// Its number.
        number: u64,
    },
    /// An entry is not the one that was written.
    #[error("entry {number} of log {log} was changed")]
    #[diagnostic(help("something else than this program wrote on the disk, or it is failing: keep a copy for inquiry, then remove the state folder; the node founds another log"))]
    Changed {
        /// Which log.
        log: u64,
        /// Its number.
        number: u64,
    },
    /// The disk is another node's.
    #[error("the log is of node {node} of site {site}")]
    #[diagnostic(help(
        "give each node a state folder of its own; to reuse a folder under a new name, empty it"
    ))]
    WrongNode {
        /// Its site.
        site: String,
        /// Its node.
        node: String,
    },
    /// It is no entry.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] EntryError),
    /// What is to be ended is not open.
    #[error("entry {0} is no placement whose end is unknown")]
    #[diagnostic(help("the program ended a placement twice; report it"))]
    NotOpen(u64),
    /// A copy on the disk does not fit.
    #[error("a copy of another log on the disk does not fit: {0}")]
    #[diagnostic(help("remove the state folder of this node; other sites send what they hold"))]
    InvalidCopy(HistoryError),
}

impl From<&StoreError> for LogError {
    fn from(e: &StoreError) -> LogError {
        match e {
            StoreError::Full => LogError::Full,
            StoreError::Locked => LogError::Locked,
            e => LogError::Store(e.to_string()),
        }
    }
}

impl From<StoreError> for LogError {
    fn from(e: StoreError) -> LogError {
        LogError::from(&e)
    }
}

/// What is kept beside the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    writer: Writer,
    /// The last entry that was dropped.
    base: Point,
    /// Earlier logs on this disk, with the last entry that was dropped of each.
    retired: Vec<(Writer, Point)>,
}

fn journal(writer: &Writer) -> String {
    format!("placements {:016x}", writer.log)
}

/// The fact that tells the last number, so that entries missing at the end are found, too.
fn end_of(writer: &Writer) -> String {
    format!("placements {:016x} end", writer.log)
}

fn remember(name: &str, what: &impl Serialize) -> Result<Op, LogError> {
    let text = serde_json::to_vec(what).map_err(|e| LogError::Store(e.to_string()))?;
    Ok(Op::Remember(name.to_string(), text))
}

#[derive(Debug)]
struct State {
    identity: Identity,
    /// The last entry that was given a number.
    head: Point,
    /// The last one that is on the disk.
    durable: Point,
    open: BTreeMap<u64, Placement>,
    waiting: Vec<Op>,
    /// The last entries with their digests, for [`Log::pour`]; the number and digest before them.
    fresh: (Point, VecDeque<(Vec<u8>, Digest)>),
    failed: Option<LogError>,
    unrecorded: u64,
    /// Counted up each time it goes on after a failure.
    again: u64,
}

/// A node's own log.
#[derive(Debug)]
pub struct Log {
    store: Arc<Store>,
    group_commit: Arc<GroupCommit>,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Read a log whole, in order; its last point.
fn verified(
    store: &Store,
    writer: &Writer,
    base: Point,
    mut report: impl FnMut(u64, Timed),
) -> Result<Point, LogError> {
    let (name, log, mut at) = (journal(writer), writer.log, base);
    loop {
        let records = store.journal(&name, at.0 + 1, READ_BYTES)?;
        if records.is_empty() {
            break;
        }
        for (number, record) in records {
            if number != at.0 + 1 {
                return Err(LogError::Missing { log, number: at.0 + 1 });
            }
            let changed = LogError::Changed { log, number };
            let (digest, entry) = record.split_first_chunk::<32>().ok_or(changed.clone())?;
            at = (number, hash_chain::next_digest(&at.1, entry));
            if at.1 .0 != *digest {
                return Err(changed);
            }
            report(number, hash_chain::decode(number, entry).map_err(|_| changed)?);
        }
    }
    let end: u64 = store.fact(&end_of(writer))?.unwrap_or(0);
    if end > at.0 {
        return Err(LogError::Missing { log, number: at.0 + 1 });
    }
    Ok(at)
}

fn pieces(
    store: &Store,
    writer: &Writer,
    (after, before): Point,
    upto: u64,
    most: usize,
) -> Result<Piece, LogError> {
    let mut piece = Piece { writer: writer.clone(), after, before, entries: Vec::new(), head: before };
    for (number, record) in store.journal(&journal(writer), after + 1, most)? {
        if number > upto {
            break;
        }
        if number != after + 1 + piece.entries.len() as u64 {
            return Err(LogError::Missing {
                log: writer.log,
                number: after + 1 + piece.entries.len() as u64,
            });
        }
        let changed = LogError::Changed { log: writer.log, number };
        let (digest, entry) = record.split_first_chunk::<32>().ok_or(changed)?;
        piece.head = Digest(*digest);
        piece.entries.push(entry.to_vec());
    }
    Ok(piece)
}

impl Log {
    /// The log of that node on that store, verified whole; founded with the number `drawn` where there is none.
    ///
    /// # Errors
    /// It is another node's, an entry is missing or was changed, or the disk fails.
    pub fn open(
        store: Arc<Store>,
        group_commit: Arc<GroupCommit>,
        site: &str,
        node: &str,
        drawn: u64,
    ) -> Result<Log, LogError> {
        let identity = match store.fact::<Identity>(IDENTITY)? {
            Some(identity) => identity,
            None => {
                let writer = Writer { site: site.into(), node: node.into(), log: drawn };
                let base = hash_chain::origin(&writer);
                let identity = Identity { writer, base, retired: Vec::new() };
                // On a full disk it is founded with what comes first once there is room.
                if store.takes() {
                    store.commit(&[remember(IDENTITY, &identity)?])?;
                }
                identity
            }
        };
        let Writer { site: has_site, node: has_node, .. } = &identity.writer;
        if has_site != site || has_node != node {
            return Err(LogError::WrongNode { site: has_site.clone(), node: has_node.clone() });
        }
        let mut open = BTreeMap::new();
        let head = verified(&store, &identity.writer, identity.base, |number, timed| match timed.entry {
            Entry::Placed(placement) => drop(open.insert(number, placement)),
            Entry::Ended { of, .. } => drop(open.remove(&of)),
        })?;
        let failed = (!store.takes()).then_some(LogError::Full);
        let (waiting, fresh) = (Vec::new(), (head, VecDeque::new()));
        let state =
            State { identity, head, durable: head, open, waiting, fresh, failed, unrecorded: 0, again: 0 };
        Ok(Log { store, group_commit, state: Arc::new(Mutex::new(state)) })
    }

    /// Who writes it.
    pub fn writer(&self) -> Writer {
        lock(&self.state).identity.writer.clone()
    }

    /// The last entry that is on the disk; only what is there is shown to others.
    pub fn durable(&self) -> Point {
        lock(&self.state).durable
    }

    /// Placements whose end is not written, by number. After a crash: whatever was on its way then.
    pub fn open_placements(&self) -> BTreeMap<u64, Placement> {
        lock(&self.state).open.clone()
    }

    /// How many entries went unrecorded since it was opened.
    pub fn unrecorded(&self) -> u64 {
        lock(&self.state).unrecorded
    }

    /// Why nothing can be recorded any more, where it can't. Guarded work is to be denied then.
    pub fn failed(&self) -> Option<LogError> {
        lock(&self.state).failed.clone()
    }

    /// Give an entry its number and its place in the chain.
    fn number(state: &mut State, timed: &Timed) -> Result<u64, LogError> {
        if let Some(why) = &state.failed {
            return Err(why.clone());
        }
        let bytes = hash_chain::encode(timed)?;
        let number = state.head.0 + 1;
        match &timed.entry {
            Entry::Placed(placement) => drop(state.open.insert(number, placement.clone())),
            Entry::Ended { of, .. } => drop(state.open.remove(of).ok_or(LogError::NotOpen(*of))?),
        }
        state.head = (number, hash_chain::next_digest(&state.head.1, &bytes));
        let record = [&state.head.1 .0, bytes.as_slice()].concat();
        state.waiting.push(Op::Append(journal(&state.identity.writer), number, record));
        let digest = state.head.1;
        let (before, fresh) = &mut state.fresh;
        fresh.push_back((bytes, digest));
        if fresh.len() > MAX_RECENT_ENTRIES {
            if let Some((_, digest)) = fresh.pop_front() {
                *before = (before.0 + 1, digest);
            }
        }
        Ok(number)
    }

    /// Have all that waits on the disk. The lock is held while it is handed over, so that groups go in the order of their numbers.
    fn hand(
        &self,
        state: &mut State,
        besides: Vec<Op>,
        done: impl FnOnce(Result<(), LogError>) + Send + 'static,
    ) {
        let mut ops = std::mem::take(&mut state.waiting);
        let (upto, count) = (state.head, ops.len() as u64);
        if count > 0 {
            ops.push(Op::Remember(end_of(&state.identity.writer), upto.0.to_string().into_bytes()));
        }
        ops.extend(besides);
        let (shared, log, again) = (self.state.clone(), state.identity.writer.log, state.again);
        self.group_commit.commit(ops, move |result| {
            let result = {
                let mut state = lock(&shared);
                match &result {
                    Ok(()) => {
                        if state.identity.writer.log == log {
                            state.durable = state.durable.max(upto);
                        }
                        Ok(())
                    }
                    Err(e) if state.again > again => {
                        state.unrecorded += count;
                        Err(LogError::from(e.as_ref()))
                    }
                    Err(e) => {
                        state.unrecorded += count + state.waiting.len() as u64;
                        state.waiting.clear();
                        // What came after a full disk failed for that.
                        Err(state.failed.get_or_insert_with(|| LogError::from(e.as_ref())).clone())
                    }
                }
            };
            done(result);
        });
    }

    /// Append an entry that has to be on the disk: a guarded placement, before its first byte is sent. Its number; `done` is told
    /// from the keeper's thread once it is on the disk, or why it is not: then it must not be sent.
    ///
    /// # Errors
    /// It can't be recorded; `done` is not told.
    pub fn append(
        &self,
        timed: &Timed,
        done: impl FnOnce(Result<u64, LogError>) + Send + 'static,
    ) -> Result<u64, LogError> {
        let mut state = lock(&self.state);
        let number = Log::number(&mut state, timed)?;
        self.hand(&mut state, Vec::new(), move |result| done(result.map(|()| number)));
        Ok(number)
    }

    /// Append an entry that may wait for the next one that may not, or for [`Log::flush`]. Its number.
    ///
    /// # Errors
    /// It can't be recorded: whoever asked goes on without, and it is counted.
    pub fn append_deferred(&self, timed: &Timed) -> Result<u64, LogError> {
        let mut state = lock(&self.state);
        let number = Log::number(&mut state, timed).inspect_err(|_| state.unrecorded += 1)?;
        if state.waiting.len() >= MAX_PENDING_ENTRIES {
            self.hand(&mut state, Vec::new(), |_| ());
        }
        Ok(number)
    }

    /// Have all that waits on the disk; `done` is told once it is there.
    pub fn flush(&self, done: impl FnOnce(Result<(), LogError>) + Send + 'static) {
        self.hand(&mut lock(&self.state), Vec::new(), done);
    }

    /// As [`Log::flush`], with the copies that were gathered, in one commit.
    pub fn flush_with(&self, copies: &Copies, done: impl FnOnce(Result<(), LogError>) + Send + 'static) {
        self.hand(&mut lock(&self.state), copies.gathered(), done);
    }

    /// Entries after that point that are on the disk, of `most` bytes at most, but one at least where there is one.
    ///
    /// # Errors
    /// An entry is missing or was changed, or the disk fails.
    pub fn read(&self, after: Point, most: usize) -> Result<Piece, LogError> {
        let (writer, durable) = {
            let state = lock(&self.state);
            (state.identity.writer.clone(), state.durable)
        };
        pieces(&self.store, &writer, after, durable.0, most)
    }

    /// Add to a history what it lacks of this log and of earlier ones on this disk; how many entries were new. Called before words are
    /// exchanged, and after [`Copies::restore`].
    ///
    /// # Errors
    /// As [`Log::read`]; or the history holds another entry of one number ([`LogError::InvalidCopy`]; see [`History::judge`]).
    pub fn load_into(&self, history: &mut History) -> Result<u64, LogError> {
        let (identity, durable) = {
            let state = lock(&self.state);
            (state.identity.clone(), state.durable)
        };
        // Most often what is new is still in memory, and was made here.
        if let Some(piece) = self.fresh(history) {
            return history.insert_verified(&piece).map_err(LogError::InvalidCopy);
        }
        let retired = identity.retired.iter().map(|(writer, base)| (writer, *base, u64::MAX));
        let mut new = 0;
        for (writer, base, upto) in retired.chain([(&identity.writer, identity.base, durable.0)]) {
            // From the last that is known of this line on, or from where the disk begins.
            let known = history.heads(writer).into_iter().filter(|p| p.0 >= base.0 && p.0 <= upto);
            let mut at = known.max_by_key(|p| p.0).unwrap_or(base);
            if at != base && upto == durable.0 && at.0 == durable.0 && at != durable {
                at = base;
            }
            loop {
                let piece = pieces(&self.store, writer, at, upto, READ_BYTES)?;
                if piece.entries.is_empty() {
                    break;
                }
                // Where the history's line is another one than the disk's, the digests don't follow: begin where the disk does.
                if !piece.digests_match() {
                    if at == base {
                        return Err(LogError::Changed { log: writer.log, number: at.0 + 1 });
                    }
                    at = base;
                    continue;
                }
                new += history.insert(&piece).map_err(LogError::InvalidCopy)?;
                at = piece.last();
            }
        }
        Ok(new)
    }

    /// Go on after the store was opened again: from what the disk has. What was given a number and is not there never was, and placements
    /// there that nobody knows of any more are open ([`Log::open_placements`]). What has to be committed before anything else of this log.
    ///
    /// # Errors
    /// As [`Log::open`]; nothing has changed then.
    pub fn recover(&self) -> Result<Vec<Op>, LogError> {
        let mut state = lock(&self.state);
        let (identity, ops) = match self.store.fact::<Identity>(IDENTITY)? {
            Some(identity) => (identity, Vec::new()),
            None => (state.identity.clone(), vec![remember(IDENTITY, &state.identity)?]),
        };
        let (own, found) = (&state.identity.writer, &identity.writer);
        if (&own.site, &own.node) != (&found.site, &found.node) {
            return Err(LogError::WrongNode { site: found.site.clone(), node: found.node.clone() });
        }
        let mut open = BTreeMap::new();
        let head =
            verified(&self.store, &identity.writer, identity.base, |number, timed| match timed.entry {
                Entry::Placed(placement) => drop(open.insert(number, placement)),
                Entry::Ended { of, .. } => drop(open.remove(&of)),
            })?;
        state.unrecorded += state.waiting.len() as u64;
        state.waiting.clear();
        (state.identity, state.head, state.durable, state.open) = (identity, head, head, open);
        state.fresh = (head, VecDeque::new());
        state.failed = None;
        state.again += 1;
        Ok(ops)
    }

    /// What is on the disk and follows the history's one line of this log, where that is still in memory.
    fn fresh(&self, history: &History) -> Option<Piece> {
        let mut state = lock(&self.state);
        let writer = state.identity.writer.clone();
        let [(after, before)] = *history.heads(&writer) else { return None };
        let (durable, (first, fresh)) = (state.durable, &mut state.fresh);
        while first.0 < after {
            let (_, digest) = fresh.pop_front()?;
            *first = (first.0 + 1, digest);
        }
        if *first != (after, before) || durable.0 <= after {
            return None;
        }
        let entries =
            fresh.iter().take((durable.0 - after) as usize).map(|(bytes, _)| bytes.clone()).collect();
        Some(Piece { writer, after, before, entries, head: durable.1 })
    }

    /// Drop entries up to that one, which has to be on the disk and without an open placement before it; see [`crate::compaction`].
    ///
    /// # Errors
    /// There is an open placement, or the disk fails.
    pub fn seal(&self, upto: Point) -> Result<(), LogError> {
        let mut state = lock(&self.state);
        if let Some(why) = &state.failed {
            return Err(why.clone());
        }
        if upto.0 > state.durable.0 || upto.0 <= state.identity.base.0 {
            return Ok(());
        }
        if let Some((number, _)) = state.open.range(..=upto.0).next() {
            return Err(LogError::NotOpen(*number));
        }
        let identity = Identity { base: upto, ..state.identity.clone() };
        let ops = [remember(IDENTITY, &identity)?, Op::Drop(journal(&identity.writer), upto.0 + 1)];
        self.store.commit(&ops)?;
        state.identity = identity;
        Ok(())
    }

    /// Found another log on this disk, with the number `drawn`: where others know this one further than the disk does, or otherwise
    /// ([`History::judge`]). The earlier one stays readable ([`Log::pour`]); the open placements of it that are given back have
    /// nobody any more to write their ends, so guarded ones of them may have run. Where this log has that number nothing changes: one that was
    /// founded in this life is nobody else's.
    ///
    /// # Errors
    /// The disk fails.
    pub fn start_new_log(&self, drawn: u64) -> Result<BTreeMap<u64, Placement>, LogError> {
        let mut state = lock(&self.state);
        if let Some(why) = &state.failed {
            return Err(why.clone());
        }
        if state.identity.writer.log == drawn {
            return Ok(BTreeMap::new());
        }
        let writer = Writer { log: drawn, ..state.identity.writer.clone() };
        let base = hash_chain::origin(&writer);
        let mut retired = state.identity.retired.clone();
        retired.push((state.identity.writer.clone(), state.identity.base));
        let identity = Identity { writer, base, retired };
        // What waits goes to the old log, with the change or not at all.
        let mut ops = std::mem::take(&mut state.waiting);
        ops.push(remember(&end_of(&state.identity.writer), &state.head.0)?);
        ops.push(remember(IDENTITY, &identity)?);
        // What waited is not written then, and its numbers are given.
        self.store.commit(&ops).map_err(|e| state.failed.insert(e.into()).clone())?;
        (state.identity, state.head, state.durable) = (identity, base, base);
        state.fresh = (base, VecDeque::new());
        Ok(std::mem::take(&mut state.open))
    }
}

/// What the disk holds of others' logs: pieces in the order in which they came.
#[derive(Debug)]
pub struct Copies {
    group_commit: Arc<GroupCommit>,
    /// The next number, and what was gathered.
    next: Mutex<(u64, Vec<Op>)>,
    /// What follows this node's own log, until that is poured.
    early: Mutex<Vec<Piece>>,
}

#[derive(Serialize, Deserialize)]
enum Kept {
    Piece(Piece),
    Base(Writer, Base),
}

impl Copies {
    /// Read all of them into a history, verified; what to write further ones with.
    ///
    /// # Errors
    /// A copy is damaged, or the disk fails.
    pub fn restore(
        store: &Store,
        group_commit: Arc<GroupCommit>,
        history: &mut History,
    ) -> Result<Copies, LogError> {
        let (mut next, mut early) = (0, Vec::new());
        loop {
            let records = store.journal(COPIES, next, READ_BYTES)?;
            let Some((last, _)) = records.last() else { break };
            next = last + 1;
            for (number, record) in &records {
                let unreadable = LogError::Store(format!("copy {number} can't be read"));
                match postcard::from_bytes(record).map_err(|_| unreadable)? {
                    Kept::Piece(piece) => match history.insert(&piece) {
                        Ok(_) => {}
                        // What others knew of this node's own log beyond an older disk follows what is poured later.
                        Err(HistoryError::Gap { .. } | HistoryError::Diverged { .. }) => early.push(piece),
                        Err(e) => return Err(LogError::InvalidCopy(e)),
                    },
                    Kept::Base(writer, base) => history.adopt(&writer, &base),
                }
            }
        }
        Ok(Copies { group_commit, next: Mutex::new((next, Vec::new())), early: Mutex::new(early) })
    }

    /// Called once the own log was poured into that history: take the copies that follow it, as after an older disk was put back.
    ///
    /// # Errors
    /// One does not fit even now.
    pub fn insert_deferred(&self, history: &mut History) -> Result<(), LogError> {
        let early = std::mem::take(&mut *self.early.lock().unwrap_or_else(PoisonError::into_inner));
        early.iter().try_for_each(|piece| history.insert(piece).map(drop).map_err(LogError::InvalidCopy))
    }

    /// Number them after what was gathered.
    fn gather(&self, kept: &[Kept]) -> MutexGuard<'_, (u64, Vec<Op>)> {
        let mut held = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let (next, ops) = &mut *held;
        for kept in kept {
            if let Ok(record) = postcard::to_stdvec(kept) {
                ops.push(Op::Append(COPIES.into(), *next, record));
                *next += 1;
            }
        }
        held
    }

    fn gathered(&self) -> Vec<Op> {
        std::mem::take(&mut self.gather(&[]).1)
    }

    fn commit(
        &self,
        mut held: MutexGuard<'_, (u64, Vec<Op>)>,
        done: impl FnOnce(Result<(), LogError>) + Send + 'static,
    ) {
        let ops = std::mem::take(&mut held.1);
        self.group_commit.commit(ops, move |result| done(result.map_err(|e| LogError::from(e.as_ref()))));
    }

    /// Keep a piece that was taken into the history with the next [`Log::flush_with`], or with what is kept at once. What is lost
    /// with a process before that is asked for again: its next life says what it has anew.
    pub fn append_piece_deferred(&self, piece: &Piece) {
        drop(self.gather(&[Kept::Piece(piece.clone())]));
    }

    /// Keep a piece that was taken into the history; `done` is told once it is on the disk. Only then may others be told that it is here.
    pub fn append_piece(&self, piece: &Piece, done: impl FnOnce(Result<(), LogError>) + Send + 'static) {
        self.commit(self.gather(&[Kept::Piece(piece.clone())]), done);
    }

    /// Keep that a history goes by what somebody sealed.
    pub fn append_base(
        &self,
        writer: &Writer,
        base: &Base,
        done: impl FnOnce(Result<(), LogError>) + Send + 'static,
    ) {
        self.commit(self.gather(&[Kept::Base(writer.clone(), base.clone())]), done);
    }

    /// Write what the history holds of all logs anew and drop what was written before, in one commit: after sealing, so that the disk holds
    /// no more than the history.
    pub fn rewrite(&self, history: &History, done: impl FnOnce(Result<(), LogError>) + Send + 'static) {
        self.commit(self.all(history), done);
    }

    /// What does that, to be committed before any further piece: after pieces that the disk did not take.
    pub fn rewrite_ops(&self, history: &History) -> Vec<Op> {
        std::mem::take(&mut self.all(history).1)
    }

    fn all(&self, history: &History) -> MutexGuard<'_, (u64, Vec<Op>)> {
        let mut all = Vec::new();
        for writer in history.writers() {
            all.extend(history.base(writer).filter(|b| b.point.0 > 0).map(|b| Kept::Base(writer.clone(), b)));
            let mut points = vec![history.sealed(writer)];
            while let Some(piece) = history.missing(writer, &points, 1 << 16) {
                points.retain(|p| *p != (piece.after, piece.before));
                points.push(piece.last());
                all.push(Kept::Piece(piece));
            }
        }
        // What was gathered is in the history.
        self.gathered();
        let mut held = self.gather(&all);
        let first = held.0 - held.1.len() as u64;
        held.1.push(Op::Drop(COPIES.into(), first));
        held
    }
}
