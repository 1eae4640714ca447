//! Unit tests of the ledger, the lease holder and the token bucket.

use proptest::prelude::*;
use shorepath_quota::lease::Holder;
use shorepath_quota::ledger::Ledger;
use shorepath_quota::rate_limiter::TokenBucket;
use shorepath_quota::{Grant, LeasePeriod, NodeId, NodeIncarnation};

/// One second, in microseconds.
const SECOND: i64 = 1_000_000;
const TERM: LeasePeriod = LeasePeriod { length: 10 * SECOND, drift_ppm: 1_000, longest: 0 };

fn node_incarnation(node: u32, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId(node), incarnation }
}

/// Records a grant and its acknowledgement.
fn grant_and_acknowledge(ledger: &mut Ledger, holder: NodeIncarnation, wanted: u64, now: i64) -> Grant {
    let grant = ledger.offer(holder, wanted, 1);
    ledger.record(grant, now);
    ledger.acknowledge(holder, grant.number);
    grant
}

/// Guards against granting units of a dead node before its grants have expired, also after a change of the leader.
#[test]
fn units_of_a_dead_node_are_withheld_until_its_grant_expires() {
    let mut ledger = Ledger::new(100, 10, TERM);
    assert_eq!(grant_and_acknowledge(&mut ledger, node_incarnation(0, 1), 60, 0).amount, 60);
    assert_eq!(
        grant_and_acknowledge(&mut ledger, node_incarnation(1, 1), 60, 0).amount,
        30,
        "the free units without the reserve"
    );
    ledger.suspect(node_incarnation(0, 1), true);
    let a = ledger.account();
    assert_eq!((a.total, a.reserved, a.granted, a.withheld, a.free, a.debt), (100, 10, 30, 60, 0, 0));
    assert_eq!(ledger.divisible(), 30);
    // The node restarts three times within the term: its new incarnations get nothing.
    for incarnation in 2..=4 {
        assert_eq!(ledger.offer(node_incarnation(0, incarnation), 60, 1).amount, 0);
    }
    // A new leader counts the terms from its own start.
    let snapshot = ledger.snapshot();
    ledger.restore(&snapshot, 5 * SECOND);
    ledger.expire(15 * SECOND);
    assert_eq!(ledger.account().free, 0);
    ledger.expire(15 * SECOND + 10_001);
    assert_eq!(ledger.account().free, 90);
    assert_eq!(grant_and_acknowledge(&mut ledger, node_incarnation(0, 4), 90, 16 * SECOND).amount, 90);
}

/// Guards against freeing units by an acknowledgement of an earlier grant that is duplicated or late.
#[test]
fn a_smaller_grant_frees_units_once_it_is_acknowledged() {
    let mut ledger = Ledger::new(10, 0, TERM);
    let first = grant_and_acknowledge(&mut ledger, node_incarnation(0, 1), 10, 0);
    let second = ledger.offer(node_incarnation(0, 1), 4, 2);
    ledger.record(second, 0);
    assert_eq!(ledger.account().free, 0);
    ledger.acknowledge(node_incarnation(0, 1), first.number);
    assert_eq!(ledger.account().free, 0);
    ledger.acknowledge(node_incarnation(0, 1), second.number);
    assert_eq!(ledger.account().free, 6);
    ledger.acknowledge(node_incarnation(0, 1), first.number);
    ledger.record(first, 3 * SECOND);
    assert_eq!(ledger.account().free, 6);
    ledger.release(node_incarnation(0, 1), second.number);
    assert_eq!((ledger.account().free, ledger.holders().count()), (10, 0));
}

/// Guards against new grants while outstanding grants exceed a lowered total.
#[test]
fn a_lowered_total_is_reported_as_debt() {
    let mut ledger = Ledger::new(10, 0, TERM);
    grant_and_acknowledge(&mut ledger, node_incarnation(0, 1), 6, 0);
    grant_and_acknowledge(&mut ledger, node_incarnation(1, 1), 4, 0);
    ledger.resize(5, 0, TERM);
    let a = ledger.account();
    assert_eq!((a.granted, a.free, a.debt), (10, 0, 5));
    assert_eq!(
        ledger.offer(node_incarnation(0, 1), 6, 2).amount,
        1,
        "the units that the other holder leaves"
    );
    assert_eq!(ledger.offer(node_incarnation(2, 1), 3, 1).amount, 0);
}

/// Guards against use of a grant that has expired, was released, or answers no request of this incarnation.
#[test]
fn a_holder_uses_its_newest_grant_until_it_expires() {
    let me = node_incarnation(3, 7);
    let mut holder = Holder::new(me, 2, TERM);
    let length = TERM.length;
    let grant = |number, amount, answers| Grant { holder: me, epoch: 0, number, amount, answers, length };
    let asked = holder.ask(100 * SECOND);
    assert_eq!(holder.usable(100 * SECOND), 2, "the reserve");
    assert!(
        !holder.accept(Grant { holder: node_incarnation(3, 6), ..grant(1, 9, asked) }, 101 * SECOND),
        "of an earlier incarnation"
    );
    assert!(!holder.accept(grant(1, 9, asked + 1), 101 * SECOND), "answers no request");
    assert!(holder.accept(grant(5, 9, asked), 104 * SECOND));
    assert!(!holder.accept(grant(4, 50, asked), 104 * SECOND), "older");
    let expires_at = 100 * SECOND + TERM.for_holder();
    assert!(TERM.for_holder() < TERM.length && TERM.length < TERM.for_allocator());
    assert_eq!(
        (holder.usable(expires_at - 1), holder.usable(expires_at), holder.expires_at()),
        (11, 2, Some(expires_at))
    );
    assert_eq!((holder.debt(12, expires_at - 1), holder.debt(12, expires_at)), (1, 10));
    assert_eq!(holder.usable(99 * SECOND), 2, "a clock that is set back must not extend the lease");
    let late_request = holder.ask(100 * SECOND);
    assert!(!holder.accept(grant(6, 9, late_request), expires_at), "it arrived after its expiry");
    let second_request = holder.ask(200 * SECOND);
    assert!(holder.accept(grant(7, 9, second_request), 200 * SECOND));
    assert_eq!(holder.release(), (0, 7));
    assert!(!holder.accept(grant(7, 9, second_request), 200 * SECOND), "a released grant stays released");
    assert_eq!(holder.usable(200 * SECOND), 2);
}

proptest! {
    /// Guards against more use than rate and burst allow while the rate changes.
    #[test]
    fn a_token_bucket_never_exceeds_its_rate(steps in proptest::collection::vec((0i64..400_000, 0u64..60), 1..120), burst in 0i64..2_000_000) {
        let mut bucket = TokenBucket::new(burst, 0);
        let (mut now, mut used, mut allowed, mut max_rate) = (0, 0u128, 0u128, 0);
        for (pause, rate) in steps {
            now += pause;
            bucket.refill(now, rate);
            allowed += u128::from(rate) * pause as u128;
            max_rate = max_rate.max(rate);
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
        // After a long pause at most the burst is available at once.
        bucket.refill(now + 3_600 * SECOND, max_rate);
        let at_once = std::iter::from_fn(|| bucket.take().then_some(())).count() as u128;
        prop_assert!(at_once * 1_000_000 <= (u128::from(max_rate) * burst as u128).max(1_000_000));
    }
}
