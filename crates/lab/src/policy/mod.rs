//! Who decides: the real module, and what else a user could run, behind the module's own interface.

mod book;
mod choice;
mod limit;

use crate::sim::server::Server;
use book::Plain;
use choice::{Clairvoyant, LeastOfTwo, PeakEwma, Random, RoundRobin, Shortest};
use limit::{Gradient, NoLimit, Paper, Window};
use shorepath_scheduler::Scheduler;
use shorepath_scheduler::{Action, Event, Idempotency, Micros, Settings};

/// All policies by name.
pub const NAMES: [&str; 12] = [
    "rfq",
    "careless",
    "rfq-paper",
    "random",
    "round-robin",
    "least-of-two",
    "peak-ewma",
    "wfq-window",
    "gradient",
    "clairvoyant",
    "shortest-of-1",
    "shortest-of-3",
];

/// The true state of the fleet, for policies that are allowed to see it.
pub type Fleet = [Server];

/// One node's decisions.
pub trait Policy {
    /// Take one event at time `now` and append the actions it calls for.
    fn handle(&mut self, now: Micros, event: Event, fleet: &Fleet, out: &mut Vec<Action>);
}

impl Policy for Scheduler {
    fn handle(&mut self, now: Micros, event: Event, _: &Fleet, out: &mut Vec<Action>) {
        Scheduler::handle(self, now, event, out);
    }
}

/// The policy of that name for one node, or nothing where there is no such name.
pub fn make(name: &str, settings: Settings, seed: u64) -> Option<Box<dyn Policy>> {
    let set = settings;
    Some(match name {
        "rfq" => Box::new(Scheduler::new(set, seed)),
        // Told that every class may be repeated anywhere: what trips the checkers.
        "careless" => {
            let mut set = set;
            set.classes.iter_mut().for_each(|c| c.idempotency = Idempotency::Idempotent);
            Box::new(Scheduler::new(set, seed))
        }
        "rfq-paper" => {
            let paper = Paper::new(&set);
            Box::new(Plain::new(set, LeastOfTwo, paper, seed))
        }
        "random" => Box::new(Plain::new(set, Random, NoLimit::default(), seed)),
        "round-robin" => Box::new(Plain::new(set, RoundRobin::default(), NoLimit::default(), seed)),
        "least-of-two" => Box::new(Plain::new(set, LeastOfTwo, NoLimit::default(), seed)),
        "peak-ewma" => Box::new(Plain::new(set, PeakEwma::default(), NoLimit::default(), seed)),
        "wfq-window" => {
            let window = Window::new(&set);
            Box::new(Plain::new(set, LeastOfTwo, window, seed))
        }
        "gradient" => Box::new(Plain::new(set, LeastOfTwo, Gradient::default(), seed)),
        "clairvoyant" => Box::new(Plain::new(set, Clairvoyant, NoLimit::default(), seed)),
        "shortest-of-1" => Box::new(Plain::new(set, Shortest(1), NoLimit::default(), seed)),
        "shortest-of-3" => Box::new(Plain::new(set, Shortest(3), NoLimit::default(), seed)),
        _ => return None,
    })
}
