//! A node's own log on its disk, and its copies of other nodes' logs.
//!
//! A job that must not run twice is on the disk before it may be sent; other entries are written with the
//! next such job, or by [`Log::flush`]. Numbers and digests are assigned at once, in the order of the calls.
//! Only entries on the disk are read by others ([`Log::read`], [`Log::load_into`]), so that a crash never
//! revokes what another site has received. After a failed write the log accepts nothing until it is opened
//! again or recovered.

use crate::hash_chain::{self, Digest, EntryError, Piece, Point};
use crate::history::{Base, History, HistoryError};
use crate::{Entry, Placement, Timed, Writer};
use serde::{Deserialize, Serialize};
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Op, Store, StoreError};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Name of the store's fact that holds the log's identity.
const IDENTITY: &str = "placements";
/// Name of the store's journal with copies of other logs.
const COPIES: &str = "placements copies";
/// Maximum number of bytes that are read from the store at once.
const READ_BYTES: usize = 1 << 20;
/// Maximum number of pending entries that need not be on the disk; when it is reached they are written
/// without a flush.
pub const MAX_PENDING_ENTRIES: usize = 256;
/// Maximum number of recent entries that are kept in memory until they are loaded into a history.
const MAX_RECENT_ENTRIES: usize = 4_096;

/// Why a log can't be opened, read or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum LogError {
    /// The disk is full.
    #[error("placements can't be recorded: the disk is full")]
    #[diagnostic(help("free space on the disk of the state folder and restart the node; until then guarded jobs and the closing of accounts are refused, other jobs are served without a record"))]
    Full,
    /// The store failed, now or at an earlier write; holds its error.
    #[error("placements can't be recorded: {0}")]
    #[diagnostic(help(
        "check the disk of the state folder; guarded jobs are refused until the log can be opened again"
    ))]
    Store(String),
    /// Another process has opened the store.
    #[error("another process has opened the log")]
    #[diagnostic(help("two nodes use the same state folder; stop one of them"))]
    Locked,
    /// An entry is missing on the disk.
    #[error("entry {number} of log {log} is missing")]
    #[diagnostic(help("the disk lost entries that it had confirmed: keep a copy of the state folder for analysis, then remove the folder; the node starts a new log, and peers keep their copies of this one"))]
    Missing {
        /// Random number of the log.
        log: u64,
        /// Number of the missing entry.
        number: u64,
    },
    /// An entry on the disk doesn't match its digest.
    #[error("entry {number} of log {log} does not match its digest")]
    #[diagnostic(help("another program wrote to the disk, or the disk is failing: keep a copy of the state folder for analysis, then remove the folder; the node starts a new log"))]
    Changed {
        /// Random number of the log.
        log: u64,
        /// Number of the corrupted entry.
        number: u64,
    },
    /// The store belongs to another node.
    #[error("the log belongs to node {node} of site {site}")]
    #[diagnostic(help(
        "give each node a state folder of its own; to reuse a folder under a new name, empty it"
    ))]
    WrongNode {
        /// Site of the node to which the store belongs.
        site: String,
        /// Name of the node to which the store belongs.
        node: String,
    },
    /// The entry is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] EntryError),
    /// The placement to end is not open; holds its entry number.
    #[error("entry {0} is not an open placement")]
    #[diagnostic(help("the program ended a placement twice; report this defect"))]
    NotOpen(u64),
    /// A stored copy of another log doesn't fit the history.
    #[error("a stored copy of another node's log does not fit: {0}")]
    #[diagnostic(help("remove the state folder of this node; other sites send their copies again"))]
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

/// What identifies the log, stored as a fact beside the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Identity {
    writer: Writer,
    /// Last entry that was dropped.
    base: Point,
    /// Earlier logs on this disk, each with the last entry that was dropped of it.
    retired: Vec<(Writer, Point)>,
}

fn journal_name(writer: &Writer) -> String {
    format!("placements {:016x}", writer.log)
}

