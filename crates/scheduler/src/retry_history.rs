//! When requests came and retries were made, over the window of the retry budget.

use shorepath_types::Micros;
use std::collections::VecDeque;

/// Times of requests and of retries, each in order.
#[derive(Debug, Default)]
pub(crate) struct RetryHistory {
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryHistory {
    /// A request has come.
    pub fn record_request(&mut self, now: Micros) {
        self.requests.push_back(now);
    }

    /// A retry is made.
    pub fn record_retry(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// How many requests came after that moment.
    pub fn requests_after(&self, from: Micros) -> usize {
        self.requests.len() - self.requests.partition_point(|at| *at <= from)
    }

    /// How many retries were made from that moment on.
    pub fn retries_since(&self, from: Micros) -> usize {
        self.retries.len() - self.retries.partition_point(|at| *at < from)
    }

    /// Drop what no longer counts.
    pub fn forget_before(&mut self, from: Micros) {
        self.requests.drain(..self.requests.partition_point(|at| *at <= from));
        self.retries.drain(..self.retries.partition_point(|at| *at < from));
    }
}
