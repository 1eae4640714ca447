//! Tests of nodes that lag behind the required versions: states, time limits and the limit of nodes that are shut out.

use proptest::prelude::*;
use shorepath_audit::version::{ContentHash, Item, VersionVector};
use shorepath_audit::version_lag::{Admits, LagEvent, LagReason, Rules, State, VersionMonitor};
use shorepath_audit::Micros;

const S: Micros = 1_000_000;

/// Returns a vector with this version of the sites file.
fn sites_version(number: u64) -> VersionVector {
    let mut vector = VersionVector::default();
    vector.apply(Item::Sites, ContentHash::of(&number.to_be_bytes()), Some(number)).unwrap();
    vector
}

/// Returns a fleet in which all nodes have the required version 1 and are current at 100 s.
fn fleet(nodes: u32) -> VersionMonitor {
    let mut monitor = VersionMonitor::new(Rules::default());
    monitor.set_fleet(&(0..nodes).collect::<Vec<_>>(), 0);
    monitor.require(sites_version(1));
    let mut now = 0;
    while now <= 100 * S {
        (0..nodes).for_each(|n| monitor.report(n, &sites_version(1), now));
        now += S;
    }
    assert!((0..nodes).all(|n| monitor.state(n) == Some(State::Current)));
    monitor.take_events();
    monitor
}

/// Simulates the seconds `from..to`, in which each node sends the report that `report` returns, and returns the events.
fn simulate(
    monitor: &mut VersionMonitor,
    nodes: u32,
    from: i64,
    to: i64,
    report: impl Fn(u32, i64) -> Option<VersionVector>,
) -> Vec<(i64, LagEvent)> {
    let mut events = Vec::new();
    for second in from..to {
        for node in 0..nodes {
            if monitor.state(node) == Some(State::Behind) {
                monitor.record_push(node, second * S);
            }
            if let Some(vector) = report(node, second) {
                monitor.report(node, &vector, second * S);
            }
        }
        monitor.advance(second * S);
        events.extend(monitor.take_events().into_iter().map(|event| (second, event)));
    }
    events
}

fn states_entered(events: &[(i64, LagEvent)], of: u32) -> Vec<(i64, State)> {
    let entered = |(second, event): &(i64, LagEvent)| match event {
        LagEvent::StateChanged { node, to, .. } if *node == of => Some((*second, *to)),
        _ => None,
    };
    events.iter().filter_map(entered).collect()
}

#[test]
fn outdated_node_passes_all_states_at_their_time_limits() {
    let mut monitor = fleet(20);
    monitor.require(sites_version(2));
    let events = simulate(&mut monitor, 20, 101, 160, |node, second| match node {
        3 if second < 140 => Some(sites_version(1)),
        _ => Some(sites_version(2)),
    });
    let expected = [
        (106, State::Behind),
        (106, State::CatchingUp),
        (116, State::Confined),
        (126, State::ShutOut),
        (140, State::Probation),
        (150, State::Current),
    ];
    assert_eq!(states_entered(&events, 3), expected);
    assert_eq!(events.len(), expected.len(), "no other node changed state: {events:?}");
}

#[test]
fn change_that_too_many_nodes_reject_is_stopped() {
    let mut monitor = fleet(20);
    monitor.require(sites_version(2));
    // Half of the nodes reject the new file.
    let events =
        simulate(&mut monitor, 20, 101, 140, |node, _| Some(sites_version(if node < 10 { 1 } else { 2 })));
    let out = (0..20).filter(|n| monitor.state(*n) == Some(State::ShutOut)).count();
    let stopped: Vec<_> =
        events.iter().filter(|(_, s)| matches!(s, LagEvent::RolloutStopped { .. })).collect();
    assert_eq!(stopped.len(), 1, "{events:?}");
    assert_eq!(stopped[0].0, 126);
    // The previous version is accepted again, which readmits the nodes that were shut out.
    assert_eq!(out, 0, "{events:?}");
    let events =
        simulate(&mut monitor, 20, 140, 160, |node, _| Some(sites_version(if node < 10 { 1 } else { 2 })));
    assert!((0..20).all(|n| monitor.state(n) == Some(State::Current)), "{events:?}");
    // After a withdrawal under a greater number, nodes that lag are restricted again.
    monitor.require(sites_version(3));
    assert!(!monitor.is_stopped());
    simulate(&mut monitor, 20, 160, 190, |node, _| Some(sites_version(if node == 0 { 2 } else { 3 })));
    assert_eq!(monitor.state(0), Some(State::ShutOut));
    assert_eq!(monitor.admits(0), Admits::Nothing);
}

