//! Departures that grown fleets called for; each test fails without the one it names.

mod common;
use common::*;
use shorepath_scheduler::*;
use std::collections::BTreeSet;

fn tenants(set: &mut Settings, quota_per_s: f64) {
    let tenant = TenantSettings { share: 0.5, quota_per_second: quota_per_s };
    set.tenants = vec![tenant.clone(), tenant];
}

fn from(tenant: usize, id: u64) -> Event {
    Event::RequestArrived(Request { tenant: Some(TenantId(tenant)), ..request(id, 0) })
}

/// Excess goes out while starts are timely, and no longer once they come too late.
#[test]
fn excess_is_forgiven_only_while_it_displaces_nobody() {
    let sent = |wait: Micros| {
        let mut set = settings();
        tenants(&mut set, 0.2);
        let mut rig = Rig::new(set, 4);
        let mut sent = 0;
        for id in 0..200 {
            for (id, _) in sends(&rig.event(from(0, id))) {
                sent += 1;
                rig.pass(wait);
                rig.started(id);
                rig.ended(id, 0, AttemptStatus::Ok);
            }
            rig.pass(500 * MS - wait);
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
    let mut rig = Rig::new(settings(), 300);
    let mut met = BTreeSet::new();
    for id in 0..400 {
        for (id, worker) in sends(&rig.ask(id, 0)) {
            met.insert(worker);
            rig.started(id);
            rig.ended(id, 0, AttemptStatus::Ok);
        }
        rig.pass(100 * MS);
    }
    assert!(met.len() <= 6, "{} workers met", met.len());
    // Those that fail give their places to others.
    for id in 400..420 {
        for (id, worker) in sends(&rig.ask(id, 1)) {
            met.insert(worker);
            rig.ended(id, 0, AttemptStatus::Reset);
        }
        rig.pass(100 * MS);
    }
    assert!(met.len() > 15, "{} workers met", met.len());
}

/// Where clients give up early the time left says nothing of a repeat's age.
#[test]
fn a_repeat_of_a_hasty_client_is_not_taken_for_an_old_one() {
    for hasty in [true, false] {
        let mut rig = Rig::new(settings(), 2);
        let time_left = if hasty { 400 * MS } else { 5 * S };
        rig.event(Event::RequestArrived(Request { time_remaining: time_left, ..request(1, 0) }));
        rig.started(1);
        rig.ended(1, 0, AttemptStatus::Ok);
        let again =
            Request { time_remaining: 400 * MS, is_retry: true, work_hint: Some(10 * MS), ..request(2, 0) };
        // With the whole deadline for first tries, 400 ms left means 4.6 s old: nothing to gain.
        assert_eq!(sends(&rig.event(Event::RequestArrived(again))).len(), usize::from(hasty));
    }
}

/// Hinted jobs leave a zone whose workers start late, at a price, rather than be refused or late.
#[test]
fn a_hinted_job_that_would_be_late_in_its_zone_crosses() {
    let mut set = settings();
    set.cross_zone_cost = 0.08;
    let mut rig = Rig::new(set, 4);
    rig.event(Event::EndpointUpdate((4..8).map(|n| Endpoint { zone: ZoneId(1), ..member(n) }).collect()));
    let (mut crossed, mut refusals) = (0, 0);
    for id in 0..100 {
        let hinted = Request { work_hint: Some(50 * MS), ..request(id, 0) };
        let actions = rig.event(Event::RequestArrived(hinted));
        refusals += u32::from(refused(&actions, id));
        for (id, worker) in sends(&actions) {
            crossed += u32::from(worker >= 4 && id >= 30);
            rig.pass(if worker < 4 { 220 * MS } else { 0 });
            rig.started(id);
            rig.pass(50 * MS);
            rig.ended(id, 0, AttemptStatus::Ok);
        }
    }
    assert!(crossed > 50 && refusals < 10, "{crossed} of 70 crossed, {refusals} refused");
}

/// Where size counts speed, a slower kind gets the part of its size, not less.
#[test]
fn speed_is_not_counted_twice() {
    let share_of_slow = |counted: bool| {
        let mut set = settings();
        set.capacity_includes_speed = counted;
        let mut rig = Rig::new(set, 0);
        let kinds = |n: u32| Endpoint {
            kind: KindId(n % 2),
            capacity: if n.is_multiple_of(2) { 6.0 } else { 3.0 },
            ..member(n)
        };
        rig.event(Event::EndpointList((0..3).map(kinds).collect()));
        let (mut slow, mut all) = (0, 0);
        for id in 0..2_000 {
            for (id, worker) in sends(
                &rig.event(Event::RequestArrived(Request { work_hint: Some(40 * MS), ..request(id, 0) })),
            ) {
                all += 1;
                slow += u32::from(worker % 2 == 1);
                rig.started(id);
                rig.pass(if worker % 2 == 1 { 40 * MS } else { 20 * MS });
                rig.ended(id, 0, AttemptStatus::Ok);
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
        let mut set = settings();
        set.overloaded_may_have_run = begun;
        let mut rig = Rig::new(set, 1);
        let mut lost = 0;
        for id in 0..200 {
            for (id, _) in sends(&rig.ask(id, 1)) {
                lost += 1;
                rig.ended(id, 0, AttemptStatus::Overloaded);
                rig.event(Event::ClientLeft(RequestId(id)));
            }
            rig.pass(20 * MS);
        }
        lost
    };
    assert!(lost(true) * 3 < lost(false), "{} and {}", lost(true), lost(false));
}

/// A start that has not come yet counts in what starts take: where nothing starts, nothing is sent twice.
#[test]
fn missing_starts_count_as_waits() {
    let mut rig = Rig::new(settings(), 20);
    let mut cancelled = 0;
    for id in 0..30 {
        rig.ask(id, 0);
        let actions = rig.pass(1_300 * MS);
        cancelled += actions.iter().filter(|a| matches!(a, Action::CancelAttempt { .. })).count();
        rig.event(Event::ClientLeft(RequestId(id)));
        rig.ended(id, 0, AttemptStatus::Timeout);
    }
    assert!(cancelled > 0 && cancelled < 12, "{cancelled}");
}

/// With more schedulers than workers late starts are others' doing: three jobs at once still leave.
#[test]
fn a_window_stays_open_where_a_worker_is_shared_by_many_schedulers() {
    let sent_at_once = |instances| {
        let mut rig = Rig::new(Settings { schedulers: instances, ..settings() }, 60);
        for id in 0..40 {
            rig.ask(id, 0);
            rig.pass(200 * MS);
            rig.started(id);
            rig.ended(id, 0, AttemptStatus::Ok);
        }
        (100..140).map(|id| sends(&rig.ask(id, 0)).len()).sum::<usize>()
    };
    assert_eq!(sent_at_once(100), 4);
    assert_eq!(sent_at_once(60), 2);
}

/// Many schedulers, few workers, and reports worth their price.
fn probing(workers: u32) -> Rig {
    Rig::new(Settings { schedulers: 100, probing: true, probe_cost: 0.01, ..settings() }, workers)
}

fn probes(actions: &[Action]) -> Vec<u32> {
    let probe = |a: &Action| if let Action::Probe { endpoint: worker } = a { Some(worker.0) } else { None };
    actions.iter().filter_map(probe).collect()
}

fn tells(rig: &mut Rig, worker: u32, free: f64, held: f64) -> Vec<Action> {
    let report = LoadReport { free_slots: Some(free), in_flight: Some(held) };
    rig.event(Event::ProbeEnded { endpoint: EndpointId(worker), status: AttemptStatus::Ok, report })
}

/// The two rounds of probes for a job, answered with no slot free and so many jobs held; who was probed, and
/// what follows the last answer.
fn two_busy_rounds(rig: &mut Rig, held: [f64; 4]) -> (Vec<u32>, Vec<Action>) {
    let mut asked = probes(&rig.ask(1, 0));
    tells(rig, asked[0], 0.0, held[0]);
    asked.extend(probes(&tells(rig, asked[1], 0.0, held[1])));
    tells(rig, asked[2], 0.0, held[2]);
    let last = tells(rig, asked[3], 0.0, held[3]);
    (asked, last)
}

/// A job waits for what the workers tell, and the first with a free slot gets it.
#[test]
fn a_free_slot_gets_the_job_that_it_was_probed_for() {
    let mut rig = probing(20);
    let actions = rig.ask(1, 0);
    let first = probes(&actions);
    assert_eq!((first.len(), sends(&actions)), (2, vec![]));
    assert!(sends(&tells(&mut rig, first[0], 0.0, 5.0)).is_empty());
    assert_eq!(sends(&tells(&mut rig, first[1], 1.0, 1.0)), [(1, first[1])]);
}

/// With no slot free in two rounds, the least busy gets the job; nobody is probed for it any more.
#[test]
fn without_a_free_slot_the_least_busy_gets_the_job() {
    let mut rig = probing(20);
    let (asked, actions) = two_busy_rounds(&mut rig, [4.0, 3.0, 2.0, 6.0]);
    let different = asked.iter().collect::<std::collections::BTreeSet<_>>().len();
    assert_eq!(different, 4, "others are probed: {asked:?}");
    assert_eq!((sends(&actions), probes(&actions)), (vec![(1, asked[2])], vec![]));
    assert!(sends(&rig.pass(S / 2)).is_empty());
}

/// Where even the least busy would start it too late, it is denied at once: its work would make others late.
#[test]
fn a_job_that_all_probed_would_start_too_late_is_denied_at_once() {
    let mut rig = probing(20);
    assert!(refused(&two_busy_rounds(&mut rig, [40.0; 4]).1, 1));
}

/// Silence costs 45 ms at most, whatever is silent, and a worker out of reach is not probed again soon.
#[test]
fn what_is_probed_and_says_nothing_does_not_hold_a_job() {
    let mut rig = probing(20);
    rig.ask(1, 0);
    assert_eq!(sends(&rig.pass(45 * MS)).len(), 1);
    let mut rig = probing(3);
    for worker in probes(&rig.ask(1, 0)) {
        let (status, report) = (AttemptStatus::ConnectFailed, LoadReport::default());
        rig.event(Event::ProbeEnded { endpoint: EndpointId(worker), status, report });
    }
    let left = probes(&rig.pass(45 * MS));
    assert!(left.len() <= 1, "{left:?}");
}

/// Own jobs tell enough where workers are no fewer than schedulers, and no probe is worth a high price.
#[test]
fn nobody_is_probed_where_it_is_not_worth_it() {
    let asked = |instances, probe_price| {
        let set = Settings { schedulers: instances, probing: true, probe_cost: probe_price, ..settings() };
        probes(&Rig::new(set, 20).ask(1, 0)).len()
    };
    assert_eq!((asked(20, 0.01), asked(100, 0.05), asked(21, 0.01)), (0, 0, 2));
}

/// A client that leaves while workers are probed leaves nothing behind.
#[test]
fn a_request_that_ends_while_workers_are_probed_frees_its_place() {
    let mut rig = probing(60);
    for id in 0..50 {
        let asked = probes(&rig.ask(id, 0));
        assert_eq!(asked.len(), 2, "request {id} finds room in the window");
        rig.event(Event::ClientLeft(RequestId(id)));
        for worker in asked {
            assert!(sends(&tells(&mut rig, worker, 2.0, 0.0)).is_empty());
        }
    }
}
