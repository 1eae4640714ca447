//! Runs a script: starts the processes, stubs and relays, injects the faults while clients send requests, and records the
//! history.

use crate::addresses::allocate_address;
use crate::check::{Expectations, SharedBudgets};
use crate::history::{Event, History, Micros, Record, Repeat};
use crate::http::Reader;
use crate::process::{ManagedProcess, ProcessState};
use crate::quota_servers::QuotaServers;
use crate::relay::{self, ArrivalTimes, Link, LinkFaults};
use crate::script::{Action, Direction, DiskFault, Script, TENANTS};
use crate::site_checks::SiteExpectations;
use crate::sites::Sites;
use crate::stubs::{BackendServer, Discovery, ServerPhase};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::ffi::OsString;
use std::future::Future;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How long a client waits for a response, in microseconds.
pub const REQUEST_TIMEOUT: Micros = 1_500_000;
/// The drain grace in the nodes' settings, in microseconds.
pub const DRAIN_GRACE: Micros = 500_000;
/// How late events may be in the checks, in microseconds, since processes share CPUs.
pub const TIMING_SLACK: Micros = 250_000;
/// How long after the last event the cluster may take to work normally again, in microseconds.
pub const SETTLE_TIME: Micros = 3_000_000;
/// The lease term of key ranges with sites, in microseconds. Processes that share CPUs renew leases late.
pub const KEY_LEASE: Micros = 3_000_000;
/// The lease term of grants when nodes share budgets, in microseconds.
pub const GRANT_TERM: Micros = 1_500_000;
/// Upper limit on the time that a job may take, in microseconds.
pub const MAX_JOB_DURATION: Micros = 3_500_000;
/// How long clients go on sending to a node that is shutting down, as a frontend notices that late.
const FRONTEND_LAG: Duration = Duration::from_millis(300);
/// How long after a pause the checks make no demands on a process.
const RESUME_GRACE: Duration = Duration::from_millis(200);
/// Number of finished requests that are kept for repeats.
const MAX_REPEATABLE_REQUESTS: usize = 400;
/// Number of redirects to other nodes that a client follows for one request.
const MAX_REDIRECTS: u32 = 3;
/// How long discovery takes to notice a crash of a server.
const DISCOVERY_LAG: Duration = Duration::from_millis(300);

/// An error that prevents a run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An operation on a socket, a file or a process failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A node or a quota server does not start.
    #[error("process {node} did not become ready in time; check that the programs are built, and see the end of its log:\n{log}")]
    Start {
        /// The number of the node or quota server.
        node: u32,
        /// The last lines of its log.
        log: String,
    },
}

/// The results of a run.
#[derive(Clone, Debug)]
pub struct RunOutput {
    /// All records of the history, in order.
    pub records: Vec<Record>,
    /// The last log lines of each node, followed by those of each quota server.
    pub logs: Vec<Vec<String>>,
}

/// Returns the limits for checking the history of a script.
pub fn terms(script: &Script) -> Expectations {
    let shared = SharedBudgets {
        nodes: u64::from(script.nodes),
        lowered_grace: 2 * GRANT_TERM + 5_000_000,
        burst: crate::quota_servers::BURST,
        // For the lowest quota of generated scripts, with uneven demand of the nodes.
        served_share: 0.2,
    };
    Expectations {
        answer_slack: TIMING_SLACK,
        drain_grace: DRAIN_GRACE + TIMING_SLACK,
        settle_time: SETTLE_TIME,
        budgets: Vec::new(),
        shared: (script.quota_servers > 0 && script.sites == 0).then_some(shared),
        sites: (script.sites > 0).then(|| SiteExpectations::from_script(script)),
    }
}

/// Runs a script in real time with `program` as the nodes' program.
///
/// # Errors
/// Returns an error if a socket can't be bound, a file can't be written or a process does not start.
pub fn run(script: &Script, program: &Path) -> Result<RunOutput, RunError> {
    run_with_older_version(script, program, None)
}

