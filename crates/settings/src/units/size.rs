//! Sizes such as `4MiB`.

use std::fmt;
use std::str::FromStr;

use kingcupfall_core::measures;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

use super::UnitError;
use super::parse_number;
use super::write_number;

/// Units in bytes.
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
    /// Makes a size from its bytes.
    pub const fn from_bytes(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the size.
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
        formatter.write_str(&write_number(self.0, &UNITS))
    }
}
