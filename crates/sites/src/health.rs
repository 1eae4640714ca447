//! Sites as one node sees them: linked, only slow, cut off, or lost.
//!
//! Each node tells one node of each other site in turn, and nodes of its own, what it knows of all sites ([`Message`]): how long ago its
//! site heard another one directly, whether that one hears it, and the newest sign of life of it that anybody has told of. So a cut between
//! two sites is told from a loss by the word of a third, and a link that works one way by what the other side says it hears.
//!
//! A sign of life is the number that a site's nodes count up together (a Lamport clock, "Time, clocks, and the ordering of events in a
//! distributed system", section 2). An old sign that is told around and around refreshes nothing, and each sign keeps its
//! age. A word echoes a number of the hearer's site, so how long words take there and back is known: a slow link is doubtful, and words
//! that lay in a buffer while this process stood still make nobody alive.
//!
//! What is seen is a hint, never a permission: a lost site's keys are its own until their leases have ended.

use crate::config::SitesConfig;
use crate::{Micros, SiteState};
use oorandom::Rand32;
use serde::{Deserialize, Serialize};
use shorepath_quota::NodeId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Each other site is told something so often in the time after which it would be alone.
const NOTIFY_INTERVAL: Micros = 10;
/// Nodes of one's own site are told this often in it.
const NOTIFY_OWN: Micros = 20;
/// A site that is quiet for this part of it is told as often, by the nodes of a site of a few: there, a few words that are lost are all.
const QUIET: Micros = 5;
const FEW: usize = 4;
/// How many of them each time.
const OWN: usize = 3;
/// Ages above this are told as this, in milliseconds.
const OLDEST: u32 = 99_999;
/// Numbers of one's own site whose times are remembered.
const REMEMBERED: usize = 256;
/// A number further ahead than this of what is known is no number, nor is one beyond [`MOST`].
const AHEAD: u64 = 1 << 32;
const MOST: u64 = 1 << 53;
/// Classes whose demand is told at most.
pub const MAX_CLASSES: usize = 6;
/// Long ago.
const NEVER: Micros = Micros::MIN / 4;

/// What a node says of one other site, ages in milliseconds. As a list in JSON, to be short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u32, u64, u32, u64, u32, u32)", into = "(u32, u64, u32, u64, u32, u32)")]
pub struct SiteReport {
    /// The site, by the number of its name.
    pub site: u32,
    /// Its newest sign of life that the speaker knows of, by anybody; 0 for none.
    pub heartbeat: u64,
    /// How old that is.
    pub heartbeat_age: u32,
    /// The newest that the speaker's site heard from it directly; 0 for none.
    pub direct: u64,
    /// How old that is.
    pub direct_age: u32,
    /// How long ago that site had heard the speaker's directly, by its own word.
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

/// What a node says of its own site's load. As a list in JSON, to be short.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u8, u64, Vec<(u32, u64)>)", into = "(u8, u64, Vec<(u32, u64)>)")]
pub struct Load {
    /// The part of its usual load that the site takes, in hundredths; less than all of it while it returns.
    pub load_percent: u8,
    /// What the site's servers bear now, as the speaker sees it, in units a second.
    pub capacity: u64,
    /// What clients ask the speaker for, in units a second, by the number of the class's name ([`class_number`]); [`MAX_CLASSES`] at most.
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

/// What a node says to another one. In JSON unknown fields are passed over; 1,200 bytes hold it at 20 sites.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Message {
    /// The speaker's site, by the number of its name.
    #[serde(rename = "s")]
    pub site: u32,
    /// The newest sign of life of the speaker's site.
    #[serde(rename = "n")]
    pub number: u64,
    /// The version of the speaker's file.
    #[serde(rename = "v")]
    pub version: u64,
    /// What stands for that file, [`SitesConfig::digest`]; 0 where the speaker does not say.
    #[serde(rename = "d", default)]
    pub digest: u32,
    /// All other sites.
    #[serde(rename = "o")]
    pub others: Vec<SiteReport>,
    /// What the speaker's site bears and is asked for, where the speaker knows.
    #[serde(rename = "l", default)]
    pub load: Option<Load>,
}

/// Why a word was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error, miette::Diagnostic)]
pub enum ReceiveError {
    /// The speaker is not in the file.
    #[error("no node of the file has the number {0}")]
    #[diagnostic(help("put one file of sites into service at all nodes; compare their versions"))]
    UnknownNode(u32),
    /// The speaker takes itself for a node of another site.
    #[error("node {node} says that it is of a site numbered {site}, the file has it elsewhere")]
    #[diagnostic(help("put one file of sites into service at all nodes; compare their versions"))]
    WrongSite {
        /// The speaker.
        node: u32,
        /// The site that it names.
        site: u32,
    },
    /// It was said before this process last stood still, or was on the way for far too long.
    #[error("said long ago: this process stood still, or the word lay somewhere")]
    #[diagnostic(help("nothing is to be done: newer words follow"))]
    Stale,
    /// A number that can't be reached by counting.
    #[error("the number {0} is out of reach")]
    #[diagnostic(help("the speaker is faulty, or not of this fleet: restart it, and check its key"))]
    OutOfReach(u64),
}

/// Why a site is seen otherwise than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StateChangeReason {
    /// Nothing was heard from it directly for so long, in microseconds.
    Quiet(Micros),
    /// It does not hear this site, for so long, in microseconds.
    OneWay(Micros),
    /// Words take so long there and back, in microseconds.
    Slow(Micros),
    /// Others hear it, this site doesn't or isn't heard.
    Cut,
    /// Nobody has heard of it for so long, in microseconds.
    Silent(Micros),
    /// An operator declares it lost, by a line of that number.
    Declared(u64),
    /// Words go both ways again, for so long, in microseconds.
    Back(Micros),
    /// It has taken all of its load.
    Taken,
    /// All is as before for long enough.
    Calm,
}

