//! Cluster membership without I/O: detects which processes are alive, suspected, failed or have left.
//!
//! [`Membership`] is the view of one member. The caller passes in received datagrams and the time of a monotonic clock, and
//! sends the datagrams that [`Membership::take_effects`] returns.
//!
//! The protocol is SWIM ("SWIM: Scalable weakly-consistent infection-style process group membership protocol", Das, Gupta and
//! Motivala), as implemented by the library `foca`. This crate keeps foca's timers, distinguishes members that left from members
//! that failed, and gives a member that was declared dead a greater incarnation, so that it can join again.
//!
//! Membership is only a hint: a member that seems dead may still be running. It may be excluded from new work, but a lease that it
//! holds ends only when it expires.

#![warn(
    clippy::cognitive_complexity,
    clippy::fn_params_excessive_bools,
    clippy::match_bool,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]

mod admission;

use admission::{Admission, AdmittingCodec};
use foca::{BroadcastHandler, Config, Foca, Identity, Invalidates, PeriodicParams, State, Timer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::num::{NonZeroU32, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

pub use shorepath_types::Micros;

/// Interval, in microseconds, between announcements to configured members that were not discovered yet. Guards against separate
/// groups that never discover each other.
const ANNOUNCE_INTERVAL: Micros = 500_000;
/// Interval between announcements to members that are down. After a network partition each side considers the other failed, so
/// one side has to contact the other to merge them again.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(5);
/// Increment of the incarnation of a member that was declared dead. An incarnation starts as the start time in microseconds, so
/// one increment covers a clock that was set back by up to twelve days; after a larger step the increment is applied repeatedly.
const REFUTATION_INCARNATION_STEP: u64 = 1 << 40;
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The identity of a member: its number and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The number of the member, the same in all its incarnations.
    pub node: u32,
    /// Increases with each start, and whenever the member refutes that it is dead.
    pub incarnation: u64,
}

impl Identity for Peer {
    type Addr = u32;

    fn renew(&self) -> Option<Self> {
        Some(Peer { incarnation: self.incarnation.saturating_add(REFUTATION_INCARNATION_STEP), ..*self })
    }

    fn addr(&self) -> u32 {
        self.node
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
    }
}

/// The result of failure detection for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member responds to probes.
    Alive,
    /// The member did not respond to a probe and has not refuted the suspicion yet.
    Suspect,
    /// The member announced that it is leaving.
    Left,
    /// The member failed: it did not refute the suspicion in time.
    Gone,
}

/// A member as seen by another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's number and its latest known incarnation.
    pub peer: Peer,
    /// Whether the member is alive, suspected, failed or has left.
    pub state: MemberState,
    /// When the member entered this state, in microseconds of the caller's clock.
    pub since: Micros,
}

/// A datagram to send or an event to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A datagram to be sent to a member; delivery need not be reliable.
    Outgoing {
        /// The number of the receiving member.
        to: u32,
        /// The payload of the datagram.
        bytes: Vec<u8>,
    },
    /// The state of a member has changed.
    Changed(Member),
}

/// A datagram that could not be decoded and was ignored.
#[derive(Debug, thiserror::Error)]
#[error(
    "the datagram is not a membership message: {0}; check that all nodes of the fleet run the same version"
)]
pub struct ReceiveError(String);

/// The announcement that an incarnation is leaving, broadcast along with other messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Leaving(Peer);

impl Invalidates for Leaving {
    fn invalidates(&self, other: &Self) -> bool {
        self.0.node == other.0.node && self.0.incarnation >= other.0.incarnation
    }
}

/// The latest incarnation of each member that has left. Shared with foca, which owns the broadcast handler.
#[derive(Clone, Debug, Default)]
struct Departures {
    incarnations: Rc<RefCell<BTreeMap<u32, u64>>>,
    admission: Admission,
}

impl BroadcastHandler<Peer> for Departures {
    type Key = Leaving;
    type Error = postcard::Error;

    fn receive_item(&mut self, data: &[u8], _: Option<&Peer>) -> Result<Option<Leaving>, postcard::Error> {
        let leaving: Leaving = postcard::from_bytes(data)?;
        if !self.admission.admits(leaving.0.node) {
            return Ok(None);
        }
        let mut departures = self.incarnations.borrow_mut();
        let known = departures.entry(leaving.0.node).or_default();
        let is_new = leaving.0.incarnation > *known;
        *known = (*known).max(leaving.0.incarnation);
        Ok(is_new.then_some(leaving))
    }
}

