//! One connection of a client, from its first byte to its close.

use super::eviction::Rank;
use super::request::{answer_to, last_if};
use super::{Frontend, Stage, State};
use crate::net::close_reason::{CloseReason, Side};
use crate::net::codec::{Answer, FrontendCodec, Incoming, ReadError, Request};
use crate::net::exchange::{ResponseOutcome, Ticket};
use crate::net::pool::ReadAhead;
use crate::net::sites::RequestAdmission;
use crate::net::{poll_sockets, Job};
use futures_util::FutureExt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// While clients are sent away, a connection that has nothing to say has at least this long to begin.
const DRAIN_FIRST: Duration = Duration::from_millis(400);
/// Idle connections close this long after the node is told to send clients away: by then the front
/// sends it no new ones, so that clients who come back go elsewhere, and all jobs on others have time.
const DRAIN_IDLE: Duration = Duration::from_millis(800);
/// Where more lies unread than is read ahead, how often the end behind it is looked for: well within the 0.1 s
/// after which nothing may begin for a client that has gone.
const LOOK: Duration = Duration::from_millis(25);
/// The pause after each piece of that: a client that sends megabytes at full speed must not cost the
/// node its CPU.
const SIP: Duration = Duration::from_millis(5);
/// How long what a client still sends is read after the last answer, so that it sees that answer.
const LINGER: Duration = Duration::from_millis(1_000);
/// How long a client may take to read its answer.
const WRITE: Duration = Duration::from_secs(10);
/// How long the first request of a connection may take to come, from the connection's beginning, and
/// each later one from its own. Usual clients connect when they have a request to send.
const REQUEST: Duration = Duration::from_millis(2_300);
/// How long a connection may stand idle between requests.
const IDLE: Duration = Duration::from_secs(60);

pub(super) type Connection = Framed<TcpStream, FrontendCodec>;

/// What a request is answered with, or what brings its answer.
pub(super) enum Reply {
    Now(Answer),
    /// Its answer is to come; and what its account is told of it, where there are accounts.
    Later(Ticket<Job>, Option<RequestAdmission>),
    /// Nothing: the job was not taken, as its client has gone.
    Gone,
}

impl Frontend {
    pub(super) fn serve(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        self.connections.set(self.connections.get() + 1);
        let frontend = self.clone();
        tokio::task::spawn_local(async move {
            // Without it answers only come later.
            let _ = stream.set_nodelay(true);
            let mut connection =
                frontend.pool.framed::<Answer, _>(stream, FrontendCodec::new(&frontend.pool));
            let mut messages = 0;
            let close_reason = frontend.connection(&mut connection, &mut messages).await;
            if !matches!(close_reason, CloseReason::PeerClosed | CloseReason::PeerBroke) {
                frontend.linger(&mut connection, close_reason == CloseReason::Evicted).await;
            }
            frontend.pool.release(connection);
            close_reason.log(Side::Frontend, peer, messages);
            frontend.connections.set(frontend.connections.get() - 1);
            frontend.changed.notify_one();
        });
    }

    /// End the sending and read on for a moment: a socket closed over unread bytes is reset, which
    /// can cost the client the answer that it was just sent. One whose room is needed reads what is there.
    pub(super) async fn linger(&self, connection: &mut Connection, frees_capacity: bool) {
        if connection.get_mut().shutdown().await.is_err() {
            return;
        }
        connection.read_buffer_mut().clear();
        if !frees_capacity {
            let (place, mut closed) = self.stay_idle(Rank::Silent);
            tokio::select! {
                () = self.read_out(connection) => {}
                _ = &mut closed => {}
                () = self.deadlines.after(LINGER) => {}
            }
            self.rise(place);
        }
        let _ = self.pool.discard(connection);
    }

