//! Tests what a node buffers until peers have reported what they hold of its log, and what becomes of the
//! log.

mod common;

use common::*;
use rstest::rstest;
use shorepath_placements::anti_entropy::{Exchange, Message, Settings};
use shorepath_placements::hash_chain::Point;
use shorepath_placements::history::History;
use shorepath_placements::log_recovery::{LogOutcome, LogRecovery, PlacementRef, MAX_BUFFERED_PLACEMENTS};
use shorepath_placements::{End, Entry, Timed};

const WAIT: i64 = 3_000_000;

/// Returns a history with `length` entries of one log. From entry `own` on they belong to another branch if
/// `salt` isn't 1.
fn log(own: usize, length: usize, salt: u64) -> History {
    let mut history = History::new();
    let branch: Vec<Timed> = entries(length as u64, 1)[..own.min(length)]
        .iter()
        .cloned()
        .chain(entries(length as u64, salt).into_iter().skip(own))
        .collect();
    pieces(&writer("north", 1), &branch, 9).iter().for_each(|p| assert!(history.insert(p).is_ok()));
    history
}

/// Returns the exchanges of a node with that history after one summary of each peer; a peer that is `None`
/// has not answered.
fn exchanges_after_summaries(history: &mut History, peers: &[Option<History>]) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    for (incarnation, peer) in (2..).zip(peers) {
        let mut local = Exchange::new(Settings::default(), 1, 0);
        if let Some(peer) = peer {
            let mut remote = Exchange::new(Settings::default(), incarnation, 0);
            remote.poll(peer, 0, 0);
            for message in remote.take_outgoing().into_iter().filter(|w| matches!(w, Message::Have { .. })) {
                local.receive(history, message, 0).unwrap();
            }
        }
        exchanges.push(local);
    }
    exchanges
}

#[rstest]
#[case::peers_hold_part_or_all(40, 1, &[Some((40, 1)), Some((20, 1))], 0, Some(LogOutcome::Continues(true)))]
#[case::one_peer_has_not_answered(40, 1, &[Some((40, 1)), None], WAIT - 1, None)]
#[case::one_peer_timed_out(40, 1, &[Some((40, 1)), None], WAIT, Some(LogOutcome::Continues(true)))]
#[case::no_peer_has_answered(40, 1, &[None, None], WAIT - 1, None)]
#[case::all_peers_timed_out(40, 1, &[None, None], WAIT, Some(LogOutcome::Continues(false)))]
#[case::restored_disk(40, 1, &[Some((60, 1)), None], WAIT, Some(LogOutcome::Replaced(60)))]
#[case::restored_disk_shown_by_last_peer(40, 1, &[Some((20, 1)), Some((60, 1))], 0, Some(LogOutcome::Replaced(60)))]
#[case::forked_and_shorter_than_peer(60, 2, &[Some((80, 1))], 0, Some(LogOutcome::Replaced(80)))]
#[case::forked_and_longer_than_peer(60, 2, &[Some((50, 1))], 0, Some(LogOutcome::Replaced(60)))]
fn log_is_continued_or_replaced(
    #[case] own: usize,
    #[case] salt: u64,
    #[case] peer_logs: &[Option<(usize, u64)>],
    #[case] now: i64,
    #[case] expected: Option<LogOutcome>,
) {
    // The log on the disk differs from the common branch after entry 40.
    let mut history = log(40, own, salt);
    let peers: Vec<_> = peer_logs.iter().map(|o| o.map(|(length, salt)| log(40, length, salt))).collect();
    let exchanges = exchanges_after_summaries(&mut history, &peers);
    let w = writer("north", 1);
    let point: Point = history.latest_points()[&w];
    let mut log_recovery = LogRecovery::new(0, WAIT, []);
    assert_eq!(log_recovery.decide(exchanges.iter(), &history, &w, point, now), expected);
    assert_eq!(log_recovery.is_buffering(), expected.is_none());
    assert_eq!(log_recovery.peers_answered(), !matches!(expected, None | Some(LogOutcome::Continues(false))));
    // A second call returns nothing unless no peer had answered before.
    assert_eq!(log_recovery.decide(exchanges.iter(), &history, &w, point, now), None);
    if expected == Some(LogOutcome::Continues(false)) {
        let exchanges = exchanges_after_summaries(&mut history, &[Some(log(40, 60, 1)), None]);
        assert_eq!(
            log_recovery.decide(exchanges.iter(), &history, &w, point, now),
            Some(LogOutcome::Replaced(60))
        );
    }
}

/// Guards against losing, repeating or reordering buffered entries.
#[rstest]
#[case(LogOutcome::Continues(true), 100)]
#[case(LogOutcome::Continues(false), 100)]
#[case(LogOutcome::Replaced(60), 0)]
fn buffered_entries_are_written_once(#[case] outcome: LogOutcome, #[case] before: u64) {
    let mut log_recovery = LogRecovery::new(0, WAIT, [90, 95]);
    let placement_refs: Vec<PlacementRef> = (0..5)
        .map(|k| log_recovery.buffer_placement(placed(k, placement(k as u64, false))).unwrap())
        .collect();
    let PlacementRef::Buffered(third_ticket) = placement_refs[2] else { panic!("{placement_refs:?}") };
    log_recovery.buffer_end(third_ticket, 9, End::Served);
    let mut written: Vec<Timed> = Vec::new();
    let numbers = log_recovery.write_buffered(outcome, |timed| {
        written.push(timed);
        Some(before + written.len() as u64)
    });
    let open = if before > 0 { vec![90, 95] } else { vec![] };
    let mut expected: Vec<Timed> = open.iter().map(|of| ended(0, *of, End::Unknown)).collect();
    expected.extend((0..5).map(|k| placed(k, placement(k as u64, false))));
    let first = before + open.len() as u64 + 1;
    expected.push(ended(9, first + 2, End::Served));
    assert_eq!(written, expected);
    let out: Vec<_> = numbers.into_values().collect();
    assert_eq!(out, [first, first + 1, first + 3, first + 4]);
    assert!(log_recovery.write_buffered(outcome, |timed| panic!("written again: {timed:?}")).is_empty());
}

#[test]
fn buffer_is_limited_but_always_accepts_ends() {
    let mut log_recovery = LogRecovery::new(0, WAIT, []);
    let placement_refs: Vec<PlacementRef> = (0..MAX_BUFFERED_PLACEMENTS + 3)
        .filter_map(|k| log_recovery.buffer_placement(placed(0, placement(k as u64, false))))
        .collect();
    assert_eq!((placement_refs.len(), log_recovery.unrecorded()), (MAX_BUFFERED_PLACEMENTS, 3));
    for placement_ref in placement_refs {
        let PlacementRef::Buffered(ticket) = placement_ref else { panic!("{placement_ref:?}") };
        log_recovery.buffer_end(ticket, 1, End::Served);
    }
    let (mut count, mut ends) = (0, 0);
    let left = log_recovery.write_buffered(LogOutcome::Continues(true), |timed| {
        count += 1;
        ends += usize::from(matches!(timed.entry, Entry::Ended { .. }));
        Some(count)
    });
    assert_eq!((left.len(), ends, count as usize), (0, MAX_BUFFERED_PLACEMENTS, 2 * MAX_BUFFERED_PLACEMENTS));
}
