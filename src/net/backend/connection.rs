//! One connection to a backend server: connecting, probing, and waiting for the next task while idle.

use super::attempt::{parse_load_report, ConnectionCommand};
use super::Backend;
use crate::net::close_reason::CloseReason;
use crate::net::codec::{ClientCodec, OutgoingRequest, ReadError, ResponsePart, MAX_BODY_BYTES};
use crate::net::connection::Peer;
use crate::net::exchange::{DispatchId, OpenWatch};
use crate::net::{poll_sockets, Job};
use shorepath_scheduler::{AttemptStatus, EndpointId, Idempotency};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::debug;

pub(super) type Connection = crate::net::connection::Connection<ClientCodec>;

/// The backend server of a connection, with the address to which it was made.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) endpoint: EndpointId,
    pub(super) address: SocketAddr,
    pub(super) accepts_at: watch::Receiver<Option<SocketAddr>>,
}

impl Target {
    /// Returns whether new requests may be sent there. Guards draining servers, and others that get the address after the server
    /// has moved.
    pub(super) fn accepts_new(&self) -> bool {
        *self.accepts_at.borrow() == Some(self.address)
    }

    /// Waits until no new requests may be sent there.
    pub(super) async fn until_left(&mut self) {
        let address = self.address;
        if self.accepts_at.wait_for(|at| *at != Some(address)).await.is_err() {
            // Unreachable, as the sender is never removed from the map of servers.
            std::future::pending::<()>().await;
        }
    }
}

/// One attempt to be made on a connection.
#[derive(Debug)]
pub(super) struct Dispatch {
    pub(super) id: DispatchId,
    /// Whether the request may run more than once.
    pub(super) idempotency: Idempotency,
    pub(super) payload: Rc<Job>,
    pub(super) write_by: Instant,
    pub(super) deadline: Instant,
    pub(super) open: OpenWatch,
    pub(super) cancelled: oneshot::Receiver<()>,
}

/// A task for a connection.
#[derive(Debug)]
pub(super) enum Task {
    Dispatch(Dispatch),
    /// A probe, with the time until which it waits for its answer.
    Probe(Instant),
}

impl Task {
    /// Returns the time by which its connection must be established, and whether a failure to do so is not counted against the
    /// server.
    pub(super) fn connect_deadline(&self) -> (Instant, bool) {
        match self {
            Task::Dispatch(dispatch) => (dispatch.write_by, dispatch.write_by < dispatch.deadline),
            Task::Probe(deadline) => (*deadline, false),
        }
    }
    /// Waits until the task is cancelled or its request is closed, and returns the status to report.
    pub(super) async fn withdrawn(&mut self) -> AttemptStatus {
        match self {
            Task::Dispatch(dispatch) => tokio::select! {
                biased;
                _ = &mut dispatch.cancelled => AttemptStatus::Cancelled,
                () = dispatch.open.closed() => AttemptStatus::NotSent,
            },
            Task::Probe(_) => std::future::pending().await,
        }
    }
    /// Returns whether the task is still needed; checked right before its first byte is written. Guards against work without a
    /// client, which may disconnect in the same turn of the runtime in which the connection is established.
    pub(super) fn is_open(&self) -> bool {
        match self {
            Task::Dispatch(dispatch) => dispatch.open.is_open(),
            Task::Probe(_) => true,
        }
    }
}

