//! What a run comes to: worth served, latencies, what was spent, and how it went over time.

use crate::rules::{Checker, Served, Slice, Violation};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use shorepath_scheduler::{AttemptStatus, Idempotency, Micros};

/// The longest latency that is told apart: ten minutes.
const LONGEST: u64 = 600_000_000;

/// What became of a client's request, its own retries counted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served within the wanted time.
    Timely,
    /// Served later.
    Late,
    /// Turned away.
    Refused,
    /// Failed.
    Failed,
    /// Its client left first.
    Left,
    /// It had no answer: a rule is broken.
    Lost,
}

/// Worth asked for and worth got.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
struct Worth {
    asked: f64,
    got: f64,
}

impl Worth {
    fn part(self) -> f64 {
        if self.asked > 0.0 {
            self.got / self.asked
        } else {
            1.0
        }
    }
}

/// What a request of that class and work is worth, served in time.
fn worth(sc: &Scenario, class: u32, work: f64) -> f64 {
    let class = &sc.classes[class as usize];
    class.priority_weight * if sc.rules.weight_by_work { work / class.work as f64 } else { 1.0 }
}

/// How many requests ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests, each client's retries counted in.
    pub asked: u64,
    /// Served in time.
    pub timely: u64,
    /// Served late.
    pub late: u64,
    /// Turned away at last.
    pub refused: u64,
    /// Failed at last.
    pub failed: u64,
    /// Left by their clients.
    pub left: u64,
    /// Without an answer.
    pub lost: u64,
}

/// A moment of a run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Moment {
    /// Seconds since the start.
    pub at: f64,
    /// Attempts out, over all nodes.
    pub in_flight: u64,
    /// Requests taken and not answered, over all nodes.
    pub open: u64,
    /// Jobs that servers hold.
    pub held: u64,
    /// The part of the worth asked for in this step that was got.
    pub service: f64,
}

/// A named figure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Named {
    /// What it is about.
    pub name: String,
    /// The figure.
    pub value: f64,
}

/// What one run came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The scenario's name.
    pub name: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Weighted service less the prices.
    pub score: f64,
    /// Worth got of worth asked for.
    pub service: f64,
    /// The same of the worst window, class and tenant.
    pub worst_window: f64,
    /// See `worst_window`.
    pub worst_class: f64,
    /// See `worst_window`; what lies beyond quotas is left out.
    pub worst_tenant: f64,
    /// Of each class.
    pub classes: Vec<Named>,
    /// Of each tenant.
    pub tenants: Vec<Named>,
    /// What was served of each, for [`crate::rules::short`].
    #[serde(default)]
    pub served: Served,
    /// How requests ended.
    pub counts: Counts,
    /// Attempts, those that crossed zones, and new connections, each for a request.
    pub attempts: f64,
    /// See `attempts`.
    pub crossings: f64,
    /// See `attempts`.
    pub handshakes: f64,
    /// Work done that served no answer, against the work asked for.
    pub waste: f64,
    /// Share of the fleet's own capacity asked for, were nothing wrong.
    pub load: f64,
    /// Latency of what was served in seconds: median, 90%, 99%, 99.9%, mean.
    pub latency: [f64; 5],
    /// Latency in seconds and the part of the served that had no longer one.
    pub cdf: Vec<(f64, f64)>,
    /// Part of the servers that held 0, 1, 2 ... jobs or more, over the samples.
    pub tails: Vec<f64>,
    /// How it went.
    pub moments: Vec<Moment>,
    /// Attempts that ended in each way.
    pub endings: Vec<Named>,
    /// Cold servers that fell over.
    pub fell: u64,
    /// Events of the emulator.
    pub events: u64,
    /// Broken rules; the first are kept whole.
    pub broken: u64,
    /// See `broken`.
    pub violations: Vec<String>,
    /// Requests of the violations kept, for their stories.
    pub concerned: Vec<u64>,
}

/// What is counted as a run goes on.
#[derive(Debug)]
pub struct Tally {
    whole: Worth,
    classes: Vec<Worth>,
    /// Requests of each class.
    of_class: Vec<u64>,
    tenants: Vec<Worth>,
    windows: Vec<Worth>,
    steps: Vec<Worth>,
    counts: Counts,
    latency: Histogram<u64>,
    attempts: u64,
    crossings: u64,
    handshakes: u64,
    endings: [u64; 9],
    asked_work: f64,
    useful: f64,
    fell: u64,
    samples: Vec<(Micros, u64, u64, u64)>,
    /// How often a server was seen with so many jobs or more.
    tails: [u64; TAILS],
    total_latency: f64,
    from: Micros,
}

const STEP: Micros = super::SAMPLE;
/// Queue lengths that are told apart.
const TAILS: usize = 16;

