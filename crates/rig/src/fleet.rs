//! Dividers beside the nodes, and the links that words between them take: every pair has links of its own, so each process has a
//! file of its own that says where it finds the others.

use crate::addresses::fresh;
use crate::history::{Event, History, Micros as At};
use crate::play::{PlayError, LEASE, LONGEST, TERM};
use crate::process::{Node, Stands};
use crate::relay::{both, udp, Link, Traits};
use crate::script::{Script, Way};
use std::cell::Cell;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::{sleep, Instant};

/// The budget that bounds a tenant's requests, and the one that bounds jobs that must not repeat.
pub const QUOTA: &str = "quota:acme";
/// See [`QUOTA`].
pub const FLIGHT: &str = "flight:valve";
/// The budget of further attempts.
pub const RETRIES: &str = "retries";
/// The budgets of probes, of calls to discovery, and of attempts out at each server.
pub const PROBES: &str = "probes";
/// See [`PROBES`].
pub const LISTS: &str = "lists";
/// See [`PROBES`].
pub const CONNECTIONS: &str = "connections";
/// The file's quota by so many hundredths of what clients ask for, at first.
const FIRST: u32 = 70;
/// Dividers have so long to hear of another file before nodes do.
const AHEAD: Duration = Duration::from_millis(300);

/// The fleet's dividers, and the words between all processes.
#[derive(Debug)]
pub struct Fleet {
    history: Rc<History>,
    dividers: Vec<Rc<Node>>,
    folders: Vec<PathBuf>,
    turns: Vec<Mutex<()>>,
    /// From each node to each divider.
    words: Vec<Vec<Link>>,
    /// From each divider to each other: connections and datagrams.
    among: Vec<Vec<Option<[Link; 2]>>>,
    /// From each process to each node, for the membership, with whose they are.
    members: Vec<(u32, u32, Link)>,
    /// Budgets that stand for ranges of keys, where there are sites: nodes share nothing else then.
    homes: String,
    /// Where each process finds the others: dividers, then nodes. Nodes first, then dividers.
    views: Vec<(PathBuf, String)>,
    version: Cell<u32>,
    rate: f64,
    nodes: u32,
    /// What files say of a key: every other seed has one.
    key: &'static str,
}

/// A fleet that is founded gives grants within this.
const FOUNDED: Duration = Duration::from_secs(30);

/// A key beside the files, for words between processes; what files say of it.
fn write_key(dir: &Path, seed: u64) -> std::io::Result<&'static str> {
    let mut file =
        OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(dir.join("fleet.key"))?;
    writeln!(file, "{seed:064x}")?;
    Ok(" (key \"fleet.key\")")
}

/// Put a file there, never half of it: a process that starts meanwhile would end on that.
fn whole(path: &Path, text: &str) -> std::io::Result<()> {
    let half = path.with_extension("half");
    std::fs::write(&half, text)?;
    std::fs::rename(&half, path)
}

impl Fleet {
    /// Relays, files and addresses; nothing is started yet. `keys` says whether there may be a key for words.
    pub async fn set_up(
        script: &Script,
        dir: &Path,
        keys: bool,
        history: Rc<History>,
    ) -> Result<Fleet, PlayError> {
        let (n, d) = (script.nodes as usize, script.dividers as usize);
        let mut at = Vec::new();
        for _ in 0..n + d {
            at.push(fresh()?);
        }
        let name = |k: usize| if k < n { format!("n{k}") } else { format!("d{}", k - n) };
        let (mut words, mut among, mut members) = (Vec::new(), Vec::new(), Vec::new());
        let mut views = Vec::new();
        for who in 0..n + d {
            let (mut own_words, mut own_among) = (Vec::new(), Vec::new());
            let (mut dividers, mut nodes) = (String::new(), String::new());
            for (other, address) in at.iter().enumerate() {
                let seed = script.seed ^ ((who * (n + d) + other) as u64) << 32;
                let seen = if other == who {
                    own_among.extend((who >= n).then_some(None));
                    *address
                } else if other >= n && who >= n {
                    let links = both(*address, who as u32, seed).await?;
                    let seen = links[0].address;
                    own_among.push(Some(links));
                    seen
                } else {
                    let link = udp(*address, seed).await?;
                    let seen = link.address;
                    if other >= n {
                        own_words.push(link);
                    } else {
                        members.push((who as u32, other as u32, link));
                    }
                    seen
                };
                let kind = if other < n { "node" } else { "divider" };
                let list = if other < n { &mut nodes } else { &mut dividers };
                *list += &format!("  ({kind} {} \"{seen}\")\n", name(other));
            }
            if who < n {
                words.push(own_words);
            } else {
                among.push(own_among);
            }
            views.push((dir.join(format!("{}.sexp", name(who))), dividers + &nodes));
        }
        let fleet = Fleet {
            history,
            dividers: Vec::new(),
            folders: (0..d).map(|k| dir.join(format!("d{k}"))).collect(),
            turns: (0..d).map(|_| Mutex::new(())).collect(),
            words,
            among,
            members,
            homes: homes(script),
            views,
            version: Cell::new(0),
            rate: script.rate,
            nodes: script.nodes,
            key: if keys && script.seed % 2 == 1 { write_key(dir, script.seed)? } else { "" },
        };
        fleet.write(FIRST)?;
        Ok(fleet)
    }