impl fmt::Display for StateChangeReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = |t: &Micros| *t as f64 / 1e6;
        match self {
            StateChangeReason::Quiet(t) => write!(f, "nothing heard from it for {:.1} s", s(t)),
            StateChangeReason::OneWay(t) => {
                write!(f, "heard, but it has not heard this site for {:.1} s", s(t))
            }
            StateChangeReason::Slow(t) => write!(f, "words take {:.1} s there and back", s(t)),
            StateChangeReason::Cut => write!(f, "others hear it, this site can't reach it"),
            StateChangeReason::Silent(t) => write!(f, "nobody has heard of it for {:.1} s", s(t)),
            StateChangeReason::Declared(n) => write!(f, "declared lost by line {n} of the operator's file"),
            StateChangeReason::Back(t) => write!(f, "words have gone both ways for {:.1} s", s(t)),
            StateChangeReason::Taken => write!(f, "it has taken all of its load"),
            StateChangeReason::Calm => write!(f, "all is as before"),
        }
    }
}

/// A site is seen otherwise than before; one line in the log each.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StateChange {
    /// The site's name.
    pub site: String,
    /// What it was.
    pub from: SiteState,
    /// What it is.
    pub to: SiteState,
    /// Why.
    pub reason: StateChangeReason,
}

/// Another node goes by another file; told once for each file.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigMismatch {
    /// The node's name.
    pub node: String,
    /// The version of its file: greater than here, or the same.
    pub version: u64,
    /// The version of the file here.
    pub own: u64,
}

/// What is known of another site, times by one's own clock.
#[derive(Clone, Debug)]
struct View {
    number: u32,
    seen: SiteState,
    since: Micros,
    /// The newest sign of life, and from when it is.
    sign: (u64, Micros),
    /// The newest that one's own site heard directly.
    direct: (u64, Micros),
    /// When this node last heard any word of it itself.
    arrived: Micros,
    /// When it had last heard one's own site, by its own word.
    back: Micros,
    /// There and back, and when that was measured.
    trip: (Micros, Micros),
    /// Words have gone both ways since then.
    good: Option<Micros>,
    /// Somebody has told of it again and again since then.
    lives: Option<Micros>,
    /// When it last began to return.
    returned: Micros,
    /// Whom to tell next of its nodes.
    turn: usize,
}

