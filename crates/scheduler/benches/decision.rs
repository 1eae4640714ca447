//! What a decision costs by the size of the fleet: a request's whole life (taken, sent, started, served, with the
//! wake-ups between) at one scheduler that keeps its fleet 60% busy, that has a small part of it, or whose jobs
//! start late.
//!
//!     cargo bench -p shorepath-scheduler

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use shorepath_scheduler::Scheduler;
use shorepath_scheduler::*;
use std::collections::BTreeMap;
use std::hint::black_box;

const MS: Micros = 1_000;

fn settings() -> Settings {
    let class = |effect| ClassSettings {
        latency_objective: 200 * MS,
        work_factor: 2.0,
        deadline: 5_000 * MS,
        late_fraction: 0.3,
        priority_weight: 1.0,
        idempotency: effect,
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

/// A scheduler in the middle of its work.
struct Busy {
    balancer: Scheduler,
    now: Micros,
    gap: f64,
    next: u64,
    due: BTreeMap<(Micros, u64, bool), ()>,
    wake: Micros,
    out: Vec<Action>,
    owed: f64,
    /// From a send to its start.
    start: Micros,
}

impl Busy {
    /// One with so many servers in three zones, that asks for so many jobs at a time.
    fn new(servers: u32, at_a_time: f64, start: Micros) -> Busy {
        let member = |n: u32| Endpoint {
            id: EndpointId(n),
            name_hash: u64::from(n),
            kind: KindId(n % 3),
            zone: ZoneId(n % 3),
            cell: 0,
            capacity: 2.0,
            state: EndpointState::Live,
            started_at: 0,
        };
        let mut busy = Busy {
            balancer: Scheduler::new(settings(), 7),
            now: 1_000 * MS,
            gap: 100.0 * MS as f64 / at_a_time,
            next: 0,
            due: BTreeMap::new(),
            wake: Micros::MAX,
            out: Vec::new(),
            owed: 0.0,
            start,
        };
        busy.tell(Event::EndpointList((0..servers).map(member).collect()));
        // Until its window and what it has learned have settled.
        for _ in 0..(30.0 * at_a_time) as u64 + 2_000 {
            busy.request();
        }
        busy
    }

    fn tell(&mut self, event: Event) {
        let mut out = std::mem::take(&mut self.out);
        self.balancer.handle(self.now, event, &mut out);
        for action in out.drain(..) {
            match action {
                Action::StartAttempt { id, .. } => {
                    self.due.insert((self.now + self.start, id.0, false), ());
                    self.due.insert((self.now + 100 * MS, id.0, true), ());
                }
                Action::WakeAfter { delay: after } => self.wake = self.wake.min(self.now + after.max(1)),
                _ => {}
            }
        }
        self.out = out;
    }

    /// Everything up to the next request, and that.
    fn request(&mut self) {
        self.owed += self.gap;
        let at = self.now + self.owed as Micros;
        self.owed -= self.owed.floor();
        loop {
            let first = self.due.first_key_value().map(|(k, ())| *k);
            match first {
                Some(due) if due.0 <= at && due.0 <= self.wake => {
                    self.due.pop_first();
                    self.now = self.now.max(due.0);
                    let id = RequestId(due.1);
                    self.tell(if due.2 {
                        Event::AttemptEnded { id, attempt: 0, status: AttemptStatus::Ok, is_final: true }
                    } else {
                        Event::AttemptStarted { id, attempt: 0 }
                    });
                }
                _ if self.wake <= at => {
                    self.now = self.now.max(self.wake);
                    self.wake = Micros::MAX;
                    self.tell(Event::Wake);
                }
                _ => break,
            }
        }
        self.now = at.max(self.now);
        self.next += 1;
        self.tell(Event::RequestArrived(Request {
            id: RequestId(self.next),
            class: ClassId(usize::from(self.next.is_multiple_of(4))),
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

fn lives(c: &mut Criterion) {
    // Where starts take long, most servers have a job of ours that has not started, and are passed over.
    let ways = [("whole fleet", 1.2, 2), ("a fiftieth of it", 0.024, 2), ("all wait", 1.5, 90)];
    for (name, part, start) in ways {
        let mut group = c.benchmark_group(name);
        group.throughput(Throughput::Elements(1)).sample_size(30);
        for servers in [10u32, 100, 1_000, 10_000] {
            let mut busy = Busy::new(servers, (f64::from(servers) * part).max(1.0), start * MS);
            group.bench_function(BenchmarkId::from_parameter(servers), |b| {
                b.iter(|| {
                    busy.request();
                    black_box(&busy.now);
                })
            });
        }
        group.finish();
    }
}

criterion_group!(benches, lives);
criterion_main!(benches);
