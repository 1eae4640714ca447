//! The schedule of a drain. An operator takes the node for empty some seconds after the call: by then it holds no idle connection and
//! no recent job.

use std::time::{Duration, Instant};

/// When operators take the node for empty, from the start of the drain.
const EMPTY_AFTER: Duration = Duration::from_millis(4_000);
/// A job that is at least this old may still be held then.
const MAX_RECENT_JOB_AGE: Duration = Duration::from_millis(2_000);
/// Time for the operator's call to arrive and for a client to notice the end of its connection.
const TRANSIT: Duration = Duration::from_millis(100);
/// Idle connections close this long after the start. By then the upstream balancer sends no new connections here, so that clients
/// which reconnect reach other nodes.
const IDLE_DELAY: Duration = Duration::from_millis(800);
/// An idle connection stays open for at least this long after it became idle.
const MIN_IDLE: Duration = Duration::from_millis(400);
/// How much earlier than the node has to be empty the last requests are refused that have not arrived completely, so that their
/// clients receive the answer.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// The times of a drain.
#[derive(Clone, Copy, Debug)]
pub struct Draining {
    started_at: Instant,
}

impl Draining {
    /// Creates the schedule of a drain that starts at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Draining { started_at }
    }

    /// Returns when to close a connection that has been idle since `idle_since`.
    pub fn close_idle_at(&self, idle_since: Instant) -> Instant {
        (self.started_at + IDLE_DELAY).max(idle_since + MIN_IDLE)
    }

    /// Returns whether a job that arrived at `arrived` is still taken. A later one is refused: it could be held, as a recent job, when
    /// the node has to be empty.
    pub fn accepts(&self, arrived: Instant) -> bool {
        arrived < self.started_at + EMPTY_AFTER - MAX_RECENT_JOB_AGE - TRANSIT
    }

    /// Returns when a request that is being received is refused.
    pub fn requests_complete_by(&self) -> Instant {
        self.started_at + EMPTY_AFTER - REFUSAL_TIME
    }
}
