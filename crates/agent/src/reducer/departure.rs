//! Leaving and stopping. Neither is reversed within one incarnation of an agent.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::AgentEffect;
use super::AgentReducer;
use crate::state;

/// Time without a frame from a gateway after which a stopping agent no longer waits for its
/// acknowledgement.
const GATEWAY_SILENCE_TIMEOUT: Duration = Duration::from_secs(15);

/// Phase of an agent's departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeparturePhase {
    /// Accepts work.
    Serving,
    /// Refuses new work and finishes the work it has accepted.
    Leaving,
    /// Like `Leaving`; the process exits when all work has ended.
    Stopping,
    /// The process exits.
    Exited,
}

/// Last contact with one gateway, and its acknowledgement of leaving.
#[derive(Debug, Clone, Copy)]
struct GatewayState {
    last_received: time::Timestamp,
    /// Time of the latest heartbeat on the current link whose leaving state the gateway
    /// acknowledged; the gateway sends no start order after that.
    acknowledged_heartbeat_at: Option<time::Timestamp>,
    /// When the end of an attempt was last sent to it; at first, when its hello arrived.
    last_result_at: time::Timestamp,
}

/// Gateways that may have start orders in transit to this agent.
#[derive(Debug, Default)]
pub(super) struct GatewayTable {
    states: BTreeMap<ids::ProcessId, GatewayState>,
}

impl GatewayTable {
    /// Adds a gateway that opened a link.
    pub(super) fn record_hello(&mut self, now: time::Timestamp, gateway: ids::ProcessId) {
        let state = GatewayState {
            last_received: now,
            acknowledged_heartbeat_at: None,
            last_result_at: now,
        };
        self.states.insert(gateway, state);
    }

    /// Records that a frame arrived from a gateway.
    pub(super) fn record_frame(&mut self, now: time::Timestamp, gateway: ids::ProcessId) {
        if let Some(state) = self.states.get_mut(&gateway) {
            state.last_received = now;
        }
    }

    /// Removes gateways that have timed out.
    pub(super) fn expire(&mut self, now: time::Timestamp) {
        self.states
            .retain(|_, state| now.since(state.last_received) < GATEWAY_SILENCE_TIMEOUT);
    }

    fn record_leaving_acknowledged(
        &mut self,
        gateway: ids::ProcessId,
        heartbeat_at: time::Timestamp,
    ) {
        if let Some(state) = self.states.get_mut(&gateway) {
            state.acknowledged_heartbeat_at = Some(heartbeat_at);
        }
    }

    fn record_result(&mut self, now: time::Timestamp, gateway: ids::ProcessId) {
        if let Some(state) = self.states.get_mut(&gateway) {
            state.last_result_at = now;
        }
    }

    /// Returns true if every gateway acknowledged leaving after its last result, or timed out.
    fn have_all_acknowledged_leaving(&self, now: time::Timestamp) -> bool {
        self.states.values().all(|state| {
            let has_acknowledged = state
                .acknowledged_heartbeat_at
                .is_some_and(|heartbeat_at| heartbeat_at > state.last_result_at);
            has_acknowledged || now.since(state.last_received) >= GATEWAY_SILENCE_TIMEOUT
        })
    }
}

impl AgentReducer {
    pub(super) fn handle_leaving_acknowledged(
        &mut self,
        link: ids::LinkId,
        heartbeat_at: time::Timestamp,
    ) {
        if let Some(gateway) = self.link_gateway(link) {
            self.gateways
                .record_leaving_acknowledged(gateway, heartbeat_at);
        }
    }

    /// Records to which gateways `effects` send the end of an attempt.
    pub(super) fn record_sent_results(&mut self, now: time::Timestamp, effects: &[AgentEffect]) {
        // The times are compared only with heartbeats that announce leaving.
        if self.departure == DeparturePhase::Serving {
            return;
        }
        for effect in effects {
            if let AgentEffect::Send { link, frame } = effect
                && is_result(frame)
                && let Some(gateway) = self.link_gateway(*link)
            {
                self.gateways.record_result(now, gateway);
            }
        }
    }

    /// Returns true if the gateway of every link is known; a stalled link can delay its hello.
    fn have_all_links_sent_hello(&self) -> bool {
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
        self.refuse_queued(now, frames::RefusalCode::Leaving, effects);
        self.send_heartbeats(now, effects);
    }

    pub(super) fn stop(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        self.leave(now, effects);
        if self.departure == DeparturePhase::Leaving {
            self.departure = DeparturePhase::Stopping;
        }
    }

    /// Exits if a stop was requested and every result is delivered.
    pub(super) fn exit_if_done(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        if self.departure != DeparturePhase::Stopping {
            return;
        }
        let is_delivered = |state: &state::AttemptState| {
            state.end_acknowledged || (state.subscriber.is_none() && state.has_expired(now))
        };
        // A start order in transit must still be refused here; otherwise its gateway could not tell
        // whether it ran.
        let can_exit = self.attempts.iter().all(is_delivered)
            && self.gateways.have_all_acknowledged_leaving(now)
            && self.have_all_links_sent_hello();
        if can_exit {
            self.departure = DeparturePhase::Exited;
            effects.push(AgentEffect::Exit);
        }
    }
}

fn is_result(frame: &frames::AgentFrame) -> bool {
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
