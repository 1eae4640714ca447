//! Statistics of a run: the value served, latencies, costs, and their course over time.

use crate::rules::{Checker, GroupService, ServiceSummary, Violation};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use shorepath_scheduler::{AttemptStatus, Idempotency, Micros};

/// Upper bound of the latency histogram in microseconds: ten minutes.
const MAX_LATENCY: u64 = 600_000_000;

/// The result of a client's request, after all its retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served within the target time.
    Timely,
    /// Served after the target time.
    Late,
    /// Refused without running.
    Refused,
    /// Failed, possibly after running.
    Failed,
    /// The client disconnected before the answer.
    Left,
    /// No answer in time, which is a violation.
    Lost,
}

/// The total value of requests, and the part of it that was served.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct ValueTotal {
    requested: f64,
    served: f64,
}

impl ValueTotal {
    /// Returns the served fraction, which is 1 if nothing was requested.
    fn fraction(self) -> f64 {
        if self.requested > 0.0 {
            self.served / self.requested
        } else {
            1.0
        }
    }
}

/// Returns the value of a request that is served in time.
fn request_value(sc: &Scenario, class: u32, work: f64) -> f64 {
    let class = &sc.classes[class as usize];
    class.priority_weight * if sc.rules.weight_by_work { work / class.work as f64 } else { 1.0 }
}

/// Number of client requests by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// All requests; a client's retries don't count again.
    pub asked: u64,
    /// Requests served within their target time.
    pub timely: u64,
    /// Requests served after their target time.
    pub late: u64,
    /// Requests whose last try was refused.
    pub refused: u64,
    /// Requests whose last try failed.
    pub failed: u64,
    /// Requests whose clients disconnected.
    pub left: u64,
    /// Requests without an answer in time.
    pub lost: u64,
}

/// One point of a run's time series.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimePoint {
    /// Seconds since the start of the scenario.
    pub at: f64,
    /// Attempts in flight, over all nodes.
    pub in_flight: u64,
    /// Requests that wait for an answer, over all nodes.
    pub open: u64,
    /// Jobs that are queued or running at servers.
    pub held: u64,
    /// Served fraction of the value of the requests submitted in this interval.
    pub service: f64,
}

/// A named number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NamedValue {
    /// Name of a class, a tenant or an outcome.
    pub name: String,
    /// A fraction of the value, or a number of attempts.
    pub value: f64,
}

/// The results of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario's name.
    pub name: String,
    /// Name of the policy that made the decisions.
    pub policy: String,
    /// Seed of the run's random numbers.
    pub seed: u64,
    /// Weighted mean of the served fractions, minus the costs of wasted work and of zone crossings.
    pub score: f64,
    /// Served fraction of the value of all requests.
    pub service: f64,
    /// Lowest served fraction of any time window.
    pub worst_window: f64,
    /// Lowest served fraction of any class.
    pub worst_class: f64,
    /// Lowest served fraction of any tenant's requests within its quota.
    pub worst_tenant: f64,
    /// Served fraction of each class.
    pub classes: Vec<NamedValue>,
    /// Served fraction of each tenant's requests within its quota.
    pub tenants: Vec<NamedValue>,
    /// Service of each class and tenant, as [`crate::rules::shortfalls`] compares it.
    #[serde(default)]
    pub served: ServiceSummary,
    /// Number of requests by result.
    pub counts: Counts,
    /// Attempts per request.
    pub attempts: f64,
    /// Attempts that crossed zones, per request.
    pub crossings: f64,
    /// New connections per request.
    pub handshakes: f64,
    /// Work done for no served request, relative to the work of all requests.
    pub waste: f64,
    /// Work of all requests relative to the capacity of the fleet without faults.
    pub load: f64,
    /// Latency of served requests in seconds: median, 90%, 99%, 99.9%, mean.
    pub latency: [f64; 5],
    /// Cumulative distribution of the latency: seconds, and the fraction of served requests that took no longer.
    pub cdf: Vec<(f64, f64)>,
    /// Fraction of servers that held at least 0, 1, 2 ... jobs, over all samples.
    pub tails: Vec<f64>,
    /// Load and service over time.
    #[serde(rename = "moments")]
    pub time_series: Vec<TimePoint>,
    /// Number of attempts by outcome.
    #[serde(rename = "endings")]
    pub attempt_outcomes: Vec<NamedValue>,
    /// Number of servers that crashed of overload during their warm-up.
    #[serde(rename = "fell")]
    pub cold_crashes: u64,
    /// Number of events that the simulator processed; 0 for a run on sockets.
    pub events: u64,
    /// Number of violations of the rules.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// Descriptions of the first violations.
    pub violations: Vec<String>,
    /// Ids of the requests that `violations` concern, for their traces.
    #[serde(rename = "concerned")]
    pub violating_requests: Vec<u64>,
}

