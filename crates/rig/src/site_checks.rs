//! Checkers of accounts and sites, from the history alone.
//!
//! The history doesn't record what a node knew at a given time. The checkers derive what a node certainly knew, and what it certainly
//! could not have received, from the faults that were injected into processes and links. Uncertain cases are not checked.

use crate::check::{disrupted_intervals, Violation};
use crate::history::{Event, Micros, Record, Repeat};
use crate::placement_checks::{self, CopyTracker};
use crate::script::{Script, TENANTS};
use std::collections::{BTreeMap, BTreeSet};

/// The limits on accounts and sites that a history is checked against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SiteExpectations {
    /// Number of sites.
    pub sites: u32,
    /// Number of nodes in each site.
    pub nodes_per_site: u32,
    /// The only account with a credit, and so the only one that may be rejected while account status is unconfirmed.
    pub account: String,
    /// The account's credit in jobs, over all sites.
    pub credit: u64,
    /// Time in which a node applies an accounts file that was delivered to it.
    pub apply_time: Micros,
    /// Time in which an accounts file reaches a node over intact links if at least half of the other nodes know it. Each node gossips to
    /// one random peer every 200 ms, and requests files that it misses: with 6 nodes, 2 s are exceeded with a probability below 1e-7.
    pub gossip_time: Micros,
    /// The same where only one other node knows the file, as after a partition: 5 s are exceeded with a probability of 1e-4.
    pub single_peer_gossip_time: Micros,
    /// Age of the last messages from which on account status is unconfirmed, with allowance for latency and a slow machine.
    pub confirmation_timeout: Micros,
    /// Time for which messages must have arrived before account status is confirmed again, less allowance for a slow machine.
    pub confirmation_delay: Micros,
    /// Time in which a request is rejected because of its account.
    pub rejection_time: Micros,
    /// Time in which an entry on a node's disk is copied to the disk of a peer over an intact link.
    pub copy_time: Micros,
    /// Whether nodes own ranges of idempotency keys: clients then repeat a key at several nodes, and its job must still run only once.
    pub key_ownership: bool,
}

impl SiteExpectations {
    /// Returns the limits for nodes that are configured as this package does it.
    pub fn from_script(script: &Script) -> SiteExpectations {
        SiteExpectations {
            sites: script.sites,
            nodes_per_site: script.nodes / script.sites.max(1),
            account: TENANTS[0].to_string(),
            credit: crate::sites::CREDIT,
            apply_time: 1_000_000,
            gossip_time: 2_500_000,
            single_peer_gossip_time: 8_000_000,
            confirmation_timeout: 3_500_000,
            confirmation_delay: 1_800_000,
            rejection_time: 1_000_000,
            copy_time: 2_500_000,
            key_ownership: script.quota_servers > 0,
        }
    }

    pub(crate) fn node_count(&self) -> u32 {
        self.sites * self.nodes_per_site
    }

    pub(crate) fn site_of(&self, node: u32) -> u32 {
        node / self.nodes_per_site.max(1)
    }
}

/// A closed time interval; its end is [`Micros::MAX`] while it is open.
pub(crate) type Interval = (Micros, Micros);

/// Returns whether any of the intervals overlaps the one from `from` to `to`.
pub(crate) fn overlaps(intervals: Option<&Vec<Interval>>, from: Micros, to: Micros) -> bool {
    intervals.is_some_and(|all| all.iter().any(|s| s.0 <= to && s.1 >= from))
}

/// Collects intervals by key; `changes` returns the keys whose interval an event opens (`true`) or closes (`false`).
pub(crate) fn intervals<K: Ord + Clone>(
    records: &[Record],
    changes: impl Fn(&Event) -> Vec<(K, bool)>,
) -> BTreeMap<K, Vec<Interval>> {
    let mut all: BTreeMap<K, Vec<Interval>> = BTreeMap::new();
    for r in records {
        for (key, open) in changes(&r.event) {
            let own = all.entry(key).or_default();
            match own.last_mut().filter(|s| s.1 == Micros::MAX) {
                Some(last) if !open => last.1 = r.at,
                None if open => own.push((r.at, Micros::MAX)),
                _ => {}
            }
        }
    }
    all
}

