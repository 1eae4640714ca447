//! Quota servers and the links between them and the nodes.
//!
//! Each pair of processes is connected by relays of its own. The addresses of the others therefore differ from process to
//! process, and each one has its own budget file.

use crate::addresses::allocate_address;
use crate::history::{Event, History, Micros};
use crate::process::{ManagedProcess, ProcessState};
use crate::relay::{tcp_and_udp, udp, Link, LinkFaults};
use crate::runner::{RunError, GRANT_TERM, KEY_LEASE, MAX_JOB_DURATION};
use crate::script::{Direction, Script};
use std::cell::Cell;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, Instant};

/// Name of the budget for the requests of the tenant.
pub const QUOTA: &str = "quota:acme";
/// Name of the budget for concurrent jobs that must not run twice.
pub const IN_FLIGHT: &str = "flight:valve";
/// Name of the budget for retries: every attempt after the first one of a request.
pub const RETRIES: &str = "retries";
/// Name of the budget for probes of servers.
pub const PROBES: &str = "probes";
/// Name of the budget for connections to discovery.
pub const DISCOVERY_CALLS: &str = "lists";
/// Name of the budget for concurrent attempts at each server.
pub const CONNECTIONS: &str = "connections";
/// The quota in the first file, in percent of the clients' request rate.
const INITIAL_QUOTA_PERCENT: u32 = 70;
/// How long before the nodes the quota servers are signalled to read a changed file.
const QUOTA_SERVER_HEAD_START: Duration = Duration::from_millis(300);

/// The quota servers, and the links between them and the nodes.
#[derive(Debug)]
pub struct QuotaServers {
    history: Rc<History>,
    processes: Vec<Rc<ManagedProcess>>,
    folders: Vec<PathBuf>,
    locks: Vec<Mutex<()>>,
    /// The link from each node to each quota server, by the numbers of both.
    node_links: Vec<Vec<Link>>,
    /// The links from each quota server to each peer, by the numbers of both: one for TCP connections and one for datagrams. `None`
    /// for the quota server itself.
    peer_links: Vec<Vec<Option<[Link; 2]>>>,
    /// From each process to each node, for membership: numbers of the two processes, and the link.
    membership_links: Vec<(u32, u32, Link)>,
    /// The lines of the budget file for the leases of key ranges. Empty without sites; with sites, the file has no other budgets.
    key_leases: String,
    /// The budget file of each process, nodes before quota servers, with its lines for the addresses of all processes.
    files: Vec<(PathBuf, String)>,
    version: Cell<u32>,
    rate: f64,
    nodes: u32,
    /// The key entry of the files; empty for every other seed.
    key: &'static str,
}

/// Upper limit on the time until the quota servers give the first grants.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// Writes the key for messages between processes; returns its entry for the budget files.
fn write_key(dir: &Path, seed: u64) -> std::io::Result<&'static str> {
    let mut file =
        OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(dir.join("fleet.key"))?;
    writeln!(file, "{seed:064x}")?;
    Ok(" (key \"fleet.key\")")
}

/// Writes a file by a rename. Guards against a process that starts meanwhile and exits on an incomplete file.
fn write_atomically(path: &Path, text: &str) -> std::io::Result<()> {
    let temporary = path.with_extension("half");
    std::fs::write(&temporary, text)?;
    std::fs::rename(&temporary, path)
}

