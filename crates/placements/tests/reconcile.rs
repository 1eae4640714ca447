//! Tests the decisions of a reconciler, their independence of arrival order, and the rule for sealing logs.

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

fn read_all(reconciler: &mut Reconciler, history: &History) -> Vec<Decision> {
    reconciler.read_all(history)
}

#[test]
fn guarded_key_placed_twice_is_reported_with_its_placements() {
    let (a, b) = (writer("north", 1), writer("south", 2));
    let one = |at, fence| placed(at, Placement { fence, ..placement(7, true) });
    let mut logs = vec![
        (a.clone(), vec![one(10, 4), ended(20, 1, End::NeverRan), one(30, 4), ended(40, 3, End::Served)]),
        (b.clone(), vec![one(50, 5)]),
    ];
    let mut reconciler = Reconciler::new(settings());
    let found = read_all(&mut reconciler, &history(&logs));
    let [Decision::Violation(DuplicateRun { class, key, placements })] = found.as_slice() else {
        panic!("{found:?}")
    };
    assert_eq!((class.as_str(), key.as_str()), ("valve", "k7"));
    let reported: Vec<_> =
        placements.iter().map(|s| (s.writer.clone(), s.number, s.at, s.fence, s.how)).collect();
    assert_eq!(reported, [(a, 3, 30, 4, Some(End::Served)), (b, 1, 50, 5, None)]);
    assert!(read_all(&mut reconciler, &history(&logs)).is_empty(), "reported once");
    // The second placement turns out never to have run.
    logs[1].1.push(ended(60, 1, End::NeverRan));
    let cleared = Decision::Cleared { class: "valve".into(), key: "k7".into() };
    assert_eq!(read_all(&mut reconciler, &history(&logs)), [cleared]);
    assert!(reconciler.violations().is_empty());
}

#[test]
fn placement_without_end_may_have_run() {
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
    let may_have_run = |key: &str, entry| Decision::MayHaveRun {
        class: "valve".into(),
        key: Some(key.into()),
        writer: a.clone(),
        entry,
    };
    assert_eq!(read_all(&mut reconciler, &history(&logs)), [may_have_run("k2", 2)]);
    assert!(reconciler.give_up_overdue(999).is_empty());
    assert_eq!(reconciler.give_up_overdue(1_000), [may_have_run("k1", 1)]);
    assert!(reconciler.give_up_overdue(1_400).is_empty());
    assert_eq!(reconciler.counts().lost, 0);
    reconciler.give_up_overdue(1_500);
    assert_eq!(reconciler.counts().lost, 1);
    logs[0].1.push(ended(1_600, 1, End::Served));
    let cleared = Decision::Cleared { class: "valve".into(), key: "k1".into() };
    assert_eq!(read_all(&mut reconciler, &history(&logs)), [cleared]);
}

#[rstest]
#[case::node_not_informed(100, 4, Some(Awareness::Unaware))]
#[case::node_informed(100, 5, Some(Awareness::Aware))]
#[case::node_informed_of_later_change(100, 9, Some(Awareness::Aware))]
#[case::accepted_before(99, 4, None)]
#[case::accepted_before_and_informed(99, 5, None)]
#[case::accepted_after_reopening(200, 4, None)]
fn jobs_started_after_closing_are_distinguished_from_running_jobs(
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
    let expected: Vec<Decision> = awareness
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
    // The change is learned before the placement is read, and after it.
    let mut before = Reconciler::new(settings());
    changes.iter().for_each(|c| assert!(before.change_standing("t1", *c).is_empty()));
    assert_eq!(read_all(&mut before, &history), expected);
    let mut after = Reconciler::new(settings());
    assert!(read_all(&mut after, &history).is_empty());
    // Changes in reverse order guard against treating an account that was closed for a time as closed
    // forever.
    let found: Vec<Decision> = changes.iter().rev().flat_map(|c| after.change_standing("t1", *c)).collect();
    assert_eq!(found, expected);
}