/// Runs a script with two versions of the program: nodes and quota servers with odd numbers start with the older one.
///
/// The older quota server's program is in the folder of `older`. With an older version messages are not signed, since that version
/// may not support keys.
///
/// # Errors
/// Same as [`run`].
pub fn run_with_older_version(
    script: &Script,
    program: &Path,
    older: Option<&Path>,
) -> Result<RunOutput, RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let cluster = TestCluster::set_up(script, program, older).await?;
        cluster.run(script).await
    })
}

/// A node with what is needed to restart it and to send it requests.
struct TestNode {
    process: Rc<ManagedProcess>,
    address: SocketAddr,
    /// The path of its configuration file, and the configuration.
    config: (PathBuf, Value),
    /// Whether clients send it nothing.
    offline: Cell<bool>,
    /// Held during an event. Guards against two events that both restart the node at one address.
    lock: Mutex<()>,
}

/// A request that its client may repeat.
#[derive(Clone, Debug)]
struct ClientRequest {
    id: u64,
    /// The value of its `Request-Id` field.
    request_id: String,
    /// The value of its `Idempotency-Key` field, if it has one.
    key: Option<String>,
    tenant: &'static str,
    repeat: Repeat,
    /// Number of redirects so far.
    redirects: u32,
}

/// The processes, stubs and relays of a run.
struct TestCluster {
    history: Rc<History>,
    test_nodes: Vec<Rc<TestNode>>,
    servers: Vec<Rc<BackendServer>>,
    discovery: Rc<Discovery>,
    /// The link from each node to each server, by the numbers of both.
    links: Vec<Vec<Link>>,
    /// For each server, a lock that is held during an event.
    locks: Vec<Mutex<()>>,
    quota_servers: Option<QuotaServers>,
    sites: Option<Sites>,
    /// Finished requests that clients may repeat.
    finished: RefCell<Vec<ClientRequest>>,
    seed: u64,
    _dir: tempfile::TempDir,
}

/// Returns the configuration of a node.
fn config(
    node: u32,
    nodes: u32,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: Value,
    seed: u64,
) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "target_ms": 200.0, "deadline_ms": REQUEST_TIMEOUT as f64 / 1e3,
               "late_worth": 0.3, "worth": 3.0, "group": "all", "dedup_window_ms": 5000.0, "stream": false})
    };
    json!({
        "name": format!("n{node}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:016x}", seed ^ u64::from(node)), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {
            "allowed": {"cancel": true, "conn_idle_ms": 5000.0, "connect_timeout_ms": 250.0, "try_limit": 4,
                        "max_retry_after_ms": 2000.0, "retry_after": true, "probing": false},
            "classes": [class("plan", "free"), class("valve", "single_shot")],
            "family_info": {"tells_start": true, "class_kind": [-1, -1], "class_stretch": [2.0, 2.0]},
            "kinds": ["standard"], "projects": [{"name": "acme", "portion": 1.0, "quota_rps": 1000.0}],
            "rules": {"drain_grace_ms": DRAIN_GRACE as f64 / 1e3, "cold_share": 0.5, "cold_ms": 2000.0, "tip_multiple": 4.0,
                      "fall_ms": 2000.0, "answer_slack_ms": 16.0},
            "granularity_ms": 1.0, "over_share_worth": 0.2, "rank": node, "replicas_of_me": nodes,
            "discovery": "pushed", "weights": "nominal", "zone": "a", "azs": ["a"]
        }
    })
}

/// Lets a node probe servers before dispatches, which it does if there are fewer servers than nodes.
fn enable_probing(settings: &mut Value) {
    settings["allowed"]["probing"] = json!(true);
    settings["report"] = json!({"how": "probe", "fields": ["x0", "concurrent"]});
    settings["family_info"]["report_x0"] = json!("free slots");
    settings["costs"] = json!({"probe": 0.01});
}

