//! The clock that stamps the scheduler's events.

use shorepath_scheduler::Micros;
use std::time::{Duration, Instant, SystemTime};

/// A monotonic clock that starts at the Unix time of its creation, so that later steps of the system clock don't affect it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    pub(super) origin: Instant,
    /// Unix time at `origin`.
    pub(super) origin_unix: Micros,
}

impl Clock {
    pub(super) fn start() -> Self {
        let origin_unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix: origin_unix.as_micros() as Micros }
    }
    pub(super) fn now(&self) -> Micros {
        self.origin_unix + self.origin.elapsed().as_micros() as Micros
    }
    /// Converts a time of this clock; times before the start become the start. `None` for a time beyond the range of
    /// [`Instant`].
    pub(super) fn instant(&self, at: Micros) -> Option<Instant> {
        self.origin.checked_add(Duration::from_micros((at - self.origin_unix).max(0) as u64))
    }
}
