//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, ErrorKind};

/// A request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// The fields, with their names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message with a `Content-Length`, or without a body. `None` if the connection has ended before its first byte.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if read_line(reader, &mut message.first_line)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if read_line(reader, &mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let length = message.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Reads a line without its end, and returns how many bytes were read.
fn read_line(reader: &mut impl BufRead, line: &mut String) -> io::Result<usize> {
    let n = reader.read_line(line)?;
    line.truncate(line.trim_end().len());
    Ok(n)
}
