//! Ownership of guarded idempotency keys: at any time, one node at most may place requests with a given key.
//!
//! Keys are divided into ranges, one for each node of each site, by rendezvous hashing ("Using name-based mappings to
//! increase hit rates", Thaler and Ravishankar). The node of a range is the home of its keys. A range is leased as a
//! quota budget of one unit, `home:SITE/NODE`, which the quota servers grant by consensus. The holder may place the
//! range's keys until the lease expires by its own clock, counted from the time of its request, so a range never has
//! two holders, whatever the nodes believe about each other. The observed states of sites only decide which node
//! requests the lease. The epoch and number of a grant are its fencing token.
//!
//! A configuration with other nodes moves keys between ranges. A moved key is placed nowhere until all nodes use that
//! configuration (see [`crate::health::SiteHealth::all_nodes_use_config`]); other keys are not affected. A node must
//! be removed from the configuration only after it has been stopped for longer than a lease and its longest job, and a
//! node never returns to an older configuration.
//!
//! A range that another node may have held in the meantime is *unproven*, also at its home: its keys may have been
//! placed elsewhere, so a key is placed only if the history proves that it was not.

use crate::config::SitesConfig;
use crate::{Micros, SiteState};
use shorepath_quota::config::BudgetKind;
use shorepath_quota::{Grant, LeasePeriod, NodeId};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Fencing token under which a key is placed. In one epoch a greater number is newer; all leases of an epoch have
/// expired before the next epoch grants any.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Fence {
    /// Epoch of the grant, see [`Grant`].
    pub epoch: u32,
    /// Number of the grant within the epoch.
    pub number: u64,
}

/// What the history proves about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Proof {
    /// The key was not placed, or its job certainly never ran: the logs of all possible placers are complete.
    Clean,
    /// The key was placed.
    Placed,
    /// The history is incomplete.
    Unknown,
}

/// State of the key ownership that a node keeps on its disk.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct PersistedOwnership {
    /// By home, as `SITE/NODE`: the fence up to which the node's own log contains all placements of the range.
    pub fences: BTreeMap<String, Fence>,
    /// Numbers of the nodes of the last configuration that all nodes used; empty if unknown.
    #[serde(rename = "nodes")]
    pub settled_nodes: BTreeSet<u32>,
    /// Numbers of the nodes of the configuration that this node uses.
    #[serde(rename = "by", default)]
    pub current_nodes: BTreeSet<u32>,
}

/// Why a key can't be placed at this node now.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum PlacementError {
    /// Another node, the home or its successor, is responsible for the key.
    #[error("the home of the key is {home} now")]
    #[diagnostic(help("send the request to {home}; all repeats of a key have the same home"))]
    Elsewhere {
        /// The responsible node, as `SITE/NODE`.
        home: String,
    },
    /// This node is responsible for the key but has no valid lease.
    #[error("this node has no lease of {home} now")]
    #[diagnostic(help("retry later; if this lasts, check that the leading quota server is reachable and that no other node still holds the lease"))]
    NoLease {
        /// The home of the key's range, as `SITE/NODE`.
        home: String,
    },
    /// The configuration moves the key, and not all nodes are known to use it.
    #[error("the home of the key becomes {home}, and not all nodes use the new sites file yet")]
    #[diagnostic(help(
        "put the sites file into service at all nodes; declare a permanently lost site as lost"
    ))]
    Moving {
        /// The home of the key's range, as `SITE/NODE`.
        home: String,
    },
    /// Another node has held the range and may have placed the key.
    #[error(
        "the request may have run: another node has held {home}, and the history does not prove that the key was not placed"
    )]
    #[diagnostic(help(
        "don't repeat the request with another key before its outcome is known; histories are exchanged once the site is back"
    ))]
    MayHaveRun {
        /// The home of the key's range, as `SITE/NODE`.
        home: String,
    },
}

impl Fence {
    /// Returns the fence as it is stored with a placement: the epoch in the upper and the number in the lower 32 bits.
    pub fn as_u64(self) -> u64 {
        u64::from(self.epoch) << 32 | self.number & u64::from(u32::MAX)
    }
}

impl PlacementError {
    /// Returns the home that the error names, as `SITE/NODE`.
    pub fn home(&self) -> &str {
        match self {
            PlacementError::Elsewhere { home }
            | PlacementError::NoLease { home }
            | PlacementError::Moving { home }
            | PlacementError::MayHaveRun { home } => home,
        }
    }

    /// Returns the response to a client: the HTTP status, a short reason, and whether a retry at this node may succeed.
    /// `home_is_reachable` is whether clients can reach the home.
    pub fn response(&self, home_is_reachable: bool) -> (u16, String, bool) {
        match self {
            PlacementError::Elsewhere { home } if home_is_reachable => (421, format!("home {home}"), false),
            PlacementError::Elsewhere { home } => (503, format!("home {home}"), true),
            PlacementError::NoLease { home } => (503, format!("no lease of {home}"), true),
            PlacementError::Moving { home } => (503, format!("home becomes {home}"), true),
            PlacementError::MayHaveRun { .. } => (502, "may have run".to_string(), false),
        }
    }
}

