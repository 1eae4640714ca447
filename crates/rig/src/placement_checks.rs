//! Checkers of placements: what nodes report of them at the end of a run, and what their disks hold.
//!
//! A disk that is lost, or replaced by an old copy, takes the entries with it that no other disk has. Which entries were certainly copied
//! is derived from the injected faults; uncertain cases are not checked.

use crate::check::Violation;
use crate::history::{Event, Micros, Record};
use crate::site_checks::{intervals, overlaps, violation, Interval, SiteExpectations, STEP};
use std::collections::BTreeMap;
use std::fmt;

/// Derives from the injected faults which placements were certainly copied to another node's disk.
#[derive(Debug)]
pub struct CopyTracker<'a> {
    expectations: &'a SiteExpectations,
    down: BTreeMap<u32, Vec<Interval>>,
    /// Cuts by sending and receiving site.
    cut: BTreeMap<(u32, u32), Vec<Interval>>,
    /// Intervals with degraded links by site.
    degraded: BTreeMap<u32, Vec<Interval>>,
    /// When a node's disk was lost or replaced by an old copy, and the node.
    disk_losses: Vec<(Micros, u32)>,
    last: Micros,
}

impl CopyTracker<'_> {
    /// Collects the faults of a history.
    pub fn new<'a>(records: &[Record], expectations: &'a SiteExpectations) -> CopyTracker<'a> {
        let disk_loss = |r: &Record| match &r.event {
            Event::Disk { node, disk } if disk != "kept" => Some((r.at, *node)),
            _ => None,
        };
        let mut down = intervals(records, |event| match event {
            Event::Disrupted { node } | Event::Terminating { node } | Event::Exited { node, .. } => {
                vec![(*node, true)]
            }
            Event::Ready { node } => vec![(*node, false)],
            _ => Vec::new(),
        });
        add_starved_intervals(records, &mut down);
        CopyTracker {
            expectations,
            down,
            cut: intervals(records, |event| match event {
                Event::SiteLinkCut { from, to, cut } => vec![((*from, *to), *cut)],
                _ => Vec::new(),
            }),
            degraded: intervals(records, |event| match event {
                Event::SiteLinkDegraded { site, degraded } => vec![(*site, *degraded)],
                _ => Vec::new(),
            }),
            disk_losses: records.iter().filter_map(disk_loss).collect(),
            last: records.last().map_or(0, |r| r.at),
        }
    }

    /// Returns when the node's disk was first lost at or after the given time.
    fn lost_after(&self, node: u32, at: Micros) -> Option<Micros> {
        self.disk_losses.iter().find(|(when, n)| *n == node && *when >= at).map(|(when, _)| *when)
    }

    /// Returns whether two nodes are anti-entropy peers whose link was intact during the interval.
    fn connected(&self, a: u32, b: u32, from: Micros, to: Micros) -> bool {
        let (own, other) = (self.expectations.site_of(a), self.expectations.site_of(b));
        let peers =
            self.expectations.nodes_per_site <= 2 || (own == other && self.expectations.nodes_per_site <= 5);
        peers
            && ![a, b].iter().any(|n| overlaps(self.down.get(n), from, to))
            && ![(own, other), (other, own)].iter().any(|way| overlaps(self.cut.get(way), from, to))
            && ![own, other].iter().any(|site| overlaps(self.degraded.get(site), from, to))
    }

    /// Returns whether an entry that a node wrote at the given time is certainly on a disk that was not lost since.
    pub fn surely_kept(&self, node: u32, at: Micros) -> bool {
        let Some(lost) = self.lost_after(node, at) else { return true };
        let copy_time = self.expectations.copy_time;
        (0..self.expectations.node_count()).filter(|m| *m != node && self.lost_after(*m, at).is_none()).any(
            |m| {
                let mut from = at;
                while from + copy_time <= lost.min(self.last) {
                    if self.connected(node, m, from, from + copy_time) {
                        return true;
                    }
                    from += STEP;
                }
                false
            },
        )
    }
}

/// Adds the intervals in which processes were starved of a processor.
pub(crate) fn add_starved_intervals(records: &[Record], down: &mut BTreeMap<u32, Vec<Interval>>) {
    for r in records {
        if let Event::Starved { node, from } = r.event {
            down.entry(node).or_default().push((from, r.at));
        }
    }
}

/// Checks that a node whose process received a datagram with a wrong authentication code logged at least one such message since that
/// process started.
fn check_dropped_messages(records: &[Record], copies: &CopyTracker) -> Vec<Violation> {
    let mut found = Vec::new();
    for r in records {
        let Event::DatagramChanged { from, to, change } = &r.event else { continue };
        let receives = !overlaps(copies.down.get(to), r.at - LOG_TIME, r.at + LOG_TIME);
        if !["cut", "byte"].contains(&change.as_str()) || !receives {
            continue;
        }
        let started =
            |s: &&Record| s.at <= r.at && matches!(s.event, Event::ProcessStarted { node } if node == *to);
        let since = records.iter().filter(started).map(|s| s.at).max().unwrap_or(0);
        let logged = |s: &Record| {
            matches!(s.event, Event::MessageDropped { node } if node == *to)
                && (since..=r.at + LOG_TIME).contains(&s.at)
        };
        if !records.iter().any(logged) {
            let text = format!(
                "a message from node {from} to node {to} was changed ({change}), and node {to} logged no dropped message"
            );
            found.push(violation("unnoticed", r.at, None, text));
        }
    }
    found
}

