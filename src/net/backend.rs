//! The backend: connections to backend servers, and one attempt at a time on each. It carries out the
//! exchange's orders, reports what becomes of them, and sends nothing again by itself.

use super::close_reason::{CloseReason, Side};
use super::codec::{ClientCodec, Outgoing, Piece, ReadError, MAX_BODY};
use super::config::Config;
use super::deadlines::Deadlines;
use super::exchange::{DispatchId, Exchange, Order, Wanted};
use super::pool::Pool;
use super::{turn, Job};
use serde::Deserialize;
use shorepath_scheduler::{AttemptStatus, EndpointId, Idempotency};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio_util::codec::Framed;
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

type Connection = Framed<TcpStream, ClientCodec>;

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
            connect_timeout: micros(config.setup.connect_timeout()),
            idle: micros(config.setup.idle_timeout()).mul_f64(IDLE_PART),
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

/// A backend server as a connection to it was begun.
#[derive(Debug)]
struct Target {
    worker: EndpointId,
    address: SocketAddr,
    takes_at: watch::Receiver<Option<SocketAddr>>,
}

impl Target {
    /// Whether it may be sent anything new there. Guards drains, and whoever has that address once the server has moved.
    fn takes(&self) -> bool {
        *self.takes_at.borrow() == Some(self.address)
    }

    /// Ready once it may no longer.
    async fn left(&mut self) {
        let address = self.address;
        if self.takes_at.wait_for(|at| *at != Some(address)).await.is_err() {
            // A server is never taken out of the map, so it stays where it is.
            std::future::pending::<()>().await;
        }
    }
}

/// One attempt on its way to a connection.
#[derive(Debug)]
struct Dispatch {
    id: DispatchId,
    /// What running it twice would do.
    effect: Idempotency,
    payload: Rc<Job>,
    written_by: Instant,
    until: Instant,
    wanted: Wanted,
    cancelled: oneshot::Receiver<()>,
}

/// What a connection is to do next.
#[derive(Debug)]
enum Task {
    Dispatch(Dispatch),
    /// A probe, which waits until then.
    Probe(Instant),
}

impl Task {
    /// When its connection has to be up, and whether one that is not is no fault of the server's.
    fn connects_by(&self) -> (Instant, bool) {
        match self {
            Task::Dispatch(dispatch) => (dispatch.written_by, dispatch.written_by < dispatch.until),
            Task::Probe(until) => (*until, false),
        }
    }
    /// Ready, with what that is to the decisions, once it is called off or not wanted any more.
    async fn over(&mut self) -> AttemptStatus {
        match self {
            Task::Dispatch(dispatch) => tokio::select! {
                biased;
                _ = &mut dispatch.cancelled => AttemptStatus::Cancelled,
                () = dispatch.wanted.over() => AttemptStatus::NotSent,
            },
            Task::Probe(_) => std::future::pending().await,
        }
    }
    /// Whether it is still to be carried out, asked right before its first byte is written. Guards against work for nobody: a client
    /// may leave in the turn in which the connection comes up, and nothing calls that attempt off.
    fn is_wanted(&self) -> bool {
        match self {
            Task::Dispatch(dispatch) => dispatch.wanted.is_still(),
            Task::Probe(_) => true,
        }
    }
}

/// What an idle connection is told.
#[derive(Debug)]
enum Call {
    Do(Task),
    Close(CloseReason),
}

/// A line of a backend server's answer.
#[derive(Debug, Deserialize)]
struct Line {
    id: String,
    state: State,
    share: Option<f64>,
    result: Option<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Started,
    Running,
    Done,
    Failed,
    Returned,
    Lost,
}

/// How an attempt ended, and what that means for its connection.
struct End {
    status: AttemptStatus,
    after: After,
}

enum After {
    /// The rest of the answer has to be read before it is used again.
    Tail,
    /// It ends.
    Ends(CloseReason),
}

