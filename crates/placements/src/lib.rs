//! Records of placements: which job was sent to which server, what the node knew at that time, and how the
//! job ended.
//!
//! Each node with a disk appends to a log of its own. Copies of several logs are merged by an operation that
//! is commutative, associative and idempotent, so order, duplicates and partial delivery don't matter. Only
//! [`log`] does I/O; the package reads no clock and no random numbers.

pub mod anti_entropy;
pub mod compaction;
pub mod hash_chain;
pub mod history;
pub mod idempotency_index;
pub mod log;
pub mod log_recovery;
pub mod reconcile;

use serde::{Deserialize, Serialize};

pub use shorepath_types::Micros;

/// Identifies a log: the node that writes it, and the number that was drawn at random when the log was
/// started.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// Name of the node's site.
    pub site: String,
    /// Name of the node.
    pub node: String,
    /// Random number of the log. A node that lost its disk starts another log under another number.
    pub log: u64,
}

/// A job that was sent to a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// Idempotency key by which repeats of the job are recognized, or the object that the job concerns;
    /// `None` where the request names neither.
    pub key: Option<String>,
    /// Name of the request class.
    pub class: String,
    /// Whether the job must not run twice.
    pub guarded: bool,
    /// Tenant of the request; `None` for a request without one.
    pub tenant: Option<String>,
    /// Id of the server in the server list.
    pub server: String,
    /// Number of the tenant's latest account standing that the node knew when it accepted the job.
    pub standing: u64,
    /// When the job was accepted, in microseconds by the writer's clock. A job that was accepted before its
    /// account was closed counts as running work, however late it is placed. A repeat of a job that the node
    /// knows carries the time of the first request.
    pub taken: Micros,
    /// Whether the account standing could not be confirmed because the site was isolated.
    pub on_credit: bool,
    /// Revision of the server list that was in use.
    pub list: u64,
    /// Fencing token of the lease under which the job was placed; 0 for a job that may be repeated.
    pub fence: u64,
}

/// Outcome of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    /// The job ran and was answered.
    Served,
    /// The job certainly never ran.
    NeverRan,
    /// The job may have run; its result is unknown.
    Unknown,
}

/// One entry of a log. Entries are numbered from 1 without gaps.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A job is sent to a server. For a job that must not run twice the entry is on the disk before the first
    /// byte is sent.
    Placed(Placement),
    /// A placement of the same log has ended.
    Ended {
        /// Number of the placement's entry.
        of: u64,
        /// Outcome of that placement.
        how: End,
    },
}

/// An entry with the time at which it was written.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timed {
    /// Time of the entry in microseconds, by the writer's clock.
    pub at: Micros,
    /// The entry itself.
    pub entry: Entry,
}
