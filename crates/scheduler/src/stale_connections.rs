//! Tracks how often idle connections turn out to be dead when they are reused.

use crate::decaying_sum::as_sample;
use shorepath_types::Micros;

/// Weight of the newest sample in the running shares.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Number of buckets of idle times.
const BUCKETS: usize = 16;
/// Unit of the idle times of the buckets, in microseconds. Bucket `n` above 0 starts at `2^n` units.
const IDLE_TIME_UNIT: Micros = 1_000;

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

/// Share of attempts lost on reused connections, in buckets of how long the connection had been idle.
#[derive(Debug, Default)]
pub(crate) struct StaleConnections([LossShare; BUCKETS]);

impl StaleConnections {
    /// Records whether an attempt was lost on a connection that had been idle for `idle`. The previous share
    /// decays with time only before a success; a loss confirms it without decay.
    pub fn record(&mut self, now: Micros, idle: Micros, is_lost: bool, time_constant: f64) {
        if idle <= 0 {
            return;
        }
        let loss_share = &mut self.0[bucket(idle)];
        let decay = if is_lost { 1.0 } else { loss_share.decay(now, time_constant) };
        loss_share.share =
            SAMPLE_WEIGHT * as_sample(is_lost) + (1.0 - SAMPLE_WEIGHT) * loss_share.share * decay;
        loss_share.updated_at = now;
    }

    /// Returns the greatest decayed share of lost attempts in the bucket of `idle` and those of shorter
    /// times.
    pub fn loss(&self, now: Micros, idle: Micros, time_constant: f64) -> f64 {
        let decayed = self.0[..=bucket(idle)].iter().map(|e| e.share * e.decay(now, time_constant));
        decayed.fold(0.0, f64::max)
    }
}

fn bucket(idle: Micros) -> usize {
    ((idle / IDLE_TIME_UNIT).max(1).ilog2() as usize).min(BUCKETS - 1)
}
