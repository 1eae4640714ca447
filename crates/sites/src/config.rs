//! The operator's file of sites, S-expressions, checked whole: each complaint names its line and column.
//!
//! ```text
//! (sites (version 3) (fleet "odense") (key "fleet.key") (accounts "accounts.sexp")
//!   (confirm 3 s) (alone 5 s) (hold 10 s)
//!   (site west (node n0 "10.0.1.1:7900") (node n1 "10.0.1.2:7900") (server-prefix "w-") (bears 400))
//!   (site east (node n2 "10.0.2.1:7900") (node n3 "10.0.2.2:7900") (zones "e1" "e2") (bears 300))
//!   (credit acme (jobs 100) (reserve 10) (shrink 30 s))
//!   (lend west (class sensor-check (part 20)) (class day-forecast (part 5)))
//!   (least sensor-check 5)
//!   (home actuator-cmd payout)
//!   (audit (bytes 16777216) (one-in 1000) (a-second 20) (sum 10 s))
//!   (lost east (number 4))
//!   (recover (remember 64 MiB) (outlive 5 s)))
//! ```
//!
//! A file of one site is one with `(recover ...)`, see [`crate::recovery_config`].
//!
//! `(lost SITE (number N))` is an operator's word that a site is gone. **Its danger**: other sites ask for the leases of that site's
//! keys at once. If the site does live, it may place its keys until its leases end by its own clock, and places none afterwards, although
//! nothing is wrong with it: its clients are refused until a file without the line is in service. Two holders at once there can't be;
//! what the site has placed and could not tell may yet be asked for anew elsewhere, and is answered there as 'may have run'. The file
//! travels under the fleet's code, so the line can't be forged.

use crate::recovery_config::{self, RecoveryConfig};
use crate::{Micros, SiteState};
use serde::{Deserialize, Serialize};
use shorepath_quota::NodeId;
use shorepath_sexp::{Form, ParseErrors};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

const DAY: Micros = 86_400_000_000;
/// Sites at most: a word between nodes names all of them and fits into a datagram.
pub const MAX_SITES: usize = 20;

/// One node, and where datagrams reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its name, the same in all its lives.
    pub name: String,
    /// The number that stands for the name everywhere, [`NodeId::of`] it.
    pub number: u32,
    /// Its address.
    pub address: SocketAddr,
}

/// One site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// The number that stands for the name in words.
    pub number: u32,
    /// Its nodes, in the file's order.
    pub nodes: Vec<Node>,
    /// Servers whose id begins with one of those are its own.
    pub prefixes: Vec<String>,
    /// Servers of those zones are its own.
    pub zones: Vec<String>,
    /// What its servers bear when they are warm, in units of work a second.
    #[serde(rename = "bears")]
    pub capacity: u64,
}

/// What may be begun for a tenant whose standing can't be confirmed, over all sites together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The tenant.
    pub tenant: String,
    /// Jobs.
    pub jobs: u64,
    /// Jobs of these that are left once a site has been alone for too long.
    pub reserve: u64,
    /// After that time alone, in microseconds, only the reserve is left.
    pub shrink: Micros,
}

/// An operator's word that a site is lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredLoss {
    /// The site's name.
    pub site: String,
    /// Which loss of it; grows with each that is declared.
    pub number: u64,
}

