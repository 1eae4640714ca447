//! Tests a log on a failing disk: entries reported as written are there in order, and damage is reported with
//! its position.

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

fn open_disk(disk: &FaultyDisk) -> Result<Disk, StoreError> {
    let store = Arc::new(Store::with_backend(disk.clone(), 1 << 20)?);
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    Ok(Disk { store, group_commit })
}

fn open(disk: &Disk, drawn: u64) -> Result<Log, LogError> {
    Log::open(disk.store.clone(), disk.group_commit.clone(), "north", "north-1", drawn)
}

/// Appends an entry and waits until it is on the disk.
fn append_and_wait(log: &Log, timed: &shorepath_placements::Timed) -> Result<u64, LogError> {
    let (reply, results) = channel();
    log.append(timed, move |done| reply.send(done).unwrap())?;
    results.recv().unwrap()
}

fn flush_and_wait(log: &Log) -> Result<(), LogError> {
    let (reply, results) = channel();
    log.flush(move |done| reply.send(done).unwrap());
    results.recv().unwrap()
}

/// Writes guarded and repeatable placements and their ends. Returns the last number that was reported to be
/// on the disk, and the last assigned number.
fn write_placements(disk: &FaultyDisk, rounds: u64) -> Option<(u64, u64)> {
    let log = open(&open_disk(disk).ok()?, 7).ok()?;
    let (mut written, mut assigned) = (0, 0);
    for k in 0..rounds {
        let Ok(repeatable) = log.append_deferred(&placed(1, placement(k, false))) else { break };
        assigned = repeatable;
        let Ok(guarded) = append_and_wait(&log, &placed(2, placement(k, true))) else { break };
        (written, assigned) = (guarded, guarded);
        if log.append_deferred(&ended(3, repeatable, End::Served)).is_err() {
            break;
        }
        assigned += 1;
        if k % 2 == 0 && log.append_deferred(&ended(4, guarded, End::Served)).is_ok() {
            assigned += 1;
        }
    }
    Some((written, assigned.max(written + 1)))
}

#[test]
fn crash_at_any_write_leaves_a_valid_log() {
    let complete_run = FaultyDisk::new();
    write_placements(&complete_run, 6);
    let mut cases = 0;
    for failing_write in 0..=complete_run.calls() {
        let disk = FaultyDisk::new();
        disk.lose_power_at(failing_write);
        let Some((written, assigned)) = write_placements(&disk, 6) else { continue };
        for seed in 0..4 {
            let name = format!("failing write {failing_write}, seed {seed}");
            let reopened = open_disk(&disk.after_power_loss(seed * 1_000 + failing_write)).unwrap();
            let log = open(&reopened, 8).unwrap_or_else(|e| panic!("{name}: {e}"));
            let (last, _) = log.durable();
            assert!(written <= last && last <= assigned, "{name}: {written} {last} {assigned}");
            assert_eq!(log.writer().log, 7, "{name}");
            let mut history = History::new();
            assert_eq!(log.load_into(&mut history).unwrap(), last, "{name}");
            for (number, open) in log.open_placements() {
                let found = history.entry(&log.writer(), number).unwrap().entry;
                assert_eq!(found, Entry::Placed(open), "{name}");
            }
            assert_eq!(append_and_wait(&log, &placed(9, placement(99, true))), Ok(last + 1), "{name}");
            cases += 1;
        }
    }
    assert!(cases > 100, "{cases}");
}

