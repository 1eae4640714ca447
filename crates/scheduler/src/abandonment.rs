//! Clients that leave before they are answered.

use crate::decaying_sum::{as_sample, move_mean};
use crate::request::Job;
use shorepath_types::Micros;

/// The share of clients that leave unanswered, and how long those stay.
#[derive(Debug, Default)]
pub(crate) struct Abandonment {
    /// Running share of clients that leave.
    pub share: f64,
    /// Running mean of the part of the latency objective after which they leave.
    pub stay: f64,
}

impl Abandonment {
    /// A client was answered, or has left; the newest counts with that weight.
    pub fn record(&mut self, now: Micros, job: &Job, has_left: bool, weight: f64) {
        let part = (now - job.arrived_at) as f64 / (job.due_at - job.arrived_at).max(1) as f64;
        move_mean(&mut self.share, as_sample(has_left), weight);
        if has_left {
            move_mean(&mut self.stay, part.min(1.0), weight);
        }
    }
}
