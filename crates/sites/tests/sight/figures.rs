//! Detection time of a lost site, false suspicions and message rate, in virtual time.
//!
//!     cargo test --release -p shorepath-sites --test sight -- --ignored --nocapture

use crate::fleet::{Fleet, S};
use shorepath_sites::{Micros, SiteState};

/// Prints the seconds from the loss of a site to `Lost` at other nodes, the false suspicions in the 30 seconds before,
/// and the messages a node and second, for one fleet size and packet loss.
fn run_case(sites: usize, nodes: usize, loss: f32, seed: u64) {
    let mut fleet = Fleet::new(&vec![nodes; sites], seed);
    fleet.set_loss(loss);
    fleet.run(30 * S);
    let count_changes = |to: SiteState| fleet.log.iter().filter(|(_, _, c)| c.to == to).count();
    let (doubtful, alone, lost) =
        (count_changes(SiteState::Doubtful), count_changes(SiteState::Alone), count_changes(SiteState::Lost));
    let messages = fleet.sent as f64 / (sites * nodes) as f64 / 30.0;
    fleet.log.clear();
    fleet.set_dead(1, true);
    fleet.run(45 * S);
    let detections = fleet.log.iter().filter(|(_, _, c)| c.site == "s1" && c.to == SiteState::Lost);
    let mut times: Vec<Micros> = detections.map(|(at, _, _)| at - 30 * S).collect();
    times.sort();
    let percentile =
        |p: usize| times.get((times.len().max(1) - 1) * p / 100).map_or(f64::NAN, |t| *t as f64 / 1e6);
    println!(
        "{sites:2} sites, {:4} nodes, loss {loss:.1}: lost after {:.2} s (median), {:.2} (p99), {:.2} (last), {} of {}; \
         wrongly doubtful {doubtful}, alone {alone}, lost {lost} in 30 s; {messages:.1} messages a node and second",
        sites * nodes,
        percentile(50),
        percentile(99),
        percentile(100),
        times.len(),
        (sites - 1) * nodes,
    );
    assert_eq!(times.len(), (sites - 1) * nodes, "seed {seed}");
    assert_eq!((alone, lost), (0, 0), "seed {seed}");
}

#[test]
fn small_fleets_detect_a_lost_site() {
    for loss in [0.0, 0.3] {
        run_case(3, 2, loss, 11);
        run_case(20, 1, loss, 12);
    }
}

#[test]
#[ignore = "minutes in debug"]
fn fleets_of_all_sizes_detect_a_lost_site() {
    for loss in [0.0, 0.1, 0.3] {
        for (sites, nodes) in [(3, 2), (3, 33), (3, 333), (10, 10), (10, 100), (20, 1), (20, 5), (20, 50)] {
            run_case(sites, nodes, loss, 13);
        }
    }
}

#[test]
#[ignore = "a minute in debug"]
fn an_hour_of_packet_loss_loses_no_site() {
    for (sizes, loss) in [(vec![2; 3], 0.3), (vec![2; 3], 0.5), (vec![1; 20], 0.3), (vec![60, 1, 3], 0.3)] {
        let mut fleet = Fleet::new(&sizes, 14);
        fleet.set_loss(loss);
        fleet.run(3_600 * S);
        let count_changes = |to: SiteState| fleet.log.iter().filter(|(_, _, c)| c.to == to).count();
        let (doubtful, alone, lost) = (
            count_changes(SiteState::Doubtful),
            count_changes(SiteState::Alone),
            count_changes(SiteState::Lost),
        );
        println!(
            "nodes {sizes:?}, loss {loss:.1}, 1 h: wrongly doubtful {doubtful}, alone {alone}, lost {lost}"
        );
        assert_eq!((alone, lost), (0, 0), "{sizes:?}");
    }
}
