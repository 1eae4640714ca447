//! Tests of the harness itself: the checkers of histories, scripts, shrinking and relays.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_rig::check::{check, evidence, Budget, Expectations, SharedBudgets};
use shorepath_rig::history::{Event, Record, Repeat};
use shorepath_rig::relay::{tcp, udp, DatagramChange, LinkFaults};
use shorepath_rig::script::{read, Script};
use shorepath_rig::shrink::shrink;
use shorepath_rig::site_checks::SiteExpectations;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::LocalSet;
use tokio::time::timeout;

const MS: i64 = 1_000;

fn expectations() -> Expectations {
    let budget = Budget { name: "probes".into(), total: 3, window: 1_000 * MS, slack: 1 };
    Expectations {
        answer_slack: 50 * MS,
        drain_grace: 500 * MS,
        settle_time: 1_000 * MS,
        budgets: vec![budget],
        shared: None,
        sites: None,
    }
}

fn history(all: &[(i64, Event)]) -> Vec<Record> {
    all.iter().map(|(at, event)| Record { at: at * MS, event: event.clone() }).collect()
}

fn requested(id: u64, repeat: Repeat) -> Event {
    Event::Requested { id, node: 0, timeout: 1_000 * MS, repeat }
}

fn arrived(id: u64, server: u32, sent: i64) -> Event {
    Event::Arrived { id, server, node: 0, sent: sent * MS }
}

fn answered(id: u64, status: u16) -> Event {
    Event::Answered { id, status }
}

fn used(amount: u64) -> Event {
    Event::Used { budget: "probes".into(), amount }
}

fn script_event() -> Event {
    Event::Script { event: "(break (node 0) (server 0))".into() }
}

#[rstest]
#[case::no_violation(&[], vec![
    (0, Event::Ready { node: 0 }), (1, requested(1, Repeat::Never)), (2, arrived(1, 0, 2)),
    (3, Event::RejectedByServer { id: 1, server: 0 }), (4, arrived(1, 1, 4)), (5, Event::JobStarted { id: 1, server: 1 }),
    (9, answered(1, 200)), (20, Event::Exited { node: 0, requested: true, code: Some(0) }),
])]
#[case::unanswered(&["unanswered"], vec![(0, requested(1, Repeat::Safe)), (1_050, Event::Unanswered { id: 1 })])]
#[case::unanswered_while_disrupted(&[], vec![
    (0, requested(1, Repeat::Safe)), (10, Event::Disrupted { node: 0 }), (11, Event::Unanswered { id: 1 }),
    (500, Event::Ready { node: 0 }),
])]
#[case::starved_long_after_the_timeout(&["unanswered"], vec![
    (0, requested(1, Repeat::Safe)), (1_300, Event::Unanswered { id: 1 }), (4_000, Event::Starved { node: 0, from: 3_900 * MS }),
])]
#[case::disrupted_before_the_request(&["unanswered"], vec![
    (0, Event::Disrupted { node: 0 }), (10, Event::Ready { node: 0 }), (20, requested(1, Repeat::Safe)),
    (30, Event::Unanswered { id: 1 }),
])]
#[case::unanswered_after_requested_exit(&["unanswered"], vec![
    (0, requested(1, Repeat::Safe)), (5, Event::Exited { node: 0, requested: true, code: Some(0) }),
    (6, Event::Unanswered { id: 1 }),
])]
#[case::another_node_disrupted(&["unanswered"], vec![
    (0, requested(1, Repeat::Safe)), (10, Event::Disrupted { node: 1 }), (1_050, Event::Unanswered { id: 1 }),
])]
#[case::late(&["late"], vec![(0, requested(1, Repeat::Safe)), (1_051, answered(1, 200))])]
#[case::answered_twice(&["answered-twice"], vec![
    (0, requested(1, Repeat::Safe)), (1, answered(1, 200)), (2, answered(1, 502)),
])]
#[case::sent_again(&["sent-again"], vec![
    (0, requested(1, Repeat::Never)), (1, arrived(1, 0, 1)), (5, arrived(1, 1, 5)), (9, answered(1, 200)),
])]
#[case::idempotent_request_sent_again(&[], vec![
    (0, requested(1, Repeat::Safe)), (1, arrived(1, 0, 1)), (5, arrived(1, 1, 5)), (9, answered(1, 200)),
])]
#[case::ran_twice(&["ran-twice"], vec![
    (0, requested(1, Repeat::Never)), (1, Event::JobStarted { id: 1, server: 0 }), (2, Event::JobStarted { id: 1, server: 1 }),
    (9, answered(1, 200)),
])]
#[case::refused_after_run(&["refused-after-run"], vec![
    (0, requested(1, Repeat::Never)), (1, arrived(1, 0, 1)), (9, answered(1, 503)),
])]
#[case::sent_after_end(&["sent-after-end"], vec![
    (0, requested(1, Repeat::Safe)), (1, answered(1, 503)), (5, arrived(1, 0, 4)),
])]
#[case::sent_after_client_disconnected(&["unanswered", "sent-after-end"], vec![
    (0, requested(1, Repeat::Safe)), (1_050, Event::Unanswered { id: 1 }), (1_055, arrived(1, 0, 1_054)),
    (1_060, Event::Disrupted { node: 1 }),
] )]
#[case::sent_after_client_disconnected_during_halt(&[], vec![
    (0, Event::Disrupted { node: 0 }), (1, requested(1, Repeat::Safe)), (1_050, Event::Unanswered { id: 1 }),
    (1_055, arrived(1, 0, 1_054)), (1_060, Event::Ready { node: 0 }),
])]
#[case::sent_after_answer_despite_halt(&["sent-after-end"], vec![
    (0, requested(1, Repeat::Safe)), (1, answered(1, 503)), (2, Event::Disrupted { node: 0 }), (5, arrived(1, 0, 4)),
    (6, Event::Ready { node: 0 }),
])]
#[case::sent_before_and_arrived_after_the_answer(&[], vec![
    (0, requested(1, Repeat::Safe)), (2, answered(1, 503)), (5, arrived(1, 0, 1)),
])]
#[case::dispatched_after_drain_grace(&["drain"], vec![
    (0, Event::ServerListed { node: 0, server: 0, live: false }), (1, requested(1, Repeat::Safe)), (600, arrived(1, 0, 501)),
    (700, answered(1, 200)),
])]
#[case::dispatched_within_drain_grace(&[], vec![
    (0, Event::ServerListed { node: 0, server: 0, live: false }), (1, requested(1, Repeat::Safe)), (600, arrived(1, 0, 500)),
    (700, answered(1, 200)),
])]
#[case::drain_announced_during_halt(&[], vec![
    (0, Event::Disrupted { node: 0 }), (1, Event::ServerListed { node: 0, server: 0, live: false }), (2, requested(1, Repeat::Safe)),
    (900, arrived(1, 0, 850)), (901, answered(1, 200)), (1_000, Event::Ready { node: 0 }),
])]
#[case::dispatched_to_draining_server_after_halt(&["drain"], vec![
    (0, Event::Disrupted { node: 0 }), (1, Event::ServerListed { node: 0, server: 0, live: false }), (2, requested(1, Repeat::Safe)),
    (900, Event::Ready { node: 0 }), (1_000, arrived(1, 0, 950)), (1_001, answered(1, 200)),
])]
#[case::exit_without_request(&["exit"], vec![(5, Event::Exited { node: 0, requested: false, code: Some(0) })])]
#[case::exit_with_failure(&["exit"], vec![(5, Event::Exited { node: 0, requested: true, code: Some(1) })])]
#[case::over_budget(&["budget"], vec![(0, used(2)), (500, used(2)), (999, used(1))])]
#[case::over_budget_within_slack(&[], vec![(0, used(2)), (500, used(2)), (1_000, used(2))])]
#[case::another_budget(&[], vec![(0, Event::Used { budget: "lists".into(), amount: 99 })])]
fn checker_finds_exactly_the_expected_violations(
    #[case] expected_rules: &[&str],
    #[case] all: Vec<(i64, Event)>,
) {
    let records = history(&all);
    let found = check(&records, &expectations());
    assert_eq!(found.iter().map(|v| v.rule).collect::<Vec<_>>(), expected_rules, "{found:?}");
    for v in found.iter().filter(|v| v.request.is_some()) {
        let explaining = evidence(&records, v);
        assert!(
            explaining.len() <= records.len()
                && explaining.iter().any(|r| matches!(r.event, Event::Requested { .. }))
        );
    }
}