/// The datagrams and timers that foca requests during a call.
#[derive(Default)]
struct Requested {
    datagrams: Vec<(u32, Vec<u8>)>,
    timers: Vec<(Duration, Timer<Peer>)>,
}

impl foca::Runtime<Peer> for &mut Requested {
    fn notify(&mut self, _: foca::Notification<'_, Peer>) {}

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.datagrams.push((to.node, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<Peer>, after: Duration) {
        self.timers.push((after, timer));
    }
}

type Swim = Foca<Peer, AdmittingCodec, SmallRng, Departures>;

/// The state of announcements to configured members that were not discovered yet.
#[derive(Clone, Copy, Debug)]
struct Announcements {
    /// Index in `others` of the first member to consider next.
    position: usize,
    /// Time of the next announcement.
    due: Micros,
}

/// One member's view of the fleet.
pub struct Membership {
    swim: Swim,
    departures: Departures,
    admission: Admission,
    /// Timers of foca by their expiry time, and then in the order in which they were set.
    timers: BTreeMap<(Micros, u64), Timer<Peer>>,
    timer_count: u64,
    known: BTreeMap<u32, Member>,
    /// The numbers of all other configured members.
    others: Vec<u32>,
    announcements: Announcements,
    has_left: bool,
    effects: Vec<Effect>,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership").field("me", self.swim.identity()).field("known", &self.known).finish()
    }
}

fn config(size: u32) -> Config {
    let size = NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN);
    let two = NonZeroUsize::MIN.saturating_add(1);
    Config {
        max_packet_size: NonZeroUsize::new(MAX_DATAGRAM_BYTES).unwrap_or(two),
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ANNOUNCE_TO_DOWN_INTERVAL,
            num_members: two,
        }),
        ..Config::new_lan(size)
    }
}

impl Membership {
    /// Creates the view of the member `me`. `others` are the numbers of all other members, `seed` seeds the random number
    /// generator, and `now` is the time in microseconds.
    pub fn new(me: Peer, others: Vec<u32>, seed: u64, now: Micros) -> Membership {
        let size = others.len() as u32 + 1;
        let rng = SmallRng::seed_from_u64(seed);
        let admission = Admission::default();
        admission.set_listed(others.iter().copied().chain([me.node]));
        let departures = Departures { admission: admission.clone(), ..Departures::default() };
        let codec = AdmittingCodec(admission.clone());
        let swim = Foca::with_custom_broadcast(me, config(size), rng, codec, departures.clone());
        let position = seed as usize % others.len().max(1);
        Membership {
            swim,
            departures,
            admission,
            timers: BTreeMap::new(),
            timer_count: 0,
            known: BTreeMap::new(),
            others,
            announcements: Announcements { position, due: now },
            has_left: false,
            effects: Vec::new(),
        }
    }

    /// Returns the identity of this member, with its current incarnation.
    pub fn me(&self) -> Peer {
        *self.swim.identity()
    }

    /// Replaces the numbers of all other configured members.
    pub fn set_others(&mut self, others: Vec<u32>) {
        self.admission.set_listed(others.iter().copied().chain([self.me().node]));
        self.others = others;
        self.forget_unlisted();
    }

