//! Recovery of a node after a power loss, as pure decisions: no I/O, no clock and no source of randomness.
//!
//! - [`disk_trust`]: how far data found on the disk is trusted, and for how long;
//! - [`incarnations`]: what nodes remember of each other's disks and processes;
//! - [`at_most_once`]: how a request that must not run twice is handled;
//! - [`phases`]: the phases from the start of the process to full service, with their timeouts;
//! - [`slow_start`]: how much load is admitted while servers warm up, and when rejected clients retry.

pub mod at_most_once;
pub mod disk_trust;
pub mod incarnations;
pub mod phases;
pub mod slow_start;

pub use shorepath_types::Micros;
