//! Takes part in a fleet that spans several sites.
//!
//! Exchanges datagrams with other nodes, stores what must survive a restart, and applies account standing, credit and load
//! shifting to the scheduler and to clients' requests. The rules themselves are in `shorepath-accounts` and `shorepath-sites`.
//! Inactive when no sites file is configured.

mod accounts;
mod admission;
mod config;
mod persistence;
mod startup;
mod status;
mod transport;

use super::answers::Answers;
use super::auditing::AuditRecorder;
use super::deadlines::Deadlines;
use super::exchange::Exchange;
use super::fleet::Fleet;
use super::key_leases::KeyLeases;
use super::load_shifting::Spillover;
use super::placing::Placements;
use super::recovering::{NodeRecovery, RecoveryInputs, SavedIncarnation};
use super::server_table::Listing;
use super::Job;
pub use admission::{Rejection, RequestAdmission};
pub use config::{SitesError, SitesSettings};
use persistence::store_config_history;
pub use persistence::DiskEvent;
use shorepath_accounts::admission::{CreditBalances, Now};
use shorepath_accounts::credit::{CreditBalance, NodeCredit};
use shorepath_accounts::freshness::Confirmation;
use shorepath_accounts::gossip;
use shorepath_accounts::in_flight::AcceptedRequests;
use shorepath_audit::audit_log::ChangeSource;
use shorepath_audit::version::{ContentHash, Item};
use shorepath_message_auth::channel::Channel;
use shorepath_placements::Writer;
use shorepath_quota::{Micros, NodeId};
use shorepath_scheduler::QuotaShare;
use shorepath_sites::catch_up;
use shorepath_sites::config_history::ConfigHistory;
use shorepath_sites::health::{ConfigMismatch, SiteHealth};
use shorepath_sites::key_ownership::PersistedOwnership;
use shorepath_sites::peer_selection::{routes, selected_peers};
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::Store;
use startup::StartupState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Notify};
use tracing::{info, warn};

/// Longest interval between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between attempts to bind the node's address while another process has it.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Most waiting datagrams that are received before the node reacts to them.
const MAX_DATAGRAM_BATCH: usize = 32;
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Disk space for stored answers, in bytes, where the sites file has no `(recover ...)`.
const DEFAULT_ANSWERS_BYTES: u64 = 64 << 20;
/// Most accepted requests that are remembered.
const MAX_ACCEPTED_ENTRIES: usize = 1 << 18;
/// Microseconds for which an accepted request is remembered; a later repeat counts as new work.
const ACCEPTED_RETENTION: Micros = 600_000_000;
/// Jobs of credit that are recorded on the disk ahead of their use. A crash loses at most these.
const CREDIT_WRITE_AHEAD: u64 = 16;
/// Stored fact that holds the account registry.
const REGISTRY_FACT: &str = "accounts/book";
/// Prefix of the stored facts that hold each tenant's credit.
const CREDIT_FACT_PREFIX: &str = "accounts/purse/";
/// Stored fact that holds the leases of key ranges.
const OWNERSHIP_FACT: &str = "sites/homes";
/// Stored fact that holds the versions of the sites files that were in force.
const CONFIG_HISTORY_FACT: &str = "sites/used";

