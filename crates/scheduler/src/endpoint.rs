//! Endpoints as the endpoint list describes them, and the load that they report.

use crate::ids::{EndpointId, KindId, ZoneId};
use shorepath_types::Micros;

/// The state of an endpoint by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes new attempts.
    Live,
    /// Finishes what it has and gets nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its id at this scheduler.
    pub id: EndpointId,
    /// The hash of its name, the same at every scheduler.
    pub name_hash: u64,
    /// Its kind.
    pub kind: KindId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell, see [`crate::DedupScope::Cell`].
    pub cell: u32,
    /// Its capacity relative to other endpoints, see [`crate::Settings::capacity_includes_speed`].
    pub capacity: f64,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; 0 for long ago.
    pub started_at: Micros,
}

/// The load that an endpoint reports: late, and a little noisy. What it does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Jobs it has, running or queued.
    pub in_flight: Option<f64>,
}
