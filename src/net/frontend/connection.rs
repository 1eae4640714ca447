//! Serves one connection of a client until it is closed.

use super::eviction::EvictionRank;
use super::request::{answer_for, close_if};
use super::{Frontend, ShutdownStage, State};
use crate::net::close_reason::{CloseReason, Side};
use crate::net::codec::{Answer, FrontendCodec, Incoming, ReadError, Request};
use crate::net::connection::{Peer, ReadAhead};
use crate::net::exchange::{ResponseOutcome, Ticket};
use crate::net::pool::NoMemory;
use crate::net::sites::RequestAdmission;
use crate::net::{poll_sockets, Job};
use futures_util::FutureExt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Pause after each read of discarded input, so that a client which sends megabytes at full speed does not use up the CPU.
const DISCARD_PAUSE: Duration = Duration::from_millis(5);
/// How long input is read and discarded after the last answer, so that the client receives that answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long writing an answer may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the first request may take to arrive, counted from the start of the connection, and a later one, counted from its
/// first byte. Clients usually connect when they have a request to send.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

pub(super) type Connection = crate::net::connection::Connection<FrontendCodec>;

/// The answer to a request, or the source of the answer.
pub(super) enum Reply {
    Immediate(Answer),
    /// A submitted job, and its admission by accounts and sites, if there are any.
    Pending(Ticket<Job>, Option<RequestAdmission>),
    /// No answer: the job was not submitted because its client has disconnected.
    ClientDisconnected,
    /// The job was not submitted because its client sent more behind it than can be held.
    Overrun,
}

/// An item that was read while a request had no answer yet.
type NextItem = Option<Result<Incoming, ReadError>>;

/// Why the wait for the answer to a request has ended.
enum PendingEnd {
    Answered(ResponseOutcome),
    ClientDisconnected,
    /// The client sent more behind the request than can be held.
    Overrun,
}

/// Returns whether a part of a request has been received.
fn is_partial(connection: &Connection) -> bool {
    connection.codec().is_partial() || connection.has_unread_data()
}

/// Counts the memory of a request that waits until the one before it is answered.
fn hold(mut item: NextItem) -> Result<NextItem, NoMemory> {
    if let Some(Ok(Incoming::Request(request))) = &mut item {
        request.body.count_request_head(request.head_bytes)?;
    }
    Ok(item)
}

/// Returns the refusal of a request that arrives too late in a drain.
fn draining_answer() -> Answer {
    Answer::text(503, "draining: trying again elsewhere is harmless", true)
}

impl Frontend {
    /// Starts a task that serves a new connection until it is closed.
    pub(super) fn serve(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        self.open_connections.set(self.open_connections.get() + 1);
        let frontend = self.clone();
        tokio::task::spawn_local(async move {
            // Without this option answers are only delayed.
            let _ = stream.set_nodelay(true);
            let codec = FrontendCodec::new(&frontend.pool);
            let mut connection = Connection::new::<Answer>(stream, codec, Peer::Client, &frontend.pool);
            let mut messages = 0;
            let close_reason = frontend.serve_connection(&mut connection, &mut messages).await;
            if !matches!(close_reason, CloseReason::PeerClosed | CloseReason::PeerBroke) {
                frontend.linger(&mut connection, close_reason == CloseReason::Evicted).await;
            }
            drop(connection);
            close_reason.log(Side::Frontend, peer, messages);
            frontend.open_connections.set(frontend.open_connections.get() - 1);
            frontend.connection_changed.notify_one();
        });
    }

    /// Shuts down the write side and discards input for a moment: closing a socket with unread input resets the connection, and
    /// the client could lose the answer that was just sent. An evicted connection only discards what has arrived.
    pub(super) async fn linger(&self, connection: &mut Connection, is_evicted: bool) {
        if connection.shut_down().await.is_err() {
            return;
        }
        if !is_evicted {
            let (queue_entry, mut closed) = self.enter_eviction_queue(EvictionRank::NoRequest);
            tokio::select! {
                () = self.discard_input(connection) => {}
                _ = &mut closed => {}
                () = self.deadlines.after(LINGER_TIMEOUT) => {}
            }
            self.leave_eviction_queue(queue_entry);
        }
        let _ = connection.discard();
    }

    /// Reads and discards input until the client closes the connection.
    pub(super) async fn discard_input(&self, connection: &Connection) {
        loop {
            connection.readable().await;
            match connection.discard() {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Ok(n) if n > 0 => self.deadlines.after(DISCARD_PAUSE).await,
                _ => return,
            }
        }
    }