fn total(budget: &str, total: u64) -> Event {
    Event::BudgetTotal { budget: budget.into(), total }
}

fn released(id: u64) -> Event {
    Event::JobReleased { id, server: 0 }
}

/// Returns the events of consecutive requests, one every 100 ms, each dispatched at once and released after 50 ms.
fn sequential_requests(from: u64, count: u64, repeat: Repeat) -> Vec<(i64, Event)> {
    let one = |id: u64| {
        let at = id as i64 * 100;
        [
            (at, requested(id, repeat)),
            (at, arrived(id, 0, at)),
            (at + 50, released(id)),
            (at + 60, answered(id, 200)),
        ]
    };
    (from..from + count).flat_map(one).collect()
}

/// Returns `count` copies of an event, `interval` milliseconds apart.
fn repeated(interval: i64, count: i64, event: Event) -> Vec<(i64, Event)> {
    let one = |k: i64| match event {
        Event::Probed { server, .. } => Event::Probed { server, sent: k * interval * MS },
        _ => event.clone(),
    };
    (1..=count).map(|k| (k * interval, one(k))).collect()
}

#[rstest]
#[case::within_quota(&[], vec![(0, total("quota:acme", 10))], sequential_requests(1, 60, Repeat::Safe))]
#[case::over_quota(&["shared"], vec![(0, total("quota:acme", 6))], sequential_requests(1, 60, Repeat::Safe))]
#[case::quota_lowered_within_grace(&[], vec![(0, total("quota:acme", 10)), (5_000, total("quota:acme", 1))], sequential_requests(1, 60, Repeat::Safe))]
#[case::quota_lowered_before_grace(&["shared"], vec![(0, total("quota:acme", 10)), (1, total("quota:acme", 1))], sequential_requests(90, 60, Repeat::Safe))]
#[case::too_many_in_flight(&["shared"], vec![(0, total("flight:valve", 1))], vec![
    (1, requested(1, Repeat::Never)), (2, requested(2, Repeat::Never)), (3, arrived(1, 0, 3)), (4, arrived(2, 0, 4)),
    (5, released(1)), (6, released(2)), (7, answered(1, 200)), (8, answered(2, 200)),
])]
#[case::one_in_flight_at_a_time(&[], vec![(0, total("flight:valve", 1))], sequential_requests(1, 9, Repeat::Never))]
#[case::over_retry_budget(&["shared"], vec![(0, total("retries", 1))], vec![
    (1, requested(1, Repeat::Safe)), (2, arrived(1, 0, 2)), (3, arrived(1, 1, 3)), (4, arrived(1, 2, 4)), (5, arrived(1, 3, 5)),
    (6, arrived(1, 0, 6)), (9, answered(1, 200)),
])]
#[case::over_probe_budget(&["shared"], vec![(0, total("probes", 2))], repeated(100, 60, Event::Probed { server: 0, sent: 0 }))]
#[case::within_probe_budget(&[], vec![(0, total("probes", 10))], repeated(100, 60, Event::Probed { server: 0, sent: 0 }))]
#[case::over_discovery_budget(&["shared"], vec![(0, total("lists", 1))], repeated(200, 9, Event::DiscoveryConnected { node: 0 }))]
#[case::within_discovery_budget(&[], vec![(0, total("lists", 1))], repeated(1_000, 9, Event::DiscoveryConnected { node: 0 }))]
#[case::too_many_attempts_at_one_server(&["shared"], vec![(0, total("connections", 1))], vec![
    (1, requested(1, Repeat::Safe)), (2, requested(2, Repeat::Safe)), (3, arrived(1, 0, 3)), (4, arrived(2, 0, 4)),
    (5, released(1)), (6, released(2)), (7, answered(1, 200)), (8, answered(2, 200)),
])]
#[case::one_attempt_at_each_server(&[], vec![(0, total("connections", 1))], vec![
    (1, requested(1, Repeat::Safe)), (2, requested(2, Repeat::Safe)), (3, arrived(1, 0, 3)), (4, arrived(2, 1, 4)),
    (5, released(1)), (6, Event::JobReleased { id: 2, server: 1 }), (7, answered(1, 200)), (8, answered(2, 200)),
])]
#[case::attempt_abandoned_by_its_node(&[], vec![(0, total("connections", 1))], vec![
    (1, requested(1, Repeat::Safe)), (3, arrived(1, 0, 3)), (9, answered(1, 504)),
    (10, requested(2, Repeat::Safe)), (11, arrived(2, 0, 11)), (12, released(1)), (13, released(2)), (14, answered(2, 200)),
])]
fn shared_budget_use_is_checked_against_its_total(
    #[case] expected_rules: &[&str],
    #[case] mut all: Vec<(i64, Event)>,
    #[case] more: Vec<(i64, Event)>,
) {
    all.extend(more);
    let shared = SharedBudgets { nodes: 1, lowered_grace: 2_000 * MS, burst: 0, served_share: 0.5 };
    let found =
        check(&history(&all), &Expectations { shared: Some(shared), budgets: Vec::new(), ..expectations() });
    let rules: std::collections::BTreeSet<_> = found.iter().map(|v| v.rule).collect();
    assert_eq!(rules, expected_rules.iter().copied().collect(), "{found:?}");
}

