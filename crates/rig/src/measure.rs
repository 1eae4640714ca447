//! Measurements of sites: real nodes of several sites on loopback, and for comparison real nodes without sites in the same run, with equal
//! clients and simulated backend servers. Prints figures and draws plots; it applies no limits to them.

use crate::addresses::{allocate_address, process_loopback};
use crate::http::{Message, Reader};
use crate::relay::{udp, Link};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use shorepath_lab::plot::{Plot, PlotError, Series};
use shorepath_message_auth::keyring::Keys;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::{watch, Semaphore};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Authentication key of the test fleet; it is no secret.
const KEY: &str = "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677";
/// Timeout of a node's start, of a log line that is waited for, and of a closed account's propagation.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a client's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of jobs that a simulated server runs at once.
const SERVER_SLOTS: usize = 5;
/// Duration of a job at a warm server.
const JOB_TIME: Duration = Duration::from_millis(100);
const SERVERS_PER_SITE: usize = 3;
/// Jobs a second that all servers of a site complete together when they are warm.
const SITE_CAPACITY: f64 = 150.0;
const WARM_UP: Duration = Duration::from_secs(10);
/// Share of its warm speed that a server has at the start of the warm-up.
const COLD_SHARE: f64 = 0.2;
/// Multiple of the jobs that a server which is warming up can complete in [`OVERLOAD_WINDOW`], above which arrivals count as an overload.
const OVERLOAD_MULTIPLE: f64 = 4.0;
const OVERLOAD_WINDOW: Duration = Duration::from_secs(2);
const CLIENTS_PER_SITE: usize = 50;
const SITE_COUNT: usize = 3;

/// An error that prevents a measurement.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// A process, socket or file operation failed.
    #[error("{0}; check that the program is built (--program) and that the disk isn't full")]
    System(#[from] std::io::Error),
    /// A node did not log an expected line in time.
    #[error("a node did not log '{expected}' in time; its log ends with:\n{log}")]
    LogTimeout {
        /// The text that the line must contain.
        expected: String,
        /// The last lines of the node's log.
        log: String,
    },
    /// A plot could not be drawn.
    #[error("{0}")]
    Plot(#[from] PlotError),
}

type MeasureResult<T> = Result<T, MeasureError>;

fn print_line(text: &str) {
    use std::io::Write;
    // Ignores a closed pipe, which `println!` would panic on.
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Returns the machine's load averages over 1, 5 and 15 minutes.
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}

/// Returns the quantile of the values at the given share, from 0 to 1; NaN if there are none.
fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.max(1) - 1).copied().unwrap_or(f64::NAN)
}

/// A simulated backend server with a limited number of concurrent jobs.
struct Server {
    address: SocketAddr,
    slots: Semaphore,
    up: Cell<bool>,
    job_time: Duration,
    /// When the server was restarted; `None` while it runs since the start of the measurement.
    started_at: Cell<Option<Instant>>,
    /// Incremented by each kill, which closes all connections.
    kills: watch::Sender<u32>,
    /// Arrivals of jobs within the overload window.
    arrivals: RefCell<VecDeque<Instant>>,
    overload_failures: Cell<u32>,
}

impl Server {
    async fn start(slots: usize, job_time: Duration) -> MeasureResult<Rc<Server>> {
        let listener = TcpListener::bind((process_loopback(), 0)).await?;
        let server = Rc::new(Server {
            address: listener.local_addr()?,
            slots: Semaphore::new(slots),
            up: Cell::new(true),
            job_time,
            started_at: Cell::new(None),
            kills: watch::channel(0).0,
            arrivals: RefCell::default(),
            overload_failures: Cell::new(0),
        });
        let accepting = server.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (serving, mut kills) = (accepting.clone(), accepting.kills.subscribe());
                if serving.up.get() {
                    spawn_local(async move {
                        tokio::select! {
                            _ = serving.serve_connection(stream) => {}
                            _ = kills.changed() => {}
                        }
                    });
                }
            }
        });
        Ok(server)
    }

    /// Returns the server's speed as a share of its warm speed.
    fn speed(&self) -> f64 {
        let uptime = self.started_at.get().map_or(WARM_UP, |at| at.elapsed());
        COLD_SHARE + (1.0 - COLD_SHARE) * (uptime.as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0)
    }

    /// Counts a job that arrives, and an overload failure if a server that is warming up gets too many of them.
    fn record_arrival(&self) {
        let (mut arrivals, now) = (self.arrivals.borrow_mut(), Instant::now());
        arrivals.push_back(now);
        while arrivals.front().is_some_and(|at| now - *at > OVERLOAD_WINDOW) {
            arrivals.pop_front();
        }
        let capacity =
            SERVER_SLOTS as f64 / JOB_TIME.as_secs_f64() * self.speed() * OVERLOAD_WINDOW.as_secs_f64();
        let limit = OVERLOAD_MULTIPLE * capacity + 3.0 * (OVERLOAD_MULTIPLE * capacity).sqrt() + 3.0;
        if self.speed() < 1.0 && arrivals.len() as f64 > limit {
            self.overload_failures.set(self.overload_failures.get() + 1);
            arrivals.clear();
        }
    }

    async fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        while let Some(job) = reader.next(false).await? {
            self.record_arrival();
            let id = job.field("request-id").unwrap_or("");
            let line = |state| format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":{state}}}\n");
            let (started, done) = (line("\"started\""), line("\"done\",\"result\":\"1\""));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", started.len() + done.len());
            let Ok(_slot) = self.slots.acquire().await else { return Ok(()) };
            if self.job_time.is_zero() {
                write.write_all((head + &started + &done).as_bytes()).await?;
                continue;
            }
            write.write_all((head + &started).as_bytes()).await?;
            sleep(self.job_time.div_f64(self.speed())).await;
            write.write_all(done.as_bytes()).await?;
        }
        Ok(())
    }

    fn kill(&self) {
        self.up.set(false);
        self.kills.send_modify(|n| *n += 1);
    }

    fn restart(&self) {
        self.started_at.set(Some(Instant::now()));
        self.up.set(true);
    }
}