/// How decisions and versions are written down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// The record holds so many bytes at most.
    pub bytes: u64,
    /// One request in so many is written down with each of its decisions; 0 for none.
    pub one_in: u64,
    /// Single decisions a second at most.
    pub a_second: u64,
    /// Between two sums, in microseconds.
    pub sum: Micros,
}

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SitesConfig {
    /// Which file this is; grows with each that is put into service, see [`crate::config_history`].
    pub version: u64,
    /// The fleet's name.
    pub fleet: String,
    /// The file of the fleet's key, as it is written here.
    pub key: String,
    /// The file of accounts, as it is written here.
    pub accounts: Option<String>,
    /// A standing is confirmed by what was heard from a majority of sites within this time, in microseconds.
    pub confirm: Micros,
    /// A site of which nothing was heard for so long is alone or lost, in microseconds.
    pub alone: Micros,
    /// How long something has to stay as it is before load or keys move because of it, in microseconds.
    pub hold: Micros,
    /// Placements are dropped once they are that old and all sites have them, in microseconds: longer than a client repeats a request.
    pub seal: Micros,
    /// Placements wait so long for more before they go to the disk and to other nodes together, in microseconds; those that must not
    /// run twice go to the disk at once.
    pub group: Micros,
    /// The sites, in the file's order.
    pub sites: Vec<Site>,
    /// Credits, each tenant once.
    pub credits: Vec<Credit>,
    /// What a site lends guests of a class, in hundredths of what it bears; by site, then class.
    #[serde(rename = "lends")]
    pub guest_percent: BTreeMap<String, BTreeMap<String, u8>>,
    /// What a class gets at least of the guest part of its site, in hundredths.
    #[serde(rename = "least")]
    pub min_guest_percent: BTreeMap<String, u8>,
    /// Classes whose keys have one home.
    #[serde(rename = "home")]
    pub guarded_classes: BTreeSet<String>,
    /// Sites that an operator declares lost.
    pub lost: Vec<DeclaredLoss>,
    /// How nodes come back from a loss of power, where that is switched on.
    pub recover: Option<RecoveryConfig>,
    /// Which decision was taken under which version is written down.
    pub audit: Option<Audit>,
}

impl SitesConfig {
    /// The site of that name.
    pub fn site(&self, name: &str) -> Option<&Site> {
        self.sites.iter().find(|s| s.name == name)
    }

    /// The place of a site in the file's order, by its number in words.
    pub fn site_index(&self, number: u32) -> Option<usize> {
        self.sites.iter().position(|s| s.number == number)
    }

    /// The site of a node, by the node's number.
    pub fn site_of_node(&self, node: u32) -> Option<&Site> {
        self.sites.iter().find(|s| s.nodes.iter().any(|n| n.number == node))
    }

    /// All nodes with their sites, in the file's order.
    pub fn nodes(&self) -> impl Iterator<Item = (&Site, &Node)> {
        self.sites.iter().flat_map(|s| s.nodes.iter().map(move |n| (s, n)))
    }

    /// A node by its number.
    pub fn node(&self, number: u32) -> Option<&Node> {
        self.nodes().map(|(_, n)| n).find(|n| n.number == number)
    }

    /// A node by its name.
    pub fn node_named(&self, name: &str) -> Option<&Node> {
        self.nodes().map(|(_, n)| n).find(|n| n.name == name)
    }

    /// The place of a node among all of them in the file's order, from 0.
    pub fn node_index(&self, node: u32) -> Option<usize> {
        self.nodes().position(|(_, n)| n.number == node)
    }

    /// The site of a backend server, by its id and the zone that the list names, if any.
    pub fn site_of_server(&self, id: &str, zone: Option<&str>) -> Option<&Site> {
        let by_id = |s: &&Site| s.prefixes.iter().any(|p| id.starts_with(p.as_str()));
        let by_zone = |s: &&Site| zone.is_some_and(|z| s.zones.iter().any(|own| own == z));
        self.sites.iter().find(by_id).or_else(|| self.sites.iter().find(by_zone))
    }

    /// The number of the loss that an operator declares of that site, if one does.
    pub fn declared_lost(&self, site: &str) -> Option<u64> {
        self.lost.iter().find(|d| d.site == site).map(|d| d.number)
    }

    /// One node's part of a tenant's credit. The parts of all nodes add up to the whole exactly.
    pub fn credit_part(&self, tenant: &str, node: u32) -> Option<Credit> {
        let (place, count) = (self.node_index(node)? as u64, self.nodes().count() as u64);
        let credit = self.credits.iter().find(|c| c.tenant == tenant)?;
        let part = |whole: u64| whole / count + u64::from(place < whole % count);
        Some(Credit { jobs: part(credit.jobs), reserve: part(credit.reserve), ..credit.clone() })
    }

