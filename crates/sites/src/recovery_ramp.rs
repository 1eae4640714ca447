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
pub struct Steps {
    /// The part of its load in each step, in hundredths, growing; the last one is all of it.
    pub parts: Vec<u8>,
    /// How long a step lasts at least, in microseconds.
    pub least: Micros,
    /// Outcomes by which a step is judged, at least.
    pub outcomes: u64,
    /// A step is good where no more than this many hundredths of its outcomes are failures.
    pub failed: u8,
    /// A step without enough outcomes, for want of clients, is over after so long, in microseconds.
    pub timeout: Micros,
    /// How its servers warm up.
    pub pace: SlowStart,
}

impl Steps {
    /// A fifth in each step, each a tenth of the warm-up long at least.
    pub fn usual(pace: SlowStart) -> Steps {
        let least = (pace.duration / 10).max(1);
        Steps { parts: vec![20, 40, 60, 80, 100], least, outcomes: 20, failed: 10, timeout: 3 * least, pace }
    }
}

/// Why a step was left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// So many were served, so many failed: it can take more.
    Good(u64, u64),
    /// Nobody asked for much.
    NobodyAsks,
    /// So many were served, so many failed: it takes less.
    Failing(u64, u64),
    /// It was lost again.
    LostAgain,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Good(served, failed) => write!(f, "{served} were served and {failed} failed"),
            Why::NobodyAsks => write!(f, "hardly anybody asked"),
            Why::Failing(served, failed) => write!(f, "{served} were served, {failed} failed: too many"),
            Why::LostAgain => write!(f, "lost again on the way"),
        }
    }
}

/// A step to another one, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Moved {
    /// The part that it took, in hundredths.
    pub from: u8,
    /// The part that it may take, in hundredths.
    pub to: u8,
    /// Why.
    pub why: Why,
}

/// A site on its way back.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveryRamp {
    steps: Steps,
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
    pub fn new(mut steps: Steps, now: Micros) -> RecoveryRamp {
        steps.parts.retain(|p| (1..100).contains(p));
        steps.parts.sort_unstable();
        steps.parts.dedup();
        steps.parts.push(100);
        RecoveryRamp { steps, at: 0, since: now, served: 0, failed: 0, setbacks: 0 }
    }

    /// What became of jobs at the site's servers since this was last told.
    pub fn outcomes(&mut self, served: u64, failed: u64) {
        self.served = self.served.saturating_add(served);
        self.failed = self.failed.saturating_add(failed);
    }

    fn go(&mut self, to: usize, why: Why, now: Micros) -> Option<Moved> {
        let from = self.allowed();
        (self.at, self.since, self.served, self.failed) = (to, now, 0, 0);
        Some(Moved { from, to: self.allowed(), why })
    }

    /// The part that its step allows, in hundredths.
    fn allowed(&self) -> u8 {
        self.steps.parts.get(self.at).copied().unwrap_or(100)
    }

    fn least(&self) -> Micros {
        self.steps.least.saturating_mul(1 << self.setbacks.min(SETBACKS))
    }

    fn fails(&self) -> bool {
        let all = u128::from(self.served) + u128::from(self.failed);
        all >= u128::from(self.steps.outcomes)
            && u128::from(self.failed) * 100 > all * u128::from(self.steps.failed)
    }

    /// Time has passed. `warm` is the part of what the site's servers do warm that they can do now ([`slow_start::warm_fraction`]): no step goes beyond it.
    pub fn pass(&mut self, now: Micros, warm: f64) -> Option<Moved> {
        if self.is_whole() {
            return None;
        }
        // What goes wrong is not waited for.
        if self.fails() {
            let why = Why::Failing(self.served, self.failed);
            self.setbacks = (self.setbacks + 1).min(SETBACKS);
            return self.go(self.at.saturating_sub(1), why, now);
        }
        let time = now - self.since;
        let enough = self.served.saturating_add(self.failed) >= self.steps.outcomes;
        let next = self.steps.parts.get(self.at + 1).copied().unwrap_or(100);
        // A hair's breadth for what is computed by fractions.
        if time < self.least() || f64::from(next) > 100.0 * warm + 1e-6 {
            return None;
        }
        if enough {
            return self.go(self.at + 1, Why::Good(self.served, self.failed), now);
        }
        (time >= self.steps.timeout.max(self.least())).then_some(())?;
        self.go(self.at + 1, Why::NobodyAsks, now)
    }

    /// The site was lost again on its way: a step back, and slower from there.
    pub fn lost_again(&mut self, now: Micros) -> Option<Moved> {
        self.setbacks = (self.setbacks + 1).min(SETBACKS);
        self.go(self.at.min(self.steps.parts.len() - 1).saturating_sub(1), Why::LostAgain, now)
    }

    /// The part of its load that it takes now, in hundredths.
    pub fn part(&self, warm: f64) -> u8 {
        if self.is_whole() {
            return 100;
        }
        self.allowed().min((100.0 * warm.clamp(0.0, 1.0) + 1e-6) as u8)
    }

    /// Whether it takes all, and its last step was judged good.
    pub fn is_whole(&self) -> bool {
        self.at >= self.steps.parts.len()
    }

    /// When a client that is denied is told to come back, in microseconds from now: spread over what is left of the way. `luck` is
    /// drawn from 0 to 1 by the caller.
    pub fn come_back(&self, warm: f64, least: Micros, most: Micros, luck: f64) -> Micros {
        slow_start::retry_delay(f64::from(self.part(warm)) / 100.0, self.steps.pace, least, most, luck)
    }

    /// When [`RecoveryRamp::pass`] has something to do next, unless outcomes come.
    pub fn due(&self) -> Option<Micros> {
        (!self.is_whole()).then(|| self.since + self.least())
    }
}
