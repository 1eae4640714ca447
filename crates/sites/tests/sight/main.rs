//! Failure detection between sites in virtual time: correct states within bounded time and without flapping.

mod figures;
mod fleet;
mod leases;

use fleet::{Fleet, S};
use shorepath_sites::config::{DeclaredLoss, SitesConfig};
use shorepath_sites::health::{Load, Message, ReceiveError, SiteHealth, SiteReport, StateChangeReason};
use shorepath_sites::SiteState;

/// Returns the state of a site at all running nodes of other sites; panics if they differ.
fn agreed_state(fleet: &Fleet, site: usize) -> SiteState {
    let states: Vec<SiteState> = (0..fleet.nodes.len())
        .filter(|k| fleet.site[*k] != site && !fleet.dead[*k])
        .map(|k| fleet.nodes[k].state(&format!("s{site}")).unwrap())
        .collect();
    assert!(states.iter().all(|s| *s == states[0]), "the states differ: {states:?}");
    states[0]
}

/// Returns the states that a node has changed a site to, in order.
fn changes_to(fleet: &Fleet, node: usize, site: usize) -> Vec<SiteState> {
    let name = format!("s{site}");
    fleet.log.iter().filter(|(_, k, c)| *k == node && c.site == name).map(|(_, _, c)| c.to).collect()
}

#[test]
fn a_lost_site_returns_without_extra_state_changes() {
    let mut fleet = Fleet::new(&[2; 3], 1);
    fleet.run(20 * S);
    assert!(fleet.log.is_empty(), "{:?}", fleet.log);
    fleet.set_dead(2, true);
    fleet.run(27 * S);
    assert_eq!(agreed_state(&fleet, 2), SiteState::Lost);
    assert!(fleet.nodes[0].has_majority_contact(fleet.now) && !fleet.nodes[0].is_isolated());
    assert!(fleet.nodes[0].all_nodes_use_config());
    fleet.set_dead(2, false);
    fleet.run(32 * S);
    assert_eq!(agreed_state(&fleet, 2), SiteState::Returning);
    for node in &mut fleet.nodes {
        node.mark_recovered("s2", 32 * S);
    }
    fleet.run(50 * S);
    assert_eq!(agreed_state(&fleet, 2), SiteState::Linked);
    let expected_changes = [
        SiteState::Doubtful,
        SiteState::Lost,
        SiteState::Returning,
        SiteState::WholeAgain,
        SiteState::Linked,
    ];
    (0..4).for_each(|k| assert_eq!(changes_to(&fleet, k, 2), expected_changes, "node {k}"));
}

#[test]
fn a_broken_link_between_two_sites_is_not_a_loss() {
    let mut fleet = Fleet::new(&[2; 3], 2);
    fleet.run(10 * S);
    (fleet.loss[0][1], fleet.loss[1][0]) = (1.0, 1.0);
    fleet.run(25 * S);
    assert_eq!(fleet.nodes[0].state("s1"), Some(SiteState::Alone));
    assert_eq!(fleet.nodes[2].state("s0"), Some(SiteState::Alone));
    assert_eq!(fleet.nodes[4].state("s0"), Some(SiteState::Linked));
    assert!(fleet.nodes[0].has_majority_contact(fleet.now));
}

#[test]
fn a_one_way_link_is_detected_at_both_ends() {
    let mut fleet = Fleet::new(&[2; 3], 3);
    fleet.run(10 * S);
    fleet.loss[0][1] = 1.0;
    fleet.run(29 * S / 2);
    assert_eq!(fleet.nodes[0].state("s1"), Some(SiteState::Doubtful));
    fleet.run(25 * S);
    assert_eq!(
        (fleet.nodes[0].state("s1"), fleet.nodes[2].state("s0")),
        (Some(SiteState::Alone), Some(SiteState::Alone))
    );
}

#[test]
fn an_unreachable_site_is_isolated_and_has_no_majority_contact() {
    let mut fleet = Fleet::new(&[2; 3], 4);
    fleet.run(10 * S);
    fleet.set_site_loss(0, 1.0);
    fleet.run(14 * S);
    assert!(!fleet.nodes[0].has_majority_contact(fleet.now));
    fleet.run(20 * S);
    assert!(fleet.nodes[0].is_isolated() && !fleet.nodes[2].is_isolated());
    assert_eq!(fleet.nodes[2].state("s0"), Some(SiteState::Lost));
    fleet.set_site_loss(0, 0.0);
    fleet.run(25 * S);
    assert!(!fleet.nodes[0].is_isolated() && fleet.nodes[0].has_majority_contact(fleet.now));
}

