//! A simulated system of processes of one type, with a schedule of faults. The usual way to add a system.
//!
//! Implement [`Process`] around a core without I/O, and [`Scenario`] with the actors, the scheduled actions and the checks.
//! `tests/custom_scenario.rs` has a complete example. [`parse_json`] reads a JSON message, `serde_json` writes one; where a core reports
//! why it rejects a message, [`Process::receive`] returns that reason as its error.

use crate::change::{Change, Encoding};
use crate::simulation::{Actor, SentMessage, System, Violation};
use crate::Micros;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::marker::PhantomData;

/// The process of an actor, from its start until it is killed.
pub trait Process {
    /// Receives a message.
    ///
    /// # Errors
    /// Returns why the message was rejected, in a text without values that differ from message to message.
    fn receive(&mut self, now: Micros, from: Actor, bytes: &[u8]) -> Result<(), String>;

    /// Performs everything that is due at `now`.
    fn advance(&mut self, now: Micros);

    /// Returns when [`Process::advance`] has to be called next, or `None` if only a message or an action can cause more work.
    fn next_due(&self) -> Option<Micros>;

    /// Returns the messages sent since the last call, each with its receiver.
    fn take_outgoing(&mut self) -> Vec<(Actor, Vec<u8>)>;

    /// Performs the scheduled command of this number, see [`Action::Perform`].
    fn perform(&mut self, _now: Micros, _command: u32) {}

    /// Returns a copy of the process, if it can be copied; see [`System::try_clone`].
    fn try_clone(&self) -> Option<Self>
    where
        Self: Sized,
    {
        None
    }
}

/// Reads a JSON message.
///
/// # Errors
/// Returns a fixed reason if `bytes` are not a message of this type.
pub fn parse_json<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, String> {
    serde_json::from_slice(bytes).map_err(|_| "unreadable message".to_string())
}

/// A scheduled action on an actor or a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Kills the process of the actor.
    Kill(Actor),
    /// Starts a new incarnation of the actor, see [`Scenario::restart`].
    Start(Actor),
    /// Begins (`true`) or ends (`false`) the loss of all messages from the first actor to the second.
    Partition(Actor, Actor, bool),
    /// Pauses (`true`) or resumes (`false`) the process; messages to it wait meanwhile.
    Pause(Actor, bool),
    /// Has the process, if it runs, perform the command of this number.
    Perform(Actor, u32),
}

/// The actors of a system, the actions on them, and the checks.
pub trait Scenario {
    /// The process of every actor.
    type Process: Process;
    /// The name of the system in reports and on the command line.
    const NAME: &'static str;
    /// The encoding of all messages between the processes.
    const ENCODING: Encoding;
    /// The virtual time at which a run ends.
    const DURATION: Micros;
    /// Additional delays of mutated messages: longer than half a lease term, than a lease term, and than an incarnation.
    const DELAYS: [Micros; 3];
    /// The time within which the system recovers from a mutated message. Later messages of a run are not mutated.
    const SETTLE_TIME: Micros;
    /// Whether the processes implement [`Process::try_clone`]; see [`System::CLONEABLE`].
    const CLONEABLE: bool = false;
    /// The number of actors.
    const ACTOR_COUNT: usize;

    /// Starts an actor without stored data; `incarnation` counts from 1.
    fn start(seed: u64, actor: Actor, incarnation: u64, now: Micros) -> Self::Process;

    /// Starts a further incarnation of an actor. `_last` is the killed process, from which only what was on its disk may be used.
    fn restart(
        seed: u64,
        actor: Actor,
        incarnation: u64,
        now: Micros,
        _last: Option<Self::Process>,
    ) -> Self::Process {
        Self::start(seed, actor, incarnation, now)
    }

    /// Returns the number by which messages name an incarnation, so that a mutation can replace it by that of an earlier one.
    fn wire_incarnation(incarnation: u64) -> u64 {
        incarnation
    }

    /// Returns the scheduled actions in the order of their times.
    fn actions(seed: u64) -> Vec<(Micros, Action)>;

    /// Checks what must hold after every step; a process that is down is `None`.
    ///
    /// # Errors
    /// Returns the first violation.
    fn check_invariants(processes: &[Option<Self::Process>], now: Micros) -> Result<(), Violation>;

    /// Checks what must hold at the end of a run.
    ///
    /// # Errors
    /// Returns the first violation.
    fn check_final_state(processes: &[Option<Self::Process>], now: Micros) -> Result<(), Violation>;

    /// Returns why a forged message may cause this violation, or `None` if the violation is a failure; see
    /// [`System::forgery_exemption`].
    fn forgery_exemption(_message: &[u8], _change: &Change, _violation: &Violation) -> Option<&'static str> {
        None
    }
}

/// The system that runs a scenario.
pub struct ScenarioSystem<S: Scenario> {
    seed: u64,
    processes: Vec<Option<S::Process>>,
    incarnations: Vec<u64>,
    actions: VecDeque<(Micros, Action)>,
    /// Killed processes, by actor.
    last: Vec<Option<S::Process>>,
    partitions: BTreeSet<(Actor, Actor)>,
    /// Messages that wait for a paused process, with their senders.
    paused: BTreeMap<Actor, Vec<(Actor, Vec<u8>)>>,
    outgoing: Vec<SentMessage>,
    scenario: PhantomData<S>,
}

impl<S: Scenario> ScenarioSystem<S> {
    fn collect_outgoing(&mut self, actor: Actor) {
        let Some(Some(process)) = self.processes.get_mut(actor) else { return };
        let partitions = &self.partitions;
        let messages = process.take_outgoing().into_iter();
        let messages = messages.filter(|(to, _)| *to < S::ACTOR_COUNT && !partitions.contains(&(actor, *to)));
        self.outgoing.extend(messages.map(|(to, bytes)| SentMessage { from: actor, to, bytes }));
    }

