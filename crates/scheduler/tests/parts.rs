//! Tests of quota shares: a scheduler stays within its shares even while endpoints are idle, over retries and
//! for attempts whose outcome is unknown.

mod common;
use common::*;
use shorepath_scheduler::*;
use shorepath_scheduler::{QuotaKind, QuotaShare, QuotaUsage};
use std::collections::BTreeSet;

fn share(kind: QuotaKind, units: u64, window: Micros) -> QuotaShare {
    QuotaShare { kind, units, total: 100, window }
}

fn tenant_rate(units: u64) -> QuotaShare {
    share(QuotaKind::TenantRate(TenantId(0)), units, 200 * MS)
}

/// Returns settings of one tenant whose own quota is large.
fn tenant_settings() -> Settings {
    let mut settings = settings();
    settings.tenants = vec![TenantSettings { share: 1.0, quota_per_second: 1_000.0 }];
    (settings.sends_retry_after, settings.max_retry_after) = (true, 2 * S);
    settings
}

fn tenant_request(id: u64) -> Request {
    Request { tenant: Some(TenantId(0)), ..request(id, 0) }
}

/// Sends one request in each step; an attempt is served at once. Returns the time of each attempt and the
/// requests that were shed.
fn run_load(harness: &mut Harness, ids: std::ops::Range<u64>, step: Micros) -> (Vec<Micros>, Vec<u64>) {
    let (mut sent, mut shed) = (Vec::new(), Vec::new());
    for id in ids {
        let mut actions = harness.advance(step);
        actions.extend(harness.handle(Event::RequestArrived(tenant_request(id))));
        while !actions.is_empty() {
            let mut more = Vec::new();
            for action in actions {
                match action {
                    Action::StartAttempt { id, .. } => {
                        sent.push(harness.now);
                        more.extend(harness.handle(Event::AttemptStarted { id, attempt: 0 }));
                        more.extend(harness.attempt_ended(id.0, 0, AttemptStatus::Ok));
                    }
                    Action::Shed { id, retry_after } => {
                        assert!(retry_after.is_some_and(|t| t > 0));
                        shed.push(id.0);
                    }
                    _ => {}
                }
            }
            actions = more;
        }
    }
    (sent, shed)
}

/// Returns the largest number of the times within one window.
fn most_in(times: &[Micros], window: Micros) -> usize {
    times.iter().map(|a| times.iter().filter(|b| (*a..a + window).contains(b)).count()).max().unwrap_or(0)
}

#[test]
fn quota_share_limits_requests_while_endpoints_are_idle_and_after_each_change() {
    let mut harness = Harness::new(tenant_settings(), 20);
    let (unlimited, shed) = run_load(&mut harness, 0..500, 5 * MS);
    assert_eq!((unlimited.len(), shed.len()), (500, 0), "without a share there is no limit");
    harness.handle(Event::QuotaShares(vec![tenant_rate(50)]));
    harness.scheduler.take_quota_usage(harness.now);
    let (sent, shed) = run_load(&mut harness, 1_000..2_000, 5 * MS);
    assert!(most_in(&sent, S) <= 61, "{}", most_in(&sent, S));
    assert!(
        (240..=265).contains(&sent.len()) && shed.len() > 600,
        "{} sent, {} shed",
        sent.len(),
        shed.len()
    );
    let used = harness.scheduler.take_quota_usage(harness.now);
    assert_eq!(used, [(tenant_rate(0).kind, QuotaUsage { demand: 1_000, used: sent.len() as u64 })]);
    // A smaller share, then none. Queued requests are answered as well.
    for (units, most) in [(10, 60), (0, 1)] {
        harness.handle(Event::QuotaShares(vec![tenant_rate(units)]));
        let from = 10_000 * (units + 1);
        let (sent, shed) = run_load(&mut harness, from..from + 1_000, 5 * MS);
        assert!(sent.len() <= most, "{} sent with a share of {units}", sent.len());
        assert!(sent.len() + shed.len() > 900, "{} sent, {} shed", sent.len(), shed.len());
    }
    harness.handle(Event::QuotaShares(Vec::new()));
    assert!(run_load(&mut harness, 90_000..90_100, 5 * MS).0.len() >= 100);
}

