//! Audit of the configuration versions that nodes act on: no I/O, no clock and no source of randomness.
//!
//! - [`version`]: versions of the configuration items of a node, and how far one version vector lags behind another;
//! - [`gossip`]: gossip of version vectors and log heads between nodes;
//! - [`audit_log`]: a node's hash-chained log of versions and decisions, bounded in size;
//! - [`version_lag`]: nodes that lag behind the required versions, and how they are restricted;
//! - [`rollout`]: staged rollout of a change, with canaries compared to the other nodes;
//! - [`decision_counters`]: decision counts per version, with a rate-limited sample of single decisions.

pub mod audit_log;
pub mod decision_counters;
pub mod gossip;
pub mod rollout;
pub mod version;
pub mod version_lag;

pub use shorepath_types::Micros;
