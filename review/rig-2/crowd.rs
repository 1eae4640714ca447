//! Case: requests wait unread behind a crowd of clients that stop half way, until their time is over.
//!
//! The crowd: 1,000 clients connect, send half a request and stop; whoever the node turns away comes again. The node has half of the
//! memory and of the least descriptors of other days, and a class with a short deadline. The usual clients send 20 requests a second,
//! each on a new connection.

use crate::client::{send_job, Fate, Job, Outcome};
use crate::deployment::{Deployment, Options};
use crate::discovery::Pace;
use crate::record::Record;
use crate::settings::{Class, Settings};
use crate::watchdog;
use crate::Verdict;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

const CROWD_PROCESSES: usize = 8;
const CROWD_PER_PROCESS: usize = 125;
/// How long a member of the crowd comes again.
const CROWD_STAYS: Duration = Duration::from_secs(30);
const REQUESTS: usize = 300;
/// The crowd comes before this request.
const CROWD_AT: usize = 60;
const INTERVAL: Duration = Duration::from_millis(50);
/// Shorter than the 5 s of `odense-klima`.
const DEADLINE_MS: u32 = 500;
/// How long the usual clients listen on after their time, to show in the record what comes later.
const LISTENS_ON: Duration = Duration::from_secs(6);

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let class =
        Class { name: "sensor-check", semantics: "free", deadline_ms: DEADLINE_MS, dedup_window_ms: 5_000 };
    let settings =
        Settings { classes: vec![class], discovery: "pushed", second_copies: true, drain_grace_ms: 500 };
    let options = Options {
        // Half of the 192 MB, and of the least of the 256 to 1,024 descriptors, that days without this trouble have.
        memory_mb: 96,
        sockets: 128,
        settings: settings.json(),
        plan: Arc::new(|_| Duration::from_millis(50)),
        manners: Default::default(),
        pace: Pace::AtOnce,
    };
    let mut deployment = Deployment::start(options, record, |_| {})?;
    let node = deployment.config.listen;
    let mut clients = Vec::new();
    let mut crowd = Crowd(Vec::new());
    for n in 0..REQUESTS {
        if trouble && n == CROWD_AT {
            crowd = Crowd::start(node, record)?;
        }
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let job = Job { id: format!("r{n}"), class: class.name.to_string(), timeout_ms: DEADLINE_MS };
            send_job(node, &job, LISTENS_ON, &record)
        }));
        std::thread::sleep(INTERVAL);
    }
    let sent: Vec<Outcome> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    drop(crowd);
    let count = |is_counted: &dyn Fn(&Outcome) -> bool| sent.iter().filter(|o| is_counted(o)).count();
    let time = Duration::from_millis(u64::from(DEADLINE_MS));
    let lost = count(&|o| o.is_lost(time));
    record.say(&format!(
        "{} requests: {} served in time, {lost} without an answer half a second after their time ({} of them answered later still, {} not within {} s), {} shut unread, {} without a connection",
        sent.len(),
        count(&|o| matches!(o.fate, Fate::Answered { .. }) && !o.is_lost(time)),
        count(&|o| matches!(o.fate, Fate::Answered { .. }) && o.is_lost(time)),
        count(&|o| o.fate == Fate::Silent),
        (time + LISTENS_ON).as_secs_f64(),
        count(&|o| o.fate == Fate::Closed),
        count(&|o| o.fate == Fate::Refused),
    ));
    deployment.node.check_runs()?;
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// The processes of the crowd, which are killed when this is dropped.
struct Crowd(Vec<Child>);

impl Crowd {
    fn start(node: SocketAddr, record: &Record) -> std::io::Result<Crowd> {
        let program = std::env::current_exe()?;
        let mut crowd = Crowd(Vec::new());
        for _ in 0..CROWD_PROCESSES {
            let mut member = Command::new(&program);
            member.arg("crowd-member").arg(node.to_string()).stdin(Stdio::null());
            crowd.0.push(watchdog::spawn(&mut member)?);
        }
        record.line(&format!("a crowd of {} clients comes", CROWD_PROCESSES * CROWD_PER_PROCESS));
        Ok(crowd)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for member in &mut self.0 {
            let _ = member.kill();
            let _ = member.wait();
        }
    }
}

/// Sends the members of one process of the crowd. A connection stays until the node closes it.
pub fn join_crowd(node: SocketAddr) {
    let mut threads = Vec::new();
    for _ in 0..CROWD_PER_PROCESS {
        let member = move || {
            let end = Instant::now() + CROWD_STAYS;
            while Instant::now() < end {
                let Ok(mut stream) = TcpStream::connect(node) else { return };
                let _ = stream.write_all(b"POST /sensor-check HTTP/1.1\r\nHost: service.internal\r\n");
                let _ = stream.set_read_timeout(Some(CROWD_STAYS));
                let _ = stream.read(&mut [0; 1024]);
            }
        };
        let spawned = std::thread::Builder::new().stack_size(64 * 1024).spawn(member);
        threads.extend(spawned.ok());
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
}
