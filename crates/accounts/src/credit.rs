//! What may be begun while standing can't be confirmed: a credit in jobs for each account, divided ahead of time among sites and their
//! nodes, so that what the business may lose by a partition is bounded and known before.
//!
//! A node spends its part from a note on its disk, which is written ahead in chunks: what is on the disk is never less than what was spent,
//! so a restart refills nothing. A node whose disk was lost takes all for spent until standing is confirmed.

use crate::{Change, Micros};
use serde::{Deserialize, Serialize};

/// Jobs of an account that may be begun on unconfirmed standing, over all sites.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Credit {
    /// All of them, in jobs.
    #[serde(rename = "whole")]
    pub total: u64,
    /// Those that are left after a long time alone; counted inside the whole.
    pub reserve: u64,
    /// The time alone after which only the reserve is left.
    pub shrink_after: Micros,
}

/// One site among which a credit is divided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SiteShare {
    /// The site's name.
    pub site: String,
    /// Its nodes.
    pub nodes: u32,
    /// Its weight; by its nodes where none is given.
    pub weight: Option<u64>,
}

/// One node's part of a credit, in jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeCredit {
    /// All of it.
    #[serde(rename = "whole")]
    pub total: u64,
    /// What is left of it after a long time alone; counted inside the whole.
    pub reserve: u64,
}

/// A credit that can't be divided.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum CreditError {
    /// The reserve is no part of the whole.
    #[error("the reserve of {reserve} jobs is more than the whole credit of {total}")]
    #[diagnostic(help(
        "the reserve is counted inside the total: raise (credit ...) or lower (reserve ...)"
    ))]
    ReserveExceedsTotal {
        /// The whole.
        total: u64,
        /// The reserve.
        reserve: u64,
    },
    /// There is nobody to have it.
    #[error("no site with a node and a weight above 0 is there to have the credit of {total} jobs")]
    #[diagnostic(help("list the sites' nodes, or give one site at least a weight above 0"))]
    NoRecipient {
        /// The whole.
        total: u64,
    },
    /// A site has a part and nobody to use it.
    #[error("the site {site} has a weight and no node")]
    #[diagnostic(help("list its nodes, or give it the weight 0"))]
    NoNodes {
        /// The site.
        site: String,
    },
}

/// Whole parts by weight that add up to the whole exactly: the largest remainder (Hamilton's method), of equal ones the first.
/// All 0 where no weight is above 0.
fn apportion(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let exact = |w: &u64| u128::from(total) * u128::from(*w);
    let mut parts: Vec<u64> = weights.iter().map(|w| (exact(w) / sum) as u64).collect();
    let mut left = total - parts.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|k| std::cmp::Reverse(weights.get(*k).map_or(0, |w| exact(w) % sum)));
    for k in order {
        if left > 0 {
            left -= 1;
            parts.iter_mut().skip(k).take(1).for_each(|p| *p += 1);
        }
    }
    parts
}

/// The parts of all nodes, site by site in the order given, which has to be the same at all. They add up to the whole exactly, and
/// their reserves to the reserve.
///
/// # Errors
/// [`CreditError`]: where it can't be divided.
pub fn divide(credit: &Credit, sites: &[SiteShare]) -> Result<Vec<Vec<NodeCredit>>, CreditError> {
    let Credit { total, reserve, .. } = *credit;
    let rest = total.checked_sub(reserve).ok_or(CreditError::ReserveExceedsTotal { total, reserve })?;
    let weights: Vec<u64> = sites.iter().map(|s| s.weight.unwrap_or(u64::from(s.nodes))).collect();
    if let Some((site, _)) = sites.iter().zip(&weights).find(|(s, w)| s.nodes == 0 && **w > 0) {
        return Err(CreditError::NoNodes { site: site.site.clone() });
    }
    if weights.iter().all(|w| *w == 0) && total > 0 {
        return Err(CreditError::NoRecipient { total });
    }
    let (reserves, rests) = (apportion(reserve, &weights), apportion(rest, &weights));
    let nodes = |s: &SiteShare, amount| apportion(amount, &vec![1; s.nodes as usize]);
    Ok(sites
        .iter()
        .zip(reserves.into_iter().zip(rests))
        .map(|(site, (reserve, rest))| {
            let both = nodes(site, reserve).into_iter().zip(nodes(site, rest));
            both.map(|(reserve, rest)| NodeCredit { total: reserve + rest, reserve }).collect()
        })
        .collect())
}

