//! The plan of load, the return, and who asks for which range: properties over many fleets.

use proptest::prelude::*;
use shorepath_recovery::slow_start::{part, Pace, Warming};
use shorepath_sites::config::{read, SitesConfig};
use shorepath_sites::key_ownership::{
    AbsentMembers, Fence, KeyOwnership, PersistedOwnership, PlacementError, Proof,
};
use shorepath_sites::load_allocation::{allocate, refusal_rank, Allocation, Job, RefusalRank, SiteLoad};
use shorepath_sites::recovery_ramp::{RampSettings, RecoveryRamp, StepReason};
use shorepath_sites::SiteState;
use std::collections::BTreeMap;

const S: i64 = 1_000_000;
const CLASSES: [&str; 3] = ["a", "b", "c"];

/// Sites with what each lends of each class, and the least parts.
fn file(lends: &[[u8; 3]], least: [u8; 3], more: &str) -> SitesConfig {
    let mut text = String::from("(sites (fleet \"f\") (key \"k\") (home g)");
    for (s, parts) in lends.iter().enumerate() {
        let nodes: String = (0..2).map(|n| format!("(node s{s}n{n} \"10.0.{s}.{n}:1\")")).collect();
        text += &format!("(site s{s} (bears 100) {nodes})");
        let classes = CLASSES.iter().zip(parts).filter(|(_, p)| **p > 0);
        let shifted: String = classes.map(|(c, p)| format!("(class {c} (part {p}))")).collect();
        // A site that lends nothing is one that the file says nothing of.
        text += &if shifted.is_empty() { shifted } else { format!("(lend s{s}{shifted})") };
    }
    let kept = CLASSES.iter().zip(least).filter(|(_, p)| *p > 0);
    text += &kept.map(|(c, p)| format!("(least {c} {p})")).collect::<String>();
    read("s", &(text + more + ")")).unwrap()
}

fn standing(state: SiteState, capacity: u64, demand: [u64; 3]) -> SiteLoad {
    let demand = CLASSES.iter().zip(demand).map(|(c, d)| (c.to_string(), d)).collect();
    SiteLoad { state, capacity, demand, load_percent: 40 }
}

fn of(all: &[SiteLoad]) -> BTreeMap<String, SiteLoad> {
    all.iter().enumerate().map(|(k, s)| (format!("s{k}"), s.clone())).collect()
}

fn worth() -> BTreeMap<String, u64> {
    BTreeMap::from([("a".to_string(), 3_000), ("b".to_string(), 1_000)])
}

#[test]
fn a_lost_sites_load_goes_where_there_is_room_and_no_further() {
    let file = file(&[[10, 10, 0]; 3], [0, 0, 0], "");
    let (idle, full) =
        (standing(SiteState::Linked, 100, [40, 0, 0]), standing(SiteState::Linked, 100, [100, 0, 0]));
    let lost = standing(SiteState::Lost, 100, [50, 40, 10]);
    let share = allocate(&file, &of(&[idle.clone(), full.clone(), lost.clone()]), &worth());
    // What is full gives its lent parts, which is all that its own load loses; what is spare is used, the worthier class first.
    assert_eq!((share.rate("s1", "a"), share.rate("s1", "b"), share.hosts["s1"].displaced), (10, 10, 20));
    assert_eq!((share.rate("s0", "a"), share.rate("s0", "b"), share.hosts["s0"].displaced), (40, 20, 0));
    assert_eq!(share.unserved, BTreeMap::from([("b".to_string(), 10), ("c".to_string(), 10)]));
    // Nobody is lost: nobody hosts.
    let linked = standing(SiteState::Linked, 100, [50, 40, 10]);
    assert_eq!(allocate(&file, &of(&[idle, full, linked]), &worth()), Allocation::default());
}

#[test]
fn a_class_has_a_least_part_and_a_cut_off_site_comes_after_a_lost_one() {
    let file = file(&[[1, 1, 1]; 3], [0, 0, 20], "");
    let all = [
        standing(SiteState::Linked, 100, [0; 3]),
        standing(SiteState::Lost, 100, [200, 0, 100]),
        standing(SiteState::Alone, 100, [200, 0, 0]),
    ];
    let share = allocate(&file, &of(&all), &worth());
    assert_eq!((share.rate("s0", "a"), share.rate("s0", "c")), (80, 20));
    assert_eq!(share.hosts["s0"].classes["a"].by_site, BTreeMap::from([("s1".to_string(), 80)]));
}