fn details(id: u64, tenant: &str, repeat_of: Option<u64>) -> Event {
    let key = format!("key-{}", repeat_of.unwrap_or(id));
    Event::RequestDetails { id, tenant: tenant.into(), repeat_of, key }
}

fn rejected_event(id: u64, reason: &str) -> Event {
    Event::RejectedByNode { id, reason: reason.into() }
}

fn file_delivered(node: u32, number: u64, status: &str) -> Event {
    Event::AccountsFileDelivered { node, number, account: "acme".into(), status: status.into() }
}

fn link_cut(from: u32, to: u32, cut: bool) -> Event {
    Event::SiteLinkCut { from, to, cut }
}

fn reported(node: u32, subject: &str, state: &str) -> Event {
    Event::ReportedState { node, subject: subject.into(), state: state.into() }
}

/// Returns the events of a request that a node rejects after `delay` milliseconds because its account is closing.
fn rejected_request(at: i64, id: u64, tenant: &str, node: u32, delay: i64) -> Vec<(i64, Event)> {
    let requested = Event::Requested { id, node, timeout: 1_000 * MS, repeat: Repeat::Safe };
    let rejected = rejected_event(id, "account closing");
    vec![
        (at, details(id, tenant, None)),
        (at, requested),
        (at + delay, rejected),
        (at + delay, answered(id, 403)),
    ]
}

/// Returns the events of a request of another tenant that a node rejects for the given reason.
fn rejected_because(reason: &str, repeat: Repeat) -> Vec<(i64, Event)> {
    let requested = Event::Requested { id: 2, node: 0, timeout: 1_000 * MS, repeat };
    vec![
        (50, details(2, "fyn", None)),
        (50, requested),
        (51, rejected_event(2, reason)),
        (51, answered(2, 503)),
    ]
}

/// Returns the events of a request of acme that a node serves at once.
fn runs(at: i64, id: u64, node: u32, repeat_of: Option<u64>, repeat: Repeat) -> Vec<(i64, Event)> {
    vec![
        (at, details(id, "acme", repeat_of)),
        (at, Event::Requested { id, node, timeout: 1_000 * MS, repeat }),
        (at + 1, Event::Arrived { id, server: 0, node, sent: (at + 1) * MS }),
        (at + 2, Event::JobStarted { id, server: 0 }),
        (at + 3, answered(id, 200)),
    ]
}

fn served(at: i64, id: u64, node: u32) -> Vec<(i64, Event)> {
    runs(at, id, node, None, Repeat::Safe)
}

/// Returns the final reports of all nodes of three sites: account status confirmed, sites linked, and acme's status as given.
fn settled(status: &str) -> Vec<(i64, Event)> {
    let reports = |node: u32| {
        let account_status = Event::AccountStatus { node, account: "acme".into(), status: status.into() };
        [
            (9_000, reported(node, "standing", "confirmed")),
            (9_000, reported(node, "s1", "Linked")),
            (9_000, account_status),
        ]
    };
    (0..6).flat_map(reports).collect()
}

/// Cuts the links from the other sites to the last one.
fn isolated(at: i64) -> Vec<(i64, Event)> {
    vec![(at, link_cut(0, 2, true)), (at, link_cut(1, 2, true))]
}

fn old_disk(at: i64) -> Vec<(i64, Event)> {
    vec![(at, Event::Disk { node: 4, disk: "old".into() })]
}

/// Kills node 4 and restarts it with its disk kept, lost or old.
fn restarted(at: i64, disk: &str) -> Vec<(i64, Event)> {
    let disk = Event::Disk { node: 4, disk: disk.into() };
    vec![
        (at, Event::Disrupted { node: 4 }),
        (at + 10, disk),
        (at + 50, Event::ProcessStarted { node: 4 }),
        (at + 60, Event::Ready { node: 4 }),
    ]
}

