//! A change in policy: to a few nodes first, judged beside the others by a sequential test, then to the rest, or called back.
//!
//! The test is Wald's ("Sequential Tests of Statistical Hypotheses", 1945): the canaries fail as often as the others, against `worse` times as often, with
//! the stated chances of being wrong. What the others fail is taken as known once it is counted often enough. Whoever drives it writes its
//! moves down as facts: a logarithm may differ in its last digit between machines.

use crate::Micros;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;

/// Outcomes of the others that are needed before anything is judged.
const ENOUGH: u64 = 200;

/// How a change goes out.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPolicy {
    /// So many hundredths of the fleet go first, one node at least.
    #[serde(rename = "canary")]
    pub canary_percent: u32,
    /// They are watched for so long at least, in microseconds.
    #[serde(rename = "watch")]
    pub observation: Micros,
    /// If nothing is decided by then, the change is called back.
    #[serde(rename = "most")]
    pub timeout: Micros,
    /// Failing so many times as often as the others is worse, above 1.
    #[serde(rename = "worse")]
    pub worse_ratio: f64,
    /// A part of failures below which none is told from none, above 0.
    #[serde(rename = "least")]
    pub min_failure_rate: f64,
    /// The chance that a good change is called back.
    pub alpha: f64,
    /// The chance that one that is `worse` is let through.
    pub beta: f64,
}

impl Default for RolloutPolicy {
    fn default() -> Self {
        let s = 1_000_000;
        RolloutPolicy {
            canary_percent: 10,
            observation: 30 * s,
            timeout: 600 * s,
            worse_ratio: 2.0,
            min_failure_rate: 0.002,
            alpha: 0.01,
            beta: 0.01,
        }
    }
}

/// Where a change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The canaries act on it, or are to.
    Canary,
    /// All are to act on it; they are still judged.
    Rest,
    /// All do, and it held.
    Done,
    /// It is to be called back: the old content under a greater number, for all.
    #[serde(rename = "CalledBack")]
    RolledBack,
}

/// StageReason it moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StageReason {
    /// The canaries do as well as the others.
    #[serde(rename = "Well")]
    Good,
    /// They fail more often.
    Worse,
    /// It was not decided in time, or the canaries did not take it.
    Undecided,
    /// Too many did not take it ([`crate::version_lag::LagEvent::RolloutStopped`]).
    Stopped,
    /// An operator said so.
    #[serde(rename = "ByHand")]
    Operator,
    /// Everybody has taken it, and it was watched for long enough.
    #[serde(rename = "AllTook")]
    AllApplied,
}

/// What the test says so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageResult {
    /// As good as the others.
    Good,
    /// Worse.
    Worse,
    /// More is to be counted.
    Undecided,
}

/// Outcomes of one side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Served in time.
    pub good: u64,
    /// Failed: not what was refused for want of room.
    pub bad: u64,
}

impl Counts {
    fn add(&mut self, more: Counts) {
        self.good = self.good.saturating_add(more.good);
        self.bad = self.bad.saturating_add(more.bad);
    }

    fn all(self) -> u64 {
        self.good.saturating_add(self.bad)
    }
}

/// Judge `new` beside `old`.
pub fn evaluate(policy: &RolloutPolicy, old: Counts, new: Counts) -> StageResult {
    if old.all() < ENOUGH {
        return StageResult::Undecided;
    }
    let usual = (old.bad as f64 / old.all() as f64).max(policy.min_failure_rate).min(0.5);
    // What fails nearly always can't fail twice as often; it may still fail more often than not.
    let worse = (usual * policy.worse_ratio).min((1.0 + usual) / 2.0);
    let ratio =
        new.bad as f64 * (worse / usual).ln() + new.good as f64 * ((1.0 - worse) / (1.0 - usual)).ln();
    if ratio >= ((1.0 - policy.beta) / policy.alpha).ln() {
        StageResult::Worse
    } else if ratio <= (policy.beta / (1.0 - policy.alpha)).ln() {
        StageResult::Good
    } else {
        StageResult::Undecided
    }
}

