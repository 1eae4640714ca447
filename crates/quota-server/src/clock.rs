//! The monotonic clock for lease terms.

use shorepath_quota::{ClockSkew, Micros};
use std::time::Instant;

/// A monotonic clock, to which tests may add an offset and a drift.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    skew: ClockSkew,
}

impl Clock {
    /// Starts a clock.
    pub fn new(skew: ClockSkew) -> Clock {
        Clock { origin: Instant::now(), skew }
    }

    /// Returns the time since the start of the clock, changed by its skew.
    pub fn now(&self) -> Micros {
        self.skew.at(self.origin.elapsed().as_micros() as Micros)
    }
}
