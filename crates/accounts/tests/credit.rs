//! Credit and admission: parts add up, restarts don't restore credit, and jobs started after an account was closed become debt.

use proptest::prelude::*;
use shorepath_accounts::admission::{
    decide, restrictions, AdmissionDecision, CreditBalances, Now, Refusal, RefusalReason, Restriction,
};
use shorepath_accounts::config::AccountsFile;
use shorepath_accounts::credit::{
    divide, Credit, CreditBalance, CreditError, CreditRecord, NodeCredit, SiteShare,
};
use shorepath_accounts::in_flight::{AcceptedRequests, Key};
use shorepath_accounts::registry::AccountRegistry;
use shorepath_accounts::{AccountStatus, Change};

fn share(nodes: u32, weight: Option<u64>) -> SiteShare {
    SiteShare { site: "s".into(), nodes, weight }
}

fn change(number: u64, standing: AccountStatus, from: i64) -> Change {
    Change { number, standing, from, reason: String::new() }
}

fn record(spent: u64, debt: u64, shrunk: bool) -> CreditRecord {
    CreditRecord { spent, debt, shrunk }
}

const PART: NodeCredit = NodeCredit { total: 10, reserve: 2 };
const LONG: i64 = 60_000_000;

/// Returns an unspent balance whose empty record is on disk.
fn unspent() -> CreditBalance {
    CreditBalance::restore(PART, LONG, 4, Some(CreditRecord::default()))
}

fn write(balance: &mut CreditBalance) -> Option<CreditRecord> {
    let record = balance.record_to_write()?;
    balance.record_written(record);
    Some(record)
}

proptest! {
    #[test]
    fn divided_credit_adds_up_to_the_total(
        total in prop_oneof![0..100u64, any::<u64>()], reserve_percent in 0..=100u64,
        sites in prop::collection::vec((1..9u32, prop::option::of(prop_oneof![0..5u64, any::<u64>()])), 1..9),
    ) {
        let reserve = (u128::from(total) * u128::from(reserve_percent) / 100) as u64;
        let sites: Vec<SiteShare> = sites.into_iter().map(|(n, w)| share(n, w)).collect();
        let divided = divide(&Credit { total, reserve, shrink_after: 0 }, &sites);
        if sites.iter().all(|s| s.weight == Some(0)) && total > 0 {
            prop_assert_eq!(divided, Err(CreditError::NoRecipient { total }));
        } else {
            let all: Vec<NodeCredit> = divided.unwrap().concat();
            prop_assert_eq!(all.iter().map(|p| u128::from(p.total)).sum::<u128>(), u128::from(total));
            prop_assert_eq!(all.iter().map(|p| u128::from(p.reserve)).sum::<u128>(), u128::from(reserve));
            prop_assert!(all.iter().all(|p| p.reserve <= p.total));
        }
    }

    #[test]
    fn restarts_do_not_restore_credit(steps in prop::collection::vec(0..4u8, 1..80)) {
        let (mut balance, mut disk, mut started) = (unspent(), CreditRecord::default(), 0);
        for (now, step) in (0i64..).zip(steps) {
            match step {
                0 => if let Some(record) = write(&mut balance) { disk = record },
                1 => balance = CreditBalance::restore(PART, LONG, 4, Some(disk)),
                _ => started += u64::from(balance.spend(1, now)),
            }
        }
        prop_assert!(started <= PART.total, "{} started", started);
    }
}

#[test]
fn indivisible_credit_is_rejected() {
    let credit = Credit { total: 5, reserve: 6, shrink_after: 0 };
    assert_eq!(
        divide(&credit, &[share(1, None)]),
        Err(CreditError::ReserveExceedsTotal { total: 5, reserve: 6 })
    );
    let credit = Credit { reserve: 1, ..credit };
    assert_eq!(divide(&credit, &[share(0, Some(1))]), Err(CreditError::NoNodes { site: "s".into() }));
}

