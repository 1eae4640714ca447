//! Properties of load allocation, the recovery ramp and key ownership, over many fleets.

use proptest::prelude::*;
use shorepath_recovery::slow_start::{warm_fraction, SlowStart, WarmingServer};
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::key_ownership::{
    AbsentMembers, Fence, KeyOwnership, PersistedOwnership, PlacementError, Proof,
};
use shorepath_sites::load_allocation::{allocate, refusal_rank, Allocation, Job, RefusalRank, SiteLoad};
use shorepath_sites::recovery_ramp::{RampSettings, RecoveryRamp, StepReason};
use shorepath_sites::SiteState;
use std::collections::BTreeMap;

/// One second, in microseconds.
const S: i64 = 1_000_000;
const CLASSES: [&str; 3] = ["a", "b", "c"];

/// Builds a configuration from the percentages that each site reserves for each class, and the guaranteed minima.
fn fleet_config(reserved_percents: &[[u8; 3]], minima: [u8; 3], more: &str) -> SitesConfig {
    let mut text = String::from("(sites (fleet \"f\") (key \"k\") (home g)");
    for (s, parts) in reserved_percents.iter().enumerate() {
        let nodes: String = (0..2).map(|n| format!("(node s{s}n{n} \"10.0.{s}.{n}:1\")")).collect();
        text += &format!("(site s{s} (bears 100) {nodes})");
        let classes = CLASSES.iter().zip(parts).filter(|(_, p)| **p > 0);
        let reserved: String = classes.map(|(c, p)| format!("(class {c} (part {p}))")).collect();
        // A site that reserves nothing has no clause.
        text += &if reserved.is_empty() { reserved } else { format!("(lend s{s}{reserved})") };
    }
    let named_minima = CLASSES.iter().zip(minima).filter(|(_, p)| *p > 0);
    text += &named_minima.map(|(c, p)| format!("(least {c} {p})")).collect::<String>();
    read("s", &(text + more + ")")).unwrap()
}

fn site_load(state: SiteState, capacity: u64, demand: [u64; 3]) -> SiteLoad {
    let demand = CLASSES.iter().zip(demand).map(|(c, d)| (c.to_string(), d)).collect();
    SiteLoad { state, capacity, demand, load_percent: 40 }
}

fn by_name(all: &[SiteLoad]) -> BTreeMap<String, SiteLoad> {
    all.iter().enumerate().map(|(k, s)| (format!("s{k}"), s.clone())).collect()
}

fn class_values() -> BTreeMap<String, u64> {
    BTreeMap::from([("a".to_string(), 3_000), ("b".to_string(), 1_000)])
}

#[test]
fn a_lost_sites_load_goes_to_reserved_and_spare_capacity() {
    let config = fleet_config(&[[10, 10, 0]; 3], [0, 0, 0], "");
    let (idle, full) =
        (site_load(SiteState::Linked, 100, [40, 0, 0]), site_load(SiteState::Linked, 100, [100, 0, 0]));
    let lost = site_load(SiteState::Lost, 100, [50, 40, 10]);
    let allocation =
        allocate(&config, &by_name(&[idle.clone(), full.clone(), lost.clone()]), &class_values());
    // A fully loaded host gives its reserved shares only; spare capacity goes to the more valuable class first.
    assert_eq!(
        (allocation.rate("s1", "a"), allocation.rate("s1", "b"), allocation.hosts["s1"].displaced),
        (10, 10, 20)
    );
    assert_eq!(
        (allocation.rate("s0", "a"), allocation.rate("s0", "b"), allocation.hosts["s0"].displaced),
        (40, 20, 0)
    );
    assert_eq!(allocation.unserved, BTreeMap::from([("b".to_string(), 10), ("c".to_string(), 10)]));
    // Without a lost site there are no hosts.
    let linked = site_load(SiteState::Linked, 100, [50, 40, 10]);
    assert_eq!(allocate(&config, &by_name(&[idle, full, linked]), &class_values()), Allocation::default());
}