#[rstest]
#[case::no_violation(&[], [vec![(100, file_delivered(0, 2, "closing"))], served(10, 1, 0), rejected_request(2_000, 2, "acme", 0, 1), settled("closing")].concat())]
#[case::rejected_for_another_account(&["barred"], [vec![(100, file_delivered(0, 2, "closing"))], rejected_request(2_000, 2, "fyn", 0, 1), settled("closing")].concat())]
#[case::guarded_job_rejected_while_catching_up(&[], [vec![(100, file_delivered(0, 2, "closing"))], rejected_because("catching up", Repeat::Never), settled("closing")].concat())]
#[case::idempotent_job_rejected_while_catching_up(&["barred"], [vec![(100, file_delivered(0, 2, "closing"))], rejected_because("catching up", Repeat::Safe), settled("closing")].concat())]
#[case::rejected_for_unknown_reason(&["barred"], [vec![(100, file_delivered(0, 2, "closing"))], rejected_because("a whim", Repeat::Never), settled("closing")].concat())]
#[case::rejected_before_the_file(&["barred"], [rejected_request(50, 2, "acme", 0, 1), vec![(100, file_delivered(0, 2, "closing"))], settled("closing")].concat())]
#[case::slow_rejection(&["slow-refusal"], [vec![(100, file_delivered(0, 2, "closing"))], rejected_request(2_000, 2, "acme", 0, 201), settled("closing")].concat())]
#[case::slow_rejection_while_disrupted(&[], [
    vec![(100, file_delivered(0, 2, "closing"))], rejected_request(2_000, 2, "acme", 0, 201), vec![(2_100, Event::Disrupted { node: 0 }), (2_150, Event::Ready { node: 0 })],
    settled("closing"),
].concat())]
#[case::rejected_after_dispatch(&["broken-off"], [
    vec![(10, file_delivered(0, 2, "closing"))], rejected_request(20, 2, "acme", 3, 9), vec![(25, arrived(2, 0, 25))], settled("closing"),
].concat())]
#[case::rejected_after_dispatch_of_closed_account(&[], [
    vec![(10, file_delivered(0, 2, "closed"))], rejected_request(20, 2, "acme", 3, 9), vec![(25, arrived(2, 0, 25))], settled("closed"),
].concat())]
#[case::key_ran_twice(&["key-ran-twice"], [
    runs(10, 1, 0, None, Repeat::Never), runs(50, 2, 4, Some(1), Repeat::Never), settled("good"),
].concat())]
#[case::idempotent_key_ran_twice(&[], [served(10, 1, 0), runs(50, 2, 4, Some(1), Repeat::Safe), settled("good")].concat())]
#[case::new_work_at_the_node_with_the_file(&["new-of-closing"], [vec![(100, file_delivered(0, 2, "closing"))], served(2_000, 1, 0), settled("closing")].concat())]
#[case::new_work_at_an_informed_node(&["new-of-closing"], [vec![(100, file_delivered(0, 2, "closing"))], served(2_000, 1, 5), settled("closing")].concat())]
#[case::new_work_before_gossip_reaches_the_node(&[], [vec![(100, file_delivered(0, 2, "closing"))], served(1_000, 1, 5), settled("closing")].concat())]
#[case::new_work_at_an_isolated_node(&[], [isolated(90), vec![(100, file_delivered(0, 2, "closing"))], served(2_000, 1, 5), settled("closing")].concat())]
#[case::informed_by_one_site(&["new-of-closing"], [
    vec![(90, link_cut(0, 2, true)), (100, file_delivered(0, 2, "closing"))], served(4_000, 1, 5), settled("closing"),
].concat())]
#[case::degraded_links(&[], [
    vec![(90, Event::SiteLinkDegraded { site: 2, degraded: true }), (100, file_delivered(0, 2, "closing"))], served(4_000, 1, 5), settled("closing"),
].concat())]
#[case::account_reopened_at_another_node(&[], [
    vec![(100, file_delivered(0, 2, "closing")), (1_999, file_delivered(4, 3, "reopened"))], served(2_000, 1, 0), settled("reopened"),
].concat())]
#[case::conflicting_files(&["new-of-closing"], [
    vec![(100, file_delivered(0, 2, "closing")), (101, file_delivered(4, 2, "reopened"))], served(2_000, 1, 5), settled("closing"),
].concat())]
#[case::repeat_of_accepted_request(&[], [
    served(10, 1, 0), vec![(100, file_delivered(0, 2, "closing"))], runs(2_000, 2, 0, Some(1), Repeat::Safe), settled("closing"),
].concat())]
#[case::repeat_of_rejected_request(&["new-of-closing"], [
    vec![(100, file_delivered(0, 2, "closing"))], rejected_request(1_500, 1, "acme", 0, 1), runs(2_000, 2, 0, Some(1), Repeat::Safe), settled("closing"),
].concat())]
#[case::repeat_of_rejected_request_at_another_site(&["new-of-closing"], [
    vec![(100, file_delivered(0, 2, "closing"))], rejected_request(1_500, 1, "acme", 0, 1), runs(2_000, 2, 5, Some(1), Repeat::Safe), settled("closing"),
].concat())]
#[case::repeat_at_another_site(&[], [
    served(10, 1, 0), vec![(100, file_delivered(0, 2, "closing"))], runs(2_000, 2, 5, Some(1), Repeat::Safe), settled("closing"),
].concat())]
#[case::file_forgotten_over_a_restart(&["new-of-closing"], [
    vec![(100, file_delivered(0, 2, "closing"))], isolated(2_000), restarted(2_100, "kept"), served(2_500, 1, 4), settled("closing"),
].concat())]
#[case::lost_with_its_disk(&[], [
    vec![(100, file_delivered(0, 2, "closing"))], isolated(2_000), restarted(2_100, "lost"), served(2_500, 1, 4), settled("closing"),
].concat())]
#[case::file_lost_with_the_disk_and_received_again(&["new-of-closing"], [
    vec![(100, file_delivered(0, 2, "closing"))], restarted(2_100, "lost"), served(4_000, 1, 4), settled("closing"),
].concat())]
#[case::within_credit(&[], [served(10, 1, 4), isolated(1_000), served(2_000, 2, 4), settled("good")].concat())]
#[case::beyond_credit(&["credit"], [served(10, 1, 4), isolated(1_000), served(2_000, 2, 4), served(2_100, 3, 4), settled("good")].concat())]
#[case::beyond_credit_over_a_restart(&["credit"], [
    served(10, 1, 4), isolated(1_000), served(2_000, 2, 4),
    restarted(2_010, "kept"), served(2_100, 3, 4), settled("good"),
].concat())]
#[case::starved_while_isolated(&[], [
    served(10, 1, 4), isolated(1_000), vec![(1_900, Event::Starved { node: 4, from: 1_400 * MS })], served(2_000, 2, 4), served(2_100, 3, 4), settled("good"),
].concat())]
#[case::credit_of_an_old_disk(&[], [
    served(10, 1, 4), isolated(1_000), served(2_000, 2, 4), old_disk(2_050), served(2_100, 3, 4), settled("good"),
].concat())]
#[case::beyond_credit_of_an_old_disk(&["credit"], [
    served(10, 1, 4), isolated(1_000), served(2_000, 2, 4), old_disk(2_050), served(2_100, 3, 4), served(2_200, 4, 4), settled("good"),
].concat())]
#[case::before_the_confirmation_timeout(&[], [served(10, 1, 4), isolated(1_000), served(1_300, 2, 4), served(1_400, 3, 4), settled("good")].concat())]
#[case::reconnected(&[], [
    served(10, 1, 4), isolated(1_000), vec![(2_000, link_cut(0, 2, false))], served(2_400, 2, 4), served(2_500, 3, 4), settled("good"),
].concat())]
#[case::reconnected_too_briefly(&["credit"], [
    served(10, 1, 4), isolated(1_000), served(2_000, 2, 4), vec![(2_050, link_cut(0, 2, false)), (2_150, link_cut(0, 2, true))],
    served(2_500, 3, 4), settled("good"),
].concat())]
#[case::majority_of_nodes_killed(&["credit"], [
    served(10, 1, 4), (0..4).map(|node| (1_000, Event::Disrupted { node })).collect(), served(2_000, 2, 4), served(2_100, 3, 4), settled("good"),
].concat())]
#[case::node_reports_another_status(&["differs"], [
    vec![(100, file_delivered(0, 2, "closing"))], settled("closing"),
    vec![(9_001, Event::AccountStatus { node: 3, account: "acme".into(), status: "good".into() })],
].concat())]
#[case::all_nodes_ignore_the_newest_file(&["differs"], [vec![(100, file_delivered(0, 2, "closing"))], settled("good")].concat())]
#[case::site_reported_lost(&["not-whole"], [settled("good"), vec![(9_001, reported(3, "s1", "Lost"))]].concat())]
#[case::node_without_final_report(&["not-whole"], settled("good").into_iter().filter(|(_, w)| !matches!(w, Event::ReportedState { node: 2, .. })).collect())]
fn violations_of_account_and_site_rules_are_reported(
    #[case] expected_rules: &[&str],
    #[case] mut all: Vec<(i64, Event)>,
) {
    all.sort_by_key(|(at, _)| *at);
    let sites = SiteExpectations {
        sites: 3,
        nodes_per_site: 2,
        account: "acme".into(),
        credit: 6,
        apply_time: 100 * MS,
        gossip_time: 500 * MS,
        single_peer_gossip_time: 1_000 * MS,
        confirmation_timeout: 500 * MS,
        confirmation_delay: 300 * MS,
        rejection_time: 200 * MS,
        copy_time: 500 * MS,
        key_ownership: false,
    };
    let found =
        check(&history(&all), &Expectations { sites: Some(sites), budgets: Vec::new(), ..expectations() });
    let rules: std::collections::BTreeSet<_> = found.iter().map(|v| v.rule).collect();
    assert_eq!(rules, expected_rules.iter().copied().collect(), "{found:?}");
}

