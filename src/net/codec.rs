//! HTTP/1.1 on the wire: what clients send and are answered, what backend servers and discovery are
//! sent and answer. Heads are parsed by httparse; this module knows framing and nothing of jobs.

use super::pool::{Buffer, Pool};
use bytes::{Buf, BytesMut};
use std::fmt::Write as _;
use std::io;
use std::rc::Rc;
use std::time::Instant;
use thiserror::Error;
use tokio::sync::Notify;
use tokio_util::codec::{Decoder, Encoder};

/// A body holds this much at most.
pub const MAX_BODY: usize = 64 * 1024;
/// A head or trailer holds this much at most.
const MAX_HEAD: usize = 8 * 1024;
/// A head holds this many fields at most.
const MAX_FIELDS: usize = 64;
/// A line with the size of a chunk holds this much at most.
const MAX_SIZE_LINE: usize = 256;

/// Why nothing more can be read from a connection.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The connection broke.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What came breaks the protocol.
    #[error("{reason}")]
    Bad {
        /// The status that a client is answered with.
        status: u16,
        /// What is wrong, in a few words.
        reason: &'static str,
    },
}

fn bad(status: u16, reason: &'static str) -> ReadError {
    ReadError::Bad { status, reason }
}

/// The fields of a head.
#[derive(Debug, Default)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    fn read(raw: &[httparse::Header<'_>]) -> Result<Self, ReadError> {
        let one = |h: &httparse::Header<'_>| {
            let value = std::str::from_utf8(h.value).map_err(|_| bad(400, "a header is not UTF-8"))?;
            Ok((h.name.to_ascii_lowercase(), value.to_string()))
        };
        raw.iter().map(one).collect::<Result<_, _>>().map(Fields)
    }

    /// The value of a field, named in small letters, that may come once.
    pub fn get(&self, name: &str) -> Result<Option<&str>, ReadError> {
        let mut found = self.0.iter().filter(|(n, _)| n == name).map(|(_, v)| v.trim());
        match (found.next(), found.next()) {
            (value, None) => Ok(value),
            _ => Err(bad(400, "a header is given twice")),
        }
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        let values = self.0.iter().filter(|(n, _)| n == name);
        values.flat_map(|(_, v)| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }
}

/// How the rest of a body is marked off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length(usize),
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailer(usize),
    UntilClose,
}

