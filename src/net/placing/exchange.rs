//! Exchanges log entries with peers.

use super::{index_new_entries, Placements};
use shorepath_placements::anti_entropy::{Exchange, Message, Settings};
use shorepath_placements::log::LogError;
use shorepath_quota::Micros;
use std::collections::BTreeSet;
use tracing::{debug, warn};

/// Most bytes of messages that are combined into one datagram, each after its length.
const MAX_BATCH_BYTES: usize = 1_200;

impl Placements {
    /// Sets the peers and, for each, the nodes whose logs it gets from another peer, by site and name. Entries are flushed and
    /// published together at intervals of `group_interval` microseconds.
    pub fn set_peers(
        &self,
        peers: Vec<(u32, BTreeSet<(String, String)>)>,
        group_interval: Micros,
        now: Micros,
    ) {
        self.group_interval.set(group_interval);
        let mut exchanges = self.exchanges.borrow_mut();
        exchanges.retain(|node, _| peers.iter().any(|(peer, _)| peer == node));
        for (node, covered) in peers {
            let new = || Exchange::new(Settings::default(), self.new_log_number, now);
            exchanges.entry(node).or_insert_with(new).set_relayed_nodes(covered);
        }
    }

    /// Handles a datagram of a peer, which holds messages that are each preceded by their length.
    pub fn receive(&self, from: u32, mut messages: &[u8], now: Micros) {
        while let Some((length, rest)) = messages.split_first_chunk::<2>() {
            let Some((message, rest)) = rest.split_at_checked(usize::from(u16::from_be_bytes(*length)))
            else {
                return debug!("placements: a datagram from node {from} is truncated");
            };
            self.receive_message(from, message, now);
            messages = rest;
        }
    }

    pub(super) fn receive_message(&self, from: u32, message: &[u8], now: Micros) {
        let mut exchanges = self.exchanges.borrow_mut();
        let Some(exchange) = exchanges.get_mut(&from) else { return };
        let received = Message::decode(message)
            .and_then(|message| exchange.receive(&mut *self.history.borrow_mut(), message, now));
        let received = match received {
            Ok(received) => received,
            Err(e) => return debug!("placements: a message from node {from} was rejected: {e}"),
        };
        let log_failure = |result: Result<(), LogError>| {
            if let Err(e) = result {
                warn!("placements: a copy of another node's log could not be written: {e}");
            }
        };
        for piece in &received.pieces {
            self.copies.append_piece_deferred(piece);
            self.has_deferred.set(true);
            exchanges
                .iter_mut()
                .filter(|(node, _)| **node != from)
                .for_each(|(_, e)| e.note_update(&piece.writer));
        }
        if let Some((writer, base)) = &received.sealed {
            self.copies.append_base(writer, base, log_failure);
        }
        let (history, mut keys) = (self.history.borrow(), self.keys.borrow_mut());
        let pieces = received.pieces.iter().map(|piece| &piece.writer);
        pieces
            .chain(received.sealed.iter().map(|(w, _)| w))
            .for_each(|w| index_new_entries(&history, &mut keys, w));
        if received.new > 0 {
            self.note_update(now);
        }
    }

    /// Schedules reconciliation of new entries.
    pub(super) fn note_update(&self, now: Micros) {
        self.has_new_entries.set(true);
        if self.reconcile_at.get().is_none() {
            self.reconcile_at.set(Some(now + self.group_interval.get()));
        }
    }

    /// Flushes and publishes entries that are due. Returns the datagrams to send, by node number.
    pub fn tick(&self, now: Micros, random: u64) -> Vec<(u32, Vec<u8>)> {
        let has_unpublished = self.log.durable().0 > self.last_published.get();
        if now >= self.next_flush.get()
            && (has_unpublished || self.has_deferred.get())
            && !self.is_flushing.get()
        {
            self.next_flush.set(now + self.group_interval.get());
            if self.has_deferred.take() {
                self.flush();
            } else {
                self.must_publish.set(true);
            }
        }
        let publish = self.must_publish.take();
        let due = self.exchanges.borrow().values().any(|e| e.due() <= now);
        // Until the peers have answered, no entry is written that would have to be published.
        let awaiting_peers = !self.log_recovery.borrow().peers_answered();
        if !publish && !due && !awaiting_peers {
            return Vec::new();
        }
        let writer = self.log.writer();
        if publish && has_unpublished {
            match self.log.load_into(&mut self.history.borrow_mut()) {
                Ok(_) => self.note_update(now),
                Err(e) => warn!("placements: new entries of this node's log can't be read: {e}"),
            }
            self.last_published.set(self.log.durable().0);
        }
        self.decide_log(&writer, now);
        let history = self.history.borrow();
        let mut outgoing_messages: Vec<(u32, Vec<u8>)> = Vec::new();
        for (node, exchange) in self.exchanges.borrow_mut().iter_mut() {
            if !publish && exchange.due() > now {
                continue;
            }
            exchange.poll(&*history, now, random.rotate_left(*node % 64));
            for message in exchange.take_outgoing() {
                let message = message.encode();
                let length = (message.len() as u16).to_be_bytes();
                match outgoing_messages
                    .last_mut()
                    .filter(|(to, sent)| to == node && sent.len() + message.len() <= MAX_BATCH_BYTES)
                {
                    Some((_, sent)) => sent.extend(length.iter().chain(&message)),
                    None => outgoing_messages.push((*node, [&length, message.as_slice()].concat())),
                }
            }
        }
        outgoing_messages
    }
}
