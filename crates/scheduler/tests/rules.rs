//! Scripted tests of retries, drains, slow start and outlier detection: what is started where, shed or
//! failed.

mod common;
use common::*;
use shorepath_scheduler::*;

#[test]
fn queued_requests_are_shed_before_they_would_end_late() {
    let mut harness = Harness::new(settings(), 2);
    // The concurrency limit is two at first.
    assert_eq!(new_attempts(&harness.request_arrived(1, 1)).len(), 1);
    assert_eq!(new_attempts(&harness.request_arrived(2, 1)).len(), 1);
    harness.handle(Event::AttemptStarted { id: RequestId(1), attempt: 0 });
    harness.attempt_ended(1, 0, AttemptStatus::Error);
    harness.request_arrived(3, 1);
    assert!(
        new_attempts(&harness.request_arrived(4, 1)).is_empty(),
        "at most one unstarted request for each endpoint"
    );
    // The assumed work is 75 ms, so the request is due at 250 ms and is late if it starts after 175 ms.
    assert!(!is_shed(&harness.advance(99 * MS), 4));
    // A wake-up before this time would cancel the stuck attempts, which frees a slot.
    harness.advance_without_events(77 * MS);
    assert!(is_shed(&harness.handle(Event::Wake), 4));
}

#[test]
fn non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    for status in
        [AttemptStatus::Error, AttemptStatus::Reset, AttemptStatus::Timeout, AttemptStatus::Cancelled]
    {
        let mut harness = Harness::new(settings(), 3);
        harness.request_arrived(1, 1);
        let actions = harness.attempt_ended(1, 0, status);
        assert!(is_failed(&actions, 1), "{status:?}");
        assert!(new_attempts(&actions).is_empty(), "{status:?}");
    }
}

/// `Overloaded` allows a retry of a non-idempotent request only where the endpoints reject before they start.
#[test]
fn overloaded_proves_not_run_only_if_the_settings_state_it() {
    for (may_have_run, class) in [(false, 0), (false, 1), (false, 2), (true, 0), (true, 1), (true, 2)] {
        let mut settings = settings();
        settings.overloaded_may_have_run = may_have_run;
        settings.classes.push(class_settings(Idempotency::Keyed { scope: DedupScope::Zone, window: S }));
        let mut harness = Harness::new(settings, 0);
        let zoned = |n: u32| Endpoint { zone: ZoneId(n), ..live_endpoint(n) };
        harness.handle(Event::EndpointList((0..2).map(zoned).collect()));
        let first = new_attempts(&harness.request_arrived(1, class))[0].1;
        let actions = harness.attempt_ended(1, 0, AttemptStatus::Overloaded);
        let elsewhere = new_attempts(&actions).iter().any(|s| s.1 != first);
        match class {
            0 => assert!(elsewhere, "an idempotent request may always be retried"),
            1 => assert!(
                elsewhere != may_have_run && is_failed(&actions, 1) == may_have_run && !is_shed(&actions, 1)
            ),
            _ => assert_eq!(elsewhere, !may_have_run, "a keyed request that may have run stays in its zone"),
        }
    }
}

#[test]
fn non_idempotent_request_that_never_ran_is_retried_elsewhere() {
    for status in [AttemptStatus::Overloaded, AttemptStatus::ConnectFailed] {
        let mut harness = Harness::new(settings(), 3);
        let first = new_attempts(&harness.request_arrived(1, 1))[0].1;
        let again = new_attempts(&harness.attempt_ended(1, 0, status));
        assert_eq!(again.len(), 1, "{status:?}");
        assert_ne!(again[0].1, first, "{status:?}");
    }
}

#[test]
fn request_is_shed_after_its_last_attempt() {
    let mut harness = Harness::new(settings(), 5);
    harness.request_arrived(1, 1);
    assert_eq!(new_attempts(&harness.attempt_ended(1, 0, AttemptStatus::Overloaded)).len(), 1);
    assert_eq!(new_attempts(&harness.attempt_ended(1, 1, AttemptStatus::Overloaded)).len(), 1);
    let last = harness.attempt_ended(1, 2, AttemptStatus::Overloaded);
    assert!(new_attempts(&last).is_empty() && is_shed(&last, 1));
}

