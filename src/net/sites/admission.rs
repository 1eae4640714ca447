//! Whether a request is accepted, as far as its account, its site and its key go, and what becomes of it.

use super::persistence::DiskEvent;
use super::{unix, Sites, TAKEN_FOR};
use crate::net::answers::PendingAnswer;
use crate::net::exchange::{Attempt, DispatchId, Ran, Recorder, ResponseOutcome, Source};
use crate::net::Job;
use shorepath_accounts::admission::{refusal, restrictions, Refusal};
use shorepath_accounts::in_flight::Key;
use shorepath_placements as placements;
use shorepath_placements::idempotency_index::KeyState;
use shorepath_placements::{Placement, Timed};
use shorepath_quota::Micros;
use shorepath_recovery::phases::Admits;
use shorepath_scheduler::{ClassId, QuotaKind, QuotaShare, WorkState};
use shorepath_sites::SiteState;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tracing::debug;

/// So many entries of logs are looked at in a pass for what others took of accounts that are closing.
const LOOKED: usize = 8_192;

/// A request as far as its account goes.
#[derive(Debug)]
pub struct RequestAdmission {
    pub(super) sites: Rc<Sites>,
    pub(super) tenant: String,
    pub(super) key: Option<Key>,
    /// It is new work.
    pub(super) new: bool,
    /// One of the account's credit was spent for it: the number of the file that was known, and the Unix time.
    pub(super) spent: Option<(u64, Micros)>,
    /// It is not taken for another reason than its account.
    pub(super) rejection: Option<Rejection>,
    /// The site of its client, if that is another one.
    pub(super) guest: Option<String>,
    /// It is not taken because the node is on its way back.
    pub(super) recovers: bool,
    /// Its class and its key, where it must not run twice.
    pub(super) guards: Option<(String, String)>,
}

/// Why a request was not taken, for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The status of the answer.
    pub status: u16,
    /// In few words.
    pub why: String,
    /// It may do to ask again later.
    pub retry: bool,
}

impl Sites {
    /// What a request is to the work of its account, before it is taken.
    pub fn admit(self: &Rc<Self>, class: ClassId, job: &Job) -> (WorkState, Option<RequestAdmission>) {
        let (id, now) = (&*job.id, self.now());
        let tenant = job.tenant.clone().unwrap_or_default();
        let key = Key::of(job.repeat_key.as_deref(), Some(id));
        let begun = self.taken.borrow().contains(&tenant, key.as_ref(), now);
        let guest = self.spillover.guest(&self.site_health.borrow(), class, job);
        let mut rejection = self.rejection_for(class, job.repeat_key.as_deref().unwrap_or(id));
        // Those that are sent away on the way back are told by chance when to come, see [`RequestAdmission::response_field`].
        let waits = self.recovering.as_ref().is_some_and(|r| r.admits() != Admits::All);
        let again = rejection.as_mut().filter(|b| waits && b.retry);
        let recovers = again.is_some();
        again.into_iter().for_each(|b| b.retry = false);
        let entry = match (&rejection, begun) {
            (Some(_), _) => WorkState::Misdirected,
            (None, true) => WorkState::InProgress,
            (None, false) => WorkState::New,
        };
        let guards = self.answers.as_ref().filter(|_| self.is_guarded(class));
        let guards = guards
            .map(|_| (self.exchange.class_name(class), job.repeat_key.as_deref().unwrap_or(id).to_string()));
        (
            entry,
            Some(RequestAdmission {
                sites: self.clone(),
                tenant,
                key,
                new: !begun,
                spent: None,
                rejection,
                guest,
                recovers,
                guards,
            }),
        )
    }

    /// Whether a class must not run twice.
    pub(super) fn is_guarded(&self, class: ClassId) -> bool {
        self.exchange.is_unsafe(class)
            || self.siting.borrow().plan.guarded_classes.contains(&self.exchange.class_name(class))
    }

    /// The final answer that a job's key was given here, by its status and body, where that is kept: it stays the one.
    pub fn stored_answer(&self, class: ClassId, job: &Job) -> Option<(u16, Vec<u8>)> {
        let answers = self.answers.as_ref().filter(|_| self.is_guarded(class))?;
        let (name, key) = (self.exchange.class_name(class), job.repeat_key.as_deref().unwrap_or(&job.id));
        // Most have never been placed, and the disk need not be asked.
        if self.placing.known(&name, key) == KeyState::Free {
            return None;
        }
        answers.get(&name, job.tenant.as_deref(), key)
    }