fn placed(key: u64, node: u32, server: u32, outcome: &str) -> (i64, Event) {
    let (entry, key) = (format!("a:{server}"), format!("key-{key}"));
    (9_500, Event::Placed { node, entry, key, server, outcome: outcome.into(), holders: vec![0] })
}

/// Returns the final digests of all nodes, where node 3 reports `digest_of_node_3`, and those of their disks.
fn final_digests(digest_of_node_3: &str, merged: &str) -> Vec<(i64, Event)> {
    let digest = |node: u32| if node == 3 { digest_of_node_3.to_string() } else { "one".to_string() };
    let reported_digest =
        |node| (9_100, Event::PlacementDigest { node, digest: digest(node), entries: 2, violations: 0 });
    let mut all: Vec<_> = (0..6).map(reported_digest).collect();
    all.extend(
        (0..6).map(|node| {
            (9_400, Event::DiskDigest { node, digest: Some("one".into()), error: String::new() })
        }),
    );
    all.push((9_450, Event::MergedDigest { digest: merged.into() }));
    all.extend((0..6).map(|node| (9_001, reported(node, &format!("home s{}/n{node}", node / 2), "held"))));
    all
}

fn datagram_changed(at: i64, change: &str) -> (i64, Event) {
    (at, Event::DatagramChanged { from: 0, to: 4, change: change.into() })
}

fn process_started(at: i64) -> Vec<(i64, Event)> {
    vec![(at, Event::ProcessStarted { node: 4 }), (at + 1, Event::Ready { node: 4 })]
}

