//! Means with confidence intervals.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The mean of independent samples and its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// Arithmetic mean of the samples.
    pub mean: f64,
    /// Half the width of the interval; infinite for a single sample.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// Number of samples.
    pub count: usize,
}

impl Interval {
    /// Computes the interval at a confidence level such as 0.99 from Student's t-distribution; `None` without
    /// samples.
    pub fn of(samples: &[f64], confidence: f64) -> Option<Interval> {
        let count = samples.len();
        let n = count as f64;
        let mean = samples.iter().sum::<f64>() / n;
        if count == 0 {
            return None;
        }
        let squares: f64 = samples.iter().map(|x| (x - mean) * (x - mean)).sum();
        let t = StudentsT::new(0.0, 1.0, n - 1.0).ok().filter(|_| count > 1);
        let half_width = t.map_or(f64::INFINITY, |t| {
            t.inverse_cdf(0.5 + confidence / 2.0) * (squares / (n - 1.0) / n).sqrt()
        });
        Some(Interval { mean, half_width, count })
    }

    /// Returns whether a value lies within the interval.
    pub fn contains(&self, value: f64) -> bool {
        (value - self.mean).abs() <= self.half_width
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The t-quantile with 9 degrees of freedom at 95% is 2.262.
    #[test]
    fn interval_uses_students_t_distribution() {
        let samples: Vec<f64> = (1..=10).map(f64::from).collect();
        let interval = Interval::of(&samples, 0.95).unwrap();
        assert!((interval.mean - 5.5).abs() < 1e-12);
        assert!(
            (interval.half_width - 2.262_157 * (9.166_667f64 / 10.0).sqrt()).abs() < 1e-4,
            "{interval:?}"
        );
        assert!(Interval::of(&[], 0.95).is_none());
        assert!(Interval::of(&[3.0], 0.95).unwrap().half_width.is_infinite());
    }
}
