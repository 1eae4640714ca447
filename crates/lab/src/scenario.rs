//! What a scenario file says: clients, servers, the network between them, and what goes wrong when.

use crate::sim::server::ColdOverloadLimit;
use shorepath_scheduler::{
    ClassSettings, DedupScope, Idempotency, KindId, Micros, Settings, TenantSettings, ZoneId,
};
use shorepath_sexp::{Form, ParseErrors};
use std::ops::RangeInclusive;

/// The longest time that a file may name.
const DAY: Micros = 86_400_000_000;
const TIMES: RangeInclusive<Micros> = 0..=DAY;
const PART: RangeInclusive<f64> = 0.0..=1.0;

/// How a figure is spread about its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Not at all.
    Constant,
    /// By an exponential distribution.
    Exponential,
    /// By a log-normal distribution of the stated coefficient of variation.
    LogNormal,
    /// By a gamma distribution of the stated coefficient of variation.
    Gamma,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of all requests, against the other classes' parts.
    pub share: f64,
    /// Mean work, in microseconds on a core of speed 1.
    pub work: Micros,
    /// Coefficient of variation of the work.
    pub cv: f64,
    /// Its distribution.
    pub shape: Shape,
    /// Shares of its jobs that take 1, 2, 4 and 8 slots.
    pub slots: Vec<f64>,
    /// Mean memory of a job for each of its slots, in a server's units (one for each slot); 0 for none.
    pub memory: f64,
    /// Coefficient of variation of the memory.
    pub memory_cv: f64,
    /// Wanted within this time.
    pub wanted: Micros,
    /// And this many times its own work.
    pub stretch: f64,
    /// The client gives up after this time, over all its tries.
    pub give_up: Micros,
    /// What an answer in time is worth.
    pub worth: f64,
    /// The part of it that a late answer has.
    pub late: f64,
    /// What a repeat would do.
    pub effect: Idempotency,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of the service, against the other tenants' parts.
    pub share: f64,
    /// Its part of the traffic.
    pub traffic: f64,
    /// Requests a second within its share, over all nodes; 0 where there is no such figure.
    pub quota: f64,
}

/// A kind of backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the fleet.
    pub share: f64,
    /// Its cores.
    pub cores: u32,
    /// Jobs that it has in work at once, over cores where that is more.
    pub slots: u32,
    /// The least and the greatest speed of its cores.
    pub speed: (f64, f64),
}

/// A change of the arrival rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// From when.
    pub at: Micros,
    /// For how long.
    pub length: Micros,
    /// Over how long it rises and falls.
    pub ramp: Micros,
    /// The factor.
    pub times: f64,
    /// One tenant alone.
    pub tenant: Option<usize>,
}

/// Requests of one tenant that come at one moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// When.
    pub at: Micros,
    /// How many.
    pub count: u64,
    /// Whose.
    pub tenant: usize,
}

/// The fleet of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Servers {
    /// How many.
    pub count: u32,
    /// Their kinds.
    pub kinds: Vec<Kind>,
    /// Jobs that wait at each beyond its slots.
    pub queue: u32,
    /// Part of its rate that a server loses for each job it holds beyond its slots.
    pub crowd: f64,
    /// Share of the capacity right after a start, and when it is whole.
    pub cold: f64,
    /// See `cold`.
    pub warm_up: Micros,
    /// A cold one is allowed this many times what it can do, over `fall_window`; what it bears beyond that says
    /// [`crate::rules::cold_request_limit`].
    pub fall_multiple: f64,
    /// See `fall_multiple`.
    pub fall_window: Micros,
    /// Connections that each takes.
    pub connections: u32,
    /// Lost jobs that are safe to repeat go on from a state saved this often; 0 for never.
    pub saved: Micros,
    /// Whether a job that was called off stops.
    pub cancel_stops: bool,
    /// Whether servers tell when a job starts.
    pub tells_start: bool,
}

