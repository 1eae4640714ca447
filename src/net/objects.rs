//! JSON objects one after another in a body: each on a line or indented, cut into parts at any byte.

use super::pool::{Buffer, Pool};
use serde::de::DeserializeOwned;
use std::rc::Rc;
use thiserror::Error;

/// Why no further object can be read.
#[derive(Debug, Error)]
pub enum ObjectError {
    /// What came is no such object.
    #[error("it makes no sense at byte {byte}: {source}")]
    Broken {
        /// Where, counted from 1 over the whole body.
        byte: usize,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// One holds too much.
    #[error("the object that begins after byte {0} is too long")]
    TooLong(usize),
    /// The pool gives no more.
    #[error("no memory is left for it")]
    NoMemory,
}

/// Reads objects as their parts come.
#[derive(Debug)]
pub struct Objects {
    pool: Rc<Pool>,
    /// The most that one may hold, in bytes.
    longest: usize,
    /// What has come of an object; none is held between objects.
    text: Option<Buffer>,
    /// How much of that has been read.
    read: usize,
    /// Bytes of the body before it.
    before: usize,
    /// How much of it had come when it was last tried.
    tried: usize,
    /// A value has ended in it since then.
    ended: bool,
    depth: u32,
    in_string: bool,
    escaped: bool,
}

impl Objects {
    /// For one body, with the most that an object of it may hold, in bytes.
    pub fn new(pool: &Rc<Pool>, longest: usize) -> Self {
        Objects {
            pool: pool.clone(),
            longest,
            text: None,
            read: 0,
            before: 0,
            tried: 0,
            ended: false,
            depth: 0,
            in_string: false,
            escaped: false,
        }
    }

    /// Add a part of the body.
    pub fn add(&mut self, part: &[u8]) -> Result<(), ObjectError> {
        part.iter().for_each(|b| self.pass(*b));
        let text = self.text.get_or_insert_with(|| self.pool.buffer());
        text.append(part).map_err(|_| ObjectError::NoMemory)
    }

    /// The next object that is whole; none while more has to come.
    ///
    /// One that is not whole is read again only where a value has ended or once it has doubled: what is
    /// broken shows early, and a long one in many parts costs about what its length does.
    pub fn whole<T: DeserializeOwned>(&mut self) -> Result<Option<T>, ObjectError> {
        let Some(text) = self.text.take() else { return Ok(None) };
        let rest = text.get(self.read..).unwrap_or_default();
        if !self.ended && rest.len() < 2 * self.tried {
            return self.keep(text);
        }
        let mut values = serde_json::Deserializer::from_slice(rest).into_iter::<T>();
        match values.next() {
            None => {
                self.before += text.len();
                (self.read, self.tried, self.ended) = (0, 0, false);
                Ok(None)
            }
            Some(Ok(value)) => {
                (self.read, self.tried) = (self.read + values.byte_offset(), 0);
                self.text = Some(text);
                Ok(Some(value))
            }
            Some(Err(e)) if e.is_eof() => {
                (self.tried, self.ended) = (rest.len(), false);
                if self.read == 0 {
                    return self.keep(text);
                }
                let mut kept = self.pool.buffer();
                kept.append(rest).map_err(|_| ObjectError::NoMemory)?;
                self.before += std::mem::take(&mut self.read);
                self.keep(kept)
            }
            Some(Err(source)) => {
                let lines = rest.split_inclusive(|b| *b == b'\n').take(source.line().saturating_sub(1));
                let here = lines.map(<[u8]>::len).sum::<usize>() + source.column();
                Err(ObjectError::Broken { byte: self.before + self.read + here, source })
            }
        }
    }

    /// Nothing of an object is held that is not whole.
    pub fn is_between(&self) -> bool {
        self.text.is_none()
    }

    fn keep<T>(&mut self, text: Buffer) -> Result<Option<T>, ObjectError> {
        if text.len() > self.longest {
            return Err(ObjectError::TooLong(self.before));
        }
        self.text = Some(text);
        Ok(None)
    }

    /// Notice the ends of values. Whether they are well formed is the library's to say.
    fn pass(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            _ if self.in_string => {}
            b'{' | b'[' => self.depth = self.depth.saturating_add(1),
            b'}' | b']' => {
                self.depth = self.depth.saturating_sub(1);
                self.ended |= self.depth == 0;
            }
            _ => {}
        }
    }
}
