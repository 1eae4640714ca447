//! Accepts connections from clients, also at the connection limit.

use super::{Frontend, ShutdownStage};
use crate::net::{poll_sockets, LISTEN_BACKLOG};
use futures_util::FutureExt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tracing::warn;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// At the connection limit, how long connections wait in the backlog before they are accepted in the place of others. A request that
/// waits there has to be answered within half a second after its timeout, and the node can't know how long it has waited.
const MAX_BACKLOG_TIME: Duration = Duration::from_millis(250);
/// Most connections beyond the limit, those that are being evicted included.
const MAX_EXCESS: usize = 4;

/// What is known of the connections that wait in the listener's backlog.
#[derive(Debug, Default)]
struct Backlog {
    /// Since when connections may have waited there; `None` if it was last found empty.
    waiting_since: Option<Instant>,
    /// How many were accepted at the connection limit since then.
    accepted: u32,
}

impl Backlog {
    /// Waits for the next connection.
    async fn accept(&mut self, listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
        poll_fn(|context| {
            let accepted = listener.poll_accept(context);
            match accepted {
                Poll::Pending => self.waiting_since = None,
                Poll::Ready(_) => self.waiting_since = self.waiting_since.or_else(|| Some(Instant::now())),
            }
            accepted
        })
        .await
    }

    /// Returns when the connections that wait are overdue.
    fn due(&mut self, now: Instant) -> Instant {
        *self.waiting_since.get_or_insert(now) + MAX_BACKLOG_TIME
    }

    /// Starts to measure the waiting time again.
    fn restart(&mut self, now: Instant) {
        *self = Backlog { waiting_since: Some(now), accepted: 0 };
    }
}

/// The result of an attempt to accept a connection at the connection limit.
enum Overdue {
    Accepted,
    /// No connection is overdue before `due`.
    None {
        due: Instant,
    },
    /// One may be overdue, and can be accepted once another one is closed.
    NoPlace,
}

impl Frontend {
    /// Accepts connections until they are refused. At the connection limit, those in the backlog are accepted until connections
    /// are closed.
    pub async fn accept(self: Rc<Self>, listener: Rc<TcpListener>) {
        let (mut state, mut replaced) = (self.state.subscribe(), self.state.subscribe());
        self.state.send_modify(|s| s.is_accepting = true);
        let (mut was_rechecked, mut backlog) = (false, Backlog::default());
        loop {
            // One connection above the limit shows that another has to be evicted. Only a closed connection makes the count fall:
            // one that was chosen for eviction may have started a request.
            let is_full = self.open_connections.get() > self.max_connections.get();
            let is_replaced = self.state.borrow().is_replaced;
            // Guards connections in the backlog of a full node: closing the listener would reset them with the requests that they
            // have sent. If another process has the socket, it accepts them.
            let end_stage =
                if is_full && !is_replaced { ShutdownStage::Closing } else { ShutdownStage::Refusing };
            let mut retry_at = None;
            if is_full {
                // Lets new connections become candidates for eviction, which precede those of active clients.
                tokio::task::yield_now().await;
                retry_at = self.evict_excess().err().flatten();
            }
            if is_full && !is_replaced {
                match self.accept_overdue(&listener, &mut backlog) {
                    Overdue::Accepted => continue,
                    Overdue::None { due } => retry_at = retry_at.into_iter().chain([due]).min(),
                    Overdue::NoPlace => {}
                }
            }
            let retry = async {
                match retry_at {
                    Some(at) => self.deadlines.at(at).await,
                    None => std::future::pending().await,
                }
            };
            let accepted = tokio::select! {
                biased;
                // Accepts the whole backlog before the listener closes, as its requests may have arrived.
                accepted = backlog.accept(&listener), if !is_full && !is_replaced => accepted,
                () = self.connection_changed.notified(), if is_full => continue,
                () = retry => continue,
                _ = replaced.wait_for(|s| s.is_replaced != is_replaced) => continue,
                _ = state.wait_for(|s| s.stage >= end_stage) => {
                    // Guards against refusing connections that arrived before the stage changed: after a suspension of the process, the
                    // shutdown's timer may be handled before the listener.
                    if is_full || is_replaced || std::mem::replace(&mut was_rechecked, true) {
                        return;
                    }
                    poll_sockets().await;
                    continue;
                }
            };
            was_rechecked = false;
            match accepted {
                Ok((stream, peer)) => self.serve(stream, peer),
                // Guards against running out of file descriptors, which is temporary: the loop must neither spin nor end.
                Err(e) => {
                    warn!("could not accept a connection: {e}");
                    if self.state.borrow().stage == ShutdownStage::Closing {
                        return;
                    }
                    let _ = self.evict();
                    self.deadlines.after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// At the connection limit, accepts a connection that may have waited too long, in the place of the newest one of which only a part
    /// of a request has come. Guards against requests that wait unread behind a crowd of clients that stop half way, until their time is
    /// over: an accepted connection with a whole request is served, and another one is shut when the next one is accepted.
    fn accept_overdue(self: &Rc<Self>, listener: &TcpListener, backlog: &mut Backlog) -> Overdue {
        let now = Instant::now();
        let due = backlog.due(now);
        if now < due {
            return Overdue::None { due };
        }
        let open = self.open_connections.get();
        if open > self.max_connections.get() + self.evicting.get() + 1 {
            self.evict_newest_partial();
        }
        if open >= self.max_connections.get() + MAX_EXCESS {
            return Overdue::NoPlace;
        }
        let accepted = listener.accept().now_or_never();
        backlog.accepted += 1;
        if accepted.is_none() || backlog.accepted >= LISTEN_BACKLOG {
            backlog.restart(now);
        }
        match accepted {
            Some(Ok((stream, peer))) => {
                self.serve(stream, peer);
                Overdue::Accepted
            }
            Some(Err(e)) => {
                warn!("could not accept a connection: {e}");
                Overdue::None { due: now + ACCEPT_RETRY_DELAY }
            }
            None => Overdue::None { due: backlog.due(now) },
        }
    }
}
