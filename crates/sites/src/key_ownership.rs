//! Each key of a class that must not repeat has one home.
//!
//! Keys fall into ranges, one for each node of each site (rendezvous hashing, "Using name-based mappings to increase hit rates", Thaler and
//! Ravishankar). A range is a budget of one unit, `home:SITE/NODE`, granted by the dividers' agreement: whoever holds it may place the
//! range's keys, until it ends by its own clock, counted from when it asked. So there is never more than one, whatever anybody sees
//! or believes; what is seen of sites only says who asks. A grant's epoch and number are the fence.
//!
//! A file with other nodes moves keys from range to range. A key that it moves is placed nowhere until all nodes go by that file
//! ([`crate::health::SiteHealth::all_go_by`]); all others go on. A node is taken out of the file only when it has been stopped for longer than a
//! lease and its longest job, and a node never goes back to an older file.
//!
//! A range that somebody else may have held in between is *adopted*, also by its own node: its keys may have been placed by
//! others, and are placed here only where the history proves that they were not.

use crate::config::SitesConfig;
use crate::{Micros, SiteState};
use shorepath_quota::config::BudgetKind;
use shorepath_quota::{Grant, LeasePeriod, NodeId};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Under what a key is placed. Of one epoch the greater number is the newer one; what one epoch gave has ended before the next one
/// gives anything.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Fence {
    /// Which agreement of dividers gave it, see [`Grant`].
    pub epoch: u32,
    /// Its number.
    pub number: u64,
}

/// What the history says of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    /// All that may have placed it is known up to the end of its lease, and it was not placed; or it surely never ran.
    Clean,
    /// It was placed.
    Placed,
    /// Something of the history is not here.
    Unknown,
}

/// What a node keeps on its disk.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct PersistedOwnership {
    /// Up to which grants its own log tells all of a range, by the home `SITE/NODE`.
    pub fences: BTreeMap<String, Fence>,
    /// The numbers of all nodes of the last file that all nodes went by; none where that is not known.
    #[serde(rename = "nodes")]
    pub settled_nodes: BTreeSet<u32>,
    /// The numbers of all nodes of the file that this node goes by.
    #[serde(rename = "by", default)]
    pub current_nodes: BTreeSet<u32>,
}

/// Why a key is not placed here now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum PlacementError {
    /// Another node is home to it, or its heir.
    #[error("its home is {home} now")]
    #[diagnostic(help("ask a node of {home}; the home of a key is the same for all its repeats"))]
    Elsewhere {
        /// `SITE/NODE`.
        home: String,
    },
    /// This node should hold it, and has no lease now.
    #[error("no lease of {home} holds here now")]
    #[diagnostic(help("ask again later. Where that lasts: no divider that leads is heard, or another node still holds the lease"))]
    NoLease {
        /// `SITE/NODE`.
        home: String,
    },
    /// The file moves the key, and not all nodes are known to go by it.
    #[error("its home becomes {home}, and not all nodes go by the new file of sites yet")]
    #[diagnostic(help(
        "put the file into service at all nodes; a site that is gone for good has to be declared lost"
    ))]
    Moving {
        /// `SITE/NODE`.
        home: String,
    },
    /// Another node held the range, and may have placed the key.
    #[error(
        "it may have run: {home} was held elsewhere, and the history does not prove that it was not placed"
    )]
    #[diagnostic(help(
        "don't ask for it again by another key before it is known what became of it; histories are exchanged once the site is back"
    ))]
    MayHaveRun {
        /// `SITE/NODE`.
        home: String,
    },
}

impl Fence {
    /// As it stands with a placement: the epoch above, the lower half of the number below.
    pub fn as_u64(self) -> u64 {
        u64::from(self.epoch) << 32 | self.number & u64::from(u32::MAX)
    }
}

impl PlacementError {
    /// The home that it names, `SITE/NODE`.
    pub fn home(&self) -> &str {
        match self {
            PlacementError::Elsewhere { home }
            | PlacementError::NoLease { home }
            | PlacementError::Moving { home }
            | PlacementError::MayHaveRun { home } => home,
        }
    }

    /// What a client is told: a status of HTTP, why in few words, and whether it may do to ask here again. `lives` says whether the node
    /// that is home can be reached by its clients.
    pub fn response(&self, lives: bool) -> (u16, String, bool) {
        match self {
            PlacementError::Elsewhere { home } if lives => (421, format!("home {home}"), false),
            PlacementError::Elsewhere { home } => (503, format!("home {home}"), true),
            PlacementError::NoLease { home } => (503, format!("no lease of {home}"), true),
            PlacementError::Moving { home } => (503, format!("home becomes {home}"), true),
            PlacementError::MayHaveRun { .. } => (502, "may have run".to_string(), false),
        }
    }
}

