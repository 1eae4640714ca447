//! Versions, the record and the meter: what is written is found again, what was touched is named, and nothing grows.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_audit::audit_log::{
    decode, encode, verify, AuditLog, AuditLogError, ChainPoint, ChangeSource, Entry, Timed,
};
use shorepath_audit::decision_counters::{DecisionCounters, Sampling};
use shorepath_audit::version::{ContentHash, Item, Lag, VersionError, VersionVector};
use std::collections::BTreeMap;

fn took(n: u64) -> Timed {
    let mut vector = VersionVector::default();
    let taken = vector.apply(Item::Sites, ContentHash::of(&n.to_be_bytes()), Some(n)).unwrap().unwrap();
    Timed { at: n as i64, entry: Entry::VersionChanged { change: taken, source: ChangeSource::Operator } }
}

/// A record of so many entries as it lies on a disk.
fn written(n: u64) -> (ChainPoint, Vec<Vec<u8>>, ChainPoint) {
    let base = ChainPoint::origin("n0", 7);
    let mut record = AuditLog::open(base, &[], 1 << 20).unwrap();
    for n in 1..=n {
        record.append(&took(n)).unwrap();
    }
    let writing = record.take_pending().unwrap();
    assert_eq!((writing.first_number, writing.drop_through), (1, None));
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
                Err(AuditLogError::Changed { number }),
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
        assert_eq!(verify(base, left, head, &BTreeMap::new()), Err(AuditLogError::Missing { number }));
    }
    // Who has the disk can write a whole other story. Peers heard a point of the true one.
    let mut other = AuditLog::open(base, &[], 1 << 20).unwrap();
    for n in [1, 2, 3, 40, 50, 60, 70, 80, 90] {
        other.append(&took(n)).unwrap();
    }
    let forged = other.take_pending().unwrap();
    assert_eq!(verify(base, numbered(&forged.entries, 0), forged.head, &BTreeMap::new()), Ok(()));
    let known = BTreeMap::from([(3, digest(&entries, base, 3)), (6, digest(&entries, base, 6))]);
    assert_eq!(
        verify(base, numbered(&forged.entries, 0), forged.head, &known),
        Err(AuditLogError::Changed { number: 6 })
    );
    assert_eq!(verify(base, numbered(&entries, 0), head, &known), Ok(()));
}

fn digest(entries: &[Vec<u8>], base: ChainPoint, number: usize) -> shorepath_audit::audit_log::Digest {
    entries[..number].iter().fold(base, |at, kept| at.successor(&kept[32..])).digest
}