#[test]
fn credit_and_quota_overuse_becomes_a_debt_paid_in_shares() {
    let on = |at, key| placed(at, Placement { on_credit: true, ..placement(key, false) });
    let logs = [
        // A further attempt at a server is the same job.
        (writer("north", 1), vec![on(10, 1), on(11, 1), on(12, 2), on(13, 3)]),
        (writer("south", 2), vec![on(20, 4), on(21, 5)]),
    ];
    let mut reconciler = Reconciler::new(settings());
    reconciler.set_credit("t1", 3, 0);
    reconciler.set_quota("t1", 5);
    let found: Vec<Decision> = read_all(&mut reconciler, &history(&logs))
        .into_iter()
        .filter(|d| matches!(d, Decision::Debt { .. }))
        .collect();
    let debt = |kind, jobs| Decision::Debt { tenant: "t1".into(), kind, jobs };
    assert_eq!(found, [debt(DebtKind::Credit, 2), debt(DebtKind::Quota, 1)]);
    assert!(reconciler.set_credit("t1", 3, 0).is_empty(), "charged once");
    assert_eq!(reconciler.set_credit("t1", 2, 0), [debt(DebtKind::Credit, 1)], "the limit was lowered");

    let mut debts = Debts::default();
    debts.add("t1", DebtKind::Credit, 25);
    let parts: Vec<u64> = (0..4).map(|_| debts.pay("t1", DebtKind::Credit, 100, 100)).collect();
    assert_eq!(parts, [90, 90, 95, 100]);
    debts.add("t1", DebtKind::Credit, 2);
    assert_eq!([3, 0, 1, 1].map(|part| debts.pay("t1", DebtKind::Credit, part, 100)), [2, 0, 0, 1]);
    assert_eq!(debts, Debts::default());
}

#[test]
fn shared_server_is_reported_once_per_span() {
    let on = |at, isolated| placed(at, Placement { on_credit: isolated, ..placement(1, false) });
    let logs = [
        (writer("north", 1), vec![on(10, true), on(11, true), on(150, true), on(250, false)]),
        (writer("south", 2), vec![on(20, false), on(90, false), on(260, false)]),
    ];
    let mut reconciler = Reconciler::new(settings());
    let found = read_all(&mut reconciler, &history(&logs));
    assert_eq!(found, [Decision::SharedServer { server: "s1".into(), from: 0, to: 100 }]);
    assert_eq!(reconciler.counts().repeated, 1, "a repeatable key at two sites is counted");
}

