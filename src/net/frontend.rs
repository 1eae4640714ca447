//! The frontend: connections from clients, and what they ask for. Jobs go to the exchange; all else
//! is answered here.

use super::close_reason::{CloseReason, Side};
use super::codec::{Answer, FrontendCodec, Incoming, ReadError, Request};
use super::deadlines::Deadlines;
use super::exchange::{Ask, Exchange, ResponseOutcome, Ticket};
use super::pool::{Ahead, Pool};
use super::sites::{Mark, Rejection, Sites};
use super::stopping::Stopping;
use super::{turn, Job};
use futures_util::FutureExt;
use shorepath_scheduler::{Micros, WorkState};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio_util::codec::Framed;
use tracing::warn;

/// How long a connection may stand idle between requests.
const IDLE: Duration = Duration::from_secs(60);
/// How long the first request of a connection may take to come, from the connection's beginning, and
/// each later one from its own. Usual clients connect when they have a request to send.
const REQUEST: Duration = Duration::from_millis(2_300);
/// Under pressure, how long a new connection may say nothing: its request may be on the way.
const ANNOUNCE_GRACE: Duration = Duration::from_millis(10);
/// Under pressure, how long a request that has begun may stand still; slow ones come in pieces about
/// 0.1 s apart.
const STILL: Duration = Duration::from_millis(500);
/// How long a client may take to read its answer.
const WRITE: Duration = Duration::from_secs(10);
/// How long what a client still sends is read after the last answer, so that it sees that answer.
const LINGER: Duration = Duration::from_millis(1_000);
/// The pause after each piece of that: a client that sends megabytes at full speed must not cost the
/// node its CPU.
const SIP: Duration = Duration::from_millis(5);
/// Where more lies unread than is read ahead, how often the end behind it is looked for: well within the 0.1 s
/// after which nothing may begin for a client that has gone.
const LOOK: Duration = Duration::from_millis(25);
/// Idle connections close this long after the node is told to send clients away: by then the front
/// sends it no new ones, so that clients who come back go elsewhere, and all jobs on others have time.
const DRAIN_IDLE: Duration = Duration::from_millis(800);
/// While clients are sent away, a connection that has nothing to say has at least this long to begin.
const DRAIN_FIRST: Duration = Duration::from_millis(400);
/// Words about ids that may wait for another process to hear them; an id a connection fits.
const MAX_TEXT: usize = 4096;
/// The pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(10);
/// One that was barred for want of confirmation may ask again after this, which links usually take to come back.
const REJECTION_RETRY_AFTER: Duration = Duration::from_secs(2);

type Connection = Framed<TcpStream, FrontendCodec>;

/// How far the node has come with stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Serving,
    /// Served as before, but no longer healthy.
    Leaving,
    /// No new connection is accepted; those that there are go on.
    Refusing,
    /// Nothing new is taken.
    Closing,
}

/// What the frontend does with clients: how far it has come with stopping, and whether it is being
/// emptied, which can be taken back.
#[derive(Clone, Copy, Debug)]
struct State {
    stage: Stage,
    /// Since when an operator has it emptied.
    drained: Option<Instant>,
    /// Whether the listener is attended.
    accepts: bool,
    /// Whether another process takes the clients at this address.
    replaced: bool,
    /// The times that hold once the node is stopping.
    stopping: Option<Stopping>,
}

impl State {
    /// Why no clients should be sent here, if they should not.
    fn avoids(&self) -> Option<&'static str> {
        match self {
            // The front must not hear that the address is gone: the next process serves there.
            State { replaced: true, .. } => None,
            State { stage, .. } if *stage > Stage::Serving => Some("stopping"),
            State { drained: Some(_), .. } => Some("draining"),
            _ => None,
        }
    }

    /// Whether a connection ends after its next answer, unless more has come.
    fn sends_away(&self) -> bool {
        self.stage == Stage::Closing || self.drained.is_some() || self.replaced
    }
}

