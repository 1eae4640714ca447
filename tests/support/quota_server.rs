//! An unreplicated quota server for tests, around the real allocator.

use shorepath_message_auth::channel::Channel;
use shorepath_quota::allocator::Allocator;
use shorepath_quota::messages::Message;
use shorepath_quota::{NodeId, NodeIncarnation};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Answers nodes on `socket` until `stopped` is set. While `silent` is set it ignores what it receives and sends nothing.
pub fn run_quota_server(
    socket: &UdpSocket,
    mut allocator: Allocator,
    (silent, stopped): &(Arc<AtomicBool>, Arc<AtomicBool>),
) {
    socket.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
    let mut channel = Channel::new(NodeId::of("d0").0, 1, "", None);
    let mut addresses: BTreeMap<NodeIncarnation, SocketAddr> = BTreeMap::new();
    let (begin, mut buffer) = (Instant::now(), [0; 4_000]);
    allocator.set_leader(true);
    while !stopped.load(Ordering::Relaxed) {
        let now = |begin: Instant| begin.elapsed().as_micros() as i64;
        if let Ok((length, sender)) = socket.recv_from(&mut buffer) {
            let message = channel
                .verify(&buffer[..length], 0)
                .ok()
                .and_then(|received| Message::read(received.body).ok());
            if let Some(message) = message.filter(|_| !silent.load(Ordering::Relaxed)) {
                if let Message::Ask { holder, .. } = &message {
                    addresses.insert(*holder, sender);
                }
                allocator.receive(&message, now(begin));
            }
        }
        let Some(entry) = allocator.propose(now(begin)) else { continue };
        let agreed = allocator.apply(&entry, now(begin));
        for outgoing in allocator.complete_proposal(&entry, agreed, now(begin)) {
            if let Some(to) = addresses.get(&outgoing.to).filter(|_| !silent.load(Ordering::Relaxed)) {
                let _ = socket.send_to(&channel.sign(outgoing.message.bytes()), to);
            }
        }
    }
}
