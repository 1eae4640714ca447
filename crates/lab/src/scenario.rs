//! Scenario files: clients, servers, the network between them, and the faults that are injected.

use crate::sim::server::ColdOverloadLimit;
use shorepath_scheduler::{
    ClassSettings, DedupScope, Idempotency, KindId, Micros, Settings, TenantSettings, ZoneId,
};
use shorepath_sexp::{Form, ParseErrors};
use std::ops::RangeInclusive;

/// The longest duration that a scenario may state.
const DAY: Micros = 86_400_000_000;
const DURATIONS: RangeInclusive<Micros> = 0..=DAY;
const FRACTIONS: RangeInclusive<f64> = 0.0..=1.0;

/// The probability distribution of a random quantity with a given mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DistributionKind {
    /// Always the mean.
    Constant,
    /// An exponential distribution; its coefficient of variation is 1.
    Exponential,
    /// A log-normal distribution with the stated coefficient of variation.
    LogNormal,
    /// A gamma distribution with the stated coefficient of variation.
    Gamma,
}

/// A class of requests with the same cost, deadline and value.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Unique among the scenario's classes.
    pub name: String,
    /// Share of all requests, relative to the shares of the other classes.
    pub share: f64,
    /// Mean work, in microseconds on a core of speed 1.
    pub work: Micros,
    /// Coefficient of variation of the work.
    pub cv: f64,
    /// Distribution of the work.
    pub distribution: DistributionKind,
    /// Relative frequencies of jobs that take 1, 2, 4 and 8 slots.
    pub slots: Vec<f64>,
    /// Mean memory for each slot of a job, in units of which a server has one for each of its slots; 0 for
    /// none.
    pub memory: f64,
    /// Coefficient of variation of the memory.
    pub memory_cv: f64,
    /// An answer is in time within this duration plus `work_factor` times the work of its request.
    pub latency_objective: Micros,
    /// Multiple of a request's own work that is added to `latency_objective`.
    pub work_factor: f64,
    /// The client gives up this long after its first attempt, retries included.
    pub deadline: Micros,
    /// Value of an answer in time.
    pub priority_weight: f64,
    /// Fraction of `priority_weight` that a late answer still has.
    pub late_fraction: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
}

/// A tenant with its share of the service and of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique among the scenario's tenants.
    pub name: String,
    /// Share of the service, relative to the shares of the other tenants.
    pub share: f64,
    /// Share of the traffic, relative to that of the other tenants.
    pub traffic: f64,
    /// Requests per second over all nodes that count as within the tenant's share; 0 for no quota.
    pub quota: f64,
}

/// A kind of backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Unique among the scenario's kinds.
    pub name: String,
    /// Share of the fleet, relative to the shares of the other kinds.
    pub share: f64,
    /// Number of cores.
    pub cores: u32,
    /// Number of jobs that run concurrently, also where it exceeds the number of cores.
    pub slots: u32,
    /// The lowest and the highest speed of a core.
    pub speed: (f64, f64),
}

/// A temporary change of the arrival rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Start of the change.
    pub at: Micros,
    /// Duration of the change.
    pub length: Micros,
    /// Duration of the gradual rise and of the gradual fall.
    pub ramp: Micros,
    /// Factor by which the rate is multiplied.
    pub times: f64,
    /// Index of the only tenant that is affected; `None` for all tenants.
    pub tenant: Option<usize>,
}

/// Simultaneous requests of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Time of the burst.
    pub at: Micros,
    /// Number of requests.
    pub count: u64,
    /// Index of the tenant.
    pub tenant: usize,
}

/// The fleet of backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Servers {
    /// Number of servers.
    pub count: u32,
    /// At least one kind.
    pub kinds: Vec<Kind>,
    /// Number of jobs that each server queues beyond its slots.
    pub queue: u32,
    /// Slowdown of a server with queued jobs: its speed is divided by 1 plus this value times their number.
    pub crowding_loss: f64,
    /// Fraction of its capacity that a server has right after a start.
    pub slow_start_min_share: f64,
    /// Time from a start until a server has its full capacity.
    pub slow_start_duration: Micros,
    /// Load within `overload_window` that is allowed for a server in slow start, as a multiple of its
    /// capacity at that time. It crashes above that limit plus a tolerance for the random variation of
    /// independent nodes.
    pub overload_multiple: f64,
    /// Length of the window over which `overload_multiple` applies.
    pub overload_window: Micros,
    /// Maximum number of open connections of each server.
    pub connections: u32,
    /// Interval at which the state of idempotent jobs is saved, so that a lost one resumes from there; 0 for
    /// never.
    pub checkpoint_interval: Micros,
    /// Whether a cancelled job stops running.
    pub cancel_stops: bool,
    /// Whether servers report the start of each job.
    pub reports_starts: bool,
}

