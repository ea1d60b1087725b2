//! Writes results as JSON, and as an HTML page with plots.

mod page;
mod plots;

use std::fs;
use std::io;
use std::path::Path;

use crate::observer;

pub use page::write_page;

/// Writes a result to a file as indented JSON.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn write_json(path: &Path, result: &observer::RunResult) -> io::Result<()> {
    let text = serde_json::to_string_pretty(result)?;
    fs::write(path, text + "\n")
}

/// Results of a run under one policy set.
#[derive(Debug, Clone)]
pub struct PolicyRun {
    /// Name of the policy set.
    pub name: Box<str>,
    /// Figures for the table.
    pub result: observer::PolicyResult,
    /// Raw values for the plots.
    pub traces: observer::RunTraces,
}
