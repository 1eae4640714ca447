//! Tests that the state of a key doesn't depend on the order in which logs are applied, nor on repetition.

use proptest::prelude::*;
use shorepath_placements::idempotency_index::{IdempotencyIndex, KeyState};
use shorepath_placements::{End, Entry, Placement, Writer};

fn placed(key: u8, guarded: bool) -> Entry {
    Entry::Placed(Placement {
        key: Some(format!("k{key}")),
        class: "valve".into(),
        guarded,
        tenant: None,
        server: "s".into(),
        standing: 0,
        taken: 0,
        on_credit: false,
        list: 0,
        fence: 0,
    })
}

fn log_entries() -> Vec<(u64, u64, Entry)> {
    let ended = |of, how| Entry::Ended { of, how };
    vec![
        (1, 1, placed(1, true)),
        (1, 2, ended(1, End::NeverRan)),
        (1, 3, placed(1, true)),
        (1, 4, ended(3, End::Served)),
        (1, 5, placed(2, true)),
        (1, 6, ended(5, End::NeverRan)),
        (1, 7, placed(3, true)),
        (2, 1, placed(3, true)),
        (2, 2, ended(1, End::Served)),
        (2, 3, placed(4, false)),
        (2, 4, placed(5, true)),
        (2, 5, ended(4, End::Unknown)),
    ]
}

proptest! {
    /// Guards against results that depend on which log is applied first, or on entries that are applied
    /// again.
    #[test]
    fn log_order_does_not_change_key_states(choices in proptest::collection::vec(any::<(bool, bool)>(), 48)) {
        let (log_entries, mut keys) = (log_entries(), IdempotencyIndex::default());
        let (first_log, second_log) = (&log_entries[..7], &log_entries[7..]);
        let (mut at, mut order) = ([0, 0], Vec::new());
        let steps = choices.into_iter().chain([(true, false); 7]).chain([(false, false); 5]);
        for (from_first, repeat) in steps {
            let (k, log) = if from_first { (0, first_log) } else { (1, second_log) };
            if let Some(next) = log.get(at[k]) {
                order.push(next);
                at[k] += 1;
            }
            if repeat && at[k] > 0 {
                order.push(&log[at[k] - 1]);
                order.push(&log[0]);
            }
        }
        for (log, number, entry) in order {
            let writer = Writer { site: "west".into(), node: format!("n{log}"), log: *log };
            keys.apply_entry(&writer, *number, entry);
        }
        let states: Vec<KeyState> = (1..=6).map(|k| keys.state("valve", &format!("k{k}"))).collect();
        // Served once, never ran, open at one site though served at another, repeatable class, unknown
        // result, never placed.
        use KeyState::*;
        prop_assert_eq!(states, [Served, Free, MayHaveRun, Free, MayHaveRun, Free]);
        prop_assert_eq!(keys.state("other", "k1"), Free);
    }
}

/// Guards against losing or misreading keys of entries that were sealed before they were applied.
#[test]
fn sealed_entries_yield_the_same_key_states() {
    use shorepath_placements::history::RetainedKey;
    let writer = Writer { site: "west".into(), node: "n1".into(), log: 1 };
    let retained_key = |key: u8, number, how| RetainedKey {
        class: "valve".into(),
        key: format!("k{key}"),
        number,
        at: 0,
        server: "s".into(),
        fence: 0,
        how,
    };
    let mut keys = IdempotencyIndex::default();
    [(1, placed(1, true)), (2, placed(2, true)), (3, placed(3, true))]
        .iter()
        .for_each(|(number, entry)| keys.apply_entry(&writer, *number, entry));
    // The first placement was served and the second never ran. The third ended with an unknown result, and
    // the fourth key was placed and served meanwhile.
    let retained =
        [retained_key(1, 1, End::Served), retained_key(3, 3, End::Unknown), retained_key(4, 5, End::Served)];
    keys.apply_sealed(&writer, 6, &retained);
    keys.apply_sealed(&writer, 6, &[]);
    let states: Vec<KeyState> = (1..=5).map(|k| keys.state("valve", &format!("k{k}"))).collect();
    use KeyState::*;
    assert_eq!(states, [Served, Free, MayHaveRun, Served, Free]);
    keys.apply_entry(&writer, 6, &placed(5, true));
    assert_eq!(keys.state("valve", "k5"), Free, "entry 6 belongs to the sealed part");
}
