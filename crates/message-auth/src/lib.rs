//! Authentication of messages between processes, and of operators' files that are copied between sites. Without I/O and clocks.
//!
//! A message can close an account or transfer the ownership of a key, so each message carries a message authentication code (MAC,
//! HMAC of RFC 2104 with SHA-256) over its body, sender, incarnation and sequence number. Messages without a valid MAC, of another
//! fleet or received before are dropped and counted.
//!
//! - [`keyring`]: the keys of a fleet, and the MACs of files;
//! - [`signed_message`]: signs and verifies messages;
//! - [`channel`]: the datagrams of a process, signed or not.

pub mod channel;
pub mod keyring;
pub mod signed_message;

use miette::Diagnostic;

/// Returns an error and its help text, which describes what an operator can do, in one line.
pub fn advice(error: &dyn Diagnostic) -> String {
    match error.help() {
        Some(help) => format!("{error}; {help}"),
        None => error.to_string(),
    }
}