/// Sites and nodes that may be unavailable, by site failure detection and fleet membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AbsentMembers {
    /// State of each site and the time of its last change, by site name.
    pub sites: BTreeMap<String, (SiteState, Micros)>,
    /// Nodes that have failed or left, by number, with the time.
    pub nodes: BTreeMap<u32, Micros>,
}

/// A key range, with what this node knows of its lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Range {
    /// The range's home, as `SITE/NODE`.
    home: String,
    home_number: u32,
    /// Numbers of the nodes that may request it: its home, then its successors.
    successors: Vec<u32>,
    /// The first of them that is available, as this node sees it.
    owner: Option<u32>,
    held: Option<Held>,
    /// The last grant that this node has received, possibly before a restart.
    last_fence: Option<Fence>,
    /// No other node can have held the range up to the last grant, or all placements of other holders are known.
    proved: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    fence: Fence,
    /// The first grant since which the range has been held without a gap.
    first_fence: Fence,
    /// When the lease was requested, by this node's clock.
    requested_at: Micros,
    /// When the lease expires, by this node's clock.
    expires_at: Micros,
}

/// Key ranges and their leases as known to one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyOwnership {
    me: u32,
    ranges: Vec<Range>,
    classes: BTreeSet<String>,
    /// Numbers of the nodes of the last configuration that all nodes used; empty if unknown.
    settled_nodes: BTreeSet<u32>,
    /// All nodes use the current configuration.
    settled: bool,
}

/// Returns the name of a range's budget.
pub fn budget_name(site: &str, node: &str) -> String {
    format!("home:{site}/{node}")
}

/// Compares the budgets of ranges with the configuration. Returns the missing budgets, then those that name a node
/// outside the configuration; both lists are empty if no budget belongs to a range.
pub fn mismatched_budgets<'a>(
    config: &SitesConfig,
    budgets: impl Iterator<Item = &'a str>,
) -> (Vec<String>, Vec<String>) {
    let is_range = |b: &&str| matches!(BudgetKind::of(b), Some(BudgetKind::Home(_)));
    let budgeted: BTreeSet<String> = budgets.filter(is_range).map(str::to_string).collect();
    let ownership: BTreeSet<String> = config.nodes().map(|(s, n)| budget_name(&s.name, &n.name)).collect();
    if budgeted.is_empty() {
        return (Vec::new(), Vec::new());
    }
    let difference = |a: &BTreeSet<String>, b: &BTreeSet<String>| a.difference(b).cloned().collect();
    (difference(&ownership, &budgeted), difference(&budgeted, &ownership))
}

/// Returns the nodes that may hold a node's range, in order of preference: the node itself, the next nodes of its site,
/// then those of the next sites. Ranges of one site fall to different nodes of the next site.
fn successors(config: &SitesConfig, site: usize, node: usize) -> Vec<u32> {
    let count = config.sites.len();
    let mut all = Vec::new();
    for s in (0..count).map(|k| (site + k) % count.max(1)) {
        let nodes = config.sites.get(s).map(|s| s.nodes.as_slice()).unwrap_or_default();
        all.extend((0..nodes.len()).filter_map(|k| nodes.get((node + k) % nodes.len()).map(|n| n.number)));
    }
    all
}

/// Returns all ranges of a configuration. `fences` are the last known grants from the disk.
fn build_ranges(config: &SitesConfig, fences: &BTreeMap<String, Fence>) -> Vec<Range> {
    let mut all = Vec::new();
    for (s, site) in config.sites.iter().enumerate() {
        for (n, node) in site.nodes.iter().enumerate() {
            let home = format!("{}/{}", site.name, node.name);
            let last_fence = fences.get(&home).copied();
            let (successors, owner) = (successors(config, s, n), Some(node.number));
            all.push(Range {
                home,
                home_number: node.number,
                successors,
                owner,
                held: None,
                last_fence,
                proved: last_fence.is_some(),
            });
        }
    }
    all
}

/// Returns the hash of a key.
fn key_hash(key: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    hasher.finish()
}

/// Returns the rendezvous weight of a hashed key at a node.
fn rendezvous_weight(key: u64, node: u32) -> u64 {
    SipHasher13::new_with_keys(key, u64::from(node)).finish()
}

