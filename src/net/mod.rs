//! The node on sockets: a frontend for clients and a backend for backend servers, which meet in an
//! [`exchange::Exchange`], and a server table that follows discovery.

pub mod admin;
pub mod answers;
pub mod auditing;
pub mod backend;
pub mod backoff;
pub mod close_reason;
pub mod codec;
pub mod config;
pub mod deadlines;
pub mod exchange;
pub mod fleet;
pub mod frontend;
pub mod handover;
pub mod key_leases;
pub mod load_shifting;
pub mod objects;
pub mod placing;
pub mod pool;
pub mod recovering;
pub mod server_table;
pub mod sites;
pub mod stopping;

use admin::AdminServer;
use backend::{Backend, ConnectionLimits};
use backoff::Backoff;
use config::{Config, ConfigError};
use deadlines::Deadlines;
use exchange::Exchange;
use fleet::{DiscoveryCallLimit, Fleet, FleetError, FleetSettings};
use frontend::{Claim, Frontend};
pub use handover::HandoverMode;
use handover::{Handover, PreviousProcess};
use pool::{Buffer, Pool};
use server_table::ServerTable;
use shorepath_audit::audit_log::ChangeSource;
use shorepath_audit::version::Item;
use sites::{Sites, SitesError, SitesSettings};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use stopping::Stopping;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tracing::{debug, info, warn};

/// A request as it goes on to a backend server.
#[derive(Debug)]
pub struct Job {
    /// The host it was meant for.
    pub host: String,
    /// Its id, as the client wrote it.
    pub id: Claim,
    /// Its tenant, if it named one.
    pub tenant: Option<String>,
    /// The site that its client belongs to, if it named one; read only where there are sites.
    pub home_site: Option<String>,
    /// What backend servers drop its repeats by, if it carries that: passed on unchanged.
    pub repeat_key: Option<String>,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Buffer,
}

/// Ready once the sockets have been looked at anew. Guards whoever wants to know what has come by now: a task that yields by itself goes
/// on at once where anything else has woken it, as its own request does.
async fn turn() {
    // It ends with the runtime alone, and then there is nothing to look at.
    let _ = spawn_local(tokio::task::yield_now()).await;
}

/// Why the node could not serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The address for clients, or for operators, can't be had.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A part of the node has ended, which it does only by a fault.
    #[error("the {0} has ended")]
    Part(&'static str),
    /// The node can't take part in its fleet.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// The node can't take part in its sites.
    #[error("{0}")]
    Sites(#[from] SitesError),
    /// The system gave no runtime or no signals.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
}

/// A process that takes over waits this long at most for discovery's list before it takes clients.
const FIRST_LIST: Duration = Duration::from_millis(1_500);
/// The pause before an address is tried again that a process which has ended may still hold.
const NOT_FREE: Duration = Duration::from_millis(10);

/// The program's runtime, and the signals that come from the moment on in which it was made. Guards against
/// ending on a signal that comes while the configuration is read, which the system does to a program that does
/// not handle it: a node that is told to read again, or to stop, while it starts has to serve first.
#[derive(Debug)]
pub struct Startup {
    runtime: tokio::runtime::Runtime,
    signals: Signals,
}

#[derive(Debug)]
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Startup {
    /// Signals wait from now on, until the node serves.
    pub fn new() -> Result<Self, ServeError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let signals = {
            let _entered = runtime.enter();
            Signals {
                hangup: signal(SignalKind::hangup())?,
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            }
        };
        Ok(Startup { runtime, signals })
    }
}

/// Serve until told to stop; `again` reads the configuration once more.
pub fn serve(
    startup: Startup,
    config: Config,
    handing: HandoverMode,
    sharing: Option<FleetSettings>,
    siting: Option<SitesSettings>,
    again: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), ServeError> {
    let Startup { runtime, signals } = startup;
    LocalSet::new().block_on(&runtime, run(signals, config, handing, sharing, siting, again))
}

/// What reads the configuration again.
struct Reload<A> {
    config: Config,
    again: A,
    exchange: Rc<Exchange<Job>>,
    backend: Rc<Backend>,
    discovery: watch::Sender<SocketAddr>,
    fleet: Option<Rc<Fleet>>,
    sites: Option<Rc<Sites>>,
}

