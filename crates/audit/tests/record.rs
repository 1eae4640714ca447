//! Tests of version vectors, the audit log and the decision counters.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_audit::audit_log::{
    decode, encode, verify, AuditLog, AuditLogError, ChainPoint, ChangeSource, Entry, Timed,
};
use shorepath_audit::decision_counters::{DecisionCounters, Sampling};
use shorepath_audit::version::{ContentHash, Item, Lag, VersionError, VersionVector};
use std::collections::BTreeMap;

/// Returns an entry for version `n` of the sites file.
fn version_entry(n: u64) -> Timed {
    let mut vector = VersionVector::default();
    let change = vector.apply(Item::Sites, ContentHash::of(&n.to_be_bytes()), Some(n)).unwrap().unwrap();
    Timed { at: n as i64, entry: Entry::VersionChanged { change, source: ChangeSource::Operator } }
}

/// Returns the base, the stored entries and the head of a log with `count` entries.
fn written_log(count: u64) -> (ChainPoint, Vec<Vec<u8>>, ChainPoint) {
    let base = ChainPoint::origin("n0", 7);
    let mut log = AuditLog::open(base, &[], 1 << 20).unwrap();
    for n in 1..=count {
        log.append(&version_entry(n)).unwrap();
    }
    let write = log.take_pending().unwrap();
    assert_eq!((write.first_number, write.drop_through), (1, None));
    (base, write.entries, write.head)
}

fn numbered(entries: &[Vec<u8>], after: u64) -> impl Iterator<Item = (u64, &[u8])> {
    entries.iter().enumerate().map(move |(i, e)| (after + 1 + i as u64, e.as_slice()))
}

