//! When to call discovery again after a watch has ended, and how long discovery may be silent. The caller passes in the time and
//! the seed of the random numbers.

use std::time::{Duration, Instant};

/// Time after which discovery takes a change as known to all nodes. It runs from the start of a silence and, while calls fail, from
/// when discovery had the change and could be reached. All pauses keep to this limit.
pub const PROPAGATION_LIMIT: Duration = Duration::from_millis(6_000);
/// The same limit after the configuration names another discovery.
const PROPAGATION_LIMIT_AFTER_MOVE: Duration = Duration::from_millis(4_000);
/// Interval of the empty lines that discovery sends while nothing changes; fixed by the protocol.
const HEARTBEAT: Duration = Duration::from_millis(2_000);
/// Lateness after which a heartbeat counts as lost. A retransmitted packet arrives sooner.
const HEARTBEAT_SLACK: Duration = Duration::from_millis(500);
/// Time without a complete object or an empty line after which a watch or a response counts as broken.
pub const SILENCE_TIMEOUT: Duration = HEARTBEAT.saturating_add(HEARTBEAT_SLACK);
/// Longest time that a call waits in discovery's queue before discovery rejects it.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(2_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The connect timeout for a local agent is the longest pause divided by this: a local connection succeeds at once or not at all.
const AGENT_CONNECT_DIVISOR: u32 = 4;
/// Time for a response to cross the network and be applied.
const APPLY_TIME: Duration = Duration::from_millis(200);

/// First and longest pause before a local agent that did not respond is called again. The pause doubles from call to call; the
/// longest runs from the start of one call to the start of the next.
const FIRST_LOCAL_AGENT_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_LOCAL_AGENT_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause is at most this fraction of the time within which dispatches to a leaving server have to stop, because the
/// agent may know of a leaving server that this node does not know of.
const GRACE_FRACTION: f64 = 0.8;
/// Span per node of the fleet over which calls are spread. All nodes may lose their watches at once, and a discovery that gets
/// more calls than it can answer in time answers none.
const SPREAD_PER_NODE: Duration = Duration::from_millis(30);
/// Largest factor by which the span grows while discovery rejects calls.
const MAX_BUSY_GROWTH: u32 = 4;

/// Longest time from a connection that fails with a timeout to the application of the next call's response.
const CALL_BUDGET: Duration = CONNECT_TIMEOUT
    .saturating_add(FIRST_LOCAL_AGENT_PAUSE)
    .saturating_add(QUEUE_TIMEOUT)
    .saturating_add(APPLY_TIME);
/// Longest span over which the nodes' calls are spread while all of the propagation limit is left.
const MAX_SPREAD: Duration = PROPAGATION_LIMIT.saturating_sub(CALL_BUDGET);

/// Longest span over which calls are spread after a silence, which is noticed only after a part of the propagation limit.
const MIN_SPREAD: Duration = MAX_SPREAD.saturating_sub(SILENCE_TIMEOUT);

/// The result of the last watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// No watch was made yet: the node has just started with its configured or stored list.
    NotTried,
    /// Discovery sent a list or a heartbeat before the watch ended.
    Confirmed,
    /// Discovery did not respond.
    Unanswered,
    /// Discovery rejected the call because it is overloaded.
    Busy,
}

/// Chooses the pauses before watches. They are random over a span that grows with the number of nodes and while discovery is
/// overloaded, and they keep to the propagation limit.
#[derive(Debug)]
pub struct Backoff {
    rng: oorandom::Rand64,
    nodes: u32,
    /// First and longest pause before a local agent that did not respond is called again.
    local_agent_pauses: (Duration, Duration),
    /// End of the propagation limit, counted from the last confirmation. Failed calls do not extend it.
    deadline: Instant,
    /// Number of consecutive calls that discovery rejected.
    busy_in_row: u32,
    /// Number of consecutive calls without a response.
    unanswered_in_row: u32,
}

impl Backoff {
    /// Creates the backoff of a node that starts at `now`. `nodes` is the number of nodes that request their lists from discovery
    /// itself; with 1, discovery is a local agent.
    pub fn new(seed: u64, nodes: u32, now: Instant) -> Self {
        let rng = oorandom::Rand64::new(u128::from(seed));
        let local_agent_pauses = (FIRST_LOCAL_AGENT_PAUSE, LONGEST_LOCAL_AGENT_PAUSE);
        Backoff {
            rng,
            nodes: nodes.max(1),
            local_agent_pauses,
            deadline: now + PROPAGATION_LIMIT,
            busy_in_row: 0,
            unanswered_in_row: 0,
        }
    }