    /// Where the file of the fleet's key is, seen from the folder of this file.
    pub fn key_path(&self, folder: &Path) -> PathBuf {
        folder.join(&self.key)
    }

    /// Where the file of accounts is, seen from the folder of this file.
    pub fn accounts_path(&self, folder: &Path) -> Option<PathBuf> {
        self.accounts.as_ref().map(|a| folder.join(a))
    }

    /// What stands for all that nodes have to agree on; where its key and accounts lie, and by which address another is reached, may be each
    /// node's own. The same in all programs: what is added to files later counts only where it is given. Never 0.
    pub fn digest(&self) -> u32 {
        let SitesConfig {
            version,
            fleet,
            confirm,
            alone,
            hold,
            seal,
            guarded_classes,
            min_guest_percent,
            guest_percent,
            ..
        } = self;
        let mut text =
            format!("{version} {fleet:?} {confirm} {alone} {hold} {seal} {guarded_classes:?} {min_guest_percent:?} {guest_percent:?}");
        for site in &self.sites {
            let names: Vec<&str> = site.nodes.iter().map(|n| n.name.as_str()).collect();
            let Site { name, capacity, prefixes, zones, .. } = site;
            text += &format!(" {name:?} {names:?} {capacity} {prefixes:?} {zones:?}");
        }
        for Credit { tenant, jobs, reserve, shrink } in &self.credits {
            text += &format!(" {tenant:?} {jobs} {reserve} {shrink}");
        }
        for DeclaredLoss { site, number } in &self.lost {
            text += &format!(" {site:?} {number}");
        }
        let mut hasher = SipHasher13::new();
        hasher.write(text.as_bytes());
        (hasher.finish() as u32).max(1)
    }

    /// What the file alone says of a site.
    pub fn declared_state(&self, site: &str) -> Option<SiteState> {
        self.declared_lost(site).map(|_| SiteState::Lost)
    }
}

/// Read the operator's file.
///
/// # Errors
/// All faults of the text, with their places.
pub fn read(file: &str, text: &str) -> Result<SitesConfig, ParseErrors> {
    shorepath_sexp::read(file, text, "sites", plan)
}

/// A whole number that has no usual value; the least one where it is missing or wrong, with a complaint.
fn needed(form: &Form, list: &'static str, range: RangeInclusive<u64>, text: String) -> u64 {
    let least = *range.start();
    let found = form.given(list, |f| {
        let bounds = *range.start() as f64..=*range.end() as f64;
        let n = f.numbers(1, 1, bounds).first().copied().unwrap_or(least as f64);
        if n.fract() != 0.0 {
            f.complain(format!("({list}) is a whole number, not {n}"));
        }
        Some(n as u64)
    });
    found.unwrap_or_else(|| {
        form.complain(text);
        least
    })
}

/// What was taken already, over all sites.
#[derive(Default)]
struct Taken {
    nodes: Vec<Node>,
    prefixes: Vec<(String, String)>,
    zones: BTreeMap<String, String>,
}

fn node(form: &Form, taken: &mut Taken) -> Node {
    let (name, text) = (form.word("a node's name"), form.word("an address with a port, in quotes"));
    form.finish();
    let address: SocketAddr = text.parse().unwrap_or_else(|_| {
        form.complain(format!("\"{text}\" is no address with a port"));
        SocketAddr::from(([0, 0, 0, 0], 0))
    });
    let node = Node { number: NodeId::of(&name).0, name, address };
    for other in &taken.nodes {
        if other.name == node.name {
            form.complain(format!("the node {} is given twice", node.name));
        } else if other.number == node.number {
            let text = format!("{} and {} have one number; name one otherwise", other.name, node.name);
            form.complain(text);
        } else if other.address == node.address {
            form.complain(format!("{} has the address of {}", node.name, other.name));
        }
    }
    taken.nodes.push(node.clone());
    node
}

