//! The records that the decision module in `src/balance.rs` keeps. Nothing is decided here.

use crate::api::*;
use crate::fleet::{Order, Workers};
use crate::Balancer;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A seeded source of random numbers.
#[derive(Clone, Debug)]
pub(crate) struct Random(oorandom::Rand64);

impl Random {
    /// The same numbers for the same seed.
    pub fn new(seed: u64) -> Self {
        Random(oorandom::Rand64::new(seed as u128))
    }
}

impl Default for Random {
    fn default() -> Self {
        Random::new(0)
    }
}

impl std::ops::Deref for Random {
    type Target = oorandom::Rand64;
    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl std::ops::DerefMut for Random {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}

/// What a wake-up is for. The order is only for ties in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Wake {
    Answer(RequestId),
    /// What a round of probes for it has brought.
    Asked(RequestId, u32),
    Stuck(RequestId, u32),
    Room,
    Subscribe,
}

/// One RFQ server: the workers of one kind (or all of them), with its own tags and window.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    pub kind: Option<KindId>,
    /// Tags live on a virtual clock, real time plus this; a sync point only moves the offset.
    pub offset: Micros,
    pub buckets: Vec<Bucket>,
    /// Held requests: by start tag while that lies ahead, by finish tag once eligible.
    pub ahead: BTreeSet<(Micros, RequestId)>,
    pub eligible: BTreeSet<(Micros, RequestId)>,
    pub window: f64,
    /// Running share of fulls and late starts; while it is small the window doubles.
    pub strain: f64,
    /// Running shares of attempts that were turned away, and of starts too late to be in time.
    pub turned: f64,
    pub late: f64,
    /// Running mean of the time from a send to the start, in the own zone and outside it.
    pub wait: [f64; 2],
    pub in_flight: u32,
    /// Running mean of what is in flight as a job is sent.
    pub level: f64,
    pub done: Decayed,
    /// How many live workers run its jobs.
    pub live: usize,
    /// The live workers of the own zone and the others, each in an order of our own.
    pub near: Order,
    pub far: Order,
}

impl Lane {
    /// Take in the live workers that run its jobs: who left is dropped, who came gets a place by
    /// chance.
    pub fn renew(&mut self, workers: &Workers, zone: ZoneId, rng: &mut Random) {
        let fits = |m: &Member| m.standing == Standing::Live && self.kind.is_none_or(|k| k == m.kind);
        let live: Vec<&Member> = workers.values().map(|w| &w.member).filter(|m| fits(m)).collect();
        self.live = live.len();
        for (order, own) in [(&mut self.near, true), (&mut self.far, false)] {
            let here = live.iter().filter(|m| own == (m.zone == zone)).map(|m| m.worker);
            let here: BTreeSet<WorkerId> = here.collect();
            let mut ids: Vec<WorkerId> = order.ids().iter().copied().filter(|id| here.contains(id)).collect();
            let there: BTreeSet<WorkerId> = ids.iter().copied().collect();
            for &id in here.difference(&there) {
                ids.push(id);
                let n = ids.len();
                ids.swap(n - 1, rng.rand_range(0..n as u64) as usize);
            }
            order.set(ids, |id| workers[&id].waits());
        }
    }
    /// What starts take now where they take least, in or out of the zone.
    pub fn least_wait(&self) -> f64 {
        if self.far.len() == 0 {
            self.wait[0]
        } else {
            self.wait[0].min(self.wait[1])
        }
    }
    /// A worker gives up its place among the known to one of the others.
    pub fn demote(&mut self, worker: WorkerId, known: usize, rng: &mut Random) {
        for order in [&mut self.near, &mut self.far] {
            let n = order.len();
            if let Some(k) = order.place(worker).filter(|k| *k < known && n > known) {
                order.swap(k, rng.rand_range(known as u64..n as u64) as usize);
            }
        }
    }
    /// The least window, and the first: each worker can do one job at a time, and so many
    /// schedulers share them; two in any case. With more schedulers than workers it grows with their
    /// number: what one of them sees is the others' load, which its own window can't relieve, and
    /// with all windows narrowed together jobs would be held while workers stand idle.
    pub fn widen_to(&mut self, instances: u32) {
        let (workers, instances) = (self.live.max(1) as f64, instances.max(1) as f64);
        self.window = self.window.max(workers / instances).max(2.0 * (instances / workers).max(1.0));
    }
}

