//! The scheduler: events in, actions out. This file has its state and how events reach the part that decides on them; each part is
//! a module of its own below.

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

/// The longest pause before the endpoint list is subscribed to again.
const MAX_SUBSCRIBE_BACKOFF: Micros = 1_000_000;

/// First tries of each tenant here, since the first endpoint list.
#[derive(Debug, Default)]
struct TenantDemand {
    /// By the index of the tenant, and the last for requests without one.
    arrivals: Vec<DecayingSum>,
    /// When the first endpoint list came.
    since: Option<Micros>,
}

impl TenantDemand {
    fn resize(&mut self, tenants: usize) {
        self.arrivals.resize(tenants + 1, DecayingSum::default());
    }
}

/// The decisions of one scheduler. Hand in every event in order; it appends the actions that follow.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    rng: Rand64,
    now: Micros,
    /// When the scheduler last found that it had been stalled.
    stalled_at: Micros,
    queues: Vec<DispatchQueue>,
    /// Running mean of the running time of each class, in microseconds.
    class_work: Vec<f64>,
    /// Running mean of the size of a request.
    mean_size: f64,
    endpoints: EndpointTable,
    quotas: Quotas,
    /// Jobs served so far.
    served: u64,
    /// Capacity of all live endpoints.
    total_capacity: f64,
    /// The work of our served jobs on a unit of that.
    served_work: DecayingSum,
    /// Running mean of the speed of each kind of endpoint.
    kind_speeds: BTreeMap<u32, f64>,
    suspicions: Suspicions,
    stale_connections: StaleConnections,
    requests: HashMap<RequestId, PendingRequest>,
    attempts: HashMap<AttemptId, Attempt>,
    timers: Timers,
    subscribe_backoff: Micros,
    retry_history: RetryHistory,
    abandonment: Abandonment,
    zone_losses: ZoneLosses,
    demand: TenantDemand,
}

impl Scheduler {
    /// A scheduler that knows nothing but its settings. `seed` is for its random choices: the same seed and events lead to the same
    /// actions.
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
            abandonment: Abandonment::default(),
            zone_losses: ZoneLosses::default(),
            demand,
            settings,
        }
    }

    /// Take one event at time `now`, in microseconds on the caller's clock, and append the actions that follow.
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

    /// A wake-up that comes late shows that this scheduler was stalled: how long what comes with it took is not known, and no
    /// attempt counts as overdue before it is taken in.
    fn detect_stall(&mut self) {
        let late = self.now - 2 * self.settings.tick.max(1);
        if self.timers.first_due().is_some_and(|at| at < late) {
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
            // Still queued, it can no longer be in time, or its client leaves: it is shed while that is harmless.
            Timer::AnswerDue(id) if self.requests.get(&id).is_some_and(|r| !r.is_in_flight) => {
                self.answer_unserved(id, actions);
            }
            Timer::ProbeRoundOver(id, round)
                if self.requests.get(&id).is_some_and(|r| r.probe_round == round) =>
            {
                self.probe_next(id, actions);
            }
            Timer::AnswerDue(_) | Timer::ProbeRoundOver(..) | Timer::CapacityFreed => {}
            Timer::AttemptOverdue(id, attempt) => self.on_attempt_overdue((id, attempt), actions),
            Timer::Resubscribe => actions.push(Action::Subscribe),
        }
    }

    /// Other settings apply. Open requests keep the rules under which they arrived; a class with other rules inherits what the class
    /// that it follows has learned.
    fn reconfigure(&mut self, reconfiguration: Reconfiguration) {
        let settings = reconfiguration.settings;
        let learned = self.class_work.clone();
        self.class_work.resize(settings.classes.len(), 0.0);
        let moved = |r: &&crate::ReassignedClass| r.inherits_from != Some(r.class);
        for reassigned in reconfiguration.reassigned.iter().filter(moved) {
            let class = reassigned.class;
            let inherited = reassigned.inherits_from.and_then(|from| learned.get(from.0)).copied();
            self.class_work[class.0] = inherited.unwrap_or_else(|| settings.classes[class.0].assumed_work());
            reassign_class(&mut self.suspicions, class, reassigned.inherits_from);
        }
        DispatchQueue::add_missing(&mut self.queues, &settings);
        self.demand.resize(settings.tenants.len());
        self.settings = settings;
        self.refresh_endpoints();
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Whether this end of an attempt that is out proves that it never ran.
    pub fn proves_not_run(&self, id: RequestId, attempt: u32, status: AttemptStatus) -> bool {
        self.attempts.get(&(id, attempt)).is_some_and(|a| self.never_ran(&a.job, status))
    }

    /// When the attempt of a request that is started now has to have been written whole, if that is limited: it may have to wait
    /// for its connection.
    pub fn write_deadline(&self, id: RequestId) -> Option<Micros> {
        self.requests.get(&id).and_then(|request| self.repeatable_until(request))
    }

    /// Whether a request or an attempt uses the id of that class.
    pub fn uses_class(&self, class: ClassId) -> bool {
        self.requests.values().any(|r| r.job.class == class)
            || self.attempts.values().any(|a| a.job.class == class)
    }

    /// Requests of a tenant that were accepted as new while that was limited, since the start.
    pub fn new_work_count(&self, tenant: TenantId) -> u64 {
        self.quotas.new_work_count(tenant)
    }

    /// What was done with each quota share since that was last asked for.
    pub fn take_quota_usage(&mut self, now: Micros) -> Vec<(QuotaKind, QuotaUsage)> {
        let most = self.endpoints.iter().map(|e| u64::from(e.in_flight)).max().unwrap_or(0);
        self.quotas.take_usage(now, most)
    }

    /// The mean work of a request over all classes, in microseconds.
    fn mean_work(&self) -> f64 {
        self.class_work.iter().sum::<f64>() / self.class_work.len().max(1) as f64
    }

    /// The mean latency objective over all classes, with the work of each included, in microseconds.
    fn mean_objective(&self) -> f64 {
        let classes = self.settings.classes.iter().zip(&self.class_work);
        let sum: f64 =
            classes.map(|(class, work)| class.latency_objective as f64 + class.work_factor * work).sum();
        (sum / self.class_work.len().max(1) as f64).max(1.0)
    }

    /// The time constant with which records of idle connections decay, in microseconds.
    fn connection_time_constant(&self) -> f64 {
        2.0 * self.settings.recent_window()
    }
}
