//! Results that nobody here wrote, to hold the emulator against. Times are in the unit of the mean work.

/// Mean time in an M/M/1 system at that load.
pub fn mm1(load: f64) -> f64 {
    1.0 / (1.0 - load)
}

/// The probability that a job waits in an M/M/c system (Erlang C); `offered` is the load in cores.
pub fn erlang_c(cores: u32, offered: f64) -> f64 {
    // By Erlang B's recursion, which loses no digits.
    let blocked = (1..=cores).fold(1.0, |b, k| offered * b / (f64::from(k) + offered * b));
    let load = offered / f64::from(cores);
    blocked / (1.0 - load * (1.0 - blocked))
}

/// Mean time in an M/M/c system.
pub fn mmc(cores: u32, offered: f64) -> f64 {
    1.0 + erlang_c(cores, offered) / (f64::from(cores) - offered)
}

/// Mean time in an M/G/1 system whose work has that coefficient of variation (Pollaczek and Khinchine).
pub fn mg1(load: f64, cv: f64) -> f64 {
    1.0 + load * (1.0 + cv * cv) / (2.0 * (1.0 - load))
}

/// The part of many servers that hold `k` jobs or more where each job joins the shortest of `d` queues
/// (the supermarket model: Mitzenmacher 1996; Vvedenskaya, Dobrushin and Karpelevich 1996).
pub fn supermarket(load: f64, d: u32, k: u32) -> f64 {
    let exponent = (0..k).map(|j| f64::from(d).powi(j as i32)).sum::<f64>();
    load.powf(exponent)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Against figures in the usual tables.
    #[test]
    fn closed_forms_agree_with_each_other_and_with_tables() {
        assert!((erlang_c(1, 0.7) - 0.7).abs() < 1e-12);
        assert!((erlang_c(2, 1.0) - 1.0 / 3.0).abs() < 1e-12);
        assert!((mmc(1, 0.8) - mm1(0.8)).abs() < 1e-12);
        assert!((mg1(0.8, 1.0) - mm1(0.8)).abs() < 1e-12);
        assert!((mg1(0.5, 0.0) - 1.5).abs() < 1e-12);
        assert!((supermarket(0.9, 1, 3) - 0.729).abs() < 1e-12);
        assert!((supermarket(0.5, 2, 3) - 0.5f64.powi(7)).abs() < 1e-12);
    }
}