#[test]
fn guests_above_their_share_are_refused_first_and_guarded_work_last() {
    let job = Job { value: 5, ..Job::default() };
    let order = [
        Job { above_share: true, guarded: true, ..job },
        Job { value: 2, ..job },
        job,
        Job { repeat: true, value: 1, ..job },
        Job { further_attempt: true, repeat: true, ..job },
        Job { guarded: true, ..job },
    ];
    let ranks: Vec<RefusalRank> = order.into_iter().map(refusal_rank).collect();
    assert!(ranks.windows(2).all(|w| w[0] < w[1]), "{ranks:?}");
}

fn a_site() -> impl Strategy<Value = SiteLoad> {
    let seen = prop_oneof![
        Just(SiteState::Linked),
        Just(SiteState::Doubtful),
        Just(SiteState::Alone),
        Just(SiteState::Lost),
        Just(SiteState::Returning),
        Just(SiteState::WholeAgain)
    ];
    (seen, prop_oneof![9 => 0u64..1_000, 1 => Just(u64::MAX)], prop::array::uniform3(0u64..600))
        .prop_map(|(seen, bears, d)| standing(seen, bears, d))
}

fn handed(share: &Allocation) -> u64 {
    share.hosts.values().map(|h| h.rate()).sum()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]
    /// No site is handed more than it lends and has spare, or more than it bears; its own load loses no more than what it lends; every
    /// unit goes to somebody who wants it; and the same comes of the same.
    #[test]
    fn no_site_is_handed_more_than_it_lends(
        lends in prop::collection::vec(prop::array::uniform3(1u8..33), 5),
        least in prop::array::uniform3(0u8..33),
        all in prop::collection::vec(a_site(), 5),
    ) {
        let file = file(&lends, least, "");
        let share = allocate(&file, &of(&all), &worth());
        prop_assert_eq!(&share, &allocate(&file, &of(&all), &worth()));
        for (k, (s, lends)) in all.iter().zip(&lends).enumerate() {
            // As much as is ever counted.
            let s = &SiteLoad { capacity: s.capacity.min(1 << 50), ..s.clone() };
            let Some(host) = share.hosts.get(&format!("s{k}")) else { continue };
            prop_assert!(matches!(s.state, SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain));
            let own: u64 = s.demand.values().sum();
            let shifted: u64 = lends.iter().map(|p| s.capacity * u64::from(*p) / 100).sum();
            prop_assert!(host.rate() <= shifted.max(s.capacity.saturating_sub(own)), "s{k}: {host:?}");
            prop_assert!(host.rate() + own.saturating_sub(host.displaced) <= s.capacity.max(own), "s{k}: {host:?}");
            prop_assert!(host.rate() <= s.capacity && host.displaced <= shifted, "s{k}: {host:?}");
            host.classes.values().for_each(|g| assert_eq!(g.by_site.values().sum::<u64>(), g.rate));
        }
        for class in CLASSES {
            let missing = |s: &SiteLoad| match s.state {
                SiteState::Lost | SiteState::Alone => s.demand[class],
                SiteState::Returning => s.demand[class] * 60 / 100,
                _ => 0,
            };
            let wanted: u64 = all.iter().map(missing).sum();
            let given: u64 = (0..5).map(|k| share.rate(&format!("s{k}"), class)).sum();
            prop_assert_eq!(given + share.unserved.get(class).copied().unwrap_or(0), wanted);
        }
    }

    /// Of one class, more that a site bears never makes less of what is handed on in all, and more that is wanted neither.
    #[test]
    fn more_room_or_more_need_hands_on_no_less(
        lends in prop::collection::vec(1u8..33, 5),
        all in prop::collection::vec(a_site(), 5),
        which in 0usize..5,
        more in 0u64..500,
    ) {
        let lends: Vec<[u8; 3]> = lends.into_iter().map(|p| [p, 0, 0]).collect();
        let file = file(&lends, [0; 3], "");
        let mut all = all;
        all.iter_mut().for_each(|s| s.demand.retain(|c, _| c == "a"));
        let before = handed(&allocate(&file, &of(&all), &worth()));
        let mut richer = all.clone();
        richer[which].capacity = richer[which].capacity.saturating_add(more);
        prop_assert!(handed(&allocate(&file, &of(&richer), &worth())) >= before);
        if matches!(all[which].state, SiteState::Lost | SiteState::Alone | SiteState::Returning) {
            let mut poorer = all;
            *poorer[which].demand.get_mut("a").unwrap() += more;
            prop_assert!(handed(&allocate(&file, &of(&poorer), &worth())) >= before);
        }
    }
}