/// The network.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// One way within a zone.
    pub near: (Micros, Micros),
    /// One way between zones.
    pub far: (Micros, Micros),
    /// Mean of an exponential part on top, against the way's own time.
    pub jitter: f64,
    /// Work that a new connection costs its server.
    pub handshake: Micros,
    /// When a connection that does not come up is given up.
    pub connect_timeout: Micros,
    /// Servers close connections that were idle for this long.
    pub idle: Micros,
}

/// What clients do when they are turned away.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Further tries of their own.
    pub retries: u32,
    /// The wait before one.
    pub wait: (Micros, Micros),
    /// The part of the give-up time after which they leave.
    pub patience: f64,
    /// Whether they heed what they are told of when to come back.
    pub heed: bool,
    /// Coefficient of variation of their guess at a job's work, about the truth; `None` where they give none.
    pub hints: Option<f64>,
}

/// Rules and prices of the installation.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Attempts for a request.
    pub attempts: u32,
    /// Nothing new to a leaving server later than this after a node was told.
    pub drain_grace: Micros,
    /// How long past its deadline a final answer still counts.
    pub slack: Micros,
    /// The longest `Retry-After`; 0 where there is none.
    pub retry_after: Micros,
    /// Worth is counted for each unit of work (a class's mean work) instead of each request.
    pub by_work: bool,
    /// Worth of a request beyond its tenant's quota.
    pub over_share: f64,
    /// Price of attempts that cross zones, one a request.
    pub cross_zone: f64,
    /// Price of wasted work, as much as was asked for.
    pub waste: f64,
    /// Weights of the whole, the worst window, the worst class and the worst tenant in the score.
    pub weights: [f64; 4],
    /// Length of the windows of which the worst counts.
    pub window: Micros,
}

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Processes die, and start again, cold, when it ends.
    Crash,
    /// Processes stand still; connections stay open.
    Pause,
    /// Another program takes `size` of the machine, on and off `every` so long.
    Neighbour,
    /// Servers are `size` times slower.
    Slow,
    /// One tenant (or all) asks `size` times as much.
    Flood,
    /// `part` of one class's requests (or of all) need `size` times the work.
    Costly,
    /// Servers drain, are gone `drain` later, and come back cold when it ends.
    Shrink,
    /// All servers of a zone are gone at once without a word.
    ZoneLoss,
    /// Servers are out of reach; connections stay open and silent.
    Cut,
    /// Servers fail `size` of their jobs.
    BadRelease,
    /// Discovery says nothing; its news comes when this ends.
    Silence,
}

/// All troubles by name, with the usual size.
const TROUBLES: [(&str, Trouble, f64); 11] = [
    ("crash", Trouble::Crash, 1.0),
    ("pause", Trouble::Pause, 1.0),
    ("neighbour", Trouble::Neighbour, 0.5),
    ("slow", Trouble::Slow, 2.0),
    ("flood", Trouble::Flood, 4.0),
    ("costly", Trouble::Costly, 15.0),
    ("shrink", Trouble::Shrink, 1.0),
    ("zone-loss", Trouble::ZoneLoss, 1.0),
    ("cut", Trouble::Cut, 1.0),
    ("bad-release", Trouble::BadRelease, 0.5),
    ("silence", Trouble::Silence, 1.0),
];

/// One trouble with its time and extent.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub trouble: Trouble,
    /// From when.
    pub at: Micros,
    /// For how long.
    pub length: Micros,
    /// The part of the fleet (of requests, for costly ones) that it strikes.
    pub part: f64,
    /// How bad it is; see [`Trouble`].
    pub size: f64,
    /// On and off for so long each; 0 for on throughout.
    pub every: Micros,
    /// From draining to gone.
    pub drain: Micros,
    /// The zone that it is confined to.
    pub zone: Option<usize>,
    /// The tenant that it is about.
    pub tenant: Option<usize>,
    /// The class that it is about.
    pub class: Option<usize>,
}

