//! Tests of retry budgets, removal without a drain, failures that are not the endpoint's fault, and learned
//! waits, work and concurrency limits.

mod common;
use common::*;
use shorepath_scheduler::*;

/// Guards against retries beyond the budget in any sliding window that ends at a retry.
#[test]
fn retries_stay_within_the_retry_budget() {
    for (min_retries, ratio) in [(2.0, 0.05), (0.0, 0.0), (3.0, 0.0), (0.0, 0.5)] {
        let mut settings = settings();
        settings.retry_budget = Some(RetryBudget { window: 2 * S, min_retries, ratio });
        let mut harness = Harness::new(settings, 40);
        let (mut arrivals, mut retries) = (Vec::new(), Vec::new());
        for id in 0..600 {
            harness.advance(if id % 100 < 50 { 2 * MS } else { 30 * MS });
            arrivals.push(harness.now);
            for (id, _) in new_attempts(&harness.request_arrived(id, 0)) {
                let status = if id % 3 == 0 { AttemptStatus::Error } else { AttemptStatus::Overloaded };
                let actions = harness.attempt_ended(id, 0, status);
                // Without a retry left, the request is answered in the same event.
                assert!(
                    is_shed(&actions, id)
                        || new_attempts(&actions).iter().any(|s| s.0 == id)
                        || min_retries > 0.0
                );
                for (id, _) in new_attempts(&actions).into_iter().filter(|s| s.0 == id) {
                    retries.push(harness.now);
                    let requests = arrivals.iter().filter(|&&at| at > harness.now - 2 * S).count() as f64;
                    let used = retries.iter().filter(|&&at| at >= harness.now - 2 * S).count() as f64;
                    assert!(used <= min_retries + ratio * requests, "{used} retries for {requests} requests");
                    harness.attempt_started(id);
                    harness.attempt_ended(id, 1, AttemptStatus::Ok);
                }
            }
        }
        assert_eq!(retries.is_empty(), min_retries + ratio == 0.0);
    }
}

/// Guards against requests that wait for their deadline once the retry budget is used up.
#[test]
fn request_without_a_retry_left_is_answered_at_once() {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudget { window: S, min_retries: 0.0, ratio: 0.0 });
    let mut harness = Harness::new(settings, 3);
    harness.request_arrived(1, 0);
    assert!(is_shed(&harness.attempt_ended(1, 0, AttemptStatus::Overloaded), 1));
    harness.request_arrived(2, 1);
    assert!(is_failed(&harness.attempt_ended(2, 0, AttemptStatus::Error), 2));
}

/// Guards against suspecting endpoints for requests that no endpoint can use.
#[test]
fn bad_requests_fail_at_the_second_endpoint_and_suspect_none() {
    let mut harness = Harness::new(settings(), 6);
    for id in 0..60 {
        harness.advance(50 * MS);
        assert_eq!(new_attempts(&harness.request_arrived(id, 0)).len(), 1, "request {id} is sent at once");
        if id % 3 == 2 {
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
            continue;
        }
        let again = harness.attempt_ended(id, 0, AttemptStatus::BadRequest);
        assert_eq!(new_attempts(&again).len(), 1, "request {id} is retried once");
        assert!(is_failed(&harness.attempt_ended(id, 1, AttemptStatus::BadRequest), id));
    }
    // A non-idempotent request fails at once.
    harness.request_arrived(100, 1);
    assert!(is_failed(&harness.attempt_ended(100, 0, AttemptStatus::BadRequest), 100));
}

/// Guards against requests that are sent again and again to an endpoint that wrongly calls them bad.
#[test]
fn endpoint_is_suspected_if_others_serve_the_requests_that_it_calls_bad() {
    let mut harness = Harness::new(settings(), 4);
    let mut bad_requests = 0;
    for id in 0..100 {
        harness.advance(50 * MS);
        let (mut sent, mut attempt) = (new_attempts(&harness.request_arrived(id, 0)), 0);
        while sent[0].1 == 0 {
            bad_requests += 1;
            let actions = harness.attempt_ended(id, attempt, AttemptStatus::BadRequest);
            if is_failed(&actions, id) {
                break;
            }
            (sent, attempt) = (new_attempts(&actions), attempt + 1);
        }
        harness.attempt_started(id);
        harness.attempt_ended(id, attempt, AttemptStatus::Ok);
    }
    assert!((1..15).contains(&bad_requests), "{bad_requests}");
}

