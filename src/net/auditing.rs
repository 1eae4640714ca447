//! Writes the node's audit log of versions and decisions, if the sites file has an `(audit ...)`.
//!
//! What is recorded and what is dropped is decided in `shorepath-audit`; this module adds the clock and the disk.

use super::exchange::{Attempt, Auditor};
use super::Job;
use serde::{Deserialize, Serialize};
use shorepath_audit::audit_log::{
    decode, verify, AuditLog, AuditLogError, ChainPoint, ChangeSource, Entry, Timed,
};
use shorepath_audit::decision_counters::{DecisionCounters, Sampling};
use shorepath_audit::gossip::{AuditUpdate, Gossip, Intervals, Message};
use shorepath_audit::version::{ContentHash, Item, VersionVector};
use shorepath_audit::Micros;
use shorepath_sites::config::Audit;
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Op, Store, StoreError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, info, warn};

/// Stored fact that holds the position of the audit log.
const RECORD_FACT: &str = "audit/record";
/// Most bytes of the log that are read at once.
const READ_CHUNK_BYTES: usize = 1 << 20;

#[derive(Debug, Serialize, Deserialize)]
struct StoredRecord {
    /// Random number that identifies the log.
    #[serde(rename = "life")]
    log_id: u64,
    base: ChainPoint,
    head: ChainPoint,
}

/// Set when a commit has failed; each commit holds a clone, and no entry is written afterwards.
type Failed = Arc<AtomicBool>;
/// Unix time in microseconds since when each version is in force.
type Since = BTreeMap<Item, Micros>;

/// The node's audit log.
#[derive(Debug)]
pub struct AuditRecorder {
    node: String,
    log_id: Cell<u64>,
    /// Size limit of the log, in bytes.
    max_bytes: u64,
    record: RefCell<AuditLog>,
    counters: RefCell<DecisionCounters>,
    vector: RefCell<VersionVector>,
    since: RefCell<Since>,
    peers: RefCell<Gossip>,
    store: Arc<Store>,
    group_commit: Arc<GroupCommit>,
    origin: Instant,
    started: Cell<bool>,
    failed: Failed,
    /// Identifier of a stored log that failed verification, and the reason.
    broken: RefCell<Option<String>>,
    /// The last entry on the disk; later ones are not reported to peers.
    on_disk: Arc<Mutex<Option<ChainPoint>>>,
    unrecorded: Cell<u64>,
}

fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// Returns the hash of the running program, or of its version if the executable can't be read.
pub fn program_hash() -> ContentHash {
    match std::fs::read("/proc/self/exe") {
        Ok(bytes) => ContentHash::of(&bytes),
        Err(_) => ContentHash::of(env!("CARGO_PKG_VERSION").as_bytes()),
    }
}

fn journal_name(log_id: u64) -> String {
    format!("audit {log_id:016x}")
}

/// Loads all entries of a stored log, with their numbers.
fn load_entries(store: &Store, stored: &StoredRecord) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
    let (name, mut all) = (journal_name(stored.log_id), Vec::new());
    loop {
        let from = all.last().map_or(stored.base.number, |(number, _)| *number) + 1;
        let more = store.journal(&name, from, READ_CHUNK_BYTES)?;
        if more.is_empty() {
            return Ok(all);
        }
        all.extend(more);
    }
}

/// Verifies a stored log and restores it with the versions that were last in force.
fn resume_log(
    stored: &StoredRecord,
    all: &[(u64, Vec<u8>)],
    max_bytes: u64,
) -> Result<(AuditLog, VersionVector, Since), AuditLogError> {
    let read = all.iter().map(|(number, entry)| (*number, entry.as_slice()));
    verify(stored.base, read, stored.head, &BTreeMap::new())?;
    let (mut vector, mut since) = (VersionVector::default(), Since::default());
    for (number, entry) in all {
        let Timed { at, entry } = decode(*number, entry.get(32..).unwrap_or_default())?;
        match entry {
            Entry::ProcessStarted { vector: began } => {
                let same =
                    |item: &Item| vector.get(*item).map(|v| v.content) == began.get(*item).map(|v| v.content);
                since.retain(|item, _| same(item));
                for (item, _) in began.iter() {
                    since.entry(item).or_insert(at);
                }
                vector = began;
            }
            Entry::VersionChanged { change: taken, .. } => {
                since.insert(taken.item, at);
                vector.set(taken.item, taken.to.content, Some(taken.to.number));
            }
            _ => {}
        }
    }
    let entries: Vec<Vec<u8>> = all.iter().map(|(_, entry)| entry.clone()).collect();
    Ok((AuditLog::open(stored.base, &entries, max_bytes)?, vector, since))
}

