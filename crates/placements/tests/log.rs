//! A log on a disk that fails: what was said to be on it is there, in order and whole, and damage is named.

mod common;

use common::*;
use shorepath_placements::history::{History, OwnLogState};
use shorepath_placements::log::{Copies, Log, LogError};
use shorepath_placements::{End, Entry};
use shorepath_store::fault_injection::FaultyDisk;
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Op, Store, StoreError};
use std::sync::mpsc::channel;
use std::sync::Arc;

struct Disk {
    store: Arc<Store>,
    group_commit: Arc<GroupCommit>,
}

fn on(disk: &FaultyDisk) -> Result<Disk, StoreError> {
    let store = Arc::new(Store::on(disk.clone(), 1 << 20)?);
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    Ok(Disk { store, group_commit })
}

fn open(disk: &Disk, drawn: u64) -> Result<Log, LogError> {
    Log::open(disk.store.clone(), disk.group_commit.clone(), "north", "north-1", drawn)
}

/// Append durably and wait.
fn sure(log: &Log, timed: &shorepath_placements::Timed) -> Result<u64, LogError> {
    let (reply, notified) = channel();
    log.append(timed, move |done| reply.send(done).unwrap())?;
    notified.recv().unwrap()
}

fn flushed(log: &Log) -> Result<(), LogError> {
    let (reply, notified) = channel();
    log.flush(move |done| reply.send(done).unwrap());
    notified.recv().unwrap()
}

/// Guarded and free placements and their ends; the last number that was said to be on the disk, and the last that was given.
fn work(disk: &FaultyDisk, rounds: u64) -> Option<(u64, u64)> {
    let log = open(&on(disk).ok()?, 7).ok()?;
    let (mut sent, mut given) = (0, 0);
    for k in 0..rounds {
        let Ok(free) = log.append_deferred(&placed(1, placement(k, false))) else { break };
        given = free;
        let Ok(guarded) = sure(&log, &placed(2, placement(k, true))) else { break };
        (sent, given) = (guarded, guarded);
        if log.append_deferred(&ended(3, free, End::Served)).is_err() {
            break;
        }
        given += 1;
        if k % 2 == 0 && log.append_deferred(&ended(4, guarded, End::Served)).is_ok() {
            given += 1;
        }
    }
    Some((sent, given.max(sent + 1)))
}

#[test]
fn a_crash_at_any_write_leaves_a_valid_chain() {
    let whole = FaultyDisk::new();
    work(&whole, 6);
    let mut tried = 0;
    for cut in 0..=whole.calls() {
        let disk = FaultyDisk::new();
        disk.cut_at(cut);
        let Some((sent, given)) = work(&disk, 6) else { continue };
        for seed in 0..4 {
            let name = format!("cut {cut}, seed {seed}");
            let again = on(&disk.after_power_loss(seed * 1_000 + cut)).unwrap();
            let log = open(&again, 8).unwrap_or_else(|e| panic!("{name}: {e}"));
            let (last, _) = log.durable();
            assert!(sent <= last && last <= given, "{name}: {sent} {last} {given}");
            assert_eq!(log.writer().log, 7, "{name}");
            let mut history = History::new();
            assert_eq!(log.load_into(&mut history).unwrap(), last, "{name}");
            for (number, open) in log.open_placements() {
                let found = history.entry(&log.writer(), number).unwrap().entry;
                assert_eq!(found, Entry::Placed(open), "{name}");
            }
            assert_eq!(sure(&log, &placed(9, placement(99, true))), Ok(last + 1), "{name}");
            tried += 1;
        }
    }
    assert!(tried > 100, "{tried}");
}