/// Attempts that were lost on a connection that had been idle before they started, by the age of that:
/// their running share and when it was last learned, for each doubling of a millisecond.
#[derive(Debug, Default)]
pub(crate) struct Reaped([(f64, Micros); 16]);

impl Reaped {
    /// Of the newest.
    const WEIGHT: f64 = 0.15;

    fn place(idle: Micros) -> usize {
        ((idle / 1_000).max(1).ilog2() as usize).min(15)
    }
    /// An attempt on a connection that had been idle for so long was lost, or started. A loss bears out
    /// what has faded meanwhile, a start does not.
    pub fn learn(&mut self, now: Micros, idle: Micros, lost: bool, over: f64) {
        if idle > 0 {
            let (share, at) = &mut self.0[Reaped::place(idle)];
            let fade = if lost { 1.0 } else { (-((now - *at) as f64) / over).exp() };
            *share = Reaped::WEIGHT * f64::from(u8::from(lost)) + (1.0 - Reaped::WEIGHT) * *share * fade;
            *at = now;
        }
    }
    /// The share lost of those that had been idle for so long, or less; it fades while none is tried.
    pub fn share(&self, now: Micros, idle: Micros, over: f64) -> f64 {
        let faded =
            self.0[..=Reaped::place(idle)].iter().map(|(s, at)| s * (-((now - at) as f64) / over).exp());
        faded.fold(0.0, f64::max)
    }
}

/// When requests were taken and further attempts made, over the span of the ration.
#[derive(Debug, Default)]
pub(crate) struct Rationed {
    pub taken: VecDeque<Micros>,
    pub extras: VecDeque<Micros>,
}

impl Rationed {
    /// How many requests were taken after that moment, and further attempts made from it on.
    pub fn within(&self, from: Micros) -> (usize, usize) {
        let taken = self.taken.len() - self.taken.partition_point(|&at| at <= from);
        (taken, self.extras.len() - self.extras.partition_point(|&at| at < from))
    }
    /// Drop what no longer counts.
    pub fn forget(&mut self, from: Micros) {
        self.taken.drain(..self.taken.partition_point(|&at| at <= from));
        self.extras.drain(..self.extras.partition_point(|&at| at < from));
    }
}

/// First tries of each tenant here, decayed, since the first list.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    pub asked: Vec<Decayed>,
    pub born: Option<Micros>,
}

impl Demand {
    /// Nothing asked for or heard yet.
    pub fn new(tenants: usize) -> Self {
        let mut demand = Demand::default();
        demand.resize(tenants);
        demand
    }
    /// As many tenants as that from now on.
    pub fn resize(&mut self, tenants: usize) {
        self.asked.resize(tenants + 1, Decayed::default());
    }
}

/// Whether a worker waits for a start may have changed.
pub(crate) fn mark(lanes: &mut [Lane], workers: &Workers, worker: WorkerId) {
    let waits = workers.get(&worker).is_some_and(Worker::waits);
    for order in lanes.iter_mut().flat_map(|l| [&mut l.near, &mut l.far]) {
        order.mark(worker, waits);
    }
}

impl Balancer {
    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.set
    }
    /// Whether this end of an attempt that is out proves that it never ran.
    pub fn proves_unrun(&self, id: RequestId, attempt: u32, status: Status) -> bool {
        self.attempts.get(&(id, attempt)).is_some_and(|a| self.never_ran(&a.job, status))
    }
    /// Until when one more attempt of a request does no harm, where one may have run.
    pub(crate) fn repeatable_until(&self, held: &Held) -> Option<Micros> {
        let memory = self.set.classes[held.job.class.0].effect.repeatable();
        held.ran.map(|(_, at)| at.saturating_add(memory))
    }
    /// When the attempt of a request that goes out now has to have been written whole, if that is bounded: it may have to wait for
    /// its connection.
    pub fn written_by(&self, id: RequestId) -> Option<Micros> {
        self.requests.get(&id).and_then(|held| self.repeatable_until(held))
    }
    /// Whether a request or an attempt holds the number of that class.
    pub fn uses(&self, class: ClassId) -> bool {
        self.requests.values().any(|h| h.job.class == class)
            || self.attempts.values().any(|a| a.job.class == class)
    }
}

