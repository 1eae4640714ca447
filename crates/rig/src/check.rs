//! The checkers: what must hold of every history, whatever was done to the processes.

use crate::history::{At, Record, Repeat, What};
use shorepath_core::api::Effect;
use shorepath_lab::rules::{self, Answer, Limits};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// A part of a budget's whole, for the checker of budgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Its name, as records name it.
    pub name: String,
    /// So much may be used in any span of that length.
    pub whole: u64,
    /// The span, in microseconds.
    pub span: At,
    /// What measuring may add, stated.
    pub slack: u64,
}

/// What is asked of a history.
#[derive(Clone, Debug)]
pub struct Terms {
    /// A final answer may come so much later than the client's patience ends.
    pub slack: At,
    /// Nothing new goes to a leaving server later than this after the node was told.
    pub grace: At,
    /// From so long after the last event on, nearly all must be served.
    pub settle: At,
    /// The budgets.
    pub budgets: Vec<Budget>,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which, in one word.
    pub rule: &'static str,
    /// When.
    pub at: At,
    /// What happened.
    pub text: String,
    /// The request that it is about, if it is about one.
    pub request: Option<u64>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.text)
    }
}

/// The least part that is served after all has settled.
const SERVED: f64 = 0.9;
/// With fewer requests than this after all has settled nothing is judged by their part.
const FEW: usize = 10;

/// All that is wrong with a history, in the order of its times.
pub fn check(records: &[Record], terms: &Terms) -> Vec<Violation> {
    let mut found = requests(records, terms);
    found.extend(processes(records));
    found.extend(budgets(records, &terms.budgets));
    found.extend(recovery(records, terms));
    found.sort_by_key(|v| v.at);
    found
}

/// When each node could not be held to anything, from and until.
fn struck(records: &[Record]) -> BTreeMap<u32, Vec<(At, At)>> {
    let mut spells: BTreeMap<u32, Vec<(At, At)>> = BTreeMap::new();
    for r in records {
        match r.what {
            What::Struck { node } => {
                spells.entry(node).or_default().push((r.at, At::MAX));
            }
            What::Serves { node } => {
                let open = spells.entry(node).or_default().iter_mut().filter(|s| s.1 == At::MAX);
                open.for_each(|s| s.1 = r.at);
            }
            _ => {}
        }
    }
    spells
}

/// One final answer in time, no repeat of what must not repeat, nothing to a leaving server: by the checker that
/// serves the emulator, too.
fn requests(records: &[Record], terms: &Terms) -> Vec<Violation> {
    let limits = Limits { slack: terms.slack, drain_grace: terms.grace };
    let (mut checker, spells) = (rules::Checker::keeping(limits, usize::MAX), struck(records));
    let mut open: BTreeMap<u64, (At, u32, At)> = BTreeMap::new();
    let mut answered = BTreeSet::new();
    let mut found = Vec::new();
    let spared = |node: u32, from: At, to: At| {
        spells.get(&node).is_some_and(|all| all.iter().any(|s| s.0 <= to && s.1 >= from))
    };
    // A dispatch counts from its first byte: it may have been long on the way.
    let mut ordered: Vec<(At, &Record)> = records
        .iter()
        .map(|r| (if let What::Arrived { sent, .. } = r.what { sent } else { r.at }, r))
        .collect();
    ordered.sort_by_key(|(at, _)| *at);
    for (_, r) in ordered {
        match r.what {
            What::Asked { id, node, patience, repeat } => {
                let effect = if repeat == Repeat::Never { Effect::Unsafe } else { Effect::Safe };
                checker.taken(id, r.at + patience, effect);
                open.insert(id, (r.at, node, patience));
            }
            What::Arrived { id, server, node, sent } => checker.sent(id, node, server, sent),
            What::TurnedAway { id, .. } => checker.ended(id, true),
            What::Begun { id, server } => checker.begun(id, server, r.at),
            What::Told { node, server, live } => checker.told(node, server, live, 0, r.at),
            What::Answered { id, status } => {
                let answer = match status {
                    200 => Answer::Served,
                    429 | 503 => Answer::Refused,
                    _ => Answer::Failed,
                };
                answered.insert(id);
                checker.answered(id, answer, r.at);
            }
            What::Unanswered { id } => {
                let asked = open.get(&id).copied();
                if let Some((at, node, patience)) = asked.filter(|_| !answered.contains(&id)) {
                    checker.left(id);
                    if !spared(node, at, at + patience + terms.slack) {
                        let text = format!("request {id} of node {node} had no final answer");
                        found.push(Violation { rule: "unanswered", at: r.at, text, request: Some(id) });
                    }
                }
            }
            _ => {}
        }
    }
    for v in checker.violations().0 {
        let id = v.request.unwrap_or(0);
        let rule = match v.rule {
            rules::Rule::RanTwice => "ran-twice",
            rules::Rule::Drain => "drain",
            rules::Rule::AnsweredTwice => "answered-twice",
            rules::Rule::SentAgain => "sent-again",
            rules::Rule::RefusedAfterRun => "refused-after-run",
            rules::Rule::SentAfterEnd => "sent-after-end",
            rules::Rule::Unanswered => match open.get(&id) {
                Some(&(at, node, patience)) if spared(node, at, at + patience + terms.slack) => continue,
                _ => "late",
            },
            rules::Rule::Felled => continue, // the rig's servers do not fall
        };
        let text = match v.server {
            Some(server) => format!("request {id} at server {server}"),
            None => format!("request {id}"),
        };
        found.push(Violation { rule, at: v.at, text, request: v.request });
    }
    found
}

