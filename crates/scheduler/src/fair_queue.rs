//! One server of Redemptive Fair Queuing: the queue of requests for one kind of endpoint, with its own tags, buckets and
//! concurrency limit ("Redemptive Fair Queuing", Gulati and Varman, sections 3 and 4).

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

/// A deficit token bucket. Tokens are slots, times the work hint in microseconds where there is one.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    pub tokens: f64,
    pub updated_at: Micros,
    /// The greatest start tag that was given.
    pub max_start: Micros,
    /// Requests in the queue.
    pub queued: u32,
    /// Clients of the tenant give up early, so the time that remains shows nothing of a retry's age.
    pub gives_up_early: bool,
}

/// How a token bucket grows, and what a request takes of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BucketTerms {
    /// Tokens by the microsecond (rho).
    pub rate: f64,
    /// Tokens that are saved at most (sigma).
    pub depth: f64,
    /// Tokens that the request takes.
    pub cost: f64,
    /// The bucket is refilled where the queue is idle.
    pub refills_when_idle: bool,
}

/// Running means of the time from an attempt to its start, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartWait {
    /// In the scheduler's own zone.
    pub local: f64,
    /// In other zones.
    pub remote: f64,
}

impl StartWait {
    /// The mean for endpoints of other zones, or of the own one.
    pub fn get(&self, is_remote: bool) -> f64 {
        if is_remote {
            self.remote
        } else {
            self.local
        }
    }

    /// See [`StartWait::get`].
    pub fn get_mut(&mut self, is_remote: bool) -> &mut f64 {
        if is_remote {
            &mut self.remote
        } else {
            &mut self.local
        }
    }

    /// Lower both by that part.
    pub fn lower_by(&mut self, part: f64) {
        self.local *= 1.0 - part;
        self.remote *= 1.0 - part;
    }
}

/// The queue of requests for one kind of endpoint, or for all of them.
#[derive(Debug, Default)]
pub(crate) struct DispatchQueue {
    pub kind: Option<KindId>,
    /// Tags are on a virtual clock, real time plus this; a synchronization point only moves the offset.
    pub clock_offset: Micros,
    /// One for each tenant, and the last for requests without one.
    pub buckets: Vec<TokenBucket>,
    /// Requests by start tag while that lies ahead.
    waiting: BTreeSet<(Micros, RequestId)>,
    /// Requests by finish tag once they are eligible.
    eligible: BTreeSet<(Micros, RequestId)>,
    pub concurrency: ConcurrencyLimit,
    pub start_wait: StartWait,
    /// Size of the requests that were served.
    pub completed: DecayingSum,
    /// How many live endpoints run its jobs.
    pub live_endpoints: usize,
    /// The live endpoints of the scheduler's own zone, in an order of its own.
    pub local: EndpointOrder,
    /// The live endpoints of other zones, in an order of its own.
    pub remote: EndpointOrder,
}

impl DispatchQueue {
    /// Add the queues and buckets that the settings need and that are missing. One more tenant takes the place of "none", so that
    /// what is counted under an index stays there.
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

    /// Take what a request costs from its tenant's bucket; the request's start tag.
    pub fn assign_start_tag(&mut self, now: Micros, tenant: usize, terms: BucketTerms) -> Micros {
        let clock = now + self.clock_offset;
        let is_idle = self.concurrency.in_flight == 0 && self.waiting.is_empty() && self.eligible.is_empty();
        let bucket = &mut self.buckets[tenant];
        let BucketTerms { rate, depth, cost, refills_when_idle } = terms;
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
            bucket.max_start.max(clock) + (cost / rate) as Micros
        };
        bucket.max_start = start;
        bucket.tokens -= cost;
        start
    }

    /// Queue a request by its start tag.
    pub fn push(&mut self, id: RequestId, tenant: usize, start_tag: Micros) {
        self.buckets[tenant].queued += 1;
        self.waiting.insert((start_tag, id));
    }

    /// Remove a request from the queue.
    pub fn remove(&mut self, id: RequestId, tenant: usize, start_tag: Micros, finish_tag: Micros) {
        self.buckets[tenant].queued -= 1;
        self.waiting.remove(&(start_tag, id));
        self.eligible.remove(&(finish_tag, id));
    }

    /// Requests whose start tag has come are eligible from now on.
    pub fn admit_eligible(&mut self, now: Micros, finish_tag: impl Fn(RequestId) -> Micros) {
        let clock = now + self.clock_offset;
        while let Some(&(_, id)) = self.waiting.first().filter(|(start, _)| *start <= clock) {
            self.waiting.pop_first();
            self.eligible.insert((finish_tag(id), id));
        }
    }

    /// The eligible request with the least finish tag.
    pub fn first_eligible(&self) -> Option<RequestId> {
        self.eligible.first().map(|(_, id)| *id)
    }

    /// The request with the least start tag ahead, and that tag.
    pub fn first_waiting(&self) -> Option<(Micros, RequestId)> {
        self.waiting.first().copied()
    }

    /// A synchronization point: move the clock to that start tag and refill the buckets of tenants that have nothing queued.
    pub fn synchronize(&mut self, now: Micros, start_tag: Micros) {
        self.clock_offset = start_tag - now;
        for bucket in self.buckets.iter_mut().filter(|bucket| bucket.queued == 0) {
            // Capped at the depth of the bucket when it is next used.
            bucket.tokens = f64::MAX;
        }
    }

    /// Take over the live endpoints that run its jobs: those that left are dropped, those that came get a random position.
    pub fn refresh_endpoints(&mut self, endpoints: &EndpointTable, zone: ZoneId, rng: &mut Rand64) {
        let kind = self.kind;
        let runs_jobs =
            |e: &Endpoint| e.state == EndpointState::Live && kind.is_none_or(|kind| kind == e.kind);
        let live: Vec<&Endpoint> = endpoints.iter().map(|e| &e.endpoint).filter(|e| runs_jobs(e)).collect();
        self.live_endpoints = live.len();
        for (order, is_local) in [(&mut self.local, true), (&mut self.remote, false)] {
            let listed = live.iter().filter(|e| is_local == (e.zone == zone)).map(|e| e.id);
            let listed: BTreeSet<EndpointId> = listed.collect();
            let mut ids: Vec<EndpointId> =
                order.ids().iter().copied().filter(|id| listed.contains(id)).collect();
            let known: BTreeSet<EndpointId> = ids.iter().copied().collect();
            for id in listed.difference(&known) {
                ids.push(*id);
                let len = ids.len();
                ids.swap(len - 1, rng.rand_range(0..len as u64) as usize);
            }
            order.set(ids, |id| endpoints[id].awaits_start());
        }
    }

    /// Whether an endpoint awaits a start may have changed.
    pub fn update_waiting(&mut self, endpoint: EndpointId, tracked: Option<&TrackedEndpoint>) {
        let is_waiting = tracked.is_some_and(TrackedEndpoint::awaits_start);
        self.local.set_waiting(endpoint, is_waiting);
        self.remote.set_waiting(endpoint, is_waiting);
    }

    /// How long starts take now where they take least, in the own zone or outside it, in microseconds.
    pub fn least_start_wait(&self) -> f64 {
        if self.remote.len() == 0 {
            self.start_wait.local
        } else {
            self.start_wait.local.min(self.start_wait.remote)
        }
    }

    /// An endpoint gives up its position among the first `preferred` ones to one of the others.
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
