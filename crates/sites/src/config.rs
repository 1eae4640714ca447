//! The sites file: S-expressions that an operator writes. All its faults are reported together, each with its line
//! and column.
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
//! A file may have a single site if it has a `(recover ...)` clause, see [`crate::recovery_config`].
//!
//! `(lost SITE (number N))` declares that a site is lost. **Risk:** other sites request the leases of the site's keys
//! at once. If the site is still running, it may place its keys until its leases expire by its own clock, and none
//! afterwards, even if it is healthy: its clients are rejected until a file without the line is in service. Two
//! sites never hold a lease at the same time. A request that the site has placed but not replicated may be repeated
//! at another site, which answers `may have run`. The file is authenticated with the fleet's key, so the line can't
//! be forged.

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

/// Number of microseconds in a day.
const DAY: Micros = 86_400_000_000;
/// Largest number of sites; a message that names all of them fits into a datagram.
pub const MAX_SITES: usize = 20;

/// A node of a site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// The node's name, which stays the same over restarts.
    pub name: String,
    /// The identifier that is derived from the name, see [`NodeId::of`].
    pub number: u32,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
}

/// A site with its nodes and its backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// The site's name.
    pub name: String,
    /// The identifier of the name in messages, derived from it.
    pub number: u32,
    /// The nodes, in the order of the file.
    pub nodes: Vec<Node>,
    /// Id prefixes of the backend servers that belong to the site.
    pub prefixes: Vec<String>,
    /// Zones whose backend servers belong to the site.
    pub zones: Vec<String>,
    /// Capacity of the site's warm servers, in units of work a second.
    #[serde(rename = "bears")]
    pub capacity: u64,
}

/// Limit on the jobs of a tenant that may start, over all sites together, while its account status can't be
/// confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The tenant's name.
    pub tenant: String,
    /// Number of jobs that may start.
    pub jobs: u64,
    /// Number of these jobs that remain available after [`Credit::shrink`].
    pub reserve: u64,
    /// Time for which a site may be isolated before only the reserve remains, in microseconds.
    pub shrink: Micros,
}

/// An operator's declaration that a site is lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeclaredLoss {
    /// The site's name.
    pub site: String,
    /// Number of the loss, which increases with each declared loss of the site.
    pub number: u64,
}

/// Settings of the audit log of decisions and configuration versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Audit {
    /// Largest size of the log, in bytes.
    pub bytes: u64,
    /// One request in this many is logged with all its decisions; 0 logs none.
    pub one_in: u64,
    /// Largest number of single decisions that are logged a second.
    pub a_second: u64,
    /// Interval between two summaries, in microseconds.
    pub sum: Micros,
}

/// The parsed sites file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SitesConfig {
    /// Version of the file, which increases with each one that is put into service, see [`crate::config_history`].
    pub version: u64,
    /// The fleet's name.
    pub fleet: String,
    /// Path of the file with the fleet's key, relative to this file.
    pub key: String,
    /// Path of the file with the accounts, relative to this file; `None` without accounts.
    pub accounts: Option<String>,
    /// Time within which messages of a majority of sites confirm the status of accounts, in microseconds.
    pub confirm: Micros,
    /// Silence after which a site counts as unreachable or lost, in microseconds.
    pub alone: Micros,
    /// Time for which a state must persist before load or keys move because of it, in microseconds.
    pub hold: Micros,
    /// Age after which placements that all sites have are dropped, in microseconds; longer than clients retry.
    pub seal: Micros,
    /// Longest wait of a placement for others to be written and replicated together with it, in microseconds; guarded
    /// placements are written at once.
    pub group: Micros,
    /// The sites, in the order of the file.
    pub sites: Vec<Site>,
    /// Credits, at most one for each tenant.
    pub credits: Vec<Credit>,
    /// Share of its capacity that a site reserves for clients of other sites, in percent; by site, then by class.
    #[serde(rename = "lends")]
    pub remote_percent: BTreeMap<String, BTreeMap<String, u8>>,
    /// Smallest share of a site's spare capacity that a class gets for clients of other sites, in percent; by class.
    #[serde(rename = "least")]
    pub min_remote_percent: BTreeMap<String, u8>,
    /// Classes whose idempotency keys are guarded: each key has one owner at a time.
    #[serde(rename = "home")]
    pub guarded_classes: BTreeSet<String>,
    /// Sites that an operator has declared lost.
    pub lost: Vec<DeclaredLoss>,
    /// Settings of the recovery from a loss of power; `None` where it is disabled.
    pub recover: Option<RecoveryConfig>,
    /// Settings of the audit log; `None` where it is disabled.
    pub audit: Option<Audit>,
}

