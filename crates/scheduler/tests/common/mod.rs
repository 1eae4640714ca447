//! Scripted events for the tests of the decision module.
#![allow(dead_code)] // each test file uses a part

use shorepath_scheduler::Scheduler;
use shorepath_scheduler::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// A class wanted within 100 ms, given up after 5 s.
pub fn class(effect: Idempotency) -> ClassSettings {
    ClassSettings {
        latency_objective: 100 * MS,
        work_factor: 2.0,
        deadline: 5 * S,
        idempotency: effect,
        ..ClassSettings::default()
    }
}

/// Class 0 is safe, class 1 unsafe; no tenants; starts are told.
pub fn settings() -> Settings {
    Settings {
        schedulers: 2,
        tick: MS,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
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

pub fn member(n: u32) -> Endpoint {
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

/// A module with the actions of its last event.
pub struct Rig {
    pub balancer: Scheduler,
    pub now: Micros,
    /// When the module asked to be woken.
    pub wakes: Vec<Micros>,
}

impl Rig {
    pub fn new(settings: Settings, workers: u32) -> Rig {
        let mut rig = Rig { balancer: Scheduler::new(settings, 1), now: S, wakes: vec![] };
        rig.event(Event::EndpointList((0..workers).map(member).collect()));
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        let now = self.now;
        let wake =
            |a: &Action| if let Action::WakeAfter { delay: after } = a { Some(now + after) } else { None };
        self.wakes.extend(out.iter().filter_map(wake));
        out
    }

    /// Let time pass and wake the module, each time that it asked for it.
    pub fn pass(&mut self, time: Micros) -> Vec<Action> {
        let (end, mut out) = (self.now + time, Vec::new());
        while let Some(at) = self.wakes.iter().copied().filter(|&at| at <= end).min() {
            self.wakes.retain(|&w| w > at);
            self.now = self.now.max(at);
            out.extend(self.event(Event::Wake));
        }
        self.now = end;
        out.extend(self.event(Event::Wake));
        out
    }

    /// Stand still for a time: no event is handed in, and no wake-up.
    pub fn stand(&mut self, time: Micros) {
        self.now += time;
    }

    pub fn ask(&mut self, id: u64, class: usize) -> Vec<Action> {
        self.event(Event::RequestArrived(request(id, class)))
    }

    pub fn started(&mut self, id: u64) -> Vec<Action> {
        self.event(Event::AttemptStarted { id: RequestId(id), attempt: 0 })
    }

    pub fn ended(&mut self, id: u64, attempt: u32, status: AttemptStatus) -> Vec<Action> {
        let settled = status == AttemptStatus::Ok;
        self.event(Event::AttemptEnded { id: RequestId(id), attempt, status, is_final: settled })
    }
}

/// Where each send among these actions goes.
pub fn sends(actions: &[Action]) -> Vec<(u64, u32)> {
    let send = |a: &Action| match a {
        Action::StartAttempt { id, endpoint: worker } => Some((id.0, worker.0)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn refused(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Shed { id: i, .. } if i.0 == id))
}

pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail { id: RequestId(id) })
}
