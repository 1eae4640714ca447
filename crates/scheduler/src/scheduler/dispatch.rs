//! Dispatch: which queued request gets the next attempt.

use super::Scheduler;
use crate::action::Action;
use crate::concurrency_limit::SAMPLE_WEIGHT;
use crate::ids::RequestId;
use crate::timer::Timer;
use shorepath_types::Micros;

/// What a look at a queue brings.
enum Next {
    /// This request has the least finish tag of those that are eligible.
    Request(RequestId),
    /// The clock was moved to a synchronization point: look again.
    Synchronized,
    /// Nothing can be dispatched now.
    Nothing,
}

impl Scheduler {
    /// Queue a request.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_queued = true;
        let (queue, tenant, start_tag) = (request.job.queue, request.job.tenant, request.start_tag);
        self.queues[queue].push(id, tenant, start_tag);
    }

    /// Remove a request from its queue, if it is queued.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.is_queued) else { return };
        (request.is_queued, request.awaits_quota) = (false, false);
        let (queue, tenant) = (request.job.queue, request.job.tenant);
        self.queues[queue].remove(id, tenant, request.start_tag, request.finish_tag);
    }

    /// While the concurrency limit allows it, start the eligible request with the least finish tag.
    pub(super) fn dispatch(&mut self, queue: usize, actions: &mut Vec<Action>) {
        while self.queues[queue].concurrency.has_capacity() {
            let id = match self.next_request(queue) {
                Next::Request(id) => id,
                Next::Synchronized => continue,
                Next::Nothing => return,
            };
            if self.is_too_late_to_start(id, queue) {
                // Each request that is shed lowers the estimate, so that attempts go on.
                self.queues[queue].start_wait.lower_by(SAMPLE_WEIGHT);
                self.answer_unserved(id, actions);
                continue;
            }
            // Whatever queued it: nothing exceeds the retry budget, and without it the answer is due now.
            if self.requests[&id].attempts > 0 && !self.retry_budget_allows() {
                self.answer_unserved(id, actions);
                continue;
            }
            let Some(endpoint) = self.select_endpoint(&self.requests[&id], queue) else { return };
            self.dequeue(id);
            // Quotas that all schedulers divide: it waits for its share, or has its answer where that is too late.
            if let Err(wait) = self.quotas.take_attempt(self.now, id, &self.requests[&id]) {
                self.wait_for_quota(id, wait, actions);
            } else if self.uses_probes(queue) {
                self.queues[queue].concurrency.in_flight += 1;
                self.probe_next(id, actions);
            } else {
                self.start_attempt(id, endpoint, actions);
            }
        }
    }

    /// The eligible request with the least finish tag. With none eligible but some queued, a synchronization point moves the clock
    /// to the least start tag and refills the buckets of tenants that have nothing queued.
    fn next_request(&mut self, queue: usize) -> Next {
        let (now, requests) = (self.now, &self.requests);
        self.queues[queue].admit_eligible(now, |id| requests[&id].finish_tag);
        if let Some(id) = self.queues[queue].first_eligible() {
            return Next::Request(id);
        }
        let Some((start_tag, id)) = self.queues[queue].first_waiting() else { return Next::Nothing };
        let request = &self.requests[&id];
        if request.awaits_quota || !self.forgives_debt(queue, request.job.tenant) {
            let at = start_tag - self.queues[queue].clock_offset;
            self.timers.set(at, Timer::CapacityFreed);
            return Next::Nothing;
        }
        self.queues[queue].synchronize(now, start_tag);
        Next::Synchronized
    }

    /// Departure: a job with a work hint that would start too late to be in time, by what starts take now, is shed early.
    fn is_too_late_to_start(&self, id: RequestId, queue: usize) -> bool {
        let request = &self.requests[&id];
        let start_wait = self.queues[queue].least_start_wait() as Micros;
        request.job.has_work_hint && self.is_too_late(request, start_wait)
    }

    /// A quota that all schedulers divide has nothing for the request before that time is over.
    fn wait_for_quota(&mut self, id: RequestId, wait: Micros, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.start_tag = self.now + wait + self.queues[request.job.queue].clock_offset;
        request.awaits_quota = true;
        if self.is_too_late(&self.requests[&id], wait) {
            self.answer_unserved(id, actions);
        } else {
            self.enqueue(id);
            self.timers.set(self.now + wait, Timer::CapacityFreed);
        }
    }
}
