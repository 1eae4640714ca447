//! One node of a site: the real decision module with what it knows of sites and accounts, put together as the node's shell does it.

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

/// The account that is closed, and that has a credit.
pub const ACME: &str = "acme";
/// What is lent is brought up to date no more often than this; all else at least so often.
const LENDS: Micros = 100 * MS;
const LOOKS: Micros = 250 * MS;
/// Credit that is noted ahead at once.
const CHUNK: u64 = 16;

/// A word between nodes.
#[derive(Clone, Debug)]
pub enum Said {
    /// About accounts.
    Accounts(gossip::Message),
    /// About sites.
    Seeing(health::Message),
}

/// What is kept on a node's disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    book: AccountRegistry,
    purse: Option<CreditRecord>,
}

/// What a node knows of sites; nothing of it is there in the program without this part.
pub struct Siting {
    pub seeing: SiteHealth,
    pub lending: LoadShifting,
    pub spread: Gossip,
    confirmation: Confirmation,
    purses: CreditBalances,
    lends_at: Micros,
    parts: Vec<QuotaShare>,
    pub disk: Disk,
}

pub struct Node {
    pub site: usize,
    pub number: u32,
    pub module: Scheduler,
    pub siting: Option<Siting>,
    /// Jobs that were served and that failed since that was last told.
    pub outcomes: (u64, u64),
    /// Grows with each start.
    pub life: u32,
}

/// What came of a pass.
#[derive(Default)]
pub struct Passed {
    pub words: Vec<(u32, Said)>,
    pub parts: Option<Vec<QuotaShare>>,
    pub changed: Vec<StateChange>,
    /// Numbers of files by which the account is barred from now on.
    pub barred: Vec<u64>,
    /// When it has something to do next.
    pub next: Micros,
}

/// The settings of the module at each node of a site with so many.
pub fn settings(of: &Scenario, nodes: usize) -> Settings {
    let class = ClassSettings {
        latency_objective: of.wanted - (2 * of.work).min(of.wanted / 2),
        work_factor: 2.0,
        deadline: of.give_up,
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
        slow_start_min_share: of.cold,
        slow_start_duration: of.warm_up,
        overload_multiple: 4.0,
        overload_window: 2 * S,
        ..Settings::default()
    }
}

impl Siting {
    /// What a node knows that starts, by what its disk has.
    pub fn new(
        plan: &SitesConfig,
        of: &Scenario,
        number: u32,
        seed: u64,
        disk: Disk,
        now: Micros,
    ) -> Option<Siting> {
        let peers = plan.nodes().map(|(_, n)| n.number).collect();
        let mut spread = Gossip::new(number, peers, seed, now);
        spread.restore(&disk.book);
        let mut purses = CreditBalances::new();
        if let (Some(credit), Some(part)) = (of.credit, plan.credit_part(ACME, number)) {
            let part = NodeCredit { total: part.jobs, reserve: part.reserve };
            purses.insert(ACME.to_string(), CreditBalance::restore(part, credit.shrink, CHUNK, disk.purse));
        }
        Some(Siting {
            seeing: SiteHealth::new(number, plan, seed, now).ok()?,
            lending: LoadShifting::new(SlowStart { min_share: of.cold, duration: of.warm_up }, now),
            spread,
            confirmation: Confirmation::new(now),
            purses,
            lends_at: now,
            parts: Vec::new(),
            disk,
        })
    }

    pub fn learn(&mut self, decree: &AccountsFile, now: Micros) {
        self.spread.add_file(decree, now);
    }

    pub fn hear(&mut self, from: u32, said: &Said, now: Micros) {
        match said {
            Said::Accounts(word) => self.spread.receive(from, word, now),
            Said::Seeing(word) => {
                if self.seeing.receive(from, word, now).is_ok()
                    && self.lending.receive(&self.seeing, from, word, now)
                {
                    self.lends_at = now;
                }
            }
        }
    }