impl ClassSettings {
    /// Until a job has ended: half its aim, up to the whole where the wanted time grows with it.
    pub(crate) fn guess(&self) -> f64 {
        self.aim.max(1) as f64 * (1.0 + self.stretch) / (2.0 + self.stretch)
    }
}

impl Settings {
    /// An eighth of the span.
    pub(crate) fn eighth(&self) -> Micros {
        self.span() as Micros / 8
    }
    /// Add the lanes and buckets that are missing. A tenant more takes the place of "none", so that what
    /// is counted under a number stays there.
    pub(crate) fn furnish(&self, lanes: &mut Vec<Lane>) {
        for c in &self.classes {
            if !lanes.iter().any(|l| l.kind == c.kind) {
                lanes.push(Lane { kind: c.kind, ..Lane::default() });
            }
        }
        lanes.iter_mut().for_each(|l| l.buckets.resize(self.tenants.len() + 1, Bucket::default()));
    }
    /// The span over which "recently" is counted: the longest time that a client waits.
    pub(crate) fn span(&self) -> f64 {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or(1).max(1_000_000) as f64
    }
    pub(crate) fn longest_aim(&self) -> f64 {
        self.classes.iter().map(|c| c.aim).max().unwrap_or(1).max(1) as f64
    }
}

/// What is lost on the way to each zone: the running share of attempts that brought no answer, and
/// the running mean of the part of the wanted time that starts take.
#[derive(Debug, Default)]
pub(crate) struct Ways(BTreeMap<u32, (f64, f64)>);

impl Ways {
    /// An attempt to the zone brought an answer, or none; the newest counts with that weight.
    pub fn learn(&mut self, zone: ZoneId, missed: bool, weight: f64) {
        let share = &mut self.0.entry(zone.0).or_default().0;
        *share += weight * (f64::from(u8::from(missed)) - *share);
    }
    /// A start in the zone took that part of the wanted time.
    pub fn waited(&mut self, zone: ZoneId, part: f64, weight: f64) {
        let mean = &mut self.0.entry(zone.0).or_default().1;
        *mean += weight * (part - *mean);
    }
    /// Both together.
    pub fn missed(&self, zone: ZoneId) -> f64 {
        self.0.get(&zone.0).map_or(0.0, |w| w.0 + w.1)
    }
}

/// The running share of clients that leave unanswered, and the part of the wanted time they stay.
#[derive(Debug, Default)]
pub(crate) struct Patience {
    pub leave: f64,
    pub stay: f64,
}

impl Patience {
    /// A client was answered, or left; the newest counts with that weight.
    pub fn ended(&mut self, now: Micros, job: &Job, left: bool, weight: f64) {
        let part = (now - job.arrived) as f64 / (job.due - job.arrived).max(1) as f64;
        self.leave += weight * (f64::from(u8::from(left)) - self.leave);
        if left {
            self.stay += weight * (part.min(1.0) - self.stay);
        }
    }
}

/// A deficit token bucket; tokens are slots, times the hint in microseconds where there is one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bucket {
    pub tokens: f64,
    pub at: Micros,
    pub max_start: Micros,
    pub held: u32,
    /// Its clients give up early, so the time left tells nothing of a repeat's age.
    pub hasty: bool,
}

/// A sum that fades evenly in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Decayed {
    pub sum: f64,
    pub at: Micros,
}

impl Decayed {
    /// Add to the sum, which fades over that time.
    pub fn add(&mut self, now: Micros, over: f64, amount: f64) {
        self.sum = self.sum * (-((now - self.at) as f64) / over).exp() + amount;
        self.at = now;
    }
    /// The rate that the sum stands for.
    pub fn per_micro(&self, now: Micros, over: f64) -> f64 {
        self.sum * (-((now - self.at) as f64) / over).exp() / over
    }
}