#[test]
fn endpoint_removed_without_a_drain_is_suspected_if_only_draining_excludes() {
    for removal_excludes in [true, false] {
        let mut settings = settings();
        settings.only_draining_excludes = !removal_excludes;
        let mut harness = Harness::new(settings, 2);
        let removed = |n: u32| Endpoint { state: EndpointState::Removed, ..live_endpoint(n) };
        // Endpoint 0 drains. Then both are removed: 0 by an update and 1 by a list without it.
        harness.handle(Event::EndpointUpdate(vec![Endpoint {
            state: EndpointState::Draining,
            ..live_endpoint(0)
        }]));
        harness.handle(Event::EndpointUpdate(vec![removed(0)]));
        harness.handle(Event::EndpointList(vec![]));
        let sent = new_attempts(&harness.request_arrived(1, 0));
        assert_eq!(
            sent,
            if removal_excludes { vec![] } else { vec![(1, 1)] },
            "the drained endpoint gets nothing"
        );
        if !removal_excludes {
            harness.attempt_started(1);
            harness.attempt_ended(1, 0, AttemptStatus::Ok);
            harness.handle(Event::EndpointUpdate(vec![live_endpoint(2)]));
            let sent_to_removed = |harness: &mut Harness, ids: std::ops::Range<u64>| {
                ids.flat_map(|id| {
                    let sent = new_attempts(&harness.request_arrived(id, 1));
                    harness.attempt_started(id);
                    harness.attempt_ended(id, 0, AttemptStatus::Ok);
                    sent
                })
                .filter(|s| s.1 == 1)
                .count()
            };
            assert!(
                sent_to_removed(&mut harness, 2..40) > 0,
                "the unlisted endpoint is used again once it has served a request"
            );
            // An unlisted endpoint without a success for the longest deadline is dropped at the next change of
            // the list.
            harness.advance(6 * S);
            harness.handle(Event::EndpointUpdate(vec![live_endpoint(3)]));
            assert_eq!(sent_to_removed(&mut harness, 50..90), 0);
        }
    }
}

/// Guards against schedulers that send a key to different endpoints, where each would have to load the key's
/// data. The two schedulers number the endpoints in opposite order.
#[test]
fn schedulers_agree_on_the_endpoints_of_a_key() {
    const ENDPOINTS: u32 = 8;
    let numbered = |is_reversed: bool, seed: u64| {
        let mut harness = Harness {
            scheduler: shorepath_scheduler::Scheduler::new(settings(), seed),
            ..Harness::new(settings(), 0)
        };
        let number = |n: u32| if is_reversed { ENDPOINTS - 1 - n } else { n };
        let list =
            (0..ENDPOINTS).map(|n| Endpoint { id: EndpointId(number(n)), ..live_endpoint(n) }).collect();
        harness.handle(Event::EndpointList(list));
        harness
    };
    let (mut one, mut other) = (numbered(false, 1), numbered(true, 2));
    let place = |harness: &mut Harness, is_reversed: bool, id: u64, key: u64| {
        let sent = new_attempts(&harness.handle(Event::RequestArrived(keyed(id, key))));
        let [(_, endpoint)] = sent[..] else { panic!("{sent:?}") };
        if is_reversed {
            ENDPOINTS - 1 - endpoint
        } else {
            endpoint
        }
    };
    let mut used = std::collections::BTreeSet::new();
    for key in 0..100 {
        let first = place(&mut one, false, 2 * key, key);
        assert_eq!(
            place(&mut other, true, 2 * key, key),
            first,
            "key {key}: the schedulers chose different endpoints"
        );
        used.insert(first);
        let seconds: Vec<u32> = [(&mut one, false), (&mut other, true)]
            .map(|(harness, is_reversed)| {
                harness.attempt_ended(2 * key, 0, AttemptStatus::Overloaded);
                let second = place(harness, is_reversed, 2 * key + 1, key);
                harness.handle(Event::ClientLeft(RequestId(2 * key)));
                harness.attempt_ended(2 * key, 1, AttemptStatus::NotSent);
                harness.attempt_ended(2 * key + 1, 0, AttemptStatus::Ok);
                harness.advance(6 * S);
                second
            })
            .into();
        assert!(
            seconds[0] == seconds[1] && seconds[0] != first,
            "key {key}: first endpoint {first}, retries at {seconds:?}"
        );
    }
    assert_eq!(used.len(), ENDPOINTS as usize);
}