impl View {
    /// When this site, by this node or another one, last heard it directly.
    fn received(&self) -> Micros {
        self.direct.1.max(self.arrived)
    }

    /// From when its newest sign of life is, by anybody.
    fn signed(&self) -> Micros {
        self.sign.1.max(self.received())
    }
}

/// All other sites, as this node sees them.
#[derive(Clone, Debug)]
pub struct SiteHealth {
    me: u32,
    plan: SitesConfig,
    /// The place of one's own site in the file.
    own: usize,
    views: Vec<View>,
    luck: Rand32,
    /// The newest number of one's own site, and when it was counted up, with some before it.
    number: u64,
    numbers: VecDeque<(u64, Micros)>,
    /// When it last did anything; and from when on it has listened without a gap.
    last: Micros,
    listens: Micros,
    /// Until then a word has to echo that number to count: it could have lain in a buffer.
    woke: (Micros, u64),
    next_far: Micros,
    far: usize,
    next_own: Micros,
    alone_since: Option<Micros>,
    /// What nodes, this one too, last said of their site's load, and when.
    loads: BTreeMap<u32, (Load, Micros)>,
    /// What stands for the file here.
    digest: u32,
    /// The newest version of the file that each other node has said it goes by, with what stands for it.
    versions: BTreeMap<u32, (u64, u32)>,
    /// Other files that were told of already.
    differed: BTreeSet<(u64, u32)>,
    differs: Vec<ConfigMismatch>,
    out: Vec<(u32, Message)>,
    changed: Vec<StateChange>,
}

/// The node is in no site of the file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
#[error("no site of the file has the node numbered {0}")]
#[diagnostic(help("give this node's name to one (site ... (node NAME \"ADDRESS\")) of the file of sites"))]
pub struct NoSiteError(pub u32);

/// The number that stands for a class's name in words.
pub fn class_number(name: &str) -> u32 {
    NodeId::of(name).0
}

fn age(at: Micros, now: Micros) -> u32 {
    ((now.saturating_sub(at)).max(0) / 1_000).min(Micros::from(OLDEST)) as u32
}

fn from_age(age: u32, now: Micros) -> Micros {
    if age >= OLDEST {
        NEVER
    } else {
        now - Micros::from(age) * 1_000
    }
}

impl SiteHealth {
    /// A node that begins now, by its number in the file. All others are linked until it has listened for long enough to say otherwise.
    ///
    /// # Errors
    /// Where the file does not name the node.
    pub fn new(me: u32, plan: &SitesConfig, seed: u64, now: Micros) -> Result<SiteHealth, NoSiteError> {
        let mut site_health = SiteHealth {
            me,
            plan: SitesConfig::default(),
            own: 0,
            views: Vec::new(),
            luck: Rand32::new(seed),
            number: 1,
            numbers: VecDeque::from([(1, now)]),
            last: now,
            listens: now,
            woke: (NEVER, 0),
            next_far: now,
            far: 0,
            next_own: now,
            alone_since: None,
            loads: BTreeMap::new(),
            digest: 0,
            versions: BTreeMap::new(),
            differed: BTreeSet::new(),
            differs: Vec::new(),
            out: Vec::new(),
            changed: Vec::new(),
        };
        site_health.update_config(plan, now)?;
        Ok(site_health)
    }

