//! Where each account stands with the business, choices only: no I/O, no clock, no randomness.
//!
//! An account is a tenant's standing. New work of one that is closing is refused, its running work is finished. Standings come from
//! one authority: a signed, numbered file of the operators that any site may be handed. Whether a file or a word is believed is the
//! caller's to say (`shorepath-message-auth`); here it is text that was verified.
//!
//! [`config`] reads the authority's file, [`registry`] joins what is known, [`gossip`] tells it to all nodes, [`in_flight`] knows what was
//! taken, [`credit`] what may be begun while standing can't be confirmed, and [`admission`] says what is done with a request.

pub mod admission;
pub mod config;
pub mod credit;
pub mod freshness;
pub mod gossip;
pub mod in_flight;
pub mod registry;

use serde::{Deserialize, Serialize};

pub use shorepath_types::Micros;

/// Where an account stands, from the mildest to the strictest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AccountStatus {
    /// All is well.
    #[default]
    Good,
    /// It was closing or closed, and is in service again.
    Reopened,
    /// It is served, and told so.
    Warned,
    /// Nothing new is taken; all that was taken runs to its one final answer.
    Closing,
    /// Nothing runs any more.
    Closed,
}

impl AccountStatus {
    /// Nothing new is taken.
    pub fn rejects_new_work(self) -> bool {
        self >= AccountStatus::Closing
    }
}

/// A change of an account's standing, by the authority.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The number of the authority's file that brought it; of two the greater one holds, of two with one number the stricter one.
    pub number: u64,
    /// Where it stands.
    pub standing: AccountStatus,
    /// From when on, in Unix time.
    pub from: Micros,
    /// RefusalReason, for people.
    pub reason: String,
}
