//! Attempts: sends them, and updates the estimates from their starts and outcomes.

use super::Scheduler;
use crate::action::Action;
use crate::concurrency_limit::{CapacitySample, SAMPLE_WEIGHT};
use crate::event::AttemptStatus;
use crate::ids::{EndpointId, RequestId};
use crate::outlier::Subject;
use crate::request::{Attempt, AttemptId, FirstRun};
use crate::settings::Idempotency;
use crate::timer::Timer;
use shorepath_types::Micros;

/// Weight of the newest sample in running means of rare events.
pub(super) const RARE_SAMPLE_WEIGHT: f64 = SAMPLE_WEIGHT / 4.0;
/// An attempt is overdue after this multiple of the mean wait for a start.
const OVERDUE_MULTIPLE: f64 = 4.0;
/// Share of attempts lost on idle connections above which these connections are closed.
const MAX_STALE_SHARE: f64 = 2.0 * SAMPLE_WEIGHT;
/// Lower bound of a speed sample.
const MIN_SPEED: f64 = 0.05;
/// Upper bound of a speed sample.
const MAX_SPEED: f64 = 4.0;
/// Lower bound of the total capacity that served work is divided by.
const MIN_TOTAL_CAPACITY: f64 = 0.001;
/// Upper bound of the doublings of the pause after overload rejections.
const MAX_OVERLOAD_DOUBLINGS: u32 = 5;

impl Scheduler {
    /// Sends the next attempt of a request to an endpoint.
    pub(super) fn start_attempt(&mut self, id: RequestId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        self.advance_rng();
        let is_remote = self.endpoints.is_remote(endpoint, self.settings.zone);
        self.spend_slow_start(endpoint, id);
        self.stop_probing(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let number = request.attempts;
        request.attempts += 1;
        request.is_in_flight = true;
        let job = request.job.clone();
        if number > 0 && self.settings.retry_budget.is_some() {
            self.retry_history.record_retry(self.now);
        }
        // A multiple of the current mean wait applies if it exceeds the objective: where all jobs start
        // late, no single endpoint is at fault.
        let usual_wait = (OVERDUE_MULTIPLE * self.queues[job.queue].start_wait.get(is_remote)) as Micros;
        let overdue = self.settings.classes[job.class.0].latency_objective.max(usual_wait);
        self.queues[job.queue].concurrency.start();
        let connection_idle = self.take_connection(endpoint, actions);
        self.update_waiting(endpoint);
        let due_at = job.due_at;
        let attempt = Attempt {
            endpoint,
            job,
            sent_at: self.now,
            started_at: None,
            is_overdue: false,
            connection_idle,
        };
        self.attempts.insert((id, number), attempt);
        if self.settings.reports_starts {
            self.timers.set(self.now + overdue, Timer::AttemptOverdue(id, number));
        }
        self.timers.set(due_at.max(self.now + 2 * overdue), Timer::AttemptOverdue(id, number));
        actions.push(Action::StartAttempt { id, endpoint });
    }

    /// Counts an attempt at an endpoint and takes an idle connection for it. Returns how long that
    /// connection had been idle, or 0 for a new one. Guards against idle connections that were dropped
    /// silently, or that are reset at the next request.
    fn take_connection(&mut self, endpoint: EndpointId, actions: &mut Vec<Action>) -> Micros {
        let (now, time_constant) = (self.now, self.connection_time_constant());
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return 0 };
        tracked.in_flight += 1;
        tracked.unstarted += 1;
        let idle = tracked.idle_since.pop().map_or(0, |since| now - since);
        if idle > 0 && self.stale_connections.loss(now, idle, time_constant) > MAX_STALE_SHARE {
            actions.push(Action::CloseIdleConnections { endpoint });
            tracked.idle_since.clear();
            return 0;
        }
        idle
    }

    /// Updates in all queues whether an endpoint awaits a start.
    fn update_waiting(&mut self, endpoint: EndpointId) {
        let tracked = self.endpoints.get(endpoint);
        for queue in &mut self.queues {
            queue.update_waiting(endpoint, tracked);
        }
    }