fn site(form: &Form, taken: &mut Taken) -> Site {
    let name = form.word("a site's name");
    let nodes: Vec<Node> = form.many("node").iter().map(|f| node(f, taken)).collect();
    if nodes.is_empty() {
        form.complain(format!("the site {name} needs a (node NAME \"ADDRESS\")"));
    }
    let messages =
        |list: &'static str| form.given(list, |f| Some(f.words("a word in quotes"))).unwrap_or_default();
    let (prefixes, zones) = (messages("server-prefix"), messages("zones"));
    for prefix in &prefixes {
        if prefix.is_empty() {
            form.complain("(server-prefix \"\") would make all servers its own");
        }
        let clash =
            |(p, _): &&(String, String)| p.starts_with(prefix.as_str()) || prefix.starts_with(p.as_str());
        if let Some((other, whose)) = taken.prefixes.iter().find(clash) {
            let text = format!("servers with \"{prefix}\" and \"{other}\" of {whose} can't be told apart");
            form.complain(text);
        }
    }
    for zone in &zones {
        if let Some(whose) = taken.zones.insert(zone.clone(), name.clone()) {
            form.complain(format!("the zone \"{zone}\" belongs to {whose}"));
        }
    }
    taken.prefixes.extend(prefixes.iter().map(|p| (p.clone(), name.clone())));
    let text = format!("the site {name} needs (bears UNITS): what its servers do in a second");
    let capacity = needed(form, "bears", 1..=1_000_000_000, text);
    form.finish();
    Site { number: NodeId::of(&name).0, name, nodes, prefixes, zones, capacity }
}

/// Whether the file has a site of that name; else a complaint.
fn known(form: &Form, sites: &[Site], name: &str) -> bool {
    let there = sites.iter().any(|s| s.name == name);
    if !there {
        let all: Vec<&str> = sites.iter().map(|s| s.name.as_str()).collect();
        form.complain(format!("there is no site {name}; known: {}", all.join(", ")));
    }
    there
}

fn lend(form: &Form, plan: &mut SitesConfig) {
    let name = form.word("a site's name");
    let mut parts = BTreeMap::new();
    for class in form.many("class") {
        let of = class.word("a class");
        let part = needed(&class, "part", 1..=100, format!("the class {of} needs (part HUNDREDTHS)")) as u8;
        class.finish();
        if parts.insert(of.clone(), part).is_some() {
            class.complain(format!("the class {of} is given twice"));
        }
    }
    form.finish();
    let sum: u32 = parts.values().map(|p| u32::from(*p)).sum();
    if sum > 100 {
        form.complain(format!("{name} lends {sum} hundredths of what it bears; 100 at most"));
    }
    if parts.is_empty() {
        form.complain("(lend SITE ...) needs a (class NAME (part HUNDREDTHS))");
    }
    if known(form, &plan.sites, &name) && plan.guest_percent.insert(name.clone(), parts).is_some() {
        form.complain(format!("what {name} lends is given twice"));
    }
}

/// Sites: at least two, or one where nodes recover together; none twice, no two with one number.
fn sites(f: &Form, least: usize) -> Vec<Site> {
    let mut all: Vec<Site> = Vec::new();
    let mut taken = Taken::default();
    for form in f.many("site") {
        let site = site(&form, &mut taken);
        if let Some(other) = all.iter().find(|s| s.number == site.number) {
            form.complain(match other.name == site.name {
                true => format!("the site {} is given twice", site.name),
                false => format!("{} and {} have one number; name one otherwise", other.name, site.name),
            });
        }
        all.push(site);
    }
    match all.len() {
        0 => f.complain("a file of sites needs two (site NAME ...) at least, or one with (recover ...)"),
        n if n < least => {
            f.complain("a file of sites needs two (site NAME ...) at least, or (recover ...) with one")
        }
        n if n > MAX_SITES => f.complain(format!("{n} sites; {MAX_SITES} at most")),
        _ => {}
    }
    all
}

fn credit(form: &Form) -> Credit {
    let credit = Credit {
        tenant: form.word("a tenant"),
        jobs: form.count("jobs", 0, 0..=1_000_000_000),
        reserve: form.count("reserve", 0, 0..=1_000_000_000),
        shrink: form.time("shrink", 30_000_000, 0..=DAY),
    };
    form.finish();
    if credit.reserve > credit.jobs {
        form.complain(format!("the reserve of {} is more than its jobs", credit.tenant));
    }
    credit
}

