//! What reconciling finds, that the order of arrival does not matter to it, and when logs may be dropped.

mod common;

use common::*;
use proptest::prelude::*;
use rstest::rstest;
use shorepath_placements::compaction::{self, SEGMENT_ENTRIES};
use shorepath_placements::hash_chain;
use shorepath_placements::history::History;
use shorepath_placements::reconcile::{
    Awareness, DebtKind, Debts, Decision, DuplicateRun, Reconciler, Settings, StandingChange,
};
use shorepath_placements::{End, Placement, Timed, Writer};
use std::collections::{BTreeMap, BTreeSet};

fn settings() -> Settings {
    Settings { give_up_after: 1_000, span: 100, ..Settings::default() }
}

fn history(logs: &[(Writer, Vec<Timed>)]) -> History {
    let mut history = History::new();
    for (writer, entries) in logs {
        pieces(writer, entries, 3).iter().for_each(|p| assert!(history.insert(p).is_ok()));
    }
    history
}

fn all(reconciler: &mut Reconciler, history: &History) -> Vec<Decision> {
    reconciler.read_all(history)
}

#[test]
fn a_guarded_key_placed_twice_is_told_with_its_whole_story() {
    let (a, b) = (writer("north", 1), writer("south", 2));
    let one = |at, fence| placed(at, Placement { fence, ..placement(7, true) });
    let mut logs = vec![
        (a.clone(), vec![one(10, 4), ended(20, 1, End::NeverRan), one(30, 4), ended(40, 3, End::Served)]),
        (b.clone(), vec![one(50, 5)]),
    ];
    let mut reconciler = Reconciler::new(settings());
    let found = all(&mut reconciler, &history(&logs));
    let [Decision::Violation(DuplicateRun { class, key, placements })] = found.as_slice() else {
        panic!("{found:?}")
    };
    assert_eq!((class.as_str(), key.as_str()), ("valve", "k7"));
    let notified: Vec<_> =
        placements.iter().map(|s| (s.writer.clone(), s.number, s.at, s.fence, s.how)).collect();
    assert_eq!(notified, [(a, 3, 30, 4, Some(End::Served)), (b, 1, 50, 5, None)]);
    assert!(all(&mut reconciler, &history(&logs)).is_empty(), "told once");
    // It turns out that the second one never ran.
    logs[1].1.push(ended(60, 1, End::NeverRan));
    let cleared = Decision::Cleared { class: "valve".into(), key: "k7".into() };
    assert_eq!(all(&mut reconciler, &history(&logs)), [cleared]);
    assert!(reconciler.violations().is_empty());
}

#[test]
fn what_has_no_end_may_have_run() {
    let a = writer("north", 1);
    let mut logs = vec![(
        a.clone(),
        vec![
            placed(0, placement(1, true)),
            placed(0, placement(2, true)),
            ended(5, 2, End::Unknown),
            placed(500, placement(3, false)),
        ],
    )];
    let mut reconciler = Reconciler::new(settings());
    let may = |key: &str, entry| Decision::MayHaveRun {
        class: "valve".into(),
        key: Some(key.into()),
        writer: a.clone(),
        entry,
    };
    assert_eq!(all(&mut reconciler, &history(&logs)), [may("k2", 2)]);
    assert!(reconciler.give_up_overdue(999).is_empty());
    assert_eq!(reconciler.give_up_overdue(1_000), [may("k1", 1)]);
    assert!(reconciler.give_up_overdue(1_400).is_empty());
    assert_eq!(reconciler.counts().lost, 0);
    reconciler.give_up_overdue(1_500);
    assert_eq!(reconciler.counts().lost, 1);
    logs[0].1.push(ended(1_600, 1, End::Served));
    let cleared = Decision::Cleared { class: "valve".into(), key: "k1".into() };
    assert_eq!(all(&mut reconciler, &history(&logs)), [cleared]);
}

