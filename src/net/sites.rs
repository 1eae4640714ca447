//! This node's place in a fleet of sites: datagrams to and from the others' nodes, what is kept on the disk, and what follows for the
//! module and for clients. Who may begin what is decided in `shorepath-accounts` and `shorepath-sites`; off where the operator
//! names no file of sites.

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
use persistence::uses;
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
use startup::Opened;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Notify};
use tracing::{info, warn};

/// It looks at what was taken at least this often.
const LOOK: Duration = Duration::from_millis(250);
/// How often it tries for its address while another process has it.
const BIND: Duration = Duration::from_millis(200);
/// So many datagrams that wait are heard before what follows from them is done.
const AT_ONCE: usize = 32;
/// The largest datagram, in bytes.
const LARGEST: usize = 64 * 1024;
/// Final answers hold this much of the disk at most, in bytes.
const ANSWERS: u64 = 64 << 20;
/// What was taken is remembered in this many entries, for this long: a client that repeats later begins something new.
const TAKEN: usize = 1 << 18;
/// See [`TAKEN`].
const TAKEN_FOR: Micros = 600_000_000;
/// Credit that is written ahead at once: so many jobs a crash may cost.
const CHUNK: u64 = 16;
/// The fact that the book of accounts is kept as, and what the purses' begin with.
const BOOK: &str = "accounts/book";
const CREDIT_BALANCE: &str = "accounts/purse/";
/// The fact that leases of homes are kept as.
const KEY_OWNERSHIP: &str = "sites/homes";
/// The fact that tells of files of sites that were in force.
const USED: &str = "sites/used";

/// This node among the sites.
#[derive(Debug)]
pub struct Sites {
    name: String,
    siting: RefCell<SitesSettings>,
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    origin: Instant,
    spread: RefCell<gossip::Gossip>,
    site_health: RefCell<SiteHealth>,
    /// Files of sites that were in force, as the disk has it.
    used: RefCell<ConfigHistory>,
    store: Arc<Store>,
    /// The store takes nothing: when to open it again; none while that is on its way.
    reopens: Cell<Option<Micros>>,
    /// That was told.
    reopens_notified: Cell<bool>,
    line: RefCell<Channel>,
    taken: RefCell<AcceptedRequests>,
    balances: RefCell<CreditBalances>,
    confirmation: Cell<Confirmation>,
    placing: Placements,
    /// What is written down of versions and decisions, where the file says so.
    auditing: Option<Rc<AuditRecorder>>,
    /// Who is home to keys, where the fleet's budgets say.
    key_leases: Option<Rc<KeyLeases>>,
    /// What the disk has of homes, what is on its way there, and what is to be said of them.
    ownership_kept: RefCell<(PersistedOwnership, bool)>,
    ownership_outgoing: RefCell<Vec<(u32, catch_up::Message)>>,
    ownership_reset: Cell<bool>,
    /// When it last looked what may be sealed.
    sealed_at: Cell<Micros>,
    chance: RefCell<oorandom::Rand64>,
    group_commit: Arc<GroupCommit>,
    writes: mpsc::UnboundedSender<DiskEvent>,
    /// Purses of which a note is on its way to the disk.
    writing: RefCell<Vec<String>>,
    /// What the disk had of the book when it was last written.
    kept: Cell<u64>,
    notified: RefCell<Vec<QuotaShare>>,
    /// Up to where each log was looked at for what other nodes took of accounts that bar new work.
    looked: RefCell<BTreeMap<Writer, u64>>,
    spillover: Spillover,
    /// There is something new to say.
    woken: Notify,
    /// The way back from a loss of power, and what the disk has done of it.
    recovering: Option<NodeRecovery>,
    claimed: RefCell<Option<mpsc::UnboundedReceiver<SavedIncarnation>>>,
    /// The list that the disk has, to begin with.
    last_list: RefCell<Option<Listing>>,
    /// Final answers that are kept, where the way back is switched on.
    answers: Option<Answers>,
}

fn unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

