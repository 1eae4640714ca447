//! What a node writes down of its versions and decisions: entries bound by hashes, bounded in size.
//!
//! [`AuditLog`] says what is to be written and dropped; the shell writes, and says when it is on the disk. A crash leaves a prefix of what was
//! written. [`verify`] finds an entry that was changed, left out or put in, and names it.

use crate::version::{Item, VersionChange, VersionError, VersionVector};
use crate::Micros;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// An entry is this many bytes at most.
pub const MAX_ENTRY_BYTES: usize = 4_096;

/// Stands for an entry and all before it (SHA-256).
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// The number of an entry, and what stands for it and all before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChainPoint {
    /// The entry's number; 0 is before the first one.
    pub number: u64,
    /// What stands for it and all before it.
    pub digest: Digest,
}

impl ChainPoint {
    /// The point before the first entry of a node's record; `life` is drawn when the record is founded.
    pub fn origin(node: &str, life: u64) -> ChainPoint {
        let mut hash = Sha256::new();
        hash.update(b"shorepath audit 1");
        hash.update((node.len() as u64).to_be_bytes());
        hash.update(node.as_bytes());
        hash.update(life.to_be_bytes());
        ChainPoint { number: 0, digest: Digest(hash.finalize().into()) }
    }

    /// The point of the entry that comes next.
    pub fn successor(&self, entry: &[u8]) -> ChainPoint {
        let mut hash = Sha256::new();
        hash.update(self.digest.0);
        hash.update(entry);
        ChainPoint { number: self.number.saturating_add(1), digest: Digest(hash.finalize().into()) }
    }
}

/// ChangeSource a version was taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeSource {
    /// The process began with it.
    Start,
    /// An operator handed it to this node (SIGHUP).
    Operator,
    /// Discovery told it.
    Discovery,
    /// Other nodes told it.
    Peers,
    /// The dividers' agreement.
    Agreement,
}

/// A single decision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decision {
    /// Stands for the request's id under the fleet's key: the same at each node.
    pub request: u64,
    /// Its class.
    pub class: String,
    /// The server, by its id in the list; none where it was not sent.
    pub server: Option<String>,
    /// ChangeSource, in few words.
    pub reason: String,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A process begins to write, with these versions.
    #[serde(rename = "Began")]
    ProcessStarted {
        /// What steers it.
        vector: VersionVector,
    },
    /// A version was taken over. From here on the vector's number is one more.
    #[serde(rename = "Took")]
    VersionChanged {
        /// What changed.
        #[serde(rename = "taken")]
        change: VersionChange,
        /// ChangeSource.
        #[serde(rename = "why")]
        source: ChangeSource,
    },
    /// A version was offered and not taken.
    #[serde(rename = "Back")]
    VersionRejected {
        /// Of what.
        item: Item,
        /// What is wrong with it.
        #[serde(rename = "because")]
        error: VersionError,
        /// Who offered it.
        #[serde(rename = "why")]
        source: ChangeSource,
    },
    /// Decisions since the last sum, by reason.
    #[serde(rename = "Sum")]
    DecisionCounts {
        /// The number of the vector under which they were taken.
        vector: u64,
        /// How many, by reason.
        counts: BTreeMap<String, u64>,
    },
    /// One of the sample, or the refusal of a guarded job.
    #[serde(rename = "Decided")]
    SampledDecision {
        /// The number of the vector under which it was taken.
        vector: u64,
        /// The decision.
        decision: Decision,
    },
    /// So many single decisions were not kept since the last of these.
    #[serde(rename = "Dropped")]
    DecisionsDropped {
        /// How many.
        count: u64,
    },
}

/// An entry at its time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timed {
    /// Unix time by the node's own clock; it may go back.
    pub at: Micros,
    /// What.
    pub entry: Entry,
}

/// What is wrong with a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum AuditLogError {
    /// An entry is not the one that was written, or an earlier one was left out or put in.
    #[error("entry {number} was changed, or one before it was left out")]
    #[diagnostic(help("something else than this program wrote on the disk, or it is failing: keep a copy for inquiry, compare it with what peers hold of this node, then remove the record"))]
    Changed {
        /// Its number.
        number: u64,
    },
    /// Entries are missing.
    #[error("entry {number} is missing")]
    #[diagnostic(help("the disk lost what it had written, or somebody removed it: compare it with what peers hold of this node"))]
    Missing {
        /// The first one's number.
        number: u64,
    },
    /// It can't be read.
    #[error("entry {number} can't be read")]
    #[diagnostic(help(
        "another version of this program wrote it: read it with that one, or look at the versions' changelog"
    ))]
    Unreadable {
        /// Its number.
        number: u64,
    },
    /// It is too long.
    #[error("an entry of {0} bytes is over {MAX_ENTRY_BYTES}")]
    #[diagnostic(help(
        "names of classes, servers and reasons are too long to be recorded: use shorter ones"
    ))]
    EntryTooLong(usize),
}

/// What is to be done on the disk, as one: all of it or nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// The first entry's number.
    pub first_number: u64,
    /// The entries, as they are kept.
    pub entries: Vec<Vec<u8>>,
    /// Entries up to this number are dropped, and the base is kept beside the record.
    pub drop_through: Option<ChainPoint>,
    /// Where the record ends then.
    pub head: ChainPoint,
}

/// One segment: entries that are dropped together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    /// The point of its last entry.
    last: ChainPoint,
    /// What it holds, in bytes.
    size: u64,
}

/// A node's record, as far as it has to be known to write on.
#[derive(Clone, Debug)]
pub struct AuditLog {
    base: ChainPoint,
    head: ChainPoint,
    /// All but the newest are full.
    segments: Vec<Segment>,
    /// Bytes that all segments may hold, and one of them.
    most: u64,
    segment: u64,
    vectors: u64,
    waiting: Vec<Vec<u8>>,
    dropped: Option<ChainPoint>,
}

