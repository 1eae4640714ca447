//! The scheduler's state, and the dispatch of events and timers to the submodules that handle them.

mod admission;
mod answers;
mod attempts;
mod dispatch;
mod endpoint_list;
mod outlier_detection;
mod probing;
mod selection;
mod slow_start;

use crate::abandonment::Abandonment;
use crate::action::Action;
use crate::decaying_sum::DecayingSum;
use crate::endpoint_table::EndpointTable;
use crate::event::{AttemptStatus, Event};
use crate::fair_queue::DispatchQueue;
use crate::ids::{ClassId, RequestId, TenantId};
use crate::outlier::{reassign_class, Suspicions};
use crate::quota::{QuotaKind, QuotaUsage, Quotas};
use crate::request::{Attempt, AttemptId, PendingRequest};
use crate::retry_history::RetryHistory;
use crate::settings::{ClassSettings, Reconfiguration, Settings};
use crate::stale_connections::StaleConnections;
use crate::timer::{Timer, Timers};
use crate::zone_loss::ZoneLosses;
use oorandom::Rand64;
use shorepath_types::Micros;
use std::collections::{BTreeMap, HashMap};

/// Upper bound of the delay before the endpoint list is subscribed to again, in microseconds.
const MAX_SUBSCRIBE_BACKOFF: Micros = 1_000_000;

/// The arrival of first tries at this scheduler, since its first endpoint list.
#[derive(Debug, Default)]
struct TenantDemand {
    /// Arrivals by tenant index, and last for requests without a tenant.
    arrivals: Vec<DecayingSum>,
    /// When the first endpoint list arrived.
    since: Option<Micros>,
}

impl TenantDemand {
    fn resize(&mut self, tenants: usize) {
        self.arrivals.resize(tenants + 1, DecayingSum::default());
    }
}

/// Makes the decisions of one scheduler. The caller passes every event in order to [`Scheduler::handle`],
/// which appends the resulting actions.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    rng: Rand64,
    now: Micros,
    /// When the scheduler last detected that it had been stalled.
    stalled_at: Micros,
    queues: Vec<DispatchQueue>,
    /// Running mean of the running time of each class, in microseconds.
    class_work: Vec<f64>,
    /// Running mean of the size of a request, see [`crate::request::Job::size`].
    mean_size: f64,
    endpoints: EndpointTable,
    quotas: Quotas,
    /// Number of jobs served so far.
    served: u64,
    /// Sum of the greatest listed capacities of all live endpoints.
    total_capacity: f64,
    /// Work of this scheduler's served jobs per unit of total capacity.
    served_work: DecayingSum,
    /// Running mean of the speed of endpoints, by kind.
    kind_speeds: BTreeMap<u32, f64>,
    suspicions: Suspicions,
    stale_connections: StaleConnections,
    requests: HashMap<RequestId, PendingRequest>,
    attempts: HashMap<AttemptId, Attempt>,
    timers: Timers,
    subscribe_backoff: Micros,
    retry_history: RetryHistory,
    /// By tenant index, and last for requests without a tenant.
    abandonments: Vec<Abandonment>,
    zone_losses: ZoneLosses,
    demand: TenantDemand,
}

impl Scheduler {
    /// Creates a scheduler. `seed` is for its random choices: equal seeds and events lead to equal actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut queues = Vec::new();
        DispatchQueue::add_missing(&mut queues, &settings);
        let mut demand = TenantDemand::default();
        demand.resize(settings.tenants.len());
        Scheduler {
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            stalled_at: 0,
            queues,
            class_work: settings.classes.iter().map(ClassSettings::assumed_work).collect(),
            mean_size: 1.0,
            endpoints: EndpointTable::default(),
            quotas: Quotas::default(),
            served: 0,
            total_capacity: 0.0,
            served_work: DecayingSum::default(),
            kind_speeds: BTreeMap::new(),
            suspicions: Suspicions::new(),
            stale_connections: StaleConnections::default(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            timers: Timers::default(),
            subscribe_backoff: settings.tick.max(1),
            retry_history: RetryHistory::default(),
            abandonments: vec![Abandonment::default(); settings.tenants.len() + 1],
            zone_losses: ZoneLosses::default(),
            demand,
            settings,
        }
    }

