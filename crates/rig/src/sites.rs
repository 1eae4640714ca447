//! Sites: the files and folders of their nodes, the links that words between them take, and what operators hand out. Every pair of
//! nodes has a relay each way, so each node has a file of its own that says where it finds the others.
//!
//! With dividers the keys of classes that must not repeat have homes, and each divider belongs to a site: its words take links of
//! [`crate::quota_servers`], to which is done what is done to its site's.

use crate::addresses::allocate_address;
use crate::disks::{self, EntryId};
use crate::history::{History, What};
use crate::http::Reader;
use crate::process::ManagedProcess;
use crate::quota_servers::QuotaServers;
use crate::relay::{udp, DatagramChange, Link, LinkFaults};
use crate::runner::RunError;
use crate::script::{Direction, DiskFault, Script, TENANTS};
use crate::standing::is_well;
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

/// Jobs of the first tenant that may be begun on unconfirmed standing, over all sites.
pub const CREDIT: u64 = 60;
/// The fleet's key; it guards nothing.
const KEY: &str = "5f0c1d2e3b4a59687786950413223140feedfacecafebeef0011223344556677";
/// All nodes say that their standing is confirmed within this once they have been started, and agree once all has settled.
const SETTLED: Duration = Duration::from_secs(30);
/// How often nodes are asked at their doors.
const ASKS: Duration = Duration::from_millis(200);
/// A door answers within this.
const DOOR: Duration = Duration::from_secs(2);

/// The sites, their nodes' folders, and words between them.
#[derive(Debug)]
pub struct Sites {
    history: Rc<History>,
    sites: u32,
    nodes: u32,
    servers: u32,
    folders: Vec<PathBuf>,
    doors: Vec<SocketAddr>,
    /// From each node to each other.
    words: Vec<Vec<Option<Link>>>,
    /// How many cuts there are now from one site to another, and how many spells of bad words each site has.
    cuts: RefCell<BTreeMap<(u32, u32), u32>>,
    spoils: RefCell<BTreeMap<u32, (u32, f64)>>,
    /// The number of the last file of accounts.
    number: Cell<u64>,
    /// Keys have homes.
    homes: bool,
}

/// What a node says at its door: by account where it stands, and by site how it sees it; `standing` is whether that is confirmed, and
/// `home SITE/NODE` that it holds that range.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Said {
    accounts: BTreeMap<String, String>,
    seen: BTreeMap<String, String>,
    /// Of placements: what stands for all that is known, how many entries that are, and jobs that ran twice.
    holds: Option<(String, u64, u64)>,
}

