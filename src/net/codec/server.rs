//! The codec of connections on which requests come.

use super::framing::{bad, Fields, Framing, ReadError, Step};
use super::{MAX_FIELDS, MAX_HEAD};
use crate::net::pool::{Buffer, Pool};
use bytes::{Buf, BytesMut};
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;
use tokio_util::codec::{Decoder, Encoder};

/// A body holds this much at most.
pub const MAX_BODY: usize = 64 * 1024;

/// A request as a client sent it.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query, unchanged.
    pub target: String,
    /// The fields.
    pub fields: Fields,
    /// The client wants to go on using the connection.
    pub keep_alive: bool,
    /// The body.
    pub body: Buffer,
    /// When its last byte had come.
    pub arrived: Instant,
}

/// What comes from a client.
#[derive(Debug)]
pub enum Incoming {
    /// The client waits to be told to go on with its body.
    Expects,
    /// A whole request.
    Request(Request),
}

/// What a client is answered.
#[derive(Debug)]
pub enum Answer {
    /// Go on with the body.
    Continue,
    /// A whole answer.
    Full {
        /// The status.
        status: u16,
        /// Further fields, each with its line end.
        fields: String,
        /// The body, unless only its head was asked for.
        body: Vec<u8>,
        /// The connection ends after it.
        close: bool,
        /// Only the head was asked for.
        head_only: bool,
    },
}

impl Answer {
    /// Whether the connection ends after it.
    pub fn is_last(&self) -> bool {
        matches!(self, Answer::Full { close: true, .. })
    }

    /// The answer to a method that its path doesn't take.
    pub fn not_allowed(methods: &str, close: bool) -> Answer {
        let mut answer = Answer::text(405, "method not allowed", close);
        if let Answer::Full { fields, .. } = &mut answer {
            *fields = format!("Allow: {methods}\r\n");
        }
        answer
    }

    /// An answer with a line of text as its body.
    pub fn text(status: u16, text: &str, close: bool) -> Answer {
        let body = format!("{text}\n").into_bytes();
        Answer::Full { status, fields: String::new(), body, close, head_only: false }
    }
}

pub(super) fn reason(status: u16) -> &'static str {
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

/// The frontend's side of a connection.
#[derive(Debug)]
pub struct FrontendCodec {
    pub(super) pool: Rc<Pool>,
    /// A request of which the body is to come.
    pub(super) partial: Option<(Request, Framing)>,
    /// Told when a part of a request has come.
    pub(super) begun: Rc<Notify>,
}

impl FrontendCodec {
    /// For one connection.
    pub fn new(pool: &Rc<Pool>) -> Self {
        FrontendCodec { pool: pool.clone(), partial: None, begun: Rc::default() }
    }

    /// Told when a part of a request has come; perhaps once too often.
    pub fn begun(&self) -> Rc<Notify> {
        self.begun.clone()
    }

    /// Whether a request has begun and is not complete.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    pub(super) fn head(&self, src: &mut BytesMut) -> Result<Option<(Request, Framing)>, ReadError> {
        let mut raw = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut head = httparse::Request::new(&mut raw);
        let n = match head.parse(src) {
            Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD => n,
            Ok(httparse::Status::Partial) if src.len() <= MAX_HEAD => return Ok(None),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(bad(431, "a head that is too large")),
            Err(_) => return Err(bad(400, "a malformed head")),
        };
        let version = head.version.unwrap_or(1);
        let fields = Fields::read(head.headers)?;
        if version == 1 && fields.get("host")?.is_none() {
            return Err(bad(400, "no Host"));
        }
        let framing = Framing::read(&fields, version)?.unwrap_or(Framing::Length(0));
        if matches!(framing, Framing::Length(n) if n > MAX_BODY) {
            return Err(bad(413, "a body that is too large"));
        }
        let keep_alive = match version {
            0 => fields.has_token("connection", "keep-alive"),
            _ => !fields.has_token("connection", "close"),
        };
        let (method, target) = (head.method.unwrap_or("").to_string(), head.path.unwrap_or("").to_string());
        src.advance(n);
        let (body, arrived) = (self.pool.buffer(), Instant::now());
        Ok(Some((Request { method, target, fields, keep_alive, body, arrived }, framing)))
    }
}

impl Decoder for FrontendCodec {
    type Item = Incoming;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Incoming>, ReadError> {
        let mut expects = false;
        if !src.is_empty() {
            self.begun.notify_one();
        }
        if self.partial.is_none() {
            self.partial = self.head(src)?;
            expects =
                self.partial.as_ref().is_some_and(|(r, _)| r.fields.has_token("expect", "100-continue"));
        }
        let Some((request, framing)) = &mut self.partial else { return Ok(None) };
        loop {
            match framing.step(src)? {
                Step::Body(n) if request.body.len() + n > MAX_BODY => {
                    return Err(bad(413, "a body that is too large"))
                }
                Step::Body(n) => {
                    let full = |_| bad(503, "no memory is left for the request");
                    request.body.append_request(&src[..n]).map_err(full)?;
                    framing.took(src, n);
                }
                // A client that has begun its body does not wait.
                Step::Wait if expects && request.body.is_empty() => return Ok(Some(Incoming::Expects)),
                Step::Wait => return Ok(None),
                Step::Complete => break,
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
                let mut head = format!("HTTP/1.1 {status} {}\r\n{fields}", reason(status));
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