/// The events of one request, as far as the rules of accounts need them.
#[derive(Clone, Debug, Default)]
struct Request {
    tenant: String,
    repeat_of: Option<u64>,
    /// Whether the job must not repeat.
    guarded: bool,
    /// When the client sent the request, and to which node.
    requested: Option<(Micros, u32)>,
    /// When the first byte of its first dispatch was sent.
    sent: Option<Micros>,
    started: Vec<Micros>,
    /// When a node rejected it, and the reason.
    rejected: Option<(Micros, String)>,
}

fn collect_requests(records: &[Record]) -> BTreeMap<u64, Request> {
    let mut all: BTreeMap<u64, Request> = BTreeMap::new();
    for r in records {
        match &r.event {
            Event::RequestDetails { id, tenant, repeat_of, .. } => {
                let request = all.entry(*id).or_default();
                (request.tenant, request.repeat_of) = (tenant.clone(), *repeat_of);
            }
            Event::Requested { id, node, repeat, .. } => {
                let request = all.entry(*id).or_default();
                (request.requested, request.guarded) = (Some((r.at, *node)), *repeat == Repeat::Never);
            }
            Event::Arrived { id, sent, .. } => {
                let request = all.entry(*id).or_default();
                request.sent = Some(request.sent.map_or(*sent, |first| first.min(*sent)));
            }
            Event::JobStarted { id, .. } => all.entry(*id).or_default().started.push(r.at),
            Event::RejectedByNode { id, reason } => {
                all.entry(*id).or_default().rejected = Some((r.at, reason.clone()));
            }
            _ => {}
        }
    }
    all
}

/// Iterates over the earlier requests that request `id` repeats under the same idempotency key or request id, the latest first.
fn repeated_requests(all: &BTreeMap<u64, Request>, id: u64) -> impl Iterator<Item = (u64, &Request)> {
    let mut next = all.get(&id).and_then(|r| r.repeat_of);
    std::iter::from_fn(move || {
        let id = next?;
        let request = all.get(&id)?;
        // A request only repeats earlier ones, so the chain ends unless a request names itself.
        next = request.repeat_of.filter(|before| *before != id);
        Some((id, request))
    })
}

/// An accounts file and its delivery to a node.
#[derive(Clone, Debug)]
struct AccountsFile {
    delivered_at: Micros,
    node: u32,
    number: u64,
    account: String,
    status: String,
}

impl AccountsFile {
    fn rejects_new_work(&self) -> bool {
        self.status == "closing" || self.status == "closed"
    }
}

fn collect_files(records: &[Record]) -> Vec<AccountsFile> {
    let file = |r: &Record| match &r.event {
        Event::AccountsFileDelivered { node, number, account, status } => Some(AccountsFile {
            delivered_at: r.at,
            node: *node,
            number: *number,
            account: account.clone(),
            status: status.clone(),
        }),
        _ => None,
    };
    records.iter().filter_map(file).collect()
}

/// Returns all violations of the rules of accounts and sites, including those of placements.
pub fn check(records: &[Record], expectations: &SiteExpectations) -> Vec<Violation> {
    let (requests, files) = (collect_requests(records), collect_files(records));
    let mut found = check_rejections(records, expectations, &requests, &files);
    found.extend(check_guarded_jobs(records, expectations, &requests));
    found.extend(placement_checks::check(records, expectations));
    found.extend(
        files
            .iter()
            .filter(|f| f.rejects_new_work())
            .flat_map(|f| check_closing_account(records, expectations, &requests, &files, f)),
    );
    found.extend(check_credit(records, expectations, &requests));
    found.extend(check_final_state(records, expectations, &files));
    found
}

pub(crate) fn violation(rule: &'static str, at: Micros, id: Option<u64>, text: String) -> Violation {
    Violation { rule, at, text, request: id }
}

/// Reasons for which a site may reject a request of any account.
const SITE_REASONS: [&str; 2] = ["site returning", "guest part used"];
/// Further reasons for jobs that must not repeat.
const GUARDED_REASONS: [&str; 4] =
    ["catching up", "placements can't be recorded", "served before", "may have run"];

/// Prefixes of further reasons for jobs that must not repeat, where nodes own ranges of idempotency keys.
const OWNERSHIP_REASON_PREFIXES: [&str; 3] = ["home s", "no lease of s", "home becomes s"];

