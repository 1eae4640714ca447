//! Status pages and actions of the admin server.

use super::Sites;
use crate::net::server_table::{LastList, Listing};
use shorepath_accounts::credit::CreditRecord;
use shorepath_recovery::phases::Admits;
use std::rc::Rc;

impl Sites {
    /// Returns the audit status for operators; `None` without an audit log.
    pub fn audit_status(&self) -> Option<String> {
        let settings = self.settings.borrow();
        let name = |number: u32| settings.config.node(number).map_or(number.to_string(), |n| n.name.clone());
        self.audit_recorder.as_ref().map(|a| a.status(name))
    }

    /// Returns where to store discovery's list, and the list stored before the restart, if any; `None` without recovery.
    pub fn last_list(&self) -> Option<(Rc<LastList>, Option<Listing>)> {
        self.recovery.as_ref().map(|r| (r.list_store(), self.last_list.take()))
    }

    /// Returns which requests are admitted during recovery and what the recovery waits for; `None` without recovery.
    pub fn recovery_admission(&self) -> Option<(Admits, Option<&'static str>)> {
        self.recovery.as_ref().map(|r| (r.admits(), r.waits_for(self.now())))
    }

    /// Returns the recovery status for operators; `None` without recovery.
    pub fn recovery_status(&self) -> Option<String> {
        let settings = self.settings.borrow();
        let name = |n: u32| settings.config.node(n).map_or(n.to_string(), |n| n.name.clone());
        self.recovery.as_ref().map(|r| r.status(name, self.now()))
    }

    /// Lets the recovery go on by an operator's decision, and returns what it does next.
    ///
    /// # Errors
    /// Returns why an operator can't release the recovery from its current phase.
    pub fn release_recovery_phase(&self) -> Result<String, String> {
        let recovery = self.recovery.as_ref().ok_or("the file of sites has no (recover ...)")?;
        recovery.release_phase(self.now())
    }

    /// Returns the state of sites, accounts, placements and key ranges as this node knows them, one per line.
    pub fn status(&self) -> String {
        let mut text = format!("own {}\n", self.site_health.borrow().site());
        for (site, state, since) in self.site_health.borrow().states() {
            let ms = (self.now() - since) / 1_000;
            text += &format!("site {site} {state:?} for_ms={ms}\n");
        }
        text += &self.spillover.status(&self.exchange, self.now());
        let now = self.times();
        let standing = if now.unconfirmed_since.is_some() { "not confirmed" } else { "confirmed" };
        let gossip = self.gossip.borrow();
        text += &format!("standing {standing} file={}\n", gossip.registry().newest_number());
        for account in gossip.registry().accounts() {
            let change = gossip.registry().change_at(account, now.unix);
            text += &format!(
                "account {account} {:?} number={} reason={:?}\n",
                change.standing, change.number, change.reason
            );
        }
        text += &self.placements.status();
        text += "\n";
        if let Some(key_leases) = &self.key_leases {
            text += &key_leases.status();
        }
        for (tenant, balance) in self.balances.borrow().iter() {
            let CreditRecord { spent, debt, .. } = balance.current_record();
            text += &format!("credit {tenant} left={} spent={spent} debt={debt}\n", balance.left());
        }
        text
    }
}