impl<A: Fn() -> Result<Config, ConfigError>> Reload<A> {
    /// Take over what the files say now, all of it in one turn: no request comes between.
    fn reload(&mut self) {
        if let Some(sites) = &self.sites {
            match sites.reload() {
                Ok(version) => info!("files of sites and accounts read again: version {version}"),
                Err(e) => warn!("the old files of sites and accounts stay: {e}"),
            }
        }
        if let Some(fleet) = &self.fleet {
            match fleet.reload() {
                Ok(version) => {
                    info!("file of budgets read again: version {version}");
                    if let Some(auditing) = self.sites.as_ref().and_then(|s| s.audit_recorder()) {
                        let (version, content) = fleet.version();
                        auditing.record_version(
                            Item::Budgets,
                            content,
                            Some(version),
                            ChangeSource::Operator,
                        );
                    }
                }
                Err(e) => warn!("the old file of budgets stays: {e}"),
            }
        }
        // Guards against a file that can't be used: the node serves on by the old one, whole.
        let renewed = match (self.again)().and_then(|newer| self.config.renew(newer)) {
            Ok(renewed) => renewed,
            Err(e) => {
                warn!("the old configuration stays: {e}");
                return;
            }
        };
        info!("configuration read again: discovery at {}", self.config.discovery);
        if !renewed.waits.is_empty() {
            warn!("a restart is needed for what has changed in: {}", renewed.waits.join(", "));
        }
        if renewed.is_reconfigured {
            info!("new settings hold");
            self.exchange.reconfigure(self.config.setup.clone());
            if let Some(auditing) = self.sites.as_ref().and_then(|s| s.audit_recorder()) {
                auditing.record_version(Item::Settings, self.config.settings, None, ChangeSource::Operator);
            }
            self.backend
                .set_limits(ConnectionLimits::from_config(&self.config, self.exchange.process_count()));
        }
        if let Some(address) = renewed.moved {
            self.discovery.send_replace(address);
        }
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).await.map_err(|source| ServeError::Listen { address, source })
}

/// Listen where a process has just ended. Guards against no process at all: its sockets close one after another, so the one by which
/// it is found may be gone before the address is free.
async fn listen_after(address: SocketAddr) -> Result<TcpListener, ServeError> {
    let end = Instant::now() + handover::TIMEOUT;
    loop {
        match listen(address).await {
            Err(ServeError::Listen { source, .. })
                if source.kind() == ErrorKind::AddrInUse && Instant::now() < end =>
            {
                debug!("{address} is not free yet");
                // Nothing is served yet that this could hold up.
                std::thread::sleep(NOT_FREE);
            }
            other => return other,
        }
    }
}