    /// Why a request is not to be taken, if it is not: the node is on its way back, or it must not run twice and may.
    pub(super) fn rejection_for(&self, class: ClassId, key: &str) -> Option<Rejection> {
        let returns =
            self.recovering.as_ref().map(|r| (r.admits(), r.waits_for(self.now()).unwrap_or_default()));
        if let Some((Admits::Nothing, waits)) = returns {
            return Some(Rejection {
                status: 503,
                why: format!("recovering: waits for {waits}"),
                retry: true,
            });
        }
        let name = self.exchange.class_name(class);
        if !self.is_guarded(class) {
            return None;
        }
        let rejection =
            |status, why: &str| Some(Rejection { status, why: why.to_string(), retry: status == 503 });
        let known = self.placing.known(&name, key);
        if let (KeyState::Free, Some(key_leases)) = (known, &self.key_leases) {
            match key_leases.may_place(key) {
                Ok(_) => {}
                Err((_, true)) => return rejection(503, "catching up"),
                Err((refused, false)) => {
                    let (status, why, retry) = refused.response(self.lives(refused.home()));
                    return Some(Rejection { status, why, retry });
                }
            }
        }
        match known {
            KeyState::Free if !self.placing.asked() => rejection(503, "catching up"),
            KeyState::Free if returns.is_some_and(|(admits, _)| admits != Admits::All) => {
                let waits = returns.map_or("", |(_, waits)| waits);
                rejection(503, &format!("recovering: waits for {waits}"))
            }
            KeyState::Free if self.placing.failed().is_some() => {
                rejection(503, "placements can't be recorded")
            }
            KeyState::Free => None,
            KeyState::Served => rejection(409, "served before"),
            KeyState::MayHaveRun => rejection(502, "may have run"),
        }
    }

    /// Whether clients may reach the node that is a home, as far as its site tells.
    pub(super) fn lives(&self, home: &str) -> bool {
        let site = home.split_once('/').map_or("", |(site, _)| site);
        self.site_health.borrow().state(site) != Some(SiteState::Lost)
    }

    /// What other nodes have taken of accounts that take nothing new any more is running work here, too: a client may repeat it anywhere.
    /// Nothing is looked at while there are no such accounts.
    pub(super) fn running(&self) {
        let (now, unix) = (self.now(), unix());
        let spread = self.spread.borrow();
        let book = spread.registry();
        let barring: BTreeSet<&str> =
            book.accounts_in_newest_file().filter(|a| book.standing_at(a, unix).rejects_new_work()).collect();
        if barring.is_empty() {
            return;
        }
        let mut taken = self.taken.borrow_mut();
        self.placing.placed(&mut self.looked.borrow_mut(), LOOKED, |tenant, key, at| {
            if barring.contains(tenant) && unix - at < TAKEN_FOR {
                // A log does not say which of both it is.
                let keys = [Key::Idempotency(key.to_string()), Key::Request(key.to_string())];
                for key in keys.iter().filter(|k| !taken.contains(tenant, Some(k), now)).collect::<Vec<_>>() {
                    taken.restore([(tenant, key, unix - at)], now);
                }
            }
        });
    }

    /// Bring the module's parts in line with what may be begun now.
    pub(super) fn hold(&self) {
        let now = self.times();
        let all = restrictions(self.spread.borrow().registry(), &mut self.balances.borrow_mut(), now);
        let mut parts = Vec::new();
        for (tenant, restriction) in all {
            let Some(of) = self.exchange.tenant(&tenant) else { continue };
            if let Some(units) = restriction.max_new_jobs {
                let units = units.saturating_add(self.exchange.begun(of));
                parts.push(QuotaShare { kind: QuotaKind::NewWork(of), units, total: units, window: 0 });
            }
            if !restriction.may_send {
                parts.push(QuotaShare { kind: QuotaKind::TenantEnabled(of), units: 0, total: 0, window: 0 });
            }
        }
        parts.extend(self.spillover.parts());
        if parts != *self.notified.borrow() {
            debug!("sites: {parts:?}");
            self.notified.replace(parts.clone());
            self.exchange.parts_hold(Source::Sites, parts);
        }
    }
}

