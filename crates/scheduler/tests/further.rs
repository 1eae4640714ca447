//! The ration of further attempts, removal without a drain, and troubles whose cause is not the
//! worker; each test fails without what it names.

mod common;
use common::*;
use shorepath_scheduler::*;

/// Exact sliding window: at each further attempt those of the span, this one counted, keep to it.
#[test]
fn further_attempts_stay_within_their_ration() {
    for (free, share) in [(2.0, 0.05), (0.0, 0.0), (3.0, 0.0), (0.0, 0.5)] {
        let mut settings = settings();
        settings.retry_budget = Some(RetryBudget { window: 2 * S, min_retries: free, ratio: share });
        let mut harness = Harness::new(settings, 40);
        let (mut taken, mut extras) = (Vec::new(), Vec::new());
        for id in 0..600 {
            harness.advance(if id % 100 < 50 { 2 * MS } else { 30 * MS });
            taken.push(harness.now);
            for (id, _) in new_attempts(&harness.request_arrived(id, 0)) {
                let status = if id % 3 == 0 { AttemptStatus::Error } else { AttemptStatus::Overloaded };
                let actions = harness.attempt_ended(id, 0, status);
                // Answered in the same event where there is none left.
                assert!(
                    is_shed(&actions, id) || new_attempts(&actions).iter().any(|s| s.0 == id) || free > 0.0
                );
                for (id, _) in new_attempts(&actions).into_iter().filter(|s| s.0 == id) {
                    extras.push(harness.now);
                    let asked = taken.iter().filter(|&&at| at > harness.now - 2 * S).count() as f64;
                    let further = extras.iter().filter(|&&at| at >= harness.now - 2 * S).count() as f64;
                    assert!(further <= free + share * asked, "{further} of {asked}");
                    harness.attempt_started(id);
                    harness.attempt_ended(id, 1, AttemptStatus::Ok);
                }
            }
        }
        assert_eq!(extras.is_empty(), free + share == 0.0);
    }
}

/// Out of the ration a request is answered in the event that shows it, not at its deadline.
#[test]
fn a_request_beyond_the_ration_is_answered_at_once() {
    let mut settings = settings();
    settings.retry_budget = Some(RetryBudget { window: S, min_retries: 0.0, ratio: 0.0 });
    let mut harness = Harness::new(settings, 3);
    harness.request_arrived(1, 0);
    assert!(is_shed(&harness.attempt_ended(1, 0, AttemptStatus::Overloaded), 1));
    harness.request_arrived(2, 1);
    assert!(is_failed(&harness.attempt_ended(2, 0, AttemptStatus::Error), 2));
}

/// What no worker can use fails at the second worker and puts nothing in doubt.
#[test]
fn rejected_requests_fail_and_leave_their_class_and_workers_alone() {
    let mut harness = Harness::new(settings(), 6);
    for id in 0..60 {
        harness.advance(50 * MS);
        assert_eq!(new_attempts(&harness.request_arrived(id, 0)).len(), 1, "request {id} goes out at once");
        if id % 3 == 2 {
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
            continue;
        }
        let again = harness.attempt_ended(id, 0, AttemptStatus::BadRequest);
        assert_eq!(new_attempts(&again).len(), 1, "once more");
        assert!(is_failed(&harness.attempt_ended(id, 1, AttemptStatus::BadRequest), id));
    }
    // Where it must not run twice the first one is final.
    harness.request_arrived(100, 1);
    assert!(is_failed(&harness.attempt_ended(100, 0, AttemptStatus::BadRequest), 100));
}

/// A worker that rejects what others then serve is left alone, as one that fails.
#[test]
fn a_worker_that_rejects_what_others_serve_is_to_blame() {
    let mut harness = Harness::new(settings(), 4);
    let mut rejections = 0;
    for id in 0..100 {
        harness.advance(50 * MS);
        let (mut sent, mut attempt) = (new_attempts(&harness.request_arrived(id, 0)), 0);
        while sent[0].1 == 0 {
            rejections += 1;
            let actions = harness.attempt_ended(id, attempt, AttemptStatus::BadRequest);
            if is_failed(&actions, id) {
                break;
            }
            (sent, attempt) = (new_attempts(&actions), attempt + 1);
        }
        harness.attempt_started(id);
        harness.attempt_ended(id, attempt, AttemptStatus::Ok);
    }
    assert!((1..15).contains(&rejections), "{rejections}");
}