#[test]
fn two_sites_that_consider_each_other_lost_both_return() {
    let mut fleet = Fleet::new(&[1; 2], 5);
    fleet.run(10 * S);
    fleet.set_site_loss(0, 1.0);
    fleet.run(20 * S);
    assert_eq!((agreed_state(&fleet, 0), agreed_state(&fleet, 1)), (SiteState::Lost, SiteState::Lost));
    assert!(fleet.nodes.iter().all(|n| n.is_isolated() && !n.has_majority_contact(fleet.now)));
    fleet.set_site_loss(0, 0.0);
    fleet.run(25 * S);
    assert_eq!(
        (agreed_state(&fleet, 0), agreed_state(&fleet, 1)),
        (SiteState::Returning, SiteState::Returning)
    );
}

#[test]
fn a_slow_link_is_doubtful_and_never_lost() {
    let mut fleet = Fleet::new(&[2; 3], 6);
    fleet.run(10 * S);
    (fleet.delay[0][1], fleet.delay[1][0]) = (2 * S, 2 * S);
    fleet.run(60 * S);
    assert_eq!(
        (fleet.nodes[0].state("s1"), fleet.nodes[2].state("s0")),
        (Some(SiteState::Doubtful), Some(SiteState::Doubtful))
    );
    assert!(fleet.log.iter().all(|(_, _, c)| c.to == SiteState::Doubtful), "{:?}", fleet.log);
}

#[test]
fn a_resumed_node_waits_before_it_considers_others_lost() {
    let mut fleet = Fleet::new(&[2; 3], 7);
    fleet.run(10 * S);
    (0..2).for_each(|k| fleet.set_suspended(k, true));
    fleet.run(40 * S);
    assert_eq!(fleet.nodes[2].state("s0"), Some(SiteState::Lost));
    (0..2).for_each(|k| fleet.set_suspended(k, false));
    // Buffered messages don't count as contact.
    assert!(!fleet.nodes[0].has_majority_contact(fleet.now));
    fleet.run(60 * S);
    assert!(fleet.nodes[0].has_majority_contact(fleet.now));
    (0..2).for_each(|k| {
        assert!(
            changes_to(&fleet, k, 1).iter().all(|s| *s != SiteState::Lost && *s != SiteState::Alone),
            "{:?}",
            fleet.log
        )
    });
}

