//! What this node has placed: written to its log, and asked of it when a request comes again. What is known of a key, and what that means,
//! is decided in `shorepath-placements`.

mod exchange;
mod startup;

use super::exchange::{DispatchId, Ran};
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

/// Guarded work waits until all partners have said what they know of this node's log and of keys, or this long, where one at least has.
const ASKING: Micros = 3_000_000;
/// Reconciling goes on after this while there is more: a slice of it takes about a millisecond at most, so clients keep nine tenths.
const GOES_ON: Micros = 10_000;

/// The log of this node, what is known of others', and of keys.
#[derive(Debug)]
pub struct Placements {
    log: Log,
    copies: Copies,
    history: RefCell<History>,
    keys: RefCell<IdempotencyIndex>,
    /// One with each partner, by its number.
    exchanges: RefCell<BTreeMap<u32, Exchange>>,
    reconciler: RefCell<Reconciler>,
    life: u64,
    /// What is held until it is known whether the log goes on.
    log_recovery: RefCell<LogRecovery>,
    /// The disk was an older one.
    refounded: Cell<bool>,
    /// Something may have come since the last slice of reconciling.
    fresh: Cell<bool>,
    /// When there may be more to reconcile.
    more: Cell<Option<Micros>>,
    /// Attempts that are out, and where their placements are.
    out: RefCell<HashMap<DispatchId, PlacementRef>>,
    /// How placements ended whose ends could not be written: those that were on their way as the disk failed.
    unwritten: RefCell<BTreeMap<u64, End>>,
    /// Something waits to be written, and goes with what else comes in that time.
    waits: Cell<bool>,
    group: Cell<Micros>,
    /// When what waits goes next, to the disk and then to partners.
    next: Cell<Micros>,
    /// It is on its way to the disk; or is there, and is to be shown.
    flushes: Cell<bool>,
    shows: Cell<bool>,
    /// The last own entry that was shown.
    shown: Cell<u64>,
    writes: mpsc::UnboundedSender<DiskEvent>,
}

