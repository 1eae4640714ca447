//! A fleet in virtual time, with a network that loses, delays and blocks messages.

use oorandom::Rand32;
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::health::{Message, SiteHealth, StateChange};
use shorepath_sites::Micros;
use std::collections::BTreeMap;

/// One second, in microseconds.
pub const S: Micros = 1_000_000;

/// Builds a configuration with the given number of nodes at each site.
pub fn config(sizes: &[usize]) -> SitesConfig {
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
    pub config: SitesConfig,
    pub nodes: Vec<SiteHealth>,
    /// Index of each node's site.
    pub site: Vec<usize>,
    index: BTreeMap<u32, usize>,
    /// Messages in transit by delivery time: receiver, sender and content.
    in_transit: BTreeMap<(Micros, u64), (usize, usize, Message)>,
    wakes: BTreeMap<(Micros, usize), ()>,
    rng: Rand32,
    /// Probability of loss, by the sites of sender and receiver.
    pub loss: Vec<Vec<f32>>,
    /// One-way delay in microseconds, by the sites of sender and receiver.
    pub delay: Vec<Vec<Micros>>,
    pub dead: Vec<bool>,
    /// Suspended nodes, whose incoming messages are buffered.
    pub suspended: Vec<bool>,
    buffered: Vec<Vec<(usize, Message)>>,
    pub sent: u64,
    pub log: Vec<(Micros, usize, StateChange)>,
}

impl Fleet {
    pub fn new(sizes: &[usize], seed: u64) -> Fleet {
        let (config, sites) = (config(sizes), sizes.len());
        let numbers: Vec<u32> = config.nodes().map(|(_, n)| n.number).collect();
        let count = numbers.len();
        let views = numbers
            .iter()
            .enumerate()
            .map(|(k, n)| SiteHealth::new(*n, &config, seed + k as u64, 0).unwrap());
        Fleet {
            now: 0,
            nodes: views.collect(),
            site: sizes.iter().enumerate().flat_map(|(s, n)| vec![s; *n]).collect(),
            index: numbers.iter().enumerate().map(|(k, n)| (*n, k)).collect(),
            in_transit: BTreeMap::new(),
            wakes: (0..count).map(|k| ((k as Micros * 777, k), ())).collect(),
            rng: Rand32::new(seed ^ 0x5eed),
            loss: vec![vec![0.0; sites]; sites],
            delay: vec![vec![1_000; sites]; sites],
            dead: vec![false; count],
            suspended: vec![false; count],
            buffered: vec![Vec::new(); count],
            sent: 0,
            log: Vec::new(),
            config,
        }
    }

    /// Sets the probability of loss on all links.
    pub fn set_loss(&mut self, loss: f32) {
        self.loss.iter_mut().flatten().for_each(|l| *l = loss);
    }

    /// Sets the probability of loss between a site and all others.
    pub fn set_site_loss(&mut self, site: usize, loss: f32) {
        for other in (0..self.loss.len()).filter(|o| *o != site) {
            self.loss[site][other] = loss;
            self.loss[other][site] = loss;
        }
    }

    pub fn set_dead(&mut self, site: usize, dead: bool) {
        for k in (0..self.nodes.len()).filter(|k| self.site[*k] == site) {
            self.dead[k] = dead;
        }
    }

    /// Suspends or resumes a node; a resumed node receives its buffered messages.
    pub fn set_suspended(&mut self, node: usize, suspended: bool) {
        self.suspended[node] = suspended;
        if !suspended {
            for (from, message) in std::mem::take(&mut self.buffered[node]) {
                let from = self.number(from);
                let _ = self.nodes[node].receive(from, &message, self.now);
            }
        }
    }

    fn number(&self, k: usize) -> u32 {
        self.config.nodes().nth(k).unwrap().1.number
    }

    pub fn run(&mut self, until: Micros) {
        let numbers: Vec<u32> = self.config.nodes().map(|(_, n)| n.number).collect();
        loop {
            let message = self.in_transit.first_key_value().map(|(k, _)| k.0).unwrap_or(Micros::MAX);
            let wake = self.wakes.first_key_value().map(|(k, _)| k.0).unwrap_or(Micros::MAX);
            let next = message.min(wake);
            if next > until {
                break;
            }
            self.now = next;
            if message <= wake {
                let Some((_, (to, from, message))) = self.in_transit.pop_first() else { break };
                if self.suspended[to] {
                    self.buffered[to].push((from, message));
                } else if !self.dead[to] {
                    let _ = self.nodes[to].receive(numbers[from], &message, next);
                }
                continue;
            }
            let Some(((_, k), ())) = self.wakes.pop_first() else { break };
            if self.dead[k] || self.suspended[k] {
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
                if self.rng.rand_float() < self.loss[a][b] {
                    continue;
                }
                let at = next + if a == b { 300 } else { self.delay[a][b] };
                self.in_transit.insert((at, self.sent), (to, k, message));
            }
            self.log.extend(self.nodes[k].take_changes().into_iter().map(|c| (next, k, c)));
        }
        self.now = until;
    }
}
