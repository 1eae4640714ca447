//! Limits of one node for requests of remote clients, which belong to other sites, and for its own site's load while
//! that site recovers.
//!
//! A unit of work is one request here: a site with a capacity of 400 serves 400 requests a second. Remote clients may
//! always use the capacity that is reserved for them. Spare capacity, which [`crate::load_allocation::allocate`] adds,
//! is available to them only while another site's load needs it. Both are divided evenly among all nodes that the
//! configuration names for the site, so the nodes don't exceed the limits of the site even if they can't reach each
//! other; the share of a node that is down stays unused.

use crate::config::SitesConfig;
use crate::health::{class_number, Load, Message, SiteHealth};
use crate::load_allocation::{self, SiteLoad};
use crate::recovery_ramp::{RampSettings, RecoveryRamp, StepChange};
use crate::{Micros, SiteState};
use shorepath_recovery::slow_start::{self, SlowStart, WarmingServer};
use std::collections::{BTreeMap, VecDeque};

/// Window of the demand rate, in microseconds.
const DEMAND_WINDOW: Micros = 2_000_000;
/// Shortest and longest delay after which a rejected remote client should retry, in microseconds.
pub const RETRY_AFTER_RANGE: (Micros, Micros) = (500_000, 2_000_000);
/// A rate grows only by more than one part in this many, to avoid frequent small changes.
const MIN_INCREASE_DIVISOR: u64 = 16;
/// Spare capacity permitting, remote clients get one part in this many beyond their demand, since their requests don't
/// arrive evenly.
const HEADROOM_DIVISOR: u64 = 4;
/// Number of remote requests that a node accepts in one burst while remote clients have a third of its site's capacity.
const REMOTE_BURST: u64 = 8;
/// Shortest and longest time for which remote clients may use units that they left unused, in microseconds.
const UNUSED_LIFETIME_RANGE: (Micros, Micros) = (250_000, 2_000_000);
/// Time constant of the moving average of a site's demand, in microseconds.
const AVERAGING_TIME: Micros = 10_000_000;
/// Number of load reports over which remote clients return to their own site, so that its reported demand can follow.
const RETURN_ROUNDS: u64 = 4;

/// A class of requests, as the settings define it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Value of one request of the class, in thousandths.
    pub value: u64,
}

/// Limits on the requests that a node may start, in requests a second; `None` for no limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Rate for remote clients by class index, with an entry for each class.
    pub remote: Option<Vec<u64>>,
    /// Rate for clients of the node's own site, over all classes.
    pub own_site: Option<u64>,
    /// Time for which remote clients may still use units that they left unused, in microseconds. It depends on the
    /// configuration alone and stays constant.
    pub unused_lifetime: Micros,
}

/// Demand for a class at one site, in requests a second.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    last: u64,
    /// Moving average, in millionths of a request a second.
    mean: u64,
}

impl Demand {
    fn update(&mut self, rate: u64, elapsed: Micros) {
        self.last = rate;
        let (rate, elapsed) = (i128::from(rate) * 1_000_000, i128::from(elapsed.clamp(0, AVERAGING_TIME)));
        let mean = i128::from(self.mean);
        self.mean = (mean + (rate - mean) * elapsed / i128::from(AVERAGING_TIME))
            .clamp(0, i128::from(u64::MAX)) as u64;
    }

    /// Returns the expected demand. It may be too high, since remote clients get reserved and spare capacity only.
    fn expected(self) -> u64 {
        self.last.max(self.mean.div_ceil(1_000_000))
    }
}

/// Returns the site that a request's client belongs to if it is not the node's own. Without a site, or with an unknown
/// one, a client counts as one of the node's own site. Naming another site gains nothing, since remote clients never
/// get more than the site's own.
pub fn remote_site<'a>(config: &'a SitesConfig, own: &str, named: Option<&str>) -> Option<&'a str> {
    let site = config.site(named?)?;
    (site.name != own).then_some(site.name.as_str())
}

