//! What is lost on the way to each zone.

use crate::decaying_sum::{as_sample, move_mean};
use crate::ids::ZoneId;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
struct ZoneFigures {
    /// Running share of attempts without an answer.
    unanswered: f64,
    /// Running mean of the part of the latency objective that starts take.
    start_wait: f64,
}

/// What is lost on the way to each zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneLosses(BTreeMap<u32, ZoneFigures>);

impl ZoneLosses {
    /// An attempt to the zone brought an answer, or none; the newest counts with that weight.
    pub fn record_attempt(&mut self, zone: ZoneId, is_unanswered: bool, weight: f64) {
        move_mean(&mut self.figures(zone).unanswered, as_sample(is_unanswered), weight);
    }

    /// A start in the zone took that part of the latency objective.
    pub fn record_start_wait(&mut self, zone: ZoneId, part: f64, weight: f64) {
        move_mean(&mut self.figures(zone).start_wait, part, weight);
    }

    /// Both together.
    pub fn loss(&self, zone: ZoneId) -> f64 {
        self.0.get(&zone.0).map_or(0.0, |f| f.unanswered + f.start_wait)
    }

    fn figures(&mut self, zone: ZoneId) -> &mut ZoneFigures {
        self.0.entry(zone.0).or_default()
    }
}
