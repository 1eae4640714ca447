//! Failure detection between sites by gossip: one node's view of the other sites.
//!
//! Each node sends [`Message`]s to one node of each other site in turn and to some nodes of its own site. A message
//! reports, for every other site, how long ago the sender's site received a message from it directly, how recently
//! that site had received one in turn, and its newest heartbeat known from any source. Reports of a third site
//! distinguish a broken link from a lost site, and the echoed ages reveal a link that works in one direction only.
//!
//! A heartbeat is a counter that the nodes of a site increase together (a Lamport clock, "Time, clocks, and the
//! ordering of events in a distributed system", section 2). Gossip carries each value with its age, so repeating an
//! old value does not make a site look alive. Messages also echo a heartbeat of the receiver's site, from which the
//! round-trip time follows: a slow link makes a site doubtful, and messages that were buffered while this process
//! was suspended don't count.
//!
//! The resulting states are hints only and grant no right: the keys of a lost site remain its own until their leases
//! have expired.

use crate::config::SitesConfig;
use crate::{Micros, SiteState};
use oorandom::Rand32;
use serde::{Deserialize, Serialize};
use shorepath_quota::NodeId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Number of messages to each other site within [`SitesConfig::alone`].
const REMOTE_MESSAGES: Micros = 10;
/// Number of rounds of messages to nodes of the own site within [`SitesConfig::alone`].
const LOCAL_ROUNDS: Micros = 20;
/// Nodes of a small site also send to another site in each local round once it has been silent for this fraction of
/// [`SitesConfig::alone`], because so few nodes may lose all their messages to it.
const QUIET_DIVISOR: Micros = 5;
/// Largest number of nodes of a small site.
const SMALL_SITE_NODES: usize = 4;
/// Number of nodes of the own site that receive a message in each round.
const LOCAL_FANOUT: usize = 3;
/// Largest age in messages, in milliseconds; greater ages are sent as this one, which means unknown.
const MAX_AGE_MS: u32 = 99_999;
/// Number of heartbeats of the own site whose times are kept, and of reported configuration mismatches.
const MAX_REMEMBERED: usize = 256;
/// Largest plausible increase of a known heartbeat; messages with a greater one are rejected.
const MAX_HEARTBEAT_JUMP: u64 = 1 << 32;
/// Largest valid heartbeat.
const MAX_HEARTBEAT: u64 = 1 << 53;
/// Largest number of classes whose demand a message reports.
pub const MAX_CLASSES: usize = 6;
/// A time before all events, for those that have not happened.
const NEVER: Micros = Micros::MIN / 4;

/// Report on another site, with ages in milliseconds. It is a list in JSON to keep messages short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u32, u64, u32, u64, u32, u32)", into = "(u32, u64, u32, u64, u32, u32)")]
pub struct SiteReport {
    /// The number of the reported site.
    pub site: u32,
    /// Its newest heartbeat known from any source; 0 for none.
    pub heartbeat: u64,
    /// Age of [`SiteReport::heartbeat`].
    pub heartbeat_age: u32,
    /// Its newest heartbeat that the sender's site received directly; 0 for none.
    pub direct: u64,
    /// Age of [`SiteReport::direct`].
    pub direct_age: u32,
    /// Time since the reported site, by its own report, had received a message from the sender's site.
    pub echo_age: u32,
}

impl From<(u32, u64, u32, u64, u32, u32)> for SiteReport {
    fn from(
        (site, heartbeat, heartbeat_age, direct, direct_age, echo_age): (u32, u64, u32, u64, u32, u32),
    ) -> SiteReport {
        SiteReport { site, heartbeat, heartbeat_age, direct, direct_age, echo_age }
    }
}

impl From<SiteReport> for (u32, u64, u32, u64, u32, u32) {
    fn from(t: SiteReport) -> Self {
        (t.site, t.heartbeat, t.heartbeat_age, t.direct, t.direct_age, t.echo_age)
    }
}

/// Report on the load of the sender's own site. It is a list in JSON to keep messages short.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u8, u64, Vec<(u32, u64)>)", into = "(u8, u64, Vec<(u32, u64)>)")]
pub struct Load {
    /// Share of its load that the site takes, in percent; below 100 while the site is returning.
    pub load_percent: u8,
    /// Current capacity of the site's servers as known to the sender, in units a second.
    pub capacity: u64,
    /// Demand of the site's clients at the sender, in units a second, by [`class_number`]; [`MAX_CLASSES`] at most.
    pub demand: Vec<(u32, u64)>,
}

