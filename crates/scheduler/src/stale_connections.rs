//! Idle connections that turn out to be dead when they are used again.

use crate::decaying_sum::as_sample;
use shorepath_types::Micros;

/// Weight of the newest sample.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Idle times are distinguished by doublings of a millisecond, up to this many.
const BUCKETS: usize = 16;
/// The width of the first bucket.
const FIRST_BUCKET: Micros = 1_000;

#[derive(Clone, Copy, Debug, Default)]
struct LossShare {
    share: f64,
    updated_at: Micros,
}

impl LossShare {
    fn decay(&self, now: Micros, time_constant: f64) -> f64 {
        (-((now - self.updated_at) as f64) / time_constant).exp()
    }
}

/// The share of attempts that were lost on a connection that had been idle before, by the length of that.
#[derive(Debug, Default)]
pub(crate) struct StaleConnections([LossShare; BUCKETS]);

impl StaleConnections {
    /// An attempt on a connection that had been idle for so long was lost, or has started. A loss confirms what has decayed
    /// meanwhile, a start does not.
    pub fn record(&mut self, now: Micros, idle: Micros, is_lost: bool, time_constant: f64) {
        if idle <= 0 {
            return;
        }
        let entry = &mut self.0[bucket(idle)];
        let decay = if is_lost { 1.0 } else { entry.decay(now, time_constant) };
        entry.share = SAMPLE_WEIGHT * as_sample(is_lost) + (1.0 - SAMPLE_WEIGHT) * entry.share * decay;
        entry.updated_at = now;
    }

    /// The share lost of those that had been idle for so long, or less; it decays while none is tried.
    pub fn loss(&self, now: Micros, idle: Micros, time_constant: f64) -> f64 {
        let decayed = self.0[..=bucket(idle)].iter().map(|e| e.share * e.decay(now, time_constant));
        decayed.fold(0.0, f64::max)
    }
}

fn bucket(idle: Micros) -> usize {
    ((idle / FIRST_BUCKET).max(1).ilog2() as usize).min(BUCKETS - 1)
}
