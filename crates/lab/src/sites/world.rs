//! The events of a run: arrivals, words, servers, and what strikes sites.

use super::file::{Event as Strike, Scenario, Spread, Way, What};
use super::node::{self, Disk, Node, Passed, Said, Siting, ACME};
use super::{Micros, MS, S};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use shorepath_accounts::config::{self as accounts, FileError};
use shorepath_quota::NodeId;
use shorepath_scheduler::QuotaKind;
use shorepath_scheduler::Scheduler;
use shorepath_scheduler::*;
use shorepath_sexp::ParseErrors;
use shorepath_sites::config::{self, SitesConfig};
use shorepath_sites::SiteState;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// All begins then: 0 stands for long ago.
const BEGIN: Micros = S;
/// A client that found its own site gone asks there again after this.
const AWAY: (Micros, Micros) = (500 * MS, 1_500 * MS);
/// A cold server falls that gets this much more than it does, over that time; see `docs/lab.md`.
const TIPS: f64 = 4.0;
const WINDOW: Micros = 2 * S;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The place of its client's site.
    pub home: u16,
    /// When it was asked for.
    pub at: Micros,
    /// At which site it was served; none where it was not.
    pub served_by: Option<u16>,
    /// How long that took.
    pub took: Micros,
    /// It was refused as a guest, or by its own site on the way back, and how long the last of that took.
    pub refused: Option<Micros>,
    /// It was new work of acme, begun.
    pub begun: bool,
}

/// What a run came to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// All requests.
    pub jobs: Vec<Job>,
    /// Cold servers that got more than they bear.
    pub felled: u32,
    /// How often nodes of the first site saw the second one come to that, by the node's number.
    pub changes: BTreeMap<(usize, usize, SiteState), BTreeMap<u32, u32>>,
    /// By the number of each file that bars the account: when it was handed out and each node's time until it held there.
    pub closings: BTreeMap<u64, (Micros, Vec<Micros>)>,
    /// Words said, and bytes of them as JSON: about sites, and about accounts.
    pub words: [(u64, u64); 2],
    /// New jobs of the account that were begun on credit.
    pub on_credit: u64,
    /// Seconds of life of all nodes.
    pub node_seconds: f64,
}

#[derive(Clone, Debug)]
enum Happening {
    Arrival { site: usize },
    Ask { job: u64, site: usize },
    Word { to: usize, from: u32, said: Box<Said> },
    Pass { node: usize, life: u32 },
    Wake { node: usize, life: u32 },
    Started { node: usize, life: u32, job: u64 },
    Ended { node: usize, life: u32, job: u64 },
    Lost { site: usize },
    Back { site: usize },
    Handed { site: usize },
}

struct Due {
    at: Micros,
    order: u64,
    what: Happening,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A request on its way.
struct Open {
    record: Job,
    client: usize,
    /// Its work on a warm server.
    work: Micros,
    acme: bool,
    /// Where it was asked for last, and when.
    site: usize,
    asked: Micros,
    /// It went elsewhere already.
    elsewhere: bool,
}

#[derive(Clone, Default)]
struct Server {
    free_at: Micros,
    born: Micros,
    came: VecDeque<Micros>,
}

struct World<'a> {
    of: &'a Scenario,
    plan: SitesConfig,
    now: Micros,
    order: u64,
    heap: BinaryHeap<Reverse<Due>>,
    nodes: Vec<Node>,
    /// Nodes of each site, by their places.
    members: Vec<Vec<usize>>,
    numbers: FxHashMap<u32, usize>,
    up: Vec<bool>,
    servers: Vec<Vec<Server>>,
    away: Vec<Vec<Micros>>,
    open: FxHashMap<u64, Open>,
    asked: u64,
    decrees: u64,
    /// Draws of each site's arrivals, which are the same whatever else happens.
    arrivals: Vec<ChaCha8Rng>,
    luck: ChaCha8Rng,
    out: Outcome,
}

