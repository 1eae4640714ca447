//! The part of HTTP/1.1 that the stubs and the test clients need: complete messages with a `Content-Length`, parsed by
//! httparse.

use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncRead, AsyncReadExt};

const MAX_HEAD_BYTES: usize = 16 * 1024;

/// A request or a response.
#[derive(Debug)]
pub struct Message {
    /// Method and target of a request; an empty text and the status code of a response.
    pub start_line: (String, String),
    fields: Vec<(String, String)>,
    /// The body; bytes that are not UTF-8 are replaced.
    pub body: String,
    /// Number of bytes of messages that preceded this one on its stream.
    pub stream_offset: u64,
}

impl Message {
    /// Returns the value of a header field; `name` is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Reads messages from a stream.
#[derive(Debug)]
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
    consumed: u64,
}

fn malformed() -> Error {
    Error::from(ErrorKind::InvalidData)
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Creates a reader; the stream must be at the start of a line or a message.
    pub fn new(stream: R) -> Self {
        Reader { stream, buffer: Vec::new(), consumed: 0 }
    }

    async fn fill_buffer(&mut self) -> Result<usize> {
        let mut chunk = [0; 4096];
        let n = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    fn consume(&mut self, n: usize) {
        self.buffer.drain(..n);
        self.consumed += n as u64;
    }

    /// Reads a line and returns it without its end. Its bytes don't count in [`Message::stream_offset`].
    ///
    /// # Errors
    /// Returns an error if the stream ends before the line does, or if the line is too long.
    pub async fn read_line(&mut self) -> Result<String> {
        loop {
            if let Some(n) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = String::from_utf8_lossy(&self.buffer[..n]).into_owned();
                self.buffer.drain(..=n);
                return Ok(line);
            }
            if self.buffer.len() > MAX_HEAD_BYTES || self.fill_buffer().await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the next request, or with `is_response` the next response. Returns `None` if the stream ends between messages.
    ///
    /// # Errors
    /// Returns an error if the message is malformed or too long, or if the stream ends within it.
    pub async fn next(&mut self, is_response: bool) -> Result<Option<Message>> {
        let (mut message, head, body) = loop {
            if let Some(found) = self.head(is_response)? {
                break found;
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(malformed());
            }
            if self.fill_buffer().await? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        };
        self.consume(head);
        while self.buffer.len() < body {
            if self.fill_buffer().await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = String::from_utf8_lossy(&self.buffer[..body]).into_owned();
        self.consume(body);
        Ok(Some(message))
    }

    fn head(&self, is_response: bool) -> Result<Option<(Message, usize, usize)>> {
        let mut raw = [httparse::EMPTY_HEADER; 32];
        let (start_line, parsed) = if is_response {
            let mut head = httparse::Response::new(&mut raw);
            let parsed = head.parse(&self.buffer).map_err(|_| malformed())?;
            ((String::new(), head.code.unwrap_or(0).to_string()), parsed)
        } else {
            let mut head = httparse::Request::new(&mut raw);
            let parsed = head.parse(&self.buffer).map_err(|_| malformed())?;
            ((head.method.unwrap_or("").to_string(), head.path.unwrap_or("").to_string()), parsed)
        };
        let httparse::Status::Complete(n) = parsed else { return Ok(None) };
        let decode_field = |h: &httparse::Header| {
            (h.name.to_ascii_lowercase(), String::from_utf8_lossy(h.value).into_owned())
        };
        let fields: Vec<_> = raw.iter().take_while(|h| !h.name.is_empty()).map(decode_field).collect();
        let message = Message { start_line, fields, body: String::new(), stream_offset: self.consumed };
        let length = message.field("content-length").map_or(Ok(0), str::parse).map_err(|_| malformed())?;
        Ok(Some((message, n, length)))
    }
}

/// Encodes one line as a chunk of a chunked body.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