    fn start_incarnation(&mut self, actor: Actor, now: Micros) {
        self.incarnations[actor] += 1;
        let incarnation = self.incarnations[actor];
        let process = match incarnation {
            1 => S::start(self.seed, actor, incarnation, now),
            _ => S::restart(self.seed, actor, incarnation, now, self.last[actor].take()),
        };
        self.processes[actor] = Some(process);
    }

    fn apply_action(&mut self, action: Action, now: Micros) {
        match action {
            Action::Kill(actor) => self.last[actor] = self.processes[actor].take(),
            Action::Start(actor) => self.start_incarnation(actor, now),
            Action::Partition(from, to, true) => drop(self.partitions.insert((from, to))),
            Action::Partition(from, to, false) => drop(self.partitions.remove(&(from, to))),
            Action::Pause(actor, true) => drop(self.paused.insert(actor, Vec::new())),
            Action::Pause(actor, false) => {
                for (from, bytes) in self.paused.remove(&actor).unwrap_or_default() {
                    // The message was counted as accepted when it arrived; a later rejection is not counted.
                    drop(self.receive(now, from, actor, &bytes));
                }
            }
            Action::Perform(actor, command) => {
                self.processes[actor].iter_mut().for_each(|process| process.perform(now, command));
                self.collect_outgoing(actor);
            }
        }
    }
}

impl<S: Scenario> System for ScenarioSystem<S> {
    const NAME: &'static str = S::NAME;
    const ENCODING: Encoding = S::ENCODING;
    const DURATION: Micros = S::DURATION;
    const DELAYS: [Micros; 3] = S::DELAYS;
    const SETTLE_TIME: Micros = S::SETTLE_TIME;
    const CLONEABLE: bool = S::CLONEABLE;

    fn start(seed: u64) -> Self {
        let all_down = || (0..S::ACTOR_COUNT).map(|_| None).collect();
        let (processes, last, incarnations) = (all_down(), all_down(), vec![0; S::ACTOR_COUNT]);
        let (actions, outgoing) = (S::actions(seed).into(), Vec::new());
        let (partitions, paused, scenario) = (BTreeSet::new(), BTreeMap::new(), PhantomData);
        let mut system = ScenarioSystem {
            seed,
            processes,
            incarnations,
            actions,
            last,
            partitions,
            paused,
            outgoing,
            scenario,
        };
        (0..S::ACTOR_COUNT).for_each(|actor| system.start_incarnation(actor, 0));
        system
    }

    fn try_clone(&self) -> Option<Self> {
        let clone_all = |processes: &[Option<S::Process>]| {
            let copies = processes.iter().map(|p| p.as_ref().map_or(Some(None), |p| p.try_clone().map(Some)));
            copies.collect::<Option<Vec<_>>>()
        };
        Some(ScenarioSystem {
            seed: self.seed,
            processes: clone_all(&self.processes)?,
            incarnations: self.incarnations.clone(),
            actions: self.actions.clone(),
            last: clone_all(&self.last)?,
            partitions: self.partitions.clone(),
            paused: self.paused.clone(),
            outgoing: self.outgoing.clone(),
            scenario: PhantomData,
        })
    }

    fn actor_count(&self) -> usize {
        S::ACTOR_COUNT
    }

    fn incarnation(&self, actor: Actor) -> u64 {
        match (self.processes.get(actor), self.incarnations.get(actor)) {
            (Some(Some(_)), Some(incarnation)) => S::wire_incarnation(*incarnation),
            _ => 0,
        }
    }

    fn receive(&mut self, now: Micros, from: Actor, to: Actor, bytes: &[u8]) -> Result<(), String> {
        if let Some(waiting) = self.paused.get_mut(&to) {
            waiting.push((from, bytes.to_vec()));
            return Ok(());
        }
        let Some(Some(process)) = self.processes.get_mut(to) else { return Err("receiver is down".into()) };
        let received = process.receive(now, from, bytes);
        self.collect_outgoing(to);
        received
    }

    fn next_due(&self, now: Micros) -> Micros {
        let running = self.processes.iter().enumerate().filter(|(a, _)| !self.paused.contains_key(a));
        let processes = running.filter_map(|(_, p)| p.as_ref()?.next_due());
        processes.chain(self.actions.front().map(|a| a.0)).min().unwrap_or(S::DURATION + 1).max(now)
    }

    fn advance(&mut self, now: Micros) {
        while let Some((_, action)) = self.actions.front().copied().filter(|a| a.0 <= now) {
            self.actions.pop_front();
            self.apply_action(action, now);
        }
        for actor in (0..S::ACTOR_COUNT).filter(|a| !self.paused.contains_key(a)).collect::<Vec<_>>() {
            if let Some(process) =
                self.processes[actor].as_mut().filter(|p| p.next_due().is_some_and(|at| at <= now))
            {
                process.advance(now);
                self.collect_outgoing(actor);
            }
        }
    }

    fn take_outgoing(&mut self) -> Vec<SentMessage> {
        std::mem::take(&mut self.outgoing)
    }

    fn check_invariants(&self, now: Micros) -> Result<(), Violation> {
        S::check_invariants(&self.processes, now)
    }

    fn check_final_state(&self, now: Micros) -> Result<(), Violation> {
        S::check_final_state(&self.processes, now)
    }

    fn forgery_exemption(message: &[u8], change: &Change, violation: &Violation) -> Option<&'static str> {
        S::forgery_exemption(message, change, violation)
    }
}
