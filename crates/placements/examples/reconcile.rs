//! Measures, on this machine, appends to a log on disk, and how long two sites with half of the placements
//! each take to exchange and reconcile them.
//!
//! `cargo run --release -p shorepath-placements --example reconcile [PLACEMENTS...]`; the appends are skipped
//! if the first number is 0.

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

type ExampleError = Box<dyn std::error::Error>;

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

/// Returns a site's log with `count` placements and their ends. One in ten must not run twice; two in a
/// thousand are placed by the other site, too.
fn history(site: &str, count: u64, first_job: u64) -> Result<History, ExampleError> {
    let writer = Writer { site: site.into(), node: format!("{site}-1"), log: first_job };
    let mut history = History::new();
    let mut at = hash_chain::origin(&writer);
    let mut entries = Vec::new();
    let mut number = 0;
    for k in 0..count {
        let job = if k % 1_000 < 2 { k } else { first_job + k };
        for timed in [placed(job, job.is_multiple_of(10)), ended(job, number + 1)] {
            entries.push(hash_chain::encode(&timed)?);
        }
        number += 2;
        if entries.len() >= 1_000 || k + 1 == count {
            let head = entries.iter().fold(at.1, |d, e| hash_chain::next_digest(&d, e));
            let chunk = std::mem::take(&mut entries);
            let piece = Piece { writer: writer.clone(), after: at.0, before: at.1, entries: chunk, head };
            at = piece.last();
            history.insert(&piece)?;
        }
    }
    Ok(history)
}

/// Returns the peak memory of this process since the last call, in MB.
fn peak_memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse::<f64>().ok());
    let _ = std::fs::write("/proc/self/clear_refs", "5");
    kb.unwrap_or(f64::NAN) / 1e3
}

/// Returns the CPU time of this process in seconds, with a resolution of 10 ms.
fn process_cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    after.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<f64>().ok()).sum::<f64>() / 100.0
}

/// Returns the CPU time of this thread in seconds.
fn thread_cpu_seconds() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Returns the resident memory of this process in MB.
fn resident_memory_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    let kb = line.and_then(|l| l.split_whitespace().nth(1)).and_then(|n| n.parse::<f64>().ok());
    kb.unwrap_or(f64::NAN) / 1e3
}

/// Exchanges all entries in virtual time. Returns the number of bytes sent, the time until both sides were in
/// sync in seconds, and the maximum number of bytes that one side buffered.
fn exchange(
    a: &mut History,
    b: &mut History,
    settings: Settings,
) -> Result<(usize, f64, usize), ExampleError> {
    let one_way_micros = 5_000;
    let mut exchanges = [Exchange::new(settings, 1, 0), Exchange::new(settings, 2, 0)];
    let mut wire: VecDeque<(i64, usize, Vec<u8>)> = VecDeque::new();
    let (mut now, mut sent_bytes, mut max_buffered) = (0, 0, 0);
    loop {
        while wire.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, to, message)) = wire.pop_front() else { break };
            let message = Message::decode(&message)?;
            let (replicas, exchange) =
                if to == 0 { (&mut *a, &mut exchanges[0]) } else { (&mut *b, &mut exchanges[1]) };
            exchange.receive(replicas, message, now)?;
        }
        for from in [0, 1] {
            let exchange = &mut exchanges[from];
            if exchange.due() <= now {
                exchange.poll(if from == 0 { &*a } else { &*b }, now, 0);
                max_buffered = max_buffered.max(exchange.buffered_bytes());
                for message in exchange.take_outgoing() {
                    let message = message.encode();
                    sent_bytes += message.len();
                    wire.push_back((now + one_way_micros, 1 - from, message));
                }
            }
        }
        if exchanges[0].in_sync(a) && exchanges[1].in_sync(b) {
            return Ok((sent_bytes, now as f64 / 1e6, max_buffered));
        }
        let next = exchanges.iter().map(Exchange::due).chain(wire.front().map(|w| w.0)).min();
        now = next.unwrap_or(now).max(now + 200);
    }
}

