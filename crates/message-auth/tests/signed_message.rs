//! Tests messages that are changed, truncated, duplicated, reordered or replayed.

use proptest::prelude::*;
use rstest::rstest;
use shorepath_message_auth::keyring::Keys;
use shorepath_message_auth::signed_message::{
    Signer, Verifier, VerifyError, HEADER_BYTES, OVERHEAD_BYTES, REPLAY_WINDOW,
};
use std::sync::LazyLock;

fn keys(digit_pairs: &[&str]) -> Keys {
    Keys::read(&digit_pairs.iter().map(|digit_pair| digit_pair.repeat(32) + "\n").collect::<String>())
        .unwrap()
}

fn signer_and_verifier(incarnation: u64) -> (Signer, Verifier) {
    (Signer::new("tidal", 7, incarnation, &keys(&["01"])), Verifier::new("tidal", &keys(&["01"])))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against accepting a message with a flipped bit, a missing end or a field of another message.
    #[test]
    fn a_changed_message_is_rejected_and_the_original_is_still_accepted(
        body in prop::collection::vec(any::<u8>(), 0..64), bit in any::<prop::sample::Index>(), incarnation in any::<u64>(),
    ) {
        let (mut signer, mut verifier) = signer_and_verifier(incarnation);
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
            prop_assert_eq!(verifier.verify(&swapped), Err(VerifyError::WrongMac));
        }
        prop_assert_eq!(verifier.counts().values().sum::<u64>(), message.len() as u64 + 4);
        let verified = verifier.verify(&message);
        prop_assert_eq!(verified.map(|m| (m.sender, m.incarnation, m.sequence_number, m.body)), Ok((7, incarnation, 1, body.as_slice())));
        prop_assert_eq!(verifier.verify(&message), Err(VerifyError::Replayed));
    }

    /// Compares the anti-replay window with a set of all received sequence numbers.
    #[test]
    fn a_reordered_message_is_accepted_once(steps in prop::collection::vec((0u64..1500, any::<bool>()), 1..400)) {
        static MESSAGES: LazyLock<Vec<Vec<u8>>> = LazyLock::new(|| {
            let mut signer = signer_and_verifier(1).0;
            (0..4_000).map(|_| signer.sign(b"x")).collect()
        });
        let (messages, mut verifier) = (&*MESSAGES, signer_and_verifier(1).1);
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
            prop_assert_eq!(verifier.verify(message).map(|m| m.sequence_number), expected);
        }
    }
}

#[rstest]
fn a_message_of_an_older_incarnation_is_rejected() {
    let (mut old, mut verifier) = signer_and_verifier(5);
    let (mut new, _) = signer_and_verifier(6);
    let (first, second) = (old.sign(b"a"), old.sign(b"b"));
    assert!(verifier.verify(&first).is_ok());
    assert!(verifier.verify(&new.sign(b"c")).is_ok());
    assert_eq!(verifier.verify(&second), Err(VerifyError::OldIncarnation));
    assert_eq!(verifier.verify(&first), Err(VerifyError::OldIncarnation));
    // With two incarnations at once each message is accepted once, and a third incarnation replaces the oldest one.
    let mut both = Verifier::new("tidal", &keys(&["01"])).max_incarnations(2);
    assert!([&first, &new.sign(b"d"), &second].iter().all(|message| both.verify(message).is_ok()));
    assert_eq!(both.verify(&second), Err(VerifyError::Replayed));
    assert!(both.verify(&signer_and_verifier(7).0.sign(b"e")).is_ok());
    assert_eq!(both.verify(&old.sign(b"f")), Err(VerifyError::OldIncarnation));
}

#[rstest]
fn no_message_is_lost_while_keys_are_rotated() {
    let (mut signer, mut verifier) = signer_and_verifier(1);
    let late = signer.sign(b"old");
    verifier.rekey(&keys(&["01", "02"]));
    assert!(verifier.verify(&signer.sign(b"old")).is_ok());
    signer.rekey(&keys(&["02", "01"]));
    assert!(verifier.verify(&signer.sign(b"new")).is_ok());
    assert!(verifier.verify(&late).is_ok());
    verifier.rekey(&keys(&["02"]));
    assert_eq!(verifier.verify(&late), Err(VerifyError::WrongMac));
    assert!(verifier.verify(&signer.sign(b"new")).is_ok());
}

#[rstest]
fn each_rejection_is_counted_and_logged_once_per_sender() {
    let (mut signer, verifier) = signer_and_verifier(1);
    let mut verifier = verifier.max_senders(1);
    let mut reject = |message: &[u8]| verifier.verify(message).unwrap_err();
    assert_eq!(reject(b""), VerifyError::TooShort);
    assert_eq!(reject(&signer.sign(b"")[..OVERHEAD_BYTES - 1]), VerifyError::TooShort);
    assert_eq!(reject(&signer.sign(b"x")[..HEADER_BYTES]), VerifyError::TooShort);
    assert_eq!(reject(b"{\"w\":\"ask\"}"), VerifyError::UnknownVersion);
    assert_eq!(reject(&Signer::new("other", 7, 1, &keys(&["01"])).sign(b"x")), VerifyError::OtherFleet);
    assert_eq!(reject(&Signer::new("tidal", 7, 1, &keys(&["02"])).sign(b"x")), VerifyError::WrongMac);
    assert!(verifier.verify(&signer.sign(b"x")).is_ok());
    assert_eq!(
        verifier.verify(&Signer::new("tidal", 8, 1, &keys(&["01"])).sign(b"x")),
        Err(VerifyError::TooManySenders)
    );
    assert_eq!(verifier.counts()[&VerifyError::TooShort], 3);
    assert!(
        verifier.is_first(VerifyError::TooShort, 7)
            && verifier.is_first(VerifyError::WrongMac, 7)
            && verifier.is_first(VerifyError::TooShort, 8)
    );
    assert!(!verifier.is_first(VerifyError::TooShort, 7));
    let logged = (0..1_000).filter(|sender| verifier.is_first(VerifyError::TooOld, *sender)).count();
    assert_eq!(logged, 256);
}
