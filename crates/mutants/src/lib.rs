//! Simulations of a fleet in virtual time, repeated once for each mutation of one message.
//!
//! A system of cores without I/O ([`simulation::System`]) runs once with its seed, and all its messages are recorded. Then it runs
//! again for each message and each mutation of it ([`change::Change`]): the same run up to that message, a different one after it.
//! No run may panic, no invariant may be violated at any time, and the system must settle at the end. Rejected messages are counted by
//! reason.
//!
//! - [`simulation`]: the interface of a system, and one run of it;
//! - [`change`]: the mutations of one message;
//! - [`campaign`]: the selection of mutants, and the report of their outcomes;
//! - [`scenario`]: a system of processes with scheduled faults, which takes about 60 lines to add (`tests/custom_scenario.rs` has an
//!   example);
//! - [`systems`]: the simulated systems: quota, membership, accounts, site health, placements, key ownership and load shifting.

pub mod campaign;
pub mod change;
pub mod scenario;
pub mod simulation;
pub mod systems;

/// A point in virtual time, or a duration, in microseconds.
pub type Micros = i64;