impl From<(u8, u64, Vec<(u32, u64)>)> for Load {
    fn from((part, capacity, demand): (u8, u64, Vec<(u32, u64)>)) -> Load {
        Load { load_percent: part.min(100), capacity, demand }
    }
}

impl From<Load> for (u8, u64, Vec<(u32, u64)>) {
    fn from(l: Load) -> Self {
        (l.load_percent, l.capacity, l.demand)
    }
}

/// A gossip message. It takes less than 1,200 bytes for 20 sites; unknown fields in JSON are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Message {
    /// The number of the sender's site.
    #[serde(rename = "s")]
    pub site: u32,
    /// The newest heartbeat of the sender's site.
    #[serde(rename = "n")]
    pub heartbeat: u64,
    /// Version of the sender's configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// Digest of the sender's configuration, see [`SitesConfig::digest`]; 0 for none.
    #[serde(rename = "d", default)]
    pub digest: u32,
    /// Reports on all other sites.
    #[serde(rename = "o")]
    pub others: Vec<SiteReport>,
    /// Load of the sender's site, if known.
    #[serde(rename = "l", default)]
    pub load: Option<Load>,
}

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error, miette::Diagnostic)]
pub enum ReceiveError {
    /// The sender is not in the configuration.
    #[error("no node of the sites file has the number {0}")]
    #[diagnostic(help("put the same sites file into service at all nodes; compare their versions"))]
    UnknownNode(u32),
    /// The sender names another site than the configuration does.
    #[error("node {node} claims to belong to the site numbered {site}, but the sites file lists it in another site")]
    #[diagnostic(help("put the same sites file into service at all nodes; compare their versions"))]
    WrongSite {
        /// The sender, by its [`NodeId`].
        node: u32,
        /// The site that the message names as the sender's, by number.
        site: u32,
    },
    /// The message was sent before this process was last suspended, or was delayed for too long.
    #[error("the message is outdated: this process was suspended, or the message was delayed")]
    #[diagnostic(help("no action is needed: newer messages follow"))]
    Stale,
    /// A heartbeat is implausibly far ahead.
    #[error("the heartbeat {0} is implausibly far ahead")]
    #[diagnostic(help("the sender is faulty or not part of this fleet: restart it and check its key"))]
    ImplausibleHeartbeat(u64),
}

/// Why the state of a site has changed. Durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StateChangeReason {
    /// No message came from it directly for this long.
    Quiet(Micros),
    /// It has not received messages of this site for this long.
    OneWay(Micros),
    /// A round trip between the sites took this long.
    Slow(Micros),
    /// Other sites reach it, but this one can't exchange messages with it.
    Unreachable,
    /// No site has received a heartbeat for this long.
    Silent(Micros),
    /// An operator has declared it lost, with this number.
    Declared(u64),
    /// Messages have arrived in both directions for this long.
    Reachable(Micros),
    /// The site takes its full load, and its history agrees with this node's.
    FullLoad,
    /// It has been stable for the hold time.
    Stable,
}

impl fmt::Display for StateChangeReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = |t: &Micros| *t as f64 / 1e6;
        match self {
            StateChangeReason::Quiet(t) => write!(f, "no message came from it for {:.1} s", s(t)),
            StateChangeReason::OneWay(t) => {
                write!(f, "it has received no message from this site for {:.1} s", s(t))
            }
            StateChangeReason::Slow(t) => write!(f, "the round trip takes {:.1} s", s(t)),
            StateChangeReason::Unreachable => write!(f, "other sites reach it, but this site can't"),
            StateChangeReason::Silent(t) => write!(f, "no site has received a heartbeat for {:.1} s", s(t)),
            StateChangeReason::Declared(n) => write!(f, "the sites file declares it lost with number {n}"),
            StateChangeReason::Reachable(t) => {
                write!(f, "messages have arrived in both directions for {:.1} s", s(t))
            }
            StateChangeReason::FullLoad => write!(f, "it takes its full load"),
            StateChangeReason::Stable => write!(f, "it has been stable for the hold time"),
        }
    }
}

/// A change of a site's state, for the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateChange {
    /// The site's name.
    pub site: String,
    /// The previous state.
    pub from: SiteState,
    /// The new state.
    pub to: SiteState,
    /// Why the state has changed.
    pub reason: StateChangeReason,
}

/// Another node uses a newer configuration, or another one of the same version; reported once for each configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigMismatch {
    /// The node's name.
    pub node: String,
    /// Version of its configuration, at least [`ConfigMismatch::own`].
    pub version: u64,
    /// Version of this node's configuration.
    pub own: u64,
}

