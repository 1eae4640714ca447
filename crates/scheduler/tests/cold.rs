//! What twenty or thirty schedulers together send to one cold worker, counted at the worker in requests of mean work. They know
//! nothing of each other; each has been told of the start in the same moment, and each gets a burst in the same moment.

mod common;
use common::*;
use shorepath_scheduler::Scheduler;
use shorepath_scheduler::*;
use std::collections::BTreeMap;

/// The mean work of a request.
const WORK: Micros = 100 * MS;
/// When the one worker starts and all are told.
const TOLD: Micros = 10 * S;
/// The ages of the worker at the burst, as parts of the time in which it falls.
const AGES: [f64; 8] = [0.0, 0.25, 0.5, 1.0, 2.0, 4.0, 6.0, 10.0];
const SEEDS: u64 = 20;

/// What a request is to the schedulers.
#[derive(Clone, Copy, Debug)]
enum Works {
    /// All of mean work, which they hold them to be.
    Equal,
    /// Of two classes, one three times the other's work, which they learn.
    Classes,
    /// Each of its own work, from 0.2 to 1.8 of the mean, which they are told.
    Hinted,
    /// All of mean work; what they are told of it is a guess, from a quarter of it to four times.
    Guessed,
}

/// What each scheduler has had to do before the burst.
#[derive(Clone, Copy, Debug)]
enum Before {
    /// Nothing.
    Quiet,
    /// A request every five seconds or so, for the cold worker alone.
    Light,
    /// The same for 10 s longer, for a warm worker too, which drains at the burst.
    Elsewhere,
    /// Four requests a second for a warm worker of many cores, from 5 s before the start on; it is loaded, and weighs a
    /// tenth from the start on.
    Weighed,
}

/// How workers warm up.
#[derive(Clone, Copy, Debug)]
enum Warming {
    /// From a tenth of one core within 10 s: 6 requests of mean work at the start in the 2 s within which it falls.
    Fast,
    /// From a quarter within 40 s: 7.5 requests in 1 s, and still under 14 as late as ten seconds after.
    Slow,
    /// From a tenth within 6 s, and it falls within the time of four requests of mean work: the fewest at any site that was seen.
    Short,
}

fn slow_start_settings(schedulers: u32, warming: Warming, works: Works) -> Settings {
    let class_of_work = |work: Micros| ClassSettings {
        // An unhinted job is held to be three quarters of this until one has ended.
        latency_objective: work * 4 / 3,
        late_fraction: 0.5,
        ..class_settings(Idempotency::Idempotent)
    };
    let [low, high] = if let Works::Classes = works { [WORK / 2, WORK * 3 / 2] } else { [WORK, WORK] };
    let (cold_share, cold_time, fall_time) = match warming {
        Warming::Fast => (0.1, 10 * S, 2 * S),
        Warming::Slow => (0.25, 40 * S, S),
        Warming::Short => (0.1, 6 * S, 400 * MS),
    };
    Settings {
        schedulers,
        rank: Some(0),
        capacity_includes_speed: true,
        classes: vec![class_of_work(low), class_of_work(high)],
        slow_start_min_share: cold_share,
        slow_start_duration: cold_time,
        overload_window: fall_time,
        ..settings()
    }
}

/// How many requests of mean work the settings allow the worker within the time in which it falls.
fn allowed(settings: &Settings, at: Micros) -> f64 {
    let age = ((at - TOLD) as f64 / settings.slow_start_duration as f64).min(1.0);
    let part = settings.slow_start_min_share + (1.0 - settings.slow_start_min_share) * age;
    settings.overload_multiple * part * settings.overload_window as f64 / WORK as f64
}

/// Something that happens to a scheduler.
enum Step {
    Told,
    Drains,
    Asked(Micros, Option<Micros>, usize),
    Ended(u64, u32),
}

