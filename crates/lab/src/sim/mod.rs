//! The discrete-event simulation of clients, nodes, the network and backend servers in virtual time.
//!
//! Time is counted in whole microseconds. Events of the same time are processed in the order in which they were
//! scheduled, and a node's actions in response to an event are carried out before the next event.

pub mod draw;
pub mod faults;
mod net;
pub mod server;
pub mod tally;

use crate::clients::{self, NextStep, Quota};
use crate::policy::{self, Policy};
use crate::rules::{Answer, Checker, Limits};
use crate::scenario::Scenario;
use draw::{cumulative_sums, stream, Arrivals, Jobs, Needs, Purpose};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use server::{Server, ServerSpec};
use shorepath_scheduler::*;
use slotmap::{Key, KeyData, SlotMap};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use tally::{Outcome, Report, Tally};

slotmap::new_key_type! {
    /// Key of a client's request, over all its submissions.
    pub struct ClientRequestKey;
    /// Key of a submission: one try of a client's request at a node.
    pub struct SubmissionKey;
    /// Key of a dispatch: one attempt at one server.
    pub struct DispatchKey;
}

/// Virtual time at which a scenario starts. It is above 0 because 0 means "long ago" to the scheduler.
pub const START: Micros = 1_000_000;
/// Interval between samples of what is in flight.
const SAMPLE_INTERVAL: Micros = 250_000;
/// Interval at which the rate of a server in its warm-up is updated.
const WARM_UP_INTERVAL: Micros = 100_000;
/// Interval between checks for expired idle connections.
const IDLE_SWEEP_INTERVAL: Micros = 500_000;

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum SimEvent {
    Arrival {
        tenant: u32,
    },
    Burst {
        index: u32,
    },
    Retry(ClientRequestKey),
    Deadline(SubmissionKey),
    ClientLeaves(SubmissionKey),
    AnswerOverdue(SubmissionKey),
    Wake {
        node: u32,
    },
    /// The first packet of a new connection arrives at its server.
    ConnectionRequest(DispatchKey),
    /// The time to establish a connection is over.
    ConnectTimeout(DispatchKey),
    DispatchArrives(DispatchKey),
    JobFinishes {
        server: u32,
        revision: u32,
    },
    WarmUpStep {
        server: u32,
        started_at: Micros,
    },
    UpdateArrives {
        dispatch: DispatchKey,
        update: DispatchUpdate,
    },
    ListChange {
        node: u32,
        change: u32,
    },
    Fault {
        index: u32,
        step: faults::Step,
    },
    Sample,
    IdleSweep,
}

/// What a node learns about a dispatch from the server or the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DispatchUpdate {
    Started,
    Ended(AttemptStatus),
}

#[derive(Debug)]
struct QueuedEvent {
    at: Micros,
    /// Orders events of the same time.
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A client's request, over all its submissions.
#[derive(Debug)]
struct ClientRequest {
    tenant: u32,
    class: u32,
    node: u32,
    work: f64,
    needs: Needs,
    hint: Option<Micros>,
    first_submitted: Micros,
    submissions: u32,
    exceeds_quota: bool,
    /// Fraction of the work that a server had saved before it lost the job.
    saved: f64,
}

/// One try of a client's request, as a node holds it.
#[derive(Debug)]
struct Submission {
    request: ClientRequestKey,
    node: u32,
    attempts: u32,
    answered: bool,
    in_flight: Vec<DispatchKey>,
    deadline: Micros,
}

/// Progress of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The connection is being established.
    Connecting,
    /// The request is on its way to the server.
    Sent,
    /// The job is queued or running at the server.
    AtServer,
    /// The server does nothing more for it: it is done, rejected or lost.
    Finished,
}

#[derive(Debug)]
struct Dispatch {
    submission: SubmissionKey,
    /// The request's id, which stays valid after the submission is removed.
    id: u64,
    attempt: u32,
    node: u32,
    server: u32,
    class: u32,
    work: f64,
    needs: Needs,
    stage: Stage,
    /// Whether the node still waits for an update.
    open: bool,
    fails: bool,
    started: bool,
    /// Arrival time of the last update, which later ones don't overtake.
    last_update: Micros,
}

struct Node {
    policy: Box<dyn Policy>,
    zone: u32,
    /// For each server, the times at which its idle connections became idle, in ascending order.
    idle: BTreeMap<u32, Vec<Micros>>,
    /// Arrival time of the last change of the endpoint list, which later ones don't overtake.
    last_list_change: Micros,
    wake: Micros,
    /// Number of attempts in flight.
    in_flight: u32,
    /// Number of requests that wait for their answer.
    open: u32,
}

