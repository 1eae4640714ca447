//! Opens a node's disk and restores the accounts, key ownership, placements and recovery state that it holds.

use super::config::{SitesError, SitesSettings};
use super::persistence::{store_config_history, DiskEvent};
use super::{
    unix_micros, ACCEPTED_RETENTION, CONFIG_HISTORY_FACT, CREDIT_FACT_PREFIX, CREDIT_WRITE_AHEAD,
    DEFAULT_ANSWERS_BYTES, MAX_ACCEPTED_ENTRIES, OWNERSHIP_FACT, REGISTRY_FACT,
};
use crate::net::auditing::AuditRecorder;
use crate::net::placing::Placements;
use crate::net::recovering::{NodeRecovery, SavedIncarnation};
use shorepath_accounts::admission::CreditBalances;
use shorepath_accounts::credit::{CreditBalance, CreditRecord, NodeCredit};
use shorepath_accounts::gossip;
use shorepath_accounts::in_flight::{AcceptedRequests, Key};
use shorepath_accounts::registry::AccountRegistry;
use shorepath_quota::{Micros, NodeId};
use shorepath_sites::config_history::ConfigHistory;
use shorepath_sites::key_ownership::PersistedOwnership;
use shorepath_sites::peer_selection::selected_peers;
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Store, StoreError};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;

/// The store and its group commit.
pub(super) type Disk = (Arc<Store>, Arc<GroupCommit>);

/// A node's opened disk and what was restored from it and from the accounts file.
pub(super) struct StartupState {
    /// Random number of this process.
    pub(super) seed: u64,
    /// Time on the monotonic clock, in microseconds.
    pub(super) now: Micros,
    pub(super) store: Arc<Store>,
    pub(super) group_commit: Arc<GroupCommit>,
    pub(super) config_history: ConfigHistory,
    pub(super) gossip: gossip::Gossip,
    pub(super) balances: CreditBalances,
    /// Hash of the account registry on the disk.
    pub(super) stored_registry_hash: u64,
    pub(super) stored_ownership: PersistedOwnership,
}

/// Returns a function that adds the path of the state folder to an error of the store.
fn store_error_mapper(settings: &SitesSettings) -> impl Fn(StoreError) -> SitesError + '_ {
    |source| SitesError::Store { path: settings.state.clone(), source }
}

/// Opens the store of the node `name` and restores accounts, credit and key ownership.
pub(super) fn open(name: &str, settings: &SitesSettings) -> Result<StartupState, SitesError> {
    let to_sites_error = store_error_mapper(settings);
    let seed = getrandom::u64().map_err(|e| SitesError::System(e.to_string()))?;
    let own_number = NodeId::of(name).0;
    let now = settings.skew.at(0);
    let answers = settings.config.recover.as_ref().map_or(DEFAULT_ANSWERS_BYTES, |r| r.remember);
    let store = Arc::new(Store::open(&settings.state, answers).map_err(&to_sites_error)?);
    let mut config_history =
        store.fact::<ConfigHistory>(CONFIG_HISTORY_FACT).map_err(&to_sites_error)?.unwrap_or_default();
    settings.check_history(&config_history)?;
    store_config_history(&store, &mut config_history, &settings.config);
    let peers = settings.config.nodes().map(|(_, n)| n.number).collect();
    let mut gossip = gossip::Gossip::new(own_number, peers, seed, now);
    if let Some(registry) = store.fact::<AccountRegistry>(REGISTRY_FACT).map_err(&to_sites_error)? {
        gossip.restore(&registry);
    }
    let stored_registry_hash = gossip.registry().hash();
    if let Some(accounts_file) = &settings.accounts_file {
        gossip.add_file(accounts_file, now);
    }
    let balances = balances(settings, &store, own_number).map_err(&to_sites_error)?;
    let stored_ownership =
        store.fact::<PersistedOwnership>(OWNERSHIP_FACT).map_err(&to_sites_error)?.unwrap_or_default();
    let group_commit = GroupCommit::new(store.clone()).map_err(|e| SitesError::System(e.to_string()))?;
    let group_commit = Arc::new(group_commit);
    Ok(StartupState {
        seed,
        now,
        store,
        group_commit,
        config_history,
        gossip,
        balances,
        stored_registry_hash,
        stored_ownership,
    })
}