/// A node that is not heard of, as its own site's or the fleet's members see it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AbsentMembers {
    /// Sites with how they are seen and since when, by the file's names.
    pub sites: BTreeMap<String, (SiteState, Micros)>,
    /// Nodes that are gone or have left, by number, with since when.
    pub nodes: BTreeMap<u32, Micros>,
}

/// One range.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Range {
    /// `SITE/NODE`.
    home: String,
    number: u32,
    /// Who asks for it: its own node, then its heirs, by number.
    order: Vec<u32>,
    /// Who should hold it now, as this node sees it.
    heir: Option<u32>,
    held: Option<Held>,
    /// The last grant that was heard of here, in this life or by the disk of an earlier one.
    last: Option<Fence>,
    /// Nobody else can have held it up to the last grant but this node, by its own log, or all that others did is known.
    clean: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    fence: Fence,
    /// Since that grant it was held without a gap.
    first: Fence,
    /// By one's own clock.
    asked: Micros,
    until: Micros,
}

/// One node's leases of ranges.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyOwnership {
    me: u32,
    ranges: Vec<Range>,
    classes: BTreeSet<String>,
    /// The nodes of the file that all went by last; none where that is not known.
    before: BTreeSet<u32>,
    /// All nodes go by this file.
    settled: bool,
}

/// The name of the budget of a range.
pub fn budget_name(site: &str, node: &str) -> String {
    format!("home:{site}/{node}")
}

/// Homes of the file without a budget, then budgets of homes that the file does not have; nothing where no budget is a home's.
pub fn mismatched_budgets<'a>(
    plan: &SitesConfig,
    budgets: impl Iterator<Item = &'a str>,
) -> (Vec<String>, Vec<String>) {
    let named = |b: &&str| matches!(BudgetKind::of(b), Some(BudgetKind::Home(_)));
    let given: BTreeSet<String> = budgets.filter(named).map(str::to_string).collect();
    let ownership: BTreeSet<String> = plan.nodes().map(|(s, n)| budget_name(&s.name, &n.name)).collect();
    if given.is_empty() {
        return (Vec::new(), Vec::new());
    }
    let less = |a: &BTreeSet<String>, b: &BTreeSet<String>| a.difference(b).cloned().collect();
    (less(&ownership, &given), less(&given, &ownership))
}

/// The heirs of a node's range after itself: the next nodes of its site, then those of the next sites, by the file's order. Ranges of one
/// site fall to different nodes of the next one.
fn order(plan: &SitesConfig, site: usize, node: usize) -> Vec<u32> {
    let count = plan.sites.len();
    let mut all = Vec::new();
    for s in (0..count).map(|k| (site + k) % count.max(1)) {
        let nodes = plan.sites.get(s).map(|s| s.nodes.as_slice()).unwrap_or_default();
        all.extend((0..nodes.len()).filter_map(|k| nodes.get((node + k) % nodes.len()).map(|n| n.number)));
    }
    all
}

/// All ranges of a file. What a range was last held by is on the disk, where it is known.
fn ranges(plan: &SitesConfig, fences: &BTreeMap<String, Fence>) -> Vec<Range> {
    let mut all = Vec::new();
    for (s, site) in plan.sites.iter().enumerate() {
        for (n, node) in site.nodes.iter().enumerate() {
            let home = format!("{}/{}", site.name, node.name);
            let last = fences.get(&home).copied();
            let (order, heir) = (order(plan, s, n), Some(node.number));
            all.push(Range {
                home,
                number: node.number,
                order,
                heir,
                held: None,
                last,
                clean: last.is_some(),
            });
        }
    }
    all
}

/// How a key is hashed, and how much it weighs at a node.
fn hashed(key: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    hasher.finish()
}

fn weight(key: u64, node: u32) -> u64 {
    SipHasher13::new_with_keys(key, u64::from(node)).finish()
}

