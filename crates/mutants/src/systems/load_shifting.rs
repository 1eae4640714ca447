//! Three sites of two nodes report their capacity and demand, and serve remote requests of a lost site.
//!
//! The third site goes down and comes back with a recovery ramp. Each node receives a constant rate of client requests, so the
//! permitted rates of remote requests are computed here without the cores under test.

use crate::change::Encoding;
use crate::scenario::{parse_json, Action, Process, Scenario};
use crate::simulation::{Actor, Violation};
use crate::Micros;
use shorepath_recovery::slow_start::SlowStart;
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::health::{Message, SiteHealth};
use shorepath_sites::load_allocation::{allocate, SiteLoad};
use shorepath_sites::load_shifting::{Class, LoadShifting};
use shorepath_sites::SiteState;
use std::collections::BTreeSet;
use std::sync::OnceLock;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const NODES: usize = 6;
const TICK: Micros = 100 * MS;
/// The capacity of a site, in requests per second.
const CAPACITY: u64 = 400;
/// For each class its name, its value, the percentage of the capacity that is reserved for remote requests, and the requests that
/// each node receives per tick.
const CLASSES: [(&str, u64, u64, u64); 2] = [("control", 3_000, 10, 8), ("forecast", 1_000, 5, 4)];
const SLOW_START: SlowStart = SlowStart { min_share: 0.3, duration: 2 * S };
/// The time after a start by which a node knows the rates of its requests.
const DEMAND_MEASURED: Micros = 2_500 * MS;
/// How often a node's limit for remote requests may reverse its direction by one part in [`REVERSAL_DIVISOR`] of the maximum: it rises
/// with the outage and falls with the return, and a mutated message may cause one more rise and fall.
const MAX_REVERSALS: u32 = 4;
const REVERSAL_DIVISOR: u64 = 4;

fn sites_config() -> &'static SitesConfig {
    static CONFIG: OnceLock<SitesConfig> = OnceLock::new();
    CONFIG.get_or_init(|| {
        let mut config_text =
            String::from("(sites (fleet \"f\") (key \"k\") (confirm 400 ms) (alone 1 s) (hold 1 s)");
        for s in 0..NODES / 2 {
            let node = |n: usize| format!("(node s{s}n{n} \"10.0.{s}.{}:1\")", n + 1);
            let reserved: String = CLASSES
                .iter()
                .map(|(name, _, percent, _)| format!("(class {name} (part {percent}))"))
                .collect();
            config_text +=
                &format!("(site s{s} (bears {CAPACITY}){}{})(lend s{s} {reserved})", node(0), node(1));
        }
        // An invalid configuration would have no nodes, and every run would fail.
        read("s.sexp", &(config_text + ")")).unwrap_or_default()
    })
}

fn classes() -> Vec<Class> {
    CLASSES.iter().map(|(name, value, ..)| Class { name: name.to_string(), value: *value }).collect()
}

fn node_number(actor: Actor) -> u32 {
    sites_config().nodes().nth(actor).map_or(0, |(_, n)| n.number)
}

/// Returns the rate of remote requests for which a node always reserves capacity, for a class with this percentage.
fn reserved_rate(percent: u64) -> u64 {
    CAPACITY * percent / 100 / 2
}

/// Returns the maximum rate of remote requests of each class at one node: the reserved rate, or the allocation for the loss of the
/// third site with the headroom of remote clients. Both include a tolerance, since nodes count requests over a short window.
fn max_remote_rates() -> &'static [u64] {
    static MAX: OnceLock<Vec<u64>> = OnceLock::new();
    MAX.get_or_init(|| {
        let load = |name: &str| {
            let rate = |(class, _, _, per_tick): &(&str, u64, u64, u64)| {
                (class.to_string(), per_tick * 2 * (S / TICK) as u64)
            };
            let state = if name == "s2" { SiteState::Lost } else { SiteState::Linked };
            SiteLoad {
                state,
                capacity: CAPACITY,
                demand: CLASSES.iter().map(rate).collect(),
                load_percent: 100,
            }
        };
        let loads = sites_config().sites.iter().map(|s| (s.name.clone(), load(&s.name))).collect();
        let values = CLASSES.iter().map(|(name, value, ..)| (name.to_string(), *value)).collect();
        let allocation = allocate(sites_config(), &loads, &values);
        let max = |(name, _, percent, _): &(&str, u64, u64, u64)| {
            let allocated = allocation.rate("s0", name).max(allocation.rate("s1", name)).div_ceil(2);
            reserved_rate(*percent).max(allocated + allocated / 4) * 21 / 20 + 1
        };
        CLASSES.iter().map(max).collect()
    })
}

/// One incarnation of a node. With the fault `DOUBLES_DEMAND`, a duplicated message reports twice the demand.
#[derive(Clone, Debug)]
pub struct Node<const DOUBLES_DEMAND: bool> {
    me: usize,
    started_at: Micros,
    site_health: SiteHealth,
    load_shifting: LoadShifting,
    next: Micros,
    received: BTreeSet<(Actor, Vec<u8>)>,
    /// The current limit for remote requests, over all classes.
    remote_rate: u64,
    /// The extreme of that limit since its last reversal, whether it rises, and the number of reversals.
    trend: (u64, bool, u32),
    peak: u64,
    violation: Option<Violation>,
}

