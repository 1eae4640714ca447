//! Steps, trust, the ramp and the guard, each by itself.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_recovery::at_most_once::{Decision, Guard, Known};
use shorepath_recovery::disk_trust::{belief, judge, outage, Belief, Disk, Identity, Item};
use shorepath_recovery::phases::{Admits, Limits, Observation, Return, Step};
use shorepath_recovery::slow_start::{come_back, part, Pace, Warming};

const S: i64 = 1_000_000;
const LIMITS: Limits = Limits { reading: 10 * S, asking: 3 * S, catching_up: 2 * S, outlive: 6 * S };

/// It goes the whole way as soon as each thing is there, and no sooner than nothing older can be acted under.
#[test]
fn a_node_comes_back_step_by_step() {
    let mut node = Return::new(LIMITS, 0);
    assert_eq!(
        node.learn(Observation::Read(Disk::Own), S).iter().map(|m| m.to).collect::<Vec<_>>(),
        [Step::Reading, Step::Asking]
    );
    assert_eq!((node.admits(), node.waits_for(S)), (Admits::Nothing, Some("discovery's list")));
    assert!(node.learn(Observation::Peers, S).is_empty());
    assert!(node.pass(60 * S).is_empty(), "without a list nobody can be served, however long that takes");
    node.learn(Observation::Listed(9), 61 * S);
    node.learn(Observation::CaughtUp, 61 * S);
    assert_eq!((node.step(), node.admits()), (Step::Guarded, Admits::Repeatable));
    assert_eq!(node.waits_for(61 * S), Some("an epoch of this life"));
    node.learn(Observation::Epoch(true), 61 * S);
    assert_eq!((node.step(), node.admits(), node.waits_for(61 * S)), (Step::Serving, Admits::All, None));
    // Discovery's list is empty, and its epoch is taken away: what must not run twice goes first, and stays away.
    node.learn(Observation::Listed(0), 62 * S);
    assert_eq!(node.admits(), Admits::Nothing);
    node.learn(Observation::Listed(9), 63 * S);
    assert_eq!(node.learn(Observation::Epoch(false), 63 * S)[0].to, Step::Guarded);
    assert_eq!(node.admits(), Admits::Repeatable);
}

#[test]
fn nothing_of_an_earlier_life_is_outrun() {
    let mut node = Return::new(LIMITS, 0);
    for updates in [
        Observation::Read(Disk::Own),
        Observation::Listed(3),
        Observation::Peers,
        Observation::CaughtUp,
        Observation::Epoch(true),
    ] {
        node.learn(updates, S);
    }
    assert_eq!((node.step(), node.due()), (Step::Guarded, Some(6 * S)));
    assert!(node.pass(6 * S - 1).is_empty());
    assert_eq!(node.pass(6 * S)[0].to, Step::Serving);
}

/// What does not come is waited for only so long where service can do without it.
#[rstest]
#[case::disk(&[], 10 * S, Step::Asking)]
#[case::peers(&[Observation::Read(Disk::Own), Observation::Listed(2)], 3 * S, Step::CatchingUp)]
#[case::taking_in(&[Observation::Read(Disk::Own), Observation::Listed(2), Observation::Peers], 2 * S, Step::Guarded)]
fn each_step_has_a_limit(#[case] updates: &[Observation], #[case] limit: i64, #[case] next: Step) {
    let mut node = Return::new(LIMITS, 0);
    node.pass(0);
    updates.iter().for_each(|n| drop(node.learn(*n, 0)));
    assert!(node.pass(limit - 1).is_empty() && node.step() < next, "{node:?}");
    assert_eq!(node.pass(limit).last().map(|m| m.to), Some(next));
}

/// A disk on which something may be missing holds back what must not run twice until an operator says otherwise, by hand and told
/// so; even then not without an epoch.
#[rstest]
#[case(Disk::Lost)]
#[case(Disk::Old)]
#[case(Disk::Copied)]
#[case(Disk::Strange)]
fn what_may_be_missing_waits_for_an_operator(#[case] disk: Disk) {
    let mut node = Return::new(LIMITS, 0);
    for updates in
        [Observation::Read(disk), Observation::Listed(3), Observation::Peers, Observation::CaughtUp]
    {
        node.learn(updates, 10 * S);
    }
    assert_eq!((node.step(), node.admits()), (Step::Guarded, Admits::Repeatable));
    assert!(node.waits_for(10 * S).unwrap().starts_with("an operator"));
    assert!(node.learn(Observation::Release(Step::Reading), 10 * S).is_empty(), "a word for an earlier step");
    let moved = node.learn(Observation::Release(Step::Guarded), 10 * S);
    assert!(moved.len() == 1 && moved[0].by_hand);
    assert_eq!(node.step(), Step::Guarded);
    assert_eq!(node.learn(Observation::Epoch(true), 11 * S)[0].to, Step::Serving);
}

