//! Tests that merging is a join whatever the order, that forks are kept and reported, and that corrupted
//! entries are rejected.

mod common;

use common::*;
use proptest::prelude::*;
use shorepath_placements::anti_entropy::Message;
use shorepath_placements::hash_chain::{self, Piece};
use shorepath_placements::history::{History, HistoryError, OwnLogState};
use shorepath_placements::{End, Timed, Writer};

/// Returns a history with parts of up to three logs, each of which may be forked; a part is a log, a branch
/// and a length.
fn history(parts: &[(u64, u64, u64)]) -> History {
    let mut history = History::new();
    for (log, branch, length) in parts {
        let writer = writer("north", *log);
        for piece in pieces(&writer, &branch_entries(*branch, *length), 5) {
            history.insert(&piece).unwrap();
        }
    }
    history
}

/// Returns entries of a branch; branches fork from branch 0 at entry 9, 21, or again 9.
fn branch_entries(branch: u64, length: u64) -> Vec<Timed> {
    let parts = [u64::MAX, 8, 20, 8][branch as usize % 4];
    let (own, other) = (entries(length, 0), entries(length, branch % 4 + 1));
    own.into_iter().zip(other).enumerate().map(|(k, (a, b))| if (k as u64) < parts { a } else { b }).collect()
}

fn parts() -> impl Strategy<Value = Vec<(u64, u64, u64)>> {
    proptest::collection::vec((0u64..3, 0u64..4, 0u64..60), 0..6)
}

