//! Tests of staged rollouts: error rates of the sequential test, and the transitions between stages.

use rstest::rstest;
use shorepath_audit::rollout::{evaluate, Counts, Rollout, RolloutPolicy, Stage, StageReason, StageResult};

const S: i64 = 1_000_000;

/// Deterministic random numbers (SplitMix64).
struct Random(u64);

impl Random {
    /// Returns a number from 0 to 1.
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Returns the share of changes with failure rate `changed` that the test rejects against a baseline of `usual`, and the mean
/// number of requests with the change that it takes.
fn rejection_rate(usual: f64, changed: f64) -> (f64, f64) {
    let (policy, mut random) = (RolloutPolicy::default(), Random(7));
    let (mut rejected, mut requests) = (0, 0);
    for _ in 0..1_000 {
        let (mut old, mut new) = (Counts::default(), Counts::default());
        // One node in ten is a canary.
        let outcome = loop {
            for _ in 0..9 {
                *(if random.next() < usual { &mut old.bad } else { &mut old.good }) += 1;
            }
            *(if random.next() < changed { &mut new.bad } else { &mut new.good }) += 1;
            match evaluate(&policy, old, new) {
                StageResult::Undecided if new.good + new.bad < 1_000_000 => {}
                outcome => break outcome,
            }
        };
        assert_ne!(outcome, StageResult::Undecided);
        rejected += u32::from(outcome == StageResult::Worse);
        requests += new.good + new.bad;
    }
    (f64::from(rejected) / 1_000.0, requests as f64 / 1_000.0)
}

/// The stated error probabilities are 0.01 each. 0.03 is allowed over 1,000 runs, since the baseline is estimated from counts.
#[rstest]
#[case::rare_failures(0.005)]
#[case::some_failures(0.02)]
#[case::frequent_failures(0.2)]
fn good_changes_pass_and_bad_ones_are_rejected(#[case] usual: f64) {
    let (false_rejections, requests) = rejection_rate(usual, usual);
    println!("{usual}: {false_rejections} of good changes rejected, {requests} requests");
    assert!(false_rejections <= 0.03, "{false_rejections} of good changes rejected");
    let (rejections, requests) = rejection_rate(usual, usual * 2.0);
    println!("{usual}: {rejections} of bad changes rejected, {requests} requests");
    assert!(rejections >= 0.97, "{rejections} of bad changes rejected");
    // A change that fails every request is rejected after few of them.
    let (rejections, requests) = rejection_rate(usual, 1.0);
    assert!(rejections == 1.0 && requests <= 40.0, "{rejections}, {requests} requests");
}

fn served(n: u64) -> Counts {
    Counts { good: n, bad: 0 }
}

/// Returns a rollout to 20 nodes whose canaries applied the change at 5 s, and the canaries.
fn started_rollout(number: u64) -> (Rollout, Vec<u32>) {
    let mut rollout = Rollout::new(RolloutPolicy::default(), number, &(0..20).collect::<Vec<_>>(), 0);
    let canaries: Vec<u32> = (0..20).filter(|n| rollout.should_apply(*n)).collect();
    assert_eq!(canaries.len(), 2);
    canaries.iter().for_each(|n| rollout.record_applied(*n, 5 * S));
    (rollout, canaries)
}

#[test]
fn rollout_reaches_all_nodes_after_the_observation_time() {
    let (mut rollout, canaries) = started_rollout(4);
    for n in 0..20 {
        rollout.add_outcomes(n, served(10_000));
    }
    assert_eq!(rollout.advance(34 * S), None);
    assert_eq!(rollout.advance(35 * S), Some((Stage::Rest, StageReason::Good)));
    assert!((0..20).all(|n| rollout.should_apply(n)));
    for n in 0..19 {
        rollout.record_applied(n, 40 * S);
    }
    assert_eq!(rollout.advance(300 * S), None, "one node has not applied the change");
    rollout.remove_node(19, 301 * S);
    assert_eq!(rollout.advance(331 * S), Some((Stage::Done, StageReason::AllApplied)), "{canaries:?}");
    assert_eq!(rollout.advance(332 * S), None);
    assert_eq!(rollout.roll_back(StageReason::Operator), None);
}

#[test]
fn failing_canaries_roll_back_before_other_nodes_apply_the_change() {
    let (mut rollout, canaries) = started_rollout(4);
    for n in 0..20 {
        let bad = if canaries.contains(&n) { 50 } else { 0 };
        rollout.add_outcomes(n, Counts { good: 1_000, bad });
    }
    assert_eq!(rollout.advance(6 * S), Some((Stage::RolledBack, StageReason::Worse)));
    assert!((0..20).all(|n| !rollout.should_apply(n)));
}

#[test]
fn failures_in_the_last_stage_roll_back() {
    let (mut rollout, _) = started_rollout(4);
    for n in 0..20 {
        rollout.add_outcomes(n, served(10_000));
    }
    rollout.advance(35 * S);
    for n in 0..20 {
        rollout.record_applied(n, 40 * S);
        rollout.add_outcomes(n, Counts { good: 1_000, bad: 20 });
    }
    assert_eq!(rollout.advance(41 * S), Some((Stage::RolledBack, StageReason::Worse)));
}

#[test]
fn unapplied_or_undecided_change_is_rolled_back_at_the_timeout() {
    let mut unapplied = Rollout::new(RolloutPolicy::default(), 4, &[1, 2, 3], 0);
    assert_eq!(
        (unapplied.advance(599 * S), unapplied.advance(600 * S)),
        (None, Some((Stage::RolledBack, StageReason::Undecided)))
    );
    let (mut idle, _) = started_rollout(4);
    assert_eq!(
        (idle.advance(599 * S), idle.advance(600 * S)),
        (None, Some((Stage::RolledBack, StageReason::Undecided)))
    );
}

#[test]
fn canaries_differ_between_changes() {
    let mut canaries = std::collections::BTreeSet::new();
    for number in 0..100 {
        canaries.extend(started_rollout(number).1);
    }
    assert_eq!(canaries.len(), 20);
}
