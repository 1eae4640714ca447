//! How nodes come back from a loss of power, as the operator's file of sites says it.
//!
//! ```text
//! (recover (remember 64 MiB) (answer 64 KiB) (outlive 5 s) (peers 3 s) (catch-up 2 s))
//! ```
//!
//! Each has a usual value: `(recover)` alone switches it on. What the steps are: `shorepath_recovery::phases`.

use crate::Micros;
use serde::{Deserialize, Serialize};
use shorepath_recovery::phases::Limits;
use shorepath_sexp::Form;
use std::ops::RangeInclusive;

/// The units of sizes, in bytes.
const SIZES: [(&str, u64); 4] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const HOUR: Micros = 3_600_000_000;

/// What the operator sets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryConfig {
    /// Final answers hold this much of the disk at most, in bytes; the oldest give way.
    pub remember: u64,
    /// The body of an answer that is kept is no longer than this, in bytes.
    pub answer: u64,
    /// What an earlier life, or a fleet before the loss, may still act under, in microseconds.
    pub outlive: Micros,
    /// Until peers have answered, in microseconds: what may be repeated waits no longer for them.
    pub peers: Micros,
    /// Until what they said is taken in, in microseconds.
    pub catch_up: Micros,
}

impl RecoveryConfig {
    /// How long each step may take.
    pub fn limits(&self) -> Limits {
        Limits {
            reading: 10_000_000,
            asking: self.peers,
            catching_up: self.catch_up,
            grant_expiry: self.outlive,
        }
    }
}

fn size(form: &Form, name: &'static str, usual: u64, range: RangeInclusive<u64>) -> u64 {
    let found = form.given(name, |f| {
        let written = f.rest();
        let units = || SIZES.map(|u| u.0).join(", ");
        let [number, unit] = written.as_slice() else {
            f.complain(format!("({name}) is a whole number and its unit: {}", units()));
            return None;
        };
        let Some((_, unit)) = SIZES.iter().find(|u| u.0 == unit) else {
            f.complain(format!("({name}) needs a unit at its end: {}", units()));
            return None;
        };
        let Some(bytes) = number.parse::<u64>().ok().and_then(|n| n.checked_mul(*unit)) else {
            f.complain(format!("{number} is no whole number for ({name})"));
            return None;
        };
        if !range.contains(&bytes) {
            f.complain(format!("({name}) lies in {} to {} bytes, not {bytes}", range.start(), range.end()));
        }
        Some(bytes)
    });
    found.unwrap_or(usual)
}

/// Read the clause.
pub fn parse(form: &Form) -> RecoveryConfig {
    let recover = RecoveryConfig {
        remember: size(form, "remember", 64 * MIB, KIB..=(64 << 30)),
        answer: size(form, "answer", 64 * KIB, 1..=16 * MIB),
        outlive: form.time("outlive", 5_000_000, 0..=HOUR),
        peers: form.time("peers", 3_000_000, 100_000..=HOUR),
        catch_up: form.time("catch-up", 2_000_000, 100_000..=HOUR),
    };
    if recover.answer > recover.remember {
        form.complain("one (answer) may be longer than all that is kept by (remember)");
    }
    recover
}
