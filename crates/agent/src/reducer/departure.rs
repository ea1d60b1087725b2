//! Leaving and stopping. Neither is ever taken back in one life of an agent.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use crate::state;

/// Silence after which a stopping agent no longer waits for a gateway's farewell.
const FAREWELL_PATIENCE: Duration = Duration::from_secs(15);

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

/// What is known of one gateway.
#[derive(Debug, Clone, Copy)]
struct GatewayNote {
    last_heard: time::Timestamp,
    /// Latest pulse that it answered on its present link, starting nothing new after.
    farewell: Option<time::Timestamp>,
    /// When it was last told the end of an attempt.
    answered_at: time::Timestamp,
}

/// The gateways that may have start orders under way to this agent.
#[derive(Debug, Default)]
pub(super) struct GatewayRoll {
    notes: BTreeMap<ids::ProcessId, GatewayNote>,
}

impl GatewayRoll {
    /// Notes that a gateway opened a link.
    pub(super) fn record_hello(&mut self, now: time::Timestamp, gateway: ids::ProcessId) {
        let note = GatewayNote {
            last_heard: now,
            farewell: None,
            answered_at: now,
        };
        self.notes.insert(gateway, note);
    }

    /// Notes a sign of life.
    pub(super) fn record_sign(&mut self, now: time::Timestamp, gateway: ids::ProcessId) {
        if let Some(note) = self.notes.get_mut(&gateway) {
            note.last_heard = now;
        }
    }

    /// Forgets gateways that have been silent for long.
    pub(super) fn expire(&mut self, now: time::Timestamp) {
        self.notes
            .retain(|_, note| now.since(note.last_heard) < FAREWELL_PATIENCE);
    }

    fn record_farewell(&mut self, gateway: ids::ProcessId, pulse: time::Timestamp) {
        if let Some(note) = self.notes.get_mut(&gateway) {
            note.farewell = Some(pulse);
        }
    }

    fn record_answer(&mut self, now: time::Timestamp, gateway: ids::ProcessId) {
        if let Some(note) = self.notes.get_mut(&gateway) {
            note.answered_at = now;
        }
    }

    fn is_quiet(&self, now: time::Timestamp) -> bool {
        self.notes.values().all(|note| {
            let has_taken_all = note.farewell.is_some_and(|pulse| pulse > note.answered_at);
            has_taken_all || now.since(note.last_heard) >= FAREWELL_PATIENCE
        })
    }
}

impl AgentReducer {
    pub(super) fn note_farewell(&mut self, link: ids::LinkId, pulse: time::Timestamp) {
        if let Some(gateway) = self.link_gateway(link) {
            self.gateways.record_farewell(gateway, pulse);
        }
    }

    /// Notes to which gateways the ends of attempts are on their way.
    pub(super) fn note_answers(&mut self, now: time::Timestamp, effects: &[AgentEffect]) {
        // Only the answers to leaving pulses are compared with it.
        if self.departure == DeparturePhase::Serving {
            return;
        }
        for effect in effects {
            if let AgentEffect::Send { link, frame } = effect
                && is_answer(frame)
                && let Some(gateway) = self.link_gateway(*link)
            {
                self.gateways.record_answer(now, gateway);
            }
        }
    }

    /// Says whether the gateway of each link is known; a hello may be late on a stalled link.
    fn have_all_links_said_hello(&self) -> bool {
        self.links.values().all(|state| state.gateway.is_some())
    }

    fn link_gateway(&self, link: ids::LinkId) -> Option<ids::ProcessId> {
        self.links.get(&link).and_then(|state| state.gateway)
    }

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
            state.end_settled || (state.subscriber.is_none() && state.has_expired(now))
        };
        // A start order that is under way must still be refused here, or its gateway could not
        // tell whether it ran.
        let is_done = self.attempts.iter().all(is_settled)
            && self.gateways.is_quiet(now)
            && self.have_all_links_said_hello();
        if is_done {
            self.departure = DeparturePhase::Exited;
            effects.push(AgentEffect::Exit);
        }
    }
}

fn is_answer(frame: &frames::AgentFrame) -> bool {
    match frame {
        frames::AgentFrame::Refused(_)
        | frames::AgentFrame::Finished(_)
        | frames::AgentFrame::Responded(_)
        | frames::AgentFrame::Failed(_)
        | frames::AgentFrame::Superseded { .. } => true,
        frames::AgentFrame::Hello(_)
        | frames::AgentFrame::Heartbeat(_)
        | frames::AgentFrame::Accepted { .. }
        | frames::AgentFrame::Tokens(_)
        | frames::AgentFrame::Fleet(_) => false,
    }
}
