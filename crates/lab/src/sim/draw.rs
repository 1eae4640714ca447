//! Random numbers: independent streams from one seed, arrival times, and the properties of jobs.

use crate::scenario::{Class, DistributionKind, FaultKind, Scenario, Step};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Gamma, LogNormal};
use shorepath_scheduler::Micros;

/// What a stream of random numbers is for. The streams of one seed are independent of each other, so that a
/// policy that draws more numbers, or a scenario with one more fault, leaves all other draws unchanged.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// The properties of servers.
    Fleet,
    /// Network delays.
    Network,
    /// The delays before clients' retries.
    Clients,
    /// Which jobs fail because of a bad release.
    Failures,
    /// The delays of discovery's updates.
    Discovery,
    /// Times between the arrivals of a tenant, by its index.
    Arrivals(u32),
    /// Class, node and work of a tenant's jobs, by its index.
    Jobs(u32),
    /// Slots, memory and work hints of a tenant's jobs, by its index.
    Needs(u32),
    /// Which servers a fault affects, by its index.
    Fault(u32),
    /// The decisions of a node, by its index.
    Node(u32),
}

/// Returns the stream of random numbers for a purpose, derived from the scenario's seed.
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

/// A distribution of positive numbers with mean 1.
#[derive(Clone, Debug)]
pub enum Spread {
    /// Always 1.
    Constant,
    /// Exponential distribution.
    Exp(Exp<f64>),
    /// Log-normal distribution.
    LogNormal(LogNormal<f64>),
    /// Gamma distribution.
    Gamma(Gamma<f64>),
}

impl Spread {
    /// Returns the distribution of a shape and a coefficient of variation. With a coefficient of 0, log-normal and
    /// gamma distributions are constant.
    pub fn new(shape: DistributionKind, cv: f64) -> Self {
        let exponential = || Exp::new(1.0).map_or(Spread::Constant, Spread::Exp);
        match shape {
            DistributionKind::Constant => Spread::Constant,
            DistributionKind::Exponential => exponential(),
            _ if cv <= 0.0 => Spread::Constant,
            DistributionKind::LogNormal => {
                let variance = (1.0 + cv * cv).ln();
                LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(Spread::Constant, Spread::LogNormal)
            }
            DistributionKind::Gamma if cv == 1.0 => exponential(),
            DistributionKind::Gamma => {
                let shape = 1.0 / (cv * cv);
                Gamma::new(shape, 1.0 / shape).map_or(Spread::Constant, Spread::Gamma)
            }
        }
    }

    /// Draws a number.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> f64 {
        match self {
            Spread::Constant => 1.0,
            Spread::Exp(d) => d.sample(rng),
            Spread::LogNormal(d) => d.sample(rng),
            Spread::Gamma(d) => d.sample(rng),
        }
    }
}

/// Draws a uniformly distributed time from an inclusive range of microseconds.
pub fn between(rng: &mut ChaCha8Rng, (low, high): (Micros, Micros)) -> Micros {
    if low >= high {
        low
    } else {
        rng.random_range(low..=high)
    }
}

/// Draws an index with probabilities proportional to the weights, given as cumulative sums.
pub fn weighted_index(rng: &mut ChaCha8Rng, cumulated: &[f64]) -> usize {
    let total = cumulated.last().copied().unwrap_or(1.0);
    let drawn = rng.random::<f64>() * total;
    cumulated.partition_point(|c| *c <= drawn).min(cumulated.len().saturating_sub(1))
}

/// Returns the cumulative sums of weights; negative weights count as 0.
pub fn cumulative_sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sum = 0.0;
    let add = |w: f64| {
        sum += w.max(0.0);
        sum
    };
    weights.map(add).collect()
}

/// The arrival times of a tenant's requests: a renewal process with gamma-distributed intervals, scaled by a
/// piecewise constant rate.
#[derive(Debug)]
pub struct Arrivals {
    rng: ChaCha8Rng,
    spread: Spread,
    /// Start times of the segments of constant rate, and their rates in requests per microsecond; sorted.
    rates: Vec<(Micros, f64)>,
    at: f64,
    segment: usize,
}

/// Number of rate changes that approximate a ramp.
const RAMP_STEPS: i64 = 8;