/// An attempt whose connection broke counts for as long as it may run, and a smaller share cancels nothing.
#[test]
fn attempts_in_flight_stay_within_their_share() {
    let mut harness = Harness::new(settings(), 20);
    let concurrency =
        |units| Event::QuotaShares(vec![share(QuotaKind::ClassConcurrency(ClassId(1)), units, 3 * S)]);
    harness.handle(concurrency(3));
    let mut in_flight: BTreeSet<u64> = BTreeSet::new();
    for id in 0..5 {
        in_flight.extend(new_attempts(&harness.request_arrived(id, 1)).iter().map(|s| s.0));
    }
    assert_eq!(in_flight.len(), 3);
    assert_eq!(new_attempts(&harness.request_arrived(50, 0)).len(), 1, "other classes are not limited");
    in_flight.iter().for_each(|id| drop(harness.attempt_started(*id)));
    let mut next = harness.attempt_ended(0, 0, AttemptStatus::Ok);
    next.extend(harness.advance(30 * MS));
    assert_eq!(new_attempts(&next).len(), 1);
    // The attempt whose connection broke may still run.
    let broken_at = harness.now;
    harness.attempt_ended(1, 0, AttemptStatus::Reset);
    assert!(new_attempts(&harness.advance(40 * MS)).is_empty());
    assert_eq!(harness.scheduler.take_quota_usage(harness.now)[0].1.used, 3);
    harness.handle(concurrency(1));
    assert!(
        harness.scheduler.take_quota_usage(harness.now)[0].1.used == 3,
        "a smaller share cancels nothing"
    );
    harness.handle(concurrency(3));
    harness.advance(broken_at + 3 * S - harness.now);
    harness.request_arrived(60, 1);
    assert_eq!(
        harness.scheduler.take_quota_usage(harness.now)[0].1.used,
        3,
        "the lost attempt no longer counts"
    );
}

#[test]
fn retries_and_connections_stay_within_their_shares() {
    let mut long_objective = settings();
    long_objective.classes[0].latency_objective = 2 * S;
    let mut harness = Harness::new(long_objective, 8);
    harness.handle(Event::QuotaShares(vec![share(QuotaKind::Retries, 2, 0)]));
    harness.advance(2 * S);
    let mut retries = Vec::new();
    for id in 0..6 {
        harness.request_arrived(id, 0);
        retries.extend(
            new_attempts(&harness.attempt_ended(id, 0, AttemptStatus::Overloaded))
                .iter()
                .filter(|s| s.0 == id)
                .map(|_| harness.now),
        );
    }
    assert_eq!(retries.len(), 1, "one retry was saved up");
    let later = new_attempts(&harness.advance(900 * MS));
    assert!((1..=2).contains(&later.len()), "{later:?}");
    // One connection to each of eight endpoints, however many requests arrive.
    let mut harness = Harness::new(settings(), 8);
    harness.handle(Event::QuotaShares(vec![share(QuotaKind::Connections, 1, 0)]));
    let mut where_to = Vec::new();
    for id in 0..30 {
        where_to.extend(new_attempts(&harness.request_arrived(id, 0)).iter().map(|s| s.1));
        harness.attempt_started(id);
    }
    let distinct: BTreeSet<u32> = where_to.iter().copied().collect();
    assert!(where_to.len() == distinct.len() && !where_to.is_empty(), "{where_to:?}");
}

