//! What nodes' disks hold of placements once their processes have ended, read as the program itself reads them.

use shorepath_placements::hash_chain;
use shorepath_placements::history::History;
use shorepath_placements::log::{Copies, Log, LogError};
use shorepath_placements::{End, Entry, Placement, Writer};
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Store, StoreError};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

/// Final answers hold this much of the disk at most, in bytes, as at nodes.
const ANSWERS: u64 = 64 << 20;

/// Why a disk can't be read.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The store can't be opened.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// A log on it can't be read.
    #[error("{0}")]
    Log(#[from] LogError),
    /// There is no thread for its writer.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// An entry's place: its log, its number, and what stands for it and all before it, since a log may have two lines.
pub type Place = (Writer, u64, [u8; 32]);

/// What a disk holds.
#[derive(Debug)]
pub struct Disk {
    /// All of it.
    pub history: History,
    /// What must not repeat and was placed, and how that ended, where it has.
    pub placed: BTreeMap<Place, (Placement, Option<End>)>,
}

/// Read the disk of a node of a site that no process has.
///
/// # Errors
/// It can't be opened, or what is on it is damaged.
pub fn read(folder: &Path, site: &str, node: &str) -> Result<Disk, DiskError> {
    let store = Arc::new(Store::open(folder, ANSWERS)?);
    let keeper = Arc::new(GroupCommit::new(store.clone())?);
    let mut history = History::new();
    let copies = Copies::restore(&store, keeper.clone(), &mut history)?;
    Log::open(store, keeper, site, node, 0)?.load_into(&mut history)?;
    copies.insert_deferred(&mut history)?;
    let (mut placed, mut ends) = (BTreeMap::new(), BTreeMap::new());
    for writer in history.writers() {
        let mut points = Vec::new();
        loop {
            let mut entries = Vec::new();
            let mut tell = |point: (u64, hash_chain::Digest), bytes: &[u8]| {
                entries.push((point, bytes.to_vec()));
                true
            };
            let Some((before, last)) = history.visit_missing(writer, &points, usize::MAX, &mut tell) else {
                break;
            };
            if before == last {
                break;
            }
            points.push(last);
            for ((number, digest), bytes) in entries {
                // It was verified as it was read.
                let Ok(timed) = hash_chain::decode(number, &bytes) else { continue };
                match timed.entry {
                    Entry::Placed(p) if p.guarded => {
                        placed.insert((writer.clone(), number, digest.0), (p, None));
                    }
                    Entry::Placed(_) => {}
                    // Of two ends of one number, on two lines, the one that says more that it ran.
                    Entry::Ended { of, how } => {
                        let weight = |how: End| {
                            [End::NeverRan, End::Unknown, End::Served].iter().position(|h| *h == how)
                        };
                        let end = ends.entry((writer.clone(), of)).or_insert(how);
                        if weight(how) > weight(*end) {
                            *end = how;
                        }
                    }
                }
            }
        }
    }
    for ((writer, number, _), (_, how)) in &mut placed {
        *how = ends.get(&(writer.clone(), *number)).copied();
    }
    Ok(Disk { history, placed })
}

/// What stands for a history, as a node's door says it.
pub fn digest(history: &History) -> String {
    format!("{:08x}", crc32fast::hash(&history.canonical_bytes()))
}