/// Sites of all sizes of a file, with what each lends, and the least parts.
fn a_fleet() -> impl Strategy<Value = (Vec<[u8; 3]>, [u8; 3], Vec<SiteLoad>)> {
    (2usize..=20).prop_flat_map(|count| {
        let lends = prop::collection::vec(prop::array::uniform3(0u8..33), count);
        let all = prop::collection::vec(a_site(), count);
        (lends, prop::array::uniform3(0u8..33), all)
    })
}

fn lives(s: &SiteLoad) -> bool {
    matches!(s.state, SiteState::Linked | SiteState::Doubtful | SiteState::WholeAgain)
}

/// What a site's clients ask for elsewhere, in units of a class.
fn missing(s: &SiteLoad, class: &str) -> u64 {
    let part = match s.state {
        SiteState::Lost | SiteState::Alone => 100,
        SiteState::Returning => 100 - u64::from(s.load_percent),
        _ => 0,
    };
    s.demand[class] * part / 100
}

/// A fleet may have sites that lend nothing at all; the file that says so can be read.
#[test]
fn a_site_may_lend_nothing() {
    let file = file(&[[10, 0, 0], [0, 0, 0], [10, 0, 0]], [0, 0, 0], "");
    let (host, none) =
        (standing(SiteState::Linked, 100, [20, 0, 0]), standing(SiteState::Linked, 100, [0, 0, 0]));
    let lost = standing(SiteState::Lost, 100, [30, 0, 0]);
    let share = allocate(&file, &of(&[host, none, lost]), &worth());
    assert_eq!((share.rate("s0", "a"), share.hosts.get("s1").map_or(0, |h| h.rate())), (30, 0));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..Default::default() })]
    /// From 2 to 20 sites, some of which lend nothing of a class: no host is handed more than it lends or has spare, nor more of a class
    /// that it does not lend than nothing; what guests are told adds up over hosts and over guests, and no guest is given more than it
    /// lacks; what lost sites lack comes before what is only cut off.
    #[test]
    fn parts_add_up_at_any_number_of_sites((lends, least, all) in a_fleet()) {
        let file = file(&lends, least, "");
        let share = allocate(&file, &of(&all), &worth());
        let mut given: BTreeMap<(&str, &str), u64> = BTreeMap::new();
        for (name, host) in &share.hosts {
            let k: usize = name[1..].parse().unwrap();
            let (s, bears) = (&all[k], all[k].capacity.min(1 << 50));
            prop_assert!(lives(s), "{name}: {:?}", s.state);
            let own: u64 = s.demand.values().sum();
            let shifted: u64 = lends[k].iter().map(|p| bears * u64::from(*p) / 100).sum();
            prop_assert!(host.rate() <= shifted.max(bears.saturating_sub(own)), "{name}: {host:?}");
            prop_assert!(host.displaced <= shifted && host.displaced <= host.rate(), "{name}: {host:?}");
            for (class, guests) in &host.classes {
                let part = lends[k][CLASSES.iter().position(|c| c == class).unwrap()];
                prop_assert!(part > 0 && guests.rate > 0, "{name} lends no {class}: {guests:?}");
                prop_assert_eq!(u64::from(guests.percent), (u128::from(guests.rate) * 100 / u128::from(bears)) as u64);
                prop_assert_eq!(guests.by_site.values().sum::<u64>(), guests.rate);
                for (guest, units) in &guests.by_site {
                    prop_assert!(guest != name);
                    *given.entry((guest.as_str(), class.as_str())).or_default() += units;
                }
            }
        }
        for class in CLASSES {
            let (mut lacks, mut has, mut tiers) = (0, 0, [(0, 0); 2]);
            for (k, s) in all.iter().enumerate() {
                let got = given.get(&(format!("s{k}").as_str(), class)).copied().unwrap_or(0);
                let lack = missing(s, class);
                prop_assert!(got <= lack, "s{k} is given {got} of {lack}");
                let tier = &mut tiers[usize::from(s.state == SiteState::Alone)];
                *tier = (tier.0 + got, tier.1 + lack);
                (has, lacks) = (has + got, lacks + lack);
            }
            prop_assert_eq!(has + share.unserved.get(class).copied().unwrap_or(0), lacks);
            prop_assert!(tiers[1].0 == 0 || tiers[0].0 == tiers[0].1, "{class}: cut off before lost: {tiers:?}");
        }
    }

    /// Whoever knows the same plans the same: what a site that asks and hosts nothing is, and what sites are in a file beside those that
    /// are known, changes nothing for the others. (What is known is a map, so it has no order.)
    #[test]
    fn equal_knowledge_gives_equal_plans((lends, least, all) in a_fleet(), drawn in 0usize..20) {
        let file = file(&lends, least, "");
        let share = allocate(&file, &of(&all), &worth());
        prop_assert_eq!(&share, &allocate(&file, &of(&all), &worth()));
        // One that bears nothing and is asked for nothing is as one that nobody knows.
        let mut less = of(&all);
        let gone = format!("s{}", drawn % all.len());
        less.insert(gone.clone(), SiteLoad { capacity: 0, ..standing(all[drawn % all.len()].state, 0, [0; 3]) });
        let with = allocate(&file, &less, &worth());
        less.remove(&gone);
        prop_assert_eq!(with, allocate(&file, &less, &worth()));
    }

    /// One host, whose spare capacity is all that it lends beyond next to nothing: each class has its least part of that, or all that is
    /// wanted of it, whatever the others are worth.
    #[test]
    fn classes_have_their_least_parts(
        least in prop::array::uniform3(0u8..33),
        bears in 100u64..1_000,
        wants in prop::array::uniform3(0u64..1_000),
        lost in 1usize..19,
    ) {
        let file = file(&vec![[1; 3]; lost + 1], least, "");
        let mut all = vec![standing(SiteState::Linked, bears, [0; 3])];
        all.extend((0..lost).map(|_| standing(SiteState::Lost, 100, wants)));
        let share = allocate(&file, &of(&all), &worth());
        for (class, (least, want)) in CLASSES.iter().zip(least.into_iter().zip(wants)) {
            let part = bears * u64::from(least) / 100;
            let rate = share.rate("s0", class);
            // The spare is what is left beyond a hundredth for each class.
            let spare = (bears - 3 * (bears / 100)) * u64::from(least) / 100;
            prop_assert!(rate >= (want * lost as u64).min(spare), "{class}: {rate} of {part}");
        }
    }
}

