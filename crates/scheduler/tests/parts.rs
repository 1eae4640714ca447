//! Parts of budgets that all schedulers share bind whatever else is so: idle workers, forgiveness, retries, attempts of which
//! nothing is heard.

mod common;
use common::*;
use shorepath_scheduler::*;
use shorepath_scheduler::{QuotaKind, QuotaShare, QuotaUsage};
use std::collections::BTreeSet;

fn part(of: QuotaKind, units: u64, span: Micros) -> QuotaShare {
    QuotaShare { kind: of, units, total: 100, window: span }
}

fn quota(units: u64) -> QuotaShare {
    part(QuotaKind::TenantRate(TenantId(0)), units, 200 * MS)
}

/// One tenant with a large quota, as its settings have it.
fn with_tenant() -> Settings {
    let mut settings = settings();
    settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 1_000.0 }];
    (settings.sends_retry_after, settings.max_retry_after) = (true, 2 * S);
    settings
}

fn of_tenant(id: u64) -> Request {
    Request { tenant: Some(TenantId(0)), ..request(id, 0) }
}

/// Let time pass in steps, at each of which one comes; what is sent is served at once. When each was sent, and the refused.
fn flood(harness: &mut Harness, ids: std::ops::Range<u64>, step: Micros) -> (Vec<Micros>, Vec<u64>) {
    let (mut sent, mut denied) = (Vec::new(), Vec::new());
    for id in ids {
        let mut out = harness.advance(step);
        out.extend(harness.handle(Event::RequestArrived(of_tenant(id))));
        while !out.is_empty() {
            let mut more = Vec::new();
            for action in out {
                match action {
                    Action::StartAttempt { id, .. } => {
                        sent.push(harness.now);
                        more.extend(harness.handle(Event::AttemptStarted { id, attempt: 0 }));
                        more.extend(harness.attempt_ended(id.0, 0, AttemptStatus::Ok));
                    }
                    Action::Shed { id, retry_after } => {
                        assert!(retry_after.is_some_and(|t| t > 0));
                        denied.push(id.0);
                    }
                    _ => {}
                }
            }
            out = more;
        }
    }
    (sent, denied)
}

fn most_in(sent: &[Micros], span: Micros) -> usize {
    sent.iter().map(|a| sent.iter().filter(|b| (*a..a + span).contains(b)).count()).max().unwrap_or(0)
}

#[test]
fn a_quota_part_binds_while_workers_are_idle_and_whenever_it_changes() {
    let mut harness = Harness::new(with_tenant(), 20);
    let (free, denied) = flood(&mut harness, 0..500, 5 * MS);
    assert_eq!((free.len(), denied.len()), (500, 0), "nothing is bounded");
    harness.handle(Event::QuotaShares(vec![quota(50)]));
    harness.scheduler.take_quota_usage(harness.now);
    let (sent, denied) = flood(&mut harness, 1_000..2_000, 5 * MS);
    assert!(most_in(&sent, S) <= 61, "{}", most_in(&sent, S));
    assert!((240..=265).contains(&sent.len()) && denied.len() > 600, "{} {}", sent.len(), denied.len());
    let used = harness.scheduler.take_quota_usage(harness.now);
    assert_eq!(used, [(quota(0).kind, QuotaUsage { demand: 1_000, used: sent.len() as u64 })]);
    // Less from now on, and nothing at all; what is held by then is answered, not kept.
    for (units, most) in [(10, 60), (0, 1)] {
        harness.handle(Event::QuotaShares(vec![quota(units)]));
        let from = 10_000 * (units + 1);
        let (sent, denied) = flood(&mut harness, from..from + 1_000, 5 * MS);
        assert!(sent.len() <= most, "{} of {units} a second", sent.len());
        assert!(sent.len() + denied.len() > 900, "{} {}", sent.len(), denied.len());
    }
    harness.handle(Event::QuotaShares(Vec::new()));
    assert!(flood(&mut harness, 90_000..90_100, 5 * MS).0.len() >= 100);
}

