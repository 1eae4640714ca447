//! Runs on sockets: real nodes between the lab's emulated clients and servers.

use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

const LAB: &str = env!("CARGO_BIN_EXE_shorepath-lab");
const ODENSE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/lab/odense.sexp");

/// Returns the path of the node's program, which is built if it does not exist.
fn node_program() -> PathBuf {
    let path = PathBuf::from(LAB).with_file_name("shorepath");
    if !path.exists() {
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
        let built = Command::new(env!("CARGO")).args(["build", "-p", "shorepath"]).current_dir(root).status();
        assert!(built.unwrap().success());
    }
    path
}

fn run_lab(args: &[&str]) -> Output {
    Command::new(LAB).args(args).arg("--program").arg(node_program()).output().unwrap()
}

fn parse_json(output: &Output) -> Value {
    let stderr = String::from_utf8_lossy(&output.stderr);
    serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {stderr}"))
}

/// The run is too short for the usual bound of 0.03.
#[test]
fn emulator_and_sockets_give_similar_service() {
    let args =
        ["agree", "--json", "--within", "0.1", "--set", "length=6 s", "--set", "arrivals.rate=30", ODENSE];
    let output = run_lab(&args);
    let result = parse_json(&output);
    assert_eq!(output.status.code(), Some(0), "{result}");
    assert!(result[0]["sockets"].as_f64().unwrap() > 0.7, "{result}");
}

/// Guards against broken rules while servers die, drain, fail jobs and stall, and one tenant sends too much.
#[test]
fn real_nodes_keep_the_rules_under_faults() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("sockets");
    std::fs::create_dir_all(&dir).unwrap();
    let scenario = std::fs::read_to_string(ODENSE).unwrap();
    let without_faults = &scenario[..scenario.find("  (fault").unwrap()];
    let faults = "(fault crash (at 1 s) (for 2 s) (part 0.3)) (fault shrink (at 2 s) (for 3 s) (part 0.3) (drain 1 s))
        (fault pause (at 3 s) (for 1 s) (part 0.3)) (fault bad-release (at 1 s) (for 4 s) (part 0.3) (size 0.3))
        (fault flood (at 4 s) (for 2 s) (tenant sjaelland-syd) (size 5)) (fault silence (at 1 s) (for 2 s))";
    let file = dir.join("faults.sexp");
    std::fs::write(&file, format!("{without_faults}\n{faults})")).unwrap();
    let output = run_lab(&["load", "--json", "--set", "length=7 s", file.to_str().unwrap()]);
    let played = parse_json(&output);
    let report = &played["report"];
    assert_eq!(report["broken"], 0, "{}", report["violations"]);
    let counts = &report["counts"];
    assert!(counts["asked"].as_u64().unwrap() > 200, "{counts}");
    assert_eq!(counts["lost"], 0, "{counts}");
    let statuses: Vec<&str> =
        report["endings"].as_array().unwrap().iter().filter_map(|e| e["name"].as_str()).collect();
    assert!(statuses.contains(&"reset") && statuses.contains(&"error"), "{statuses:?}");
}

/// Guards against reporting the lab's own lag as latency of the node.
#[test]
fn a_lab_that_sends_too_late_reports_it_and_withholds_latencies() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("late");
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("late.sexp");
    let text = "(scenario (length 1 s) (arrivals (rate 1) (burst (at 500 ms) (count 4000)))
        (class any (work 10 ms) (give-up 2 s)))";
    std::fs::write(&file, text).unwrap();
    let played = parse_json(&run_lab(&["load", "--json", file.to_str().unwrap()]));
    assert_eq!(played["late"], true, "{}", played["lag"]);
    assert!(played["report"]["latency"].as_array().unwrap().iter().all(|l| *l == 0.0));
    assert!(played["report"]["cdf"].as_array().unwrap().is_empty());
}

#[test]
fn unsupported_scenarios_are_rejected() {
    for (set, message) in [
        ("policy=random", "the policy random runs in the emulator only"),
        ("arrivals.rate=1000000", "the scenario needs 40000000 requests"),
        ("fault=cut (at 1 s)", "the fault cut is not supported on loopback sockets"),
    ] {
        let output = run_lab(&["load", "--set", set, ODENSE]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{stderr}");
        assert!(stderr.contains(message), "{stderr}");
    }
    let output = Command::new(LAB).args(["load", "--program", "/nowhere", ODENSE]).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere: No such file"), "{output:?}");
}

/// Guards against a node that limits a server's throughput to one job per round trip.
#[test]
fn a_node_reaches_most_of_the_throughput_of_a_single_server() {
    let result = parse_json(&run_lab(&["lone", "--json", "--seconds", "2"]));
    let (direct, through) = (result["direct"].as_f64().unwrap(), result["through"].as_f64().unwrap());
    assert!(through > 0.6 * direct, "{result}");
    assert!(result["denied"].as_f64().unwrap() < 0.01, "{result}");
}
