//! Who is home to keys that must not repeat, between the fleet's budgets, which lease ranges of them, and the sites, which place by them.
//! What is claimed, held and proved is decided in `shorepath-sites`; here it is carried, by one clock: that of the budgets.

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

/// Whether a file of budgets names homes at all.
pub fn has_home_quotas(budgets: &Budgets) -> bool {
    budgets.budgets.iter().any(|b| matches!(BudgetKind::of(&b.name), Some(BudgetKind::Home(_))))
}

/// This node's leases of ranges of keys.
#[derive(Debug)]
pub struct KeyLeases {
    me: u32,
    origin: Instant,
    skew: ClockSkew,
    ownership: RefCell<KeyOwnership>,
    proving: RefCell<CatchUp>,
    /// Budgets of which one unit is wanted.
    wanted: RefCell<BTreeSet<String>>,
    /// Nodes that the fleet's members take for gone, since when.
    gone: RefCell<BTreeMap<u32, Instant>>,
    /// Attempts that were placed under a lease and have not ended.
    out: RefCell<HashMap<DispatchId, (String, Fence)>>,
    /// What was told of ranges that are held.
    notified: RefCell<BTreeMap<String, bool>>,
}

impl KeyLeases {
    /// One by the clock of the budgets, with what the disk kept.
    pub fn new(
        me: u32,
        plan: &SitesConfig,
        kept: &PersistedOwnership,
        (origin, skew): (Instant, ClockSkew),
    ) -> KeyLeases {
        KeyLeases {
            me,
            origin,
            skew,
            ownership: RefCell::new(KeyOwnership::new(me, plan, kept)),
            proving: RefCell::default(),
            wanted: RefCell::default(),
            gone: RefCell::default(),
            out: RefCell::default(),
            notified: RefCell::default(),
        }
    }

    fn now(&self) -> Micros {
        self.skew.at(self.origin.elapsed().as_micros() as Micros)
    }

    /// Another file of sites holds.
    pub fn update_config(&self, plan: &SitesConfig) {
        self.ownership.borrow_mut().update_config(plan);
    }

    /// All nodes go by the file of sites.
    pub fn mark_settled(&self) {
        self.ownership.borrow_mut().mark_settled();
    }

    /// The disk is not the one of the last life, or an older one: nothing is known of what was held.
    pub fn reset(&self, plan: &SitesConfig) {
        self.ownership.replace(KeyOwnership::new(self.me, plan, &PersistedOwnership::default()));
    }

    /// Whether one unit of a budget is wanted here; `None` for one that is no home.
    pub fn wanted_units(&self, budget: &str) -> Option<u64> {
        matches!(BudgetKind::of(budget), Some(BudgetKind::Home(_)))
            .then(|| u64::from(self.wanted.borrow().contains(budget)))
    }

    /// What the seat goes by may have changed. Told after each word that it hears and before anything is said of that: what is given up
    /// is free for others from then on.
    pub fn update_leases(&self, quota_client: &QuotaClient) {
        let now = self.now();
        let (mut ownership, wanted) = (self.ownership.borrow_mut(), self.wanted.borrow());
        for budget in quota_client.plan().budgets.iter().filter(|b| self.wanted_units(&b.name).is_some()) {
            match quota_client.lease(&budget.name, now).filter(|_| wanted.contains(&budget.name)) {
                Some((grant, asked)) => {
                    let term = quota_client.plan().lease_period(budget);
                    ownership.apply_grant(&budget.name, &grant, asked, term, now);
                }
                None => ownership.lease_ended(&budget.name),
            }
        }
        // What the file names no more was given back.
        let named = |name: &String| quota_client.plan().budgets.iter().any(|b| b.name == *name);
        wanted.iter().filter(|name| !named(name)).for_each(|name| ownership.lease_ended(name));
    }

    /// This node leaves: it has given back all that it held.
    pub fn release_all(&self) {
        let wanted = std::mem::take(&mut *self.wanted.borrow_mut());
        wanted.iter().for_each(|name| self.ownership.borrow_mut().lease_ended(name));
    }

    /// The fleet's members take a node for gone, or hear it.
    pub fn set_member_absent(&self, node: NodeId, gone: bool) {
        let mut all = self.gone.borrow_mut();
        match gone {
            true => drop(all.entry(node.0).or_insert_with(Instant::now)),
            false => drop(all.remove(&node.0)),
        }
    }

