//! The event loop of the simulation: arrivals, messages, servers, and the events of a scenario.

use super::file::{Direction, Event as SiteEvent, EventKind, Failover, Scenario};
use super::node::{self, Disk, MultiSite, Node, NodeMessage, TickResult, ACME};
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

/// Time at which a run starts. A server that started at time 0 is warm.
const START: Micros = S;
/// Range of the time after which a client that found its own site down tries it again.
const OWN_SITE_RETRY_DELAY: (Micros, Micros) = (500 * MS, 1_500 * MS);
/// A server in slow start is overloaded when it receives this multiple of its capacity within the window.
const OVERLOAD_MULTIPLE: f64 = 4.0;
const OVERLOAD_WINDOW: Micros = 2 * S;

/// A request and its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Index of the site of the client.
    pub client_site: u16,
    /// Time at which the client sent it, from the start of the run.
    pub sent_at: Micros,
    /// Index of the site that served it; `None` if it was not served.
    pub served_by: Option<u16>,
    /// Time until a server finished it; 0 if none did.
    pub latency: Micros,
    /// Time until the last rejection of it as a remote request, or by its own site during recovery.
    pub rejected_after: Option<Micros>,
    /// Whether it belongs to the account `acme` and reached a node as new work.
    pub new_work_started: bool,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// All requests in the order of their sending.
    pub requests: Vec<RequestRecord>,
    /// Number of times that a server in slow start was overloaded.
    pub overloaded_servers: u32,
    /// How often each node, by its number, of the first site saw the second site change to the state.
    pub state_changes: BTreeMap<(usize, usize, SiteState), BTreeMap<u32, u32>>,
    /// By the number of each accounts file: when it was submitted, and the delays until the nodes applied its
    /// closing.
    pub closings: BTreeMap<u64, (Micros, Vec<Micros>)>,
    /// Messages sent and their bytes as JSON: on site health, and on accounts.
    pub messages: [(u64, u64); 2],
    /// New jobs of the account that were counted against its credit.
    pub jobs_on_credit: u64,
    /// Uptime of all nodes together, in seconds.
    pub node_seconds: f64,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrival { site: usize },
    Send { job: u64, site: usize },
    Message { to: usize, from: u32, message: Box<NodeMessage> },
    Tick { node: usize, incarnation: u32 },
    Wake { node: usize, incarnation: u32 },
    AttemptStarted { node: usize, incarnation: u32, job: u64 },
    AttemptEnded { node: usize, incarnation: u32, job: u64 },
    SiteLost { site: usize },
    SiteRestarted { site: usize },
    AccountsFileSubmitted { site: usize },
}