/// State of one node: the demand of its own site, the known demand of other sites, and the resulting limits.
#[derive(Clone, Debug)]
pub struct LoadShifting {
    pace: SlowStart,
    started_at: Micros,
    /// Number of requests of the own site's clients so far, by class index.
    requests: Vec<u64>,
    /// Earlier values of the counters, with their times.
    samples: VecDeque<(Micros, Vec<u64>)>,
    /// Demand by site and class number; of a lost site as it was before the loss.
    demand_by_site: BTreeMap<String, BTreeMap<u32, Demand>>,
    demand_updated_at: Micros,
    /// Remainders of the rounded demand by class index, in requests times microseconds.
    remainders: Vec<u128>,
    /// By node number: when the node last reported its load, and the share that its site takes, in percent.
    reported_percents: BTreeMap<u32, (Micros, u8)>,
    /// The ramp of the own site's load, and its start time.
    ramp: Option<(RecoveryRamp, Micros)>,
    was_isolated: bool,
    limits: Limits,
}

impl LoadShifting {
    /// Creates the state of a node that starts now; `pace` is the slow start of its site's backend servers.
    pub fn new(pace: SlowStart, now: Micros) -> LoadShifting {
        LoadShifting {
            pace,
            started_at: now,
            requests: Vec::new(),
            samples: VecDeque::new(),
            demand_by_site: BTreeMap::new(),
            demand_updated_at: now,
            remainders: Vec::new(),
            reported_percents: BTreeMap::new(),
            ramp: None,
            was_isolated: false,
            limits: Limits::default(),
        }
    }

    /// Counts a request of a client of the own site, by class index.
    pub fn record_request(&mut self, class: usize) {
        if self.requests.len() <= class {
            self.requests.resize(class + 1, 0);
        }
        self.requests.get_mut(class).into_iter().for_each(|n| *n += 1);
    }

    /// Processes a message of another node that [`SiteHealth`] has accepted. A node that has started recently learns
    /// from it that its site was lost: the newest heartbeat of the site known to others is old, or another node of the
    /// site is on its ramp. Returns whether the ramp of the own site starts now.
    pub fn receive(&mut self, site_health: &SiteHealth, from: u32, message: &Message, now: Micros) -> bool {
        let config = site_health.config();
        if let Some(load) = &message.load {
            self.reported_percents.insert(from, (now, load.load_percent));
        }
        let Some(own) = config.site(site_health.site()).map(|s| s.number) else { return false };
        if self.ramp.is_some() || now - self.started_at > 4 * config.alone {
            return false;
        }
        let old = message.others.iter().find(|t| t.site == own && t.heartbeat > 0);
        let was_lost = old.is_some_and(|t| Micros::from(t.heartbeat_age) * 1_000 >= config.alone);
        let peer_is_returning =
            message.site == own && message.load.as_ref().is_some_and(|l| l.load_percent < 100);
        if was_lost || peer_is_returning {
            self.ramp = Some((RecoveryRamp::new(RampSettings::with_pace(self.pace), now), now));
        }
        was_lost || peer_is_returning
    }

    /// Starts the ramp of the own site, since all its servers are cold. Returns false if a ramp is in progress.
    pub fn start_recovery(&mut self, now: Micros) -> bool {
        let starts = self.ramp.as_ref().is_none_or(|(ramp, _)| ramp.is_complete());
        if starts {
            self.ramp = Some((RecoveryRamp::new(RampSettings::with_pace(self.pace), now), now));
        }
        starts
    }

    /// Returns the capacity of the own servers as a fraction of their warm capacity. They are assumed to have restarted
    /// when the ramp started.
    fn warm_fraction(&self, now: Micros) -> f64 {
        let Some((_, since)) = &self.ramp else { return 1.0 };
        slow_start::warm_fraction(
            &[WarmingServer { started: (*since).max(1), capacity: 1.0 }],
            self.pace,
            now.max(1),
        )
    }

