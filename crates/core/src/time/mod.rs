//! Timestamps on the monotonic clock of a process.

use std::fmt;
use std::ops;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Microseconds on the monotonic clock of one process.
///
/// Timestamps of different processes can't be compared, so the documentation of each timestamp in a
/// frame names the process whose clock it is on.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp from microseconds since the start of the clock.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns microseconds since the start of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns seconds since the start of the clock.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.6}s", self.as_secs_f64())
    }
}
