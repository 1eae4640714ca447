//! Sites as nodes see them, in virtual time: always right in the end, within a stated time, and no flapping on the way.

mod figures;
mod fleet;
mod leases;

use fleet::{Fleet, S};
use shorepath_sites::config::{DeclaredLoss, SitesConfig};
use shorepath_sites::health::{Load, Message, ReceiveError, SiteHealth, SiteReport, StateChangeReason};
use shorepath_sites::SiteState;

/// What all living nodes of other sites see a site as; panics where they differ.
fn all_see(f: &Fleet, site: usize) -> SiteState {
    let seen: Vec<SiteState> = (0..f.nodes.len())
        .filter(|k| f.site[*k] != site && !f.dead[*k])
        .map(|k| f.nodes[k].state(&format!("s{site}")).unwrap())
        .collect();
    assert!(seen.iter().all(|s| *s == seen[0]), "they differ: {seen:?}");
    seen[0]
}

fn steps(f: &Fleet, node: usize, site: usize) -> Vec<SiteState> {
    let name = format!("s{site}");
    f.log.iter().filter(|(_, k, c)| *k == node && c.site == name).map(|(_, _, c)| c.to).collect()
}

#[test]
fn a_site_is_lost_and_returns_by_one_change_each_way() {
    let mut f = Fleet::new(&[2; 3], 1);
    f.run(20 * S);
    assert!(f.log.is_empty(), "{:?}", f.log);
    f.kill(2, true);
    f.run(27 * S);
    assert_eq!(all_see(&f, 2), SiteState::Lost);
    assert!(f.nodes[0].has_majority_contact(f.now) && !f.nodes[0].is_isolated());
    assert!(f.nodes[0].all_nodes_use_config());
    f.kill(2, false);
    f.run(32 * S);
    assert_eq!(all_see(&f, 2), SiteState::Returning);
    for node in &mut f.nodes {
        node.mark_recovered("s2", 32 * S);
    }
    f.run(50 * S);
    assert_eq!(all_see(&f, 2), SiteState::Linked);
    let way = [
        SiteState::Doubtful,
        SiteState::Lost,
        SiteState::Returning,
        SiteState::WholeAgain,
        SiteState::Linked,
    ];
    (0..4).for_each(|k| assert_eq!(steps(&f, k, 2), way, "node {k}"));
}

#[test]
fn a_cut_between_two_sites_is_told_from_a_loss_by_a_third() {
    let mut f = Fleet::new(&[2; 3], 2);
    f.run(10 * S);
    (f.loss[0][1], f.loss[1][0]) = (1.0, 1.0);
    f.run(25 * S);
    assert_eq!(f.nodes[0].state("s1"), Some(SiteState::Alone));
    assert_eq!(f.nodes[2].state("s0"), Some(SiteState::Alone));
    assert_eq!(f.nodes[4].state("s0"), Some(SiteState::Linked));
    assert!(f.nodes[0].has_majority_contact(f.now));
}

#[test]
fn a_link_that_works_one_way_is_recognised_from_both_ends() {
    let mut f = Fleet::new(&[2; 3], 3);
    f.run(10 * S);
    f.loss[0][1] = 1.0;
    f.run(29 * S / 2);
    assert_eq!(f.nodes[0].state("s1"), Some(SiteState::Doubtful));
    f.run(25 * S);
    assert_eq!(
        (f.nodes[0].state("s1"), f.nodes[2].state("s0")),
        (Some(SiteState::Alone), Some(SiteState::Alone))
    );
}

#[test]
fn one_that_is_cut_off_knows_that_it_is_alone_and_can_confirm_nothing() {
    let mut f = Fleet::new(&[2; 3], 4);
    f.run(10 * S);
    f.cut(0, 1.0);
    f.run(14 * S);
    assert!(!f.nodes[0].has_majority_contact(f.now));
    f.run(20 * S);
    assert!(f.nodes[0].is_isolated() && !f.nodes[2].is_isolated());
    assert_eq!(f.nodes[2].state("s0"), Some(SiteState::Lost));
    f.cut(0, 0.0);
    f.run(25 * S);
    assert!(!f.nodes[0].is_isolated() && f.nodes[0].has_majority_contact(f.now));
}

