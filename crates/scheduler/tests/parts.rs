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
    let mut set = settings();
    set.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 1_000.0 }];
    (set.sends_retry_after, set.max_retry_after) = (true, 2 * S);
    set
}

fn of_tenant(id: u64) -> Request {
    Request { tenant: Some(TenantId(0)), ..request(id, 0) }
}

/// Let time pass in steps, at each of which one comes; what is sent is served at once. When each was sent, and the refused.
fn flood(rig: &mut Rig, ids: std::ops::Range<u64>, step: Micros) -> (Vec<Micros>, Vec<u64>) {
    let (mut sent, mut denied) = (Vec::new(), Vec::new());
    for id in ids {
        let mut out = rig.pass(step);
        out.extend(rig.event(Event::RequestArrived(of_tenant(id))));
        while !out.is_empty() {
            let mut more = Vec::new();
            for action in out {
                match action {
                    Action::StartAttempt { id, .. } => {
                        sent.push(rig.now);
                        more.extend(rig.event(Event::AttemptStarted { id, attempt: 0 }));
                        more.extend(rig.ended(id.0, 0, AttemptStatus::Ok));
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
    let mut rig = Rig::new(with_tenant(), 20);
    let (free, denied) = flood(&mut rig, 0..500, 5 * MS);
    assert_eq!((free.len(), denied.len()), (500, 0), "nothing is bounded");
    rig.event(Event::QuotaShares(vec![quota(50)]));
    rig.balancer.take_quota_usage(rig.now);
    let (sent, denied) = flood(&mut rig, 1_000..2_000, 5 * MS);
    assert!(most_in(&sent, S) <= 61, "{}", most_in(&sent, S));
    assert!((240..=265).contains(&sent.len()) && denied.len() > 600, "{} {}", sent.len(), denied.len());
    let used = rig.balancer.take_quota_usage(rig.now);
    assert_eq!(used, [(quota(0).kind, QuotaUsage { demand: 1_000, used: sent.len() as u64 })]);
    // Less from now on, and nothing at all; what is held by then is answered, not kept.
    for (units, most) in [(10, 60), (0, 1)] {
        rig.event(Event::QuotaShares(vec![quota(units)]));
        let from = 10_000 * (units + 1);
        let (sent, denied) = flood(&mut rig, from..from + 1_000, 5 * MS);
        assert!(sent.len() <= most, "{} of {units} a second", sent.len());
        assert!(sent.len() + denied.len() > 900, "{} {}", sent.len(), denied.len());
    }
    rig.event(Event::QuotaShares(Vec::new()));
    assert!(flood(&mut rig, 90_000..90_100, 5 * MS).0.len() >= 100);
}

/// A class's part of what is out at once: what is unheard of counts for as long as it may run; nothing is cut when it shrinks.
#[test]
fn attempts_out_keep_to_their_part() {
    let mut rig = Rig::new(settings(), 20);
    let flights =
        |units| Event::QuotaShares(vec![part(QuotaKind::ClassConcurrency(ClassId(1)), units, 3 * S)]);
    rig.event(flights(3));
    let mut out: BTreeSet<u64> = BTreeSet::new();
    for id in 0..5 {
        out.extend(sends(&rig.ask(id, 1)).iter().map(|s| s.0));
    }
    assert_eq!(out.len(), 3);
    assert_eq!(sends(&rig.ask(50, 0)).len(), 1, "other classes are free");
    out.iter().for_each(|id| drop(rig.started(*id)));
    let mut next = rig.ended(0, 0, AttemptStatus::Ok);
    next.extend(rig.pass(30 * MS));
    assert_eq!(sends(&next).len(), 1);
    // One whose connection broke may still run.
    let lost = rig.now;
    rig.ended(1, 0, AttemptStatus::Reset);
    assert!(sends(&rig.pass(40 * MS)).is_empty());
    assert_eq!(rig.balancer.take_quota_usage(rig.now)[0].1.used, 3);
    rig.event(flights(1));
    assert!(rig.balancer.take_quota_usage(rig.now)[0].1.used == 3, "nothing is cut");
    rig.event(flights(3));
    rig.pass(lost + 3 * S - rig.now);
    rig.ask(60, 1);
    assert_eq!(rig.balancer.take_quota_usage(rig.now)[0].1.used, 3, "it counts no more");
}

#[test]
fn retries_and_connections_keep_to_their_parts() {
    let mut set = settings();
    set.classes[0].latency_objective = 2 * S;
    let mut rig = Rig::new(set, 8);
    rig.event(Event::QuotaShares(vec![part(QuotaKind::Retries, 2, 0)]));
    rig.pass(2 * S);
    let mut again = Vec::new();
    for id in 0..6 {
        rig.ask(id, 0);
        again.extend(
            sends(&rig.ended(id, 0, AttemptStatus::Overloaded)).iter().filter(|s| s.0 == id).map(|_| rig.now),
        );
    }
    assert_eq!(again.len(), 1, "one was saved up");
    let later = sends(&rig.pass(900 * MS));
    assert!((1..=2).contains(&later.len()), "{later:?}");
    // One at each of eight workers, and no more whatever comes.
    let mut rig = Rig::new(settings(), 8);
    rig.event(Event::QuotaShares(vec![part(QuotaKind::Connections, 1, 0)]));
    let mut where_to = Vec::new();
    for id in 0..30 {
        where_to.extend(sends(&rig.ask(id, 0)).iter().map(|s| s.1));
        rig.started(id);
    }
    let distinct: BTreeSet<u32> = where_to.iter().copied().collect();
    assert!(where_to.len() == distinct.len() && !where_to.is_empty(), "{where_to:?}");
}

/// Of what a cold worker bears exactly the part that was given is used.
#[test]
fn cold_workers_are_sent_the_part_that_was_given() {
    let sent = |units: Option<u64>| {
        let mut rig = Rig::new(settings(), 0);
        rig.event(Event::EndpointList(vec![Endpoint { started_at: rig.now, ..member(1) }]));
        rig.event(Event::QuotaShares(units.map(|u| part(QuotaKind::SlowStart, u, 0)).into_iter().collect()));
        let mut count = 0;
        for id in 0..400 {
            let mut out = rig.pass(5 * MS);
            out.extend(rig.ask(id, 0));
            for (id, _) in sends(&out) {
                count += 1;
                rig.started(id);
                rig.ended(id, 0, AttemptStatus::Ok);
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
        let mut set = settings();
        (set.probing, set.schedulers) = (true, 50);
        let mut rig = Rig::new(set, 10);
        rig.event(Event::QuotaShares(
            units.map(|u| part(QuotaKind::Probes, u, 100 * MS)).into_iter().collect(),
        ));
        let mut count = 0;
        for id in 0..400 {
            let mut out = rig.pass(10 * MS);
            out.extend(rig.ask(id, 0));
            let probes: Vec<EndpointId> = out
                .iter()
                .filter_map(|a| if let Action::Probe { endpoint: worker } = a { Some(*worker) } else { None })
                .collect();
            count += probes.len();
            for worker in probes {
                let report = LoadReport { free_slots: Some(2.0), in_flight: Some(0.0) };
                out.extend(rig.event(Event::ProbeEnded {
                    endpoint: worker,
                    status: AttemptStatus::Ok,
                    report,
                }));
            }
            for (id, _) in sends(&out) {
                rig.started(id);
                rig.ended(id, 0, AttemptStatus::Ok);
            }
        }
        (count, rig.balancer.take_quota_usage(rig.now).first().map_or(0, |u| u.1.demand))
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
    let mut rig = Rig::new(with_tenant(), 6);
    let new = |units| Event::QuotaShares(vec![part(QuotaKind::NewWork(TenantId(0)), units, S)]);
    rig.event(new(2));
    for id in 0..2 {
        assert!(sends(&rig.event(Event::RequestArrived(of_tenant(id)))).len() == 1, "{id}");
    }
    assert!(bars(&rig.event(Event::RequestArrived(of_tenant(2))), 2));
    assert_eq!(rig.balancer.take_quota_usage(rig.now)[0].1.used, 2);
    rig.event(new(0));
    let again = Request { work_state: WorkState::InProgress, ..of_tenant(3) };
    assert!(!bars(&rig.event(Event::RequestArrived(again)), 3));
    // The safe one that never ran is tried again although nothing new is taken.
    assert_eq!(sends(&rig.ended(0, 0, AttemptStatus::ConnectFailed)).len(), 1);
    let elsewhere = Request { work_state: WorkState::Misdirected, ..request(4, 0) };
    assert!(bars(&rig.event(Event::RequestArrived(elsewhere)), 4));
    // Another tenant's, and one of none, are not touched.
    assert!(!bars(&rig.event(Event::RequestArrived(request(5, 0))), 5));
    // One that is held, and whose client leaves before it was sent, was not begun.
    rig.event(new(3));
    rig.event(Event::EndpointList(Vec::new()));
    rig.event(Event::RequestArrived(of_tenant(6)));
    rig.event(Event::ClientLeft(RequestId(6)));
    assert!(!bars(&rig.event(Event::RequestArrived(of_tenant(7))), 7));
}

/// Where nothing of a tenant may run, what is held is answered and no further attempt is made; others' work goes on.
#[test]
fn nothing_more_is_sent_of_a_tenant_that_is_closed() {
    let mut rig = Rig::new(with_tenant(), 2);
    let first = sends(&rig.event(Event::RequestArrived(of_tenant(0))));
    assert_eq!(first.len(), 1);
    rig.event(Event::QuotaShares(vec![part(QuotaKind::TenantEnabled(TenantId(0)), 0, S)]));
    let out = rig.ended(0, 0, AttemptStatus::ConnectFailed);
    assert!(refused(&out, 0) && sends(&out).is_empty(), "{out:?}");
    assert_eq!(sends(&rig.event(Event::RequestArrived(request(1, 0)))).len(), 1);
}

fn guest(id: u64) -> Request {
    Request { is_remote: true, ..request(id, 0) }
}

/// Guests have their part of their class and no more, also where it has been idle for long and whether or not they repeat; one beyond it
/// is barred at once, and what was taken is not touched. Home load is never barred for them.
#[test]
fn guests_have_their_part_and_home_load_has_all_else() {
    let mut rig = Rig::new(settings(), 40);
    let guests = |units| part(QuotaKind::RemoteClass(ClassId(0)), units, 200 * MS);
    rig.event(Event::QuotaShares(vec![guests(20)]));
    rig.pass(10 * S);
    let (mut taken, mut barred) = (Vec::new(), 0);
    for id in 0..4_000 {
        rig.pass(MS);
        let is_guest = id % 2 == 0;
        let asked = if is_guest {
            Request { work_state: WorkState::InProgress, ..guest(id) }
        } else {
            request(id, 0)
        };
        let out = rig.event(Event::RequestArrived(asked));
        let of = Some(QuotaKind::RemoteClass(ClassId(0)));
        match out.contains(&Action::Reject { id: RequestId(id), quota: of }) {
            true => barred += 1,
            false if is_guest => taken.push(rig.now),
            false => assert_eq!(sends(&out).len(), 1, "home request {id}: {out:?}"),
        }
        for (id, _) in sends(&out) {
            rig.ended(id, 0, AttemptStatus::Ok);
        }
    }
    assert!((80..=85).contains(&taken.len()) && most_in(&taken, S) <= 25, "{}", taken.len());
    assert_eq!(taken.len() + barred, 2_000);
    rig.event(Event::QuotaShares(vec![guests(0)]));
    assert!(bars(&rig.event(Event::RequestArrived(guest(5_000))), 5_000), "nothing is lent");
    rig.event(Event::QuotaShares(Vec::new()));
    assert!(!bars(&rig.event(Event::RequestArrived(guest(5_001))), 5_001), "nothing is bounded");
}

/// A site that takes its load back takes no more of its own clients than its step, and that is no guests' part. A barred request counts
/// nothing against its tenant's new work.
#[test]
fn a_returning_site_takes_its_own_load_by_its_step() {
    let mut rig = Rig::new(with_tenant(), 20);
    let new = part(QuotaKind::NewWork(TenantId(0)), 3, S);
    rig.event(Event::QuotaShares(vec![part(QuotaKind::LocalSite, 10, 200 * MS), new]));
    let out = rig.event(Event::RequestArrived(of_tenant(0)));
    assert!(out.contains(&Action::Reject { id: RequestId(0), quota: Some(QuotaKind::LocalSite) }), "{out:?}");
    assert!(!bars(&rig.event(Event::RequestArrived(guest(1))), 1));
    for id in 2..5 {
        rig.pass(S);
        assert!(!bars(&rig.event(Event::RequestArrived(of_tenant(id))), id));
    }
    rig.pass(S);
    let out = rig.event(Event::RequestArrived(of_tenant(6)));
    assert!(
        out.contains(&Action::Reject { id: RequestId(6), quota: Some(QuotaKind::NewWork(TenantId(0))) }),
        "{out:?}"
    );
    assert!(!bars(&rig.event(Event::RequestArrived(request(7, 0))), 7), "the unit was not used");
}

/// Twenty workers of one slot and 50 ms a job bear 400 a second; home load asks for 380 of them, guests for 1,200. How many of each are
/// served in 10 s where guests have that part.
fn contended(part_of_guests: Option<u64>) -> (usize, usize) {
    const WORK: Micros = 50 * MS;
    let mut rig = Rig::new(settings(), 20);
    let held = part_of_guests.map(|units| part(QuotaKind::RemoteClass(ClassId(0)), units, 200 * MS));
    rig.event(Event::QuotaShares(held.into_iter().collect()));
    let (mut free_at, mut due, mut served) = ([0; 20], Vec::new(), (0, 0));
    let (mut id, begin) = (0, rig.now);
    while rig.now < begin + 10 * S {
        let mut out = rig.pass(MS);
        let now = rig.now;
        let (ready, later) =
            std::mem::take(&mut due).into_iter().partition(|d: &(Micros, u64, bool)| d.0 <= now);
        due = later;
        for (_, id, ends) in ready as Vec<(Micros, u64, bool)> {
            if ends {
                *(if id % 4 == 0 { &mut served.0 } else { &mut served.1 }) += 1;
                out.extend(rig.ended(id, 0, AttemptStatus::Ok));
            } else {
                out.extend(rig.started(id));
            }
        }
        // Of each four one is home load: 380 and 1,140 a second.
        while id < ((now - begin) * 1_520 / S) as u64 {
            id += 1;
            let asked = Request { is_remote: id % 4 != 0, time_remaining: S, ..request(id, 0) };
            out.extend(rig.event(Event::RequestArrived(asked)));
        }
        for (id, worker) in sends(&out) {
            let free = &mut free_at[worker as usize];
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
