//! The node's network side: a frontend for clients and a backend for backend servers, connected by an
//! [`exchange::Exchange`], and a server table that follows discovery.

pub mod admin;
pub mod answers;
pub mod auditing;
pub mod backend;
pub mod backoff;
pub mod close_reason;
pub mod codec;
pub mod config;
pub mod connection;
pub mod deadlines;
pub mod draining;
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
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};
use tracing::{debug, info, warn};

/// A client's request, to be dispatched to a backend server.
#[derive(Debug)]
pub struct Job {
    /// The `Host` field of the request.
    pub host: String,
    /// The request id that the client chose.
    pub id: Claim,
    /// The tenant; `None` if the request names none.
    pub tenant: Option<String>,
    /// The client's home site; `None` without sites or if the request names none.
    pub home_site: Option<String>,
    /// The idempotency key by which backend servers drop repeated requests, passed on unchanged; `None` if the request has none.
    pub repeat_key: Option<String>,
    /// Path and query of the request.
    pub target: String,
    /// Body of the request.
    pub body: Buffer,
}

/// Waits until the runtime has polled the sockets again, so that all data that arrived before the call can be read. A task that only
/// yields may be resumed before that, by any other wake-up.
async fn poll_sockets() {
    // Fails only if the runtime shuts down.
    let _ = spawn_local(tokio::task::yield_now()).await;
}