/// What one scheduler sends to the cold worker: when, and how much work.
fn sent(settings: &Settings, seed: u64, works: Works, before: Before, burst: Micros) -> Vec<(Micros, f64)> {
    let mut rng = oorandom::Rand64::new(u128::from(seed) + 1_000_000);
    let mut agenda: BTreeMap<(Micros, u64), Step> = BTreeMap::new();
    let mut count = 1;
    let mut asked = |agenda: &mut BTreeMap<_, _>, at: Micros| {
        count += 1;
        let class = rng.rand_range(0..2) as usize;
        let work = match works {
            Works::Equal => WORK,
            Works::Classes => WORK / 2 + class as Micros * WORK,
            Works::Hinted => rng.rand_range(20..181) as Micros * MS,
            Works::Guessed => WORK,
        };
        let hint = match works {
            Works::Equal | Works::Classes => None,
            Works::Hinted => Some(work),
            // Right in the mean, which is 1.353 times the middle one.
            Works::Guessed => Some((work as f64 * 4f64.powf(2.0 * rng.rand_float() - 1.0) / 1.353) as Micros),
        };
        agenda.insert((at, count), Step::Asked(work, hint, class));
        rng.rand_float()
    };
    let from = match before {
        Before::Quiet => burst,
        Before::Light => TOLD,
        Before::Elsewhere => 0,
        Before::Weighed => TOLD - 5 * S,
    };
    let apart = if let Before::Weighed = before { 0.5e6 } else { 10e6 };
    let mut at = from;
    while at < burst {
        at += (asked(&mut agenda, at) * apart) as Micros;
    }
    // Far more than the worker can do, all at once and again.
    for k in 0..16 {
        asked(&mut agenda, burst + (k / 4) * S / 2);
    }
    agenda.insert((TOLD, 0), Step::Told);
    agenda.insert((burst, 1), Step::Drains);
    // Some know their numbers, others don't.
    let rank = settings.rank.map(|_| (seed % 1_000) as u32);
    let scheduler = Scheduler::new(Settings { rank, ..settings.clone() }, seed);
    let mut harness = Harness { scheduler, now: 0, wake_ups: vec![] };
    let cores = if let Before::Weighed = before { 0.4 * f64::from(settings.schedulers) } else { 1.0 };
    let warm = Endpoint { capacity: cores, ..live_endpoint(1) };
    let elsewhere = matches!(before, Before::Elsewhere | Before::Weighed);
    harness.handle(Event::EndpointList(if elsewhere { vec![warm.clone()] } else { vec![] }));
    let (mut sent, mut open, mut number) = (Vec::new(), BTreeMap::new(), 1_000);
    while let Some((&(at, _), _)) = agenda.first_key_value() {
        let at = harness.wake_ups.iter().copied().min().map_or(at, |wake| at.min(wake));
        let mut actions = harness.advance(at - harness.now);
        while agenda.first_key_value().is_some_and(|((due, _), _)| *due <= at) {
            let ((_, id), event) = agenda.pop_first().unwrap();
            actions.extend(match event {
                Step::Told => {
                    let cold = Endpoint { started_at: TOLD, capacity: 1.0, ..live_endpoint(0) };
                    let busy = matches!(before, Before::Weighed)
                        .then(|| Endpoint { capacity: 0.1 * cores, ..warm.clone() });
                    harness.handle(Event::EndpointUpdate(busy.into_iter().chain([cold]).collect()))
                }
                Step::Drains if elsewhere => {
                    let gone = Endpoint { state: EndpointState::Draining, ..warm.clone() };
                    harness.handle(Event::EndpointUpdate(vec![gone]))
                }
                Step::Drains => vec![],
                Step::Asked(work, hint, class) => {
                    open.insert(id, work);
                    harness.handle(Event::RequestArrived(Request { work_hint: hint, ..request(id, class) }))
                }
                Step::Ended(id, attempt) => harness.attempt_ended(id, attempt, AttemptStatus::Ok),
            });
        }
        // A request is sent but once here: each attempt is answered.
        while !actions.is_empty() {
            let mut more = Vec::new();
            for (id, endpoint) in new_attempts(&actions) {
                let work: Micros = open.remove(&id).expect("sent twice");
                if endpoint == 0 {
                    sent.push((harness.now, work as f64 / WORK as f64));
                }
                more.extend(harness.attempt_started(id));
                number += 1;
                agenda.insert((harness.now + work, number), Step::Ended(id, 0));
            }
            actions = more;
        }
    }
    sent
}