fn keyed(id: u64, key: u64) -> Request {
    Request { key: Some(KeyId(key)), ..request(id, 0) }
}

/// Guards against suspecting endpoints for requests of one key that fail at all of them.
#[test]
fn key_that_fails_everywhere_is_suspected_and_no_endpoint() {
    for (status, recovers) in [(AttemptStatus::Error, false), (AttemptStatus::Reset, true)] {
        let mut harness = Harness::new(settings(), 8);
        let (mut attempts, mut failed, mut shed) = (0, 0, 0);
        for id in 0..4_000u64 {
            let has_bad_key = id % 4 == 0;
            let actions =
                harness.handle(Event::RequestArrived(keyed(id, if has_bad_key { 1 } else { 2 + id % 50 })));
            assert!(has_bad_key || !is_shed(&actions, id), "request {id} of a good key is shed");
            shed += u32::from(has_bad_key && is_shed(&actions, id));
            let mut sent: Vec<u64> = new_attempts(&actions).iter().map(|s| s.0).collect();
            let mut attempt = 0;
            while let Some(id) = sent.pop() {
                attempts += u32::from(has_bad_key);
                let fails = has_bad_key && !(recovers && id > 2_000);
                failed += u32::from(fails);
                harness.handle(Event::AttemptStarted { id: RequestId(id), attempt });
                let after =
                    harness.attempt_ended(id, attempt, if fails { status } else { AttemptStatus::Ok });
                sent.extend(new_attempts(&after).iter().map(|s| s.0));
                attempt += 1;
            }
            harness.advance(5 * MS);
        }
        assert!(failed < 30, "{failed} attempts for a thousand requests of the bad key failed");
        assert!(shed > 300 && (!recovers || attempts > 400), "{shed} shed, {attempts} attempts");
    }
}

/// Guards against suspecting keys when one of three endpoints fails the requests of each key.
#[test]
fn keys_are_not_suspected_for_a_failing_endpoint() {
    let mut harness = Harness::new(settings(), 3);
    let mut served = 0;
    for id in 0..900u64 {
        for (id, endpoint) in new_attempts(&harness.handle(Event::RequestArrived(keyed(id, id % 2)))) {
            harness.attempt_started(id);
            let status = if endpoint == 0 { AttemptStatus::Error } else { AttemptStatus::Ok };
            for (id, _) in new_attempts(&harness.attempt_ended(id, 0, status)) {
                harness.handle(Event::AttemptStarted { id: RequestId(id), attempt: 1 });
                harness.attempt_ended(id, 1, AttemptStatus::Ok);
            }
            served += 1;
        }
        harness.advance(5 * MS);
    }
    assert_eq!(served, 900);
}

/// Guards against shedding other clients' queued requests because a few clients left.
#[test]
fn few_clients_that_leave_do_not_shorten_the_queueing_of_others() {
    let mut harness = Harness::new(settings(), 2);
    for id in 0..200 {
        harness.request_arrived(id, 0);
        match id % 4 {
            0 => drop(harness.handle(Event::ClientLeft(RequestId(id)))),
            _ => drop(harness.attempt_started(id)),
        }
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
        harness.advance(20 * MS);
    }
    // None of these attempts starts, so the last requests are queued.
    for id in 1000..1006 {
        assert!(!is_shed(&harness.request_arrived(id, 0), id), "request {id} must be queued, not shed");
    }
}