#[test]
fn two_that_take_each_other_for_lost_both_return() {
    let mut f = Fleet::new(&[1; 2], 5);
    f.run(10 * S);
    f.cut(0, 1.0);
    f.run(20 * S);
    assert_eq!((all_see(&f, 0), all_see(&f, 1)), (SiteState::Lost, SiteState::Lost));
    assert!(f.nodes.iter().all(|n| n.is_isolated() && !n.has_majority_contact(f.now)));
    f.cut(0, 0.0);
    f.run(25 * S);
    assert_eq!((all_see(&f, 0), all_see(&f, 1)), (SiteState::Returning, SiteState::Returning));
}

#[test]
fn a_slow_link_is_doubtful_and_never_lost() {
    let mut f = Fleet::new(&[2; 3], 6);
    f.run(10 * S);
    (f.delay[0][1], f.delay[1][0]) = (2 * S, 2 * S);
    f.run(60 * S);
    assert_eq!(
        (f.nodes[0].state("s1"), f.nodes[2].state("s0")),
        (Some(SiteState::Doubtful), Some(SiteState::Doubtful))
    );
    assert!(f.log.iter().all(|(_, _, c)| c.to == SiteState::Doubtful), "{:?}", f.log);
}

#[test]
fn one_that_stood_still_listens_before_it_takes_others_for_lost() {
    let mut f = Fleet::new(&[2; 3], 7);
    f.run(10 * S);
    (0..2).for_each(|k| f.readiness(k, true));
    f.run(40 * S);
    assert_eq!(f.nodes[2].state("s0"), Some(SiteState::Lost));
    (0..2).for_each(|k| f.readiness(k, false));
    // What lay in its buffer confirms nothing.
    assert!(!f.nodes[0].has_majority_contact(f.now));
    f.run(60 * S);
    assert!(f.nodes[0].has_majority_contact(f.now));
    (0..2).for_each(|k| {
        assert!(
            steps(&f, k, 1).iter().all(|s| *s != SiteState::Lost && *s != SiteState::Alone),
            "{:?}",
            f.log
        )
    });
}

#[test]
fn words_are_checked_short_and_open_to_newer_versions() {
    let plan = fleet::plan(&[1; 20]);
    let number = |k: usize| plan.nodes().nth(k).unwrap().1.number;
    let mut at = SiteHealth::new(number(0), &plan, 1, 0).unwrap();
    let notified = |site| SiteReport {
        site,
        heartbeat: 999_999_999,
        heartbeat_age: 99_999,
        direct: 999_999_999,
        direct_age: 99_999,
        echo_age: 99_999,
    };
    let others = plan.sites.iter().skip(1).map(|s| notified(s.number)).collect();
    let demand = (0..6).map(|k| (u32::MAX - 9 + k, 1_000_000)).collect();
    let load = Some(Load { load_percent: 100, capacity: 1_000_000_000, demand });
    let message = Message {
        site: plan.sites[1].number,
        heartbeat: 999_999_999,
        version: 1_000_000_000,
        digest: u32::MAX,
        others,
        load,
    };
    let json = serde_json::to_string(&message).unwrap();
    let short = postcard::to_allocvec(&message).unwrap();
    println!("20 sites: {} bytes of JSON, {} of postcard", json.len(), short.len());
    assert!(json.len() < 1_200 && short.len() < 1_200);
    assert_eq!(postcard::from_bytes::<Message>(&short).unwrap(), message);
    let newer = json.replacen('{', "{\"hue\":[1],", 1);
    assert_eq!(serde_json::from_str::<Message>(&newer).unwrap(), message);
    assert_eq!(at.receive(7, &message, 1), Err(ReceiveError::UnknownNode(7)));
    let elsewhere = ReceiveError::WrongSite { node: number(2), site: message.site };
    assert_eq!(at.receive(number(2), &message, 1), Err(elsewhere));
    at.receive(number(1), &message, 1).unwrap();
    assert_eq!(at.load("s1"), message.load);
    let far = Message { heartbeat: message.heartbeat + (1 << 33), ..message };
    assert_eq!(at.receive(number(1), &far, 2), Err(ReceiveError::OutOfReach(far.heartbeat)));
}

/// Numbers as they come, and at their edges.
fn extreme() -> impl proptest::strategy::Strategy<Value = u64> {
    use proptest::prelude::*;
    prop_oneof![0u64..50, Just(u64::MAX), Just(1 << 32), Just((1 << 53) + 1), any::<u64>()]
}

