//! The node under review, as the deploy file starts it.

use crate::record::Record;
use crate::watchdog;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Returns an address with a free port.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns the `run` command of the deploy file of this repository, which is the current folder.
fn run_command() -> std::io::Result<String> {
    let deploy = std::fs::read_to_string("deploy/balancer.toml")?;
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.strip_suffix('"'));
    command.map(str::to_string).ok_or_else(|| std::io::Error::other("the deploy file has no `run`"))
}

/// The configuration of a node.
pub struct Config {
    pub listen: SocketAddr,
    pub mgmt: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The list as the node last had it.
    pub known: String,
    /// The settings, as JSON.
    pub settings: String,
}

impl Config {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","mgmt":"{}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{},
"settings":{}}}"#,
            self.listen, self.discovery, self.mgmt, self.memory_mb, self.sockets, self.known, self.settings
        )
    }

    /// Writes the configuration in place of the previous one.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let temporary = path.with_extension("new");
        std::fs::write(&temporary, self.json())?;
        std::fs::rename(temporary, path)
    }
}

/// A running node. It is killed when this is dropped.
pub struct Node {
    child: Child,
}

impl Node {
    /// Starts a node with the configuration at `config`. Its `TMPDIR` is `tmp`, its log goes to `log`.
    pub fn start(config: &Path, tmp: &Path, log: &Path, record: &Record) -> std::io::Result<Node> {
        std::fs::create_dir_all(tmp)?;
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()?).env("ROUTER_CONFIG", config).env("TMPDIR", tmp);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = watchdog::spawn(&mut command)?;
        record.line(&format!("node is started, process {}", child.id()));
        Ok(Node { child })
    }

    /// Fails if the process has ended.
    pub fn check_runs(&mut self) -> std::io::Result<()> {
        match self.child.try_wait()? {
            Some(status) => Err(std::io::Error::other(format!("the node has ended: {status}"))),
            None => Ok(()),
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Asks an address with one request, and returns the status of the answer.
pub fn ask(address: SocketAddr, method: &str, path: &str) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )?;
    let answer = crate::http::read_message(&mut BufReader::new(stream))?;
    Ok(answer.map_or(0, |answer| answer.status()))
}

/// Waits until the node is ready, for 30 s at most.
pub fn wait_until_ready(mgmt: SocketAddr) -> std::io::Result<()> {
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        if ask(mgmt, "GET", "/ops/readiness").is_ok_and(|status| status == 200) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(std::io::Error::other("the node is not ready within 30 s"))
}

/// A folder of a run, which is removed when this is dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    /// Creates a folder of its own among the system's temporary files.
    pub fn create() -> std::io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("shorepath-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