/// Guards against queueing requests until after their clients usually leave.
#[test]
fn request_is_queued_no_longer_than_clients_stay() {
    let stays_queued = |clients_leave: bool| {
        let mut harness = Harness::new(settings(), 40);
        for id in 0..200 {
            harness.request_arrived(id, 0);
            harness.attempt_started(id);
            harness.advance(60 * MS);
            if clients_leave {
                harness.handle(Event::ClientLeft(RequestId(id)));
            }
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        // With an empty list nothing can be sent, so the next request is queued.
        harness.handle(Event::EndpointList(vec![]));
        let mut actions = harness.request_arrived(1_000, 0);
        actions.extend(harness.advance(30 * MS));
        !is_shed(&actions, 1_000)
    };
    assert!(stays_queued(false) && !stays_queued(true));
}

/// Guards against cancelling attempts whose starts were only delivered late because this process had stopped.
#[test]
fn pause_of_the_process_does_not_cancel_started_attempts() {
    for has_started in [true, false] {
        let mut harness = Harness::new(settings(), 2);
        harness.request_arrived(1, 0);
        harness.advance_without_events(2 * S);
        // The wake-up is delivered before the events that arrived during the pause.
        let mut actions = harness.handle(Event::Wake);
        if has_started {
            actions.extend(harness.attempt_started(1));
        }
        assert!(!actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. })));
        let later = harness.advance(2 * MS);
        let cancelled = later.contains(&Action::CancelAttempt { id: RequestId(1), attempt: 0 });
        assert_eq!(cancelled, !has_started);
    }
}

/// Without quota shares a scheduler takes an even share of a quota, and more if the median tenant's demand is
/// higher.
#[test]
fn share_of_a_quota_without_messages_is_even_or_the_median_tenants_share() {
    let accepted = |others_are_busy: bool| {
        let mut settings = settings();
        let tenant = TenantSettings { share: 0.3, quota_per_second: 400.0 };
        (settings.tenants, settings.schedulers, settings.over_share_fraction) = (vec![tenant; 3], 20, 0.05);
        let mut harness = Harness::new(settings, 1);
        let tenant_request =
            |id, t| Event::RequestArrived(Request { tenant: Some(TenantId(t)), ..request(id, 0) });
        // The other two tenants send 200 requests a second each to this scheduler alone, or 4.
        for id in 0..2_000 {
            if others_are_busy || id % 100 < 2 {
                for (id, _) in new_attempts(&harness.handle(tenant_request(id, 1 + (id % 2) as usize))) {
                    harness.attempt_started(id);
                    harness.attempt_ended(id, 0, AttemptStatus::Ok);
                }
            }
            harness.advance(2_500);
        }
        // Counts the accepted requests of a burst of 200 from the first tenant.
        (10_000..10_200).filter(|&id| !is_shed(&harness.handle(tenant_request(id, 0)), id)).count()
    };
    assert!(
        accepted(false) < 10 && accepted(true) > 30,
        "{} accepted while the others are idle, {} while they are busy",
        accepted(false),
        accepted(true)
    );
}

/// Guards against shedding a few long requests as if they exceeded the quota, which counts requests.
#[test]
fn long_requests_within_a_quota_are_not_shed() {
    let shed = |long_requests: u64| {
        let mut settings = settings();
        (settings.schedulers, settings.over_share_fraction) = (1, 0.05);
        settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 4.0 }];
        let mut harness = Harness::new(settings, 1);
        let tenant_request =
            |id: u64, hint| Request { tenant: Some(TenantId(0)), work_hint: Some(hint), ..request(id, 0) };
        // Learns that requests are short; a long one then uses up the concurrency limit.
        for id in 0..40 {
            harness.handle(Event::RequestArrived(tenant_request(id, 20 * MS)));
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
            harness.advance(500 * MS);
        }
        harness.handle(Event::RequestArrived(tenant_request(100, S)));
        (200..200 + long_requests)
            .filter(|&id| is_shed(&harness.handle(Event::RequestArrived(tenant_request(id, S))), id))
            .count()
    };
    assert_eq!((shed(4), shed(10) > 3), (0, true));
}

