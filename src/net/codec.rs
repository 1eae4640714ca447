//! HTTP/1.1 codecs: one for connections on which the node serves requests, one for connections on which it sends them.
//! `httparse` parses the heads; this module adds the framing of bodies and knows nothing of jobs.

mod client;
mod framing;
mod server;

pub use client::{ClientCodec, OutgoingRequest, ResponsePart};
pub use framing::{Fields, ReadError};
pub use server::{Answer, FrontendCodec, Incoming, Request, MAX_BODY_BYTES};

/// Largest head, and largest trailer, that is read.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Most fields that a head may have.
const MAX_FIELDS: usize = 64;
