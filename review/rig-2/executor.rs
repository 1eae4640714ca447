//! A stand-in executor, as the protocol page describes one. It takes one job at a time on each connection.

use crate::http::{read_message, Message};
use crate::record::Record;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An attempt that reached an executor.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub executor: String,
    pub id: String,
    pub class: String,
    /// When it was read, in milliseconds since the start of the run.
    pub at_ms: f64,
    /// How long the node says that it will wait, in milliseconds.
    pub told_ms: f64,
    /// Whether the attempt has been answered or its connection has ended.
    pub is_over: Arc<AtomicBool>,
}

/// All attempts of a run, in the order in which they came.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Decides how long a job runs.
pub type Plan = Arc<dyn Fn(&Attempt) -> Duration + Send + Sync>;

/// How an executor answers, besides the time that a job runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Manner {
    /// How long it takes from the last byte of a request to the head of its answer.
    pub takes_after: Duration,
    /// How long after each answer a second one comes, which says that the job was not started; `None` if none comes.
    pub second_answer_after: Option<Duration>,
}

/// The second answer of an executor that spoils its answers.
const SECOND_ANSWER: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

/// A running executor.
#[derive(Clone)]
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    manner: Manner,
    record: Record,
}

impl Executor {
    /// Ends the executor as the end of its process does: connections end and new ones find nobody.
    pub fn end(&self) {
        self.record.line(&format!("{} ends", self.name));
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        let connections = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        connections.iter().for_each(|c| drop(c.shutdown(Shutdown::Both)));
    }
}

/// Starts an executor.
pub fn start(
    name: &str,
    record: &Record,
    attempts: &Attempts,
    plan: Plan,
    manner: Manner,
) -> std::io::Result<Executor> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let executor = Executor {
        name: name.to_string(),
        address: listener.local_addr()?,
        has_ended: Arc::default(),
        connections: Arc::default(),
        manner,
        record: record.clone(),
    };
    let (accepting, attempts) = (executor.clone(), attempts.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if accepting.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let (executor, attempts, plan) = (accepting.clone(), attempts.clone(), plan.clone());
            if let Ok(stream) = stream.try_clone() {
                executor.connections.lock().unwrap_or_else(PoisonError::into_inner).push(stream);
            }
            std::thread::spawn(move || {
                let _ = executor.serve(stream, &attempts, &plan);
            });
        }
    });
    Ok(executor)
}

impl Executor {
    fn serve(&self, mut stream: TcpStream, attempts: &Attempts, plan: &Plan) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            if !request.first_line.starts_with("POST ") {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            let attempt = self.attempt(&request);
            let Attempt { executor, id, class, told_ms, .. } = &attempt;
            self.record.line(&format!("run {executor} id={id} class={class} told_ms={told_ms:.0}"));
            attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt.clone());
            let answered = self.answer(&mut stream, &attempt, plan);
            attempt.is_over.store(true, Ordering::SeqCst);
            answered?;
            if let Some(delay) = self.manner.second_answer_after {
                std::thread::sleep(delay);
                stream.write_all(SECOND_ANSWER)?;
            }
        }
        Ok(())
    }

    fn answer(&self, stream: &mut TcpStream, attempt: &Attempt, plan: &Plan) -> std::io::Result<()> {
        wait_while_open(stream, self.manner.takes_after)?;
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let (id, executor) = (&attempt.id, &self.name);
        let state = |state: &str| format!(r#"{{"id":"{id}","from":"{executor}","state":"{state}""#);
        write_chunk(stream, &format!("{}}}\n", state("started")))?;
        wait_while_open(stream, plan(attempt))?;
        write_chunk(stream, &format!("{},\"result\":\"{}\"}}\n", state("done"), result_of(id)))?;
        stream.write_all(b"0\r\n\r\n")
    }

    fn attempt(&self, request: &Message) -> Attempt {
        let path = request.target().split('?').next().unwrap_or("");
        Attempt {
            executor: self.name.clone(),
            id: request.field("request-id").unwrap_or("").to_string(),
            class: path.trim_start_matches('/').to_string(),
            at_ms: self.record.now_ms(),
            told_ms: parse_timeout(request.field("request-timeout").unwrap_or("")),
            is_over: Arc::default(),
        }
    }
}

/// Waits that long; fails as soon as the other side has closed the connection. The job runs on then, but nobody hears of it.
fn wait_while_open(stream: &TcpStream, duration: Duration) -> std::io::Result<()> {
    let end = Instant::now() + duration;
    while Instant::now() < end {
        stream.set_read_timeout(Some(Duration::from_millis(1)))?;
        match stream.peek(&mut [0]) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(_) => std::thread::sleep(Duration::from_millis(1)),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
    }
    stream.set_read_timeout(None)
}

/// Returns the result that executors give for a request.
pub fn result_of(id: &str) -> String {
    format!("result of {id}")
}

/// Parses a number with the unit `m` or `u` into milliseconds.
fn parse_timeout(text: &str) -> f64 {
    let (number, unit) = text.split_at(text.len().saturating_sub(1));
    let number: f64 = number.parse().unwrap_or(0.0);
    if unit == "u" {
        number / 1e3
    } else {
        number
    }
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