impl KeyOwnership {
    /// Creates the state of a node, given its number. `persisted` is the last result of [`KeyOwnership::persisted`]
    /// from its disk; the default if the disk is empty, an older copy, or another node's.
    pub fn new(me: u32, config: &SitesConfig, persisted: &PersistedOwnership) -> KeyOwnership {
        let ranges = build_ranges(config, &persisted.fences);
        let nodes: BTreeSet<u32> = ranges.iter().map(|r| r.home_number).collect();
        let used_other_config = !persisted.current_nodes.is_empty() && persisted.current_nodes != nodes;
        // The same rule as in [`KeyOwnership::update_config`].
        let settled_nodes = if used_other_config && persisted.settled_nodes != persisted.current_nodes {
            BTreeSet::new()
        } else {
            persisted.settled_nodes.clone()
        };
        let settled = settled_nodes == nodes;
        KeyOwnership { me, ranges, classes: config.guarded_classes.clone(), settled_nodes, settled }
    }

    fn nodes(&self) -> BTreeSet<u32> {
        self.ranges.iter().map(|r| r.home_number).collect()
    }

    /// Applies another configuration. Ranges that it still names keep their leases.
    pub fn update_config(&mut self, config: &SitesConfig) {
        let previous_nodes = self.nodes();
        let fences = self.persisted().fences;
        for mut range in std::mem::replace(&mut self.ranges, build_ranges(config, &fences)) {
            if let Some(new) = self.ranges.iter_mut().find(|r| r.home == range.home) {
                std::mem::swap(&mut range.successors, &mut new.successors);
                *new = range;
            }
        }
        self.classes = config.guarded_classes.clone();
        if self.nodes() != previous_nodes {
            // Other nodes may use a configuration in between by now, so the possible owners of keys are unknown.
            self.settled_nodes = if self.settled { previous_nodes } else { BTreeSet::new() };
            self.settled = false;
        }
    }

    /// Records that all nodes use this configuration, see [`crate::health::SiteHealth::all_nodes_use_config`].
    pub fn mark_settled(&mut self) {
        (self.settled, self.settled_nodes) = (true, self.nodes());
    }

    /// Returns whether the keys of a class are guarded.
    pub fn is_guarded(&self, class: &str) -> bool {
        self.classes.contains(class)
    }

    /// Returns the range of a key, which is that of the node with the greatest rendezvous weight.
    fn range(&self, key: &str) -> Option<&Range> {
        let key = key_hash(key);
        self.ranges.iter().max_by_key(|r| (rendezvous_weight(key, r.home_number), r.home_number))
    }

    /// Returns whether another node may still be the key's home by another configuration.
    fn is_moving(&self, key: &str, to: u32) -> bool {
        let key = key_hash(key);
        let from = self.settled_nodes.iter().copied().max_by_key(|n| (rendezvous_weight(key, *n), *n));
        !self.settled && from != Some(to)
    }

    /// Returns the home of a key, as `SITE/NODE`.
    pub fn home(&self, key: &str) -> &str {
        self.range(key).map_or("", |r| r.home.as_str())
    }

    /// Returns the budgets of the ranges that this node should hold now: its own, and those whose home and nearer
    /// successors are unavailable. The node should request one unit of each and release all others at once, so that a
    /// successor stops as soon as the home is available again.
    pub fn claims(
        &mut self,
        config: &SitesConfig,
        absent_members: &AbsentMembers,
        now: Micros,
    ) -> Vec<String> {
        let is_absent = |node: u32| {
            let Some(site) = config.site_of_node(node) else { return true };
            if config.declared_lost(&site.name).is_some() {
                return true;
            }
            let state = absent_members.sites.get(&site.name);
            let lost =
                state.is_some_and(|(state, since)| *state == SiteState::Lost && now - since >= config.hold);
            lost || absent_members.nodes.get(&node).is_some_and(|since| now - since >= config.hold)
        };
        // A site that is declared lost holds no range, even if it is running and reads the declaration.
        for range in &mut self.ranges {
            range.owner = range.successors.iter().copied().find(|n| !is_absent(*n));
        }
        let is_mine = |r: &&Range| r.owner == Some(self.me);
        self.ranges.iter().filter(is_mine).map(|r| format!("home:{}", r.home)).collect()
    }