impl Sites {
    /// Take part as the node of that name; and what tells of its disk, for [`Sites::run`].
    pub fn new(
        name: &str,
        siting: SitesSettings,
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        fleet: Option<&Fleet>,
    ) -> Result<(Rc<Self>, mpsc::UnboundedReceiver<DiskEvent>), SitesError> {
        let Opened { chance, now, store, group_commit, used, spread, balances, kept, ownership_kept } =
            startup::open(name, &siting)?;
        let me = NodeId::of(name).0;
        let key_leases = fleet.filter(|f| f.has_ownership_quotas()).map(|fleet| {
            let key_leases = Rc::new(KeyLeases::new(me, &siting.plan, &ownership_kept, fleet.clock()));
            fleet.set_key_leases(key_leases.clone());
            key_leases
        });
        let site_health = SiteHealth::new(me, &siting.plan, chance, now)?;
        let line = Channel::new(me, unix() as u64, &siting.plan.fleet, Some(&siting.keys));
        let (writes, written) = mpsc::unbounded_channel();
        let (claims, claimed) = mpsc::unbounded_channel();
        let disk = (store.clone(), group_commit.clone());
        let recovering = startup::recovering(name, &siting, &disk, (chance, now), claims)?;
        let last_list = recovering.as_ref().and_then(|r| r.last_list(&store, siting.wall()));
        let answers =
            siting.plan.recover.as_ref().map(|r| Answers::new(store.clone(), group_commit.clone(), r));
        let auditing = startup::auditing(name, &siting, &disk, chance)?;
        let site = site_health.site().to_string();
        let placing = startup::placing((&site, name), &siting, &disk, (chance, now), writes.clone())?;
        let taken = startup::taken(&placing, now);
        let spillover = Spillover::new(&exchange, chance, now);
        let sites = Rc::new(Sites {
            name: name.to_string(),
            exchange,
            deadlines,
            origin: Instant::now(),
            spread: RefCell::new(spread),
            site_health: RefCell::new(site_health),
            used: RefCell::new(used),
            store: store.clone(),
            reopens: Cell::new(Some(now)),
            reopens_notified: Cell::new(false),
            line: RefCell::new(line),
            taken: RefCell::new(taken),
            balances: RefCell::new(balances),
            // Until it has heard the others nothing is confirmed.
            confirmation: Cell::new(Confirmation::new(now)),
            placing,
            auditing,
            key_leases,
            ownership_kept: RefCell::new((ownership_kept, false)),
            ownership_outgoing: RefCell::default(),
            ownership_reset: Cell::new(false),
            sealed_at: Cell::new(now),
            chance: RefCell::new(oorandom::Rand64::new(u128::from(chance))),
            group_commit,
            writes,
            writing: RefCell::default(),
            kept: Cell::new(kept),
            notified: RefCell::default(),
            looked: RefCell::default(),
            spillover,
            woken: Notify::new(),
            recovering,
            claimed: RefCell::new(Some(claimed)),
            last_list: RefCell::new(last_list),
            answers,
            siting: RefCell::new(siting),
        });
        sites.lend();
        sites.meet(now);
        sites.credit();
        sites.update_ownership();
        // Before the first client: nothing is begun that is barred.
        sites.hold();
        sites.audit(ChangeSource::Start);
        Ok((sites, written))
    }

    /// What is written down of versions and decisions, where the file says so.
    pub fn audit_recorder(&self) -> Option<&Rc<AuditRecorder>> {
        self.auditing.as_ref()
    }

    fn audit(&self, why: ChangeSource) {
        let Some(auditing) = &self.auditing else { return };
        let siting = self.siting.borrow();
        auditing.record_version(Item::Sites, siting.content, Some(siting.plan.version), why);
        let (spread, content) = (self.spread.borrow(), |n: u64| ContentHash::of_number(n));
        let book = spread.registry();
        auditing.record_version(Item::Accounts, content(book.hash()), Some(book.newest_number()), why);
    }

    fn now(&self) -> Micros {
        self.siting.borrow().skew.at(self.origin.elapsed().as_micros() as Micros)
    }