impl QuotaServers {
    /// Starts the relays and writes the first files; no process is started yet. `allow_key` is whether messages may be signed
    /// with a key.
    ///
    /// # Errors
    /// Returns an error if a socket can't be bound or a file can't be written.
    pub async fn prepare(
        script: &Script,
        dir: &Path,
        allow_key: bool,
        history: Rc<History>,
    ) -> Result<QuotaServers, RunError> {
        let (n, d) = (script.nodes as usize, script.quota_servers as usize);
        let mut addresses = Vec::new();
        for _ in 0..n + d {
            addresses.push(allocate_address()?);
        }
        let name = |k: usize| if k < n { format!("n{k}") } else { format!("d{}", k - n) };
        let (mut node_links, mut peer_links, mut membership_links) = (Vec::new(), Vec::new(), Vec::new());
        let mut files = Vec::new();
        for process in 0..n + d {
            let (mut own_links, mut own_peer_links) = (Vec::new(), Vec::new());
            let (mut quota_server_list, mut node_list) = (String::new(), String::new());
            for (other, address) in addresses.iter().enumerate() {
                let seed = script.seed ^ ((process * (n + d) + other) as u64) << 32;
                let address = if other == process {
                    own_peer_links.extend((process >= n).then_some(None));
                    *address
                } else if other >= n && process >= n {
                    let links = tcp_and_udp(*address, process as u32, seed).await?;
                    let address = links[0].address;
                    own_peer_links.push(Some(links));
                    address
                } else {
                    let link = udp(*address, seed).await?;
                    let address = link.address;
                    if other >= n {
                        own_links.push(link);
                    } else {
                        membership_links.push((process as u32, other as u32, link));
                    }
                    address
                };
                let kind = if other < n { "node" } else { "divider" };
                let list = if other < n { &mut node_list } else { &mut quota_server_list };
                *list += &format!("  ({kind} {} \"{address}\")\n", name(other));
            }
            if process < n {
                node_links.push(own_links);
            } else {
                peer_links.push(own_peer_links);
            }
            files.push((dir.join(format!("{}.sexp", name(process))), quota_server_list + &node_list));
        }
        let quota_servers = QuotaServers {
            history,
            processes: Vec::new(),
            folders: (0..d).map(|k| dir.join(format!("d{k}"))).collect(),
            locks: (0..d).map(|_| Mutex::new(())).collect(),
            node_links,
            peer_links,
            membership_links,
            key_leases: key_leases(script),
            files,
            version: Cell::new(0),
            rate: script.rate,
            nodes: script.nodes,
            key: if allow_key && script.seed % 2 == 1 { write_key(dir, script.seed)? } else { "" },
        };
        quota_servers.write(INITIAL_QUOTA_PERCENT)?;
        Ok(quota_servers)
    }

    /// Returns the number of quota servers.
    pub fn count(&self) -> u32 {
        self.folders.len() as u32
    }

    /// Returns the budget file of a node.
    pub fn file(&self, node: u32) -> &Path {
        &self.files[node as usize].0
    }

    /// Writes the next version of all files, with the quota in percent of the clients' request rate.
    fn write(&self, percent: u32) -> std::io::Result<()> {
        self.version.set(self.version.get() + 1);
        if !self.key_leases.is_empty() {
            for (path, addresses) in &self.files {
                let (version, key) = (self.version.get(), self.key);
                let text = format!(
                    "(budgets (version {version}) (term {KEY_LEASE} us){key}\n{addresses}{})\n",
                    self.key_leases
                );
                write_atomically(path, &text)?;
            }
            return Ok(());
        }
        let nodes = u64::from(self.nodes);
        let quota = (self.rate * f64::from(percent) / 100.0).round().max(3.0 * nodes as f64) as u64;
        let budgets = [
            (QUOTA, quota, format!("(reserve 2) (burst {BURST} us)")),
            (IN_FLIGHT, nodes + 3, format!("(per moment) (reserve 1) (longest {MAX_JOB_DURATION} us)")),
            (RETRIES, 2 * nodes, format!("(reserve 1) (burst {BURST} us)")),
            (PROBES, 3 * nodes, format!("(reserve 1) (burst {BURST} us)")),
            // Fewer than there are nodes, so that they can't all connect at once.
            (DISCOVERY_CALLS, 2, format!("(burst {BURST} us)")),
            (CONNECTIONS, 2 * nodes, format!("(per moment) (reserve 1) (longest {MAX_JOB_DURATION} us)")),
        ];
        for (path, addresses) in &self.files {
            let mut text = format!(
                "(budgets (version {}) (term {GRANT_TERM} us){}\n{addresses}",
                self.version.get(),
                self.key
            );
            for (name, units, rest) in &budgets {
                text += &format!("  (budget {name} (whole {units}) {rest})\n");
            }
            write_atomically(path, &(text + ")\n"))?;
        }
        for (name, units, _) in budgets {
            self.history.record(Event::BudgetTotal { budget: name.to_string(), total: units });
        }
        Ok(())
    }

