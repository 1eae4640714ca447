//! The frontend: accepts connections from clients and reads their requests. Jobs go to the exchange; other requests, such as
//! health checks, are answered here.

mod accepting;
mod confirmations;
mod connection;
mod eviction;
mod peer_updates;
mod request;
mod request_ids;
mod used_ids;

use super::deadlines::Deadlines;
use super::draining::Draining;
use super::exchange::Exchange;
use super::pool::Pool;
use super::sites::Sites;
use super::stopping::Stopping;
use super::Job;
use eviction::EvictionQueue;
pub use peer_updates::PeerUpdates;
pub use request_ids::{Claim, ClaimError, Repeat, RequestIds};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify};

/// How far the node has got with its shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ShutdownStage {
    Serving,
    /// The health check fails; clients are served as before.
    Unhealthy,
    /// No new connection is accepted; the open ones are served.
    Refusing,
    /// Idle connections are closed, the others after their current answer.
    Closing,
}

/// The state that decides how clients are treated. A shutdown cannot be undone, a drain can.
#[derive(Clone, Copy, Debug)]
struct State {
    stage: ShutdownStage,
    /// The schedule of a drain that an operator started; `None` if the node is not draining.
    draining: Option<Draining>,
    /// Whether connections are accepted from the listener.
    is_accepting: bool,
    /// Whether another process accepts the clients at this address.
    is_replaced: bool,
    /// The schedule of the shutdown; `None` before it.
    stopping: Option<Stopping>,
}

impl State {
    /// Returns why the health check fails; `None` if the node is healthy.
    fn unhealthy_reason(&self) -> Option<&'static str> {
        match self {
            // The check of the upstream balancer must not fail: the next process serves at this address.
            State { is_replaced: true, .. } => None,
            State { stage, .. } if *stage > ShutdownStage::Serving => Some("stopping"),
            State { draining: Some(_), .. } => Some("draining"),
            _ => None,
        }
    }

    /// Returns whether a connection is closed after its next answer, unless another request has arrived.
    fn closes_after_answer(&self) -> bool {
        self.stage == ShutdownStage::Closing || self.draining.is_some() || self.is_replaced
    }

    /// Returns whether a drain refuses a job that arrived at `arrived`. A shutdown, which has a schedule of its own, goes before it.
    fn refuses_job(&self, arrived: Instant) -> bool {
        self.stage == ShutdownStage::Serving && self.draining.is_some_and(|d| !d.accepts(arrived))
    }

    /// Returns when a drain refuses requests that are being received; `None` if no drain does.
    fn drain_completes_requests_by(&self) -> Option<Instant> {
        let draining = self.draining.filter(|_| self.stage == ShutdownStage::Serving);
        draining.map(|d| d.requests_complete_by())
    }
}

/// The frontend of a node, with its connections from clients.
#[derive(Debug)]
pub struct Frontend {
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    pool: Rc<Pool>,
    max_connections: Cell<usize>,
    open_connections: Cell<usize>,
    /// Notified when a connection was closed or has become idle.
    connection_changed: Notify,
    /// Idle connections, by [`eviction::EvictionRank`].
    eviction_queues: RefCell<[EvictionQueue; 3]>,
    next_queue_number: Cell<u64>,
    /// Number of connections that were chosen for eviction and neither have closed nor go on with a request.
    evicting: Cell<usize>,
    request_ids: Rc<RefCell<RequestIds>>,
    state: watch::Sender<State>,
    /// The sites and accounts; `None` in a deployment without sites.
    sites: RefCell<Option<Rc<Sites>>>,
}

impl Frontend {
    /// Creates a frontend that holds at most `max_connections` connections, and remembers the ids of requests that must not run again
    /// in at most `used_id_bytes`.
    pub fn new(
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        pool: Rc<Pool>,
        max_connections: usize,
        used_id_bytes: usize,
    ) -> Rc<Self> {
        let stage = ShutdownStage::Serving;
        let state = State { stage, draining: None, is_accepting: false, is_replaced: false, stopping: None };
        Rc::new(Frontend {
            exchange,
            deadlines,
            pool,
            max_connections: Cell::new(max_connections),
            open_connections: Cell::new(0),
            connection_changed: Notify::new(),
            eviction_queues: RefCell::default(),
            next_queue_number: Cell::new(0),
            evicting: Cell::new(0),
            request_ids: Rc::new(RefCell::new(RequestIds::new(used_id_bytes))),
            state: watch::channel(state).0,
            sites: RefCell::default(),
        })
    }