/// Checks that rejections have a valid reason, come in time, and don't abort a job that was dispatched.
fn check_rejections(
    records: &[Record],
    expectations: &SiteExpectations,
    requests: &BTreeMap<u64, Request>,
    files: &[AccountsFile],
) -> Vec<Violation> {
    let (disrupted, mut found) = (disrupted_intervals(records), Vec::new());
    for (id, request) in requests {
        let (Some((at, reason)), Some((requested, node))) = (&request.rejected, request.requested) else {
            continue;
        };
        let closes_account =
            |f: &&AccountsFile| f.account == request.tenant && f.delivered_at <= *at && f.rejects_new_work();
        let valid = if reason.starts_with("account") {
            files.iter().any(|f| closes_account(&f))
        } else if reason.starts_with("standing") {
            request.tenant == expectations.account
        } else {
            // The remaining reasons apply to every tenant.
            let ownership =
                expectations.key_ownership && OWNERSHIP_REASON_PREFIXES.iter().any(|h| reason.starts_with(h));
            SITE_REASONS.contains(&reason.as_str())
                || (request.guarded && (ownership || GUARDED_REASONS.contains(&reason.as_str())))
        };
        if !valid {
            let text = format!("request {id} of {} at node {node}: {reason}", request.tenant);
            found.push(violation("barred", *at, Some(*id), text));
        }
        if at - requested > expectations.rejection_time && !overlaps(disrupted.get(&node), requested, *at) {
            let text =
                format!("request {id} at node {node} was rejected after {} ms", (at - requested) / 1_000);
            found.push(violation("slow-refusal", *at, Some(*id), text));
        }
        let closed = files.iter().any(|f| closes_account(&f) && f.status == "closed");
        if request.sent.is_some() && !closed {
            let text =
                format!("request {id} at node {node} was rejected after it had been dispatched: {reason}");
            found.push(violation("broken-off", *at, Some(*id), text));
        }
    }
    found
}

/// Checks that a job that must not repeat runs once over all sites, however often its client sends it under one key. Where nodes own
/// ranges of keys, clients repeat after any outcome; a first run whose record may have been lost with a disk is then not counted.
fn check_guarded_jobs(
    records: &[Record],
    expectations: &SiteExpectations,
    requests: &BTreeMap<u64, Request>,
) -> Vec<Violation> {
    let copies = CopyTracker::new(records, expectations);
    let mut runs: BTreeMap<u64, Vec<(Micros, u32)>> = BTreeMap::new();
    for (id, request) in requests.iter().filter(|(_, r)| r.guarded) {
        let first = repeated_requests(requests, *id).last().map_or(*id, |(first, _)| first);
        let node = request.requested.map_or(0, |(_, node)| node);
        runs.entry(first).or_default().extend(request.started.iter().map(|at| (*at, node)));
    }
    let mut found = Vec::new();
    for (id, mut started) in runs {
        started.sort_unstable();
        let Some(((last, _), before)) = started.split_last() else { continue };
        if before.iter().any(|(at, node)| !expectations.key_ownership || copies.surely_kept(*node, *at)) {
            let count = started.len();
            let text =
                format!("the job of request {id} was started {count} times over all sites: {started:?}");
            found.push(violation("key-ran-twice", *last, Some(id), text));
        }
    }
    found
}

/// Time step at which a node's knowledge is evaluated, in microseconds.
pub(crate) const STEP: Micros = 50_000;

