//! What nodes tell each other: how soon a change is known everywhere, what that costs in words, and what is said of a record that contradicts
//! itself.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_audit::audit_log::{ChainPoint, Digest};
use shorepath_audit::gossip::{AuditUpdate, Gossip, Intervals, Message, NodeReport};
use shorepath_audit::version::{ContentHash, Item, VersionVector};
use shorepath_audit::Micros;
use std::collections::BTreeMap;

const MS: Micros = 1_000;

fn vector(number: u64) -> VersionVector {
    let mut vector = VersionVector::default();
    vector.set(Item::Sites, ContentHash::of_number(number), Some(number));
    vector
}

fn point(number: u64, of: u8) -> ChainPoint {
    ChainPoint { number, digest: Digest([of; 32]) }
}

/// A fleet in virtual time; words take 20 ms, or are lost.
struct Net {
    nodes: Vec<Gossip>,
    now: Micros,
    flying: Vec<(Micros, u32, Message)>,
    lost_of_ten: u64,
    chance: u64,
    messages: u64,
    bytes: usize,
}

impl Net {
    fn new(count: u32, lost_of_ten: u64) -> Net {
        let all: Vec<u32> = (0..count).collect();
        let chance = |n: u32| u64::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x1234_5678;
        let nodes = all.iter().map(|n| Gossip::new(*n, &all, Intervals::default(), chance(*n), 0)).collect();
        Net { nodes, now: 0, flying: Vec::new(), lost_of_ten, chance: 7, messages: 0, bytes: 0 }
    }

    fn report(&mut self, node: u32, version: u64) {
        let (now, unix) = (self.now, self.now + 1_000_000_000);
        self.nodes[node as usize].report(&vector(version), u64::from(node), point(version, 1), unix, now);
    }

    fn step(&mut self) {
        self.now += 10 * MS;
        let now = self.now;
        let (come, flying) = std::mem::take(&mut self.flying).into_iter().partition(|(at, ..)| *at <= now);
        self.flying = flying;
        let come: Vec<(Micros, u32, Message)> = come;
        for (_, to, message) in come {
            self.nodes[to as usize].receive(&message, now);
        }
        for node in &mut self.nodes {
            for (to, message) in node.take_outgoing(now) {
                self.messages += 1;
                self.bytes += postcard::to_stdvec(&message).unwrap().len();
                self.chance = self
                    .chance
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                if (self.chance >> 33) % 10 >= self.lost_of_ten {
                    self.flying.push((now + 20 * MS, to, message));
                }
            }
        }
    }

    /// How many know that `of` stands at that version.
    fn knowing(&self, of: u32, version: u64) -> usize {
        let content = vector(version).shared().content_hash();
        let knows =
            |n: &&Gossip| n.nodes().any(|(s, v, ..)| s.node == of && s.content == content && v.is_some());
        self.nodes.iter().filter(knows).count()
    }
}

/// Until half, 99 in 100 and all know one node's change, in ms; words and bytes a node and second when idle.
fn measured(count: u32, lost_of_ten: u64) -> ([Micros; 3], f64, f64) {
    let mut net = Net::new(count, lost_of_ten);
    (0..count).for_each(|n| net.report(n, 1));
    while (0..count).any(|of| net.knowing(of, 1) < count as usize) {
        (0..50).for_each(|_| net.step());
        assert!(net.now < 600_000 * MS, "not all know all after ten minutes");
    }
    // Until nothing is hot any more.
    (0..2_000).for_each(|_| net.step());
    let (messages, bytes, since) = (net.messages, net.bytes, net.now);
    (0..1_000).for_each(|_| net.step());
    let span = (net.now - since) as f64 / 1e6 * f64::from(count);
    let idle = ((net.messages - messages) as f64 / span, (net.bytes - bytes) as f64 / span);
    let begun = net.now;
    net.report(3, 2);
    let mut reached = [0; 3];
    let wanted = [count.div_ceil(2), (count * 99).div_ceil(100), count];
    while reached[2] == 0 {
        net.step();
        let know = net.knowing(3, 2) as u32;
        for (reached, wanted) in reached.iter_mut().zip(wanted) {
            if *reached == 0 && know >= wanted {
                *reached = (net.now - begun) / MS;
            }
        }
        assert!(net.now - begun < 60_000 * MS, "{know} of {count} know after a minute");
    }
    (reached, idle.0, idle.1)
}

#[rstest]
#[case::few(5, 0)]
#[case::many(60, 0)]
#[case::lossy(60, 3)]
fn a_change_is_known_everywhere_within_seconds_and_idle_words_are_few(#[case] count: u32, #[case] lost: u64) {
    let (reached, messages, bytes) = measured(count, lost);
    println!("{count} nodes, {lost} of 10 lost: {reached:?} ms, {messages:.2} words, {bytes:.0} bytes");
    assert!(reached[1] <= 2_000 && reached[2] <= 10_000, "{reached:?}");
    assert!(messages <= 1.05 && bytes <= 1_200.0, "{messages} words, {bytes} bytes");
}

/// `cargo test --release -p shorepath-audit --test peers -- --ignored --nocapture`
#[test]
#[ignore = "minutes: for the table in the design note"]
fn table() {
    for (count, lost) in [(5, 0), (100, 0), (100, 3), (300, 0), (300, 3), (1_000, 0)] {
        let (reached, messages, bytes) = measured(count, lost);
        println!("{count} nodes, {lost} of 10 lost: {reached:?} ms, {messages:.2} words, {bytes:.0} bytes");
    }
}

