//! Scenarios of several sites, read from S-expressions.

use super::{Micros, MS, S};
use shorepath_sexp::{Form, ParseErrors};

/// Upper limit of all times of a scenario.
const MAX_DURATION: Micros = 3_600 * S;

/// Where clients send requests that their own site does not take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failover {
    /// To any site that is up, chosen at random.
    AnySite,
    /// To the next site in the file that is up.
    NextSite,
    /// To the k-th next site that is up, with a weight of 1/k.
    Weighted,
}

/// Direction in which a site is partitioned from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Messages in both directions are lost.
    Both,
    /// Messages to the site are lost.
    Inbound,
    /// Messages from the site are lost.
    Outbound,
}

/// Kind of an event at a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The site's nodes and servers are down. They restart cold at the end of the event.
    SiteLoss,
    /// Messages between the site and the others are lost.
    Partition(Direction),
    /// Messages between the site and the others take this much longer.
    Delay(Micros),
    /// A file that closes the account `acme` is submitted to one of the site's nodes.
    CloseAccount,
}

/// An event at a site, with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The kind of the event, with its parameters.
    pub kind: EventKind,
    /// Index of the site, from 0.
    pub site: usize,
    /// Start, from the start of the run.
    pub at: Micros,
    /// End; `Micros::MAX` if the file gives none.
    pub until: Micros,
}

impl Event {
    /// Returns whether the event is in effect at a time.
    pub fn is_active(&self, now: Micros) -> bool {
        (self.at..self.until).contains(&now)
    }
}

/// The credit of the account `acme` over all sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    /// New jobs that may start while the account's status is unconfirmed.
    pub jobs: u64,
    /// Jobs that remain after the credit has shrunk.
    pub reserve: u64,
    /// Time without confirmation after which the credit has shrunk to the reserve.
    pub shrink_after: Micros,
}

/// A fleet of sites with its load and its events.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name of the scenario, shown in plots.
    pub name: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time during which requests arrive.
    pub duration: Micros,
    /// Number of sites, 2 to 20.
    pub sites: usize,
    /// Number of nodes, spread evenly over the sites.
    pub nodes: usize,
    /// Number of backend servers of each site.
    pub servers_per_site: usize,
    /// Mean work of a job on a warm server.
    pub mean_work: Micros,
    /// Capacity of a server at its start, as a fraction of that of a warm one.
    pub cold_capacity: f64,
    /// Duration of slow start, after which a server has its full capacity.
    pub warm_up: Micros,
    /// Configured capacity of each site in requests per second.
    pub site_capacity: u64,
    /// Demand of each site's own clients as a fraction of the site's capacity.
    pub load: f64,
    /// Percentage of each site's capacity that is reserved for remote requests; 0 disables spillover.
    pub spillover_percent: u8,
    /// Fraction of the requests that belong to the account `acme`.
    pub acme_fraction: f64,
    /// Credit of the account `acme`, if it has one.
    pub credit: Option<Credit>,
    /// Time within which messages of a majority of sites confirm the status of accounts.
    pub confirm: Micros,
    /// Silence after which a site counts as unreachable or lost.
    pub alone: Micros,
    /// Time for which a state must persist before load moves because of it.
    pub hold: Micros,
    /// Shortest and longest delay of a message.
    pub message_delay: (Micros, Micros),
    /// Probability that a message between sites is lost. It is duplicated with a tenth of this probability.
    pub message_loss: f64,
    /// Number of clients of each site.
    pub clients_per_site: usize,
    /// Where clients send requests that their own site does not take.
    pub failover: Failover,
    /// Latency up to which an answer counts as in time.
    pub latency_objective: Micros,
    /// Time after which a client gives up.
    pub deadline: Micros,
    /// Start and end of the window whose requests are measured.
    pub measured_window: (Micros, Micros),
    /// Events in the order of their start.
    pub events: Vec<Event>,
}

impl Scenario {
    /// Returns the capacity of a site's servers when warm, in requests per second.
    pub fn max_rate(&self) -> f64 {
        self.servers_per_site as f64 * S as f64 / self.mean_work as f64
    }

    /// Returns the demand of each site's own clients, in requests per second.
    pub fn request_rate(&self) -> f64 {
        self.load * self.site_capacity as f64
    }

    /// Returns whether a site is lost at a time.
    pub fn is_lost(&self, site: usize, now: Micros) -> bool {
        self.events.iter().any(|e| e.kind == EventKind::SiteLoss && e.site == site && e.is_active(now))
    }

    /// Returns whether any event affects a site, other than a closing of the account.
    pub fn is_affected(&self, site: usize) -> bool {
        self.events.iter().any(|e| e.kind != EventKind::CloseAccount && e.site == site)
    }

    /// Returns the same scenario without its events.
    pub fn without_events(&self) -> Scenario {
        Scenario { events: Vec::new(), ..self.clone() }
    }
}

