//! Accepts calls on a limited number of connections, which share a limited memory for calls that are being received or answered.

use crate::rpc::{codec, Call, Reply, MAX_FRAME_BYTES};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder, Framed, LengthDelimitedCodec};
use tracing::warn;

/// Most connections. Each other allocator uses one, and so does each operator's tool.
pub const MAX_CONNECTIONS: usize = 64;
/// Most bytes of calls that all connections hold together: a few calls of the greatest size.
pub const MAX_HELD_BYTES: usize = 4 * MAX_FRAME_BYTES;
/// How long a call may take to arrive after its first byte, and a reply to be taken.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The order in which connections that wait for a call are closed when there are too many: those that have not completed one first, and of
/// these the one that has waited longest.
type WaitingKey = (bool, Instant, u64);

/// The open connections.
#[derive(Default)]
struct Connections {
    open: Cell<usize>,
    next_number: Cell<u64>,
    /// Closes the connections that wait for a call.
    waiting: RefCell<BTreeMap<WaitingKey, oneshot::Sender<()>>>,
    held_bytes: Rc<Cell<usize>>,
}

impl Connections {
    /// Closes a connection that waits for a call if there are too many for a further one. Returns false if all of them are in the
    /// middle of a call.
    fn evict_excess(&self) -> bool {
        if self.open.get() < MAX_CONNECTIONS {
            return true;
        }
        // The receiver is dropped if the connection is about to go on.
        self.waiting.borrow_mut().pop_first().is_some_and(|(_, close)| close.send(()).is_ok())
    }

    fn add_waiting(&self, has_called: bool) -> (WaitingKey, oneshot::Receiver<()>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let key = (has_called, Instant::now(), number);
        let (close, closed) = oneshot::channel();
        self.waiting.borrow_mut().insert(key, close);
        (key, closed)
    }
}

/// Separates calls by their length, and counts what one connection holds against the memory of all.
struct CallCodec {
    frames: LengthDelimitedCodec,
    held_by_all: Rc<Cell<usize>>,
    held: usize,
}

impl CallCodec {
    fn hold(&mut self, bytes: usize) -> io::Result<()> {
        let held_by_all = self.held_by_all.get() - self.held + bytes;
        if bytes > self.held && held_by_all > MAX_HELD_BYTES {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.held_by_all.set(held_by_all);
        self.held = bytes;
        Ok(())
    }
}

impl Drop for CallCodec {
    fn drop(&mut self) {
        self.held_by_all.set(self.held_by_all.get() - self.held);
    }
}

impl Decoder for CallCodec {
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, src: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let frame = self.frames.decode(src)?;
        // A frame counts until the next one is read, which is after its reply.
        self.hold(src.len() + frame.as_ref().map_or(0, BytesMut::len))?;
        Ok(frame)
    }
}

impl Encoder<Bytes> for CallCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: Bytes, dst: &mut BytesMut) -> io::Result<()> {
        self.frames.encode(frame, dst)
    }
}

/// Answers the calls on all connections of the listener, for as long as the allocator runs.
pub async fn serve<F, R>(listener: TcpListener, reply: F)
where
    F: Fn(Call) -> R + 'static,
    R: Future<Output = Reply> + 'static,
{
    let (connections, reply) = (Rc::new(Connections::default()), Rc::new(reply));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!("a connection can't be accepted, retrying: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if !connections.evict_excess() {
            warn!("a connection is closed at once: {MAX_CONNECTIONS} others are in the middle of a call");
            continue;
        }
        // Lets an evicted connection close before the next one is accepted: a burst of them would all be open at once.
        yield_now().await;
        connections.open.set(connections.open.get() + 1);
        let (connections, reply) = (connections.clone(), reply.clone());
        spawn_local(async move {
            // A lost connection needs no handling: the caller repeats the call.
            let _ = answer(stream, &connections, &*reply).await;
            connections.open.set(connections.open.get() - 1);
        });
    }
}

/// Answers the calls of one connection until it ends or is closed in favor of another.
async fn answer<R: Future<Output = Reply>>(
    stream: TcpStream,
    connections: &Connections,
    reply: &impl Fn(Call) -> R,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let held_by_all = connections.held_bytes.clone();
    let mut connection = Framed::new(stream, CallCodec { frames: codec(), held_by_all, held: 0 });
    let mut has_called = false;
    loop {
        let (key, closed) = connections.add_waiting(has_called);
        let frame = tokio::select! {
            frame = next_frame(&mut connection) => frame,
            _ = closed => return Ok(()),
        };
        connections.waiting.borrow_mut().remove(&key);
        let Some(frame) = frame? else { return Ok(()) };
        has_called = true;
        let reply = match serde_json::from_slice::<Call>(&frame) {
            Ok(call) => reply(call).await,
            Err(e) => Reply::No(format!("no call: {e}")),
        };
        drop(frame);
        let text = serde_json::to_vec(&reply).map_err(io::Error::other)?;
        timeout(MESSAGE_TIMEOUT, connection.send(Bytes::from(text))).await??;
    }
}

/// Returns the next call; `None` if the connection has ended.
async fn next_frame(connection: &mut Framed<TcpStream, CallCodec>) -> io::Result<Option<BytesMut>> {
    if connection.read_buffer().is_empty() {
        connection.get_ref().readable().await?;
    }
    timeout(MESSAGE_TIMEOUT, connection.next()).await?.transpose()
}
