//! Answers and retries: whether a request may be retried, and the answer of a request that is not served.

use super::attempts::RARE_SAMPLE_WEIGHT;
use super::Scheduler;
use crate::action::Action;
use crate::endpoint_table::TrackedEndpoint;
use crate::event::AttemptStatus;
use crate::ids::RequestId;
use crate::request::{Job, PendingRequest};
use crate::settings::{DedupScope, Idempotency};
use shorepath_types::Micros;

impl Scheduler {
    /// Returns whether a request may be retried.
    pub(super) fn may_retry(&self, request: &PendingRequest) -> bool {
        // The retry budget is reserved for requests within their tenant's share.
        let may_use_budget = self.settings.retry_budget.is_none() || !request.job.is_over_share;
        let is_safe_to_repeat = self.repeatable_until(request).is_none_or(|end| self.now < end);
        let has_time = request.job.deadline > self.now + self.settings.tick;
        may_use_budget
            && is_safe_to_repeat
            && !self.is_job_at_fault(&request.job)
            && has_time
            && request.attempts < request.max_attempts
    }

    /// Returns the time until which one more attempt of a request is harmless, or `None` if no attempt may
    /// have run yet.
    pub(super) fn repeatable_until(&self, request: &PendingRequest) -> Option<Micros> {
        let window = self.settings.classes[request.job.class.0].idempotency.repeat_window();
        request.first_run.map(|run| run.sent_at.saturating_add(window))
    }

    /// Returns whether the retry budget allows one more retry. Requests count if they arrived strictly
    /// inside the window; retries also count if they started at its first moment.
    pub(super) fn retry_budget_allows(&self) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        let from = self.now - budget.window;
        let requests = self.retry_history.requests_after(from) as f64;
        let retries = self.retry_history.retries_since(from) as f64;
        let min_retries = budget.min_retries.max(0.0) / f64::from(self.settings.processes.max(1));
        retries + 1.0 <= min_retries + budget.ratio.max(0.0) * requests
    }

    pub(super) fn max_attempts(&self) -> u32 {
        Some(self.settings.max_attempts).filter(|max| *max > 0).unwrap_or(u32::MAX)
    }

    /// Returns whether `status` proves that a job never ran. Both the current settings and those at the
    /// job's arrival must rule it out.
    pub(super) fn never_ran(&self, job: &Job, status: AttemptStatus) -> bool {
        match status {
            AttemptStatus::Overloaded => {
                !self.settings.overloaded_may_have_run && !job.overloaded_may_have_run
            }
            AttemptStatus::ConnectFailed | AttemptStatus::NotSent => true,
            _ => false,
        }
    }

    /// Returns whether one more attempt at the endpoint is harmless, given where and when an earlier one may
    /// have run.
    pub(super) fn is_in_dedup_scope(&self, request: &PendingRequest, tracked: &TrackedEndpoint) -> bool {
        let Some(run) = request.first_run else { return true };
        let idempotency = self.settings.classes[request.job.class.0].idempotency;
        let first = self.endpoints.get(run.endpoint).map(|first| &first.endpoint);
        let is_same = match idempotency {
            Idempotency::Keyed { scope: DedupScope::Zone, .. } => {
                first.is_some_and(|first| first.zone == tracked.endpoint.zone)
            }
            Idempotency::Keyed { scope: DedupScope::Cell, .. } => {
                first.is_some_and(|first| first.cell == tracked.endpoint.cell)
            }
            _ => true,
        };
        is_same && self.now - run.sent_at < idempotency.repeat_window()
    }

    /// Returns whether a request that waits for `wait` before it starts can no longer get an answer with any
    /// value.
    pub(super) fn is_too_late(&self, request: &PendingRequest, wait: Micros) -> bool {
        let class = &self.settings.classes[request.job.class.0];
        let end = if class.late_fraction > 0.0 { request.job.deadline } else { request.job.due_at };
        self.now + wait + request.job.work as Micros > end
    }

    /// Answers a request that is not served: it is shed if a retry is harmless, and otherwise fails.
    pub(super) fn answer_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let idempotency = self.settings.classes[request.job.class.0].idempotency;
        let is_retry_safe = matches!(
            idempotency,
            Idempotency::Idempotent | Idempotency::Keyed { scope: DedupScope::All, .. }
        );
        if is_retry_safe || request.first_run.is_none() {
            let retry_after = self.retry_after(self.wait_for_tokens(request));
            actions.push(Action::Shed { id, retry_after });
        } else {
            actions.push(Action::Fail { id });
        }
        self.forget(id);
    }

    /// Returns the time until the tenant has tokens and the budget allows retries again, and at least the
    /// longest objective.
    fn wait_for_tokens(&self, request: &PendingRequest) -> Micros {
        let tokens = request.start_tag - self.queues[request.job.queue].clock_offset - self.now;
        let exhausted = self.settings.retry_budget.filter(|_| !self.retry_budget_allows());
        let budget_wait = exhausted.map_or(0, |budget| budget.window);
        tokens.max(budget_wait).max(self.settings.longest_objective() as Micros)
    }

    /// Returns the retry-after for an answer, or `None` if clients don't honor it.
    pub(super) fn retry_after(&self, wait: Micros) -> Option<Micros> {
        self.settings.sends_retry_after.then_some(wait.min(self.settings.max_retry_after))
    }

    /// Ends a request that was answered, or whose client disconnected.
    pub(super) fn end_request(&mut self, id: RequestId, has_left: bool) {
        if let Some(job) = self.requests.get(&id).map(|request| &request.job) {
            // The tenant of a request from before a change of the settings may not exist any more.
            if let Some(abandonment) = self.abandonments.get_mut(job.tenant) {
                abandonment.record(self.now, job, has_left, RARE_SAMPLE_WEIGHT);
            }
        }
        self.forget(id);
    }

    /// Removes a request and all that is reserved for it.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.dequeue(id);
        self.stop_probing(id);
        if let Some(request) = self.requests.remove(&id) {
            self.quotas.end_request(request.job.class, id, request.attempts);
        }
    }
}
