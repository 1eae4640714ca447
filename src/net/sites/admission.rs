//! Decides whether a request is accepted by its account, its site and its idempotency key, and records accepted ones.

use super::persistence::DiskEvent;
use super::{unix_micros, Sites, ACCEPTED_RETENTION};
use crate::net::answers::PendingAnswer;
use crate::net::exchange::{Attempt, DispatchId, QuotaSource, Recorder, ResponseOutcome, RunOutcome};
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

/// Most log entries that one tick scans for requests of closed accounts.
const MAX_SCANNED_ENTRIES: usize = 8_192;

/// The admission state of one request, from its arrival to its final answer.
#[derive(Debug)]
pub struct RequestAdmission {
    pub(super) sites: Rc<Sites>,
    pub(super) tenant: String,
    pub(super) key: Option<Key>,
    /// Whether the request is new work, not a repeat of an accepted one.
    pub(super) new: bool,
    /// Number of the accounts file and Unix time at which a unit of credit was spent for the request.
    pub(super) spent: Option<(u64, Micros)>,
    /// A reason other than the account to reject the request.
    pub(super) rejection: Option<Rejection>,
    /// The client's site, if it is not this node's.
    pub(super) remote_site: Option<String>,
    /// Whether the request is rejected because the node is recovering, so that it gets a random `Retry-After`.
    pub(super) retry_after_recovery: bool,
    /// Class and idempotency key of a request that must run at most once.
    pub(super) guarded_key: Option<(String, String)>,
}

/// The reason for rejecting a request, as sent to its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// HTTP status of the answer.
    pub status: u16,
    /// Short explanation for the client.
    pub reason: String,
    /// Whether the client may retry the request later.
    pub retry: bool,
}

impl Sites {
    /// Classifies a request before it is queued, as new work, a repeat or one that this node must reject, and returns its
    /// admission state.
    pub fn admit(self: &Rc<Self>, class: ClassId, job: &Job) -> (WorkState, Option<RequestAdmission>) {
        let (id, now) = (&*job.id, self.now());
        let tenant = job.tenant.clone().unwrap_or_default();
        let key = Key::of(job.repeat_key.as_deref(), Some(id));
        let accepted_before = self.accepted.borrow().contains(&tenant, key.as_ref(), now);
        let remote_site = self.spillover.remote_site(&self.site_health.borrow(), class, job);
        let mut rejection = self.rejection_for(class, job.repeat_key.as_deref().unwrap_or(id));
        // During recovery, clients get a random `Retry-After` from `RequestAdmission::response_field`, so the rejection carries
        // none.
        let recovering = self.recovery.as_ref().is_some_and(|r| r.admits() != Admits::All);
        let retryable = rejection.as_mut().filter(|rejection| recovering && rejection.retry);
        let retry_after_recovery = retryable.is_some();
        retryable.into_iter().for_each(|rejection| rejection.retry = false);
        let work_state = match (&rejection, accepted_before) {
            (Some(_), _) => WorkState::Misdirected,
            (None, true) => WorkState::InProgress,
            (None, false) => WorkState::New,
        };
        let guarded_key = self.answers.as_ref().filter(|_| self.is_guarded(class));
        let guarded_key = guarded_key
            .map(|_| (self.exchange.class_name(class), job.repeat_key.as_deref().unwrap_or(id).to_string()));
        (
            work_state,
            Some(RequestAdmission {
                sites: self.clone(),
                tenant,
                key,
                new: !accepted_before,
                spent: None,
                rejection,
                remote_site,
                retry_after_recovery,
                guarded_key,
            }),
        )
    }

    /// Returns whether requests of the class must run at most once.
    pub(super) fn is_guarded(&self, class: ClassId) -> bool {
        self.exchange.is_non_idempotent(class)
            || self.settings.borrow().config.guarded_classes.contains(&self.exchange.class_name(class))
    }

    /// Returns the status and body of the stored final answer for the job's idempotency key, if there is one.
    pub fn stored_answer(&self, class: ClassId, job: &Job) -> Option<(u16, Vec<u8>)> {
        let answers = self.answers.as_ref().filter(|_| self.is_guarded(class))?;
        let (name, key) = (self.exchange.class_name(class), job.repeat_key.as_deref().unwrap_or(&job.id));
        // Avoids a disk read for keys that were never placed.
        if self.placements.key_state(&name, key) == KeyState::Free {
            return None;
        }
        answers.get(&name, job.tenant.as_deref(), key)
    }

