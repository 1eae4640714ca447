//! Fleet-wide budgets, without I/O: callers pass in the time, random numbers and received messages.
//!
//! A budget is a named total: a rate of units per second, or a number of units in use at once. A quota server (an allocator)
//! leases shares of it to nodes. At every instant the sum of what all nodes may still use is at most the total, even where
//! messages are lost, delayed or duplicated, or the network is partitioned. This relies only on a bound of the clocks'
//! drift: clocks need not be synchronized. The argument is that of leases ("Leases: an efficient fault-tolerant mechanism
//! for distributed file cache consistency", Gray and Cheriton, section 2), with the drift on both sides.
//!
//! - [`config`]: the configuration file of budgets;
//! - [`allocation`]: max-min fair shares of a total;
//! - [`ledger`]: an allocator's record of grants that have not expired;
//! - [`lease`]: a node's lease on a share of one budget;
//! - [`log_limit`]: how many log lines are written about what others send;
//! - [`rate_limiter`]: a token bucket;
//! - [`source_limits`]: how many datagrams of each source are processed;
//! - [`messages`]: the messages between nodes and allocators;
//! - [`allocator`]: an allocator: claims of nodes, proposals to the replicated log, and answers;
//! - [`client`]: a node's client: its requests, and what it may use of each budget.

pub mod allocation;
pub mod allocator;
pub mod client;
pub mod config;
pub mod lease;
pub mod ledger;
pub mod log_limit;
pub mod messages;
pub mod rate_limiter;
pub mod source_limits;

use serde::{Deserialize, Serialize};

pub use shorepath_types::{ClockSkew, Micros, NodeId};

const MILLION: u32 = 1_000_000;

/// One incarnation of a node: one run of its process. Two processes with the same node name have different incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The id of the node's name.
    pub node: NodeId,
    /// A random number that the process draws when it starts.
    pub incarnation: u64,
}

/// How long grants are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeasePeriod {
    /// The term of a grant, in microseconds of real time.
    pub length: Micros,
    /// The greatest drift of any clock from real time, in millionths.
    pub drift_ppm: u32,
    /// How long a unit that was taken under a grant may stay in use after the grant expires, in microseconds: the longest
    /// duration of a job for budgets of concurrent use, 0 for budgets per second.
    pub longest: Micros,
}

impl LeasePeriod {
    /// Returns how long a holder may take units under a grant, in microseconds of its own clock, counted from its request.
    pub fn for_holder(&self) -> Micros {
        let slowest = i128::from(MILLION.saturating_sub(self.drift_ppm));
        (i128::from(self.length) * slowest / i128::from(MILLION)) as Micros
    }

    /// Returns how long an allocator must count a grant as in use, in microseconds of its own clock, counted from when the
    /// grant was applied there.
    pub fn for_allocator(&self) -> Micros {
        let drift = i128::from(self.length + self.longest) * i128::from(self.drift_ppm);
        let margin = (drift + i128::from(MILLION) - 1) / i128::from(MILLION);
        self.length + self.longest + margin as Micros
    }
}

/// A share of a budget that is leased to one incarnation of a node. It replaces the holder's grants with lower numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The incarnation that may use it.
    #[serde(rename = "life")]
    pub holder: NodeIncarnation,
    /// The epoch of the allocators' replicated log: a random number that is drawn when an empty log is initialized. Grant
    /// numbers of different epochs can't be compared; all grants of one epoch expire before the next one begins.
    pub epoch: u32,
    /// Increases with each grant of the budget within an epoch, also across changes of the leader.
    pub number: u64,
    /// Units per second, or units in use at once.
    pub amount: u64,
    /// The number of the holder's request that this grant answers.
    pub answers: u64,
    /// The term, counted from the time of that request, in microseconds of real time.
    pub length: Micros,
}
