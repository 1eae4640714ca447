//! Staged rollout of a change: to canary nodes first, then to all nodes, or rolled back.
//!
//! Wald's sequential test ("Sequential Tests of Statistical Hypotheses", 1945) compares the failure rate of the canaries to that of
//! the other nodes: equal, against `worse_ratio` times as high. The rate of the other nodes counts as known after enough outcomes.
//! Replicas have to exchange the stage changes instead of computing them again, since logarithms may differ between machines.

use crate::Micros;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::Hasher;

/// Number of outcomes at the nodes without the change before the canaries are compared to them.
const MIN_BASELINE_OUTCOMES: u64 = 200;

/// Parameters of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPolicy {
    /// Share of the fleet that are canaries, in percent; at least one node is.
    #[serde(rename = "canary")]
    pub canary_percent: u32,
    /// Minimum time that a stage is observed once all its nodes have the change, in microseconds.
    #[serde(rename = "watch")]
    pub observation: Micros,
    /// Time after which an undecided canary stage is rolled back, in microseconds.
    #[serde(rename = "most")]
    pub timeout: Micros,
    /// Ratio to the failure rate of the other nodes that the test detects, above 1.
    #[serde(rename = "worse")]
    pub worse_ratio: f64,
    /// Failure rates below this one count as this rate, above 0.
    #[serde(rename = "least")]
    pub min_failure_rate: f64,
    /// Probability that a good change is rolled back.
    pub alpha: f64,
    /// Probability that a change with `worse_ratio` is let through.
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

/// Stage of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The canaries apply the change.
    Canary,
    /// All nodes apply the change and are still observed.
    Rest,
    /// All nodes have the change, and it passed the observation.
    Done,
    /// The change is withdrawn: all nodes get the old content under a greater number.
    #[serde(rename = "CalledBack")]
    RolledBack,
}

/// Why a rollout entered a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StageReason {
    /// The canaries fail no more often than the other nodes.
    #[serde(rename = "Well")]
    Good,
    /// Nodes with the change fail more often than those without it.
    Worse,
    /// The test was undecided at the timeout, or the canaries did not apply the change.
    Undecided,
    /// Too many nodes did not apply the change ([`crate::version_lag::LagEvent::RolloutStopped`]).
    Stopped,
    /// An operator ended the rollout.
    #[serde(rename = "ByHand")]
    Operator,
    /// All nodes have applied the change and were observed for long enough.
    #[serde(rename = "AllTook")]
    AllApplied,
}

/// Result of the sequential test so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageResult {
    /// The failure rate is that of the other nodes.
    Good,
    /// The failure rate is higher by `worse_ratio`.
    Worse,
    /// More outcomes are needed.
    Undecided,
}

/// Request outcomes of the nodes with or without the change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counts {
    /// Requests served in time.
    pub good: u64,
    /// Failed requests, without those rejected for lack of capacity.
    pub bad: u64,
}

impl Counts {
    fn add(&mut self, more: Counts) {
        self.good = self.good.saturating_add(more.good);
        self.bad = self.bad.saturating_add(more.bad);
    }

    fn total(self) -> u64 {
        self.good.saturating_add(self.bad)
    }
}

/// Compares the outcomes with the change (`new`) to those without it (`old`).
pub fn evaluate(policy: &RolloutPolicy, old: Counts, new: Counts) -> StageResult {
    if old.total() < MIN_BASELINE_OUTCOMES {
        return StageResult::Undecided;
    }
    let baseline_rate = (old.bad as f64 / old.total() as f64).max(policy.min_failure_rate).min(0.5);
    // Keeps the higher rate below 1 when `worse_ratio` times the baseline rate would exceed it.
    let worse_rate = (baseline_rate * policy.worse_ratio).min((1.0 + baseline_rate) / 2.0);
    let log_likelihood_ratio = new.bad as f64 * (worse_rate / baseline_rate).ln()
        + new.good as f64 * ((1.0 - worse_rate) / (1.0 - baseline_rate)).ln();
    if log_likelihood_ratio >= ((1.0 - policy.beta) / policy.alpha).ln() {
        StageResult::Worse
    } else if log_likelihood_ratio <= (policy.beta / (1.0 - policy.alpha)).ln() {
        StageResult::Good
    } else {
        StageResult::Undecided
    }
}

