//! Allocation of the load of sites that can't serve it to other sites. The result is a pure function of the
//! configuration and of the states, capacities and demands of the sites, in integer arithmetic, so all nodes with the
//! same knowledge compute the same allocation.
//!
//! A *remote client* is a client of another site, and the site that serves it is its *host*. A host reserves shares of
//! its capacity for remote clients, by class, in its `(lend ...)` clause, even if its own clients need them; its own
//! load never loses more than these shares together. Beyond them, remote clients get the capacity that the host's own
//! load leaves unused, of which `(least ...)` guarantees a class a minimum against more valuable classes. Own and
//! remote load together never exceed the host's capacity.

use crate::config::SitesConfig;
use crate::SiteState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Capacities and demands are capped at this many units a second, so that sums don't overflow.
const MAX_UNITS: u64 = 1 << 50;

/// State, capacity and demand of one site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteLoad {
    /// State of the site; a node sees its own site as linked.
    #[serde(rename = "seen")]
    pub state: SiteState,
    /// Current capacity of its servers, in units of work a second.
    #[serde(rename = "bears")]
    pub capacity: u64,
    /// Demand of its own clients by class, in units a second; the last known demand for a lost site.
    pub demand: BTreeMap<String, u64>,
    /// Share of its load that it takes itself while it is returning, in percent.
    #[serde(rename = "part")]
    pub load_percent: u8,
}

/// Capacity of a host for remote clients of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoteAllocation {
    /// Largest rate, in units a second.
    pub rate: u64,
    /// The same rate in percent of the host's capacity, rounded down.
    #[serde(rename = "part")]
    pub percent: u8,
    /// The rate divided by the clients' own sites, in units a second.
    #[serde(rename = "to")]
    pub by_site: BTreeMap<String, u64>,
}

/// Capacity of a host for remote clients of all classes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAllocation {
    /// Allocation by class; classes without any are left out.
    pub classes: BTreeMap<String, RemoteAllocation>,
    /// Largest rate that the host's own load may lose to remote clients, in units a second; the rest is spare capacity.
    #[serde(rename = "taken")]
    pub displaced: u64,
}

impl HostAllocation {
    /// Returns the rate for remote clients of all classes together, in units a second.
    pub fn rate(&self) -> u64 {
        self.classes.values().map(|g| g.rate).sum()
    }
}

/// Allocation of all load that its own site can't serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// Allocation by host; sites that host nothing now are left out.
    pub hosts: BTreeMap<String, HostAllocation>,
    /// Demand that no site can serve, in units a second, by class.
    #[serde(rename = "unborne")]
    pub unserved: BTreeMap<String, u64>,
}

impl Allocation {
    /// Returns the rate that a site gives to remote clients of a class, in units a second.
    pub fn rate(&self, site: &str, class: &str) -> u64 {
        let allocation = self.hosts.get(site).and_then(|h| h.classes.get(class));
        allocation.map_or(0, |a| a.rate)
    }
}

/// Order of rejection under overload: lesser values are rejected first. Admitted requests are not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalRank {
    /// A remote client's request beyond the rate of its class.
    AboveShare,
    /// A new request, by its value for each unit of work, in thousandths.
    #[serde(rename = "Worth")]
    Value(u64),
    /// A request that its client repeats.
    #[serde(rename = "Repeat")]
    ClientRetry,
    /// A further attempt at another backend server.
    FurtherAttempt,
    /// A request that must not run twice.
    Guarded,
}

/// The properties of a request that determine its [`RefusalRank`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Job {
    /// A remote client has sent it, and its class has used up its rate.
    pub above_share: bool,
    /// Its value for each unit of work, in thousandths.
    pub value: u64,
    /// The client repeats the request.
    pub client_retry: bool,
    /// A backend server has been tried already.
    pub further_attempt: bool,
    /// The request must not run twice.
    pub guarded: bool,
}

/// Returns the place of a request in the order of rejection.
pub fn refusal_rank(job: Job) -> RefusalRank {
    match job {
        Job { above_share: true, .. } => RefusalRank::AboveShare,
        Job { guarded: true, .. } => RefusalRank::Guarded,
        Job { further_attempt: true, .. } => RefusalRank::FurtherAttempt,
        Job { client_retry: true, .. } => RefusalRank::ClientRetry,
        Job { value, .. } => RefusalRank::Value(value),
    }
}

