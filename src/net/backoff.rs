//! When discovery is asked again after a watch has ended, and how long it may be silent. No clock and no
//! randomness of its own.

use std::time::{Duration, Instant};

/// What discovery has to tell counts as told this long after it fell silent, and after any call that failed this long
/// after it had it and could be reached, whether it arrived or not: the clock by which all that follows is measured.
pub const NOTIFIED_AFTER: Duration = Duration::from_millis(6_000);
/// Where the configuration names another discovery, what that has to tell counts as told by then.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_millis(4_000);
/// As long as nothing changes an empty line comes this often, as the protocol says; the settings don't.
const HEARTBEAT: Duration = Duration::from_millis(2_000);
/// One that late is taken to be lost. A packet that is sent once more comes sooner.
const LATE: Duration = Duration::from_millis(500);
/// Without a whole object or an empty line for this long, a watch or an answer is broken.
pub const SILENCE: Duration = HEARTBEAT.saturating_add(LATE);
/// A call that discovery can't answer sooner is turned away, as was seen, after waiting its turn so long.
const WAIT: Duration = Duration::from_millis(2_000);
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(500);
/// One to an agent beside the node comes up at once or not at all: it may take this part of the longest pause.
const AGENT_PART: u32 = 4;
/// An answer needs this long to come over the network and into force.
const TAKEN_IN: Duration = Duration::from_millis(200);

/// Where nothing was asked of discovery itself, the agent is tried again after this, doubled up to the
/// longest from one call's begin to the next one's.
const FIRST: Duration = Duration::from_millis(50);
const LONGEST: Duration = Duration::from_millis(400);
/// The longest is at most this part of the time within which sends to a leaving server have to stop: the agent may know
/// what we don't.
const GRACE_PART: f64 = 0.8;
/// All nodes may lose their watches at once, and a discovery that gets more calls than it can answer in
/// time answers none. So they spread their calls over this for each node of the fleet.
const SPREAD: Duration = Duration::from_millis(30);
/// How far that grows while discovery turns calls away.
const GROWTH: u32 = 4;

/// What one call may cost of the clock, after one more before it whose connection never came up.
const CALL: Duration = CONNECT.saturating_add(FIRST).saturating_add(WAIT).saturating_add(TAKEN_IN);
/// The longest spread that the clock leaves, where it has just begun.
const WIDEST: Duration = NOTIFIED_AFTER.saturating_sub(CALL);

/// And after silence, which took some of the clock to notice.
const NARROWEST: Duration = WIDEST.saturating_sub(SILENCE);

/// What has become of the last watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Watched {
    /// There was none: the node has just started, with the list that it last held.
    Never,
    /// It told something, a list or that nothing has changed, before it fell silent or ended.
    Notified,
    /// It was not answered at all.
    Nothing,
    /// Discovery turned it away, having too much to do.
    Busy,
}

/// The pauses before watches: random over a span that follows the number of nodes, grows while discovery
/// is busy, and keeps to the clock by which what was missed counts as told.
#[derive(Debug)]
pub struct Backoff {
    rng: oorandom::Rand64,
    nodes: u32,
    /// The first and the longest pause before an agent that does not answer is tried again.
    agent: (Duration, Duration),
    /// By then what was missed counts as told. No call that fails puts it off.
    due: Instant,
    /// How often in a row discovery has turned us away.
    busy: u32,
    /// And how often nobody has answered.
    nothing: u32,
}

impl Backoff {
    /// One with that seed, of a node that starts now among so many that ask discovery for their lists.
    pub fn new(seed: u64, nodes: u32, now: Instant) -> Self {
        let rng = oorandom::Rand64::new(u128::from(seed));
        let agent = (FIRST, LONGEST);
        Backoff { rng, nodes: nodes.max(1), agent, due: now + NOTIFIED_AFTER, busy: 0, nothing: 0 }
    }

    /// So many nodes ask discovery for their lists from now on, and nothing new may go to a leaving server once that time
    /// is over since this node was told.
    pub fn keep_to(&mut self, nodes: u32, grace: Duration) {
        let longest = LONGEST.min(grace.mul_f64(GRACE_PART));
        (self.nodes, self.agent) = (nodes.max(1), (FIRST.min(longest), longest));
    }

    /// Discovery told something at that time, be it that nothing has changed.
    pub fn received(&mut self, at: Instant) {
        self.due = at + NOTIFIED_AFTER;
    }

    /// Another discovery is to be followed from now on.
    pub fn moved(&mut self, now: Instant) {
        (self.due, self.busy, self.nothing) = (now + NOTIFIED_AFTER_MOVE, 0, 0);
    }

    /// How long a connection may take to come up.
    pub fn connect(&self) -> Duration {
        if self.nodes > 1 {
            CONNECT
        } else {
            self.agent.1 / AGENT_PART
        }
    }

    /// By then what was missed counts as told.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// How long to wait from now before the next watch, where the call for the last one began at that time, if it
    /// was made.
    pub fn pause(&mut self, watched: Watched, begun: Option<Instant>, now: Instant) -> Duration {
        let left = self.due.saturating_duration_since(now);
        let took = begun.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let most = longest(left, took);
        let spread = SPREAD * self.nodes;
        let row = |n: u32, now: bool| if now { n.saturating_add(1) } else { 0 };
        self.nothing = row(self.nothing, watched == Watched::Nothing);
        self.busy = row(self.busy, watched == Watched::Busy);
        let luck = self.rng.rand_float();
        let soon = |pause: Duration| pause.min(most.mul_f64(0.5 + 0.5 * luck));
        match watched {
            Watched::Nothing => {
                // Many that wait for discovery to come back must not all call as it does.
                let (first, longest) = self.agent;
                let longest = spread.min(WIDEST).max(longest.saturating_sub(took)).max(first);
                let length = (first * (1 << self.nothing.min(8).saturating_sub(1))).min(longest);
                soon(length.mul_f64(0.5 + 0.5 * luck))
            }
            Watched::Busy => {
                let wide = spread * (1 << self.busy.min(8).saturating_sub(1)).min(GROWTH);
                soon(wide.mul_f64(luck)).max(FIRST)
            }
            // What an agent has counts as told from the first moment of a process, and it answers at no cost.
            Watched::Never if self.nodes == 1 => Duration::ZERO,
            // Guards against a watch that fell silent before it was reset: the clock has run since it last told something.
            Watched::Never | Watched::Notified => spread.min(left.saturating_sub(CALL)).mul_f64(luck),
        }
    }
}

/// The longest pause after a call that failed and took so long, with so much left of the clock.
fn longest(left: Duration, took: Duration) -> Duration {
    // Guards against calls that fail for longer than the clock runs: what the last one could not tell counts from
    // when discovery had it and could be reached, which may have been just after that call began. No spread is
    // narrower than that after silence, or all would crowd together.
    let since_call = WIDEST.saturating_sub(took).max(NARROWEST);
    let capacity = left.saturating_sub(TAKEN_IN);
    if capacity >= NARROWEST {
        // Half of what is left is kept for the call, and for one more after it.
        NARROWEST.max(left / 2).min(since_call)
    } else if took > capacity && capacity > FIRST {
        // Time for one more before the clock runs out, which is as far from the others' as this one was.
        capacity
    } else {
        since_call
    }
}
