//! HTTP/1.1 on the wire: what clients send and are answered, what backend servers and discovery are
//! sent and answer. Heads are parsed by httparse; this module knows framing and nothing of jobs.

mod client;
mod framing;
mod server;

pub use client::{ClientCodec, Outgoing, Piece};
pub use framing::{Fields, ReadError};
pub use server::{Answer, FrontendCodec, Incoming, Request, MAX_BODY};

/// A head or trailer holds this much at most.
const MAX_HEAD: usize = 8 * 1024;
/// A head holds this many fields at most.
const MAX_FIELDS: usize = 64;
