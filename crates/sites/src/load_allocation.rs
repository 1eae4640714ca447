//! Where the load of sites goes that can't take it: a pure function of the operators' file, the sites' states, what each can bear and what
//! each is asked for. Whoever knows the same plans the same; only whole numbers are used.
//!
//! A site lends guests a part of each class that its `(lend ...)` names. That part is theirs although the site's own load may want it, so
//! its own load never loses more than these parts together. Beyond them guests have what its own load leaves over; its
//! `(least ...)` keeps a class there from being starved by one that is worth more. Own load and guests together are
//! never more than the site bears.

use crate::config::SitesConfig;
use crate::SiteState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// More units a second than this are taken for this.
const MOST: u64 = 1 << 50;

/// What is known of one site.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteLoad {
    /// How it is seen; one's own is linked.
    #[serde(rename = "seen")]
    pub state: SiteState,
    /// What its servers bear now, in units of work a second.
    #[serde(rename = "bears")]
    pub capacity: u64,
    /// What its own clients ask for, in units a second, by class; of a lost site what was last known.
    pub demand: BTreeMap<String, u64>,
    /// The part of its load that it takes itself while it returns, in hundredths.
    #[serde(rename = "part")]
    pub load_percent: u8,
}

/// What a site lends guests of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuestAllocation {
    /// Units a second, at most.
    pub rate: u64,
    /// The same in hundredths of what the site bears, rounded down.
    #[serde(rename = "part")]
    pub percent: u8,
    /// To which sites' clients; adds up to the rate.
    #[serde(rename = "to")]
    pub by_site: BTreeMap<String, u64>,
}

/// What a site lends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAllocation {
    /// By class; a class that is not here has nothing.
    pub classes: BTreeMap<String, GuestAllocation>,
    /// Units a second that its own load may lose to guests, at most: all else that they have is spare.
    #[serde(rename = "taken")]
    pub displaced: u64,
}

impl HostAllocation {
    /// Units a second for guests of all classes.
    pub fn rate(&self) -> u64 {
        self.classes.values().map(|g| g.rate).sum()
    }
}

/// Where all load goes that its own site can't take.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// What each site lends; one that lends nothing now is not here.
    pub hosts: BTreeMap<String, HostAllocation>,
    /// Units a second that nobody bears, by class.
    #[serde(rename = "unborne")]
    pub unserved: BTreeMap<String, u64>,
}

impl Allocation {
    /// What a site lends guests of a class, in units a second.
    pub fn rate(&self, site: &str, class: &str) -> u64 {
        let guests = self.hosts.get(site).and_then(|h| h.classes.get(class));
        guests.map_or(0, |g| g.rate)
    }
}

/// Which of two jobs is refused first where not all can be taken; the lesser one. What was taken already is not among them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RefusalRank {
    /// A guest's above its part.
    AboveShare,
    /// A new job, by its worth for its work, in thousandths.
    Worth(u64),
    /// A client's repeat.
    Repeat,
    /// A further attempt at another server.
    FurtherAttempt,
    /// One that must not run twice.
    Guarded,
}

/// What a job is, as far as the order of refusal goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Job {
    /// It is a guest's, and its class has used up its rate.
    pub above_share: bool,
    /// What it is worth for its work, in thousandths.
    pub worth: u64,
    /// Its client repeats it.
    pub repeat: bool,
    /// It was tried at a server already.
    pub further_attempt: bool,
    /// It must not run twice.
    pub guarded: bool,
}

/// Where a job stands in the order of refusal.
pub fn refusal_rank(job: Job) -> RefusalRank {
    match job {
        Job { above_share: true, .. } => RefusalRank::AboveShare,
        Job { guarded: true, .. } => RefusalRank::Guarded,
        Job { further_attempt: true, .. } => RefusalRank::FurtherAttempt,
        Job { repeat: true, .. } => RefusalRank::Repeat,
        Job { worth, .. } => RefusalRank::Worth(worth),
    }
}

/// A class's least part of what is spare is kept first; the rest goes by worth for its work.
fn spread(
    spare: u64,
    wanted: &BTreeMap<String, u64>,
    plan: &SitesConfig,
    worth: &BTreeMap<String, u64>,
) -> BTreeMap<String, u64> {
    let mut left = spare;
    let mut given = BTreeMap::new();
    for (class, want) in wanted {
        let least = u64::from(plan.min_guest_percent.get(class).copied().unwrap_or(0));
        // The least parts are a hundred hundredths at most together.
        let part = hundredths(spare, least).min(*want).min(left);
        left -= part;
        given.insert(class.clone(), part);
    }
    let mut order: Vec<&String> = wanted.keys().collect();
    order.sort_by_key(|class| std::cmp::Reverse(worth.get(*class).copied().unwrap_or(0)));
    for class in order {
        let (Some(want), Some(part)) = (wanted.get(class), given.get_mut(class)) else { continue };
        let more = (want - *part).min(left);
        left -= more;
        *part += more;
    }
    given
}

fn hundredths(of: u64, part: u64) -> u64 {
    (u128::from(of) * u128::from(part) / 100) as u64
}

/// Split a whole by weights, exactly, in their order.
fn split(whole: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    let (mut before, mut notified) = (0u128, 0u128);
    let mut parts = Vec::with_capacity(weights.len());
    for weight in weights {
        before += u128::from(*weight);
        let upto = (u128::from(whole) * before).checked_div(sum).unwrap_or(0);
        parts.push((upto - notified) as u64);
        notified = upto;
    }
    parts
}