/// The connections from clients.
#[derive(Debug)]
pub struct Frontend {
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    pool: Rc<Pool>,
    most: Cell<usize>,
    connections: Cell<usize>,
    /// Told whenever a connection has ended or become idle.
    changed: Notify,
    /// What closes those on which nothing moves, by their rank.
    idle: RefCell<[Standing; 3]>,
    idled: Cell<u64>,
    /// How many of them were told to go and have neither ended nor gone on yet.
    going: Cell<usize>,
    ids: Rc<RefCell<Ids>>,
    state: watch::Sender<State>,
    /// This node among sites, where there are any.
    sites: RefCell<Option<Rc<Sites>>>,
}

/// The ids of open jobs.
#[derive(Debug, Default)]
pub struct Ids {
    own: HashSet<String>,
    /// Those of another process that is this node, too.
    others: HashSet<String>,
    /// What that process is to be told.
    messages: Option<mpsc::Sender<String>>,
}

impl Ids {
    /// Tell another process of them: words that each begin or end one.
    pub fn share(ids: &RefCell<Ids>) -> mpsc::Receiver<String> {
        let (messages, notified) = mpsc::channel(MAX_TEXT);
        let mut ids = ids.borrow_mut();
        ids.messages = Some(messages);
        ids.own.iter().for_each(|id| ids.report("take", id));
        notified
    }

    /// The other process has ended.
    pub fn part(ids: &RefCell<Ids>) {
        let mut ids = ids.borrow_mut();
        ids.messages = None;
        ids.others.clear();
    }

    /// The other process has begun or ended a job with that id.
    pub fn received(&mut self, id: &str, open: bool) {
        match open {
            true => self.others.insert(id.to_string()),
            false => self.others.remove(id),
        };
    }

    fn report(&self, message: &str, id: &str) {
        let Some(messages) = &self.messages else { return };
        if messages.try_send(format!("{message} {id}")).is_err() {
            warn!("the other process hears nothing: it may take an id that is in use");
        }
    }
}

/// The id of a job, which no other job has for as long as this one is open or a dispatch of it is out.
/// Guards against a client that sends another's id: the two would be one request to a backend server,
/// which turns the second away or hands it the first one's result.
#[derive(Debug)]
pub struct Claim {
    id: String,
    all: Rc<RefCell<Ids>>,
}

impl Claim {
    /// The claim on that id, unless another job has it.
    pub fn on(id: String, all: &Rc<RefCell<Ids>>) -> Option<Claim> {
        let mut ids = all.borrow_mut();
        let free = !ids.others.contains(&id) && ids.own.insert(id.clone());
        free.then(|| {
            ids.report("take", &id);
            Claim { id, all: all.clone() }
        })
    }
}

impl Deref for Claim {
    type Target = str;
    fn deref(&self) -> &str {
        &self.id
    }
}

impl fmt::Display for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let mut ids = self.all.borrow_mut();
        ids.own.remove(&self.id);
        ids.report("free", &self.id);
    }
}

/// How soon a connection has to go when another needs its place, the first one first. Guards the
/// connections of usual clients against hundreds that were opened to say nothing, or half a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rank {
    /// It never handed in a job, and nothing has begun.
    Silent,
    /// A request has begun; since then, or since more of it came, it stands still.
    Begun,
    /// It has handed in a job before.
    Served,
}

impl Rank {
    const ALL: [Rank; 3] = [Rank::Silent, Rank::Begun, Rank::Served];

    /// How long one of that rank may stand still before it can be made to go.
    fn grace(self) -> Duration {
        match self {
            Rank::Silent => ANNOUNCE_GRACE,
            Rank::Begun => STILL,
            Rank::Served => Duration::ZERO,
        }
    }
}

/// Where a connection stands among those that may have to go: since when in its rank, and how many
/// had come to stand there before.
type Place = (Rank, (Instant, u64));

/// What closes the connections of one rank, the one that has stood still for longest first.
type Standing = BTreeMap<(Instant, u64), oneshot::Sender<()>>;

