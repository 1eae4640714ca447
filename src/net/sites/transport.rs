//! Sends and receives datagrams between the nodes of a fleet of sites.

use super::Sites;
use crate::net::recovering::NodeRecovery;
use serde::{Deserialize, Serialize};
use shorepath_accounts::gossip;
use shorepath_message_auth::channel::{Dropped, Received};
use shorepath_recovery::incarnations;
use shorepath_sites::{catch_up, health};
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tracing::{debug, warn};

/// First byte of a datagram with audit gossip.
const AUDIT: u8 = b'a';
/// First byte of a datagram with placement messages; all other messages are JSON.
const PLACEMENTS: u8 = b'p';

/// A JSON message between nodes of a fleet of sites.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum SiteMessage {
    /// Gossip about account standing.
    Accounts(gossip::Message),
    /// Reports about the health of sites.
    #[serde(rename = "seeing")]
    SiteHealth(health::Message),
    /// Questions and replies about the placements in a key range.
    #[serde(rename = "homes")]
    KeyOwnership(catch_up::Message),
    /// Exchange of node incarnations during recovery.
    Recovery(incarnations::Message),
}

impl Sites {
    /// Handles another node's question about this node's placements, or its reply.
    pub(super) fn receive_proof(&self, from: u32, message: catch_up::Message) {
        let Some(key_leases) = &self.key_leases else { return };
        match message {
            catch_up::Message::Ask { home, fence } => {
                let (log, last) = self.placements.own_position();
                let history = self.placements.history();
                // A node that has lost its disk doesn't know all of its placements.
                let has_complete_log = catch_up::has_complete_log(
                    &history,
                    self.site_health.borrow().site(),
                    &self.name,
                    (log, 0),
                );
                if self.placements.peers_answered() && has_complete_log {
                    self.ownership_outgoing
                        .borrow_mut()
                        .push((from, catch_up::Message::Reply { home, fence, log, last }));
                }
            }
            catch_up::Message::Reply { home, fence, log, last } => {
                key_leases.record_reply(from, &home, fence, log, last)
            }
        }
    }

    pub(super) async fn send_outgoing(&self, socket: &UdpSocket) {
        let accounts = self
            .gossip
            .borrow_mut()
            .take_outgoing()
            .into_iter()
            .map(|(to, message)| (to, SiteMessage::Accounts(message)));
        let site_health = self
            .site_health
            .borrow_mut()
            .take_outgoing()
            .into_iter()
            .map(|(to, message)| (to, SiteMessage::SiteHealth(message)));
        let ownership = std::mem::take(&mut *self.ownership_outgoing.borrow_mut());
        let ownership = ownership.into_iter().map(|(to, message)| (to, SiteMessage::KeyOwnership(message)));
        let recovery = self.recovery.iter().flat_map(NodeRecovery::take_outgoing);
        let recovery = recovery.map(|(to, message)| (to, SiteMessage::Recovery(message)));
        let text =
            accounts.chain(site_health).chain(ownership).chain(recovery).map(|(to, message)| {
                (to, serde_json::to_vec(&message).expect("a message serializes to JSON"))
            });
        let random = self.random.borrow_mut().rand_u64();
        let placements = self.placements.tick(self.now(), random).into_iter();
        let placements = placements.map(|(to, message)| (to, [&[PLACEMENTS], message.as_slice()].concat()));
        let audit = self.audit_recorder.iter().flat_map(|a| a.take_outgoing());
        let audit = audit.map(|(to, message)| (to, [&[AUDIT], message.as_slice()].concat()));
        for (to, message) in text.chain(placements).chain(audit).collect::<Vec<_>>() {
            let Some(address) = self.settings.borrow().config.node(to).map(|n| n.address) else { continue };
            let message = self.channel.borrow_mut().sign(message);
            // A lost datagram is repaired by a later message.
            let _ = socket.send_to(&message, address).await;
        }
    }

    /// Handles a datagram. Returns whether a full tick is needed, which placement and audit messages don't need.
    pub(super) fn receive(&self, bytes: &[u8], from: SocketAddr) -> bool {
        let presumed_sender = {
            let settings = self.settings.borrow();
            let node_number = settings.config.nodes().find(|(_, n)| n.address == from).map(|(_, n)| n.number);
            node_number.unwrap_or(0)
        };
        let mut channel = self.channel.borrow_mut();
        let (sender, message) = match channel.verify(bytes, presumed_sender) {
            Ok(Received { sender: Some(sender), body }) => (sender, body),
            Ok(_) => return false,
            Err(Dropped { refused, first }) => {
                if first {
                    warn!(
                        "sites: a datagram from {from} is dropped: {refused}: {}",
                        shorepath_message_auth::advice(&refused)
                    );
                }
                return false;
            }
        };
        let now = self.now();
        if let Some((&PLACEMENTS, message)) = message.split_first() {
            self.placements.receive(sender, message, now);
            return false;
        }
        if let Some((&AUDIT, message)) = message.split_first() {
            if let Some(audit_recorder) = &self.audit_recorder {
                audit_recorder.receive(message);
            }
            return false;
        }
        match serde_json::from_slice(message) {
            Ok(SiteMessage::Accounts(message)) => self.gossip.borrow_mut().receive(sender, &message, now),
            Ok(SiteMessage::SiteHealth(message)) => {
                let received = self.site_health.borrow_mut().receive(sender, &message, now);
                match received {
                    Ok(()) => self.spillover.received(&self.site_health.borrow(), sender, &message, now),
                    Err(e) => debug!("sites: a site health message from {from} was rejected: {e}"),
                }
            }
            Ok(SiteMessage::KeyOwnership(message)) => {
                self.receive_proof(sender, message);
            }
            Ok(SiteMessage::Recovery(message)) => {
                if let Some(recovery) = &self.recovery {
                    recovery.receive(sender, message, now);
                }
            }
            Err(e) => debug!("sites: a message from {from} can't be decoded: {e}"),
        }
        true
    }
}
