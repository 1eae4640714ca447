//! Enforces this scheduler's shares of quotas that all schedulers divide, and records their usage. Another
//! package computes the shares.

use crate::event::{Request, WorkState};
use crate::ids::{ClassId, RequestId, TenantId};
use crate::request::{AttemptId, PendingRequest};
use shorepath_quota::rate_limiter::TokenBucket;
use shorepath_types::Micros;
use std::cell::Cell;
use std::collections::BTreeMap;

/// Delay before a request that waits for an attempt of its class to end is checked again, in microseconds.
const RECHECK_DELAY: Micros = 20_000;
/// A wait longer than any client's deadline, in microseconds.
const NEVER: Micros = 3_600_000_000;
/// Lower bound of a tenant's rate, in requests per microsecond.
const MIN_RATE: f64 = 1e-9;

/// The quantity that a quota limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuotaKind {
    /// Requests of a tenant per second, counted by their first attempts.
    TenantRate(TenantId),
    /// Attempts of a class in flight. One whose outcome is uncertain counts for as long as it may run.
    ClassConcurrency(ClassId),
    /// Retries per second.
    Retries,
    /// Probes per second.
    Probes,
    /// Attempts in flight at any one endpoint.
    Connections,
    /// Load that all schedulers together put on any one endpoint in slow start.
    SlowStart,
    /// New requests of a tenant, counted since the start of the scheduler. Repeats of accepted requests
    /// don't count.
    NewWork(TenantId),
    /// Whether attempts for a tenant may be sent at all; 0 units forbid them.
    TenantEnabled(TenantId),
    /// Requests of a class per second by clients of other sites.
    RemoteClass(ClassId),
    /// Requests per second by clients of this site, limited while the site takes its load back.
    LocalSite,
}

/// The share of a quota that this scheduler may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaShare {
    /// The quota that is divided.
    pub kind: QuotaKind,
    /// Units for this scheduler, per second or in use at once, depending on the kind.
    pub units: u64,
    /// Units for all schedulers together.
    pub total: u64,
    /// In microseconds. For a rate, how long unused units are kept; for a limit on units in use, how long
    /// one of them may be in use.
    pub window: Micros,
}

/// The usage of a share since the usage was last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaUsage {
    /// Units demanded, or for a limit on units in use the most that were demanded at once.
    pub demand: u64,
    /// Units used, or units in use now.
    pub used: u64,
}

#[derive(Debug)]
struct TrackedShare {
    share: QuotaShare,
    bucket: TokenBucket,
    demand: u64,
    used: u64,
    /// A request or probe had to wait for a unit.
    is_short: Cell<bool>,
}

impl TrackedShare {
    fn new(share: QuotaShare, now: Micros) -> Self {
        let bucket = TokenBucket::new(share.window, now);
        TrackedShare { share, bucket, demand: 0, used: 0, is_short: Cell::new(false) }
    }

    /// Records a shortage if no unit is available.
    fn note_availability(&self, is_available: bool) {
        self.is_short.set(self.is_short.get() || !is_available);
    }
}

/// The shares of this scheduler. A quota without a share is not limited.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    shares: BTreeMap<QuotaKind, TrackedShare>,
    /// Attempts of classes with a limit, by class index, with the time until which each counts as in flight.
    in_flight: BTreeMap<(usize, RequestId, u32), Micros>,
    /// Requests that were counted as new and have not been sent yet.
    unsent_new: BTreeMap<RequestId, TenantId>,
    /// Number of requests of each tenant that were accepted as new.
    new_work: BTreeMap<TenantId, u64>,
}

