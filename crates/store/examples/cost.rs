//! Measures the latency and throughput of intents with one and with many concurrent clients, and the time to open a store with a
//! million intents: `cargo run --release -p shorepath-store --example cost`

use shorepath_store::group_commit::GroupCommit;
use shorepath_store::{Intent, Op, Store};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::Instant;

fn intent(k: u64) -> Op {
    let intent = Intent {
        class: "actuator-cmd".into(),
        key: Some(format!("valve-{k:016x}")),
        server: "s-5be2a07c".into(),
        epoch: 7,
        at: 1_764_600_000_000_000 + k as i64,
    };
    Op::AddIntent(format!("{k:016x}"), intent)
}

/// Returns a quantile, or NaN for an empty sample.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    sorted.get((sorted.len() as f64 * fraction) as usize).copied().unwrap_or(f64::NAN)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let dir = std::env::temp_dir().join(format!("shorepath-cost-{}", std::process::id()));
    let store = Arc::new(Store::open(&dir, 1 << 20)?);
    let mut id = 0;
    for clients in [1, 16, 128] {
        let group_commit = GroupCommit::new(store.clone())?;
        let (reply, results) = channel();
        let count = 20_000.min(3_000 * clients);
        let begin = Instant::now();
        let mut request = |requested: u64| {
            let (reply, start) = (reply.clone(), Instant::now());
            id += 1;
            // Stores the intent of a request, and removes an earlier one.
            let ops = vec![intent(id), Op::RemoveIntent(format!("{:016x}", id - id.min(200)))];
            group_commit.commit(ops, move |result| {
                let _ = reply.send((result.is_ok(), start.elapsed().as_secs_f64() * 1e3));
            });
            requested + 1
        };
        let mut requested = 0;
        while requested < clients {
            requested = request(requested);
        }
        let mut latencies = Vec::new();
        while (latencies.len() as u64) < count {
            let (ok, ms) = results.recv()?;
            assert!(ok);
            latencies.push(ms);
            if requested < count {
                requested = request(requested);
            }
        }
        let rate = count as f64 / begin.elapsed().as_secs_f64();
        latencies.sort_by(f64::total_cmp);
        println!(
            "{clients} clients: p50 {:.3} ms, p99 {:.3} ms, {rate:.0} per second",
            quantile(&latencies, 0.5),
            quantile(&latencies, 0.99)
        );
    }
    for batch in 0..1_000u64 {
        let ops: Vec<Op> = (0..1_000).map(|k| intent((1 << 40) + batch * 1_000 + k)).collect();
        store.commit(&ops)?;
    }
    drop(store);
    let begin = Instant::now();
    let store = Store::open(&dir, 1 << 20)?;
    let opened = begin.elapsed().as_secs_f64();
    let count = store.intents()?.len();
    println!(
        "{count} intents: opened and checked in {opened:.2} s, read in {:.2} s",
        begin.elapsed().as_secs_f64() - opened
    );
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}
