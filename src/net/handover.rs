//! Hot restart: the serving process passes its listening socket to its successor over a Unix socket. While both run they are one
//! node and share its limits.

use super::close_reason::{CloseReason, Side};
use super::deadlines::Deadlines;
use super::frontend::{Frontend, PeerUpdates, RequestIds};
use bytes::BytesMut;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio_util::codec::{Framed, LinesCodec, LinesCodecError};
use tracing::{info, warn};

/// Longest wait for the serving process to pass its listening socket. Its successor then considers it dead and binds the address
/// itself.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a successor could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest line between the two processes, in bytes. A line holds a request id, which fits into a message head.
const MAX_LINE_BYTES: usize = 9 * 1024;

/// What a process inherits from its predecessor: the socket at which clients connect, and the link to the predecessor.
pub type InheritedSockets = (std::net::TcpListener, std::os::unix::net::UnixStream);

/// The connection between the two processes. Each line is a message.
type Link = Framed<UnixStream, LinesCodec>;

/// Logs why the connection to the other process has failed.
fn link_failed(error: &LinesCodecError) -> CloseReason {
    warn!("the connection to the other process failed: {error}");
    CloseReason::PeerBroke
}

/// Returns the path of the Unix socket at which the process that serves `listen` awaits its successor; `None` without handover or
/// if each process chooses its own port.
fn socket_path(listen: SocketAddr, mode: HandoverMode) -> Option<PathBuf> {
    let enabled = mode == HandoverMode::On && listen.port() != 0;
    enabled.then(|| std::env::temp_dir().join(format!("shorepath-{listen}.sock")))
}

/// Whether processes at one address pass the listening socket on, by a Unix socket in `TMPDIR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverMode {
    /// A new process takes the socket of the serving process and passes it on to the next.
    On,
    /// No Unix socket is used, for systems that forbid them. A new process at an address in use fails to listen.
    Off,
}

/// The result of looking for a process that serves an address.
#[derive(Debug)]
pub enum PreviousProcess {
    /// A process that has passed its listening socket on.
    Serving(InheritedSockets),
    /// A process that has ended and left its Unix socket; the address may not be free yet.
    Ended,
    /// No process, or one that passes nothing on.
    Absent,
}

/// Takes the listening socket of the process that serves the address, if there is one.
pub fn inherit(listen: SocketAddr, mode: HandoverMode) -> PreviousProcess {
    let Some(path) = socket_path(listen, mode) else { return PreviousProcess::Absent };
    let link = match std::os::unix::net::UnixStream::connect(path) {
        Ok(link) => link,
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return PreviousProcess::Ended,
        Err(_) => return PreviousProcess::Absent,
    };
    match receive_listener(&link, listen) {
        Ok(listener) => PreviousProcess::Serving((listener, link)),
        Err(e) => {
            warn!("the serving process hands nothing over: {e}; binding the address instead");
            match e.kind() {
                io::ErrorKind::ConnectionReset | io::ErrorKind::UnexpectedEof => PreviousProcess::Ended,
                _ => PreviousProcess::Absent,
            }
        }
    }
}

fn receive_listener(
    link: &std::os::unix::net::UnixStream,
    listen: SocketAddr,
) -> io::Result<std::net::TcpListener> {
    link.set_read_timeout(Some(TIMEOUT))?;
    let (mut space, mut byte) = ([MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))], [0]);
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    // Guards against a signal during the call: a read with a timeout is not restarted by the system.
    retry_on_intr(|| {
        recvmsg(link, &mut [IoSliceMut::new(&mut byte)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)
    })?;
    let descriptors = ancillary.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let descriptor: Option<OwnedFd> = descriptors.flatten().next();
    let listener = std::net::TcpListener::from(descriptor.ok_or(io::ErrorKind::UnexpectedEof)?);
    // Guards against serving at another address than the configured one.
    if listener.local_addr()? != listen {
        return Err(io::Error::other("the inherited socket listens at another address"));
    }
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Binds the Unix socket for the next process, in place of one that an ended process has left.
fn publish(path: &Path) -> io::Result<UnixListener> {
    // Binds under a temporary name, so that no process connects before the permissions are set.
    let temporary_path = path.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&temporary_path);
    let listener = UnixListener::bind(&temporary_path)?;
    std::fs::set_permissions(&temporary_path, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&temporary_path, path)?;
    Ok(listener)
}

async fn send_listener(link: &UnixStream, listener: Option<Rc<TcpListener>>) -> io::Result<()> {
    let listener = listener.ok_or_else(|| io::Error::other("this process no longer accepts clients"))?;
    let descriptors = [listener.as_fd()];
    loop {
        link.writable().await?;
        let sent = link.try_io(tokio::io::Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut ancillary = SendAncillaryBuffer::new(&mut space);
            ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
            Ok(sendmsg(link, &[IoSlice::new(b"L")], &mut ancillary, SendFlags::empty())?)
        });
        match sent {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            other => return other.map(drop),
        }
    }
}

/// Handover between the processes that serve at one address in turn.
#[derive(Debug)]
pub struct Handover<S> {
    frontend: Rc<Frontend>,
    deadlines: Rc<Deadlines>,
    socket_path: Option<PathBuf>,
    /// Weak, so that the frontend alone keeps the listener open: another owner would let clients wait at a node that has stopped.
    listener: Weak<TcpListener>,
    /// Called with the number of processes that run as this node, whenever it changes.
    set_process_count: S,
}

