//! One node of a site: the real scheduler with the real modules for sites and accounts, connected as in the
//! node's own loop.

use super::file::Scenario;
use super::{Micros, MS, S};
use shorepath_accounts::admission::{restrictions, CreditBalances, Now};
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::credit::{CreditBalance, CreditRecord, NodeCredit};
use shorepath_accounts::freshness::Confirmation;
use shorepath_accounts::gossip::{self, Gossip};
use shorepath_accounts::registry::{AccountRegistry, RegistryUpdate};
use shorepath_scheduler::*;
use shorepath_scheduler::{QuotaKind, QuotaShare, Scheduler};
use shorepath_sites::config::SitesConfig;
use shorepath_sites::health::{self, SiteHealth, StateChange};
use shorepath_sites::load_shifting::{Class, LoadShifting};
use shorepath_sites::recovery_ramp::SlowStart;

/// The account that has a credit and that the events close.
pub const ACME: &str = "acme";
/// Interval at which the limits of load shifting are updated.
const LOAD_SHIFTING_INTERVAL: Micros = 100 * MS;
const MAX_TICK_INTERVAL: Micros = 250 * MS;
/// Number of jobs by which the credit on disk runs ahead of the credit spent.
const CREDIT_CHUNK: u64 = 16;

/// A message between nodes.
#[derive(Clone, Debug)]
pub enum NodeMessage {
    /// Gossip about accounts.
    Accounts(gossip::Message),
    /// A heartbeat with the health of sites.
    SiteHealth(health::Message),
}

/// The durable state of a node.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    registry: AccountRegistry,
    credit_record: Option<CreditRecord>,
}

/// The modules of a node that handle several sites.
pub struct MultiSite {
    pub site_health: SiteHealth,
    pub load_shifting: LoadShifting,
    pub gossip: Gossip,
    confirmation: Confirmation,
    credit_balances: CreditBalances,
    load_shifting_due: Micros,
    quota_shares: Vec<QuotaShare>,
    pub disk: Disk,
}

pub struct Node {
    pub site: usize,
    pub number: u32,
    pub scheduler: Scheduler,
    pub multi_site: Option<MultiSite>,
    /// Jobs served and failed since the last update of load shifting.
    pub outcomes: (u64, u64),
    /// Incremented when the node is lost, so that events of its earlier processes are dropped.
    pub incarnation: u32,
}

/// Messages and changes that a tick of a node's modules produced.
#[derive(Default)]
pub struct TickResult {
    pub messages: Vec<(u32, NodeMessage)>,
    pub quota_shares: Option<Vec<QuotaShare>>,
    pub state_changes: Vec<StateChange>,
    /// Numbers of the accounts files that close the account at this node from now on.
    pub applied_closings: Vec<u64>,
    /// Time of the next tick.
    pub next_tick: Micros,
}

/// Returns the scheduler settings of each node of a site with this many nodes.
pub fn settings(scenario: &Scenario, nodes: usize) -> Settings {
    let class = ClassSettings {
        latency_objective: scenario.latency_objective
            - (2 * scenario.mean_work).min(scenario.latency_objective / 2),
        work_factor: 2.0,
        deadline: scenario.deadline,
        priority_weight: 1.0,
        idempotency: Idempotency::Idempotent,
        ..ClassSettings::default()
    };
    Settings {
        schedulers: nodes as u32,
        tick: MS,
        classes: vec![class],
        tenants: vec![TenantSettings { share: 1.0, quota_per_second: 0.0 }],
        reports_starts: true,
        max_attempts: 1,
        slow_start_min_share: scenario.cold_capacity,
        slow_start_duration: scenario.warm_up,
        overload_multiple: 4.0,
        overload_window: 2 * S,
        ..Settings::default()
    }
}

impl MultiSite {
    /// Starts the modules of a node with the state on its disk; `None` if the configuration does not name the
    /// node.
    pub fn new(
        config: &SitesConfig,
        scenario: &Scenario,
        number: u32,
        seed: u64,
        disk: Disk,
        now: Micros,
    ) -> Option<MultiSite> {
        let peers = config.nodes().map(|(_, n)| n.number).collect();
        let mut gossip = Gossip::new(number, peers, seed, now);
        gossip.restore(&disk.registry);
        let mut credit_balances = CreditBalances::new();
        if let (Some(credit), Some(share)) = (scenario.credit, config.credit_part(ACME, number)) {
            let share = NodeCredit { total: share.jobs, reserve: share.reserve };
            credit_balances.insert(
                ACME.to_string(),
                CreditBalance::restore(share, credit.shrink_after, CREDIT_CHUNK, disk.credit_record),
            );
        }
        Some(MultiSite {
            site_health: SiteHealth::new(number, config, seed, now).ok()?,
            load_shifting: LoadShifting::new(
                SlowStart { min_share: scenario.cold_capacity, duration: scenario.warm_up },
                now,
            ),
            gossip,
            confirmation: Confirmation::new(now),
            credit_balances,
            load_shifting_due: now,
            quota_shares: Vec::new(),
            disk,
        })
    }

