//! The same scenario on sockets: real nodes on loopback, between clients, backend servers and a discovery that
//! the lab plays itself.
//!
//! The load is an open loop. Latency counts from the moment at which a request was meant to be sent, so that a
//! node that stalls can't hide behind clients that wait for it; and where the lab itself can't keep up, the run is
//! said to have been late and its latencies are withheld.

mod clients;
mod discovery;
pub mod lone;
mod nodes;
mod stand;

use crate::rules::{Checker, Limits};
use crate::scenario::{FaultKind, Scenario};
use crate::sim::draw::{stream, Purpose};
use crate::sim::faults::{steps, struck};
use crate::sim::server::Server;
use crate::sim::tally::{Report, Tally};
use crate::sim::{make_servers, RunKey, START};
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

/// Time limits of the rules are so much longer on sockets.
const SLACK: Micros = 50_000;
/// A run whose sends were later than this, one in a hundred, ran late.
const LATE: Micros = 10_000;
/// The most that one run may ask for: requests, nodes and servers.
const MOST: (f64, u32, u32) = (200_000.0, 32, 500);

/// Why a scenario can't be played on sockets.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// It needs what loopback can't play.
    #[error("a {0} can't be played on loopback sockets; the emulator plays it")]
    Trouble(&'static str),
    /// It is too large.
    #[error("it would take {0}; on sockets {1} at most")]
    TooLarge(String, String),
    /// It names another policy.
    #[error("on sockets the node decides (rfq); the policy {0} is played by the emulator alone")]
    Policy(String),
    /// A node did not start, or ended.
    #[error("{program}: {why}")]
    Node {
        /// The program.
        program: PathBuf,
        /// What happened.
        why: String,
    },
    /// A socket failed.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
}

/// What a run on sockets came to.
#[derive(Clone, Debug, Serialize)]
pub struct Played {
    /// As the emulator's; its latencies are withheld (0) where it ran late.
    pub report: Report,
    /// How much later than meant requests were sent, in seconds: median, 99%, the latest.
    pub lag: [f64; 3],
    /// The lab did not keep up: latencies would be its own.
    pub late: bool,
}

/// What a job's dispatcher is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Note {
    Started,
    Done,
    Failed,
}

/// A job at a stand-in.
#[derive(Debug)]
struct Run {
    id: u64,
    fails: bool,
    notes: tokio::sync::mpsc::UnboundedSender<Note>,
}

/// One request as a client handed it in.
#[derive(Clone, Copy, Debug)]
struct Asked {
    work: f64,
    node: u32,
}

/// Everything that the parties share. All of them live on one thread.
#[derive(Debug)]
struct Rig {
    sc: Scenario,
    /// When the clock of the models began.
    origin: Cell<Instant>,
    servers: RefCell<Vec<Server>>,
    runs: RefCell<SlotMap<RunKey, Run>>,
    /// Told when a server's next end has changed.
    turned: Vec<Notify>,
    /// Grows when a server dies: its connections end.
    deaths: Vec<watch::Sender<u32>>,
    addresses: RefCell<Vec<SocketAddr>>,
    asked: RefCell<FxHashMap<u64, Asked>>,
    checker: RefCell<Checker>,
    tally: RefCell<Tally>,
    lag: RefCell<Histogram<u64>>,
    network: RefCell<ChaCha8Rng>,
    failures: RefCell<ChaCha8Rng>,
    clients: RefCell<ChaCha8Rng>,
    /// All changes of the list so far, in order.
    news: watch::Sender<Vec<Endpoint>>,
    silent_until: Cell<Micros>,
    open: Cell<u32>,
}

impl Rig {
    fn new(sc: &Scenario) -> Rc<Rig> {
        let servers = make_servers(sc);
        let limits =
            Limits { slack: sc.rules.deadline_slack + SLACK, drain_grace: sc.rules.drain_grace + SLACK };
        let lag = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        Rc::new(Rig {
            origin: Cell::new(Instant::now()),
            turned: servers.iter().map(|_| Notify::new()).collect(),
            deaths: servers.iter().map(|_| watch::channel(0).0).collect(),
            addresses: RefCell::default(),
            servers: RefCell::new(servers),
            runs: RefCell::default(),
            asked: RefCell::default(),
            checker: RefCell::new(Checker::new(limits)),
            tally: RefCell::new(Tally::new(sc)),
            // These bounds are the crate's own minimum or more.
            lag: RefCell::new(lag.unwrap_or_else(|_| unreachable!())),
            network: RefCell::new(stream(sc.seed, Purpose::Network)),
            failures: RefCell::new(stream(sc.seed, Purpose::Failures)),
            clients: RefCell::new(stream(sc.seed, Purpose::Clients)),
            news: watch::channel(Vec::new()).0,
            silent_until: Cell::new(0),
            open: Cell::new(0),
            sc: sc.clone(),
        })
    }

