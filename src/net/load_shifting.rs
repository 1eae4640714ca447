//! Clients of other sites, and the own site's way back, in the node: what `shorepath-sites` says of them goes to the module as parts, and to
//! clients as fields of answers.

use super::exchange::{Exchange, ResponseOutcome};
use super::sites::Rejection;
use super::Job;
use oorandom::Rand64;
use shorepath_quota::Micros;
use shorepath_scheduler::ClassId;
use shorepath_scheduler::{QuotaKind, QuotaShare};
use shorepath_sites::health::{Message, SiteHealth};
use shorepath_sites::load_shifting::{remote_site, Class, LoadShifting};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tracing::info;

/// Units that the own site's clients do not use are kept for this long.
const BURST: Micros = 250_000;
/// What is lent is brought up to date no more often than this, however many words come.
const LOOK: Micros = 100_000;

/// What the node lends, and takes back.
#[derive(Debug)]
pub struct Spillover {
    load_shifting: RefCell<LoadShifting>,
    luck: RefCell<Rand64>,
    /// When it looks next.
    next: Cell<Micros>,
}

impl Spillover {
    /// One of a node that begins now.
    pub fn new(exchange: &Exchange<Job>, chance: u64, now: Micros) -> Spillover {
        let load_shifting = LoadShifting::new(exchange.pace(), now);
        let luck = RefCell::new(Rand64::new(u128::from(chance)));
        Spillover { load_shifting: RefCell::new(load_shifting), luck, next: Cell::new(now) }
    }

    /// The site of a request's client, if that is another one; else the request counts as the own site's load.
    pub fn remote_site(&self, site_health: &SiteHealth, class: ClassId, job: &Job) -> Option<String> {
        let guest = remote_site(site_health.config(), site_health.site(), job.home_site.as_deref());
        if guest.is_none() {
            self.load_shifting.borrow_mut().record_request(class.0);
        }
        guest.map(str::to_string)
    }

    /// Another node has said something that was taken.
    pub fn received(&self, site_health: &SiteHealth, from: u32, message: &Message, now: Micros) {
        if self.load_shifting.borrow_mut().receive(site_health, from, message, now) {
            self.next.set(now);
            let part = self.load_shifting.borrow().load_percent(now);
            info!("homecoming {} begins part={part} why=the others took it for lost", site_health.site());
        }
    }

    /// All servers are cold: the own site's load is taken back in steps, as by one that was lost.
    pub fn start_recovery(&self, site_health: &SiteHealth, now: Micros) {
        if self.load_shifting.borrow_mut().start_recovery(now) {
            self.next.set(now);
            let part = self.load_shifting.borrow().load_percent(now);
            info!("homecoming {} begins part={part} why=all have lost power", site_health.site());
        }
    }

    /// When a client that is not taken may come back, by chance.
    pub fn retry_after(&self, now: Micros) -> Duration {
        let luck = self.luck.borrow_mut().rand_float();
        Duration::from_micros(self.load_shifting.borrow().retry_after(luck, now).max(0) as u64)
    }

    /// Time has passed.
    pub fn tick(&self, site_health: &mut SiteHealth, exchange: &Exchange<Job>, now: Micros) {
        if now < self.next.get() {
            return;
        }
        self.next.set(now + LOOK);
        let classes: Vec<Class> =
            exchange.classes().into_iter().map(|(name, value)| Class { name, value }).collect();
        let outcomes = exchange.outcomes();
        let mut load_shifting = self.load_shifting.borrow_mut();
        for moved in load_shifting.tick(site_health, &classes, outcomes, exchange.has_servers(), now) {
            let (to, from, why) = (moved.to, moved.from, moved.reason);
            info!("homecoming {} part={to} before={from} why={why}", site_health.site());
        }
    }

    /// What the module is told.
    pub fn quota_shares(&self) -> Vec<QuotaShare> {
        let load_shifting = self.load_shifting.borrow();
        let limits = load_shifting.limits();
        let part = |of, units, span| QuotaShare { kind: of, units, total: units, window: span };
        let guests = limits.remote.iter().flatten().enumerate();
        let guests = guests.map(|(class, units)| {
            part(QuotaKind::RemoteClass(ClassId(class)), *units, limits.unused_lifetime)
        });
        guests.chain(limits.own_site.map(|units| part(QuotaKind::LocalSite, units, BURST))).collect()
    }

    /// Why a request was not taken, where that is a part of a site.
    pub fn rejection(&self, outcome: &ResponseOutcome) -> Option<Rejection> {
        let why = match outcome {
            ResponseOutcome::Rejected { of: Some(QuotaKind::RemoteClass(_)) } => "guest part used",
            ResponseOutcome::Rejected { of: Some(QuotaKind::LocalSite) } => "site returning",
            _ => return None,
        };
        // When to come back is told by chance, by `Lent::tells`.
        Some(Rejection { status: 503, why: why.to_string(), retry: false })
    }

    /// A field that an answer has, with its time: when a client that was not taken may come back, and that a guest's own site takes it
    /// again. Spread, so that clients do not come together.
    pub fn response_field(
        &self,
        site_health: &SiteHealth,
        guest: Option<&str>,
        outcome: &ResponseOutcome,
        now: Micros,
    ) -> Option<(&'static str, Duration)> {
        let luck = || self.luck.borrow_mut().rand_float();
        match (outcome, guest) {
            (ResponseOutcome::Rejected { of: Some(QuotaKind::RemoteClass(_) | QuotaKind::LocalSite) }, _) => {
                Some(("Retry-After", self.retry_after(now)))
            }
            (ResponseOutcome::Served(_), Some(site)) => {
                let chance = self.load_shifting.borrow().return_probability(site_health, site);
                (luck() < chance).then(|| ("Come-Back", self.retry_after(now)))
            }
            _ => None,
        }
    }

    /// For operators, a line each.
    pub fn status(&self, exchange: &Exchange<Job>, now: Micros) -> String {
        let (load_shifting, mut text) = (self.load_shifting.borrow(), String::new());
        if let Some(part) = load_shifting.recovery_percent(now) {
            text += &format!("homecoming part={part}\n");
        }
        let spillover = load_shifting.limits().remote.iter().flatten();
        for ((class, _), rate) in exchange.classes().into_iter().zip(spillover) {
            text += &format!("lends {class} per_s={rate}\n");
        }
        text
    }
}