/// Everything that one run needs, but for the policy's own randomness.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// The seed of every random number.
    pub seed: u64,
    /// Requests come for this long.
    pub length: Micros,
    /// The name of the policy that decides.
    pub policy: String,
    /// Zones; nodes and servers are spread over them in turn.
    pub zones: Vec<String>,
    /// Nodes.
    pub nodes: u32,
    /// Traffic of the k-th node is 1 / k to this power.
    pub skew: f64,
    /// Requests a second in all.
    pub rate: f64,
    /// Coefficient of variation of the time between requests of a tenant.
    pub cv: f64,
    /// Changes of the rate.
    pub steps: Vec<Step>,
    /// Requests that come all at once, beside the others.
    pub bursts: Vec<Burst>,
    /// Requests that come earlier are not counted.
    pub measure_from: Micros,
    /// At least one.
    pub classes: Vec<Class>,
    /// At least one.
    pub tenants: Vec<Tenant>,
    /// See there.
    pub clients: Clients,
    /// See there.
    pub servers: Servers,
    /// See there.
    pub network: Network,
    /// How late discovery's news is.
    pub lag: (Micros, Micros),
    /// See there.
    pub rules: Rules,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

/// Read a scenario.
///
/// # Errors
/// All faults of the text, with their places.
pub fn read(file: &str, text: &str) -> Result<Scenario, ParseErrors> {
    shorepath_sexp::read(file, text, "scenario", scenario)
}

fn name_of(f: &Form, what: &str, taken: &[String]) -> String {
    let name = f.symbol(what);
    if taken.contains(&name) {
        f.add_error(format!("{name} is named twice"));
    }
    name
}

fn class(f: &Form, taken: &[String]) -> Class {
    let shapes = ["constant", "exponential", "lognormal", "gamma"];
    let name = name_of(f, "a class's name", taken);
    let class = Class {
        name,
        share: f.number("share", 1.0, 0.0..=1e6),
        work: f.time("work", 100_000, 1..=DAY),
        cv: f.number("cv", 0.5, 0.0..=20.0),
        shape: match f.choice("shape", "lognormal", &shapes).as_str() {
            "constant" => Shape::Constant,
            "exponential" => Shape::Exponential,
            "gamma" => Shape::Gamma,
            _ => Shape::LogNormal,
        },
        wanted: f.time("wanted", 200_000, 1..=DAY),
        stretch: f.number("stretch", 2.0, 0.0..=1000.0),
        give_up: f.time("give-up", 5_000_000, 1_000..=DAY),
        worth: f.number("worth", 1.0, 0.0..=1e6),
        late: f.number("late", 0.3, PART),
        slots: f.given("slots", |f| Some(f.numbers(1, 4, PART))).unwrap_or_else(|| vec![1.0]),
        memory: f.number("memory", 0.0, 0.0..=1e6),
        memory_cv: f.number("memory-cv", 0.5, 0.0..=20.0),
        effect: effect(f),
    };
    if class.slots.iter().sum::<f64>() <= 0.0 {
        f.add_error(format!("{} has no share of slots over 0", class.name));
    }
    f.finish();
    class
}

/// What a repeat would do; a keyed class's repeats are dropped by all servers or those of one zone, for a window.
fn effect(f: &Form) -> Idempotency {
    let scope = match f.choice("within", "all", &["all", "zone"]).as_str() {
        "zone" => DedupScope::Zone,
        _ => DedupScope::All,
    };
    let memory = f.time("drops-for", 5_000_000, 1..=DAY);
    match f.choice("repeat", "safe", &["safe", "keyed", "never"]).as_str() {
        "never" => Idempotency::NonIdempotent,
        "keyed" => Idempotency::Keyed { scope, window: memory },
        _ => Idempotency::Idempotent,
    }
}

