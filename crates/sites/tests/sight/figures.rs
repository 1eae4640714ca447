//! How soon a lost site is seen, how often one is wrongly doubted, and what that costs in words; virtual time.
//!
//!     cargo test --release -p shorepath-sites --test sight -- --ignored --nocapture

use crate::fleet::{Fleet, S};
use shorepath_sites::{Micros, SiteState};

/// For a fleet of that size and loss: seconds from a site's end to `Lost` at each node, the first and last; changes in half a minute
/// before, by what they are to; words and bytes of postcard that a node says in a second.
fn one(sites: usize, nodes: usize, loss: f32, seed: u64) {
    let mut f = Fleet::new(&vec![nodes; sites], seed);
    f.each_link(loss);
    f.run(30 * S);
    let wrong = |to: SiteState| f.log.iter().filter(|(_, _, c)| c.to == to).count();
    let (is_suspected, alone, lost) =
        (wrong(SiteState::Doubtful), wrong(SiteState::Alone), wrong(SiteState::Lost));
    let messages = f.sent as f64 / (sites * nodes) as f64 / 30.0;
    f.log.clear();
    f.kill(1, true);
    f.run(45 * S);
    let gone = f.log.iter().filter(|(_, _, c)| c.site == "s1" && c.to == SiteState::Lost);
    let mut times: Vec<Micros> = gone.map(|(at, _, _)| at - 30 * S).collect();
    times.sort();
    let at = |p: usize| times.get((times.len().max(1) - 1) * p / 100).map_or(f64::NAN, |t| *t as f64 / 1e6);
    println!(
        "{sites:2} sites, {:4} nodes, loss {loss:.1}: lost after {:.2} s (median), {:.2} (p99), {:.2} (last), {} of {}; \
         wrongly doubtful {is_suspected}, alone {alone}, lost {lost} in 30 s; {messages:.1} words a node and second",
        sites * nodes,
        at(50),
        at(99),
        at(100),
        times.len(),
        (sites - 1) * nodes,
    );
    assert_eq!(times.len(), (sites - 1) * nodes, "seed {seed}");
    assert_eq!((alone, lost), (0, 0), "seed {seed}");
}

#[test]
fn small_fleets() {
    for loss in [0.0, 0.3] {
        one(3, 2, loss, 11);
        one(20, 1, loss, 12);
    }
}

#[test]
#[ignore = "minutes in debug"]
fn all_fleets() {
    for loss in [0.0, 0.1, 0.3] {
        for (sites, nodes) in [(3, 2), (3, 33), (3, 333), (10, 10), (10, 100), (20, 1), (20, 5), (20, 50)] {
            one(sites, nodes, loss, 13);
        }
    }
}

#[test]
#[ignore = "a minute in debug"]
fn an_hour_of_loss() {
    for (sizes, loss) in [(vec![2; 3], 0.3), (vec![2; 3], 0.5), (vec![1; 20], 0.3), (vec![60, 1, 3], 0.3)] {
        let mut f = Fleet::new(&sizes, 14);
        f.each_link(loss);
        f.run(3_600 * S);
        let wrong = |to: SiteState| f.log.iter().filter(|(_, _, c)| c.to == to).count();
        let (is_suspected, alone, lost) =
            (wrong(SiteState::Doubtful), wrong(SiteState::Alone), wrong(SiteState::Lost));
        println!(
            "nodes {sizes:?}, loss {loss:.1}, 1 h: wrongly doubtful {is_suspected}, alone {alone}, lost {lost}"
        );
        assert_eq!((alone, lost), (0, 0), "{sizes:?}");
    }
}
