//! Load admission while servers warm up, and retry delays for the clients rejected meanwhile.

use crate::Micros;

/// A server that may still be warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingServer {
    /// When it last started, in microseconds; 0 or less if that was long ago.
    pub started: Micros,
    /// Its capacity once warm, in any unit that all servers share.
    pub capacity: f64,
}

/// Linear warm-up of a server after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of the capacity that is available at the start, from 0 to 1.
    pub min_share: f64,
    /// Time from the start to full capacity, in microseconds.
    pub duration: Micros,
}

/// Returns the available share of the servers' warm capacity, from 0 to 1; 0 without servers.
pub fn warm_fraction(servers: &[WarmingServer], slow_start: SlowStart, now: Micros) -> f64 {
    let total: f64 = servers.iter().map(|s| s.capacity.max(0.0)).sum();
    if total <= 0.0 {
        return 0.0;
    }
    let share = slow_start.min_share.clamp(0.0, 1.0);
    let available = |s: &WarmingServer| {
        let age = (now - s.started) as f64 / slow_start.duration.max(1) as f64;
        let warm = if s.started <= 0 { 1.0 } else { share + (1.0 - share) * age.clamp(0.0, 1.0) };
        s.capacity.max(0.0) * warm
    };
    servers.iter().map(available).sum::<f64>() / total
}

/// Returns the retry delay, in microseconds, for a client rejected during the warm-up.
///
/// Delays are spread over the remaining warm-up so that clients don't return all at once. `random` is uniform from 0 to 1;
/// the delay is between `min` and `max`.
pub fn retry_delay(fraction: f64, slow_start: SlowStart, min: Micros, max: Micros, random: f64) -> Micros {
    let remaining = (1.0 - fraction.clamp(0.0, 1.0)) * slow_start.duration as f64;
    let delay = min as f64 + random.clamp(0.0, 1.0) * remaining.max(min as f64);
    (delay as Micros).clamp(min, max.max(min))
}
