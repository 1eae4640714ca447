//! Sites in virtual time, with the real modules of the node: service of own and remote requests, recovery of
//! sites, and propagation of account closings. The bounds allow for the short runs.

use shorepath_lab::sites::file::{self, Scenario};
use shorepath_lab::sites::run;
use shorepath_lab::sites::study::{figures, study, Figures, Row};

fn scenario(clauses: &str) -> Scenario {
    let text = format!("(sites-scenario (alone 2 s) (hold 4 s) (confirm 1 s) (warm-up 6 s) {clauses})");
    file::read("test", &text).unwrap_or_else(|e| panic!("{e}"))
}

fn study_with_baselines(sites_scenario: &Scenario) -> Row {
    study(sites_scenario, 1, true).unwrap().0
}

fn run_figures(sites_scenario: &Scenario) -> Figures {
    figures(&[(sites_scenario.clone(), run(sites_scenario, true).unwrap())])
}

fn max_changes(f: &Figures, state: &str) -> u32 {
    f.state_changes.get(state).copied().unwrap_or(0)
}

/// Runs of ten seconds of one seed vary more than the targets for longer ones (0.03 and 0.9).
#[test]
fn own_requests_keep_their_service_and_remote_requests_use_spare_capacity() {
    for (seed, load) in [(1, 0.4), (2, 0.7), (3, 1.0)] {
        let text = "(lose (site 0) (at 8 s)) (length 24 s) (counted 14 24 s)";
        let row = study_with_baselines(&scenario(&format!("(seed {seed}) (load {load}) {text}")));
        let (f, without_events) = (&row.with_sites, &row.without_events);
        assert!(f.own_in_time > without_events.own_in_time - 0.06, "seed {seed}:\n{row}");
        assert!(f.remote_in_time > 0.82 && (f.fast_rejections > 0.9 || load < 0.5), "seed {seed}:\n{row}");
        assert_eq!(
            (max_changes(f, "Lost"), max_changes(f, "Doubtful"), f.false_alarms, without_events.false_alarms),
            (1, 1, 0, 0),
            "{row}"
        );
        // Without sites, full sites must lose more than the bound allows, or the check proves nothing.
        assert!(
            load < 1.0 || row.without_sites.own_in_time < without_events.own_in_time - 0.1,
            "seed {seed}:\n{row}"
        );
    }
}

/// Guards against spare capacity that stays unused where each node has few requests per second.
#[test]
fn remote_requests_use_spare_capacity_at_sites_of_many_nodes() {
    let text = "(nodes 30) (load 0.4) (lose (site 0) (at 8 s)) (length 24 s) (counted 14 24 s)";
    let f = run_figures(&scenario(&format!("(seed 4) {text}")));
    assert!(f.remote_in_time > 0.85 && f.own_in_time > 0.93, "{f:?}");
}

/// Target: 90% of service within 1.3 warm-ups, no overloaded server, one change to each state.
#[test]
fn a_returning_site_recovers_within_1_3_warm_ups_without_overload() {
    for (seed, load) in [(5, 0.4), (6, 1.0)] {
        let text = "(lose (site 0) (at 6 s) (back 12 s)) (length 32 s)";
        let f = run_figures(&scenario(&format!("(seed {seed}) (load {load}) {text}")));
        assert!(f.recovery_s <= 1.3 * 6.0 && f.overloaded_servers == 0, "seed {seed}: {f:?}");
        for state in ["Doubtful", "Lost", "Returning", "WholeAgain", "Linked"] {
            assert_eq!(max_changes(&f, state), 1, "seed {seed}, {state}: {f:?}");
        }
    }
}

/// A loss that ends before its detection changes no state; any other loss is one change.
#[test]
fn a_site_lost_again_in_any_recovery_step_recovers() {
    let gaps = [1, 2, 3, 4, 6];
    let (mut at, mut text) = (5, String::new());
    for gap in gaps {
        text += &format!("(lose (site 0) (at {at} s) (back {} s))", at + 5);
        at += 5 + gap;
    }
    text += &format!("(lose (site 0) (at {at} s) (back {} s))", at + 5);
    let f = run_figures(&scenario(&format!("(seed 7) (load 0.7) {text} (length {} s)", at + 45)));
    assert!(f.recovered_runs == 1.0 && f.overloaded_servers == 0 && f.false_alarms == 0, "{f:?}");
    assert!(max_changes(&f, "Lost") <= 1 + gaps.len() as u32 && max_changes(&f, "WholeAgain") == 1, "{f:?}");
}

/// Target: 0.95 of the service of a linked site, and no more new jobs than the credit.
#[test]
fn an_isolated_site_serves_its_clients_within_the_credit() {
    for (seed, jobs, min_fraction) in [(8, 6_000, 0.95), (9, 90, 0.9)] {
        let text =
            format!("(acme 0.1) (credit (jobs {jobs}) (reserve {jobs})) (length 50 s) (counted 10 35 s)");
        let row = study_with_baselines(&scenario(&format!(
            "(seed {seed}) {text} (cut (site 0) (at 8 s) (back 35 s))"
        )));
        assert!(
            row.with_sites.affected_served >= min_fraction * row.without_events.affected_served,
            "seed {seed}:\n{row}"
        );
        assert!(
            row.with_sites.jobs_on_credit > 0 && row.with_sites.jobs_on_credit <= jobs,
            "seed {seed}:\n{row}"
        );
        assert!(
            max_changes(&row.with_sites, "Doubtful") <= 1 && max_changes(&row.with_sites, "Lost") <= 1,
            "seed {seed}:\n{row}"
        );
        assert_eq!(row.with_sites.false_alarms, 0, "seed {seed}:\n{row}");
    }
}

