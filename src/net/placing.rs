//! Records this node's placements in its log and looks up repeated requests in it.
//!
//! What the records of all nodes mean for a key is decided in `shorepath-placements`.

mod exchange;
mod startup;

use super::exchange::{DispatchId, RunOutcome};
use super::sites::DiskEvent;
use shorepath_placements::anti_entropy::Exchange;
use shorepath_placements::history::History;
use shorepath_placements::idempotency_index::{IdempotencyIndex, KeyState};
use shorepath_placements::log::{Copies, Log, LogError};
use shorepath_placements::log_recovery::{LogRecovery, PlacementRef};
use shorepath_placements::reconcile::{Decision, Reconciler};
use shorepath_placements::{compaction, reconcile, End, Entry, Timed, Writer};
use shorepath_quota::Micros;
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::Store;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use tokio::sync::mpsc;
use tracing::{info, warn};

/// Longest wait, in microseconds, for every peer to send what it knows of this node's log, once one of them has. Guarded
/// requests wait until then.
const PEER_REPLY_TIMEOUT: Micros = 3_000_000;
/// Pause between two slices of reconciliation, in microseconds. A slice takes a millisecond at most, so clients keep nine tenths
/// of the time.
const RECONCILE_INTERVAL: Micros = 10_000;

/// This node's placement log, copies of other nodes' logs, and the index of idempotency keys.
#[derive(Debug)]
pub struct Placements {
    log: Log,
    copies: Copies,
    history: RefCell<History>,
    keys: RefCell<IdempotencyIndex>,
    /// Anti-entropy exchange with each peer, by node number.
    exchanges: RefCell<BTreeMap<u32, Exchange>>,
    reconciler: RefCell<Reconciler>,
    new_log_number: u64,
    /// Entries that are buffered until it is known whether the log continues.
    log_recovery: RefCell<LogRecovery>,
    /// Whether a new log was started because the disk was an older copy.
    log_replaced: Cell<bool>,
    /// Whether entries may have arrived since the last slice of reconciliation.
    has_new_entries: Cell<bool>,
    /// Time of the next slice of reconciliation; `None` if nothing is left.
    reconcile_at: Cell<Option<Micros>>,
    /// Placements of the attempts that have not ended.
    outstanding: RefCell<HashMap<DispatchId, PlacementRef>>,
    /// Ends that could not be written because the disk failed, by the number of the placement's entry.
    unwritten_ends: RefCell<BTreeMap<u64, End>>,
    /// Whether deferred entries wait to be flushed.
    has_deferred: Cell<bool>,
    group_interval: Cell<Micros>,
    /// Time of the next flush of deferred entries, after which they are sent to peers.
    next_flush: Cell<Micros>,
    /// Whether a flush is in progress, and whether flushed entries must be published to peers.
    is_flushing: Cell<bool>,
    must_publish: Cell<bool>,
    /// Number of the last own entry that was published.
    last_published: Cell<u64>,
    disk_events: mpsc::UnboundedSender<DiskEvent>,
}

/// Adds the new entries of one log to the key index.
fn index_new_entries(history: &History, keys: &mut IdempotencyIndex, writer: &Writer) {
    let sealed = history.sealed(writer).0;
    if sealed > keys.last_applied(writer) {
        keys.apply_sealed(writer, sealed, &history.retained_keys(writer, 0, usize::MAX).1);
    }
    let last = history.heads(writer).iter().map(|point| point.0).max().unwrap_or(0);
    for number in keys.last_applied(writer) + 1..=last {
        if let Some(timed) = history.entry(writer, number) {
            keys.apply_entry(writer, number, &timed.entry);
        }
    }
}