/// Returns the intervals in which each node certainly knew an accounts file. A node may lose what it learned shortly before its process
/// ends, and loses everything with its disk.
fn known_intervals(
    records: &[Record],
    expectations: &SiteExpectations,
    files: &[AccountsFile],
    file: &AccountsFile,
) -> BTreeMap<u32, Vec<Interval>> {
    let mut down = intervals(records, |event| match event {
        Event::Disrupted { node } | Event::Terminating { node } => vec![(*node, true)],
        Event::Exited { node, .. } => vec![(*node, true)],
        Event::Ready { node } => vec![(*node, false)],
        _ => Vec::new(),
    });
    placement_checks::add_starved_intervals(records, &mut down);
    let cut = intervals(records, |event| match event {
        Event::SiteLinkCut { from, to, cut } => vec![((*from, *to), *cut)],
        _ => Vec::new(),
    });
    let degraded = intervals(records, |event| match event {
        Event::SiteLinkDegraded { site, degraded } => vec![(*site, *degraded)],
        _ => Vec::new(),
    });
    let connected = |a: u32, b: u32, from: Micros, to: Micros| {
        let (own, other) = (expectations.site_of(a), expectations.site_of(b));
        !overlaps(down.get(&a), from, to)
            && !overlaps(down.get(&b), from, to)
            && !overlaps(cut.get(&(own, other)), from, to)
            && !overlaps(cut.get(&(other, own)), from, to)
            && !overlaps(degraded.get(&own), from, to)
            && !overlaps(degraded.get(&other), from, to)
    };
    let delivered = |node: u32, at: Micros| {
        let newer =
            |f: &AccountsFile| f.node == node && f.delivered_at > file.delivered_at && f.delivered_at <= at;
        (node == file.node && !files.iter().any(newer)).then_some(file.delivered_at)
    };
    let disk_loss = |r: &Record| match &r.event {
        Event::Disk { node, disk } if disk != "kept" => Some((r.at, *node)),
        _ => None,
    };
    let disk_losses: Vec<(Micros, u32)> = records.iter().filter_map(disk_loss).collect();
    let last = records.last().map_or(0, |r| r.at);
    let mut known_since: BTreeMap<u32, Micros> = BTreeMap::new();
    let mut all: BTreeMap<u32, Vec<Interval>> = BTreeMap::new();
    let mut at = file.delivered_at;
    while at <= last {
        for node in 0..expectations.node_count() {
            if disk_losses.iter().any(|(when, n)| *n == node && *when > at - STEP && *when <= at) {
                known_since.remove(&node);
            }
            if overlaps(down.get(&node), at - STEP, at) {
                // What the node learned last may not be on its disk yet.
                if known_since.get(&node).is_some_and(|known| at - known < expectations.apply_time) {
                    known_since.remove(&node);
                }
                continue;
            }
            let applied = delivered(node, at).is_some_and(|from| at - expectations.apply_time >= from)
                && !overlaps(down.get(&node), at - expectations.apply_time, at);
            let informed_peers = |span: Micros| {
                let informed = |(other, known): &(&u32, &Micros)| {
                    **known <= at - span && connected(node, **other, at - span, at)
                };
                known_since.iter().filter(|(other, _)| **other != node).filter(informed).count() as u32
            };
            let peers = expectations.node_count() - 1;
            if !known_since.contains_key(&node)
                && (applied
                    || informed_peers(expectations.gossip_time) * 2 >= peers
                    || informed_peers(expectations.single_peer_gossip_time) > 0)
            {
                known_since.insert(node, at);
                all.entry(node).or_default().push((at, at));
            }
        }
        for node in known_since.keys() {
            all.entry(*node).or_default().iter_mut().last().into_iter().for_each(|s| s.1 = at);
        }
        at += STEP;
    }
    all
}

/// Checks that no new job of a closing account starts at a node that certainly knows of the file.
fn check_closing_account(
    records: &[Record],
    expectations: &SiteExpectations,
    requests: &BTreeMap<u64, Request>,
    files: &[AccountsFile],
    file: &AccountsFile,
) -> Vec<Violation> {
    let newer = files.iter().filter(|f| f.account == file.account && f.number > file.number);
    let until = newer.map(|f| f.delivered_at).min().unwrap_or(Micros::MAX);
    let known = known_intervals(records, expectations, files, file);
    let mut found = Vec::new();
    for (id, request) in requests.iter().filter(|(_, r)| r.tenant == file.account) {
        let (Some((requested, node)), Some(sent)) = (request.requested, request.sent) else { continue };
        let knew = known.get(&node).into_iter().flatten().any(|s| s.0 <= requested && sent < s.1);
        if knew && sent < until && is_new(requests, *id, node) {
            let text = format!(
                "request {id} of {} was started at node {node}, {:.1} s after file {} ({}) had been delivered to node {}",
                file.account,
                (requested - file.delivered_at) as f64 / 1e6,
                file.number,
                file.status,
                file.node
            );
            found.push(violation("new-of-closing", sent, Some(*id), text));
        }
    }
    found
}