impl Recorder<Job> for Sites {
    fn places(&self, id: DispatchId, attempt: Attempt<'_>, job: &Job) -> bool {
        let now = self.times();
        let Attempt { class, is_unsafe, server } = attempt;
        let guarded = is_unsafe || self.siting.borrow().plan.guarded_classes.contains(class);
        let tenant = job.tenant.clone();
        let standing =
            tenant.as_deref().map_or(0, |t| self.spread.borrow().registry().change_at(t, now.unix).number);
        let key = job.repeat_key.clone().unwrap_or_else(|| job.id.to_string());
        // It may have waited for long since it was taken, and another request for its key with it. A further attempt is made only
        // where the one before surely never ran, or may run again.
        if guarded && id.attempt == 0 && self.placing.known(class, &key) != KeyState::Free {
            // Nobody hears it where the node ends.
            let _ = self.writes.send(DiskEvent::Refused(id, "its key was placed meanwhile".to_string()));
            return false;
        }
        if guarded && self.recovering.as_ref().is_some_and(|r| r.admits() != Admits::All) {
            // Nobody hears it where the node ends.
            let _ = self
                .writes
                .send(DiskEvent::Refused(id, "the node is back among those that recover".to_string()));
            return false;
        }
        let fence = match &self.key_leases {
            Some(key_leases) if guarded => match key_leases.may_place(&key) {
                Ok(fence) => {
                    key_leases.places(id, &key, fence);
                    fence.as_u64()
                }
                Err((refused, _)) => {
                    // Nobody hears it where the node ends.
                    let _ = self.writes.send(DiskEvent::Refused(id, refused.to_string()));
                    return false;
                }
            },
            _ => 0,
        };
        let placement = Placement {
            key: Some(key),
            class: class.to_string(),
            guarded,
            tenant,
            server: server.to_string(),
            standing,
            taken: now.unix,
            on_credit: now.unconfirmed_since.is_some(),
            list: 0,
            fence,
        };
        self.placing.places(id, Timed { at: now.unix, entry: placements::Entry::Placed(placement) })
    }

    fn may_send(&self, id: DispatchId) -> bool {
        self.key_leases.as_ref().is_none_or(|h| h.may_send(id))
    }

    fn ended(&self, id: DispatchId, ran: Ran) {
        if let Some(key_leases) = &self.key_leases {
            key_leases.over(id);
        }
        self.placing.ended(id, ran, unix());
    }
}

impl RequestAdmission {
    /// Whether its client belongs to another site.
    pub fn is_remote(&self) -> bool {
        self.guest.is_some()
    }

    /// A field that its answer has besides, with its time.
    pub fn response_field(&self, outcome: &ResponseOutcome) -> Option<(&'static str, Duration)> {
        let Sites { spillover, site_health, .. } = &*self.sites;
        if self.recovers {
            return Some(("Retry-After", spillover.after(self.sites.now())));
        }
        spillover.response_field(&site_health.borrow(), self.guest.as_deref(), outcome, self.sites.now())
    }

    /// Its final answer is on its way to the disk, where it has to be before the client has it: of what was sent to a server, and must
    /// not run twice.
    pub fn store_answer(&self, status: u16, body: &[u8]) -> Option<PendingAnswer> {
        let ((class, key), answers) = (self.guards.as_ref()?, self.sites.answers.as_ref()?);
        if self.rejection.is_some() || self.sites.placing.known(class, key) == KeyState::Free {
            return None;
        }
        let tenant = Some(self.tenant.as_str()).filter(|t| !t.is_empty());
        answers.put((class, tenant, key), (status, body), unix())
    }

    /// The request was handed to the module; `barred` where it was turned away at once.
    pub fn record_submitted(&mut self, rejection: bool) {
        if rejection {
            return;
        }
        let now = self.sites.times();
        if self.new && now.unconfirmed_since.is_some() {
            let number = self.sites.spread.borrow().registry().change_at(&self.tenant, now.unix).number;
            if let Some(balance) = self.sites.balances.borrow_mut().get_mut(&self.tenant) {
                self.spent = balance.spend(number, now.unix).then_some((number, now.unix));
            }
        }
        self.sites.taken.borrow_mut().record(&self.tenant, self.key.as_ref(), now.steady);
    }

    /// It has its final answer; why, where that is a bar.
    pub fn finish(self, outcome: &ResponseOutcome) -> Option<Rejection> {
        let now = self.sites.times();
        if matches!(outcome, ResponseOutcome::Shed { .. }) && self.new {
            // Nothing was begun: a repeat of it is new work, too.
            self.sites.taken.borrow_mut().remove(&self.tenant, self.key.as_ref());
            if let (Some((number, at)), Some(balance)) =
                (self.spent, self.sites.balances.borrow_mut().get_mut(&self.tenant))
            {
                balance.refund(number, at);
            }
        }
        if !matches!(outcome, ResponseOutcome::Rejected { .. }) {
            return None;
        }
        if self.rejection.is_some() {
            return self.rejection;
        }
        if let Some(rejection) = self.sites.spillover.rejection(outcome) {
            return Some(rejection);
        }
        let spread = self.sites.spread.borrow();
        let balances = self.sites.balances.borrow();
        let Refusal { reason: why, retry } =
            refusal(spread.registry(), balances.get(&self.tenant), &self.tenant, now);
        Some(Rejection { status: if retry { 503 } else { 403 }, why: why.to_string(), retry })
    }
}
