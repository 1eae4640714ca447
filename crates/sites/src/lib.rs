//! Decisions about the sites of a fleet, without I/O, clocks or random sources of their own.
//!
//! A site is a named group of nodes, quota servers and backend servers, whose nodes have durable disks.
//!
//! - [`config`]: the sites file;
//! - [`config_history`]: rejection of outdated configurations;
//! - [`health`]: failure detection between sites;
//! - [`load_allocation`]: distribution of the load of lost sites, and the order of load shedding;
//! - [`load_shifting`]: one node's limits for clients of other sites and for its own recovering site;
//! - [`recovery_ramp`]: gradual return of load to a recovered site;
//! - [`recovery_config`]: settings of a recovery from a loss of power;
//! - [`key_ownership`]: which node may place requests with a guarded idempotency key;
//! - [`catch_up`]: proof that the placements of earlier owners are known;
//! - [`peer_selection`]: the nodes with which a node exchanges its history.

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

/// State of a site as seen from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SiteState {
    /// Messages arrive in both directions.
    Linked,
    /// Messages are late or missing, or arrive in one direction only.
    Doubtful,
    /// Unreachable, but reported alive by a third site.
    Alone,
    /// No site has received a recent heartbeat of it, or an operator has declared it lost.
    Lost,
    /// Reachable again; its load grows in steps.
    Returning,
    /// It takes its full load and the histories agree; it becomes `Linked` after the hold time.
    WholeAgain,
}