#[test]
fn a_worker_gone_without_a_drain_is_in_doubt_where_only_draining_binds() {
    for binds in [true, false] {
        let mut settings = settings();
        settings.only_draining_excludes = !binds;
        let mut harness = Harness::new(settings, 2);
        let gone = |n: u32| Endpoint { state: EndpointState::Removed, ..live_endpoint(n) };
        // One drains, then both leave the list, one named and one left out.
        harness.handle(Event::EndpointUpdate(vec![Endpoint {
            state: EndpointState::Draining,
            ..live_endpoint(0)
        }]));
        harness.handle(Event::EndpointUpdate(vec![gone(0)]));
        harness.handle(Event::EndpointList(vec![]));
        let sent = new_attempts(&harness.request_arrived(1, 0));
        assert_eq!(sent, if binds { vec![] } else { vec![(1, 1)] }, "never the one that drained");
        if !binds {
            harness.attempt_started(1);
            harness.attempt_ended(1, 0, AttemptStatus::Ok);
            harness.handle(Event::EndpointUpdate(vec![live_endpoint(2)]));
            let met = |harness: &mut Harness, ids: std::ops::Range<u64>| {
                ids.flat_map(|id| {
                    let sent = new_attempts(&harness.request_arrived(id, 1));
                    harness.attempt_started(id);
                    harness.attempt_ended(id, 0, AttemptStatus::Ok);
                    sent
                })
                .filter(|s| s.1 == 1)
                .count()
            };
            assert!(met(&mut harness, 2..40) > 0, "it served, so it is in use again");
            // Silent for the longest deadline it is dropped when the list next changes.
            harness.advance(6 * S);
            harness.handle(Event::EndpointUpdate(vec![live_endpoint(3)]));
            assert_eq!(met(&mut harness, 50..90), 0);
        }
    }
}

/// Two schedulers that know the same workers by other numbers send each job of a key to the same one, and to the same next one
/// while that turns jobs away; keys spread over all. Guards sites whose workers fetch what a key names with the first job of it.
#[test]
fn jobs_of_a_key_go_to_the_same_worker_from_all_schedulers() {
    const WORKERS: u32 = 8;
    let harness = |turned: bool, seed: u64| {
        let mut harness = Harness {
            scheduler: shorepath_scheduler::Scheduler::new(settings(), seed),
            ..Harness::new(settings(), 0)
        };
        let number = |n: u32| if turned { WORKERS - 1 - n } else { n };
        let list = (0..WORKERS).map(|n| Endpoint { id: EndpointId(number(n)), ..live_endpoint(n) }).collect();
        harness.handle(Event::EndpointList(list));
        harness
    };
    let (mut one, mut other) = (harness(false, 1), harness(true, 2));
    let place = |harness: &mut Harness, turned: bool, id: u64, key: u64| {
        let sent = new_attempts(&harness.handle(Event::RequestArrived(keyed(id, key))));
        let [(_, endpoint)] = sent[..] else { panic!("{sent:?}") };
        if turned {
            WORKERS - 1 - endpoint
        } else {
            endpoint
        }
    };
    let mut met = std::collections::BTreeSet::new();
    for key in 0..100 {
        let first = place(&mut one, false, 2 * key, key);
        assert_eq!(place(&mut other, true, 2 * key, key), first, "key {key}");
        met.insert(first);
        let seconds: Vec<u32> = [(&mut one, false), (&mut other, true)]
            .map(|(harness, turned)| {
                harness.attempt_ended(2 * key, 0, AttemptStatus::Overloaded);
                let second = place(harness, turned, 2 * key + 1, key);
                harness.handle(Event::ClientLeft(RequestId(2 * key)));
                harness.attempt_ended(2 * key, 1, AttemptStatus::NotSent);
                harness.attempt_ended(2 * key + 1, 0, AttemptStatus::Ok);
                harness.advance(6 * S);
                second
            })
            .into();
        assert!(seconds[0] == seconds[1] && seconds[0] != first, "key {key}: {first}, then {seconds:?}");
    }
    assert_eq!(met.len(), WORKERS as usize);
}

