//! When discovery is asked again after a watch has ended. No clock and no randomness of its own.

use std::time::Duration;

/// Where nothing was asked of discovery itself, the agent is tried again after this, doubled up to the
/// longest. That stays under the time within which sends to a leaving server have to stop: the agent may
/// know what we don't.
const FIRST: Duration = Duration::from_millis(50);
const LONGEST: Duration = Duration::from_millis(400);
/// All nodes may lose their watches at once, and a discovery that gets more calls than it can answer in
/// time answers none. So they spread their calls over this for each node of the fleet.
const SPREAD: Duration = Duration::from_millis(30);
/// How far that grows while discovery turns calls away.
const GROWTH: u32 = 4;

/// What has become of the last watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Watched {
    /// There was none: the node has just started, with the list that it last held.
    Never,
    /// It brought lists until it ended.
    Lists,
    /// It was not answered at all.
    Nothing,
    /// Discovery turned it away, having too much to do.
    Busy,
}

/// The pauses before watches: random over a span that follows the number of nodes and grows while discovery
/// is busy.
#[derive(Debug)]
pub struct Backoff {
    rng: oorandom::Rand64,
    nodes: u32,
    /// How often in a row discovery has turned us away, and nobody has answered.
    busy: u32,
    nothing: u32,
}

impl Backoff {
    /// One with that seed, of a node among so many that ask discovery for their lists.
    pub fn new(seed: u64, nodes: u32) -> Self {
        Backoff { rng: oorandom::Rand64::new(u128::from(seed)), nodes: nodes.max(1), busy: 0, nothing: 0 }
    }

    /// How long to wait before the next watch.
    pub fn pause(&mut self, watched: Watched) -> Duration {
        let row = |n: u32, now: bool| if now { n.saturating_add(1) } else { 0 };
        self.busy = row(self.busy, watched == Watched::Busy);
        self.nothing = row(self.nothing, watched == Watched::Nothing);
        let spread = SPREAD * self.nodes;
        let luck = self.rng.rand_float();
        match watched {
            Watched::Nothing => {
                let length = (FIRST * (1 << self.nothing.min(8).saturating_sub(1))).min(LONGEST);
                length.mul_f64(0.5 + 0.5 * luck)
            }
            Watched::Busy => (spread * (1 << self.busy.min(8)).min(GROWTH)).mul_f64(luck).max(FIRST),
            Watched::Never | Watched::Lists => spread.mul_f64(luck),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How many of so many nodes that lose their watches at once call in each 100 ms from then on, each one
    /// again 2 s after it was turned away, as `watched` says.
    fn calls(nodes: u32, watched: Watched) -> Vec<u32> {
        let mut calls = vec![0; 300];
        for seed in 0..nodes {
            let mut backoff = Backoff::new(u64::from(seed), nodes);
            let mut at = backoff.pause(Watched::Lists);
            while let Some(n) = calls.get_mut(at.as_millis() as usize / 100) {
                *n += 1;
                at += Duration::from_secs(2) + backoff.pause(watched);
            }
        }
        calls
    }

    /// A hundred nodes that lose their watches at once call about 30 times a second, and less while they are
    /// turned away; a handful is back within a fifth of a second.
    #[test]
    fn calls_are_spread_by_the_number_of_nodes_that_ask() {
        let all = calls(100, Watched::Busy);
        assert!(all.iter().all(|n| *n <= 12), "{all:?}");
        assert!(all[..30].iter().sum::<u32>() >= 100, "{all:?}");
        assert!(all[100..].iter().sum::<u32>() < 25 * 20, "{all:?}");
        let few = calls(6, Watched::Lists);
        assert_eq!(few[..2].iter().sum::<u32>(), 6, "{few:?}");
        // Where lists are pushed to an agent, what it has counts as told: it is heard again at once.
        let mut backoff = Backoff::new(7, 1);
        let most = (0..50).map(|_| backoff.pause(Watched::Lists).max(backoff.pause(Watched::Busy))).max();
        assert!(most < Some(Duration::from_millis(150)), "{most:?}");
    }

    #[test]
    fn an_agent_that_does_not_answer_is_tried_again_soon_whatever_the_fleet() {
        let mut backoff = Backoff::new(7, 10_000);
        let all: Vec<_> = (0..60).map(|_| backoff.pause(Watched::Nothing)).collect();
        assert!(all[0] <= FIRST && all[0] >= FIRST / 2, "{all:?}");
        assert!(all[10..].iter().all(|p| *p <= LONGEST && *p >= LONGEST / 2), "{all:?}");
        // What came before counts no more.
        assert!((0..20).all(|_| backoff.pause(Watched::Busy) >= FIRST));
        assert!(backoff.pause(Watched::Nothing) <= FIRST);
        assert!((0..20).all(|_| backoff.pause(Watched::Lists) <= SPREAD * 10_000));
    }
}