    /// Another file holds. What is known of sites that it still names is kept.
    ///
    /// # Errors
    /// Where it does not name this node; nothing has changed then.
    pub fn update_config(&mut self, plan: &SitesConfig, now: Micros) -> Result<(), NoSiteError> {
        let own = plan.sites.iter().position(|s| s.nodes.iter().any(|n| n.number == self.me));
        let own = own.ok_or(NoSiteError(self.me))?;
        let mut before = std::mem::take(&mut self.views);
        for site in &plan.sites {
            let kept = before.iter().position(|v| v.number == site.number).map(|k| before.swap_remove(k));
            let turn = self.luck.rand_range(0..site.nodes.len().max(1) as u32) as usize;
            self.views.push(kept.unwrap_or(View {
                number: site.number,
                seen: SiteState::Linked,
                since: now,
                sign: (0, NEVER),
                direct: (0, NEVER),
                arrived: NEVER,
                back: NEVER,
                trip: (0, NEVER),
                good: None,
                lives: None,
                returned: NEVER,
                turn,
            }));
        }
        self.loads.retain(|node, _| plan.node(*node).is_some());
        self.versions.retain(|node, _| plan.node(*node).is_some());
        (self.plan, self.digest) = (plan.clone(), plan.digest());
        self.differed.retain(|(version, _)| *version >= plan.version);
        self.own = own;
        self.far = own + 1;
        Ok(())
    }

    fn suspect(&self) -> Micros {
        self.plan.alone / 2
    }

    /// Notice that this process stood still: whoever was not heard meanwhile may have spoken.
    fn wake(&mut self, now: Micros) {
        let gap = now - self.last;
        self.last = self.last.max(now);
        if gap < self.plan.alone / 4 {
            return;
        }
        self.listens = now;
        // Further than all nodes of the site can have counted meanwhile.
        self.count(self.number + 64 + (gap / 10_000) as u64, now);
        self.woke = (now + self.plan.alone / 2, self.number);
    }

    fn count(&mut self, number: u64, now: Micros) {
        if number > self.number {
            self.number = number;
            self.numbers.push_back((number, now));
            if self.numbers.len() > REMEMBERED {
                self.numbers.pop_front();
            }
        }
    }

    /// When a number of one's own site was known here; the oldest remembered time for older ones, now for newer ones.
    fn knew(&self, number: u64, now: Micros) -> Micros {
        self.numbers.iter().find(|(n, _)| *n >= number).map_or(now, |(_, at)| *at)
    }

    /// Another node has said something.
    ///
    /// # Errors
    /// Where it was passed over; nothing has changed then.
    pub fn receive(&mut self, from: u32, message: &Message, now: Micros) -> Result<(), ReceiveError> {
        self.wake(now);
        let site = self.plan.site_of_node(from).ok_or(ReceiveError::UnknownNode(from))?;
        if site.number != message.site {
            return Err(ReceiveError::WrongSite { node: from, site: message.site });
        }
        let place = self.plan.site_index(message.site).ok_or(ReceiveError::UnknownNode(from))?;
        let me = self.views.get(self.own).map_or(0, |v| v.number);
        let mate = place == self.own;
        let about_us = message.others.iter().find(|t| t.site == me).copied();
        // Words are checked whole before anything of them counts.
        let reach = |known: u64, number: u64| known > 1 && number > known.saturating_add(AHEAD);
        for t in &message.others {
            let view = self.views.iter().find(|v| v.number == t.site);
            let known = if t.site == me { Some(self.number) } else { view.map(|v| v.sign.0) };
            let greatest = t.heartbeat.max(t.direct);
            if known.is_some_and(|known| reach(known, greatest)) || greatest > MOST {
                return Err(ReceiveError::OutOfReach(greatest));
            }
        }
        let known = if mate { self.number } else { self.views.get(place).map_or(0, |v| v.sign.0) };
        if reach(known, message.number) || message.number > MOST {
            return Err(ReceiveError::OutOfReach(message.number));
        }
        // What it echoes of one's own site, and how long that was on the way there and back.
        let echo = if mate { message.number } else { about_us.map_or(0, |t| t.direct) };
        if now < self.woke.0 && echo < self.woke.1 {
            return Err(ReceiveError::Stale);
        }
        let trip = match about_us.filter(|t| !mate && t.direct > 0 && t.direct_age < OLDEST) {
            Some(t) => {
                let there = Micros::from(t.direct_age) * 1_000;
                (now - self.knew(t.direct, now) - there).max(0)
            }
            None => 0,
        };
        if trip >= 2 * self.plan.alone {
            return Err(ReceiveError::Stale);
        }
        let version = self.versions.entry(from).or_default();
        if message.version >= version.0 {
            *version = (message.version, message.digest);
        }
        self.compare(from, message);
        if let Some(load) = &message.load {
            self.loads.insert(from, (load.clone(), now));
        }
        if mate {
            self.count(message.number, now);
        }
        if let Some(t) = about_us {
            self.count(t.heartbeat.max(t.direct), now);
        }
        for t in message.others.iter().filter(|t| t.site != me) {
            let Some(view) = self.views.iter_mut().find(|v| v.number == t.site) else { continue };
            if t.heartbeat > view.sign.0 {
                view.sign = (t.heartbeat, view.sign.1.max(from_age(t.heartbeat_age, now)));
            }
            if mate && t.direct > view.direct.0 {
                view.direct = (t.direct, view.direct.1.max(from_age(t.direct_age, now)));
                view.back = from_age(t.echo_age, now);
            }
        }
        if let Some(view) = self.views.get_mut(place).filter(|_| !mate) {
            if message.number > view.sign.0 {
                view.sign = (message.number, now);
            }
            // One that lags behind its site says nothing of when its newest was heard.
            if message.number > view.direct.0 {
                view.direct = (message.number, now);
            }
            view.arrived = now;
            if let Some(t) = about_us.filter(|t| t.direct > 0) {
                view.back = view.back.max(from_age(t.direct_age, now));
                view.trip = (trip, now);
            }
        }
        Ok(())
    }

