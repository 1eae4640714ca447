//! Time as all packages count it.
//!
//! Packages that decide never read a clock: whoever drives them passes the current time in.

/// A point in time or a length of time, in microseconds. Which clock counts is said where it is used.
pub type Micros = i64;