/// A log line and when it was read.
type Line = (Instant, String);
type Connection = (Reader<OwnedReadHalf>, OwnedWriteHalf);

/// A process of the node's program with its log.
struct Process {
    child: Child,
    address: SocketAddr,
    log: Rc<RefCell<Vec<Line>>>,
}

impl Process {
    async fn start(program: &Path, args: &[String], config: &Value, file: &Path) -> MeasureResult<Process> {
        std::fs::write(file, config.to_string())?;
        let mut child = Command::new(program)
            .args(["serve", "--no-handover", "--config"])
            .arg(file)
            .args(args)
            .env_remove("ROUTER_DISCOVERY")
            .env_remove("ROUTER_MGMT")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let log = Rc::new(RefCell::new(Vec::<Line>::new()));
        if let Some(text) = child.stderr.take() {
            let log = log.clone();
            spawn_local(async move {
                let mut lines = BufReader::new(text).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    log.borrow_mut().push((Instant::now(), line));
                }
            });
        }
        let mut process = Process { child, address: ([127, 0, 0, 1], 1).into(), log };
        let line = process.wait_for_log(" serves on ").await?;
        process.address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).unwrap_or(process.address);
        Ok(process)
    }

    /// Waits for a log line that contains the text, and returns the first one.
    async fn wait_for_log(&self, expected: &str) -> MeasureResult<String> {
        let begin = Instant::now();
        loop {
            let found = self.log.borrow().iter().find(|l| l.1.contains(expected)).map(|l| l.1.clone());
            if let Some(line) = found {
                return Ok(line);
            }
            if begin.elapsed() > START_TIMEOUT {
                let log = self.log.borrow();
                let log = log.iter().rev().take(5).rev().map(|l| l.1.as_str()).collect::<Vec<_>>().join("\n");
                return Err(MeasureError::LogTimeout { expected: expected.to_string(), log });
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id().and_then(|id| Pid::from_raw(id as i32)) {
            // Fails only if the process has just exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns the processor time of all threads so far, in microseconds, and the resident memory, in bytes.
    fn usage(&self) -> (f64, f64) {
        let folder = format!("/proc/{}", self.child.id().unwrap_or(0));
        let first = |path: &Path| {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            text.split(' ').next().and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0)
        };
        let tasks = std::fs::read_dir(format!("{folder}/task")).into_iter().flatten().flatten();
        let time = tasks.map(|t| first(&t.path().join("schedstat")) / 1e3).sum();
        let text = std::fs::read_to_string(format!("{folder}/statm")).unwrap_or_default();
        let pages: f64 = text.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
        (time, pages * 4096.0)
    }
}

/// Nodes with or without sites, their simulated servers and their files.
struct Fleet {
    program: PathBuf,
    dir: PathBuf,
    /// Number of nodes of each site.
    nodes_by_site: Vec<usize>,
    with_sites: bool,
    servers: Vec<Vec<Rc<Server>>>,
    nodes: RefCell<Vec<Process>>,
    /// Links by sending and receiving node; `None` where links can't be cut.
    links: Vec<Vec<Option<Link>>>,
    /// Idle client connections by node.
    connections: Vec<RefCell<Vec<Connection>>>,
    last_id: Cell<u64>,
}

impl Fleet {
    /// Writes the files, starts the simulated servers and the nodes, and waits until all nodes with sites have confirmed account status.
    async fn start(
        program: &Path,
        dir: &Path,
        nodes_by_site: &[usize],
        (with_sites, cuttable): (bool, bool),
        (slots, job_time): (usize, Duration),
    ) -> MeasureResult<Rc<Fleet>> {
        let dir = dir.join(if with_sites { "with" } else { "without" });
        let n: usize = nodes_by_site.iter().sum();
        let mut servers = Vec::new();
        for _ in nodes_by_site {
            let mut site_servers = Vec::new();
            for _ in 0..SERVERS_PER_SITE {
                site_servers.push(Server::start(slots, job_time).await?);
            }
            servers.push(site_servers);
        }
        let peer_addresses = (0..n).map(|_| allocate_address()).collect::<Result<Vec<_>, _>>()?;
        let mut fleet = Fleet {
            program: program.to_path_buf(),
            dir,
            nodes_by_site: nodes_by_site.to_vec(),
            with_sites,
            servers,
            nodes: RefCell::default(),
            links: Vec::new(),
            connections: (0..n).map(|_| RefCell::default()).collect(),
            last_id: Cell::new(0),
        };
        for node in 0..n {
            let (mut links, mut text) = (Vec::new(), String::new());
            text +=
                "(sites (version 1) (fleet \"measure\") (key \"fleet.key\") (accounts \"accounts.sexp\")\n \
                     (confirm 2 s) (alone 2500 ms) (hold 5 s)\n";
            for site in 0..nodes_by_site.len() {
                text += &format!(" (site s{site}");
                for other in fleet.nodes_of(site) {
                    let mut reached_at = peer_addresses[other];
                    let link = match cuttable && other != node {
                        true => Some(udp(peer_addresses[other], (node * n + other) as u64).await?),
                        false => None,
                    };
                    reached_at = link.as_ref().map_or(reached_at, |l| l.address);
                    links.push(link);
                    text += &format!(" (node n{other} \"{reached_at}\")");
                }
                text += &format!(" (bears {SITE_CAPACITY}))\n");
            }
            for site in 0..nodes_by_site.len() {
                text += &format!(" (lend s{site} (class zone-plan (part 3)))\n");
            }
            fleet.links.push(links);
            let folder = fleet.folder(node);
            std::fs::create_dir_all(&folder)?;
            std::fs::write(folder.join("sites.sexp"), text + ")")?;
            std::fs::write(folder.join("fleet.key"), KEY)?;
            std::fs::set_permissions(folder.join("fleet.key"), std::fs::Permissions::from_mode(0o600))?;
            fleet.write_accounts_file(node, "(accounts (number 1))")?;
        }
        for node in 0..n {
            let process = fleet.start_node(node).await?;
            fleet.nodes.borrow_mut().push(process);
        }
        if with_sites {
            for node in fleet.nodes.get_mut() {
                node.wait_for_log("standing is confirmed").await?;
                node.wait_for_log("guarded work is taken").await?;
            }
        }
        Ok(Rc::new(fleet))
    }

    fn folder(&self, node: usize) -> PathBuf {
        self.dir.join(format!("n{node}"))
    }

    /// Returns the nodes of a site.
    fn nodes_of(&self, site: usize) -> std::ops::Range<usize> {
        let before: usize = self.nodes_by_site.iter().take(site).sum();
        before..before + self.nodes_by_site[site]
    }

    fn site_of(&self, node: usize) -> usize {
        (0..self.nodes_by_site.len()).find(|s| self.nodes_of(*s).contains(&node)).unwrap_or(0)
    }

    fn write_accounts_file(&self, node: usize, text: &str) -> MeasureResult<()> {
        let keys = Keys::read(KEY).map_err(std::io::Error::other)?;
        let code: String = keys.mac(text.as_bytes()).iter().map(|b| format!("{b:02x}")).collect();
        std::fs::write(self.folder(node).join("accounts.sexp.hmac"), code)?;
        Ok(std::fs::write(self.folder(node).join("accounts.sexp"), text)?)
    }

    async fn start_node(&self, node: usize) -> MeasureResult<Process> {
        let site = self.site_of(node);
        let member = |(k, s): (usize, &Rc<Server>)| {
            let uptime = s.started_at.get().map(|at| at.elapsed());
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let started_at = uptime.map_or(0, |uptime| unix.saturating_sub(uptime).as_millis() as u64);
            json!({"id": format!("s{site}-{k}"), "host_port": s.address.to_string(), "locality": "a",
                   "flavor": "standard", "cell": 0, "phase": "active", "size": 1.0, "up_since_ms": started_at})
        };
        let members: Vec<Value> = self.servers[site].iter().enumerate().map(member).collect();
        let class = |name: &str, semantics: &str| {
            json!({"name": name, "semantics": semantics, "target_ms": 1000.0, "deadline_ms": 5000.0,
                   "late_worth": 0.3, "worth": 3.0, "stream": false, "group": "all", "dedup_window_ms": 5000.0})
        };
        let config = json!({
            "name": format!("n{node}"), "listen": format!("{}:0", process_loopback()), "discovery": "127.0.0.1:1",
            "mgmt": format!("{}:0", process_loopback()), "seed": format!("{:016x}", node + 1),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 41, "complete": true, "members": members},
            "settings": {
                "allowed": {"cancel": false, "conn_idle_ms": 60000.0, "connect_timeout_ms": 1000.0,
                            "max_retry_after_ms": 2000.0, "retry_after": true, "try_limit": 3, "probing": true},
                "classes": [class("zone-plan", "free"), class("actuator-cmd", "single_shot")],
                "family_info": {"tells_start": true, "class_kind": [-1, -1], "class_stretch": [2.0, 2.0]},
                "kinds": ["standard"],
                "projects": [{"name": "acme", "portion": 1.0, "quota_rps": 100000.0}],
                "rules": {"drain_grace_ms": 500.0, "cold_share": COLD_SHARE, "cold_ms": WARM_UP.as_millis() as f64,
                          "tip_multiple": OVERLOAD_MULTIPLE, "fall_ms": OVERLOAD_WINDOW.as_millis() as f64, "answer_slack_ms": 16.0},
                "granularity_ms": 4.0, "over_share_worth": 0.2, "rank": node - self.nodes_of(site).start,
                "replicas_of_me": self.nodes_by_site[site], "discovery": "pushed", "weights": "nominal", "zone": "a",
                "azs": ["a"]
            }
        });
        let folder = self.folder(node);
        let path = |name: &str| folder.join(name).display().to_string();
        let args = match self.with_sites {
            true => vec!["--sites".into(), path("sites.sexp"), "--state".into(), path("state")],
            false => Vec::new(),
        };
        Process::start(&self.program, &args, &config, &folder.join("config.json")).await
    }

    /// Sends a request to a node over a kept connection, or a new one, and returns the response.
    async fn send_request(&self, node: usize, target: &str, more_fields: &str) -> std::io::Result<Message> {
        let address = self.nodes.borrow()[node].address;
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id:x}\r\nTenant: acme\r\n\
             Request-Timeout: {}m\r\n{more_fields}Content-Length: 0\r\n\r\n",
            REQUEST_TIMEOUT.as_millis()
        );
        loop {
            let kept = self.connections[node].borrow_mut().pop();
            let reused = kept.is_some();
            let (mut reader, mut writer) = match kept {
                Some(kept) => kept,
                None => {
                    let stream = TcpStream::connect(address).await?;
                    stream.set_nodelay(true)?;
                    let (read, write) = stream.into_split();
                    (Reader::new(read), write)
                }
            };
            let response = match writer.write_all(text.as_bytes()).await {
                Ok(()) => reader.next(true).await,
                Err(e) => Err(e),
            };
            match response {
                Ok(Some(response)) => {
                    self.connections[node].borrow_mut().push((reader, writer));
                    return Ok(response);
                }
                // The node closed the idle connection meanwhile.
                _ if reused => continue,
                Ok(None) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                Err(e) => return Err(e),
            }
        }
    }

    /// Kills all nodes and servers of a site.
    fn kill_site(&self, site: usize) {
        self.nodes_of(site).for_each(|node| {
            self.nodes.borrow()[node].signal(Signal::KILL);
            self.connections[node].borrow_mut().clear();
        });
        self.servers[site].iter().for_each(|s| s.kill());
    }

    /// Restarts all nodes and servers of a site.
    async fn restart_site(&self, site: usize) -> MeasureResult<()> {
        self.servers[site].iter().for_each(|s| s.restart());
        for node in self.nodes_of(site) {
            let process = self.start_node(node).await?;
            let old = std::mem::replace(&mut self.nodes.borrow_mut()[node], process);
            let nodes = self.nodes.borrow_mut();
            // Keeps the log lines of the previous process.
            let lines: Vec<Line> = old.log.borrow().clone();
            nodes[node].log.borrow_mut().splice(0..0, lines);
        }
        Ok(())
    }

    /// Cuts or restores the links between a site and the others.
    fn cut(&self, site: usize, cut: bool) {
        for (node, links) in self.links.iter().enumerate() {
            for (other, link) in links.iter().enumerate() {
                let crosses = (self.site_of(node) == site) != (self.site_of(other) == site);
                if let Some(link) = link.as_ref().filter(|_| crosses) {
                    link.change(|s| (s.forward.cut, s.backward.cut) = (cut, cut));
                }
            }
        }
    }
}