    /// Notice that another node goes by a newer file, or by another one of this version.
    fn compare(&mut self, from: u32, message: &Message) {
        let (version, own) = (message.version, self.plan.version);
        let other = version > own || (version == own && message.digest != 0 && message.digest != self.digest);
        // A bound: whoever has the key can name any version.
        if !other || self.differed.len() >= REMEMBERED || !self.differed.insert((version, message.digest)) {
            return;
        }
        let node = self.plan.node(from).map_or(String::new(), |n| n.name.clone());
        self.differs.push(ConfigMismatch { node, version, own });
    }

    /// Who goes by another file than this node, since this was last asked.
    pub fn take_config_mismatches(&mut self) -> Vec<ConfigMismatch> {
        std::mem::take(&mut self.differs)
    }

    /// Time has passed: look at all sites anew, and speak where it is time to. Call it when [`SiteHealth::due`] says so, at the latest.
    pub fn tick(&mut self, now: Micros) {
        self.wake(now);
        self.look(now);
        let sites = self.plan.sites.len();
        if now >= self.next_own {
            self.next_own = now + self.plan.alone / NOTIFY_OWN;
            self.mint(now);
            let nodes = self.plan.sites.get(self.own).map_or(0, |s| s.nodes.len());
            let first = self.luck.rand_range(0..nodes.max(1) as u32) as usize;
            let mut notified = 0;
            for k in 0..nodes {
                let at = (first + k) % nodes;
                let to = self.plan.sites.get(self.own).and_then(|s| s.nodes.get(at)).map(|n| n.number);
                if let Some(to) = to.filter(|to| *to != self.me && notified < OWN) {
                    notified += 1;
                    self.send(to, now);
                }
            }
            for place in (0..sites).filter(|_| nodes <= FEW) {
                if self.is_quiet(place, now) {
                    self.notify_site(place, now);
                }
            }
        }
        let step = (self.plan.alone / NOTIFY_INTERVAL / (sites.max(2) as Micros - 1)).max(1);
        // One that comes late says what is due now, and nothing twice.
        let mut most = sites.saturating_sub(1);
        if most == 0 {
            self.next_far = now + step;
        }
        while now >= self.next_far && most > 0 {
            most -= 1;
            self.next_far = if most == 0 { now + step } else { self.next_far + step };
            self.mint(now);
            if self.far % sites == self.own {
                self.far += 1;
            }
            let place = self.far % sites;
            self.far = place + 1;
            self.notify_site(place, now);
        }
    }

    /// Say something to the next node of a site.
    fn notify_site(&mut self, place: usize, now: Micros) {
        let nodes = self.plan.sites.get(place).map(|s| s.nodes.as_slice()).unwrap_or_default();
        let Some(view) = self.views.get_mut(place) else { return };
        view.turn = (view.turn + 1) % nodes.len().max(1);
        if let Some(to) = nodes.get(view.turn).map(|n| n.number) {
            self.send(to, now);
        }
    }

