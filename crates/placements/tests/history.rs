//! The merge is a join, whatever the order; forks are kept and named; nothing that was changed on the way gets in.

mod common;

use common::*;
use proptest::prelude::*;
use shorepath_placements::anti_entropy::Message;
use shorepath_placements::hash_chain::{self, Piece};
use shorepath_placements::history::{History, HistoryError, OwnLogState};
use shorepath_placements::{End, Timed, Writer};

/// A history that holds a part of each of three logs, each of which forked, by what it was given: line and length.
fn history(parts: &[(u64, u64, u64)]) -> History {
    let mut history = History::new();
    for (log, line, length) in parts {
        let writer = writer("north", *log);
        for piece in pieces(&writer, &line_of(*line, *length), 5) {
            history.insert(&piece).unwrap();
        }
    }
    history
}

/// Lines part at entries 9, 21 and again at 9.
fn line_of(line: u64, length: u64) -> Vec<Timed> {
    let parts = [u64::MAX, 8, 20, 8][line as usize % 4];
    let (own, other) = (entries(length, 0), entries(length, line % 4 + 1));
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
    fn the_merge_commutes_associates_and_repeats_harmlessly(a in parts(), b in parts(), c in parts()) {
        let (a, b, c) = (history(&a), history(&b), history(&c));
        prop_assert_eq!(joined(&a, &b).canonical_bytes(), joined(&b, &a).canonical_bytes());
        prop_assert_eq!(joined(&joined(&a, &b), &c).canonical_bytes(), joined(&a, &joined(&b, &c)).canonical_bytes());
        let ab = joined(&a, &b);
        let mut twice = ab.clone();
        prop_assert_eq!(twice.merge(&b) + twice.merge(&a) + twice.merge(&ab.clone()), 0);
        prop_assert_eq!(twice.canonical_bytes(), ab.canonical_bytes());
        prop_assert_eq!(twice.forks(), joined(&b, &a).forks());
    }

    /// The same whatever was sealed where, as long as all that is sealed is of one line.
    #[test]
    fn the_merge_is_a_join_for_sealed_logs_too(seals in proptest::collection::vec((0u64..60, 0u64..30), 3)) {
        let all: Vec<History> = seals.iter().map(|(length, seal)| {
            let mut history = history(&[(1, 0, *length)]);
            let _ = history.seal(&writer("north", 1), (seal * 2).min(length / 2 * 2));
            history
        }).collect();
        let (a, b, c) = (&all[0], &all[1], &all[2]);
        prop_assert_eq!(joined(a, b).canonical_bytes(), joined(b, a).canonical_bytes());
        prop_assert_eq!(joined(&joined(a, b), c).canonical_bytes(), joined(a, &joined(b, c)).canonical_bytes());
    }

    /// Logs that are sealed and forked: what was sealed is of one line; others part from it before the seal, where they go, or after it.
    #[test]
    fn the_merge_is_a_join_for_logs_that_are_sealed_and_forked(
        all in proptest::collection::vec((0u64..60, 0u64..25, proptest::collection::vec((1u64..4, 0u64..50), 0..3)), 3),
    ) {
        let w = writer("north", 1);
        let all: Vec<History> = all.into_iter().map(|(length, seal, lines)| {
            let mut one = history(&[(1, 0, length)]);
            let _ = one.seal(&w, (seal * 2).min(length / 2 * 2));
            for (line, length) in lines {
                // One that parts before the seal is refused.
                pieces(&w, &line_of(line, length), 5).iter().for_each(|piece| drop(one.insert(piece)));
            }
            one
        }).collect();
        let (a, b, c) = (&all[0], &all[1], &all[2]);
        prop_assert!(joined(a, b).canonical_bytes() == joined(b, a).canonical_bytes(), "it does not commute");
        let abc = joined(&joined(a, b), c);
        prop_assert!(abc.canonical_bytes() == joined(a, &joined(b, c)).canonical_bytes(), "it does not associate");
        let mut again = abc.clone();
        prop_assert_eq!(again.merge(a) + again.merge(b) + again.merge(c) + again.merge(&abc), 0);
        prop_assert!(again.canonical_bytes() == abc.canonical_bytes(), "it does not repeat harmlessly");
        prop_assert_eq!(abc.forks(), joined(c, &joined(b, a)).forks());
    }

    /// An older disk: a history whose number goes back adds nothing, gets back what it had in any order, and is told from a sound one.
    #[test]
    fn a_history_whose_number_goes_back_changes_nothing(length in 2u64..60, older in proptest::collection::vec(0u64..60, 1..4), seal in 0u64..30) {
        let w = writer("north", 1);
        let mut whole = history(&[(1, 0, length)]);
        let _ = whole.seal(&w, (seal * 2).min(length / 2 * 2));
        let copies: Vec<History> = older.iter().map(|k| history(&[(1, 0, (*k).min(length))])).collect();
        let mut newest = whole.clone();
        for copy in &copies {
            prop_assert_eq!(newest.merge(copy), 0);
            let mut back = copy.clone();
            back.merge(&whole);
            prop_assert!(back.canonical_bytes() == whole.canonical_bytes(), "it does not get back what it had");
            let own = copy.latest_points().get(&w).copied().unwrap_or(hash_chain::origin(&w));
            // What is sealed can't be told from another line any more; both found another log.
            let judged = whole.own_log_state(&w, own);
            let sealed = whole.sealed(&w).0;
            prop_assert_eq!(judged, match own.0 {
                k if k == length => OwnLogState::Intact,
                k if k < sealed && k > 0 => OwnLogState::Forked { own: k },
                k => OwnLogState::RolledBack { own: k, known: length },
            });
        }
        prop_assert!(newest.canonical_bytes() == whole.canonical_bytes(), "an older one changed it");
    }

    /// A word that was cut is none; a piece that was cut is refused, or taken as far as it goes where it says so.
    #[test]
    fn a_cut_word_is_refused(length in 1usize..30, keep in any::<prop::sample::Index>(), at in any::<prop::sample::Index>()) {
        let w = writer("north", 1);
        let whole = piece(&w, hash_chain::origin(&w), &entries(length as u64, 0));
        let bytes = Message::Piece { piece: whole.clone() }.encode();
        prop_assert!(Message::decode(&bytes[..at.index(bytes.len())]).is_err());
        let keep = keep.index(length);
        let mut cut = whole.clone();
        cut.entries.truncate(keep);
        let mut found = History::new();
        prop_assert_eq!(found.insert(&cut).is_ok(), keep == 0);
        prop_assert_eq!(found.entries_and_bytes().0, 0);
        let honest = piece(&w, hash_chain::origin(&w), &entries(keep as u64, 0));
        prop_assert_eq!(found.insert(&honest), Ok(keep as u64));
        prop_assert_eq!(found.insert(&whole), Ok((length - keep) as u64));
        prop_assert!(found.canonical_bytes() == history(&[(1, 0, length as u64)]).canonical_bytes());
    }

    /// Pieces of any size in any order, doubled, end in the same history; one that leaves a gap is refused.
    #[test]
    fn pieces_come_in_any_order(size in 1usize..20, order in proptest::collection::vec(any::<prop::sample::Index>(), 1..200)) {
        let writer = writer("north", 1);
        let all = pieces(&writer, &entries(60, 0), size);
        let mut found = History::new();
        for k in order {
            let piece = k.get(&all);
            let have = found.latest_points().get(&writer).map_or(0, |p| p.0);
            match found.insert(piece) {
                Ok(new) => prop_assert_eq!(new > 0, piece.last().0 > have),
                Err(HistoryError::Gap { after, .. }) => prop_assert!(after > have),
                Err(e) => panic!("{e}"),
            }
        }
        all.iter().for_each(|piece| { found.insert(piece).unwrap(); });
        prop_assert_eq!(found.canonical_bytes(), history(&[(1, 0, 60)]).canonical_bytes());
    }

    /// Whatever is changed on the way, nothing but what was written gets in, and nothing panics.
    #[test]
    fn a_changed_piece_is_refused(at in any::<prop::sample::Index>(), bit in 0u32..8) {
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
fn a_fork_is_named_alike_whatever_came_first() {
    let w = writer("north", 1);
    let (a, b) = (history(&[(1, 0, 60), (1, 1, 30)]), history(&[(1, 1, 30), (1, 0, 60)]));
    assert_eq!(a.canonical_bytes(), b.canonical_bytes());
    assert_eq!(a.latest_points(), b.latest_points());
    let forks = a.forks();
    assert_eq!(forks.len(), 1);
    assert_eq!((&forks[0].writer, forks[0].number, forks[0].entries.len()), (&w, 9, 2));
    assert_eq!(a.entries_and_bytes().0, 60 + 22);
    assert_eq!(a.own_log_state(&w, a.latest_points()[&w]), OwnLogState::Forked { own: 60 });
    // Whoever has one line lacks exactly the other.
    let mut one = history(&[(1, 1, 30)]);
    assert_eq!(one.merge(&a), 52);
    assert_eq!(one.canonical_bytes(), a.canonical_bytes());
    assert!(a.clone().seal(&w, 10).is_err(), "it parts before there");
    a.clone().seal(&w, 8).unwrap();
}

#[test]
fn what_is_sealed_leaves_its_head_and_its_guarded_keys() {
    let w = writer("north", 1);
    let mut sealed = history(&[(1, 0, 60)]);
    let whole = sealed.clone();
    assert!(matches!(sealed.seal(&w, 7), Err(HistoryError::Unsealable { .. })), "entry 7 has no end by then");
    sealed.seal(&w, 16).unwrap();
    let mut steps = whole.clone();
    [4, 10, 16].iter().for_each(|upto| steps.seal(&w, *upto).unwrap());
    assert_eq!(steps.canonical_bytes(), sealed.canonical_bytes());
    sealed.seal(&w, 30).unwrap();
    assert_eq!(sealed.entries_and_bytes().0, 30);
    let keys: Vec<u64> = sealed.base(&w).unwrap().retained_keys.iter().map(|r| r.number).collect();
    assert_eq!(keys.len(), 5, "3, 9, 15, 21 and 27 were guarded: {keys:?}");
    assert_eq!(sealed.latest_points(), whole.latest_points());
    // An empty site goes by what was sealed, and an entry from before it changes nothing; another one is refused.
    let mut empty = History::new();
    empty.merge(&sealed);
    assert_eq!(empty.canonical_bytes(), sealed.canonical_bytes());
    let from = |line, length| piece(&w, hash_chain::origin(&w), &line_of(line, length));
    assert_eq!(empty.insert(&from(0, 20)), Ok(0));
    assert_eq!(empty.insert(&from(0, 60)), Ok(0));
    assert!(matches!(empty.insert(&from(1, 40)), Err(HistoryError::Sealed { number: 30, .. })));
}

#[test]
fn logs_of_other_names_have_other_beginnings() {
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
fn of_several_placements_of_a_key_the_last_that_may_have_run_is_remembered() {
    let w = writer("north", 1);
    let ends = [End::Served, End::Unknown, End::NeverRan];
    let all: Vec<Timed> = (0..3u64)
        .flat_map(|k| [placed(k as i64, placement(1, true)), ended(9, k * 2 + 1, ends[k as usize])])
        .collect();
    let mut whole = History::new();
    whole.insert(&piece(&w, hash_chain::origin(&w), &all)).unwrap();
    whole.seal(&w, 6).unwrap();
    let retained_keys = whole.base(&w).unwrap().retained_keys;
    assert_eq!(retained_keys.iter().map(|r| (r.number, r.how)).collect::<Vec<_>>(), [(3, End::Unknown)]);
}
