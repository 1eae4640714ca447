//! Reads a sequence of JSON objects from a message body that arrives in parts, which may be split at any byte.

use super::pool::{Buffer, Pool};
use serde::de::DeserializeOwned;
use std::rc::Rc;
use thiserror::Error;

/// Why no further object can be read from a body.
#[derive(Debug, Error)]
pub enum ObjectError {
    /// The body is not valid JSON, or an object lacks a required field.
    #[error("malformed JSON at byte {byte}: {source}")]
    Malformed {
        /// Position in the body, counted from 1.
        byte: usize,
        /// The reason.
        source: serde_json::Error,
    },
    /// An object exceeds the size limit; the value is its start, in bytes from the start of the body.
    #[error("the object that begins after byte {0} is too long")]
    TooLong(usize),
    /// The pool's memory is used up.
    #[error("no memory is left for an object")]
    NoMemory,
}

/// Parses the JSON objects of one body as its parts arrive.
#[derive(Debug)]
pub struct JsonObjects {
    pool: Rc<Pool>,
    /// Maximum size of an object, in bytes.
    max_bytes: usize,
    /// Received text that is not fully parsed; `None` between objects.
    text: Option<Buffer>,
    /// Number of bytes of `text` that were parsed.
    parsed: usize,
    /// Number of bytes of the body before `text`.
    offset: usize,
    /// Length of the unparsed text at the last attempt to parse it.
    attempted: usize,
    /// A top-level value has ended since that attempt.
    value_ended: bool,
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl JsonObjects {
    /// Creates the parser of a body whose objects have at most `max_bytes` bytes.
    pub fn new(pool: &Rc<Pool>, max_bytes: usize) -> Self {
        JsonObjects {
            pool: pool.clone(),
            max_bytes,
            text: None,
            parsed: 0,
            offset: 0,
            attempted: 0,
            value_ended: false,
            depth: 0,
            in_string: false,
            escaped: false,
        }
    }

    /// Appends a part of the body.
    ///
    /// # Errors
    /// Fails if the pool's memory is used up.
    pub fn push(&mut self, part: &[u8]) -> Result<(), ObjectError> {
        part.iter().for_each(|b| self.scan(*b));
        let text = self.text.get_or_insert_with(|| self.pool.buffer());
        text.append(part).map_err(|_| ObjectError::NoMemory)
    }

    /// Returns the next complete object; `None` if more of the body has to arrive first.
    ///
    /// An incomplete object is parsed again only if a value has ended or its length has doubled. This detects malformed
    /// text early, and the cost of a long object in many parts stays linear.
    ///
    /// # Errors
    /// Fails if the text is malformed or the object exceeds the size limit.
    pub fn next_object<T: DeserializeOwned>(&mut self) -> Result<Option<T>, ObjectError> {
        let Some(text) = self.text.take() else { return Ok(None) };
        let rest = text.get(self.parsed..).unwrap_or_default();
        if !self.value_ended && rest.len() < 2 * self.attempted {
            return self.store(text);
        }
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter::<T>();
        match values.next() {
            None => {
                self.offset += text.len();
                (self.parsed, self.attempted, self.value_ended) = (0, 0, false);
                Ok(None)
            }
            Some(Ok(value)) => {
                (self.parsed, self.attempted) = (self.parsed + values.byte_offset(), 0);
                self.text = Some(text);
                Ok(Some(value))
            }
            Some(Err(e)) if e.is_eof() => {
                (self.attempted, self.value_ended) = (rest.len(), false);
                if self.parsed == 0 {
                    return self.store(text);
                }
                let mut unparsed = self.pool.buffer();
                unparsed.append(rest).map_err(|_| ObjectError::NoMemory)?;
                self.offset += std::mem::take(&mut self.parsed);
                self.store(unparsed)
            }
            Some(Err(source)) => {
                let lines = rest.split_inclusive(|b| *b == b'\n').take(source.line().saturating_sub(1));
                let position = lines.map(<[u8]>::len).sum::<usize>() + source.column();
                Err(ObjectError::Malformed { byte: self.offset + self.parsed + position, source })
            }
        }
    }

    /// Returns whether no incomplete object has arrived.
    pub fn is_at_boundary(&self) -> bool {
        self.text.is_none()
    }

    fn store<T>(&mut self, text: Buffer) -> Result<Option<T>, ObjectError> {
        if text.len() > self.max_bytes {
            return Err(ObjectError::TooLong(self.offset));
        }
        self.text = Some(text);
        Ok(None)
    }

    /// Tracks where top-level objects and arrays end. Syntax errors are left to the parser.
    fn scan(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth = self.depth.saturating_add(1),
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                self.value_ended |= self.depth == 0;
            }
            _ => {}
        }
    }
}