/// The outcome of one request.
struct Outcome {
    /// When the request was sent, in seconds since the load started.
    at: f64,
    /// The client's home site.
    site: usize,
    /// The site that served the request; `None` if none did.
    serving_site: Option<usize>,
    /// Durations of rejected attempts, in milliseconds.
    refusals: Vec<f64>,
    /// Description of the last response.
    last_reply: String,
}

/// The load of all sites' clients: an open loop with a constant mean rate at each site.
struct Load {
    fleet: Rc<Fleet>,
    begin: Instant,
    length: Duration,
    outcomes: RefCell<Vec<Outcome>>,
    /// When each client goes back to its home site, by site and client.
    away_until: RefCell<Vec<Vec<Instant>>>,
    rng: RefCell<ChaCha8Rng>,
    open_requests: Cell<u32>,
}

impl Load {
    fn new(fleet: &Rc<Fleet>, length: Duration) -> Rc<Load> {
        let begin = Instant::now();
        Rc::new(Load {
            fleet: fleet.clone(),
            begin,
            length,
            outcomes: RefCell::default(),
            away_until: RefCell::new(vec![vec![begin; CLIENTS_PER_SITE]; fleet.nodes_by_site.len()]),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(7)),
            open_requests: Cell::new(0),
        })
    }

    /// Sends the requests of a site's clients with exponentially distributed gaps, and waits for the last outcome.
    async fn run_clients(self: Rc<Self>, site: usize, rate: f64) {
        let mut rng = ChaCha8Rng::seed_from_u64(100 + site as u64);
        let mut at = self.begin;
        loop {
            let gap: f64 = Exp1.sample(&mut rng);
            at += Duration::from_secs_f64(gap / rate);
            if at - self.begin >= self.length {
                break;
            }
            sleep_until(at).await;
            let (load, client) = (self.clone(), rng.random_range(0..CLIENTS_PER_SITE));
            self.open_requests.set(self.open_requests.get() + 1);
            spawn_local(async move {
                let (mut refusals, mut serving_site, mut last_reply) =
                    (Vec::new(), None, "nothing in time".to_string());
                let request = load.request(site, client, &mut refusals, &mut serving_site, &mut last_reply);
                // A request that times out counts as not served.
                let _ = timeout(REQUEST_TIMEOUT + Duration::from_millis(200), request).await;
                let at = (at - load.begin).as_secs_f64();
                load.outcomes.borrow_mut().push(Outcome { at, site, serving_site, refusals, last_reply });
                load.open_requests.set(load.open_requests.get() - 1);
            });
        }
        while self.open_requests.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request to the client's home site and then to one other site. A client whose home site recently failed, or rejected a request
    /// with a reason, tries two other sites.
    async fn request(
        &self,
        site: usize,
        client: usize,
        refusals: &mut Vec<f64>,
        serving_site: &mut Option<usize>,
        last_reply: &mut String,
    ) {
        let avoids_home = self.away_until.borrow()[site][client] > Instant::now();
        let other = (site + self.rng.borrow_mut().random_range(1..self.fleet.nodes_by_site.len()))
            % self.fleet.nodes_by_site.len();
        let third = (0..self.fleet.nodes_by_site.len()).find(|s| *s != site && *s != other).unwrap_or(other);
        let order = if avoids_home { [other, third] } else { [site, other] };
        for target in order {
            let nodes = self.fleet.nodes_of(target);
            let node = nodes.start + self.rng.borrow_mut().random_range(0..nodes.len());
            let begin = Instant::now();
            let result =
                self.fleet.send_request(node, "/zone-plan", &format!("Home-Site: s{site}\r\n")).await;
            let avoid_home = |after: f64| {
                self.away_until.borrow_mut()[site][client] = Instant::now() + Duration::from_secs_f64(after)
            };
            *last_reply = result.as_ref().map_or("no connection".to_string(), |a| {
                format!(
                    "status {}, {}",
                    a.start_line.1,
                    a.field("refused-because").unwrap_or("without a reason")
                )
            });
            let Ok(response) = result else {
                if target == site {
                    avoid_home(0.5 + self.rng.borrow_mut().random::<f64>());
                }
                continue;
            };
            let seconds = |name: &str| response.field(name).and_then(|t| t.parse::<f64>().ok());
            match (response.start_line.1.as_str(), response.field("refused-because")) {
                ("200", _) => {
                    *serving_site = Some(target);
                    // The response may shorten the time for which the client avoids its home site, and never extends it.
                    if let Some(after) = seconds("come-back") {
                        let at = Instant::now() + Duration::from_secs_f64(after);
                        let mut away_until = self.away_until.borrow_mut();
                        away_until[site][client] = away_until[site][client].min(at);
                    }
                    return;
                }
                (_, Some(_)) => {
                    refusals.push(begin.elapsed().as_secs_f64() * 1e3);
                    if target != site {
                        return;
                    }
                    avoid_home(seconds("retry-after").unwrap_or(1.0));
                }
                _ => return,
            }
        }
    }

    /// Returns the share of the sites' requests in an interval that were served, by their home site or by any site.
    fn served(&self, sites: &[usize], (from, to): (f64, f64), at_home: bool) -> f64 {
        let all = self.outcomes.borrow();
        let selected = all.iter().filter(|b| sites.contains(&b.site) && (from..to).contains(&b.at));
        let (mut count, mut served) = (0u32, 0u32);
        for b in selected {
            count += 1;
            served += u32::from(b.serving_site.is_some_and(|s| !at_home || s == b.site));
        }
        f64::from(served) / f64::from(count.max(1))
    }

    /// Lists the last responses to requests that were not served in an interval, with their numbers.
    fn unserved(&self, (from, to): (f64, f64)) -> String {
        let mut counts = BTreeMap::<String, u32>::new();
        let all = self.outcomes.borrow();
        let unserved = all.iter().filter(|b| b.serving_site.is_none() && (from..to).contains(&b.at));
        unserved.for_each(|b| *counts.entry(b.last_reply.clone()).or_default() += 1);
        counts.iter().map(|(last_reply, n)| format!("{n} times {last_reply}")).collect::<Vec<_>>().join(", ")
    }

    /// Returns the share of served requests over time, in steps of two seconds.
    fn served_series(&self, name: &str, sites: &[usize]) -> Series {
        let steps = (self.length.as_secs_f64() / 2.0) as usize;
        let step = |k: usize| (k as f64 * 2.0, (k + 1) as f64 * 2.0);
        let points = (0..steps).map(|k| (step(k).0 + 1.0, self.served(sites, step(k), false), None));
        Series { name: name.to_string(), points: points.collect() }
    }
}

