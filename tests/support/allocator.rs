//! A divider of the tests' own, which divides as a real one does.

use shorepath_message_auth::channel::Channel;
use shorepath_quota::allocator::Allocator;
use shorepath_quota::messages::Message;
use shorepath_quota::{NodeId, NodeIncarnation};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Divide until the second flag is set; while the first one is, nothing is heard or said.
pub fn divide(
    socket: &UdpSocket,
    mut allocator: Allocator,
    (silent, over): &(Arc<AtomicBool>, Arc<AtomicBool>),
) {
    socket.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
    let mut line = Channel::new(NodeId::of("d0").0, 1, "", None);
    let mut from: BTreeMap<NodeIncarnation, SocketAddr> = BTreeMap::new();
    let (begin, mut buffer) = (Instant::now(), [0; 4_000]);
    allocator.set_leader(true);
    while !over.load(Ordering::Relaxed) {
        let now = |begin: Instant| begin.elapsed().as_micros() as i64;
        if let Ok((n, sender)) = socket.recv_from(&mut buffer) {
            let message =
                line.verify(&buffer[..n], 0).ok().and_then(|received| Message::read(received.body).ok());
            if let Some(message) = message.filter(|_| !silent.load(Ordering::Relaxed)) {
                if let Message::Ask { holder: life, .. } = &message {
                    from.insert(*life, sender);
                }
                allocator.receive(&message, now(begin));
            }
        }
        let Some(entry) = allocator.propose(now(begin)) else { continue };
        let agreed = allocator.apply(&entry, now(begin));
        for outgoing in allocator.complete_proposal(&entry, agreed, now(begin)) {
            if let Some(to) = from.get(&outgoing.to).filter(|_| !silent.load(Ordering::Relaxed)) {
                let _ = socket.send_to(&line.sign(outgoing.message.bytes()), to);
            }
        }
    }
}
