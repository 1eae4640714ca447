//! Tests of the audit gossip: spread of changes, message rates, and detection of rolled back or forked logs.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_audit::audit_log::{ChainPoint, Digest};
use shorepath_audit::gossip::{AuditUpdate, Gossip, Intervals, Message, NodeReport};
use shorepath_audit::version::{ContentHash, Item, VersionVector};
use shorepath_audit::Micros;
use std::collections::BTreeMap;

const MS: Micros = 1_000;

/// Returns a vector with this version of the sites file.
fn vector(number: u64) -> VersionVector {
    let mut vector = VersionVector::default();
    vector.set(Item::Sites, ContentHash::of_number(number), Some(number));
    vector
}

/// Returns a log position whose digest repeats the byte `fill`.
fn point(number: u64, fill: u8) -> ChainPoint {
    ChainPoint { number, digest: Digest([fill; 32]) }
}

/// A fleet in virtual time; messages arrive after 20 ms, or are lost.
struct Network {
    nodes: Vec<Gossip>,
    now: Micros,
    in_flight: Vec<(Micros, u32, Message)>,
    /// Messages lost out of ten.
    lost_of_ten: u64,
    random: u64,
    messages: u64,
    bytes: usize,
}

impl Network {
    fn new(count: u32, lost_of_ten: u64) -> Network {
        let all: Vec<u32> = (0..count).collect();
        let seed = |n: u32| u64::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x1234_5678;
        let nodes = all.iter().map(|n| Gossip::new(*n, &all, Intervals::default(), seed(*n), 0)).collect();
        Network { nodes, now: 0, in_flight: Vec::new(), lost_of_ten, random: 7, messages: 0, bytes: 0 }
    }

    fn report(&mut self, node: u32, version: u64) {
        let (now, unix) = (self.now, self.now + 1_000_000_000);
        self.nodes[node as usize].report(&vector(version), u64::from(node), point(version, 1), unix, now);
    }

    fn step(&mut self) {
        self.now += 10 * MS;
        let now = self.now;
        let (arrived, in_flight) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now);
        self.in_flight = in_flight;
        let arrived: Vec<(Micros, u32, Message)> = arrived;
        for (_, to, message) in arrived {
            self.nodes[to as usize].receive(&message, now);
        }
        for node in &mut self.nodes {
            for (to, message) in node.take_outgoing(now) {
                self.messages += 1;
                self.bytes += postcard::to_stdvec(&message).unwrap().len();
                self.random = self
                    .random
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                if (self.random >> 33) % 10 >= self.lost_of_ten {
                    self.in_flight.push((now + 20 * MS, to, message));
                }
            }
        }
    }

    /// Returns how many nodes know that `node` has this version.
    fn nodes_aware(&self, node: u32, version: u64) -> usize {
        let content = vector(version).shared().content_hash();
        let is_aware =
            |n: &&Gossip| n.nodes().any(|(r, v, ..)| r.node == node && r.content == content && v.is_some());
        self.nodes.iter().filter(is_aware).count()
    }
}

/// Returns the times in ms until half, 99% and all of the nodes know a change, and the idle messages and bytes per node and second.
fn measure(count: u32, lost_of_ten: u64) -> ([Micros; 3], f64, f64) {
    let mut net = Network::new(count, lost_of_ten);
    (0..count).for_each(|n| net.report(n, 1));
    while (0..count).any(|of| net.nodes_aware(of, 1) < count as usize) {
        (0..50).for_each(|_| net.step());
        assert!(net.now < 600_000 * MS, "after ten minutes, some nodes lack a report");
    }
    // Runs until no change is left to forward.
    (0..2_000).for_each(|_| net.step());
    let (messages, bytes, start) = (net.messages, net.bytes, net.now);
    (0..1_000).for_each(|_| net.step());
    let node_seconds = (net.now - start) as f64 / 1e6 * f64::from(count);
    let idle = ((net.messages - messages) as f64 / node_seconds, (net.bytes - bytes) as f64 / node_seconds);
    let changed_at = net.now;
    net.report(3, 2);
    let mut reached = [0; 3];
    let thresholds = [count.div_ceil(2), (count * 99).div_ceil(100), count];
    while reached[2] == 0 {
        net.step();
        let aware = net.nodes_aware(3, 2) as u32;
        for (reached, threshold) in reached.iter_mut().zip(thresholds) {
            if *reached == 0 && aware >= threshold {
                *reached = (net.now - changed_at) / MS;
            }
        }
        assert!(
            net.now - changed_at < 60_000 * MS,
            "{aware} of {count} nodes know the change after a minute"
        );
    }
    (reached, idle.0, idle.1)
}

