//! What one node lends clients of other sites, and what it takes of its own site's load while that comes back.
//!
//! A unit of work is a request here: a site that bears 400 serves as many a second. What a site lends in any case its guests have also
//! while no site is lost; what [`crate::load_allocation::allocate`] adds of its spare capacity they have only where a lost site's load needs it. Both are
//! divided evenly among the site's nodes, by the file: a node that is down leaves its part unused, and nodes that don't hear each other
//! lend no more than the whole together.

use crate::config::SitesConfig;
use crate::health::{class_number, Load, Message, SiteHealth};
use crate::load_allocation::{self, SiteLoad};
use crate::recovery_ramp::{RampSettings, RecoveryRamp, StepChange};
use crate::{Micros, SiteState};
use shorepath_recovery::slow_start::{self, SlowStart, WarmingServer};
use std::collections::{BTreeMap, VecDeque};

/// What is asked for is counted over this long.
const SPAN: Micros = 2_000_000;
/// A guest beyond its part is told to come back after this at least, and at most.
pub const RETRY_AFTER_RANGE: (Micros, Micros) = (500_000, 2_000_000);
/// A little more than before is not worth a change.
const LITTLE: u64 = 16;
/// Where more is spare than is wanted, so much more than that is lent, as a part of it: guests don't come evenly.
const HEADROOM: u64 = 4;
/// Guests come in bunches: so many of a node's are kept room for, where they have a third of what its site bears.
const BUNCH: u64 = 8;
/// Units that guests do not use are kept for this long at least, and at most.
const KEPT: (Micros, Micros) = (250_000, 2_000_000);
/// What a site is usually asked for is the mean over this long, or what it was asked for last where that is more.
const USUAL: Micros = 10_000_000;
/// Guests go home over so many rounds of words: what they are told follows what their site has by then.
const ROUNDS: u64 = 4;

/// A class, as the settings have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What a request of it is worth, in thousandths.
    pub worth: u64,
}

/// What may be begun here, in requests a second; `None` where nothing bounds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// By guests, by the number of the class; no class is left out.
    pub guests: Option<Vec<u64>>,
    /// By the own site's clients, over all classes.
    pub own_site: Option<u64>,
    /// For how long units that guests do not use are kept, in microseconds. It follows from the file alone, so that it stays.
    pub unused_lifetime: Micros,
}

/// What a site was asked for of a class, in requests a second.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    /// Last.
    last: u64,
    /// On average, in millionths.
    mean: u64,
}

impl Asked {
    fn note(&mut self, rate: u64, gone: Micros) {
        self.last = rate;
        let (rate, gone) = (i128::from(rate) * 1_000_000, i128::from(gone.clamp(0, USUAL)));
        let mean = i128::from(self.mean);
        self.mean = (mean + (rate - mean) * gone / i128::from(USUAL)).clamp(0, i128::from(u64::MAX)) as u64;
    }

    /// A little too much does no harm: only what is spare is lent.
    fn usual(self) -> u64 {
        self.last.max(self.mean.div_ceil(1_000_000))
    }
}

/// The site that a request's client belongs to, if that is another one than the node's own. Where none is named, or one that the file
/// does not know, it is home load: a client gains nothing by a name, since a guest never has more than home load has.
pub fn guest_site<'a>(plan: &'a SitesConfig, own: &str, named: Option<&str>) -> Option<&'a str> {
    let site = plan.site(named?)?;
    (site.name != own).then_some(site.name.as_str())
}

/// One node's part in it.
#[derive(Clone, Debug)]
pub struct LoadShifting {
    pace: SlowStart,
    begun: Micros,
    /// Requests of the own site's clients so far, by the number of the class, and what that was some time ago.
    asked: Vec<u64>,
    before: VecDeque<(Micros, Vec<u64>)>,
    /// What each site's clients asked for before it was lost, by the number of the class's name in words.
    known: BTreeMap<String, BTreeMap<u32, Asked>>,
    /// When that was last noted.
    noted: Micros,
    /// What demand was rounded down by, by the number of the class, in requests times microseconds.
    rests: Vec<u128>,
    /// When other nodes last told of their load, and which part of it their site takes.
    parts: BTreeMap<u32, (Micros, u8)>,
    /// The own site's way back, and since when.
    home: Option<(RecoveryRamp, Micros)>,
    was_alone: bool,
    limits: Limits,
}

