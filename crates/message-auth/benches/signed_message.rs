//! Benchmarks the signing and verification of messages with bodies of 300 bytes, with one or two accepted keys.
//!
//!     cargo bench -p shorepath-message-auth

use criterion::{criterion_group, criterion_main, Criterion};
use shorepath_message_auth::keyring::Keys;
use shorepath_message_auth::signed_message::{Signer, Verifier};
use std::hint::black_box;

fn sign_and_verify(c: &mut Criterion) {
    let (new, old) = ("01".repeat(32), "02".repeat(32));
    let (Ok(one), Ok(two)) = (Keys::read(&new), Keys::read(&format!("{old}\n{new}"))) else { return };
    let body = [b'x'; 300];
    let mut signer = Signer::new("tidal", 7, 1, &one);
    c.bench_function("sign", |b| b.iter(|| signer.sign(black_box(&body))));
    for (name, keys) in [("sign and verify", &one), ("sign and verify with the second key", &two)] {
        let mut verifier = Verifier::new("tidal", keys);
        c.bench_function(name, |b| {
            b.iter(|| {
                let message = signer.sign(black_box(&body));
                assert!(verifier.verify(&message).is_ok());
            })
        });
    }
    let mut verifier = Verifier::new("tidal", &one);
    let mut forged = signer.sign(&body);
    if let Some(last) = forged.last_mut() {
        *last ^= 1;
    }
    c.bench_function("reject a forged message", |b| {
        b.iter(|| assert!(verifier.verify(black_box(&forged)).is_err()))
    });
}

criterion_group!(benches, sign_and_verify);
criterion_main!(benches);
