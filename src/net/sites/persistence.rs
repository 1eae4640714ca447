//! What a node of sites writes to its disk, and what happens when the disk takes nothing.

use super::{unix, Sites, BOOK, KEY_OWNERSHIP, USED};
use crate::net::exchange::{DispatchId, Recorder};
use shorepath_accounts::credit::CreditRecord;
use shorepath_placements::log::LogError;
use shorepath_quota::{Micros, NodeId};
use shorepath_sites::config::SitesConfig;
use shorepath_sites::config_history::ConfigHistory;
use shorepath_sites::key_ownership::PersistedOwnership;
use shorepath_sites::peer_selection::selected_peers;
use shorepath_store::{Op, Store, StoreError};
use std::collections::BTreeMap;
use std::sync::Arc;
use tracing::{debug, info, warn};

/// A disk that takes nothing is tried again so often.
const REOPEN: Micros = 5_000_000;

/// What the disk has done.
#[derive(Debug)]
pub enum DiskEvent {
    /// A note of a tenant's credit.
    Credit(String, CreditRecord, Result<(), Arc<StoreError>>),
    /// A placement that had to be there before it is sent.
    Placed(DispatchId, Result<(), LogError>),
    /// Nothing: it may not be placed now.
    Refused(DispatchId, String),
    /// What waited of placements is there, or never will be.
    Flushed,
    /// What is kept of homes.
    KeyOwnership(PersistedOwnership, Result<(), Arc<StoreError>>),
    /// The store was opened again after it took nothing any more, or not.
    Reopened(Result<(), Arc<StoreError>>),
    /// It takes what is written again, or not.
    Resumed(Result<(), Arc<StoreError>>),
}

/// A file of sites holds from now on. That is on the disk before anybody is told; it waits for it, which is rare.
pub(super) fn uses(store: &Store, used: &mut ConfigHistory, plan: &SitesConfig) {
    let before = used.clone();
    used.record(plan);
    if *used == before {
        return;
    }
    if let Err(e) = store.commit(&[Op::remember(USED, used)]) {
        warn!("sites: that file {} holds is not on the disk, so an older one would be taken after a restart: {e}", plan.version);
    }
}

impl Sites {
    /// The disk has done something; whether the rest is to be looked at again.
    pub(super) fn on_written(&self, written: DiskEvent) -> bool {
        match written {
            DiskEvent::Credit(tenant, note, done) => {
                self.wrote(&tenant, note, done);
                return true;
            }
            DiskEvent::KeyOwnership(kept, done) => {
                self.on_ownership_written(kept, done);
                return true;
            }
            DiskEvent::Flushed => self.placing.flushed(),
            DiskEvent::Placed(id, done) => self.on_placement_written(id, done),
            DiskEvent::Refused(id, why) => {
                info!("a guarded job is denied: {why}");
                self.exchange.recorded(id, false);
            }
            DiskEvent::Reopened(done) => self.reopened(done),
            DiskEvent::Resumed(done) => self.resumed(done),
        }
        false
    }

    fn on_placement_written(&self, id: DispatchId, done: Result<(), LogError>) {
        if let Err(e) = &done {
            warn!("a guarded job is denied: {e}");
        }
        let sent = done.is_ok() && self.may_send(id);
        if done.is_ok() && !sent {
            info!("a guarded job is denied: its home was not held until it was written down");
        }
        self.exchange.recorded(id, sent);
    }

    fn on_ownership_written(&self, kept: PersistedOwnership, done: Result<(), Arc<StoreError>>) {
        let mut on_disk = self.ownership_kept.borrow_mut();
        on_disk.1 = false;
        match done {
            Ok(()) => on_disk.0 = kept,
            Err(e) => warn!("homes: what is held is not on the disk: {e}"),
        }
    }

