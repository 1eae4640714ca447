//! The state of the exchange: the scheduler, the open requests, and the execution of the scheduler's actions.

use super::clock::Clock;
use super::types::{
    Attempt, Auditor, Command, DispatchId, OpenWatch, QuotaSource, Recorder, ResponseOutcome, ServerEntry,
};
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
pub(super) struct OpenRequest<P> {
    pub(super) class: ClassId,
    pub(super) payload: Rc<P>,
    pub(super) deadline: Instant,
    /// Number of attempts so far.
    pub(super) attempts: u32,
    pub(super) answer: oneshot::Sender<ResponseOutcome>,
    /// Dropped with the request, which ends each [`OpenWatch`].
    pub(super) open: watch::Sender<()>,
}

#[derive(Debug)]
pub(super) struct Inner<P> {
    pub(super) scheduler: Scheduler,
    pub(super) setup: SettingsObject,
    /// Number of processes that serve as this node at present.
    pub(super) process_count: u32,
    pub(super) names: Catalog,
    pub(super) clock: Clock,
    pub(super) open: HashMap<RequestId, OpenRequest<P>>,
    pub(super) last_request_id: u64,
    pub(super) active_endpoints: BTreeSet<EndpointId>,
    pub(super) commands: mpsc::UnboundedSender<Command<P>>,
    /// Time of the scheduler's next wake-up.
    pub(super) wake_at: Option<Instant>,
    pub(super) quota_shares: BTreeMap<QuotaSource, Vec<QuotaShare>>,
    pub(super) recorder: Option<Rc<dyn Recorder<P>>>,
    pub(super) auditor: Option<Rc<dyn Auditor<P>>>,
    /// Served and failed attempts since they were last taken. Counted only while there is a recorder.
    pub(super) outcomes: (u64, u64),
    /// Attempts that are sent once they are recorded.
    pub(super) unrecorded: HashMap<DispatchId, Command<P>>,
}

impl<P> Inner<P> {
    pub(super) fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.scheduler.handle(self.clock.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.execute(action));
    }

    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint } => self.start_attempt(id, endpoint),
            Action::Shed { id, retry_after } => {
                let retry_after = retry_after.map(|t| Duration::from_micros(t.max(0) as u64));
                self.answer(id, ResponseOutcome::Shed { retry_after });
            }
            Action::Reject { id, quota: of } => self.answer(id, ResponseOutcome::Rejected { of }),
            Action::Fail { id } => self.answer(id, ResponseOutcome::Failed),
            Action::CancelAttempt { id, attempt } => {
                self.send_command(Command::Cancel(DispatchId { request: id, attempt }))
            }
            Action::WakeAfter { delay: after } => {
                let at = Instant::now() + Duration::from_micros(after.max(0) as u64);
                self.wake_at = Some(self.wake_at.map_or(at, |w| w.min(at)));
            }
            Action::Probe { endpoint: server } => self.send_command(Command::Probe(server)),
            Action::CloseIdleConnections { endpoint: server } => {
                self.send_command(Command::CloseIdle(server))
            }
            // The node is always subscribed to discovery.
            Action::Subscribe => {}
        }
    }

    /// Sends the next attempt of a request to the backend, once the recorder, if any, has recorded it.
    fn start_attempt(&mut self, id: RequestId, endpoint: EndpointId) {
        let Some(request) = self.open.get_mut(&id) else {
            warn!("no attempt was made for request {}, which has ended", id.0);
            return;
        };
        let dispatch = DispatchId { request: id, attempt: request.attempts };
        request.attempts += 1;
        let (class, payload, deadline) = (request.class, request.payload.clone(), request.deadline);
        let write_by = self.scheduler.write_deadline(id).and_then(|at| self.clock.instant(at));
        let write_by = write_by.map_or(deadline, |at| at.min(deadline));
        let settings = self.scheduler.settings().classes.get(class.0);
        let idempotency = settings.map_or(Idempotency::NonIdempotent, |c| c.idempotency);
        let is_non_idempotent = idempotency == Idempotency::NonIdempotent;
        let sent = payload.clone();
        let open = OpenWatch::new(&request.open);
        let command = Command::Dispatch {
            id: dispatch,
            endpoint,
            idempotency,
            payload: sent,
            write_by,
            deadline,
            open,
        };
        let (classes, endpoints) = (&self.names.classes, &self.names.endpoints);
        let attempt = || Attempt {
            class: classes.name(class.0 as u32).unwrap_or_default(),
            is_non_idempotent,
            server: endpoints.name(endpoint.0).unwrap_or_default(),
        };
        if let Some(auditor) = &self.auditor {
            auditor.dispatched(attempt(), dispatch.attempt == 0, &payload);
        }
        if let Some(recorder) = &self.recorder {
            let attempt = attempt();
            if !recorder.record_attempt(dispatch, attempt, &payload) {
                self.unrecorded.insert(dispatch, command);
                return;
            }
        }
        self.send_command(command);
    }

    pub(super) fn answer(&mut self, id: RequestId, outcome: ResponseOutcome) {
        if let Some(request) = self.open.remove(&id) {
            let left = request.deadline.saturating_duration_since(Instant::now()).as_millis();
            let how = match outcome {
                ResponseOutcome::Failed => "failed",
                ResponseOutcome::Rejected { .. } => "barred",
                ResponseOutcome::Served(_) | ResponseOutcome::Shed { .. } => "denied",
            };
            debug!("answer {} {how} attempts={} left_ms={left}", id.0, request.attempts);
            self.audit_answer(&request, how);
            let _ = request.answer.send(outcome);
        }
    }

    pub(super) fn audit_answer(&self, request: &OpenRequest<P>, how: &'static str) {
        let Some(auditor) = &self.auditor else { return };
        let class = self.names.classes.name(request.class.0 as u32).unwrap_or_default();
        let settings = self.scheduler.settings().classes.get(request.class.0);
        let is_non_idempotent = settings.is_some_and(|c| c.idempotency == Idempotency::NonIdempotent);
        auditor.answered(class, how, is_non_idempotent && how != "served", &request.payload);
    }

    pub(super) fn send_command(&mut self, command: Command<P>) {
        if self.commands.send(command).is_err() {
            warn!("a command was dropped because the backend has stopped");
        }
    }

    pub(super) fn update_endpoints(&mut self, list: Vec<ServerEntry>, is_full: bool) -> Vec<Endpoint> {
        let mut endpoints = Vec::with_capacity(list.len());
        for server in list {
            let endpoint = EndpointId(self.names.endpoints.intern(&server.name));
            endpoints.push(Endpoint {
                id: endpoint,
                name_hash: name_hash(&server.name),
                kind: KindId(self.names.kinds.intern(&server.kind)),
                zone: ZoneId(self.names.zones.intern(&server.zone)),
                cell: server.cell,
                capacity: server.capacity,
                state: server.state,
                started_at: server.started_at,
            });
            self.update_server(endpoint, server.address, server.state == EndpointState::Live);
        }
        if is_full {
            let listed = |w: &EndpointId| endpoints.iter().any(|m| m.id == *w);
            let left: Vec<_> = self.active_endpoints.iter().copied().filter(|w| !listed(w)).collect();
            left.into_iter().for_each(|endpoint| self.update_server(endpoint, None, false));
        }
        endpoints
    }

    pub(super) fn update_server(&mut self, endpoint: EndpointId, address: Option<SocketAddr>, active: bool) {
        match active {
            true => self.active_endpoints.insert(endpoint),
            false => self.active_endpoints.remove(&endpoint),
        };
        self.send_command(Command::Server { endpoint, address, active });
    }
}
