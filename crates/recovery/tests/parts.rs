//! Tests of recovery phases, disk trust, the at-most-once guard and slow start.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_recovery::at_most_once::{Decision, Guard, RequestState};
use shorepath_recovery::disk_trust::{
    classify_disk, outage, trust_level, DiskState, Identity, StoredItem, TrustLevel,
};
use shorepath_recovery::phases::{Admits, Limits, Observation, Phase, Recovery};
use shorepath_recovery::slow_start::{retry_delay, warm_fraction, SlowStart, WarmingServer};

const S: i64 = 1_000_000;
const LIMITS: Limits = Limits { reading: 10 * S, asking: 3 * S, catching_up: 2 * S, grant_expiry: 6 * S };

#[test]
fn recovery_enters_each_phase_once_its_conditions_hold() {
    let mut node = Recovery::new(LIMITS, 0);
    assert_eq!(
        node.observe(Observation::DiskRead(DiskState::Own), S).iter().map(|m| m.to).collect::<Vec<_>>(),
        [Phase::Reading, Phase::Asking]
    );
    assert_eq!((node.admits(), node.waits_for(S)), (Admits::Nothing, Some("discovery's list")));
    assert!(node.observe(Observation::PeersReplied, S).is_empty());
    assert!(
        node.advance(60 * S).is_empty(),
        "no request can be served without a server list, however long that takes"
    );
    node.observe(Observation::ServersListed(9), 61 * S);
    node.observe(Observation::CaughtUp, 61 * S);
    assert_eq!((node.phase(), node.admits()), (Phase::Guarded, Admits::Repeatable));
    assert_eq!(node.waits_for(61 * S), Some("an epoch of this life"));
    node.observe(Observation::Epoch(true), 61 * S);
    assert_eq!((node.phase(), node.admits(), node.waits_for(61 * S)), (Phase::Serving, Admits::All, None));
    // An empty server list admits nothing; a lost epoch leaves idempotent requests only.
    node.observe(Observation::ServersListed(0), 62 * S);
    assert_eq!(node.admits(), Admits::Nothing);
    node.observe(Observation::ServersListed(9), 63 * S);
    assert_eq!(node.observe(Observation::Epoch(false), 63 * S)[0].to, Phase::Guarded);
    assert_eq!(node.admits(), Admits::Repeatable);
}

#[test]
fn full_service_waits_for_earlier_grants_to_expire() {
    let mut node = Recovery::new(LIMITS, 0);
    for observation in [
        Observation::DiskRead(DiskState::Own),
        Observation::ServersListed(3),
        Observation::PeersReplied,
        Observation::CaughtUp,
        Observation::Epoch(true),
    ] {
        node.observe(observation, S);
    }
    assert_eq!((node.phase(), node.due()), (Phase::Guarded, Some(6 * S)));
    assert!(node.advance(6 * S - 1).is_empty());
    assert_eq!(node.advance(6 * S)[0].to, Phase::Serving);
}

#[rstest]
#[case::reading_disk(&[], 10 * S, Phase::Asking)]
#[case::waiting_for_peers(&[Observation::DiskRead(DiskState::Own), Observation::ServersListed(2)], 3 * S, Phase::CatchingUp)]
#[case::applying_replies(&[Observation::DiskRead(DiskState::Own), Observation::ServersListed(2), Observation::PeersReplied], 2 * S, Phase::Guarded)]
fn phase_ends_at_its_timeout(
    #[case] observations: &[Observation],
    #[case] timeout: i64,
    #[case] next: Phase,
) {
    let mut node = Recovery::new(LIMITS, 0);
    node.advance(0);
    observations.iter().for_each(|n| drop(node.observe(*n, 0)));
    assert!(node.advance(timeout - 1).is_empty() && node.phase() < next, "{node:?}");
    assert_eq!(node.advance(timeout).last().map(|m| m.to), Some(next));
}

/// Guards against running a request twice after its records were lost: full service needs an operator's release and an epoch.
#[rstest]
#[case(DiskState::Lost)]
#[case(DiskState::Old)]
#[case(DiskState::Copied)]
#[case(DiskState::Strange)]
fn incomplete_disk_waits_for_an_operator(#[case] disk: DiskState) {
    let mut node = Recovery::new(LIMITS, 0);
    for observation in [
        Observation::DiskRead(disk),
        Observation::ServersListed(3),
        Observation::PeersReplied,
        Observation::CaughtUp,
    ] {
        node.observe(observation, 10 * S);
    }
    assert_eq!((node.phase(), node.admits()), (Phase::Guarded, Admits::Repeatable));
    assert!(node.waits_for(10 * S).unwrap().starts_with("an operator"));
    assert!(
        node.observe(Observation::Release(Phase::Reading), 10 * S).is_empty(),
        "a release of an earlier phase is ignored"
    );
    let transitions = node.observe(Observation::Release(Phase::Guarded), 10 * S);
    assert!(transitions.len() == 1 && transitions[0].by_operator);
    assert_eq!(node.phase(), Phase::Guarded);
    assert_eq!(node.observe(Observation::Epoch(true), 11 * S)[0].to, Phase::Serving);
}

