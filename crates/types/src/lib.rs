//! Time and node ids as all packages use them.
//!
//! Packages that decide never read a clock: whoever drives them passes the current time in.

#![warn(
    clippy::cognitive_complexity,
    clippy::fn_params_excessive_bools,
    clippy::match_bool,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A point in time or a length of time, in microseconds. Which clock counts is documented where it is used.
pub type Micros = i64;

/// How a steady clock is wrong on purpose, in tests: its origin and its rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockSkew {
    /// It starts there, in microseconds.
    pub offset: Micros,
    /// It gains so many millionths.
    pub drift_ppm: i64,
}

impl ClockSkew {
    /// What it shows when that much time has passed.
    pub fn at(&self, elapsed: Micros) -> Micros {
        let (seconds, rest) = (elapsed / 1_000_000, elapsed % 1_000_000);
        self.offset + elapsed + seconds * self.drift_ppm + rest * self.drift_ppm / 1_000_000
    }
}

/// A node, by its name: lists of different versions may name nodes in another order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u32);

impl NodeId {
    /// The id that represents a name everywhere; the operators' file must not hold two names with one id.
    pub fn of(name: &str) -> NodeId {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        NodeId(hasher.finish() as u32)
    }
}