impl Quotas {
    /// Replaces the shares. A share keeps its unused units and its usage if its window is unchanged.
    pub fn set(&mut self, now: Micros, shares: Vec<QuotaShare>) {
        for tracked in self.shares.values_mut() {
            tracked.bucket.refill(now, tracked.share.units);
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

    /// Accepts a request that belongs to this node, whose tenant may start new work unless it repeats
    /// accepted work, and for which the quota of its client's site has a unit left. The quota of the site
    /// limits load, so it counts repeats as well.
    ///
    /// # Errors
    /// The quota that is used up, or `None` for a request that belongs to another node.
    pub fn accept(&mut self, now: Micros, request: &Request) -> Result<(), Option<QuotaKind>> {
        if request.work_state == WorkState::Misdirected {
            return Err(None);
        }
        let new_work_tenant = request.tenant.filter(|_| request.work_state == WorkState::New);
        let limited = new_work_tenant.filter(|tenant| self.shares.contains_key(&QuotaKind::NewWork(*tenant)));
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

    /// Returns how many requests of a tenant were accepted as new while a quota limited them.
    pub fn new_work_count(&self, tenant: TenantId) -> u64 {
        self.new_work.get(&tenant).copied().unwrap_or(0)
    }

    /// Returns the time until a unit is available, or `None` if one is available now or nothing limits the
    /// kind.
    fn time_until_available(&mut self, now: Micros, kind: QuotaKind) -> Option<Micros> {
        let tracked = self.shares.get_mut(&kind)?;
        tracked.bucket.refill(now, tracked.share.units);
        if tracked.bucket.has_token() {
            return None;
        }
        tracked.is_short.set(true);
        Some(tracked.bucket.next_token_at(tracked.share.units).map_or(NEVER, |at| (at - now).clamp(1, NEVER)))
    }

    fn spend(&mut self, kind: QuotaKind) {
        if let Some(tracked) = self.shares.get_mut(&kind) {
            tracked.used += u64::from(tracked.bucket.take());
        }
    }

    /// Takes a unit, and returns whether one was available.
    pub fn take(&mut self, now: Micros, kind: QuotaKind) -> bool {
        let is_available = self.time_until_available(now, kind).is_none();
        if is_available {
            self.spend(kind);
        }
        is_available
    }

    /// Returns whether a unit is available, without taking it.
    pub fn is_available(&self, now: Micros, kind: QuotaKind) -> bool {
        let Some(tracked) = self.shares.get(&kind) else { return true };
        let mut bucket = tracked.bucket;
        bucket.refill(now, tracked.share.units);
        tracked.note_availability(bucket.has_token());
        bucket.has_token()
    }

    /// Takes the units that the next attempt of a request needs from all quotas.
    ///
    /// # Errors
    /// The least time to wait until they are available, in microseconds.
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

    /// Counts the attempts of a class that may still be in flight.
    fn count_in_flight(&mut self, now: Micros, class: ClassId) -> u64 {
        let of_class = (class.0, RequestId(0), 0)..(class.0 + 1, RequestId(0), 0);
        let attempts = self.in_flight.range(of_class.clone());
        let ended: Vec<_> = attempts.filter(|(_, until)| **until <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.in_flight.remove(&id);
        }
        self.in_flight.range(of_class).count() as u64
    }

    /// Releases an attempt. If it is not certain that the attempt is over, it counts until the longest time
    /// that one may run has passed.
    pub fn end_attempt(&mut self, class: ClassId, attempt: AttemptId, sent_at: Micros, is_certain: bool) {
        let kind = QuotaKind::ClassConcurrency(class);
        let longest = self.shares.get(&kind).map_or(0, |tracked| tracked.share.window);
        if let Some(until) = self.in_flight.get_mut(&(class.0, attempt.0, attempt.1)) {
            *until = if is_certain { 0 } else { sent_at + longest };
        }
    }

    /// Releases what was reserved for the next attempt of a request that is over after `attempts` attempts.
    pub fn end_request(&mut self, class: ClassId, id: RequestId, attempts: u32) {
        self.in_flight.remove(&(class.0, id, attempts));
        // A request that was never sent does not count as new work.
        if let Some(tenant) = self.unsent_new.remove(&id).filter(|_| attempts == 0) {
            self.new_work.entry(tenant).and_modify(|count| *count = count.saturating_sub(1));
        }
    }

    /// Counts a request of a tenant as demand.
    pub fn record_demand(&mut self, tenant: usize) {
        if let Some(tracked) = self.shares.get_mut(&QuotaKind::TenantRate(TenantId(tenant))) {
            tracked.demand += 1;
        }
    }

    /// Counts a served job: the demand of all schedulers decides how they divide slow start.
    pub fn record_served(&mut self) {
        if let Some(tracked) = self.shares.get_mut(&QuotaKind::SlowStart) {
            tracked.demand += 1;
        }
    }

    /// Returns a tenant's rate at this scheduler in requests per microsecond, or `None` if it is not
    /// limited.
    pub fn tenant_rate(&self, tenant: usize) -> Option<f64> {
        let tracked = self.shares.get(&QuotaKind::TenantRate(TenantId(tenant)))?;
        Some((tracked.share.units as f64 / 1e6).max(MIN_RATE))
    }

    /// Returns the fraction of slow-start work that may come from this scheduler, or `None` if it is
    /// unknown.
    pub fn slow_start_share(&self) -> Option<f64> {
        let tracked = self.shares.get(&QuotaKind::SlowStart)?;
        Some(tracked.share.units as f64 / tracked.share.total.max(1) as f64)
    }

    /// Returns whether one more attempt may be sent to an endpoint that has `in_flight` attempts of this
    /// scheduler.
    pub fn allows_connection(&self, in_flight: u32) -> bool {
        let Some(tracked) = self.shares.get(&QuotaKind::Connections) else { return true };
        let is_allowed = u64::from(in_flight) < tracked.share.units;
        tracked.note_availability(is_allowed);
        is_allowed
    }

    /// Returns the usage of each share since the last call, and resets it. `most_in_flight` is the greatest
    /// number of attempts in flight at any one endpoint.
    pub fn take_usage(&mut self, now: Micros, most_in_flight: u64) -> Vec<(QuotaKind, QuotaUsage)> {
        self.count_all_in_flight(now);
        let mut usages = Vec::new();
        for (kind, tracked) in &mut self.shares {
            if let QuotaKind::NewWork(tenant) = kind {
                tracked.used = self.new_work.get(tenant).copied().unwrap_or(0);
            }
            let used = if *kind == QuotaKind::Connections { most_in_flight } else { tracked.used };
            let demand = tracked.demand.max(used);
            // The unmet demand is unknown; half of the known demand is assumed.
            let was_short = tracked.is_short.take();
            let is_counted = matches!(kind, QuotaKind::TenantRate(_));
            let unmet = if was_short && !is_counted { demand / 2 + 1 } else { 0 };
            usages.push((*kind, QuotaUsage { demand: demand + unmet, used }));
            (tracked.demand, tracked.used) = (0, 0);
        }
        usages
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