    /// Answers requests, one at a time, until the connection has to be closed. Counts them in `messages`.
    pub(super) async fn serve_connection(
        &self,
        connection: &mut Connection,
        messages: &mut u64,
    ) -> CloseReason {
        let (mut next, mut opened, mut has_served) = (None, Some(Instant::now()), false);
        let mut is_overrun = false;
        loop {
            let item = match next.take() {
                Some(item) => Ok(item),
                None => self.next_item(connection, opened, has_served).await,
            };
            let request = match item {
                Err(close_reason) => {
                    if close_reason == CloseReason::TooSlow {
                        let _ = self
                            .write(connection, Answer::text(408, "the request took too long", true))
                            .await;
                    }
                    if close_reason == CloseReason::Drained && is_partial(connection) {
                        let _ = self.write(connection, draining_answer()).await;
                    }
                    return close_reason;
                }
                Ok(None) | Ok(Some(Err(ReadError::Io(_)))) => {
                    return if is_partial(connection) {
                        CloseReason::PeerBroke
                    } else {
                        CloseReason::PeerClosed
                    };
                }
                Ok(Some(Err(ReadError::Malformed { status, reason }))) => {
                    let _ = self.write(connection, Answer::text(status, reason, true)).await;
                    return CloseReason::Malformed;
                }
                Ok(Some(Ok(Incoming::ExpectsContinue))) => {
                    if let Err(close_reason) = self.write(connection, Answer::Continue).await {
                        return close_reason;
                    }
                    continue;
                }
                Ok(Some(Ok(Incoming::Request(request)))) => request,
            };
            *messages += 1;
            opened = None;
            let keep_alive = request.keep_alive;
            let answer = match self.handle_request(connection, request).await {
                Reply::Immediate(answer) => answer,
                Reply::ClientDisconnected => return CloseReason::PeerBroke,
                Reply::Overrun => {
                    is_overrun = true;
                    Answer::text(503, "too much was sent behind the request", true)
                }
                Reply::Pending(mut ticket, admission) => {
                    has_served = true;
                    let outcome = match self.wait_for_outcome(connection, &mut ticket, &mut next).await {
                        PendingEnd::Answered(outcome) => outcome,
                        // Dropping the ticket abandons the request.
                        PendingEnd::ClientDisconnected => return CloseReason::PeerBroke,
                        PendingEnd::Overrun => {
                            is_overrun = true;
                            ticket.withdraw()
                        }
                    };
                    self.answer_outcome(outcome, admission, ticket.deadline()).await
                }
            };
            let closes_after_answer = self.state.borrow().closes_after_answer();
            if closes_after_answer && next.is_none() && !connection.has_unread_data() {
                // Guards a request that has just arrived, as in [`Frontend::next_item`].
                poll_sockets().await;
                next = connection.next().now_or_never();
            }
            // A request that has arrived is still served.
            let has_next = next.is_some() || connection.has_unread_data();
            let is_closing = self.state.borrow().stage == ShutdownStage::Closing && !has_next;
            // `Connection: close` in the answer makes the client reconnect, to another node.
            let is_last = !keep_alive || is_overrun || (closes_after_answer && !has_next) || answer.is_last();
            if let Err(close_reason) = self.write(connection, close_if(answer, is_last)).await {
                return close_reason;
            }
            if is_last {
                return match (is_overrun, is_closing) {
                    (true, _) => CloseReason::Overrun,
                    (false, true) => CloseReason::Shutdown,
                    (false, false) => CloseReason::LastMessage,
                };
            }
        }
    }

    /// Waits for the answer to a request, and puts an item that the client sends meanwhile into `next`.
    async fn wait_for_outcome(
        &self,
        connection: &mut Connection,
        ticket: &mut Ticket<Job>,
        next: &mut Option<NextItem>,
    ) -> PendingEnd {
        let mut outcome = std::pin::pin!(ticket.outcome());
        loop {
            tokio::select! {
                biased;
                outcome = &mut outcome => return PendingEnd::Answered(outcome),
                item = self.next_item_while_pending(connection, next.is_some()) => match item {
                    Err(end) => return end,
                    // The next request of the client arrived early.
                    Ok(item) => match hold(item) {
                        Ok(item) => *next = Some(item),
                        Err(NoMemory) => return PendingEnd::Overrun,
                    },
                },
            }
        }
    }

