//! What is running work: what was taken before, known by its tenant and its `Idempotency-Key`, or `Request-Id` where it has none.

use crate::Micros;
use siphasher::sip128::{Hasher128, SipHasher13};
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hash;

/// What a client's repeat of a request is known by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// Its `Idempotency-Key`.
    Idempotency(String),
    /// Its `Request-Id`, where it has no `Idempotency-Key`.
    Request(String),
}

impl Key {
    /// The key of a request with these fields; none where it has neither, and then nothing is a repeat of it.
    pub fn of(idempotency_key: Option<&str>, request_id: Option<&str>) -> Option<Key> {
        let request = || request_id.map(|id| Key::Request(id.to_string()));
        idempotency_key.map(|key| Key::Idempotency(key.to_string())).or_else(request)
    }
}

/// What was taken, remembered in a bounded number of entries of 16 bytes of digest each, for a bounded time.
///
/// Beyond the number the oldest is forgotten: its own attempts go on, but a client's repeat of it counts as new. So the number
/// is to be what a node takes within the time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptedRequests {
    max_entries: usize,
    ttl: Micros,
    /// When each was taken first, on the steady clock.
    last_seen: BTreeMap<u128, Micros>,
    order: VecDeque<(Micros, u128)>,
}

fn digest(tenant: &str, key: &Key) -> u128 {
    let mut hasher = SipHasher13::new();
    (tenant, key).hash(&mut hasher);
    hasher.finish128().as_u128()
}

impl AcceptedRequests {
    /// Nothing was taken yet. At most so many are remembered, each for `age` microseconds since it was taken or repeated.
    pub fn new(max_entries: usize, ttl: Micros) -> AcceptedRequests {
        AcceptedRequests {
            max_entries: max_entries.max(1),
            ttl: ttl.max(0),
            last_seen: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// A request was taken, or is repeated by its client while it is remembered. Never call this for one that was refused. `now` is on
    /// the steady clock.
    pub fn record(&mut self, tenant: &str, key: Option<&Key>, now: Micros) {
        let Some(key) = key else { return };
        let id = digest(tenant, key);
        self.last_seen.insert(id, now);
        self.order.push_back((now, id));
        self.evict(now);
        // A key that is repeated over and over leaves old places in the order.
        if self.order.len() > 2 * self.max_entries {
            let last_seen = &self.last_seen;
            self.order.retain(|(when, id)| last_seen.get(id) == Some(when));
        }
    }

    /// What was remembered as taken was refused after all: a repeat of it is new work.
    pub fn remove(&mut self, tenant: &str, key: Option<&Key>) {
        if let Some(key) = key {
            self.last_seen.remove(&digest(tenant, key));
        }
    }

    /// What was taken before a restart, and how long before `now`: the shell reads it from its log, the oldest first.
    pub fn restore<'a>(&mut self, taken: impl IntoIterator<Item = (&'a str, &'a Key, Micros)>, now: Micros) {
        for (tenant, key, ago) in taken {
            self.record(tenant, Some(key), now.saturating_sub(ago.max(0)));
        }
        self.evict(now);
    }

    /// Whether such a request was taken, and is remembered.
    pub fn contains(&self, tenant: &str, key: Option<&Key>, now: Micros) -> bool {
        let at = key.and_then(|key| self.last_seen.get(&digest(tenant, key)));
        at.is_some_and(|at| now.saturating_sub(*at) <= self.ttl)
    }

    /// Forget what is too old or too much.
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

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.last_seen.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.last_seen.is_empty()
    }
}
