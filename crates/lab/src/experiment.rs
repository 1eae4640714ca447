//! Experiments: runs of one scenario over a grid of parameter values, with several replications of each
//! point.

use crate::scenario::{self, Scenario};
use shorepath_scheduler::name_hash;
use shorepath_sexp::splice::{self, SpliceError};
use shorepath_sexp::{Form, ParseErrors};
use std::path::{Path, PathBuf};

/// The maximum number of runs of one experiment.
const MAX_RUNS: usize = 1_000_000;

/// Why an experiment can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file can't be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file is invalid.
    #[error("{0}")]
    Invalid(#[from] ParseErrors),
    /// A parameter can't be set; the first field is its path.
    #[error("{0}: {1}")]
    Set(String, SpliceError),
    /// The scenario is invalid at a point of the grid.
    #[error("with {values}:\n{errors}")]
    InvalidPoint {
        /// The values of the varied parameters at that point.
        values: String,
        /// The errors of the resulting scenario.
        errors: ParseErrors,
    },
    /// The grid has too many runs.
    #[error("the grid has {0} runs; {MAX_RUNS} at most")]
    TooLarge(usize),
}

/// A parameter that is varied.
///
/// [`Experiment::fingerprint`] includes the `Debug` output of this type: a change of its names would make
/// stored rows unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vary {
    /// Names of the nested lists in the scenario, from the outermost to the innermost.
    pub path: Vec<String>,
    /// Values of the innermost list, one for each step of the grid.
    pub values: Vec<String>,
}

impl Vary {
    /// Returns the dotted name used in tables, such as `arrivals.rate`.
    pub fn name(&self) -> String {
        self.path.join(".")
    }
}

/// A validated experiment with the text of its scenario.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Name of the experiment in reports.
    pub name: String,
    /// Path of the scenario's file.
    pub scenario: PathBuf,
    /// Text of the scenario after the experiment's `set` forms have been applied.
    pub text: String,
    /// The varied parameters; the last one changes fastest.
    pub vary: Vec<Vary>,
    /// Number of runs of each grid point.
    pub replications: u64,
    /// Seed of the first replication, incremented for each further one. All grid points use the same seeds.
    pub seed: u64,
    /// Names of the metrics that plots and comparisons show.
    pub show: Vec<String>,
}

/// One run of an experiment: a grid point with the seed of one replication.
#[derive(Clone, Debug)]
pub struct Point {
    /// Position of the run in the order of the grid.
    pub index: usize,
    /// Values of the varied parameters, in the order of [`Experiment::vary`].
    pub values: Vec<String>,
    /// Number of the repetition of the grid point, from 0.
    pub replication: u64,
    /// The scenario with the values and the seed of this run.
    pub scenario: Scenario,
}

fn vary(f: &Form) -> Vary {
    let nested_names = f.given("of", |f| Some(f.symbols("a list's name")));
    let path = nested_names.unwrap_or_else(|| split_path(&f.symbol("a parameter's path")));
    let values = match f.given("over", |f| Some(f.rest())) {
        Some(values) if !values.is_empty() => values,
        _ => {
            f.add_error("(vary ...) needs (over VALUE ...)");
            vec![]
        }
    };
    f.finish();
    Vary { path, values }
}

/// Splits a dotted path such as `servers.count` into the names of nested lists.
pub fn split_path(path: &str) -> Vec<String> {
    path.split('.').map(str::to_string).collect()
}

/// Strips the parentheses of a value that consists of several words, such as `(80 ms)`; other values stay as
/// they are.
fn without_parentheses(value: &str) -> &str {
    value.strip_prefix('(').and_then(|v| v.strip_suffix(')')).unwrap_or(value)
}

/// Returns a scenario's text with the list at `path` set to `value`.
///
/// # Errors
/// The text can't be parsed, or the value can't be set.
pub fn set_value(text: &str, path: &[String], value: &str) -> Result<String, ExperimentError> {
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    splice::set(text, &path, without_parentheses(value)).map_err(|e| ExperimentError::Set(path.join("."), e))
}

fn read_file(path: &Path) -> Result<String, ExperimentError> {
    std::fs::read_to_string(path).map_err(|e| ExperimentError::File(path.to_path_buf(), e))
}