#[derive(Debug)]
pub(crate) struct Worker {
    pub member: Member,
    /// The most that it was ever said to weigh: weights may fall with what a worker holds.
    pub size: f64,
    /// Our attempts out, and those not known to have started.
    pub in_flight: u32,
    pub unstarted: u32,
    /// Running mean of expected over actual running time: its speed, slowed by what ails it; its
    /// kind's until a job of ours was served there.
    pub pace: Option<f64>,
    /// When it left the list without having drained, where it may be sent to all the same.
    pub unlisted: Option<Micros>,
    /// When a job of ours last started or was served there, and 'full' answers since.
    pub sign: Micros,
    pub fulls: u32,
    /// How long the last start there took, or has taken so far.
    pub wait: Micros,
    /// The request that a probe of ours is out for, and what the last one told.
    pub asked: Option<RequestId>,
    pub report: Report,
    /// When each idle connection there was last used; the latest is used first.
    pub idle: Vec<Micros>,
    /// It said 'full'; no send until then or until a job of ours ends there.
    pub full_until: Micros,
    pub cold_tokens: f64,
    pub cold_at: Micros,
}

impl Worker {
    /// Whether a job of ours there has to start before the next is sent: a start tells that there was room.
    /// Where many of ours run, a quarter as many may be on their way, or one server's start's round trip would
    /// bound what it is sent; one that has only room for a few gets them one by one.
    pub fn waits(&self) -> bool {
        self.unstarted > self.in_flight.saturating_sub(self.unstarted) / 4
    }
    /// An idle connection there has ended, the one in that place by its age.
    pub fn idle_closed(&mut self, place: usize) {
        if let Some(last) = self.idle.len().checked_sub(1) {
            self.idle.remove(place.min(last));
        }
    }
    /// A job ran there at that pace; the newest counts with that weight, also in its kind's mean.
    pub fn paced(&mut self, sample: f64, mean: &mut f64, weight: f64) {
        let pace = self.pace.unwrap_or(*mean);
        self.pace = Some(pace + weight * (sample - pace));
        *mean += weight * (sample - *mean);
    }
    /// It is listed so.
    pub fn listed(&mut self, member: Member) {
        (self.unlisted, self.size, self.member) = (None, self.size.max(member.scale), member);
    }
    /// It is probed for a request.
    pub fn probe(&mut self, held: &mut Held, id: RequestId) {
        self.asked = Some(id);
        self.idle.pop();
        held.asked.push(self.member.worker);
        held.unheard += 1;
    }
    /// One that was just listed.
    pub fn new(member: Member, cold_tokens: f64, now: Micros) -> Self {
        Worker {
            size: member.scale,
            member,
            in_flight: 0,
            unstarted: 0,
            unlisted: None,
            pace: None,
            sign: 0,
            fulls: 0,
            wait: 0,
            asked: None,
            report: Report::default(),
            idle: Vec::new(),
            full_until: 0,
            cold_tokens,
            cold_at: now,
        }
    }
}

/// What a judgement of health is about: a worker, one class or tenant on it, or a group of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum About {
    Worker(WorkerId),
    Class(WorkerId, usize),
    Tenant(WorkerId, usize),
    Zone(u32),
    Kind(u32),
    /// Requests of a key, a class or a tenant, wherever they run.
    Key(KeyId),
    OfClass(usize),
    OfTenant(usize),
}

impl About {
    /// What the health of a worker for a job hangs on, narrowest first.
    pub fn of_worker(w: &Member, job: &Job) -> [About; 5] {
        let (class, tenant) = (About::Class(w.worker, job.class.0), About::Tenant(w.worker, job.tenant));
        [class, tenant, About::Worker(w.worker), About::Zone(w.zone.0), About::Kind(w.kind.0)]
    }
    /// The same of another class, where it is about this one.
    pub fn of_other(self, class: ClassId, other: ClassId) -> Option<About> {
        match self {
            About::Class(w, c) if c == class.0 => Some(About::Class(w, other.0)),
            About::OfClass(c) if c == class.0 => Some(About::OfClass(other.0)),
            _ => None,
        }
    }
    /// A class's number stands for other rules from now on; what is in doubt about another one is so about it, too.
    pub fn follow(doubts: &mut BTreeMap<About, Doubt>, class: ClassId, from: Option<ClassId>) {
        doubts.retain(|a, _| a.of_other(class, class).is_none());
        let moved = |(a, d): (&About, &Doubt)| Some((a.of_other(from?, class)?, d.clone()));
        let inherited: Vec<_> = doubts.iter().filter_map(moved).collect();
        doubts.extend(inherited);
    }
    /// What a job has in common with others, wherever they run.
    pub fn of_job(job: &Job) -> [About; 3] {
        let class = About::OfClass(job.class.0);
        [job.key.map_or(class, About::Key), class, About::OfTenant(job.tenant)]
    }
}

