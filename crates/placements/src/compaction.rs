//! When the beginning of a log may be dropped.
//!
//! The rule: up to an entry whose number is a multiple of [`SEGMENT`], where all sites have said that they have it; all up to there is
//! older than a stated age; each placement up to there has its end up to there; and the log has one line up to there. The head of the chain and the
//! memory of guarded keys stay ([`History::seal`]).
//!
//! The age must be longer than a node may take to write what it heard on its disk, and than a repeat of a request may come late.

use crate::hash_chain::Point;
use crate::history::History;
use crate::{Entry, Micros, Writer};
use std::collections::{BTreeMap, BTreeSet};

/// Logs are dropped by so many entries.
pub const SEGMENT_ENTRIES: u64 = 1_024;
/// So many segments are looked at once, so that a call is bounded.
const MOST: u64 = 64;

/// Up to where a log may be sealed now, where that is further than it is.
///
/// `confirmed` is what each site has of it, by its own word ([`crate::anti_entropy::Message::Have`]); all sites of the operator's file have to be in
/// it, a lost one, too, until the operator takes it out. `now` is Unix time; clocks that go ahead are what `age` has to bear.
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
    let mut most = from.saturating_add(MOST * SEGMENT_ENTRIES);
    for site in sites {
        let point = confirmed.get(site).filter(|point| history.knows(writer, point))?;
        most = most.min(point.0);
    }
    let parts = history.forks().into_iter().filter(|f| f.writer == *writer).map(|f| f.number - 1).min();
    most = most.min(parts.unwrap_or(u64::MAX)).min(heads.iter().map(|p| p.0).max()?);
    let (mut open, mut sealable) = (BTreeSet::new(), None);
    for number in from + 1..=most {
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
