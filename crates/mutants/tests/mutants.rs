//! Runs a fixed selection of more than 10,000 mutants. Guards against messages that break a core when an unreliable network or a
//! forger changes them.

use shorepath_mutants::campaign::{run, Campaign, Report};
use shorepath_mutants::scenario::ScenarioSystem;
use shorepath_mutants::simulation::System;
use shorepath_mutants::systems::accounts::AccountsScenario;
use shorepath_mutants::systems::key_ownership::KeyOwnershipScenario;
use shorepath_mutants::systems::load_shifting::LoadShiftingScenario;
use shorepath_mutants::systems::membership::MembershipScenario;
use shorepath_mutants::systems::placements::PlacementsScenario;
use shorepath_mutants::systems::quota::QuotaSystem;
use shorepath_mutants::systems::site_health::SiteHealthScenario;
use std::ops::Range;

fn assert_no_failure<S: System>(seeds: Range<u64>, max_mutants: usize) -> Report {
    let threads = std::thread::available_parallelism().map_or(2, usize::from).min(6);
    let report = run::<S>(&Campaign {
        seeds,
        max_mutants: Some(max_mutants),
        authenticated: false,
        kinds: Vec::new(),
        threads,
    });
    println!("{report}");
    assert_eq!(report.failed, 0, "{report}");
    assert_eq!(report.executed(), max_mutants as u64);
    report
}

#[test]
fn quota_mutants_violate_no_rule() {
    let report = assert_no_failure::<QuotaSystem>(0..3, 250);
    // All kinds ran, and all expected reasons for a rejection occurred.
    assert!(report.kinds.len() >= 17 && report.kinds.values().all(|k| k.executed > 0), "{report}");
    for reason in [
        "unreadable message",
        "message is for another incarnation",
        "no newer grant",
        "no newer request",
        "unknown grant",
        "sender is not an allocator",
    ] {
        assert!(report.rejected.contains_key(reason), "{reason}");
    }
}

#[test]
fn membership_mutants_violate_no_rule() {
    let report = assert_no_failure::<ScenarioSystem<MembershipScenario>>(0..3, 8_630);
    assert!(report.kinds.len() >= 10 && report.kinds.values().all(|k| k.executed > 0), "{report}");
}

#[test]
fn accounts_mutants_violate_no_rule() {
    let report = assert_no_failure::<ScenarioSystem<AccountsScenario>>(0..3, 800);
    assert!(report.kinds.len() >= 17 && report.kinds.values().all(|k| k.executed > 0), "{report}");
    assert!(
        ["unreadable message", "invalid message", "unknown message type"]
            .iter()
            .all(|r| report.rejected.contains_key(*r)),
        "{report}"
    );
}

#[test]
fn site_health_mutants_violate_no_rule() {
    let report = assert_no_failure::<ScenarioSystem<SiteHealthScenario>>(0..2, 100);
    assert!(report.kinds.len() >= 16 && report.kinds.values().all(|k| k.executed > 0), "{report}");
    assert!(report.rejected.keys().any(|r| r.contains("implausibly far ahead")), "{report}");
}

#[test]
fn placements_mutants_violate_no_rule() {
    let report = assert_no_failure::<ScenarioSystem<PlacementsScenario>>(0..2, 100);
    assert!(report.kinds.len() >= 10 && report.kinds.values().all(|k| k.executed > 0), "{report}");
    assert!(report.rejected.contains_key("digest mismatch"), "{report}");
}

#[test]
fn key_ownership_mutants_violate_no_rule() {
    let report = assert_no_failure::<ScenarioSystem<KeyOwnershipScenario>>(0..2, 60);
    assert!(report.kinds.len() >= 16 && report.kinds.values().all(|k| k.executed > 0), "{report}");
}

#[test]
fn load_shifting_mutants_violate_no_rule() {
    let report = assert_no_failure::<ScenarioSystem<LoadShiftingScenario>>(0..2, 60);
    assert!(report.kinds.len() >= 16 && report.kinds.values().all(|k| k.executed > 0), "{report}");
}

/// Guards against reports that depend on the number of threads or on anything but the seed.
#[test]
fn reports_are_equal_with_one_and_with_three_threads() {
    let campaign = |threads| Campaign {
        seeds: 5..6,
        max_mutants: Some(24),
        authenticated: true,
        kinds: Vec::new(),
        threads,
    };
    assert_eq!(run::<QuotaSystem>(&campaign(1)), run::<QuotaSystem>(&campaign(3)));
    assert_eq!(
        run::<ScenarioSystem<MembershipScenario>>(&campaign(1)),
        run::<ScenarioSystem<MembershipScenario>>(&campaign(3))
    );
    let campaign = |threads| Campaign { max_mutants: Some(12), ..campaign(threads) };
    assert_eq!(
        run::<ScenarioSystem<AccountsScenario>>(&campaign(1)),
        run::<ScenarioSystem<AccountsScenario>>(&campaign(3))
    );
    assert_eq!(
        run::<ScenarioSystem<SiteHealthScenario>>(&campaign(1)),
        run::<ScenarioSystem<SiteHealthScenario>>(&campaign(3))
    );
    assert_eq!(
        run::<ScenarioSystem<PlacementsScenario>>(&campaign(1)),
        run::<ScenarioSystem<PlacementsScenario>>(&campaign(3))
    );
    assert_eq!(
        run::<ScenarioSystem<KeyOwnershipScenario>>(&campaign(1)),
        run::<ScenarioSystem<KeyOwnershipScenario>>(&campaign(3))
    );
    assert_eq!(
        run::<ScenarioSystem<LoadShiftingScenario>>(&campaign(1)),
        run::<ScenarioSystem<LoadShiftingScenario>>(&campaign(3))
    );
}