fn tenant(f: &Form, taken: &[String]) -> Tenant {
    let name = name_of(f, "a tenant's name", taken);
    let share = f.number("share", 1.0, 0.0..=1e6);
    let traffic = f.number("traffic", share, 0.0..=1e6);
    let tenant = Tenant { name, share, traffic, quota: f.number("quota", 0.0, 0.0..=1e9) };
    f.finish();
    tenant
}

fn kind(f: &Form, taken: &[String]) -> Kind {
    let name = name_of(f, "a kind's name", taken);
    let cores = f.count("cores", 2, 1..=1024) as u32;
    let kind = Kind {
        name,
        share: f.number("share", 1.0, 0.0..=1e6),
        cores,
        slots: f.count("slots", u64::from(cores), 1..=4096) as u32,
        speed: f.number_range("speed", (1.0, 1.0), 0.001..=1000.0),
    };
    f.finish();
    kind
}

fn place(f: &Form, name: &'static str, among: &[String]) -> Option<usize> {
    let known: Vec<&str> = among.iter().map(String::as_str).collect();
    let named = f.choice(name, "", &known);
    among.iter().position(|n| *n == named)
}

fn step(f: &Form, tenants: &[String]) -> Step {
    let step = Step {
        at: f.time("at", 0, TIMES),
        length: f.time("for", DAY, TIMES),
        ramp: f.time("ramp", 0, TIMES),
        times: f.number("times", 1.0, 0.0..=1e6),
        tenant: place(f, "tenant", tenants),
    };
    f.finish();
    step
}

fn burst(f: &Form, tenants: &[String]) -> Burst {
    let burst = Burst {
        at: f.time("at", 0, TIMES),
        count: f.count("count", 1, 1..=10_000_000),
        tenant: place(f, "tenant", tenants).unwrap_or(0),
    };
    f.finish();
    burst
}

fn fault(f: &Form, zones: &[String], tenants: &[String], classes: &[String]) -> Fault {
    let word = f.symbol("a trouble's name");
    let known = TROUBLES.iter().find(|t| t.0 == word);
    if known.is_none() {
        f.add_error(format!("{word} is no trouble; known: {}", TROUBLES.map(|t| t.0).join(", ")));
    }
    let &(_, trouble, usual) = known.unwrap_or(&TROUBLES[0]);
    let sizes = match trouble {
        Trouble::Neighbour => 0.0..=0.99,
        Trouble::BadRelease => PART,
        _ => 0.001..=1e6,
    };
    let fault = Fault {
        trouble,
        at: f.time("at", 0, TIMES),
        length: f.time("for", DAY, TIMES),
        part: f.number("part", 1.0, PART),
        size: f.number("size", usual, sizes),
        every: f.time("every", 0, TIMES),
        drain: f.time("drain", 3_000_000, TIMES),
        zone: place(f, "zone", zones),
        tenant: place(f, "tenant", tenants),
        class: place(f, "class", classes),
    };
    if trouble == Trouble::ZoneLoss && fault.zone.is_none() {
        f.add_error("a zone-loss needs (zone NAME)");
    }
    f.finish();
    fault
}

/// A list in the scenario, or an empty one: `read` gives what is usual.
fn part<T>(f: &Form, name: &'static str, usual: T, read: impl FnOnce(&Form) -> T) -> T {
    f.given(name, |f| Some(read(f))).unwrap_or(usual)
}

fn servers(f: &Form) -> Servers {
    let mut taken = Vec::new();
    let mut kinds = Vec::new();
    for form in f.many("kind") {
        let kind = kind(&form, &taken);
        taken.push(kind.name.clone());
        kinds.push(kind);
    }
    if kinds.is_empty() {
        let name = "standard".to_string();
        kinds.push(Kind { name, share: 1.0, cores: 2, slots: 2, speed: (1.0, 1.0) });
    }
    Servers {
        count: f.count("count", 10, 1..=1_000_000) as u32,
        kinds,
        queue: f.count("queue", 8, 0..=1_000_000_000) as u32,
        crowd: f.number("crowd", 0.0, PART),
        cold: f.number("cold", 0.13, 0.001..=1.0),
        warm_up: f.time("warm-up", 24_000_000, TIMES),
        fall_multiple: f.number("fall-multiple", 4.0, 0.1..=1e6),
        fall_window: f.time("fall-window", 2_000_000, 1..=DAY),
        connections: f.count("connections", 1_000, 1..=1_000_000) as u32,
        saved: f.time("saved", 0, TIMES),
        cancel_stops: f.flag("cancel-stops", false),
        tells_start: f.flag("tells-start", true),
    }
}