    /// A new job of the account was taken: it counts against the credit where standing can't be confirmed. Whether it did.
    pub fn began(&mut self, now: Micros) -> bool {
        if self.confirmation.unconfirmed_since().is_none() {
            return false;
        }
        let number = self.spread.registry().change_at(ACME, now).number;
        let Some(purse) = self.purses.get_mut(ACME) else { return false };
        let spent = purse.spend(number, now);
        Self::note(purse, &mut self.disk);
        spent
    }

    /// The disk of the lab takes everything at once.
    fn note(purse: &mut CreditBalance, disk: &mut Disk) {
        if let Some(note) = purse.record_to_write() {
            purse.record_written(note);
            disk.purse = Some(note);
        }
    }

    /// Time has passed, as in the node's shell: what is heard is looked at, what is lent is brought up to date, and others are told.
    pub fn pass(&mut self, outcomes: &mut (u64, u64), begun: u64, now: Micros) -> Passed {
        let mut passed = Passed::default();
        self.spread.tick(now);
        self.seeing.tick(now);
        if now >= self.lends_at {
            self.lends_at = now + LENDS;
            let classes = [Class { name: "job".to_string(), value: 1_000 }];
            self.lending.tick(&mut self.seeing, &classes, std::mem::take(outcomes), true, now);
        }
        passed.changed = self.seeing.take_changes();
        self.confirmation.update(self.seeing.majority_contact_at(now), now);
        let unconfirmed_since = self.confirmation.unconfirmed_since();
        for news in self.spread.take_updates() {
            if let RegistryUpdate::StandingChanged { change, .. } = news {
                passed.barred.extend(change.standing.rejects_new_work().then_some(change.number));
            }
        }
        self.disk.book.clone_from(self.spread.registry());
        if let Some(purse) = self.purses.get_mut(ACME) {
            if unconfirmed_since.is_none() && purse.current_record() != CreditRecord::default() {
                purse.confirmed(&self.spread.registry().change_at(ACME, now));
            }
            Self::note(purse, &mut self.disk);
        }
        let all = restrictions(
            self.spread.registry(),
            &mut self.purses,
            Now { unix: now, steady: now, unconfirmed_since },
        );
        let mut parts = Vec::new();
        if let Some(bar) = all.get(ACME) {
            if let Some(units) = bar.max_new_jobs {
                let units = units.saturating_add(begun);
                parts.push(QuotaShare {
                    kind: QuotaKind::NewWork(TenantId(0)),
                    units,
                    total: units,
                    window: 0,
                });
            }
            if !bar.may_send {
                parts.push(QuotaShare {
                    kind: QuotaKind::TenantEnabled(TenantId(0)),
                    units: 0,
                    total: 0,
                    window: 0,
                });
            }
        }
        parts.extend(lent(&self.lending));
        if parts != self.parts {
            self.parts.clone_from(&parts);
            passed.parts = Some(parts);
        }
        let accounts = self.spread.take_outgoing().into_iter().map(|(to, word)| (to, Said::Accounts(word)));
        passed.words.extend(accounts);
        passed
            .words
            .extend(self.seeing.take_outgoing().into_iter().map(|(to, word)| (to, Said::Seeing(word))));
        let due = self.spread.due(now).min(self.seeing.due(now) - now);
        passed.next = now + due.clamp(MS, LOOKS);
        passed
    }
}

/// What the module is told of what is lent and taken back.
fn lent(lending: &LoadShifting) -> Vec<QuotaShare> {
    let limits = lending.limits();
    let part = |of, units, span| QuotaShare { kind: of, units, total: units, window: span };
    let guests = limits.remote.iter().flatten().enumerate();
    let guests = guests
        .map(|(class, units)| part(QuotaKind::RemoteClass(ClassId(class)), *units, limits.unused_lifetime));
    guests.chain(limits.own_site.map(|units| part(QuotaKind::LocalSite, units, 250 * MS))).collect()
}
