//! What a gateway knows of an agent's clock.

use std::time::Duration;

use kingcupfall_core::time;

/// A reading of an agent's clock, and when it came in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentClock {
    reading: time::Timestamp,
    heard_at: time::Timestamp,
}

impl AgentClock {
    /// Notes that the agent's clock showed `reading` some time before `heard_at`.
    pub const fn new(reading: time::Timestamp, heard_at: time::Timestamp) -> Self {
        Self { reading, heard_at }
    }

    /// Returns a time that the agent's clock has reached or passed, when the gateway's shows `now`.
    pub fn estimate(&self, now: time::Timestamp) -> time::Timestamp {
        self.reading + now.since(self.heard_at)
    }

    /// Returns the time since the reading came in.
    pub fn age(&self, now: time::Timestamp) -> Duration {
        now.since(self.heard_at)
    }
}