impl<const DOUBLES_DEMAND: bool> Node<DOUBLES_DEMAND> {
    fn check_limits(&mut self, now: Micros) {
        let Some(limits) = self.load_shifting.limits().remote.clone() else { return };
        self.remote_rate = limits.iter().sum();
        self.peak = self.peak.max(self.remote_rate);
        // Before it knows its demand, a node treats all its capacity as spare.
        if now - self.started_at < DEMAND_MEASURED {
            (self.trend, self.peak) = ((self.remote_rate, true, 0), 0);
            return;
        }
        if let Some(k) = (0..limits.len()).find(|k| limits.get(*k) > max_remote_rates().get(*k)) {
            let details = format!(
                "node {} at {now} has limits {limits:?}, the maximum is {:?}: class {k} exceeds it",
                self.me,
                max_remote_rates()
            );
            self.violation
                .get_or_insert(Violation::new("remote limits never exceed the allocation", details));
        }
        let (extreme, rising, reversals) = self.trend;
        let reversal_threshold = max_remote_rates().iter().sum::<u64>() / REVERSAL_DIVISOR;
        self.trend = match rising {
            true if self.remote_rate + reversal_threshold <= extreme => {
                (self.remote_rate, false, reversals + 1)
            }
            true => (extreme.max(self.remote_rate), true, reversals),
            false if self.remote_rate >= extreme + reversal_threshold => {
                (self.remote_rate, true, reversals + 1)
            }
            false => (extreme.min(self.remote_rate), false, reversals),
        };
        if self.trend.2 > MAX_REVERSALS {
            let details = format!(
                "node {} at {now} has limits {limits:?}; their sum has changed direction {} times",
                self.me, self.trend.2
            );
            self.violation.get_or_insert(Violation::new("remote limits do not oscillate", details));
        }
    }
}

impl<const DOUBLES_DEMAND: bool> Process for Node<DOUBLES_DEMAND> {
    fn receive(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String> {
        let mut message: Message = parse_json(bytes)?;
        if DOUBLES_DEMAND && !self.received.insert((from, bytes.to_vec())) {
            let demand = message.load.iter_mut().flat_map(|l| l.demand.iter_mut());
            demand.for_each(|(_, rate)| *rate *= 2);
        }
        let from = node_number(from);
        let received = self.site_health.receive(from, &message, now);
        received.map_err(|e| e.to_string().chars().filter(|c| !c.is_ascii_digit()).collect::<String>())?;
        self.load_shifting.receive(&self.site_health, from, &message, now);
        Ok(())
    }

    fn advance(&mut self, now: Micros) {
        self.next = now + TICK;
        for (k, (.., per_tick)) in CLASSES.iter().enumerate() {
            (0..*per_tick).for_each(|_| self.load_shifting.record_request(k));
        }
        self.site_health.tick(now);
        self.load_shifting.tick(&mut self.site_health, &classes(), (20, 0), true, now);
        self.site_health.take_changes();
        self.check_limits(now);
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
        Some(self.clone())
    }
}

/// The scenario of [`crate::systems::load_shifting`]; for the fault see [`Node`].
#[derive(Debug)]
pub struct LoadShiftingScenario<const DOUBLES_DEMAND: bool = false>;

impl<const DOUBLES_DEMAND: bool> Scenario for LoadShiftingScenario<DOUBLES_DEMAND> {
    type Process = Node<DOUBLES_DEMAND>;
    const NAME: &'static str = "lending";
    const ENCODING: Encoding = Encoding::Json("s");
    const DURATION: Micros = 17 * S;
    const DELAYS: [Micros; 3] = [700 * MS, 1_500 * MS, 5 * S];
    const SETTLE_TIME: Micros = 4 * S;
    const CLONEABLE: bool = true;
    const ACTOR_COUNT: usize = NODES;

    fn start(seed: u64, me: Actor, incarnation: u64, now: Micros) -> Self::Process {
        let site_health = SiteHealth::new(
            node_number(me),
            sites_config(),
            seed ^ (me as u64) << 16 ^ incarnation << 32,
            now,
        );
        // Creation only fails for a node that is missing in the configuration, and the configuration lists every node.
        let site_health = site_health.unwrap_or_else(|e| unreachable!("{e}"));
        let (load_shifting, received) = (LoadShifting::new(SLOW_START, now), BTreeSet::new());
        let trend = (0, true, 0);
        Node {
            me,
            started_at: now,
            site_health,
            load_shifting,
            next: now,
            received,
            remote_rate: 0,
            trend,
            peak: 0,
            violation: None,
        }
    }

    fn actions(seed: u64) -> Vec<(Micros, Action)> {
        let jitter = |k: u64| ((seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> (8 * k)) % 300) as Micros * MS;
        vec![
            (4 * S + jitter(0), Action::Kill(4)),
            (4 * S + jitter(0), Action::Kill(5)),
            (7_500 * MS + jitter(1), Action::Start(4)),
            (7_600 * MS + jitter(1), Action::Start(5)),
        ]
    }

    fn check_invariants(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        processes.iter().flatten().find_map(|n| n.violation.clone()).map_or(Ok(()), Err)
    }

    fn check_final_state(processes: &[Option<Self::Process>], _: Micros) -> Result<(), Violation> {
        let reserved: u64 = CLASSES.iter().map(|(_, _, percent, _)| reserved_rate(*percent)).sum();
        for node in processes.iter().flatten() {
            if node.remote_rate != reserved {
                let details = format!(
                    "node {} allows remote requests at rate {} instead of {reserved}",
                    node.me, node.remote_rate
                );
                return Err(Violation::new(
                    "only reserved capacity serves remote requests at the end",
                    details,
                ));
            }
            if node.me < 4 && node.peak < 2 * reserved {
                let details =
                    format!("node {} allowed remote requests at rate {} at most", node.me, node.peak);
                return Err(Violation::new("the load of a lost site is served", details));
            }
        }
        Ok(())
    }
}
