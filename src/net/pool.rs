//! A pool of reusable buffers of one size. An idle connection holds none, and the memory for all message bodies together is limited.

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

/// Size of a buffer in bytes: the largest message fits, with its head, body and framing.
pub const BUFFER_SIZE: usize = 80 * 1024;
/// Maximum number of unused buffers; further ones are freed.
const MAX_FREE_BUFFERS: usize = 64;

/// The memory for message bodies is used up.
#[derive(Debug, Error)]
#[error("no memory is left for a message")]
pub struct NoMemory;

/// The state of a connection after [`Pool::read_ahead`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAhead {
    /// All received data is in the buffer, and more may arrive.
    Open,
    /// The buffer is full; the socket may have more data.
    Full,
    /// The peer has closed the connection, or it failed.
    Ended,
}

/// The unused buffers, and the memory that the buffers in use take together.
#[derive(Debug)]
pub struct Pool {
    free: RefCell<Vec<BytesMut>>,
    used_bytes: Cell<usize>,
    /// Limit for all processes that share it, in bytes.
    total_limit: usize,
    /// Limit for this process, in bytes.
    limit: Cell<usize>,
}

impl Pool {
    /// Creates a pool whose buffers hold at most `limit` bytes together.
    pub fn new(limit: usize) -> Self {
        Pool {
            free: RefCell::default(),
            used_bytes: Cell::new(0),
            total_limit: limit,
            limit: Cell::new(limit),
        }
    }

    /// Divides the limit evenly among that many processes, of which this is one.
    pub fn set_processes(&self, processes: u32) {
        self.limit.set(self.total_limit / processes.max(1) as usize);
    }

    /// Returns the next item from a connection; `None` if the connection has ended. The connection holds no buffer while it waits.
    pub async fn next<C: Decoder>(
        &self,
        connection: &mut Framed<TcpStream, C>,
    ) -> Option<Result<C::Item, C::Error>> {
        loop {
            self.attach_buffer(connection);
            // An incomplete item stays in the buffer.
            if let Some(item) = connection.next().now_or_never() {
                return item;
            }
            self.detach_buffer(connection);
            // The next read returns the same error.
            let _ = connection.get_ref().readable().await;
        }
    }

    /// Reads more data while a decoded item is being handled. The data stays in the connection's buffer, without growing it, and is
    /// decoded after that item. Guards against missing the end of the connection, which is only visible after all data
    /// before it was read. `Framed` can't do this: it decodes whatever it reads.
    pub fn read_ahead<C>(&self, connection: &mut Framed<TcpStream, C>) -> ReadAhead {
        self.attach_buffer(connection);
        let mut bytes = std::mem::take(connection.read_buffer_mut());
        let state = loop {
            // The buffer is full if more space would need an allocation.
            if !bytes.try_reclaim(1) {
                let ready = connection.get_ref().ready(Interest::READABLE).now_or_never();
                let ended = ready.is_some_and(|r| r.map_or(true, |r| r.is_read_closed()));
                break if ended { ReadAhead::Ended } else { ReadAhead::Full };
            }
            match connection.get_ref().try_read_buf(&mut bytes) {
                Ok(0) => break ReadAhead::Ended,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break ReadAhead::Open,
                Err(_) => break ReadAhead::Ended,
            }
        };
        *connection.read_buffer_mut() = bytes;
        self.detach_buffer(connection);
        state
    }

    /// Gives a connection a read buffer with space.
    fn attach_buffer<C>(&self, connection: &mut Framed<TcpStream, C>) {
        if connection.read_buffer().is_empty() && connection.read_buffer().capacity() < BUFFER_SIZE {
            let used_up = std::mem::replace(connection.read_buffer_mut(), self.acquire());
            self.recycle(used_up);
        }
    }

    /// Takes the read buffer of a connection back if it is empty.
    fn detach_buffer<C>(&self, connection: &mut Framed<TcpStream, C>) {
        if connection.read_buffer().is_empty() {
            self.recycle(std::mem::take(connection.read_buffer_mut()));
        }
    }

