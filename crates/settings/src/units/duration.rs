//! Durations with a unit, such as `250ms`.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use super::UnitError;
use super::format_number;
use super::parse_number;

/// Units with their length in milliseconds, in ascending order.
const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("min", 60_000), ("h", 3_600_000)];
const UNIT_NAMES: &str = "ms, s, min and h";

/// A duration in whole milliseconds, written with a unit: `250ms`, `1s`, `5min`, `2h`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct DurationText(u64);

impl DurationText {
    /// Creates a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the duration as a standard `Duration`.
    pub const fn get(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl FromStr for DurationText {
    type Err = UnitError;

    fn from_str(text: &str) -> super::Result<Self> {
        parse_number(text, &UNITS, UNIT_NAMES).map(Self)
    }
}

impl fmt::Display for DurationText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&format_number(self.0, &UNITS))
    }
}
