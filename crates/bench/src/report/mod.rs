//! Results as JSON.

use std::fs;
use std::io;
use std::path::Path;

use crate::observer;

/// Writes a result as indented JSON.
///
/// # Errors
///
/// The file can't be written.
pub fn write_json(path: &Path, result: &observer::RunResult) -> io::Result<()> {
    let text = serde_json::to_string_pretty(result)?;
    fs::write(path, text + "\n")
}