#[test]
fn spending_is_limited_by_the_durable_record() {
    let mut balance = unspent();
    assert!(!balance.spend(1, 0), "no record on disk covers a job yet");
    assert_eq!(write(&mut balance), Some(record(4, 0, false)));
    assert!(balance.spend(1, 0) && balance.record_to_write().is_none());
    assert!(balance.spend(1, 0), "the next record is due before this one is used up");
    assert_eq!(balance.record_to_write(), Some(record(6, 0, false)));
    balance.write_failed();
    assert!(balance.spend(1, 0) && balance.spend(1, 0) && !balance.spend(1, 0) && balance.has_write_failed());
    assert_eq!(balance.left_at(LONG - 1, Some(0)), 6);
    assert_eq!(balance.left_at(LONG, Some(0)), 0, "the four spent jobs exceed the reserve of two");
    assert_eq!(
        CreditBalance::restore(PART, LONG, 4, None).left(),
        0,
        "with a lost disk all credit counts as spent"
    );
    let mut shrunk = unspent();
    assert_eq!(shrunk.left_at(LONG, Some(0)), 2);
    let disk = write(&mut shrunk);
    assert_eq!(
        CreditBalance::restore(PART, LONG, 4, disk).left(),
        0,
        "the jobs written ahead count as spent, and the credit stays shrunk"
    );
}

#[test]
fn jobs_started_after_closing_become_debt_that_is_paid_in_steps() {
    let mut balance = unspent();
    write(&mut balance);
    for at in [5, 10, 15] {
        assert!(balance.spend(1, at));
    }
    let mut good = balance.clone();
    assert_eq!((good.confirmed(&change(2, AccountStatus::Warned, 0)), good.left()), (0, 10));
    assert!(!good.spend(2, 20), "a new record must be on disk first");
    assert_eq!(write(&mut good), Some(record(4, 0, false)));
    assert_eq!((good.confirmed(&change(1, AccountStatus::Closed, 0)), good.record_to_write()), (0, None));
    assert_eq!(balance.confirmed(&change(2, AccountStatus::Closed, 10)), 2);
    assert_eq!(balance.left(), 8);
    assert_eq!(write(&mut balance), Some(record(4, 2, false)));
    assert_eq!([balance.pay_debt(1), balance.pay_debt(5), balance.left()], [1, 0, 10]);
    // Merged spendings count at the later of their times.
    let mut many = CreditBalance::restore(
        NodeCredit { total: 500, reserve: 0 },
        LONG,
        500,
        Some(CreditRecord::default()),
    );
    write(&mut many);
    assert!((0..500).all(|at| many.spend(1, at)));
    let owed = many.confirmed(&change(2, AccountStatus::Closing, 250));
    assert!((250..=270).contains(&owed), "{owed}");
}

