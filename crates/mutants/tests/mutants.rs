//! At least 10,000 mutants, the same ones each time.

use shorepath_mutants::campaign::{run, Campaign, Report};
use shorepath_mutants::core::System;
use shorepath_mutants::systems::accounts::Accounts;
use shorepath_mutants::systems::homes::Homed;
use shorepath_mutants::systems::lending::Lent;
use shorepath_mutants::systems::placements::Placements;
use shorepath_mutants::systems::seeing::Sites;
use shorepath_mutants::systems::{budgets::Budgets, members::Members};
use shorepath_mutants::troupe::Troupe;
use std::ops::Range;

fn played<S: System>(seeds: Range<u64>, most: usize) -> Report {
    let threads = std::thread::available_parallelism().map_or(2, usize::from).min(6);
    let report = run::<S>(&Campaign { seeds, most: Some(most), sealed: false, kinds: Vec::new(), threads });
    println!("{report}");
    assert_eq!(report.failed, 0, "{report}");
    assert_eq!(report.played(), most as u64);
    report
}

#[test]
fn mutants_of_budgets_break_nothing() {
    let report = played::<Budgets>(0..3, 250);
    // Each kind was played, and what should be refused was.
    assert!(report.kinds.len() >= 17 && report.kinds.values().all(|k| k.played > 0), "{report}");
    for why in
        ["no word", "another life's", "no newer number", "no newer asking", "no such grant", "no divider"]
    {
        assert!(report.refused.contains_key(why), "{why}");
    }
}

#[test]
fn mutants_of_members_break_nothing() {
    let report = played::<Troupe<Members>>(0..3, 8_630);
    assert!(report.kinds.len() >= 10 && report.kinds.values().all(|k| k.played > 0), "{report}");
}

#[test]
fn mutants_of_accounts_break_nothing() {
    let report = played::<Troupe<Accounts>>(0..3, 800);
    assert!(report.kinds.len() >= 17 && report.kinds.values().all(|k| k.played > 0), "{report}");
    assert!(
        ["no word", "can't be", "unknown word"].iter().all(|w| report.refused.contains_key(*w)),
        "{report}"
    );
}

#[test]
fn mutants_of_seeing_break_nothing() {
    let report = played::<Troupe<Sites>>(0..2, 100);
    assert!(report.kinds.len() >= 16 && report.kinds.values().all(|k| k.played > 0), "{report}");
    assert!(report.refused.keys().any(|w| w.contains("implausibly far ahead")), "{report}");
}

#[test]
fn mutants_of_placements_break_nothing() {
    let report = played::<Troupe<Placements>>(0..2, 100);
    assert!(report.kinds.len() >= 10 && report.kinds.values().all(|k| k.played > 0), "{report}");
    assert!(report.refused.contains_key("not what its digest says"), "{report}");
}

#[test]
fn mutants_of_homes_break_nothing() {
    let report = played::<Troupe<Homed>>(0..2, 60);
    assert!(report.kinds.len() >= 16 && report.kinds.values().all(|k| k.played > 0), "{report}");
}

#[test]
fn mutants_of_lending_break_nothing() {
    let report = played::<Troupe<Lent>>(0..2, 60);
    assert!(report.kinds.len() >= 16 && report.kinds.values().all(|k| k.played > 0), "{report}");
}

/// Neither threads nor chance change what comes out.
#[test]
fn the_verdict_is_the_same_each_time() {
    let campaign =
        |threads| Campaign { seeds: 5..6, most: Some(24), sealed: true, kinds: Vec::new(), threads };
    assert_eq!(run::<Budgets>(&campaign(1)), run::<Budgets>(&campaign(3)));
    assert_eq!(run::<Troupe<Members>>(&campaign(1)), run::<Troupe<Members>>(&campaign(3)));
    let campaign = |threads| Campaign { most: Some(12), ..campaign(threads) };
    assert_eq!(run::<Troupe<Accounts>>(&campaign(1)), run::<Troupe<Accounts>>(&campaign(3)));
    assert_eq!(run::<Troupe<Sites>>(&campaign(1)), run::<Troupe<Sites>>(&campaign(3)));
    assert_eq!(run::<Troupe<Placements>>(&campaign(1)), run::<Troupe<Placements>>(&campaign(3)));
    assert_eq!(run::<Troupe<Homed>>(&campaign(1)), run::<Troupe<Homed>>(&campaign(3)));
    assert_eq!(run::<Troupe<Lent>>(&campaign(1)), run::<Troupe<Lent>>(&campaign(3)));
}
