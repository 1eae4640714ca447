//! What a fleet did, counted over the logs of all its nodes: connections by why they ended, lists and how late
//! each node heard of them, and, where the nodes logged with `-v`, dispatches, probes and answers.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Counts over all nodes whose lines were taken in.
#[derive(Debug, Default, Serialize)]
pub struct Fleet {
    /// Nodes.
    pub nodes: usize,
    /// Connections by component and reason: how many ended so.
    pub ends: BTreeMap<String, u64>,
    /// Connections to backend servers that came up: handshakes.
    pub handshakes: u64,
    /// Lists and changes taken in.
    pub lists: u64,
    /// How dispatches ended, and how many were further attempts.
    pub dispatches: BTreeMap<String, u64>,
    /// See `dispatches`.
    pub further: u64,
    /// Further attempts of requests of which an earlier one may have run.
    pub after_a_run: u64,
    /// How probes ended.
    pub probes: BTreeMap<String, u64>,
    /// Answers that no backend server gave.
    pub answers: BTreeMap<String, u64>,
    /// Of those, the ones given before any dispatch was made (logs that tell `attempts=`).
    pub unsent: u64,
    /// Dispatches by backend server and the second of their sending: how evenly the fleet uses its servers.
    #[serde(skip)]
    sent: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Each list by its number: when each node first held it or a later one, in seconds.
    #[serde(skip)]
    heard: BTreeMap<u64, Vec<f64>>,
}

/// Dispatches a second at a backend server, over the servers that had any.
#[derive(Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Servers that were sent anything.
    pub servers: usize,
    /// The least, median and most of dispatches a second.
    pub least: f64,
    /// See `least`.
    pub median: f64,
    /// See `least`.
    pub most: f64,
}

/// How late the nodes heard of lists that any of them had, in seconds.
#[derive(Debug, PartialEq, Serialize)]
pub struct News {
    /// Lists that more than one node may have had.
    pub lists: usize,
    /// Of each list and node: the median of how much later than the first node.
    pub median: f64,
    /// And the longest.
    pub longest: f64,
    /// Pairs of a list and a node that never held it.
    pub never: usize,
}

impl Fleet {
    /// Take in the log of one node. A line may begin with the seconds since the start; lines without count all the
    /// same, but tell nothing of when news came.
    pub fn node<'a>(&mut self, lines: impl Iterator<Item = &'a str>) {
        self.nodes += 1;
        let (mut newest, mut ran) = (0, BTreeSet::new());
        for line in lines {
            let at = line.split_whitespace().next().and_then(|w| w.parse::<f64>().ok());
            let text = ["INFO ", "DEBUG ", "WARN "].iter().find_map(|level| Some(line.split_once(level)?.1));
            let words: Vec<&str> = text.unwrap_or("").split_whitespace().collect();
            match words[..] {
                ["end", side, _, reason, ..] if reason.starts_with("reason=") => {
                    let reason = &reason[7..];
                    *self.ends.entry(format!("{side} {reason}")).or_default() += 1;
                    let up = !["refused", "connect-timeout", "no-sockets"].contains(&reason);
                    self.handshakes += u64::from(side == "backend" && up);
                }
                ["server", "table", number, ..] => {
                    self.lists += 1;
                    let number = number.trim_end_matches(':').parse().unwrap_or(0);
                    if let Some(at) = at.filter(|_| number > newest) {
                        for n in newest + 1..=number {
                            self.heard.entry(n).or_default().push(at);
                        }
                        newest = number;
                    }
                }
                ["dispatch", id, "ended", status, ..] => {
                    *self.dispatches.entry(status.to_string()).or_default() += 1;
                    let Some((request, attempt)) = id.split_once('.') else { continue };
                    self.further += u64::from(attempt != "0");
                    self.after_a_run += u64::from(attempt != "0" && ran.contains(request));
                    if ["Error", "Reset", "Timeout", "Cancelled", "BadRequest"].contains(&status) {
                        ran.insert(request.to_string());
                    }
                }
                ["probe", "of", _, "ended", status, ..] => {
                    *self.probes.entry(status.to_string()).or_default() += 1
                }
                ["answer", _, verdict, ref more @ ..] => {
                    *self.answers.entry(verdict.to_string()).or_default() += 1;
                    self.unsent += u64::from(more.first() == Some(&"attempts=0"));
                }
                ["dispatch", _, "to", server] => {
                    let second = at.map_or(0, |at| at.max(0.0) as u64);
                    *self.sent.entry(server.to_string()).or_default().entry(second).or_default() += 1;
                }
                _ => {}
            }
        }
    }

    /// Dispatches a second at each backend server over the seconds from its first dispatch to its last,
    /// sorted: the least, the median and the most. A server that came late and gets few shows at the
    /// bottom. `None` without dispatch lines.
    pub fn spread(&self) -> Option<Spread> {
        let rates = self.sent.values().map(|s| {
            let (first, last) =
                (s.keys().next().copied().unwrap_or(0), s.keys().next_back().copied().unwrap_or(0));
            s.values().sum::<u64>() as f64 / (last + 1 - first) as f64
        });
        let mut rates: Vec<f64> = rates.collect();
        rates.sort_unstable_by(f64::total_cmp);
        let (least, most) = (*rates.first()?, rates[rates.len() - 1]);
        Some(Spread { servers: rates.len(), least, median: rates[rates.len() / 2], most })
    }

    /// How late news came.
    pub fn news(&self) -> News {
        let mut late = Vec::new();
        for heard in self.heard.values() {
            let first = heard.iter().copied().fold(f64::INFINITY, f64::min);
            late.extend(heard.iter().map(|at| at - first));
        }
        late.sort_unstable_by(f64::total_cmp);
        News {
            lists: self.heard.len(),
            median: late.get(late.len() / 2).copied().unwrap_or(0.0),
            longest: late.last().copied().unwrap_or(0.0),
            never: self.heard.values().map(|h| self.nodes.saturating_sub(h.len())).sum(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn logs_of_several_nodes_are_counted_together() {
        let mut fleet = Fleet::default();
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
        fleet.node(first.lines());
        let second = "2.5 2026-12-01T10:00:02Z  INFO server table 3: 60 entries, whole=true
            no log line at all\n\n9.9 INFO end\n1 INFO server table";
        fleet.node(second.lines());
        fleet.node("2026-12-01T10:00:00Z  INFO server table 4: 60 entries, whole=true".lines());
        assert_eq!((fleet.nodes, fleet.handshakes, fleet.lists), (3, 1, 3));
        assert_eq!((fleet.ends["backend refused"], fleet.probes["Ok"], fleet.answers["denied"]), (1, 1, 2));
        assert_eq!(fleet.unsent, 1);
        // Three in four seconds at the first server, one in its only second at the one that came late.
        assert_eq!(fleet.spread(), Some(Spread { servers: 2, least: 0.75, median: 1.0, most: 1.0 }));
        assert_eq!(Fleet::default().spread(), None);
        assert_eq!((fleet.further, fleet.after_a_run, fleet.dispatches["Reset"]), (1, 1, 1));
        // Lists 1 to 3 came to the second node 2 s later and never to the third, which told no times.
        assert_eq!(fleet.news(), News { lists: 4, median: 0.0, longest: 2.0, never: 5 });
    }
}