struct Scheduled {
    at: Micros,
    order: u64,
    event: SimEvent,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A request without a final answer.
struct OpenRequest {
    record: RequestRecord,
    client: usize,
    /// Work on a warm server.
    work: Micros,
    acme: bool,
    /// The site that it was last sent to, and when.
    site: usize,
    sent_at: Micros,
    /// Whether it was sent to another site than the client's own.
    sent_elsewhere: bool,
}

#[derive(Clone, Default)]
struct Server {
    free_at: Micros,
    started_at: Micros,
    recent_arrivals: VecDeque<Micros>,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    sites_config: SitesConfig,
    now: Micros,
    order: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    nodes: Vec<Node>,
    /// Indices of the nodes of each site.
    site_nodes: Vec<Vec<usize>>,
    node_by_number: FxHashMap<u32, usize>,
    is_up: Vec<bool>,
    servers: Vec<Vec<Server>>,
    retry_own_site_at: Vec<Vec<Micros>>,
    open_requests: FxHashMap<u64, OpenRequest>,
    request_count: u64,
    accounts_files: u64,
    /// Generators of each site's arrivals, which do not depend on other events.
    arrival_rngs: Vec<ChaCha8Rng>,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

fn sites_config(scenario: &Scenario, site_nodes: &[Vec<usize>]) -> Result<SitesConfig, ParseErrors> {
    let ms = |t: Micros| format!("{} ms", t / MS);
    let mut text = "(sites (fleet \"lab\") (key \"k\")".to_string();
    text += &format!(
        "(confirm {}) (alone {}) (hold {})",
        ms(scenario.confirm),
        ms(scenario.alone),
        ms(scenario.hold)
    );
    for (s, nodes) in site_nodes.iter().enumerate() {
        let node = |k: usize| format!("(node s{s}n{k} \"10.{s}.{}.{}:1\")", k / 250, k % 250);
        let nodes: String = (0..nodes.len()).map(node).collect();
        text += &format!("(site s{s} (bears {}) {nodes})", scenario.site_capacity);
        if scenario.spillover_percent > 0 {
            text += &format!("(lend s{s} (class job (part {})))", scenario.spillover_percent);
        }
    }
    if let Some(c) = scenario.credit {
        text += &format!(
            "(credit {ACME} (jobs {}) (reserve {}) (shrink {}))",
            c.jobs,
            c.reserve,
            ms(c.shrink_after)
        );
    }
    config::read("lab", &(text + ")"))
}

impl Simulation<'_> {
    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled { at: at.max(self.now), order: self.order, event }));
    }

    fn notify_scheduler(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        let n = &mut self.nodes[node];
        n.scheduler.handle(self.now, event, &mut actions);
        let (site, incarnation) = (n.site, n.incarnation);
        for action in actions {
            match action {
                Action::StartAttempt { id, endpoint } => {
                    self.start_attempt(node, incarnation, (site, endpoint.0 as usize), id.0)
                }
                Action::WakeAfter { delay: after } => {
                    self.schedule(self.now + after, SimEvent::Wake { node, incarnation })
                }
                Action::Reject { id, quota } => self.request_rejected(node, id.0, quota),
                Action::Shed { id, .. } | Action::Fail { id } => self.finish_unserved(id.0),
                _ => {}
            }
        }
    }

    fn start_attempt(
        &mut self,
        node: usize,
        incarnation: u32,
        (site, server_index): (usize, usize),
        job: u64,
    ) {
        let (now, scenario) = (self.now, self.scenario);
        let work = self.open_requests.get(&job).map_or(scenario.mean_work, |o| o.work);
        let Some(server) = self.servers[site].get_mut(server_index) else { return };
        let age = if server.started_at == 0 { scenario.warm_up } else { now - server.started_at };
        let fraction = scenario.cold_capacity
            + (1.0 - scenario.cold_capacity) * (age as f64 / scenario.warm_up.max(1) as f64).min(1.0);
        server.recent_arrivals.push_back(now);
        while server.recent_arrivals.front().is_some_and(|at| now - *at > OVERLOAD_WINDOW) {
            server.recent_arrivals.pop_front();
        }
        let capacity = OVERLOAD_MULTIPLE * fraction * OVERLOAD_WINDOW as f64 / scenario.mean_work as f64;
        if fraction < 1.0 && server.recent_arrivals.len() as f64 > capacity + 3.0 * capacity.sqrt() + 3.0 {
            self.outcome.overloaded_servers += 1;
            server.recent_arrivals.clear();
        }
        let start = now.max(server.free_at);
        server.free_at = start + (work as f64 / fraction) as Micros;
        let end = server.free_at;
        self.schedule(start, SimEvent::AttemptStarted { node, incarnation, job });
        self.schedule(end, SimEvent::AttemptEnded { node, incarnation, job });
    }

    /// Records a request that ends unserved.
    fn finish_unserved(&mut self, job: u64) {
        if let Some(open) = self.open_requests.remove(&job) {
            self.outcome.requests.push(open.record);
        }
    }

    fn request_rejected(&mut self, node: usize, job: u64, quota: Option<QuotaKind>) {
        let now = self.now;
        let Some(open) = self.open_requests.get_mut(&job) else { return };
        let client_site = usize::from(open.record.client_site);
        if matches!(quota, Some(QuotaKind::RemoteClass(_) | QuotaKind::LocalSite)) {
            open.record.rejected_after = Some(now - open.sent_at);
        }
        let retry_elsewhere = quota == Some(QuotaKind::LocalSite) && !open.sent_elsewhere;
        let client = open.client;
        if !retry_elsewhere {
            return self.finish_unserved(job);
        }
        let random = self.rng.random();
        let after =
            self.nodes[node].multi_site.as_ref().map_or(S, |s| s.load_shifting.retry_after(random, now));
        self.retry_own_site_at[client_site][client] = now + after;
        self.send_elsewhere(job);
    }

    /// Sends a request to another site that is up.
    fn send_elsewhere(&mut self, job: u64) {
        let Some(open) = self.open_requests.get_mut(&job) else { return };
        open.sent_elsewhere = true;
        let client_site = usize::from(open.record.client_site);
        let sites = self.scenario.sites;
        let others: Vec<usize> =
            (1..sites).map(|k| (client_site + k) % sites).filter(|s| self.is_up[*s]).collect();
        if others.is_empty() {
            return self.finish_unserved(job);
        }
        let site = match self.scenario.failover {
            Failover::NextSite => others[0],
            Failover::AnySite => others[self.rng.random_range(0..others.len())],
            Failover::Weighted => {
                let all: f64 = (1..=others.len()).map(|k| 1.0 / k as f64).sum();
                let mut left = self.rng.random::<f64>() * all;
                let index = (1..others.len()).find(|k| {
                    left -= 1.0 / *k as f64;
                    left < 0.0
                });
                others[index.map_or(others.len() - 1, |k| k - 1)]
            }
        };
        self.schedule(self.now, SimEvent::Send { job, site });
    }

    /// Sends a new request of a client: to its own site, or to another one if the own site was down or
    /// rejected the client recently.
    fn arrival(&mut self, client_site: usize) {
        let (scenario, now) = (self.scenario, self.now);
        let rng = &mut self.arrival_rngs[client_site];
        let exp = |rng: &mut ChaCha8Rng| -(1.0 - rng.random::<f64>()).ln();
        let pause = exp(rng) / scenario.request_rate();
        let work = (exp(rng) * scenario.mean_work as f64) as Micros;
        let (client, acme) =
            (rng.random_range(0..scenario.clients_per_site), rng.random::<f64>() < scenario.acme_fraction);
        self.schedule(now + (pause * S as f64) as Micros, SimEvent::Arrival { site: client_site });
        if now - START >= scenario.duration {
            return;
        }
        self.request_count += 1;
        let job = self.request_count;
        let record = RequestRecord {
            client_site: client_site as u16,
            sent_at: now - START,
            served_by: None,
            latency: 0,
            rejected_after: None,
            new_work_started: false,
        };
        self.open_requests.insert(
            job,
            OpenRequest {
                record,
                client,
                work,
                acme,
                site: client_site,
                sent_at: now,
                sent_elsewhere: false,
            },
        );
        if self.retry_own_site_at[client_site][client] > now {
            return self.send_elsewhere(job);
        }
        if self.is_up[client_site] {
            return self.send_to_site(job, client_site);
        }
        self.retry_own_site_at[client_site][client] =
            now + self.rng.random_range(OWN_SITE_RETRY_DELAY.0..OWN_SITE_RETRY_DELAY.1);
        self.send_elsewhere(job);
    }

    fn send_to_site(&mut self, job: u64, site: usize) {
        let now = self.now;
        if !self.is_up[site] {
            return self.finish_unserved(job);
        }
        let index = self.rng.random_range(0..self.site_nodes[site].len());
        let node = self.site_nodes[site][index];
        let Some(open) = self.open_requests.get_mut(&job) else { return };
        (open.site, open.sent_at) = (site, now);
        let client_site = usize::from(open.record.client_site);
        let (acme, left) = (open.acme, self.scenario.deadline - (now - START - open.record.sent_at));
        let n = &mut self.nodes[node];
        let mut remote = client_site != site && self.scenario.spillover_percent > 0;
        match &mut n.multi_site {
            Some(multi_site) if !remote => multi_site.load_shifting.record_request(0),
            Some(_) => {}
            None => remote = false,
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
            is_remote: remote,
        };
        let before = n.scheduler.new_work_count(TenantId(0));
        self.notify_scheduler(node, Event::RequestArrived(request));
        let n = &mut self.nodes[node];
        let Some(open) = self.open_requests.get_mut(&job).filter(|o| o.acme && o.site == site) else {
            return;
        };
        open.record.new_work_started = true;
        // Only work that starts while the status is unconfirmed counts against the credit.
        if n.scheduler.new_work_count(TenantId(0)) > before
            && n.multi_site.as_mut().is_some_and(|s| s.record_new_job(now))
        {
            self.outcome.jobs_on_credit += 1;
        }
    }

    fn attempt_ended(&mut self, node: usize, job: u64) {
        let now = self.now;
        let site = self.nodes[node].site;
        self.nodes[node].outcomes.0 += 1;
        let (id, status) = (RequestId(job), AttemptStatus::Ok);
        if let Some(mut open) = self.open_requests.remove(&job) {
            let client_site = usize::from(open.record.client_site);
            open.record.latency = now - START - open.record.sent_at;
            open.record.served_by = (open.record.latency <= self.scenario.deadline).then_some(site as u16);
            self.outcome.requests.push(open.record);
            if let Some(multi_site) = self.nodes[node].multi_site.as_ref().filter(|_| client_site != site) {
                let chance = multi_site
                    .load_shifting
                    .return_probability(&multi_site.site_health, &format!("s{client_site}"));
                if self.rng.random::<f64>() < chance {
                    let at = now + multi_site.load_shifting.retry_after(self.rng.random(), now);
                    let retry_own_site_at = &mut self.retry_own_site_at[client_site][open.client];
                    *retry_own_site_at = at.min(*retry_own_site_at);
                }
            }
        }
        self.notify_scheduler(node, Event::AttemptEnded { id, attempt: 0, status, is_final: true });
    }

    /// Advances a node's modules, sends their messages, and returns the time of the next tick.
    fn tick(&mut self, node: usize) -> Option<Micros> {
        let now = self.now;
        let n = &mut self.nodes[node];
        let new_jobs = n.scheduler.new_work_count(TenantId(0));
        let multi_site = n.multi_site.as_mut()?;
        let TickResult { messages, quota_shares, state_changes, applied_closings, next_tick } =
            multi_site.tick(&mut n.outcomes, new_jobs, now);
        let (from, site) = (n.number, n.site);
        for change in state_changes {
            let changed_site = change.site.trim_start_matches('s').parse().unwrap_or(usize::MAX);
            *self
                .outcome
                .state_changes
                .entry((site, changed_site, change.to))
                .or_default()
                .entry(from)
                .or_default() += 1;
        }
        for number in applied_closings {
            if let Some((at, delays)) = self.outcome.closings.get_mut(&number) {
                delays.push(now - *at);
            }
        }
        if let Some(quota_shares) = quota_shares {
            self.notify_scheduler(node, Event::QuotaShares(quota_shares));
        }
        for (to, message) in messages {
            self.send_message(from, site, to, message);
        }
        Some(next_tick)
    }

    fn send_message(&mut self, from: u32, site: usize, to: u32, message: NodeMessage) {
        let (kind, bytes) = match &message {
            NodeMessage::SiteHealth(message) => (0, serde_json::to_vec(message)),
            NodeMessage::Accounts(message) => (1, serde_json::to_vec(message)),
        };
        self.outcome.messages[kind].0 += 1;
        self.outcome.messages[kind].1 += bytes.map_or(0, |b| b.len() as u64);
        let Some(to) = self.node_by_number.get(&to).copied() else { return };
        let other_site = self.nodes[to].site;
        let mut delay = self.rng.random_range(self.scenario.message_delay.0..=self.scenario.message_delay.1);
        let mut copies = 1;
        if other_site != site {
            let elapsed = self.now - START;
            for event in self.scenario.events.iter().filter(|e| e.is_active(elapsed)) {
                let (from_site, to_site) = (event.site == site, event.site == other_site);
                match event.kind {
                    EventKind::Partition(Direction::Both) if from_site || to_site => return,
                    EventKind::Partition(Direction::Outbound) if from_site => return,
                    EventKind::Partition(Direction::Inbound) if to_site => return,
                    EventKind::Delay(extra) if from_site || to_site => delay += extra,
                    _ => {}
                }
            }
            let random = self.rng.random::<f64>();
            copies = if random < self.scenario.message_loss {
                0
            } else {
                1 + usize::from(random < self.scenario.message_loss * 1.1)
            };
        }
        for _ in 0..copies {
            self.schedule(
                self.now + delay,
                SimEvent::Message { to, from, message: Box::new(message.clone()) },
            );
        }
    }

    /// Starts or restarts the nodes and servers of a site. Servers are cold after a restart.
    fn start(&mut self, site: usize, is_restart: bool, with_sites: bool) {
        let now = self.now;
        let started = if is_restart { now } else { 0 };
        self.is_up[site] = true;
        let server = Server { free_at: now, started_at: started, recent_arrivals: VecDeque::new() };
        self.servers[site] = vec![server; self.scenario.servers_per_site];
        for (k, node) in self.site_nodes[site].clone().into_iter().enumerate() {
            let seed = self.rng.random();
            let n = &mut self.nodes[node];
            let disk = n.multi_site.take().map_or(Disk::default(), |s| s.disk);
            n.scheduler = Scheduler::new(node::settings(self.scenario, self.site_nodes[site].len()), seed);
            if with_sites {
                n.multi_site = MultiSite::new(&self.sites_config, self.scenario, n.number, seed, disk, now);
            }
            let incarnation = n.incarnation;
            let endpoint = |w: usize| Endpoint {
                id: EndpointId(w as u32),
                name_hash: w as u64,
                kind: KindId(0),
                zone: ZoneId(0),
                cell: 0,
                capacity: 1.0,
                state: EndpointState::Live,
                started_at: started,
            };
            self.notify_scheduler(
                node,
                Event::EndpointList((0..self.scenario.servers_per_site).map(endpoint).collect()),
            );
            if with_sites {
                self.schedule(now + (k as Micros % 100) * MS, SimEvent::Tick { node, incarnation });
            }
        }
    }

    fn lose_site(&mut self, site: usize) {
        self.is_up[site] = false;
        for node in self.site_nodes[site].clone() {
            self.nodes[node].incarnation += 1;
        }
        let lost: Vec<u64> =
            self.open_requests.iter().filter(|(_, o)| o.site == site).map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.finish_unserved(id));
    }

    /// Submits an accounts file to one node of a site. The files alternately close and reopen the account.
    fn submit_accounts_file(&mut self, site: usize) {
        self.accounts_files += 1;
        let status = if self.accounts_files % 2 == 1 { "closing" } else { "reopened" };
        let text =
            format!("(accounts (number {}) (account {ACME} (standing {status})))", self.accounts_files);
        let index = self.rng.random_range(0..self.site_nodes[site].len());
        let node = self.site_nodes[site][index];
        let accounts_file: Result<_, FileError> = accounts::read("lab", &text);
        if let (Ok(accounts_file), Some(multi_site)) = (accounts_file, &mut self.nodes[node].multi_site) {
            self.outcome.closings.insert(self.accounts_files, (self.now, Vec::new()));
            multi_site.add_accounts_file(&accounts_file, self.now);
            self.tick(node);
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        let is_current = |node: usize, incarnation: u32| self.nodes[node].incarnation == incarnation;
        match event {
            SimEvent::Arrival { site } => self.arrival(site),
            SimEvent::Send { job, site } => self.send_to_site(job, site),
            SimEvent::Message { to, from, message } => {
                let (now, is_up) = (self.now, self.is_up[self.nodes[to].site]);
                if let Some(multi_site) = self.nodes[to].multi_site.as_mut().filter(|_| is_up) {
                    multi_site.receive(from, &message, now);
                    // Changes of accounts are applied and forwarded at once, as in the node's own loop.
                    if matches!(*message, NodeMessage::Accounts(_)) {
                        self.tick(to);
                    }
                }
            }
            SimEvent::Tick { node, incarnation } if is_current(node, incarnation) => {
                if let Some(next_tick) = self.tick(node) {
                    self.schedule(next_tick, SimEvent::Tick { node, incarnation });
                }
            }
            SimEvent::Wake { node, incarnation } if is_current(node, incarnation) => {
                self.notify_scheduler(node, Event::Wake)
            }
            SimEvent::AttemptStarted { node, incarnation, job } if is_current(node, incarnation) => {
                self.notify_scheduler(node, Event::AttemptStarted { id: RequestId(job), attempt: 0 });
            }
            SimEvent::AttemptEnded { node, incarnation, job } if is_current(node, incarnation) => {
                self.attempt_ended(node, job)
            }
            SimEvent::SiteLost { site } => self.lose_site(site),
            SimEvent::SiteRestarted { site } => {
                let with_sites = self.nodes[self.site_nodes[site][0]].multi_site.is_some();
                self.start(site, true, with_sites);
            }
            SimEvent::AccountsFileSubmitted { site } => self.submit_accounts_file(site),
            _ => {}
        }
    }
}

