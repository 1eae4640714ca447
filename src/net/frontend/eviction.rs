//! Idle connections, and which of them gives way when there are too many.

use super::Frontend;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Under pressure, how long a request that has begun may stand still; slow ones come in pieces about
/// 0.1 s apart.
const STILL: Duration = Duration::from_millis(500);
/// Under pressure, how long a new connection may say nothing: its request may be on the way.
const ANNOUNCE_GRACE: Duration = Duration::from_millis(10);

/// How soon a connection has to go when another needs its place, the first one first. Guards the
/// connections of usual clients against hundreds that were opened to say nothing, or half a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rank {
    /// It never handed in a job, and nothing has begun.
    Silent,
    /// A request has begun; since then, or since more of it came, it stands still.
    Begun,
    /// It has handed in a job before.
    Served,
}

impl Rank {
    const ALL: [Rank; 3] = [Rank::Silent, Rank::Begun, Rank::Served];

    /// How long one of that rank may stand still before it can be made to go.
    pub(super) fn grace(self) -> Duration {
        match self {
            Rank::Silent => ANNOUNCE_GRACE,
            Rank::Begun => STILL,
            Rank::Served => Duration::ZERO,
        }
    }
}

/// Where a connection stands among those that may have to go: since when in its rank, and how many
/// had come to stand there before.
pub(super) type Place = (Rank, (Instant, u64));

/// What closes the connections of one rank, the one that has stood still for longest first.
pub(super) type Standing = BTreeMap<(Instant, u64), oneshot::Sender<()>>;

impl Frontend {
    /// Evict one if there are more connections than there may be without those that were told to go already.
    /// Guards against closing more than one for each that comes: those look for what has come before they end.
    pub(super) fn free_capacity(&self) -> Result<(), Option<Instant>> {
        match self.connections.get() > self.most.get() + self.going.get() {
            true => self.evict(),
            false => Err(None),
        }
    }

    /// Close the connection that can best be done without, or tell when the first may be.
    pub(super) fn evict(&self) -> Result<(), Option<Instant>> {
        let (now, mut soonest) = (Instant::now(), None::<Instant>);
        for (rank, standing) in Rank::ALL.into_iter().zip(self.idle.borrow_mut().iter_mut()) {
            let Some(due) = standing.first_key_value().map(|(key, _)| key.0 + rank.grace()) else { continue };
            // What has served is spared for the moment in which one that says nothing may be let go.
            let spared = rank == Rank::Served && soonest.is_some_and(|at| at <= now + ANNOUNCE_GRACE);
            if spared {
                break;
            }
            if due > now {
                soonest = Some(soonest.map_or(due, |s| s.min(due)));
            } else if let Some((_, close)) = standing.pop_first() {
                self.going.set(self.going.get() + 1);
                // One that is just ending by itself needs no telling.
                let _ = close.send(());
                return Ok(());
            }
        }
        Err(soonest)
    }

    /// Take a place among the connections that may have to go.
    pub(super) fn stay_idle(&self, rank: Rank) -> (Place, oneshot::Receiver<()>) {
        let (close, closed) = oneshot::channel();
        (self.readiness(rank, close), closed)
    }

    pub(super) fn readiness(&self, rank: Rank, close: oneshot::Sender<()>) -> Place {
        let number = self.idled.get();
        self.idled.set(number + 1);
        let key = (Instant::now(), number);
        self.idle.borrow_mut()[rank as usize].insert(key, close);
        // Guards against a full node that waits for an end although one can be evicted: a burst is
        // accepted before any of its connections has come to stand idle.
        self.changed.notify_one();
        (rank, key)
    }

    /// Stand idle no more, be it to go on or to end. One that was told to go and goes on makes no room: another
    /// may have to.
    pub(super) fn rise(&self, place: Place) {
        if self.stir(place).is_none() {
            self.going.set(self.going.get() - 1);
            self.changed.notify_one();
        }
    }

    /// Give the place up, unless it was told to go.
    pub(super) fn stir(&self, place: Place) -> Option<oneshot::Sender<()>> {
        self.idle.borrow_mut()[place.0 as usize].remove(&place.1)
    }
}
