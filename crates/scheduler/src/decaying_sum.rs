//! Sums that decay exponentially with time, and running means.

use shorepath_types::Micros;

/// A sum that decays exponentially. The caller passes the time constant, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// Adds an amount to the sum.
    pub fn add(&mut self, now: Micros, time_constant: f64, amount: f64) {
        self.sum = self.decayed(now, time_constant) + amount;
        self.updated_at = now;
    }

    /// Returns the average rate that the sum represents, per microsecond.
    pub fn rate(&self, now: Micros, time_constant: f64) -> f64 {
        self.decayed(now, time_constant) / time_constant
    }

    fn decayed(&self, now: Micros, time_constant: f64) -> f64 {
        self.sum * (-((now - self.updated_at) as f64) / time_constant).exp()
    }
}

/// Moves a running mean towards a sample of the given weight, from 0 to 1.
pub(crate) fn move_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += weight * (sample - *mean);
}

/// Returns 1 for true and 0 for false, as a sample of a running share.
pub(crate) fn as_sample(happened: bool) -> f64 {
    f64::from(u8::from(happened))
}
