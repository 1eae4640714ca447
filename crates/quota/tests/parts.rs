//! Ledger, holder and meter, each by itself.

use proptest::prelude::*;
use shorepath_quota::lease::Holder;
use shorepath_quota::ledger::Ledger;
use shorepath_quota::rate_limiter::TokenBucket;
use shorepath_quota::{Grant, LeasePeriod, NodeId, NodeIncarnation};

const S: i64 = 1_000_000;
const TERM: LeasePeriod = LeasePeriod { length: 10 * S, drift_ppm: 1_000, longest: 0 };

fn node_incarnation(node: u32, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId(node), incarnation }
}

/// Grant it, and have it taken.
fn give(ledger: &mut Ledger, holder: NodeIncarnation, wanted: u64, now: i64) -> Grant {
    let grant = ledger.offer(holder, wanted, 1);
    ledger.record(grant, now);
    ledger.acknowledge(holder, grant.number);
    grant
}

/// What a dead node had is in doubt until its grant has surely ended, whoever divides by then.
#[test]
fn a_dead_nodes_part_is_back_after_its_term_and_no_sooner() {
    let mut ledger = Ledger::new(100, 10, TERM);
    assert_eq!(give(&mut ledger, node_incarnation(0, 1), 60, 0).amount, 60);
    assert_eq!(give(&mut ledger, node_incarnation(1, 1), 60, 0).amount, 30, "what is left, less the reserve");
    ledger.suspect(node_incarnation(0, 1), true);
    let a = ledger.account();
    assert_eq!((a.total, a.reserved, a.granted, a.withheld, a.free, a.debt), (100, 10, 30, 60, 0, 0));
    assert_eq!(ledger.divisible(), 30);
    // It restarts three times within its term, and asks anew each time: nothing is there for it.
    for incarnation in 2..=4 {
        assert_eq!(ledger.offer(node_incarnation(0, incarnation), 60, 1).amount, 0);
    }
    // The next divider counts from its own beginning.
    let kept = ledger.snapshot();
    ledger.restore(&kept, 5 * S);
    ledger.expire(15 * S);
    assert_eq!(ledger.account().free, 0);
    ledger.expire(15 * S + 10_001);
    assert_eq!(ledger.account().free, 90);
    assert_eq!(give(&mut ledger, node_incarnation(0, 4), 90, 16 * S).amount, 90);
}

/// A part that shrinks is counted whole until the holder says that it goes by the smaller one, and only then; word of an
/// earlier grant, doubled and late, changes nothing.
#[test]
fn a_smaller_part_counts_once_it_is_taken() {
    let mut ledger = Ledger::new(10, 0, TERM);
    let first = give(&mut ledger, node_incarnation(0, 1), 10, 0);
    let second = ledger.offer(node_incarnation(0, 1), 4, 2);
    ledger.record(second, 0);
    assert_eq!(ledger.account().free, 0);
    ledger.acknowledge(node_incarnation(0, 1), first.number);
    assert_eq!(ledger.account().free, 0);
    ledger.acknowledge(node_incarnation(0, 1), second.number);
    assert_eq!(ledger.account().free, 6);
    ledger.acknowledge(node_incarnation(0, 1), first.number);
    ledger.record(first, 3 * S);
    assert_eq!(ledger.account().free, 6);
    ledger.release(node_incarnation(0, 1), second.number);
    assert_eq!((ledger.account().free, ledger.holders().count()), (10, 0));
}

/// A whole that is lowered while all is in use is a debt: nothing is cut, and nothing is granted until it is paid.
#[test]
fn a_lowered_whole_is_a_debt() {
    let mut ledger = Ledger::new(10, 0, TERM);
    give(&mut ledger, node_incarnation(0, 1), 6, 0);
    give(&mut ledger, node_incarnation(1, 1), 4, 0);
    ledger.resize(5, 0, TERM);
    let a = ledger.account();
    assert_eq!((a.granted, a.free, a.debt), (10, 0, 5));
    assert_eq!(ledger.offer(node_incarnation(0, 1), 6, 2).amount, 1, "what the other leaves of the whole");
    assert_eq!(ledger.offer(node_incarnation(2, 1), 3, 1).amount, 0);
}

/// A holder goes by its newest grant, from the time of its asking on; it knows after a halt that its time is over, and never
/// goes back to what it gave back, or to what answers another's asking.
#[test]
fn a_holder_goes_by_its_newest_grant_until_it_is_over() {
    let me = node_incarnation(3, 7);
    let mut holder = Holder::new(me, 2, TERM);
    let length = TERM.length;
    let grant = |number, amount, answers| Grant { holder: me, epoch: 0, number, amount, answers, length };
    let asked = holder.ask(100 * S);
    assert_eq!(holder.usable(100 * S), 2, "the reserve");
    assert!(
        !holder.accept(Grant { holder: node_incarnation(3, 6), ..grant(1, 9, asked) }, 101 * S),
        "an earlier life's"
    );
    assert!(!holder.accept(grant(1, 9, asked + 1), 101 * S), "answers nothing");
    assert!(holder.accept(grant(5, 9, asked), 104 * S));
    assert!(!holder.accept(grant(4, 50, asked), 104 * S), "older");
    let ends = 100 * S + TERM.for_holder();
    assert!(TERM.for_holder() < TERM.length && TERM.length < TERM.for_allocator());
    assert_eq!((holder.usable(ends - 1), holder.usable(ends), holder.expires_at()), (11, 2, Some(ends)));
    assert_eq!((holder.debt(12, ends - 1), holder.debt(12, ends)), (1, 10));
    assert_eq!(holder.usable(99 * S), 2, "a clock that was set back is no reason to use it for longer");
    let late = holder.ask(100 * S);
    assert!(!holder.accept(grant(6, 9, late), ends), "it was too long on the way");
    let again = holder.ask(200 * S);
    assert!(holder.accept(grant(7, 9, again), 200 * S));
    assert_eq!(holder.release(), (0, 7));
    assert!(!holder.accept(grant(7, 9, again), 200 * S), "given back is given back");
    assert_eq!(holder.usable(200 * S), 2);
}

proptest! {
    /// Over any span no more than the rate, what was saved, and a unit: whatever the rate does meanwhile.
    #[test]
    fn a_meter_keeps_to_its_rate(steps in proptest::collection::vec((0i64..400_000, 0u64..60), 1..120), burst in 0i64..2_000_000) {
        let mut bucket = TokenBucket::new(burst, 0);
        let (mut now, mut used, mut allowed, mut most) = (0, 0u128, 0u128, 0);
        for (pause, rate) in steps {
            now += pause;
            bucket.refill(now, rate);
            allowed += u128::from(rate) * pause as u128;
            most = most.max(rate);
            while bucket.take() {
                used += 1;
            }
            prop_assert!(used * 1_000_000 <= allowed);
            if let Some(at) = bucket.next_token_at(rate) {
                let mut then = bucket;
                then.refill(at, rate);
                prop_assert!(at >= now && (burst < 1_000_000 / rate as i64 || then.take()), "{at} {now}");
            }
        }
        // After a long rest no more than the burst comes at once.
        bucket.refill(now + 3_600 * S, most);
        let at_once = std::iter::from_fn(|| bucket.take().then_some(())).count() as u128;
        prop_assert!(at_once * 1_000_000 <= (u128::from(most) * burst as u128).max(1_000_000));
    }
}
