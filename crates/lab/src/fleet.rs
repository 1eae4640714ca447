//! Summary of the logs of a fleet's nodes: connections by the reason of their end, delays of the endpoint
//! lists, and, from logs with `-v`, dispatches, probes and answers.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Counts over the logs of all nodes.
#[derive(Debug, Default, Serialize)]
pub struct FleetSummary {
    /// Number of nodes.
    pub nodes: usize,
    /// Ended connections by component and reason.
    #[serde(rename = "ends")]
    pub connection_ends: BTreeMap<String, u64>,
    /// Established connections to backend servers.
    pub handshakes: u64,
    /// Endpoint lists and changes received.
    pub lists: u64,
    /// Ended dispatches by status.
    pub dispatches: BTreeMap<String, u64>,
    /// Ended dispatches that were not the first attempt of their request.
    #[serde(rename = "further")]
    pub retries: u64,
    /// Retries of requests of which an earlier attempt may have started at a server.
    #[serde(rename = "after_a_run")]
    pub retries_after_start: u64,
    /// Ended probes by status.
    pub probes: BTreeMap<String, u64>,
    /// Answers that the nodes gave themselves, without a response of a backend server.
    #[serde(rename = "answers")]
    pub local_answers: BTreeMap<String, u64>,
    /// Answers that a node gave before any attempt, from logs with `attempts=`.
    #[serde(rename = "unsent")]
    pub answers_without_attempt: u64,
    /// Dispatches by backend server and second of their sending.
    #[serde(skip)]
    dispatch_times: BTreeMap<String, BTreeMap<u64, u64>>,
    /// By list number: the times in seconds at which each node first had this list or a later one.
    #[serde(skip)]
    list_times: BTreeMap<u64, Vec<f64>>,
}

/// Dispatches per second at a backend server, over the servers that received any.
#[derive(Debug, PartialEq, Serialize)]
pub struct DispatchRates {
    /// Number of servers that received dispatches.
    pub servers: usize,
    /// The lowest rate of a server.
    #[serde(rename = "least")]
    pub min: f64,
    /// The median rate.
    pub median: f64,
    /// The highest rate of a server.
    #[serde(rename = "most")]
    pub max: f64,
}

/// Delays of lists at the nodes, relative to the first node that had them, in seconds.
#[derive(Debug, PartialEq, Serialize)]
pub struct ListDelays {
    /// Number of lists, up to the newest one that any node had.
    pub lists: usize,
    /// Median delay over all pairs of a list and a node.
    pub median: f64,
    /// Maximum delay.
    #[serde(rename = "longest")]
    pub max: f64,
    /// Pairs of a list and a node that never had it.
    #[serde(rename = "never")]
    pub missing: usize,
}

