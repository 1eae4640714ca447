//! What peers and this node exchange of their logs.

use super::{feed, Placing};
use shorepath_placements::anti_entropy::{Exchange, Message, Settings};
use shorepath_placements::log::LogError;
use shorepath_quota::Micros;
use std::collections::BTreeSet;
use tracing::{debug, warn};

/// Words of that many bytes together go in one datagram, each after its length.
const TOGETHER: usize = 1_200;

impl Placing {
    /// Exchange with these from now on; each gets from another what the nodes beside it write, by site and name. What is to be written and
    /// shown waits for what comes in so long.
    pub fn meet(&self, peers: Vec<(u32, BTreeSet<(String, String)>)>, group: Micros, now: Micros) {
        self.group.set(group);
        let mut exchanges = self.exchanges.borrow_mut();
        exchanges.retain(|node, _| peers.iter().any(|(peer, _)| peer == node));
        for (node, spare) in peers {
            let new = || Exchange::new(Settings::default(), self.life, now);
            exchanges.entry(node).or_insert_with(new).set_relayed_nodes(spare);
        }
    }

    /// A partner says something: one word after the other.
    pub fn receive(&self, from: u32, mut messages: &[u8], now: Micros) {
        while let Some((length, rest)) = messages.split_first_chunk::<2>() {
            let Some((message, rest)) = rest.split_at_checked(usize::from(u16::from_be_bytes(*length)))
            else {
                return debug!("placements: from {from}: a datagram was cut");
            };
            self.message(from, message, now);
            messages = rest;
        }
    }

    pub(super) fn message(&self, from: u32, message: &[u8], now: Micros) {
        let mut exchanges = self.exchanges.borrow_mut();
        let Some(exchange) = exchanges.get_mut(&from) else { return };
        let received = Message::decode(message)
            .and_then(|message| exchange.receive(&mut *self.history.borrow_mut(), message, now));
        let received = match received {
            Ok(received) => received,
            Err(e) => return debug!("placements: from {from}: {e}"),
        };
        let kept = |done: Result<(), LogError>| {
            if let Err(e) = done {
                warn!("placements: a copy is not on the disk: {e}");
            }
        };
        for piece in &received.pieces {
            self.copies.append_piece_deferred(piece);
            self.waits.set(true);
            exchanges
                .iter_mut()
                .filter(|(node, _)| **node != from)
                .for_each(|(_, e)| e.note_update(&piece.writer));
        }
        if let Some((writer, base)) = &received.sealed {
            self.copies.append_base(writer, base, kept);
        }
        let (history, mut keys) = (self.history.borrow(), self.keys.borrow_mut());
        let pieces = received.pieces.iter().map(|piece| &piece.writer);
        pieces.chain(received.sealed.iter().map(|(w, _)| w)).for_each(|w| feed(&history, &mut keys, w));
        if received.new > 0 {
            self.note_update(now);
        }
    }

    /// There is more to reconcile.
    pub(super) fn note_update(&self, now: Micros) {
        self.fresh.set(true);
        if self.more.get().is_none() {
            self.more.set(Some(now + self.group.get()));
        }
    }

    /// Time has passed. What is to be said, and to whom.
    pub fn pass(&self, now: Micros, chance: u64) -> Vec<(u32, Vec<u8>)> {
        let unshown = self.log.durable().0 > self.shown.get();
        if now >= self.next.get() && (unshown || self.waits.get()) && !self.flushes.get() {
            self.next.set(now + self.group.get());
            if self.waits.take() {
                self.flush();
            } else {
                self.shows.set(true);
            }
        }
        let shows = self.shows.take();
        let due = self.exchanges.borrow().values().any(|e| e.due() <= now);
        // Until partners were asked, nothing is written that would have to be shown.
        let asks = !self.log_recovery.borrow().peers_answered();
        if !shows && !due && !asks {
            return Vec::new();
        }
        let writer = self.log.writer();
        if shows && unshown {
            match self.log.load_into(&mut self.history.borrow_mut()) {
                Ok(_) => self.note_update(now),
                Err(e) => warn!("placements: {e}"),
            }
            self.shown.set(self.log.durable().0);
        }
        self.ask(&writer, now);
        let history = self.history.borrow();
        let mut outgoing_messages: Vec<(u32, Vec<u8>)> = Vec::new();
        for (node, exchange) in self.exchanges.borrow_mut().iter_mut() {
            if !shows && exchange.due() > now {
                continue;
            }
            exchange.poll(&*history, now, chance.rotate_left(*node % 64));
            for message in exchange.take_outgoing() {
                let message = message.encode();
                let length = (message.len() as u16).to_be_bytes();
                match outgoing_messages
                    .last_mut()
                    .filter(|(to, sent)| to == node && sent.len() + message.len() <= TOGETHER)
                {
                    Some((_, sent)) => sent.extend(length.iter().chain(&message)),
                    None => outgoing_messages.push((*node, [&length, message.as_slice()].concat())),
                }
            }
        }
        outgoing_messages
    }
}
