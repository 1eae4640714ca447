//! Faults planted into the systems: a mutant must detect each of them, and the same mutant must pass without the fault.

use shorepath_mutants::campaign::{run, Campaign};
use shorepath_mutants::change::Change;
use shorepath_mutants::scenario::ScenarioSystem;
use shorepath_mutants::simulation::{simulate, MessageRecord, Mutant, Outcome, System};
use shorepath_mutants::systems::accounts::AccountsScenario;
use shorepath_mutants::systems::key_ownership::{fault, KeyOwnershipScenario};
use shorepath_mutants::systems::load_shifting::LoadShiftingScenario;
use shorepath_mutants::systems::placements::{PlacementsScenario, COUNTS_DUPLICATES, WRITES_BEFORE_RECOVERY};
use shorepath_mutants::systems::quota::{FaultInjection, QuotaSystem};
use shorepath_mutants::systems::site_health::SiteHealthScenario;
use shorepath_mutants::Micros;
use shorepath_quota::allocator::ReplicatedState;
use shorepath_quota::messages::Message;
use shorepath_quota::NodeIncarnation;
use std::collections::{BTreeMap, BTreeSet};

/// By node incarnation and budget, the grant that a fault puts in force: its number, its amount, and its expiry by the node's clock.
type FaultyGrants = BTreeMap<(NodeIncarnation, String), (u64, u64, Micros)>;

fn usable_units(
    grants: &FaultyGrants,
    incarnation: NodeIncarnation,
    budget: &str,
    now: Micros,
) -> Option<u64> {
    grants.get(&(incarnation, budget.to_string())).filter(|g| now < g.2).map(|g| g.1)
}

/// A grant that arrives late replaces a newer one.
#[derive(Clone, Default)]
struct OlderGrantWins(FaultyGrants);

impl FaultInjection for OlderGrantWins {
    fn at_node(&mut self, incarnation: NodeIncarnation, message: &Message, now: Micros) {
        let Message::Grants { holder, grants, .. } = message else { return };
        for g in grants.iter().filter(|_| *holder == incarnation) {
            let last = self.0.entry((incarnation, g.budget.clone())).or_default();
            // A newer grant is left to the real core.
            *last = if g.number < last.0 { (last.0, g.amount, now + g.length / 2) } else { (g.number, 0, 0) };
        }
    }

    fn usable(&self, incarnation: NodeIncarnation, budget: &str, real: u64, now: Micros) -> u64 {
        usable_units(&self.0, incarnation, budget, now).unwrap_or(real)
    }
}

/// The term of a grant starts with its arrival, less a margin for the clocks and for the usual latency.
#[derive(Clone, Default)]
struct TermFromArrival(FaultyGrants);

impl FaultInjection for TermFromArrival {
    fn at_node(&mut self, incarnation: NodeIncarnation, message: &Message, now: Micros) {
        let Message::Grants { holder, grants, .. } = message else { return };
        for g in grants.iter().filter(|_| *holder == incarnation) {
            let last = self.0.entry((incarnation, g.budget.clone())).or_default();
            if g.number > last.0 {
                *last = (g.number, g.amount, now + g.length * 19 / 20);
            }
        }
    }

    fn usable(&self, incarnation: NodeIncarnation, budget: &str, real: u64, now: Micros) -> u64 {
        usable_units(&self.0, incarnation, budget, now).map_or(real, |amount| real.max(amount))
    }
}

/// A duplicated return releases the grants of all other holders.
#[derive(Clone, Default)]
struct DuplicateReturnReleasesOthers(BTreeSet<Vec<u8>>);

impl FaultInjection for DuplicateReturnReleasesOthers {
    fn at_allocator(&mut self, message: Message, state: &ReplicatedState) -> Vec<Message> {
        let Message::Returns { holder, grants: returned } = &message else { return vec![message] };
        if self.0.insert(message.bytes()) {
            return vec![message];
        }
        let mut all = Vec::new();
        for (budget, epoch, _) in returned {
            let ledger = state.ledger(budget).unwrap();
            for other in ledger.holders().filter(|h| h != holder) {
                let grants = vec![(budget.clone(), *epoch, ledger.newest_number(other))];
                all.push(Message::Returns { holder: other, grants });
            }
        }
        all
    }
}