/// Interval before the fault for which baselines are computed, in seconds.
const BASELINE: (f64, f64) = (8.0, 19.0);
/// Start of the fault, in seconds.
const FAULT_START: f64 = 20.0;
/// Time by which the other sites have detected the fault, in seconds.
const FAULT_KNOWN: f64 = 28.0;
/// End of the fault of a lost site and of a site that was cut off, in seconds.
const FAULT_END: (f64, f64) = (42.0, 54.0);
/// Length of the run after the end of the fault, in seconds.
const TIME_AFTER_FAULT: f64 = 34.0;

/// Returns the greatest number of log lines with the text at any node.
fn max_log_lines(fleet: &Fleet, text: &str) -> usize {
    let nodes = fleet.nodes.borrow();
    let count = |p: &Process| p.log.borrow().iter().filter(|l| l.1.contains(text)).count();
    nodes.iter().map(count).max().unwrap_or(0)
}

/// Returns the durations of requests to an unknown path, in milliseconds: the part of each response time that no routing decision takes.
async fn measure_unrouted_requests(load: Rc<Load>) -> Vec<f64> {
    let mut durations = Vec::new();
    while load.begin.elapsed() < load.length {
        let begin = Instant::now();
        if load.fleet.send_request(0, "/nothing", "").await.is_ok() {
            durations.push(begin.elapsed().as_secs_f64() * 1e3);
        }
        sleep(Duration::from_millis(20)).await;
    }
    durations
}