#[rstest]
#[case::not_told(100, 4, Some(Awareness::Unaware))]
#[case::notified(100, 5, Some(Awareness::Aware))]
#[case::told_later(100, 9, Some(Awareness::Aware))]
#[case::taken_before(99, 4, None)]
#[case::taken_before_and_told(99, 5, None)]
#[case::after_it_was_reopened(200, 4, None)]
fn work_begun_under_a_closed_standing_is_told_from_running_work(
    #[case] taken: i64,
    #[case] standing: u64,
    #[case] awareness: Option<Awareness>,
) {
    let a = writer("north", 1);
    let mut one = placed(300, Placement { standing, ..placement(1, false) });
    if let shorepath_placements::Entry::Placed(p) = &mut one.entry {
        p.taken = taken;
    }
    let history = history(&[(a.clone(), vec![one])]);
    let wanted: Vec<Decision> = awareness
        .map(|awareness| Decision::Standing {
            tenant: "t1".into(),
            number: 5,
            awareness,
            writer: a,
            entry: 1,
        })
        .into_iter()
        .collect();
    let changes = [
        StandingChange { number: 5, from: 100, takes_new: false },
        StandingChange { number: 6, from: 200, takes_new: true },
    ];
    // Learned before the placement, and after it.
    let mut before = Reconciler::new(settings());
    changes.iter().for_each(|c| assert!(before.change_standing("t1", *c).is_empty()));
    assert_eq!(all(&mut before, &history), wanted);
    let mut after = Reconciler::new(settings());
    assert!(all(&mut after, &history).is_empty());
    // The reopening first: an account that was closed in between must not be taken for closed for ever.
    let found: Vec<Decision> = changes.iter().rev().flat_map(|c| after.change_standing("t1", *c)).collect();
    assert_eq!(found, wanted);
}

#[test]
fn credit_and_quota_above_the_whole_are_a_debt_paid_off_in_steps() {
    let on = |at, key| placed(at, Placement { on_credit: true, ..placement(key, false) });
    let logs = [
        // A further attempt at a server is no further job.
        (writer("north", 1), vec![on(10, 1), on(11, 1), on(12, 2), on(13, 3)]),
        (writer("south", 2), vec![on(20, 4), on(21, 5)]),
    ];
    let mut reconciler = Reconciler::new(settings());
    reconciler.set_credit("t1", 3, 0);
    reconciler.set_quota("t1", 5);
    let found: Vec<Decision> = all(&mut reconciler, &history(&logs))
        .into_iter()
        .filter(|d| matches!(d, Decision::Debt { .. }))
        .collect();
    let debt = |kind, jobs| Decision::Debt { tenant: "t1".into(), kind, jobs };
    assert_eq!(found, [debt(DebtKind::Credit, 2), debt(DebtKind::Quota, 1)]);
    assert!(reconciler.set_credit("t1", 3, 0).is_empty(), "charged once");
    assert_eq!(
        reconciler.set_credit("t1", 2, 0),
        [debt(DebtKind::Credit, 1)],
        "the whole turned out to be less"
    );

    let mut debts = Debts::default();
    debts.add("t1", DebtKind::Credit, 25);
    let parts: Vec<u64> = (0..4).map(|_| debts.pay("t1", DebtKind::Credit, 100, 100)).collect();
    assert_eq!(parts, [90, 90, 95, 100]);
    debts.add("t1", DebtKind::Credit, 2);
    assert_eq!([3, 0, 1, 1].map(|part| debts.pay("t1", DebtKind::Credit, part, 100)), [2, 0, 0, 1]);
    assert_eq!(debts, Debts::default());
}

#[test]
fn a_server_that_two_sites_used_as_if_alone_is_told_once_a_span() {
    let on = |at, alone| placed(at, Placement { on_credit: alone, ..placement(1, false) });
    let logs = [
        (writer("north", 1), vec![on(10, true), on(11, true), on(150, true), on(250, false)]),
        (writer("south", 2), vec![on(20, false), on(90, false), on(260, false)]),
    ];
    let mut reconciler = Reconciler::new(settings());
    let found = all(&mut reconciler, &history(&logs));
    assert_eq!(found, [Decision::SharedServer { server: "s1".into(), from: 0, to: 100 }]);
    assert_eq!(reconciler.counts().repeated, 1, "a free key at two sites is counted");
}

