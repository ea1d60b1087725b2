//! The monotonic clock of a process.

use kingcupfall_core::time;
use tokio::time::Instant;

/// Microseconds since the start of the process, on the runtime's clock.
#[derive(Debug, Clone, Copy)]
pub struct ShellClock {
    origin: Instant,
}

impl ShellClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time that has passed.
    pub fn now(&self) -> time::Timestamp {
        time::Timestamp::ZERO + self.origin.elapsed()
    }
}
