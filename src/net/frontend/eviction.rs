//! Selects the idle connections to close when there are too many connections from clients.

use super::Frontend;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// At the connection limit, how long a partly received request may get no further bytes. Slow clients send pieces about 0.1 s
/// apart.
const STALLED_REQUEST_GRACE: Duration = Duration::from_millis(500);
/// At the connection limit, how long a new connection may be without a request, which may be in flight.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(10);

/// The order in which idle connections are evicted, the first rank first. Guards connections of active clients against
/// hundreds that send nothing, or half a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionRank {
    /// The connection has not submitted a job, and no request has started.
    NoRequest,
    /// A request has been received in part.
    PartialRequest,
    /// The connection has submitted a job before.
    Served,
}

impl EvictionRank {
    const ALL: [EvictionRank; 3] =
        [EvictionRank::NoRequest, EvictionRank::PartialRequest, EvictionRank::Served];

    /// Returns how long a connection of this rank must have been idle before it can be evicted.
    pub(super) fn grace(self) -> Duration {
        match self {
            EvictionRank::NoRequest => FIRST_REQUEST_GRACE,
            EvictionRank::PartialRequest => STALLED_REQUEST_GRACE,
            EvictionRank::Served => Duration::ZERO,
        }
    }
}

/// The position of a connection in the eviction queues: its rank, since when it has been queued, and a number that makes the
/// position unique.
pub(super) type QueueEntry = (EvictionRank, (Instant, u64));

/// Signals that close the connections of one rank, ordered by idle time, the longest first.
pub(super) type EvictionQueue = BTreeMap<(Instant, u64), oneshot::Sender<()>>;

impl Frontend {
    /// Evicts a connection if there are more than allowed, not counting those that are being evicted. Guards against closing
    /// more than one for each new connection: an evicted one still reads what has arrived before it closes.
    ///
    /// Fails with the time at which one can be evicted, or `None` if there is none to evict.
    pub(super) fn evict_excess(&self) -> Result<(), Option<Instant>> {
        match self.open_connections.get() > self.max_connections.get() + self.evicting.get() {
            true => self.evict(),
            false => Err(None),
        }
    }

    /// Closes the idle connection of the lowest rank that has been idle for longest.
    ///
    /// Fails with the time at which one can be evicted, or `None` if there is none to evict.
    pub(super) fn evict(&self) -> Result<(), Option<Instant>> {
        let (now, mut next_due) = (Instant::now(), None::<Instant>);
        for (rank, queue) in EvictionRank::ALL.into_iter().zip(self.eviction_queues.borrow_mut().iter_mut()) {
            let Some(due) = queue.first_key_value().map(|(key, _)| key.0 + rank.grace()) else { continue };
            // Connections of active clients are kept if one without a request can be evicted shortly.
            let is_spared =
                rank == EvictionRank::Served && next_due.is_some_and(|at| at <= now + FIRST_REQUEST_GRACE);
            if is_spared {
                break;
            }
            if due > now {
                next_due = Some(next_due.map_or(due, |s| s.min(due)));
            } else if let Some((_, close)) = queue.pop_first() {
                self.evicting.set(self.evicting.get() + 1);
                // The receiver is dropped if the connection is closing by itself.
                let _ = close.send(());
                return Ok(());
            }
        }
        Err(next_due)
    }

    /// Closes the connection that has last received a part of a request, if there is one.
    pub(super) fn evict_newest_partial(&self) {
        let newest = self.eviction_queues.borrow_mut()[EvictionRank::PartialRequest as usize].pop_last();
        if let Some((_, close)) = newest {
            self.evicting.set(self.evicting.get() + 1);
            // The receiver is dropped if the connection is closing by itself.
            let _ = close.send(());
        }
    }

    /// Makes a connection a candidate for eviction. The returned receiver yields once it has to close.
    pub(super) fn enter_eviction_queue(&self, rank: EvictionRank) -> (QueueEntry, oneshot::Receiver<()>) {
        let (close, closed) = oneshot::channel();
        (self.enqueue(rank, close), closed)
    }

    pub(super) fn enqueue(&self, rank: EvictionRank, close: oneshot::Sender<()>) -> QueueEntry {
        let number = self.next_queue_number.get();
        self.next_queue_number.set(number + 1);
        let key = (Instant::now(), number);
        self.eviction_queues.borrow_mut()[rank as usize].insert(key, close);
        // Guards against a full node that waits for a connection to close although one can be evicted: a burst is accepted
        // before any of its connections is queued here.
        self.connection_changed.notify_one();
        (rank, key)
    }

    /// Ends the candidacy for eviction of a connection that goes on or closes. If it goes on though it was to be evicted, another
    /// one may be evicted instead.
    pub(super) fn leave_eviction_queue(&self, entry: QueueEntry) {
        if self.remove_from_queue(entry).is_none() {
            self.evicting.set(self.evicting.get() - 1);
            self.connection_changed.notify_one();
        }
    }

    /// Removes a connection from the eviction queues; `None` if it was chosen for eviction before.
    pub(super) fn remove_from_queue(&self, entry: QueueEntry) -> Option<oneshot::Sender<()>> {
        self.eviction_queues.borrow_mut()[entry.0 as usize].remove(&entry.1)
    }
}
