//! The endpoint list: keeps the endpoint table and the queues up to date with it.

use super::{Scheduler, MAX_SUBSCRIBE_BACKOFF};
use crate::action::Action;
use crate::endpoint::{Endpoint, EndpointState};
use crate::endpoint_table::TrackedEndpoint;
use crate::ids::EndpointId;
use crate::outlier::{Subject, Suspicion};
use crate::timer::Timer;
use shorepath_types::Micros;
use std::collections::BTreeSet;

impl Scheduler {
    /// Handles a full endpoint list.
    pub(super) fn on_endpoint_list(&mut self, list: Vec<Endpoint>, actions: &mut Vec<Action>) {
        let listed: BTreeSet<EndpointId> = list.iter().map(|e| e.id).collect();
        let known: BTreeSet<EndpointId> = self.endpoints.iter().map(|e| e.endpoint.id).collect();
        for missing in known.difference(&listed) {
            self.unlist(*missing);
        }
        if self.demand.since.is_none() && self.settings.must_subscribe {
            actions.push(Action::Subscribe);
        }
        self.demand.since.get_or_insert(self.now);
        self.on_endpoint_update(list);
    }

    /// Handles changed entries of the endpoint list.
    pub(super) fn on_endpoint_update(&mut self, changed: Vec<Endpoint>) {
        self.subscribe_backoff = self.settings.tick.max(1);
        for endpoint in changed {
            if endpoint.state == EndpointState::Removed {
                self.unlist(endpoint.id);
            } else {
                self.update_endpoint(endpoint);
            }
        }
        self.refresh_endpoints();
    }

    /// Subscribes again after a delay, which doubles with each consecutive failure.
    pub(super) fn on_endpoint_list_failed(&mut self) {
        self.timers.set(self.now + self.subscribe_backoff, Timer::Resubscribe);
        let max_backoff = MAX_SUBSCRIBE_BACKOFF.max(self.settings.tick);
        self.subscribe_backoff = (self.subscribe_backoff * 2).min(max_backoff);
    }

    fn update_endpoint(&mut self, endpoint: Endpoint) {
        let now = self.now;
        let tokens = self.slow_start_phase(&endpoint) * self.mean_work();
        let new = || TrackedEndpoint::new(endpoint.clone(), tokens, now);
        let tracked = self.endpoints.get_or_insert(endpoint.id, new);
        if tracked.endpoint.started_at != endpoint.started_at {
            (tracked.slow_start_tokens, tracked.slow_start_updated_at) = (tokens, now);
            tracked.speed = None;
            self.suspicions.remove(&Subject::Endpoint(endpoint.id));
        }
        tracked.update(endpoint);
    }

    /// Handles an endpoint that was removed or is missing from the list.
    ///
    /// Departure: if only draining excludes endpoints and this one was not draining, it stays and is
    /// suspected. It is dropped when it has been missing and without success for the longest deadline. An
    /// endpoint that is listed as live again is no longer draining.
    fn unlist(&mut self, endpoint: EndpointId) {
        let (now, min_pause) = (self.now, self.settings.longest_objective() as Micros);
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return };
        if !self.settings.only_draining_excludes || tracked.endpoint.state != EndpointState::Live {
            tracked.endpoint.state = EndpointState::Removed;
        } else if tracked.unlisted_at.is_none() {
            tracked.unlisted_at = Some(now);
            let subject = Subject::Endpoint(endpoint);
            let suspicion = self.suspicions.entry(subject).or_insert(Suspicion::new(now, endpoint));
            suspicion.pause = suspicion.pause.max(min_pause);
            suspicion.is_cleared = false;
            suspicion.until = suspicion.until.max(now + suspicion.pause);
        }
    }

    /// Updates the orders and limits of all queues from the endpoint table.
    pub(super) fn refresh_endpoints(&mut self) {
        let (now, window) = (self.now, self.settings.recent_window() as Micros);
        let is_expired =
            |e: &TrackedEndpoint| e.unlisted_at.is_some_and(|at| now >= at.max(e.last_success_at) + window);
        let is_kept = |e: &TrackedEndpoint| e.endpoint.state != EndpointState::Removed && !is_expired(e);
        self.endpoints.retain(|e| is_kept(e) || e.in_flight > 0);
        let live = self.endpoints.iter().filter(|e| e.endpoint.state == EndpointState::Live);
        self.total_capacity = live.map(|e| e.max_capacity).sum();
        for queue in &mut self.queues {
            queue.refresh_endpoints(&self.endpoints, self.settings.zone, &mut self.rng);
            queue.concurrency.raise_to_minimum(queue.live_endpoints, self.settings.schedulers);
        }
    }
}