/// Latencies and connection limits of the network.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Range of the one-way latency within a zone.
    pub same_zone_latency: (Micros, Micros),
    /// Range of the one-way latency between zones.
    pub cross_zone_latency: (Micros, Micros),
    /// Mean of the exponential jitter, as a fraction of the one-way latency.
    pub jitter: f64,
    /// Work that a new connection costs its server.
    pub handshake: Micros,
    /// Timeout of connection establishment.
    pub connect_timeout: Micros,
    /// Servers close connections that were idle for this long.
    pub idle_timeout: Micros,
}

/// How clients react to rejections and long waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Maximum number of retries by the client, of rejected requests and of failed idempotent ones.
    pub retries: u32,
    /// Range of the wait before a retry.
    pub retry_wait: (Micros, Micros),
    /// Fraction of the class's deadline after which a client abandons its request.
    pub timeout_fraction: f64,
    /// Whether clients wait as long as `Retry-After` demands.
    pub honors_retry_after: bool,
    /// Coefficient of variation of the work that clients announce, relative to the actual work; `None` where
    /// they announce none.
    pub work_hint_cv: Option<f64>,
}

/// Rules that a run has to keep, and costs that its score includes.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Time after a node learned that a server drains during which it may still send requests there.
    pub drain_grace: Micros,
    /// How long past its deadline a final answer still counts.
    pub deadline_slack: Micros,
    /// The longest `Retry-After`; 0 where none is sent.
    pub max_retry_after: Micros,
    /// Whether value is counted per unit of work (the mean work of the class) instead of per request.
    pub weight_by_work: bool,
    /// Fraction of its value that a request beyond its tenant's quota has.
    pub over_share_fraction: f64,
    /// Cost of one cross-zone attempt per request.
    pub cross_zone_cost: f64,
    /// Cost of wasted work that equals the requested work.
    pub waste_cost: f64,
    /// Weights of the overall service, the worst window, the worst class and the worst tenant in the score.
    pub weights: [f64; 4],
    /// Length of the windows of which the worst one counts.
    pub window: Micros,
}

/// What a fault does while it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Server processes crash, and restart with a slow start when the fault ends.
    Crash,
    /// Server processes are suspended; their connections stay open.
    Pause,
    /// Another program uses the fraction `size` of the machine, on and off for `every` each.
    Neighbour,
    /// Servers are `size` times slower.
    Slow,
    /// One tenant (or each) sends `size` times as many requests.
    Flood,
    /// The fraction `part` of one class's requests (or of all requests) needs `size` times the work.
    Costly,
    /// Servers drain, stop after `drain`, and restart with a slow start when the fault ends.
    Shrink,
    /// All servers of a zone disappear at once, without draining.
    ZoneLoss,
    /// Servers are unreachable; their connections stay open without traffic.
    Cut,
    /// Servers fail the fraction `size` of their jobs.
    BadRelease,
    /// Discovery sends no updates; pending ones arrive when the fault ends.
    Silence,
}

/// All kinds of faults by name, with their default sizes.
const FAULT_KINDS: [(&str, FaultKind, f64); 11] = [
    ("crash", FaultKind::Crash, 1.0),
    ("pause", FaultKind::Pause, 1.0),
    ("neighbour", FaultKind::Neighbour, 0.5),
    ("slow", FaultKind::Slow, 2.0),
    ("flood", FaultKind::Flood, 4.0),
    ("costly", FaultKind::Costly, 15.0),
    ("shrink", FaultKind::Shrink, 1.0),
    ("zone-loss", FaultKind::ZoneLoss, 1.0),
    ("cut", FaultKind::Cut, 1.0),
    ("bad-release", FaultKind::BadRelease, 0.5),
    ("silence", FaultKind::Silence, 1.0),
];

/// One injected fault with its time and extent.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What the fault does.
    pub kind: FaultKind,
    /// Start of the fault.
    pub at: Micros,
    /// Duration of the fault.
    pub length: Micros,
    /// Affected fraction of the fleet ([`FaultKind::Costly`]: of the requests).
    pub part: f64,
    /// Severity; its meaning depends on the [`FaultKind`].
    pub size: f64,
    /// Length of the alternating active and inactive phases; 0 for a continuous fault.
    pub every: Micros,
    /// Time from the start of draining until a server stops.
    pub drain: Micros,
    /// Index of the only zone that is affected; `None` for all zones.
    pub zone: Option<usize>,
    /// Index of the only tenant that is affected; `None` for all tenants.
    pub tenant: Option<usize>,
    /// Index of the only class that is affected; `None` for all classes.
    pub class: Option<usize>,
}