async fn run(
    signals: Signals,
    mut config: Config,
    handing: HandoverMode,
    sharing: Option<FleetSettings>,
    siting: Option<SitesSettings>,
    again: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), ServeError> {
    // A process that replaces another has a door of its own, or nobody could ask it whether it is ready.
    // Guards deployments without doors, which may refuse Unix sockets, against being handed one.
    // Nor can two processes share what a site keeps on its disk.
    let handing = if config.mgmt.is_some() && siting.is_none() { handing } else { HandoverMode::Off };
    let Signals { mut hangup, mut terminate, mut interrupt } = signals;
    let (listener, before) = match handover::inherit(config.listen, handing) {
        PreviousProcess::Serving((listener, link)) => (TcpListener::from_std(listener)?, Some(link)),
        PreviousProcess::Ended => (listen_after(config.listen).await?, None),
        PreviousProcess::Absent => (listen(config.listen).await?, None),
    };
    let listener = Rc::new(listener);
    let address = listener.local_addr()?;
    let calls = match config.mgmt {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    if let Some(calls) = &calls {
        info!("operators call at {}", calls.local_addr()?);
    }
    let deadlines = Rc::new(Deadlines::default());
    let pool = Rc::new(Pool::new(config.limits.messages()));
    let (exchange, orders) = Exchange::new(&config.setup, config.seed, deadlines.clone());
    let backend = Backend::new(
        exchange.clone(),
        deadlines.clone(),
        pool.clone(),
        ConnectionLimits::from_config(&config, 1),
    );
    let (discovery, notified) = watch::channel(config.discovery);
    let backoff = Backoff::new(config.seed, config.setup.polling_nodes(), Instant::now());
    let lists = Rc::new(DiscoveryCallLimit::default());
    let limits = config.limits;
    // Its own: what clients hold of the node's buffers must not keep a list out.
    let of_lists = Rc::new(Pool::new(limits.messages()));
    let mut table =
        ServerTable::new(exchange.clone(), deadlines.clone(), of_lists, notified, backoff, lists.clone());
    let frontend = Frontend::new(exchange.clone(), deadlines.clone(), pool.clone(), limits.connections(1));
    let handover =
        Handover::new(frontend.clone(), deadlines.clone(), (address, handing), Rc::downgrade(&listener), {
            let (exchange, backend, frontend) = (exchange.clone(), backend.clone(), frontend.clone());
            move |parts| {
                exchange.set_process_count(parts);
                pool.share(parts);
                frontend.set_max_connections(limits.connections(parts));
                backend.set_limits(ConnectionLimits {
                    max_connections: limits.connections(parts),
                    ..backend.limits()
                });
            }
        });

    let fleet = match sharing {
        Some(sharing) => Some(Fleet::new(
            &config.name,
            sharing,
            exchange.clone(),
            frontend.clone(),
            deadlines.clone(),
            lists,
        )?),
        None => None,
    };
    let sites = match siting {
        Some(siting) => {
            let (exchange, deadlines) = (exchange.clone(), deadlines.clone());
            let (sites, written) =
                Sites::new(&config.name, siting, exchange.clone(), deadlines, fleet.as_deref())?;
            frontend.set_sites(sites.clone());
            exchange.set_recorder(sites.clone());
            if let Some((last, kept)) = sites.last_list() {
                table.keep(last, kept.filter(|_| config.known.is_empty()));
            }
            if let Some(auditing) = sites.audit_recorder() {
                auditing.record_version(Item::Program, auditing::program_hash(), None, ChangeSource::Start);
                auditing.record_version(Item::Settings, config.settings, None, ChangeSource::Start);
                if let Some((version, content)) = fleet.as_ref().map(|f| f.version()) {
                    auditing.record_version(Item::Budgets, content, Some(version), ChangeSource::Start);
                }
                auditing.start();
                exchange.set_auditor(auditing.clone());
            }
            Some((sites, written))
        }
        None => None,
    };
    let sweep = spawn_local({
        let deadlines = deadlines.clone();
        async move { deadlines.sweep().await }
    });
    let wake = spawn_local({
        let exchange = exchange.clone();
        async move { exchange.run_wakeups().await }
    });
    let orders = spawn_local(backend.clone().run(orders));
    let table = spawn_local(table.follow(std::mem::take(&mut config.known)));
    let mut accepting = spawn_local({
        let (frontend, exchange, deadlines) = (frontend.clone(), exchange.clone(), deadlines.clone());
        let follows = before.is_some();
        async move {
            // Until then the process before it serves.
            if follows {
                let mut lists = exchange.subscribe_lists();
                tokio::select! {
                    _ = lists.wait_for(|n| *n > 1) => {}
                    () = deadlines.after(FIRST_LIST) => {}
                }
            }
            frontend.accept(listener).await
        }
    });
    let handover = spawn_local(handover.run(before));
    let admin = spawn_local({
        let admin =
            AdminServer::new(frontend.clone(), deadlines.clone(), sites.as_ref().map(|s| s.0.clone()));
        async move {
            match calls {
                Some(calls) => admin.attend(calls).await,
                None => std::future::pending().await,
            }
        }
    });
    if let Some(most) = config.fewer {
        warn!("the system allows {most} descriptors, fewer than 'limits.sockets': the node keeps to these");
    }
    info!("{} serves on {address}", config.name);
    let takes_part = fleet.clone().map(|fleet| spawn_local(fleet.run()));
    let takes_part = async {
        match takes_part {
            Some(part) => drop(part.await),
            None => std::future::pending().await,
        }
    };
    let read_again = sites.as_ref().map(|s| s.0.clone());
    let among_sites = sites.map(|(sites, written)| spawn_local(sites.run(written)));
    let among_sites = async {
        match among_sites {
            Some(part) => drop(part.await),
            None => std::future::pending().await,
        }
    };
    let mut reload = Reload {
        config,
        again,
        exchange: exchange.clone(),
        backend: backend.clone(),
        discovery,
        fleet: fleet.clone(),
        sites: read_again,
    };

    // Guards against a node that goes on without one of its parts: a panic ends only its task.
    let parts = async {
        tokio::select! {
            _ = sweep => "deadlines",
            _ = wake => "exchange",
            _ = orders => "backend",
            _ = table => "server table",
            _ = admin => "door",
            _ = handover => "handover",
            () = takes_part => "fleet",
            () = among_sites => "sites",
        }
    };
    let mut parts = std::pin::pin!(parts);
    loop {
        tokio::select! {
            biased;
            // Guards the times of stopping against settings that were replaced before: both signals may be found
            // in one turn, as where the process stood still.
            Some(()) = hangup.recv() => reload.reload(),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            part = &mut parts => return Err(ServeError::Part(part)),
            _ = &mut accepting => return Err(ServeError::Part("frontend")),
        }
    }
    info!("told to stop: {} requests are open", exchange.open_count());
    let stopping = Stopping::new(Instant::now(), exchange.longest_deadline());
    frontend.start_stopping(stopping);
    let drained = async {
        deadlines.at(stopping.refuses()).await;
        frontend.refuse_connections();
        let accepted = async {
            let _ = accepting.await;
            info!("new connections are refused");
        };
        let closes = async {
            frontend.wait_until_closing().await;
            frontend.close_connections();
        };
        // Those that wait at a full node are no reason to close any later.
        tokio::join!(accepted, closes);
        frontend.wait_until_closed().await;
        backend.shut_down().await;
        if let Some(fleet) = &fleet {
            fleet.leave().await;
        }
    };
    let mut drained = std::pin::pin!(drained);
    loop {
        tokio::select! {
            biased;
            Some(()) = hangup.recv() => {
                reload.reload();
                frontend.shorten_stopping(exchange.longest_deadline());
            }
            () = &mut drained => break,
            part = &mut parts => return Err(ServeError::Part(part)),
        }
    }
    info!("stopped");
    Ok(())
}
