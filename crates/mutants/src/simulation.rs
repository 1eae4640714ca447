//! The interface of a simulated system, and one run of it in virtual time.

use crate::change::{Change, Encoding};
use crate::Micros;
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The index of an actor in its system. It serves as the actor's address and stays the same across restarts.
pub type Actor = usize;

/// A message as its sender hands it to the network.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentMessage {
    /// The sender.
    pub from: Actor,
    /// The receiver.
    pub to: Actor,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// A violated invariant, or a final state that is not the expected one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{rule}: {details}")]
pub struct Violation {
    /// The name of the rule, the same for all of its violations.
    pub rule: &'static str,
    /// The state that violates the rule.
    pub details: String,
}

impl Violation {
    /// Creates a violation of the rule with this name. `details` describes the state that violates it.
    pub fn new(rule: &'static str, details: impl Into<String>) -> Violation {
        Violation { rule, details: details.into() }
    }
}

/// Several actors that exchange messages. Its behavior is determined by its seed and by the calls of these methods.
pub trait System: Sized {
    /// The name of the system in reports and on the command line.
    const NAME: &'static str;
    /// The encoding of its messages.
    const ENCODING: Encoding;
    /// The virtual time at which a run ends.
    const DURATION: Micros;
    /// Additional delays of mutated messages: longer than half a lease term, than a lease term, and than an incarnation.
    const DELAYS: [Micros; 3];

    /// The time within which the system recovers from a mutated message. Later messages of a run are not mutated.
    const SETTLE_TIME: Micros;
    /// Whether [`System::try_clone`] returns a copy.
    const CLONEABLE: bool = false;

    /// Creates the system at time 0.
    fn start(seed: u64) -> Self;

    /// Returns a copy of the system, if it can be copied. Mutants of late messages then start from a copy in place of time 0.
    fn try_clone(&self) -> Option<Self> {
        None
    }

    /// Returns the number of actors, including those that are down.
    fn actor_count(&self) -> usize;

    /// Returns the current incarnation of an actor, as messages name it; 0 while the actor is down.
    fn incarnation(&self, actor: Actor) -> u64;

    /// Delivers a message to an actor.
    ///
    /// # Errors
    /// Returns why the actor rejected the message, in a text without values that differ from message to message.
    fn receive(&mut self, now: Micros, from: Actor, to: Actor, bytes: &[u8]) -> Result<(), String>;

    /// Returns when [`System::advance`] has to be called next.
    fn next_due(&self, now: Micros) -> Micros;

    /// Performs everything that is due at `now`.
    fn advance(&mut self, now: Micros);

    /// Returns the messages sent since the last call, in the order in which they were sent.
    fn take_outgoing(&mut self) -> Vec<SentMessage>;

    /// Checks what must hold after every step.
    ///
    /// # Errors
    /// Returns the first violation.
    fn check_invariants(&self, now: Micros) -> Result<(), Violation>;

    /// Checks what must hold at the end of a run.
    ///
    /// # Errors
    /// Returns the first violation.
    fn check_final_state(&self, now: Micros) -> Result<(), Violation>;

    /// Returns why a forged message may cause this violation, or `None` if the violation is a failure. Called only for changes that
    /// message authentication rejects, never for those that a network can cause.
    fn forgery_exemption(_message: &[u8], _change: &Change, _violation: &Violation) -> Option<&'static str> {
        None
    }
}

/// One message of a run without mutation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageRecord {
    /// The number of messages that were sent before this one in the run.
    pub id: usize,
    /// The message with its sender and receiver.
    pub message: SentMessage,
    /// The incarnations of the sender and the receiver when the message was sent.
    pub incarnations: (u64, u64),
    /// The virtual time at which the message was sent.
    pub sent_at: Micros,
    /// The step of the run in which the message was sent.
    pub step: usize,
    /// The virtual time at which the message was delivered; `None` if it was lost.
    pub delivered_at: Option<Micros>,
}

/// A message and the mutation that is applied to it.
#[derive(Clone, Copy, Debug)]
pub struct Mutant<'a> {
    /// The message as the run without mutation recorded it.
    pub message: &'a MessageRecord,
    /// The mutation.
    pub change: &'a Change,
}

/// Whether all rules held during a run, or how it failed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Outcome {
    /// No rule was violated, neither during the run nor at its end.
    #[default]
    Passed,
    /// A rule was violated, at this time.
    Violated(Micros, Violation),
    /// The system panicked with this message.
    Panicked(String),
    /// The run differed from the recorded one before the mutated message: the system is not deterministic.
    Diverged,
}

/// The outcome, the recorded messages and the counts of one run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Whether all rules held, or how the run failed.
    pub outcome: Outcome,
    /// All messages; empty for a run with a mutation.
    pub messages: Vec<MessageRecord>,
    /// The number of rejected messages by reason. With a mutation, only the mutated message counts.
    pub rejected: BTreeMap<String, u64>,
    /// The number of accepted messages. With a mutation, only the mutated message counts.
    pub accepted: u64,
    /// One line for each delivery from the mutated message on: `*` for the mutated message, the time in microseconds, sender and
    /// receiver, the content, and whether the receiver accepted it. Empty unless requested.
    pub trace: Vec<String>,
}