impl Tally {
    /// Nothing counted yet.
    pub fn new(sc: &Scenario) -> Self {
        let parts = |over: Micros| vec![Worth::default(); (sc.length / over) as usize + 1];
        let latency = Histogram::new_with_bounds(1, LONGEST, 3);
        Tally {
            whole: Worth::default(),
            classes: vec![Worth::default(); sc.classes.len()],
            of_class: vec![0; sc.classes.len()],
            tenants: vec![Worth::default(); sc.tenants.len()],
            windows: parts(sc.rules.window),
            steps: parts(STEP),
            counts: Counts::default(),
            // These bounds are the crate's own minimum or more.
            latency: latency.unwrap_or_else(|_| unreachable!()),
            attempts: 0,
            crossings: 0,
            handshakes: 0,
            endings: [0; 9],
            asked_work: 0.0,
            useful: 0.0,
            fell: 0,
            samples: Vec::new(),
            tails: [0; TAILS],
            total_latency: 0.0,
            from: sc.measure_from,
        }
    }

    fn worths(&mut self, sc: &Scenario, first: Micros, (tenant, class, excess): (u32, u32, bool), of: Worth) {
        let add = |w: &mut Worth, part: f64| {
            w.asked += of.asked * part;
            w.got += of.got * part;
        };
        let part = if excess { sc.rules.over_share_fraction } else { 1.0 };
        add(&mut self.whole, part);
        add(&mut self.classes[class as usize], part);
        add(&mut self.tenants[tenant as usize], if excess { 0.0 } else { 1.0 });
        add(&mut self.windows[(first / sc.rules.window) as usize], part);
        add(&mut self.steps[(first / STEP) as usize], part);
    }

    /// A client asks.
    pub fn asked(&mut self, sc: &Scenario, first: Micros, tenant: u32, class: u32, excess: bool, work: f64) {
        if first < self.from {
            return;
        }
        self.counts.asked += 1;
        self.of_class[class as usize] += 1;
        self.asked_work += work;
        let worth = Worth { asked: worth(sc, class, work), got: 0.0 };
        self.worths(sc, first, (tenant, class, excess), worth);
    }

