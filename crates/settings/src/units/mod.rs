//! Durations and sizes in settings, which are written as a whole number and a unit.

mod duration;
mod size;

pub use duration::DurationText;
pub use size::SizeText;

use std::result;

use quick_error::quick_error;

quick_error! {
    /// Reason why a number with a unit could not be parsed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum UnitError {
        /// The text is not a whole number followed by a unit.
        Malformed(units: &'static str) {
            display("is not a whole number with a unit; the units are {}", units)
        }
        /// The unit is not known.
        UnknownUnit(unit: Box<str>, units: &'static str) {
            display("has the unknown unit {:?}; the units are {}", unit, units)
        }
        /// The value does not fit into 64 bits.
        TooLarge {
            display("is too large: the value does not fit into 64 bits")
        }
    }
}

/// Result of parsing a number with a unit.
pub type Result<T> = result::Result<T, UnitError>;

/// Parses a whole number followed by a unit, such as `250ms`, and returns the number multiplied by
/// the factor of the unit.
///
/// `units` holds the name and factor of each unit; `unit_names` lists the names for error messages.
fn parse_number(
    text: &str,
    units: &[(&'static str, u64)],
    unit_names: &'static str,
) -> Result<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    if number.is_empty() || unit.is_empty() {
        return Err(UnitError::Malformed(unit_names));
    }

    let factor = units
        .iter()
        .find(|(name, _)| *name == unit)
        .map(|(_, factor)| *factor)
        .ok_or_else(|| UnitError::UnknownUnit(unit.into(), unit_names))?;
    let number: u64 = number.parse().map_err(|_| UnitError::TooLarge)?;
    number.checked_mul(factor).ok_or(UnitError::TooLarge)
}

/// Formats `value` as a whole number of the largest unit that divides it, and zero in the smallest
/// unit. `units` must be in ascending order and start with a factor of 1.
fn format_number(value: u64, units: &[(&'static str, u64)]) -> Box<str> {
    let is_divisible = |factor: u64| value > 0 && value.is_multiple_of(factor);
    let (name, factor) = units
        .iter()
        .rev()
        .copied()
        .find(|(_, factor)| is_divisible(*factor))
        .unwrap_or(units[0]);

    format!("{}{name}", value / factor).into()
}
