//! Guards against overload of one endpoint in slow start by twenty or thirty schedulers that do not
//! coordinate. All learn of its start at the same time, and all get a burst of requests at the same time.

mod common;
use common::*;
use shorepath_scheduler::Scheduler;
use shorepath_scheduler::*;
use std::collections::BTreeMap;

/// The mean work of a request, in microseconds.
const WORK: Micros = 100 * MS;
/// When the endpoint starts and all schedulers learn of it, in microseconds.
const STARTED_AT: Micros = 10 * S;
/// The ages of the endpoint at the burst, in overload windows.
const AGES: [f64; 8] = [0.0, 0.25, 0.5, 1.0, 2.0, 4.0, 6.0, 10.0];
const SEEDS: u64 = 20;

/// The work of the requests, and what the schedulers know of it.
#[derive(Clone, Copy, Debug)]
enum WorkPattern {
    /// All have the mean work, which is also the assumed work.
    Equal,
    /// Two classes, one of three times the other's work.
    Classes,
    /// Work of 0.2 to 1.8 times the mean, with exact hints.
    Hinted,
    /// All have the mean work, with hints from a quarter of it to four times it.
    InexactlyHinted,
}

/// The load of each scheduler before the burst.
#[derive(Clone, Copy, Debug)]
enum EarlierLoad {
    None,
    /// A request about every five seconds, for the endpoint in slow start.
    Light,
    /// A request about every five seconds from 10 s earlier on, also for a warm endpoint that drains at the
    /// burst.
    DrainingEndpoint,
    /// Four requests a second from 5 s before the start on, also for a warm endpoint of many cores, whose
    /// listed capacity falls to a tenth at the start.
    LoweredCapacity,
}

/// How the endpoint's capacity grows in slow start.
#[derive(Clone, Copy, Debug)]
enum SlowStart {
    /// From a tenth of one core, for 10 s. At first 6 requests of mean work within the overload window
    /// overload it.
    TenSeconds,
    /// From a quarter of one core, for 40 s. At first 7.5 requests of mean work within the overload window
    /// overload it, and fewer than 14 after ten seconds.
    FortySeconds,
    /// From a tenth of one core, for 6 s, with an overload window as long as four requests of mean work.
    ShortWindow,
}

fn slow_start_settings(schedulers: u32, slow_start: SlowStart, pattern: WorkPattern) -> Settings {
    let class_of_work = |work: Micros| ClassSettings {
        // The assumed work of a request without a hint is three quarters of this.
        latency_objective: work * 4 / 3,
        late_fraction: 0.5,
        ..class_settings(Idempotency::Idempotent)
    };
    let [low, high] =
        if let WorkPattern::Classes = pattern { [WORK / 2, WORK * 3 / 2] } else { [WORK, WORK] };
    let (min_share, duration, overload_window) = match slow_start {
        SlowStart::TenSeconds => (0.1, 10 * S, 2 * S),
        SlowStart::FortySeconds => (0.25, 40 * S, S),
        SlowStart::ShortWindow => (0.1, 6 * S, 400 * MS),
    };
    Settings {
        schedulers,
        rank: Some(0),
        capacity_includes_speed: true,
        classes: vec![class_of_work(low), class_of_work(high)],
        slow_start_min_share: min_share,
        slow_start_duration: duration,
        overload_window,
        ..settings()
    }
}

/// Returns how many requests of mean work within an overload window the endpoint can take at a time.
fn capacity(settings: &Settings, at: Micros) -> f64 {
    let age = ((at - STARTED_AT) as f64 / settings.slow_start_duration as f64).min(1.0);
    let share = settings.slow_start_min_share + (1.0 - settings.slow_start_min_share) * age;
    settings.overload_multiple * share * settings.overload_window as f64 / WORK as f64
}

/// An event at one scheduler.
enum Step {
    EndpointStarted,
    EndpointDrains,
    /// The request's work, its hint and its class.
    RequestArrived(Micros, Option<Micros>, usize),
    /// The request and the number of its attempt.
    AttemptEnded(u64, u32),
}

