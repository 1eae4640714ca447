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
pub struct Taken {
    most: usize,
    age: Micros,
    /// When each was taken first, on the steady clock.
    at: BTreeMap<u128, Micros>,
    order: VecDeque<(Micros, u128)>,
}

fn digest(tenant: &str, key: &Key) -> u128 {
    let mut hasher = SipHasher13::new();
    (tenant, key).hash(&mut hasher);
    hasher.finish128().as_u128()
}

impl Taken {
    /// Nothing was taken yet. At most so many are remembered, each for `age` microseconds since it was taken or repeated.
    pub fn new(most: usize, age: Micros) -> Taken {
        Taken { most: most.max(1), age: age.max(0), at: BTreeMap::new(), order: VecDeque::new() }
    }

    /// A request was taken, or is repeated by its client while it is remembered. Never call this for one that was refused. `now` is on
    /// the steady clock.
    pub fn take(&mut self, tenant: &str, key: Option<&Key>, now: Micros) {
        let Some(key) = key else { return };
        let id = digest(tenant, key);
        self.at.insert(id, now);
        self.order.push_back((now, id));
        self.pass(now);
        // A key that is repeated over and over leaves old places in the order.
        if self.order.len() > 2 * self.most {
            let at = &self.at;
            self.order.retain(|(when, id)| at.get(id) == Some(when));
        }
    }

    /// What was remembered as taken was refused after all: a repeat of it is new work.
    pub fn forget(&mut self, tenant: &str, key: Option<&Key>) {
        if let Some(key) = key {
            self.at.remove(&digest(tenant, key));
        }
    }

    /// What was taken before a restart, and how long before `now`: the shell reads it from its log, the oldest first.
    pub fn restore<'a>(&mut self, taken: impl IntoIterator<Item = (&'a str, &'a Key, Micros)>, now: Micros) {
        for (tenant, key, ago) in taken {
            self.take(tenant, Some(key), now.saturating_sub(ago.max(0)));
        }
        self.pass(now);
    }

    /// Whether such a request was taken, and is remembered.
    pub fn holds(&self, tenant: &str, key: Option<&Key>, now: Micros) -> bool {
        let at = key.and_then(|key| self.at.get(&digest(tenant, key)));
        at.is_some_and(|at| now.saturating_sub(*at) <= self.age)
    }

    /// Forget what is too old or too much.
    pub fn pass(&mut self, now: Micros) {
        while let Some((when, id)) = self.order.front().copied() {
            let void = self.at.get(&id) != Some(&when);
            if !void && self.at.len() <= self.most && now.saturating_sub(when) <= self.age {
                return;
            }
            self.order.pop_front();
            if !void {
                self.at.remove(&id);
            }
        }
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.at.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.at.is_empty()
    }
}
