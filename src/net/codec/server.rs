//! Codec of a connection on which the node reads requests and answers them.

use super::framing::{malformed, BodyStep, Fields, Framing, ReadError};
use super::{MAX_FIELDS, MAX_HEAD_BYTES};
use crate::net::pool::{Buffer, Pool};
use bytes::{Buf, BytesMut};
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;
use tokio_util::codec::{Decoder, Encoder};

/// Largest body of a request.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A complete request of a client.
#[derive(Debug)]
pub struct Request {
    /// Method of the request line, such as `POST`.
    pub method: String,
    /// Path and query, as in the request line.
    pub target: String,
    /// Header fields.
    pub fields: Fields,
    /// Whether the client wants to send further requests on the connection.
    pub keep_alive: bool,
    /// Memory that the head takes, in bytes.
    pub head_bytes: usize,
    /// The body; empty if there is none.
    pub body: Buffer,
    /// Time at which its last byte was received.
    pub arrived: Instant,
}

/// An item read from a client.
#[derive(Debug)]
pub enum Incoming {
    /// The client sent `Expect: 100-continue` and waits before it sends the body.
    ExpectsContinue,
    /// A complete request.
    Request(Request),
}

/// An answer to a client.
#[derive(Debug)]
pub enum Answer {
    /// `100 Continue`: the client should send the body.
    Continue,
    /// A final answer.
    Full {
        /// HTTP status code.
        status: u16,
        /// Further fields, each terminated by CRLF. `Content-Length` and `Connection` are added.
        fields: String,
        /// The body; with `head_only` just its length is sent.
        body: Vec<u8>,
        /// Whether the connection is closed after this answer.
        close: bool,
        /// Whether the body is left out, as in the answer to a `HEAD` request.
        head_only: bool,
    },
}

impl Answer {
    /// Returns whether the connection is closed after this answer.
    pub fn is_last(&self) -> bool {
        matches!(self, Answer::Full { close: true, .. })
    }

    /// Creates a `405` answer; `methods` are those that the path supports, separated by commas.
    pub fn not_allowed(methods: &str, close: bool) -> Answer {
        let mut answer = Answer::text(405, "method not allowed", close);
        if let Answer::Full { fields, .. } = &mut answer {
            *fields = format!("Allow: {methods}\r\n");
        }
        answer
    }

    /// Creates an answer whose body is `text` and a line feed.
    pub fn text(status: u16, text: &str, close: bool) -> Answer {
        let body = format!("{text}\n").into_bytes();
        Answer::Full { status, fields: String::new(), body, close, head_only: false }
    }
}

pub(super) fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Unknown",
    }
}

/// Decodes requests and encodes answers on a connection that the node has accepted.
#[derive(Debug)]
pub struct FrontendCodec {
    pub(super) pool: Rc<Pool>,
    /// A request whose body is not complete, and the framing of the rest.
    pub(super) partial: Option<(Request, Framing)>,
    /// Notified when bytes of a request were received.
    pub(super) bytes_received: Rc<Notify>,
}

impl FrontendCodec {
    /// Creates a codec for one connection, with bodies in buffers of `pool`.
    pub fn new(pool: &Rc<Pool>) -> Self {
        FrontendCodec { pool: pool.clone(), partial: None, bytes_received: Rc::default() }
    }

    /// Returns a notification that bytes of a request were received. It may also fire once without new bytes.
    pub fn bytes_received(&self) -> Rc<Notify> {
        self.bytes_received.clone()
    }

    /// Returns whether the head of a request was read and its body is not complete.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    pub(super) fn head(&self, src: &mut BytesMut) -> Result<Option<(Request, Framing)>, ReadError> {
        let mut raw_headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut raw_headers);
        let n = match head.parse(src) {
            Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => n,
            Ok(httparse::Status::Partial) if src.len() <= MAX_HEAD_BYTES => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                return Err(malformed(431, "a head that is too large"))
            }
            Err(_) => return Err(malformed(400, "a malformed head")),
        };
        let version = head.version.unwrap_or(1);
        let fields = Fields::read(head.headers)?;
        if version == 1 && fields.get("host")?.is_none() {
            return Err(malformed(400, "no Host"));
        }
        let framing = Framing::read(&fields, version)?.unwrap_or(Framing::Length(0));
        if matches!(framing, Framing::Length(n) if n > MAX_BODY_BYTES) {
            return Err(malformed(413, "a body that is too large"));
        }
        let keep_alive = match version {
            0 => fields.has_token("connection", "keep-alive"),
            _ => !fields.has_token("connection", "close"),
        };
        let (method, target) = (head.method.unwrap_or("").to_string(), head.path.unwrap_or("").to_string());
        src.advance(n);
        let head_bytes = fields.memory_bytes() + method.len() + target.len();
        let (mut body, arrived) = (self.pool.buffer(), Instant::now());
        // A request without a body, such as a health check, takes no memory unless it becomes a job.
        if framing != Framing::Length(0) {
            body.count_request_head(head_bytes).map_err(|_| ReadError::NO_MEMORY)?;
        }
        Ok(Some((Request { method, target, fields, keep_alive, head_bytes, body, arrived }, framing)))
    }
}

impl Decoder for FrontendCodec {
    type Item = Incoming;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Incoming>, ReadError> {
        let mut expects_continue = false;
        if !src.is_empty() {
            self.bytes_received.notify_one();
        }
        if self.partial.is_none() {
            self.partial = self.head(src)?;
            expects_continue =
                self.partial.as_ref().is_some_and(|(r, _)| r.fields.has_token("expect", "100-continue"));
        }
        let Some((request, framing)) = &mut self.partial else { return Ok(None) };
        loop {
            match framing.step(src)? {
                BodyStep::Data(n) if request.body.len() + n > MAX_BODY_BYTES => {
                    return Err(malformed(413, "a body that is too large"))
                }
                BodyStep::Data(n) => {
                    request.body.append_request(&src[..n]).map_err(|_| ReadError::NO_MEMORY)?;
                    framing.consume(src, n);
                }
                // A client that has started to send the body needs no `100 Continue`.
                BodyStep::NeedsMore if expects_continue && request.body.is_empty() => {
                    return Ok(Some(Incoming::ExpectsContinue))
                }
                BodyStep::NeedsMore => return Ok(None),
                BodyStep::Complete => break,
            }
        }
        Ok(self.partial.take().map(|(mut request, _)| {
            request.arrived = Instant::now();
            Incoming::Request(request)
        }))
    }
}

impl Encoder<Answer> for FrontendCodec {
    type Error = ReadError;

    fn encode(&mut self, answer: Answer, dst: &mut BytesMut) -> Result<(), ReadError> {
        match answer {
            Answer::Continue => dst.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n"),
            Answer::Full { status, fields, body, close, head_only } => {
                let mut head = format!("HTTP/1.1 {status} {}\r\n{fields}", reason_phrase(status));
                let _ = write!(head, "Content-Length: {}\r\n", body.len());
                head.push_str(if close { "Connection: close\r\n\r\n" } else { "\r\n" });
                dst.extend_from_slice(head.as_bytes());
                if !head_only {
                    dst.extend_from_slice(&body);
                }
            }
        }
        Ok(())
    }
}