#[test]
fn a_full_disk_denies_guarded_work_and_counts_the_rest() {
    let disk = FaultyDisk::new();
    let log = open(&on(&disk).unwrap(), 7).unwrap();
    sure(&log, &placed(1, placement(1, true))).unwrap();
    disk.set_capacity(disk.image().len() as u64);
    let mut sent = 1;
    let why = loop {
        match sure(&log, &placed(1, placement(sent, true))) {
            Ok(number) => sent = number,
            Err(why) => break why,
        }
    };
    assert_eq!(why, LogError::Full);
    assert_eq!(log.failed(), Some(LogError::Full));
    let before = log.unrecorded();
    assert_eq!(log.append_deferred(&placed(1, placement(1, false))), Err(LogError::Full));
    assert_eq!(log.append(&placed(1, placement(1, true)), |_| panic!("told")), Err(LogError::Full));
    assert_eq!(log.unrecorded(), before + 1);
    assert_eq!(log.durable().0, sent);
    let again = open(&on(&disk.after_power_loss(5)).unwrap(), 8).unwrap();
    assert!(again.durable().0 >= sent);
}

#[test]
fn a_changed_or_missing_entry_is_named() {
    let name = "placements 0000000000000007";
    for (what, wanted) in [
        ("changed", LogError::Changed { log: 7, number: 4 }),
        ("middle", LogError::Missing { log: 7, number: 4 }),
        ("end", LogError::Missing { log: 7, number: 6 }),
    ] {
        let disk = FaultyDisk::new();
        let here = on(&disk).unwrap();
        let log = open(&here, 7).unwrap();
        assert!(entries(6, 1).iter().all(|timed| sure(&log, timed).is_ok()));
        let mut records = here.store.journal(name, 0, usize::MAX).unwrap();
        let mut ops = vec![Op::Drop(name.into(), 100)];
        match what {
            "changed" => records[3].1[34] ^= 1,
            "middle" => drop(records.remove(3)),
            _ => drop(records.pop()),
        }
        ops.extend(records.into_iter().map(|(n, record)| Op::Append(name.into(), n, record)));
        here.store.commit(&ops).unwrap();
        assert_eq!(open(&here, 7).unwrap_err(), wanted, "{what}");
    }
}

/// A disk is put back as it was earlier: the log is found to have gone back, and founded anew; nothing is lost.
#[test]
fn an_old_disk_is_found_and_founds_another_log() {
    let disk = FaultyDisk::new();
    let log = open(&on(&disk).unwrap(), 7).unwrap();
    sure(&log, &placed(1, placement(1, true))).unwrap();
    let old = disk.after_power_loss(1);
    sure(&log, &ended(2, 1, End::Served)).unwrap();
    let mut others = History::new();
    log.load_into(&mut others).unwrap();
    assert_eq!(others.own_log_state(&log.writer(), log.durable()), OwnLogState::Intact);

    let here = on(&old).unwrap();
    let log = open(&here, 9).unwrap();
    assert_eq!(
        others.own_log_state(&log.writer(), log.durable()),
        OwnLogState::RolledBack { own: 1, known: 2 }
    );
    // Written on before it was judged: a fork, which both lines survive.
    sure(&log, &ended(5, 1, End::Unknown)).unwrap();
    assert_eq!(others.own_log_state(&log.writer(), log.durable()), OwnLogState::Forked { own: 2 });
    assert_eq!(log.load_into(&mut others), Ok(1));
    assert_eq!(others.forks().len(), 1);
    let number = sure(&log, &placed(6, placement(2, true))).unwrap();
    let open_ones = log.start_new_log(9).unwrap();
    assert_eq!(open_ones.into_keys().collect::<Vec<_>>(), [number]);
    assert_eq!(sure(&log, &placed(7, placement(3, true))), Ok(1));
    drop(log);
    let log = open(&here, 11).unwrap();
    assert_eq!((log.writer().log, log.durable().0), (9, 1));
    assert_eq!(log.load_into(&mut others), Ok(2));
    assert_eq!(others.own_log_state(&log.writer(), log.durable()), OwnLogState::Intact);
    assert!(matches!(
        Log::open(here.store.clone(), here.group_commit.clone(), "south", "south-1", 1),
        Err(LogError::WrongNode { .. })
    ));
}

