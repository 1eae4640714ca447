//! Members that hear each other over a network that loses, delays and cuts, in virtual time.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use shorepath_membership::{Effect, MemberState, Membership, Micros, Peer};
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

struct World {
    now: Micros,
    members: BTreeMap<u32, Membership>,
    /// Those that stand still: what comes waits.
    halted: Vec<u32>,
    /// Two groups that don't hear each other: below this number, and from it on.
    cut: Option<u32>,
    loss: f64,
    rng: SmallRng,
    way: BTreeMap<(Micros, u64), (u32, Vec<u8>)>,
    sent: u64,
    bytes: u64,
}

impl World {
    fn new(size: u32, loss: f64, seed: u64) -> World {
        let rng = SmallRng::seed_from_u64(seed);
        let mut world = World {
            now: 0,
            members: BTreeMap::new(),
            halted: Vec::new(),
            cut: None,
            loss,
            rng,
            way: BTreeMap::new(),
            sent: 0,
            bytes: 0,
        };
        (0..size).for_each(|node| world.start(node, size, 1_000));
        world
    }

    fn start(&mut self, node: u32, size: u32, incarnation: u64) {
        let others = (0..size).filter(|o| *o != node).collect();
        let me = Peer { node, incarnation };
        let seed = self.rng.random();
        self.members.insert(node, Membership::new(me, others, seed, self.now));
    }

    fn settle(&mut self, from: u32) {
        for effect in self.members.get_mut(&from).map(Membership::take_effects).unwrap_or_default() {
            let Effect::Outgoing { to, bytes } = effect else { continue };
            let apart = self.cut.is_some_and(|c| (from < c) != (to < c));
            self.sent += 1;
            self.bytes += bytes.len() as u64;
            if !apart && self.rng.random::<f64>() >= self.loss {
                let at = self.now + self.rng.random_range(1..40) * MS;
                self.way.insert((at, self.sent), (to, bytes));
            }
        }
    }

    fn run(&mut self, length: Micros) {
        let end = self.now + length;
        while self.now < end {
            self.now += 10 * MS;
            let due: Vec<_> = self.way.range(..=(self.now, u64::MAX)).map(|(k, _)| *k).collect();
            for key in due {
                let Some((to, bytes)) = self.way.remove(&key) else { continue };
                if self.halted.contains(&to) {
                    self.way.insert((self.now + 10 * MS, key.1), (to, bytes));
                    continue;
                }
                let now = self.now;
                // What was meant for a life that is over makes no sense to the next.
                let _ = self.members.get_mut(&to).map(|m| m.receive(now, &bytes));
                self.settle(to);
            }
            for node in self.members.keys().copied().collect::<Vec<_>>() {
                if !self.halted.contains(&node) {
                    let now = self.now;
                    self.members.get_mut(&node).into_iter().for_each(|m| m.advance(now));
                    self.settle(node);
                }
            }
        }
    }

    /// How many members hold that one for that, and how many there are to do so.
    fn hold(&self, node: u32, state: MemberState) -> (usize, usize) {
        let others = || self.members.iter().filter(|(n, _)| **n != node);
        (others().filter(|(_, m)| m.state(node) == Some(state)).count(), others().count())
    }

    /// Run until that holds; whether it did in that time.
    fn within(&mut self, length: Micros, holds: impl Fn(&World) -> bool) -> bool {
        let end = self.now + length;
        while self.now < end && !holds(self) {
            self.run(100 * MS);
        }
        holds(self)
    }

    fn all_alive(&self) -> bool {
        self.members.keys().all(|n| matches!(self.hold(*n, MemberState::Alive), (a, b) if a == b))
    }
}

#[rstest]
#[case::still(0.0)]
#[case::three_in_ten_lost(0.3)]
fn members_find_each_other_and_miss_who_dies(#[case] loss: f64) {
    let mut world = World::new(8, loss, 5);
    assert!(world.within(20 * S, World::all_alive), "{:?}", world.members);
    world.members.remove(&3);
    assert!(world.within(40 * S, |w| w.hold(3, MemberState::Gone) == (7, 7)), "{:?}", world.members);
    // It starts again by a clock that was set back.
    world.start(3, 8, 1);
    assert!(world.within(40 * S, World::all_alive), "{:?}", world.members);
}

/// One that leaves is known to have left, which one that is killed is not.
#[test]
fn who_leaves_has_left_and_is_not_gone() {
    let mut world = World::new(6, 0.0, 9);
    world.run(8 * S);
    let now = world.now;
    world.members.get_mut(&2).unwrap().leave(now);
    world.settle(2);
    world.run(3 * S);
    assert_eq!(world.hold(2, MemberState::Left), (5, 5), "{:?}", world.members);
    world.members.remove(&2);
    world.start(2, 6, 2_000);
    world.run(15 * S);
    assert!(world.all_alive(), "{:?}", world.members);
}

/// One that stood still for long is held for gone, and contradicts that with a greater incarnation once it wakes.
#[test]
fn who_stood_still_comes_back_with_a_greater_incarnation() {
    let mut world = World::new(5, 0.0, 4);
    world.run(8 * S);
    world.halted.push(1);
    world.run(30 * S);
    assert_eq!(world.hold(1, MemberState::Gone), (4, 4), "{:?}", world.members);
    world.halted.clear();
    world.run(15 * S);
    assert!(world.all_alive(), "{:?}", world.members);
    assert!(world.members[&1].me().incarnation > 1_000);
}

/// Both sides of a partition hold the other for gone, and find each other again when it ends.
#[test]
fn a_partition_heals() {
    let mut world = World::new(7, 0.0, 11);
    world.run(8 * S);
    world.cut = Some(3);
    world.run(30 * S);
    assert_eq!(world.hold(0, MemberState::Alive), (2, 6));
    world.cut = None;
    world.run(30 * S);
    assert!(world.all_alive(), "{:?}", world.members);
}

/// What a member says does not grow with the fleet while nothing happens.
#[test]
fn an_idle_member_says_little_at_any_size() {
    let rate = |size: u32| {
        let mut world = World::new(size, 0.0, 2);
        world.run(40 * S);
        assert!(world.all_alive());
        let (sent, bytes) = (world.sent, world.bytes);
        world.run(20 * S);
        let per = f64::from(size) * 20.0;
        ((world.sent - sent) as f64 / per, (world.bytes - bytes) as f64 / per)
    };
    let (few, many) = (rate(5), rate(60));
    println!("words and bytes a member and second: {few:?} of 5, {many:?} of 60");
    assert!(many.0 < 6.0 && many.1 < 512.0, "{many:?}");
}

#[test]
fn nonsense_is_told_and_changes_nothing() {
    let mut one = Membership::new(Peer { node: 1, incarnation: 1 }, vec![2], 1, 0);
    for bytes in [&b""[..], b"x", &[255; 900]] {
        assert!(one.receive(0, bytes).is_err());
    }
    assert_eq!(one.members().count(), 0);
}
