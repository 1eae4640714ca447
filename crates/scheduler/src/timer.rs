//! Timers: what the scheduler has to look at later.

use crate::ids::RequestId;
use shorepath_types::Micros;
use std::collections::BTreeSet;

/// What is due. The order of the variants decides between timers of one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request that is still queued has to be answered.
    AnswerDue(RequestId),
    /// A round of probes for a request is over, by the round's number.
    ProbeRoundOver(RequestId, u32),
    /// An attempt should have started, or ended.
    AttemptOverdue(RequestId, u32),
    /// A queue may have capacity again.
    CapacityFreed,
    /// The endpoint list has to be subscribed to again.
    Resubscribe,
}

/// All timers in the order of their times.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Micros, Timer)>,
    /// The wake-up that the caller was asked for.
    armed: Option<Micros>,
}

impl Timers {
    /// Have that due at that time.
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.due.insert((at, timer));
    }

    /// The time of the first one.
    pub fn first_due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    /// The first one that is due by now, which is removed.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        self.due.first().filter(|(at, _)| *at <= now)?;
        self.due.pop_first().map(|(_, timer)| timer)
    }

    /// The caller has woken the scheduler: another wake-up is needed from now on.
    pub fn on_wake(&mut self, now: Micros) {
        if self.armed.is_some_and(|at| at <= now) {
            self.armed = None;
        }
    }

    /// The time for which the caller is to be asked for a wake-up, if that is earlier than the one it was asked for.
    pub fn rearm(&mut self) -> Option<Micros> {
        let first = self.first_due()?;
        if self.armed.is_some_and(|at| first >= at) {
            return None;
        }
        self.armed = Some(first);
        Some(first)
    }
}
