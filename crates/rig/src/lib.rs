//! Fault-injection tests of real processes on loopback.
//!
//! A seeded script starts several processes of the program and injects faults. All links between them, to discovery and to the
//! backend servers lead through relays that delay, cut, throttle and reset them. Everything that happens is recorded in a
//! history, and checkers read only that history.

pub mod addresses;
pub mod check;
mod disks;
pub mod history;
mod http;
pub mod measure;
pub mod placement_checks;
mod process;
pub mod quota_servers;
pub mod relay;
pub mod runner;
pub mod script;
pub mod shrink;
pub mod site_checks;
pub mod sites;
mod stubs;

pub use runner::{run, RunError};
