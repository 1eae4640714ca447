//! Keeping to a part that is so many units a second, in whole numbers: nothing is gained or lost by rounding.

use crate::Micros;

/// A token bucket whose rate may change at any time. Its tokens are counted in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    tokens: u128,
    at: Micros,
    /// How long unused units are kept, in microseconds of the rate.
    burst: Micros,
}

impl TokenBucket {
    /// An empty one: a part that was just granted has not been saved up for. `burst` is for how long unused units can still be
    /// used; over any span all nodes together use at most the whole times the span and the burst, and a unit for each node.
    pub fn new(burst: Micros, now: Micros) -> TokenBucket {
        TokenBucket { tokens: 0, at: now, burst: burst.max(0) }
    }

    /// Bring it up to that time, at the rate that has held since the last time.
    pub fn refill(&mut self, now: Micros, rate: u64) {
        let gone = u128::try_from(now - self.at).unwrap_or(0);
        self.at = self.at.max(now);
        let most = (u128::from(rate) * self.burst as u128).max(1_000_000 * u128::from(rate.min(1)));
        self.tokens = (self.tokens + u128::from(rate) * gone).min(most);
    }

    /// Whether a unit is there, as of the time it was last brought up to.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1_000_000
    }

    /// Use a unit, if there is one.
    pub fn take(&mut self) -> bool {
        let there = self.has_token();
        self.tokens -= if there { 1_000_000 } else { 0 };
        there
    }

    /// When the next unit will be there, at that rate, from the time it was last brought up to; `None` at a rate of 0.
    pub fn next_token_at(&self, rate: u64) -> Option<Micros> {
        let missing = 1_000_000u128.saturating_sub(self.tokens);
        (rate > 0).then(|| self.at + missing.div_ceil(u128::from(rate)) as Micros)
    }
}