fn keyed(id: u64, key: u64) -> Request {
    Request { key: Some(KeyId(key)), ..request(id, 0) }
}

/// Requests of one key fail wherever they go, the others are served: it is the key that waits.
#[test]
fn a_key_that_fails_everywhere_is_at_fault_and_not_the_workers() {
    for (status, heals) in [(AttemptStatus::Error, false), (AttemptStatus::Reset, true)] {
        let mut harness = Harness::new(settings(), 8);
        let (mut met, mut failed, mut turned_away) = (0, 0, 0);
        for id in 0..4_000u64 {
            let bad = id % 4 == 0;
            let actions = harness.handle(Event::RequestArrived(keyed(id, if bad { 1 } else { 2 + id % 50 })));
            assert!(bad || !is_shed(&actions, id), "request {id} of a good key");
            turned_away += u32::from(bad && is_shed(&actions, id));
            let mut sent: Vec<u64> = new_attempts(&actions).iter().map(|s| s.0).collect();
            let mut attempt = 0;
            while let Some(id) = sent.pop() {
                met += u32::from(bad);
                let ill = bad && !(heals && id > 2_000);
                failed += u32::from(ill);
                harness.handle(Event::AttemptStarted { id: RequestId(id), attempt });
                let after = harness.attempt_ended(id, attempt, if ill { status } else { AttemptStatus::Ok });
                sent.extend(new_attempts(&after).iter().map(|s| s.0));
                attempt += 1;
            }
            harness.advance(5 * MS);
        }
        assert!(failed < 30, "{failed} of a thousand met a worker and failed");
        assert!(turned_away > 300 && (!heals || met > 400), "{turned_away} and {met}");
    }
}