impl SitesConfig {
    /// Returns the site with a name.
    pub fn site(&self, name: &str) -> Option<&Site> {
        self.sites.iter().find(|s| s.name == name)
    }

    /// Returns the index of a site in the file, by its number.
    pub fn site_index(&self, number: u32) -> Option<usize> {
        self.sites.iter().position(|s| s.number == number)
    }

    /// Returns the site of a node, by the node's number.
    pub fn site_of_node(&self, node: u32) -> Option<&Site> {
        self.sites.iter().find(|s| s.nodes.iter().any(|n| n.number == node))
    }

    /// Returns all nodes with their sites, in the order of the file.
    pub fn nodes(&self) -> impl Iterator<Item = (&Site, &Node)> {
        self.sites.iter().flat_map(|s| s.nodes.iter().map(move |n| (s, n)))
    }

    /// Returns a node by its number.
    pub fn node(&self, number: u32) -> Option<&Node> {
        self.nodes().map(|(_, n)| n).find(|n| n.number == number)
    }

    /// Returns a node by its name.
    pub fn node_named(&self, name: &str) -> Option<&Node> {
        self.nodes().map(|(_, n)| n).find(|n| n.name == name)
    }

    /// Returns the index of a node among all nodes of the file, by its number.
    pub fn node_index(&self, node: u32) -> Option<usize> {
        self.nodes().position(|(_, n)| n.number == node)
    }

    /// Returns the site of a backend server, by its id or otherwise by the zone that the server table gives for it.
    pub fn site_of_server(&self, id: &str, zone: Option<&str>) -> Option<&Site> {
        let by_id = |s: &&Site| s.prefixes.iter().any(|p| id.starts_with(p.as_str()));
        let by_zone = |s: &&Site| zone.is_some_and(|z| s.zones.iter().any(|own| own == z));
        self.sites.iter().find(by_id).or_else(|| self.sites.iter().find(by_zone))
    }

    /// Returns the number of a site's declared loss; `None` where it is not declared lost.
    pub fn declared_lost(&self, site: &str) -> Option<u64> {
        self.lost.iter().find(|d| d.site == site).map(|d| d.number)
    }

    /// Returns one node's share of a tenant's credit; the shares of all nodes add up to it. `None` where the tenant has
    /// no credit or the file does not name the node.
    pub fn credit_part(&self, tenant: &str, node: u32) -> Option<Credit> {
        let (index, count) = (self.node_index(node)? as u64, self.nodes().count() as u64);
        let credit = self.credits.iter().find(|c| c.tenant == tenant)?;
        let part = |total: u64| total / count + u64::from(index < total % count);
        Some(Credit { jobs: part(credit.jobs), reserve: part(credit.reserve), ..credit.clone() })
    }

    /// Returns the path of the file with the fleet's key, given the folder of the sites file.
    pub fn key_path(&self, folder: &Path) -> PathBuf {
        folder.join(&self.key)
    }

    /// Returns the path of the file with the accounts, given the folder of the sites file.
    pub fn accounts_path(&self, folder: &Path) -> Option<PathBuf> {
        self.accounts.as_ref().map(|a| folder.join(a))
    }