#[test]
fn decisions_distinguish_repeats_from_new_requests() {
    let mut registry = AccountRegistry::new();
    let confirmed = Now { unix: 0, steady: 0, unconfirmed_since: None };
    let key = Key::of(Some("k"), Some("r"));
    let mut accepted = AcceptedRequests::new(10, LONG);
    assert_eq!(decide(&registry, None, &accepted, "acme", key.as_ref(), confirmed), AdmissionDecision::Admit);
    accepted.record("acme", key.as_ref(), 0);
    let closing = change(1, AccountStatus::Closing, 100);
    registry.add_file(&AccountsFile::new(1, [("acme".to_string(), closing)].into()));
    let later = Now { unix: 100, ..confirmed };
    let refuse = |reason, retry| AdmissionDecision::Refuse(Refusal { reason, retry });
    let decision =
        |tenant: &str, key: Option<Key>, now| decide(&registry, None, &accepted, tenant, key.as_ref(), now);
    assert_eq!(
        decision("acme", Key::of(Some("n"), None), confirmed),
        AdmissionDecision::Admit,
        "the closing starts later"
    );
    assert_eq!(decision("acme", Key::of(Some("k"), Some("other")), later), AdmissionDecision::Admit);
    for new in [Key::of(Some("n"), None), Key::of(None, Some("k")), Key::of(Some("r"), None), None] {
        assert_eq!(decision("acme", new, later), refuse(RefusalReason::Closing, false));
    }
    let old = Now { steady: LONG + 1, ..later };
    assert_eq!(decision("acme", Key::of(Some("k"), None), old), refuse(RefusalReason::Closing, false));
    accepted.record("fyn", Key::of(Some("z"), None).as_ref(), 0);
    assert_eq!(
        decide(&registry, None, &accepted, "acme", Key::of(Some("z"), None).as_ref(), later),
        refuse(RefusalReason::Closing, false)
    );
    let mut balances =
        CreditBalances::from([("fyn".to_string(), unspent()), ("acme".to_string(), unspent())]);
    let unconfirmed = Now { unconfirmed_since: Some(0), ..later };
    let unconfirmed_restrictions = restrictions(&registry, &mut balances, unconfirmed);
    assert_eq!(unconfirmed_restrictions["acme"], Restriction { max_new_jobs: Some(0), may_send: true });
    assert_eq!(unconfirmed_restrictions["fyn"], Restriction { max_new_jobs: Some(10), may_send: true });
    assert_eq!(
        restrictions(&registry, &mut balances, later).len(),
        1,
        "with confirmed standing only the closing account is restricted"
    );
    let mut fyn = unspent();
    assert_eq!(
        decide(&registry, Some(&mut fyn), &accepted, "fyn", None, unconfirmed),
        refuse(RefusalReason::DiskWriteFailed, true)
    );
    write(&mut fyn);
    let decisions: Vec<AdmissionDecision> = (0..11)
        .map(|_| {
            let decision = decide(&registry, Some(&mut fyn), &accepted, "fyn", None, unconfirmed);
            write(&mut fyn);
            decision
        })
        .collect();
    assert_eq!(decisions[9..], [AdmissionDecision::AdmitOnCredit, refuse(RefusalReason::CreditSpent, true)]);
    fyn.refund(1, 100);
    assert_eq!(
        decide(&registry, Some(&mut fyn), &accepted, "fyn", None, unconfirmed),
        AdmissionDecision::AdmitOnCredit
    );
    registry
        .add_file(&AccountsFile::new(2, [("acme".to_string(), change(2, AccountStatus::Closed, 0))].into()));
    assert_eq!(
        decide(&registry, None, &accepted, "acme", key.as_ref(), later),
        refuse(RefusalReason::Closed, false)
    );
    assert_eq!(
        restrictions(&registry, &mut balances, later)["acme"],
        Restriction { max_new_jobs: Some(0), may_send: false }
    );
}

#[test]
fn accepted_requests_are_bounded_in_number_and_age() {
    let key = |k: usize| Key::Request(k.to_string());
    let mut accepted = AcceptedRequests::new(5, 100);
    (0..1_000).for_each(|k| accepted.record("a", Some(&key(k)), 0));
    assert_eq!(accepted.len(), 5);
    assert!(accepted.contains("a", Some(&key(999)), 100) && !accepted.contains("a", Some(&key(994)), 0));
    (0..1_000).for_each(|_| accepted.record("a", Some(&key(999)), 50));
    accepted.evict(101);
    assert_eq!((accepted.len(), accepted.contains("a", Some(&key(999)), 150)), (1, true));
    let mut restored = AcceptedRequests::new(5, 100);
    restored.restore([("a", &key(1), 101), ("a", &key(2), 40)], 1_000);
    assert!(!restored.contains("a", Some(&key(1)), 1_000) && restored.contains("a", Some(&key(2)), 1_060));
}

/// Guards against starting more jobs than the record on disk covers while writes to it fail.
#[test]
fn failed_writes_limit_new_jobs_to_the_durable_record() {
    let mut balances = CreditBalances::from([("acme".to_string(), unspent())]);
    let now = Now { unix: 1, steady: 1, unconfirmed_since: Some(0) };
    let mut limits_after = |change: &dyn Fn(&mut CreditBalance)| {
        change(balances.get_mut("acme").unwrap());
        let max_new_jobs = restrictions(&AccountRegistry::new(), &mut balances, now)["acme"].max_new_jobs;
        (max_new_jobs, balances["acme"].left(), balances["acme"].durable_left())
    };
    let (max_new_jobs, left, durable_left) = limits_after(&|_| ());
    assert!(max_new_jobs == Some(left) && durable_left < left);
    let (max_new_jobs, ..) = limits_after(&|balance| balance.write_failed());
    assert_eq!(max_new_jobs, Some(durable_left));
    let (max_new_jobs, left, durable_left) = limits_after(&|balance| assert!(write(balance).is_some()));
    assert!(max_new_jobs == Some(left) && durable_left > 0);
    let (max_new_jobs, ..) = limits_after(&|balance| {
        balance.write_failed();
        while balance.spend(1, 1) {}
    });
    assert_eq!(max_new_jobs, Some(0));
}
