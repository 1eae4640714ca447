//! Applies changes of accounts and credit, from the accounts files and from the placements of all sites.

use super::persistence::DiskEvent;
use super::{unix_micros, Sites, CREDIT_FACT_PREFIX, REGISTRY_FACT};
use shorepath_accounts::credit::CreditRecord;
use shorepath_accounts::registry::RegistryUpdate;
use shorepath_placements::reconcile;
use shorepath_placements::reconcile::{DebtKind, Decision, Reconciler};
use shorepath_quota::NodeId;
use shorepath_store::Op;
use tracing::{info, warn};

impl Sites {
    /// Applies updates of the account registry: logs them, stores the registry and credit records, and updates the scheduler.
    pub(super) fn apply_account_changes(&self) {
        let now = self.times();
        for update in self.gossip.borrow_mut().take_updates() {
            match update {
                RegistryUpdate::StandingChanged { account, change } => {
                    info!(
                        "account {account} {:?} number={} from={} reason={:?}",
                        change.standing, change.number, change.from, change.reason
                    );
                    let takes_new = !change.standing.rejects_new_work();
                    // Entries that were skipped while the account was open must be scanned again.
                    self.scanned_entries.borrow_mut().clear();
                    let change = reconcile::StandingChange { number: change.number, from: change.from, takes_new };
                    self.reconcile(self.placements.update_reconciler(|r| r.change_standing(&account, change)));
                }
                RegistryUpdate::NewFile { number } => info!("accounts: file {number} is now in use"),
                RegistryUpdate::ConflictingFiles { number } => warn!("accounts: two files with number {number} differ; the stricter standing applies to each account until a file with a greater number is installed"),
                other => warn!("accounts: an accounts file does not apply in full: {other:?}"),
            }
        }
        {
            let gossip = self.gossip.borrow();
            let registry = gossip.registry();
            if registry.hash() != self.stored_registry_hash.get() {
                self.stored_registry_hash.set(registry.hash());
                self.group_commit.commit(vec![Op::set_fact(REGISTRY_FACT, registry)], |result| {
                    if let Err(e) = result {
                        warn!("accounts: the account registry could not be written: {e}");
                    }
                });
            }
            let mut balances = self.balances.borrow_mut();
            for (tenant, balance) in balances.iter_mut() {
                let change = registry.change_at(tenant, now.unix);
                if now.unconfirmed_since.is_none() && balance.current_record() != CreditRecord::default() {
                    let debt = balance.confirmed(&change);
                    if debt > 0 {
                        warn!("account {tenant}: {debt} jobs were started after it was closed and are charged as debt");
                    }
                }
                let mut credit_writes = self.credit_writes.borrow_mut();
                if !self.store.accepts_commits() {
                    balance.write_failed();
                } else if let Some(record) =
                    balance.record_to_write().filter(|_| !credit_writes.contains(tenant))
                {
                    credit_writes.push(tenant.clone());
                    let (disk_events, tenant) = (self.disk_events.clone(), tenant.clone());
                    self.group_commit.commit(
                        vec![Op::set_fact(format!("{CREDIT_FACT_PREFIX}{tenant}"), &record)],
                        move |result| {
                            // The receiver is dropped when the node stops.
                            let _ = disk_events.send(DiskEvent::Credit(tenant, record, result));
                        },
                    );
                }
            }
        }
        self.apply_shares();
    }

    /// Passes each tenant's credit to the reconciler, which counts its use over all sites.
    pub(super) fn apply_credits(&self) {
        let credits = self.settings.borrow().config.credits.clone();
        for credit in credits {
            let set_credit = |r: &mut Reconciler| r.set_credit(&credit.tenant, credit.jobs, unix_micros());
            self.reconcile(self.placements.update_reconciler(set_credit));
        }
    }

    /// Logs decisions of the reconciler and charges debts to the credit balances.
    pub(super) fn reconcile(&self, decisions: Vec<Decision>) {
        for decision in decisions {
            match &decision {
                Decision::Violation(violation) => warn!("placements: a guarded job may have run more than once: {violation:?}"),
                Decision::Debt { tenant, kind: DebtKind::Credit, jobs } => {
                    warn!("account {tenant}: {jobs} jobs were started beyond its credit, over all sites");
                    let share = self.credit_share(tenant, *jobs);
                    if let Some(balance) = self.balances.borrow_mut().get_mut(tenant) {
                        balance.add_debt(share);
                    }
                }
                Decision::Standing { tenant, number, awareness, writer, entry } => warn!(
                    "account {tenant}: work was started after file {number} closed it: {awareness:?} at {}/{} entry={entry}",
                    writer.site, writer.node
                ),
                other => info!("placements: the logs of all sites show: {other:?}"),
            }
        }
    }

    /// Returns this node's share of a debt of `jobs`, in proportion to its share of the credit, rounded up.
    pub(super) fn credit_share(&self, tenant: &str, jobs: u64) -> u64 {
        let config = &self.settings.borrow().config;
        let total_jobs = config.credits.iter().find(|c| c.tenant == tenant).map_or(0, |c| c.jobs);
        let own_jobs = config.credit_part(tenant, NodeId::of(&self.name).0).map_or(0, |c| c.jobs);
        (u128::from(jobs) * u128::from(own_jobs)).div_ceil(u128::from(total_jobs.max(1))) as u64
    }
}
