//! The selection of mutants to run, and the report of their outcomes.

use crate::change::{all, Change};
use crate::simulation::{simulate, MessageRecord, Mutant, Outcome, RunResult, Simulation, System, Violation};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// The number of trace lines that are kept before the end of a failed run.
const TRACE_LINES: usize = 16;
/// The number of mutants that a thread takes at once.
const BATCH_SIZE: usize = 24;

/// Counts of the mutants of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KindCounts {
    /// Mutants that ran.
    pub executed: u64,
    /// Mutants whose changed message was accepted.
    pub accepted: u64,
    /// Mutants whose changed message was rejected.
    pub rejected: u64,
    /// Mutants with an exempt violation: message authentication rejects such messages.
    pub exempt: u64,
    /// Possible mutants that message authentication rejects before a core receives them.
    pub unauthenticated: u64,
}

/// A failed run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The seed that reproduces the run, together with the message and the change.
    pub seed: u64,
    /// The id of the mutated message in the run.
    pub message: usize,
    /// The mutation; `None` if the run failed without one.
    pub change: Option<Change>,
    /// The violated rule, the panic or the divergence.
    pub outcome: Outcome,
    /// The delivery of the mutated message and the last deliveries.
    pub trace: Vec<String>,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "seed {} message {} {:?}: {:?}", self.seed, self.message, self.change, self.outcome)?;
        self.trace.iter().try_for_each(|line| writeln!(f, "  {line}"))
    }
}

/// The outcome of a campaign.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The name of the system.
    pub system: &'static str,
    /// Runs without mutation.
    pub runs: u64,
    /// Messages in the runs without mutation.
    pub messages: u64,
    /// Counts by kind of mutation.
    pub kinds: BTreeMap<&'static str, KindCounts>,
    /// Mutated messages that were rejected, by reason.
    pub rejected: BTreeMap<String, u64>,
    /// Exempt violations, by rule and by the reason of the exemption.
    pub exempt: BTreeMap<(&'static str, &'static str), u64>,
    /// Failed runs, with and without mutation.
    pub failed: u64,
    /// Failed mutants, by a text that names the kind of mutation, the field and the rule.
    pub failures: BTreeMap<String, u64>,
    /// The first failure in the order of seeds, messages and mutations.
    pub first: Option<Failure>,
}

impl Report {
    /// Returns the number of mutants that ran.
    pub fn executed(&self) -> u64 {
        self.kinds.values().map(|k| k.executed).sum()
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (runs, messages, executed) = (self.runs, self.messages, self.executed());
        writeln!(
            f,
            "{}: {runs} runs, {messages} messages, {executed} mutants, {} failed",
            self.system, self.failed
        )?;
        writeln!(
            f,
            "  {:<32}{:>8}{:>8}{:>8}{:>9}{:>8}",
            "change", "played", "taken", "refused", "unsealed", "by code"
        )?;
        for (name, k) in &self.kinds {
            let KindCounts { executed, accepted, rejected, exempt, unauthenticated } = k;
            writeln!(
                f,
                "  {name:<32}{executed:>8}{accepted:>8}{rejected:>8}{exempt:>9}{unauthenticated:>8}"
            )?;
        }
        writeln!(f, "  refused, by reason:")?;
        self.rejected.iter().try_for_each(|(reason, n)| writeln!(f, "  {n:>8} {reason}"))?;
        writeln!(
            f,
            "  {:>8} code (sealed; the run is that of a dropped message)",
            self.kinds.values().map(|k| k.unauthenticated).sum::<u64>()
        )?;
        for ((rule, reason), n) in &self.exempt {
            writeln!(f, "  unsealed {n:>8} {rule}: {reason}")?;
        }
        self.failures.iter().try_for_each(|(failure, n)| writeln!(f, "  failed {n:>8} {failure}"))?;
        self.first.iter().try_for_each(|first| writeln!(f, "first failure: {first}"))
    }
}

