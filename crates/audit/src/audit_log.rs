//! A node's log of its versions and decisions: a hash chain of entries, bounded in size.
//!
//! [`AuditLog`] returns what to write and what to drop; the caller does the I/O. A crash leaves a prefix of the written entries.
//! [`verify`] reports the first entry that was changed, removed or inserted.

use crate::version::{Item, VersionChange, VersionError, VersionVector};
use crate::Micros;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt;

/// Largest size of an encoded entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 4_096;

/// Chained SHA-256 of an entry and all entries before it.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// A position in a hash chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChainPoint {
    /// Number of the entry; 0 is the origin, before the first entry.
    pub number: u64,
    /// Digest of the entry and all entries before it.
    pub digest: Digest,
}

impl ChainPoint {
    /// Returns the origin of a node's log; `log_id` is drawn at random when the log is created.
    pub fn origin(node: &str, log_id: u64) -> ChainPoint {
        let mut hash = Sha256::new();
        hash.update(b"shorepath audit 1");
        hash.update((node.len() as u64).to_be_bytes());
        hash.update(node.as_bytes());
        hash.update(log_id.to_be_bytes());
        ChainPoint { number: 0, digest: Digest(hash.finalize().into()) }
    }

    /// Returns the position of the next entry, given its bytes.
    pub fn successor(&self, entry: &[u8]) -> ChainPoint {
        let mut hash = Sha256::new();
        hash.update(self.digest.0);
        hash.update(entry);
        ChainPoint { number: self.number.saturating_add(1), digest: Digest(hash.finalize().into()) }
    }
}

/// What caused a change of version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeSource {
    /// The start of the process.
    Start,
    /// An operator's reload of this node (SIGHUP).
    Operator,
    /// An update from discovery.
    Discovery,
    /// An update from other nodes.
    Peers,
    /// The consensus of the quota servers.
    Agreement,
}

/// The decision on one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Decision {
    /// Keyed hash of the request's id, see [`crate::decision_counters::request_tag`].
    pub request: u64,
    /// The request's class.
    pub class: String,
    /// Id of the server in discovery's list; `None` if the request was not sent.
    pub server: Option<String>,
    /// Short text for the decision and its reason.
    pub reason: String,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A process started to write the log.
    #[serde(rename = "Began")]
    ProcessStarted {
        /// The versions at its start.
        vector: VersionVector,
    },
    /// A version changed, which increments the number of the version vector.
    #[serde(rename = "Took")]
    VersionChanged {
        /// The changed item with its old and new version.
        #[serde(rename = "taken")]
        change: VersionChange,
        /// Cause of the change.
        #[serde(rename = "why")]
        source: ChangeSource,
    },
    /// A version was rejected.
    #[serde(rename = "Back")]
    VersionRejected {
        /// The item that keeps its version.
        item: Item,
        /// Why the version was rejected.
        #[serde(rename = "because")]
        error: VersionError,
        /// Origin of the rejected version.
        #[serde(rename = "why")]
        source: ChangeSource,
    },
    /// Counts of decisions since the last entry of this kind.
    #[serde(rename = "Sum")]
    DecisionCounts {
        /// Number of the version vector at the decisions.
        vector: u64,
        /// Number of decisions by reason.
        counts: BTreeMap<String, u64>,
    },
    /// A sampled decision, or the rejection of an at-most-once request.
    #[serde(rename = "Decided")]
    SampledDecision {
        /// Number of the version vector at the decision.
        vector: u64,
        /// The decision with its request, server and reason.
        decision: Decision,
    },
    /// Single decisions that the rate limit has dropped since the last entry of this kind.
    #[serde(rename = "Dropped")]
    DecisionsDropped {
        /// Number of dropped decisions.
        count: u64,
    },
}

/// An entry with its time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Timed {
    /// Unix time in microseconds by the node's clock, which may go backwards.
    pub at: Micros,
    /// The process start, version change or decisions logged at that time.
    pub entry: Entry,
}

