//! Case: a discovery that takes 3 s to write a list is never heard.
//!
//! As at `ndimbal-west`, discovery is asked. The node starts with the last list that it had, and since then three of the four
//! executors have begun to leave. Discovery is slow: it answers at once, and what it has to say comes in pieces, which take 3 s
//! together. The executors that leave end 15 s after the start.

use crate::client::{send_job, Fate, Job, Outcome, LATEST_ANSWER};
use crate::deployment::{Deployment, Options};
use crate::discovery::Pace;
use crate::record::Record;
use crate::settings::{Class, Settings};
use crate::Verdict;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

const LIST_TAKES: Duration = Duration::from_secs(3);
const LEAVING: [&str; 3] = ["s-0", "s-1", "s-2"];
const REQUESTS: usize = 180;
const INTERVAL: Duration = Duration::from_millis(100);
/// The executors that leave end after this request.
const END_AT: usize = 150;
/// Whatever discovery has to tell counts as told by then, in milliseconds, with the 50 ms by which limits are longer on sockets.
const TOLD_MS: f64 = 6_000.0 + 50.0;
const DRAIN_GRACE_MS: u32 = 1_500;
const GRACE_MS: f64 = DRAIN_GRACE_MS as f64 + 50.0;

pub fn run(trouble: bool, record: &Record) -> std::io::Result<Verdict> {
    let class =
        Class { name: "payout", semantics: "single_shot", deadline_ms: 5_000, dedup_window_ms: 5_000 };
    let settings = Settings {
        classes: vec![class],
        discovery: "on_request",
        second_copies: true,
        drain_grace_ms: DRAIN_GRACE_MS,
    };
    let options = Options {
        memory_mb: 192,
        sockets: 1024,
        settings: settings.json(),
        plan: Arc::new(|_| Duration::from_millis(300)),
        manners: Default::default(),
        pace: if trouble { Pace::Over(LIST_TAKES) } else { Pace::AtOnce },
    };
    let mut deployment = Deployment::start(options, record, |discovery| {
        LEAVING.iter().for_each(|id| discovery.set_phase(id, "leaving"));
    })?;
    let node = deployment.config.listen;
    let mut clients = Vec::new();
    for n in 0..REQUESTS {
        if n == END_AT {
            let leaving = deployment.executors.iter().filter(|e| LEAVING.contains(&e.name.as_str()));
            leaving.for_each(|executor| executor.end());
        }
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let job = Job { id: format!("r{n}"), class: class.name.to_string(), timeout_ms: 5_000 };
            send_job(node, &job, LATEST_ANSWER, &record)
        }));
        std::thread::sleep(INTERVAL);
    }
    let sent: Vec<Outcome> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let Some(asked_ms) = deployment.discovery.first_asked_ms() else {
        return Err(std::io::Error::other("the node has not asked discovery"));
    };
    let limit_ms = asked_ms + TOLD_MS + GRACE_MS;
    let attempts = deployment.attempts.clone();
    let attempts = attempts.lock().unwrap_or_else(PoisonError::into_inner);
    let is_late = |executor: &str, at_ms: f64| LEAVING.contains(&executor) && at_ms > limit_ms;
    let late = attempts.iter().filter(|a| is_late(&a.executor, a.at_ms)).count();
    let served =
        sent.iter().filter(|outcome| matches!(outcome.fate, Fate::Answered { status: 200, .. })).count();
    record.say(&format!(
        "{} requests, {served} served; {} attempts, {late} of them at an executor that leaves later than {limit_ms:.0} ms",
        sent.len(),
        attempts.len(),
    ));
    deployment.node.check_runs()?;
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
