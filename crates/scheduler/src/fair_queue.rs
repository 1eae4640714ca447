//! One server of Redemptive Fair Queuing (Gulati and Varman, sections 3 and 4): the queue of requests for
//! one kind of endpoint, with its own tags, token buckets and concurrency limit.

use crate::concurrency_limit::ConcurrencyLimit;
use crate::decaying_sum::DecayingSum;
use crate::endpoint::{Endpoint, EndpointState};
use crate::endpoint_order::EndpointOrder;
use crate::endpoint_table::{EndpointTable, TrackedEndpoint};
use crate::ids::{EndpointId, KindId, RequestId, ZoneId};
use crate::settings::Settings;
use oorandom::Rand64;
use shorepath_types::Micros;
use std::collections::BTreeSet;

/// A deficit token bucket. Its unit is one slot, or one microsecond of a slot's work for requests with a
/// work hint.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    pub tokens: f64,
    pub updated_at: Micros,
    /// The greatest start tag given to a request of the tenant.
    pub max_start_tag: Micros,
    /// Number of queued requests of the tenant.
    pub queued: u32,
    /// Clients of the tenant give first tries less than the full deadline, so a retry's age can't be
    /// computed from the time that remains.
    pub gives_up_early: bool,
}

/// The parameters of a token bucket, and the cost of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketParameters {
    /// Tokens gained per microsecond (rho in the paper).
    pub rate: f64,
    /// The most tokens that are saved (sigma in the paper).
    pub depth: f64,
    /// Tokens that the request takes.
    pub cost: f64,
    /// The bucket is refilled if the queue is idle.
    pub refills_when_idle: bool,
}

/// Running means of the time from sending an attempt to its start, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartWait {
    /// The mean for endpoints in the scheduler's own zone.
    pub local: f64,
    /// The mean for endpoints in other zones.
    pub remote: f64,
}

impl StartWait {
    /// Returns the mean for endpoints in other zones or in the scheduler's own zone.
    pub fn get(&self, is_remote: bool) -> f64 {
        if is_remote {
            self.remote
        } else {
            self.local
        }
    }

    /// Returns a mutable reference to the mean that [`StartWait::get`] returns.
    pub fn get_mut(&mut self, is_remote: bool) -> &mut f64 {
        if is_remote {
            &mut self.remote
        } else {
            &mut self.local
        }
    }

    /// Lowers both means by a fraction.
    pub fn lower_by(&mut self, fraction: f64) {
        self.local *= 1.0 - fraction;
        self.remote *= 1.0 - fraction;
    }
}

/// The queue of requests for one kind of endpoint, or for all kinds.
#[derive(Debug, Default)]
pub(crate) struct DispatchQueue {
    pub kind: Option<KindId>,
    /// Tags are on a virtual clock: real time plus this offset, in microseconds. A synchronization point
    /// changes only the offset.
    pub clock_offset: Micros,
    /// One bucket for each tenant, and a last one for requests without a tenant.
    pub buckets: Vec<TokenBucket>,
    /// Requests whose start tag lies ahead, by start tag.
    waiting: BTreeSet<(Micros, RequestId)>,
    /// Eligible requests, by finish tag.
    eligible: BTreeSet<(Micros, RequestId)>,
    pub concurrency: ConcurrencyLimit,
    pub start_wait: StartWait,
    /// Total size of the requests that were served.
    pub completed: DecayingSum,
    /// Number of live endpoints that run the queue's jobs.
    pub live_endpoints: usize,
    /// The live endpoints of the scheduler's own zone, in an order private to the scheduler.
    pub local: EndpointOrder,
    /// The live endpoints of other zones, in an order private to the scheduler.
    pub remote: EndpointOrder,
}

impl DispatchQueue {
    /// Adds the queues and buckets that the settings need and that don't exist yet. A new tenant takes over
    /// the bucket of requests without a tenant, so that all indices keep their counts.
    pub fn add_missing(queues: &mut Vec<DispatchQueue>, settings: &Settings) {
        for class in &settings.classes {
            if !queues.iter().any(|queue| queue.kind == class.kind) {
                queues.push(DispatchQueue { kind: class.kind, ..DispatchQueue::default() });
            }
        }
        for queue in queues {
            queue.buckets.resize(settings.tenants.len() + 1, TokenBucket::default());
        }
    }