/// Why a log is invalid, or an entry can't be appended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum AuditLogError {
    /// An entry was changed, or an earlier one was removed or inserted.
    #[error("entry {number} was changed, or an entry before it was removed")]
    #[diagnostic(help("another program wrote to the disk, or the disk is failing: keep a copy for analysis, compare it with what peers know of this node's log, then remove the log"))]
    Changed {
        /// Number of the entry.
        number: u64,
    },
    /// One or more entries are missing.
    #[error("entry {number} is missing")]
    #[diagnostic(help("the disk lost entries, or someone removed them: compare the log with what peers know of this node's log"))]
    Missing {
        /// Number of the first missing entry.
        number: u64,
    },
    /// An entry can't be decoded.
    #[error("entry {number} can't be decoded")]
    #[diagnostic(help(
        "another version of this program wrote it: read the log with that version, or see the changelog"
    ))]
    Unreadable {
        /// Number of the entry.
        number: u64,
    },
    /// An encoded entry exceeds [`MAX_ENTRY_BYTES`]; holds its size in bytes.
    #[error("an entry of {0} bytes exceeds the limit of {MAX_ENTRY_BYTES} bytes")]
    #[diagnostic(help("use shorter names of classes and servers"))]
    EntryTooLong(usize),
}

/// A write to the disk, to be done as one atomic transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingWrite {
    /// Number of the first entry.
    pub first_number: u64,
    /// The encoded entries, each preceded by its digest.
    pub entries: Vec<Vec<u8>>,
    /// Entries up to and including this position are dropped, and it is stored as the log's new base.
    pub drop_through: Option<ChainPoint>,
    /// Position of the last entry after the write.
    pub head: ChainPoint,
}

/// Consecutive entries that are dropped together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    /// Position of the last entry.
    last: ChainPoint,
    /// Size of the entries in bytes.
    size: u64,
}

/// The state that is needed to append to a node's log.
#[derive(Clone, Debug)]
pub struct AuditLog {
    base: ChainPoint,
    head: ChainPoint,
    /// Oldest first; only the newest may be partly filled.
    segments: Vec<Segment>,
    /// Limit of the log's size in bytes.
    max_bytes: u64,
    /// Limit of a segment's size in bytes.
    max_segment_bytes: u64,
    /// Number of the current version vector.
    vector_number: u64,
    /// Entries that [`AuditLog::take_pending`] has not returned yet.
    pending: Vec<Vec<u8>>,
    /// Position of the last dropped entry, until [`AuditLog::take_pending`] returns it.
    dropped: Option<ChainPoint>,
}

impl AuditLog {
    /// Opens a log with the stored `entries` after `base`.
    ///
    /// `max_bytes` limits its size; it is raised to eight entries of [`MAX_ENTRY_BYTES`].
    ///
    /// # Errors
    /// An entry can't be decoded. The hash chain is not checked here, see [`verify`].
    pub fn open(base: ChainPoint, entries: &[Vec<u8>], max_bytes: u64) -> Result<AuditLog, AuditLogError> {
        let max_bytes = max_bytes.max(8 * MAX_ENTRY_BYTES as u64);
        let max_segment_bytes = max_bytes / 8;
        let mut log = AuditLog {
            base,
            head: base,
            segments: Vec::new(),
            max_bytes,
            max_segment_bytes,
            vector_number: 0,
            pending: Vec::new(),
            dropped: None,
        };
        for stored in entries {
            let number = log.head.number + 1;
            let (_, bytes) = split(number, stored)?;
            log.count_vector(&decode(number, bytes)?.entry);
            log.chain(bytes);
        }
        Ok(log)
    }

    /// Returns the position before the first entry that is kept.
    pub fn base(&self) -> ChainPoint {
        self.base
    }

    /// Returns the position of the last entry, written or pending.
    pub fn head(&self) -> ChainPoint {
        self.head
    }

    /// Returns the total size of the kept entries in bytes.
    pub fn size(&self) -> u64 {
        self.segments.iter().map(|s| s.size).sum()
    }