/// Loss of 30% on all links, and then a site that is really lost: no other is taken for lost, and that one is.
#[test]
fn heavy_loss_makes_nobody_lost() {
    for seed in 0..3 {
        let mut f = Fleet::new(&[2; 3], 100 + seed);
        f.each_link(0.3);
        f.run(120 * S);
        assert!(f.log.is_empty(), "seed {seed}: {:?}", f.log);
        f.kill(1, true);
        f.run(129 * S);
        assert_eq!(all_see(&f, 1), SiteState::Lost, "seed {seed}");
        assert!(f.log.iter().all(|(_, _, c)| c.site == "s1"), "seed {seed}: {:?}", f.log);
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 48, failure_persistence: None, ..Default::default() })]
    /// Whatever a node is told, it goes on: it speaks, and its own numbers stay in reach of others.
    #[test]
    fn nothing_that_is_said_stops_a_node(
        sent in proptest::collection::vec((0usize..5, proptest::collection::vec(extreme(), 6..7), 0usize..3), 1..20),
    ) {
        let plan = fleet::plan(&[2; 3]);
        let number = |k: usize| plan.nodes().nth(k).unwrap().1.number;
        let mut at = SiteHealth::new(number(0), &plan, 1, 0).unwrap();
        let mut now = 0;
        for (from, v, site) in sent {
            let age = |k: usize| v[k] as u32;
            let site = plan.sites[site].number;
            let notified = SiteReport { site, heartbeat: v[0], heartbeat_age: age(1), direct: v[2], direct_age: age(3), echo_age: age(4) };
            let load = Some(Load { load_percent: 100, capacity: v[5], demand: vec![(1, v[5]), (1, v[0])] });
            let own = plan.site_of_node(number(from + 1)).unwrap().number;
            let message = Message { site: own, heartbeat: v[5], version: v[1], digest: 0, others: vec![notified, notified], load };
            let _ = at.receive(number(from + 1), &message, now);
            now += S / 3;
            at.tick(now);
            (0..3).for_each(|s| drop(at.load(&format!("s{s}"))));
            proptest::prop_assert!(at.take_outgoing().iter().all(|(_, w)| w.heartbeat <= (1 << 53) + 20));
        }
    }

    /// Whatever happens for a while, half a minute after it is over all see all as they are, without having swung.
    #[test]
    fn right_in_the_end(seed: u64, faults in proptest::collection::vec((0usize..5, 0usize..3, 0usize..3, 1i64..15), 1..6)) {
        let mut f = Fleet::new(&[2; 3], seed >> 8);
        f.run(8 * S);
        for (what, a, b, time) in &faults {
            let (a, b) = (*a, *b);
            match what {
                0 => f.each_link(0.3),
                1 => f.cut(a, 1.0),
                2 => f.loss[a][b] = 1.0,
                3 => f.kill(a, true),
                _ => (0..2).for_each(|k| f.readiness(2 * a + k, true)),
            }
            f.run(f.now + time * S);
            f.each_link(0.0);
            (0..3).for_each(|s| f.kill(s, false));
            (0..6).filter(|k| f.still[*k]).collect::<Vec<_>>().into_iter().for_each(|k| f.readiness(k, false));
        }
        f.run(f.now + 20 * S);
        for node in &mut f.nodes {
            let now = f.now;
            (0..3).for_each(|s| node.mark_recovered(&format!("s{s}"), now));
        }
        f.run(f.now + 12 * S);
        for k in 0..6 {
            proptest::prop_assert!(f.nodes[k].has_majority_contact(f.now) && !f.nodes[k].is_isolated());
            for s in 0..3 {
                proptest::prop_assert_eq!(f.nodes[k].state(&format!("s{s}")), Some(SiteState::Linked));
                // Each fault brings four changes at most: doubt, loss or cut, one the other, and back.
                proptest::prop_assert!(steps(&f, k, s).len() <= 4 * faults.len() + 3, "{:?}", f.log);
            }
        }
    }
}