/// How much over what it bears a worker is sent at the worst while it is cold, and how much of what is allowed in the time of
/// the burst.
fn burst(settings: &Settings, seed: u64, works: Works, before: Before, age: Micros) -> (f64, f64) {
    let at = TOLD + age;
    let of = |n: u32| sent(settings, seed * 1_000 + u64::from(n), works, before, at);
    let mut all: Vec<(Micros, f64)> = (0..settings.schedulers).flat_map(of).collect();
    all.sort_by_key(|s| s.0);
    let load = |end: Micros| -> f64 {
        all.iter().filter(|s| s.0 > end - settings.overload_window && s.0 <= end).map(|s| s.1).sum()
    };
    let over = |end: Micros| {
        let n = allowed(settings, end);
        load(end) - (n + 2.0 * n.sqrt() + 2.0)
    };
    let cold = all.iter().filter(|s| s.0 < TOLD + settings.slow_start_duration);
    let worst = cold.map(|s| over(s.0)).fold(f64::MIN, f64::max);
    let end = at + settings.overload_window - 1;
    (worst, load(end) / allowed(settings, end))
}

/// No burst fells the worker. What nodes have saved while they were quiet must not come to more than that in its sum.
fn keeps_up(schedulers: u32, before: Before) {
    let (mut fell, mut all, mut lines) = (0, 0, Vec::new());
    let kinds = [Works::Equal, Works::Classes, Works::Hinted, Works::Guessed];
    for (warming, works) in
        [Warming::Fast, Warming::Slow, Warming::Short].iter().flat_map(|w| kinds.map(|k| (*w, k)))
    {
        let settings = slow_start_settings(schedulers, warming, works);
        let ages = AGES.map(|age| (age * settings.overload_window as f64) as Micros);
        // Once it is warm nothing fells it.
        for age in
            ages.into_iter().filter(|age| age + settings.overload_window <= settings.slow_start_duration)
        {
            let (mut here, mut worst, mut used) = (0, f64::MIN, 0.0);
            for seed in 0..SEEDS {
                let (over, load) = burst(&settings, seed, works, before, age);
                here += u32::from(over > 0.0);
                worst = worst.max(over);
                used += load / SEEDS as f64;
            }
            let age = age as f64 / S as f64;
            lines.push(format!(
                "{schedulers} {before:?} {warming:?} {works:?} at {age} s: {here} of {SEEDS} fell, at worst {worst:+.1} \
                 requests over, {used:.2} of what is allowed used"
            ));
            fell += here;
            all += SEEDS;
        }
    }
    lines.push(format!("{schedulers} {before:?}: {fell} of {all} bursts fell it"));
    let lines = lines.join("\n");
    println!("{lines}");
    assert!(fell == 0, "{lines}");
}

#[test]
fn twenty_quiet_schedulers_that_burst_do_not_fell_a_cold_worker() {
    keeps_up(20, Before::Quiet);
}

#[test]
fn thirty_quiet_schedulers_that_burst_do_not_fell_a_cold_worker() {
    keeps_up(30, Before::Quiet);
}

#[test]
fn twenty_schedulers_with_light_traffic_that_burst_do_not_fell_a_cold_worker() {
    keeps_up(20, Before::Light);
}

#[test]
fn thirty_schedulers_with_light_traffic_that_burst_do_not_fell_a_cold_worker() {
    keeps_up(30, Before::Light);
}

#[test]
fn twenty_schedulers_whose_warm_worker_drains_do_not_fell_a_cold_one() {
    keeps_up(20, Before::Elsewhere);
}

#[test]
fn thirty_schedulers_whose_warm_worker_drains_do_not_fell_a_cold_one() {
    keeps_up(30, Before::Elsewhere);
}

#[test]
fn twenty_schedulers_whose_warm_worker_weighs_less_under_load_do_not_fell_a_cold_one() {
    keeps_up(20, Before::Weighed);
}

#[test]
fn thirty_schedulers_whose_warm_worker_weighs_less_under_load_do_not_fell_a_cold_one() {
    keeps_up(30, Before::Weighed);
}