impl End {
    fn closing(status: AttemptStatus, close_reason: CloseReason) -> Self {
        End { status, after: After::Ends(close_reason) }
    }
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

    /// Open a connection and use it until it ends: why, after how many attempts, and an attempt that
    /// was handed over too late to be written.
    async fn connection(
        self: &Rc<Self>,
        mut target: Target,
        mut task: Task,
    ) -> (CloseReason, u64, Option<Task>) {
        let worker = target.worker;
        let mut connection = match self.connect(&mut target, &mut task).await {
            Ok(stream) => self.pool.framed::<Outgoing, _>(stream, ClientCodec::new(&self.pool, MAX_BODY)),
            Err((status, close_reason)) => {
                self.ended(worker, &task, status);
                return (close_reason, 0, None);
            }
        };
        // What came in the same turn is heard first. Guards against writing for a client whose leaving waits to be read, as where the
        // process stood still.
        turn().await;
        let (mut messages, mut answered_at, mut used_at) = (0, None, Instant::now());
        let (close_reason, left) = loop {
            if task.is_wanted() {
                messages += 1;
                let is_job = matches!(task, Task::Dispatch(_));
                let (close_reason, answered) = match task {
                    Task::Dispatch(dispatch) => {
                        self.attempt(&mut connection, &target, dispatch, answered_at).await
                    }
                    Task::Probe(until) => self.probe(&target, &mut connection, until).await,
                };
                if let Some(close_reason) = close_reason {
                    if answered {
                        // It counts as idle from its answer on.
                        self.exchange.idle_closed(worker, usize::MAX);
                    }
                    break (close_reason, None);
                }
                used_at = Instant::now();
                if is_job {
                    answered_at = Some(used_at);
                }
            } else {
                // Nothing was written, so the connection is as good as it was.
                self.ended(worker, &task, AttemptStatus::NotSent);
                drop(task);
            }
            let (call, calls) = mpsc::channel(1);
            let number = self.parked.get();
            self.parked.set(number + 1);
            match self.servers.borrow_mut().get_mut(&worker) {
                // Guards against a server that has left, or moved, while it answered.
                Some(s) if target.takes() => s.idle.push_back((number, answered_at, call)),
                _ => break (CloseReason::ServerLeft, None),
            }
            match self.parked(&mut connection, calls, used_at).await {
                Ok(next) => task = next,
                Err(end) => {
                    let place = self.servers.borrow_mut().get_mut(&worker).and_then(|server| {
                        let place = server.idle.iter().position(|(n, _, _)| *n == number)?;
                        server.idle.remove(place).map(|_| place)
                    });
                    // What the decisions hold to be idle has to be.
                    if let Some(place) = place {
                        self.exchange.idle_closed(worker, place);
                    }
                    break end;
                }
            }
        };
        self.pool.release(connection);
        (close_reason, messages, left)
    }