/// Collects the statistics of a run in progress.
#[derive(Debug)]
pub struct Tally {
    total: ValueTotal,
    classes: Vec<ValueTotal>,
    /// Number of requests of each class.
    of_class: Vec<u64>,
    tenants: Vec<ValueTotal>,
    windows: Vec<ValueTotal>,
    intervals: Vec<ValueTotal>,
    counts: Counts,
    latency: Histogram<u64>,
    attempts: u64,
    crossings: u64,
    handshakes: u64,
    attempt_outcomes: [u64; 9],
    requested_work: f64,
    useful_work: f64,
    cold_crashes: u64,
    samples: Vec<(Micros, u64, u64, u64)>,
    /// Number of samples in which a server held at least so many jobs.
    tails: [u64; TAIL_LENGTH],
    total_latency: f64,
    measure_from: Micros,
}

/// Length of the intervals of the time series.
const TIME_SERIES_INTERVAL: Micros = super::SAMPLE_INTERVAL;
/// Number of queue lengths that the tail distribution distinguishes.
const TAIL_LENGTH: usize = 16;

impl Tally {
    /// Returns empty statistics for a scenario.
    pub fn new(sc: &Scenario) -> Self {
        let parts = |over: Micros| vec![ValueTotal::default(); (sc.length / over) as usize + 1];
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY, 3);
        Tally {
            total: ValueTotal::default(),
            classes: vec![ValueTotal::default(); sc.classes.len()],
            of_class: vec![0; sc.classes.len()],
            tenants: vec![ValueTotal::default(); sc.tenants.len()],
            windows: parts(sc.rules.window),
            intervals: parts(TIME_SERIES_INTERVAL),
            counts: Counts::default(),
            // Cannot fail: these bounds are valid for the histogram.
            latency: latency.unwrap_or_else(|_| unreachable!()),
            attempts: 0,
            crossings: 0,
            handshakes: 0,
            attempt_outcomes: [0; 9],
            requested_work: 0.0,
            useful_work: 0.0,
            cold_crashes: 0,
            samples: Vec::new(),
            tails: [0; TAIL_LENGTH],
            total_latency: 0.0,
            measure_from: sc.measure_from,
        }
    }

    fn add_value(
        &mut self,
        sc: &Scenario,
        start: Micros,
        (tenant, class, exceeds_quota): (u32, u32, bool),
        value: ValueTotal,
    ) {
        let add = |w: &mut ValueTotal, weight: f64| {
            w.requested += value.requested * weight;
            w.served += value.served * weight;
        };
        let weight = if exceeds_quota { sc.rules.over_share_fraction } else { 1.0 };
        add(&mut self.total, weight);
        add(&mut self.classes[class as usize], weight);
        add(&mut self.tenants[tenant as usize], if exceeds_quota { 0.0 } else { 1.0 });
        add(&mut self.windows[(start / sc.rules.window) as usize], weight);
        add(&mut self.intervals[(start / TIME_SERIES_INTERVAL) as usize], weight);
    }

    /// Records a client's request, first submitted at `start` after the scenario's start.
    pub fn asked(
        &mut self,
        sc: &Scenario,
        start: Micros,
        tenant: u32,
        class: u32,
        exceeds_quota: bool,
        work: f64,
    ) {
        if start < self.measure_from {
            return;
        }
        self.counts.asked += 1;
        self.of_class[class as usize] += 1;
        self.requested_work += work;
        let value = ValueTotal { requested: request_value(sc, class, work), served: 0.0 };
        self.add_value(sc, start, (tenant, class, exceeds_quota), value);
    }

    /// Records the result of a client's request that was first submitted at `start` after the scenario's start and
    /// took the time `elapsed`. `origin` is its tenant, its class and whether it exceeded its tenant's quota.
    pub fn settled(
        &mut self,
        sc: &Scenario,
        start: Micros,
        elapsed: Micros,
        origin: (u32, u32, bool),
        work: f64,
        outcome: Outcome,
    ) {
        if start < self.measure_from {
            return;
        }
        let c = &mut self.counts;
        *match outcome {
            Outcome::Timely => &mut c.timely,
            Outcome::Late => &mut c.late,
            Outcome::Refused => &mut c.refused,
            Outcome::Failed => &mut c.failed,
            Outcome::Left => &mut c.left,
            Outcome::Lost => &mut c.lost,
        } += 1;
        if !matches!(outcome, Outcome::Timely | Outcome::Late) {
            return;
        }
        self.latency.saturating_record(elapsed.max(1) as u64);
        self.total_latency += elapsed as f64;
        self.useful_work += work;
        let class = &sc.classes[origin.1 as usize];
        let served = request_value(sc, origin.1, work)
            * if outcome == Outcome::Late { class.late_fraction } else { 1.0 };
        self.add_value(sc, start, origin, ValueTotal { requested: 0.0, served });
    }

    /// Records that an attempt was sent, and whether to another zone and on a new connection.
    pub fn sent(&mut self, crosses_zones: bool, new_connection: bool) {
        self.attempts += 1;
        self.crossings += u64::from(crosses_zones);
        self.handshakes += u64::from(new_connection);
    }

    /// Records the outcome of an attempt.
    pub fn ended(&mut self, status: AttemptStatus) {
        self.attempt_outcomes[OUTCOME_NAMES.iter().position(|s| s.1 == status).unwrap_or(0)] += 1;
    }

    /// Records that a server crashed of overload during its warm-up.
    pub fn cold_crash(&mut self) {
        self.cold_crashes += 1;
    }

    /// Records a sample: attempts in flight, requests without an answer, and the number of jobs at each server.
    pub fn sample(&mut self, at: Micros, in_flight: u32, open: u32, held: impl Iterator<Item = usize>) {
        let is_measured = at >= self.measure_from;
        let mut sum = 0;
        for held in held {
            sum += held as u64;
            if is_measured {
                self.tails[..=held.min(TAIL_LENGTH - 1)].iter_mut().for_each(|n| *n += 1);
            }
        }
        self.samples.push((at, u64::from(in_flight), u64::from(open), sum));
    }

    /// Returns the service overall, of each class and of each tenant.
    fn served(&self, sc: &Scenario) -> ServiceSummary {
        let ratio = |part: f64, all: f64| if all > 0.0 { part / all } else { 0.0 };
        let value_within_quotas: f64 = self.tenants.iter().map(|w| w.requested).sum();
        let group =
            |name: &String, requests: u64, w: &ValueTotal, total: f64, idempotent: bool| GroupService {
                name: name.clone(),
                requests: ratio(requests as f64, self.counts.asked as f64),
                value: ratio(w.requested, total),
                served: w.fraction(),
                idempotent,
            };
        let classes = sc.classes.iter().zip(self.of_class.iter().zip(&self.classes));
        let class = |(c, (n, w)): (&crate::scenario::Class, (&u64, &ValueTotal))| {
            group(&c.name, *n, w, self.total.requested, c.idempotency == Idempotency::Idempotent)
        };
        let tenants = sc.tenants.iter().zip(&self.tenants);
        ServiceSummary {
            total: self.total.fraction(),
            classes: classes.map(class).collect(),
            tenants: tenants.map(|(t, w)| group(&t.name, 0, w, value_within_quotas, true)).collect(),
        }
    }

    /// Returns the results of the run. `events` is the number of simulated events, `done` the work that the servers
    /// did.
    pub fn report(&self, sc: &Scenario, events: u64, done: f64, checker: &Checker) -> Report {
        let request_count = self.counts.asked.max(1) as f64;
        let lowest = |all: &[ValueTotal]| all.iter().map(|w| w.fraction()).fold(1.0, f64::min);
        let (service, window) = (self.total.fraction(), lowest(&self.windows));
        let (class, tenant) = (lowest(&self.classes), lowest(&self.tenants));
        let waste = ((done - self.useful_work) / self.requested_work.max(1.0)).max(0.0);
        let crossings = self.crossings as f64 / request_count;
        let [a, b, c, d] = sc.rules.weights;
        let weighted_service =
            (a * service + b * window + c * class + d * tenant) / (a + b + c + d).max(1e-9);
        let named = |names: Vec<&String>, all: &[ValueTotal]| -> Vec<NamedValue> {
            let named_value =
                |(n, w): (&String, &ValueTotal)| NamedValue { name: n.clone(), value: w.fraction() };
            names.into_iter().zip(all).map(named_value).collect()
        };
        let seconds = |micros: u64| micros as f64 / 1e6;
        let at = |q: f64| seconds(self.latency.value_at_quantile(q));
        let (violations, count) = checker.violations();
        let capacity: f64 = sc.servers.kinds.iter().map(|k| k.share).sum::<f64>().max(1e-9);
        let kind = |k: &crate::scenario::Kind| {
            k.share / capacity * f64::from(k.cores) * (k.speed.0 + k.speed.1) / 2.0
        };
        let fleet = f64::from(sc.servers.count) * sc.servers.kinds.iter().map(kind).sum::<f64>();
        let recorded = self.latency.len().max(1) as f64;
        let mut at_or_below = 0;
        let cdf = self.latency.iter_recorded().map(|v| {
            at_or_below += v.count_at_value();
            (seconds(v.value_iterated_to()), at_or_below as f64 / recorded)
        });
        let mut time_series: Vec<TimePoint> = Vec::new();
        for (k, &(at, in_flight, open, held)) in self.samples.iter().enumerate() {
            let service = self.intervals.get(k).map_or(1.0, |w| w.fraction());
            time_series.push(TimePoint { at: seconds(at.max(0) as u64), in_flight, open, held, service });
        }
        let attempt_outcomes = OUTCOME_NAMES.iter().zip(self.attempt_outcomes).filter(|(_, n)| *n > 0);
        Report {
            name: sc.name.clone(),
            policy: sc.policy.clone(),
            seed: sc.seed,
            score: weighted_service - sc.rules.waste_cost * waste - sc.rules.cross_zone_cost * crossings,
            service,
            worst_window: window,
            worst_class: class,
            worst_tenant: tenant,
            classes: named(sc.classes.iter().map(|c| &c.name).collect(), &self.classes),
            tenants: named(sc.tenants.iter().map(|t| &t.name).collect(), &self.tenants),
            served: self.served(sc),
            counts: self.counts,
            attempts: self.attempts as f64 / request_count,
            crossings,
            handshakes: self.handshakes as f64 / request_count,
            waste,
            load: self.requested_work / (fleet * sc.length as f64),
            latency: [at(0.5), at(0.9), at(0.99), at(0.999), self.total_latency / recorded / 1e6],
            cdf: thin_out(cdf.collect()),
            tails: self.tails.map(|n| n as f64 / self.tails[0].max(1) as f64).to_vec(),
            time_series,
            attempt_outcomes: attempt_outcomes
                .map(|(s, n)| NamedValue { name: s.0.to_string(), value: n as f64 })
                .collect(),
            cold_crashes: self.cold_crashes,
            events,
            violation_count: count,
            violations: violations.iter().map(violation_text).collect(),
            violating_requests: violations.iter().filter_map(|v| v.request).collect(),
        }
    }
}