#[rstest]
#[case::five_nodes(5, 0)]
#[case::sixty_nodes(60, 0)]
#[case::sixty_nodes_with_loss(60, 3)]
fn change_spreads_within_seconds_at_a_low_idle_message_rate(#[case] count: u32, #[case] lost: u64) {
    let (reached, messages, bytes) = measure(count, lost);
    println!("{count} nodes, {lost} of 10 lost: {reached:?} ms, {messages:.2} messages, {bytes:.0} bytes");
    assert!(reached[1] <= 2_000 && reached[2] <= 10_000, "{reached:?}");
    assert!(messages <= 1.05 && bytes <= 1_200.0, "{messages} messages, {bytes} bytes");
}

/// Prints the spread times and idle message rates for several fleet sizes and loss rates.
///
/// Run with `cargo test --release -p shorepath-audit --test peers -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes: prints spread times and message rates"]
fn print_spread_table() {
    for (count, lost) in [(5, 0), (100, 0), (100, 3), (300, 0), (300, 3), (1_000, 0)] {
        let (reached, messages, bytes) = measure(count, lost);
        println!(
            "{count} nodes, {lost} of 10 lost: {reached:?} ms, {messages:.2} messages, {bytes:.0} bytes"
        );
    }
}

/// Returns the updates at node 1 after these reports of node 2.
fn updates_after(reports: &[NodeReport]) -> Vec<AuditUpdate> {
    let mut node = Gossip::new(1, &[1, 2], Intervals::default(), 5, 0);
    node.report(&vector(1), 9, point(1, 1), 0, 0);
    for (n, report) in reports.iter().enumerate() {
        node.receive(&Message { reports: vec![*report], ..Message::default() }, n as Micros);
    }
    node.take_updates()
}

fn report(at: Micros, log_id: u64, head: ChainPoint) -> NodeReport {
    NodeReport { node: 2, at, log_id, head, content: ContentHash::of_number(1) }
}

#[test]
fn forked_rolled_back_and_replaced_logs_are_detected() {
    let first = report(10, 4, point(7, 1));
    let changed = AuditUpdate::VersionsChanged { node: 2, content: first.content };
    assert_eq!(updates_after(&[first, report(11, 4, point(9, 1))]), std::slice::from_ref(&changed));
    let contradicts = AuditUpdate::LogForked { node: 2, number: 7 };
    assert_eq!(updates_after(&[first, report(11, 4, point(7, 2))]), [changed.clone(), contradicts.clone()]);
    // A fork is also found for an earlier entry, after the log had grown.
    let back = AuditUpdate::LogRolledBack { node: 2, previous: 9, current: 7 };
    let reports = [first, report(11, 4, point(9, 1)), report(12, 4, point(7, 2))];
    assert_eq!(updates_after(&reports), [changed.clone(), back, contradicts]);
    assert_eq!(
        updates_after(&[first, report(11, 5, point(1, 3))]),
        [changed.clone(), AuditUpdate::LogReplaced { node: 2 }]
    );
    // Older reports are ignored.
    assert_eq!(updates_after(&[first, report(9, 5, point(1, 3)), report(10, 6, point(1, 3))]), [changed]);
}

