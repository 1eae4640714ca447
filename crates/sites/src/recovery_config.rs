//! The `(recover ...)` clause of the sites file: how nodes recover from a loss of power.
//!
//! ```text
//! (recover (remember 64 MiB) (answer 64 KiB) (outlive 5 s) (peers 3 s) (catch-up 2 s))
//! ```
//!
//! Every setting has a default, so `(recover)` alone enables recovery. The phases of a recovery are described in
//! `shorepath_recovery::phases`.

use crate::Micros;
use serde::{Deserialize, Serialize};
use shorepath_recovery::phases::Limits;
use shorepath_sexp::Form;
use std::ops::RangeInclusive;

/// Units of sizes, each with its number of bytes.
const SIZE_UNITS: [(&str, u64); 4] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
/// Number of microseconds in an hour.
const HOUR: Micros = 3_600_000_000;

/// Settings of a recovery.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryConfig {
    /// Disk space for stored responses, in bytes; the oldest are dropped first.
    pub remember: u64,
    /// Longest response body that is stored, in bytes.
    pub answer: u64,
    /// Time for which a lease of an earlier incarnation, or of the fleet before the loss, may still be in use, in
    /// microseconds.
    pub outlive: Micros,
    /// Longest wait for replies of peers, in microseconds; repeatable requests are admitted afterwards.
    pub peers: Micros,
    /// Longest wait until the peers' state is applied, in microseconds.
    pub catch_up: Micros,
}

impl RecoveryConfig {
    /// Returns how long each phase may take.
    pub fn limits(&self) -> Limits {
        Limits {
            reading: 10_000_000,
            asking: self.peers,
            catching_up: self.catch_up,
            grant_expiry: self.outlive,
        }
    }
}

fn parse_size(form: &Form, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
    let parsed = form.given(name, |f| {
        let written = f.rest();
        let units = || SIZE_UNITS.map(|u| u.0).join(", ");
        let [number, unit] = written.as_slice() else {
            f.add_error(format!("({name}) needs an integer and its unit: {}", units()));
            return None;
        };
        let Some((_, unit)) = SIZE_UNITS.iter().find(|u| u.0 == unit) else {
            f.add_error(format!("({name}) needs a unit at its end: {}", units()));
            return None;
        };
        let Some(bytes) = number.parse::<u64>().ok().and_then(|n| n.checked_mul(*unit)) else {
            f.add_error(format!("({name}) needs an integer, not {number}"));
            return None;
        };
        if !range.contains(&bytes) {
            f.add_error(format!(
                "({name}) must be from {} to {} bytes, not {bytes}",
                range.start(),
                range.end()
            ));
        }
        Some(bytes)
    });
    parsed.unwrap_or(default)
}

/// Parses the clause; faults are reported to the form.
pub fn parse(form: &Form) -> RecoveryConfig {
    let recover = RecoveryConfig {
        remember: parse_size(form, "remember", 64 * MIB, KIB..=(64 << 30)),
        answer: parse_size(form, "answer", 64 * KIB, 1..=16 * MIB),
        outlive: form.time("outlive", 5_000_000, 0..=HOUR),
        peers: form.time("peers", 3_000_000, 100_000..=HOUR),
        catch_up: form.time("catch-up", 2_000_000, 100_000..=HOUR),
    };
    if recover.answer > recover.remember {
        form.add_error("(answer) is larger than (remember): one response would not fit");
    }
    recover
}