fn joined(a: &History, b: &History) -> History {
    let mut joined = a.clone();
    joined.merge(b);
    joined
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn merge_is_commutative_associative_and_idempotent(a in parts(), b in parts(), c in parts()) {
        let (a, b, c) = (history(&a), history(&b), history(&c));
        prop_assert_eq!(joined(&a, &b).canonical_bytes(), joined(&b, &a).canonical_bytes());
        prop_assert_eq!(joined(&joined(&a, &b), &c).canonical_bytes(), joined(&a, &joined(&b, &c)).canonical_bytes());
        let merged = joined(&a, &b);
        let mut twice = merged.clone();
        prop_assert_eq!(twice.merge(&b) + twice.merge(&a) + twice.merge(&merged.clone()), 0);
        prop_assert_eq!(twice.canonical_bytes(), merged.canonical_bytes());
        prop_assert_eq!(twice.forks(), joined(&b, &a).forks());
    }

    /// Guards against results that depend on the order in which differently far sealed copies of one branch
    /// are merged.
    #[test]
    fn merge_is_a_join_for_sealed_logs(seals in proptest::collection::vec((0u64..60, 0u64..30), 3)) {
        let all: Vec<History> = seals.iter().map(|(length, seal)| {
            let mut history = history(&[(1, 0, *length)]);
            let _ = history.seal(&writer("north", 1), (seal * 2).min(length / 2 * 2));
            history
        }).collect();
        let (a, b, c) = (&all[0], &all[1], &all[2]);
        prop_assert_eq!(joined(a, b).canonical_bytes(), joined(b, a).canonical_bytes());
        prop_assert_eq!(joined(&joined(a, b), c).canonical_bytes(), joined(a, &joined(b, c)).canonical_bytes());
    }

    /// Guards against order-dependent merges of logs that are sealed and forked. Branches that fork before
    /// the seal are dropped.
    #[test]
    fn merge_is_a_join_for_sealed_and_forked_logs(
        all in proptest::collection::vec((0u64..60, 0u64..25, proptest::collection::vec((1u64..4, 0u64..50), 0..3)), 3),
    ) {
        let writer_id = writer("north", 1);
        let all: Vec<History> = all.into_iter().map(|(length, seal, branches)| {
            let mut one = history(&[(1, 0, length)]);
            let _ = one.seal(&writer_id, (seal * 2).min(length / 2 * 2));
            for (branch, length) in branches {
                // Pieces of a branch that forks before the seal are rejected.
                pieces(&writer_id, &branch_entries(branch, length), 5).iter().for_each(|piece| drop(one.insert(piece)));
            }
            one
        }).collect();
        let (a, b, c) = (&all[0], &all[1], &all[2]);
        prop_assert!(joined(a, b).canonical_bytes() == joined(b, a).canonical_bytes(), "merge is not commutative");
        let merged = joined(&joined(a, b), c);
        prop_assert!(merged.canonical_bytes() == joined(a, &joined(b, c)).canonical_bytes(), "merge is not associative");
        let mut repeated = merged.clone();
        prop_assert_eq!(repeated.merge(a) + repeated.merge(b) + repeated.merge(c) + repeated.merge(&merged), 0);
        prop_assert!(repeated.canonical_bytes() == merged.canonical_bytes(), "merge is not idempotent");
        prop_assert_eq!(merged.forks(), joined(c, &joined(b, a)).forks());
    }

    /// Guards against an older copy of a log changing a newer one or passing as intact.
    #[test]
    fn older_copy_changes_nothing_and_is_recognized(length in 2u64..60, older in proptest::collection::vec(0u64..60, 1..4), seal in 0u64..30) {
        let writer_id = writer("north", 1);
        let mut full = history(&[(1, 0, length)]);
        let _ = full.seal(&writer_id, (seal * 2).min(length / 2 * 2));
        let copies: Vec<History> = older.iter().map(|k| history(&[(1, 0, (*k).min(length))])).collect();
        let mut newest = full.clone();
        for copy in &copies {
            prop_assert_eq!(newest.merge(copy), 0);
            let mut restored = copy.clone();
            restored.merge(&full);
            prop_assert!(restored.canonical_bytes() == full.canonical_bytes(), "the older copy is not completed");
            let own = copy.latest_points().get(&writer_id).copied().unwrap_or(hash_chain::origin(&writer_id));
            // A sealed entry can't be distinguished from another branch; both cases require a new log.
            let state = full.own_log_state(&writer_id, own);
            let sealed = full.sealed(&writer_id).0;
            prop_assert_eq!(state, match own.0 {
                k if k == length => OwnLogState::Intact,
                k if k < sealed && k > 0 => OwnLogState::Forked { own: k },
                k => OwnLogState::RolledBack { own: k, known: length },
            });
        }
        prop_assert!(newest.canonical_bytes() == full.canonical_bytes(), "an older copy changed the newer one");
    }

    /// Guards against accepting truncated messages and pieces.
    #[test]
    fn truncated_message_is_rejected(length in 1usize..30, keep in any::<prop::sample::Index>(), at in any::<prop::sample::Index>()) {
        let writer_id = writer("north", 1);
        let full = piece(&writer_id, hash_chain::origin(&writer_id), &entries(length as u64, 0));
        let bytes = Message::Piece { piece: full.clone() }.encode();
        prop_assert!(Message::decode(&bytes[..at.index(bytes.len())]).is_err());
        let keep = keep.index(length);
        let mut cut = full.clone();
        cut.entries.truncate(keep);
        let mut found = History::new();
        prop_assert_eq!(found.insert(&cut).is_ok(), keep == 0);
        prop_assert_eq!(found.entries_and_bytes().0, 0);
        let valid = piece(&writer_id, hash_chain::origin(&writer_id), &entries(keep as u64, 0));
        prop_assert_eq!(found.insert(&valid), Ok(keep as u64));
        prop_assert_eq!(found.insert(&full), Ok((length - keep) as u64));
        prop_assert!(found.canonical_bytes() == history(&[(1, 0, length as u64)]).canonical_bytes());
    }

    /// Guards against accepting a piece that leaves a gap, and against order-dependent results.
    #[test]
    fn pieces_may_arrive_in_any_order(size in 1usize..20, order in proptest::collection::vec(any::<prop::sample::Index>(), 1..200)) {
        let writer = writer("north", 1);
        let all = pieces(&writer, &entries(60, 0), size);
        let mut found = History::new();
        for k in order {
            let piece = k.get(&all);
            let last_number = found.latest_points().get(&writer).map_or(0, |p| p.0);
            match found.insert(piece) {
                Ok(new) => prop_assert_eq!(new > 0, piece.last().0 > last_number),
                Err(HistoryError::Gap { after, .. }) => prop_assert!(after > last_number),
                Err(e) => panic!("{e}"),
            }
        }
        all.iter().for_each(|piece| { found.insert(piece).unwrap(); });
        prop_assert_eq!(found.canonical_bytes(), history(&[(1, 0, 60)]).canonical_bytes());
    }

    /// Guards against accepting entries that were corrupted in transit.
    #[test]
    fn corrupted_piece_is_rejected(at in any::<prop::sample::Index>(), bit in 0u32..8) {
        let writer = writer("north", 1);
        let before = history(&[(1, 0, 20)]);
        let piece = piece(&writer, before.latest_points()[&writer], &entries(30, 0)[20..]);
        let mut bytes = postcard::to_stdvec(&piece).unwrap();
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        let Ok(changed) = postcard::from_bytes::<Piece>(&bytes) else { return Ok(()) };
        let mut after = before.clone();
        if after.insert(&changed).is_ok() {
            prop_assert_eq!(after.forks(), vec![]);
            prop_assert_eq!(after.latest_points(), before.latest_points());
        }
    }
}