/// Guards against shedding requests beyond a tenant's share after a single late start.
#[test]
fn requests_beyond_a_share_are_shed_after_several_late_starts_only() {
    let shed = |late: u64| {
        let mut settings = settings();
        (settings.schedulers, settings.over_share_fraction) = (1, 0.05);
        settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 1.0 }];
        let mut harness = Harness::new(settings, 4);
        let tenant_request =
            |id| Event::RequestArrived(Request { tenant: Some(TenantId(0)), ..request(id, 0) });
        for id in 0..late {
            harness.handle(tenant_request(id));
            harness.advance(180 * MS);
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        let mut count = 0;
        for id in 100..120 {
            let actions = harness.handle(tenant_request(id));
            count += usize::from(is_shed(&actions, id));
            for (id, _) in new_attempts(&actions) {
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        count
    };
    assert_eq!(shed(1), 0);
    assert!(shed(4) > 3, "{}", shed(4));
}

/// Guards against starting a class of lower priority weight per work first, and against holding back a class
/// for its long work where its weight counts per unit of work.
#[test]
fn class_with_more_weight_per_work_starts_first() {
    let first = |weights: [f64; 2], by_work: bool| {
        let mut settings = settings();
        (settings.schedulers, settings.weight_by_work) = (1, by_work);
        for (class, weight) in settings.classes.iter_mut().zip(weights) {
            (class.priority_weight, class.deadline) = (weight, 20 * S);
        }
        settings.classes[0].latency_objective = 200 * MS;
        let mut harness = Harness::new(settings, 1);
        assert_eq!(new_attempts(&harness.request_arrived(0, 1)).len(), 1);
        for class in [0, 1] {
            assert!(new_attempts(&harness.request_arrived(2 + class as u64, class)).is_empty());
        }
        let actions = [harness.attempt_started(0), harness.attempt_ended(0, 0, AttemptStatus::Ok)].concat();
        new_attempts(&actions)[0].0 - 2
    };
    // The second class has the shorter latency objective and starts first, unless the first weighs much more.
    assert_eq!((first([1.0, 1.0], true), first([50.0, 1.0], true)), (1, 0));
    assert_eq!(
        first([0.0, 0.0], true),
        1,
        "without priority weights the shorter latency objective starts first"
    );
    // A request of twice the work has less weight per work, unless the weight counts per unit of work.
    assert_eq!((first([8.0, 1.5], true), first([4.5, 4.5], false)), (0, 1));
}

/// Guards against overloading an endpoint in slow start with requests of several slots.
#[test]
fn endpoint_in_slow_start_gets_fewer_requests_of_several_slots() {
    let sent = |slots: u32| {
        let mut harness = Harness::new(settings(), 0);
        harness.handle(Event::EndpointList(vec![Endpoint { started_at: harness.now, ..live_endpoint(0) }]));
        let mut sent = 0;
        for id in 0..300 {
            harness.now += 5 * MS;
            let hinted = Request { work_hint: Some(40 * MS), slots, ..request(id, 0) };
            for (id, _) in new_attempts(&harness.handle(Event::RequestArrived(hinted))) {
                sent += 1;
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        sent
    };
    let (one, four) = (sent(1), sent(4));
    assert!(four >= 1 && four * 2 < one, "{four} requests of four slots, {one} of one slot");
}

/// Guards against overloading an endpoint in slow start with two long requests. Short ones may go there, and
/// long ones go to warm endpoints even if these are busy.
#[test]
fn long_requests_are_not_sent_to_endpoints_in_slow_start() {
    let sent_to_cold = |hint: Micros| {
        let mut settings = settings();
        settings.classes[0] =
            ClassSettings { latency_objective: 20 * S, deadline: 60 * S, ..settings.classes[0].clone() };
        let mut harness = Harness::new(settings, 2);
        harness.handle(Event::EndpointUpdate(vec![Endpoint { started_at: harness.now, ..live_endpoint(2) }]));
        harness.advance(1_500 * MS);
        let mut to_cold = 0;
        for id in 0..20 {
            let hinted = Request { work_hint: Some(hint), time_remaining: 60 * S, ..request(id, 0) };
            for (id, endpoint) in new_attempts(&harness.handle(Event::RequestArrived(hinted))) {
                to_cold += u32::from(endpoint == 2);
                harness.attempt_started(id);
            }
        }
        to_cold
    };
    assert!(sent_to_cold(10 * MS) > 0, "short requests are sent to an endpoint in slow start");
    assert_eq!(sent_to_cold(4 * S), 0, "requests of 4 s are too long for an endpoint in slow start");
}

#[test]
fn work_of_a_class_is_learned_from_hints() {
    // The classes start with the same assumed work. Hints show that class 0 is longer, so it has less weight
    // per work.
    let mut settings = settings();
    (settings.schedulers, settings.classes[0].priority_weight, settings.classes[1].priority_weight) =
        (1, 1.0, 1.0);
    let mut harness = Harness::new(settings, 1);
    let hinted =
        |id, class, hint| Event::RequestArrived(Request { work_hint: Some(hint), ..request(id, class) });
    for id in 0..60 {
        harness.handle(hinted(id, (id % 2) as usize, if id % 2 == 0 { 900 * MS } else { 10 * MS }));
        harness.attempt_started(id);
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
    harness.handle(hinted(100, 0, 30 * MS));
    (101..103).for_each(|id| drop(harness.handle(hinted(id, (id - 101) as usize, 30 * MS))));
    let actions = [harness.attempt_started(100), harness.attempt_ended(100, 0, AttemptStatus::Ok)].concat();
    assert_eq!(
        new_attempts(&actions)[0].0,
        102,
        "the class of short requests starts first although it arrived later"
    );
}

/// Guards against a first concurrency limit that ignores the number of endpoints.
#[test]
fn first_concurrency_limit_is_the_schedulers_share_of_one_request_per_endpoint() {
    let mut harness = Harness::new(settings(), 40); // two schedulers
    let sent: usize = (0..60).map(|id| new_attempts(&harness.request_arrived(id, 0)).len()).sum();
    assert_eq!(sent, 20);
}

/// Guards against a fixed retry-after that ignores when tokens are available again.
#[test]
fn retry_after_grows_with_the_queue() {
    let mut settings = settings();
    (settings.sends_retry_after, settings.max_retry_after, settings.over_share_fraction) = (true, 3 * S, 0.9);
    settings.schedulers = 1;
    settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 5.0 }];
    let mut harness = Harness::new(settings, 1);
    let mut retry_afters = Vec::new();
    for id in 0..60 {
        let from_tenant = Request { tenant: Some(TenantId(0)), ..request(id, 0) };
        retry_afters.extend(harness.handle(Event::RequestArrived(from_tenant)).into_iter().filter_map(|a| {
            match a {
                Action::Shed { retry_after, .. } => retry_after,
                _ => None,
            }
        }));
    }
    assert!(
        !retry_afters.is_empty() && retry_afters.iter().all(|&a| (100 * MS..=3 * S).contains(&a)),
        "{retry_afters:?}"
    );
    assert!(retry_afters.iter().any(|&a| a > 150 * MS), "{retry_afters:?}");
}

/// Guards against sending as much to a zone that loses attempts as to one that doesn't.
#[test]
fn zone_that_loses_attempts_gets_fewer_requests() {
    let mut settings = settings();
    (settings.cross_zone_cost, settings.max_attempts) = (0.03, 1);
    let mut harness = Harness::new(settings, 0);
    // The scheduler's zone has no endpoint, two others have one each. Zone 2 loses every third attempt.
    harness.handle(Event::EndpointList(
        (0..2).map(|n| Endpoint { zone: ZoneId(1 + n), ..live_endpoint(n) }).collect(),
    ));
    let (mut lossy, mut healthy) = (0, 0);
    for id in 0..1_500u64 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 0)) {
            let counted = id >= 500;
            lossy += u32::from(counted && endpoint == 1);
            healthy += u32::from(counted && endpoint == 0);
            harness.attempt_started(id);
            let lost = endpoint == 1 && id % 3 == 0;
            harness.attempt_ended(id, 0, if lost { AttemptStatus::Timeout } else { AttemptStatus::Ok });
        }
        harness.advance(10 * MS);
        harness.advance(200 * MS); // suspicions end
    }
    assert!(lossy * 2 < healthy, "{lossy} to the lossy zone, {healthy} to the healthy one");
}

