//! Max-min fair allocation of a budget's units by demand ("Data Networks", Bertsekas and Gallager, section 6.5.2), in
//! integers, with a floor for each claim and a limit on changes.

/// The claim of one node to a share of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Units that the node could use.
    pub demand: u64,
    /// The smallest share of the node, also where it demands less.
    pub floor: u64,
    /// Units that the node has now.
    pub held: u64,
}

/// Limits on the change of shares in one allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveLimits {
    /// A share is left unchanged if it would change by at most this percentage of itself.
    pub band_percent: u64,
    /// The most units that one allocation may take from all nodes together.
    pub max_taken: u64,
}

impl MoveLimits {
    /// Allows any change.
    pub const UNLIMITED: MoveLimits = MoveLimits { band_percent: 0, max_taken: u64::MAX };
}

/// The sum of the floors exceeds the total.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{floors} units exceed the total of {total}")]
pub struct FloorsError {
    /// The sum of the floors, in units.
    pub floors: u64,
    /// The units of the budget.
    pub total: u64,
}

/// Returns the max-min fair shares in the order of the claims. Their sum is `total`: units beyond all demands are distributed
/// evenly. Units that don't divide evenly go to successive claims, starting from index `rotation` modulo the number of claims;
/// the caller increases it between allocations so that each claim gets its turn.
///
/// # Errors
/// The sum of the floors exceeds the total.
pub fn max_min_fair(total: u64, claims: &[Claim], rotation: u64) -> Result<Vec<u64>, FloorsError> {
    let floors = claims.iter().fold(0u64, |sum, c| sum.saturating_add(c.floor));
    if floors > total {
        return Err(FloorsError { floors, total });
    }
    let mut shares: Vec<u64> = claims.iter().map(|c| c.floor).collect();
    // Binary search for the greatest level such that the total covers all demands capped at it.
    let share_at = |level: u64, c: &Claim| c.demand.min(level).max(c.floor);
    let sum = |level: u64| claims.iter().fold(0u128, |sum, c| sum + u128::from(share_at(level, c)));
    let (mut level, mut upper) = (0, claims.iter().map(|c| c.demand).max().unwrap_or(0).saturating_add(1));
    while upper - level > 1 {
        let middle = level + (upper - level) / 2;
        if sum(middle) <= u128::from(total) {
            level = middle;
        } else {
            upper = middle;
        }
    }
    shares.iter_mut().zip(claims).for_each(|(share, c)| *share = share_at(level, c));
    let mut remaining = total - sum(level) as u64;
    // The remaining units are fewer than the claims that a level higher by one would increase.
    let unsatisfied: Vec<usize> =
        (0..claims.len()).filter(|k| share_at(level + 1, &claims[*k]) > shares[*k]).collect();
    if !unsatisfied.is_empty() {
        distribute_units(&mut shares, &unsatisfied, &mut remaining, rotation);
    }
    if remaining > 0 && !claims.is_empty() {
        let all: Vec<usize> = (0..claims.len()).collect();
        let per_claim = remaining / claims.len() as u64;
        shares.iter_mut().for_each(|share| *share += per_claim);
        remaining -= per_claim * claims.len() as u64;
        distribute_units(&mut shares, &all, &mut remaining, rotation);
    }
    Ok(shares)
}

/// Adds one unit each to the shares at the indices `among`, as far as the remaining units reach.
fn distribute_units(shares: &mut [u64], among: &[usize], remaining: &mut u64, rotation: u64) {
    let count = among.len() as u64;
    for k in 0..(*remaining).min(count) {
        shares[among[((rotation + k) % count) as usize]] += 1;
    }
    *remaining = remaining.saturating_sub(count);
}

/// Returns the next shares: those of [`max_min_fair`], with changes limited by `moves`. Their sum never exceeds `total`, and
/// is below it only where the limits keep units from being moved.
///
/// # Errors
/// The sum of the floors exceeds the total.
pub fn rebalance(
    total: u64,
    claims: &[Claim],
    rotation: u64,
    moves: MoveLimits,
) -> Result<Vec<u64>, FloorsError> {
    let target = max_min_fair(total, claims, rotation)?;
    let tolerance = |c: &Claim| u128::from(c.held) * u128::from(moves.band_percent) / 100;
    let is_unchanged =
        |c: &Claim, t: u64| c.held >= c.floor && u128::from(c.held.abs_diff(t)) <= tolerance(c);
    let mut shares: Vec<u64> =
        claims.iter().zip(&target).map(|(c, t)| if is_unchanged(c, *t) { c.held } else { *t }).collect();
    // Shares are reduced in order of the size of the reduction until the allowance is used up.
    let mut allowance = moves.max_taken;
    let mut shrinking: Vec<usize> = (0..shares.len()).filter(|k| shares[*k] < claims[*k].held).collect();
    shrinking.sort_by_key(|k| (std::cmp::Reverse(claims[*k].held - shares[*k]), *k));
    for k in shrinking {
        let taken = (claims[k].held - shares[k]).min(allowance);
        shares[k] = claims[k].held - taken;
        allowance -= taken;
    }
    // Units that the limits left with their holders may make the sum exceed the total. Increases are reduced first, the
    // largest ones before others; then shares are reduced to their targets even beyond the limits.
    let mut excess =
        shares.iter().fold(0u128, |sum, share| sum + u128::from(*share)).saturating_sub(u128::from(total));
    for keep_held in [true, false] {
        let minimum = |k: usize| if keep_held { claims[k].held.max(claims[k].floor) } else { target[k] };
        let mut reducible: Vec<usize> = (0..shares.len()).filter(|k| shares[*k] > minimum(*k)).collect();
        reducible.sort_by_key(|k| (std::cmp::Reverse(shares[*k] - minimum(*k)), *k));
        for k in reducible {
            let reduction = u128::from(shares[k] - minimum(k)).min(excess);
            shares[k] -= reduction as u64;
            excess -= reduction;
        }
    }
    Ok(shares)
}
