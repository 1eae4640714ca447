//! How much is admitted while servers warm up, and when those are told to come back that are denied.

use crate::Micros;

/// A server, as far as warming up goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingServer {
    /// When it last started; 0 for long ago.
    pub started: Micros,
    /// How much it does when it is warm, in any unit.
    pub capacity: f64,
}

/// How servers warm up: with this share of their capacity at their start, evenly up to all of it after that time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// The share at the start.
    pub min_share: f64,
    /// The time, in microseconds.
    pub duration: Micros,
}

/// The part of what all servers do warm that they can do now. Nothing without servers.
pub fn warm_fraction(servers: &[WarmingServer], pace: SlowStart, now: Micros) -> f64 {
    let whole: f64 = servers.iter().map(|s| s.capacity.max(0.0)).sum();
    if whole <= 0.0 {
        return 0.0;
    }
    let share = pace.min_share.clamp(0.0, 1.0);
    let now_of = |s: &WarmingServer| {
        let age = (now - s.started) as f64 / pace.duration.max(1) as f64;
        let warm = if s.started <= 0 { 1.0 } else { share + (1.0 - share) * age.clamp(0.0, 1.0) };
        s.capacity.max(0.0) * warm
    };
    servers.iter().map(now_of).sum::<f64>() / whole
}

/// When a client that is denied during the ramp is told to come back: spread evenly over what is left of it, and over as long again
/// as clients are many, so that they do not come back together. `luck` is drawn from 0 to 1 by the caller.
pub fn retry_delay(part: f64, pace: SlowStart, least: Micros, most: Micros, luck: f64) -> Micros {
    let left = (1.0 - part.clamp(0.0, 1.0)) * pace.duration as f64;
    let spread = least as f64 + luck.clamp(0.0, 1.0) * left.max(least as f64);
    (spread as Micros).clamp(least, most.max(least))
}