    /// Returns a digest, never 0, of the settings that all nodes must agree on. Paths and addresses are left out, since
    /// they may differ between nodes. Clauses that later versions of the program add must change the digest only where
    /// a file has them, so that programs of different versions agree.
    pub fn digest(&self) -> u32 {
        let SitesConfig {
            version,
            fleet,
            confirm,
            alone,
            hold,
            seal,
            guarded_classes,
            min_remote_percent,
            remote_percent,
            ..
        } = self;
        let mut text =
            format!("{version} {fleet:?} {confirm} {alone} {hold} {seal} {guarded_classes:?} {min_remote_percent:?} {remote_percent:?}");
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

    /// Returns [`SiteState::Lost`] for a site that is declared lost, otherwise `None`.
    pub fn declared_state(&self, site: &str) -> Option<SiteState> {
        self.declared_lost(site).map(|_| SiteState::Lost)
    }
}

/// Parses the text of a sites file; `file` is its name in error messages.
///
/// # Errors
/// All faults of the text, each with its line and column.
pub fn read(file: &str, text: &str) -> Result<SitesConfig, ParseErrors> {
    shorepath_sexp::read(file, text, "sites", parse_config)
}

/// Parses a required integer. Where it is missing or wrong, reports the fault and returns the smallest number of
/// the range.
fn required_number(form: &Form, list: &'static str, range: RangeInclusive<u64>, text: String) -> u64 {
    let least = *range.start();
    let found = form.given(list, |f| {
        let bounds = *range.start() as f64..=*range.end() as f64;
        let n = f.numbers(1, 1, bounds).first().copied().unwrap_or(least as f64);
        if n.fract() != 0.0 {
            f.add_error(format!("({list}) needs an integer, not {n}"));
        }
        Some(n as u64)
    });
    found.unwrap_or_else(|| {
        form.add_error(text);
        least
    })
}

/// Nodes, server prefixes and zones of the sites that are parsed already, for the detection of duplicates.
#[derive(Default)]
struct UsedNames {
    nodes: Vec<Node>,
    prefixes: Vec<(String, String)>,
    zones: BTreeMap<String, String>,
}

fn parse_node(form: &Form, used: &mut UsedNames) -> Node {
    let (name, text) = (form.symbol("a node's name"), form.symbol("an address with a port, in quotes"));
    form.finish();
    let address: SocketAddr = text.parse().unwrap_or_else(|_| {
        form.add_error(format!("\"{text}\" is not an address with a port"));
        SocketAddr::from(([0, 0, 0, 0], 0))
    });
    let node = Node { number: NodeId::of(&name).0, name, address };
    for other in &used.nodes {
        if other.name == node.name {
            form.add_error(format!("the node {} is given twice", node.name));
        } else if other.number == node.number {
            let text = format!("{} and {} get the same number; rename one of them", other.name, node.name);
            form.add_error(text);
        } else if other.address == node.address {
            form.add_error(format!("{} has the address of {}", node.name, other.name));
        }
    }
    used.nodes.push(node.clone());
    node
}

fn parse_site(form: &Form, used: &mut UsedNames) -> Site {
    let name = form.symbol("a site's name");
    let nodes: Vec<Node> = form.many("node").iter().map(|f| parse_node(f, used)).collect();
    if nodes.is_empty() {
        form.add_error(format!("the site {name} needs a (node NAME \"ADDRESS\")"));
    }
    let strings =
        |list: &'static str| form.given(list, |f| Some(f.symbols("a string in quotes"))).unwrap_or_default();
    let (prefixes, zones) = (strings("server-prefix"), strings("zones"));
    for prefix in &prefixes {
        if prefix.is_empty() {
            form.add_error("(server-prefix \"\") matches all servers; give a longer prefix");
        }
        let overlaps =
            |(p, _): &&(String, String)| p.starts_with(prefix.as_str()) || prefix.starts_with(p.as_str());
        if let Some((other, owner)) = used.prefixes.iter().find(overlaps) {
            let text =
                format!("the server prefixes \"{prefix}\" and \"{other}\" of {owner} match the same servers");
            form.add_error(text);
        }
    }
    for zone in &zones {
        if let Some(owner) = used.zones.insert(zone.clone(), name.clone()) {
            form.add_error(format!("the zone \"{zone}\" already belongs to {owner}"));
        }
    }
    used.prefixes.extend(prefixes.iter().map(|p| (p.clone(), name.clone())));
    let text =
        format!("the site {name} needs (bears UNITS): the units of work that its servers can do a second");
    let capacity = required_number(form, "bears", 1..=1_000_000_000, text);
    form.finish();
    Site { number: NodeId::of(&name).0, name, nodes, prefixes, zones, capacity }
}

/// Returns whether the file has a site with a name, and reports a fault if not.
fn check_site(form: &Form, sites: &[Site], name: &str) -> bool {
    let exists = sites.iter().any(|s| s.name == name);
    if !exists {
        let all: Vec<&str> = sites.iter().map(|s| s.name.as_str()).collect();
        form.add_error(format!("there is no site {name}; known: {}", all.join(", ")));
    }
    exists
}

fn parse_lend(form: &Form, config: &mut SitesConfig) {
    let name = form.symbol("a site's name");
    let mut parts = BTreeMap::new();
    for class in form.many("class") {
        let class_name = class.symbol("a class");
        let part = required_number(
            &class,
            "part",
            1..=100,
            format!("the class {class_name} needs (part HUNDREDTHS)"),
        ) as u8;
        class.finish();
        if parts.insert(class_name.clone(), part).is_some() {
            class.add_error(format!("the class {class_name} is given twice"));
        }
    }
    form.finish();
    let sum: u32 = parts.values().map(|p| u32::from(*p)).sum();
    if sum > 100 {
        form.add_error(format!("{name} lends {sum} hundredths of its capacity; 100 at most"));
    }
    if parts.is_empty() {
        form.add_error("(lend SITE ...) needs a (class NAME (part HUNDREDTHS))");
    }
    if check_site(form, &config.sites, &name) && config.remote_percent.insert(name.clone(), parts).is_some() {
        form.add_error(format!("(lend {name}) is given twice"));
    }
}

/// Parses the sites, at least `least` of them, and reports duplicate names and numbers.
fn parse_sites(f: &Form, least: usize) -> Vec<Site> {
    let mut all: Vec<Site> = Vec::new();
    let mut used = UsedNames::default();
    for form in f.many("site") {
        let site = parse_site(&form, &mut used);
        if let Some(other) = all.iter().find(|s| s.number == site.number) {
            form.add_error(match other.name == site.name {
                true => format!("the site {} is given twice", site.name),
                false => format!("{} and {} get the same number; rename one of them", other.name, site.name),
            });
        }
        all.push(site);
    }
    match all.len() {
        0 => f.add_error("a file of sites needs two (site NAME ...) at least, or one with (recover ...)"),
        n if n < least => {
            f.add_error("a file of sites needs two (site NAME ...) at least, or (recover ...) with one")
        }
        n if n > MAX_SITES => f.add_error(format!("{n} sites are given; {MAX_SITES} at most")),
        _ => {}
    }
    all
}

fn parse_credit(form: &Form) -> Credit {
    let credit = Credit {
        tenant: form.symbol("a tenant"),
        jobs: form.count("jobs", 0, 0..=1_000_000_000),
        reserve: form.count("reserve", 0, 0..=1_000_000_000),
        shrink: form.time("shrink", 30_000_000, 0..=DAY),
    };
    form.finish();
    if credit.reserve > credit.jobs {
        form.add_error(format!("the reserve of {} is more than its jobs", credit.tenant));
    }
    credit
}

fn parse_config(f: &Form) -> SitesConfig {
    let recover = f.given("recover", |f| Some(recovery_config::parse(f)));
    let least = if recover.is_some() { 1 } else { 2 };
    let path = |name: &'static str| f.given(name, |f| Some(f.symbol("a path in quotes")));
    let mut config = SitesConfig {
        version: f.count("version", 1, 1..=1_000_000_000),
        fleet: f.given("fleet", |f| Some(f.symbol("a name in quotes"))).unwrap_or_default(),
        key: path("key").unwrap_or_default(),
        accounts: path("accounts"),
        confirm: f.time("confirm", 3_000_000, 200_000..=DAY),
        alone: f.time("alone", 5_000_000, 500_000..=DAY),
        hold: f.time("hold", 10_000_000, 0..=DAY),
        seal: f.time("seal", 900_000_000, 100_000..=DAY),
        group: f.time("group", 50_000, 1_000..=1_000_000),
        sites: parse_sites(f, least),
        recover,
        ..SitesConfig::default()
    };
    if config.fleet.is_empty() {
        f.add_error("a file of sites needs a (fleet \"NAME\"): messages of another fleet are dropped");
    }
    if config.key.is_empty() {
        f.add_error(
            "a file of sites needs a (key \"FILE\"): messages between sites are authenticated with it",
        );
    }
    if config.recover.is_some() && config.nodes().count() == 1 {
        f.add_error(
            "(recover) needs two nodes at least: a single node can't detect that its disk is an older copy",
        );
    }
    if config.hold < config.alone {
        f.add_error(
            "(hold) is shorter than (alone): load would move back and forth at each short disturbance",
        );
    }
    for form in f.many("credit") {
        let credit = parse_credit(&form);
        if config.credits.iter().any(|c| c.tenant == credit.tenant) {
            form.add_error(format!("the credit of {} is given twice", credit.tenant));
        }
        config.credits.push(credit);
    }
    f.many("lend").iter().for_each(|form| parse_lend(form, &mut config));
    for form in f.many("least") {
        let class = form.symbol("a class");
        let part = form.numbers(1, 1, 1.0..=100.0).first().map_or(0, |n| *n as u8);
        form.finish();
        if !config.remote_percent.values().any(|l| l.contains_key(&class)) {
            form.add_error(format!("no site lends anything to the class {class}"));
        }
        if config.min_remote_percent.insert(class.clone(), part).is_some() {
            form.add_error(format!("(least {class}) is given twice"));
        }
    }
    let least: u32 = config.min_remote_percent.values().map(|p| u32::from(*p)).sum();
    if least > 100 {
        f.add_error(format!("the parts in (least ...) add up to {least} hundredths; 100 at most"));
    }
    config.guarded_classes =
        f.given("home", |f| Some(f.symbols("a class"))).unwrap_or_default().into_iter().collect();
    config.audit = f.given("audit", |f| {
        let audit = Audit {
            bytes: f.count("bytes", 16 << 20, 64 << 10..=1 << 30),
            one_in: f.count("one-in", 1_000, 0..=1_000_000_000),
            a_second: f.count("a-second", 20, 0..=100_000),
            sum: f.time("sum", 10_000_000, 100_000..=DAY),
        };
        Some(audit)
    });
    for form in f.many("lost") {
        let site = form.symbol("a site's name");
        let text = "(lost SITE (number N)) needs its number, which grows with each declared loss of the site"
            .to_string();
        let number = required_number(&form, "number", 1..=1_000_000_000, text);
        form.finish();
        if check_site(&form, &config.sites, &site) && config.declared_lost(&site).is_some() {
            form.add_error(format!("{site} is declared lost twice"));
        }
        config.lost.push(DeclaredLoss { site, number });
        let left = config.sites.iter().filter(|s| config.declared_lost(&s.name).is_none()).count();
        if left == 0 {
            form.add_error("all sites are declared lost; leave out at least one");
        }
    }
    config
}
