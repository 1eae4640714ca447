//! Case: where second copies are forbidden, a second answer to one request makes the node send the next one twice.
//!
//! Two of four executors spoil their answers: a few milliseconds after each they send a second one. All take a job 20 ms after its
//! last byte. Four clients send one request after another.

use crate::client::{read_answer, Fate, Job};
use crate::deployment::{Deployment, Options};
use crate::discovery::Pace;
use crate::executor::{Attempt, Manner};
use crate::record::Record;
use crate::settings::{Class, Settings};
use crate::Verdict;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

const CLIENTS: usize = 4;
/// Requests of each client.
const REQUESTS: usize = 100;
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(8);
const TAKES_AFTER: Duration = Duration::from_millis(20);
const JOB_TAKES: Duration = Duration::from_millis(50);
/// Two attempts count as out together only if both still are so long after the second came.
const TOGETHER_FOR: Duration = Duration::from_millis(5);

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let class = Class { name: "zone-plan", semantics: "free", deadline_ms: 5_000, dedup_window_ms: 5_000 };
    let settings =
        Settings { classes: vec![class], discovery: "pushed", second_copies: false, drain_grace_ms: 500 };
    let sound = Manner { takes_after: TAKES_AFTER, second_answer_after: None };
    let second_answer_after = trouble.then_some(SECOND_ANSWER_AFTER);
    let spoilt = Manner { second_answer_after, ..sound };
    let options = Options {
        memory_mb: 192,
        sockets: 1024,
        settings: settings.json(),
        plan: Arc::new(|_| JOB_TAKES),
        manners: [spoilt, spoilt, sound, sound],
        pace: Pace::AtOnce,
    };
    let mut deployment = Deployment::start(options, record, |_| {})?;
    let (is_over, together) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let watcher = {
        let (is_over, together) = (is_over.clone(), together.clone());
        let (attempts, record) = (deployment.attempts.clone(), record.clone());
        std::thread::spawn(move || {
            let mut seen = 0;
            while !is_over.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_micros(300));
                let all = attempts.lock().unwrap_or_else(PoisonError::into_inner)[..].to_vec();
                let (earlier, new) = all.split_at(seen.min(all.len()));
                for attempt in new {
                    let out = |a: &&Attempt| a.id == attempt.id && !a.is_over.load(Ordering::SeqCst);
                    let Some(other) = earlier.iter().find(out).cloned() else { continue };
                    std::thread::sleep(TOGETHER_FOR);
                    if !other.is_over.load(Ordering::SeqCst) && !attempt.is_over.load(Ordering::SeqCst) {
                        together.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!(
                            "{} is out at {} and at {} together",
                            attempt.id, other.executor, attempt.executor
                        ));
                    }
                }
                seen = all.len();
            }
        })
    };
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (node, record) = (deployment.config.listen, record.clone());
        clients.push(std::thread::spawn(move || send_in_turn(node, client, class.name, &record)));
    }
    let mut served = 0;
    for client in clients {
        served += client.join().map_err(|_| std::io::Error::other("a client has failed"))??;
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = watcher.join();
    let together = together.load(Ordering::SeqCst);
    let attempts = deployment.attempts.lock().unwrap_or_else(PoisonError::into_inner).len();
    record.say(&format!(
        "{} requests, {served} served, {attempts} attempts; {together} requests had two attempts out together",
        CLIENTS * REQUESTS,
    ));
    deployment.node.check_runs()?;
    Ok(if together > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends the requests of one client, each after the answer to the one before, and returns how many were served.
fn send_in_turn(node: SocketAddr, client: usize, class: &str, record: &Record) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut served = 0;
    for n in 0..REQUESTS {
        let job = Job { id: format!("r{client}-{n}"), class: class.to_string(), timeout_ms: 5_000 };
        record.line(&format!("sent {}", job.id));
        stream.write_all(&job.bytes())?;
        let fate = read_answer(&mut reader, Instant::now() + job.time());
        record.line(&format!("fate {} {fate:?}", job.id));
        served += usize::from(matches!(fate, Fate::Answered { status: 200, .. }));
    }
    Ok(served)
}