    /// Handles a datagram from another member.
    ///
    /// # Errors
    /// The datagram can't be decoded, or names further members that are not configured while many of these are known. The membership is unchanged then.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), ReceiveError> {
        if self.has_left {
            return Ok(());
        }
        let received = self.call(now, |swim, requested| swim.handle_data(bytes, requested));
        received.map_err(|e| ReceiveError(e.to_string()))
    }

    /// Runs all timers that have expired, in their order, also those that were missed during a pause of the process.
    pub fn advance(&mut self, now: Micros) {
        if self.has_left {
            return;
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // foca returns an error for an obsolete timer, which needs no further handling.
            let _ = self.call(now, |swim, requested| swim.handle_timer(timer, requested));
        }
        if now >= self.announcements.due {
            self.announce(now);
        }
    }

    /// Announces this member to the next configured member that was not discovered yet.
    fn announce(&mut self, now: Micros) {
        let (from, count) = (self.announcements.position, self.others.len());
        let mut positions = (0..count).map(|k| (from + k) % count);
        let unknown = positions.find(|k| !self.known.contains_key(&self.others[*k]));
        let position = unknown.map_or(from, |k| k + 1);
        self.announcements = Announcements { position, due: now + ANNOUNCE_INTERVAL };
        if let Some(k) = unknown {
            // An announcement is accepted by any incarnation of the receiver.
            let to = Peer { node: self.others[k], incarnation: 0 };
            let _ = self.call(now, |swim, requested| swim.announce(to, requested));
        }
    }

    /// Returns the time at which [`Membership::advance`] has to be called next, or `None` if nothing is scheduled.
    pub fn due(&self) -> Option<Micros> {
        let timer = self.timers.first_key_value().map(|(key, _)| key.0);
        let announcement = (self.known.len() < self.others.len()).then_some(self.announcements.due);
        timer.into_iter().chain(announcement).min().filter(|_| !self.has_left)
    }

    /// Announces that this member is leaving. Afterwards it ignores datagrams and sends none.
    pub fn leave(&mut self, now: Micros) {
        let leaving = postcard::to_allocvec(&Leaving(self.me())).ok();
        // Leaving fails if no other member is known; there is nobody to notify then.
        let _ = self.call(now, |swim, requested| {
            if let Some(leaving) = &leaving {
                swim.add_broadcast(leaving)?;
            }
            swim.leave_cluster(requested)
        });
        self.has_left = true;
        self.timers.clear();
    }

    /// Returns and clears the datagrams to send and the changes of state since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns all other configured members that were ever discovered, and others until a day after they failed or left, in the order of
    /// their numbers.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.known.values().copied()
    }

    /// Returns the state of a member, or `None` if it was never discovered.
    pub fn state(&self, node: u32) -> Option<MemberState> {
        self.known.get(&node).map(|member| member.state)
    }

    /// Calls foca, and records the timers, datagrams and changes of state that follow.
    fn call(
        &mut self,
        now: Micros,
        call: impl FnOnce(&mut Swim, &mut Requested) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let mut requested = Requested::default();
        let result = call(&mut self.swim, &mut requested);
        for (after, timer) in requested.timers {
            self.timer_count += 1;
            self.timers.insert((now + after.as_micros() as Micros, self.timer_count), timer);
        }
        let datagrams = requested.datagrams.into_iter();
        self.effects.extend(datagrams.map(|(to, bytes)| Effect::Outgoing { to, bytes }));
        self.update_known(now);
        result
    }

    /// Updates `known` from foca's membership list, and records each change as an effect.
    fn update_known(&mut self, now: Micros) {
        let me = self.swim.identity().node;
        let others = self.swim.iter_membership_state().filter(|member| member.id().node != me);
        let states: Vec<(Peer, MemberState)> =
            others.map(|member| (*member.id(), self.member_state(*member.id(), member.state()))).collect();
        for (peer, state) in states {
            let known = self.known.get(&peer.node);
            if known.is_none_or(|known| known.peer != peer || known.state != state) {
                let member = Member { peer, state, since: now };
                self.known.insert(peer.node, member);
                self.effects.push(Effect::Changed(member));
            }
        }
        if self.admission.has_unlisted() {
            self.forget_unlisted();
        }
    }

    /// Drops what is kept of members that are neither configured nor in foca's membership list.
    fn forget_unlisted(&mut self) {
        let listed_by_foca: BTreeSet<u32> =
            self.swim.iter_membership_state().map(|member| member.id().node).collect();
        let admission = &self.admission;
        let is_kept = |number: &u32| admission.is_listed(*number) || listed_by_foca.contains(number);
        self.known.retain(|number, _| is_kept(number));
        self.departures.incarnations.borrow_mut().retain(|number, _| is_kept(number));
        admission.set_known(listed_by_foca.iter().copied());
    }

    fn member_state(&self, peer: Peer, state: State) -> MemberState {
        let departures = self.departures.incarnations.borrow();
        let is_departed = departures.get(&peer.node).is_some_and(|left| *left >= peer.incarnation);
        match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down if is_departed => MemberState::Left,
            State::Down => MemberState::Gone,
        }
    }
}