/// A worker that fails one in three of each key's requests does not put the keys in doubt.
#[test]
fn a_popular_key_is_not_at_fault_for_a_bad_worker() {
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

/// A few clients that leave don't have the others refused while all workers are busy.
#[test]
fn a_few_clients_that_leave_do_not_shorten_what_others_are_held() {
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
    // None of these has started, so the last ones are held.
    for id in 1000..1006 {
        assert!(!is_shed(&harness.request_arrived(id, 0), id), "request {id}");
    }
}

/// Where clients leave early, what cannot start in their time is refused while they are there.
#[test]
fn a_job_is_held_no_longer_than_clients_stay() {
    let held = |leave: bool| {
        let mut harness = Harness::new(settings(), 40);
        for id in 0..200 {
            harness.request_arrived(id, 0);
            harness.attempt_started(id);
            harness.advance(60 * MS);
            if leave {
                harness.handle(Event::ClientLeft(RequestId(id)));
            }
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        // Nothing can be sent: all leave the list, so what comes is held.
        harness.handle(Event::EndpointList(vec![]));
        let mut actions = harness.request_arrived(1_000, 0);
        actions.extend(harness.advance(30 * MS));
        !is_shed(&actions, 1_000)
    };
    assert!(held(false) && !held(true));
}

/// After a standstill a start that comes with the late wake-up counts before anything is stuck.
#[test]
fn a_standstill_is_no_evidence() {
    for start_comes in [true, false] {
        let mut harness = Harness::new(settings(), 2);
        harness.request_arrived(1, 0);
        harness.advance_without_events(2 * S);
        // The batch that comes after it: first the wake-up, then what came meanwhile.
        let mut actions = harness.handle(Event::Wake);
        if start_comes {
            actions.extend(harness.attempt_started(1));
        }
        assert!(!actions.iter().any(|a| matches!(a, Action::CancelAttempt { .. })));
        let later = harness.advance(2 * MS);
        let cancelled = later.contains(&Action::CancelAttempt { id: RequestId(1), attempt: 0 });
        assert_eq!(cancelled, !start_comes);
    }
}

/// Without messages the part of a quota is even, not the whole, and more where most tenants ask more.
#[test]
fn without_messages_the_part_of_a_quota_is_even_or_the_middle_tenants() {
    let good = |busy: bool| {
        let mut settings = settings();
        let tenant = TenantSettings { share: 0.3, quota_per_second: 400.0 };
        (settings.tenants, settings.schedulers, settings.over_share_fraction) = (vec![tenant; 3], 20, 0.05);
        let mut harness = Harness::new(settings, 1);
        let of = |id, t| Event::RequestArrived(Request { tenant: Some(TenantId(t)), ..request(id, 0) });
        // The other two ask 200 a second each of this one scheduler, or two.
        for id in 0..2_000 {
            if busy || id % 100 < 2 {
                for (id, _) in new_attempts(&harness.handle(of(id, 1 + (id % 2) as usize))) {
                    harness.attempt_started(id);
                    harness.attempt_ended(id, 0, AttemptStatus::Ok);
                }
            }
            harness.advance(2_500);
        }
        // Then the first asks 200 at once.
        (10_000..10_200).filter(|&id| !is_shed(&harness.handle(of(id, 0)), id)).count()
    };
    assert!(good(false) < 10 && good(true) > 30, "{} and {}", good(false), good(true));
}

/// A quota counts requests. Guards against a few long jobs that look like a flood of their tenant.
#[test]
fn long_jobs_within_a_quota_are_no_flood() {
    let refusals = |jobs: u64| {
        let mut settings = settings();
        (settings.schedulers, settings.over_share_fraction) = (1, 0.05);
        settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 4.0 }];
        let mut harness = Harness::new(settings, 1);
        let of =
            |id: u64, hint| Request { tenant: Some(TenantId(0)), work_hint: Some(hint), ..request(id, 0) };
        // Short ones are usual here, and one keeps the window full from then on.
        for id in 0..40 {
            harness.handle(Event::RequestArrived(of(id, 20 * MS)));
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
            harness.advance(500 * MS);
        }
        harness.handle(Event::RequestArrived(of(100, S)));
        (200..200 + jobs).filter(|&id| is_shed(&harness.handle(Event::RequestArrived(of(id, S))), id)).count()
    };
    assert_eq!((refusals(4), refusals(10) > 3), (0, true));
}