/// One line of a request's trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceLine {
    /// Time since the start of the scenario.
    pub at: Micros,
    /// Description of the event.
    pub text: String,
}

/// The state of one run of a scenario.
pub struct Simulation<'a> {
    sc: &'a Scenario,
    now: Micros,
    last_sequence: u64,
    event_queue: BinaryHeap<Reverse<QueuedEvent>>,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    client_requests: SlotMap<ClientRequestKey, ClientRequest>,
    submissions: SlotMap<SubmissionKey, Submission>,
    dispatches: SlotMap<DispatchKey, Dispatch>,
    arrivals: Vec<Arrivals>,
    jobs: Vec<Jobs>,
    quotas: Vec<Quota>,
    network_rng: ChaCha8Rng,
    client_rng: ChaCha8Rng,
    failure_rng: ChaCha8Rng,
    discovery_rng: ChaCha8Rng,
    affected_servers: Vec<Vec<u32>>,
    list_changes: Vec<Endpoint>,
    silent_until: Micros,
    /// Events that a node's actions cause at once; delivered after the present event.
    pending_events: VecDeque<(u32, Event)>,
    delivering: bool,
    checker: Checker,
    tally: Tally,
    policy_knows_work: bool,
    /// The request whose events are recorded in `trace`.
    traced_request: Option<u64>,
    trace: Vec<TraceLine>,
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario) -> Report {
    Simulation::new(scenario, None).into_report().0
}

/// Runs a scenario again and returns the trace of the request with that id; empty if there is no such request.
pub fn trace(scenario: &Scenario, request: u64) -> Vec<TraceLine> {
    Simulation::new(scenario, Some(request)).into_report().1
}

/// Returns the servers of a scenario, warm and idle.
pub fn make_servers(sc: &Scenario) -> Vec<Server> {
    let mut rng = stream(sc.seed, Purpose::Fleet);
    let s = &sc.servers;
    let kinds = cumulative_sums(s.kinds.iter().map(|k| k.share));
    let total = kinds.last().copied().unwrap_or(1.0);
    // Only the assignment is random: the number of servers of each kind follows the shares, up to rounding.
    let mut shuffled: Vec<u32> = (0..s.count).collect();
    for k in (1..shuffled.len()).rev() {
        shuffled.swap(k, rng.random_range(0..=k));
    }
    let mut kind_of = vec![0u32; s.count as usize];
    for (k, server) in shuffled.iter().enumerate() {
        let position = (k as f64 + 0.5) / f64::from(s.count) * total;
        kind_of[*server as usize] = kinds.partition_point(|c| *c <= position).min(kinds.len() - 1) as u32;
    }
    let server = |n: u32| {
        let kind = kind_of[n as usize];
        let k = &s.kinds[kind as usize];
        Server::new(ServerSpec {
            kind,
            zone: n % sc.zones.len() as u32,
            cores: k.cores,
            slots: k.slots.max(k.cores),
            speed: k.speed.0 + (k.speed.1 - k.speed.0) * rng.random::<f64>(),
            queue: s.queue,
            crowding_slowdown: s.crowding_loss,
            cold_share: s.slow_start_min_share,
            warm_up: s.slow_start_duration,
        })
    };
    (0..s.count).map(server).collect()
}