    /// Returns the HTTP answer for the outcome of a request, once it is stored where accounts and sites need that.
    async fn answer_outcome(
        &self,
        outcome: ResponseOutcome,
        admission: Option<RequestAdmission>,
        deadline: Instant,
    ) -> Answer {
        let extra_field = admission.as_ref().and_then(|admission| admission.response_field(&outcome));
        let pending_answer = admission.as_ref().and_then(|admission| match &outcome {
            ResponseOutcome::Served(body) => admission.store_answer(200, body),
            ResponseOutcome::Failed => admission.store_answer(502, b"failed\n"),
            ResponseOutcome::Shed { .. } | ResponseOutcome::Rejected { .. } => None,
        });
        let rejection = admission.and_then(|admission| admission.finish(&outcome));
        if let Some(pending_answer) = pending_answer {
            pending_answer.stored(&self.deadlines, deadline).await;
        }
        answer_for(outcome, rejection, extra_field, |wait| self.exchange.capped_retry_after(wait))
    }

    /// Returns the next item that arrives while an answer is pending; fails if the wait for the answer has to end. With `has_next`,
    /// an item is waiting already, and further data is only read ahead.
    async fn next_item_while_pending(
        &self,
        connection: &mut Connection,
        has_next: bool,
    ) -> Result<NextItem, PendingEnd> {
        if !has_next {
            return match connection.next().await {
                None | Some(Err(ReadError::Io(_))) => Err(PendingEnd::ClientDisconnected),
                item => Ok(item),
            };
        }
        loop {
            match connection.read_ahead() {
                ReadAhead::Ended => return Err(PendingEnd::ClientDisconnected),
                // Guards against attempts for a client that has disconnected unnoticed.
                ReadAhead::Full => return Err(PendingEnd::Overrun),
                ReadAhead::Open => connection.readable().await,
            }
        }
    }

    /// Returns the next item that arrives; fails with the reason if the connection has to be closed before.
    pub(super) async fn next_item(
        &self,
        connection: &mut Connection,
        opened: Option<Instant>,
        has_served: bool,
    ) -> Result<Option<Result<Incoming, ReadError>>, CloseReason> {
        let rank = if has_served { EvictionRank::Served } else { EvictionRank::NoRequest };
        let (mut queue_entry, mut closed) = self.enter_eviction_queue(rank);
        let mut unwanted = std::pin::pin!(self.wait_until_unwanted(true));
        // Guards the shutdown against requests that are never completed.
        let shutdown = |s: State| s.stopping.filter(|_| s.stage == ShutdownStage::Closing);
        let mut completion_due =
            std::pin::pin!(self.wait_until(|s| shutdown(s).map(|s| s.requests_complete_by())));
        let mut drain_due = std::pin::pin!(self.wait_until(|s| s.drain_completes_requests_by()));
        // Guards against connections that send nothing, or a request without end.
        let due = opened
            .map_or_else(|| self.deadlines.after(IDLE_TIMEOUT), |o| self.deadlines.at(o + REQUEST_TIMEOUT));
        let mut due = std::pin::pin!(due);
        let bytes_received = connection.codec().bytes_received();
        let (mut deferred_reason, mut has_begun, mut is_drain_due) = (None, opened.is_some(), false);
        let item = loop {
            // Reads what has arrived before any other reason closes the connection.
            let mut reason = tokio::select! {
                biased;
                item = connection.next() => break Ok(item),
                () = bytes_received.notified() => None,
                _ = &mut closed => Some(CloseReason::Evicted),
                reason = &mut unwanted, if deferred_reason != Some(CloseReason::Shutdown) => Some(reason),
                () = &mut due => Some(CloseReason::Idle),
                () = &mut completion_due, if deferred_reason == Some(CloseReason::Shutdown) => Some(CloseReason::Idle),
                () = &mut drain_due, if deferred_reason == Some(CloseReason::Drained) => {
                    is_drain_due = true;
                    Some(CloseReason::Drained)
                }
            };
            if reason.is_some() {
                // Guards requests that have arrived: if the process was suspended, timers may be handled before sockets, and the
                // requests would be discarded.
                poll_sockets().await;
                if let Some(item) = connection.next().now_or_never() {
                    break Ok(item);
                }
                // A part of a request has arrived, so the connection is not idle.
                if reason == Some(CloseReason::Evicted) && bytes_received.notified().now_or_never().is_some()
                {
                    self.leave_eviction_queue(queue_entry);
                    (queue_entry, closed) = self.enter_eviction_queue(EvictionRank::PartialRequest);
                    reason = None;
                }
            }
            // A connection with a partial request is not idle; it may go on until the timeout of the request.
            match (is_partial(connection), reason) {
                (true, None) => {
                    if !std::mem::replace(&mut has_begun, true) {
                        due.set(self.deadlines.after(REQUEST_TIMEOUT));
                    }
                    // Moves to the end of the queue. Guards slow clients, so that stalled ones are evicted first.
                    if let Some(close) = self.remove_from_queue(queue_entry) {
                        queue_entry = self.enqueue(EvictionRank::PartialRequest, close);
                    }
                }
                (false, None) => {}
                (true, Some(CloseReason::Evicted)) => break Err(CloseReason::Evicted),
                (false, Some(reason)) => break Err(reason),
                (true, Some(CloseReason::Idle)) if !has_begun => {
                    due.set(self.deadlines.after(REQUEST_TIMEOUT));
                    has_begun = true;
                }
                (true, Some(CloseReason::Idle)) => break Err(CloseReason::TooSlow),
                (true, Some(CloseReason::Drained)) if is_drain_due => break Err(CloseReason::Drained),
                // The partial request may be completed before the drain is.
                (true, Some(CloseReason::Drained)) => {
                    if !std::mem::replace(&mut has_begun, true) {
                        due.set(self.deadlines.after(REQUEST_TIMEOUT));
                    }
                    deferred_reason = Some(CloseReason::Drained);
                    // A shutdown may follow, which leaves less time.
                    unwanted.set(self.wait_until_unwanted(false));
                }
                (true, Some(reason)) => (deferred_reason, has_begun) = (Some(reason), true),
            }
        };
        self.leave_eviction_queue(queue_entry);
        item
    }