/// Everything that determines a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// The seed of every random number.
    pub seed: u64,
    /// Time during which requests arrive.
    pub length: Micros,
    /// Name of the load balancing policy.
    pub policy: String,
    /// Names of the zones; nodes and servers are assigned to them round-robin.
    pub zones: Vec<String>,
    /// Number of nodes.
    pub nodes: u32,
    /// Exponent of the traffic distribution: the k-th node receives traffic in proportion to 1 / k to this
    /// power.
    pub skew: f64,
    /// Total requests per second.
    pub rate: f64,
    /// Coefficient of variation of the time between two requests of a tenant.
    pub cv: f64,
    /// Changes of the arrival rate.
    pub steps: Vec<Step>,
    /// Bursts in addition to the requests of `rate`.
    pub bursts: Vec<Burst>,
    /// Requests that arrive before this time are not counted.
    pub measure_from: Micros,
    /// At least one class.
    pub classes: Vec<Class>,
    /// At least one tenant.
    pub tenants: Vec<Tenant>,
    /// The behavior of clients.
    pub clients: Clients,
    /// The backend servers.
    pub servers: Servers,
    /// The network between clients, nodes and servers.
    pub network: Network,
    /// Range of the delay of discovery's updates.
    pub discovery_delay: (Micros, Micros),
    /// Rules and costs.
    pub rules: Rules,
    /// Injected faults.
    pub faults: Vec<Fault>,
}

/// Reads a scenario; `file` is the name that errors show.
///
/// # Errors
/// All errors of the text, with their positions.
pub fn read(file: &str, text: &str) -> Result<Scenario, ParseErrors> {
    shorepath_sexp::read(file, text, "scenario", scenario)
}

fn unique_name(f: &Form, description: &str, taken: &[String]) -> String {
    let name = f.symbol(description);
    if taken.contains(&name) {
        f.add_error(format!("{name} is named twice"));
    }
    name
}

fn class(f: &Form, taken: &[String]) -> Class {
    let distributions = ["constant", "exponential", "lognormal", "gamma"];
    let name = unique_name(f, "a class's name", taken);
    let class = Class {
        name,
        share: f.number("share", 1.0, 0.0..=1e6),
        work: f.time("work", 100_000, 1..=DAY),
        cv: f.number("cv", 0.5, 0.0..=20.0),
        distribution: match f.choice("shape", "lognormal", &distributions).as_str() {
            "constant" => DistributionKind::Constant,
            "exponential" => DistributionKind::Exponential,
            "gamma" => DistributionKind::Gamma,
            _ => DistributionKind::LogNormal,
        },
        latency_objective: f.time("wanted", 200_000, 1..=DAY),
        work_factor: f.number("stretch", 2.0, 0.0..=1000.0),
        deadline: f.time("give-up", 5_000_000, 1_000..=DAY),
        priority_weight: f.number("worth", 1.0, 0.0..=1e6),
        late_fraction: f.number("late", 0.3, FRACTIONS),
        slots: f.given("slots", |f| Some(f.numbers(1, 4, FRACTIONS))).unwrap_or_else(|| vec![1.0]),
        memory: f.number("memory", 0.0, 0.0..=1e6),
        memory_cv: f.number("memory-cv", 0.5, 0.0..=20.0),
        idempotency: idempotency(f),
    };
    if class.slots.iter().sum::<f64>() <= 0.0 {
        f.add_error(format!("{} has no share of slots over 0", class.name));
    }
    f.finish();
    class
}

/// Reads whether requests may run repeatedly. Duplicates of a keyed class are dropped for a window, either by
/// all servers or by those of one zone.
fn idempotency(f: &Form) -> Idempotency {
    let scope = match f.choice("within", "all", &["all", "zone"]).as_str() {
        "zone" => DedupScope::Zone,
        _ => DedupScope::All,
    };
    let window = f.time("drops-for", 5_000_000, 1..=DAY);
    match f.choice("repeat", "safe", &["safe", "keyed", "never"]).as_str() {
        "never" => Idempotency::NonIdempotent,
        "keyed" => Idempotency::Keyed { scope, window },
        _ => Idempotency::Idempotent,
    }
}

fn tenant(f: &Form, taken: &[String]) -> Tenant {
    let name = unique_name(f, "a tenant's name", taken);
    let share = f.number("share", 1.0, 0.0..=1e6);
    let traffic = f.number("traffic", share, 0.0..=1e6);
    let tenant = Tenant { name, share, traffic, quota: f.number("quota", 0.0, 0.0..=1e9) };
    f.finish();
    tenant
}