/// Guards against ignoring the share of the capacity of endpoints in slow start.
#[test]
fn endpoints_in_slow_start_are_sent_the_schedulers_share() {
    let sent = |units: Option<u64>| {
        let mut harness = Harness::new(settings(), 0);
        harness.handle(Event::EndpointList(vec![Endpoint { started_at: harness.now, ..live_endpoint(1) }]));
        harness.handle(Event::QuotaShares(
            units.map(|u| share(QuotaKind::SlowStart, u, 0)).into_iter().collect(),
        ));
        let mut attempt_count = 0;
        for id in 0..400 {
            let mut actions = harness.advance(5 * MS);
            actions.extend(harness.request_arrived(id, 0));
            for (id, _) in new_attempts(&actions) {
                attempt_count += 1;
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        attempt_count
    };
    let (none, few, many) = (sent(Some(0)), sent(Some(10)), sent(Some(100)));
    assert!(
        none <= 2 && few < many / 3 && few > 2,
        "sent with a share of 0: {none}, of 10: {few}, of 100: {many}, without a share: {}",
        sent(None)
    );
}

/// Probes start without saved-up units, and those beyond the share are reported as demand.
#[test]
fn probes_use_their_share_and_no_more() {
    let probed = |units: Option<u64>| {
        let mut settings = settings();
        (settings.probing, settings.schedulers) = (true, 50);
        let mut harness = Harness::new(settings, 10);
        harness.handle(Event::QuotaShares(
            units.map(|u| share(QuotaKind::Probes, u, 100 * MS)).into_iter().collect(),
        ));
        let mut count = 0;
        for id in 0..400 {
            let mut actions = harness.advance(10 * MS);
            actions.extend(harness.request_arrived(id, 0));
            let probes: Vec<EndpointId> = actions
                .iter()
                .filter_map(|a| if let Action::Probe { endpoint } = a { Some(*endpoint) } else { None })
                .collect();
            count += probes.len();
            for endpoint in probes {
                let report = LoadReport { free_slots: Some(2.0), in_flight: Some(0.0) };
                actions.extend(harness.handle(Event::ProbeEnded {
                    endpoint,
                    status: AttemptStatus::Ok,
                    report,
                }));
            }
            for (id, _) in new_attempts(&actions) {
                harness.attempt_started(id);
                harness.attempt_ended(id, 0, AttemptStatus::Ok);
            }
        }
        (count, harness.scheduler.take_quota_usage(harness.now).first().map_or(0, |u| u.1.demand))
    };
    let (unlimited, (limited, demand)) = (probed(None).0, probed(Some(20)));
    assert!(
        (60..=82).contains(&limited) && unlimited > 2 * limited,
        "{limited} probes within the share, {unlimited} without a share"
    );
    assert!(demand > limited as u64, "{demand}");
    assert_eq!(probed(Some(0)).0, 0);
}

fn is_rejected(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: rejected, .. } if rejected.0 == id))
}

/// Guards against rejecting repeats of accepted work, and against counting requests that were never sent as
/// new work.
#[test]
fn new_work_beyond_its_share_is_rejected_and_accepted_work_is_finished() {
    let mut harness = Harness::new(tenant_settings(), 6);
    let new_work = |units| Event::QuotaShares(vec![share(QuotaKind::NewWork(TenantId(0)), units, S)]);
    harness.handle(new_work(2));
    for id in 0..2 {
        assert!(new_attempts(&harness.handle(Event::RequestArrived(tenant_request(id)))).len() == 1, "{id}");
    }
    assert!(is_rejected(&harness.handle(Event::RequestArrived(tenant_request(2))), 2));
    assert_eq!(harness.scheduler.take_quota_usage(harness.now)[0].1.used, 2);
    harness.handle(new_work(0));
    let repeat = Request { work_state: WorkState::InProgress, ..tenant_request(3) };
    assert!(!is_rejected(&harness.handle(Event::RequestArrived(repeat)), 3));
    // A request that never ran is retried although no new work is accepted.
    assert_eq!(new_attempts(&harness.attempt_ended(0, 0, AttemptStatus::ConnectFailed)).len(), 1);
    let misdirected = Request { work_state: WorkState::Misdirected, ..request(4, 0) };
    assert!(is_rejected(&harness.handle(Event::RequestArrived(misdirected)), 4));
    // A request without a tenant is not limited.
    assert!(!is_rejected(&harness.handle(Event::RequestArrived(request(5, 0))), 5));
    // A request whose client leaves while it is queued uses no unit of the share of new work.
    harness.handle(new_work(3));
    harness.handle(Event::EndpointList(Vec::new()));
    harness.handle(Event::RequestArrived(tenant_request(6)));
    harness.handle(Event::ClientLeft(RequestId(6)));
    assert!(!is_rejected(&harness.handle(Event::RequestArrived(tenant_request(7))), 7));
}