/// Divides the spare capacity of a host among classes, in units a second: first the guaranteed minimum of each class,
/// then the rest by value.
fn divide_spare(
    spare: u64,
    wanted: &BTreeMap<String, u64>,
    config: &SitesConfig,
    values: &BTreeMap<String, u64>,
) -> BTreeMap<String, u64> {
    let mut left = spare;
    let mut granted = BTreeMap::new();
    for (class, want) in wanted {
        let minimum = u64::from(config.min_remote_percent.get(class).copied().unwrap_or(0));
        // The guaranteed minima add up to 100 percent at most.
        let part = percent_of(spare, minimum).min(*want).min(left);
        left -= part;
        granted.insert(class.clone(), part);
    }
    let mut order: Vec<&String> = wanted.keys().collect();
    order.sort_by_key(|class| std::cmp::Reverse(values.get(*class).copied().unwrap_or(0)));
    for class in order {
        let (Some(want), Some(part)) = (wanted.get(class), granted.get_mut(class)) else { continue };
        let more = (want - *part).min(left);
        left -= more;
        *part += more;
    }
    granted
}

fn percent_of(of: u64, part: u64) -> u64 {
    (u128::from(of) * u128::from(part) / 100) as u64
}

/// Splits a total in proportion to weights; the parts add up to it exactly.
fn split_by_weight(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    let (mut cumulative, mut assigned) = (0u128, 0u128);
    let mut parts = Vec::with_capacity(weights.len());
    for weight in weights {
        cumulative += u128::from(*weight);
        let assigned_now = (u128::from(total) * cumulative).checked_div(sum).unwrap_or(0);
        parts.push((assigned_now - assigned) as u64);
        assigned = assigned_now;
    }
    parts
}

/// Divides a demand among hosts in proportion to their capacities; no host gets more than its capacity.
fn fill_hosts(wanted: u64, capacities: &[u64]) -> Vec<u64> {
    let all = capacities.iter().fold(0u64, |sum, r| sum.saturating_add(*r));
    split_by_weight(wanted.min(all), capacities)
}

