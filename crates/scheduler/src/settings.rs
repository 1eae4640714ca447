//! What a scheduler knows when it starts, and how that is replaced while it runs.

use crate::ids::{ClassId, KindId, ZoneId};
use shorepath_types::Micros;

/// The shortest window over which "recently" is counted.
const MIN_RECENT_WINDOW: Micros = 1_000_000;

/// The endpoints that together drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every endpoint knows what any of them has run.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Repeats with the request's idempotency key are dropped inside a scope, for a time after the first attempt that may have run.
    Keyed {
        /// Which endpoints drop repeats.
        scope: DedupScope,
        /// For how long.
        window: Micros,
    },
    /// Must never run twice.
    NonIdempotent,
}

impl Idempotency {
    /// For how long after the first attempt that may have run another one does no harm.
    pub fn repeat_window(self) -> Micros {
        match self {
            Idempotency::Idempotent => Micros::MAX,
            Idempotency::Keyed { window, .. } => window,
            Idempotency::NonIdempotent => 0,
        }
    }
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// An answer is in time within this, plus `work_factor` times the request's own work.
    pub latency_objective: Micros,
    /// See `latency_objective`.
    pub work_factor: f64,
    /// How long a client waits in all, over all its tries.
    pub deadline: Micros,
    /// The fraction of its weight that a late answer still has.
    pub late_fraction: f64,
    /// The priority weight of a request answered in time, or of a unit of its work (see [`Settings::weight_by_work`]).
    pub priority_weight: f64,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// The only kind of endpoint that runs it, if there is just one.
    pub kind: Option<KindId>,
}

impl Default for ClassSettings {
    fn default() -> Self {
        ClassSettings {
            latency_objective: 0,
            work_factor: 0.0,
            deadline: 0,
            late_fraction: 0.0,
            priority_weight: 0.0,
            idempotency: Idempotency::NonIdempotent,
            kind: None,
        }
    }
}

impl ClassSettings {
    /// The work of a request, in microseconds, until one has ended: half the objective, up to all of it where the objective grows
    /// with the work.
    pub(crate) fn assumed_work(&self) -> f64 {
        self.latency_objective.max(1) as f64 * (1.0 + self.work_factor) / (2.0 + self.work_factor)
    }
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// Its share of the service.
    pub share: f64,
    /// Requests a second inside its share, over all schedulers; 0 where unknown.
    pub quota_per_second: f64,
}

/// A budget of retries (attempts beyond each request's first), counted over a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// The window over which requests and retries are counted.
    pub window: Micros,
    /// Retries allowed however few requests came.
    pub min_retries: f64,
    /// Retries allowed for each request that came.
    pub ratio: f64,
}

/// All that a scheduler knows when it starts. The default allows and assumes as little as it can.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Schedulers of this tier, this one included.
    pub schedulers: u32,
    /// The number of this one among them, from 0, where it is known.
    pub rank: Option<u32>,
    /// Processes that are this scheduler at present and share its budgets; 0 counts as 1.
    pub processes: u32,
    /// The zone of this scheduler.
    pub zone: ZoneId,
    /// Events are handed over at most this often.
    pub tick: Micros,
    /// Classes, indexed by [`ClassId`].
    pub classes: Vec<ClassSettings>,
    /// Tenants, indexed by [`crate::TenantId`]; empty where there are none.
    pub tenants: Vec<TenantSettings>,
    /// Priority weight is counted for each unit of work instead of each request.
    pub weight_by_work: bool,
    /// The weight of a request beyond its tenant's share, as a fraction of its class's weight.
    pub over_share_fraction: f64,
    /// The endpoint list must be subscribed to.
    pub must_subscribe: bool,
    /// Endpoints report when a job starts.
    pub reports_starts: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// [`crate::Endpoint::capacity`] includes the endpoint's speed; otherwise it is only its size, roughly.
    pub capacity_includes_speed: bool,
    /// Clients heed a retry-after.
    pub sends_retry_after: bool,
    /// The longest retry-after that a client heeds.
    pub max_retry_after: Micros,
    /// Most attempts for one request; 0 for no limit.
    pub max_attempts: u32,
    /// Nothing new goes to a draining endpoint later than this after the drain was announced.
    pub drain_grace: Micros,
    /// The share of its capacity that a just started endpoint has at least.
    pub slow_start_min_share: f64,
    /// A started endpoint has all of its capacity after this at most.
    pub slow_start_duration: Micros,
    /// An endpoint in slow start that is sent more than this many times what it can do fails.
    pub overload_multiple: f64,
    /// The window over which that is counted.
    pub overload_window: Micros,
    /// Endpoints may reject work that they had begun, so [`crate::AttemptStatus::Overloaded`] proves nothing.
    pub overloaded_may_have_run: bool,
    /// Cost of an attempt that crosses zones, as a fraction of a request's weight.
    pub cross_zone_cost: f64,
    /// Endpoints may be probed for their load.
    pub probing: bool,
    /// Cost of a probe, as a fraction of a request's weight.
    pub probe_cost: f64,
    /// The budget of retries, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Only an endpoint listed as draining is closed to new work; one that is gone or missing from the list without having drained
    /// may be sent to.
    pub only_draining_excludes: bool,
}

impl Settings {
    /// A tenant's quota, requests a second over all schedulers, by its index; `None` where there is none.
    pub fn quota(&self, tenant: usize) -> Option<f64> {
        self.tenants.get(tenant).map(|t| t.quota_per_second).filter(|quota| *quota > 0.0)
    }

    /// The window over which "recently" is counted, in microseconds: the longest time that a client waits.
    pub(crate) fn recent_window(&self) -> f64 {
        let longest = self.classes.iter().map(|c| c.deadline).max().unwrap_or(1);
        longest.max(MIN_RECENT_WINDOW) as f64
    }

    /// An eighth of [`Settings::recent_window`].
    pub(crate) fn recent_eighth(&self) -> Micros {
        self.recent_window() as Micros / 8
    }

    /// The longest latency objective of any class.
    pub(crate) fn longest_objective(&self) -> f64 {
        self.classes.iter().map(|c| c.latency_objective).max().unwrap_or(1).max(1) as f64
    }
}

/// Settings that replace others. A class keeps its id while its rules stay; the id of one that no request or attempt uses (see
/// [`crate::Scheduler::uses_class`]) may be reassigned to another class. Tenants keep theirs.
#[derive(Clone, Debug)]
pub struct Reconfiguration {
    /// The settings. Rules of classes that are no longer requested stay in their places.
    pub settings: Settings,
    /// The ids that have other rules than before.
    pub reassigned: Vec<ReassignedClass>,
}

/// A class id that has other rules than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReassignedClass {
    /// The id.
    pub class: ClassId,
    /// The class whose learned figures it takes over, if there is one.
    pub inherits_from: Option<ClassId>,
}
