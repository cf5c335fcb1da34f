//! The record of what was sent, answered and run, with the time of each event.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Returns the time of a moment in milliseconds since the start of the record.
    pub fn millis(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64() * 1e3
    }

    pub fn note(&self, event: &str) {
        let millis = self.millis(Instant::now());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that can't be written doesn't change the result of the run.
        let _ = writeln!(file, "{millis:10.1} ms  {event}");
    }
}
