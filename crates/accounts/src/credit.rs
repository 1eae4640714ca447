//! Credit for new jobs while an account's standing can't be confirmed.
//!
//! The credit, a number of jobs per account, is divided among the sites and their nodes ahead of time. That bounds how many jobs of an
//! account that has been closed meanwhile can start during a network partition.
//!
//! A node spends its part against a record on its disk that is written ahead in chunks. The record never shows less than was
//! spent, so a restart doesn't restore credit. A node whose disk was lost has no credit until standing is confirmed.

use crate::{Change, Micros};
use serde::{Deserialize, Serialize};

/// The number of jobs of an account that all sites together may start while its standing can't be confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Credit {
    /// The credit in jobs, including the reserve.
    #[serde(rename = "whole")]
    pub total: u64,
    /// The part in jobs that remains after `shrink_after`.
    pub reserve: u64,
    /// Time without confirmation, in microseconds, after which only the reserve remains.
    pub shrink_after: Micros,
}

/// A site's claim to a part of the credit.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SiteShare {
    /// The site's name, for error messages.
    pub site: String,
    /// How many nodes divide the site's part among them.
    pub nodes: u32,
    /// The site's weight; where it is `None`, the number of its nodes is its weight.
    pub weight: Option<u64>,
}

/// One node's part of an account's credit, in jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeCredit {
    /// The node's credit, including its reserve.
    #[serde(rename = "whole")]
    pub total: u64,
    /// What remains of it after [`Credit::shrink_after`].
    pub reserve: u64,
}

/// A credit that can't be divided among the sites.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum CreditError {
    /// The reserve is larger than the credit that it is a part of.
    #[error("the reserve of {reserve} jobs is more than the credit of {total} jobs")]
    #[diagnostic(help("the reserve is a part of the credit: raise (credit ...) or lower (reserve ...)"))]
    ReserveExceedsTotal {
        /// The credit in jobs.
        total: u64,
        /// The reserve in jobs.
        reserve: u64,
    },
    /// No site has a weight above 0.
    #[error("the credit of {total} jobs can't be divided: no site has a node and a weight above 0")]
    #[diagnostic(help("list the sites' nodes, or give at least one site a weight above 0"))]
    NoRecipient {
        /// The credit in jobs.
        total: u64,
    },
    /// A site with a weight has no node that could use its part.
    #[error("the site {site} has a weight but no nodes")]
    #[diagnostic(help("list the site's nodes, or set its weight to 0"))]
    NoNodes {
        /// The site without nodes, by name.
        site: String,
    },
}

/// Divides `total` in proportion to the weights by the largest remainder method (Hamilton's); of equal remainders the first wins.
/// The result adds up to `total`, or is all 0 where no weight is above 0.
fn apportion(total: u64, weights: &[u64]) -> Vec<u64> {
    let sum: u128 = weights.iter().map(|w| u128::from(*w)).sum();
    if sum == 0 {
        return vec![0; weights.len()];
    }
    let product = |w: &u64| u128::from(total) * u128::from(*w);
    let mut parts: Vec<u64> = weights.iter().map(|w| (product(w) / sum) as u64).collect();
    let mut left = total - parts.iter().sum::<u64>();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by_key(|k| std::cmp::Reverse(weights.get(*k).map_or(0, |w| product(w) % sum)));
    for k in order {
        if left > 0 {
            left -= 1;
            parts.iter_mut().skip(k).take(1).for_each(|p| *p += 1);
        }
    }
    parts
}

/// Divides a credit among all nodes, in the order of `sites`, which must be the same on every node.
///
/// The nodes' totals add up to the credit, and their reserves to its reserve.
///
/// # Errors
/// Returns a [`CreditError`] if the reserve exceeds the credit, or if there is no node to assign a part to.
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
    let among_nodes = |s: &SiteShare, amount| apportion(amount, &vec![1; s.nodes as usize]);
    Ok(sites
        .iter()
        .zip(reserves.into_iter().zip(rests))
        .map(|(site, (reserve, rest))| {
            let node_parts = among_nodes(site, reserve).into_iter().zip(among_nodes(site, rest));
            node_parts.map(|(reserve, rest)| NodeCredit { total: reserve + rest, reserve }).collect()
        })
        .collect())
}