/// Returns whether a request is new work at a node: it repeats no request that this node may have accepted, or that another node placed
/// and this one may know of by anti-entropy.
fn is_new(requests: &BTreeMap<u64, Request>, id: u64, node: u32) -> bool {
    let accepted = |r: &Request| r.requested.is_some_and(|(_, at)| at == node || r.sent.is_some());
    !repeated_requests(requests, id).any(|(_, r)| r.rejected.is_none() && accepted(r))
}

/// Returns the intervals in which account status was certainly unconfirmed at each node.
fn unconfirmed_intervals(
    records: &[Record],
    expectations: &SiteExpectations,
) -> BTreeMap<u32, Vec<Interval>> {
    let link_cut = intervals(records, |event| match event {
        Event::SiteLinkCut { from, to, cut } => vec![((*from, *to), *cut)],
        _ => Vec::new(),
    });
    // A node sends nothing from the end or halt of its process until another one is started or the same one continues.
    let silent = intervals(records, |event| match event {
        Event::Disrupted { node } | Event::Exited { node, .. } => vec![(*node, true)],
        Event::ProcessStarted { node } | Event::Ready { node } => vec![(*node, false)],
        _ => Vec::new(),
    });
    let mut starved = BTreeMap::new();
    placement_checks::add_starved_intervals(records, &mut starved);
    let first = records.iter().find_map(|r| matches!(r.event, Event::Requested { .. }).then_some(r.at));
    let last = records.last().map_or(0, |r| r.at);
    let mut all: BTreeMap<u32, Vec<Interval>> = BTreeMap::new();
    for node in 0..expectations.node_count() {
        let own = expectations.site_of(node);
        let starts: Vec<Micros> = records
            .iter()
            .filter(|r| matches!(r.event, Event::ProcessStarted { node: n } if n == node))
            .map(|r| r.at)
            .collect();
        let (mut isolated_since, mut connected_since, mut unconfirmed, mut gap_unnoticed) =
            (None::<Micros>, None::<Micros>, false, false);
        let mut at = first.unwrap_or(last);
        while at <= last {
            let started = starts.iter().any(|s| *s > at - STEP && *s <= at);
            let receives_from = |site: &u32| {
                let sends = |n: u32| !overlaps(silent.get(&n), at, at);
                let nodes = site * expectations.nodes_per_site..(site + 1) * expectations.nodes_per_site;
                *site == own
                    || (!overlaps(link_cut.get(&(*site, own)), at, at) && nodes.into_iter().any(sends))
            };
            let halted = overlaps(silent.get(&node), at, at);
            if (0..expectations.sites).filter(receives_from).count() as u32 * 2 > expectations.sites {
                connected_since = if started { Some(at) } else { connected_since.or(Some(at)) };
                isolated_since = None;
            } else {
                isolated_since = isolated_since.or(Some(at));
                // A starved process reads late what was sent long before.
                if !unconfirmed && overlaps(starved.get(&node), at, at) {
                    isolated_since = Some(at);
                }
                // A node may not notice an isolation shorter than the confirmation timeout, so it still counts as connected.
                connected_since = connected_since.filter(|_| {
                    isolated_since.is_some_and(|since| at - since < expectations.confirmation_timeout)
                });
            }
            let was_unconfirmed = unconfirmed;
            // A process that was halted for the whole gap does not notice it if messages arrive again before it continues. Otherwise
            // its clock shows that its information is out of date before it starts any job.
            unconfirmed &= !(gap_unnoticed && isolated_since.is_none() && !started);
            gap_unnoticed = halted && (gap_unnoticed || !unconfirmed);
            unconfirmed |= started
                || isolated_since.is_some_and(|since| at - since >= expectations.confirmation_timeout);
            unconfirmed &= started
                || isolated_since.is_some()
                || connected_since.is_none_or(|since| at - since < expectations.confirmation_delay);
            let own = all.entry(node).or_default();
            match (was_unconfirmed, unconfirmed) {
                (false, true) => own.push((at, Micros::MAX)),
                (true, false) => own.iter_mut().last().into_iter().for_each(|s| s.1 = at),
                _ => {}
            }
            at += STEP;
        }
    }
    all
}

