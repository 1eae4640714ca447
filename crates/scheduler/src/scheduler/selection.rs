//! Endpoint selection: which endpoint gets an attempt.

use super::Scheduler;
use crate::endpoint::EndpointState;
use crate::endpoint_order::{Candidates, EndpointOrder};
use crate::endpoint_table::TrackedEndpoint;
use crate::fair_queue::DispatchQueue;
use crate::ids::{EndpointId, KeyId, ZoneId};
use crate::request::{Job, PendingRequest};
use oorandom::Rand64;

/// Random endpoints compared for each attempt, in the own zone and again outside it.
pub(super) const COMPARED: usize = 3;
/// Endpoints that may be compared are looked for until so many times [`COMPARED`] are found.
const LOOKED_FOR: usize = 4;
/// The share lost that the cost of another zone is weighed against, if less is lost.
pub(super) const MIN_LOST_SHARE: f64 = 0.05;
/// Attempts at an endpoint beyond its part of those in flight, where starts are not reported.
const UNREPORTED_SLACK: f64 = 4.0;
/// The weight of an endpoint where the job would end too late, relative to others.
const TOO_SLOW_FACTOR: f64 = 1e-9;
/// The least capacity that an endpoint is weighed by.
const MIN_CAPACITY: f64 = 0.001;
/// An overload rejection at so many attempts is the most that is counted with.
const MAX_COUNTED_ATTEMPTS: u32 = 8;
/// The least share of overload rejections that retries are divided by.
const MIN_OVERLOADED_SHARE: f64 = 1e-3;

/// An endpoint that may get the attempt, with its weight: its capacity for the job.
struct Candidate<'a> {
    weight: f64,
    tracked: &'a TrackedEndpoint,
}

/// The least loaded endpoint of a zone, or of the other zones.
struct Best {
    /// The load per weight, with half of the job's own.
    score: f64,
    endpoint: EndpointId,
}

/// What the selection of an endpoint for one request goes by.
struct Selection<'a> {
    scheduler: &'a Scheduler,
    request: &'a PendingRequest,
    queue: &'a DispatchQueue,
    /// Endpoints that the own traffic keeps busy, of each order.
    preferred: usize,
    /// So many candidates are enough.
    enough: usize,
    /// Attempts that may be at an endpoint whose starts are not reported.
    max_in_flight: f64,
    /// What the cost of another zone is weighed against.
    lost: f64,
    /// What is lost on the way within the own zone.
    local_loss: f64,
    /// Suspected endpoints are candidates, too.
    includes_suspected: bool,
}

impl<'a> Selection<'a> {
    fn new(
        scheduler: &'a Scheduler,
        request: &'a PendingRequest,
        queue_index: usize,
        includes_suspected: bool,
    ) -> Self {
        let queue = &scheduler.queues[queue_index];
        let endpoints = (queue.local.len() + queue.remote.len()) as f64;
        let in_flight = f64::from(queue.concurrency.in_flight);
        let settings = &scheduler.settings;
        Selection {
            scheduler,
            request,
            queue,
            preferred: scheduler.preferred_count(queue_index),
            // For a key all are ranked: the greatest rank of any has to be found.
            enough: request.job.key.map_or(COMPARED, |_| usize::MAX / LOOKED_FOR),
            max_in_flight: if settings.reports_starts {
                f64::MAX
            } else {
                1.0 + UNREPORTED_SLACK * (in_flight + 1.0) / endpoints
            },
            lost: scheduler.lost_share(queue_index).max(MIN_LOST_SHARE),
            local_loss: scheduler.zone_losses.loss(settings.zone),
            includes_suspected,
        }
    }

    /// The least loaded endpoint in the own zone and outside it.
    fn best(&self) -> Option<EndpointId> {
        let mut rng = self.scheduler.rng;
        let mut best: Option<Best> = None;
        for order in [&self.queue.local, &self.queue.remote] {
            let found = self.best_of(order, &mut rng);
            if let Some(found) = found.filter(|found| best.as_ref().is_none_or(|b| found.score < b.score)) {
                best = Some(found);
            }
        }
        best.map(|best| best.endpoint)
    }