/// Returns logs of three writers, one of them forked, that lead to all kinds of decisions.
fn logs(seed: u64) -> Vec<(Writer, Vec<Timed>)> {
    let mut chance = seed;
    let mut next = |n: u64| {
        chance = chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (chance >> 33) % n
    };
    let mut branch = |prefix: &[Timed]| {
        let mut all = prefix.to_vec();
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
    let first_branch = branch(&[]);
    let other = branch(&first_branch[..20]);
    vec![
        (writer("north", 1), first_branch),
        (writer("north", 1), other),
        (writer("south", 2), branch(&[])),
        (writer("east", 3), branch(&[])),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Guards against decisions that depend on the order of arrival, and against reading an entry twice.
    #[test]
    fn decisions_are_independent_of_arrival_order(seed: u64, order in Just((0..4usize).collect::<Vec<_>>()).prop_shuffle(), size in 1usize..15) {
        let logs = logs(seed);
        let reconcile = |steps: &[(Writer, Vec<Timed>)], size| {
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
        prop_assert_eq!(reconcile(&logs, 5), reconcile(&shuffled, size));
    }

    /// Guards against slices that miss decisions or exceed their steps while entries arrive in between.
    #[test]
    fn slices_find_the_same_as_a_single_pass(seed: u64, steps_per_slice in 1usize..40, size in 1usize..15, seal in any::<bool>()) {
        let sliced = Settings { steps_per_slice, ..settings() };
        let change = StandingChange { number: 2, from: 150, takes_new: false };
        let mut full = History::new();
        let mut parts = Vec::new();
        for (writer, entries) in logs(seed) {
            parts.extend(pieces(&writer, &entries, size));
        }
        parts.iter().for_each(|piece| assert!(full.insert(piece).is_ok()));
        let mut late = writer("west", 4);
        late.log += u64::from(seal);
        let mut sealed = history(&[(late.clone(), entries(120, 4))]);
        if seal {
            sealed.seal(&late, 100).unwrap();
        }
        full.merge(&sealed);
        let new_reconciler = |settings| {
            let mut reconciler = Reconciler::new(settings);
            reconciler.set_credit("t1", 3, 0);
            reconciler.set_quota("t1", 2);
            reconciler
        };
        let summarize = |found: &[Decision]| {
            let (mut debts, mut reported) = (Debts::default(), BTreeSet::new());
            for decision in found {
                match decision {
                    Decision::Debt { tenant, kind, jobs } => debts.add(tenant, *kind, *jobs),
                    Decision::Standing { writer, entry, awareness, .. } => drop(reported.insert((writer.clone(), *entry, *awareness))),
                    _ => {}
                }
            }
            (debts, reported)
        };
        let mut at_once = new_reconciler(settings());
        let mut expected = at_once.read_all(&full);
        expected.extend(at_once.change_standing("t1", change));
        expected.extend(at_once.read_all(&full));
        expected.extend(at_once.give_up_overdue(1_300));

        let mut reconciler = new_reconciler(sliced);
        let (mut history, mut found, mut slices) = (sealed, Vec::new(), 0);
        let mut arriving = parts.iter();
        // Pieces arrive in between; then the standing changes, and finally all placements without an end are
        // overdue.
        for (now, stage) in [(0, 0), (0, 1), (1_300, 2)] {
            if stage == 1 {
                found.extend(reconciler.change_standing("t1", change));
            }
            let (mut more, mut updates) = (true, true);
            while more {
                let read = |r: &Reconciler| r.counts().placements + r.counts().ends + r.counts().lost;
                let before = read(&reconciler);
                let (decisions, more_to_do) = reconciler.slice(&history, now, updates);
                let steps_done = read(&reconciler) - before;
                prop_assert!(steps_done <= steps_per_slice as u64, "{steps_done} in {steps_per_slice} steps");
                found.extend(decisions);
                updates = arriving.next().map(|piece| history.insert(piece).unwrap()).is_some();
                more = more_to_do || updates;
                slices += 1;
                prop_assert!(slices < 2_000, "the slices do not end");
            }
        }
        prop_assert_eq!(history.canonical_bytes(), full.canonical_bytes());
        prop_assert_eq!(reconciler.violations(), at_once.violations());
        prop_assert_eq!(reconciler.open_count(), at_once.open_count());
        prop_assert_eq!(reconciler.counts().placements, at_once.counts().placements);
        prop_assert_eq!(reconciler.counts().ends, at_once.counts().ends);
        prop_assert_eq!(reconciler.counts().repeated, at_once.counts().repeated);
        prop_assert_eq!(reconciler.counts().lost, at_once.counts().lost);
        prop_assert_eq!(summarize(&found), summarize(&expected));
    }
}

#[test]
fn log_is_sealable_only_where_confirmed_and_ended() {
    let w = writer("north", 1);
    let sites = ["north".to_string(), "south".to_string()];
    let last = (SEGMENT_ENTRIES * 3) as i64;
    let mut log = entries(SEGMENT_ENTRIES * 3, 1);
    let full = history(&[(w.clone(), log.clone())]);
    let at = |n: u64| {
        let piece = piece(&w, hash_chain::origin(&w), &log[..n as usize]);
        piece.last()
    };
    let all = |n: u64, m: u64| BTreeMap::from([("north".to_string(), at(n)), ("south".to_string(), at(m))]);
    let sealable = |history: &History, confirmed: &BTreeMap<_, _>, now| {
        compaction::sealable_up_to(history, &w, confirmed, &sites, 50, now)
    };
    let now = last + 50;
    assert_eq!(
        sealable(&full, &all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 3), now),
        Some(SEGMENT_ENTRIES * 3)
    );
    assert_eq!(
        sealable(&full, &all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 2 + 9), now),
        Some(SEGMENT_ENTRIES * 2),
        "not confirmed by all sites"
    );
    assert_eq!(
        sealable(&full, &all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 3), now - 1),
        Some(SEGMENT_ENTRIES * 2),
        "entries too recent"
    );
    let one = BTreeMap::from([("north".to_string(), at(SEGMENT_ENTRIES * 3))]);
    assert_eq!(sealable(&full, &one, now), None, "a site has not confirmed");
    let mut other = all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 3);
    other.insert("south".into(), (SEGMENT_ENTRIES * 3, hash_chain::Digest([7; 32])));
    assert_eq!(sealable(&full, &other, now), None, "a site has another branch");
    let mut sealed = full.clone();
    sealed.seal(&w, SEGMENT_ENTRIES * 2).unwrap();
    assert_eq!(
        sealable(&sealed, &all(SEGMENT_ENTRIES * 3, SEGMENT_ENTRIES * 3), now),
        Some(SEGMENT_ENTRIES * 3)
    );
    // A node that reads the log only after sealing still knows its guarded keys.
    let mut reconciler = Reconciler::new(settings());
    let repeated_key = [(writer("south", 2), vec![placed(5, placement(1_000_003, true))])];
    let mut both = sealed.clone();
    both.merge(&history(&repeated_key));
    let found = reconciler.read_all(&both);
    let is_violation = |d: &Decision| matches!(d, Decision::Violation(s) if s.key == "k1000003");
    assert_eq!(found.iter().filter(|d| is_violation(d)).count(), 1);
    // A placement without an end blocks sealing beyond it.
    log[SEGMENT_ENTRIES as usize + 5] = placed(0, placement(1, true));
    let blocked = history(&[(w.clone(), log.clone())]);
    let confirmed = sites.iter().map(|s| (s.clone(), blocked.latest_points()[&w])).collect();
    assert_eq!(sealable(&blocked, &confirmed, now), Some(SEGMENT_ENTRIES));
}