const PACE: Pace = Pace { share: 0.2, time: 30 * S };

fn warm(now: i64) -> f64 {
    part(&[Warming { started: 1, size: 1.0 }], PACE, now)
}

#[test]
fn a_site_takes_its_load_back_in_steps_that_cold_servers_bear() {
    let mut home = RecoveryRamp::new(RampSettings::with_pace(PACE), 0);
    let (mut parts, mut whole) = (vec![home.load_percent(warm(1))], 0);
    for now in (1..=40).map(|k| k * S) {
        home.outcomes(100, 2);
        home.tick(now, warm(now));
        assert!(f64::from(home.load_percent(warm(now))) <= 100.0 * warm(now) + 0.01);
        parts.push(home.load_percent(warm(now)));
        whole = if whole == 0 && home.is_complete() { now } else { whole };
    }
    println!("all taken back after {:.2} of the warm-up", whole as f64 / PACE.time as f64);
    assert!(parts.windows(2).all(|w| w[0] <= w[1]), "{parts:?}");
    assert!(whole > 0 && whole <= PACE.time * 13 / 10, "{whole}");
}

#[test]
fn bad_outcomes_and_a_second_loss_step_back_and_slow_the_rest() {
    let mut home = RecoveryRamp::new(RampSettings::with_pace(PACE), 0);
    home.outcomes(100, 0);
    assert_eq!(home.tick(3 * S, 1.0).map(|m| (m.from, m.to)), Some((20, 40)));
    home.outcomes(10, 10);
    let back = home.tick(3 * S + 1, 1.0).unwrap();
    assert_eq!((back.to, back.reason), (20, StepReason::Failing(10, 10)));
    home.outcomes(100, 0);
    assert!(home.tick(6 * S + 1, 1.0).is_none());
    assert_eq!(home.tick(9 * S + 1, 1.0).map(|m| m.to), Some(40));
    assert_eq!(home.lost_again(10 * S).map(|m| (m.to, m.reason)), Some((20, StepReason::LostAgain)));
    assert!(home.tick(21 * S, 1.0).is_none());
    assert_eq!(home.tick(22 * S, 1.0).map(|m| m.reason), Some(StepReason::LowTraffic));
}

#[test]
fn clients_are_told_to_come_back_spread_out() {
    let home = RecoveryRamp::new(RampSettings::with_pace(PACE), 0);
    let notified: Vec<i64> =
        (0..=10).map(|k| home.retry_after(0.2, S, 60 * S, f64::from(k) / 10.0)).collect();
    assert!(
        notified.windows(2).all(|w| w[1] - w[0] >= 2 * S) && notified[0] >= S && notified[10] <= 60 * S,
        "{notified:?}"
    );
}

