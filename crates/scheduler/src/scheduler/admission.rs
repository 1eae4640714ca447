//! Admission: rejects, sheds or queues arriving requests, and computes the rates and tags of fair queuing.

use super::Scheduler;
use crate::action::Action;
use crate::decaying_sum::as_sample;
use crate::event::Request;
use crate::fair_queue::BucketParameters;
use crate::ids::{ClassId, RequestId};
use crate::request::{Job, PendingRequest};
use crate::timer::Timer;
use shorepath_types::Micros;

/// Least time between the last moment for an answer and the client's deadline, in microseconds.
const MIN_ANSWER_MARGIN: Micros = 1_000;
/// Lower bound of a tenant's fraction of the completion rate.
const MIN_RATE_SHARE: f64 = 0.001;
/// Lower bound of a bucket's depth, in requests of mean size.
const MIN_BUCKET_REQUESTS: f64 = 5.0;
/// Upper bound of the ratio between the best class's weight and a class's own, whose square root scales the
/// delay to its finish tags.
const MAX_WEIGHT_RATIO: f64 = 100.0;
/// Share of a tenant's clients that disconnect early above which its requests are queued no longer than these clients wait.
const MAX_EARLY_DISCONNECT_SHARE: f64 = 0.5;

impl Scheduler {
    /// Handles the arrival of a request, which is rejected, shed or queued.
    pub(super) fn on_request(&mut self, request: &Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if let Err(quota) = self.quotas.accept(self.now, request) {
            return actions.push(Action::Reject { id, quota });
        }
        if let Some(from) = self.settings.retry_budget.map(|budget| self.now - budget.window) {
            self.retry_history.record_request(self.now);
            self.retry_history.forget_before(from);
        }
        if request.class.0 >= self.settings.classes.len() {
            return actions.push(Action::Shed { id, retry_after: None });
        }
        let mut job = self.new_job(request);
        let (queue, tenant) = (job.queue, job.tenant);
        self.quotas.record_demand(tenant);
        let window = self.settings.recent_window();
        self.demand.arrivals[tenant].add(self.now, window, as_sample(!request.is_retry));
        let max_start_tag_before = self.queues[queue].buckets[tenant].max_start_tag;
        if let Some(wait) = self.suspicion_wait(&job) {
            self.quotas.end_request(job.class, id, 0);
            return actions.push(Action::Shed { id, retry_after: self.retry_after(wait) });
        }
        let cost = self.token_cost(tenant, job.size);
        let start_tag = self.assign_start_tag(queue, tenant, cost);
        let finish_tag = start_tag + self.finish_tag_delay(job.class, self.objective(&job));
        job.is_over_share =
            tenant < self.settings.tenants.len() && start_tag > self.now + self.queues[queue].clock_offset;
        self.set_answer_timers(id, &job);
        let pending = PendingRequest::new(job, start_tag, finish_tag, self.max_attempts());
        self.requests.insert(id, pending);
        self.enqueue(id);
        self.dispatch(queue, actions);
        if self.is_too_far_over_share(id, start_tag) {
            let bucket = &mut self.queues[queue].buckets[tenant];
            bucket.tokens += cost;
            bucket.max_start_tag = max_start_tag_before;
            self.answer_unserved(id, actions);
        }
    }

    fn new_job(&mut self, request: &Request) -> Job {
        let class = self.settings.classes[request.class.0].clone();
        let queue = self.queues.iter().position(|queue| queue.kind == class.kind).unwrap_or(0);
        let tenants = self.settings.tenants.len();
        let tenant = request.tenant.map_or(tenants, |tenant| tenant.0.min(tenants));
        let slots = f64::from(request.slots.max(1));
        let work = request.work_hint.map_or(self.class_work[request.class.0], |hint| hint.max(1) as f64);
        let total_work = slots * work;
        let objective = class.latency_objective + (class.work_factor * work) as Micros;
        let age = self.retry_age(request, queue, tenant);
        let deadline = self.now + request.time_remaining.max(0);
        Job {
            class: request.class,
            queue,
            tenant,
            key: request.key,
            is_over_share: false,
            work,
            total_work,
            size: request.work_hint.map_or(slots, |_| total_work),
            has_work_hint: request.work_hint.is_some(),
            overloaded_may_have_run: self.settings.overloaded_may_have_run,
            arrived_at: self.now,
            due_at: (self.now - age + objective).min(deadline),
            deadline,
        }
    }