/// Suspicion of what it is about.
#[derive(Clone, Debug)]
pub(crate) struct Doubt {
    /// Left alone until then; then tried with one safe job at a time, by others after as long again.
    pub until: Micros,
    pub length: Micros,
    /// The class, tenant, key and worker of the last bad outcome, and how many came at other workers.
    pub cause: (usize, usize, Option<KeyId>),
    pub worker: WorkerId,
    pub streak: u32,
    pub since: Micros,
    /// Jobs served anywhere before the first of them.
    pub served: u64,
    /// It was an answer, so a start is no sign of health.
    pub error: bool,
    /// A good outcome has come since.
    pub healed: bool,
}

impl Doubt {
    /// One that has no ground yet.
    pub fn new(now: Micros, worker: WorkerId) -> Self {
        let (until, since) = (now, now);
        let cause = (0, 0, None);
        Doubt { until, length: 0, cause, worker, streak: 0, since, served: 0, error: false, healed: false }
    }
    /// Left alone from now on, for twice as long as the last time within these bounds.
    pub fn pause(&mut self, now: Micros, least: Micros, most: Micros) {
        self.healed = false;
        self.length = (self.length * 2).clamp(least, most);
        self.until = now + self.length;
    }
}

/// What stays the same over a request's life.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub class: ClassId,
    pub lane: usize,
    pub tenant: usize,
    pub key: Option<KeyId>,
    /// Beyond its tenant's share as it arrived.
    pub excess: bool,
    pub work: f64,
    /// The work in all its slots together.
    pub load: f64,
    pub size: f64,
    pub hint: bool,
    /// Workers may turn it away after they had begun it, by the rules that it came under.
    pub sheds: bool,
    pub arrived: Micros,
    /// When the answer stops being in time; when the client leaves.
    pub due: Micros,
    pub deadline: Micros,
}

/// A request not yet answered.
#[derive(Debug)]
pub(crate) struct Held {
    pub job: Job,
    pub start: Micros,
    pub finish: Micros,
    pub attempts: u32,
    /// How many it may have, by the rules that it came under.
    pub most: u32,
    pub out: bool,
    pub queued: bool,
    /// A part of what all schedulers share has nothing for it now.
    pub parked: bool,
    /// The first attempt that may have run: where and when.
    pub ran: Option<(WorkerId, Micros)>,
    /// Where it was last rejected.
    pub rejected: Option<WorkerId>,
    /// The round of probes for its next send, from 1, with the workers probed and how many have not
    /// answered. It counts as in flight meanwhile.
    pub round: u32,
    pub asked: Vec<WorkerId>,
    pub unheard: u32,
}

impl Held {
    /// One that has just come, with its tags.
    pub fn new(job: Job, start: Micros, finish: Micros, most: u32) -> Self {
        let (attempts, out, queued, parked, ran, rejected) = (0, false, false, false, None, None);
        let (round, asked, unheard) = (0, Vec::new(), 0);
        Held { job, start, finish, attempts, most, out, queued, parked, ran, rejected, round, asked, unheard }
    }
    /// No worker is probed for it any longer.
    pub fn unask(&mut self) {
        (self.round, self.unheard) = (0, 0);
        self.asked.clear();
    }
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub job: Job,
    pub sent: Micros,
    pub started: Option<Micros>,
    /// It takes no room in the window: it should have started, or ended, long since.
    pub stuck: bool,
    /// For how long its connection had been idle; 0 for a new one.
    pub idle: Micros,
}
