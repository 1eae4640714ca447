//! The codec of connections on which answers come.

use super::framing::{bad, Fields, Framing, ReadError, Step};
use super::{MAX_FIELDS, MAX_HEAD};
use crate::net::pool::{Buffer, Pool};
use bytes::{Buf, BytesMut};
use std::fmt::Write as _;
use std::io;
use std::rc::Rc;
use tokio_util::codec::{Decoder, Encoder};

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
    pub(super) pool: Rc<Pool>,
    /// `None` where the body is handed on as it comes.
    pub(super) longest_line: Option<usize>,
    /// How the body goes on and whether the connection lasts; `None` between answers.
    pub(super) body: Option<(Framing, bool)>,
    /// What has come of a line; none is held between lines.
    pub(super) line: Option<Buffer>,
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

    pub(super) fn head(&mut self, src: &mut BytesMut) -> Result<Option<Piece>, ReadError> {
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

    pub(super) fn has_line(&self) -> bool {
        self.line.as_ref().is_some_and(|l| !l.is_empty())
    }

    pub(super) fn next_line(&mut self) -> Piece {
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