impl FleetSummary {
    /// Adds the log of one node. A line may begin with the seconds since the start; lines without this time
    /// do not count for delays.
    pub fn add_log<'a>(&mut self, lines: impl Iterator<Item = &'a str>) {
        self.nodes += 1;
        let (mut newest_list, mut started_requests) = (0, BTreeSet::new());
        for line in lines {
            let at = line.split_whitespace().next().and_then(|w| w.parse::<f64>().ok());
            let text = ["INFO ", "DEBUG ", "WARN "].iter().find_map(|level| Some(line.split_once(level)?.1));
            let tokens: Vec<&str> = text.unwrap_or("").split_whitespace().collect();
            match tokens[..] {
                ["end", side, _, reason, ..] if reason.starts_with("reason=") => {
                    let reason = &reason[7..];
                    *self.connection_ends.entry(format!("{side} {reason}")).or_default() += 1;
                    let is_established = !["refused", "connect-timeout", "no-sockets"].contains(&reason);
                    self.handshakes += u64::from(side == "backend" && is_established);
                }
                ["server", "table", number, ..] => {
                    self.lists += 1;
                    let number = number.trim_end_matches(':').parse().unwrap_or(0);
                    if let Some(at) = at.filter(|_| number > newest_list) {
                        for n in newest_list + 1..=number {
                            self.list_times.entry(n).or_default().push(at);
                        }
                        newest_list = number;
                    }
                }
                ["dispatch", id, "ended", status, ..] => {
                    *self.dispatches.entry(status.to_string()).or_default() += 1;
                    let Some((request, attempt)) = id.split_once('.') else { continue };
                    self.retries += u64::from(attempt != "0");
                    self.retries_after_start +=
                        u64::from(attempt != "0" && started_requests.contains(request));
                    if ["Error", "Reset", "Timeout", "Cancelled", "BadRequest"].contains(&status) {
                        started_requests.insert(request.to_string());
                    }
                }
                ["probe", "of", _, "ended", status, ..] => {
                    *self.probes.entry(status.to_string()).or_default() += 1
                }
                ["answer", _, outcome, ref fields @ ..] => {
                    *self.local_answers.entry(outcome.to_string()).or_default() += 1;
                    self.answers_without_attempt += u64::from(fields.first() == Some(&"attempts=0"));
                }
                ["dispatch", _, "to", server] => {
                    let second = at.map_or(0, |at| at.max(0.0) as u64);
                    *self.dispatch_times.entry(server.to_string()).or_default().entry(second).or_default() +=
                        1;
                }
                _ => {}
            }
        }
    }

    /// Returns the dispatches per second at each backend server, from its first dispatch to its last; `None`
    /// without dispatch lines. A server that joins late and receives too little lowers the minimum.
    pub fn dispatch_rates(&self) -> Option<DispatchRates> {
        let rates = self.dispatch_times.values().map(|s| {
            let (first, last) =
                (s.keys().next().copied().unwrap_or(0), s.keys().next_back().copied().unwrap_or(0));
            s.values().sum::<u64>() as f64 / (last + 1 - first) as f64
        });
        let mut rates: Vec<f64> = rates.collect();
        rates.sort_unstable_by(f64::total_cmp);
        let (min, max) = (*rates.first()?, rates[rates.len() - 1]);
        Some(DispatchRates { servers: rates.len(), min, median: rates[rates.len() / 2], max })
    }

    /// Returns the delays of lists.
    pub fn list_delays(&self) -> ListDelays {
        let mut delays = Vec::new();
        for list_times in self.list_times.values() {
            let first = list_times.iter().copied().fold(f64::INFINITY, f64::min);
            delays.extend(list_times.iter().map(|at| at - first));
        }
        delays.sort_unstable_by(f64::total_cmp);
        ListDelays {
            lists: self.list_times.len(),
            median: delays.get(delays.len() / 2).copied().unwrap_or(0.0),
            max: delays.last().copied().unwrap_or(0.0),
            missing: self.list_times.values().map(|h| self.nodes.saturating_sub(h.len())).sum(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn logs_of_several_nodes_are_summed() {
        let mut summary = FleetSummary::default();
        let first = "0.5 2026-12-01T10:00:00Z  INFO server table 4: 60 entries, whole=true
            1.0 2026-12-01T10:00:01Z  INFO end backend 127.0.0.1:1 reason=idle messages=4
            1.0 2026-12-01T10:00:01Z  INFO end backend 127.0.0.1:1 reason=refused messages=0
            1.1 2026-12-01T10:00:01Z DEBUG dispatch 7.0 ended Reset settled=false
            1.2 2026-12-01T10:00:01Z DEBUG dispatch 7.1 ended Ok settled=true
            1.3 2026-12-01T10:00:01Z DEBUG probe of 3 ended Ok Report { free: None, held: None }
            1.4 2026-12-01T10:00:01Z DEBUG answer 8 denied
            1.4 2026-12-01T10:00:01Z DEBUG answer 9 denied attempts=0 left_ms=4990
            0.2 2026-12-01T10:00:00Z DEBUG dispatch 7.0 to 127.0.0.1:1
            1.1 2026-12-01T10:00:01Z DEBUG dispatch 7.1 to 127.0.0.1:1
            3.1 2026-12-01T10:00:03Z DEBUG dispatch 9.0 to 127.0.0.1:1
            3.5 2026-12-01T10:00:03Z DEBUG dispatch 9.1 to 127.0.0.1:2";
        summary.add_log(first.lines());
        let second = "2.5 2026-12-01T10:00:02Z  INFO server table 3: 60 entries, whole=true
            no log line at all\n\n9.9 INFO end\n1 INFO server table";
        summary.add_log(second.lines());
        summary.add_log("2026-12-01T10:00:00Z  INFO server table 4: 60 entries, whole=true".lines());
        assert_eq!((summary.nodes, summary.handshakes, summary.lists), (3, 1, 3));
        assert_eq!(
            (
                summary.connection_ends["backend refused"],
                summary.probes["Ok"],
                summary.local_answers["denied"]
            ),
            (1, 1, 2)
        );
        assert_eq!(summary.answers_without_attempt, 1);
        // Three dispatches in four seconds at the first server, and one in one second at the second.
        assert_eq!(
            summary.dispatch_rates(),
            Some(DispatchRates { servers: 2, min: 0.75, median: 1.0, max: 1.0 })
        );
        assert_eq!(FleetSummary::default().dispatch_rates(), None);
        assert_eq!((summary.retries, summary.retries_after_start, summary.dispatches["Reset"]), (1, 1, 1));
        // The second node had lists 1 to 3 two seconds later; the third node's log has no times.
        assert_eq!(summary.list_delays(), ListDelays { lists: 4, median: 0.0, max: 2.0, missing: 5 });
    }
}
