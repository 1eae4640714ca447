//! Codec of a connection on which the node sends requests and reads the answers.

use super::framing::{malformed, BodyStep, Fields, Framing, ReadError};
use super::{MAX_FIELDS, MAX_HEAD_BYTES};
use crate::net::pool::{Buffer, Pool};
use bytes::{Buf, BytesMut};
use std::fmt::Write as _;
use std::io;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio_util::codec::{Decoder, Encoder};

/// A request that the node sends.
#[derive(Debug)]
pub struct OutgoingRequest<'a> {
    /// Method of the request line, such as `GET`.
    pub method: &'a str,
    /// Path and query, as in the request line.
    pub target: &'a str,
    /// `Host` and further fields, each terminated by CRLF. `Content-Length` is added for the body.
    pub fields: String,
    /// `None` for a request without a body, which then has no `Content-Length`.
    pub body: Option<&'a [u8]>,
}

/// A part of an answer to a request of the node, in the order in which the parts arrive.
#[derive(Debug)]
pub enum ResponsePart {
    /// The status line and the fields.
    Head {
        /// HTTP status code.
        status: u16,
        /// Header fields.
        fields: Fields,
    },
    /// A line of the body, without its line feed.
    Line(Buffer),
    /// Bytes of the body, from a codec that does not split it into lines.
    Data(Buffer),
    /// The answer is complete.
    End {
        /// Whether the connection can be used for another request.
        reusable: bool,
    },
}

/// Decodes answers and encodes requests on a connection that the node has opened.
#[derive(Debug)]
pub struct ClientCodec {
    pub(super) pool: Rc<Pool>,
    /// Longest line of a body, in bytes; `None` if bodies are not split into lines.
    pub(super) max_line_bytes: Option<usize>,
    /// Framing of the current body and whether the connection is reusable after it; `None` between answers.
    pub(super) body: Option<(Framing, bool)>,
    /// The start of a line whose end has not been received.
    pub(super) line: Option<Buffer>,
    /// Notified when a part of a head was received.
    head_bytes_received: Rc<Notify>,
}

impl ClientCodec {
    /// Creates a codec that splits bodies into lines of at most `max_line_bytes`.
    pub fn new(pool: &Rc<Pool>, max_line_bytes: usize) -> Self {
        ClientCodec { max_line_bytes: Some(max_line_bytes), ..ClientCodec::streaming(pool) }
    }

    /// Creates a codec that passes bodies on in pieces, as they are received.
    pub fn streaming(pool: &Rc<Pool>) -> Self {
        ClientCodec {
            pool: pool.clone(),
            max_line_bytes: None,
            body: None,
            line: None,
            head_bytes_received: Rc::default(),
        }
    }

    /// Returns a notification that a part of a response head was received.
    pub fn head_bytes_received(&self) -> Rc<Notify> {
        self.head_bytes_received.clone()
    }

    pub(super) fn head(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, ReadError> {
        loop {
            let mut raw_headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut head = httparse::Response::new(&mut raw_headers);
            let n = match head.parse(src) {
                Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => n,
                Ok(httparse::Status::Partial) if src.len() <= MAX_HEAD_BYTES => {
                    if !src.is_empty() {
                        self.head_bytes_received.notify_one();
                    }
                    return Ok(None);
                }
                _ => return Err(malformed(502, "a malformed head")),
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
            let is_persistent = version == 1 && !fields.has_token("connection", "close");
            self.body = Some((framing, is_persistent && framing != Framing::UntilClose));
            self.line = None;
            return Ok(Some(ResponsePart::Head { status, fields }));
        }
    }

    pub(super) fn has_partial_line(&self) -> bool {
        self.line.as_ref().is_some_and(|l| !l.is_empty())
    }

    pub(super) fn take_line(&mut self) -> ResponsePart {
        ResponsePart::Line(self.line.take().unwrap_or_else(|| self.pool.buffer()))
    }
}

impl Decoder for ClientCodec {
    type Item = ResponsePart;
    type Error = ReadError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, ReadError> {
        let Some((framing, reusable)) = self.body.as_mut() else { return self.head(src) };
        let reusable = *reusable;
        loop {
            match framing.step(src)? {
                BodyStep::Data(n) if self.max_line_bytes.is_none() => {
                    let mut part = self.pool.buffer();
                    part.append(&src[..n]).map_err(|_| malformed(502, "no memory is left for a part"))?;
                    framing.consume(src, n);
                    return Ok(Some(ResponsePart::Data(part)));
                }
                BodyStep::Data(n) => {
                    // Stops at the line feed, so that each call returns one line.
                    let end = src[..n].iter().position(|b| *b == b'\n');
                    let line_bytes = end.unwrap_or(n);
                    let line = self.line.get_or_insert_with(|| self.pool.buffer());
                    if self.max_line_bytes.is_some_and(|max| line.len() + line_bytes > max) {
                        return Err(malformed(502, "a line that is too long"));
                    }
                    line.append(&src[..line_bytes])
                        .map_err(|_| malformed(502, "no memory is left for a line"))?;
                    framing.consume(src, end.map_or(n, |end_index| end_index + 1));
                    if end.is_some() {
                        return Ok(Some(self.take_line()));
                    }
                }
                BodyStep::NeedsMore => return Ok(None),
                BodyStep::Complete if self.has_partial_line() => return Ok(Some(self.take_line())),
                BodyStep::Complete => {
                    self.body = None;
                    return Ok(Some(ResponsePart::End { reusable }));
                }
            }
        }
    }

    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<ResponsePart>, ReadError> {
        if let Some(piece) = self.decode(src)? {
            return Ok(Some(piece));
        }
        if matches!(self.body, Some((Framing::UntilClose, _))) {
            if self.has_partial_line() {
                return Ok(Some(self.take_line()));
            }
            self.body = None;
            return Ok(Some(ResponsePart::End { reusable: false }));
        }
        match src.is_empty() && self.body.is_none() {
            true => Ok(None),
            false => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        }
    }
}

impl Encoder<OutgoingRequest<'_>> for ClientCodec {
    type Error = ReadError;

    fn encode(&mut self, request: OutgoingRequest<'_>, dst: &mut BytesMut) -> Result<(), ReadError> {
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
