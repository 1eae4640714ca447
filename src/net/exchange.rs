//! Connects the frontend, the backend and the scheduler. Reports of the frontend and the backend become events of the
//! scheduler; its actions become answers to the frontend and commands to the backend. Payloads are opaque here, so that the
//! exchange does not depend on the protocol.

mod clock;
mod inner;
mod ticket;
mod types;

use super::deadlines::Deadlines;
use clock::Clock;
use inner::{Inner, OpenRequest};
use shorepath_quota::config::BudgetKind;
use shorepath_scheduler::{
    name_hash, AttemptStatus, ClassId, EndpointId, Event, Idempotency, KeyId, Micros, QuotaKind, QuotaShare,
    QuotaUsage, Request, RequestId, Scheduler, SettingsObject, TenantId,
};
use shorepath_sites::recovery_ramp::SlowStart;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};
pub use ticket::Ticket;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tracing::debug;
pub use types::{
    Attempt, Auditor, Command, DispatchId, OpenWatch, QuotaSource, Recorder, RequestParams, ResponseOutcome,
    RunOutcome, ServerEntry,
};

/// An answer is sent this long before the client gives up, for its transmission.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// The scheduler of a node with its open requests. `P` is the payload that is sent to backend servers.
#[derive(Debug)]
pub struct Exchange<P> {
    inner: RefCell<Inner<P>>,
    deadlines: Rc<Deadlines>,
    /// Notified when the scheduler asks for another wake-up time.
    rearmed: Notify,
    /// Number of full endpoint lists and of changes to them.
    lists: watch::Sender<u64>,
}

impl<P> Exchange<P> {
    /// Creates an exchange without backend servers, and the receiver of its commands to the backend.
    pub fn new(
        setup: &SettingsObject,
        seed: u64,
        deadlines: Rc<Deadlines>,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<Command<P>>) {
        let (settings, names) = setup.to_settings();
        let (commands, receiver) = mpsc::unbounded_channel();
        let inner = Inner {
            scheduler: Scheduler::new(settings, seed),
            setup: setup.clone(),
            process_count: 1,
            names,
            clock: Clock::start(),
            open: HashMap::new(),
            last_request_id: 0,
            active_endpoints: BTreeSet::new(),
            commands,
            wake_at: None,
            quota_shares: BTreeMap::new(),
            recorder: None,
            auditor: None,
            outcomes: (0, 0),
            unrecorded: HashMap::new(),
        };
        (
            Rc::new(Exchange {
                inner: RefCell::new(inner),
                deadlines,
                rearmed: Notify::new(),
                lists: watch::channel(0).0,
            }),
            receiver,
        )
    }

