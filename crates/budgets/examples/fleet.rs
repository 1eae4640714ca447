//! What the division is worth at 10, 100 and 1,000 nodes, in virtual time, by the crate's own divider and holders: how much of
//! the whole can be used where it is asked for, how long a dead part is missing, how many words that takes. Beside it what
//! parts fixed by the list would give. `cargo run --release -p shorepath-budgets --example fleet`

use oorandom::Rand64;
use shorepath_budgets::divide::{next, Claim, Moves};
use shorepath_budgets::holder::Holder;
use shorepath_budgets::ledger::Ledger;
use shorepath_budgets::{Grant, Life, Micros, NodeId, Term};
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const TICK: Micros = 50 * MS;
const TERM: Term = Term { length: 5 * S, drift_ppm: 500, longest: 0 };
/// A node asks this often, and the divider divides anew.
const PERIOD: Micros = S;
/// Units a node, in the mean.
const UNITS: u64 = 50;
/// From then on a part of the nodes is dead.
const DEATH: Micros = 33 * S;
const END: Micros = 60 * S;

#[derive(Clone, Copy)]
enum Word {
    Ask { node: usize, answers: u64, demand: u64 },
    Grant(Grant),
    Taken { life: Life, number: u64 },
}

/// What one run came to.
struct Run {
    /// The part of what could be used that was, before the deaths: by grants, and by fixed parts.
    use_granted: f64,
    use_fixed: f64,
    /// Until 95% of what could be used is used again after the deaths, in seconds; and what fixed parts give then.
    back: f64,
    after_fixed: f64,
    words: f64,
    over: u64,
}

