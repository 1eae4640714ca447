//! Versions, the record and the meter: what is written is found again, what was touched is named, and nothing grows.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_audit::audit_log::{decode, encode, verify, Entry, Point, Record, RecordError, Timed, Why};
use shorepath_audit::decision_counters::{Meter, Sampling};
use shorepath_audit::version::{BackError, Content, Item, Lag, Vector};
use std::collections::BTreeMap;

fn took(n: u64) -> Timed {
    let mut vector = Vector::default();
    let taken = vector.take(Item::Sites, Content::of(&n.to_be_bytes()), Some(n)).unwrap().unwrap();
    Timed { at: n as i64, entry: Entry::Took { taken, why: Why::Operator } }
}

/// A record of so many entries as it lies on a disk.
fn written(n: u64) -> (Point, Vec<Vec<u8>>, Point) {
    let base = Point::origin("n0", 7);
    let mut record = Record::open(base, &[], 1 << 20).unwrap();
    for n in 1..=n {
        record.note(&took(n)).unwrap();
    }
    let writing = record.write().unwrap();
    assert_eq!((writing.first, writing.drop), (1, None));
    (base, writing.entries, writing.head)
}

fn numbered(entries: &[Vec<u8>], after: u64) -> impl Iterator<Item = (u64, &[u8])> {
    entries.iter().enumerate().map(move |(i, e)| (after + 1 + i as u64, e.as_slice()))
}

#[test]
fn a_flip_of_any_byte_is_found_and_its_entry_is_named() {
    let (base, entries, head) = written(12);
    assert_eq!(verify(base, numbered(&entries, 0), head, &BTreeMap::new()), Ok(()));
    for entry in 0..entries.len() {
        for byte in 0..entries[entry].len() {
            let mut changed = entries.clone();
            changed[entry][byte] ^= 1 << (byte % 8);
            let number = entry as u64 + 1;
            assert_eq!(
                verify(base, numbered(&changed, 0), head, &BTreeMap::new()),
                Err(RecordError::Changed { number }),
                "byte {byte} of entry {number}"
            );
        }
    }
}

#[test]
fn entries_left_out_are_named_and_a_chain_made_anew_is_not_what_peers_heard() {
    let (base, entries, head) = written(9);
    for out in 0..entries.len() {
        let left = numbered(&entries, 0).filter(|(n, _)| *n != out as u64 + 1);
        let number = out as u64 + 1;
        assert_eq!(verify(base, left, head, &BTreeMap::new()), Err(RecordError::Missing { number }));
    }
    // Who has the disk can write a whole other story. Peers heard a point of the true one.
    let mut other = Record::open(base, &[], 1 << 20).unwrap();
    for n in [1, 2, 3, 40, 50, 60, 70, 80, 90] {
        other.note(&took(n)).unwrap();
    }
    let forged = other.write().unwrap();
    assert_eq!(verify(base, numbered(&forged.entries, 0), forged.head, &BTreeMap::new()), Ok(()));
    let known = BTreeMap::from([(3, digest(&entries, base, 3)), (6, digest(&entries, base, 6))]);
    assert_eq!(
        verify(base, numbered(&forged.entries, 0), forged.head, &known),
        Err(RecordError::Changed { number: 6 })
    );
    assert_eq!(verify(base, numbered(&entries, 0), head, &known), Ok(()));
}

fn digest(entries: &[Vec<u8>], base: Point, number: usize) -> shorepath_audit::audit_log::Digest {
    entries[..number].iter().fold(base, |at, kept| at.follow(&kept[32..])).digest
}

#[test]
fn old_segments_give_way_and_what_is_left_can_be_verified_and_written_on() {
    let base = Point::origin("n0", 7);
    let mut record = Record::open(base, &[], 0).unwrap();
    let (mut disk, mut kept_base): (BTreeMap<u64, Vec<u8>>, Point) = (BTreeMap::new(), base);
    let mut most = 0;
    for n in 1..=20_000 {
        record.note(&took(n)).unwrap();
        if n % 7 == 0 {
            let writing = record.write().unwrap();
            disk.extend((writing.first..).zip(writing.entries));
            if let Some(drop) = writing.drop {
                disk = disk.split_off(&(drop.number + 1));
                kept_base = drop;
            }
            let entries = disk.iter().map(|(n, e)| (*n, e.as_slice()));
            if n % 70 == 0 {
                assert_eq!(verify(kept_base, entries, writing.head, &BTreeMap::new()), Ok(()), "at {n}");
            }
            most = most.max(disk.values().map(Vec::len).sum::<usize>());
        }
    }
    assert!(kept_base.number > 19_000 && most <= 8 * 4_096 + 7 * 200, "{kept_base:?}, {most} bytes");
    // A process that begins anew goes on from what is there.
    let entries: Vec<Vec<u8>> = disk.into_values().collect();
    let again = Record::open(kept_base, &entries, 0).unwrap();
    assert_eq!(again.head().number, kept_base.number + entries.len() as u64);
}