    /// Applies a grant of a range. `requested_at` is when this node requested it, from which the lease counts, by the
    /// same clock as `now`. Returns false for a grant that is outdated, expired, or another node's.
    pub fn apply_grant(
        &mut self,
        budget: &str,
        grant: &Grant,
        requested_at: Micros,
        term: LeasePeriod,
        now: Micros,
    ) -> bool {
        let Some(BudgetKind::Home(home)) = BudgetKind::of(budget) else { return false };
        let Some(range) = self.ranges.iter_mut().find(|r| r.home == home) else { return false };
        let fence = Fence { epoch: grant.epoch, number: grant.number };
        let expires_at = requested_at + LeasePeriod { length: grant.length, ..term }.for_holder();
        if grant.holder.node != NodeId(self.me) {
            return false;
        }
        // Another epoch grants only after all leases of the last one have expired.
        let is_newer = match range.held {
            Some(held) if held.fence.epoch == fence.epoch => fence.number > held.fence.number,
            Some(held) => now >= held.expires_at,
            None => range.last_fence.is_none_or(|l| l.epoch != fence.epoch || fence.number > l.number),
        };
        if !is_newer || now >= expires_at {
            return false;
        }
        if grant.amount == 0 {
            range.held = None;
            range.last_fence = Some(fence);
            return true;
        }
        // Without a gap in time or in numbers, no other node can have held the range.
        let is_continuous = range.held.is_some_and(|h| now < h.expires_at);
        let has_next_number =
            range.last_fence.is_some_and(|l| l.epoch == fence.epoch && l.number + 1 == fence.number);
        range.proved &= is_continuous || has_next_number;
        let first_fence = range.held.filter(|_| is_continuous).map_or(fence, |h| h.first_fence);
        (range.held, range.last_fence) =
            (Some(Held { fence, first_fence, requested_at, expires_at }), Some(fence));
        true
    }

    /// Records that this node no longer holds a range, because its lease was released or revoked.
    pub fn lease_ended(&mut self, budget: &str) {
        let home = match BudgetKind::of(budget) {
            Some(BudgetKind::Home(home)) => home,
            _ => return,
        };
        self.ranges.iter_mut().filter(|r| r.home == home).for_each(|r| r.held = None);
    }

    /// Records that all placements of earlier holders of a range are known, under its current fence.
    pub fn mark_proved(&mut self, home: &str, fence: Fence) {
        let held = |r: &&mut Range| r.home == home && r.held.is_some_and(|h| h.fence == fence);
        self.ranges.iter_mut().filter(held).for_each(|r| r.proved = true);
    }

    /// Returns whether a key that was placed under a fence may still be sent, because its range has been held without
    /// a gap since then. It should be checked as late as possible: a disk write, a new connection or a suspension of
    /// the process may have outlasted the lease.
    pub fn is_still_held(&self, key: &str, fence: Fence, now: Micros) -> bool {
        let held =
            self.range(key).and_then(|r| r.held).filter(|h| now < h.expires_at && now >= h.requested_at);
        held.is_some_and(|h| h.fence.epoch == fence.epoch && h.first_fence.number <= fence.number)
    }

    /// Returns the ranges that are held now and may have been held by others before, each with its home, the first
    /// fence since which it has been held without a gap, and the current fence.
    pub fn unproven(&self, now: Micros) -> Vec<(String, Fence, Fence)> {
        let held = |r: &Range| r.held.filter(|h| !r.proved && now < h.expires_at);
        let all =
            self.ranges.iter().filter_map(|r| held(r).map(|h| (r.home.clone(), h.first_fence, h.fence)));
        all.collect()
    }

    /// Returns the fence under which a key may be placed now; it must be stored with the placement. `history` is
    /// called if another node may have placed the key. A process that was suspended must check this again before it
    /// acts.
    ///
    /// # Errors
    /// If the key must not be placed at this node now.
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
        // If the clock was set back to before the request of the lease, the time left of the lease is unknown.
        let Some(held) = range.held.filter(|h| now < h.expires_at && now >= h.requested_at) else {
            let owner =
                self.ranges.iter().find(|r| Some(r.home_number) == range.owner && r.home_number != self.me);
            return Err(match owner {
                Some(owner) => PlacementError::Elsewhere { home: owner.home.clone() },
                None => PlacementError::NoLease { home },
            });
        };
        if self.is_moving(key, range.home_number) {
            return Err(PlacementError::Moving { home });
        }
        match range.proved {
            true => Ok(held.fence),
            false if history(key) == Proof::Clean => Ok(held.fence),
            false => Err(PlacementError::MayHaveRun { home }),
        }
    }

    /// Returns the ranges that are held now, each with its home, its fence, when it expires by this node's clock, and
    /// whether others may have placed keys of it.
    pub fn held(&self, now: Micros) -> Vec<(&str, Fence, Micros, bool)> {
        let held = |r: &'_ Range| r.held.filter(|h| now < h.expires_at);
        self.ranges
            .iter()
            .filter_map(|r| held(r).map(|h| (r.home.as_str(), h.fence, h.expires_at, !r.proved)))
            .collect()
    }

    /// Returns the state to store on the disk. An older state is safe, since it only causes more checks of the
    /// history, as long as the log on the same disk contains the node's last placement.
    pub fn persisted(&self) -> PersistedOwnership {
        let proved = self.ranges.iter().filter(|r| r.proved);
        let fences = proved.filter_map(|r| Some((r.home.clone(), r.last_fence?))).collect();
        PersistedOwnership { fences, settled_nodes: self.settled_nodes.clone(), current_nodes: self.nodes() }
    }
}