impl Framing {
    /// What the fields say; `None` where they say nothing.
    fn read(fields: &Fields, version: u8) -> Result<Option<Framing>, ReadError> {
        let length = fields.get("content-length")?;
        match (fields.get("transfer-encoding")?, length) {
            (Some(_), Some(_)) => Err(bad(400, "both a length and a transfer coding")),
            (Some(_), None) if version == 0 => Err(bad(400, "a transfer coding in HTTP/1.0")),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::ChunkSize)),
            (Some(_), None) => Err(bad(501, "an unknown transfer coding")),
            (None, Some(text)) => {
                // Digits alone: `parse` would take a sign.
                let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
                if !digits {
                    return Err(bad(400, "a length that is no number"));
                }
                Ok(Some(Framing::Length(text.parse().unwrap_or(usize::MAX))))
            }
            (None, None) => Ok(None),
        }
    }

    /// Take in what marks off the body until some of it stands at the front of `src`.
    fn step(&mut self, src: &mut BytesMut) -> Result<Step, ReadError> {
        loop {
            match *self {
                Framing::Length(0) => return Ok(Step::Complete),
                Framing::Chunk(0) => *self = Framing::ChunkEnd,
                Framing::Length(_) | Framing::Chunk(_) | Framing::UntilClose if src.is_empty() => {
                    return Ok(Step::Wait)
                }
                Framing::Length(left) | Framing::Chunk(left) => return Ok(Step::Body(left.min(src.len()))),
                Framing::UntilClose => return Ok(Step::Body(src.len())),
                Framing::ChunkSize => match httparse::parse_chunk_size(src) {
                    Ok(httparse::Status::Complete((n, size))) => {
                        src.advance(n);
                        let size = usize::try_from(size).unwrap_or(usize::MAX);
                        *self = if size == 0 { Framing::Trailer(0) } else { Framing::Chunk(size) };
                    }
                    Ok(httparse::Status::Partial) if src.len() <= MAX_SIZE_LINE => return Ok(Step::Wait),
                    _ => return Err(bad(400, "a malformed chunk")),
                },
                Framing::ChunkEnd => match src.as_ref() {
                    [b'\r', b'\n', ..] => {
                        src.advance(2);
                        *self = Framing::ChunkSize;
                    }
                    [] | [b'\r'] => return Ok(Step::Wait),
                    _ => return Err(bad(400, "a malformed chunk")),
                },
                Framing::Trailer(seen) => match src.windows(2).position(|w| w == b"\r\n") {
                    Some(0) => {
                        src.advance(2);
                        *self = Framing::Length(0);
                    }
                    Some(n) if seen + n <= MAX_HEAD => {
                        src.advance(n + 2);
                        *self = Framing::Trailer(seen + n + 2);
                    }
                    None if seen + src.len() <= MAX_HEAD => return Ok(Step::Wait),
                    _ => return Err(bad(431, "a trailer that is too large")),
                },
            }
        }
    }

    /// So much of the body has been taken from the front.
    fn took(&mut self, src: &mut BytesMut, n: usize) {
        src.advance(n);
        if let Framing::Length(left) | Framing::Chunk(left) = self {
            *left -= n;
        }
    }
}

/// How a body goes on.
enum Step {
    /// So many bytes of it stand at the front.
    Body(usize),
    /// More has to come.
    Wait,
    /// It is complete.
    Complete,
}

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

fn reason(status: u16) -> &'static str {
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
    pool: Rc<Pool>,
    /// A request of which the body is to come.
    partial: Option<(Request, Framing)>,
    /// Told when a part of a request has come.
    begun: Rc<Notify>,
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

    fn head(&self, src: &mut BytesMut) -> Result<Option<(Request, Framing)>, ReadError> {
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
                    request.body.append_asked(&src[..n]).map_err(full)?;
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

/// A request that the node makes.
#[derive(Debug)]
pub struct Outgoing<'a> {
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Host and further fields, each with its line end.
    pub fields: String,
    /// The body, if there may be one.
    pub body: Option<&'a [u8]>,
}

/// What comes in answer to a request of the node.
#[derive(Debug)]
pub enum Piece {
    /// The head.
    Head {
        /// The status.
        status: u16,
        /// The fields.
        fields: Fields,
    },
    /// A line of the body, without its end.
    Line(Buffer),
    /// Some of the body as it came, where no lines are asked for.
    Part(Buffer),
    /// The answer is complete; whether the connection can be used again.
    End {
        /// The connection can be used again.
        reusable: bool,
    },
}

/// The node's side of a connection that it has opened.
#[derive(Debug)]
pub struct ClientCodec {
    pool: Rc<Pool>,
    /// `None` where the body is handed on as it comes.
    longest_line: Option<usize>,
    /// How the body goes on and whether the connection lasts; `None` between answers.
    body: Option<(Framing, bool)>,
    /// What has come of a line; none is held between lines.
    line: Option<Buffer>,
}

impl ClientCodec {
    /// For one connection, with the longest line of an answer.
    pub fn new(pool: &Rc<Pool>, longest_line: usize) -> Self {
        ClientCodec { pool: pool.clone(), longest_line: Some(longest_line), body: None, line: None }
    }

    /// For one connection whose bodies are handed on as they come.
    pub fn in_parts(pool: &Rc<Pool>) -> Self {
        ClientCodec { pool: pool.clone(), longest_line: None, body: None, line: None }
    }