    /// The least loaded of a few random endpoints of an order.
    fn best_of(&self, order: &EndpointOrder, rng: &mut Rand64) -> Option<Best> {
        let mut candidates = self.candidates(order, rng);
        // Departure: an endpoint fetches what a key names with its first job of it, and caches a few. All schedulers rank endpoints
        // alike for a key, and the first that is a candidate gets the job.
        let rank = |key: KeyId, k: usize| key.rank(candidates[k].tracked.endpoint.name_hash);
        let first = |key: KeyId| (0..candidates.len()).max_by_key(|k| rank(key, *k));
        if let Some(first) = self.request.job.key.and_then(first) {
            candidates = vec![candidates.swap_remove(first)];
        }
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let draws = (0..COMPARED.min(candidates.len())).filter_map(|_| draw(&candidates, total, rng));
        let loads = draws.map(|drawn| {
            let busy = f64::from(drawn.tracked.in_flight) + self.scheduler.waiting_jobs(drawn.tracked);
            (busy / drawn.weight, drawn)
        });
        let (load, least) = loads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        // The job's own share counts half: it delays only what comes later.
        Some(Best { score: load + 0.5 / least.weight, endpoint: least.tracked.endpoint.id })
    }

    /// Endpoints of an order that may get the attempt, from a random position on: what a selection costs must not grow with the
    /// number of endpoints.
    fn candidates(&self, order: &EndpointOrder, rng: &mut Rand64) -> Vec<Candidate<'a>> {
        let skips_waiting = self.scheduler.settings.reports_starts && !self.includes_suspected;
        let all = if skips_waiting { order.available() } else { Candidates::all(order.ids()) };
        let preferred = self.preferred.min(all.len());
        let from = rng.rand_range(0..preferred.max(1) as u64) as usize;
        let mut candidates = Vec::with_capacity(LOOKED_FOR * COMPARED);
        for (is_other, id) in all.rotated(from, preferred) {
            let found = candidates.len();
            if (is_other && found >= self.enough) || found >= LOOKED_FOR * self.enough {
                break;
            }
            let tracked = &self.scheduler.endpoints[id];
            let is_free = self.includes_suspected || !self.is_busy(tracked, skips_waiting);
            if is_free && self.scheduler.accepts(tracked, self.request, self.includes_suspected) {
                candidates.push(Candidate { weight: self.weight(tracked), tracked });
            }
        }
        candidates
    }

    fn is_busy(&self, tracked: &TrackedEndpoint, skips_waiting: bool) -> bool {
        let is_probed = tracked.probed_for.is_some() || self.request.probed.contains(&tracked.endpoint.id);
        is_probed
            || (skips_waiting && tracked.awaits_start())
            || f64::from(tracked.in_flight) >= self.max_in_flight
    }

    /// The capacity of an endpoint for the job.
    fn weight(&self, tracked: &TrackedEndpoint) -> f64 {
        let (scheduler, endpoint) = (self.scheduler, &tracked.endpoint);
        let is_remote = endpoint.zone != scheduler.settings.zone;
        let speed = scheduler.speed(tracked) * scheduler.slow_start_part(tracked, scheduler.now);
        let included_speed =
            if scheduler.settings.capacity_includes_speed { scheduler.kind_speed(tracked) } else { 1.0 };
        let zone_factor = if is_remote { self.zone_factor(endpoint.zone) } else { 1.0 };
        let time_factor = if self.is_too_slow(tracked, speed, is_remote) { TOO_SLOW_FACTOR } else { 1.0 };
        endpoint.capacity.max(MIN_CAPACITY) * speed / included_speed / zone_factor * time_factor
    }

    /// Departure: the cost of another zone, and what is lost on that way more than in the own zone, against the share lost.
    fn zone_factor(&self, zone: ZoneId) -> f64 {
        let more_loss = (self.scheduler.zone_losses.loss(zone) - self.local_loss).max(0.0);
        1.0 + (self.scheduler.settings.cross_zone_cost + more_loss) / self.lost
    }

    /// Whether a job with a work hint would end too late there, or with one more make an endpoint in slow start fail. Such an
    /// endpoint is taken if all that are drawn are so.
    fn is_too_slow(&self, tracked: &TrackedEndpoint, speed: f64, is_remote: bool) -> bool {
        let (scheduler, job) = (self.scheduler, &self.request.job);
        if !job.has_work_hint {
            return false;
        }
        let now = scheduler.now;
        let since_success = now - tracked.last_success_at;
        let is_recent = tracked.last_success_at > 0 && since_success < scheduler.settings.recent_eighth();
        let wait = if is_recent { tracked.start_wait as f64 } else { self.queue.start_wait.get(is_remote) };
        let time_left = (job.due_at - now) as f64;
        scheduler.would_overload(tracked, job) || wait + job.work / speed > time_left
    }
}

