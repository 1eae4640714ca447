//! What sites cost and do, measured: real nodes of several sites on loopback beside real nodes without sites, in the same run and with the
//! same clients and stand-ins. Figures go to `docs/sites.md`; nothing here judges them.

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

/// The fleet's key; it guards nothing.
const KEY: &str = "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677";
/// A node serves, or says that all is confirmed, within this.
const STARTS: Duration = Duration::from_secs(20);
/// What a client waits for an answer.
const WAITS: Duration = Duration::from_secs(2);
/// A stand-in takes so many jobs at once, each for so long when it is warm.
const SLOTS: usize = 5;
const WORK: Duration = Duration::from_millis(100);
/// Stand-ins of a site, and what they do in a second when they are warm.
const SERVERS: usize = 3;
const BEARS: f64 = 150.0;
/// How long they warm up, from which part of their speed, and the rule by which a cold one is felled: see `docs/lab.md`.
const WARM_UP: Duration = Duration::from_secs(10);
const COLD: f64 = 0.2;
const TIPS: f64 = 4.0;
const WINDOW: Duration = Duration::from_secs(2);
/// Clients of a site, and sites.
const CLIENTS: usize = 50;
const SITES: usize = 3;

/// Why nothing was measured.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The system failed.
    #[error("{0}; see that the program is built (--program) and that there is room on the disk")]
    System(#[from] std::io::Error),
    /// A node is not as it has to be.
    #[error("a node did not say '{wanted}' in time; its log ends with:\n{log}")]
    Silent {
        /// What it had to say.
        wanted: String,
        /// The last lines of its log.
        log: String,
    },
    /// A plot can't be drawn.
    #[error("{0}")]
    Plot(#[from] PlotError),
}

type Done<T> = Result<T, MeasureError>;

fn say(text: &str) {
    use std::io::Write;
    // A reader that has left is no reason to panic.
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// How loaded the machine is.
fn loaded() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').take(3).collect::<Vec<_>>().join(" ")
}

/// The value below which that part lies; of nothing, not a number.
fn quantile(values: &[f64], part: f64) -> f64 {
    let mut all = values.to_vec();
    all.sort_by(f64::total_cmp);
    let at = (part * all.len() as f64).ceil() as usize;
    all.get(at.max(1) - 1).copied().unwrap_or(f64::NAN)
}

/// A stand-in backend server of limited slots.
struct Server {
    address: SocketAddr,
    slots: Semaphore,
    up: Cell<bool>,
    work: Duration,
    born: Cell<Option<Instant>>,
    deaths: watch::Sender<u32>,
    came: RefCell<VecDeque<Instant>>,
    felled: Cell<u32>,
}

impl Server {
    async fn start(slots: usize, work: Duration) -> Done<Rc<Server>> {
        let listener = TcpListener::bind((process_loopback(), 0)).await?;
        let server = Rc::new(Server {
            address: listener.local_addr()?,
            slots: Semaphore::new(slots),
            up: Cell::new(true),
            work,
            born: Cell::new(None),
            deaths: watch::channel(0).0,
            came: RefCell::default(),
            felled: Cell::new(0),
        });
        let own = server.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (own, mut deaths) = (own.clone(), own.deaths.subscribe());
                if own.up.get() {
                    spawn_local(async move {
                        tokio::select! {
                            _ = own.attend(stream) => {}
                            _ = deaths.changed() => {}
                        }
                    });
                }
            }
        });
        Ok(server)
    }

    /// What it does of what it does warm.
    fn part(&self) -> f64 {
        let since = self.born.get().map_or(WARM_UP, |at| at.elapsed());
        COLD + (1.0 - COLD) * (since.as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0)
    }

    /// Something came: a cold one that gets more than it bears would be felled.
    fn counts(&self) {
        let (mut came, now) = (self.came.borrow_mut(), Instant::now());
        came.push_back(now);
        while came.front().is_some_and(|at| now - *at > WINDOW) {
            came.pop_front();
        }
        let does = SLOTS as f64 / WORK.as_secs_f64() * self.part() * WINDOW.as_secs_f64();
        let bears = TIPS * does + 3.0 * (TIPS * does).sqrt() + 3.0;
        if self.part() < 1.0 && came.len() as f64 > bears {
            self.felled.set(self.felled.get() + 1);
            came.clear();
        }
    }

    async fn attend(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (read, mut write) = stream.into_split();
        let mut reader = Reader::new(read);
        while let Some(job) = reader.next(false).await? {
            self.counts();
            let id = job.field("request-id").unwrap_or("");
            let line = |state| format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":{state}}}\n");
            let (begun, done) = (line("\"started\""), line("\"done\",\"result\":\"1\""));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", begun.len() + done.len());
            let Ok(_slot) = self.slots.acquire().await else { return Ok(()) };
            if self.work.is_zero() {
                write.write_all((head + &begun + &done).as_bytes()).await?;
                continue;
            }
            write.write_all((head + &begun).as_bytes()).await?;
            sleep(self.work.div_f64(self.part())).await;
            write.write_all(done.as_bytes()).await?;
        }
        Ok(())
    }

    fn kill(&self) {
        self.up.set(false);
        self.deaths.send_modify(|n| *n += 1);
    }

    fn revive(&self) {
        self.born.set(Some(Instant::now()));
        self.up.set(true);
    }
}

