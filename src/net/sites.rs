//! This node's place in a fleet of sites: datagrams to and from the others' nodes, what is kept on the disk, and what follows for the
//! module and for clients. Who may begin what is decided in `shorepath-accounts` and `shorepath-sites`; off where the operator
//! names no file of sites.

use super::answers::{Answers, Keeping};
use super::auditing::Auditing;
use super::deadlines::Deadlines;
use super::exchange::{Attempt, DispatchId, Exchange, Ran, Recorder, ResponseOutcome, Source};
use super::fleet::Fleet;
use super::key_leases::KeyLeases;
use super::load_shifting::Spillover;
use super::placing::Placing;
use super::recovering::{Claimed, Facts, Recovering};
use super::server_table::{LastList, Listing};
use super::Job;
use serde::{Deserialize, Serialize};
use shorepath_accounts::admission::{restrictions, why, CreditBalances, Now, Refusal};
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::credit::{CreditBalance, Note, Part as CreditPart};
use shorepath_accounts::freshness::Confirmation;
use shorepath_accounts::in_flight::{Key, Taken};
use shorepath_accounts::registry::{Book, RegistryUpdate};
use shorepath_accounts::{config as accounts, gossip, Change};
use shorepath_audit::audit_log::Why;
use shorepath_audit::version::{Content, Item};
use shorepath_message_auth::channel::{Channel, Dropped, Received};
use shorepath_message_auth::keyring::{FileCodeError, Keys, KeysError};
use shorepath_placements::idempotency_index::Known;
use shorepath_placements::log::LogError;
use shorepath_placements::reconcile::{self, Decision, Kind, Reconciler};
use shorepath_placements::{self as placements, Placement, Timed, Writer};
use shorepath_quota::{ClockSkew, Micros, NodeId};
use shorepath_recovery::incarnations;
use shorepath_recovery::phases::Admits;
use shorepath_scheduler::{ClassId, WorkState};
use shorepath_scheduler::{QuotaKind, QuotaShare};
use shorepath_sites::config::Plan;
use shorepath_sites::config_history::{OldFileError, Used};
use shorepath_sites::health::{self, Differs, NoSiteError, SiteHealth};
use shorepath_sites::key_ownership::Kept;
use shorepath_sites::peer_selection::{routes, selected_peers};
use shorepath_sites::{catch_up, Seen};
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Op, Store, StoreError};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Notify};
use tracing::{debug, info, warn};

/// It looks at what was taken at least this often.
const LOOK: Duration = Duration::from_millis(250);
/// How often it tries for its address while another process has it.
const BIND: Duration = Duration::from_millis(200);
/// A disk that takes nothing is tried again so often.
const REOPEN: Micros = 5_000_000;
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
/// So many entries of logs are looked at in a pass for what others took of accounts that are closing.
const LOOKED: usize = 8_192;
/// Credit that is written ahead at once: so many jobs a crash may cost.
const CHUNK: u64 = 16;
/// The fact that the book of accounts is kept as, and what the purses' begin with.
const BOOK: &str = "accounts/book";
const CREDIT_BALANCE: &str = "accounts/purse/";

/// The fact that leases of homes are kept as.
const KEY_OWNERSHIP: &str = "sites/homes";
/// The fact that tells of files of sites that were in force.
const USED: &str = "sites/used";

/// A word about placements begins with this; the others with JSON.
const PLACEMENTS: u8 = b'p';
/// And one about versions with this.
const AUDIT: u8 = b'a';

/// What the node is told of sites.
#[derive(Debug)]
pub struct Siting {
    /// The operator's file.
    path: PathBuf,
    /// The folder on a disk that lasts.
    state: PathBuf,
    plan: Plan,
    /// What stands for the text of the file.
    content: Content,
    keys: Keys,
    accounts_file: Option<AccountsFile>,
    /// How the clock is wrong; only tests have it so.
    skew: ClockSkew,
}

/// Why a node can't take part.
#[derive(Debug, Error)]
pub enum SitingError {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file of sites can't be used.
    #[error("{0}")]
    Wrong(#[from] shorepath_sexp::ParseErrors),
    /// The file of accounts can't be used.
    #[error("{0}")]
    Accounts(#[from] accounts::FileError),
    /// The keys can't be used.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Keys {
        /// The file.
        path: PathBuf,
        /// Why.
        source: KeysError,
    },
    /// A file's code is not believed.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Code {
        /// The file whose code it is.
        path: PathBuf,
        /// Why.
        source: FileCodeError,
    },
    /// The file does not list this node.
    #[error("{}: {name} is no (node ...) of a site; list it, or name the node otherwise", path.display())]
    Unlisted {
        /// The file.
        path: PathBuf,
        /// The node.
        name: String,
    },
    /// No folder was named.
    #[error("sites need a folder on a disk that lasts: name it with --state")]
    Stateless,
    /// What is kept can't be used.
    #[error("{}: {source}; two processes can't share a folder, and one that is damaged or of another version has to be moved away by hand", path.display())]
    Store {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: StoreError,
    },
    /// The log of placements can't be used.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Log {
        /// The folder.
        path: PathBuf,
        /// Why.
        source: LogError,
    },
    /// The system gave no number by chance, or no thread.
    #[error("can't take part in sites: {0}")]
    System(String),
    /// The node is in no site.
    #[error("{0}")]
    NoSite(#[from] NoSiteError),
    /// The file of sites is older than one that was in force, or another one of its version.
    #[error("{}: {source}: {}", path.display(), shorepath_message_auth::advice(source))]
    Old {
        /// The file.
        path: PathBuf,
        /// Why.
        source: OldFileError,
    },
}

fn text(path: &Path) -> Result<String, SitingError> {
    std::fs::read_to_string(path)
        .map_err(|source| SitingError::Unreadable { path: path.to_path_buf(), source })
}

/// A file whose detached code, in the file beside it, has to be the fleet's.
fn signed(path: &Path, keys: &Keys) -> Result<String, SitingError> {
    let held = text(path)?;
    let code = text(&beside(path))?;
    let wrong = |source| SitingError::Code { path: path.to_path_buf(), source };
    keys.verify_file(held.as_bytes(), &code).map_err(wrong)?;
    Ok(held)
}