impl LoadShifting {
    /// One of a node that begins now, whose backend servers warm up like that.
    pub fn new(pace: SlowStart, now: Micros) -> LoadShifting {
        LoadShifting {
            pace,
            begun: now,
            asked: Vec::new(),
            before: VecDeque::new(),
            known: BTreeMap::new(),
            noted: now,
            rests: Vec::new(),
            parts: BTreeMap::new(),
            home: None,
            was_alone: false,
            limits: Limits::default(),
        }
    }

    /// A client of the own site has asked for something of a class, by its number.
    pub fn record_request(&mut self, class: usize) {
        if self.asked.len() <= class {
            self.asked.resize(class + 1, 0);
        }
        self.asked.get_mut(class).into_iter().for_each(|n| *n += 1);
    }

    /// Another node has said something that [`SiteHealth`] has taken. A node that has just begun learns by it that its site was lost: the
    /// newest sign of its life that others know is old, or a node of its own site is on the way back. Whether the way back begins now.
    pub fn receive(&mut self, site_health: &SiteHealth, from: u32, message: &Message, now: Micros) -> bool {
        let plan = site_health.plan();
        if let Some(load) = &message.load {
            self.parts.insert(from, (now, load.load_percent));
        }
        let Some(own) = plan.site(site_health.site()).map(|s| s.number) else { return false };
        if self.home.is_some() || now - self.begun > 4 * plan.alone {
            return false;
        }
        let old = message.others.iter().find(|t| t.site == own && t.heartbeat > 0);
        let was_lost = old.is_some_and(|t| Micros::from(t.heartbeat_age) * 1_000 >= plan.alone);
        let mate_returns = message.site == own && message.load.as_ref().is_some_and(|l| l.load_percent < 100);
        if was_lost || mate_returns {
            self.home = Some((RecoveryRamp::new(RampSettings::with_pace(self.pace), now), now));
        }
        was_lost || mate_returns
    }

    /// All servers of the own site are cold, whatever others know: its way back begins now, unless it is on it.
    pub fn start_recovery(&mut self, now: Micros) -> bool {
        let begins = self.home.as_ref().is_none_or(|(home, _)| home.is_complete());
        if begins {
            self.home = Some((RecoveryRamp::new(RampSettings::with_pace(self.pace), now), now));
        }
        begins
    }

    /// What the own servers do now of what they do warm. They are taken to have come back with the site.
    fn warm(&self, now: Micros) -> f64 {
        let Some((_, since)) = &self.home else { return 1.0 };
        slow_start::warm_fraction(
            &[WarmingServer { started: (*since).max(1), capacity: 1.0 }],
            self.pace,
            now.max(1),
        )
    }

    /// The part of the own site's load that is taken here, in hundredths.
    pub fn load_percent(&self, now: Micros) -> u8 {
        self.home.as_ref().map_or(100, |(home, _)| home.load_percent(self.warm(now)))
    }

    /// What the own site's clients ask of this node, in requests a second by the number of the class.
    fn demand(&mut self, now: Micros) -> Vec<u64> {
        while self.before.get(1).is_some_and(|(at, _)| now - at >= SPAN) {
            self.before.pop_front();
        }
        let rates = match self.before.front() {
            Some((at, then)) if now > *at => {
                let span = (now - at) as u128;
                self.rests.resize(self.asked.len(), 0);
                let each = self.asked.iter().zip(&mut self.rests).enumerate();
                // What is rounded down now is told later: over many nodes it would be much.
                let rate = |(k, (n, rest)): (usize, (&u64, &mut u128))| {
                    let gone = n - then.get(k).copied().unwrap_or(0).min(*n);
                    let whole = u128::from(gone) * 1_000_000 + *rest;
                    *rest = whole % span;
                    (whole / span) as u64
                };
                each.map(rate).collect()
            }
            _ => Vec::new(),
        };
        if self.before.back().is_none_or(|(at, _)| now - at >= SPAN / 8) {
            self.before.push_back((now, self.asked.clone()));
        }
        rates
    }

