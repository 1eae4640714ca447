//! The settings of a scheduler, and how they are replaced while it runs.

use crate::ids::{ClassId, KindId, ZoneId};
use shorepath_types::Micros;

/// Lower bound of the window for recent events, in microseconds.
const MIN_RECENT_WINDOW: Micros = 1_000_000;

/// The set of endpoints that together drop repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints share their record of requests that have run.
    All,
    /// The endpoints of a zone share their record.
    Zone,
    /// The endpoints of a cell share their record.
    Cell,
}

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may run again without harm.
    Idempotent,
    /// Endpoints of one scope drop repeats with the same idempotency key, for a time after the first attempt
    /// that may have run.
    Keyed {
        /// The endpoints that drop repeats.
        scope: DedupScope,
        /// The time for which endpoints drop repeats.
        window: Micros,
    },
    /// A request must never run twice.
    NonIdempotent,
}

impl Idempotency {
    /// Returns how long further attempts are harmless, counted from the first attempt that may have run.
    pub fn repeat_window(self) -> Micros {
        match self {
            Idempotency::Idempotent => Micros::MAX,
            Idempotency::Keyed { window, .. } => window,
            Idempotency::NonIdempotent => 0,
        }
    }
}

/// Latency objective, deadline, priority and idempotency of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// An answer is in time within this, plus `work_factor` times the request's own work.
    pub latency_objective: Micros,
    /// The multiple of a request's own work that is added to `latency_objective`.
    pub work_factor: f64,
    /// How long a client waits in total, over all its tries.
    pub deadline: Micros,
    /// The fraction of its weight that a late answer is still valued at, from 0 to 1.
    pub late_fraction: f64,
    /// The priority weight of a request that is answered in time, or of each unit of its work with
    /// [`Settings::weight_by_work`].
    pub priority_weight: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// The only kind of endpoint that runs the class, or `None` if all kinds do.
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
    /// Returns the work assumed for a request until one has been served, in microseconds: half the objective
    /// if `work_factor` is 0, and more the greater it is, up to all of the objective.
    pub(crate) fn assumed_work(&self) -> f64 {
        self.latency_objective.max(1) as f64 * (1.0 + self.work_factor) / (2.0 + self.work_factor)
    }
}

/// The share and quota of a tenant.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// The tenant's share of the service, relative to the shares of other tenants.
    pub share: f64,
    /// Requests per second within the share, over all schedulers; 0 if unknown.
    pub quota_per_second: f64,
}

/// A retry budget over a sliding window. Every attempt beyond a request's first is a retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// The window over which requests and retries are counted.
    pub window: Micros,
    /// Retries allowed in a window regardless of the number of requests.
    pub min_retries: f64,
    /// Retries allowed for each request in the window.
    pub ratio: f64,
}

/// The settings of a scheduler. The default permits as little as possible.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of schedulers in this tier, including this one.
    pub schedulers: u32,
    /// Index of this scheduler among them, from 0, or `None` if it is unknown.
    pub rank: Option<u32>,
    /// Number of processes that share this scheduler's budgets, as during a hot restart; 0 counts as 1.
    pub processes: u32,
    /// The zone that this scheduler runs in.
    pub zone: ZoneId,
    /// The least time between two deliveries of events.
    pub tick: Micros,
    /// Classes, indexed by [`ClassId`].
    pub classes: Vec<ClassSettings>,
    /// Tenants, indexed by [`crate::TenantId`]; empty in a deployment without tenants.
    pub tenants: Vec<TenantSettings>,
    /// Priority weight counts per unit of work rather than per request.
    pub weight_by_work: bool,
    /// The weight of a request beyond its tenant's share, as a fraction of its class's weight.
    pub over_share_fraction: f64,
    /// The scheduler has to subscribe to the endpoint list to receive it.
    pub must_subscribe: bool,
    /// Endpoints report when a job starts.
    pub reports_starts: bool,
    /// Attempts can be cancelled.
    pub can_cancel: bool,
    /// [`crate::Endpoint::capacity`] includes the endpoint's speed; otherwise it is a rough measure of its
    /// size alone.
    pub capacity_includes_speed: bool,
    /// Clients wait for the retry-after that an answer advises.
    pub sends_retry_after: bool,
    /// The longest retry-after that clients honor.
    pub max_retry_after: Micros,
    /// Limit of attempts for one request; 0 for no limit.
    pub max_attempts: u32,
    /// Time after a drain is announced by which an endpoint must no longer get new jobs.
    pub drain_grace: Micros,
    /// The fraction of its capacity that an endpoint has as it starts, from 0 to 1.
    pub slow_start_min_share: f64,
    /// Time after a start by which an endpoint has all of its capacity.
    pub slow_start_duration: Micros,
    /// An endpoint in slow start fails if it is sent more than this multiple of what it can do within
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The window of `overload_multiple`.
    pub overload_window: Micros,
    /// Endpoints may reject jobs that they have already started, so [`crate::AttemptStatus::Overloaded`]
    /// does not prove that a request never ran.
    pub overloaded_may_have_run: bool,
    /// Cost of an attempt in another zone, as a fraction of a request's weight.
    pub cross_zone_cost: f64,
    /// Endpoints may be probed for their load.
    pub probing: bool,
    /// Cost of a probe, as a fraction of a request's weight.
    pub probe_cost: f64,
    /// The retry budget, or `None` for unlimited retries.
    pub retry_budget: Option<RetryBudget>,
    /// Only endpoints listed as draining are excluded from new jobs. One that is removed or missing from the
    /// list without a drain may still get jobs.
    pub only_draining_excludes: bool,
}

impl Settings {
    /// Returns a tenant's quota in requests per second over all schedulers, by tenant index, or `None` if it
    /// has none.
    pub fn quota(&self, tenant: usize) -> Option<f64> {
        self.tenants.get(tenant).map(|t| t.quota_per_second).filter(|quota| *quota > 0.0)
    }

    /// Returns the window for recent events, in microseconds: the longest deadline of any class.
    pub(crate) fn recent_window(&self) -> f64 {
        let longest = self.classes.iter().map(|c| c.deadline).max().unwrap_or(1);
        longest.max(MIN_RECENT_WINDOW) as f64
    }

    /// Returns an eighth of [`Settings::recent_window`], in microseconds.
    pub(crate) fn eighth_of_recent_window(&self) -> Micros {
        self.recent_window() as Micros / 8
    }

    /// Returns the longest latency objective of any class, in microseconds; at most
    /// [`Settings::recent_window`]. An objective counts up to its class's deadline, as no answer is in time
    /// after that.
    pub(crate) fn longest_objective(&self) -> f64 {
        let objectives = self.classes.iter().map(|c| c.latency_objective.min(c.deadline));
        objectives.max().unwrap_or(1).max(1) as f64
    }
}

/// New settings for a running scheduler. A class keeps its id while its rules are unchanged. An id that no
/// request or attempt uses (see [`crate::Scheduler::uses_class`]) may be reassigned to another class.
/// Tenants keep their ids.
#[derive(Clone, Debug)]
pub struct Reconfiguration {
    /// The new settings. Classes that are no longer requested keep their entries.
    pub settings: Settings,
    /// The class ids whose rules differ from before.
    pub reassigned: Vec<ReassignedClass>,
}

/// A class id that now has other rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReassignedClass {
    /// The id with other rules.
    pub class: ClassId,
    /// The class whose learned values it inherits, if any.
    pub inherits_from: Option<ClassId>,
}