impl Backend {
    /// Opens a connection and uses it until it ends. Returns the reason, the number of requests sent, and a task that was assigned
    /// to it but for which nothing was written.
    pub(super) async fn run_connection(
        self: &Rc<Self>,
        mut target: Target,
        mut task: Task,
    ) -> (CloseReason, u64, Option<Task>) {
        let endpoint = target.endpoint;
        let mut connection = match self.connect(&mut target, &mut task).await {
            Ok(stream) => {
                let codec = ClientCodec::new(&self.pool, MAX_BODY_BYTES);
                Connection::new::<OutgoingRequest>(stream, codec, Peer::Server, &self.pool)
            }
            Err((status, close_reason)) => {
                self.task_ended(endpoint, &task, status);
                return (close_reason, 0, None);
            }
        };
        // Lets other tasks handle input of the same turn of the runtime first. Guards against sending a request whose client has
        // disconnected unnoticed, as when the process was suspended.
        poll_sockets().await;
        let (mut messages, mut answered_at, mut used_at) = (0, None, Instant::now());
        let (close_reason, unstarted) = loop {
            if task.is_open() {
                messages += 1;
                let is_job = matches!(task, Task::Dispatch(_));
                let (close_reason, is_answered) = match task {
                    Task::Dispatch(dispatch) => {
                        self.attempt(&mut connection, &target, dispatch, answered_at).await
                    }
                    Task::Probe(deadline) => self.probe(&target, &mut connection, deadline).await,
                };
                if let Some(close_reason) = close_reason {
                    if is_answered {
                        // The scheduler counts the connection as idle since its answer.
                        self.exchange.idle_closed(endpoint, usize::MAX);
                    }
                    break (close_reason, None);
                }
                used_at = Instant::now();
                if is_job {
                    answered_at = Some(used_at);
                }
            } else {
                // Nothing was written, so the connection stays usable.
                self.task_ended(endpoint, &task, AttemptStatus::NotSent);
                drop(task);
            }
            let (command, commands) = mpsc::channel(1);
            let number = self.next_idle_number.get();
            self.next_idle_number.set(number + 1);
            match self.servers.borrow_mut().get_mut(&endpoint) {
                // Guards against a server that left or moved while it answered.
                Some(s) if target.accepts_new() => s.idle.push_back((number, answered_at, command)),
                _ => break (CloseReason::ServerLeft, None),
            }
            match self.wait_idle(&mut connection, commands, used_at).await {
                Ok(next) => task = next,
                Err(end) => {
                    let position = self.servers.borrow_mut().get_mut(&endpoint).and_then(|server| {
                        let position = server.idle.iter().position(|(n, _, _)| *n == number)?;
                        server.idle.remove(position).map(|_| position)
                    });
                    // The scheduler must not count a closed connection as idle.
                    if let Some(position) = position {
                        self.exchange.idle_closed(endpoint, position);
                    }
                    break end;
                }
            }
        };
        (close_reason, messages, unstarted)
    }

