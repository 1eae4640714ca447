//! The sites of a run: their nodes' configuration files and folders, the links between nodes, and the accounts files that operators
//! deliver. Each ordered pair of nodes has a relay of its own, so each node has its own `sites.sexp` with the addresses at which it
//! reaches the others.
//!
//! With quota servers, nodes own ranges of the idempotency keys of classes that must not repeat. Each quota server then belongs to a
//! site, and the faults of its site's links apply to its links in [`crate::quota_servers`] too.

use crate::addresses::allocate_address;
use crate::disks::{self, EntryId};
use crate::history::{Event, History};
use crate::http::Reader;
use crate::process::ManagedProcess;
use crate::quota_servers::QuotaServers;
use crate::relay::{udp, DatagramChange, Link, LinkFaults};
use crate::runner::RunError;
use crate::script::{Direction, DiskFault, Script, TENANTS};
use crate::site_checks::is_settled_state;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use shorepath_message_auth::keyring::Keys;
use shorepath_placements::history::History as Placements;
use shorepath_placements::End;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::ops::Range;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Jobs of the first tenant that may be started while account status is unconfirmed, over all sites.
pub const CREDIT: u64 = 60;
/// Authentication key of the test fleet; it is no secret.
const KEY: &str = "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677";
/// Time in which all nodes confirm account status after the start, and report the same state after the last fault.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the nodes' management endpoints are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a request to a management endpoint.
const MANAGEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// The sites of a run with their nodes' folders and links.
#[derive(Debug)]
pub struct Sites {
    history: Rc<History>,
    sites: u32,
    nodes_per_site: u32,
    servers_per_site: u32,
    folders: Vec<PathBuf>,
    management_addresses: Vec<SocketAddr>,
    /// Links by sending and receiving node; `None` from a node to itself.
    links: Vec<Vec<Option<Link>>>,
    /// Number of cuts in force by sending and receiving site.
    cuts: RefCell<BTreeMap<(u32, u32), u32>>,
    /// Number of degradations in force by site, and the greatest loss among them.
    degradations: RefCell<BTreeMap<u32, (u32, f64)>>,
    /// Number of the newest accounts file.
    file_number: Cell<u64>,
    /// Whether nodes own ranges of idempotency keys.
    key_ownership: bool,
}

/// The state that a node reports at its management endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Report {
    /// Status by account.
    accounts: BTreeMap<String, String>,
    /// State by subject: a site's name, `standing` for whether account status is confirmed, `home SITE/NODE` for a key range that the
    /// node holds.
    states: BTreeMap<String, String>,
    /// Digest of all known placements, number of entries, and number of jobs that ran more than once.
    placements: Option<(String, u64, u64)>,
}

