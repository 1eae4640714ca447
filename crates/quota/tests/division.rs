//! The division: whole units that add up, fair, with floors, and not moved for nothing.

use proptest::prelude::*;
use shorepath_quota::allocation::{max_min_fair, rebalance, Claim, FloorsError, MoveLimits};

fn claim(demand: u64, floor: u64, held: u64) -> Claim {
    Claim { demand, floor, held }
}

fn claims() -> impl Strategy<Value = (u64, Vec<Claim>)> {
    let one = (0u64..200, 0u64..4, 0u64..60).prop_map(|(d, f, h)| claim(d, f, h));
    (0u64..500, proptest::collection::vec(one, 1..40))
}

proptest! {
    #[test]
    fn parts_add_up_and_keep_floors_and_are_fair((total, all) in claims(), turn in 0u64..100) {
        let floors: u64 = all.iter().map(|c| c.floor).sum();
        let parts = match max_min_fair(total, &all, turn) {
            Ok(parts) => parts,
            Err(e) => {
                prop_assert_eq!(e, FloorsError { floors, total });
                prop_assert!(floors > total);
                return Ok(());
            }
        };
        prop_assert_eq!(parts.iter().sum::<u64>(), total, "whole units that add up exactly");
        for (k, c) in all.iter().enumerate() {
            prop_assert!(parts[k] >= c.floor);
            // Who has less than it asks for has as much as anyone, but for a unit and for others' floors.
            if parts[k] < c.demand {
                for (j, other) in all.iter().enumerate() {
                    prop_assert!(parts[j] <= (parts[k] + 1).max(other.floor), "{k} {j} {parts:?}");
                }
            }
        }
    }

    /// Whatever was held, the whole binds; and no more is taken than may be, unless the whole asks for it.
    #[test]
    fn moves_are_bounded_and_never_exceed_the_whole((total, all) in claims(), turn in 0u64..100, band in 0u64..50, most in 0u64..80) {
        let Ok(parts) = rebalance(total, &all, turn, MoveLimits { band_percent: band, most }) else { return Ok(()) };
        let sum: u64 = parts.iter().sum();
        prop_assert!(sum <= total, "{sum} of {total}");
        let held: u64 = all.iter().map(|c| c.held).sum();
        let taken: u64 = all.iter().zip(&parts).map(|(c, p)| c.held.saturating_sub(*p)).sum();
        if held <= total {
            let floors: u64 = all.iter().map(|c| c.floor.saturating_sub(c.held)).sum();
            prop_assert!(taken <= most.max(floors.saturating_sub(total - held)) , "{taken} taken, {most} allowed");
        }
        // The same again moves nothing more, where all may move at once.
        if let Ok(target) = rebalance(total, &all, turn, MoveLimits::FREE) {
            let settled: Vec<Claim> = all.iter().zip(&target).map(|(c, p)| claim(c.demand, c.floor, *p)).collect();
            prop_assert_eq!(rebalance(total, &settled, turn, MoveLimits { band_percent: band, most }).unwrap(), target);
        }
    }
}

#[test]
fn what_nobody_asks_for_is_lent_and_a_single_unit_goes_round() {
    assert_eq!(max_min_fair(12, &[claim(2, 0, 0), claim(0, 0, 0), claim(1, 0, 0)], 0), Ok(vec![5, 3, 4]));
    let all = [claim(5, 0, 0); 300];
    let holders: Vec<usize> = (0..300)
        .map(|turn| max_min_fair(1, &all, turn).unwrap().iter().position(|p| *p == 1).unwrap())
        .collect();
    let mut different = holders.clone();
    different.sort_unstable();
    different.dedup();
    assert_eq!(different.len(), 300, "each has it once in 300 divisions");
    // With a band it stays where it is, while that one asks.
    let mut all = all.to_vec();
    all[7].held = 1;
    let parts = rebalance(1, &all, 3, MoveLimits { band_percent: 100, most: 10 }).unwrap();
    assert_eq!(parts.iter().position(|p| *p == 1), Some(7));
    assert_eq!(max_min_fair(9, &[], 0), Ok(vec![]));
    assert_eq!(max_min_fair(7, &[claim(1, 0, 0)], 0), Ok(vec![7]), "a fleet of one has all");
}

#[test]
fn a_lowered_whole_takes_from_all_at_once() {
    let all = [claim(50, 1, 50), claim(50, 1, 50)];
    let parts = rebalance(10, &all, 0, MoveLimits { band_percent: 10, most: 5 }).unwrap();
    assert_eq!(parts, [5, 5]);
}