impl<'a> Simulation<'a> {
    fn new(sc: &'a Scenario, traced_request: Option<u64>) -> Self {
        let servers = make_servers(sc);
        let node = |n: u32| {
            let seed = stream(sc.seed, Purpose::Node(n)).random();
            // The scenario's parser rejects unknown names, so that the fallback is never used.
            let policy = policy::create(&sc.policy, sc.settings(n), seed)
                .unwrap_or_else(|| Box::new(shorepath_scheduler::Scheduler::new(sc.settings(n), seed)));
            let zone = n % sc.zones.len() as u32;
            Node {
                policy,
                zone,
                idle: BTreeMap::new(),
                last_list_change: 0,
                wake: Micros::MAX,
                in_flight: 0,
                open: 0,
            }
        };
        let tenants = 0..sc.tenants.len();
        let mut simulation = Simulation {
            now: START,
            last_sequence: 0,
            event_queue: BinaryHeap::new(),
            nodes: (0..sc.nodes).map(node).collect(),
            client_requests: SlotMap::with_key(),
            submissions: SlotMap::with_key(),
            dispatches: SlotMap::with_key(),
            arrivals: tenants.clone().map(|t| Arrivals::new(sc, t)).collect(),
            jobs: tenants.clone().map(|t| Jobs::new(sc, t)).collect(),
            quotas: sc.tenants.iter().map(|t| Quota::new(t.quota, START)).collect(),
            network_rng: stream(sc.seed, Purpose::Network),
            client_rng: stream(sc.seed, Purpose::Clients),
            failure_rng: stream(sc.seed, Purpose::Failures),
            discovery_rng: stream(sc.seed, Purpose::Discovery),
            affected_servers: Vec::new(),
            list_changes: Vec::new(),
            silent_until: 0,
            pending_events: VecDeque::new(),
            delivering: false,
            checker: Checker::new(Limits {
                slack: sc.rules.deadline_slack,
                drain_grace: sc.rules.drain_grace,
            }),
            tally: Tally::new(sc),
            policy_knows_work: sc.policy == "clairvoyant",
            traced_request,
            trace: Vec::new(),
            servers,
            sc,
        };
        simulation.affected_servers =
            (0..sc.faults.len()).map(|f| faults::affected_servers(sc, &simulation.servers, f)).collect();
        for (index, f) in sc.faults.iter().enumerate() {
            for (at, step) in faults::steps(f, simulation.end() - START) {
                simulation.schedule(START + at, SimEvent::Fault { index: index as u32, step });
            }
        }
        for node in 0..sc.nodes {
            let servers = simulation.servers.iter().enumerate();
            let list: Vec<Endpoint> = servers.map(|(k, s)| faults::endpoint_entry(sc, k as u32, s)).collect();
            for endpoint in &list {
                simulation.checker.set_zone(endpoint.id.0, endpoint.zone.0);
                simulation.checker.endpoint_reported(node, endpoint.id.0, true, 0, START);
            }
            simulation.deliver(node, Event::EndpointList(list));
        }
        for tenant in 0..sc.tenants.len() {
            simulation.next_arrival(tenant as u32);
        }
        for (index, burst) in sc.bursts.iter().enumerate() {
            simulation.schedule(START + burst.at, SimEvent::Burst { index: index as u32 });
        }
        simulation.schedule(START + SAMPLE_INTERVAL, SimEvent::Sample);
        simulation.schedule(START + IDLE_SWEEP_INTERVAL, SimEvent::IdleSweep);
        simulation
    }