    /// Read and drop what still comes, until the client ends it.
    pub(super) async fn read_out(&self, connection: &Connection) {
        loop {
            let _ = connection.get_ref().readable().await;
            match self.pool.discard(connection) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Ok(n) if n > 0 => self.deadlines.after(SIP).await,
                _ => return,
            }
        }
    }

    /// Answer requests, one at a time, until the connection ends.
    pub(super) async fn connection(&self, connection: &mut Connection, messages: &mut u64) -> CloseReason {
        let (mut next, mut opened, mut has_served) = (None, Some(Instant::now()), false);
        loop {
            let item = match next.take() {
                Some(item) => Ok(item),
                None => self.next(connection, opened, has_served).await,
            };
            let request = match item {
                Err(close_reason) => {
                    if close_reason == CloseReason::TooSlow {
                        let _ = self
                            .write(connection, Answer::text(408, "the request took too long", true))
                            .await;
                    }
                    return close_reason;
                }
                Ok(None) | Ok(Some(Err(ReadError::Io(_)))) => {
                    let broke = connection.codec().is_partial() || !connection.read_buffer().is_empty();
                    return if broke { CloseReason::PeerBroke } else { CloseReason::PeerClosed };
                }
                Ok(Some(Err(ReadError::Bad { status, reason }))) => {
                    let _ = self.write(connection, Answer::text(status, reason, true)).await;
                    return CloseReason::Malformed;
                }
                Ok(Some(Ok(Incoming::Expects))) => {
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
            let answer = match self.reply(connection, request).await {
                Reply::Now(answer) => answer,
                Reply::Gone => return CloseReason::PeerBroke,
                Reply::Later(mut ticket, mark) => {
                    has_served = true;
                    let outcome = {
                        let outcome = std::pin::pin!(ticket.outcome());
                        let mut outcome = outcome.fuse();
                        loop {
                            tokio::select! {
                                biased;
                                outcome = &mut outcome => break Some(outcome),
                                item = self.early(connection, next.is_some()) => match item {
                                    // The client has gone: dropping the ticket tells the exchange.
                                    None | Some(Err(ReadError::Io(_))) => break None,
                                    // It has sent its next request already.
                                    item => next = Some(item),
                                },
                            }
                        }
                    };
                    match outcome {
                        Some(outcome) => {
                            let notifies = mark.as_ref().and_then(|mark| mark.response_field(&outcome));
                            let mut keeping = None;
                            if let Some(mark) = mark.as_ref() {
                                keeping = match &outcome {
                                    ResponseOutcome::Served(body) => mark.store_answer(200, body),
                                    ResponseOutcome::Failed => mark.store_answer(502, b"failed\n"),
                                    ResponseOutcome::Shed { .. } | ResponseOutcome::Rejected { .. } => None,
                                };
                            }
                            let rejection = mark.and_then(|mark| mark.finish(&outcome));
                            if let Some(keeping) = keeping {
                                keeping.stored(&self.deadlines, ticket.overdue()).await;
                            }
                            answer_to(outcome, rejection, notifies, |wait| self.exchange.advice(wait))
                        }
                        None => return CloseReason::PeerBroke,
                    }
                }
            };
            let sends_away = self.state.borrow().sends_away();
            if sends_away && next.is_none() && connection.read_buffer().is_empty() {
                // Guards what has come by now, as in [`Frontend::next`].
                poll_sockets().await;
                next = self.pool.next(connection).now_or_never();
            }
            // A request that has come already is still served.
            let pending = next.is_some() || !connection.read_buffer().is_empty();
            let closing = self.state.borrow().stage == Stage::Closing && !pending;
            // A client that is sent away hears it with its answer, and connects elsewhere next.
            let last = !keep_alive || (sends_away && !pending) || answer.is_last();
            if let Err(close_reason) = self.write(connection, last_if(answer, last)).await {
                return close_reason;
            }
            if last {
                return if closing { CloseReason::Shutdown } else { CloseReason::LastMessage };
            }
        }
    }

    /// What comes while an answer is awaited: the next thing or, where one waits already, the end alone.
    pub(super) async fn early(
        &self,
        connection: &mut Connection,
        waits: bool,
    ) -> Option<Result<Incoming, ReadError>> {
        if !waits {
            return self.pool.next(connection).await;
        }
        loop {
            match self.pool.read_ahead(connection) {
                ReadAhead::Ended => return None,
                // An error shows again as that of the read.
                ReadAhead::Open => drop(connection.get_ref().readable().await),
                // Readable all the time: guards against a loop without end.
                ReadAhead::Full => self.deadlines.after(LOOK).await,
            }
        }
    }

    /// The next thing that comes, or why the connection ends without one.
    pub(super) async fn next(
        &self,
        connection: &mut Connection,
        opened: Option<Instant>,
        has_served: bool,
    ) -> Result<Option<Result<Incoming, ReadError>>, CloseReason> {
        let rank = if has_served { Rank::Served } else { Rank::Silent };
        let (mut place, mut closed) = self.stay_idle(rank);
        let mut unwanted = std::pin::pin!(self.unwanted(true));
        // Guards the end of the node against requests that are never completed.
        let closing = |s: State| s.stopping.filter(|_| s.stage == Stage::Closing);
        let mut pressed = std::pin::pin!(self.reaches(|s| closing(s).map(|s| s.requests_complete_by())));
        // Guards against connections that say nothing, or send a request without end.
        let due = opened.map_or_else(|| self.deadlines.after(IDLE), |o| self.deadlines.at(o + REQUEST));
        let mut due = std::pin::pin!(due);
        let begun = connection.codec().begun();
        let (mut close_reason, mut has_begun) = (None, opened.is_some());
        let item = loop {
            // What has come is read before anything closes the connection.
            let mut over = tokio::select! {
                biased;
                item = self.pool.next(connection) => break Ok(item),
                () = begun.notified() => None,
                _ = &mut closed => Some(CloseReason::Evicted),
                over = &mut unwanted, if close_reason != Some(CloseReason::Shutdown) => Some(over),
                () = &mut due => Some(CloseReason::Idle),
                () = &mut pressed, if close_reason == Some(CloseReason::Shutdown) => Some(CloseReason::Idle),
            };
            if over.is_some() {
                // Guards what has come by now: the clock may have been looked at before the sockets were, as
                // where the process stood still. It would be read and thrown away.
                poll_sockets().await;
                if let Some(item) = self.pool.next(connection).now_or_never() {
                    break Ok(item);
                }
                // A part of a request has come: it did not stand still.
                if over == Some(CloseReason::Evicted) && begun.notified().now_or_never().is_some() {
                    self.rise(place);
                    (place, closed) = self.stay_idle(Rank::Begun);
                    over = None;
                }
            }
            // One on which a request has begun is not idle: it may go on until its time is up.
            let partial = connection.codec().is_partial() || !connection.read_buffer().is_empty();
            match (partial, over) {
                (true, None) => {
                    if !std::mem::replace(&mut has_begun, true) {
                        due.set(self.deadlines.after(REQUEST));
                    }
                    // It moves: guards slow clients against going before those that stand still.
                    if let Some(close) = self.stir(place) {
                        place = self.readiness(Rank::Begun, close);
                    }
                }
                (false, None) => {}
                (true, Some(CloseReason::Evicted)) => break Err(CloseReason::Evicted),
                (false, Some(over)) => break Err(over),
                (true, Some(CloseReason::Idle)) if !has_begun => {
                    due.set(self.deadlines.after(REQUEST));
                    has_begun = true;
                }
                (true, Some(CloseReason::Idle)) => break Err(CloseReason::TooSlow),
                // It has its time: what has begun is served before the node counts as emptied.
                (true, Some(CloseReason::Drained)) => {
                    if !std::mem::replace(&mut has_begun, true) {
                        due.set(self.deadlines.after(REQUEST));
                    }
                    close_reason = Some(CloseReason::Drained);
                    // The node may be told to stop, too, and then it has less.
                    unwanted.set(self.unwanted(false));
                }
                (true, Some(over)) => (close_reason, has_begun) = (Some(over), true),
            }
        };
        self.rise(place);
        item
    }

    /// Why a connection should no longer stand idle, once that is so; that the node is being emptied may be known.
    pub(super) async fn unwanted(&self, drains: bool) -> CloseReason {
        let (begun, mut state) = (Instant::now(), self.state.subscribe());
        loop {
            let now = *state.borrow_and_update();
            if now.stage == Stage::Closing {
                return CloseReason::Shutdown;
            }
            let drained = now.drained.filter(|_| drains);
            let due = drained.map(|since| (since + DRAIN_IDLE).max(begun + DRAIN_FIRST));
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
            sent = self.pool.send(connection, answer) => sent.map_err(|_| CloseReason::PeerBroke),
            () = self.deadlines.after(WRITE) => Err(CloseReason::TooSlow),
        }
    }

    /// What is to be done about a request.
    pub(super) async fn reply(&self, connection: &mut Connection, request: Request) -> Reply {
        let path = request.target.split('?').next().unwrap_or("");
        if path == "/_health" {
            return Reply::Now(self.health(&request));
        }
        // The sockets get a turn first, as what is known of them may be older than what was read. From there on to the taking
        // nothing comes between. Guards against a reload after which the class that a job was read by stands for another one.
        poll_sockets().await;
        match self.job(request) {
            Ok((mut ask, job)) => {
                // Guards against sending on what nobody waits for: the end may have come along with the job.
                if self.pool.read_ahead(connection) == ReadAhead::Ended {
                    return Reply::Gone;
                }
                let mut mark = None;
                if let Some(sites) = &*self.sites.borrow() {
                    if let Some((status, body)) = sites.stored_answer(ask.class, &job) {
                        let fields = String::new();
                        return Reply::Now(Answer::Full {
                            status,
                            fields,
                            body,
                            close: false,
                            head_only: false,
                        });
                    }
                    (ask.entry, mark) = sites.admit(ask.class, &job);
                    ask.guest = mark.as_ref().is_some_and(RequestAdmission::is_remote);
                }
                let ticket = self.exchange.take(ask, job);
                if let Some(mark) = &mut mark {
                    mark.record_submitted(ticket.is_answered());
                }
                Reply::Later(ticket, mark)
            }
            Err(answer) => Reply::Now(answer),
        }
    }
}