    fn times(&self) -> Now {
        Now {
            unix: unix(),
            steady: self.now(),
            unconfirmed_since: self.confirmation.get().unconfirmed_since(),
        }
    }

    fn address(&self) -> Option<SocketAddr> {
        self.siting.borrow().plan.node_named(&self.name).map(|n| n.address)
    }

    /// Read the files again. Ones that can't be used change nothing.
    pub fn reload(&self) -> Result<u64, SitesError> {
        let (path, state, skew) = {
            let siting = self.siting.borrow();
            (siting.path.clone(), siting.state.clone(), siting.skew)
        };
        let newer = SitesSettings::read(path, state, &self.name, skew)?;
        newer.may_hold(&self.used.borrow())?;
        let now = self.now();
        let me = NodeId::of(&self.name).0;
        self.site_health.borrow_mut().update_config(&newer.plan, now)?;
        uses(&self.store, &mut self.used.borrow_mut(), &newer.plan);
        {
            let mut spread = self.spread.borrow_mut();
            spread.set_peers(newer.plan.nodes().map(|(_, n)| n.number).collect());
            if let Some(accounts_file) = &newer.accounts_file {
                spread.add_file(accounts_file, now);
            }
        }
        if newer.plan.recover != self.siting.borrow().plan.recover {
            warn!("sites: a restart is needed for what has changed in (recover)");
        }
        if let Some(recovering) = &self.recovering {
            recovering.meet(&selected_peers(&newer.plan, me));
        }
        let mut balances = self.balances.borrow_mut();
        balances.retain(|tenant, _| newer.plan.credits.iter().any(|c| c.tenant == *tenant));
        for credit in newer.plan.credits.iter().filter_map(|c| newer.plan.credit_part(&c.tenant, me)) {
            let part = NodeCredit { total: credit.jobs, reserve: credit.reserve };
            // What a tenant that had none begins with is not known: nothing, until its standing is confirmed.
            let new = || CreditBalance::restore(part, credit.shrink, CHUNK, None);
            balances.entry(credit.tenant).or_insert_with(new).resize(part, credit.shrink);
        }
        drop(balances);
        if let Some(key_leases) = &self.key_leases {
            key_leases.replan(&newer.plan);
        }
        self.line.borrow_mut().set(unix() as u64, &newer.plan.fleet, Some(&newer.keys));
        let version = newer.plan.version;
        self.siting.replace(newer);
        self.meet(now);
        self.audit(ChangeSource::Operator);
        if let Some(auditing) = &self.auditing {
            let siting = self.siting.borrow();
            auditing.meet(&siting.plan.nodes().map(|(_, n)| n.number).collect::<Vec<_>>());
        }
        self.settle();
        self.woken.notify_one();
        Ok(version)
    }

    /// Exchange placements with whom the file says.
    fn meet(&self, now: Micros) {
        let plan = &self.siting.borrow().plan;
        self.placing.meet(routes(plan, NodeId::of(&self.name).0), plan.group, now);
    }

