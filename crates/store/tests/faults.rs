//! The power goes at each point at which something is written, what was not synced is lost or torn, syncs fail, the disk is full, bits
//! flip: what was said to be on the disk is there, whole commits are there or not, and damage is named.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_store::fault_injection::FaultyDisk;
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Answer, Intent, Op, Store, StoreError, FILE, TEMPORARY_FILE};
use std::collections::BTreeMap;
use std::sync::mpsc::channel;
use std::sync::Arc;

/// Answers hold this much in the tests that don't look at it.
const MOST: u64 = 1 << 20;

fn intent(k: u64) -> Intent {
    Intent {
        class: "actuator-cmd".into(),
        key: Some(format!("valve-{k}")),
        server: "s-1".into(),
        epoch: 7,
        at: k as i64,
    }
}

fn answer(k: u64) -> Answer {
    Answer { status: 200, body: vec![k as u8; 40], at: k as i64 }
}

/// What a store should hold.
#[derive(Clone, Debug, Default, PartialEq)]
struct Overlay {
    intents: BTreeMap<String, Intent>,
    answers: BTreeMap<String, Answer>,
    step: Option<u64>,
    journal: BTreeMap<u64, Vec<u8>>,
}

impl Overlay {
    fn take(&mut self, ops: &[Op]) {
        for op in ops {
            match op.clone() {
                Op::AddIntent(id, intent) => drop(self.intents.insert(id, intent)),
                Op::RemoveIntent(id) => drop(self.intents.remove(&id)),
                Op::Answer(id, answer) => drop(self.answers.insert(id, answer)),
                Op::Append(_, number, record) => drop(self.journal.insert(number, record)),
                Op::Drop(_, below) => self.journal = self.journal.split_off(&below),
                Op::SetFact(_, bytes) => self.step = String::from_utf8(bytes).unwrap().parse().ok(),
            }
        }
    }

    fn of(store: &Store) -> Result<Overlay, StoreError> {
        Ok(Overlay {
            intents: store.intents()?.into_iter().collect(),
            answers: store.answers()?.into_iter().collect(),
            step: store.fact("step")?,
            journal: store.journal("log", 0, usize::MAX)?.into_iter().collect(),
        })
    }
}

/// Commit number `k`: a few things that belong together.
fn ops(k: u64) -> Vec<Op> {
    let mut all = vec![
        Op::SetFact("step".into(), k.to_string().into_bytes()),
        Op::AddIntent(format!("r{k}"), intent(k)),
    ];
    if k >= 2 {
        all.push(Op::RemoveIntent(format!("r{}", k - 2)));
        all.push(Op::Answer(format!("r{}", k - 2), answer(k)));
    }
    all.extend((0..3).map(|i| Op::Append("log".into(), k * 3 + i, vec![k as u8; 30])));
    if k % 4 == 3 {
        all.push(Op::Drop("log".into(), k * 3 - 4));
    }
    all
}

/// Commit until something fails; what was said to be on the disk, and with the commit that failed. `None` where there was never
/// a store: one on a disk of its own is made in place, which one in a folder is not.
fn work(disk: &FaultyDisk, commits: u64) -> Option<(Overlay, Option<Overlay>)> {
    let mut overlay = Overlay::default();
    let store = Store::with_backend(disk.clone(), MOST).ok()?;
    for k in 0..commits {
        let ops = ops(k);
        let mut next = overlay.clone();
        next.take(&ops);
        if store.commit(&ops).is_err() {
            assert!(
                matches!(store.commit(&[]), Err(StoreError::ReopenRequired)),
                "after a failure nothing is taken"
            );
            return Some((overlay, Some(next)));
        }
        overlay = next;
    }
    Some((overlay, None))
}

/// The power goes at every single write, and what was not synced is lost or torn in different ways each time.
#[test]
fn what_was_committed_survives_a_power_loss_at_any_point() {
    const COMMITS: u64 = 12;
    let whole = FaultyDisk::new();
    work(&whole, COMMITS);
    let calls = whole.calls();
    assert!(calls > 50, "{calls}");
    let mut tried = 0;
    for cut in 0..=calls {
        let disk = FaultyDisk::new();
        disk.cut_at(cut);
        let Some((sure, maybe)) = work(&disk, COMMITS) else { continue };
        for seed in 0..12 {
            let found = disk.after_power_loss(seed * 1_000 + cut);
            let store =
                Store::with_backend(found, MOST).unwrap_or_else(|e| panic!("cut {cut}, seed {seed}: {e}"));
            let held = Overlay::of(&store).unwrap();
            assert!(
                held == sure || maybe.as_ref() == Some(&held),
                "cut {cut}, seed {seed}: {held:?}\n{sure:?}"
            );
            store.commit(&ops(99)).unwrap();
            tried += 1;
        }
    }
    assert!(tried > 1_000, "{tried}");
}