/// Guards against queueing requests that are too late to start once the usual wait for a start is added.
#[test]
fn queued_request_is_shed_when_the_usual_start_wait_no_longer_fits() {
    let shed_after_ms = |wait: Micros| {
        let mut harness = Harness::new(settings(), 40);
        for id in 0..100 {
            harness.request_arrived(id, 0);
            harness.advance(wait);
            harness.attempt_started(id);
            harness.advance(50 * MS);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        harness.handle(Event::EndpointList(vec![]));
        harness.request_arrived(1_000, 0);
        (0..60).find(|_| is_shed(&harness.advance(5 * MS), 1_000)).map(|n| n * 5)
    };
    let (quick, slow) = (shed_after_ms(0).unwrap(), shed_after_ms(60 * MS).unwrap());
    assert!(
        slow + 50 <= quick,
        "shed after {slow} ms if starts take 60 ms, after {quick} ms if they are immediate"
    );
}

/// Guards against sending one request at a time to endpoints that never report starts.
#[test]
fn endpoint_without_start_reports_gets_several_requests() {
    for (reports_starts, sent) in [(false, 2), (true, 1)] {
        let mut settings = settings();
        settings.reports_starts = reports_starts;
        let mut harness = Harness::new(settings, 1);
        let all: usize = (0..2).map(|id| new_attempts(&harness.request_arrived(id, 0)).len()).sum();
        assert_eq!(all, sent);
    }
}

/// Guards against a concurrency limit that grows by one per round forever after a single late start.
#[test]
fn concurrency_limit_doubles_again_after_a_late_start() {
    let mut settings = settings();
    settings.schedulers = 100; // so that the first concurrency limit is two
    let mut harness = Harness::new(settings, 60);
    harness.request_arrived(0, 0);
    harness.advance(90 * MS);
    harness.attempt_started(0);
    harness.attempt_ended(0, 0, AttemptStatus::Ok);
    let (mut next, mut most) = (1, 0);
    for _ in 0..4 {
        let (mut unstarted, mut running) = (Vec::new(), Vec::new());
        for _ in 0..60 {
            unstarted.extend(new_attempts(&harness.request_arrived(next, 0)));
            next += 1;
        }
        while let Some((id, _)) = unstarted.pop() {
            running.push(id);
            unstarted.extend(new_attempts(&harness.attempt_started(id)));
        }
        most = running.len();
        harness.advance(MS);
        while let Some(id) = running.pop() {
            for (id, _) in new_attempts(&harness.attempt_ended(id, 0, AttemptStatus::Ok)) {
                harness.attempt_started(id);
                running.push(id);
            }
        }
    }
    assert!(most > 40, "{most} of 60 at once in the fourth round");
}

/// Guards against sending the next request to the endpoint whose last start had to wait.
#[test]
fn wait_of_the_last_start_counts_as_load() {
    let mut harness = Harness::new(settings(), 2);
    let (mut slow, mut repeated, mut all) = (0, 0, 0);
    for id in 0..600 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 0)) {
            let waits = endpoint == 0 && id % 2 == 0;
            repeated += u32::from(slow > 0 && endpoint == 0);
            slow = u32::from(waits);
            all += slow;
            harness.advance(if waits { 90 * MS } else { 0 });
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        if slow == 0 {
            harness.advance(200 * MS);
        }
    }
    // Of three random choices among two endpoints, all are the endpoint that waited in one of eight cases. If
    // the wait did not count, that endpoint would get every second request.
    assert!(
        all > 40 && repeated * 3 < all,
        "{repeated} of {all} were sent to the endpoint whose last start had waited"
    );
}

