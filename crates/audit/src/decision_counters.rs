//! Decisions counted by version and reason, with a sample of single ones: so much a second at most, whatever comes.

use crate::audit_log::{Decision, Entry};
use crate::Micros;
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// Reasons that are counted apart; what comes beyond is counted as `other`.
pub const MAX_REASONS: usize = 64;

/// How decisions are written down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sampling {
    /// One request in so many is kept whole, at every node the same ones; 0 keeps none.
    pub one_in: u64,
    /// Single decisions a second at most, and at once.
    pub max_per_second: u64,
    /// Between two sums of one vector, in microseconds.
    pub summary_interval: Micros,
}

impl Default for Sampling {
    fn default() -> Self {
        Sampling { one_in: 1_000, max_per_second: 20, summary_interval: 10_000_000 }
    }
}

/// What stands for a request's id at all nodes that share the key.
pub fn request_tag(key: &[u8; 16], request: &str) -> u64 {
    let mut hash = SipHasher13::new_with_key(key);
    hash.write(request.as_bytes());
    hash.finish()
}

/// Counts decisions between two entries.
#[derive(Clone, Debug)]
pub struct DecisionCounters {
    sampling: Sampling,
    key: [u8; 16],
    /// The number of the vector in force.
    vector: u64,
    counts: BTreeMap<&'static str, u64>,
    /// When the next sum is due, while anything is counted.
    due: Option<Micros>,
    /// Single decisions that may be kept now, in millionths.
    capacity: u64,
    seen: Micros,
    dropped: u64,
}

impl DecisionCounters {
    /// Nothing counted. `key` is the fleet's, for tags; `now` is of a clock that does not go back.
    pub fn new(sampling: Sampling, key: [u8; 16], vector: u64, now: Micros) -> DecisionCounters {
        let capacity = sampling.max_per_second.saturating_mul(1_000_000);
        DecisionCounters {
            sampling,
            key,
            vector,
            counts: BTreeMap::new(),
            due: None,
            capacity,
            seen: now,
            dropped: 0,
        }
    }

    /// Whether single decisions about that request are kept, where there is room: the same at each node.
    pub fn is_sampled(&self, request: &str) -> bool {
        self.sampling.one_in > 0 && request_tag(&self.key, request).is_multiple_of(self.sampling.one_in)
    }

    /// A decision was taken. It is to be written down where an entry is returned: one of the sample, or `always` (a guarded class was
    /// refused), as far as there is room; else it only counts.
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
        let most = self.sampling.max_per_second.saturating_mul(1_000_000);
        let since = u64::try_from(now.saturating_sub(self.seen)).unwrap_or(0);
        self.capacity =
            self.capacity.saturating_add(since.saturating_mul(self.sampling.max_per_second)).min(most);
        self.seen = self.seen.max(now);
        // The sample leaves half of the room to what is always kept.
        let needs = if always { 1_000_000 } else { (most / 2).max(1_000_000) };
        if self.capacity < needs {
            self.dropped += 1;
            return None;
        }
        self.capacity -= 1_000_000;
        let decision = Decision {
            request: request_tag(&self.key, request),
            class: class.to_string(),
            server: server.map(str::to_string),
            reason: reason.to_string(),
        };
        Some(Entry::SampledDecision { vector: self.vector, decision })
    }

    /// The vector changes: what was counted belongs to the one before, and is to be written down before the change is.
    pub fn set_vector(&mut self, vector: u64) -> Vec<Entry> {
        let events = self.sum();
        self.vector = vector;
        events
    }

    /// What is to be written down by now.
    pub fn take_due(&mut self, now: Micros) -> Vec<Entry> {
        match self.due {
            Some(due) if due <= now => self.sum(),
            _ => Vec::new(),
        }
    }

    /// When [`DecisionCounters::take_due`] has something to say.
    pub fn due(&self) -> Option<Micros> {
        self.due
    }

    fn sum(&mut self) -> Vec<Entry> {
        self.due = None;
        let counts = std::mem::take(&mut self.counts);
        let counts: BTreeMap<String, u64> = counts.into_iter().map(|(r, n)| (r.to_string(), n)).collect();
        let mut events = Vec::new();
        if !counts.is_empty() {
            events.push(Entry::DecisionCounts { vector: self.vector, counts });
        }
        match std::mem::take(&mut self.dropped) {
            0 => {}
            count => events.push(Entry::DecisionsDropped { count }),
        }
        events
    }
}