    /// How many dividers there are.
    pub fn count(&self) -> u32 {
        self.folders.len() as u32
    }

    /// The file of a node.
    pub fn file(&self, node: u32) -> &Path {
        &self.views[node as usize].0
    }

    /// Write everyone's next file.
    fn write(&self, percent: u32) -> std::io::Result<()> {
        self.version.set(self.version.get() + 1);
        if !self.homes.is_empty() {
            for (path, places) in &self.views {
                let (version, key) = (self.version.get(), self.key);
                let text =
                    format!("(budgets (version {version}) (term {LEASE} us){key}\n{places}{})\n", self.homes);
                whole(path, &text)?;
            }
            return Ok(());
        }
        let nodes = u64::from(self.nodes);
        let all = (self.rate * f64::from(percent) / 100.0).round().max(3.0 * nodes as f64) as u64;
        let budgets = [
            (QUOTA, all, format!("(reserve 2) (burst {BURST} us)")),
            (FLIGHT, nodes + 3, format!("(per moment) (reserve 1) (longest {LONGEST} us)")),
            (RETRIES, 2 * nodes, format!("(reserve 1) (burst {BURST} us)")),
            (PROBES, 3 * nodes, format!("(reserve 1) (burst {BURST} us)")),
            // Fewer than there are nodes: they can't all call at once.
            (LISTS, 2, format!("(burst {BURST} us)")),
            (CONNECTIONS, 2 * nodes, format!("(per moment) (reserve 1) (longest {LONGEST} us)")),
        ];
        for (path, places) in &self.views {
            let mut text =
                format!("(budgets (version {}) (term {TERM} us){}\n{places}", self.version.get(), self.key);
            for (name, whole, rest) in &budgets {
                text += &format!("  (budget {name} (whole {whole}) {rest})\n");
            }
            whole(path, &(text + ")\n"))?;
        }
        for (name, whole, _) in budgets {
            self.history.record(Event::BudgetTotal { budget: name.to_string(), total: whole });
        }
        Ok(())
    }

