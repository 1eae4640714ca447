//! An adaptive limit on attempts in flight, based on the starts and rejections that this scheduler observes.

use crate::decaying_sum::{as_sample, move_mean};

/// Weight of the newest sample in running means.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.1;
/// Lower bound of the limit, in attempts.
const MIN_LIMIT: f64 = 2.0;

/// What the outcome of an attempt shows about the capacity of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapacitySample {
    /// The attempt was rejected for lack of capacity.
    Overloaded,
    /// The job has started, or was answered where endpoints don't report starts.
    Started {
        /// The job started early enough to show spare capacity.
        is_timely: bool,
        /// The job started too late for its answer to be in time.
        is_late: bool,
    },
}

/// A limit on attempts in flight.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Running share of samples that were not timely. While it is small, each timely start at the limit
    /// raises the limit by one.
    congestion: f64,
    /// Running share of attempts that were rejected for lack of capacity.
    pub overloaded_share: f64,
    /// Running share of starts that came too late for an answer in time.
    pub late_share: f64,
    pub in_flight: u32,
    /// Running mean of `in_flight` as an attempt starts.
    pub mean_in_flight: f64,
}

impl ConcurrencyLimit {
    /// Returns the limit, in attempts.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns whether one more attempt may be in flight.
    pub fn has_capacity(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    /// Counts a new attempt.
    pub fn start(&mut self) {
        move_mean(&mut self.mean_in_flight, f64::from(self.in_flight), SAMPLE_WEIGHT);
        self.in_flight += 1;
    }

    /// Raises the limit after a timely start that reached it, and lowers it after a late start, or by half
    /// as much after an overload rejection.
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

    /// Raises the limit to its lower bound, which is also its first value: this scheduler's part of one job
    /// per endpoint, and at least `MIN_LIMIT`. With more schedulers than endpoints, the bound grows with
    /// their ratio. Each scheduler then mostly observes the load of the others, which its own limit can't
    /// reduce, and limits lowered by all schedulers at once would hold requests back while endpoints are
    /// idle.
    pub fn raise_to_minimum(&mut self, live_endpoints: usize, schedulers: u32) {
        let (endpoints, schedulers) = (live_endpoints.max(1) as f64, f64::from(schedulers.max(1)));
        let lower_bound = MIN_LIMIT * (schedulers / endpoints).max(1.0);
        self.limit = self.limit.max(endpoints / schedulers).max(lower_bound);
    }
}
