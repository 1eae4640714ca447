//! The state behind the exchange: the scheduler, open requests, and how actions are carried out.

use super::clock::Clock;
use super::types::{Attempt, Auditor, DispatchId, Order, Recorder, ResponseOutcome, Server, Source, Wanted};
use shorepath_scheduler::{
    name_hash, Action, Catalog, ClassId, Endpoint, EndpointId, EndpointState, Event, Idempotency, KindId,
    QuotaShare, RequestId, Scheduler, SettingsObject, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{debug, warn};

#[derive(Debug)]
pub(super) struct Taken<P> {
    pub(super) class: ClassId,
    pub(super) payload: Rc<P>,
    pub(super) until: Instant,
    pub(super) attempts: u32,
    pub(super) answer: oneshot::Sender<ResponseOutcome>,
    /// Ends with this, which is what [`Wanted`] sees.
    pub(super) wanted: watch::Sender<()>,
}

#[derive(Debug)]
pub(super) struct Inner<P> {
    pub(super) balancer: Scheduler,
    pub(super) setup: SettingsObject,
    /// Processes that are this one node at present.
    pub(super) parts: u32,
    pub(super) names: Catalog,
    pub(super) clock: Clock,
    pub(super) open: HashMap<RequestId, Taken<P>>,
    pub(super) taken: u64,
    pub(super) active: BTreeSet<EndpointId>,
    pub(super) orders: mpsc::UnboundedSender<Order<P>>,
    pub(super) wake: Option<Instant>,
    pub(super) held: BTreeMap<Source, Vec<QuotaShare>>,
    pub(super) recorder: Option<Rc<dyn Recorder<P>>>,
    pub(super) auditor: Option<Rc<dyn Auditor<P>>>,
    /// Attempts that were served and that failed, while they are written down.
    pub(super) outcomes: (u64, u64),
    /// Attempts that wait until they are written down.
    pub(super) unwritten: HashMap<DispatchId, Order<P>>,
}

impl<P> Inner<P> {
    pub(super) fn report(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.clock.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.act(action));
    }

    /// Carry an action out.
    pub(super) fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint } => self.start_attempt(id, endpoint),
            Action::Shed { id, retry_after } => {
                let retry_after = retry_after.map(|t| Duration::from_micros(t.max(0) as u64));
                self.answer(id, ResponseOutcome::Shed { retry_after });
            }
            Action::Reject { id, quota: of } => self.answer(id, ResponseOutcome::Rejected { of }),
            Action::Fail { id } => self.answer(id, ResponseOutcome::Failed),
            Action::CancelAttempt { id, attempt } => {
                self.order(Order::Cancel(DispatchId { request: id, attempt }))
            }
            Action::WakeAfter { delay: after } => {
                let at = Instant::now() + Duration::from_micros(after.max(0) as u64);
                self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
            }
            Action::Probe { endpoint: worker } => self.order(Order::Probe(worker)),
            Action::CloseIdleConnections { endpoint: worker } => self.order(Order::CloseIdle(worker)),
            // The watch on discovery is always kept open.
            Action::Subscribe => {}
        }
    }

    /// Order the next attempt of a request from the backend, once it is written down where that is wanted.
    fn start_attempt(&mut self, id: RequestId, worker: EndpointId) {
        let Some(taken) = self.open.get_mut(&id) else {
            warn!("a dispatch of request {}, which is over, was not made", id.0);
            return;
        };
        let dispatch = DispatchId { request: id, attempt: taken.attempts };
        taken.attempts += 1;
        let (class, payload, until) = (taken.class, taken.payload.clone(), taken.until);
        let written_by = self.balancer.write_deadline(id).and_then(|at| self.clock.instant(at));
        let written_by = written_by.map_or(until, |at| at.min(until));
        let settings = self.balancer.settings().classes.get(class.0);
        let effect = settings.map_or(Idempotency::NonIdempotent, |c| c.idempotency);
        let is_unsafe = effect == Idempotency::NonIdempotent;
        let sent = payload.clone();
        let wanted = Wanted::by(&taken.wanted);
        let order =
            Order::Dispatch { id: dispatch, worker, effect, payload: sent, written_by, until, wanted };
        let (classes, workers) = (&self.names.classes, &self.names.endpoints);
        let attempt = || Attempt {
            class: classes.name(class.0 as u32).unwrap_or_default(),
            is_unsafe,
            server: workers.name(worker.0).unwrap_or_default(),
        };
        if let Some(auditor) = &self.auditor {
            auditor.dispatched(attempt(), dispatch.attempt == 0, &payload);
        }
        if let Some(recorder) = &self.recorder {
            let attempt = attempt();
            if !recorder.places(dispatch, attempt, &payload) {
                self.unwritten.insert(dispatch, order);
                return;
            }
        }
        self.order(order);
    }

    pub(super) fn answer(&mut self, id: RequestId, outcome: ResponseOutcome) {
        if let Some(taken) = self.open.remove(&id) {
            let left = taken.until.saturating_duration_since(Instant::now()).as_millis();
            let how = match outcome {
                ResponseOutcome::Failed => "failed",
                ResponseOutcome::Rejected { .. } => "barred",
                ResponseOutcome::Served(_) | ResponseOutcome::Shed { .. } => "denied",
            };
            debug!("answer {} {how} attempts={} left_ms={left}", id.0, taken.attempts);
            self.audited(&taken, how);
            let _ = taken.answer.send(outcome);
        }
    }

    pub(super) fn audited(&self, taken: &Taken<P>, how: &'static str) {
        let Some(auditor) = &self.auditor else { return };
        let class = self.names.classes.name(taken.class.0 as u32).unwrap_or_default();
        let settings = self.balancer.settings().classes.get(taken.class.0);
        let is_unsafe = settings.is_some_and(|c| c.idempotency == Idempotency::NonIdempotent);
        auditor.answered(class, how, is_unsafe && how != "served", &taken.payload);
    }

    pub(super) fn order(&mut self, order: Order<P>) {
        if self.orders.send(order).is_err() {
            warn!("the backend has ended: an order was lost");
        }
    }

    pub(super) fn members(&mut self, list: Vec<Server>, whole: bool) -> Vec<Endpoint> {
        let mut members = Vec::with_capacity(list.len());
        for server in list {
            let worker = EndpointId(self.names.endpoints.intern(&server.name));
            members.push(Endpoint {
                id: worker,
                name_hash: name_hash(&server.name),
                kind: KindId(self.names.kinds.intern(&server.kind)),
                zone: ZoneId(self.names.zones.intern(&server.zone)),
                cell: server.cell,
                capacity: server.size,
                state: server.standing,
                started_at: server.started,
            });
            self.server(worker, server.address, server.standing == EndpointState::Live);
        }
        if whole {
            let listed = |w: &EndpointId| members.iter().any(|m| m.id == *w);
            let left: Vec<_> = self.active.iter().copied().filter(|w| !listed(w)).collect();
            left.into_iter().for_each(|worker| self.server(worker, None, false));
        }
        members
    }

    pub(super) fn server(&mut self, worker: EndpointId, address: Option<SocketAddr>, active: bool) {
        match active {
            true => self.active.insert(worker),
            false => self.active.remove(&worker),
        };
        self.order(Order::Server { worker, address, active });
    }
}
