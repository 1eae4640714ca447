//! Counts decisions by version vector and reason, and keeps a rate-limited sample of single decisions.

use crate::audit_log::{Decision, Entry};
use crate::Micros;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Number of reasons that are counted separately; further ones are counted as `other`.
pub const MAX_REASONS: usize = 64;

/// Limits for the logging of decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sampling {
    /// One request in this many is sampled, the same ones at every node; 0 samples none.
    pub one_in: u64,
    /// Limit of single decisions per second, which is also the largest burst.
    pub max_per_second: u64,
    /// Interval between two entries of counts for one vector, in microseconds.
    pub summary_interval: Micros,
}

impl Default for Sampling {
    fn default() -> Self {
        Sampling { one_in: 1_000, max_per_second: 20, summary_interval: 10_000_000 }
    }
}

/// Returns a keyed hash of a request's id, equal at all nodes that share the key.
pub fn request_tag(key: &[u8; 16], request: &str) -> u64 {
    let mut hash = SipHasher13::new_with_key(key);
    hash.write(request.as_bytes());
    hash.finish()
}

/// Counts decisions between two log entries.
#[derive(Clone, Debug)]
pub struct DecisionCounters {
    sampling: Sampling,
    key: [u8; 16],
    /// Number of the current version vector.
    vector: u64,
    counts: BTreeMap<&'static str, u64>,
    /// When the next entry of counts is due; `None` while nothing is counted.
    due: Option<Micros>,
    /// Tokens of the sample's rate limit, in millionths of a decision.
    tokens: u64,
    refilled_at: Micros,
    dropped: u64,
}

impl DecisionCounters {
    /// Returns empty counters for the version vector with this number.
    ///
    /// `key` is the fleet's key for [`request_tag`]; `now` comes from a monotonic clock.
    pub fn new(sampling: Sampling, key: [u8; 16], vector: u64, now: Micros) -> DecisionCounters {
        let tokens = sampling.max_per_second.saturating_mul(1_000_000);
        DecisionCounters {
            sampling,
            key,
            vector,
            counts: BTreeMap::new(),
            due: None,
            tokens,
            refilled_at: now,
            dropped: 0,
        }
    }

    /// Whether the request is in the sample, which is the same at each node; the rate limit applies in addition.
    pub fn is_sampled(&self, request: &str) -> bool {
        self.sampling.one_in > 0 && request_tag(&self.key, request).is_multiple_of(self.sampling.one_in)
    }

    /// Counts a decision and returns an entry if it is to be logged by itself.
    ///
    /// That is the case for requests in the sample, and for all decisions with `always` (rejections in an at-most-once class), as
    /// far as the rate limit allows.
    pub fn count(
        &mut self,
        request: &str,
        class: &str,
        server: Option<&str>,
        reason: &'static str,
        always: bool,
        now: Micros,
    ) -> Option<Entry> {
        let reason = match self.counts.len() < MAX_REASONS || self.counts.contains_key(reason) {
            true => reason,
            false => "other",
        };
        *self.counts.entry(reason).or_insert(0) += 1;
        self.due.get_or_insert(now.saturating_add(self.sampling.summary_interval));
        if !always && !self.is_sampled(request) {
            return None;
        }
        let max_tokens = self.sampling.max_per_second.saturating_mul(1_000_000);
        let elapsed = u64::try_from(now.saturating_sub(self.refilled_at)).unwrap_or(0);
        self.tokens =
            self.tokens.saturating_add(elapsed.saturating_mul(self.sampling.max_per_second)).min(max_tokens);
        self.refilled_at = self.refilled_at.max(now);
        // The sample leaves half of the burst to decisions that are always logged.
        let required = if always { 1_000_000 } else { (max_tokens / 2).max(1_000_000) };
        if self.tokens < required {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1_000_000;
        let decision = Decision {
            request: request_tag(&self.key, request),
            class: class.to_string(),
            server: server.map(str::to_string),
            reason: reason.to_string(),
        };
        Some(Entry::SampledDecision { vector: self.vector, decision })
    }

    /// Switches to another version vector; the returned entries belong to the previous one and are to be logged before the change.
    pub fn set_vector(&mut self, vector: u64) -> Vec<Entry> {
        let entries = self.take_counts();
        self.vector = vector;
        entries
    }

    /// Returns the entries to log if they are due at `now`.
    pub fn take_due(&mut self, now: Micros) -> Vec<Entry> {
        match self.due {
            Some(due) if due <= now => self.take_counts(),
            _ => Vec::new(),
        }
    }

    /// Returns when [`DecisionCounters::take_due`] has entries; `None` while nothing is counted.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    fn take_counts(&mut self) -> Vec<Entry> {
        self.due = None;
        let counts = std::mem::take(&mut self.counts);
        let counts: BTreeMap<String, u64> = counts.into_iter().map(|(r, n)| (r.to_string(), n)).collect();
        let mut entries = Vec::new();
        if !counts.is_empty() {
            entries.push(Entry::DecisionCounts { vector: self.vector, counts });
        }
        match std::mem::take(&mut self.dropped) {
            0 => {}
            count => entries.push(Entry::DecisionsDropped { count }),
        }
        entries
    }
}