/// A sync that failed is not tried again as if it had worked: what it was for may be lost, what was before is there.
#[test]
fn a_failed_sync_ends_what_can_be_said() {
    let whole = FaultyDisk::new();
    work(&whole, 8);
    for number in 0..whole.syncs() {
        let disk = FaultyDisk::new();
        disk.fail_sync(number);
        let Some((sure, maybe)) = work(&disk, 8) else { continue };
        for seed in 0..6 {
            let store = Store::with_backend(disk.after_power_loss(seed), MOST).unwrap();
            let held = Overlay::of(&store).unwrap();
            assert!(held == sure || maybe.as_ref() == Some(&held), "sync {number}, seed {seed}");
        }
    }
}

#[test]
fn a_full_disk_is_told_as_such_and_loses_nothing() {
    let disk = FaultyDisk::new();
    let store = Store::with_backend(disk.clone(), MOST).unwrap();
    disk.set_capacity(disk.image().len() as u64);
    let mut sure = Overlay::default();
    let mut k = 0;
    let error = loop {
        let ops: Vec<Op> = (0..40).map(|i| Op::AddIntent(format!("r{k}-{i}"), intent(k))).collect();
        match store.commit(&ops) {
            Ok(()) => sure.take(&ops),
            Err(e) => break e,
        }
        k += 1;
    };
    assert!(matches!(error, StoreError::Full), "{error}");
    drop(store);
    let again = Store::with_backend(disk.after_power_loss(3), MOST).unwrap();
    assert_eq!(Overlay::of(&again).unwrap().intents.len(), sure.intents.len());
}

/// No flipped bit goes unseen: it is named, or it changed nothing of what is kept.
#[test]
fn a_flipped_bit_is_found() {
    let disk = FaultyDisk::new();
    let (sure, _) = work(&disk, 6).unwrap();
    let bits = disk.image().len() as u64 * 8;
    let (mut found, mut harmless) = (0, 0);
    // Where something is kept, and over all of the file.
    let held: Vec<u64> =
        disk.image().iter().enumerate().filter(|(_, b)| **b != 0).map(|(k, _)| k as u64 * 8).collect();
    let step = (held.len() / 700).max(1);
    let places = held.iter().step_by(step).map(|b| b + 3).chain((0..300).map(|k| k * (bits / 300) + 5));
    for bit in places {
        let flipped = disk.flipped(bit);
        let read =
            std::panic::catch_unwind(|| Store::with_backend(flipped, MOST).and_then(|s| Overlay::of(&s)));
        match read {
            Ok(Ok(held)) => {
                assert_eq!(held, sure, "bit {bit} changed what is kept, unseen");
                harmless += 1;
            }
            // The library gives up on a file that makes no sense; the node that opens it ends with that.
            Ok(Err(_)) | Err(_) => found += 1,
        }
    }
    println!("{found} found, {harmless} changed nothing");
    assert!(found > 50, "{found} of {}", found + harmless);
}

/// A file that was cut off while it was made is made anew; what is in its place afterwards was whole.
#[test]
fn a_store_is_there_whole_or_not_at_all() {
    let dir = tempfile::tempdir().unwrap();
    std::fs::write(dir.path().join(TEMPORARY_FILE), b"half of a header").unwrap();
    let store = Store::open(dir.path(), MOST).unwrap();
    store.commit(&ops(0)).unwrap();
    drop(store);
    assert!(!dir.path().join(TEMPORARY_FILE).exists());
    assert_eq!(Store::open(dir.path(), MOST).unwrap().stats().unwrap().intents, 1);
}

#[rstest]
#[case::locked("locked")]
#[case::format("format")]
#[case::read_only("read-only")]
fn a_store_that_can_not_be_used_is_refused(#[case] how: &str) {
    let dir = tempfile::tempdir().unwrap();
    let store = Store::open(dir.path(), MOST).unwrap();
    store.commit(&ops(0)).unwrap();
    match how {
        "locked" => assert!(matches!(Store::open(dir.path(), MOST), Err(StoreError::Locked))),
        "format" => {
            store.commit(&[Op::SetFact("format".into(), b"99".to_vec())]).unwrap();
            drop(store);
            assert!(matches!(Store::open(dir.path(), MOST), Err(StoreError::Format { found: 99 })));
        }
        _ => {
            drop(store);
            // Rights bind nobody who may do everything: a folder in the place of the file does.
            std::fs::remove_file(dir.path().join(FILE)).unwrap();
            std::fs::create_dir(dir.path().join(FILE)).unwrap();
            assert!(matches!(Store::open(dir.path(), MOST), Err(StoreError::Disk(_) | StoreError::ReadOnly)));
        }
    }
}

