//! Hash chains: each entry of a log is bound to all before it, so that a changed or missing one is found and named.

use crate::{Entry, Timed, Writer};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// An entry is this many bytes at most, so that one always fits a word.
pub const MAX_ENTRY_BYTES: usize = 900;

/// Stands for an entry and all before it in its log (SHA-256).
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

/// The number of an entry, and what stands for it and all before it.
pub type Point = (u64, Digest);

/// Why bytes are no entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum EntryError {
    /// It is longer than a word carries.
    #[error("an entry of {0} bytes is over {MAX_ENTRY_BYTES}")]
    #[diagnostic(help("keys, classes, tenants and servers of a placement hold {MAX_ENTRY_BYTES} bytes together; the client has to use a shorter key"))]
    TooLong(usize),
    /// It can't be read.
    #[error("an entry can't be read")]
    #[diagnostic(help("the other site runs another version of this program, or the entry was changed; compare their versions"))]
    Unreadable,
    /// It ends a placement that is not before it.
    #[error("entry {number} ends entry {of}, which is not before it")]
    #[diagnostic(help("whoever wrote it is faulty; report it with the log of that node"))]
    InvalidEnd {
        /// Its number.
        number: u64,
        /// What it ends.
        of: u64,
    },
}

/// The point before the first entry of a log.
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

/// What stands for an entry after what stands for the one before it.
pub fn next_digest(before: &Digest, entry: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    hash.update(before.0);
    hash.update(entry);
    Digest(hash.finalize().into())
}

/// An entry as it is kept and sent.
///
/// # Errors
/// It is too long.
pub fn encode(timed: &Timed) -> Result<Vec<u8>, EntryError> {
    let bytes = postcard::to_stdvec(timed).map_err(|_| EntryError::Unreadable)?;
    if bytes.len() > MAX_ENTRY_BYTES {
        return Err(EntryError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// The entry of that number from its bytes.
///
/// # Errors
/// It is none.
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

/// Entries as bytes, not as numbers one by one.
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

/// Some entries of a log that follow each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Whose log.
    pub writer: Writer,
    /// The number of the entry before the first one; 0 at the beginning of the log.
    pub after: u64,
    /// What stands for that entry and all before it.
    pub before: Digest,
    /// The entries, see [`encode`].
    #[serde(with = "as_bytes")]
    pub entries: Vec<Vec<u8>>,
    /// What stands for the last one and all before it.
    pub head: Digest,
}

impl Piece {
    /// The last entry's point.
    pub fn last(&self) -> Point {
        (self.after.saturating_add(self.entries.len() as u64), self.head)
    }

    /// What its entries hold, in bytes.
    pub fn size(&self) -> usize {
        self.entries.iter().map(Vec::len).sum()
    }

    /// Whether the entries are what the digests say.
    pub fn digests_match(&self) -> bool {
        self.after.checked_add(self.entries.len() as u64).is_some()
            && self.entries.iter().fold(self.before, |before, entry| next_digest(&before, entry)) == self.head
    }
}
