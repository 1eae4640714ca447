//! Case: a client that sends many commands at once gets answers long after their time, and the jobs run after it.

use crate::client::{read_answer, send_job, Fate, Job, LATEST_ANSWER};
use crate::deployment::{Deployment, Options};
use crate::discovery::Pace;
use crate::record::Record;
use crate::settings::{Class, Settings};
use crate::Verdict;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

const COMMANDS: usize = 30;
const TIMEOUT_MS: u32 = 5_000;
const JOB_TAKES: Duration = Duration::from_millis(250);

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let class = Class { name: "zone-plan", semantics: "free", deadline_ms: TIMEOUT_MS };
    let settings = Settings { classes: vec![class], discovery: "pushed", drain_grace_ms: 500 };
    let options = Options {
        memory_mb: 192,
        sockets: 1024,
        settings: settings.json(),
        plan: Arc::new(|_| JOB_TAKES),
        pace: Pace::AtOnce,
    };
    let mut deployment = Deployment::start(options, record, |_| {})?;
    let node = deployment.config.listen;
    let job = |n: usize| Job { id: format!("r{n}"), class: class.name.to_string(), timeout_ms: TIMEOUT_MS };
    let mut lost = 0;
    if !trouble {
        for n in 0..COMMANDS {
            let outcome = send_job(node, &job(n), LATEST_ANSWER, record);
            lost += usize::from(outcome.is_lost(job(n).time()));
        }
    } else {
        let mut stream = TcpStream::connect(node)?;
        stream.set_nodelay(true)?;
        let commands: Vec<u8> = (0..COMMANDS).flat_map(|n| job(n).bytes()).collect();
        stream.write_all(&commands)?;
        let (written, written_ms) = (Instant::now(), record.now_ms());
        record.line(&format!("sent {COMMANDS} commands at once"));
        let mut reader = BufReader::new(stream);
        let latest = written + job(0).time() + LATEST_ANSWER;
        for n in 0..COMMANDS {
            // Reads on past the latest time, to show in the record what comes later.
            let fate = read_answer(&mut reader, Instant::now() + Duration::from_secs(10));
            let is_late = Instant::now() > latest;
            record.line(&format!("fate r{n} {fate:?} after {:.0} ms", record.now_ms() - written_ms));
            if fate == Fate::Closed {
                break;
            }
            lost += usize::from(is_late || fate == Fate::Silent);
        }
        let attempts = deployment.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        let is_overdue = |at_ms: f64| at_ms > written_ms + f64::from(TIMEOUT_MS);
        let overdue = attempts.iter().filter(|a| is_overdue(a.at_ms)).count();
        record.say(&format!("{overdue} jobs were sent to an executor after their time"));
    }
    record.say(&format!("{COMMANDS} commands, {lost} without an answer half a second after their time"));
    deployment.node.check_runs()?;
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