fn kind(f: &Form, taken: &[String]) -> Kind {
    let name = unique_name(f, "a kind's name", taken);
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

fn index_of(f: &Form, name: &'static str, names: &[String]) -> Option<usize> {
    let known: Vec<&str> = names.iter().map(String::as_str).collect();
    let chosen = f.choice(name, "", &known);
    names.iter().position(|n| *n == chosen)
}

fn step(f: &Form, tenants: &[String]) -> Step {
    let step = Step {
        at: f.time("at", 0, DURATIONS),
        length: f.time("for", DAY, DURATIONS),
        ramp: f.time("ramp", 0, DURATIONS),
        times: f.number("times", 1.0, 0.0..=1e6),
        tenant: index_of(f, "tenant", tenants),
    };
    f.finish();
    step
}

fn burst(f: &Form, tenants: &[String]) -> Burst {
    let burst = Burst {
        at: f.time("at", 0, DURATIONS),
        count: f.count("count", 1, 1..=10_000_000),
        tenant: index_of(f, "tenant", tenants).unwrap_or(0),
    };
    f.finish();
    burst
}

fn fault(f: &Form, zones: &[String], tenants: &[String], classes: &[String]) -> Fault {
    let name = f.symbol("a fault's name");
    let known = FAULT_KINDS.iter().find(|t| t.0 == name);
    if known.is_none() {
        f.add_error(format!("{name} is not a known fault; known: {}", FAULT_KINDS.map(|t| t.0).join(", ")));
    }
    let &(_, kind, default_size) = known.unwrap_or(&FAULT_KINDS[0]);
    let sizes = match kind {
        FaultKind::Neighbour => 0.0..=0.99,
        FaultKind::BadRelease => FRACTIONS,
        _ => 0.001..=1e6,
    };
    let fault = Fault {
        kind,
        at: f.time("at", 0, DURATIONS),
        length: f.time("for", DAY, DURATIONS),
        part: f.number("part", 1.0, FRACTIONS),
        size: f.number("size", default_size, sizes),
        every: f.time("every", 0, DURATIONS),
        drain: f.time("drain", 3_000_000, DURATIONS),
        zone: index_of(f, "zone", zones),
        tenant: index_of(f, "tenant", tenants),
        class: index_of(f, "class", classes),
    };
    if kind == FaultKind::ZoneLoss && fault.zone.is_none() {
        f.add_error("a zone-loss needs (zone NAME)");
    }
    f.finish();
    fault
}

/// Reads the list called `name`, or returns `default` where the scenario has none.
fn optional_list<T>(f: &Form, name: &'static str, default: T, read: impl FnOnce(&Form) -> T) -> T {
    f.given(name, |f| Some(read(f))).unwrap_or(default)
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
        crowding_loss: f.number("crowd", 0.0, FRACTIONS),
        slow_start_min_share: f.number("cold", 0.13, 0.001..=1.0),
        slow_start_duration: f.time("warm-up", 24_000_000, DURATIONS),
        overload_multiple: f.number("fall-multiple", 4.0, 0.1..=1e6),
        overload_window: f.time("fall-window", 2_000_000, 1..=DAY),
        connections: f.count("connections", 1_000, 1..=1_000_000) as u32,
        checkpoint_interval: f.time("saved", 0, DURATIONS),
        cancel_stops: f.flag("cancel-stops", false),
        reports_starts: f.flag("tells-start", true),
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
    optional_list(f, "arrivals", (), |f| {
        rate = f.number("rate", rate, 0.001..=1e7);
        cv = f.number("cv", cv, 0.0..=20.0);
        steps = f.many("step").iter().map(|s| step(s, &tenant_names)).collect();
        bursts = f.many("burst").iter().map(|b| burst(b, &tenant_names)).collect();
    });
    let (mut nodes, mut skew) = (1, 0.0);
    optional_list(f, "nodes", (), |f| {
        nodes = f.count("count", 1, 1..=10_000) as u32;
        skew = f.number("skew", 0.0, 0.0..=10.0);
    });
    let clients = Clients {
        retries: 0,
        retry_wait: (200_000, 800_000),
        timeout_fraction: 1.0,
        honors_retry_after: true,
        work_hint_cv: None,
    };
    let network = Network {
        same_zone_latency: (200, 400),
        cross_zone_latency: (1_400, 2_600),
        jitter: 0.1,
        handshake: 0,
        connect_timeout: 150_000,
        idle_timeout: 5_000_000,
    };
    let rules = |f: &Form| Rules {
        max_attempts: f.count("attempts", 6, 1..=1000) as u32,
        drain_grace: f.time("drain-grace", 500_000, DURATIONS),
        deadline_slack: f.time("slack", 16_000, DURATIONS),
        max_retry_after: f.time("retry-after", 2_000_000, DURATIONS),
        weight_by_work: f.choice("worth-by", "request", &["request", "work"]) == "work",
        over_share_fraction: f.number("over-share", 0.2, FRACTIONS),
        cross_zone_cost: f.number("cross-zone", 0.1, 0.0..=10.0),
        waste_cost: f.number("waste", 0.3, 0.0..=10.0),
        weights: f
            .given("weights", |f| <[f64; 4]>::try_from(f.numbers(4, 4, FRACTIONS)).ok())
            .unwrap_or([0.35, 0.2, 0.2, 0.25]),
        window: f.time("window", 10_000_000, 1_000..=DAY),
    };
    let default_rules =
        shorepath_sexp::read("", "(rules)", "rules", rules).unwrap_or_else(|_| unreachable!());
    let default_servers =
        shorepath_sexp::read("", "(servers)", "servers", servers).unwrap_or_else(|_| unreachable!());
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
        measure_from: f.time("measure-from", 0, DURATIONS),
        clients: optional_list(f, "clients", clients, |f| Clients {
            retries: f.count("retries", 0, 0..=100) as u32,
            retry_wait: f.time_range("wait", (200_000, 800_000), DURATIONS),
            timeout_fraction: f.number("patience", 1.0, 0.001..=1.0),
            honors_retry_after: f.flag("heed", true),
            work_hint_cv: f.given("hints", |f| f.numbers(1, 1, 0.0..=20.0).first().copied()),
        }),
        servers: optional_list(f, "servers", default_servers, servers),
        network: optional_list(f, "network", network.clone(), |f| Network {
            same_zone_latency: f.time_range("near", network.same_zone_latency, DURATIONS),
            cross_zone_latency: f.time_range("far", network.cross_zone_latency, DURATIONS),
            jitter: f.number("jitter", network.jitter, 0.0..=100.0),
            handshake: f.time("handshake", network.handshake, DURATIONS),
            connect_timeout: f.time("connect-timeout", network.connect_timeout, 1..=DAY),
            idle_timeout: f.time("idle", network.idle_timeout, 1..=DAY),
        }),
        discovery_delay: optional_list(f, "discovery", (500_000, 3_000_000), |f| {
            f.time_range("lag", (500_000, 3_000_000), DURATIONS)
        }),
        rules: optional_list(f, "rules", default_rules, rules),
        faults: f.many("fault").iter().map(|form| fault(form, &zones, &tenant_names, &class_names)).collect(),
        zones,
        classes,
        tenants,
    }
}