fn scenario(f: &Form) -> Scenario {
    let zones = f.given("zones", |f| Some(f.symbols("a zone's name"))).filter(|z| !z.is_empty());
    let zones = zones.unwrap_or_else(|| vec!["home".to_string()]);
    let (mut classes, mut class_names) = (Vec::new(), Vec::new());
    for form in f.many("class") {
        classes.push(class(&form, &class_names));
        class_names = classes.iter().map(|c: &Class| c.name.clone()).collect();
    }
    if classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
        f.add_error("a scenario needs a (class NAME ...) with a share over 0");
    }
    let (mut tenants, mut tenant_names) = (Vec::new(), Vec::new());
    for form in f.many("tenant") {
        tenants.push(tenant(&form, &tenant_names));
        tenant_names = tenants.iter().map(|t: &Tenant| t.name.clone()).collect();
    }
    if tenants.is_empty() {
        tenants.push(Tenant { name: "all".to_string(), share: 1.0, traffic: 1.0, quota: 0.0 });
        tenant_names.push("all".to_string());
    }
    if tenants.iter().map(|t| t.traffic).sum::<f64>() <= 0.0 {
        f.add_error("a scenario needs a tenant with traffic over 0");
    }
    let (mut rate, mut cv, mut steps, mut bursts) = (10.0, 1.0, Vec::new(), Vec::new());
    part(f, "arrivals", (), |f| {
        rate = f.number("rate", rate, 0.001..=1e7);
        cv = f.number("cv", cv, 0.0..=20.0);
        steps = f.many("step").iter().map(|s| step(s, &tenant_names)).collect();
        bursts = f.many("burst").iter().map(|b| burst(b, &tenant_names)).collect();
    });
    let (mut nodes, mut skew) = (1, 0.0);
    part(f, "nodes", (), |f| {
        nodes = f.count("count", 1, 1..=10_000) as u32;
        skew = f.number("skew", 0.0, 0.0..=10.0);
    });
    let clients = Clients { retries: 0, wait: (200_000, 800_000), patience: 1.0, heed: true, hints: None };
    let network = Network {
        near: (200, 400),
        far: (1_400, 2_600),
        jitter: 0.1,
        handshake: 0,
        connect_timeout: 150_000,
        idle: 5_000_000,
    };
    let rules = |f: &Form| Rules {
        attempts: f.count("attempts", 6, 1..=1000) as u32,
        drain_grace: f.time("drain-grace", 500_000, TIMES),
        slack: f.time("slack", 16_000, TIMES),
        retry_after: f.time("retry-after", 2_000_000, TIMES),
        by_work: f.choice("worth-by", "request", &["request", "work"]) == "work",
        over_share: f.number("over-share", 0.2, PART),
        cross_zone: f.number("cross-zone", 0.1, 0.0..=10.0),
        waste: f.number("waste", 0.3, 0.0..=10.0),
        weights: f
            .given("weights", |f| <[f64; 4]>::try_from(f.numbers(4, 4, PART)).ok())
            .unwrap_or([0.35, 0.2, 0.2, 0.25]),
        window: f.time("window", 10_000_000, 1_000..=DAY),
    };
    let usual = shorepath_sexp::read("", "(rules)", "rules", rules).unwrap_or_else(|_| unreachable!());
    let fleet = shorepath_sexp::read("", "(servers)", "servers", servers).unwrap_or_else(|_| unreachable!());
    Scenario {
        name: f.text("name", "unnamed"),
        seed: f.count("seed", 1, 0..=1_000_000_000_000),
        length: f.time("length", 30_000_000, 1_000..=DAY),
        policy: f.choice("policy", "rfq", &crate::policy::NAMES),
        nodes,
        skew,
        rate,
        cv,
        steps,
        bursts,
        measure_from: f.time("measure-from", 0, TIMES),
        clients: part(f, "clients", clients, |f| Clients {
            retries: f.count("retries", 0, 0..=100) as u32,
            wait: f.time_range("wait", (200_000, 800_000), TIMES),
            patience: f.number("patience", 1.0, 0.001..=1.0),
            heed: f.flag("heed", true),
            hints: f.given("hints", |f| f.numbers(1, 1, 0.0..=20.0).first().copied()),
        }),
        servers: part(f, "servers", fleet, servers),
        network: part(f, "network", network.clone(), |f| Network {
            near: f.time_range("near", network.near, TIMES),
            far: f.time_range("far", network.far, TIMES),
            jitter: f.number("jitter", network.jitter, 0.0..=100.0),
            handshake: f.time("handshake", network.handshake, TIMES),
            connect_timeout: f.time("connect-timeout", network.connect_timeout, 1..=DAY),
            idle: f.time("idle", network.idle, 1..=DAY),
        }),
        lag: part(f, "discovery", (500_000, 3_000_000), |f| f.time_range("lag", (500_000, 3_000_000), TIMES)),
        rules: part(f, "rules", usual, rules),
        faults: f.many("fault").iter().map(|form| fault(form, &zones, &tenant_names, &class_names)).collect(),
        zones,
        classes,
        tenants,
    }
}