/// Runs one scheduler. Returns the time and the relative work of each request that it sends to the endpoint
/// in slow start.
fn run_scheduler(
    settings: &Settings,
    seed: u64,
    pattern: WorkPattern,
    earlier_load: EarlierLoad,
    burst: Micros,
) -> Vec<(Micros, f64)> {
    let mut rng = oorandom::Rand64::new(u128::from(seed) + 1_000_000);
    let mut agenda: BTreeMap<(Micros, u64), Step> = BTreeMap::new();
    let mut count = 1;
    let mut add_request = |agenda: &mut BTreeMap<_, _>, at: Micros| {
        count += 1;
        let class = rng.rand_range(0..2) as usize;
        let work = match pattern {
            WorkPattern::Equal => WORK,
            WorkPattern::Classes => WORK / 2 + class as Micros * WORK,
            WorkPattern::Hinted => rng.rand_range(20..181) as Micros * MS,
            WorkPattern::InexactlyHinted => WORK,
        };
        let hint = match pattern {
            WorkPattern::Equal | WorkPattern::Classes => None,
            WorkPattern::Hinted => Some(work),
            // The mean of the factors is 1.353, so the hints are right on average.
            WorkPattern::InexactlyHinted => {
                Some((work as f64 * 4f64.powf(2.0 * rng.rand_float() - 1.0) / 1.353) as Micros)
            }
        };
        agenda.insert((at, count), Step::RequestArrived(work, hint, class));
        rng.rand_float()
    };
    let first_arrival = match earlier_load {
        EarlierLoad::None => burst,
        EarlierLoad::Light => STARTED_AT,
        EarlierLoad::DrainingEndpoint => 0,
        EarlierLoad::LoweredCapacity => STARTED_AT - 5 * S,
    };
    let max_interval = if let EarlierLoad::LoweredCapacity = earlier_load { 0.5e6 } else { 10e6 };
    let mut arrival = first_arrival;
    while arrival < burst {
        arrival += (add_request(&mut agenda, arrival) * max_interval) as Micros;
    }
    // Four times in a row, four requests at once: far more than the endpoint can serve.
    for k in 0..16 {
        add_request(&mut agenda, burst + (k / 4) * S / 2);
    }
    agenda.insert((STARTED_AT, 0), Step::EndpointStarted);
    agenda.insert((burst, 1), Step::EndpointDrains);
    let rank = settings.rank.map(|_| (seed % 1_000) as u32);
    let scheduler = Scheduler::new(Settings { rank, ..settings.clone() }, seed);
    let mut harness = Harness { scheduler, now: 0, wake_ups: vec![] };
    let cores = if let EarlierLoad::LoweredCapacity = earlier_load {
        0.4 * f64::from(settings.schedulers)
    } else {
        1.0
    };
    let warm = Endpoint { capacity: cores, ..live_endpoint(1) };
    let has_warm_endpoint =
        matches!(earlier_load, EarlierLoad::DrainingEndpoint | EarlierLoad::LoweredCapacity);
    harness.handle(Event::EndpointList(if has_warm_endpoint { vec![warm.clone()] } else { vec![] }));
    let (mut sent, mut unsent, mut last_step) = (Vec::new(), BTreeMap::new(), 1_000);
    while let Some((&(at, _), _)) = agenda.first_key_value() {
        let at = harness.wake_ups.iter().copied().min().map_or(at, |wake| at.min(wake));
        let mut actions = harness.advance(at - harness.now);
        while agenda.first_key_value().is_some_and(|((due, _), _)| *due <= at) {
            let ((_, id), event) = agenda.pop_first().unwrap();
            actions.extend(match event {
                Step::EndpointStarted => {
                    let cold = Endpoint { started_at: STARTED_AT, capacity: 1.0, ..live_endpoint(0) };
                    let busy = matches!(earlier_load, EarlierLoad::LoweredCapacity)
                        .then(|| Endpoint { capacity: 0.1 * cores, ..warm.clone() });
                    harness.handle(Event::EndpointUpdate(busy.into_iter().chain([cold]).collect()))
                }
                Step::EndpointDrains if has_warm_endpoint => {
                    let draining = Endpoint { state: EndpointState::Draining, ..warm.clone() };
                    harness.handle(Event::EndpointUpdate(vec![draining]))
                }
                Step::EndpointDrains => vec![],
                Step::RequestArrived(work, hint, class) => {
                    unsent.insert(id, work);
                    harness.handle(Event::RequestArrived(Request { work_hint: hint, ..request(id, class) }))
                }
                Step::AttemptEnded(id, attempt) => harness.attempt_ended(id, attempt, AttemptStatus::Ok),
            });
        }
        // Each attempt is served, so no request is sent twice.
        while !actions.is_empty() {
            let mut next_actions = Vec::new();
            for (id, endpoint) in new_attempts(&actions) {
                let work: Micros = unsent.remove(&id).expect("a request is sent only once");
                if endpoint == 0 {
                    sent.push((harness.now, work as f64 / WORK as f64));
                }
                next_actions.extend(harness.attempt_started(id));
                last_step += 1;
                agenda.insert((harness.now + work, last_step), Step::AttemptEnded(id, 0));
            }
            actions = next_actions;
        }
    }
    sent
}

