//! Case: a node that an operator empties takes a job that was being written, and still holds it 4 s after the call.
//!
//! The front sends new connections for 0.2 s after the call. On these, six clients write their requests in 2 s, for jobs that run for
//! 3 s, as those of `report-submit` at `ndimbal-west`. Four more clients have connections from before, and use them while these last.

use crate::client::{read_answer, Fate, Job};
use crate::deployment::{Deployment, Options};
use crate::discovery::Pace;
use crate::node::ask;
use crate::record::Record;
use crate::settings::{Class, Settings};
use crate::Verdict;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

const SLOW_CLIENTS: usize = 6;
const EARLIER_CLIENTS: usize = 4;
/// When the last new connections come, after the operator's call.
const CONNECT_AT: Duration = Duration::from_millis(150);
/// How long the clients write, in pieces.
const WRITES_FOR: Duration = Duration::from_secs(2);
const PIECES: u32 = 20;
const JOB_TAKES: Duration = Duration::from_secs(3);
/// When the node has to be empty, after the call, with the 50 ms by which limits are longer on sockets.
const EMPTY_AT: Duration = Duration::from_millis(4_050);
/// A connection may still be held for a job that came before so long, with the same 50 ms.
const RECENT: Duration = Duration::from_millis(1_950);

/// What a client knows of its connection.
#[derive(Clone, Default)]
struct Held {
    is_open: bool,
    /// When the last byte of the request was written that has no answer yet.
    written: Option<Instant>,
}

type Shared = Arc<Mutex<Held>>;

fn lock(held: &Shared) -> MutexGuard<'_, Held> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let class =
        Class { name: "report-submit", semantics: "guarded", deadline_ms: 25_000, dedup_window_ms: 40_000 };
    let settings = Settings {
        classes: vec![class],
        discovery: "on_request",
        second_copies: true,
        drain_grace_ms: 1_500,
    };
    let options = Options {
        memory_mb: 192,
        sockets: 1024,
        settings: settings.json(),
        plan: Arc::new(
            |attempt| if attempt.id.starts_with("early") { Duration::from_millis(100) } else { JOB_TAKES },
        ),
        manners: Default::default(),
        pace: Pace::AtOnce,
    };
    let mut deployment = Deployment::start(options, record, |_| {})?;
    let (node, mgmt) = (deployment.config.listen, deployment.config.mgmt);
    let mut all: Vec<(String, Shared)> = Vec::new();
    for n in 0..EARLIER_CLIENTS {
        let (name, held, record) = (format!("early-{n}"), Shared::default(), record.clone());
        all.push((name.clone(), held.clone()));
        std::thread::spawn(move || use_while_open(node, &name, &held, &record));
    }
    std::thread::sleep(Duration::from_secs(1));
    record.line("operator: POST /ops/drain/start");
    let called = Instant::now();
    let status = ask(mgmt, "POST", "/ops/drain/start")?;
    if !(200..300).contains(&status) {
        return Err(std::io::Error::other(format!("the drain was answered {status}")));
    }
    std::thread::sleep(CONNECT_AT.saturating_sub(called.elapsed()));
    for n in 0..SLOW_CLIENTS {
        let (name, held, record) = (format!("late-{n}"), Shared::default(), record.clone());
        all.push((name.clone(), held.clone()));
        std::thread::spawn(move || send_slowly(node, &name, trouble, &held, &record));
    }
    std::thread::sleep(EMPTY_AT.saturating_sub(called.elapsed()));
    let now = Instant::now();
    let mut held_connections = 0;
    for (name, held) in &all {
        let held = lock(held).clone();
        let is_held = match held.written {
            Some(written) => held.is_open && now.saturating_duration_since(written) < RECENT,
            None => held.is_open,
        };
        if is_held {
            held_connections += 1;
            let age = held.written.map(|at| now.saturating_duration_since(at).as_millis());
            record.line(&format!("{name} is still connected; its job came so many ms ago: {age:?}"));
        }
    }
    let health = ask(node, "GET", "/_health").unwrap_or(0);
    record.say(&format!(
        "{} ms after the call: {held_connections} of {} connections are held idle or for a job of the last 2 s; /_health answers {health}",
        called.elapsed().as_millis(),
        all.len(),
    ));
    deployment.node.check_runs()?;
    Ok(if held_connections > 0 || health == 200 { Verdict::Broken } else { Verdict::Held })
}

/// Sends one job after another on one connection until the node ends that.
fn use_while_open(node: SocketAddr, name: &str, held: &Shared, record: &Record) {
    let Ok(mut stream) = TcpStream::connect(node) else { return };
    lock(held).is_open = true;
    let Ok(reader) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reader);
    for n in 0.. {
        let job = Job { id: format!("{name}-{n}"), class: "report-submit".to_string(), timeout_ms: 25_000 };
        if stream.write_all(&job.bytes()).is_err() {
            break;
        }
        lock(held).written = Some(Instant::now());
        let fate = read_answer(&mut reader, Instant::now() + job.time());
        lock(held).written = None;
        record.line(&format!("fate {} {fate:?}", job.id));
        match fate {
            Fate::Answered { is_last: false, .. } => std::thread::sleep(Duration::from_millis(20)),
            Fate::Answered { is_last: true, .. } => {
                let _ = reader.read(&mut [0; 16]);
                break;
            }
            _ => break,
        }
    }
    record.line(&format!("{name}: the node has ended the connection"));
    *lock(held) = Held::default();
}

/// Sends one job on a new connection, slowly or at once, and waits for the answer and the end of the connection.
fn send_slowly(node: SocketAddr, name: &str, is_slow: bool, held: &Shared, record: &Record) {
    let job = Job { id: name.to_string(), class: "report-submit".to_string(), timeout_ms: 25_000 };
    let Ok(mut stream) = TcpStream::connect(node) else { return };
    let _ = stream.set_nodelay(true);
    lock(held).is_open = true;
    record.line(&format!("{name} is connected"));
    let piece = b"0123456789";
    let _ = stream.write_all(job.head(piece.len() * PIECES as usize).as_bytes());
    for _ in 0..PIECES {
        if is_slow {
            std::thread::sleep(WRITES_FOR / PIECES);
        }
        let _ = stream.write_all(piece);
    }
    lock(held).written = Some(Instant::now());
    record.line(&format!("sent {name}: its last byte is written"));
    let mut reader = BufReader::new(stream);
    let fate = read_answer(&mut reader, Instant::now() + job.time());
    record.line(&format!("fate {name} {fate:?}"));
    lock(held).written = None;
    if matches!(fate, Fate::Answered { .. }) {
        let _ = reader.read(&mut [0; 16]);
    }
    *lock(held) = Held::default();
}