/// What a node stores on its disk about its credit for one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CreditRecord {
    /// Jobs that may have been started since standing was last confirmed; never less than were started.
    pub spent: u64,
    /// Jobs that turned out to have been started after the account was closed to new work, less what was paid off.
    pub debt: u64,
    /// Standing was unconfirmed for so long that only the reserve remains.
    #[serde(default)]
    pub shrunk: bool,
}

/// Jobs that were started on credit by one time while one accounts file applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Spending {
    /// Unix time of the last of these jobs; [`Micros::MAX`] where it is not known.
    last: Micros,
    jobs: u64,
    /// The number of the accounts file, the least one for merged spendings; 0 where it is not known.
    number: u64,
}

/// Most [`Spending`]s kept; beyond that, two neighbours are merged and count at the later of their times.
const MAX_SPENDINGS: usize = 64;

/// One node's balance of one account's credit.
///
/// While [`CreditBalance::record_to_write`] returns a record, the caller writes it to disk, one at a time, and reports the result
/// with [`CreditBalance::record_written`] or [`CreditBalance::write_failed`]. It calls [`CreditBalance::spend`] before it starts a
/// job, and [`CreditBalance::refund`] only for a job that certainly didn't start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CreditBalance {
    part: NodeCredit,
    shrink_after: Micros,
    /// Jobs by which a record is written ahead of the spent credit.
    chunk: u64,
    current: CreditRecord,
    durable: CreditRecord,
    last_write_failed: bool,
    spendings: Vec<Spending>,
}