    /// Takes the cost of a request from its tenant's bucket, and returns the request's start tag.
    pub fn assign_start_tag(&mut self, now: Micros, tenant: usize, parameters: BucketParameters) -> Micros {
        let clock = now + self.clock_offset;
        let is_idle = self.concurrency.in_flight == 0 && self.waiting.is_empty() && self.eligible.is_empty();
        let bucket = &mut self.buckets[tenant];
        let BucketParameters { rate, depth, cost, refills_when_idle } = parameters;
        let grown = if refills_when_idle && is_idle {
            f64::MAX
        } else {
            bucket.tokens + rate * (now - bucket.updated_at) as f64
        };
        bucket.tokens = grown.min(depth.max(cost));
        bucket.updated_at = now;
        let start = if bucket.tokens >= cost {
            clock
        } else if bucket.tokens > 0.0 {
            clock + ((cost - bucket.tokens) / rate) as Micros
        } else {
            bucket.max_start_tag.max(clock) + (cost / rate) as Micros
        };
        bucket.max_start_tag = start;
        bucket.tokens -= cost;
        start
    }

    /// Queues a request by its start tag.
    pub fn push(&mut self, id: RequestId, tenant: usize, start_tag: Micros) {
        self.buckets[tenant].queued += 1;
        self.waiting.insert((start_tag, id));
    }

    /// Removes a request from the queue.
    pub fn remove(&mut self, id: RequestId, tenant: usize, start_tag: Micros, finish_tag: Micros) {
        self.buckets[tenant].queued -= 1;
        self.waiting.remove(&(start_tag, id));
        self.eligible.remove(&(finish_tag, id));
    }

    /// Makes requests eligible whose start tag has been reached.
    pub fn admit_eligible(&mut self, now: Micros, finish_tag: impl Fn(RequestId) -> Micros) {
        let clock = now + self.clock_offset;
        while let Some(&(_, id)) = self.waiting.first().filter(|(start, _)| *start <= clock) {
            self.waiting.pop_first();
            self.eligible.insert((finish_tag(id), id));
        }
    }

    /// Returns the eligible request with the least finish tag.
    pub fn first_eligible(&self) -> Option<RequestId> {
        self.eligible.first().map(|(_, id)| *id)
    }

    /// Returns the least start tag that lies ahead, and its request.
    pub fn first_waiting(&self) -> Option<(Micros, RequestId)> {
        self.waiting.first().copied()
    }

    /// Carries out a synchronization point: moves the virtual clock to a start tag, and refills the buckets
    /// of tenants without queued requests.
    pub fn synchronize(&mut self, now: Micros, start_tag: Micros) {
        self.clock_offset = start_tag - now;
        for bucket in self.buckets.iter_mut().filter(|bucket| bucket.queued == 0) {
            // Limited to the bucket's depth at its next use.
            bucket.tokens = f64::MAX;
        }
    }

    /// Updates the orders of live endpoints that run the queue's jobs. Removed endpoints are dropped, and
    /// new ones get a random position.
    pub fn refresh_endpoints(&mut self, endpoints: &EndpointTable, zone: ZoneId, rng: &mut Rand64) {
        let kind = self.kind;
        let is_usable =
            |e: &Endpoint| e.state == EndpointState::Live && kind.is_none_or(|kind| kind == e.kind);
        let live: Vec<&Endpoint> = endpoints.iter().map(|e| &e.endpoint).filter(|e| is_usable(e)).collect();
        self.live_endpoints = live.len();
        for (order, is_local) in [(&mut self.local, true), (&mut self.remote, false)] {
            let listed = live.iter().filter(|e| is_local == (e.zone == zone)).map(|e| e.id);
            let listed: BTreeSet<EndpointId> = listed.collect();
            let mut ids: Vec<EndpointId> =
                order.ids().iter().copied().filter(|id| listed.contains(id)).collect();
            let kept: BTreeSet<EndpointId> = ids.iter().copied().collect();
            for id in listed.difference(&kept) {
                ids.push(*id);
                let len = ids.len();
                ids.swap(len - 1, rng.rand_range(0..len as u64) as usize);
            }
            order.set(ids, |id| endpoints[id].awaits_start());
        }
    }

    /// Updates whether an endpoint awaits a start.
    pub fn update_waiting(&mut self, endpoint: EndpointId, tracked: Option<&TrackedEndpoint>) {
        let is_waiting = tracked.is_some_and(TrackedEndpoint::awaits_start);
        self.local.set_waiting(endpoint, is_waiting);
        self.remote.set_waiting(endpoint, is_waiting);
    }

    /// Returns the smaller mean start wait of the zones that have endpoints, in microseconds. The own zone
    /// always counts.
    pub fn least_start_wait(&self) -> f64 {
        if self.remote.len() == 0 {
            self.start_wait.local
        } else {
            self.start_wait.local.min(self.start_wait.remote)
        }
    }

    /// Swaps an endpoint among the first `preferred` of its order with a random one of the others.
    pub fn demote(&mut self, endpoint: EndpointId, preferred: usize, rng: &mut Rand64) {
        for order in [&mut self.local, &mut self.remote] {
            let len = order.len();
            let position = order.position(endpoint).filter(|p| *p < preferred && len > preferred);
            if let Some(position) = position {
                order.swap(position, rng.rand_range(preferred as u64..len as u64) as usize);
            }
        }
    }
}
