//! Which node acted on which version: no I/O, no clock, no randomness.
//!
//! - [`version`]: what steers a node, each item with its version, and how far one vector is behind another;
//! - [`gossip`]: what nodes tell each other of it, told on by all;
//! - [`audit_log`]: what a node writes down of it, bound by hashes and bounded in size;
//! - [`version_lag`]: who is behind what is required, and what follows;
//! - [`rollout`]: a change in steps, judged beside what was before;
//! - [`decision_counters`]: decisions counted by version, with a sample of single ones.

pub mod audit_log;
pub mod decision_counters;
pub mod gossip;
pub mod rollout;
pub mod version;
pub mod version_lag;

pub use shorepath_types::Micros;
