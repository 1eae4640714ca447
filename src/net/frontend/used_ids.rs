//! The ids of ended requests that may have run and must not run again.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an id is remembered, as long as the sites remember what they placed.
const RETENTION: Duration = Duration::from_secs(600);
/// Memory of an entry beside the bytes of its id.
const ENTRY_OVERHEAD_BYTES: usize = 96;

/// An id with the time until which it is remembered.
#[derive(Debug)]
struct Entry {
    id: Rc<str>,
    expires_at: Instant,
}

/// Remembers ids for a limited time and in a limited memory; the oldest are forgotten first.
#[derive(Debug)]
pub(super) struct UsedIds {
    known: HashSet<Rc<str>>,
    /// In the order of their insertion.
    entries: VecDeque<Entry>,
    /// Number of the first entry in `entries`, counted from the first one ever inserted.
    first_number: u64,
    bytes: usize,
    max_bytes: usize,
}

impl UsedIds {
    /// Creates an empty set that takes at most `max_bytes`.
    pub(super) fn new(max_bytes: usize) -> Self {
        UsedIds { known: HashSet::new(), entries: VecDeque::new(), first_number: 0, bytes: 0, max_bytes }
    }

    /// Remembers an id from `now` on. An id that is known already keeps its time.
    pub(super) fn insert(&mut self, id: Rc<str>, now: Instant) {
        if !self.known.insert(id.clone()) {
            return;
        }
        self.bytes += id.len() + ENTRY_OVERHEAD_BYTES;
        self.entries.push_back(Entry { id, expires_at: now + RETENTION });
        self.forget_old(now);
    }

    /// Returns whether an id is remembered.
    pub(super) fn contains(&mut self, id: &str, now: Instant) -> bool {
        self.forget_old(now);
        self.known.contains(id)
    }

    /// Returns the first id whose number is at least `number`, with the number of the next one.
    pub(super) fn at_or_after(&self, number: u64) -> Option<(&str, u64)> {
        let number = number.max(self.first_number);
        let entry = self.entries.get((number - self.first_number) as usize)?;
        Some((&entry.id, number + 1))
    }

    fn forget_old(&mut self, now: Instant) {
        while self.entries.front().is_some_and(|e| e.expires_at <= now || self.bytes > self.max_bytes) {
            let Some(entry) = self.entries.pop_front() else { return };
            self.known.remove(&entry.id);
            self.bytes -= entry.id.len() + ENTRY_OVERHEAD_BYTES;
            self.first_number += 1;
        }
    }
}