#[test]
fn a_class_gets_its_minimum_and_a_lost_site_precedes_an_unreachable_one() {
    let config = fleet_config(&[[1, 1, 1]; 3], [0, 0, 20], "");
    let all = [
        site_load(SiteState::Linked, 100, [0; 3]),
        site_load(SiteState::Lost, 100, [200, 0, 100]),
        site_load(SiteState::Alone, 100, [200, 0, 0]),
    ];
    let allocation = allocate(&config, &by_name(&all), &class_values());
    assert_eq!((allocation.rate("s0", "a"), allocation.rate("s0", "c")), (80, 20));
    assert_eq!(allocation.hosts["s0"].classes["a"].by_site, BTreeMap::from([("s1".to_string(), 80)]));
}

#[test]
fn remote_requests_above_their_share_rank_first_and_guarded_requests_last() {
    let job = Job { value: 5, ..Job::default() };
    let order = [
        Job { above_share: true, guarded: true, ..job },
        Job { value: 2, ..job },
        job,
        Job { client_retry: true, value: 1, ..job },
        Job { further_attempt: true, client_retry: true, ..job },
        Job { guarded: true, ..job },
    ];
    let ranks: Vec<RefusalRank> = order.into_iter().map(refusal_rank).collect();
    assert!(ranks.windows(2).all(|w| w[0] < w[1]), "{ranks:?}");
}

fn any_site() -> impl Strategy<Value = SiteLoad> {
    let state = prop_oneof![
        Just(SiteState::Linked),
        Just(SiteState::Doubtful),
        Just(SiteState::Alone),
        Just(SiteState::Lost),
        Just(SiteState::Returning),
        Just(SiteState::WholeAgain)
    ];
    (state, prop_oneof![9 => 0u64..1_000, 1 => Just(u64::MAX)], prop::array::uniform3(0u64..600))
        .prop_map(|(state, capacity, demand)| site_load(state, capacity, demand))
}

fn total_rate(allocation: &Allocation) -> u64 {
    allocation.hosts.values().map(|h| h.rate()).sum()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]
    /// No host gets more than its reserved and spare capacity, its own load loses no more than the reserved shares,
    /// every unit serves a demand, and equal inputs give equal results.
    #[test]
    fn no_host_gets_more_than_reserved_and_spare_capacity(
        reserved_percents in prop::collection::vec(prop::array::uniform3(1u8..33), 5),
        minima in prop::array::uniform3(0u8..33),
        all in prop::collection::vec(any_site(), 5),
    ) {
        let config = fleet_config(&reserved_percents, minima, "");
        let allocation = allocate(&config, &by_name(&all), &class_values());
        prop_assert_eq!(&allocation, &allocate(&config, &by_name(&all), &class_values()));
        for (k, (s, reserved_percents)) in all.iter().zip(&reserved_percents).enumerate() {
            // The cap of capacities.
            let s = &SiteLoad { capacity: s.capacity.min(1 << 50), ..s.clone() };
            let Some(host) = allocation.hosts.get(&format!("s{k}")) else { continue };
            prop_assert!(matches!(s.state, SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain));
            let own_demand: u64 = s.demand.values().sum();
            let reserved: u64 = reserved_percents.iter().map(|p| s.capacity * u64::from(*p) / 100).sum();
            prop_assert!(host.rate() <= reserved.max(s.capacity.saturating_sub(own_demand)), "s{k}: {host:?}");
            prop_assert!(host.rate() + own_demand.saturating_sub(host.displaced) <= s.capacity.max(own_demand), "s{k}: {host:?}");
            prop_assert!(host.rate() <= s.capacity && host.displaced <= reserved, "s{k}: {host:?}");
            host.classes.values().for_each(|g| assert_eq!(g.by_site.values().sum::<u64>(), g.rate));
        }
        for class in CLASSES {
            let remote_demand = |s: &SiteLoad| match s.state {
                SiteState::Lost | SiteState::Alone => s.demand[class],
                SiteState::Returning => s.demand[class] * 60 / 100,
                _ => 0,
            };
            let wanted: u64 = all.iter().map(remote_demand).sum();
            let allocated: u64 = (0..5).map(|k| allocation.rate(&format!("s{k}"), class)).sum();
            prop_assert_eq!(allocated + allocation.unserved.get(class).copied().unwrap_or(0), wanted);
        }
    }

    /// For one class, neither more capacity nor more demand reduces the total allocation.
    #[test]
    fn more_capacity_or_demand_never_reduces_the_allocation(
        reserved_percents in prop::collection::vec(1u8..33, 5),
        all in prop::collection::vec(any_site(), 5),
        which in 0usize..5,
        more in 0u64..500,
    ) {
        let reserved_percents: Vec<[u8; 3]> = reserved_percents.into_iter().map(|p| [p, 0, 0]).collect();
        let config = fleet_config(&reserved_percents, [0; 3], "");
        let mut all = all;
        all.iter_mut().for_each(|s| s.demand.retain(|c, _| c == "a"));
        let previous_rate = total_rate(&allocate(&config, &by_name(&all), &class_values()));
        let mut more_capacity = all.clone();
        more_capacity[which].capacity = more_capacity[which].capacity.saturating_add(more);
        prop_assert!(total_rate(&allocate(&config, &by_name(&more_capacity), &class_values())) >= previous_rate);
        if matches!(all[which].state, SiteState::Lost | SiteState::Alone | SiteState::Returning) {
            let mut more_demand = all;
            *more_demand[which].demand.get_mut("a").unwrap() += more;
            prop_assert!(total_rate(&allocate(&config, &by_name(&more_demand), &class_values())) >= previous_rate);
        }
    }
}