#[rstest]
#[case::no_violation(&[], [runs(10, 1, 0, None, Repeat::Never), final_digests("one", "one"), vec![placed(1, 0, 0, "served")]].concat())]
#[case::nodes_report_different_digests(&["histories-differ"], final_digests("other", "one"))]
#[case::node_without_digest(&["histories-differ"], final_digests("one", "one").into_iter().filter(|(_, w)| !matches!(w, Event::PlacementDigest { node: 2, .. })).collect())]
#[case::disks_hold_other_placements(&["histories-differ"], final_digests("one", "less"))]
#[case::unreadable_disk(&["disk"], [final_digests("one", "one"), vec![(9_400, Event::DiskDigest { node: 1, digest: None, error: "damaged".into() })]].concat())]
#[case::start_unrecorded(&["start-unrecorded"], [runs(10, 1, 0, None, Repeat::Never), final_digests("one", "one")].concat())]
#[case::start_recorded_as_never_ran(&["start-unrecorded"], [
    runs(10, 1, 0, None, Repeat::Never), final_digests("one", "one"), vec![placed(1, 0, 0, "never-ran")],
].concat())]
#[case::recorded_at_another_server(&["recorded-without-start", "start-unrecorded"], [
    runs(10, 1, 0, None, Repeat::Never), final_digests("one", "one"), vec![placed(1, 0, 3, "served")],
].concat())]
#[case::recorded_twice(&["recorded-without-start"], [
    runs(10, 1, 0, None, Repeat::Never), final_digests("one", "one"), vec![placed(1, 0, 0, "served"), placed(1, 0, 0, "served")],
].concat())]
#[case::placed_and_never_started(&[], [final_digests("one", "one"), vec![placed(1, 0, 0, "unknown")]].concat())]
#[case::idempotent_job_without_placement(&[], [served(10, 1, 0), final_digests("one", "one")].concat())]
#[case::lost_with_its_disk(&[], [
    runs(1_990, 1, 4, None, Repeat::Never), restarted(2_000, "lost"), final_digests("one", "one"),
].concat())]
#[case::copied_before_the_disk_was_lost(&["start-unrecorded"], [
    runs(1_000, 1, 4, None, Repeat::Never), restarted(2_000, "lost"), final_digests("one", "one"),
].concat())]
#[case::start_unrecorded_on_a_kept_disk(&["start-unrecorded"], [
    runs(1_990, 1, 4, None, Repeat::Never), restarted(2_000, "kept"), final_digests("one", "one"),
].concat())]
#[case::ran_twice_at_two_key_owners(&["key-ran-twice"], [
    runs(1_000, 1, 4, None, Repeat::Never), restarted(2_000, "lost"), runs(2_500, 2, 0, Some(1), Repeat::Never),
    final_digests("one", "one"), vec![placed(1, 4, 0, "unknown"), placed(1, 0, 0, "served")],
].concat())]
#[case::ran_twice_after_unrecorded_loss(&[], [
    runs(1_990, 1, 4, None, Repeat::Never), restarted(2_000, "lost"), runs(2_500, 2, 0, Some(1), Repeat::Never),
    final_digests("one", "one"), vec![placed(1, 0, 0, "served")],
].concat())]
#[case::key_range_not_held(&["not-whole"], final_digests("one", "one").into_iter().filter(|(_, w)| !matches!(w, Event::ReportedState { node: 5, subject, .. } if subject.starts_with("home"))).collect())]
#[case::rejected_by_key_ownership(&[], [final_digests("one", "one"), rejected_because("home s1/n2", Repeat::Never)].concat())]
#[case::changed_byte_without_log(&["unnoticed"], [process_started(10), final_digests("one", "one"), vec![datagram_changed(4_000, "byte")]].concat())]
#[case::changed_byte_logged(&[], [
    process_started(10), final_digests("one", "one"), vec![datagram_changed(4_000, "byte"), (4_050, Event::MessageDropped { node: 4 })],
].concat())]
#[case::logged_by_the_previous_process(&["unnoticed"], [
    process_started(10), vec![(50, Event::MessageDropped { node: 4 })], process_started(100), final_digests("one", "one"), vec![datagram_changed(4_000, "cut")],
].concat())]
#[case::receiver_starved(&[], [
    process_started(10), final_digests("one", "one"), vec![datagram_changed(4_000, "cut"), (4_100, Event::Starved { node: 4, from: 4_050 * MS })],
].concat())]
#[case::duplicated(&[], [process_started(10), final_digests("one", "one"), vec![datagram_changed(4_000, "twice")]].concat())]
fn placements_and_key_ownership_are_checked(
    #[case] expected_rules: &[&str],
    #[case] mut all: Vec<(i64, Event)>,
) {
    all.extend(settled("good"));
    all.sort_by_key(|(at, _)| *at);
    let sites = SiteExpectations {
        sites: 3,
        nodes_per_site: 2,
        account: "acme".into(),
        credit: 600,
        apply_time: 100 * MS,
        gossip_time: 500 * MS,
        single_peer_gossip_time: 1_000 * MS,
        confirmation_timeout: 500 * MS,
        confirmation_delay: 300 * MS,
        rejection_time: 200 * MS,
        copy_time: 500 * MS,
        key_ownership: true,
    };
    let found =
        check(&history(&all), &Expectations { sites: Some(sites), budgets: Vec::new(), ..expectations() });
    let rules: std::collections::BTreeSet<_> = found.iter().map(|v| v.rule).collect();
    assert_eq!(rules, expected_rules.iter().copied().collect(), "{found:?}");
}

