//! The program as its users run it: the same rows whatever the threads, whole after a kill, and a clear word
//! about every file that can't be used.

use rstest::rstest;
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

const LAB: &str = env!("CARGO_BIN_EXE_shorepath-lab");
const ODENSE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/lab/odense.sexp");

/// A folder of a test's own, empty.
fn folder(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

fn lab(words: &[&str]) -> Output {
    Command::new(LAB).args(words).output().unwrap()
}

fn text(path: impl AsRef<Path>) -> String {
    fs::read_to_string(path).unwrap()
}

/// An experiment of 12 runs in a folder, and its file.
fn experiment(dir: &Path, more: &str) -> String {
    let path = dir.join("e.sexp");
    let text = format!(
        "(experiment (name e) (scenario \"{ODENSE}\") (set length 5 s) (replications 3) (seed 4)
           (vary (of servers count) (over 8 10)) (vary policy (over rfq peak-ewma)) {more})"
    );
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn sweep(file: &str, out: &Path, threads: &str) -> Output {
    lab(&["sweep", file, "--out", out.to_str().unwrap(), "--threads", threads])
}

#[test]
fn rows_are_the_same_to_the_byte_whatever_the_threads() {
    let dir = folder("threads");
    let file = experiment(&dir, "");
    let rows = |threads: &str| {
        let out = dir.join(threads);
        let done = sweep(&file, &out, threads);
        assert!(done.status.success(), "{done:?}");
        (text(out.join("rows.jsonl")), text(out.join("rows.csv")))
    };
    let one = rows("1");
    assert_eq!(one, rows("3"));
    assert_eq!(one.0.lines().count(), 13);
    assert!(one.1.starts_with("servers.count,policy,replication,seed,score,service,"));
    // Policies meet the same requests: common random numbers.
    let json: Vec<serde_json::Value> =
        one.0.lines().skip(1).map(|l| serde_json::from_str(l).unwrap()).collect();
    let load = |k: usize| json[k]["figures"][9].clone();
    assert_eq!((load(0), load(1)), (load(3), load(4)));
    assert_ne!(load(0), load(1));
}

/// Cut off anywhere, even inside a row, a sweep goes on and ends as an unbroken one does.
#[test]
fn a_sweep_that_was_killed_goes_on_to_the_same_rows() {
    let dir = folder("killed");
    let file = experiment(&dir, "");
    let (whole, torn) = (dir.join("whole"), dir.join("torn"));
    assert!(sweep(&file, &whole, "2").status.success());
    let wanted = text(whole.join("rows.jsonl"));
    for cut in [0, 10, wanted.find('\n').unwrap() + 1, wanted.len() / 2, wanted.len() - 1, wanted.len()] {
        let _ = fs::remove_dir_all(&torn);
        fs::create_dir_all(&torn).unwrap();
        fs::write(torn.join("rows.jsonl"), &wanted[..cut]).unwrap();
        let done = sweep(&file, &torn, "2");
        assert!(done.status.success(), "cut at {cut}: {done:?}");
        assert_eq!(text(torn.join("rows.jsonl")), wanted, "cut at {cut}");
        assert_eq!(text(torn.join("rows.csv")), text(whole.join("rows.csv")));
    }
}

/// The same with a real kill, as soon as the first rows are there.
#[test]
fn a_real_kill_loses_no_row() {
    let dir = folder("really-killed");
    let file = experiment(&dir, "(set length 60 s)");
    let out = dir.join("out");
    let words = ["sweep", &file, "--out", out.to_str().unwrap(), "--threads", "1"];
    let mut child = Command::new(LAB).args(words).stdout(Stdio::null()).spawn().unwrap();
    let rows = out.join("rows.jsonl");
    let begun = || fs::read(&rows).is_ok_and(|r| r.iter().filter(|b| **b == b'\n').count() > 1);
    while !begun() && child.try_wait().unwrap().is_none() {
        std::thread::yield_now();
    }
    child.kill().unwrap();
    child.wait().unwrap();
    let before = text(&rows);
    assert!(sweep(&file, &out, "2").status.success());
    let kept = &before[..before.rfind('\n').unwrap() + 1];
    assert!(text(&rows).starts_with(kept));
    let whole = dir.join("whole");
    assert!(sweep(&file, &whole, "2").status.success());
    assert_eq!(text(&rows), text(whole.join("rows.jsonl")));
}

#[test]
fn rows_of_another_experiment_are_left_alone() {
    let dir = folder("others");
    let out = dir.join("out");
    assert!(sweep(&experiment(&dir, ""), &out, "2").status.success());
    let before = text(out.join("rows.jsonl"));
    let done = sweep(&experiment(&dir, "(set policy random)"), &out, "2");
    assert!(!done.status.success());
    assert!(String::from_utf8_lossy(&done.stderr).contains("rows of another experiment"), "{done:?}");
    assert_eq!(text(out.join("rows.jsonl")), before);
    // A whole line that makes no sense is named, not skipped.
    let lines: Vec<&str> = before.lines().collect();
    fs::write(out.join("rows.jsonl"), format!("{}\n{{}}\n{}\n", lines[0], lines[1])).unwrap();
    let done = sweep(&experiment(&dir, ""), &out, "2");
    assert!(String::from_utf8_lossy(&done.stderr).contains("rows.jsonl, line 2: missing field"), "{done:?}");
}

#[rstest]
#[case::class("(scenario)", "1:1: a scenario needs a (class NAME ...)")]
#[case::unit("(scenario (class a) (length 3))", "1:29: (length) needs a unit of time")]
#[case::policy("(scenario (class a) (policy rqf))", "1:29: rqf is not known in (policy); did you mean rfq?")]
#[case::nodes("(scenario (class a) (nodes (count 0)))", "1:35: 0 is out of range")]
#[case::trouble("(scenario (class a)\n (fault cash))", "2:2: cash is no trouble; known: crash, pause")]
#[case::tenant("(scenario (class a) (fault flood (tenant b)))", "b is not known in (tenant)")]
#[case::zone("(scenario (class a) (fault zone-loss))", "1:21: a zone-loss needs (zone NAME)")]
#[case::share("(scenario (class a (share -1)))", "1:27: -1 is out of range")]
#[case::twice("(scenario (class a) (class a))", "1:21: a is named twice")]
#[case::unknown(
    "(scenario (class a) (server (count 3)))",
    "1:21: server is not known in (scenario); did you mean servers?"
)]
#[case::inner(
    "(scenario (class a) (servers (kind k (speeds 1))))",
    "1:38: speeds is not known in (kind); did you mean speed?"
)]
#[case::both("(scenario (class a (worth x))\n (length -3 s))", "2:10: -3 is out of range")]
#[case::no_list("scenario", "1:1: scenario is not a list")]
#[case::experiment("(experiment (replications 0))", "1:27: 0 is out of range")]
#[case::figure("(experiment (scenario s) (show scare))", "1:1: scare is no figure; known: score")]
#[case::over("(experiment (scenario s) (vary policy))", "1:26: (vary ...) needs (over VALUE ...)")]
#[case::file("(experiment (scenario nowhere.sexp))", "nowhere.sexp: No such file")]
fn a_file_that_cannot_be_used_is_told_why(#[case] file: &str, #[case] wanted: &str) {
    let dir = folder(&format!("bad-{:x}", shorepath_scheduler::name_hash(file)));
    let path = dir.join("f.sexp");
    fs::write(&path, file).unwrap();
    let done = lab(&["check", path.to_str().unwrap()]);
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!(done.status.code(), Some(1), "{told}");
    assert!(told.contains(wanted), "{told}");
    assert!(!told.contains("panicked"), "{told}");
}

