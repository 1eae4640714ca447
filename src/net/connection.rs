//! A TCP connection that is read and written through a codec. What it holds while it waits counts against the memory of a
//! [`Pool`]; an idle connection holds nothing.

use super::codec::ReadError;
use super::pool::{NoMemory, Pool, Purpose, Reservation, BUFFER_SIZE};
use bytes::BytesMut;
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::io::{self, ErrorKind};
use std::rc::Rc;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed, FramedParts};

/// Most data that is held behind a request without an answer. Hundreds of usual requests fit.
pub const MAX_READ_AHEAD_BYTES: usize = 1024 * 1024;

/// The state of a connection after [`Connection::read_ahead`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAhead {
    /// All received data is held, and more may arrive.
    Open,
    /// There is more data than may be held, so that the end of the connection can't be noticed. What was held may be dropped, after
    /// which nothing more can be read.
    Full,
    /// The peer has closed the connection, or it failed.
    Ended,
}

/// Whether the peer of a connection sends requests to the node or answers them, which decides how much memory it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client, whose requests are read one at a time.
    Client,
    /// A server, whose answers are read.
    Server,
}

impl Peer {
    /// Returns what a partly received message is counted as.
    fn partial_message(self) -> Purpose {
        match self {
            Peer::Client => Purpose::Request,
            Peer::Server => Purpose::Other,
        }
    }

    /// Returns what data behind a complete message is counted as.
    fn next_message(self) -> Purpose {
        match self {
            Peer::Client => Purpose::ReadAhead,
            Peer::Server => Purpose::Other,
        }
    }
}

/// A connection with its codec and its buffers.
#[derive(Debug)]
pub struct Connection<C> {
    framed: Framed<TcpStream, C>,
    pool: Rc<Pool>,
    peer: Peer,
    /// Size of the allocation of the read buffer, in bytes.
    read_allocation: usize,
    read_reservation: Reservation,
    write_reservation: Reservation,
}

impl<C> Connection<C> {
    /// Wraps a stream; what it holds counts against the memory of `pool`.
    pub fn new<I>(stream: TcpStream, codec: C, peer: Peer, pool: &Rc<Pool>) -> Self
    where
        C: Encoder<I> + Decoder,
    {
        let mut framed = Framed::from_parts(FramedParts::new::<I>(stream, codec));
        // The buffers that `Framed` creates have another size.
        *framed.read_buffer_mut() = BytesMut::new();
        *framed.write_buffer_mut() = BytesMut::new();
        Connection {
            framed,
            pool: pool.clone(),
            peer,
            read_allocation: 0,
            read_reservation: Reservation::new(pool),
            write_reservation: Reservation::new(pool),
        }
    }

    /// Returns the codec.
    pub fn codec(&self) -> &C {
        self.framed.codec()
    }

    /// Returns whether data was received that is not decoded yet.
    pub fn has_unread_data(&self) -> bool {
        !self.framed.read_buffer().is_empty()
    }

    /// Waits until data or the end of the connection can be read.
    pub async fn readable(&self) {
        // The next read returns the same error.
        let _ = self.framed.get_ref().readable().await;
    }

    /// Closes the write side, and drops the data that was received and not decoded.
    ///
    /// # Errors
    /// Fails if the connection has failed.
    pub async fn shut_down(&mut self) -> io::Result<()> {
        self.drop_read_buffer();
        self.framed.get_mut().shutdown().await
    }

    /// Returns the next item; `None` if the connection has ended.
    pub async fn next(&mut self) -> Option<Result<C::Item, ReadError>>
    where
        C: Decoder<Error = ReadError>,
    {
        loop {
            self.prepare_read();
            // What is left is reserved again below. Until then, data that moves into an item would count twice.
            self.read_reservation.release();
            if let Some(item) = self.framed.next().now_or_never() {
                return match (self.hold_read(self.peer.next_message()), item) {
                    (Err(NoMemory), Some(Ok(_))) => Some(Err(ReadError::NO_MEMORY)),
                    (_, item) => item,
                };
            }
            if self.hold_read(self.peer.partial_message()).is_err() {
                return Some(Err(ReadError::NO_MEMORY));
            }
            self.readable().await;
        }
    }

    /// Reads more data while a decoded item is being handled, which is decoded after that item. Guards against missing the end of
    /// the connection, which is only visible after all data before it was read: behind data that nobody reads, the peer's system
    /// holds it back. `Framed` can't do this: it decodes whatever it reads.
    pub fn read_ahead(&mut self) -> ReadAhead {
        self.prepare_read();
        let state = loop {
            if !self.has_read_space() && self.extend_read_buffer().is_err() {
                break if self.is_read_closed() { ReadAhead::Ended } else { ReadAhead::Full };
            }
            let mut bytes = std::mem::take(self.framed.read_buffer_mut());
            let read = self.framed.get_ref().try_read_buf(&mut bytes);
            *self.framed.read_buffer_mut() = bytes;
            match read {
                Ok(0) => break ReadAhead::Ended,
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => break ReadAhead::Open,
                Err(_) => break ReadAhead::Ended,
            }
        };
        match self.hold_read(self.peer.next_message()) {
            Err(NoMemory) if state != ReadAhead::Ended => ReadAhead::Full,
            _ => state,
        }
    }