impl Placements {
    /// Opens the log of the node with the given site and name. A new log gets the number `random`, and so does one that replaces
    /// an older copy. Requests that were dispatched when the last process ended may have run. For `group_interval` see
    /// [`Placements::set_peers`].
    ///
    /// # Errors
    /// Fails if the log belongs to another node or is damaged, or if its disk fails.
    pub fn open(
        store: Arc<Store>,
        group_commit: Arc<GroupCommit>,
        (site, node): (&str, &str),
        (random, now, group_interval): (u64, Micros, Micros),
        disk_events: mpsc::UnboundedSender<DiskEvent>,
    ) -> Result<Placements, LogError> {
        let log = Log::open(store.clone(), group_commit.clone(), site, node, random)?;
        let mut history = History::new();
        let copies = Copies::restore(&store, group_commit, &mut history)?;
        log.load_into(&mut history)?;
        copies.insert_deferred(&mut history)?;
        let open = log.open_placements();
        if !open.is_empty() {
            info!(
                "placements: {} attempts were in progress when the last process ended and may have run",
                open.len()
            );
        }
        let placements = Placements {
            log,
            copies,
            history: RefCell::new(history),
            keys: RefCell::default(),
            exchanges: RefCell::default(),
            reconciler: RefCell::new(Reconciler::new(reconcile::Settings::default())),
            new_log_number: random,
            log_recovery: RefCell::new(LogRecovery::new(now, PEER_REPLY_TIMEOUT, open.into_keys())),
            log_replaced: Cell::new(false),
            has_new_entries: Cell::new(true),
            reconcile_at: Cell::new(Some(now)),
            outstanding: RefCell::default(),
            unwritten_ends: RefCell::default(),
            has_deferred: Cell::new(false),
            group_interval: Cell::new(group_interval),
            next_flush: Cell::new(now),
            is_flushing: Cell::new(false),
            must_publish: Cell::new(false),
            last_published: Cell::new(0),
            disk_events,
        };
        placements.index_all_logs();
        Ok(placements)
    }

    /// Adds the new entries of all logs to the key index.
    fn index_all_logs(&self) {
        let (history, mut keys) = (self.history.borrow(), self.keys.borrow_mut());
        for writer in history.writers() {
            index_new_entries(&history, &mut keys, writer);
        }
    }

    /// Ends a flush, whether it succeeded or not, and has the flushed entries published.
    pub fn on_flushed(&self) {
        self.is_flushing.set(false);
        self.must_publish.set(true);
    }

    /// Returns the number of this node's log and of its last entry on the disk.
    pub fn own_position(&self) -> (u64, u64) {
        (self.log.writer().log, self.log.durable().0)
    }