    /// Whether another site that was there lately is not heard as usual, or says that it doesn't hear this one.
    fn is_quiet(&self, place: usize, now: Micros) -> bool {
        let there = |v: &&View| place != self.own && !matches!(v.seen, SiteState::Alone | SiteState::Lost);
        let view = self.views.get(place).filter(there);
        view.is_some_and(|v| self.quiet(v.received().min(v.back), now) >= self.plan.alone / QUIET)
    }

    /// Count up, unless somebody of this site has just done so.
    fn mint(&mut self, now: Micros) {
        let last = self.numbers.back().map_or(NEVER, |(_, at)| *at);
        if now - last >= self.plan.alone / NOTIFY_OWN * 4 / 5 {
            self.count(self.number + 1, now);
        }
    }

    fn send(&mut self, to: u32, now: Micros) {
        let own = self.views.get(self.own).map_or(0, |v| v.number);
        let others = self.views.iter().filter(|v| v.number != own).map(|v| SiteReport {
            site: v.number,
            heartbeat: v.sign.0,
            heartbeat_age: age(v.sign.1, now),
            direct: v.direct.0,
            direct_age: age(v.direct.1, now),
            echo_age: age(v.back, now),
        });
        let (others, load) = (others.collect(), self.loads.get(&self.me).map(|(l, _)| l.clone()));
        let (number, version, digest) = (self.number, self.plan.version, self.digest);
        let message = Message { site: own, number, version, digest, others, load };
        self.out.push((to, message));
    }

    /// What this node says of its site's load from now on.
    pub fn report(&mut self, mut load: Load) {
        load.demand.truncate(MAX_CLASSES);
        self.loads.insert(self.me, (load, self.last));
    }

    /// A site's load by what its nodes last said, also of one that is lost since: demand as if nodes that were not heard of had as much
    /// as the others, on average. `None` where nothing was said.
    pub fn load(&self, site: &str) -> Option<Load> {
        let nodes = &self.plan.site(site)?.nodes;
        let sent: Vec<&(Load, Micros)> = nodes.iter().filter_map(|n| self.loads.get(&n.number)).collect();
        let count = u64::try_from(sent.len()).ok().filter(|c| *c > 0)?;
        // A node that is gone for good would hold its site's return up by what it last said.
        let late = sent.iter().map(|(_, at)| *at).max().unwrap_or(0) - 2 * self.plan.alone;
        let mut demand: BTreeMap<u32, u128> = BTreeMap::new();
        for (class, units) in sent.iter().flat_map(|(l, _)| &l.demand) {
            *demand.entry(*class).or_default() += u128::from(*units);
        }
        let whole =
            |sum: u128| u64::try_from(sum * nodes.len() as u128 / u128::from(count)).unwrap_or(u64::MAX);
        Some(Load {
            load_percent: sent
                .iter()
                .filter(|(_, at)| *at >= late)
                .map(|(l, _)| l.load_percent)
                .min()
                .unwrap_or(100),
            capacity: (sent.iter().map(|(l, _)| u128::from(l.capacity)).sum::<u128>() / u128::from(count))
                as u64,
            demand: demand.into_iter().map(|(class, sum)| (class, whole(sum))).collect(),
        })
    }

    /// What is to be said to which node, since this was last asked.
    pub fn take_outgoing(&mut self) -> Vec<(u32, Message)> {
        std::mem::take(&mut self.out)
    }

    /// When [`SiteHealth::pass`] has something to do next.
    pub fn due(&self, now: Micros) -> Micros {
        self.next_own.min(self.next_far).max(now)
    }

