//! What the scheduler knows of each endpoint.

use crate::decaying_sum::move_mean;
use crate::endpoint::{Endpoint, LoadReport};
use crate::ids::{EndpointId, RequestId, ZoneId};
use crate::request::PendingRequest;
use shorepath_types::Micros;

/// No position.
const NONE: u32 = u32::MAX;
/// As many jobs may be on their way to an endpoint as this part of those that run there.
const UNSTARTED_PART: u32 = 4;

/// What the scheduler knows of one endpoint.
#[derive(Debug)]
pub(crate) struct TrackedEndpoint {
    pub endpoint: Endpoint,
    /// The greatest capacity that was ever listed: it may fall with the load of an endpoint.
    pub max_capacity: f64,
    /// Our attempts that are out.
    pub in_flight: u32,
    /// Those of them that are not known to have started.
    pub unstarted: u32,
    /// Running mean of expected over actual running time; the mean of its kind until a job of ours was served there.
    pub speed: Option<f64>,
    /// When it disappeared from the list without having drained, where it may be sent to all the same.
    pub unlisted_at: Option<Micros>,
    /// When a job of ours last started or was served there.
    pub last_success_at: Micros,
    /// Overload rejections since then.
    pub overloads: u32,
    /// How long the last start there took, or has taken so far.
    pub start_wait: Micros,
    /// The request that a probe of ours is out for.
    pub probed_for: Option<RequestId>,
    /// The load that the last probe brought.
    pub load: LoadReport,
    /// When each idle connection there was last used; the latest is used first.
    pub idle_since: Vec<Micros>,
    /// It rejected an attempt for lack of capacity: none is sent until then or until a job of ours ends there.
    pub overloaded_until: Micros,
    /// Work that may be sent to it while it is in slow start, in microseconds, as of `slow_start_updated_at`.
    pub slow_start_tokens: f64,
    pub slow_start_updated_at: Micros,
}

impl TrackedEndpoint {
    /// One that was just listed.
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

    /// Whether a job of ours there has to start before the next is sent: a start shows that there was capacity. Where many of ours
    /// run, a quarter as many may be on their way, or one endpoint's round trip would limit what it is sent; one that only has
    /// capacity for a few gets them one by one.
    pub fn awaits_start(&self) -> bool {
        self.unstarted > self.in_flight.saturating_sub(self.unstarted) / UNSTARTED_PART
    }

    /// An idle connection there has ended, by its position from the one idle for longest.
    pub fn remove_idle_connection(&mut self, position: usize) {
        if let Some(last) = self.idle_since.len().checked_sub(1) {
            self.idle_since.remove(position.min(last));
        }
    }

    /// A job ran there at that speed; the newest counts with that weight, also in the mean of its kind.
    pub fn record_speed(&mut self, sample: f64, kind_mean: &mut f64, weight: f64) {
        let mut speed = self.speed.unwrap_or(*kind_mean);
        move_mean(&mut speed, sample, weight);
        self.speed = Some(speed);
        move_mean(kind_mean, sample, weight);
    }

    /// The list describes it so.
    pub fn update(&mut self, endpoint: Endpoint) {
        self.unlisted_at = None;
        self.max_capacity = self.max_capacity.max(endpoint.capacity);
        self.endpoint = endpoint;
    }

    /// It is probed for a request.
    pub fn start_probe(&mut self, request: &mut PendingRequest, id: RequestId) {
        self.probed_for = Some(id);
        self.idle_since.pop();
        request.probed.push(self.endpoint.id);
        request.pending_probes += 1;
    }
}

/// All endpoints by their ids, which start at 0 and leave few gaps.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    /// The position of each endpoint in `all`, by its id.
    positions: Vec<u32>,
    all: Vec<TrackedEndpoint>,
}

impl EndpointTable {
    fn position(&self, endpoint: EndpointId) -> Option<usize> {
        self.positions.get(endpoint.0 as usize).filter(|p| **p != NONE).map(|p| *p as usize)
    }

    /// That endpoint.
    pub fn get(&self, endpoint: EndpointId) -> Option<&TrackedEndpoint> {
        self.position(endpoint).map(|p| &self.all[p])
    }

    /// That endpoint.
    pub fn get_mut(&mut self, endpoint: EndpointId) -> Option<&mut TrackedEndpoint> {
        self.position(endpoint).map(|p| &mut self.all[p])
    }

    /// Whether an endpoint is in another zone than that.
    pub fn is_remote(&self, endpoint: EndpointId, zone: ZoneId) -> bool {
        self.get(endpoint).is_some_and(|e| e.endpoint.zone != zone)
    }

    /// That endpoint; a new one if there was none.
    pub fn get_or_insert(
        &mut self,
        endpoint: EndpointId,
        new: impl FnOnce() -> TrackedEndpoint,
    ) -> &mut TrackedEndpoint {
        let index = endpoint.0 as usize;
        if index >= self.positions.len() {
            self.positions.resize(index + 1, NONE);
        }
        if self.positions[index] == NONE {
            self.positions[index] = self.all.len() as u32;
            self.all.push(new());
        }
        &mut self.all[self.positions[index] as usize]
    }

    /// All in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &TrackedEndpoint> {
        self.positions.iter().filter(|p| **p != NONE).map(|p| &self.all[*p as usize])
    }

    /// Keep only those.
    pub fn retain(&mut self, keep: impl Fn(&TrackedEndpoint) -> bool) {
        if self.all.iter().all(&keep) {
            return;
        }
        self.all.retain(|e| keep(e));
        self.positions.fill(NONE);
        for (position, e) in self.all.iter().enumerate() {
            self.positions[e.endpoint.id.0 as usize] = position as u32;
        }
    }
}

impl std::ops::Index<EndpointId> for EndpointTable {
    type Output = TrackedEndpoint;

    fn index(&self, endpoint: EndpointId) -> &TrackedEndpoint {
        &self.all[self.positions[endpoint.0 as usize] as usize]
    }
}