impl Scenario {
    /// The settings that a node of this number is started with.
    pub fn settings(&self, node: u32) -> Settings {
        Settings {
            schedulers: self.nodes,
            rank: Some(node),
            processes: 1,
            zone: ZoneId(node % self.zones.len() as u32),
            tick: 1_000,
            classes: self
                .classes
                .iter()
                .map(|c| ClassSettings {
                    latency_objective: c.wanted,
                    work_factor: c.stretch,
                    deadline: c.give_up,
                    late_fraction: c.late,
                    priority_weight: c.worth,
                    idempotency: c.effect,
                    kind: None::<KindId>,
                })
                .collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| TenantSettings { share: t.share, quota_per_second: t.quota })
                .collect(),
            weight_by_work: self.rules.by_work,
            over_share_fraction: self.rules.over_share,
            reports_starts: self.servers.tells_start,
            can_cancel: true,
            capacity_includes_speed: true,
            sends_retry_after: self.rules.retry_after > 0,
            max_retry_after: self.rules.retry_after,
            max_attempts: self.rules.attempts,
            drain_grace: self.rules.drain_grace,
            slow_start_min_share: self.servers.cold,
            slow_start_duration: self.servers.warm_up,
            overload_multiple: self.servers.fall_multiple,
            overload_window: self.servers.fall_window,
            cross_zone_cost: self.rules.cross_zone,
            ..Settings::default()
        }
    }

    /// What fells a cold server.
    pub fn fall(&self) -> ColdOverloadLimit {
        let part = |of: &[f64], k: usize| of[k] / of.iter().sum::<f64>();
        let slots =
            |c: &Class| (0..c.slots.len()).map(|k| part(&c.slots, k) * f64::from(1 << k)).sum::<f64>();
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let work: f64 = self.classes.iter().map(|c| c.share * c.work as f64 * slots(c)).sum();
        let s = &self.servers;
        ColdOverloadLimit {
            multiple: s.fall_multiple,
            window: s.fall_window,
            mean_work: (work / shares).max(1.0),
        }
    }

    /// The longest that any client waits.
    pub fn longest(&self) -> Micros {
        self.classes.iter().map(|c| c.give_up).max().unwrap_or(0)
    }
}