/// What is new of a log is known of keys, too.
fn feed(history: &History, keys: &mut IdempotencyIndex, writer: &Writer) {
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
    /// Open the log of the node of that name and site; a new one gets the number `drawn`, which is this life's as well. What was on its
    /// way when the last process ended may have run. For `group` see [`Placements::set_peers`].
    ///
    /// # Errors
    /// The log is another node's, is damaged, or its disk fails.
    pub fn open(
        store: Arc<Store>,
        group_commit: Arc<GroupCommit>,
        (site, node): (&str, &str),
        (drawn, now, group): (u64, Micros, Micros),
        writes: mpsc::UnboundedSender<DiskEvent>,
    ) -> Result<Placements, LogError> {
        let log = Log::open(store.clone(), group_commit.clone(), site, node, drawn)?;
        let mut history = History::new();
        let copies = Copies::restore(&store, group_commit, &mut history)?;
        log.load_into(&mut history)?;
        copies.insert_deferred(&mut history)?;
        let open = log.open_placements();
        if !open.is_empty() {
            info!(
                "placements: {} were on their way when the last process ended, and may have run",
                open.len()
            );
        }
        let placing = Placements {
            log,
            copies,
            history: RefCell::new(history),
            keys: RefCell::default(),
            exchanges: RefCell::default(),
            reconciler: RefCell::new(Reconciler::new(reconcile::Settings::default())),
            life: drawn,
            log_recovery: RefCell::new(LogRecovery::new(now, ASKING, open.into_keys())),
            refounded: Cell::new(false),
            fresh: Cell::new(true),
            more: Cell::new(Some(now)),
            out: RefCell::default(),
            unwritten: RefCell::default(),
            waits: Cell::new(false),
            group: Cell::new(group),
            next: Cell::new(now),
            flushes: Cell::new(false),
            shows: Cell::new(false),
            shown: Cell::new(0),
            writes,
        };
        placing.feed();
        Ok(placing)
    }

    /// What is new in the history is known of keys, too.
    fn feed(&self) {
        let (history, mut keys) = (self.history.borrow(), self.keys.borrow_mut());
        for writer in history.writers() {
            feed(&history, &mut keys, writer);
        }
    }

    /// What was to be flushed is on the disk, or never will be.
    pub fn on_flushed(&self) {
        self.flushes.set(false);
        self.shows.set(true);
    }

    /// The number of this node's log, and of its last entry on the disk.
    pub fn own_position(&self) -> (u64, u64) {
        (self.log.writer().log, self.log.durable().0)
    }

    /// All that is known of logs.
    pub fn history(&self) -> std::cell::Ref<'_, History> {
        self.history.borrow()
    }

    /// Whether another log was founded in this life, since the disk was an older one.
    pub fn was_refounded(&self) -> bool {
        self.refounded.get()
    }

    /// Drop what is old enough and all sites have, by their own word: `sites` has the partners of each site but the own one. Rare, since
    /// it waits for the disk.
    pub fn seal(&self, sites: &BTreeMap<String, Vec<u32>>, age: Micros, unix: Micros) {
        let own = self.log.writer();
        let names: Vec<String> = sites.keys().cloned().collect();
        let mut dropped = 0;
        let writers: Vec<Writer> = self.history.borrow().writers().cloned().collect();
        for writer in writers {
            let mut history = self.history.borrow_mut();
            let exchanges = self.exchanges.borrow();
            // Of each site the one that has least: any of its nodes may be the only one that is left.
            let least = |nodes: &Vec<u32>| {
                let has = nodes.iter().map(|n| exchanges.get(n)?.confirmed_point(&*history, &writer));
                has.collect::<Option<Vec<_>>>()?.into_iter().min_by_key(|point| point.0)
            };
            let confirmed =
                sites.iter().filter_map(|(site, nodes)| Some((site.clone(), least(nodes)?))).collect();
            let Some(upto) = compaction::sealable_up_to(&history, &writer, &confirmed, &names, age, unix)
            else {
                continue;
            };
            if let Err(e) = history.seal(&writer, upto) {
                warn!("placements: {e}");
                continue;
            }
            dropped += 1;
            if writer == own {
                if let Err(e) = self.log.seal(history.sealed(&writer)) {
                    warn!("placements: {e}");
                }
            }
        }
        if dropped > 0 {
            info!("placements: {dropped} logs are sealed further");
            self.copies.rewrite(&self.history.borrow(), |done| {
                if let Err(e) = done {
                    warn!("placements: copies are not on the disk anew: {e}");
                }
            });
        }
    }

    /// When [`Placements::tick`] is wanted at the latest.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        let waits = self.waits.get() || self.log.durable().0 > self.shown.get();
        let goes = (waits && !self.flushes.get()).then_some(self.next.get());
        let shows = self.shows.get().then_some(now);
        self.exchanges.borrow().values().map(Exchange::due).chain(goes).chain(shows).min()
    }

    /// When [`Placements::reconcile`] is wanted.
    pub fn reconcile_due(&self) -> Option<Micros> {
        self.more.get()
    }

    /// What follows from what is new.
    pub fn reconcile(&self, unix: Micros, now: Micros) -> Vec<Decision> {
        let mut reconciler = self.reconciler.borrow_mut();
        let history = self.history.borrow();
        // What is overdue comes without news; what came is read once that is due.
        let due = self.more.get().is_some_and(|at| at <= now);
        if !due {
            return reconciler.give_up_overdue(unix);
        }
        let (decisions, more) = reconciler.slice(&*history, unix, self.fresh.take());
        self.more.set(more.then_some(now + GOES_ON));
        decisions
    }

    /// Tell of accounts' standing and credit what placements are judged by.
    pub fn update_reconciler(&self, report: impl FnOnce(&mut Reconciler) -> Vec<Decision>) -> Vec<Decision> {
        // What it judges anew waits for the next slice.
        self.more.set(Some(self.more.get().map_or(self.next.get(), |at| at.min(self.next.get()))));
        report(&mut self.reconciler.borrow_mut())
    }

    /// What was placed since then, in Unix time: tenants and keys, with the time at which each was taken.
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

    /// What any node has placed and was not looked at, of that many entries at most: tenants and keys, with the Unix time of each. `seen` has the
    /// last entry of each log that was looked at. Whether there is more.
    pub fn for_each_new_placement(
        &self,
        seen: &mut BTreeMap<Writer, u64>,
        most: usize,
        mut each: impl FnMut(&str, &str, Micros),
    ) -> bool {
        let history = self.history.borrow();
        let mut left = most;
        for writer in history.writers() {
            let last = history.heads(writer).iter().map(|point| point.0).max().unwrap_or(0);
            let at = seen.entry(writer.clone()).or_default();
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

    /// What is known of a key of a class that must not run twice.
    pub fn key_state(&self, class: &str, key: &str) -> KeyState {
        self.keys.borrow().state(class, key)
    }

    /// Why nothing can be written down any more, where it can't.
    pub fn failure(&self) -> Option<LogError> {
        self.log.failed()
    }

    /// Write a placement down. Whether it may be sent at once: one that must not run twice has to be on the disk first.
    pub fn record_placement(&self, id: DispatchId, timed: Timed) -> bool {
        let guarded = matches!(&timed.entry, Entry::Placed(p) if p.guarded);
        if !guarded {
            let held = {
                Some(self.log_recovery.borrow_mut())
                    .filter(|b| b.is_buffering())
                    .map(|mut b| b.buffer_placement(timed.clone()))
            };
            if let Some(slot) = held.unwrap_or_else(|| self.later(timed).map(PlacementRef::Written)) {
                self.out.borrow_mut().insert(id, slot);
            }
            return true;
        }
        if !self.peers_answered() {
            let _ = self.writes.send(DiskEvent::Refused(id, "partners were not asked yet".to_string()));
            return false;
        }
        let writes = self.writes.clone();
        let appended = self.log.append(&timed, move |done| {
            // Nobody hears it where the node ends.
            let _ = writes.send(DiskEvent::Placed(id, done.map(|_| ())));
        });
        match appended {
            Ok(number) => {
                self.keys.borrow_mut().apply_entry(&self.log.writer(), number, &timed.entry);
                self.out.borrow_mut().insert(id, PlacementRef::Written(number));
            }
            Err(e) => drop(self.writes.send(DiskEvent::Placed(id, Err(e)))),
        }
        false
    }

    /// An attempt has ended.
    pub fn record_end(&self, id: DispatchId, ran: Ran, at: Micros) {
        let Some(slot) = self.out.borrow_mut().remove(&id) else { return };
        let how = match ran {
            Ran::Served => End::Served,
            Ran::Never => End::NeverRan,
            Ran::Perhaps => End::Unknown,
        };
        match slot {
            PlacementRef::Buffered(ticket) => self.log_recovery.borrow_mut().buffer_end(ticket, at, how),
            PlacementRef::Written(of) => {
                if self.later(Timed { at, entry: Entry::Ended { of, how } }).is_none() {
                    self.keys.borrow_mut().apply_end(&self.log.writer(), of, how);
                    self.unwritten.borrow_mut().insert(of, how);
                }
            }
        }
    }

    fn later(&self, timed: Timed) -> Option<u64> {
        let number = self.log.append_deferred(&timed);
        self.waits.set(true);
        match number {
            Ok(number) => {
                self.keys.borrow_mut().apply_entry(&self.log.writer(), number, &timed.entry);
                Some(number)
            }
            // Counted by the log, and told once by whoever is denied for it.
            Err(_) => None,
        }
    }

    /// Have what waits on the disk.
    fn flush(&self) {
        self.flushes.set(true);
        let writes = self.writes.clone();
        self.log.flush_with(&self.copies, move |done| {
            if let Err(e) = done {
                warn!("placements: {e}");
            }
            // Nobody hears it where the node ends.
            let _ = writes.send(DiskEvent::Flushed);
        });
    }

    /// For operators: the log's last entry, how many keys are remembered, what went unrecorded, and what stands for all that is known.
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
