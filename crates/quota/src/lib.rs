//! Fleet-wide budgets, choices only: no I/O, no clock, no randomness.
//!
//! A budget is a named whole: so many units a second, or so many in use at once. A divider grants parts of it to nodes for a
//! time. What holds at every instant, whatever is lost, late, doubled or cut off: the sum of what all nodes may still use is
//! at most the whole. It rests on one bound, that no clock gains or loses more than a stated part of real time; clocks need not
//! agree. The argument is the one of leases ("Leases: an efficient fault-tolerant mechanism for distributed file cache
//! consistency", Gray and Cheriton, section 2), with the drift on both sides.
//!
//! - [`config`]: what the operator wants;
//! - [`allocation`]: which node should have how much;
//! - [`ledger`]: what the divider has granted and can't grant again yet;
//! - [`lease`]: what a node may use now;
//! - [`rate_limiter`]: keeping to a part that is so many a second;
//! - [`messages`]: what nodes and dividers say to each other;
//! - [`allocator`]: one divider: who asks for what, what is to be agreed on, and what follows from it;
//! - [`client`]: one node: when it asks whom, and what it may use of every budget.

pub mod allocation;
pub mod allocator;
pub mod client;
pub mod config;
pub mod lease;
pub mod ledger;
pub mod messages;
pub mod rate_limiter;

use serde::{Deserialize, Serialize};

pub use shorepath_types::{ClockSkew, Micros, NodeId};

const MILLION: u32 = 1_000_000;

/// One life of a node: a process from its start to its end. Two processes under one name have different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The node.
    pub node: NodeId,
    /// Which of its lives; drawn at the start, never used twice.
    pub incarnation: u64,
}

/// For how long grants hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeasePeriod {
    /// The length of a grant, in microseconds of real time.
    pub length: Micros,
    /// A clock gains or loses this many millionths of real time at most.
    pub drift_ppm: u32,
    /// What was begun under a grant may be in use for this long after its end: the longest job, for budgets of what is in use
    /// at once; 0 for budgets by the second.
    pub longest: Micros,
}

impl LeasePeriod {
    /// How long a holder may begin something under a grant, on its own clock, from the moment at which it asked.
    pub fn for_holder(&self) -> Micros {
        let kept = i128::from(MILLION.saturating_sub(self.drift_ppm));
        (i128::from(self.length) * kept / i128::from(MILLION)) as Micros
    }

    /// How long a divider has to take a grant for used, on its own clock, from the moment at which it knew of it.
    pub fn for_allocator(&self) -> Micros {
        let gained = i128::from(self.length + self.longest) * i128::from(self.drift_ppm);
        let rounded = (gained + i128::from(MILLION) - 1) / i128::from(MILLION);
        self.length + self.longest + rounded as Micros
    }
}

/// A part of a budget, granted to one life of a node. It takes the place of all with lower numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Whose.
    #[serde(rename = "life")]
    pub holder: NodeIncarnation,
    /// Which fleet gave it: drawn anew each time a fleet is founded, which is when its dividers begin with nothing. Numbers of
    /// different ones have no order; what one gave has ended before the next one gives anything.
    pub epoch: u32,
    /// Its number; grows with each grant of the budget, whoever divides.
    pub number: u64,
    /// Units, of a second or in use at once.
    pub amount: u64,
    /// In which the asking was done that this answers, by the holder's own count.
    pub answers: u64,
    /// For how long it holds from that asking on, in microseconds of real time.
    pub length: Micros,
}