/// What is known of a site, with times by this node's clock.
#[derive(Clone, Debug)]
struct SiteView {
    number: u32,
    state: SiteState,
    since: Micros,
    /// The newest heartbeat from any source, and its time.
    heartbeat: (u64, Micros),
    /// The newest heartbeat that the own site received directly, and its time.
    direct: (u64, Micros),
    /// When this node last received a message from the site.
    received_at: Micros,
    /// When the site, by its own report, last received a message from the own site.
    echoed_at: Micros,
    /// Round-trip time, and when it was observed.
    round_trip: (Micros, Micros),
    /// Since when messages have arrived in both directions.
    reachable_since: Option<Micros>,
    /// Since when recent heartbeats have been known without a gap.
    alive_since: Option<Micros>,
    /// When the site last became `Returning`.
    returning_since: Micros,
    /// Index of the site's node that received the last message.
    next_node: usize,
}

impl SiteView {
    /// Returns when this node or another one of its site last received a message from the site.
    fn last_received(&self) -> Micros {
        self.direct.1.max(self.received_at)
    }

    /// Returns the time of the site's newest heartbeat from any source.
    fn last_heartbeat(&self) -> Micros {
        self.heartbeat.1.max(self.last_received())
    }
}

/// The states of all sites as seen by one node.
#[derive(Clone, Debug)]
pub struct SiteHealth {
    me: u32,
    config: SitesConfig,
    /// Index of the own site in the configuration.
    own_index: usize,
    views: Vec<SiteView>,
    rng: Rand32,
    /// The newest heartbeat of the own site.
    heartbeat: u64,
    /// Recent heartbeats of the own site, with the times at which they became known.
    heartbeats: VecDeque<(u64, Micros)>,
    last_active: Micros,
    /// Since when this process has run without being suspended.
    running_since: Micros,
    /// Until this time messages must echo at least this heartbeat, because older ones may have been buffered while the
    /// process was suspended.
    resumed: (Micros, u64),
    next_remote: Micros,
    next_site: usize,
    next_local: Micros,
    isolated_since: Option<Micros>,
    /// The last reported load by node number, including this node's, with its time.
    loads: BTreeMap<u32, (Load, Micros)>,
    /// Digest of this node's configuration.
    digest: u32,
    /// Version and digest of the newest configuration that each other node has reported.
    versions: BTreeMap<u32, (u64, u32)>,
    /// Version and digest of the differing configurations that were reported already.
    reported_configs: BTreeSet<(u64, u32)>,
    mismatches: Vec<ConfigMismatch>,
    outgoing: Vec<(u32, Message)>,
    changes: Vec<StateChange>,
}

/// The configuration does not list the node in any site.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("no site of the sites file has the node numbered {0}")]
#[diagnostic(help("add this node to one (site ... (node NAME \"ADDRESS\")) of the sites file"))]
pub struct NoSiteError(pub u32);

/// Returns the number that represents a class's name in messages.
pub fn class_number(name: &str) -> u32 {
    NodeId::of(name).0
}

fn age_ms(at: Micros, now: Micros) -> u32 {
    ((now.saturating_sub(at)).max(0) / 1_000).min(Micros::from(MAX_AGE_MS)) as u32
}

fn time_of_age(age_ms: u32, now: Micros) -> Micros {
    if age_ms >= MAX_AGE_MS {
        NEVER
    } else {
        now - Micros::from(age_ms) * 1_000
    }
}

impl SiteHealth {
    /// Creates the view of a node that starts now, given its number in the configuration. All sites are linked until
    /// they have been silent for long enough.
    ///
    /// # Errors
    /// If the configuration does not list the node.
    pub fn new(me: u32, config: &SitesConfig, seed: u64, now: Micros) -> Result<SiteHealth, NoSiteError> {
        let mut site_health = SiteHealth {
            me,
            config: SitesConfig::default(),
            own_index: 0,
            views: Vec::new(),
            rng: Rand32::new(seed),
            heartbeat: 1,
            heartbeats: VecDeque::from([(1, now)]),
            last_active: now,
            running_since: now,
            resumed: (NEVER, 0),
            next_remote: now,
            next_site: 0,
            next_local: now,
            isolated_since: None,
            loads: BTreeMap::new(),
            digest: 0,
            versions: BTreeMap::new(),
            reported_configs: BTreeSet::new(),
            mismatches: Vec::new(),
            outgoing: Vec::new(),
            changes: Vec::new(),
        };
        site_health.update_config(config, now)?;
        Ok(site_health)
    }