/// One start that came too late does not have what goes beyond a share refused while there is room; two do.
#[test]
fn one_late_start_is_no_evidence_against_forgiving() {
    let refusals = |late: u64| {
        let mut settings = settings();
        (settings.schedulers, settings.over_share_fraction) = (1, 0.05);
        settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 1.0 }];
        let mut harness = Harness::new(settings, 4);
        let of = |id| Event::RequestArrived(Request { tenant: Some(TenantId(0)), ..request(id, 0) });
        for id in 0..late {
            harness.handle(of(id));
            harness.advance(180 * MS);
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        let mut count = 0;
        for id in 100..120 {
            let out = harness.handle(of(id));
            count += usize::from(is_shed(&out, id));
            for (id, _) in new_attempts(&out) {
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        count
    };
    assert_eq!(refusals(1), 0);
    assert!(refusals(4) > 3, "{}", refusals(4));
}

/// Of two classes that wait, the one that is worth more for its work leaves first, though its jobs may take as
/// long to come; where worth counts by work, a long class is not held back for being long.
#[test]
fn what_is_worth_more_for_its_work_leaves_first() {
    let first = |worths: [f64; 2], by_work: bool| {
        let mut settings = settings();
        (settings.schedulers, settings.weight_by_work) = (1, by_work);
        for (class, worth) in settings.classes.iter_mut().zip(worths) {
            (class.priority_weight, class.deadline) = (worth, 20 * S);
        }
        settings.classes[0].latency_objective = 200 * MS;
        let mut harness = Harness::new(settings, 1);
        assert_eq!(new_attempts(&harness.request_arrived(0, 1)).len(), 1);
        for class in [0, 1] {
            assert!(new_attempts(&harness.request_arrived(2 + class as u64, class)).is_empty());
        }
        let out = [harness.attempt_started(0), harness.attempt_ended(0, 0, AttemptStatus::Ok)].concat();
        new_attempts(&out)[0].0 - 2
    };
    // By its aim the second class comes first, unless the first is worth much more.
    assert_eq!((first([1.0, 1.0], true), first([50.0, 1.0], true)), (1, 0));
    assert_eq!(first([0.0, 0.0], true), 1, "where no worth is told");
    // Twice as long a job is worth less for its work unless worth counts by work.
    assert_eq!((first([8.0, 1.5], true), first([4.5, 4.5], false)), (0, 1));
}

/// A job of four slots spends four times what one of one slot does of a cold worker's part.
#[test]
fn a_cold_worker_is_sent_fewer_jobs_of_several_slots() {
    let sent = |slots: u32| {
        let mut harness = Harness::new(settings(), 0);
        harness.handle(Event::EndpointList(vec![Endpoint { started_at: harness.now, ..live_endpoint(0) }]));
        let mut sent = 0;
        for id in 0..300 {
            harness.now += 5 * MS;
            let job = Request { work_hint: Some(40 * MS), slots, ..request(id, 0) };
            for (id, _) in new_attempts(&harness.handle(Event::RequestArrived(job))) {
                sent += 1;
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        sent
    };
    let (one, four) = (sent(1), sent(4));
    assert!(four >= 1 && four * 2 < one, "{four} against {one}");
}

/// A long job goes to a warm worker that is busy sooner than to a cold one, which two such jobs would fell; a short
/// one goes there.
#[test]
fn long_jobs_are_kept_from_cold_workers() {
    let cold_gets = |hint: Micros| {
        let mut settings = settings();
        settings.classes[0] =
            ClassSettings { latency_objective: 20 * S, deadline: 60 * S, ..settings.classes[0].clone() };
        let mut harness = Harness::new(settings, 2);
        harness.handle(Event::EndpointUpdate(vec![Endpoint { started_at: harness.now, ..live_endpoint(2) }]));
        harness.advance(1_500 * MS);
        let mut to_cold = 0;
        for id in 0..20 {
            let job = Request { work_hint: Some(hint), time_remaining: 60 * S, ..request(id, 0) };
            for (id, endpoint) in new_attempts(&harness.handle(Event::RequestArrived(job))) {
                to_cold += u32::from(endpoint == 2);
                harness.attempt_started(id);
            }
        }
        to_cold
    };
    assert!(cold_gets(10 * MS) > 0, "short ones");
    assert_eq!(cold_gets(4 * S), 0, "0.33 of four cores for 1.5 s is 2 s, half of what fells it");
}

/// What a class's jobs take is learned from their hints, too.
#[test]
fn the_work_of_a_class_is_learned_from_hints() {
    // Of two classes that were thought to take as long, the one with the longer jobs is worth less for its work.
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
    let out = [harness.attempt_started(100), harness.attempt_ended(100, 0, AttemptStatus::Ok)].concat();
    assert_eq!(new_attempts(&out)[0].0, 102, "the class of short jobs leaves first though it came later");
}

/// The window starts at our part of one job a worker, not at two.
#[test]
fn the_first_window_is_the_part_of_one_job_a_worker() {
    let mut harness = Harness::new(settings(), 40); // two schedulers
    let sent: usize = (0..60).map(|id| new_attempts(&harness.request_arrived(id, 0)).len()).sum();
    assert_eq!(sent, 20);
}

/// A refusal tells when tokens come back, not one fixed figure.
#[test]
fn advice_grows_with_what_is_ahead() {
    let mut settings = settings();
    (settings.sends_retry_after, settings.max_retry_after, settings.over_share_fraction) = (true, 3 * S, 0.9);
    settings.schedulers = 1;
    settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 5.0 }];
    let mut harness = Harness::new(settings, 1);
    let mut advice = Vec::new();
    for id in 0..60 {
        let of = Request { tenant: Some(TenantId(0)), ..request(id, 0) };
        advice.extend(harness.handle(Event::RequestArrived(of)).into_iter().filter_map(|a| match a {
            Action::Shed { retry_after, .. } => retry_after,
            _ => None,
        }));
    }
    assert!(!advice.is_empty() && advice.iter().all(|&a| (100 * MS..=3 * S).contains(&a)), "{advice:?}");
    assert!(advice.iter().any(|&a| a > 150 * MS), "{advice:?}");
}

/// Of two other zones the one whose way loses attempts is crossed to less.
#[test]
fn a_lossy_way_is_dearer_than_a_sound_one() {
    let mut settings = settings();
    (settings.cross_zone_cost, settings.max_attempts) = (0.03, 1);
    let mut harness = Harness::new(settings, 0);
    // None at home, one in each of two other zones; one way loses every third attempt.
    harness.handle(Event::EndpointList(
        (0..2).map(|n| Endpoint { zone: ZoneId(1 + n), ..live_endpoint(n) }).collect(),
    ));
    let (mut lossy, mut sound) = (0, 0);
    for id in 0..1_500u64 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 0)) {
            let counted = id >= 500;
            lossy += u32::from(counted && endpoint == 1);
            sound += u32::from(counted && endpoint == 0);
            harness.attempt_started(id);
            let lost = endpoint == 1 && id % 3 == 0;
            harness.attempt_ended(id, 0, if lost { AttemptStatus::Timeout } else { AttemptStatus::Ok });
        }
        harness.advance(10 * MS);
        harness.advance(200 * MS); // what was in doubt may be used again
    }
    assert!(lossy * 2 < sound, "{lossy} over the lossy way, {sound} over the sound one");
}