/// Where the code of a file is.
fn beside(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(".hmac");
    PathBuf::from(name)
}

impl Siting {
    /// Read the file of sites, in which a node of that name has to be listed, with the keys and the accounts that it names.
    pub fn read(path: PathBuf, state: PathBuf, name: &str, skew: ClockSkew) -> Result<Siting, SitingError> {
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        let text_of_file = text(&path)?;
        let plan = shorepath_sites::config::read(&path.display().to_string(), &text_of_file)?;
        if plan.node_named(name).is_none() {
            return Err(SitingError::Unlisted { path, name: name.to_string() });
        }
        let key = plan.key_path(&folder);
        let unusable = |source| SitingError::Keys { path: key.clone(), source };
        let mode = std::fs::metadata(&key).map(|m| m.permissions().mode());
        let mode = mode.map_err(|source| SitingError::Unreadable { path: key.clone(), source })?;
        Keys::mode(mode).map_err(unusable)?;
        let keys = Keys::read(&text(&key)?).map_err(unusable)?;
        // Whoever may declare a site lost may have others adopt its keys.
        if !plan.lost.is_empty() {
            signed(&path, &keys)?;
        }
        let accounts_file = match plan.accounts_path(&folder) {
            Some(file) => Some(accounts::read(&file.display().to_string(), &signed(&file, &keys)?)?),
            None => None,
        };
        let content = Content::of(text_of_file.as_bytes());
        Ok(Siting { path, state, plan, content, keys, accounts_file, skew })
    }

    /// Unix time by the node's clock.
    fn wall(&self) -> Micros {
        unix() + self.skew.offset
    }

    /// The file of sites.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Whether it may hold after those that were in force here.
    fn may_hold(&self, used: &Used) -> Result<(), SitingError> {
        used.judge(&self.plan).map_err(|source| SitingError::Old { path: self.path.clone(), source })
    }

    /// Where the accounts stand that the authority's file names.
    pub fn accounts(&self) -> impl Iterator<Item = (&str, &Change)> {
        self.accounts_file.iter().flat_map(|d| &d.changes).map(|(name, change)| (name.as_str(), change))
    }
}

/// One word between nodes of sites.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Sent {
    /// About accounts.
    Accounts(gossip::Message),
    /// About sites.
    #[serde(rename = "seeing")]
    SiteHealth(health::Message),
    /// About what was placed in a range of keys.
    #[serde(rename = "homes")]
    KeyOwnership(catch_up::Message),
    /// About lives of nodes.
    Recovery(incarnations::Message),
}

/// A request as far as its account goes.
#[derive(Debug)]
pub struct Mark {
    sites: Rc<Sites>,
    tenant: String,
    key: Option<Key>,
    /// It is new work.
    new: bool,
    /// One of the account's credit was spent for it: the number of the file that was known, and the Unix time.
    spent: Option<(u64, Micros)>,
    /// It is not taken for another reason than its account.
    rejection: Option<Rejection>,
    /// The site of its client, if that is another one.
    guest: Option<String>,
    /// It is not taken because the node is on its way back.
    recovers: bool,
    /// Its class and its key, where it must not run twice.
    guards: Option<(String, String)>,
}

/// Why a request was not taken, for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The status of the answer.
    pub status: u16,
    /// In few words.
    pub why: String,
    /// It may do to ask again later.
    pub retry: bool,
}

/// What the disk has done.
#[derive(Debug)]
pub enum Written {
    /// A note of a tenant's credit.
    Credit(String, Note, Result<(), Arc<StoreError>>),
    /// A placement that had to be there before it is sent.
    Placed(DispatchId, Result<(), LogError>),
    /// Nothing: it may not be placed now.
    Refused(DispatchId, String),
    /// What waited of placements is there, or never will be.
    Flushed,
    /// What is kept of homes.
    KeyOwnership(Kept, Result<(), Arc<StoreError>>),
    /// The store was opened again after it took nothing any more, or not.
    Reopened(Result<(), Arc<StoreError>>),
    /// It takes what is written again, or not.
    Resumed(Result<(), Arc<StoreError>>),
}

/// This node among the sites.
#[derive(Debug)]
pub struct Sites {
    name: String,
    siting: RefCell<Siting>,
    exchange: Rc<Exchange<Job>>,
    deadlines: Rc<Deadlines>,
    origin: Instant,
    spread: RefCell<gossip::Spread>,
    site_health: RefCell<SiteHealth>,
    /// Files of sites that were in force, as the disk has it.
    used: RefCell<Used>,
    store: Arc<Store>,
    /// The store takes nothing: when to open it again; none while that is on its way.
    reopens: Cell<Option<Micros>>,
    /// That was told.
    reopens_notified: Cell<bool>,
    line: RefCell<Channel>,
    taken: RefCell<Taken>,
    balances: RefCell<CreditBalances>,
    confirmation: Cell<Confirmation>,
    placing: Placing,
    /// What is written down of versions and decisions, where the file says so.
    auditing: Option<Rc<Auditing>>,
    /// Who is home to keys, where the fleet's budgets say.
    key_leases: Option<Rc<KeyLeases>>,
    /// What the disk has of homes, what is on its way there, and what is to be said of them.
    ownership_kept: RefCell<(Kept, bool)>,
    ownership_outgoing: RefCell<Vec<(u32, catch_up::Message)>>,
    ownership_reset: Cell<bool>,
    /// When it last looked what may be sealed.
    sealed_at: Cell<Micros>,
    chance: RefCell<oorandom::Rand64>,
    group_commit: Arc<GroupCommit>,
    writes: mpsc::UnboundedSender<Written>,
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
    recovering: Option<Recovering>,
    claimed: RefCell<Option<mpsc::UnboundedReceiver<Claimed>>>,
    /// The list that the disk has, to begin with.
    last_list: RefCell<Option<Listing>>,
    /// Final answers that are kept, where the way back is switched on.
    answers: Option<Answers>,
}