impl<S: Fn(u32)> Handover<S> {
    /// Creates the handover of a process that serves clients at the address through `listener`.
    pub fn new(
        frontend: Rc<Frontend>,
        deadlines: Rc<Deadlines>,
        (listen, mode): (SocketAddr, HandoverMode),
        listener: Weak<TcpListener>,
        set_process_count: S,
    ) -> Self {
        Handover { frontend, deadlines, socket_path: socket_path(listen, mode), listener, set_process_count }
    }

    /// Takes over from the predecessor behind the link `before`, if there is one, and then passes the socket on to successors,
    /// for as long as this process runs.
    pub async fn run(self, before: Option<std::os::unix::net::UnixStream>) {
        if let Some(link) = before {
            self.take_over(link).await;
        }
        loop {
            let found = self.socket_path.as_deref().map(publish);
            match found {
                Some(Ok(listener)) => self.hand_over(listener).await,
                Some(Err(e)) => {
                    warn!("no other process can take over from this one: {e}");
                    return std::future::pending().await;
                }
                None => return std::future::pending().await,
            }
        }
    }

    /// Takes over from the predecessor and serves beside it until it has ended.
    async fn take_over(&self, link: std::os::unix::net::UnixStream) {
        (self.set_process_count)(2);
        info!("taking over from the process that serves at this address");
        let link = link.set_nonblocking(true).and_then(|()| UnixStream::from_std(link));
        match link {
            Ok(link) => self.serve_beside(link, true).await,
            Err(e) => warn!("the connection to the previous process can't be used: {e}"),
        }
        info!("this process is the only one of the node");
        (self.set_process_count)(1);
    }

    /// Passes the socket to the next process that connects, and serves beside it until it has ended.
    async fn hand_over(&self, listener: UnixListener) {
        let link = match listener.accept().await {
            Ok((link, _)) => link,
            Err(e) => {
                warn!("the next process could not be accepted: {e}");
                return self.deadlines.after(ACCEPT_RETRY_DELAY).await;
            }
        };
        (self.set_process_count)(2);
        info!("another process is going to take over");
        match send_listener(&link, self.listener.upgrade()).await {
            Ok(()) => self.serve_beside(link, false).await,
            Err(e) => warn!("the listening socket could not be passed to the next process: {e}"),
        }
        // Guards against a node without a process that accepts clients: the successor has ended first.
        info!("the next process has ended: this one takes clients");
        self.frontend.set_replaced(false);
        (self.set_process_count)(1);
    }

    /// Exchanges the request ids in use with the other process until it ends.
    async fn serve_beside(&self, link: UnixStream, is_successor: bool) {
        let mut link = Framed::new(link, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        // The default buffers are larger than the lines of this protocol.
        (*link.read_buffer_mut(), *link.write_buffer_mut()) = (BytesMut::new(), BytesMut::new());
        let ids = self.frontend.request_ids();
        let updates = RequestIds::connect_peer(ids, is_successor);
        let (sink, stream) = link.split();
        let received = Cell::new(0);
        // Both at once: two processes that only write would wait for each other.
        let close_reason = tokio::select! {
            biased;
            close_reason = self.receive_all(stream, ids, &received) => close_reason,
            close_reason = self.send_all(sink, ids, &updates, is_successor) => close_reason,
        };
        RequestIds::disconnect_peer(ids);
        let path = self.socket_path.as_deref().unwrap_or(Path::new("-"));
        close_reason.log(Side::Handover, path.display(), received.get());
    }

    /// Handles the other process's messages, and counts them, until the connection ends.
    async fn receive_all(
        &self,
        mut stream: SplitStream<Link>,
        ids: &RefCell<RequestIds>,
        received: &Cell<u64>,
    ) -> CloseReason {
        loop {
            match stream.next().await {
                Some(Ok(message)) => {
                    received.set(received.get() + 1);
                    self.receive(ids, &message);
                }
                Some(Err(e)) => return link_failed(&e),
                None => return CloseReason::PeerClosed,
            }
        }
    }

    /// Sends the ids of this process, and when a successor serves and stops, until the connection fails.
    async fn send_all(
        &self,
        mut sink: SplitSink<Link, String>,
        ids: &RefCell<RequestIds>,
        updates: &PeerUpdates,
        is_successor: bool,
    ) -> CloseReason {
        let (mut announce_serving, mut announce_leaving) = (is_successor, is_successor);
        loop {
            let lines = ids.borrow().next_updates(updates);
            let message = match lines {
                Some(lines) => lines,
                None => tokio::select! {
                    () = updates.changed() => continue,
                    () = self.frontend.wait_until_ready(), if announce_serving => {
                        announce_serving = false;
                        "serving".to_string()
                    }
                    () = self.frontend.wait_until_stopping(), if announce_leaving => {
                        announce_leaving = false;
                        "leaving".to_string()
                    }
                },
            };
            if let Err(e) = sink.send(message).await {
                return link_failed(&e);
            }
        }
    }

    fn receive(&self, ids: &RefCell<RequestIds>, message: &str) {
        match message {
            "serving" => {
                info!("the next process takes clients: this one serves what it has");
                self.frontend.set_replaced(true);
            }
            // Guards against a node without a process that accepts clients while the successor stops.
            "leaving" => {
                info!("the next process is stopping: this one takes clients");
                self.frontend.set_replaced(false);
            }
            _ if ids.borrow_mut().receive(message) => {}
            _ => warn!("the other process sent an unknown message"),
        }
    }
}