#[test]
fn node_with_a_rolled_back_log_is_informed_until_it_starts_a_new_log() {
    let mut node = Gossip::new(1, &[1, 2, 3], Intervals::default(), 5, 0);
    node.report(&vector(1), 9, point(1, 1), 0, 0);
    let receive = |node: &mut Gossip, report, now| {
        node.receive(&Message { reports: vec![report], ..Message::default() }, now);
        let outgoing =
            node.take_outgoing(now).into_iter().filter(|(to, m)| *to == 2 && !m.disputed.is_empty());
        outgoing.map(|(_, m)| m.disputed).collect::<Vec<_>>()
    };
    assert!(receive(&mut node, report(10, 4, point(7, 1)), 0).is_empty());
    assert_eq!(receive(&mut node, report(11, 4, point(5, 1)), 10), [[(4, point(7, 1))]]);
    // The log grows beyond the disputed entry, with another digest.
    assert_eq!(receive(&mut node, report(12, 4, point(7, 2)), 2_000_000), [[(4, point(7, 1))]]);
    assert_eq!(receive(&mut node, report(13, 4, point(9, 2)), 4_000_000), [[(4, point(7, 1))]]);
    assert!(receive(&mut node, report(14, 5, point(1, 2)), 6_000_000).is_empty());
    // A node that receives a disputed position asks its caller to check the log.
    let mut informed = Gossip::new(2, &[1, 2, 3], Intervals::default(), 5, 0);
    informed.receive(&Message { disputed: vec![(4, point(7, 1))], ..Message::default() }, 1);
    assert_eq!(informed.take_updates(), [AuditUpdate::OwnLogClaim { log_id: 4, point: point(7, 1) }]);
}

#[test]
fn reports_stay_newer_after_the_clock_went_backwards() {
    let mut node = Gossip::new(1, &[1, 2], Intervals::default(), 5, 0);
    node.report(&vector(1), 9, point(3, 1), 500, 0);
    let earlier =
        NodeReport { node: 1, at: 900, log_id: 9, head: point(8, 2), content: ContentHash::of_number(1) };
    node.receive(&Message { reports: vec![earlier], ..Message::default() }, 1);
    assert_eq!(node.take_updates(), [AuditUpdate::OwnLogClaim { log_id: 9, point: point(8, 2) }]);
    let own = node.nodes().next().unwrap().0;
    assert_eq!((own.at, own.head), (901, point(3, 1)));
    // Further reports continue from there.
    node.report(&vector(2), 9, point(4, 1), 501, 2);
    assert_eq!(node.nodes().next().unwrap().0.at, 902);
}

proptest! {
    /// For any messages, the newest report of each node of the fleet is known, no other reports are, and sizes stay bounded.
    #[test]
    fn newest_report_of_each_node_wins(messages in prop::collection::vec(prop::collection::vec((0_u32..8, 0_i64..50, 0_u64..3, 0_u64..40, 0_u64..5), 0..12), 0..60)) {
        let mut node = Gossip::new(0, &[0, 1, 2, 3, 4], Intervals::default(), 5, 0);
        let mut newest: BTreeMap<u32, i64> = BTreeMap::new();
        for (n, message) in messages.iter().enumerate() {
            let to_report = |(node, at, log_id, number, content): &(u32, i64, u64, u64, u64)| NodeReport {
                node: *node, at: *at, log_id: *log_id, head: point(*number, 1), content: ContentHash::of_number(*content),
            };
            let reports: Vec<NodeReport> = message.iter().map(to_report).collect();
            for report in reports.iter().take(10).filter(|r| (1..5).contains(&r.node)) {
                newest.entry(report.node).and_modify(|at| *at = report.at.max(*at)).or_insert(report.at);
            }
            let vectors = (0..4).map(|k| vector(n as u64 * 4 + k)).collect();
            node.receive(&Message { reports, vectors, ..Message::default() }, n as Micros);
            prop_assert!(node.take_outgoing(n as Micros * 100_000).iter().all(|(to, m)| *to != 0 && m.reports.len() <= 10 && m.vectors.len() <= 2));
        }
        let known: BTreeMap<u32, i64> = node.nodes().map(|(r, ..)| (r.node, r.at)).collect();
        prop_assert_eq!(known, newest);
        for n in 1..5 {
            prop_assert!(node.points(n).is_none_or(|(_, points)| points.len() <= 64));
        }
    }
}
