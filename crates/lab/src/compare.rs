//! Two scenarios on the same seeds: paired differences with their confidence intervals.

use crate::experiment::Point;
use crate::scenario::Scenario;
use crate::sim;
use crate::stats::Interval;
use crate::sweep::Row;
use rayon::prelude::*;
use serde::Serialize;

/// What a comparison says about one figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The second is higher.
    Higher,
    /// The second is lower.
    Lower,
    /// The interval holds 0.
    NoDifferenceShown,
}

/// One figure of two scenarios.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// The figure's name.
    pub figure: String,
    /// Its mean in the first.
    pub first: f64,
    /// Its mean in the second.
    pub second: f64,
    /// The second less the first, by pairs of one seed.
    pub difference: Interval,
    /// What that says.
    pub verdict: Verdict,
}

/// Compare figures that come in pairs; nothing for less than two of them.
pub fn paired(figure: &str, first: &[f64], second: &[f64], confidence: f64) -> Option<Difference> {
    let differences: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
    let difference = Interval::of(&differences, confidence).filter(|d| d.half.is_finite())?;
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len() as f64;
    let verdict = match difference {
        d if d.holds(0.0) => Verdict::NoDifferenceShown,
        d if d.mean > 0.0 => Verdict::Higher,
        _ => Verdict::Lower,
    };
    Some(Difference { figure: figure.into(), first: mean(first), second: mean(second), difference, verdict })
}

/// Run both with the same seeds, `count` of them from `seed` on: a row for each run.
pub fn run(first: &Scenario, second: &Scenario, seed: u64, count: u64) -> (Vec<Row>, Vec<Row>) {
    let one = |(which, k): (u64, u64)| {
        let scenario = Scenario { seed: seed + k, ..if which == 0 { first } else { second }.clone() };
        let report = sim::run(&scenario);
        Row::new(&Point { index: k as usize, values: vec![], replication: k, scenario }, &report)
    };
    let all: Vec<(u64, u64)> = (0..2).flat_map(|w| (0..count).map(move |k| (w, k))).collect();
    let mut rows: Vec<Row> = all.into_par_iter().map(one).collect();
    let second = rows.split_off(count as usize);
    (rows, second)
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let d = self.difference;
        let verdict = match self.verdict {
            Verdict::Higher => "the second is higher",
            Verdict::Lower => "the second is lower",
            Verdict::NoDifferenceShown => "no difference shown",
        };
        write!(
            f,
            "{:14} {:9.4} {:9.4}  {:+.4} ± {:.4} ({} pairs): {verdict}",
            self.figure, self.first, self.second, d.mean, d.half, d.count
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_the_pairs_bear_out_is_a_difference() {
        let (a, b) = ([1.0, 2.0, 3.0, 4.0], [1.1, 2.2, 3.1, 4.2]);
        let verdict = |a: &[f64], b: &[f64]| paired("x", a, b, 0.95).unwrap().verdict;
        assert_eq!(verdict(&a, &b), Verdict::Higher);
        assert_eq!(verdict(&b, &a), Verdict::Lower);
        assert_eq!(verdict(&a, &[1.1, 1.8, 3.1, 3.9]), Verdict::NoDifferenceShown);
        assert_eq!(verdict(&a, &a), Verdict::NoDifferenceShown);
        assert!(paired("x", &a[..1], &b[..1], 0.95).is_none());
    }
}