/// Reads a scenario.
///
/// # Errors
/// All errors of the text, with their positions.
pub fn read(file: &str, text: &str) -> Result<Scenario, ParseErrors> {
    shorepath_sexp::read(file, text, "sites-scenario", scenario)
}

fn event(f: &Form, kind: EventKind, sites: usize) -> Event {
    let site = f.count("site", 0, 0..=sites as u64 - 1) as usize;
    let at = f.time("at", 0, 0..=MAX_DURATION);
    let until = f.time("back", Micros::MAX, 0..=MAX_DURATION);
    if until <= at {
        f.add_error("the event ends before it begins");
    }
    f.finish();
    Event { kind, site, at, until }
}

fn events(f: &Form, sites: usize) -> Vec<Event> {
    let mut all: Vec<Event> = Vec::new();
    all.extend(f.many("lose").iter().map(|e| event(e, EventKind::SiteLoss, sites)));
    for e in f.many("cut") {
        let direction = match e.choice("way", "both", &["both", "in", "out"]).as_str() {
            "in" => Direction::Inbound,
            "out" => Direction::Outbound,
            _ => Direction::Both,
        };
        all.push(event(&e, EventKind::Partition(direction), sites));
    }
    for e in f.many("slow") {
        let delay = e.time("delay", S, 0..=MAX_DURATION);
        all.push(event(&e, EventKind::Delay(delay), sites));
    }
    all.extend(f.many("close").iter().map(|e| event(e, EventKind::CloseAccount, sites)));
    all.sort_by_key(|e| (e.at, e.site));
    for (k, e) in all.iter().enumerate() {
        let overlaps = |o: &Event| o.kind == EventKind::SiteLoss && o.site == e.site && o.at <= e.until;
        if e.kind == EventKind::SiteLoss && all[k + 1..].iter().any(overlaps) {
            f.add_error(format!("site {} is lost again before its previous loss ends", e.site));
        }
    }
    all
}

fn credit(f: &Form) -> Credit {
    let credit = Credit {
        jobs: f.count("jobs", 0, 0..=1_000_000_000),
        reserve: f.count("reserve", 0, 0..=1_000_000_000),
        shrink_after: f.time("shrink", 30 * S, 0..=MAX_DURATION),
    };
    if credit.reserve > credit.jobs {
        f.add_error("the reserve is larger than the jobs");
    }
    credit
}

fn scenario(f: &Form) -> Scenario {
    let sites = f.count("sites", 3, 2..=20) as usize;
    let duration = f.time("length", 50 * S, S..=MAX_DURATION);
    let scenario = Scenario {
        name: f.text("name", "sites"),
        seed: f.count("seed", 0, 0..=u64::from(u32::MAX)),
        duration,
        sites,
        nodes: f.count("nodes", 6, 2..=10_000) as usize,
        servers_per_site: f.count("servers", 20, 1..=10_000) as usize,
        mean_work: f.time("work", 50 * MS, 1..=MAX_DURATION),
        cold_capacity: f.number("cold", 0.2, 0.01..=1.0),
        warm_up: f.time("warm-up", 10 * S, 0..=MAX_DURATION),
        site_capacity: f.count("bears", 240, 1..=1_000_000_000),
        load: f.number("load", 0.7, 0.001..=100.0),
        spillover_percent: f.count("lent", 3, 0..=100) as u8,
        acme_fraction: f.number("acme", 0.0, 0.0..=1.0),
        credit: f.given("credit", |f| Some(credit(f))),
        confirm: f.time("confirm", 3 * S, 200 * MS..=MAX_DURATION),
        alone: f.time("alone", 5 * S, 500 * MS..=MAX_DURATION),
        hold: f.time("hold", 10 * S, 0..=MAX_DURATION),
        message_delay: f.time_range("way", (2 * MS, 8 * MS), 0..=MAX_DURATION),
        message_loss: f.number("loss", 0.0, 0.0..=1.0),
        clients_per_site: f.count("clients", 50, 1..=1_000_000) as usize,
        failover: match f.choice("spread", "even", &["even", "next", "near"]).as_str() {
            "next" => Failover::NextSite,
            "near" => Failover::Weighted,
            _ => Failover::AnySite,
        },
        latency_objective: f.time("wanted", 250 * MS, 1..=MAX_DURATION),
        deadline: f.time("give-up", 2 * S, 1..=MAX_DURATION),
        measured_window: f.time_range("counted", (0, duration), 0..=MAX_DURATION),
        events: events(f, sites),
    };
    if scenario.nodes < sites {
        f.add_error(format!("{} nodes for {sites} sites: each site needs a node", scenario.nodes));
    }
    if scenario.spillover_percent == 0 && scenario.events.iter().any(|e| e.kind == EventKind::SiteLoss) {
        f.add_error("a site is lost, but no site accepts remote requests: set (lent PERCENT)");
    }
    scenario
}
