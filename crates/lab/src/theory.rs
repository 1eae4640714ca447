//! Closed-form results of queueing theory that the simulator is tested against. Times are multiples of the
//! mean service time.

/// Returns the mean response time of an M/M/1 system at the utilization `load`.
pub fn mm1(load: f64) -> f64 {
    1.0 / (1.0 - load)
}

/// Returns the probability that a job waits in an M/M/c system (Erlang C); `offered` is the offered load in
/// cores.
pub fn erlang_c(cores: u32, offered: f64) -> f64 {
    // The recursion of Erlang B is numerically stable.
    let blocked = (1..=cores).fold(1.0, |b, k| offered * b / (f64::from(k) + offered * b));
    let load = offered / f64::from(cores);
    blocked / (1.0 - load * (1.0 - blocked))
}

/// Returns the mean response time of an M/M/c system; `offered` is the offered load in cores.
pub fn mmc(cores: u32, offered: f64) -> f64 {
    1.0 + erlang_c(cores, offered) / (f64::from(cores) - offered)
}

/// Returns the mean response time of an M/G/1 system (Pollaczek-Khinchine formula); `cv` is the coefficient
/// of variation of the service time.
pub fn mg1(load: f64, cv: f64) -> f64 {
    1.0 + load * (1.0 + cv * cv) / (2.0 * (1.0 - load))
}

/// Returns the fraction of servers with at least `k` jobs where each job joins the shortest of `d` random
/// queues, for an infinite number of servers (the supermarket model: Mitzenmacher 1996; Vvedenskaya,
/// Dobrushin and Karpelevich 1996).
pub fn supermarket(load: f64, d: u32, k: u32) -> f64 {
    let exponent = (0..k).map(|j| f64::from(d).powi(j as i32)).sum::<f64>();
    load.powf(exponent)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn closed_forms_match_published_tables_and_their_special_cases() {
        assert!((erlang_c(1, 0.7) - 0.7).abs() < 1e-12);
        assert!((erlang_c(2, 1.0) - 1.0 / 3.0).abs() < 1e-12);
        assert!((mmc(1, 0.8) - mm1(0.8)).abs() < 1e-12);
        assert!((mg1(0.8, 1.0) - mm1(0.8)).abs() < 1e-12);
        assert!((mg1(0.5, 0.0) - 1.5).abs() < 1e-12);
        assert!((supermarket(0.9, 1, 3) - 0.729).abs() < 1e-12);
        assert!((supermarket(0.5, 2, 3) - 0.5f64.powi(7)).abs() < 1e-12);
    }
}
