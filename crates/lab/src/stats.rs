//! Means with their confidence intervals.

use serde::{Deserialize, Serialize};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A mean of independent figures and half the width of its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Interval {
    /// The mean.
    pub mean: f64,
    /// Half the width; infinite for a single figure.
    pub half: f64,
    /// How many figures.
    pub count: usize,
}

impl Interval {
    /// The interval of that confidence (0.99, say) by Student's t; nothing for no figures.
    pub fn of(figures: &[f64], confidence: f64) -> Option<Interval> {
        let count = figures.len();
        let n = count as f64;
        let mean = figures.iter().sum::<f64>() / n;
        if count == 0 {
            return None;
        }
        let square: f64 = figures.iter().map(|x| (x - mean) * (x - mean)).sum();
        let t = StudentsT::new(0.0, 1.0, n - 1.0).ok().filter(|_| count > 1);
        let half = t.map_or(f64::INFINITY, |t| {
            t.inverse_cdf(0.5 + confidence / 2.0) * (square / (n - 1.0) / n).sqrt()
        });
        Some(Interval { mean, half, count })
    }

    /// Whether a figure lies in it.
    pub fn holds(&self, figure: f64) -> bool {
        (figure - self.mean).abs() <= self.half
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The textbook figure: t of 9 degrees of freedom at 95% is 2.262.
    #[test]
    fn the_interval_is_students() {
        let figures: Vec<f64> = (1..=10).map(f64::from).collect();
        let i = Interval::of(&figures, 0.95).unwrap();
        assert!((i.mean - 5.5).abs() < 1e-12);
        assert!((i.half - 2.262_157 * (9.166_667f64 / 10.0).sqrt()).abs() < 1e-4, "{i:?}");
        assert!(Interval::of(&[], 0.95).is_none());
        assert!(Interval::of(&[3.0], 0.95).unwrap().half.is_infinite());
    }
}