    /// Applies another configuration. What is known of sites that it still names is kept.
    ///
    /// # Errors
    /// If it does not list this node; nothing has changed then.
    pub fn update_config(&mut self, config: &SitesConfig, now: Micros) -> Result<(), NoSiteError> {
        let own = config.sites.iter().position(|s| s.nodes.iter().any(|n| n.number == self.me));
        let own = own.ok_or(NoSiteError(self.me))?;
        let mut previous = std::mem::take(&mut self.views);
        for site in &config.sites {
            let kept = previous.iter().position(|v| v.number == site.number).map(|k| previous.swap_remove(k));
            let next_node = self.rng.rand_range(0..site.nodes.len().max(1) as u32) as usize;
            self.views.push(kept.unwrap_or(SiteView {
                number: site.number,
                state: SiteState::Linked,
                since: now,
                heartbeat: (0, NEVER),
                direct: (0, NEVER),
                received_at: NEVER,
                echoed_at: NEVER,
                round_trip: (0, NEVER),
                reachable_since: None,
                alive_since: None,
                returning_since: NEVER,
                next_node,
            }));
        }
        self.loads.retain(|node, _| config.node(*node).is_some());
        self.versions.retain(|node, _| config.node(*node).is_some());
        (self.config, self.digest) = (config.clone(), config.digest());
        self.reported_configs.retain(|(version, _)| *version >= config.version);
        self.own_index = own;
        self.next_site = own + 1;
        Ok(())
    }

    /// Silence after which a site is doubtful, in microseconds.
    fn suspect_time(&self) -> Micros {
        self.config.alone / 2
    }

    /// Detects that this process was suspended, in which case silence proves nothing about other sites.
    fn detect_suspension(&mut self, now: Micros) {
        let gap = now - self.last_active;
        self.last_active = self.last_active.max(now);
        if gap < self.config.alone / 4 {
            return;
        }
        self.running_since = now;
        // More than all nodes of the site can have counted meanwhile.
        self.raise_heartbeat(self.heartbeat + 64 + (gap / 10_000) as u64, now);
        self.resumed = (now + self.config.alone / 2, self.heartbeat);
    }

    /// Raises the heartbeat of the own site to a greater value.
    fn raise_heartbeat(&mut self, heartbeat: u64, now: Micros) {
        if heartbeat > self.heartbeat {
            self.heartbeat = heartbeat;
            self.heartbeats.push_back((heartbeat, now));
            if self.heartbeats.len() > MAX_REMEMBERED {
                self.heartbeats.pop_front();
            }
        }
    }

    /// Returns when a heartbeat of the own site became known: the oldest kept time for older ones, now for newer ones.
    fn heartbeat_known_at(&self, heartbeat: u64, now: Micros) -> Micros {
        self.heartbeats.iter().find(|(h, _)| *h >= heartbeat).map_or(now, |(_, at)| *at)
    }

