//! Tests of the command line program: reproducible rows for any number of threads, resumption after a kill,
//! and error messages for invalid files.

use rstest::rstest;
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

const LAB: &str = env!("CARGO_BIN_EXE_shorepath-lab");
const ODENSE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/lab/odense.sexp");

/// Creates an empty folder for one test.
fn empty_folder(name: &str) -> PathBuf {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir).unwrap();
    dir
}

fn run_lab(arguments: &[&str]) -> Output {
    Command::new(LAB).args(arguments).output().unwrap()
}

fn read_text(path: impl AsRef<Path>) -> String {
    fs::read_to_string(path).unwrap()
}

/// Writes an experiment of 12 runs to a folder and returns the path of its file.
fn write_experiment(dir: &Path, more: &str) -> String {
    let path = dir.join("e.sexp");
    let text = format!(
        "(experiment (name e) (scenario \"{ODENSE}\") (set length 5 s) (replications 3) (seed 4)
           (vary (of servers count) (over 8 10)) (vary policy (over rfq peak-ewma)) {more})"
    );
    fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn sweep(file: &str, out: &Path, threads: &str) -> Output {
    run_lab(&["sweep", file, "--out", out.to_str().unwrap(), "--threads", threads])
}

#[test]
fn rows_are_identical_for_any_number_of_threads() {
    let dir = empty_folder("threads");
    let file = write_experiment(&dir, "");
    let rows = |threads: &str| {
        let out = dir.join(threads);
        let done = sweep(&file, &out, threads);
        assert!(done.status.success(), "{done:?}");
        (read_text(out.join("rows.jsonl")), read_text(out.join("rows.csv")))
    };
    let one = rows("1");
    assert_eq!(one, rows("3"));
    assert_eq!(one.0.lines().count(), 13);
    assert!(one.1.starts_with("servers.count,policy,replication,seed,score,service,"));
    // All policies receive the same requests (common random numbers).
    let json: Vec<serde_json::Value> =
        one.0.lines().skip(1).map(|l| serde_json::from_str(l).unwrap()).collect();
    let load = |k: usize| json[k]["figures"][9].clone();
    assert_eq!((load(0), load(1)), (load(3), load(4)));
    assert_ne!(load(0), load(1));
}

/// The file of rows may be truncated at any byte, also within a row.
#[test]
fn sweep_resumes_from_truncated_rows_with_the_same_result() {
    let dir = empty_folder("killed");
    let file = write_experiment(&dir, "");
    let (uninterrupted, resumed) = (dir.join("whole"), dir.join("torn"));
    assert!(sweep(&file, &uninterrupted, "2").status.success());
    let expected = read_text(uninterrupted.join("rows.jsonl"));
    for cut in
        [0, 10, expected.find('\n').unwrap() + 1, expected.len() / 2, expected.len() - 1, expected.len()]
    {
        let _ = fs::remove_dir_all(&resumed);
        fs::create_dir_all(&resumed).unwrap();
        fs::write(resumed.join("rows.jsonl"), &expected[..cut]).unwrap();
        let done = sweep(&file, &resumed, "2");
        assert!(done.status.success(), "cut at {cut}: {done:?}");
        assert_eq!(read_text(resumed.join("rows.jsonl")), expected, "cut at {cut}");
        assert_eq!(read_text(resumed.join("rows.csv")), read_text(uninterrupted.join("rows.csv")));
    }
}

/// Kills the process as soon as it has written the first rows.
#[test]
fn killed_sweep_loses_no_complete_row() {
    let dir = empty_folder("really-killed");
    let file = write_experiment(&dir, "(set length 60 s)");
    let out = dir.join("out");
    let arguments = ["sweep", &file, "--out", out.to_str().unwrap(), "--threads", "1"];
    let mut child = Command::new(LAB).args(arguments).stdout(Stdio::null()).spawn().unwrap();
    let rows = out.join("rows.jsonl");
    let has_rows = || fs::read(&rows).is_ok_and(|r| r.iter().filter(|b| **b == b'\n').count() > 1);
    while !has_rows() && child.try_wait().unwrap().is_none() {
        std::thread::yield_now();
    }
    child.kill().unwrap();
    child.wait().unwrap();
    let before = read_text(&rows);
    assert!(sweep(&file, &out, "2").status.success());
    let kept = &before[..before.rfind('\n').unwrap() + 1];
    assert!(read_text(&rows).starts_with(kept));
    let uninterrupted = dir.join("whole");
    assert!(sweep(&file, &uninterrupted, "2").status.success());
    assert_eq!(read_text(&rows), read_text(uninterrupted.join("rows.jsonl")));
}

