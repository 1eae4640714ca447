//! Connections to endpoints: connecting, probing, parking.

use super::attempt::{figures, Call};
use super::Backend;
use crate::net::close_reason::CloseReason;
use crate::net::codec::{ClientCodec, Outgoing, Piece, ReadError, MAX_BODY};
use crate::net::exchange::{DispatchId, Wanted};
use crate::net::{poll_sockets, Job};
use shorepath_scheduler::{AttemptStatus, EndpointId, Idempotency};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::codec::Framed;
use tracing::debug;

pub(super) type Connection = Framed<TcpStream, ClientCodec>;

/// A backend server as a connection to it was begun.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) worker: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) takes_at: watch::Receiver<Option<SocketAddr>>,
}

impl Target {
    /// Whether it may be sent anything new there. Guards drains, and whoever has that address once the server has moved.
    pub(super) fn takes(&self) -> bool {
        *self.takes_at.borrow() == Some(self.address)
    }

    /// Ready once it may no longer.
    pub(super) async fn left(&mut self) {
        let address = self.address;
        if self.takes_at.wait_for(|at| *at != Some(address)).await.is_err() {
            // A server is never taken out of the map, so it stays where it is.
            std::future::pending::<()>().await;
        }
    }
}

/// One attempt on its way to a connection.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) id: DispatchId,
    /// What running it twice would do.
    pub(super) effect: Idempotency,
    pub(super) payload: Rc<Job>,
    pub(super) written_by: Instant,
    pub(super) until: Instant,
    pub(super) wanted: Wanted,
    pub(super) cancelled: oneshot::Receiver<()>,
}

/// What a connection is to do next.
#[derive(Debug)]
pub(super) enum Task {
    Dispatch(Dispatch),
    /// A probe, which waits until then.
    Probe(Instant),
}

impl Task {
    /// When its connection has to be up, and whether one that is not is no fault of the server's.
    pub(super) fn connects_by(&self) -> (Instant, bool) {
        match self {
            Task::Dispatch(dispatch) => (dispatch.written_by, dispatch.written_by < dispatch.until),
            Task::Probe(until) => (*until, false),
        }
    }
    /// Ready, with what that is to the decisions, once it is called off or not wanted any more.
    pub(super) async fn over(&mut self) -> AttemptStatus {
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
    pub(super) fn is_wanted(&self) -> bool {
        match self {
            Task::Dispatch(dispatch) => dispatch.wanted.is_still(),
            Task::Probe(_) => true,
        }
    }
}

impl Backend {
    /// Open a connection and use it until it ends: why, after how many attempts, and an attempt that
    /// was handed over too late to be written.
    pub(super) async fn connection(
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
        poll_sockets().await;
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

    pub(super) async fn connect(
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
    pub(super) async fn probe(
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
    pub(super) async fn parked(
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
}