    /// Returns the number of the current version vector, which each entry that changes the vector increments.
    pub fn vector_number(&self) -> u64 {
        self.vector_number
    }

    fn count_vector(&mut self, entry: &Entry) {
        if matches!(entry, Entry::ProcessStarted { .. } | Entry::VersionChanged { .. }) {
            self.vector_number = self.vector_number.saturating_add(1);
        }
    }

    /// Appends an encoded entry to the chain and returns it as stored: its digest, then its bytes.
    fn chain(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.head = self.head.successor(bytes);
        let stored = [self.head.digest.0.as_slice(), bytes].concat();
        let size = stored.len() as u64;
        match self.segments.last_mut() {
            Some(newest) if newest.size + size <= self.max_segment_bytes => {
                *newest = Segment { last: self.head, size: newest.size + size };
            }
            _ => self.segments.push(Segment { last: self.head, size }),
        }
        stored
    }

    /// Appends an entry, to be written with the next [`AuditLog::take_pending`]; drops the oldest segments over the size limit.
    ///
    /// # Errors
    /// The encoded entry exceeds [`MAX_ENTRY_BYTES`]; the log stays unchanged.
    pub fn append(&mut self, timed: &Timed) -> Result<ChainPoint, AuditLogError> {
        let bytes = encode(timed)?;
        self.count_vector(&timed.entry);
        let stored = self.chain(&bytes);
        self.pending.push(stored);
        while self.size() > self.max_bytes {
            self.base = self.segments.remove(0).last;
            self.dropped = Some(self.base);
        }
        Ok(self.head)
    }

    /// Returns the next write to the disk; `None` if no entry is pending.
    pub fn take_pending(&mut self) -> Option<PendingWrite> {
        if self.pending.is_empty() {
            return None;
        }
        let entries = std::mem::take(&mut self.pending);
        let first = self.head.number + 1 - entries.len() as u64;
        Some(PendingWrite {
            first_number: first,
            entries,
            drop_through: self.dropped.take(),
            head: self.head,
        })
    }
}

/// Encodes an entry.
///
/// # Errors
/// The encoded entry exceeds [`MAX_ENTRY_BYTES`].
pub fn encode(timed: &Timed) -> Result<Vec<u8>, AuditLogError> {
    let bytes = postcard::to_stdvec(timed).map_err(|_| AuditLogError::EntryTooLong(usize::MAX))?;
    match bytes.len() {
        n if n > MAX_ENTRY_BYTES => Err(AuditLogError::EntryTooLong(n)),
        _ => Ok(bytes),
    }
}

/// Decodes the entry with this number.
///
/// # Errors
/// The bytes are not exactly one entry.
pub fn decode(number: u64, bytes: &[u8]) -> Result<Timed, AuditLogError> {
    match postcard::take_from_bytes::<Timed>(bytes) {
        Ok((timed, [])) => Ok(timed),
        _ => Err(AuditLogError::Unreadable { number }),
    }
}

/// Splits a stored entry into its digest and its encoded bytes.
fn split(number: u64, stored: &[u8]) -> Result<(Digest, &[u8]), AuditLogError> {
    let (digest, bytes) = stored.split_first_chunk::<32>().ok_or(AuditLogError::Unreadable { number })?;
    Ok((Digest(*digest), bytes))
}

/// Checks that the stored `entries` form the hash chain from `base` to `head`.
///
/// `known` holds digests by entry number that peers have received from this log; entries have to match them too.
///
/// # Errors
/// The first entry that is missing, was changed, or differs from a digest in `known`.
pub fn verify<'a>(
    base: ChainPoint,
    entries: impl IntoIterator<Item = (u64, &'a [u8])>,
    head: ChainPoint,
    known: &BTreeMap<u64, Digest>,
) -> Result<(), AuditLogError> {
    let mut at = base;
    for (number, stored) in entries {
        if number != at.number + 1 {
            return Err(AuditLogError::Missing { number: at.number + 1 });
        }
        let (digest, bytes) = split(number, stored).map_err(|_| AuditLogError::Changed { number })?;
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
