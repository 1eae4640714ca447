//! What a node holds until partners were asked, and what becomes of it.

mod common;

use common::*;
use rstest::rstest;
use shorepath_placements::anti_entropy::{Exchange, Message, Settings};
use shorepath_placements::hash_chain::Point;
use shorepath_placements::history::History;
use shorepath_placements::log_recovery::{LogOutcome, LogRecovery, PlacementRef, MAX_BUFFERED_PLACEMENTS};
use shorepath_placements::{End, Entry, Timed};

const WAIT: i64 = 3_000_000;

/// A history that holds so many entries of the log; those from `own` on are another line where `salt` is not 1.
fn log(own: usize, length: usize, salt: u64) -> History {
    let mut history = History::new();
    let line: Vec<Timed> = entries(length as u64, 1)[..own.min(length)]
        .iter()
        .cloned()
        .chain(entries(length as u64, salt).into_iter().skip(own))
        .collect();
    pieces(&writer("north", 1), &line, 9).iter().for_each(|p| assert!(history.insert(p).is_ok()));
    history
}

/// The exchanges of a node that holds that history, with partners that hold these; `None` has said nothing.
fn asked(history: &mut History, peers: &[Option<History>]) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    for (life, peer) in (2..).zip(peers) {
        let mut here = Exchange::new(Settings::default(), 1, 0);
        if let Some(peer) = peer {
            let mut there = Exchange::new(Settings::default(), life, 0);
            there.poll(peer, 0, 0);
            for message in there.take_outgoing().into_iter().filter(|w| matches!(w, Message::Have { .. })) {
                here.receive(history, message, 0).unwrap();
            }
        }
        exchanges.push(here);
    }
    exchanges
}

#[rstest]
#[case::all_know_it(40, 1, &[Some((40, 1)), Some((20, 1))], 0, Some(LogOutcome::Continues(true)))]
#[case::one_is_waited_for(40, 1, &[Some((40, 1)), None], WAIT - 1, None)]
#[case::one_was_not_heard_in_time(40, 1, &[Some((40, 1)), None], WAIT, Some(LogOutcome::Continues(true)))]
#[case::nobody_yet(40, 1, &[None, None], WAIT - 1, None)]
#[case::nobody_in_time(40, 1, &[None, None], WAIT, Some(LogOutcome::Continues(false)))]
#[case::an_older_disk(40, 1, &[Some((60, 1)), None], WAIT, Some(LogOutcome::Replaced(60)))]
#[case::an_older_disk_heard_last(40, 1, &[Some((20, 1)), Some((60, 1))], 0, Some(LogOutcome::Replaced(60)))]
#[case::written_since_by_less(60, 2, &[Some((80, 1))], 0, Some(LogOutcome::Replaced(80)))]
#[case::written_since_by_more(60, 2, &[Some((50, 1))], 0, Some(LogOutcome::Replaced(60)))]
fn the_log_goes_on_or_not(
    #[case] own: usize,
    #[case] salt: u64,
    #[case] others: &[Option<(usize, u64)>],
    #[case] now: i64,
    #[case] wanted: Option<LogOutcome>,
) {
    // The node's disk parts from the common line after entry 40.
    let mut history = log(40, own, salt);
    let peers: Vec<_> = others.iter().map(|o| o.map(|(length, salt)| log(40, length, salt))).collect();
    let exchanges = asked(&mut history, &peers);
    let w = writer("north", 1);
    let point: Point = history.latest_points()[&w];
    let mut log_recovery = LogRecovery::new(0, WAIT, []);
    assert_eq!(log_recovery.decide(exchanges.iter(), &history, &w, point, now), wanted);
    assert_eq!(log_recovery.is_buffering(), wanted.is_none());
    assert_eq!(log_recovery.peers_answered(), !matches!(wanted, None | Some(LogOutcome::Continues(false))));
    // Asked again it says no more, unless nobody was heard.
    assert_eq!(log_recovery.decide(exchanges.iter(), &history, &w, point, now), None);
    if wanted == Some(LogOutcome::Continues(false)) {
        let exchanges = asked(&mut history, &[Some(log(40, 60, 1)), None]);
        assert_eq!(
            log_recovery.decide(exchanges.iter(), &history, &w, point, now),
            Some(LogOutcome::Replaced(60))
        );
    }
}

/// All that is held is written in its order, each end with the number that its placement was given.
#[rstest]
#[case(LogOutcome::Continues(true), 100)]
#[case(LogOutcome::Continues(false), 100)]
#[case(LogOutcome::Replaced(60), 0)]
fn what_is_held_is_written_once(#[case] outcome: LogOutcome, #[case] before: u64) {
    let mut log_recovery = LogRecovery::new(0, WAIT, [90, 95]);
    let slots: Vec<PlacementRef> = (0..5)
        .map(|k| log_recovery.buffer_placement(placed(k, placement(k as u64, false))).unwrap())
        .collect();
    let PlacementRef::Buffered(third) = slots[2] else { panic!("{slots:?}") };
    log_recovery.buffer_end(third, 9, End::Served);
    let mut written: Vec<Timed> = Vec::new();
    let numbers = log_recovery.write_buffered(outcome, |timed| {
        written.push(timed);
        Some(before + written.len() as u64)
    });
    let open = if before > 0 { vec![90, 95] } else { vec![] };
    let mut wanted: Vec<Timed> = open.iter().map(|of| ended(0, *of, End::Unknown)).collect();
    wanted.extend((0..5).map(|k| placed(k, placement(k as u64, false))));
    let first = before + open.len() as u64 + 1;
    wanted.push(ended(9, first + 2, End::Served));
    assert_eq!(written, wanted);
    let out: Vec<_> = numbers.into_values().collect();
    assert_eq!(out, [first, first + 1, first + 3, first + 4]);
    assert!(log_recovery.write_buffered(outcome, |timed| panic!("once more: {timed:?}")).is_empty());
}

#[test]
fn so_many_are_held_and_no_more_and_an_end_has_always_room() {
    let mut log_recovery = LogRecovery::new(0, WAIT, []);
    let slots: Vec<PlacementRef> = (0..MAX_BUFFERED_PLACEMENTS + 3)
        .filter_map(|k| log_recovery.buffer_placement(placed(0, placement(k as u64, false))))
        .collect();
    assert_eq!((slots.len(), log_recovery.unrecorded()), (MAX_BUFFERED_PLACEMENTS, 3));
    for slot in slots {
        let PlacementRef::Buffered(ticket) = slot else { panic!("{slot:?}") };
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
