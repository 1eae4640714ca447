//! Which server gets the next job.

use super::book::{Book, Out, Waiting};
use super::Fleet;
use crate::sim::draw::Needs;
use shorepath_scheduler::{AttemptStatus, EndpointId};

/// How a server is chosen.
pub trait Choice {
    /// The server for that request, if there is any.
    fn pick(&mut self, book: &mut Book, job: &Waiting, fleet: &Fleet) -> Option<EndpointId>;

    /// An attempt has ended.
    fn learn(&mut self, _: &mut Book, _: Out, _: AttemptStatus) {}
}

/// Anyone.
#[derive(Debug)]
pub struct Random;

impl Choice for Random {
    fn pick(&mut self, book: &mut Book, _: &Waiting, _: &Fleet) -> Option<EndpointId> {
        book.any()
    }
}

/// One after the other.
#[derive(Debug, Default)]
pub struct RoundRobin(Option<EndpointId>);

impl Choice for RoundRobin {
    fn pick(&mut self, book: &mut Book, _: &Waiting, _: &Fleet) -> Option<EndpointId> {
        if self.0.is_none() {
            // Each node begins elsewhere, or all would walk in step.
            self.0 = book.any();
        }
        let last = self.0?;
        let next = book.live.partition_point(|w| *w <= last);
        let found = book.live.get(next).or(book.live.first()).copied();
        self.0 = found.or(self.0);
        found
    }
}

/// The fewest jobs of ours in flight among two random ones: the power of two choices (Mitzenmacher 1996).
#[derive(Debug)]
pub struct LeastOfTwo;

impl Choice for LeastOfTwo {
    fn pick(&mut self, book: &mut Book, _: &Waiting, _: &Fleet) -> Option<EndpointId> {
        let (a, b) = (book.any()?, book.any()?);
        let of = |w: &EndpointId| book.known[w].in_flight;
        Some(if of(&b) < of(&a) { b } else { a })
    }
}

/// The lesser of two random ones by a peak-sensitive running latency times the jobs of ours in flight: the
/// "Peak EWMA" that Finagle published and others took over.
#[derive(Debug)]
pub struct PeakEwma {
    /// The time over which a latency fades, in microseconds.
    decay: f64,
}

impl Default for PeakEwma {
    fn default() -> Self {
        PeakEwma { decay: 10e6 }
    }
}

impl PeakEwma {
    fn cost(&self, book: &Book, w: EndpointId) -> f64 {
        let k = &book.known[&w];
        let faded = k.latency * (-((book.now - k.seen) as f64) / self.decay).exp();
        // One of which nothing is known but that jobs are out there costs much.
        if k.latency == 0.0 && k.in_flight > 0 {
            return 1e12 + f64::from(k.in_flight);
        }
        faded * f64::from(k.in_flight + 1)
    }
}

impl Choice for PeakEwma {
    fn pick(&mut self, book: &mut Book, _: &Waiting, _: &Fleet) -> Option<EndpointId> {
        let (a, b) = (book.any()?, book.any()?);
        Some(if self.cost(book, b) < self.cost(book, a) { b } else { a })
    }

    fn learn(&mut self, book: &mut Book, out: Out, _: AttemptStatus) {
        let (now, decay) = (book.now, self.decay);
        let Some(k) = book.known.get_mut(&out.worker) else { return };
        let rtt = (now - out.sent) as f64;
        let weight = (-((now - k.seen) as f64) / decay).exp();
        k.latency = if rtt > k.latency { rtt } else { k.latency * weight + rtt * (1.0 - weight) };
        k.seen = now;
    }
}

/// Sees the true state of all servers and the work of each job: the least expected end among up to 64 of them,
/// and nothing that would have to wait and be late. A strong policy, no proven bound: it knows the work held,
/// not what others send meanwhile.
#[derive(Debug)]
pub struct Clairvoyant;

/// What a crossing of zones is taken to cost, against a job's own time.
const CROSSING: f64 = 0.2;

impl Clairvoyant {
    /// The time that the job would wait there, and that it would run.
    fn expect(book: &Book, w: EndpointId, fleet: &Fleet, work: f64) -> Option<(f64, f64)> {
        let (s, now) = (fleet.get(w.0 as usize)?, book.now);
        let fit = s.down == 0 && s.cut == 0 && s.draining == 0 && s.paused == 0 && s.has_room(Needs::ONE);
        if !fit || (s.is_cold(now) && s.held() > 0) {
            return None;
        }
        let capacity = s.capacity(now).max(1e-9);
        let run = work * f64::from(s.make.cores) / capacity;
        // Jobs of ours on the way are not in its backlog yet.
        let coming = f64::from(book.known[&w].in_flight) - s.held() as f64;
        let held = s.held() as f64 + coming.max(0.0);
        let busy = held >= f64::from(s.make.slots);
        let wait = if busy { s.backlog() / capacity } else { 0.0 };
        Some((wait + coming.max(0.0) * run / f64::from(s.make.cores), run))
    }
}

impl Choice for Clairvoyant {
    fn pick(&mut self, book: &mut Book, job: &Waiting, fleet: &Fleet) -> Option<EndpointId> {
        let all = book.live.len() <= 64;
        let drawn: Vec<EndpointId> =
            if all { book.live.clone() } else { (0..64).filter_map(|_| book.any()).collect() };
        let work = job.request.work_hint.unwrap_or(100_000) as f64;
        let expected = drawn.into_iter().filter_map(|w| {
            let (wait, run) = Clairvoyant::expect(book, w, fleet, work)?;
            let far = book.known[&w].member.zone != book.set.zone;
            Some((wait + run * if far { 1.0 + CROSSING } else { 1.0 }, wait, w))
        });
        let (end, wait, worker) = expected.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let class = &book.set.classes[job.request.class.0];
        let due = (job.due - book.now) as f64 + class.work_factor * work;
        (wait <= 0.0 || end <= due).then_some(worker)
    }
}

/// The shortest true queue among so many random ones, ties to the first drawn: the supermarket model.
#[derive(Debug)]
pub struct Shortest(pub u32);

impl Choice for Shortest {
    fn pick(&mut self, book: &mut Book, _: &Waiting, fleet: &Fleet) -> Option<EndpointId> {
        let drawn: Vec<EndpointId> = (0..self.0).filter_map(|_| book.any()).collect();
        drawn.into_iter().min_by_key(|w| fleet.get(w.0 as usize).map_or(usize::MAX, |s| s.held()))
    }
}