#[test]
fn keyed_request_is_retried_only_within_its_scope_and_window() {
    for (scope, cell, after_window, is_retried) in [
        (DedupScope::Cell, 0, false, true),
        (DedupScope::Cell, 1, false, false),
        (DedupScope::All, 1, false, true),
        (DedupScope::All, 1, true, false),
    ] {
        let mut settings = settings();
        settings.classes[0].idempotency = Idempotency::Keyed { scope, window: 150 * MS };
        settings.reports_starts = false;
        let mut harness = Harness::new(settings, 1);
        harness.request_arrived(1, 0);
        let second = Endpoint { cell, ..live_endpoint(1) };
        harness.handle(Event::EndpointUpdate(vec![
            second,
            Endpoint { state: EndpointState::Draining, ..live_endpoint(0) },
        ]));
        harness.now += if after_window { 151 * MS } else { 20 * MS };
        let actions = harness.attempt_ended(1, 0, AttemptStatus::Reset);
        assert_eq!(
            !new_attempts(&actions).is_empty(),
            is_retried,
            "scope {scope:?}, cell {cell}, after the window: {after_window}; expected a retry: {is_retried}"
        );
        if after_window {
            assert!(is_shed(&actions, 1)); // all endpoints drop repeats, so the client may safely retry
        }
    }
}

#[test]
fn draining_and_unlisted_endpoints_get_no_attempts() {
    let mut harness = Harness::new(settings(), 2);
    harness
        .handle(Event::EndpointUpdate(vec![Endpoint { state: EndpointState::Draining, ..live_endpoint(0) }]));
    assert_eq!(new_attempts(&harness.request_arrived(1, 0)), [(1, 1)]);
    harness.handle(Event::EndpointList(vec![]));
    assert!(new_attempts(&harness.request_arrived(2, 0)).is_empty());
    // With an empty list the request stays queued until an endpoint appears.
    assert_eq!(new_attempts(&harness.handle(Event::EndpointUpdate(vec![live_endpoint(3)]))), [(2, 3)]);
}

#[test]
fn endpoint_in_slow_start_gets_no_more_than_its_share() {
    let one_process = attempts_in_slow_start(1);
    // At the start the endpoint has a fifth of its capacity. This scheduler's half of the overload limit is
    // 3 x 1.5 s x 4 cores x 0.2 / 2, which is 1.8 s of work or 18 requests of 100 ms.
    assert!((10..=18).contains(&one_process), "{one_process}");
    // Two processes of one scheduler, as during a hot restart, divide its share.
    let one_of_two = attempts_in_slow_start(2);
    assert!(
        one_of_two >= 1 && one_of_two * 3 < one_process * 2,
        "{one_of_two} sent by one of two processes, {one_process} by a single process"
    );
}

/// Returns how many requests a scheduler, divided over `processes`, sends to an endpoint that has just
/// started.
fn attempts_in_slow_start(processes: u32) -> u32 {
    let mut harness = Harness::new(settings(), 0);
    let settings = Settings { processes, ..settings() };
    harness.handle(Event::Reconfigure(Box::new(Reconfiguration { settings, reassigned: vec![] })));
    harness.handle(Event::EndpointList(vec![Endpoint { started_at: harness.now, ..live_endpoint(0) }]));
    let mut sent = 0;
    for id in 0..300 {
        harness.now += 5 * MS;
        let hinted = Request { work_hint: Some(100 * MS), ..request(id, 0) };
        for (id, _) in new_attempts(&harness.handle(Event::RequestArrived(hinted))) {
            sent += 1;
            harness.attempt_started(id);
            harness.now += MS;
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
    }
    sent
}

#[test]
fn attempt_at_an_endpoint_that_starts_nothing_is_retried_elsewhere() {
    let mut settings = settings();
    settings.classes[0].late_fraction = 0.3;
    let mut harness = Harness::new(settings, 2);
    let silent = new_attempts(&harness.request_arrived(1, 0))[0].1;
    // Not yet: an endpoint that is only busy may still start it.
    assert!(!harness.advance(1_200 * MS).contains(&Action::CancelAttempt { id: RequestId(1), attempt: 0 }));
    let actions = harness.advance(100 * MS);
    assert!(actions.contains(&Action::CancelAttempt { id: RequestId(1), attempt: 0 }));
    let again = new_attempts(&harness.attempt_ended(1, 0, AttemptStatus::Cancelled));
    assert_eq!(again, [(1, 1 - silent)]);
    harness.handle(Event::AttemptStarted { id: RequestId(1), attempt: 1 });
    // The suspected endpoint gets no non-idempotent requests for twice the longest latency objective.
    for id in 2..5 {
        harness.now += 60 * MS;
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 1)) {
            assert_eq!(endpoint, 1 - silent);
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
    }
}