#[derive(Clone)]
struct InFlight {
    id: usize,
    from: Actor,
    to: Actor,
    bytes: Vec<u8>,
    mutated: bool,
}

/// A run in progress.
pub(crate) struct Simulation<'a, S> {
    seed: u64,
    system: S,
    now: Micros,
    steps: usize,
    in_flight: BTreeMap<(Micros, usize), InFlight>,
    /// The number of messages scheduled so far. Messages due at the same time are delivered in this order.
    sequence: usize,
    sent_count: usize,
    link_counts: HashMap<(Actor, Actor), u64>,
    mutant: Option<Mutant<'a>>,
    /// The mutated message while it waits for the next message on its link or to its receiver.
    held_back: Option<InFlight>,
    /// The first violation and its time.
    violation: Option<(Micros, Violation)>,
    trace_enabled: bool,
    result: RunResult,
}

/// Runs a system with this seed and at most one mutation. With `trace_enabled`, the result contains a trace of the deliveries.
pub fn simulate<S: System>(seed: u64, mutant: Option<Mutant<'_>>, trace_enabled: bool) -> RunResult {
    let start = || Simulation { mutant, trace_enabled, ..Simulation::new(seed, S::start(seed)) };
    match catch_unwind(AssertUnwindSafe(start)) {
        Ok(simulation) => simulation.finish(),
        Err(_) => RunResult {
            outcome: Outcome::Panicked("the system panicked when it was started".into()),
            ..RunResult::default()
        },
    }
}

/// Returns the latency of the `nth` message on a link, or `None` if it is lost. It doesn't depend on other links, so that a mutation
/// changes as little of the run as possible.
fn latency(seed: u64, from: Actor, to: Actor, nth: u64) -> Option<Micros> {
    let mixed = seed ^ (from as u64) << 48 ^ (to as u64) << 40 ^ nth.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut random = oorandom::Rand64::new(u128::from(mixed));
    let (lost, slow) = (random.rand_range(0..100) < 2, random.rand_range(0..100) < 3);
    let max = if slow { 400_000 } else { 30_000 };
    (!lost).then(|| random.rand_range(500..max) as Micros)
}

impl<'a, S: System> Simulation<'a, S> {
    pub(crate) fn new(seed: u64, system: S) -> Self {
        let (in_flight, link_counts, result) = (BTreeMap::new(), HashMap::new(), RunResult::default());
        let (now, steps, sequence, sent_count) = (0, 0, 0, 0);
        let (mutant, held_back, violation, trace_enabled) = (None, None, None, false);
        Simulation {
            seed,
            system,
            now,
            steps,
            in_flight,
            sequence,
            sent_count,
            link_counts,
            mutant,
            held_back,
            violation,
            trace_enabled,
            result,
        }
    }