    /// Handles one event at time `now`, in microseconds on the caller's clock, and appends the resulting
    /// actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.detect_stall();
        self.on_event(event, actions);
        self.run_due_timers(actions);
        for queue in 0..self.queues.len() {
            self.dispatch(queue, actions);
        }
        if let Some(at) = self.timers.rearm() {
            actions.push(Action::WakeAfter { delay: at - now });
        }
    }

    /// Detects a stall of this process by a late timer. The duration of events that arrive with it is then
    /// unknown, and attempts count as overdue only after these events are handled.
    fn detect_stall(&mut self) {
        let stall_limit = self.now - 2 * self.settings.tick.max(1);
        if self.timers.first_due().is_some_and(|at| at < stall_limit) {
            self.stalled_at = self.now;
        }
    }

    fn on_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(list) => self.on_endpoint_list(list, actions),
            Event::EndpointUpdate(changed) => self.on_endpoint_update(changed),
            Event::EndpointListFailed => self.on_endpoint_list_failed(),
            Event::RequestArrived(request) => self.on_request(&request, actions),
            Event::AttemptStarted { id, attempt } | Event::StreamStarted { id, attempt } => {
                self.on_attempt_started((id, attempt));
            }
            Event::IdleConnectionClosed { endpoint, position } => {
                if let Some(tracked) = self.endpoints.get_mut(endpoint) {
                    tracked.remove_idle_connection(position);
                }
            }
            Event::QuotaShares(shares) => self.quotas.set(self.now, shares),
            Event::AttemptEnded { id, attempt, status, is_final } => {
                self.on_attempt_ended((id, attempt), status, is_final, actions);
            }
            Event::ProbeEnded { endpoint, status, report } => {
                self.on_probe_ended(endpoint, status, report, actions);
            }
            Event::Reconfigure(reconfiguration) => self.reconfigure(*reconfiguration),
            Event::ClientLeft(id) => self.end_request(id, true),
            Event::Wake => self.timers.on_wake(self.now),
            Event::AttemptProgress { .. } => {}
        }
    }

    fn run_due_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            if self.stalled_at == self.now && matches!(timer, Timer::AttemptOverdue(..)) {
                self.timers.set(self.now + 1, timer);
                continue;
            }
            self.on_timer(timer, actions);
        }
    }

    fn on_timer(&mut self, timer: Timer, actions: &mut Vec<Action>) {
        match timer {
            // A request that is still queued can no longer be answered in time, or its client is about to
            // give up: it is shed if a retry is harmless, and otherwise fails.
            Timer::AnswerDue(id) if self.requests.get(&id).is_some_and(|r| !r.is_in_flight) => {
                self.answer_unserved(id, actions);
            }
            Timer::ProbeRoundOver(id, round)
                if self.requests.get(&id).is_some_and(|r| r.probe_round == round) =>
            {
                self.start_probe_round(id, actions);
            }
            Timer::AnswerDue(_) | Timer::ProbeRoundOver(..) | Timer::CapacityFreed => {}
            Timer::AttemptOverdue(id, attempt) => self.on_attempt_overdue((id, attempt), actions),
            Timer::Resubscribe => actions.push(Action::Subscribe),
        }
    }

    /// Applies new settings. Open requests keep the rules under which they arrived. A class with other rules
    /// inherits the learned values of the class that it follows.
    fn reconfigure(&mut self, reconfiguration: Reconfiguration) {
        let settings = reconfiguration.settings;
        let previous_work = self.class_work.clone();
        self.class_work.resize(settings.classes.len(), 0.0);
        let moved = |r: &&crate::ReassignedClass| r.inherits_from != Some(r.class);
        for reassigned in reconfiguration.reassigned.iter().filter(moved) {
            let class = reassigned.class;
            let inherited = reassigned.inherits_from.and_then(|from| previous_work.get(from.0)).copied();
            self.class_work[class.0] = inherited.unwrap_or_else(|| settings.classes[class.0].assumed_work());
            reassign_class(&mut self.suspicions, class, reassigned.inherits_from);
        }
        DispatchQueue::add_missing(&mut self.queues, &settings);
        self.demand.resize(settings.tenants.len());
        self.abandonments.resize(settings.tenants.len() + 1, Abandonment::default());
        self.settings = settings;
        self.refresh_endpoints();
    }

    /// Returns the current settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns whether the final `status` of an attempt in flight proves that it never ran; `false` for an
    /// unknown attempt.
    pub fn proves_not_run(&self, id: RequestId, attempt: u32, status: AttemptStatus) -> bool {
        self.attempts.get(&(id, attempt)).is_some_and(|a| self.never_ran(&a.job, status))
    }

    /// Returns the time by which an attempt that starts now must have been written completely, because it
    /// may have to wait for its connection. `None` if there is no limit.
    pub fn write_deadline(&self, id: RequestId) -> Option<Micros> {
        self.requests.get(&id).and_then(|request| self.repeatable_until(request))
    }

    /// Returns whether a request or an attempt in flight uses a class id.
    pub fn uses_class(&self, class: ClassId) -> bool {
        self.requests.values().any(|r| r.job.class == class)
            || self.attempts.values().any(|a| a.job.class == class)
    }

    /// Returns how many requests of a tenant were accepted as new while a quota limited them.
    pub fn new_work_count(&self, tenant: TenantId) -> u64 {
        self.quotas.new_work_count(tenant)
    }

    /// Returns the usage of each quota share since the last call, and resets it.
    pub fn take_quota_usage(&mut self, now: Micros) -> Vec<(QuotaKind, QuotaUsage)> {
        let most_in_flight = self.endpoints.iter().map(|e| u64::from(e.in_flight)).max().unwrap_or(0);
        self.quotas.take_usage(now, most_in_flight)
    }

    /// Returns the mean work of a request over all classes, in microseconds.
    fn mean_work(&self) -> f64 {
        self.class_work.iter().sum::<f64>() / self.class_work.len().max(1) as f64
    }

    /// Returns the mean latency objective over all classes, including each class's own work, in
    /// microseconds.
    fn mean_objective(&self) -> f64 {
        let classes = self.settings.classes.iter().zip(&self.class_work);
        let sum: f64 =
            classes.map(|(class, work)| class.latency_objective as f64 + class.work_factor * work).sum();
        (sum / self.class_work.len().max(1) as f64).max(1.0)
    }

    /// Returns the time constant with which records of idle connections decay, in microseconds.
    fn connection_time_constant(&self) -> f64 {
        2.0 * self.settings.recent_window()
    }
}