/// The rollout of one change.
#[derive(Clone, Debug)]
pub struct Rollout {
    policy: RolloutPolicy,
    canaries: BTreeSet<u32>,
    fleet: BTreeSet<u32>,
    /// Nodes that have applied the change.
    applied: BTreeSet<u32>,
    stage: Stage,
    stage_since: Micros,
    /// When the last node of the stage applied the change; `None` while one has not.
    complete_since: Option<Micros>,
    /// Outcomes without the change.
    old: Counts,
    /// Outcomes with the change.
    new: Counts,
}

impl Rollout {
    /// Starts the rollout of the change with this number to a fleet.
    ///
    /// The number seeds the choice of canaries, so that each change has others.
    pub fn new(policy: RolloutPolicy, number: u64, fleet: &[u32], now: Micros) -> Rollout {
        let rank = |node: u32| {
            let mut hash = SipHasher13::new_with_keys(number, u64::from(node));
            hash.write_u32(node);
            hash.finish()
        };
        let mut order: Vec<u32> = fleet.to_vec();
        order.sort_by_key(|node| (rank(*node), *node));
        let canary_count = (fleet.len() * policy.canary_percent as usize / 100).max(1);
        Rollout {
            policy,
            canaries: order.into_iter().take(canary_count).collect(),
            fleet: fleet.iter().copied().collect(),
            applied: BTreeSet::new(),
            stage: Stage::Canary,
            stage_since: now,
            complete_since: None,
            old: Counts::default(),
            new: Counts::default(),
        }
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether a node is to apply the change now.
    pub fn should_apply(&self, node: u32) -> bool {
        match self.stage {
            Stage::Canary => self.canaries.contains(&node),
            Stage::Rest | Stage::Done => self.fleet.contains(&node),
            Stage::RolledBack => false,
        }
    }

    /// Records that a node has applied the change; ignored if it should not.
    pub fn record_applied(&mut self, node: u32, now: Micros) {
        if self.should_apply(node) {
            self.applied.insert(node);
        }
        self.update_completion(now);
    }

    /// Removes a node that left the fleet, so that the rollout no longer waits for it.
    pub fn remove_node(&mut self, node: u32, now: Micros) {
        self.fleet.remove(&node);
        self.canaries.remove(&node);
        self.applied.remove(&node);
        self.update_completion(now);
    }

    fn update_completion(&mut self, now: Micros) {
        let required = match self.stage {
            Stage::Canary => &self.canaries,
            _ => &self.fleet,
        };
        match required.is_subset(&self.applied) && !required.is_empty() {
            true => self.complete_since = self.complete_since.or(Some(now)),
            false => self.complete_since = None,
        }
    }

    /// Adds request outcomes of a node since the last call.
    ///
    /// Outcomes without the change count only in the canary stage and only from nodes that are not canaries.
    pub fn add_outcomes(&mut self, node: u32, counts: Counts) {
        match (self.stage, self.applied.contains(&node)) {
            (Stage::Canary | Stage::Rest, true) => self.new.add(counts),
            (Stage::Canary, false) if !self.canaries.contains(&node) => self.old.add(counts),
            _ => {}
        }
    }

    /// Rolls the change back; `None` if the rollout is over already.
    pub fn roll_back(&mut self, reason: StageReason) -> Option<(Stage, StageReason)> {
        match self.stage {
            Stage::Canary | Stage::Rest => Some(self.enter(Stage::RolledBack, reason, self.stage_since)),
            Stage::Done | Stage::RolledBack => None,
        }
    }

    fn enter(&mut self, to: Stage, reason: StageReason, now: Micros) -> (Stage, StageReason) {
        (self.stage, self.stage_since, self.complete_since) = (to, now, None);
        self.update_completion(now);
        (to, reason)
    }

    /// Enters the next stage if it is due, and returns it with the reason.
    pub fn advance(&mut self, now: Micros) -> Option<(Stage, StageReason)> {
        let observed = self.complete_since.is_some_and(|at| now - at >= self.policy.observation);
        let outcome = evaluate(&self.policy, self.old, self.new);
        match (self.stage, outcome) {
            (Stage::Canary | Stage::Rest, StageResult::Worse) => {
                Some(self.enter(Stage::RolledBack, StageReason::Worse, now))
            }
            (Stage::Canary, StageResult::Good) if observed => {
                // The next stage is evaluated by its own outcomes.
                self.new = Counts::default();
                Some(self.enter(Stage::Rest, StageReason::Good, now))
            }
            (Stage::Canary, _) if now - self.stage_since >= self.policy.timeout => {
                Some(self.enter(Stage::RolledBack, StageReason::Undecided, now))
            }
            (Stage::Rest, _) if observed => Some(self.enter(Stage::Done, StageReason::AllApplied, now)),
            _ => None,
        }
    }
}
