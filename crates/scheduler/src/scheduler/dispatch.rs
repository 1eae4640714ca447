//! Dispatch: selects the queued request that gets the next attempt.

use super::Scheduler;
use crate::action::Action;
use crate::concurrency_limit::SAMPLE_WEIGHT;
use crate::ids::RequestId;
use crate::timer::Timer;
use shorepath_types::Micros;

/// The result of looking for the next request of a queue.
enum NextRequest {
    /// The eligible request with the least finish tag.
    Request(RequestId),
    /// The virtual clock was moved to a synchronization point, so requests may be eligible now.
    Synchronized,
    /// No request can be dispatched now.
    Nothing,
}

impl Scheduler {
    /// Queues a request.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_queued = true;
        let (queue, tenant, start_tag) = (request.job.queue, request.job.tenant, request.start_tag);
        self.queues[queue].push(id, tenant, start_tag);
    }

    /// Removes a request from its queue, if it is queued.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.is_queued) else { return };
        (request.is_queued, request.awaits_quota) = (false, false);
        let (queue, tenant) = (request.job.queue, request.job.tenant);
        self.queues[queue].remove(id, tenant, request.start_tag, request.finish_tag);
    }

    /// Starts the eligible requests with the least finish tags while the concurrency limit allows it.
    pub(super) fn dispatch(&mut self, queue: usize, actions: &mut Vec<Action>) {
        while self.queues[queue].concurrency.has_capacity() {
            let id = match self.next_request(queue) {
                NextRequest::Request(id) => id,
                NextRequest::Synchronized => continue,
                NextRequest::Nothing => return,
            };
            if self.is_too_late_to_start(id, queue) {
                // Each shed request lowers the estimate, so that attempts resume.
                self.queues[queue].start_wait.lower_by(SAMPLE_WEIGHT);
                self.answer_unserved(id, actions);
                continue;
            }
            // A retry that the budget does not allow is answered now, because it can't wait for the budget.
            if self.requests[&id].attempts > 0 && !self.retry_budget_allows() {
                self.answer_unserved(id, actions);
                continue;
            }
            let Some(endpoint) = self.select_endpoint(&self.requests[&id], queue) else { return };
            self.dequeue(id);
            // A request without a unit of a quota that all schedulers divide waits for one, or is answered
            // if that takes too long.
            if let Err(wait) = self.quotas.take_attempt(self.now, id, &self.requests[&id]) {
                self.wait_for_quota(id, wait, actions);
            } else if self.uses_probes(queue) {
                self.queues[queue].concurrency.in_flight += 1;
                self.start_probe_round(id, actions);
            } else {
                self.start_attempt(id, endpoint, actions);
            }
        }
    }

    /// Returns the eligible request with the least finish tag. If none is eligible but some are queued, a
    /// synchronization point moves the clock to the least start tag and refills the buckets of tenants
    /// without queued requests.
    fn next_request(&mut self, queue: usize) -> NextRequest {
        let (now, requests) = (self.now, &self.requests);
        self.queues[queue].admit_eligible(now, |id| requests[&id].finish_tag);
        if let Some(id) = self.queues[queue].first_eligible() {
            return NextRequest::Request(id);
        }
        let Some((start_tag, id)) = self.queues[queue].first_waiting() else { return NextRequest::Nothing };
        let request = &self.requests[&id];
        if request.awaits_quota || !self.may_reset_deficit(queue, request.job.tenant) {
            let at = start_tag - self.queues[queue].clock_offset;
            self.timers.set(at, Timer::CapacityFreed);
            return NextRequest::Nothing;
        }
        self.queues[queue].synchronize(now, start_tag);
        NextRequest::Synchronized
    }

    /// Returns whether a request would start too late for an answer in time, given the current wait for a
    /// start.
    ///
    /// Departure: such a request is shed early if it has a work hint.
    fn is_too_late_to_start(&self, id: RequestId, queue: usize) -> bool {
        let request = &self.requests[&id];
        let start_wait = self.queues[queue].least_start_wait() as Micros;
        request.job.has_work_hint && self.is_too_late(request, start_wait)
    }

    /// Queues a request again until a quota that all schedulers divide has a unit for it, or answers it if
    /// that takes too long.
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