    /// Time has passed, and so many jobs were served and so many failed. Tells the others, through `seeing`, what this node knows of its
    /// site's load; whoever took all of its load is whole again. What became of the own site's way back, if anything.
    pub fn tick(
        &mut self,
        site_health: &mut SiteHealth,
        classes: &[Class],
        (served, failed): (u64, u64),
        has_servers: bool,
        now: Micros,
    ) -> Vec<StepChange> {
        let mut moved = Vec::new();
        let (warm, alone) = (self.warm(now), site_health.is_isolated());
        if let Some((home, _)) = &mut self.home {
            home.outcomes(served, failed);
            if alone && !self.was_alone && !home.is_complete() {
                moved.extend(home.lost_again(now));
            }
            moved.extend(home.tick(now, warm));
        }
        self.was_alone = alone;
        let own = site_health.site().to_string();
        let Some(capacity) = site_health.plan().site(&own).map(|s| s.capacity) else { return moved };
        let capacity = if has_servers { (capacity as f64 * warm) as u64 } else { 0 };
        let demand = self.demand(now);
        let mut named: Vec<(u32, u64)> =
            classes.iter().zip(demand).map(|(c, rate)| (class_number(&c.name), rate)).collect();
        named.retain(|(_, rate)| *rate > 0);
        named.sort_by_key(|(_, rate)| std::cmp::Reverse(*rate));
        site_health.report(Load { load_percent: self.load_percent(now), capacity, demand: named });
        self.take_note(site_health, now);
        self.limits = self.limit(site_health, classes, &own, now);
        moved
    }

    /// Remember what lost sites were asked for, and see who is whole again.
    fn take_note(&mut self, site_health: &mut SiteHealth, now: Micros) {
        let gone = now - std::mem::replace(&mut self.noted, now);
        for (site, seen, since) in site_health.states() {
            let notified: BTreeMap<u32, u64> =
                site_health.load(&site).map(|l| l.demand.into_iter().collect()).unwrap_or_default();
            let known = self.known.entry(site.clone()).or_default();
            match seen {
                SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain => {
                    for (class, rate) in &notified {
                        known
                            .entry(*class)
                            .or_insert(Asked { last: 0, mean: rate.saturating_mul(1_000_000) });
                    }
                    for (class, asked) in known.iter_mut() {
                        asked.note(notified.get(class).copied().unwrap_or(0), gone);
                    }
                    // Nothing is kept of a class that nobody asks for.
                    known.retain(|_, asked| asked.last > 0 || asked.mean > 10_000);
                }
                // Its clients are elsewhere, so little is asked of it.
                SiteState::Lost | SiteState::Alone | SiteState::Returning => {
                    notified.into_iter().for_each(|(class, rate)| {
                        let before = known.entry(class).or_default();
                        before.last = rate.max(before.last);
                    })
                }
            }
            if seen != SiteState::Returning || now - since < site_health.plan().confirm {
                continue;
            }
            let nodes = site_health.plan().site(&site).map(|s| s.nodes.as_slice()).unwrap_or_default();
            let mut notified = nodes.iter().filter_map(|n| self.parts.get(&n.number)).filter(|p| p.0 > since);
            let first = notified.next();
            if first.is_some_and(|p| p.1 == 100) && notified.all(|p| p.1 == 100) {
                site_health.mark_recovered(&site, now);
            }
        }
    }

    /// Of what the site may begin, the part of this node: the parts of all nodes add up to the whole.
    fn share_of(plan: &SitesConfig, own: &str, me: u32, whole: u64) -> u64 {
        let Some(site) = plan.site(own) else { return 0 };
        let count = site.nodes.len().max(1) as u64;
        let place = site.nodes.iter().position(|n| n.number == me).unwrap_or(0) as u64;
        whole / count + u64::from(place < whole % count)
    }

    /// For how long a node keeps what guests do not use: long enough for a bunch where it has few requests a second.
    fn unused_lifetime(plan: &SitesConfig, own: &str) -> Micros {
        let Some(site) = plan.site(own) else { return KEPT.0 };
        let nodes = site.nodes.len().max(1) as u64;
        let time = (3 * BUNCH * 1_000_000).saturating_mul(nodes) / site.capacity.max(1);
        Micros::try_from(time).unwrap_or(KEPT.1).clamp(KEPT.0, KEPT.1)
    }