    pub(super) async fn connect(
        &self,
        target: &mut Target,
        task: &mut Task,
    ) -> Result<TcpStream, (AttemptStatus, CloseReason)> {
        let address = target.address;
        let timeout_at = Instant::now() + self.limits.get().connect_timeout;
        let (connect_by, is_excused) = task.connect_deadline();
        let late_status = if is_excused && connect_by < timeout_at {
            AttemptStatus::NotSent
        } else {
            AttemptStatus::ConnectFailed
        };
        let stream = tokio::select! {
            biased;
            // Guards capacity for open requests: a withdrawn attempt must not hold its slot while a slow server accepts the
            // connection.
            status = task.withdrawn() => return Err((status, CloseReason::Cancelled)),
            () = target.until_left() => return Err((AttemptStatus::NotSent, CloseReason::ServerLeft)),
            stream = TcpStream::connect(address) => stream,
            () = self.deadlines.at(timeout_at.min(connect_by)) => return Err((late_status, CloseReason::ConnectTimeout)),
        };
        let stream = stream.and_then(|s| s.set_nodelay(true).map(|()| s));
        stream.map_err(|e| {
            debug!("could not connect to {address}: {e}");
            let is_remote = matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset);
            (
                AttemptStatus::ConnectFailed,
                if is_remote { CloseReason::Refused } else { CloseReason::NoSockets },
            )
        })
    }

    /// Probes the server. Returns why the connection has to be closed, if it has to, and whether there was an answer, which is
    /// reported to the scheduler once the connection is reusable.
    pub(super) async fn probe(
        &self,
        target: &Target,
        connection: &mut Connection,
        deadline: Instant,
    ) -> (Option<CloseReason>, bool) {
        let (endpoint, address) = (target.endpoint, target.address);
        // Nothing is sent to a server that leaves.
        if !target.accepts_new() {
            self.exchange.probe_ended(endpoint, AttemptStatus::NotSent, |_| None);
            return (Some(CloseReason::ServerLeft), false);
        }
        let round_trip = async {
            let fields = format!("Host: {address}\r\n");
            let request = OutgoingRequest { method: "GET", target: "/_load", fields, body: None };
            connection.send(request).await.map_err(|_| CloseReason::PeerBroke)?;
            let (mut status, mut values) = (AttemptStatus::Error, Vec::new());
            loop {
                match connection.next().await {
                    Some(Ok(ResponsePart::Head { status: 200, .. })) => status = AttemptStatus::Ok,
                    Some(Ok(ResponsePart::Head { status: 503, .. })) => status = AttemptStatus::Overloaded,
                    Some(Ok(ResponsePart::Head { .. } | ResponsePart::Data(_))) => {}
                    Some(Ok(ResponsePart::Line(line))) => values.extend(parse_load_report(&line)),
                    Some(Ok(ResponsePart::End { reusable })) => return Ok((status, values, reusable)),
                    Some(Err(ReadError::Malformed { .. })) => return Err(CloseReason::Malformed),
                    None | Some(Err(ReadError::Io(_))) => return Err(CloseReason::PeerBroke),
                }
            }
        };
        let answer = tokio::select! {
            biased;
            answer = round_trip => answer,
            () = self.deadlines.at(deadline) => Err(CloseReason::TimedOut),
        };
        let (status, values, close_reason) = match answer {
            Ok((status, values, reusable)) => {
                (status, values, (!reusable).then_some(CloseReason::LastMessage))
            }
            Err(CloseReason::TimedOut) => (AttemptStatus::Timeout, Vec::new(), Some(CloseReason::TimedOut)),
            Err(close_reason) => (AttemptStatus::Reset, Vec::new(), Some(close_reason)),
        };
        let value = |name: &str| values.iter().find(|(n, _)| n == name).map(|(_, v)| *v);
        self.exchange.probe_ended(endpoint, status, value);
        (close_reason, matches!(status, AttemptStatus::Ok | AttemptStatus::Overloaded | AttemptStatus::Error))
    }

    /// Waits for the next task of a connection that has been idle since `since`. Fails with the reason if the connection ends, and
    /// with the task that was assigned to it meanwhile.
    pub(super) async fn wait_idle(
        &self,
        connection: &mut Connection,
        mut commands: mpsc::Receiver<ConnectionCommand>,
        since: Instant,
    ) -> Result<Task, (CloseReason, Option<Task>)> {
        let close_reason = tokio::select! {
            biased;
            // Polled first, so that a closed connection is never used again.
            part = connection.next() => match part {
                None | Some(Err(ReadError::Io(_))) => CloseReason::PeerClosed,
                Some(_) => CloseReason::Malformed,
            },
            command = commands.recv() => match command {
                Some(ConnectionCommand::Run(task)) if !connection.has_unread_data() => return Ok(task),
                // Guards against part of a second answer, which would be read as the start of the answer to the next job.
                Some(ConnectionCommand::Run(task)) => return Err((CloseReason::Malformed, Some(task))),
                Some(ConnectionCommand::Close(close_reason)) => close_reason,
                None => CloseReason::Shutdown,
            },
            () = self.deadlines.at(since + self.limits.get().idle_timeout) => CloseReason::Idle,
        };
        commands.close();
        match commands.try_recv() {
            Ok(ConnectionCommand::Run(task)) => Err((close_reason, Some(task))),
            _ => Err((close_reason, None)),
        }
    }
}