    fn look(&mut self, now: Micros) {
        for place in (0..self.views.len()).filter(|p| *p != self.own) {
            let declared = self.plan.sites.get(place).and_then(|s| self.plan.declared_lost(&s.name));
            let (to, reason) = match self.views.get(place).and_then(|v| self.next(v, declared, now)) {
                Some(next) => next,
                None => continue,
            };
            let name = self.plan.sites.get(place).map_or(String::new(), |s| s.name.clone());
            if let Some(view) = self.views.get_mut(place) {
                self.changed.push(StateChange { site: name, from: view.seen, to, reason });
                (view.seen, view.since) = (to, now);
                view.returned = if to == SiteState::Returning { now } else { view.returned };
            }
        }
        for place in 0..self.views.len() {
            let good = self.views.get(place).is_some_and(|v| self.link(v, now).is_none());
            let lives = self.views.get(place).is_some_and(|v| self.quiet(v.signed(), now) < self.suspect());
            if let Some(view) = self.views.get_mut(place) {
                view.good = if good { view.good.or(Some(now)) } else { None };
                view.lives = if lives { view.lives.or(Some(now)) } else { None };
            }
        }
        let reached = |s: SiteState| !matches!(s, SiteState::Alone | SiteState::Lost);
        let mut others = self.views.iter().enumerate().filter(|(p, _)| *p != self.own).peekable();
        let alone = others.peek().is_some() && others.all(|(_, v)| !reached(v.seen));
        self.alone_since = if alone { self.alone_since.or(Some(now)) } else { None };
    }

    /// How long ago something was, where this node has listened since.
    fn quiet(&self, at: Micros, now: Micros) -> Micros {
        now - at.max(self.listens)
    }

    /// What is wrong with the link to a site, if anything is.
    fn link(&self, v: &View, now: Micros) -> Option<StateChangeReason> {
        let (direct, back) = (self.quiet(v.received(), now), self.quiet(v.back, now));
        if v.trip.0 >= self.suspect() && now - v.trip.1 < self.suspect() {
            return Some(StateChangeReason::Slow(v.trip.0));
        }
        if direct >= self.suspect() {
            return Some(StateChangeReason::Quiet(direct));
        }
        // What the other side hears comes by two words, each of which may be lost: it may be older.
        (back >= self.plan.alone * 3 / 4).then_some(StateChangeReason::OneWay(back))
    }

    fn next(&self, v: &View, declared: Option<u64>, now: Micros) -> Option<(SiteState, StateChangeReason)> {
        if let Some(number) = declared {
            return (v.seen != SiteState::Lost)
                .then_some((SiteState::Lost, StateChangeReason::Declared(number)));
        }
        let alone = self.plan.alone;
        let sign = self.quiet(v.signed(), now);
        let received = now - v.trip.1 < self.suspect();
        let wrong = self.link(v, now);
        let slow = received && matches!(wrong, Some(StateChangeReason::Slow(_)));
        let good = v.good.map_or(0, |at| now - at);
        let worse = |to: SiteState, why: StateChangeReason| (v.seen != to).then_some((to, why));
        // Words that come late are words: such a site lives, and hears.
        if !slow && sign >= alone {
            return worse(SiteState::Lost, StateChangeReason::Silent(sign));
        }
        // What the other side hears comes by two words, each of which may be lost: it may be older.
        let cut = self.quiet(v.received(), now) >= alone || self.quiet(v.back, now) >= alone * 5 / 4;
        // Somebody must have heard of it lately; else it is about to be taken for lost, and one change is enough. So it is for one
        // that was lost and is about to be reached.
        let lives = v.lives.map_or(0, |at| now - at);
        if !slow && cut && sign < self.suspect() && (v.seen != SiteState::Lost || lives >= self.plan.confirm)
        {
            return worse(SiteState::Alone, StateChangeReason::Cut);
        }
        match (v.seen, wrong) {
            (SiteState::Linked, Some(why)) => Some((SiteState::Doubtful, why)),
            (SiteState::Doubtful, None) if good >= self.plan.confirm => {
                Some((SiteState::Linked, StateChangeReason::Back(good)))
            }
            (SiteState::Alone | SiteState::Lost, None) => {
                // One that was lost again on its way back has to stay for longer.
                let again = now - v.returned < 10 * self.plan.hold;
                let calm = if again { self.plan.hold } else { self.plan.confirm };
                (good >= calm).then_some((SiteState::Returning, StateChangeReason::Back(good)))
            }
            (SiteState::WholeAgain, None) if now - v.since >= self.plan.hold => {
                Some((SiteState::Linked, StateChangeReason::Calm))
            }
            _ => None,
        }
    }

