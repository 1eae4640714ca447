//! Decides whether a request is admitted by its account, and which restrictions the scheduler must apply to each account.
//!
//! Closing an account doesn't discard its jobs: a job that must not run twice and whose outcome is unknown keeps the state
//! "may have run" in the placement history.

use crate::credit::CreditBalance;
use crate::in_flight::{AcceptedRequests, Key};
use crate::registry::AccountRegistry;
use crate::{AccountStatus, Change, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The credit balances of the accounts that have a credit, by account.
pub type CreditBalances = BTreeMap<String, CreditBalance>;

/// The time of a decision, and whether standing can be confirmed at that time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Unix time by this node's clock, in microseconds.
    pub unix: Micros,
    /// Monotonic time in microseconds.
    pub steady: Micros,
    /// The monotonic time since which standing can't be confirmed; `None` where it can.
    pub unconfirmed_since: Option<Micros>,
}

/// The reason for refusing a request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    thiserror::Error,
    miette::Diagnostic,
)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The account is closing and admits no new work.
    #[error("account closing")]
    #[diagnostic(help(
        "accepted jobs still finish; to reopen the account, submit an accounts file with a greater number"
    ))]
    Closing,
    /// The account is closed, and its accepted jobs are stopped as well.
    #[error("account closed")]
    #[diagnostic(help("to reopen the account, submit an accounts file with a greater number"))]
    Closed,
    /// Standing can't be confirmed and this node's credit for the account is spent.
    #[error("standing not confirmed")]
    #[diagnostic(help(
        "this site can't reach enough of the others and has spent its credit for the account: restore the site's links, or raise (credit ...)"
    ))]
    CreditSpent,
    /// Standing can't be confirmed and no credit record on disk covers the request.
    #[error("standing not confirmed, disk not written")]
    #[diagnostic(help(
        "free space on the node's disk, or repair it; credit is spent only after it was recorded there"
    ))]
    #[serde(rename = "no-disk")]
    DiskWriteFailed,
}

/// The answer to a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// The reason that the client is given.
    #[serde(rename = "why")]
    pub reason: RefusalReason,
    /// The client may retry later, so the answer has a `Retry-After` field.
    pub retry: bool,
}

impl Refusal {
    fn of(reason: RefusalReason) -> Refusal {
        Refusal {
            reason,
            retry: matches!(reason, RefusalReason::CreditSpent | RefusalReason::DiskWriteFailed),
        }
    }
}

/// The decision on a request, as far as its account is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admit,
    /// The request is admitted without confirmed standing, and one job of the account's credit was spent for it.
    AdmitOnCredit,
    /// The request is refused.
    Refuse(Refusal),
}

/// Decides whether to admit a request of `tenant`.
///
/// Without a balance the account's credit is unlimited: requests are admitted as if standing were confirmed.
///
/// If the request is then accepted, the caller must call [`AcceptedRequests::record`]. If it is refused for another reason after
/// [`AdmissionDecision::AdmitOnCredit`], the caller must call [`CreditBalance::refund`] with the number from
/// [`AccountRegistry::change_at`] and the same Unix time.
pub fn decide(
    registry: &AccountRegistry,
    balance: Option<&mut CreditBalance>,
    accepted: &AcceptedRequests,
    tenant: &str,
    key: Option<&Key>,
    now: Now,
) -> AdmissionDecision {
    let Change { number, standing, .. } = registry.change_at(tenant, now.unix);
    let refuse = |reason| AdmissionDecision::Refuse(Refusal::of(reason));
    if standing == AccountStatus::Closed {
        return refuse(RefusalReason::Closed);
    }
    if accepted.contains(tenant, key, now.steady) {
        return AdmissionDecision::Admit;
    }
    if standing == AccountStatus::Closing {
        return refuse(RefusalReason::Closing);
    }
    let Some(balance) = balance.filter(|_| now.unconfirmed_since.is_some()) else {
        return AdmissionDecision::Admit;
    };
    if balance.left_at(now.steady, now.unconfirmed_since) == 0 {
        return refuse(RefusalReason::CreditSpent);
    }
    match balance.spend(number, now.unix) {
        true => AdmissionDecision::AdmitOnCredit,
        false => refuse(RefusalReason::DiskWriteFailed),
    }
}

/// Returns the answer for a new request that the scheduler didn't accept because of its account's [`Restriction`].
pub fn refusal(
    registry: &AccountRegistry,
    balance: Option<&CreditBalance>,
    tenant: &str,
    now: Now,
) -> Refusal {
    Refusal::of(match registry.standing_at(tenant, now.unix) {
        AccountStatus::Closed => RefusalReason::Closed,
        AccountStatus::Closing => RefusalReason::Closing,
        _ if balance.is_some_and(CreditBalance::has_write_failed) => RefusalReason::DiskWriteFailed,
        _ => RefusalReason::CreditSpent,
    })
}

/// The limits that the scheduler applies to an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Restriction {
    /// Most new jobs that may start: `None` for no limit, 0 where no new work is admitted.
    pub max_new_jobs: Option<u64>,
    /// Accepted jobs may be sent to servers. False where the account is closed.
    pub may_send: bool,
}

/// The restrictions by account. Accounts that are not listed are not restricted.
pub type Restrictions = BTreeMap<String, Restriction>;

/// Returns the restrictions of all accounts that are closing, closed or on credit.
pub fn restrictions(registry: &AccountRegistry, balances: &mut CreditBalances, now: Now) -> Restrictions {
    let mut by_account = Restrictions::new();
    for (account, balance) in balances.iter_mut() {
        if now.unconfirmed_since.is_some() {
            let left = balance.left_at(now.steady, now.unconfirmed_since);
            // After a failed write, jobs beyond the durable record would not count as spent after a restart.
            let max_new_jobs = Some(if balance.has_write_failed() { balance.durable_left() } else { left });
            by_account.insert(account.clone(), Restriction { max_new_jobs, may_send: true });
        }
    }
    for account in registry.accounts_in_newest_file() {
        let standing = registry.standing_at(account, now.unix);
        if standing.rejects_new_work() {
            let restriction =
                Restriction { max_new_jobs: Some(0), may_send: standing != AccountStatus::Closed };
            by_account.insert(account.to_string(), restriction);
        }
    }
    by_account
}