    async fn connect(
        &self,
        target: &mut Target,
        task: &mut Task,
    ) -> Result<TcpStream, (AttemptStatus, CloseReason)> {
        let address = target.address;
        let wait = Instant::now() + self.bounds.get().connect_timeout;
        let (by, excused) = task.connects_by();
        let late = if excused && by < wait { AttemptStatus::NotSent } else { AttemptStatus::ConnectFailed };
        let stream = tokio::select! {
            biased;
            // Guards the places of those that are wanted: a server whose connections come up late holds what it is given for long.
            status = task.over() => return Err((status, CloseReason::Cancelled)),
            () = target.left() => return Err((AttemptStatus::NotSent, CloseReason::ServerLeft)),
            stream = TcpStream::connect(address) => stream,
            () = self.deadlines.at(wait.min(by)) => return Err((late, CloseReason::ConnectTimeout)),
        };
        let stream = stream.and_then(|s| s.set_nodelay(true).map(|()| s));
        stream.map_err(|e| {
            debug!("connecting to {address}: {e}");
            let remote = matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset);
            (AttemptStatus::ConnectFailed, if remote { CloseReason::Refused } else { CloseReason::NoSockets })
        })
    }

    /// Probe the server over its connection; why that ends, if it does, and whether an answer had come.
    /// The module hears of the answer once the connection can be used again.
    async fn probe(
        &self,
        target: &Target,
        connection: &mut Connection,
        until: Instant,
    ) -> (Option<CloseReason>, bool) {
        let (worker, address) = (target.worker, target.address);
        // A server that leaves is sent nothing at all.
        if !target.takes() {
            self.exchange.probed(worker, AttemptStatus::NotSent, |_| None);
            return (Some(CloseReason::ServerLeft), false);
        }
        let asked = async {
            let fields = format!("Host: {address}\r\n");
            let request = Outgoing { method: "GET", target: "/_load", fields, body: None };
            self.pool.send(connection, request).await.map_err(|_| CloseReason::PeerBroke)?;
            let (mut status, mut values) = (AttemptStatus::Error, Vec::new());
            loop {
                match self.pool.next(connection).await {
                    Some(Ok(Piece::Head { status: 200, .. })) => status = AttemptStatus::Ok,
                    Some(Ok(Piece::Head { status: 503, .. })) => status = AttemptStatus::Overloaded,
                    Some(Ok(Piece::Head { .. } | Piece::Part(_))) => {}
                    Some(Ok(Piece::Line(line))) => values.extend(figures(&line)),
                    Some(Ok(Piece::End { reusable })) => return Ok((status, values, reusable)),
                    Some(Err(ReadError::Bad { .. })) => return Err(CloseReason::Malformed),
                    None | Some(Err(ReadError::Io(_))) => return Err(CloseReason::PeerBroke),
                }
            }
        };
        let answer = tokio::select! {
            biased;
            answer = asked => answer,
            () = self.deadlines.at(until) => Err(CloseReason::TimedOut),
        };
        let (status, values, close_reason) = match answer {
            Ok((status, values, reusable)) => {
                (status, values, (!reusable).then_some(CloseReason::LastMessage))
            }
            Err(CloseReason::TimedOut) => (AttemptStatus::Timeout, Vec::new(), Some(CloseReason::TimedOut)),
            Err(close_reason) => (AttemptStatus::Reset, Vec::new(), Some(close_reason)),
        };
        let value = |name: &str| values.iter().find(|(n, _)| n == name).map(|(_, v)| *v);
        self.exchange.probed(worker, status, value);
        (close_reason, matches!(status, AttemptStatus::Ok | AttemptStatus::Overloaded | AttemptStatus::Error))
    }

    /// Wait on a connection that has been idle since then for its next task, or why it ends.
    async fn parked(
        &self,
        connection: &mut Connection,
        mut calls: mpsc::Receiver<Call>,
        since: Instant,
    ) -> Result<Task, (CloseReason, Option<Task>)> {
        let close_reason = tokio::select! {
            biased;
            // First, so that a connection known to be dead is never used again.
            piece = self.pool.next(connection) => match piece {
                None | Some(Err(ReadError::Io(_))) => CloseReason::PeerClosed,
                Some(_) => CloseReason::Malformed,
            },
            call = calls.recv() => match call {
                Some(Call::Do(task)) if connection.read_buffer().is_empty() => return Ok(task),
                // Guards against half of a second answer, which would make one with what the next job is answered.
                Some(Call::Do(task)) => return Err((CloseReason::Malformed, Some(task))),
                Some(Call::Close(close_reason)) => close_reason,
                None => CloseReason::Shutdown,
            },
            () = self.deadlines.at(since + self.bounds.get().idle) => CloseReason::Idle,
        };
        calls.close();
        match calls.try_recv() {
            Ok(Call::Do(task)) => Err((close_reason, Some(task))),
            _ => Err((close_reason, None)),
        }
    }

    /// Make one attempt, on a connection that last brought an answer then, and report its end; why the connection ends, if it does,
    /// and whether an answer had come.
    async fn attempt(
        &self,
        connection: &mut Connection,
        target: &Target,
        mut dispatch: Dispatch,
        answered_at: Option<Instant>,
    ) -> (Option<CloseReason>, bool) {
        let id = dispatch.id;
        let ended = match self.write(connection, target, &mut dispatch).await {
            Err(end) => end,
            Ok(()) => {
                let answer = self.answer(connection, id, &dispatch.payload);
                tokio::select! {
                    biased;
                    _ = &mut dispatch.cancelled => End::closing(AttemptStatus::Cancelled, CloseReason::Cancelled),
                    end = answer => end,
                    () = self.deadlines.at(dispatch.until) => End::closing(AttemptStatus::Timeout, CloseReason::TimedOut),
                }
            }
        };
        // Guards against a second answer to the job before: so soon, "turned away" may be about that one. Taken for this one's it would
        // prove that nothing ran, and a keyed job go where its key is not known.
        let doubtful =
            ended.status == AttemptStatus::Overloaded && dispatch.effect != Idempotency::Idempotent;
        let ended = match answered_at.filter(|at| doubtful && at.elapsed() < QUIET) {
            Some(_) => End::closing(AttemptStatus::Cancelled, CloseReason::Cancelled),
            None => ended,
        };
        if ended.status != AttemptStatus::Ok {
            self.report(id, ended.status);
        }
        let answered = ended.status.has_response();
        if let After::Ends(close_reason) = ended.after {
            return (Some(close_reason), answered);
        }
        // With it goes the claim on its id: the attempt is over.
        drop(dispatch);
        let tail = async {
            loop {
                match self.pool.next(connection).await {
                    Some(Ok(Piece::Line(_) | Piece::Part(_))) => {}
                    Some(Ok(Piece::End { reusable: true })) => break None,
                    Some(Ok(Piece::End { reusable: false })) => break Some(CloseReason::LastMessage),
                    Some(Ok(Piece::Head { .. }) | Err(ReadError::Bad { .. })) => {
                        break Some(CloseReason::Malformed)
                    }
                    None | Some(Err(ReadError::Io(_))) => break Some(CloseReason::PeerBroke),
                }
            }
        };
        let close_reason = tokio::select! {
            biased;
            close_reason = tail => close_reason,
            () = self.deadlines.after(TAIL) => Some(CloseReason::TooSlow),
        };
        (close_reason, answered)
    }

    /// Write a request whole. Until its last byte is written nothing can have run.
    async fn write(
        &self,
        connection: &mut Connection,
        target: &Target,
        dispatch: &mut Dispatch,
    ) -> Result<(), End> {
        // Nothing is begun once the server is known to leave, or to be elsewhere.
        if !target.takes() {
            return Err(End::closing(AttemptStatus::NotSent, CloseReason::ServerLeft));
        }
        // Guards against sending what is over: where the process stood still the connection and the end of the request's
        // time are seen together, and its client may have been told that it failed. And against a repeat that its server takes for
        // a new job, as it has forgotten the key.
        if Instant::now() >= dispatch.written_by {
            return Err(End::closing(AttemptStatus::NotSent, CloseReason::TimedOut));
        }
        // Guards keys that must not run twice: another node may be home to this one by now.
        if !self.exchange.may_send(dispatch.id) {
            return Err(End::closing(AttemptStatus::NotSent, CloseReason::TimedOut));
        }
        let job = &dispatch.payload;
        let left = dispatch.until.saturating_duration_since(Instant::now());
        let mut fields = format!("Host: {}\r\nRequest-Id: {}\r\n", job.host, job.id);
        fields.push_str(&format!("Request-Timeout: {}u\r\n", left.as_micros().max(1)));
        if let Some(tenant) = &job.tenant {
            fields.push_str(&format!("Tenant: {tenant}\r\n"));
        }
        if let Some(key) = &job.repeat_key {
            fields.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        let request = Outgoing { method: "POST", target: &job.target, fields, body: Some(&job.body) };
        tokio::select! {
            biased;
            _ = &mut dispatch.cancelled => Err(End::closing(AttemptStatus::Cancelled, CloseReason::Cancelled)),
            sent = self.pool.send(connection, request) => sent.map_err(|e| {
                debug!("writing a dispatch: {e}");
                End::closing(AttemptStatus::ConnectFailed, CloseReason::PeerBroke)
            }),
            () = self.deadlines.at(dispatch.written_by) => {
                Err(End::closing(AttemptStatus::ConnectFailed, CloseReason::TooSlow))
            }
        }
    }

    /// Read the answer up to what ends the attempt.
    async fn answer(&self, connection: &mut Connection, id: DispatchId, job: &Job) -> End {
        let nonsense = |reason: &str| {
            warn!("a backend server's answer to {} makes no sense: {reason}", job.id);
            End::closing(AttemptStatus::Error, CloseReason::Malformed)
        };
        loop {
            match self.pool.next(connection).await {
                Some(Ok(Piece::Head { status: 200, .. } | Piece::Part(_))) => {}
                Some(Ok(Piece::Head { status, fields })) => {
                    debug!("a backend server answered {} with {status}", job.id);
                    let unstarted = matches!(fields.get("not-started"), Ok(Some("1")));
                    let status = match status {
                        503 | 504 if unstarted => AttemptStatus::Overloaded,
                        400..=499 => AttemptStatus::BadRequest,
                        _ => AttemptStatus::Error,
                    };
                    return End { status, after: After::Tail };
                }
                Some(Ok(Piece::Line(line))) => match self.line(id, job, &line) {
                    Ok(None) => {}
                    Ok(Some(status)) => return End { status, after: After::Tail },
                    Err(reason) => return nonsense(&reason),
                },
                Some(Err(ReadError::Bad { reason, .. })) => return nonsense(reason),
                Some(Ok(Piece::End { .. })) | Some(Err(ReadError::Io(_))) | None => {
                    return End::closing(AttemptStatus::Reset, CloseReason::PeerBroke)
                }
            }
        }
    }

    /// Take a line of the answer in: how the attempt has ended, if it tells that.
    fn line(&self, id: DispatchId, job: &Job, text: &[u8]) -> Result<Option<AttemptStatus>, String> {
        if text.trim_ascii().is_empty() {
            return Ok(None);
        }
        let line: Line = serde_json::from_slice(text).map_err(|e| e.to_string())?;
        // Guards against passing on what was made for another request.
        if line.id != *job.id {
            return Err(format!("it is about '{}'", line.id));
        }
        Ok(match line.state {
            State::Started => {
                self.exchange.started(id);
                None
            }
            State::Running => {
                self.exchange.progress(id, line.share.unwrap_or(0.0));
                None
            }
            State::Done => {
                let result = line.result.ok_or("it is done without a result")?;
                self.out.borrow_mut().remove(&id);
                self.exchange.served(id, result.into_bytes());
                Some(AttemptStatus::Ok)
            }
            State::Failed => Some(AttemptStatus::Error),
            State::Returned => Some(AttemptStatus::Overloaded),
            State::Lost => Some(AttemptStatus::Reset),
        })
    }
}

/// The figures of a load report as text, `TEXT inflight=7, queue=2`; what is no figure is passed over.
fn figures(line: &[u8]) -> Vec<(String, f64)> {
    let text = String::from_utf8_lossy(line);
    let messages = text.split([' ', ',']).filter_map(|message| message.split_once('='));
    let figure = |(name, value): (&str, &str)| Some((name.to_string(), value.parse().ok()?));
    messages.filter_map(figure).filter(|(_, value): &(_, f64)| value.is_finite()).collect()
}