    /// Processes a message of another node.
    ///
    /// # Errors
    /// If the message is rejected; nothing has changed then.
    pub fn receive(&mut self, from: u32, message: &Message, now: Micros) -> Result<(), ReceiveError> {
        self.detect_suspension(now);
        let site = self.config.site_of_node(from).ok_or(ReceiveError::UnknownNode(from))?;
        if site.number != message.site {
            return Err(ReceiveError::WrongSite { node: from, site: message.site });
        }
        let index = self.config.site_index(message.site).ok_or(ReceiveError::UnknownNode(from))?;
        let me = self.views.get(self.own_index).map_or(0, |v| v.number);
        let same_site = index == self.own_index;
        let own_report = message.others.iter().find(|t| t.site == me).copied();
        // All of the message is validated before any of it takes effect.
        let is_implausible_jump =
            |known: u64, heartbeat: u64| known > 1 && heartbeat > known.saturating_add(MAX_HEARTBEAT_JUMP);
        for t in &message.others {
            let view = self.views.iter().find(|v| v.number == t.site);
            let known = if t.site == me { Some(self.heartbeat) } else { view.map(|v| v.heartbeat.0) };
            let max_heartbeat = t.heartbeat.max(t.direct);
            if known.is_some_and(|known| is_implausible_jump(known, max_heartbeat))
                || max_heartbeat > MAX_HEARTBEAT
            {
                return Err(ReceiveError::ImplausibleHeartbeat(max_heartbeat));
            }
        }
        let known =
            if same_site { self.heartbeat } else { self.views.get(index).map_or(0, |v| v.heartbeat.0) };
        if is_implausible_jump(known, message.heartbeat) || message.heartbeat > MAX_HEARTBEAT {
            return Err(ReceiveError::ImplausibleHeartbeat(message.heartbeat));
        }
        // The heartbeat of the own site that the message echoes.
        let echo = if same_site { message.heartbeat } else { own_report.map_or(0, |t| t.direct) };
        if now < self.resumed.0 && echo < self.resumed.1 {
            return Err(ReceiveError::Stale);
        }
        let round_trip = match own_report.filter(|t| !same_site && t.direct > 0 && t.direct_age < MAX_AGE_MS)
        {
            Some(t) => {
                let delay = Micros::from(t.direct_age) * 1_000;
                (now - self.heartbeat_known_at(t.direct, now) - delay).max(0)
            }
            None => 0,
        };
        if round_trip >= 2 * self.config.alone {
            return Err(ReceiveError::Stale);
        }
        let version = self.versions.entry(from).or_default();
        if message.version >= version.0 {
            *version = (message.version, message.digest);
        }
        self.check_config(from, message);
        if let Some(load) = &message.load {
            self.loads.insert(from, (load.clone(), now));
        }
        if same_site {
            self.raise_heartbeat(message.heartbeat, now);
        }
        if let Some(t) = own_report {
            self.raise_heartbeat(t.heartbeat.max(t.direct), now);
        }
        for t in message.others.iter().filter(|t| t.site != me) {
            let Some(view) = self.views.iter_mut().find(|v| v.number == t.site) else { continue };
            if t.heartbeat > view.heartbeat.0 {
                view.heartbeat = (t.heartbeat, view.heartbeat.1.max(time_of_age(t.heartbeat_age, now)));
            }
            if same_site && t.direct > view.direct.0 {
                view.direct = (t.direct, view.direct.1.max(time_of_age(t.direct_age, now)));
                view.echoed_at = time_of_age(t.echo_age, now);
            }
        }
        if let Some(view) = self.views.get_mut(index).filter(|_| !same_site) {
            if message.heartbeat > view.heartbeat.0 {
                view.heartbeat = (message.heartbeat, now);
            }
            // A node that lags behind its site must not refresh the time of a newer heartbeat.
            if message.heartbeat > view.direct.0 {
                view.direct = (message.heartbeat, now);
            }
            view.received_at = now;
            if let Some(t) = own_report.filter(|t| t.direct > 0) {
                view.echoed_at = view.echoed_at.max(time_of_age(t.direct_age, now));
                view.round_trip = (round_trip, now);
            }
        }
        Ok(())
    }

    /// Records that another node uses a newer configuration or another one of this version.
    fn check_config(&mut self, from: u32, message: &Message) {
        let (version, own) = (message.version, self.config.version);
        let other = version > own || (version == own && message.digest != 0 && message.digest != self.digest);
        // The bound limits memory, since a faulty node can report any version.
        if !other
            || self.reported_configs.len() >= MAX_REMEMBERED
            || !self.reported_configs.insert((version, message.digest))
        {
            return;
        }
        let node = self.config.node(from).map_or(String::new(), |n| n.name.clone());
        self.mismatches.push(ConfigMismatch { node, version, own });
    }

    /// Returns the configuration mismatches since the last call.
    pub fn take_config_mismatches(&mut self) -> Vec<ConfigMismatch> {
        std::mem::take(&mut self.mismatches)
    }

    /// Updates the states of all sites and queues the messages that are due. Must be called at [`SiteHealth::due`] at
    /// the latest.
    pub fn tick(&mut self, now: Micros) {
        self.detect_suspension(now);
        self.update_states(now);
        let sites = self.config.sites.len();
        if now >= self.next_local {
            self.next_local = now + self.config.alone / LOCAL_ROUNDS;
            self.increase_heartbeat(now);
            let nodes = self.config.sites.get(self.own_index).map_or(0, |s| s.nodes.len());
            let first_node = self.rng.rand_range(0..nodes.max(1) as u32) as usize;
            let mut sent_to = 0;
            for k in 0..nodes {
                let at = (first_node + k) % nodes;
                let to =
                    self.config.sites.get(self.own_index).and_then(|s| s.nodes.get(at)).map(|n| n.number);
                if let Some(to) = to.filter(|to| *to != self.me && sent_to < LOCAL_FANOUT) {
                    sent_to += 1;
                    self.send(to, now);
                }
            }
            for index in (0..sites).filter(|_| nodes <= SMALL_SITE_NODES) {
                if self.is_quiet(index, now) {
                    self.notify_site(index, now);
                }
            }
        }
        let interval = (self.config.alone / REMOTE_MESSAGES / (sites.max(2) as Micros - 1)).max(1);
        // After a late call, each other site gets one message at most.
        let mut remaining = sites.saturating_sub(1);
        if remaining == 0 {
            self.next_remote = now + interval;
        }
        while now >= self.next_remote && remaining > 0 {
            remaining -= 1;
            self.next_remote = if remaining == 0 { now + interval } else { self.next_remote + interval };
            self.increase_heartbeat(now);
            if self.next_site % sites == self.own_index {
                self.next_site += 1;
            }
            let index = self.next_site % sites;
            self.next_site = index + 1;
            self.notify_site(index, now);
        }
    }

