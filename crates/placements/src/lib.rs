//! What each site has placed where: which job was given to which server, under what it knew, and how that ended.
//!
//! Each node with a disk writes a log of its own; histories of several are merged by a join, so that order, repetition and partial
//! delivery don't matter. No I/O but in [`log`], no clock, no randomness.

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

/// Who writes a log: a node of a site, by its number, with the number drawn when its log was founded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Writer {
    /// The site's name.
    pub site: String,
    /// The node's name.
    pub node: String,
    /// Drawn when the log was founded; a node whose disk was lost founds another.
    pub log: u64,
}

/// A job that was given to a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// What repeats are known by, or what it is about, where the request says so.
    pub key: Option<String>,
    /// Its class.
    pub class: String,
    /// It must not run twice.
    pub guarded: bool,
    /// Its tenant, where there is one.
    pub tenant: Option<String>,
    /// The server, by its id in the list.
    pub server: String,
    /// The number of the tenant's standing that was known when the job was taken.
    pub standing: u64,
    /// When the job was taken, by the writer's clock: what was taken before a closing is running work, whenever it is placed. A repeat
    /// of a job that the node knows carries the first one's time.
    pub taken: Micros,
    /// That standing could not be confirmed: the site was alone.
    pub on_credit: bool,
    /// The revision of the list that was followed.
    pub list: u64,
    /// The fence of the lease under which it was placed; 0 for what may be repeated.
    pub fence: u64,
}

/// How a placement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum End {
    /// It was served.
    Served,
    /// It surely never ran.
    NeverRan,
    /// It may have run; nobody knows.
    Unknown,
}

/// One entry of a log. Entries count from 1 without a gap.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A job was given to a server; for one that must not run twice this is on the disk before its first byte is sent.
    Placed(Placement),
    /// The placement of that number has ended.
    Ended {
        /// The number of the placement in the same log.
        of: u64,
        /// How.
        how: End,
    },
}

/// An entry at its time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Timed {
    /// When, by the writer's clock.
    pub at: Micros,
    /// What.
    pub entry: Entry,
}