#[test]
fn full_disk_rejects_entries_and_counts_unrecorded() {
    let disk = FaultyDisk::new();
    let log = open(&open_disk(&disk).unwrap(), 7).unwrap();
    append_and_wait(&log, &placed(1, placement(1, true))).unwrap();
    disk.set_capacity(disk.image().len() as u64);
    let mut written = 1;
    let error = loop {
        match append_and_wait(&log, &placed(1, placement(written, true))) {
            Ok(number) => written = number,
            Err(error) => break error,
        }
    };
    assert_eq!(error, LogError::Full);
    assert_eq!(log.failed(), Some(LogError::Full));
    let before = log.unrecorded();
    assert_eq!(log.append_deferred(&placed(1, placement(1, false))), Err(LogError::Full));
    assert_eq!(
        log.append(&placed(1, placement(1, true)), |_| panic!("called after a rejected append")),
        Err(LogError::Full)
    );
    assert_eq!(log.unrecorded(), before + 1);
    assert_eq!(log.durable().0, written);
    let reopened = open(&open_disk(&disk.after_power_loss(5)).unwrap(), 8).unwrap();
    assert!(reopened.durable().0 >= written);
}

#[test]
fn corrupted_or_missing_entry_is_reported() {
    let name = "placements 0000000000000007";
    for (damage, expected) in [
        ("changed", LogError::Changed { log: 7, number: 4 }),
        ("middle", LogError::Missing { log: 7, number: 4 }),
        ("end", LogError::Missing { log: 7, number: 6 }),
    ] {
        let disk = FaultyDisk::new();
        let disk = open_disk(&disk).unwrap();
        let log = open(&disk, 7).unwrap();
        assert!(entries(6, 1).iter().all(|timed| append_and_wait(&log, timed).is_ok()));
        let mut records = disk.store.journal(name, 0, usize::MAX).unwrap();
        let mut ops = vec![Op::TrimJournal(name.into(), 100)];
        match damage {
            "changed" => records[3].1[34] ^= 1,
            "middle" => drop(records.remove(3)),
            _ => drop(records.pop()),
        }
        ops.extend(records.into_iter().map(|(n, record)| Op::Append(name.into(), n, record)));
        disk.store.commit(&ops).unwrap();
        assert_eq!(open(&disk, 7).unwrap_err(), expected, "{damage}");
    }
}

/// Guards against appending to a log whose disk was restored from an older copy.
#[test]
fn restored_disk_is_detected_and_starts_a_new_log() {
    let disk = FaultyDisk::new();
    let log = open(&open_disk(&disk).unwrap(), 7).unwrap();
    append_and_wait(&log, &placed(1, placement(1, true))).unwrap();
    let old = disk.after_power_loss(1);
    append_and_wait(&log, &ended(2, 1, End::Served)).unwrap();
    let mut peer_history = History::new();
    log.load_into(&mut peer_history).unwrap();
    assert_eq!(peer_history.own_log_state(&log.writer(), log.durable()), OwnLogState::Intact);

    let disk = open_disk(&old).unwrap();
    let log = open(&disk, 9).unwrap();
    assert_eq!(
        peer_history.own_log_state(&log.writer(), log.durable()),
        OwnLogState::RolledBack { own: 1, known: 2 }
    );
    // An entry is appended before the comparison: the log forks, and both branches are kept.
    append_and_wait(&log, &ended(5, 1, End::Unknown)).unwrap();
    assert_eq!(peer_history.own_log_state(&log.writer(), log.durable()), OwnLogState::Forked { own: 2 });
    assert_eq!(log.load_into(&mut peer_history), Ok(1));
    assert_eq!(peer_history.forks().len(), 1);
    let number = append_and_wait(&log, &placed(6, placement(2, true))).unwrap();
    let open_placements = log.start_new_log(9).unwrap();
    assert_eq!(open_placements.into_keys().collect::<Vec<_>>(), [number]);
    assert_eq!(append_and_wait(&log, &placed(7, placement(3, true))), Ok(1));
    drop(log);
    let log = open(&disk, 11).unwrap();
    assert_eq!((log.writer().log, log.durable().0), (9, 1));
    assert_eq!(log.load_into(&mut peer_history), Ok(2));
    assert_eq!(peer_history.own_log_state(&log.writer(), log.durable()), OwnLogState::Intact);
    assert!(matches!(
        Log::open(disk.store.clone(), disk.group_commit.clone(), "south", "south-1", 1),
        Err(LogError::WrongNode { .. })
    ));
}