    /// Queues a message to the next node of a site.
    fn notify_site(&mut self, index: usize, now: Micros) {
        let nodes = self.config.sites.get(index).map(|s| s.nodes.as_slice()).unwrap_or_default();
        let Some(view) = self.views.get_mut(index) else { return };
        view.next_node = (view.next_node + 1) % nodes.len().max(1);
        if let Some(to) = nodes.get(view.next_node).map(|n| n.number) {
            self.send(to, now);
        }
    }

    /// Returns whether a reachable site has been silent, or has received nothing from this one, for longer than usual.
    fn is_quiet(&self, index: usize, now: Micros) -> bool {
        let is_reachable =
            |v: &&SiteView| index != self.own_index && !matches!(v.state, SiteState::Alone | SiteState::Lost);
        let view = self.views.get(index).filter(is_reachable);
        view.is_some_and(|v| {
            self.silence(v.last_received().min(v.echoed_at), now) >= self.config.alone / QUIET_DIVISOR
        })
    }

    /// Increases the heartbeat of the own site, unless another node of it has just done so.
    fn increase_heartbeat(&mut self, now: Micros) {
        let last = self.heartbeats.back().map_or(NEVER, |(_, at)| *at);
        if now - last >= self.config.alone / LOCAL_ROUNDS * 4 / 5 {
            self.raise_heartbeat(self.heartbeat + 1, now);
        }
    }

    fn send(&mut self, to: u32, now: Micros) {
        let own = self.views.get(self.own_index).map_or(0, |v| v.number);
        let others = self.views.iter().filter(|v| v.number != own).map(|v| SiteReport {
            site: v.number,
            heartbeat: v.heartbeat.0,
            heartbeat_age: age_ms(v.heartbeat.1, now),
            direct: v.direct.0,
            direct_age: age_ms(v.direct.1, now),
            echo_age: age_ms(v.echoed_at, now),
        });
        let (others, load) = (others.collect(), self.loads.get(&self.me).map(|(l, _)| l.clone()));
        let (heartbeat, version, digest) = (self.heartbeat, self.config.version, self.digest);
        let message = Message { site: own, heartbeat, version, digest, others, load };
        self.outgoing.push((to, message));
    }

    /// Sets the load that this node reports for its site from now on.
    pub fn report(&mut self, mut load: Load) {
        load.demand.truncate(MAX_CLASSES);
        self.loads.insert(self.me, (load, self.last_active));
    }

    /// Returns the load of a site by the last reports of its nodes, which may be from before the loss of the site.
    /// Nodes without a report count with the average demand of the others. `None` without any report.
    pub fn load(&self, site: &str) -> Option<Load> {
        let nodes = &self.config.site(site)?.nodes;
        let reported: Vec<&(Load, Micros)> = nodes.iter().filter_map(|n| self.loads.get(&n.number)).collect();
        let count = u64::try_from(reported.len()).ok().filter(|c| *c > 0)?;
        // Old reports are ignored, since the last one of a removed node would otherwise delay the site's return.
        let oldest = reported.iter().map(|(_, at)| *at).max().unwrap_or(0) - 2 * self.config.alone;
        let mut demand: BTreeMap<u32, u128> = BTreeMap::new();
        for (class, units) in reported.iter().flat_map(|(l, _)| &l.demand) {
            *demand.entry(*class).or_default() += u128::from(*units);
        }
        let estimated_total =
            |sum: u128| u64::try_from(sum * nodes.len() as u128 / u128::from(count)).unwrap_or(u64::MAX);
        Some(Load {
            load_percent: reported
                .iter()
                .filter(|(_, at)| *at >= oldest)
                .map(|(l, _)| l.load_percent)
                .min()
                .unwrap_or(100),
            capacity: (reported.iter().map(|(l, _)| u128::from(l.capacity)).sum::<u128>() / u128::from(count))
                as u64,
            demand: demand.into_iter().map(|(class, sum)| (class, estimated_total(sum))).collect(),
        })
    }