/// Restores this node's share of each tenant's credit.
fn balances(settings: &SitesSettings, store: &Store, own_number: u32) -> Result<CreditBalances, StoreError> {
    let mut balances = CreditBalances::new();
    for credit in
        settings.config.credits.iter().filter_map(|c| settings.config.credit_part(&c.tenant, own_number))
    {
        let record = store.fact::<CreditRecord>(&format!("{CREDIT_FACT_PREFIX}{}", credit.tenant))?;
        let part = NodeCredit { total: credit.jobs, reserve: credit.reserve };
        balances
            .insert(credit.tenant, CreditBalance::restore(part, credit.shrink, CREDIT_WRITE_AHEAD, record));
    }
    Ok(balances)
}

/// Opens the recovery after a loss of power; `None` if the sites file has no `(recover ...)`.
pub(super) fn open_recovery(
    name: &str,
    settings: &SitesSettings,
    (store, group_commit): &Disk,
    (seed, now): (u64, Micros),
    saved_sender: mpsc::UnboundedSender<SavedIncarnation>,
) -> Result<Option<NodeRecovery>, SitesError> {
    let Some(clause) = &settings.config.recover else { return Ok(None) };
    let to_sites_error = store_error_mapper(settings);
    let own_number = NodeId::of(name).0;
    let disk = (&**store, group_commit.clone());
    let times = (seed, now, settings.unix_now());
    let recovery = NodeRecovery::open(name, clause, disk, times, saved_sender).map_err(&to_sites_error)?;
    let others = settings.config.nodes().map(|(_, n)| n.number).filter(|n| *n != own_number);
    recovery.load_incarnations(store, others).map_err(&to_sites_error)?;
    recovery.set_peers(&selected_peers(&settings.config, own_number));
    Ok(Some(recovery))
}

/// Opens the audit log; `None` if the sites file has no `(audit ...)`.
pub(super) fn open_audit_recorder(
    name: &str,
    settings: &SitesSettings,
    disk: &Disk,
    seed: u64,
) -> Result<Option<Rc<AuditRecorder>>, SitesError> {
    let Some(audit) = settings.config.audit else { return Ok(None) };
    let mut sampling_key = [0; 16];
    sampling_key.copy_from_slice(&settings.keys.mac(b"audit")[..16]);
    let node = (name, NodeId::of(name).0, seed);
    let audit_recorder =
        AuditRecorder::open(disk.clone(), audit, node, sampling_key).map_err(store_error_mapper(settings))?;
    audit_recorder.set_peers(&settings.config.nodes().map(|(_, n)| n.number).collect::<Vec<_>>());
    Ok(Some(audit_recorder))
}

/// Opens the placement log of the node with the given site and name.
pub(super) fn open_placements(
    node: (&str, &str),
    settings: &SitesSettings,
    (store, group_commit): &Disk,
    (seed, now): (u64, Micros),
    disk_events: mpsc::UnboundedSender<DiskEvent>,
) -> Result<Placements, SitesError> {
    let times = (seed, now, settings.config.group);
    let placements = Placements::open(store.clone(), group_commit.clone(), node, times, disk_events);
    placements.map_err(|source| SitesError::Log { path: settings.state.clone(), source })
}

/// Restores the recently accepted requests from the placement log, whose entries don't record whether a key is an idempotency
/// key or a request id.
pub(super) fn accepted_requests(placements: &Placements, now: Micros) -> AcceptedRequests {
    let mut accepted = AcceptedRequests::new(MAX_ACCEPTED_ENTRIES, ACCEPTED_RETENTION);
    placements.for_each_accepted(unix_micros() - ACCEPTED_RETENTION, |tenant, key, at| {
        let keys = [Key::Idempotency(key.to_string()), Key::Request(key.to_string())];
        accepted.restore(keys.iter().map(|k| (tenant, k, unix_micros() - at)), now);
    });
    accepted
}