/// Guards against losing entries of a node's own log that only peers had after its disk was restored.
#[test]
fn entries_beyond_a_restored_disk_survive_a_restart() {
    let disk = FaultyDisk::new();
    let log = open(&open_disk(&disk).unwrap(), 7).unwrap();
    append_and_wait(&log, &placed(1, placement(1, true))).unwrap();
    let old = disk.after_power_loss(1);
    append_and_wait(&log, &ended(2, 1, End::Served)).unwrap();
    append_and_wait(&log, &placed(3, placement(2, true))).unwrap();
    let mut peer_history = History::new();
    log.load_into(&mut peer_history).unwrap();

    let disk = open_disk(&old).unwrap();
    let log = open(&disk, 9).unwrap();
    let mut history = History::new();
    let copies = Copies::restore(&disk.store, disk.group_commit.clone(), &mut history).unwrap();
    log.load_into(&mut history).unwrap();
    let piece = peer_history.missing(&log.writer(), &history.heads(&log.writer()), 1 << 16).unwrap();
    assert_eq!((piece.after, history.insert(&piece)), (1, Ok(2)));
    let (reply, results) = channel();
    copies.append_piece(&piece, move |done| reply.send(done).unwrap());
    results.recv().unwrap().unwrap();
    log.start_new_log(9).unwrap();
    drop((log, copies));

    let mut reopened = History::new();
    let copies = Copies::restore(&disk.store, disk.group_commit.clone(), &mut reopened).unwrap();
    open(&disk, 11).unwrap().load_into(&mut reopened).unwrap();
    copies.insert_deferred(&mut reopened).unwrap();
    assert_eq!(reopened.canonical_bytes(), history.canonical_bytes());
}

#[test]
fn copies_and_seals_survive_a_restart() {
    let disk = open_disk(&FaultyDisk::new()).unwrap();
    let log = open(&disk, 7).unwrap();
    assert!(entries(40, 1).iter().all(|timed| log.append_deferred(timed).is_ok()));
    assert_eq!(log.durable().0, 0, "pending entries are not visible");
    flush_and_wait(&log).unwrap();
    let mut history = History::new();
    let copies = Copies::restore(&disk.store, disk.group_commit.clone(), &mut history).unwrap();
    let (reply, results) = channel();
    for piece in pieces(&writer("south", 3), &entries(100, 2), 7) {
        history.insert(&piece).unwrap();
        let reply = reply.clone();
        copies.append_piece(&piece, move |done| reply.send(done).unwrap());
    }
    assert!(results.iter().take(15).all(|done| done.is_ok()));
    log.load_into(&mut history).unwrap();
    let restored = || {
        let mut history = History::new();
        let copies = Copies::restore(&disk.store, disk.group_commit.clone(), &mut history).unwrap();
        open(&disk, 1).unwrap().load_into(&mut history).unwrap();
        (history, copies)
    };
    assert_eq!(restored().0.canonical_bytes(), history.canonical_bytes());

    history.seal(&writer("south", 3), 64).unwrap();
    history.seal(&log.writer(), 32).unwrap();
    log.seal(history.sealed(&log.writer())).unwrap();
    let reply = reply.clone();
    copies.rewrite(&history, move |done| reply.send(done).unwrap());
    results.recv().unwrap().unwrap();
    let (reopened, _) = restored();
    assert_eq!(reopened.canonical_bytes(), history.canonical_bytes());
    assert_eq!(reopened.entries_and_bytes().0, 36 + 8);
    assert_eq!(append_and_wait(&open(&disk, 1).unwrap(), &placed(1, placement(1, true))), Ok(41));
}