    /// Handles the start of an attempt's job.
    pub(super) fn on_attempt_started(&mut self, attempt_id: AttemptId) {
        let attempt = self.attempts.get_mut(&attempt_id).filter(|a| a.started_at.is_none());
        let Some(attempt) = attempt else { return };
        attempt.started_at = Some(self.now);
        let was_overdue = std::mem::take(&mut attempt.is_overdue);
        let (job, endpoint, idle) = (attempt.job.clone(), attempt.endpoint, attempt.connection_idle);
        let wait = self.now - attempt.sent_at;
        let queued_for = attempt.sent_at - job.arrived_at;
        if was_overdue {
            self.queues[job.queue].concurrency.in_flight += 1;
        }
        if let Some(tracked) = self.endpoints.get_mut(endpoint) {
            tracked.unstarted = tracked.unstarted.saturating_sub(1);
        }
        self.update_waiting(endpoint);
        self.stale_connections.record(self.now, idle, false, self.connection_time_constant());
        self.record_success(endpoint, &job, false);
        if self.stalled_at == self.now {
            return;
        }
        self.record_start_wait(endpoint, job.queue, wait);
        // A start is timely within an eighth of the objective or, if longer, half of the time that the
        // request was queued here. A long time in this queue means that the limit is too low, so the wait at
        // the endpoint must not lower it further.
        let objective = self.settings.classes[job.class.0].latency_objective;
        let timely_limit = (objective / 8).max(queued_for / 2).max(2 * self.settings.tick);
        let is_late = self.now + job.work as Micros > job.due_at;
        let sample = CapacitySample::Started { is_timely: wait <= timely_limit, is_late };
        self.record_capacity(job.queue, sample);
    }

    /// Records how long an attempt has waited for its start, whether or not it has started.
    fn record_start_wait(&mut self, endpoint: EndpointId, queue: usize, wait: Micros) {
        let is_remote = self.endpoints.is_remote(endpoint, self.settings.zone);
        let mean = self.queues[queue].start_wait.get_mut(is_remote);
        *mean += SAMPLE_WEIGHT * (wait as f64 - *mean);
        let objective = self.mean_objective();
        if let Some(tracked) = self.endpoints.get_mut(endpoint) {
            tracked.start_wait = wait;
            let zone = tracked.endpoint.zone;
            self.zone_losses.record_start_wait(zone, wait as f64 / objective, RARE_SAMPLE_WEIGHT);
        }
    }

    fn record_capacity(&mut self, queue: usize, sample: CapacitySample) {
        let schedulers = self.settings.schedulers;
        let queue = &mut self.queues[queue];
        queue.concurrency.record(sample);
        queue.concurrency.raise_to_minimum(queue.live_endpoints, schedulers);
    }

    /// Handles an attempt that has not started within its class's objective (or four mean waits), or that is
    /// in flight past the objective at an endpoint without another success. The endpoint is suspected,
    /// whatever the cause. Later, an idempotent job that has not started is cancelled and retried elsewhere.
    ///
    /// Departure: the attempt no longer counts against the concurrency limit, which unresponsive endpoints
    /// would otherwise exhaust.
    pub(super) fn on_attempt_overdue(&mut self, attempt_id: AttemptId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else { return };
        let class = &self.settings.classes[attempt.job.class.0];
        let last_due = attempt.job.due_at.max(attempt.sent_at + 2 * class.latency_objective);
        if attempt.started_at.is_some() && self.now < last_due {
            return;
        }
        if !std::mem::replace(&mut attempt.is_overdue, true) {
            self.queues[attempt.job.queue].concurrency.in_flight -= 1;
        }
        let awaits_start = self.settings.reports_starts && attempt.started_at.is_none();
        // Guards against running a job twice, since an endpoint that is only busy still runs a cancelled
        // job. A quarter of the deadline leaves time for a late answer from another endpoint.
        let cancel_at = attempt.sent_at + class.deadline / 4;
        if awaits_start && self.now < cancel_at {
            self.timers.set(cancel_at, Timer::AttemptOverdue(attempt_id.0, attempt_id.1));
        }
        let is_idempotent = class.idempotency == Idempotency::Idempotent;
        let may_cancel = awaits_start && self.now >= cancel_at && self.settings.can_cancel && is_idempotent;
        let last_seen_at = attempt.started_at.unwrap_or(attempt.sent_at);
        let (endpoint, job) = (attempt.endpoint, attempt.job.clone());
        let (idle, wait) = (attempt.connection_idle, self.now - attempt.sent_at);
        if awaits_start {
            self.record_start_wait(endpoint, job.queue, wait);
            self.stale_connections.record(self.now, idle, true, self.connection_time_constant());
        }
        let tracked = self.endpoints.get(endpoint);
        if awaits_start || tracked.is_some_and(|e| e.last_success_at <= last_seen_at) {
            self.record_failure(endpoint, &job, false);
        }
        let may_retry = || self.requests.get(&attempt_id.0).is_some_and(|request| self.may_retry(request));
        if may_cancel && self.retry_budget_allows() && may_retry() {
            actions.push(Action::CancelAttempt { id: attempt_id.0, attempt: attempt_id.1 });
        }
    }

