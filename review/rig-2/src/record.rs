//! The record of what was sent, answered and run.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start, shared by all threads.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line.
    pub fn note(&self, line: impl Into<String>) {
        let seconds = self.started_at.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} s  {}", line.into());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap();
        fs::write(path, format!("{}\n", lines.join("\n")))
    }
}