    /// Applies new settings: the number of nodes that request their lists from discovery, and the time within which new
    /// dispatches to a leaving server have to stop.
    pub fn configure(&mut self, nodes: u32, grace: Duration) {
        let longest = LONGEST_LOCAL_AGENT_PAUSE.min(grace.mul_f64(GRACE_FRACTION));
        (self.nodes, self.local_agent_pauses) =
            (nodes.max(1), (FIRST_LOCAL_AGENT_PAUSE.min(longest), longest));
    }

    /// Notes that discovery sent a list, changes or a heartbeat at that time.
    pub fn confirmed(&mut self, at: Instant) {
        self.deadline = at + PROPAGATION_LIMIT;
    }

    /// Notes that the configuration names another discovery from now on.
    pub fn discovery_changed(&mut self, now: Instant) {
        (self.deadline, self.busy_in_row, self.unanswered_in_row) =
            (now + PROPAGATION_LIMIT_AFTER_MOVE, 0, 0);
    }

    /// Returns the timeout for connecting to discovery.
    pub fn connect_timeout(&self) -> Duration {
        if self.nodes > 1 {
            CONNECT_TIMEOUT
        } else {
            self.local_agent_pauses.1 / AGENT_CONNECT_DIVISOR
        }
    }

    /// Returns when discovery takes the changes that this node missed as known to it.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns how long to wait from `now` before the next watch. `call_started_at` is when the call of the last watch started;
    /// `None` if it was not made.
    pub fn pause(
        &mut self,
        outcome: WatchOutcome,
        call_started_at: Option<Instant>,
        now: Instant,
    ) -> Duration {
        let left = self.deadline.saturating_duration_since(now);
        let took = call_started_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let limit = longest_pause(left, took);
        let spread = SPREAD_PER_NODE * self.nodes;
        let count = |n: u32, occurred: bool| if occurred { n.saturating_add(1) } else { 0 };
        self.unanswered_in_row = count(self.unanswered_in_row, outcome == WatchOutcome::Unanswered);
        self.busy_in_row = count(self.busy_in_row, outcome == WatchOutcome::Busy);
        let random = self.rng.rand_float();
        let limited = |pause: Duration| pause.min(limit.mul_f64(0.5 + 0.5 * random));
        match outcome {
            WatchOutcome::Unanswered => {
                // The span grows so that not all waiting nodes call at the moment at which discovery is back.
                let (first, longest) = self.local_agent_pauses;
                let longest = spread.min(MAX_SPREAD).max(longest.saturating_sub(took)).max(first);
                let length = (first * (1 << self.unanswered_in_row.min(8).saturating_sub(1))).min(longest);
                limited(length.mul_f64(0.5 + 0.5 * random))
            }
            WatchOutcome::Busy => {
                let wide = spread * (1 << self.busy_in_row.min(8).saturating_sub(1)).min(MAX_BUSY_GROWTH);
                limited(wide.mul_f64(random)).max(FIRST_LOCAL_AGENT_PAUSE)
            }
            // A local agent's list counts as known from the start of the process, and calls to it cost nothing.
            WatchOutcome::NotTried if self.nodes == 1 => Duration::ZERO,
            // What is left counts from the last confirmation, not from the end of the watch: the watch may have been silent
            // before it was reset.
            WatchOutcome::NotTried | WatchOutcome::Confirmed => {
                spread.min(left.saturating_sub(CALL_BUDGET)).mul_f64(random)
            }
        }
    }
}

/// Returns the longest pause after a failed call that took `took`, with `left` of the propagation limit left.
fn longest_pause(left: Duration, took: Duration) -> Duration {
    // Guards against calls that fail for longer than the propagation limit. It then runs from when discovery had a change
    // and could be reached, which may be just after the start of the failed call. The span never gets shorter than after a
    // silence, or the calls of all nodes would coincide.
    let since_call = MAX_SPREAD.saturating_sub(took).max(MIN_SPREAD);
    let available = left.saturating_sub(APPLY_TIME);
    if available >= MIN_SPREAD {
        // Half of what is left is reserved for the next call and one more after it.
        MIN_SPREAD.max(left / 2).min(since_call)
    } else if took > available && available > FIRST_LOCAL_AGENT_PAUSE {
        // One more call fits in, which is as far from the calls of other nodes as this one was.
        available
    } else {
        since_call
    }
}
