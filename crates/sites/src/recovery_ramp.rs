//! The return of a site's load: in steps, bounded by what its cold servers bear, each judged by its outcomes before the next one.
//!
//! One of these is at each node of the returning site, and tells the others by [`crate::health::Load`] which part it takes; so hosts let go of
//! what the site takes back, and of nothing sooner.

use crate::Micros;
use shorepath_recovery::slow_start;
pub use shorepath_recovery::slow_start::SlowStart;
use std::fmt;

/// How a site takes its load back.
#[derive(Clone, Debug, PartialEq)]
pub struct RampSettings {
    /// The part of its load in each step, in hundredths, growing; the last one is all of it.
    pub load_percents: Vec<u8>,
    /// How long a step lasts at least, in microseconds.
    pub min_duration: Micros,
    /// Outcomes by which a step is judged, at least.
    pub min_outcomes: u64,
    /// A step is good where no more than this many hundredths of its outcomes are failures.
    pub max_failed_percent: u8,
    /// A step without enough outcomes, for want of clients, is over after so long, in microseconds.
    pub timeout: Micros,
    /// How its servers warm up.
    pub pace: SlowStart,
}

impl RampSettings {
    /// A fifth in each step, each a tenth of the warm-up long at least.
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

/// Why a step was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StepReason {
    /// So many were served, so many failed: it can take more.
    Healthy(u64, u64),
    /// Nobody asked for much.
    LowTraffic,
    /// So many were served, so many failed: it takes less.
    Failing(u64, u64),
    /// It was lost again.
    LostAgain,
}

impl fmt::Display for StepReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepReason::Healthy(served, failed) => write!(f, "{served} were served and {failed} failed"),
            StepReason::LowTraffic => write!(f, "hardly anybody asked"),
            StepReason::Failing(served, failed) => {
                write!(f, "{served} were served, {failed} failed: too many")
            }
            StepReason::LostAgain => write!(f, "lost again on the way"),
        }
    }
}

/// A step to another one, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepChange {
    /// The part that it took, in hundredths.
    pub from: u8,
    /// The part that it may take, in hundredths.
    pub to: u8,
    /// StepReason.
    pub reason: StepReason,
}

/// A site on its way back.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveryRamp {
    steps: RampSettings,
    /// The place of the step; past the last one all is taken.
    at: usize,
    since: Micros,
    served: u64,
    failed: u64,
    /// How often it stepped back lately: steps are held for longer then.
    setbacks: u32,
}

/// Steps are held twice as long for each setback, this often at most.
const SETBACKS: u32 = 3;

impl RecoveryRamp {
    /// One that begins now with its first step. Parts that don't grow, and those over a hundred, are left out.
    pub fn new(mut steps: RampSettings, now: Micros) -> RecoveryRamp {
        steps.load_percents.retain(|p| (1..100).contains(p));
        steps.load_percents.sort_unstable();
        steps.load_percents.dedup();
        steps.load_percents.push(100);
        RecoveryRamp { steps, at: 0, since: now, served: 0, failed: 0, setbacks: 0 }
    }

    /// What became of jobs at the site's servers since this was last told.
    pub fn outcomes(&mut self, served: u64, failed: u64) {
        self.served = self.served.saturating_add(served);
        self.failed = self.failed.saturating_add(failed);
    }

    fn go(&mut self, to: usize, reason: StepReason, now: Micros) -> Option<StepChange> {
        let from = self.allowed();
        (self.at, self.since, self.served, self.failed) = (to, now, 0, 0);
        Some(StepChange { from, to: self.allowed(), reason })
    }

    /// The part that its step allows, in hundredths.
    fn allowed(&self) -> u8 {
        self.steps.load_percents.get(self.at).copied().unwrap_or(100)
    }

    fn least(&self) -> Micros {
        self.steps.min_duration.saturating_mul(1 << self.setbacks.min(SETBACKS))
    }

    fn fails(&self) -> bool {
        let all = u128::from(self.served) + u128::from(self.failed);
        all >= u128::from(self.steps.min_outcomes)
            && u128::from(self.failed) * 100 > all * u128::from(self.steps.max_failed_percent)
    }

    /// Time has passed. `warm` is the part of what the site's servers do warm that they can do now ([`slow_start::warm_fraction`]): no step goes beyond it.
    pub fn tick(&mut self, now: Micros, warm: f64) -> Option<StepChange> {
        if self.is_complete() {
            return None;
        }
        // What goes wrong is not waited for.
        if self.fails() {
            let reason = StepReason::Failing(self.served, self.failed);
            self.setbacks = (self.setbacks + 1).min(SETBACKS);
            return self.go(self.at.saturating_sub(1), reason, now);
        }
        let time = now - self.since;
        let enough = self.served.saturating_add(self.failed) >= self.steps.min_outcomes;
        let next = self.steps.load_percents.get(self.at + 1).copied().unwrap_or(100);
        // A hair's breadth for what is computed by fractions.
        if time < self.least() || f64::from(next) > 100.0 * warm + 1e-6 {
            return None;
        }
        if enough {
            return self.go(self.at + 1, StepReason::Healthy(self.served, self.failed), now);
        }
        (time >= self.steps.timeout.max(self.least())).then_some(())?;
        self.go(self.at + 1, StepReason::LowTraffic, now)
    }

    /// The site was lost again on its way: a step back, and slower from there.
    pub fn lost_again(&mut self, now: Micros) -> Option<StepChange> {
        self.setbacks = (self.setbacks + 1).min(SETBACKS);
        self.go(self.at.min(self.steps.load_percents.len() - 1).saturating_sub(1), StepReason::LostAgain, now)
    }

    /// The part of its load that it takes now, in hundredths.
    pub fn load_percent(&self, warm: f64) -> u8 {
        if self.is_complete() {
            return 100;
        }
        self.allowed().min((100.0 * warm.clamp(0.0, 1.0) + 1e-6) as u8)
    }

    /// Whether it takes all, and its last step was judged good.
    pub fn is_complete(&self) -> bool {
        self.at >= self.steps.load_percents.len()
    }

    /// When a client that is denied is told to come back, in microseconds from now: spread over what is left of the way. `luck` is
    /// drawn from 0 to 1 by the caller.
    pub fn retry_after(&self, warm: f64, least: Micros, most: Micros, luck: f64) -> Micros {
        slow_start::retry_delay(
            f64::from(self.load_percent(warm)) / 100.0,
            self.steps.pace,
            least,
            most,
            luck,
        )
    }

    /// When [`RecoveryRamp::pass`] has something to do next, unless outcomes come.
    pub fn due(&self) -> Option<Micros> {
        (!self.is_complete()).then(|| self.since + self.least())
    }
}
