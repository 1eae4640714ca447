//! The schedule of a graceful shutdown. It follows from the longest deadline of a request, as does the time at which the process
//! may be killed.

use std::time::{Duration, Instant};

/// How long new connections and requests keep arriving after SIGTERM. Each of them must be answered.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(700);
/// Tolerance of [`ARRIVAL_PERIOD`]: clients may measure it from a slightly different moment.
const SLACK: Duration = Duration::from_millis(50);
/// Upper limit of the longest deadline in the schedule.
const MAX_LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// Time for an answer to reach the client; at most a quarter of the longest deadline is reserved for it.
const ANSWER_TRANSIT: Duration = Duration::from_millis(200);

/// The times of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub struct Stopping {
    started_at: Instant,
    /// The longest deadline of a request, at most [`MAX_LONGEST_DEADLINE`].
    longest_deadline: Duration,
}

impl Stopping {
    /// Creates the schedule of a shutdown that starts at `started_at`, under settings with that longest deadline.
    pub fn new(started_at: Instant, longest_deadline: Duration) -> Self {
        Stopping { started_at, longest_deadline: longest_deadline.min(MAX_LONGEST_DEADLINE) }
    }

    /// Returns the schedule under new settings. Its times never get later: the process may be killed at the time that follows from the
    /// old settings.
    pub fn shortened(self, longest_deadline: Duration) -> Self {
        Stopping { longest_deadline: self.longest_deadline.min(longest_deadline), ..self }
    }

    /// Returns when the node stops accepting new connections.
    pub fn refuse_at(&self) -> Instant {
        self.started_at + ARRIVAL_PERIOD + SLACK
    }

    /// Returns when the node starts to close the clients' connections. This is as late as possible, because in a rolling restart the
    /// previous node may not be back yet and clients have only these connections. The last requests still have half of
    /// the longest deadline.
    pub fn close_at(&self) -> Instant {
        (self.last_answer_at() - self.longest_deadline / 2).max(self.refuse_at())
    }

    /// Returns when a request that is being received has to be complete so that there is time to answer it.
    pub fn requests_complete_by(&self) -> Instant {
        self.last_answer_at() - self.longest_deadline / 6
    }

    /// Returns when the last answer has to be sent. The process may be killed once the longest deadline has passed after the
    /// arrival period.
    fn last_answer_at(&self) -> Instant {
        self.started_at + ARRIVAL_PERIOD + self.longest_deadline
            - ANSWER_TRANSIT.min(self.longest_deadline / 4)
    }

    /// Returns the longest time for answering a request that arrived at `arrived`; `None` if the shutdown does not limit it.
    pub fn timeout(&self, arrived: Instant) -> Option<Duration> {
        let is_limited = arrived >= self.started_at + ARRIVAL_PERIOD - SLACK;
        is_limited.then(|| self.last_answer_at().saturating_duration_since(arrived))
    }
}
