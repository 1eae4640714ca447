//! Bad clients by hundreds send hundreds of requests at once. The platform kills a node that goes over its memory.

use crate::peers::{job, read_message, Deployment, Work};
use crate::platform::{Record, ODENSE};
use crate::Case;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 1024;
/// Connections of bad clients, and the requests that each of them sends at once.
const BAD_CLIENTS: usize = 600;
const REQUESTS_AT_ONCE: usize = 300;
/// Bytes of a body.
const BODY_BYTES: usize = 100;
/// Requests that a bad client holds ready at a time.
const REQUESTS_PER_TEXT: usize = 300;
const CLIENTS_PER_THREAD: usize = 50;
const USUAL_CLIENTS: usize = 8;
const DURATION: Duration = Duration::from_secs(12);

/// A usual client: one request at a time.
fn usual_client(record: Record, node: SocketAddr, client: usize, open: Arc<AtomicUsize>) {
    for number in 0.. {
        let id = format!("usual-{client}-{number}");
        let Ok(stream) = TcpStream::connect(node) else { return };
        let mut writer = stream.try_clone().unwrap();
        if writer.write_all(job("sensor-check", &id, 5000, "soil").as_bytes()).is_err() {
            return;
        }
        record.line(&format!("usual client: sends {id}"));
        open.fetch_add(1, Ordering::SeqCst);
        let Some(answer) = read_message(&mut BufReader::new(stream)) else {
            record.line(&format!("usual client: {id} gets no answer, its connection has ended"));
            return;
        };
        open.fetch_sub(1, Ordering::SeqCst);
        record.line(&format!("usual client: {id} is answered {}", answer.first_line));
        sleep(Duration::from_millis(300));
    }
}

/// A bad client: its connection, its next request, and the requests that are being written.
struct BadClient {
    number: usize,
    stream: TcpStream,
    next: usize,
    text: Vec<u8>,
    sent: usize,
}

impl BadClient {
    /// Writes and reads as much as the connection takes and has. Returns whether it is still open.
    fn advance(&mut self, requests: usize, bytes: &mut [u8]) -> bool {
        while self.sent < self.text.len() || self.next < requests {
            if self.sent == self.text.len() {
                (self.text, self.sent) = (Vec::new(), 0);
                let end = requests.min(self.next + REQUESTS_PER_TEXT);
                for number in self.next..end {
                    let id = format!("bad-{}-{number}", self.number);
                    let body = "x".repeat(BODY_BYTES);
                    self.text.extend_from_slice(job("zone-plan", &id, 5000, &body).as_bytes());
                }
                self.next = end;
            }
            match self.stream.write(&self.text[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => return false,
            }
        }
        match self.stream.read(bytes) {
            Ok(n) => n > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Bad clients: each sends its requests at once, at full speed, and reads what comes.
fn bad_clients(node: SocketAddr, clients: Range<usize>, requests: usize) {
    let connect = |number| {
        let stream = TcpStream::connect(node).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(BadClient { number, stream, next: 0, text: Vec::new(), sent: 0 })
    };
    let mut open: Vec<BadClient> = clients.filter_map(connect).collect();
    let mut bytes = vec![0; 64 * 1024];
    while !open.is_empty() {
        open.retain_mut(|client| client.advance(requests, &mut bytes));
        sleep(Duration::from_millis(1));
    }
}

pub fn run(case: &Case) -> Result<bool, String> {
    let record = &case.record;
    let work = Work { slots: 2, waiting_room: 4, run_ms: 120, tells_start: true };
    let mut deployment = Deployment::start(case, 9, &work, (MEMORY_MB, SOCKETS), &ODENSE)?;
    let node = deployment.node.address;
    let open = Arc::new(AtomicUsize::new(0));
    for client in 0..USUAL_CLIENTS {
        let (record, open) = (record.clone(), open.clone());
        spawn(move || usual_client(record, node, client, open));
    }
    sleep(Duration::from_secs(2));
    let requests = if case.trouble { REQUESTS_AT_ONCE } else { 1 };
    record.line(&format!("bad clients: {BAD_CLIENTS} connect and send {requests} requests each at once"));
    for first in (0..BAD_CLIENTS).step_by(CLIENTS_PER_THREAD) {
        spawn(move || bad_clients(node, first..first + CLIENTS_PER_THREAD, requests));
    }
    let (end, mut most) = (Instant::now() + DURATION, 0);
    while Instant::now() < end {
        if let Some(status) = deployment.node.ended() {
            record.say(&format!("platform: the node has crashed: {status}"));
            return Ok(true);
        }
        // Private memory alone: the program's own text and the sockets' buffers are not even counted.
        let used = deployment.node.memory_kib("RssAnon").unwrap_or(0);
        if used / 1024 > most / 1024 {
            record.line(&format!("platform: the node uses {used} KiB"));
        }
        most = most.max(used);
        if used > MEMORY_MB * 1024 {
            let lost = open.load(Ordering::SeqCst);
            record.say(&format!("platform: {used} KiB are over {MEMORY_MB} MiB: the node is killed"));
            deployment.node.kill();
            record.say(&format!("requests of usual clients that were open and are lost: {lost}"));
            sleep(Duration::from_millis(300));
            return Ok(true);
        }
        sleep(Duration::from_millis(10));
    }
    record.say(&format!("platform: the node used {most} KiB at most, of {MEMORY_MB} MiB"));
    Ok(false)
}
