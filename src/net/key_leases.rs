//! Connects the quotas that lease ranges of idempotency keys with the sites that place requests by them.
//!
//! What is claimed, held and proved is decided in `shorepath-sites`. All times are on the clock of the quota client.

use super::exchange::DispatchId;
use shorepath_placements::history::History;
use shorepath_quota::client::QuotaClient;
use shorepath_quota::config::{BudgetKind, Plan as Budgets};
use shorepath_quota::{ClockSkew, Micros, NodeId};
use shorepath_sites::catch_up::{CatchUp, Message};
use shorepath_sites::config::SitesConfig;
use shorepath_sites::key_ownership::{
    AbsentMembers, Fence, KeyOwnership, PersistedOwnership, PlacementError, Proof,
};
use shorepath_sites::SiteState;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;
use tracing::info;

/// Returns whether a budgets file has quotas that lease key ranges.
pub fn has_home_quotas(budgets: &Budgets) -> bool {
    budgets.budgets.iter().any(|b| matches!(BudgetKind::of(&b.name), Some(BudgetKind::Home(_))))
}

/// This node's leases of ranges of keys.
#[derive(Debug)]
pub struct KeyLeases {
    own_number: u32,
    origin: Instant,
    skew: ClockSkew,
    ownership: RefCell<KeyOwnership>,
    catch_up: RefCell<CatchUp>,
    /// Names of the quotas that this node claims.
    wanted_quotas: RefCell<BTreeSet<String>>,
    /// Nodes that are not members of the fleet any more, with the time since when.
    absent_members: RefCell<BTreeMap<u32, Instant>>,
    /// Key and fencing token of each attempt that was placed under a lease and has not ended.
    outstanding: RefCell<HashMap<DispatchId, (String, Fence)>>,
    /// Held ranges as last logged, and whether their placements were proved.
    logged_ranges: RefCell<BTreeMap<String, bool>>,
}

impl KeyLeases {
    /// Creates the leases on the clock of the quota client, with the persisted ownership.
    pub fn new(
        own_number: u32,
        config: &SitesConfig,
        persisted: &PersistedOwnership,
        (origin, skew): (Instant, ClockSkew),
    ) -> KeyLeases {
        KeyLeases {
            own_number,
            origin,
            skew,
            ownership: RefCell::new(KeyOwnership::new(own_number, config, persisted)),
            catch_up: RefCell::default(),
            wanted_quotas: RefCell::default(),
            absent_members: RefCell::default(),
            outstanding: RefCell::default(),
            logged_ranges: RefCell::default(),
        }
    }

    fn now(&self) -> Micros {
        self.skew.at(self.origin.elapsed().as_micros() as Micros)
    }

    /// Applies a new sites file.
    pub fn update_config(&self, config: &SitesConfig) {
        self.ownership.borrow_mut().update_config(config);
    }

    /// Notes that all nodes use the same sites file.
    pub fn mark_settled(&self) {
        self.ownership.borrow_mut().mark_settled();
    }

    /// Forgets the persisted ownership, because the disk is a new or older one.
    pub fn reset(&self, config: &SitesConfig) {
        self.ownership.replace(KeyOwnership::new(self.own_number, config, &PersistedOwnership::default()));
    }

    /// Returns how many units of a quota this node claims: 0 or 1, or `None` if the quota is not for a key range.
    pub fn wanted_units(&self, budget: &str) -> Option<u64> {
        matches!(BudgetKind::of(budget), Some(BudgetKind::Home(_)))
            .then(|| u64::from(self.wanted_quotas.borrow().contains(budget)))
    }

    /// Applies the current grants. Must run after each received message and before the next is sent: an allocator may grant a
    /// returned range to another node at once.
    pub fn update_leases(&self, quota_client: &QuotaClient) {
        let now = self.now();
        let (mut ownership, wanted) = (self.ownership.borrow_mut(), self.wanted_quotas.borrow());
        for budget in quota_client.plan().budgets.iter().filter(|b| self.wanted_units(&b.name).is_some()) {
            match quota_client.lease(&budget.name, now).filter(|_| wanted.contains(&budget.name)) {
                Some((grant, asked)) => {
                    let lease_period = quota_client.plan().lease_period(budget);
                    ownership.apply_grant(&budget.name, &grant, asked, lease_period, now);
                }
                None => ownership.lease_ended(&budget.name),
            }
        }
        // Leases of quotas that the budgets file no longer lists were returned.
        let is_listed = |name: &String| quota_client.plan().budgets.iter().any(|b| b.name == *name);
        wanted.iter().filter(|name| !is_listed(name)).for_each(|name| ownership.lease_ended(name));
    }

    /// Ends all leases, because this node leaves the fleet.
    pub fn release_all(&self) {
        let wanted = std::mem::take(&mut *self.wanted_quotas.borrow_mut());
        wanted.iter().for_each(|name| self.ownership.borrow_mut().lease_ended(name));
    }

    /// Records whether a node is absent from the fleet.
    pub fn set_member_absent(&self, node: NodeId, absent: bool) {
        let mut members = self.absent_members.borrow_mut();
        match absent {
            true => drop(members.entry(node.0).or_insert_with(Instant::now)),
            false => drop(members.remove(&node.0)),
        }
    }

