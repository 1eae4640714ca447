//! Buffers of one size that are used again. A connection on which nothing moves holds none, and what
//! all of them hold of bodies is bounded.

use bytes::BytesMut;
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::ops::Deref;
use std::rc::Rc;
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed, FramedParts};

/// The one size: the largest body with the largest head and its framing fit.
pub const SIZE: usize = 80 * 1024;
/// Buffers kept for later; more are freed.
const KEPT: usize = 64;

/// No more of the bodies of messages can be held.
#[derive(Debug, Error)]
#[error("no memory is left for a message")]
pub struct NoMemory;

/// How a connection stands behind what of it was read ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ahead {
    /// More may come.
    Open,
    /// More may lie there than its buffer holds.
    Full,
    /// The other side has ended it.
    Ended,
}

/// The buffers that wait to be used again, and what those that are out hold together.
#[derive(Debug)]
pub struct Pool {
    kept: RefCell<Vec<BytesMut>>,
    held: Cell<usize>,
    all: usize,
    most: Cell<usize>,
}

impl Pool {
    /// A pool whose buffers hold so many bytes at most, all together.
    pub fn new(most: usize) -> Self {
        Pool { kept: RefCell::default(), held: Cell::new(0), all: most, most: Cell::new(most) }
    }

    /// Hold one part of so many of what it may.
    pub fn share(&self, parts: u32) {
        self.most.set(self.all / parts.max(1) as usize);
    }

    /// The next item that comes over a connection, which holds no buffer until something comes.
    pub async fn next<C: Decoder>(
        &self,
        connection: &mut Framed<TcpStream, C>,
    ) -> Option<Result<C::Item, C::Error>> {
        loop {
            self.lend(connection);
            // What has come, if only a part, stays in the buffer.
            if let Some(item) = connection.next().now_or_never() {
                return item;
            }
            self.take_back(connection);
            // An error shows again as that of the read.
            let _ = connection.get_ref().readable().await;
        }
    }

    /// Read on behind an item that was decoded and that waits: what has come stays in the connection's buffer, up
    /// to its one size, and is decoded after that item. Guards against missing the end of the connection, which
    /// only shows behind all that came before it. `Framed` itself would not stop at what it can't hand on.
    pub fn read_ahead<C>(&self, connection: &mut Framed<TcpStream, C>) -> Ahead {
        self.lend(connection);
        let mut bytes = std::mem::take(connection.read_buffer_mut());
        let ahead = loop {
            // Guards against a buffer that grows: it is full where its free part can't be had without that.
            if !bytes.try_reclaim(1) {
                let ready = connection.get_ref().ready(Interest::READABLE).now_or_never();
                let ended = ready.is_some_and(|r| r.map_or(true, |r| r.is_read_closed()));
                break if ended { Ahead::Ended } else { Ahead::Full };
            }
            match connection.get_ref().try_read_buf(&mut bytes) {
                Ok(0) => break Ahead::Ended,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break Ahead::Open,
                Err(_) => break Ahead::Ended,
            }
        };
        *connection.read_buffer_mut() = bytes;
        self.take_back(connection);
        ahead
    }

    /// A connection of which something may be read needs a buffer.
    fn lend<C>(&self, connection: &mut Framed<TcpStream, C>) {
        if connection.read_buffer().is_empty() && connection.read_buffer().capacity() < SIZE {
            let spent = std::mem::replace(connection.read_buffer_mut(), self.take());
            self.give(spent);
        }
    }

    /// One of which nothing has come needs none.
    fn take_back<C>(&self, connection: &mut Framed<TcpStream, C>) {
        if connection.read_buffer().is_empty() {
            self.give(std::mem::take(connection.read_buffer_mut()));
        }
    }

    /// Write an item through a buffer that is given back once its last byte is written.
    pub async fn send<I, C: Encoder<I> + Decoder>(
        &self,
        connection: &mut Framed<TcpStream, C>,
        item: I,
    ) -> Result<(), <C as Encoder<I>>::Error> {
        *connection.write_buffer_mut() = self.take();
        connection.send(item).await?;
        self.give(std::mem::take(connection.write_buffer_mut()));
        Ok(())
    }

    /// Read what has come and drop it.
    pub fn scrap<C>(&self, connection: &Framed<TcpStream, C>) -> std::io::Result<usize> {
        let mut scrap = self.take();
        let read = connection.get_ref().try_read_buf(&mut scrap);
        self.give(scrap);
        read
    }

    /// An empty buffer, which goes back by itself.
    pub fn buffer(self: &Rc<Self>) -> Buffer {
        Buffer { bytes: self.take(), held: 0, pool: self.clone() }
    }

    /// A connection that reads and writes through buffers of the pool. It holds none yet.
    pub fn framed<I, C: Encoder<I> + Decoder>(&self, stream: TcpStream, codec: C) -> Framed<TcpStream, C> {
        let mut connection = Framed::from_parts(FramedParts::new::<I>(stream, codec));
        // Those that it comes with are of another size.
        *connection.read_buffer_mut() = BytesMut::new();
        *connection.write_buffer_mut() = BytesMut::new();
        connection
    }

    /// Take a connection's buffers back; its socket closes.
    pub fn release<C>(&self, framed: Framed<TcpStream, C>) {
        let parts = framed.into_parts();
        self.give(parts.read_buf);
        self.give(parts.write_buf);
    }

    fn take(&self) -> BytesMut {
        self.kept.borrow_mut().pop().unwrap_or_else(|| BytesMut::with_capacity(SIZE))
    }

    /// One that has grown, or that something else still holds a part of, is freed instead.
    fn give(&self, mut bytes: BytesMut) {
        bytes.clear();
        let mut kept = self.kept.borrow_mut();
        if kept.len() < KEPT && bytes.try_reclaim(SIZE) && bytes.capacity() == SIZE {
            kept.push(bytes);
        }
    }
}

/// A buffer of the pool, for the body of a message or a line of it.
#[derive(Debug)]
pub struct Buffer {
    bytes: BytesMut,
    held: usize,
    pool: Rc<Pool>,
}

impl Deref for Buffer {
    type Target = BytesMut;
    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl Buffer {
    /// Add to it. Guards the memory against many messages that are large at once: connections are bounded by descriptors alone, or
    /// usual clients would lack them.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), NoMemory> {
        self.add(bytes, self.pool.most.get())
    }

    /// The same with what a client sends. Guards the answers that other clients wait for against those that send large bodies, or
    /// parts of them, at once: a quarter is left for them.
    pub fn append_asked(&mut self, bytes: &[u8]) -> Result<(), NoMemory> {
        let most = self.pool.most.get();
        self.add(bytes, most - most / 4)
    }

    fn add(&mut self, bytes: &[u8], most: usize) -> Result<(), NoMemory> {
        let held = self.pool.held.get() + bytes.len();
        if held > most {
            return Err(NoMemory);
        }
        self.pool.held.set(held);
        self.held += bytes.len();
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.held.set(self.pool.held.get() - self.held);
        self.pool.give(std::mem::take(&mut self.bytes));
    }
}