    fn schedule(&mut self, at: Micros, event: SimEvent) {
        self.last_sequence += 1;
        self.event_queue.push(Reverse(QueuedEvent {
            at: at.max(self.now),
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Returns the time after which no answer can be in time any more.
    fn end(&self) -> Micros {
        START + self.sc.length + self.sc.longest_deadline() + self.sc.rules.deadline_slack + 1_000
    }

    fn into_report(mut self) -> (Report, Vec<TraceLine>) {
        let end = self.end();
        let mut events = 0u64;
        while let Some(Reverse(queued)) = self.event_queue.pop() {
            if queued.at > end {
                break;
            }
            self.now = queued.at;
            events += 1;
            self.process(queued.event);
        }
        let done: f64 = self.servers.iter().map(|s| s.done).sum();
        (self.tally.report(self.sc, events, done, &self.checker), self.trace)
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival { tenant } => {
                self.arrival(tenant);
                self.next_arrival(tenant);
            }
            SimEvent::Burst { index } => {
                let sc = self.sc;
                let burst = &sc.bursts[index as usize];
                (0..burst.count).for_each(|_| self.arrival(burst.tenant as u32));
            }
            SimEvent::Retry(request) => self.submit(request),
            SimEvent::Deadline(key) => self.deadline(key),
            SimEvent::ClientLeaves(key) => self.client_leaves(key),
            SimEvent::AnswerOverdue(key) => self.answer_overdue(key),
            SimEvent::Wake { node } => {
                if self.nodes[node as usize].wake <= self.now {
                    self.nodes[node as usize].wake = Micros::MAX;
                }
                self.deliver(node, Event::Wake);
            }
            SimEvent::ConnectionRequest(dispatch) => self.connection_request(dispatch),
            SimEvent::ConnectTimeout(dispatch) => {
                if self.dispatches.get(dispatch).is_some_and(|r| r.stage == Stage::Connecting) {
                    self.dispatch_update(dispatch, DispatchUpdate::Ended(AttemptStatus::ConnectFailed));
                }
            }
            SimEvent::DispatchArrives(dispatch) => self.dispatch_arrives(dispatch),
            SimEvent::JobFinishes { server, revision } => {
                if self.servers[server as usize].revision == revision {
                    self.advance_server(server);
                }
            }
            SimEvent::WarmUpStep { server, started_at } => {
                let s = &self.servers[server as usize];
                if s.started_at == started_at && s.is_cold(self.now) {
                    self.advance_server(server);
                    self.schedule(self.now + WARM_UP_INTERVAL, SimEvent::WarmUpStep { server, started_at });
                }
            }
            SimEvent::UpdateArrives { dispatch, update } => self.dispatch_update(dispatch, update),
            SimEvent::ListChange { node, change } => self.list_change(node, change),
            SimEvent::Fault { index, step } => self.fault(index, step),
            SimEvent::Sample => {
                let (mut in_flight, mut open) = (0, 0);
                for node in &self.nodes {
                    (in_flight, open) = (in_flight + node.in_flight, open + node.open);
                }
                self.tally.sample(self.now - START, in_flight, open, self.servers.iter().map(Server::held));
                if self.now < START + self.sc.length {
                    self.schedule(self.now + SAMPLE_INTERVAL, SimEvent::Sample);
                }
            }
            SimEvent::IdleSweep => self.close_idle_connections(),
        }
    }

    // ------------------------------------------------------------ clients

    fn next_arrival(&mut self, tenant: u32) {
        let at = self.arrivals[tenant as usize].next_time();
        if at < self.sc.length {
            self.schedule(START + at, SimEvent::Arrival { tenant });
        }
    }

    fn arrival(&mut self, tenant: u32) {
        let job = self.jobs[tenant as usize].next_job(self.now - START);
        let exceeds_quota = self.quotas[tenant as usize].exceeded(self.now);
        let class = job.class as u32;
        self.tally.asked(self.sc, self.now - START, tenant, class, exceeds_quota, job.work);
        let request = ClientRequest {
            tenant,
            class,
            node: job.node,
            work: job.work,
            needs: job.needs,
            hint: job.hint,
            first_submitted: self.now,
            submissions: 0,
            exceeds_quota,
            saved: 0.0,
        };
        let request_key = self.client_requests.insert(request);
        self.submit(request_key);
    }

    /// Submits a client's request to its node, for the first time or as a retry.
    fn submit(&mut self, key: ClientRequestKey) {
        let Some(request) = self.client_requests.get_mut(key) else { return };
        let class = &self.sc.classes[request.class as usize];
        let deadline = request.first_submitted + class.deadline;
        let (node, tenant) = (request.node, request.tenant);
        let hint = if self.policy_knows_work { Some(request.work as Micros) } else { request.hint };
        let slots = request.needs.slots;
        let is_first = request.submissions == 0;
        request.submissions += 1;
        let (class_id, effect) = (ClassId(request.class as usize), class.idempotency);
        let leaves = self.now + ((deadline - self.now) as f64 * self.sc.clients.timeout_fraction) as Micros;
        let submission =
            Submission { request: key, node, attempts: 0, answered: false, in_flight: Vec::new(), deadline };
        let key = self.submissions.insert(submission);
        let id = key.data().as_ffi();
        self.checker.request_accepted(id, deadline, effect);
        self.nodes[node as usize].open += 1;
        self.record_trace(id, || {
            format!("accepted by node {node}, {}", if is_first { "first try" } else { "a retry" })
        });
        self.schedule(deadline, SimEvent::Deadline(key));
        if leaves < deadline {
            self.schedule(leaves, SimEvent::ClientLeaves(key));
        }
        self.deliver(
            node,
            Event::RequestArrived(Request {
                id: RequestId(id),
                class: class_id,
                tenant: Some(TenantId(tenant as usize)),
                key: None,
                time_remaining: deadline - self.now,
                work_hint: hint,
                slots,
                is_retry: false,
                work_state: WorkState::New,
                is_remote: false,
            }),
        );
    }

    fn submission_key(id: RequestId) -> SubmissionKey {
        SubmissionKey::from(KeyData::from_ffi(id.0))
    }

    /// Handles a node's final answer to a request. Its client is done or schedules a retry.
    fn answer(&mut self, key: SubmissionKey, answer: Answer, retry_after: Option<Micros>) {
        let id = key.data().as_ffi();
        self.checker.answered(id, answer, self.now);
        self.record_trace(id, || format!("answered: {answer:?}"));
        let Some(submission) = self.submissions.get_mut(key) else { return };
        if std::mem::replace(&mut submission.answered, true) {
            return;
        }
        let request_key = submission.request;
        self.nodes[submission.node as usize].open -= 1;
        let Some(request) = self.client_requests.get(request_key) else { return };
        let so_far = (self.now - request.first_submitted, request.submissions);
        let answer = (answer, retry_after);
        match clients::after_answer(
            self.sc,
            request.class as usize,
            request.work,
            answer,
            so_far,
            &mut self.client_rng,
        ) {
            NextStep::Retry(wait) => self.schedule(self.now + wait, SimEvent::Retry(request_key)),
            NextStep::Settled(outcome) => self.settle(request_key, outcome),
        }
        self.remove_closed(key);
    }

    fn settle(&mut self, key: ClientRequestKey, outcome: Outcome) {
        if let Some(request) = self.client_requests.remove(key) {
            let origin = (request.tenant, request.class, request.exceeds_quota);
            self.tally.settled(
                self.sc,
                request.first_submitted - START,
                self.now - request.first_submitted,
                origin,
                request.work,
                outcome,
            );
        }
    }

    /// Removes a submission that is answered and has no attempt in flight.
    fn remove_closed(&mut self, key: SubmissionKey) {
        if self.submissions.get(key).is_some_and(|t| t.answered && t.in_flight.is_empty()) {
            self.submissions.remove(key);
            self.checker.forget(key.data().as_ffi());
        }
    }

    fn deadline(&mut self, key: SubmissionKey) {
        let Some(submission) = self.submissions.get(key) else { return };
        let in_flight = submission.in_flight.clone();
        for dispatch in in_flight {
            self.dispatch_update(dispatch, DispatchUpdate::Ended(AttemptStatus::Timeout));
        }
        let Some(submission) = self.submissions.get(key) else { return };
        if !submission.answered {
            self.schedule(submission.deadline + self.sc.rules.deadline_slack, SimEvent::AnswerOverdue(key));
        }
        self.remove_closed(key);
    }

    fn client_leaves(&mut self, key: SubmissionKey) {
        let Some(submission) = self.submissions.get_mut(key).filter(|t| !t.answered) else { return };
        submission.answered = true;
        let (request, node) = (submission.request, submission.node);
        self.nodes[node as usize].open -= 1;
        let id = key.data().as_ffi();
        self.checker.left(id);
        self.record_trace(id, || "its client left".to_string());
        self.settle(request, Outcome::Left);
        self.deliver(node, Event::ClientLeft(RequestId(id)));
        self.remove_closed(key);
    }

    fn answer_overdue(&mut self, key: SubmissionKey) {
        let Some(submission) = self.submissions.get_mut(key).filter(|t| !t.answered) else { return };
        submission.answered = true;
        let (request, node) = (submission.request, submission.node);
        self.nodes[node as usize].open -= 1;
        let id = key.data().as_ffi();
        self.checker.overdue(id, self.now);
        self.settle(request, Outcome::Lost);
        self.deliver(node, Event::ClientLeft(RequestId(id)));
        self.remove_closed(key);
    }

    // -------------------------------------------------------------- nodes

    /// Delivers an event to a node and carries out the actions that it returns.
    fn deliver(&mut self, node: u32, event: Event) {
        self.pending_events.push_back((node, event));
        if std::mem::replace(&mut self.delivering, true) {
            return; // an outer call delivers it in the loop below
        }
        while let Some((node, event)) = self.pending_events.pop_front() {
            let mut actions = Vec::new();
            let n = &mut self.nodes[node as usize];
            n.policy.handle(self.now, event, &self.servers, &mut actions);
            for action in actions {
                self.perform(node, action);
            }
        }
        self.delivering = false;
    }

    fn perform(&mut self, node: u32, action: Action) {
        match action {
            Action::StartAttempt { id, endpoint } => self.send(node, id, endpoint),
            Action::Shed { id, retry_after } => {
                self.answer(Simulation::submission_key(id), Answer::Refused, retry_after)
            }
            Action::Reject { id, .. } => self.answer(Simulation::submission_key(id), Answer::Refused, None),
            Action::Fail { id } => self.answer(Simulation::submission_key(id), Answer::Failed, None),
            Action::CancelAttempt { id, attempt } => self.cancel(id, attempt),
            Action::WakeAfter { delay } => {
                let at = self.now + delay.max(1);
                if at < self.nodes[node as usize].wake {
                    self.nodes[node as usize].wake = at;
                }
                self.schedule(at, SimEvent::Wake { node });
            }
            Action::CloseIdleConnections { endpoint } => {
                let idle = self.nodes[node as usize].idle.remove(&endpoint.0).unwrap_or_default();
                let s = &mut self.servers[endpoint.0 as usize];
                s.connections = s.connections.saturating_sub(idle.len() as u32);
            }
            // Discovery is pushed, and the settings don't allow probes.
            Action::Subscribe | Action::Probe { .. } => {}
        }
    }

    fn record_trace(&mut self, id: u64, text: impl FnOnce() -> String) {
        if self.traced_request == Some(id) {
            self.trace.push(TraceLine { at: self.now - START, text: text() });
        }
    }
}
