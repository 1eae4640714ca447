//! Experiments: one scenario over a grid of changes, each point several times.

use crate::scenario::{self, Scenario};
use shorepath_scheduler::name_hash;
use shorepath_sexp::splice::{self, SpliceError};
use shorepath_sexp::{Form, ParseErrors};
use std::path::{Path, PathBuf};

/// Runs that one experiment may have.
const MOST: usize = 1_000_000;

/// Why an experiment can't be run.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// A file can't be read.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// A file says something wrong.
    #[error("{0}")]
    Complaints(#[from] ParseErrors),
    /// A change can't be made.
    #[error("{0}: {1}")]
    Change(String, SpliceError),
    /// A change makes a scenario that says something wrong.
    #[error("with {change}:\n{complaints}")]
    Changed {
        /// The change.
        change: String,
        /// What is wrong then.
        complaints: ParseErrors,
    },
    /// There are too many points.
    #[error("the grid has {0} runs; {MOST} at most")]
    TooLarge(usize),
}

/// Something that is varied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vary {
    /// Names of lists from the scenario inwards.
    pub path: Vec<String>,
    /// What follows the last name, in turn.
    pub values: Vec<String>,
}

impl Vary {
    /// Its name in tables: `arrivals.rate`.
    pub fn name(&self) -> String {
        self.path.join(".")
    }
}

/// An experiment as read, with the text of its scenario.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Where its scenario stands.
    pub scenario: PathBuf,
    /// The scenario's text with the experiment's own changes made.
    pub text: String,
    /// What is varied; the last varies fastest.
    pub vary: Vec<Vary>,
    /// Runs of each point.
    pub replications: u64,
    /// The seed of the first replication; the others follow on. All points share them.
    pub seed: u64,
    /// The figures that plots and comparisons show, by their names in a row.
    pub show: Vec<String>,
}

/// One run of an experiment.
#[derive(Clone, Debug)]
pub struct Point {
    /// Its place in the order of rows.
    pub index: usize,
    /// The value of each thing that is varied.
    pub values: Vec<String>,
    /// From 0.
    pub replication: u64,
    /// What is run.
    pub scenario: Scenario,
}

fn vary(f: &Form) -> Vary {
    let inner = f.given("of", |f| Some(f.symbols("a list's name")));
    let path = inner.unwrap_or_else(|| path_of(&f.symbol("what is varied")));
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

/// `servers.count` names lists from the scenario inwards.
pub fn path_of(word: &str) -> Vec<String> {
    word.split('.').map(str::to_string).collect()
}

/// What `set` and `vary` write after a list's name: `(80)` stands for several words, others for themselves.
fn written(value: &str) -> &str {
    value.strip_prefix('(').and_then(|v| v.strip_suffix(')')).unwrap_or(value)
}

/// Make one change to a scenario's text.
///
/// # Errors
/// Where the text can't be read.
pub fn change(text: &str, path: &[String], value: &str) -> Result<String, ExperimentError> {
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    splice::set(text, &path, written(value)).map_err(|e| ExperimentError::Change(path.join("."), e))
}

fn load(path: &Path) -> Result<String, ExperimentError> {
    std::fs::read_to_string(path).map_err(|e| ExperimentError::File(path.to_path_buf(), e))
}

/// Read a scenario's file.
///
/// # Errors
/// The file can't be read, or says something wrong.
pub fn scenario_file(path: &Path) -> Result<(Scenario, String), ExperimentError> {
    let text = load(path)?;
    Ok((scenario::read(&path.display().to_string(), &text)?, text))
}

impl Experiment {
    /// Read an experiment and its scenario, and try every point of the grid.
    ///
    /// # Errors
    /// Everything that is wrong with one of them.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let text = load(path)?;
        let read = shorepath_sexp::read(&path.display().to_string(), &text, "experiment", |f| {
            let sets = f
                .many("set")
                .iter()
                .map(|f| (path_of(&f.symbol("what is set")), f.rest()))
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
            for name in experiment.show.iter().filter(|n| !FIGURES.contains(&n.as_str())) {
                f.add_error(format!("{name} is no figure; known: {}", FIGURES.join(", ")));
            }
            if experiment.scenario.as_os_str().is_empty() {
                f.add_error("an experiment needs (scenario FILE)");
            }
            (experiment, sets)
        })?;
        let (mut experiment, sets) = read;
        experiment.scenario = path.parent().unwrap_or(Path::new("")).join(&experiment.scenario);
        experiment.text = load(&experiment.scenario)?;
        scenario::read(&experiment.scenario.display().to_string(), &experiment.text)?;
        for (path, values) in sets {
            experiment.text = change(&experiment.text, &path, &values.join(" "))?;
        }
        if experiment.show.is_empty() {
            experiment.show = vec!["score".into(), "service".into()];
        }
        experiment.points()?;
        Ok(experiment)
    }

    /// The number of grid points, replications not counted.
    fn size(&self) -> usize {
        self.vary.iter().map(|v| v.values.len()).product()
    }

    /// All runs in the order of their rows.
    ///
    /// # Errors
    /// A point of the grid makes no scenario, or there are too many.
    pub fn points(&self) -> Result<Vec<Point>, ExperimentError> {
        let runs = self.size().saturating_mul(self.replications as usize);
        if runs > MOST {
            return Err(ExperimentError::TooLarge(runs));
        }
        let mut points = Vec::with_capacity(runs);
        for k in 0..self.size() {
            let (mut rest, mut values, mut text) = (k, Vec::new(), self.text.clone());
            for vary in self.vary.iter().rev() {
                values.push(vary.values[rest % vary.values.len()].clone());
                rest /= vary.values.len();
            }
            values.reverse();
            for (vary, value) in self.vary.iter().zip(&values) {
                text = change(&text, &vary.path, value)?;
            }
            let told = || {
                let each = self.vary.iter().zip(&values).map(|(v, x)| format!("{} = {x}", v.name()));
                each.collect::<Vec<_>>().join(", ")
            };
            let file = self.scenario.display().to_string();
            let scenario = scenario::read(&file, &text)
                .map_err(|complaints| ExperimentError::Changed { change: told(), complaints })?;
            for replication in 0..self.replications {
                let scenario = Scenario { seed: self.seed + replication, ..scenario.clone() };
                points.push(Point { index: points.len(), values: values.clone(), replication, scenario });
            }
        }
        Ok(points)
    }

    /// What tells its rows from those of another, or of another version of it.
    pub fn print(&self) -> u64 {
        name_hash(&format!("{}\n{:?}\n{}\n{}", self.text, self.vary, self.replications, self.seed))
    }
}

/// Figures of a row, by name.
pub const FIGURES: [&str; 16] = [
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
