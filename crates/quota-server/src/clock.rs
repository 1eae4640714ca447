//! The steady clock that leases are counted by.

use shorepath_quota::{ClockSkew, Micros};
use std::time::Instant;

/// A clock that goes on evenly; tests have it wrong on purpose.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    skew: ClockSkew,
}

impl Clock {
    /// One that begins now.
    pub fn new(skew: ClockSkew) -> Clock {
        Clock { origin: Instant::now(), skew }
    }

    /// The time on it.
    pub fn now(&self) -> Micros {
        self.skew.at(self.origin.elapsed().as_micros() as Micros)
    }
}
