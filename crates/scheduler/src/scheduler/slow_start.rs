//! Slow start: what an endpoint that has just started is sent, by all schedulers together.

use super::probing::PROBES_PER_ROUND;
use super::selection::COMPARED;
use super::Scheduler;
use crate::endpoint::Endpoint;
use crate::endpoint_table::TrackedEndpoint;
use crate::ids::{EndpointId, RequestId};
use crate::request::{Job, PendingRequest};
use shorepath_types::Micros;

/// What a probe is assumed to cost an endpoint, its connection included, in microseconds of work.
const PROBE_WORK: f64 = 4_000.0;
/// The least share of its capacity that an endpoint is assumed to have.
const MIN_SHARE: f64 = 0.01;
/// Of what the rules allow, so much is used: work is known by means.
const BUDGET_USED: f64 = 0.9;

impl Scheduler {
    /// The part of its full load that an endpoint may get at that time: what the rules promise by its age (evenly from the least
    /// share), times half the multiple that makes it fail, up to all of it.
    pub(super) fn slow_start_part(&self, tracked: &TrackedEndpoint, at: Micros) -> f64 {
        let started_at = tracked.endpoint.started_at;
        let age = (at - started_at) as f64 / self.settings.slow_start_duration.max(1) as f64;
        let from =
            if started_at <= 0 { 1.0 } else { self.settings.slow_start_min_share.clamp(MIN_SHARE, 1.0) };
        let grown = from + (1.0 - from) * age.clamp(0.0, 1.0);
        (grown * (0.5 * self.settings.overload_multiple).max(1.0)).min(1.0)
    }

    /// Whether one more such job would make an endpoint in slow start fail.
    pub(super) fn would_overload(&self, tracked: &TrackedEndpoint, job: &Job) -> bool {
        let part = self.slow_start_part(tracked, self.now);
        let capacity = tracked.endpoint.capacity.max(1.0);
        part < 1.0 && job.total_work > part * capacity * self.settings.overload_window as f64
    }

    /// Work by the microsecond that may be sent from here to an endpoint in slow start: what our served jobs put on a full one of
    /// its capacity, or half our part of the limit (one core's where none is known) if that is more, times its mean part since our
    /// last attempt, less a tenth. So all schedulers stay under the limit.
    fn slow_start_rate(&self, tracked: &TrackedEndpoint) -> f64 {
        let settings = &self.settings;
        let capacity = tracked.endpoint.capacity;
        let own = self.served_work.rate(self.now, settings.recent_window()) * capacity;
        let sharers = (settings.schedulers.max(1) * settings.processes.max(1)) as f64;
        let limit = (0.5 * settings.overload_multiple).min(1.0) * capacity.max(1.0);
        let part = self.slow_start_part(tracked, (tracked.slow_start_updated_at + self.now) / 2);
        let rate = match self.quotas.slow_start_part() {
            Some(ours) => limit * ours,
            None => own.max(limit / sharers),
        };
        BUDGET_USED * part * rate
    }

    /// How far each scheduler is with its first job for an endpoint that starts, from 0 to 1: they take turns by their numbers.
    pub(super) fn slow_start_phase(&mut self, endpoint: &Endpoint) -> f64 {
        let schedulers = f64::from(self.settings.schedulers.max(1));
        let drawn = self.rng.rand_float();
        let Some(rank) = self.settings.rank else { return drawn };
        (f64::from(rank) / schedulers + endpoint.name_hash as f64 / 2f64.powi(64)).fract()
    }

    /// The work that an endpoint in slow start may be sent by now; `None` for one that has all of its capacity.
    fn slow_start_budget(&self, tracked: &TrackedEndpoint) -> Option<f64> {
        let started_at = tracked.endpoint.started_at;
        if started_at <= 0 || self.now - started_at >= self.settings.slow_start_duration {
            return None;
        }
        let elapsed = (self.now - tracked.slow_start_updated_at) as f64;
        Some(tracked.slow_start_tokens + self.slow_start_rate(tracked) * elapsed)
    }

    /// What a job leaves of that budget, if it may be sent: whenever the budget has grown by a job of its class, for as long as all
    /// schedulers look once at an endpoint with all of its capacity, or all together stay within 3/4 N + root of N as one fails; the
    /// rest is chance. Guards against bursts in which all send what each has saved. The probe for it is paid already.
    pub(super) fn slow_start_remainder(
        &self,
        tracked: &TrackedEndpoint,
        request: &PendingRequest,
    ) -> Option<f64> {
        let Some(budget) = self.slow_start_budget(tracked) else { return Some(0.0) };
        let is_probed = request.probed.contains(&tracked.endpoint.id);
        let paid = if is_probed { PROBE_WORK } else { 0.0 };
        let (job, capacity) = (&request.job, tracked.endpoint.capacity.max(1.0));
        let window = self.settings.overload_window as f64;
        let mean = self.mean_work() / capacity;
        let bearable = 2.0 * self.slow_start_part(tracked, self.now) * window;
        // A hint below its class's mean may be a bad guess, but is believed where an endpoint bears less than that.
        let class_work = job.total_work * self.class_work[job.class.0] / job.work;
        let step = class_work.min(job.total_work.max(bearable * capacity));
        let (work, budget) = (job.total_work.max(step), budget + paid);
        let looks = mean / (COMPARED + PROBES_PER_ROUND) as f64 * f64::from(self.settings.schedulers);
        let open = looks.max(window * (0.5 + 2.0 * (mean / bearable).sqrt()));
        let is_our_turn =
            budget >= step && budget % step <= self.slow_start_rate(tracked) * open * step / work;
        is_our_turn.then(|| budget % step + step - work - paid)
    }

    /// An attempt of a request is sent to an endpoint.
    pub(super) fn spend_slow_start(&mut self, endpoint: EndpointId, id: RequestId) {
        let tracked = self.endpoints.get(endpoint);
        let Some((tracked, request)) = tracked.zip(self.requests.get(&id)) else { return };
        let remainder = self.slow_start_remainder(tracked, request);
        let left = remainder.unwrap_or_else(|| self.budget_after_probe(tracked));
        self.set_slow_start_tokens(endpoint, left);
    }

    /// A probe is sent to an endpoint.
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