/// This node as a member of a fleet of sites.
#[derive(Debug)]
pub struct Sites {
    name: String,
    settings: RefCell<SitesSettings>,
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    origin: Instant,
    gossip: RefCell<gossip::Gossip>,
    site_health: RefCell<SiteHealth>,
    config_history: RefCell<ConfigHistory>,
    store: Arc<Store>,
    /// Time at which a failed store may be reopened; `None` while a reopening is in progress.
    reopen_at: Cell<Option<Micros>>,
    /// The current failure of the store was logged.
    store_failure_logged: Cell<bool>,
    channel: RefCell<Channel>,
    accepted: RefCell<AcceptedRequests>,
    balances: RefCell<CreditBalances>,
    confirmation: Cell<Confirmation>,
    placements: Placements,
    /// Audit log of versions and decisions; `None` if the sites file has no `(audit ...)`.
    audit_recorder: Option<Rc<AuditRecorder>>,
    /// Leases of key ranges; `None` if the budgets file has no quotas for them.
    key_leases: Option<Rc<KeyLeases>>,
    /// Key ownership as last stored, and whether a write of it is in progress.
    stored_ownership: RefCell<(PersistedOwnership, bool)>,
    ownership_outgoing: RefCell<Vec<(u32, catch_up::Message)>>,
    ownership_was_reset: Cell<bool>,
    last_seal_at: Cell<Micros>,
    random: RefCell<oorandom::Rand64>,
    group_commit: Arc<GroupCommit>,
    disk_events: mpsc::UnboundedSender<DiskEvent>,
    /// Tenants with a credit record whose write is in progress.
    credit_writes: RefCell<Vec<String>>,
    /// Hash of the account registry that was last written to the disk.
    stored_registry_hash: Cell<u64>,
    applied_shares: RefCell<Vec<QuotaShare>>,
    /// Per log, the last entry that was scanned for requests of closed accounts.
    scanned_entries: RefCell<BTreeMap<Writer, u64>>,
    spillover: Spillover,
    /// Wakes the loop in [`Sites::run`].
    woken: Notify,
    /// Recovery after a loss of power; `None` if the sites file has no `(recover ...)`.
    recovery: Option<NodeRecovery>,
    saved_incarnations: RefCell<Option<mpsc::UnboundedReceiver<SavedIncarnation>>>,
    /// Discovery's list from before the restart, until it is taken.
    last_list: RefCell<Option<Listing>>,
    /// Stored answers; `None` if the sites file has no `(recover ...)`.
    answers: Option<Answers>,
}

fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

impl Sites {
    /// Opens the node's disk and creates the member `name`. The receiver reports finished writes and goes to [`Sites::run`].
    ///
    /// # Errors
    /// Fails if the stored data can't be read or doesn't match the sites file, or if the node is in no site.
    pub fn new(
        name: &str,
        settings: SitesSettings,
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        fleet: Option<&Fleet>,
    ) -> Result<(Rc<Self>, mpsc::UnboundedReceiver<DiskEvent>), SitesError> {
        let StartupState {
            seed,
            now,
            store,
            group_commit,
            config_history,
            gossip,
            balances,
            stored_registry_hash,
            stored_ownership,
        } = startup::open(name, &settings)?;
        let own_number = NodeId::of(name).0;
        let key_leases = fleet.filter(|f| f.has_ownership_quotas()).map(|fleet| {
            let key_leases =
                Rc::new(KeyLeases::new(own_number, &settings.config, &stored_ownership, fleet.clock()));
            fleet.set_key_leases(key_leases.clone());
            key_leases
        });
        let site_health = SiteHealth::new(own_number, &settings.config, seed, now)?;
        let channel =
            Channel::new(own_number, unix_micros() as u64, &settings.config.fleet, Some(&settings.keys));
        let (disk_events, disk_event_receiver) = mpsc::unbounded_channel();
        let (saved_sender, saved_incarnations) = mpsc::unbounded_channel();
        let disk = (store.clone(), group_commit.clone());
        let recovery = startup::open_recovery(name, &settings, &disk, (seed, now), saved_sender)?;
        let last_list = recovery.as_ref().and_then(|r| r.last_list(&store, settings.unix_now()));
        let answers =
            settings.config.recover.as_ref().map(|r| Answers::new(store.clone(), group_commit.clone(), r));
        let audit_recorder = startup::open_audit_recorder(name, &settings, &disk, seed)?;
        let site = site_health.site().to_string();
        let placements =
            startup::open_placements((&site, name), &settings, &disk, (seed, now), disk_events.clone())?;
        let accepted = startup::accepted_requests(&placements, now);
        let spillover = Spillover::new(&exchange, seed, now);
        let sites = Rc::new(Sites {
            name: name.to_string(),
            exchange,
            deadlines,
            origin: Instant::now(),
            gossip: RefCell::new(gossip),
            site_health: RefCell::new(site_health),
            config_history: RefCell::new(config_history),
            store: store.clone(),
            reopen_at: Cell::new(Some(now)),
            store_failure_logged: Cell::new(false),
            channel: RefCell::new(channel),
            accepted: RefCell::new(accepted),
            balances: RefCell::new(balances),
            // Standing is unconfirmed until a majority of the nodes has replied.
            confirmation: Cell::new(Confirmation::new(now)),
            placements,
            audit_recorder,
            key_leases,
            stored_ownership: RefCell::new((stored_ownership, false)),
            ownership_outgoing: RefCell::default(),
            ownership_was_reset: Cell::new(false),
            last_seal_at: Cell::new(now),
            random: RefCell::new(oorandom::Rand64::new(u128::from(seed))),
            group_commit,
            disk_events,
            credit_writes: RefCell::default(),
            stored_registry_hash: Cell::new(stored_registry_hash),
            applied_shares: RefCell::default(),
            scanned_entries: RefCell::default(),
            spillover,
            woken: Notify::new(),
            recovery,
            saved_incarnations: RefCell::new(Some(saved_incarnations)),
            last_list: RefCell::new(last_list),
            answers,
            settings: RefCell::new(settings),
        });
        sites.update_spillover();
        sites.update_placement_peers(now);
        sites.apply_credits();
        sites.update_ownership();
        // Runs before the first client is accepted, so that no refused account starts work.
        sites.apply_shares();
        sites.record_versions(ChangeSource::Start);
        Ok((sites, disk_event_receiver))
    }

