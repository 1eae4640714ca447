//! The scheduler's record of each endpoint.

use crate::decaying_sum::move_mean;
use crate::endpoint::{Endpoint, LoadReport};
use crate::ids::{EndpointId, RequestId, ZoneId};
use crate::request::PendingRequest;
use shorepath_types::Micros;

/// Marks an id without an entry in [`EndpointTable`].
const NO_POSITION: u32 = u32::MAX;
/// Number of running jobs at an endpoint for each further job that may be sent before a start is reported.
const RUNNING_PER_UNSTARTED: u32 = 4;

/// The scheduler's record of one endpoint.
#[derive(Debug)]
pub(crate) struct TrackedEndpoint {
    pub endpoint: Endpoint,
    /// The greatest capacity ever listed, because the listed capacity may fall with the endpoint's load.
    pub max_capacity: f64,
    /// Attempts of this scheduler that are in flight at the endpoint.
    pub in_flight: u32,
    /// Attempts in flight that have not reported a start.
    pub unstarted: u32,
    /// Running mean of expected over actual running time, or `None` until a job of this scheduler was served
    /// there; the mean of the kind then applies.
    pub speed: Option<f64>,
    /// When the endpoint disappeared from the list without draining, if it may still get attempts.
    pub unlisted_at: Option<Micros>,
    /// When a job of this scheduler last started or was served there.
    pub last_success_at: Micros,
    /// Overload rejections since `last_success_at`.
    pub overloads: u32,
    /// Time from sending to start of the latest attempt there, or the time waited so far.
    pub start_wait: Micros,
    /// The request that a probe of this scheduler in flight is for.
    pub probed_for: Option<RequestId>,
    /// The load reported by the last probe.
    pub load: LoadReport,
    /// When each idle connection was last used. The most recently used one is last and is taken first.
    pub idle_since: Vec<Micros>,
    /// After an overload rejection, no attempt is sent before this time or before a job of this scheduler is
    /// served there.
    pub overloaded_until: Micros,
    /// Work that may be sent during slow start, in microseconds, as of `slow_start_updated_at`.
    pub slow_start_tokens: f64,
    pub slow_start_updated_at: Micros,
}

impl TrackedEndpoint {
    /// Creates the record of a newly listed endpoint.
    pub fn new(endpoint: Endpoint, slow_start_tokens: f64, now: Micros) -> Self {
        TrackedEndpoint {
            max_capacity: endpoint.capacity,
            endpoint,
            in_flight: 0,
            unstarted: 0,
            unlisted_at: None,
            speed: None,
            last_success_at: 0,
            overloads: 0,
            start_wait: 0,
            probed_for: None,
            load: LoadReport::default(),
            idle_since: Vec::new(),
            overloaded_until: 0,
            slow_start_tokens,
            slow_start_updated_at: now,
        }
    }

    /// Returns whether a job has to start there before the next one is sent, since a start proves free
    /// capacity. Some unstarted jobs are allowed for those that run, or the round-trip time would limit
    /// throughput; an endpoint that runs only a few jobs gets new ones one at a time.
    pub fn awaits_start(&self) -> bool {
        self.unstarted > self.in_flight.saturating_sub(self.unstarted) / RUNNING_PER_UNSTARTED
    }

    /// Removes an idle connection by its index, sorted from the longest idle.
    pub fn remove_idle_connection(&mut self, position: usize) {
        if let Some(last) = self.idle_since.len().checked_sub(1) {
            self.idle_since.remove(position.min(last));
        }
    }

    /// Updates the speed of the endpoint and the mean speed of its kind with a sample of the given weight.
    pub fn record_speed(&mut self, sample: f64, kind_mean: &mut f64, weight: f64) {
        let mut speed = self.speed.unwrap_or(*kind_mean);
        move_mean(&mut speed, sample, weight);
        self.speed = Some(speed);
        move_mean(kind_mean, sample, weight);
    }

    /// Replaces the entry of the endpoint list.
    pub fn update(&mut self, endpoint: Endpoint) {
        self.unlisted_at = None;
        self.max_capacity = self.max_capacity.max(endpoint.capacity);
        self.endpoint = endpoint;
    }

    /// Records a probe of the endpoint for a request.
    pub fn start_probe(&mut self, request: &mut PendingRequest, id: RequestId) {
        self.probed_for = Some(id);
        self.idle_since.pop();
        request.probed.push(self.endpoint.id);
        request.pending_probes += 1;
    }
}

/// Records of all endpoints, by id. Ids start at 0 and are dense.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    /// Index into `entries` for each endpoint id.
    positions: Vec<u32>,
    entries: Vec<TrackedEndpoint>,
}

impl EndpointTable {
    fn position(&self, endpoint: EndpointId) -> Option<usize> {
        self.positions.get(endpoint.0 as usize).filter(|p| **p != NO_POSITION).map(|p| *p as usize)
    }

    pub fn get(&self, endpoint: EndpointId) -> Option<&TrackedEndpoint> {
        self.position(endpoint).map(|p| &self.entries[p])
    }

    pub fn get_mut(&mut self, endpoint: EndpointId) -> Option<&mut TrackedEndpoint> {
        self.position(endpoint).map(|p| &mut self.entries[p])
    }

    /// Returns whether an endpoint is known and lies outside `zone`.
    pub fn is_remote(&self, endpoint: EndpointId, zone: ZoneId) -> bool {
        self.get(endpoint).is_some_and(|e| e.endpoint.zone != zone)
    }

    /// Returns the record of an endpoint, and inserts `new()` if there is none.
    pub fn get_or_insert(
        &mut self,
        endpoint: EndpointId,
        new: impl FnOnce() -> TrackedEndpoint,
    ) -> &mut TrackedEndpoint {
        let index = endpoint.0 as usize;
        if index >= self.positions.len() {
            self.positions.resize(index + 1, NO_POSITION);
        }
        if self.positions[index] == NO_POSITION {
            self.positions[index] = self.entries.len() as u32;
            self.entries.push(new());
        }
        &mut self.entries[self.positions[index] as usize]
    }

    /// Iterates over all records in the order of endpoint ids.
    pub fn iter(&self) -> impl Iterator<Item = &TrackedEndpoint> {
        self.positions.iter().filter(|p| **p != NO_POSITION).map(|p| &self.entries[*p as usize])
    }

    /// Removes the records for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&TrackedEndpoint) -> bool) {
        if self.entries.iter().all(&keep) {
            return;
        }
        self.entries.retain(|e| keep(e));
        self.positions.fill(NO_POSITION);
        for (position, e) in self.entries.iter().enumerate() {
            self.positions[e.endpoint.id.0 as usize] = position as u32;
        }
    }
}

impl std::ops::Index<EndpointId> for EndpointTable {
    type Output = TrackedEndpoint;

    fn index(&self, endpoint: EndpointId) -> &TrackedEndpoint {
        &self.entries[self.positions[endpoint.0 as usize] as usize]
    }
}
