//! Membership of the fleet, without I/O: which processes are alive, suspected, gone or have left.
//!
//! [`Membership`] is one member's view. Hand in the datagrams that it receives and the time, on a steady clock of the caller's, and
//! send what [`Membership::effects`] returns.
//!
//! The protocol is SWIM ("SWIM: Scalable weakly-consistent infection-style process group membership protocol", Das, Gupta and
//! Motivala), as the library `foca` has it. This module keeps the timers, distinguishes members that left from those that are gone,
//! and gives a member that was declared dead a greater incarnation, so that it is recognized again.
//!
//! What is known here is a hint, never a permission: a member that seems dead may only be cut off, and a lease that it has ends by
//! its own time alone.

#![warn(
    clippy::cognitive_complexity,
    clippy::fn_params_excessive_bools,
    clippy::match_bool,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::wildcard_imports
)]

use foca::{
    BroadcastHandler, Config, Foca, Identity, Invalidates, PeriodicParams, PostcardCodec, State, Timer,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::num::{NonZeroU32, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

pub use shorepath_types::Micros;

/// A listed member that is not known yet is announced to this often, one after another. Guards against groups that each know only
/// themselves.
const ANNOUNCE_INTERVAL: Micros = 500_000;
/// Members that are down are announced to this often: after a partition each side takes the other for gone, and one has to try
/// again soon.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(5);
/// What a member that was declared dead adds to its incarnation. Incarnations begin as the time of the start in microseconds, so
/// this covers a clock that was set back by twelve days at once; one set back further is declared dead and adds it again.
const INCARNATION_STEP: u64 = 1 << 40;
/// The largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// One incarnation of a member, as it identifies itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its number, the same in all its incarnations.
    pub node: u32,
    /// Grows from one start to the next, and whenever the member has to refute that it is dead.
    pub incarnation: u64,
}

impl Identity for Peer {
    type Addr = u32;

    fn renew(&self) -> Option<Self> {
        Some(Peer { incarnation: self.incarnation.saturating_add(INCARNATION_STEP), ..*self })
    }

    fn addr(&self) -> u32 {
        self.node
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
    }
}

/// The state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not answered another member, and has not refuted that yet.
    Suspect,
    /// It has announced that it leaves.
    Left,
    /// It has not refuted the suspicion in time.
    Gone,
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its incarnation.
    pub peer: Peer,
    /// Its state.
    pub state: MemberState,
    /// Since when, on the caller's clock.
    pub since: Micros,
}

/// What the caller is to do or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram to a member; it may be lost.
    Outgoing {
        /// The member's number.
        to: u32,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// The state of a member has changed.
    Changed(Member),
}

/// Why a datagram was ignored.
#[derive(Debug, thiserror::Error)]
#[error("not a membership message: {0}")]
pub struct ReceiveError(String);

/// The announcement that an incarnation has left, gossiped along with other messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Leaving(Peer);

impl Invalidates for Leaving {
    fn invalidates(&self, other: &Self) -> bool {
        self.0.node == other.0.node && self.0.incarnation >= other.0.incarnation
    }
}

/// The newest incarnation of each member that has left. Shared with the library, which owns its broadcast handler.
#[derive(Clone, Debug, Default)]
struct Departures(Rc<RefCell<BTreeMap<u32, u64>>>);

impl BroadcastHandler<Peer> for Departures {
    type Key = Leaving;
    type Error = postcard::Error;

    fn receive_item(&mut self, data: &[u8], _: Option<&Peer>) -> Result<Option<Leaving>, postcard::Error> {
        let leaving: Leaving = postcard::from_bytes(data)?;
        let mut departures = self.0.borrow_mut();
        let known = departures.entry(leaving.0.node).or_default();
        let is_new = leaving.0.incarnation > *known;
        *known = (*known).max(leaving.0.incarnation);
        Ok(is_new.then_some(leaving))
    }
}

/// What foca asks for while it is called.
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

type Swim = Foca<Peer, PostcardCodec, SmallRng, Departures>;

/// Announcements to listed members that are not known yet.
#[derive(Clone, Copy, Debug)]
struct Announcements {
    /// Position in the list of the member to begin with.
    position: usize,
    /// When the next one is due.
    due: Micros,
}