/// Guards against requests beyond a share that are sent to overloaded endpoints when no retry is left to save
/// others.
#[test]
fn fewer_requests_beyond_a_share_are_sent_without_a_retry_budget() {
    let sent = |retry_budget: Option<RetryBudget>| {
        let mut settings = settings();
        settings.retry_budget = retry_budget;
        settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 0.2 }];
        let mut harness = Harness::new(settings, 4);
        let mut sent = 0;
        for id in 0..300 {
            let from_tenant = Request { tenant: Some(TenantId(0)), ..request(id, 0) };
            for (id, _) in new_attempts(&harness.handle(Event::RequestArrived(from_tenant))) {
                sent += 1;
                harness.attempt_started(id);
                let status = if sent % 3 == 0 { AttemptStatus::Overloaded } else { AttemptStatus::Ok };
                for (id, _) in new_attempts(&harness.attempt_ended(id, 0, status)) {
                    harness.handle(Event::AttemptStarted { id: RequestId(id), attempt: 1 });
                    harness.attempt_ended(id, 1, AttemptStatus::Ok);
                }
            }
            harness.advance(500 * MS);
        }
        sent
    };
    let (unlimited, limited) =
        (sent(None), sent(Some(RetryBudget { window: S, min_retries: 0.0, ratio: 0.0 })));
    assert!(
        limited * 2 < unlimited,
        "{limited} sent with an empty retry budget, {unlimited} without a budget"
    );
}