fn plan(f: &Form) -> SitesConfig {
    let recover = f.given("recover", |f| Some(recovery_config::parse(f)));
    let least = if recover.is_some() { 1 } else { 2 };
    let path = |name: &'static str| f.given(name, |f| Some(f.word("a path in quotes")));
    let mut plan = SitesConfig {
        version: f.count("version", 1, 1..=1_000_000_000),
        fleet: f.given("fleet", |f| Some(f.word("a name in quotes"))).unwrap_or_default(),
        key: path("key").unwrap_or_default(),
        accounts: path("accounts"),
        confirm: f.time("confirm", 3_000_000, 200_000..=DAY),
        alone: f.time("alone", 5_000_000, 500_000..=DAY),
        hold: f.time("hold", 10_000_000, 0..=DAY),
        seal: f.time("seal", 900_000_000, 100_000..=DAY),
        group: f.time("group", 50_000, 1_000..=1_000_000),
        sites: sites(f, least),
        recover,
        ..SitesConfig::default()
    };
    if plan.fleet.is_empty() {
        f.complain("a file of sites needs a (fleet \"NAME\"): words of another fleet are dropped");
    }
    if plan.key.is_empty() {
        f.complain("a file of sites needs a (key \"FILE\"): words between sites carry a code");
    }
    if plan.recover.is_some() && plan.nodes().count() == 1 {
        f.complain(
            "(recover) needs two nodes at least: one alone can't know whether its disk is its last one",
        );
    }
    if plan.hold < plan.alone {
        f.complain("(hold) is shorter than (alone): load would move back and forth with each doubt");
    }
    for form in f.many("credit") {
        let credit = credit(&form);
        if plan.credits.iter().any(|c| c.tenant == credit.tenant) {
            form.complain(format!("the credit of {} is given twice", credit.tenant));
        }
        plan.credits.push(credit);
    }
    f.many("lend").iter().for_each(|form| lend(form, &mut plan));
    for form in f.many("least") {
        let class = form.word("a class");
        let part = form.numbers(1, 1, 1.0..=100.0).first().map_or(0, |n| *n as u8);
        form.finish();
        if !plan.guest_percent.values().any(|l| l.contains_key(&class)) {
            form.complain(format!("no site lends anything to the class {class}"));
        }
        if plan.min_guest_percent.insert(class.clone(), part).is_some() {
            form.complain(format!("the least part of {class} is given twice"));
        }
    }
    let least: u32 = plan.min_guest_percent.values().map(|p| u32::from(*p)).sum();
    if least > 100 {
        f.complain(format!("the least parts of classes are {least} hundredths in all; 100 at most"));
    }
    plan.guarded_classes =
        f.given("home", |f| Some(f.words("a class"))).unwrap_or_default().into_iter().collect();
    plan.audit = f.given("audit", |f| {
        let audit = Audit {
            bytes: f.count("bytes", 16 << 20, 64 << 10..=1 << 30),
            one_in: f.count("one-in", 1_000, 0..=1_000_000_000),
            a_second: f.count("a-second", 20, 0..=100_000),
            sum: f.time("sum", 10_000_000, 100_000..=DAY),
        };
        Some(audit)
    });
    for form in f.many("lost") {
        let site = form.word("a site's name");
        let text = "(lost SITE (number N)) needs its number: which loss of the site it is".to_string();
        let number = needed(&form, "number", 1..=1_000_000_000, text);
        form.finish();
        if known(&form, &plan.sites, &site) && plan.declared_lost(&site).is_some() {
            form.complain(format!("{site} is declared lost twice"));
        }
        plan.lost.push(DeclaredLoss { site, number });
        let left = plan.sites.iter().filter(|s| plan.declared_lost(&s.name).is_none()).count();
        if left == 0 {
            form.complain("all sites are declared lost: one at least has to be left");
        }
    }
    plan
}