/// The runs of a campaign and the mutants to select.
#[derive(Clone, Debug)]
pub struct Campaign {
    /// The seeds of the runs.
    pub seeds: Range<u64>,
    /// The maximum number of mutants, spread evenly over kinds, and in each kind over seeds and messages; `None` for all.
    pub max_mutants: Option<usize>,
    /// Whether messages are authenticated: only mutations that a network can cause reach a core, all others are rejected.
    pub authenticated: bool,
    /// The kinds of mutation to run, see [`Change::kind`]; empty for all.
    pub kinds: Vec<String>,
    /// The number of threads. The report doesn't depend on it.
    pub threads: usize,
}

/// A run without mutation, and the mutations to run of it, each with the id of its message.
struct BaseRun {
    seed: u64,
    messages: Vec<MessageRecord>,
    changes: Vec<(usize, Change)>,
}

/// Selects mutants, as indices of base run and change: an equal number of each kind, evenly spaced. What a small kind leaves unused
/// goes to the larger ones.
fn select_mutants(bases: &[BaseRun], max_mutants: Option<usize>) -> Vec<(usize, usize)> {
    let mut kinds: BTreeMap<&str, Vec<(usize, usize)>> = BTreeMap::new();
    for (b, base) in bases.iter().enumerate() {
        for (c, (_, change)) in base.changes.iter().enumerate() {
            kinds.entry(change.kind()).or_default().push((b, c));
        }
    }
    let mut kinds: Vec<Vec<(usize, usize)>> = kinds.into_values().collect();
    kinds.sort_by_key(Vec::len);
    let (mut left, count) = (max_mutants.unwrap_or(usize::MAX), kinds.len());
    let mut found = Vec::new();
    for (k, kind) in kinds.iter().enumerate() {
        let selected = (left / (count - k)).min(kind.len());
        left -= selected;
        found.extend((0..selected).map(|n| kind[n * kind.len() / selected]));
    }
    found.sort_unstable();
    found
}

