//! What intents cost on this machine's disk: one at a time, and as many clients ask at once through the keeper; and how long a
//! million open ones take to be opened and read. `cargo run --release -p shorepath-store --example cost`

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

fn at(sorted: &[f64], part: f64) -> f64 {
    sorted.get((sorted.len() as f64 * part) as usize).copied().unwrap_or(f64::NAN)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let dir = std::env::temp_dir().join(format!("shorepath-cost-{}", std::process::id()));
    let store = Arc::new(Store::open(&dir, 1 << 20)?);
    let mut id = 0;
    for clients in [1, 16, 128] {
        let group_commit = GroupCommit::new(store.clone())?;
        let (reply, notified) = channel();
        let count = 20_000.min(3_000 * clients);
        let begin = Instant::now();
        let mut ask = |asked: u64| {
            let (reply, at) = (reply.clone(), Instant::now());
            id += 1;
            // A client's intent, and the end of an earlier one.
            let ops = vec![intent(id), Op::RemoveIntent(format!("{:016x}", id - id.min(200)))];
            group_commit.commit(ops, move |done| {
                let _ = reply.send((done.is_ok(), at.elapsed().as_secs_f64() * 1e3));
            });
            asked + 1
        };
        let mut asked = 0;
        while asked < clients {
            asked = ask(asked);
        }
        let mut took = Vec::new();
        while (took.len() as u64) < count {
            let (ok, ms) = notified.recv()?;
            assert!(ok);
            took.push(ms);
            if asked < count {
                asked = ask(asked);
            }
        }
        let rate = count as f64 / begin.elapsed().as_secs_f64();
        took.sort_by(f64::total_cmp);
        println!(
            "{clients} at once: p50 {:.3} ms, p99 {:.3} ms, {rate:.0} a second",
            at(&took, 0.5),
            at(&took, 0.99)
        );
    }
    for million in 0..1_000u64 {
        let ops: Vec<Op> = (0..1_000).map(|k| intent((1 << 40) + million * 1_000 + k)).collect();
        store.commit(&ops)?;
    }
    drop(store);
    let begin = Instant::now();
    let store = Store::open(&dir, 1 << 20)?;
    let opened = begin.elapsed().as_secs_f64();
    let count = store.intents()?.len();
    println!(
        "{count} open intents: checked and opened in {opened:.2} s, read in {:.2} s",
        begin.elapsed().as_secs_f64() - opened
    );
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}
