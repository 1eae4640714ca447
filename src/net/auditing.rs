//! What the node writes down of its versions and decisions, where the file of sites says so. What is written and what is dropped is decided in
//! `shorepath-audit`; this has the clock and the disk.

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

/// The fact that says where the record is and how far it goes.
const KEPT: &str = "audit/record";
/// So much of it is read at once, in bytes.
const READ: usize = 1 << 20;

#[derive(Debug, Serialize, Deserialize)]
struct Kept {
    /// Drawn when the record was founded.
    life: u64,
    base: ChainPoint,
    head: ChainPoint,
}

/// What was asked of one that fails is not written: a clone of the flag goes with each commit.
type Failed = Arc<AtomicBool>;
/// Since when each version is in force, in Unix time.
type Since = BTreeMap<Item, Micros>;

/// The node's record.
#[derive(Debug)]
pub struct AuditRecorder {
    node: String,
    life: Cell<u64>,
    /// What the record may hold, in bytes.
    most: u64,
    record: RefCell<AuditLog>,
    meter: RefCell<DecisionCounters>,
    vector: RefCell<VersionVector>,
    since: RefCell<Since>,
    peers: RefCell<Gossip>,
    store: Arc<Store>,
    group_commit: Arc<GroupCommit>,
    origin: Instant,
    begun: Cell<bool>,
    failed: Failed,
    /// The record that was found at the start and is not what was written, and what is wrong with it.
    broken: RefCell<Option<String>>,
    /// The last entry that is on the disk: only that is told.
    on_disk: Arc<Mutex<Option<ChainPoint>>>,
    unrecorded: Cell<u64>,
}

fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// What stands for the program that runs.
pub fn program_hash() -> ContentHash {
    match std::fs::read("/proc/self/exe") {
        Ok(bytes) => ContentHash::of(&bytes),
        Err(_) => ContentHash::of(env!("CARGO_PKG_VERSION").as_bytes()),
    }
}

fn journal(life: u64) -> String {
    format!("audit {life:016x}")
}

/// All that the store has of a record.
fn entries(store: &Store, kept: &Kept) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
    let (name, mut all) = (journal(kept.life), Vec::new());
    loop {
        let from = all.last().map_or(kept.base.number, |(number, _)| *number) + 1;
        let more = store.journal(&name, from, READ)?;
        if more.is_empty() {
            return Ok(all);
        }
        all.extend(more);
    }
}

/// The record goes on as it is on the disk, with the versions that were in force last.
fn resume(
    kept: &Kept,
    all: &[(u64, Vec<u8>)],
    most: u64,
) -> Result<(AuditLog, VersionVector, Since), AuditLogError> {
    let read = all.iter().map(|(number, entry)| (*number, entry.as_slice()));
    verify(kept.base, read, kept.head, &BTreeMap::new())?;
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
    Ok((AuditLog::open(kept.base, &entries, most)?, vector, since))
}

impl AuditRecorder {
    /// The record in that store, founded where there is none or where it is not what was written; `key` is the fleet's, for the sample.
    pub fn open(
        (store, group_commit): (Arc<Store>, Arc<GroupCommit>),
        audit: Audit,
        (node, me, chance): (&str, u32, u64),
        key: [u8; 16],
    ) -> Result<Rc<AuditRecorder>, StoreError> {
        let founded = || AuditLog::open(ChainPoint::origin(node, chance), &[], audit.bytes);
        let mut broken = None;
        let (life, record, vector, since) = match store.fact::<Kept>(KEPT)? {
            None => (chance, founded(), VersionVector::default(), Since::default()),
            Some(kept) => match resume(&kept, &entries(&store, &kept)?, audit.bytes) {
                Ok((record, vector, since)) => (kept.life, Ok(record), vector, since),
                Err(e) => {
                    let wrong = shorepath_message_auth::advice(&e);
                    warn!(
                        "audit: record {:016x} is not what was written: {wrong}; another one begins, and what is left of it stays",
                        kept.life
                    );
                    broken = Some(format!("{:016x} {wrong}", kept.life));
                    (chance, founded(), VersionVector::default(), Since::default())
                }
            },
        };
        // Of no entries it can't fail, of others it has not.
        let record = record.map_err(|e| StoreError::Damaged(e.to_string()))?;
        let sampling =
            Sampling { one_in: audit.one_in, max_per_second: audit.a_second, summary_interval: audit.sum };
        let meter = DecisionCounters::new(sampling, key, record.vector_number(), 0);
        Ok(Rc::new(AuditRecorder {
            node: node.to_string(),
            life: Cell::new(life),
            most: audit.bytes,
            record: RefCell::new(record),
            meter: RefCell::new(meter),
            vector: RefCell::new(vector),
            since: RefCell::new(since),
            peers: RefCell::new(Gossip::new(me, &[], Intervals::default(), chance, 0)),
            store,
            group_commit,
            origin: Instant::now(),
            begun: Cell::new(false),
            failed: Failed::default(),
            broken: RefCell::new(broken),
            on_disk: Arc::default(),
            unrecorded: Cell::new(0),
        }))
    }

    fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }

    fn note(&self, entry: Entry) {
        if self.failed.load(Ordering::Relaxed) {
            self.unrecorded.set(self.unrecorded.get() + 1);
            return;
        }
        if let Err(e) = self.record.borrow_mut().append(&Timed { at: unix_micros(), entry }) {
            self.unrecorded.set(self.unrecorded.get() + 1);
            warn!("audit: an entry is not written down: {}", shorepath_message_auth::advice(&e));
        }
    }

    /// That version is in force from now on.
    pub fn record_version(&self, item: Item, content: ContentHash, number: Option<u64>, why: ChangeSource) {
        let Some(taken) = self.vector.borrow_mut().set(item, content, number) else { return };
        self.since.borrow_mut().insert(item, unix_micros());
        if !self.begun.get() {
            return;
        }
        let sums = self.meter.borrow_mut().set_vector(self.record.borrow().vector_number() + 1);
        sums.into_iter().for_each(|entry| self.note(entry));
        self.note(Entry::VersionChanged { change: taken, source: why });
    }

    /// The process begins, steered by what was [`AuditRecorder::record_version`] so far.
    pub fn start(&self) {
        self.begun.set(true);
        let sums = self.meter.borrow_mut().set_vector(self.record.borrow().vector_number() + 1);
        sums.into_iter().for_each(|entry| self.note(entry));
        let vector = self.vector.borrow().clone();
        info!("audit: record {:016x} goes on at {}", self.life.get(), self.record.borrow().head().number);
        self.note(Entry::ProcessStarted { vector });
        self.tick();
    }

    /// Those are the nodes of the fleet.
    pub fn set_peers(&self, nodes: &[u32]) {
        self.peers.borrow_mut().set_peers(nodes);
    }

    /// What is to be said, and to whom.
    pub fn take_outgoing(&self) -> Vec<(u32, Vec<u8>)> {
        let (now, mut peers) = (self.now(), self.peers.borrow_mut());
        let on_disk = *self.on_disk.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(head) = on_disk {
            peers.report(&self.vector.borrow(), self.life.get(), head, unix_micros(), now);
        }
        let messages = peers.take_outgoing(now).into_iter();
        messages
            .map(|(to, message)| {
                (to, postcard::to_stdvec(&message).expect("a message has a length known before"))
            })
            .collect()
    }

    /// How long it has nothing to say, in microseconds.
    pub fn time_until_due(&self) -> Micros {
        self.peers.borrow().due() - self.now()
    }

    /// Another node's word.
    pub fn receive(&self, message: &[u8]) {
        let message = match postcard::from_bytes::<Message>(message) {
            Ok(message) => message,
            Err(e) => return debug!("audit: a word can't be read: {e}"),
        };
        self.peers.borrow_mut().receive(&message, self.now());
        let updates = self.peers.borrow_mut().take_updates();
        for updates in updates {
            match updates {
                AuditUpdate::VersionsChanged { node, content } => debug!("audit: node {node} is steered by {content}"),
                AuditUpdate::OwnLogClaim { log_id: life, point } => self.look_up(life, point),
                AuditUpdate::LogReplaced { node } => {
                    warn!("audit: node {node} has begun another record: its disk was lost, or its record was not what was written");
                }
                AuditUpdate::LogRolledBack { node, previous: was, current: is } => warn!(
                    "audit: the record of node {node} ends at {is}, and has ended at {was}: an older disk was put back"
                ),
                AuditUpdate::LogForked { node, number } => warn!(
                    "audit: entry {number} of node {node} is another one than it has told: compare its record with what its peers hold"
                ),
            }
        }
    }

    /// Others know a point of this node's record: if it is not there, this disk is older than what they know, or was changed.
    fn look_up(&self, life: u64, known: ChainPoint) {
        let (base, head) = (self.record.borrow().base().number, self.record.borrow().head().number);
        if life != self.life.get() || known.number <= base {
            return;
        }
        let kept = match self.store.journal(&journal(life), known.number, 1) {
            _ if known.number > head => None,
            Ok(found) => found.into_iter().find(|(number, _)| *number == known.number),
            Err(e) => return warn!("audit: the record can't be read: {e}"),
        };
        let wrong = match kept {
            Some((_, entry)) if entry.starts_with(&known.digest.0) => return,
            Some(_) => format!("entry {} is another one than others were told", known.number),
            None => format!(
                "others were told of entry {}, and it ends at {head}: an older disk was put back",
                known.number
            ),
        };
        warn!("audit: record {life:016x}: {wrong}; another one begins, and what is left of it stays");
        self.broken.replace(Some(format!("{life:016x} {wrong}")));
        let another = getrandom::u64().unwrap_or(life.wrapping_add(1));
        match AuditLog::open(ChainPoint::origin(&self.node, another), &[], self.most) {
            Ok(record) => drop(self.record.replace(record)),
            Err(e) => return warn!("audit: {e}"),
        }
        self.life.set(another);
        self.start();
    }

    /// Have on the disk what is to be written down by now.
    pub fn tick(&self) {
        let sums = self.meter.borrow_mut().take_due(self.now());
        sums.into_iter().for_each(|entry| self.note(entry));
        let Some(writing) = self.record.borrow_mut().take_pending() else { return };
        let name = journal(self.life.get());
        let numbered = (writing.first_number..).zip(writing.entries);
        let mut ops: Vec<Op> = numbered.map(|(n, entry)| Op::Append(name.clone(), n, entry)).collect();
        if let Some(dropped) = writing.drop_through {
            ops.push(Op::Drop(name, dropped.number + 1));
        }
        let kept = Kept { life: self.life.get(), base: self.record.borrow().base(), head: writing.head };
        ops.push(Op::set_fact(KEPT, &kept));
        let (failed, on_disk, head) = (self.failed.clone(), self.on_disk.clone(), writing.head);
        self.group_commit.commit(ops, move |done| match done {
            Ok(()) => *on_disk.lock().unwrap_or_else(PoisonError::into_inner) = Some(head),
            Err(e) => {
                if !failed.swap(true, Ordering::Relaxed) {
                    warn!("audit: nothing is written down any more: {e}; look at the disk of the node's state, then start the node again");
                }
            }
        });
    }

    /// For operators: a line for the record, one for each version in force, and one for each node that was heard of, by its name.
    pub fn status(&self, name: impl Fn(u32) -> String) -> String {
        let (record, vector) = (self.record.borrow(), self.vector.borrow());
        let (base, head) = (record.base(), record.head());
        let mut text = format!(
            "record {:016x} first={} last={} on_disk={} digest={:?} bytes={} unrecorded={} vector={} content={}\n",
            self.life.get(),
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
        for (story, steers, since, received) in self.peers.borrow().nodes() {
            let versions = steers.map_or(String::new(), |v| {
                v.iter().map(|(item, version)| format!(" {}={version}", item.name())).collect()
            });
            let (for_ms, received_ms) = ((self.now() - since) / 1_000, (self.now() - received) / 1_000);
            text += &format!(
                "node {} content={} last={} for_ms={for_ms} heard_ms={received_ms}{versions}\n",
                name(story.node),
                story.content,
                story.head.number
            );
        }
        text
    }

    fn decided(&self, class: &str, server: Option<&str>, reason: &'static str, always: bool, job: &Job) {
        let entry = self.meter.borrow_mut().count(&job.id, class, server, reason, always, self.now());
        if let Some(entry) = entry {
            self.note(entry);
        }
    }
}

impl Auditor<Job> for AuditRecorder {
    fn dispatched(&self, attempt: Attempt<'_>, first: bool, job: &Job) {
        let reason = if first { "dispatched" } else { "dispatched again" };
        self.decided(attempt.class, Some(attempt.server), reason, false, job);
    }

    fn answered(&self, class: &str, how: &'static str, guarded: bool, job: &Job) {
        self.decided(class, None, how, guarded, job);
    }

    fn listed(&self, revision: u64) {
        self.record_version(Item::List, ContentHash::of_number(revision), None, ChangeSource::Discovery);
    }
}