    fn head(&mut self, src: &mut BytesMut) -> Result<Option<Piece>, ReadError> {
        loop {
            let mut raw = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut head = httparse::Response::new(&mut raw);
            let n = match head.parse(src) {
                Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD => n,
                Ok(httparse::Status::Partial) if src.len() <= MAX_HEAD => return Ok(None),
                _ => return Err(bad(502, "a malformed head")),
            };
            let (status, version) = (head.code.unwrap_or(0), head.version.unwrap_or(1));
            let fields = Fields::read(head.headers)?;
            src.advance(n);
            if (100..200).contains(&status) && status != 101 {
                continue;
            }
            let framing = match Framing::read(&fields, version)? {
                _ if matches!(status, 204 | 304) => Framing::Length(0),
                Some(framing) => framing,
                None => Framing::UntilClose,
            };
            let lasts = version == 1 && !fields.has_token("connection", "close");
            self.body = Some((framing, lasts && framing != Framing::UntilClose));
            self.line = None;
            return Ok(Some(Piece::Head { status, fields }));
        }
    }

    fn has_line(&self) -> bool {
        self.line.as_ref().is_some_and(|l| !l.is_empty())
    }

    fn next_line(&mut self) -> Piece {
        Piece::Line(self.line.take().unwrap_or_else(|| self.pool.buffer()))
    }
}

impl Decoder for ClientCodec {
    type Item = Piece;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Piece>, ReadError> {
        let Some((framing, reusable)) = self.body.as_mut() else { return self.head(src) };
        let reusable = *reusable;
        loop {
            match framing.step(src)? {
                Step::Body(n) if self.longest_line.is_none() => {
                    let mut part = self.pool.buffer();
                    part.append(&src[..n]).map_err(|_| bad(502, "no memory is left for a part"))?;
                    framing.took(src, n);
                    return Ok(Some(Piece::Part(part)));
                }
                Step::Body(n) => {
                    // Only up to the end of a line, so that one is handed on at a time.
                    let end = src[..n].iter().position(|b| *b == b'\n');
                    let text = end.unwrap_or(n);
                    let line = self.line.get_or_insert_with(|| self.pool.buffer());
                    if self.longest_line.is_some_and(|most| line.len() + text > most) {
                        return Err(bad(502, "a line that is too long"));
                    }
                    line.append(&src[..text]).map_err(|_| bad(502, "no memory is left for a line"))?;
                    framing.took(src, end.map_or(n, |at| at + 1));
                    if end.is_some() {
                        return Ok(Some(self.next_line()));
                    }
                }
                Step::Wait => return Ok(None),
                Step::Complete if self.has_line() => return Ok(Some(self.next_line())),
                Step::Complete => {
                    self.body = None;
                    return Ok(Some(Piece::End { reusable }));
                }
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Piece>, ReadError> {
        if let Some(piece) = self.decode(src)? {
            return Ok(Some(piece));
        }
        if matches!(self.body, Some((Framing::UntilClose, _))) {
            if self.has_line() {
                return Ok(Some(self.next_line()));
            }
            self.body = None;
            return Ok(Some(Piece::End { reusable: false }));
        }
        match src.is_empty() && self.body.is_none() {
            true => Ok(None),
            false => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        }
    }
}

impl Encoder<Outgoing<'_>> for ClientCodec {
    type Error = ReadError;

    fn encode(&mut self, request: Outgoing<'_>, dst: &mut BytesMut) -> Result<(), ReadError> {
        let mut head = format!("{} {} HTTP/1.1\r\n{}", request.method, request.target, request.fields);
        if let Some(body) = request.body {
            let _ = write!(head, "Content-Length: {}\r\n", body.len());
        }
        head.push_str("\r\n");
        dst.extend_from_slice(head.as_bytes());
        dst.extend_from_slice(request.body.unwrap_or_default());
        Ok(())
    }
}
