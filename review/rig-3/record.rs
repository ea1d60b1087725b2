//! The record of a script: what was sent, answered and run.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<fs::File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = fs::File::create(path).expect("a writable folder");
        Self {
            file: Mutex::new(file),
            began: Instant::now(),
        }
    }

    /// Returns the seconds from the start of the script to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds(Instant::now()));
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
