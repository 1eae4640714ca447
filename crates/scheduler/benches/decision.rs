//! Measures the cost of a request by the number of endpoints: arrival, attempt, start and answer, and the
//! wake-ups in between. The scheduler under test uses 60% of the fleet, uses 1.2% of it, or sees its jobs
//! start late.
//!
//! Run it with `cargo bench -p shorepath-scheduler`.

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use shorepath_scheduler::{
    Action, AttemptStatus, ClassId, ClassSettings, Endpoint, EndpointId, EndpointState, Event, Idempotency,
    KindId, Micros, Request, RequestId, Scheduler, Settings, TenantId, TenantSettings, WorkState, ZoneId,
};
use std::collections::BTreeMap;
use std::hint::black_box;

/// Microseconds in a millisecond.
const MS: Micros = 1_000;

fn settings() -> Settings {
    let class = |idempotency| ClassSettings {
        latency_objective: 200 * MS,
        work_factor: 2.0,
        deadline: 5_000 * MS,
        late_fraction: 0.3,
        priority_weight: 1.0,
        idempotency,
        kind: None,
    };
    Settings {
        schedulers: 1,
        tick: MS,
        classes: vec![class(Idempotency::Idempotent), class(Idempotency::NonIdempotent)],
        tenants: vec![TenantSettings { share: 1.0, quota_per_second: 1e9 }],
        over_share_fraction: 0.2,
        reports_starts: true,
        can_cancel: true,
        capacity_includes_speed: true,
        max_attempts: 6,
        drain_grace: 500 * MS,
        slow_start_min_share: 0.13,
        slow_start_duration: 24_000 * MS,
        overload_multiple: 4.0,
        overload_window: 2_000 * MS,
        cross_zone_cost: 0.1,
        ..Settings::default()
    }
}

/// A scheduler under a constant load.
struct LoadedScheduler {
    scheduler: Scheduler,
    now: Micros,
    /// Mean time between arrivals, in microseconds.
    arrival_interval: f64,
    last_id: u64,
    /// Events to report, by time and request id: the start of an attempt, or its end if the flag is set.
    due: BTreeMap<(Micros, u64, bool), ()>,
    wake_at: Micros,
    actions: Vec<Action>,
    /// The fraction of a microsecond by which the last arrival was early.
    arrival_remainder: f64,
    /// Time from sending an attempt to its start.
    start_delay: Micros,
}

impl LoadedScheduler {
    /// Creates a scheduler with endpoints in three zones and a mean number of jobs in flight. It runs until
    /// the concurrency limit and the estimates have settled.
    fn new(endpoints: u32, mean_in_flight: f64, start_delay: Micros) -> LoadedScheduler {
        let endpoint = |n: u32| Endpoint {
            id: EndpointId(n),
            name_hash: u64::from(n),
            kind: KindId(n % 3),
            zone: ZoneId(n % 3),
            cell: 0,
            capacity: 2.0,
            state: EndpointState::Live,
            started_at: 0,
        };
        let mut loaded = LoadedScheduler {
            scheduler: Scheduler::new(settings(), 7),
            now: 1_000 * MS,
            arrival_interval: 100.0 * MS as f64 / mean_in_flight,
            last_id: 0,
            due: BTreeMap::new(),
            wake_at: Micros::MAX,
            actions: Vec::new(),
            arrival_remainder: 0.0,
            start_delay,
        };
        loaded.report(Event::EndpointList((0..endpoints).map(endpoint).collect()));
        for _ in 0..(30.0 * mean_in_flight) as u64 + 2_000 {
            loaded.run_to_next_arrival();
        }
        loaded
    }

    fn report(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::StartAttempt { id, .. } => {
                    self.due.insert((self.now + self.start_delay, id.0, false), ());
                    self.due.insert((self.now + 100 * MS, id.0, true), ());
                }
                Action::WakeAfter { delay: after } => {
                    self.wake_at = self.wake_at.min(self.now + after.max(1))
                }
                _ => {}
            }
        }
        self.actions = actions;
    }

    /// Advances time to the next arrival, handles the events that are due before it, and lets the request
    /// arrive.
    fn run_to_next_arrival(&mut self) {
        self.arrival_remainder += self.arrival_interval;
        let at = self.now + self.arrival_remainder as Micros;
        self.arrival_remainder -= self.arrival_remainder.floor();
        loop {
            let first = self.due.first_key_value().map(|(k, ())| *k);
            match first {
                Some(due) if due.0 <= at && due.0 <= self.wake_at => {
                    self.due.pop_first();
                    self.now = self.now.max(due.0);
                    let id = RequestId(due.1);
                    self.report(if due.2 {
                        Event::AttemptEnded { id, attempt: 0, status: AttemptStatus::Ok, is_final: true }
                    } else {
                        Event::AttemptStarted { id, attempt: 0 }
                    });
                }
                _ if self.wake_at <= at => {
                    self.now = self.now.max(self.wake_at);
                    self.wake_at = Micros::MAX;
                    self.report(Event::Wake);
                }
                _ => break,
            }
        }
        self.now = at.max(self.now);
        self.last_id += 1;
        self.report(Event::RequestArrived(Request {
            id: RequestId(self.last_id),
            class: ClassId(usize::from(self.last_id.is_multiple_of(4))),
            tenant: Some(TenantId(0)),
            key: None,
            time_remaining: 5_000 * MS,
            work_hint: None,
            slots: 1,
            is_retry: false,
            work_state: WorkState::New,
            is_remote: false,
        }));
    }
}

fn request_cost(criterion: &mut Criterion) {
    // With slow starts, most endpoints have a job that has not started, and are skipped.
    let loads = [("60% of the fleet", 1.2, 2), ("1.2% of the fleet", 0.024, 2), ("slow starts", 1.5, 90)];
    for (name, jobs_per_endpoint, start_delay) in loads {
        let mut group = criterion.benchmark_group(name);
        group.throughput(Throughput::Elements(1)).sample_size(30);
        for endpoints in [10u32, 100, 1_000, 10_000] {
            let mut loaded = LoadedScheduler::new(
                endpoints,
                (f64::from(endpoints) * jobs_per_endpoint).max(1.0),
                start_delay * MS,
            );
            group.bench_function(BenchmarkId::from_parameter(endpoints), |bencher| {
                bencher.iter(|| {
                    loaded.run_to_next_arrival();
                    black_box(&loaded.now);
                })
            });
        }
        group.finish();
    }
}

criterion_group!(benches, request_cost);
criterion_main!(benches);