proptest! {
    /// The oldest answers give way, and no more than has to.
    #[test]
    fn answers_keep_to_their_memory(sizes in proptest::collection::vec(1usize..400, 1..60)) {
        let store = Store::with_backend(FaultyDisk::new(), 4_000).unwrap();
        for (k, size) in sizes.iter().enumerate() {
            let answer = Answer { status: 200, body: vec![1; *size], at: k as i64 };
            store.commit(&[Op::Answer(format!("{k:03}"), answer)]).unwrap();
        }
        let held = store.answers().unwrap();
        let from = sizes.len() - held.len();
        prop_assert!(held.iter().map(|(id, _)| id.parse::<usize>().unwrap()).eq(from..sizes.len()));
        prop_assert!(!held.is_empty() || *sizes.last().unwrap() > 300);
    }
}

/// A journal is read by range, in bounded pieces, apart from the others.
#[test]
fn a_journal_is_read_by_range_and_dropped_from_below() {
    let store = Store::with_backend(FaultyDisk::new(), MOST).unwrap();
    assert!(store.journal("a", 0, 100).unwrap().is_empty());
    assert_eq!(store.journal_ends("a").unwrap(), None);
    let ops: Vec<Op> =
        (1..=300).flat_map(|k| ["a", "b"].map(|j| Op::Append(j.into(), k, vec![k as u8; 10]))).collect();
    store.commit(&ops).unwrap();
    store.commit(&[Op::Drop("a".into(), 100)]).unwrap();
    assert_eq!(store.journal_ends("a").unwrap(), Some((100, 300)));
    assert_eq!(store.journal_ends("b").unwrap(), Some((1, 300)));
    let numbers = |from, most| -> Vec<u64> {
        store.journal("a", from, most).unwrap().into_iter().map(|(n, _)| n).collect()
    };
    assert_eq!(numbers(0, 35), [100, 101, 102]);
    assert_eq!(numbers(299, 1), [299]);
    assert_eq!(numbers(299, 1_000), [299, 300]);
    assert!(numbers(301, 1_000).is_empty());
}

/// What many ask for goes to the disk together, each is told, and a failure is everybody's.
#[test]
fn a_keeper_commits_in_groups() {
    let disk = FaultyDisk::new();
    let store = Arc::new(Store::with_backend(disk.clone(), MOST).unwrap());
    let before = disk.syncs();
    let group_commit = GroupCommit::new(store.clone()).unwrap();
    let (reply, notified) = channel();
    for k in 0..1_000 {
        let reply = reply.clone();
        group_commit.commit(vec![Op::AddIntent(format!("r{k}"), intent(k))], move |done| {
            reply.send((k, done.is_ok())).unwrap()
        });
    }
    let order: Vec<(u64, bool)> = notified.iter().take(1_000).collect();
    assert!(order.iter().enumerate().all(|(k, (n, ok))| *n == k as u64 && *ok));
    assert!(disk.syncs() - before < 500, "{} syncs", disk.syncs() - before);
    assert_eq!(store.stats().unwrap().intents, 1_000);
    disk.cut_at(0);
    let (reply, notified) = channel();
    for _ in 0..3 {
        let reply = reply.clone();
        group_commit.commit(ops(5), move |done| reply.send(done.is_ok()).unwrap());
    }
    drop((reply, group_commit));
    assert_eq!(notified.iter().collect::<Vec<bool>>(), [false; 3]);
}

/// One that failed takes nothing until it was opened again and told to go on; what it had is there, and what was refused meanwhile is not.
#[test]
fn a_store_that_failed_goes_on_after_it_was_opened_again() {
    let folder = tempfile::tempdir().unwrap();
    let step = |n: u64| vec![Op::SetFact("step".into(), n.to_string().into_bytes())];
    let store = Arc::new(Store::open(folder.path(), MOST).unwrap());
    let group_commit = GroupCommit::new(store.clone()).unwrap();
    let (reply, notified) = channel();
    let ask = |ops: Vec<Op>| {
        let reply = reply.clone();
        group_commit.commit(ops, move |done| reply.send(done.is_ok()).unwrap());
    };
    ask(step(1));
    assert!(notified.recv().unwrap() && store.accepts_commits());
    let again = reply.clone();
    group_commit.reopen(move |done| again.send(done.is_ok()).unwrap());
    ask(step(2));
    assert!(notified.recv().unwrap(), "it was opened again");
    assert!(!notified.recv().unwrap() && !store.accepts_commits(), "nobody has told it to go on");
    assert_eq!(store.fact::<u64>("step").unwrap(), Some(1));
    let again = reply.clone();
    group_commit.resume(step(3), move |done| again.send(done.is_ok()).unwrap());
    ask(step(4));
    assert!(notified.recv().unwrap() && notified.recv().unwrap());
    drop((group_commit, store));
    assert_eq!(Store::open(folder.path(), MOST).unwrap().fact::<u64>("step").unwrap(), Some(4));
}
