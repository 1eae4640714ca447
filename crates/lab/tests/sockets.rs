//! The lab's stand-ins with real nodes between them.

use serde_json::Value;
use std::path::PathBuf;
use std::process::{Command, Output};

const LAB: &str = env!("CARGO_BIN_EXE_shorepath-lab");
const ODENSE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/lab/odense.sexp");

/// The node's program, built if a test of this package alone has not done so.
fn node() -> PathBuf {
    let path = PathBuf::from(LAB).with_file_name("shorepath");
    if !path.exists() {
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
        let built = Command::new(env!("CARGO")).args(["build", "-p", "shorepath"]).current_dir(root).status();
        assert!(built.unwrap().success());
    }
    path
}

fn lab(words: &[&str]) -> Output {
    Command::new(LAB).args(words).arg("--program").arg(node()).output().unwrap()
}

fn json(output: &Output) -> Value {
    let told = String::from_utf8_lossy(&output.stderr);
    serde_json::from_slice(&output.stdout).unwrap_or_else(|e| panic!("{e}: {told}"))
}

/// A short calm spell: both give about the same service. It is too short for the 0.03 that longer ones are held to.
#[test]
fn emulator_and_sockets_agree() {
    let words =
        ["agree", "--json", "--within", "0.1", "--set", "length=6 s", "--set", "arrivals.rate=30", ODENSE];
    let output = lab(&words);
    let told = json(&output);
    assert_eq!(output.status.code(), Some(0), "{told}");
    assert!(told[0]["sockets"].as_f64().unwrap() > 0.7, "{told}");
}

/// Servers die, drain, fail jobs and stand still, while one tenant floods: the nodes keep the rules.
#[test]
fn real_nodes_keep_the_rules_under_faults() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("sockets");
    std::fs::create_dir_all(&dir).unwrap();
    let odense = std::fs::read_to_string(ODENSE).unwrap();
    let calm = &odense[..odense.find("  (fault").unwrap()];
    let faults = "(fault crash (at 1 s) (for 2 s) (part 0.3)) (fault shrink (at 2 s) (for 3 s) (part 0.3) (drain 1 s))
        (fault pause (at 3 s) (for 1 s) (part 0.3)) (fault bad-release (at 1 s) (for 4 s) (part 0.3) (size 0.3))
        (fault flood (at 4 s) (for 2 s) (tenant sjaelland-syd) (size 5)) (fault silence (at 1 s) (for 2 s))";
    let file = dir.join("faults.sexp");
    std::fs::write(&file, format!("{calm}\n{faults})")).unwrap();
    let output = lab(&["load", "--json", "--set", "length=7 s", file.to_str().unwrap()]);
    let played = json(&output);
    let report = &played["report"];
    assert_eq!(report["broken"], 0, "{}", report["violations"]);
    let counts = &report["counts"];
    assert!(counts["asked"].as_u64().unwrap() > 200, "{counts}");
    assert_eq!(counts["lost"], 0, "{counts}");
    let met: Vec<&str> =
        report["endings"].as_array().unwrap().iter().filter_map(|e| e["name"].as_str()).collect();
    assert!(met.contains(&"reset") && met.contains(&"error"), "{met:?}");
}

/// Clients that outrun the machine are told of, and their lag is no latency of the node's.
#[test]
fn a_lab_that_cannot_keep_up_says_so() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("late");
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("late.sexp");
    let text = "(scenario (length 1 s) (arrivals (rate 1) (burst (at 500 ms) (count 4000)))
        (class any (work 10 ms) (give-up 2 s)))";
    std::fs::write(&file, text).unwrap();
    let played = json(&lab(&["load", "--json", file.to_str().unwrap()]));
    assert_eq!(played["late"], true, "{}", played["lag"]);
    assert!(played["report"]["latency"].as_array().unwrap().iter().all(|l| *l == 0.0));
    assert!(played["report"]["cdf"].as_array().unwrap().is_empty());
}

#[test]
fn what_sockets_cannot_play_is_refused() {
    for (set, wanted) in [
        ("policy=random", "the policy random is played by the emulator alone"),
        ("arrivals.rate=1000000", "it would take 40000000 requests"),
        ("fault=cut (at 1 s)", "a cut can't be played on loopback sockets"),
    ] {
        let output = lab(&["load", "--set", set, ODENSE]);
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{told}");
        assert!(told.contains(wanted), "{told}");
    }
    let output = Command::new(LAB).args(["load", "--program", "/nowhere", ODENSE]).output().unwrap();
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere: No such file"), "{output:?}");
}

/// A node that sent one job to a start's round trip served 415 jobs/s of 1,178 here.
#[test]
fn a_node_puts_no_ceiling_over_a_lone_server() {
    let told = json(&lab(&["lone", "--json", "--seconds", "2"]));
    let (direct, through) = (told["direct"].as_f64().unwrap(), told["through"].as_f64().unwrap());
    assert!(through > 0.6 * direct, "{told}");
    assert!(told["denied"].as_f64().unwrap() < 0.01, "{told}");
}
