//! Serves clients of other sites, and shifts load back to the own site after its recovery.
//!
//! Applies the limits of `shorepath-sites` to the scheduler as quota shares, and to clients as HTTP fields of answers.

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

/// Lifetime of units that the own site's clients leave unused, in microseconds.
const UNUSED_LIFETIME: Micros = 250_000;
/// Shortest interval between two updates of the limits, in microseconds.
const MIN_TICK_INTERVAL: Micros = 100_000;

/// The node's part in shifting load between sites.
#[derive(Debug)]
pub struct Spillover {
    load_shifting: RefCell<LoadShifting>,
    random: RefCell<Rand64>,
    next_tick: Cell<Micros>,
}

impl Spillover {
    /// Creates the state of a node that starts at `now`.
    pub fn new(exchange: &Exchange<Job>, seed: u64, now: Micros) -> Spillover {
        let load_shifting = LoadShifting::new(exchange.slow_start(), now);
        let random = RefCell::new(Rand64::new(u128::from(seed)));
        Spillover { load_shifting: RefCell::new(load_shifting), random, next_tick: Cell::new(now) }
    }

    /// Returns the site of the request's client if it is another one; otherwise counts the request as load of the own site.
    pub fn remote_site(&self, site_health: &SiteHealth, class: ClassId, job: &Job) -> Option<String> {
        let client_site = remote_site(site_health.config(), site_health.site(), job.home_site.as_deref());
        if client_site.is_none() {
            self.load_shifting.borrow_mut().record_request(class.0);
        }
        client_site.map(str::to_string)
    }

    /// Handles a health message of another node, which may show that the own site was considered lost.
    pub fn received(&self, site_health: &SiteHealth, from: u32, message: &Message, now: Micros) {
        if self.load_shifting.borrow_mut().receive(site_health, from, message, now) {
            self.next_tick.set(now);
            let part = self.load_shifting.borrow().load_percent(now);
            info!(
                "load recovery {} begins part={part} why=other nodes considered the site lost",
                site_health.site()
            );
        }
    }

    /// Starts to take back the own site's load in steps because all servers are cold.
    pub fn start_recovery(&self, site_health: &SiteHealth, now: Micros) {
        if self.load_shifting.borrow_mut().start_recovery(now) {
            self.next_tick.set(now);
            let part = self.load_shifting.borrow().load_percent(now);
            info!("load recovery {} begins part={part} why=all nodes lost power", site_health.site());
        }
    }

    /// Returns a random delay after which a rejected client may retry.
    pub fn retry_after(&self, now: Micros) -> Duration {
        let fraction = self.random.borrow_mut().rand_float();
        Duration::from_micros(self.load_shifting.borrow().retry_after(fraction, now).max(0) as u64)
    }

    /// Updates the limits, if it is time.
    pub fn tick(&self, site_health: &mut SiteHealth, exchange: &Exchange<Job>, now: Micros) {
        if now < self.next_tick.get() {
            return;
        }
        self.next_tick.set(now + MIN_TICK_INTERVAL);
        let classes: Vec<Class> =
            exchange.class_weights().into_iter().map(|(name, value)| Class { name, value }).collect();
        let outcomes = exchange.take_outcomes();
        let mut load_shifting = self.load_shifting.borrow_mut();
        for moved in load_shifting.tick(site_health, &classes, outcomes, exchange.has_servers(), now) {
            let (to, from, why) = (moved.to, moved.from, moved.reason);
            info!("load recovery {} part={to} before={from} why={why}", site_health.site());
        }
    }

    /// Returns the limits for the scheduler.
    pub fn quota_shares(&self) -> Vec<QuotaShare> {
        let load_shifting = self.load_shifting.borrow();
        let limits = load_shifting.limits();
        let share =
            |quota, units, lifetime| QuotaShare { kind: quota, units, total: units, window: lifetime };
        let remote_shares = limits.remote.iter().flatten().enumerate();
        let remote_shares = remote_shares.map(|(class, units)| {
            share(QuotaKind::RemoteClass(ClassId(class)), *units, limits.unused_lifetime)
        });
        remote_shares
            .chain(limits.own_site.map(|units| share(QuotaKind::LocalSite, units, UNUSED_LIFETIME)))
            .collect()
    }

    /// Returns the reason for rejecting a request, if a limit of this module was the cause.
    pub fn rejection(&self, outcome: &ResponseOutcome) -> Option<Rejection> {
        let why = match outcome {
            ResponseOutcome::Rejected { of: Some(QuotaKind::RemoteClass(_)) } => "guest part used",
            ResponseOutcome::Rejected { of: Some(QuotaKind::LocalSite) } => "site returning",
            _ => return None,
        };
        // `Spillover::response_field` adds a random `Retry-After`.
        Some(Rejection { status: 503, reason: why.to_string(), retry: false })
    }

    /// Returns an additional HTTP field of the answer with its delay: when a rejected client may retry, or when a client of
    /// another site may return to its own. The delays are random, so that clients do not return all at once.
    pub fn response_field(
        &self,
        site_health: &SiteHealth,
        client_site: Option<&str>,
        outcome: &ResponseOutcome,
        now: Micros,
    ) -> Option<(&'static str, Duration)> {
        let fraction = || self.random.borrow_mut().rand_float();
        match (outcome, client_site) {
            (ResponseOutcome::Rejected { of: Some(QuotaKind::RemoteClass(_) | QuotaKind::LocalSite) }, _) => {
                Some(("Retry-After", self.retry_after(now)))
            }
            (ResponseOutcome::Served(_), Some(site)) => {
                let probability = self.load_shifting.borrow().return_probability(site_health, site);
                (fraction() < probability).then(|| ("Come-Back", self.retry_after(now)))
            }
            _ => None,
        }
    }

    /// Returns the share of load that a recovering site takes, in percent, and the rates that each class may use for clients of
    /// other sites, one per line.
    pub fn status(&self, exchange: &Exchange<Job>, now: Micros) -> String {
        let (load_shifting, mut text) = (self.load_shifting.borrow(), String::new());
        if let Some(part) = load_shifting.recovery_percent(now) {
            text += &format!("homecoming part={part}\n");
        }
        let remote_rates = load_shifting.limits().remote.iter().flatten();
        for ((class, _), rate) in exchange.class_weights().into_iter().zip(remote_rates) {
            text += &format!("lends {class} per_s={rate}\n");
        }
        text
    }
}
