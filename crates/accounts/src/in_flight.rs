//! Recognizes repeats of accepted requests by their tenant and their `Idempotency-Key`, or `Request-Id` where they have no such key.

use crate::Micros;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hash;

/// Identifies a request, so that a client's repeat of it is recognized.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The value of the `Idempotency-Key` field.
    Idempotency(String),
    /// The value of the `Request-Id` field, for a request without an `Idempotency-Key`.
    Request(String),
}

impl Key {
    /// Returns the key of a request with these fields; `None` if it has neither, so that no request counts as its repeat.
    pub fn of(idempotency_key: Option<&str>, request_id: Option<&str>) -> Option<Key> {
        let request = || request_id.map(|id| Key::Request(id.to_string()));
        idempotency_key.map(|key| Key::Idempotency(key.to_string())).or_else(request)
    }
}

/// The requests accepted lately, as 16-byte digests that expire after a time to live.
///
/// Above the maximum number of entries the oldest is evicted: its job continues, but a client's repeat counts as a new request.
/// So the maximum must cover the requests that a node accepts within the time to live.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptedRequests {
    max_entries: usize,
    ttl: Micros,
    /// Monotonic time at which each request was last recorded, by digest.
    last_seen: BTreeMap<u128, Micros>,
    /// Recorded digests, oldest first. An entry whose time differs from that in `last_seen` is outdated.
    order: VecDeque<(Micros, u128)>,
}

fn digest(tenant: &str, key: &Key) -> u128 {
    let mut hasher = SipHasher13::new();
    (tenant, key).hash(&mut hasher);
    hasher.finish128().as_u128()
}

impl AcceptedRequests {
    /// Creates an empty set with at least one entry; `ttl` is in microseconds and counts from the last [`AcceptedRequests::record`].
    pub fn new(max_entries: usize, ttl: Micros) -> AcceptedRequests {
        AcceptedRequests {
            max_entries: max_entries.max(1),
            ttl: ttl.max(0),
            last_seen: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records a request that was accepted, or repeated by its client while it was remembered, at the monotonic time `now`.
    ///
    /// Must not be called for refused requests. Requests without a key are ignored.
    pub fn record(&mut self, tenant: &str, key: Option<&Key>, now: Micros) {
        let Some(key) = key else { return };
        let id = digest(tenant, key);
        self.last_seen.insert(id, now);
        self.order.push_back((now, id));
        self.evict(now);
        // Recording one key often leaves many outdated entries in the order.
        if self.order.len() > 2 * self.max_entries {
            let last_seen = &self.last_seen;
            self.order.retain(|(when, id)| last_seen.get(id) == Some(when));
        }
    }

    /// Removes a request that was refused after it had been recorded, so that a repeat counts as new.
    pub fn remove(&mut self, tenant: &str, key: Option<&Key>) {
        if let Some(key) = key {
            self.last_seen.remove(&digest(tenant, key));
        }
    }

    /// Records requests accepted before a restart, oldest first, each with the time in microseconds since it was accepted.
    pub fn restore<'a>(&mut self, taken: impl IntoIterator<Item = (&'a str, &'a Key, Micros)>, now: Micros) {
        for (tenant, key, ago) in taken {
            self.record(tenant, Some(key), now.saturating_sub(ago.max(0)));
        }
        self.evict(now);
    }

    /// Whether a request was recorded within the time to live before `now`.
    pub fn contains(&self, tenant: &str, key: Option<&Key>, now: Micros) -> bool {
        let at = key.and_then(|key| self.last_seen.get(&digest(tenant, key)));
        at.is_some_and(|at| now.saturating_sub(*at) <= self.ttl)
    }

    /// Evicts expired entries, and the oldest ones above the maximum number.
    pub fn evict(&mut self, now: Micros) {
        while let Some((when, id)) = self.order.front().copied() {
            let outdated = self.last_seen.get(&id) != Some(&when);
            if !outdated && self.last_seen.len() <= self.max_entries && now.saturating_sub(when) <= self.ttl {
                return;
            }
            self.order.pop_front();
            if !outdated {
                self.last_seen.remove(&id);
            }
        }
    }

    /// Returns the number of remembered requests.
    pub fn len(&self) -> usize {
        self.last_seen.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.last_seen.is_empty()
    }
}
