//! Comparison of two scenarios on the same seeds by paired differences with confidence intervals.

use crate::experiment::Point;
use crate::scenario::Scenario;
use crate::sim;
use crate::stats::Interval;
use crate::sweep::Row;
use rayon::prelude::*;
use serde::Serialize;

/// Whether a metric of the second scenario differs significantly, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// The metric of the second scenario is significantly higher.
    Higher,
    /// The metric of the second scenario is significantly lower.
    Lower,
    /// The confidence interval contains 0.
    NoDifferenceShown,
}

/// A metric of two scenarios and its difference.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// Name of the metric.
    #[serde(rename = "figure")]
    pub metric: String,
    /// Mean in the first scenario.
    pub first: f64,
    /// Mean in the second scenario.
    pub second: f64,
    /// Mean of the second minus the first, over pairs of runs with the same seed.
    pub difference: Interval,
    /// Direction of the difference, if it is significant.
    #[serde(rename = "verdict")]
    pub direction: Direction,
}

/// Compares paired samples of a metric; `None` for fewer than two pairs.
pub fn compare_pairs(metric: &str, first: &[f64], second: &[f64], confidence: f64) -> Option<Difference> {
    let differences: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
    let difference = Interval::of(&differences, confidence).filter(|d| d.half_width.is_finite())?;
    let mean = |samples: &[f64]| samples.iter().sum::<f64>() / samples.len() as f64;
    let direction = match difference {
        d if d.contains(0.0) => Direction::NoDifferenceShown,
        d if d.mean > 0.0 => Direction::Higher,
        _ => Direction::Lower,
    };
    Some(Difference {
        metric: metric.into(),
        first: mean(first),
        second: mean(second),
        difference,
        direction,
    })
}

/// Runs both scenarios with the `count` seeds that start at `seed`. Returns one row for each run, ordered by
/// seed.
pub fn run(first: &Scenario, second: &Scenario, seed: u64, count: u64) -> (Vec<Row>, Vec<Row>) {
    let run_one = |(which, k): (u64, u64)| {
        let scenario = Scenario { seed: seed + k, ..if which == 0 { first } else { second }.clone() };
        let report = sim::run(&scenario);
        Row::new(&Point { index: k as usize, values: vec![], replication: k, scenario }, &report)
    };
    let runs: Vec<(u64, u64)> = (0..2).flat_map(|w| (0..count).map(move |k| (w, k))).collect();
    let mut rows: Vec<Row> = runs.into_par_iter().map(run_one).collect();
    let second = rows.split_off(count as usize);
    (rows, second)
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let d = self.difference;
        let direction = match self.direction {
            Direction::Higher => "the second is higher",
            Direction::Lower => "the second is lower",
            Direction::NoDifferenceShown => "no difference shown",
        };
        write!(
            f,
            "{:14} {:9.4} {:9.4}  {:+.4} ± {:.4} ({} pairs): {direction}",
            self.metric, self.first, self.second, d.mean, d.half_width, d.count
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_significant_paired_differences_are_reported() {
        let (a, b) = ([1.0, 2.0, 3.0, 4.0], [1.1, 2.2, 3.1, 4.2]);
        let direction = |a: &[f64], b: &[f64]| compare_pairs("x", a, b, 0.95).unwrap().direction;
        assert_eq!(direction(&a, &b), Direction::Higher);
        assert_eq!(direction(&b, &a), Direction::Lower);
        assert_eq!(direction(&a, &[1.1, 1.8, 3.1, 3.9]), Direction::NoDifferenceShown);
        assert_eq!(direction(&a, &a), Direction::NoDifferenceShown);
        assert!(compare_pairs("x", &a[..1], &b[..1], 0.95).is_none());
    }
}
