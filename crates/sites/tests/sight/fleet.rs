//! A fleet in virtual time: nodes that see sites, and a network that loses, delays and cuts.

use oorandom::Rand32;
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::health::{Message, SiteHealth, StateChange};
use shorepath_sites::Micros;
use std::collections::BTreeMap;

pub const S: Micros = 1_000_000;

/// A file of sites with so many nodes each.
pub fn plan(sizes: &[usize]) -> SitesConfig {
    let mut text = String::from("(sites (fleet \"f\") (key \"k\")");
    for (s, nodes) in sizes.iter().enumerate() {
        text += &format!("(site s{s} (bears 100) (server-prefix \"s{s}-\")");
        for n in 0..*nodes {
            text += &format!("(node s{s}n{n} \"10.{s}.{}.{}:1\")", n / 250, n % 250 + 1);
        }
        text += ")";
    }
    read("sites.sexp", &(text + ")")).unwrap()
}

pub struct Fleet {
    pub now: Micros,
    pub plan: SitesConfig,
    pub nodes: Vec<SiteHealth>,
    /// Each node's site.
    pub site: Vec<usize>,
    index: BTreeMap<u32, usize>,
    /// Words on the way: the hearer, the speaker, what.
    way: BTreeMap<(Micros, u64), (usize, usize, Message)>,
    wakes: BTreeMap<(Micros, usize), ()>,
    luck: Rand32,
    /// Shares lost, from site to site.
    pub loss: Vec<Vec<f32>>,
    /// One way, from site to site.
    pub delay: Vec<Vec<Micros>>,
    /// Nodes that are gone, and those that stand still (their words wait).
    pub dead: Vec<bool>,
    pub still: Vec<bool>,
    waiting: Vec<Vec<(usize, Message)>>,
    pub sent: u64,
    pub log: Vec<(Micros, usize, StateChange)>,
}

impl Fleet {
    pub fn new(sizes: &[usize], seed: u64) -> Fleet {
        let (plan, sites) = (plan(sizes), sizes.len());
        let numbers: Vec<u32> = plan.nodes().map(|(_, n)| n.number).collect();
        let count = numbers.len();
        let seen =
            numbers.iter().enumerate().map(|(k, n)| SiteHealth::new(*n, &plan, seed + k as u64, 0).unwrap());
        Fleet {
            now: 0,
            nodes: seen.collect(),
            site: sizes.iter().enumerate().flat_map(|(s, n)| vec![s; *n]).collect(),
            index: numbers.iter().enumerate().map(|(k, n)| (*n, k)).collect(),
            way: BTreeMap::new(),
            wakes: (0..count).map(|k| ((k as Micros * 777, k), ())).collect(),
            luck: Rand32::new(seed ^ 0x5eed),
            loss: vec![vec![0.0; sites]; sites],
            delay: vec![vec![1_000; sites]; sites],
            dead: vec![false; count],
            still: vec![false; count],
            waiting: vec![Vec::new(); count],
            sent: 0,
            log: Vec::new(),
            plan,
        }
    }

    pub fn each_link(&mut self, loss: f32) {
        self.loss.iter_mut().flatten().for_each(|l| *l = loss);
    }

    /// Everything between that site and others is lost, or nothing.
    pub fn cut(&mut self, site: usize, loss: f32) {
        for other in (0..self.loss.len()).filter(|o| *o != site) {
            self.loss[site][other] = loss;
            self.loss[other][site] = loss;
        }
    }

    pub fn kill(&mut self, site: usize, dead: bool) {
        for k in (0..self.nodes.len()).filter(|k| self.site[*k] == site) {
            self.dead[k] = dead;
        }
    }

    pub fn readiness(&mut self, node: usize, still: bool) {
        self.still[node] = still;
        if !still {
            for (from, message) in std::mem::take(&mut self.waiting[node]) {
                let from = self.number(from);
                let _ = self.nodes[node].receive(from, &message, self.now);
            }
        }
    }

    fn number(&self, k: usize) -> u32 {
        self.plan.nodes().nth(k).unwrap().1.number
    }

    pub fn run(&mut self, until: Micros) {
        let numbers: Vec<u32> = self.plan.nodes().map(|(_, n)| n.number).collect();
        loop {
            let message = self.way.first_key_value().map(|(k, _)| k.0).unwrap_or(Micros::MAX);
            let wake = self.wakes.first_key_value().map(|(k, _)| k.0).unwrap_or(Micros::MAX);
            let next = message.min(wake);
            if next > until {
                break;
            }
            self.now = next;
            if message <= wake {
                let Some((_, (to, from, message))) = self.way.pop_first() else { break };
                if self.still[to] {
                    self.waiting[to].push((from, message));
                } else if !self.dead[to] {
                    let _ = self.nodes[to].receive(numbers[from], &message, next);
                }
                continue;
            }
            let Some(((_, k), ())) = self.wakes.pop_first() else { break };
            if self.dead[k] || self.still[k] {
                self.wakes.insert((next + 10_000, k), ());
                continue;
            }
            self.nodes[k].tick(next);
            let due = self.nodes[k].due(next).max(next + 1_000);
            self.wakes.insert((due, k), ());
            for (to, message) in self.nodes[k].take_outgoing() {
                self.sent += 1;
                let to = self.index[&to];
                let (a, b) = (self.site[k], self.site[to]);
                if self.luck.rand_float() < self.loss[a][b] {
                    continue;
                }
                let at = next + if a == b { 300 } else { self.delay[a][b] };
                self.way.insert((at, self.sent), (to, k, message));
            }
            self.log.extend(self.nodes[k].take_changes().into_iter().map(|c| (next, k, c)));
        }
        self.now = until;
    }
}
