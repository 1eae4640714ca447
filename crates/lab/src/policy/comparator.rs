//! The common part of all comparators: a view of the fleet, attempts in flight, and retries.

use super::choice::Choice;
use super::limit::Limit;
use super::{Fleet, Policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use shorepath_scheduler::*;
use std::collections::BTreeMap;

/// What a comparator knows about a server.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// The server's entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Number of this node's attempts in flight there.
    pub in_flight: u32,
    /// Moving average of the latency in microseconds, maintained by the choice; 0 if unknown.
    pub latency: f64,
    /// Time of the last update of `latency`.
    pub updated_at: Micros,
}

/// A request without a final answer.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    /// The request as it arrived.
    pub request: Request,
    /// Time at which the client gives up.
    pub deadline: Micros,
    /// Time until which an answer has its full value.
    pub target_time: Micros,
    attempts: u32,
    attempt_in_flight: bool,
    may_have_run: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// The server that it was sent to.
    pub endpoint: EndpointId,
    /// Time at which it was sent.
    pub sent: Micros,
}

/// A node's view of the fleet, on which choices are based.
#[derive(Debug)]
pub struct FleetView {
    /// The node's settings.
    pub settings: Settings,
    /// All servers that the endpoint list has contained.
    pub servers: BTreeMap<EndpointId, KnownServer>,
    /// The servers that accept new attempts, in the order of their ids.
    pub live: Vec<EndpointId>,
    /// The node's random numbers.
    pub rng: ChaCha8Rng,
    /// Time of the present event.
    pub now: Micros,
}

impl FleetView {
    /// Returns a random live server, or `None` if there is none. Draws one number, whatever the size of the fleet.
    pub fn random_live(&mut self) -> Option<EndpointId> {
        if self.live.is_empty() {
            return None;
        }
        let k = (self.rng.next_u64() as u128 * self.live.len() as u128) >> 64;
        self.live.get(k as usize).copied()
    }

    /// Applies an endpoint list. Servers that a `complete` list does not contain are removed.
    fn update(&mut self, list: Vec<Endpoint>, complete: bool) {
        if complete {
            self.servers.values_mut().for_each(|k| k.endpoint.state = EndpointState::Removed);
        }
        for endpoint in list {
            match self.servers.get_mut(&endpoint.id) {
                Some(server) => server.endpoint = endpoint,
                None => {
                    let id = endpoint.id;
                    self.servers
                        .insert(id, KnownServer { endpoint, in_flight: 0, latency: 0.0, updated_at: 0 });
                }
            }
        }
        let live = self.servers.iter().filter(|(_, k)| k.endpoint.state == EndpointState::Live);
        self.live = live.map(|(id, _)| *id).collect();
    }
}

/// A policy that combines a choice of servers with a limit on the attempts in flight.
///
/// It retries at once if the outcome proves that the job never ran or if the class is idempotent.
#[derive(Debug)]
pub struct Comparator<C, L> {
    view: FleetView,
    choice: C,
    limit: L,
    pending: FxHashMap<RequestId, PendingRequest>,
    in_flight: FxHashMap<(RequestId, u32), InFlight>,
}

impl<C: Choice, L: Limit> Comparator<C, L> {
    /// Returns a policy with an empty endpoint list.
    pub fn new(settings: Settings, choice: C, limit: L, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let view = FleetView { settings, servers: BTreeMap::new(), live: Vec::new(), rng, now: 0 };
        Comparator { view, choice, limit, pending: FxHashMap::default(), in_flight: FxHashMap::default() }
    }

    fn update_list(&mut self, list: Vec<Endpoint>, complete: bool) {
        self.view.update(list, complete);
        self.limit.fleet_resized(self.view.live.len());
    }

    /// Sends the requests that the limit allows, and sheds those that it rejects.
    fn send_allowed(&mut self, fleet: &Fleet, actions: &mut Vec<Action>) {
        while let Some(id) = self.limit.next_to_send(self.in_flight.len()) {
            self.send(id, fleet, actions);
        }
        while let Some(id) = self.limit.next_rejected() {
            self.give_up(id, actions);
        }
    }

