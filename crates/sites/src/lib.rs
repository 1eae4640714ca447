//! Sites of a fleet, choices only: no I/O, no clock, no randomness.
//!
//! A site is a named group of nodes, dividers and backend servers with a disk that lasts.
//!
//! - [`config`]: what the operators want;
//! - [`health`]: sites as one node sees them;
//! - [`load_allocation`]: where the load of a site goes that can't take it, and what is refused first;
//! - [`recovery_ramp`]: the return of a site's load, in steps;
//! - [`key_ownership`]: which node may place a key that must not repeat;
//! - [`config_history`]: which files may hold, after those that did.

use serde::{Deserialize, Serialize};

pub mod catch_up;
pub mod config;
pub mod config_history;
pub mod health;
pub mod key_ownership;
pub mod load_allocation;
pub mod load_shifting;
pub mod peer_selection;
pub mod recovery_config;
pub mod recovery_ramp;

pub use shorepath_types::Micros;

/// Where a site stands, as another one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SiteState {
    /// Words go both ways.
    Linked,
    /// Too little was heard of it lately, or only one way.
    Doubtful,
    /// It lives by somebody's word, but can't be reached.
    Alone,
    /// Nobody hears of it.
    Lost,
    /// It is back, and takes its load in steps.
    Returning,
    /// It has taken all of it, and histories are one; a moment later it is linked.
    WholeAgain,
}
