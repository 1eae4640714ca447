//! All decisions of shorepath. The interface (settings, events, actions) is in `src/api.rs`, the
//! records kept here in `src/state.rs`.
//!
//! Sections: entry; RFQ; window; pick; health; cold budget; retries and answers; the list. RFQ is
//! "Redemptive Fair Queuing", Gulati and Varman, sections 3 and 4; departures are marked `Departure:`.

use crate::api::*;
use crate::fleet::{Candidates, Workers};
use crate::parts::{Bound, Parts};
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Random workers compared for each send, in the own zone and again outside it.
const CANDIDATES: usize = 3;
/// Workers probed at a time before a send, for how long, and how often more are.
const ASKED: usize = 2;
const ASK_WAIT: Micros = 15_000;
const ASK_ROUNDS: u32 = 2;
/// What a probe is held to cost a worker, its connection counted in.
const PROBE_WORK: f64 = 4_000.0;
/// Weight of the newest sample in running means of work, pace and waits.
const BLEND: f64 = 0.1;
/// Keys, and others, that may be in doubt at a time.
const MOST_KEYS: usize = 4096;
/// The share lost that the price of another zone is set against, if less is lost.
const LEAST_LOST: f64 = 0.05;
/// Room, where starts are not told, of a worker over its part of the jobs in flight.
const ROOM: f64 = 4.0;

/// One scheduler's decisions. Feed it every event in order; it appends what to do.
#[derive(Debug, Default)]
pub struct Balancer {
    pub(crate) set: Settings,
    rng: Random,
    now: Micros,
    /// When this scheduler last found that it had stood still.
    stood: Micros,
    lanes: Vec<Lane>,
    /// Running means: the running time of each class, the size of a request (slots times hint).
    work: Vec<f64>,
    size: f64,
    pub(crate) workers: Workers,
    pub(crate) parts: Parts,
    /// Jobs served so far.
    served: u64,
    /// Size of all live workers; our completions' work on a unit of it; mean pace of each kind.
    scale: f64,
    borne: Decayed,
    paces: BTreeMap<u32, f64>,
    doubts: BTreeMap<About, Doubt>,
    reaped: Reaped,
    pub(crate) requests: HashMap<RequestId, Held>,
    pub(crate) attempts: HashMap<(RequestId, u32), Attempt>,
    wakes: BTreeSet<(Micros, Wake)>,
    armed: Option<Micros>,
    subscribe_wait: Micros,
    rationed: Rationed,
    patience: Patience,
    ways: Ways,
    demand: Demand,
}

impl Balancer {
    /// A scheduler that knows nothing but its settings.
    pub fn new(set: Settings, seed: u64) -> Self {
        let mut lanes = Vec::new();
        set.furnish(&mut lanes);
        let work = set.classes.iter().map(ClassSettings::guess).collect();
        Balancer {
            rng: Random::new(seed),
            lanes,
            work,
            size: 1.0,
            subscribe_wait: set.tick.max(1),
            demand: Demand::new(set.tenants.len()),
            set,
            ..Balancer::default()
        }
    }

