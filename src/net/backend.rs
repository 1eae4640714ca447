//! The backend: holds connections to backend servers and makes one attempt at a time on each. It executes the commands of the
//! exchange, reports their outcomes, and never retries by itself.

mod attempt;
mod connection;

use super::close_reason::{CloseReason, Side};
use super::config::Config;
use super::deadlines::Deadlines;
use super::exchange::{Command, DispatchId, Exchange};
use super::pool::Pool;
use super::Job;
use attempt::ConnectionCommand;
use connection::{Dispatch, Target, Task};
use shorepath_scheduler::{AttemptStatus, EndpointId, Idempotency};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tracing::{debug, warn};

/// An idle connection is closed after this fraction of the idle timeout of backend servers, so that they don't close it first.
const IDLE_FRACTION: f64 = 0.7;
/// How long a probe waits for its answer. A server without free capacity answers once it has some; its connection is kept open
/// meanwhile.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A faulty second answer may arrive some milliseconds after the first, and could be taken for the answer to the next job. A job
/// that must not run twice is sent on a connection only this long after the last answer there; data received before that closes
/// the connection.
const QUIET_PERIOD: Duration = Duration::from_millis(30);
/// How long the end of an answer may take to arrive after its last line.
const TAIL_TIMEOUT: Duration = Duration::from_millis(200);

/// Limits on the connections to backend servers.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Most connections that may be open at once.
    pub max_connections: usize,
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// Whether two attempts of one request may be in flight together.
    pub allows_concurrent_attempts: bool,
}

impl ConnectionLimits {
    /// Returns the limits of one of `process_count` processes that share the limits of a configuration.
    pub fn from_config(config: &Config, process_count: u32) -> Self {
        let micros = |t: i64| Duration::from_micros(t.max(0) as u64);
        ConnectionLimits {
            max_connections: config.limits.connections(process_count),
            connect_timeout: micros(config.settings.connect_timeout()),
            idle_timeout: micros(config.settings.idle_timeout()).mul_f64(IDLE_FRACTION),
            allows_concurrent_attempts: config.settings.allows_concurrent_attempts(),
        }
    }
}

/// The backend of a node, with its connections to backend servers.
#[derive(Debug)]
pub struct Backend {
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    pool: Rc<Pool>,
    limits: Cell<ConnectionLimits>,
    servers: RefCell<HashMap<EndpointId, Server>>,
    /// The attempts in flight. Dropping the sender cancels the attempt.
    in_flight: RefCell<HashMap<DispatchId, oneshot::Sender<()>>>,
    connections: Cell<usize>,
    /// Notified when a connection was closed.
    connection_ended: Notify,
    next_idle_number: Cell<u64>,
}

#[derive(Debug)]
struct Server {
    address: SocketAddr,
    /// Address that accepts new requests; `None` if the server accepts none.
    accepts_at: watch::Sender<Option<SocketAddr>>,
    /// Idle connections, the most recently used one at the back: a number, the time of the last answer to a job, and the sender of
    /// commands.
    idle: VecDeque<(u64, Option<Instant>, mpsc::Sender<ConnectionCommand>)>,
}

impl Backend {
    /// Creates a backend without backend servers and connections.
    pub fn new(
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        pool: Rc<Pool>,
        limits: ConnectionLimits,
    ) -> Rc<Self> {
        Rc::new(Backend {
            exchange,
            deadlines,
            pool,
            limits: Cell::new(limits),
            servers: RefCell::default(),
            in_flight: RefCell::default(),
            connections: Cell::new(0),
            connection_ended: Notify::new(),
            next_idle_number: Cell::new(0),
        })
    }

    /// Changes the limits and closes idle connections beyond them.
    pub fn set_limits(&self, limits: ConnectionLimits) {
        self.limits.set(limits);
        for _ in limits.max_connections..self.connections.get() {
            self.evict();
        }
    }

    /// Returns the current limits.
    pub fn limits(&self) -> ConnectionLimits {
        self.limits.get()
    }

