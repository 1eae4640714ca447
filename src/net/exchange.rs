//! The one object in which frontend and backend meet. It drives the decision module: what either
//! side reports goes in as an event, and what the module decides goes out as an answer to the
//! frontend or an order to the backend. Payloads pass through unseen, so that any protocol can be put
//! before the same decisions.

mod clock;
mod inner;
mod ticket;
mod types;

use super::deadlines::Deadlines;
use clock::Clock;
use inner::{Inner, Taken};
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
    Ask, Attempt, Auditor, DispatchId, Order, Ran, Recorder, ResponseOutcome, Server, Source, Wanted,
};

/// An answer leaves this much before the client gives up: it still has to arrive.
const MARGIN: Duration = Duration::from_millis(10);

/// Where frontend and backend meet.
#[derive(Debug)]
pub struct Exchange<P> {
    inner: RefCell<Inner<P>>,
    deadlines: Rc<Deadlines>,
    rearmed: Notify,
    /// Lists of servers taken in, and changes of them.
    lists: watch::Sender<u64>,
}

impl<P> Exchange<P> {
    /// An exchange that knows no servers yet, and the orders that it will give.
    pub fn new(
        setup: &SettingsObject,
        seed: u64,
        deadlines: Rc<Deadlines>,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<Order<P>>) {
        let (settings, names) = setup.to_settings();
        let (orders, given) = mpsc::unbounded_channel();
        let inner = Inner {
            balancer: Scheduler::new(settings, seed),
            setup: setup.clone(),
            parts: 1,
            names,
            clock: Clock::start(),
            open: HashMap::new(),
            taken: 0,
            active: BTreeSet::new(),
            orders,
            wake: None,
            held: BTreeMap::new(),
            recorder: None,
            auditor: None,
            outcomes: (0, 0),
            unwritten: HashMap::new(),
        };
        (
            Rc::new(Exchange {
                inner: RefCell::new(inner),
                deadlines,
                rearmed: Notify::new(),
                lists: watch::channel(0).0,
            }),
            given,
        )
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.inner.borrow().names.classes.get(name).map(|n| ClassId(n as usize))
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.inner.borrow().names.tenants.get(name).map(|n| TenantId(n as usize))
    }

    /// Whether backend servers drop repeats of such requests by a key that each has to carry.
    pub fn is_keyed(&self, class: ClassId) -> bool {
        let inner = self.inner.borrow();
        let class = inner.balancer.settings().classes.get(class.0);
        class.is_some_and(|c| matches!(c.idempotency, Idempotency::Keyed { .. }))
    }

    /// Whether the settings name tenants.
    pub fn has_tenants(&self) -> bool {
        self.inner.borrow().names.tenants.name(0).is_some()
    }

    /// Whether the server table holds anyone to dispatch to.
    pub fn has_servers(&self) -> bool {
        !self.inner.borrow().active.is_empty()
    }

    /// Other settings hold for what comes from now on.
    pub fn reconfigure(&self, setup: SettingsObject) {
        self.renew(|inner| inner.setup = setup);
    }

    /// So many processes are this one node, and share its rations. Guards the backend servers that have
    /// just started, which all nodes together must not send too much.
    pub fn share(&self, parts: u32) {
        self.renew(|inner| inner.parts = parts);
    }

