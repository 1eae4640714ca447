//! Header fields and the framing of bodies.

use super::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};
use std::io;
use thiserror::Error;

/// Longest line that states the size of a chunk.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// What an allocation takes beside its bytes, in bytes.
const ALLOCATION_OVERHEAD_BYTES: usize = 16;

/// The reason why nothing more can be read from a connection.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The other side violated HTTP or exceeded a limit.
    #[error("{reason}")]
    Malformed {
        /// HTTP status with which a client is answered.
        status: u16,
        /// Short description, sent to a client as the body of the answer.
        reason: &'static str,
    },
}

impl ReadError {
    /// The node has no memory for the message. A client may send its request again.
    pub const NO_MEMORY: ReadError =
        ReadError::Malformed { status: 503, reason: "no memory is left for the message" };
}

pub(super) fn malformed(status: u16, reason: &'static str) -> ReadError {
    ReadError::Malformed { status, reason }
}

/// The fields of a head, with their names in lower case.
#[derive(Debug, Default)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    pub(super) fn read(raw_headers: &[httparse::Header<'_>]) -> Result<Self, ReadError> {
        let lower_case = |h: &httparse::Header<'_>| {
            let value = std::str::from_utf8(h.value).map_err(|_| malformed(400, "a header is not UTF-8"))?;
            Ok((h.name.to_ascii_lowercase(), value.to_string()))
        };
        raw_headers.iter().map(lower_case).collect::<Result<_, _>>().map(Fields)
    }

    /// Returns how much memory the fields take, in bytes. Many short ones take far more than their text.
    pub(super) fn memory_bytes(&self) -> usize {
        let text_bytes = |text: &String| text.capacity() + ALLOCATION_OVERHEAD_BYTES;
        let all_text: usize = self.0.iter().map(|(name, value)| text_bytes(name) + text_bytes(value)).sum();
        self.0.capacity() * size_of::<(String, String)>() + all_text
    }

    /// Returns the value of the field with the lower-case name `name`, or `None` if it is missing.
    ///
    /// Fails if the field occurs more than once.
    pub fn get(&self, name: &str) -> Result<Option<&str>, ReadError> {
        let mut found = self.0.iter().filter(|(n, _)| n == name).map(|(_, v)| v.trim());
        match (found.next(), found.next()) {
            (value, None) => Ok(value),
            _ => Err(malformed(400, "a header is given twice")),
        }
    }

    pub(super) fn has_token(&self, name: &str, token: &str) -> bool {
        let values = self.0.iter().filter(|(n, _)| n == name);
        values.flat_map(|(_, v)| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// How the end of a body is found, and how much of it is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length(usize),
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailer(usize),
    UntilClose,
}

impl Framing {
    /// Returns the framing that the fields state; `None` if they state none.
    pub(super) fn read(fields: &Fields, version: u8) -> Result<Option<Framing>, ReadError> {
        let length = fields.get("content-length")?;
        match (fields.get("transfer-encoding")?, length) {
            (Some(_), Some(_)) => Err(malformed(400, "both a length and a transfer coding")),
            (Some(_), None) if version == 0 => Err(malformed(400, "a transfer coding in HTTP/1.0")),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::ChunkSize)),
            (Some(_), None) => Err(malformed(501, "an unknown transfer coding")),
            (None, Some(text)) => {
                // `parse` alone would accept a sign.
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                if !digits {
                    return Err(malformed(400, "a length that is no number"));
                }
                Ok(Some(Framing::Length(text.parse().unwrap_or(usize::MAX))))
            }
            (None, None) => Ok(None),
        }
    }

    /// Consumes chunk sizes, chunk ends and trailers, until `src` starts with bytes of the body.
    pub(super) fn step(&mut self, src: &mut BytesMut) -> Result<BodyStep, ReadError> {
        loop {
            match *self {
                Framing::Length(0) => return Ok(BodyStep::Complete),
                Framing::Chunk(0) => *self = Framing::ChunkEnd,
                Framing::Length(_) | Framing::Chunk(_) | Framing::UntilClose if src.is_empty() => {
                    return Ok(BodyStep::NeedsMore)
                }
                Framing::Length(left) | Framing::Chunk(left) => {
                    return Ok(BodyStep::Data(left.min(src.len())))
                }
                Framing::UntilClose => return Ok(BodyStep::Data(src.len())),
                Framing::ChunkSize => match httparse::parse_chunk_size(src) {
                    Ok(httparse::Status::Complete((n, size))) => {
                        src.advance(n);
                        let size = usize::try_from(size).unwrap_or(usize::MAX);
                        *self = if size == 0 { Framing::Trailer(0) } else { Framing::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if src.len() <= MAX_CHUNK_SIZE_LINE_BYTES => {
                        return Ok(BodyStep::NeedsMore)
                    }
                    _ => return Err(malformed(400, "a malformed chunk")),
                },
                Framing::ChunkEnd => match src.as_ref() {
                    [b'\r', b'\n', ..] => {
                        src.advance(2);
                        *self = Framing::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok(BodyStep::NeedsMore),
                    _ => return Err(malformed(400, "a malformed chunk")),
                },
                Framing::Trailer(read_bytes) => match src.windows(2).position(|w| w == b"\r\n") {
                    Some(0) => {
                        src.advance(2);
                        *self = Framing::Length(0);
                    }
                    Some(n) if read_bytes + n <= MAX_HEAD_BYTES => {
                        src.advance(n + 2);
                        *self = Framing::Trailer(read_bytes + n + 2);
                    }
                    None if read_bytes + src.len() <= MAX_HEAD_BYTES => return Ok(BodyStep::NeedsMore),
                    _ => return Err(malformed(431, "a trailer that is too large")),
                },
            }
        }
    }

    /// Removes `n` bytes of the body from the front of `src`.
    pub(super) fn consume(&mut self, src: &mut BytesMut, n: usize) {
        src.advance(n);
        if let Framing::Length(left) | Framing::Chunk(left) = self {
            *left -= n;
        }
    }
}

/// What a decoder has to do next about a body.
pub(super) enum BodyStep {
    /// The buffer starts with this many bytes of the body.
    Data(usize),
    /// Nothing can be decoded until more bytes arrive.
    NeedsMore,
    Complete,
}
