//! Words that were changed, cut, repeated, reordered and played again.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_message_auth::keyring::Keys;
use shorepath_message_auth::signed_message::{Opener, Refused, Sealer, ADDED, HEAD, WINDOW};
use std::sync::LazyLock;

fn keys(digits: &[&str]) -> Keys {
    Keys::read(&digits.iter().map(|d| d.repeat(32) + "\n").collect::<String>()).unwrap()
}

fn pair(life: u64) -> (Sealer, Opener) {
    (Sealer::new("tidal", 7, life, &keys(&["01"])), Opener::new("tidal", &keys(&["01"])))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever one bit, cut or foreign field: refused, and the word itself is still taken afterwards.
    #[test]
    fn nothing_that_was_changed_is_believed(
        body in prop::collection::vec(any::<u8>(), 0..64), bit in any::<prop::sample::Index>(), life in any::<u64>(),
    ) {
        let (mut sealer, mut opener) = pair(life);
        let message = sealer.seal(&body);
        let mut other = Sealer::new("tidal", 8, life.wrapping_add(1), &keys(&["01"]));
        let _ = other.seal(&body);
        let foreign = other.seal(&body);
        let mut changed = message.clone();
        let at = bit.index(message.len() * 8);
        changed[at / 8] ^= 1 << (at % 8);
        prop_assert!(opener.open(&changed).is_err());
        for length in 0..message.len() {
            prop_assert!(opener.open(&message[..length]).is_err());
        }
        for field in [9..13, 13..21, 21..29] {
            let mut swapped = message.clone();
            swapped[field.clone()].copy_from_slice(&foreign[field]);
            prop_assert_eq!(opener.open(&swapped), Err(Refused::Code));
        }
        prop_assert_eq!(opener.counts().values().sum::<u64>(), message.len() as u64 + 4);
        let opened = opener.open(&message);
        prop_assert_eq!(opened.map(|o| (o.sender, o.life, o.number, o.body)), Ok((7, life, 1, body.as_slice())));
        prop_assert_eq!(opener.open(&message), Err(Refused::Repeated));
    }

    /// In any order within the window, with any repeats: each once, as a set that forgets nothing would have it.
    #[test]
    fn reordered_words_are_taken_once(steps in prop::collection::vec((0u64..1500, any::<bool>()), 1..400)) {
        static MESSAGES: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| {
            let mut sealer = pair(1).0;
            (0..4_000).map(|_| sealer.seal(b"x")).collect()
        });
        let (messages, mut opener) = (&*MESSAGES, pair(1).1);
        let (mut received, mut highest) = (std::collections::BTreeSet::new(), 0);
        for (step, ahead) in steps {
            let number = if ahead { highest + 1 + step / 64 } else { highest.saturating_sub(step) };
            let Some(message) = number.checked_sub(1).and_then(|n| messages.get(n as usize)) else { continue };
            let expected = if highest.saturating_sub(number) >= WINDOW {
                Err(Refused::Old)
            } else if received.insert(number) {
                Ok(number)
            } else {
                Err(Refused::Repeated)
            };
            highest = highest.max(number);
            prop_assert_eq!(opener.open(message).map(|o| o.number), expected);
        }
    }
}

#[rstest]
fn an_older_life_is_over() {
    let (mut old, mut opener) = pair(5);
    let (mut new, _) = pair(6);
    let (first, second) = (old.seal(b"a"), old.seal(b"b"));
    assert!(opener.open(&first).is_ok());
    assert!(opener.open(&new.seal(b"c")).is_ok());
    assert_eq!(opener.open(&second), Err(Refused::Life));
    assert_eq!(opener.open(&first), Err(Refused::Life));
    // Where two are heard at once, each is, once; the third takes the first one's place.
    let mut both = Opener::new("tidal", &keys(&["01"])).lives(2);
    assert!([&first, &new.seal(b"d"), &second].iter().all(|w| both.open(w).is_ok()));
    assert_eq!(both.open(&second), Err(Refused::Repeated));
    assert!(both.open(&pair(7).0.seal(b"e")).is_ok());
    assert_eq!(both.open(&old.seal(b"f")), Err(Refused::Life));
}

#[rstest]
fn keys_are_changed_without_losing_a_word() {
    let (mut sealer, mut opener) = pair(1);
    let late = sealer.seal(b"old");
    opener.rekey(&keys(&["01", "02"]));
    assert!(opener.open(&sealer.seal(b"old")).is_ok());
    sealer.rekey(&keys(&["02", "01"]));
    assert!(opener.open(&sealer.seal(b"new")).is_ok());
    assert!(opener.open(&late).is_ok());
    opener.rekey(&keys(&["02"]));
    assert_eq!(opener.open(&late), Err(Refused::Code));
    assert!(opener.open(&sealer.seal(b"new")).is_ok());
}

#[rstest]
fn each_reason_is_counted_and_told_once() {
    let (mut sealer, opener) = pair(1);
    let mut opener = opener.senders(1);
    let mut refused = |message: &[u8]| opener.open(message).unwrap_err();
    assert_eq!(refused(b""), Refused::Short);
    assert_eq!(refused(&sealer.seal(b"")[..ADDED - 1]), Refused::Short);
    assert_eq!(refused(&sealer.seal(b"x")[..HEAD]), Refused::Short);
    assert_eq!(refused(b"{\"w\":\"ask\"}"), Refused::Version);
    assert_eq!(refused(&Sealer::new("other", 7, 1, &keys(&["01"])).seal(b"x")), Refused::Fleet);
    assert_eq!(refused(&Sealer::new("tidal", 7, 1, &keys(&["02"])).seal(b"x")), Refused::Code);
    assert!(opener.open(&sealer.seal(b"x")).is_ok());
    assert_eq!(opener.open(&Sealer::new("tidal", 8, 1, &keys(&["01"])).seal(b"x")), Err(Refused::Crowd));
    assert_eq!(opener.counts()[&Refused::Short], 3);
    assert!(
        opener.first(Refused::Short, 7) && opener.first(Refused::Code, 7) && opener.first(Refused::Short, 8)
    );
    assert!(!opener.first(Refused::Short, 7));
    let notified = (0..1_000).filter(|sender| opener.first(Refused::Old, *sender)).count();
    assert_eq!(notified, 256);
}
