//! Section `log`: the level from which lines are logged.

use std::fmt;
use std::str::FromStr;

use kingcupfall_document::reader;
use quick_error::quick_error;
use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;

quick_error! {
    /// Reason why a text is not a log level.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LevelError {
        /// The text is not the lower-case name of a level.
        Unknown(text: Box<str>) {
            display("is {:?}, must be off, error, warn, info, debug or trace", text)
        }
    }
}

/// Minimum level of the lines that are logged, written in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, SerializeDisplay, DeserializeFromStr)]
pub struct LogLevel(log::LevelFilter);

impl LogLevel {
    /// Creates a level from a filter of the `log` crate.
    pub const fn new(filter: log::LevelFilter) -> Self {
        Self(filter)
    }

    /// Returns the level as a filter of the `log` crate.
    pub const fn get(self) -> log::LevelFilter {
        self.0
    }
}

impl FromStr for LogLevel {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<Self, LevelError> {
        let is_lower = text.bytes().all(|byte| byte.is_ascii_lowercase());
        let filter = text.parse().ok().filter(|_| is_lower);
        filter
            .map(Self)
            .ok_or_else(|| LevelError::Unknown(text.into()))
    }
}

impl fmt::Display for LogLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.as_str().to_ascii_lowercase())
    }
}

/// Settings of the log, which is written to standard output as JSON lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Minimum level of the lines that are logged; `info` by default.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::new(log::LevelFilter::Info),
        }
    }
}

impl reader::TableValue for LogSettings {
    fn read(reader: &mut reader::TableReader<'_, '_, '_>) -> Option<Self> {
        let default = Self::default();

        Some(Self {
            level: reader.or_default("level", default.level),
        })
    }
}
