//! Departures that grown fleets called for; each test fails without the one it names.

mod common;
use common::*;
use shorepath_scheduler::*;
use std::collections::BTreeSet;

fn tenants(settings: &mut Settings, quota_per_s: f64) {
    let tenant = TenantSettings { share: 0.5, quota_per_second: quota_per_s };
    settings.tenants = vec![tenant.clone(), tenant];
}

fn from(tenant: usize, id: u64) -> Event {
    Event::RequestArrived(Request { tenant: Some(TenantId(tenant)), ..request(id, 0) })
}

/// Excess goes out while starts are timely, and no longer once they come too late.
#[test]
fn excess_is_forgiven_only_while_it_displaces_nobody() {
    let sent = |wait: Micros| {
        let mut settings = settings();
        tenants(&mut settings, 0.2);
        let mut harness = Harness::new(settings, 4);
        let mut sent = 0;
        for id in 0..200 {
            for (id, _) in new_attempts(&harness.handle(from(0, id))) {
                sent += 1;
                harness.advance(wait);
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
            harness.advance(500 * MS - wait);
        }
        sent
    };
    // A hundred seconds at two a second, twenty of them within the quota.
    assert!(sent(0) > 190, "{}", sent(0));
    assert!(sent(400 * MS) < 60, "{}", sent(400 * MS));
}

/// A scheduler with little traffic meets few of many workers, and again those that serve it.
#[test]
fn little_traffic_knows_few_workers() {
    let mut harness = Harness::new(settings(), 300);
    let mut met = BTreeSet::new();
    for id in 0..400 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 0)) {
            met.insert(endpoint);
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        harness.advance(100 * MS);
    }
    assert!(met.len() <= 6, "{} workers met", met.len());
    // Those that fail give their places to others.
    for id in 400..420 {
        for (id, endpoint) in new_attempts(&harness.request_arrived(id, 1)) {
            met.insert(endpoint);
            harness.attempt_ended(id, 0, AttemptStatus::Reset);
        }
        harness.advance(100 * MS);
    }
    assert!(met.len() > 15, "{} workers met", met.len());
}

/// Where clients give up early the time left says nothing of a repeat's age.
#[test]
fn a_repeat_of_a_hasty_client_is_not_taken_for_an_old_one() {
    for hasty in [true, false] {
        let mut harness = Harness::new(settings(), 2);
        let time_left = if hasty { 400 * MS } else { 5 * S };
        harness.handle(Event::RequestArrived(Request { time_remaining: time_left, ..request(1, 0) }));
        harness.attempt_started(1);
        harness.attempt_ended(1, 0, AttemptStatus::Ok);
        let again =
            Request { time_remaining: 400 * MS, is_retry: true, work_hint: Some(10 * MS), ..request(2, 0) };
        // With the whole deadline for first tries, 400 ms left means 4.6 s old: nothing to gain.
        assert_eq!(new_attempts(&harness.handle(Event::RequestArrived(again))).len(), usize::from(hasty));
    }
}