    /// Returns the share of the own site's load that is accepted now, in percent.
    pub fn load_percent(&self, now: Micros) -> u8 {
        self.ramp.as_ref().map_or(100, |(ramp, _)| ramp.load_percent(self.warm_fraction(now)))
    }

    /// Returns the demand of the own site's clients at this node, in requests a second by class index.
    fn demand(&mut self, now: Micros) -> Vec<u64> {
        while self.samples.get(1).is_some_and(|(at, _)| now - at >= DEMAND_WINDOW) {
            self.samples.pop_front();
        }
        let rates = match self.samples.front() {
            Some((at, earlier)) if now > *at => {
                let span = (now - at) as u128;
                self.remainders.resize(self.requests.len(), 0);
                let each = self.requests.iter().zip(&mut self.remainders).enumerate();
                // Remainders are carried over, since rounding errors would add up over many nodes.
                let rate = |(k, (n, remainder)): (usize, (&u64, &mut u128))| {
                    let new_requests = n - earlier.get(k).copied().unwrap_or(0).min(*n);
                    let total = u128::from(new_requests) * 1_000_000 + *remainder;
                    *remainder = total % span;
                    (total / span) as u64
                };
                each.map(rate).collect()
            }
            _ => Vec::new(),
        };
        if self.samples.back().is_none_or(|(at, _)| now - at >= DEMAND_WINDOW / 8) {
            self.samples.push_back((now, self.requests.clone()));
        }
        rates
    }

    /// Updates the ramp with the numbers of served and failed requests since the last call, reports this node's load
    /// through `site_health`, marks other sites as recovered that take their full load, and computes new limits.
    /// Returns the steps that the ramp has made.
    pub fn tick(
        &mut self,
        site_health: &mut SiteHealth,
        classes: &[Class],
        (served, failed): (u64, u64),
        has_servers: bool,
        now: Micros,
    ) -> Vec<StepChange> {
        let mut moved = Vec::new();
        let (warm_fraction, isolated) = (self.warm_fraction(now), site_health.is_isolated());
        if let Some((ramp, _)) = &mut self.ramp {
            ramp.record_outcomes(served, failed);
            if isolated && !self.was_isolated && !ramp.is_complete() {
                moved.extend(ramp.lost_again(now));
            }
            moved.extend(ramp.tick(now, warm_fraction));
        }
        self.was_isolated = isolated;
        let own = site_health.site().to_string();
        let Some(capacity) = site_health.config().site(&own).map(|s| s.capacity) else { return moved };
        let capacity = if has_servers { (capacity as f64 * warm_fraction) as u64 } else { 0 };
        let demand = self.demand(now);
        let mut named: Vec<(u32, u64)> =
            classes.iter().zip(demand).map(|(c, rate)| (class_number(&c.name), rate)).collect();
        named.retain(|(_, rate)| *rate > 0);
        named.sort_by_key(|(_, rate)| std::cmp::Reverse(*rate));
        site_health.report(Load { load_percent: self.load_percent(now), capacity, demand: named });
        self.update_demand(site_health, now);
        self.limits = self.compute_limits(site_health, classes, &own, now);
        moved
    }