    pub fn add_accounts_file(&mut self, accounts_file: &AccountsFile, now: Micros) {
        self.gossip.add_file(accounts_file, now);
    }

    pub fn receive(&mut self, from: u32, message: &NodeMessage, now: Micros) {
        match message {
            NodeMessage::Accounts(message) => self.gossip.receive(from, message, now),
            NodeMessage::SiteHealth(message) => {
                if self.site_health.receive(from, message, now).is_ok()
                    && self.load_shifting.receive(&self.site_health, from, message, now)
                {
                    self.load_shifting_due = now;
                }
            }
        }
    }

    /// Counts a new job of the account against its credit while the account's status is unconfirmed. Returns
    /// whether it was counted.
    pub fn record_new_job(&mut self, now: Micros) -> bool {
        if self.confirmation.unconfirmed_since().is_none() {
            return false;
        }
        let number = self.gossip.registry().change_at(ACME, now).number;
        let Some(balance) = self.credit_balances.get_mut(ACME) else { return false };
        let is_spent = balance.spend(number, now);
        Self::write_credit(balance, &mut self.disk);
        is_spent
    }

    /// Writes the credit's record, which always succeeds.
    fn write_credit(balance: &mut CreditBalance, disk: &mut Disk) {
        if let Some(record) = balance.record_to_write() {
            balance.record_written(record);
            disk.credit_record = Some(record);
        }
    }

    /// Advances time as the node's own loop does: processes what was received, updates load shifting, and
    /// collects outgoing messages.
    pub fn tick(&mut self, outcomes: &mut (u64, u64), new_jobs: u64, now: Micros) -> TickResult {
        let mut result = TickResult::default();
        self.gossip.tick(now);
        self.site_health.tick(now);
        if now >= self.load_shifting_due {
            self.load_shifting_due = now + LOAD_SHIFTING_INTERVAL;
            let classes = [Class { name: "job".to_string(), value: 1_000 }];
            self.load_shifting.tick(&mut self.site_health, &classes, std::mem::take(outcomes), true, now);
        }
        result.state_changes = self.site_health.take_changes();
        self.confirmation.update(self.site_health.majority_contact_at(now), now);
        let unconfirmed_since = self.confirmation.unconfirmed_since();
        for update in self.gossip.take_updates() {
            if let RegistryUpdate::StandingChanged { change, .. } = update {
                result.applied_closings.extend(change.standing.rejects_new_work().then_some(change.number));
            }
        }
        self.disk.registry.clone_from(self.gossip.registry());
        if let Some(balance) = self.credit_balances.get_mut(ACME) {
            if unconfirmed_since.is_none() && balance.current_record() != CreditRecord::default() {
                balance.confirmed(&self.gossip.registry().change_at(ACME, now));
            }
            Self::write_credit(balance, &mut self.disk);
        }
        let restrictions_by_account = restrictions(
            self.gossip.registry(),
            &mut self.credit_balances,
            Now { unix: now, steady: now, unconfirmed_since },
        );
        let mut quota_shares = Vec::new();
        if let Some(restriction) = restrictions_by_account.get(ACME) {
            if let Some(units) = restriction.max_new_jobs {
                let units = units.saturating_add(new_jobs);
                quota_shares.push(QuotaShare {
                    kind: QuotaKind::NewWork(TenantId(0)),
                    units,
                    total: units,
                    window: 0,
                });
            }
            if !restriction.may_send {
                quota_shares.push(QuotaShare {
                    kind: QuotaKind::TenantEnabled(TenantId(0)),
                    units: 0,
                    total: 0,
                    window: 0,
                });
            }
        }
        quota_shares.extend(load_shifting_shares(&self.load_shifting));
        if quota_shares != self.quota_shares {
            self.quota_shares.clone_from(&quota_shares);
            result.quota_shares = Some(quota_shares);
        }
        let accounts =
            self.gossip.take_outgoing().into_iter().map(|(to, message)| (to, NodeMessage::Accounts(message)));
        result.messages.extend(accounts);
        result.messages.extend(
            self.site_health
                .take_outgoing()
                .into_iter()
                .map(|(to, message)| (to, NodeMessage::SiteHealth(message))),
        );
        let due = self.gossip.due(now).min(self.site_health.due(now) - now);
        result.next_tick = now + due.clamp(MS, MAX_TICK_INTERVAL);
        result
    }
}

/// Returns the scheduler's quota shares for remote requests and for the site's own requests.
fn load_shifting_shares(load_shifting: &LoadShifting) -> Vec<QuotaShare> {
    let limits = load_shifting.limits();
    let share = |kind, units, window| QuotaShare { kind, units, total: units, window };
    let remote = limits.remote.iter().flatten().enumerate();
    let remote = remote
        .map(|(class, units)| share(QuotaKind::RemoteClass(ClassId(class)), *units, limits.unused_lifetime));
    remote.chain(limits.own_site.map(|units| share(QuotaKind::LocalSite, units, 250 * MS))).collect()
}