#[test]
fn any_changed_byte_is_found_in_its_entry() {
    let (base, entries, head) = written_log(12);
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
fn missing_entries_and_rewritten_chains_are_found() {
    let (base, entries, head) = written_log(9);
    for removed in 0..entries.len() {
        let remaining = numbered(&entries, 0).filter(|(n, _)| *n != removed as u64 + 1);
        let number = removed as u64 + 1;
        assert_eq!(verify(base, remaining, head, &BTreeMap::new()), Err(AuditLogError::Missing { number }));
    }
    // A rewritten log is a valid chain, but contradicts a position that peers know.
    let mut rewritten = AuditLog::open(base, &[], 1 << 20).unwrap();
    for n in [1, 2, 3, 40, 50, 60, 70, 80, 90] {
        rewritten.append(&version_entry(n)).unwrap();
    }
    let forged = rewritten.take_pending().unwrap();
    assert_eq!(verify(base, numbered(&forged.entries, 0), forged.head, &BTreeMap::new()), Ok(()));
    let known = BTreeMap::from([(3, digest(&entries, base, 3)), (6, digest(&entries, base, 6))]);
    assert_eq!(
        verify(base, numbered(&forged.entries, 0), forged.head, &known),
        Err(AuditLogError::Changed { number: 6 })
    );
    assert_eq!(verify(base, numbered(&entries, 0), head, &known), Ok(()));
}

fn digest(entries: &[Vec<u8>], base: ChainPoint, number: usize) -> shorepath_audit::audit_log::Digest {
    entries[..number].iter().fold(base, |point, stored| point.successor(&stored[32..])).digest
}

#[test]
fn oldest_segments_are_dropped_and_the_others_stay_a_valid_log() {
    let base = ChainPoint::origin("n0", 7);
    let mut log = AuditLog::open(base, &[], 0).unwrap();
    let (mut disk, mut stored_base): (BTreeMap<u64, Vec<u8>>, ChainPoint) = (BTreeMap::new(), base);
    let mut max_bytes = 0;
    for n in 1..=20_000 {
        log.append(&version_entry(n)).unwrap();
        if n % 7 == 0 {
            let write = log.take_pending().unwrap();
            disk.extend((write.first_number..).zip(write.entries));
            if let Some(drop) = write.drop_through {
                disk = disk.split_off(&(drop.number + 1));
                stored_base = drop;
            }
            let entries = disk.iter().map(|(n, e)| (*n, e.as_slice()));
            if n % 70 == 0 {
                assert_eq!(verify(stored_base, entries, write.head, &BTreeMap::new()), Ok(()), "at {n}");
            }
            max_bytes = max_bytes.max(disk.values().map(Vec::len).sum::<usize>());
        }
    }
    assert!(
        stored_base.number > 19_000 && max_bytes <= 8 * 4_096 + 7 * 200,
        "{stored_base:?}, {max_bytes} bytes"
    );
    // A new process opens the log that is on the disk.
    let entries: Vec<Vec<u8>> = disk.into_values().collect();
    let reopened = AuditLog::open(stored_base, &entries, 0).unwrap();
    assert_eq!(reopened.head().number, stored_base.number + entries.len() as u64);
}

#[test]
fn older_and_conflicting_versions_are_rejected() {
    let mut vector = VersionVector::default();
    let (a, b) = (ContentHash::of(b"a"), ContentHash::of(b"b"));
    let first = vector.apply(Item::Sites, a, Some(4)).unwrap().unwrap();
    assert_eq!((first.from, first.to.number, first.to.parent), (None, 4, ContentHash::default()));
    assert_eq!(vector.apply(Item::Sites, a, Some(4)), Ok(None));
    assert_eq!(vector.apply(Item::Sites, b, Some(4)), Err(VersionError::Conflict(4)));
    assert_eq!(vector.apply(Item::Sites, b, Some(3)), Err(VersionError::Older { held: 4, offered: 3 }));
    let second = vector.apply(Item::Sites, b, Some(9)).unwrap().unwrap();
    assert_eq!((second.from.unwrap().number, second.to.parent), (4, a));
    // `set` accepts an older version.
    let rollback = vector.set(Item::Sites, a, Some(4)).unwrap();
    assert_eq!((rollback.from.unwrap().number, rollback.to.number, rollback.to.parent), (9, 4, b));
    assert_eq!(vector.set(Item::Sites, a, Some(4)), None);
    // Content without a number gets the next one, also when it returns to old content.
    for (content, number) in [(a, 1), (b, 2), (a, 3)] {
        let change = vector.apply(Item::Settings, content, None).unwrap().unwrap();
        assert_eq!(change.to.number, number);
    }
    assert_eq!(vector.apply(Item::Settings, a, None), Ok(None));
}

#[rstest]
#[case::same(Some(b"b".as_slice()), 5, Lag::Same)]
#[case::older(Some(b"a".as_slice()), 3, Lag::Behind(2))]
#[case::missing(None, 0, Lag::Behind(5))]
#[case::newer(Some(b"c".as_slice()), 7, Lag::Ahead(2))]
#[case::conflicting_content(Some(b"c".as_slice()), 5, Lag::Conflict)]
fn version_is_compared_to_the_required_one(
    #[case] held: Option<&[u8]>,
    #[case] number: u64,
    #[case] lag: Lag,
) {
    let (mut mine, mut required) = (VersionVector::default(), VersionVector::default());
    required.apply(Item::Accounts, ContentHash::of(b"b"), Some(5)).unwrap();
    if let Some(held) = held {
        mine.apply(Item::Accounts, ContentHash::of(held), Some(number)).unwrap();
    }
    assert_eq!(mine.compare(&required), BTreeMap::from([(Item::Accounts, lag)]));
    assert_eq!(mine.is_behind(&required), matches!(lag, Lag::Behind(_)));
}

#[test]
fn unnumbered_content_is_the_same_or_different() {
    let (mut mine, mut required) = (VersionVector::default(), VersionVector::default());
    required.apply(Item::Settings, ContentHash::of(b"b"), None).unwrap();
    // The same content has number 3 here and number 1 in `required`.
    for content in [b"x", b"a", b"b"] {
        mine.apply(Item::Settings, ContentHash::of(content), None).unwrap();
    }
    assert!(!mine.is_behind(&required));
    mine.apply(Item::Settings, ContentHash::of(b"a"), None).unwrap();
    assert_eq!(mine.compare(&required)[&Item::Settings], Lag::Different);
    assert!(mine.is_behind(&required));
}

#[test]
fn burst_is_counted_completely_and_sampled_within_the_rate_limit() {
    let sampling = Sampling { one_in: 10, max_per_second: 20, summary_interval: 1_000_000 };
    let mut counters = DecisionCounters::new(sampling, [3; 16], 1, 0);
    let (mut kept, mut refused, mut summed, mut dropped, mut sampled) = (0, 0, 0, 0, 0);
    let mut tally = |entries: Vec<Entry>| {
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
    // 100,000 decisions in 10 s; one in a hundred rejects an at-most-once request.
    for n in 0..100_000_i64 {
        let (now, always) = (n * 100, n % 100 == 0);
        let request = format!("r{n}");
        sampled += u64::from(always || counters.is_sampled(&request));
        match counters.count(&request, "c", None, if always { "refused" } else { "sent" }, always, now) {
            Some(Entry::SampledDecision { decision, .. }) if decision.reason == "refused" => refused += 1,
            Some(_) => kept += 1,
            None => {}
        }
        tally(counters.take_due(now));
    }
    tally(counters.set_vector(2));
    assert_eq!(summed, 100_000);
    assert_eq!(kept + refused + dropped, sampled);
    // A burst of 20, then 20 per second.
    assert!(kept + refused <= 20 + 200, "{kept} and {refused}");
    assert!(
        refused > kept,
        "rejections of at-most-once requests take precedence: {refused} of 1000, beside {kept}"
    );
}

#[test]
fn nodes_with_the_same_key_sample_the_same_requests() {
    let sampling = Sampling { one_in: 7, ..Sampling::default() };
    let (a, b) =
        (DecisionCounters::new(sampling, [1; 16], 1, 0), DecisionCounters::new(sampling, [1; 16], 90, 5));
    let other = DecisionCounters::new(sampling, [2; 16], 1, 0);
    let ids: Vec<String> = (0..7_000).map(|n| format!("id-{n}")).collect();
    let sampled = |counters: &DecisionCounters| {
        ids.iter().filter(|id| counters.is_sampled(id)).cloned().collect::<Vec<_>>()
    };
    assert_eq!(sampled(&a), sampled(&b));
    assert_ne!(sampled(&a), sampled(&other));
    assert!((800..1_200).contains(&sampled(&a).len()), "{}", sampled(&a).len());
}

proptest! {
    /// An entry decodes to itself; a truncated or extended one does not decode.
    #[test]
    fn entries_decode_to_what_was_encoded(at in any::<i64>(), count in any::<u64>(), reason in ".{0,40}", cut in any::<prop::sample::Index>()) {
        let entry = Timed { at, entry: Entry::DecisionCounts { vector: count, counts: BTreeMap::from([(reason, count)]) } };
        let bytes = encode(&entry).unwrap();
        prop_assert_eq!(decode(1, &bytes).unwrap(), entry);
        prop_assert!(decode(1, &bytes[..cut.index(bytes.len())]).is_err());
        prop_assert!(decode(1, &[bytes.as_slice(), &[0]].concat()).is_err());
    }

    /// A prefix, as a crash leaves it, is a valid log that can be extended.
    #[test]
    fn prefix_is_a_valid_log(count in 1_u64..40, cut in any::<prop::sample::Index>()) {
        let (base, entries, _) = written_log(count);
        let prefix = &entries[..cut.index(entries.len())];
        let mut log = AuditLog::open(base, prefix, 1 << 20).unwrap();
        prop_assert_eq!(verify(base, numbered(prefix, 0), log.head(), &BTreeMap::new()), Ok(()));
        log.append(&version_entry(1_000)).unwrap();
        let write = log.take_pending().unwrap();
        prop_assert_eq!(write.first_number, prefix.len() as u64 + 1);
        let all = [prefix, write.entries.as_slice()].concat();
        prop_assert_eq!(verify(base, numbered(&all, 0), write.head, &BTreeMap::new()), Ok(()));
    }

    /// The content hash depends on the current content of the items alone, not on earlier versions.
    #[test]
    fn content_hash_identifies_the_current_versions(mine in prop::collection::vec((0_u8..3, 0_u64..4), 0..12), other in prop::collection::vec((0_u8..3, 0_u64..4), 0..12)) {
        let vector_after = |changes: &[(u8, u64)]| {
            let mut vector = VersionVector::default();
            for (item, n) in changes {
                let (item, number) = [(Item::Sites, Some(*n)), (Item::Settings, None), (Item::List, Some(*n))][usize::from(*item)];
                let _ = vector.apply(item, ContentHash::of(&n.to_be_bytes()), number);
            }
            vector
        };
        let (mine, other) = (vector_after(&mine), vector_after(&other));
        let held = |v: &VersionVector| v.iter().map(|(i, v)| (i, v.content)).collect::<Vec<_>>();
        prop_assert_eq!(mine.content_hash() == other.content_hash(), held(&mine) == held(&other));
        prop_assert!(!mine.is_behind(&mine));
    }
}