    /// Updates the known demand of all sites, and marks returning sites as recovered once they take their full load.
    fn update_demand(&mut self, site_health: &mut SiteHealth, now: Micros) {
        let elapsed = now - std::mem::replace(&mut self.demand_updated_at, now);
        for (site, state, since) in site_health.states() {
            let reported: BTreeMap<u32, u64> =
                site_health.load(&site).map(|l| l.demand.into_iter().collect()).unwrap_or_default();
            let known_demand = self.demand_by_site.entry(site.clone()).or_default();
            match state {
                SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain => {
                    for (class, rate) in &reported {
                        known_demand
                            .entry(*class)
                            .or_insert(Demand { last: 0, mean: rate.saturating_mul(1_000_000) });
                    }
                    for (class, demand) in known_demand.iter_mut() {
                        demand.update(reported.get(class).copied().unwrap_or(0), elapsed);
                    }
                    // Classes without demand are forgotten.
                    known_demand.retain(|_, demand| demand.last > 0 || demand.mean > 10_000);
                }
                // Most clients of the site are elsewhere, so its reported demand may be too low.
                SiteState::Lost | SiteState::Alone | SiteState::Returning => {
                    reported.into_iter().for_each(|(class, rate)| {
                        let demand = known_demand.entry(class).or_default();
                        demand.last = rate.max(demand.last);
                    })
                }
            }
            if state != SiteState::Returning || now - since < site_health.config().confirm {
                continue;
            }
            let nodes = site_health.config().site(&site).map(|s| s.nodes.as_slice()).unwrap_or_default();
            let mut reported =
                nodes.iter().filter_map(|n| self.reported_percents.get(&n.number)).filter(|p| p.0 > since);
            let first = reported.next();
            if first.is_some_and(|p| p.1 == 100) && reported.all(|p| p.1 == 100) {
                site_health.mark_recovered(&site, now);
            }
        }
    }

    /// Returns this node's share of a rate of its site; the shares of all nodes add up to the rate.
    fn node_share(config: &SitesConfig, own: &str, me: u32, total: u64) -> u64 {
        let Some(site) = config.site(own) else { return 0 };
        let count = site.nodes.len().max(1) as u64;
        let index = site.nodes.iter().position(|n| n.number == me).unwrap_or(0) as u64;
        total / count + u64::from(index < total % count)
    }

    /// Returns the time for which remote clients may use units that they left unused: long enough for a burst at a node
    /// with few requests a second.
    fn unused_lifetime(config: &SitesConfig, own: &str) -> Micros {
        let Some(site) = config.site(own) else { return UNUSED_LIFETIME_RANGE.0 };
        let nodes = site.nodes.len().max(1) as u64;
        let time = (3 * REMOTE_BURST * 1_000_000).saturating_mul(nodes) / site.capacity.max(1);
        Micros::try_from(time)
            .unwrap_or(UNUSED_LIFETIME_RANGE.1)
            .clamp(UNUSED_LIFETIME_RANGE.0, UNUSED_LIFETIME_RANGE.1)
    }