    /// Returns the messages queued since the last call, each with the number of its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(u32, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns when [`SiteHealth::tick`] must be called next.
    pub fn due(&self, now: Micros) -> Micros {
        self.next_local.min(self.next_remote).max(now)
    }

    /// Updates the states of all other sites.
    fn update_states(&mut self, now: Micros) {
        for index in (0..self.views.len()).filter(|p| *p != self.own_index) {
            let declared = self.config.sites.get(index).and_then(|s| self.config.declared_lost(&s.name));
            let (to, reason) = match self.views.get(index).and_then(|v| self.next_state(v, declared, now)) {
                Some(change) => change,
                None => continue,
            };
            let name = self.config.sites.get(index).map_or(String::new(), |s| s.name.clone());
            if let Some(view) = self.views.get_mut(index) {
                self.changes.push(StateChange { site: name, from: view.state, to, reason });
                (view.state, view.since) = (to, now);
                view.returning_since = if to == SiteState::Returning { now } else { view.returning_since };
            }
        }
        for index in 0..self.views.len() {
            let is_linked = self.views.get(index).is_some_and(|v| self.link_fault(v, now).is_none());
            let is_alive = self
                .views
                .get(index)
                .is_some_and(|v| self.silence(v.last_heartbeat(), now) < self.suspect_time());
            if let Some(view) = self.views.get_mut(index) {
                view.reachable_since = if is_linked { view.reachable_since.or(Some(now)) } else { None };
                view.alive_since = if is_alive { view.alive_since.or(Some(now)) } else { None };
            }
        }
        let is_reachable = |s: SiteState| !matches!(s, SiteState::Alone | SiteState::Lost);
        let mut others = self.views.iter().enumerate().filter(|(p, _)| *p != self.own_index).peekable();
        let isolated = others.peek().is_some() && others.all(|(_, v)| !is_reachable(v.state));
        self.isolated_since = if isolated { self.isolated_since.or(Some(now)) } else { None };
    }

    /// Returns the time since an event, counting only the time in which this process was not suspended.
    fn silence(&self, at: Micros, now: Micros) -> Micros {
        now - at.max(self.running_since)
    }

    /// Returns what is wrong with the link to a site; `None` if messages arrive in time in both directions.
    fn link_fault(&self, v: &SiteView, now: Micros) -> Option<StateChangeReason> {
        let (direct, echo) = (self.silence(v.last_received(), now), self.silence(v.echoed_at, now));
        if v.round_trip.0 >= self.suspect_time() && now - v.round_trip.1 < self.suspect_time() {
            return Some(StateChangeReason::Slow(v.round_trip.0));
        }
        if direct >= self.suspect_time() {
            return Some(StateChangeReason::Quiet(direct));
        }
        // Allows more time than for a message: an echo needs two messages, each of which may be lost.
        (echo >= self.config.alone * 3 / 4).then_some(StateChangeReason::OneWay(echo))
    }

    fn next_state(
        &self,
        v: &SiteView,
        declared: Option<u64>,
        now: Micros,
    ) -> Option<(SiteState, StateChangeReason)> {
        if let Some(number) = declared {
            return (v.state != SiteState::Lost)
                .then_some((SiteState::Lost, StateChangeReason::Declared(number)));
        }
        let alone = self.config.alone;
        let heartbeat_silence = self.silence(v.last_heartbeat(), now);
        let has_recent_round_trip = now - v.round_trip.1 < self.suspect_time();
        let fault = self.link_fault(v, now);
        let slow = has_recent_round_trip && matches!(fault, Some(StateChangeReason::Slow(_)));
        let reachable_for = v.reachable_since.map_or(0, |at| now - at);
        let change_to = |to: SiteState, reason: StateChangeReason| (v.state != to).then_some((to, reason));
        // Late messages still prove that the site is alive and receives messages.
        if !slow && heartbeat_silence >= alone {
            return change_to(SiteState::Lost, StateChangeReason::Silent(heartbeat_silence));
        }
        // Allows an echo more time than a message: it needs two messages, each of which may be lost.
        let is_unreachable =
            self.silence(v.last_received(), now) >= alone || self.silence(v.echoed_at, now) >= alone * 5 / 4;
        // Without a recent heartbeat the site is about to be lost, and a lost site may be about to be reachable again;
        // an intermediate state would only add a change.
        let alive_for = v.alive_since.map_or(0, |at| now - at);
        if !slow
            && is_unreachable
            && heartbeat_silence < self.suspect_time()
            && (v.state != SiteState::Lost || alive_for >= self.config.confirm)
        {
            return change_to(SiteState::Alone, StateChangeReason::Unreachable);
        }
        match (v.state, fault) {
            (SiteState::Linked, Some(reason)) => Some((SiteState::Doubtful, reason)),
            (SiteState::Doubtful, None) if reachable_for >= self.config.confirm => {
                Some((SiteState::Linked, StateChangeReason::Reachable(reachable_for)))
            }
            (SiteState::Alone | SiteState::Lost, None) => {
                // A site that was lost again while returning has to be reachable for longer.
                let lost_recently = now - v.returning_since < 10 * self.config.hold;
                let required_time = if lost_recently { self.config.hold } else { self.config.confirm };
                (reachable_for >= required_time)
                    .then_some((SiteState::Returning, StateChangeReason::Reachable(reachable_for)))
            }
            (SiteState::WholeAgain, None) if now - v.since >= self.config.hold => {
                Some((SiteState::Linked, StateChangeReason::Stable))
            }
            _ => None,
        }
    }

