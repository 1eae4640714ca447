//! What every comparator keeps: who is live, what is out where, and when a request may be tried again.

use super::choice::Choice;
use super::limit::Limit;
use super::{Fleet, Policy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;
use shorepath_scheduler::*;
use std::collections::BTreeMap;

/// A server as a comparator knows it.
#[derive(Clone, Debug)]
pub struct Known {
    /// Its entry in the list.
    pub member: Endpoint,
    /// Jobs of ours there.
    pub in_flight: u32,
    /// For the choice's own use: a running latency in microseconds, and when it was last learned.
    pub latency: f64,
    /// See `latency`.
    pub seen: Micros,
}

/// A request that has no answer yet.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// As it was taken.
    pub request: Request,
    /// When its client gives up.
    pub deadline: Micros,
    /// When the answer stops being in time.
    pub due: Micros,
    attempts: u32,
    out: bool,
    ran: bool,
}

/// One that is out.
#[derive(Clone, Copy, Debug)]
pub struct Out {
    /// Where.
    pub worker: EndpointId,
    /// Since when.
    pub sent: Micros,
}

/// What a choice may look at.
#[derive(Debug)]
pub struct Book {
    /// As given.
    pub set: Settings,
    /// Everyone that the list has named.
    pub known: BTreeMap<EndpointId, Known>,
    /// Those that may be sent to, in the order of their numbers.
    pub live: Vec<EndpointId>,
    /// The node's own randomness.
    pub rng: ChaCha8Rng,
    /// The time of the event in hand.
    pub now: Micros,
}

impl Book {
    /// One of the live at random. Needs one draw, however many there are.
    pub fn any(&mut self) -> Option<EndpointId> {
        if self.live.is_empty() {
            return None;
        }
        let k = (self.rng.next_u64() as u128 * self.live.len() as u128) >> 64;
        self.live.get(k as usize).copied()
    }

    fn learn(&mut self, list: Vec<Endpoint>, whole: bool) {
        if whole {
            self.known.values_mut().for_each(|k| k.member.state = EndpointState::Removed);
        }
        for member in list {
            match self.known.get_mut(&member.id) {
                Some(known) => known.member = member,
                None => {
                    let worker = member.id;
                    self.known.insert(worker, Known { member, in_flight: 0, latency: 0.0, seen: 0 });
                }
            }
        }
        let live = self.known.iter().filter(|(_, k)| k.member.state == EndpointState::Live);
        self.live = live.map(|(w, _)| *w).collect();
    }
}

/// A choice of the server behind a limit, with the retries that every comparator has: at once, elsewhere,
/// where the outcome proves that the job never ran or its class is safe to repeat.
#[derive(Debug)]
pub struct Plain<C, L> {
    book: Book,
    choice: C,
    limit: L,
    waiting: FxHashMap<RequestId, Waiting>,
    out: FxHashMap<(RequestId, u32), Out>,
}

impl<C: Choice, L: Limit> Plain<C, L> {
    /// One that knows nothing but its settings.
    pub fn new(set: Settings, choice: C, limit: L, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let book = Book { set, known: BTreeMap::new(), live: Vec::new(), rng, now: 0 };
        Plain { book, choice, limit, waiting: FxHashMap::default(), out: FxHashMap::default() }
    }

    fn listed(&mut self, list: Vec<Endpoint>, whole: bool) {
        self.book.learn(list, whole);
        self.limit.fleet(self.book.live.len());
    }

    /// Send what the limit lets go.
    fn release(&mut self, fleet: &Fleet, out: &mut Vec<Action>) {
        while let Some(id) = self.limit.next(self.out.len()) {
            self.send(id, fleet, out);
        }
        while let Some(id) = self.limit.turned_away() {
            self.give_up(id, out);
        }
    }

    fn send(&mut self, id: RequestId, fleet: &Fleet, out: &mut Vec<Action>) {
        let now = self.book.now;
        let Some(w) = self.waiting.get_mut(&id) else { return };
        let most = self.book.set.max_attempts;
        let worker = if w.attempts < most { self.choice.pick(&mut self.book, w, fleet) } else { None };
        let Some(worker) = worker else { return self.give_up(id, out) };
        let attempt = w.attempts;
        (w.attempts, w.out) = (attempt + 1, true);
        self.out.insert((id, attempt), Out { worker, sent: now });
        if let Some(k) = self.book.known.get_mut(&worker) {
            k.in_flight += 1;
        }
        out.push(Action::StartAttempt { id, endpoint: worker });
    }

    /// The final answer of one that gets no service.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(w) = self.waiting.remove(&id) else { return };
        self.limit.forget(id);
        let effect = self.book.set.classes[w.request.class.0].idempotency;
        if w.ran && effect != Idempotency::Idempotent {
            out.push(Action::Fail { id });
        } else {
            out.push(Action::Shed { id, retry_after: None });
        }
    }

    fn ended(
        &mut self,
        id: RequestId,
        attempt: u32,
        status: AttemptStatus,
        settled: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(o) = self.out.remove(&(id, attempt)) else { return };
        let now = self.book.now;
        if let Some(k) = self.book.known.get_mut(&o.worker) {
            k.in_flight -= 1;
        }
        self.choice.learn(&mut self.book, o, status);
        self.limit.learn(now - o.sent, self.out.len() + 1, status);
        if settled {
            self.waiting.remove(&id);
            return;
        }
        let never = matches!(
            status,
            AttemptStatus::Overloaded | AttemptStatus::ConnectFailed | AttemptStatus::NotSent
        );
        let Some(w) = self.waiting.get_mut(&id) else { return };
        w.out = false;
        w.ran |= !never;
        let safe = self.book.set.classes[w.request.class.0].idempotency == Idempotency::Idempotent;
        if (safe || !w.ran) && now + self.book.set.tick < w.deadline {
            let w = w.clone();
            self.limit.queue(&w);
        } else {
            self.give_up(id, out);
        }
    }
}

impl<C: Choice, L: Limit> Policy for Plain<C, L> {
    fn handle(&mut self, now: Micros, event: Event, fleet: &Fleet, out: &mut Vec<Action>) {
        self.book.now = now;
        self.limit.clock(now);
        match event {
            Event::EndpointList(list) => self.listed(list, true),
            Event::EndpointUpdate(list) => self.listed(list, false),
            Event::RequestArrived(request) => {
                let Some(class) = self.book.set.classes.get(request.class.0) else { return };
                let (id, deadline) = (request.id, now + request.time_remaining);
                let due = (now + class.latency_objective).min(deadline);
                let w = Waiting { request, deadline, due, attempts: 0, out: false, ran: false };
                self.limit.queue(&w);
                self.waiting.insert(id, w);
                // Held past its deadline, its client would be left without an answer.
                let after = (deadline - now - self.book.set.tick).max(1);
                if self.limit.holds() {
                    out.push(Action::WakeAfter { delay: after });
                }
            }
            Event::AttemptEnded { id, attempt, status, is_final: settled } => {
                self.ended(id, attempt, status, settled, out)
            }
            Event::ClientLeft(id) => {
                self.waiting.remove(&id);
                self.limit.forget(id);
            }
            Event::Wake => {
                let overdue = |w: &Waiting| !w.out && w.deadline - self.book.set.tick <= now;
                let mut late: Vec<RequestId> =
                    self.waiting.iter().filter(|(_, w)| overdue(w)).map(|(id, _)| *id).collect();
                late.sort_unstable();
                late.into_iter().for_each(|id| self.give_up(id, out));
            }
            _ => {}
        }
        self.release(fleet, out);
    }
}
