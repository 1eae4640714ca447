//! Algorithms that choose the server for an attempt.

use super::comparator::{FleetView, InFlight, PendingRequest};
use super::Fleet;
use crate::sim::draw::Needs;
use shorepath_scheduler::{AttemptStatus, EndpointId};

/// An algorithm that chooses a server.
pub trait Choice {
    /// Returns the server for a request, or `None` to give up the request.
    fn pick(&mut self, view: &mut FleetView, pending: &PendingRequest, fleet: &Fleet) -> Option<EndpointId>;

    /// Observes the end of an attempt.
    fn attempt_ended(&mut self, _: &mut FleetView, _: InFlight, _: AttemptStatus) {}
}

/// A uniformly random server.
#[derive(Debug)]
pub struct Random;

impl Choice for Random {
    fn pick(&mut self, view: &mut FleetView, _: &PendingRequest, _: &Fleet) -> Option<EndpointId> {
        view.random_live()
    }
}

/// Round robin in the order of ids.
#[derive(Debug, Default)]
pub struct RoundRobin(Option<EndpointId>);

impl Choice for RoundRobin {
    fn pick(&mut self, view: &mut FleetView, _: &PendingRequest, _: &Fleet) -> Option<EndpointId> {
        if self.0.is_none() {
            // A random start keeps nodes from sending to the same servers at the same time.
            self.0 = view.random_live();
        }
        let last = self.0?;
        let next = view.live.partition_point(|endpoint| *endpoint <= last);
        let found = view.live.get(next).or(view.live.first()).copied();
        self.0 = found.or(self.0);
        found
    }
}

/// Power of two choices (Mitzenmacher 1996): of two random servers, the one with fewer attempts of this node in
/// flight.
#[derive(Debug)]
pub struct LeastOfTwo;

impl Choice for LeastOfTwo {
    fn pick(&mut self, view: &mut FleetView, _: &PendingRequest, _: &Fleet) -> Option<EndpointId> {
        let (first, second) = (view.random_live()?, view.random_live()?);
        let in_flight = |endpoint: &EndpointId| view.servers[endpoint].in_flight;
        Some(if in_flight(&second) < in_flight(&first) { second } else { first })
    }
}

/// Peak EWMA, as in Finagle: of two random servers, the one with the lower product of a peak-sensitive moving average
/// of the latency and the number of this node's attempts in flight.
#[derive(Debug)]
pub struct PeakEwma {
    /// Time constant of the moving average, in microseconds.
    decay: f64,
}

impl Default for PeakEwma {
    fn default() -> Self {
        PeakEwma { decay: 10e6 }
    }
}

impl PeakEwma {
    fn cost(&self, view: &FleetView, endpoint: EndpointId) -> f64 {
        let server = &view.servers[&endpoint];
        let decayed = server.latency * (-((view.now - server.updated_at) as f64) / self.decay).exp();
        // A server with attempts in flight but no known latency is avoided.
        if server.latency == 0.0 && server.in_flight > 0 {
            return 1e12 + f64::from(server.in_flight);
        }
        decayed * f64::from(server.in_flight + 1)
    }
}

impl Choice for PeakEwma {
    fn pick(&mut self, view: &mut FleetView, _: &PendingRequest, _: &Fleet) -> Option<EndpointId> {
        let (first, second) = (view.random_live()?, view.random_live()?);
        Some(if self.cost(view, second) < self.cost(view, first) { second } else { first })
    }

    fn attempt_ended(&mut self, view: &mut FleetView, attempt: InFlight, _: AttemptStatus) {
        let (now, decay) = (view.now, self.decay);
        let Some(server) = view.servers.get_mut(&attempt.endpoint) else { return };
        let latency = (now - attempt.sent) as f64;
        let weight = (-((now - server.updated_at) as f64) / decay).exp();
        server.latency = if latency > server.latency {
            latency
        } else {
            server.latency * weight + latency * (1.0 - weight)
        };
        server.updated_at = now;
    }
}

/// Chooses by the true state of the servers and the true work of the job: the earliest expected completion among up
/// to 64 servers. Gives up a request that would have to wait and be late.
///
/// It is not an upper bound for other policies, since it does not know what other nodes send at the same time.
#[derive(Debug)]
pub struct Clairvoyant;

/// Cost of crossing zones, relative to the job's run time.
const CROSS_ZONE_PENALTY: f64 = 0.2;

impl Clairvoyant {
    /// Returns the expected waiting time and run time of a job, or `None` if the server can't take it.
    fn expected_times(
        view: &FleetView,
        endpoint: EndpointId,
        fleet: &Fleet,
        work: f64,
    ) -> Option<(f64, f64)> {
        let (s, now) = (fleet.get(endpoint.0 as usize)?, view.now);
        let is_usable =
            s.down == 0 && s.unreachable == 0 && s.draining == 0 && s.paused == 0 && s.can_accept(Needs::ONE);
        if !is_usable || (s.is_cold(now) && s.held() > 0) {
            return None;
        }
        let capacity = s.capacity(now).max(1e-9);
        let run_time = work * f64::from(s.spec.cores) / capacity;
        // Attempts of this node that are still on the way are not part of the backlog.
        let on_the_way = f64::from(view.servers[&endpoint].in_flight) - s.held() as f64;
        let held = s.held() as f64 + on_the_way.max(0.0);
        let busy = held >= f64::from(s.spec.slots);
        let wait = if busy { s.backlog() / capacity } else { 0.0 };
        Some((wait + on_the_way.max(0.0) * run_time / f64::from(s.spec.cores), run_time))
    }
}

impl Choice for Clairvoyant {
    fn pick(&mut self, view: &mut FleetView, pending: &PendingRequest, fleet: &Fleet) -> Option<EndpointId> {
        let use_all = view.live.len() <= 64;
        let candidates: Vec<EndpointId> =
            if use_all { view.live.clone() } else { (0..64).filter_map(|_| view.random_live()).collect() };
        let work = pending.request.work_hint.unwrap_or(100_000) as f64;
        let expected = candidates.into_iter().filter_map(|endpoint| {
            let (wait, run_time) = Clairvoyant::expected_times(view, endpoint, fleet, work)?;
            let crosses_zones = view.servers[&endpoint].endpoint.zone != view.settings.zone;
            Some((
                wait + run_time * if crosses_zones { 1.0 + CROSS_ZONE_PENALTY } else { 1.0 },
                wait,
                endpoint,
            ))
        });
        let (end, wait, endpoint) = expected.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let class = &view.settings.classes[pending.request.class.0];
        let time_left = (pending.target_time - view.now) as f64 + class.work_factor * work;
        (wait <= 0.0 || end <= time_left).then_some(endpoint)
    }
}

/// The supermarket model: the server with the fewest jobs among the given number of random ones; the first drawn wins
/// ties.
#[derive(Debug)]
pub struct Shortest(pub u32);

impl Choice for Shortest {
    fn pick(&mut self, view: &mut FleetView, _: &PendingRequest, fleet: &Fleet) -> Option<EndpointId> {
        let candidates: Vec<EndpointId> = (0..self.0).filter_map(|_| view.random_live()).collect();
        candidates
            .into_iter()
            .min_by_key(|endpoint| fleet.get(endpoint.0 as usize).map_or(usize::MAX, |s| s.held()))
    }
}
