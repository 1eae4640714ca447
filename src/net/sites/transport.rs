//! Datagrams between nodes of sites.

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

/// And one about versions with this.
const AUDIT: u8 = b'a';
/// A word about placements begins with this; the others with JSON.
const PLACEMENTS: u8 = b'p';

/// One word between nodes of sites.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum SiteMessage {
    /// About accounts.
    Accounts(gossip::Message),
    /// About sites.
    #[serde(rename = "seeing")]
    SiteHealth(health::Message),
    /// About what was placed in a range of keys.
    #[serde(rename = "homes")]
    KeyOwnership(catch_up::Message),
    /// About lives of nodes.
    Recovery(incarnations::Message),
}

impl Sites {
    /// A node asks what was placed, or answers.
    pub(super) fn receive_proof(&self, from: u32, message: catch_up::Message) {
        let Some(key_leases) = &self.key_leases else { return };
        match message {
            catch_up::Message::Ask { home, fence } => {
                let (log, last) = self.placing.own();
                let history = self.placing.history();
                // One that has lost a disk can't say what it has placed.
                let whole = catch_up::has_complete_log(
                    &history,
                    self.site_health.borrow().site(),
                    &self.name,
                    (log, 0),
                );
                if self.placing.asked() && whole {
                    self.ownership_outgoing
                        .borrow_mut()
                        .push((from, catch_up::Message::Reply { home, fence, log, last }));
                }
            }
            catch_up::Message::Reply { home, fence, log, last } => {
                key_leases.notified(from, &home, fence, log, last)
            }
        }
    }

    pub(super) async fn speak(&self, socket: &UdpSocket) {
        let accounts = self
            .spread
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
        let recovery = self.recovering.iter().flat_map(NodeRecovery::take_outgoing);
        let recovery = recovery.map(|(to, message)| (to, SiteMessage::Recovery(message)));
        let text = accounts
            .chain(site_health)
            .chain(ownership)
            .chain(recovery)
            .map(|(to, sent)| (to, serde_json::to_vec(&sent).expect("JSON writes a message")));
        let chance = self.chance.borrow_mut().rand_u64();
        let placements = self.placing.pass(self.now(), chance).into_iter();
        let placements = placements.map(|(to, message)| (to, [&[PLACEMENTS], message.as_slice()].concat()));
        let audit = self.auditing.iter().flat_map(|a| a.take_outgoing());
        let audit = audit.map(|(to, message)| (to, [&[AUDIT], message.as_slice()].concat()));
        for (to, message) in text.chain(placements).chain(audit).collect::<Vec<_>>() {
            let Some(address) = self.siting.borrow().plan.node(to).map(|n| n.address) else { continue };
            let message = self.line.borrow_mut().seal(message);
            // Lost is lost: it is said again.
            let _ = socket.send_to(&message, address).await;
        }
    }

    /// Whether something else than placements was told.
    pub(super) fn receive(&self, bytes: &[u8], from: SocketAddr) -> bool {
        let seems = {
            let siting = self.siting.borrow();
            let known = siting.plan.nodes().find(|(_, n)| n.address == from).map(|(_, n)| n.number);
            known.unwrap_or(0)
        };
        let mut line = self.line.borrow_mut();
        let (sender, message) = match line.open(bytes, seems) {
            Ok(Received { sender: Some(sender), sent }) => (sender, sent),
            Ok(_) => return false,
            Err(Dropped { refused, first }) => {
                if first {
                    warn!(
                        "sites: a word from {from} is dropped: {refused}: {}",
                        shorepath_message_auth::advice(&refused)
                    );
                }
                return false;
            }
        };
        let now = self.now();
        if let Some((&PLACEMENTS, message)) = message.split_first() {
            self.placing.receive(sender, message, now);
            return false;
        }
        if let Some((&AUDIT, message)) = message.split_first() {
            if let Some(auditing) = &self.auditing {
                auditing.receive(message);
            }
            return false;
        }
        match serde_json::from_slice(message) {
            Ok(SiteMessage::Accounts(message)) => self.spread.borrow_mut().receive(sender, &message, now),
            Ok(SiteMessage::SiteHealth(message)) => {
                let received = self.site_health.borrow_mut().receive(sender, &message, now);
                match received {
                    Ok(()) => self.spillover.received(&self.site_health.borrow(), sender, &message, now),
                    Err(e) => debug!("sites: from {from}: {e}"),
                }
            }
            Ok(SiteMessage::KeyOwnership(message)) => {
                self.receive_proof(sender, message);
            }
            Ok(SiteMessage::Recovery(message)) => {
                if let Some(recovering) = &self.recovering {
                    recovering.receive(sender, message, now);
                }
            }
            Err(e) => debug!("sites: from {from}: {e}"),
        }
        true
    }
}
