//! The keys of a fleet: one, or two while keys are rotated.
//!
//! ```text
//! # 32 bytes: openssl rand -hex 32
//! 9f6b...e1
//! ```
//!
//! To rotate a key without losing messages: add the new key as the second line of every key file and send SIGHUP to every process,
//! which reloads the file. Then move the new key to the first line and reload, and finally remove the old key and reload.

use hmac::{Hmac, KeyInit, Mac};
use miette::Diagnostic;
use sha2::Sha256;
use std::fmt;
use thiserror::Error;

/// Minimum length of a key, in bytes: the output length of SHA-256 (RFC 2104, section 3).
pub const MIN_KEY_BYTES: usize = 32;
/// Maximum number of keys that are accepted at once.
pub const MAX_KEYS: usize = 2;

pub(crate) type HmacSha256 = Hmac<Sha256>;

/// Why a key file was rejected. Error messages never contain a part of a key.
#[derive(Clone, Copy, Debug, Diagnostic, Error, PartialEq, Eq)]
pub enum KeysError {
    /// The file has no key.
    #[error("the key file has no key")]
    #[diagnostic(help("write one line of hex into the file, as `openssl rand -hex 32` prints it"))]
    Empty,
    /// A line is not valid hexadecimal.
    #[error("line {line}: the key is not valid hexadecimal")]
    #[diagnostic(help(
        "a key is one line of hex, as `openssl rand -hex 32` prints it; '#' begins a comment"
    ))]
    NotHex {
        /// Number of the line, from 1.
        line: usize,
    },
    /// A key is shorter than [`MIN_KEY_BYTES`].
    #[error("line {line}: the key has {bytes} bytes; at least {MIN_KEY_BYTES} are required")]
    #[diagnostic(help("make a key with `openssl rand -hex 32`"))]
    TooShort {
        /// Number of the line, from 1.
        line: usize,
        /// Length of the key, in bytes.
        bytes: usize,
    },
    /// The file has more than [`MAX_KEYS`] keys.
    #[error("line {line}: there are too many keys; at most {MAX_KEYS} are allowed")]
    #[diagnostic(help(
        "remove the oldest key; two keys are accepted while keys are rotated, and the first one signs"
    ))]
    TooMany {
        /// Number of the line of the first excess key, from 1.
        line: usize,
    },
    /// Other users may read or write the file.
    #[error("the mode of the key file is {mode:04o}: others may read or change it")]
    #[diagnostic(help("chmod 0600 the file; if others may have read it, make a new key"))]
    FileMode {
        /// Permission bits of the file, without the file type.
        mode: u32,
    },
}

/// Why the MAC of a file was rejected.
#[derive(Clone, Copy, Debug, Diagnostic, Error, PartialEq, Eq)]
pub enum FileMacError {
    /// The text is not a MAC in hexadecimal.
    #[error("the file with the authentication code does not hold 64 hex digits")]
    #[diagnostic(help("make it with `openssl dgst -sha256 -mac HMAC -macopt hexkey:KEY FILE`: 64 hex digits, alone or after a '='"))]
    Malformed,
    /// The MAC belongs to another content, or was made with another key.
    #[error("the authentication code does not match this file under the fleet's keys")]
    #[diagnostic(help(
        "sign the file again after its last change, with the key in the first line of the key file"
    ))]
    Mismatch,
}

/// The keys of a fleet, the newest first. Its `Debug` output has only the number of keys.
#[derive(Clone)]
pub struct Keys {
    /// The HMAC state of each key, at least one and at most [`MAX_KEYS`].
    macs: Vec<HmacSha256>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.macs.len())
    }
}

impl Keys {
    /// Parses the text of a key file: one or two lines of hexadecimal digits, the newest key first. Blank lines and comments after a
    /// '#' are skipped.
    ///
    /// # Errors
    /// The first line with an invalid, short or excess key, or a file without a key.
    pub fn read(text: &str) -> Result<Keys, KeysError> {
        let mut macs = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line_number = index + 1;
            let digits = line.split('#').next().unwrap_or_default().trim();
            if digits.is_empty() {
                continue;
            }
            let key = hex::decode(digits).map_err(|_| KeysError::NotHex { line: line_number })?;
            if key.len() < MIN_KEY_BYTES {
                return Err(KeysError::TooShort { line: line_number, bytes: key.len() });
            }
            if macs.len() == MAX_KEYS {
                return Err(KeysError::TooMany { line: line_number });
            }
            // HMAC accepts keys of any length, so this can't fail.
            macs.push(HmacSha256::new_from_slice(&key).map_err(|_| KeysError::NotHex { line: line_number })?);
        }
        if macs.is_empty() {
            return Err(KeysError::Empty);
        }
        Ok(Keys { macs })
    }

    /// Checks the permissions of a key file; `mode` is `st_mode` and may contain the file type.
    ///
    /// # Errors
    /// The group or other users have any permission.
    pub fn check_file_mode(mode: u32) -> Result<(), KeysError> {
        match mode & 0o077 {
            0 => Ok(()),
            _ => Err(KeysError::FileMode { mode: mode & 0o7777 }),
        }
    }

    /// Returns a fresh HMAC state for each key, the newest key first.
    pub(crate) fn macs(&self) -> impl Iterator<Item = HmacSha256> + '_ {
        self.macs.iter().cloned()
    }

    /// Returns the HMAC-SHA256 of these bytes under the newest key, as `openssl dgst -sha256 -mac HMAC` computes it.
    pub fn mac(&self, bytes: &[u8]) -> [u8; 32] {
        // Unreachable, since `Keys` holds at least one key. Receivers would reject a MAC of zeros.
        let Some(state) = self.macs().next() else { return [0; 32] };
        state.chain_update(bytes).finalize().into_bytes().into()
    }

    /// Returns whether `mac` is the HMAC-SHA256 of these bytes under one of the keys, in constant time.
    pub fn verify_mac(&self, bytes: &[u8], mac: &[u8]) -> bool {
        self.macs().any(|state| state.chain_update(bytes).verify_slice(mac).is_ok())
    }

    /// Verifies the MAC of a file: `text` has 64 hexadecimal digits, alone or as openssl prints them (`HMAC-SHA2-256(file)= hex`).
    ///
    /// # Errors
    /// The text has no MAC, or one that is not valid for these bytes.
    pub fn verify_file(&self, bytes: &[u8], text: &str) -> Result<(), FileMacError> {
        let digits = text.rsplit('=').next().unwrap_or_default().trim();
        let mac = hex::decode(digits).map_err(|_| FileMacError::Malformed)?;
        if mac.len() != 32 {
            return Err(FileMacError::Malformed);
        }
        match self.verify_mac(bytes, &mac) {
            true => Ok(()),
            false => Err(FileMacError::Mismatch),
        }
    }
}
