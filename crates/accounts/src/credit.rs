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
    pub whole: u64,
    /// Those that are left after a long time alone; counted inside the whole.
    pub reserve: u64,
    /// The time alone after which only the reserve is left.
    pub shrink_after: Micros,
}

/// One site among which a credit is divided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Share {
    /// The site's name.
    pub site: String,
    /// Its nodes.
    pub nodes: u32,
    /// Its weight; by its nodes where none is given.
    pub weight: Option<u64>,
}

/// One node's part of a credit, in jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    /// All of it.
    pub whole: u64,
    /// What is left of it after a long time alone; counted inside the whole.
    pub reserve: u64,
}

/// A credit that can't be divided.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum CreditError {
    /// The reserve is no part of the whole.
    #[error("the reserve of {reserve} jobs is more than the whole credit of {whole}")]
    #[diagnostic(help(
        "the reserve is counted inside the whole: raise (credit ...) or lower (reserve ...)"
    ))]
    Reserve {
        /// The whole.
        whole: u64,
        /// The reserve.
        reserve: u64,
    },
    /// There is nobody to have it.
    #[error("no site with a node and a weight above 0 is there to have the credit of {whole} jobs")]
    #[diagnostic(help("list the sites' nodes, or give one site at least a weight above 0"))]
    Nobody {
        /// The whole.
        whole: u64,
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
fn apportion(whole: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let exact = |w: &u64| u128::from(whole) * u128::from(*w);
    let mut parts: Vec<u64> = weights.iter().map(|w| (exact(w) / sum) as u64).collect();
    let mut left = whole - parts.iter().sum::<u64>();
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
pub fn parts(credit: &Credit, sites: &[Share]) -> Result<Vec<Vec<Part>>, CreditError> {
    let Credit { whole, reserve, .. } = *credit;
    let rest = whole.checked_sub(reserve).ok_or(CreditError::Reserve { whole, reserve })?;
    let weights: Vec<u64> = sites.iter().map(|s| s.weight.unwrap_or(u64::from(s.nodes))).collect();
    if let Some((site, _)) = sites.iter().zip(&weights).find(|(s, w)| s.nodes == 0 && **w > 0) {
        return Err(CreditError::NoNodes { site: site.site.clone() });
    }
    if weights.iter().all(|w| *w == 0) && whole > 0 {
        return Err(CreditError::Nobody { whole });
    }
    let (reserves, rests) = (apportion(reserve, &weights), apportion(rest, &weights));
    let nodes = |s: &Share, amount| apportion(amount, &vec![1; s.nodes as usize]);
    Ok(sites
        .iter()
        .zip(reserves.into_iter().zip(rests))
        .map(|(site, (reserve, rest))| {
            let both = nodes(site, reserve).into_iter().zip(nodes(site, rest));
            both.map(|(reserve, rest)| Part { whole: reserve + rest, reserve }).collect()
        })
        .collect())
}

/// What has to be on the disk of a purse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Note {
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
struct Begun {
    last: Micros,
    jobs: u64,
    number: u64,
}

/// Times of begun jobs that are told apart at most; beyond, two neighbours count as one, at the later of their times.
const TIMES: usize = 64;

/// One node's part of one account's credit.
///
/// Spending goes so: while [`CreditBalance::durable_to`] names a note, write it to the disk, one at a time, and say [`CreditBalance::wrote`], or
/// [`CreditBalance::failed`]; then [`CreditBalance::spend`] before a job is begun, and [`CreditBalance::unspend`] only for one that surely never began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CreditBalance {
    part: Part,
    shrink_after: Micros,
    chunk: u64,
    now: Note,
    disk: Note,
    /// The disk did not take the last note.
    broken: bool,
    begun: Vec<Begun>,
}

impl CreditBalance {
    /// The purse of a node that starts, from the note on its disk; none where that was lost, is new, another's, or older than what others
    /// have heard of this node: all counts as spent until standing is confirmed. `chunk` jobs are written ahead at once: so many a crash may cost.
    pub fn restore(part: Part, shrink_after: Micros, chunk: u64, disk: Option<Note>) -> CreditBalance {
        let disk = disk.unwrap_or(Note { spent: part.whole, debt: 0, shrunk: false });
        let chunk = chunk.max(1);
        let mut balance =
            CreditBalance { part, shrink_after, chunk, now: disk, disk, broken: false, begun: Vec::new() };
        // Nobody knows any more when those were begun, and under which file: they count as the last, under none.
        balance.note(disk.spent.min(part.whole), 0, Micros::MAX);
        balance
    }

    /// The operators' file gives this node another part. What was spent stays spent.
    pub fn resize(&mut self, part: Part, shrink_after: Micros) {
        (self.part, self.shrink_after) = (part, shrink_after);
    }

    fn note(&mut self, jobs: u64, number: u64, at: Micros) {
        if jobs == 0 {
            return;
        }
        match self.begun.iter_mut().find(|b| b.last == at && b.number == number) {
            Some(same) => same.jobs = same.jobs.saturating_add(jobs),
            None => self.begun.push(Begun { last: at, jobs, number }),
        }
        if self.begun.len() > TIMES {
            self.begun.sort_by_key(|b| b.last);
            // The two neighbours with the fewest jobs become one; those of which no time is known stay apart.
            let known = self.begun.iter().zip(self.begun.iter().skip(1)).enumerate();
            let pairs = known.filter(|(_, (_, later))| later.last < Micros::MAX);
            let fewest = pairs.min_by_key(|(_, (a, b))| a.jobs.saturating_add(b.jobs)).map(|(k, _)| k);
            if let Some(first) = fewest.map(|k| self.begun.remove(k)) {
                if let Some(later) = fewest.and_then(|k| self.begun.get_mut(k)) {
                    later.jobs = later.jobs.saturating_add(first.jobs);
                    later.number = later.number.min(first.number);
                }
            }
        }
    }

    /// Jobs that may still be begun at `now` on the steady clock where standing can't be confirmed since `alone_since`. A part that has
    /// shrunk to its reserve stays so until standing is confirmed, also over a restart.
    pub fn allow(&mut self, now: Micros, alone_since: Option<Micros>) -> u64 {
        let long = alone_since.is_some_and(|since| now.saturating_sub(since) >= self.shrink_after);
        self.now.shrunk |= long;
        self.left()
    }

    /// Jobs that may still be begun, the note on the disk apart.
    pub fn left(&self) -> u64 {
        let part = if self.now.shrunk { self.part.reserve } else { self.part.whole };
        part.saturating_sub(self.now.spent).saturating_sub(self.now.debt)
    }

    /// Jobs that may still be begun by what the disk has.
    pub fn noted(&self) -> u64 {
        let noted = self.now.debt <= self.disk.debt && (self.disk.shrunk || !self.now.shrunk);
        if noted {
            self.disk.spent.saturating_sub(self.now.spent).min(self.left())
        } else {
            0
        }
    }

    /// What has to be on the disk before more is spent; none where enough is. Asked for before the last written one is used up, so that
    /// nobody waits for the disk.
    pub fn durable_to(&self) -> Option<Note> {
        let Note { spent, debt, shrunk } = self.now;
        // Never more than the disk has; after a confirmation it may be taken for less.
        let ahead = self.disk.spent.saturating_sub(spent);
        let short = ahead <= self.chunk / 2 && ahead < self.left();
        let spent = if short { spent.saturating_add(self.chunk.min(self.left())) } else { self.disk.spent };
        let wanted = Note { spent: spent.max(self.disk.spent), debt, shrunk };
        // Debts that were paid and a part that is whole again may wait for the next note.
        let grave = debt > self.disk.debt || (shrunk && !self.disk.shrunk);
        (short || grave).then_some(wanted)
    }

    /// That note is on the disk. What was noted there before is void.
    pub fn wrote(&mut self, note: Note) {
        (self.disk, self.broken) = (note, false);
    }

    /// The disk did not take a note: nothing is spent beyond the last that it took.
    pub fn failed(&mut self) {
        self.broken = true;
    }

    /// Whether the disk did not take the last note.
    pub fn broken(&self) -> bool {
        self.broken
    }

    /// Use one for a job that is begun at that Unix time under what the file of that number says; false where none is left, or the
    /// disk does not have it yet.
    pub fn spend(&mut self, number: u64, now_unix: Micros) -> bool {
        let disk = self.now.spent < self.disk.spent && self.now.debt <= self.disk.debt;
        if self.left() == 0 || !disk || (self.now.shrunk && !self.disk.shrunk) {
            return false;
        }
        self.now.spent += 1;
        self.note(1, number, now_unix);
        true
    }

    /// A job for which one was spent surely never began: it was refused for something else.
    pub fn unspend(&mut self, number: u64, now_unix: Micros) {
        let same = |b: &&mut Begun| b.jobs > 0 && b.number == number && b.last == now_unix;
        if let Some(begun) = self.begun.iter_mut().find(same) {
            begun.jobs -= 1;
            self.now.spent = self.now.spent.saturating_sub(1);
        }
    }

    /// Standing is confirmed: it is that. What was spent is given back, but what was begun against a standing that bars new work, as a file
    /// says that this node was not told of, is owed from now on. Returns how much that is. What was written ahead before
    /// a restart counts as begun; the histories of placements say it exactly.
    pub fn confirmed(&mut self, change: &Change) -> u64 {
        let against = |b: &&Begun| {
            change.standing.rejects_new_work() && b.number < change.number && b.last >= change.from
        };
        let owed = self.begun.iter().filter(against).fold(0u64, |sum, b| sum.saturating_add(b.jobs));
        self.begun.clear();
        if self.now.spent > 0 || self.now.shrunk {
            // The disk has more; what is spent next is noted anew, so that a restart costs a chunk and not all of it.
            self.disk.spent = 0;
        }
        self.now = Note { spent: 0, debt: self.now.debt.saturating_add(owed), shrunk: false };
        owed
    }

    /// Jobs that reconciling histories found to be owed beyond those known here.
    pub fn owe(&mut self, jobs: u64) {
        self.now.debt = self.now.debt.saturating_add(jobs);
    }

    /// Pay off `step` jobs of the debt at most; returns what is still owed. Until it is paid, so much less may be begun.
    pub fn pay(&mut self, step: u64) -> u64 {
        self.now.debt = self.now.debt.saturating_sub(step);
        self.now.debt
    }

    /// What was spent and is owed.
    pub fn note_now(&self) -> Note {
        self.now
    }
}