    /// Handles the end of an attempt: its request is answered or queued again.
    pub(super) fn on_attempt_ended(
        &mut self,
        attempt_id: AttemptId,
        status: AttemptStatus,
        is_final: bool,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt_id.0;
        let attempt = self.attempts.remove(&attempt_id);
        let is_unusable = attempt.is_some_and(|attempt| self.record_outcome(attempt_id, &attempt, status));
        if is_final {
            return self.end_request(id, false);
        }
        if is_unusable {
            actions.push(Action::Fail { id });
            return self.forget(id);
        }
        let unassigned = self.requests.get(&id).filter(|request| !request.is_in_flight && !request.is_queued);
        let Some(request) = unassigned else { return };
        if self.may_retry(request) && !self.is_too_late(request, 0) {
            self.enqueue(id);
        } else {
            self.answer_unserved(id, actions);
        }
    }

    /// Records the outcome of an attempt, and returns whether its request has been unusable twice.
    ///
    /// Departure: a request that an endpoint can't use is retried once, and fails if another endpoint can't
    /// use it either. Counted as errors, such requests would make their class or the endpoints suspected. An
    /// endpoint that can't use what another one then serves is at fault, and counts as failed.
    fn record_outcome(&mut self, attempt_id: AttemptId, attempt: &Attempt, status: AttemptStatus) -> bool {
        self.update_estimates(attempt, status);
        self.update_waiting(attempt.endpoint);
        let never_ran = self.never_ran(&attempt.job, status);
        let is_certain = status.has_response() || never_ran;
        self.quotas.end_attempt(attempt.job.class, attempt_id, attempt.sent_at, is_certain);
        let Some(request) = self.requests.get_mut(&attempt_id.0) else { return false };
        request.is_in_flight = false;
        if !never_ran && request.first_run.is_none() {
            request.first_run = Some(FirstRun { endpoint: attempt.endpoint, sent_at: attempt.sent_at });
        }
        match status {
            AttemptStatus::BadRequest => request.bad_request_from.replace(attempt.endpoint).is_some(),
            AttemptStatus::Ok => {
                let other = request.bad_request_from.filter(|endpoint| *endpoint != attempt.endpoint);
                if let Some(endpoint) = other {
                    self.record_failure(endpoint, &attempt.job, true);
                }
                false
            }
            _ => false,
        }
    }