impl CreditBalance {
    /// Restores the balance of a node that starts from the record on its disk.
    ///
    /// `disk` is `None` if the record was lost, belongs to another node, is older than what peers know of this node, or never
    /// existed: then all credit counts as spent until standing is confirmed. `chunk` is the number of jobs that a record is written
    /// ahead by, so a crash loses at most that much credit.
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
            last_write_failed: false,
            spendings: Vec::new(),
        };
        // The times and the accounts file of these jobs are lost; the latest time and number 0 let any closing file count them as debt.
        balance.add_spending(disk.spent.min(part.total), 0, Micros::MAX);
        balance
    }

    /// Replaces the node's part after a configuration change. Spent credit stays spent.
    pub fn resize(&mut self, part: NodeCredit, shrink_after: Micros) {
        (self.part, self.shrink_after) = (part, shrink_after);
    }

    fn add_spending(&mut self, jobs: u64, number: u64, at: Micros) {
        if jobs == 0 {
            return;
        }
        match self.spendings.iter_mut().find(|spending| spending.last == at && spending.number == number) {
            Some(same) => same.jobs = same.jobs.saturating_add(jobs),
            None => self.spendings.push(Spending { last: at, jobs, number }),
        }
        if self.spendings.len() > MAX_SPENDINGS {
            self.spendings.sort_by_key(|spending| spending.last);
            // Merges the two neighbours with the fewest jobs. Spendings of unknown time are not merged.
            let neighbours = self.spendings.iter().zip(self.spendings.iter().skip(1)).enumerate();
            let pairs = neighbours.filter(|(_, (_, later))| later.last < Micros::MAX);
            let fewest = pairs.min_by_key(|(_, (a, b))| a.jobs.saturating_add(b.jobs)).map(|(k, _)| k);
            if let Some(first) = fewest.map(|k| self.spendings.remove(k)) {
                if let Some(later) = fewest.and_then(|k| self.spendings.get_mut(k)) {
                    later.jobs = later.jobs.saturating_add(first.jobs);
                    later.number = later.number.min(first.number);
                }
            }
        }
    }

    /// Returns how many jobs may still start at `now`, in monotonic time, if standing has been unconfirmed since `unconfirmed_since`.
    ///
    /// Once the credit has shrunk to its reserve, it stays so until standing is confirmed, also across restarts.
    pub fn left_at(&mut self, now: Micros, unconfirmed_since: Option<Micros>) -> u64 {
        let expired = unconfirmed_since.is_some_and(|since| now.saturating_sub(since) >= self.shrink_after);
        self.current.shrunk |= expired;
        self.left()
    }

    /// Returns how many jobs may still start, regardless of the record on disk.
    pub fn left(&self) -> u64 {
        let part = if self.current.shrunk { self.part.reserve } else { self.part.total };
        part.saturating_sub(self.current.spent).saturating_sub(self.current.debt)
    }

    /// Returns how many jobs may still start without another write to disk.
    pub fn durable_left(&self) -> u64 {
        let sufficient =
            self.current.debt <= self.durable.debt && (self.durable.shrunk || !self.current.shrunk);
        if sufficient {
            self.durable.spent.saturating_sub(self.current.spent).min(self.left())
        } else {
            0
        }
    }

    /// Returns the record that must be on disk before more is spent; `None` while the record there suffices.
    ///
    /// A record is due before the last one is used up, so that jobs don't wait for the disk.
    pub fn record_to_write(&self) -> Option<CreditRecord> {
        let CreditRecord { spent, debt, shrunk } = self.current;
        // The durable record is at least this far ahead; after a confirmation it counts as less than the disk really has.
        let ahead = self.durable.spent.saturating_sub(spent);
        let running_low = ahead <= self.chunk / 2 && ahead < self.left();
        let spent =
            if running_low { spent.saturating_add(self.chunk.min(self.left())) } else { self.durable.spent };
        let record = CreditRecord { spent: spent.max(self.durable.spent), debt, shrunk };
        // A paid debt, or a return from the reserve to the total credit, can wait for the next record.
        let urgent = debt > self.durable.debt || (shrunk && !self.durable.shrunk);
        (running_low || urgent).then_some(record)
    }

    /// Reports that `record` has replaced the one on disk.
    pub fn record_written(&mut self, record: CreditRecord) {
        (self.durable, self.last_write_failed) = (record, false);
    }

    /// Reports a failed write. Spending continues only up to the last record that was written.
    pub fn write_failed(&mut self) {
        self.last_write_failed = true;
    }

    /// Whether the last write of a record failed.
    pub fn has_write_failed(&self) -> bool {
        self.last_write_failed
    }

    /// Spends one job that starts at Unix time `now_unix` while the accounts file with this number applies.
    ///
    /// Returns false if no credit is left, or if the record on disk doesn't cover the job yet.
    pub fn spend(&mut self, number: u64, now_unix: Micros) -> bool {
        let covered = self.current.spent < self.durable.spent && self.current.debt <= self.durable.debt;
        if self.left() == 0 || !covered || (self.current.shrunk && !self.durable.shrunk) {
            return false;
        }
        self.current.spent += 1;
        self.add_spending(1, number, now_unix);
        true
    }

    /// Returns the credit for a job that certainly didn't start; `number` and `now_unix` are those passed to [`CreditBalance::spend`].
    pub fn refund(&mut self, number: u64, now_unix: Micros) {
        let same = |b: &&mut Spending| b.jobs > 0 && b.number == number && b.last == now_unix;
        if let Some(spending) = self.spendings.iter_mut().find(same) {
            spending.jobs -= 1;
            self.current.spent = self.current.spent.saturating_sub(1);
        }
    }

    /// Restores the credit once standing is confirmed, and returns how many jobs are added to the debt.
    ///
    /// Those are the jobs that started after `change` closed the account to new work, under an older accounts file. Jobs that were only
    /// written ahead before a restart count as started; reconciling the placement histories gives the exact number.
    pub fn confirmed(&mut self, change: &Change) -> u64 {
        let refused_by_change = |b: &&Spending| {
            change.standing.rejects_new_work() && b.number < change.number && b.last >= change.from
        };
        let owed =
            self.spendings.iter().filter(refused_by_change).fold(0u64, |sum, b| sum.saturating_add(b.jobs));
        self.spendings.clear();
        if self.current.spent > 0 || self.current.shrunk {
            // A lower value forces a new record before the next job, so that a restart loses one chunk instead of all that was spent.
            self.durable.spent = 0;
        }
        self.current = CreditRecord { spent: 0, debt: self.current.debt.saturating_add(owed), shrunk: false };
        owed
    }

    /// Adds jobs to the debt that reconciling the placement histories found.
    pub fn add_debt(&mut self, jobs: u64) {
        self.current.debt = self.current.debt.saturating_add(jobs);
    }

    /// Pays off at most `step` jobs of the debt and returns the rest. The rest reduces the available credit.
    pub fn pay_debt(&mut self, step: u64) -> u64 {
        self.current.debt = self.current.debt.saturating_sub(step);
        self.current.debt
    }

    /// Returns the spent credit and the debt as they are now, which may be ahead of or behind the record on disk.
    pub fn current_record(&self) -> CreditRecord {
        self.current
    }
}