/// Kills the last site, or cuts it off, at a load given as a share of the capacity, for nodes with and without sites side by side.
async fn measure_site_fault(program: &Path, out: &Path, load: f64, cut_off: bool) -> MeasureResult<()> {
    let fault = (FAULT_START, if cut_off { FAULT_END.1 } else { FAULT_END.0 });
    let length = fault.1 + TIME_AFTER_FAULT;
    let dir = tempfile::tempdir()?;
    let before = load_average();
    let mut loads = Vec::new();
    for with_sites in [true, false] {
        let fleet = Fleet::start(
            program,
            dir.path(),
            &[2; SITE_COUNT],
            (with_sites, cut_off),
            (SERVER_SLOTS, JOB_TIME),
        )
        .await?;
        loads.push(fleet);
    }
    let loads: Vec<Rc<Load>> = loads.iter().map(|f| Load::new(f, Duration::from_secs_f64(length))).collect();
    let drivers: Vec<_> = loads
        .iter()
        .flat_map(|l| {
            (0..SITE_COUNT).map(move |site| spawn_local(l.clone().run_clients(site, SITE_CAPACITY * load)))
        })
        .collect();
    let unrouted_tasks: Vec<_> =
        loads.iter().map(|l| spawn_local(measure_unrouted_requests(l.clone()))).collect();
    let begin = loads[0].begin;
    let wait_until = |at: f64| sleep_until(begin + Duration::from_secs_f64(at));
    let lost_site = SITE_COUNT - 1;
    let usage = |l: &Rc<Load>| l.fleet.nodes.borrow().iter().map(|n| n.usage().0).sum::<f64>();
    wait_until(BASELINE.0).await;
    let start: Vec<f64> = loads.iter().map(usage).collect();
    wait_until(BASELINE.1).await;
    let seconds = BASELINE.1 - BASELINE.0;
    let rate = SITE_COUNT as f64 * SITE_CAPACITY * load * seconds;
    for (l, start) in loads.iter().zip(start) {
        let (name, time) = (if l.fleet.with_sites { "with sites" } else { "without" }, usage(l) - start);
        let nodes = l.fleet.nodes.borrow().len() as f64;
        let share = time / (seconds * 1e4 * nodes);
        print_line(&format!(
            "{name}: with all sites connected, a node uses {share:.2}% of a core, and all nodes together {:.0} us per request",
            time / rate
        ));
    }
    wait_until(fault.0).await;
    loads
        .iter()
        .for_each(|l| if cut_off { l.fleet.cut(lost_site, true) } else { l.fleet.kill_site(lost_site) });
    wait_until(fault.1).await;
    for l in &loads {
        if cut_off {
            l.fleet.cut(lost_site, false);
        } else {
            l.fleet.restart_site(lost_site).await?;
        }
    }
    for driver in drivers {
        // A panic has been printed already.
        let _ = driver.await;
    }
    let mut unrouted = Vec::new();
    for task in unrouted_tasks {
        unrouted.push(task.await.unwrap_or_default());
    }
    let others: Vec<usize> = (0..lost_site).collect();
    let what = if cut_off { "cut off" } else { "lost" };
    print_line(&format!(
        "one of {SITE_COUNT} sites {what}, load {load}; load averages of the machine {before} before, {} after",
        load_average()
    ));
    for (l, unrouted) in loads.iter().zip(&unrouted) {
        let name = if l.fleet.with_sites { "with sites" } else { "without" };
        let steady = (FAULT_KNOWN, fault.1);
        print_line(&format!(
            "  {name}: share of the other sites' requests served by their home site {:.3} before, {:.3} while the site is {what}, {:.3} once that is detected, {:.3} after",
            l.served(&others, BASELINE, true),
            l.served(&others, fault, true),
            l.served(&others, steady, true),
            l.served(&others, (fault.1, length - 2.0), true)
        ));
        print_line(&format!(
            "  {name}: share of the {what} site's requests served by any site {:.3} before, {:.3} while the site is {what}, {:.3} once that is detected, {:.3} after",
            l.served(&[lost_site], BASELINE, false),
            l.served(&[lost_site], fault, false),
            l.served(&[lost_site], steady, false),
            l.served(&[lost_site], (fault.1, length - 2.0), false)
        ));
        let (spare, demand) = (SITE_CAPACITY * 2.0 * (1.0 - load), SITE_CAPACITY * load);
        let remotely_served = l.served(&[lost_site], steady, false) * demand;
        if !cut_off && spare.min(demand) > 0.0 {
            print_line(&format!(
                "  {name}: the other sites serve {:.2} of the lost site's requests that their spare capacity allows",
                remotely_served / spare.min(demand)
            ));
        }
        for (when, span) in [("before", BASELINE), ("during", fault), ("after", (fault.1, length - 2.0))] {
            print_line(&format!("  {name}: requests not served {when} the fault: {}", l.unserved(span)));
        }
        let refusals: Vec<f64> = l.outcomes.borrow().iter().flat_map(|b| b.refusals.clone()).collect();
        print_line(&format!(
            "  {name}: response time of an unknown path (404) in ms: p50 {:.2}, p99 {:.2}",
            quantile(unrouted, 0.5),
            quantile(unrouted, 0.99)
        ));
        if !refusals.is_empty() {
            print_line(&format!(
                "  {name}: {} requests rejected with a reason, response time in ms: p50 {:.2}, p99 {:.2}",
                refusals.len(),
                quantile(&refusals, 0.5),
                quantile(&refusals, 0.99)
            ));
        }
        if !cut_off {
            let baseline = l.served(&[lost_site], BASELINE, true);
            let recovered = |from: f64| l.served(&[lost_site], (from, from + 2.0), true) >= 0.9 * baseline;
            let steps = ((length - 2.0 - fault.1) * 2.0) as u32;
            let at = (0..steps).map(|k| fault.1 + f64::from(k) / 2.0).find(|from| recovered(*from));
            let text =
                at.map_or("not in this run".to_string(), |at| format!("after {:.1} s", at + 2.0 - fault.1));
            let overload_failures: u32 =
                l.fleet.servers.iter().flatten().map(|s| s.overload_failures.get()).sum();
            print_line(&format!(
                "  {name}: the lost site serves 90% of its baseline again {text} (warm-up {} s); {overload_failures} server failures from overload",
                WARM_UP.as_secs()
            ));
        }
        if l.fleet.with_sites {
            for text in ["Doubtful", "Alone", "Lost", "Returning", "WholeAgain", "Linked"] {
                let count = max_log_lines(&l.fleet, &format!(" site s{lost_site} {text} "));
                print_line(&format!("  {name}: a node logs {text} {count} times at most"));
            }
            let nodes = l.fleet.nodes.borrow();
            let log = nodes[l.fleet.nodes_of(lost_site).start].log.borrow();
            let fault_end = begin + Duration::from_secs_f64(fault.1);
            for (at, line) in log.iter().filter(|l| l.1.contains("load recovery")) {
                let text = line.split("load recovery").nth(1).unwrap_or("");
                print_line(&format!(
                    "    {:.1} s after the return of the site, load recovery{text}",
                    at.saturating_duration_since(fault_end).as_secs_f64()
                ));
            }
        }
    }
    let series = loads.iter().flat_map(|l| {
        let name = if l.fleet.with_sites { "with sites" } else { "without" };
        [
            l.served_series(&format!("clients of the other sites, {name}"), &others),
            l.served_series(&format!("clients of the {what} site, {name}"), &[lost_site]),
        ]
    });
    let plot = Plot {
        title: format!(
            "One of three sites {what} from {:.0} s to {:.0} s, load {:.0}%",
            fault.0,
            fault.1,
            load * 100.0
        ),
        x: "seconds".into(),
        y: "served / asked".into(),
        y_range: Some((0.0, 1.05)),
        series: series.collect(),
        ..Plot::default()
    };
    let file = format!("{}-{:.0}.svg", if cut_off { "alone" } else { "loss" }, load * 100.0);
    Ok(std::fs::write(out.join(file), plot.svg()?)?)
}

