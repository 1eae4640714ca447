//! How many jobs may be out at once, and which goes next.

use super::book::Waiting;
use shorepath_scheduler::{AttemptStatus, Micros, RequestId, Settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A bound on what is out, with the queue behind it.
pub trait Limit {
    /// The time of the event in hand.
    fn clock(&mut self, _now: Micros) {}
    /// A request waits to be sent.
    fn queue(&mut self, job: &Waiting);
    /// The next that may go with so many out.
    fn next(&mut self, out: usize) -> Option<RequestId>;
    /// One that must not wait, after all that may go went.
    fn turned_away(&mut self) -> Option<RequestId> {
        None
    }
    /// A request is over.
    fn forget(&mut self, _id: RequestId) {}
    /// An attempt that took so long has ended; so many were out with it.
    fn learn(&mut self, _took: Micros, _out: usize, _status: AttemptStatus) {}
    /// The list names so many servers that may be sent to.
    fn fleet(&mut self, _live: usize) {}
    /// Whether requests may wait.
    fn holds(&self) -> bool {
        false
    }
}

/// Everything goes at once.
#[derive(Debug, Default)]
pub struct NoLimit(VecDeque<RequestId>);

impl Limit for NoLimit {
    fn queue(&mut self, job: &Waiting) {
        self.0.push_back(job.request.id);
    }
    fn next(&mut self, _: usize) -> Option<RequestId> {
        self.0.pop_front()
    }
}

/// A fixed window, and behind it weighted fair queuing by tenants' shares with self-clocked virtual time
/// (Golestani 1994): the finish tag of the job that left last is the time.
#[derive(Debug)]
pub struct Window {
    weights: Vec<f64>,
    window: usize,
    clock: f64,
    last: Vec<f64>,
    /// By finish tag (its bits keep the order of floats over 0), then by age.
    held: BTreeSet<(u64, u64, RequestId)>,
    tags: BTreeMap<RequestId, (u64, u64)>,
    count: u64,
}

impl Window {
    /// One for the tenants of these settings.
    pub fn new(set: &Settings) -> Self {
        let weights: Vec<f64> = set.tenants.iter().map(|t| t.share.max(1e-6)).chain([1.0]).collect();
        Window {
            last: vec![0.0; weights.len()],
            weights,
            window: 2,
            clock: 0.0,
            held: BTreeSet::new(),
            tags: BTreeMap::new(),
            count: 0,
        }
    }
}

impl Limit for Window {
    fn queue(&mut self, job: &Waiting) {
        let id = job.request.id;
        let tenant = job.request.tenant.map_or(self.weights.len() - 1, |t| t.0);
        let size = f64::from(job.request.slots.max(1));
        let tag = self.clock.max(self.last[tenant]) + size / self.weights[tenant];
        self.last[tenant] = tag;
        self.count += 1;
        let key = (tag.to_bits(), self.count);
        self.tags.insert(id, key);
        self.held.insert((key.0, key.1, id));
    }
    fn next(&mut self, out: usize) -> Option<RequestId> {
        if out >= self.window {
            return None;
        }
        let (tag, _, id) = self.held.pop_first()?;
        self.tags.remove(&id);
        self.clock = f64::from_bits(tag);
        Some(id)
    }
    fn forget(&mut self, id: RequestId) {
        if let Some((tag, age)) = self.tags.remove(&id) {
            self.held.remove(&(tag, age, id));
        }
    }
    fn fleet(&mut self, live: usize) {
        // Two jobs to a server at each node: one that knows no more than the list can't do better.
        self.window = (2 * live).max(2);
    }
    fn holds(&self) -> bool {
        true
    }
}

/// An adaptive limit on concurrency by the gradient of the latency, as Netflix's concurrency-limits publishes it
/// ("Gradient2" behind a "WindowedLimit"): beyond it requests are turned away at once. Two of its constants are chosen
/// for fleets of any size: room for the square root of the limit in place of 4, and as many as there are servers
/// to begin with in place of 20.
#[derive(Debug)]
pub struct Gradient {
    limit: f64,
    long: f64,
    waiting: VecDeque<RequestId>,
    now: Micros,
    /// The window that is being filled: since when, the sum of its latencies, and how many.
    since: Micros,
    sum: f64,
    count: u32,
}

impl Gradient {
    /// How much slower than usual is no sign of a queue.
    const TOLERANCE: f64 = 1.5;
    /// Weight of a new limit.
    const SMOOTHING: f64 = 0.2;
    /// Bounds of the limit.
    const BOUNDS: (f64, f64) = (4.0, 100_000.0);
    /// Windows over which the long latency is a mean.
    const LONG: f64 = 600.0;
    /// The least length of a window, and the fewest latencies in one.
    const WINDOW: (Micros, u32) = (100_000, 10);
}

impl Default for Gradient {
    fn default() -> Self {
        Gradient { limit: 0.0, long: 0.0, waiting: VecDeque::new(), now: 0, since: 0, sum: 0.0, count: 0 }
    }
}

impl Limit for Gradient {
    fn clock(&mut self, now: Micros) {
        self.now = now;
    }
    fn queue(&mut self, job: &Waiting) {
        self.waiting.push_back(job.request.id);
    }
    fn next(&mut self, out: usize) -> Option<RequestId> {
        if (out as f64) < self.limit {
            self.waiting.pop_front()
        } else {
            None
        }
    }
    fn turned_away(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }
    fn learn(&mut self, took: Micros, out: usize, status: AttemptStatus) {
        if status != AttemptStatus::Ok {
            return;
        }
        (self.sum, self.count) = (self.sum + took.max(1) as f64, self.count + 1);
        if self.now - self.since < Gradient::WINDOW.0 || self.count < Gradient::WINDOW.1 {
            return;
        }
        let short = self.sum / f64::from(self.count);
        (self.since, self.sum, self.count) = (self.now, 0.0, 0);
        self.long = if self.long == 0.0 { short } else { self.long + (short - self.long) / Gradient::LONG };
        if (out as f64) < self.limit / 2.0 {
            return;
        }
        // A long latency above twice the present one would take too long to come down.
        if self.long / short > 2.0 {
            self.long *= 0.95;
        }
        let gradient = (Gradient::TOLERANCE * self.long / short).clamp(0.5, 1.0);
        let next = self.limit * gradient + self.limit.sqrt();
        let smooth = self.limit * (1.0 - Gradient::SMOOTHING) + next * Gradient::SMOOTHING;
        self.limit = smooth.clamp(Gradient::BOUNDS.0, Gradient::BOUNDS.1);
    }
    fn fleet(&mut self, live: usize) {
        if self.limit == 0.0 {
            self.limit = (live as f64).max(Gradient::BOUNDS.0);
        }
    }
}

/// RFQ to the letter of its paper (sections 3 and 4), to hold the module's departures against: one job at a time to
/// each server, contracts as given (rho is the quota, sigma what a second of it brings, delta the class's aim).
#[derive(Debug)]
pub struct Paper {
    flows: Vec<Flow>,
    window: usize,
    /// What sync points have taken off all tags: tags are kept as they were, and the clock runs ahead.
    shift: f64,
    now: f64,
    /// Jobs in service.
    out: usize,
    tags: BTreeMap<RequestId, (f64, f64, usize)>,
}

/// A deficit token bucket and its flow's tags.
#[derive(Clone, Debug)]
struct Flow {
    rho: f64,
    sigma: f64,
    tokens: f64,
    at: f64,
    max_start: f64,
    waiting: VecDeque<RequestId>,
}

impl Paper {
    /// One for the tenants of these settings.
    pub fn new(set: &Settings) -> Self {
        let flow = |quota: f64| {
            let (rho, sigma) = (quota.max(1e-3) / 1e6, quota.max(1.0));
            Flow { rho, sigma, tokens: sigma, at: 0.0, max_start: 0.0, waiting: VecDeque::new() }
        };
        let flows = set.tenants.iter().map(|t| flow(t.quota_per_second)).chain([flow(1.0)]).collect();
        Paper { flows, window: 1, shift: 0.0, now: 0.0, out: 0, tags: BTreeMap::new() }
    }
}

impl Limit for Paper {
    fn clock(&mut self, now: Micros) {
        self.now = now as f64;
    }
    fn queue(&mut self, job: &Waiting) {
        let id = job.request.id;
        if self.tags.contains_key(&id) {
            return;
        }
        let k = job.request.tenant.map_or(self.flows.len() - 1, |t| t.0);
        if self.tags.is_empty() && self.out == 0 {
            // A system busy period begins.
            let t = self.now + self.shift;
            self.flows.iter_mut().for_each(|f| (f.tokens, f.at, f.max_start) = (f.sigma, self.now, t));
        }
        let (t, f) = (self.now + self.shift, &mut self.flows[k]);
        let size = f64::from(job.request.slots.max(1));
        f.tokens = (f.tokens + (self.now - f.at) * f.rho).min(f.sigma);
        f.at = self.now;
        let start = if f.tokens >= size {
            t
        } else if f.tokens > 0.0 {
            t + (size - f.tokens) / f.rho
        } else {
            f.max_start + size / f.rho
        };
        f.tokens -= size;
        f.max_start = start;
        f.waiting.push_back(id);
        self.tags.insert(id, (start, start + (job.due - self.now as Micros) as f64, k));
    }
    fn next(&mut self, out: usize) -> Option<RequestId> {
        self.out = out;
        if out >= self.window {
            return None;
        }
        let heads = || self.flows.iter().filter_map(|f| f.waiting.front());
        let earliest = heads().map(|id| self.tags[id].0).min_by(f64::total_cmp)?;
        if earliest > self.now + self.shift {
            // A synchronization point: all held start tags lie ahead.
            self.shift = earliest - self.now;
            let now = self.now;
            for f in self.flows.iter_mut().filter(|f| f.waiting.is_empty()) {
                (f.tokens, f.at) = (f.sigma, now);
            }
        }
        let clock = self.now + self.shift;
        let eligible =
            self.flows.iter().filter_map(|f| f.waiting.front()).filter(|id| self.tags[*id].0 <= clock);
        let id = *eligible.min_by(|a, b| self.tags[*a].1.total_cmp(&self.tags[*b].1))?;
        let (_, _, k) = self.tags.remove(&id)?;
        self.flows[k].waiting.pop_front();
        self.out += 1;
        Some(id)
    }
    fn forget(&mut self, id: RequestId) {
        if let Some((_, _, k)) = self.tags.remove(&id) {
            self.flows[k].waiting.retain(|w| *w != id);
        }
    }
    fn fleet(&mut self, live: usize) {
        self.window = live.max(1);
    }
    fn holds(&self) -> bool {
        true
    }
}
