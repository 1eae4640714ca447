//! A code on each word between processes, and on each file of the operators that goes from site to site: no I/O, no clock.
//!
//! Whoever has the key may close an account or adopt a key by a word, so each word carries a code (HMAC, RFC 2104, over SHA-256) with
//! its sender, the sender's life and its number. One without a code, of another fleet or heard before is dropped and counted.
//!
//! - [`keyring`]: the keys of a fleet, and the codes of files;
//! - [`signed_message`]: words under a code;
//! - [`channel`]: both ways of a process's datagrams, with or without.

pub mod channel;
pub mod keyring;
pub mod signed_message;

use miette::Diagnostic;

/// An error in one line, with what an operator can do.
pub fn advice(error: &dyn Diagnostic) -> String {
    match error.help() {
        Some(help) => format!("{error}; {help}"),
        None => error.to_string(),
    }
}
