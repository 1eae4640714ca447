//! Model of one backend server: processor sharing among the jobs in its slots, behind a bounded FIFO queue.

use super::draw::Needs;
use super::DispatchKey;
use crate::rules::{ColdCrash, ColdLoad};
use shorepath_scheduler::Micros;
use std::collections::VecDeque;

/// A job with less work left than this (microseconds on a core of speed 1) is done; covers rounding errors.
const DONE: f64 = 1e-3;

/// The fixed properties of a server.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Index into the scenario's server kinds.
    pub kind: u32,
    /// Index into the scenario's zones.
    pub zone: u32,
    /// Number of cores.
    pub cores: u32,
    /// Number of jobs that run at the same time.
    pub slots: u32,
    /// Work that a core does per microsecond.
    pub speed: f64,
    /// Capacity of the queue, in jobs.
    pub queue: u32,
    /// Relative growth of every job's run time per job held beyond the slots.
    pub crowding_slowdown: f64,
    /// Fraction of the capacity that is available right after a start.
    pub cold_share: f64,
    /// Time from a start until the full capacity is available.
    pub warm_up: Micros,
}

/// The load beyond which a server that is still warming up crashes.
#[derive(Clone, Copy, Debug)]
pub struct ColdOverloadLimit {
    /// Allowed load within `window`, as a multiple of the work that the server can do in that time at its present
    /// capacity.
    pub multiple: f64,
    /// Length of the sliding window over which load is summed.
    pub window: Micros,
    /// Mean work of a request over all its slots, in microseconds on a core of speed 1.
    pub mean_work: f64,
}

/// A server's response to an arriving job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The job is queued or running.
    Accepted,
    /// The job is rejected before it started.
    Full,
    /// The job overloaded the server during its warm-up, and the server crashed.
    Crashed(ColdCrash),
}

/// A job that is queued or running at a server.
#[derive(Clone, Copy, Debug)]
struct HeldJob {
    dispatch: DispatchKey,
    work_left: f64,
    needs: Needs,
}

/// A server's present state.
#[derive(Debug)]
pub struct Server {
    /// The server's fixed properties.
    pub spec: ServerSpec,
    /// Number of active faults that keep the process from running.
    pub down: u32,
    /// Number of active faults that suspend the process.
    pub paused: u32,
    /// Number of active faults that cut off the network.
    pub unreachable: u32,
    /// Number of active faults that drain the server: it finishes the jobs that it holds and rejects others.
    pub draining: u32,
    /// Time of the last start; 0 for a server that was warm when the scenario began.
    pub started_at: Micros,
    /// Remaining fraction of the speed under each active fault, by the fault's index.
    pub speed_factors: Vec<(u32, f64)>,
    /// Fraction of jobs that fail under each active fault, by the fault's index.
    pub failure_shares: Vec<(u32, f64)>,
    /// Number of open connections.
    pub connections: u32,
    /// Incremented with each change of the running jobs; a completion event with an older revision is stale.
    pub revision: u32,
    running: Vec<HeldJob>,
    queue: VecDeque<HeldJob>,
    queued_work: f64,
    at: Micros,
    /// Total work done, in microseconds on a core of speed 1.
    pub done: f64,
    cold_load: ColdLoad,
}

impl Server {
    /// Returns a warm, idle server.
    pub fn new(spec: ServerSpec) -> Self {
        Server {
            spec,
            down: 0,
            paused: 0,
            unreachable: 0,
            draining: 0,
            started_at: 0,
            speed_factors: Vec::new(),
            failure_shares: Vec::new(),
            connections: 0,
            revision: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            queued_work: 0.0,
            at: 0,
            done: 0.0,
            cold_load: ColdLoad::default(),
        }
    }

    /// Returns whether the server is still warming up.
    pub fn is_cold(&self, now: Micros) -> bool {
        self.started_at > 0 && now < self.started_at + self.spec.warm_up
    }

    /// Returns the fraction of the capacity that is available, given the time since the start.
    fn warm_up_factor(&self, now: Micros) -> f64 {
        if !self.is_cold(now) {
            return 1.0;
        }
        let age = (now - self.started_at) as f64 / self.spec.warm_up as f64;
        self.spec.cold_share + (1.0 - self.spec.cold_share) * age.max(0.0)
    }

    /// Returns the work per microsecond that the server does now with all cores busy; 0 while paused or down.
    pub fn capacity(&self, now: Micros) -> f64 {
        let is_running = f64::from(u8::from(self.paused == 0 && self.down == 0));
        self.running_capacity(now) * is_running
    }

    /// Returns the capacity regardless of pauses, because a paused server must not count as overloaded by the
    /// load that it received earlier.
    fn running_capacity(&self, now: Micros) -> f64 {
        let faults: f64 = self.speed_factors.iter().map(|f| f.1).product();
        f64::from(self.spec.cores) * self.spec.speed * faults * self.warm_up_factor(now)
    }

    /// Returns the work per microsecond that each running job receives.
    fn rate(&self, now: Micros) -> f64 {
        let held = (self.running.len() + self.queue.len()) as f64;
        let crowded = 1.0 + self.spec.crowding_slowdown * (held - f64::from(self.spec.slots)).max(0.0);
        let cores = f64::from(self.spec.cores).max(f64::from(self.used_resources().0));
        self.capacity(now) / crowded / cores
    }

