//! Shares of quotas that all schedulers divide, and what is used of them. How the shares come about is not this package's concern.

use crate::event::{Request, WorkState};
use crate::ids::{ClassId, RequestId, TenantId};
use crate::request::{AttemptId, PendingRequest};
use shorepath_quota::rate_limiter::TokenBucket;
use shorepath_types::Micros;
use std::cell::Cell;
use std::collections::BTreeMap;

/// One that waits for an attempt to end looks again after this.
const RECHECK_DELAY: Micros = 20_000;
/// Longer than anyone waits.
const NEVER: Micros = 3_600_000_000;
/// The least rate of a tenant, requests by the microsecond.
const MIN_RATE: f64 = 1e-9;

/// What a quota limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuotaKind {
    /// Requests of a tenant a second, counted by their first attempts.
    TenantRate(TenantId),
    /// Attempts of a class in flight; one whose end is not known counts for as long as it may run.
    ClassConcurrency(ClassId),
    /// Retries a second.
    Retries,
    /// Probes a second.
    Probes,
    /// Attempts in flight at any one endpoint.
    Connections,
    /// What any endpoint in slow start gets from all schedulers.
    SlowStart,
    /// New requests of a tenant in all, counted since the start; none of those that were begun before.
    NewWork(TenantId),
    /// Whether anything of a tenant may be sent: 0 units for no.
    TenantEnabled(TenantId),
    /// Requests of a class by clients of other sites, a second.
    RemoteClass(ClassId),
    /// Requests by clients of the own site, a second: while it takes its load back.
    LocalSite,
}

/// The share of a quota that this scheduler may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// What the quota limits.
    pub kind: QuotaKind,
    /// Units that may be used here, a second or at once.
    pub units: u64,
    /// Units of all schedulers together.
    pub total: u64,
    /// Of units by the second: for how long unused ones are kept. Of those in use at once: how long one may be in use.
    pub window: Micros,
}

/// What was done with a share since that was last asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaUsage {
    /// Units that were asked for, or the most in use at once that were.
    pub demand: u64,
    /// Units that were used, or that are in use.
    pub used: u64,
}

#[derive(Debug)]
struct TrackedShare {
    share: QuotaShare,
    meter: TokenBucket,
    demand: u64,
    used: u64,
    /// Something had to wait for it.
    is_short: Cell<bool>,
}

impl TrackedShare {
    fn new(share: QuotaShare, now: Micros) -> Self {
        let meter = TokenBucket::new(share.window, now);
        TrackedShare { share, meter, demand: 0, used: 0, is_short: Cell::new(false) }
    }

    /// Note that something has to wait where nothing is available.
    fn note_availability(&self, is_available: bool) {
        self.is_short.set(self.is_short.get() || !is_available);
    }
}

/// All shares; none where nothing is divided.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    shares: BTreeMap<QuotaKind, TrackedShare>,
    /// Attempts of limited classes, by the class's index: until when each is counted.
    in_flight: BTreeMap<(usize, RequestId, u32), Micros>,
    /// Requests that were counted as new and have not been sent, with their tenants.
    unsent_new: BTreeMap<RequestId, TenantId>,
    /// Requests of a tenant that were accepted as new.
    new_work: BTreeMap<TenantId, u64>,
}

impl Quotas {
    /// These shares apply from now on; what was saved and what is in flight of a share stays with it.
    pub fn set(&mut self, now: Micros, shares: Vec<QuotaShare>) {
        for tracked in self.shares.values_mut() {
            tracked.meter.refill(now, tracked.share.units);
        }
        let mut before = std::mem::take(&mut self.shares);
        for share in shares {
            let kept = before.remove(&share.kind).filter(|tracked| tracked.share.window == share.window);
            let tracked = match kept {
                Some(tracked) => TrackedShare { share, ..tracked },
                None => TrackedShare::new(share, now),
            };
            self.shares.insert(tracked.share.kind, tracked);
        }
    }

