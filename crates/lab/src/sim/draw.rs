//! What is drawn: streams of random numbers from one seed, times between arrivals, work, ways.

use crate::scenario::{Class, DistributionKind, FaultKind, Scenario, Step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Gamma, LogNormal};
use shorepath_scheduler::Micros;

/// What a stream of random numbers is for. Streams of one seed are independent of each other, so that a
/// policy that draws more, or a scenario with one more fault, changes nothing else.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// The servers' make.
    Fleet,
    /// Ways through the network.
    Network,
    /// The clients' waits before they try again.
    Clients,
    /// Jobs that a bad release fails.
    Failures,
    /// The lag of discovery's news.
    Discovery,
    /// Times between a tenant's arrivals.
    Arrivals(u32),
    /// What a tenant's jobs are.
    Jobs(u32),
    /// The slots and the memory that a tenant's jobs take, and its clients' guesses at their work.
    Needs(u32),
    /// Whom a fault strikes.
    Fault(u32),
    /// A node's own decisions.
    Node(u32),
}

/// The stream of a seed for a purpose.
pub fn stream(seed: u64, purpose: Purpose) -> ChaCha8Rng {
    let (kind, number) = match purpose {
        Purpose::Fleet => (0, 0),
        Purpose::Network => (1, 0),
        Purpose::Clients => (2, 0),
        Purpose::Failures => (3, 0),
        Purpose::Discovery => (4, 0),
        Purpose::Arrivals(k) => (5, k),
        Purpose::Jobs(k) => (6, k),
        Purpose::Fault(k) => (7, k),
        Purpose::Node(k) => (8, k),
        Purpose::Needs(k) => (9, k),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream((kind << 32) | u64::from(number));
    rng
}

/// A positive figure of mean 1 with that shape and coefficient of variation.
#[derive(Clone, Debug)]
pub enum Spread {
    /// Always 1.
    One,
    /// Exponential.
    Exp(Exp<f64>),
    /// Log-normal.
    LogNormal(LogNormal<f64>),
    /// Gamma.
    Gamma(Gamma<f64>),
}

impl Spread {
    /// The spread of that shape; a coefficient of variation of 0 is none.
    pub fn new(shape: DistributionKind, cv: f64) -> Self {
        let one = || Exp::new(1.0).map_or(Spread::One, Spread::Exp);
        match shape {
            DistributionKind::Constant => Spread::One,
            DistributionKind::Exponential => one(),
            _ if cv <= 0.0 => Spread::One,
            DistributionKind::LogNormal => {
                let variance = (1.0 + cv * cv).ln();
                LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(Spread::One, Spread::LogNormal)
            }
            DistributionKind::Gamma if cv == 1.0 => one(),
            DistributionKind::Gamma => {
                let shape = 1.0 / (cv * cv);
                Gamma::new(shape, 1.0 / shape).map_or(Spread::One, Spread::Gamma)
            }
        }
    }

    /// The next figure.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> f64 {
        match self {
            Spread::One => 1.0,
            Spread::Exp(d) => d.sample(rng),
            Spread::LogNormal(d) => d.sample(rng),
            Spread::Gamma(d) => d.sample(rng),
        }
    }
}

/// A whole number of microseconds between two, both included.
pub fn between(rng: &mut ChaCha8Rng, (low, high): (Micros, Micros)) -> Micros {
    if low >= high {
        low
    } else {
        rng.random_range(low..=high)
    }
}

/// One of several by their weights.
pub fn weighted(rng: &mut ChaCha8Rng, cumulated: &[f64]) -> usize {
    let total = cumulated.last().copied().unwrap_or(1.0);
    let drawn = rng.random::<f64>() * total;
    cumulated.partition_point(|c| *c <= drawn).min(cumulated.len().saturating_sub(1))
}

/// Running sums.
pub fn cumulate(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let add = |w: f64| {
        sum += w.max(0.0);
        sum
    };
    weights.map(add).collect()
}

/// A tenant's arrivals: a renewal process whose clock runs with the rate.
#[derive(Debug)]
pub struct Arrivals {
    rng: ChaCha8Rng,
    spread: Spread,
    /// From when on which rate holds, in requests a microsecond; sorted.
    rates: Vec<(Micros, f64)>,
    at: f64,
    place: usize,
}

/// Parts of a ramp.
const RAMP: i64 = 8;

