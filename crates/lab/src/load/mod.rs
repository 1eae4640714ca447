//! Runs scenarios on sockets: real nodes on loopback between emulated clients, backend servers and discovery.
//!
//! The load is an open loop. Latency counts from the time at which a request was due, so that a stalled node
//! cannot hide behind clients that wait for it. If the lab itself sends too late, the result is marked
//! as late and has no latencies.

mod backend_servers;
mod clients;
mod discovery;
mod nodes;
pub mod single_server;

use crate::rules::{Checker, Limits};
use crate::scenario::{FaultKind, Scenario};
use crate::sim::draw::{stream, Purpose};
use crate::sim::faults::{affected_servers, steps};
use crate::sim::server::Server;
use crate::sim::tally::{Report, Tally};
use crate::sim::{make_servers, DispatchKey, START};
use hdrhistogram::Histogram;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use serde::Serialize;
use shorepath_scheduler::{Endpoint, Micros};
use slotmap::SlotMap;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

/// Additional slack of the time limits of the rules on sockets.
const SOCKET_SLACK: Micros = 50_000;
/// Limit of the 99th percentile of the send lag, above which a run counts as late.
const MAX_SEND_LAG: Micros = 10_000;
/// Largest supported scenario: requests, nodes and servers.
const MAX_SIZE: (f64, u32, u32) = (200_000.0, 32, 500);

/// Errors of a run on sockets.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The scenario has a fault that loopback sockets cannot emulate.
    #[error("the fault {0} is not supported on loopback sockets; run it in the emulator")]
    UnsupportedFault(&'static str),
    /// The scenario is too large: what it needs, and the limit.
    #[error("the scenario needs {0}; the limit on sockets is {1}")]
    TooLarge(String, String),
    /// The scenario names a policy other than that of the node.
    #[error("on sockets the nodes decide (policy rfq); the policy {0} runs in the emulator only")]
    Policy(String),
    /// A node did not start, or exited.
    #[error("{program}: {reason}")]
    Node {
        /// The path of the program.
        program: PathBuf,
        /// The cause.
        reason: String,
    },
    /// A socket or file operation failed.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
}

/// Result of a run on sockets.
#[derive(Clone, Debug, Serialize)]
pub struct LoadResult {
    /// The same report as that of the emulator; its latencies are 0 if the run was late.
    pub report: Report,
    /// Send lag of the requests in seconds: median, 99th percentile and maximum.
    pub lag: [f64; 3],
    /// Whether the lab sent requests too late, so that the latencies would be its own.
    pub late: bool,
}

/// Progress of a job, as its server reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobProgress {
    Started,
    Done,
    Failed,
}

/// A job at an emulated server.
#[derive(Debug)]
struct RunningJob {
    id: u64,
    fails: bool,
    progress: tokio::sync::mpsc::UnboundedSender<JobProgress>,
}

/// What an emulated server needs to know of a request.
#[derive(Clone, Copy, Debug)]
struct RequestInfo {
    work: f64,
    node: u32,
}

/// State shared by clients, servers and discovery, which all run on one thread.
#[derive(Debug)]
struct Testbed {
    scenario: Scenario,
    /// Start of the clock of the models.
    clock_start: Cell<Instant>,
    servers: RefCell<Vec<Server>>,
    running_jobs: RefCell<SlotMap<DispatchKey, RunningJob>>,
    /// Notified when the next event of a server has changed.
    rescheduled: Vec<Notify>,
    /// Incremented when the process of a server dies or starts.
    process_changes: Vec<watch::Sender<u32>>,
    addresses: RefCell<Vec<SocketAddr>>,
    requests: RefCell<FxHashMap<u64, RequestInfo>>,
    checker: RefCell<Checker>,
    tally: RefCell<Tally>,
    lag: RefCell<Histogram<u64>>,
    network_rng: RefCell<ChaCha8Rng>,
    failure_rng: RefCell<ChaCha8Rng>,
    client_rng: RefCell<ChaCha8Rng>,
    /// All changes of the endpoint list so far, in order.
    list_changes: watch::Sender<Vec<Endpoint>>,
    silent_until: Cell<Micros>,
    open_requests: Cell<u32>,
}

impl Testbed {
    fn new(scenario: &Scenario) -> Rc<Testbed> {
        let servers = make_servers(scenario);
        let limits = Limits {
            slack: scenario.rules.deadline_slack + SOCKET_SLACK,
            drain_grace: scenario.rules.drain_grace + SOCKET_SLACK,
        };
        let lag = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        Rc::new(Testbed {
            clock_start: Cell::new(Instant::now()),
            rescheduled: servers.iter().map(|_| Notify::new()).collect(),
            process_changes: servers.iter().map(|_| watch::channel(0).0).collect(),
            addresses: RefCell::default(),
            servers: RefCell::new(servers),
            running_jobs: RefCell::default(),
            requests: RefCell::default(),
            checker: RefCell::new(Checker::new(limits)),
            tally: RefCell::new(Tally::new(scenario)),
            // The bounds are constant and valid.
            lag: RefCell::new(lag.unwrap_or_else(|_| unreachable!())),
            network_rng: RefCell::new(stream(scenario.seed, Purpose::Network)),
            failure_rng: RefCell::new(stream(scenario.seed, Purpose::Failures)),
            client_rng: RefCell::new(stream(scenario.seed, Purpose::Clients)),
            list_changes: watch::channel(Vec::new()).0,
            silent_until: Cell::new(0),
            open_requests: Cell::new(0),
            scenario: scenario.clone(),
        })
    }