type Line = (Instant, String);
type Connection = (Reader<OwnedReadHalf>, OwnedWriteHalf);

/// A process of the program, and its log.
struct Process {
    child: Child,
    address: SocketAddr,
    log: Rc<RefCell<Vec<Line>>>,
}

impl Process {
    async fn start(program: &Path, args: &[String], config: &Value, file: &Path) -> Done<Process> {
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
        let line = process.says(" serves on ").await?;
        process.address = line.rsplit(' ').next().and_then(|a| a.parse().ok()).unwrap_or(process.address);
        Ok(process)
    }

    /// The first line that has the text.
    async fn says(&self, wanted: &str) -> Done<String> {
        let begin = Instant::now();
        loop {
            let found = self.log.borrow().iter().find(|l| l.1.contains(wanted)).map(|l| l.1.clone());
            if let Some(line) = found {
                return Ok(line);
            }
            if begin.elapsed() > STARTS {
                let log = self.log.borrow();
                let log = log.iter().rev().take(5).rev().map(|l| l.1.as_str()).collect::<Vec<_>>().join("\n");
                return Err(MeasureError::Silent { wanted: wanted.to_string(), log });
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.child.id().and_then(|id| Pid::from_raw(id as i32)) {
            // One that has just ended needs none.
            let _ = kill_process(pid, signal);
        }
    }

    /// Processor time so far, in microseconds, of all its threads; and resident memory, in bytes.
    fn used(&self) -> (f64, f64) {
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

/// Nodes of several sites, or of none, their stand-ins and files.
struct Fleet {
    program: PathBuf,
    dir: PathBuf,
    /// How many nodes each site has.
    shape: Vec<usize>,
    with: bool,
    servers: Vec<Vec<Rc<Server>>>,
    nodes: RefCell<Vec<Process>>,
    /// From each node to each other, where links can be cut.
    links: Vec<Vec<Option<Link>>>,
    pool: Vec<RefCell<Vec<Connection>>>,
    ids: Cell<u64>,
}

impl Fleet {
    /// Files and stand-ins, and processes that serve; with sites, all standing is confirmed.
    async fn start(
        program: &Path,
        dir: &Path,
        shape: &[usize],
        (with, cuttable): (bool, bool),
        (slots, work): (usize, Duration),
    ) -> Done<Rc<Fleet>> {
        let dir = dir.join(if with { "with" } else { "without" });
        let n: usize = shape.iter().sum();
        let mut servers = Vec::new();
        for _ in shape {
            let mut own = Vec::new();
            for _ in 0..SERVERS {
                own.push(Server::start(slots, work).await?);
            }
            servers.push(own);
        }
        let at = (0..n).map(|_| allocate_address()).collect::<Result<Vec<_>, _>>()?;
        let mut fleet = Fleet {
            program: program.to_path_buf(),
            dir,
            shape: shape.to_vec(),
            with,
            servers,
            nodes: RefCell::default(),
            links: Vec::new(),
            pool: (0..n).map(|_| RefCell::default()).collect(),
            ids: Cell::new(0),
        };
        for who in 0..n {
            let (mut links, mut text) = (Vec::new(), String::new());
            text +=
                "(sites (version 1) (fleet \"measure\") (key \"fleet.key\") (accounts \"accounts.sexp\")\n \
                     (confirm 2 s) (alone 2500 ms) (hold 5 s)\n";
            for site in 0..shape.len() {
                text += &format!(" (site s{site}");
                for other in fleet.of(site) {
                    let mut seen = at[other];
                    let link = match cuttable && other != who {
                        true => Some(udp(at[other], (who * n + other) as u64).await?),
                        false => None,
                    };
                    seen = link.as_ref().map_or(seen, |l| l.address);
                    links.push(link);
                    text += &format!(" (node n{other} \"{seen}\")");
                }
                text += &format!(" (bears {BEARS}))\n");
            }
            for site in 0..shape.len() {
                text += &format!(" (lend s{site} (class zone-plan (part 3)))\n");
            }
            fleet.links.push(links);
            let folder = fleet.folder(who);
            std::fs::create_dir_all(&folder)?;
            std::fs::write(folder.join("sites.sexp"), text + ")")?;
            std::fs::write(folder.join("fleet.key"), KEY)?;
            std::fs::set_permissions(folder.join("fleet.key"), std::fs::Permissions::from_mode(0o600))?;
            fleet.accounts(who, "(accounts (number 1))")?;
        }
        for node in 0..n {
            let process = fleet.process(node).await?;
            fleet.nodes.borrow_mut().push(process);
        }
        if with {
            for node in fleet.nodes.get_mut() {
                node.says("standing is confirmed").await?;
                node.says("guarded work is taken").await?;
            }
        }
        Ok(Rc::new(fleet))
    }

    fn folder(&self, node: usize) -> PathBuf {
        self.dir.join(format!("n{node}"))
    }

    /// The nodes of a site.
    fn of(&self, site: usize) -> std::ops::Range<usize> {
        let before: usize = self.shape.iter().take(site).sum();
        before..before + self.shape[site]
    }

    fn site_of(&self, node: usize) -> usize {
        (0..self.shape.len()).find(|s| self.of(*s).contains(&node)).unwrap_or(0)
    }

    fn accounts(&self, node: usize, text: &str) -> Done<()> {
        let keys = Keys::read(KEY).map_err(std::io::Error::other)?;
        let code: String = keys.mac(text.as_bytes()).iter().map(|b| format!("{b:02x}")).collect();
        std::fs::write(self.folder(node).join("accounts.sexp.hmac"), code)?;
        Ok(std::fs::write(self.folder(node).join("accounts.sexp"), text)?)
    }

    async fn process(&self, node: usize) -> Done<Process> {
        let site = self.site_of(node);
        let member = |(k, s): (usize, &Rc<Server>)| {
            let ago = s.born.get().map(|at| at.elapsed());
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let born = ago.map_or(0, |ago| unix.saturating_sub(ago).as_millis() as u64);
            json!({"id": format!("s{site}-{k}"), "host_port": s.address.to_string(), "locality": "a",
                   "flavor": "standard", "cell": 0, "phase": "active", "size": 1.0, "up_since_ms": born})
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
                "rules": {"drain_grace_ms": 500.0, "cold_share": COLD, "cold_ms": WARM_UP.as_millis() as f64,
                          "tip_multiple": TIPS, "fall_ms": WINDOW.as_millis() as f64, "answer_slack_ms": 16.0},
                "granularity_ms": 4.0, "over_share_worth": 0.2, "rank": node - self.of(site).start,
                "replicas_of_me": self.shape[site], "discovery": "pushed", "weights": "nominal", "zone": "a",
                "azs": ["a"]
            }
        });
        let folder = self.folder(node);
        let path = |name: &str| folder.join(name).display().to_string();
        let args = match self.with {
            true => vec!["--sites".into(), path("sites.sexp"), "--state".into(), path("state")],
            false => Vec::new(),
        };
        Process::start(&self.program, &args, &config, &folder.join("config.json")).await
    }

    /// One request to a node, on a connection that is kept.
    async fn ask(&self, node: usize, target: &str, more: &str) -> std::io::Result<Message> {
        let address = self.nodes.borrow()[node].address;
        let id = self.ids.get() + 1;
        self.ids.set(id);
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: h\r\nRequest-Id: {id:x}\r\nTenant: acme\r\n\
             Request-Timeout: {}m\r\n{more}Content-Length: 0\r\n\r\n",
            WAITS.as_millis()
        );
        loop {
            let kept = self.pool[node].borrow_mut().pop();
            let used = kept.is_some();
            let (mut reader, mut writer) = match kept {
                Some(kept) => kept,
                None => {
                    let stream = TcpStream::connect(address).await?;
                    stream.set_nodelay(true)?;
                    let (read, write) = stream.into_split();
                    (Reader::new(read), write)
                }
            };
            let answer = match writer.write_all(text.as_bytes()).await {
                Ok(()) => reader.next(true).await,
                Err(e) => Err(e),
            };
            match answer {
                Ok(Some(answer)) => {
                    self.pool[node].borrow_mut().push((reader, writer));
                    return Ok(answer);
                }
                // One that was closed meanwhile.
                _ if used => continue,
                Ok(None) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                Err(e) => return Err(e),
            }
        }
    }

    /// A whole site dies, nodes and servers.
    fn lose(&self, site: usize) {
        self.of(site).for_each(|node| {
            self.nodes.borrow()[node].signal(Signal::KILL);
            self.pool[node].borrow_mut().clear();
        });
        self.servers[site].iter().for_each(|s| s.kill());
    }

    async fn revive(&self, site: usize) -> Done<()> {
        self.servers[site].iter().for_each(|s| s.revive());
        for node in self.of(site) {
            let process = self.process(node).await?;
            let old = std::mem::replace(&mut self.nodes.borrow_mut()[node], process);
            let now = self.nodes.borrow_mut();
            // The log goes on.
            let lines: Vec<Line> = old.log.borrow().clone();
            now[node].log.borrow_mut().splice(0..0, lines);
        }
        Ok(())
    }

    /// No datagram passes between a site and the others any more, or again.
    fn cut(&self, site: usize, cut: bool) {
        for (who, links) in self.links.iter().enumerate() {
            for (other, link) in links.iter().enumerate() {
                let apart = (self.site_of(who) == site) != (self.site_of(other) == site);
                if let Some(link) = link.as_ref().filter(|_| apart) {
                    link.change(|s| (s.forward.cut, s.backward.cut) = (cut, cut));
                }
            }
        }
    }
}

/// What became of one request: when it was asked for, in seconds, of which site its client is, who served it, and how long refusals took.
struct Became {
    at: f64,
    site: usize,
    served_at: Option<usize>,
    refusals: Vec<f64>,
    /// What it was told last, where it was not served.
    told: String,
}

/// Clients of all sites, an open loop of so many requests a second for each site.
struct Load {
    fleet: Rc<Fleet>,
    begin: Instant,
    length: Duration,
    became: RefCell<Vec<Became>>,
    /// Until when each client of each site goes elsewhere.
    away: RefCell<Vec<Vec<Instant>>>,
    luck: RefCell<ChaCha8Rng>,
    open: Cell<u32>,
}

impl Load {
    fn new(fleet: &Rc<Fleet>, length: Duration) -> Rc<Load> {
        let begin = Instant::now();
        Rc::new(Load {
            fleet: fleet.clone(),
            begin,
            length,
            became: RefCell::default(),
            away: RefCell::new(vec![vec![begin; CLIENTS]; fleet.shape.len()]),
            luck: RefCell::new(ChaCha8Rng::seed_from_u64(7)),
            open: Cell::new(0),
        })
    }