/// Why the node could not start or had to stop serving.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The address for clients or for operators can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address to bind.
        address: SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
    /// A component's task ended, which only a bug causes.
    #[error("the task of the {0} has ended unexpectedly")]
    TaskEnded(&'static str),
    /// The budgets file or its keys can't be used, or the file does not list this node.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// The sites file, the accounts file or their keys can't be used, or the sites file does not list this node.
    #[error("{0}")]
    Sites(#[from] SitesError),
    /// The runtime or the signal handlers can't be set up.
    #[error("can't start: {0}")]
    Start(#[from] std::io::Error),
}

/// Longest wait of a successor process for discovery's list before it accepts clients.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between attempts to bind an address that an ended process may still use.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Most connections that wait to be accepted; the system drops further ones, whose clients try again only after a second.
const LISTEN_BACKLOG: u32 = 1_024;

/// The runtime and the signal handlers, installed before the configuration is read. Guards against a signal
/// during the start that would end the process by default: a reload or a stop that is requested meanwhile is
/// carried out once the node serves.
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
    /// Installs the signal handlers; signals that arrive before [`serve`] are handled there.
    ///
    /// # Errors
    /// Fails if the runtime or a signal handler can't be set up.
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

/// Serves until SIGTERM or SIGINT arrives, then shuts down gracefully. `reload_config` reads the configuration
/// again on SIGHUP.
///
/// # Errors
/// Fails if an address can't be bound, the node can't join its fleet or sites, or a component fails.
pub fn serve(
    startup: Startup,
    config: Config,
    handover_mode: HandoverMode,
    fleet_settings: Option<FleetSettings>,
    sites_settings: Option<SitesSettings>,
    reload_config: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), ServeError> {
    let Startup { runtime, signals } = startup;
    LocalSet::new().block_on(
        &runtime,
        run(signals, config, handover_mode, fleet_settings, sites_settings, reload_config),
    )
}

/// Reloads the configuration and applies the changes to the running components.
struct Reloader<F> {
    config: Config,
    reload_config: F,
    exchange: Rc<Exchange<Job>>,
    backend: Rc<Backend>,
    discovery_address: watch::Sender<SocketAddr>,
    fleet: Option<Rc<Fleet>>,
    sites: Option<Rc<Sites>>,
}

impl<F: Fn() -> Result<Config, ConfigError>> Reloader<F> {
    /// Reads all files again and applies them without yielding, so that no request sees a partial change.
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
                    if let Some(audit_recorder) = self.sites.as_ref().and_then(|s| s.audit_recorder()) {
                        let (version, content) = fleet.version();
                        audit_recorder.record_version(
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
        // A file that can't be used changes nothing: the previous configuration stays in force completely.
        let changes = match (self.reload_config)().and_then(|newer| self.config.update(newer)) {
            Ok(changes) => changes,
            Err(e) => {
                warn!("the old configuration stays: {e}");
                return;
            }
        };
        info!("configuration read again: discovery at {}", self.config.discovery);
        if !changes.needs_restart.is_empty() {
            warn!("a restart is needed for what has changed in: {}", changes.needs_restart.join(", "));
        }
        if changes.settings_changed {
            info!("new settings are in force");
            self.exchange.reconfigure(self.config.settings.clone());
            if let Some(audit_recorder) = self.sites.as_ref().and_then(|s| s.audit_recorder()) {
                audit_recorder.record_version(
                    Item::Settings,
                    self.config.settings_hash,
                    None,
                    ChangeSource::Operator,
                );
            }
            self.backend
                .set_limits(ConnectionLimits::from_config(&self.config, self.exchange.process_count()));
        }
        if let Some(address) = changes.new_discovery {
            self.discovery_address.send_replace(address);
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, ServeError> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    bind().map_err(|source| ServeError::Listen { address, source })
}

/// Binds an address whose previous process has just ended, and retries while it is still in use. Guards against a failed start: the
/// sockets of the ended process close one after another, so its Unix socket may be closed before the address is free.
async fn listen_after_exit(address: SocketAddr) -> Result<TcpListener, ServeError> {
    let deadline = Instant::now() + handover::TIMEOUT;
    loop {
        match listen(address) {
            Err(ServeError::Listen { source, .. })
                if source.kind() == ErrorKind::AddrInUse && Instant::now() < deadline =>
            {
                debug!("{address} is not free yet");
                // Blocking is harmless here: nothing is served yet.
                std::thread::sleep(BIND_RETRY_DELAY);
            }
            other => return other,
        }
    }
}

async fn run(
    signals: Signals,
    mut config: Config,
    handover_mode: HandoverMode,
    fleet_settings: Option<FleetSettings>,
    sites_settings: Option<SitesSettings>,
    reload_config: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> Result<(), ServeError> {
    // A successor needs an operators' address of its own, at which its readiness can be checked. Deployments without
    // one may forbid Unix sockets, so none is opened there. Two processes can't share the state folder of a site.
    let handover_mode =
        if config.mgmt.is_some() && sites_settings.is_none() { handover_mode } else { HandoverMode::Off };
    let Signals { mut hangup, mut terminate, mut interrupt } = signals;
    let (listener, predecessor) = match handover::inherit(config.listen, handover_mode) {
        PreviousProcess::Serving((listener, link)) => (TcpListener::from_std(listener)?, Some(link)),
        PreviousProcess::Ended => (listen_after_exit(config.listen).await?, None),
        PreviousProcess::Absent => (listen(config.listen)?, None),
    };
    let listener = Rc::new(listener);
    let address = listener.local_addr()?;
    let admin_listener = match config.mgmt {
        Some(address) => Some(listen(address)?),
        None => None,
    };
    if let Some(admin_listener) = &admin_listener {
        info!("operators call at {}", admin_listener.local_addr()?);
    }
    let deadlines = Rc::new(Deadlines::default());
    let pool = Rc::new(Pool::new(config.limits.message_bytes()));
    let (exchange, orders) = Exchange::new(&config.settings, config.seed, deadlines.clone());
    let backend = Backend::new(
        exchange.clone(),
        deadlines.clone(),
        pool.clone(),
        ConnectionLimits::from_config(&config, 1),
    );
    let (discovery_address, discovery_updates) = watch::channel(config.discovery);
    let backoff = Backoff::new(config.seed, config.settings.polling_nodes(), Instant::now());
    let call_limit = Rc::new(DiscoveryCallLimit::default());
    let limits = config.limits;
    // A separate pool: message bodies of clients must not use up the memory for a list.
    let list_pool = Rc::new(Pool::new(limits.message_bytes()));
    let mut table = ServerTable::new(
        exchange.clone(),
        deadlines.clone(),
        list_pool,
        discovery_updates,
        backoff,
        call_limit.clone(),
    );
    let frontend = Frontend::new(
        exchange.clone(),
        deadlines.clone(),
        pool.clone(),
        limits.connections(1),
        limits.used_id_bytes(),
    );
    let handover = Handover::new(
        frontend.clone(),
        deadlines.clone(),
        (address, handover_mode),
        Rc::downgrade(&listener),
        {
            let (exchange, backend, frontend) = (exchange.clone(), backend.clone(), frontend.clone());
            move |processes| {
                exchange.set_process_count(processes);
                pool.set_processes(processes);
                frontend.set_max_connections(limits.connections(processes));
                backend.set_limits(ConnectionLimits {
                    max_connections: limits.connections(processes),
                    ..backend.limits()
                });
            }
        },
    );

    let fleet = match fleet_settings {
        Some(fleet_settings) => Some(Fleet::new(
            &config.name,
            fleet_settings,
            exchange.clone(),
            frontend.clone(),
            deadlines.clone(),
            call_limit,
        )?),
        None => None,
    };
    let sites = match sites_settings {
        Some(sites_settings) => {
            let (exchange, deadlines) = (exchange.clone(), deadlines.clone());
            let (sites, committed) =
                Sites::new(&config.name, sites_settings, exchange.clone(), deadlines, fleet.as_deref())?;
            frontend.set_sites(sites.clone());
            exchange.set_recorder(sites.clone());
            if let Some((last_list, stored)) = sites.last_list() {
                table.restore(last_list, stored.filter(|_| config.known_servers.is_empty()));
            }
            if let Some(audit_recorder) = sites.audit_recorder() {
                audit_recorder.record_version(
                    Item::Program,
                    auditing::program_hash(),
                    None,
                    ChangeSource::Start,
                );
                audit_recorder.record_version(
                    Item::Settings,
                    config.settings_hash,
                    None,
                    ChangeSource::Start,
                );
                if let Some((version, content)) = fleet.as_ref().map(|f| f.version()) {
                    audit_recorder.record_version(Item::Budgets, content, Some(version), ChangeSource::Start);
                }
                audit_recorder.start();
                exchange.set_auditor(audit_recorder.clone());
            }
            Some((sites, committed))
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
    let table = spawn_local(table.follow(std::mem::take(&mut config.known_servers)));
    let mut accepting = spawn_local({
        let (frontend, exchange, deadlines) = (frontend.clone(), exchange.clone(), deadlines.clone());
        let has_predecessor = predecessor.is_some();
        async move {
            // The predecessor accepts clients until then.
            if has_predecessor {
                let mut lists = exchange.subscribe_lists();
                tokio::select! {
                    _ = lists.wait_for(|n| *n > 1) => {}
                    () = deadlines.after(FIRST_LIST_TIMEOUT) => {}
                }
            }
            frontend.accept(listener).await
        }
    });
    let handover = spawn_local(handover.run(predecessor));
    let admin = spawn_local({
        let admin =
            AdminServer::new(frontend.clone(), deadlines.clone(), sites.as_ref().map(|s| s.0.clone()));
        async move {
            match admin_listener {
                Some(admin_listener) => admin.serve(admin_listener).await,
                None => std::future::pending().await,
            }
        }
    });
    if let Some(limit) = config.descriptor_limit {
        warn!(
            "the system allows only {limit} descriptors, fewer than 'limits.sockets': using the lower limit"
        );
    }
    info!("{} serves on {address}", config.name);
    let fleet_task = fleet.clone().map(|fleet| spawn_local(fleet.run()));
    let fleet_task = async {
        match fleet_task {
            Some(task) => drop(task.await),
            None => std::future::pending().await,
        }
    };
    let reloaded_sites = sites.as_ref().map(|s| s.0.clone());
    let sites_task = sites.map(|(sites, committed)| spawn_local(sites.run(committed)));
    let sites_task = async {
        match sites_task {
            Some(task) => drop(task.await),
            None => std::future::pending().await,
        }
    };
    let mut reloader = Reloader {
        config,
        reload_config,
        exchange: exchange.clone(),
        backend: backend.clone(),
        discovery_address,
        fleet: fleet.clone(),
        sites: reloaded_sites,
    };

    // Guards against a node that runs on without one of its components: a panic ends only the component's task.
    let ended_component = async {
        tokio::select! {
            _ = sweep => "deadlines",
            _ = wake => "exchange",
            _ = orders => "backend",
            _ = table => "server table",
            _ = admin => "admin server",
            _ = handover => "handover",
            () = fleet_task => "fleet",
            () = sites_task => "sites",
        }
    };
    let mut ended_component = std::pin::pin!(ended_component);
    loop {
        tokio::select! {
            biased;
            // A pending reload comes before a stop, so that the shutdown follows the new settings if both signals are pending, as
            // after the process was suspended.
            Some(()) = hangup.recv() => reloader.reload(),
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            component = &mut ended_component => return Err(ServeError::TaskEnded(component)),
            _ = &mut accepting => return Err(ServeError::TaskEnded("frontend")),
        }
    }
    info!("shutting down: {} requests are open", exchange.open_count());
    let stopping = Stopping::new(Instant::now(), exchange.longest_deadline());
    frontend.start_stopping(stopping);
    let drained = async {
        deadlines.at(stopping.refuse_at()).await;
        frontend.refuse_connections();
        let accepted = async {
            let _ = accepting.await;
            info!("the listener is closed for the shutdown: new connections are refused");
        };
        let closes = async {
            frontend.wait_until_closing().await;
            frontend.close_connections();
        };
        // Connections that a full node has not accepted yet do not delay the closing of the others.
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
                reloader.reload();
                frontend.shorten_stopping(exchange.longest_deadline());
            }
            () = &mut drained => break,
            component = &mut ended_component => return Err(ServeError::TaskEnded(component)),
        }
    }
    info!("stopped");
    Ok(())
}
