//! Loads settings from TOML text.

use kingcupfall_document::reader;

/// Reads settings from TOML text.
///
/// # Errors
///
/// Returns all findings with their positions: syntax errors, missing and unknown keys, wrong types
/// and units, values out of range, and malformed or repeated addresses.
pub fn load<T: reader::TableValue>(text: &str) -> crate::Result<T> {
    let outcome = reader::read_text::<T>(text);

    match outcome.value {
        Some(value) if outcome.findings.is_empty() => Ok(value),
        Some(_) | None => Err(outcome.findings),
    }
}
