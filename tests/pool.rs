//! Tests of the pool of reusable buffers.

use shorepath::net::pool::{Pool, BUFFER_SIZE};
use std::rc::Rc;

#[test]
fn a_dropped_buffer_is_reused_unless_it_has_grown() {
    let pool = Rc::new(Pool::new(1 << 20));
    let mut first = pool.buffer();
    first.append(&[1; 100]).unwrap();
    let address = first.as_ptr();
    drop(first);
    let mut reused = pool.buffer();
    assert_eq!((reused.as_ptr(), reused.len(), reused.capacity()), (address, 0, BUFFER_SIZE));
    reused.append(&[1; BUFFER_SIZE + 1]).unwrap();
    let grown = reused.as_ptr();
    drop(reused);
    let buffers: Vec<_> = (0..3).map(|_| pool.buffer()).collect();
    assert!(buffers.iter().all(|b| b.capacity() == BUFFER_SIZE && b.as_ptr() != grown));
}

#[test]
fn buffers_together_hold_no_more_than_the_limit() {
    let pool = Rc::new(Pool::new(100));
    let (mut first, mut second) = (pool.buffer(), pool.buffer());
    first.append(&[1; 60]).unwrap();
    assert!(second.append(&[1; 60]).is_err());
    second.append(&[1; 40]).unwrap();
    drop(first);
    second.append(&[1; 60]).unwrap();
}