fn unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// A file of sites holds from now on. That is on the disk before anybody is told; it waits for it, which is rare.
fn uses(store: &Store, used: &mut Used, plan: &Plan) {
    let before = used.clone();
    used.holds(plan);
    if *used == before {
        return;
    }
    let bytes = serde_json::to_vec(used).unwrap_or_default();
    if let Err(e) = store.commit(&[Op::Remember(USED.to_string(), bytes)]) {
        warn!("sites: that file {} holds is not on the disk, so an older one would be taken after a restart: {e}", plan.version);
    }
}

impl Sites {
    /// Take part as the node of that name; and what tells of its disk, for [`Sites::follow`].
    pub fn new(
        name: &str,
        siting: Siting,
        exchange: Rc<Exchange<Job>>,
        deadlines: Rc<Deadlines>,
        fleet: Option<&Fleet>,
    ) -> Result<(Rc<Self>, mpsc::UnboundedReceiver<Written>), SitingError> {
        let chance = getrandom::u64().map_err(|e| SitingError::System(e.to_string()))?;
        let me = NodeId::of(name).0;
        let now = siting.skew.at(0);
        let unusable = |source| SitingError::Store { path: siting.state.clone(), source };
        let store = Arc::new(
            Store::open(&siting.state, siting.plan.recover.as_ref().map_or(ANSWERS, |r| r.remember))
                .map_err(unusable)?,
        );
        let mut used = store.fact::<Used>(USED).map_err(unusable)?.unwrap_or_default();
        siting.may_hold(&used)?;
        uses(&store, &mut used, &siting.plan);
        let peers = siting.plan.nodes().map(|(_, n)| n.number).collect();
        let mut spread = gossip::Spread::new(me, peers, chance, now);
        if let Some(book) = store.fact::<Book>(BOOK).map_err(unusable)? {
            spread.restore(&book);
        }
        let kept = spread.book().hash();
        if let Some(accounts_file) = &siting.accounts_file {
            spread.learn(accounts_file, now);
        }
        let mut balances = CreditBalances::new();
        for credit in siting.plan.credits.iter().filter_map(|c| siting.plan.credit_part(&c.tenant, me)) {
            let note = store.fact::<Note>(&format!("{CREDIT_BALANCE}{}", credit.tenant)).map_err(unusable)?;
            let part = CreditPart { whole: credit.jobs, reserve: credit.reserve };
            balances.insert(credit.tenant, CreditBalance::restore(part, credit.shrink, CHUNK, note));
        }
        let ownership_kept = store.fact::<Kept>(KEY_OWNERSHIP).map_err(unusable)?.unwrap_or_default();
        let key_leases = fleet.filter(|f| f.has_ownership_quotas()).map(|fleet| {
            let key_leases = Rc::new(KeyLeases::new(me, &siting.plan, &ownership_kept, fleet.clock()));
            fleet.home(key_leases.clone());
            key_leases
        });
        let site_health = SiteHealth::new(me, &siting.plan, chance, now)?;
        let line = Channel::new(me, unix() as u64, &siting.plan.fleet, Some(&siting.keys));
        let group_commit =
            Arc::new(GroupCommit::new(store.clone()).map_err(|e| SitingError::System(e.to_string()))?);
        let (writes, written) = mpsc::unbounded_channel();
        let (claims, claimed) = mpsc::unbounded_channel();
        let recovering = match &siting.plan.recover {
            Some(clause) => {
                let unix = siting.wall();
                let disk = (&*store, group_commit.clone());
                let recovering =
                    Recovering::open(name, clause, disk, (chance, now, unix), claims).map_err(unusable)?;
                let others = siting.plan.nodes().map(|(_, n)| n.number).filter(|n| *n != me);
                recovering.recall(&store, others).map_err(unusable)?;
                recovering.meet(&selected_peers(&siting.plan, me));
                Some(recovering)
            }
            None => None,
        };
        let last_list = recovering.as_ref().and_then(|r| r.last_list(&store, siting.wall()));
        let answers =
            siting.plan.recover.as_ref().map(|r| Answers::new(store.clone(), group_commit.clone(), r));
        let auditing = match siting.plan.audit {
            Some(audit) => {
                let mut key = [0; 16];
                key.copy_from_slice(&siting.keys.code(b"audit")[..16]);
                let disk = (store.clone(), group_commit.clone());
                let auditing = Auditing::open(disk, audit, (name, me, chance), key).map_err(unusable)?;
                auditing.meet(&siting.plan.nodes().map(|(_, n)| n.number).collect::<Vec<_>>());
                Some(auditing)
            }
            None => None,
        };
        let site = site_health.site().to_string();
        let log = |source| SitingError::Log { path: siting.state.clone(), source };
        let placing = Placing::open(
            store.clone(),
            group_commit.clone(),
            (&site, name),
            (chance, now, siting.plan.group),
            writes.clone(),
        )
        .map_err(log)?;
        let mut taken = Taken::new(TAKEN, TAKEN_FOR);
        placing.taken(unix() - TAKEN_FOR, |tenant, key, at| {
            // Nobody knows any more which of both it was.
            let keys = [Key::Idempotency(key.to_string()), Key::Request(key.to_string())];
            taken.restore(keys.iter().map(|k| (tenant, k, unix() - at)), now);
        });
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
        sites.audit(Why::Start);
        Ok((sites, written))
    }

    /// What is written down of versions and decisions, where the file says so.
    pub fn auditing(&self) -> Option<&Rc<Auditing>> {
        self.auditing.as_ref()
    }

    /// Where this node's record and others' versions stand, for operators; nothing where it is not switched on.
    pub fn audited(&self) -> Option<String> {
        let siting = self.siting.borrow();
        let name = |number: u32| siting.plan.node(number).map_or(number.to_string(), |n| n.name.clone());
        self.auditing.as_ref().map(|a| a.state(name))
    }