/// Target: one second at linked sites. An isolated site does not learn of the closing.
#[test]
fn a_closing_stops_new_work_within_a_second_and_an_isolated_site_stays_within_the_credit() {
    let text = "(acme 0.3) (credit (jobs 1500) (reserve 1500)) (loss 0.1) (length 30 s)";
    let sites_scenario =
        scenario(&format!("(seed 10) {text} (cut (site 0) (at 8 s) (back 25 s)) (close (site 1) (at 12 s))"));
    let out = run(&sites_scenario, true).unwrap();
    let late = out.requests.iter().filter(|j| j.new_work_started && (13_000_000..).contains(&j.sent_at));
    let (isolated, linked): (Vec<&_>, Vec<&_>) = late.partition(|j| j.client_site == 0);
    assert!(linked.is_empty(), "{} jobs started late at linked sites", linked.len());
    assert!(
        !isolated.is_empty() && out.jobs_on_credit <= 1500,
        "{} jobs started at the isolated site, {}",
        isolated.len(),
        out.jobs_on_credit
    );
    assert!(
        isolated.iter().all(|j| j.sent_at < 28_000_000),
        "the closing must arrive within three seconds after the partition"
    );
}

#[test]
fn a_closing_reaches_all_nodes_within_a_second_and_message_rate_stays_flat() {
    let messages = [30, 120].map(|nodes| {
        let text = "(sites 5) (servers 2) (bears 20) (load 0.1) (loss 0.1) (way 2 40 ms) (length 14 s)";
        let sites_scenario = scenario(&format!("(seed 11) (nodes {nodes}) {text} (close (site 0) (at 6 s))"));
        let f = run_figures(&sites_scenario);
        assert!(f.closed_nodes == 1.0 && f.closing_ms[1] < 1_000.0, "{f:?}");
        f.messages[0] + f.messages[1]
    });
    assert!(
        messages[1] < 1.25 * messages[0],
        "{messages:?} messages per node and second at 30 and 120 nodes"
    );
}

#[test]
fn the_last_site_keeps_its_service_when_all_others_are_lost() {
    let events: String = (1..4).map(|s| format!("(lose (site {s}) (at {} s))", 1 + 6 * s)).collect();
    let text = format!("(sites 4) (nodes 8) (load 0.6) (loss 0.1) (length 34 s) (counted 8 34 s) {events}");
    let row = study_with_baselines(&scenario(&format!("(seed 12) {text}")));
    assert!(
        row.with_sites.own_in_time > row.without_events.own_in_time - 0.06
            && row.with_sites.own_in_time > row.without_sites.own_in_time,
        "{row}"
    );
}

/// A delay of more than half the detection time is not a loss.
#[test]
fn a_one_way_or_slow_link_causes_one_state_change_each_way() {
    let cut = |way: &str| format!("(cut (site 0) (at 8 s) (back 16 s) (way {way}))");
    for (seed, event) in [
        (13, cut("in")),
        (14, cut("out")),
        (15, "(slow (site 0) (at 8 s) (back 16 s) (delay 1500 ms))".into()),
    ] {
        let f = run_figures(&scenario(&format!("(seed {seed}) (load 0.3) (loss 0.1) (length 32 s) {event}")));
        assert!(
            f.false_alarms == 0 && f.state_changes.values().all(|n| *n <= 1),
            "seed {seed}, {event}: {f:?}"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_outcome() {
    let sites_scenario = scenario("(seed 16) (length 12 s) (loss 0.2) (lose (site 0) (at 3 s) (back 8 s))");
    assert_eq!(run(&sites_scenario, true).unwrap(), run(&sites_scenario, true).unwrap());
}

#[test]
fn errors_of_a_scenario_are_reported_with_their_position() {
    let wrong = "(sites-scenario (sites 3) (nodes 2)\n (lose (site 3) (at 5 s) (back 4 s)) (sede 1)\n (credit (jobs 1) (reserve 2)))";
    let all = file::read("f", wrong).unwrap_err().to_string();
    let parts = [
        "f:1:1: 2 nodes for 3 sites",
        "f:2:2: the event ends before it begins",
        "out of range",
        "f:2:38: sede is not known",
        "f:3:2: the reserve",
    ];
    for part in parts {
        assert!(all.contains(part), "{part} is missing in\n{all}");
    }
    let without_spillover =
        file::read("f", "(sites-scenario (lent 0) (lose (site 0) (at 5 s)))").unwrap_err();
    assert!(without_spillover.to_string().contains("no site accepts remote requests"));
    let twice = "(sites-scenario (lose (site 0) (at 5 s) (back 9 s)) (lose (site 0) (at 8 s)))";
    assert!(file::read("f", twice)
        .unwrap_err()
        .to_string()
        .contains("site 0 is lost again before its previous loss ends"));
}
