//! Accounts and credit: what follows from files of accounts and from what all sites have placed.

use super::persistence::DiskEvent;
use super::{unix, Sites, BOOK, CREDIT_BALANCE};
use shorepath_accounts::credit::CreditRecord;
use shorepath_accounts::registry::RegistryUpdate;
use shorepath_placements::reconcile;
use shorepath_placements::reconcile::{DebtKind, Decision, Reconciler};
use shorepath_quota::NodeId;
use shorepath_store::Op;
use tracing::{info, warn};

impl Sites {
    /// Bring what is kept and what the module is told up to date with what is known.
    pub(super) fn settle(&self) {
        let now = self.times();
        for updates in self.spread.borrow_mut().take_updates() {
            match updates {
                RegistryUpdate::StandingChanged { account, change } => {
                    info!(
                        "account {account} {:?} number={} from={} reason={:?}",
                        change.standing, change.number, change.from, change.reason
                    );
                    let takes_new = !change.standing.rejects_new_work();
                    // What was passed over of it is looked at now.
                    self.looked.borrow_mut().clear();
                    let change = reconcile::StandingChange { number: change.number, from: change.from, takes_new };
                    self.reconcile(self.placing.judge_by(|r| r.change_standing(&account, change)));
                }
                RegistryUpdate::NewFile { number } => info!("accounts: file {number} holds"),
                RegistryUpdate::ConflictingFiles { number } => warn!("accounts: two files of number {number} say different things; the stricter holds for each account until one of a greater number is handed out"),
                other => warn!("accounts: {other:?}"),
            }
        }
        {
            let spread = self.spread.borrow();
            let book = spread.registry();
            if book.hash() != self.kept.get() {
                self.kept.set(book.hash());
                self.group_commit.commit(vec![Op::remember(BOOK, book)], |done| {
                    if let Err(e) = done {
                        warn!("accounts: what is known is not on the disk: {e}");
                    }
                });
            }
            let mut balances = self.balances.borrow_mut();
            for (tenant, balance) in balances.iter_mut() {
                let change = book.change_at(tenant, now.unix);
                if now.unconfirmed_since.is_none() && balance.current_record() != CreditRecord::default() {
                    let owed = balance.confirmed(&change);
                    if owed > 0 {
                        warn!("account {tenant}: {owed} jobs were begun after it was closed, and are owed");
                    }
                }
                let mut writing = self.writing.borrow_mut();
                if !self.store.takes() {
                    balance.write_failed();
                } else if let Some(note) = balance.record_to_write().filter(|_| !writing.contains(tenant)) {
                    writing.push(tenant.clone());
                    let (writes, tenant) = (self.writes.clone(), tenant.clone());
                    self.group_commit.commit(
                        vec![Op::remember(format!("{CREDIT_BALANCE}{tenant}"), &note)],
                        move |done| {
                            // Nobody hears it where the node ends.
                            let _ = writes.send(DiskEvent::Credit(tenant, note, done));
                        },
                    );
                }
            }
        }
        self.hold();
    }

    /// Credits count from now on, over all sites.
    pub(super) fn credit(&self) {
        let credits = self.siting.borrow().plan.credits.clone();
        for credit in credits {
            let reply = |r: &mut Reconciler| r.set_credit(&credit.tenant, credit.jobs, unix());
            self.reconcile(self.placing.judge_by(reply));
        }
    }

    /// What follows from histories.
    pub(super) fn reconcile(&self, decisions: Vec<Decision>) {
        for decision in decisions {
            match &decision {
                Decision::Violation(story) => warn!("placements: a job that must not run twice may have: {story:?}"),
                Decision::Debt { tenant, kind: DebtKind::Credit, jobs } => {
                    warn!("account {tenant}: {jobs} jobs were begun above its credit, over all sites");
                    let share = self.credit_share(tenant, *jobs);
                    if let Some(balance) = self.balances.borrow_mut().get_mut(tenant) {
                        balance.add_debt(share);
                    }
                }
                Decision::Standing { tenant, number, awareness, writer, entry } => warn!(
                    "account {tenant}: work was begun after file {number} closed it: {awareness:?} at {}/{} entry={entry}",
                    writer.site, writer.node
                ),
                other => info!("placements: {other:?}"),
            }
        }
    }

    /// This node's part of a debt, by its part of the credit; rounded up.
    pub(super) fn credit_share(&self, tenant: &str, jobs: u64) -> u64 {
        let plan = &self.siting.borrow().plan;
        let whole = plan.credits.iter().find(|c| c.tenant == tenant).map_or(0, |c| c.jobs);
        let part = plan.credit_part(tenant, NodeId::of(&self.name).0).map_or(0, |c| c.jobs);
        (u128::from(jobs) * u128::from(part)).div_ceil(u128::from(whole.max(1))) as u64
    }
}
