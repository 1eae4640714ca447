//! The keys of a fleet: one, or two while they are changed.
//!
//! ```text
//! # 32 bytes: openssl rand -hex 32
//! 9f6b...e1
//! ```
//!
//! A change that loses no word: the new key goes into every file as the second line, then every process is told to read it
//! (SIGHUP); the new key is made the first line and read; the old one is taken out and read.

use hmac::{Hmac, KeyInit, Mac};
use miette::Diagnostic;
use sha2::Sha256;
use std::fmt;
use thiserror::Error;

/// A key is at least that long, in bytes: as long as what SHA-256 gives (RFC 2104, section 3).
pub const MIN_KEY_BYTES: usize = 32;
/// Keys that are believed at once.
pub const MAX_KEYS: usize = 2;

pub(crate) type Code = Hmac<Sha256>;

/// Why keys can't be used. No text of it holds any part of a key.
#[derive(Clone, Copy, Debug, Diagnostic, Error, PartialEq, Eq)]
pub enum KeysError {
    /// There is no key.
    #[error("there is no key")]
    #[diagnostic(help("write one line of hex into the file, as `openssl rand -hex 32` prints it"))]
    Empty,
    /// A line is no key.
    #[error("line {line}: no pairs of hex digits")]
    #[diagnostic(help(
        "a key is one line of hex, as `openssl rand -hex 32` prints it; '#' begins a comment"
    ))]
    NotHex {
        /// The line, from 1.
        line: usize,
    },
    /// A key can be guessed.
    #[error("line {line}: a key of {bytes} bytes; {MIN_KEY_BYTES} at least")]
    #[diagnostic(help("make a key with `openssl rand -hex 32`"))]
    TooShort {
        /// The line, from 1.
        line: usize,
        /// Its bytes.
        bytes: usize,
    },
    /// There are more than two.
    #[error("line {line}: a third key; {MAX_KEYS} at most")]
    #[diagnostic(help(
        "take out the oldest: two are believed while they are changed, the first one is sealed with"
    ))]
    TooMany {
        /// The line of the first that is too many, from 1.
        line: usize,
    },
    /// Others may read or write the file.
    #[error("its mode is {mode:04o}: others may read or change it")]
    #[diagnostic(help("chmod 0600 the file; if others may have read it, make a new key"))]
    FileMode {
        /// The mode's lowest bits.
        mode: u32,
    },
}

/// Why a file's code is not believed.
#[derive(Clone, Copy, Debug, Diagnostic, Error, PartialEq, Eq)]
pub enum FileMacError {
    /// What should be its code is none.
    #[error("this is no code of a file")]
    #[diagnostic(help("make it with `openssl dgst -sha256 -mac HMAC -macopt hexkey:KEY FILE`: 64 hex digits, alone or after a '='"))]
    Malformed,
    /// It is the code of something else, or under another key.
    #[error("the code is not the one of this file under this fleet's keys")]
    #[diagnostic(help(
        "sign the file anew after its last change, with the key in the first line of the file of keys"
    ))]
    Mismatch,
}

/// The keys of a fleet, the newest first. It is never printed.
#[derive(Clone)]
pub struct Keys {
    /// One or two.
    all: Vec<Code>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.all.len())
    }
}

impl Keys {
    /// Read a file of keys: one or two lines of hex, the newest first; blank lines and what follows a '#' are left out.
    ///
    /// # Errors
    /// The first line that is no key, is too short or is one too many; a file without any.
    pub fn read(text: &str) -> Result<Keys, KeysError> {
        let mut all = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let line_number = at + 1;
            let digits = line.split('#').next().unwrap_or_default().trim();
            if digits.is_empty() {
                continue;
            }
            let key = hex::decode(digits).map_err(|_| KeysError::NotHex { line: line_number })?;
            if key.len() < MIN_KEY_BYTES {
                return Err(KeysError::TooShort { line: line_number, bytes: key.len() });
            }
            if all.len() == MAX_KEYS {
                return Err(KeysError::TooMany { line: line_number });
            }
            // HMAC takes keys of any length.
            all.push(Code::new_from_slice(&key).map_err(|_| KeysError::NotHex { line: line_number })?);
        }
        if all.is_empty() {
            return Err(KeysError::Empty);
        }
        Ok(Keys { all })
    }

    /// Whether a file of keys may have that mode, as the system tells it (bits of its kind are left out).
    ///
    /// # Errors
    /// Its group or others may do anything with it.
    pub fn check_file_mode(mode: u32) -> Result<(), KeysError> {
        match mode & 0o077 {
            0 => Ok(()),
            _ => Err(KeysError::FileMode { mode: mode & 0o7777 }),
        }
    }

    /// The newest first, each ready to take bytes.
    pub(crate) fn codes(&self) -> impl Iterator<Item = Code> + '_ {
        self.all.iter().cloned()
    }

    /// The code of these bytes under the newest key: HMAC-SHA256, as `openssl dgst -sha256 -mac HMAC` makes it.
    pub fn mac(&self, bytes: &[u8]) -> [u8; 32] {
        // There is always one; were there none, its code would be believed by nobody.
        let Some(code) = self.codes().next() else { return [0; 32] };
        code.chain_update(bytes).finalize().into_bytes().into()
    }

    /// Whether that is the code of these bytes under one of the keys; it takes the same time wherever they differ.
    pub fn verify_mac(&self, bytes: &[u8], code: &[u8]) -> bool {
        self.codes().any(|own| own.chain_update(bytes).verify_slice(code).is_ok())
    }

    /// Whether a text holds the code of a file's bytes: 64 hex digits, alone or as openssl prints it (`HMAC-SHA2-256(file)= hex`).
    ///
    /// # Errors
    /// The text holds no code, or the one of something else.
    pub fn verify_file(&self, bytes: &[u8], text: &str) -> Result<(), FileMacError> {
        let digits = text.rsplit('=').next().unwrap_or_default().trim();
        let code = hex::decode(digits).map_err(|_| FileMacError::Malformed)?;
        if code.len() != 32 {
            return Err(FileMacError::Malformed);
        }
        match self.verify_mac(bytes, &code) {
            true => Ok(()),
            false => Err(FileMacError::Mismatch),
        }
    }
}
