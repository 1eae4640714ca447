//! The policies that can make a node's decisions: the real scheduler, and comparators with the same interface.

mod choice;
mod comparator;
mod limit;

use crate::sim::server::Server;
use choice::{Clairvoyant, LeastOfTwo, PeakEwma, Random, RoundRobin, Shortest};
use comparator::Comparator;
use limit::{FairWindow, GradientLimit, NoLimit, PaperFairQueue};
use shorepath_scheduler::Scheduler;
use shorepath_scheduler::{Action, Event, Idempotency, Micros, Settings};

/// The names of all policies.
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

/// The true state of all servers, which only idealized policies use.
pub type Fleet = [Server];

/// Makes the decisions of one node.
pub trait Policy {
    /// Handles an event at the time `now` and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Micros, event: Event, fleet: &Fleet, actions: &mut Vec<Action>);
}

impl Policy for Scheduler {
    fn handle(&mut self, now: Micros, event: Event, _: &Fleet, actions: &mut Vec<Action>) {
        Scheduler::handle(self, now, event, actions);
    }
}

/// Returns a policy for one node by its name, or `None` if the name is unknown.
pub fn create(name: &str, settings: Settings, seed: u64) -> Option<Box<dyn Policy>> {
    let node_settings = settings;
    Some(match name {
        "rfq" => Box::new(Scheduler::new(node_settings, seed)),
        // Treats every class as idempotent, which the checker of the rules has to detect.
        "careless" => {
            let mut node_settings = node_settings;
            node_settings.classes.iter_mut().for_each(|c| c.idempotency = Idempotency::Idempotent);
            Box::new(Scheduler::new(node_settings, seed))
        }
        "rfq-paper" => {
            let paper = PaperFairQueue::new(&node_settings);
            Box::new(Comparator::new(node_settings, LeastOfTwo, paper, seed))
        }
        "random" => Box::new(Comparator::new(node_settings, Random, NoLimit::default(), seed)),
        "round-robin" => {
            Box::new(Comparator::new(node_settings, RoundRobin::default(), NoLimit::default(), seed))
        }
        "least-of-two" => Box::new(Comparator::new(node_settings, LeastOfTwo, NoLimit::default(), seed)),
        "peak-ewma" => {
            Box::new(Comparator::new(node_settings, PeakEwma::default(), NoLimit::default(), seed))
        }
        "wfq-window" => {
            let window = FairWindow::new(&node_settings);
            Box::new(Comparator::new(node_settings, LeastOfTwo, window, seed))
        }
        "gradient" => Box::new(Comparator::new(node_settings, LeastOfTwo, GradientLimit::default(), seed)),
        "clairvoyant" => Box::new(Comparator::new(node_settings, Clairvoyant, NoLimit::default(), seed)),
        "shortest-of-1" => Box::new(Comparator::new(node_settings, Shortest(1), NoLimit::default(), seed)),
        "shortest-of-3" => Box::new(Comparator::new(node_settings, Shortest(3), NoLimit::default(), seed)),
        _ => return None,
    })
}
