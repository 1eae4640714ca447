//! The configuration file of budgets: parsed, or rejected with the place of each error.

use rstest::rstest;
use shorepath_quota::config::{read, Budget, Per};
use std::path::Path;

const EXAMPLE: &str = include_str!("../../../deploy/budgets.sexp");

#[test]
fn the_example_file_is_parsed() {
    let plan = read("budgets.sexp", EXAMPLE).unwrap();
    assert_eq!((plan.version, plan.nodes, plan.term, plan.drift_ppm), (1, 300, 5_000_000, 500));
    assert_eq!((plan.allocators.len(), plan.members.len()), (3, 2));
    let flight = plan.budgets.iter().find(|b| b.name == "flight:actuator-cmd").unwrap();
    let per = Per::Moment { longest: 5_000_000 };
    let expected = Budget { name: flight.name.clone(), per, total: 1200, floor: 1, reserve: 1 };
    assert_eq!(*flight, expected);
    assert_eq!(plan.shared_units(flight), Ok(600));
    // Jobs that started under a grant may run on after it expires, so its units are free again only later.
    let quota = &plan.budgets[0];
    assert!(
        plan.lease_period(flight).for_allocator() - plan.lease_period(quota).for_allocator() >= 5_000_000
    );
    assert_eq!(plan.lease_period(flight).for_holder(), plan.lease_period(quota).for_holder());
}

/// The replicated configuration must contain neither the path of the keys nor the name of the fleet.
#[rstest]
#[case("(key \"fleet.key\")", Some("/etc/shorepath/fleet.key"))]
#[case("(key \"/run/fleet.key\")", Some("/run/fleet.key"))]
#[case("", None)]
fn a_relative_key_path_is_relative_to_the_configuration_file(#[case] key: &str, #[case] path: Option<&str>) {
    let text = format!("(budgets (fleet tidal) {key} (budget probes (whole 1)))");
    let plan = read("/etc/shorepath/b.sexp", &text).unwrap();
    assert_eq!((plan.fleet.as_str(), plan.key.as_deref()), ("tidal", path.map(Path::new)));
    let encoded = serde_json::to_string(&plan).unwrap();
    assert!(!encoded.contains("tidal") && !encoded.contains("key"), "{encoded}");
}

#[rstest]
#[case::floors_above_total(
    "(budgets (nodes 10)\n  (budget probes (whole 19) (floor 1) (reserve 1)))",
    "2:3",
    "floors"
)]
#[case::missing_total("(budgets\n\n (budget probes))", "3:2", "whole")]
#[case::duplicate_budget("(budgets (budget probes (whole 1))\n (budget probes (whole 1)))", "2:2", "twice")]
#[case::missing_longest("(budgets\n (budget connections (per moment) (whole 1)))", "2:2", "longest")]
#[case::no_budgets("(budgets (nodes 2))", "1:1", "needs a (budget NAME ...)")]
#[case::misspelled_clause("(budgets\n (budget probes (whole 1) (flor 1)))", "2:", "did you mean floor?")]
#[case::unknown_budget_name("(budgets\n (budget qota:a (whole 1)))", "2:2", "is not the name of a budget")]
#[case::wrong_per("(budgets\n (budget probes (per moment) (whole 1) (longest 1 s)))", "2:2", "(per second)")]
#[case::invalid_address(
    "(budgets (divider d \"x\")\n (node n \"1.1.1.1:1\") (budget probes (whole 1)))",
    "1:10",
    "is not an address"
)]
#[case::duplicate_name(
    "(budgets (divider d \"1.1.1.1:1\")\n (node d \"1.1.1.1:2\") (budget probes (whole 1)))",
    "2:2",
    "given twice"
)]
#[case::duplicate_address(
    "(budgets (divider d \"1.1.1.1:1\")\n (node n \"1.1.1.1:1\") (budget probes (whole 1)))",
    "2:2",
    "the same address as d"
)]
#[case::nodes_without_allocators(
    "(budgets (node n \"1.1.1.1:1\") (budget probes (whole 1)))",
    "1:1",
    "both or neither"
)]
#[case::fewer_nodes_than_listed("(budgets (nodes 1) (divider d \"1.1.1.1:1\") (node n \"1.1.1.1:2\") (node m \"1.1.1.1:3\") (budget probes (whole 1)))", "1:1", "less than")]
#[case::key_range_without_node(
    "(budgets\n (budget home:west (per moment) (whole 1) (longest 1 s)))",
    "2:2",
    "is not the name of a budget"
)]
#[case::key_range_with_two_units(
    "(budgets\n (budget home:w/n (per moment) (whole 2) (longest 1 s)))",
    "2:2",
    "only one node may hold"
)]
#[case::key_range_per_second("(budgets\n (budget home:w/n (whole 1)))", "2:2", "(per moment)")]
#[case::negative_number("(budgets (budget probes (whole -1)))", "1:", "out of range")]
#[case::key_is_a_number(
    "(budgets (budget probes (whole 1))\n (key 5))",
    "2:7",
    "is not a symbol or string for a text"
)]
#[case::empty_key("(budgets (budget probes (whole 1))\n (key \"\"))", "2:2", "(key) needs a text")]
fn an_invalid_file_is_rejected_with_place_and_reason(
    #[case] text: &str,
    #[case] position: &str,
    #[case] reason: &str,
) {
    let message = read("b.sexp", text).unwrap_err().to_string();
    assert!(message.contains(&format!("b.sexp:{position}")) && message.contains(reason), "{message}");
}
