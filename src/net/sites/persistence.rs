//! Writes the node's persistent data to its disk, and recovers when the disk fails.

use super::{unix_micros, Sites, CONFIG_HISTORY_FACT, OWNERSHIP_FACT, REGISTRY_FACT};
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

/// Interval between attempts to reopen a failed store, in microseconds.
const REOPEN_INTERVAL: Micros = 5_000_000;

/// A finished write, or another event of the disk.
#[derive(Debug)]
pub enum DiskEvent {
    /// A tenant's credit record was written, or the write failed.
    Credit(String, CreditRecord, Result<(), Arc<StoreError>>),
    /// A placement that must be stored before its dispatch was written, or the write failed.
    Placed(DispatchId, Result<(), LogError>),
    /// A placement was refused without a write, for the given reason.
    Refused(DispatchId, String),
    /// Deferred placement entries were flushed, or the flush failed.
    Flushed,
    /// Key ownership was written, or the write failed.
    KeyOwnership(PersistedOwnership, Result<(), Arc<StoreError>>),
    /// The failed store was reopened, or could not be.
    Reopened(Result<(), Arc<StoreError>>),
    /// The reopened store accepts writes again, or still fails.
    Resumed(Result<(), Arc<StoreError>>),
}

/// Records the version of the sites file that is in force. Blocks until it is on the disk, which is rare.
pub(super) fn store_config_history(store: &Store, config_history: &mut ConfigHistory, config: &SitesConfig) {
    let before = config_history.clone();
    config_history.record(config);
    if *config_history == before {
        return;
    }
    if let Err(e) = store.commit(&[Op::set_fact(CONFIG_HISTORY_FACT, config_history)]) {
        warn!("sites: could not record that version {} of the sites file is in use, so an older file would be accepted after a restart: {e}", config.version);
    }
}

impl Sites {
    /// Handles an event of the disk. Returns whether a full tick is needed.
    pub(super) fn on_disk_event(&self, event: DiskEvent) -> bool {
        match event {
            DiskEvent::Credit(tenant, record, result) => {
                self.on_credit_written(&tenant, record, result);
                return true;
            }
            DiskEvent::KeyOwnership(persisted, result) => {
                self.on_ownership_written(persisted, result);
                return true;
            }
            DiskEvent::Flushed => self.placements.on_flushed(),
            DiskEvent::Placed(id, result) => self.on_placement_written(id, result),
            DiskEvent::Refused(id, why) => {
                info!("rejecting a guarded job: {why}");
                self.exchange.attempt_recorded(id, false);
            }
            DiskEvent::Reopened(result) => self.on_reopened(result),
            DiskEvent::Resumed(result) => self.on_resumed(result),
        }
        false
    }

    fn on_placement_written(&self, id: DispatchId, result: Result<(), LogError>) {
        if let Err(e) = &result {
            warn!("rejecting a guarded job: {e}");
        }
        let sent = result.is_ok() && self.may_send(id);
        if result.is_ok() && !sent {
            info!(
                "rejecting a guarded job: the lease of its key range ended before the placement was written"
            );
        }
        self.exchange.attempt_recorded(id, sent);
    }

    fn on_ownership_written(&self, persisted: PersistedOwnership, result: Result<(), Arc<StoreError>>) {
        let mut stored = self.stored_ownership.borrow_mut();
        stored.1 = false;
        match result {
            Ok(()) => stored.0 = persisted,
            Err(e) => warn!("key ranges: the key ownership could not be written: {e}"),
        }
    }

    /// Claims key ranges, proves which placements were made in them, and stores the ownership.
    pub(super) fn update_ownership(&self) {
        let Some(key_leases) = &self.key_leases else { return };
        let (now, site_health, settings) = (self.now(), self.site_health.borrow(), self.settings.borrow());
        if self.placements.was_log_replaced() && !self.ownership_was_reset.replace(true) {
            key_leases.reset(&settings.config);
        }
        if site_health.all_nodes_use_config() {
            key_leases.mark_settled();
        }
        let sites = site_health.states().into_iter().map(|(site, seen, since)| (site, (seen, since)));
        key_leases.claim(&settings.config, sites.collect(), now);
        // Before the peers have answered, this node may not know all of its own placements.
        if self.placements.peers_answered() {
            let outgoing_messages = key_leases.prove(
                &settings.config,
                self.placements.own_position(),
                &self.placements.history(),
            );
            self.ownership_outgoing.borrow_mut().extend(outgoing_messages);
        }
        key_leases.log_changes();
        let persisted = key_leases.persisted();
        let mut stored = self.stored_ownership.borrow_mut();
        if persisted != stored.0 && !stored.1 && self.store.accepts_commits() {
            stored.1 = true;
            let disk_events = self.disk_events.clone();
            self.group_commit.commit(vec![Op::set_fact(OWNERSHIP_FACT, &persisted)], move |result| {
                // The receiver is dropped when the node stops.
                let _ = disk_events.send(DiskEvent::KeyOwnership(persisted, result));
            });
        }
    }

