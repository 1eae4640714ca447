//! The platform's part: the record, the configuration of a node, and the node as a process.

use crate::Case;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// The option of `prctl` by which a process is killed with the thread that started it.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// The record of a run: one line for each thing that was sent, answered or run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record { file: Arc::new(Mutex::new(File::create(path).expect("the record"))), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.start.elapsed().as_secs_f64());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }
}

/// Returns an address that nobody used a moment ago.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Reads a key of the deploy file.
fn deploy_command(root: &Path, key: &str) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|l| l.split('=').next().is_some_and(|k| k.trim() == key)).expect("the key");
    let value = line.split_once('=').unwrap().1.trim();
    value.trim_matches('"').to_string()
}

/// A node: the process that the deploy file's `run` starts.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Node {
    /// Starts a node with that configuration and waits until its health check says yes.
    pub fn start(case: &Case, config: &NodeConfig) -> Result<Node, String> {
        let (record, root) = (&case.record, &case.root);
        let folder = case.folder.join(&config.name);
        std::fs::create_dir_all(folder.join("tmp")).map_err(|e| e.to_string())?;
        let path = folder.join("config.json");
        std::fs::write(&path, config.json()).map_err(|e| e.to_string())?;
        let log = File::create(folder.join("log")).map_err(|e| e.to_string())?;
        let run = deploy_command(root, "run");
        let mut command = Command::new("/bin/sh");
        // SAFETY: `prctl` may be called between fork and exec. No node stays behind if this program is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["-c", &run])
            .current_dir(root)
            .env("ROUTER_NAME", &config.name)
            .env("ROUTER_LISTEN", config.listen.to_string())
            .env("ROUTER_DISCOVERY", config.discovery.to_string())
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("the node does not start: {e}"))?;
        record.line(&format!("platform: starts node {} by '{run}', process {}", config.name, child.id()));
        record.line(&format!("platform: its configuration: {}", config.json()));
        let mut node = Node { child, address: config.listen, folder };
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if let Some(status) = node.ended() {
                return Err(format!("the node ended at its start: {status}"));
            }
            if node.is_healthy() {
                record.line(&format!("platform: node {} is healthy", config.name));
                return Ok(node);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the node does not get healthy".to_string())
    }

    fn is_healthy(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        answer.starts_with(b"HTTP/1.1 200")
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns how the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns a figure of the process in KiB, such as `RssAnon` or `VmRSS`.
    pub fn memory_kib(&self, figure: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|l| l.starts_with(figure))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the lines of the node's log that contain one of the words.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("log")).unwrap_or_default();
        log.lines().filter(|l| words.iter().any(|w| l.contains(w))).map(str::to_string).collect()
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a case chooses of a node's configuration.
pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    /// The list of executors, in discovery's form.
    pub members: String,
    pub tells_start: bool,
    pub classes: Vec<Class>,
}

/// A class of requests in the settings.
#[derive(Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub worth: u64,
}

const fn class(name: &'static str, semantics: &'static str, times_ms: (u64, u64), worth: u64) -> Class {
    Class { name, semantics, target_ms: times_ms.0, deadline_ms: times_ms.1, worth }
}

/// The classes of the first deployment.
pub const ODENSE: [Class; 4] = [
    class("zone-plan", "free", (200, 5000), 3),
    class("day-forecast", "free", (400, 6000), 2),
    class("sensor-check", "free", (120, 5000), 5),
    class("actuator-cmd", "single_shot", (120, 5000), 3),
];

/// The classes of the second deployment.
pub const NDIMBAL: [Class; 3] = [
    class("receipt-read", "free", (400, 10000), 1),
    class("report-submit", "guarded", (2500, 25000), 8),
    class("payout", "single_shot", (400, 5000), 10),
];

impl NodeConfig {
    /// The settings follow the site file of the first deployment: 4 nodes, 9 executors, lists pushed.
    fn json(&self) -> String {
        let classes = self.classes.iter().map(|c| {
            format!(
                "{{\"name\":\"{}\",\"semantics\":\"{}\",\"target_ms\":{}.0,\"deadline_ms\":{}.0,\
                 \"dedup_window_ms\":5000.0,\"group\":\"all\",\"late_worth\":0.3,\"stream\":false,\
                 \"worth\":{}.0}}",
                c.name, c.semantics, c.target_ms, c.deadline_ms, c.worth
            )
        });
        let classes: Vec<String> = classes.collect();
        let kinds = vec!["-1"; self.classes.len()].join(",");
        let stretches = vec!["2.0"; self.classes.len()].join(",");
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{{\
             \"allowed\":{{\"cancel\":true,\"conn_idle_ms\":5000.0,\"connect_timeout_ms\":150.0,\
             \"cpu_us_per_request\":0.0,\"cpu_us_per_s\":8000,\"max_open\":20000,\"max_retry_after_ms\":2000.0,\
             \"multiplex\":1,\"peers\":false,\"probing\":false,\"retry_after\":true,\"second_copies\":true,\
             \"try_limit\":6}},\"azs\":[\"odense\",\"vejle\",\"aarhus\"],\"classes\":[{}],\
             \"clients\":{{\"marks_retry\":false}},\
             \"costs\":{{\"cross_zone\":0.1,\"probe\":0.01,\"waste\":0.3}},\"discovery\":\"pushed\",\
             \"family_info\":{{\"class_kind\":[{kinds}],\"class_stretch\":[{stretches}],\
             \"tells_start\":{}}},\"granularity_ms\":4.0,\"kinds\":[\"hurtig\",\"standard\",\"gammel\"],\
             \"over_share_worth\":0.2,\"projects\":[{{\"name\":\"fyn-gartnerier\",\"portion\":0.79,\
             \"quota_rps\":47.0}},{{\"name\":\"sjaelland-syd\",\"portion\":0.21,\"quota_rps\":13.0}}],\
             \"rank\":0,\"replicas_of_me\":4,\"rules\":{{\"answer_slack_ms\":16.0,\"ask_within_ms\":10000.0,\
             \"cold_ms\":24000.0,\"cold_share\":0.13,\"drain_grace_ms\":500.0,\"fall_ms\":2000.0,\
             \"tip_multiple\":4.0}},\"tier\":0,\"value_by\":\"request\",\"weights\":\"nominal\",\
             \"workload\":\"jobs\",\"zone\":\"aarhus\"}}}}",
            self.name,
            self.listen,
            self.discovery,
            self.memory_mb,
            self.sockets,
            self.members,
            classes.join(","),
            self.tells_start,
        )
    }
}
