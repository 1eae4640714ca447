//! How a node comes back from a loss of power, choices only: no I/O, no clock, no randomness of its own.
//!
//! - [`disk_trust`]: what is believed of what the disk holds, and for how long;
//! - [`incarnations`]: what nodes remember of each other's lives;
//! - [`at_most_once`]: what becomes of a request that must not run twice;
//! - [`phases`]: from dark to serving, with what each step waits for, for how long, and what then;
//! - [`slow_start`]: how much is admitted while servers warm up, and when those are told to come back that are denied.

pub mod at_most_once;
pub mod disk_trust;
pub mod incarnations;
pub mod phases;
pub mod slow_start;

pub use shorepath_types::Micros;