    /// Updates the estimates for the endpoint and the class from the outcome of an attempt.
    fn update_estimates(&mut self, attempt: &Attempt, status: AttemptStatus) {
        let now = self.now;
        if !attempt.is_overdue {
            self.queues[attempt.job.queue].concurrency.in_flight -= 1;
        }
        let Some(tracked) = self.endpoints.get_mut(attempt.endpoint) else { return };
        tracked.in_flight = tracked.in_flight.saturating_sub(1);
        let is_unanswered = !status.has_response();
        self.zone_losses.record_attempt(tracked.endpoint.zone, is_unanswered, RARE_SAMPLE_WEIGHT);
        if !is_unanswered {
            tracked.idle_since.push(now);
        }
        if attempt.started_at.is_none() {
            tracked.unstarted = tracked.unstarted.saturating_sub(1);
        }
        let is_stale_connection = attempt.connection_idle > 0 && attempt.started_at.is_none();
        match status {
            AttemptStatus::Ok => self.record_served_job(attempt),
            AttemptStatus::Overloaded => self.record_overload(attempt),
            // A reset before the start, on a connection that had been idle, is a fault of the connection.
            AttemptStatus::Reset if is_stale_connection => {
                let time_constant = self.connection_time_constant();
                self.stale_connections.record(now, attempt.connection_idle, true, time_constant);
            }
            AttemptStatus::Error | AttemptStatus::Reset if self.attribute_failure(attempt) => {}
            // Errors count as well: guards against endpoints that fail fast and therefore look idle. After
            // an error, a start no longer proves health. A rare stray error costs one short pause.
            AttemptStatus::Error
            | AttemptStatus::ConnectFailed
            | AttemptStatus::Reset
            | AttemptStatus::Timeout => {
                self.record_failure(attempt.endpoint, &attempt.job, status == AttemptStatus::Error);
            }
            AttemptStatus::BadRequest | AttemptStatus::Cancelled | AttemptStatus::NotSent => {}
        }
    }

    fn record_served_job(&mut self, attempt: &Attempt) {
        let (now, job, window) = (self.now, &attempt.job, self.settings.recent_window());
        let running_time = (now - attempt.started_at.unwrap_or(attempt.sent_at)).max(1) as f64;
        if let Some(tracked) = self.endpoints.get_mut(attempt.endpoint) {
            tracked.overloaded_until = 0;
            let kind_mean = self.kind_speeds.entry(tracked.endpoint.kind.0).or_insert(1.0);
            let sample = (job.work / running_time).clamp(MIN_SPEED, MAX_SPEED);
            tracked.record_speed(sample, kind_mean, SAMPLE_WEIGHT);
        }
        self.record_success(attempt.endpoint, job, true);
        self.quotas.record_served();
        let work = if job.has_work_hint { job.work } else { running_time };
        let class_work = &mut self.class_work[job.class.0];
        *class_work += SAMPLE_WEIGHT * (work - *class_work);
        self.queues[job.queue].completed.add(now, window, job.size);
        self.served_work.add(now, window, job.total_work / self.total_capacity.max(MIN_TOTAL_CAPACITY));
        self.mean_size += SAMPLE_WEIGHT * (job.size - self.mean_size);
        if !self.settings.reports_starts {
            // Time in this scheduler's queue does not show the capacity of endpoints.
            let is_late = now - attempt.sent_at > job.due_at - job.arrived_at;
            self.record_capacity(job.queue, CapacitySample::Started { is_timely: !is_late, is_late });
        }
    }

    fn record_overload(&mut self, attempt: &Attempt) {
        let pause = (self.mean_work() as Micros / 4).max(self.settings.tick);
        let window = self.settings.recent_window();
        let Some(tracked) = self.endpoints.get_mut(attempt.endpoint) else { return };
        tracked.overloads += 1;
        // If such a rejection may cost the job, consecutive rejections double the pause.
        let doublings = if self.settings.overloaded_may_have_run {
            (tracked.overloads - 1).min(MAX_OVERLOAD_DOUBLINGS)
        } else {
            0
        };
        tracked.overloaded_until = self.now + (pause << doublings).min(window as Micros / 4);
        self.timers.set(tracked.overloaded_until, Timer::CapacityFreed);
        let is_repeated = tracked.overloads > 1;
        self.record_capacity(attempt.job.queue, CapacitySample::Overloaded);
        let subject = Subject::TenantAt(attempt.endpoint, attempt.job.tenant);
        self.record_rejection(attempt.endpoint, &attempt.job, subject);
        if is_repeated {
            self.demote(attempt.endpoint, attempt.job.queue);
        }
    }
}
