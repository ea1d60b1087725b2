//! Text form of durations in scenario files and on the command line.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_with::DeserializeFromStr;

/// Duration with a unit in its text form, such as `500ms`, `1.5s` or `2m`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, DeserializeFromStr)]
pub struct DurationText(Duration);

impl DurationText {
    /// Wraps a duration, which is displayed in seconds.
    pub const fn new(duration: Duration) -> Self {
        Self(duration)
    }

    /// Returns the wrapped duration.
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl FromStr for DurationText {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let unit_start = text
            .find(|character: char| character.is_ascii_alphabetic())
            .ok_or("a duration needs a unit: ms, s or m")?;
        let (number, unit) = text.split_at(unit_start);
        let number: f64 = number
            .parse()
            .map_err(|_| format!("{number:?} is not a number"))?;
        let unit_seconds = match unit {
            "ms" => 0.001,
            "s" => 1.0,
            "m" => 60.0,
            _ => return Err(format!("{unit:?} is not a unit; use ms, s or m").into()),
        };

        Duration::try_from_secs_f64(number * unit_seconds)
            .map(Self)
            .map_err(|error| error.to_string().into())
    }
}

impl fmt::Display for DurationText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}s", self.0.as_secs_f64())
    }
}
