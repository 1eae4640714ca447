//! Parallel execution of an experiment; the resulting rows don't depend on the number of threads.
//!
//! `rows.jsonl` begins with a header line that identifies the experiment, followed by one line for each run
//! in the order of the grid. An interrupted sweep leaves complete lines and at most one incomplete line at
//! the end, which is truncated when the sweep is resumed.

use crate::experiment::{Experiment, ExperimentError, Point, METRICS};
use crate::sim;
use crate::sim::tally::Report;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

/// Why a sweep failed.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// The experiment is invalid.
    #[error("{0}")]
    Experiment(#[from] ExperimentError),
    /// A file can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// The output folder holds the rows of another experiment.
    #[error(
        "{0} holds rows of another experiment, or of another version of this one: choose another folder"
    )]
    OtherExperiment(PathBuf),
    /// A complete line is invalid; its number counts from 1.
    #[error("{0}, line {1}: {2}")]
    Row(PathBuf, usize, String),
}

/// The first line of `rows.jsonl`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    experiment: String,
    #[serde(rename = "print")]
    fingerprint: String,
    varied: Vec<String>,
    runs: usize,
}

/// Parameters and results of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Position of the run in the order of the grid.
    pub index: usize,
    /// Values of the varied parameters, in the order of [`Rows::varied`].
    pub values: Vec<String>,
    /// Number of the repetition of the grid point, from 0.
    pub replication: u64,
    /// Seed of the run.
    pub seed: u64,
    /// Metrics in the order of [`METRICS`].
    #[serde(rename = "figures")]
    pub metrics: Vec<f64>,
    /// Descriptions of the first rule violations.
    pub violations: Vec<String>,
}

impl Row {
    /// Creates the row of a run from its report.
    pub fn new(point: &Point, r: &Report) -> Row {
        let refused = r.counts.refused as f64 / r.counts.asked.max(1) as f64;
        let metrics = vec![
            r.score,
            r.service,
            r.worst_window,
            r.worst_class,
            r.worst_tenant,
            r.attempts,
            r.crossings,
            r.handshakes,
            r.waste,
            r.load,
            r.latency[0],
            r.latency[2],
            r.latency[4],
            refused,
            r.cold_crashes as f64,
            r.violation_count as f64,
        ];
        let (values, violations) = (point.values.clone(), r.violations.clone());
        Row { index: point.index, values, replication: point.replication, seed: r.seed, metrics, violations }
    }

    /// Returns the metric with this name, or `None` if [`METRICS`] has no such name.
    pub fn metric(&self, name: &str) -> Option<f64> {
        self.metrics.get(METRICS.iter().position(|m| *m == name)?).copied()
    }
}

/// The rows of all runs of an experiment that have finished.
#[derive(Clone, Debug, PartialEq)]
pub struct Rows {
    /// Name of the experiment.
    pub name: String,
    /// Names of the varied parameters.
    pub varied: Vec<String>,
    /// One row for each run, in the order of the grid.
    pub rows: Vec<Row>,
}

fn file_error(path: &Path) -> impl Fn(std::io::Error) -> SweepError + '_ {
    move |e| SweepError::File(path.to_path_buf(), e)
}

/// Reads the complete lines of a file and returns them with their total length in bytes.
fn complete_lines(path: &Path) -> Result<(Vec<String>, u64), SweepError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok((Vec::new(), 0)),
        Err(e) => return Err(SweepError::File(path.to_path_buf(), e)),
    };
    let (mut reader, mut lines, mut bytes) = (BufReader::new(file), Vec::new(), 0);
    loop {
        let mut line = Vec::new();
        reader.read_until(b'\n', &mut line).map_err(file_error(path))?;
        // A line whose write was interrupted lacks its newline or is not valid UTF-8.
        let Some(text) = line.strip_suffix(b"\n").and_then(|l| std::str::from_utf8(l).ok()) else { break };
        bytes += line.len() as u64;
        lines.push(text.to_string());
    }
    Ok((lines, bytes))
}

fn parse_rows(path: &Path, lines: &[String]) -> Result<Vec<Row>, SweepError> {
    let mut rows = Vec::new();
    for (k, line) in lines.iter().enumerate() {
        let row_error = |reason: String| SweepError::Row(path.to_path_buf(), k + 2, reason);
        let row: Row = serde_json::from_str(line).map_err(|e| row_error(e.to_string()))?;
        if row.index != k || row.metrics.len() != METRICS.len() {
            return Err(row_error(format!("the row is that of run {}, expected run {k}", row.index)));
        }
        rows.push(row);
    }
    Ok(rows)
}