    /// Whether a request is accepted: it belongs here, its tenant may begin something new or it was begun, and its site has a unit
    /// left for it. The quota of a site limits load, so it applies to what was begun before as well: a repeat is no less work than
    /// the first try was.
    ///
    /// # Errors
    /// The quota that is used up, or `None` for a request that belongs elsewhere.
    pub fn accept(&mut self, now: Micros, request: &Request) -> Result<(), Option<QuotaKind>> {
        if request.work_state == WorkState::Misdirected {
            return Err(None);
        }
        let new_of = request.tenant.filter(|_| request.work_state == WorkState::New);
        let limited = new_of.filter(|tenant| self.shares.contains_key(&QuotaKind::NewWork(*tenant)));
        if let Some(tenant) = limited.filter(|tenant| self.is_new_work_used_up(*tenant)) {
            return Err(Some(QuotaKind::NewWork(tenant)));
        }
        let site =
            if request.is_remote { QuotaKind::RemoteClass(request.class) } else { QuotaKind::LocalSite };
        if !self.shares.is_empty() && !self.take(now, site) {
            return Err(Some(site));
        }
        if let Some(tenant) = limited {
            *self.new_work.entry(tenant).or_default() += 1;
            self.unsent_new.insert(request.id, tenant);
        }
        Ok(())
    }

    fn is_new_work_used_up(&self, tenant: TenantId) -> bool {
        let units = self.shares.get(&QuotaKind::NewWork(tenant)).map(|tracked| tracked.share.units);
        units.is_some_and(|units| self.new_work_count(tenant) >= units)
    }

    /// Requests of a tenant that were accepted as new while that was limited.
    pub fn new_work_count(&self, tenant: TenantId) -> u64 {
        self.new_work.get(&tenant).copied().unwrap_or(0)
    }

    /// How long until a unit is available, if none is now.
    fn time_until_available(&mut self, now: Micros, kind: QuotaKind) -> Option<Micros> {
        let tracked = self.shares.get_mut(&kind)?;
        tracked.meter.refill(now, tracked.share.units);
        if tracked.meter.has_token() {
            return None;
        }
        tracked.is_short.set(true);
        Some(tracked.meter.next_token_at(tracked.share.units).map_or(NEVER, |at| (at - now).clamp(1, NEVER)))
    }

    fn spend(&mut self, kind: QuotaKind) {
        if let Some(tracked) = self.shares.get_mut(&kind) {
            tracked.used += u64::from(tracked.meter.take());
        }
    }

    /// Use a unit, unless there is none.
    pub fn take(&mut self, now: Micros, kind: QuotaKind) -> bool {
        let is_available = self.time_until_available(now, kind).is_none();
        if is_available {
            self.spend(kind);
        }
        is_available
    }

    /// Whether a unit is available, or nothing limits that.
    pub fn is_available(&self, now: Micros, kind: QuotaKind) -> bool {
        let Some(tracked) = self.shares.get(&kind) else { return true };
        let mut meter = tracked.meter;
        meter.refill(now, tracked.share.units);
        tracked.note_availability(meter.has_token());
        meter.has_token()
    }