/// Generates 2 to 20 sites with their reserved percentages and the guaranteed minima.
fn any_fleet() -> impl Strategy<Value = (Vec<[u8; 3]>, [u8; 3], Vec<SiteLoad>)> {
    (2usize..=20).prop_flat_map(|count| {
        let reserved_percents = prop::collection::vec(prop::array::uniform3(0u8..33), count);
        let all = prop::collection::vec(any_site(), count);
        (reserved_percents, prop::array::uniform3(0u8..33), all)
    })
}

fn hosts_others(s: &SiteLoad) -> bool {
    matches!(s.state, SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain)
}

/// Returns the demand of a site's clients at other sites, in units of a class.
fn remote_demand(s: &SiteLoad, class: &str) -> u64 {
    let part = match s.state {
        SiteState::Lost | SiteState::Alone => 100,
        SiteState::Returning => 100 - u64::from(s.load_percent),
        _ => 0,
    };
    s.demand[class] * part / 100
}

/// Guards against a rejected configuration in which a site reserves nothing.
#[test]
fn a_site_may_reserve_nothing() {
    let config = fleet_config(&[[10, 0, 0], [0, 0, 0], [10, 0, 0]], [0, 0, 0], "");
    let (host, none) =
        (site_load(SiteState::Linked, 100, [20, 0, 0]), site_load(SiteState::Linked, 100, [0, 0, 0]));
    let lost = site_load(SiteState::Lost, 100, [30, 0, 0]);
    let allocation = allocate(&config, &by_name(&[host, none, lost]), &class_values());
    assert_eq!((allocation.rate("s0", "a"), allocation.hosts.get("s1").map_or(0, |h| h.rate())), (30, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]
    /// No host exceeds its reserved and spare capacity or serves a class that it does not reserve for, allocations add
    /// up and don't exceed the demand, and lost sites precede unreachable ones.
    #[test]
    fn allocations_add_up_at_any_number_of_sites((reserved_percents, minima, all) in any_fleet()) {
        let config = fleet_config(&reserved_percents, minima, "");
        let allocation = allocate(&config, &by_name(&all), &class_values());
        let mut allocated: BTreeMap<(&str, &str), u64> = BTreeMap::new();
        for (name, host) in &allocation.hosts {
            let k: usize = name[1..].parse().unwrap();
            let (s, capacity) = (&all[k], all[k].capacity.min(1 << 50));
            prop_assert!(hosts_others(s), "{name}: {:?}", s.state);
            let own_demand: u64 = s.demand.values().sum();
            let reserved: u64 = reserved_percents[k].iter().map(|p| capacity * u64::from(*p) / 100).sum();
            prop_assert!(host.rate() <= reserved.max(capacity.saturating_sub(own_demand)), "{name}: {host:?}");
            prop_assert!(host.displaced <= reserved && host.displaced <= host.rate(), "{name}: {host:?}");
            for (class, remote) in &host.classes {
                let part = reserved_percents[k][CLASSES.iter().position(|c| c == class).unwrap()];
                prop_assert!(part > 0 && remote.rate > 0, "{name} reserves nothing for {class}: {remote:?}");
                prop_assert_eq!(u64::from(remote.percent), (u128::from(remote.rate) * 100 / u128::from(capacity)) as u64);
                prop_assert_eq!(remote.by_site.values().sum::<u64>(), remote.rate);
                for (site, units) in &remote.by_site {
                    prop_assert!(site != name);
                    *allocated.entry((site.as_str(), class.as_str())).or_default() += units;
                }
            }
        }
        for class in CLASSES {
            let (mut total_demand, mut total_allocated, mut tiers) = (0, 0, [(0, 0); 2]);
            for (k, s) in all.iter().enumerate() {
                let allocated_units = allocated.get(&(format!("s{k}").as_str(), class)).copied().unwrap_or(0);
                let demand = remote_demand(s, class);
                prop_assert!(allocated_units <= demand, "s{k} gets {allocated_units} of {demand}");
                let tier = &mut tiers[usize::from(s.state == SiteState::Alone)];
                *tier = (tier.0 + allocated_units, tier.1 + demand);
                (total_allocated, total_demand) = (total_allocated + allocated_units, total_demand + demand);
            }
            prop_assert_eq!(total_allocated + allocation.unserved.get(class).copied().unwrap_or(0), total_demand);
            prop_assert!(tiers[1].0 == 0 || tiers[0].0 == tiers[0].1, "{class}: unreachable before lost: {tiers:?}");
        }
    }

    /// Equal inputs give equal allocations, and a site without capacity and demand changes nothing for the others.
    #[test]
    fn equal_inputs_give_equal_allocations((reserved_percents, minima, all) in any_fleet(), drawn in 0usize..20) {
        let config = fleet_config(&reserved_percents, minima, "");
        let allocation = allocate(&config, &by_name(&all), &class_values());
        prop_assert_eq!(&allocation, &allocate(&config, &by_name(&all), &class_values()));
        // A site without capacity and demand counts like an unknown one.
        let mut less = by_name(&all);
        let absent = format!("s{}", drawn % all.len());
        less.insert(absent.clone(), SiteLoad { capacity: 0, ..site_load(all[drawn % all.len()].state, 0, [0; 3]) });
        let with = allocate(&config, &less, &class_values());
        less.remove(&absent);
        prop_assert_eq!(with, allocate(&config, &less, &class_values()));
    }

    /// At one host with mostly spare capacity, each class gets its guaranteed minimum or all of its demand, whatever
    /// the values of the others.
    #[test]
    fn classes_get_their_guaranteed_minimum(
        minima in prop::array::uniform3(0u8..33),
        capacity in 100u64..1_000,
        wants in prop::array::uniform3(0u64..1_000),
        lost in 1usize..19,
    ) {
        let config = fleet_config(&vec![[1; 3]; lost + 1], minima, "");
        let mut all = vec![site_load(SiteState::Linked, capacity, [0; 3])];
        all.extend((0..lost).map(|_| site_load(SiteState::Lost, 100, wants)));
        let allocation = allocate(&config, &by_name(&all), &class_values());
        for (class, (minimum, want)) in CLASSES.iter().zip(minima.into_iter().zip(wants)) {
            let guaranteed = capacity * u64::from(minimum) / 100;
            let rate = allocation.rate("s0", class);
            // Each class has one percent reserved; the rest is spare.
            let spare = (capacity - 3 * (capacity / 100)) * u64::from(minimum) / 100;
            prop_assert!(rate >= (want * lost as u64).min(spare), "{class}: {rate} of {guaranteed}");
        }
    }
}

const PACE: SlowStart = SlowStart { min_share: 0.2, duration: 30 * S };

fn warm_fraction_at(now: i64) -> f64 {
    warm_fraction(&[WarmingServer { started: 1, capacity: 1.0 }], PACE, now)
}

#[test]
fn a_ramp_never_exceeds_the_capacity_of_cold_servers() {
    let mut ramp = RecoveryRamp::new(RampSettings::with_pace(PACE), 0);
    let (mut parts, mut full_load_at) = (vec![ramp.load_percent(warm_fraction_at(1))], 0);
    for now in (1..=40).map(|k| k * S) {
        ramp.record_outcomes(100, 2);
        ramp.tick(now, warm_fraction_at(now));
        assert!(f64::from(ramp.load_percent(warm_fraction_at(now))) <= 100.0 * warm_fraction_at(now) + 0.01);
        parts.push(ramp.load_percent(warm_fraction_at(now)));
        full_load_at = if full_load_at == 0 && ramp.is_complete() { now } else { full_load_at };
    }
    println!("full load after {:.2} of the warm-up", full_load_at as f64 / PACE.duration as f64);
    assert!(parts.windows(2).all(|w| w[0] <= w[1]), "{parts:?}");
    assert!(full_load_at > 0 && full_load_at <= PACE.duration * 13 / 10, "{full_load_at}");
}

#[test]
fn failures_and_a_second_loss_step_back_and_lengthen_steps() {
    let mut ramp = RecoveryRamp::new(RampSettings::with_pace(PACE), 0);
    ramp.record_outcomes(100, 0);
    assert_eq!(ramp.tick(3 * S, 1.0).map(|m| (m.from, m.to)), Some((20, 40)));
    ramp.record_outcomes(10, 10);
    let back = ramp.tick(3 * S + 1, 1.0).unwrap();
    assert_eq!((back.to, back.reason), (20, StepReason::Failing(10, 10)));
    ramp.record_outcomes(100, 0);
    assert!(ramp.tick(6 * S + 1, 1.0).is_none());
    assert_eq!(ramp.tick(9 * S + 1, 1.0).map(|m| m.to), Some(40));
    assert_eq!(ramp.lost_again(10 * S).map(|m| (m.to, m.reason)), Some((20, StepReason::LostAgain)));
    assert!(ramp.tick(21 * S, 1.0).is_none());
    assert_eq!(ramp.tick(22 * S, 1.0).map(|m| m.reason), Some(StepReason::LowTraffic));
}

#[test]
fn retry_delays_are_spread_out() {
    let ramp = RecoveryRamp::new(RampSettings::with_pace(PACE), 0);
    let delays: Vec<i64> = (0..=10).map(|k| ramp.retry_after(0.2, S, 60 * S, f64::from(k) / 10.0)).collect();
    assert!(
        delays.windows(2).all(|w| w[1] - w[0] >= 2 * S) && delays[0] >= S && delays[10] <= 60 * S,
        "{delays:?}"
    );
}

#[test]
fn ranges_are_even_and_claimed_by_the_first_available_node() {
    let config = fleet_config(&[[10; 3]; 3], [0; 3], "");
    let number = |n: &str| config.node_named(n).unwrap().number;
    let mut ownership = KeyOwnership::new(number("s1n0"), &config, &PersistedOwnership::default());
    let mut count: BTreeMap<String, u32> = BTreeMap::new();
    (0..6_000).for_each(|k| *count.entry(ownership.home(&format!("key-{k}")).to_string()).or_default() += 1);
    assert!(count.len() == 6 && count.values().all(|c| (850..1_150).contains(c)), "{count:?}");
    assert!(ownership.is_guarded("g") && !ownership.is_guarded("a"));
    let mut absent = AbsentMembers::default();
    assert_eq!(ownership.claims(&config, &absent, 0), ["home:s1/s1n0"]);
    absent.sites.insert("s0".into(), (SiteState::Lost, 0));
    assert_eq!(ownership.claims(&config, &absent, 9 * S), ["home:s1/s1n0"]);
    assert_eq!(ownership.claims(&config, &absent, 10 * S), ["home:s0/s0n0", "home:s1/s1n0"]);
    absent.nodes.insert(number("s1n1"), 5 * S);
    assert_eq!(
        ownership.claims(&config, &absent, 15 * S),
        ["home:s0/s0n0", "home:s0/s0n1", "home:s1/s1n0", "home:s1/s1n1"]
    );
    // The site is available again, so the successor no longer claims its range.
    absent.sites.insert("s0".into(), (SiteState::Returning, 20 * S));
    assert_eq!(ownership.claims(&config, &absent, 20 * S), ["home:s1/s1n0", "home:s1/s1n1"]);
    // A declared loss takes effect at once, also at the lost site itself.
    let declared = fleet_config(&[[10; 3]; 3], [0; 3], "(lost s0 (number 1))");
    assert_eq!(ownership.claims(&declared, &AbsentMembers::default(), 0), ["home:s0/s0n0", "home:s1/s1n0"]);
    let mut lost = KeyOwnership::new(number("s0n0"), &declared, &PersistedOwnership::default());
    lost.mark_settled();
    assert!(lost.claims(&declared, &AbsentMembers::default(), 0).is_empty());
    let key = (0..).map(|k| format!("k{k}")).find(|k| lost.home(k) == "s0/s0n0").unwrap();
    let rejected = lost.may_place(&key, 0, |_| Proof::Clean);
    assert_eq!(rejected, Err(PlacementError::Elsewhere { home: "s1/s1n0".into() }));
}

#[test]
fn a_lease_counts_from_its_request_and_a_gap_needs_proof() {
    use shorepath_quota::{Grant, LeasePeriod, NodeId, NodeIncarnation};
    let config = fleet_config(&[[10; 3]; 3], [0; 3], "");
    let me = config.node_named("s0n0").unwrap().number;
    let term = LeasePeriod { length: 5 * S, drift_ppm: 500, longest: S };
    let fences = BTreeMap::from([("s0/s0n0".to_string(), Fence { epoch: 7, number: 4 })]);
    let persisted = PersistedOwnership {
        fences,
        settled_nodes: config.nodes().map(|(_, n)| n.number).collect(),
        ..PersistedOwnership::default()
    };
    let mut ownership = KeyOwnership::new(me, &config, &persisted);
    let key = (0..).map(|k| format!("k{k}")).find(|k| ownership.home(k) == "s0/s0n0").unwrap();
    let life = NodeIncarnation { node: NodeId(me), incarnation: 1 };
    let grant = |number| Grant { holder: life, epoch: 7, number, amount: 1, answers: 1, length: 5 * S };
    let mut give = |number: u64, asked: i64, now: i64| {
        let applied = ownership.apply_grant("home:s0/s0n0", &grant(number), asked, term, now);
        (applied, ownership.may_place(&key, now, |_| Proof::Unknown), ownership.clone())
    };
    // With consecutive numbers no other node held the range. Older and expired grants change nothing.
    let (applied, placed, ownership) = give(5, 0, 3 * S);
    assert_eq!((applied, placed), (true, Ok(Fence { epoch: 7, number: 5 })));
    assert!(ownership.may_place(&key, 5 * S, |_| Proof::Clean).is_err());
    assert!(!give(4, 3 * S, 4 * S).0 && !give(6, -2 * S, 4 * S).0);
    // After a gap the history must prove that the key was not placed.
    let (_, rejected, mut ownership) = give(9, 20 * S, 21 * S);
    assert_eq!(rejected, Err(PlacementError::MayHaveRun { home: "s0/s0n0".into() }));
    assert!(ownership.may_place(&key, 21 * S, |_| Proof::Clean).is_ok());
    assert!(!ownership.persisted().fences.contains_key("s0/s0n0"));
    ownership.mark_proved("s0/s0n0", Fence { epoch: 7, number: 9 });
    assert!(ownership.may_place(&key, 21 * S, |_| Proof::Unknown).is_ok());
    ownership.lease_ended("home:s0/s0n0");
    assert_eq!(
        ownership.may_place(&key, 21 * S, |_| Proof::Clean),
        Err(PlacementError::NoLease { home: "s0/s0n0".into() })
    );
}

#[test]
fn moved_keys_wait_until_all_nodes_use_the_new_configuration() {
    use shorepath_quota::{Grant, LeasePeriod, NodeId, NodeIncarnation};
    let (before, after) = (fleet_config(&[[10; 3]; 2], [0; 3], ""), fleet_config(&[[10; 3]; 3], [0; 3], ""));
    let me = before.node_named("s0n0").unwrap().number;
    let mut ownership = KeyOwnership::new(me, &before, &PersistedOwnership::default());
    let life = NodeIncarnation { node: NodeId(me), incarnation: 1 };
    let grant = Grant { holder: life, epoch: 1, number: 1, amount: 1, answers: 1, length: 5 * S };
    assert!(ownership.apply_grant(
        "home:s0/s0n0",
        &grant,
        0,
        LeasePeriod { length: 5 * S, drift_ppm: 0, longest: 0 },
        0
    ));
    let owned_keys = |h: &KeyOwnership| {
        (0..400).map(|k| format!("k{k}")).filter(|k| h.home(k) == "s0/s0n0").collect::<Vec<_>>()
    };
    let all = owned_keys(&ownership);
    let may_place = |h: &KeyOwnership, k: &String| h.may_place(k, 1, |_| Proof::Clean).is_ok();
    // A node without its disk does not know which configuration others use.
    assert!(!all.iter().any(|k| may_place(&ownership, k)));
    ownership.mark_settled();
    assert!(all.iter().all(|k| may_place(&ownership, k)));
    ownership.update_config(&after);
    let remaining = owned_keys(&ownership);
    assert!(
        remaining.len() < all.len() && remaining.iter().all(|k| all.contains(k) && may_place(&ownership, k))
    );
    // Back to the first configuration: nodes that used the second one are unknown.
    ownership.update_config(&before);
    assert!(!all.iter().any(|k| may_place(&ownership, k)));
    ownership.mark_settled();
    assert!(all.iter().all(|k| may_place(&ownership, k)) && ownership.persisted().settled_nodes.len() == 4);
}

/// Guards against placing a key while another node may be its home by a configuration in between, in one process and
/// over a restart.
#[rstest::rstest]
#[case::running(false)]
#[case::restarted(true)]
fn a_configuration_in_between_moves_all_keys(#[case] restarts: bool) {
    let two = fleet_config(&[[10; 3]; 2], [0; 3], "");
    let three = fleet_config(&[[10; 3]; 3], [0; 3], "");
    let me = two.node_named("s0n0").unwrap().number;
    let mut ownership = KeyOwnership::new(me, &two, &PersistedOwnership::default());
    ownership.mark_settled();
    // A key whose home is this node by both configurations.
    let by = |config: &SitesConfig, key: &str| {
        KeyOwnership::new(me, config, &PersistedOwnership::default()).home(key) == "s0/s0n0"
    };
    let key = (0..).map(|k| format!("k{k}")).find(|k| by(&two, k) && by(&three, k)).unwrap();
    let lease = |ownership: &mut KeyOwnership| {
        use shorepath_quota::{Grant, LeasePeriod, NodeId, NodeIncarnation};
        let life = NodeIncarnation { node: NodeId(me), incarnation: 1 };
        let grant = Grant { holder: life, epoch: 9, number: 1, amount: 1, answers: 1, length: 5 * S };
        let term = LeasePeriod { length: 5 * S, drift_ppm: 500, longest: S };
        ownership.apply_grant("home:s0/s0n0", &grant, 0, term, 0);
        ownership.may_place(&key, 0, |_| Proof::Clean)
    };
    let next = |ownership: &mut KeyOwnership, config: &SitesConfig| match restarts {
        true => *ownership = KeyOwnership::new(me, config, &ownership.persisted()),
        false => ownership.update_config(config),
    };
    next(&mut ownership, &three);
    assert!(lease(&mut ownership.clone()).is_ok(), "this node is the home by both configurations");
    next(&mut ownership, &two);
    let moving = Err(PlacementError::Moving { home: "s0/s0n0".into() });
    assert_eq!(lease(&mut ownership.clone()), moving, "another node may use the configuration in between");
    ownership.mark_settled();
    assert!(lease(&mut ownership).is_ok());
}
