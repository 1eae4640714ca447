//! The record of a run: what was sent, answered and run, one line each, with the time since the start of the run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A file of events, shared by all stand-ins of a run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, in place of that of an earlier run.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Returns the time since the start of the run, in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1e3
    }

    /// Writes one event.
    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} {text}\n", self.now_ms());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    /// Writes one event, and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
