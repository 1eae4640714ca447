//! The memory for messages. Everything that is held while a connection waits counts against one limit: bodies, and what
//! connections have read or not yet written. Buffers for reading and writing are reused, and a connection has one only while it
//! is being read or written.

use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::ops::Deref;
use std::rc::Rc;
use thiserror::Error;

/// Size of a buffer for reading or writing in bytes: the largest message fits, with its head, body and framing.
pub const BUFFER_SIZE: usize = 80 * 1024;
/// Maximum number of unused buffers; further ones are freed. Few are in use at a time.
const MAX_FREE_BUFFERS: usize = 8;

/// The memory for messages is used up.
#[derive(Debug, Error)]
#[error("no memory is left for a message")]
pub struct NoMemory;

/// What memory is reserved for, which decides how much of the limit may be in use afterwards. Guards requests against clients
/// that send more than one at a time, and answers against clients with large requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Data behind a request that has no answer yet: up to half of the limit.
    ReadAhead,
    /// Requests of clients: up to three quarters of the limit.
    Request,
    /// All other messages: up to the limit.
    Other,
}

/// The unused buffers, and the memory that is reserved.
#[derive(Debug)]
pub struct Pool {
    free: RefCell<Vec<BytesMut>>,
    reserved_bytes: Cell<usize>,
    /// Limit for all processes that share it, in bytes.
    total_limit: usize,
    /// Limit for this process, in bytes.
    limit: Cell<usize>,
}

impl Pool {
    /// Creates a pool in which at most `limit` bytes can be reserved.
    pub fn new(limit: usize) -> Self {
        Pool {
            free: RefCell::default(),
            reserved_bytes: Cell::new(0),
            total_limit: limit,
            limit: Cell::new(limit),
        }
    }

    /// Divides the limit evenly among that many processes, of which this is one.
    pub fn set_processes(&self, processes: u32) {
        self.limit.set(self.total_limit / processes.max(1) as usize);
    }

    /// Returns how many bytes are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.get()
    }

    /// Returns an empty buffer for the body of a message or a line of it, which holds no memory yet.
    pub fn buffer(self: &Rc<Self>) -> Buffer {
        Buffer { bytes: BytesMut::new(), head_bytes: 0, reservation: Reservation::new(self) }
    }

    /// Returns an empty buffer of [`BUFFER_SIZE`], which is not counted: it has to be returned before the caller waits.
    pub(super) fn acquire(&self) -> BytesMut {
        self.free.borrow_mut().pop().unwrap_or_else(|| BytesMut::with_capacity(BUFFER_SIZE))
    }

    /// Keeps a buffer for reuse. One of another size, or of which a part is still referenced, is dropped instead.
    pub(super) fn recycle(&self, mut bytes: BytesMut) {
        bytes.clear();
        let mut free = self.free.borrow_mut();
        if free.len() < MAX_FREE_BUFFERS && bytes.try_reclaim(BUFFER_SIZE) && bytes.capacity() == BUFFER_SIZE
        {
            free.push(bytes);
        }
    }

    /// Returns how many bytes may be reserved in all after a reservation for that purpose.
    fn limit_for(&self, purpose: Purpose) -> usize {
        let limit = self.limit.get();
        match purpose {
            Purpose::ReadAhead => limit / 2,
            Purpose::Request => limit - limit / 4,
            Purpose::Other => limit,
        }
    }
}

/// A part of a pool's memory, which is given back when it is dropped.
#[derive(Debug)]
pub(super) struct Reservation {
    bytes: usize,
    pool: Rc<Pool>,
}

impl Reservation {
    /// Creates a reservation of no memory.
    pub fn new(pool: &Rc<Pool>) -> Self {
        Reservation { bytes: 0, pool: pool.clone() }
    }

    /// Changes the size to that many bytes. A smaller size never fails.
    ///
    /// # Errors
    /// Fails without any change if more than the share of `purpose` would be in use.
    pub fn resize(&mut self, bytes: usize, purpose: Purpose) -> Result<(), NoMemory> {
        let reserved = self.pool.reserved_bytes.get() - self.bytes + bytes;
        if bytes > self.bytes && reserved > self.pool.limit_for(purpose) {
            return Err(NoMemory);
        }
        self.pool.reserved_bytes.set(reserved);
        self.bytes = bytes;
        Ok(())
    }

    /// Gives all of the memory back.
    pub fn release(&mut self) {
        self.pool.reserved_bytes.set(self.pool.reserved_bytes.get() - self.bytes);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}

/// The body of a message or a line of it. All of its memory is reserved.
#[derive(Debug)]
pub struct Buffer {
    bytes: BytesMut,
    /// Size of the message's head, which is kept elsewhere for as long as the buffer.
    head_bytes: usize,
    reservation: Reservation,
}

impl Deref for Buffer {
    type Target = BytesMut;
    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl Buffer {
    /// Appends data.
    ///
    /// # Errors
    /// Fails without any change if the pool has no memory for it.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), NoMemory> {
        self.append_for(bytes, Purpose::Other)
    }

    /// Appends data of a client's request.
    ///
    /// # Errors
    /// Fails without any change if the pool has no memory for it.
    pub fn append_request(&mut self, bytes: &[u8]) -> Result<(), NoMemory> {
        self.append_for(bytes, Purpose::Request)
    }

    /// Counts the head of a client's request, of that many bytes, in addition to the body.
    ///
    /// # Errors
    /// Fails without any change if the pool has no memory for it.
    pub fn count_request_head(&mut self, bytes: usize) -> Result<(), NoMemory> {
        self.reservation.resize(bytes + self.bytes.capacity(), Purpose::Request)?;
        self.head_bytes = bytes;
        Ok(())
    }

    fn append_for(&mut self, bytes: &[u8], purpose: Purpose) -> Result<(), NoMemory> {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            self.grow(needed, purpose)?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Enlarges the allocation to at least `needed` bytes, and to twice its size if there is memory for that.
    fn grow(&mut self, needed: usize, purpose: Purpose) -> Result<(), NoMemory> {
        let doubled = needed.max(2 * self.bytes.capacity());
        let mut reserve = |capacity| self.reservation.resize(self.head_bytes + capacity, purpose);
        let capacity = match reserve(doubled) {
            Ok(()) => doubled,
            Err(NoMemory) => reserve(needed).map(|()| needed)?,
        };
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        Ok(())
    }
}