#[test]
fn stuck_attempts_do_not_use_up_the_concurrency_limit() {
    let mut harness = Harness::new(settings(), 4);
    // Two non-idempotent attempts start and never end; the concurrency limit is two at first.
    for id in [1, 2] {
        assert_eq!(new_attempts(&harness.request_arrived(id, 1)).len(), 1);
        harness.now += MS;
        harness.attempt_started(id);
    }
    harness.advance(S);
    for id in 3..7 {
        assert_eq!(new_attempts(&harness.request_arrived(id, 1)).len(), 1);
        harness.now += MS;
        harness.attempt_started(id);
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
}

#[test]
fn requests_are_sent_even_if_all_endpoints_are_suspected() {
    let mut settings = settings();
    settings.max_attempts = 0;
    let mut harness = Harness::new(settings, 2);
    harness.request_arrived(1, 1);
    harness.attempt_ended(1, 0, AttemptStatus::ConnectFailed);
    let third = new_attempts(&harness.attempt_ended(1, 1, AttemptStatus::ConnectFailed));
    assert_eq!(third.len(), 1);
}

#[test]
fn events_of_requests_that_are_over_are_ignored() {
    let mut harness = Harness::new(settings(), 1);
    harness.request_arrived(1, 0);
    harness.attempt_ended(1, 0, AttemptStatus::Ok);
    assert!(new_attempts(&harness.attempt_ended(1, 0, AttemptStatus::Error)).is_empty());
    harness.handle(Event::ClientLeft(RequestId(1)));
    harness.handle(Event::AttemptStarted { id: RequestId(9), attempt: 4 });
    harness.handle(Event::ClientLeft(RequestId(9)));
    assert_eq!(new_attempts(&harness.request_arrived(2, 0)).len(), 1);
}

#[test]
fn empty_settings_do_not_panic() {
    let mut harness = Harness::new(Settings::default(), 2);
    assert!(is_shed(&harness.request_arrived(1, 0), 1)); // a class that the settings lack
    let settings = Settings { classes: vec![ClassSettings::default()], ..Settings::default() };
    let mut harness = Harness::new(settings, 2);
    harness.request_arrived(1, 0);
    harness.advance(10 * S);
}

#[test]
fn endpoint_list_is_subscribed_to_again_after_a_failure() {
    let mut settings = settings();
    settings.must_subscribe = true;
    let mut harness =
        Harness { scheduler: shorepath_scheduler::Scheduler::new(settings, 1), now: S, wake_ups: vec![] };
    assert!(harness.handle(Event::EndpointList(vec![live_endpoint(0)])).contains(&Action::Subscribe));
    harness.handle(Event::EndpointListFailed);
    assert!(harness.advance(S).contains(&Action::Subscribe));
}

#[test]
fn endpoint_that_fails_fast_attracts_no_requests() {
    let mut harness = Harness::new(settings(), 2);
    let bad = new_attempts(&harness.request_arrived(1, 1))[0].1;
    harness.attempt_started(1);
    harness.attempt_ended(1, 0, AttemptStatus::Error);
    // The reported start clears no suspicion: non-idempotent requests avoid the endpoint for twice the
    // longest latency objective.
    for id in 2..8 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 1)) {
            assert_ne!(endpoint, bad);
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        harness.now += 25 * MS;
    }
}