fn measure_exchange(counts: &[u64]) -> Result<(), ExampleError> {
    for &count in counts {
        let (mut a, mut b) = (history("north", count / 2, 0)?, history("south", count / 2, 1 << 40)?);
        let (entries, held_bytes) = (
            a.entries_and_bytes().0 + b.entries_and_bytes().0,
            a.entries_and_bytes().1 + b.entries_and_bytes().1,
        );
        println!("{count} placements: {entries} entries, {:.1} MB", held_bytes as f64 / 1e6);
        let before = peak_memory_mb();
        let begin = Instant::now();
        let mut joined = a.clone();
        joined.merge(&b);
        println!("  merged in memory in {:.2} s", begin.elapsed().as_secs_f64());
        let bytes = joined.canonical_bytes();
        drop(joined);
        let (begin, cpu_before) = (Instant::now(), process_cpu_seconds());
        let fast = Settings { bytes_per_second: 1 << 40, window_bytes: 1 << 20, ..Settings::default() };
        let (sent, _, queued) = exchange(&mut a, &mut b, fast)?;
        let exchanged = begin.elapsed().as_secs_f64();
        let (begin, used_by_exchange) = (Instant::now(), process_cpu_seconds() - cpu_before);
        let cpu_before = process_cpu_seconds();
        let mut reconciler = Reconciler::new(reconcile::Settings::default());
        let mut found = Vec::new();
        for tenant in 0..50 {
            found.extend(reconciler.set_credit(&format!("tenant-{tenant}"), count / 500, 0));
        }
        let (mut more, mut slices) = (true, Vec::new());
        let held_mb = resident_memory_mb();
        while more {
            let (at, cpu_before) = (Instant::now(), thread_cpu_seconds());
            let (decisions, more_to_do) = reconciler.slice(&a, 0, false);
            slices.push((at.elapsed().as_secs_f64() * 1e3, (thread_cpu_seconds() - cpu_before) * 1e3));
            (more, found) = (more_to_do, found.into_iter().chain(decisions).collect());
        }
        let held_mb = resident_memory_mb() - held_mb;
        let reconciled = begin.elapsed().as_secs_f64();
        let used_by_reconciling = process_cpu_seconds() - cpu_before;
        let after = peak_memory_mb();
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
        let (mut wall_ms, mut cpu_ms): (Vec<f64>, Vec<f64>) = slices.into_iter().unzip();
        for (clock, durations) in [("by the wall clock", &mut wall_ms), ("of processor time", &mut cpu_ms)] {
            durations.sort_by(f64::total_cmp);
            let longest = durations.last().copied().unwrap_or(0.0);
            let (p50, p99) = (at(durations, 0.5), at(durations, 0.99));
            println!(
                "  {} slices, {clock}: p50 {p50:.3} ms, p99 {p99:.3} ms, longest {longest:.3} ms",
                durations.len()
            );
        }
        println!("  the reconciler and its decisions hold {held_mb:.1} MB");
        println!("  {violations} violations, {debts} debts, {} repeated", reconciler.counts().repeated);
        println!(
            "  memory: {before:.0} MB with both halves, {after:.0} MB at most with both complete histories"
        );
        if a.canonical_bytes() != b.canonical_bytes() || a.canonical_bytes() != bytes {
            return Err("the histories differ".into());
        }
        drop((a, b, reconciler, found));
        let fast = Settings { bytes_per_second: 8_000_000, window_bytes: 1 << 19, ..Settings::default() };
        for paced in [Settings::default(), fast] {
            let (mut a, mut b) = (history("north", count / 2, 0)?, history("south", count / 2, 1 << 40)?);
            let (_, seconds, queued) = exchange(&mut a, &mut b, paced)?;
            let (rate, queued) = (paced.bytes_per_second as f64 / 1e6, queued / 1_000);
            println!(
                "  at {rate} MB/s each way and 10 ms there and back: {seconds:.1} s, {queued} kB queued at most"
            );
        }
        peak_memory_mb();
    }
    Ok(())
}

fn at(sorted: &[f64], part: f64) -> f64 {
    sorted.get((sorted.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}

fn measure_appends() -> Result<(), ExampleError> {
    let dir = std::env::temp_dir().join(format!("shorepath-placements-{}", std::process::id()));
    let open = || -> Result<Log, ExampleError> {
        let store = Arc::new(Store::open(&dir, 1 << 20)?);
        let group_commit = Arc::new(GroupCommit::new(store.clone())?);
        Ok(Log::open(store, group_commit, "north", "north-1", 7)?)
    };
    let log = open()?;
    let mut k = 0;
    for clients in [1, 16, 128] {
        let (reply, results) = channel();
        let count = 20_000.min(3_000 * clients);
        let begin = Instant::now();
        let mut ends: VecDeque<u64> = VecDeque::new();
        let mut append_next = || -> Result<(), ExampleError> {
            let (reply, at) = (reply.clone(), Instant::now());
            k += 1;
            // Appends a client's placement together with the end of an earlier one.
            if ends.len() > 200 {
                log.append_deferred(&ended(k, ends.pop_front().unwrap_or(0)))?;
            }
            ends.push_back(log.append(&placed(k, true), move |done| {
                let _ = reply.send((done.is_ok(), at.elapsed().as_secs_f64() * 1e3));
            })?);
            Ok(())
        };
        for _ in 0..clients {
            append_next()?;
        }
        let mut durations = Vec::new();
        for n in 0..count {
            let (ok, ms) = results.recv()?;
            assert!(ok);
            durations.push(ms);
            if n + clients < count {
                append_next()?;
            }
        }
        let rate = count as f64 / begin.elapsed().as_secs_f64();
        durations.sort_by(f64::total_cmp);
        println!(
            "guarded, {clients} at once: p50 {:.3} ms, p99 {:.3} ms, {rate:.0} a second",
            at(&durations, 0.5),
            at(&durations, 0.99)
        );
    }
    let count = 200_000;
    let (mut durations, begin) = (Vec::new(), Instant::now());
    for k in 0..count {
        let at = Instant::now();
        let number = log.append_deferred(&placed(k, false))?;
        log.append_deferred(&ended(k, number))?;
        durations.push(at.elapsed().as_secs_f64() * 1e6);
    }
    let append_seconds = begin.elapsed().as_secs_f64();
    let (reply, results) = channel();
    log.flush(move |done| drop(reply.send(done)));
    results.recv()??;
    durations.sort_by(f64::total_cmp);
    println!(
        "repeatable, with its end: p50 {:.1} us, p99 {:.1} us for the caller ({append_seconds:.2} s for {count}); on the disk {:.0} a second",
        at(&durations, 0.5),
        at(&durations, 0.99),
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

fn main() -> Result<(), ExampleError> {
    let counts: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    if counts.first() != Some(&0) {
        measure_appends()?;
    }
    let counts: Vec<u64> = counts.into_iter().filter(|count| *count > 0).collect();
    measure_exchange(if counts.is_empty() { &[10_000, 100_000, 1_000_000] } else { &counts })
}
