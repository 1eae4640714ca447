//! What a node of sites begins with: its disk, and what the disk holds of accounts, keys, placements and recovery.

use super::config::{SitesError, SitesSettings};
use super::persistence::{uses, DiskEvent};
use super::{unix, ANSWERS, BOOK, CHUNK, CREDIT_BALANCE, KEY_OWNERSHIP, TAKEN, TAKEN_FOR, USED};
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

/// The store, and what commits to it.
pub(super) type Disk = (Arc<Store>, Arc<GroupCommit>);

/// The disk of a node, and what it holds.
pub(super) struct Opened {
    /// A number by chance, drawn for this process.
    pub(super) chance: u64,
    /// The time on the steady clock.
    pub(super) now: Micros,
    pub(super) store: Arc<Store>,
    pub(super) group_commit: Arc<GroupCommit>,
    pub(super) used: ConfigHistory,
    pub(super) spread: gossip::Gossip,
    pub(super) balances: CreditBalances,
    /// The hash of the accounts that the disk has.
    pub(super) kept: u64,
    pub(super) ownership_kept: PersistedOwnership,
}

fn unusable(siting: &SitesSettings) -> impl Fn(StoreError) -> SitesError + '_ {
    |source| SitesError::Store { path: siting.state.clone(), source }
}

/// Open the disk of the node of that name, and take what it holds of accounts and keys.
pub(super) fn open(name: &str, siting: &SitesSettings) -> Result<Opened, SitesError> {
    let unusable = unusable(siting);
    let chance = getrandom::u64().map_err(|e| SitesError::System(e.to_string()))?;
    let me = NodeId::of(name).0;
    let now = siting.skew.at(0);
    let answers = siting.plan.recover.as_ref().map_or(ANSWERS, |r| r.remember);
    let store = Arc::new(Store::open(&siting.state, answers).map_err(&unusable)?);
    let mut used = store.fact::<ConfigHistory>(USED).map_err(&unusable)?.unwrap_or_default();
    siting.may_hold(&used)?;
    uses(&store, &mut used, &siting.plan);
    let peers = siting.plan.nodes().map(|(_, n)| n.number).collect();
    let mut spread = gossip::Gossip::new(me, peers, chance, now);
    if let Some(book) = store.fact::<AccountRegistry>(BOOK).map_err(&unusable)? {
        spread.restore(&book);
    }
    let kept = spread.registry().hash();
    if let Some(accounts_file) = &siting.accounts_file {
        spread.add_file(accounts_file, now);
    }
    let balances = balances(siting, &store, me).map_err(&unusable)?;
    let ownership_kept =
        store.fact::<PersistedOwnership>(KEY_OWNERSHIP).map_err(&unusable)?.unwrap_or_default();
    let group_commit = GroupCommit::new(store.clone()).map_err(|e| SitesError::System(e.to_string()))?;
    let group_commit = Arc::new(group_commit);
    Ok(Opened { chance, now, store, group_commit, used, spread, balances, kept, ownership_kept })
}

/// What the disk has of this node's part of each credit.
fn balances(siting: &SitesSettings, store: &Store, me: u32) -> Result<CreditBalances, StoreError> {
    let mut balances = CreditBalances::new();
    for credit in siting.plan.credits.iter().filter_map(|c| siting.plan.credit_part(&c.tenant, me)) {
        let note = store.fact::<CreditRecord>(&format!("{CREDIT_BALANCE}{}", credit.tenant))?;
        let part = NodeCredit { total: credit.jobs, reserve: credit.reserve };
        balances.insert(credit.tenant, CreditBalance::restore(part, credit.shrink, CHUNK, note));
    }
    Ok(balances)
}

/// The way back from a loss of power, where the file of sites switches it on.
pub(super) fn recovering(
    name: &str,
    siting: &SitesSettings,
    (store, group_commit): &Disk,
    (chance, now): (u64, Micros),
    claims: mpsc::UnboundedSender<SavedIncarnation>,
) -> Result<Option<NodeRecovery>, SitesError> {
    let Some(clause) = &siting.plan.recover else { return Ok(None) };
    let unusable = unusable(siting);
    let me = NodeId::of(name).0;
    let disk = (&**store, group_commit.clone());
    let times = (chance, now, siting.wall());
    let recovering = NodeRecovery::open(name, clause, disk, times, claims).map_err(&unusable)?;
    let others = siting.plan.nodes().map(|(_, n)| n.number).filter(|n| *n != me);
    recovering.recall(store, others).map_err(&unusable)?;
    recovering.meet(&selected_peers(&siting.plan, me));
    Ok(Some(recovering))
}

/// The record of versions and decisions, where the file of sites has one.
pub(super) fn auditing(
    name: &str,
    siting: &SitesSettings,
    disk: &Disk,
    chance: u64,
) -> Result<Option<Rc<AuditRecorder>>, SitesError> {
    let Some(audit) = siting.plan.audit else { return Ok(None) };
    let mut key = [0; 16];
    key.copy_from_slice(&siting.keys.code(b"audit")[..16]);
    let node = (name, NodeId::of(name).0, chance);
    let auditing = AuditRecorder::open(disk.clone(), audit, node, key).map_err(unusable(siting))?;
    auditing.meet(&siting.plan.nodes().map(|(_, n)| n.number).collect::<Vec<_>>());
    Ok(Some(auditing))
}

/// The log of placements of the node of that site and name.
pub(super) fn placing(
    node: (&str, &str),
    siting: &SitesSettings,
    (store, group_commit): &Disk,
    (chance, now): (u64, Micros),
    writes: mpsc::UnboundedSender<DiskEvent>,
) -> Result<Placements, SitesError> {
    let times = (chance, now, siting.plan.group);
    let placing = Placements::open(store.clone(), group_commit.clone(), node, times, writes);
    placing.map_err(|source| SitesError::Log { path: siting.state.clone(), source })
}

/// What was taken lately, by what was placed: nobody knows any more whether a key was an idempotency key or a request's id.
pub(super) fn taken(placing: &Placements, now: Micros) -> AcceptedRequests {
    let mut taken = AcceptedRequests::new(TAKEN, TAKEN_FOR);
    placing.taken(unix() - TAKEN_FOR, |tenant, key, at| {
        let keys = [Key::Idempotency(key.to_string()), Key::Request(key.to_string())];
        taken.restore(keys.iter().map(|k| (tenant, k, unix() - at)), now);
    });
    taken
}
