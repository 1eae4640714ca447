//! Slow start: limits the work that all schedulers together send to an endpoint that has just started.

use super::probing::PROBES_PER_ROUND;
use super::selection::ENDPOINTS_COMPARED;
use super::Scheduler;
use crate::endpoint::Endpoint;
use crate::endpoint_table::TrackedEndpoint;
use crate::ids::{EndpointId, RequestId};
use crate::request::{Job, PendingRequest};
use shorepath_types::Micros;

/// Assumed work of a probe at an endpoint, including its connection, in microseconds.
const PROBE_WORK: f64 = 4_000.0;
/// Lower bound of the fraction of its capacity that an endpoint is assumed to have.
const MIN_CAPACITY_SHARE: f64 = 0.01;
/// The fraction of the allowed work that is used. Work is only known on average.
const BUDGET_FRACTION: f64 = 0.9;

impl Scheduler {
    /// Returns the fraction of its full load that an endpoint may get at a time. It is the fraction of its
    /// capacity that the endpoint has at its age, times half of `overload_multiple` if that is above 1, and
    /// at most 1. The fraction of capacity rises linearly from `slow_start_min_share` to 1 over
    /// `slow_start_duration`.
    pub(super) fn slow_start_load_fraction(&self, tracked: &TrackedEndpoint, at: Micros) -> f64 {
        let started_at = tracked.endpoint.started_at;
        let age = (at - started_at) as f64 / self.settings.slow_start_duration.max(1) as f64;
        let initial_share = if started_at <= 0 {
            1.0
        } else {
            self.settings.slow_start_min_share.clamp(MIN_CAPACITY_SHARE, 1.0)
        };
        let capacity_share = initial_share + (1.0 - initial_share) * age.clamp(0.0, 1.0);
        (capacity_share * (0.5 * self.settings.overload_multiple).max(1.0)).min(1.0)
    }

    /// Returns whether the job would make an endpoint in slow start fail.
    pub(super) fn would_overload(&self, tracked: &TrackedEndpoint, job: &Job) -> bool {
        let load_fraction = self.slow_start_load_fraction(tracked, self.now);
        let capacity = tracked.endpoint.capacity.max(1.0);
        load_fraction < 1.0
            && job.total_work > load_fraction * capacity * self.settings.overload_window as f64
    }

    /// Returns the work per microsecond that this scheduler may send to an endpoint in slow start.
    ///
    /// All schedulers together may send the endpoint's capacity, or half of `overload_multiple` times it if
    /// that is less. This scheduler's part is its agreed share of that. Without one it is
    /// the rate at which this scheduler's jobs are served, scaled to the endpoint's capacity, or an equal
    /// part for each process if that is greater. The result is that part times the load fraction halfway
    /// between the last attempt and now, less a tenth as a margin. So all schedulers together stay under
    /// the limit.
    fn slow_start_rate(&self, tracked: &TrackedEndpoint) -> f64 {
        let settings = &self.settings;
        let capacity = tracked.endpoint.capacity;
        let served_rate = self.served_work.rate(self.now, settings.recent_window()) * capacity;
        let sending_processes = (settings.schedulers.max(1) * settings.processes.max(1)) as f64;
        let limit = (0.5 * settings.overload_multiple).min(1.0) * capacity.max(1.0);
        let load_fraction =
            self.slow_start_load_fraction(tracked, (tracked.slow_start_updated_at + self.now) / 2);
        let rate = match self.quotas.slow_start_share() {
            Some(agreed_share) => limit * agreed_share,
            None => served_rate.max(limit / sending_processes),
        };
        BUDGET_FRACTION * load_fraction * rate
    }

    /// Returns the budget that this scheduler has when an endpoint starts, as a fraction from 0 to 1 of the
    /// mean work of a job. It differs between schedulers, so that their first jobs arrive one after another,
    /// in the order of their ranks where the settings give ranks.
    pub(super) fn slow_start_phase(&mut self, endpoint: &Endpoint) -> f64 {
        let schedulers = f64::from(self.settings.schedulers.max(1));
        let random_phase = self.rng.rand_float();
        let Some(rank) = self.settings.rank else { return random_phase };
        (f64::from(rank) / schedulers + endpoint.name_hash as f64 / 2f64.powi(64)).fract()
    }