/// Closes an account at one of five nodes `count` times, and measures when each other node rejects its new jobs.
async fn measure_closings(program: &Path, out: &Path, count: u32) -> MeasureResult<()> {
    let (dir, before) = (tempfile::tempdir()?, load_average());
    let fleet = Fleet::start(program, dir.path(), &[2, 2, 1], (true, false), (64, Duration::ZERO)).await?;
    let (mut each, mut last) = (Vec::new(), Vec::new());
    for k in 0..count {
        let at = k as usize % 5;
        for (step, status, expected) in [(2, "closing", "403"), (3, "reopened", "200")] {
            fleet.write_accounts_file(
                at,
                &format!("(accounts (number {}) (account acme (standing {status})))", 2 * k + step),
            )?;
            let begin = Instant::now();
            fleet.nodes.borrow()[at].signal(Signal::HUP);
            let polls = (0..5).filter(|n| *n != at).map(|node| {
                let fleet = fleet.clone();
                spawn_local(async move {
                    while begin.elapsed() < START_TIMEOUT {
                        let response = fleet.send_request(node, "/zone-plan", "").await;
                        if response.is_ok_and(|a| a.start_line.1 == expected) {
                            return Some(begin.elapsed().as_secs_f64() * 1e3);
                        }
                        sleep(Duration::from_millis(1)).await;
                    }
                    None
                })
            });
            let mut durations = Vec::new();
            for poll in polls.collect::<Vec<_>>() {
                durations.push(poll.await.ok().flatten().unwrap_or(f64::INFINITY));
            }
            if expected == "403" {
                last.push(durations.iter().copied().fold(0.0, f64::max));
                each.extend(durations);
            }
        }
    }
    print_line(&format!(
        "{count} closings of an account at one of 5 nodes; load averages of the machine {before} before, {} after",
        load_average()
    ));
    for (name, all) in [("each other node", &each), ("the last of them", &last)] {
        let [p50, p99, maximum] = [0.5, 0.99, 1.0].map(|share| quantile(all, share));
        print_line(&format!(
            "  {name} rejects new jobs of the account, delay in ms: p50 {p50:.1}, p99 {p99:.1}, maximum {maximum:.1} ({} samples)",
            all.len()
        ));
    }
    let line = |name: &str, all: &[f64]| {
        let mut all = all.to_vec();
        all.sort_by(f64::total_cmp);
        let points = all.iter().enumerate().map(|(k, t)| (*t, (k + 1) as f64 / all.len() as f64, None));
        Series { name: name.into(), points: points.collect() }
    };
    let plot = Plot {
        title: "From SIGHUP at one node until others refuse new work".into(),
        x: "ms".into(),
        y: "part".into(),
        log_x: true,
        y_range: Some((0.0, 1.02)),
        series: vec![line("each other node", &each), line("the last of them", &last)],
    };
    Ok(std::fs::write(out.join("closing.svg"), plot.svg()?)?)
}