/// What has to be on the disk of a purse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CreditRecord {
    /// Jobs that may have been begun since standing was last confirmed; never less than were.
    pub spent: u64,
    /// Jobs that turned out to be begun against a standing that was already closed, and are not paid off yet.
    pub debt: u64,
    /// The node was alone for so long that only the reserve is left.
    #[serde(default)]
    pub shrunk: bool,
}

/// Jobs that were begun up to then under what one file said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Spending {
    last: Micros,
    jobs: u64,
    number: u64,
}

/// Times of begun jobs that are told apart at most; beyond, two neighbours count as one, at the later of their times.
const MAX_SPENDING_TIMES: usize = 64;

/// One node's part of one account's credit.
///
/// Spending goes so: while [`CreditBalance::durable_to`] names a note, write it to the disk, one at a time, and say [`CreditBalance::wrote`], or
/// [`CreditBalance::failed`]; then [`CreditBalance::spend`] before a job is begun, and [`CreditBalance::unspend`] only for one that surely never began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CreditBalance {
    part: NodeCredit,
    shrink_after: Micros,
    chunk: u64,
    current: CreditRecord,
    durable: CreditRecord,
    /// The disk did not take the last note.
    write_failed: bool,
    spendings: Vec<Spending>,
}

impl CreditBalance {
    /// The purse of a node that starts, from the note on its disk; none where that was lost, is new, another's, or older than what others
    /// have heard of this node: all counts as spent until standing is confirmed. `chunk` jobs are written ahead at once: so many a crash may cost.
    pub fn restore(
        part: NodeCredit,
        shrink_after: Micros,
        chunk: u64,
        disk: Option<CreditRecord>,
    ) -> CreditBalance {
        let disk = disk.unwrap_or(CreditRecord { spent: part.total, debt: 0, shrunk: false });
        let chunk = chunk.max(1);
        let mut balance = CreditBalance {
            part,
            shrink_after,
            chunk,
            current: disk,
            durable: disk,
            write_failed: false,
            spendings: Vec::new(),
        };
        // Nobody knows any more when those were begun, and under which file: they count as the last, under none.
        balance.add_spending(disk.spent.min(part.total), 0, Micros::MAX);
        balance
    }

    /// The operators' file gives this node another part. What was spent stays spent.
    pub fn resize(&mut self, part: NodeCredit, shrink_after: Micros) {
        (self.part, self.shrink_after) = (part, shrink_after);
    }

    fn add_spending(&mut self, jobs: u64, number: u64, at: Micros) {
        if jobs == 0 {
            return;
        }
        match self.spendings.iter_mut().find(|b| b.last == at && b.number == number) {
            Some(same) => same.jobs = same.jobs.saturating_add(jobs),
            None => self.spendings.push(Spending { last: at, jobs, number }),
        }
        if self.spendings.len() > MAX_SPENDING_TIMES {
            self.spendings.sort_by_key(|b| b.last);
            // The two neighbours with the fewest jobs become one; those of which no time is known stay apart.
            let known = self.spendings.iter().zip(self.spendings.iter().skip(1)).enumerate();
            let pairs = known.filter(|(_, (_, later))| later.last < Micros::MAX);
            let fewest = pairs.min_by_key(|(_, (a, b))| a.jobs.saturating_add(b.jobs)).map(|(k, _)| k);
            if let Some(first) = fewest.map(|k| self.spendings.remove(k)) {
                if let Some(later) = fewest.and_then(|k| self.spendings.get_mut(k)) {
                    later.jobs = later.jobs.saturating_add(first.jobs);
                    later.number = later.number.min(first.number);
                }
            }
        }
    }

    /// Jobs that may still be begun at `now` on the steady clock where standing can't be confirmed since `unconfirmed_since`. A part that has
    /// shrunk to its reserve stays so until standing is confirmed, also over a restart.
    pub fn left_at(&mut self, now: Micros, unconfirmed_since: Option<Micros>) -> u64 {
        let long = unconfirmed_since.is_some_and(|since| now.saturating_sub(since) >= self.shrink_after);
        self.current.shrunk |= long;
        self.left()
    }

