//! Settings, events and a harness for the scheduler's tests.
#![allow(dead_code)] // each test file uses a part

use shorepath_scheduler::Scheduler;
use shorepath_scheduler::*;

/// A millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// A second, in microseconds.
pub const S: Micros = 1_000_000;

/// Returns a class with a latency objective of 100 ms and a deadline of 5 s.
pub fn class_settings(idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_objective: 100 * MS,
        work_factor: 2.0,
        deadline: 5 * S,
        idempotency,
        ..ClassSettings::default()
    }
}

/// Returns settings without tenants. Class 0 is idempotent and class 1 is not; endpoints report starts.
pub fn settings() -> Settings {
    Settings {
        schedulers: 2,
        tick: MS,
        classes: vec![class_settings(Idempotency::Idempotent), class_settings(Idempotency::NonIdempotent)],
        over_share_fraction: 0.1,
        reports_starts: true,
        can_cancel: true,
        max_attempts: 3,
        drain_grace: 500 * MS,
        slow_start_min_share: 0.2,
        slow_start_duration: 10 * S,
        overload_multiple: 3.0,
        overload_window: 1_500 * MS,
        ..Settings::default()
    }
}

/// Returns a live endpoint of four cores in zone 0 that started long ago.
pub fn live_endpoint(n: u32) -> Endpoint {
    Endpoint {
        id: EndpointId(n),
        name_hash: u64::from(n),
        kind: KindId(0),
        zone: ZoneId(0),
        cell: 0,
        capacity: 4.0,
        state: EndpointState::Live,
        started_at: 0,
    }
}

/// Returns a first try with neither tenant, key nor work hint.
pub fn request(id: u64, class: usize) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        key: None,
        time_remaining: 5 * S,
        work_hint: None,
        slots: 1,
        is_retry: false,
        work_state: WorkState::New,
        is_remote: false,
    }
}

/// A scheduler with a simulated clock. Its methods return the actions that the events lead to.
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: Micros,
    /// The times of the wake-ups that the scheduler has asked for.
    pub wake_ups: Vec<Micros>,
}

impl Harness {
    /// Returns a harness whose endpoint list has this many live endpoints, numbered from 0.
    pub fn new(settings: Settings, endpoints: u32) -> Harness {
        let mut harness = Harness { scheduler: Scheduler::new(settings, 1), now: S, wake_ups: vec![] };
        harness.handle(Event::EndpointList((0..endpoints).map(live_endpoint).collect()));
        harness
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        let now = self.now;
        let wake_up = |a: &Action| if let Action::WakeAfter { delay } = a { Some(now + delay) } else { None };
        self.wake_ups.extend(actions.iter().filter_map(wake_up));
        actions
    }

    /// Advances the clock and delivers each wake-up that is due, and one more at the end.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let (end, mut actions) = (self.now + duration, Vec::new());
        while let Some(at) = self.wake_ups.iter().copied().filter(|&at| at <= end).min() {
            self.wake_ups.retain(|&w| w > at);
            self.now = self.now.max(at);
            actions.extend(self.handle(Event::Wake));
        }
        self.now = end;
        actions.extend(self.handle(Event::Wake));
        actions
    }

    /// Advances the clock without any event or wake-up, as when the process is stopped.
    pub fn advance_without_events(&mut self, duration: Micros) {
        self.now += duration;
    }

    pub fn request_arrived(&mut self, id: u64, class: usize) -> Vec<Action> {
        self.handle(Event::RequestArrived(request(id, class)))
    }

    /// Reports the start of a request's first attempt.
    pub fn attempt_started(&mut self, id: u64) -> Vec<Action> {
        self.handle(Event::AttemptStarted { id: RequestId(id), attempt: 0 })
    }

    /// Reports the end of an attempt, which is final if its status is `Ok`.
    pub fn attempt_ended(&mut self, id: u64, attempt: u32, status: AttemptStatus) -> Vec<Action> {
        let is_final = status == AttemptStatus::Ok;
        self.handle(Event::AttemptEnded { id: RequestId(id), attempt, status, is_final })
    }
}

/// Returns the request and the endpoint of each attempt that the actions start.
pub fn new_attempts(actions: &[Action]) -> Vec<(u64, u32)> {
    let new_attempt = |a: &Action| match a {
        Action::StartAttempt { id, endpoint } => Some((id.0, endpoint.0)),
        _ => None,
    };
    actions.iter().filter_map(new_attempt).collect()
}

pub fn is_shed(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Shed { id: i, .. } if i.0 == id))
}

pub fn is_failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail { id: RequestId(id) })
}
