//! The admin server: a second address, at which operators check the node's readiness and status and drain it. It has limits of its
//! own, so that it responds at once even if the frontend is overloaded.

use super::close_reason::{CloseReason, Side};
use super::codec::{Answer, FrontendCodec, Incoming, ReadError, Request};
use super::connection::{Connection, Peer};
use super::deadlines::Deadlines;
use super::frontend::Frontend;
use super::pool::Pool;
use super::sites::Sites;
use shorepath_recovery::phases::Admits;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tracing::{info, warn};

/// Maximum number of connections. A further one closes the oldest, so that callers without a complete request can't
/// keep others out.
pub const MAX_CONNECTIONS: usize = 8;
/// Timeout for receiving a request and sending the response. Probes of orchestrators wait a second.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the peer may take to close the connection after the response.
const LINGER: Duration = Duration::from_millis(200);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Memory for the requests and responses of all connections, in bytes.
const MEMORY_BYTES: usize = 256 * 1024;

/// Serves the operators' requests, one per connection.
#[derive(Debug)]
pub struct AdminServer {
    frontend: Rc<Frontend>,
    deadlines: Rc<Deadlines>,
    /// `None` without sites.
    sites: Option<Rc<Sites>>,
    pool: Rc<Pool>,
    /// Closes each open connection, by its number in the order of acceptance.
    open: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    next_number: Cell<u64>,
}

impl AdminServer {
    /// Creates the admin server of the node with that frontend; `sites` is `None` without sites.
    pub fn new(frontend: Rc<Frontend>, deadlines: Rc<Deadlines>, sites: Option<Rc<Sites>>) -> Rc<Self> {
        Rc::new(AdminServer {
            frontend,
            deadlines,
            sites,
            // A separate pool: message bodies of clients must not use up the memory for an operator's request.
            pool: Rc::new(Pool::new(MEMORY_BYTES)),
            open: RefCell::default(),
            next_number: Cell::new(0),
        })
    }

    /// Accepts connections for as long as the node runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => self.open_connection(stream, peer),
                // Most such errors are temporary, as a lack of descriptors is; the delay keeps the loop from spinning.
                Err(e) => {
                    warn!("accepting an operator's connection failed: {e}");
                    self.deadlines.after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn open_connection(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (close, mut closed) = oneshot::channel();
        if self.open.borrow().len() >= MAX_CONNECTIONS {
            let oldest = self.open.borrow_mut().pop_first();
            // The send fails if the connection has just ended by itself.
            let _ = oldest.map(|(_, close)| close.send(()));
        }
        self.open.borrow_mut().insert(number, close);
        let admin = self.clone();
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let codec = FrontendCodec::new(&admin.pool);
            let mut connection = Connection::new::<Answer>(stream, codec, Peer::Client, &admin.pool);
            let close_reason = tokio::select! {
                biased;
                close_reason = admin.handle_request(&mut connection) => close_reason,
                _ = &mut closed => CloseReason::Evicted,
                () = admin.deadlines.after(REQUEST_TIMEOUT) => CloseReason::TooSlow,
            };
            admin.open.borrow_mut().remove(&number);
            drop(connection);
            close_reason.log(Side::AdminServer, peer, u64::from(close_reason == CloseReason::LastMessage));
        });
    }

    /// Responds to the one request of a connection and returns why the connection has to be closed.
    async fn handle_request(&self, connection: &mut Connection<FrontendCodec>) -> CloseReason {
        let (response, close_reason) = loop {
            match connection.next().await {
                None => return CloseReason::PeerClosed,
                Some(Err(ReadError::Io(_))) => return CloseReason::PeerBroke,
                Some(Err(ReadError::Malformed { status, reason })) => {
                    break (Answer::text(status, reason, true), CloseReason::Malformed)
                }
                Some(Ok(Incoming::ExpectsContinue)) => {
                    if connection.send(Answer::Continue).await.is_err() {
                        return CloseReason::PeerBroke;
                    }
                }
                Some(Ok(Incoming::Request(request))) => {
                    break (self.respond(&request), CloseReason::LastMessage)
                }
            }
        };
        if connection.send(response).await.is_err() {
            return CloseReason::PeerBroke;
        }
        // Closing a socket with unread data resets the connection, and the response might be lost.
        if connection.shut_down().await.is_ok() {
            let discard_rest = async {
                loop {
                    connection.readable().await;
                    match connection.discard() {
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Ok(n) if n > 0 => {}
                        _ => return,
                    }
                }
            };
            tokio::select! {
                () = discard_rest => {}
                () = self.deadlines.after(LINGER) => {}
            }
        }
        close_reason
    }

    /// Returns which requests are admitted during recovery and what the recovery waits for; `None` without recovery.
    fn recovery_admission(&self) -> Option<(Admits, Option<&'static str>)> {
        self.sites.as_ref().and_then(|s| s.recovery_admission())
    }

    fn readiness(&self) -> Answer {
        match self.frontend.ready() {
            Ok(()) => match self.recovery_admission() {
                None | Some((Admits::All, _)) => Answer::text(200, "ready", true),
                Some((Admits::Repeatable, waits_for)) => {
                    let text = format!(
                        "ready for what may be repeated; the rest waits for {}",
                        waits_for.unwrap_or("nothing")
                    );
                    Answer::text(200, &text, true)
                }
                Some((Admits::Nothing, waits_for)) => Answer::text(
                    503,
                    &format!("recovering: waits for {}", waits_for.unwrap_or("nothing")),
                    true,
                ),
            },
            Err(reason) => Answer::text(503, reason, true),
        }
    }

    fn respond(&self, request: &Request) -> Answer {
        let path = request.target.split('?').next().unwrap_or("");
        let method = match path {
            "/ops/readiness" => "GET",
            "/ops/sites" if self.sites.is_some() => "GET",
            "/ops/audit" if self.sites.as_ref().is_some_and(|s| s.audit_recorder().is_some()) => "GET",
            "/ops/recovery" if self.recovery_admission().is_some() => "GET",
            "/ops/recovery/release" if self.recovery_admission().is_some() => "POST",
            "/ops/drain/start" | "/ops/drain/stop" => "POST",
            _ => return Answer::text(404, "no such call", true),
        };
        if request.method != method {
            return Answer::not_allowed(method, true);
        }
        match path {
            "/ops/readiness" => self.readiness(),
            "/ops/sites" => {
                let status = self.sites.as_ref().map(|s| s.status()).unwrap_or_default();
                Answer::text(200, &status, true)
            }
            "/ops/audit" => {
                let status = self.sites.as_ref().and_then(|s| s.audit_status()).unwrap_or_default();
                Answer::text(200, &status, true)
            }
            "/ops/recovery" => {
                let status = self.sites.as_ref().and_then(|s| s.recovery_status()).unwrap_or_default();
                Answer::text(200, &status, true)
            }
            "/ops/recovery/release" => match self.sites.as_ref().map(|s| s.release_recovery_phase()) {
                Some(Ok(text)) => Answer::text(200, &text, true),
                Some(Err(reason)) => Answer::text(409, &reason, true),
                None => Answer::text(404, "no such call", true),
            },
            _ => {
                let drain = path == "/ops/drain/start";
                info!("an operator requests: {}", if drain { "start the drain" } else { "stop the drain" });
                match self.frontend.drain(drain) {
                    Ok(()) if drain => Answer::text(200, "draining", true),
                    Ok(()) => Answer::text(200, "taking clients", true),
                    Err(reason) => Answer::text(409, reason, true),
                }
            }
        }
    }
}