#[test]
fn ranges_are_even_stable_and_asked_for_by_their_heirs_alone() {
    let plan = file(&[[10; 3]; 3], [0; 3], "");
    let number = |n: &str| plan.node_named(n).unwrap().number;
    let mut ownership = KeyOwnership::new(number("s1n0"), &plan, &PersistedOwnership::default());
    let mut count: BTreeMap<String, u32> = BTreeMap::new();
    (0..6_000).for_each(|k| *count.entry(ownership.home(&format!("key-{k}")).to_string()).or_default() += 1);
    assert!(count.len() == 6 && count.values().all(|c| (850..1_150).contains(c)), "{count:?}");
    assert!(ownership.is_guarded("g") && !ownership.is_guarded("a"));
    let mut gone = AbsentMembers::default();
    assert_eq!(ownership.claims(&plan, &gone, 0), ["home:s1/s1n0"]);
    gone.sites.insert("s0".into(), (SiteState::Lost, 0));
    assert_eq!(ownership.claims(&plan, &gone, 9 * S), ["home:s1/s1n0"]);
    assert_eq!(ownership.claims(&plan, &gone, 10 * S), ["home:s0/s0n0", "home:s1/s1n0"]);
    gone.nodes.insert(number("s1n1"), 5 * S);
    assert_eq!(
        ownership.claims(&plan, &gone, 15 * S),
        ["home:s0/s0n0", "home:s0/s0n1", "home:s1/s1n0", "home:s1/s1n1"]
    );
    // It is seen again: the heir asks for it no more.
    gone.sites.insert("s0".into(), (SiteState::Returning, 20 * S));
    assert_eq!(ownership.claims(&plan, &gone, 20 * S), ["home:s1/s1n0", "home:s1/s1n1"]);
    // An operator's word needs no waiting, and holds for the site itself.
    let notified = file(&[[10; 3]; 3], [0; 3], "(lost s0 (number 1))");
    assert_eq!(ownership.claims(&notified, &AbsentMembers::default(), 0), ["home:s0/s0n0", "home:s1/s1n0"]);
    let mut lost = KeyOwnership::new(number("s0n0"), &notified, &PersistedOwnership::default());
    lost.mark_settled();
    assert!(lost.claims(&notified, &AbsentMembers::default(), 0).is_empty());
    let key = (0..).map(|k| format!("k{k}")).find(|k| lost.home(k) == "s0/s0n0").unwrap();
    let refused = lost.may_place(&key, 0, |_| Proof::Clean);
    assert_eq!(refused, Err(PlacementError::Elsewhere { home: "s1/s1n0".into() }));
}

