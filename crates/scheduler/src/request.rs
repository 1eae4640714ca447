//! Requests that have not been answered yet, and their attempts.

use crate::ids::{ClassId, EndpointId, KeyId, RequestId};
use shorepath_types::Micros;

/// The properties of a request that stay the same until it is answered.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub class: ClassId,
    /// Index of the dispatch queue.
    pub queue: usize,
    /// Index of the tenant, or the number of tenants for a request without one.
    pub tenant: usize,
    pub key: Option<KeyId>,
    /// The request was beyond its tenant's share on arrival.
    pub is_over_share: bool,
    /// Expected work of one slot, in microseconds on a standard core.
    pub work: f64,
    /// Expected work of all slots together, in microseconds on a standard core.
    pub total_work: f64,
    /// Size for fair queuing: number of slots, multiplied by the work hint if there is one.
    pub size: f64,
    pub has_work_hint: bool,
    /// By the settings at arrival, endpoints may reject the job after they have started it.
    pub overloaded_may_have_run: bool,
    pub arrived_at: Micros,
    /// When an answer is no longer in time.
    pub due_at: Micros,
    /// When the client stops waiting for an answer.
    pub deadline: Micros,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstRun {
    pub endpoint: EndpointId,
    pub sent_at: Micros,
}

/// A request that has not been answered yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub job: Job,
    pub start_tag: Micros,
    pub finish_tag: Micros,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Limit of attempts, by the settings at arrival.
    pub max_attempts: u32,
    /// An attempt is in flight.
    pub is_in_flight: bool,
    pub is_queued: bool,
    /// A quota that all schedulers divide has no unit for the next attempt.
    pub awaits_quota: bool,
    pub first_run: Option<FirstRun>,
    /// The endpoint that last answered that the request is unusable.
    pub bad_request_from: Option<EndpointId>,
    /// The round of probes for the next attempt, from 1; 0 if there is none. A request with probes counts as
    /// in flight.
    pub probe_round: u32,
    /// Endpoints that were probed for the next attempt.
    pub probed: Vec<EndpointId>,
    /// Number of probes without a result yet.
    pub pending_probes: u32,
}

impl PendingRequest {
    /// Creates a request that has just arrived.
    pub fn new(job: Job, start_tag: Micros, finish_tag: Micros, max_attempts: u32) -> Self {
        PendingRequest {
            job,
            start_tag,
            finish_tag,
            attempts: 0,
            max_attempts,
            is_in_flight: false,
            is_queued: false,
            awaits_quota: false,
            first_run: None,
            bad_request_from: None,
            probe_round: 0,
            probed: Vec::new(),
            pending_probes: 0,
        }
    }

    /// Ends probing for the request.
    pub fn clear_probes(&mut self) {
        (self.probe_round, self.pending_probes) = (0, 0);
        self.probed.clear();
    }
}

/// Identifies an attempt in flight by its request and number.
pub(crate) type AttemptId = (RequestId, u32);

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    pub job: Job,
    pub sent_at: Micros,
    pub started_at: Option<Micros>,
    /// The attempt should have started or ended by now, and no longer counts against the concurrency limit.
    pub is_overdue: bool,
    /// How long the attempt's connection had been idle; 0 for a new connection.
    pub connection_idle: Micros,
}
