//! Credit: its parts add up, a restart refills nothing, and what turned out to be against a closed standing is owed.

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

fn note(spent: u64, debt: u64, shrunk: bool) -> CreditRecord {
    CreditRecord { spent, debt, shrunk }
}

const PART: NodeCredit = NodeCredit { total: 10, reserve: 2 };
const LONG: i64 = 60_000_000;

/// A purse with nothing spent, whose disk follows at once.
fn fresh() -> CreditBalance {
    CreditBalance::restore(PART, LONG, 4, Some(CreditRecord::default()))
}

fn write(balance: &mut CreditBalance) -> Option<CreditRecord> {
    let note = balance.record_to_write()?;
    balance.record_written(note);
    Some(note)
}

proptest! {
    #[test]
    fn parts_add_up_exactly(
        total in prop_oneof![0..100u64, any::<u64>()], share_of in 0..=100u64,
        sites in prop::collection::vec((1..9u32, prop::option::of(prop_oneof![0..5u64, any::<u64>()])), 1..9),
    ) {
        let reserve = (u128::from(total) * u128::from(share_of) / 100) as u64;
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
    fn restarts_refill_nothing(steps in prop::collection::vec(0..4u8, 1..80)) {
        let (mut balance, mut disk, mut begun) = (fresh(), CreditRecord::default(), 0);
        for (now, step) in (0i64..).zip(steps) {
            match step {
                0 => if let Some(note) = write(&mut balance) { disk = note },
                1 => balance = CreditBalance::restore(PART, LONG, 4, Some(disk)),
                _ => begun += u64::from(balance.spend(1, now)),
            }
        }
        prop_assert!(begun <= PART.total, "{} begun", begun);
    }
}

#[test]
fn what_can_t_be_divided_is_told() {
    let credit = Credit { total: 5, reserve: 6, shrink_after: 0 };
    assert_eq!(
        divide(&credit, &[share(1, None)]),
        Err(CreditError::ReserveExceedsTotal { total: 5, reserve: 6 })
    );
    let credit = Credit { reserve: 1, ..credit };
    assert_eq!(divide(&credit, &[share(0, Some(1))]), Err(CreditError::NoNodes { site: "s".into() }));
}

#[test]
fn a_part_is_spent_as_far_as_the_disk_knows() {
    let mut balance = fresh();
    assert!(!balance.spend(1, 0), "nothing is noted yet");
    assert_eq!(write(&mut balance), Some(note(4, 0, false)));
    assert!(balance.spend(1, 0) && balance.record_to_write().is_none());
    assert!(balance.spend(1, 0), "the next note is asked for before this one is used up");
    assert_eq!(balance.record_to_write(), Some(note(6, 0, false)));
    balance.write_failed();
    assert!(balance.spend(1, 0) && balance.spend(1, 0) && !balance.spend(1, 0) && balance.has_write_failed());
    assert_eq!(balance.left_at(LONG - 1, Some(0)), 6);
    assert_eq!(balance.left_at(LONG, Some(0)), 0, "four are spent, two are the reserve");
    assert_eq!(CreditBalance::restore(PART, LONG, 4, None).left(), 0, "a lost disk counts as all spent");
    let mut shrunk = fresh();
    assert_eq!(shrunk.left_at(LONG, Some(0)), 2);
    let disk = write(&mut shrunk);
    assert_eq!(CreditBalance::restore(PART, LONG, 4, disk).left(), 0, "written ahead, and shrunk");
}

#[test]
fn what_was_begun_against_a_closed_standing_is_owed_and_paid_in_steps() {
    let mut balance = fresh();
    write(&mut balance);
    for at in [5, 10, 15] {
        assert!(balance.spend(1, at));
    }
    let mut good = balance.clone();
    assert_eq!((good.confirmed(&change(2, AccountStatus::Warned, 0)), good.left()), (0, 10));
    assert!(!good.spend(2, 20), "the disk has to say so first");
    assert_eq!(write(&mut good), Some(note(4, 0, false)));
    assert_eq!((good.confirmed(&change(1, AccountStatus::Closed, 0)), good.record_to_write()), (0, None));
    assert_eq!(balance.confirmed(&change(2, AccountStatus::Closed, 10)), 2);
    assert_eq!(balance.left(), 8);
    assert_eq!(write(&mut balance), Some(note(4, 2, false)));
    assert_eq!([balance.pay_debt(1), balance.pay_debt(5), balance.left()], [1, 0, 10]);
    // Times that can't be told apart any more count as the later one.
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
fn rulings_tell_running_work_from_new() {
    let mut book = AccountRegistry::new();
    let linked = Now { unix: 0, steady: 0, unconfirmed_since: None };
    let key = Key::of(Some("k"), Some("r"));
    let mut taken = AcceptedRequests::new(10, LONG);
    assert_eq!(decide(&book, None, &taken, "acme", key.as_ref(), linked), AdmissionDecision::Admit);
    taken.record("acme", key.as_ref(), 0);
    let closing = change(1, AccountStatus::Closing, 100);
    book.add_file(&AccountsFile::new(1, [("acme".to_string(), closing)].into()));
    let later = Now { unix: 100, ..linked };
    let refuse = |reason, retry| AdmissionDecision::Refuse(Refusal { reason, retry });
    let asks = |tenant: &str, key: Option<Key>, now| decide(&book, None, &taken, tenant, key.as_ref(), now);
    assert_eq!(asks("acme", Key::of(Some("n"), None), linked), AdmissionDecision::Admit, "not yet");
    assert_eq!(asks("acme", Key::of(Some("k"), Some("other")), later), AdmissionDecision::Admit);
    for new in [Key::of(Some("n"), None), Key::of(None, Some("k")), Key::of(Some("r"), None), None] {
        assert_eq!(asks("acme", new, later), refuse(RefusalReason::Closing, false));
    }
    let old = Now { steady: LONG + 1, ..later };
    assert_eq!(asks("acme", Key::of(Some("k"), None), old), refuse(RefusalReason::Closing, false));
    taken.record("fyn", Key::of(Some("z"), None).as_ref(), 0);
    assert_eq!(
        decide(&book, None, &taken, "acme", Key::of(Some("z"), None).as_ref(), later),
        refuse(RefusalReason::Closing, false)
    );
    let mut balances = CreditBalances::from([("fyn".to_string(), fresh()), ("acme".to_string(), fresh())]);
    let alone = Now { unconfirmed_since: Some(0), ..later };
    let restrictions_alone = restrictions(&book, &mut balances, alone);
    assert_eq!(restrictions_alone["acme"], Restriction { max_new_jobs: Some(0), may_send: true });
    assert_eq!(restrictions_alone["fyn"], Restriction { max_new_jobs: Some(10), may_send: true });
    assert_eq!(restrictions(&book, &mut balances, later).len(), 1, "linked, only the closing one is bounded");
    let mut fyn = fresh();
    assert_eq!(
        decide(&book, Some(&mut fyn), &taken, "fyn", None, alone),
        refuse(RefusalReason::NoDisk, true)
    );
    write(&mut fyn);
    let ruled: Vec<AdmissionDecision> = (0..11)
        .map(|_| {
            let ruled = decide(&book, Some(&mut fyn), &taken, "fyn", None, alone);
            write(&mut fyn);
            ruled
        })
        .collect();
    assert_eq!(ruled[9..], [AdmissionDecision::AdmitOnCredit, refuse(RefusalReason::CreditSpent, true)]);
    fyn.refund(1, 100);
    assert_eq!(decide(&book, Some(&mut fyn), &taken, "fyn", None, alone), AdmissionDecision::AdmitOnCredit);
    book.add_file(&AccountsFile::new(2, [("acme".to_string(), change(2, AccountStatus::Closed, 0))].into()));
    assert_eq!(
        decide(&book, None, &taken, "acme", key.as_ref(), later),
        refuse(RefusalReason::Closed, false)
    );
    assert_eq!(
        restrictions(&book, &mut balances, later)["acme"],
        Restriction { max_new_jobs: Some(0), may_send: false }
    );
}

#[test]
fn what_was_taken_is_bounded_in_number_and_age() {
    let key = |k: usize| Key::Request(k.to_string());
    let mut taken = AcceptedRequests::new(5, 100);
    (0..1_000).for_each(|k| taken.record("a", Some(&key(k)), 0));
    assert_eq!(taken.len(), 5);
    assert!(taken.contains("a", Some(&key(999)), 100) && !taken.contains("a", Some(&key(994)), 0));
    (0..1_000).for_each(|_| taken.record("a", Some(&key(999)), 50));
    taken.evict(101);
    assert_eq!((taken.len(), taken.contains("a", Some(&key(999)), 150)), (1, true));
    let mut restored = AcceptedRequests::new(5, 100);
    restored.restore([("a", &key(1), 101), ("a", &key(2), 40)], 1_000);
    assert!(!restored.contains("a", Some(&key(1)), 1_000) && restored.contains("a", Some(&key(2)), 1_060));
}

/// A node alone whose disk fails begins no more than what was noted there; the rest it may again once a note is written.
#[test]
fn a_failing_disk_bounds_what_is_begun_by_its_note() {
    let mut balances = CreditBalances::from([("acme".to_string(), fresh())]);
    let now = Now { unix: 1, steady: 1, unconfirmed_since: Some(0) };
    let mut after = |change: &dyn Fn(&mut CreditBalance)| {
        change(balances.get_mut("acme").unwrap());
        let begin = restrictions(&AccountRegistry::new(), &mut balances, now)["acme"].max_new_jobs;
        (begin, balances["acme"].left(), balances["acme"].durable_left())
    };
    let (begin, left, noted) = after(&|_| ());
    assert!(begin == Some(left) && noted < left);
    let (begin, ..) = after(&|balance| balance.write_failed());
    assert_eq!(begin, Some(noted));
    let (begin, left, noted) = after(&|balance| assert!(write(balance).is_some()));
    assert!(begin == Some(left) && noted > 0);
    let (begin, ..) = after(&|balance| {
        balance.write_failed();
        while balance.spend(1, 1) {}
    });
    assert_eq!(begin, Some(0));
}