/// Checks that a node starts no more jobs than its share of the credit while account status is unconfirmed, over all of its processes.
/// Each restart with an old disk adds one share, since that disk holds the use of the credit as of its copy.
fn check_credit(
    records: &[Record],
    expectations: &SiteExpectations,
    requests: &BTreeMap<u64, Request>,
) -> Vec<Violation> {
    let mut found = Vec::new();
    for (node, unconfirmed) in unconfirmed_intervals(records, expectations) {
        let count = u64::from(expectations.node_count());
        let share = expectations.credit / count + u64::from(u64::from(node) < expectations.credit % count);
        for (from, to) in unconfirmed {
            let old_disk = |r: &&Record| {
                let restored =
                    matches!(&r.event, Event::Disk { node: n, disk } if *n == node && disk == "old");
                restored && (from..=to).contains(&r.at)
            };
            let refills = records.iter().filter(old_disk).count() as u64;
            let uses_credit = |(id, r): &(&u64, &Request)| {
                let requested = r.requested.is_some_and(|(at, n)| n == node && (from..=to).contains(&at));
                let within = requested && r.sent.is_some_and(|at| at <= to) && !r.started.is_empty();
                within && r.tenant == expectations.account && is_new(requests, **id, node)
            };
            let started: Vec<(Micros, u64)> =
                requests.iter().filter(uses_credit).filter_map(|(id, r)| Some((r.sent?, *id))).collect();
            let limit = share * (1 + refills);
            if started.len() as u64 > limit {
                let text = format!(
                    "node {node} started {} jobs while account status was unconfirmed from {:.3} s on, of {limit}",
                    started.len(),
                    from as f64 / 1e6
                );
                let at = started.iter().max().map_or(from, |b| b.0);
                found.push(violation("credit", at, None, text));
            }
        }
    }
    found
}

/// Returns whether a reported state of a site, a key range (`home SITE/NODE`) or account status (`standing`) is one that a settled fleet
/// may report. A site may still be in load recovery.
pub fn is_settled_state(subject: &str, state: &str) -> bool {
    match subject {
        "standing" => state == "confirmed",
        range if range.starts_with("home ") => state == "held",
        _ => ["Linked", "Returning", "WholeAgain"].contains(&state),
    }
}

/// Checks that at the end of the run all nodes report each account's status as the newest file sets it, all sites as linked, and account
/// status as confirmed.
fn check_final_state(
    records: &[Record],
    expectations: &SiteExpectations,
    files: &[AccountsFile],
) -> Vec<Violation> {
    let strictness = |status: &str| crate::script::STATUSES_BY_STRICTNESS.iter().position(|s| *s == status);
    let mut found = Vec::new();
    let (mut statuses, mut reporting, mut subjects) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
    for r in records {
        match &r.event {
            Event::AccountStatus { node, account, status } => {
                statuses.insert((account.clone(), *node), status.clone());
            }
            Event::ReportedState { node, subject, state } => {
                reporting.insert(*node);
                subjects.insert((*node, subject.clone()));
                if !is_settled_state(subject, state) {
                    let text = format!("node {node} reports {subject} as {state} at the end");
                    found.push(violation("not-whole", r.at, None, text));
                }
            }
            _ => {}
        }
    }
    let last = records.last().map_or(0, |r| r.at);
    for node in (0..expectations.node_count()).filter(|n| !reporting.contains(n)) {
        found.push(violation("not-whole", last, None, format!("node {node} reports nothing at the end")));
    }
    let newest = files.iter().map(|f| f.number).max().unwrap_or(0);
    let accounts: BTreeSet<&String> = files.iter().map(|f| &f.account).collect();
    for node in reporting.iter().filter(|_| expectations.key_ownership) {
        let range = format!("home s{}/n{node}", expectations.site_of(*node));
        if !subjects.contains(&(*node, range.clone())) {
            let text = format!("node {node} does not hold {range} at the end");
            found.push(violation("not-whole", last, None, text));
        }
    }
    for account in accounts {
        let of_account = || files.iter().filter(|f| f.account == *account);
        let unnamed = if of_account().any(AccountsFile::rejects_new_work) { "reopened" } else { "good" };
        let named = of_account().filter(|f| f.number == newest).map(|f| f.status.as_str());
        let expected = named.max_by_key(|s| strictness(s)).unwrap_or(unnamed);
        for node in reporting.iter() {
            let reported = statuses.get(&(account.clone(), *node)).map_or("nothing", String::as_str);
            if reported != expected {
                let text = format!("node {node} reports {account} as {reported}; file {newest}: {expected}");
                found.push(violation("differs", last, None, text));
            }
        }
    }
    found
}