/// Guards against retries of a tenant that has been disabled, and against limiting others with it.
#[test]
fn disabled_tenant_gets_no_more_attempts() {
    let mut harness = Harness::new(tenant_settings(), 2);
    let first = new_attempts(&harness.handle(Event::RequestArrived(tenant_request(0))));
    assert_eq!(first.len(), 1);
    harness.handle(Event::QuotaShares(vec![share(QuotaKind::TenantEnabled(TenantId(0)), 0, S)]));
    let actions = harness.attempt_ended(0, 0, AttemptStatus::ConnectFailed);
    assert!(is_shed(&actions, 0) && new_attempts(&actions).is_empty(), "{actions:?}");
    assert_eq!(new_attempts(&harness.handle(Event::RequestArrived(request(1, 0)))).len(), 1);
}

fn remote_request(id: u64) -> Request {
    Request { is_remote: true, ..request(id, 0) }
}

/// Guards against remote requests that exceed their share after an idle time or as repeats, and against
/// rejecting local requests for them.
#[test]
fn remote_requests_stay_within_their_share_and_local_ones_are_not_limited() {
    let mut harness = Harness::new(settings(), 40);
    let remote_class = |units| share(QuotaKind::RemoteClass(ClassId(0)), units, 200 * MS);
    harness.handle(Event::QuotaShares(vec![remote_class(20)]));
    harness.advance(10 * S);
    let (mut accepted, mut rejected) = (Vec::new(), 0);
    for id in 0..4_000 {
        harness.advance(MS);
        let is_remote = id % 2 == 0;
        let arriving = if is_remote {
            Request { work_state: WorkState::InProgress, ..remote_request(id) }
        } else {
            request(id, 0)
        };
        let actions = harness.handle(Event::RequestArrived(arriving));
        let quota = Some(QuotaKind::RemoteClass(ClassId(0)));
        match actions.contains(&Action::Reject { id: RequestId(id), quota }) {
            true => rejected += 1,
            false if is_remote => accepted.push(harness.now),
            false => assert_eq!(
                new_attempts(&actions).len(),
                1,
                "local request {id} must be sent at once: {actions:?}"
            ),
        }
        for (id, _) in new_attempts(&actions) {
            harness.attempt_ended(id, 0, AttemptStatus::Ok);
        }
    }
    assert!((80..=85).contains(&accepted.len()) && most_in(&accepted, S) <= 25, "{}", accepted.len());
    assert_eq!(accepted.len() + rejected, 2_000);
    harness.handle(Event::QuotaShares(vec![remote_class(0)]));
    assert!(
        is_rejected(&harness.handle(Event::RequestArrived(remote_request(5_000))), 5_000),
        "a share of 0 rejects all"
    );
    harness.handle(Event::QuotaShares(Vec::new()));
    assert!(
        !is_rejected(&harness.handle(Event::RequestArrived(remote_request(5_001))), 5_001),
        "without a share there is no limit"
    );
}

