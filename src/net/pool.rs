//! Buffers of one size that are used again.

use bytes::BytesMut;
use std::cell::RefCell;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder, Framed, FramedParts};

/// The one size: the largest body with the largest head and its framing fit.
pub const SIZE: usize = 80 * 1024;
/// Buffers kept for later; more are freed.
const KEPT: usize = 64;

/// The buffers that wait to be used again.
#[derive(Debug, Default)]
pub struct Pool(RefCell<Vec<BytesMut>>);

impl Pool {
    /// An empty buffer, which goes back by itself.
    pub fn buffer(self: &Rc<Self>) -> Buffer {
        Buffer { bytes: self.take(), pool: self.clone() }
    }

    /// A connection that reads and writes through buffers of the pool.
    pub fn framed<I, C: Encoder<I> + Decoder>(&self, stream: TcpStream, codec: C) -> Framed<TcpStream, C> {
        let mut parts = FramedParts::new::<I>(stream, codec);
        parts.read_buf = self.take();
        parts.write_buf = self.take();
        Framed::from_parts(parts)
    }

    /// Take a connection's buffers back; its socket closes.
    pub fn release<C>(&self, framed: Framed<TcpStream, C>) {
        let parts = framed.into_parts();
        self.give(parts.read_buf);
        self.give(parts.write_buf);
    }

    fn take(&self) -> BytesMut {
        self.0.borrow_mut().pop().unwrap_or_else(|| BytesMut::with_capacity(SIZE))
    }

    /// One that has grown, or that something else still holds a part of, is freed instead.
    fn give(&self, mut bytes: BytesMut) {
        bytes.clear();
        let mut kept = self.0.borrow_mut();
        if kept.len() < KEPT && bytes.try_reclaim(SIZE) && bytes.capacity() == SIZE {
            kept.push(bytes);
        }
    }
}

/// A buffer of the pool.
#[derive(Debug)]
pub struct Buffer {
    bytes: BytesMut,
    pool: Rc<Pool>,
}

impl Deref for Buffer {
    type Target = BytesMut;
    fn deref(&self) -> &BytesMut {
        &self.bytes
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut BytesMut {
        &mut self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.pool.give(std::mem::take(&mut self.bytes));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Buf;

    #[test]
    fn a_buffer_comes_back_whole_and_one_that_has_grown_does_not() {
        let pool = Rc::new(Pool::default());
        let mut first = pool.buffer();
        first.extend_from_slice(&[1; 100]);
        let place = first.as_ptr();
        first.advance(60);
        drop(first);
        let mut again = pool.buffer();
        assert_eq!((again.as_ptr(), again.len(), again.capacity()), (place, 0, SIZE));
        again.extend_from_slice(&[1; SIZE + 1]);
        drop(again);
        assert!(pool.0.borrow().is_empty());
    }
}