/// What others know of a node's own log beyond an older disk is kept there as a copy, and found again at the next start.
#[test]
fn what_others_knew_of_an_old_disks_log_is_found_again() {
    let disk = FaultyDisk::new();
    let log = open(&on(&disk).unwrap(), 7).unwrap();
    sure(&log, &placed(1, placement(1, true))).unwrap();
    let old = disk.after_power_loss(1);
    sure(&log, &ended(2, 1, End::Served)).unwrap();
    sure(&log, &placed(3, placement(2, true))).unwrap();
    let mut others = History::new();
    log.load_into(&mut others).unwrap();

    let here = on(&old).unwrap();
    let log = open(&here, 9).unwrap();
    let mut history = History::new();
    let copies = Copies::restore(&here.store, here.group_commit.clone(), &mut history).unwrap();
    log.load_into(&mut history).unwrap();
    let piece = others.missing(&log.writer(), &history.heads(&log.writer()), 1 << 16).unwrap();
    assert_eq!((piece.after, history.insert(&piece)), (1, Ok(2)));
    let (reply, notified) = channel();
    copies.append_piece(&piece, move |done| reply.send(done).unwrap());
    notified.recv().unwrap().unwrap();
    log.start_new_log(9).unwrap();
    drop((log, copies));

    let mut again = History::new();
    let copies = Copies::restore(&here.store, here.group_commit.clone(), &mut again).unwrap();
    open(&here, 11).unwrap().load_into(&mut again).unwrap();
    copies.insert_deferred(&mut again).unwrap();
    assert_eq!(again.canonical_bytes(), history.canonical_bytes());
}

#[test]
fn copies_and_sealed_logs_are_found_again() {
    let here = on(&FaultyDisk::new()).unwrap();
    let log = open(&here, 7).unwrap();
    assert!(entries(40, 1).iter().all(|timed| log.append_deferred(timed).is_ok()));
    assert_eq!(log.durable().0, 0, "what waits is not shown");
    flushed(&log).unwrap();
    let mut history = History::new();
    let copies = Copies::restore(&here.store, here.group_commit.clone(), &mut history).unwrap();
    let (reply, notified) = channel();
    for piece in pieces(&writer("south", 3), &entries(100, 2), 7) {
        history.insert(&piece).unwrap();
        let reply = reply.clone();
        copies.append_piece(&piece, move |done| reply.send(done).unwrap());
    }
    assert!(notified.iter().take(15).all(|done| done.is_ok()));
    log.load_into(&mut history).unwrap();
    let restored = || {
        let mut history = History::new();
        let copies = Copies::restore(&here.store, here.group_commit.clone(), &mut history).unwrap();
        open(&here, 1).unwrap().load_into(&mut history).unwrap();
        (history, copies)
    };
    assert_eq!(restored().0.canonical_bytes(), history.canonical_bytes());

    history.seal(&writer("south", 3), 64).unwrap();
    history.seal(&log.writer(), 32).unwrap();
    log.seal(history.sealed(&log.writer())).unwrap();
    let reply = reply.clone();
    copies.rewrite(&history, move |done| reply.send(done).unwrap());
    notified.recv().unwrap().unwrap();
    let (again, _) = restored();
    assert_eq!(again.canonical_bytes(), history.canonical_bytes());
    assert_eq!(again.entries_and_bytes().0, 36 + 8);
    assert_eq!(sure(&open(&here, 1).unwrap(), &placed(1, placement(1, true))), Ok(41));
}