fn plan(of: &Scenario, members: &[Vec<usize>]) -> Result<SitesConfig, ParseErrors> {
    let ms = |t: Micros| format!("{} ms", t / MS);
    let mut text = "(sites (fleet \"lab\") (key \"k\")".to_string();
    text += &format!("(confirm {}) (alone {}) (hold {})", ms(of.confirm), ms(of.alone), ms(of.hold));
    for (s, nodes) in members.iter().enumerate() {
        let node = |k: usize| format!("(node s{s}n{k} \"10.{s}.{}.{}:1\")", k / 250, k % 250);
        let nodes: String = (0..nodes.len()).map(node).collect();
        text += &format!("(site s{s} (bears {}) {nodes})", of.bears);
        if of.lent > 0 {
            text += &format!("(lend s{s} (class job (part {})))", of.lent);
        }
    }
    if let Some(c) = of.credit {
        text +=
            &format!("(credit {ACME} (jobs {}) (reserve {}) (shrink {}))", c.jobs, c.reserve, ms(c.shrink));
    }
    config::read("lab", &(text + ")"))
}

impl World<'_> {
    fn at(&mut self, at: Micros, what: Happening) {
        self.order += 1;
        self.heap.push(Reverse(Due { at: at.max(self.now), order: self.order, what }));
    }

    fn tell(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        let n = &mut self.nodes[node];
        n.module.handle(self.now, event, &mut actions);
        let (site, life) = (n.site, n.life);
        for action in actions {
            match action {
                Action::StartAttempt { id, endpoint: worker } => {
                    self.send(node, life, (site, worker.0 as usize), id.0)
                }
                Action::WakeAfter { delay: after } => {
                    self.at(self.now + after, Happening::Wake { node, life })
                }
                Action::Reject { id, quota: of } => self.barred(node, id.0, of),
                Action::Shed { id, .. } | Action::Fail { id } => self.over(id.0),
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, life: u32, (site, worker): (usize, usize), job: u64) {
        let (now, of) = (self.now, self.of);
        let work = self.open.get(&job).map_or(of.work, |o| o.work);
        let Some(server) = self.servers[site].get_mut(worker) else { return };
        let age = if server.born == 0 { of.warm_up } else { now - server.born };
        let part = of.cold + (1.0 - of.cold) * (age as f64 / of.warm_up.max(1) as f64).min(1.0);
        server.came.push_back(now);
        while server.came.front().is_some_and(|at| now - *at > WINDOW) {
            server.came.pop_front();
        }
        let bears = TIPS * part * WINDOW as f64 / of.work as f64;
        if part < 1.0 && server.came.len() as f64 > bears + 3.0 * bears.sqrt() + 3.0 {
            self.out.felled += 1;
            server.came.clear();
        }
        let start = now.max(server.free_at);
        server.free_at = start + (work as f64 / part) as Micros;
        let end = server.free_at;
        self.at(start, Happening::Started { node, life, job });
        self.at(end, Happening::Ended { node, life, job });
    }

    /// A request has come to its end without being served.
    fn over(&mut self, job: u64) {
        if let Some(open) = self.open.remove(&job) {
            self.out.jobs.push(open.record);
        }
    }

    fn barred(&mut self, node: usize, job: u64, of: Option<QuotaKind>) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&job) else { return };
        let home = usize::from(open.record.home);
        if matches!(of, Some(QuotaKind::RemoteClass(_) | QuotaKind::LocalSite)) {
            open.record.refused = Some(now - open.asked);
        }
        let back = of == Some(QuotaKind::LocalSite) && !open.elsewhere;
        let client = open.client;
        if !back {
            return self.over(job);
        }
        let luck = self.luck.random();
        let after = self.nodes[node].siting.as_ref().map_or(S, |s| s.lending.retry_after(luck, now));
        self.away[home][client] = now + after;
        self.elsewhere(job);
    }

    /// Ask another site that lives.
    fn elsewhere(&mut self, job: u64) {
        let Some(open) = self.open.get_mut(&job) else { return };
        open.elsewhere = true;
        let home = usize::from(open.record.home);
        let sites = self.of.sites;
        let others: Vec<usize> = (1..sites).map(|k| (home + k) % sites).filter(|s| self.up[*s]).collect();
        if others.is_empty() {
            return self.over(job);
        }
        let site = match self.of.spread {
            Spread::Next => others[0],
            Spread::Even => others[self.luck.random_range(0..others.len())],
            Spread::Near => {
                let all: f64 = (1..=others.len()).map(|k| 1.0 / k as f64).sum();
                let mut left = self.luck.random::<f64>() * all;
                let place = (1..others.len()).find(|k| {
                    left -= 1.0 / *k as f64;
                    left < 0.0
                });
                others[place.map_or(others.len() - 1, |k| k - 1)]
            }
        };
        self.at(self.now, Happening::Ask { job, site });
    }

    /// A client asks for something: at its own site, unless that was gone or said otherwise lately.
    fn arrival(&mut self, home: usize) {
        let (of, now) = (self.of, self.now);
        let rng = &mut self.arrivals[home];
        let exp = |rng: &mut ChaCha8Rng| -(1.0 - rng.random::<f64>()).ln();
        let pause = exp(rng) / of.rate();
        let work = (exp(rng) * of.work as f64) as Micros;
        let (client, acme) = (rng.random_range(0..of.clients), rng.random::<f64>() < of.acme);
        self.at(now + (pause * S as f64) as Micros, Happening::Arrival { site: home });
        if now - BEGIN >= of.length {
            return;
        }
        self.asked += 1;
        let job = self.asked;
        let record =
            Job { home: home as u16, at: now - BEGIN, served_by: None, took: 0, refused: None, begun: false };
        self.open.insert(job, Open { record, client, work, acme, site: home, asked: now, elsewhere: false });
        if self.away[home][client] > now {
            return self.elsewhere(job);
        }
        if self.up[home] {
            return self.ask(job, home);
        }
        self.away[home][client] = now + self.luck.random_range(AWAY.0..AWAY.1);
        self.elsewhere(job);
    }

    fn ask(&mut self, job: u64, site: usize) {
        let now = self.now;
        if !self.up[site] {
            return self.over(job);
        }
        let place = self.luck.random_range(0..self.members[site].len());
        let node = self.members[site][place];
        let Some(open) = self.open.get_mut(&job) else { return };
        (open.site, open.asked) = (site, now);
        let home = usize::from(open.record.home);
        let (acme, left) = (open.acme, self.of.give_up - (now - BEGIN - open.record.at));
        let n = &mut self.nodes[node];
        let mut guest = home != site && self.of.lent > 0;
        match &mut n.siting {
            Some(siting) if !guest => siting.lending.record_request(0),
            Some(_) => {}
            None => guest = false,
        }
        let request = Request {
            id: RequestId(job),
            class: ClassId(0),
            tenant: acme.then_some(TenantId(0)),
            key: None,
            time_remaining: left,
            work_hint: None,
            slots: 1,
            is_retry: false,
            work_state: WorkState::New,
            is_remote: guest,
        };
        let before = n.module.new_work_count(TenantId(0));
        self.tell(node, Event::RequestArrived(request));
        let n = &mut self.nodes[node];
        let Some(open) = self.open.get_mut(&job).filter(|o| o.acme && o.site == site) else { return };
        open.record.begun = true;
        // What is taken while that is bounded is counted; else nothing goes by the credit.
        if n.module.new_work_count(TenantId(0)) > before && n.siting.as_mut().is_some_and(|s| s.began(now)) {
            self.out.on_credit += 1;
        }
    }

    fn ended(&mut self, node: usize, job: u64) {
        let now = self.now;
        let site = self.nodes[node].site;
        self.nodes[node].outcomes.0 += 1;
        let (id, status) = (RequestId(job), AttemptStatus::Ok);
        if let Some(mut open) = self.open.remove(&job) {
            let home = usize::from(open.record.home);
            open.record.took = now - BEGIN - open.record.at;
            open.record.served_by = (open.record.took <= self.of.give_up).then_some(site as u16);
            self.out.jobs.push(open.record);
            if let Some(siting) = self.nodes[node].siting.as_ref().filter(|_| home != site) {
                let chance = siting.lending.return_probability(&siting.seeing, &format!("s{home}"));
                if self.luck.random::<f64>() < chance {
                    let at = now + siting.lending.retry_after(self.luck.random(), now);
                    let away = &mut self.away[home][open.client];
                    *away = at.min(*away);
                }
            }
        }
        self.tell(node, Event::AttemptEnded { id, attempt: 0, status, is_final: true });
    }

    /// A node looks at what it knows, and speaks; when it does so next.
    fn pass(&mut self, node: usize) -> Option<Micros> {
        let now = self.now;
        let n = &mut self.nodes[node];
        let begun = n.module.new_work_count(TenantId(0));
        let siting = n.siting.as_mut()?;
        let Passed { words, parts, changed, barred, next } = siting.pass(&mut n.outcomes, begun, now);
        let (from, site) = (n.number, n.site);
        for change in changed {
            let of = change.site.trim_start_matches('s').parse().unwrap_or(usize::MAX);
            *self.out.changes.entry((site, of, change.to)).or_default().entry(from).or_default() += 1;
        }
        for number in barred {
            if let Some((at, took)) = self.out.closings.get_mut(&number) {
                took.push(now - *at);
            }
        }
        if let Some(parts) = parts {
            self.tell(node, Event::QuotaShares(parts));
        }
        for (to, said) in words {
            self.say(from, site, to, said);
        }
        Some(next)
    }

    fn say(&mut self, from: u32, site: usize, to: u32, said: Said) {
        let (kind, bytes) = match &said {
            Said::Seeing(word) => (0, serde_json::to_vec(word)),
            Said::Accounts(word) => (1, serde_json::to_vec(word)),
        };
        self.out.words[kind].0 += 1;
        self.out.words[kind].1 += bytes.map_or(0, |b| b.len() as u64);
        let Some(to) = self.numbers.get(&to).copied() else { return };
        let other = self.nodes[to].site;
        let mut way = self.luck.random_range(self.of.way.0..=self.of.way.1);
        let mut copies = 1;
        if other != site {
            let then = self.now - BEGIN;
            for strike in self.of.events.iter().filter(|e| e.holds(then)) {
                let (out, into) = (strike.site == site, strike.site == other);
                match strike.what {
                    What::Cut(Way::Both) if out || into => return,
                    What::Cut(Way::Out) if out => return,
                    What::Cut(Way::In) if into => return,
                    What::Slow(delay) if out || into => way += delay,
                    _ => {}
                }
            }
            let luck = self.luck.random::<f64>();
            copies = if luck < self.of.loss { 0 } else { 1 + usize::from(luck < self.of.loss * 1.1) };
        }
        for _ in 0..copies {
            self.at(self.now + way, Happening::Word { to, from, said: Box::new(said.clone()) });
        }
    }

    /// The nodes of a site start, for the first time or anew; its servers with them where it is anew.
    fn start(&mut self, site: usize, anew: bool, with: bool) {
        let now = self.now;
        let started = if anew { now } else { 0 };
        self.up[site] = true;
        let server = Server { free_at: now, born: started, came: VecDeque::new() };
        self.servers[site] = vec![server; self.of.servers];
        for (k, node) in self.members[site].clone().into_iter().enumerate() {
            let seed = self.luck.random();
            let n = &mut self.nodes[node];
            let disk = n.siting.take().map_or(Disk::default(), |s| s.disk);
            n.module = Scheduler::new(node::settings(self.of, self.members[site].len()), seed);
            if with {
                n.siting = Siting::new(&self.plan, self.of, n.number, seed, disk, now);
            }
            let life = n.life;
            let member = |w: usize| Endpoint {
                id: EndpointId(w as u32),
                name_hash: w as u64,
                kind: KindId(0),
                zone: ZoneId(0),
                cell: 0,
                capacity: 1.0,
                state: EndpointState::Live,
                started_at: started,
            };
            self.tell(node, Event::EndpointList((0..self.of.servers).map(member).collect()));
            if with {
                self.at(now + (k as Micros % 100) * MS, Happening::Pass { node, life });
            }
        }
    }

    fn lose(&mut self, site: usize) {
        self.up[site] = false;
        for node in self.members[site].clone() {
            self.nodes[node].life += 1;
        }
        let lost: Vec<u64> = self.open.iter().filter(|(_, o)| o.site == site).map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.over(id));
    }

    /// The account is closed by a file handed to a node of a site, or opened again by the next one.
    fn handed(&mut self, site: usize) {
        self.decrees += 1;
        let standing = if self.decrees % 2 == 1 { "closing" } else { "reopened" };
        let text = format!("(accounts (number {}) (account {ACME} (standing {standing})))", self.decrees);
        let place = self.luck.random_range(0..self.members[site].len());
        let node = self.members[site][place];
        let decree: Result<_, FileError> = accounts::read("lab", &text);
        if let (Ok(decree), Some(siting)) = (decree, &mut self.nodes[node].siting) {
            self.out.closings.insert(self.decrees, (self.now, Vec::new()));
            siting.learn(&decree, self.now);
            self.pass(node);
        }
    }

    fn happens(&mut self, what: Happening) {
        let alive = |node: usize, life: u32| self.nodes[node].life == life;
        match what {
            Happening::Arrival { site } => self.arrival(site),
            Happening::Ask { job, site } => self.ask(job, site),
            Happening::Word { to, from, said } => {
                let (now, up) = (self.now, self.up[self.nodes[to].site]);
                if let Some(siting) = self.nodes[to].siting.as_mut().filter(|_| up) {
                    siting.hear(from, &said, now);
                    // What is learned is acted on and told on at once, as the node's loop does.
                    if matches!(*said, Said::Accounts(_)) {
                        self.pass(to);
                    }
                }
            }
            Happening::Pass { node, life } if alive(node, life) => {
                if let Some(next) = self.pass(node) {
                    self.at(next, Happening::Pass { node, life });
                }
            }
            Happening::Wake { node, life } if alive(node, life) => self.tell(node, Event::Wake),
            Happening::Started { node, life, job } if alive(node, life) => {
                self.tell(node, Event::AttemptStarted { id: RequestId(job), attempt: 0 });
            }
            Happening::Ended { node, life, job } if alive(node, life) => self.ended(node, job),
            Happening::Lost { site } => self.lose(site),
            Happening::Back { site } => {
                let with = self.nodes[self.members[site][0]].siting.is_some();
                self.start(site, true, with);
            }
            Happening::Handed { site } => self.handed(site),
            _ => {}
        }
    }
}