#[test]
fn messages_are_validated_compact_and_forward_compatible() {
    let config = fleet::config(&[1; 20]);
    let number = |k: usize| config.nodes().nth(k).unwrap().1.number;
    let mut at = SiteHealth::new(number(0), &config, 1, 0).unwrap();
    let report = |site| SiteReport {
        site,
        heartbeat: 999_999_999,
        heartbeat_age: 99_999,
        direct: 999_999_999,
        direct_age: 99_999,
        echo_age: 99_999,
    };
    let others = config.sites.iter().skip(1).map(|s| report(s.number)).collect();
    let demand = (0..6).map(|k| (u32::MAX - 9 + k, 1_000_000)).collect();
    let load = Some(Load { load_percent: 100, capacity: 1_000_000_000, demand });
    let message = Message {
        site: config.sites[1].number,
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
    let wrong_site = ReceiveError::WrongSite { node: number(2), site: message.site };
    assert_eq!(at.receive(number(2), &message, 1), Err(wrong_site));
    at.receive(number(1), &message, 1).unwrap();
    assert_eq!(at.load("s1"), message.load);
    let distant = Message { heartbeat: message.heartbeat + (1 << 33), ..message };
    assert_eq!(
        at.receive(number(1), &distant, 2),
        Err(ReceiveError::ImplausibleHeartbeat(distant.heartbeat))
    );
}

/// Generates small numbers and boundary values.
fn extreme() -> impl proptest::strategy::Strategy<Value = u64> {
    use proptest::prelude::*;
    prop_oneof![0u64..50, Just(u64::MAX), Just(1 << 32), Just((1 << 53) + 1), any::<u64>()]
}

/// Guards against false losses at 30% packet loss on all links, before and after a real loss.
#[test]
fn heavy_packet_loss_causes_no_false_loss() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(&[2; 3], 100 + seed);
        fleet.set_loss(0.3);
        fleet.run(120 * S);
        assert!(fleet.log.is_empty(), "seed {seed}: {:?}", fleet.log);
        fleet.set_dead(1, true);
        fleet.run(129 * S);
        assert_eq!(agreed_state(&fleet, 1), SiteState::Lost, "seed {seed}");
        assert!(fleet.log.iter().all(|(_, _, c)| c.site == "s1"), "seed {seed}: {:?}", fleet.log);
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 48, failure_persistence: None, ..Default::default() })]
    /// Guards against messages with extreme values that stop a node or raise its heartbeat beyond the valid range.
    #[test]
    fn extreme_messages_do_not_stop_a_node(
        sent in proptest::collection::vec((0usize..5, proptest::collection::vec(extreme(), 6..7), 0usize..3), 1..20),
    ) {
        let config = fleet::config(&[2; 3]);
        let number = |k: usize| config.nodes().nth(k).unwrap().1.number;
        let mut at = SiteHealth::new(number(0), &config, 1, 0).unwrap();
        let mut now = 0;
        for (from, v, site) in sent {
            let age = |k: usize| v[k] as u32;
            let site = config.sites[site].number;
            let report = SiteReport { site, heartbeat: v[0], heartbeat_age: age(1), direct: v[2], direct_age: age(3), echo_age: age(4) };
            let load = Some(Load { load_percent: 100, capacity: v[5], demand: vec![(1, v[5]), (1, v[0])] });
            let own = config.site_of_node(number(from + 1)).unwrap().number;
            let message = Message { site: own, heartbeat: v[5], version: v[1], digest: 0, others: vec![report, report], load };
            let _ = at.receive(number(from + 1), &message, now);
            now += S / 3;
            at.tick(now);
            (0..3).for_each(|s| drop(at.load(&format!("s{s}"))));
            proptest::prop_assert!(at.take_outgoing().iter().all(|(_, w)| w.heartbeat <= (1 << 53) + 20));
        }
    }

    /// Guards against wrong states 32 seconds after the last of several faults, and against flapping.
    #[test]
    fn all_sites_are_linked_again_after_faults(seed: u64, faults in proptest::collection::vec((0usize..5, 0usize..3, 0usize..3, 1i64..15), 1..6)) {
        let mut fleet = Fleet::new(&[2; 3], seed >> 8);
        fleet.run(8 * S);
        for (what, a, b, time) in &faults {
            let (a, b) = (*a, *b);
            match what {
                0 => fleet.set_loss(0.3),
                1 => fleet.set_site_loss(a, 1.0),
                2 => fleet.loss[a][b] = 1.0,
                3 => fleet.set_dead(a, true),
                _ => (0..2).for_each(|k| fleet.set_suspended(2 * a + k, true)),
            }
            fleet.run(fleet.now + time * S);
            fleet.set_loss(0.0);
            (0..3).for_each(|s| fleet.set_dead(s, false));
            (0..6).filter(|k| fleet.suspended[*k]).collect::<Vec<_>>().into_iter().for_each(|k| fleet.set_suspended(k, false));
        }
        fleet.run(fleet.now + 20 * S);
        for node in &mut fleet.nodes {
            let now = fleet.now;
            (0..3).for_each(|s| node.mark_recovered(&format!("s{s}"), now));
        }
        fleet.run(fleet.now + 12 * S);
        for k in 0..6 {
            proptest::prop_assert!(fleet.nodes[k].has_majority_contact(fleet.now) && !fleet.nodes[k].is_isolated());
            for s in 0..3 {
                proptest::prop_assert_eq!(fleet.nodes[k].state(&format!("s{s}")), Some(SiteState::Linked));
                // Each fault causes four changes at most: doubtful, lost or unreachable, the other of these, and
                // returning.
                proptest::prop_assert!(changes_to(&fleet, k, s).len() <= 4 * faults.len() + 3, "{:?}", fleet.log);
            }
        }
    }
}

#[test]
fn sites_of_very_different_sizes_agree_on_a_loss() {
    let mut fleet = Fleet::new(&[60, 1, 3], 21);
    fleet.set_loss(0.1);
    fleet.run(20 * S);
    assert!(fleet.log.is_empty(), "{:?}", fleet.log);
    fleet.set_dead(1, true);
    fleet.run(29 * S);
    assert_eq!(agreed_state(&fleet, 1), SiteState::Lost);
    assert!(fleet.log.iter().all(|(_, _, c)| c.site == "s1" && c.to != SiteState::Alone), "{:?}", fleet.log);
}

