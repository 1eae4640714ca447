//! Fault-injection tests of real processes on loopback.
//!
//! A seeded script starts several processes of the program and injects faults. All links between them, to discovery and to the
//! backend servers lead through relays that delay, cut, throttle and reset them. Everything that happens is recorded in a
//! history, and checkers read only that history.

pub mod addresses;
pub mod check;
mod disks;
pub mod histories;
pub mod history;
mod http;
pub mod measure;
mod process;
pub mod quota_servers;
pub mod relay;
pub mod runner;
pub mod script;
pub mod shrink;
pub mod sites;
pub mod standing;
mod stubs;

pub use runner::{run, RunError};