/// Give what is wanted to places with so much room each, in proportion to the room: none gets more than it has.
fn place(wanted: u64, capacities: &[u64]) -> Vec<u64> {
    let all = capacities.iter().fold(0u64, |sum, r| sum.saturating_add(*r));
    split(wanted.min(all), capacities)
}

/// The plan. `worth` is what a class is worth for its work, in thousandths, as the operators' configuration has it; a class that it
/// does not name is worth nothing. Sites that `now` does not name take no part.
pub fn allocate(
    file: &SitesConfig,
    now: &BTreeMap<String, SiteLoad>,
    worth: &BTreeMap<String, u64>,
) -> Allocation {
    // Sums of what is said stay whole, whatever is said.
    let bounded = |s: &SiteLoad| SiteLoad {
        capacity: s.capacity.min(MOST),
        demand: s.demand.iter().map(|(c, d)| (c.clone(), (*d).min(MOST))).collect(),
        ..s.clone()
    };
    let now: BTreeMap<&str, SiteLoad> = now.iter().map(|(name, s)| (name.as_str(), bounded(s))).collect();
    let standing = |name: &str| now.get(name);
    let hosts: Vec<(&str, &SiteLoad)> =
        file.sites.iter().filter_map(|s| Some((s.name.as_str(), standing(&s.name)?))).collect();
    // Lost sites come first: the clients of one that is only cut off have their own site as well.
    let mut needs: [Vec<(&str, BTreeMap<String, u64>)>; 2] = Default::default();
    for (name, s) in &hosts {
        let (tier, missing) = match s.state {
            SiteState::Lost => (0, 100),
            SiteState::Returning => (0, 100 - u64::from(s.load_percent.min(100))),
            SiteState::Alone => (1, 100),
            SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain => continue,
        };
        let need =
            s.demand.iter().map(|(class, units)| (class.clone(), hundredths(*units, missing))).collect();
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
    let lends = |host: &str, class: &str| {
        file.guest_percent.get(host).and_then(|l| l.get(class)).copied().unwrap_or(0)
    };
    // What is lent in any case.
    let mut rates: Vec<BTreeMap<String, u64>> = vec![BTreeMap::new(); hosts.len()];
    let mut open = wanted.clone();
    for (class, units) in open.iter_mut() {
        let capacities: Vec<u64> =
            hosts.iter().map(|(name, s)| hundredths(s.capacity, u64::from(lends(name, class)))).collect();
        for (rate, part) in rates.iter_mut().zip(place(*units, &capacities)) {
            rate.insert(class.clone(), part);
            *units -= part;
        }
    }
    // What is spare beyond that: of what is still wanted, each site is asked for in proportion to its room.
    let spares: Vec<u64> = hosts
        .iter()
        .zip(&rates)
        .map(|((_, s), rate)| {
            let own = s.demand.values().fold(0u64, |sum, d| sum.saturating_add(*d));
            s.capacity.saturating_sub(own).saturating_sub(rate.values().sum())
        })
        .collect();
    for (k, (name, _)) in hosts.iter().enumerate() {
        let ask = |class: &String| {
            let capacity = |((host, _), spare): (&(&str, &SiteLoad), &u64)| {
                if lends(host, class) > 0 {
                    *spare
                } else {
                    0
                }
            };
            let capacities: Vec<u64> = hosts.iter().zip(&spares).skip(k).map(capacity).collect();
            place(open.get(class).copied().unwrap_or(0), &capacities).first().copied().unwrap_or(0)
        };
        let asked = wanted.keys().filter(|c| lends(name, c) > 0).map(|c| (c.clone(), ask(c))).collect();
        for (class, part) in spread(spares.get(k).copied().unwrap_or(0), &asked, file, worth) {
            if let Some(rate) = rates.get_mut(k) {
                *rate.entry(class.clone()).or_default() += part;
            }
            if let Some(units) = open.get_mut(&class) {
                *units -= part;
            }
        }
    }
    let mut share = Allocation { unserved: open, ..Allocation::default() };
    share.unserved.retain(|_, units| *units > 0);
    // To whom: lost sites first, each class over all sites that lend to it.
    let mut left = needs;
    for ((name, s), rate) in hosts.iter().zip(rates) {
        let mut hosting = HostAllocation::default();
        for (class, mut units) in rate.into_iter().filter(|(_, units)| *units > 0) {
            let mut guests = GuestAllocation { rate: units, ..GuestAllocation::default() };
            guests.percent = (u128::from(units) * 100 / u128::from(s.capacity.max(1))) as u8;
            for tier in &mut left {
                let capacities: Vec<u64> =
                    tier.iter().map(|(_, need)| need.get(&class).copied().unwrap_or(0)).collect();
                for ((guest, need), part) in tier.iter_mut().zip(place(units, &capacities)) {
                    if let Some(open) = need.get_mut(&class).filter(|_| part > 0) {
                        *open -= part;
                        units -= part;
                        guests.by_site.insert(guest.to_string(), part);
                    }
                }
            }
            hosting.classes.insert(class, guests);
        }
        let own = s.demand.values().fold(0u64, |sum, d| sum.saturating_add(*d));
        hosting.displaced = own.saturating_add(hosting.rate()).saturating_sub(s.capacity).min(hosting.rate());
        if !hosting.classes.is_empty() {
            share.hosts.insert(name.to_string(), hosting);
        }
    }
    share
}
