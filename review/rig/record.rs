//! The record of what was sent, answered and run.

use std::fmt::Display;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    origin: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Self {
            origin: Instant::now(),
            file: Mutex::new(File::create(folder.join("record.txt"))?),
        })
    }

    /// Returns the seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.origin.elapsed().as_secs_f64()
    }

    /// Writes a line: the time in seconds, who saw it, and what.
    pub fn line(&self, actor: &str, text: impl Display) {
        let line = format!("{:8.3} {actor}: {text}\n", self.seconds());
        let mut file = self.file.lock().unwrap();
        // The result of the run does not depend on the record.
        let _ = file.write_all(line.as_bytes());
    }
}
