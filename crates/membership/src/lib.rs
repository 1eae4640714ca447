//! Who is in the fleet, choices only: no sockets, no clock, no randomness of its own.
//!
//! The protocol is SWIM ("SWIM: Scalable weakly-consistent infection-style process group membership protocol", Das, Gupta and
//! Motivala), as the library `foca` has it. This module keeps its timers on the caller's clock, tells those that left from
//! those that are gone, and gives a member that was declared dead a greater incarnation, so that it is seen again.
//!
//! What is known here is a hint, never a permission: a member that is thought dead may only be cut off, and a grant that it
//! holds ends by its own time alone.

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

/// One of those listed that were never heard of is greeted this often, in turn. Guards against groups that each know only
/// themselves.
const GREETING: Micros = 500_000;
/// What a member that was declared dead adds to its incarnation. Incarnations begin as the time of the start in microseconds, so
/// this covers a clock that was set back by twelve days at once; one set back further is declared dead and adds it again.
const JUMP: u64 = 1 << 40;
/// Datagrams hold this much at most, in bytes.
pub const LARGEST: usize = 1_200;

/// One life of a member, as it calls itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its number, the same in all its lives.
    pub node: u32,
    /// Grows from one life to the next, and whenever it has to contradict its death.
    pub incarnation: u64,
}

impl Identity for Peer {
    type Addr = u32;

    fn renew(&self) -> Option<Self> {
        Some(Peer { incarnation: self.incarnation.saturating_add(JUMP), ..*self })
    }

    fn addr(&self) -> u32 {
        self.node
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        self.incarnation > other.incarnation
    }
}

/// Where a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not answered somebody, and has not contradicted that yet.
    Suspect,
    /// It has said that it leaves.
    Left,
    /// It has not contradicted the suspicion in time.
    Gone,
}

/// What is known of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which life of it.
    pub peer: Peer,
    /// Where it stands.
    pub standing: MemberState,
    /// Since when, on the caller's clock.
    pub since: Micros,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Say that to a member, in a datagram; it may be lost.
    Outgoing {
        /// The member's number.
        to: u32,
        /// What.
        bytes: Vec<u8>,
    },
    /// A member stands otherwise than before.
    Changed(Member),
}

/// Why something heard was passed over.
#[derive(Debug, thiserror::Error)]
#[error("no word of a member: {0}")]
pub struct ReceiveError(String);

/// That a life has left of its own will, told along with what else is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Leaving(Peer);

impl Invalidates for Leaving {
    fn invalidates(&self, other: &Self) -> bool {
        self.0.node == other.0.node && self.0.incarnation >= other.0.incarnation
    }
}

/// Those who are known to have left, the newest life of each; read beside the library, which owns its handler.
#[derive(Clone, Debug, Default)]
struct Departures(Rc<RefCell<BTreeMap<u32, u64>>>);

impl BroadcastHandler<Peer> for Departures {
    type Key = Leaving;
    type Error = postcard::Error;

    fn receive_item(&mut self, data: &[u8], _: Option<&Peer>) -> Result<Option<Leaving>, postcard::Error> {
        let leaving: Leaving = postcard::from_bytes(data)?;
        let mut all = self.0.borrow_mut();
        let known = all.entry(leaving.0.node).or_default();
        let updates = leaving.0.incarnation > *known;
        *known = (*known).max(leaving.0.incarnation);
        Ok(updates.then_some(leaving))
    }
}

/// What foca asks for while it is called.
#[derive(Default)]
struct Wants {
    outgoing: Vec<(u32, Vec<u8>)>,
    wait: Vec<(Duration, Timer<Peer>)>,
}

impl foca::Runtime<Peer> for &mut Wants {
    fn notify(&mut self, _: foca::Notification<'_, Peer>) {}

    fn send_to(&mut self, to: Peer, data: &[u8]) {
        self.outgoing.push((to.node, data.to_vec()));
    }

    fn submit_after(&mut self, timer: Timer<Peer>, after: Duration) {
        self.wait.push((after, timer));
    }
}

type Swim = Foca<Peer, PostcardCodec, SmallRng, Departures>;

/// One member's view of the fleet.
pub struct Membership {
    swim: Swim,
    departures: Departures,
    timers: BTreeMap<(Micros, u64), Timer<Peer>>,
    count: u64,
    known: BTreeMap<u32, Member>,
    others: Vec<u32>,
    /// Who is greeted next of those that were never heard of, and when.
    greets: (usize, Micros),
    left: bool,
    out: Vec<Effect>,
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
        max_packet_size: NonZeroUsize::new(LARGEST).unwrap_or(two),
        // After a partition each side holds the other for gone: somebody has to try again soon.
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(5),
            num_members: two,
        }),
        ..Config::new_lan(size)
    }
}

