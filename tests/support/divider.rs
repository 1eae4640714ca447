//! A divider of the tests' own, which divides as a real one does.

use shorepath_budgets::divider::Divider;
use shorepath_budgets::words::Word;
use shorepath_budgets::{Life, NodeId};
use shorepath_envelope::line::Line;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Divide until the second flag is set; while the first one is, nothing is heard or said.
pub fn divide(socket: &UdpSocket, mut divider: Divider, (silent, over): &(Arc<AtomicBool>, Arc<AtomicBool>)) {
    socket.set_read_timeout(Some(Duration::from_millis(10))).unwrap();
    let mut line = Line::new(NodeId::of("d0").0, 1, "", None);
    let mut from: BTreeMap<Life, SocketAddr> = BTreeMap::new();
    let (begin, mut buffer) = (Instant::now(), [0; 4_000]);
    divider.lead(true);
    while !over.load(Ordering::Relaxed) {
        let now = |begin: Instant| begin.elapsed().as_micros() as i64;
        if let Ok((n, sender)) = socket.recv_from(&mut buffer) {
            let word = line.open(&buffer[..n], 0).ok().and_then(|heard| Word::read(heard.said).ok());
            if let Some(word) = word.filter(|_| !silent.load(Ordering::Relaxed)) {
                if let Word::Ask { life, .. } = &word {
                    from.insert(*life, sender);
                }
                divider.hear(&word, now(begin));
            }
        }
        let Some(entry) = divider.propose(now(begin)) else { continue };
        let agreed = divider.apply(&entry, now(begin));
        for say in divider.settled(&entry, agreed, now(begin)) {
            if let Some(to) = from.get(&say.to).filter(|_| !silent.load(Ordering::Relaxed)) {
                let _ = socket.send_to(&line.seal(say.word.bytes()), to);
            }
        }
    }
}