/// A class's part of what is out at once: what is unheard of counts for as long as it may run; nothing is cut when it shrinks.
#[test]
fn attempts_out_keep_to_their_part() {
    let mut harness = Harness::new(settings(), 20);
    let flights =
        |units| Event::QuotaShares(vec![part(QuotaKind::ClassConcurrency(ClassId(1)), units, 3 * S)]);
    harness.handle(flights(3));
    let mut out: BTreeSet<u64> = BTreeSet::new();
    for id in 0..5 {
        out.extend(new_attempts(&harness.request_arrived(id, 1)).iter().map(|s| s.0));
    }
    assert_eq!(out.len(), 3);
    assert_eq!(new_attempts(&harness.request_arrived(50, 0)).len(), 1, "other classes are free");
    out.iter().for_each(|id| drop(harness.attempt_started(*id)));
    let mut next = harness.attempt_ended(0, 0, AttemptStatus::Ok);
    next.extend(harness.advance(30 * MS));
    assert_eq!(new_attempts(&next).len(), 1);
    // One whose connection broke may still run.
    let lost = harness.now;
    harness.attempt_ended(1, 0, AttemptStatus::Reset);
    assert!(new_attempts(&harness.advance(40 * MS)).is_empty());
    assert_eq!(harness.scheduler.take_quota_usage(harness.now)[0].1.used, 3);
    harness.handle(flights(1));
    assert!(harness.scheduler.take_quota_usage(harness.now)[0].1.used == 3, "nothing is cut");
    harness.handle(flights(3));
    harness.advance(lost + 3 * S - harness.now);
    harness.request_arrived(60, 1);
    assert_eq!(harness.scheduler.take_quota_usage(harness.now)[0].1.used, 3, "it counts no more");
}

#[test]
fn retries_and_connections_keep_to_their_parts() {
    let mut long_objective = settings();
    long_objective.classes[0].latency_objective = 2 * S;
    let mut harness = Harness::new(long_objective, 8);
    harness.handle(Event::QuotaShares(vec![part(QuotaKind::Retries, 2, 0)]));
    harness.advance(2 * S);
    let mut again = Vec::new();
    for id in 0..6 {
        harness.request_arrived(id, 0);
        again.extend(
            new_attempts(&harness.attempt_ended(id, 0, AttemptStatus::Overloaded))
                .iter()
                .filter(|s| s.0 == id)
                .map(|_| harness.now),
        );
    }
    assert_eq!(again.len(), 1, "one was saved up");
    let later = new_attempts(&harness.advance(900 * MS));
    assert!((1..=2).contains(&later.len()), "{later:?}");
    // One at each of eight workers, and no more whatever comes.
    let mut harness = Harness::new(settings(), 8);
    harness.handle(Event::QuotaShares(vec![part(QuotaKind::Connections, 1, 0)]));
    let mut where_to = Vec::new();
    for id in 0..30 {
        where_to.extend(new_attempts(&harness.request_arrived(id, 0)).iter().map(|s| s.1));
        harness.attempt_started(id);
    }
    let distinct: BTreeSet<u32> = where_to.iter().copied().collect();
    assert!(where_to.len() == distinct.len() && !where_to.is_empty(), "{where_to:?}");
}

