//! What placements cost on this machine: an append on its disk, and two sites that each placed half of so many exchanging them and
//! reconciling. `cargo run --release -p shorepath-placements --example reconcile [PLACEMENTS...]`; with 0 first, nothing is appended on the disk

use shorepath_placements::anti_entropy::{Exchange, Message, Settings};
use shorepath_placements::hash_chain::{self, Piece};
use shorepath_placements::history::History;
use shorepath_placements::log::Log;
use shorepath_placements::reconcile::{self, Decision, Reconciler};
use shorepath_placements::{End, Entry, Placement, Timed, Writer};
use shorepath_store::group_commit::GroupCommit;
use shorepath_store::Store;
use std::collections::VecDeque;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Instant;

type Failed = Box<dyn std::error::Error>;

fn placed(k: u64, guarded: bool) -> Timed {
    let at = 1_764_600_000_000_000 + k as i64 * 1_000;
    let placement = Placement {
        key: Some(format!("{:016x}", k.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
        class: if guarded { "actuator-cmd" } else { "sensor-fusion" }.into(),
        guarded,
        tenant: Some(format!("tenant-{}", k % 50)),
        server: format!("s-{:08x}", k % 40),
        standing: 12,
        taken: at - 3_000,
        on_credit: k.is_multiple_of(7),
        list: 4,
        fence: if guarded { 77 } else { 0 },
    };
    Timed { at, entry: Entry::Placed(placement) }
}

fn ended(k: u64, of: u64) -> Timed {
    let at = 1_764_600_000_000_000 + k as i64 * 1_000 + 80_000;
    Timed { at, entry: Entry::Ended { of, how: End::Served } }
}

/// A site's log of so many placements and their ends; one in ten must not run twice, two in a thousand were placed by the other, too.
fn history(site: &str, count: u64, begin: u64) -> Result<History, Failed> {
    let writer = Writer { site: site.into(), node: format!("{site}-1"), log: begin };
    let mut history = History::new();
    let mut at = hash_chain::origin(&writer);
    let mut entries = Vec::new();
    let mut number = 0;
    for k in 0..count {
        let job = if k % 1_000 < 2 { k } else { begin + k };
        for timed in [placed(job, job.is_multiple_of(10)), ended(job, number + 1)] {
            entries.push(hash_chain::encode(&timed)?);
        }
        number += 2;
        if entries.len() >= 1_000 || k + 1 == count {
            let head = entries.iter().fold(at.1, |d, e| hash_chain::next_digest(&d, e));
            let some = std::mem::take(&mut entries);
            let piece = Piece { writer: writer.clone(), after: at.0, before: at.1, entries: some, head };
            at = piece.last();
            history.insert(&piece)?;
        }
    }
    Ok(history)
}

/// The most memory that this process has had since it was asked last, in MB.
fn peak() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse::<f64>().ok());
    let _ = std::fs::write("/proc/self/clear_refs", "5");
    kb.unwrap_or(f64::NAN) / 1e3
}

/// The processor time that this process has used, in seconds (in ticks of 10 ms).
fn processor() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    after.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<f64>().ok()).sum::<f64>() / 100.0
}

/// The processor time that this thread has used, in seconds.
fn thread() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// The memory that this process has now, in MB.
fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse::<f64>().ok());
    kb.unwrap_or(f64::NAN) / 1e3
}

/// Exchange all; the bytes that went over the wire, when they were level in virtual time, in seconds, and what a side held at most.
fn exchange(a: &mut History, b: &mut History, settings: Settings) -> Result<(usize, f64, usize), Failed> {
    let one_way = 5_000;
    let mut sides = [Exchange::new(settings, 1, 0), Exchange::new(settings, 2, 0)];
    let mut wire: VecDeque<(i64, usize, Vec<u8>)> = VecDeque::new();
    let (mut now, mut bytes, mut held) = (0, 0, 0);
    loop {
        while wire.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, to, message)) = wire.pop_front() else { break };
            let message = Message::decode(&message)?;
            let (holdings, side) = if to == 0 { (&mut *a, &mut sides[0]) } else { (&mut *b, &mut sides[1]) };
            side.receive(holdings, message, now)?;
        }
        for from in [0, 1] {
            let side = &mut sides[from];
            if side.due() <= now {
                side.poll(if from == 0 { &*a } else { &*b }, now, 0);
                held = held.max(side.buffered_bytes());
                for message in side.take_outgoing() {
                    let message = message.encode();
                    bytes += message.len();
                    wire.push_back((now + one_way, 1 - from, message));
                }
            }
        }
        if sides[0].in_sync(a) && sides[1].in_sync(b) {
            return Ok((bytes, now as f64 / 1e6, held));
        }
        let next = sides.iter().map(Exchange::due).chain(wire.front().map(|w| w.0)).min();
        now = next.unwrap_or(now).max(now + 200);
    }
}