/// Guards against sending as much to a zone whose starts take long as to a quicker one.
#[test]
fn zone_with_slow_starts_gets_fewer_requests() {
    let mut settings = settings();
    settings.cross_zone_cost = 0.03;
    let mut harness = Harness::new(settings, 0);
    harness.handle(Event::EndpointList(
        (0..2).map(|n| Endpoint { zone: ZoneId(1 + n), ..live_endpoint(n) }).collect(),
    ));
    let mut attempts = [0, 0];
    for id in 0..1_000u64 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 0)) {
            attempts[endpoint as usize] += u32::from(id >= 300);
            harness.advance(if endpoint == 1 { 80 * MS } else { 5 * MS });
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        harness.advance(200 * MS);
    }
    assert!(attempts[1] * 2 < attempts[0], "{attempts:?}");
}

/// Guards against suspecting endpoints that a new full list still contains.
#[test]
fn full_list_does_not_suspect_the_endpoints_in_it() {
    let mut settings = settings();
    settings.only_draining_excludes = true;
    let mut harness = Harness::new(settings, 1);
    harness.handle(Event::EndpointList(vec![live_endpoint(0)]));
    // If endpoint 0 were suspected, the one in the other zone would be used.
    harness.handle(Event::EndpointUpdate(vec![Endpoint { zone: ZoneId(1), ..live_endpoint(1) }]));
    for id in 0..20 {
        assert_eq!(new_attempts(&harness.request_arrived(id, 0)), [(id, 0)]);
        harness.attempt_started(id);
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
}

/// Guards against a throughput bounded by the round trip of each start. An endpoint may have a quarter as
/// many unstarted requests as it runs, and one more.
#[test]
fn endpoint_that_runs_many_requests_may_have_several_unstarted_ones() {
    let mut harness = Harness::new(settings(), 1);
    let mut unstarted: Vec<u64> = Vec::new();
    for id in 1..=80 {
        unstarted.extend(new_attempts(&harness.request_arrived(id, 0)).iter().map(|s| s.0));
    }
    assert_eq!(unstarted.len(), 1, "only one attempt is sent before the first start");
    let mut running: Vec<u64> = Vec::new();
    let mut most = 0;
    // The concurrency limit grows with timely starts; then each attempt that ends is replaced.
    for step in 0..60 {
        let more = if step < 24 || step % 2 == 0 {
            running.push(unstarted.remove(0));
            harness.attempt_started(running[running.len() - 1])
        } else {
            let id = running.remove(0);
            harness.attempt_ended(id, 0, AttemptStatus::Ok)
        };
        unstarted.extend(new_attempts(&more).iter().map(|s| s.0));
        let count = unstarted.len();
        assert!(count <= running.len() / 4 + 1, "{count} unstarted with {} running", running.len());
        most = most.max(count);
    }
    assert!(most >= 4, "at most {most} unstarted");
    // An endpoint that answers `Overloaded` gets no more, however many it runs.
    assert!(new_attempts(&harness.attempt_ended(unstarted[0], 0, AttemptStatus::Overloaded)).is_empty());
}
