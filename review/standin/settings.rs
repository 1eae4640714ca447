//! Settings with shorter deadlines than the site's. Some executors hang.

use crate::peers::{job, read_message, Deployment, Work};
use crate::platform::{Class, Record, NDIMBAL};
use crate::Case;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The classes, aims and effects are the second deployment's. Their deadlines are shorter: this one for all classes.
const DEADLINE_MS: u64 = 2000;
const EXECUTORS: usize = 12;
/// "a quarter to a half of the executors hang".
const HANGING: usize = 4;
const CLIENTS: usize = 6;

/// A usual client: one request at a time on one connection.
fn usual_client(record: Record, node: SocketAddr, client: usize, lost: Arc<AtomicUsize>) {
    let Ok(stream) = TcpStream::connect(node) else { return };
    let _ = stream.set_nodelay(true);
    let (mut writer, mut reader) = (stream.try_clone().unwrap(), BufReader::new(stream));
    for number in 0.. {
        let class = NDIMBAL[number % 3].name;
        let id = format!("{class}-{client}-{number}");
        if writer.write_all(job(class, &id, DEADLINE_MS, "receipt").as_bytes()).is_err() {
            record.line(&format!("client: {id} can't be sent"));
            return;
        }
        record.line(&format!("client: sends {id}"));
        let Some(answer) = read_message(&mut reader) else {
            record.line(&format!("client: {id} gets no answer, its connection has ended"));
            lost.fetch_add(1, Ordering::SeqCst);
            return;
        };
        record.line(&format!("client: {id} is answered {}", answer.first_line));
        sleep(Duration::from_millis(200));
    }
}

pub fn run(case: &Case) -> Result<bool, String> {
    let record = &case.record;
    let work = Work { slots: 4, waiting_room: 8, run_ms: 300, tells_start: true };
    let classes = NDIMBAL.map(|class| Class { deadline_ms: DEADLINE_MS, ..class });
    let mut deployment = Deployment::start(case, EXECUTORS, &work, (96, 512), &classes)?;
    let node = deployment.node.address;
    let lost = Arc::new(AtomicUsize::new(0));
    for client in 0..CLIENTS {
        let (record, lost) = (record.clone(), lost.clone());
        spawn(move || usual_client(record, node, client, lost));
        sleep(Duration::from_millis(35));
    }
    sleep(Duration::from_secs(3));
    if case.trouble {
        // Those that this node uses most show it soon.
        let runs = deployment.runs.lock().unwrap();
        let mut executors: Vec<_> = deployment.executors.iter().collect();
        executors.sort_by_key(|e| std::cmp::Reverse(runs.iter().filter(|run| run.executor == e.name).count()));
        for executor in &executors[..HANGING] {
            record.say(&format!("executor {} hangs", executor.name));
            executor.hang();
        }
    }
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        if let Some(status) = deployment.node.ended() {
            sleep(Duration::from_millis(300));
            for line in deployment.node.log_lines(&["panicked", "min > max", "shorepath: "]) {
                record.say(&format!("log of the node: {line}"));
            }
            record.say(&format!("platform: the node has crashed: {status}"));
            record.say(&format!("requests that were open and are lost: {}", lost.load(Ordering::SeqCst)));
            return Ok(true);
        }
        sleep(Duration::from_millis(20));
    }
    Ok(false)
}