/// Guards against limiting remote requests by the share of the local site, and against counting requests that
/// one share rejects against another.
#[test]
fn local_requests_stay_within_the_share_of_their_site() {
    let mut harness = Harness::new(tenant_settings(), 20);
    let new_work = share(QuotaKind::NewWork(TenantId(0)), 3, S);
    harness.handle(Event::QuotaShares(vec![share(QuotaKind::LocalSite, 10, 200 * MS), new_work]));
    let actions = harness.handle(Event::RequestArrived(tenant_request(0)));
    assert!(
        actions.contains(&Action::Reject { id: RequestId(0), quota: Some(QuotaKind::LocalSite) }),
        "{actions:?}"
    );
    assert!(!is_rejected(&harness.handle(Event::RequestArrived(remote_request(1))), 1));
    for id in 2..5 {
        harness.advance(S);
        assert!(!is_rejected(&harness.handle(Event::RequestArrived(tenant_request(id))), id));
    }
    harness.advance(S);
    let actions = harness.handle(Event::RequestArrived(tenant_request(6)));
    assert!(
        actions.contains(&Action::Reject { id: RequestId(6), quota: Some(QuotaKind::NewWork(TenantId(0))) }),
        "{actions:?}"
    );
    assert!(
        !is_rejected(&harness.handle(Event::RequestArrived(request(7, 0))), 7),
        "the rejected request used no unit of the site's share"
    );
}

/// Runs twenty endpoints, which together serve 400 requests a second, for 10 s under 380 local and 1,140
/// remote requests a second. Returns how many local and remote ones are served with this share of remote
/// requests.
fn served_under_overload(remote_share: Option<u64>) -> (usize, usize) {
    const WORK: Micros = 50 * MS;
    let mut harness = Harness::new(settings(), 20);
    let shares = remote_share.map(|units| share(QuotaKind::RemoteClass(ClassId(0)), units, 200 * MS));
    harness.handle(Event::QuotaShares(shares.into_iter().collect()));
    let (mut free_at, mut due, mut served) = ([0; 20], Vec::new(), (0, 0));
    let (mut id, start) = (0, harness.now);
    while harness.now < start + 10 * S {
        let mut actions = harness.advance(MS);
        let now = harness.now;
        let (ready, later) =
            std::mem::take(&mut due).into_iter().partition(|d: &(Micros, u64, bool)| d.0 <= now);
        due = later;
        for (_, id, has_ended) in ready as Vec<(Micros, u64, bool)> {
            if has_ended {
                *(if id % 4 == 0 { &mut served.0 } else { &mut served.1 }) += 1;
                actions.extend(harness.attempt_ended(id, 0, AttemptStatus::Ok));
            } else {
                actions.extend(harness.attempt_started(id));
            }
        }
        // One request of four is local: 380 local and 1,140 remote ones a second.
        while id < ((now - start) * 1_520 / S) as u64 {
            id += 1;
            let arriving = Request { is_remote: id % 4 != 0, time_remaining: S, ..request(id, 0) };
            actions.extend(harness.handle(Event::RequestArrived(arriving)));
        }
        for (id, endpoint) in new_attempts(&actions) {
            let free = &mut free_at[endpoint as usize];
            let starts_at = now.max(*free);
            *free = starts_at + WORK;
            due.extend([(starts_at, id, false), (starts_at + WORK, id, true)]);
        }
    }
    served
}

/// Guards against overload in which remote requests take more capacity from local ones than their share.
#[test]
fn local_requests_lose_no_more_than_the_share_of_remote_ones() {
    let (local_alone, no_remote) = served_under_overload(Some(0));
    let (local, remote) = served_under_overload(Some(80));
    let (local_unlimited, _) = served_under_overload(None);
    assert_eq!(no_remote, 0);
    assert!(local_alone > 3_500, "{local_alone} of 3,800 local requests served without remote ones");
    assert!(remote > 400, "{remote} remote requests served");
    assert!(
        local + 80 * 10 >= local_alone,
        "served: {local} local requests, {local_alone} without remote ones; {remote} remote requests"
    );
    assert!(
        local_unlimited * 2 < local_alone,
        "{local_unlimited} local requests served with unlimited remote ones, {local_alone} without any"
    );
}