#[test]
fn a_point_of_the_grid_that_makes_no_scenario_is_named() {
    let dir = folder("grid");
    let file = experiment(&dir, "(vary (of clients patience) (over 1 2))");
    let done = lab(&["check", &file]);
    let told = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(told.contains("with servers.count = 8, policy = rfq, clients.patience = 2:\n"), "{told}");
    assert!(told.contains("2 is out of range: (patience) must be from 0.001 to 1"), "{told}");
}

#[test]
fn a_run_is_repeated_to_the_byte_and_a_page_stands_alone() {
    let dir = folder("page");
    let json = || lab(&["run", "--json", "--set", "length=5 s", ODENSE]).stdout;
    assert_eq!(json(), json());
    let page = dir.join("page.html");
    let words = ["report", ODENSE, "--policy", "rfq", "--policy", "random", "--out", page.to_str().unwrap()];
    assert!(lab(&words).status.success());
    let page = text(page);
    assert_eq!(page.matches("<svg").count(), 2, "a plot of the service and one of the latency");
    assert!(page.contains("<td>rfq</td>") && page.contains("<td>random</td>"));
    assert!(!page.contains("src=") && !page.contains("href="), "the page needs other files");
    let plots = dir.join("plots");
    assert!(lab(&["plot", ODENSE, "--out", plots.to_str().unwrap()]).status.success());
    assert!(text(plots.join("latency.svg")).contains("</svg>"));
}

#[test]
fn a_comparison_says_when_nothing_is_shown() {
    let words = ["compare", ODENSE, "--set", "length=5 s", "--replications", "3", "--figure", "service"];
    let told = String::from_utf8(lab(&words).stdout).unwrap();
    assert!(told.contains("(3 pairs)"), "{told}");
    let words = ["compare", ODENSE, ODENSE, "--replications", "2", "--figure", "service"];
    let told = String::from_utf8(lab(&words).stdout).unwrap();
    assert!(told.contains("+0.0000 ± 0.0000 (2 pairs): no difference shown"), "{told}");
    for bad in [vec!["compare", ODENSE], vec!["compare", ODENSE, ODENSE, "--replications", "1"]] {
        assert_eq!(lab(&bad).status.code(), Some(1));
    }
}

/// A pipe that nobody reads any more is no reason for a panic.
#[test]
fn a_reader_that_leaves_early_is_no_panic() {
    let mut child = Command::new(LAB)
        .args(["run", "--json", "--set", "length=5 s", ODENSE])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut first = [0; 1];
    child.stdout.take().unwrap().read_exact(&mut first).unwrap();
    let mut told = String::new();
    child.stderr.take().unwrap().read_to_string(&mut told).unwrap();
    child.wait().unwrap();
    assert!(!told.contains("panicked"), "{told}");
}