/// Reads the rows of an output folder.
///
/// # Errors
/// The folder has no file of rows, or it is invalid.
pub fn read(dir: &Path) -> Result<Rows, SweepError> {
    let path = dir.join("rows.jsonl");
    let (lines, _) = complete_lines(&path)?;
    let first = lines.first().and_then(|l| serde_json::from_str::<Header>(l).ok());
    let Some(header) = first else {
        return Err(SweepError::Row(path, 1, "the header line is missing or invalid".into()));
    };
    let rows = parse_rows(&path, &lines[1..])?;
    Ok(Rows { name: header.experiment, varied: header.varied, rows })
}

/// Runs those points of an experiment that have no row in the folder `dir` yet. `progress` is called with the
/// number of finished runs and the total number of runs.
///
/// # Errors
/// See [`SweepError`]; rows that are already written are kept.
pub fn sweep(
    experiment: &Experiment,
    dir: &Path,
    mut progress: impl FnMut(usize, usize),
) -> Result<Rows, SweepError> {
    let points = experiment.points()?;
    let header = Header {
        experiment: experiment.name.clone(),
        fingerprint: format!("{:016x}", experiment.fingerprint()),
        varied: experiment.vary.iter().map(|v| v.name()).collect(),
        runs: points.len(),
    };
    fs::create_dir_all(dir).map_err(file_error(dir))?;
    let path = dir.join("rows.jsonl");
    let (lines, bytes) = complete_lines(&path)?;
    let header_line =
        serde_json::to_string(&header).map_err(|e| SweepError::Row(path.clone(), 1, e.to_string()))?;
    let mut rows = match lines.first() {
        Some(first) if *first == header_line => parse_rows(&path, &lines[1..])?,
        Some(_) => return Err(SweepError::OtherExperiment(path)),
        None => Vec::new(),
    };
    let mut file = OpenOptions::new().create(true).append(true).open(&path).map_err(file_error(&path))?;
    file.set_len(bytes).map_err(file_error(&path))?;
    if lines.is_empty() {
        writeln!(file, "{header_line}").map_err(file_error(&path))?;
    }
    progress(rows.len(), points.len());
    // Several runs per thread in a batch keep all threads busy; the rows of a batch are written together, in
    // order.
    let batch_size = 4 * rayon::current_num_threads();
    while rows.len() < points.len() {
        let batch = &points[rows.len()..(rows.len() + batch_size).min(points.len())];
        let run = |p: &Point| Row::new(p, &sim::run(&p.scenario));
        let new_rows: Vec<Row> = batch.par_iter().map(run).collect();
        let mut text = Vec::new();
        for row in &new_rows {
            serde_json::to_writer(&mut text, row)
                .map_err(|e| SweepError::Row(path.clone(), row.index + 2, e.to_string()))?;
            text.push(b'\n');
        }
        file.write_all(&text).and_then(|()| file.flush()).map_err(file_error(&path))?;
        rows.extend(new_rows);
        progress(rows.len(), points.len());
    }
    let rows = Rows { name: header.experiment, varied: header.varied, rows };
    write_csv(&rows, &dir.join("rows.csv"))?;
    Ok(rows)
}

/// Writes the rows as CSV; an error leaves an existing file unchanged.
fn write_csv(rows: &Rows, path: &Path) -> Result<(), SweepError> {
    let csv_error = |e: csv::Error| SweepError::File(path.to_path_buf(), e.into());
    let mut writer = csv::Writer::from_writer(Vec::new());
    let names = rows.varied.iter().map(String::as_str).chain(["replication", "seed"]).chain(METRICS);
    writer.write_record(names).map_err(csv_error)?;
    for row in &rows.rows {
        let metrics = row.metrics.iter().map(f64::to_string);
        let run = [row.replication.to_string(), row.seed.to_string()];
        writer.write_record(row.values.iter().cloned().chain(run).chain(metrics)).map_err(csv_error)?;
    }
    let text = writer.into_inner().map_err(|e| SweepError::File(path.to_path_buf(), e.into_error()))?;
    let temporary = path.with_extension("csv.new");
    fs::write(&temporary, text).and_then(|()| fs::rename(&temporary, path)).map_err(file_error(path))
}
