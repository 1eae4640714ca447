//! The operators' door: a second address, where operators ask whether the node takes clients and have
//! it emptied. It has bounds of its own, so that whatever the frontend is busy with it answers at once.

use super::close_reason::{CloseReason, Side};
use super::codec::{Answer, FrontendCodec, Incoming, ReadError, Request};
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
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::codec::Framed;
use tracing::{info, warn};

/// Callers that may be connected; one more and the one connected for longest goes. Guards against
/// callers that connect and finish no call, which must not keep another out.
pub const CALLERS: usize = 8;
/// How long a call may take to come, and its answer to be read. A caller waits a second.
const CALL: Duration = Duration::from_millis(1_000);
/// How long the caller may take to close after its answer.
const LINGER: Duration = Duration::from_millis(200);
/// The pause after a caller could not be accepted.
const PAUSE: Duration = Duration::from_millis(10);
/// What the bodies of all calls may hold, in bytes; they are of no use.
const BODIES: usize = 64 * 1024;

/// Where operators call.
#[derive(Debug)]
pub struct AdminServer {
    frontend: Rc<Frontend>,
    deadlines: Rc<Deadlines>,
    /// The node among sites, where there are any.
    sites: Option<Rc<Sites>>,
    pool: Rc<Pool>,
    /// What sends each caller away that has not finished its call, in the order they came.
    callers: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    came: Cell<u64>,
}

impl AdminServer {
    /// A door to the node with that frontend.
    pub fn new(frontend: Rc<Frontend>, deadlines: Rc<Deadlines>, sites: Option<Rc<Sites>>) -> Rc<Self> {
        Rc::new(AdminServer {
            frontend,
            deadlines,
            sites,
            // Its own: what clients hold of the node's buffers must not keep an operator out.
            pool: Rc::new(Pool::new(BODIES)),
            callers: RefCell::default(),
            came: Cell::new(0),
        })
    }

    /// Answer callers for as long as the node runs.
    pub async fn attend(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => self.receive(stream, peer),
                // As at the frontend: it passes, and must not spin or end us.
                Err(e) => {
                    warn!("accepting an operator: {e}");
                    self.deadlines.after(PAUSE).await;
                }
            }
        }
    }

    fn receive(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let number = self.came.get();
        self.came.set(number + 1);
        let (close, mut closed) = oneshot::channel();
        if self.callers.borrow().len() >= CALLERS {
            let oldest = self.callers.borrow_mut().pop_first();
            // One that has just ended by itself needs no telling.
            let _ = oldest.map(|(_, close)| close.send(()));
        }
        self.callers.borrow_mut().insert(number, close);
        let admin = self.clone();
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let codec = FrontendCodec::new(&admin.pool);
            let mut connection = admin.pool.framed::<Answer, _>(stream, codec);
            let close_reason = tokio::select! {
                biased;
                close_reason = admin.call(&mut connection) => close_reason,
                _ = &mut closed => CloseReason::Evicted,
                () = admin.deadlines.after(CALL) => CloseReason::TooSlow,
            };
            admin.callers.borrow_mut().remove(&number);
            admin.pool.release(connection);
            close_reason.log(Side::AdminServer, peer, u64::from(close_reason == CloseReason::LastMessage));
        });
    }

    /// Answer the one call of a connection.
    async fn call(&self, connection: &mut Framed<TcpStream, FrontendCodec>) -> CloseReason {
        let (answer, close_reason) = loop {
            match self.pool.next(connection).await {
                None => return CloseReason::PeerClosed,
                Some(Err(ReadError::Io(_))) => return CloseReason::PeerBroke,
                Some(Err(ReadError::Malformed { status, reason })) => {
                    break (Answer::text(status, reason, true), CloseReason::Malformed)
                }
                Some(Ok(Incoming::ExpectsContinue)) => {
                    if self.pool.send(connection, Answer::Continue).await.is_err() {
                        return CloseReason::PeerBroke;
                    }
                }
                Some(Ok(Incoming::Request(request))) => {
                    break (self.answer(&request), CloseReason::LastMessage)
                }
            }
        };
        if self.pool.send(connection, answer).await.is_err() {
            return CloseReason::PeerBroke;
        }
        // A socket closed over unread bytes is reset, which can cost the caller its answer.
        if connection.get_mut().shutdown().await.is_ok() {
            let rest = async {
                while connection.get_ref().readable().await.is_ok() {
                    match self.pool.scrap(connection) {
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Ok(n) if n > 0 => {}
                        _ => return,
                    }
                }
            };
            tokio::select! {
                () = rest => {}
                () = self.deadlines.after(LINGER) => {}
            }
        }
        close_reason
    }

    /// What may be served on the way back from a loss of power, where there is one.
    fn returns(&self) -> Option<(Admits, Option<&'static str>)> {
        self.sites.as_ref().and_then(|s| s.recovery_admission())
    }

    /// Whether the node takes clients.
    fn readiness(&self) -> Answer {
        match self.frontend.ready() {
            Ok(()) => match self.returns() {
                None | Some((Admits::All, _)) => Answer::text(200, "ready", true),
                Some((Admits::Repeatable, waits)) => {
                    let text = format!(
                        "ready for what may be repeated; the rest waits for {}",
                        waits.unwrap_or("nothing")
                    );
                    Answer::text(200, &text, true)
                }
                Some((Admits::Nothing, waits)) => {
                    Answer::text(503, &format!("recovering: waits for {}", waits.unwrap_or("nothing")), true)
                }
            },
            Err(why) => Answer::text(503, why, true),
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        let path = request.target.split('?').next().unwrap_or("");
        let method = match path {
            "/ops/readiness" => "GET",
            "/ops/sites" if self.sites.is_some() => "GET",
            "/ops/audit" if self.sites.as_ref().is_some_and(|s| s.audit_recorder().is_some()) => "GET",
            "/ops/recovery" if self.returns().is_some() => "GET",
            "/ops/recovery/release" if self.returns().is_some() => "POST",
            "/ops/drain/start" | "/ops/drain/stop" => "POST",
            _ => return Answer::text(404, "no such call", true),
        };
        if request.method != method {
            return Answer::not_allowed(method, true);
        }
        match path {
            "/ops/readiness" => self.readiness(),
            "/ops/sites" => {
                let state = self.sites.as_ref().map(|s| s.status()).unwrap_or_default();
                Answer::text(200, &state, true)
            }
            "/ops/audit" => {
                let state = self.sites.as_ref().and_then(|s| s.audit_status()).unwrap_or_default();
                Answer::text(200, &state, true)
            }
            "/ops/recovery" => {
                let state = self.sites.as_ref().and_then(|s| s.recovery_status()).unwrap_or_default();
                Answer::text(200, &state, true)
            }
            "/ops/recovery/release" => match self.sites.as_ref().map(|s| s.release()) {
                Some(Ok(text)) => Answer::text(200, &text, true),
                Some(Err(why)) => Answer::text(409, &why, true),
                None => Answer::text(404, "no such call", true),
            },
            _ => {
                let drain = path == "/ops/drain/start";
                info!("an operator asks: {}", if drain { "drain" } else { "take clients" });
                match self.frontend.drain(drain) {
                    Ok(()) if drain => Answer::text(200, "draining", true),
                    Ok(()) => Answer::text(200, "taking clients", true),
                    Err(why) => Answer::text(409, why, true),
                }
            }
        }
    }
}
