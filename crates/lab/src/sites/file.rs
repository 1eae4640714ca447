//! What becomes of a fleet of sites, as a file of S-expressions says it.

use super::{Micros, MS, S};
use shorepath_sexp::{Form, ParseErrors};

/// The longest that a time may be.
const LONGEST: Micros = 3_600 * S;

/// Where clients go whose own site does not take them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// To any site that lives, by chance.
    Even,
    /// All to the next one in the file that lives.
    Next,
    /// To the k-th next one with a weight of 1/k.
    Near,
}

/// Which way a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Both.
    Both,
    /// What others say does not come in.
    In,
    /// What it says does not go out.
    Out,
}

/// Something that happens to a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    /// Its nodes and servers are gone; they are started anew, cold, when it ends.
    Lose,
    /// No word goes between it and the others.
    Cut(Way),
    /// Words between it and the others take that much longer.
    Slow(Micros),
    /// The account acme is closed by a file handed to one of its nodes.
    Close,
}

/// One of them, with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// What.
    pub what: What,
    /// The site's place, from 0.
    pub site: usize,
    /// When.
    pub at: Micros,
    /// Until when; the end of time where that is not said.
    pub back: Micros,
}

impl Event {
    /// Whether it holds then.
    pub fn holds(&self, now: Micros) -> bool {
        (self.at..self.back).contains(&now)
    }
}

/// The credit of the account acme, over all sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    /// Jobs that may be begun on unconfirmed standing.
    pub jobs: u64,
    /// What is left of them in the end.
    pub reserve: u64,
    /// After so long.
    pub shrink: Micros,
}

/// A fleet of sites, and what becomes of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The seed of every random number.
    pub seed: u64,
    /// Requests come for this long.
    pub length: Micros,
    /// Sites, 2 to 20.
    pub sites: usize,
    /// Nodes, over all sites evenly.
    pub nodes: usize,
    /// Servers of each site.
    pub servers: usize,
    /// The mean work of a job, on a warm server.
    pub work: Micros,
    /// What a server does of that when it has just started.
    pub cold: f64,
    /// How long it takes to do all of it.
    pub warm_up: Micros,
    /// What the file says that a site bears, requests a second.
    pub bears: u64,
    /// What each site's clients ask for, against that.
    pub load: f64,
    /// What each site lends, in hundredths; 0 for a fleet that lends nothing.
    pub lent: u8,
    /// The part of the requests that are acme's.
    pub acme: f64,
    /// Its credit, if it has one.
    pub credit: Option<Credit>,
    /// As in the file of sites.
    pub confirm: Micros,
    /// As in the file of sites.
    pub alone: Micros,
    /// As in the file of sites.
    pub hold: Micros,
    /// The shortest and the longest way of a word.
    pub way: (Micros, Micros),
    /// A word between sites is lost with that probability, and doubled with a tenth of it.
    pub loss: f64,
    /// Clients of each site.
    pub clients: usize,
    /// Where they go when their own site does not take them.
    pub spread: Spread,
    /// Answers are wanted within this.
    pub wanted: Micros,
    /// Given up after that.
    pub give_up: Micros,
    /// Requests asked for in this time are counted.
    pub counted: (Micros, Micros),
    /// What happens.
    pub events: Vec<Event>,
}

impl Scenario {
    /// What the servers of a site do at most, requests a second.
    pub fn most(&self) -> f64 {
        self.servers as f64 * S as f64 / self.work as f64
    }

    /// What each site's clients ask for, requests a second.
    pub fn rate(&self) -> f64 {
        self.load * self.bears as f64
    }

    /// Whether a site is lost then.
    pub fn is_lost(&self, site: usize, now: Micros) -> bool {
        self.events.iter().any(|e| e.what == What::Lose && e.site == site && e.holds(now))
    }

    /// Whether anything ever happens to a site but a closing.
    pub fn strikes(&self, site: usize) -> bool {
        self.events.iter().any(|e| e.what != What::Close && e.site == site)
    }

    /// The same without anything that happens.
    pub fn calm(&self) -> Scenario {
        Scenario { events: Vec::new(), ..self.clone() }
    }
}

/// Read a scenario.
///
/// # Errors
/// All faults of the text, with their places.
pub fn read(file: &str, text: &str) -> Result<Scenario, ParseErrors> {
    shorepath_sexp::read(file, text, "sites-scenario", scenario)
}