fn copy(from: &Path, to: &Path) -> std::io::Result<()> {
    // The target may not exist yet.
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            copy(&entry.path(), &to.join(entry.file_name()))?;
        } else if entry.file_type()?.is_file() {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

impl Sites {
    /// Starts the relays, chooses addresses and writes the nodes' files; no process is started yet.
    pub async fn set_up(script: &Script, dir: &Path, history: Rc<History>) -> Result<Sites, RunError> {
        let n = script.nodes;
        let (mut peer_addresses, mut management_addresses) = (Vec::new(), Vec::new());
        for _ in 0..n {
            peer_addresses.push(allocate_address()?);
            management_addresses.push(allocate_address()?);
        }
        let mut sites = Sites {
            history,
            sites: script.sites,
            nodes_per_site: n / script.sites,
            servers_per_site: script.servers / script.sites,
            folders: (0..n).map(|k| dir.join(format!("n{k}"))).collect(),
            management_addresses,
            links: Vec::new(),
            cuts: RefCell::default(),
            degradations: RefCell::default(),
            file_number: Cell::new(1),
            key_ownership: script.quota_servers > 0,
        };
        for (node, folder) in (0..n).zip(sites.folders.clone()) {
            let (mut links, mut lists) = (Vec::new(), vec![String::new(); script.sites as usize]);
            for (other, address) in (0..n).zip(&peer_addresses) {
                let mut reached_at = *address;
                links.push(None);
                if other != node {
                    let link = udp(*address, script.seed ^ u64::from(node * n + other) << 32).await?;
                    reached_at = link.address;
                    links[other as usize] = Some(link);
                }
                lists[sites.site_of(other) as usize] += &format!(" (node n{other} \"{reached_at}\")");
            }
            sites.links.push(links);
            let mut text =
                "(sites (version 1) (fleet \"rig\") (key \"fleet.key\") (accounts \"accounts.sexp\")\n  \
                            (confirm 2 s) (alone 2500 ms) (hold 3 s)\n"
                    .to_string();
            for (site, list) in lists.iter().enumerate() {
                text += &format!("  (site s{site}{list} (bears 100))\n");
            }
            text += &format!("  (credit {} (jobs {CREDIT}) (reserve 6) (shrink 1 h)))\n", TENANTS[0]);
            std::fs::create_dir_all(&folder)?;
            std::fs::write(folder.join("sites.sexp"), text)?;
            let key = folder.join("fleet.key");
            std::fs::write(&key, KEY)?;
            std::fs::set_permissions(&key, std::fs::Permissions::from_mode(0o600))?;
            sites.write_accounts_file(node, "(accounts (number 1))")?;
        }
        Ok(sites)
    }

    /// Returns the site of a node.
    pub fn site_of(&self, node: u32) -> u32 {
        node / self.nodes_per_site
    }

    /// Returns the nodes of a site.
    pub fn nodes(&self, site: u32) -> Range<u32> {
        site * self.nodes_per_site..(site + 1) * self.nodes_per_site
    }

    /// Returns the backend servers in a node's site.
    pub fn servers(&self, node: u32) -> Range<u32> {
        let site = self.site_of(node);
        site * self.servers_per_site..(site + 1) * self.servers_per_site
    }

    /// Adds the settings of sites to a node's configuration, and returns the command line options for them.
    pub fn configure(&self, node: u32, config: &mut Value) -> Vec<OsString> {
        let folder = &self.folders[node as usize];
        config["mgmt"] = self.management_addresses[node as usize].to_string().into();
        let tenant = |name: &str| json!({"name": name, "portion": 0.5, "quota_rps": 1000.0});
        config["settings"]["projects"] = TENANTS.map(tenant).to_vec().into();
        let (file, state) = (folder.join("sites.sexp"), folder.join("state"));
        vec!["--sites".into(), file.into(), "--state".into(), state.into()]
    }

    /// Writes a node's accounts file after its authentication code, since the node reads both when the file changes.
    fn write_accounts_file(&self, node: u32, text: &str) -> std::io::Result<()> {
        let keys = Keys::read(KEY).map_err(std::io::Error::other)?;
        let code: String = keys.mac(text.as_bytes()).iter().map(|b| format!("{b:02x}")).collect();
        let folder = &self.folders[node as usize];
        std::fs::write(folder.join("accounts.sexp.hmac"), code)?;
        std::fs::write(folder.join("accounts.sexp"), text)
    }

    /// Waits until all nodes have confirmed account status and hold their key ranges, and copies each node's disk.
    ///
    /// # Errors
    /// A node isn't ready in time, or its disk can't be copied.
    pub async fn wait_until_ready(&self, nodes: &[Rc<ManagedProcess>]) -> Result<(), RunError> {
        let (begin, mut node) = (Instant::now(), 0);
        while let Some(process) = nodes.get(node) {
            let report = self.report(node as u32).await;
            let ready = |report: Report| {
                let confirmed = report.states.get("standing").is_some_and(|s| s == "confirmed");
                confirmed && (!self.key_ownership || report.states.contains_key(&self.key_range(node as u32)))
            };
            if report.is_some_and(ready) {
                let folder = &self.folders[node];
                let copied =
                    process.pause_for_copy().await.then(|| copy(&folder.join("state"), &folder.join("old")));
                process.resume();
                copied.unwrap_or_else(|| Err(std::io::Error::other("a process can't be stopped")))?;
                node += 1;
            } else if begin.elapsed() > SETTLE_TIMEOUT {
                return Err(RunError::Start { node: node as u32, log: process.log().join("\n") });
            } else {
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Keeps, removes or restores the disk of a node whose process has exited.
    pub fn replace_disk(&self, node: u32, disk: DiskFault) {
        let folder = &self.folders[node as usize];
        let state = folder.join("state");
        let done = match disk {
            DiskFault::Kept => Ok(()),
            DiskFault::Lost => std::fs::remove_dir_all(&state),
            DiskFault::RolledBack => copy(&folder.join("old"), &state),
        };
        // Records a disk that could not be replaced as kept.
        let disk = if done.is_ok() { disk } else { DiskFault::Kept };
        self.history.record(Event::Disk { node, disk: disk.name().to_string() });
    }

    /// Sets all links to the cuts and degradations in force.
    fn apply(&self, fleet: Option<&QuotaServers>) {
        if let Some(fleet) = fleet {
            let nodes = self.folders.len() as u32;
            let site_of = |process: u32| match process.checked_sub(nodes) {
                Some(quota_server) => self.site_of_quota_server(quota_server),
                None => self.site_of(process),
            };
            fleet.set_faults(|from, to| self.traits(site_of(from), site_of(to)));
        }
        for (from, links) in (0..).zip(&self.links) {
            for (to, link) in (0..).zip(links) {
                let traits = self.traits(self.site_of(from), self.site_of(to));
                // The receiver replies over its own link.
                link.iter().for_each(|link| link.change(|s| s.forward = traits));
            }
        }
    }

    /// Returns the traits of links from one site to another by the cuts and degradations in force.
    fn traits(&self, from: u32, to: u32) -> LinkFaults {
        let (cuts, degradations) = (self.cuts.borrow(), self.degradations.borrow());
        let cut = cuts.get(&(from, to)).is_some_and(|n| *n > 0);
        let loss_of = |site: u32| degradations.get(&site).filter(|s| s.0 > 0).map_or(0.0, |s| s.1);
        let loss = loss_of(from).max(loss_of(to));
        let (duplication, reordering, max_extra_delay) = (loss / 2.0, loss / 2.0, Duration::from_millis(800));
        LinkFaults { cut, loss, duplication, reordering, max_extra_delay, ..LinkFaults::default() }
    }

    /// Returns the name of a node's own key range, as its management endpoint writes it.
    fn key_range(&self, node: u32) -> String {
        format!("home s{}/n{node}", self.site_of(node))
    }

    /// Returns the site of a quota server.
    pub fn site_of_quota_server(&self, quota_server: u32) -> u32 {
        quota_server % self.sites
    }

    fn set_cut(&self, site: u32, way: Direction, cut: bool, fleet: Option<&QuotaServers>) {
        let others = (0..self.sites).filter(|other| *other != site);
        for (from, to, there) in others.flat_map(|o| [(site, o, true), (o, site, false)]) {
            if !way.covers(there) {
                continue;
            }
            let mut cuts = self.cuts.borrow_mut();
            let count = cuts.entry((from, to)).or_default();
            let before = *count;
            *count = if cut { before + 1 } else { before.saturating_sub(1) };
            if before.min(*count) == 0 {
                self.history.record(Event::SiteLinkCut { from, to, cut });
            }
        }
        self.apply(fleet);
    }

    /// Drops all messages between a site and the others, in the given direction, for the given time.
    pub async fn cut(&self, site: u32, way: Direction, length: Duration, fleet: Option<&QuotaServers>) {
        self.set_cut(site, way, true, fleet);
        sleep(length).await;
        self.set_cut(site, way, false, fleet);
    }

    /// Loses, duplicates and delays messages from and to a site for the given time.
    pub async fn degrade(&self, site: u32, loss: f64, length: Duration, fleet: Option<&QuotaServers>) {
        let change = |degraded: bool| {
            let mut degradations = self.degradations.borrow_mut();
            let (count, greatest_loss) = degradations.entry(site).or_default();
            if degraded {
                *greatest_loss = if *count == 0 { loss } else { greatest_loss.max(loss) };
                *count += 1;
            } else {
                *count = count.saturating_sub(1);
            }
            if *count == u32::from(degraded) {
                self.history.record(Event::SiteLinkDegraded { site, degraded });
            }
        };
        change(true);
        self.apply(fleet);
        sleep(length).await;
        change(false);
        self.apply(fleet);
    }

    /// Modifies the `number`th datagram from now on from one node to another, and records the change when it happens.
    pub fn change_datagram(&self, (from, to): (u32, u32), number: u64, how: DatagramChange, seed: u64) {
        let link = self.links.get(from as usize).and_then(|all| all.get(to as usize)?.as_ref());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(u64::from(from) << 48 | u64::from(to) << 32 | number);
        let history = self.history.clone();
        let changed =
            move || history.record(Event::DatagramChanged { from, to, change: how.name().to_string() });
        link.into_iter().for_each(|link| link.change_datagram(number, how, rng.random(), changed.clone()));
    }

    /// Sends the datagrams that links to a node have kept for its next process; called after the node was restarted.
    pub fn replay_datagrams(&self, node: u32) {
        self.links.iter().filter_map(|all| all.get(node as usize)?.as_ref()).for_each(Link::reset);
    }

    /// Returns the number of the next accounts file.
    pub fn next_file_number(&self) -> u64 {
        self.file_number.set(self.file_number.get() + 1);
        self.file_number.get()
    }

    /// Delivers an accounts file with one account to a node of a site, chosen by the file's number in turn, and has the node read it.
    pub fn deliver_accounts_file(
        &self,
        number: u64,
        (name, status): (&str, &str),
        site: u32,
        nodes: &[Rc<ManagedProcess>],
    ) {
        let node = self.nodes(site).start + (number % u64::from(self.nodes_per_site)) as u32;
        let text =
            format!("(accounts (number {number}) (account {name} (standing {status}) (reason \"rig\")))");
        // Only a file that was written counts as delivered.
        if self.write_accounts_file(node, &text).is_ok() {
            let (account, status) = (name.to_string(), status.to_string());
            self.history.record(Event::AccountsFileDelivered { node, number, account, status });
            nodes[node as usize].reload();
        }
    }

    /// Queries a node's management endpoint; returns `None` if it does not respond in time.
    async fn report(&self, node: u32) -> Option<Report> {
        let query = async {
            let mut stream = TcpStream::connect(self.management_addresses[node as usize]).await.ok()?;
            let request = "GET /ops/sites HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await.ok()?;
            Reader::new(stream).next(true).await.ok()?
        };
        let response = timeout(MANAGEMENT_TIMEOUT, query).await.ok()??;
        let (mut accounts, mut states, mut placements) = (BTreeMap::new(), BTreeMap::new(), None);
        for line in response.body.lines() {
            let columns: Vec<&str> = line.split(' ').collect();
            match columns.as_slice() {
                ["account", name, status, ..] => {
                    accounts.insert(name.to_string(), status.to_lowercase());
                }
                ["site", name, state, ..] => drop(states.insert(name.to_string(), state.to_string())),
                ["standing", "not", ..] => drop(states.insert("standing".into(), "not confirmed".into())),
                ["standing", state, ..] => drop(states.insert("standing".into(), state.to_string())),
                ["home", name, ..] => drop(states.insert(format!("home {name}"), "held".into())),
                ["placements", fields @ ..] => {
                    let field =
                        |name: &str| fields.iter().find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
                    let count = |name: &str| field(name)?.parse::<u64>().ok();
                    placements =
                        field("digest").map(str::to_string).zip(count("all")).zip(count("violations"));
                }
                _ => {}
            }
        }
        let placements = placements.map(|((digest, entries), violations)| (digest, entries, violations));
        Some(Report { accounts, states, placements })
    }

    /// Records the placements on all nodes' disks; called after all processes have exited.
    pub fn record_disks(&self) {
        let mut all: BTreeMap<EntryId, (String, u32, u32, String, Vec<u32>)> = BTreeMap::new();
        let mut merged = Placements::new();
        for (node, folder) in (0..).zip(&self.folders) {
            let read =
                disks::read(&folder.join("state"), &format!("s{}", self.site_of(node)), &format!("n{node}"));
            let disk = match read {
                Ok(disk) => {
                    merged.merge(&disk.history);
                    disk
                }
                Err(e) => {
                    self.history.record(Event::DiskDigest { node, digest: None, error: e.to_string() });
                    continue;
                }
            };
            self.history.record(Event::DiskDigest {
                node,
                digest: Some(disks::digest(&disk.history)),
                error: String::new(),
            });
            for (place, (p, end)) in disk.placements {
                let number = |name: &str| name.get(1..).and_then(|n| n.trim_start_matches('-').parse().ok());
                let (placed_by, server) = (number(&place.0.node), number(&p.server));
                let outcome = match end {
                    Some(End::Served) => "served",
                    Some(End::NeverRan) => "never-ran",
                    Some(End::Unknown) | None => "unknown",
                };
                let placement = all.entry(place).or_insert_with(|| {
                    let (placed_by, server) = (placed_by.unwrap_or(u32::MAX), server.unwrap_or(u32::MAX));
                    (p.key.unwrap_or_default(), placed_by, server, outcome.to_string(), Vec::new())
                });
                placement.4.push(node);
            }
        }
        self.history.record(Event::MergedDigest { digest: disks::digest(&merged) });
        for ((writer, number, _), (key, node, server, outcome, holders)) in all {
            let entry = format!("{:x}:{number}", writer.log);
            self.history.record(Event::Placed { node, entry, key, server, outcome, holders });
        }
    }

    /// Waits until all nodes report the same settled state, or until the timeout, and records what they report.
    pub async fn record_final_state(&self) {
        let (begin, mut before) = (Instant::now(), Vec::new());
        loop {
            let mut all: Vec<Report> = Vec::new();
            for node in 0..self.folders.len() as u32 {
                all.push(self.report(node).await.unwrap_or_default());
            }
            let settled = |(subject, state): (&String, &String)| is_settled_state(subject, state);
            let same = all.iter().all(|s| s.accounts == all[0].accounts && s.placements == all[0].placements);
            let all_settled = (0..).zip(&all).all(|(node, s)| {
                let sites = s.states.keys().filter(|subject| !subject.starts_with("home ")).count();
                let holds_range = !self.key_ownership || s.states.contains_key(&self.key_range(node));
                holds_range && sites == self.sites as usize + 1 && s.states.iter().all(settled)
            });
            // Two equal rounds: no entry is still being written to a disk.
            if !(same && all_settled && before == all) && begin.elapsed() < SETTLE_TIMEOUT {
                before = all;
                sleep(POLL_INTERVAL).await;
                continue;
            }
            for (node, Report { accounts, states, placements }) in (0..).zip(all) {
                if let Some((digest, entries, violations)) = placements {
                    self.history.record(Event::PlacementDigest { node, digest, entries, violations });
                }
                for (account, status) in accounts {
                    self.history.record(Event::AccountStatus { node, account, status });
                }
                for (subject, state) in states {
                    self.history.record(Event::ReportedState { node, subject, state });
                }
            }
            return;
        }
    }
}
