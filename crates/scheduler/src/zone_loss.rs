//! Tracks lost answers and slow starts for each zone.

use crate::decaying_sum::{as_sample, move_mean};
use crate::ids::ZoneId;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct ZoneStats {
    /// Running share of attempts without an answer.
    unanswered: f64,
    /// Running mean of the wait for a start, as a fraction of the latency objective.
    start_wait: f64,
}

/// The losses of each zone, by zone number.
#[derive(Debug, Default)]
pub(crate) struct ZoneLosses(BTreeMap<u32, ZoneStats>);

impl ZoneLosses {
    /// Records whether an attempt to the zone remained unanswered, as a sample of the given weight.
    pub fn record_attempt(&mut self, zone: ZoneId, is_unanswered: bool, weight: f64) {
        move_mean(&mut self.stats(zone).unanswered, as_sample(is_unanswered), weight);
    }

    /// Records the wait for a start in the zone, as a fraction of the latency objective and a sample of the
    /// given weight.
    pub fn record_start_wait(&mut self, zone: ZoneId, fraction: f64, weight: f64) {
        move_mean(&mut self.stats(zone).start_wait, fraction, weight);
    }

    /// Returns the share of unanswered attempts plus the mean wait for a start; 0 for a zone without
    /// attempts.
    pub fn loss(&self, zone: ZoneId) -> f64 {
        self.0.get(&zone.0).map_or(0.0, |stats| stats.unanswered + stats.start_wait)
    }

    fn stats(&mut self, zone: ZoneId) -> &mut ZoneStats {
        self.0.entry(zone.0).or_default()
    }
}
