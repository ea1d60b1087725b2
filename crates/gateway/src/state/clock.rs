//! Estimate of an agent's clock.

use std::time::Duration;

use kingcupfall_core::time;

/// Last reading of an agent's clock and the time of its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentClock {
    reading: time::Timestamp,
    received_at: time::Timestamp,
}

impl AgentClock {
    /// Creates an estimate from a `reading` that arrived at `received_at` on the gateway's clock.
    pub const fn new(reading: time::Timestamp, received_at: time::Timestamp) -> Self {
        Self {
            reading,
            received_at,
        }
    }

    /// Returns a lower bound of the agent's clock at the gateway's time `now`.
    ///
    /// The bound is low by the transmission time of the reading.
    pub fn estimate(&self, now: time::Timestamp) -> time::Timestamp {
        self.reading + now.since(self.received_at)
    }

    /// Returns the time since the reading arrived.
    pub fn age(&self, now: time::Timestamp) -> Duration {
        now.since(self.received_at)
    }
}
