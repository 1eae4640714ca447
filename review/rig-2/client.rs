//! A stand-in client of a node.

use crate::http::read_message;
use crate::record::Record;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long after its time a request may still get its final answer: half a second, and 50 ms by which limits are longer on sockets.
pub const LATEST_ANSWER: Duration = Duration::from_millis(550);

/// The body of a request.
const BODY: &str = "dawn";
/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(8);

/// A request for a job.
#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub class: String,
    pub timeout_ms: u32,
}

impl Job {
    /// Returns how long the client waits.
    pub fn time(&self) -> Duration {
        Duration::from_millis(u64::from(self.timeout_ms))
    }

    /// Returns the head of the request, for a body of that many bytes.
    pub fn head(&self, body_bytes: usize) -> String {
        format!(
            "POST /{}?obj=house-7 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {}\r\nTenant: fyn-gartnerier\r\nRequest-Timeout: {}m\r\nIdempotency-Key: {}\r\nContent-Length: {body_bytes}\r\n\r\n",
            self.class, self.id, self.timeout_ms, self.id
        )
    }

    /// Returns the whole request, with a short body.
    pub fn bytes(&self) -> Vec<u8> {
        (self.head(BODY.len()) + BODY).into_bytes()
    }
}

/// What became of a request, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// A whole answer came. `is_last` is set if it announced the end of the connection.
    Answered { status: u16, body: String, is_last: bool },
    /// The connection was not made.
    Refused,
    /// The node closed or reset the connection without an answer.
    Closed,
    /// The connection stayed open, and no whole answer came.
    Silent,
}

/// What became of a request, and how long that took from its last byte on.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub fate: Fate,
    pub waited: Duration,
}

impl Outcome {
    /// Returns whether the request was lost: it had no final answer by the latest time, and the node did not close its connection
    /// before it.
    pub fn is_lost(&self, job_time: Duration) -> bool {
        let is_late = self.waited > job_time + LATEST_ANSWER;
        match self.fate {
            Fate::Silent => true,
            Fate::Answered { .. } => is_late,
            Fate::Refused | Fate::Closed => false,
        }
    }
}

/// Sends a job on a new connection and waits for the answer until `grace` after the job's time, which counts from its last byte.
pub fn send_job(node: SocketAddr, job: &Job, grace: Duration, record: &Record) -> Outcome {
    let (fate, written) = write_and_read(node, job, grace, record);
    let waited = written.elapsed();
    record.line(&format!("fate {} {fate:?} after {:.0} ms", job.id, waited.as_secs_f64() * 1e3));
    Outcome { fate, waited }
}

fn write_and_read(node: SocketAddr, job: &Job, grace: Duration, record: &Record) -> (Fate, Instant) {
    let Ok(mut stream) = TcpStream::connect_timeout(&node, CONNECT_TIMEOUT) else {
        return (Fate::Refused, Instant::now());
    };
    let _ = stream.set_nodelay(true);
    let result = stream.write_all(&job.bytes());
    let written = Instant::now();
    if result.is_err() {
        return (Fate::Closed, written);
    }
    record.line(&format!("sent {} class={} timeout_ms={}", job.id, job.class, job.timeout_ms));
    let end = written + job.time() + grace;
    (read_answer(&mut BufReader::new(stream), end), written)
}

/// Reads an answer until `end`.
pub fn read_answer(reader: &mut BufReader<TcpStream>, end: Instant) -> Fate {
    let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = reader.get_ref().set_read_timeout(Some(left));
    match read_message(reader) {
        Ok(Some(answer)) => Fate::Answered {
            status: answer.status(),
            body: String::from_utf8_lossy(&answer.body).trim_end().to_string(),
            is_last: answer.field("connection") == Some("close"),
        },
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Fate::Silent,
        Ok(None) | Err(_) => Fate::Closed,
    }
}
