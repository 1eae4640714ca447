//! Who is behind, what follows and when; never more shut out than may be.

use proptest::prelude::*;
use shorepath_audit::version::{ContentHash, Item, VersionVector};
use shorepath_audit::version_lag::{Admits, LagEvent, LagReason, Rules, State, VersionMonitor};
use shorepath_audit::Micros;

const S: Micros = 1_000_000;

fn at(number: u64) -> VersionVector {
    let mut vector = VersionVector::default();
    vector.apply(Item::Sites, ContentHash::of(&number.to_be_bytes()), Some(number)).unwrap();
    vector
}

/// A fleet of so many that all stand at version 1, as is required, from 100 s on.
fn fleet(nodes: u32) -> VersionMonitor {
    let mut monitor = VersionMonitor::new(Rules::default());
    monitor.set_fleet(&(0..nodes).collect::<Vec<_>>(), 0);
    monitor.require(at(1));
    let mut now = 0;
    while now <= 100 * S {
        (0..nodes).for_each(|n| monitor.report(n, &at(1), now));
        now += S;
    }
    assert!((0..nodes).all(|n| monitor.state(n) == Some(State::Current)));
    monitor.take_events();
    monitor
}

/// Play seconds `from..to`: `word` says what each node reports then, if it is heard.
fn play(
    monitor: &mut VersionMonitor,
    nodes: u32,
    from: i64,
    to: i64,
    message: impl Fn(u32, i64) -> Option<VersionVector>,
) -> Vec<(i64, LagEvent)> {
    let mut events = Vec::new();
    for second in from..to {
        for node in 0..nodes {
            if monitor.state(node) == Some(State::Behind) {
                monitor.record_push(node, second * S);
            }
            if let Some(vector) = message(node, second) {
                monitor.report(node, &vector, second * S);
            }
        }
        monitor.advance(second * S);
        events.extend(monitor.take_events().into_iter().map(|s| (second, s)));
    }
    events
}

fn moves(events: &[(i64, LagEvent)], of: u32) -> Vec<(i64, State)> {
    let to = |(second, events): &(i64, LagEvent)| match events {
        LagEvent::StateChanged { node, to, .. } if *node == of => Some((*second, *to)),
        _ => None,
    };
    events.iter().filter_map(to).collect()
}

#[test]
fn a_straggler_is_brought_up_confined_shut_out_and_readmitted_each_at_its_time() {
    let mut monitor = fleet(20);
    monitor.require(at(2));
    let events = play(&mut monitor, 20, 101, 160, |node, second| match node {
        3 if second < 140 => Some(at(1)),
        _ => Some(at(2)),
    });
    let expected = [
        (106, State::Behind),
        (106, State::CatchingUp),
        (116, State::Confined),
        (126, State::ShutOut),
        (140, State::Probation),
        (150, State::Current),
    ];
    assert_eq!(moves(&events, 3), expected);
    assert_eq!(events.len(), expected.len(), "nobody else moved: {events:?}");
}

#[test]
fn a_change_that_too_many_do_not_take_is_stopped_and_shuts_nobody_else_out() {
    let mut monitor = fleet(20);
    monitor.require(at(2));
    // Half of the fleet rejects the file.
    let events = play(&mut monitor, 20, 101, 140, |node, _| Some(at(if node < 10 { 1 } else { 2 })));
    let out = (0..20).filter(|n| monitor.state(*n) == Some(State::ShutOut)).count();
    let stopped: Vec<_> =
        events.iter().filter(|(_, s)| matches!(s, LagEvent::RolloutStopped { .. })).collect();
    assert_eq!(stopped.len(), 1, "{events:?}");
    assert_eq!(stopped[0].0, 126);
    // What was required before counts as well, so all of them are back, those that were shut out, too.
    assert_eq!(out, 0, "{events:?}");
    let events = play(&mut monitor, 20, 140, 160, |node, _| Some(at(if node < 10 { 1 } else { 2 })));
    assert!((0..20).all(|n| monitor.state(n) == Some(State::Current)), "{events:?}");
    // Called back: the old content under a greater number. Whoever lags then is judged again.
    monitor.require(at(3));
    assert!(!monitor.is_stopped());
    play(&mut monitor, 20, 160, 190, |node, _| Some(at(if node == 0 { 2 } else { 3 })));
    assert_eq!(monitor.state(0), Some(State::ShutOut));
    assert_eq!(monitor.admits(0), Admits::Nothing);
}