    /// A returning site has taken all of its load ([`SiteHealth::load`] says which part it takes), and histories are one.
    pub fn mark_recovered(&mut self, site: &str, now: Micros) {
        let place = self.plan.sites.iter().position(|s| s.name == site);
        let Some(view) = place.and_then(|p| self.views.get_mut(p)) else { return };
        if view.seen == SiteState::Returning {
            let from = std::mem::replace(&mut view.seen, SiteState::WholeAgain);
            view.since = now;
            self.changed.push(StateChange {
                site: site.to_string(),
                from,
                to: SiteState::WholeAgain,
                reason: StateChangeReason::Taken,
            });
        }
    }

    /// How a site is seen; one's own is linked. `None` for one that the file doesn't name.
    pub fn state(&self, site: &str) -> Option<SiteState> {
        let place = self.plan.sites.iter().position(|s| s.name == site)?;
        self.views.get(place).map(|v| v.seen)
    }

    /// All sites with their states and since when they hold, in the file's order.
    pub fn states(&self) -> Vec<(String, SiteState, Micros)> {
        let all = self.plan.sites.iter().zip(&self.views);
        all.map(|(s, v)| (s.name.clone(), v.seen, v.since)).collect()
    }

    /// What has changed, since this was last asked.
    pub fn take_changes(&mut self) -> Vec<StateChange> {
        std::mem::take(&mut self.changed)
    }

    /// Whether no other site can be reached.
    pub fn is_isolated(&self) -> bool {
        self.alone_since.is_some()
    }

    /// Since when no other site can be reached.
    pub fn isolated_since(&self) -> Option<Micros> {
        self.alone_since
    }

    /// The last moment at which a majority of the sites, this one counted, had been heard; none where that is longer ago than the file's
    /// time to confirm. What lay in a buffer while this process stood still does not count.
    pub fn majority_heard_at(&self, now: Micros) -> Option<Micros> {
        let confirm = self.plan.confirm;
        // Where there is one site there is nobody else to confirm anything.
        if self.plan.sites.len() == 1 {
            return Some(now);
        }
        let others = self.views.iter().enumerate().filter(|(p, v)| *p != self.own && v.trip.0 < confirm);
        let mut received: Vec<Micros> = others.map(|(_, v)| v.received()).collect();
        received.sort_unstable_by(|a, b| b.cmp(a));
        // A majority without this one.
        let last = received.get((self.plan.sites.len() / 2).checked_sub(1)?);
        last.copied().filter(|at| now - at < confirm)
    }

    /// Whether that is within the file's time to confirm.
    pub fn has_majority_contact(&self, now: Micros) -> bool {
        self.majority_heard_at(now).is_some()
    }

    /// Whether every other node of the file has said that it goes by this one: a node with a newer one may take others for homes. Sites that
    /// an operator declares lost are not waited for. Each node is heard of in turn, so this takes a while in a fleet of many.
    pub fn all_nodes_use_config(&self) -> bool {
        let same = |notified: &(u64, u32)| {
            notified.0 == self.plan.version && (notified.1 == 0 || notified.1 == self.digest)
        };
        let goes = |node: u32| node == self.me || self.versions.get(&node).is_some_and(same);
        let mut waited = self.plan.nodes().filter(|(s, _)| self.plan.declared_lost(&s.name).is_none());
        waited.all(|(_, n)| goes(n.number))
    }

    /// The file that it goes by.
    pub fn plan(&self) -> &SitesConfig {
        &self.plan
    }

    /// The number of this node.
    pub fn me(&self) -> u32 {
        self.me
    }

    /// The name of this node's site.
    pub fn site(&self) -> &str {
        self.plan.sites.get(self.own).map_or("", |s| s.name.as_str())
    }
}