impl TestCluster {
    async fn set_up(script: &Script, program: &Path, older: Option<&Path>) -> Result<TestCluster, RunError> {
        let (history, arrival_times) = (Rc::new(History::default()), ArrivalTimes::default());
        let dir = tempfile::Builder::new().prefix("rig").tempdir()?;
        let (mut servers, mut server_addresses) = (Vec::new(), Vec::new());
        for number in 0..script.servers {
            let (server, address) =
                BackendServer::listen(number, history.clone(), arrival_times.clone()).await?;
            servers.push(server);
            server_addresses.push(address);
        }
        let discovery = Discovery::new(history.clone(), script.servers);
        let mut quota_servers = None;
        if script.quota_servers > 0 {
            let mut started =
                QuotaServers::prepare(script, dir.path(), older.is_none(), history.clone()).await?;
            let quota_server_program = |node: &Path| node.with_file_name("shorepath-divider");
            started.start(&quota_server_program(program), older.map(quota_server_program).as_deref()).await?;
            quota_servers = Some(started);
        }
        let mut sites = None;
        if script.sites > 0 {
            sites = Some(Sites::set_up(script, dir.path(), history.clone()).await?);
        }
        let (mut links, mut test_nodes) = (Vec::new(), Vec::new());
        for number in 0..script.nodes {
            let mut own_links = Vec::new();
            for address in &server_addresses {
                own_links.push(relay::tcp(*address, number, Some(arrival_times.clone())).await?);
            }
            let addresses = own_links.iter().map(|l| l.address).collect();
            let listed_servers = sites.as_ref().map_or(0..script.servers, |s| s.servers(number));
            let discovery_address = discovery.listen(number, addresses, listed_servers).await?;
            links.push(own_links);
            // All processes of the node listen at this address.
            let address = allocate_address()?;
            let known = discovery.known(number);
            let mut configuration =
                config(number, script.nodes, address, discovery_address, known, script.seed);
            let path: PathBuf = dir.path().join(format!("n{number}.json"));
            let mut args: Vec<OsString> = vec!["serve".into(), "--config".into(), path.clone().into()];
            if let Some(sites) = &sites {
                args.extend(sites.configure(number, &mut configuration));
            }
            // With sites the only budgets are the leases of key ranges.
            if quota_servers.is_some() && sites.is_none() {
                enable_probing(&mut configuration["settings"]);
            }
            std::fs::write(&path, configuration.to_string())?;
            let config = (path, configuration);
            if let Some(quota_servers) = &quota_servers {
                args.extend(["--budgets".into(), quota_servers.file(number).into()]);
                args.push(format!("--test-clock-drift={}", [400, -400][number as usize % 2]).into());
                args.push(format!("--test-clock-offset={}", i64::from(number) * 7_200 - 3_600).into());
            }
            let process = ManagedProcess::new(number, program, args, history.clone());
            older.into_iter().for_each(|older| process.set_other_version(older));
            if number % 2 == 1 {
                process.switch_version();
            }
            process.start()?;
            test_nodes.push(Rc::new(TestNode {
                process,
                address,
                config,
                offline: Cell::new(false),
                lock: Mutex::new(()),
            }));
        }
        for (number, test_node) in test_nodes.iter().enumerate() {
            if !test_node.process.wait_until_serving().await {
                return Err(RunError::Start { node: number as u32, log: test_node.process.log().join("\n") });
            }
        }
        if let Some(sites) = &sites {
            let nodes: Vec<Rc<ManagedProcess>> = test_nodes.iter().map(|t| t.process.clone()).collect();
            sites.wait_until_ready(&nodes).await?;
        }
        let locks = servers.iter().map(|_| Mutex::new(())).collect();
        let finished = RefCell::default();
        Ok(TestCluster {
            history,
            test_nodes,
            servers,
            discovery,
            links,
            locks,
            quota_servers,
            sites,
            finished,
            seed: script.seed,
            _dir: dir,
        })
    }