/// Starvation excuses a missing answer of the starved node, and no other violation.
#[rstest]
#[case::starved(&[], 0, 1)]
#[case::another_node_starved(&["unanswered"], 1, 1)]
#[case::ran_twice(&["ran-twice"], 0, 2)]
fn starvation_excuses_only_missing_answers(
    #[case] expected_rules: &[&str],
    #[case] node: u32,
    #[case] starts: u64,
) {
    let mut all = vec![(0, requested(1, Repeat::Never)), (500, Event::Starved { node, from: 0 })];
    all.extend((0..starts).map(|k| (10, Event::JobStarted { id: 1, server: k as u32 })));
    all.push((3_000, Event::Unanswered { id: 1 }));
    let found = check(&history(&all), &expectations());
    assert_eq!(found.iter().map(|v| v.rule).collect::<Vec<_>>(), expected_rules, "{found:?}");
}

/// Guards against a cap on the number of violations that excused ones use up.
#[test]
fn many_excused_late_answers_do_not_hide_another_violation() {
    let mut all = vec![(0, requested(1, Repeat::Never)), (0, Event::Disrupted { node: 0 })];
    all.extend((2..60).map(|id| (1, requested(id, Repeat::Safe))));
    all.extend((2..60).map(|id| (2_000, answered(id, 200))));
    all.extend([
        (3_000, Event::JobStarted { id: 1, server: 0 }),
        (3_001, Event::JobStarted { id: 1, server: 1 }),
    ]);
    let found = check(&history(&all), &expectations());
    assert_eq!(found.iter().map(|v| v.rule).collect::<Vec<_>>(), ["ran-twice"], "{found:?}");
}

/// Requests before the settle time is over, and too few requests, are not checked for recovery.
#[rstest]
#[case::not_served(503, 1_001, 20, true)]
#[case::served(200, 1_001, 20, false)]
#[case::too_early(503, 900, 20, false)]
#[case::too_few(503, 1_001, 9, false)]
fn requests_after_the_settle_time_must_be_served(
    #[case] status: u16,
    #[case] from: i64,
    #[case] count: u64,
    #[case] violated: bool,
) {
    let mut all = vec![(0, script_event())];
    for id in 0..count {
        all.extend([(from, requested(id, Repeat::Safe)), (from + 1, answered(id, status))]);
    }
    let found = check(&history(&all), &expectations());
    assert_eq!(found.iter().any(|v| v.rule == "recovery"), violated, "{found:?}");
}

proptest! {
    /// Shrinking keeps exactly the elements that the failure needs.
    #[test]
    fn shrinking_keeps_only_needed_elements(needed in proptest::collection::btree_set(0u32..60, 1..5)) {
        let full: Vec<u32> = (0..60).collect();
        let fails = |l: &[u32]| needed.iter().all(|n| l.contains(n));
        let short = shrink(&full, 2_000, fails);
        prop_assert_eq!(short, needed.iter().copied().collect::<Vec<_>>());
        // With no trials the full list is returned; with a few the result still fails.
        prop_assert_eq!(shrink(&full, 0, fails), full.clone());
        prop_assert!(fails(&shrink(&full, 7, fails)));
    }

    /// A script drawn from a seed is the same after it was formatted and parsed.
    #[test]
    fn drawn_scripts_round_trip_through_text(seed in 0u64..1_000_000, nodes in 1u32..9, servers in 1u32..9) {
        let drawn = Script::random(seed, 8_000_000, nodes, servers);
        prop_assert_eq!(&drawn, &Script::random(seed, 8_000_000, nodes, servers));
        prop_assert!(!drawn.events.is_empty());
        prop_assert_eq!(read("drawn", &drawn.to_string()).unwrap(), drawn);
        let rolling = Script::random_with_quota_servers(seed, 8_000_000, nodes, servers, 3).with_upgrades();
        prop_assert_eq!(read("drawn", &rolling.to_string()).unwrap(), rolling);
        let (sites, nodes, servers) = (2 + nodes % 3, 1 + nodes % 4, servers.min(5));
        let drawn = Script::random_sites(seed, 30_000_000, sites, nodes, servers);
        prop_assert_eq!(read("drawn", &drawn.to_string()).unwrap(), drawn);
        let drawn = Script::random_sites_with_quota_servers(seed, 30_000_000, sites, nodes, servers, 3).with_changed_datagrams(9);
        prop_assert_eq!(read("drawn", &drawn.to_string()).unwrap(), drawn);
    }
}