    /// What has become of a request that first came then and took so long; `what` is its tenant and class and
    /// whether it lay beyond its tenant's quota.
    pub fn settled(
        &mut self,
        sc: &Scenario,
        first: Micros,
        took: Micros,
        what: (u32, u32, bool),
        work: f64,
        outcome: Outcome,
    ) {
        if first < self.from {
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
        self.latency.saturating_record(took.max(1) as u64);
        self.total_latency += took as f64;
        self.useful += work;
        let class = &sc.classes[what.1 as usize];
        let got = worth(sc, what.1, work) * if outcome == Outcome::Late { class.late_fraction } else { 1.0 };
        self.worths(sc, first, what, Worth { asked: 0.0, got });
    }

    /// An attempt goes out.
    pub fn sent(&mut self, far: bool, new: bool) {
        self.attempts += 1;
        self.crossings += u64::from(far);
        self.handshakes += u64::from(new);
    }

    /// An attempt has ended.
    pub fn ended(&mut self, status: AttemptStatus) {
        self.endings[STATUSES.iter().position(|s| s.1 == status).unwrap_or(0)] += 1;
    }

    /// A cold server fell over.
    pub fn fell(&mut self) {
        self.fell += 1;
    }

    /// What is in flight, open and held at a moment.
    pub fn sample(&mut self, at: Micros, out: u32, open: u32, held: impl Iterator<Item = usize>) {
        let counts = at >= self.from;
        let mut sum = 0;
        for held in held {
            sum += held as u64;
            if counts {
                self.tails[..=held.min(TAILS - 1)].iter_mut().for_each(|n| *n += 1);
            }
        }
        self.samples.push((at, u64::from(out), u64::from(open), sum));
    }

    /// What was served, of all and of each.
    fn served(&self, sc: &Scenario) -> Served {
        let of = |part: f64, all: f64| if all > 0.0 { part / all } else { 0.0 };
        let inside: f64 = self.tenants.iter().map(|w| w.asked).sum();
        let slice = |name: &String, requests: u64, w: &Worth, worth: f64, repeats: bool| Slice {
            name: name.clone(),
            requests: of(requests as f64, self.counts.asked as f64),
            worth: of(w.asked, worth),
            served: w.part(),
            repeats,
        };
        let classes = sc.classes.iter().zip(self.of_class.iter().zip(&self.classes));
        let class = |(c, (n, w)): (&crate::scenario::Class, (&u64, &Worth))| {
            slice(&c.name, *n, w, self.whole.asked, c.idempotency == Idempotency::Idempotent)
        };
        let tenants = sc.tenants.iter().zip(&self.tenants);
        Served {
            whole: self.whole.part(),
            classes: classes.map(class).collect(),
            tenants: tenants.map(|(t, w)| slice(&t.name, 0, w, inside, true)).collect(),
        }
    }

    /// What it all came to; the servers did so much work.
    pub fn report(&self, sc: &Scenario, events: u64, done: f64, checker: &Checker) -> Report {
        let asked = self.counts.asked.max(1) as f64;
        let least = |all: &[Worth]| all.iter().map(|w| w.part()).fold(1.0, f64::min);
        let (service, window) = (self.whole.part(), least(&self.windows));
        let (class, tenant) = (least(&self.classes), least(&self.tenants));
        let waste = ((done - self.useful) / self.asked_work.max(1.0)).max(0.0);
        let crossings = self.crossings as f64 / asked;
        let [a, b, c, d] = sc.rules.weights;
        let mixed = (a * service + b * window + c * class + d * tenant) / (a + b + c + d).max(1e-9);
        let named = |names: Vec<&String>, all: &[Worth]| -> Vec<Named> {
            let one = |(n, w): (&String, &Worth)| Named { name: n.clone(), value: w.part() };
            names.into_iter().zip(all).map(one).collect()
        };
        let seconds = |micros: u64| micros as f64 / 1e6;
        let at = |q: f64| seconds(self.latency.value_at_quantile(q));
        let (broken, count) = checker.violations();
        let capacity: f64 = sc.servers.kinds.iter().map(|k| k.share).sum::<f64>().max(1e-9);
        let kind = |k: &crate::scenario::Kind| {
            k.share / capacity * f64::from(k.cores) * (k.speed.0 + k.speed.1) / 2.0
        };
        let fleet = f64::from(sc.servers.count) * sc.servers.kinds.iter().map(kind).sum::<f64>();
        let recorded = self.latency.len().max(1) as f64;
        let mut below = 0;
        let cdf = self.latency.iter_recorded().map(|v| {
            below += v.count_at_value();
            (seconds(v.value_iterated_to()), below as f64 / recorded)
        });
        let mut moments: Vec<Moment> = Vec::new();
        for (k, &(at, in_flight, open, held)) in self.samples.iter().enumerate() {
            let service = self.steps.get(k).map_or(1.0, |w| w.part());
            moments.push(Moment { at: seconds(at.max(0) as u64), in_flight, open, held, service });
        }
        let endings = STATUSES.iter().zip(self.endings).filter(|(_, n)| *n > 0);
        Report {
            name: sc.name.clone(),
            policy: sc.policy.clone(),
            seed: sc.seed,
            score: mixed - sc.rules.waste_cost * waste - sc.rules.cross_zone_cost * crossings,
            service,
            worst_window: window,
            worst_class: class,
            worst_tenant: tenant,
            classes: named(sc.classes.iter().map(|c| &c.name).collect(), &self.classes),
            tenants: named(sc.tenants.iter().map(|t| &t.name).collect(), &self.tenants),
            served: self.served(sc),
            counts: self.counts,
            attempts: self.attempts as f64 / asked,
            crossings,
            handshakes: self.handshakes as f64 / asked,
            waste,
            load: self.asked_work / (fleet * sc.length as f64),
            latency: [at(0.5), at(0.9), at(0.99), at(0.999), self.total_latency / recorded / 1e6],
            cdf: thinned(cdf.collect()),
            tails: self.tails.map(|n| n as f64 / self.tails[0].max(1) as f64).to_vec(),
            moments,
            endings: endings.map(|(s, n)| Named { name: s.0.to_string(), value: n as f64 }).collect(),
            fell: self.fell,
            events,
            broken: count,
            violations: broken.iter().map(told).collect(),
            concerned: broken.iter().filter_map(|v| v.request).collect(),
        }
    }
}

/// All ends of attempts, by name.
const STATUSES: [(&str, AttemptStatus); 9] = [
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

/// Points of a distribution, as many as a plot can show.
fn thinned(all: Vec<(f64, f64)>) -> Vec<(f64, f64)> {
    let step = all.len().div_ceil(400).max(1);
    let last = all.len().saturating_sub(1);
    all.into_iter().enumerate().filter(|(k, _)| k % step == 0 || *k == last).map(|(_, p)| p).collect()
}

fn told(v: &Violation) -> String {
    let at = (v.at - super::START) as f64 / 1e6;
    let of = |what: &str, n: Option<u64>| n.map_or(String::new(), |n| format!(" {what} {n:#x}"));
    let server = v.server.map_or(String::new(), |s| format!(" server {s}"));
    format!("{:?} at {at:.6} s:{}{server}", v.rule, of("request", v.request))
}