    /// Starts the quota servers with clocks that differ by less than the files allow, and waits until they give grants. `older` is
    /// an older version of the program, with which those with odd numbers begin.
    ///
    /// # Errors
    /// Returns an error if a quota server doesn't start, or if no grants are given in time.
    pub async fn start(&mut self, program: &Path, older: Option<&Path>) -> Result<(), RunError> {
        for (k, folder) in self.folders.iter().enumerate() {
            let file = &self.files[self.nodes as usize + k].0;
            let drift = [300, -300, 0][k % 3];
            let args = vec![
                "--budgets".into(),
                file.into(),
                "--state".into(),
                folder.into(),
                format!("--name=d{k}").into(),
                format!("--test-clock-drift={drift}").into(),
                format!("--test-clock-offset={}", k * 3_600).into(),
            ];
            let quota_server = ManagedProcess::quota_server(k as u32, program, args, self.history.clone());
            older.into_iter().for_each(|older| quota_server.set_other_version(older));
            if k % 2 == 1 {
                quota_server.switch_version();
            }
            quota_server.start()?;
            self.processes.push(quota_server);
        }
        for (k, quota_server) in self.processes.iter().enumerate() {
            if !quota_server.wait_until_serving().await {
                return Err(RunError::Start { node: k as u32, log: quota_server.log().join("\n") });
            }
        }
        // Quota servers that have just been set up give no grants for a lease term; the run begins after that.
        let started = Instant::now();
        let grants_quota = |d: &Rc<ManagedProcess>| d.log().iter().any(|line| line.contains("gives grants"));
        while !self.processes.iter().any(grants_quota) {
            if started.elapsed() > STARTUP_TIMEOUT {
                let log = self.logs().concat().join("\n");
                return Err(RunError::Start { node: 0, log });
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Returns the last log lines of each quota server.
    pub fn logs(&self) -> Vec<Vec<String>> {
        self.processes.iter().map(|d| d.log()).collect()
    }

    /// Shuts down the quota servers.
    pub async fn end(&self) {
        for quota_server in &self.processes {
            quota_server.resume();
            quota_server.terminate();
        }
        for quota_server in &self.processes {
            quota_server.wait_for(ProcessState::Exited).await;
        }
    }

    /// Sets the faults of all links by the numbers of the sending and the receiving process; the quota servers' numbers follow the
    /// nodes'.
    pub fn set_faults(&self, faults: impl Fn(u32, u32) -> LinkFaults) {
        let set = |link: &Link, process: u32, other: u32| {
            link.change(|s| (s.forward, s.backward) = (faults(process, other), faults(other, process)));
        };
        for (node, links) in (0..).zip(&self.node_links) {
            (self.nodes..).zip(links).for_each(|(quota_server, link)| set(link, node, quota_server));
        }
        for (process, links) in (self.nodes..).zip(&self.peer_links) {
            for (other, both) in (self.nodes..).zip(links) {
                both.iter().flatten().for_each(|link| set(link, process, other));
            }
        }
        self.membership_links.iter().for_each(|(process, other, link)| set(link, *process, *other));
    }

    /// Kills a quota server and starts it again after `downtime`, with an empty disk if `disk_lost`.
    pub async fn kill(&self, quota_server: u32, downtime: Duration, disk_lost: bool) {
        let _lock = self.locks[quota_server as usize].lock().await;
        let process = &self.processes[quota_server as usize];
        process.kill();
        process.wait_for(ProcessState::Exited).await;
        if disk_lost {
            // The folder may not have been created yet.
            let _ = std::fs::remove_dir_all(&self.folders[quota_server as usize]);
        }
        sleep(downtime).await;
        // If the process can't be started, the checks show the effect of its absence.
        if process.start().is_ok() {
            process.wait_until_serving().await;
        }
    }

    /// Shuts down a quota server and starts it with the other version of the program.
    pub async fn upgrade(&self, quota_server: u32) {
        let _lock = self.locks[quota_server as usize].lock().await;
        let process = &self.processes[quota_server as usize];
        process.terminate();
        process.wait_for(ProcessState::Exited).await;
        process.switch_version();
        if process.start().is_ok() {
            process.wait_until_serving().await;
        }
    }

    /// Restarts a quota server with a full disk, and with a working one after `duration`.
    pub async fn fill(&self, quota_server: u32, duration: Duration) {
        let _lock = self.locks[quota_server as usize].lock().await;
        let process = &self.processes[quota_server as usize];
        let restart = |full: bool| async move {
            process.kill();
            process.wait_for(ProcessState::Exited).await;
            let file = std::fs::metadata(self.folders[quota_server as usize].join("divider.redb"));
            // Below the file's size, so that writes at its end fail.
            let blocks = file.map_or(0, |f| f.len() * 3 / 4 / 512);
            let started = if full { process.start_with_full_disk(blocks) } else { process.start() };
            // It may exit at once, or at its first write at the end of the file.
            if started.is_ok() {
                process.wait_until_serving().await;
            }
        };
        restart(true).await;
        sleep(duration).await;
        restart(false).await;
    }

    /// Pauses a quota server for `duration`.
    pub async fn pause(&self, quota_server: u32, duration: Duration) {
        let _lock = self.locks[quota_server as usize].lock().await;
        self.processes[quota_server as usize].pause();
        sleep(duration).await;
        self.processes[quota_server as usize].resume();
    }

    /// Loses, duplicates and reorders datagrams between a node and all quota servers for `duration`.
    pub async fn degrade(&self, node: u32, loss: f64, duration: Duration) {
        let set_degraded = |enabled: bool| {
            let (loss, reordering) = if enabled { (loss, loss / 2.0) } else { (0.0, 0.0) };
            for link in &self.node_links[node as usize] {
                link.change(|s| {
                    for faults in [&mut s.forward, &mut s.backward] {
                        (faults.loss, faults.duplication, faults.reordering) = (loss, reordering, reordering);
                        faults.max_extra_delay = Duration::from_millis(800);
                    }
                });
            }
        };
        set_degraded(true);
        sleep(duration).await;
        set_degraded(false);
    }

    /// Drops datagrams between a node and a quota server for `duration`.
    pub async fn cut(&self, node: u32, quota_server: u32, direction: Direction, duration: Duration) {
        let link = &self.node_links[node as usize][quota_server as usize];
        set_cut(link, direction, true);
        sleep(duration).await;
        set_cut(link, direction, false);
    }

    /// Cuts a quota server from the other ones for `duration`.
    pub async fn isolate(&self, quota_server: u32, duration: Duration) {
        let d = quota_server as usize;
        let links = || {
            let from = self.peer_links[d].iter().flatten().flatten();
            let to = self.peer_links.iter().filter_map(move |all| all[d].as_ref()).flatten();
            from.chain(to)
        };
        links().for_each(|l| set_cut(l, Direction::Both, true));
        sleep(duration).await;
        links().for_each(|l| set_cut(l, Direction::Both, false));
    }

    /// Writes files with another quota, and lets the quota servers and then the nodes read them.
    pub async fn change_quota(&self, percent: u32, nodes: &[Rc<ManagedProcess>]) {
        // If a file could not be written, no process is signalled.
        if self.write(percent).is_ok() {
            self.processes.iter().for_each(|d| d.reload());
            sleep(QUOTA_SERVER_HEAD_START).await;
            nodes.iter().for_each(|n| n.reload());
        }
    }
}

/// Returns a budget line for the lease of each key range; an empty text without sites.
fn key_leases(script: &Script) -> String {
    let sites = script.sites.min(script.nodes);
    let site = |node: u32| node / (script.nodes / sites);
    let budget =
        |n: u32| format!("  (budget home:s{}/n{n} (per moment) (whole 1) (longest 500 ms))\n", site(n));
    (0..script.nodes).filter(|_| sites > 0).map(budget).collect()
}

fn set_cut(link: &Link, direction: Direction, cut: bool) {
    link.change(|s| {
        let set = |faults: &mut LinkFaults| faults.cut = cut;
        if direction.covers(true) {
            set(&mut s.forward);
        }
        if direction.covers(false) {
            set(&mut s.backward);
        }
    });
}

/// How long unused units of a budget are kept, in microseconds.
pub const BURST: Micros = 200_000;