/// Runs a batch of mutants in the order of their messages. If the system can be copied, the run up to a message is shared.
fn run_batch<S: System>(bases: &[BaseRun], batch: &[(usize, usize)]) -> Vec<RunResult> {
    let mut shared: Option<(usize, Simulation<'_, S>)> = None;
    let mut results = Vec::new();
    for (b, c) in batch {
        let base = &bases[*b];
        let (message, change) = &base.changes[*c];
        let mutant = Mutant { message: &base.messages[*message], change };
        if shared.as_ref().is_none_or(|(of, _)| of != b) {
            shared = Some((*b, Simulation::new(base.seed, S::start(base.seed))));
        }
        let copy = shared.as_mut().and_then(|(_, simulation)| {
            if S::CLONEABLE {
                simulation.run_until(mutant.message.step);
            }
            simulation.with_mutant(mutant)
        });
        results.push(copy.map_or_else(|| simulate::<S>(base.seed, Some(mutant), false), Simulation::finish));
    }
    results
}

/// Runs a system with each seed of the campaign, then the selected mutants of those runs.
pub fn run<S: System>(campaign: &Campaign) -> Report {
    let mut report = Report { system: S::NAME, ..Report::default() };
    let mut bases = Vec::new();
    for seed in campaign.seeds.clone() {
        let result = simulate::<S>(seed, None, false);
        report.runs += 1;
        report.messages += result.messages.len() as u64;
        if result.outcome != Outcome::Passed {
            report.failed += 1;
            let trace = shorten(simulate::<S>(seed, None, true).trace);
            report.first.get_or_insert(Failure {
                seed,
                message: 0,
                change: None,
                outcome: result.outcome,
                trace,
            });
            continue;
        }
        let messages = result.messages;
        let actor_count = S::start(seed).actor_count();
        let last = S::DURATION - S::SETTLE_TIME;
        let delivered = messages.iter().filter(|m| m.delivered_at.is_some_and(|at| at <= last));
        let delay = |c: &Change| if let Change::Delayed(by) | Change::Duplicated(by) = c { *by } else { 0 };
        let in_time = |m: &MessageRecord, c: &Change| m.delivered_at.is_some_and(|at| at + delay(c) <= last);
        let changes = delivered
            .flat_map(|m| {
                all(m, &messages, S::ENCODING, S::DELAYS, actor_count)
                    .into_iter()
                    .filter(|c| in_time(m, c))
                    .map(|c| (m.id, c))
            })
            .collect();
        bases.push(BaseRun { seed, messages, changes });
    }
    for (_, change) in bases.iter().flat_map(|b| &b.changes).filter(|(_, c)| !c.is_network()) {
        report.kinds.entry(change.kind()).or_default().unauthenticated += 1;
    }
    if !campaign.kinds.is_empty() {
        let wanted = |c: &Change| campaign.kinds.iter().any(|k| k == c.kind());
        bases.iter_mut().for_each(|b| b.changes.retain(|(_, c)| wanted(c)));
    }
    if campaign.authenticated {
        bases.iter_mut().for_each(|b| b.changes.retain(|(_, c)| c.is_network()));
    }
    let work = select_mutants(&bases, campaign.max_mutants);
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..campaign.threads.max(1) {
            scope.spawn(|| loop {
                let from = next.fetch_add(BATCH_SIZE, Ordering::Relaxed);
                let Some(batch) = work.get(from..work.len().min(from + BATCH_SIZE)).filter(|b| !b.is_empty())
                else {
                    break;
                };
                let results = run_batch::<S>(&bases, batch);
                done.lock().unwrap_or_else(|e| e.into_inner()).extend((from..).zip(results));
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(|e| e.into_inner());
    done.sort_by_key(|(n, _)| *n);
    for (n, result) in done {
        let base = &bases[work[n].0];
        let (message, change) = &base.changes[work[n].1];
        let message = &base.messages[*message];
        let kind = report.kinds.entry(change.kind()).or_default();
        kind.executed += 1;
        kind.accepted += u64::from(result.accepted > 0);
        kind.rejected += u64::from(!result.rejected.is_empty());
        let exemption = |violation: &Violation| {
            (!change.is_network())
                .then(|| S::forgery_exemption(&message.message.bytes, change, violation))
                .flatten()
        };
        let exempt = match &result.outcome {
            Outcome::Violated(_, violation) => exemption(violation).map(|reason| (violation.rule, reason)),
            _ => None,
        };
        for (reason, n) in result.rejected {
            *report.rejected.entry(reason).or_default() += n;
        }
        match (result.outcome, exempt) {
            (Outcome::Passed, _) => {}
            (_, Some(reason)) => {
                kind.exempt += 1;
                *report.exempt.entry(reason).or_default() += 1;
            }
            (outcome, None) => {
                report.failed += 1;
                let failure = match &outcome {
                    Outcome::Violated(_, violation) => violation.rule,
                    Outcome::Panicked(_) => "panicked",
                    _ => "diverged",
                };
                let name = format!("{} {}: {failure}", change.kind(), change.field());
                *report.failures.entry(name).or_default() += 1;
                if report.first.is_none() {
                    let trace = simulate::<S>(base.seed, Some(Mutant { message, change }), true).trace;
                    let change = Some(change.clone());
                    report.first = Some(Failure {
                        seed: base.seed,
                        message: message.id,
                        change,
                        outcome,
                        trace: shorten(trace),
                    });
                }
            }
        }
    }
    report
}

/// Keeps the deliveries of the mutated message and the last lines of a trace.
fn shorten(trace: Vec<String>) -> Vec<String> {
    let from = trace.len().saturating_sub(TRACE_LINES);
    let kept = |k: usize, line: &String| k >= from || line.starts_with('*');
    trace.iter().enumerate().filter(|(k, line)| kept(*k, line)).map(|(_, line)| line.clone()).collect()
}
