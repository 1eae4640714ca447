//! Endpoint selection: chooses the endpoint for an attempt.

use super::Scheduler;
use crate::endpoint::EndpointState;
use crate::endpoint_order::{Candidates, EndpointOrder};
use crate::endpoint_table::TrackedEndpoint;
use crate::fair_queue::DispatchQueue;
use crate::ids::{EndpointId, KeyId, ZoneId};
use crate::request::{Job, PendingRequest};
use oorandom::Rand64;

/// Number of random endpoints compared for each attempt, in the own zone and again in the other zones.
pub(super) const ENDPOINTS_COMPARED: usize = 3;
/// The search for candidates stops at this multiple of the number needed.
const SEARCH_MULTIPLE: usize = 4;
/// Lower bound of the share of lost requests that the costs of other zones and of probes are compared with.
pub(super) const MIN_LOST_SHARE: f64 = 0.05;
/// Multiple of an equal share of the attempts in flight that one endpoint may have, if starts are not
/// reported.
const UNREPORTED_SHARE_MULTIPLE: f64 = 4.0;
/// Factor for the weight of an endpoint where the job would end too late.
const TOO_SLOW_FACTOR: f64 = 1e-9;
/// Lower bound of the capacity in an endpoint's weight.
const MIN_CAPACITY: f64 = 0.001;
/// Upper bound of the attempts of a request that are assumed to be rejected independently.
const MAX_COUNTED_ATTEMPTS: u32 = 8;
/// Lower bound of the share of overload rejections in a division.
const MIN_OVERLOADED_SHARE: f64 = 1e-3;

/// An endpoint that may get the attempt. Its weight is its capacity for the job.
struct Candidate<'a> {
    weight: f64,
    tracked: &'a TrackedEndpoint,
}

/// The least loaded candidate of an order.
struct Best {
    /// Number of jobs per weight, including half of the new job.
    score: f64,
    endpoint: EndpointId,
}

/// The inputs of one endpoint selection.
struct Selection<'a> {
    scheduler: &'a Scheduler,
    request: &'a PendingRequest,
    queue: &'a DispatchQueue,
    /// Number of endpoints at the front of each order that this scheduler's traffic keeps busy.
    preferred: usize,
    /// Number of candidates after which only preferred endpoints are still considered.
    min_candidates: usize,
    /// Upper bound of the attempts in flight at an endpoint, if starts are not reported.
    max_in_flight: f64,
    /// The queue's share of lost requests, at least [`MIN_LOST_SHARE`].
    lost_share: f64,
    /// The loss of the scheduler's own zone, to compare other zones with; see `ZoneLosses::loss`.
    own_zone_loss: f64,
    /// Whether suspected endpoints are candidates, too.
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
            // With a key, all endpoints are candidates, because the one with the greatest rank must be
            // found.
            min_candidates: request.job.key.map_or(ENDPOINTS_COMPARED, |_| usize::MAX / SEARCH_MULTIPLE),
            max_in_flight: if settings.reports_starts {
                f64::MAX
            } else {
                1.0 + UNREPORTED_SHARE_MULTIPLE * (in_flight + 1.0) / endpoints
            },
            lost_share: scheduler.lost_share(queue_index).max(MIN_LOST_SHARE),
            own_zone_loss: scheduler.zone_losses.loss(settings.zone),
            includes_suspected,
        }
    }

    /// Returns the less loaded of the best endpoints in the own zone and in the other zones.
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

    /// Returns the least loaded of a few random endpoints of an order.
    fn best_of(&self, order: &EndpointOrder, rng: &mut Rand64) -> Option<Best> {
        let mut candidates = self.candidates(order, rng);
        // Departure: an endpoint loads the data of a key with its first job and caches the data of a few
        // keys. All schedulers rank endpoints equally for a key, and the candidate with the greatest rank
        // gets the job.
        let rank = |key: KeyId, k: usize| key.rank(candidates[k].tracked.endpoint.name_hash);
        let top_ranked = |key: KeyId| (0..candidates.len()).max_by_key(|k| rank(key, *k));
        if let Some(top_ranked) = self.request.job.key.and_then(top_ranked) {
            candidates = vec![candidates.swap_remove(top_ranked)];
        }
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let draws =
            (0..ENDPOINTS_COMPARED.min(candidates.len())).filter_map(|_| draw(&candidates, total, rng));
        let loads = draws.map(|drawn| {
            let busy = f64::from(drawn.tracked.in_flight) + self.scheduler.waiting_jobs(drawn.tracked);
            (busy / drawn.weight, drawn)
        });
        let (load, least_loaded) = loads.min_by(|a, b| a.0.total_cmp(&b.0))?;
        // The new job counts half, because it delays only later jobs.
        Some(Best { score: load + 0.5 / least_loaded.weight, endpoint: least_loaded.tracked.endpoint.id })
    }

    /// Returns candidates of an order, starting at a random position. Their number is limited, so that the
    /// cost of a selection does not grow with the number of endpoints.
    fn candidates(&self, order: &EndpointOrder, rng: &mut Rand64) -> Vec<Candidate<'a>> {
        let skips_waiting = self.scheduler.settings.reports_starts && !self.includes_suspected;
        let all = if skips_waiting { order.available() } else { Candidates::all(order.ids()) };
        let preferred = self.preferred.min(all.len());
        let from = rng.rand_range(0..preferred.max(1) as u64) as usize;
        let mut candidates = Vec::with_capacity(SEARCH_MULTIPLE * ENDPOINTS_COMPARED);
        for (is_other, id) in all.rotated(from, preferred) {
            let found = candidates.len();
            if (is_other && found >= self.min_candidates) || found >= SEARCH_MULTIPLE * self.min_candidates {
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

    /// Returns the capacity of an endpoint for the job, in comparison with other endpoints.
    fn weight(&self, tracked: &TrackedEndpoint) -> f64 {
        let (scheduler, endpoint) = (self.scheduler, &tracked.endpoint);
        let is_remote = endpoint.zone != scheduler.settings.zone;
        let speed = scheduler.speed(tracked) * scheduler.slow_start_load_fraction(tracked, scheduler.now);
        let included_speed =
            if scheduler.settings.capacity_includes_speed { scheduler.kind_speed(tracked) } else { 1.0 };
        let zone_factor = if is_remote { self.zone_factor(endpoint.zone) } else { 1.0 };
        let time_factor = if self.is_too_slow(tracked, speed, is_remote) { TOO_SLOW_FACTOR } else { 1.0 };
        endpoint.capacity.max(MIN_CAPACITY) * speed / included_speed / zone_factor * time_factor
    }

    /// Returns the factor by which another zone lowers a weight.
    ///
    /// Departure: it is `1 + (cross-zone cost + additional loss of that zone) / share of lost requests`.
    fn zone_factor(&self, zone: ZoneId) -> f64 {
        let additional_loss = (self.scheduler.zone_losses.loss(zone) - self.own_zone_loss).max(0.0);
        1.0 + (self.scheduler.settings.cross_zone_cost + additional_loss) / self.lost_share
    }

    /// Returns whether a job with a work hint would end too late at an endpoint, or overload one in slow
    /// start. The endpoint may still be selected if all compared ones are too slow.
    fn is_too_slow(&self, tracked: &TrackedEndpoint, speed: f64, is_remote: bool) -> bool {
        let (scheduler, job) = (self.scheduler, &self.request.job);
        if !job.has_work_hint {
            return false;
        }
        let now = scheduler.now;
        let since_success = now - tracked.last_success_at;
        let is_recent =
            tracked.last_success_at > 0 && since_success < scheduler.settings.eighth_of_recent_window();
        let wait = if is_recent { tracked.start_wait as f64 } else { self.queue.start_wait.get(is_remote) };
        let time_left = (job.due_at - now) as f64;
        scheduler.would_overload(tracked, job) || wait + job.work / speed > time_left
    }
}

/// Draws a candidate at random in proportion to its weight. Among many endpoints without jobs, selecting by
/// load alone would always yield the largest.
fn draw<'c, 'a>(candidates: &'c [Candidate<'a>], total: f64, rng: &mut Rand64) -> Option<&'c Candidate<'a>> {
    let mut left = rng.rand_float() * total;
    let drawn = candidates.iter().find(|candidate| {
        left -= candidate.weight;
        left < 0.0
    });
    drawn.or(candidates.last())
}