    /// Take part for as long as the node runs.
    pub async fn run(self: Rc<Self>, mut written: mpsc::UnboundedReceiver<DiskEvent>) {
        let mut buffer = vec![0; LARGEST];
        // Taken once: nobody else follows.
        let mut claimed = self.claimed.take().unwrap_or_else(|| mpsc::unbounded_channel().1);
        let socket = loop {
            if let Some(address) = self.address() {
                match UdpSocket::bind(address).await {
                    Ok(socket) => break socket,
                    Err(e) => warn!("sites: can't have {address}: {e}"),
                }
            }
            self.settle();
            self.deadlines.after(BIND).await;
        };
        info!("sites: this is {} of {}", self.name, self.site_health.borrow().site());
        match &self.key_leases {
            Some(_) => info!("homes: a guarded key is placed by the node that holds its range"),
            None => info!("homes: none; only the history keeps guarded keys from running twice, and two nodes that are asked for one at once may both place it"),
        }
        // Words about placements and what the disk has done come often; all the rest is looked at when it is due, or was heard of.
        let (mut looks, mut looked) = (true, 0);
        loop {
            let now = self.now();
            if looks || now >= self.due(looked, now) {
                looked = now;
                self.pass();
            }
            looks = false;
            self.speak(&socket).await;
            let now = self.now();
            let due = self.placing.due(now).into_iter().fold(self.due(looked, now), Micros::min) - now;
            let due = self.auditing.iter().map(|a| a.quiet()).fold(due, Micros::min);
            let wait = Duration::from_micros(due.max(1_000) as u64);
            tokio::select! {
                biased;
                Some(written) = written.recv() => looks |= self.on_written(written),
                Some(came) = claimed.recv() => {
                    looks = true;
                    if let Some(recovering) = &self.recovering {
                        recovering.claimed(came, self.now());
                    }
                }
                came = socket.recv_from(&mut buffer) => {
                    // An error is somebody's closed port, told late.
                    if let Ok((n, from)) = came {
                        looks |= self.receive(&buffer[..n], from);
                    }
                    // What waits already goes with it.
                    for _ in 0..AT_ONCE {
                        let Ok((n, from)) = socket.try_recv_from(&mut buffer) else { break };
                        looks |= self.receive(&buffer[..n], from);
                    }
                }
                () = self.woken.notified() => looks = true,
                () = self.deadlines.after(wait) => {}
            }
        }
    }

    /// When all but what is written and heard of placements is looked at again.
    fn due(&self, looked: Micros, now: Micros) -> Micros {
        let due = (now + self.spread.borrow().due(now)).min(self.site_health.borrow().due(now));
        let due = self.placing.more().into_iter().fold(due, Micros::min);
        due.min(looked + LOOK.as_micros() as Micros)
    }

    fn lend(&self) {
        self.spillover.pass(&mut self.site_health.borrow_mut(), &self.exchange, self.now());
    }

    fn pass(&self) {
        let now = self.now();
        self.reopen(now);
        self.spread.borrow_mut().tick(now);
        self.site_health.borrow_mut().tick(now);
        self.seal(now);
        self.lend();
        for changed in self.site_health.borrow_mut().take_changes() {
            info!(
                "site {} {:?} before={:?} why={:?}",
                changed.site, changed.to, changed.from, changed.reason
            );
        }
        for ConfigMismatch { node, version, own } in self.site_health.borrow_mut().take_config_mismatches() {
            match version == own {
                true => warn!("sites: {node} goes by another file of version {own} than this node: give the one that is to hold a greater (version ...) and hand it to all nodes"),
                false => info!("sites: {node} goes by version {version} of the file, this node by {own}: hand the newest to all nodes"),
            }
        }
        let mut confirmation = self.confirmation.get();
        let received = self.site_health.borrow().majority_contact_at(now);
        if let Some(alone) = confirmation.update(received, now) {
            match alone {
                // What is begun from now on without confirmation counts against the credit, wherever that is.
                true => {
                    warn!("accounts: standing can't be confirmed, credit is used");
                    self.credit();
                }
                false => info!("accounts: standing is confirmed"),
            }
        }
        self.confirmation.set(confirmation);
        self.reconcile(self.placing.reconcile(unix(), now));
        self.update_ownership();
        self.recover(now);
        self.settle();
        self.running();
        if let Some(auditing) = &self.auditing {
            self.audit(ChangeSource::Peers);
            auditing.pass();
        }
    }

    /// Go on with the way back.
    fn recover(&self, now: Micros) {
        let Some(recovering) = &self.recovering else { return };
        let facts = RecoveryInputs {
            servers: self.exchange.has_servers(),
            asked: self.placing.asked(),
            complete: self.placing.complete(),
            refounded: self.placing.was_refounded(),
            epoch: self.key_leases.as_ref().map_or(self.placing.asked(), |h| h.holds()),
        };
        let wall = self.siting.borrow().wall();
        if recovering.pass(facts, now, wall) {
            self.spillover.cold(&self.site_health.borrow(), now);
        }
    }
}