impl AuditLog {
    /// A record that begins at `base` and holds `entries` after it, as they are kept; `most` is what it may hold, in bytes, at least
    /// eight segments of the longest entry.
    ///
    /// # Errors
    /// An entry can't be read. Whether they are those that were written is for [`verify`].
    pub fn open(base: ChainPoint, entries: &[Vec<u8>], most: u64) -> Result<AuditLog, AuditLogError> {
        let most = most.max(8 * MAX_ENTRY_BYTES as u64);
        let segment = most / 8;
        let mut record = AuditLog {
            base,
            head: base,
            segments: Vec::new(),
            most,
            segment,
            vectors: 0,
            waiting: Vec::new(),
            dropped: None,
        };
        for kept in entries {
            let number = record.head.number + 1;
            let (_, bytes) = split(number, kept)?;
            record.count(&decode(number, bytes)?.entry);
            record.chain(bytes);
        }
        Ok(record)
    }

    /// The point before the first entry that is left.
    pub fn base(&self) -> ChainPoint {
        self.base
    }

    /// The last entry's point, written or waiting to be.
    pub fn head(&self) -> ChainPoint {
        self.head
    }

    /// What it holds, in bytes of entries.
    pub fn size(&self) -> u64 {
        self.segments.iter().map(|s| s.size).sum()
    }

    /// The number of the vector in force: it grows with each entry that changes it.
    pub fn vector_number(&self) -> u64 {
        self.vectors
    }

    fn count(&mut self, entry: &Entry) {
        if matches!(entry, Entry::ProcessStarted { .. } | Entry::VersionChanged { .. }) {
            self.vectors = self.vectors.saturating_add(1);
        }
    }

    /// An entry as it is kept: what stands for it and all before it, then its bytes.
    fn chain(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.head = self.head.successor(bytes);
        let kept = [self.head.digest.0.as_slice(), bytes].concat();
        let size = kept.len() as u64;
        match self.segments.last_mut() {
            Some(newest) if newest.size + size <= self.segment => {
                *newest = Segment { last: self.head, size: newest.size + size };
            }
            _ => self.segments.push(Segment { last: self.head, size }),
        }
        kept
    }

    /// Write an entry down; it is on the disk once what [`AuditLog::take_pending`] gives is. Old segments make room.
    ///
    /// # Errors
    /// It is too long; then nothing changes.
    pub fn append(&mut self, timed: &Timed) -> Result<ChainPoint, AuditLogError> {
        let bytes = encode(timed)?;
        self.count(&timed.entry);
        let kept = self.chain(&bytes);
        self.waiting.push(kept);
        while self.size() > self.most {
            self.base = self.segments.remove(0).last;
            self.dropped = Some(self.base);
        }
        Ok(self.head)
    }

    /// What has to be done on the disk, if anything.
    pub fn take_pending(&mut self) -> Option<PendingWrite> {
        if self.waiting.is_empty() {
            return None;
        }
        let entries = std::mem::take(&mut self.waiting);
        let first = self.head.number + 1 - entries.len() as u64;
        Some(PendingWrite {
            first_number: first,
            entries,
            drop_through: self.dropped.take(),
            head: self.head,
        })
    }
}

/// An entry as it is kept.
///
/// # Errors
/// It is too long.
pub fn encode(timed: &Timed) -> Result<Vec<u8>, AuditLogError> {
    let bytes = postcard::to_stdvec(timed).map_err(|_| AuditLogError::EntryTooLong(usize::MAX))?;
    match bytes.len() {
        n if n > MAX_ENTRY_BYTES => Err(AuditLogError::EntryTooLong(n)),
        _ => Ok(bytes),
    }
}

/// The entry of that number from its bytes.
///
/// # Errors
/// It is none.
pub fn decode(number: u64, bytes: &[u8]) -> Result<Timed, AuditLogError> {
    match postcard::take_from_bytes::<Timed>(bytes) {
        Ok((timed, [])) => Ok(timed),
        _ => Err(AuditLogError::Unreadable { number }),
    }
}

/// An entry's digest and its bytes, from what is kept.
fn split(number: u64, kept: &[u8]) -> Result<(Digest, &[u8]), AuditLogError> {
    let (digest, bytes) = kept.split_first_chunk::<32>().ok_or(AuditLogError::Unreadable { number })?;
    Ok((Digest(*digest), bytes))
}

/// Whether `entries`, by number and as they are kept, are those that lead from `base` to `head`, and through the points that peers know of
/// this record (digests by number).
///
/// # Errors
/// The first entry that is missing, was changed, or is another one than a peer has heard of.
pub fn verify<'a>(
    base: ChainPoint,
    entries: impl IntoIterator<Item = (u64, &'a [u8])>,
    head: ChainPoint,
    known: &BTreeMap<u64, Digest>,
) -> Result<(), AuditLogError> {
    let mut at = base;
    for (number, kept) in entries {
        if number != at.number + 1 {
            return Err(AuditLogError::Missing { number: at.number + 1 });
        }
        let (digest, bytes) = split(number, kept).map_err(|_| AuditLogError::Changed { number })?;
        at = at.successor(bytes);
        if at.digest != digest || known.get(&number).is_some_and(|d| *d != digest) {
            return Err(AuditLogError::Changed { number });
        }
        decode(number, bytes)?;
    }
    match at.number.cmp(&head.number) {
        std::cmp::Ordering::Less => Err(AuditLogError::Missing { number: at.number + 1 }),
        _ if at != head => Err(AuditLogError::Changed { number: at.number }),
        _ => Ok(()),
    }
}