#[test]
fn a_site_of_one_node_is_seen_right_by_one_of_many() {
    let mut f = Fleet::new(&[60, 1, 3], 21);
    f.each_link(0.1);
    f.run(20 * S);
    assert!(f.log.is_empty(), "{:?}", f.log);
    f.kill(1, true);
    f.run(29 * S);
    assert_eq!(all_see(&f, 1), SiteState::Lost);
    assert!(f.log.iter().all(|(_, _, c)| c.site == "s1" && c.to != SiteState::Alone), "{:?}", f.log);
}

#[test]
fn what_is_known_of_a_lost_sites_load_stays_and_its_returning_part_is_the_least() {
    let mut f = Fleet::new(&[2; 3], 22);
    let load = |load_percent: u8, units: u64| Load { load_percent, capacity: 50, demand: vec![(7, units)] };
    f.nodes[2].report(load(100, 10));
    f.run(5 * S);
    assert_eq!(f.nodes[0].load("s1"), Some(load(100, 20)), "as if the other node had as much");
    f.nodes[3].report(load(20, 30));
    f.run(10 * S);
    assert_eq!(f.nodes[0].load("s1"), Some(load(20, 40)));
    f.dead[3] = true;
    f.run(30 * S);
    assert_eq!(f.nodes[0].load("s1"), Some(load(100, 40)), "who is gone holds nobody up");
    f.kill(1, true);
    f.run(60 * S);
    assert_eq!((f.nodes[0].load("s1"), f.nodes[0].load("s2")), (Some(load(100, 40)), None));
}

#[test]
fn a_declared_loss_holds_until_a_newer_file_takes_it_back() {
    let mut f = Fleet::new(&[2; 3], 23);
    f.run(10 * S);
    let before = f.plan.clone();
    let mut after = SitesConfig { version: 2, ..before.clone() };
    after.lost.push(DeclaredLoss { site: "s1".into(), number: 4 });
    let now = f.now;
    f.nodes.iter_mut().for_each(|n| n.update_config(&after, now).unwrap());
    f.run(20 * S);
    assert_eq!(
        (f.nodes[0].state("s1"), f.nodes[2].state("s1")),
        (Some(SiteState::Lost), Some(SiteState::Linked))
    );
    assert!(
        f.log.iter().all(|(_, _, c)| c.reason == StateChangeReason::Declared(4))
            && f.nodes[0].all_nodes_use_config(),
        "{:?}",
        f.log
    );
    f.nodes
        .iter_mut()
        .for_each(|n| n.update_config(&SitesConfig { version: 3, ..before.clone() }, 20 * S).unwrap());
    f.run(25 * S);
    assert_eq!(f.nodes[0].state("s1"), Some(SiteState::Returning));
    let strangers = fleet::plan(&[1, 1]);
    assert!(
        f.nodes[5].update_config(&strangers, 25 * S).is_err()
            && f.nodes[5].state("s0") == Some(SiteState::Linked)
    );
}

/// One that goes by a newer file, or by another one of the same version, does not go by this one; both are told once.
#[rstest::rstest]
#[case::newer(3, 10_000_000)]
#[case::another(2, 12_000_000)]
fn nodes_go_by_a_file_only_where_all_have_that_one(#[case] version: u64, #[case] hold: i64) {
    let mut f = Fleet::new(&[2; 3], 29);
    f.run(10 * S);
    let now = f.now;
    let plan = SitesConfig { version: 2, hold: 10 * S, ..f.plan.clone() };
    let other = SitesConfig { version, hold, ..f.plan.clone() };
    f.nodes.iter_mut().take(5).for_each(|n| n.update_config(&plan, now).unwrap());
    f.nodes[5].update_config(&other, now).unwrap();
    f.run(20 * S);
    assert!((0..6).all(|k| !f.nodes[k].all_nodes_use_config()));
    let notified: Vec<_> =
        f.nodes[0].take_config_mismatches().into_iter().map(|d| (d.node, d.version, d.own)).collect();
    assert!(notified.last().is_some_and(|t| (t.1, t.2) == (version, 2)), "{notified:?}");
    f.run(25 * S);
    assert!(f.nodes[0].take_config_mismatches().is_empty());
    let now = f.now;
    let last = SitesConfig { version: 4, ..f.plan.clone() };
    f.nodes.iter_mut().for_each(|n| n.update_config(&last, now).unwrap());
    f.run(30 * S);
    assert!((0..6).all(|k| f.nodes[k].all_nodes_use_config()));
}
