//! The operator's file: read as it is meant, or told where it can't be.

use rstest::rstest;
use shorepath_budgets::file::{read, Budget, Per};

const EXAMPLE: &str = include_str!("../../../examples/budgets.sexp");

#[test]
fn the_example_is_read_as_it_is_meant() {
    let plan = read("budgets.sexp", EXAMPLE).unwrap();
    assert_eq!((plan.nodes, plan.term, plan.drift_ppm), (300, 5_000_000, 500));
    let flight = plan.budgets.iter().find(|b| b.name == "flight:actuator-cmd").unwrap();
    let per = Per::Moment { longest: 5_000_000 };
    let wanted = Budget { name: flight.name.clone(), per, whole: 1200, floor: 1, reserve: 1 };
    assert_eq!(*flight, wanted);
    assert_eq!(plan.left(flight), Ok(600));
    // What was begun under a grant runs on: its units are back that much later.
    let quota = &plan.budgets[0];
    assert!(plan.term_of(flight).of_divider() - plan.term_of(quota).of_divider() >= 5_000_000);
    assert_eq!(plan.term_of(flight).of_holder(), plan.term_of(quota).of_holder());
}

#[rstest]
#[case::floors("(budgets (nodes 10)\n  (budget a (whole 19) (floor 1) (reserve 1)))", "2:3", "floors")]
#[case::no_whole("(budgets\n\n (budget a))", "3:2", "whole")]
#[case::twice("(budgets (budget a (whole 1))\n (budget a (whole 1)))", "2:2", "twice")]
#[case::longest("(budgets\n (budget a (per moment) (whole 1)))", "2:2", "longest")]
#[case::none("(budgets (nodes 2))", "1:1", "needs a (budget NAME ...)")]
#[case::unknown("(budgets\n (budget a (whole 1) (flor 1)))", "2:", "did you mean floor?")]
#[case::number("(budgets (budget a (whole -1)))", "1:", "out of range")]
fn a_file_that_cannot_be_used_says_where(#[case] text: &str, #[case] place: &str, #[case] why: &str) {
    let told = read("b.sexp", text).unwrap_err().to_string();
    assert!(told.contains(&format!("b.sexp:{place}")) && told.contains(why), "{told}");
}
