//! Random event sequences with fixed seeds; the four rules are asserted on every action.

mod common;
use common::*;
use shorepath_scheduler::Scheduler;
use shorepath_scheduler::*;
use std::collections::BTreeMap;

struct Known {
    class: usize,
    deadline: Micros,
    attempts: Vec<(u32, bool, bool, Micros)>, // worker, out, may have run, sent
    over: bool,
}

fn run(seed: u64) {
    let mut rng = oorandom::Rand64::new(seed as u128);
    let mut settings = settings();
    // Few workers among many schedulers: they are probed.
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
    let (mut taken, mut extras): (Vec<Micros>, Vec<Micros>) = (vec![], vec![]);
    let slack = 20 * MS;
    let mut scheduler = Scheduler::new(settings.clone(), seed);
    let mut endpoints: Vec<Endpoint> =
        (0..6).map(|n| Endpoint { zone: ZoneId(n % 2), cell: n / 3, ..live_endpoint(n) }).collect();
    let mut told: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut known: BTreeMap<u64, Known> = BTreeMap::new();
    let mut cold: BTreeMap<u32, Vec<Micros>> = BTreeMap::new();
    let (mut now, mut wake, mut next) = (S, Micros::MAX, 0u64);
    let mut events = vec![Event::EndpointList(endpoints.clone())];
    let mut probed: Vec<(Micros, u32)> = vec![];
    let mut probes = 0;
    for step in 0..30_000 {
        now += MS;
        if wake <= now {
            wake = Micros::MAX;
            events.push(Event::Wake);
        }
        if step < 25_000 && rng.rand_float() < 0.15 {
            let class = rng.rand_range(0..3) as usize;
            let time_left = rng.rand_range(1..5_000) as Micros * MS;
            let tenant = Some(TenantId(rng.rand_range(0..2) as usize));
            events.push(Event::RequestArrived(Request {
                tenant,
                time_remaining: time_left,
                ..request(next, class)
            }));
            taken.push(now);
            known.insert(next, Known { class, deadline: now + time_left, attempts: vec![], over: false });
            next += 1;
        }
        if rng.rand_float() < 0.002 {
            let n = rng.rand_range(0..6) as usize;
            let standing = [EndpointState::Live, EndpointState::Draining, EndpointState::Removed]
                [rng.rand_range(0..3) as usize];
            if standing == EndpointState::Live {
                endpoints[n].started_at = now;
                told.remove(&(n as u32));
                cold.remove(&(n as u32));
            } else if standing == EndpointState::Draining || !settings.only_draining_excludes {
                told.entry(n as u32).or_insert(now);
            }
            endpoints[n].state = standing;
            events.push(Event::EndpointUpdate(vec![endpoints[n].clone()]));
        }
        for (&id, k) in known.iter_mut() {
            for (attempt, a) in k.attempts.iter_mut().enumerate().filter(|(_, a)| a.1) {
                let hung = a.0 == 5 && step < 15_000;
                let status = if now >= k.deadline {
                    AttemptStatus::Timeout
                } else if hung || rng.rand_float() > 0.03 {
                    if !hung && rng.rand_float() < 0.05 {
                        events.push(Event::AttemptStarted { id: RequestId(id), attempt: attempt as u32 });
                    }
                    continue;
                } else {
                    let all = [
                        AttemptStatus::Ok,
                        AttemptStatus::Ok,
                        AttemptStatus::Ok,
                        AttemptStatus::Overloaded,
                        AttemptStatus::Error,
                        AttemptStatus::Reset,
                    ];
                    all[rng.rand_range(0..6) as usize]
                };
                a.1 = false;
                a.2 = match status {
                    AttemptStatus::Overloaded => settings.overloaded_may_have_run,
                    _ => !matches!(status, AttemptStatus::ConnectFailed | AttemptStatus::NotSent),
                };
                k.over |= status == AttemptStatus::Ok;
                let settled = k.over;
                events.push(Event::AttemptEnded {
                    id: RequestId(id),
                    attempt: attempt as u32,
                    status,
                    is_final: settled,
                });
            }
        }
        while let Some(k) = probed.iter().position(|p| p.0 <= now) {
            let (endpoint, held) = (EndpointId(probed.swap_remove(k).1), rng.rand_range(0..6) as f64);
            let all = [
                AttemptStatus::Ok,
                AttemptStatus::Ok,
                AttemptStatus::Ok,
                AttemptStatus::Overloaded,
                AttemptStatus::ConnectFailed,
                AttemptStatus::Timeout,
            ];
            let status = all[rng.rand_range(0..6) as usize];
            let report = LoadReport { free_slots: Some((2.0 - held).max(0.0)), in_flight: Some(held) };
            events.push(Event::ProbeEnded { endpoint, status, report });
        }
        let mut actions = Vec::new();
        for event in events.drain(..) {
            scheduler.handle(now, event, &mut actions);
        }
        for action in actions {
            match action {
                Action::StartAttempt { id, endpoint } => {
                    let k = known.get_mut(&id.0).unwrap();
                    assert!(!k.over, "sent after the end");
                    assert!(k.attempts.iter().all(|a| !a.1), "two attempts at once");
                    assert!((k.attempts.len() as u32) < settings.max_attempts);
                    if let Some(r) = settings.retry_budget.filter(|_| !k.attempts.is_empty()) {
                        extras.push(now);
                        let asked = taken.iter().filter(|&&at| at > now - r.window).count() as f64;
                        let further = extras.iter().filter(|&&at| at >= now - r.window).count() as f64;
                        assert!(
                            further <= r.min_retries + r.ratio * asked,
                            "{further} further, {asked} taken"
                        );
                    }
                    if let Some(first) = k.attempts.iter().find(|a| a.2) {
                        match settings.classes[k.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => {
                                panic!("an unsafe request that may have run was sent again")
                            }
                            Idempotency::Keyed { window: memory, .. } => {
                                assert!(now <= first.3 + memory && first.0 % 2 == endpoint.0 % 2);
                            }
                        }
                    }
                    if let Some(&at) = told.get(&endpoint.0) {
                        assert!(now <= at + settings.drain_grace, "sent to a leaving worker");
                    }
                    k.attempts.push((endpoint.0, true, false, now));
                    let born = endpoints[endpoint.0 as usize].started_at;
                    if born > 0 && now < born + settings.slow_start_duration {
                        let sent = cold.entry(endpoint.0).or_default();
                        sent.push(now);
                        let window = sent.iter().filter(|&&at| at > now - settings.overload_window).count();
                        let age = (now - born) as f64 / settings.slow_start_duration as f64;
                        let part =
                            settings.slow_start_min_share + (1.0 - settings.slow_start_min_share) * age;
                        // A job ends after 33 ms in the mean, so 4 cores do 120 a second: our half of the limit.
                        let limit = 3.0 * 120.0 * part * 1.5 / 2.0;
                        assert!(window as f64 <= limit, "{window} sends to a cold worker, {limit}");
                    }
                }
                Action::Reject { id, .. } => panic!("{id:?} is barred, though nothing bars it"),
                Action::Shed { id, .. } | Action::Fail { id } => {
                    let refusal = matches!(action, Action::Shed { .. });
                    let k = known.get_mut(&id.0).unwrap();
                    assert!(!k.over, "two answers");
                    let ran = k.attempts.iter().any(|a| a.1 || a.2);
                    assert!(!(refusal && ran && k.class != 0), "refused though it may have run");
                    k.over = true;
                }
                Action::CancelAttempt { id, attempt } => {
                    assert!(!known[&id.0].over, "called off though over");
                    let k = known.get_mut(&id.0).unwrap();
                    let a = &mut k.attempts[attempt as usize];
                    if a.1 {
                        (a.1, a.2) = (false, true);
                        let (status, settled) = (AttemptStatus::Cancelled, k.over);
                        events.push(Event::AttemptEnded { id, attempt, status, is_final: settled });
                    }
                }
                Action::WakeAfter { delay: after } => wake = wake.min(now + after.max(MS)),
                Action::Probe { endpoint } => {
                    let told = told.get(&endpoint.0).is_none_or(|at| now <= at + settings.drain_grace);
                    assert!(told, "probed a leaving worker");
                    probed.push((now + rng.rand_range(1..60) as Micros * MS, endpoint.0));
                    probes += 1;
                }
                Action::CloseIdleConnections { .. } | Action::Subscribe => {}
            }
        }
        known.retain(|id, k| {
            assert!(k.over || now <= k.deadline + slack, "request {id} had no answer");
            !k.over || k.attempts.iter().any(|a| a.1)
        });
    }
    assert!(known.values().all(|k| k.over), "left without an answer");
    assert!(next > 3_000 && (probes > 200) == settings.probing, "{next} requests, {probes} probes");
}

#[test]
fn the_rules_hold_on_random_days() {
    (1..=12).for_each(run);
}
