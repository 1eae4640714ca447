//! The times of a node that was told to stop. They follow from the longest deadline, as the time does at
//! which it may be killed.

use std::time::{Duration, Instant};

/// New connections and requests go on coming for this long after SIGTERM, and each must be answered.
const COMING: Duration = Duration::from_millis(700);
/// Others may take a moment for this much earlier or later.
const SLACK: Duration = Duration::from_millis(50);
/// The longest deadline is counted as this where it is longer.
const COUNTED: Duration = Duration::from_secs(3);
/// What an answer may need to arrive, or a quarter of a shorter longest deadline.
const ARRIVAL: Duration = Duration::from_millis(200);

/// When a node that was told to stop does what.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    notified: Instant,
    /// The longest deadline, as it is counted.
    longest: Duration,
}

impl Stopping {
    /// Told then, by settings with that longest deadline.
    pub fn new(notified: Instant, longest: Duration) -> Self {
        Stopping { notified, longest: longest.min(COUNTED) }
    }

    /// The same by settings that are read now: its times can only come sooner, or the node could be killed by
    /// the older ones before it has answered.
    pub fn hastened(self, longest: Duration) -> Self {
        Stopping { longest: self.longest.min(longest), ..self }
    }

    /// Until then the node takes connections as before.
    pub fn refuses(&self) -> Instant {
        self.notified + COMING + SLACK
    }

    /// Until then it serves the connections that clients have. Guards clients against having no node at all
    /// where the next one is told to stop before the last one is back: they go on using these connections for
    /// as long as they stay open. What comes last still has half of the longest deadline.
    pub fn closes(&self) -> Instant {
        (self.last_answer() - self.longest / 2).max(self.refuses())
    }

    /// By then a request that has begun has to be whole once connections close: in what is left it is answered.
    pub fn whole_by(&self) -> Instant {
        self.last_answer() - self.longest / 6
    }

    /// What comes after the time for new connections has its answer by then: the longest deadline after that
    /// time the node may be killed.
    fn last_answer(&self) -> Instant {
        self.notified + COMING + self.longest - ARRIVAL.min(self.longest / 4)
    }

    /// How long what came then can be waited for, where the time to be killed bounds that.
    pub fn timeout(&self, arrived: Instant) -> Option<Duration> {
        let bound = arrived >= self.notified + COMING - SLACK;
        bound.then(|| self.last_answer().saturating_duration_since(arrived))
    }
}
