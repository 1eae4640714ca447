//! Every fault of a file is named with its place, all in one reading.

use rstest::rstest;
use shorepath_sexp::{read, Form};

#[derive(Debug, PartialEq)]
struct Read {
    length: i64,
    nodes: u64,
    lag: (i64, i64),
    policy: String,
    faults: Vec<(String, f64)>,
}

fn build(f: &Form) -> Read {
    let faults = f.many("fault");
    Read {
        length: f.time("length", 1_000_000, 1..=60_000_000),
        nodes: f.count("nodes", 1, 1..=100),
        lag: f.time_range("lag", (0, 0), 0..=10_000_000),
        policy: f.choice("policy", "rfq", &["rfq", "random"]),
        faults: faults
            .iter()
            .map(|f| {
                let read = (f.symbol("a name"), f.number("part", 1.0, 0.0..=1.0));
                f.finish();
                read
            })
            .collect(),
    }
}

#[test]
fn a_good_file_is_read() {
    let text = "; a comment\n(test (length 2.5 s) (nodes 4) (lag 1 3 ms) (fault crash (part 0.5)))";
    let read = read("f", text, "test", build).unwrap();
    let faults = vec![("crash".to_string(), 0.5)];
    let wanted = Read { length: 2_500_000, nodes: 4, lag: (1_000, 3_000), policy: "rfq".into(), faults };
    assert_eq!(read, wanted);
}

#[rstest]
#[case::empty("", &["1:1: is empty; it needs (test ...)"])]
#[case::open("(test (nodes 2)", &["1:15: can't be read: EOF while parsing a list"])]
#[case::other("(best)", &["1:1: (best) stands where (test ...) is needed"])]
#[case::atom("17", &["1:1: 17 is no list of the form (word ...)"])]
#[case::headless("(test (3 4))", &["1:7: (3 4) is too much for (test)"])]
#[case::two("(test)\n (test)", &["2:2: a second list; the file holds one, (test ...)"])]
#[case::typo("(test (node 3))", &["1:7: node is not known in (test); did you mean nodes?"])]
#[case::alien("(test\n  (zebra 3))", &["2:3: zebra is not known in (test); known: fault, length, nodes, lag, policy"])]
#[case::unit("(test (length 3))", &["1:15: (length) needs a unit of time at its end: us, ms, s, min, h"])]
#[case::long("(test (length 2 h))", &["1:7: (length) lies in 1 us to 1 min, not 2 h"])]
#[case::negative("(test (length -1 s))", &["1:15: -1 is out of range: (length) lies in 0 to 1000000000"])]
#[case::part("(test (nodes 1.5))", &["1:7: (nodes) is a whole number, not 1.5"])]
#[case::word("(test (nodes many))", &["1:14: many is no number for (nodes)"])]
#[case::many("(test (nodes 1 2))", &["1:7: (nodes) needs 1 figures and has 2"])]
#[case::twice("(test (nodes 1)\n(nodes 1))", &["2:1: (nodes) is given twice; first in line 1"])]
#[case::backwards("(test (lag 3 1 s))", &["1:7: (lag) begins above its end"])]
#[case::choice("(test (policy rqf))", &["1:15: rqf is not known in (policy); did you mean rfq?"])]
#[case::nan("(test (nodes +nan.0))", &["1:14: +nan.0 is no number for (nodes)"])]
#[case::all("(test (nodes 0) (fault) (fault a (part 2) x))", &[
    "1:14: 0 is out of range: (nodes) lies in 1 to 100",
    "1:17: (fault) needs a name",
    "1:40: 2 is out of range: (part) lies in 0 to 1",
    "1:43: x is too much for (fault)",
])]
fn every_fault_is_named_with_its_place(#[case] text: &str, #[case] wanted: &[&str]) {
    let complaints = read("f", text, "test", build).unwrap_err();
    let notified = complaints.to_string();
    let notified: Vec<&str> = notified.lines().map(|l| l.strip_prefix("f:").unwrap()).collect();
    assert_eq!(notified, wanted);
}
