//! Tracks clients that disconnect before they are answered.

use crate::decaying_sum::move_mean;
use crate::request::Job;
use shorepath_types::Micros;

/// The share of a tenant's clients that disconnect unanswered, and how long they wait before that.
#[derive(Clone, Debug, Default)]
pub(crate) struct Abandonment {
    /// Running share of requests whose client disconnected.
    pub share: f64,
    /// Running mean of the time until they disconnect, as a fraction of the latency objective.
    pub wait_fraction: f64,
}

impl Abandonment {
    /// Records that a request was answered, or that its client disconnected, as a sample of the given
    /// weight.
    ///
    /// A client that disconnects counts by how long it has waited: one that leaves at once, a thousand times
    /// a second, is no evidence of how long others wait.
    pub fn record(&mut self, now: Micros, job: &Job, has_left: bool, weight: f64) {
        if !has_left {
            return move_mean(&mut self.share, 0.0, weight);
        }
        let objective = (job.due_at - job.arrived_at).max(1);
        let fraction = ((now - job.arrived_at) as f64 / objective as f64).min(1.0);
        move_mean(&mut self.share, 1.0, weight * fraction);
        move_mean(&mut self.wait_fraction, fraction, weight * fraction);
    }
}
