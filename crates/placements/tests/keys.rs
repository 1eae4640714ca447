//! What is known of a key does not depend on the order in which logs are heard, nor on how often.

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

fn story() -> Vec<(u64, u64, Entry)> {
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
    /// Whichever log comes first, and whatever is fed again in between.
    #[test]
    fn any_order_of_logs_tells_the_same(first in proptest::collection::vec(any::<(bool, bool)>(), 48)) {
        let (story, mut keys) = (story(), IdempotencyIndex::default());
        let (one, two) = (&story[..7], &story[7..]);
        let (mut at, mut order) = ([0, 0], Vec::new());
        let picks = first.into_iter().chain([(true, false); 7]).chain([(false, false); 5]);
        for (from_one, again) in picks {
            let (k, log) = if from_one { (0, one) } else { (1, two) };
            if let Some(next) = log.get(at[k]) {
                order.push(next);
                at[k] += 1;
            }
            if again && at[k] > 0 {
                order.push(&log[at[k] - 1]);
                order.push(&log[0]);
            }
        }
        for (log, number, entry) in order {
            let writer = Writer { site: "west".into(), node: format!("n{log}"), log: *log };
            keys.apply_entry(&writer, *number, entry);
        }
        let known: Vec<KeyState> = (1..=6).map(|k| keys.state("valve", &format!("k{k}"))).collect();
        // Served once, never ran, open at one site though served at another, free class, unknown, never heard of.
        use KeyState::*;
        prop_assert_eq!(known, [Served, Free, MayHaveRun, Free, MayHaveRun, Free]);
        prop_assert_eq!(keys.state("other", "k1"), Free);
    }
}

/// What is sealed before it was fed is known as if it had been: what may have run stays, what never ran is free, what was open has ended.
#[test]
fn a_sealed_beginning_is_known_as_its_entries_were() {
    use shorepath_placements::history::RetainedKey;
    let writer = Writer { site: "west".into(), node: "n1".into(), log: 1 };
    let kept = |key: u8, number, how| RetainedKey {
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
    // Of these the first was served and the second never ran; the third is open still, as its end is later; a fourth came meanwhile.
    let sealed = [kept(1, 1, End::Served), kept(3, 3, End::Unknown), kept(4, 5, End::Served)];
    keys.apply_sealed(&writer, 6, &sealed);
    keys.apply_sealed(&writer, 6, &[]);
    let known: Vec<KeyState> = (1..=5).map(|k| keys.state("valve", &format!("k{k}"))).collect();
    use KeyState::*;
    assert_eq!(known, [Served, Free, MayHaveRun, Served, Free]);
    keys.apply_entry(&writer, 6, &placed(5, true));
    assert_eq!(keys.state("valve", "k5"), Free, "it was dropped with the rest");
}
