//! Clients of other sites, and the own site's way back, in the node: what `shorepath-sites` says of them goes to the module as parts, and to
//! clients as fields of answers.

use super::exchange::{Exchange, Verdict};
use super::sites::Barred;
use super::Job;
use oorandom::Rand64;
use shorepath_budgets::Micros;
use shorepath_scheduler::ClassId;
use shorepath_scheduler::{QuotaKind, QuotaShare};
use shorepath_sites::lending::{guest_of, Class, Lending};
use shorepath_sites::seeing::{Seeing, Word};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tracing::info;

/// Units that the own site's clients do not use are kept for this long.
const BURST: Micros = 250_000;
/// What is lent is brought up to date no more often than this, however many words come.
const LOOK: Micros = 100_000;

/// What the node lends, and takes back.
#[derive(Debug)]
pub struct Lent {
    lending: RefCell<Lending>,
    luck: RefCell<Rand64>,
    /// When it looks next.
    next: Cell<Micros>,
}

impl Lent {
    /// One of a node that begins now.
    pub fn new(exchange: &Exchange<Job>, chance: u64, now: Micros) -> Lent {
        let lending = Lending::new(exchange.pace(), now);
        let luck = RefCell::new(Rand64::new(u128::from(chance)));
        Lent { lending: RefCell::new(lending), luck, next: Cell::new(now) }
    }

    /// The site of a request's client, if that is another one; else the request counts as the own site's load.
    pub fn guest(&self, seeing: &Seeing, class: ClassId, job: &Job) -> Option<String> {
        let guest = guest_of(seeing.plan(), seeing.site(), job.home_site.as_deref());
        if guest.is_none() {
            self.lending.borrow_mut().asked(class.0);
        }
        guest.map(str::to_string)
    }

    /// Another node has said something that was taken.
    pub fn heard(&self, seeing: &Seeing, from: u32, word: &Word, now: Micros) {
        if self.lending.borrow_mut().heard(seeing, from, word, now) {
            self.next.set(now);
            let part = self.lending.borrow().part(now);
            info!("homecoming {} begins part={part} why=the others took it for lost", seeing.site());
        }
    }

    /// All servers are cold: the own site's load is taken back in steps, as by one that was lost.
    pub fn cold(&self, seeing: &Seeing, now: Micros) {
        if self.lending.borrow_mut().cold(now) {
            self.next.set(now);
            let part = self.lending.borrow().part(now);
            info!("homecoming {} begins part={part} why=all have lost power", seeing.site());
        }
    }

    /// When a client that is not taken may come back, by chance.
    pub fn after(&self, now: Micros) -> Duration {
        let luck = self.luck.borrow_mut().rand_float();
        Duration::from_micros(self.lending.borrow().come_back(luck, now).max(0) as u64)
    }

    /// Time has passed.
    pub fn pass(&self, seeing: &mut Seeing, exchange: &Exchange<Job>, now: Micros) {
        if now < self.next.get() {
            return;
        }
        self.next.set(now + LOOK);
        let classes: Vec<Class> =
            exchange.classes().into_iter().map(|(name, worth)| Class { name, worth }).collect();
        let outcomes = exchange.outcomes();
        let mut lending = self.lending.borrow_mut();
        for moved in lending.pass(seeing, &classes, outcomes, exchange.has_servers(), now) {
            let (to, from, why) = (moved.to, moved.from, moved.why);
            info!("homecoming {} part={to} before={from} why={why}", seeing.site());
        }
    }

    /// What the module is told.
    pub fn parts(&self) -> Vec<QuotaShare> {
        let lending = self.lending.borrow();
        let limits = lending.limits();
        let part = |of, units, span| QuotaShare { kind: of, units, total: units, window: span };
        let guests = limits.guests.iter().flatten().enumerate();
        let guests =
            guests.map(|(class, units)| part(QuotaKind::RemoteClass(ClassId(class)), *units, limits.kept));
        guests.chain(limits.home.map(|units| part(QuotaKind::LocalSite, units, BURST))).collect()
    }

    /// Why a request was not taken, where that is a part of a site.
    pub fn barred(&self, verdict: &Verdict) -> Option<Barred> {
        let why = match verdict {
            Verdict::Barred { of: Some(QuotaKind::RemoteClass(_)) } => "guest part used",
            Verdict::Barred { of: Some(QuotaKind::LocalSite) } => "site returning",
            _ => return None,
        };
        // When to come back is told by chance, by `Lent::tells`.
        Some(Barred { status: 503, why: why.to_string(), retry: false })
    }

    /// A field that an answer has, with its time: when a client that was not taken may come back, and that a guest's own site takes it
    /// again. Spread, so that clients do not come together.
    pub fn tells(
        &self,
        seeing: &Seeing,
        guest: Option<&str>,
        verdict: &Verdict,
        now: Micros,
    ) -> Option<(&'static str, Duration)> {
        let luck = || self.luck.borrow_mut().rand_float();
        match (verdict, guest) {
            (Verdict::Barred { of: Some(QuotaKind::RemoteClass(_) | QuotaKind::LocalSite) }, _) => {
                Some(("Retry-After", self.after(now)))
            }
            (Verdict::Served(_), Some(site)) => {
                let chance = self.lending.borrow().may_go_home(seeing, site);
                (luck() < chance).then(|| ("Come-Back", self.after(now)))
            }
            _ => None,
        }
    }

    /// For operators, a line each.
    pub fn state(&self, exchange: &Exchange<Job>, now: Micros) -> String {
        let (lending, mut text) = (self.lending.borrow(), String::new());
        if let Some(part) = lending.returns(now) {
            text += &format!("homecoming part={part}\n");
        }
        let lent = lending.limits().guests.iter().flatten();
        for ((class, _), rate) in exchange.classes().into_iter().zip(lent) {
            text += &format!("lends {class} per_s={rate}\n");
        }
        text
    }
}