    /// Claims the ranges that this node should hold in the given states of sites. `now` and the states are on the clock of the
    /// sites.
    pub fn claim(&self, config: &SitesConfig, sites: BTreeMap<String, (SiteState, Micros)>, now: Micros) {
        let age = |at: &Instant| at.elapsed().as_micros() as Micros;
        let nodes = self.absent_members.borrow().iter().map(|(n, at)| (*n, now - age(at))).collect();
        let mut ownership = self.ownership.borrow_mut();
        let claims: BTreeSet<String> =
            ownership.claims(config, &AbsentMembers { sites, nodes }, now).into_iter().collect();
        let mut wanted = self.wanted_quotas.borrow_mut();
        if claims != *wanted {
            info!("key ranges: this node asks for {}", claims.iter().cloned().collect::<Vec<_>>().join(", "));
            // A range that another node should hold is not used any more, even while its lease lasts.
            wanted.difference(&claims).for_each(|budget| ownership.lease_ended(budget));
            *wanted = claims;
        }
    }

    /// Continues to prove which placements others made in held ranges, and returns the messages to send, by node number. `own` is
    /// the number of this node's log and of its last entry.
    pub fn prove(&self, config: &SitesConfig, own: (u64, u64), history: &History) -> Vec<(u32, Message)> {
        let now = self.now();
        let mut ownership = self.ownership.borrow_mut();
        let unproven = ownership.unproven(now);
        let (outgoing_messages, proved) =
            self.catch_up.borrow_mut().tick(config, (self.own_number, own), &unproven, history, now);
        proved.iter().for_each(|(home, fence)| ownership.mark_proved(home, *fence));
        outgoing_messages
    }

    /// Records a node's reply about the number of its log and of the last entry in it.
    pub fn record_reply(&self, from: u32, home: &str, fence: Fence, log: u64, last: u64) {
        self.catch_up.borrow_mut().record_reply(from, home, fence, log, last);
    }

    /// Returns the fencing token under which the key may be placed here now.
    ///
    /// # Errors
    /// Returns why it may not, and whether replies of other nodes are still awaited.
    pub fn may_place(&self, key: &str) -> Result<Fence, (PlacementError, bool)> {
        let now = self.now();
        // The caller has checked the key's history; a range is proved for all its keys at once.
        let refused = match self.ownership.borrow().may_place(key, now, |_| Proof::Unknown) {
            Ok(fence) => return Ok(fence),
            Err(refused) => refused,
        };
        let awaits_replies = match &refused {
            PlacementError::MayHaveRun { home } => self.catch_up.borrow().awaits_replies(home, now),
            _ => false,
        };
        Err((refused, awaits_replies))
    }

    /// Records an attempt that is placed under the given fencing token.
    pub fn record_attempt(&self, id: DispatchId, key: &str, fence: Fence) {
        self.outstanding.borrow_mut().insert(id, (key.to_string(), fence));
    }

    /// Returns whether an attempt may still be sent; always true for one that needs no lease.
    pub fn may_send(&self, id: DispatchId) -> bool {
        let outstanding = self.outstanding.borrow();
        outstanding
            .get(&id)
            .is_none_or(|(key, fence)| self.ownership.borrow().is_still_held(key, *fence, self.now()))
    }

    /// Forgets an attempt that has ended.
    pub fn attempt_ended(&self, id: DispatchId) {
        self.outstanding.borrow_mut().remove(&id);
    }

    /// Returns whether this node holds any range.
    pub fn holds_any(&self) -> bool {
        !self.ownership.borrow().held(self.now()).is_empty()
    }

    /// Returns the ownership of key ranges that must survive a restart of the node.
    pub fn persisted(&self) -> PersistedOwnership {
        self.ownership.borrow().persisted()
    }

    /// Logs each range that was acquired, lost or proved since the last call.
    pub fn log_changes(&self) {
        let ownership = self.ownership.borrow();
        let held = ownership.held(self.now());
        let now: BTreeMap<String, bool> = held.iter().map(|h| (h.0.to_string(), !h.3)).collect();
        let mut logged_ranges = self.logged_ranges.borrow_mut();
        for (home, fence, _, adopted) in &held {
            if logged_ranges.get(*home) != Some(&!adopted) {
                let proof_state = if *adopted {
                    "asking other nodes for their placements"
                } else {
                    "all placements are known"
                };
                info!(
                    "key range {home} is held epoch={} number={}: {proof_state}",
                    fence.epoch, fence.number
                );
            }
        }
        logged_ranges
            .keys()
            .filter(|home| !now.contains_key(*home))
            .for_each(|home| info!("key range {home} is no longer held"));
        *logged_ranges = now;
    }

    /// Returns a line for operators for each held range.
    pub fn status(&self) -> String {
        let (ownership, now) = (self.ownership.borrow(), self.now());
        let line = |(home, fence, until, adopted): (&str, Fence, Micros, bool)| {
            let (Fence { epoch, number }, left) = (fence, (until - now) / 1_000);
            format!("home {home} epoch={epoch} number={number} left_ms={left} proved={}\n", !adopted)
        };
        ownership.held(now).into_iter().map(line).collect()
    }
}