/// Time in which a node logs a message that fails authentication.
const LOG_TIME: Micros = 2_000_000;

/// An idempotency key, the node that places its job, and the backend server.
type PlacementKey<'a> = (&'a str, u32, u32);

/// A placement as the disks hold it.
#[derive(Clone, Copy, Debug)]
struct Placed<'a> {
    entry: &'a str,
    outcome: &'a str,
}

impl fmt::Display for Placed<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.entry, self.outcome)
    }
}

fn list(placements: &[Placed]) -> String {
    if placements.is_empty() {
        return "none".into();
    }
    placements.iter().map(Placed::to_string).collect::<Vec<_>>().join(", ")
}

/// Returns all violations of the rules of placements.
pub fn check(records: &[Record], expectations: &SiteExpectations) -> Vec<Violation> {
    let copies = CopyTracker::new(records, expectations);
    let mut found = check_digests(records, expectations);
    found.extend(check_dropped_messages(records, &copies));
    let last = records.last().map_or(0, |r| r.at);
    // Keys of all requests, and nodes of those that must not repeat, by request.
    let (mut keys, mut nodes) = (BTreeMap::new(), BTreeMap::new());
    let mut starts: BTreeMap<PlacementKey, Vec<(Micros, u64)>> = BTreeMap::new();
    let mut placements: BTreeMap<PlacementKey, Vec<Placed>> = BTreeMap::new();
    let mut disks_were_read = false;
    for r in records {
        match &r.event {
            Event::RequestDetails { id, key, .. } => drop(keys.insert(*id, key.as_str())),
            Event::Requested { id, node, repeat: crate::history::Repeat::Never, .. } => {
                nodes.insert(*id, *node);
            }
            Event::JobStarted { id, server } => {
                if let (Some(key), Some(node)) = (keys.get(id), nodes.get(id)) {
                    starts.entry((key, *node, *server)).or_default().push((r.at, *id));
                }
            }
            Event::DiskDigest { .. } => disks_were_read = true,
            Event::Placed { node, entry, key, server, outcome, .. } => {
                let placement = Placed { entry, outcome };
                placements.entry((key, *node, *server)).or_default().push(placement);
            }
            _ => {}
        }
    }
    if !disks_were_read {
        return found;
    }
    let none = Vec::new();
    for (place, started) in &starts {
        let (key, node, server) = place;
        let all = placements.get(place).unwrap_or(&none);
        let may_have_run = all.iter().filter(|p| p.outcome != "never-ran").count();
        let (at, id) = started[0];
        if may_have_run < started.len() && copies.surely_kept(*node, at) {
            let entries = list(all);
            let text = format!(
                "request {id} ({key}) was started at server {server} for node {node} {} times; {may_have_run} of its placements may have run: {entries}",
                started.len()
            );
            found.push(violation("start-unrecorded", at, Some(id), text));
        }
    }
    for (place, all) in &placements {
        let (key, node, server) = place;
        let (started, served) = (starts.get(place), all.iter().filter(|p| p.outcome == "served").count());
        if served > started.map_or(0, Vec::len) {
            let text = format!(
                "{key} was placed at server {server} by node {node} and served {served} times; the server recorded {} starts: {}",
                started.map_or(0, Vec::len),
                list(all)
            );
            found.push(violation("recorded-without-start", last, started.map(|b| b[0].1), text));
        }
    }
    found
}

/// Checks that all nodes report the same placements at the end, and that their disks together hold exactly these. A single disk may lack
/// the latest copies of other nodes' logs, which the node requests again when it restarts.
fn check_digests(records: &[Record], expectations: &SiteExpectations) -> Vec<Violation> {
    let (mut reported, mut merged, mut found) = (BTreeMap::new(), None, Vec::new());
    for r in records {
        match &r.event {
            Event::PlacementDigest { node, digest, .. } => drop(reported.insert(*node, digest.as_str())),
            Event::MergedDigest { digest } => merged = Some(digest.as_str()),
            Event::DiskDigest { node, digest: None, error } => {
                found.push(violation(
                    "disk",
                    r.at,
                    None,
                    format!("the disk of node {node} can't be read: {error}"),
                ));
            }
            _ => {}
        }
    }
    let last = records.last().map_or(0, |r| r.at);
    let first = reported.values().next();
    let all_or_none_report = reported.is_empty() || reported.len() == expectations.node_count() as usize;
    if reported.values().any(|digest| Some(digest) != first) || !all_or_none_report {
        found.push(violation(
            "histories-differ",
            last,
            None,
            format!("nodes report the placement digests {reported:?}"),
        ));
    } else if let (Some(reported), Some(on_disks)) = (first, merged.filter(|_| found.is_empty())) {
        if *reported != on_disks {
            let text = format!(
                "nodes report the placement digest {reported}, and their disks together have {on_disks}"
            );
            found.push(violation("histories-differ", last, None, text));
        }
    }
    found
}
