//! Tests that all errors of a file are reported at once, with their positions.

use rstest::rstest;
use shorepath_sexp::{read, Form};

#[derive(Debug, PartialEq)]
struct Config {
    length: i64,
    nodes: u64,
    lag: (i64, i64),
    policy: String,
    faults: Vec<(String, f64)>,
}

fn build(f: &Form) -> Config {
    let faults = f.many("fault");
    Config {
        length: f.time("length", 1_000_000, 1..=60_000_000),
        nodes: f.count("nodes", 1, 1..=100),
        lag: f.time_range("lag", (0, 0), 0..=10_000_000),
        policy: f.choice("policy", "rfq", &["rfq", "random"]),
        faults: faults
            .iter()
            .map(|f| {
                let fault = (f.symbol("a name"), f.number("part", 1.0, 0.0..=1.0));
                f.finish();
                fault
            })
            .collect(),
    }
}

#[test]
fn a_valid_file_is_parsed() {
    let text = "; a comment\n(test (length 2.5 s) (nodes 4) (lag 1 3 ms) (fault crash (part 0.5)))";
    let config = read("f", text, "test", build).unwrap();
    let faults = vec![("crash".to_string(), 0.5)];
    let expected = Config { length: 2_500_000, nodes: 4, lag: (1_000, 3_000), policy: "rfq".into(), faults };
    assert_eq!(config, expected);
}

#[rstest]
#[case::empty("", &["1:1: the file is empty; it must contain (test ...)"])]
#[case::unclosed_list("(test (nodes 2)", &["1:15: the text can't be parsed: EOF while parsing a list"])]
#[case::other_head("(best)", &["1:1: expected (test ...), found (best)"])]
#[case::atom("17", &["1:1: 17 is not a list of the form (symbol ...)"])]
#[case::list_without_head("(test (3 4))", &["1:7: (3 4) is not expected in (test); remove it"])]
#[case::second_list("(test)\n (test)", &["2:2: a second list; the file holds one, (test ...)"])]
#[case::typo("(test (node 3))", &["1:7: node is not known in (test); did you mean nodes?"])]
#[case::unknown_name("(test\n  (zebra 3))", &["2:3: zebra is not known in (test); known: fault, length, nodes, lag, policy"])]
#[case::missing_unit("(test (length 3))", &["1:15: (length) needs a unit of time at its end: us, ms, s, min, h"])]
#[case::too_long("(test (length 2 h))", &["1:7: (length) must be from 1 us to 1 min, not 2 h"])]
#[case::negative("(test (length -1 s))", &["1:15: -1 is out of range: (length) must be from 0 to 1000000000"])]
#[case::fraction("(test (nodes 1.5))", &["1:7: (nodes) must be a whole number, not 1.5"])]
#[case::symbol_for_number("(test (nodes many))", &["1:14: many is no number for (nodes)"])]
#[case::too_many_numbers("(test (nodes 1 2))", &["1:7: (nodes) must have 1 number(s), but has 2"])]
#[case::list_given_twice("(test (nodes 1)\n(nodes 1))", &["2:1: (nodes) is given twice; first in line 1"])]
#[case::reversed_range("(test (lag 3 1 s))", &["1:7: (lag) must have the lower bound first, then the upper bound"])]
#[case::unknown_choice("(test (policy rqf))", &["1:15: rqf is not known in (policy); did you mean rfq?"])]
#[case::not_a_number("(test (nodes +nan.0))", &["1:14: +nan.0 is no number for (nodes)"])]
#[case::several_errors("(test (nodes 0) (fault) (fault a (part 2) x))", &[
    "1:14: 0 is out of range: (nodes) must be from 1 to 100",
    "1:17: (fault) needs a name",
    "1:40: 2 is out of range: (part) must be from 0 to 1",
    "1:43: x is not expected in (fault); remove it",
])]
fn each_error_is_reported_with_its_position(#[case] text: &str, #[case] expected: &[&str]) {
    let errors = read("f", text, "test", build).unwrap_err();
    let message = errors.to_string();
    let lines: Vec<&str> = message.lines().map(|l| l.strip_prefix("f:").unwrap()).collect();
    assert_eq!(lines, expected);
}