#[test]
fn node_that_acts_on_an_older_version_than_it_reports_is_shut_out() {
    let mut monitor = fleet(10);
    monitor.require(sites_version(2));
    let mut events = Vec::new();
    for second in 101..130 {
        (0..10).for_each(|n| monitor.report(n, &sites_version(2), second * S));
        monitor.record_observed(4, &sites_version(1), second * S);
        events.extend(monitor.take_events().into_iter().map(|event| (second, event)));
    }
    assert_eq!(monitor.state(4), Some(State::ShutOut));
    assert!(events.iter().any(|(_, s)| matches!(
        s,
        LagEvent::StateChanged { reason: LagReason::Contradicts(Item::Sites), .. }
    )));
    monitor.record_observed(4, &sites_version(2), 130 * S);
    assert_eq!(monitor.state(4), Some(State::Probation));
}

#[test]
fn node_that_falls_behind_during_probation_is_confined_at_once() {
    let mut monitor = fleet(10);
    monitor.require(sites_version(2));
    simulate(&mut monitor, 10, 101, 130, |node, second| {
        Some(sites_version(if node == 1 && second < 128 { 1 } else { 2 }))
    });
    assert_eq!(monitor.state(1), Some(State::Probation));
    let events =
        simulate(&mut monitor, 10, 130, 131, |node, _| Some(sites_version(if node == 1 { 1 } else { 2 })));
    assert_eq!(
        events,
        [(
            130,
            LagEvent::StateChanged {
                node: 1,
                from: State::Probation,
                to: State::Confined,
                reason: LagReason::Flapping(Item::Sites)
            }
        )]
    );
}

#[test]
fn unreachable_nodes_stop_no_change_and_catch_up_after_their_return() {
    let mut monitor = fleet(10);
    // A partition: half of the nodes send no reports, and the change continues.
    monitor.require(sites_version(2));
    let events = simulate(&mut monitor, 10, 101, 160, |node, _| (node < 5).then(|| sites_version(2)));
    assert!(!monitor.is_stopped());
    assert!((5..10).all(|n| monitor.state(n) == Some(State::Unreachable)), "{events:?}");
    assert_eq!(monitor.admits(7), Admits::Repeatable);
    let events = simulate(&mut monitor, 10, 160, 175, |node, second| {
        Some(sites_version(if node >= 5 && second < 163 { 1 } else { 2 }))
    });
    let expected = [(160, State::Confined), (163, State::Probation), (173, State::Current)];
    assert_eq!(states_entered(&events, 7), expected);
}

#[test]
fn conflicting_content_is_reported_once_and_confines_no_node() {
    let mut monitor = fleet(10);
    monitor.require(sites_version(2));
    let mut other = VersionVector::default();
    other.apply(Item::Sites, ContentHash::of(b"another"), Some(2)).unwrap();
    let events = simulate(&mut monitor, 10, 101, 150, |node, _| {
        Some(if node == 6 { other.clone() } else { sites_version(2) })
    });
    assert_eq!(events, [(101, LagEvent::Conflict { node: 6, item: Item::Sites })]);
}

proptest! {
    /// For any inputs, the limit of nodes that are shut out holds, `due` is in the future, and a second `advance` adds no event.
    #[test]
    fn shut_out_limit_holds_for_any_inputs(
        nodes in 1_u32..30,
        share in 0_u32..60,
        steps in prop::collection::vec((0_u32..30, 0_u64..5, 0_i64..4_000_000, 0_u8..20), 1..300),
    ) {
        let mut monitor = VersionMonitor::new(Rules { max_shut_out_percent: share, ..Rules::default() });
        monitor.set_fleet(&(0..nodes).collect::<Vec<_>>(), 0);
        let (mut now, mut newest) = (0, VersionVector::default());
        for (node, number, wait, action) in steps {
            now += wait;
            match action {
                0 => if newest.apply(Item::Sites, ContentHash::of(&number.to_be_bytes()), Some(number)).is_ok() {
                    monitor.require(newest.clone());
                },
                1 => monitor.record_observed(node, &sites_version(number), now),
                2 => monitor.advance(now),
                3 => monitor.record_push(node, now),
                _ => monitor.report(node, &sites_version(number), now),
            }
            monitor.advance(now);
            let out = (0..nodes).filter(|n| monitor.state(*n) == Some(State::ShutOut)).count();
            prop_assert!(out <= monitor.max_shut_out(), "{out} of {}", monitor.max_shut_out());
            prop_assert!(monitor.due().is_none_or(|due| due > now), "due {:?} at {now}", monitor.due());
            let events = monitor.take_events();
            monitor.advance(now);
            prop_assert!(monitor.take_events().is_empty(), "a second advance adds to {events:?}");
        }
    }
}