#[test]
fn rows_of_another_experiment_are_not_overwritten() {
    let dir = empty_folder("others");
    let out = dir.join("out");
    assert!(sweep(&write_experiment(&dir, ""), &out, "2").status.success());
    let before = read_text(out.join("rows.jsonl"));
    let done = sweep(&write_experiment(&dir, "(set policy random)"), &out, "2");
    assert!(!done.status.success());
    assert!(String::from_utf8_lossy(&done.stderr).contains("rows of another experiment"), "{done:?}");
    assert_eq!(read_text(out.join("rows.jsonl")), before);
    // An invalid complete line is reported instead of skipped.
    let lines: Vec<&str> = before.lines().collect();
    fs::write(out.join("rows.jsonl"), format!("{}\n{{}}\n{}\n", lines[0], lines[1])).unwrap();
    let done = sweep(&write_experiment(&dir, ""), &out, "2");
    assert!(String::from_utf8_lossy(&done.stderr).contains("rows.jsonl, line 2: missing field"), "{done:?}");
}

#[rstest]
#[case::class("(scenario)", "1:1: a scenario needs a (class NAME ...)")]
#[case::unit("(scenario (class a) (length 3))", "1:29: (length) needs a unit of time")]
#[case::policy("(scenario (class a) (policy rqf))", "1:29: rqf is not known in (policy); did you mean rfq?")]
#[case::nodes("(scenario (class a) (nodes (count 0)))", "1:35: 0 is out of range")]
#[case::fault_kind(
    "(scenario (class a)\n (fault cash))",
    "2:2: cash is not a known fault; known: crash, pause"
)]
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
#[case::figure("(experiment (scenario s) (show scare))", "1:1: scare is not a known figure; known: score")]
#[case::over("(experiment (scenario s) (vary policy))", "1:26: (vary ...) needs (over VALUE ...)")]
#[case::file("(experiment (scenario nowhere.sexp))", "nowhere.sexp: No such file")]
fn invalid_file_is_reported_with_its_error(#[case] file: &str, #[case] expected: &str) {
    let dir = empty_folder(&format!("bad-{:x}", shorepath_scheduler::name_hash(file)));
    let path = dir.join("f.sexp");
    fs::write(&path, file).unwrap();
    let done = run_lab(&["check", path.to_str().unwrap()]);
    let output = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!(done.status.code(), Some(1), "{output}");
    assert!(output.contains(expected), "{output}");
    assert!(!output.contains("panicked"), "{output}");
}

#[test]
fn invalid_grid_point_is_reported_with_its_values() {
    let dir = empty_folder("grid");
    let file = write_experiment(&dir, "(vary (of clients patience) (over 1 2))");
    let done = run_lab(&["check", &file]);
    let output = String::from_utf8_lossy(&done.stderr).into_owned();
    assert!(output.contains("with servers.count = 8, policy = rfq, clients.patience = 2:\n"), "{output}");
    assert!(output.contains("2 is out of range: (patience) must be from 0.001 to 1"), "{output}");
}

#[test]
fn runs_are_reproducible_and_reports_are_self_contained() {
    let dir = empty_folder("page");
    let json = || run_lab(&["run", "--json", "--set", "length=5 s", ODENSE]).stdout;
    assert_eq!(json(), json());
    let page = dir.join("page.html");
    let arguments =
        ["report", ODENSE, "--policy", "rfq", "--policy", "random", "--out", page.to_str().unwrap()];
    assert!(run_lab(&arguments).status.success());
    let page = read_text(page);
    assert_eq!(page.matches("<svg").count(), 2, "a plot of the service and one of the latency");
    assert!(page.contains("<td>rfq</td>") && page.contains("<td>random</td>"));
    assert!(!page.contains("src=") && !page.contains("href="), "the page needs other files");
    let plots = dir.join("plots");
    assert!(run_lab(&["plot", ODENSE, "--out", plots.to_str().unwrap()]).status.success());
    assert!(read_text(plots.join("latency.svg")).contains("</svg>"));
}

#[test]
fn comparison_reports_when_no_difference_is_significant() {
    let arguments = ["compare", ODENSE, "--set", "length=5 s", "--replications", "3", "--figure", "service"];
    let output = String::from_utf8(run_lab(&arguments).stdout).unwrap();
    assert!(output.contains("(3 pairs)"), "{output}");
    let arguments = ["compare", ODENSE, ODENSE, "--replications", "2", "--figure", "service"];
    let output = String::from_utf8(run_lab(&arguments).stdout).unwrap();
    assert!(output.contains("+0.0000 ± 0.0000 (2 pairs): no difference shown"), "{output}");
    for invalid in [vec!["compare", ODENSE], vec!["compare", ODENSE, ODENSE, "--replications", "1"]] {
        assert_eq!(run_lab(&invalid).status.code(), Some(1));
    }
}

/// Guards against a panic when the reader closes the pipe early.
#[test]
fn closed_output_pipe_causes_no_panic() {
    let mut child = Command::new(LAB)
        .args(["run", "--json", "--set", "length=5 s", ODENSE])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut first_byte = [0; 1];
    child.stdout.take().unwrap().read_exact(&mut first_byte).unwrap();
    let mut output = String::new();
    child.stderr.take().unwrap().read_to_string(&mut output).unwrap();
    child.wait().unwrap();
    assert!(!output.contains("panicked"), "{output}");
}