    /// The time on the clock of the models.
    fn now(&self) -> Micros {
        START + self.origin.get().elapsed().as_micros() as Micros
    }

    /// The moment of a time on that clock.
    fn moment(&self, at: Micros) -> Instant {
        self.origin.get() + Duration::from_micros((at - START).max(0) as u64)
    }
}

fn fits(sc: &Scenario) -> Result<(), LoadError> {
    if let Some(f) = sc.faults.iter().find(|f| matches!(f.kind, FaultKind::Cut | FaultKind::ZoneLoss)) {
        return Err(LoadError::Trouble(if f.kind == FaultKind::Cut { "cut" } else { "zone-loss" }));
    }
    if sc.policy != "rfq" {
        return Err(LoadError::Policy(sc.policy.clone()));
    }
    let requests = sc.rate * sc.length as f64 / 1e6;
    let too = |what: String, most: String| Err(LoadError::TooLarge(what, most));
    match sc {
        _ if requests > MOST.0 => too(format!("{requests:.0} requests"), format!("{:.0}", MOST.0)),
        _ if sc.nodes > MOST.1 => too(format!("{} nodes", sc.nodes), MOST.1.to_string()),
        _ if sc.servers.count > MOST.2 => too(format!("{} servers", sc.servers.count), MOST.2.to_string()),
        _ => Ok(()),
    }
}

/// Play a scenario with nodes of that program.
///
/// # Errors
/// See [`LoadError`]; nothing is left running.
pub fn play(sc: &Scenario, program: &Path) -> Result<Played, LoadError> {
    fits(sc)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run(sc, program))
}

async fn run(sc: &Scenario, program: &Path) -> Result<Played, LoadError> {
    // The models' clock begins when the nodes are ready; until then the fleet stands still.
    let rig = Rig::new(sc);
    let ends = stand::listen(&rig).await?;
    let nodes = nodes::start(&rig, program).await?;
    rig.origin.set(Instant::now());
    stand::begin(&rig, ends);
    let addresses: Vec<SocketAddr> = nodes.iter().map(|n| n.address).collect();
    for (index, f) in sc.faults.iter().enumerate() {
        let struck = struck(sc, &rig.servers.borrow(), index);
        for (at, step) in steps(f, sc.length + sc.longest_deadline()) {
            let (rig, struck, fault) = (rig.clone(), struck.clone(), f.clone());
            spawn_local(async move {
                tokio::time::sleep_until(rig.moment(START + at)).await;
                stand::fault(&rig, &fault, index as u32, step, &struck);
            });
        }
    }
    let sampler = spawn_local(sample(rig.clone()));
    clients::drive(&rig, &addresses).await;
    sampler.abort();
    for node in nodes {
        node.stop().await?;
    }
    let done: f64 = rig.servers.borrow().iter().map(|s| s.done).sum();
    let mut report = rig.tally.borrow().report(sc, 0, done, &rig.checker.borrow());
    let lag = rig.lag.borrow();
    let at = |q: f64| lag.value_at_quantile(q) as f64 / 1e6;
    let late = lag.value_at_quantile(0.99) > LATE as u64;
    if late {
        report.latency = [0.0; 5];
        report.cdf.clear();
    }
    Ok(Played { report, lag: [at(0.5), at(0.99), lag.max() as f64 / 1e6], late })
}

async fn sample(rig: Rc<Rig>) {
    for k in 1.. {
        let at = START + k * 250_000;
        tokio::time::sleep_until(rig.moment(at)).await;
        let servers = rig.servers.borrow();
        let held: u32 = servers.iter().map(|s| s.held() as u32).sum();
        let each = servers.iter().map(Server::held);
        rig.tally.borrow_mut().sample(at - START, held, rig.open.get(), each);
        if at - START >= rig.sc.length {
            return;
        }
    }
}
