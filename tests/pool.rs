//! Buffers that are used again.

use shorepath::net::pool::{Pool, SIZE};
use std::rc::Rc;

#[test]
fn a_buffer_comes_back_whole_and_one_that_has_grown_does_not() {
    let pool = Rc::new(Pool::new(1 << 20));
    let mut first = pool.buffer();
    first.append(&[1; 100]).unwrap();
    let place = first.as_ptr();
    drop(first);
    let mut again = pool.buffer();
    assert_eq!((again.as_ptr(), again.len(), again.capacity()), (place, 0, SIZE));
    again.append(&[1; SIZE + 1]).unwrap();
    let grown = again.as_ptr();
    drop(again);
    // Neither that one nor another that has grown waits to be used again.
    let buffers: Vec<_> = (0..3).map(|_| pool.buffer()).collect();
    assert!(buffers.iter().all(|b| b.capacity() == SIZE && b.as_ptr() != grown));
}

#[test]
fn buffers_hold_no_more_than_they_may_together() {
    let pool = Rc::new(Pool::new(100));
    let (mut one, mut other) = (pool.buffer(), pool.buffer());
    one.append(&[1; 60]).unwrap();
    assert!(other.append(&[1; 60]).is_err());
    other.append(&[1; 40]).unwrap();
    drop(one);
    other.append(&[1; 60]).unwrap();
}