/// Play it to its end, with sites or as the program without them does.
///
/// # Errors
/// Where sites can't lend so much, or there can't be so many.
pub fn run(of: &Scenario, with: bool) -> Result<Outcome, ParseErrors> {
    let mut members = vec![Vec::new(); of.sites];
    (0..of.nodes).for_each(|node| members[node % of.sites].push(node));
    let plan = plan(of, &members)?;
    let mut luck = ChaCha8Rng::seed_from_u64(of.seed);
    let arrivals = (0..of.sites).map(|_| ChaCha8Rng::seed_from_u64(luck.random())).collect();
    let node = |k: usize| {
        let (site, place) = (k % of.sites, k / of.sites);
        Node {
            site,
            number: NodeId::of(&format!("s{site}n{place}")).0,
            module: Scheduler::new(node::settings(of, 1), 0),
            siting: None,
            outcomes: (0, 0),
            life: 0,
        }
    };
    let nodes: Vec<Node> = (0..of.nodes).map(node).collect();
    let mut world = World {
        of,
        plan,
        now: BEGIN,
        order: 0,
        heap: BinaryHeap::new(),
        numbers: nodes.iter().enumerate().map(|(k, n)| (n.number, k)).collect(),
        nodes,
        members,
        up: vec![true; of.sites],
        servers: vec![Vec::new(); of.sites],
        away: vec![vec![0; of.clients]; of.sites],
        open: FxHashMap::default(),
        asked: 0,
        decrees: 0,
        arrivals,
        luck,
        out: Outcome::default(),
    };
    let first: Vec<Strike> = of.events.clone();
    for site in 0..of.sites {
        world.start(site, false, with);
        world.at(BEGIN, Happening::Arrival { site });
    }
    for Strike { what, site, at, back } in first {
        match what {
            What::Lose => {
                world.at(BEGIN + at, Happening::Lost { site });
                if back < Micros::MAX {
                    world.at(BEGIN + back, Happening::Back { site });
                }
            }
            What::Close => world.at(BEGIN + at, Happening::Handed { site }),
            What::Cut(_) | What::Slow(_) => {}
        }
    }
    let end = BEGIN + of.length + of.give_up;
    while let Some(Reverse(due)) = world.heap.pop().filter(|due| due.0.at <= end) {
        world.now = due.at;
        world.happens(due.what);
    }
    let open: Vec<u64> = world.open.keys().copied().collect();
    open.into_iter().for_each(|job| world.over(job));
    world.out.jobs.sort_by_key(|j| (j.at, j.home));
    let lived = |site: usize| {
        let lost = of.events.iter().filter(|e| e.what == What::Lose && e.site == site);
        let gone: Micros = lost.map(|e| e.back.min(of.length) - e.at.min(of.length)).sum();
        (of.length + of.give_up - gone) as f64 / S as f64
    };
    world.out.node_seconds = (0..of.sites).map(|s| world.members[s].len() as f64 * lived(s)).sum();
    Ok(world.out)
}
