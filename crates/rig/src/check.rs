//! Checkers of a run's history: the rules that hold whatever faults were injected into the processes.

use crate::history::{Event, Micros, Record, Repeat};
use crate::quota_servers::{CONNECTIONS, DISCOVERY_CALLS, IN_FLIGHT, PROBES, QUOTA, RETRIES};
use crate::site_checks::{self, SiteExpectations};
use shorepath_lab::rules::{self, Answer, Limits};
use shorepath_scheduler::Idempotency;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// A limit on the units of a budget that all nodes together may use in any window of a given length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Name of the budget in [`Event::Used`].
    pub name: String,
    /// Units that may be used in any window.
    pub total: u64,
    /// Length of the window, in microseconds.
    pub window: Micros,
    /// Units that may be used beyond the total because of measurement error.
    pub slack: u64,
}

/// The limits that a history is checked against.
#[derive(Clone, Debug)]
pub struct Expectations {
    /// How long after the client's timeout a final answer still counts as in time.
    pub answer_slack: Micros,
    /// How long after a node was informed that a server drains it may still dispatch new work there.
    pub drain_grace: Micros,
    /// Time after the script's last event from which on nearly all requests must be served.
    pub settle_time: Micros,
    /// Budgets whose use is recorded as [`Event::Used`].
    pub budgets: Vec<Budget>,
    /// Limits on shared budgets; `None` if the nodes share none.
    pub shared: Option<SharedBudgets>,
    /// Limits on accounts and sites; `None` if the script has no sites.
    pub sites: Option<SiteExpectations>,
}

/// The limits on budgets that nodes share, as the backend servers observe their use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudgets {
    /// Number of nodes.
    pub nodes: u64,
    /// How long a total may still be used after it was lowered.
    pub lowered_grace: Micros,
    /// How long unused units may be saved.
    pub burst: Micros,
    /// Least share of requests that are served after the settle time, from 0 to 1.
    pub served_share: f64,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the rule.
    pub rule: &'static str,
    /// Time of the violation since the start of the run.
    pub at: Micros,
    /// Description of what happened.
    pub text: String,
    /// The request that broke the rule; `None` if the rule is not about a single request.
    pub request: Option<u64>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {:.3} s: {}", self.rule, self.at as f64 / 1e6, self.text)
    }
}

/// Least share of requests that are served after the settle time, where nodes share no budgets.
const SERVED_SHARE: f64 = 0.9;
/// Least number of requests after the settle time for which the share of served ones is checked.
const MIN_REQUESTS: usize = 10;

/// Time in which a process that was starved of a processor handles what queued up meanwhile.
const CATCH_UP_TIME: Micros = 300_000;

/// Returns all violations in a history, ordered by time.
pub fn check(records: &[Record], expectations: &Expectations) -> Vec<Violation> {
    let mut found = check_requests(records, expectations);
    found.extend(check_exits(records));
    found.extend(check_budgets(records, &expectations.budgets));
    found.extend(expectations.shared.iter().flat_map(|s| check_shared_budgets(records, s)));
    found.extend(expectations.sites.iter().flat_map(|s| site_checks::check(records, s)));
    found.extend(check_recovery(records, expectations));
    found.sort_by_key(|v| v.at);
    found
}

/// Returns the intervals in which each node is excused from deadlines: it was killed, halted, or starved of a processor.
pub(crate) fn disrupted_intervals(records: &[Record]) -> BTreeMap<u32, Vec<(Micros, Micros)>> {
    let mut intervals: BTreeMap<u32, Vec<(Micros, Micros)>> = BTreeMap::new();
    for r in records {
        match r.event {
            Event::Disrupted { node } => {
                intervals.entry(node).or_default().push((r.at, Micros::MAX));
            }
            Event::Ready { node } => {
                let open = intervals.entry(node).or_default().iter_mut().filter(|s| s.1 == Micros::MAX);
                open.for_each(|s| s.1 = r.at);
            }
            Event::Starved { node, from } => {
                intervals.entry(node).or_default().push((from, r.at + CATCH_UP_TIME))
            }
            _ => {}
        }
    }
    intervals
}

/// Returns whether the node's process, or the test harness, was starved of a processor at some time in the interval.
fn was_starved(records: &[Record], node: u32, from: Micros, to: Micros) -> bool {
    let within = |r: &Record| matches!(r.event, Event::Starved { node: n, from: since } if n == node && since <= to && r.at + CATCH_UP_TIME >= from);
    records.iter().any(within)
}