/// A log whose disk failed goes on from what the disk has: a number that never got there is given to another entry,
/// and what is open on the disk is named.
#[test]
fn a_log_goes_on_once_its_store_was_opened_again() {
    let folder = tempfile::tempdir().unwrap();
    let store = Arc::new(Store::open(folder.path(), 1 << 20).unwrap());
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    let log = Log::open(store.clone(), group_commit.clone(), "north", "north-1", 7).unwrap();
    let first = sure(&log, &placed(1, placement(1, true))).unwrap();
    let (reply, notified) = channel();
    let again = reply.clone();
    group_commit.reopen(move |done| again.send(done.is_ok()).unwrap());
    assert!(notified.recv().unwrap());
    assert!(sure(&log, &placed(2, placement(2, true))).is_err(), "the store takes nothing");
    assert!(log.failed().is_some() && log.append_deferred(&placed(3, placement(3, false))).is_err());
    let ops = log.recover().unwrap();
    assert!(ops.is_empty() && log.failed().is_none());
    assert_eq!(log.open_placements().into_keys().collect::<Vec<_>>(), [first]);
    let (early, received) = channel();
    group_commit.resume(ops, move |done| reply.send(done.is_ok()).unwrap());
    log.append(&placed(4, placement(4, true)), move |done| early.send(done).unwrap()).unwrap();
    assert!(notified.recv().unwrap());
    assert_eq!(received.recv().unwrap(), Ok(first + 1));
    assert_eq!(sure(&log, &ended(5, first, End::Served)), Ok(first + 2));
    let mut history = History::new();
    assert_eq!(log.load_into(&mut history), Ok(3));
    drop((log, group_commit, store));
    let store = Arc::new(Store::open(folder.path(), 1 << 20).unwrap());
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    let log = Log::open(store, group_commit, "north", "north-1", 8).unwrap();
    assert_eq!(log.durable().0, first + 2);
}

/// What was gathered goes to the disk with the log's next entries, in one commit, and not with a crash before it.
#[test]
fn gathered_copies_go_with_the_log() {
    let disk = FaultyDisk::new();
    let here = on(&disk).unwrap();
    let log = open(&here, 7).unwrap();
    let (mut history, w) = (History::new(), writer("south", 3));
    let copies = Copies::restore(&here.store, here.group_commit.clone(), &mut history).unwrap();
    for piece in pieces(&w, &entries(30, 2), 7) {
        history.insert(&piece).unwrap();
        copies.append_piece_deferred(&piece);
    }
    log.append_deferred(&placed(1, placement(1, false))).unwrap();
    let restored = |disk: &FaultyDisk| {
        let here = on(&disk.after_power_loss(1)).unwrap();
        let mut history = History::new();
        Copies::restore(&here.store, here.group_commit.clone(), &mut history).unwrap();
        open(&here, 1).unwrap().load_into(&mut history).unwrap();
        history
    };
    assert_eq!(restored(&disk).entries_and_bytes().0, 0);
    let before = disk.calls();
    let (reply, notified) = channel();
    log.flush_with(&copies, move |done| reply.send(done).unwrap());
    notified.recv().unwrap().unwrap();
    let both = disk.calls() - before;
    assert_eq!(log.load_into(&mut history), Ok(1));
    assert_eq!(restored(&disk).canonical_bytes(), history.canonical_bytes());
    log.append_deferred(&placed(2, placement(2, false))).unwrap();
    let before = disk.calls();
    flushed(&log).unwrap();
    assert!(both < 2 * (disk.calls() - before), "{both}");
    // Copies that are written anew hold what was gathered.
    let more = piece(&w, history.latest_points()[&w], &entries(40, 2)[30..]);
    history.insert(&more).unwrap();
    copies.append_piece_deferred(&more);
    history.seal(&w, 16).unwrap();
    let (reply, notified) = channel();
    copies.rewrite(&history, move |done| reply.send(done).unwrap());
    notified.recv().unwrap().unwrap();
    log.flush_with(&copies, |_| ());
    flushed(&log).unwrap();
    log.load_into(&mut history).unwrap();
    assert_eq!(restored(&disk).canonical_bytes(), history.canonical_bytes());
}