/// All outcomes of attempts with their names in reports.
const OUTCOME_NAMES: [(&str, AttemptStatus); 9] = [
    ("served", AttemptStatus::Ok),
    ("error", AttemptStatus::Error),
    ("rejected", AttemptStatus::BadRequest),
    ("full", AttemptStatus::Overloaded),
    ("timeout", AttemptStatus::Timeout),
    ("connect-failed", AttemptStatus::ConnectFailed),
    ("reset", AttemptStatus::Reset),
    ("cancelled", AttemptStatus::Cancelled),
    ("moot", AttemptStatus::NotSent),
];

/// Returns evenly spaced points of a distribution, as many as a plot can show, and the last one.
fn thin_out(all: Vec<(f64, f64)>) -> Vec<(f64, f64)> {
    let step = all.len().div_ceil(400).max(1);
    let last = all.len().saturating_sub(1);
    all.into_iter().enumerate().filter(|(k, _)| k % step == 0 || *k == last).map(|(_, p)| p).collect()
}

fn violation_text(v: &Violation) -> String {
    let at = (v.at - super::START) as f64 / 1e6;
    let of = |what: &str, n: Option<u64>| n.map_or(String::new(), |n| format!(" {what} {n:#x}"));
    let server = v.server.map_or(String::new(), |s| format!(" server {s}"));
    format!("{:?} at {at:.6} s:{}{server}", v.rule, of("request", v.request))
}