/// Returns the largest excess over the endpoint's capacity and a tolerance during slow start, in requests of
/// mean work, and the used fraction of its capacity in the overload window after the burst.
fn run_burst(
    settings: &Settings,
    seed: u64,
    pattern: WorkPattern,
    earlier_load: EarlierLoad,
    age: Micros,
) -> (f64, f64) {
    let at = STARTED_AT + age;
    let sent_by = |n: u32| run_scheduler(settings, seed * 1_000 + u64::from(n), pattern, earlier_load, at);
    let mut attempts: Vec<(Micros, f64)> = (0..settings.schedulers).flat_map(sent_by).collect();
    attempts.sort_by_key(|s| s.0);
    let load = |end: Micros| -> f64 {
        attempts.iter().filter(|s| s.0 > end - settings.overload_window && s.0 <= end).map(|s| s.1).sum()
    };
    let excess = |end: Micros| {
        let n = capacity(settings, end);
        load(end) - (n + 2.0 * n.sqrt() + 2.0)
    };
    let cold = attempts.iter().filter(|s| s.0 < STARTED_AT + settings.slow_start_duration);
    let worst = cold.map(|s| excess(s.0)).fold(f64::MIN, f64::max);
    let end = at + settings.overload_window - 1;
    (worst, load(end) / capacity(settings, end))
}

/// Asserts that no burst overloads the endpoint, even with what the schedulers were allowed to save up before
/// it.
fn assert_no_overload(schedulers: u32, earlier_load: EarlierLoad) {
    let (mut overloads, mut bursts, mut lines) = (0, 0, Vec::new());
    let work_patterns =
        [WorkPattern::Equal, WorkPattern::Classes, WorkPattern::Hinted, WorkPattern::InexactlyHinted];
    for (slow_start, pattern) in [SlowStart::TenSeconds, SlowStart::FortySeconds, SlowStart::ShortWindow]
        .iter()
        .flat_map(|w| work_patterns.map(|k| (*w, k)))
    {
        let settings = slow_start_settings(schedulers, slow_start, pattern);
        let ages = AGES.map(|age| (age * settings.overload_window as f64) as Micros);
        // An endpoint past slow start cannot be overloaded here.
        for age in
            ages.into_iter().filter(|age| age + settings.overload_window <= settings.slow_start_duration)
        {
            let (mut overloaded, mut worst, mut used) = (0, f64::MIN, 0.0);
            for seed in 0..SEEDS {
                let (excess, load) = run_burst(&settings, seed, pattern, earlier_load, age);
                overloaded += u32::from(excess > 0.0);
                worst = worst.max(excess);
                used += load / SEEDS as f64;
            }
            let age = age as f64 / S as f64;
            lines.push(format!(
                "{schedulers} {earlier_load:?} {slow_start:?} {pattern:?} at {age} s: {overloaded} of {SEEDS} bursts \
                 overload it, by {worst:+.1} requests at worst; {used:.2} of its capacity is used"
            ));
            overloads += overloaded;
            bursts += SEEDS;
        }
    }
    lines
        .push(format!("{schedulers} {earlier_load:?}: {overloads} of {bursts} bursts overload the endpoint"));
    let lines = lines.join("\n");
    println!("{lines}");
    assert!(overloads == 0, "{lines}");
}

#[test]
fn twenty_idle_schedulers_with_a_burst_do_not_overload_the_endpoint() {
    assert_no_overload(20, EarlierLoad::None);
}

#[test]
fn thirty_idle_schedulers_with_a_burst_do_not_overload_the_endpoint() {
    assert_no_overload(30, EarlierLoad::None);
}

#[test]
fn twenty_lightly_loaded_schedulers_with_a_burst_do_not_overload_the_endpoint() {
    assert_no_overload(20, EarlierLoad::Light);
}

#[test]
fn thirty_lightly_loaded_schedulers_with_a_burst_do_not_overload_the_endpoint() {
    assert_no_overload(30, EarlierLoad::Light);
}

#[test]
fn twenty_schedulers_whose_warm_endpoint_drains_do_not_overload_the_endpoint() {
    assert_no_overload(20, EarlierLoad::DrainingEndpoint);
}

#[test]
fn thirty_schedulers_whose_warm_endpoint_drains_do_not_overload_the_endpoint() {
    assert_no_overload(30, EarlierLoad::DrainingEndpoint);
}

#[test]
fn twenty_schedulers_whose_warm_endpoint_loses_capacity_do_not_overload_the_endpoint() {
    assert_no_overload(20, EarlierLoad::LoweredCapacity);
}

#[test]
fn thirty_schedulers_whose_warm_endpoint_loses_capacity_do_not_overload_the_endpoint() {
    assert_no_overload(30, EarlierLoad::LoweredCapacity);
}