    /// Returns the reason to reject a request that the account doesn't forbid: the node is recovering, or a guarded request may
    /// not be placed.
    pub(super) fn rejection_for(&self, class: ClassId, key: &str) -> Option<Rejection> {
        let admission =
            self.recovery.as_ref().map(|r| (r.admits(), r.waits_for(self.now()).unwrap_or_default()));
        if let Some((Admits::Nothing, waiting_for)) = admission {
            return Some(Rejection {
                status: 503,
                reason: format!("recovering: waits for {waiting_for}"),
                retry: true,
            });
        }
        let name = self.exchange.class_name(class);
        if !self.is_guarded(class) {
            return None;
        }
        let rejection =
            |status, why: &str| Some(Rejection { status, reason: why.to_string(), retry: status == 503 });
        let known = self.placements.key_state(&name, key);
        if let (KeyState::Free, Some(key_leases)) = (known, &self.key_leases) {
            match key_leases.may_place(key) {
                Ok(_) => {}
                Err((_, true)) => return rejection(503, "catching up"),
                Err((refused, false)) => {
                    let (status, reason, retry) = refused.response(self.is_site_reachable(refused.home()));
                    return Some(Rejection { status, reason, retry });
                }
            }
        }
        match known {
            KeyState::Free if !self.placements.peers_answered() => rejection(503, "catching up"),
            KeyState::Free if admission.is_some_and(|(admits, _)| admits != Admits::All) => {
                let waiting_for = admission.map_or("", |(_, waiting_for)| waiting_for);
                rejection(503, &format!("recovering: waits for {waiting_for}"))
            }
            KeyState::Free if self.placements.failure().is_some() => {
                rejection(503, "placements can't be recorded")
            }
            KeyState::Free => None,
            KeyState::Served => rejection(409, "served before"),
            KeyState::MayHaveRun => rejection(502, "may have run"),
        }
    }

    /// Returns whether the site of the node that owns the range `home` is not considered lost.
    pub(super) fn is_site_reachable(&self, home: &str) -> bool {
        let site = home.split_once('/').map_or("", |(site, _)| site);
        self.site_health.borrow().state(site) != Some(SiteState::Lost)
    }

    /// Records requests of closed accounts that other nodes have placed, so that clients may repeat them at this node.
    /// Scans the logs only while there are such accounts.
    pub(super) fn record_remote_requests(&self) {
        let (now, unix) = (self.now(), unix_micros());
        let gossip = self.gossip.borrow();
        let registry = gossip.registry();
        let closed_accounts: BTreeSet<&str> = registry
            .accounts_in_newest_file()
            .filter(|a| registry.standing_at(a, unix).rejects_new_work())
            .collect();
        if closed_accounts.is_empty() {
            return;
        }
        let mut accepted = self.accepted.borrow_mut();
        self.placements.for_each_new_placement(
            &mut self.scanned_entries.borrow_mut(),
            MAX_SCANNED_ENTRIES,
            |tenant, key, at| {
                if closed_accounts.contains(tenant) && unix - at < ACCEPTED_RETENTION {
                    // A log entry doesn't record whether its key is an idempotency key or a request id.
                    let keys = [Key::Idempotency(key.to_string()), Key::Request(key.to_string())];
                    for key in
                        keys.iter().filter(|k| !accepted.contains(tenant, Some(k), now)).collect::<Vec<_>>()
                    {
                        accepted.restore([(tenant, key, unix - at)], now);
                    }
                }
            },
        );
    }

    /// Applies the current limits on new work, per tenant and for load shifting, to the scheduler.
    pub(super) fn apply_shares(&self) {
        let now = self.times();
        let all = restrictions(self.gossip.borrow().registry(), &mut self.balances.borrow_mut(), now);
        let mut shares = Vec::new();
        for (tenant, restriction) in all {
            let Some(tenant_id) = self.exchange.tenant(&tenant) else { continue };
            if let Some(units) = restriction.max_new_jobs {
                let units = units.saturating_add(self.exchange.new_work_count(tenant_id));
                shares.push(QuotaShare {
                    kind: QuotaKind::NewWork(tenant_id),
                    units,
                    total: units,
                    window: 0,
                });
            }
            if !restriction.may_send {
                shares.push(QuotaShare {
                    kind: QuotaKind::TenantEnabled(tenant_id),
                    units: 0,
                    total: 0,
                    window: 0,
                });
            }
        }
        shares.extend(self.spillover.quota_shares());
        if shares != *self.applied_shares.borrow() {
            debug!("sites: new quota shares: {shares:?}");
            self.applied_shares.replace(shares.clone());
            self.exchange.set_quota_shares(QuotaSource::Sites, shares);
        }
    }
}

