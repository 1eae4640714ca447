//! Replacing the process: the serving process hands its listening socket to the next one over a Unix
//! socket, and for as long as both live they are one node, which shares what it may hold.

use super::close_reason::{CloseReason, Side};
use super::deadlines::Deadlines;
use super::frontend::{Frontend, Ids};
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio_util::codec::{Framed, LinesCodec};
use tracing::{info, warn};

/// How long the serving process may take to hand its listening socket over, before the next one takes
/// it for dead and binds the address itself.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a process could not be accepted.
const PAUSE: Duration = Duration::from_millis(100);
/// A word between the two holds this much at most: an id, which a head has to hold.
const MAX_LINE_BYTES: usize = 9 * 1024;

/// What a process is handed by the one that it follows: the socket at which clients connect, and the
/// link to that process.
pub type InheritedSockets = (std::net::TcpListener, std::os::unix::net::UnixStream);

/// Where the process that serves clients at that address is to be found by the next one; `None` if
/// every process has an address of its own.
fn meeting_place(listen: SocketAddr, handing: HandoverMode) -> Option<PathBuf> {
    let on = handing == HandoverMode::On && listen.port() != 0;
    on.then(|| std::env::temp_dir().join(format!("shorepath-{listen}.sock")))
}

/// Whether processes at one address hand the listening socket on to each other, by a Unix socket
/// in `TMPDIR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverMode {
    /// A new process takes the socket of the one that serves, and hands it to the next.
    On,
    /// No Unix socket at all: where those are refused or nobody comes to them; a new process at a
    /// busy address fails to listen.
    Off,
}

/// Who serves at an address.
#[derive(Debug)]
pub enum PreviousProcess {
    /// A process that has handed its listening socket over.
    Serving(InheritedSockets),
    /// A process that has just ended, or ended long ago and left its name: the address may not be free yet.
    Ended,
    /// Nobody, or a process that hands nothing over.
    Absent,
}

/// Be handed the listening socket, if there is a process that serves at that address.
pub fn inherit(listen: SocketAddr, handing: HandoverMode) -> PreviousProcess {
    let Some(place) = meeting_place(listen, handing) else { return PreviousProcess::Absent };
    let link = match std::os::unix::net::UnixStream::connect(place) {
        Ok(link) => link,
        Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return PreviousProcess::Ended,
        Err(_) => return PreviousProcess::Absent,
    };
    match receive(&link, listen) {
        Ok(listener) => PreviousProcess::Serving((listener, link)),
        Err(e) => {
            warn!("the serving process hands nothing over: {e}");
            match e.kind() {
                io::ErrorKind::ConnectionReset | io::ErrorKind::UnexpectedEof => PreviousProcess::Ended,
                _ => PreviousProcess::Absent,
            }
        }
    }
}

fn receive(link: &std::os::unix::net::UnixStream, listen: SocketAddr) -> io::Result<std::net::TcpListener> {
    link.set_read_timeout(Some(TIMEOUT))?;
    let (mut space, mut byte) = ([MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))], [0]);
    let mut handed = RecvAncillaryBuffer::new(&mut space);
    // Guards against a signal that comes meanwhile: a wait with a limit is not taken up again by itself.
    retry_on_intr(|| recvmsg(link, &mut [IoSliceMut::new(&mut byte)], &mut handed, RecvFlags::CMSG_CLOEXEC))?;
    let descriptors = handed.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    let descriptor: Option<OwnedFd> = descriptors.flatten().next();
    let listener = std::net::TcpListener::from(descriptor.ok_or(io::ErrorKind::UnexpectedEof)?);
    // Guards against serving at another address than the one asked for.
    if listener.local_addr()? != listen {
        return Err(io::Error::other("it listens elsewhere"));
    }
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Be found by the next process, whoever was before: a name left by a process that has ended is taken.
fn publish(place: &Path) -> io::Result<UnixListener> {
    // Nobody may find it before it is closed to others.
    let draft = place.with_extension(std::process::id().to_string());
    let _ = std::fs::remove_file(&draft);
    let listener = UnixListener::bind(&draft)?;
    std::fs::set_permissions(&draft, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&draft, place)?;
    Ok(listener)
}

async fn hand(link: &UnixStream, listener: Option<Rc<TcpListener>>) -> io::Result<()> {
    let listener = listener.ok_or_else(|| io::Error::other("it no longer accepts"))?;
    let descriptors = [listener.as_fd()];
    loop {
        link.writable().await?;
        let sent = link.try_io(tokio::io::Interest::WRITABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut handing = SendAncillaryBuffer::new(&mut space);
            handing.push(SendAncillaryMessage::ScmRights(&descriptors));
            Ok(sendmsg(link, &[IoSlice::new(b"L")], &mut handing, SendFlags::empty())?)
        });
        match sent {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            other => return other.map(drop),
        }
    }
}