    fn send(&mut self, id: RequestId, fleet: &Fleet, actions: &mut Vec<Action>) {
        let now = self.view.now;
        let Some(pending_request) = self.pending.get_mut(&id) else { return };
        let max_attempts = self.view.settings.max_attempts;
        let endpoint = if pending_request.attempts < max_attempts {
            self.choice.pick(&mut self.view, pending_request, fleet)
        } else {
            None
        };
        let Some(endpoint) = endpoint else { return self.give_up(id, actions) };
        let attempt = pending_request.attempts;
        (pending_request.attempts, pending_request.attempt_in_flight) = (attempt + 1, true);
        self.in_flight.insert((id, attempt), InFlight { endpoint, sent: now });
        if let Some(server) = self.view.servers.get_mut(&endpoint) {
            server.in_flight += 1;
        }
        actions.push(Action::StartAttempt { id, endpoint });
    }

    /// Gives a final answer to a request that can't be served.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending_request) = self.pending.remove(&id) else { return };
        self.limit.forget(id);
        let effect = self.view.settings.classes[pending_request.request.class.0].idempotency;
        if pending_request.may_have_run && effect != Idempotency::Idempotent {
            actions.push(Action::Fail { id });
        } else {
            actions.push(Action::Shed { id, retry_after: None });
        }
    }

    fn attempt_ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        status: AttemptStatus,
        is_final: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.in_flight.remove(&(id, attempt)) else { return };
        let now = self.view.now;
        if let Some(server) = self.view.servers.get_mut(&ended.endpoint) {
            server.in_flight -= 1;
        }
        self.choice.attempt_ended(&mut self.view, ended, status);
        self.limit.attempt_ended(now - ended.sent, self.in_flight.len() + 1, status);
        if is_final {
            self.pending.remove(&id);
            return;
        }
        let proves_not_run = matches!(
            status,
            AttemptStatus::Overloaded | AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        );
        let Some(pending_request) = self.pending.get_mut(&id) else { return };
        pending_request.attempt_in_flight = false;
        pending_request.may_have_run |= !proves_not_run;
        let is_idempotent = self.view.settings.classes[pending_request.request.class.0].idempotency
            == Idempotency::Idempotent;
        if (is_idempotent || !pending_request.may_have_run)
            && now + self.view.settings.tick < pending_request.deadline
        {
            let pending_request = pending_request.clone();
            self.limit.enqueue(&pending_request);
        } else {
            self.give_up(id, actions);
        }
    }
}

impl<C: Choice, L: Limit> Policy for Comparator<C, L> {
    fn handle(&mut self, now: Micros, event: Event, fleet: &Fleet, actions: &mut Vec<Action>) {
        self.view.now = now;
        self.limit.advance_clock(now);
        match event {
            Event::EndpointList(list) => self.update_list(list, true),
            Event::EndpointUpdate(list) => self.update_list(list, false),
            Event::RequestArrived(request) => {
                let Some(class) = self.view.settings.classes.get(request.class.0) else { return };
                let (id, deadline) = (request.id, now + request.time_remaining);
                let target_time = (now + class.latency_objective).min(deadline);
                let pending_request = PendingRequest {
                    request,
                    deadline,
                    target_time,
                    attempts: 0,
                    attempt_in_flight: false,
                    may_have_run: false,
                };
                self.limit.enqueue(&pending_request);
                self.pending.insert(id, pending_request);
                // Wakes before the deadline, so that a queued request is answered in time.
                let delay = (deadline - now - self.view.settings.tick).max(1);
                if self.limit.can_queue() {
                    actions.push(Action::WakeAfter { delay });
                }
            }
            Event::AttemptEnded { id, attempt, status, is_final } => {
                self.attempt_ended(id, attempt, status, is_final, actions)
            }
            Event::ClientLeft(id) => {
                self.pending.remove(&id);
                self.limit.forget(id);
            }
            Event::Wake => {
                let overdue = |pending_request: &PendingRequest| {
                    !pending_request.attempt_in_flight
                        && pending_request.deadline - self.view.settings.tick <= now
                };
                let mut expired: Vec<RequestId> =
                    self.pending.iter().filter(|(_, request)| overdue(request)).map(|(id, _)| *id).collect();
                expired.sort_unstable();
                expired.into_iter().for_each(|id| self.give_up(id, actions));
            }
            _ => {}
        }
        self.send_allowed(fleet, actions);
    }
}
