//! What is known of keys of classes that must not run twice: whether one asked for anew may be placed.
//!
//! Fed from a node's own log and from copies of others': each log in its order, logs in any order; what was fed before counts once.

use crate::history::RetainedKey;
use crate::{End, Entry, Writer};
use std::collections::{BTreeMap, HashMap};

/// A placement, by its log and its number there.
type Place = (Writer, u64);

/// What is known of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyState {
    /// Nothing, or that it surely never ran: it may be placed.
    Free,
    /// It was served.
    Served,
    /// It was placed, and nobody knows that it did not run.
    MayHaveRun,
}

/// All keys of guarded placements, by class.
#[derive(Clone, Debug, Default)]
pub struct IdempotencyIndex {
    /// Placements of a key that may have run, with their ends; those that surely never ran are left out.
    known: HashMap<(String, String), BTreeMap<Place, Option<End>>>,
    /// Guarded placements without an end.
    open: HashMap<Place, (String, String)>,
    /// The last entry of each log that was fed.
    fed: HashMap<Writer, u64>,
}

impl IdempotencyIndex {
    /// The next entry of a log, with its number. One that was fed before changes nothing.
    pub fn apply_entry(&mut self, writer: &Writer, number: u64, entry: &Entry) {
        let fed = self.fed.entry(writer.clone()).or_default();
        if number <= *fed {
            return;
        }
        *fed = number;
        match entry {
            Entry::Placed(placement) => {
                let Some(key) = placement.key.clone().filter(|_| placement.guarded) else { return };
                let (place, key) = ((writer.clone(), number), (placement.class.clone(), key));
                self.known.entry(key.clone()).or_default().insert(place.clone(), None);
                self.open.insert(place, key);
            }
            Entry::Ended { of, how } => self.apply_end(writer, *of, *how),
        }
    }

    /// How a placement ended, also where the log can't be told.
    pub fn apply_end(&mut self, writer: &Writer, of: u64, how: End) {
        let place = (writer.clone(), of);
        if let Some(key) = self.open.remove(&place) {
            self.set_outcome(&key, &place, how);
        }
    }

    /// What stays of the beginning of a log that was sealed up to that number: what may have run of its guarded placements.
    pub fn apply_sealed(&mut self, writer: &Writer, upto: u64, kept: &[RetainedKey]) {
        let fed = self.fed.entry(writer.clone()).or_default();
        if upto <= *fed {
            return;
        }
        let before = std::mem::replace(fed, upto);
        // What was open has its end in what was sealed, or it could not have been.
        let open: Vec<Place> = self.open.keys().filter(|p| p.0 == *writer).cloned().collect();
        for place in open {
            let Some(key) = self.open.remove(&place) else { continue };
            let how = kept.iter().find(|k| k.number == place.1).map_or(End::NeverRan, |k| k.how);
            self.set_outcome(&key, &place, how);
        }
        for kept in kept.iter().filter(|kept| kept.number > before) {
            let places = self.known.entry((kept.class.clone(), kept.key.clone())).or_default();
            places.insert((writer.clone(), kept.number), Some(kept.how));
        }
    }

    fn set_outcome(&mut self, key: &(String, String), place: &Place, how: End) {
        let Some(places) = self.known.get_mut(key) else { return };
        match how {
            End::NeverRan => drop(places.remove(place)),
            End::Served | End::Unknown => drop(places.insert(place.clone(), Some(how))),
        }
        if places.is_empty() {
            self.known.remove(key);
        }
    }

    /// The last entry of a log that was fed; 0 for none.
    pub fn last_applied(&self, writer: &Writer) -> u64 {
        self.fed.get(writer).copied().unwrap_or(0)
    }

    /// What is known of a key of a class.
    pub fn state(&self, class: &str, key: &str) -> KeyState {
        // The pair is owned by the map; one allocation a guarded request is nothing beside its write to the disk.
        let places = self.known.get(&(class.to_string(), key.to_string()));
        let most = places.into_iter().flat_map(|p| p.values());
        most.map(|end| if *end == Some(End::Served) { KeyState::Served } else { KeyState::MayHaveRun })
            .max()
            .unwrap_or(KeyState::Free)
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