/// This process among those that serve at one address in turn.
#[derive(Debug)]
pub struct Handover<S> {
    frontend: Rc<Frontend>,
    deadlines: Rc<Deadlines>,
    place: Option<PathBuf>,
    /// Open for as long as the frontend accepts: another holder would keep clients waiting at a node
    /// that has stopped.
    listener: Weak<TcpListener>,
    /// Told how many processes are this node, whenever that changes.
    share: S,
}

impl<S: Fn(u32)> Handover<S> {
    /// For a process that serves clients at that address, by that socket.
    pub fn new(
        frontend: Rc<Frontend>,
        deadlines: Rc<Deadlines>,
        (listen, handing): (SocketAddr, HandoverMode),
        listener: Weak<TcpListener>,
        share: S,
    ) -> Self {
        Handover { frontend, deadlines, place: meeting_place(listen, handing), listener, share }
    }

    /// Follow the process that has handed its socket over, if one has, and then hand it to the next,
    /// for as long as this one runs.
    pub async fn run(self, before: Option<std::os::unix::net::UnixStream>) {
        if let Some(link) = before {
            self.succeed(link).await;
        }
        loop {
            let found = self.place.as_deref().map(publish);
            match found {
                Some(Ok(listener)) => self.precede(listener).await,
                Some(Err(e)) => {
                    warn!("no other process can take over from this one: {e}");
                    return std::future::pending().await;
                }
                None => return std::future::pending().await,
            }
        }
    }

    /// Follow the process before this one until it has ended.
    async fn succeed(&self, link: std::os::unix::net::UnixStream) {
        (self.share)(2);
        info!("taking over from the process that serves at this address");
        let link = link.set_nonblocking(true).and_then(|()| UnixStream::from_std(link));
        match link {
            Ok(link) => self.live_beside(link, true).await,
            Err(e) => warn!("the process before this one can't be heard: {e}"),
        }
        info!("this process is the whole node");
        (self.share)(1);
    }

    /// Hand the socket to whoever comes, and serve by its side until it has ended.
    async fn precede(&self, listener: UnixListener) {
        let link = match listener.accept().await {
            Ok((link, _)) => link,
            Err(e) => {
                warn!("the next process could not be accepted: {e}");
                return self.deadlines.after(PAUSE).await;
            }
        };
        (self.share)(2);
        info!("another process is going to take over");
        match hand(&link, self.listener.upgrade()).await {
            Ok(()) => self.live_beside(link, false).await,
            Err(e) => warn!("the next process was handed nothing: {e}"),
        }
        // Guards against a node without a process that accepts: the next one has ended first.
        info!("the next process has ended: this one takes clients");
        self.frontend.hand_over(false);
        (self.share)(1);
    }

    /// Tell the other process which ids are in use, and hear the same, until its end.
    async fn live_beside(&self, link: UnixStream, follows: bool) {
        let mut link = Framed::new(link, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        // Those that it comes with are larger than what passes.
        (*link.read_buffer_mut(), *link.write_buffer_mut()) = (BytesMut::new(), BytesMut::new());
        let ids = self.frontend.ids();
        let mut messages = Ids::share(ids);
        let (mut outgoing_messages, mut leaves, mut received) = (follows, follows, 0);
        let close_reason = loop {
            let sent = tokio::select! {
                message = link.next() => match message {
                    Some(Ok(message)) => {
                        received += 1;
                        self.receive(ids, &message);
                        Ok(())
                    }
                    Some(Err(e)) => Err(e),
                    None => break CloseReason::PeerClosed,
                },
                Some(message) = messages.recv() => link.send(message).await,
                () = self.frontend.serving(), if outgoing_messages => {
                    outgoing_messages = false;
                    link.send("serving".to_string()).await
                }
                () = self.frontend.leaving(), if leaves => {
                    leaves = false;
                    link.send("leaving".to_string()).await
                }
            };
            if let Err(e) = sent {
                warn!("the other process can't be heard: {e}");
                break CloseReason::PeerBroke;
            }
        };
        Ids::part(ids);
        let place = self.place.as_deref().unwrap_or(Path::new("-"));
        close_reason.log(Side::Handover, place.display(), received);
    }

    fn receive(&self, ids: &std::cell::RefCell<Ids>, message: &str) {
        match message.split_once(' ') {
            Some(("take", id)) => ids.borrow_mut().received(id, true),
            Some(("free", id)) => ids.borrow_mut().received(id, false),
            None if message == "serving" => {
                info!("the next process takes clients: this one serves what it has");
                self.frontend.hand_over(true);
            }
            // Guards against a node without a process that accepts, for as long as the next one takes to stop.
            None if message == "leaving" => {
                info!("the next process is told to stop: this one takes clients");
                self.frontend.hand_over(false);
            }
            _ => warn!("the other process makes no sense"),
        }
    }
}