    /// Seals placements that are old enough and known at all sites.
    pub(super) fn seal(&self, now: Micros) {
        let (settings, own_number) = (self.settings.borrow(), NodeId::of(&self.name).0);
        let config = &settings.config;
        if now - self.last_seal_at.get() < config.seal / 10 {
            return;
        }
        self.last_seal_at.set(now);
        let mut sites: BTreeMap<String, Vec<u32>> = BTreeMap::new();
        for peer in selected_peers(config, own_number) {
            if let Some(site) = config.site_of_node(peer) {
                sites.entry(site.name.clone()).or_default().push(peer);
            }
        }
        self.placements.seal(&sites, config.seal, unix_micros());
    }

    /// Tries to reopen a failed store, if it is time.
    pub(super) fn reopen(&self, now: Micros) {
        if self.store.accepts_commits() || self.reopen_at.get().is_none_or(|at| now < at) {
            return;
        }
        if !self.store_failure_logged.replace(true) {
            warn!("sites: the disk accepts no writes: guarded requests are rejected, and others are not recorded; free disk space. Retrying every {} s", REOPEN_INTERVAL / 1_000_000);
        }
        self.reopen_at.set(None);
        let disk_events = self.disk_events.clone();
        // The receiver is dropped when the node stops.
        self.group_commit.reopen(move |result| drop(disk_events.send(DiskEvent::Reopened(result))));
    }

    /// Continues from what a reopened store holds, and queues the writes that must precede all others.
    pub(super) fn on_reopened(&self, result: Result<(), Arc<StoreError>>) {
        let now = self.now();
        self.reopen_at.set(Some(now + REOPEN_INTERVAL));
        if let Err(e) = result {
            return debug!("sites: the store can't be reopened: {e}");
        }
        // Another process may have used a newer sites file meanwhile.
        let config_history =
            self.store.fact::<ConfigHistory>(CONFIG_HISTORY_FACT).map(Option::unwrap_or_default);
        let mut config_history = match config_history
            .map(|config_history| (self.settings.borrow().check_history(&config_history), config_history))
        {
            Ok((Ok(()), config_history)) => config_history,
            Ok((Err(e), _)) => return warn!("sites: the reopened store is not used: {e}"),
            Err(e) => return warn!("sites: the reopened store is not used: {e}"),
        };
        let mut ops = match self.placements.recover(now) {
            Ok(ops) => ops,
            Err(e) => {
                return warn!(
                    "placements: the reopened store is not used: {e}: {}",
                    shorepath_message_auth::advice(&e)
                )
            }
        };
        config_history.record(&self.settings.borrow().config);
        ops.push(Op::set_fact(CONFIG_HISTORY_FACT, &config_history));
        ops.push(Op::set_fact(REGISTRY_FACT, self.gossip.borrow().registry()));
        // Makes the next tick write the key ownership again.
        self.stored_ownership.borrow_mut().0 = PersistedOwnership::default();
        self.reopen_at.set(None);
        let disk_events = self.disk_events.clone();
        // The receiver is dropped when the node stops.
        self.group_commit.resume(ops, move |result| drop(disk_events.send(DiskEvent::Resumed(result))));
    }

    pub(super) fn on_resumed(&self, result: Result<(), Arc<StoreError>>) {
        self.reopen_at.set(Some(self.now() + REOPEN_INTERVAL));
        match result {
            Ok(()) => {
                self.store_failure_logged.set(false);
                info!("sites: the disk accepts writes again");
            }
            Err(e) => debug!("sites: the reopened store still accepts no writes: {e}"),
        }
    }

    pub(super) fn on_credit_written(
        &self,
        tenant: &str,
        record: CreditRecord,
        result: Result<(), Arc<StoreError>>,
    ) {
        self.credit_writes.borrow_mut().retain(|t| t != tenant);
        if let Some(balance) = self.balances.borrow_mut().get_mut(tenant) {
            match result {
                Ok(()) => balance.record_written(record),
                Err(e) => {
                    balance.write_failed();
                    warn!("account {tenant}: its credit record could not be written: {e}");
                }
            }
        }
    }
}
