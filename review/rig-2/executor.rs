//! A stand-in executor, as the protocol page describes one. It takes one job at a time on each connection.

use crate::http::{read_message, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

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
}

/// All attempts of a run, in the order in which they came.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// Decides how long a job runs.
pub type Plan = Arc<dyn Fn(&Attempt) -> Duration + Send + Sync>;

/// A running executor.
#[derive(Clone)]
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    has_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
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
pub fn start(name: &str, record: &Record, attempts: &Attempts, plan: Plan) -> std::io::Result<Executor> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let executor = Executor {
        name: name.to_string(),
        address: listener.local_addr()?,
        has_ended: Arc::default(),
        connections: Arc::default(),
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
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let state = |state: &str| format!(r#"{{"id":"{id}","from":"{executor}","state":"{state}""#);
            write_chunk(&mut stream, &format!("{}}}\n", state("started")))?;
            std::thread::sleep(plan(&attempt));
            write_chunk(&mut stream, &format!("{},\"result\":\"{}\"}}\n", state("done"), result_of(id)))?;
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }

    fn attempt(&self, request: &Message) -> Attempt {
        let path = request.target().split('?').next().unwrap_or("");
        Attempt {
            executor: self.name.clone(),
            id: request.field("request-id").unwrap_or("").to_string(),
            class: path.trim_start_matches('/').to_string(),
            at_ms: self.record.now_ms(),
            told_ms: parse_timeout(request.field("request-timeout").unwrap_or("")),
        }
    }
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