    /// Jobs that may still be begun, the note on the disk apart.
    pub fn left(&self) -> u64 {
        let part = if self.current.shrunk { self.part.reserve } else { self.part.total };
        part.saturating_sub(self.current.spent).saturating_sub(self.current.debt)
    }

    /// Jobs that may still be begun by what the disk has.
    pub fn durable_left(&self) -> u64 {
        let noted = self.current.debt <= self.durable.debt && (self.durable.shrunk || !self.current.shrunk);
        if noted {
            self.durable.spent.saturating_sub(self.current.spent).min(self.left())
        } else {
            0
        }
    }

    /// What has to be on the disk before more is spent; none where enough is. Asked for before the last written one is used up, so that
    /// nobody waits for the disk.
    pub fn record_to_write(&self) -> Option<CreditRecord> {
        let CreditRecord { spent, debt, shrunk } = self.current;
        // Never more than the disk has; after a confirmation it may be taken for less.
        let ahead = self.durable.spent.saturating_sub(spent);
        let short = ahead <= self.chunk / 2 && ahead < self.left();
        let spent =
            if short { spent.saturating_add(self.chunk.min(self.left())) } else { self.durable.spent };
        let wanted = CreditRecord { spent: spent.max(self.durable.spent), debt, shrunk };
        // Debts that were paid and a part that is total again may wait for the next note.
        let grave = debt > self.durable.debt || (shrunk && !self.durable.shrunk);
        (short || grave).then_some(wanted)
    }

    /// That note is on the disk. What was noted there before is void.
    pub fn record_written(&mut self, note: CreditRecord) {
        (self.durable, self.write_failed) = (note, false);
    }

    /// The disk did not take a note: nothing is spent beyond the last that it took.
    pub fn write_failed(&mut self) {
        self.write_failed = true;
    }

    /// Whether the disk did not take the last note.
    pub fn has_write_failed(&self) -> bool {
        self.write_failed
    }

    /// Use one for a job that is begun at that Unix time under what the file of that number says; false where none is left, or the
    /// disk does not have it yet.
    pub fn spend(&mut self, number: u64, now_unix: Micros) -> bool {
        let disk = self.current.spent < self.durable.spent && self.current.debt <= self.durable.debt;
        if self.left() == 0 || !disk || (self.current.shrunk && !self.durable.shrunk) {
            return false;
        }
        self.current.spent += 1;
        self.add_spending(1, number, now_unix);
        true
    }

    /// A job for which one was spent surely never began: it was refused for something else.
    pub fn refund(&mut self, number: u64, now_unix: Micros) {
        let same = |b: &&mut Spending| b.jobs > 0 && b.number == number && b.last == now_unix;
        if let Some(begun) = self.spendings.iter_mut().find(same) {
            begun.jobs -= 1;
            self.current.spent = self.current.spent.saturating_sub(1);
        }
    }

    /// Standing is confirmed: it is that. What was spent is given back, but what was begun against a standing that bars new work, as a file
    /// says that this node was not told of, is owed from now on. Returns how much that is. What was written ahead before
    /// a restart counts as begun; the histories of placements say it exactly.
    pub fn confirmed(&mut self, change: &Change) -> u64 {
        let against = |b: &&Spending| {
            change.standing.rejects_new_work() && b.number < change.number && b.last >= change.from
        };
        let owed = self.spendings.iter().filter(against).fold(0u64, |sum, b| sum.saturating_add(b.jobs));
        self.spendings.clear();
        if self.current.spent > 0 || self.current.shrunk {
            // The disk has more; what is spent next is noted anew, so that a restart costs a chunk and not all of it.
            self.durable.spent = 0;
        }
        self.current = CreditRecord { spent: 0, debt: self.current.debt.saturating_add(owed), shrunk: false };
        owed
    }

    /// Jobs that reconciling histories found to be owed beyond those known here.
    pub fn add_debt(&mut self, jobs: u64) {
        self.current.debt = self.current.debt.saturating_add(jobs);
    }

    /// Pay off `step` jobs of the debt at most; returns what is still owed. Until it is paid, so much less may be begun.
    pub fn pay_debt(&mut self, step: u64) -> u64 {
        self.current.debt = self.current.debt.saturating_sub(step);
        self.current.debt
    }

    /// What was spent and is owed.
    pub fn current_record(&self) -> CreditRecord {
        self.current
    }
}