#[rstest]
#[case::unknown_action("(script\n (at 1 s (explode (node 0))))", "2:")]
#[case::unknown_node("(script (nodes 2)\n (at 1 s\n  (kill (node 2))))", "3:")]
#[case::site_action_without_sites("(script (at 1 s (halt-site)))", "needs (sites N)")]
#[case::change_from_a_node_to_itself(
    "(script (sites 2) (nodes 2) (servers 2)\n (at 1 s (change (from 1) (to 1))))",
    "sends no datagrams to itself"
)]
#[case::uneven_sites("(script (sites 3) (nodes 4) (servers 3))", "as many nodes and servers")]
#[case::single_site("(script (sites 1) (nodes 4) (servers 3))", "at least two sites are needed")]
#[case::unknown_status("(script (sites 2) (nodes 2)\n (at 1 s (account (standing shut))))", "2:")]
#[case::no_action("(script (at 1 s))", "the entry has no known action")]
#[case::missing_unit("(script (length 5))", "unit")]
fn an_invalid_script_is_rejected_with_the_place_and_cause(#[case] text: &str, #[case] expected: &str) {
    let errors = read("s.sexp", text).unwrap_err().to_string();
    assert!(errors.contains(expected), "{errors}");
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

/// Returns a new relay without a greeting, and both ends of a connection through it.
async fn relayed_connection() -> (shorepath_rig::relay::Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = tcp(listener.local_addr().unwrap(), 7, None).await.unwrap();
    let near = TcpStream::connect(link.address).await.unwrap();
    let (far, _) = listener.accept().await.unwrap();
    (link, near, far)
}

async fn expect_bytes(stream: &mut TcpStream, text: &[u8]) {
    let mut received = vec![0; text.len()];
    timeout(Duration::from_secs(5), stream.read_exact(&mut received))
        .await
        .expect("no data arrived in time")
        .unwrap();
    assert_eq!(received, text);
}

async fn expect_silence(stream: &mut TcpStream) {
    assert!(timeout(Duration::from_millis(80), stream.read(&mut [0; 8])).await.is_err());
}

/// A cut of one direction delays its data until the cut ends, and leaves the other direction alone.
#[test]
fn a_cut_holds_back_one_direction_without_loss() {
    run_local(async {
        let (link, mut near, mut far) = relayed_connection().await;
        link.change(|s| s.forward.cut = true);
        near.write_all(b"request").await.unwrap();
        far.write_all(b"answer").await.unwrap();
        expect_bytes(&mut near, b"answer").await;
        expect_silence(&mut far).await;
        link.change(|s| s.forward.cut = false);
        expect_bytes(&mut far, b"request").await;
    });
}

#[test]
fn a_link_applies_delay_bandwidth_limit_reset_and_refusal() {
    run_local(async {
        let (link, mut near, mut far) = relayed_connection().await;
        link.change(|s| {
            s.forward = LinkFaults { delay: Duration::from_millis(120), ..LinkFaults::default() }
        });
        let start = Instant::now();
        near.write_all(b"x").await.unwrap();
        expect_bytes(&mut far, b"x").await;
        assert!(start.elapsed() >= Duration::from_millis(120));
        link.change(|s| s.forward = LinkFaults { bytes_per_second: 100_000, ..LinkFaults::default() });
        let start = Instant::now();
        near.write_all(&[7; 16_384]).await.unwrap();
        expect_bytes(&mut far, &[7; 16_384]).await;
        near.write_all(b"y").await.unwrap();
        expect_bytes(&mut far, b"y").await;
        assert!(start.elapsed() >= Duration::from_millis(100), "{:?}", start.elapsed());
        link.reset();
        let ended = timeout(Duration::from_secs(5), near.read(&mut [0; 8])).await.unwrap();
        assert!(ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
        link.change(|s| s.refuse_connections = true);
        let connection_refused = match TcpStream::connect(link.address).await {
            Ok(mut s) => timeout(Duration::from_secs(5), s.read(&mut [0; 8])).await.unwrap().is_err(),
            Err(_) => true,
        };
        assert!(connection_refused);
    });
}

/// Only the chosen datagram is changed, and the change is reported once.
#[rstest]
#[case::drop(DatagramChange::Drop, &["a", "c"])]
#[case::twice(DatagramChange::Duplicate, &["a", "b", "b", "c"])]
#[case::late(DatagramChange::Delay, &["a", "c", "b"])]
#[case::swap(DatagramChange::Swap, &["a", "c", "b"])]
#[case::again(DatagramChange::Replay, &["a", "b", "c", "b"])]
#[case::cut(DatagramChange::Truncate, &["a", "", "c"])]
#[case::byte(DatagramChange::CorruptByte, &["a", "c", "c"])]
fn only_the_chosen_datagram_is_changed(#[case] how: DatagramChange, #[case] expected: &[&str]) {
    run_local(async {
        let far = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let link = udp(far.local_addr().unwrap(), 3).await.unwrap();
        let near = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let changes = std::rc::Rc::new(std::cell::Cell::new(0));
        let counter = changes.clone();
        // Draw 0 changes the lowest bit of the first byte, so that 'b' becomes 'c'.
        link.change_datagram(2, how, 0, move || counter.set(counter.get() + 1));
        let mut received = Vec::new();
        let mut receive = async |wait: u64| {
            let mut buffer = [0; 8];
            while let Ok(Ok((n, _))) = timeout(Duration::from_millis(wait), far.recv_from(&mut buffer)).await
            {
                received.push(String::from_utf8_lossy(&buffer[..n]).into_owned());
            }
        };
        for text in ["a", "b", "c"] {
            near.send_to(text.as_bytes(), link.address).await.unwrap();
            receive(60).await;
        }
        link.reset();
        receive(2_500).await;
        assert_eq!(received, expected);
        assert_eq!(changes.get(), 1);
    });
}

/// Loss, duplication and reordering occur about as often as configured, and replies still pass a link that is cut one way.
#[test]
fn datagrams_are_lost_duplicated_and_reordered_as_configured() {
    run_local(async {
        let far = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let link = udp(far.local_addr().unwrap(), 3).await.unwrap();
        let near = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        near.connect(link.address).await.unwrap();
        link.change(|s| {
            s.forward = LinkFaults {
                loss: 0.3,
                duplication: 0.2,
                reordering: 0.2,
                max_extra_delay: Duration::from_millis(30),
                ..LinkFaults::default()
            }
        });
        let (mut received, mut from) = (Vec::new(), None);
        for n in 0..400u32 {
            near.send(&n.to_be_bytes()).await.unwrap();
            let mut buffer = [0; 4];
            while let Ok(Ok((_, by))) = timeout(Duration::from_millis(1), far.recv_from(&mut buffer)).await {
                received.push(u32::from_be_bytes(buffer));
                from = Some(by);
            }
        }
        let mut distinct = received.clone();
        distinct.sort_unstable();
        distinct.dedup();
        let duplicated = received.len() - distinct.len();
        let reordered = received.windows(2).filter(|w| w[0] > w[1]).count();
        assert!((220..=340).contains(&distinct.len()), "{} arrived", distinct.len());
        assert!(
            (25..=110).contains(&duplicated) && reordered > 10,
            "{duplicated} duplicated, {reordered} reordered"
        );
        link.change(|s| s.forward = LinkFaults { cut: true, ..LinkFaults::default() });
        near.send(b"gone").await.unwrap();
        far.send_to(b"back", from.unwrap()).await.unwrap();
        let mut buffer = [0; 8];
        let n = timeout(Duration::from_secs(5), near.recv(&mut buffer)).await.unwrap().unwrap();
        assert_eq!(&buffer[..n], b"back");
    });
}
