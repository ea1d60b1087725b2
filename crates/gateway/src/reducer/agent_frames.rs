//! Handling of frames from agents: tokens, ends of attempts, and heartbeats.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::BufferedReply;
use super::CallReply;
use super::GatewayEffect;
use super::GatewayReducer;
use super::ServiceReply;
use super::TokenReply;
use super::calls::push_reply;
use super::links::sequence_after;
use crate::state;

impl GatewayReducer {
    pub(super) fn handle_frame(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        frame: frames::AgentFrame,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(name) = self.targets.link_target(link).cloned() else {
            self.counters.unexpected_frames += 1;
            return;
        };
        if let Some(target) = self.targets.get_mut(&name) {
            target.last_received = now;
        }

        match frame {
            frames::AgentFrame::Hello(hello) => self.handle_hello(now, link, &hello, effects),
            frames::AgentFrame::Heartbeat(heartbeat) => {
                self.handle_heartbeat(now, &name, *heartbeat, effects)
            }
            frames::AgentFrame::Superseded {
                attempt,
                subscription,
            } => self.handle_superseded(now, &name, attempt, subscription, effects),
            frames::AgentFrame::Accepted { .. } | frames::AgentFrame::Fleet(_) => {}
            frames::AgentFrame::Refused(report) => {
                self.handle_refusal(now, &name, &report, effects);
            }
            frames::AgentFrame::Tokens(batch) => self.handle_tokens(now, &name, batch, effects),
            frames::AgentFrame::Finished(report) => {
                self.handle_finished(now, &name, &report, effects);
            }
            frames::AgentFrame::Responded(report) => {
                self.handle_response(now, &name, report, effects)
            }
            frames::AgentFrame::Failed(report) => self.handle_failure(now, &name, &report, effects),
        }
    }

    fn handle_tokens(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        batch: frames::TokenBatch,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, batch.attempt) else {
            return;
        };
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        if batch.first > state.received {
            // Tokens in between were lost with a link. The agent retains unacknowledged tokens.
            self.request_missing_tokens(now, call, effects);
            return;
        }

        let duplicates = state.received.saturating_sub(batch.first).get();
        let skip = usize::try_from(duplicates).unwrap_or(usize::MAX);
        let new_tokens: Vec<Box<str>> = batch.tokens.into_iter().skip(skip).collect();
        if new_tokens.is_empty() {
            self.counters.unexpected_frames += 1;
            return;
        }

        let first = state.received;
        state.received = sequence_after(first, new_tokens.len());
        if !state.request.stream {
            state.buffered_tokens.extend(new_tokens);
            return;
        }
        let Some(placed) = state.placed() else {
            return;
        };
        let reply = TokenReply {
            target: placed.target.clone(),
            incarnation: placed.incarnation,
            attempt: placed.attempt,
            first,
            tokens: new_tokens,
        };
        push_reply(effects, call, CallReply::Tokens(reply));
    }

    fn handle_finished(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: &frames::FinishReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            self.acknowledge_end(name, report.attempt, effects);
            return;
        };
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        if state.received < report.total {
            self.request_missing_tokens(now, call, effects);
            return;
        }

        let reply = if state.request.stream {
            CallReply::Finished {
                total: report.total,
                reason: report.reason,
            }
        } else {
            CallReply::Buffered(BufferedReply {
                attempt: report.attempt,
                tokens: std::mem::take(&mut state.buffered_tokens),
                reason: report.reason,
                key: state.key().cloned(),
            })
        };
        let fingerprint = state.request.fingerprint;
        self.policies.quarantine.record_completion(now, fingerprint);

        self.acknowledge_end(name, report.attempt, effects);
        self.finish_call(now, call, reply, effects);
    }

    fn handle_response(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: frames::ResponseReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            self.acknowledge_end(name, report.attempt, effects);
            return;
        };
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let fingerprint = state.request.fingerprint;
        let reply = CallReply::Service(ServiceReply {
            response: report.response,
            key: state.key().cloned(),
            replayed: report.replayed,
        });

        self.policies.quarantine.record_completion(now, fingerprint);
        self.acknowledge_end(name, report.attempt, effects);
        self.finish_call(now, call, reply, effects);
    }

    /// Notifies an agent that the end of an attempt was received, so that it can drop the result.
    pub(super) fn acknowledge_end(
        &self,
        name: &ids::TargetName,
        attempt: ids::AttemptId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let frame = frames::GatewayFrame::EndAcknowledged { attempt };
        self.send_to(name, frame, effects);
    }

    /// Returns the call whose current attempt is `attempt`, placed at the target `name`.
    ///
    /// Counts an unexpected frame if there is none: the attempt was abandoned or replaced, or it
    /// belongs to another target.
    pub(super) fn expected_call(
        &mut self,
        name: &ids::TargetName,
        attempt: ids::AttemptId,
    ) -> Option<ids::CallId> {
        let call = self.calls.attempt_call(attempt).filter(|call| {
            self.calls
                .get(*call)
                .and_then(state::CallState::placed)
                .is_some_and(|placed| placed.attempt == attempt && placed.target == *name)
        });
        if call.is_none() {
            self.counters.unexpected_frames += 1;
        }
        call
    }

    fn handle_heartbeat(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        heartbeat: frames::AgentHeartbeat,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.clock = Some(state::AgentClock::new(heartbeat.now, now));
        target.target_up = heartbeat.target_up;
        let previous_cached = std::mem::take(&mut target.load.cached);
        target.load = heartbeat.load;
        target.load.cached = heartbeat.cached.unwrap_or(previous_cached);
        target.placed_attempts = 0;
        target.placed_tokens = measures::TokenCount::ZERO;
        if heartbeat.leaving {
            target.mark_leaving();
            let frame = frames::GatewayFrame::LeavingAcknowledged {
                pulse: heartbeat.now,
            };
            self.send_to(name, frame, effects);
        }
    }
}