/// Returns the name of the fact that holds the last entry's number, so that entries missing at the end are
/// detected.
fn last_number_fact(writer: &Writer) -> String {
    format!("placements {:016x} end", writer.log)
}

fn fact_op(name: &str, what: &impl Serialize) -> Result<Op, LogError> {
    let text = serde_json::to_vec(what).map_err(|e| LogError::Store(e.to_string()))?;
    Ok(Op::SetFact(name.to_string(), text))
}

#[derive(Debug)]
struct State {
    identity: Identity,
    /// Last entry that was assigned a number.
    head: Point,
    /// Last entry that is on the disk.
    durable: Point,
    open: BTreeMap<u64, Placement>,
    pending: Vec<Op>,
    /// Recent entries with their digests, which [`Log::load_into`] reads, and the point before them.
    recent: (Point, VecDeque<(Vec<u8>, Digest)>),
    failed: Option<LogError>,
    unrecorded: u64,
    /// Incremented by each recovery from a failure, so that writes from before it are recognized.
    generation: u64,
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

/// Reads a log to its end, checks the digests, and passes each entry to `report`; returns the last point.
fn read_verified(
    store: &Store,
    writer: &Writer,
    base: Point,
    mut report: impl FnMut(u64, Timed),
) -> Result<Point, LogError> {
    let (name, log, mut at) = (journal_name(writer), writer.log, base);
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
    let end: u64 = store.fact(&last_number_fact(writer))?.unwrap_or(0);
    if end > at.0 {
        return Err(LogError::Missing { log, number: at.0 + 1 });
    }
    Ok(at)
}

fn read_piece(
    store: &Store,
    writer: &Writer,
    (after, before): Point,
    upto: u64,
    max_bytes: usize,
) -> Result<Piece, LogError> {
    let mut piece = Piece { writer: writer.clone(), after, before, entries: Vec::new(), head: before };
    for (number, record) in store.journal(&journal_name(writer), after + 1, max_bytes)? {
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
    /// Opens the log of that node in the store and verifies all entries. If the store has no log, one with
    /// the number `drawn` is started.
    ///
    /// # Errors
    /// The log belongs to another node, an entry is missing or corrupted, or the store fails.
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
                // On a full disk the identity is written with the first commit that succeeds.
                if store.accepts_commits() {
                    store.commit(&[fact_op(IDENTITY, &identity)?])?;
                }
                identity
            }
        };
        let Writer { site: has_site, node: has_node, .. } = &identity.writer;
        if has_site != site || has_node != node {
            return Err(LogError::WrongNode { site: has_site.clone(), node: has_node.clone() });
        }
        let mut open = BTreeMap::new();
        let head =
            read_verified(&store, &identity.writer, identity.base, |number, timed| match timed.entry {
                Entry::Placed(placement) => drop(open.insert(number, placement)),
                Entry::Ended { of, .. } => drop(open.remove(&of)),
            })?;
        let failed = (!store.accepts_commits()).then_some(LogError::Full);
        let (pending, recent) = (Vec::new(), (head, VecDeque::new()));
        let state = State {
            identity,
            head,
            durable: head,
            open,
            pending,
            recent,
            failed,
            unrecorded: 0,
            generation: 0,
        };
        Ok(Log { store, group_commit, state: Arc::new(Mutex::new(state)) })
    }

    /// Returns the identity of the log.
    pub fn writer(&self) -> Writer {
        lock(&self.state).identity.writer.clone()
    }

    /// Returns the last entry that is on the disk. Peers are sent only entries up to this one.
    pub fn durable(&self) -> Point {
        lock(&self.state).durable
    }

    /// Returns the placements whose end is not recorded, by entry number. After a crash these are the jobs
    /// that were running then.
    pub fn open_placements(&self) -> BTreeMap<u64, Placement> {
        lock(&self.state).open.clone()
    }

    /// Returns how many entries could not be recorded since the log was opened.
    pub fn unrecorded(&self) -> u64 {
        lock(&self.state).unrecorded
    }

    /// Returns why nothing can be recorded any more; `None` if the log works. Guarded jobs must be refused
    /// while it is failed.
    pub fn failed(&self) -> Option<LogError> {
        lock(&self.state).failed.clone()
    }

    /// Assigns an entry its number and digest and adds it to the pending writes.
    fn assign_number(state: &mut State, timed: &Timed) -> Result<u64, LogError> {
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
        state.pending.push(Op::Append(journal_name(&state.identity.writer), number, record));
        let digest = state.head.1;
        let (before, recent) = &mut state.recent;
        recent.push_back((bytes, digest));
        if recent.len() > MAX_RECENT_ENTRIES {
            if let Some((_, digest)) = recent.pop_front() {
                *before = (before.0 + 1, digest);
            }
        }
        Ok(number)
    }

    /// Hands all pending writes and `extra` to the group commit. The caller holds the lock, so that groups
    /// are committed in the order of their numbers.
    fn submit(
        &self,
        state: &mut State,
        extra: Vec<Op>,
        done: impl FnOnce(Result<(), LogError>) + Send + 'static,
    ) {
        let mut ops = std::mem::take(&mut state.pending);
        let (upto, count) = (state.head, ops.len() as u64);
        if count > 0 {
            ops.push(Op::SetFact(last_number_fact(&state.identity.writer), upto.0.to_string().into_bytes()));
        }
        ops.extend(extra);
        let (shared, log, generation) = (self.state.clone(), state.identity.writer.log, state.generation);
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
                    Err(e) if state.generation > generation => {
                        state.unrecorded += count;
                        Err(LogError::from(e.as_ref()))
                    }
                    Err(e) => {
                        state.unrecorded += count + state.pending.len() as u64;
                        state.pending.clear();
                        // Later writes report the failure of the first one as their cause.
                        Err(state.failed.get_or_insert_with(|| LogError::from(e.as_ref())).clone())
                    }
                }
            };
            done(result);
        });
    }

    /// Appends an entry that must be on the disk before the job is sent. Returns its number. `done` is called
    /// on the commit thread once the entry is on the disk, or with the error, in which case the job must not
    /// be sent.
    ///
    /// # Errors
    /// The entry can't be recorded; `done` is not called.
    pub fn append(
        &self,
        timed: &Timed,
        done: impl FnOnce(Result<u64, LogError>) + Send + 'static,
    ) -> Result<u64, LogError> {
        let mut state = lock(&self.state);
        let number = Log::assign_number(&mut state, timed)?;
        self.submit(&mut state, Vec::new(), move |result| done(result.map(|()| number)));
        Ok(number)
    }

    /// Appends an entry that is written with the next [`Log::append`] or [`Log::flush`]. Returns its number.
    ///
    /// # Errors
    /// The entry can't be recorded. It is counted in [`Log::unrecorded`], and the caller may go on without
    /// it.
    pub fn append_deferred(&self, timed: &Timed) -> Result<u64, LogError> {
        let mut state = lock(&self.state);
        let number = Log::assign_number(&mut state, timed).inspect_err(|_| state.unrecorded += 1)?;
        if state.pending.len() >= MAX_PENDING_ENTRIES {
            self.submit(&mut state, Vec::new(), |_| ());
        }
        Ok(number)
    }

    /// Writes all pending entries; `done` is called once they are on the disk, or with the error.
    pub fn flush(&self, done: impl FnOnce(Result<(), LogError>) + Send + 'static) {
        self.submit(&mut lock(&self.state), Vec::new(), done);
    }

    /// Writes all pending entries and the queued copies in one commit; see [`Log::flush`].
    pub fn flush_with(&self, copies: &Copies, done: impl FnOnce(Result<(), LogError>) + Send + 'static) {
        self.submit(&mut lock(&self.state), copies.take_queued(), done);
    }

    /// Returns entries after that point which are on the disk: at most `max_bytes` bytes, but at least one
    /// entry if there is one.
    ///
    /// # Errors
    /// An entry is missing or corrupted, or the store fails.
    pub fn read(&self, after: Point, max_bytes: usize) -> Result<Piece, LogError> {
        let (writer, durable) = {
            let state = lock(&self.state);
            (state.identity.writer.clone(), state.durable)
        };
        read_piece(&self.store, &writer, after, durable.0, max_bytes)
    }

    /// Adds to a history the entries that it lacks of this log and of earlier logs on this disk; returns how
    /// many were new. It is called before messages are exchanged and after [`Copies::restore`].
    ///
    /// # Errors
    /// Those of [`Log::read`], or [`LogError::InvalidCopy`] if the history has another entry of the same
    /// number (see [`History::own_log_state`]).
    pub fn load_into(&self, history: &mut History) -> Result<u64, LogError> {
        let (identity, durable) = {
            let state = lock(&self.state);
            (state.identity.clone(), state.durable)
        };
        // New entries usually are still in memory; they were verified when they were appended.
        if let Some(piece) = self.recent(history) {
            return history.insert_verified(&piece).map_err(LogError::InvalidCopy);
        }
        let retired = identity.retired.iter().map(|(writer, base)| (writer, *base, u64::MAX));
        let mut new = 0;
        for (writer, base, upto) in retired.chain([(&identity.writer, identity.base, durable.0)]) {
            // Starts after the last entry of this branch that the history holds, or at the first entry on the
            // disk.
            let known = history.heads(writer).into_iter().filter(|p| p.0 >= base.0 && p.0 <= upto);
            let mut at = known.max_by_key(|p| p.0).unwrap_or(base);
            if at != base && upto == durable.0 && at.0 == durable.0 && at != durable {
                at = base;
            }
            loop {
                let piece = read_piece(&self.store, writer, at, upto, READ_BYTES)?;
                if piece.entries.is_empty() {
                    break;
                }
                // The digests don't follow from the history's branch: starts at the first entry on the disk.
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

    /// Resumes from the entries on the disk after the store was reopened. Entries that were assigned a number
    /// but not written are discarded; placements on the disk that have no end are open
    /// ([`Log::open_placements`]). Returns operations that must be committed before anything else of this
    /// log.
    ///
    /// # Errors
    /// Those of [`Log::open`]; the log is unchanged then.
    pub fn recover(&self) -> Result<Vec<Op>, LogError> {
        let mut state = lock(&self.state);
        let (identity, ops) = match self.store.fact::<Identity>(IDENTITY)? {
            Some(identity) => (identity, Vec::new()),
            None => (state.identity.clone(), vec![fact_op(IDENTITY, &state.identity)?]),
        };
        let (own, found) = (&state.identity.writer, &identity.writer);
        if (&own.site, &own.node) != (&found.site, &found.node) {
            return Err(LogError::WrongNode { site: found.site.clone(), node: found.node.clone() });
        }
        let mut open = BTreeMap::new();
        let head =
            read_verified(&self.store, &identity.writer, identity.base, |number, timed| match timed.entry {
                Entry::Placed(placement) => drop(open.insert(number, placement)),
                Entry::Ended { of, .. } => drop(open.remove(&of)),
            })?;
        state.unrecorded += state.pending.len() as u64;
        state.pending.clear();
        (state.identity, state.head, state.durable, state.open) = (identity, head, head, open);
        state.recent = (head, VecDeque::new());
        state.failed = None;
        state.generation += 1;
        Ok(ops)
    }

    /// Returns the entries on the disk that follow the history's only branch of this log, if they still are
    /// in memory.
    fn recent(&self, history: &History) -> Option<Piece> {
        let mut state = lock(&self.state);
        let writer = state.identity.writer.clone();
        let [(after, before)] = *history.heads(&writer) else { return None };
        let (durable, (first, recent)) = (state.durable, &mut state.recent);
        while first.0 < after {
            let (_, digest) = recent.pop_front()?;
            *first = (first.0 + 1, digest);
        }
        if *first != (after, before) || durable.0 <= after {
            return None;
        }
        let entries =
            recent.iter().take((durable.0 - after) as usize).map(|(bytes, _)| bytes.clone()).collect();
        Some(Piece { writer, after, before, entries, head: durable.1 })
    }

    /// Drops the entries up to that point, which must be on the disk and have no open placement before it
    /// (see [`crate::compaction`]).
    ///
    /// # Errors
    /// A placement up to there is open, or the store fails.
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
        let ops =
            [fact_op(IDENTITY, &identity)?, Op::TrimJournal(journal_name(&identity.writer), upto.0 + 1)];
        self.store.commit(&ops)?;
        state.identity = identity;
        Ok(())
    }

    /// Starts another log on this disk, with the number `drawn`, because peers know the old log further than
    /// the disk does or with other entries ([`History::own_log_state`]). The old log stays readable
    /// ([`Log::load_into`]). Returns its open placements: nobody will write their ends, so guarded ones among
    /// them may have run. If this log already has the number `drawn` nothing changes, because it was started
    /// in this run.
    ///
    /// # Errors
    /// The store fails.
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
        // Pending entries belong to the old log; they are committed together with the change or not at all.
        let mut ops = std::mem::take(&mut state.pending);
        ops.push(fact_op(&last_number_fact(&state.identity.writer), &state.head.0)?);
        ops.push(fact_op(IDENTITY, &identity)?);
        // If the commit fails the log is marked failed, because numbers of pending entries were already
        // returned.
        self.store.commit(&ops).map_err(|e| state.failed.insert(e.into()).clone())?;
        (state.identity, state.head, state.durable) = (identity, base, base);
        state.recent = (base, VecDeque::new());
        Ok(std::mem::take(&mut state.open))
    }
}

