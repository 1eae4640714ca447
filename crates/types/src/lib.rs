//! Types for time and node ids that all packages share.
//!
//! Packages without I/O never read a clock: their callers pass the current time in.

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

/// A point in time or a duration, in microseconds. A function that takes a point in time documents its clock.
pub type Micros = i64;

/// An error that tests add to a monotonic clock: an offset and a drift.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockSkew {
    /// The reading of the clock when it starts, in microseconds.
    pub offset: Micros,
    /// How much faster than real time the clock runs, in millionths; negative for a slow clock.
    pub drift_ppm: i64,
}

impl ClockSkew {
    /// Returns the reading of the clock after `elapsed` microseconds of real time.
    pub fn at(&self, elapsed: Micros) -> Micros {
        let (seconds, rest) = (elapsed / 1_000_000, elapsed % 1_000_000);
        self.offset + elapsed + seconds * self.drift_ppm + rest * self.drift_ppm / 1_000_000
    }
}

/// The id of a node, derived from its name so that it does not depend on the order of nodes in a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u32);

impl NodeId {
    /// Returns the id of the node with this name: 32 bits of its SipHash. Configuration files are rejected where two names
    /// have the same id.
    pub fn of(name: &str) -> NodeId {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        NodeId(hasher.finish() as u32)
    }
}