    /// Records that a returning site takes its full load (see [`SiteHealth::load`]) and that the histories agree.
    pub fn mark_recovered(&mut self, site: &str, now: Micros) {
        let index = self.config.sites.iter().position(|s| s.name == site);
        let Some(view) = index.and_then(|p| self.views.get_mut(p)) else { return };
        if view.state == SiteState::Returning {
            let from = std::mem::replace(&mut view.state, SiteState::WholeAgain);
            view.since = now;
            self.changes.push(StateChange {
                site: site.to_string(),
                from,
                to: SiteState::WholeAgain,
                reason: StateChangeReason::FullLoad,
            });
        }
    }

    /// Returns the state of a site; the own site is linked. `None` for a site that the configuration does not name.
    pub fn state(&self, site: &str) -> Option<SiteState> {
        let index = self.config.sites.iter().position(|s| s.name == site)?;
        self.views.get(index).map(|v| v.state)
    }

    /// Returns all sites with their states and the times of the last changes, in the order of the configuration.
    pub fn states(&self) -> Vec<(String, SiteState, Micros)> {
        let all = self.config.sites.iter().zip(&self.views);
        all.map(|(s, v)| (s.name.clone(), v.state, v.since)).collect()
    }

    /// Returns the changes of states since the last call.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether no other site can be reached.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Returns since when no other site can be reached; `None` if one can.
    pub fn isolated_since(&self) -> Option<Micros> {
        self.isolated_since
    }

    /// Returns the latest time since which messages of a majority of the sites, including this one, have arrived;
    /// `None` if that is longer ago than [`SitesConfig::confirm`]. Messages that were buffered while this process was
    /// suspended don't count.
    pub fn majority_contact_at(&self, now: Micros) -> Option<Micros> {
        let confirm = self.config.confirm;
        // A single site is a majority by itself.
        if self.config.sites.len() == 1 {
            return Some(now);
        }
        let others =
            self.views.iter().enumerate().filter(|(p, v)| *p != self.own_index && v.round_trip.0 < confirm);
        let mut last_received: Vec<Micros> = others.map(|(_, v)| v.last_received()).collect();
        last_received.sort_unstable_by(|a, b| b.cmp(a));
        // The other sites that a majority needs besides this one.
        let last = last_received.get((self.config.sites.len() / 2).checked_sub(1)?);
        last.copied().filter(|at| now - at < confirm)
    }

    /// Returns whether a majority of the sites has been in contact within [`SitesConfig::confirm`].
    pub fn has_majority_contact(&self, now: Micros) -> bool {
        self.majority_contact_at(now).is_some()
    }

    /// Returns whether every other node has reported that it uses this configuration; a node with another one may
    /// assign keys to other owners. Sites that are declared lost are ignored. Nodes report in turn, so a large fleet
    /// takes a while.
    pub fn all_nodes_use_config(&self) -> bool {
        let is_same = |reported: &(u64, u32)| {
            reported.0 == self.config.version && (reported.1 == 0 || reported.1 == self.digest)
        };
        let uses_config = |node: u32| node == self.me || self.versions.get(&node).is_some_and(is_same);
        let mut expected = self.config.nodes().filter(|(s, _)| self.config.declared_lost(&s.name).is_none());
        expected.all(|(_, n)| uses_config(n.number))
    }

    /// Returns the configuration in service.
    pub fn config(&self) -> &SitesConfig {
        &self.config
    }

    /// Returns the number of this node.
    pub fn me(&self) -> u32 {
        self.me
    }

    /// Returns the name of this node's site.
    pub fn site(&self) -> &str {
        self.config.sites.get(self.own_index).map_or("", |s| s.name.as_str())
    }
}