/// Copies of other nodes' logs on the disk, in the order in which their pieces arrived.
#[derive(Debug)]
pub struct Copies {
    group_commit: Arc<GroupCommit>,
    /// Number of the next record, and the queued writes.
    next: Mutex<(u64, Vec<Op>)>,
    /// Pieces that follow this node's own log, kept until that log is loaded.
    out_of_order: Mutex<Vec<Piece>>,
}

#[derive(Serialize, Deserialize)]
enum CopyRecord {
    Piece(Piece),
    Base(Writer, Base),
}

impl Copies {
    /// Reads all copies into a history and verifies them.
    ///
    /// # Errors
    /// A copy is corrupted, or the store fails.
    pub fn restore(
        store: &Store,
        group_commit: Arc<GroupCommit>,
        history: &mut History,
    ) -> Result<Copies, LogError> {
        let (mut next, mut out_of_order) = (0, Vec::new());
        loop {
            let records = store.journal(COPIES, next, READ_BYTES)?;
            let Some((last, _)) = records.last() else { break };
            next = last + 1;
            for (number, record) in &records {
                let unreadable = LogError::Store(format!("record {number} of the copies can't be decoded"));
                match postcard::from_bytes(record).map_err(|_| unreadable)? {
                    CopyRecord::Piece(piece) => match history.insert(&piece) {
                        Ok(_) => {}
                        // Peers may hold entries of this node's own log beyond those on an older disk; they
                        // follow entries that are loaded later.
                        Err(HistoryError::Gap { .. } | HistoryError::Diverged { .. }) => {
                            out_of_order.push(piece)
                        }
                        Err(e) => return Err(LogError::InvalidCopy(e)),
                    },
                    CopyRecord::Base(writer, base) => history.adopt(&writer, &base),
                }
            }
        }
        Ok(Copies {
            group_commit,
            next: Mutex::new((next, Vec::new())),
            out_of_order: Mutex::new(out_of_order),
        })
    }

