//! The gateway's clock.

use kingcupfall_core::time;
use tokio::time::Instant;

/// Monotonic clock that starts with the process; tests pause and advance it.
#[derive(Debug, Clone, Copy)]
pub struct ShellClock {
    start: Instant,
}

impl ShellClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> time::Timestamp {
        time::Timestamp::ZERO + self.start.elapsed()
    }
}
