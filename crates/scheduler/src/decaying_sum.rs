//! Sums that decay exponentially in time.

use shorepath_types::Micros;

/// A sum that decays exponentially; the caller passes the time constant, in microseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Micros,
}

impl DecayingSum {
    /// Add to the sum.
    pub fn add(&mut self, now: Micros, time_constant: f64, amount: f64) {
        self.sum = self.decayed(now, time_constant) + amount;
        self.updated_at = now;
    }

    /// The rate that the sum amounts to, by the microsecond.
    pub fn rate(&self, now: Micros, time_constant: f64) -> f64 {
        self.decayed(now, time_constant) / time_constant
    }

    fn decayed(&self, now: Micros, time_constant: f64) -> f64 {
        self.sum * (-((now - self.updated_at) as f64) / time_constant).exp()
    }
}

/// Move a running mean towards a sample; the newest sample counts with that weight.
pub(crate) fn move_mean(mean: &mut f64, sample: f64, weight: f64) {
    *mean += weight * (sample - *mean);
}

/// 1 for true, 0 for false: samples of a share.
pub(crate) fn as_sample(happened: bool) -> f64 {
    f64::from(u8::from(happened))
}
