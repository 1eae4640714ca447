//! The times of a node that was told to stop.

use std::time::{Duration, Instant};

/// New connections and requests go on coming for this long after SIGTERM, and each must be answered.
const COMING: Duration = Duration::from_millis(700);
/// Others may take a moment for this much earlier or later.
const SLACK: Duration = Duration::from_millis(50);
/// For this long after SIGTERM it serves the connections that clients have. Guards clients against
/// having no node at all where the next one is told to stop before the last one is back: they go on
/// using these connections for as long as they stay open.
const LAST_REQUEST: Duration = Duration::from_millis(2_000);
/// What comes after the time for new connections has its answer this long after SIGTERM at the latest:
/// from then on the node may be killed.
const LAST_ANSWER: Duration = Duration::from_millis(3_500);

/// When a node that was told to stop does what.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    told: Instant,
}

impl Stopping {
    /// Told then.
    pub fn new(told: Instant) -> Self {
        Stopping { told }
    }

    /// Until then the node takes connections as before.
    pub fn refuses(&self) -> Instant {
        self.told + COMING + SLACK
    }

    /// Until then it serves the connections that clients have.
    pub fn closes(&self) -> Instant {
        self.told + LAST_REQUEST
    }

    /// How long what came then can be waited for, where the time to be killed bounds that.
    pub fn patience(&self, arrived: Instant) -> Option<Duration> {
        let bound = arrived >= self.told + COMING - SLACK;
        bound.then(|| (self.told + LAST_ANSWER).saturating_duration_since(arrived))
    }
}