/// Held jobs are refused once what starts take now no longer fits either.
#[test]
fn a_held_job_is_refused_when_the_usual_wait_no_longer_fits() {
    let refused_after = |wait: Micros| {
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
    let (quick, slow) = (refused_after(0).unwrap(), refused_after(60 * MS).unwrap());
    assert!(slow + 50 <= quick, "after {slow} and {quick} ms");
}

/// Where starts are never told, a worker is not taken for one that has not started our last job.
#[test]
fn where_starts_are_not_told_a_worker_holds_a_few_jobs() {
    for (tells_start, sent) in [(false, 2), (true, 1)] {
        let mut settings = settings();
        settings.reports_starts = tells_start;
        let mut harness = Harness::new(settings, 1);
        let all: usize = (0..2).map(|id| new_attempts(&harness.request_arrived(id, 0)).len()).sum();
        assert_eq!(all, sent);
    }
}

/// One late start does not leave the window to grow by one a round for good.
#[test]
fn the_window_doubles_again_while_little_strains_it() {
    let mut settings = settings();
    settings.schedulers = 100; // so that the first window is two
    let mut harness = Harness::new(settings, 60);
    harness.request_arrived(0, 0);
    harness.advance(90 * MS);
    harness.attempt_started(0);
    harness.attempt_ended(0, 0, AttemptStatus::Ok);
    let (mut next, mut most) = (1, 0);
    for _ in 0..4 {
        let (mut out, mut running) = (Vec::new(), Vec::new());
        for _ in 0..60 {
            out.extend(new_attempts(&harness.request_arrived(next, 0)));
            next += 1;
        }
        while let Some((id, _)) = out.pop() {
            running.push(id);
            out.extend(new_attempts(&harness.attempt_started(id)));
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

/// A job goes where the last start did not have to wait.
#[test]
fn the_wait_of_the_last_start_counts_as_others_jobs() {
    let mut harness = Harness::new(settings(), 2);
    let (mut slow, mut back, mut all) = (0, 0, 0);
    for id in 0..600 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 0)) {
            let waits = endpoint == 0 && id % 2 == 0;
            back += u32::from(slow > 0 && endpoint == 0);
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
    // Of three draws among two all fall on it once in eight; without it counted it is one in two.
    assert!(all > 40 && back * 3 < all, "{back} of {all} sent again at once to where a start had waited");
}

/// Where further attempts are rationed, fulls lose requests, and excess is not forgiven for them.
#[test]
fn the_share_lost_counts_the_ration() {
    let sent = |ration: Option<RetryBudget>| {
        let mut settings = settings();
        settings.retry_budget = ration;
        settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 0.2 }];
        let mut harness = Harness::new(settings, 4);
        let mut sent = 0;
        for id in 0..300 {
            let of = Request { tenant: Some(TenantId(0)), ..request(id, 0) };
            for (id, _) in new_attempts(&harness.handle(Event::RequestArrived(of))) {
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
    let (free, rationed) = (sent(None), sent(Some(RetryBudget { window: S, min_retries: 0.0, ratio: 0.0 })));
    assert!(rationed * 2 < free, "{rationed} and {free}");
}

/// Of two other zones the one over whose way starts take longer is crossed to less.
#[test]
fn a_slow_way_is_dearer_than_a_quick_one() {
    let mut settings = settings();
    settings.cross_zone_cost = 0.03;
    let mut harness = Harness::new(settings, 0);
    harness.handle(Event::EndpointList(
        (0..2).map(|n| Endpoint { zone: ZoneId(1 + n), ..live_endpoint(n) }).collect(),
    ));
    let mut met = [0, 0];
    for id in 0..1_000u64 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 0)) {
            met[endpoint as usize] += u32::from(id >= 300);
            harness.advance(if endpoint == 1 { 80 * MS } else { 5 * MS });
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        harness.advance(200 * MS);
    }
    assert!(met[1] * 2 < met[0], "{met:?}");
}

/// A whole list that names a worker again is no reason to doubt it.
#[test]
fn a_whole_list_puts_none_in_doubt_that_it_names() {
    let mut settings = settings();
    settings.only_draining_excludes = true;
    let mut harness = Harness::new(settings, 1);
    harness.handle(Event::EndpointList(vec![live_endpoint(0)]));
    // Were the own zone's worker in doubt, the other would be taken.
    harness.handle(Event::EndpointUpdate(vec![Endpoint { zone: ZoneId(1), ..live_endpoint(1) }]));
    for id in 0..20 {
        assert_eq!(new_attempts(&harness.request_arrived(id, 0)), [(id, 0)]);
        harness.attempt_started(id);
        harness.attempt_ended(id, 0, AttemptStatus::Ok);
    }
}

/// A server that runs many of our jobs gets a quarter as many before the last has started, or a start's round trip
/// would bound what it is sent; one that runs few gets them one by one, as it may have no room for a second.
#[test]
fn one_that_runs_many_of_ours_gets_several_at_a_time() {
    let mut harness = Harness::new(settings(), 1);
    let mut waiting: Vec<u64> = Vec::new();
    for id in 1..=80 {
        waiting.extend(new_attempts(&harness.request_arrived(id, 0)).iter().map(|s| s.0));
    }
    assert_eq!(waiting.len(), 1, "none has started yet");
    let mut running: Vec<u64> = Vec::new();
    let mut most = 0;
    // The window grows with what starts in time; then some end, and others take their places.
    for step in 0..60 {
        let more = if step < 24 || step % 2 == 0 {
            running.push(waiting.remove(0));
            harness.attempt_started(running[running.len() - 1])
        } else {
            let id = running.remove(0);
            harness.attempt_ended(id, 0, AttemptStatus::Ok)
        };
        waiting.extend(new_attempts(&more).iter().map(|s| s.0));
        let on_their_way = waiting.len();
        assert!(on_their_way <= running.len() / 4 + 1, "{on_their_way} with {} running", running.len());
        most = most.max(on_their_way);
    }
    assert!(most >= 4, "{most} on their way at most");
    // 'Full' stops it, whatever runs there.
    assert!(new_attempts(&harness.attempt_ended(waiting[0], 0, AttemptStatus::Overloaded)).is_empty());
}