    /// Returns the time since a request's first try, from which its objective counts. A retry's age is the
    /// deadline less the time that remains. That holds only if the tenant's clients give first tries the
    /// full deadline; otherwise this returns 0, as it does for a first try.
    fn retry_age(&mut self, request: &Request, queue: usize, tenant: usize) -> Micros {
        let class = &self.settings.classes[request.class.0];
        let elapsed = (class.deadline - request.time_remaining).max(0);
        let bucket = &mut self.queues[queue].buckets[tenant];
        if !request.is_retry {
            bucket.gives_up_early = elapsed > class.latency_objective;
        }
        if request.is_retry && !bucket.gives_up_early {
            elapsed
        } else {
            0
        }
    }

    /// Returns the latency objective of a job, including its own work.
    fn objective(&self, job: &Job) -> Micros {
        let class = &self.settings.classes[job.class.0];
        class.latency_objective + (class.work_factor * job.work) as Micros
    }

    /// Sets the timers by which a queued request is answered: before its client gives up, and when it can no
    /// longer be in time.
    ///
    /// Departure: while most clients of a tenant disconnect early, its requests are queued no longer than they
    /// wait. If only a few do, or clients of other tenants, requests must not be shed on arrival because of them.
    fn set_answer_timers(&mut self, id: RequestId, job: &Job) {
        let margin = self.settings.tick.max(MIN_ANSWER_MARGIN);
        self.timers.set(job.deadline - margin, Timer::AnswerDue(id));
        let abandonment = &self.abandonments[job.tenant];
        let many_disconnect_early = abandonment.share > MAX_EARLY_DISCONNECT_SHARE;
        let queue_fraction = if many_disconnect_early { abandonment.wait_fraction } else { 1.0 };
        let until = self.now + ((job.due_at - self.now) as f64 * queue_fraction) as Micros;
        let start_wait =
            if self.uses_probes(job.queue) { 0 } else { self.queues[job.queue].least_start_wait() as Micros };
        self.timers.set(until - job.work as Micros - start_wait, Timer::AnswerDue(id));
    }

