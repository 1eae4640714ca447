//! Checks the simulator against closed-form results of queueing theory, within 99% confidence intervals.

use rstest::rstest;
use shorepath_lab::scenario::{read, Scenario};
use shorepath_lab::sim::run;
use shorepath_lab::stats::Interval;
use shorepath_lab::theory;

/// Mean work of a request, in seconds on a core of speed 1.
const WORK: f64 = 0.01;

/// Returns a scenario of one node without network latency, queue limits and faults.
fn ideal_scenario(servers: u32, cores: u32, rate: f64, seconds: u32, more: &str) -> Scenario {
    let text = format!(
        "(scenario (length {seconds} s) (measure-from {} s) (arrivals (rate {rate}))
           (servers (count {servers}) (queue 1000000000) (connections 1000000) (tells-start no)
             (kind any (cores {cores}) (speed 1)))
           (network (near 0 ms) (far 0 ms) (jitter 0)) {more})",
        seconds / 10
    );
    read("test", &text).unwrap_or_else(|e| panic!("{e}"))
}

fn class_form(shape: &str, cv: f64) -> String {
    format!("(class any (work 10 ms) (shape {shape}) (cv {cv}) (wanted 1 h) (give-up 2 h))")
}

/// Runs the scenario with `count` seeds and returns the interval of a metric of the reports.
fn replicate(
    mut scenario: Scenario,
    count: u64,
    metric: impl Fn(&shorepath_lab::sim::tally::Report) -> f64,
) -> Interval {
    let samples: Vec<f64> = (0..count)
        .map(|k| {
            scenario.seed = 1_000 + k;
            let report = run(&scenario);
            assert_eq!(report.violation_count, 0, "{:?}", report.violations);
            metric(&report)
        })
        .collect();
    Interval::of(&samples, 0.99).unwrap()
}

#[rstest]
#[case::mm1_half(1, 0.5, "exponential", 1.0, theory::mm1(0.5))]
#[case::mm1_busy(1, 0.8, "exponential", 1.0, theory::mm1(0.8))]
#[case::mm4(4, 0.8, "exponential", 1.0, theory::mmc(4, 3.2))]
#[case::mm16(16, 0.9, "exponential", 1.0, theory::mmc(16, 14.4))]
#[case::md1(1, 0.7, "constant", 0.0, theory::mg1(0.7, 0.0))]
#[case::mg1_gamma(1, 0.6, "gamma", 0.5, theory::mg1(0.6, 0.5))]
#[case::mg1_lognormal(1, 0.6, "lognormal", 1.5, theory::mg1(0.6, 1.5))]
fn mean_response_times_match_queueing_theory(
    #[case] cores: u32,
    #[case] load: f64,
    #[case] shape: &str,
    #[case] cv: f64,
    #[case] expected: f64,
) {
    let rate = load * f64::from(cores) / WORK;
    let seconds = (30_000.0 / rate) as u32 + 50;
    let mut scenario = ideal_scenario(1, cores, rate, seconds, &class_form(shape, cv));
    scenario.policy = "random".to_string();
    let response_time = replicate(scenario, 12, |r| r.latency[4] / WORK);
    assert!(response_time.contains(expected), "{response_time:?} does not contain {expected}");
    assert!(response_time.half_width < 0.08 * expected, "{response_time:?} is too wide");
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn queue_length_tails_match_the_supermarket_model(#[case] d: u32) {
    let (servers, load) = (500, 0.8);
    let mut scenario =
        ideal_scenario(servers, 1, load * f64::from(servers) / WORK, 6, &class_form("exponential", 1.0));
    scenario.policy = ["shortest-of-1", "least-of-two", "shortest-of-3"][d as usize - 1].to_string();
    let reports: Vec<_> = (0..12)
        .map(|k| {
            scenario.seed = 2_000 + k;
            run(&scenario)
        })
        .collect();
    for k in 1..=4 {
        let expected = theory::supermarket(load, d, k);
        let tails: Vec<f64> = reports.iter().map(|r| r.tails[k as usize]).collect();
        let tail = Interval::of(&tails, 0.99).unwrap();
        // The theorem assumes infinitely many servers; the error for n servers is of the order of 1/n.
        let finite_size_error = 2.0 / f64::from(servers);
        let deviation = (tail.mean - expected).abs();
        assert!(
            deviation <= tail.half_width + finite_size_error,
            "{d} choices, {k} jobs: {tail:?} is too far from {expected}"
        );
    }
}

/// Runs two clients with a quota of 50 jobs per second each against a server that completes 100 (section 2,
/// example 1 of the Redemptive Fair Queuing paper). With sigma of one second's jobs and delta of one second,
/// the capacity constraint holds with equality.
fn run_with_quotas(policy: &str, arrivals: &str, seed: u64) -> shorepath_lab::sim::tally::Report {
    let text = format!(
        "(scenario (length 12 s) (measure-from 2 s) (policy {policy}) (seed {seed})
           (tenant c1 (share 0.5) (quota 50)) (tenant c2 (share 0.5) (quota 50)) (arrivals {arrivals})
           (class any (work 10 ms) (shape constant) (wanted 1010 ms) (stretch 0) (give-up 60 s) (late 0))
           (servers (count 1) (queue 1000000) (connections 1000000) (kind any (cores 1) (speed 1)))
           (network (near 0 ms) (jitter 0)))"
    );
    let report = run(&read("test", &text).unwrap_or_else(|e| panic!("{e}")));
    assert_eq!(report.violation_count, 0, "{:?}", report.violations);
    report
}

/// Arrivals where c1 uses spare capacity before c2 starts to send more than its quota.
const EXAMPLE_1: &str = "(rate 100) (cv 0)
    (burst (at 0 s) (count 200) (tenant c1)) (step (at 0 s) (for 2 s) (times 0) (tenant c1))
    (burst (at 2 s) (count 100) (tenant c2)) (step (at 0 s) (for 3 s) (times 0) (tenant c2))";

#[rstest]
#[case::paper("rfq-paper", 1.0)]
#[case::module("rfq", 0.95)]
fn client_that_used_spare_capacity_is_not_starved(#[case] policy: &str, #[case] min_service: f64) {
    let report = run_with_quotas(policy, EXAMPLE_1, 1);
    let c1 = report.tenants[0].value;
    assert!(c1 >= min_service, "{policy} serves only {c1} of the first client's requests in time");
}

/// Theorem 1 of the paper: c1 stays within its quota while c2 requests a multiple of its own.
#[rstest]
#[case::paper("rfq-paper", 1.0)]
#[case::module("rfq", 0.95)]
fn client_within_its_quota_meets_deadlines_despite_an_overloading_client(
    #[case] policy: &str,
    #[case] min_service: f64,
) {
    for seed in 1..=5 {
        let arrivals =
            "(rate 80) (cv 1) (step (at 0 s) (times 0.5) (tenant c1)) (step (at 3 s) (times 12) (tenant c2))";
        let c1 = run_with_quotas(policy, arrivals, seed).tenants[0].value;
        assert!(
            c1 >= min_service,
            "{policy} serves only {c1} of the requests within the quota in time, with seed {seed}"
        );
    }
}
