//! Index of idempotency keys of jobs that must not run twice: whether a repeated request may be placed.
//!
//! It is built from a node's own log and from copies of other logs. The entries of each log are applied in
//! order, the logs in any order; an entry that was applied before changes nothing.

use crate::history::RetainedKey;
use crate::{End, Entry, Writer};
use std::collections::{BTreeMap, HashMap};

/// A placement: its log, and its entry's number in that log.
type Place = (Writer, u64);

/// State of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyState {
    /// The key is unknown, or all its placements certainly never ran: it may be placed.
    Free,
    /// A placement of the key was served.
    Served,
    /// A placement of the key is open, or its result is unknown: it may have run.
    MayHaveRun,
}

/// Keys of all placements that must not run twice, by class.
#[derive(Clone, Debug, Default)]
pub struct IdempotencyIndex {
    /// Placements of each key that may have run, with their results; placements that certainly never ran are
    /// left out.
    placements: HashMap<(String, String), BTreeMap<Place, Option<End>>>,
    /// Placements that must not run twice and have not ended.
    open: HashMap<Place, (String, String)>,
    /// Number of the last applied entry of each log.
    last_applied: HashMap<Writer, u64>,
}

impl IdempotencyIndex {
    /// Applies the next entry of a log. An entry that was applied before changes nothing.
    pub fn apply_entry(&mut self, writer: &Writer, number: u64, entry: &Entry) {
        let last_applied = self.last_applied.entry(writer.clone()).or_default();
        if number <= *last_applied {
            return;
        }
        *last_applied = number;
        match entry {
            Entry::Placed(placement) => {
                let Some(key) = placement.key.clone().filter(|_| placement.guarded) else { return };
                let (place, key) = ((writer.clone(), number), (placement.class.clone(), key));
                self.placements.entry(key.clone()).or_default().insert(place.clone(), None);
                self.open.insert(place, key);
            }
            Entry::Ended { of, how } => self.apply_end(writer, *of, *how),
        }
    }

    /// Records how a placement ended; also used when the end could not be written to the log.
    pub fn apply_end(&mut self, writer: &Writer, of: u64, how: End) {
        let place = (writer.clone(), of);
        if let Some(key) = self.open.remove(&place) {
            self.set_outcome(&key, &place, how);
        }
    }

    /// Applies the summary of a log whose entries up to `upto` were dropped: `kept` lists its guarded
    /// placements that may have run.
    pub fn apply_sealed(&mut self, writer: &Writer, upto: u64, kept: &[RetainedKey]) {
        let last_applied = self.last_applied.entry(writer.clone()).or_default();
        if upto <= *last_applied {
            return;
        }
        let previous = std::mem::replace(last_applied, upto);
        // A log is sealed only where all its placements have ended; an open placement that is not in `kept`
        // therefore never ran.
        let open: Vec<Place> = self.open.keys().filter(|p| p.0 == *writer).cloned().collect();
        for place in open {
            let Some(key) = self.open.remove(&place) else { continue };
            let how = kept.iter().find(|k| k.number == place.1).map_or(End::NeverRan, |k| k.how);
            self.set_outcome(&key, &place, how);
        }
        for kept in kept.iter().filter(|kept| kept.number > previous) {
            let places = self.placements.entry((kept.class.clone(), kept.key.clone())).or_default();
            places.insert((writer.clone(), kept.number), Some(kept.how));
        }
    }

    fn set_outcome(&mut self, key: &(String, String), place: &Place, how: End) {
        let Some(places) = self.placements.get_mut(key) else { return };
        match how {
            End::NeverRan => drop(places.remove(place)),
            End::Served | End::Unknown => drop(places.insert(place.clone(), Some(how))),
        }
        if places.is_empty() {
            self.placements.remove(key);
        }
    }

    /// Returns the number of the last applied entry of a log, or 0 if there is none.
    pub fn last_applied(&self, writer: &Writer) -> u64 {
        self.last_applied.get(writer).copied().unwrap_or(0)
    }

    /// Returns the state of a key of a class.
    pub fn state(&self, class: &str, key: &str) -> KeyState {
        // The lookup allocates the pair, which costs little compared with the disk write of each guarded
        // request.
        let places = self.placements.get(&(class.to_string(), key.to_string()));
        let ends = places.into_iter().flat_map(|p| p.values());
        ends.map(|end| if *end == Some(End::Served) { KeyState::Served } else { KeyState::MayHaveRun })
            .max()
            .unwrap_or(KeyState::Free)
    }

    /// Returns how many keys are stored.
    pub fn len(&self) -> usize {
        self.placements.len()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.placements.is_empty()
    }
}
