//! Limits on the attempts in flight, and the order in which queued requests are sent.

use super::comparator::PendingRequest;
use shorepath_scheduler::{AttemptStatus, Micros, RequestId, Settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A limit on the attempts in flight, with the queue of requests that wait for it.
pub trait Limit {
    /// Sets the time of the present event.
    fn advance_clock(&mut self, _now: Micros) {}
    /// Queues a request.
    fn enqueue(&mut self, pending: &PendingRequest);
    /// Removes and returns the next request that may be sent while `in_flight` attempts are in flight.
    fn next_to_send(&mut self, in_flight: usize) -> Option<RequestId>;
    /// Removes and returns a request that must not wait, once `next_to_send` has returned `None`.
    fn next_rejected(&mut self) -> Option<RequestId> {
        None
    }
    /// Drops a request that is over.
    fn forget(&mut self, _id: RequestId) {}
    /// Observes the end of an attempt; `in_flight` counts the attempts in flight before it ended.
    fn attempt_ended(&mut self, _latency: Micros, _in_flight: usize, _status: AttemptStatus) {}
    /// Observes a change of the number of live servers.
    fn fleet_resized(&mut self, _live_servers: usize) {}
    /// Returns whether requests may wait in the queue.
    fn can_queue(&self) -> bool {
        false
    }
}

/// No limit: sends every request at once.
#[derive(Debug, Default)]
pub struct NoLimit(VecDeque<RequestId>);

impl Limit for NoLimit {
    fn enqueue(&mut self, pending: &PendingRequest) {
        self.0.push_back(pending.request.id);
    }
    fn next_to_send(&mut self, _: usize) -> Option<RequestId> {
        self.0.pop_front()
    }
}

/// A fixed window of attempts in flight with weighted fair queuing by tenants' shares.
///
/// Virtual time is self-clocked (Golestani 1994): it is the finish tag of the request that was sent last.
#[derive(Debug)]
pub struct FairWindow {
    weights: Vec<f64>,
    window: usize,
    clock: f64,
    last_tags: Vec<f64>,
    /// Finish tag as its bits (which sort like positive floats), arrival number and id of each queued request.
    queue: BTreeSet<(u64, u64, RequestId)>,
    tags: BTreeMap<RequestId, (u64, u64)>,
    count: u64,
}

impl FairWindow {
    /// Returns an empty queue for the tenants of these settings.
    pub fn new(settings: &Settings) -> Self {
        let weights: Vec<f64> =
            settings.tenants.iter().map(|tenant| tenant.share.max(1e-6)).chain([1.0]).collect();
        FairWindow {
            last_tags: vec![0.0; weights.len()],
            weights,
            window: 2,
            clock: 0.0,
            queue: BTreeSet::new(),
            tags: BTreeMap::new(),
            count: 0,
        }
    }
}

impl Limit for FairWindow {
    fn enqueue(&mut self, pending: &PendingRequest) {
        let id = pending.request.id;
        let tenant = pending.request.tenant.map_or(self.weights.len() - 1, |tenant| tenant.0);
        let slots = f64::from(pending.request.slots.max(1));
        let tag = self.clock.max(self.last_tags[tenant]) + slots / self.weights[tenant];
        self.last_tags[tenant] = tag;
        self.count += 1;
        let key = (tag.to_bits(), self.count);
        self.tags.insert(id, key);
        self.queue.insert((key.0, key.1, id));
    }
    fn next_to_send(&mut self, in_flight: usize) -> Option<RequestId> {
        if in_flight >= self.window {
            return None;
        }
        let (tag, _, id) = self.queue.pop_first()?;
        self.tags.remove(&id);
        self.clock = f64::from_bits(tag);
        Some(id)
    }
    fn forget(&mut self, id: RequestId) {
        if let Some((tag, sequence)) = self.tags.remove(&id) {
            self.queue.remove(&(tag, sequence, id));
        }
    }
    fn fleet_resized(&mut self, live_servers: usize) {
        // A node that knows nothing about its servers' sizes allows two jobs per server.
        self.window = (2 * live_servers).max(2);
    }
    fn can_queue(&self) -> bool {
        true
    }
}

/// An adaptive concurrency limit by the gradient of the latency, like `Gradient2Limit` behind a `WindowedLimit` in
/// Netflix's concurrency-limits. Requests beyond the limit are rejected at once.
///
/// Two constants differ to suit fleets of any size: the allowance for queuing is the square root of the limit in place
/// of 4, and the initial limit is the number of servers in place of 20.
#[derive(Debug)]
pub struct GradientLimit {
    limit: f64,
    long_latency: f64,
    waiting: VecDeque<RequestId>,
    now: Micros,
    /// Start of the present window, and the sum and the number of its latencies.
    window_start: Micros,
    latency_sum: f64,
    count: u32,
}

impl GradientLimit {
    /// Ratio of the short to the long latency up to which the limit is not reduced.
    const TOLERANCE: f64 = 1.5;
    /// Weight of a new limit against the previous one.
    const SMOOTHING: f64 = 0.2;
    /// Range within which the limit is kept.
    const LIMIT_RANGE: (f64, f64) = (4.0, 100_000.0);
    /// Number of windows over which the long latency averages.
    const LONG_WINDOWS: f64 = 600.0;
    /// Least duration of a window, and least number of latencies in it.
    const WINDOW: (Micros, u32) = (100_000, 10);
}

impl Default for GradientLimit {
    fn default() -> Self {
        GradientLimit {
            limit: 0.0,
            long_latency: 0.0,
            waiting: VecDeque::new(),
            now: 0,
            window_start: 0,
            latency_sum: 0.0,
            count: 0,
        }
    }
}

impl Limit for GradientLimit {
    fn advance_clock(&mut self, now: Micros) {
        self.now = now;
    }
    fn enqueue(&mut self, pending: &PendingRequest) {
        self.waiting.push_back(pending.request.id);
    }
    fn next_to_send(&mut self, in_flight: usize) -> Option<RequestId> {
        if (in_flight as f64) < self.limit {
            self.waiting.pop_front()
        } else {
            None
        }
    }
    fn next_rejected(&mut self) -> Option<RequestId> {
        self.waiting.pop_front()
    }
    fn attempt_ended(&mut self, latency: Micros, in_flight: usize, status: AttemptStatus) {
        if status != AttemptStatus::Ok {
            return;
        }
        (self.latency_sum, self.count) = (self.latency_sum + latency.max(1) as f64, self.count + 1);
        if self.now - self.window_start < GradientLimit::WINDOW.0 || self.count < GradientLimit::WINDOW.1 {
            return;
        }
        let short_latency = self.latency_sum / f64::from(self.count);
        (self.window_start, self.latency_sum, self.count) = (self.now, 0.0, 0);
        self.long_latency = if self.long_latency == 0.0 {
            short_latency
        } else {
            self.long_latency + (short_latency - self.long_latency) / GradientLimit::LONG_WINDOWS
        };
        if (in_flight as f64) < self.limit / 2.0 {
            return;
        }
        // Speeds up the decay after a period of overload.
        if self.long_latency / short_latency > 2.0 {
            self.long_latency *= 0.95;
        }
        let gradient = (GradientLimit::TOLERANCE * self.long_latency / short_latency).clamp(0.5, 1.0);
        let next = self.limit * gradient + self.limit.sqrt();
        let smoothed_limit = self.limit * (1.0 - GradientLimit::SMOOTHING) + next * GradientLimit::SMOOTHING;
        self.limit = smoothed_limit.clamp(GradientLimit::LIMIT_RANGE.0, GradientLimit::LIMIT_RANGE.1);
    }
    fn fleet_resized(&mut self, live_servers: usize) {
        if self.limit == 0.0 {
            self.limit = (live_servers as f64).max(GradientLimit::LIMIT_RANGE.0);
        }
    }
}

/// Redemptive Fair Queuing exactly as in its paper (sections 3 and 4), a baseline for the scheduler's departures from
/// it.
///
/// One job at a time is sent per server. Of a tenant's contract, rho is the quota, sigma is one second of the quota,
/// and delta is the time until the request's target time.
#[derive(Debug)]
pub struct PaperFairQueue {
    flows: Vec<Flow>,
    window: usize,
    /// Total reduction of all tags by synchronization points. It is added to the clock instead of being subtracted
    /// from each tag.
    clock_offset: f64,
    now: f64,
    in_flight: usize,
    /// Start tag, finish tag and flow of each queued request.
    tags: BTreeMap<RequestId, (f64, f64, usize)>,
}

/// A tenant's flow: its deficit token bucket, its last start tag and its queue.
#[derive(Clone, Debug)]
struct Flow {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated_at: f64,
    last_start_tag: f64,
    waiting: VecDeque<RequestId>,
}

impl PaperFairQueue {
    /// Returns an empty queue for the tenants of these settings.
    pub fn new(settings: &Settings) -> Self {
        let flow = |quota: f64| {
            let (rate, burst) = (quota.max(1e-3) / 1e6, quota.max(1.0));
            Flow {
                rate,
                burst,
                tokens: burst,
                updated_at: 0.0,
                last_start_tag: 0.0,
                waiting: VecDeque::new(),
            }
        };
        let flows =
            settings.tenants.iter().map(|tenant| flow(tenant.quota_per_second)).chain([flow(1.0)]).collect();
        PaperFairQueue { flows, window: 1, clock_offset: 0.0, now: 0.0, in_flight: 0, tags: BTreeMap::new() }
    }
}

impl Limit for PaperFairQueue {
    fn advance_clock(&mut self, now: Micros) {
        self.now = now as f64;
    }
    fn enqueue(&mut self, pending: &PendingRequest) {
        let id = pending.request.id;
        if self.tags.contains_key(&id) {
            return;
        }
        let flow_index = pending.request.tenant.map_or(self.flows.len() - 1, |tenant| tenant.0);
        if self.tags.is_empty() && self.in_flight == 0 {
            // A new busy period starts: buckets and start tags are reset.
            let virtual_now = self.now + self.clock_offset;
            self.flows
                .iter_mut()
                .for_each(|f| (f.tokens, f.updated_at, f.last_start_tag) = (f.burst, self.now, virtual_now));
        }
        let (virtual_now, flow) = (self.now + self.clock_offset, &mut self.flows[flow_index]);
        let slots = f64::from(pending.request.slots.max(1));
        flow.tokens = (flow.tokens + (self.now - flow.updated_at) * flow.rate).min(flow.burst);
        flow.updated_at = self.now;
        let start = if flow.tokens >= slots {
            virtual_now
        } else if flow.tokens > 0.0 {
            virtual_now + (slots - flow.tokens) / flow.rate
        } else {
            flow.last_start_tag + slots / flow.rate
        };
        flow.tokens -= slots;
        flow.last_start_tag = start;
        flow.waiting.push_back(id);
        self.tags.insert(id, (start, start + (pending.target_time - self.now as Micros) as f64, flow_index));
    }
    fn next_to_send(&mut self, in_flight: usize) -> Option<RequestId> {
        self.in_flight = in_flight;
        if in_flight >= self.window {
            return None;
        }
        let queue_heads = || self.flows.iter().filter_map(|f| f.waiting.front());
        let earliest = queue_heads().map(|id| self.tags[id].0).min_by(f64::total_cmp)?;
        if earliest > self.now + self.clock_offset {
            // A synchronization point: all queued requests have start tags in the future.
            self.clock_offset = earliest - self.now;
            let now = self.now;
            for flow in self.flows.iter_mut().filter(|f| f.waiting.is_empty()) {
                (flow.tokens, flow.updated_at) = (flow.burst, now);
            }
        }
        let clock = self.now + self.clock_offset;
        let eligible =
            self.flows.iter().filter_map(|f| f.waiting.front()).filter(|id| self.tags[*id].0 <= clock);
        let id = *eligible.min_by(|a, b| self.tags[*a].1.total_cmp(&self.tags[*b].1))?;
        let (_, _, flow_index) = self.tags.remove(&id)?;
        self.flows[flow_index].waiting.pop_front();
        self.in_flight += 1;
        Some(id)
    }
    fn forget(&mut self, id: RequestId) {
        if let Some((_, _, flow_index)) = self.tags.remove(&id) {
            self.flows[flow_index].waiting.retain(|w| *w != id);
        }
    }
    fn fleet_resized(&mut self, live_servers: usize) {
        self.window = live_servers.max(1);
    }
    fn can_queue(&self) -> bool {
        true
    }
}
