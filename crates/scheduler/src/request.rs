//! Requests that are not yet answered, and their attempts.

use crate::ids::{ClassId, EndpointId, KeyId, RequestId};
use shorepath_types::Micros;

/// What stays the same over a request's life.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub class: ClassId,
    /// Index of its dispatch queue.
    pub queue: usize,
    /// Index of its tenant; the number of tenants for a request without one.
    pub tenant: usize,
    pub key: Option<KeyId>,
    /// It was beyond its tenant's share as it arrived.
    pub is_over_share: bool,
    /// Expected work of one slot, in microseconds on a standard core.
    pub work: f64,
    /// The work in all its slots together.
    pub total_work: f64,
    /// Its size for fair queuing: slots, times the work hint where there is one.
    pub size: f64,
    pub has_work_hint: bool,
    /// Endpoints may reject it after they had begun it, by the rules under which it arrived.
    pub overloaded_may_have_run: bool,
    pub arrived_at: Micros,
    /// When the answer stops being in time.
    pub due_at: Micros,
    /// When the client leaves.
    pub deadline: Micros,
}

/// The first attempt of a request that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstRun {
    pub endpoint: EndpointId,
    pub sent_at: Micros,
}

/// A request not yet answered.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub job: Job,
    pub start_tag: Micros,
    pub finish_tag: Micros,
    /// Attempts so far.
    pub attempts: u32,
    /// How many it may have, by the rules under which it arrived.
    pub max_attempts: u32,
    /// An attempt is out.
    pub is_in_flight: bool,
    pub is_queued: bool,
    /// A quota that all schedulers divide has nothing for it now.
    pub awaits_quota: bool,
    pub first_run: Option<FirstRun>,
    /// The endpoint that last answered that it can't use the request.
    pub bad_request_from: Option<EndpointId>,
    /// The round of probes for its next attempt, from 1; 0 while none is probed. It counts as in flight meanwhile.
    pub probe_round: u32,
    /// Endpoints that were probed in these rounds.
    pub probed: Vec<EndpointId>,
    /// How many of them have not answered.
    pub pending_probes: u32,
}

impl PendingRequest {
    /// One that has just arrived, with its tags.
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

    /// No endpoint is probed for it any longer.
    pub fn clear_probes(&mut self) {
        (self.probe_round, self.pending_probes) = (0, 0);
        self.probed.clear();
    }
}

/// An attempt that is out, by its request and number.
pub(crate) type AttemptId = (RequestId, u32);

/// An attempt that is out.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    pub job: Job,
    pub sent_at: Micros,
    pub started_at: Option<Micros>,
    /// It does not count against the concurrency limit: it should have started, or ended, long since.
    pub is_overdue: bool,
    /// For how long its connection had been idle; 0 for a new one.
    pub connection_idle: Micros,
}
