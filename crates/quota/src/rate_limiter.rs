//! A token bucket in integer arithmetic, without rounding errors.

use crate::Micros;

/// A token bucket whose rate may change at any time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    /// The available tokens, in millionths of a token.
    tokens: u128,
    refilled_at: Micros,
    /// The capacity, as the time in microseconds in which an empty bucket fills at the current rate.
    burst: Micros,
}

impl TokenBucket {
    /// Returns an empty bucket, because a share that was just granted has no unused units. `burst` is how long unused tokens
    /// accumulate, in microseconds. Over any span the nodes together use at most the budget's rate times the sum of span and
    /// burst, plus one unit per node.
    pub fn new(burst: Micros, now: Micros) -> TokenBucket {
        TokenBucket { tokens: 0, refilled_at: now, burst: burst.max(0) }
    }

    /// Adds the tokens for the time since the last refill, at the rate of units per second that held since then.
    pub fn refill(&mut self, now: Micros, rate: u64) {
        let elapsed = u128::try_from(now - self.refilled_at).unwrap_or(0);
        self.refilled_at = self.refilled_at.max(now);
        let capacity = (u128::from(rate) * self.burst as u128).max(1_000_000 * u128::from(rate.min(1)));
        self.tokens = (self.tokens + u128::from(rate) * elapsed).min(capacity);
    }

    /// Returns whether a token was available at the last refill.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1_000_000
    }

    /// Takes one token and returns whether one was available.
    pub fn take(&mut self) -> bool {
        let available = self.has_token();
        self.tokens -= if available { 1_000_000 } else { 0 };
        available
    }

    /// Returns when the next token will be available at this rate, in units per second; `None` at a rate of 0.
    pub fn next_token_at(&self, rate: u64) -> Option<Micros> {
        let missing = 1_000_000u128.saturating_sub(self.tokens);
        (rate > 0).then(|| self.refilled_at + missing.div_ceil(u128::from(rate)) as Micros)
    }
}
