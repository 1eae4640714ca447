//! Account standing: which tenants' work a load balancer admits. No I/O, no clock and no randomness of its own.
//!
//! An account is a tenant, and its standing is set by the operators in a signed, numbered accounts file that they submit to any
//! site. New work of a closing account is refused and its running work finishes. Callers verify files and messages
//! (`shorepath-message-auth`) before they pass them to this package.
//!
//! [`config`] parses accounts files, [`registry`] merges them, [`gossip`] distributes them to all nodes, [`freshness`] tracks whether
//! standing is confirmed, [`in_flight`] recognizes repeats of accepted requests, [`credit`] limits new jobs while standing
//! is unconfirmed, and [`admission`] decides on requests.

pub mod admission;
pub mod config;
pub mod credit;
pub mod freshness;
pub mod gossip;
pub mod in_flight;
pub mod registry;

use serde::{Deserialize, Serialize};

pub use shorepath_types::Micros;

/// The standing of an account, from the mildest to the strictest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AccountStatus {
    /// All work is admitted.
    #[default]
    Good,
    /// All work is admitted again, after the account was closing or closed.
    Reopened,
    /// All work is admitted, and the account is reported as warned.
    Warned,
    /// New work is refused; accepted jobs run to their final answers.
    Closing,
    /// New work is refused and accepted jobs are stopped.
    Closed,
}

impl AccountStatus {
    /// Whether new work is refused.
    pub fn rejects_new_work(self) -> bool {
        self >= AccountStatus::Closing
    }
}

/// A change of an account's standing by an accounts file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The number of the file. The greatest number applies; of files with the same number, the one with the stricter standing.
    pub number: u64,
    /// The standing that the change sets.
    pub standing: AccountStatus,
    /// Unix time in microseconds from which the standing applies.
    pub from: Micros,
    /// The operator's reason for the change, to be shown to people.
    pub reason: String,
}