/// What node 2 says of itself, heard by node 1.
fn received(reports: &[NodeReport]) -> Vec<AuditUpdate> {
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
fn a_record_that_contradicts_itself_goes_back_or_begins_anew_is_named() {
    let first = report(10, 4, point(7, 1));
    let changed = AuditUpdate::VersionsChanged { node: 2, content: first.content };
    assert_eq!(received(&[first, report(11, 4, point(9, 1))]), std::slice::from_ref(&changed));
    let contradicts = AuditUpdate::LogForked { node: 2, number: 7 };
    assert_eq!(received(&[first, report(11, 4, point(7, 2))]), [changed.clone(), contradicts.clone()]);
    // Also where it has gone on in the meantime, and tells of an earlier entry again.
    let back = AuditUpdate::LogRolledBack { node: 2, previous: 9, current: 7 };
    let reports = [first, report(11, 4, point(9, 1)), report(12, 4, point(7, 2))];
    assert_eq!(received(&reports), [changed.clone(), back, contradicts]);
    assert_eq!(
        received(&[first, report(11, 5, point(1, 3))]),
        [changed.clone(), AuditUpdate::LogReplaced { node: 2 }]
    );
    // What is older says nothing, whoever tells it.
    assert_eq!(received(&[first, report(9, 5, point(1, 3)), report(10, 6, point(1, 3))]), [changed]);
}

/// Whoever heard the other report tells it so, until it begins another record.
#[test]
fn a_record_that_went_back_is_told_so_until_another_begins() {
    let mut node = Gossip::new(1, &[1, 2, 3], Intervals::default(), 5, 0);
    node.report(&vector(1), 9, point(1, 1), 0, 0);
    let receive = |node: &mut Gossip, report, now| {
        node.receive(&Message { reports: vec![report], ..Message::default() }, now);
        let events = node.take_outgoing(now).into_iter().filter(|(to, w)| *to == 2 && !w.disputed.is_empty());
        events.map(|(_, w)| w.disputed).collect::<Vec<_>>()
    };
    assert!(receive(&mut node, report(10, 4, point(7, 1)), 0).is_empty());
    assert_eq!(receive(&mut node, report(11, 4, point(5, 1)), 10), [[(4, point(7, 1))]]);
    // It goes on past that, and tells the number otherwise.
    assert_eq!(receive(&mut node, report(12, 4, point(7, 2)), 2_000_000), [[(4, point(7, 1))]]);
    assert_eq!(receive(&mut node, report(13, 4, point(9, 2)), 4_000_000), [[(4, point(7, 1))]]);
    assert!(receive(&mut node, report(14, 5, point(1, 2)), 6_000_000).is_empty());
    // The one that is told so looks it up.
    let mut notified = Gossip::new(2, &[1, 2, 3], Intervals::default(), 5, 0);
    notified.receive(&Message { disputed: vec![(4, point(7, 1))], ..Message::default() }, 1);
    assert_eq!(notified.take_updates(), [AuditUpdate::OwnLogClaim { log_id: 4, point: point(7, 1) }]);
}

#[test]
fn a_node_whose_clock_went_back_is_heard_again_and_learns_what_others_know_of_its_record() {
    let mut node = Gossip::new(1, &[1, 2], Intervals::default(), 5, 0);
    node.report(&vector(1), 9, point(3, 1), 500, 0);
    let before =
        NodeReport { node: 1, at: 900, log_id: 9, head: point(8, 2), content: ContentHash::of_number(1) };
    node.receive(&Message { reports: vec![before], ..Message::default() }, 1);
    assert_eq!(node.take_updates(), [AuditUpdate::OwnLogClaim { log_id: 9, point: point(8, 2) }]);
    let own = node.nodes().next().unwrap().0;
    assert_eq!((own.at, own.head), (901, point(3, 1)));
    // And so are its further reports.
    node.report(&vector(2), 9, point(4, 1), 501, 2);
    assert_eq!(node.nodes().next().unwrap().0.at, 902);
}

proptest! {
    /// Whatever comes, in whatever order and however often: the newest report of each node of the fleet is known, of nobody else any, and nothing grows.
    #[test]
    fn the_newest_story_of_each_wins(messages in prop::collection::vec(prop::collection::vec((0_u32..8, 0_i64..50, 0_u64..3, 0_u64..40, 0_u64..5), 0..12), 0..60)) {
        let mut node = Gossip::new(0, &[0, 1, 2, 3, 4], Intervals::default(), 5, 0);
        let mut newest: BTreeMap<u32, i64> = BTreeMap::new();
        for (n, message) in messages.iter().enumerate() {
            let of = |(node, at, log_id, number, content): &(u32, i64, u64, u64, u64)| NodeReport {
                node: *node, at: *at, log_id: *log_id, head: point(*number, 1), content: ContentHash::of_number(*content),
            };
            let reports: Vec<NodeReport> = message.iter().map(of).collect();
            for report in reports.iter().take(10).filter(|s| (1..5).contains(&s.node)) {
                newest.entry(report.node).and_modify(|at| *at = report.at.max(*at)).or_insert(report.at);
            }
            let vectors = (0..4).map(|k| vector(n as u64 * 4 + k)).collect();
            node.receive(&Message { reports, vectors, ..Message::default() }, n as Micros);
            prop_assert!(node.take_outgoing(n as Micros * 100_000).iter().all(|(to, w)| *to != 0 && w.reports.len() <= 10 && w.vectors.len() <= 2));
        }
        let known: BTreeMap<u32, i64> = node.nodes().map(|(s, ..)| (s.node, s.at)).collect();
        prop_assert_eq!(known, newest);
        for n in 1..5 {
            prop_assert!(node.points(n).is_none_or(|(_, points)| points.len() <= 64));
        }
    }
}
