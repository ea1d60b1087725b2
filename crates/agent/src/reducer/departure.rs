//! Leaving and stopping. Neither is ever taken back in one life of an agent.

use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use crate::state;

/// Whether and how an agent leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeparturePhase {
    /// It takes work.
    Serving,
    /// It takes no new work and finishes what it has.
    Leaving,
    /// It is leaving, and its process ends when all work has ended.
    Stopping,
    /// Its process ends.
    Exited,
}

impl AgentReducer {
    pub(super) fn leave(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.departure != DeparturePhase::Serving {
            return;
        }
        self.departure = DeparturePhase::Leaving;
        self.refuse_queue(now, frames::RefusalCode::Leaving, effects);
        self.send_pulses(now, effects);
    }

    pub(super) fn stop(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        self.leave(now, effects);
        if self.departure == DeparturePhase::Leaving {
            self.departure = DeparturePhase::Stopping;
        }
    }

    /// Ends the process once a stop was asked for and everything is delivered.
    pub(super) fn check_exit(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.departure != DeparturePhase::Stopping {
            return;
        }
        let is_settled = |state: &state::AttemptState| {
            state.is_delivered() || (state.subscriber.is_none() && state.has_expired(now))
        };
        let is_done = self.attempts.iter().all(is_settled);
        if is_done {
            self.departure = DeparturePhase::Exited;
            effects.push(AgentEffect::Exit);
        }
    }
}
