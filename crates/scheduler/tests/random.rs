//! Random event sequences with fixed seeds. Each action is checked against idempotency, the retry budget, the
//! drain grace, the overload limit of slow start, and the deadline by which each request is answered once.

mod common;
use common::*;
use shorepath_scheduler::Scheduler;
use shorepath_scheduler::*;
use std::collections::BTreeMap;

/// A request that the scheduler has received.
struct TrackedRequest {
    class: usize,
    deadline: Micros,
    /// For each attempt its endpoint, whether it is in flight, whether it may have run, and when it was sent.
    attempts: Vec<(u32, bool, bool, Micros)>,
    is_over: bool,
}

fn run(seed: u64) {
    let mut rng = oorandom::Rand64::new(seed as u128);
    let mut settings = settings();
    // Endpoints are probed only where schedulers outnumber them.
    settings.probing = seed.is_multiple_of(2);
    settings.schedulers = if settings.probing { 12 } else { 2 };
    settings.reports_starts = !seed.is_multiple_of(3);
    settings.overloaded_may_have_run = seed % 4 > 1;
    let tenant = TenantSettings { share: 0.5, quota_per_second: 20.0 };
    settings.tenants = vec![tenant.clone(), tenant];
    let keyed = Idempotency::Keyed { scope: DedupScope::Zone, window: S };
    settings.classes.push(class_settings(keyed));
    if seed % 3 == 1 {
        settings.retry_budget = Some(RetryBudget { window: S, min_retries: 1.0, ratio: 0.1 });
    }
    settings.only_draining_excludes = seed % 5 > 2;
    let (mut arrivals, mut retries): (Vec<Micros>, Vec<Micros>) = (vec![], vec![]);
    let max_delay = 20 * MS;
    let mut scheduler = Scheduler::new(settings.clone(), seed);
    let mut endpoints: Vec<Endpoint> =
        (0..6).map(|n| Endpoint { zone: ZoneId(n % 2), cell: n / 3, ..live_endpoint(n) }).collect();
    // When each endpoint that must get no new attempts was announced as such.
    let mut excluded_at: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut requests: BTreeMap<u64, TrackedRequest> = BTreeMap::new();
    let mut sent_in_slow_start: BTreeMap<u32, Vec<Micros>> = BTreeMap::new();
    let (mut now, mut wake_at, mut next_id) = (S, Micros::MAX, 0u64);
    let mut events = vec![Event::EndpointList(endpoints.clone())];
    let mut pending_probes: Vec<(Micros, u32)> = vec![];
    let mut probes = 0;
    for step in 0..30_000 {
        now += MS;
        if wake_at <= now {
            wake_at = Micros::MAX;
            events.push(Event::Wake);
        }
        if step < 25_000 && rng.rand_float() < 0.15 {
            let class = rng.rand_range(0..3) as usize;
            let time_remaining = rng.rand_range(1..5_000) as Micros * MS;
            let tenant = Some(TenantId(rng.rand_range(0..2) as usize));
            events.push(Event::RequestArrived(Request { tenant, time_remaining, ..request(next_id, class) }));
            arrivals.push(now);
            requests.insert(
                next_id,
                TrackedRequest { class, deadline: now + time_remaining, attempts: vec![], is_over: false },
            );
            next_id += 1;
        }
        if rng.rand_float() < 0.002 {
            let n = rng.rand_range(0..6) as usize;
            let state = [EndpointState::Live, EndpointState::Draining, EndpointState::Removed]
                [rng.rand_range(0..3) as usize];
            if state == EndpointState::Live {
                endpoints[n].started_at = now;
                excluded_at.remove(&(n as u32));
                sent_in_slow_start.remove(&(n as u32));
            } else if state == EndpointState::Draining || !settings.only_draining_excludes {
                excluded_at.entry(n as u32).or_insert(now);
            }
            endpoints[n].state = state;
            events.push(Event::EndpointUpdate(vec![endpoints[n].clone()]));
        }
        for (&id, tracked) in requests.iter_mut() {
            for (number, attempt) in tracked.attempts.iter_mut().enumerate().filter(|(_, a)| a.1) {
                let is_stuck = attempt.0 == 5 && step < 15_000;
                let status = if now >= tracked.deadline {
                    AttemptStatus::Timeout
                } else if is_stuck || rng.rand_float() > 0.03 {
                    if !is_stuck && rng.rand_float() < 0.05 {
                        events.push(Event::AttemptStarted { id: RequestId(id), attempt: number as u32 });
                    }
                    continue;
                } else {
                    let statuses = [
                        AttemptStatus::Ok,
                        AttemptStatus::Ok,
                        AttemptStatus::Ok,
                        AttemptStatus::Overloaded,
                        AttemptStatus::Error,
                        AttemptStatus::Reset,
                    ];
                    statuses[rng.rand_range(0..6) as usize]
                };
                attempt.1 = false;
                attempt.2 = match status {
                    AttemptStatus::Overloaded => settings.overloaded_may_have_run,
                    _ => !matches!(status, AttemptStatus::ConnectFailed | AttemptStatus::NotSent),
                };
                tracked.is_over |= status == AttemptStatus::Ok;
                let is_final = tracked.is_over;
                events.push(Event::AttemptEnded {
                    id: RequestId(id),
                    attempt: number as u32,
                    status,
                    is_final,
                });
            }
        }
        while let Some(position) = pending_probes.iter().position(|p| p.0 <= now) {
            let (endpoint, in_flight) =
                (EndpointId(pending_probes.swap_remove(position).1), rng.rand_range(0..6) as f64);
            let statuses = [
                AttemptStatus::Ok,
                AttemptStatus::Ok,
                AttemptStatus::Ok,
                AttemptStatus::Overloaded,
                AttemptStatus::ConnectFailed,
                AttemptStatus::Timeout,
            ];
            let status = statuses[rng.rand_range(0..6) as usize];
            let report =
                LoadReport { free_slots: Some((2.0 - in_flight).max(0.0)), in_flight: Some(in_flight) };
            events.push(Event::ProbeEnded { endpoint, status, report });
        }
        let mut actions = Vec::new();
        for event in events.drain(..) {
            scheduler.handle(now, event, &mut actions);
        }
        for action in actions {
            match action {
                Action::StartAttempt { id, endpoint } => {
                    let tracked = requests.get_mut(&id.0).unwrap();
                    assert!(!tracked.is_over, "attempt started after the request was answered");
                    assert!(tracked.attempts.iter().all(|a| !a.1), "two attempts in flight at once");
                    assert!((tracked.attempts.len() as u32) < settings.max_attempts);
                    if let Some(budget) = settings.retry_budget.filter(|_| !tracked.attempts.is_empty()) {
                        retries.push(now);
                        let recent_requests =
                            arrivals.iter().filter(|&&at| at > now - budget.window).count() as f64;
                        let recent_retries =
                            retries.iter().filter(|&&at| at >= now - budget.window).count() as f64;
                        assert!(
                            recent_retries <= budget.min_retries + budget.ratio * recent_requests,
                            "{recent_retries} retries for {recent_requests} requests"
                        );
                    }
                    if let Some(first) = tracked.attempts.iter().find(|a| a.2) {
                        match settings.classes[tracked.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => {
                                panic!("a non-idempotent request that may have run was retried")
                            }
                            Idempotency::Keyed { window, .. } => {
                                assert!(now <= first.3 + window && first.0 % 2 == endpoint.0 % 2);
                            }
                        }
                    }
                    if let Some(&at) = excluded_at.get(&endpoint.0) {
                        assert!(now <= at + settings.drain_grace, "attempt at an excluded endpoint");
                    }
                    tracked.attempts.push((endpoint.0, true, false, now));
                    let started_at = endpoints[endpoint.0 as usize].started_at;
                    if started_at > 0 && now < started_at + settings.slow_start_duration {
                        let sent = sent_in_slow_start.entry(endpoint.0).or_default();
                        sent.push(now);
                        let count = sent.iter().filter(|&&at| at > now - settings.overload_window).count();
                        let age = (now - started_at) as f64 / settings.slow_start_duration as f64;
                        let share =
                            settings.slow_start_min_share + (1.0 - settings.slow_start_min_share) * age;
                        // An attempt takes 33 ms on average, so 4 cores serve 120 a second. The overload
                        // limit is three times the capacity over a window of 1.5 s, and this scheduler
                        // may use half of it.
                        let limit = 3.0 * 120.0 * share * 1.5 / 2.0;
                        assert!(count as f64 <= limit, "{count} attempts in slow start, more than {limit}");
                    }
                }
                Action::Reject { id, .. } => panic!("{id:?} is rejected without a quota or another node"),
                Action::Shed { id, .. } | Action::Fail { id } => {
                    let is_shed = matches!(action, Action::Shed { .. });
                    let tracked = requests.get_mut(&id.0).unwrap();
                    assert!(!tracked.is_over, "request answered twice");
                    let may_have_run = tracked.attempts.iter().any(|a| a.1 || a.2);
                    assert!(
                        !(is_shed && may_have_run && tracked.class != 0),
                        "a request that may have run was shed"
                    );
                    tracked.is_over = true;
                }
                Action::CancelAttempt { id, attempt } => {
                    assert!(!requests[&id.0].is_over, "attempt cancelled after the request was answered");
                    let tracked = requests.get_mut(&id.0).unwrap();
                    let cancelled = &mut tracked.attempts[attempt as usize];
                    if cancelled.1 {
                        (cancelled.1, cancelled.2) = (false, true);
                        let (status, is_final) = (AttemptStatus::Cancelled, tracked.is_over);
                        events.push(Event::AttemptEnded { id, attempt, status, is_final });
                    }
                }
                Action::WakeAfter { delay } => wake_at = wake_at.min(now + delay.max(MS)),
                Action::Probe { endpoint } => {
                    let is_allowed =
                        excluded_at.get(&endpoint.0).is_none_or(|at| now <= at + settings.drain_grace);
                    assert!(is_allowed, "probe of an excluded endpoint");
                    pending_probes.push((now + rng.rand_range(1..60) as Micros * MS, endpoint.0));
                    probes += 1;
                }
                Action::CloseIdleConnections { .. } | Action::Subscribe => {}
            }
        }
        requests.retain(|id, tracked| {
            assert!(
                tracked.is_over || now <= tracked.deadline + max_delay,
                "request {id} has no answer after its deadline"
            );
            !tracked.is_over || tracked.attempts.iter().any(|a| a.1)
        });
    }
    assert!(requests.values().all(|tracked| tracked.is_over), "a request has no answer at the end");
    assert!(next_id > 3_000 && (probes > 200) == settings.probing, "{next_id} requests, {probes} probes");
}

#[test]
fn actions_keep_all_limits_under_random_events() {
    (1..=12).for_each(run);
}