impl Scheduler {
    /// Selects the endpoint with the fewest jobs for its capacity among a few random ones of the right kind.
    /// The random numbers come from a copy of the generator; call [`Scheduler::advance_rng`] if the endpoint
    /// is used.
    ///
    /// Departure: candidates come from the front of an order private to this scheduler, as many as its
    /// traffic keeps busy, and from the rest only if too few of those are available. A scheduler with little
    /// traffic thus reuses its connections, and the cost of a selection does not grow with the number of
    /// endpoints.
    pub(super) fn select_endpoint(&self, request: &PendingRequest, queue: usize) -> Option<EndpointId> {
        // If all endpoints are suspected, the suspicion is unreliable, and any endpoint may be selected.
        for includes_suspected in [false, true] {
            let best = Selection::new(self, request, queue, includes_suspected).best();
            if best.is_some() || self.has_unsuspected(&request.job) {
                return best;
            }
        }
        None
    }

    /// Advances the random number generator after a selection that used a copy of it.
    pub(super) fn advance_rng(&mut self) {
        self.rng.rand_u64();
    }

    fn has_unsuspected(&self, job: &Job) -> bool {
        let queue = &self.queues[job.queue];
        let mut all = queue.local.ids().iter().chain(queue.remote.ids());
        all.any(|id| !self.is_suspected(&self.endpoints[*id], job))
    }

    /// Returns whether a request may be sent to an endpoint now.
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

    /// Estimates the number of other schedulers' jobs that wait at an endpoint, from how long the last start
    /// there took.
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

    /// Returns the number of endpoints of each order that a queue's own traffic keeps busy.
    fn preferred_count(&self, queue: usize) -> usize {
        self.queues[queue].concurrency.mean_in_flight.ceil().max(ENDPOINTS_COMPARED as f64) as usize
    }

    /// Moves a failed endpoint out of the preferred ones.
    pub(super) fn demote(&mut self, endpoint: EndpointId, queue: usize) {
        let preferred = self.preferred_count(queue);
        self.queues[queue].demote(endpoint, preferred, &mut self.rng);
    }

    /// Returns the recent share of requests that start too late or are rejected at every attempt.
    pub(super) fn lost_share(&self, queue: usize) -> f64 {
        let concurrency = &self.queues[queue].concurrency;
        let attempts = if self.settings.overloaded_may_have_run {
            1
        } else {
            self.max_attempts().min(MAX_COUNTED_ATTEMPTS) as i32
        };
        let overloaded = concurrency.overloaded_share;
        // A retry budget limits the share of rejected requests that are retried.
        let budget = self.settings.retry_budget;
        let retried = budget.map_or(1.0, |b| (b.ratio / overloaded.max(MIN_OVERLOADED_SHARE)).min(1.0));
        concurrency.late_share + retried * overloaded.powi(attempts) + (1.0 - retried) * overloaded
    }
}
