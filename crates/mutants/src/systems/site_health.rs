//! Three sites of two nodes exchange heartbeats and observe each other's health.
//!
//! The third site goes down and comes back; a node of the first is paused for a while; later messages from the first site to the
//! second are lost, in this direction only.

use crate::change::Encoding;
use crate::scenario::{parse_json, Action, Process, Scenario};
use crate::simulation::{Actor, Violation};
use crate::Micros;
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::health::{Message, SiteHealth};
use shorepath_sites::SiteState;
use std::collections::BTreeMap;
use std::sync::OnceLock;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const NODES: usize = 6;
const TICK: Micros = 50 * MS;
/// The maximum number of state changes of one site at one node: five for an outage and the return, five for a
/// partition, and a margin of two.
const MAX_CHANGES: usize = 12;
/// The time after an outage or a partition within which all sites are linked again.
const RECOVERY_TIME: Micros = 4 * S;

fn sites_config() -> &'static SitesConfig {
    static CONFIG: OnceLock<SitesConfig> = OnceLock::new();
    CONFIG.get_or_init(|| {
        let mut config_text =
            String::from("(sites (fleet \"f\") (key \"k\") (confirm 400 ms) (alone 1 s) (hold 1 s)");
        for s in 0..NODES / 2 {
            let node = |n: usize| format!("(node s{s}n{n} \"10.0.{s}.{}:1\")", n + 1);
            config_text +=
                &format!("(site s{s} (bears 100) (server-prefix \"s{s}-\"){}{})", node(0), node(1));
        }
        // An invalid configuration would have no nodes, and every run would fail.
        read("s.sexp", &(config_text + ")")).unwrap_or_default()
    })
}

fn node_number(actor: Actor) -> u32 {
    sites_config().nodes().nth(actor).map_or(0, |(_, n)| n.number)
}

/// Returns the times of the third site's outage, and of the partition from the first site to the second.
fn fault_times(seed: u64) -> ([Micros; 2], [Micros; 2]) {
    let jitter = |k: u64| ((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (8 * k)) % 300) as Micros * MS;
    ([2 * S + jitter(0), 7 * S + jitter(1)], [11 * S + jitter(2), 12_700 * MS + jitter(3)])
}

/// One incarnation of a node. With the fault `AGE_FROM_ARRIVAL`, an old heartbeat counts as a new one, whose age is counted from its
/// arrival.
#[derive(Debug)]
pub struct Node<const AGE_FROM_ARRIVAL: bool> {
    seed: u64,
    me: usize,
    site_health: SiteHealth,
    next: Micros,
    /// The number of state changes by site.
    changes: BTreeMap<String, usize>,
    /// The greatest heartbeat received by site.
    greatest: BTreeMap<u32, u64>,
    violation: Option<Violation>,
}

impl<const AGE_FROM_ARRIVAL: bool> Node<AGE_FROM_ARRIVAL> {
    /// Returns the message with its heartbeats renewed by the fault, if there is one.
    fn renew_heartbeats(&mut self, mut message: Message) -> Message {
        let own = sites_config().sites.get(self.me / 2).map_or(0, |s| s.number);
        let greatest = self.greatest.entry(message.site).or_default();
        if AGE_FROM_ARRIVAL && message.heartbeat < *greatest && message.site != own {
            message.heartbeat = *greatest + 1;
            // The echo of the own site's heartbeat gets age 0, because the receiver doesn't know how long the message took.
            let newest = self.greatest.get(&own).copied().unwrap_or(0);
            for report in message.others.iter_mut().filter(|r| r.site == own) {
                (report.direct, report.direct_age) = (newest.max(report.direct) + 1, 0);
            }
        }
        let greatest = self.greatest.entry(message.site).or_default();
        *greatest = message.heartbeat.max(*greatest);
        message
    }

    fn check_changes(&mut self, now: Micros) {
        let (outage, partition) = fault_times(self.seed);
        for change in self.site_health.take_changes() {
            let count = self.changes.entry(change.site.clone()).or_default();
            *count += 1;
            let details = format!("{} at {now}: {change:?}, change {count}", self.me);
            let own_site = self.me / 2;
            let site = sites_config().sites.iter().position(|s| s.name == change.site).unwrap_or(0);
            let during = |[from, to]: [Micros; 2]| now >= from && now < to + RECOVERY_TIME;
            let affected = (site == 2 && during(outage))
                || (site.min(own_site), site.max(own_site)) == (0, 1) && during(partition);
            let rule = match change.to {
                _ if *count > MAX_CHANGES => "states change rarely",
                SiteState::Linked | SiteState::Doubtful => continue,
                SiteState::Lost if site != 2 => "a site that is up is never lost",
                SiteState::Returning if site == 2 && now >= outage[0] && now < outage[1] => {
                    "a site that is down does not return"
                }
                _ if !affected => "a site without a fault is at most doubtful",
                _ => continue,
            };
            self.violation.get_or_insert(Violation::new(rule, details));
        }
    }
}