/// One change on its way.
#[derive(Clone, Debug)]
pub struct Rollout {
    policy: RolloutPolicy,
    canaries: BTreeSet<u32>,
    fleet: BTreeSet<u32>,
    took: BTreeSet<u32>,
    stage: Stage,
    since: Micros,
    /// Since when all that are to act on it do.
    complete: Option<Micros>,
    old: Counts,
    new: Counts,
}

impl Rollout {
    /// The release of that number begins to go out to a fleet. The canaries are drawn by its number, so that no node is always one.
    pub fn new(policy: RolloutPolicy, number: u64, fleet: &[u32], now: Micros) -> Rollout {
        let drawn = |node: u32| {
            let mut hash = SipHasher13::new_with_keys(number, u64::from(node));
            hash.write_u32(node);
            hash.finish()
        };
        let mut order: Vec<u32> = fleet.to_vec();
        order.sort_by_key(|node| (drawn(*node), *node));
        let first = (fleet.len() * policy.canary_percent as usize / 100).max(1);
        Rollout {
            policy,
            canaries: order.into_iter().take(first).collect(),
            fleet: fleet.iter().copied().collect(),
            took: BTreeSet::new(),
            stage: Stage::Canary,
            since: now,
            complete: None,
            old: Counts::default(),
            new: Counts::default(),
        }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether a node is to act on it now.
    pub fn should_apply(&self, node: u32) -> bool {
        match self.stage {
            Stage::Canary => self.canaries.contains(&node),
            Stage::Rest | Stage::Done => self.fleet.contains(&node),
            Stage::RolledBack => false,
        }
    }

    /// A node acts on it from now on.
    pub fn record_applied(&mut self, node: u32, now: Micros) {
        if self.should_apply(node) {
            self.took.insert(node);
        }
        self.watch(now);
    }

    /// A node has left the fleet: it is not waited for.
    pub fn remove_node(&mut self, node: u32, now: Micros) {
        self.fleet.remove(&node);
        self.canaries.remove(&node);
        self.took.remove(&node);
        self.watch(now);
    }

    fn watch(&mut self, now: Micros) {
        let all = match self.stage {
            Stage::Canary => &self.canaries,
            _ => &self.fleet,
        };
        match all.is_subset(&self.took) && !all.is_empty() {
            true => self.complete = self.complete.or(Some(now)),
            false => self.complete = None,
        }
    }

    /// What came of jobs at a node since it was last told. Before it took the change that counts for the others; while the rest follows, what
    /// the others did before is what it is held against.
    pub fn add_outcomes(&mut self, node: u32, counts: Counts) {
        match (self.stage, self.took.contains(&node)) {
            (Stage::Canary | Stage::Rest, true) => self.new.add(counts),
            (Stage::Canary, false) if !self.canaries.contains(&node) => self.old.add(counts),
            _ => {}
        }
    }

    /// An operator, or the overseer, ends it.
    pub fn roll_back(&mut self, why: StageReason) -> Option<(Stage, StageReason)> {
        match self.stage {
            Stage::Canary | Stage::Rest => Some(self.moved(Stage::RolledBack, why, self.since)),
            Stage::Done | Stage::RolledBack => None,
        }
    }

    fn moved(&mut self, to: Stage, why: StageReason, now: Micros) -> (Stage, StageReason) {
        (self.stage, self.since, self.complete) = (to, now, None);
        self.watch(now);
        (to, why)
    }

    /// What follows by now, if anything.
    pub fn advance(&mut self, now: Micros) -> Option<(Stage, StageReason)> {
        let watched = self.complete.is_some_and(|at| now - at >= self.policy.observation);
        let outcome = evaluate(&self.policy, self.old, self.new);
        match (self.stage, outcome) {
            (Stage::Canary | Stage::Rest, StageResult::Worse) => {
                Some(self.moved(Stage::RolledBack, StageReason::Worse, now))
            }
            (Stage::Canary, StageResult::Good) if watched => {
                // The rest is judged by what it does itself.
                self.new = Counts::default();
                Some(self.moved(Stage::Rest, StageReason::Good, now))
            }
            (Stage::Canary, _) if now - self.since >= self.policy.timeout => {
                Some(self.moved(Stage::RolledBack, StageReason::Undecided, now))
            }
            (Stage::Rest, _) if watched => Some(self.moved(Stage::Done, StageReason::AllApplied, now)),
            _ => None,
        }
    }
}
