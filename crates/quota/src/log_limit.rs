//! Limits how many log lines are written about what other processes send.

use crate::rate_limiter::TokenBucket;
use crate::Micros;

/// Most lines in a second once the burst is used up.
const MAX_LINES_PER_SECOND: u64 = 10;
/// The time in which the lines of a burst accumulate: enough for one line on each member of a large fleet.
const BURST: Micros = 50_000_000;

/// A limit of log lines.
#[derive(Debug)]
pub struct LogLimit {
    lines: TokenBucket,
    left_out: u64,
}

impl LogLimit {
    /// Creates a limit under which a burst may be written at once.
    pub fn new(now: Micros) -> Self {
        LogLimit { lines: TokenBucket::new(BURST, now - BURST), left_out: 0 }
    }

    /// Returns whether a line may be written at `now`, and with it how many were left out since the last one.
    pub fn admits(&mut self, now: Micros) -> Option<u64> {
        self.lines.refill(now, MAX_LINES_PER_SECOND);
        if self.lines.take() {
            Some(std::mem::take(&mut self.left_out))
        } else {
            self.left_out += 1;
            None
        }
    }
}