    /// Returns the history of all known logs.
    pub fn history(&self) -> std::cell::Ref<'_, History> {
        self.history.borrow()
    }

    /// Returns whether this process started a new log because the disk was an older copy.
    pub fn was_log_replaced(&self) -> bool {
        self.log_replaced.get()
    }

    /// Seals entries that are at least `age` microseconds old and that all sites have confirmed. `sites` maps each other site to
    /// this node's peers there. Blocks on the disk, so it is called rarely.
    pub fn seal(&self, sites: &BTreeMap<String, Vec<u32>>, age: Micros, unix: Micros) {
        let own = self.log.writer();
        let names: Vec<String> = sites.keys().cloned().collect();
        let mut dropped = 0;
        let writers: Vec<Writer> = self.history.borrow().writers().cloned().collect();
        for writer in writers {
            let mut history = self.history.borrow_mut();
            let exchanges = self.exchanges.borrow();
            // Any node of a site may be its only survivor, so the one that has confirmed least counts.
            let slowest_point = |nodes: &Vec<u32>| {
                let points = nodes.iter().map(|n| exchanges.get(n)?.confirmed_point(&*history, &writer));
                points.collect::<Option<Vec<_>>>()?.into_iter().min_by_key(|point| point.0)
            };
            let confirmed = sites
                .iter()
                .filter_map(|(site, nodes)| Some((site.clone(), slowest_point(nodes)?)))
                .collect();
            let Some(upto) = compaction::sealable_up_to(&history, &writer, &confirmed, &names, age, unix)
            else {
                continue;
            };
            if let Err(e) = history.seal(&writer, upto) {
                warn!("placements: old entries of a log can't be dropped from memory: {e}");
                continue;
            }
            dropped += 1;
            if writer == own {
                if let Err(e) = self.log.seal(history.sealed(&writer)) {
                    warn!("placements: old entries of this node's log can't be dropped from the disk: {e}");
                }
            }
        }
        if dropped > 0 {
            info!("placements: old entries of {dropped} logs were dropped; their digests and guarded keys are kept");
            self.copies.rewrite(&self.history.borrow(), |result| {
                if let Err(e) = result {
                    warn!("placements: could not rewrite the copies of other nodes' logs: {e}");
                }
            });
        }
    }

    /// Returns the latest time for the next [`Placements::tick`].
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let unsent = self.has_deferred.get() || self.log.durable().0 > self.last_published.get();
        let flush_due = (unsent && !self.is_flushing.get()).then_some(self.next_flush.get());
        let publish_due = self.must_publish.get().then_some(now);
        self.exchanges.borrow().values().map(Exchange::due).chain(flush_due).chain(publish_due).min()
    }

    /// Returns the time for the next [`Placements::reconcile`] with new entries; `None` if there are none.
    pub fn reconcile_due(&self) -> Option<Micros> {
        self.reconcile_at.get()
    }

    /// Reconciles a slice of the new entries and returns the decisions.
    pub fn reconcile(&self, unix: Micros, now: Micros) -> Vec<Decision> {
        let mut reconciler = self.reconciler.borrow_mut();
        let history = self.history.borrow();
        // Overdue placements are given up at any time; new entries wait until reconciliation is due.
        let due = self.reconcile_at.get().is_some_and(|at| at <= now);
        if !due {
            return reconciler.give_up_overdue(unix);
        }
        let (decisions, more) = reconciler.slice(&*history, unix, self.has_new_entries.take());
        self.reconcile_at.set(more.then_some(now + RECONCILE_INTERVAL));
        decisions
    }

    /// Passes a change of standing or credit to the reconciler and returns its decisions.
    pub fn update_reconciler(&self, report: impl FnOnce(&mut Reconciler) -> Vec<Decision>) -> Vec<Decision> {
        // Placements that must be judged again wait for the next slice.
        self.reconcile_at.set(Some(
            self.reconcile_at.get().map_or(self.next_flush.get(), |at| at.min(self.next_flush.get())),
        ));
        report(&mut self.reconciler.borrow_mut())
    }

    /// Calls `each` with the tenant, key and Unix time of each placement in this node's log since the given Unix time.
    pub fn for_each_accepted(&self, since: Micros, mut each: impl FnMut(&str, &str, Micros)) {
        let (history, writer) = (self.history.borrow(), self.log.writer());
        let last = history.latest_points().get(&writer).map_or(0, |point| point.0);
        for timed in (1..=last).filter_map(|n| history.entry(&writer, n)) {
            if let Entry::Placed(p) = &timed.entry {
                if let (true, Some(tenant), Some(key)) = (timed.at >= since, &p.tenant, &p.key) {
                    each(tenant, key, timed.at);
                }
            }
        }
    }

    /// Calls `each` with the tenant, key and Unix time of placements in any log that were not scanned yet, from at most
    /// `max_entries` entries. `scanned` holds the last scanned entry of each log. Returns whether entries may be left.
    pub fn for_each_new_placement(
        &self,
        scanned: &mut BTreeMap<Writer, u64>,
        max_entries: usize,
        mut each: impl FnMut(&str, &str, Micros),
    ) -> bool {
        let history = self.history.borrow();
        let mut left = max_entries;
        for writer in history.writers() {
            let last = history.heads(writer).iter().map(|point| point.0).max().unwrap_or(0);
            let at = scanned.entry(writer.clone()).or_default();
            *at = history.sealed(writer).0.max(*at);
            while *at < last && left > 0 {
                (*at, left) = (*at + 1, left - 1);
                if let Some(Timed { at, entry: Entry::Placed(p) }) = history.entry(writer, *at) {
                    if let (Some(tenant), Some(key)) = (&p.tenant, &p.key) {
                        each(tenant, key, at);
                    }
                }
            }
        }
        left == 0
    }

    /// Returns what is known of an idempotency key of a class whose requests must run at most once.
    pub fn key_state(&self, class: &str, key: &str) -> KeyState {
        self.keys.borrow().state(class, key)
    }

    /// Returns why the log accepts no more entries; `None` while it works.
    pub fn failure(&self) -> Option<LogError> {
        self.log.failed()
    }

    /// Records a placement. Returns whether the request may be dispatched at once; a guarded one has to be on the disk first,
    /// which [`DiskEvent`] reports.
    pub fn record_placement(&self, id: DispatchId, timed: Timed) -> bool {
        let guarded = matches!(&timed.entry, Entry::Placed(p) if p.guarded);
        if !guarded {
            let buffered = {
                Some(self.log_recovery.borrow_mut())
                    .filter(|b| b.is_buffering())
                    .map(|mut b| b.buffer_placement(timed.clone()))
            };
            if let Some(placement) =
                buffered.unwrap_or_else(|| self.append_deferred_entry(timed).map(PlacementRef::Written))
            {
                self.outstanding.borrow_mut().insert(id, placement);
            }
            return true;
        }
        if !self.peers_answered() {
            let _ = self.disk_events.send(DiskEvent::Refused(
                id,
                "peers have not yet sent what they know of this node's log".to_string(),
            ));
            return false;
        }
        let disk_events = self.disk_events.clone();
        let appended = self.log.append(&timed, move |result| {
            // The receiver is dropped when the node stops.
            let _ = disk_events.send(DiskEvent::Placed(id, result.map(|_| ())));
        });
        match appended {
            Ok(number) => {
                self.keys.borrow_mut().apply_entry(&self.log.writer(), number, &timed.entry);
                self.outstanding.borrow_mut().insert(id, PlacementRef::Written(number));
            }
            Err(e) => drop(self.disk_events.send(DiskEvent::Placed(id, Err(e)))),
        }
        false
    }

    /// Records in the log whether a placed attempt ran, so that its key can be placed again if it never ran. Does nothing if the
    /// attempt has no placement in progress.
    pub fn record_end(&self, id: DispatchId, ran: RunOutcome, at: Micros) {
        let Some(placement) = self.outstanding.borrow_mut().remove(&id) else { return };
        let how = match ran {
            RunOutcome::Served => End::Served,
            RunOutcome::NeverRan => End::NeverRan,
            RunOutcome::MayHaveRun => End::Unknown,
        };
        match placement {
            PlacementRef::Buffered(ticket) => self.log_recovery.borrow_mut().buffer_end(ticket, at, how),
            PlacementRef::Written(of) => {
                if self.append_deferred_entry(Timed { at, entry: Entry::Ended { of, how } }).is_none() {
                    self.keys.borrow_mut().apply_end(&self.log.writer(), of, how);
                    self.unwritten_ends.borrow_mut().insert(of, how);
                }
            }
        }
    }

    fn append_deferred_entry(&self, timed: Timed) -> Option<u64> {
        let number = self.log.append_deferred(&timed);
        self.has_deferred.set(true);
        match number {
            Ok(number) => {
                self.keys.borrow_mut().apply_entry(&self.log.writer(), number, &timed.entry);
                Some(number)
            }
            // The log counts lost entries, and the failure of the store is logged once by the caller.
            Err(_) => None,
        }
    }

    /// Starts flushing deferred entries to the disk.
    fn flush(&self) {
        self.is_flushing.set(true);
        let disk_events = self.disk_events.clone();
        self.log.flush_with(&self.copies, move |result| {
            if let Err(e) = result {
                warn!("placements: buffered entries could not be written: {e}");
            }
            // The receiver is dropped when the node stops.
            let _ = disk_events.send(DiskEvent::Flushed);
        });
    }

    /// Returns a line for operators: the log's last entry, counts of entries and keys, unrecorded entries, and a digest of all
    /// logs.
    pub fn status(&self) -> String {
        let (last, keys) = (self.log.durable().0, self.keys.borrow().len());
        let history = self.history.borrow();
        let all: u64 = history.latest_points().values().map(|point| point.0).sum();
        let digest = crc32fast::hash(&history.canonical_bytes());
        let sealed: u64 = history.writers().map(|w| history.sealed(w).0).sum();
        let violations = self.reconciler.borrow().violations().len();
        format!(
            "placements own={last} all={all} sealed={sealed} digest={digest:08x} keys={keys} violations={violations} unrecorded={}",
            self.log.unrecorded() + self.log_recovery.borrow().unrecorded()
        )
    }
}
