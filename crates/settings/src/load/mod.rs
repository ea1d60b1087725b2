//! Loading of settings from their text.

use kingcupfall_document::reader;

/// Reads settings from TOML.
///
/// # Errors
///
/// All findings with their places: syntax errors, unknown keys, wrong types and units, values out
/// of range, malformed addresses.
pub fn load<T: reader::TableValue>(text: &str) -> crate::Result<T> {
    let outcome = reader::read_text::<T>(text);

    match outcome.value {
        Some(value) if outcome.findings.is_empty() => Ok(value),
        Some(_) | None => Err(outcome.findings),
    }
}
