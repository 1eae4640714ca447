//! The operator's file: read as it is meant, or told where it can't be.

use rstest::rstest;
use shorepath_quota::config::{read, Budget, Per};
use std::path::Path;

const EXAMPLE: &str = include_str!("../../../deploy/budgets.sexp");

#[test]
fn the_example_is_read_as_it_is_meant() {
    let plan = read("budgets.sexp", EXAMPLE).unwrap();
    assert_eq!((plan.version, plan.nodes, plan.term, plan.drift_ppm), (1, 300, 5_000_000, 500));
    assert_eq!((plan.allocators.len(), plan.members.len()), (3, 2));
    let flight = plan.budgets.iter().find(|b| b.name == "flight:actuator-cmd").unwrap();
    let per = Per::Moment { longest: 5_000_000 };
    let wanted = Budget { name: flight.name.clone(), per, total: 1200, floor: 1, reserve: 1 };
    assert_eq!(*flight, wanted);
    assert_eq!(plan.shared_units(flight), Ok(600));
    // What was begun under a grant runs on: its units are back that much later.
    let quota = &plan.budgets[0];
    assert!(
        plan.lease_period(flight).for_allocator() - plan.lease_period(quota).for_allocator() >= 5_000_000
    );
    assert_eq!(plan.lease_period(flight).for_holder(), plan.lease_period(quota).for_holder());
}

/// A key lies where the file does, unless its path says otherwise; neither it nor the fleet's name is agreed on.
#[rstest]
#[case("(key \"fleet.key\")", Some("/etc/shorepath/fleet.key"))]
#[case("(key \"/run/fleet.key\")", Some("/run/fleet.key"))]
#[case("", None)]
fn a_key_lies_beside_the_file(#[case] key: &str, #[case] path: Option<&str>) {
    let text = format!("(budgets (fleet tidal) {key} (budget probes (whole 1)))");
    let plan = read("/etc/shorepath/b.sexp", &text).unwrap();
    assert_eq!((plan.fleet.as_str(), plan.key.as_deref()), ("tidal", path.map(Path::new)));
    let notified = serde_json::to_string(&plan).unwrap();
    assert!(!notified.contains("tidal") && !notified.contains("key"), "{notified}");
}

#[rstest]
#[case::floors("(budgets (nodes 10)\n  (budget probes (whole 19) (floor 1) (reserve 1)))", "2:3", "floors")]
#[case::no_whole("(budgets\n\n (budget probes))", "3:2", "whole")]
#[case::twice("(budgets (budget probes (whole 1))\n (budget probes (whole 1)))", "2:2", "twice")]
#[case::longest("(budgets\n (budget connections (per moment) (whole 1)))", "2:2", "longest")]
#[case::none("(budgets (nodes 2))", "1:1", "needs a (budget NAME ...)")]
#[case::unknown("(budgets\n (budget probes (whole 1) (flor 1)))", "2:", "did you mean floor?")]
#[case::nobody("(budgets\n (budget qota:a (whole 1)))", "2:2", "bounds nothing")]
#[case::per("(budgets\n (budget probes (per moment) (whole 1) (longest 1 s)))", "2:2", "(per second)")]
#[case::address(
    "(budgets (divider d \"x\")\n (node n \"1.1.1.1:1\") (budget probes (whole 1)))",
    "1:10",
    "no address"
)]
#[case::same_name(
    "(budgets (divider d \"1.1.1.1:1\")\n (node d \"1.1.1.1:2\") (budget probes (whole 1)))",
    "2:2",
    "given twice"
)]
#[case::same_place(
    "(budgets (divider d \"1.1.1.1:1\")\n (node n \"1.1.1.1:1\") (budget probes (whole 1)))",
    "2:2",
    "the address of d"
)]
#[case::nobody_divides("(budgets (node n \"1.1.1.1:1\") (budget probes (whole 1)))", "1:1", "come together")]
#[case::too_few("(budgets (nodes 1) (divider d \"1.1.1.1:1\") (node n \"1.1.1.1:2\") (node m \"1.1.1.1:3\") (budget probes (whole 1)))", "1:1", "less than")]
#[case::home_of_nobody(
    "(budgets\n (budget home:west (per moment) (whole 1) (longest 1 s)))",
    "2:2",
    "bounds nothing"
)]
#[case::home_of_two(
    "(budgets\n (budget home:w/n (per moment) (whole 2) (longest 1 s)))",
    "2:2",
    "held by one node"
)]
#[case::home_by_second("(budgets\n (budget home:w/n (whole 1)))", "2:2", "(per moment)")]
#[case::number("(budgets (budget probes (whole -1)))", "1:", "out of range")]
#[case::key("(budgets (budget probes (whole 1))\n (key 5))", "2:7", "is no word for a text")]
#[case::no_key("(budgets (budget probes (whole 1))\n (key \"\"))", "2:2", "(key) needs a text")]
fn a_file_that_cannot_be_used_says_where(#[case] text: &str, #[case] place: &str, #[case] why: &str) {
    let notified = read("b.sexp", text).unwrap_err().to_string();
    assert!(notified.contains(&format!("b.sexp:{place}")) && notified.contains(why), "{notified}");
}
