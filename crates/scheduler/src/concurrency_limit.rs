//! The limit on attempts in flight, learned from what the scheduler itself sees.

use crate::decaying_sum::{as_sample, move_mean};

/// Weight of the newest sample in running means.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// The limit is never below this.
const MIN_LIMIT: f64 = 2.0;

/// What an attempt shows of the capacity of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapacitySample {
    /// It was rejected for lack of capacity.
    Overloaded,
    /// It has started (or, where starts are not reported, was answered).
    Started {
        /// It started soon enough.
        is_timely: bool,
        /// It started too late for its answer to be in time.
        is_late: bool,
    },
}

/// A limit on attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Running share of samples that were not timely; while it is small the limit doubles.
    congestion: f64,
    /// Running share of attempts that were rejected for lack of capacity.
    pub overloaded_share: f64,
    /// Running share of starts too late to be in time.
    pub late_share: f64,
    pub in_flight: u32,
    /// Running mean of what is in flight as an attempt is started.
    pub mean_in_flight: f64,
}

impl ConcurrencyLimit {
    /// The limit, in attempts.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Whether one more attempt may be in flight.
    pub fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    /// An attempt is started.
    pub fn start(&mut self) {
        move_mean(&mut self.mean_in_flight, f64::from(self.in_flight), SAMPLE_WEIGHT);
        self.in_flight += 1;
    }

    /// The limit widens when it left capacity for a job to be in time, and narrows when it did not, for an overload rejection half
    /// as much.
    pub fn record(&mut self, sample: CapacitySample) {
        let (is_overloaded, is_timely) = match sample {
            CapacitySample::Overloaded => (true, false),
            CapacitySample::Started { is_timely, .. } => (false, is_timely),
        };
        move_mean(&mut self.overloaded_share, as_sample(is_overloaded), SAMPLE_WEIGHT);
        move_mean(&mut self.congestion, as_sample(!is_timely), SAMPLE_WEIGHT);
        if let CapacitySample::Started { is_late, .. } = sample {
            move_mean(&mut self.late_share, as_sample(is_late), SAMPLE_WEIGHT);
        }
        if !is_timely {
            self.limit -= if is_overloaded { 0.5 } else { 1.0 } / self.limit;
        } else if f64::from(self.in_flight) + 1.0 >= self.limit {
            self.limit += if self.congestion < SAMPLE_WEIGHT / 2.0 { 1.0 } else { 1.0 / self.limit };
        }
    }

    /// Raise the limit to the least one, which is also the first: each endpoint can do one job at a time, and so many schedulers
    /// share them; two in any case. With more schedulers than endpoints it grows with their number: what one of them sees is the
    /// load of the others, which its own limit can't relieve, and with all limits narrowed together jobs would be held while
    /// endpoints are idle.
    pub fn raise_to_minimum(&mut self, live_endpoints: usize, schedulers: u32) {
        let (endpoints, schedulers) = (live_endpoints.max(1) as f64, f64::from(schedulers.max(1)));
        let least = MIN_LIMIT * (schedulers / endpoints).max(1.0);
        self.limit = self.limit.max(endpoints / schedulers).max(least);
    }
}