    fn limit(&self, site_health: &SiteHealth, classes: &[Class], own: &str, now: Micros) -> Limits {
        let plan = site_health.plan();
        let (part, me) = (self.load_percent(now), site_health.me());
        let returns = self.home.as_ref().is_some_and(|(home, _)| !home.is_complete());
        let bears = plan.site(own).map_or(0, |s| s.capacity);
        let own_site = returns.then(|| Self::share_of(plan, own, me, bears * u64::from(part) / 100).max(1));
        let unused_lifetime = Self::unused_lifetime(plan, own);
        if plan.guest_percent.is_empty() {
            return Limits { guests: None, own_site, unused_lifetime };
        }
        let name_of = |number: u32| classes.iter().find(|c| class_number(&c.name) == number);
        let mut now_of = BTreeMap::new();
        for (site, seen, _) in site_health.states() {
            let load = site_health.load(&site);
            let usual = plan.site(&site).map_or(0, |s| s.capacity);
            let known = self.known.get(&site).into_iter().flatten();
            // Whoever takes its own load is asked for what it says; a lost one for what is usual.
            let here = matches!(seen, SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain);
            let rate = |a: &Asked| if here { a.last } else { a.usual() };
            let demand = known.filter_map(|(class, a)| Some((name_of(*class)?.name.clone(), rate(a))));
            let standing = SiteLoad {
                state: if site != own {
                    seen
                } else if returns {
                    SiteState::Returning
                } else {
                    SiteState::Linked
                },
                capacity: load.as_ref().map_or(usual, |l| l.capacity.min(usual)),
                demand: demand.collect(),
                load_percent: load.as_ref().map_or(100, |l| l.load_percent),
            };
            now_of.insert(site, standing);
        }
        let worth = classes.iter().map(|c| (c.name.clone(), c.worth)).collect();
        let share = load_allocation::allocate(plan, &now_of, &worth);
        let (bears, asked) = now_of
            .get(own)
            .map_or((0, 0), |s| (s.capacity, s.demand.values().fold(0u64, |a, b| a.saturating_add(*b))));
        let hosting = share.hosts.get(own);
        let planned = hosting.map_or(0, |h| h.rate());
        let spare = bears.saturating_sub(asked).saturating_sub(planned);
        let guests = classes.iter().enumerate().map(|(k, class)| {
            let shifted = plan.guest_percent.get(own).and_then(|l| l.get(&class.name)).copied().unwrap_or(0);
            let shifted = if returns { 0 } else { bears * u64::from(shifted) / 100 };
            let wanted = share.rate(own, &class.name);
            // Of what is spare beyond all that is wanted, by what the class has of that.
            let more = (u128::from(spare) * u128::from(wanted) / u128::from(planned.max(1))) as u64;
            let rate = Self::share_of(plan, own, me, shifted.max(wanted + more.min(wanted / HEADROOM)));
            let before = self.limits.guests.as_ref().and_then(|g| g.get(k)).copied().unwrap_or(0);
            // Less holds at once; a little more does not, but what is lent in any case always does.
            let shifted = Self::share_of(plan, own, me, shifted);
            if rate > before && before >= shifted && rate - before <= before / LITTLE {
                before
            } else {
                rate
            }
        });
        Limits { guests: Some(guests.collect()), own_site, unused_lifetime }
    }

    /// What may be begun here.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// When a client of the own site that is not taken because of its way back is told to come back, in microseconds; `luck` is drawn
    /// from 0 to 1 by the caller.
    pub fn retry_after(&self, luck: f64, now: Micros) -> Micros {
        let (least, most) = RETRY_AFTER_RANGE;
        let usual = least + (luck.clamp(0.0, 1.0) * (most - least) as f64) as Micros;
        self.home.as_ref().map_or(usual, |(home, _)| home.retry_after(self.warm(now), least, most, luck))
    }

    /// With what chance a guest that was served is told that its own site takes it again. It follows the room that there is, so
    /// that guests go home no faster than their site takes them, and none is sent to one that is full.
    pub fn return_probability(&self, site_health: &SiteHealth, site: &str) -> f64 {
        let back = matches!(
            site_health.state(site),
            Some(SiteState::Linked | SiteState::Returning | SiteState::WholeAgain)
        );
        let (Some(usual), Some(load), true) = (site_health.plan().site(site), site_health.load(site), back)
        else {
            return 0.0;
        };
        let has = load.demand.iter().fold(0u64, |sum, (_, rate)| sum.saturating_add(*rate));
        let capacity =
            (usual.capacity * u64::from(load.load_percent) / 100).min(load.capacity).saturating_sub(has);
        let known = self.known.get(site).into_iter().flatten().map(|(_, asked)| asked.usual());
        let wanted = known.fold(0u64, u64::saturating_add).saturating_mul(ROUNDS).max(ROUNDS);
        (capacity as f64 / wanted as f64).clamp(0.0, 1.0)
    }

    /// The own site's way back, for operators: the part that it takes, in hundredths; `None` where it is not on the way.
    pub fn recovery_percent(&self, now: Micros) -> Option<u8> {
        self.home.as_ref().filter(|(home, _)| !home.is_complete()).map(|_| self.load_percent(now))
    }
}
