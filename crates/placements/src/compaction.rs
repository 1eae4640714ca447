//! Decides how many of the first entries of a log may be dropped.
//!
//! A log may be sealed up to an entry whose number is a multiple of [`SEGMENT_ENTRIES`] if all sites have
//! confirmed that they hold that entry, all entries up to it are older than a given age, all placements up to
//! it have also ended by then, and the log has no fork up to it. The digest at that entry and the guarded
//! keys are retained ([`History::seal`]).
//!
//! The age must exceed the time that a node may take to write received entries to its disk, and the time
//! after which no repeat of a request arrives any more.

use crate::hash_chain::Point;
use crate::history::History;
use crate::{Entry, Micros, Writer};
use std::collections::{BTreeMap, BTreeSet};

/// Number of entries by which logs are sealed.
pub const SEGMENT_ENTRIES: u64 = 1_024;
/// Maximum number of segments that one call examines, which bounds its running time.
const MAX_SEGMENTS: u64 = 64;

/// Returns the number of the entry up to which a log may be sealed now, or `None` if that is no further than
/// it is sealed already.
///
/// `confirmed` holds the last entry that each site reported to hold ([`crate::anti_entropy::Message::Have`]).
/// Each site of the configuration must be in it; a site that was lost blocks compaction until the operator
/// removes it. `now` is Unix time in microseconds; `age`, in microseconds, must allow for clocks that run
/// ahead.
pub fn sealable_up_to(
    history: &History,
    writer: &Writer,
    confirmed: &BTreeMap<String, Point>,
    sites: &[String],
    age: Micros,
    now: Micros,
) -> Option<u64> {
    let from = history.sealed(writer).0;
    let heads = history.heads(writer);
    let mut limit = from.saturating_add(MAX_SEGMENTS * SEGMENT_ENTRIES);
    for site in sites {
        let point = confirmed.get(site).filter(|point| history.knows(writer, point))?;
        limit = limit.min(point.0);
    }
    let first_fork = history.forks().into_iter().filter(|f| f.writer == *writer).map(|f| f.number - 1).min();
    limit = limit.min(first_fork.unwrap_or(u64::MAX)).min(heads.iter().map(|p| p.0).max()?);
    let (mut open, mut sealable) = (BTreeSet::new(), None);
    for number in from + 1..=limit {
        let timed = history.entry(writer, number)?;
        if timed.at > now.saturating_sub(age) {
            break;
        }
        match timed.entry {
            Entry::Placed(_) => drop(open.insert(number)),
            Entry::Ended { of, .. } => drop(open.remove(&of)),
        }
        if number.is_multiple_of(SEGMENT_ENTRIES) && open.is_empty() {
            sealable = Some(number);
        }
    }
    sealable
}