impl Recorder<Job> for Sites {
    fn record_attempt(&self, id: DispatchId, attempt: Attempt<'_>, job: &Job) -> bool {
        let now = self.times();
        let Attempt { class, is_non_idempotent, server } = attempt;
        let guarded = is_non_idempotent || self.settings.borrow().config.guarded_classes.contains(class);
        let tenant = job.tenant.clone();
        let standing =
            tenant.as_deref().map_or(0, |t| self.gossip.borrow().registry().change_at(t, now.unix).number);
        let key = job.repeat_key.clone().unwrap_or_else(|| job.id.to_string());
        // Another request with this key may have been placed while this one was queued. Further attempts need no check: they are
        // made only if the one before surely never ran or may run again.
        if guarded && id.attempt == 0 && self.placements.key_state(class, &key) != KeyState::Free {
            // The receiver is dropped when the node stops.
            let _ = self.disk_events.send(DiskEvent::Refused(
                id,
                "another request with its key was placed meanwhile".to_string(),
            ));
            return false;
        }
        if guarded && self.recovery.as_ref().is_some_and(|r| r.admits() != Admits::All) {
            // The receiver is dropped when the node stops.
            let _ = self
                .disk_events
                .send(DiskEvent::Refused(id, "the node has started to recover again".to_string()));
            return false;
        }
        let fence = match &self.key_leases {
            Some(key_leases) if guarded => match key_leases.may_place(&key) {
                Ok(fence) => {
                    key_leases.record_attempt(id, &key, fence);
                    fence.as_u64()
                }
                Err((refused, _)) => {
                    // The receiver is dropped when the node stops.
                    let _ = self.disk_events.send(DiskEvent::Refused(id, refused.to_string()));
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
        self.placements
            .record_placement(id, Timed { at: now.unix, entry: placements::Entry::Placed(placement) })
    }

    fn may_send(&self, id: DispatchId) -> bool {
        self.key_leases.as_ref().is_none_or(|leases| leases.may_send(id))
    }

    fn attempt_ended(&self, id: DispatchId, ran: RunOutcome) {
        if let Some(key_leases) = &self.key_leases {
            key_leases.attempt_ended(id);
        }
        self.placements.record_end(id, ran, unix_micros());
    }
}

impl RequestAdmission {
    /// Returns whether the request's client belongs to another site.
    pub fn is_remote(&self) -> bool {
        self.remote_site.is_some()
    }

    /// Returns an additional HTTP field of the answer and its value as a duration, if there is one.
    pub fn response_field(&self, outcome: &ResponseOutcome) -> Option<(&'static str, Duration)> {
        let Sites { spillover, site_health, .. } = &*self.sites;
        if self.retry_after_recovery {
            return Some(("Retry-After", spillover.retry_after(self.sites.now())));
        }
        spillover.response_field(
            &site_health.borrow(),
            self.remote_site.as_deref(),
            outcome,
            self.sites.now(),
        )
    }

    /// Starts storing the final answer of a guarded request that was dispatched. The client must not get the answer before the
    /// returned write has finished. `None` if the answer need not be stored.
    pub fn store_answer(&self, status: u16, body: &[u8]) -> Option<PendingAnswer> {
        let ((class, key), answers) = (self.guarded_key.as_ref()?, self.sites.answers.as_ref()?);
        if self.rejection.is_some() || self.sites.placements.key_state(class, key) == KeyState::Free {
            return None;
        }
        let tenant = Some(self.tenant.as_str()).filter(|t| !t.is_empty());
        answers.put((class, tenant, key), (status, body), unix_micros())
    }

    /// Records that the request was queued: charges credit if needed and remembers it as accepted. Does nothing if it was
    /// rejected.
    pub fn record_submitted(&mut self, rejection: bool) {
        if rejection {
            return;
        }
        let now = self.sites.times();
        if self.new && now.unconfirmed_since.is_some() {
            let number = self.sites.gossip.borrow().registry().change_at(&self.tenant, now.unix).number;
            if let Some(balance) = self.sites.balances.borrow_mut().get_mut(&self.tenant) {
                self.spent = balance.spend(number, now.unix).then_some((number, now.unix));
            }
        }
        self.sites.accepted.borrow_mut().record(&self.tenant, self.key.as_ref(), now.steady);
    }

    /// Ends the request. Returns the reason for the client if it was rejected; gives back the credit of new work that was shed.
    pub fn finish(self, outcome: &ResponseOutcome) -> Option<Rejection> {
        let now = self.sites.times();
        if matches!(outcome, ResponseOutcome::Shed { .. }) && self.new {
            // The request never started, so a repeat of it is new work again.
            self.sites.accepted.borrow_mut().remove(&self.tenant, self.key.as_ref());
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
        let gossip = self.sites.gossip.borrow();
        let balances = self.sites.balances.borrow();
        let Refusal { reason: why, retry } =
            refusal(gossip.registry(), balances.get(&self.tenant), &self.tenant, now);
        Some(Rejection { status: if retry { 503 } else { 403 }, reason: why.to_string(), retry })
    }
}