impl Scenario {
    /// Returns the scheduler settings of the node with this number.
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
                    latency_objective: c.latency_objective,
                    work_factor: c.work_factor,
                    deadline: c.deadline,
                    late_fraction: c.late_fraction,
                    priority_weight: c.priority_weight,
                    idempotency: c.idempotency,
                    kind: None::<KindId>,
                })
                .collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| TenantSettings { share: t.share, quota_per_second: t.quota })
                .collect(),
            weight_by_work: self.rules.weight_by_work,
            over_share_fraction: self.rules.over_share_fraction,
            reports_starts: self.servers.reports_starts,
            can_cancel: true,
            capacity_includes_speed: true,
            sends_retry_after: self.rules.max_retry_after > 0,
            max_retry_after: self.rules.max_retry_after,
            max_attempts: self.rules.max_attempts,
            drain_grace: self.rules.drain_grace,
            slow_start_min_share: self.servers.slow_start_min_share,
            slow_start_duration: self.servers.slow_start_duration,
            overload_multiple: self.servers.overload_multiple,
            overload_window: self.servers.overload_window,
            cross_zone_cost: self.rules.cross_zone_cost,
            ..Settings::default()
        }
    }

    /// Returns the load limit beyond which a server in slow start crashes.
    pub fn overload_limit(&self) -> ColdOverloadLimit {
        let fraction = |shares: &[f64], k: usize| shares[k] / shares.iter().sum::<f64>();
        let slots =
            |c: &Class| (0..c.slots.len()).map(|k| fraction(&c.slots, k) * f64::from(1 << k)).sum::<f64>();
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let work: f64 = self.classes.iter().map(|c| c.share * c.work as f64 * slots(c)).sum();
        let s = &self.servers;
        ColdOverloadLimit {
            multiple: s.overload_multiple,
            window: s.overload_window,
            mean_work: (work / shares).max(1.0),
        }
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or(0)
    }
}