/// Guards against reusing the state of unwritten entries after a disk failure: their numbers are assigned
/// again, and open placements are those on the disk.
#[test]
fn log_recovers_after_its_store_is_reopened() {
    let folder = tempfile::tempdir().unwrap();
    let store = Arc::new(Store::open(folder.path(), 1 << 20).unwrap());
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    let log = Log::open(store.clone(), group_commit.clone(), "north", "north-1", 7).unwrap();
    let first = append_and_wait(&log, &placed(1, placement(1, true))).unwrap();
    let (reply, results) = channel();
    let reopen_reply = reply.clone();
    group_commit.reopen(move |done| reopen_reply.send(done.is_ok()).unwrap());
    assert!(results.recv().unwrap());
    assert!(append_and_wait(&log, &placed(2, placement(2, true))).is_err(), "the store accepts no writes");
    assert!(log.failed().is_some() && log.append_deferred(&placed(3, placement(3, false))).is_err());
    let ops = log.recover().unwrap();
    assert!(ops.is_empty() && log.failed().is_none());
    assert_eq!(log.open_placements().into_keys().collect::<Vec<_>>(), [first]);
    let (append_reply, received) = channel();
    group_commit.resume(ops, move |done| reply.send(done.is_ok()).unwrap());
    log.append(&placed(4, placement(4, true)), move |done| append_reply.send(done).unwrap()).unwrap();
    assert!(results.recv().unwrap());
    assert_eq!(received.recv().unwrap(), Ok(first + 1));
    assert_eq!(append_and_wait(&log, &ended(5, first, End::Served)), Ok(first + 2));
    let mut history = History::new();
    assert_eq!(log.load_into(&mut history), Ok(3));
    drop((log, group_commit, store));
    let store = Arc::new(Store::open(folder.path(), 1 << 20).unwrap());
    let group_commit = Arc::new(GroupCommit::new(store.clone()).unwrap());
    let log = Log::open(store, group_commit, "north", "north-1", 8).unwrap();
    assert_eq!(log.durable().0, first + 2);
}

/// Guards against writing queued copies without the log's entries, or in a separate commit.
#[test]
fn queued_copies_are_written_with_the_log() {
    let faulty_disk = FaultyDisk::new();
    let disk = open_disk(&faulty_disk).unwrap();
    let log = open(&disk, 7).unwrap();
    let (mut history, w) = (History::new(), writer("south", 3));
    let copies = Copies::restore(&disk.store, disk.group_commit.clone(), &mut history).unwrap();
    for piece in pieces(&w, &entries(30, 2), 7) {
        history.insert(&piece).unwrap();
        copies.append_piece_deferred(&piece);
    }
    log.append_deferred(&placed(1, placement(1, false))).unwrap();
    let restored = |faulty_disk: &FaultyDisk| {
        let disk = open_disk(&faulty_disk.after_power_loss(1)).unwrap();
        let mut history = History::new();
        Copies::restore(&disk.store, disk.group_commit.clone(), &mut history).unwrap();
        open(&disk, 1).unwrap().load_into(&mut history).unwrap();
        history
    };
    assert_eq!(restored(&faulty_disk).entries_and_bytes().0, 0);
    let before = faulty_disk.calls();
    let (reply, results) = channel();
    log.flush_with(&copies, move |done| reply.send(done).unwrap());
    results.recv().unwrap().unwrap();
    let calls_of_both = faulty_disk.calls() - before;
    assert_eq!(log.load_into(&mut history), Ok(1));
    assert_eq!(restored(&faulty_disk).canonical_bytes(), history.canonical_bytes());
    log.append_deferred(&placed(2, placement(2, false))).unwrap();
    let before = faulty_disk.calls();
    flush_and_wait(&log).unwrap();
    assert!(calls_of_both < 2 * (faulty_disk.calls() - before), "{calls_of_both}");
    // A rewrite includes the queued copies.
    let more = piece(&w, history.latest_points()[&w], &entries(40, 2)[30..]);
    history.insert(&more).unwrap();
    copies.append_piece_deferred(&more);
    history.seal(&w, 16).unwrap();
    let (reply, results) = channel();
    copies.rewrite(&history, move |done| reply.send(done).unwrap());
    results.recv().unwrap().unwrap();
    log.flush_with(&copies, |_| ());
    flush_and_wait(&log).unwrap();
    log.load_into(&mut history).unwrap();
    assert_eq!(restored(&faulty_disk).canonical_bytes(), history.canonical_bytes());
}