#[test]
fn hinted_request_with_little_time_avoids_a_slow_endpoint() {
    let mut harness = Harness::new(settings(), 2);
    // Endpoint 0 is three times slower than endpoint 1.
    for id in 0..60 {
        for (id, endpoint) in new_attempts(
            &harness.handle(Event::RequestArrived(Request { work_hint: Some(20 * MS), ..request(id, 0) })),
        ) {
            harness.attempt_started(id);
            harness.now += if endpoint == 0 { 60 * MS } else { 20 * MS };
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
    }
    // A retry with 160 ms left of 300 ms has no time for 3 x 100 ms.
    let mut slow = 0;
    for id in 100..140 {
        let late = Request { work_hint: Some(100 * MS), is_retry: true, ..request(id, 0) };
        let actions =
            harness.handle(Event::RequestArrived(Request { time_remaining: 5 * S - 140 * MS, ..late }));
        let on_slow = new_attempts(&actions).iter().filter(|s| s.1 == 0).count();
        slow += on_slow;
        harness.attempt_started(id);
        harness.now += if on_slow > 0 { 300 * MS } else { 100 * MS };
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
    // By capacity it would get ten of these; it gets only those whose random choices name no other endpoint.
    assert!(slow <= 6, "{slow}");
}

#[test]
fn concurrency_limit_grows_if_requests_wait_longer_for_it_than_for_starts() {
    let mut settings = settings();
    settings.classes[0].work_factor = 0.0;
    settings.classes[0].latency_objective = 320 * MS;
    let mut harness = Harness::new(settings, 8);
    let mut next = 0;
    let mut waiting = Vec::new();
    let mut most = 0;
    // Each start takes 60 ms or more, an eighth of the latency objective is 40 ms, and the load exceeds the
    // concurrency limit.
    for step in 0..100 {
        let mut actions = Vec::new();
        for (id, _) in std::mem::take(&mut waiting) {
            actions.extend(harness.attempt_started(id));
            harness.now += MS;
            actions.extend(harness.attempt_ended(id, 0, AttemptStatus::Ok));
        }
        for _ in 0..if step < 2 { 8 } else { 4 } {
            actions.extend(harness.request_arrived(next, 0));
            next += 1;
        }
        waiting = new_attempts(&actions);
        most = most.max(waiting.len());
        harness.now += 60 * MS;
    }
    assert!(most >= 4, "{most} at once; the concurrency limit was two at first");
}

/// Guards against an endpoint that stays suspected forever because no idempotent request tries it again.
#[test]
fn non_idempotent_requests_try_a_suspected_endpoint_if_there_are_no_others() {
    let mut harness = Harness::new(settings(), 2);
    let bad = new_attempts(&harness.request_arrived(1, 1))[0].1;
    harness.attempt_ended(1, 0, AttemptStatus::Reset);
    harness.now += S;
    let endpoints: Vec<u32> = (2..12)
        .flat_map(|id| {
            let sent = new_attempts(&harness.request_arrived(id, 1));
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
            sent
        })
        .map(|s| s.1)
        .collect();
    assert!(endpoints.contains(&bad));
}

/// Guards against suspecting an endpoint for all classes when it fails only one.
#[test]
fn endpoint_that_fails_one_class_still_serves_others() {
    let mut harness = Harness::new(settings(), 1);
    harness.handle(Event::EndpointUpdate(vec![Endpoint { zone: ZoneId(1), ..live_endpoint(1) }]));
    // Endpoint 0 fails class 1 and serves class 0.
    assert_eq!(new_attempts(&harness.request_arrived(1, 1)), [(1, 0)]);
    harness.attempt_ended(1, 0, AttemptStatus::Error);
    harness.now += 110 * MS;
    for id in 2..6 {
        let sent = new_attempts(&harness.request_arrived(id, 0));
        harness.attempt_started(id);
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
        if id > 2 {
            assert_eq!(sent, [(id, 0)], "class 0 stays at endpoint 0");
        }
    }
    assert_eq!(new_attempts(&harness.request_arrived(7, 1)), [(7, 1)], "class 1 avoids endpoint 0");
}

/// Guards against losing a request at each endpoint of an unreachable zone.
#[test]
fn unreachable_zone_is_avoided_and_used_again_later() {
    let mut harness = Harness::new(settings(), 0);
    let zoned = |n: u32| Endpoint { zone: ZoneId(1 + n / 10), ..live_endpoint(n) };
    harness.handle(Event::EndpointList((0..20).map(zoned).collect()));
    let mut lost = 0;
    for id in 0..200 {
        let is_reachable = id >= 100;
        if let Some(&(_, endpoint)) = new_attempts(&harness.request_arrived(id, 0)).first() {
            let is_lost = endpoint < 10 && !is_reachable;
            lost += u32::from(is_lost);
            if is_lost {
                let again = new_attempts(&harness.attempt_ended(id, 0, AttemptStatus::ConnectFailed));
                for (id, _) in again {
                    harness.attempt_ended(id, 1, AttemptStatus::Ok);
                }
            } else {
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        harness.advance(5 * MS);
    }
    assert!(lost <= 6, "{lost} attempts failed in one zone");
    harness.now += 6 * S;
    let draining = |n: u32| Endpoint { state: EndpointState::Draining, ..zoned(n) };
    harness.handle(Event::EndpointUpdate((10..20).map(draining).collect()));
    let sent_to_zone = (300..400).filter(|&id| {
        let sent = new_attempts(&harness.request_arrived(id, 0));
        harness.attempt_started(id);
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
        sent.iter().any(|s| s.1 < 10)
    });
    assert!(sent_to_zone.count() > 20);
}

/// Guards against retries that only lengthen the queues where all endpoints start slowly.
#[test]
fn slowly_started_attempts_are_not_cancelled_if_all_starts_are_slow() {
    let mut harness = Harness::new(settings(), 4);
    let mut cancelled = 0;
    for id in 0..60 {
        harness.request_arrived(id, 0);
        let actions = harness.advance(95 * MS);
        cancelled += actions.iter().filter(|a| matches!(a, Action::CancelAttempt { .. })).count();
        harness.attempt_started(id);
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
    harness.request_arrived(100, 0);
    let after_slow_start = harness.advance(200 * MS);
    assert_eq!(cancelled, 0);
    assert!(!after_slow_start.contains(&Action::CancelAttempt { id: RequestId(100), attempt: 0 }));
    let after_silence = harness.advance(1_100 * MS);
    assert!(after_silence.contains(&Action::CancelAttempt { id: RequestId(100), attempt: 0 }));
}

/// Guards against suspecting an endpoint that only resets idle connections.
#[test]
fn resets_of_idle_connections_close_them_and_do_not_suspect_the_endpoint() {
    let mut harness = Harness::new(settings(), 1);
    let (mut lost, mut has_idle_connection) = (0, false);
    for id in 0..40 {
        harness.now += 200 * MS;
        let actions = harness.request_arrived(id, 1);
        assert_eq!(new_attempts(&actions).len(), 1, "request {id} is sent at once");
        has_idle_connection &= !actions.contains(&Action::CloseIdleConnections { endpoint: EndpointId(0) });
        if std::mem::replace(&mut has_idle_connection, true) {
            lost += 1;
            assert!(is_failed(&harness.attempt_ended(id, 0, AttemptStatus::Reset), id));
            has_idle_connection = false;
        } else {
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
    }
    assert!(lost <= 6, "{lost} requests lost to resets of idle connections");
}

/// Guards against judging new connections by the idle time of closed ones.
#[test]
fn connections_closed_by_the_endpoint_are_no_longer_idle() {
    let mut harness = Harness::new(settings(), 1);
    for id in 0..20 {
        harness.now += S;
        assert!(!harness
            .request_arrived(id, 1)
            .contains(&Action::CloseIdleConnections { endpoint: EndpointId(0) }));
        if id % 2 == 0 {
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
            harness.handle(Event::IdleConnectionClosed { endpoint: EndpointId(0), position: 0 });
        } else {
            harness.attempt_ended(id, 0, AttemptStatus::Reset);
        }
    }
}

/// Guards against losing each request that is sent on a connection which was dropped while idle.
#[test]
fn idle_connections_old_enough_to_be_dropped_are_closed_before_use() {
    let mut harness = Harness::new(settings(), 1);
    let (mut lost, mut closed, mut has_idle_connection) = (0, 0, false);
    for id in 0..20 {
        harness.now += S;
        let actions = harness.request_arrived(id, 0);
        if actions.contains(&Action::CloseIdleConnections { endpoint: EndpointId(0) }) {
            closed += 1;
            has_idle_connection = false;
        }
        if has_idle_connection {
            // The connection was dropped without notice, so neither a start nor an answer arrives.
            lost += 1;
            harness.advance(150 * MS);
            has_idle_connection =
                !new_attempts(&harness.attempt_ended(id, 0, AttemptStatus::Cancelled)).is_empty();
            if has_idle_connection {
                harness.attempt_ended(id, 1, AttemptStatus::Ok);
            }
        } else {
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
            has_idle_connection = true;
        }
    }
    assert!(lost <= 5 && closed > 10, "{lost} requests lost, idle connections closed {closed} times");
    // Old losses are forgotten, and connections that last are kept.
    harness.now += 20 * S;
    for id in 30..40 {
        harness.now += S;
        assert!(!harness
            .request_arrived(id, 0)
            .contains(&Action::CloseIdleConnections { endpoint: EndpointId(0) }));
        harness.attempt_started(id);
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
}

fn tenant_request(id: u64, class: usize, tenant: usize) -> Event {
    Event::RequestArrived(Request { tenant: Some(TenantId(tenant)), ..request(id, class) })
}

/// Guards against suspecting an endpoint for all tenants when it throttles only one.
#[test]
fn throttled_tenant_is_sent_elsewhere_and_others_stay() {
    let mut settings = settings();
    let tenant = TenantSettings { share: 0.5, quota_per_second: 0.0 };
    (settings.tenants, settings.cross_zone_cost) = (vec![tenant.clone(), tenant], 0.1);
    let mut harness = Harness::new(settings, 1);
    harness.handle(Event::EndpointUpdate(vec![Endpoint { zone: ZoneId(1), ..live_endpoint(1) }]));
    let (mut overloaded, mut served) = (0, 0);
    for id in 0..100 {
        let tenant = (id % 2) as usize;
        for (id, endpoint) in new_attempts(&harness.handle(tenant_request(id, 0, tenant))) {
            if endpoint == 0 && tenant == 1 {
                overloaded += 1;
                for (id, _) in new_attempts(&harness.attempt_ended(id, 0, AttemptStatus::Overloaded)) {
                    harness.attempt_ended(id, 1, AttemptStatus::Ok);
                }
            } else {
                served += u32::from(endpoint == 0);
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        harness.advance(60 * MS);
    }
    assert!(
        overloaded <= 12 && served >= 40,
        "{overloaded} rejected for tenant 1, {served} served for tenant 0"
    );
}

/// Guards against a hundred schedulers that together overload an endpoint in slow start, or that leave most
/// of its listed capacity unused.
#[test]
fn schedulers_together_use_an_endpoint_in_slow_start_without_overloading_it() {
    let settings = Settings { schedulers: 100, capacity_includes_speed: true, ..settings() };
    let started_at = S;
    let mut sent: Vec<Micros> = Vec::new();
    for seed in 0..100 {
        let mut harness = Harness {
            scheduler: shorepath_scheduler::Scheduler::new(settings.clone(), seed),
            now: S,
            wake_ups: vec![],
        };
        harness.handle(Event::EndpointList(vec![Endpoint { started_at, ..live_endpoint(0) }]));
        for id in 0..110 {
            let mut attempts = new_attempts(&harness.request_arrived(id, 0));
            attempts.extend(new_attempts(&harness.advance(75 * MS)));
            sent.extend(attempts.iter().map(|_| harness.now));
            attempts.iter().for_each(|s| drop(harness.attempt_started(s.0)));
            harness.now += 75 * MS;
            attempts.iter().for_each(|s| drop(harness.attempt_ended(s.0, 0, AttemptStatus::Ok)));
        }
    }
    // The assumed work of a request without a hint is 75 ms; the endpoint has four cores.
    let (work, cores) = (75_000.0, 4.0);
    let load = |from: Micros| {
        let share = 0.2 + 0.8 * (from - started_at) as f64 / (10 * S) as f64;
        let attempts =
            sent.iter().filter(|&&at| at >= from && at < from + settings.overload_window).count() as f64;
        attempts * work / (share * cores * settings.overload_window as f64)
    };
    let loads: Vec<f64> = (2..16).map(|k| load(started_at + k * S / 2)).collect();
    assert!(loads.iter().all(|load| *load < settings.overload_multiple), "{loads:?}");
    assert!(loads.iter().sum::<f64>() / loads.len() as f64 > 0.7, "{loads:?}");
}

/// Guards against using less than half of what would overload an endpoint in slow start: with a fifth of its
/// capacity and an overload multiple of 4, that is 0.4 of the share of a warm endpoint.
#[test]
fn endpoint_in_slow_start_gets_half_the_overload_multiple_of_its_share() {
    let settings = Settings { overload_multiple: 4.0, ..settings() };
    let mut harness = Harness::new(settings, 2);
    harness.handle(Event::EndpointUpdate(vec![Endpoint { started_at: harness.now, ..live_endpoint(2) }]));
    let (mut attempts, mut running) = ([0u32; 3], Vec::<(Micros, u64)>::new());
    for id in 0..600 {
        harness.now += 2 * MS;
        let mut actions = harness.request_arrived(id, 0);
        while running.first().is_some_and(|o| o.0 <= harness.now) {
            actions.extend(harness.attempt_ended(running.remove(0).1, 0, AttemptStatus::Ok));
        }
        for (id, endpoint) in new_attempts(&actions) {
            attempts[endpoint as usize] += 1;
            harness.attempt_started(id);
            running.push((harness.now + 5 * MS, id));
        }
    }
    let share = attempts[2] as f64 / (attempts[0] + attempts[1]) as f64 * 2.0;
    assert!(
        (0.3..0.6).contains(&share),
        "attempts by endpoint: {attempts:?}; endpoint 2 gets {share} of the mean of the others"
    );
}