/// Reads a scenario from a file and returns it with its text.
///
/// # Errors
/// The file can't be read, or is invalid.
pub fn read_scenario(path: &Path) -> Result<(Scenario, String), ExperimentError> {
    let text = read_file(path)?;
    Ok((scenario::read(&path.display().to_string(), &text)?, text))
}

impl Experiment {
    /// Reads an experiment and its scenario from files and validates the scenario at every point of the grid.
    ///
    /// # Errors
    /// A file can't be read, a file is invalid, or the scenario is invalid at a point of the grid.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = read_file(path)?;
        let read = shorepath_sexp::read(&path.display().to_string(), &text, "experiment", |f| {
            let sets = f
                .many("set")
                .iter()
                .map(|f| (split_path(&f.symbol("a parameter's path")), f.rest()))
                .collect::<Vec<_>>();
            let experiment = Experiment {
                name: f.text("name", "unnamed"),
                scenario: PathBuf::from(f.text("scenario", "")),
                text: String::new(),
                vary: f.many("vary").iter().map(vary).collect(),
                replications: f.count("replications", 1, 1..=10_000),
                seed: f.count("seed", 1, 0..=1_000_000_000),
                show: f.given("show", |f| Some(f.symbols("a figure's name"))).unwrap_or_default(),
            };
            for name in experiment.show.iter().filter(|n| !METRICS.contains(&n.as_str())) {
                f.add_error(format!("{name} is not a known figure; known: {}", METRICS.join(", ")));
            }
            if experiment.scenario.as_os_str().is_empty() {
                f.add_error("an experiment needs (scenario FILE)");
            }
            (experiment, sets)
        })?;
        let (mut experiment, sets) = read;
        experiment.scenario = path.parent().unwrap_or(Path::new("")).join(&experiment.scenario);
        experiment.text = read_file(&experiment.scenario)?;
        scenario::read(&experiment.scenario.display().to_string(), &experiment.text)?;
        for (path, values) in sets {
            experiment.text = set_value(&experiment.text, &path, &values.join(" "))?;
        }
        if experiment.show.is_empty() {
            experiment.show = vec!["score".into(), "service".into()];
        }
        experiment.points()?;
        Ok(experiment)
    }

    /// Returns the number of grid points, without replications.
    fn grid_size(&self) -> usize {
        self.vary.iter().map(|v| v.values.len()).product()
    }

    /// Returns all runs in the order of the grid.
    ///
    /// # Errors
    /// The scenario is invalid at a point of the grid, or there are too many runs.
    pub fn points(&self) -> Result<Vec<Point>, ExperimentError> {
        let runs = self.grid_size().saturating_mul(self.replications as usize);
        if runs > MAX_RUNS {
            return Err(ExperimentError::TooLarge(runs));
        }
        let mut points = Vec::with_capacity(runs);
        for k in 0..self.grid_size() {
            let (mut rest, mut values, mut text) = (k, Vec::new(), self.text.clone());
            for vary in self.vary.iter().rev() {
                values.push(vary.values[rest % vary.values.len()].clone());
                rest /= vary.values.len();
            }
            values.reverse();
            for (vary, value) in self.vary.iter().zip(&values) {
                text = set_value(&text, &vary.path, value)?;
            }
            let describe_values = || {
                let assignments = self.vary.iter().zip(&values).map(|(v, x)| format!("{} = {x}", v.name()));
                assignments.collect::<Vec<_>>().join(", ")
            };
            let file = self.scenario.display().to_string();
            let scenario = scenario::read(&file, &text)
                .map_err(|errors| ExperimentError::InvalidPoint { values: describe_values(), errors })?;
            for replication in 0..self.replications {
                let scenario = Scenario { seed: self.seed + replication, ..scenario.clone() };
                points.push(Point { index: points.len(), values: values.clone(), replication, scenario });
            }
        }
        Ok(points)
    }

    /// Returns a hash that identifies this version of the experiment in stored rows.
    pub fn fingerprint(&self) -> u64 {
        name_hash(&format!("{}\n{:?}\n{}\n{}", self.text, self.vary, self.replications, self.seed))
    }
}

/// Names of the metrics of a row, in their order.
pub const METRICS: [&str; 16] = [
    "score",
    "service",
    "worst-window",
    "worst-class",
    "worst-tenant",
    "attempts",
    "crossings",
    "handshakes",
    "waste",
    "load",
    "p50",
    "p99",
    "mean",
    "refused",
    "fell",
    "broken",
];
