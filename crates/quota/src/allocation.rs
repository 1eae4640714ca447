//! Which node should have how much: max-min fair by demand ("Data Networks", Bertsekas and Gallager, section 6.5.2), whole
//! units, with a floor for each, and without moving more than is worth it.

/// What one node asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Claim {
    /// Units that it could use.
    pub demand: u64,
    /// Units that it has at least, used or not.
    pub floor: u64,
    /// Units that it has now.
    pub held: u64,
}

/// How much may change from one division to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveLimits {
    /// A part stays as it is if it would change by no more than this many hundredths of itself.
    pub band_percent: u64,
    /// Units taken from nodes, all together, in one division at most.
    pub most: u64,
}

impl MoveLimits {
    /// Whatever is best now.
    pub const FREE: MoveLimits = MoveLimits { band_percent: 0, most: u64::MAX };
}

/// The floors alone exceed the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the floors are {floors} in all, the whole is {total}")]
pub struct FloorsError {
    /// Their sum.
    pub floors: u64,
    /// The whole.
    pub total: u64,
}

/// The fair parts, in the order of the claims; they add up to the whole exactly. Units that nobody asks for are lent evenly.
/// `turn` says with whom single units that can't be split begin: let it grow from one division to the next.
///
/// # Errors
/// Where the floors exceed the whole.
pub fn max_min_fair(total: u64, claims: &[Claim], turn: u64) -> Result<Vec<u64>, FloorsError> {
    let floors = claims.iter().fold(0u64, |sum, c| sum.saturating_add(c.floor));
    if floors > total {
        return Err(FloorsError { floors, total });
    }
    let mut parts: Vec<u64> = claims.iter().map(|c| c.floor).collect();
    // The level to which all rise that ask for so much: the greatest whole one that there is enough for.
    let at = |level: u64, c: &Claim| c.demand.min(level).max(c.floor);
    let sum = |level: u64| claims.iter().fold(0u128, |sum, c| sum + u128::from(at(level, c)));
    let (mut level, mut above) = (0, claims.iter().map(|c| c.demand).max().unwrap_or(0).saturating_add(1));
    while above - level > 1 {
        let middle = level + (above - level) / 2;
        if sum(middle) <= u128::from(total) {
            level = middle;
        } else {
            above = middle;
        }
    }
    parts.iter_mut().zip(claims).for_each(|(p, c)| *p = at(level, c));
    let mut left = total - sum(level) as u64;
    // Fewer units are left than nodes that would rise further.
    let open: Vec<usize> = (0..claims.len()).filter(|k| at(level + 1, &claims[*k]) > parts[*k]).collect();
    if !open.is_empty() {
        one_each(&mut parts, &open, &mut left, turn);
    }
    if left > 0 && !claims.is_empty() {
        let all: Vec<usize> = (0..claims.len()).collect();
        let each = left / claims.len() as u64;
        parts.iter_mut().for_each(|p| *p += each);
        left -= each * claims.len() as u64;
        one_each(&mut parts, &all, &mut left, turn);
    }
    Ok(parts)
}

/// What is left, one unit to each of these in turn; there are fewer units than nodes.
fn one_each(parts: &mut [u64], among: &[usize], left: &mut u64, turn: u64) {
    let count = among.len() as u64;
    for k in 0..(*left).min(count) {
        parts[among[((turn + k) % count) as usize]] += 1;
    }
    *left = left.saturating_sub(count);
}

/// The parts to have next: as [`fair`], but a part that would hardly change stays, and no more is taken from nodes at once
/// than allowed. They never exceed the whole, and fall short of it only for what may not be moved yet.
///
/// # Errors
/// Where the floors exceed the whole.
pub fn rebalance(
    total: u64,
    claims: &[Claim],
    turn: u64,
    moves: MoveLimits,
) -> Result<Vec<u64>, FloorsError> {
    let target = max_min_fair(total, claims, turn)?;
    let band = |c: &Claim| u128::from(c.held) * u128::from(moves.band_percent) / 100;
    let stays = |c: &Claim, t: u64| c.held >= c.floor && u128::from(c.held.abs_diff(t)) <= band(c);
    let mut parts: Vec<u64> =
        claims.iter().zip(&target).map(|(c, t)| if stays(c, *t) { c.held } else { *t }).collect();
    // Nobody has to give more than may be moved; the largest gap gives first.
    let mut most = moves.most;
    let mut giving: Vec<usize> = (0..parts.len()).filter(|k| parts[*k] < claims[*k].held).collect();
    giving.sort_by_key(|k| (std::cmp::Reverse(claims[*k].held - parts[*k]), *k));
    for k in giving {
        let gives = (claims[k].held - parts[k]).min(most);
        parts[k] = claims[k].held - gives;
        most -= gives;
    }
    // What was kept by some is missing for others: those above what they have give up their rise, the largest first, and then
    // whoever was spared goes to the target after all. The whole binds, whatever may be moved.
    let mut over = parts.iter().fold(0u128, |sum, p| sum + u128::from(*p)).saturating_sub(u128::from(total));
    for spare in [true, false] {
        let base = |k: usize| if spare { claims[k].held.max(claims[k].floor) } else { target[k] };
        let mut above: Vec<usize> = (0..parts.len()).filter(|k| parts[*k] > base(*k)).collect();
        above.sort_by_key(|k| (std::cmp::Reverse(parts[*k] - base(*k)), *k));
        for k in above {
            let cut = u128::from(parts[k] - base(k)).min(over);
            parts[k] -= cut as u64;
            over -= cut;
        }
    }
    Ok(parts)
}
