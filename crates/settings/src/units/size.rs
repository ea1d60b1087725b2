//! Sizes with a unit, such as `4MiB`.

use std::fmt;
use std::str::FromStr;

use kingcupfall_core::measures;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use super::UnitError;
use super::format_number;
use super::parse_number;

/// Units with their size in bytes, in ascending order.
const UNITS: [(&str, u64); 4] = [
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];
const UNIT_NAMES: &str = "B, KiB, MiB and GiB";

/// A size in bytes, written with a unit: `512B`, `64KiB`, `4MiB`, `1GiB`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay, DeserializeFromStr,
)]
pub struct SizeText(u64);

impl SizeText {
    /// Creates a size of `bytes` bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the size as a `ByteSize`.
    pub const fn get(self) -> measures::ByteSize {
        measures::ByteSize::new(self.0)
    }
}

impl FromStr for SizeText {
    type Err = UnitError;

    fn from_str(text: &str) -> super::Result<Self> {
        parse_number(text, &UNITS, UNIT_NAMES).map(Self)
    }
}

impl fmt::Display for SizeText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&format_number(self.0, &UNITS))
    }
}