#[test]
fn disk_trust_depends_on_disk_state_and_outage() {
    let disk = Identity { node: "n3".into(), disk: 7, boots: 5 };
    assert_eq!(classify_disk(None, "n3", None, false), DiskState::Lost);
    assert_eq!(classify_disk(Some(&disk), "n3", Some(5), false), DiskState::Own);
    assert_eq!(classify_disk(Some(&disk), "n4", Some(5), false), DiskState::Strange);
    assert_eq!(
        classify_disk(Some(&disk), "n3", Some(9), false),
        DiskState::Old,
        "fewer boots than peers remember"
    );
    assert_eq!(classify_disk(Some(&disk), "n3", Some(5), true), DiskState::Copied);
    // The clock is untrusted if it went backwards or is a year off.
    assert_eq!(outage(100 * S, 99 * S), Some(0));
    assert_eq!(outage(100 * S, 160 * S), Some(60 * S));
    assert_eq!(outage(1_000 * S, 10 * S), None);
    assert_eq!(outage(0, 366 * 86_400 * S), None);
    for (item, known, unknown) in [
        (StoredItem::Intents, TrustLevel::AsIs, TrustLevel::AsIs),
        (StoredItem::Answers, TrustLevel::AsIs, TrustLevel::AsIs),
        (StoredItem::Epoch, TrustLevel::AsIs, TrustLevel::AsIs),
        (StoredItem::Leases, TrustLevel::Never, TrustLevel::Never),
        (StoredItem::Health, TrustLevel::Never, TrustLevel::Never),
        (StoredItem::List, TrustLevel::AsInitial, TrustLevel::IfConfirmed),
        (StoredItem::Speeds, TrustLevel::AsInitial, TrustLevel::Never),
        (StoredItem::Debts, TrustLevel::AsInitial, TrustLevel::Never),
    ] {
        assert_eq!(trust_level(item, DiskState::Own, Some(5 * S)), known, "{item:?}");
        assert_eq!(trust_level(item, DiskState::Own, None), unknown, "{item:?} without a trusted clock");
        assert_eq!(trust_level(item, DiskState::Lost, Some(5 * S)), TrustLevel::Never);
    }
}

#[test]
fn guard_replays_known_requests_and_sends_others_once() {
    let mut guard = Guard::new(["a".to_string()], [("b".to_string(), 200)], 4);
    assert_eq!(
        (guard.decide(&["a"], true), guard.decide(&["b"], true)),
        (Decision::Failed, Decision::Replay(200))
    );
    assert!(!guard.set_epoch(Some(4)), "an epoch from before the restart");
    assert_eq!(guard.decide(&["c"], true), Decision::Reject);
    assert!(guard.set_epoch(Some(5)));
    assert_eq!((guard.decide(&["c"], false), guard.decide(&["c"], true)), (Decision::Reject, Decision::Send));
    guard.record_intent(&["c", "about-c"]);
    assert_eq!(
        (guard.decide(&["d", "about-c"], true), guard.cede("c")),
        (Decision::Failed, Some(RequestState::MayHaveRun))
    );
    guard.record_never_ran(&["c", "about-c"]);
    assert_eq!(guard.decide(&["c"], true), Decision::Send);
    // The key is ceded to a peer, so this node no longer sends the request.
    assert_eq!((guard.cede("c"), guard.decide(&["c"], true)), (None, Decision::Reject));
    guard.merge("c", RequestState::Answered(502));
    guard.merge("c", RequestState::MayHaveRun);
    assert_eq!(guard.decide(&["c"], true), Decision::Replay(502), "a final answer is kept");
}

proptest! {
    /// The warm fraction never falls as time passes, and retry delays stay within their bounds.
    #[test]
    fn warm_fraction_grows_to_one_and_retry_delays_are_bounded(ages in proptest::collection::vec(0i64..40, 1..20), random in 0.0f64..1.0) {
        let slow_start = SlowStart { min_share: 0.13, duration: 24 * S };
        let servers: Vec<WarmingServer> = ages.iter().map(|a| WarmingServer { started: 100 * S - a * S, capacity: 1.0 + *a as f64 }).collect();
        let mut before = 0.0;
        for now in (100..130).map(|t| t * S) {
            let fraction = warm_fraction(&servers, slow_start, now);
            prop_assert!((0.13..=1.0).contains(&fraction) && fraction >= before);
            before = fraction;
        }
        prop_assert!((warm_fraction(&servers, slow_start, 125 * S) - 1.0).abs() < 1e-9);
        let delay = retry_delay(warm_fraction(&servers, slow_start, 100 * S), slow_start, S, 20 * S, random);
        prop_assert!((S..=20 * S).contains(&delay));
        prop_assert_eq!(warm_fraction(&[], slow_start, 0), 0.0);
    }
}