#[test]
fn load_reports_outlive_a_loss_and_the_smallest_load_percent_counts() {
    let mut fleet = Fleet::new(&[2; 3], 22);
    let load = |load_percent: u8, units: u64| Load { load_percent, capacity: 50, demand: vec![(7, units)] };
    fleet.nodes[2].report(load(100, 10));
    fleet.run(5 * S);
    assert_eq!(fleet.nodes[0].load("s1"), Some(load(100, 20)), "the other node counts with the same demand");
    fleet.nodes[3].report(load(20, 30));
    fleet.run(10 * S);
    assert_eq!(fleet.nodes[0].load("s1"), Some(load(20, 40)));
    fleet.dead[3] = true;
    fleet.run(30 * S);
    assert_eq!(fleet.nodes[0].load("s1"), Some(load(100, 40)), "an old report does not delay the return");
    fleet.set_dead(1, true);
    fleet.run(60 * S);
    assert_eq!((fleet.nodes[0].load("s1"), fleet.nodes[0].load("s2")), (Some(load(100, 40)), None));
}

#[test]
fn a_declared_loss_lasts_until_a_newer_configuration_withdraws_it() {
    let mut fleet = Fleet::new(&[2; 3], 23);
    fleet.run(10 * S);
    let before = fleet.config.clone();
    let mut after = SitesConfig { version: 2, ..before.clone() };
    after.lost.push(DeclaredLoss { site: "s1".into(), number: 4 });
    let now = fleet.now;
    fleet.nodes.iter_mut().for_each(|n| n.update_config(&after, now).unwrap());
    fleet.run(20 * S);
    assert_eq!(
        (fleet.nodes[0].state("s1"), fleet.nodes[2].state("s1")),
        (Some(SiteState::Lost), Some(SiteState::Linked))
    );
    assert!(
        fleet.log.iter().all(|(_, _, c)| c.reason == StateChangeReason::Declared(4))
            && fleet.nodes[0].all_nodes_use_config(),
        "{:?}",
        fleet.log
    );
    fleet
        .nodes
        .iter_mut()
        .for_each(|n| n.update_config(&SitesConfig { version: 3, ..before.clone() }, 20 * S).unwrap());
    fleet.run(25 * S);
    assert_eq!(fleet.nodes[0].state("s1"), Some(SiteState::Returning));
    let unrelated = fleet::config(&[1, 1]);
    assert!(
        fleet.nodes[5].update_config(&unrelated, 25 * S).is_err()
            && fleet.nodes[5].state("s0") == Some(SiteState::Linked)
    );
}

/// Guards against a fleet that counts as settled while a node uses another configuration, and against repeated reports.
#[rstest::rstest]
#[case::newer_version(3, 10_000_000)]
#[case::same_version(2, 12_000_000)]
fn a_configuration_is_settled_only_when_all_nodes_use_it(#[case] version: u64, #[case] hold: i64) {
    let mut fleet = Fleet::new(&[2; 3], 29);
    fleet.run(10 * S);
    let now = fleet.now;
    let config = SitesConfig { version: 2, hold: 10 * S, ..fleet.config.clone() };
    let other = SitesConfig { version, hold, ..fleet.config.clone() };
    fleet.nodes.iter_mut().take(5).for_each(|n| n.update_config(&config, now).unwrap());
    fleet.nodes[5].update_config(&other, now).unwrap();
    fleet.run(20 * S);
    assert!((0..6).all(|k| !fleet.nodes[k].all_nodes_use_config()));
    let mismatches: Vec<_> =
        fleet.nodes[0].take_config_mismatches().into_iter().map(|d| (d.node, d.version, d.own)).collect();
    assert!(mismatches.last().is_some_and(|m| (m.1, m.2) == (version, 2)), "{mismatches:?}");
    fleet.run(25 * S);
    assert!(fleet.nodes[0].take_config_mismatches().is_empty());
    let now = fleet.now;
    let last = SitesConfig { version: 4, ..fleet.config.clone() };
    fleet.nodes.iter_mut().for_each(|n| n.update_config(&last, now).unwrap());
    fleet.run(30 * S);
    assert!((0..6).all(|k| fleet.nodes[k].all_nodes_use_config()));
}