    /// Sends an item. The connection holds a write buffer until all of it is written.
    ///
    /// # Errors
    /// Fails if the item can't be encoded or written.
    pub async fn send<I, C: Encoder<I> + Decoder>(
        &self,
        connection: &mut Framed<TcpStream, C>,
        item: I,
    ) -> Result<(), <C as Encoder<I>>::Error> {
        *connection.write_buffer_mut() = self.acquire();
        connection.send(item).await?;
        self.recycle(std::mem::take(connection.write_buffer_mut()));
        Ok(())
    }

    /// Reads received data and drops it. Returns the number of bytes, which is 0 at the end of the connection.
    ///
    /// # Errors
    /// Fails with [`ErrorKind::WouldBlock`] if no data has arrived, and if the connection fails.
    pub fn discard<C>(&self, connection: &Framed<TcpStream, C>) -> std::io::Result<usize> {
        let mut discarded = self.acquire();
        let read = connection.get_ref().try_read_buf(&mut discarded);
        self.recycle(discarded);
        read
    }

    /// Returns an empty buffer, which goes back to the pool when it is dropped.
    pub fn buffer(self: &Rc<Self>) -> Buffer {
        Buffer { bytes: self.acquire(), counted: 0, pool: self.clone() }
    }

    /// Wraps a stream into a connection that takes its buffers from the pool when it needs them.
    pub fn framed<I, C: Encoder<I> + Decoder>(&self, stream: TcpStream, codec: C) -> Framed<TcpStream, C> {
        let mut connection = Framed::from_parts(FramedParts::new::<I>(stream, codec));
        // The buffers that `Framed` creates have another size.
        *connection.read_buffer_mut() = BytesMut::new();
        *connection.write_buffer_mut() = BytesMut::new();
        connection
    }

    /// Closes a connection and takes its buffers back.
    pub fn release<C>(&self, framed: Framed<TcpStream, C>) {
        let parts = framed.into_parts();
        self.recycle(parts.read_buf);
        self.recycle(parts.write_buf);
    }

    fn acquire(&self) -> BytesMut {
        self.free.borrow_mut().pop().unwrap_or_else(|| BytesMut::with_capacity(BUFFER_SIZE))
    }

    /// Keeps a buffer for reuse. One that has grown, or of which a part is still referenced, is dropped instead.
    fn recycle(&self, mut bytes: BytesMut) {
        bytes.clear();
        let mut free = self.free.borrow_mut();
        if free.len() < MAX_FREE_BUFFERS && bytes.try_reclaim(BUFFER_SIZE) && bytes.capacity() == BUFFER_SIZE
        {
            free.push(bytes);
        }
    }
}

/// A buffer of the pool, for the body of a message or a line of it.
#[derive(Debug)]
pub struct Buffer {
    bytes: BytesMut,
    /// Number of bytes that count as used in the pool.
    counted: usize,
    pool: Rc<Pool>,
}

impl Deref for Buffer {
    type Target = BytesMut;
    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl Buffer {
    /// Appends data. The limit guards against many large messages at a time: the number of connections is limited by descriptors
    /// alone, since most messages are small.
    ///
    /// # Errors
    /// Fails without any change if the buffers of the pool would exceed its limit.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), NoMemory> {
        self.append_within(bytes, self.pool.limit.get())
    }

    /// Appends data of a client's request. A quarter of the memory is reserved for other messages, so that clients with large
    /// requests can't block the answers to others.
    ///
    /// # Errors
    /// Fails without any change if the buffers of the pool would exceed three quarters of its limit.
    pub fn append_request(&mut self, bytes: &[u8]) -> Result<(), NoMemory> {
        let limit = self.pool.limit.get();
        self.append_within(bytes, limit - limit / 4)
    }

    fn append_within(&mut self, bytes: &[u8], limit: usize) -> Result<(), NoMemory> {
        let used = self.pool.used_bytes.get() + bytes.len();
        if used > limit {
            return Err(NoMemory);
        }
        self.pool.used_bytes.set(used);
        self.counted += bytes.len();
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.used_bytes.set(self.pool.used_bytes.get() - self.counted);
        self.pool.recycle(std::mem::take(&mut self.bytes));
    }
}