    /// Inserts copies that follow this node's own log, as after a disk was restored from an older copy. It is
    /// called once that log has been loaded into the history.
    ///
    /// # Errors
    /// A copy still doesn't fit.
    pub fn insert_deferred(&self, history: &mut History) -> Result<(), LogError> {
        let out_of_order =
            std::mem::take(&mut *self.out_of_order.lock().unwrap_or_else(PoisonError::into_inner));
        out_of_order
            .iter()
            .try_for_each(|piece| history.insert(piece).map(drop).map_err(LogError::InvalidCopy))
    }

    /// Numbers the records and adds them to the queued writes.
    fn queue(&self, records: &[CopyRecord]) -> MutexGuard<'_, (u64, Vec<Op>)> {
        let mut queue = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let (next, ops) = &mut *queue;
        for record in records {
            if let Ok(bytes) = postcard::to_stdvec(record) {
                ops.push(Op::Append(COPIES.into(), *next, bytes));
                *next += 1;
            }
        }
        queue
    }

    fn take_queued(&self) -> Vec<Op> {
        std::mem::take(&mut self.queue(&[]).1)
    }

    fn commit(
        &self,
        mut queue: MutexGuard<'_, (u64, Vec<Op>)>,
        done: impl FnOnce(Result<(), LogError>) + Send + 'static,
    ) {
        let ops = std::mem::take(&mut queue.1);
        self.group_commit.commit(ops, move |result| done(result.map_err(|e| LogError::from(e.as_ref()))));
    }

    /// Queues a piece that was inserted into the history; it is written by the next [`Log::flush_with`] or
    /// the next commit of copies. If the process ends before that, peers send the piece again, because the
    /// next run reports that it lacks it.
    pub fn append_piece_deferred(&self, piece: &Piece) {
        drop(self.queue(&[CopyRecord::Piece(piece.clone())]));
    }

    /// Writes a piece that was inserted into the history; `done` is called once it is on the disk. Peers may
    /// be informed that this node holds it only after that.
    pub fn append_piece(&self, piece: &Piece, done: impl FnOnce(Result<(), LogError>) + Send + 'static) {
        self.commit(self.queue(&[CopyRecord::Piece(piece.clone())]), done);
    }

    /// Writes that the history adopted the sealed part of a log from a peer.
    pub fn append_base(
        &self,
        writer: &Writer,
        base: &Base,
        done: impl FnOnce(Result<(), LogError>) + Send + 'static,
    ) {
        self.commit(self.queue(&[CopyRecord::Base(writer.clone(), base.clone())]), done);
    }

    /// Replaces all copies on the disk by the present contents of the history, in one commit. It is called
    /// after sealing, so that the disk holds no more than the history.
    pub fn rewrite(&self, history: &History, done: impl FnOnce(Result<(), LogError>) + Send + 'static) {
        self.commit(self.queue_rewrite(history), done);
    }

    /// Returns the operations of [`Copies::rewrite`], to be committed before any further piece after the disk
    /// rejected pieces.
    pub fn rewrite_ops(&self, history: &History) -> Vec<Op> {
        std::mem::take(&mut self.queue_rewrite(history).1)
    }

    fn queue_rewrite(&self, history: &History) -> MutexGuard<'_, (u64, Vec<Op>)> {
        let mut all = Vec::new();
        for writer in history.writers() {
            all.extend(
                history.base(writer).filter(|b| b.point.0 > 0).map(|b| CopyRecord::Base(writer.clone(), b)),
            );
            let mut points = vec![history.sealed(writer)];
            while let Some(piece) = history.missing(writer, &points, 1 << 16) {
                points.retain(|p| *p != (piece.after, piece.before));
                points.push(piece.last());
                all.push(CopyRecord::Piece(piece));
            }
        }
        // The history already contains the queued pieces.
        self.take_queued();
        let mut queue = self.queue(&all);
        let first = queue.0 - queue.1.len() as u64;
        queue.1.push(Op::TrimJournal(COPIES.into(), first));
        queue
    }
}
