//! Admission: what becomes of a request as it arrives, and the rates and tags that fair queuing gives it.

use super::Scheduler;
use crate::action::Action;
use crate::decaying_sum::as_sample;
use crate::event::Request;
use crate::fair_queue::BucketTerms;
use crate::ids::{ClassId, RequestId};
use crate::request::{Job, PendingRequest};
use crate::timer::Timer;
use shorepath_types::Micros;

/// An answer leaves at least this long before the client gives up.
const MIN_ANSWER_MARGIN: Micros = 1_000;
/// The least part of the completion rate that a tenant's bucket gets.
const MIN_SHARE: f64 = 0.001;
/// A bucket saves at least this many mean requests.
const MIN_BUCKET_REQUESTS: f64 = 5.0;
/// A class of little weight waits no longer than the root of this many times the objective.
const MAX_WEIGHT_RATIO: f64 = 100.0;
/// Where more clients than this share leave early, requests wait no longer than those stay.
const MANY_LEAVE: f64 = 0.5;

impl Scheduler {
    /// A request has arrived: it is rejected, shed, or queued.
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
        let max_start_before = self.queues[queue].buckets[tenant].max_start;
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
            bucket.max_start = max_start_before;
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

    /// How long ago the first try of a request was made. A marked retry began when its first try did; its objective has run since.
    /// Its age shows in the time that remains only where the tenant's clients give first tries the whole deadline.
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

    /// The latency objective of a job, its own work included.
    fn objective(&self, job: &Job) -> Micros {
        let class = &self.settings.classes[job.class.0];
        class.latency_objective + (class.work_factor * job.work) as Micros
    }

    /// When a request that is still queued has to be answered: before its client gives up, and when it can no longer be in time.
    /// Departure: where most clients leave early it is queued no longer than they stay. A few leave anywhere; the others must not
    /// be shed for them on arrival.
    fn set_answer_timers(&mut self, id: RequestId, job: &Job) {
        let margin = self.settings.tick.max(MIN_ANSWER_MARGIN);
        self.timers.set(job.deadline - margin, Timer::AnswerDue(id));
        let leaves_early = self.abandonment.share > MANY_LEAVE;
        let part = if leaves_early { self.abandonment.stay } else { 1.0 };
        let until = self.now + ((job.due_at - self.now) as f64 * part) as Micros;
        let start_wait =
            if self.uses_probes(job.queue) { 0 } else { self.queues[job.queue].least_start_wait() as Micros };
        self.timers.set(until - job.work as Micros - start_wait, Timer::AnswerDue(id));
    }

    /// Departure: beyond its tenant's share a request waits only that part of the mean objective (of all classes, or a flood would
    /// select heavy ones) which its weight amounts to; a later start is shed for free.
    fn is_too_far_over_share(&self, id: RequestId, start_tag: Micros) -> bool {
        let Some(request) = self.requests.get(&id).filter(|request| request.is_queued) else { return false };
        let longest_wait = self.mean_objective() * self.settings.over_share_fraction.clamp(0.0, 1.0);
        let start = start_tag - self.queues[request.job.queue].clock_offset;
        request.job.tenant < self.settings.tenants.len() && start > self.now + longest_wait as Micros
    }

    /// The rate of a tenant's bucket (rho): its share of the own completion rate, or of that of a full limit.
    fn bucket_rate(&self, queue: usize, tenant: usize) -> f64 {
        let Some(quota) = self.settings.quota(tenant) else { return self.share_rate(queue, tenant) };
        // Departure: where all schedulers have agreed on a rate, that one.
        if let Some(rate) = self.quotas.tenant_rate(tenant) {
            return rate;
        }
        self.typical_quota_part() * quota / 1e6
    }