    /// Returns the time on the clock of the models.
    fn now(&self) -> Micros {
        START + self.clock_start.get().elapsed().as_micros() as Micros
    }

    /// Returns the instant of a time on the clock of the models.
    fn instant(&self, at: Micros) -> Instant {
        self.clock_start.get() + Duration::from_micros((at - START).max(0) as u64)
    }
}

fn check_supported(scenario: &Scenario) -> Result<(), LoadError> {
    if let Some(f) = scenario.faults.iter().find(|f| matches!(f.kind, FaultKind::Cut | FaultKind::ZoneLoss)) {
        return Err(LoadError::UnsupportedFault(if f.kind == FaultKind::Cut { "cut" } else { "zone-loss" }));
    }
    if scenario.policy != "rfq" {
        return Err(LoadError::Policy(scenario.policy.clone()));
    }
    let requests = scenario.rate * scenario.length as f64 / 1e6;
    let too_large = |needed: String, limit: String| Err(LoadError::TooLarge(needed, limit));
    match scenario {
        _ if requests > MAX_SIZE.0 => {
            too_large(format!("{requests:.0} requests"), format!("{:.0}", MAX_SIZE.0))
        }
        _ if scenario.nodes > MAX_SIZE.1 => {
            too_large(format!("{} nodes", scenario.nodes), MAX_SIZE.1.to_string())
        }
        _ if scenario.servers.count > MAX_SIZE.2 => {
            too_large(format!("{} servers", scenario.servers.count), MAX_SIZE.2.to_string())
        }
        _ => Ok(()),
    }
}

/// Runs a scenario with nodes of a program.
///
/// # Errors
/// See [`LoadError`]. All processes have been stopped on return.
pub fn run(scenario: &Scenario, program: &Path) -> Result<LoadResult, LoadError> {
    check_supported(scenario)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_on_runtime(scenario, program))
}

async fn run_on_runtime(scenario: &Scenario, program: &Path) -> Result<LoadResult, LoadError> {
    // The clock of the models starts when all nodes are ready.
    let testbed = Testbed::new(scenario);
    let listeners = backend_servers::listen(&testbed).await?;
    let nodes = nodes::start(&testbed, program).await?;
    testbed.clock_start.set(Instant::now());
    backend_servers::start(&testbed, listeners);
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address).collect();
    for (index, f) in scenario.faults.iter().enumerate() {
        let affected = affected_servers(scenario, &testbed.servers.borrow(), index);
        for (at, step) in steps(f, scenario.length + scenario.longest_deadline()) {
            let (testbed, affected, fault) = (testbed.clone(), affected.clone(), f.clone());
            spawn_local(async move {
                tokio::time::sleep_until(testbed.instant(START + at)).await;
                backend_servers::apply_fault(&testbed, &fault, index as u32, step, &affected);
            });
        }
    }
    let sampler = spawn_local(sample(testbed.clone()));
    clients::send_all(&testbed, &addresses).await;
    sampler.abort();
    for node in nodes {
        node.stop().await?;
    }
    let done: f64 = testbed.servers.borrow().iter().map(|s| s.done).sum();
    let mut report = testbed.tally.borrow().report(scenario, 0, done, &testbed.checker.borrow());
    let lag = testbed.lag.borrow();
    let lag_at = |q: f64| lag.value_at_quantile(q) as f64 / 1e6;
    let late = lag.value_at_quantile(0.99) > MAX_SEND_LAG as u64;
    if late {
        report.latency = [0.0; 5];
        report.cdf.clear();
    }
    Ok(LoadResult { report, lag: [lag_at(0.5), lag_at(0.99), lag.max() as f64 / 1e6], late })
}

async fn sample(testbed: Rc<Testbed>) {
    for k in 1.. {
        let at = START + k * 250_000;
        tokio::time::sleep_until(testbed.instant(at)).await;
        let servers = testbed.servers.borrow();
        let held: u32 = servers.iter().map(|s| s.held() as u32).sum();
        let each = servers.iter().map(Server::held);
        testbed.tally.borrow_mut().sample(at - START, held, testbed.open_requests.get(), each);
        if at - START >= testbed.scenario.length {
            return;
        }
    }
}