    /// Take one event at time `now` and append the actions it calls for.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        // A wake-up that comes late shows that this scheduler stood still: how long what comes with
        // it took is not known, and nothing is judged stuck before it is taken in.
        let late = now - 2 * self.set.tick.max(1);
        if self.wakes.first().is_some_and(|w| w.0 < late) {
            self.stood = now;
        }
        match event {
            Event::Roster(list) => self.roster(list, true, out),
            Event::RosterChange(list) => self.roster(list, false, out),
            Event::RosterFailed => {
                self.wakes.insert((self.now + self.subscribe_wait, Wake::Subscribe));
                self.subscribe_wait = (self.subscribe_wait * 2).min(1_000_000.max(self.set.tick));
            }
            Event::Request(request) => self.arrive(request, out),
            Event::Started { id, attempt } | Event::StreamBegan { id, attempt } => self.started(id, attempt),
            Event::IdleClosed { worker, place } => self.workers.idle_closed(worker, place),
            Event::Parts(parts) => self.parts.set(now, parts),
            Event::Outcome { id, attempt, status, settled } => {
                self.outcome(id, attempt, status, settled, out)
            }
            Event::Probed { worker, status, report } => self.probed(worker, status, report, out),
            Event::Retune(renewed) => self.retune(*renewed),
            Event::Gone(id) => self.over(id, true),
            Event::Wake if self.armed.is_some_and(|at| at <= now) => self.armed = None,
            Event::Progress { .. } | Event::Wake => {}
        }
        while let Some(&(_, wake)) = self.wakes.first().filter(|w| w.0 <= now) {
            self.wakes.pop_first();
            if self.stood == now && matches!(wake, Wake::Stuck(..)) {
                self.wakes.insert((now + 1, wake));
                continue;
            }
            self.woken(wake, out);
        }
        for lane in 0..self.lanes.len() {
            self.release(lane, out);
        }
        if let Some(&(at, _)) = self.wakes.first().filter(|w| self.armed.is_none_or(|at| w.0 < at)) {
            self.armed = Some(at);
            out.push(Action::Wake { after: at - now });
        }
    }

    /// Other settings. Open requests keep the rules that they came under; a class with other rules
    /// has learned what the one that it follows had.
    fn retune(&mut self, renewed: Retuned) {
        let set = renewed.settings;
        let work = self.work.clone();
        self.work.resize(set.classes.len(), 0.0);
        for &(class, from) in renewed.fresh.iter().filter(|(class, from)| *from != Some(*class)) {
            let known = from.and_then(|f| work.get(f.0)).copied();
            self.work[class.0] = known.unwrap_or_else(|| set.classes[class.0].guess());
            About::follow(&mut self.doubts, class, from);
        }
        set.furnish(&mut self.lanes);
        self.demand.resize(set.tenants.len());
        self.set = set;
        self.order();
    }

    fn woken(&mut self, wake: Wake, out: &mut Vec<Action>) {
        match wake {
            // Held, it can no longer be in time, or its client leaves: refused while that is harmless.
            Wake::Answer(id) if self.requests.get(&id).is_some_and(|h| !h.out) => {
                self.answer_without_service(id, out)
            }
            Wake::Asked(id, n) if self.requests.get(&id).is_some_and(|h| h.round == n) => self.ask(id, out),
            Wake::Answer(_) | Wake::Asked(..) | Wake::Room => {}
            Wake::Stuck(id, attempt) => self.stuck(id, attempt, out),
            Wake::Subscribe => out.push(Action::Subscribe),
        }
    }

    // ---------------------------------------------------------------- RFQ

    /// The rate of a tenant's bucket: its share of the own completion rate, or of a full window's.
    fn rho(&self, lane: usize, tenant: usize) -> f64 {
        if let (Some(_), Some(part)) = (self.set.quota(tenant), self.parts.rate(tenant)) {
            return part; // Departure: what all schedulers agreed on
        } else if let Some(quota) = self.set.quota(tenant) {
            // Departure: rho is an even part of the tenant's quota, or what the middle one of the tenants
            // asks here of its own, if more. A busy scheduler is busy with most, a flood is of one.
            let quotas = (0..self.set.tenants.len()).filter_map(|k| Some((k, self.set.quota(k)?)));
            let mut asked: Vec<f64> = quotas.map(|(k, q)| self.asked_rate(k) * 1e6 / q).collect();
            asked.sort_unstable_by(f64::total_cmp);
            let part = asked[asked.len() / 2].clamp(1.0 / self.set.instances.max(1) as f64, 1.0);
            return part * quota / 1e6;
        }
        let l = &self.lanes[lane];
        let total: f64 = self.set.tenants.iter().map(|t| t.share.max(0.0)).sum();
        let share = match self.set.tenants.get(tenant) {
            Some(t) if total > 0.0 => t.share.max(0.0) / total,
            _ => 1.0 / l.buckets.len() as f64,
        };
        let floor = l.window * self.size / self.mean_wanted();
        share.max(0.001) * l.done.per_micro(self.now, self.set.span()).max(floor)
    }

    /// What a request takes of its bucket. Departure: one token where the quota counts requests, or a
    /// few long ones would look like a flood.
    fn tokens(&self, tenant: usize, size: f64) -> f64 {
        self.set.quota(tenant).map_or(size, |_| 1.0)
    }

    /// First tries of a tenant here, by the microsecond, since the start or over the span.
    fn asked_rate(&self, tenant: usize) -> f64 {
        let (span, age) = (self.set.span(), (self.now - self.demand.born.unwrap_or(self.now)) as f64);
        let seen = (1.0 - (-age / span).exp()).max(self.set.eighth() as f64 / span);
        self.demand.asked[tenant].per_micro(self.now, span) / seen
    }

    fn mean_work(&self) -> f64 {
        self.work.iter().sum::<f64>() / self.work.len().max(1) as f64
    }

    /// The mean time within which a job is wanted, its own work counted.
    fn mean_wanted(&self) -> f64 {
        let classes = self.set.classes.iter().zip(&self.work);
        let sum: f64 = classes.map(|(c, w)| c.aim as f64 + c.stretch * w).sum();
        (sum / self.work.len().max(1) as f64).max(1.0)
    }

    fn arrive(&mut self, r: Request, out: &mut Vec<Action>) {
        if let Err(of) = self.parts.begins(self.now, &r) {
            return out.push(Action::Bar { id: r.id, of });
        }
        if let Some(from) = self.set.ration.map(|r| self.now - r.span) {
            self.rationed.taken.push_back(self.now);
            self.rationed.forget(from);
        }
        let Some(class) = self.set.classes.get(r.class.0).cloned() else {
            return out.push(Action::Refuse { id: r.id, retry_after: None });
        };
        let lane = self.lanes.iter().position(|l| l.kind == class.kind).unwrap_or(0);
        let tenant = r.tenant.map_or(self.set.tenants.len(), |t| t.0.min(self.set.tenants.len()));
        let work = r.hint.map_or(self.work[r.class.0], |h| h.max(1) as f64);
        let load = r.slots.max(1) as f64 * work;
        let size = r.hint.map_or(r.slots.max(1) as f64, |_| load);
        // A marked repeat began when its first try did; its aim has run since. Its age shows in the
        // time left only where the tenant's clients give first tries the whole deadline.
        let short = (class.deadline - r.time_left).max(0);
        let b = &mut self.lanes[lane].buckets[tenant];
        b.hasty = if r.repeat { b.hasty } else { short > class.aim };
        let gone = if r.repeat && !b.hasty { short } else { 0 };
        let wanted = class.aim + (class.stretch * work) as Micros;
        let deadline = self.now + r.time_left.max(0);
        let due = (self.now - gone + wanted).min(deadline);
        let span = self.set.span();
        self.parts.asked(tenant);
        self.demand.asked[tenant].add(self.now, span, f64::from(u8::from(!r.repeat)));
        let newest = self.lanes[lane].buckets[tenant].max_start;
        let (hint, arrived, excess, class, key) = (r.hint.is_some(), self.now, false, r.class, r.key);
        let sheds = self.set.full_may_have_run;
        let mut job =
            Job { class, lane, tenant, key, excess, work, load, size, hint, sheds, arrived, due, deadline };
        if let Some(wait) = self.at_fault(&job) {
            self.parts.over(class, r.id, 0);
            return out.push(Action::Refuse { id: r.id, retry_after: self.advice(wait) });
        }
        let tokens = self.tokens(tenant, size);
        let (start, finish) = self.tag(lane, tenant, tokens, self.delta(r.class, wanted));
        job.excess = tenant < self.set.tenants.len() && start > self.now + self.lanes[lane].offset;
        let held = Held::new(job, start, finish, self.most_attempts());
        self.requests.insert(r.id, held);
        self.wakes.insert((deadline - self.set.tick.max(1_000), Wake::Answer(r.id)));
        // Departure: where most clients leave early it is held no longer than they stay. A few do
        // anywhere; the others must not be refused for them at the door.
        let part = if self.patience.leave > 0.5 { self.patience.stay } else { 1.0 };
        let until = self.now + ((due - self.now) as f64 * part) as Micros;
        let wait = if self.probes(lane) { 0 } else { self.lanes[lane].least_wait() as Micros };
        self.wakes.insert((until - work as Micros - wait, Wake::Answer(r.id)));
        self.queue(r.id);
        self.release(lane, out);
        // Departure: beyond its tenant's share a request waits only that part of the mean wanted time (of all
        // classes, or a flood would select heavy ones) which it is worth; a later start is refused for free.
        let patience = self.mean_wanted() * self.set.over_share_worth.clamp(0.0, 1.0);
        let l = &mut self.lanes[lane];
        let held = self.requests.get(&r.id).is_some_and(|h| h.queued);
        if held && tenant < self.set.tenants.len() && start - l.offset > self.now + patience as Micros {
            l.buckets[tenant].tokens += tokens;
            l.buckets[tenant].max_start = newest;
            self.answer_without_service(r.id, out);
        }
    }

    /// Departure: delta is the wanted time, longer by the root of how much less than the best class a class
    /// is worth for its work: of an overload's delay the dearer work bears less.
    fn delta(&self, class: ClassId, wanted: Micros) -> Micros {
        let per = |work: &f64| if self.set.by_work { 1.0 } else { work.max(1.0) };
        let worth = |(c, w): (&ClassSettings, _)| (c.worth / per(w)).max(f64::MIN_POSITIVE);
        let worths: Vec<f64> = self.set.classes.iter().zip(&self.work).map(worth).collect();
        let best = worths.iter().copied().fold(0.0, f64::max);
        (wanted as f64 * (best / worths[class.0]).min(100.0).sqrt()) as Micros
    }

    /// Update the tenant's bucket and give the request its start and finish tag.
    fn tag(&mut self, lane: usize, tenant: usize, size: f64, delta: Micros) -> (Micros, Micros) {
        let rho = self.rho(lane, tenant);
        let sigma = (rho * self.mean_wanted()).max(5.0 * self.tokens(tenant, self.size));
        let forgives = self.forgives(lane, tenant);
        let l = &mut self.lanes[lane];
        let t = self.now + l.offset;
        let idle = forgives && l.in_flight == 0 && l.ahead.is_empty() && l.eligible.is_empty();
        let b = &mut l.buckets[tenant];
        let grown = if idle { f64::MAX } else { b.tokens + rho * (self.now - b.at) as f64 };
        b.tokens = grown.min(sigma.max(size));
        b.at = self.now;
        let start = if b.tokens >= size {
            t
        } else if b.tokens > 0.0 {
            t + ((size - b.tokens) / rho) as Micros
        } else {
            b.max_start.max(t) + (size / rho) as Micros
        };
        b.max_start = start;
        b.tokens -= size;
        (start, start + delta)
    }

    fn queue(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.queued = true;
        let l = &mut self.lanes[held.job.lane];
        l.buckets[held.job.tenant].held += 1;
        l.ahead.insert((held.start, id));
    }

    /// No worker is probed for it any longer.
    fn unask(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        self.lanes[held.job.lane].in_flight -= u32::from(held.round > 0);
        held.unask();
    }

    fn unqueue(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| h.queued) else { return };
        (held.queued, held.parked) = (false, false);
        let l = &mut self.lanes[held.job.lane];
        l.buckets[held.job.tenant].held -= 1;
        l.ahead.remove(&(held.start, id));
        l.eligible.remove(&(held.finish, id));
    }

    /// While the window has room, send the eligible request with the least finish tag. With none eligible but
    /// some held, a sync point moves the clock to the least start tag and refills tenants that hold none.
    fn release(&mut self, lane: usize, out: &mut Vec<Action>) {
        loop {
            let l = &mut self.lanes[lane];
            if l.in_flight as f64 >= l.window {
                return;
            }
            let clock = self.now + l.offset;
            while let Some(&(_, id)) = l.ahead.first().filter(|a| a.0 <= clock) {
                l.ahead.pop_first();
                l.eligible.insert((self.requests[&id].finish, id));
            }
            if l.eligible.is_empty() {
                let Some(&(start, id)) = l.ahead.first() else { return };
                let at = start - l.offset;
                let held = &self.requests[&id];
                if held.parked || !self.forgives(lane, held.job.tenant) {
                    self.wakes.insert((at, Wake::Room));
                    return;
                }
                let l = &mut self.lanes[lane];
                l.offset = start - self.now;
                for b in l.buckets.iter_mut().filter(|b| b.held == 0) {
                    b.tokens = f64::MAX; // capped at sigma when next used
                }
                continue;
            }
            let Some(&(_, id)) = l.eligible.first() else { return };
            // Departure: a hinted job that would start too late to be in time, by what starts take
            // now, is refused early. Each refusal lowers the guess, so that sends go on.
            let (held, wait) = (&self.requests[&id], self.lanes[lane].least_wait() as Micros);
            if held.job.hint && self.lost_cause(held, wait) {
                self.lanes[lane].wait = self.lanes[lane].wait.map(|w| w * (1.0 - BLEND));
                self.answer_without_service(id, out);
                continue;
            }
            // Whatever queued it: nothing gets past the ration, and out of it the answer is due now.
            if held.attempts > 0 && !self.ration_allows() {
                self.answer_without_service(id, out);
                continue;
            }
            let Some(worker) = self.pick(&self.requests[&id], lane) else { return };
            self.unqueue(id);
            // What all schedulers share: it waits for its part, or has its answer where that is too late.
            if let Some(wait) = self.parts.attempt(self.now, id, &self.requests[&id]) {
                self.hold(id, wait, out);
            } else if self.probes(lane) {
                self.lanes[lane].in_flight += 1;
                self.ask(id, out);
            } else {
                self.send(id, worker, out);
            }
        }
    }

    /// A part of what is shared has nothing for the request before that time is over.
    fn hold(&mut self, id: RequestId, wait: Micros, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        (held.start, held.parked) = (self.now + wait + self.lanes[held.job.lane].offset, true);
        if self.lost_cause(&self.requests[&id], wait) {
            self.answer_without_service(id, out);
        } else {
            self.queue(id);
            self.wakes.insert((self.now + wait, Wake::Room));
        }
    }

    /// Departure: with more schedulers than workers own jobs say nothing of a queue. Before a send a few
    /// workers are probed, while that costs less than is lost; the first with room gets the job.
    fn probes(&self, lane: usize) -> bool {
        let worth = || ASKED as f64 * self.set.probe_price <= self.lost(lane).max(LEAST_LOST);
        let wanted = self.set.probes && self.set.instances as usize > self.lanes[lane].live;
        wanted && worth() && self.parts.has(self.now, Bound::Probes)
    }

    /// The next round of probes for a request; after the last, the least busy of those probed gets it.
    fn ask(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        held.round += 1;
        let (lane, round) = (held.job.lane, held.round);
        self.wakes.insert((self.now + ASK_WAIT, Wake::Asked(id, round)));
        if round <= ASK_ROUNDS {
            for _ in 0..ASKED {
                let picked = self.pick(&self.requests[&id], lane);
                let Some(worker) = picked.filter(|_| self.parts.take(self.now, Bound::Probes)) else { break };
                self.rng.rand_u64(); // the pick drew from a copy
                self.cold_spend(worker, id, true);
                let asks = self.workers.get_mut(&worker).zip(self.requests.get_mut(&id));
                asks.into_iter().for_each(|(w, held)| w.probe(held, id));
                out.push(Action::Probe { worker });
            }
            return;
        }
        let held = &self.requests[&id];
        let told = |id: &WorkerId| {
            let w = self.workers.get(id).filter(|w| self.takes(w, held, false))?;
            Some(((w.report.held? - 1.0).max(0.0) / (self.pace(w) * self.cold_part(w, self.now)), *id))
        };
        let least = held.asked.iter().filter_map(told).min_by(|a, b| a.0.total_cmp(&b.0));
        let wait = least.map_or(0.0, |l| l.0 * self.mean_work() / 2.0); // held to have two slots
        if least.is_some() && self.now + (wait + held.job.work) as Micros > held.job.due {
            self.answer_without_service(id, out);
        } else if let Some(worker) = least.map(|l| l.1).or_else(|| self.pick(held, lane)) {
            self.send(id, worker, out);
        }
    }

    /// Whether a request may go to that worker now.
    fn takes(&self, w: &Worker, held: &Held, doubtful: bool) -> bool {
        w.member.standing == Standing::Live
            && w.full_until <= self.now
            && (doubtful || !self.suspected(w, &held.job))
            && self.in_scope(held, w)
            && self.parts.room(w.in_flight)
            && self.cold_turn(w, held).is_some()
    }

    /// What a worker tells. With a free slot it gets the job that it was probed for.
    fn probed(&mut self, worker: WorkerId, status: Status, report: Report, out: &mut Vec<Action>) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        w.report = report;
        if status.answered() {
            w.idle.push(self.now);
        }
        let Some(id) = w.asked.take() else { return };
        let Some(job) = self.requests.get(&id).map(|h| h.job.clone()) else { return };
        if matches!(status, Status::ConnectFailed | Status::Reset | Status::Timeout) {
            self.bad(worker, &job, None, false);
        }
        let Some(held) = self.requests.get_mut(&id).filter(|h| h.round > 0) else { return };
        held.unheard = held.unheard.saturating_sub(1);
        let free = status == Status::Ok && report.free.is_some_and(|f| f > 0.5);
        if free && self.takes(&self.workers[&worker], &self.requests[&id], false) {
            self.send(id, worker, out);
        } else if self.requests[&id].unheard == 0 {
            self.ask(id, out);
        }
    }

    /// Departure: one that carries little sees room in its window although workers are full. Where tenants
    /// have quotas it forgives, at a sync point or as a busy period begins, only while what an excess request
    /// displaces, by the share lost, is worth less. Harm: see docs.
    fn forgives(&self, lane: usize, tenant: usize) -> bool {
        // One bad sample is no evidence: two in a row are.
        self.set.quota(tenant).is_none() || self.lost(lane) <= self.set.over_share_worth.max(2.0 * BLEND)
    }

    /// The share of requests that start too late or are turned away at every attempt, of late.
    fn lost(&self, lane: usize) -> f64 {
        let l = &self.lanes[lane];
        let attempts = if self.set.full_may_have_run { 1 } else { self.most_attempts().min(8) as i32 };
        // Where further attempts are rationed only so many of those turned away get one.
        let again = self.set.ration.map_or(1.0, |r| (r.share / l.turned.max(1e-3)).min(1.0));
        l.late + again * l.turned.powi(attempts) + (1.0 - again) * l.turned
    }

    // ------------------------------------------------------------- window

    /// A 'full', or a start (where starts are not told, an answer). The window widens when that left
    /// room for the job to be in time, and narrows when it did not, for a 'full' half as much.
    fn learn_window(&mut self, lane: usize, full: bool, timely: bool, late: bool) {
        let l = &mut self.lanes[lane];
        l.turned += BLEND * (f64::from(u8::from(full)) - l.turned);
        l.strain += BLEND * (f64::from(u8::from(!timely)) - l.strain);
        if !full {
            l.late += BLEND * (f64::from(u8::from(late)) - l.late);
        }
        if timely {
            if l.in_flight as f64 + 1.0 >= l.window {
                l.window += if l.strain < BLEND / 2.0 { 1.0 } else { 1.0 / l.window };
            }
        } else {
            l.window -= if full { 0.5 } else { 1.0 } / l.window;
        }
        l.widen_to(self.set.instances);
    }

    // --------------------------------------------------------------- pick

    /// The fewest of our jobs for its capacity, among a few random workers of the right kind.
    /// Departure: drawn from a few workers of an order of our own, as many as our traffic keeps
    /// busy, and from the rest only while too few of those will do. So a scheduler with little
    /// traffic knows its workers and keeps its connections, and a pick costs no more at size.
    fn pick(&self, held: &Held, lane: usize) -> Option<WorkerId> {
        let l = &self.lanes[lane];
        // Departure: its price and what is lost on that way more than at home against the share lost.
        let (lost, home) = (self.lost(lane).max(LEAST_LOST), self.ways.missed(self.set.zone));
        let cross =
            |zone| 1.0 + (self.set.cross_zone_price + (self.ways.missed(zone) - home).max(0.0)) / lost;
        let left = (held.job.due - self.now) as f64;
        let weight = |w: &Worker| {
            // A hinted job would end too late, or with one more fell a cold one: taken if all drawn are so.
            let recent = w.sign > 0 && self.now - w.sign < self.set.eighth();
            let (far, part) = (w.member.zone != self.set.zone, self.cold_part(w, self.now));
            let (pace, size) = (self.pace(w) * part, w.member.scale.max(1.0));
            let fells = part < 1.0 && held.job.load > part * size * self.set.fall_time as f64;
            let wait = if recent { w.wait as f64 } else { l.wait[usize::from(far)] };
            let slow = held.job.hint && (fells || wait + held.job.work / pace > left);
            let counted = if self.set.scale_is_capacity { self.kind_pace(w) } else { 1.0 };
            w.member.scale.max(0.001) * pace / counted / if far { cross(w.member.zone) } else { 1.0 }
                * if slow { 1e-9 } else { 1.0 }
        };
        let (known, enough) = (self.known(lane), held.job.key.map_or(CANDIDATES, |_| usize::MAX / 4));
        let most = 1.0 + ROOM * (l.in_flight as f64 + 1.0) / (l.near.len() + l.far.len()) as f64;
        let plain = if self.set.tells_start { f64::MAX } else { most };
        // With all suspected the judgement is in doubt, not the workers: any is taken.
        for doubtful in [false, true] {
            let pass_over = self.set.tells_start && !doubtful;
            let [near, far] = [&l.near, &l.far].map(|order| {
                let some = if pass_over { order.free() } else { Candidates::all(order.ids()) };
                (some, known, enough, plain)
            });
            let mut best: Option<(f64, WorkerId)> = None;
            let mut rng = self.rng.clone();
            for (order, few, enough, most) in [near, far] {
                let mut able = Vec::with_capacity(4 * CANDIDATES);
                // From a random place on: what a pick costs must not grow with the fleet.
                let few = few.min(order.len());
                let from = rng.rand_range(0..few.max(1) as u64) as usize;
                for (others, id) in order.turned(from, few) {
                    if (others && able.len() >= enough) || able.len() >= 4 * enough {
                        break;
                    }
                    let w = &self.workers[&id];
                    let asked = w.asked.is_some() || held.asked.contains(&id);
                    let busy = asked || (pass_over && w.waits()) || w.in_flight as f64 >= most;
                    if (doubtful || !busy) && self.takes(w, held, doubtful) {
                        able.push((weight(w), w));
                    }
                }
                // Departure: a worker fetches what a key names with its first job of it, and keeps a few. All
                // schedulers rank workers alike for a key, and the first that is able gets the job.
                let first = |key: KeyId| able.iter().copied().max_by_key(|(_, w)| key.rank(w.member.mark));
                if let Some(first) = held.job.key.and_then(first) {
                    able = vec![first];
                }
                let total: f64 = able.iter().map(|a| a.0).sum();
                // By capacity: of many with no job of ours the least would always be the largest.
                let draws = (0..CANDIDATES.min(able.len())).filter_map(|_| {
                    let mut left = rng.rand_float() * total;
                    let drawn = able.iter().find(|w| {
                        left -= w.0;
                        left < 0.0
                    });
                    drawn.or(able.last())
                });
                let loads =
                    draws.map(|(weight, w)| ((w.in_flight as f64 + self.queued(w)) / weight, weight, w));
                let Some((load, weight, w)) = loads.min_by(|a, b| a.0.total_cmp(&b.0)) else { continue };
                // The job's own share counts half: it is in the way of what comes later alone.
                let score = load + 0.5 / weight;
                if best.is_none_or(|b| score < b.0) {
                    best = Some((score, w.member.worker));
                }
            }
            let mut all = l.near.ids().iter().chain(l.far.ids());
            if best.is_some() || all.any(|id| !self.suspected(&self.workers[id], &held.job)) {
                return best.map(|b| b.1);
            }
        }
        None
    }

    /// The jobs of others there, as far as the last start shows: as much work as that waited for.
    fn queued(&self, w: &Worker) -> f64 {
        (w.wait - (self.now - w.sign)).max(0) as f64 / self.mean_work()
    }

    fn pace(&self, w: &Worker) -> f64 {
        w.pace.unwrap_or_else(|| self.kind_pace(w))
    }

    fn kind_pace(&self, w: &Worker) -> f64 {
        self.paces.get(&w.member.kind.0).copied().unwrap_or(1.0)
    }

    /// How many workers of each order a lane's own traffic keeps busy.
    fn known(&self, lane: usize) -> usize {
        self.lanes[lane].level.ceil().max(CANDIDATES as f64) as usize
    }

    fn demote(&mut self, worker: WorkerId, lane: usize) {
        let known = self.known(lane);
        self.lanes[lane].demote(worker, known, &mut self.rng);
    }

    fn send(&mut self, id: RequestId, worker: WorkerId, out: &mut Vec<Action>) {
        self.rng.rand_u64(); // the pick drew from a copy
        let far = self.workers.is_far(worker, self.set.zone);
        self.cold_spend(worker, id, false);
        self.unask(id);
        let Some(held) = self.requests.get_mut(&id) else { return };
        // Four times what starts take now, if that is more: where all wait it is no worker's fault.
        let usual = (4.0 * self.lanes[held.job.lane].wait[far]) as Micros;
        let patience = self.set.classes[held.job.class.0].aim.max(usual);
        let attempt = held.attempts;
        if attempt > 0 && self.set.ration.is_some() {
            self.rationed.extras.push_back(self.now);
        }
        held.attempts += 1;
        held.out = true;
        let job = held.job.clone();
        let l = &mut self.lanes[job.lane];
        l.level += BLEND * (l.in_flight as f64 - l.level);
        l.in_flight += 1;
        let mut idle = 0;
        if let Some(w) = self.workers.get_mut(&worker) {
            w.in_flight += 1;
            w.unstarted += 1;
            idle = w.idle.pop().map_or(0, |at| self.now - at);
            // Guards against idle connections that are dropped unseen, or reset at the next request.
            let over = 2.0 * self.set.span();
            if idle > 0 && self.reaped.share(self.now, idle, over) > 2.0 * BLEND {
                out.push(Action::CloseIdle { worker });
                w.idle.clear();
                idle = 0;
            }
        }
        mark(&mut self.lanes, &self.workers, worker);
        let (sent, started, stuck, due) = (self.now, None, false, job.due);
        self.attempts.insert((id, attempt), Attempt { worker, job, sent, started, stuck, idle });
        if self.set.tells_start {
            self.wakes.insert((self.now + patience, Wake::Stuck(id, attempt)));
        }
        self.wakes.insert((due.max(self.now + 2 * patience), Wake::Stuck(id, attempt)));
        out.push(Action::Send { id, worker });
    }

    // ------------------------------------------------------------- health

    fn suspected(&self, w: &Worker, job: &Job) -> bool {
        let safe = self.set.classes[job.class.0].effect == Effect::Safe;
        let more = |d: &Doubt| if safe { 0 } else { d.length };
        let holds = |d: &Doubt| !d.healed && self.now < d.until + more(d);
        let holds = |about| self.doubts.get(about).is_some_and(holds);
        !self.doubts.is_empty() && About::of_worker(&w.member, job).iter().any(holds)
    }

    /// A bad outcome. The worker, or a class or tenant failing alone there, is left alone for the longest
    /// aim, doubling up to the longest deadline. Three in a row in a zone or kind: that is out of reach.
    fn bad(&mut self, worker: WorkerId, job: &Job, narrow: Option<About>, error: bool) {
        let (now, base, longest) = (self.now, self.set.longest_aim() as Micros, self.set.span() as Micros);
        self.doubts.retain(|_, d| now < d.until + longest);
        let Some(w) = self.workers.get(&worker) else { return };
        let (abouts, sign) = (About::of_worker(&w.member, job), w.sign);
        let kept = abouts[..2].iter().copied().find(|a| self.doubts.get(a).is_some_and(|d| d.length > 0));
        let whole = narrow.or(kept).unwrap_or(abouts[2]);
        let groups = if narrow.is_none() { &abouts[3..] } else { &[] };
        for &about in [whole].iter().chain(groups) {
            let group = about != whole;
            let cause = (job.class.0, job.tenant, job.key);
            let d = self.doubts.entry(about).or_insert(Doubt::new(now, worker));
            if d.streak == 0 || d.worker != worker || !group {
                d.streak += 1;
            }
            d.since = if d.streak == 1 { now } else { d.since };
            // Turned away again although another tenant's job has started there meanwhile.
            if narrow.is_some() && (d.streak < 2 || sign <= d.since) {
                continue;
            }
            (d.cause, d.worker, d.error) = (cause, worker, error);
            if (group && d.streak < 3) || (now < d.until && !d.healed) {
                continue;
            }
            d.pause(now, base, longest);
        }
        if narrow.is_none() {
            self.demote(worker, job.lane);
        }
    }

    /// Departure: after failures at three workers in turn, none of its key served in between (six of a
    /// tenant or class, others served as often), the key is at fault, not workers. Guards against what may
    /// fail anywhere. Harm: a key that met three bad workers waits for the longest aim.
    fn blame(&mut self, a: &Attempt) -> bool {
        let (now, base, longest) = (self.now, self.set.longest_aim() as Micros, self.set.span() as Micros);
        let mut found = false;
        for about in About::of_job(&a.job) {
            if self.doubts.len() >= MOST_KEYS && !self.doubts.contains_key(&about) {
                continue;
            }
            let d = self.doubts.entry(about).or_insert(Doubt::new(now, a.worker));
            if d.streak == 0 {
                (d.since, d.served) = (now, self.served);
            }
            d.streak += u32::from(d.streak == 0 || d.worker != a.worker);
            (d.worker, d.error) = (a.worker, true);
            let (few, served) = if matches!(about, About::Key(_)) { (3, 0) } else { (6, 6) };
            if d.streak < few || self.served < d.served + served {
                continue;
            }
            found = true;
            // Again for twice as long only where this one was let through to find out.
            if d.length == 0 || d.healed || a.sent >= d.until - d.length {
                d.pause(now, base, longest);
            }
        }
        if found {
            let innocent = |d: &Doubt| d.cause.2 == a.job.key && d.error;
            self.doubts.retain(|about, d| !matches!(about, About::Worker(_)) || !innocent(d));
        }
        found
    }

    /// For how long requests of this kind are still at fault; the first after it is let through, others wait.
    fn at_fault(&mut self, job: &Job) -> Option<Micros> {
        for about in About::of_job(job) {
            if let Some(d) = self.doubts.get_mut(&about).filter(|d| d.length > 0 && !d.healed) {
                if self.now < d.until {
                    return Some(d.until - self.now);
                }
                d.until = self.now + d.length;
            }
        }
        None
    }

    /// A job has started, or been served: what is in doubt about it is healed, and left alone half as
    /// long next time. Where another class or tenant had failed, that stays in doubt there.
    fn good(&mut self, worker: WorkerId, job: &Job, served: bool) {
        let Some(w) = self.workers.get_mut(&worker) else { return };
        (w.sign, w.fulls) = (self.now, 0);
        self.served += u64::from(served);
        for about in About::of_worker(&w.member, job).into_iter().chain(About::of_job(job)) {
            let Some(d) = self.doubts.get_mut(&about) else { continue };
            if d.error && !served || d.healed {
                continue;
            }
            let left = d.clone();
            (d.healed, d.streak, d.length) = (true, 0, d.length / 2);
            let narrow = match about {
                About::Worker(w) if left.cause.0 != job.class.0 => About::Class(w, left.cause.0),
                About::Worker(w) if left.cause.1 != job.tenant => About::Tenant(w, left.cause.1),
                _ => continue,
            };
            self.doubts.entry(narrow).or_insert(left);
        }
    }

    fn started(&mut self, id: RequestId, attempt: u32) {
        let Some(a) = self.attempts.get_mut(&(id, attempt)).filter(|a| a.started.is_none()) else { return };
        a.started = Some(self.now);
        if std::mem::take(&mut a.stuck) {
            self.lanes[a.job.lane].in_flight += 1;
        }
        let (job, worker, idle) = (a.job.clone(), a.worker, a.idle);
        let (wait, held) = (self.now - a.sent, a.sent - job.arrived);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.unstarted = w.unstarted.saturating_sub(1);
        }
        mark(&mut self.lanes, &self.workers, worker);
        self.reaped.learn(self.now, idle, false, 2.0 * self.set.span());
        self.good(worker, &job, false);
        if self.stood == self.now {
            return;
        }
        self.learn_wait(worker, job.lane, wait);
        // Late is what waited longer than an eighth of the aim, or than half of the time
        // that we held it ourselves: where the window holds jobs back, it is what is too narrow.
        let target = (self.set.classes[job.class.0].aim / 8).max(held / 2).max(2 * self.set.tick);
        self.learn_window(job.lane, false, wait <= target, self.now + job.work as Micros > job.due);
    }

    /// A start came after that long, or has not come yet.
    fn learn_wait(&mut self, worker: WorkerId, lane: usize, wait: Micros) {
        let far = self.workers.is_far(worker, self.set.zone);
        let mean = &mut self.lanes[lane].wait[far];
        *mean += BLEND * (wait as f64 - *mean);
        let wanted = self.mean_wanted();
        if let Some(w) = self.workers.get_mut(&worker) {
            w.wait = wait;
            self.ways.waited(w.member.zone, wait as f64 / wanted, BLEND / 4.0);
        }
    }

    /// An attempt has not started in its class's aim (or four usual waits), or is out past the wanted time on
    /// a worker without another sign: that is suspected, whatever the cause, and a safe job that has not
    /// started is tried elsewhere, not soon. Departure: it leaves the window, which the silent would fill.
    fn stuck(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        let Some(a) = self.attempts.get_mut(&(id, attempt)) else { return };
        let class = &self.set.classes[a.job.class.0];
        let since = a.started.unwrap_or(a.sent);
        if a.started.is_some() && self.now < a.job.due.max(a.sent + 2 * class.aim) {
            return;
        }
        if !std::mem::replace(&mut a.stuck, true) {
            self.lanes[a.job.lane].in_flight -= 1;
        }
        let waits = self.set.tells_start && a.started.is_none();
        // Guards against doing work twice: what is called off still runs on a worker that was only
        // busy, and a quarter of the deadline leaves time for a late answer from elsewhere.
        let off = a.sent + class.deadline / 4;
        if waits && self.now < off {
            self.wakes.insert((off, Wake::Stuck(id, attempt)));
        }
        let calls_off = waits && self.now >= off && self.set.cancel && class.effect == Effect::Safe;
        let (worker, job, idle, wait) = (a.worker, a.job.clone(), a.idle, self.now - a.sent);
        if waits {
            self.learn_wait(worker, job.lane, wait);
            self.reaped.learn(self.now, idle, true, 2.0 * self.set.span());
        }
        if waits || self.workers.get(&worker).is_some_and(|w| w.sign <= since) {
            self.bad(worker, &job, None, false);
        }
        if calls_off && self.ration_allows() && self.requests.get(&id).is_some_and(|h| self.may_try(h)) {
            out.push(Action::Cancel { id, attempt });
        }
    }

    // -------------------------------------------------------- cold budget

    /// The part of a warm worker's load that a cold one may bear: what the rules promise by its age
    /// (BENCH: evenly from the cold share), times half the multiple that fells it, up to all.
    fn cold_part(&self, w: &Worker, at: Micros) -> f64 {
        let age = (at - w.member.started) as f64 / self.set.cold_time.max(1) as f64;
        let from = if w.member.started <= 0 { 1.0 } else { self.set.cold_share.clamp(0.01, 1.0) };
        ((from + (1.0 - from) * age.clamp(0.0, 1.0)) * (0.5 * self.set.fall_multiple).max(1.0)).min(1.0)
    }

    /// Work a microsecond that we may send to a cold worker: what our completions put on a warm one of its
    /// size, or half our part of the limit (one core's where none is told) if that is more, times its mean
    /// part since our last send, less a tenth, as work is known by means. So all stay under the limit.
    fn cold_rate(&self, w: &Worker) -> f64 {
        let own = self.borne.per_micro(self.now, self.set.span()) * w.member.scale;
        let sharers = (self.set.instances.max(1) * self.set.parts.max(1)) as f64;
        let limit = (0.5 * self.set.fall_multiple).min(1.0) * w.member.scale.max(1.0);
        let part = self.cold_part(w, (w.cold_at + self.now) / 2);
        0.9 * part * self.parts.cold().map_or(own.max(limit / sharers), |ours| limit * ours)
    }

    /// How far each scheduler is with its first job for a worker that starts: turns follow by number.
    fn cold_phase(&mut self, of: &Member) -> f64 {
        let number = self.set.rank.map(|k| f64::from(k) / f64::from(self.set.instances.max(1)));
        let luck = self.rng.rand_float();
        number.map_or(luck, |n| (n + of.mark as f64 / 2f64.powi(64)).fract())
    }

    /// What a cold worker may be sent by now; `None` for a warm one.
    fn cold_room(&self, w: &Worker) -> Option<f64> {
        let grown = || w.cold_tokens + self.cold_rate(w) * (self.now - w.cold_at) as f64;
        (w.member.started > 0 && self.now - w.member.started < self.set.cold_time).then(grown)
    }

    /// What a job leaves of that, if it may go: whenever it has grown by a job of its class, for as long as
    /// all look once at a warm worker, or all together stay within 3/4 N + root of N as one falls; the rest
    /// is chance. Guards against bursts in which all send what each has saved. Its probe is paid.
    fn cold_turn(&self, w: &Worker, held: &Held) -> Option<f64> {
        let Some(room) = self.cold_room(w) else { return Some(0.0) };
        let paid = if held.asked.contains(&w.member.worker) { PROBE_WORK } else { 0.0 };
        let (job, size, fall) = (&held.job, w.member.scale.max(1.0), self.set.fall_time as f64);
        let (mean, bears) = (self.mean_work() / size, 2.0 * self.cold_part(w, self.now) * fall);
        // A hint below its class's mean may be a bad guess, but is taken where a worker bears less than that.
        let step = (job.load * self.work[job.class.0] / job.work).min(job.load.max(bears * size));
        let (load, room) = (job.load.max(step), room + paid);
        let looks = mean / (CANDIDATES + ASKED) as f64 * self.set.instances as f64;
        let open = looks.max(fall * (0.5 + 2.0 * (mean / bears).sqrt()));
        let goes = room >= step && room % step <= self.cold_rate(w) * open * step / load;
        goes.then(|| room % step + step - load - paid)
    }

    fn cold_spend(&mut self, worker: WorkerId, id: RequestId, probe: bool) {
        let Some((w, held)) = self.workers.get(&worker).zip(self.requests.get(&id)) else { return };
        let (room, now) = (self.cold_room(w).unwrap_or(0.0), self.now);
        let left = self.cold_turn(w, held).filter(|_| !probe).unwrap_or(room - PROBE_WORK);
        self.workers.get_mut(&worker).into_iter().for_each(|w| (w.cold_tokens, w.cold_at) = (left, now));
    }

    // ------------------------------------------------- retries and answers

    fn may_try(&self, held: &Held) -> bool {
        // What is rationed is not spent on excess.
        let worthy = self.set.ration.is_none() || !held.job.excess;
        let again = self.repeatable_until(held).is_none_or(|end| self.now < end);
        // What fails wherever it goes is not tried again elsewhere.
        let at_fault = |about| self.doubts.get(about).is_some_and(|d| d.length > 0 && !d.healed);
        let fault = !self.doubts.is_empty() && About::of_job(&held.job).iter().any(at_fault);
        let time = held.job.deadline > self.now + self.set.tick;
        worthy && again && !fault && time && held.attempts < held.most
    }

    /// Whether one more further attempt keeps to the ration: of those in the span, its first moment
    /// counted, there may be so many for the requests taken strictly inside it.
    fn ration_allows(&self) -> bool {
        let Some(r) = self.set.ration else { return true };
        let (taken, extras) = self.rationed.within(self.now - r.span);
        let free = r.free.max(0.0) / self.set.parts.max(1) as f64;
        extras as f64 + 1.0 <= free + r.share.max(0.0) * taken as f64
    }

    fn most_attempts(&self) -> u32 {
        Some(self.set.max_attempts).filter(|most| *most > 0).unwrap_or(u32::MAX)
    }

    /// Whether this end proves that a job never ran, by the settings in force and those that it came under.
    pub(crate) fn never_ran(&self, job: &Job, status: Status) -> bool {
        let full = status == Status::Full && !self.set.full_may_have_run && !job.sheds;
        full || matches!(status, Status::ConnectFailed | Status::Moot)
    }

    /// Whether one more attempt of the request may go to this worker at all.
    fn in_scope(&self, held: &Held, w: &Worker) -> bool {
        let Some((first, at)) = held.ran else { return true };
        let effect = self.set.classes[held.job.class.0].effect;
        let first = self.workers.get(&first).map(|f| &f.member);
        let same = match effect {
            Effect::Keyed { scope: Scope::Zone, .. } => first.is_some_and(|f| f.zone == w.member.zone),
            Effect::Keyed { scope: Scope::Cell, .. } => first.is_some_and(|f| f.cell == w.member.cell),
            _ => true,
        };
        same && self.now - at < effect.repeatable()
    }

    fn outcome(&mut self, id: RequestId, attempt: u32, status: Status, settled: bool, out: &mut Vec<Action>) {
        let mut unusable = false;
        if let Some(a) = self.attempts.remove(&(id, attempt)) {
            self.learn(&a, status);
            mark(&mut self.lanes, &self.workers, a.worker);
            let never_ran = self.never_ran(&a.job, status);
            self.parts.ended(a.job.class, id, attempt, a.sent, status.answered() || never_ran);
            let mut rejected = None;
            if let Some(h) = self.requests.get_mut(&id) {
                h.out = false;
                if !never_ran && h.ran.is_none() {
                    h.ran = Some((a.worker, a.sent));
                }
                // Departure: a rejected request is tried once more and fails if it is rejected again.
                // Guards against requests that no worker can use: as errors they would put their class
                // or workers in doubt. Whoever rejects what another then serves is to blame, though.
                match status {
                    Status::Rejected => unusable = h.rejected.replace(a.worker).is_some(),
                    Status::Ok => rejected = h.rejected.filter(|w| *w != a.worker),
                    _ => {}
                }
            }
            if let Some(worker) = rejected {
                self.bad(worker, &a.job, None, true);
            }
        }
        if settled {
            return self.over(id, false);
        }
        if unusable {
            out.push(Action::Fail { id });
            return self.forget(id);
        }
        let Some(held) = self.requests.get(&id).filter(|h| !h.out && !h.queued) else { return };
        if self.may_try(held) && !self.lost_cause(held, 0) {
            self.queue(id);
        } else {
            self.answer_without_service(id, out);
        }
    }

    /// What an outcome tells about the worker and the class.
    fn learn(&mut self, a: &Attempt, status: Status) {
        let (now, span, lane, class) = (self.now, self.set.span(), a.job.lane, a.job.class.0);
        self.lanes[lane].in_flight -= u32::from(!a.stuck);
        let run = (now - a.started.unwrap_or(a.sent)).max(1) as f64;
        let backoff = (self.mean_work() as Micros / 4).max(self.set.tick);
        let Some(w) = self.workers.get_mut(&a.worker) else { return };
        w.in_flight = w.in_flight.saturating_sub(1);
        self.ways.learn(w.member.zone, !status.answered(), BLEND / 4.0);
        if status.answered() {
            w.idle.push(now);
        }
        w.unstarted = w.unstarted.saturating_sub(u32::from(a.started.is_none()));
        match status {
            Status::Ok => {
                w.full_until = 0;
                let mean = self.paces.entry(w.member.kind.0).or_insert(1.0);
                w.paced((a.job.work / run).clamp(0.05, 4.0), mean, BLEND);
                self.good(a.worker, &a.job, true);
                self.parts.served();
                let ran = if a.job.hint { a.job.work } else { run };
                self.work[class] += BLEND * (ran - self.work[class]);
                self.lanes[lane].done.add(now, span, a.job.size);
                self.borne.add(now, span, a.job.load / self.scale.max(0.001));
                self.size += BLEND * (a.job.size - self.size);
                if !self.set.tells_start {
                    // What it was held here is no sign of what the workers have room for.
                    let late = now - a.sent > a.job.due - a.job.arrived;
                    self.learn_window(lane, false, !late, late);
                }
            }
            Status::Full => {
                w.fulls += 1;
                // Where a 'full' may cost the job, fulls in a row double the pause.
                let row = if self.set.full_may_have_run { (w.fulls - 1).min(5) } else { 0 };
                w.full_until = now + (backoff << row).min(span as Micros / 4);
                self.wakes.insert((w.full_until, Wake::Room));
                let again = w.fulls > 1;
                self.learn_window(lane, true, false, false);
                self.bad(a.worker, &a.job, Some(About::Tenant(a.worker, a.job.tenant)), false);
                if again {
                    self.demote(a.worker, lane);
                }
            }
            // An error, too: guards against workers that fail fast and so look idle; a start is no
            // sign of health after one. A rare stray error costs one short pause.
            // A reset before the start on a connection that had been idle is that one's fault.
            Status::Reset if a.idle > 0 && a.started.is_none() => {
                self.reaped.learn(now, a.idle, true, 2.0 * span);
            }
            Status::Error | Status::Reset if self.blame(a) => {}
            Status::Error | Status::ConnectFailed | Status::Reset | Status::Timeout => {
                self.bad(a.worker, &a.job, None, status == Status::Error)
            }
            Status::Rejected | Status::Cancelled | Status::Moot => {}
        }
    }

    /// Nothing that an answer could still earn.
    fn lost_cause(&self, held: &Held, wait: Micros) -> bool {
        let class = &self.set.classes[held.job.class.0];
        let end = if class.late_worth > 0.0 { held.job.deadline } else { held.job.due };
        self.now + wait + held.job.work as Micros > end
    }

    fn answer_without_service(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id) else { return };
        let effect = self.set.classes[held.job.class.0].effect;
        let drops = matches!(effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. });
        if drops || held.ran.is_none() {
            // When its tenant has tokens again, or the ration a further attempt; in an aim at least.
            let tokens = held.start - self.lanes[held.job.lane].offset - self.now;
            let further = self.set.ration.filter(|_| !self.ration_allows()).map_or(0, |r| r.span);
            let wait = tokens.max(further).max(self.set.longest_aim() as Micros);
            out.push(Action::Refuse { id, retry_after: self.advice(wait) });
        } else {
            out.push(Action::Fail { id });
        }
        self.forget(id);
    }

    /// What a refused client is told, where clients heed it.
    fn advice(&self, wait: Micros) -> Option<Micros> {
        self.set.retry_after.then_some(wait.min(self.set.max_retry_after))
    }

    /// A request has its answer, or its client has left.
    fn over(&mut self, id: RequestId, left: bool) {
        if let Some(job) = self.requests.get(&id).map(|h| &h.job) {
            self.patience.ended(self.now, job, left, BLEND / 4.0);
        }
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        self.unqueue(id);
        self.unask(id);
        let held = self.requests.remove(&id);
        held.into_iter().for_each(|h| self.parts.over(h.job.class, id, h.attempts));
    }

    // ------------------------------------------------- the list of workers

    fn roster(&mut self, list: Vec<Member>, whole: bool, out: &mut Vec<Action>) {
        self.subscribe_wait = self.set.tick.max(1);
        if whole {
            let listed: BTreeSet<WorkerId> = list.iter().map(|m| m.worker).collect();
            let known: BTreeSet<WorkerId> = self.workers.values().map(|w| w.member.worker).collect();
            known.difference(&listed).for_each(|&w| self.unlist(w));
            if self.demand.born.is_none() && self.set.must_subscribe {
                out.push(Action::Subscribe);
            }
            self.demand.born.get_or_insert(self.now);
        }
        for member in list {
            if member.standing == Standing::Gone {
                self.unlist(member.worker);
                continue;
            }
            let (now, turn) = (self.now, self.cold_phase(&member) * self.mean_work());
            let new = || Worker::new(member.clone(), turn, now);
            let w = self.workers.get_or_insert(member.worker, new);
            if w.member.started != member.started {
                (w.cold_tokens, w.cold_at, w.pace) = (turn, now, None);
                self.doubts.remove(&About::Worker(member.worker));
            }
            w.listed(member);
        }
        self.order();
    }

    /// A worker is gone or left out of the list. Departure: where only draining binds and it was not
    /// seen draining, the list proves nothing: it stays, in doubt, and serves again or is dropped
    /// when that has lasted for the longest deadline. Being listed as live lifts a drain.
    fn unlist(&mut self, worker: WorkerId) {
        let (now, base) = (self.now, self.set.longest_aim() as Micros);
        let Some(w) = self.workers.get_mut(&worker) else { return };
        if !self.set.only_draining_binds || w.member.standing != Standing::Live {
            w.member.standing = Standing::Gone;
        } else if w.unlisted.is_none() {
            w.unlisted = Some(now);
            let d = self.doubts.entry(About::Worker(worker)).or_insert(Doubt::new(now, worker));
            (d.length, d.healed) = (d.length.max(base), false);
            d.until = d.until.max(now + d.length);
        }
    }

    /// Bring the lanes' orders up to date: who left is dropped, who came gets a place by chance.
    fn order(&mut self) {
        let (now, span) = (self.now, self.set.span() as Micros);
        let silent = |w: &Worker| w.unlisted.is_some_and(|at| now >= at.max(w.sign) + span);
        self.workers.retain(|w| (w.member.standing != Standing::Gone && !silent(w)) || w.in_flight > 0);
        let live = |w: &&Worker| w.member.standing == Standing::Live;
        self.scale = self.workers.values().filter(live).map(|w| w.size).sum();
        for l in &mut self.lanes {
            l.renew(&self.workers, self.set.zone, &mut self.rng);
            l.widen_to(self.set.instances);
        }
    }
}
