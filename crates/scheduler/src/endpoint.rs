//! Entries of the endpoint list, and the load reports of endpoints.

use crate::ids::{EndpointId, KindId, ZoneId};
use shorepath_types::Micros;

/// The state of an endpoint according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new attempts.
    Live,
    /// Finishes its running jobs and gets no new ones.
    Draining,
    /// No longer in service; gets no new jobs.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The endpoint's id at this scheduler.
    pub id: EndpointId,
    /// The hash of the endpoint's name, which is the same at every scheduler.
    pub name_hash: u64,
    /// The kind of endpoint, which decides the classes that it can run.
    pub kind: KindId,
    /// The availability zone that the endpoint runs in.
    pub zone: ZoneId,
    /// The cell within which repeats are dropped, see [`crate::DedupScope::Cell`].
    pub cell: u32,
    /// The capacity relative to other endpoints, see [`crate::Settings::capacity_includes_speed`].
    pub capacity: f64,
    /// Whether the endpoint accepts new attempts.
    pub state: EndpointState,
    /// When the endpoint last started; 0 if that was long ago.
    pub started_at: Micros,
}

/// The load that an endpoint reports, which may be slightly outdated and noisy. Values that it does not
/// report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of slots that are free.
    pub free_slots: Option<f64>,
    /// Number of jobs that are running or queued at the endpoint.
    pub in_flight: Option<f64>,
}
