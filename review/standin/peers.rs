//! Stand-ins for executors, discovery and clients. They follow the protocol page.

use crate::platform::{free_address, Class, Node, NodeConfig, Record};
use crate::Case;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// A request or an answer as it was read: the first line and the fields, with names in lower case.
pub struct Message {
    pub first_line: String,
    pub fields: HashMap<String, String>,
}

/// Reads a message; `None` at the end of the connection or at something that is no message.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line).ok()? == 0 {
        return None;
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        fields.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
    }
    let length = fields.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message { first_line: first_line.trim_end().to_string(), fields })
}

/// The start of an attempt at an executor.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub executor: String,
    /// When its last byte had come.
    pub at_ms: f64,
}

/// Slots of an executor, with a waiting room.
struct Slots {
    free: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
}

/// What all executors of a case do.
#[derive(Clone)]
pub struct Work {
    pub slots: usize,
    pub waiting_room: usize,
    pub run_ms: u64,
    pub tells_start: bool,
}

/// An executor as the protocol page has it: it takes a job, tells of its start and answers once it is done.
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    hangs: Arc<AtomicBool>,
}

impl Executor {
    /// From now on it takes requests and says nothing to any of them.
    pub fn hang(&self) {
        self.hangs.store(true, Ordering::SeqCst);
    }

    pub fn start(record: &Record, name: &str, work: Work, runs: Arc<Mutex<Vec<Run>>>) -> Executor {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let slots = Arc::new(Slots {
            free: Mutex::new(work.slots),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
        });
        let (record, executor) = (record.clone(), name.to_string());
        let hangs = Arc::new(AtomicBool::new(false));
        let hung = hangs.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, executor, work) = (record.clone(), executor.clone(), work.clone());
                let (slots, runs, hung) = (slots.clone(), runs.clone(), hung.clone());
                spawn(move || serve_jobs(&record, &executor, stream, &work, &slots, &runs, &hung));
            }
        });
        Executor { name: name.to_string(), address, hangs }
    }
}

fn serve_jobs(
    record: &Record,
    executor: &str,
    stream: TcpStream,
    work: &Work,
    slots: &Slots,
    runs: &Mutex<Vec<Run>>,
    hangs: &AtomicBool,
) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let Some(id) = request.fields.get("request-id").cloned() else {
            let _ = writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        };
        let run = Run { id: id.clone(), executor: executor.to_string(), at_ms: record.now_ms() };
        let timeout = request.fields.get("request-timeout").map_or("-", |t| t);
        record.line(&format!("executor {executor}: takes {id}, Request-Timeout {timeout}"));
        runs.lock().unwrap().push(run);
        while hangs.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(50));
        }
        let mut free = slots.free.lock().unwrap();
        if *free == 0 && slots.waiting.load(Ordering::Relaxed) >= work.waiting_room {
            drop(free);
            record.line(&format!("executor {executor}: turns {id} away"));
            let answer = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        slots.waiting.fetch_add(1, Ordering::Relaxed);
        while *free == 0 {
            free = slots.freed.wait(free).unwrap();
        }
        slots.waiting.fetch_sub(1, Ordering::Relaxed);
        *free -= 1;
        drop(free);
        let sent = answer_job(&mut writer, executor, &id, work);
        *slots.free.lock().unwrap() += 1;
        slots.freed.notify_one();
        record.line(&format!("executor {executor}: ends {id}"));
        if sent.is_err() {
            return;
        }
    }
}

pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Runs a job and answers it.
fn answer_job(writer: &mut TcpStream, executor: &str, id: &str, work: &Work) -> std::io::Result<()> {
    let object = |state: &str| format!("{{\"id\":\"{id}\",\"from\":\"{executor}\",\"state\":\"{state}\"}}");
    let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string();
    if work.tells_start {
        head += &chunk(&object("started"));
    }
    writer.write_all(head.as_bytes())?;
    sleep(Duration::from_millis(work.run_ms));
    let done = format!(
        "{{\"id\":\"{id}\",\"from\":\"{executor}\",\"state\":\"done\",\"result\":\"result of {id}\"}}"
    );
    writer.write_all(format!("{}0\r\n\r\n", chunk(&done)).as_bytes())
}

/// Returns a list in discovery's form.
pub fn members(executors: &[Executor]) -> String {
    let zones = ["aarhus", "odense", "vejle"];
    let entries: Vec<String> = executors
        .iter()
        .enumerate()
        .map(|(k, e)| {
            format!(
                "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"standard\",\"cell\":0,\
                 \"phase\":\"active\",\"size\":2.0,\"up_since_ms\":0}}",
                e.name,
                e.address,
                zones[k % 3]
            )
        })
        .collect();
    format!("{{\"revision\":41,\"complete\":true,\"members\":[{}]}}", entries.join(","))
}

/// A small deployment: executors, discovery's agent and one node of four.
pub struct Deployment {
    pub node: Node,
    pub executors: Vec<Executor>,
    /// All attempts that reached an executor.
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Deployment {
    /// Starts executors that work so, and a node with those limits and classes.
    pub fn start(
        case: &Case,
        executors: usize,
        work: &Work,
        limits: (u64, u64),
        classes: &[Class],
    ) -> Result<Deployment, String> {
        let runs = Arc::new(Mutex::new(Vec::new()));
        let start = |k| Executor::start(&case.record, &format!("s-{k}"), work.clone(), runs.clone());
        let executors: Vec<Executor> = (0..executors).map(start).collect();
        let list = members(&executors);
        let config = NodeConfig {
            name: "n0".to_string(),
            listen: free_address(),
            discovery: start_discovery(list.clone()),
            memory_mb: limits.0,
            sockets: limits.1,
            members: list,
            tells_start: work.tells_start,
            classes: classes.to_vec(),
        };
        Ok(Deployment { node: Node::start(case, &config)?, executors, runs })
    }
}

/// Discovery's agent: it has one list, which does not change.
pub fn start_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            spawn(move || serve_list(stream, &list));
        }
    });
    address
}

fn serve_list(stream: TcpStream, list: &str) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_message(&mut reader)?;
        if !request.first_line.contains("watch=1") {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            writer.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        writer.write_all(chunk(list).as_bytes()).ok()?;
        loop {
            sleep(Duration::from_secs(2));
            writer.write_all(b"1\r\n\n\r\n").ok()?;
        }
    }
}

/// Words a client's request.
pub fn job(class: &str, id: &str, timeout_ms: u64, body: &str) -> String {
    format!(
        "POST /{class}?obj=house-7 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\n\
         Tenant: fyn-gartnerier\r\nRequest-Timeout: {timeout_ms}m\r\nIdempotency-Key: key-{id}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