#[test]
fn a_version_that_goes_back_or_has_two_contents_is_not_taken_and_says_so() {
    let mut vector = Vector::default();
    let (a, b) = (Content::of(b"a"), Content::of(b"b"));
    let first = vector.take(Item::Sites, a, Some(4)).unwrap().unwrap();
    assert_eq!((first.from, first.to.number, first.to.parent), (None, 4, Content::default()));
    assert_eq!(vector.take(Item::Sites, a, Some(4)), Ok(None));
    assert_eq!(vector.take(Item::Sites, b, Some(4)), Err(BackError::Two(4)));
    assert_eq!(vector.take(Item::Sites, b, Some(3)), Err(BackError::Older { held: 4, offered: 3 }));
    let second = vector.take(Item::Sites, b, Some(9)).unwrap().unwrap();
    assert_eq!((second.from.unwrap().number, second.to.parent), (4, a));
    // A process that begins with an older one says so.
    let back = vector.put(Item::Sites, a, Some(4)).unwrap();
    assert_eq!((back.from.unwrap().number, back.to.number, back.to.parent), (9, 4, b));
    assert_eq!(vector.put(Item::Sites, a, Some(4)), None);
    // What has no number of its own is counted; its return to an old content is another change.
    for (content, number) in [(a, 1), (b, 2), (a, 3)] {
        let taken = vector.take(Item::Settings, content, None).unwrap().unwrap();
        assert_eq!(taken.to.number, number);
    }
    assert_eq!(vector.take(Item::Settings, a, None), Ok(None));
}

#[rstest]
#[case::same(Some(b"b".as_slice()), 5, Lag::Same)]
#[case::older(Some(b"a".as_slice()), 3, Lag::Behind(2))]
#[case::missing(None, 0, Lag::Behind(5))]
#[case::newer(Some(b"c".as_slice()), 7, Lag::Ahead(2))]
#[case::another_of_that_number(Some(b"c".as_slice()), 5, Lag::Apart)]
fn a_version_against_the_required_one(#[case] held: Option<&[u8]>, #[case] number: u64, #[case] lag: Lag) {
    let (mut mine, mut required) = (Vector::default(), Vector::default());
    required.take(Item::Accounts, Content::of(b"b"), Some(5)).unwrap();
    if let Some(held) = held {
        mine.take(Item::Accounts, Content::of(held), Some(number)).unwrap();
    }
    assert_eq!(mine.against(&required), BTreeMap::from([(Item::Accounts, lag)]));
    assert_eq!(mine.is_behind(&required), matches!(lag, Lag::Behind(_)));
}

#[test]
fn contents_without_numbers_of_their_own_are_only_the_required_ones_or_others() {
    let (mut mine, mut required) = (Vector::default(), Vector::default());
    required.take(Item::Settings, Content::of(b"b"), None).unwrap();
    // Its third is what the other counts as its first.
    for content in [b"x", b"a", b"b"] {
        mine.take(Item::Settings, Content::of(content), None).unwrap();
    }
    assert!(!mine.is_behind(&required));
    mine.take(Item::Settings, Content::of(b"a"), None).unwrap();
    assert_eq!(mine.against(&required)[&Item::Settings], Lag::Other);
    assert!(mine.is_behind(&required));
}