    async fn run(self, script: &Script) -> Result<RunOutput, RunError> {
        let cluster = Rc::new(self);
        let start_time = Instant::now();
        let mut tasks: Vec<JoinHandle<()>> = Vec::new();
        for node in 0..script.nodes {
            tasks.push(spawn_local(cluster.clone().run_clients(script.clone(), node, start_time)));
        }
        for event in &script.events {
            let (cluster, event) = (cluster.clone(), *event);
            tasks.push(spawn_local(async move {
                sleep_until(start_time + micros(event.at)).await;
                cluster.history.record(Event::Script { event: event.action.to_string() });
                cluster.apply(event.action).await;
                if cluster.sites.is_some() {
                    cluster.history.record(Event::Script { event: format!("over: {}", event.action) });
                }
            }));
        }
        for task in tasks {
            // A panic has been printed already; the history is checked all the same.
            let _ = task.await;
        }
        if let Some(sites) = &cluster.sites {
            sites.record_final_state().await;
        }
        for test_node in &cluster.test_nodes {
            test_node.process.wait_until_serving().await;
            test_node.process.terminate();
        }
        for test_node in &cluster.test_nodes {
            test_node.process.wait_for(ProcessState::Exited).await;
        }
        let mut logs: Vec<Vec<String>> = cluster.test_nodes.iter().map(|t| t.process.log()).collect();
        if let Some(quota_servers) = &cluster.quota_servers {
            quota_servers.end().await;
            logs.extend(quota_servers.logs());
        }
        cluster.sites.iter().for_each(Sites::record_disks);
        Ok(RunOutput { records: cluster.history.records(), logs })
    }