impl Arrivals {
    /// Returns the arrivals of a tenant from the start of the scenario.
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
        let mut rate_changes: Vec<(Micros, f64)> = Vec::new();
        for step in steps.filter(|s| s.tenant.is_none_or(|t| t == tenant)) {
            let parts = if step.ramp > 0 { RAMP_STEPS } else { 1 };
            let mut before = 1.0;
            for k in 1..=parts {
                let level = 1.0 + (step.times - 1.0) * k as f64 / parts as f64;
                rate_changes.push((step.at + step.ramp * (k - 1) / parts, level / before));
                rate_changes.push((step.at + step.length + step.ramp * (parts - k) / parts, before / level));
                before = level;
            }
        }
        rate_changes.sort_by_key(|c| c.0);
        let mut rates = vec![(0, base)];
        let mut rate = base;
        for (at, factor) in rate_changes {
            rate *= factor;
            rates.push((at, rate));
        }
        Arrivals {
            rng: stream(scenario.seed, Purpose::Arrivals(tenant as u32)),
            spread: Spread::new(DistributionKind::Gamma, scenario.cv),
            rates,
            at: 0.0,
            segment: 0,
        }
    }

    /// Returns the time of the next arrival since the start of the scenario.
    pub fn next_time(&mut self) -> Micros {
        let mut remaining = self.spread.draw(&mut self.rng);
        loop {
            let rate = self.rates[self.segment].1.max(1e-18);
            let until = self.rates.get(self.segment + 1).map_or(f64::INFINITY, |r| r.0 as f64);
            let elapsed = remaining / rate;
            if self.at + elapsed <= until {
                self.at += elapsed;
                return self.at.min(1e17) as Micros;
            }
            remaining -= ((until - self.at) * rate).max(0.0);
            self.at = self.at.max(until);
            self.segment += 1;
        }
    }
}

/// Draws the jobs of a tenant.
#[derive(Debug)]
pub struct Jobs {
    rng: ChaCha8Rng,
    classes: Vec<f64>,
    work: Vec<(f64, Spread)>,
    /// Periods of costly requests: start, end, class, fraction of requests, factor of the work.
    costly_periods: Vec<(Micros, Micros, Option<usize>, f64, f64)>,
    nodes: Vec<f64>,
    needs: ChaCha8Rng,
    slots: Vec<Vec<f64>>,
    memory: Vec<(f64, Spread)>,
    hints: Option<Spread>,
}

/// Resources that a job occupies at a server while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Needs {
    /// Number of slots.
    pub slots: u32,
    /// Memory in units of which a server has one per slot.
    pub memory: f64,
}

impl Needs {
    /// One slot and no memory.
    pub const ONE: Needs = Needs { slots: 1, memory: 0.0 };
}

/// The properties of a job.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Index of the job's class.
    pub class: usize,
    /// Work, in microseconds on a core of speed 1.
    pub work: f64,
    /// Index of the node that the client sends it to.
    pub node: u32,
    /// Resources that it occupies at a server.
    pub needs: Needs,
    /// The client's estimate of the work, in microseconds; `None` if clients don't send hints.
    pub hint: Option<Micros>,
}

impl Jobs {
    /// Returns the generator of a tenant's jobs.
    pub fn new(scenario: &Scenario, tenant: usize) -> Self {
        let spread = |c: &Class| (c.work as f64, Spread::new(c.distribution, c.cv));
        let costly_periods = scenario.faults.iter().filter(|f| f.kind == FaultKind::Costly);
        Jobs {
            rng: stream(scenario.seed, Purpose::Jobs(tenant as u32)),
            classes: cumulative_sums(scenario.classes.iter().map(|c| c.share)),
            work: scenario.classes.iter().map(spread).collect(),
            costly_periods: costly_periods
                .map(|f| (f.at, f.at + f.length, f.class, f.part, f.size))
                .collect(),
            needs: stream(scenario.seed, Purpose::Needs(tenant as u32)),
            slots: scenario.classes.iter().map(|c| cumulative_sums(c.slots.iter().copied())).collect(),
            memory: scenario
                .classes
                .iter()
                .map(|c| (c.memory, Spread::new(DistributionKind::LogNormal, c.memory_cv)))
                .collect(),
            hints: scenario.clients.work_hint_cv.map(|cv| Spread::new(DistributionKind::LogNormal, cv)),
            nodes: cumulative_sums((1..=scenario.nodes).map(|k| f64::from(k).powf(-scenario.skew))),
        }
    }

    /// Draws the next job, which arrives at the given time since the start of the scenario.
    pub fn next_job(&mut self, at: Micros) -> Job {
        let class = weighted_index(&mut self.rng, &self.classes);
        let node = weighted_index(&mut self.rng, &self.nodes) as u32;
        let (mean, spread) = &self.work[class];
        let mut work = (mean * spread.draw(&mut self.rng)).max(1.0);
        for (from, until, of, part, factor) in &self.costly_periods {
            let is_affected = self.rng.random::<f64>() < *part;
            if is_affected && at >= *from && at < *until && of.is_none_or(|c| c == class) {
                work *= factor;
            }
        }
        let slots = 1 << weighted_index(&mut self.needs, &self.slots[class]);
        let (mean, spread) = &self.memory[class];
        let memory = mean * f64::from(slots) * spread.draw(&mut self.needs);
        let hint =
            self.hints.as_ref().map(|estimate| (work * estimate.draw(&mut self.needs)).max(1.0) as Micros);
        Job { class, work, node, needs: Needs { slots, memory }, hint }
    }
}