/// Sends `each` consecutive requests from each client, and returns their durations in milliseconds; infinite if not served.
async fn measure_requests(fleet: &Rc<Fleet>, target: &'static str, clients: u32, each: u32) -> Vec<f64> {
    let tasks = (0..clients).map(|_| {
        let fleet = fleet.clone();
        spawn_local(async move {
            let mut durations = Vec::new();
            for _ in 0..each {
                let begin = Instant::now();
                let served = fleet.send_request(0, target, "").await.is_ok_and(|a| a.start_line.1 == "200");
                durations.push(if served { begin.elapsed().as_secs_f64() * 1e3 } else { f64::INFINITY });
            }
            durations
        })
    });
    let mut all = Vec::new();
    for task in tasks.collect::<Vec<_>>() {
        all.extend(task.await.unwrap_or_default());
    }
    all
}

/// Measures the processor time and memory that a request takes at its node, alternating between nodes with and without sites.
async fn measure_costs(program: &Path, rounds: u32, each: u32) -> MeasureResult<()> {
    let (dir, before) = (tempfile::tempdir()?, load_average());
    let mut fleets = Vec::new();
    for with_sites in [true, false] {
        let nodes_by_site: &[usize] = if with_sites { &[1; SITE_COUNT] } else { &[1] };
        fleets.push(
            Fleet::start(program, dir.path(), nodes_by_site, (with_sites, false), (64, Duration::ZERO))
                .await?,
        );
    }
    let usage = |f: &Fleet, node: usize| f.nodes.borrow()[node].usage();
    for (target, clients, each) in
        [("/zone-plan", 8, each / 8), ("/actuator-cmd", 1, each / 8), ("/actuator-cmd", 16, each / 32)]
    {
        let mut cost = [Vec::new(), Vec::new()];
        let (mut durations, mut memory_growth, mut other_site_cost) =
            ([Vec::new(), Vec::new()], [0.0, 0.0], 0.0);
        for round in 0..=rounds {
            for (k, f) in fleets.iter().enumerate() {
                let (time, memory) = usage(f, 0);
                let other = if f.with_sites { usage(f, 1).0 } else { 0.0 };
                let all = measure_requests(f, target, clients, each).await;
                // Round 0 is a warm-up and isn't counted.
                if round > 0 {
                    cost[k].push((usage(f, 0).0 - time) / all.len() as f64);
                    memory_growth[k] += (usage(f, 0).1 - memory) / (all.len() as f64 * f64::from(rounds));
                    other_site_cost += if f.with_sites {
                        (usage(f, 1).0 - other) / (all.len() as f64 * f64::from(rounds))
                    } else {
                        0.0
                    };
                    durations[k].extend(all);
                }
            }
        }
        print_line(&format!("{target}, {clients} concurrent clients, {} requests each with and without sites in {rounds} rounds; load averages of the machine {before} before, {} now", durations[0].len(), load_average()));
        for (k, name) in ["with sites", "without"].iter().enumerate() {
            let [low, mid, high] = [0.0, 0.5, 1.0].map(|share| quantile(&cost[k], share));
            let [p50, p99] = [0.5, 0.99].map(|share| quantile(&durations[k], share));
            let failed = durations[k].iter().filter(|t| t.is_infinite()).count();
            print_line(&format!(
                "  {name}: {mid:.1} us of processor time per request ({low:.1} to {high:.1}); response time in ms: p50 {p50:.3}, p99 {p99:.3}; \
                 {failed} requests not served; memory grows by {:.0} bytes per request",
                memory_growth[k]
            ));
        }
        print_line(&format!(
            "  a node of another site uses {other_site_cost:.1} us of processor time per request meanwhile"
        ));
    }
    let idle = Duration::from_secs(5);
    let before: Vec<f64> = fleets.iter().map(|f| usage(f, 0).0).collect();
    sleep(idle).await;
    for (f, before) in fleets.iter().zip(before) {
        let share = (usage(f, 0).0 - before) / idle.as_micros() as f64;
        let name = if f.with_sites { "with sites" } else { "without" };
        print_line(&format!("idle, {name}: {:.2}% of a core", share * 100.0));
    }
    Ok(())
}

