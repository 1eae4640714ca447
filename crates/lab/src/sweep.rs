//! Running an experiment on all cores, with rows that don't show how many there were.
//!
//! `rows.jsonl` begins with a line that says whose rows these are; then comes a line for each run, in the
//! order of the grid. A run that is cut off leaves whole lines and at most one torn one, which is cut off
//! when the sweep goes on.

use crate::experiment::{Experiment, ExperimentError, Point, FIGURES};
use crate::sim;
use crate::sim::tally::Report;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};

/// Why a sweep could not go on.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// The experiment is wrong.
    #[error("{0}")]
    Experiment(#[from] ExperimentError),
    /// A file can't be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// The rows there are another experiment's.
    #[error("{0} holds rows of another experiment, or of another version of this one: name another folder")]
    Others(PathBuf),
    /// A whole line in the middle makes no sense.
    #[error("{0}, line {1}: {2}")]
    Row(PathBuf, usize, String),
}

/// The first line of a file of rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Header {
    experiment: String,
    print: String,
    varied: Vec<String>,
    runs: usize,
}

/// One run and what it came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Its place.
    pub index: usize,
    /// The value of each thing that was varied.
    pub values: Vec<String>,
    /// From 0.
    pub replication: u64,
    /// The seed.
    pub seed: u64,
    /// Figures in the order of [`FIGURES`].
    pub figures: Vec<f64>,
    /// The first broken rules.
    pub violations: Vec<String>,
}

impl Row {
    /// The row of a run.
    pub fn new(point: &Point, r: &Report) -> Row {
        let refused = r.counts.refused as f64 / r.counts.asked.max(1) as f64;
        let figures = vec![
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
        Row { index: point.index, values, replication: point.replication, seed: r.seed, figures, violations }
    }

    /// The figure of that name; see [`FIGURES`].
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.get(FIGURES.iter().position(|f| *f == name)?).copied()
    }
}

/// All rows of an experiment.
#[derive(Clone, Debug, PartialEq)]
pub struct Rows {
    /// The experiment's name.
    pub name: String,
    /// What was varied.
    pub varied: Vec<String>,
    /// In the order of the grid.
    pub rows: Vec<Row>,
}

fn fail(path: &Path) -> impl Fn(std::io::Error) -> SweepError + '_ {
    move |e| SweepError::File(path.to_path_buf(), e)
}

/// The whole lines of a file, and how many bytes they are.
fn whole_lines(path: &Path) -> Result<(Vec<String>, u64), SweepError> {
    let file = match File::open(path) {
        Ok(file) => file,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok((Vec::new(), 0)),
        Err(e) => return Err(SweepError::File(path.to_path_buf(), e)),
    };
    let (mut reader, mut lines, mut bytes) = (BufReader::new(file), Vec::new(), 0);
    loop {
        let mut line = Vec::new();
        reader.read_until(b'\n', &mut line).map_err(fail(path))?;
        // What was being written when the sweep was killed has no end, or isn't text yet.
        let Some(text) = line.strip_suffix(b"\n").and_then(|l| std::str::from_utf8(l).ok()) else { break };
        bytes += line.len() as u64;
        lines.push(text.to_string());
    }
    Ok((lines, bytes))
}

fn rows_of(path: &Path, lines: &[String]) -> Result<Vec<Row>, SweepError> {
    let mut rows = Vec::new();
    for (k, line) in lines.iter().enumerate() {
        let bad = |why: String| SweepError::Row(path.to_path_buf(), k + 2, why);
        let row: Row = serde_json::from_str(line).map_err(|e| bad(e.to_string()))?;
        if row.index != k || row.figures.len() != FIGURES.len() {
            return Err(bad(format!("it is the row of run {}, not of {k}", row.index)));
        }
        rows.push(row);
    }
    Ok(rows)
}

/// Read the rows of a folder.
///
/// # Errors
/// There are none, or they make no sense.
pub fn read(dir: &Path) -> Result<Rows, SweepError> {
    let path = dir.join("rows.jsonl");
    let (lines, _) = whole_lines(&path)?;
    let first = lines.first().and_then(|l| serde_json::from_str::<Header>(l).ok());
    let Some(header) = first else {
        return Err(SweepError::Row(path, 1, "this is no file of rows".into()));
    };
    let rows = rows_of(&path, &lines[1..])?;
    Ok(Rows { name: header.experiment, varied: header.varied, rows })
}

/// Run what of an experiment has no row in the folder yet. `step` is told how many runs have one, and of how many.
///
/// # Errors
/// See [`SweepError`]; rows that were written stay.
pub fn sweep(
    experiment: &Experiment,
    dir: &Path,
    mut step: impl FnMut(usize, usize),
) -> Result<Rows, SweepError> {
    let points = experiment.points()?;
    let header = Header {
        experiment: experiment.name.clone(),
        print: format!("{:016x}", experiment.print()),
        varied: experiment.vary.iter().map(|v| v.name()).collect(),
        runs: points.len(),
    };
    fs::create_dir_all(dir).map_err(fail(dir))?;
    let path = dir.join("rows.jsonl");
    let (lines, bytes) = whole_lines(&path)?;
    let told = serde_json::to_string(&header).map_err(|e| SweepError::Row(path.clone(), 1, e.to_string()))?;
    let mut rows = match lines.first() {
        Some(first) if *first == told => rows_of(&path, &lines[1..])?,
        Some(_) => return Err(SweepError::Others(path)),
        None => Vec::new(),
    };
    let mut file = OpenOptions::new().create(true).append(true).open(&path).map_err(fail(&path))?;
    file.set_len(bytes).map_err(fail(&path))?;
    if lines.is_empty() {
        writeln!(file, "{told}").map_err(fail(&path))?;
    }
    step(rows.len(), points.len());
    // As many at a time as keep the threads busy; their rows are written together, in order.
    let batch = 4 * rayon::current_num_threads();
    while rows.len() < points.len() {
        let some = &points[rows.len()..(rows.len() + batch).min(points.len())];
        let run = |p: &Point| Row::new(p, &sim::run(&p.scenario));
        let done: Vec<Row> = some.par_iter().map(run).collect();
        let mut text = Vec::new();
        for row in &done {
            serde_json::to_writer(&mut text, row)
                .map_err(|e| SweepError::Row(path.clone(), row.index + 2, e.to_string()))?;
            text.push(b'\n');
        }
        file.write_all(&text).and_then(|()| file.flush()).map_err(fail(&path))?;
        rows.extend(done);
        step(rows.len(), points.len());
    }
    let rows = Rows { name: header.experiment, varied: header.varied, rows };
    table(&rows, &dir.join("rows.csv"))?;
    Ok(rows)
}

/// Write rows as a table, whole or not at all.
fn table(rows: &Rows, path: &Path) -> Result<(), SweepError> {
    let bad = |e: csv::Error| SweepError::File(path.to_path_buf(), e.into());
    let mut writer = csv::Writer::from_writer(Vec::new());
    let names = rows.varied.iter().map(String::as_str).chain(["replication", "seed"]).chain(FIGURES);
    writer.write_record(names).map_err(bad)?;
    for row in &rows.rows {
        let figures = row.figures.iter().map(f64::to_string);
        let own = [row.replication.to_string(), row.seed.to_string()];
        writer.write_record(row.values.iter().cloned().chain(own).chain(figures)).map_err(bad)?;
    }
    let text = writer.into_inner().map_err(|e| SweepError::File(path.to_path_buf(), e.into_error()))?;
    let beside = path.with_extension("csv.new");
    fs::write(&beside, text).and_then(|()| fs::rename(&beside, path)).map_err(fail(path))
}