/// Logs of three writers, one of which forked, with all that can be found in them.
fn logs(seed: u64) -> Vec<(Writer, Vec<Timed>)> {
    let mut chance = seed;
    let mut next = |n: u64| {
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (chance >> 33) % n
    };
    let mut line = |begin: &[Timed]| {
        let mut all = begin.to_vec();
        let mut open: Vec<u64> = Vec::new();
        for k in all.len() as u64 + 1..40 {
            let at = k as i64 * 10;
            if next(2) == 0 || open.is_empty() {
                let standing = next(3);
                let p = Placement { on_credit: next(3) == 0, standing, ..placement(next(12), next(2) == 0) };
                all.push(placed(at, p));
                open.push(k);
            } else {
                let of = open.swap_remove(next(open.len() as u64) as usize);
                all.push(ended(at, of, [End::Served, End::NeverRan, End::Unknown][next(3) as usize]));
            }
        }
        all
    };
    let trunk = line(&[]);
    let other = line(&trunk[..20]);
    vec![
        (writer("north", 1), trunk),
        (writer("north", 1), other),
        (writer("south", 2), line(&[])),
        (writer("east", 3), line(&[])),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Whatever came when: the same is found in the end, and each entry is read once.
    #[test]
    fn the_order_of_arrival_does_not_matter(seed: u64, order in Just((0..4usize).collect::<Vec<_>>()).prop_shuffle(), size in 1usize..15) {
        let logs = logs(seed);
        let settle = |steps: &[(Writer, Vec<Timed>)], size| {
            let mut reconciler = Reconciler::new(settings());
            reconciler.set_credit("t1", 3, 0);
            reconciler.set_quota("t1", 2);
            reconciler.change_standing("t1", StandingChange { number: 2, from: 150, takes_new: false });
            let mut history = History::new();
            let (mut debts, mut standing) = (Debts::default(), BTreeSet::new());
            for (writer, entries) in steps {
                for piece in pieces(writer, entries, size) {
                    assert!(history.insert(&piece).is_ok());
                    for decision in reconciler.read_all(&history) {
                        match decision {
                            Decision::Debt { tenant, kind, jobs } => debts.add(&tenant, kind, jobs),
                            Decision::Standing { writer, entry, awareness, .. } => drop(standing.insert((writer, entry, awareness))),
                            _ => {}
                        }
                    }
                }
            }
            assert!(reconciler.read_all(&history).is_empty());
            assert_eq!(reconciler.counts().placements + reconciler.counts().ends, history.entries_and_bytes().0);
            (reconciler.violations(), reconciler.counts(), debts, standing, history.canonical_bytes())
        };
        let shuffled: Vec<_> = order.iter().map(|k| logs[*k].clone()).collect();
        prop_assert_eq!(settle(&logs, 5), settle(&shuffled, size));
    }

    /// In slices of any size, with entries that come in between, the same is found as at once; and no slice reads more than its steps.
    #[test]
    fn slices_find_what_is_found_at_once(seed: u64, steps_per_slice in 1usize..40, size in 1usize..15, seal in any::<bool>()) {
        let sliced = Settings { steps_per_slice, ..settings() };
        let change = StandingChange { number: 2, from: 150, takes_new: false };
        let mut whole = History::new();
        let mut parts = Vec::new();
        for (writer, entries) in logs(seed) {
            parts.extend(pieces(&writer, &entries, size));
        }
        parts.iter().for_each(|piece| assert!(whole.insert(piece).is_ok()));
        let mut late = writer("west", 4);
        late.log += u64::from(seal);
        let mut sealed = history(&[(late.clone(), entries(120, 4))]);
        if seal {
            sealed.seal(&late, 100).unwrap();
        }
        whole.merge(&sealed);
        let begin = |settings| {
            let mut reconciler = Reconciler::new(settings);
            reconciler.set_credit("t1", 3, 0);
            reconciler.set_quota("t1", 2);
            reconciler
        };
        let known = |found: &[Decision]| {
            let (mut debts, mut notified) = (Debts::default(), BTreeSet::new());
            for decision in found {
                match decision {
                    Decision::Debt { tenant, kind, jobs } => debts.add(tenant, *kind, *jobs),
                    Decision::Standing { writer, entry, awareness, .. } => drop(notified.insert((writer.clone(), *entry, *awareness))),
                    _ => {}
                }
            }
            (debts, notified)
        };
        let mut at_once = begin(settings());
        let mut wanted = at_once.read_all(&whole);
        wanted.extend(at_once.change_standing("t1", change));
        wanted.extend(at_once.read_all(&whole));
        wanted.extend(at_once.give_up_overdue(1_300));

        let mut reconciler = begin(sliced);
        let (mut history, mut found, mut turns) = (sealed, Vec::new(), 0);
        let mut come = parts.iter();
        // Pieces come in between; then a change of standing, then all that has no end is overdue.
        for (now, stage) in [(0, 0), (0, 1), (1_300, 2)] {
            if stage == 1 {
                found.extend(reconciler.change_standing("t1", change));
            }
            let (mut more, mut updates) = (true, true);
            while more {
                let read = |r: &Reconciler| r.counts().placements + r.counts().ends + r.counts().lost;
                let before = read(&reconciler);
                let (some, rest) = reconciler.slice(&history, now, updates);
                let made = read(&reconciler) - before;
                prop_assert!(made <= steps_per_slice as u64, "{made} in {steps_per_slice} steps");
                found.extend(some);
                updates = come.next().map(|piece| history.insert(piece).unwrap()).is_some();
                more = rest || updates;
                turns += 1;
                prop_assert!(turns < 2_000, "it does not end");
            }
        }
        prop_assert_eq!(history.canonical_bytes(), whole.canonical_bytes());
        prop_assert_eq!(reconciler.violations(), at_once.violations());
        prop_assert_eq!(reconciler.open_count(), at_once.open_count());
        prop_assert_eq!(reconciler.counts().placements, at_once.counts().placements);
        prop_assert_eq!(reconciler.counts().ends, at_once.counts().ends);
        prop_assert_eq!(reconciler.counts().repeated, at_once.counts().repeated);
        prop_assert_eq!(reconciler.counts().lost, at_once.counts().lost);
        prop_assert_eq!(known(&found), known(&wanted));
    }
}

#[test]
fn a_log_is_sealed_only_where_all_have_it_and_all_has_ended() {
    let w = writer("north", 1);
    let sites = ["north".to_string(), "south".to_string()];
    let last = (SEGMENT_ENTRIES * 3) as i64;
    let mut log = entries(SEGMENT_ENTRIES * 3, 1);
    let whole = history(&[(w.clone(), log.clone())]);
    let at = |n: u64| {
        let piece = piece(&w, hash_chain::origin(&w), &log[..n as usize]);
        piece.last()
    };
    let all = |n: u64, m: u64| BTreeMap::from([("north".to_string(), at(n)), ("south".to_string(), at(m))]);
    let rule = |history: &History, confirmed: &BTreeMap<_, _>, now| {
        compaction::sealable_up_to(history, &w, confirmed, &sites, 50, now)
    };
    let now = last + 50;
    assert_eq!(rule(&whole, &all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 3), now), Some(SEGMENT_ENTRIES * 3));
    assert_eq!(
        rule(&whole, &all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 2 + 9), now),
        Some(SEGMENT_ENTRIES * 2),
        "not all have it"
    );
    assert_eq!(
        rule(&whole, &all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 3), now - 1),
        Some(SEGMENT_ENTRIES * 2),
        "too young"
    );
    let one = BTreeMap::from([("north".to_string(), at(SEGMENT_ENTRIES * 3))]);
    assert_eq!(rule(&whole, &one, now), None, "a site was not heard");
    let mut other = all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 3);
    other.insert("south".into(), (SEGMENT_ENTRIES * 3, hash_chain::Digest([7; 32])));
    assert_eq!(rule(&whole, &other, now), None, "a site has another line");
    let mut sealed = whole.clone();
    sealed.seal(&w, SEGMENT_ENTRIES * 2).unwrap();
    assert_eq!(rule(&sealed, &all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 3), now), Some(SEGMENT_ENTRIES * 3));
    // A site that reads it only now still knows the guarded keys.
    let mut reconciler = Reconciler::new(settings());
    let again = [(writer("south", 2), vec![placed(5, placement(1_000_003, true))])];
    let mut both = sealed.clone();
    both.merge(&history(&again));
    let found = reconciler.read_all(&both);
    let violated = |d: &Decision| matches!(d, Decision::Violation(s) if s.key == "k1000003");
    assert_eq!(found.iter().filter(|d| violated(d)).count(), 1);
    // One placement without an end holds up what comes after it.
    log[SEGMENT_ENTRIES as usize + 5] = placed(0, placement(1, true));
    let stuck = history(&[(w.clone(), log.clone())]);
    let confirmed = sites.iter().map(|s| (s.clone(), stuck.latest_points()[&w])).collect();
    assert_eq!(rule(&stuck, &confirmed, now), Some(SEGMENT_ENTRIES));
}