    /// Claim what this node should hold by how sites are seen, at a time on the sites' clock.
    pub fn claim(&self, plan: &SitesConfig, sites: BTreeMap<String, (SiteState, Micros)>, now: Micros) {
        let ago = |at: &Instant| at.elapsed().as_micros() as Micros;
        let nodes = self.gone.borrow().iter().map(|(n, at)| (*n, now - ago(at))).collect();
        let mut ownership = self.ownership.borrow_mut();
        let claims: BTreeSet<String> =
            ownership.claims(plan, &AbsentMembers { sites, nodes }, now).into_iter().collect();
        let mut wanted = self.wanted.borrow_mut();
        if claims != *wanted {
            info!("homes: this node asks for {}", claims.iter().cloned().collect::<Vec<_>>().join(", "));
            // One that others should hold is not used any more from now on, whatever was granted.
            wanted.difference(&claims).for_each(|budget| ownership.lease_ended(budget));
            *wanted = claims;
        }
    }

    /// Go on proving what others may have placed: what is to be said to whom. `own` is the number of this node's log and its last entry's.
    pub fn prove(&self, plan: &SitesConfig, own: (u64, u64), history: &History) -> Vec<(u32, Message)> {
        let now = self.now();
        let mut ownership = self.ownership.borrow_mut();
        let unproven = ownership.unproven(now);
        let (outgoing_messages, proved) =
            self.proving.borrow_mut().tick(plan, (self.me, own), &unproven, history, now);
        proved.iter().for_each(|(home, fence)| ownership.mark_proved(home, *fence));
        outgoing_messages
    }

    /// A node has said how far its log goes.
    pub fn record_reply(&self, from: u32, home: &str, fence: Fence, log: u64, last: u64) {
        self.proving.borrow_mut().record_reply(from, home, fence, log, last);
    }

    /// Whether a key may be placed here now.
    ///
    /// # Errors
    /// Why not, and whether what others placed is still being asked for.
    pub fn may_place(&self, key: &str) -> Result<Fence, (PlacementError, bool)> {
        let now = self.now();
        // The history was asked before; a range is proved as a whole.
        let refused = match self.ownership.borrow().may_place(key, now, |_| Proof::Unknown) {
            Ok(fence) => return Ok(fence),
            Err(refused) => refused,
        };
        let asks = match &refused {
            PlacementError::MayHaveRun { home } => self.proving.borrow().awaits_replies(home, now),
            _ => false,
        };
        Err((refused, asks))
    }

    /// An attempt is placed under that fence.
    pub fn record_attempt(&self, id: DispatchId, key: &str, fence: Fence) {
        self.out.borrow_mut().insert(id, (key.to_string(), fence));
    }

    /// Whether an attempt may still be sent; of one that no lease is needed for, always.
    pub fn may_send(&self, id: DispatchId) -> bool {
        let out = self.out.borrow();
        out.get(&id).is_none_or(|(key, fence)| self.ownership.borrow().is_still_held(key, *fence, self.now()))
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, id: DispatchId) {
        self.out.borrow_mut().remove(&id);
    }

    /// Whether a range is held.
    pub fn holds_any(&self) -> bool {
        !self.ownership.borrow().held(self.now()).is_empty()
    }

    /// What belongs on the disk.
    pub fn persisted(&self) -> PersistedOwnership {
        self.ownership.borrow().persisted()
    }

    /// Tell of each range that is held now and was not, or is held no more, or was proved.
    pub fn log_changes(&self) {
        let ownership = self.ownership.borrow();
        let held = ownership.held(self.now());
        let now: BTreeMap<String, bool> = held.iter().map(|h| (h.0.to_string(), !h.3)).collect();
        let mut notified = self.notified.borrow_mut();
        for (home, fence, _, adopted) in &held {
            if notified.get(*home) != Some(&!adopted) {
                let clean =
                    if *adopted { "what others placed is asked for" } else { "all that was placed is known" };
                info!("home {home} is held epoch={} number={}: {clean}", fence.epoch, fence.number);
            }
        }
        notified
            .keys()
            .filter(|home| !now.contains_key(*home))
            .for_each(|home| info!("home {home} is not held any more"));
        *notified = now;
    }

    /// For operators: a line for each range that is held.
    pub fn status(&self) -> String {
        let (ownership, now) = (self.ownership.borrow(), self.now());
        let line = |(home, fence, until, adopted): (&str, Fence, Micros, bool)| {
            let (Fence { epoch, number }, left) = (fence, (until - now) / 1_000);
            format!("home {home} epoch={epoch} number={number} left_ms={left} proved={}\n", !adopted)
        };
        ownership.held(now).into_iter().map(line).collect()
    }
}