fn run(nodes: usize, every: Micros, dead: f64, loss: f64, seed: u64) -> Run {
    let mut rng = Rand64::new(u128::from(seed));
    let whole = UNITS * nodes as u64;
    // One unit of a node's fifty is its reserve.
    let mut ledger = Ledger::new(whole, nodes as u64, TERM);
    let life = |k: usize| Life { node: NodeId(k as u32), incarnation: 1 };
    let mut holders: Vec<Holder> = (0..nodes).map(|k| Holder::new(life(k), 1, TERM)).collect();
    // Each clock is off by up to the bound, and begins anywhere.
    let clocks: Vec<(f64, Micros)> = (0..=nodes)
        .map(|_| (1.0 + (rng.rand_float() - 0.5) * 1e-3, rng.rand_range(0..1_000) as Micros * S))
        .collect();
    let clock = |who: usize, now: Micros| clocks[who].1 + (now as f64 * clocks[who].0) as Micros;
    // A tenth ask for ten times what the others do; who they are changes from time to time.
    let mut demand = vec![0u64; nodes];
    let mut claims: BTreeMap<usize, (u64, Micros)> = BTreeMap::new();
    let mut targets: BTreeMap<usize, u64> = BTreeMap::new();
    let mut way: BTreeMap<(Micros, u64), Word> = BTreeMap::new();
    let (mut sent, mut over, mut turn) = (0u64, 0u64, 0u64);
    let (mut used, mut could, mut fixed) = (0.0, 0.0, 0.0);
    let (mut after_used, mut after_fixed) = (0.0, 0.0);
    let mut back = None;
    let dying = (dead * nodes as f64).round() as usize;
    let (mut now, mut divides) = (0, 0);
    while now < END {
        let first_dead = if now >= DEATH { nodes - dying } else { nodes };
        if now % every == 0 {
            for d in &mut demand {
                let much = rng.rand_float() < 0.1;
                *d = if much { 5 * UNITS } else { UNITS / 2 } + rng.rand_range(0..UNITS / 5);
            }
        }
        let say = |way: &mut BTreeMap<(Micros, u64), Word>, word, rng: &mut Rand64, sent: &mut u64| {
            *sent += 1;
            if rng.rand_float() >= loss {
                let at = now + TICK + rng.rand_range(0..3) as Micros * TICK;
                way.insert((at, *sent), word);
            }
        };
        for k in 0..first_dead {
            // Each at a moment of its own within the period.
            if (now + (k as Micros * 7_919 * MS) % PERIOD / TICK * TICK) % PERIOD == 0 {
                let answers = holders[k].ask(clock(k, now));
                say(&mut way, Word::Ask { node: k, answers, demand: demand[k] }, &mut rng, &mut sent);
            }
        }
        let divider = clock(nodes, now);
        ledger.expire(divider);
        if now >= divides {
            divides += PERIOD;
            turn += 1;
            // Who has not asked for three periods is not divided to, and what it has is in doubt.
            claims.retain(|k, (_, at)| {
                let heard = now - *at < 3 * PERIOD;
                ledger.doubt(life(*k), !heard);
                heard
            });
            let who: Vec<usize> = claims.keys().copied().collect();
            let all: Vec<Claim> = who
                .iter()
                .map(|k| Claim { demand: claims[k].0, floor: 0, held: ledger.charge(life(*k)) })
                .collect();
            let parts = next(ledger.to_divide(), &all, turn, Moves { band_percent: 5, most: whole / 2 });
            targets = who.into_iter().zip(parts.unwrap_or_default()).collect();
        }
        while let Some((&key, _)) = way.first_key_value().filter(|(k, _)| k.0 <= now) {
            let Some(word) = way.remove(&key) else { break };
            match word {
                Word::Ask { node, answers, demand } => {
                    claims.insert(node, (demand, now));
                    let wanted = targets.get(&node).copied().unwrap_or(0);
                    let grant = ledger.offer(life(node), wanted, answers);
                    ledger.enter(grant, divider);
                    say(&mut way, Word::Grant(grant), &mut rng, &mut sent);
                }
                Word::Grant(grant) => {
                    let k = grant.life.node.0 as usize;
                    if k < first_dead && holders[k].granted(grant, clock(k, now)) {
                        say(
                            &mut way,
                            Word::Taken { life: grant.life, number: grant.number },
                            &mut rng,
                            &mut sent,
                        );
                    }
                }
                Word::Taken { life, number } => ledger.taken(life, number),
            }
        }
        // A dead node's grant is counted: it might only be cut off.
        let may: u64 = (0..nodes).map(|k| holders[k].usable(clock(k, now))).sum();
        over += u64::from(may > whole);
        let does: u64 = (0..first_dead).map(|k| holders[k].usable(clock(k, now)).min(demand[k])).sum();
        let best: u64 = demand[..first_dead].iter().sum::<u64>().min(whole);
        let even: u64 = demand[..first_dead].iter().map(|d| (*d).min(UNITS)).sum();
        if (10 * S..DEATH).contains(&now) {
            (used, could, fixed) = (used + does as f64, could + best as f64, fixed + even as f64);
        }
        if now >= DEATH {
            (after_used, after_fixed) = (after_used + best as f64, after_fixed + even as f64);
            if back.is_none() && does as f64 >= 0.95 * best as f64 && now > DEATH {
                back = Some((now - DEATH) as f64 / 1e6);
            }
        }
        now += TICK;
    }
    Run {
        use_granted: used / could,
        use_fixed: fixed / could,
        back: back.unwrap_or(f64::NAN),
        after_fixed: after_fixed / after_used,
        words: sent as f64 / nodes as f64 / (END as f64 / 1e6),
        over,
    }
}

fn main() {
    println!("nodes  demand changes  dead  words lost | used of what could be  fixed parts | back after  fixed then | words/node/s  over");
    for nodes in [10, 100, 1_000] {
        for (every, dead, loss) in [
            (END, 0.01, 0.0),
            (END, 0.1, 0.0),
            (END, 0.7, 0.0),
            (END, 0.7, 0.3),
            (10 * S, 0.1, 0.0),
            (10 * S, 0.1, 0.3),
        ] {
            let runs: Vec<Run> = (1..=3).map(|seed| run(nodes, every, dead, loss, seed)).collect();
            let mean = |of: fn(&Run) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
            println!(
                "{nodes:5}  {:>14}  {:3.0}%  {:9.0}% | {:21.3}  {:11.3} | {:8.2} s  {:10.3} | {:12.2}  {:4}",
                if every < END { "every 10 s" } else { "never" },
                dead * 100.0,
                loss * 100.0,
                mean(|r| r.use_granted),
                mean(|r| r.use_fixed),
                mean(|r| r.back),
                mean(|r| r.after_fixed),
                mean(|r| r.words),
                runs.iter().map(|r| r.over).sum::<u64>(),
            );
        }
    }
}