#[test]
fn a_node_that_reports_a_change_and_does_not_act_on_it_is_behind() {
    let mut monitor = fleet(10);
    monitor.require(at(2));
    let mut events = Vec::new();
    for second in 101..130 {
        (0..10).for_each(|n| monitor.report(n, &at(2), second * S));
        monitor.record_observed(4, &at(1), second * S);
        events.extend(monitor.take_events().into_iter().map(|s| (second, s)));
    }
    assert_eq!(monitor.state(4), Some(State::ShutOut));
    assert!(events.iter().any(|(_, s)| matches!(
        s,
        LagEvent::StateChanged { reason: LagReason::Contradicts(Item::Sites), .. }
    )));
    monitor.record_observed(4, &at(2), 130 * S);
    assert_eq!(monitor.state(4), Some(State::Probation));
}

#[test]
fn one_that_falls_behind_again_too_soon_is_confined_at_once() {
    let mut monitor = fleet(10);
    monitor.require(at(2));
    play(&mut monitor, 10, 101, 130, |node, second| Some(at(if node == 1 && second < 128 { 1 } else { 2 })));
    assert_eq!(monitor.state(1), Some(State::Probation));
    let events = play(&mut monitor, 10, 130, 131, |node, _| Some(at(if node == 1 { 1 } else { 2 })));
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
fn one_that_is_not_heard_is_unreached_which_stops_no_change_and_it_comes_back_by_way_of_being_brought_up() {
    let mut monitor = fleet(10);
    // Both halves of a partition: nobody of the other half is heard, and the change goes on.
    monitor.require(at(2));
    let events = play(&mut monitor, 10, 101, 160, |node, _| (node < 5).then(|| at(2)));
    assert!(!monitor.is_stopped());
    assert!((5..10).all(|n| monitor.state(n) == Some(State::Unreachable)), "{events:?}");
    assert_eq!(monitor.admits(7), Admits::Repeatable);
    let events = play(&mut monitor, 10, 160, 175, |node, second| {
        Some(at(if node >= 5 && second < 163 { 1 } else { 2 }))
    });
    let expected = [(160, State::Confined), (163, State::Probation), (173, State::Current)];
    assert_eq!(moves(&events, 7), expected);
}

#[test]
fn two_contents_of_one_number_are_told_once_and_confine_nobody() {
    let mut monitor = fleet(10);
    monitor.require(at(2));
    let mut other = VersionVector::default();
    other.apply(Item::Sites, ContentHash::of(b"another"), Some(2)).unwrap();
    let events =
        play(&mut monitor, 10, 101, 150, |node, _| Some(if node == 6 { other.clone() } else { at(2) }));
    assert_eq!(events, [(101, LagEvent::Conflict { node: 6, item: Item::Sites })]);
}

proptest! {
    /// Whatever is reported, required and kept silent about: never more shut out than may be, nobody out for a version that was
    /// stopped, and what is due is never in the past once a pass is done.
    #[test]
    fn never_more_are_shut_out_than_may_be(
        nodes in 1_u32..30,
        share in 0_u32..60,
        steps in prop::collection::vec((0_u32..30, 0_u64..5, 0_i64..4_000_000, 0_u8..20), 1..300),
    ) {
        let mut monitor = VersionMonitor::new(Rules { max_shut_out_percent: share, ..Rules::default() });
        monitor.set_fleet(&(0..nodes).collect::<Vec<_>>(), 0);
        let (mut now, mut newest) = (0, VersionVector::default());
        for (node, number, wait, what) in steps {
            now += wait;
            match what {
                0 => if newest.apply(Item::Sites, ContentHash::of(&number.to_be_bytes()), Some(number)).is_ok() {
                    monitor.require(newest.clone());
                },
                1 => monitor.record_observed(node, &at(number), now),
                2 => monitor.advance(now),
                3 => monitor.record_push(node, now),
                _ => monitor.report(node, &at(number), now),
            }
            monitor.advance(now);
            let out = (0..nodes).filter(|n| monitor.state(*n) == Some(State::ShutOut)).count();
            prop_assert!(out <= monitor.max_shut_out(), "{out} of {}", monitor.max_shut_out());
            prop_assert!(monitor.due().is_none_or(|due| due > now), "due {:?} at {now}", monitor.due());
            let events = monitor.take_events();
            monitor.advance(now);
            prop_assert!(monitor.take_events().is_empty(), "a second pass says more than {events:?}");
        }
    }
}
