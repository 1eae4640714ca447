//! Fields and the framing of bodies.

use super::MAX_HEAD;
use bytes::{Buf, BytesMut};
use std::io;
use thiserror::Error;

/// A line with the size of a chunk holds this much at most.
const MAX_SIZE_LINE: usize = 256;

/// Why nothing more can be read from a connection.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection broke.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What came breaks the protocol.
    #[error("{reason}")]
    Bad {
        /// The status that a client is answered with.
        status: u16,
        /// What is wrong, in a few words.
        reason: &'static str,
    },
}

pub(super) fn bad(status: u16, reason: &'static str) -> ReadError {
    ReadError::Bad { status, reason }
}

/// The fields of a head.
#[derive(Debug, Default)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    pub(super) fn read(raw: &[httparse::Header<'_>]) -> Result<Self, ReadError> {
        let one = |h: &httparse::Header<'_>| {
            let value = std::str::from_utf8(h.value).map_err(|_| bad(400, "a header is not UTF-8"))?;
            Ok((h.name.to_ascii_lowercase(), value.to_string()))
        };
        raw.iter().map(one).collect::<Result<_, _>>().map(Fields)
    }

    /// The value of a field, named in small letters, that may come once.
    pub fn get(&self, name: &str) -> Result<Option<&str>, ReadError> {
        let mut found = self.0.iter().filter(|(n, _)| n == name).map(|(_, v)| v.trim());
        match (found.next(), found.next()) {
            (value, None) => Ok(value),
            _ => Err(bad(400, "a header is given twice")),
        }
    }

    pub(super) fn has_token(&self, name: &str, token: &str) -> bool {
        let values = self.0.iter().filter(|(n, _)| n == name);
        values.flat_map(|(_, v)| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// How the rest of a body is marked off.
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
    /// What the fields say; `None` where they say nothing.
    pub(super) fn read(fields: &Fields, version: u8) -> Result<Option<Framing>, ReadError> {
        let length = fields.get("content-length")?;
        match (fields.get("transfer-encoding")?, length) {
            (Some(_), Some(_)) => Err(bad(400, "both a length and a transfer coding")),
            (Some(_), None) if version == 0 => Err(bad(400, "a transfer coding in HTTP/1.0")),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::ChunkSize)),
            (Some(_), None) => Err(bad(501, "an unknown transfer coding")),
            (None, Some(text)) => {
                // Digits alone: `parse` would take a sign.
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                if !digits {
                    return Err(bad(400, "a length that is no number"));
                }
                Ok(Some(Framing::Length(text.parse().unwrap_or(usize::MAX))))
            }
            (None, None) => Ok(None),
        }
    }

    /// Take in what marks off the body until some of it stands at the front of `src`.
    pub(super) fn step(&mut self, src: &mut BytesMut) -> Result<Step, ReadError> {
        loop {
            match *self {
                Framing::Length(0) => return Ok(Step::Complete),
                Framing::Chunk(0) => *self = Framing::ChunkEnd,
                Framing::Length(_) | Framing::Chunk(_) | Framing::UntilClose if src.is_empty() => {
                    return Ok(Step::Wait)
                }
                Framing::Length(left) | Framing::Chunk(left) => return Ok(Step::Body(left.min(src.len()))),
                Framing::UntilClose => return Ok(Step::Body(src.len())),
                Framing::ChunkSize => match httparse::parse_chunk_size(src) {
                    Ok(httparse::Status::Complete((n, size))) => {
                        src.advance(n);
                        let size = usize::try_from(size).unwrap_or(usize::MAX);
                        *self = if size == 0 { Framing::Trailer(0) } else { Framing::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if src.len() <= MAX_SIZE_LINE => return Ok(Step::Wait),
                    _ => return Err(bad(400, "a malformed chunk")),
                },
                Framing::ChunkEnd => match src.as_ref() {
                    [b'\r', b'\n', ..] => {
                        src.advance(2);
                        *self = Framing::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok(Step::Wait),
                    _ => return Err(bad(400, "a malformed chunk")),
                },
                Framing::Trailer(seen) => match src.windows(2).position(|w| w == b"\r\n") {
                    Some(0) => {
                        src.advance(2);
                        *self = Framing::Length(0);
                    }
                    Some(n) if seen + n <= MAX_HEAD => {
                        src.advance(n + 2);
                        *self = Framing::Trailer(seen + n + 2);
                    }
                    None if seen + src.len() <= MAX_HEAD => return Ok(Step::Wait),
                    _ => return Err(bad(431, "a trailer that is too large")),
                },
            }
        }
    }

    /// So much of the body has been taken from the front.
    pub(super) fn took(&mut self, src: &mut BytesMut, n: usize) {
        src.advance(n);
        if let Framing::Length(left) | Framing::Chunk(left) = self {
            *left -= n;
        }
    }
}

/// How a body goes on.
pub(super) enum Step {
    /// So many bytes of it stand at the front.
    Body(usize),
    /// More has to come.
    Wait,
    /// It is complete.
    Complete,
}