    /// Returns the work in microseconds that may be sent to an endpoint in slow start by now, or `None` for
    /// an endpoint that has all of its capacity.
    fn slow_start_budget(&self, tracked: &TrackedEndpoint) -> Option<f64> {
        let started_at = tracked.endpoint.started_at;
        if started_at <= 0 || self.now - started_at >= self.settings.slow_start_duration {
            return None;
        }
        let elapsed = (self.now - tracked.slow_start_updated_at) as f64;
        Some(tracked.slow_start_tokens + self.slow_start_rate(tracked) * elapsed)
    }

    /// Returns the budget that remains if the request is sent to the endpoint now, or `None` if it may not
    /// be sent now.
    ///
    /// A job may be sent each time the budget has grown by the work of a job of its class, within a limited
    /// time after that. The time is how long all schedulers take to consider an endpoint of full capacity
    /// once each or, if longer, the time in which all of them together send no more than `3/4 N + sqrt(N)`
    /// jobs, where `N` jobs overload the endpoint. The rest of `N` is for chance. Guards against bursts in
    /// which all schedulers use up their budgets at once. The work of a probe for the request was charged
    /// before.
    pub(super) fn slow_start_remainder(
        &self,
        tracked: &TrackedEndpoint,
        request: &PendingRequest,
    ) -> Option<f64> {
        let Some(budget) = self.slow_start_budget(tracked) else { return Some(0.0) };
        let is_probed = request.probed.contains(&tracked.endpoint.id);
        let prepaid_probe_work = if is_probed { PROBE_WORK } else { 0.0 };
        let (job, capacity) = (&request.job, tracked.endpoint.capacity.max(1.0));
        let window = self.settings.overload_window as f64;
        let mean = self.mean_work() / capacity;
        let tolerated_work = 2.0 * self.slow_start_load_fraction(tracked, self.now) * window;
        // A hint below its class's mean may be too low, so the mean is used unless the endpoint tolerates
        // less than that.
        let class_work = job.total_work * self.class_work[job.class.0] / job.work;
        let step = class_work.min(job.total_work.max(tolerated_work * capacity));
        let (work, budget) = (job.total_work.max(step), budget + prepaid_probe_work);
        let visit_interval =
            mean / (ENDPOINTS_COMPARED + PROBES_PER_ROUND) as f64 * f64::from(self.settings.schedulers);
        let send_window = visit_interval.max(window * (0.5 + 2.0 * (mean / tolerated_work).sqrt()));
        let may_send_now =
            budget >= step && budget % step <= self.slow_start_rate(tracked) * send_window * step / work;
        may_send_now.then(|| budget % step + step - work - prepaid_probe_work)
    }

    /// Charges the budget of an endpoint for an attempt.
    pub(super) fn spend_slow_start(&mut self, endpoint: EndpointId, id: RequestId) {
        let tracked = self.endpoints.get(endpoint);
        let Some((tracked, request)) = tracked.zip(self.requests.get(&id)) else { return };
        let remainder = self.slow_start_remainder(tracked, request);
        let left = remainder.unwrap_or_else(|| self.budget_after_probe(tracked));
        self.set_slow_start_tokens(endpoint, left);
    }

    /// Charges the budget of an endpoint for a probe.
    pub(super) fn spend_slow_start_on_probe(&mut self, endpoint: EndpointId) {
        let Some(tracked) = self.endpoints.get(endpoint) else { return };
        let left = self.budget_after_probe(tracked);
        self.set_slow_start_tokens(endpoint, left);
    }

    fn budget_after_probe(&self, tracked: &TrackedEndpoint) -> f64 {
        self.slow_start_budget(tracked).unwrap_or(0.0) - PROBE_WORK
    }

    fn set_slow_start_tokens(&mut self, endpoint: EndpointId, tokens: f64) {
        let now = self.now;
        if let Some(tracked) = self.endpoints.get_mut(endpoint) {
            (tracked.slow_start_tokens, tracked.slow_start_updated_at) = (tokens, now);
        }
    }
}
