//! What an envelope costs a word of 300 bytes: sealed, and opened by one who believes one key, or two of which it is the second.
//!
//!     cargo bench -p shorepath-message-auth

use criterion::{criterion_group, criterion_main, Criterion};
use shorepath_message_auth::keyring::Keys;
use shorepath_message_auth::signed_message::{Signer, Verifier};
use std::hint::black_box;

fn envelope(c: &mut Criterion) {
    let (new, old) = ("01".repeat(32), "02".repeat(32));
    let (Ok(one), Ok(two)) = (Keys::read(&new), Keys::read(&format!("{old}\n{new}"))) else { return };
    let body = [b'x'; 300];
    let mut signer = Signer::new("tidal", 7, 1, &one);
    c.bench_function("seal", |b| b.iter(|| signer.sign(black_box(&body))));
    for (name, keys) in [("seal and open", &one), ("seal and open by the second key", &two)] {
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
    c.bench_function("a forged one", |b| b.iter(|| assert!(verifier.verify(black_box(&forged)).is_err())));
}

criterion_group!(benches, envelope);
criterion_main!(benches);