/// A candidate, drawn by weight: of many without a job of ours the least loaded would always be the largest.
fn draw<'c, 'a>(candidates: &'c [Candidate<'a>], total: f64, rng: &mut Rand64) -> Option<&'c Candidate<'a>> {
    let mut left = rng.rand_float() * total;
    let drawn = candidates.iter().find(|candidate| {
        left -= candidate.weight;
        left < 0.0
    });
    drawn.or(candidates.last())
}

impl Scheduler {
    /// The endpoint with the fewest of our jobs for its capacity, among a few random ones of the right kind. The random numbers are
    /// drawn from a copy: [`Scheduler::advance_rng`] has to follow where the endpoint is used.
    ///
    /// Departure: drawn from a few endpoints of an order of our own, as many as our traffic keeps busy, and from the rest only while
    /// too few of those will do. So a scheduler with little traffic keeps its connections, and a selection costs no more with more
    /// endpoints.
    pub(super) fn select_endpoint(&self, request: &PendingRequest, queue: usize) -> Option<EndpointId> {
        // With all endpoints suspected the suspicion is in question, not the endpoints: any is taken.
        for includes_suspected in [false, true] {
            let best = Selection::new(self, request, queue, includes_suspected).best();
            if best.is_some() || self.has_unsuspected(&request.job) {
                return best;
            }
        }
        None
    }

    /// Move the random numbers on, after a selection that drew from a copy.
    pub(super) fn advance_rng(&mut self) {
        self.rng.rand_u64();
    }

    fn has_unsuspected(&self, job: &Job) -> bool {
        let queue = &self.queues[job.queue];
        let mut all = queue.local.ids().iter().chain(queue.remote.ids());
        all.any(|id| !self.is_suspected(&self.endpoints[*id], job))
    }

    /// Whether a request may be sent to that endpoint now.
    pub(super) fn accepts(
        &self,
        tracked: &TrackedEndpoint,
        request: &PendingRequest,
        includes_suspected: bool,
    ) -> bool {
        tracked.endpoint.state == EndpointState::Live
            && tracked.overloaded_until <= self.now
            && (includes_suspected || !self.is_suspected(tracked, &request.job))
            && self.is_in_dedup_scope(request, tracked)
            && self.quotas.allows_connection(tracked.in_flight)
            && self.slow_start_remainder(tracked, request).is_some()
    }

    /// The jobs of other schedulers that wait there, as far as the last start shows: as much work as that waited for.
    fn waiting_jobs(&self, tracked: &TrackedEndpoint) -> f64 {
        let since_success = self.now - tracked.last_success_at;
        (tracked.start_wait - since_success).max(0) as f64 / self.mean_work()
    }

    pub(super) fn speed(&self, tracked: &TrackedEndpoint) -> f64 {
        tracked.speed.unwrap_or_else(|| self.kind_speed(tracked))
    }

    fn kind_speed(&self, tracked: &TrackedEndpoint) -> f64 {
        self.kind_speeds.get(&tracked.endpoint.kind.0).copied().unwrap_or(1.0)
    }

    /// How many endpoints of each order a queue's own traffic keeps busy.
    fn preferred_count(&self, queue: usize) -> usize {
        self.queues[queue].concurrency.mean_in_flight.ceil().max(COMPARED as f64) as usize
    }

    /// An endpoint that failed gives up its position among the preferred ones.
    pub(super) fn demote(&mut self, endpoint: EndpointId, queue: usize) {
        let preferred = self.preferred_count(queue);
        self.queues[queue].demote(endpoint, preferred, &mut self.rng);
    }

    /// The share of requests that start too late or are rejected at every attempt, of late.
    pub(super) fn lost_share(&self, queue: usize) -> f64 {
        let concurrency = &self.queues[queue].concurrency;
        let attempts = if self.settings.overloaded_may_have_run {
            1
        } else {
            self.max_attempts().min(MAX_COUNTED_ATTEMPTS) as i32
        };
        let overloaded = concurrency.overloaded_share;
        // With a retry budget only so many of those rejected get a retry.
        let budget = self.settings.retry_budget;
        let retried = budget.map_or(1.0, |b| (b.ratio / overloaded.max(MIN_OVERLOADED_SHARE)).min(1.0));
        concurrency.late_share + retried * overloaded.powi(attempts) + (1.0 - retried) * overloaded
    }
}