    /// Accounts for the work done until `now`. Must be called before the server's state changes.
    pub fn advance(&mut self, now: Micros) {
        if self.running.is_empty() {
            self.at = now;
            return;
        }
        // Uses the rate at the previous update, which is exact only for a warm server: during warm-up, callers
        // advance the server at short intervals.
        let step = self.rate(self.at) * (now - self.at) as f64;
        self.at = now;
        for load in &mut self.running {
            self.done += step.min(load.work_left);
            load.work_left -= step;
        }
    }

    /// Removes and returns the running jobs that have no work left, in the order of their start.
    fn finished(&mut self) -> Vec<DispatchKey> {
        let done = self.running.iter().filter(|r| r.work_left <= DONE).map(|r| r.dispatch).collect();
        self.running.retain(|r| r.work_left > DONE);
        done
    }

    /// Returns when the next running job will finish if nothing changes: after `now`, or `None` if no job makes
    /// progress.
    pub fn next_finish(&self, now: Micros) -> Option<Micros> {
        let rate = self.rate(now);
        let least = self.running.iter().map(|r| r.work_left).min_by(f64::total_cmp)?;
        (rate > 0.0).then(|| now + (least / rate).ceil().clamp(1.0, 1e15) as Micros)
    }

    /// Returns the slots and the memory that running jobs occupy.
    fn used_resources(&self) -> (u32, f64) {
        self.running.iter().fold((0, 0.0), |u, r| (u.0 + r.needs.slots, u.1 + r.needs.memory))
    }

    /// Returns whether a job with these needs can start beside the running ones.
    fn fits(&self, needs: Needs) -> bool {
        let (slots, memory) = self.used_resources();
        slots + needs.slots <= self.spec.slots && memory + needs.memory <= f64::from(self.spec.slots)
    }

    /// Returns whether a job with these needs can start at once or be queued. A job that exceeds the server's
    /// total slots or memory is never accepted.
    pub fn can_accept(&self, needs: Needs) -> bool {
        let total_slots = self.spec.slots;
        let never_fits = needs.slots > total_slots || needs.memory > f64::from(total_slots);
        !never_fits
            && ((self.queue.is_empty() && self.fits(needs)) || self.queue.len() < self.spec.queue as usize)
    }

    fn push(&mut self, dispatch: DispatchKey, work_left: f64, needs: Needs) {
        self.queued_work += work_left;
        self.queue.push_back(HeldJob { dispatch, work_left, needs });
    }

    /// Starts the job at the head of the queue if it fits; a head that does not fit blocks the jobs behind it.
    fn start_next(&mut self) -> Option<DispatchKey> {
        let first = *self.queue.front().filter(|first| self.fits(first.needs))?;
        self.queue.pop_front();
        self.queued_work -= first.work_left;
        self.running.push(first);
        Some(first.dispatch)
    }

    /// Removes a job and returns its remaining work, or `None` if the server does not hold it.
    pub fn remove(&mut self, dispatch: DispatchKey) -> Option<f64> {
        if let Some(k) = self.running.iter().position(|r| r.dispatch == dispatch) {
            return Some(self.running.remove(k).work_left);
        }
        let k = self.queue.iter().position(|r| r.dispatch == dispatch)?;
        let work_left = self.queue.remove(k)?.work_left;
        self.queued_work -= work_left;
        Some(work_left)
    }

    /// Removes all jobs and closes all connections. Returns each job with its remaining work, running jobs first.
    pub fn drop_all(&mut self) -> Vec<(DispatchKey, f64)> {
        let all = self.running.drain(..).chain(self.queue.drain(..));
        let all = all.map(|l| (l.dispatch, l.work_left)).collect();
        (self.queued_work, self.connections) = (0.0, 0);
        self.cold_load.clear();
        all
    }

    /// Returns the number of running and queued jobs.
    pub fn held(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns the remaining work of all running and queued jobs.
    pub fn backlog(&self) -> f64 {
        self.running.iter().map(|r| r.work_left).sum::<f64>() + self.queued_work
    }

    /// Queues an arriving job of the given work and needs unless the server is full or the job crashes it.
    /// `sender_informed` is whether the sending node knew of the server's last start.
    pub fn admit(
        &mut self,
        now: Micros,
        dispatch: DispatchKey,
        (work, needs): (f64, Needs),
        sender_informed: bool,
        limit: ColdOverloadLimit,
    ) -> Admission {
        if self.is_cold(now) {
            let requests = work * f64::from(needs.slots) / limit.mean_work;
            let allowed = limit.multiple * self.running_capacity(now) * limit.window as f64 / limit.mean_work;
            if let Some(crash) =
                self.cold_load.record(now, requests, sender_informed, (allowed, limit.window))
            {
                return Admission::Crashed(crash);
            }
        }
        if self.draining > 0 || !self.can_accept(needs) {
            return Admission::Full;
        }
        self.advance(now);
        self.push(dispatch, work, needs);
        Admission::Accepted
    }

    /// Advances the server to `now`. Returns the jobs that finished and those that started in their place.
    pub fn step(&mut self, now: Micros) -> (Vec<DispatchKey>, Vec<DispatchKey>) {
        self.advance(now);
        let done = self.finished();
        let begun = std::iter::from_fn(|| self.start_next()).collect();
        self.revision += 1;
        (done, begun)
    }

    /// Returns the fraction of jobs that fail under all active faults together.
    pub fn failure_share(&self) -> f64 {
        1.0 - self.failure_shares.iter().map(|f| 1.0 - f.1).product::<f64>()
    }
}
