//! The frontend: connections from clients, and what they ask for. Jobs go to the exchange; all else
//! is answered here.

mod connection;
mod eviction;
mod ids;
mod request;

use super::deadlines::Deadlines;
use super::exchange::Exchange;
use super::pool::Pool;
use super::sites::Sites;
use super::stopping::Stopping;
use super::{poll_sockets, Job};
use eviction::Standing;
pub use ids::{Claim, Ids};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tracing::warn;

/// The pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(10);

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
        self.state.send_modify(|s| s.stopping = s.stopping.map(|s| s.shortened(longest)));
    }

    /// Ready when connections close, as the node is stopping.
    pub async fn closes(&self) {
        self.reaches(|s| s.stopping.map(|s| s.close_at())).await;
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
                    poll_sockets().await;
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
}
