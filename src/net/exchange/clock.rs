//! The clock of the decisions.

use shorepath_scheduler::Micros;
use std::time::{Duration, Instant, SystemTime};

/// The time as the module counts it: Unix time as the node started, carried on by the steady clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    pub(super) origin: Instant,
    pub(super) unix: Micros,
}

impl Clock {
    pub(super) fn start() -> Self {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix: unix.as_micros() as Micros }
    }
    pub(super) fn now(&self) -> Micros {
        self.unix + self.origin.elapsed().as_micros() as Micros
    }
    /// When that is, or was; `None` for further away than clocks go.
    pub(super) fn instant(&self, at: Micros) -> Option<Instant> {
        self.origin.checked_add(Duration::from_micros((at - self.unix).max(0) as u64))
    }
}