    /// Waits until an idle connection should be closed and returns the reason; with `drains` unset, a drain is no reason.
    pub(super) async fn wait_until_unwanted(&self, drains: bool) -> CloseReason {
        let (idle_since, mut state) = (Instant::now(), self.state.subscribe());
        loop {
            let now = *state.borrow_and_update();
            if now.stage == ShutdownStage::Closing {
                return CloseReason::Shutdown;
            }
            let due = now.draining.filter(|_| drains).map(|draining| draining.close_idle_at(idle_since));
            let drained = async {
                match due {
                    Some(due) => self.deadlines.at(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                changed = state.changed() => if changed.is_err() {
                    return CloseReason::Shutdown;
                },
                () = drained => return CloseReason::Drained,
            }
        }
    }

    pub(super) async fn write(&self, connection: &mut Connection, answer: Answer) -> Result<(), CloseReason> {
        tokio::select! {
            biased;
            sent = connection.send(answer) => sent.map_err(|_| CloseReason::PeerBroke),
            () = self.deadlines.after(WRITE_TIMEOUT) => Err(CloseReason::TooSlow),
        }
    }

    /// Answers a request at once or submits its job.
    pub(super) async fn handle_request(&self, connection: &mut Connection, request: Request) -> Reply {
        let path = request.target.split('?').next().unwrap_or("");
        if path == "/_health" {
            return Reply::Immediate(self.health(&request));
        }
        if self.state.borrow().refuses_job(request.arrived) {
            return Reply::Immediate(draining_answer());
        }
        let claim = self.claim_id(&request).await;
        // Lets the runtime poll the sockets, whose known state may be older than the request. There is no further await before the
        // submission. Guards against a reload in between, after which the id of the parsed class means another class.
        poll_sockets().await;
        match self.parse_job(request, claim) {
            Ok((mut params, job)) => {
                // Guards against dispatching a job whose client disconnected right after sending it.
                match connection.read_ahead() {
                    ReadAhead::Ended => return Reply::ClientDisconnected,
                    ReadAhead::Full => return Reply::Overrun,
                    ReadAhead::Open => {}
                }
                let mut admission = None;
                if let Some(sites) = &*self.sites.borrow() {
                    if let Some((status, body)) = sites.stored_answer(params.class, &job) {
                        let fields = String::new();
                        return Reply::Immediate(Answer::Full {
                            status,
                            fields,
                            body,
                            close: false,
                            head_only: false,
                        });
                    }
                    (params.work_state, admission) = sites.admit(params.class, &job);
                    params.is_remote = admission.as_ref().is_some_and(RequestAdmission::is_remote);
                }
                let ticket = self.exchange.submit(params, job);
                if let Some(admission) = &mut admission {
                    admission.record_submitted(ticket.is_answered());
                }
                Reply::Pending(ticket, admission)
            }
            Err(answer) => Reply::Immediate(answer),
        }
    }
}