    /// Returns whether a request is too far beyond its tenant's share to be queued, and has to be shed on
    /// arrival.
    ///
    /// Departure: a request beyond its tenant's share may wait only for the fraction `over_share_fraction`
    /// of the mean objective, and a later start is shed before it has cost any work. The mean is over all
    /// classes, because with their own objectives a flood would consist of the classes with the most work.
    fn is_too_far_over_share(&self, id: RequestId, start_tag: Micros) -> bool {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_queued) else { return false };
        let longest_wait = self.mean_objective() * self.settings.over_share_fraction.clamp(0.0, 1.0);
        let start = start_tag - self.queues[request.job.queue].clock_offset;
        request.job.tenant < self.settings.tenants.len() && start > self.now + longest_wait as Micros
    }

    /// Returns the rate of a tenant's bucket (rho), in tokens per microsecond: a fraction of the tenant's
    /// quota or, without a quota, its share of this scheduler's completion rate (or of the rate at the
    /// concurrency limit, if greater).
    fn bucket_rate(&self, queue: usize, tenant: usize) -> f64 {
        let Some(quota) = self.settings.quota(tenant) else { return self.share_rate(queue, tenant) };
        // Departure: a rate that all schedulers have agreed on takes precedence.
        if let Some(rate) = self.quotas.tenant_rate(tenant) {
            return rate;
        }
        self.quota_fraction() * quota / 1e6
    }

    /// Returns the fraction of a tenant's quota that this scheduler's bucket allows.
    ///
    /// Departure: it is an equal part for each scheduler or, if greater, the fraction that the median tenant
    /// uses here. A busy scheduler is busy with most tenants, while a flood comes from one.
    fn quota_fraction(&self) -> f64 {
        let tenants = 0..self.settings.tenants.len();
        let quotas = tenants.filter_map(|tenant| Some((tenant, self.settings.quota(tenant)?)));
        let mut fractions: Vec<f64> =
            quotas.map(|(tenant, quota)| self.arrival_rate(tenant) * 1e6 / quota).collect();
        fractions.sort_unstable_by(f64::total_cmp);
        fractions[fractions.len() / 2].clamp(1.0 / f64::from(self.settings.schedulers.max(1)), 1.0)
    }

    fn share_rate(&self, queue: usize, tenant: usize) -> f64 {
        let queue = &self.queues[queue];
        let total: f64 = self.settings.tenants.iter().map(|tenant| tenant.share.max(0.0)).sum();
        let share = match self.settings.tenants.get(tenant) {
            Some(tenant) if total > 0.0 => tenant.share.max(0.0) / total,
            _ => 1.0 / queue.buckets.len() as f64,
        };
        let rate_at_limit = queue.concurrency.limit() * self.mean_size / self.mean_objective();
        let completed = queue.completed.rate(self.now, self.settings.recent_window());
        share.max(MIN_RATE_SHARE) * completed.max(rate_at_limit)
    }

    /// Returns the rate of a tenant's first tries here per microsecond, over the recent window or the time
    /// since the start.
    fn arrival_rate(&self, tenant: usize) -> f64 {
        let window = self.settings.recent_window();
        let age = (self.now - self.demand.since.unwrap_or(self.now)) as f64;
        let observed_window_fraction =
            (1.0 - (-age / window).exp()).max(self.settings.eighth_of_recent_window() as f64 / window);
        self.demand.arrivals[tenant].rate(self.now, window) / observed_window_fraction
    }

    /// Returns the tokens that a request costs.
    ///
    /// Departure: it is one token if the quota counts requests, or a few long requests would look like a
    /// flood.
    fn token_cost(&self, tenant: usize, size: f64) -> f64 {
        self.settings.quota(tenant).map_or(size, |_| 1.0)
    }

    /// Updates the tenant's bucket, takes the cost of a request from it, and returns the request's start
    /// tag.
    fn assign_start_tag(&mut self, queue: usize, tenant: usize, cost: f64) -> Micros {
        let rate = self.bucket_rate(queue, tenant);
        let min_depth = MIN_BUCKET_REQUESTS * self.token_cost(tenant, self.mean_size);
        let depth = (rate * self.mean_objective()).max(min_depth);
        let refills_when_idle = self.may_reset_deficit(queue, tenant);
        let parameters = BucketParameters { rate, depth, cost, refills_when_idle };
        self.queues[queue].assign_start_tag(self.now, tenant, parameters)
    }

    /// Returns the delay from a request's start tag to its finish tag (delta).
    ///
    /// Departure: it is the objective times the square root of the best class's weight over the own class's,
    /// each per unit of work. In an overload, classes with more weight for their work are delayed less.
    fn finish_tag_delay(&self, class: ClassId, objective: Micros) -> Micros {
        let work_unit = |work: &f64| if self.settings.weight_by_work { 1.0 } else { work.max(1.0) };
        let classes = self.settings.classes.iter().zip(&self.class_work);
        let weights: Vec<f64> = classes
            .map(|(class, work)| (class.priority_weight / work_unit(work)).max(f64::MIN_POSITIVE))
            .collect();
        let best_weight = weights.iter().copied().fold(0.0, f64::max);
        (objective as f64 * (best_weight / weights[class.0]).min(MAX_WEIGHT_RATIO).sqrt()) as Micros
    }

    /// Returns whether a tenant's deficit may be reset, by a refill of its bucket at a synchronization point
    /// or when a busy period starts.
    ///
    /// Departure: a scheduler with little traffic stays below its limit even while endpoints are full. With
    /// quotas, buckets are therefore refilled only while the share of lost requests is at most the weight of
    /// a request beyond its tenant's share. Harm: while more is lost, a tenant keeps its deficit through
    /// idle periods.
    pub(super) fn may_reset_deficit(&self, queue: usize, tenant: usize) -> bool {
        // One or two lost requests in a row don't show an overload.
        let two_samples = 2.0 * crate::concurrency_limit::SAMPLE_WEIGHT;
        self.settings.quota(tenant).is_none()
            || self.lost_share(queue) <= self.settings.over_share_fraction.max(two_samples)
    }
}