fn copy(from: &Path, to: &Path) -> std::io::Result<()> {
    // What was never made is gone already.
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
    /// Relays, files and addresses; nothing is started yet.
    pub async fn set_up(script: &Script, dir: &Path, history: Rc<History>) -> Result<Sites, RunError> {
        let n = script.nodes;
        let (mut at, mut doors) = (Vec::new(), Vec::new());
        for _ in 0..n {
            at.push(allocate_address()?);
            doors.push(allocate_address()?);
        }
        let mut sites = Sites {
            history,
            sites: script.sites,
            nodes: n / script.sites,
            servers: script.servers / script.sites,
            folders: (0..n).map(|k| dir.join(format!("n{k}"))).collect(),
            doors,
            words: Vec::new(),
            cuts: RefCell::default(),
            spoils: RefCell::default(),
            number: Cell::new(1),
            homes: script.quota_servers > 0,
        };
        for (who, folder) in (0..n).zip(sites.folders.clone()) {
            let (mut links, mut lists) = (Vec::new(), vec![String::new(); script.sites as usize]);
            for (other, address) in (0..n).zip(&at) {
                let mut seen = *address;
                links.push(None);
                if other != who {
                    let link = udp(*address, script.seed ^ u64::from(who * n + other) << 32).await?;
                    seen = link.address;
                    links[other as usize] = Some(link);
                }
                lists[sites.of(other) as usize] += &format!(" (node n{other} \"{seen}\")");
            }
            sites.words.push(links);
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
            sites.sign(who, "(accounts (number 1))")?;
        }
        Ok(sites)
    }

    /// The site of a node.
    pub fn of(&self, node: u32) -> u32 {
        node / self.nodes
    }

    /// The nodes of a site.
    pub fn nodes(&self, site: u32) -> Range<u32> {
        site * self.nodes..(site + 1) * self.nodes
    }

    /// The servers of a node's site.
    pub fn servers(&self, node: u32) -> Range<u32> {
        let site = self.of(node);
        site * self.servers..(site + 1) * self.servers
    }

    /// What a node is told beyond what others are.
    pub fn configure(&self, node: u32, config: &mut Value) -> Vec<OsString> {
        let folder = &self.folders[node as usize];
        config["mgmt"] = self.doors[node as usize].to_string().into();
        let tenant = |name: &str| json!({"name": name, "portion": 0.5, "quota_rps": 1000.0});
        config["settings"]["projects"] = TENANTS.map(tenant).to_vec().into();
        let (file, state) = (folder.join("sites.sexp"), folder.join("state"));
        vec!["--sites".into(), file.into(), "--state".into(), state.into()]
    }

    /// Write a node's file of accounts with its code: first that, since a node reads both.
    fn sign(&self, node: u32, text: &str) -> std::io::Result<()> {
        let keys = Keys::read(KEY).map_err(std::io::Error::other)?;
        let code: String = keys.mac(text.as_bytes()).iter().map(|b| format!("{b:02x}")).collect();
        let folder = &self.folders[node as usize];
        std::fs::write(folder.join("accounts.sexp.hmac"), code)?;
        std::fs::write(folder.join("accounts.sexp"), text)
    }

    /// All of them have been started: once they hear each other, keep a copy of each disk.
    pub async fn begin(&self, nodes: &[Rc<ManagedProcess>]) -> Result<(), RunError> {
        let (begin, mut node) = (Instant::now(), 0);
        while let Some(process) = nodes.get(node) {
            let said = self.said(node as u32).await;
            let ready = |said: Said| {
                let confirmed = said.seen.get("standing").is_some_and(|s| s == "confirmed");
                confirmed && (!self.homes || said.seen.contains_key(&self.home(node as u32)))
            };
            if said.is_some_and(ready) {
                let folder = &self.folders[node];
                let copied =
                    process.pause_for_copy().await.then(|| copy(&folder.join("state"), &folder.join("old")));
                process.resume();
                copied.unwrap_or_else(|| Err(std::io::Error::other("a process can't be stopped")))?;
                node += 1;
            } else if begin.elapsed() > SETTLED {
                return Err(RunError::Start { node: node as u32, log: process.log().join("\n") });
            } else {
                sleep(ASKS).await;
            }
        }
        Ok(())
    }

    /// That happens to the disk of a node that is down.
    pub fn disk(&self, node: u32, disk: DiskFault) {
        let folder = &self.folders[node as usize];
        let state = folder.join("state");
        let done = match disk {
            DiskFault::Kept => Ok(()),
            DiskFault::Lost => std::fs::remove_dir_all(&state),
            DiskFault::RolledBack => copy(&folder.join("old"), &state),
        };
        // One that could not be touched is kept.
        let disk = if done.is_ok() { disk } else { DiskFault::Kept };
        self.history.note(What::Disk { node, disk: disk.name().to_string() });
    }

    /// What links do now, by all that is done to them.
    fn apply(&self, fleet: Option<&QuotaServers>) {
        if let Some(fleet) = fleet {
            let nodes = self.folders.len() as u32;
            let of = |process: u32| match process.checked_sub(nodes) {
                Some(divider) => self.of_divider(divider),
                None => self.of(process),
            };
            fleet.set_faults(|from, to| self.traits(of(from), of(to)));
        }
        for (from, links) in (0..).zip(&self.words) {
            for (to, link) in (0..).zip(links) {
                let traits = self.traits(self.of(from), self.of(to));
                // What is said back goes over the link of the other.
                link.iter().for_each(|link| link.change(|s| s.forward = traits));
            }
        }
    }

    /// What is done now to words from one site to another.
    fn traits(&self, from: u32, to: u32) -> LinkFaults {
        let (cuts, spoils) = (self.cuts.borrow(), self.spoils.borrow());
        let cut = cuts.get(&(from, to)).is_some_and(|n| *n > 0);
        let spoilt = |site: u32| spoils.get(&site).filter(|s| s.0 > 0).map_or(0.0, |s| s.1);
        let loss = spoilt(from).max(spoilt(to));
        let (duplication, reordering, max_extra_delay) = (loss / 2.0, loss / 2.0, Duration::from_millis(800));
        LinkFaults { cut, loss, duplication, reordering, max_extra_delay, ..LinkFaults::default() }
    }

    /// The name of a node's own range of keys, as it says at its door.
    fn home(&self, node: u32) -> String {
        format!("home s{}/n{node}", self.of(node))
    }

    /// The site of a divider.
    pub fn of_divider(&self, divider: u32) -> u32 {
        divider % self.sites
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
                self.history.note(What::Apart { from, to, cut });
            }
        }
        self.apply(fleet);
    }

    /// A site's words to others, or theirs to it, don't come through for that time.
    pub async fn cut(&self, site: u32, way: Direction, length: Duration, fleet: Option<&QuotaServers>) {
        self.set_cut(site, way, true, fleet);
        sleep(length).await;
        self.set_cut(site, way, false, fleet);
    }

    /// Words from and to a site are lost, doubled and late for that time.
    pub async fn spoil(&self, site: u32, loss: f64, length: Duration, fleet: Option<&QuotaServers>) {
        let change = |more: bool| {
            let mut spoils = self.spoils.borrow_mut();
            let (count, worst) = spoils.entry(site).or_default();
            if more {
                *worst = if *count == 0 { loss } else { worst.max(loss) };
                *count += 1;
            } else {
                *count = count.saturating_sub(1);
            }
            if *count == u32::from(more) {
                self.history.note(What::Rough { site, rough: more });
            }
        };
        change(true);
        self.apply(fleet);
        sleep(length).await;
        change(false);
        self.apply(fleet);
    }

    /// One datagram from a node to another is changed, told as it happens.
    pub fn alter(&self, (from, to): (u32, u32), number: u64, how: DatagramChange, seed: u64) {
        let link = self.words.get(from as usize).and_then(|all| all.get(to as usize)?.as_ref());
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(u64::from(from) << 48 | u64::from(to) << 32 | number);
        let history = self.history.clone();
        let told = move || history.note(What::Changed { from, to, how: how.name().to_string() });
        link.into_iter().for_each(|link| link.change_datagram(number, how, rng.random(), told.clone()));
    }

    /// A node's process has been started anew: what was kept for that comes once more.
    pub fn repeat_to(&self, node: u32) {
        self.words.iter().filter_map(|all| all.get(node as usize)?.as_ref()).for_each(Link::reset);
    }

    /// The next number of a file.
    pub fn next(&self) -> u64 {
        self.number.set(self.number.get() + 1);
        self.number.get()
    }

    /// A file of that number is handed to a node of a site, by number each in turn.
    pub fn hand(&self, number: u64, (name, standing): (&str, &str), site: u32, nodes: &[Rc<ManagedProcess>]) {
        let node = self.nodes(site).start + (number % u64::from(self.nodes)) as u32;
        let text =
            format!("(accounts (number {number}) (account {name} (standing {standing}) (reason \"rig\")))");
        // One that can't be written was not handed out.
        if self.sign(node, &text).is_ok() {
            let (account, standing) = (name.to_string(), standing.to_string());
            self.history.note(What::Handed { node, number, account, standing });
            nodes[node as usize].reload();
        }
    }

    /// What a node says at its door.
    async fn said(&self, node: u32) -> Option<Said> {
        let ask = async {
            let mut stream = TcpStream::connect(self.doors[node as usize]).await.ok()?;
            let request = "GET /ops/sites HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await.ok()?;
            Reader::new(stream).next(true).await.ok()?
        };
        let answer = timeout(DOOR, ask).await.ok()??;
        let (mut accounts, mut seen, mut holds) = (BTreeMap::new(), BTreeMap::new(), None);
        for line in answer.body.lines() {
            let words: Vec<&str> = line.split(' ').collect();
            match words.as_slice() {
                ["account", name, standing, ..] => {
                    accounts.insert(name.to_string(), standing.to_lowercase());
                }
                ["site", name, how, ..] => drop(seen.insert(name.to_string(), how.to_string())),
                ["standing", "not", ..] => drop(seen.insert("standing".into(), "not confirmed".into())),
                ["standing", how, ..] => drop(seen.insert("standing".into(), how.to_string())),
                ["home", name, ..] => drop(seen.insert(format!("home {name}"), "held".into())),
                ["placements", rest @ ..] => {
                    let field =
                        |name: &str| rest.iter().find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
                    let count = |name: &str| field(name)?.parse::<u64>().ok();
                    holds = field("digest").map(str::to_string).zip(count("all")).zip(count("violations"));
                }
                _ => {}
            }
        }
        let holds = holds.map(|((digest, all), violations)| (digest, all, violations));
        Some(Said { accounts, seen, holds })
    }

    /// All processes have ended: note what their disks hold.
    pub fn read(&self) {
        let mut all: BTreeMap<EntryId, (String, u32, u32, String, Vec<u32>)> = BTreeMap::new();
        let mut together = Placements::new();
        for (node, folder) in (0..).zip(&self.folders) {
            let read =
                disks::read(&folder.join("state"), &format!("s{}", self.of(node)), &format!("n{node}"));
            let disk = match read {
                Ok(disk) => {
                    together.merge(&disk.history);
                    disk
                }
                Err(e) => {
                    self.history.note(What::Kept { node, digest: None, why: e.to_string() });
                    continue;
                }
            };
            self.history.note(What::Kept {
                node,
                digest: Some(disks::digest(&disk.history)),
                why: String::new(),
            });
            for (place, (p, how)) in disk.placements {
                let number = |name: &str| name.get(1..).and_then(|n| n.trim_start_matches('-').parse().ok());
                let (by, server) = (number(&place.0.node), number(&p.server));
                let how = match how {
                    Some(End::Served) => "served",
                    Some(End::NeverRan) => "never-ran",
                    Some(End::Unknown) | None => "unknown",
                };
                let one = all.entry(place).or_insert_with(|| {
                    let (by, server) = (by.unwrap_or(u32::MAX), server.unwrap_or(u32::MAX));
                    (p.key.unwrap_or_default(), by, server, how.to_string(), Vec::new())
                });
                one.4.push(node);
            }
        }
        self.history.note(What::Together { digest: disks::digest(&together) });
        for ((writer, number, _), (key, node, server, how, holders)) in all {
            let entry = format!("{:x}:{number}", writer.log);
            self.history.note(What::Placed { node, entry, key, server, how, holders });
        }
    }

    /// All is over: wait until all nodes say the same and that all is well, for so long at most, and note what they say.
    pub async fn end(&self) {
        let (begin, mut before) = (Instant::now(), Vec::new());
        loop {
            let mut all: Vec<Said> = Vec::new();
            for node in 0..self.folders.len() as u32 {
                all.push(self.said(node).await.unwrap_or_default());
            }
            let well = |(of, seen): (&String, &String)| is_well(of, seen);
            let same = all.iter().all(|s| s.accounts == all[0].accounts && s.holds == all[0].holds);
            let whole = (0..).zip(&all).all(|(node, s)| {
                let sees = s.seen.keys().filter(|of| !of.starts_with("home ")).count();
                let home = !self.homes || s.seen.contains_key(&self.home(node));
                home && sees == self.sites as usize + 1 && s.seen.iter().all(well)
            });
            // Twice the same: nothing is on its way to a disk any more.
            if !(same && whole && before == all) && begin.elapsed() < SETTLED {
                before = all;
                sleep(ASKS).await;
                continue;
            }
            for (node, Said { accounts, seen, holds }) in (0..).zip(all) {
                if let Some((digest, all, violations)) = holds {
                    self.history.note(What::Holds { node, digest, all, violations });
                }
                for (account, standing) in accounts {
                    self.history.note(What::Stands { node, account, standing });
                }
                for (of, seen) in seen {
                    self.history.note(What::Sees { node, of, seen });
                }
            }
            return;
        }
    }
}