/// Allocates the load of unavailable sites to the available ones. `values` is the value of each class for a unit of
/// work, in thousandths; a class that it does not name has none. Sites that `now` does not name are ignored.
pub fn allocate(
    config: &SitesConfig,
    now: &BTreeMap<String, SiteLoad>,
    values: &BTreeMap<String, u64>,
) -> Allocation {
    // Reported values may be arbitrarily large; the cap keeps sums from overflowing.
    let bounded = |s: &SiteLoad| SiteLoad {
        capacity: s.capacity.min(MAX_UNITS),
        demand: s.demand.iter().map(|(c, d)| (c.clone(), (*d).min(MAX_UNITS))).collect(),
        ..s.clone()
    };
    let now: BTreeMap<&str, SiteLoad> = now.iter().map(|(name, s)| (name.as_str(), bounded(s))).collect();
    let load_of = |name: &str| now.get(name);
    let hosts: Vec<(&str, &SiteLoad)> =
        config.sites.iter().filter_map(|s| Some((s.name.as_str(), load_of(&s.name)?))).collect();
    // Lost sites come first: clients of an unreachable site may still be served by their own site.
    let mut needs: [Vec<(&str, BTreeMap<String, u64>)>; 2] = Default::default();
    for (name, s) in &hosts {
        let (tier, missing_percent) = match s.state {
            SiteState::Lost => (0, 100),
            SiteState::Returning => (0, 100 - u64::from(s.load_percent.min(100))),
            SiteState::Alone => (1, 100),
            SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain => continue,
        };
        let need = s
            .demand
            .iter()
            .map(|(class, units)| (class.clone(), percent_of(*units, missing_percent)))
            .collect();
        if let Some(all) = needs.get_mut(tier) {
            all.push((name, need));
        }
    }
    let mut wanted: BTreeMap<String, u64> = BTreeMap::new();
    for (class, units) in needs.iter().flatten().flat_map(|(_, need)| need) {
        let sum = wanted.entry(class.clone()).or_default();
        *sum = sum.saturating_add(*units);
    }
    wanted.retain(|_, units| *units > 0);
    let hosts: Vec<(&str, &SiteLoad)> = hosts
        .into_iter()
        .filter(|(_, s)| {
            matches!(s.state, SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain)
                && s.capacity > 0
        })
        .collect();
    let reserved_percent = |host: &str, class: &str| {
        config.remote_percent.get(host).and_then(|l| l.get(class)).copied().unwrap_or(0)
    };
    // The reserved shares.
    let mut rates: Vec<BTreeMap<String, u64>> = vec![BTreeMap::new(); hosts.len()];
    let mut unmet = wanted.clone();
    for (class, units) in unmet.iter_mut() {
        let capacities: Vec<u64> = hosts
            .iter()
            .map(|(name, s)| percent_of(s.capacity, u64::from(reserved_percent(name, class))))
            .collect();
        for (rate, part) in rates.iter_mut().zip(fill_hosts(*units, &capacities)) {
            rate.insert(class.clone(), part);
            *units -= part;
        }
    }
    // The spare capacity beyond them: each host takes a part of the remaining demand in proportion to its own.
    let spare_capacities: Vec<u64> = hosts
        .iter()
        .zip(&rates)
        .map(|((_, s), rate)| {
            let own_demand = s.demand.values().fold(0u64, |sum, d| sum.saturating_add(*d));
            s.capacity.saturating_sub(own_demand).saturating_sub(rate.values().sum())
        })
        .collect();
    for (k, (name, _)) in hosts.iter().enumerate() {
        let portion = |class: &String| {
            let capacity = |((host, _), spare): (&(&str, &SiteLoad), &u64)| {
                if reserved_percent(host, class) > 0 {
                    *spare
                } else {
                    0
                }
            };
            let capacities: Vec<u64> = hosts.iter().zip(&spare_capacities).skip(k).map(capacity).collect();
            fill_hosts(unmet.get(class).copied().unwrap_or(0), &capacities).first().copied().unwrap_or(0)
        };
        let requested = wanted
            .keys()
            .filter(|c| reserved_percent(name, c) > 0)
            .map(|c| (c.clone(), portion(c)))
            .collect();
        for (class, part) in
            divide_spare(spare_capacities.get(k).copied().unwrap_or(0), &requested, config, values)
        {
            if let Some(rate) = rates.get_mut(k) {
                *rate.entry(class.clone()).or_default() += part;
            }
            if let Some(units) = unmet.get_mut(&class) {
                *units -= part;
            }
        }
    }
    let mut allocation = Allocation { unserved: unmet, ..Allocation::default() };
    allocation.unserved.retain(|_, units| *units > 0);
    // Division of each host's rates among the clients' own sites, lost sites first.
    let mut left = needs;
    for ((name, s), rate) in hosts.iter().zip(rates) {
        let mut hosting = HostAllocation::default();
        for (class, mut units) in rate.into_iter().filter(|(_, units)| *units > 0) {
            let mut allocated = RemoteAllocation { rate: units, ..RemoteAllocation::default() };
            allocated.percent = (u128::from(units) * 100 / u128::from(s.capacity.max(1))) as u8;
            for tier in &mut left {
                let capacities: Vec<u64> =
                    tier.iter().map(|(_, need)| need.get(&class).copied().unwrap_or(0)).collect();
                for ((site, need), part) in tier.iter_mut().zip(fill_hosts(units, &capacities)) {
                    if let Some(unmet) = need.get_mut(&class).filter(|_| part > 0) {
                        *unmet -= part;
                        units -= part;
                        allocated.by_site.insert(site.to_string(), part);
                    }
                }
            }
            hosting.classes.insert(class, allocated);
        }
        let own_demand = s.demand.values().fold(0u64, |sum, d| sum.saturating_add(*d));
        hosting.displaced =
            own_demand.saturating_add(hosting.rate()).saturating_sub(s.capacity).min(hosting.rate());
        if !hosting.classes.is_empty() {
            allocation.hosts.insert(name.to_string(), hosting);
        }
    }
    allocation
}
