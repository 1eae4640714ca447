//! The network part of the simulation: dispatches from nodes to servers, their updates back to the nodes, and
//! discovery's list changes and the faults of servers.

use super::draw::between;
use super::faults::{apply_step, endpoint_entry, Step};
use super::server::{Admission, Server};
use super::{
    ClientRequestKey, Dispatch, DispatchKey, DispatchUpdate, SimEvent, Simulation, Stage,
    IDLE_SWEEP_INTERVAL, WARM_UP_INTERVAL,
};
use crate::rules::Answer;
use crate::scenario::FaultKind;
use rand::RngExt;
use rand_distr::{Distribution, Exp1};
use shorepath_scheduler::*;

/// Returns whether an outcome proves that the job never ran.
fn proves_not_run(status: AttemptStatus) -> bool {
    matches!(status, AttemptStatus::Overloaded | AttemptStatus::ConnectFailed | AttemptStatus::NotSent)
}

impl Simulation<'_> {
    /// Draws the one-way delay between a node and a server.
    fn network_delay(&mut self, node: u32, server: u32) -> Micros {
        let near = self.nodes[node as usize].zone == self.servers[server as usize].spec.zone;
        let range = if near { self.sc.network.same_zone_latency } else { self.sc.network.cross_zone_latency };
        let base = between(&mut self.network_rng, range);
        if self.sc.network.jitter <= 0.0 {
            return base;
        }
        let jitter: f64 = Exp1.sample(&mut self.network_rng);
        base + (base as f64 * self.sc.network.jitter * jitter) as Micros
    }

    /// Sends an attempt over an idle connection or a new one. Reports it as not sent if the request is over or has
    /// used up its attempts.
    pub(super) fn send(&mut self, node: u32, id: RequestId, endpoint: EndpointId) {
        let (key, server) = (Simulation::submission_key(id), endpoint.0);
        self.checker.sent(id.0, node, server, self.now);
        let Some(submission) = self.submissions.get_mut(key) else { return };
        let attempt = submission.attempts;
        submission.attempts += 1;
        let request_key = submission.request;
        let Some(request) =
            self.client_requests.get(request_key).filter(|_| attempt < self.sc.rules.max_attempts)
        else {
            self.checker.ended(id.0, true);
            let settled = self.submissions.get(key).is_none_or(|t| t.answered);
            self.pending_events.push_back((
                node,
                Event::AttemptEnded { id, attempt, status: AttemptStatus::NotSent, is_final: settled },
            ));
            return;
        };
        let (class, work, needs) = (request.class, request.work * (1.0 - request.saved), request.needs);
        let mut dispatch = Dispatch {
            submission: key,
            id: id.0,
            attempt,
            node,
            server,
            class,
            work,
            needs,
            stage: Stage::Sent,
            open: true,
            fails: false,
            started: false,
            last_update: 0,
        };
        let n = &mut self.nodes[node as usize];
        n.in_flight += 1;
        let crosses_zones = n.zone != self.servers[server as usize].spec.zone;
        let idle = n.idle.get_mut(&server).and_then(Vec::pop);
        self.tally.sent(crosses_zones, idle.is_none());
        let delay = self.network_delay(node, server);
        if idle.is_none() {
            dispatch.stage = Stage::Connecting;
            dispatch.work += self.sc.network.handshake as f64;
        }
        let dispatch = self.dispatches.insert(dispatch);
        if let Some(submission) = self.submissions.get_mut(key) {
            submission.in_flight.push(dispatch);
        }
        let new = if idle.is_none() { " on a new connection" } else { "" };
        self.record_trace(id.0, || format!("attempt {attempt} goes to server {server}{new}"));
        if idle.is_some() {
            self.schedule(self.now + delay, SimEvent::DispatchArrives(dispatch));
        } else {
            self.schedule(self.now + delay, SimEvent::ConnectionRequest(dispatch));
            self.schedule(self.now + self.sc.network.connect_timeout, SimEvent::ConnectTimeout(dispatch));
        }
    }

    /// Handles the first packet of a new connection at its server. The request follows one round trip later.
    pub(super) fn connection_request(&mut self, key: DispatchKey) {
        let Some(dispatch) = self.dispatches.get(key).filter(|r| r.stage == Stage::Connecting) else {
            return;
        };
        let (node, server) = (dispatch.node, dispatch.server);
        let s = &mut self.servers[server as usize];
        if s.unreachable > 0 {
            return; // no response: the node's connect timeout expires
        }
        if s.down > 0 || s.connections >= self.sc.servers.connections {
            return self.send_update(key, DispatchUpdate::Ended(AttemptStatus::ConnectFailed));
        }
        s.connections += 1;
        let round_trip = self.network_delay(node, server) + self.network_delay(node, server);
        if let Some(dispatch) = self.dispatches.get_mut(key) {
            dispatch.stage = Stage::Sent;
        }
        self.schedule(self.now + round_trip, SimEvent::DispatchArrives(key));
    }

    /// Sends an update about a dispatch to its node. Updates arrive in the order in which they were sent.
    pub(super) fn send_update(&mut self, key: DispatchKey, update: DispatchUpdate) {
        let Some(dispatch) = self.dispatches.get_mut(key) else { return };
        if matches!(update, DispatchUpdate::Ended(_)) {
            dispatch.stage = Stage::Finished;
        }
        let (node, server) = (dispatch.node, dispatch.server);
        let delay = self.network_delay(node, server);
        let Some(dispatch) = self.dispatches.get_mut(key) else { return };
        let at = (self.now + delay).max(dispatch.last_update);
        dispatch.last_update = at;
        self.schedule(at, SimEvent::UpdateArrives { dispatch: key, update });
    }

    /// Handles the last byte of a request at its server.
    pub(super) fn dispatch_arrives(&mut self, key: DispatchKey) {
        let Some(dispatch) = self.dispatches.get(key).filter(|r| r.stage == Stage::Sent) else { return };
        let (id, node, server, load) =
            (dispatch.id, dispatch.node, dispatch.server, (dispatch.work, dispatch.needs));
        let overload_limit = self.sc.overload_limit();
        let s = &mut self.servers[server as usize];
        if s.unreachable > 0 {
            // The node gets no response until the server is reachable again and resets the connection.
            if let Some(dispatch) = self.dispatches.get_mut(key) {
                dispatch.stage = Stage::Finished;
            }
            return self.remove_finished(key);
        }
        if s.down > 0 {
            return self.send_update(key, DispatchUpdate::Ended(AttemptStatus::Reset));
        }
        let informed = self.checker.knows_start(node, server, s.started_at);
        match s.admit(self.now, key, load, informed, overload_limit) {
            Admission::Accepted => {}
            Admission::Full => {
                self.record_trace(id, || format!("server {server} rejects it"));
                return self.send_update(key, DispatchUpdate::Ended(AttemptStatus::Overloaded));
            }
            Admission::Crashed(crash) => {
                self.checker.cold_server_crashed(server, crash, self.now);
                self.tally.cold_crash();
                return self.crash_cold_server(server);
            }
        }
        let failure_share = self.servers[server as usize].failure_share();
        let fails = failure_share > 0.0 && self.failure_rng.random::<f64>() < failure_share;
        if let Some(dispatch) = self.dispatches.get_mut(key) {
            (dispatch.stage, dispatch.fails) = (Stage::AtServer, fails);
        }
        self.advance_server(server);
    }

    /// Advances a server to the present time, handles the jobs that finished or started, and schedules the next
    /// completion.
    pub(super) fn advance_server(&mut self, server: u32) {
        let now = self.now;
        let (finished, started) = self.servers[server as usize].step(now);
        finished.into_iter().for_each(|key| self.job_finished(key));
        started.into_iter().for_each(|key| self.job_started(key));
        let s = &self.servers[server as usize];
        let revision = s.revision;
        if let Some(at) = s.next_finish(now) {
            self.schedule(at, SimEvent::JobFinishes { server, revision });
        }
    }

    fn job_started(&mut self, key: DispatchKey) {
        let Some(dispatch) = self.dispatches.get_mut(key) else { return };
        dispatch.started = true;
        let (id, server, open) = (dispatch.id, dispatch.server, dispatch.open);
        self.checker.job_started(id, server, self.now);
        self.record_trace(id, || format!("server {server} starts it"));
        if open && self.sc.servers.reports_starts && self.servers[server as usize].unreachable == 0 {
            self.send_update(key, DispatchUpdate::Started);
        }
    }

    fn job_finished(&mut self, key: DispatchKey) {
        let Some(dispatch) = self.dispatches.get_mut(key) else { return };
        dispatch.stage = Stage::Finished;
        let (id, server, fails) = (dispatch.id, dispatch.server, dispatch.fails);
        self.record_trace(id, || format!("server {server} finishes it"));
        if self.servers[server as usize].unreachable == 0 {
            self.send_update(
                key,
                DispatchUpdate::Ended(if fails { AttemptStatus::Error } else { AttemptStatus::Ok }),
            );
        } else {
            self.remove_finished(key);
        }
    }

    /// Removes a dispatch that is over at its node as well as at its server.
    fn remove_finished(&mut self, key: DispatchKey) {
        if self.dispatches.get(key).is_some_and(|r| !r.open && r.stage == Stage::Finished) {
            self.dispatches.remove(key);
        }
    }

    /// Handles an update about a dispatch at its node: one from the network, a timeout or a cancellation.
    pub(super) fn dispatch_update(&mut self, key: DispatchKey, update: DispatchUpdate) {
        let Some(dispatch) = self.dispatches.get_mut(key) else { return };
        if !dispatch.open {
            return self.remove_finished(key);
        }
        let (submission_key, id, attempt, node, server) =
            (dispatch.submission, dispatch.id, dispatch.attempt, dispatch.node, dispatch.server);
        let request = RequestId(id);
        let DispatchUpdate::Ended(status) = update else {
            self.record_trace(id, || format!("node {node} learns that attempt {attempt} has started"));
            return self.deliver(node, Event::AttemptStarted { id: request, attempt });
        };
        dispatch.open = false;
        let stage = dispatch.stage;
        if stage == Stage::Connecting {
            dispatch.stage = Stage::Finished; // its request never reaches the server
        }
        self.nodes[node as usize].in_flight -= 1;
        self.tally.ended(status);
        self.record_trace(id, || format!("attempt {attempt} has ended at node {node}: {status:?}"));
        let keeps_connection =
            matches!(status, AttemptStatus::Ok | AttemptStatus::Error | AttemptStatus::Overloaded);
        if keeps_connection && self.servers[server as usize].down == 0 {
            self.nodes[node as usize].idle.entry(server).or_default().push(self.now);
        } else if stage != Stage::Connecting
            && !matches!(status, AttemptStatus::ConnectFailed | AttemptStatus::Reset)
        {
            let s = &mut self.servers[server as usize];
            s.connections = s.connections.saturating_sub(1);
        }
        self.checker.ended(id, proves_not_run(status));
        if let Some(submission) = self.submissions.get_mut(submission_key) {
            submission.in_flight.retain(|r| *r != key);
            if status == AttemptStatus::Ok && !submission.answered {
                self.answer(submission_key, Answer::Served, None);
            }
        }
        if status == AttemptStatus::Cancelled && self.sc.servers.cancel_stops && stage == Stage::AtServer {
            let s = &mut self.servers[server as usize];
            s.advance(self.now);
            s.remove(key);
            if let Some(dispatch) = self.dispatches.get_mut(key) {
                dispatch.stage = Stage::Finished;
            }
            self.advance_server(server);
        }
        self.remove_finished(key);
        let settled = self.submissions.get(submission_key).is_none_or(|t| t.answered);
        self.deliver(node, Event::AttemptEnded { id: request, attempt, status, is_final: settled });
        self.remove_closed(submission_key);
    }

    /// Cancels an attempt on behalf of its node.
    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32) {
        let Some(submission) = self.submissions.get(Simulation::submission_key(id)) else { return };
        let dispatch = submission
            .in_flight
            .iter()
            .copied()
            .find(|r| self.dispatches.get(*r).is_some_and(|r| r.attempt == attempt));
        if let Some(dispatch) = dispatch {
            self.dispatch_update(dispatch, DispatchUpdate::Ended(AttemptStatus::Cancelled));
        }
    }

    /// Announces a server's state to all nodes through discovery. Each node receives it after a delay of its own,
    /// but receives all changes in order.
    pub(super) fn announce(&mut self, server: u32) {
        let change = self.list_changes.len() as u32;
        self.list_changes.push(endpoint_entry(self.sc, server, &self.servers[server as usize]));
        for node in 0..self.nodes.len() as u32 {
            let lag = between(&mut self.discovery_rng, self.sc.discovery_delay);
            let at = (self.now + lag).max(self.silent_until).max(self.nodes[node as usize].last_list_change);
            self.nodes[node as usize].last_list_change = at;
            self.schedule(at, SimEvent::ListChange { node, change });
        }
    }

    pub(super) fn list_change(&mut self, node: u32, change: u32) {
        let endpoint = self.list_changes[change as usize].clone();
        let live = endpoint.state == EndpointState::Live;
        self.checker.endpoint_reported(node, endpoint.id.0, live, endpoint.started_at, self.now);
        self.deliver(node, Event::EndpointUpdate(vec![endpoint]));
    }

    /// Applies a step of a fault to the servers that it affects, or to discovery.
    pub(super) fn fault(&mut self, index: u32, step: Step) {
        let f = &self.sc.faults[index as usize];
        if f.kind == FaultKind::Silence {
            if step == Step::Begins {
                self.silent_until = self.silent_until.max(self.now + f.length);
            }
            return;
        }
        for server in self.affected_servers[index as usize].clone() {
            let s = &mut self.servers[server as usize];
            s.advance(self.now);
            let effects = apply_step(s, f, index, step, self.now);
            if let Some(silently) = effects.dies {
                self.server_dies(server, silently);
            }
            if effects.reachable_again {
                self.reset_unanswered(server);
            }
            if effects.restarts {
                let started_at = self.now;
                self.schedule(self.now + WARM_UP_INTERVAL, SimEvent::WarmUpStep { server, started_at });
            }
            if effects.announce {
                self.announce(server);
            }
            self.advance_server(server);
        }
    }

    /// Crashes a server that was overloaded during its warm-up; it stays down until the end of the scenario.
    fn crash_cold_server(&mut self, server: u32) {
        self.servers[server as usize].down += 1;
        self.server_dies(server, false);
        self.announce(server);
    }

    /// Resets the dispatches that got no response while their server was unreachable.
    fn reset_unanswered(&mut self, server: u32) {
        let lost = |r: &Dispatch| r.server == server && r.open && r.stage == Stage::Finished;
        let keys: Vec<_> = self.dispatches.iter().filter(|(_, r)| lost(r)).map(|(k, _)| k).collect();
        let s = &mut self.servers[server as usize];
        s.connections = s.connections.saturating_sub(keys.len() as u32);
        for key in keys {
            self.send_update(key, DispatchUpdate::Ended(AttemptStatus::Reset));
        }
    }

    /// Discards all jobs of a server whose process dies. Its connections are reset unless it dies `silently`.
    pub(super) fn server_dies(&mut self, server: u32, silently: bool) {
        let s = &mut self.servers[server as usize];
        s.advance(self.now);
        let lost = s.drop_all();
        s.revision += 1;
        for (key, left) in lost {
            self.save_progress(key, left);
            if let Some(dispatch) = self.dispatches.get_mut(key) {
                dispatch.stage = Stage::Finished;
            }
            self.remove_finished(key);
        }
        for node in 0..self.nodes.len() as u32 {
            let idle = self.nodes[node as usize].idle.remove(&server).unwrap_or_default();
            for _ in idle.iter().filter(|_| !silently) {
                self.deliver(node, Event::IdleConnectionClosed { endpoint: EndpointId(server), position: 0 });
            }
        }
        if !silently {
            self.reset_connections(server);
        }
    }

    /// Resets the connections of all dispatches that wait for a server.
    pub(super) fn reset_connections(&mut self, server: u32) {
        let waits = |r: &Dispatch| r.server == server && r.open && r.stage != Stage::Connecting;
        let open: Vec<DispatchKey> =
            self.dispatches.iter().filter(|(_, r)| waits(r)).map(|(k, _)| k).collect();
        for key in open {
            self.send_update(key, DispatchUpdate::Ended(AttemptStatus::Reset));
        }
    }

    /// Records how much of a lost job's work a checkpoint had saved, so that a retry of an idempotent request
    /// resumes from there.
    fn save_progress(&mut self, key: DispatchKey, left: f64) {
        let interval = self.sc.servers.checkpoint_interval as f64;
        let Some(dispatch) = self.dispatches.get(key).filter(|r| r.started && interval > 0.0) else { return };
        if self.sc.classes[dispatch.class as usize].idempotency != Idempotency::Idempotent {
            return;
        }
        let done = ((dispatch.work - left) / interval).floor() * interval;
        let request_key: Option<ClientRequestKey> =
            self.submissions.get(dispatch.submission).map(|t| t.request);
        if let Some(request) = request_key.and_then(|key| self.client_requests.get_mut(key)) {
            request.saved = request.saved.max((request.saved + done / request.work).min(1.0));
        }
    }

    /// Closes the connections that exceeded the servers' idle timeout.
    pub(super) fn close_idle_connections(&mut self) {
        let idle_since = self.now - self.sc.network.idle_timeout;
        for node in 0..self.nodes.len() as u32 {
            let mut closed = Vec::new();
            self.nodes[node as usize].idle.retain(|server, idle| {
                let expired = idle.partition_point(|at| *at <= idle_since);
                idle.drain(..expired);
                closed.extend((expired > 0).then_some((*server, expired as u32)));
                !idle.is_empty()
            });
            for (server, count) in closed {
                let s: &mut Server = &mut self.servers[server as usize];
                s.connections = s.connections.saturating_sub(count);
                for _ in 0..count {
                    self.deliver(
                        node,
                        Event::IdleConnectionClosed { endpoint: EndpointId(server), position: 0 },
                    );
                }
            }
        }
        if self.now < self.end() {
            self.schedule(self.now + IDLE_SWEEP_INTERVAL, SimEvent::IdleSweep);
        }
    }
}
