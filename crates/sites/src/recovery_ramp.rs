//! Load ramp of a recovering site: the load grows in steps that are bounded by the capacity of its cold servers,
//! and the outcomes of each step decide about the next one.
//!
//! Each node of the recovering site runs one ramp and reports the share of the load that it takes in
//! [`crate::health::Load`], so the sites that host its clients release just that share.

use crate::Micros;
use shorepath_recovery::slow_start;
pub use shorepath_recovery::slow_start::SlowStart;
use std::fmt;

/// Settings of a load ramp.
#[derive(Clone, Debug, PartialEq)]
pub struct RampSettings {
    /// Load in each step, in percent of the full load, increasing; the last step is 100.
    pub load_percents: Vec<u8>,
    /// Shortest duration of a step, in microseconds.
    pub min_duration: Micros,
    /// Number of outcomes that are needed to judge a step.
    pub min_outcomes: u64,
    /// Largest share of failures in a healthy step, in percent of its outcomes.
    pub max_failed_percent: u8,
    /// Duration after which a step without enough outcomes ends, in microseconds.
    pub timeout: Micros,
    /// Slow start of the site's servers.
    pub pace: SlowStart,
}

impl RampSettings {
    /// Returns settings with five equal steps, each at least a tenth of the warm-up time long.
    pub fn with_pace(pace: SlowStart) -> RampSettings {
        let min_duration = (pace.duration / 10).max(1);
        RampSettings {
            load_percents: vec![20, 40, 60, 80, 100],
            min_duration,
            min_outcomes: 20,
            max_failed_percent: 10,
            timeout: 3 * min_duration,
            pace,
        }
    }
}

/// Why a step ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepReason {
    /// Few requests failed: the numbers of those served and failed.
    Healthy(u64, u64),
    /// Too few requests came before the timeout.
    LowTraffic,
    /// Too many requests failed: the numbers of those served and failed.
    Failing(u64, u64),
    /// The site was lost again during the ramp.
    LostAgain,
}

impl fmt::Display for StepReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepReason::Healthy(served, failed) => {
                write!(f, "{served} requests were served and {failed} failed")
            }
            StepReason::LowTraffic => write!(f, "too few requests to judge the step"),
            StepReason::Failing(served, failed) => {
                write!(f, "too many requests failed: {failed}, while {served} were served")
            }
            StepReason::LostAgain => write!(f, "the site was lost again during the ramp"),
        }
    }
}

/// A change of the allowed load, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepChange {
    /// The previous limit, in percent of the full load.
    pub from: u8,
    /// The new limit, in percent of the full load.
    pub to: u8,
    /// Why the previous step ended.
    pub reason: StepReason,
}

/// The load ramp of one recovering site.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveryRamp {
    settings: RampSettings,
    /// Index of the current step; past the last one the ramp is complete.
    step: usize,
    step_started_at: Micros,
    served: u64,
    failed: u64,
    /// Number of steps back, up to [`MAX_SETBACKS`]; each one doubles the duration of steps.
    setbacks: u32,
}

/// Largest number of setbacks that lengthen the steps.
const MAX_SETBACKS: u32 = 3;

impl RecoveryRamp {
    /// Starts a ramp with its first step. Percentages outside 1 to 99 are dropped and the others sorted; 100 is added.
    pub fn new(mut settings: RampSettings, now: Micros) -> RecoveryRamp {
        settings.load_percents.retain(|p| (1..100).contains(p));
        settings.load_percents.sort_unstable();
        settings.load_percents.dedup();
        settings.load_percents.push(100);
        RecoveryRamp { settings, step: 0, step_started_at: now, served: 0, failed: 0, setbacks: 0 }
    }

    /// Adds the outcomes of requests at the site's servers since the last call.
    pub fn record_outcomes(&mut self, served: u64, failed: u64) {
        self.served = self.served.saturating_add(served);
        self.failed = self.failed.saturating_add(failed);
    }