impl Membership {
    /// This member, among those others. `seed` is for whom it asks.
    pub fn new(me: Peer, others: Vec<u32>, seed: u64, now: Micros) -> Membership {
        let size = others.len() as u32 + 1;
        let rng = SmallRng::seed_from_u64(seed);
        let departures = Departures::default();
        let swim = Foca::with_custom_broadcast(me, config(size), rng, PostcardCodec, departures.clone());
        let first = seed as usize % others.len().max(1);
        Membership {
            swim,
            departures,
            timers: BTreeMap::new(),
            count: 0,
            known: BTreeMap::new(),
            others,
            greets: (first, now),
            left: false,
            out: Vec::new(),
        }
    }

    /// This member as it calls itself now.
    pub fn me(&self) -> Peer {
        *self.swim.identity()
    }

    /// Something was heard from another member.
    ///
    /// # Errors
    /// Where it makes no sense; nothing has changed then.
    pub fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), ReceiveError> {
        if self.left {
            return Ok(());
        }
        let received = self.call(now, |swim, wants| swim.handle_data(bytes, wants));
        received.map_err(|e| ReceiveError(e.to_string()))
    }

    /// Time has passed. One that stood still meanwhile catches up with what was due in its order.
    pub fn pass(&mut self, now: Micros) {
        if self.left {
            return;
        }
        while let Some(entry) = self.timers.first_entry().filter(|e| e.key().0 <= now) {
            let timer = entry.remove();
            // A timer that no longer means anything is told as an error, and is over.
            let _ = self.call(now, |swim, wants| swim.handle_timer(timer, wants));
        }
        if now >= self.greets.1 {
            let (from, n) = (self.greets.0, self.others.len());
            let unknown = (0..n).map(|k| (from + k) % n).find(|k| !self.known.contains_key(&self.others[*k]));
            self.greets = (unknown.map_or(from, |k| k + 1), now + GREETING);
            if let Some(k) = unknown {
                // Whatever life it has, it answers to its number.
                let to = Peer { node: self.others[k], incarnation: 0 };
                let _ = self.call(now, |swim, wants| swim.announce(to, wants));
            }
        }
    }

    /// When [`Membership::pass`] has something to do next.
    pub fn due(&self) -> Option<Micros> {
        let timer = self.timers.first_key_value().map(|(key, _)| key.0);
        let greets = (self.known.len() < self.others.len()).then_some(self.greets.1);
        timer.into_iter().chain(greets).min().filter(|_| !self.left)
    }

    /// Say that this member leaves; it says nothing more afterwards.
    pub fn leave(&mut self, now: Micros) {
        let me = Leaving(self.me());
        let notified = postcard::to_allocvec(&me).ok();
        // Nothing to tell where nobody is known.
        let _ = self.call(now, |swim, wants| {
            if let Some(notified) = &notified {
                swim.add_broadcast(notified)?;
            }
            swim.leave_cluster(wants)
        });
        self.left = true;
        self.timers.clear();
    }

    /// What is to be done, since this was last asked.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }

    /// All members that were ever heard of, in the order of their numbers; not this one.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        self.known.values().copied()
    }

    /// Where a member stands, if it was ever heard of.
    pub fn standing(&self, node: u32) -> Option<MemberState> {
        self.known.get(&node).map(|m| m.standing)
    }

    fn call(
        &mut self,
        now: Micros,
        what: impl FnOnce(&mut Swim, &mut Wants) -> Result<(), foca::Error>,
    ) -> Result<(), foca::Error> {
        let mut wants = Wants::default();
        let done = what(&mut self.swim, &mut wants);
        for (after, timer) in wants.wait {
            self.count += 1;
            self.timers.insert((now + after.as_micros() as Micros, self.count), timer);
        }
        self.out.extend(wants.outgoing.into_iter().map(|(to, bytes)| Effect::Outgoing { to, bytes }));
        self.look(now);
        done
    }

    /// Bring what is known up to date with what foca holds.
    fn look(&mut self, now: Micros) {
        let me = self.swim.identity().node;
        let left = self.departures.0.borrow();
        let mut updates = Vec::new();
        for member in self.swim.iter_membership_state().filter(|m| m.id().node != me) {
            let (peer, state) = (*member.id(), member.state());
            let gone = if left.get(&peer.node).is_some_and(|l| *l >= peer.incarnation) {
                MemberState::Left
            } else {
                MemberState::Gone
            };
            let standing = match state {
                State::Alive => MemberState::Alive,
                State::Suspect => MemberState::Suspect,
                State::Down => gone,
            };
            let known = self.known.get(&peer.node);
            if known.is_none_or(|k| k.peer != peer || k.standing != standing) {
                updates.push(Member { peer, standing, since: now });
            }
        }
        drop(left);
        for member in updates {
            self.known.insert(member.peer.node, member);
            self.out.push(Effect::Changed(member));
        }
    }
}