impl<const AGE_FROM_ARRIVAL: bool> Process for Node<AGE_FROM_ARRIVAL> {
    fn receive(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        let message = parse_json(bytes)?;
        let message = self.renew_heartbeats(message);
        let received = self.site_health.receive(node_number(from), &message, now);
        received.map_err(|e| e.to_string().chars().filter(|c| !c.is_ascii_digit()).collect())
    }

    fn advance(&mut self, now: Micros) {
        self.next = now + TICK;
        self.site_health.tick(now);
        // Simulates the end of the recovery ramp of a site that returns.
        for (site, state, since) in self.site_health.states() {
            if state == SiteState::Returning && now - since >= 300 * MS {
                self.site_health.mark_recovered(&site, now);
            }
        }
        self.check_changes(now);
    }

    fn next_due(&self) -> Option<Micros> {
        Some(self.next)
    }

    fn take_outgoing(&mut self) -> Vec<(Actor, Vec<u8>)> {
        let actor = |to: u32| sites_config().nodes().position(|(_, n)| n.number == to);
        let outgoing = self.site_health.take_outgoing().into_iter();
        outgoing.filter_map(|(to, message)| Some((actor(to)?, serde_json::to_vec(&message).ok()?))).collect()
    }

    fn try_clone(&self) -> Option<Self> {
        Some(Node {
            site_health: self.site_health.clone(),
            changes: self.changes.clone(),
            greatest: self.greatest.clone(),
            violation: self.violation.clone(),
            ..*self
        })
    }
}

/// The scenario of [`crate::systems::site_health`]; for the fault see [`Node`].
#[derive(Debug)]
pub struct SiteHealthScenario<const AGE_FROM_ARRIVAL: bool = false>;

impl<const AGE_FROM_ARRIVAL: bool> Scenario for SiteHealthScenario<AGE_FROM_ARRIVAL> {
    type Process = Node<AGE_FROM_ARRIVAL>;
    const NAME: &'static str = "seeing";
    /// The messages have no type, so the mutation to an unknown type makes the site unknown.
    const ENCODING: Encoding = Encoding::Json("s");
    const DURATION: Micros = 17 * S;
    const DELAYS: [Micros; 3] = [300 * MS, 1_500 * MS, 4 * S];
    const SETTLE_TIME: Micros = 3 * S;
    const CLONEABLE: bool = true;
    const ACTOR_COUNT: usize = NODES;

    fn start(seed: u64, me: Actor, incarnation: u64, now: Micros) -> Self::Process {
        let node_seed = seed ^ (me as u64) << 16 ^ incarnation << 32;
        let site_health = SiteHealth::new(node_number(me), sites_config(), node_seed, now);
        // The configuration lists every node.
        let site_health = site_health.unwrap_or_else(|e| unreachable!("{e}"));
        let (changes, greatest) = (BTreeMap::new(), BTreeMap::new());
        Node { seed, me, site_health, next: now, changes, greatest, violation: None }
    }

    fn actions(seed: u64) -> Vec<(Micros, Action)> {
        let (outage, partition) = fault_times(seed);
        let mut all = vec![
            (outage[0], Action::Kill(4)),
            (outage[0], Action::Kill(5)),
            (outage[1], Action::Start(4)),
            (outage[1] + 100 * MS, Action::Start(5)),
            (9_300 * MS, Action::Pause(1, true)),
            (10_400 * MS, Action::Pause(1, false)),
        ];
        for (from, to) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            all.push((partition[0], Action::Partition(from, to, true)));
            all.push((partition[1], Action::Partition(from, to, false)));
        }
        all.sort_by_key(|a| a.0);
        all
    }

    fn check_invariants(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        processes.iter().flatten().find_map(|n| n.violation.clone()).map_or(Ok(()), Err)
    }

    fn check_final_state(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        for node in processes.iter().flatten() {
            let unlinked =
                node.site_health.states().into_iter().find(|(_, state, _)| *state != SiteState::Linked);
            if let Some(unlinked) = unlinked {
                return Err(Violation::new(
                    "all sites are linked at the end",
                    format!("node {} reports {unlinked:?}", node.me),
                ));
            }
        }
        Ok(())
    }
}