    fn audit(&self, why: Why) {
        let Some(auditing) = &self.auditing else { return };
        let siting = self.siting.borrow();
        auditing.took(Item::Sites, siting.content, Some(siting.plan.version), why);
        let (spread, content) = (self.spread.borrow(), |n: u64| Content::of_number(n));
        let book = spread.book();
        auditing.took(Item::Accounts, content(book.hash()), Some(book.highest()), why);
    }

    fn now(&self) -> Micros {
        self.siting.borrow().skew.at(self.origin.elapsed().as_micros() as Micros)
    }

    fn times(&self) -> Now {
        Now { unix: unix(), steady: self.now(), alone_since: self.confirmation.get().alone_since() }
    }

    fn address(&self) -> Option<SocketAddr> {
        self.siting.borrow().plan.node_named(&self.name).map(|n| n.address)
    }

    /// Read the files again. Ones that can't be used change nothing.
    pub fn reload(&self) -> Result<u64, SitingError> {
        let (path, state, skew) = {
            let siting = self.siting.borrow();
            (siting.path.clone(), siting.state.clone(), siting.skew)
        };
        let newer = Siting::read(path, state, &self.name, skew)?;
        newer.may_hold(&self.used.borrow())?;
        let now = self.now();
        let me = NodeId::of(&self.name).0;
        self.site_health.borrow_mut().replan(&newer.plan, now)?;
        uses(&self.store, &mut self.used.borrow_mut(), &newer.plan);
        {
            let mut spread = self.spread.borrow_mut();
            spread.set_peers(newer.plan.nodes().map(|(_, n)| n.number).collect());
            if let Some(accounts_file) = &newer.accounts_file {
                spread.learn(accounts_file, now);
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
            let part = CreditPart { whole: credit.jobs, reserve: credit.reserve };
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
        self.audit(Why::Operator);
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

    /// What a request is to the work of its account, before it is taken.
    pub fn mark(self: &Rc<Self>, class: ClassId, job: &Job) -> (WorkState, Option<Mark>) {
        let (id, now) = (&*job.id, self.now());
        let tenant = job.tenant.clone().unwrap_or_default();
        let key = Key::of(job.repeat_key.as_deref(), Some(id));
        let begun = self.taken.borrow().holds(&tenant, key.as_ref(), now);
        let guest = self.spillover.guest(&self.site_health.borrow(), class, job);
        let mut rejection = self.rejection_for(class, job.repeat_key.as_deref().unwrap_or(id));
        // Those that are sent away on the way back are told by chance when to come, see [`Mark::extra_field`].
        let waits = self.recovering.as_ref().is_some_and(|r| r.admits() != Admits::All);
        let again = rejection.as_mut().filter(|b| waits && b.retry);
        let recovers = again.is_some();
        again.into_iter().for_each(|b| b.retry = false);
        let entry = match (&rejection, begun) {
            (Some(_), _) => WorkState::Misdirected,
            (None, true) => WorkState::InProgress,
            (None, false) => WorkState::New,
        };
        let guards = self.answers.as_ref().filter(|_| self.is_guarded(class));
        let guards = guards
            .map(|_| (self.exchange.class_name(class), job.repeat_key.as_deref().unwrap_or(id).to_string()));
        (
            entry,
            Some(Mark {
                sites: self.clone(),
                tenant,
                key,
                new: !begun,
                spent: None,
                rejection,
                guest,
                recovers,
                guards,
            }),
        )
    }

    /// Whether a class must not run twice.
    fn is_guarded(&self, class: ClassId) -> bool {
        self.exchange.is_unsafe(class)
            || self.siting.borrow().plan.home.contains(&self.exchange.class_name(class))
    }

    /// The final answer that a job's key was given here, by its status and body, where that is kept: it stays the one.
    pub fn answered(&self, class: ClassId, job: &Job) -> Option<(u16, Vec<u8>)> {
        let answers = self.answers.as_ref().filter(|_| self.is_guarded(class))?;
        let (name, key) = (self.exchange.class_name(class), job.repeat_key.as_deref().unwrap_or(&job.id));
        // Most have never been placed, and the disk need not be asked.
        if self.placing.known(&name, key) == Known::Free {
            return None;
        }
        answers.given(&name, job.tenant.as_deref(), key)
    }

    /// Why a request is not to be taken, if it is not: the node is on its way back, or it must not run twice and may.
    fn rejection_for(&self, class: ClassId, key: &str) -> Option<Rejection> {
        let returns =
            self.recovering.as_ref().map(|r| (r.admits(), r.waits_for(self.now()).unwrap_or_default()));
        if let Some((Admits::Nothing, waits)) = returns {
            return Some(Rejection {
                status: 503,
                why: format!("recovering: waits for {waits}"),
                retry: true,
            });
        }
        let name = self.exchange.class_name(class);
        if !self.is_guarded(class) {
            return None;
        }
        let rejection =
            |status, why: &str| Some(Rejection { status, why: why.to_string(), retry: status == 503 });
        let known = self.placing.known(&name, key);
        if let (Known::Free, Some(key_leases)) = (known, &self.key_leases) {
            match key_leases.may_place(key) {
                Ok(_) => {}
                Err((_, true)) => return rejection(503, "catching up"),
                Err((refused, false)) => {
                    let (status, why, retry) = refused.answer(self.lives(refused.home()));
                    return Some(Rejection { status, why, retry });
                }
            }
        }
        match known {
            Known::Free if !self.placing.asked() => rejection(503, "catching up"),
            Known::Free if returns.is_some_and(|(admits, _)| admits != Admits::All) => {
                let waits = returns.map_or("", |(_, waits)| waits);
                rejection(503, &format!("recovering: waits for {waits}"))
            }
            Known::Free if self.placing.failed().is_some() => rejection(503, "placements can't be recorded"),
            Known::Free => None,
            Known::Served => rejection(409, "served before"),
            Known::MayHaveRun => rejection(502, "may have run"),
        }
    }

    /// Whether clients may reach the node that is a home, as far as its site tells.
    fn lives(&self, home: &str) -> bool {
        let site = home.split_once('/').map_or("", |(site, _)| site);
        self.site_health.borrow().state(site) != Some(Seen::Lost)
    }

    /// Claim ranges, prove what was placed in them, and keep what is known of them.
    fn update_ownership(&self) {
        let Some(key_leases) = &self.key_leases else { return };
        let (now, site_health, siting) = (self.now(), self.site_health.borrow(), self.siting.borrow());
        if self.placing.was_refounded() && !self.ownership_reset.replace(true) {
            key_leases.forget(&siting.plan);
        }
        if site_health.all_go_by() {
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
            let bytes = serde_json::to_vec(&kept).unwrap_or_default();
            let writes = self.writes.clone();
            self.group_commit.commit(vec![Op::Remember(KEY_OWNERSHIP.to_string(), bytes)], move |done| {
                // Nobody hears it where the node ends.
                let _ = writes.send(Written::KeyOwnership(kept, done));
            });
        }
    }

    /// A node asks what was placed, or answers.
    fn receive_proof(&self, from: u32, message: catch_up::Message) {
        let Some(key_leases) = &self.key_leases else { return };
        match message {
            catch_up::Message::Ask { home, fence } => {
                let (log, last) = self.placing.own();
                let history = self.placing.history();
                // One that has lost a disk can't say what it has placed.
                let whole = catch_up::known(&history, self.site_health.borrow().site(), &self.name, (log, 0));
                if self.placing.asked() && whole {
                    self.ownership_outgoing
                        .borrow_mut()
                        .push((from, catch_up::Message::Reply { home, fence, log, last }));
                }
            }
            catch_up::Message::Reply { home, fence, log, last } => {
                key_leases.notified(from, &home, fence, log, last)
            }
        }
    }

    /// Take part for as long as the node runs.
    pub async fn follow(self: Rc<Self>, mut written: mpsc::UnboundedReceiver<Written>) {
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
                Some(written) = written.recv() => match written {
                    Written::Credit(tenant, note, done) => {
                        looks = true;
                        self.wrote(&tenant, note, done);
                    }
                    Written::Flushed => self.placing.flushed(),
                    Written::Placed(id, done) => {
                        if let Err(e) = &done {
                            warn!("a guarded job is denied: {e}");
                        }
                        let sent = done.is_ok() && self.may_send(id);
                        if done.is_ok() && !sent {
                            info!("a guarded job is denied: its home was not held until it was written down");
                        }
                        self.exchange.recorded(id, sent);
                    }
                    Written::Refused(id, why) => {
                        info!("a guarded job is denied: {why}");
                        self.exchange.recorded(id, false);
                    }
                    Written::Reopened(done) => self.reopened(done),
                    Written::Resumed(done) => self.resumed(done),
                    Written::KeyOwnership(kept, done) => {
                        looks = true;
                        let mut on_disk = self.ownership_kept.borrow_mut();
                        on_disk.1 = false;
                        match done {
                            Ok(()) => on_disk.0 = kept,
                            Err(e) => warn!("homes: what is held is not on the disk: {e}"),
                        }
                    }
                },
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

    /// Drop placements that are old enough and known at all sites.
    fn seal(&self, now: Micros) {
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
    fn reopen(&self, now: Micros) {
        if self.store.takes() || self.reopens.get().is_none_or(|at| now < at) {
            return;
        }
        if !self.reopens_notified.replace(true) {
            warn!("sites: the disk takes nothing: guarded work is refused and the rest goes unrecorded. Make room; it is tried again every {} s", REOPEN / 1_000_000);
        }
        self.reopens.set(None);
        let writes = self.writes.clone();
        // Nobody hears it where the node ends.
        self.group_commit.reopen(move |done| drop(writes.send(Written::Reopened(done))));
    }

    /// The store was opened again, and takes nothing yet: go on from what the disk has, and write first what has to be there.
    fn reopened(&self, done: Result<(), Arc<StoreError>>) {
        let now = self.now();
        self.reopens.set(Some(now + REOPEN));
        if let Err(e) = done {
            return debug!("sites: the disk still takes nothing: {e}");
        }
        // One that another process wrote meanwhile may have gone by a newer file.
        let used = self.store.fact::<Used>(USED).map(Option::unwrap_or_default);
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
        used.holds(&self.siting.borrow().plan);
        ops.push(Op::Remember(USED.to_string(), serde_json::to_vec(&used).unwrap_or_default()));
        let book = serde_json::to_vec(self.spread.borrow().book()).unwrap_or_default();
        ops.push(Op::Remember(BOOK.to_string(), book));
        // They are written anew with the next pass.
        self.ownership_kept.borrow_mut().0 = Kept::default();
        self.reopens.set(None);
        let writes = self.writes.clone();
        // Nobody hears it where the node ends.
        self.group_commit.resume(ops, move |done| drop(writes.send(Written::Resumed(done))));
    }

    fn resumed(&self, done: Result<(), Arc<StoreError>>) {
        self.reopens.set(Some(self.now() + REOPEN));
        match done {
            Ok(()) => {
                self.reopens_notified.set(false);
                info!("sites: the disk takes what is written again");
            }
            Err(e) => debug!("sites: the disk takes nothing again: {e}"),
        }
    }

    /// What other nodes have taken of accounts that take nothing new any more is running work here, too: a client may repeat it anywhere.
    /// Nothing is looked at while there are no such accounts.
    fn running(&self) {
        let (now, unix) = (self.now(), unix());
        let spread = self.spread.borrow();
        let book = spread.book();
        let barring: BTreeSet<&str> =
            book.named().filter(|a| book.standing(a, unix).rejects_new_work()).collect();
        if barring.is_empty() {
            return;
        }
        let mut taken = self.taken.borrow_mut();
        self.placing.placed(&mut self.looked.borrow_mut(), LOOKED, |tenant, key, at| {
            if barring.contains(tenant) && unix - at < TAKEN_FOR {
                // A log does not say which of both it is.
                let keys = [Key::Idempotency(key.to_string()), Key::Request(key.to_string())];
                for key in keys.iter().filter(|k| !taken.holds(tenant, Some(k), now)).collect::<Vec<_>>() {
                    taken.restore([(tenant, key, unix - at)], now);
                }
            }
        });
    }

    fn pass(&self) {
        let now = self.now();
        self.reopen(now);
        self.spread.borrow_mut().pass(now);
        self.site_health.borrow_mut().pass(now);
        self.seal(now);
        self.lend();
        for changed in self.site_health.borrow_mut().changes() {
            info!("site {} {:?} before={:?} why={:?}", changed.site, changed.to, changed.from, changed.why);
        }
        for Differs { node, version, own } in self.site_health.borrow_mut().differs() {
            match version == own {
                true => warn!("sites: {node} goes by another file of version {own} than this node: give the one that is to hold a greater (version ...) and hand it to all nodes"),
                false => info!("sites: {node} goes by version {version} of the file, this node by {own}: hand the newest to all nodes"),
            }
        }
        let mut confirmation = self.confirmation.get();
        let received = self.site_health.borrow().received(now);
        if let Some(alone) = confirmation.pass(received, now) {
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
            self.audit(Why::Peers);
            auditing.pass();
        }
    }

    /// Go on with the way back.
    fn recover(&self, now: Micros) {
        let Some(recovering) = &self.recovering else { return };
        let facts = Facts {
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

    /// Where discovery's list is noted on the way back, and the one that the disk has to begin with.
    pub fn list(&self) -> Option<(Rc<LastList>, Option<Listing>)> {
        self.recovering.as_ref().map(|r| (r.list(), self.last_list.take()))
    }

    /// What may be served on the way back, and what that waits for; nothing where no way back is switched on.
    pub fn returns(&self) -> Option<(Admits, Option<&'static str>)> {
        self.recovering.as_ref().map(|r| (r.admits(), r.waits_for(self.now())))
    }

    /// The way back, for operators: a line each.
    pub fn recovery(&self) -> Option<String> {
        let siting = self.siting.borrow();
        let name = |n: u32| siting.plan.node(n).map_or(n.to_string(), |n| n.name.clone());
        self.recovering.as_ref().map(|r| r.state(name, self.now()))
    }

    /// An operator lets the way back go on.
    ///
    /// # Errors
    /// Nobody can, and why.
    pub fn release(&self) -> Result<String, String> {
        let recovering = self.recovering.as_ref().ok_or("the file of sites has no (recover ...)")?;
        recovering.release(self.now())
    }

    /// Bring what is kept and what the module is told up to date with what is known.
    fn settle(&self) {
        let now = self.times();
        for updates in self.spread.borrow_mut().take_updates() {
            match updates {
                RegistryUpdate::Changed { account, change } => {
                    info!(
                        "account {account} {:?} number={} from={} reason={:?}",
                        change.standing, change.number, change.from, change.reason
                    );
                    let takes_new = !change.standing.rejects_new_work();
                    // What was passed over of it is looked at now.
                    self.looked.borrow_mut().clear();
                    let change = reconcile::Change { number: change.number, from: change.from, takes_new };
                    self.reconcile(self.placing.judge_by(|r| r.standing(&account, change)));
                }
                RegistryUpdate::Newer { number } => info!("accounts: file {number} holds"),
                RegistryUpdate::TwoFiles { number } => warn!("accounts: two files of number {number} say different things; the stricter holds for each account until one of a greater number is handed out"),
                other => warn!("accounts: {other:?}"),
            }
        }
        {
            let spread = self.spread.borrow();
            let book = spread.book();
            if book.hash() != self.kept.get() {
                self.kept.set(book.hash());
                let bytes = serde_json::to_vec(book).unwrap_or_default();
                self.group_commit.commit(vec![Op::Remember(BOOK.to_string(), bytes)], |done| {
                    if let Err(e) = done {
                        warn!("accounts: what is known is not on the disk: {e}");
                    }
                });
            }
            let mut balances = self.balances.borrow_mut();
            for (tenant, balance) in balances.iter_mut() {
                let change = book.change(tenant, now.unix);
                if now.alone_since.is_none() && balance.note_now() != Note::default() {
                    let owed = balance.confirmed(&change);
                    if owed > 0 {
                        warn!("account {tenant}: {owed} jobs were begun after it was closed, and are owed");
                    }
                }
                let mut writing = self.writing.borrow_mut();
                if !self.store.takes() {
                    balance.failed();
                } else if let Some(note) = balance.durable_to().filter(|_| !writing.contains(tenant)) {
                    writing.push(tenant.clone());
                    let (writes, tenant) = (self.writes.clone(), tenant.clone());
                    let bytes = serde_json::to_vec(&note).unwrap_or_default();
                    self.group_commit.commit(
                        vec![Op::Remember(format!("{CREDIT_BALANCE}{tenant}"), bytes)],
                        move |done| {
                            // Nobody hears it where the node ends.
                            let _ = writes.send(Written::Credit(tenant, note, done));
                        },
                    );
                }
            }
        }
        self.hold();
    }

    fn wrote(&self, tenant: &str, note: Note, done: Result<(), Arc<StoreError>>) {
        self.writing.borrow_mut().retain(|t| t != tenant);
        if let Some(balance) = self.balances.borrow_mut().get_mut(tenant) {
            match done {
                Ok(()) => balance.wrote(note),
                Err(e) => {
                    balance.failed();
                    warn!("account {tenant}: its credit can't be noted: {e}");
                }
            }
        }
    }

    /// Bring the module's parts in line with what may be begun now.
    fn hold(&self) {
        let now = self.times();
        let all = restrictions(self.spread.borrow().book(), &mut self.balances.borrow_mut(), now);
        let mut parts = Vec::new();
        for (tenant, restriction) in all {
            let Some(of) = self.exchange.tenant(&tenant) else { continue };
            if let Some(units) = restriction.begin {
                let units = units.saturating_add(self.exchange.begun(of));
                parts.push(QuotaShare { kind: QuotaKind::NewWork(of), units, total: units, window: 0 });
            }
            if !restriction.send {
                parts.push(QuotaShare { kind: QuotaKind::TenantEnabled(of), units: 0, total: 0, window: 0 });
            }
        }
        parts.extend(self.spillover.parts());
        if parts != *self.notified.borrow() {
            debug!("sites: {parts:?}");
            self.notified.replace(parts.clone());
            self.exchange.parts_hold(Source::Sites, parts);
        }
    }

    async fn speak(&self, socket: &UdpSocket) {
        let accounts = self
            .spread
            .borrow_mut()
            .take_outgoing()
            .into_iter()
            .map(|(to, message)| (to, Sent::Accounts(message)));
        let site_health = self
            .site_health
            .borrow_mut()
            .take_outgoing()
            .into_iter()
            .map(|(to, message)| (to, Sent::SiteHealth(message)));
        let ownership = std::mem::take(&mut *self.ownership_outgoing.borrow_mut());
        let ownership = ownership.into_iter().map(|(to, message)| (to, Sent::KeyOwnership(message)));
        let recovery = self.recovering.iter().flat_map(Recovering::take_outgoing);
        let recovery = recovery.map(|(to, message)| (to, Sent::Recovery(message)));
        let text = accounts
            .chain(site_health)
            .chain(ownership)
            .chain(recovery)
            .map(|(to, sent)| (to, serde_json::to_vec(&sent).unwrap_or_default()));
        let chance = self.chance.borrow_mut().rand_u64();
        let placements = self.placing.pass(self.now(), chance).into_iter();
        let placements = placements.map(|(to, message)| (to, [&[PLACEMENTS], message.as_slice()].concat()));
        let audit = self.auditing.iter().flat_map(|a| a.take_outgoing());
        let audit = audit.map(|(to, message)| (to, [&[AUDIT], message.as_slice()].concat()));
        for (to, message) in text.chain(placements).chain(audit).collect::<Vec<_>>() {
            let Some(address) = self.siting.borrow().plan.node(to).map(|n| n.address) else { continue };
            let message = self.line.borrow_mut().seal(message);
            // Lost is lost: it is said again.
            let _ = socket.send_to(&message, address).await;
        }
    }

    /// Credits count from now on, over all sites.
    fn credit(&self) {
        let credits = self.siting.borrow().plan.credits.clone();
        for credit in credits {
            let reply = |r: &mut Reconciler| r.credit(&credit.tenant, credit.jobs, unix());
            self.reconcile(self.placing.judge_by(reply));
        }
    }

    /// What follows from histories.
    fn reconcile(&self, decisions: Vec<Decision>) {
        for decision in decisions {
            match &decision {
                Decision::Violation(story) => warn!("placements: a job that must not run twice may have: {story:?}"),
                Decision::Debt { tenant, kind: Kind::Credit, jobs } => {
                    warn!("account {tenant}: {jobs} jobs were begun above its credit, over all sites");
                    let share = self.credit_share(tenant, *jobs);
                    if let Some(balance) = self.balances.borrow_mut().get_mut(tenant) {
                        balance.owe(share);
                    }
                }
                Decision::Standing { tenant, number, trust, writer, entry } => warn!(
                    "account {tenant}: work was begun after file {number} closed it: {trust:?} at {}/{} entry={entry}",
                    writer.site, writer.node
                ),
                other => info!("placements: {other:?}"),
            }
        }
    }

    /// This node's part of a debt, by its part of the credit; rounded up.
    fn credit_share(&self, tenant: &str, jobs: u64) -> u64 {
        let plan = &self.siting.borrow().plan;
        let whole = plan.credits.iter().find(|c| c.tenant == tenant).map_or(0, |c| c.jobs);
        let part = plan.credit_part(tenant, NodeId::of(&self.name).0).map_or(0, |c| c.jobs);
        (u128::from(jobs) * u128::from(part)).div_ceil(u128::from(whole.max(1))) as u64
    }

    /// Whether something else than placements was told.
    fn receive(&self, bytes: &[u8], from: SocketAddr) -> bool {
        let seems = {
            let siting = self.siting.borrow();
            let known = siting.plan.nodes().find(|(_, n)| n.address == from).map(|(_, n)| n.number);
            known.unwrap_or(0)
        };
        let mut line = self.line.borrow_mut();
        let (sender, message) = match line.open(bytes, seems) {
            Ok(Received { sender: Some(sender), sent }) => (sender, sent),
            Ok(_) => return false,
            Err(Dropped { refused, first }) => {
                if first {
                    warn!(
                        "sites: a word from {from} is dropped: {refused}: {}",
                        shorepath_message_auth::advice(&refused)
                    );
                }
                return false;
            }
        };
        let now = self.now();
        if let Some((&PLACEMENTS, message)) = message.split_first() {
            self.placing.receive(sender, message, now);
            return false;
        }
        if let Some((&AUDIT, message)) = message.split_first() {
            if let Some(auditing) = &self.auditing {
                auditing.receive(message);
            }
            return false;
        }
        match serde_json::from_slice(message) {
            Ok(Sent::Accounts(message)) => self.spread.borrow_mut().receive(sender, &message, now),
            Ok(Sent::SiteHealth(message)) => {
                let received = self.site_health.borrow_mut().receive(sender, &message, now);
                match received {
                    Ok(()) => self.spillover.received(&self.site_health.borrow(), sender, &message, now),
                    Err(e) => debug!("sites: from {from}: {e}"),
                }
            }
            Ok(Sent::KeyOwnership(message)) => {
                self.receive_proof(sender, message);
            }
            Ok(Sent::Recovery(message)) => {
                if let Some(recovering) = &self.recovering {
                    recovering.receive(sender, message, now);
                }
            }
            Err(e) => debug!("sites: from {from}: {e}"),
        }
        true
    }

    /// Where sites stand as this node sees them, for operators: a line each.
    pub fn state(&self) -> String {
        let mut text = format!("own {}\n", self.site_health.borrow().site());
        for (site, seen, since) in self.site_health.borrow().states() {
            let ms = (self.now() - since) / 1_000;
            text += &format!("site {site} {seen:?} for_ms={ms}\n");
        }
        text += &self.spillover.state(&self.exchange, self.now());
        let now = self.times();
        let standing = if now.alone_since.is_some() { "not confirmed" } else { "confirmed" };
        let spread = self.spread.borrow();
        text += &format!("standing {standing} file={}\n", spread.book().highest());
        for account in spread.book().accounts() {
            let change = spread.book().change(account, now.unix);
            text += &format!(
                "account {account} {:?} number={} reason={:?}\n",
                change.standing, change.number, change.reason
            );
        }
        text += &self.placing.state();
        text += "\n";
        if let Some(key_leases) = &self.key_leases {
            text += &key_leases.state();
        }
        for (tenant, balance) in self.balances.borrow().iter() {
            let Note { spent, debt, .. } = balance.note_now();
            text += &format!("credit {tenant} left={} spent={spent} debt={debt}\n", balance.left());
        }
        text
    }
}

impl Recorder<Job> for Sites {
    fn places(&self, id: DispatchId, attempt: Attempt<'_>, job: &Job) -> bool {
        let now = self.times();
        let Attempt { class, is_unsafe, server } = attempt;
        let guarded = is_unsafe || self.siting.borrow().plan.home.contains(class);
        let tenant = job.tenant.clone();
        let standing =
            tenant.as_deref().map_or(0, |t| self.spread.borrow().book().change(t, now.unix).number);
        let key = job.repeat_key.clone().unwrap_or_else(|| job.id.to_string());
        // It may have waited for long since it was taken, and another request for its key with it. A further attempt is made only
        // where the one before surely never ran, or may run again.
        if guarded && id.attempt == 0 && self.placing.known(class, &key) != Known::Free {
            // Nobody hears it where the node ends.
            let _ = self.writes.send(Written::Refused(id, "its key was placed meanwhile".to_string()));
            return false;
        }
        if guarded && self.recovering.as_ref().is_some_and(|r| r.admits() != Admits::All) {
            // Nobody hears it where the node ends.
            let _ = self
                .writes
                .send(Written::Refused(id, "the node is back among those that recover".to_string()));
            return false;
        }
        let fence = match &self.key_leases {
            Some(key_leases) if guarded => match key_leases.may_place(&key) {
                Ok(fence) => {
                    key_leases.places(id, &key, fence);
                    fence.message()
                }
                Err((refused, _)) => {
                    // Nobody hears it where the node ends.
                    let _ = self.writes.send(Written::Refused(id, refused.to_string()));
                    return false;
                }
            },
            _ => 0,
        };
        let placement = Placement {
            key: Some(key),
            class: class.to_string(),
            guarded,
            tenant,
            server: server.to_string(),
            standing,
            taken: now.unix,
            on_credit: now.alone_since.is_some(),
            list: 0,
            fence,
        };
        self.placing.places(id, Timed { at: now.unix, entry: placements::Entry::Placed(placement) })
    }

    fn may_send(&self, id: DispatchId) -> bool {
        self.key_leases.as_ref().is_none_or(|h| h.may_send(id))
    }

    fn ended(&self, id: DispatchId, ran: Ran) {
        if let Some(key_leases) = &self.key_leases {
            key_leases.over(id);
        }
        self.placing.ended(id, ran, unix());
    }
}

impl Mark {
    /// Whether its client belongs to another site.
    pub fn is_guest(&self) -> bool {
        self.guest.is_some()
    }

    /// A field that its answer has besides, with its time.
    pub fn extra_field(&self, outcome: &ResponseOutcome) -> Option<(&'static str, Duration)> {
        let Sites { spillover, site_health, .. } = &*self.sites;
        if self.recovers {
            return Some(("Retry-After", spillover.after(self.sites.now())));
        }
        spillover.extra_field(&site_health.borrow(), self.guest.as_deref(), outcome, self.sites.now())
    }

    /// Its final answer is on its way to the disk, where it has to be before the client has it: of what was sent to a server, and must
    /// not run twice.
    pub fn keeps(&self, status: u16, body: &[u8]) -> Option<Keeping> {
        let ((class, key), answers) = (self.guards.as_ref()?, self.sites.answers.as_ref()?);
        if self.rejection.is_some() || self.sites.placing.known(class, key) == Known::Free {
            return None;
        }
        let tenant = Some(self.tenant.as_str()).filter(|t| !t.is_empty());
        answers.keep((class, tenant, key), (status, body), unix())
    }

    /// The request was handed to the module; `barred` where it was turned away at once.
    pub fn asked(&mut self, rejection: bool) {
        if rejection {
            return;
        }
        let now = self.sites.times();
        if self.new && now.alone_since.is_some() {
            let number = self.sites.spread.borrow().book().change(&self.tenant, now.unix).number;
            if let Some(balance) = self.sites.balances.borrow_mut().get_mut(&self.tenant) {
                self.spent = balance.spend(number, now.unix).then_some((number, now.unix));
            }
        }
        self.sites.taken.borrow_mut().take(&self.tenant, self.key.as_ref(), now.steady);
    }

    /// It has its final answer; why, where that is a bar.
    pub fn over(self, outcome: &ResponseOutcome) -> Option<Rejection> {
        let now = self.sites.times();
        if matches!(outcome, ResponseOutcome::Shed { .. }) && self.new {
            // Nothing was begun: a repeat of it is new work, too.
            self.sites.taken.borrow_mut().forget(&self.tenant, self.key.as_ref());
            if let (Some((number, at)), Some(balance)) =
                (self.spent, self.sites.balances.borrow_mut().get_mut(&self.tenant))
            {
                balance.unspend(number, at);
            }
        }
        if !matches!(outcome, ResponseOutcome::Rejected { .. }) {
            return None;
        }
        if self.rejection.is_some() {
            return self.rejection;
        }
        if let Some(rejection) = self.sites.spillover.rejection(outcome) {
            return Some(rejection);
        }
        let spread = self.sites.spread.borrow();
        let balances = self.sites.balances.borrow();
        let Refusal { why, retry } = why(spread.book(), balances.get(&self.tenant), &self.tenant, now);
        Some(Rejection { status: if retry { 503 } else { 403 }, why: why.to_string(), retry })
    }
}