/// Checks that each request has one final answer in time, that nothing repeats that must not, and that draining servers get no new work.
/// The rules are those of the simulator's checker.
fn check_requests(records: &[Record], expectations: &Expectations) -> Vec<Violation> {
    let limits = Limits { slack: expectations.answer_slack, drain_grace: expectations.drain_grace };
    let (mut checker, disrupted) =
        (rules::Checker::with_max_kept(limits, usize::MAX), disrupted_intervals(records));
    let mut open: BTreeMap<u64, (Micros, u32, Micros)> = BTreeMap::new();
    let mut answered = BTreeSet::new();
    let mut found = Vec::new();
    let excused = |node: u32, from: Micros, to: Micros| {
        disrupted.get(&node).is_some_and(|all| all.iter().any(|s| s.0 <= to && s.1 >= from))
    };
    // A dispatch is dated by its first byte, since its last one may arrive much later.
    let mut ordered: Vec<(Micros, &Record)> = records
        .iter()
        .map(|r| (if let Event::Arrived { sent, .. } = r.event { sent } else { r.at }, r))
        .collect();
    ordered.sort_by_key(|(at, _)| *at);
    for (_, r) in ordered {
        match r.event {
            Event::Requested { id, node, timeout, repeat } => {
                let idempotency = if repeat == Repeat::Never {
                    Idempotency::NonIdempotent
                } else {
                    Idempotency::Idempotent
                };
                checker.request_accepted(id, r.at + timeout, idempotency);
                open.insert(id, (r.at, node, timeout));
            }
            Event::Arrived { id, server, node, sent } => checker.sent(id, node, server, sent),
            Event::RejectedByServer { id, .. } => checker.ended(id, true),
            Event::JobStarted { id, server } => checker.job_started(id, server, r.at),
            Event::ServerListed { node, server, live } => {
                checker.endpoint_reported(node, server, live, 0, r.at)
            }
            Event::Answered { id, status } => {
                let answer = match status {
                    200 => Answer::Served,
                    429 | 503 => Answer::Refused,
                    _ => Answer::Failed,
                };
                answered.insert(id);
                checker.answered(id, answer, r.at);
            }
            Event::Unanswered { id } => {
                let requested = open.get(&id).copied();
                if let Some((at, node, timeout)) = requested.filter(|_| !answered.contains(&id)) {
                    checker.left(id);
                    if !excused(node, at, at + timeout + expectations.answer_slack) {
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
            // A process that was halted or starved reads discovery's update only after it has caught up.
            rules::Rule::Drain => match open.get(&id) {
                Some(&(_, node, _)) if excused(node, v.at, v.at) => continue,
                _ => "drain",
            },
            rules::Rule::AnsweredTwice => "answered-twice",
            rules::Rule::SentAgain => "sent-again",
            rules::Rule::RefusedAfterRun => "refused-after-run",
            // A process that was halted can't notice that a client disconnected meanwhile.
            rules::Rule::SentAfterEnd => match open.get(&id) {
                // Without a processor the harness may record the dispatch later than the answer.
                Some(&(at, node, _)) if was_starved(records, node, at, v.at) => continue,
                Some(&(at, node, timeout))
                    if !answered.contains(&id)
                        && excused(node, at, at + timeout + expectations.answer_slack) =>
                {
                    continue
                }
                _ => "sent-after-end",
            },
            rules::Rule::Unanswered => match open.get(&id) {
                Some(&(at, node, timeout)) if excused(node, at, at + timeout + expectations.answer_slack) => {
                    continue
                }
                _ => "late",
            },
            // The backend servers of this harness don't fail under overload.
            rules::Rule::Felled | rules::Rule::FelledByOne => continue,
        };
        let text = match v.server {
            Some(server) => format!("request {id} at server {server}"),
            None => format!("request {id}"),
        };
        found.push(Violation { rule, at: v.at, text, request: v.request });
    }
    found
}

/// Checks that processes exit only after a SIGTERM, and then with exit code 0.
fn check_exits(records: &[Record]) -> Vec<Violation> {
    let violation = |r: &Record| match r.event {
        Event::Exited { node, requested, code } if !requested || code != Some(0) => {
            let text = format!("node {node} exited with {code:?}, requested: {requested}");
            Some(Violation { rule: "exit", at: r.at, text, request: None })
        }
        _ => None,
    };
    records.iter().filter_map(violation).collect()
}

/// Checks that all nodes together use no more than a budget's total in any window of the budget's length.
fn check_budgets(records: &[Record], budgets: &[Budget]) -> Vec<Violation> {
    let over = |b: &Budget| {
        let (mut recent, mut sum) = (VecDeque::new(), 0);
        for r in records {
            let Event::Used { budget, amount } = &r.event else { continue };
            if *budget != b.name {
                continue;
            }
            recent.push_back((r.at, *amount));
            sum += amount;
            while let Some((_, old)) = recent.pop_front_if(|u: &mut (Micros, u64)| u.0 <= r.at - b.window) {
                sum -= old;
            }
            if sum > b.total + b.slack {
                let text = format!(
                    "{sum} units of {} were used in {:.3} s, the total is {}",
                    b.name,
                    b.window as f64 / 1e6,
                    b.total
                );
                return Some(Violation { rule: "budget", at: r.at, text, request: None });
            }
        }
        None
    };
    budgets.iter().filter_map(over).collect()
}

/// Windows over which the use of budgets per second is summed, in microseconds.
const RATE_WINDOWS: [Micros; 2] = [1_000_000, 5_000_000];

/// Checks that the use of each shared budget, as the servers observe it, keeps to its total. Budgets per second are checked over each
/// window, plus saved units, one unit of rounding for each process, and one percent for clocks and measurement error. Budgets of
/// concurrent use are checked at each moment.
fn check_shared_budgets(records: &[Record], expectations: &SharedBudgets) -> Vec<Violation> {
    let mut totals: BTreeMap<&str, Vec<(Micros, u64)>> = BTreeMap::new();
    let mut non_repeatable = BTreeSet::new();
    let (mut sent, mut released, mut starts) = (Vec::new(), BTreeMap::new(), Vec::new());
    let (mut probes, mut discovery_calls, mut ends) = (Vec::new(), Vec::new(), BTreeMap::new());
    for r in records {
        match &r.event {
            Event::BudgetTotal { budget, total } => totals.entry(budget).or_default().push((r.at, *total)),
            Event::Requested { id, repeat: Repeat::Never, .. } => drop(non_repeatable.insert(*id)),
            Event::Arrived { id, server, sent: at, .. } => sent.push((*at, *id, *server)),
            Event::Probed { sent, .. } => probes.push(*sent),
            Event::DiscoveryConnected { .. } => discovery_calls.push(r.at),
            Event::Answered { id, .. } | Event::Unanswered { id } => drop(ends.insert(*id, r.at)),
            Event::JobReleased { id, server } => {
                released.entry((*id, *server)).or_insert_with(VecDeque::new).push_back(r.at)
            }
            Event::Ready { .. } => starts.push(r.at),
            _ => {}
        }
    }
    sent.sort_unstable();
    probes.sort_unstable();
    // The greatest total in force during an interval; a total that was replaced stays in force for the grace time.
    let greatest_total = |budget: &str, from: Micros, to: Micros| {
        let all = totals.get(budget).map(Vec::as_slice).unwrap_or_default();
        let until = |k: usize| all.get(k + 1).map_or(Micros::MAX, |next| next.0 + expectations.lowered_grace);
        let in_force = all.iter().enumerate().filter(|(k, (at, _))| *at <= to && until(*k) >= from);
        in_force.map(|(_, (_, total))| *total).max()
    };
    let mut found = Vec::new();
    let mut report = |at: Micros, budget: &str, text: String| {
        found.push(Violation { rule: "shared", at, text: format!("{budget}: {text}"), request: None });
    };
    // A request's first attempt counts against the quota, its further ones against the retry budget.
    let mut seen = BTreeSet::new();
    let (mut first_attempts, mut retries) = (Vec::new(), Vec::new());
    for (at, id, _) in &sent {
        if seen.insert(*id) { &mut first_attempts } else { &mut retries }.push(*at);
    }
    for (budget, all) in
        [(QUOTA, first_attempts), (RETRIES, retries), (PROBES, probes), (DISCOVERY_CALLS, discovery_calls)]
    {
        for window in RATE_WINDOWS {
            let mut first = 0;
            for (k, at) in all.iter().enumerate() {
                while all[first] <= at - window {
                    first += 1;
                }
                let Some(total) = greatest_total(budget, at - window, *at) else { continue };
                let processes = expectations.nodes
                    + starts.iter().filter(|s| (at - window..=*at).contains(*s)).count() as u64;
                let limit =
                    total as f64 * (window + expectations.burst) as f64 / 1e6 * 1.01 + processes as f64;
                if (k - first + 1) as f64 > limit {
                    let text = format!(
                        "used {} times in {} s, the total is {total} a second",
                        k - first + 1,
                        window / 1_000_000
                    );
                    report(*at, budget, text);
                    break;
                }
            }
        }
    }
    // Jobs that must not repeat are in flight from the first byte of the dispatch until the server releases them.
    let mut in_flight: Vec<(Micros, i64)> = Vec::new();
    // An attempt at a server counts until the server releases it, its request is answered, or the request is dispatched again: the
    // interval in which it is outstanding by its node's own count too.
    let mut outstanding: BTreeMap<u32, Vec<(Micros, i64)>> = BTreeMap::new();
    let mut dispatches: BTreeMap<u64, VecDeque<Micros>> = BTreeMap::new();
    sent.iter().for_each(|(at, id, _)| dispatches.entry(*id).or_default().push_back(*at));
    for (at, id, server) in &sent {
        let end = released.get_mut(&(*id, *server)).and_then(VecDeque::pop_front);
        if non_repeatable.contains(id) {
            in_flight.push((*at, 1));
            in_flight.extend(end.map(|end| (end, -1)));
        }
        let next_dispatch = dispatches.get_mut(id).and_then(|all| {
            all.pop_front();
            all.front().copied()
        });
        let changes = outstanding.entry(*server).or_default();
        changes.push((*at, 1));
        let over = end.into_iter().chain(next_dispatch).chain(ends.get(id).copied()).min();
        changes.extend(over.map(|over| (over.max(*at), -1)));
    }
    let connections = outstanding
        .into_iter()
        .map(|(server, changes)| (CONNECTIONS, format!(" at server {server}"), changes));
    for (budget, place, mut changes) in [(IN_FLIGHT, String::new(), in_flight)].into_iter().chain(connections)
    {
        changes.sort_unstable();
        let mut concurrent = 0;
        for (at, change) in changes {
            concurrent += change;
            if let Some(total) = greatest_total(budget, at, at).filter(|w| concurrent > *w as i64) {
                report(
                    at,
                    budget,
                    format!("{concurrent} units in use concurrently{place}, the total is {total}"),
                );
                break;
            }
        }
    }
    found
}

/// Checks that nearly all requests are served once the settle time after the script's last event is over.
fn check_recovery(records: &[Record], expectations: &Expectations) -> Option<Violation> {
    let last = records.iter().filter(|r| matches!(r.event, Event::Script { .. })).map(|r| r.at).max()?;
    let from = last + expectations.settle_time;
    // Requests that nodes reject with a reason are checked by the rules of accounts and sites.
    let rejected = |r: &Record| if let Event::RejectedByNode { id, .. } = r.event { Some(id) } else { None };
    let rejected: BTreeSet<u64> = records.iter().filter_map(rejected).collect();
    let disrupted = disrupted_intervals(records);
    let excused = |node: u32, at: Micros| {
        disrupted
            .get(&node)
            .is_some_and(|all| all.iter().any(|s| s.0 <= at + expectations.settle_time && s.1 >= at))
    };
    let requested: BTreeSet<u64> = records
        .iter()
        .filter_map(|r| {
            if let Event::Requested { id, node, .. } = r.event {
                Some(id).filter(|id| r.at >= from && !rejected.contains(id) && !excused(node, r.at))
            } else {
                None
            }
        })
        .collect();
    let served =
        |r: &&Record| matches!(r.event, Event::Answered { id, status: 200 } if requested.contains(&id));
    let (count, of) = (records.iter().filter(served).count(), requested.len());
    let least = expectations.shared.map_or(SERVED_SHARE, |s| s.served_share);
    (of >= MIN_REQUESTS && (count as f64) < least * of as f64).then(|| Violation {
        rule: "recovery",
        at: from,
        text: format!("{count} of {of} requests were served after the settle time"),
        request: None,
    })
}

/// Returns the records that explain a violation: those about its request, or those about its node or budget shortly before it.
pub fn evidence(records: &[Record], v: &Violation) -> Vec<Record> {
    const TIME_BEFORE: Micros = 2_000_000;
    let about = |event: &Event| match (event, v.request) {
        (Event::Script { .. } | Event::Ready { .. } | Event::Disrupted { .. } | Event::Exited { .. }, _) => {
            true
        }
        (
            Event::Requested { id, .. }
            | Event::Answered { id, .. }
            | Event::Unanswered { id }
            | Event::Arrived { id, .. }
            | Event::RejectedByServer { id, .. }
            | Event::JobStarted { id, .. }
            | Event::RequestDetails { id, .. }
            | Event::RejectedByNode { id, .. },
            Some(request),
        ) => *id == request,
        (Event::ServerListed { .. }, _) => v.rule == "drain",
        (
            Event::Placed { .. }
            | Event::DiskDigest { .. }
            | Event::MergedDigest { .. }
            | Event::PlacementDigest { .. },
            _,
        ) => ["histories-differ", "disk"].contains(&v.rule),
        (
            Event::AccountsFileDelivered { .. }
            | Event::Disk { .. }
            | Event::AccountStatus { .. }
            | Event::ReportedState { .. },
            _,
        ) => true,
        (Event::Used { .. }, _) => v.rule == "budget",
        (
            Event::BudgetTotal { .. }
            | Event::Arrived { .. }
            | Event::JobReleased { .. }
            | Event::Probed { .. }
            | Event::DiscoveryConnected { .. },
            None,
        ) => v.rule == "shared",
        _ => false,
    };
    let near = |r: &&Record| v.request.is_some() || (r.at <= v.at && r.at >= v.at - TIME_BEFORE);
    records.iter().filter(|r| about(&r.event)).filter(near).cloned().collect()
}