/// A process ends only when it is told to, and then with 0.
fn processes(records: &[Record]) -> Vec<Violation> {
    let ended = |r: &Record| match r.what {
        What::Exited { node, told, code } if !told || code != Some(0) => {
            let text = format!("node {node} ended with {code:?}, told to: {told}");
            Some(Violation { rule: "exit", at: r.at, text, request: None })
        }
        _ => None,
    };
    records.iter().filter_map(ended).collect()
}

/// In no span of a budget's length more is used than the whole, by all nodes together.
fn budgets(records: &[Record], budgets: &[Budget]) -> Vec<Violation> {
    let over = |b: &Budget| {
        let (mut recent, mut sum) = (VecDeque::new(), 0);
        for r in records {
            let What::Used { budget, amount } = &r.what else { continue };
            if *budget != b.name {
                continue;
            }
            recent.push_back((r.at, *amount));
            sum += amount;
            while let Some((_, old)) = recent.pop_front_if(|u: &mut (At, u64)| u.0 <= r.at - b.span) {
                sum -= old;
            }
            if sum > b.whole + b.slack {
                let text =
                    format!("{sum} of {} in {:.3} s, of a whole of {}", b.name, b.span as f64 / 1e6, b.whole);
                return Some(Violation { rule: "budget", at: r.at, text, request: None });
            }
        }
        None
    };
    budgets.iter().filter_map(over).collect()
}

/// Once nothing is done to the processes any more, and they have had time, nearly all is served.
fn recovery(records: &[Record], terms: &Terms) -> Option<Violation> {
    let last = records.iter().filter(|r| matches!(r.what, What::Script { .. })).map(|r| r.at).max()?;
    let from = last + terms.settle;
    let asked: BTreeSet<u64> = records
        .iter()
        .filter_map(|r| {
            if let What::Asked { id, .. } = r.what {
                Some(id).filter(|_| r.at >= from)
            } else {
                None
            }
        })
        .collect();
    let served = |r: &&Record| matches!(r.what, What::Answered { id, status: 200 } if asked.contains(&id));
    let (count, of) = (records.iter().filter(served).count(), asked.len());
    (of >= FEW && (count as f64) < SERVED * of as f64).then(|| Violation {
        rule: "recovery",
        at: from,
        text: format!("{count} of {of} requests are served once all has settled"),
        request: None,
    })
}

/// The records that show a violation: those about its request, or about its node or budget shortly before.
pub fn shows(records: &[Record], v: &Violation) -> Vec<Record> {
    const BEFORE: At = 2_000_000;
    let about = |what: &What| match (what, v.request) {
        (What::Script { .. } | What::Serves { .. } | What::Struck { .. } | What::Exited { .. }, _) => true,
        (
            What::Asked { id, .. }
            | What::Answered { id, .. }
            | What::Unanswered { id }
            | What::Arrived { id, .. }
            | What::TurnedAway { id, .. }
            | What::Begun { id, .. },
            Some(request),
        ) => *id == request,
        (What::Told { .. }, _) => v.rule == "drain",
        (What::Used { .. }, _) => v.rule == "budget",
        _ => false,
    };
    let near = |r: &&Record| v.request.is_some() || (r.at <= v.at && r.at >= v.at - BEFORE);
    records.iter().filter(|r| about(&r.what)).filter(near).cloned().collect()
}