#[test]
fn a_flood_is_counted_whole_and_written_down_within_its_rate() {
    let sampling = Sampling { one_in: 10, a_second: 20, sum: 1_000_000 };
    let mut meter = Meter::new(sampling, [3; 16], 1, 0);
    let (mut kept, mut refused, mut summed, mut dropped, mut sampled) = (0, 0, 0, 0, 0);
    let mut reply = |entries: Vec<Entry>| {
        for entry in entries {
            match entry {
                Entry::Sum { counts, vector } => {
                    assert_eq!(vector, 1);
                    summed += counts.values().sum::<u64>();
                }
                Entry::Dropped { count } => dropped += count,
                other => panic!("{other:?}"),
            }
        }
    };
    // 100,000 decisions in 10 s, one in a hundred the refusal of a guarded job.
    for n in 0..100_000_i64 {
        let (now, always) = (n * 100, n % 100 == 0);
        let request = format!("r{n}");
        sampled += u64::from(always || meter.samples(&request));
        match meter.decided(&request, "c", None, if always { "refused" } else { "sent" }, always, now) {
            Some(Entry::Decided { decision, .. }) if decision.reason == "refused" => refused += 1,
            Some(_) => kept += 1,
            None => {}
        }
        reply(meter.pass(now));
    }
    reply(meter.turn(2));
    assert_eq!(summed, 100_000);
    assert_eq!(kept + refused + dropped, sampled);
    // 20 at once and 20 a second.
    assert!(kept + refused <= 20 + 200, "{kept} and {refused}");
    assert!(refused > kept, "refusals of guarded jobs come first: {refused} of 1000, beside {kept}");
}

#[test]
fn all_nodes_with_the_key_keep_the_same_requests() {
    let sampling = Sampling { one_in: 7, ..Sampling::default() };
    let (a, b) = (Meter::new(sampling, [1; 16], 1, 0), Meter::new(sampling, [1; 16], 90, 5));
    let other = Meter::new(sampling, [2; 16], 1, 0);
    let ids: Vec<String> = (0..7_000).map(|n| format!("id-{n}")).collect();
    let of = |meter: &Meter| ids.iter().filter(|id| meter.samples(id)).cloned().collect::<Vec<_>>();
    assert_eq!(of(&a), of(&b));
    assert_ne!(of(&a), of(&other));
    assert!((800..1_200).contains(&of(&a).len()), "{}", of(&a).len());
}

proptest! {
    /// What was written reads as it was; a cut or lengthened entry does not read.
    #[test]
    fn entries_read_as_they_were_written(at in any::<i64>(), count in any::<u64>(), reason in ".{0,40}", cut in any::<prop::sample::Index>()) {
        let entry = Timed { at, entry: Entry::Sum { vector: count, counts: BTreeMap::from([(reason, count)]) } };
        let bytes = encode(&entry).unwrap();
        prop_assert_eq!(decode(1, &bytes).unwrap(), entry);
        prop_assert!(decode(1, &bytes[..cut.index(bytes.len())]).is_err());
        prop_assert!(decode(1, &[bytes.as_slice(), &[0]].concat()).is_err());
    }

    /// A crash leaves a prefix: it verifies up to where it ends, and can be written on.
    #[test]
    fn a_prefix_is_a_record(whole in 1_u64..40, cut in any::<prop::sample::Index>()) {
        let (base, entries, _) = written(whole);
        let left = &entries[..cut.index(entries.len())];
        let mut record = Record::open(base, left, 1 << 20).unwrap();
        prop_assert_eq!(verify(base, numbered(left, 0), record.head(), &BTreeMap::new()), Ok(()));
        record.note(&took(1_000)).unwrap();
        let writing = record.write().unwrap();
        prop_assert_eq!(writing.first, left.len() as u64 + 1);
        let all = [left, writing.entries.as_slice()].concat();
        prop_assert_eq!(verify(base, numbered(&all, 0), writing.head, &BTreeMap::new()), Ok(()));
    }

    /// Equal steering has one content, whatever came before; any other has another.
    #[test]
    fn a_vector_stands_for_what_steers(mine in prop::collection::vec((0_u8..3, 0_u64..4), 0..12), other in prop::collection::vec((0_u8..3, 0_u64..4), 0..12)) {
        let of = |steps: &[(u8, u64)]| {
            let mut vector = Vector::default();
            for (item, n) in steps {
                let (item, number) = [(Item::Sites, Some(*n)), (Item::Settings, None), (Item::List, Some(*n))][usize::from(*item)];
                let _ = vector.take(item, Content::of(&n.to_be_bytes()), number);
            }
            vector
        };
        let (mine, other) = (of(&mine), of(&other));
        let held = |v: &Vector| v.iter().map(|(i, v)| (i, v.content)).collect::<Vec<_>>();
        prop_assert_eq!(mine.content() == other.content(), held(&mine) == held(&other));
        prop_assert!(!mine.is_behind(&mine));
    }
}
