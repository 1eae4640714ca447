//! What is done with a request of an account, and what the decision module is told of all accounts.
//!
//! Nothing here forgets a job: one that must not repeat, of an account that is closing or closed, whose outcome is unknown stays 'may
//! have run' where that is kept.

use crate::credit::CreditBalance;
use crate::in_flight::{AcceptedRequests, Key};
use crate::registry::AccountRegistry;
use crate::{AccountStatus, Change, Micros};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The purses of accounts that have a credit.
pub type CreditBalances = BTreeMap<String, CreditBalance>;

/// When a question is asked, and whether standing can be confirmed then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Now {
    /// Unix time by this node's clock.
    pub unix: Micros,
    /// The steady clock.
    pub steady: Micros,
    /// Since when, on the steady clock, standing can't be confirmed; none where it can.
    pub unconfirmed_since: Option<Micros>,
}

/// Why a request is refused.
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
    /// Nothing new is taken of its account.
    #[error("account closing")]
    #[diagnostic(help(
        "what was taken is finished; a file of accounts with a greater number opens the account again"
    ))]
    Closing,
    /// Nothing of its account runs any more.
    #[error("account closed")]
    #[diagnostic(help("a file of accounts with a greater number opens the account again"))]
    Closed,
    /// Its standing can't be confirmed, and what may be begun without is used up.
    #[error("standing not confirmed")]
    #[diagnostic(help(
        "the site is alone and the account's credit here is spent: mend its links, or give it more credit"
    ))]
    CreditSpent,
    /// Its standing can't be confirmed, and the disk does not take what would be spent.
    #[error("standing not confirmed, disk not written")]
    #[diagnostic(help(
        "make room on the node's disk, or mend it; credit is spent only after it was noted there"
    ))]
    NoDisk,
}

/// A final answer at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    #[serde(rename = "why")]
    pub reason: RefusalReason,
    /// It may do to ask again later: `Retry-After` is sent.
    pub retry: bool,
}

impl Refusal {
    fn of(reason: RefusalReason) -> Refusal {
        Refusal { reason, retry: matches!(reason, RefusalReason::CreditSpent | RefusalReason::NoDisk) }
    }
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdmissionDecision {
    /// It is taken, as far as its account goes.
    Admit,
    /// It is taken on unconfirmed standing, and one of the account's credit was spent for it.
    AdmitOnCredit,
    /// It is refused.
    Refuse(Refusal),
}

/// Rule on a request. An account without a purse has no bounded credit: it is served on unconfirmed standing as if that were confirmed.
///
/// The caller tells [`AcceptedRequests::take`] of a request that is then taken, and [`CreditBalance::unspend`] of one that is refused for something
/// else after [`AdmissionDecision::AdmitOnCredit`], with [`AccountRegistry::change`]'s number and the same Unix time.
pub fn decide(
    book: &AccountRegistry,
    balance: Option<&mut CreditBalance>,
    taken: &AcceptedRequests,
    tenant: &str,
    key: Option<&Key>,
    now: Now,
) -> AdmissionDecision {
    let Change { number, standing, .. } = book.change_at(tenant, now.unix);
    let refuse = |reason| AdmissionDecision::Refuse(Refusal::of(reason));
    if standing == AccountStatus::Closed {
        return refuse(RefusalReason::Closed);
    }
    if taken.contains(tenant, key, now.steady) {
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
        false => refuse(RefusalReason::NoDisk),
    }
}

/// Why the decision module has not taken something new of an account, for its client.
pub fn refusal(book: &AccountRegistry, balance: Option<&CreditBalance>, tenant: &str, now: Now) -> Refusal {
    Refusal::of(match book.standing_at(tenant, now.unix) {
        AccountStatus::Closed => RefusalReason::Closed,
        AccountStatus::Closing => RefusalReason::Closing,
        _ if balance.is_some_and(CreditBalance::has_write_failed) => RefusalReason::NoDisk,
        _ => RefusalReason::CreditSpent,
    })
}

/// What the decision module is told of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Restriction {
    /// Jobs that may still be begun; none where that is not bounded, 0 where nothing new is taken.
    pub max_new_jobs: Option<u64>,
    /// What is held may be sent: what was taken runs on. False where nothing runs any more.
    pub may_send: bool,
}

/// What the decision module is told: accounts that aren't named are not bounded.
pub type Restrictions = BTreeMap<String, Restriction>;

/// The bars of all accounts that are barred or go on credit.
pub fn restrictions(book: &AccountRegistry, balances: &mut CreditBalances, now: Now) -> Restrictions {
    let mut all = Restrictions::new();
    for (account, balance) in balances.iter_mut() {
        if now.unconfirmed_since.is_some() {
            let left = balance.left_at(now.steady, now.unconfirmed_since);
            // Where the disk fails, what is begun beyond its note would be begun once more after a restart.
            let max_new_jobs = Some(if balance.has_write_failed() { balance.durable_left() } else { left });
            all.insert(account.clone(), Restriction { max_new_jobs, may_send: true });
        }
    }
    for account in book.accounts_in_newest_file() {
        let standing = book.standing_at(account, now.unix);
        if standing.rejects_new_work() {
            let restriction =
                Restriction { max_new_jobs: Some(0), may_send: standing != AccountStatus::Closed };
            all.insert(account.to_string(), restriction);
        }
    }
    all
}