impl KeyOwnership {
    /// A node's, by its number in the file. `kept` is what [`KeyOwnership::kept`] gave, from its disk; nothing for a disk that is empty, older than
    /// its last life, or another's.
    pub fn new(me: u32, plan: &SitesConfig, kept: &PersistedOwnership) -> KeyOwnership {
        let ranges = ranges(plan, &kept.fences);
        let nodes: BTreeSet<u32> = ranges.iter().map(|r| r.number).collect();
        let between = !kept.current_nodes.is_empty() && kept.current_nodes != nodes;
        // As with a file that comes while a node runs, see [`KeyOwnership::replan`].
        let before = if between && kept.settled_nodes != kept.current_nodes {
            BTreeSet::new()
        } else {
            kept.settled_nodes.clone()
        };
        let settled = before == nodes;
        KeyOwnership { me, ranges, classes: plan.guarded_classes.clone(), before, settled }
    }

    fn nodes(&self) -> BTreeSet<u32> {
        self.ranges.iter().map(|r| r.number).collect()
    }

    /// Another file holds. Ranges that it still names go on.
    pub fn update_config(&mut self, plan: &SitesConfig) {
        let before = self.nodes();
        let kept = self.persisted().fences;
        for mut range in std::mem::replace(&mut self.ranges, ranges(plan, &kept)) {
            if let Some(new) = self.ranges.iter_mut().find(|r| r.home == range.home) {
                std::mem::swap(&mut range.order, &mut new.order);
                *new = range;
            }
        }
        self.classes = plan.guarded_classes.clone();
        if self.nodes() != before {
            // Others may go by the one in between by now: what they place is not known here.
            self.before = if self.settled { before } else { BTreeSet::new() };
            self.settled = false;
        }
    }

    /// All nodes go by this file now, see [`crate::health::SiteHealth::all_go_by`].
    pub fn mark_settled(&mut self) {
        (self.settled, self.before) = (true, self.nodes());
    }

    /// Whether keys of that class have one home.
    pub fn is_guarded(&self, class: &str) -> bool {
        self.classes.contains(class)
    }

    /// The range of a key: the node whose hash with the key is greatest.
    fn range(&self, key: &str) -> Option<&Range> {
        let key = hashed(key);
        self.ranges.iter().max_by_key(|r| (weight(key, r.number), r.number))
    }

    /// Whether another node may still take itself for the key's home, by another file.
    fn moves(&self, key: &str, to: u32) -> bool {
        let key = hashed(key);
        let from = self.before.iter().copied().max_by_key(|n| (weight(key, *n), *n));
        !self.settled && from != Some(to)
    }

    /// The home of a key, `SITE/NODE`.
    pub fn home(&self, key: &str) -> &str {
        self.range(key).map_or("", |r| r.home.as_str())
    }

    /// The ranges that this node should hold now, as names of budgets: its own, and those whose own node and nearer heirs are not there. It
    /// asks for one unit of each, and for nothing of all others, at once: an heir stops as soon as the home is seen again.
    pub fn claims(&mut self, plan: &SitesConfig, gone: &AbsentMembers, now: Micros) -> Vec<String> {
        let absent = |node: u32| {
            let Some(site) = plan.site_of_node(node) else { return true };
            if plan.declared_lost(&site.name).is_some() {
                return true;
            }
            let seen = gone.sites.get(&site.name);
            let lost = seen.is_some_and(|(seen, since)| *seen == SiteState::Lost && now - since >= plan.hold);
            lost || gone.nodes.get(&node).is_some_and(|since| now - since >= plan.hold)
        };
        // A site that an operator has declared lost holds nothing, even where it lives and reads the line.
        for range in &mut self.ranges {
            range.heir = range.order.iter().copied().find(|n| !absent(*n));
        }
        let mine = |r: &&Range| r.heir == Some(self.me);
        self.ranges.iter().filter(mine).map(|r| format!("home:{}", r.home)).collect()
    }

    /// The unit of a range was granted to this life, by an asking at that time on its own clock: the lease counts from there. Whether it
    /// is gone by from now on.
    pub fn apply_grant(
        &mut self,
        budget: &str,
        grant: &Grant,
        asked: Micros,
        term: LeasePeriod,
        now: Micros,
    ) -> bool {
        let Some(BudgetKind::Home(home)) = BudgetKind::of(budget) else { return false };
        let Some(range) = self.ranges.iter_mut().find(|r| r.home == home) else { return false };
        let fence = Fence { epoch: grant.epoch, number: grant.number };
        let until = asked + LeasePeriod { length: grant.length, ..term }.for_holder();
        if grant.holder.node != NodeId(self.me) {
            return false;
        }
        // One of another epoch is given after all of the last one's has ended.
        let newer = match range.held {
            Some(held) if held.fence.epoch == fence.epoch => fence.number > held.fence.number,
            Some(held) => now >= held.until,
            None => range.last.is_none_or(|l| l.epoch != fence.epoch || fence.number > l.number),
        };
        if !newer || now >= until {
            return false;
        }
        if grant.amount == 0 {
            range.held = None;
            range.last = Some(fence);
            return true;
        }
        // Without a gap in time, or in numbers, nobody else can have held it.
        let on = range.held.is_some_and(|h| now < h.until);
        let next = range.last.is_some_and(|l| l.epoch == fence.epoch && l.number + 1 == fence.number);
        range.clean &= on || next;
        let first = range.held.filter(|_| on).map_or(fence, |h| h.first);
        (range.held, range.last) = (Some(Held { fence, first, asked, until }), Some(fence));
        true
    }

