//! Results as JSON, and as a page with plots.

mod page;
mod plots;

use std::fs;
use std::io;
use std::path::Path;

use crate::observer;

pub use page::write_page;

/// Writes a result as indented JSON.
///
/// # Errors
///
/// The file can't be written.
pub fn write_json(path: &Path, result: &observer::RunResult) -> io::Result<()> {
    let text = serde_json::to_string_pretty(result)?;
    fs::write(path, text + "\n")
}

/// Figures and raw values of one policy.
#[derive(Debug, Clone)]
pub struct PolicyRun {
    /// Name of the policy.
    pub name: Box<str>,
    /// Its figures.
    pub result: observer::PolicyResult,
    /// Its raw values.
    pub traces: observer::RunTraces,
}
