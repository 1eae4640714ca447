//! Sites in virtual time: the real scheduler, site health, load shifting, recovery ramp and accounts with
//! credits, connected by messages that are delayed and lost. The models of servers, networks and clients are
//! simple: the simulation shows where load goes and which node knows of which state when, not how load is
//! balanced.

pub mod file;
mod node;
mod simulation;
pub mod study;

pub use file::Scenario;
pub use simulation::{run, Outcome, RequestRecord};

/// Times and durations in microseconds.
pub type Micros = i64;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