fn sizes(counts: &[u64]) -> Result<(), Failed> {
    for &count in counts {
        let (mut a, mut b) = (history("north", count / 2, 0)?, history("south", count / 2, 1 << 40)?);
        let (entries, held) = (
            a.entries_and_bytes().0 + b.entries_and_bytes().0,
            a.entries_and_bytes().1 + b.entries_and_bytes().1,
        );
        println!("{count} placements: {entries} entries, {:.1} MB", held as f64 / 1e6);
        let before = peak();
        let begin = Instant::now();
        let mut joined = a.clone();
        joined.merge(&b);
        println!("  merged in memory in {:.2} s", begin.elapsed().as_secs_f64());
        let bytes = joined.canonical_bytes();
        drop(joined);
        let (begin, used) = (Instant::now(), processor());
        let fast = Settings { bytes_per_second: 1 << 40, window_bytes: 1 << 20, ..Settings::default() };
        let (sent, _, queued) = exchange(&mut a, &mut b, fast)?;
        let exchanged = begin.elapsed().as_secs_f64();
        let (begin, used_by_exchange) = (Instant::now(), processor() - used);
        let used = processor();
        let mut reconciler = Reconciler::new(reconcile::Settings::default());
        let mut found = Vec::new();
        for tenant in 0..50 {
            found.extend(reconciler.set_credit(&format!("tenant-{tenant}"), count / 500, 0));
        }
        let (mut more, mut slices) = (true, Vec::new());
        let held = resident();
        while more {
            let (at, used) = (Instant::now(), thread());
            let (some, rest) = reconciler.slice(&a, 0, false);
            slices.push((at.elapsed().as_secs_f64() * 1e3, (thread() - used) * 1e3));
            (more, found) = (rest, found.into_iter().chain(some).collect());
        }
        let held = resident() - held;
        let reconciled = begin.elapsed().as_secs_f64();
        let used_by_reconciling = processor() - used;
        let after = peak();
        let violations = reconciler.violations().len();
        let debts = found.iter().filter(|d| matches!(d, Decision::Debt { .. })).count();
        println!(
            "  exchanged {:.1} MB in {exchanged:.2} s of both sides' time, {} kB queued at most; reconciled in {reconciled:.2} s; both {:.2} s",
            sent as f64 / 1e6,
            queued / 1_000,
            exchanged + reconciled
        );
        println!(
            "  processor: {used_by_exchange:.2} s for both sides' exchange, {used_by_reconciling:.2} s for reconciling"
        );
        let (mut wall, mut processor): (Vec<f64>, Vec<f64>) = slices.into_iter().unzip();
        for (what, took) in [("by the wall", &mut wall), ("of processor time", &mut processor)] {
            took.sort_by(f64::total_cmp);
            let longest = took.last().copied().unwrap_or(0.0);
            let (p50, p99) = (at(took, 0.5), at(took, 0.99));
            println!(
                "  {} slices, {what}: p50 {p50:.3} ms, p99 {p99:.3} ms, longest {longest:.3} ms",
                took.len()
            );
        }
        println!("  the reconciler and what it found hold {held:.1} MB");
        println!("  {violations} violations, {debts} debts, {} repeated", reconciler.counts().repeated);
        println!("  memory: {before:.0} MB with both halves, {after:.0} MB at most with all of it twice");
        if a.canonical_bytes() != b.canonical_bytes() || a.canonical_bytes() != bytes {
            return Err("the histories differ".into());
        }
        drop((a, b, reconciler, found));
        let fast = Settings { bytes_per_second: 8_000_000, window_bytes: 1 << 19, ..Settings::default() };
        for paced in [Settings::default(), fast] {
            let (mut a, mut b) = (history("north", count / 2, 0)?, history("south", count / 2, 1 << 40)?);
            let (_, took, queued) = exchange(&mut a, &mut b, paced)?;
            let (rate, queued) = (paced.bytes_per_second as f64 / 1e6, queued / 1_000);
            println!(
                "  at {rate} MB/s each way and 10 ms there and back: {took:.1} s, {queued} kB queued at most"
            );
        }
        peak();
    }
    Ok(())
}