    /// Subjects all further requests to the accounts and the rules of `sites`.
    pub fn set_sites(&self, sites: Rc<Sites>) {
        self.sites.replace(Some(sites));
    }

    /// Returns whether the node accepts clients; fails with the reason why it does not.
    pub fn ready(&self) -> Result<(), &'static str> {
        let state = *self.state.borrow();
        match state.unhealthy_reason() {
            Some(reason) => Err(reason),
            None if state.is_replaced => Err("replaced"),
            None if !state.is_accepting => Err("starting"),
            None if !self.exchange.has_servers() => Err("no server table"),
            None => Ok(()),
        }
    }

    /// Starts or ends a drain, in which connections are closed and the health check fails; the listener stays open. Idempotent.
    ///
    /// Fails with the reason once the node is stopping or replaced by another process.
    pub fn drain(&self, drain: bool) -> Result<(), &'static str> {
        match *self.state.borrow() {
            State { is_replaced: true, .. } => return Err("replaced"),
            State { stage, .. } if stage > ShutdownStage::Serving => return Err("stopping"),
            _ => {}
        }
        self.state.send_if_modified(|s| {
            let is_change = s.draining.is_some() != drain;
            if is_change {
                s.draining = drain.then(|| Draining::new(Instant::now()));
            }
            is_change
        });
        Ok(())
    }

    /// Sets whether another process accepts the clients at this address. If so, the open connections are closed after their next
    /// answer, so that clients reconnect to that process.
    pub fn set_replaced(&self, is_replaced: bool) {
        self.state.send_modify(|s| s.is_replaced = is_replaced);
    }

    /// Waits until the node accepts clients.
    pub async fn wait_until_ready(&self) {
        let (mut state, mut lists) = (self.state.subscribe(), self.exchange.subscribe_lists());
        while self.ready().is_err() {
            // The senders live as long as the frontend.
            tokio::select! {
                _ = state.changed() => {}
                _ = lists.changed() => {}
            }
        }
    }

    /// Waits until the node has started to stop.
    pub async fn wait_until_stopping(&self) {
        // The sender lives as long as the frontend.
        let _ = self.state.subscribe().wait_for(|s| s.stage > ShutdownStage::Serving).await;
    }

    /// Returns the ids of open jobs.
    pub fn request_ids(&self) -> &RefCell<RequestIds> {
        &self.request_ids
    }

    /// Changes the connection limit and evicts idle connections beyond it.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
        for _ in max_connections..self.open_connections.get() {
            let _ = self.evict_excess();
        }
    }

    fn set_stage(&self, stage: ShutdownStage) {
        self.state.send_modify(|s| s.stage = stage);
    }

    /// Starts the shutdown with the given schedule: the health check fails, clients are served as before. From now on the timeouts
    /// of requests are cut to the schedule, so that those that arrive right before connections are refused get an answer, too.
    pub fn start_stopping(&self, stopping: Stopping) {
        self.state.send_modify(|s| (s.stage, s.stopping) = (ShutdownStage::Unhealthy, Some(stopping)));
    }

    /// Shortens the schedule of the shutdown to settings with that longest deadline. Guards against a reload that was requested
    /// before the shutdown and is handled after it, as the order of two signals is not kept.
    pub fn shorten_stopping(&self, longest_deadline: Duration) {
        self.state.send_modify(|s| s.stopping = s.stopping.map(|s| s.shortened(longest_deadline)));
    }

    /// Waits until the time at which the shutdown closes connections.
    pub async fn wait_until_closing(&self) {
        self.wait_until(|s| s.stopping.map(|s| s.close_at())).await;
    }

    /// Waits until the time that `time` returns, which may change with the state; `None` is never.
    async fn wait_until(&self, time: impl Fn(State) -> Option<Instant>) {
        let mut state = self.state.subscribe();
        loop {
            let at = time(*state.borrow_and_update());
            let timer = async {
                match at {
                    Some(at) => self.deadlines.at(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                // The sender lives as long as the frontend.
                _ = state.changed() => {}
                () = timer => return,
            }
        }
    }

    /// Stops accepting connections, except those in the listener's backlog.
    pub fn refuse_connections(&self) {
        self.set_stage(ShutdownStage::Refusing);
    }

    /// Closes idle connections, and the others after their current answer.
    pub fn close_connections(&self) {
        self.set_stage(ShutdownStage::Closing);
    }

    /// Waits until all connections are closed.
    pub async fn wait_until_closed(&self) {
        while self.open_connections.get() > 0 {
            self.connection_changed.notified().await;
        }
    }
}
