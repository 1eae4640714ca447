//! Reads the placement histories on the disks of nodes after their processes have exited, with the program's own code.

use shorepath_placements::hash_chain;
use shorepath_placements::history::History;
use shorepath_placements::log::{Copies, Log, LogError};
use shorepath_placements::{End, Entry, Placement, Writer};
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Store, StoreError};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

/// Limit on the stored final answers, as nodes have it.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// An error while reading a disk.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The store can't be opened, or its data is damaged.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A placement log can't be read.
    #[error("{0}")]
    Log(#[from] LogError),
    /// The store's writer thread can't be started.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Identifies a log entry by the writer of the log, the entry's number and the hash of the log up to it. The hash distinguishes
/// the branches of a forked log.
pub type EntryId = (Writer, u64, [u8; 32]);

/// The placements on a disk.
#[derive(Debug)]
pub struct DiskContents {
    /// All entries of all placement logs on the disk.
    pub history: History,
    /// The placements of requests that must not run twice; with the outcome of each, if it is known.
    pub placements: BTreeMap<EntryId, (Placement, Option<End>)>,
}

/// Reads the state folder of a node of a site. No process may have it open.
///
/// # Errors
/// Returns an error if the disk can't be opened or its data is damaged.
pub fn read(folder: &Path, site: &str, node: &str) -> Result<DiskContents, DiskError> {
    let store = Arc::new(Store::open(folder, MAX_ANSWER_BYTES)?);
    let group_commit = Arc::new(GroupCommit::new(store.clone())?);
    let mut history = History::new();
    let copies = Copies::restore(&store, group_commit.clone(), &mut history)?;
    Log::open(store, group_commit, site, node, 0)?.load_into(&mut history)?;
    copies.insert_deferred(&mut history)?;
    let (mut placements, mut ends) = (BTreeMap::new(), BTreeMap::new());
    for writer in history.writers() {
        let mut points = Vec::new();
        loop {
            let mut entries = Vec::new();
            let mut collect = |point: (u64, hash_chain::Digest), bytes: &[u8]| {
                entries.push((point, bytes.to_vec()));
                true
            };
            let Some((previous, last)) = history.visit_missing(writer, &points, usize::MAX, &mut collect)
            else {
                break;
            };
            if previous == last {
                break;
            }
            points.push(last);
            for ((number, digest), bytes) in entries {
                // Entries are verified as they are read into the history, so this doesn't fail.
                let Ok(timed) = hash_chain::decode(number, &bytes) else { continue };
                match timed.entry {
                    Entry::Placed(p) if p.guarded => {
                        placements.insert((writer.clone(), number, digest.0), (p, None));
                    }
                    Entry::Placed(_) => {}
                    // If two branches of a log hold different outcomes of one number, keep the one that more likely means that
                    // the request ran.
                    Entry::Ended { of: number, how: outcome } => {
                        let rank = |outcome: End| {
                            [End::NeverRan, End::Unknown, End::Served].iter().position(|h| *h == outcome)
                        };
                        let end = ends.entry((writer.clone(), number)).or_insert(outcome);
                        if rank(outcome) > rank(*end) {
                            *end = outcome;
                        }
                    }
                }
            }
        }
    }
    for ((writer, number, _), (_, outcome)) in &mut placements {
        *outcome = ends.get(&(writer.clone(), *number)).copied();
    }
    Ok(DiskContents { history, placements })
}

/// Returns the checksum of a history in the form that a node's `/ops/sites` page shows.
pub fn digest(history: &History) -> String {
    format!("{:08x}", crc32fast::hash(&history.canonical_bytes()))
}