#[test]
fn a_disk_is_judged_before_it_is_believed() {
    let disk = Identity { node: "n3".into(), disk: 7, boots: 5 };
    assert_eq!(judge(None, "n3", None, false), Disk::Lost);
    assert_eq!(judge(Some(&disk), "n3", Some(5), false), Disk::Own);
    assert_eq!(judge(Some(&disk), "n4", Some(5), false), Disk::Strange);
    assert_eq!(judge(Some(&disk), "n3", Some(9), false), Disk::Old, "a disk of a week ago");
    assert_eq!(judge(Some(&disk), "n3", Some(5), true), Disk::Copied);
    // A clock that went backwards, and one that is a year off: no time can be believed.
    assert_eq!(outage(100 * S, 99 * S), Some(0));
    assert_eq!(outage(100 * S, 160 * S), Some(60 * S));
    assert_eq!(outage(1_000 * S, 10 * S), None);
    assert_eq!(outage(0, 366 * 86_400 * S), None);
    for (item, known, unknown) in [
        (Item::Intents, Belief::AsIs, Belief::AsIs),
        (Item::Answers, Belief::AsIs, Belief::AsIs),
        (Item::Epoch, Belief::AsIs, Belief::AsIs),
        (Item::Leases, Belief::Never, Belief::Never),
        (Item::Health, Belief::Never, Belief::Never),
        (Item::List, Belief::AsInitial, Belief::IfConfirmed),
        (Item::Speeds, Belief::AsInitial, Belief::Never),
        (Item::Debts, Belief::AsInitial, Belief::Never),
    ] {
        assert_eq!(belief(item, Disk::Own, Some(5 * S)), known, "{item:?}");
        assert_eq!(belief(item, Disk::Own, None), unknown, "{item:?} without a clock");
        assert_eq!(belief(item, Disk::Lost, Some(5 * S)), Belief::Never);
    }
}

#[test]
fn a_guard_answers_what_is_known_and_sends_the_rest_once() {
    let mut guard = Guard::new(["a".to_string()], [("b".to_string(), 200)], 4);
    assert_eq!(
        (guard.judge(&["a"], true), guard.judge(&["b"], true)),
        (Decision::Failed, Decision::Again(200))
    );
    assert!(!guard.act_under(Some(4)), "an epoch of before the loss");
    assert_eq!(guard.judge(&["c"], true), Decision::Reject);
    assert!(guard.act_under(Some(5)));
    assert_eq!((guard.judge(&["c"], false), guard.judge(&["c"], true)), (Decision::Reject, Decision::Send));
    guard.intended(&["c", "about-c"]);
    assert_eq!(
        (guard.judge(&["d", "about-c"], true), guard.cede("c")),
        (Decision::Failed, Some(Known::MayHaveRun))
    );
    guard.never_ran(&["c", "about-c"]);
    assert_eq!(guard.judge(&["c"], true), Decision::Send);
    // A peer takes it: it is not sent from here any more.
    assert_eq!((guard.cede("c"), guard.judge(&["c"], true)), (None, Decision::Reject));
    guard.received("c", Known::Answered(502));
    guard.received("c", Known::MayHaveRun);
    assert_eq!(guard.judge(&["c"], true), Decision::Again(502), "a final answer stays");
}

proptest! {
    /// The ramp grows with time alone, from the cold share to all, and clients that are denied come back spread out.
    #[test]
    fn the_ramp_follows_the_servers(ages in proptest::collection::vec(0i64..40, 1..20), luck in 0.0f64..1.0) {
        let pace = Pace { share: 0.13, time: 24 * S };
        let servers: Vec<Warming> = ages.iter().map(|a| Warming { started: 100 * S - a * S, size: 1.0 + *a as f64 }).collect();
        let mut before = 0.0;
        for now in (100..130).map(|t| t * S) {
            let p = part(&servers, pace, now);
            prop_assert!((0.13..=1.0).contains(&p) && p >= before);
            before = p;
        }
        prop_assert!((part(&servers, pace, 125 * S) - 1.0).abs() < 1e-9);
        let wait = come_back(part(&servers, pace, 100 * S), pace, S, 20 * S, luck);
        prop_assert!((S..=20 * S).contains(&wait));
        prop_assert_eq!(part(&[], pace, 0), 0.0);
    }
}