    fn compute_limits(&self, site_health: &SiteHealth, classes: &[Class], own: &str, now: Micros) -> Limits {
        let config = site_health.config();
        let (load_percent, me) = (self.load_percent(now), site_health.me());
        let is_recovering = self.ramp.as_ref().is_some_and(|(ramp, _)| !ramp.is_complete());
        let capacity = config.site(own).map_or(0, |s| s.capacity);
        let own_site = is_recovering
            .then(|| Self::node_share(config, own, me, capacity * u64::from(load_percent) / 100).max(1));
        let unused_lifetime = Self::unused_lifetime(config, own);
        if config.remote_percent.is_empty() {
            return Limits { remote: None, own_site, unused_lifetime };
        }
        let name_of = |number: u32| classes.iter().find(|c| class_number(&c.name) == number);
        let mut loads = BTreeMap::new();
        for (site, state, _) in site_health.states() {
            let load = site_health.load(&site);
            let expected = config.site(&site).map_or(0, |s| s.capacity);
            let known_demand = self.demand_by_site.get(&site).into_iter().flatten();
            // A site that serves its own clients reports its demand; for others the expected demand counts.
            let serves_own_clients =
                matches!(state, SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain);
            let rate = |a: &Demand| if serves_own_clients { a.last } else { a.expected() };
            let demand = known_demand.filter_map(|(class, a)| Some((name_of(*class)?.name.clone(), rate(a))));
            let load_now = SiteLoad {
                state: if site != own {
                    state
                } else if is_recovering {
                    SiteState::Returning
                } else {
                    SiteState::Linked
                },
                capacity: load.as_ref().map_or(expected, |l| l.capacity.min(expected)),
                demand: demand.collect(),
                load_percent: load.as_ref().map_or(100, |l| l.load_percent),
            };
            loads.insert(site, load_now);
        }
        let values = classes.iter().map(|c| (c.name.clone(), c.value)).collect();
        let allocation = load_allocation::allocate(config, &loads, &values);
        let (capacity, own_demand) = loads
            .get(own)
            .map_or((0, 0), |s| (s.capacity, s.demand.values().fold(0u64, |a, b| a.saturating_add(*b))));
        let host = allocation.hosts.get(own);
        let planned = host.map_or(0, |h| h.rate());
        let spare = capacity.saturating_sub(own_demand).saturating_sub(planned);
        let remote = classes.iter().enumerate().map(|(k, class)| {
            let reserved =
                config.remote_percent.get(own).and_then(|l| l.get(&class.name)).copied().unwrap_or(0);
            let reserved = if is_recovering { 0 } else { capacity * u64::from(reserved) / 100 };
            let wanted = allocation.rate(own, &class.name);
            // The class's share of the spare capacity that remains beyond all allocated demand.
            let extra = (u128::from(spare) * u128::from(wanted) / u128::from(planned.max(1))) as u64;
            let rate = Self::node_share(
                config,
                own,
                me,
                reserved.max(wanted + extra.min(wanted / HEADROOM_DIVISOR)),
            );
            let previous = self.limits.remote.as_ref().and_then(|g| g.get(k)).copied().unwrap_or(0);
            // A decrease and any increase up to the reserved rate apply at once; other small increases don't.
            let reserved = Self::node_share(config, own, me, reserved);
            if rate > previous && previous >= reserved && rate - previous <= previous / MIN_INCREASE_DIVISOR {
                previous
            } else {
                rate
            }
        });
        Limits { remote: Some(remote.collect()), own_site, unused_lifetime }
    }

    /// Returns the current limits of this node.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the delay after which a rejected client of the own site should retry while the site's load ramps up, in
    /// microseconds. `random` is a uniform random number from 0 to 1.
    pub fn retry_after(&self, random: f64, now: Micros) -> Micros {
        let (min, max) = RETRY_AFTER_RANGE;
        let default = min + (random.clamp(0.0, 1.0) * (max - min) as f64) as Micros;
        self.ramp
            .as_ref()
            .map_or(default, |(ramp, _)| ramp.retry_after(self.warm_fraction(now), min, max, random))
    }

    /// Returns the probability from 0 to 1 with which a served remote client is directed back to its own site. It grows
    /// with the free capacity of that site, so that clients return no faster than the site can take them.
    pub fn return_probability(&self, site_health: &SiteHealth, site: &str) -> f64 {
        let is_reachable = matches!(
            site_health.state(site),
            Some(SiteState::Linked | SiteState::Returning | SiteState::WholeAgain)
        );
        let (Some(expected), Some(load), true) =
            (site_health.config().site(site), site_health.load(site), is_reachable)
        else {
            return 0.0;
        };
        let current = load.demand.iter().fold(0u64, |sum, (_, rate)| sum.saturating_add(*rate));
        let capacity = (expected.capacity * u64::from(load.load_percent) / 100)
            .min(load.capacity)
            .saturating_sub(current);
        let known_demand =
            self.demand_by_site.get(site).into_iter().flatten().map(|(_, demand)| demand.expected());
        let wanted =
            known_demand.fold(0u64, u64::saturating_add).saturating_mul(RETURN_ROUNDS).max(RETURN_ROUNDS);
        (capacity as f64 / wanted as f64).clamp(0.0, 1.0)
    }

    /// Returns the share of its load that the own site takes during a ramp, in percent; `None` without a ramp.
    pub fn recovery_percent(&self, now: Micros) -> Option<u8> {
        self.ramp.as_ref().filter(|(ramp, _)| !ramp.is_complete()).map(|_| self.load_percent(now))
    }
}
