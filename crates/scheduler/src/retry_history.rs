//! Times of requests and retries within the window of the retry budget.

use shorepath_types::Micros;
use std::collections::VecDeque;

/// Times of requests and retries, each in ascending order.
#[derive(Debug, Default)]
pub(crate) struct RetryHistory {
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryHistory {
    /// Records the arrival of a request.
    pub fn record_request(&mut self, now: Micros) {
        self.requests.push_back(now);
    }

    /// Records the start of a retry.
    pub fn record_retry(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// Counts the requests that arrived after `from`.
    pub fn requests_after(&self, from: Micros) -> usize {
        self.requests.len() - self.requests.partition_point(|at| *at <= from)
    }

    /// Counts the retries that started at `from` or later.
    pub fn retries_since(&self, from: Micros) -> usize {
        self.retries.len() - self.retries.partition_point(|at| *at < from)
    }

    /// Removes entries that a window from `from` no longer counts.
    pub fn forget_before(&mut self, from: Micros) {
        self.requests.drain(..self.requests.partition_point(|at| *at <= from));
        self.retries.drain(..self.retries.partition_point(|at| *at < from));
    }
}
