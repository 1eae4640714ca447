//! Hash chain of a log: the digest of each entry covers all entries before it, so that a changed or missing
//! entry is detected and its number known.

use crate::{Entry, Timed, Writer};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Maximum size of an encoded entry in bytes, so that every entry fits into one message.
pub const MAX_ENTRY_BYTES: usize = 900;

/// SHA-256 digest of an entry and all entries before it in its log.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|b| write!(f, "{b:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Number of an entry and the digest of the log up to and including it.
pub type Point = (u64, Digest);

/// Why bytes are not a valid entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum EntryError {
    /// The encoded entry is longer than [`MAX_ENTRY_BYTES`]; holds its size in bytes.
    #[error("an entry has {0} bytes; the limit is {MAX_ENTRY_BYTES}")]
    #[diagnostic(help("key, class, tenant and server of a placement together must fit into {MAX_ENTRY_BYTES} bytes; let the client use a shorter key"))]
    TooLong(usize),
    /// The bytes don't decode to an entry.
    #[error("an entry can't be decoded")]
    #[diagnostic(help("the sending site runs another version of this program, or the entry was corrupted; compare the versions of both sites"))]
    Unreadable,
    /// The entry ends a placement that doesn't precede it.
    #[error("entry {number} ends entry {of}, which does not precede it")]
    #[diagnostic(help("the node that wrote the log has a defect; report it together with that node's log"))]
    InvalidEnd {
        /// Number of the entry.
        number: u64,
        /// Number of the placement that the entry claims to end.
        of: u64,
    },
}

/// Returns the point before the first entry of a log: number 0 and a digest of the writer's identity.
pub fn origin(writer: &Writer) -> Point {
    let mut hash = Sha256::new();
    hash.update(b"shorepath placements 1");
    for name in [&writer.site, &writer.node] {
        hash.update((name.len() as u64).to_be_bytes());
        hash.update(name.as_bytes());
    }
    hash.update(writer.log.to_be_bytes());
    (0, Digest(hash.finalize().into()))
}

/// Returns the digest after an entry, from the digest `before` it.
pub fn next_digest(before: &Digest, entry: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    hash.update(before.0);
    hash.update(entry);
    Digest(hash.finalize().into())
}

/// Encodes an entry as it is stored and sent.
///
/// # Errors
/// [`EntryError::TooLong`] if the result exceeds [`MAX_ENTRY_BYTES`].
pub fn encode(timed: &Timed) -> Result<Vec<u8>, EntryError> {
    let bytes = postcard::to_stdvec(timed).map_err(|_| EntryError::Unreadable)?;
    if bytes.len() > MAX_ENTRY_BYTES {
        return Err(EntryError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes the entry with that number.
///
/// # Errors
/// The bytes are too long, don't decode, or end a placement that doesn't precede the entry.
pub fn decode(number: u64, bytes: &[u8]) -> Result<Timed, EntryError> {
    if bytes.len() > MAX_ENTRY_BYTES {
        return Err(EntryError::TooLong(bytes.len()));
    }
    let (timed, rest) = postcard::take_from_bytes::<Timed>(bytes).map_err(|_| EntryError::Unreadable)?;
    if !rest.is_empty() {
        return Err(EntryError::Unreadable);
    }
    match timed.entry {
        Entry::Ended { of, .. } if of == 0 || of >= number => Err(EntryError::InvalidEnd { number, of }),
        _ => Ok(timed),
    }
}

/// Serializes entries as byte strings instead of sequences of numbers.
mod as_bytes {
    use serde::{Deserialize, Deserializer, Serializer};
    use serde_bytes::{ByteBuf, Bytes};

    pub fn serialize<S: Serializer>(entries: &[Vec<u8>], to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(entries.iter().map(|entry| Bytes::new(entry)))
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<Vec<u8>>, D::Error> {
        Ok(Vec::<ByteBuf>::deserialize(from)?.into_iter().map(ByteBuf::into_vec).collect())
    }
}

/// Consecutive entries of one log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Log to which the entries belong.
    pub writer: Writer,
    /// Number of the entry before the first one; 0 at the start of the log.
    pub after: u64,
    /// Digest of the log up to entry `after`.
    pub before: Digest,
    /// Encoded entries (see [`encode`]).
    #[serde(with = "as_bytes")]
    pub entries: Vec<Vec<u8>>,
    /// Digest of the log up to the last of the entries.
    pub head: Digest,
}

impl Piece {
    /// Returns the point of the last entry.
    pub fn last(&self) -> Point {
        (self.after.saturating_add(self.entries.len() as u64), self.head)
    }

    /// Returns the total size of the encoded entries in bytes.
    pub fn size(&self) -> usize {
        self.entries.iter().map(Vec::len).sum()
    }

    /// Returns whether the entries lead from `before` to `head` and their numbers don't overflow.
    pub fn digests_match(&self) -> bool {
        self.after.checked_add(self.entries.len() as u64).is_some()
            && self.entries.iter().fold(self.before, |before, entry| next_digest(&before, entry)) == self.head
    }
}
