//! Probing: asks a few endpoints for their load before an attempt.

use super::Scheduler;
use crate::action::Action;
use crate::endpoint::LoadReport;
use crate::endpoint_table::TrackedEndpoint;
use crate::event::AttemptStatus;
use crate::ids::{EndpointId, RequestId};
use crate::quota::QuotaKind;
use crate::request::PendingRequest;
use crate::timer::Timer;
use shorepath_types::Micros;

/// Number of endpoints probed in a round.
pub(super) const PROBES_PER_ROUND: usize = 2;
/// Duration of a round of probes, in microseconds.
const PROBE_ROUND_DURATION: Micros = 15_000;
/// Upper bound of the rounds of probes before an attempt.
const MAX_PROBE_ROUNDS: u32 = 2;
/// Number of slots that an endpoint is assumed to have.
const ASSUMED_SLOTS: f64 = 2.0;
/// An endpoint that reports more free slots than this can start a job at once. Reports are noisy.
const MIN_FREE_SLOTS: f64 = 0.5;

/// The number of jobs that wait at a probed endpoint, divided by its speed.
struct ProbedLoad {
    endpoint: EndpointId,
    load: f64,
}

impl Scheduler {
    /// Returns whether endpoints of a queue are probed before an attempt.
    ///
    /// Departure: with more schedulers than endpoints, a scheduler's own jobs show little of an endpoint's
    /// queue. Probes are used while they cost less than the share of lost requests; the first endpoint with
    /// a free slot gets the job.
    pub(super) fn uses_probes(&self, queue: usize) -> bool {
        let has_few_endpoints = self.settings.schedulers as usize > self.queues[queue].live_endpoints;
        if !self.settings.probing || !has_few_endpoints {
            return false;
        }
        let cost = PROBES_PER_ROUND as f64 * self.settings.probe_cost;
        cost <= self.lost_share(queue).max(super::selection::MIN_LOST_SHARE)
            && self.quotas.is_available(self.now, QuotaKind::Probes)
    }

    /// Starts the next round of probes for a request. After the last round, the least busy of the probed
    /// endpoints gets the request.
    pub(super) fn start_probe_round(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.probe_round += 1;
        let round = request.probe_round;
        self.timers.set(self.now + PROBE_ROUND_DURATION, Timer::ProbeRoundOver(id, round));
        if round <= MAX_PROBE_ROUNDS {
            self.send_probes(id, actions);
        } else {
            self.start_after_probes(id, actions);
        }
    }

    fn send_probes(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        for _ in 0..PROBES_PER_ROUND {
            let request = &self.requests[&id];
            let selected = self.select_endpoint(request, request.job.queue);
            let Some(endpoint) = selected.filter(|_| self.quotas.take(self.now, QuotaKind::Probes)) else {
                return;
            };
            self.advance_rng();
            self.spend_slow_start_on_probe(endpoint);
            let tracked = self.endpoints.get_mut(endpoint);
            if let (Some(tracked), Some(request)) = (tracked, self.requests.get_mut(&id)) {
                tracked.start_probe(request, id);
            }
            actions.push(Action::Probe { endpoint });
        }
    }

    fn start_after_probes(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let loads = request.probed.iter().filter_map(|endpoint| self.probed_load(*endpoint, request));
        let least_loaded = loads.min_by(|a, b| a.load.total_cmp(&b.load));
        let wait = least_loaded.as_ref().map_or(0.0, |probed| probed.load * self.mean_work() / ASSUMED_SLOTS);
        let expected_end = self.now + (wait + request.job.work) as Micros;
        if least_loaded.is_some() && expected_end > request.job.due_at {
            self.answer_unserved(id, actions);
            return;
        }
        let selected = least_loaded.map(|probed| probed.endpoint);
        if let Some(endpoint) = selected.or_else(|| self.select_endpoint(request, request.job.queue)) {
            self.start_attempt(id, endpoint, actions);
        }
    }

    /// Returns the load of a probed endpoint, or `None` if it is unknown or the endpoint may not get the
    /// request.
    fn probed_load(&self, id: EndpointId, request: &PendingRequest) -> Option<ProbedLoad> {
        let tracked: &TrackedEndpoint = self.endpoints.get(id).filter(|e| self.accepts(e, request, false))?;
        let waiting = (tracked.load.in_flight? - 1.0).max(0.0);
        let load_fraction = self.slow_start_load_fraction(tracked, self.now);
        Some(ProbedLoad { endpoint: id, load: waiting / (self.speed(tracked) * load_fraction) })
    }

    /// Handles the end of a probe. An endpoint with a free slot gets the request that it was probed for.
    pub(super) fn on_probe_ended(
        &mut self,
        endpoint: EndpointId,
        status: AttemptStatus,
        report: LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return };
        tracked.load = report;
        if status.has_response() {
            tracked.idle_since.push(self.now);
        }
        let Some(id) = tracked.probed_for.take() else { return };
        let Some(job) = self.requests.get(&id).map(|request| request.job.clone()) else { return };
        let is_failure =
            matches!(status, AttemptStatus::ConnectFailed | AttemptStatus::Reset | AttemptStatus::Timeout);
        if is_failure {
            self.record_failure(endpoint, &job, false);
        }
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.probe_round > 0) else { return };
        request.pending_probes = request.pending_probes.saturating_sub(1);
        let is_free =
            status == AttemptStatus::Ok && report.free_slots.is_some_and(|free| free > MIN_FREE_SLOTS);
        if is_free && self.accepts(&self.endpoints[endpoint], &self.requests[&id], false) {
            self.start_attempt(id, endpoint, actions);
        } else if self.requests[&id].pending_probes == 0 {
            self.start_probe_round(id, actions);
        }
    }

    /// Ends probing for a request.
    pub(super) fn stop_probing(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.probe_round > 0 {
            self.queues[request.job.queue].concurrency.in_flight -= 1;
        }
        request.clear_probes();
    }
}