    /// This node goes by no grant of a range any more: it was given back, or taken for another.
    pub fn lease_ended(&mut self, budget: &str) {
        let home = match BudgetKind::of(budget) {
            Some(BudgetKind::Home(home)) => home,
            _ => return,
        };
        self.ranges.iter_mut().filter(|r| r.home == home).for_each(|r| r.held = None);
    }

    /// The history proves all that others may have placed in a range: it is as if it had been held here all the time.
    pub fn mark_proved(&mut self, home: &str, fence: Fence) {
        let held = |r: &&mut Range| r.home == home && r.held.is_some_and(|h| h.fence == fence);
        self.ranges.iter_mut().filter(held).for_each(|r| r.clean = true);
    }

    /// Whether what was placed under a fence may still be sent: the key's range was held without a gap since then. A process asks this as
    /// late as it can, for a write to the disk, a connection or its standing still may have taken longer than the lease.
    pub fn is_still_held(&self, key: &str, fence: Fence, now: Micros) -> bool {
        let held = self.range(key).and_then(|r| r.held).filter(|h| now < h.until && now >= h.asked);
        held.is_some_and(|h| h.fence.epoch == fence.epoch && h.first.number <= fence.number)
    }

    /// Ranges that are held now and may have been held by others before: home, the first fence of this holding, and the one of now.
    pub fn unproven(&self, now: Micros) -> Vec<(String, Fence, Fence)> {
        let held = |r: &Range| r.held.filter(|h| !r.clean && now < h.until);
        let all = self.ranges.iter().filter_map(|r| held(r).map(|h| (r.home.clone(), h.first, h.fence)));
        all.collect()
    }

    /// Whether a key may be placed here now, and under which fence, which belongs on the disk with the placement. `history` is asked where
    /// another node may have placed it. A process that stood still, and wakes, asks this before it acts.
    ///
    /// # Errors
    /// Why not.
    pub fn may_place(
        &self,
        key: &str,
        now: Micros,
        history: impl FnOnce(&str) -> Proof,
    ) -> Result<Fence, PlacementError> {
        let Some(range) = self.range(key) else {
            return Err(PlacementError::NoLease { home: String::new() });
        };
        let home = range.home.clone();
        // Time since the asking can't be negative, where a clock was set back.
        let Some(held) = range.held.filter(|h| now < h.until && now >= h.asked) else {
            let heir = self.ranges.iter().find(|r| Some(r.number) == range.heir && r.number != self.me);
            return Err(match heir {
                Some(heir) => PlacementError::Elsewhere { home: heir.home.clone() },
                None => PlacementError::NoLease { home },
            });
        };
        if self.moves(key, range.number) {
            return Err(PlacementError::Moving { home });
        }
        match range.clean {
            true => Ok(held.fence),
            false if history(key) == Proof::Clean => Ok(held.fence),
            false => Err(PlacementError::MayHaveRun { home }),
        }
    }

    /// All ranges that are held now: home, fence, until when by one's own clock, and whether others may have placed keys of it.
    pub fn held(&self, now: Micros) -> Vec<(&str, Fence, Micros, bool)> {
        let held = |r: &'_ Range| r.held.filter(|h| now < h.until);
        self.ranges
            .iter()
            .filter_map(|r| held(r).map(|h| (r.home.as_str(), h.fence, h.until, !r.clean)))
            .collect()
    }

    /// What belongs on the disk: up to which grants this node's own log tells all of each range, by its home. An older one is safe, it only
    /// makes the history be asked, as long as the log beside it is not older than the node's last placement.
    pub fn persisted(&self) -> PersistedOwnership {
        let clean = self.ranges.iter().filter(|r| r.clean);
        let fences = clean.filter_map(|r| Some((r.home.clone(), r.last?))).collect();
        PersistedOwnership { fences, settled_nodes: self.before.clone(), current_nodes: self.nodes() }
    }
}