/// What a request is answered with, or what brings its answer.
enum Reply {
    Now(Answer),
    /// Its answer is to come; and what its account is told of it, where there are accounts.
    Later(Ticket<Job>, Option<Mark>),
    /// Nothing: the job was not taken, as its client has gone.
    Gone,
}

impl Frontend {
    /// A frontend with so many connections at most.
    pub fn new(
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        pool: Rc<Pool>,
        most: usize,
    ) -> Rc<Self> {
        let stage = Stage::Serving;
        let state = State { stage, drained: None, accepts: false, replaced: false, stopping: None };
        Rc::new(Frontend {
            exchange,
            deadlines,
            pool,
            most: Cell::new(most),
            connections: Cell::new(0),
            changed: Notify::new(),
            idle: RefCell::default(),
            idled: Cell::new(0),
            going: Cell::new(0),
            ids: Rc::default(),
            state: watch::channel(state).0,
            sites: RefCell::default(),
        })
    }

    /// Accounts are asked from now on.
    pub fn among(&self, sites: Rc<Sites>) {
        self.sites.replace(Some(sites));
    }

    /// Whether clients are taken, or why not.
    pub fn ready(&self) -> Result<(), &'static str> {
        let state = *self.state.borrow();
        match state.avoids() {
            Some(why) => Err(why),
            None if state.replaced => Err("replaced"),
            None if !state.accepts => Err("starting"),
            None if !self.exchange.has_servers() => Err("no server table"),
            None => Ok(()),
        }
    }

    /// Send clients away, or take them again; the listener stays open all the while. Asked again it
    /// changes nothing. Fails once the node is stopping, which can't be taken back.
    pub fn drain(&self, drain: bool) -> Result<(), &'static str> {
        match *self.state.borrow() {
            State { replaced: true, .. } => return Err("replaced"),
            State { stage, .. } if stage > Stage::Serving => return Err("stopping"),
            _ => {}
        }
        self.state.send_if_modified(|s| {
            let changes = s.drained.is_some() != drain;
            if changes {
                s.drained = drain.then(Instant::now);
            }
            changes
        });
        Ok(())
    }

    /// Another process takes the clients at this address, or none does any more. What this one has is
    /// served to its end, and answers send its clients over.
    pub fn hand_over(&self, replaced: bool) {
        self.state.send_modify(|s| s.replaced = replaced);
    }

    /// Ready as soon as clients are taken.
    pub async fn serving(&self) {
        let (mut state, mut lists) = (self.state.subscribe(), self.exchange.lists());
        while self.ready().is_err() {
            // Neither ends before the frontend.
            tokio::select! {
                _ = state.changed() => {}
                _ = lists.changed() => {}
            }
        }
    }

    /// Ready once the node is going to stop.
    pub async fn leaving(&self) {
        // It does not end before the frontend.
        let _ = self.state.subscribe().wait_for(|s| s.stage > Stage::Serving).await;
    }

    /// The ids of open jobs.
    pub fn ids(&self) -> &RefCell<Ids> {
        &self.ids
    }

    /// Hold so many connections at most from now on.
    pub fn bound(&self, most: usize) {
        self.most.set(most);
        for _ in most..self.connections.get() {
            let _ = self.free_capacity();
        }
    }

    fn enter(&self, stage: Stage) {
        self.state.send_modify(|s| s.stage = stage);
    }

    /// The node is going to stop by these times: it is no longer healthy, but serves as before. What comes late
    /// has its answer in time; from now on, or what comes right before connections are refused would be missed.
    pub fn leave(&self, stopping: Stopping) {
        self.state.send_modify(|s| (s.stage, s.stopping) = (Stage::Leaving, Some(stopping)));
    }

    /// Other settings hold while the node stops. Guards against a reload that was asked for before the stop and is
    /// found after it: the system hands two signals to any thread, in any order.
    pub fn hasten(&self, longest: Duration) {
        self.state.send_modify(|s| s.stopping = s.stopping.map(|s| s.hastened(longest)));
    }

    /// Ready when connections close, as the node is stopping.
    pub async fn closes(&self) {
        self.reaches(|s| s.stopping.map(|s| s.closes())).await;
    }

    /// Ready once that time has come, as the state says by then.
    async fn reaches(&self, time: impl Fn(State) -> Option<Instant>) {
        let mut state = self.state.subscribe();
        loop {
            let at = time(*state.borrow_and_update());
            let reached = async {
                match at {
                    Some(at) => self.deadlines.at(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                // It does not end before the frontend.
                _ = state.changed() => {}
                () = reached => return,
            }
        }
    }

    /// Accept no new connection but those that wait already.
    pub fn refuse(&self) {
        self.enter(Stage::Refusing);
    }

    /// Take nothing new: idle connections close, the others after their answer.
    pub fn close(&self) {
        self.enter(Stage::Closing);
    }

    /// Ready once all connections have ended.
    pub async fn ended(&self) {
        while self.connections.get() > 0 {
            self.changed.notified().await;
        }
    }

    /// Accept connections until told to refuse them; of those that wait by then all, as there is room, until
    /// told to close.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let (mut state, mut replaced) = (self.state.subscribe(), self.state.subscribe());
        self.state.send_modify(|s| s.accepts = true);
        let mut looked = false;
        loop {
            // One more than allowed shows that another has to go. Only one that has ended makes room:
            // one that was told to go may have begun a request.
            let full = self.connections.get() > self.most.get();
            let waits = self.state.borrow().replaced;
            // Guards those that wait at a full node: a listener that closes over them resets them, with the
            // requests that they have sent. Where another process has the socket, they are its own.
            let ends = if full && !waits { Stage::Closing } else { Stage::Refusing };
            let mut again = None;
            if full {
                // Those just accepted come to stand idle first, and give way before usual clients do.
                tokio::task::yield_now().await;
                again = self.free_capacity().err().flatten();
            }
            let again = async {
                match again {
                    Some(at) => self.deadlines.at(at).await,
                    None => std::future::pending().await,
                }
            };
            let accepted = tokio::select! {
                biased;
                // All that waits is taken before the listener closes: its requests may have come.
                accepted = listener.accept(), if !full && !waits => accepted,
                () = self.changed.notified(), if full => continue,
                () = again => continue,
                _ = replaced.wait_for(|s| s.replaced != waits) => continue,
                _ = state.wait_for(|s| s.stage >= ends) => {
                    // Guards those that came while the process stood still, as far as the time to refuse them: the
                    // clock may have been looked at before the listener was.
                    if full || waits || std::mem::replace(&mut looked, true) {
                        return;
                    }
                    turn().await;
                    continue;
                }
            };
            looked = false;
            match accepted {
                Ok((stream, peer)) => self.serve(stream, peer),
                // Guards against running out of descriptors: it passes, and must not spin or end us.
                Err(e) => {
                    warn!("accepting: {e}");
                    if self.state.borrow().stage == Stage::Closing {
                        return;
                    }
                    let _ = self.evict();
                    self.deadlines.after(PAUSE).await;
                }
            }
        }
    }

    /// Evict one if there are more connections than there may be without those that were told to go already.
    /// Guards against closing more than one for each that comes: those look for what has come before they end.
    fn free_capacity(&self) -> Result<(), Option<Instant>> {
        match self.connections.get() > self.most.get() + self.going.get() {
            true => self.evict(),
            false => Err(None),
        }
    }

    /// Close the connection that can best be done without, or tell when the first may be.
    fn evict(&self) -> Result<(), Option<Instant>> {
        let (now, mut soonest) = (Instant::now(), None::<Instant>);
        for (rank, standing) in Rank::ALL.into_iter().zip(self.idle.borrow_mut().iter_mut()) {
            let Some(due) = standing.first_key_value().map(|(key, _)| key.0 + rank.grace()) else { continue };
            // What has served is spared for the moment in which one that says nothing may be let go.
            let spared = rank == Rank::Served && soonest.is_some_and(|at| at <= now + ANNOUNCE_GRACE);
            if spared {
                break;
            }
            if due > now {
                soonest = Some(soonest.map_or(due, |s| s.min(due)));
            } else if let Some((_, close)) = standing.pop_first() {
                self.going.set(self.going.get() + 1);
                // One that is just ending by itself needs no telling.
                let _ = close.send(());
                return Ok(());
            }
        }
        Err(soonest)
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
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
    async fn linger(&self, connection: &mut Connection, frees_capacity: bool) {
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
        let _ = self.pool.scrap(connection);
    }

    /// Read and drop what still comes, until the client ends it.
    async fn read_out(&self, connection: &Connection) {
        loop {
            let _ = connection.get_ref().readable().await;
            match self.pool.scrap(connection) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Ok(n) if n > 0 => self.deadlines.after(SIP).await,
                _ => return,
            }
        }
    }

    /// Take a place among the connections that may have to go.
    fn stay_idle(&self, rank: Rank) -> (Place, oneshot::Receiver<()>) {
        let (close, closed) = oneshot::channel();
        (self.readiness(rank, close), closed)
    }

    fn readiness(&self, rank: Rank, close: oneshot::Sender<()>) -> Place {
        let number = self.idled.get();
        self.idled.set(number + 1);
        let key = (Instant::now(), number);
        self.idle.borrow_mut()[rank as usize].insert(key, close);
        // Guards against a full node that waits for an end although one can be evicted: a burst is
        // accepted before any of its connections has come to stand idle.
        self.changed.notify_one();
        (rank, key)
    }

    /// Stand idle no more, be it to go on or to end. One that was told to go and goes on makes no room: another
    /// may have to.
    fn rise(&self, place: Place) {
        if self.stir(place).is_none() {
            self.going.set(self.going.get() - 1);
            self.changed.notify_one();
        }
    }

    /// Give the place up, unless it was told to go.
    fn stir(&self, place: Place) -> Option<oneshot::Sender<()>> {
        self.idle.borrow_mut()[place.0 as usize].remove(&place.1)
    }

    /// Answer requests, one at a time, until the connection ends.
    async fn connection(&self, connection: &mut Connection, messages: &mut u64) -> CloseReason {
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
                            let notifies = mark.as_ref().and_then(|mark| mark.extra_field(&outcome));
                            let mut keeping = None;
                            if let Some(mark) = mark.as_ref() {
                                keeping = match &outcome {
                                    ResponseOutcome::Served(body) => mark.keeps(200, body),
                                    ResponseOutcome::Failed => mark.keeps(502, b"failed\n"),
                                    ResponseOutcome::Shed { .. } | ResponseOutcome::Rejected { .. } => None,
                                };
                            }
                            let rejection = mark.and_then(|mark| mark.over(&outcome));
                            if let Some(keeping) = keeping {
                                keeping.done(&self.deadlines, ticket.overdue()).await;
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
                turn().await;
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
    async fn early(&self, connection: &mut Connection, waits: bool) -> Option<Result<Incoming, ReadError>> {
        if !waits {
            return self.pool.next(connection).await;
        }
        loop {
            match self.pool.read_ahead(connection) {
                Ahead::Ended => return None,
                // An error shows again as that of the read.
                Ahead::Open => drop(connection.get_ref().readable().await),
                // Readable all the time: guards against a loop without end.
                Ahead::Full => self.deadlines.after(LOOK).await,
            }
        }
    }

    /// The next thing that comes, or why the connection ends without one.
    async fn next(
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
        let mut pressed = std::pin::pin!(self.reaches(|s| closing(s).map(|s| s.whole_by())));
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
                turn().await;
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
    async fn unwanted(&self, drains: bool) -> CloseReason {
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

    async fn write(&self, connection: &mut Connection, answer: Answer) -> Result<(), CloseReason> {
        tokio::select! {
            biased;
            sent = self.pool.send(connection, answer) => sent.map_err(|_| CloseReason::PeerBroke),
            () = self.deadlines.after(WRITE) => Err(CloseReason::TooSlow),
        }
    }

    /// What is to be done about a request.
    async fn reply(&self, connection: &mut Connection, request: Request) -> Reply {
        let path = request.target.split('?').next().unwrap_or("");
        if path == "/_health" {
            return Reply::Now(self.health(&request));
        }
        // The sockets get a turn first, as what is known of them may be older than what was read. From there on to the taking
        // nothing comes between. Guards against a reload after which the class that a job was read by stands for another one.
        turn().await;
        match self.job(request) {
            Ok((mut ask, job)) => {
                // Guards against sending on what nobody waits for: the end may have come along with the job.
                if self.pool.read_ahead(connection) == Ahead::Ended {
                    return Reply::Gone;
                }
                let mut mark = None;
                if let Some(sites) = &*self.sites.borrow() {
                    if let Some((status, body)) = sites.answered(ask.class, &job) {
                        let fields = String::new();
                        return Reply::Now(Answer::Full {
                            status,
                            fields,
                            body,
                            close: false,
                            head_only: false,
                        });
                    }
                    (ask.entry, mark) = sites.mark(ask.class, &job);
                    ask.guest = mark.as_ref().is_some_and(Mark::is_guest);
                }
                let ticket = self.exchange.take(ask, job);
                if let Some(mark) = &mut mark {
                    mark.asked(ticket.is_answered());
                }
                Reply::Later(ticket, mark)
            }
            Err(answer) => Reply::Now(answer),
        }
    }

    fn health(&self, request: &Request) -> Answer {
        let avoids = self.state.borrow().avoids();
        let (status, text) = avoids.map_or((200, "ok"), |why| (503, why));
        match request.method.as_str() {
            "GET" => Answer::text(status, text, false),
            "HEAD" => head_only(Answer::text(status, text, false)),
            _ => Answer::not_allowed("GET, HEAD", false),
        }
    }

    /// The job that a request hands in, or why it is none. That ends the connection, which guards
    /// against clients that send such requests by hundreds: each has one of them answered.
    fn job(&self, request: Request) -> Result<(Ask, Job), Answer> {
        let malformed = |reason: &str| Answer::text(400, reason, true);
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let name = path.strip_prefix('/').map(|p| p.split('/').next().unwrap_or(p));
        let class = name.and_then(|n| self.exchange.class(n));
        let Some(class) = class else { return Err(Answer::text(404, "no such class", true)) };
        if request.method != "POST" {
            return Err(Answer::not_allowed("POST", true));
        }
        let field = |name: &str| match request.fields.get(name) {
            Ok(value) => Ok(value.filter(|v| !v.is_empty())),
            Err(e) => Err(malformed(&e.to_string())),
        };
        let id = field("request-id")?.ok_or_else(|| malformed("no Request-Id"))?.to_string();
        let timeout = field("request-timeout")?.ok_or_else(|| malformed("no Request-Timeout"))?;
        let timeout = parse_timeout(timeout).ok_or_else(|| malformed("Request-Timeout is no time"))?;
        let most = self.state.borrow().stopping.and_then(|s| s.timeout(request.arrived));
        let timeout = most.map_or(timeout, |most| timeout.min(most));
        let tenant = field("tenant")?.map(str::to_string);
        let number = tenant.as_deref().and_then(|t| self.exchange.tenant(t));
        if self.exchange.has_tenants() && number.is_none() {
            return Err(malformed("Tenant names no tenant"));
        }
        let home_site = match &*self.sites.borrow() {
            Some(_) => field("home-site")?.map(str::to_string),
            None => None,
        };
        let repeat_key = field("idempotency-key")?.map(str::to_string);
        if repeat_key.is_none() && self.exchange.is_keyed(class) {
            return Err(malformed("no Idempotency-Key, which this class needs"));
        }
        // Guards against losing a request for a guess: one that makes no sense is none.
        let guess = field("work-hint")?;
        let hint = guess.and_then(work);
        if let (Some(text), None) = (guess, hint) {
            warn!("Work-Hint is no time in microseconds: '{text}'");
        }
        let slots = figure(field("request-info")?.unwrap_or(""), "slots").unwrap_or(1.0);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let key = pairs.filter(|(name, _)| *name == "obj").map(|(_, value)| value.to_string()).next();
        let ask = Ask {
            class,
            tenant: number,
            key,
            arrived: request.arrived,
            timeout,
            hint,
            slots: slots.clamp(1.0, 1e6) as u32,
            repeat: field("client-retry")? == Some("1"),
            entry: WorkState::New,
            guest: false,
        };
        let host = field("host")?.unwrap_or("").to_string();
        let id = Claim::on(id, &self.ids).ok_or_else(|| Answer::text(409, "Request-Id is in use", true))?;
        Ok((ask, Job { host, id, tenant, home_site, repeat_key, target: request.target, body: request.body }))
    }
}

/// The time that a client waits: a number with its unit.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: f64 = number.parse().ok().filter(|n: &f64| n.is_finite() && *n > 0.0)?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    // An hour is longer than anything that is waited for.
    Some(Duration::from_secs_f64(seconds.min(3600.0)))
}

/// A guess at the work of a job, in microseconds; `None` where it can't be one.
fn work(text: &str) -> Option<Micros> {
    // As long as the longest time that a client waits.
    let guess = text.parse().ok().filter(|n: &f64| *n > 0.0 && *n <= 3.6e9);
    guess.map(|n| n.max(1.0) as Micros)
}

/// One of the figures `name=value,name=value`.
fn figure(text: &str, name: &str) -> Option<f64> {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let found = pairs.filter(|(n, _)| n.trim() == name).find_map(|(_, value)| value.trim().parse().ok());
    found.filter(|n: &f64| n.is_finite())
}

fn head_only(mut answer: Answer) -> Answer {
    if let Answer::Full { head_only, .. } = &mut answer {
        *head_only = true;
    }
    answer
}

fn last_if(mut answer: Answer, last: bool) -> Answer {
    if let Answer::Full { close, .. } = &mut answer {
        *close |= last;
    }
    answer
}

/// The words of HTTP for a final answer; `tells` is one more field of it, with a time. Whoever says how long to stay away, it is what
/// the settings allow to advise.
fn answer_to(
    outcome: ResponseOutcome,
    rejection: Option<Rejection>,
    notifies: Option<(&str, Duration)>,
    advice: impl Fn(Duration) -> Option<Duration>,
) -> Answer {
    let mut answer = answer_text(outcome, rejection, advice(REJECTION_RETRY_AFTER));
    let notifies = notifies.and_then(|(name, time)| match name {
        "Retry-After" => Some((name, advice(time)?)),
        _ => Some((name, time)),
    });
    if let (Answer::Full { fields, .. }, Some((name, time))) = (&mut answer, notifies) {
        *fields += &format!("{name}: {:.3}\r\n", time.as_secs_f64());
    }
    answer
}

fn answer_text(outcome: ResponseOutcome, rejection: Option<Rejection>, again: Option<Duration>) -> Answer {
    match outcome {
        ResponseOutcome::Served(body) => {
            Answer::Full { status: 200, fields: String::new(), body, close: false, head_only: false }
        }
        ResponseOutcome::Shed { retry_after } => {
            let mut answer = Answer::text(503, "denied: trying again is harmless", false);
            if let (Answer::Full { fields, .. }, Some(t)) = (&mut answer, retry_after) {
                *fields = format!("Retry-After: {:.3}\r\n", t.as_secs_f64());
            }
            answer
        }
        ResponseOutcome::Rejected { .. } => {
            let unknown = || Rejection { status: 403, why: "not taken here".to_string(), retry: false };
            let rejection = rejection.unwrap_or_else(unknown);
            let mut answer = Answer::text(rejection.status, &rejection.why, false);
            if let Answer::Full { fields, .. } = &mut answer {
                *fields = format!("Refused-Because: {}\r\n", rejection.why);
                if let Some(again) = again.filter(|_| rejection.retry) {
                    *fields += &format!("Retry-After: {:.3}\r\n", again.as_secs_f64());
                }
            }
            answer
        }
        ResponseOutcome::Failed => Answer::text(502, "failed", false),
    }
}