impl Arrivals {
    /// Those of a tenant, from the start of the scenario on.
    pub fn new(scenario: &Scenario, tenant: usize) -> Self {
        let total: f64 = scenario.tenants.iter().map(|t| t.traffic).sum();
        let base = scenario.rate * scenario.tenants[tenant].traffic / total / 1e6;
        let floods = scenario.faults.iter().filter(|f| f.kind == FaultKind::Flood).map(|f| Step {
            at: f.at,
            length: f.length,
            ramp: 0,
            times: f.size,
            tenant: f.tenant,
        });
        let steps = scenario.steps.iter().cloned().chain(floods);
        let mut changes: Vec<(Micros, f64)> = Vec::new();
        for step in steps.filter(|s| s.tenant.is_none_or(|t| t == tenant)) {
            let parts = if step.ramp > 0 { RAMP } else { 1 };
            let mut before = 1.0;
            for k in 1..=parts {
                let level = 1.0 + (step.times - 1.0) * k as f64 / parts as f64;
                changes.push((step.at + step.ramp * (k - 1) / parts, level / before));
                changes.push((step.at + step.length + step.ramp * (parts - k) / parts, before / level));
                before = level;
            }
        }
        changes.sort_by_key(|c| c.0);
        let mut rates = vec![(0, base)];
        let mut rate = base;
        for (at, factor) in changes {
            rate *= factor;
            rates.push((at, rate));
        }
        Arrivals {
            rng: stream(scenario.seed, Purpose::Arrivals(tenant as u32)),
            spread: Spread::new(DistributionKind::Gamma, scenario.cv),
            rates,
            at: 0.0,
            place: 0,
        }
    }

    /// When the next one comes, counted from the start of the scenario.
    pub fn next_time(&mut self) -> Micros {
        let mut left = self.spread.draw(&mut self.rng);
        loop {
            let rate = self.rates[self.place].1.max(1e-18);
            let until = self.rates.get(self.place + 1).map_or(f64::INFINITY, |r| r.0 as f64);
            let step = left / rate;
            if self.at + step <= until {
                self.at += step;
                return self.at.min(1e17) as Micros;
            }
            left -= ((until - self.at) * rate).max(0.0);
            self.at = self.at.max(until);
            self.place += 1;
        }
    }
}

/// What a tenant's jobs are.
#[derive(Debug)]
pub struct Jobs {
    rng: ChaCha8Rng,
    classes: Vec<f64>,
    work: Vec<(f64, Spread)>,
    /// Costly spells: from, until, class, part, factor.
    costly: Vec<(Micros, Micros, Option<usize>, f64, f64)>,
    nodes: Vec<f64>,
    needs: ChaCha8Rng,
    slots: Vec<Vec<f64>>,
    memory: Vec<(f64, Spread)>,
    hints: Option<Spread>,
}

/// What a job takes of a server for as long as it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Needs {
    /// Slots.
    pub slots: u32,
    /// Memory, of which a server has one unit for each slot.
    pub memory: f64,
}

impl Needs {
    /// One slot, and no memory that counts.
    pub const ONE: Needs = Needs { slots: 1, memory: 0.0 };
}

/// One job as drawn.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of its class.
    pub class: usize,
    /// Its work, in microseconds on a core of speed 1.
    pub work: f64,
    /// The node that its client has.
    pub node: u32,
    /// What it takes.
    pub needs: Needs,
    /// Its client's guess at its work, in microseconds.
    pub hint: Option<Micros>,
}

impl Jobs {
    /// Those of a tenant.
    pub fn new(scenario: &Scenario, tenant: usize) -> Self {
        let spread = |c: &Class| (c.work as f64, Spread::new(c.distribution, c.cv));
        let costly = scenario.faults.iter().filter(|f| f.kind == FaultKind::Costly);
        Jobs {
            rng: stream(scenario.seed, Purpose::Jobs(tenant as u32)),
            classes: cumulate(scenario.classes.iter().map(|c| c.share)),
            work: scenario.classes.iter().map(spread).collect(),
            costly: costly.map(|f| (f.at, f.at + f.length, f.class, f.part, f.size)).collect(),
            needs: stream(scenario.seed, Purpose::Needs(tenant as u32)),
            slots: scenario.classes.iter().map(|c| cumulate(c.slots.iter().copied())).collect(),
            memory: scenario
                .classes
                .iter()
                .map(|c| (c.memory, Spread::new(DistributionKind::LogNormal, c.memory_cv)))
                .collect(),
            hints: scenario.clients.work_hint_cv.map(|cv| Spread::new(DistributionKind::LogNormal, cv)),
            nodes: cumulate((1..=scenario.nodes).map(|k| f64::from(k).powf(-scenario.skew))),
        }
    }

    /// The next one, at that time since the start.
    pub fn next_job(&mut self, at: Micros) -> Job {
        let class = weighted(&mut self.rng, &self.classes);
        let node = weighted(&mut self.rng, &self.nodes) as u32;
        let (mean, spread) = &self.work[class];
        let mut work = (mean * spread.draw(&mut self.rng)).max(1.0);
        for (from, until, of, part, factor) in &self.costly {
            let struck = self.rng.random::<f64>() < *part;
            if struck && at >= *from && at < *until && of.is_none_or(|c| c == class) {
                work *= factor;
            }
        }
        let slots = 1 << weighted(&mut self.needs, &self.slots[class]);
        let (mean, spread) = &self.memory[class];
        let memory = mean * f64::from(slots) * spread.draw(&mut self.needs);
        let hint = self.hints.as_ref().map(|guess| (work * guess.draw(&mut self.needs)).max(1.0) as Micros);
        Job { class, work, node, needs: Needs { slots, memory }, hint }
    }
}