    /// What a budget of that name bounds here, if it is anything that the module knows of.
    pub fn bound(&self, budget: &str) -> Option<QuotaKind> {
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

    /// These parts may be used from now on, as one of those that tell of parts says.
    pub fn parts_hold(&self, source: Source, parts: Vec<QuotaShare>) {
        let all = {
            let mut inner = self.inner.borrow_mut();
            inner.held.insert(source, parts);
            inner.held.values().flatten().cloned().collect()
        };
        self.report(Event::QuotaShares(all));
    }

    /// What is dispatched is written down from now on.
    pub fn record(&self, recorder: Rc<dyn Recorder<P>>) {
        self.inner.borrow_mut().recorder = Some(recorder);
    }

    /// Decisions are written down from now on.
    pub fn audit(&self, auditor: Rc<dyn Auditor<P>>) {
        self.inner.borrow_mut().auditor = Some(auditor);
    }

    /// A list of that revision is in force.
    pub fn listed(&self, revision: u64) {
        if let Some(auditor) = &self.inner.borrow().auditor {
            auditor.listed(revision);
        }
    }

    /// An attempt that had to wait for that is written down, or it can't be: then its request is denied, since nothing of it ran.
    pub fn recorded(&self, id: DispatchId, done: bool) {
        let Some(order) = self.inner.borrow_mut().unwritten.remove(&id) else { return };
        if done {
            return self.inner.borrow_mut().order(order);
        }
        self.inner.borrow_mut().answer(id.request, ResponseOutcome::Shed { retry_after: None });
        self.ended(id, AttemptStatus::NotSent);
    }

    /// Whether an attempt may still be sent, see [`Recorder::may_send`].
    pub fn may_send(&self, id: DispatchId) -> bool {
        let recorder = self.inner.borrow().recorder.clone();
        recorder.is_none_or(|r| r.may_send(id))
    }

    /// Whether no attempt of a class may be made twice.
    pub fn is_unsafe(&self, class: ClassId) -> bool {
        let inner = self.inner.borrow();
        inner
            .balancer
            .settings()
            .classes
            .get(class.0)
            .is_some_and(|c| c.idempotency == Idempotency::NonIdempotent)
    }

    /// The name of a class.
    pub fn class_name(&self, class: ClassId) -> String {
        self.inner.borrow().names.classes.name(class.0 as u32).unwrap_or_default().to_string()
    }

    /// Requests of a tenant that were taken as new while that was bounded, since the start.
    pub fn begun(&self, tenant: TenantId) -> u64 {
        self.inner.borrow().balancer.new_work_count(tenant)
    }

    /// Attempts that were served and that failed since that was last asked, where attempts are written down.
    pub fn outcomes(&self) -> (u64, u64) {
        std::mem::take(&mut self.inner.borrow_mut().outcomes)
    }

    /// All classes by their numbers, with what a request is worth, in thousandths.
    pub fn classes(&self) -> Vec<(String, u64)> {
        let inner = self.inner.borrow();
        let classes = inner.balancer.settings().classes.iter().enumerate();
        let name = |k: usize| inner.names.classes.name(k as u32).unwrap_or_default().to_string();
        classes.map(|(k, c)| (name(k), (c.priority_weight.max(0.0) * 1_000.0) as u64)).collect()
    }

    /// The longest deadline of the settings in force.
    pub fn longest_deadline(&self) -> Duration {
        Duration::from_micros(self.inner.borrow().setup.longest_deadline().max(0) as u64)
    }

    /// How many nodes ask discovery for their lists, by the settings in force, and how long after it was told that a server
    /// leaves a node may send it something new.
    pub fn notified(&self) -> (u32, Duration) {
        let inner = self.inner.borrow();
        (inner.setup.polling_nodes(), Duration::from_micros(inner.setup.drain_grace().max(0) as u64))
    }

    /// What a client that is turned away may be told of how long to stay away: nothing where clients don't heed it.
    pub fn advice(&self, wait: Duration) -> Option<Duration> {
        let inner = self.inner.borrow();
        let set = inner.balancer.settings();
        let most = Duration::from_micros(set.max_retry_after.max(0) as u64);
        set.sends_retry_after.then_some(wait.min(most))
    }

    /// How backend servers warm up.
    pub fn pace(&self) -> SlowStart {
        let inner = self.inner.borrow();
        let set = inner.balancer.settings();
        SlowStart { min_share: set.slow_start_min_share, duration: set.slow_start_duration }
    }

    /// What was done with each part since that was last asked.
    pub fn parts_used(&self) -> Vec<(QuotaKind, QuotaUsage)> {
        let inner = &mut *self.inner.borrow_mut();
        inner.balancer.take_quota_usage(inner.clock.now())
    }

    fn renew(&self, change: impl FnOnce(&mut Inner<P>)) {
        let renewed = {
            let mut inner = self.inner.borrow_mut();
            change(&mut inner);
            let Inner { balancer, setup, names, parts, .. } = &mut *inner;
            let mut renewed =
                setup.reconfigure(names, balancer.settings(), |class| balancer.uses_class(class));
            renewed.settings.processes = *parts;
            renewed
        };
        self.report(Event::Reconfigure(Box::new(renewed)));
    }

    /// Told of each list of servers, and each change, with their number.
    pub fn lists(&self) -> watch::Receiver<u64> {
        self.lists.subscribe()
    }

    /// How many processes are this one node.
    pub fn parts(&self) -> u32 {
        self.inner.borrow().parts
    }

    /// Requests that have no final answer yet.
    pub fn open(&self) -> usize {
        self.inner.borrow().open.len()
    }

    /// Take a request. The ticket brings its one final answer; dropped before, the client is gone.
    pub fn take(self: &Rc<Self>, ask: Ask, payload: P) -> Ticket<P> {
        let (answer, answered) = oneshot::channel();
        let margin = MARGIN.min(ask.timeout / 4);
        let until = ask.arrived + ask.timeout - margin;
        let id = {
            let mut inner = self.inner.borrow_mut();
            inner.taken += 1;
            let id = RequestId(inner.taken);
            let class = ask.class;
            let (payload, wanted) = (Rc::new(payload), watch::channel(()).0);
            inner.open.insert(id, Taken { class, payload, until, attempts: 0, answer, wanted });
            id
        };
        let time_left = until.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.report(Event::RequestArrived(Request {
            id,
            class: ask.class,
            tenant: ask.tenant,
            key: ask.key.as_deref().map(|k| KeyId(name_hash(k))),
            time_remaining: time_left,
            work_hint: ask.hint,
            slots: ask.slots,
            is_retry: ask.repeat,
            work_state: ask.entry,
            is_remote: ask.guest,
        }));
        Ticket { exchange: self.clone(), id, answered, overdue: until + margin / 2 }
    }

    /// The job of an attempt has started.
    pub fn started(&self, id: DispatchId) {
        self.report(Event::AttemptStarted { id: id.request, attempt: id.attempt });
    }

    /// The job of an attempt has got this far.
    pub fn progress(&self, id: DispatchId, done: f64) {
        self.report(Event::AttemptProgress { id: id.request, attempt: id.attempt, done });
    }

    /// An attempt was served with this result. The first one is the request's answer.
    pub fn served(&self, id: DispatchId, result: Vec<u8>) {
        let taken = self.inner.borrow_mut().open.remove(&id.request);
        if let Some(taken) = taken {
            self.inner.borrow().audited(&taken, "served");
            // A client that has just gone has no use for it.
            let _ = taken.answer.send(ResponseOutcome::Served(result));
        }
        self.ended(id, AttemptStatus::Ok);
    }

    /// An attempt has ended, without a result if that is not told by [`Exchange::served`].
    pub fn ended(&self, id: DispatchId, status: AttemptStatus) {
        let (settled, recorder, ran) = {
            let inner = self.inner.borrow();
            let never = inner.balancer.proves_not_run(id.request, id.attempt, status);
            let ran = if never { Ran::Never } else { Ran::Perhaps };
            let ran = if status == AttemptStatus::Ok { Ran::Served } else { ran };
            (!inner.open.contains_key(&id.request), inner.recorder.clone(), ran)
        };
        if let Some(recorder) = recorder {
            recorder.ended(id, ran);
            let fails = matches!(
                status,
                AttemptStatus::Error
                    | AttemptStatus::Overloaded
                    | AttemptStatus::Timeout
                    | AttemptStatus::ConnectFailed
                    | AttemptStatus::Reset
            );
            let outcomes = &mut self.inner.borrow_mut().outcomes;
            outcomes.0 += u64::from(status == AttemptStatus::Ok);
            outcomes.1 += u64::from(fails);
        }
        debug!("dispatch {}.{} ended {status:?} settled={settled}", id.request.0, id.attempt);
        self.report(Event::AttemptEnded { id: id.request, attempt: id.attempt, status, is_final: settled });
    }

    /// A probe of a backend server has ended.
    pub fn probed(&self, worker: EndpointId, status: AttemptStatus, value: impl Fn(&str) -> Option<f64>) {
        let report = self.inner.borrow().setup.load_report(value);
        debug!("probe of {} ended {status:?} {report:?}", worker.0);
        self.report(Event::ProbeEnded { endpoint: worker, status, report });
    }

    /// An idle connection to a backend server has ended unasked, the one in that place by its age.
    pub fn idle_closed(&self, worker: EndpointId, place: usize) {
        self.report(Event::IdleConnectionClosed { endpoint: worker, position: place });
    }

    /// The server table has changed, or is all of this.
    pub fn servers(&self, list: Vec<Server>, whole: bool) {
        let members = self.inner.borrow_mut().members(list, whole);
        self.report(if whole { Event::EndpointList(members) } else { Event::EndpointUpdate(members) });
        self.lists.send_modify(|n| *n += 1);
    }

    /// Hand the module its wake-ups, for as long as the node runs.
    pub async fn wake(&self) {
        loop {
            let due = self.inner.borrow().wake;
            match due {
                Some(at) => tokio::select! {
                    () = self.deadlines.at(at) => {
                        self.inner.borrow_mut().wake = None;
                        self.report(Event::Wake);
                    }
                    () = self.rearmed.notified() => {}
                },
                None => self.rearmed.notified().await,
            }
        }
    }

    /// The frontend has waited for a request's answer too long, or its client has gone.
    fn abandon(&self, id: RequestId) {
        let open = self.inner.borrow_mut().open.remove(&id).is_some();
        if open {
            self.report(Event::ClientLeft(id));
        }
    }

    fn report(&self, event: Event) {
        let mut inner = self.inner.borrow_mut();
        let before = inner.wake;
        inner.report(event);
        if inner.wake != before {
            self.rearmed.notify_one();
        }
    }
}