    /// Sends an item. What can't be written at once is held until the peer takes it.
    ///
    /// # Errors
    /// Fails if the item can't be encoded or written, or if there is no memory to hold it.
    pub async fn send<I>(&mut self, item: I) -> Result<(), ReadError>
    where
        C: Encoder<I, Error = ReadError> + Decoder,
    {
        *self.framed.write_buffer_mut() = self.pool.acquire();
        self.framed.feed(item).await?;
        match SinkExt::<I>::flush(&mut self.framed).now_or_never() {
            Some(flushed) => flushed?,
            None => {
                self.hold_written()?;
                SinkExt::<I>::flush(&mut self.framed).await?;
            }
        }
        self.pool.recycle(std::mem::take(self.framed.write_buffer_mut()));
        self.write_reservation.release();
        Ok(())
    }

    /// Reads received data and drops it. Returns the number of bytes, which is 0 at the end of the connection.
    ///
    /// # Errors
    /// Fails with [`ErrorKind::WouldBlock`] if no data has arrived, and if the connection fails.
    pub fn discard(&self) -> io::Result<usize> {
        let mut discarded = self.pool.acquire();
        let read = self.framed.get_ref().try_read_buf(&mut discarded);
        self.pool.recycle(discarded);
        read
    }

    /// Gives the connection a read buffer with space for a whole message.
    fn prepare_read(&mut self) {
        if self.read_allocation < BUFFER_SIZE {
            let buffer = self.pool.acquire();
            self.replace_read_buffer(buffer, BUFFER_SIZE);
        }
    }

    /// Reserves memory for the received data that is not decoded, in a buffer that is not much larger, before the connection waits.
    /// Without memory the data is dropped, after which the connection can't be used any more.
    fn hold_read(&mut self, purpose: Purpose) -> Result<(), NoMemory> {
        let held = self.framed.read_buffer().len();
        if held == 0 {
            self.drop_read_buffer();
            return Ok(());
        }
        if held <= self.read_allocation / 2 {
            self.replace_read_buffer(BytesMut::with_capacity(held), held);
        }
        let mut reserved = self.read_reservation.resize(self.read_allocation, purpose);
        if reserved.is_err() && held < self.read_allocation {
            self.replace_read_buffer(BytesMut::with_capacity(held), held);
            reserved = self.read_reservation.resize(held, purpose);
        }
        if reserved.is_err() {
            self.drop_read_buffer();
        }
        reserved
    }

    /// Reserves memory for the data that the peer has not taken yet.
    fn hold_written(&mut self) -> io::Result<()> {
        let unsent = BytesMut::from(&self.framed.write_buffer()[..]);
        let reserved = self.write_reservation.resize(unsent.len(), Purpose::Other);
        reserved.map_err(|e| io::Error::new(ErrorKind::OutOfMemory, e))?;
        self.pool.recycle(std::mem::replace(self.framed.write_buffer_mut(), unsent));
        Ok(())
    }

    /// Returns whether more data fits into the read buffer without an allocation.
    fn has_read_space(&mut self) -> bool {
        self.framed.read_buffer_mut().try_reclaim(1)
    }

    /// Doubles the size of the read buffer, up to [`MAX_READ_AHEAD_BYTES`].
    fn extend_read_buffer(&mut self) -> Result<(), NoMemory> {
        let size = (2 * self.read_allocation).min(MAX_READ_AHEAD_BYTES);
        if size <= self.read_allocation {
            return Err(NoMemory);
        }
        self.read_reservation.resize(size, self.peer.next_message())?;
        self.replace_read_buffer(BytesMut::with_capacity(size), size);
        Ok(())
    }

    /// Returns whether the peer has closed its side, as far as the system reports it before all data is read.
    fn is_read_closed(&self) -> bool {
        let ready = self.framed.get_ref().ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.map_or(true, |ready| ready.is_read_closed()))
    }

    /// Moves the received data into another buffer, whose allocation has that size.
    fn replace_read_buffer(&mut self, mut buffer: BytesMut, size: usize) {
        let old = self.framed.read_buffer_mut();
        buffer.extend_from_slice(old);
        self.pool.recycle(std::mem::replace(old, buffer));
        self.read_allocation = size;
    }

    fn drop_read_buffer(&mut self) {
        self.pool.recycle(std::mem::take(self.framed.read_buffer_mut()));
        self.read_allocation = 0;
        self.read_reservation.release();
    }
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.drop_read_buffer();
        self.pool.recycle(std::mem::take(self.framed.write_buffer_mut()));
    }
}