/// Of what a cold worker bears exactly the part that was given is used.
#[test]
fn cold_workers_are_sent_the_part_that_was_given() {
    let sent = |units: Option<u64>| {
        let mut harness = Harness::new(settings(), 0);
        harness.handle(Event::EndpointList(vec![Endpoint { started_at: harness.now, ..live_endpoint(1) }]));
        harness.handle(Event::QuotaShares(
            units.map(|u| part(QuotaKind::SlowStart, u, 0)).into_iter().collect(),
        ));
        let mut count = 0;
        for id in 0..400 {
            let mut out = harness.advance(5 * MS);
            out.extend(harness.request_arrived(id, 0));
            for (id, _) in new_attempts(&out) {
                count += 1;
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        count
    };
    let (none, few, many) = (sent(Some(0)), sent(Some(10)), sent(Some(100)));
    assert!(none <= 2 && few < many / 3 && few > 2, "{none} {few} {many} {}", sent(None));
}

/// Probes go out by their part as time passes, from an empty meter on, and what could not be had is told as wanted.
#[test]
fn probes_keep_to_their_part_and_are_made() {
    let probed = |units: Option<u64>| {
        let mut settings = settings();
        (settings.probing, settings.schedulers) = (true, 50);
        let mut harness = Harness::new(settings, 10);
        harness.handle(Event::QuotaShares(
            units.map(|u| part(QuotaKind::Probes, u, 100 * MS)).into_iter().collect(),
        ));
        let mut count = 0;
        for id in 0..400 {
            let mut out = harness.advance(10 * MS);
            out.extend(harness.request_arrived(id, 0));
            let probes: Vec<EndpointId> = out
                .iter()
                .filter_map(|a| if let Action::Probe { endpoint } = a { Some(*endpoint) } else { None })
                .collect();
            count += probes.len();
            for endpoint in probes {
                let report = LoadReport { free_slots: Some(2.0), in_flight: Some(0.0) };
                out.extend(harness.handle(Event::ProbeEnded { endpoint, status: AttemptStatus::Ok, report }));
            }
            for (id, _) in new_attempts(&out) {
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        (count, harness.scheduler.take_quota_usage(harness.now).first().map_or(0, |u| u.1.demand))
    };
    let (free, (few, wanted)) = (probed(None).0, probed(Some(20)));
    assert!((60..=82).contains(&few) && free > 2 * few, "{few} of {free}");
    assert!(wanted > few as u64, "{wanted}");
    assert_eq!(probed(Some(0)).0, 0);
}

fn bars(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: barred, .. } if barred.0 == id))
}

/// Of a tenant that may take two more in all, the third is barred, and repeats of what was taken are not; what was taken runs on
/// when nothing more may be taken, and what was never sent is given back.
#[test]
fn new_work_of_a_closing_tenant_is_barred_and_its_running_work_is_finished() {
    let mut harness = Harness::new(with_tenant(), 6);
    let new = |units| Event::QuotaShares(vec![part(QuotaKind::NewWork(TenantId(0)), units, S)]);
    harness.handle(new(2));
    for id in 0..2 {
        assert!(new_attempts(&harness.handle(Event::RequestArrived(of_tenant(id)))).len() == 1, "{id}");
    }
    assert!(bars(&harness.handle(Event::RequestArrived(of_tenant(2))), 2));
    assert_eq!(harness.scheduler.take_quota_usage(harness.now)[0].1.used, 2);
    harness.handle(new(0));
    let again = Request { work_state: WorkState::InProgress, ..of_tenant(3) };
    assert!(!bars(&harness.handle(Event::RequestArrived(again)), 3));
    // The safe one that never ran is tried again although nothing new is taken.
    assert_eq!(new_attempts(&harness.attempt_ended(0, 0, AttemptStatus::ConnectFailed)).len(), 1);
    let elsewhere = Request { work_state: WorkState::Misdirected, ..request(4, 0) };
    assert!(bars(&harness.handle(Event::RequestArrived(elsewhere)), 4));
    // Another tenant's, and one of none, are not touched.
    assert!(!bars(&harness.handle(Event::RequestArrived(request(5, 0))), 5));
    // One that is held, and whose client leaves before it was sent, was not begun.
    harness.handle(new(3));
    harness.handle(Event::EndpointList(Vec::new()));
    harness.handle(Event::RequestArrived(of_tenant(6)));
    harness.handle(Event::ClientLeft(RequestId(6)));
    assert!(!bars(&harness.handle(Event::RequestArrived(of_tenant(7))), 7));
}

/// Where nothing of a tenant may run, what is held is answered and no further attempt is made; others' work goes on.
#[test]
fn nothing_more_is_sent_of_a_tenant_that_is_closed() {
    let mut harness = Harness::new(with_tenant(), 2);
    let first = new_attempts(&harness.handle(Event::RequestArrived(of_tenant(0))));
    assert_eq!(first.len(), 1);
    harness.handle(Event::QuotaShares(vec![part(QuotaKind::TenantEnabled(TenantId(0)), 0, S)]));
    let out = harness.attempt_ended(0, 0, AttemptStatus::ConnectFailed);
    assert!(is_shed(&out, 0) && new_attempts(&out).is_empty(), "{out:?}");
    assert_eq!(new_attempts(&harness.handle(Event::RequestArrived(request(1, 0)))).len(), 1);
}

fn guest(id: u64) -> Request {
    Request { is_remote: true, ..request(id, 0) }
}

/// Guests have their part of their class and no more, also where it has been idle for long and whether or not they repeat; one beyond it
/// is barred at once, and what was taken is not touched. Home load is never barred for them.
#[test]
fn guests_have_their_part_and_home_load_has_all_else() {
    let mut harness = Harness::new(settings(), 40);
    let guests = |units| part(QuotaKind::RemoteClass(ClassId(0)), units, 200 * MS);
    harness.handle(Event::QuotaShares(vec![guests(20)]));
    harness.advance(10 * S);
    let (mut taken, mut barred) = (Vec::new(), 0);
    for id in 0..4_000 {
        harness.advance(MS);
        let is_guest = id % 2 == 0;
        let asked = if is_guest {
            Request { work_state: WorkState::InProgress, ..guest(id) }
        } else {
            request(id, 0)
        };
        let out = harness.handle(Event::RequestArrived(asked));
        let of = Some(QuotaKind::RemoteClass(ClassId(0)));
        match out.contains(&Action::Reject { id: RequestId(id), quota: of }) {
            true => barred += 1,
            false if is_guest => taken.push(harness.now),
            false => assert_eq!(new_attempts(&out).len(), 1, "home request {id}: {out:?}"),
        }
        for (id, _) in new_attempts(&out) {
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
    }
    assert!((80..=85).contains(&taken.len()) && most_in(&taken, S) <= 25, "{}", taken.len());
    assert_eq!(taken.len() + barred, 2_000);
    harness.handle(Event::QuotaShares(vec![guests(0)]));
    assert!(bars(&harness.handle(Event::RequestArrived(guest(5_000))), 5_000), "nothing is lent");
    harness.handle(Event::QuotaShares(Vec::new()));
    assert!(!bars(&harness.handle(Event::RequestArrived(guest(5_001))), 5_001), "nothing is bounded");
}

/// A site that takes its load back takes no more of its own clients than its step, and that is no guests' part. A barred request counts
/// nothing against its tenant's new work.
#[test]
fn a_returning_site_takes_its_own_load_by_its_step() {
    let mut harness = Harness::new(with_tenant(), 20);
    let new = part(QuotaKind::NewWork(TenantId(0)), 3, S);
    harness.handle(Event::QuotaShares(vec![part(QuotaKind::LocalSite, 10, 200 * MS), new]));
    let out = harness.handle(Event::RequestArrived(of_tenant(0)));
    assert!(out.contains(&Action::Reject { id: RequestId(0), quota: Some(QuotaKind::LocalSite) }), "{out:?}");
    assert!(!bars(&harness.handle(Event::RequestArrived(guest(1))), 1));
    for id in 2..5 {
        harness.advance(S);
        assert!(!bars(&harness.handle(Event::RequestArrived(of_tenant(id))), id));
    }
    harness.advance(S);
    let out = harness.handle(Event::RequestArrived(of_tenant(6)));
    assert!(
        out.contains(&Action::Reject { id: RequestId(6), quota: Some(QuotaKind::NewWork(TenantId(0))) }),
        "{out:?}"
    );
    assert!(!bars(&harness.handle(Event::RequestArrived(request(7, 0))), 7), "the unit was not used");
}

/// Twenty workers of one slot and 50 ms a job bear 400 a second; home load asks for 380 of them, guests for 1,200. How many of each are
/// served in 10 s where guests have that part.
fn contended(part_of_guests: Option<u64>) -> (usize, usize) {
    const WORK: Micros = 50 * MS;
    let mut harness = Harness::new(settings(), 20);
    let held = part_of_guests.map(|units| part(QuotaKind::RemoteClass(ClassId(0)), units, 200 * MS));
    harness.handle(Event::QuotaShares(held.into_iter().collect()));
    let (mut free_at, mut due, mut served) = ([0; 20], Vec::new(), (0, 0));
    let (mut id, begin) = (0, harness.now);
    while harness.now < begin + 10 * S {
        let mut out = harness.advance(MS);
        let now = harness.now;
        let (ready, later) =
            std::mem::take(&mut due).into_iter().partition(|d: &(Micros, u64, bool)| d.0 <= now);
        due = later;
        for (_, id, ends) in ready as Vec<(Micros, u64, bool)> {
            if ends {
                *(if id % 4 == 0 { &mut served.0 } else { &mut served.1 }) += 1;
                out.extend(harness.attempt_ended(id, 0, AttemptStatus::Ok));
            } else {
                out.extend(harness.attempt_started(id));
            }
        }
        // Of each four one is home load: 380 and 1,140 a second.
        while id < ((now - begin) * 1_520 / S) as u64 {
            id += 1;
            let asked = Request { is_remote: id % 4 != 0, time_remaining: S, ..request(id, 0) };
            out.extend(harness.handle(Event::RequestArrived(asked)));
        }
        for (id, endpoint) in new_attempts(&out) {
            let free = &mut free_at[endpoint as usize];
            let start = now.max(*free);
            *free = start + WORK;
            due.extend([(start, id, false), (start + WORK, id, true)]);
        }
    }
    served
}

/// Where the workers are full, home load loses what is lent to guests and no more; without a bound guests take most of it.
#[test]
fn home_load_loses_no_more_than_what_is_lent() {
    let (alone, none) = contended(Some(0));
    let (home, guests) = contended(Some(80));
    let (flooded, _) = contended(None);
    assert_eq!(none, 0);
    assert!(alone > 3_500, "{alone} of 3,800");
    assert!(guests > 400, "{guests} guests");
    assert!(home + 80 * 10 >= alone, "{home} of {alone} with {guests} guests");
    assert!(flooded * 2 < alone, "{flooded} of {alone} without a bound");
}