#[test]
fn old_segments_give_way_and_what_is_left_can_be_verified_and_written_on() {
    let base = ChainPoint::origin("n0", 7);
    let mut record = AuditLog::open(base, &[], 0).unwrap();
    let (mut disk, mut kept_base): (BTreeMap<u64, Vec<u8>>, ChainPoint) = (BTreeMap::new(), base);
    let mut most = 0;
    for n in 1..=20_000 {
        record.append(&took(n)).unwrap();
        if n % 7 == 0 {
            let writing = record.take_pending().unwrap();
            disk.extend((writing.first_number..).zip(writing.entries));
            if let Some(drop) = writing.drop_through {
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
    let again = AuditLog::open(kept_base, &entries, 0).unwrap();
    assert_eq!(again.head().number, kept_base.number + entries.len() as u64);
}

#[test]
fn a_version_that_goes_back_or_has_two_contents_is_not_taken_and_says_so() {
    let mut vector = VersionVector::default();
    let (a, b) = (ContentHash::of(b"a"), ContentHash::of(b"b"));
    let first = vector.apply(Item::Sites, a, Some(4)).unwrap().unwrap();
    assert_eq!((first.from, first.to.number, first.to.parent), (None, 4, ContentHash::default()));
    assert_eq!(vector.apply(Item::Sites, a, Some(4)), Ok(None));
    assert_eq!(vector.apply(Item::Sites, b, Some(4)), Err(VersionError::Conflict(4)));
    assert_eq!(vector.apply(Item::Sites, b, Some(3)), Err(VersionError::Older { held: 4, offered: 3 }));
    let second = vector.apply(Item::Sites, b, Some(9)).unwrap().unwrap();
    assert_eq!((second.from.unwrap().number, second.to.parent), (4, a));
    // A process that begins with an older one says so.
    let back = vector.set(Item::Sites, a, Some(4)).unwrap();
    assert_eq!((back.from.unwrap().number, back.to.number, back.to.parent), (9, 4, b));
    assert_eq!(vector.set(Item::Sites, a, Some(4)), None);
    // What has no number of its own is counted; its return to an old content is another change.
    for (content, number) in [(a, 1), (b, 2), (a, 3)] {
        let taken = vector.apply(Item::Settings, content, None).unwrap().unwrap();
        assert_eq!(taken.to.number, number);
    }
    assert_eq!(vector.apply(Item::Settings, a, None), Ok(None));
}

#[rstest]
#[case::same(Some(b"b".as_slice()), 5, Lag::Same)]
#[case::older(Some(b"a".as_slice()), 3, Lag::Behind(2))]
#[case::missing(None, 0, Lag::Behind(5))]
#[case::newer(Some(b"c".as_slice()), 7, Lag::Ahead(2))]
#[case::another_of_that_number(Some(b"c".as_slice()), 5, Lag::Conflict)]
fn a_version_against_the_required_one(#[case] held: Option<&[u8]>, #[case] number: u64, #[case] lag: Lag) {
    let (mut mine, mut required) = (VersionVector::default(), VersionVector::default());
    required.apply(Item::Accounts, ContentHash::of(b"b"), Some(5)).unwrap();
    if let Some(held) = held {
        mine.apply(Item::Accounts, ContentHash::of(held), Some(number)).unwrap();
    }
    assert_eq!(mine.compare(&required), BTreeMap::from([(Item::Accounts, lag)]));
    assert_eq!(mine.is_behind(&required), matches!(lag, Lag::Behind(_)));
}

#[test]
fn contents_without_numbers_of_their_own_are_only_the_required_ones_or_others() {
    let (mut mine, mut required) = (VersionVector::default(), VersionVector::default());
    required.apply(Item::Settings, ContentHash::of(b"b"), None).unwrap();
    // Its third is what the other counts as its first.
    for content in [b"x", b"a", b"b"] {
        mine.apply(Item::Settings, ContentHash::of(content), None).unwrap();
    }
    assert!(!mine.is_behind(&required));
    mine.apply(Item::Settings, ContentHash::of(b"a"), None).unwrap();
    assert_eq!(mine.compare(&required)[&Item::Settings], Lag::Different);
    assert!(mine.is_behind(&required));
}

#[test]
fn a_flood_is_counted_whole_and_written_down_within_its_rate() {
    let sampling = Sampling { one_in: 10, max_per_second: 20, summary_interval: 1_000_000 };
    let mut meter = DecisionCounters::new(sampling, [3; 16], 1, 0);
    let (mut kept, mut refused, mut summed, mut dropped, mut sampled) = (0, 0, 0, 0, 0);
    let mut reply = |entries: Vec<Entry>| {
        for entry in entries {
            match entry {
                Entry::DecisionCounts { counts, vector } => {
                    assert_eq!(vector, 1);
                    summed += counts.values().sum::<u64>();
                }
                Entry::DecisionsDropped { count } => dropped += count,
                other => panic!("{other:?}"),
            }
        }
    };
    // 100,000 decisions in 10 s, one in a hundred the refusal of a guarded job.
    for n in 0..100_000_i64 {
        let (now, always) = (n * 100, n % 100 == 0);
        let request = format!("r{n}");
        sampled += u64::from(always || meter.is_sampled(&request));
        match meter.count(&request, "c", None, if always { "refused" } else { "sent" }, always, now) {
            Some(Entry::SampledDecision { decision, .. }) if decision.reason == "refused" => refused += 1,
            Some(_) => kept += 1,
            None => {}
        }
        reply(meter.take_due(now));
    }
    reply(meter.set_vector(2));
    assert_eq!(summed, 100_000);
    assert_eq!(kept + refused + dropped, sampled);
    // 20 at once and 20 a second.
    assert!(kept + refused <= 20 + 200, "{kept} and {refused}");
    assert!(refused > kept, "refusals of guarded jobs come first: {refused} of 1000, beside {kept}");
}

#[test]
fn all_nodes_with_the_key_keep_the_same_requests() {
    let sampling = Sampling { one_in: 7, ..Sampling::default() };
    let (a, b) =
        (DecisionCounters::new(sampling, [1; 16], 1, 0), DecisionCounters::new(sampling, [1; 16], 90, 5));
    let other = DecisionCounters::new(sampling, [2; 16], 1, 0);
    let ids: Vec<String> = (0..7_000).map(|n| format!("id-{n}")).collect();
    let of =
        |meter: &DecisionCounters| ids.iter().filter(|id| meter.is_sampled(id)).cloned().collect::<Vec<_>>();
    assert_eq!(of(&a), of(&b));
    assert_ne!(of(&a), of(&other));
    assert!((800..1_200).contains(&of(&a).len()), "{}", of(&a).len());
}

proptest! {
    /// What was written reads as it was; a cut or lengthened entry does not read.
    #[test]
    fn entries_read_as_they_were_written(at in any::<i64>(), count in any::<u64>(), reason in ".{0,40}", cut in any::<prop::sample::Index>()) {
        let entry = Timed { at, entry: Entry::DecisionCounts { vector: count, counts: BTreeMap::from([(reason, count)]) } };
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
        let mut record = AuditLog::open(base, left, 1 << 20).unwrap();
        prop_assert_eq!(verify(base, numbered(left, 0), record.head(), &BTreeMap::new()), Ok(()));
        record.append(&took(1_000)).unwrap();
        let writing = record.take_pending().unwrap();
        prop_assert_eq!(writing.first_number, left.len() as u64 + 1);
        let all = [left, writing.entries.as_slice()].concat();
        prop_assert_eq!(verify(base, numbered(&all, 0), writing.head, &BTreeMap::new()), Ok(()));
    }

    /// Equal steering has one content, whatever came before; any other has another.
    #[test]
    fn a_vector_stands_for_what_steers(mine in prop::collection::vec((0_u8..3, 0_u64..4), 0..12), other in prop::collection::vec((0_u8..3, 0_u64..4), 0..12)) {
        let of = |steps: &[(u8, u64)]| {
            let mut vector = VersionVector::default();
            for (item, n) in steps {
                let (item, number) = [(Item::Sites, Some(*n)), (Item::Settings, None), (Item::List, Some(*n))][usize::from(*item)];
                let _ = vector.apply(item, ContentHash::of(&n.to_be_bytes()), number);
            }
            vector
        };
        let (mine, other) = (of(&mine), of(&other));
        let held = |v: &VersionVector| v.iter().map(|(i, v)| (i, v.content)).collect::<Vec<_>>();
        prop_assert_eq!(mine.content_hash() == other.content_hash(), held(&mine) == held(&other));
        prop_assert!(!mine.is_behind(&mine));
    }
}