    /// Use what the next attempt of a request needs of all quotas; else how long it has to wait for that at least.
    ///
    /// # Errors
    /// The time to wait, in microseconds.
    pub fn take_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        request: &PendingRequest,
    ) -> Result<(), Micros> {
        if self.shares.is_empty() {
            return Ok(());
        }
        let (tenant, attempt) = (TenantId(request.job.tenant), request.attempts);
        let enabled = self.shares.get(&QuotaKind::TenantEnabled(tenant));
        if enabled.is_some_and(|tracked| tracked.share.units == 0) {
            return Err(NEVER);
        }
        let rate = if attempt == 0 { QuotaKind::TenantRate(tenant) } else { QuotaKind::Retries };
        if let Some(wait) = self.time_until_available(now, rate) {
            return Err(wait);
        }
        self.take_in_flight(now, request.job.class, (id, attempt))?;
        self.spend(rate);
        Ok(())
    }

    fn take_in_flight(&mut self, now: Micros, class: ClassId, attempt: AttemptId) -> Result<(), Micros> {
        let kind = QuotaKind::ClassConcurrency(class);
        if !self.shares.contains_key(&kind) {
            return Ok(());
        }
        let in_flight = self.count_in_flight(now, class);
        if let Some(tracked) = self.shares.get_mut(&kind) {
            tracked.demand = tracked.demand.max(in_flight + 1);
            if in_flight >= tracked.share.units {
                tracked.is_short.set(true);
                return Err(RECHECK_DELAY);
            }
        }
        self.in_flight.insert((class.0, attempt.0, attempt.1), Micros::MAX);
        Ok(())
    }

    /// Attempts of a class that have to be assumed in flight.
    fn count_in_flight(&mut self, now: Micros, class: ClassId) -> u64 {
        let of_class = (class.0, RequestId(0), 0)..(class.0 + 1, RequestId(0), 0);
        let attempts = self.in_flight.range(of_class.clone());
        let over: Vec<_> = attempts.filter(|(_, until)| **until <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.in_flight.remove(&id);
        }
        self.in_flight.range(of_class).count() as u64
    }

    /// An attempt has ended; where its end is not `certain` it may run for as long as any may.
    pub fn end_attempt(&mut self, class: ClassId, attempt: AttemptId, sent_at: Micros, is_certain: bool) {
        let kind = QuotaKind::ClassConcurrency(class);
        let longest = self.shares.get(&kind).map_or(0, |tracked| tracked.share.window);
        if let Some(until) = self.in_flight.get_mut(&(class.0, attempt.0, attempt.1)) {
            *until = if is_certain { 0 } else { sent_at + longest };
        }
    }

    /// A request is over after so many attempts: what was reserved for another one is free.
    pub fn end_request(&mut self, class: ClassId, id: RequestId, attempts: u32) {
        self.in_flight.remove(&(class.0, id, attempts));
        // Of one that was never sent nothing was begun.
        if let Some(tenant) = self.unsent_new.remove(&id).filter(|_| attempts == 0) {
            self.new_work.entry(tenant).and_modify(|count| *count = count.saturating_sub(1));
        }
    }

    /// A request of that tenant has come.
    pub fn record_demand(&mut self, tenant: usize) {
        if let Some(tracked) = self.shares.get_mut(&QuotaKind::TenantRate(TenantId(tenant))) {
            tracked.demand += 1;
        }
    }

    /// A job was served: what is sent to endpoints in slow start follows from it.
    pub fn record_served(&mut self) {
        if let Some(tracked) = self.shares.get_mut(&QuotaKind::SlowStart) {
            tracked.demand += 1;
        }
    }

    /// What a tenant may use here, requests by the microsecond, where that is limited.
    pub fn tenant_rate(&self, tenant: usize) -> Option<f64> {
        let tracked = self.shares.get(&QuotaKind::TenantRate(TenantId(tenant)))?;
        Some((tracked.share.units as f64 / 1e6).max(MIN_RATE))
    }

    /// The part of what an endpoint in slow start gets that may come from here, where that is known.
    pub fn slow_start_part(&self) -> Option<f64> {
        let tracked = self.shares.get(&QuotaKind::SlowStart)?;
        Some(tracked.share.units as f64 / tracked.share.total.max(1) as f64)
    }

    /// Whether one more attempt may be in flight at an endpoint that has so many of ours.
    pub fn allows_connection(&self, in_flight: u32) -> bool {
        let Some(tracked) = self.shares.get(&QuotaKind::Connections) else { return true };
        let is_allowed = u64::from(in_flight) < tracked.share.units;
        tracked.note_availability(is_allowed);
        is_allowed
    }

    /// What was done with each share since that was last asked for; `most_in_flight` is the most at any one endpoint.
    pub fn take_usage(&mut self, now: Micros, most_in_flight: u64) -> Vec<(QuotaKind, QuotaUsage)> {
        self.count_all_in_flight(now);
        let mut all = Vec::new();
        for (kind, tracked) in &mut self.shares {
            if let QuotaKind::NewWork(tenant) = kind {
                tracked.used = self.new_work.get(tenant).copied().unwrap_or(0);
            }
            let used = if *kind == QuotaKind::Connections { most_in_flight } else { tracked.used };
            let demand = tracked.demand.max(used);
            // How much more was asked for is not known: half as much again.
            let was_short = tracked.is_short.take();
            let is_counted = matches!(kind, QuotaKind::TenantRate(_));
            let more = if was_short && !is_counted { demand / 2 + 1 } else { 0 };
            all.push((*kind, QuotaUsage { demand: demand + more, used }));
            (tracked.demand, tracked.used) = (0, 0);
        }
        all
    }

    fn count_all_in_flight(&mut self, now: Micros) {
        let class_of = |kind: &QuotaKind| match kind {
            QuotaKind::ClassConcurrency(class) => Some(*class),
            _ => None,
        };
        let limited: Vec<ClassId> = self.shares.keys().filter_map(class_of).collect();
        for class in limited {
            let in_flight = self.count_in_flight(now, class);
            if let Some(tracked) = self.shares.get_mut(&QuotaKind::ClassConcurrency(class)) {
                tracked.used = in_flight;
            }
        }
    }
}