    /// Returns the audit log of versions and decisions; `None` if the sites file has no `(audit ...)`.
    pub fn audit_recorder(&self) -> Option<&Rc<AuditRecorder>> {
        self.audit_recorder.as_ref()
    }

    fn record_versions(&self, why: ChangeSource) {
        let Some(audit_recorder) = &self.audit_recorder else { return };
        let settings = self.settings.borrow();
        audit_recorder.record_version(Item::Sites, settings.content, Some(settings.config.version), why);
        let (gossip, content) = (self.gossip.borrow(), |n: u64| ContentHash::of_number(n));
        let registry = gossip.registry();
        audit_recorder.record_version(
            Item::Accounts,
            content(registry.hash()),
            Some(registry.newest_number()),
            why,
        );
    }

    fn now(&self) -> Micros {
        self.settings.borrow().skew.at(self.origin.elapsed().as_micros() as Micros)
    }

    fn times(&self) -> Now {
        Now {
            unix: unix_micros(),
            steady: self.now(),
            unconfirmed_since: self.confirmation.get().unconfirmed_since(),
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        self.settings.borrow().config.node_named(&self.name).map(|n| n.address)
    }

    /// Reads the sites file and the files that it names again, and returns its version.
    ///
    /// # Errors
    /// Fails if a file can't be used; the previous files then stay in use.
    pub fn reload(&self) -> Result<u64, SitesError> {
        let (path, state, skew) = {
            let settings = self.settings.borrow();
            (settings.path.clone(), settings.state.clone(), settings.skew)
        };
        let newer = SitesSettings::read(path, state, &self.name, skew)?;
        newer.check_history(&self.config_history.borrow())?;
        let now = self.now();
        let own_number = NodeId::of(&self.name).0;
        self.site_health.borrow_mut().update_config(&newer.config, now)?;
        store_config_history(&self.store, &mut self.config_history.borrow_mut(), &newer.config);
        {
            let mut gossip = self.gossip.borrow_mut();
            gossip.set_peers(newer.config.nodes().map(|(_, n)| n.number).collect());
            if let Some(accounts_file) = &newer.accounts_file {
                gossip.add_file(accounts_file, now);
            }
        }
        if newer.config.recover != self.settings.borrow().config.recover {
            warn!("sites: (recover ...) has changed; restart the node to apply the change");
        }
        if let Some(recovery) = &self.recovery {
            recovery.set_peers(&selected_peers(&newer.config, own_number));
        }
        let mut balances = self.balances.borrow_mut();
        balances.retain(|tenant, _| newer.config.credits.iter().any(|c| c.tenant == *tenant));
        for credit in
            newer.config.credits.iter().filter_map(|c| newer.config.credit_part(&c.tenant, own_number))
        {
            let part = NodeCredit { total: credit.jobs, reserve: credit.reserve };
            // A new tenant's credit is unknown, so it has none until its standing is confirmed.
            let new = || CreditBalance::restore(part, credit.shrink, CREDIT_WRITE_AHEAD, None);
            balances.entry(credit.tenant).or_insert_with(new).resize(part, credit.shrink);
        }
        drop(balances);
        if let Some(key_leases) = &self.key_leases {
            key_leases.update_config(&newer.config);
        }
        self.channel.borrow_mut().reconfigure(unix_micros() as u64, &newer.config.fleet, Some(&newer.keys));
        let version = newer.config.version;
        self.settings.replace(newer);
        self.update_placement_peers(now);
        self.record_versions(ChangeSource::Operator);
        if let Some(audit_recorder) = &self.audit_recorder {
            let settings = self.settings.borrow();
            audit_recorder.set_peers(&settings.config.nodes().map(|(_, n)| n.number).collect::<Vec<_>>());
        }
        self.apply_account_changes();
        self.woken.notify_one();
        Ok(version)
    }

    /// Sets the peers with which placements are exchanged from the sites file.
    fn update_placement_peers(&self, now: Micros) {
        let config = &self.settings.borrow().config;
        self.placements.set_peers(routes(config, NodeId::of(&self.name).0), config.group, now);
    }

    /// Exchanges messages with the other nodes until this node stops. `disk_events` is the receiver from [`Sites::new`].
    pub async fn run(self: Rc<Self>, mut disk_events: mpsc::UnboundedReceiver<DiskEvent>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        // `run` is called once, so the receiver is still there.
        let mut saved_incarnations =
            self.saved_incarnations.take().unwrap_or_else(|| mpsc::unbounded_channel().1);
        let socket = loop {
            if let Some(address) = self.address() {
                match UdpSocket::bind(address).await {
                    Ok(socket) => break socket,
                    Err(e) => {
                        warn!("sites: can't bind {address}: {e}; another process may still use it, retrying")
                    }
                }
            }
            self.apply_account_changes();
            self.deadlines.after(BIND_RETRY_INTERVAL).await;
        };
        info!("sites: this is {} of {}", self.name, self.site_health.borrow().site());
        match &self.key_leases {
            Some(_) => info!("key ranges: leased; a guarded key is placed by the node that holds its range"),
            None => info!("key ranges: not leased; only the placement history prevents duplicates of guarded requests, so two nodes that receive one at the same time may both place it"),
        }
        // Placement messages and most disk events are frequent; they don't trigger a full tick.
        let (mut changed, mut last_tick) = (true, 0);
        loop {
            let now = self.now();
            if changed || now >= self.due(last_tick, now) {
                last_tick = now;
                self.tick();
            }
            changed = false;
            self.send_outgoing(&socket).await;
            let now = self.now();
            let due = self.placements.due(now).into_iter().fold(self.due(last_tick, now), Micros::min) - now;
            let due = self.audit_recorder.iter().map(|a| a.time_until_due()).fold(due, Micros::min);
            let wait = Duration::from_micros(due.max(1_000) as u64);
            tokio::select! {
                biased;
                Some(event) = disk_events.recv() => changed |= self.on_disk_event(event),
                Some(saved) = saved_incarnations.recv() => {
                    changed = true;
                    if let Some(recovery) = &self.recovery {
                        recovery.on_incarnation_saved(saved, self.now());
                    }
                }
                received = socket.recv_from(&mut buffer) => {
                    // An error reports that an earlier datagram reached a closed port; it is no reason to stop receiving.
                    if let Ok((n, from)) = received {
                        changed |= self.receive(&buffer[..n], from);
                    }
                    // Drains datagrams that are already queued before the node reacts.
                    for _ in 0..MAX_DATAGRAM_BATCH {
                        let Ok((n, from)) = socket.try_recv_from(&mut buffer) else { break };
                        changed |= self.receive(&buffer[..n], from);
                    }
                }
                () = self.woken.notified() => changed = true,
                () = self.deadlines.after(wait) => {}
            }
        }
    }

    /// Returns the time of the next full tick.
    fn due(&self, last_tick: Micros, now: Micros) -> Micros {
        let due = (now + self.gossip.borrow().due(now)).min(self.site_health.borrow().due(now));
        let due = self.placements.reconcile_due().into_iter().fold(due, Micros::min);
        due.min(last_tick + MAX_TICK_INTERVAL.as_micros() as Micros)
    }

    fn update_spillover(&self) {
        self.spillover.tick(&mut self.site_health.borrow_mut(), &self.exchange, self.now());
    }

    fn tick(&self) {
        let now = self.now();
        self.reopen(now);
        self.gossip.borrow_mut().tick(now);
        self.site_health.borrow_mut().tick(now);
        self.seal(now);
        self.update_spillover();
        for changed in self.site_health.borrow_mut().take_changes() {
            info!(
                "site {} {:?} before={:?} why={:?}",
                changed.site, changed.to, changed.from, changed.reason
            );
        }
        for ConfigMismatch { node, version, own } in self.site_health.borrow_mut().take_config_mismatches() {
            match version == own {
                true => warn!("sites: {node} uses another file with version {own} than this node; give the file to use a greater (version ...) and install it on all nodes"),
                false => info!("sites: {node} uses version {version} of the sites file, this node uses {own}; install the newest on all nodes"),
            }
        }
        let mut confirmation = self.confirmation.get();
        let received = self.site_health.borrow().majority_contact_at(now);
        if let Some(unconfirmed) = confirmation.update(received, now) {
            match unconfirmed {
                // Work that starts without confirmation counts against the credit at all sites.
                true => {
                    warn!("accounts: standing can't be confirmed with a majority of the nodes; using credit");
                    self.apply_credits();
                }
                false => info!("accounts: standing is confirmed"),
            }
        }
        self.confirmation.set(confirmation);
        self.reconcile(self.placements.reconcile(unix_micros(), now));
        self.update_ownership();
        self.update_recovery(now);
        self.apply_account_changes();
        self.record_remote_requests();
        if let Some(audit_recorder) = &self.audit_recorder {
            self.record_versions(ChangeSource::Peers);
            audit_recorder.tick();
        }
    }

    /// Advances the recovery after a loss of power.
    fn update_recovery(&self, now: Micros) {
        let Some(recovery) = &self.recovery else { return };
        let inputs = RecoveryInputs {
            has_servers: self.exchange.has_servers(),
            peers_answered: self.placements.peers_answered(),
            exchanges_complete: self.placements.exchanges_complete(),
            log_replaced: self.placements.was_log_replaced(),
            has_epoch: self
                .key_leases
                .as_ref()
                .map_or(self.placements.peers_answered(), |leases| leases.holds_any()),
        };
        let unix_now = self.settings.borrow().unix_now();
        if recovery.tick(inputs, now, unix_now) {
            self.spillover.start_recovery(&self.site_health.borrow(), now);
        }
    }
}