    fn move_to(&mut self, to: usize, reason: StepReason, now: Micros) -> Option<StepChange> {
        let from = self.allowed();
        (self.step, self.step_started_at, self.served, self.failed) = (to, now, 0, 0);
        Some(StepChange { from, to: self.allowed(), reason })
    }

    /// Returns the load that the current step allows, in percent.
    fn allowed(&self) -> u8 {
        self.settings.load_percents.get(self.step).copied().unwrap_or(100)
    }

    /// Returns the shortest duration of the current step, in microseconds.
    fn min_step_duration(&self) -> Micros {
        self.settings.min_duration.saturating_mul(1 << self.setbacks.min(MAX_SETBACKS))
    }

    fn is_failing(&self) -> bool {
        let all = u128::from(self.served) + u128::from(self.failed);
        all >= u128::from(self.settings.min_outcomes)
            && u128::from(self.failed) * 100 > all * u128::from(self.settings.max_failed_percent)
    }

    /// Moves to another step if the current one is over. `warm_fraction` is the part of their full capacity, from 0 to
    /// 1, that the site's servers have now (see [`slow_start::warm_fraction`]); no step exceeds it.
    pub fn tick(&mut self, now: Micros, warm_fraction: f64) -> Option<StepChange> {
        if self.is_complete() {
            return None;
        }
        // A failing step ends before its shortest duration.
        if self.is_failing() {
            let reason = StepReason::Failing(self.served, self.failed);
            self.setbacks = (self.setbacks + 1).min(MAX_SETBACKS);
            return self.move_to(self.step.saturating_sub(1), reason, now);
        }
        let elapsed = now - self.step_started_at;
        let has_enough_outcomes = self.served.saturating_add(self.failed) >= self.settings.min_outcomes;
        let next = self.settings.load_percents.get(self.step + 1).copied().unwrap_or(100);
        // The small constant absorbs rounding errors of the fraction.
        if elapsed < self.min_step_duration() || f64::from(next) > 100.0 * warm_fraction + 1e-6 {
            return None;
        }
        if has_enough_outcomes {
            return self.move_to(self.step + 1, StepReason::Healthy(self.served, self.failed), now);
        }
        (elapsed >= self.settings.timeout.max(self.min_step_duration())).then_some(())?;
        self.move_to(self.step + 1, StepReason::LowTraffic, now)
    }

    /// Goes one step back and lengthens the following steps, since the site was lost again during the ramp.
    pub fn lost_again(&mut self, now: Micros) -> Option<StepChange> {
        self.setbacks = (self.setbacks + 1).min(MAX_SETBACKS);
        self.move_to(
            self.step.min(self.settings.load_percents.len() - 1).saturating_sub(1),
            StepReason::LostAgain,
            now,
        )
    }

    /// Returns the load that the site takes now, in percent.
    pub fn load_percent(&self, warm_fraction: f64) -> u8 {
        if self.is_complete() {
            return 100;
        }
        self.allowed().min((100.0 * warm_fraction.clamp(0.0, 1.0) + 1e-6) as u8)
    }

    /// Returns whether the site takes its full load and its last step was healthy.
    pub fn is_complete(&self) -> bool {
        self.step >= self.settings.load_percents.len()
    }

    /// Returns the delay after which a rejected client should retry, in microseconds, spread over the rest of the ramp.
    /// `random` is a uniform random number from 0 to 1.
    pub fn retry_after(&self, warm_fraction: f64, min: Micros, max: Micros, random: f64) -> Micros {
        slow_start::retry_delay(
            f64::from(self.load_percent(warm_fraction)) / 100.0,
            self.settings.pace,
            min,
            max,
            random,
        )
    }

    /// Returns when the current step may end, unless it fails earlier; `None` once the ramp is complete.
    pub fn due(&self) -> Option<Micros> {
        (!self.is_complete()).then(|| self.step_started_at + self.min_step_duration())
    }
}