    /// Claim ranges, prove what was placed in them, and keep what is known of them.
    pub(super) fn update_ownership(&self) {
        let Some(key_leases) = &self.key_leases else { return };
        let (now, site_health, siting) = (self.now(), self.site_health.borrow(), self.siting.borrow());
        if self.placing.was_refounded() && !self.ownership_reset.replace(true) {
            key_leases.forget(&siting.plan);
        }
        if site_health.all_nodes_use_config() {
            key_leases.settled();
        }
        let sites = site_health.states().into_iter().map(|(site, seen, since)| (site, (seen, since)));
        key_leases.claim(&siting.plan, sites.collect(), now);
        // Until then not all is known that this node itself has placed.
        if self.placing.asked() {
            let outgoing_messages =
                key_leases.prove(&siting.plan, self.placing.own(), &self.placing.history());
            self.ownership_outgoing.borrow_mut().extend(outgoing_messages);
        }
        key_leases.report();
        let kept = key_leases.kept();
        let mut on_disk = self.ownership_kept.borrow_mut();
        if kept != on_disk.0 && !on_disk.1 && self.store.takes() {
            on_disk.1 = true;
            let writes = self.writes.clone();
            self.group_commit.commit(vec![Op::remember(KEY_OWNERSHIP, &kept)], move |done| {
                // Nobody hears it where the node ends.
                let _ = writes.send(DiskEvent::KeyOwnership(kept, done));
            });
        }
    }

    /// Drop placements that are old enough and known at all sites.
    pub(super) fn seal(&self, now: Micros) {
        let (siting, me) = (self.siting.borrow(), NodeId::of(&self.name).0);
        let plan = &siting.plan;
        if now - self.sealed_at.get() < plan.seal / 10 {
            return;
        }
        self.sealed_at.set(now);
        let mut sites: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        for peer in selected_peers(plan, me) {
            if let Some(site) = plan.site_of_node(peer) {
                sites.entry(site.name.clone()).or_default().push(peer);
            }
        }
        self.placing.seal(&sites, plan.seal, unix());
    }

    /// See whether a disk that takes nothing does so again.
    pub(super) fn reopen(&self, now: Micros) {
        if self.store.takes() || self.reopens.get().is_none_or(|at| now < at) {
            return;
        }
        if !self.reopens_notified.replace(true) {
            warn!("sites: the disk takes nothing: guarded work is refused and the rest goes unrecorded. Make room; it is tried again every {} s", REOPEN / 1_000_000);
        }
        self.reopens.set(None);
        let writes = self.writes.clone();
        // Nobody hears it where the node ends.
        self.group_commit.reopen(move |done| drop(writes.send(DiskEvent::Reopened(done))));
    }

    /// The store was opened again, and takes nothing yet: go on from what the disk has, and write first what has to be there.
    pub(super) fn reopened(&self, done: Result<(), Arc<StoreError>>) {
        let now = self.now();
        self.reopens.set(Some(now + REOPEN));
        if let Err(e) = done {
            return debug!("sites: the disk still takes nothing: {e}");
        }
        // One that another process wrote meanwhile may have gone by a newer file.
        let used = self.store.fact::<ConfigHistory>(USED).map(Option::unwrap_or_default);
        let mut used = match used.map(|used| (self.siting.borrow().may_hold(&used), used)) {
            Ok((Ok(()), used)) => used,
            Ok((Err(e), _)) => return warn!("sites: the disk is not used: {e}"),
            Err(e) => return warn!("sites: the disk is not used: {e}"),
        };
        let mut ops = match self.placing.recover(now) {
            Ok(ops) => ops,
            Err(e) => {
                return warn!("placements: the disk is not used: {e}: {}", shorepath_message_auth::advice(&e))
            }
        };
        used.record(&self.siting.borrow().plan);
        ops.push(Op::remember(USED, &used));
        ops.push(Op::remember(BOOK, self.spread.borrow().registry()));
        // They are written anew with the next pass.
        self.ownership_kept.borrow_mut().0 = PersistedOwnership::default();
        self.reopens.set(None);
        let writes = self.writes.clone();
        // Nobody hears it where the node ends.
        self.group_commit.resume(ops, move |done| drop(writes.send(DiskEvent::Resumed(done))));
    }

    pub(super) fn resumed(&self, done: Result<(), Arc<StoreError>>) {
        self.reopens.set(Some(self.now() + REOPEN));
        match done {
            Ok(()) => {
                self.reopens_notified.set(false);
                info!("sites: the disk takes what is written again");
            }
            Err(e) => debug!("sites: the disk takes nothing again: {e}"),
        }
    }

    pub(super) fn wrote(&self, tenant: &str, note: CreditRecord, done: Result<(), Arc<StoreError>>) {
        self.writing.borrow_mut().retain(|t| t != tenant);
        if let Some(balance) = self.balances.borrow_mut().get_mut(tenant) {
            match done {
                Ok(()) => balance.record_written(note),
                Err(e) => {
                    balance.write_failed();
                    warn!("account {tenant}: its credit can't be noted: {e}");
                }
            }
        }
    }
}