    /// Returns a copy of this run that mutates a message not sent yet; `None` if the system can't be copied.
    pub(crate) fn with_mutant<'b>(&self, mutant: Mutant<'b>) -> Option<Simulation<'b, S>> {
        Some(Simulation {
            now: self.now,
            steps: self.steps,
            in_flight: self.in_flight.clone(),
            sequence: self.sequence,
            sent_count: self.sent_count,
            link_counts: self.link_counts.clone(),
            mutant: Some(mutant),
            ..Simulation::new(self.seed, self.system.try_clone()?)
        })
    }

    /// Continues the run up to the start of this step.
    pub(crate) fn run_until(&mut self, step: usize) {
        while self.steps < step && self.step().is_ok() {}
    }

    pub(crate) fn finish(mut self) -> RunResult {
        let outcome = catch_unwind(AssertUnwindSafe(|| self.run()));
        self.result.outcome = outcome.unwrap_or_else(|panic| {
            let text = panic.downcast_ref::<String>().cloned();
            Outcome::Panicked(
                text.or(panic.downcast_ref::<&str>().map(|s| s.to_string())).unwrap_or_default(),
            )
        });
        self.result
    }

    fn run(&mut self) -> Outcome {
        // A violation by a forged message may be exempt, but a later panic is not: such a run continues to its end.
        let forged = self.mutant.is_some_and(|m| !m.change.is_network());
        while forged || self.violation.is_none() {
            match self.step() {
                Ok(()) => {}
                Err(None) => break,
                Err(Some(outcome)) => return outcome,
            }
        }
        if let Some((at, violation)) = self.violation.take() {
            return Outcome::Violated(at, violation);
        }
        match self.system.check_final_state(S::DURATION) {
            Ok(()) => Outcome::Passed,
            Err(violation) => Outcome::Violated(S::DURATION, violation),
        }
    }

    /// Performs the next step. Returns `Err(None)` at the end of the run, and an outcome where it can't continue.
    fn step(&mut self) -> Result<(), Option<Outcome>> {
        let due = self.system.next_due(self.now).max(self.now);
        let delivery = self.in_flight.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= due);
        let at = delivery.map_or(due, |key| key.0);
        if at > S::DURATION {
            return Err(None);
        }
        self.now = at;
        match delivery.and_then(|key| self.in_flight.remove(&key)) {
            Some(message) => self.deliver(message),
            None => self.system.advance(at),
        }
        if !self.collect_outgoing() {
            return Err(Some(Outcome::Diverged));
        }
        if self.violation.is_none() {
            self.violation =
                self.system.check_invariants(self.now).err().map(|violation| (self.now, violation));
        }
        self.steps += 1;
        Ok(())
    }

    fn schedule(&mut self, at: Micros, message: InFlight) {
        self.sequence += 1;
        self.in_flight.insert((at, self.sequence), message);
    }

    /// Delivers a message, and after it the held back one if that was waiting for it.
    fn deliver(&mut self, message: InFlight) {
        let reordered = self
            .mutant
            .is_some_and(|m| matches!(m.change, Change::AfterNextToReceiver | Change::AfterNextOnLink));
        if reordered && message.mutated {
            self.held_back = Some(message);
            return;
        }
        let (from, to) = (message.from, message.to);
        self.hand_over(message);
        let same_link = self.mutant.is_some_and(|m| *m.change == Change::AfterNextOnLink);
        if self.held_back.as_ref().is_some_and(|m| m.to == to && (!same_link || m.from == from)) {
            if let Some(message) = self.held_back.take() {
                self.hand_over(message);
            }
        }
    }

    /// Hands a message to its receiver, and records what the receiver does with it.
    fn hand_over(&mut self, message: InFlight) {
        let received = self.system.receive(self.now, message.from, message.to, &message.bytes);
        if self.trace_enabled
            && self.violation.is_none()
            && self.mutant.is_none_or(|m| message.id >= m.message.id)
        {
            let mark = if message.mutated { "*" } else { " " };
            let content = String::from_utf8_lossy(&message.bytes).chars().take(300).collect::<String>();
            let line =
                format!("{mark}{:>9} {}->{} {content} {received:?}", self.now, message.from, message.to);
            self.result.trace.push(line);
        }
        if message.mutated || self.mutant.is_none() {
            match received {
                Ok(()) => self.result.accepted += 1,
                Err(reason) => *self.result.rejected.entry(reason).or_default() += 1,
            }
        }
    }

    /// Records the messages sent in this step and schedules their delivery. Returns `false` if the message to mutate differs from the
    /// one in the run without mutation: the system is not deterministic.
    fn collect_outgoing(&mut self) -> bool {
        for message in self.system.take_outgoing() {
            let id = self.sent_count;
            self.sent_count += 1;
            let nth = self.link_counts.entry((message.from, message.to)).or_default();
            *nth += 1;
            let delivered_at = latency(self.seed, message.from, message.to, *nth).map(|l| self.now + l);
            if self.mutant.is_none() {
                let incarnations =
                    (self.system.incarnation(message.from), self.system.incarnation(message.to));
                self.result.messages.push(MessageRecord {
                    id,
                    message: message.clone(),
                    incarnations,
                    sent_at: self.now,
                    step: self.steps,
                    delivered_at,
                });
            }
            let mutant = self.mutant.filter(|m| m.message.id == id);
            if mutant.is_some_and(|m| m.message.message != message || m.message.delivered_at != delivered_at)
            {
                return false;
            }
            let Some(at) = delivered_at else { continue };
            let in_flight = InFlight {
                id,
                from: message.from,
                to: message.to,
                bytes: message.bytes,
                mutated: mutant.is_some(),
            };
            match mutant {
                None => self.schedule(at, in_flight),
                Some(m) => self.schedule_mutated(at, in_flight, m.change),
            }
        }
        true
    }

    fn schedule_mutated(&mut self, at: Micros, message: InFlight, change: &Change) {
        let copy = |bytes: &[u8]| InFlight { bytes: bytes.to_vec(), ..message };
        match change {
            Change::Dropped => {}
            Change::Duplicated(after) => {
                let duplicate = copy(&message.bytes);
                self.schedule(at, InFlight { mutated: false, ..message });
                self.schedule(at + after, duplicate);
            }
            Change::Delayed(by) => self.schedule(at + by, message),
            Change::AfterNextToReceiver | Change::AfterNextOnLink => self.schedule(at, message),
            Change::SenderReplaced(from) => self.schedule(at, InFlight { from: *from, ..message }),
            Change::Replayed(earlier) => {
                let earlier = copy(earlier);
                self.schedule(at, InFlight { mutated: false, ..message });
                self.schedule(at, earlier);
            }
            content => {
                let bytes = content.apply(&message.bytes, S::ENCODING);
                self.schedule(at, InFlight { bytes, ..message });
            }
        }
    }
}