    async fn drive(self: Rc<Self>, site: usize, rate: f64) {
        let mut luck = ChaCha8Rng::seed_from_u64(100 + site as u64);
        let mut at = self.begin;
        loop {
            let gap: f64 = Exp1.sample(&mut luck);
            at += Duration::from_secs_f64(gap / rate);
            if at - self.begin >= self.length {
                break;
            }
            sleep_until(at).await;
            let (load, client) = (self.clone(), luck.random_range(0..CLIENTS));
            self.open.set(self.open.get() + 1);
            spawn_local(async move {
                let (mut refusals, mut served_at, mut told) =
                    (Vec::new(), None, "nothing in time".to_string());
                let asked = load.request(site, client, &mut refusals, &mut served_at, &mut told);
                // One that is not answered in time is not served.
                let _ = timeout(WAITS + Duration::from_millis(200), asked).await;
                let at = (at - load.begin).as_secs_f64();
                load.became.borrow_mut().push(Became { at, site, served_at, refusals, told });
                load.open.set(load.open.get() - 1);
            });
        }
        while self.open.get() > 0 {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Home first, unless it was gone or said otherwise lately; then one other site.
    async fn request(
        &self,
        site: usize,
        client: usize,
        refusals: &mut Vec<f64>,
        served: &mut Option<usize>,
        told: &mut String,
    ) {
        let stays_away = self.away.borrow()[site][client] > Instant::now();
        let other =
            (site + self.luck.borrow_mut().random_range(1..self.fleet.shape.len())) % self.fleet.shape.len();
        let third = (0..self.fleet.shape.len()).find(|s| *s != site && *s != other).unwrap_or(other);
        let order = if stays_away { [other, third] } else { [site, other] };
        for target in order {
            let nodes = self.fleet.of(target);
            let node = nodes.start + self.luck.borrow_mut().random_range(0..nodes.len());
            let begin = Instant::now();
            let asked = self.fleet.ask(node, "/zone-plan", &format!("Home-Site: s{site}\r\n")).await;
            let goes = |after: f64| {
                self.away.borrow_mut()[site][client] = Instant::now() + Duration::from_secs_f64(after)
            };
            *told = asked.as_ref().map_or("no connection".to_string(), |a| {
                format!("{} {}", a.start_line.1, a.field("refused-because").unwrap_or("without a reason"))
            });
            let Ok(answer) = asked else {
                if target == site {
                    goes(0.5 + self.luck.borrow_mut().random::<f64>());
                }
                continue;
            };
            let time = |name: &str| answer.field(name).and_then(|t| t.parse::<f64>().ok());
            match (answer.start_line.1.as_str(), answer.field("refused-because")) {
                ("200", _) => {
                    *served = Some(target);
                    // It may come home by then; never later than it would have anyway.
                    if let Some(after) = time("come-back") {
                        let at = Instant::now() + Duration::from_secs_f64(after);
                        let mut away = self.away.borrow_mut();
                        away[site][client] = away[site][client].min(at);
                    }
                    return;
                }
                (_, Some(_)) => {
                    refusals.push(begin.elapsed().as_secs_f64() * 1e3);
                    if target != site {
                        return;
                    }
                    goes(time("retry-after").unwrap_or(1.0));
                }
                _ => return,
            }
        }
    }

    /// The part of a site's requests within a time that were served; at home alone, or anywhere.
    fn served(&self, sites: &[usize], (from, to): (f64, f64), at_home: bool) -> f64 {
        let all = self.became.borrow();
        let own = all.iter().filter(|b| sites.contains(&b.site) && (from..to).contains(&b.at));
        let (mut count, mut served) = (0u32, 0u32);
        for b in own {
            count += 1;
            served += u32::from(b.served_at.is_some_and(|s| !at_home || s == b.site));
        }
        f64::from(served) / f64::from(count.max(1))
    }

    /// What those were told that were not served, and how often.
    fn unserved(&self, (from, to): (f64, f64)) -> String {
        let mut counts = BTreeMap::<String, u32>::new();
        let all = self.became.borrow();
        let unserved = all.iter().filter(|b| b.served_at.is_none() && (from..to).contains(&b.at));
        unserved.for_each(|b| *counts.entry(b.told.clone()).or_default() += 1);
        counts.iter().map(|(told, n)| format!("{n} {told}")).collect::<Vec<_>>().join(", ")
    }

    /// By time, for a plot.
    fn line(&self, name: &str, sites: &[usize]) -> Series {
        let ends = (self.length.as_secs_f64() / 2.0) as usize;
        let at = |k: usize| (k as f64 * 2.0, (k + 1) as f64 * 2.0);
        let points = (0..ends).map(|k| (at(k).0 + 1.0, self.served(sites, at(k), false), None));
        Series { name: name.to_string(), points: points.collect() }
    }
}

/// The parts of a run that are looked at, in seconds.
const BASE: (f64, f64) = (8.0, 19.0);
const GOES: f64 = 20.0;
/// From then on the others know.
const KNOWN: f64 = 28.0;
/// When a lost site comes back, and one that was cut off; and how long all goes on after that.
const BACK: (f64, f64) = (42.0, 54.0);
const AFTER: f64 = 34.0;

/// How often a site's standing was seen to change so, at the node that saw it most often.
fn changes(fleet: &Fleet, text: &str) -> usize {
    let nodes = fleet.nodes.borrow();
    let count = |p: &Process| p.log.borrow().iter().filter(|l| l.1.contains(text)).count();
    nodes.iter().map(count).max().unwrap_or(0)
}

/// How long answers take for which nothing is decided, in milliseconds: that is the machine's part of all others.
async fn probe(load: Rc<Load>) -> Vec<f64> {
    let mut took = Vec::new();
    while load.begin.elapsed() < load.length {
        let begin = Instant::now();
        if load.fleet.ask(0, "/nothing", "").await.is_ok() {
            took.push(begin.elapsed().as_secs_f64() * 1e3);
        }
        sleep(Duration::from_millis(20)).await;
    }
    took
}

/// Lose the last site of three, or cut it off, at a load in parts of what all bear, with and without sites side by side.
async fn play(program: &Path, out: &Path, load: f64, cut_off: bool) -> Done<()> {
    let away = (GOES, if cut_off { BACK.1 } else { BACK.0 });
    let length = away.1 + AFTER;
    let dir = tempfile::tempdir()?;
    let before = loaded();
    let mut loads = Vec::new();
    for with in [true, false] {
        let fleet = Fleet::start(program, dir.path(), &[2; SITES], (with, cut_off), (SLOTS, WORK)).await?;
        loads.push(fleet);
    }
    let loads: Vec<Rc<Load>> = loads.iter().map(|f| Load::new(f, Duration::from_secs_f64(length))).collect();
    let drivers: Vec<_> = loads
        .iter()
        .flat_map(|l| (0..SITES).map(move |site| spawn_local(l.clone().drive(site, BEARS * load))))
        .collect();
    let probes: Vec<_> = loads.iter().map(|l| spawn_local(probe(l.clone()))).collect();
    let begin = loads[0].begin;
    let until = |at: f64| sleep_until(begin + Duration::from_secs_f64(at));
    let gone = SITES - 1;
    let used = |l: &Rc<Load>| l.fleet.nodes.borrow().iter().map(|n| n.used().0).sum::<f64>();
    until(BASE.0).await;
    let start: Vec<f64> = loads.iter().map(used).collect();
    until(BASE.1).await;
    let seconds = BASE.1 - BASE.0;
    let rate = SITES as f64 * BEARS * load * seconds;
    for (l, start) in loads.iter().zip(start) {
        let (name, time) = (if l.fleet.with { "with sites" } else { "without" }, used(l) - start);
        let nodes = l.fleet.nodes.borrow().len() as f64;
        let part = time / (seconds * 1e4 * nodes);
        say(&format!(
            "{name}: all linked, a node takes {part:.2}% of a core; all nodes {:.0} us a request",
            time / rate
        ));
    }
    until(away.0).await;
    loads.iter().for_each(|l| if cut_off { l.fleet.cut(gone, true) } else { l.fleet.lose(gone) });
    until(away.1).await;
    for l in &loads {
        if cut_off {
            l.fleet.cut(gone, false);
        } else {
            l.fleet.revive(gone).await?;
        }
    }
    for driver in drivers {
        // One that panicked has told so.
        let _ = driver.await;
    }
    let mut plain = Vec::new();
    for probe in probes {
        plain.push(probe.await.unwrap_or_default());
    }
    let others: Vec<usize> = (0..gone).collect();
    let what = if cut_off { "cut off" } else { "lost" };
    say(&format!("one of {SITES} sites {what}, load {load}; machine {before} before, {} after", loaded()));
    for (l, plain) in loads.iter().zip(&plain) {
        let name = if l.fleet.with { "with sites" } else { "without" };
        let steady = (KNOWN, away.1);
        say(&format!(
            "  {name}: home service of the others {:.3} before, {:.3} while it is {what}, {:.3} once that is known, {:.3} after",
            l.served(&others, BASE, true),
            l.served(&others, away, true),
            l.served(&others, steady, true),
            l.served(&others, (away.1, length - 2.0), true)
        ));
        say(&format!(
            "  {name}: service of its clients {:.3} before, {:.3} meanwhile, {:.3} once known, {:.3} after",
            l.served(&[gone], BASE, false),
            l.served(&[gone], away, false),
            l.served(&[gone], steady, false),
            l.served(&[gone], (away.1, length - 2.0), false)
        ));
        let (spare, wanted) = (BEARS * 2.0 * (1.0 - load), BEARS * load);
        let guests = l.served(&[gone], steady, false) * wanted;
        if !cut_off && spare.min(wanted) > 0.0 {
            say(&format!(
                "  {name}: guests have {:.2} of what is spare and wanted",
                guests / spare.min(wanted)
            ));
        }
        for (when, span) in [("before", BASE), ("meanwhile", away), ("after", (away.1, length - 2.0))] {
            say(&format!("  {name}: not served {when}: {}", l.unserved(span)));
        }
        let refusals: Vec<f64> = l.became.borrow().iter().flat_map(|b| b.refusals.clone()).collect();
        say(&format!(
            "  {name}: an answer for which nothing is decided (404) takes ms: p50 {:.2}, p99 {:.2}",
            quantile(plain, 0.5),
            quantile(plain, 0.99)
        ));
        if !refusals.is_empty() {
            say(&format!(
                "  {name}: {} refusals with a reason, answered in ms: p50 {:.2}, p99 {:.2}",
                refusals.len(),
                quantile(&refusals, 0.5),
                quantile(&refusals, 0.99)
            ));
        }
        if !cut_off {
            let base = l.served(&[gone], BASE, true);
            let back = |from: f64| l.served(&[gone], (from, from + 2.0), true) >= 0.9 * base;
            let ends = ((length - 2.0 - away.1) * 2.0) as u32;
            let at = (0..ends).map(|k| away.1 + f64::from(k) / 2.0).find(|from| back(*from));
            let text =
                at.map_or("not in this run".to_string(), |at| format!("after {:.1} s", at + 2.0 - away.1));
            let felled: u32 = l.fleet.servers.iter().flatten().map(|s| s.felled.get()).sum();
            say(&format!(
                "  {name}: 90% of what it served at home is served there again {text} (warm-up {} s); {felled} felled",
                WARM_UP.as_secs()
            ));
        }
        if l.fleet.with {
            for text in ["Doubtful", "Alone", "Lost", "Returning", "WholeAgain", "Linked"] {
                let count = changes(&l.fleet, &format!(" site s{gone} {text} "));
                say(&format!("  {name}: {text} {count} times at most at a node"));
            }
            let nodes = l.fleet.nodes.borrow();
            let parts = nodes[l.fleet.of(gone).start].log.borrow();
            let begun = begin + Duration::from_secs_f64(away.1);
            for (at, line) in parts.iter().filter(|l| l.1.contains("load recovery")) {
                let text = line.split("load recovery").nth(1).unwrap_or("");
                say(&format!(
                    "    {:.1} s after the return:{text}",
                    at.saturating_duration_since(begun).as_secs_f64()
                ));
            }
        }
    }
    let series = loads.iter().flat_map(|l| {
        let name = if l.fleet.with { "with sites" } else { "without" };
        [
            l.line(&format!("others' own clients, {name}"), &others),
            l.line(&format!("its clients, {name}"), &[gone]),
        ]
    });
    let plot = Plot {
        title: format!(
            "One of three sites {what} from {:.0} s to {:.0} s, load {:.0}%",
            away.0,
            away.1,
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

/// Close an account at one of five nodes so many times, and see when each other one refuses its new work.
async fn closings(program: &Path, out: &Path, count: u32) -> Done<()> {
    let (dir, before) = (tempfile::tempdir()?, loaded());
    let fleet = Fleet::start(program, dir.path(), &[2, 2, 1], (true, false), (64, Duration::ZERO)).await?;
    let (mut each, mut last) = (Vec::new(), Vec::new());
    for k in 0..count {
        let at = k as usize % 5;
        for (step, standing, wanted) in [(2, "closing", "403"), (3, "reopened", "200")] {
            fleet.accounts(
                at,
                &format!("(accounts (number {}) (account acme (standing {standing})))", 2 * k + step),
            )?;
            let begin = Instant::now();
            fleet.nodes.borrow()[at].signal(Signal::HUP);
            let polls = (0..5).filter(|n| *n != at).map(|node| {
                let fleet = fleet.clone();
                spawn_local(async move {
                    while begin.elapsed() < STARTS {
                        let answer = fleet.ask(node, "/zone-plan", "").await;
                        if answer.is_ok_and(|a| a.start_line.1 == wanted) {
                            return Some(begin.elapsed().as_secs_f64() * 1e3);
                        }
                        sleep(Duration::from_millis(1)).await;
                    }
                    None
                })
            });
            let mut took = Vec::new();
            for poll in polls.collect::<Vec<_>>() {
                took.push(poll.await.ok().flatten().unwrap_or(f64::INFINITY));
            }
            if wanted == "403" {
                last.push(took.iter().copied().fold(0.0, f64::max));
                each.extend(took);
            }
        }
    }
    say(&format!("{count} closings at one of 5 nodes; machine {before} before, {} after", loaded()));
    for (name, all) in [("each other node", &each), ("the last of them", &last)] {
        let [p50, p99, most] = [0.5, 0.99, 1.0].map(|part| quantile(all, part));
        say(&format!(
            "  {name} refuses new work after ms: p50 {p50:.1}, p99 {p99:.1}, most {most:.1} ({} times)",
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

/// Requests of a class from so many clients, each after the other; how long each took, in milliseconds.
async fn burst(fleet: &Rc<Fleet>, target: &'static str, clients: u32, each: u32) -> Vec<f64> {
    let tasks = (0..clients).map(|_| {
        let fleet = fleet.clone();
        spawn_local(async move {
            let mut took = Vec::new();
            for _ in 0..each {
                let begin = Instant::now();
                let served = fleet.ask(0, target, "").await.is_ok_and(|a| a.start_line.1 == "200");
                took.push(if served { begin.elapsed().as_secs_f64() * 1e3 } else { f64::INFINITY });
            }
            took
        })
    });
    let mut all = Vec::new();
    for task in tasks.collect::<Vec<_>>() {
        all.extend(task.await.unwrap_or_default());
    }
    all
}

/// What a request costs the node that takes it, with sites and without, in turn.
async fn costs(program: &Path, rounds: u32, each: u32) -> Done<()> {
    let (dir, before) = (tempfile::tempdir()?, loaded());
    let mut fleets = Vec::new();
    for with in [true, false] {
        let shape: &[usize] = if with { &[1; SITES] } else { &[1] };
        fleets.push(Fleet::start(program, dir.path(), shape, (with, false), (64, Duration::ZERO)).await?);
    }
    let used = |f: &Fleet, node: usize| f.nodes.borrow()[node].used();
    for (target, clients, each) in
        [("/zone-plan", 8, each / 8), ("/actuator-cmd", 1, each / 8), ("/actuator-cmd", 16, each / 32)]
    {
        let mut cost = [Vec::new(), Vec::new()];
        let (mut took, mut grown, mut beside) = ([Vec::new(), Vec::new()], [0.0, 0.0], 0.0);
        for round in 0..=rounds {
            for (k, f) in fleets.iter().enumerate() {
                let (time, memory) = used(f, 0);
                let other = if f.with { used(f, 1).0 } else { 0.0 };
                let all = burst(f, target, clients, each).await;
                // The first round warms up.
                if round > 0 {
                    cost[k].push((used(f, 0).0 - time) / all.len() as f64);
                    grown[k] += (used(f, 0).1 - memory) / (all.len() as f64 * f64::from(rounds));
                    beside += if f.with {
                        (used(f, 1).0 - other) / (all.len() as f64 * f64::from(rounds))
                    } else {
                        0.0
                    };
                    took[k].extend(all);
                }
            }
        }
        say(&format!("{target}, {clients} at once, {} requests each way in {rounds} rounds; machine {before} before, {} now", took[0].len(), loaded()));
        for (k, name) in ["with sites", "without"].iter().enumerate() {
            let [low, mid, high] = [0.0, 0.5, 1.0].map(|part| quantile(&cost[k], part));
            let [p50, p99] = [0.5, 0.99].map(|part| quantile(&took[k], part));
            let failed = took[k].iter().filter(|t| t.is_infinite()).count();
            say(&format!(
                "  {name}: {mid:.1} us of processor time a request ({low:.1} to {high:.1}); took ms p50 {p50:.3}, p99 {p99:.3}; \
                 {failed} not served; memory grows by {:.0} bytes a request",
                grown[k]
            ));
        }
        say(&format!("  another site's node takes {beside:.1} us a request meanwhile"));
    }
    let idle = Duration::from_secs(5);
    let at: Vec<f64> = fleets.iter().map(|f| used(f, 0).0).collect();
    sleep(idle).await;
    for (f, at) in fleets.iter().zip(at) {
        let part = (used(f, 0).0 - at) / idle.as_micros() as f64;
        let name = if f.with { "with sites" } else { "without" };
        say(&format!("idle, {name}: {:.2}% of a core", part * 100.0));
    }
    Ok(())
}

/// What is measured.
#[derive(Clone, Debug)]
pub struct What {
    /// How often an account is closed; 0 for not at all.
    pub closings: u32,
    /// Loads at which a site is lost, in parts of what all bear.
    pub losses: Vec<f64>,
    /// Loads at which a site is cut off.
    pub alone: Vec<f64>,
    /// Rounds in which the cost of requests is measured, and requests in each.
    pub cost: (u32, u32),
}

/// Measure with that program, say the figures, and draw plots into a folder.
///
/// # Errors
/// The program can't be started, does not do what is waited for, or plots can't be written.
pub fn measure(program: &Path, out: &Path, what: &What) -> Result<(), MeasureError> {
    std::fs::create_dir_all(out)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        if what.closings > 0 {
            closings(program, out, what.closings).await?;
        }
        if what.cost.0 > 0 {
            costs(program, what.cost.0, what.cost.1.max(32)).await?;
        }
        for load in &what.losses {
            play(program, out, *load, false).await?;
        }
        for load in &what.alone {
            play(program, out, *load, true).await?;
        }
        Ok(())
    })
}