/// Hinted jobs leave a zone whose workers start late, at a price, rather than be refused or late.
#[test]
fn a_hinted_job_that_would_be_late_in_its_zone_crosses() {
    let mut settings = settings();
    settings.cross_zone_cost = 0.08;
    let mut harness = Harness::new(settings, 4);
    harness.handle(Event::EndpointUpdate(
        (4..8).map(|n| Endpoint { zone: ZoneId(1), ..live_endpoint(n) }).collect(),
    ));
    let (mut crossed, mut refusals) = (0, 0);
    for id in 0..100 {
        let hinted = Request { work_hint: Some(50 * MS), ..request(id, 0) };
        let actions = harness.handle(Event::RequestArrived(hinted));
        refusals += u32::from(is_shed(&actions, id));
        for (id, endpoint) in new_attempts(&actions) {
            crossed += u32::from(endpoint >= 4 && id >= 30);
            harness.advance(if endpoint < 4 { 220 * MS } else { 0 });
            harness.attempt_started(id);
            harness.advance(50 * MS);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
    }
    assert!(crossed > 50 && refusals < 10, "{crossed} of 70 crossed, {refusals} refused");
}

/// Where size counts speed, a slower kind gets the part of its size, not less.
#[test]
fn speed_is_not_counted_twice() {
    let share_of_slow = |counted: bool| {
        let mut settings = settings();
        settings.capacity_includes_speed = counted;
        let mut harness = Harness::new(settings, 0);
        let kinds = |n: u32| Endpoint {
            kind: KindId(n % 2),
            capacity: if n.is_multiple_of(2) { 6.0 } else { 3.0 },
            ..live_endpoint(n)
        };
        harness.handle(Event::EndpointList((0..3).map(kinds).collect()));
        let (mut slow, mut all) = (0, 0);
        for id in 0..2_000 {
            for (id, endpoint) in new_attempts(
                &harness
                    .handle(Event::RequestArrived(Request { work_hint: Some(40 * MS), ..request(id, 0) })),
            ) {
                all += 1;
                slow += u32::from(endpoint % 2 == 1);
                harness.attempt_started(id);
                harness.advance(if endpoint % 2 == 1 { 40 * MS } else { 20 * MS });
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        f64::from(slow) / f64::from(all)
    };
    let (counted, rough) = (share_of_slow(true), share_of_slow(false));
    assert!(counted > 0.17, "{counted}"); // 3 of 15
    assert!(rough < 0.15, "{rough}");
}

/// Where a 'full' may cost the job, a worker that goes on turning jobs away is met less and less.
#[test]
fn fulls_in_a_row_double_the_pause_where_they_may_cost_the_job() {
    let lost = |begun: bool| {
        let mut settings = settings();
        settings.overloaded_may_have_run = begun;
        let mut harness = Harness::new(settings, 1);
        let mut lost = 0;
        for id in 0..200 {
            for (id, _) in new_attempts(&harness.request_arrived(id, 1)) {
                lost += 1;
                harness.attempt_ended(id, 0, AttemptStatus::Overloaded);
                harness.handle(Event::ClientLeft(RequestId(id)));
            }
            harness.advance(20 * MS);
        }
        lost
    };
    assert!(lost(true) * 3 < lost(false), "{} and {}", lost(true), lost(false));
}

/// A start that has not come yet counts in what starts take: where nothing starts, nothing is sent twice.
#[test]
fn missing_starts_count_as_waits() {
    let mut harness = Harness::new(settings(), 20);
    let mut cancelled = 0;
    for id in 0..30 {
        harness.request_arrived(id, 0);
        let actions = harness.advance(1_300 * MS);
        cancelled += actions.iter().filter(|a| matches!(a, Action::CancelAttempt { .. })).count();
        harness.handle(Event::ClientLeft(RequestId(id)));
        harness.attempt_ended(id, 0, AttemptStatus::Timeout);
    }
    assert!(cancelled > 0 && cancelled < 12, "{cancelled}");
}

/// With more schedulers than workers late starts are others' doing: three jobs at once still leave.
#[test]
fn a_window_stays_open_where_a_worker_is_shared_by_many_schedulers() {
    let sent_at_once = |instances| {
        let mut harness = Harness::new(Settings { schedulers: instances, ..settings() }, 60);
        for id in 0..40 {
            harness.request_arrived(id, 0);
            harness.advance(200 * MS);
            harness.attempt_started(id);
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
        (100..140).map(|id| new_attempts(&harness.request_arrived(id, 0)).len()).sum::<usize>()
    };
    assert_eq!(sent_at_once(100), 4);
    assert_eq!(sent_at_once(60), 2);
}

/// Many schedulers, few workers, and reports worth their price.
fn probing(endpoints: u32) -> Harness {
    Harness::new(Settings { schedulers: 100, probing: true, probe_cost: 0.01, ..settings() }, endpoints)
}

fn probes(actions: &[Action]) -> Vec<u32> {
    let probe = |a: &Action| if let Action::Probe { endpoint } = a { Some(endpoint.0) } else { None };
    actions.iter().filter_map(probe).collect()
}

fn tells(harness: &mut Harness, endpoint: u32, free: f64, held: f64) -> Vec<Action> {
    let report = LoadReport { free_slots: Some(free), in_flight: Some(held) };
    harness.handle(Event::ProbeEnded { endpoint: EndpointId(endpoint), status: AttemptStatus::Ok, report })
}

/// The two rounds of probes for a job, answered with no slot free and so many jobs held; who was probed, and
/// what follows the last answer.
fn two_busy_rounds(harness: &mut Harness, held: [f64; 4]) -> (Vec<u32>, Vec<Action>) {
    let mut asked = probes(&harness.request_arrived(1, 0));
    tells(harness, asked[0], 0.0, held[0]);
    asked.extend(probes(&tells(harness, asked[1], 0.0, held[1])));
    tells(harness, asked[2], 0.0, held[2]);
    let last = tells(harness, asked[3], 0.0, held[3]);
    (asked, last)
}

/// A job waits for what the workers tell, and the first with a free slot gets it.
#[test]
fn a_free_slot_gets_the_job_that_it_was_probed_for() {
    let mut harness = probing(20);
    let actions = harness.request_arrived(1, 0);
    let first = probes(&actions);
    assert_eq!((first.len(), new_attempts(&actions)), (2, vec![]));
    assert!(new_attempts(&tells(&mut harness, first[0], 0.0, 5.0)).is_empty());
    assert_eq!(new_attempts(&tells(&mut harness, first[1], 1.0, 1.0)), [(1, first[1])]);
}

/// With no slot free in two rounds, the least busy gets the job; nobody is probed for it any more.
#[test]
fn without_a_free_slot_the_least_busy_gets_the_job() {
    let mut harness = probing(20);
    let (asked, actions) = two_busy_rounds(&mut harness, [4.0, 3.0, 2.0, 6.0]);
    let different = asked.iter().collect::<std::collections::BTreeSet<_>>().len();
    assert_eq!(different, 4, "others are probed: {asked:?}");
    assert_eq!((new_attempts(&actions), probes(&actions)), (vec![(1, asked[2])], vec![]));
    assert!(new_attempts(&harness.advance(S / 2)).is_empty());
}

/// Where even the least busy would start it too late, it is denied at once: its work would make others late.
#[test]
fn a_job_that_all_probed_would_start_too_late_is_denied_at_once() {
    let mut harness = probing(20);
    assert!(is_shed(&two_busy_rounds(&mut harness, [40.0; 4]).1, 1));
}

/// Silence costs 45 ms at most, whatever is silent, and a worker out of reach is not probed again soon.
#[test]
fn what_is_probed_and_says_nothing_does_not_hold_a_job() {
    let mut harness = probing(20);
    harness.request_arrived(1, 0);
    assert_eq!(new_attempts(&harness.advance(45 * MS)).len(), 1);
    let mut harness = probing(3);
    for endpoint in probes(&harness.request_arrived(1, 0)) {
        let (status, report) = (AttemptStatus::ConnectFailed, LoadReport::default());
        harness.handle(Event::ProbeEnded { endpoint: EndpointId(endpoint), status, report });
    }
    let left = probes(&harness.advance(45 * MS));
    assert!(left.len() <= 1, "{left:?}");
}

/// Own jobs tell enough where workers are no fewer than schedulers, and no probe is worth a high price.
#[test]
fn nobody_is_probed_where_it_is_not_worth_it() {
    let asked = |instances, probe_price| {
        let settings =
            Settings { schedulers: instances, probing: true, probe_cost: probe_price, ..settings() };
        probes(&Harness::new(settings, 20).request_arrived(1, 0)).len()
    };
    assert_eq!((asked(20, 0.01), asked(100, 0.05), asked(21, 0.01)), (0, 0, 2));
}

/// A client that leaves while workers are probed leaves nothing behind.
#[test]
fn a_request_that_ends_while_workers_are_probed_frees_its_place() {
    let mut harness = probing(60);
    for id in 0..50 {
        let asked = probes(&harness.request_arrived(id, 0));
        assert_eq!(asked.len(), 2, "request {id} finds room in the window");
        harness.handle(Event::ClientLeft(RequestId(id)));
        for endpoint in asked {
            assert!(new_attempts(&tells(&mut harness, endpoint, 2.0, 0.0)).is_empty());
        }
    }
}
