//! Words that were changed, cut, repeated, reordered and played again.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_message_auth::keyring::Keys;
use shorepath_message_auth::signed_message::{
    Signer, Verifier, VerifyError, HEADER_BYTES, OVERHEAD_BYTES, REPLAY_WINDOW,
};
use std::sync::LazyLock;

fn keys(digits: &[&str]) -> Keys {
    Keys::read(&digits.iter().map(|d| d.repeat(32) + "\n").collect::<String>()).unwrap()
}

fn pair(incarnation: u64) -> (Signer, Verifier) {
    (Signer::new("tidal", 7, incarnation, &keys(&["01"])), Verifier::new("tidal", &keys(&["01"])))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever one bit, cut or foreign field: refused, and the word itself is still taken afterwards.
    #[test]
    fn nothing_that_was_changed_is_believed(
        body in prop::collection::vec(any::<u8>(), 0..64), bit in any::<prop::sample::Index>(), incarnation in any::<u64>(),
    ) {
        let (mut signer, mut verifier) = pair(incarnation);
        let message = signer.sign(&body);
        let mut other = Signer::new("tidal", 8, incarnation.wrapping_add(1), &keys(&["01"]));
        let _ = other.sign(&body);
        let foreign = other.sign(&body);
        let mut changed = message.clone();
        let at = bit.index(message.len() * 8);
        changed[at / 8] ^= 1 << (at % 8);
        prop_assert!(verifier.verify(&changed).is_err());
        for length in 0..message.len() {
            prop_assert!(verifier.verify(&message[..length]).is_err());
        }
        for field in [9..13, 13..21, 21..29] {
            let mut swapped = message.clone();
            swapped[field.clone()].copy_from_slice(&foreign[field]);
            prop_assert_eq!(verifier.verify(&swapped), Err(VerifyError::WrongCode));
        }
        prop_assert_eq!(verifier.counts().values().sum::<u64>(), message.len() as u64 + 4);
        let opened = verifier.verify(&message);
        prop_assert_eq!(opened.map(|o| (o.sender, o.incarnation, o.number, o.body)), Ok((7, incarnation, 1, body.as_slice())));
        prop_assert_eq!(verifier.verify(&message), Err(VerifyError::Replayed));
    }

    /// In any order within the window, with any repeats: each once, as a set that forgets nothing would have it.
    #[test]
    fn reordered_words_are_taken_once(steps in prop::collection::vec((0u64..1500, any::<bool>()), 1..400)) {
        static MESSAGES: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| {
            let mut signer = pair(1).0;
            (0..4_000).map(|_| signer.sign(b"x")).collect()
        });
        let (messages, mut verifier) = (&*MESSAGES, pair(1).1);
        let (mut received, mut highest) = (std::collections::BTreeSet::new(), 0);
        for (step, ahead) in steps {
            let number = if ahead { highest + 1 + step / 64 } else { highest.saturating_sub(step) };
            let Some(message) = number.checked_sub(1).and_then(|n| messages.get(n as usize)) else { continue };
            let expected = if highest.saturating_sub(number) >= REPLAY_WINDOW {
                Err(VerifyError::TooOld)
            } else if received.insert(number) {
                Ok(number)
            } else {
                Err(VerifyError::Replayed)
            };
            highest = highest.max(number);
            prop_assert_eq!(verifier.verify(message).map(|o| o.number), expected);
        }
    }
}

#[rstest]
fn an_older_life_is_over() {
    let (mut old, mut verifier) = pair(5);
    let (mut new, _) = pair(6);
    let (first, second) = (old.sign(b"a"), old.sign(b"b"));
    assert!(verifier.verify(&first).is_ok());
    assert!(verifier.verify(&new.sign(b"c")).is_ok());
    assert_eq!(verifier.verify(&second), Err(VerifyError::OldIncarnation));
    assert_eq!(verifier.verify(&first), Err(VerifyError::OldIncarnation));
    // Where two are heard at once, each is, once; the third takes the first one's place.
    let mut both = Verifier::new("tidal", &keys(&["01"])).max_incarnations(2);
    assert!([&first, &new.sign(b"d"), &second].iter().all(|w| both.verify(w).is_ok()));
    assert_eq!(both.verify(&second), Err(VerifyError::Replayed));
    assert!(both.verify(&pair(7).0.sign(b"e")).is_ok());
    assert_eq!(both.verify(&old.sign(b"f")), Err(VerifyError::OldIncarnation));
}

#[rstest]
fn keys_are_changed_without_losing_a_word() {
    let (mut signer, mut verifier) = pair(1);
    let late = signer.sign(b"old");
    verifier.rekey(&keys(&["01", "02"]));
    assert!(verifier.verify(&signer.sign(b"old")).is_ok());
    signer.rekey(&keys(&["02", "01"]));
    assert!(verifier.verify(&signer.sign(b"new")).is_ok());
    assert!(verifier.verify(&late).is_ok());
    verifier.rekey(&keys(&["02"]));
    assert_eq!(verifier.verify(&late), Err(VerifyError::WrongCode));
    assert!(verifier.verify(&signer.sign(b"new")).is_ok());
}

#[rstest]
fn each_reason_is_counted_and_told_once() {
    let (mut signer, verifier) = pair(1);
    let mut verifier = verifier.max_senders(1);
    let mut refused = |message: &[u8]| verifier.verify(message).unwrap_err();
    assert_eq!(refused(b""), VerifyError::TooShort);
    assert_eq!(refused(&signer.sign(b"")[..OVERHEAD_BYTES - 1]), VerifyError::TooShort);
    assert_eq!(refused(&signer.sign(b"x")[..HEADER_BYTES]), VerifyError::TooShort);
    assert_eq!(refused(b"{\"w\":\"ask\"}"), VerifyError::UnknownVersion);
    assert_eq!(refused(&Signer::new("other", 7, 1, &keys(&["01"])).sign(b"x")), VerifyError::OtherFleet);
    assert_eq!(refused(&Signer::new("tidal", 7, 1, &keys(&["02"])).sign(b"x")), VerifyError::WrongCode);
    assert!(verifier.verify(&signer.sign(b"x")).is_ok());
    assert_eq!(
        verifier.verify(&Signer::new("tidal", 8, 1, &keys(&["01"])).sign(b"x")),
        Err(VerifyError::TooManySenders)
    );
    assert_eq!(verifier.counts()[&VerifyError::TooShort], 3);
    assert!(
        verifier.is_first(VerifyError::TooShort, 7)
            && verifier.is_first(VerifyError::WrongCode, 7)
            && verifier.is_first(VerifyError::TooShort, 8)
    );
    assert!(!verifier.is_first(VerifyError::TooShort, 7));
    let notified = (0..1_000).filter(|sender| verifier.is_first(VerifyError::TooOld, *sender)).count();
    assert_eq!(notified, 256);
}