    /// Returns the id of the class with that name, or `None` if the settings name no such class.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.inner.borrow().names.classes.get(name).map(|n| ClassId(n as usize))
    }

    /// Returns the id of the tenant with that name, or `None` if the settings name no such tenant.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.inner.borrow().names.tenants.get(name).map(|n| TenantId(n as usize))
    }

    /// Returns whether requests of the class must carry an idempotency key, by which backend servers drop repeats.
    pub fn is_keyed(&self, class: ClassId) -> bool {
        let inner = self.inner.borrow();
        let class = inner.scheduler.settings().classes.get(class.0);
        class.is_some_and(|c| matches!(c.idempotency, Idempotency::Keyed { .. }))
    }

    /// Returns whether the settings name tenants.
    pub fn has_tenants(&self) -> bool {
        self.inner.borrow().names.tenants.name(0).is_some()
    }

    /// Returns whether there is a backend server to which new requests may be sent.
    pub fn has_servers(&self) -> bool {
        !self.inner.borrow().active_endpoints.is_empty()
    }

    /// Replaces the settings, for requests that arrive from now on.
    pub fn reconfigure(&self, setup: SettingsObject) {
        self.update_settings(|inner| inner.setup = setup);
    }

    /// Sets the number of processes that serve as this node and divide its limits among them. Guards backend servers in slow
    /// start against the load of two processes with full limits.
    pub fn set_process_count(&self, process_count: u32) {
        self.update_settings(|inner| inner.process_count = process_count);
    }

    /// Returns the quota that a budget with that name limits; `None` if the scheduler has no such quota.
    pub fn quota_kind(&self, budget: &str) -> Option<QuotaKind> {
        Some(match BudgetKind::of(budget)? {
            BudgetKind::Quota(tenant) => QuotaKind::TenantRate(self.tenant(tenant)?),
            BudgetKind::Flight(class) => QuotaKind::ClassConcurrency(self.class(class)?),
            BudgetKind::Retries => QuotaKind::Retries,
            BudgetKind::Probes => QuotaKind::Probes,
            BudgetKind::Connections => QuotaKind::Connections,
            BudgetKind::Cold => QuotaKind::SlowStart,
            BudgetKind::Lists | BudgetKind::Home(_) => return None,
        })
    }

    /// Replaces the quota shares that `source` has set.
    pub fn set_quota_shares(&self, source: QuotaSource, shares: Vec<QuotaShare>) {
        let all = {
            let mut inner = self.inner.borrow_mut();
            inner.quota_shares.insert(source, shares);
            inner.quota_shares.values().flatten().cloned().collect()
        };
        self.handle_event(Event::QuotaShares(all));
    }

    /// Records all further attempts with `recorder` before they are sent.
    pub fn set_recorder(&self, recorder: Rc<dyn Recorder<P>>) {
        self.inner.borrow_mut().recorder = Some(recorder);
    }

    /// Reports all further decisions to `auditor`.
    pub fn set_auditor(&self, auditor: Rc<dyn Auditor<P>>) {
        self.inner.borrow_mut().auditor = Some(auditor);
    }

    /// Reports to the auditor that the endpoint list with that revision is in use.
    pub fn list_applied(&self, revision: u64) {
        if let Some(auditor) = &self.inner.borrow().auditor {
            auditor.list_applied(revision);
        }
    }

    /// Sends an attempt that waited to be recorded. If `succeeded` is false, its request is shed instead; nothing of it ran.
    pub fn attempt_recorded(&self, id: DispatchId, succeeded: bool) {
        let Some(command) = self.inner.borrow_mut().unrecorded.remove(&id) else { return };
        if succeeded {
            return self.inner.borrow_mut().send_command(command);
        }
        self.inner.borrow_mut().answer(id.request, ResponseOutcome::Shed { retry_after: None });
        self.attempt_ended(id, AttemptStatus::NotSent);
    }

    /// Returns whether an attempt may still be sent, see [`Recorder::may_send`].
    pub fn may_send(&self, id: DispatchId) -> bool {
        let recorder = self.inner.borrow().recorder.clone();
        recorder.is_none_or(|r| r.may_send(id))
    }

    /// Returns whether requests of the class may run more than once.
    pub fn is_idempotent(&self, class: ClassId) -> bool {
        let inner = self.inner.borrow();
        let class = inner.scheduler.settings().classes.get(class.0);
        class.is_some_and(|c| c.idempotency == Idempotency::Idempotent)
    }

    /// Returns whether no request of the class may run twice.
    pub fn is_non_idempotent(&self, class: ClassId) -> bool {
        let inner = self.inner.borrow();
        inner
            .scheduler
            .settings()
            .classes
            .get(class.0)
            .is_some_and(|c| c.idempotency == Idempotency::NonIdempotent)
    }

    /// Returns the name of a class; empty if there is none with that id.
    pub fn class_name(&self, class: ClassId) -> String {
        self.inner.borrow().names.classes.name(class.0 as u32).unwrap_or_default().to_string()
    }

    /// Returns how many requests of a tenant, other than repeats, were accepted since the process started while a quota limited them.
    /// A request that ends without an attempt doesn't count.
    pub fn new_work_count(&self, tenant: TenantId) -> u64 {
        self.inner.borrow().scheduler.new_work_count(tenant)
    }

    /// Returns the numbers of served and of failed attempts since the last call. Both are 0 without a recorder.
    pub fn take_outcomes(&self) -> (u64, u64) {
        std::mem::take(&mut self.inner.borrow_mut().outcomes)
    }

    /// Returns the name of each class, ordered by id, and its priority weight in thousandths.
    pub fn class_weights(&self) -> Vec<(String, u64)> {
        let inner = self.inner.borrow();
        let classes = inner.scheduler.settings().classes.iter().enumerate();
        let name = |k: usize| inner.names.classes.name(k as u32).unwrap_or_default().to_string();
        classes.map(|(k, c)| (name(k), (c.priority_weight.max(0.0) * 1_000.0) as u64)).collect()
    }

    /// Returns the longest deadline of the current settings.
    pub fn longest_deadline(&self) -> Duration {
        Duration::from_micros(self.inner.borrow().setup.longest_deadline().max(0) as u64)
    }

    /// Returns how many nodes poll discovery, and how long a node may send new requests to a backend server after discovery
    /// learned that the server leaves.
    pub fn discovery_timing(&self) -> (u32, Duration) {
        let inner = self.inner.borrow();
        (inner.setup.polling_nodes(), Duration::from_micros(inner.setup.drain_grace().max(0) as u64))
    }

    /// Returns the `Retry-After` time to send for a wait of `wait`, capped by the settings; `None` if clients ignore it.
    pub fn capped_retry_after(&self, wait: Duration) -> Option<Duration> {
        let inner = self.inner.borrow();
        let settings = inner.scheduler.settings();
        let max = Duration::from_micros(settings.max_retry_after.max(0) as u64);
        settings.sends_retry_after.then_some(wait.min(max))
    }

    /// Returns the slow start of backend servers.
    pub fn slow_start(&self) -> SlowStart {
        let inner = self.inner.borrow();
        let settings = inner.scheduler.settings();
        SlowStart { min_share: settings.slow_start_min_share, duration: settings.slow_start_duration }
    }

    /// Returns the use of each quota since the last call.
    pub fn take_quota_usage(&self) -> Vec<(QuotaKind, QuotaUsage)> {
        let inner = &mut *self.inner.borrow_mut();
        inner.scheduler.take_quota_usage(inner.clock.now())
    }

    fn update_settings(&self, change: impl FnOnce(&mut Inner<P>)) {
        let update = {
            let mut inner = self.inner.borrow_mut();
            change(&mut inner);
            let Inner { scheduler, setup, names, process_count, .. } = &mut *inner;
            let mut update =
                setup.reconfigure(names, scheduler.settings(), |class| scheduler.uses_class(class));
            update.settings.processes = *process_count;
            update
        };
        self.handle_event(Event::Reconfigure(Box::new(update)));
    }

    /// Subscribes to the number of endpoint lists and changes of them so far.
    pub fn subscribe_lists(&self) -> watch::Receiver<u64> {
        self.lists.subscribe()
    }

    /// Returns the number of processes that serve as this node.
    pub fn process_count(&self) -> u32 {
        self.inner.borrow().process_count
    }

    /// Returns the number of requests without a final answer.
    pub fn open_count(&self) -> usize {
        self.inner.borrow().open.len()
    }

    /// Submits a request. The returned ticket yields its final answer; dropping it earlier abandons the request.
    pub fn submit(self: &Rc<Self>, params: RequestParams, payload: P) -> Ticket<P> {
        let (answer, answer_receiver) = oneshot::channel();
        let margin = ANSWER_MARGIN.min(params.timeout / 4);
        let deadline = params.arrived + params.timeout - margin;
        let id = {
            let mut inner = self.inner.borrow_mut();
            inner.last_request_id += 1;
            let id = RequestId(inner.last_request_id);
            let class = params.class;
            let (payload, open) = (Rc::new(payload), watch::channel(()).0);
            inner.open.insert(id, OpenRequest { class, payload, deadline, attempts: 0, answer, open });
            id
        };
        let time_left = deadline.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.handle_event(Event::RequestArrived(Request {
            id,
            class: params.class,
            tenant: params.tenant,
            key: params.key.as_deref().map(|k| KeyId(name_hash(k))),
            time_remaining: time_left,
            work_hint: params.work_hint,
            slots: params.slots,
            is_retry: params.is_retry,
            work_state: params.work_state,
            is_remote: params.is_remote,
        }));
        Ticket { exchange: self.clone(), id, answer_receiver, deadline: deadline + margin / 2 }
    }

    /// Reports that the backend server has started to run an attempt.
    pub fn attempt_started(&self, id: DispatchId) {
        self.handle_event(Event::AttemptStarted { id: id.request, attempt: id.attempt });
    }

    /// Reports the progress of an attempt, as a fraction from 0 to 1.
    pub fn attempt_progress(&self, id: DispatchId, done: f64) {
        self.handle_event(Event::AttemptProgress { id: id.request, attempt: id.attempt, done });
    }

    /// Reports the result of an attempt. The first result becomes the answer to the request.
    pub fn attempt_served(&self, id: DispatchId, result: Vec<u8>) {
        let request = self.inner.borrow_mut().open.remove(&id.request);
        if let Some(request) = request {
            self.inner.borrow().audit_answer(&request, "served");
            // The receiver is dropped if the client has just disconnected.
            let _ = request.answer.send(ResponseOutcome::Served(result));
        }
        self.attempt_ended(id, AttemptStatus::Ok);
    }

    /// Returns whether an attempt in flight that ends with `status` may have run.
    pub fn may_have_run(&self, id: DispatchId, status: AttemptStatus) -> bool {
        !self.inner.borrow().scheduler.proves_not_run(id.request, id.attempt, status)
    }

    /// Reports the end of an attempt. [`Exchange::attempt_served`] includes it for an attempt with a result.
    pub fn attempt_ended(&self, id: DispatchId, status: AttemptStatus) {
        let (is_settled, recorder, outcome) = {
            let inner = self.inner.borrow();
            let never_ran = inner.scheduler.proves_not_run(id.request, id.attempt, status);
            let outcome = if never_ran { RunOutcome::NeverRan } else { RunOutcome::MayHaveRun };
            let outcome = if status == AttemptStatus::Ok { RunOutcome::Served } else { outcome };
            (!inner.open.contains_key(&id.request), inner.recorder.clone(), outcome)
        };
        if let Some(recorder) = recorder {
            recorder.attempt_ended(id, outcome);
            let failed = matches!(
                status,
                AttemptStatus::Error
                    | AttemptStatus::Overloaded
                    | AttemptStatus::Timeout
                    | AttemptStatus::ConnectFailed
                    | AttemptStatus::Reset
            );
            let outcomes = &mut self.inner.borrow_mut().outcomes;
            outcomes.0 += u64::from(status == AttemptStatus::Ok);
            outcomes.1 += u64::from(failed);
        }
        debug!("dispatch {}.{} ended {status:?} settled={is_settled}", id.request.0, id.attempt);
        self.handle_event(Event::AttemptEnded {
            id: id.request,
            attempt: id.attempt,
            status,
            is_final: is_settled,
        });
    }

    /// Reports the end of a probe; `value` returns a field of the load report by its name.
    pub fn probe_ended(
        &self,
        server: EndpointId,
        status: AttemptStatus,
        value: impl Fn(&str) -> Option<f64>,
    ) {
        let report = self.inner.borrow().setup.load_report(value);
        debug!("probe of {} ended {status:?} {report:?}", server.0);
        self.handle_event(Event::ProbeEnded { endpoint: server, status, report });
    }

    /// Reports that an idle connection to a backend server was closed without a command. `age_rank` counts from the one that
    /// has been idle for longest.
    pub fn idle_closed(&self, server: EndpointId, age_rank: usize) {
        self.handle_event(Event::IdleConnectionClosed { endpoint: server, position: age_rank });
    }

    /// Updates the server table: replaces it if `is_full`, else changes the entries in `list`.
    pub fn update_servers(&self, list: Vec<ServerEntry>, is_full: bool) {
        let endpoints = self.inner.borrow_mut().update_endpoints(list, is_full);
        self.handle_event(if is_full {
            Event::EndpointList(endpoints)
        } else {
            Event::EndpointUpdate(endpoints)
        });
        self.lists.send_modify(|n| *n += 1);
    }

    /// Wakes the scheduler whenever it has asked for it. Never returns.
    pub async fn run_wakeups(&self) {
        loop {
            let due = self.inner.borrow().wake_at;
            match due {
                Some(at) => tokio::select! {
                    () = self.deadlines.at(at) => {
                        self.inner.borrow_mut().wake_at = None;
                        self.handle_event(Event::Wake);
                    }
                    () = self.rearmed.notified() => {}
                },
                None => self.rearmed.notified().await,
            }
        }
    }

    /// Gives up a request whose client has disconnected or whose answer is overdue. Does nothing if it was answered.
    fn abandon(&self, id: RequestId) {
        let was_open = self.inner.borrow_mut().open.remove(&id).is_some();
        if was_open {
            self.handle_event(Event::ClientLeft(id));
        }
    }

    /// Gives up a request whose client is still connected, as if it had disconnected. Returns the final answer, or `None` if there
    /// was one before.
    fn withdraw(&self, id: RequestId) -> Option<ResponseOutcome> {
        let request = self.inner.borrow_mut().open.remove(&id)?;
        let (outcome, outcome_name) = match request.attempts {
            0 => (ResponseOutcome::Shed { retry_after: None }, "denied"),
            _ => (ResponseOutcome::Failed, "failed"),
        };
        self.inner.borrow().audit_answer(&request, outcome_name);
        self.handle_event(Event::ClientLeft(id));
        Some(outcome)
    }

    fn handle_event(&self, event: Event) {
        let mut inner = self.inner.borrow_mut();
        let before = inner.wake_at;
        inner.handle_event(event);
        if inner.wake_at != before {
            self.rearmed.notify_one();
        }
    }
}