    /// Sets faults of one or both directions of links for a time. If such times overlap on a link, all its faults end with the first.
    async fn with_faults<'a>(
        &self,
        links: impl Iterator<Item = &'a Link> + Clone,
        (direction, duration): (Direction, Micros),
        set: impl Fn(&mut LinkFaults),
    ) {
        let set_all = |links: &mut dyn Iterator<Item = &'a Link>, set: &dyn Fn(&mut LinkFaults)| {
            links.for_each(|link| {
                link.change(|s| {
                    if direction.covers(true) {
                        set(&mut s.forward);
                    }
                    if direction.covers(false) {
                        set(&mut s.backward);
                    }
                });
            });
        };
        set_all(&mut links.clone(), &set);
        sleep(micros(duration)).await;
        set_all(&mut links.clone(), &|faults| *faults = LinkFaults::default());
    }

    async fn apply(&self, action: Action) {
        if let Some(quota_servers) = &self.quota_servers {
            match action {
                Action::KillQuotaServer { quota_server, downtime, disk_lost } => {
                    quota_servers.kill(quota_server, micros(downtime), disk_lost).await
                }
                Action::FillQuotaServerDisk { quota_server, duration } => {
                    quota_servers.fill(quota_server, micros(duration)).await
                }
                Action::PauseQuotaServer { quota_server, duration } => {
                    quota_servers.pause(quota_server, micros(duration)).await
                }
                Action::DegradeQuotaLinks { node, loss, duration } => {
                    quota_servers.degrade(node, loss, micros(duration)).await
                }
                Action::CutQuotaLink { node, quota_server, direction, duration } => {
                    quota_servers.cut(node, quota_server, direction, micros(duration)).await;
                }
                Action::UpgradeQuotaServer { quota_server } => quota_servers.upgrade(quota_server).await,
                Action::IsolateQuotaServer { quota_server, duration } => {
                    quota_servers.isolate(quota_server, micros(duration)).await
                }
                Action::ChangeQuota { percent } => {
                    let nodes: Vec<Rc<ManagedProcess>> =
                        self.test_nodes.iter().map(|t| t.process.clone()).collect();
                    quota_servers.change_quota(percent, &nodes).await;
                }
                _ => {}
            }
        }
        if let Some(sites) = &self.sites {
            let nodes: Vec<Rc<ManagedProcess>> = self.test_nodes.iter().map(|t| t.process.clone()).collect();
            match action {
                Action::CutSite { site, direction, duration } => {
                    sites.cut(site, direction, micros(duration), self.quota_servers.as_ref()).await;
                }
                Action::DegradeSite { site, loss, duration } => {
                    sites.degrade(site, loss, micros(duration), self.quota_servers.as_ref()).await;
                }
                Action::KillSite { site, disk, downtime } => {
                    // The site's quota servers are killed too but keep their disks: quota servers that lose most of their disks
                    // don't recover by themselves.
                    let of_site = |d: &u32| sites.site_of_quota_server(*d) == site;
                    let own_quota_servers: Vec<u32> =
                        (0..self.quota_servers.as_ref().map_or(0, QuotaServers::count))
                            .filter(of_site)
                            .collect();
                    let killed = own_quota_servers.into_iter().map(|d| async move {
                        if let Some(quota_servers) = &self.quota_servers {
                            quota_servers.kill(d, micros(downtime), false).await;
                        }
                    });
                    let nodes = self.kill(sites.nodes(site), disk, micros(downtime));
                    tokio::join!(nodes, async {
                        for one in killed.map(Box::pin).collect::<Vec<_>>() {
                            one.await;
                        }
                    });
                }
                Action::KillNodeWithDiskFault { node, disk, downtime } => {
                    self.kill(node..node + 1, disk, micros(downtime)).await
                }
                Action::PauseSite { site, duration } => self.pause(sites.nodes(site), micros(duration)).await,
                Action::SetAccountStatus { account, status, site } => {
                    sites.deliver_accounts_file(sites.next_file_number(), (account, status), site, &nodes);
                }
                Action::ChangeDatagram { from, to, number, change } => {
                    sites.change_datagram((from, to), number, change, self.seed)
                }
                Action::ConflictingAccountFiles { account, status, site, second_status, second_site } => {
                    let number = sites.next_file_number();
                    sites.deliver_accounts_file(number, (account, status), site, &nodes);
                    sites.deliver_accounts_file(number, (account, second_status), second_site, &nodes);
                }
                _ => {}
            }
        }
        let test_node = |node: u32| &self.test_nodes[node as usize];
        let links_of = |node: u32| self.links[node as usize].iter();
        match action {
            Action::KillNode { node, downtime } => {
                self.kill(node..node + 1, DiskFault::Kept, micros(downtime)).await
            }
            Action::Restart { node } | Action::UpgradeNode { node } => {
                let test_node = test_node(node);
                let _lock = test_node.lock.lock().await;
                if !test_node.process.wait_until_serving().await {
                    return;
                }
                test_node.process.terminate();
                sleep(FRONTEND_LAG).await;
                test_node.offline.set(true);
                test_node.process.wait_for(ProcessState::Exited).await;
                if matches!(action, Action::UpgradeNode { .. }) {
                    test_node.process.switch_version();
                }
                self.start(test_node);
                self.wait_until_restarted(test_node).await;
            }
            Action::PauseNode { node, duration } => self.pause(node..node + 1, micros(duration)).await,
            Action::CutLink { node, server, direction, duration } => {
                let link = std::iter::once(&self.links[node as usize][server as usize]);
                self.with_faults(link, (direction, duration), |faults| faults.cut = true).await;
            }
            Action::Partition { duration } => {
                let all = self.links.iter().enumerate();
                let cut = all.flat_map(|(n, own_links)| {
                    own_links.iter().enumerate().filter(move |(s, _)| s % 2 != n % 2).map(|(_, link)| link)
                });
                self.with_faults(cut, (Direction::Both, duration), |faults| faults.cut = true).await;
            }
            Action::Delay { node, latency, duration } => {
                self.with_faults(links_of(node), (Direction::Both, duration), |faults| {
                    faults.delay = micros(latency)
                })
                .await;
            }
            Action::LimitBandwidth { node, bytes_per_second, duration } => {
                self.with_faults(links_of(node), (Direction::Both, duration), |faults| {
                    faults.bytes_per_second = bytes_per_second
                })
                .await;
            }
            Action::ResetConnections { node, server } => self.links[node as usize][server as usize].reset(),
            Action::MuteDiscovery { node, duration } => {
                self.discovery.set_muted(node, true);
                sleep(micros(duration)).await;
                self.discovery.set_muted(node, false);
            }
            Action::CloseDiscoveryConnections { duration } => {
                self.discovery.set_closing(true);
                sleep(micros(duration)).await;
                self.discovery.set_closing(false);
            }
            Action::Drain { server, duration } => {
                let _lock = self.locks[server as usize].lock().await;
                self.servers[server as usize].draining.set(true);
                self.discovery.announce(server, ServerPhase::Leaving);
                sleep(micros(duration) * 2 / 3).await;
                self.take_server_down(server, micros(duration) / 3, Duration::ZERO).await;
                self.servers[server as usize].draining.set(false);
            }
            Action::KillQuotaServer { .. }
            | Action::FillQuotaServerDisk { .. }
            | Action::PauseQuotaServer { .. }
            | Action::DegradeQuotaLinks { .. }
            | Action::CutQuotaLink { .. }
            | Action::IsolateQuotaServer { .. }
            | Action::UpgradeQuotaServer { .. }
            | Action::ChangeQuota { .. }
            | Action::CutSite { .. }
            | Action::DegradeSite { .. }
            | Action::KillSite { .. }
            | Action::KillNodeWithDiskFault { .. }
            | Action::PauseSite { .. }
            | Action::SetAccountStatus { .. }
            | Action::ChangeDatagram { .. }
            | Action::ConflictingAccountFiles { .. } => {}
            Action::CrashServer { server, duration } => {
                let _lock = self.locks[server as usize].lock().await;
                self.take_server_down(server, micros(duration), DISCOVERY_LAG).await;
            }
        }
    }

    /// Locks nodes and returns those that serve. Locks are taken in the order of the nodes' numbers, which guards against
    /// deadlocks.
    async fn lock_serving(&self, nodes: Range<u32>) -> Vec<(&TestNode, MutexGuard<'_, ()>)> {
        let mut all = Vec::new();
        for node in nodes {
            let test_node = &self.test_nodes[node as usize];
            let lock = test_node.lock.lock().await;
            if test_node.process.wait_until_serving().await {
                all.push((&**test_node, lock));
            }
        }
        all
    }

    /// Kills nodes at once, applies a disk fault and starts them again after `downtime`.
    async fn kill(&self, nodes: Range<u32>, disk: DiskFault, downtime: Duration) {
        let all = self.lock_serving(nodes).await;
        for (test_node, _) in &all {
            test_node.offline.set(true);
            test_node.process.kill();
        }
        for (test_node, _) in &all {
            test_node.process.wait_for(ProcessState::Exited).await;
            self.sites.iter().for_each(|s| s.replace_disk(test_node.process.number(), disk));
        }
        sleep(downtime).await;
        for (test_node, _) in &all {
            self.start(test_node);
        }
        for (test_node, _) in &all {
            self.wait_until_restarted(test_node).await;
        }
    }

    /// Pauses nodes for a time.
    async fn pause(&self, nodes: Range<u32>, duration: Duration) {
        let all = self.lock_serving(nodes).await;
        all.iter().for_each(|(test_node, _)| test_node.process.pause());
        sleep(duration).await;
        all.iter().for_each(|(test_node, _)| test_node.process.resume());
        sleep(RESUME_GRACE).await;
        all.iter().for_each(|(test_node, _)| test_node.process.record_serving());
    }

    /// Stops a server for a time; discovery lists that after `lag`.
    async fn take_server_down(&self, server: u32, duration: Duration, lag: Duration) {
        let links = || self.links.iter().map(|own_links| &own_links[server as usize]);
        links().for_each(|link| {
            link.change(|s| s.refuse_connections = true);
            link.reset();
        });
        self.servers[server as usize].crash();
        sleep(lag.min(duration)).await;
        self.discovery.announce(server, ServerPhase::Left);
        sleep(duration.saturating_sub(lag)).await;
        links().for_each(|link| link.change(|s| s.refuse_connections = false));
        self.discovery.announce(server, ServerPhase::Active);
    }

    fn start(&self, test_node: &TestNode) {
        // The node restarts with the last list that it received, and with its disk if it has one.
        let (path, mut configuration) = test_node.config.clone();
        configuration["known"] = self.discovery.known(test_node.process.number());
        if std::fs::write(path, configuration.to_string()).is_ok() {
            // If the start fails, clients send nothing to the node, and the history shows that it never served again.
            let _ = test_node.process.start();
        }
    }

    async fn wait_until_restarted(&self, test_node: &TestNode) {
        if test_node.process.wait_until_serving().await {
            test_node.offline.set(false);
            self.sites.iter().for_each(|s| s.replay_datagrams(test_node.process.number()));
        }
    }

    /// Sends the requests of the clients of a node in an open loop, each on a connection of its own.
    async fn run_clients(self: Rc<Self>, script: Script, node: u32, start_time: Instant) {
        let mut rng = ChaCha8Rng::seed_from_u64(script.seed);
        rng.set_stream(u64::from(node) + 1);
        // With shared budgets the load grows with the number of the node.
        let (total_weight, weight) = match script.quota_servers {
            _ if script.sites > 0 => (f64::from(script.nodes), 1.0),
            0 => (f64::from(script.nodes), 1.0),
            _ => (f64::from(script.nodes * (script.nodes + 1)) / 2.0, f64::from(node + 1)),
        };
        let (rate, mut at, mut count) = (script.rate * weight / total_weight / 1e6, 0.0, 0u64);
        let mut tasks = Vec::new();
        loop {
            let pause: f64 = Exp1.sample(&mut rng);
            at += pause / rate;
            if at as Micros >= script.duration {
                break;
            }
            sleep_until(start_time + micros(at as Micros)).await;
            count += 1;
            let repeat = if rng.random::<f64>() < 0.4 { Repeat::Never } else { Repeat::Safe };
            let test_node = &self.test_nodes[node as usize];
            if !test_node.offline.get() {
                let id = (u64::from(node) + 1) << 32 | count;
                let request = match self.sites {
                    None => {
                        let (request_id, key, tenant) = (format!("{id:x}"), None, TENANTS[0]);
                        ClientRequest { id, request_id, key, tenant, repeat, redirects: 0 }
                    }
                    Some(_) => self.draw_request(&mut rng, id, repeat),
                };
                // Now and then sends one key to two nodes at the same time.
                let at_two_nodes = rng.random::<f64>() < 0.15;
                let other = rng.random_range(0..script.nodes);
                if at_two_nodes && self.has_key_leases() && request.repeat == Repeat::Never && other != node {
                    let second = self.repeat_request(&request, (u64::from(node) + 1) << 32 | 1 << 31 | count);
                    tasks.push(spawn_local(self.clone().send_request(
                        self.test_nodes[other as usize].clone(),
                        other,
                        second,
                    )));
                }
                tasks.push(spawn_local(self.clone().send_request(test_node.clone(), node, request)));
            }
        }
        for task in tasks {
            // A panic has been printed already.
            let _ = task.await;
        }
    }

    /// Draws the next request of a client with sites: a new one, or a repeat of a finished one, possibly of another site.
    fn draw_request(&self, rng: &mut ChaCha8Rng, id: u64, repeat: Repeat) -> ClientRequest {
        let tenant = TENANTS[rng.random_range(0..TENANTS.len())];
        let key = (rng.random::<f64>() < 0.4).then(|| format!("key-{id:x}"));
        let (repeats, which) = (rng.random::<f64>() < 0.15, rng.random::<u32>());
        let mut finished = self.finished.borrow_mut();
        let request = if repeats && !finished.is_empty() {
            let which = which as usize % finished.len();
            let earlier = finished.swap_remove(which);
            self.repeat_request(&earlier, id)
        } else {
            let request =
                ClientRequest { id, request_id: format!("{id:x}"), key, tenant, repeat, redirects: 0 };
            self.record_request(&request, None);
            request
        };
        request
    }

    /// Returns whether nodes lease ranges of the keys of requests that must not run twice.
    fn has_key_leases(&self) -> bool {
        self.sites.is_some() && self.quota_servers.is_some()
    }

    /// Returns a repeat of a request under a new id. It also gets a new `Request-Id` if it has an idempotency key; otherwise the
    /// `Request-Id` of the first one identifies it.
    fn repeat_request(&self, earlier: &ClientRequest, id: u64) -> ClientRequest {
        let request_id = if earlier.key.is_some() { format!("{id:x}") } else { earlier.request_id.clone() };
        let repeated = ClientRequest { id, request_id, redirects: 0, ..earlier.clone() };
        self.record_request(&repeated, Some(earlier.id));
        repeated
    }

    fn record_request(&self, request: &ClientRequest, again: Option<u64>) {
        let key = request.key.clone().unwrap_or_else(|| request.request_id.clone());
        self.history.record(Event::RequestDetails {
            id: request.id,
            tenant: request.tenant.to_string(),
            repeat_of: again,
            key,
        });
    }

    /// Sends a request and records its outcome. Records nothing if the request can't be sent.
    async fn send_request(self: Rc<Self>, test_node: Rc<TestNode>, node: u32, request: ClientRequest) {
        let Ok(Ok(mut stream)) =
            timeout(micros(REQUEST_TIMEOUT), TcpStream::connect(test_node.address)).await
        else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let ClientRequest { id, request_id, key, tenant, repeat, redirects } = request.clone();
        let class = if repeat == Repeat::Never { "valve" } else { "plan" };
        let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let body = format!("rig {id:x}");
        let request_text = format!(
            "POST /{class} HTTP/1.1\r\nHost: rig\r\nRequest-Id: {request_id}\r\nTenant: {tenant}\r\n{key}\
             Request-Timeout: {REQUEST_TIMEOUT}u\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(request_text.as_bytes()).await.is_err() {
            return;
        }
        self.history.record(Event::Requested { id, node, timeout: REQUEST_TIMEOUT, repeat });
        let mut reader = Reader::new(stream);
        let response = timeout(micros(REQUEST_TIMEOUT + TIMING_SLACK), reader.next(true)).await;
        let response = response.ok().and_then(Result::ok).flatten();
        let reason = response.as_ref().and_then(|a| a.field("refused-because")).map(str::to_string);
        if let Some(reason) = &reason {
            self.history.record(Event::RejectedByNode { id, reason: reason.clone() });
        }
        let status = response.and_then(|a| a.start_line.1.parse::<u16>().ok());
        match status {
            Some(status) => self.history.record(Event::Answered { id, status }),
            None => self.history.record(Event::Unanswered { id }),
        }
        // Follow a redirect to the node that holds the lease of the key.
        let owner = reason
            .as_deref()
            .filter(|_| status == Some(421))
            .and_then(|reason| reason.rsplit_once("/n")?.1.parse().ok());
        if let Some((other, test_node)) = owner.and_then(|n: u32| Some((n, self.test_nodes.get(n as usize)?)))
        {
            if redirects < MAX_REDIRECTS {
                let redirected = ClientRequest {
                    redirects: redirects + 1,
                    ..self.repeat_request(&request, (id & !(0xff << 56)) | u64::from(redirects + 1) << 56)
                };
                let next: Pin<Box<dyn Future<Output = ()>>> =
                    Box::pin(self.clone().send_request(test_node.clone(), other, redirected));
                return next.await;
            }
        }
        // A request that must not run twice is repeated only if the response shows that it never ran, or if a key lease prevents a
        // second run.
        if repeat == Repeat::Safe
            || self.has_key_leases()
            || reason.is_some()
            || matches!(status, Some(429 | 503))
        {
            let mut finished = self.finished.borrow_mut();
            finished.push(request);
            if finished.len() > MAX_REPEATABLE_REQUESTS {
                finished.swap_remove(0);
            }
        }
    }
}

fn micros(t: Micros) -> Duration {
    Duration::from_micros(t.max(0) as u64)
}
