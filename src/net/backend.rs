//! The backend: connections to backend servers, and one attempt at a time on each. It carries out the
//! exchange's orders, reports what becomes of them, and sends nothing again by itself.

mod attempt;
mod connection;

use super::close_reason::{CloseReason, Side};
use super::config::Config;
use super::deadlines::Deadlines;
use super::exchange::{DispatchId, Exchange, Order};
use super::pool::Pool;
use super::Job;
use attempt::Call;
use connection::{Dispatch, Target, Task};
use shorepath_scheduler::{AttemptStatus, EndpointId, Idempotency};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tracing::{debug, warn};

/// Connections to backend servers are closed after this part of the time that those allow.
const IDLE_PART: f64 = 0.7;
/// How long a probe waits for its answer. A server that has no room answers when it has: the connection
/// is kept for that long, so that it need not be opened again.
const PROBE: Duration = Duration::from_millis(1_000);
/// A second answer may come some milliseconds after the first, and nothing in it says whose it is. A job that must not run
/// twice is put on a connection only this long after the last answer there: what comes until then ends that connection.
const QUIET: Duration = Duration::from_millis(30);
/// How long the end of an answer may take after its last line.
const TAIL: Duration = Duration::from_millis(200);

/// What the backend may use.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Connections that may be open.
    pub connections: usize,
    /// How long one may take to come up.
    pub connect_timeout: Duration,
    /// How long one may stand idle.
    pub idle: Duration,
}

impl Bounds {
    /// Those of a configuration, for one of so many processes that share it.
    pub fn of(config: &Config, parts: u32) -> Self {
        let micros = |t: i64| Duration::from_micros(t.max(0) as u64);
        Bounds {
            connections: config.limits.connections(parts),
            connect_timeout: micros(config.settings.connect_timeout()),
            idle: micros(config.settings.idle_timeout()).mul_f64(IDLE_PART),
        }
    }
}

/// The connections to backend servers.
#[derive(Debug)]
pub struct Backend {
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    pool: Rc<Pool>,
    bounds: Cell<Bounds>,
    servers: RefCell<HashMap<EndpointId, Server>>,
    /// What calls off the attempts that are out.
    out: RefCell<HashMap<DispatchId, oneshot::Sender<()>>>,
    connections: Cell<usize>,
    /// Told whenever a connection has ended.
    ended: Notify,
    parked: Cell<u64>,
}

#[derive(Debug)]
struct Server {
    address: SocketAddr,
    /// Where it may be sent anything new, if it may.
    takes_at: watch::Sender<Option<SocketAddr>>,
    /// Idle connections, the one used last at the back, by their number, with the time at which one last brought a job's answer.
    idle: VecDeque<(u64, Option<Instant>, mpsc::Sender<Call>)>,
}

impl Backend {
    /// A backend without connections.
    pub fn new(
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        pool: Rc<Pool>,
        bounds: Bounds,
    ) -> Rc<Self> {
        Rc::new(Backend {
            exchange,
            deadlines,
            pool,
            bounds: Cell::new(bounds),
            servers: RefCell::default(),
            out: RefCell::default(),
            connections: Cell::new(0),
            ended: Notify::new(),
            parked: Cell::new(0),
        })
    }

    /// Keep to other bounds from now on.
    pub fn bound(&self, bounds: Bounds) {
        self.bounds.set(bounds);
        for _ in bounds.connections..self.connections.get() {
            self.evict();
        }
    }