/// Asserts that a mutant of this kind detects the fault, in the first run that passes without mutation, and that the same mutant
/// passes without the fault.
fn assert_quota_fault_detected<F: FaultInjection>(kind: &str, max_mutants: usize) {
    let passes = |seed: &u64| simulate::<QuotaSystem<F>>(*seed, None, false).outcome == Outcome::Passed;
    let seed = (0..20).find(passes).unwrap_or_else(|| panic!("every run fails without a mutant"));
    let (kinds, max_mutants) = (vec![kind.to_string()], Some(max_mutants));
    let campaign = Campaign { seeds: seed..seed + 1, max_mutants, authenticated: true, kinds, threads: 3 };
    let report = run::<QuotaSystem<F>>(&campaign);
    let first = report.first.clone().unwrap_or_else(|| panic!("no mutant detects the fault: {report}"));
    assert!(
        matches!(&first.outcome, Outcome::Violated(_, v) if v.rule == "usable units never exceed the total"),
        "{first}"
    );
    println!("{} of {} detect it; {first}", report.failed, report.executed());
    let messages = simulate::<QuotaSystem>(seed, None, false).messages;
    let mutant = Mutant { message: &messages[first.message], change: first.change.as_ref().unwrap() };
    assert_eq!(simulate::<QuotaSystem>(seed, Some(mutant), false).outcome, Outcome::Passed, "{first}");
}

#[test]
fn older_grant_that_replaces_a_newer_one_is_detected() {
    assert_quota_fault_detected::<OlderGrantWins>("late by many", 60);
}

#[test]
fn duplicate_return_that_releases_other_grants_is_detected() {
    assert_quota_fault_detected::<DuplicateReturnReleasesOthers>("doubled", 600);
}

#[test]
fn grant_term_that_starts_on_arrival_is_detected() {
    assert_quota_fault_detected::<TermFromArrival>("late by many", 300);
}

/// Asserts that a mutant of this kind detects the fault of the system `F` by one of the rules, and that the same mutant passes in the
/// system `R` without the fault.
fn assert_fault_detected<F: System, R: System>(kind: &str, rules: &[&str], max_mutants: usize) {
    let passes = |seed: &u64| simulate::<F>(*seed, None, false).outcome == Outcome::Passed;
    let seed = (0..20).find(passes).unwrap_or_else(|| panic!("every run fails without a mutant"));
    let kinds = vec![kind.to_string()];
    let campaign = Campaign {
        seeds: seed..seed + 1,
        max_mutants: Some(max_mutants),
        authenticated: true,
        kinds,
        threads: 3,
    };
    let report = run::<F>(&campaign);
    let first = report.first.clone().unwrap_or_else(|| panic!("no mutant detects the fault: {report}"));
    assert!(matches!(&first.outcome, Outcome::Violated(_, v) if rules.contains(&v.rule)), "{first}");
    println!("seed {seed}: {} of {} detect it; {:?}", report.failed, report.executed(), first.outcome);
    let messages = simulate::<R>(seed, None, false).messages;
    let mutant = Mutant { message: &messages[first.message], change: first.change.as_ref().unwrap() };
    assert_eq!(simulate::<R>(seed, Some(mutant), false).outcome, Outcome::Passed, "{first}");
}

#[test]
fn older_accounts_file_that_replaces_a_newer_one_is_detected() {
    assert_fault_detected::<ScenarioSystem<AccountsScenario<true>>, ScenarioSystem<AccountsScenario>>(
        "doubled",
        &["the file number never decreases"],
        100,
    );
}

#[test]
fn duplicate_piece_that_is_counted_again_is_detected() {
    let rules = &["each entry counts once"];
    assert_fault_detected::<
        ScenarioSystem<PlacementsScenario<COUNTS_DUPLICATES>>,
        ScenarioSystem<PlacementsScenario>,
    >("doubled", rules, 16);
}