/// Runs a scenario, with the modules for several sites or without them.
///
/// # Errors
/// The errors of the sites file that is made from the scenario, such as a spillover percentage that is too
/// high.
pub fn run(scenario: &Scenario, with_sites: bool) -> Result<Outcome, ParseErrors> {
    let mut site_nodes = vec![Vec::new(); scenario.sites];
    (0..scenario.nodes).for_each(|node| site_nodes[node % scenario.sites].push(node));
    let sites_config = sites_config(scenario, &site_nodes)?;
    let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
    let arrival_rngs = (0..scenario.sites).map(|_| ChaCha8Rng::seed_from_u64(rng.random())).collect();
    let node = |k: usize| {
        let (site, index) = (k % scenario.sites, k / scenario.sites);
        Node {
            site,
            number: NodeId::of(&format!("s{site}n{index}")).0,
            scheduler: Scheduler::new(node::settings(scenario, 1), 0),
            multi_site: None,
            outcomes: (0, 0),
            incarnation: 0,
        }
    };
    let nodes: Vec<Node> = (0..scenario.nodes).map(node).collect();
    let mut simulation = Simulation {
        scenario,
        sites_config,
        now: START,
        order: 0,
        queue: BinaryHeap::new(),
        node_by_number: nodes.iter().enumerate().map(|(k, n)| (n.number, k)).collect(),
        nodes,
        site_nodes,
        is_up: vec![true; scenario.sites],
        servers: vec![Vec::new(); scenario.sites],
        retry_own_site_at: vec![vec![0; scenario.clients_per_site]; scenario.sites],
        open_requests: FxHashMap::default(),
        request_count: 0,
        accounts_files: 0,
        arrival_rngs,
        rng,
        outcome: Outcome::default(),
    };
    let site_events: Vec<SiteEvent> = scenario.events.clone();
    for site in 0..scenario.sites {
        simulation.start(site, false, with_sites);
        simulation.schedule(START, SimEvent::Arrival { site });
    }
    for SiteEvent { kind, site, at, until } in site_events {
        match kind {
            EventKind::SiteLoss => {
                simulation.schedule(START + at, SimEvent::SiteLost { site });
                if until < Micros::MAX {
                    simulation.schedule(START + until, SimEvent::SiteRestarted { site });
                }
            }
            EventKind::CloseAccount => {
                simulation.schedule(START + at, SimEvent::AccountsFileSubmitted { site })
            }
            EventKind::Partition(_) | EventKind::Delay(_) => {}
        }
    }
    let end = START + scenario.duration + scenario.deadline;
    while let Some(Reverse(due)) = simulation.queue.pop().filter(|due| due.0.at <= end) {
        simulation.now = due.at;
        simulation.handle_event(due.event);
    }
    let open: Vec<u64> = simulation.open_requests.keys().copied().collect();
    open.into_iter().for_each(|job| simulation.finish_unserved(job));
    simulation.outcome.requests.sort_by_key(|j| (j.sent_at, j.client_site));
    let up_seconds = |site: usize| {
        let lost = scenario.events.iter().filter(|e| e.kind == EventKind::SiteLoss && e.site == site);
        let down: Micros = lost.map(|e| e.until.min(scenario.duration) - e.at.min(scenario.duration)).sum();
        (scenario.duration + scenario.deadline - down) as f64 / S as f64
    };
    simulation.outcome.node_seconds =
        (0..scenario.sites).map(|s| simulation.site_nodes[s].len() as f64 * up_seconds(s)).sum();
    Ok(simulation.outcome)
}