    /// What it may use.
    pub fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Carry out orders for as long as the exchange lasts.
    pub async fn run(self: Rc<Self>, mut orders: mpsc::UnboundedReceiver<Order<Job>>) {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Dispatch { id, worker, effect, payload, written_by, until, wanted } => {
                    let (cancel, cancelled) = oneshot::channel();
                    self.out.borrow_mut().insert(id, cancel);
                    let dispatch = Dispatch { id, effect, payload, written_by, until, wanted, cancelled };
                    self.begin(worker, Task::Dispatch(dispatch));
                }
                Order::Cancel(id) => drop(self.out.borrow_mut().remove(&id)),
                Order::Probe(worker) => self.begin(worker, Task::Probe(Instant::now() + PROBE)),
                Order::CloseIdle(worker) => self.close_idle(worker, CloseReason::ClosedIdle),
                Order::Server { worker, address, active } => self.server(worker, address, active),
            }
        }
    }

    /// Close all connections, once nobody waits for an answer any more. Ready when all have ended; one
    /// that is still reading the tail of an answer is not waited for longer than that may take.
    pub async fn shut_down(&self) {
        let all: Vec<_> = self.servers.borrow().keys().copied().collect();
        all.into_iter().for_each(|worker| self.close_idle(worker, CloseReason::Shutdown));
        self.out.borrow_mut().clear();
        let all_ended = async {
            while self.connections.get() > 0 {
                self.ended.notified().await;
            }
        };
        tokio::select! {
            () = all_ended => {}
            () = self.deadlines.after(TAIL) => {}
        }
    }

    fn server(&self, worker: EndpointId, address: Option<SocketAddr>, active: bool) {
        let moved = {
            let mut servers = self.servers.borrow_mut();
            match (servers.get_mut(&worker), address) {
                (Some(server), address) => {
                    let before = server.address;
                    server.address = address.unwrap_or(before);
                    server.takes_at.send_replace(active.then_some(server.address));
                    before != server.address
                }
                (None, Some(address)) => {
                    let (takes_at, _) = watch::channel(active.then_some(address));
                    servers.insert(worker, Server { address, takes_at, idle: VecDeque::new() });
                    false
                }
                (None, None) => false,
            }
        };
        if moved || !active {
            self.close_idle(worker, CloseReason::ServerLeft);
        }
    }

    fn close_idle(&self, worker: EndpointId, close_reason: CloseReason) {
        let mut servers = self.servers.borrow_mut();
        for (_, _, connection) in servers.get_mut(&worker).into_iter().flat_map(|s| s.idle.drain(..)) {
            // One that has just ended by itself needs no telling.
            let _ = connection.try_send(Call::Close(close_reason));
        }
    }

    /// Close the connection that has been idle for longest, wherever it goes, if there is one.
    fn evict(&self) -> bool {
        let mut servers = self.servers.borrow_mut();
        let oldest = servers.iter_mut().filter(|(_, s)| !s.idle.is_empty()).min_by_key(|(_, s)| s.idle[0].0);
        let Some((worker, server)) = oldest else { return false };
        let (worker, Some((_, _, connection))) = (*worker, server.idle.pop_front()) else { return false };
        drop(servers);
        self.exchange.idle_closed(worker, 0);
        connection.try_send(Call::Close(CloseReason::Evicted)).is_ok()
    }

    fn report(&self, id: DispatchId, status: AttemptStatus) {
        self.out.borrow_mut().remove(&id);
        self.exchange.ended(id, status);
    }

    /// How a task that never got a connection, or lost it, has ended.
    fn ended(&self, worker: EndpointId, task: &Task, status: AttemptStatus) {
        match task {
            Task::Dispatch(dispatch) => self.report(dispatch.id, status),
            Task::Probe(_) => self.exchange.probed(worker, status, |_| None),
        }
    }

    /// Put an attempt, or a probe, on the idle connection used last, or on a new one.
    fn begin(self: &Rc<Self>, worker: EndpointId, mut task: Task) {
        let target = {
            let mut servers = self.servers.borrow_mut();
            let Some(server) = servers.get_mut(&worker) else {
                drop(servers);
                warn!("a dispatch to a server without an address was not made");
                return self.ended(worker, &task, AttemptStatus::ConnectFailed);
            };
            if let Task::Dispatch(dispatch) = &task {
                debug!("dispatch {}.{} to {}", dispatch.id.request.0, dispatch.id.attempt, server.address);
            }
            let wary =
                matches!(&task, Task::Dispatch(dispatch) if dispatch.effect == Idempotency::NonIdempotent);
            let quiet = |answered: &Option<Instant>| !wary || answered.is_none_or(|at| at.elapsed() >= QUIET);
            while let Some(place) = server.idle.iter().rposition(|(_, answered, _)| quiet(answered)) {
                let Some((_, _, connection)) = server.idle.remove(place) else { break };
                match connection.try_send(Call::Do(task)) {
                    Ok(()) => return,
                    Err(mpsc::error::TrySendError::Closed(Call::Do(back)))
                    | Err(mpsc::error::TrySendError::Full(Call::Do(back))) => task = back,
                    Err(_) => return,
                }
            }
            Target { worker, address: server.address, takes_at: server.takes_at.subscribe() }
        };
        // Guards against running out of descriptors. The place of one that is evicted is free a moment
        // later, so the bound is one over for that long.
        if self.connections.get() >= self.bounds.get().connections && !self.evict() {
            warn!("no connection is left for a dispatch");
            return self.ended(worker, &task, AttemptStatus::ConnectFailed);
        }
        self.connections.set(self.connections.get() + 1);
        let backend = self.clone();
        tokio::task::spawn_local(async move {
            let address = target.address;
            let (close_reason, messages, left) = backend.connection(target, task).await;
            backend.connections.set(backend.connections.get() - 1);
            close_reason.log(Side::Backend, address, messages);
            backend.ended.notify_one();
            // It was dead before anything was written to it, so this is no repeat.
            if let Some(task) = left {
                backend.begin(worker, task);
            }
        });
    }
}