/// A log that is continued from an older disk without asking peers forks. The run shows this without a mutant.
#[test]
fn log_written_before_peers_were_asked_is_detected() {
    for seed in 0..4 {
        let outcome =
            simulate::<ScenarioSystem<PlacementsScenario<WRITES_BEFORE_RECOVERY>>>(seed, None, false).outcome;
        // The node may learn of a key in the other branch before it learns of the fork.
        let rules = ["no log forks", "a placed key is not free"];
        assert!(
            matches!(&outcome, Outcome::Violated(_, v) if rules.contains(&v.rule)),
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(
            simulate::<ScenarioSystem<PlacementsScenario>>(seed, None, false).outcome,
            Outcome::Passed,
            "seed {seed}"
        );
    }
}

#[test]
fn heartbeat_age_that_starts_on_arrival_is_detected() {
    let rules = &["a site that is down does not return"];
    assert_fault_detected::<ScenarioSystem<SiteHealthScenario<true>>, ScenarioSystem<SiteHealthScenario>>(
        "late by many",
        rules,
        120,
    );
}

/// As [`assert_fault_detected`], but applies one mutation to the selected messages, since few messages of a run can show the fault.
fn assert_fault_detected_by<F: System, R: System>(
    change: &Change,
    rules: &[&str],
    selected: impl Fn(&MessageRecord) -> bool,
) {
    let mut executed = 0;
    for seed in 0..6 {
        let run = simulate::<F>(seed, None, false);
        for message in run
            .messages
            .iter()
            .filter(|m| run.outcome == Outcome::Passed && m.delivered_at.is_some() && selected(m))
        {
            executed += 1;
            let outcome = simulate::<F>(seed, Some(Mutant { message, change }), false).outcome;
            if !matches!(&outcome, Outcome::Violated(_, v) if rules.contains(&v.rule)) {
                continue;
            }
            println!("seed {seed}: mutant {executed} detects it: {outcome:?}");
            let messages = simulate::<R>(seed, None, false).messages;
            let mutant = Mutant { message: &messages[message.id], change };
            assert_eq!(
                simulate::<R>(seed, Some(mutant), false).outcome,
                Outcome::Passed,
                "without the fault"
            );
            return;
        }
    }
    panic!("none of {executed} mutants detects the fault");
}

const MS: Micros = 1_000;

/// The last grants before the partition of the first site arrive late: it uses them while other nodes hold its ranges.
#[test]
fn key_lease_that_starts_on_arrival_is_detected() {
    let last_grants = |m: &MessageRecord| {
        m.message.from == 6 && m.message.to < 2 && (4_700 * MS..5_300 * MS).contains(&m.sent_at)
    };
    let rules = ["one holder at a time", "a key is placed once"];
    assert_fault_detected_by::<
        ScenarioSystem<KeyOwnershipScenario<{ fault::LEASE_FROM_ARRIVAL }>>,
        ScenarioSystem<KeyOwnershipScenario>,
    >(&Change::Delayed(700 * MS), &rules, last_grants);
}

/// With the planted fault, a duplicated catch-up reply counts as the replies of nodes that a partition cuts off, so that the new holder
/// of a key range places a key again.
#[test]
fn catch_up_reply_that_counts_for_other_nodes_is_detected() {
    let replies = |m: &MessageRecord| {
        let text = String::from_utf8_lossy(&m.message.bytes);
        (5_500 * MS..7_600 * MS).contains(&m.sent_at) && text.contains("\"tell\"")
    };
    let rules = ["a key is placed once"];
    assert_fault_detected_by::<
        ScenarioSystem<KeyOwnershipScenario<{ fault::REPLY_FOR_OTHERS }>>,
        ScenarioSystem<KeyOwnershipScenario>,
    >(&Change::Duplicated(1), &rules, replies);
}

/// The last demand reports of a site before its outage are duplicated, so twice the load is shifted.
#[test]
fn duplicate_report_that_doubles_demand_is_detected() {
    let last_reports = |m: &MessageRecord| {
        m.message.from >= 4 && m.message.to < 4 && (3_500 * MS..4_300 * MS).contains(&m.sent_at)
    };
    let rules = ["remote limits never exceed the allocation"];
    assert_fault_detected_by::<
        ScenarioSystem<LoadShiftingScenario<true>>,
        ScenarioSystem<LoadShiftingScenario>,
    >(&Change::Duplicated(1), &rules, last_reports);
}

#[test]
#[should_panic(expected = "no mutant detects the fault")]
fn no_mutant_fails_without_a_fault() {
    assert_quota_fault_detected::<()>("doubled", 30);
}