    /// Executes commands until the exchange is dropped.
    pub async fn run(self: Rc<Self>, mut commands: mpsc::UnboundedReceiver<Command<Job>>) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Dispatch { id, endpoint, idempotency, payload, write_by, deadline, open } => {
                    let (cancel, cancelled) = oneshot::channel();
                    self.in_flight.borrow_mut().insert(id, cancel);
                    let dispatch = Dispatch { id, idempotency, payload, write_by, deadline, open, cancelled };
                    self.start(endpoint, Task::Dispatch(dispatch));
                }
                Command::Cancel(id) => drop(self.in_flight.borrow_mut().remove(&id)),
                Command::Probe(endpoint) => self.start(endpoint, Task::Probe(Instant::now() + PROBE_TIMEOUT)),
                Command::CloseIdle(endpoint) => self.close_idle(endpoint, CloseReason::ClosedIdle),
                Command::Server { endpoint, address, active } => {
                    self.update_server(endpoint, address, active)
                }
            }
        }
    }

    /// Closes all connections and cancels all attempts. Returns once all are closed, at the latest after the time that the end of
    /// an answer may take.
    pub async fn shut_down(&self) {
        let all: Vec<_> = self.servers.borrow().keys().copied().collect();
        all.into_iter().for_each(|endpoint| self.close_idle(endpoint, CloseReason::Shutdown));
        self.in_flight.borrow_mut().clear();
        let all_ended = async {
            while self.connections.get() > 0 {
                self.connection_ended.notified().await;
            }
        };
        tokio::select! {
            () = all_ended => {}
            () = self.deadlines.after(TAIL_TIMEOUT) => {}
        }
    }

    fn update_server(&self, endpoint: EndpointId, address: Option<SocketAddr>, active: bool) {
        let has_moved = {
            let mut servers = self.servers.borrow_mut();
            match (servers.get_mut(&endpoint), address) {
                (Some(server), address) => {
                    let previous = server.address;
                    server.address = address.unwrap_or(previous);
                    server.accepts_at.send_replace(active.then_some(server.address));
                    previous != server.address
                }
                (None, Some(address)) => {
                    let (accepts_at, _) = watch::channel(active.then_some(address));
                    servers.insert(endpoint, Server { address, accepts_at, idle: VecDeque::new() });
                    false
                }
                (None, None) => false,
            }
        };
        if has_moved || !active {
            self.close_idle(endpoint, CloseReason::ServerLeft);
        }
    }

    fn close_idle(&self, endpoint: EndpointId, close_reason: CloseReason) {
        let mut servers = self.servers.borrow_mut();
        for (_, _, connection) in servers.get_mut(&endpoint).into_iter().flat_map(|s| s.idle.drain(..)) {
            // The receiver is dropped if the connection has just closed by itself.
            let _ = connection.try_send(ConnectionCommand::Close(close_reason));
        }
    }

    /// Closes the connection that has been idle for longest, to any server. Returns false if none is idle.
    fn evict(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let oldest = servers.iter_mut().filter(|(_, s)| !s.idle.is_empty()).min_by_key(|(_, s)| s.idle[0].0);
        let Some((endpoint, server)) = oldest else { return false };
        let (endpoint, Some((_, _, connection))) = (*endpoint, server.idle.pop_front()) else { return false };
        drop(servers);
        self.exchange.idle_closed(endpoint, 0);
        connection.try_send(ConnectionCommand::Close(CloseReason::Evicted)).is_ok()
    }

    fn report_end(&self, id: DispatchId, status: AttemptStatus) {
        self.in_flight.borrow_mut().remove(&id);
        self.exchange.attempt_ended(id, status);
    }

    /// Reports the end of a task for which nothing was written.
    fn task_ended(&self, endpoint: EndpointId, task: &Task, status: AttemptStatus) {
        match task {
            Task::Dispatch(dispatch) => self.report_end(dispatch.id, status),
            Task::Probe(_) => self.exchange.probe_ended(endpoint, status, |_| None),
        }
    }

    /// Starts an attempt or a probe on the most recently used idle connection, or on a new one.
    fn start(self: &Rc<Self>, endpoint: EndpointId, mut task: Task) {
        let target = {
            let mut servers = self.servers.borrow_mut();
            let Some(server) = servers.get_mut(&endpoint) else {
                drop(servers);
                warn!("no attempt or probe was made because its backend server has no address");
                return self.task_ended(endpoint, &task, AttemptStatus::ConnectFailed);
            };
            if let Task::Dispatch(dispatch) = &task {
                debug!("dispatch {}.{} to {}", dispatch.id.request.0, dispatch.id.attempt, server.address);
            }
            let needs_quiet = matches!(&task, Task::Dispatch(dispatch) if dispatch.idempotency == Idempotency::NonIdempotent);
            let is_quiet = |answered_at: &Option<Instant>| {
                !needs_quiet || answered_at.is_none_or(|at| at.elapsed() >= QUIET_PERIOD)
            };
            while let Some(position) =
                server.idle.iter().rposition(|(_, answered_at, _)| is_quiet(answered_at))
            {
                let Some((_, _, connection)) = server.idle.remove(position) else { break };
                match connection.try_send(ConnectionCommand::Run(task)) {
                    Ok(()) => return,
                    Err(mpsc::error::TrySendError::Closed(ConnectionCommand::Run(returned)))
                    | Err(mpsc::error::TrySendError::Full(ConnectionCommand::Run(returned))) => {
                        task = returned
                    }
                    Err(_) => return,
                }
            }
            Target { endpoint, address: server.address, accepts_at: server.accepts_at.subscribe() }
        };
        // Guards against running out of file descriptors. An evicted connection closes a moment later, so the limit is exceeded by
        // one until then.
        if self.connections.get() >= self.limits.get().max_connections && !self.evict() {
            warn!("no attempt or probe was made because the connection limit is reached");
            return self.task_ended(endpoint, &task, AttemptStatus::ConnectFailed);
        }
        self.connections.set(self.connections.get() + 1);
        let backend = self.clone();
        tokio::task::spawn_local(async move {
            let address = target.address;
            let (close_reason, messages, unstarted) = backend.run_connection(target, task).await;
            backend.connections.set(backend.connections.get() - 1);
            close_reason.log(Side::Backend, address, messages);
            backend.connection_ended.notify_one();
            // Nothing was written for this task, so this is not a retry.
            if let Some(task) = unstarted {
                backend.start(endpoint, task);
            }
        });
    }
}