#[test]
fn fork_report_is_independent_of_arrival_order() {
    let writer_id = writer("north", 1);
    let (a, b) = (history(&[(1, 0, 60), (1, 1, 30)]), history(&[(1, 1, 30), (1, 0, 60)]));
    assert_eq!(a.canonical_bytes(), b.canonical_bytes());
    assert_eq!(a.latest_points(), b.latest_points());
    let forks = a.forks();
    assert_eq!(forks.len(), 1);
    assert_eq!((&forks[0].writer, forks[0].number, forks[0].entries.len()), (&writer_id, 9, 2));
    assert_eq!(a.entries_and_bytes().0, 60 + 22);
    assert_eq!(a.own_log_state(&writer_id, a.latest_points()[&writer_id]), OwnLogState::Forked { own: 60 });
    // A history with one branch lacks exactly the entries of the other branch.
    let mut one = history(&[(1, 1, 30)]);
    assert_eq!(one.merge(&a), 52);
    assert_eq!(one.canonical_bytes(), a.canonical_bytes());
    assert!(a.clone().seal(&writer_id, 10).is_err(), "the log forks before entry 10");
    a.clone().seal(&writer_id, 8).unwrap();
}

#[test]
fn sealing_retains_head_and_guarded_keys() {
    let writer_id = writer("north", 1);
    let mut sealed = history(&[(1, 0, 60)]);
    let full = sealed.clone();
    assert!(
        matches!(sealed.seal(&writer_id, 7), Err(HistoryError::Unsealable { .. })),
        "placement 7 has not ended by entry 7"
    );
    sealed.seal(&writer_id, 16).unwrap();
    let mut steps = full.clone();
    [4, 10, 16].iter().for_each(|upto| steps.seal(&writer_id, *upto).unwrap());
    assert_eq!(steps.canonical_bytes(), sealed.canonical_bytes());
    sealed.seal(&writer_id, 30).unwrap();
    assert_eq!(sealed.entries_and_bytes().0, 30);
    let keys: Vec<u64> = sealed.base(&writer_id).unwrap().retained_keys.iter().map(|r| r.number).collect();
    assert_eq!(keys.len(), 5, "3, 9, 15, 21 and 27 were guarded: {keys:?}");
    assert_eq!(sealed.latest_points(), full.latest_points());
    // An empty node adopts the seal. Sealed entries change nothing then, and those of another branch are
    // rejected.
    let mut empty = History::new();
    empty.merge(&sealed);
    assert_eq!(empty.canonical_bytes(), sealed.canonical_bytes());
    let from =
        |branch, length| piece(&writer_id, hash_chain::origin(&writer_id), &branch_entries(branch, length));
    assert_eq!(empty.insert(&from(0, 20)), Ok(0));
    assert_eq!(empty.insert(&from(0, 60)), Ok(0));
    assert!(matches!(empty.insert(&from(1, 40)), Err(HistoryError::Sealed { number: 30, .. })));
}

#[test]
fn origins_differ_between_writers() {
    let all = [("a", "bc"), ("ab", "c")].map(|(site, node)| Writer {
        site: site.into(),
        node: node.into(),
        log: 1,
    });
    assert_ne!(hash_chain::origin(&all[0]), hash_chain::origin(&all[1]));
    let mut piece = piece(&all[0], hash_chain::origin(&all[0]), &entries(2, 1));
    piece.writer = all[1].clone();
    assert!(matches!(
        History::new().insert(&piece),
        Err(HistoryError::Diverged { .. } | HistoryError::Sealed { .. })
    ));
}

#[test]
fn last_placement_of_a_key_that_may_have_run_is_retained() {
    let writer_id = writer("north", 1);
    let ends = [End::Served, End::Unknown, End::NeverRan];
    let all: Vec<Timed> = (0..3u64)
        .flat_map(|k| [placed(k as i64, placement(1, true)), ended(9, k * 2 + 1, ends[k as usize])])
        .collect();
    let mut full = History::new();
    full.insert(&piece(&writer_id, hash_chain::origin(&writer_id), &all)).unwrap();
    full.seal(&writer_id, 6).unwrap();
    let retained_keys = full.base(&writer_id).unwrap().retained_keys;
    assert_eq!(retained_keys.iter().map(|r| (r.number, r.how)).collect::<Vec<_>>(), [(3, End::Unknown)]);
}