fn at(sorted: &[f64], part: f64) -> f64 {
    sorted.get((sorted.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}

fn appends() -> Result<(), Failed> {
    let dir = std::env::temp_dir().join(format!("shorepath-placements-{}", std::process::id()));
    let open = || -> Result<Log, Failed> {
        let store = Arc::new(Store::open(&dir, 1 << 20)?);
        let group_commit = Arc::new(GroupCommit::new(store.clone())?);
        Ok(Log::open(store, group_commit, "north", "north-1", 7)?)
    };
    let log = open()?;
    let mut k = 0;
    for clients in [1, 16, 128] {
        let (reply, notified) = channel();
        let count = 20_000.min(3_000 * clients);
        let begin = Instant::now();
        let mut ends: VecDeque<u64> = VecDeque::new();
        let mut ask = || -> Result<(), Failed> {
            let (reply, at) = (reply.clone(), Instant::now());
            k += 1;
            // A client's placement, and the end of an earlier one, which goes with it.
            if ends.len() > 200 {
                log.append_deferred(&ended(k, ends.pop_front().unwrap_or(0)))?;
            }
            ends.push_back(log.append(&placed(k, true), move |done| {
                let _ = reply.send((done.is_ok(), at.elapsed().as_secs_f64() * 1e3));
            })?);
            Ok(())
        };
        for _ in 0..clients {
            ask()?;
        }
        let mut took = Vec::new();
        for n in 0..count {
            let (ok, ms) = notified.recv()?;
            assert!(ok);
            took.push(ms);
            if n + clients < count {
                ask()?;
            }
        }
        let rate = count as f64 / begin.elapsed().as_secs_f64();
        took.sort_by(f64::total_cmp);
        println!(
            "guarded, {clients} at once: p50 {:.3} ms, p99 {:.3} ms, {rate:.0} a second",
            at(&took, 0.5),
            at(&took, 0.99)
        );
    }
    let count = 200_000;
    let (mut took, begin) = (Vec::new(), Instant::now());
    for k in 0..count {
        let at = Instant::now();
        let number = log.append_deferred(&placed(k, false))?;
        log.append_deferred(&ended(k, number))?;
        took.push(at.elapsed().as_secs_f64() * 1e6);
    }
    let asked = begin.elapsed().as_secs_f64();
    let (reply, notified) = channel();
    log.flush(move |done| drop(reply.send(done)));
    notified.recv()??;
    took.sort_by(f64::total_cmp);
    println!(
        "free, with its end: p50 {:.1} us, p99 {:.1} us for who asks ({asked:.2} s for {count}); on the disk {:.0} a second",
        at(&took, 0.5),
        at(&took, 0.99),
        count as f64 / begin.elapsed().as_secs_f64()
    );
    let last = log.durable().0;
    drop(log);
    let begin = Instant::now();
    let log = open()?;
    println!("{last} entries opened and verified in {:.2} s", begin.elapsed().as_secs_f64());
    let begin = Instant::now();
    log.load_into(&mut History::new())?;
    println!("read into a history in {:.2} s", begin.elapsed().as_secs_f64());
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}

fn main() -> Result<(), Failed> {
    let counts: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    if counts.first() != Some(&0) {
        appends()?;
    }
    let counts: Vec<u64> = counts.into_iter().filter(|count| *count > 0).collect();
    sizes(if counts.is_empty() { &[10_000, 100_000, 1_000_000] } else { &counts })
}
