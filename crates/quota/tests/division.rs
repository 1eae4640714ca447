//! The allocation of shares: exact sums, fairness, floors and limits on changes.

use proptest::prelude::*;
use shorepath_quota::allocation::{max_min_fair, rebalance, Claim, FloorsError, MoveLimits};

fn claim(demand: u64, floor: u64, held: u64) -> Claim {
    Claim { demand, floor, held }
}

fn claims() -> impl Strategy<Value = (u64, Vec<Claim>)> {
    let claim_strategy = (0u64..200, 0u64..4, 0u64..60).prop_map(|(d, f, h)| claim(d, f, h));
    (0u64..500, proptest::collection::vec(claim_strategy, 1..40))
}

proptest! {
    #[test]
    fn shares_sum_to_the_total_keep_floors_and_are_max_min_fair((total, all) in claims(), rotation in 0u64..100) {
        let floors: u64 = all.iter().map(|c| c.floor).sum();
        let shares = match max_min_fair(total, &all, rotation) {
            Ok(shares) => shares,
            Err(e) => {
                prop_assert_eq!(e, FloorsError { floors, total });
                prop_assert!(floors > total);
                return Ok(());
            }
        };
        prop_assert_eq!(shares.iter().sum::<u64>(), total, "the shares must sum to the total");
        for (k, c) in all.iter().enumerate() {
            prop_assert!(shares[k] >= c.floor);
            // A share below its demand is at most one unit smaller than any other share above its floor.
            if shares[k] < c.demand {
                for (j, other) in all.iter().enumerate() {
                    prop_assert!(shares[j] <= (shares[k] + 1).max(other.floor), "{k} {j} {shares:?}");
                }
            }
        }
    }

    /// Guards against sums above the total, and against moving more units than allowed where the total does not require it.
    #[test]
    fn rebalanced_shares_respect_move_limits_and_the_total((total, all) in claims(), rotation in 0u64..100, band_percent in 0u64..50, max_taken in 0u64..80) {
        let Ok(shares) = rebalance(total, &all, rotation, MoveLimits { band_percent, max_taken }) else { return Ok(()) };
        let sum: u64 = shares.iter().sum();
        prop_assert!(sum <= total, "{sum} of {total}");
        let held: u64 = all.iter().map(|c| c.held).sum();
        let taken: u64 = all.iter().zip(&shares).map(|(c, p)| c.held.saturating_sub(*p)).sum();
        if held <= total {
            let floors: u64 = all.iter().map(|c| c.floor.saturating_sub(c.held)).sum();
            prop_assert!(taken <= max_taken.max(floors.saturating_sub(total - held)) , "{taken} taken, {max_taken} allowed");
        }
        // A second allocation with the same claims changes nothing.
        if let Ok(target) = rebalance(total, &all, rotation, MoveLimits::UNLIMITED) {
            let settled: Vec<Claim> = all.iter().zip(&target).map(|(c, p)| claim(c.demand, c.floor, *p)).collect();
            prop_assert_eq!(rebalance(total, &settled, rotation, MoveLimits { band_percent, max_taken }).unwrap(), target);
        }
    }
}

#[test]
fn surplus_units_are_distributed_and_a_single_unit_rotates() {
    assert_eq!(max_min_fair(12, &[claim(2, 0, 0), claim(0, 0, 0), claim(1, 0, 0)], 0), Ok(vec![5, 3, 4]));
    let all = [claim(5, 0, 0); 300];
    let holders: Vec<usize> = (0..300)
        .map(|rotation| max_min_fair(1, &all, rotation).unwrap().iter().position(|p| *p == 1).unwrap())
        .collect();
    let mut distinct = holders.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), 300, "each node has it once in 300 allocations");
    // Within the tolerance the unit stays with its holder.
    let mut all = all.to_vec();
    all[7].held = 1;
    let shares = rebalance(1, &all, 3, MoveLimits { band_percent: 100, max_taken: 10 }).unwrap();
    assert_eq!(shares.iter().position(|p| *p == 1), Some(7));
    assert_eq!(max_min_fair(9, &[], 0), Ok(vec![]));
    assert_eq!(max_min_fair(7, &[claim(1, 0, 0)], 0), Ok(vec![7]), "a single node gets all units");
}

#[test]
fn a_lowered_total_reduces_all_shares_despite_move_limits() {
    let all = [claim(50, 1, 50), claim(50, 1, 50)];
    let shares = rebalance(10, &all, 0, MoveLimits { band_percent: 10, max_taken: 5 }).unwrap();
    assert_eq!(shares, [5, 5]);
}