    /// Start the dividers; their clocks are set apart, and off by less than the file says.
    pub async fn start(&mut self, program: &Path, older: Option<&Path>) -> Result<(), PlayError> {
        for (k, folder) in self.folders.iter().enumerate() {
            let file = &self.views[self.nodes as usize + k].0;
            let drift = [300, -300, 0][k % 3];
            let args = vec![
                "--budgets".into(),
                file.into(),
                "--state".into(),
                folder.into(),
                format!("--name=d{k}").into(),
                format!("--test-clock-drift={drift}").into(),
                format!("--test-clock-offset={}", k * 3_600).into(),
            ];
            let divider = Node::divider(k as u32, program, args, self.history.clone());
            older.into_iter().for_each(|older| divider.beside(older));
            if k % 2 == 1 {
                divider.upgrade();
            }
            divider.start()?;
            self.dividers.push(divider);
        }
        for (k, divider) in self.dividers.iter().enumerate() {
            if !divider.serving().await {
                return Err(PlayError::Start { node: k as u32, log: divider.log().join("\n") });
            }
        }
        // What is looked at begins once grants are given: not for a term after a fleet was founded.
        let begin = Instant::now();
        let gives = |d: &Rc<Node>| d.log().iter().any(|line| line.contains("gives grants"));
        while !self.dividers.iter().any(gives) {
            if begin.elapsed() > FOUNDED {
                let log = self.logs().concat().join("\n");
                return Err(PlayError::Start { node: 0, log });
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// The last lines of each divider's log.
    pub fn logs(&self) -> Vec<Vec<String>> {
        self.dividers.iter().map(|d| d.log()).collect()
    }

    /// End the dividers.
    pub async fn end(&self) {
        for divider in &self.dividers {
            divider.go_on();
            divider.terminate();
        }
        for divider in &self.dividers {
            divider.until(Stands::Ended).await;
        }
    }

    /// What links do from now on, by the numbers of who speaks and who hears: nodes, then dividers.
    pub fn apart(&self, traits: impl Fn(u32, u32) -> Traits) {
        let set = |link: &Link, who: u32, other: u32| {
            link.change(|s| (s.there, s.back) = (traits(who, other), traits(other, who)));
        };
        for (node, links) in (0..).zip(&self.words) {
            (self.nodes..).zip(links).for_each(|(divider, link)| set(link, node, divider));
        }
        for (who, links) in (self.nodes..).zip(&self.among) {
            for (other, both) in (self.nodes..).zip(links) {
                both.iter().flatten().for_each(|link| set(link, who, other));
            }
        }
        self.members.iter().for_each(|(who, other, link)| set(link, *who, *other));
    }

    /// A divider is killed, and back after that time, with its disk or without.
    pub async fn kill(&self, divider: u32, down: Duration, lost: bool) {
        let _turn = self.turns[divider as usize].lock().await;
        let process = &self.dividers[divider as usize];
        process.kill();
        process.until(Stands::Ended).await;
        if lost {
            // One that was never made is lost already.
            let _ = std::fs::remove_dir_all(&self.folders[divider as usize]);
        }
        sleep(down).await;
        // Without a process it doesn't divide, and the history shows what comes of that.
        if process.start().is_ok() {
            process.serving().await;
        }
    }

    /// A divider ends as it is told to, and goes on with the other program.
    pub async fn upgrade(&self, divider: u32) {
        let _turn = self.turns[divider as usize].lock().await;
        let process = &self.dividers[divider as usize];
        process.terminate();
        process.until(Stands::Ended).await;
        process.upgrade();
        if process.start().is_ok() {
            process.serving().await;
        }
    }

    /// A divider's disk is full for that time.
    pub async fn fill(&self, divider: u32, length: Duration) {
        let _turn = self.turns[divider as usize].lock().await;
        let process = &self.dividers[divider as usize];
        let again = |full: bool| async move {
            process.kill();
            process.until(Stands::Ended).await;
            let file = std::fs::metadata(self.folders[divider as usize].join("divider.redb"));
            // Less than there is: what is written anew at the end fails.
            let blocks = file.map_or(0, |f| f.len() * 3 / 4 / 512);
            let started = if full { process.start_full(blocks) } else { process.start() };
            // It may end at once, or at its first write that needs room.
            if started.is_ok() {
                process.serving().await;
            }
        };
        again(true).await;
        sleep(length).await;
        again(false).await;
    }

    /// A divider stands still for that time.
    pub async fn halt(&self, divider: u32, length: Duration) {
        let _turn = self.turns[divider as usize].lock().await;
        self.dividers[divider as usize].halt();
        sleep(length).await;
        self.dividers[divider as usize].go_on();
    }

    /// Words between a node and all dividers are lost, doubled and overtaken, for that time.
    pub async fn spoil(&self, node: u32, loss: f64, length: Duration) {
        let change = |set: bool| {
            let (part, late) = if set { (loss, loss / 2.0) } else { (0.0, 0.0) };
            for link in &self.words[node as usize] {
                link.change(|s| {
                    for t in [&mut s.there, &mut s.back] {
                        (t.loss, t.twice, t.late) = (part, late, late);
                        t.lateness = Duration::from_millis(800);
                    }
                });
            }
        };
        change(true);
        sleep(length).await;
        change(false);
    }

    /// Nothing is heard between a node and a divider, for that time.
    pub async fn cut(&self, node: u32, divider: u32, way: Way, length: Duration) {
        let link = &self.words[node as usize][divider as usize];
        set_cut(link, way, true);
        sleep(length).await;
        set_cut(link, way, false);
    }

    /// A divider is cut from the others, for that time.
    pub async fn alone(&self, divider: u32, length: Duration) {
        let d = divider as usize;
        let links = || {
            let from = self.among[d].iter().flatten().flatten();
            let to = self.among.iter().filter_map(move |all| all[d].as_ref()).flatten();
            from.chain(to)
        };
        links().for_each(|l| set_cut(l, Way::Both, true));
        sleep(length).await;
        links().for_each(|l| set_cut(l, Way::Both, false));
    }

    /// Another whole, told to dividers and then to nodes.
    pub async fn whole(&self, percent: u32, nodes: &[Rc<Node>]) {
        // What can't be written is not in force.
        if self.write(percent).is_ok() {
            self.dividers.iter().for_each(|d| d.hang_up());
            sleep(AHEAD).await;
            nodes.iter().for_each(|n| n.hang_up());
        }
    }
}

/// A budget for each range of keys, where there are sites.
fn homes(script: &Script) -> String {
    let sites = script.sites.min(script.nodes);
    let of = |node: u32| node / (script.nodes / sites);
    let home = |n: u32| format!("  (budget home:s{}/n{n} (per moment) (whole 1) (longest 500 ms))\n", of(n));
    (0..script.nodes).filter(|_| sites > 0).map(home).collect()
}

fn set_cut(link: &Link, way: Way, cut: bool) {
    link.change(|s| {
        let change = |t: &mut Traits| t.cut = cut;
        if way.covers(true) {
            change(&mut s.there);
        }
        if way.covers(false) {
            change(&mut s.back);
        }
    });
}

/// For how long unused units are kept.
pub const BURST: At = 200_000;
