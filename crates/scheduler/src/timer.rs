//! Timers of the scheduler.

use crate::ids::RequestId;
use shorepath_types::Micros;
use std::collections::BTreeSet;

/// A timer's task. Timers with equal times run in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request that is still queued must be answered.
    AnswerDue(RequestId),
    /// A round of probes for a request is over, identified by the round's number.
    ProbeRoundOver(RequestId, u32),
    /// An attempt should have started or ended by now, identified by its number.
    AttemptOverdue(RequestId, u32),
    /// A queue may have capacity again.
    CapacityFreed,
    /// The endpoint list must be subscribed to again.
    Resubscribe,
}

/// Pending timers, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Micros, Timer)>,
    /// The time of the wake-up that the caller was last asked for.
    wake_at: Option<Micros>,
}

impl Timers {
    /// Adds a timer.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.due.insert((at, timer));
    }

    /// Returns the time of the earliest timer.
    pub fn first_due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer that is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.due.first().filter(|(at, _)| *at <= now)?;
        self.due.pop_first().map(|(_, timer)| timer)
    }

    /// Records a wake-up, after which the caller has to be asked for the next one.
    pub fn on_wake(&mut self, now: Micros) {
        if self.wake_at.is_some_and(|at| at <= now) {
            self.wake_at = None;
        }
    }

    /// Returns the time of the wake-up to ask the caller for, or `None` if one that is early enough is
    /// pending.
    pub fn rearm(&mut self) -> Option<Micros> {
        let first = self.first_due()?;
        if self.wake_at.is_some_and(|at| first >= at) {
            return None;
        }
        self.wake_at = Some(first);
        Some(first)
    }
}
