//! Time of day, for windows.

use std::time::Duration;

use kingcupfall_document::sections;

const SECONDS_PER_MINUTE: u64 = 60;
const SECONDS_PER_DAY: u64 = 86_400;

/// Seconds since 1970 in UTC.
///
/// Clocks of VMs differ. This one only says when a slot begins; nothing that must hold relies on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WallTime(u64);

/// A point of time within a daily window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowPosition {
    /// Number of the day on which the window began.
    pub day: u64,
    /// Time since the window began.
    pub elapsed: Duration,
}

impl WallTime {
    /// Makes a time from its seconds since 1970 in UTC.
    pub const fn from_unix_seconds(seconds: u64) -> Self {
        Self(seconds)
    }

    /// Returns the position within `window`, or `None` outside of it.
    pub fn position_in(self, window: &sections::UpgradeWindow) -> Option<WindowPosition> {
        let start = u64::from(window.start_minute) * SECONDS_PER_MINUTE;
        let length = u64::from(window.length_minutes) * SECONDS_PER_MINUTE;
        let since_first_start = self.0.checked_sub(start)?;
        let elapsed = since_first_start % SECONDS_PER_DAY;

        (elapsed < length).then(|| WindowPosition {
            day: since_first_start / SECONDS_PER_DAY,
            elapsed: Duration::from_secs(elapsed),
        })
    }
}