fn event(f: &Form, what: What, sites: usize) -> Event {
    let site = f.count("site", 0, 0..=sites as u64 - 1) as usize;
    let at = f.time("at", 0, 0..=LONGEST);
    let back = f.time("back", Micros::MAX, 0..=LONGEST);
    if back <= at {
        f.add_error("it ends before it begins");
    }
    f.finish();
    Event { what, site, at, back }
}

fn events(f: &Form, sites: usize) -> Vec<Event> {
    let mut all: Vec<Event> = Vec::new();
    all.extend(f.many("lose").iter().map(|e| event(e, What::Lose, sites)));
    for e in f.many("cut") {
        let way = match e.choice("way", "both", &["both", "in", "out"]).as_str() {
            "in" => Way::In,
            "out" => Way::Out,
            _ => Way::Both,
        };
        all.push(event(&e, What::Cut(way), sites));
    }
    for e in f.many("slow") {
        let delay = e.time("delay", S, 0..=LONGEST);
        all.push(event(&e, What::Slow(delay), sites));
    }
    all.extend(f.many("close").iter().map(|e| event(e, What::Close, sites)));
    all.sort_by_key(|e| (e.at, e.site));
    for (k, e) in all.iter().enumerate() {
        let same = |o: &Event| o.what == What::Lose && o.site == e.site && o.at <= e.back;
        if e.what == What::Lose && all[k + 1..].iter().any(same) {
            f.add_error(format!("the site {} is lost again before it is back", e.site));
        }
    }
    all
}

fn credit(f: &Form) -> Credit {
    let credit = Credit {
        jobs: f.count("jobs", 0, 0..=1_000_000_000),
        reserve: f.count("reserve", 0, 0..=1_000_000_000),
        shrink: f.time("shrink", 30 * S, 0..=LONGEST),
    };
    if credit.reserve > credit.jobs {
        f.add_error("the reserve is more than the jobs");
    }
    credit
}

fn scenario(f: &Form) -> Scenario {
    let sites = f.count("sites", 3, 2..=20) as usize;
    let length = f.time("length", 50 * S, S..=LONGEST);
    let scenario = Scenario {
        name: f.text("name", "sites"),
        seed: f.count("seed", 0, 0..=u64::from(u32::MAX)),
        length,
        sites,
        nodes: f.count("nodes", 6, 2..=10_000) as usize,
        servers: f.count("servers", 20, 1..=10_000) as usize,
        work: f.time("work", 50 * MS, 1..=LONGEST),
        cold: f.number("cold", 0.2, 0.01..=1.0),
        warm_up: f.time("warm-up", 10 * S, 0..=LONGEST),
        bears: f.count("bears", 240, 1..=1_000_000_000),
        load: f.number("load", 0.7, 0.001..=100.0),
        lent: f.count("lent", 3, 0..=100) as u8,
        acme: f.number("acme", 0.0, 0.0..=1.0),
        credit: f.given("credit", |f| Some(credit(f))),
        confirm: f.time("confirm", 3 * S, 200 * MS..=LONGEST),
        alone: f.time("alone", 5 * S, 500 * MS..=LONGEST),
        hold: f.time("hold", 10 * S, 0..=LONGEST),
        way: f.time_range("way", (2 * MS, 8 * MS), 0..=LONGEST),
        loss: f.number("loss", 0.0, 0.0..=1.0),
        clients: f.count("clients", 50, 1..=1_000_000) as usize,
        spread: match f.choice("spread", "even", &["even", "next", "near"]).as_str() {
            "next" => Spread::Next,
            "near" => Spread::Near,
            _ => Spread::Even,
        },
        wanted: f.time("wanted", 250 * MS, 1..=LONGEST),
        give_up: f.time("give-up", 2 * S, 1..=LONGEST),
        counted: f.time_range("counted", (0, length), 0..=LONGEST),
        events: events(f, sites),
    };
    if scenario.nodes < sites {
        f.add_error(format!("{} nodes for {sites} sites: each needs one", scenario.nodes));
    }
    if scenario.lent == 0 && scenario.events.iter().any(|e| e.what == What::Lose) {
        f.add_error("a site is lost and none lends anything: (lent HUNDREDTHS)");
    }
    scenario
}
