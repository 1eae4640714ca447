//! A change in steps: how often it is judged wrongly, how soon, and what ends it.

use rstest::rstest;
use shorepath_audit::rollout::{evaluate, Counts, Rollout, RolloutPolicy, Stage, StageReason, StageResult};

const S: i64 = 1_000_000;

/// Numbers by chance, the same each time (SplitMix64).
struct Chance(u64);

impl Chance {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// How often changes that fail with that chance are called worse, and how many of their jobs that takes in the mean.
fn tried(usual: f64, now: f64) -> (f64, f64) {
    let (steps, mut chance) = (RolloutPolicy::default(), Chance(7));
    let (mut worse, mut jobs) = (0, 0);
    for _ in 0..1_000 {
        let (mut old, mut new) = (Counts::default(), Counts::default());
        // The others are nine times as many.
        let outcome = loop {
            for _ in 0..9 {
                *(if chance.next() < usual { &mut old.bad } else { &mut old.good }) += 1;
            }
            *(if chance.next() < now { &mut new.bad } else { &mut new.good }) += 1;
            match evaluate(&steps, old, new) {
                StageResult::Undecided if new.good + new.bad < 1_000_000 => {}
                outcome => break outcome,
            }
        };
        assert_ne!(outcome, StageResult::Undecided);
        worse += u32::from(outcome == StageResult::Worse);
        jobs += new.good + new.bad;
    }
    (f64::from(worse) / 1_000.0, jobs as f64 / 1_000.0)
}

/// The stated chances are a hundredth each; what the others fail is counted, not known, which costs a little of that: three
/// hundredths are allowed, at 1,000 tries.
#[rstest]
#[case::seldom(0.005)]
#[case::sometimes(0.02)]
#[case::often(0.2)]
fn good_changes_go_on_and_bad_ones_are_called_back(#[case] usual: f64) {
    let (wrongly, jobs) = tried(usual, usual);
    println!("{usual}: {wrongly} called back wrongly, {jobs} jobs");
    assert!(wrongly <= 0.03, "{wrongly} of good changes called back");
    let (rightly, jobs) = tried(usual, usual * 2.0);
    println!("{usual}: {rightly} called back rightly, {jobs} jobs");
    assert!(rightly >= 0.97, "{rightly} of bad changes called back");
    // One that breaks everything is seen at once.
    let (rightly, jobs) = tried(usual, 1.0);
    assert!(rightly == 1.0 && jobs <= 40.0, "{rightly}, {jobs} jobs");
}

fn well(n: u64) -> Counts {
    Counts { good: n, bad: 0 }
}

/// A release to 20 nodes; the canaries have taken it at 5 s.
fn begun(number: u64) -> (Rollout, Vec<u32>) {
    let mut rollout = Rollout::new(RolloutPolicy::default(), number, &(0..20).collect::<Vec<_>>(), 0);
    let canaries: Vec<u32> = (0..20).filter(|n| rollout.should_apply(*n)).collect();
    assert_eq!(canaries.len(), 2);
    canaries.iter().for_each(|n| rollout.record_applied(*n, 5 * S));
    (rollout, canaries)
}

#[test]
fn it_goes_to_the_rest_after_it_was_watched_and_is_done_when_all_held() {
    let (mut rollout, canaries) = begun(4);
    for n in 0..20 {
        rollout.add_outcomes(n, well(10_000));
    }
    assert_eq!(rollout.advance(34 * S), None);
    assert_eq!(rollout.advance(35 * S), Some((Stage::Rest, StageReason::Good)));
    assert!((0..20).all(|n| rollout.should_apply(n)));
    for n in 0..19 {
        rollout.record_applied(n, 40 * S);
    }
    assert_eq!(rollout.advance(300 * S), None, "one has not taken it");
    rollout.remove_node(19, 301 * S);
    assert_eq!(rollout.advance(331 * S), Some((Stage::Done, StageReason::AllApplied)), "{canaries:?}");
    assert_eq!(rollout.advance(332 * S), None);
    assert_eq!(rollout.roll_back(StageReason::Operator), None);
}

#[test]
fn canaries_that_fail_call_it_back_before_anybody_else_takes_it() {
    let (mut rollout, canaries) = begun(4);
    for n in 0..20 {
        let bad = if canaries.contains(&n) { 50 } else { 0 };
        rollout.add_outcomes(n, Counts { good: 1_000, bad });
    }
    assert_eq!(rollout.advance(6 * S), Some((Stage::RolledBack, StageReason::Worse)));
    assert!((0..20).all(|n| !rollout.should_apply(n)));
}

#[test]
fn the_rest_is_judged_too() {
    let (mut rollout, _) = begun(4);
    for n in 0..20 {
        rollout.add_outcomes(n, well(10_000));
    }
    rollout.advance(35 * S);
    for n in 0..20 {
        rollout.record_applied(n, 40 * S);
        rollout.add_outcomes(n, Counts { good: 1_000, bad: 20 });
    }
    assert_eq!(rollout.advance(41 * S), Some((Stage::RolledBack, StageReason::Worse)));
}

#[test]
fn what_nobody_takes_or_nobody_can_judge_is_called_back_in_the_end() {
    let mut untaken = Rollout::new(RolloutPolicy::default(), 4, &[1, 2, 3], 0);
    assert_eq!(
        (untaken.advance(599 * S), untaken.advance(600 * S)),
        (None, Some((Stage::RolledBack, StageReason::Undecided)))
    );
    let (mut quiet, _) = begun(4);
    assert_eq!(
        (quiet.advance(599 * S), quiet.advance(600 * S)),
        (None, Some((Stage::RolledBack, StageReason::Undecided)))
    );
}

#[test]
fn canaries_change_with_the_release() {
    let mut ever = std::collections::BTreeSet::new();
    for number in 0..100 {
        ever.extend(begun(number).1);
    }
    assert_eq!(ever.len(), 20);
}