#[test]
fn a_lease_counts_from_its_asking_and_what_others_held_may_have_run() {
    use shorepath_quota::{Grant, LeasePeriod, NodeId, NodeIncarnation};
    let plan = file(&[[10; 3]; 3], [0; 3], "");
    let me = plan.node_named("s0n0").unwrap().number;
    let term = LeasePeriod { length: 5 * S, drift_ppm: 500, longest: S };
    let fences = BTreeMap::from([("s0/s0n0".to_string(), Fence { epoch: 7, number: 4 })]);
    let kept = PersistedOwnership {
        fences,
        settled_nodes: plan.nodes().map(|(_, n)| n.number).collect(),
        ..PersistedOwnership::default()
    };
    let mut ownership = KeyOwnership::new(me, &plan, &kept);
    let key = (0..).map(|k| format!("k{k}")).find(|k| ownership.home(k) == "s0/s0n0").unwrap();
    let life = NodeIncarnation { node: NodeId(me), incarnation: 1 };
    let grant = |number| Grant { life, epoch: 7, number, amount: 1, answers: 1, length: 5 * S };
    let mut give = |number: u64, asked: i64, now: i64| {
        let took = ownership.apply_grant("home:s0/s0n0", &grant(number), asked, term, now);
        (took, ownership.may_place(&key, now, |_| Proof::Unknown), ownership.clone())
    };
    // The next number after its own: nobody else had it. An older one, and one that was on the way for too long, change nothing.
    let (took, placed, ownership) = give(5, 0, 3 * S);
    assert_eq!((took, placed), (true, Ok(Fence { epoch: 7, number: 5 })));
    assert!(ownership.may_place(&key, 5 * S, |_| Proof::Clean).is_err());
    assert!(!give(4, 3 * S, 4 * S).0 && !give(6, -2 * S, 4 * S).0);
    // After a gap the history has to prove it.
    let (_, refused, mut ownership) = give(9, 20 * S, 21 * S);
    assert_eq!(refused, Err(PlacementError::MayHaveRun { home: "s0/s0n0".into() }));
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
fn keys_that_a_new_file_moves_wait_until_all_nodes_go_by_it() {
    use shorepath_quota::{Grant, LeasePeriod, NodeId, NodeIncarnation};
    let (before, after) = (file(&[[10; 3]; 2], [0; 3], ""), file(&[[10; 3]; 3], [0; 3], ""));
    let me = before.node_named("s0n0").unwrap().number;
    let mut ownership = KeyOwnership::new(me, &before, &PersistedOwnership::default());
    let life = NodeIncarnation { node: NodeId(me), incarnation: 1 };
    let grant = Grant { life, epoch: 1, number: 1, amount: 1, answers: 1, length: 5 * S };
    assert!(ownership.apply_grant(
        "home:s0/s0n0",
        &grant,
        0,
        LeasePeriod { length: 5 * S, drift_ppm: 0, longest: 0 },
        0
    ));
    let own = |h: &KeyOwnership| {
        (0..400).map(|k| format!("k{k}")).filter(|k| h.home(k) == "s0/s0n0").collect::<Vec<_>>()
    };
    let all = own(&ownership);
    let may = |h: &KeyOwnership, k: &String| h.may_place(k, 1, |_| Proof::Clean).is_ok();
    // One that begins without a disk does not know what others go by.
    assert!(!all.iter().any(|k| may(&ownership, k)));
    ownership.mark_settled();
    assert!(all.iter().all(|k| may(&ownership, k)));
    ownership.update_config(&after);
    let left = own(&ownership);
    assert!(left.len() < all.len() && left.iter().all(|k| all.contains(k) && may(&ownership, k)));
    // Back to where it was: who had gone by the file in between is not known here.
    ownership.update_config(&before);
    assert!(!all.iter().any(|k| may(&ownership, k)));
    ownership.mark_settled();
    assert!(all.iter().all(|k| may(&ownership, k)) && ownership.persisted().settled_nodes.len() == 4);
}

/// A node that has skipped a file goes by the newest one at once only where no other can take itself for the home by the one in between: in
/// one process and over a restart.
#[rstest::rstest]
#[case::runs(false)]
#[case::starts_anew(true)]
fn a_file_in_between_moves_all_keys(#[case] restarts: bool) {
    let two = file(&[[10; 3]; 2], [0; 3], "");
    let three = file(&[[10; 3]; 3], [0; 3], "");
    let me = two.node_named("s0n0").unwrap().number;
    let mut ownership = KeyOwnership::new(me, &two, &PersistedOwnership::default());
    ownership.mark_settled();
    // Keys that are at home here by each of the files.
    let by = |plan: &SitesConfig, key: &str| {
        KeyOwnership::new(me, plan, &PersistedOwnership::default()).home(key) == "s0/s0n0"
    };
    let key = (0..).map(|k| format!("k{k}")).find(|k| by(&two, k) && by(&three, k)).unwrap();
    let lease = |ownership: &mut KeyOwnership| {
        use shorepath_quota::{Grant, LeasePeriod, NodeId, NodeIncarnation};
        let life = NodeIncarnation { node: NodeId(me), incarnation: 1 };
        let grant = Grant { life, epoch: 9, number: 1, amount: 1, answers: 1, length: 5 * S };
        let term = LeasePeriod { length: 5 * S, drift_ppm: 500, longest: S };
        ownership.apply_grant("home:s0/s0n0", &grant, 0, term, 0);
        ownership.may_place(&key, 0, |_| Proof::Clean)
    };
    let next = |ownership: &mut KeyOwnership, plan: &SitesConfig| match restarts {
        true => *ownership = KeyOwnership::new(me, plan, &ownership.persisted()),
        false => ownership.update_config(plan),
    };
    next(&mut ownership, &three);
    assert!(lease(&mut ownership.clone()).is_ok(), "it is home by both");
    next(&mut ownership, &two);
    let moving = Err(PlacementError::Moving { home: "s0/s0n0".into() });
    assert_eq!(lease(&mut ownership.clone()), moving, "another may go by the one in between");
    ownership.mark_settled();
    assert!(lease(&mut ownership).is_ok());
}
