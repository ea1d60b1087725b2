//! The clock of a gateway.

use kingcupfall_core::time;
use tokio::time::Instant;

/// Monotonic clock that starts at zero with the gateway.
///
/// It reads tokio's clock, which tests can pause and advance.
#[derive(Debug, Clone, Copy)]
pub struct ShellClock {
    origin: Instant,
}

impl ShellClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> time::Timestamp {
        time::Timestamp::ZERO + self.origin.elapsed()
    }
}