/// One member's view of the fleet.
pub struct Membership {
    swim: Swim,
    departures: Departures,
    /// Timers of foca, by time and in the order in which they were set.
    timers: BTreeMap<(Micros, u64), Timer<Peer>>,
    /// Timers set so far.
    timer_count: u64,
    known: BTreeMap<u32, Member>,
    /// The numbers of all other members, as they are listed.
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
    /// The view of the member `me` among those others. `seed` is for its random choices.
    pub fn new(me: Peer, others: Vec<u32>, seed: u64, now: Micros) -> Membership {
        let size = others.len() as u32 + 1;
        let rng = SmallRng::seed_from_u64(seed);
        let departures = Departures::default();
        let swim = Foca::with_custom_broadcast(me, config(size), rng, PostcardCodec, departures.clone());
        let position = seed as usize % others.len().max(1);
        Membership {
            swim,
            departures,
            timers: BTreeMap::new(),
            timer_count: 0,
            known: BTreeMap::new(),
            others,
            announcements: Announcements { position, due: now },
            has_left: false,
            effects: Vec::new(),
        }
    }

    /// This member, with its present incarnation.
    pub fn me(&self) -> Peer {
        *self.swim.identity()
    }

    /// A datagram of another member has come.
    ///
    /// # Errors
    /// It can't be read; nothing has changed then.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), ReceiveError> {
        if self.has_left {
            return Ok(());
        }
        let received = self.call(now, |swim, requested| swim.handle_data(bytes, requested));
        received.map_err(|e| ReceiveError(e.to_string()))
    }

    /// Time has passed. After a stall the member catches up with its timers in their order.
    pub fn advance(&mut self, now: Micros) {
        if self.has_left {
            return;
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // foca reports a timer that is obsolete as an error; it is over then.
            let _ = self.call(now, |swim, requested| swim.handle_timer(timer, requested));
        }
        if now >= self.announcements.due {
            self.announce(now);
        }
    }

    /// Announce this member to the next listed one that is not known yet.
    fn announce(&mut self, now: Micros) {
        let (from, count) = (self.announcements.position, self.others.len());
        let mut positions = (0..count).map(|k| (from + k) % count);
        let unknown = positions.find(|k| !self.known.contains_key(&self.others[*k]));
        let position = unknown.map_or(from, |k| k + 1);
        self.announcements = Announcements { position, due: now + ANNOUNCE_INTERVAL };
        if let Some(k) = unknown {
            // Whatever incarnation it has, it answers to its number.
            let to = Peer { node: self.others[k], incarnation: 0 };
            let _ = self.call(now, |swim, requested| swim.announce(to, requested));
        }
    }

    /// When [`Membership::pass`] has something to do next.
    pub fn due(&self) -> Option<Micros> {
        let timer = self.timers.first_key_value().map(|(key, _)| key.0);
        let announcement = (self.known.len() < self.others.len()).then_some(self.announcements.due);
        timer.into_iter().chain(announcement).min().filter(|_| !self.has_left)
    }

    /// Announce that this member leaves; it sends nothing more afterwards.
    pub fn leave(&mut self, now: Micros) {
        let leaving = postcard::to_allocvec(&Leaving(self.me())).ok();
        // It fails where nobody is known, who need not know then.
        let _ = self.call(now, |swim, requested| {
            if let Some(leaving) = &leaving {
                swim.add_broadcast(leaving)?;
            }
            swim.leave_cluster(requested)
        });
        self.has_left = true;
        self.timers.clear();
    }

    /// What the caller is to do, since this was last called.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// All other members that were ever known, in the order of their numbers.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.known.values().copied()
    }

    /// The state of a member, if it was ever known.
    pub fn state(&self, node: u32) -> Option<MemberState> {
        self.known.get(&node).map(|member| member.state)
    }

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

    /// Bring what is known up to date with foca.
    fn update_known(&mut self, now: Micros) {
        let me = self.swim.identity().node;
        let others = self.swim.iter_membership_state().filter(|member| member.id().node != me);
        let states: Vec<(Peer, MemberState)> =
            others.map(|member| (*member.id(), self.state_of(*member.id(), member.state()))).collect();
        for (peer, state) in states {
            let known = self.known.get(&peer.node);
            if known.is_none_or(|known| known.peer != peer || known.state != state) {
                let member = Member { peer, state, since: now };
                self.known.insert(peer.node, member);
                self.effects.push(Effect::Changed(member));
            }
        }
    }

    fn state_of(&self, peer: Peer, state: State) -> MemberState {
        let departures = self.departures.0.borrow();
        let is_departed = departures.get(&peer.node).is_some_and(|left| *left >= peer.incarnation);
        match state {
            State::Alive => MemberState::Alive,
            State::Suspect => MemberState::Suspect,
            State::Down if is_departed => MemberState::Left,
            State::Down => MemberState::Gone,
        }
    }
}