impl AuditRecorder {
    /// Opens the audit log in the store. Starts a new one if there is none or if it fails verification. `sampling_key` is shared
    /// by the fleet and selects the sampled decisions.
    ///
    /// # Errors
    /// Fails if the store can't be read.
    pub fn open(
        (store, group_commit): (Arc<Store>, Arc<GroupCommit>),
        audit: Audit,
        (node, me, seed): (&str, u32, u64),
        sampling_key: [u8; 16],
    ) -> Result<Rc<AuditRecorder>, StoreError> {
        let new_log = || AuditLog::open(ChainPoint::origin(node, seed), &[], audit.bytes);
        let mut broken = None;
        let (log_id, record, vector, since) = match store.fact::<StoredRecord>(RECORD_FACT)? {
            None => (seed, new_log(), VersionVector::default(), Since::default()),
            Some(stored) => match resume_log(&stored, &load_entries(&store, &stored)?, audit.bytes) {
                Ok((record, vector, since)) => (stored.log_id, Ok(record), vector, since),
                Err(e) => {
                    let wrong = shorepath_message_auth::advice(&e);
                    warn!(
                        "audit: log {:016x} fails verification: {wrong}; starting a new log, the old one is kept",
                        stored.log_id
                    );
                    broken = Some(format!("{:016x} {wrong}", stored.log_id));
                    (seed, new_log(), VersionVector::default(), Since::default())
                }
            },
        };
        // A new log has no entries that could be wrong, and a restored one was verified.
        let record = record.map_err(|e| StoreError::Damaged(e.to_string()))?;
        let sampling =
            Sampling { one_in: audit.one_in, max_per_second: audit.a_second, summary_interval: audit.sum };
        let counters = DecisionCounters::new(sampling, sampling_key, record.vector_number(), 0);
        Ok(Rc::new(AuditRecorder {
            node: node.to_string(),
            log_id: Cell::new(log_id),
            max_bytes: audit.bytes,
            record: RefCell::new(record),
            counters: RefCell::new(counters),
            vector: RefCell::new(vector),
            since: RefCell::new(since),
            peers: RefCell::new(Gossip::new(me, &[], Intervals::default(), seed, 0)),
            store,
            group_commit,
            origin: Instant::now(),
            started: Cell::new(false),
            failed: Failed::default(),
            broken: RefCell::new(broken),
            on_disk: Arc::default(),
            unrecorded: Cell::new(0),
        }))
    }

    fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }

    fn append(&self, entry: Entry) {
        if self.failed.load(Ordering::Relaxed) {
            self.unrecorded.set(self.unrecorded.get() + 1);
            return;
        }
        if let Err(e) = self.record.borrow_mut().append(&Timed { at: unix_micros(), entry }) {
            self.unrecorded.set(self.unrecorded.get() + 1);
            warn!("audit: an entry could not be recorded: {}", shorepath_message_auth::advice(&e));
        }
    }

    /// Records that a version of an item is in force from now on.
    pub fn record_version(&self, item: Item, content: ContentHash, number: Option<u64>, why: ChangeSource) {
        let Some(taken) = self.vector.borrow_mut().set(item, content, number) else { return };
        self.since.borrow_mut().insert(item, unix_micros());
        if !self.started.get() {
            return;
        }
        let summaries = self.counters.borrow_mut().set_vector(self.record.borrow().vector_number() + 1);
        summaries.into_iter().for_each(|entry| self.append(entry));
        self.append(Entry::VersionChanged { change: taken, source: why });
    }

    /// Records the start of the process with the versions given to [`AuditRecorder::record_version`] so far.
    pub fn start(&self) {
        self.started.set(true);
        let summaries = self.counters.borrow_mut().set_vector(self.record.borrow().vector_number() + 1);
        summaries.into_iter().for_each(|entry| self.append(entry));
        let vector = self.vector.borrow().clone();
        info!(
            "audit: log {:016x} continues at entry {}",
            self.log_id.get(),
            self.record.borrow().head().number
        );
        self.append(Entry::ProcessStarted { vector });
        self.tick();
    }

    /// Sets the nodes to exchange versions with.
    pub fn set_peers(&self, nodes: &[u32]) {
        self.peers.borrow_mut().set_peers(nodes);
    }

    /// Takes the messages to send, by node number.
    pub fn take_outgoing(&self) -> Vec<(u32, Vec<u8>)> {
        let (now, mut peers) = (self.now(), self.peers.borrow_mut());
        let on_disk = *self.on_disk.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(head) = on_disk {
            peers.report(&self.vector.borrow(), self.log_id.get(), head, unix_micros(), now);
        }
        let messages = peers.take_outgoing(now).into_iter();
        messages
            .map(|(to, message)| {
                (to, postcard::to_stdvec(&message).expect("audit messages can always be serialized"))
            })
            .collect()
    }

    /// Returns the time until the next message is due, in microseconds.
    pub fn time_until_due(&self) -> Micros {
        self.peers.borrow().due() - self.now()
    }

    /// Handles a message of another node.
    pub fn receive(&self, message: &[u8]) {
        let message = match postcard::from_bytes::<Message>(message) {
            Ok(message) => message,
            Err(e) => return debug!("audit: a message can't be decoded: {e}"),
        };
        self.peers.borrow_mut().receive(&message, self.now());
        let updates = self.peers.borrow_mut().take_updates();
        for update in updates {
            match update {
                AuditUpdate::VersionsChanged { node, content } => debug!("audit: node {node} uses versions {content}"),
                AuditUpdate::OwnLogClaim { log_id: own_id, point } => self.check_own_claim(own_id, point),
                AuditUpdate::LogReplaced { node } => {
                    warn!("audit: node {node} has started a new log: its disk was lost, or its log failed verification");
                }
                AuditUpdate::LogRolledBack { node, previous: was, current: is } => warn!(
                    "audit: the log of node {node} ends at entry {is} and had ended at {was}: its disk is an older copy"
                ),
                AuditUpdate::LogForked { node, number } => warn!(
                    "audit: entry {number} of node {node} differs from the one that it reported before; compare its log with what its peers hold"
                ),
            }
        }
    }

    /// Checks an entry of this node's log that a peer knows. If it is missing or differs, the disk is an older copy or was
    /// changed, and a new log is started.
    fn check_own_claim(&self, log_id: u64, known: ChainPoint) {
        let (base, head) = (self.record.borrow().base().number, self.record.borrow().head().number);
        if log_id != self.log_id.get() || known.number <= base {
            return;
        }
        let stored = match self.store.journal(&journal_name(log_id), known.number, 1) {
            _ if known.number > head => None,
            Ok(found) => found.into_iter().find(|(number, _)| *number == known.number),
            Err(e) => return warn!("audit: the log can't be read: {e}"),
        };
        let wrong = match stored {
            Some((_, entry)) if entry.starts_with(&known.digest.0) => return,
            Some(_) => format!("entry {} is another one than others were told", known.number),
            None => format!(
                "others were told of entry {}, and it ends at {head}: an older disk was put back",
                known.number
            ),
        };
        warn!("audit: log {log_id:016x}: {wrong}; starting a new log, the old one is kept");
        self.broken.replace(Some(format!("{log_id:016x} {wrong}")));
        let new_log_id = getrandom::u64().unwrap_or(log_id.wrapping_add(1));
        match AuditLog::open(ChainPoint::origin(&self.node, new_log_id), &[], self.max_bytes) {
            Ok(record) => drop(self.record.replace(record)),
            Err(e) => return warn!("audit: a new log can't be started: {e}"),
        }
        self.log_id.set(new_log_id);
        self.start();
    }

    /// Starts writing the entries that are due.
    pub fn tick(&self) {
        let summaries = self.counters.borrow_mut().take_due(self.now());
        summaries.into_iter().for_each(|entry| self.append(entry));
        let Some(writing) = self.record.borrow_mut().take_pending() else { return };
        let name = journal_name(self.log_id.get());
        let numbered = (writing.first_number..).zip(writing.entries);
        let mut ops: Vec<Op> = numbered.map(|(n, entry)| Op::Append(name.clone(), n, entry)).collect();
        if let Some(dropped) = writing.drop_through {
            ops.push(Op::TrimJournal(name, dropped.number + 1));
        }
        let stored =
            StoredRecord { log_id: self.log_id.get(), base: self.record.borrow().base(), head: writing.head };
        ops.push(Op::set_fact(RECORD_FACT, &stored));
        let (failed, on_disk, head) = (self.failed.clone(), self.on_disk.clone(), writing.head);
        self.group_commit.commit(ops, move |result| match result {
            Ok(()) => *on_disk.lock().unwrap_or_else(PoisonError::into_inner) = Some(head),
            Err(e) => {
                if !failed.swap(true, Ordering::Relaxed) {
                    warn!("audit: the log is not written any more: {e}; check the disk of the node's state folder, then restart the node");
                }
            }
        });
    }

    /// Returns the status for operators: a line for the log, one for each version in force, and one for each known node, by its
    /// name.
    pub fn status(&self, name: impl Fn(u32) -> String) -> String {
        let (record, vector) = (self.record.borrow(), self.vector.borrow());
        let (base, head) = (record.base(), record.head());
        let mut text = format!(
            "record {:016x} first={} last={} on_disk={} digest={:?} bytes={} unrecorded={} vector={} content={}\n",
            self.log_id.get(),
            base.number + 1,
            head.number,
            self.on_disk.lock().unwrap_or_else(PoisonError::into_inner).map_or(0, |p| p.number),
            head.digest,
            record.size(),
            self.unrecorded.get(),
            record.vector_number(),
            vector.content_hash()
        );
        if let Some(broken) = &*self.broken.borrow() {
            text += &format!("broken {broken}\n");
        }
        for (item, version) in vector.iter() {
            let since = self.since.borrow().get(&item).copied();
            let ms = since.map_or(0, |since| (unix_micros() - since) / 1_000);
            text += &format!("{} {version} parent={} for_ms={ms}\n", item.name(), version.parent);
        }
        for (peer, versions_in_use, since, received) in self.peers.borrow().nodes() {
            let versions = versions_in_use.map_or(String::new(), |v| {
                v.iter().map(|(item, version)| format!(" {}={version}", item.name())).collect()
            });
            let (for_ms, received_ms) = ((self.now() - since) / 1_000, (self.now() - received) / 1_000);
            text += &format!(
                "node {} content={} last={} for_ms={for_ms} heard_ms={received_ms}{versions}\n",
                name(peer.node),
                peer.content,
                peer.head.number
            );
        }
        text
    }

    fn record_decision(
        &self,
        class: &str,
        server: Option<&str>,
        reason: &'static str,
        always: bool,
        job: &Job,
    ) {
        let entry = self.counters.borrow_mut().count(&job.id, class, server, reason, always, self.now());
        if let Some(entry) = entry {
            self.append(entry);
        }
    }
}

impl Auditor<Job> for AuditRecorder {
    fn dispatched(&self, attempt: Attempt<'_>, first: bool, job: &Job) {
        let reason = if first { "dispatched" } else { "dispatched again" };
        self.record_decision(attempt.class, Some(attempt.server), reason, false, job);
    }

    fn answered(&self, class: &str, how: &'static str, guarded: bool, job: &Job) {
        self.record_decision(class, None, how, guarded, job);
    }

    fn list_applied(&self, revision: u64) {
        self.record_version(Item::List, ContentHash::of_number(revision), None, ChangeSource::Discovery);
    }
}