/// The measurements to run.
#[derive(Clone, Debug)]
pub struct Measurements {
    /// Number of times an account is closed; 0 skips this measurement.
    pub closings: u32,
    /// Loads at which a site is killed, as shares of the capacity of all sites.
    pub loss_loads: Vec<f64>,
    /// Loads at which a site is cut off, as shares of the capacity of all sites.
    pub isolation_loads: Vec<f64>,
    /// Number of rounds in which the cost of requests is measured, and of requests in each round; 0 rounds skip this measurement.
    pub cost: (u32, u32),
}

/// Runs the measurements with the node's program, prints the figures, and writes plots into the folder `out`.
///
/// # Errors
/// A node can't be started, does not log an expected line in time, or a plot can't be written.
pub fn measure(program: &Path, out: &Path, measurements: &Measurements) -> Result<(), MeasureError> {
    std::fs::create_dir_all(out)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        if measurements.closings > 0 {
            measure_closings(program, out, measurements.closings).await?;
        }
        if measurements.cost.0 > 0 {
            measure_costs(program, measurements.cost.0, measurements.cost.1.max(32)).await?;
        }
        for load in &measurements.loss_loads {
            measure_site_fault(program, out, *load, false).await?;
        }
        for load in &measurements.isolation_loads {
            measure_site_fault(program, out, *load, true).await?;
        }
        Ok(())
    })
}
