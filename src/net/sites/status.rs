//! What operators see and do at the admin server.

use super::Sites;
use crate::net::server_table::{LastList, Listing};
use shorepath_accounts::credit::CreditRecord;
use shorepath_recovery::phases::Admits;
use std::rc::Rc;

impl Sites {
    /// Where this node's record and others' versions stand, for operators; nothing where it is not switched on.
    pub fn audit_status(&self) -> Option<String> {
        let siting = self.siting.borrow();
        let name = |number: u32| siting.plan.node(number).map_or(number.to_string(), |n| n.name.clone());
        self.auditing.as_ref().map(|a| a.status(name))
    }

    /// Where discovery's list is noted on the way back, and the one that the disk has to begin with.
    pub fn last_list(&self) -> Option<(Rc<LastList>, Option<Listing>)> {
        self.recovering.as_ref().map(|r| (r.list(), self.last_list.take()))
    }

    /// What may be served on the way back, and what that waits for; nothing where no way back is switched on.
    pub fn recovery_admission(&self) -> Option<(Admits, Option<&'static str>)> {
        self.recovering.as_ref().map(|r| (r.admits(), r.waits_for(self.now())))
    }

    /// The way back, for operators: a line each.
    pub fn recovery_status(&self) -> Option<String> {
        let siting = self.siting.borrow();
        let name = |n: u32| siting.plan.node(n).map_or(n.to_string(), |n| n.name.clone());
        self.recovering.as_ref().map(|r| r.status(name, self.now()))
    }

    /// An operator lets the way back go on.
    ///
    /// # Errors
    /// Nobody can, and why.
    pub fn release(&self) -> Result<String, String> {
        let recovering = self.recovering.as_ref().ok_or("the file of sites has no (recover ...)")?;
        recovering.release(self.now())
    }

    /// Where sites stand as this node sees them, for operators: a line each.
    pub fn status(&self) -> String {
        let mut text = format!("own {}\n", self.site_health.borrow().site());
        for (site, seen, since) in self.site_health.borrow().states() {
            let ms = (self.now() - since) / 1_000;
            text += &format!("site {site} {seen:?} for_ms={ms}\n");
        }
        text += &self.spillover.status(&self.exchange, self.now());
        let now = self.times();
        let standing = if now.unconfirmed_since.is_some() { "not confirmed" } else { "confirmed" };
        let spread = self.spread.borrow();
        text += &format!("standing {standing} file={}\n", spread.registry().newest_number());
        for account in spread.registry().accounts() {
            let change = spread.registry().change_at(account, now.unix);
            text += &format!(
                "account {account} {:?} number={} reason={:?}\n",
                change.standing, change.number, change.reason
            );
        }
        text += &self.placing.status();
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