    /// Departure: rho is an even part of the tenant's quota, or what the median tenant uses here of its own, if that is more. A busy
    /// scheduler is busy with most, a flood comes from one.
    fn typical_quota_part(&self) -> f64 {
        let tenants = 0..self.settings.tenants.len();
        let quotas = tenants.filter_map(|tenant| Some((tenant, self.settings.quota(tenant)?)));
        let mut parts: Vec<f64> =
            quotas.map(|(tenant, quota)| self.arrival_rate(tenant) * 1e6 / quota).collect();
        parts.sort_unstable_by(f64::total_cmp);
        parts[parts.len() / 2].clamp(1.0 / f64::from(self.settings.schedulers.max(1)), 1.0)
    }

    fn share_rate(&self, queue: usize, tenant: usize) -> f64 {
        let queue = &self.queues[queue];
        let total: f64 = self.settings.tenants.iter().map(|tenant| tenant.share.max(0.0)).sum();
        let share = match self.settings.tenants.get(tenant) {
            Some(tenant) if total > 0.0 => tenant.share.max(0.0) / total,
            _ => 1.0 / queue.buckets.len() as f64,
        };
        let full = queue.concurrency.limit() * self.mean_size / self.mean_objective();
        let completed = queue.completed.rate(self.now, self.settings.recent_window());
        share.max(MIN_SHARE) * completed.max(full)
    }

    /// First tries of a tenant here, by the microsecond, since the start or over the recent window.
    fn arrival_rate(&self, tenant: usize) -> f64 {
        let window = self.settings.recent_window();
        let age = (self.now - self.demand.since.unwrap_or(self.now)) as f64;
        let seen = (1.0 - (-age / window).exp()).max(self.settings.recent_eighth() as f64 / window);
        self.demand.arrivals[tenant].rate(self.now, window) / seen
    }

    /// What a request takes of its bucket. Departure: one token where the quota counts requests, or a few long ones would look like
    /// a flood.
    fn token_cost(&self, tenant: usize, size: f64) -> f64 {
        self.settings.quota(tenant).map_or(size, |_| 1.0)
    }

    /// Bring the tenant's bucket up to date and take what the request costs; its start tag.
    fn assign_start_tag(&mut self, queue: usize, tenant: usize, cost: f64) -> Micros {
        let rate = self.bucket_rate(queue, tenant);
        let least = MIN_BUCKET_REQUESTS * self.token_cost(tenant, self.mean_size);
        let depth = (rate * self.mean_objective()).max(least);
        let refills_when_idle = self.forgives_debt(queue, tenant);
        let terms = BucketTerms { rate, depth, cost, refills_when_idle };
        self.queues[queue].assign_start_tag(self.now, tenant, terms)
    }

    /// Departure: the delay from start to finish tag (delta) is the objective, longer by the root of how much less than the best
    /// class a class weighs for its work: of an overload's delay the classes whose work weighs more bear less.
    fn finish_tag_delay(&self, class: ClassId, objective: Micros) -> Micros {
        let per = |work: &f64| if self.settings.weight_by_work { 1.0 } else { work.max(1.0) };
        let classes = self.settings.classes.iter().zip(&self.class_work);
        let weights: Vec<f64> =
            classes.map(|(class, work)| (class.priority_weight / per(work)).max(f64::MIN_POSITIVE)).collect();
        let best = weights.iter().copied().fold(0.0, f64::max);
        (objective as f64 * (best / weights[class.0]).min(MAX_WEIGHT_RATIO).sqrt()) as Micros
    }

    /// Departure: one that carries little finds its limit open although endpoints are full. Where tenants have quotas it refills
    /// buckets, at a synchronization point or as a busy period begins, only while what a request beyond its share displaces, by the
    /// share lost, weighs less. Harm: see `docs/`.
    pub(super) fn forgives_debt(&self, queue: usize, tenant: usize) -> bool {
        // One bad sample is no evidence: two in a row are.
        let two_samples = 2.0 * crate::concurrency_limit::SAMPLE_WEIGHT;
        self.settings.quota(tenant).is_none()
            || self.lost_share(queue) <= self.settings.over_share_fraction.max(two_samples)
    }
}
