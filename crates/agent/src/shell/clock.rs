//! Monotonic clock of the process.

use kingcupfall_core::time;
use tokio::time::Instant;

/// Clock that counts from its start, on the runtime's time.
#[derive(Debug, Clone, Copy)]
pub struct ShellClock {
    origin: Instant,
}

impl ShellClock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> time::Timestamp {
        time::Timestamp::ZERO + self.origin.elapsed()
    }
}
