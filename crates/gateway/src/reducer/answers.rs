//! What agents say of attempts, on its way to callers.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_link::frames;

use super::CallReply;
use super::GatewayEffect;
use super::GatewayReducer;
use super::ServiceReply;
use super::TokenReply;
use super::WholeReply;
use super::calls::reply;
use super::links::after;
use crate::state;

impl GatewayReducer {
    pub(super) fn take_frame(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        frame: frames::AgentFrame,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(name) = self.targets.link_target(link).cloned() else {
            self.counters.stray_frames += 1;
            return;
        };
        if let Some(target) = self.targets.get_mut(&name) {
            target.last_heard = now;
        }

        match frame {
            frames::AgentFrame::Hello(hello) => self.take_hello(now, link, &hello, effects),
            frames::AgentFrame::Heartbeat(pulse) => self.take_pulse(now, &name, *pulse, effects),
            frames::AgentFrame::Superseded {
                attempt,
                subscription,
            } => self.take_takeover(now, &name, attempt, subscription, effects),
            frames::AgentFrame::Accepted { .. } | frames::AgentFrame::Fleet(_) => {}
            frames::AgentFrame::Refused(report) => {
                self.take_refusal(now, &name, &report, effects);
            }
            frames::AgentFrame::Tokens(batch) => self.take_tokens(now, &name, batch, effects),
            frames::AgentFrame::Finished(report) => {
                self.take_finish(now, &name, &report, effects);
            }
            frames::AgentFrame::Responded(report) => self.take_answer(now, &name, report, effects),
            frames::AgentFrame::Failed(report) => self.take_failure(now, &name, &report, effects),
        }
    }

    fn take_tokens(
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
            // Some tokens went with a link; the agent still has them.
            self.ask_again(now, call, effects);
            return;
        }

        let known = state.received.saturating_sub(batch.first).get();
        let skip = usize::try_from(known).unwrap_or(usize::MAX);
        let fresh: Vec<Box<str>> = batch.tokens.into_iter().skip(skip).collect();
        if fresh.is_empty() {
            self.counters.stray_frames += 1;
            return;
        }

        let first = state.received;
        state.received = after(first, fresh.len());
        if !state.request.stream {
            state.collected.extend(fresh);
            return;
        }
        let Some(placed) = state.placed() else {
            return;
        };
        let tokens = TokenReply {
            target: placed.target.clone(),
            incarnation: placed.incarnation,
            attempt: placed.attempt,
            first,
            tokens: fresh,
        };
        reply(effects, call, CallReply::Tokens(tokens));
    }

    fn take_finish(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: &frames::FinishReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            self.settle(name, report.attempt, effects);
            return;
        };
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        if state.received < report.total {
            self.ask_again(now, call, effects);
            return;
        }

        let answer = if state.request.stream {
            CallReply::Finished {
                total: report.total,
                reason: report.reason,
            }
        } else {
            CallReply::Whole(WholeReply {
                attempt: report.attempt,
                tokens: std::mem::take(&mut state.collected),
                reason: report.reason,
                key: state.key().cloned(),
            })
        };
        let fingerprint = state.request.fingerprint;
        self.policies.quarantine.record_completion(now, fingerprint);

        self.settle(name, report.attempt, effects);
        self.finish(now, call, answer, effects);
    }

    fn take_answer(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        report: frames::ResponseReport,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(call) = self.expected_call(name, report.attempt) else {
            self.settle(name, report.attempt, effects);
            return;
        };
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let fingerprint = state.request.fingerprint;
        let answer = CallReply::Service(ServiceReply {
            answer: report.response,
            key: state.key().cloned(),
            replayed: report.replayed,
        });

        self.policies.quarantine.record_completion(now, fingerprint);
        self.settle(name, report.attempt, effects);
        self.finish(now, call, answer, effects);
    }

    /// Tells an agent that the end of an attempt has come in.
    pub(super) fn settle(
        &self,
        name: &ids::TargetName,
        attempt: ids::AttemptId,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let frame = frames::GatewayFrame::EndAcknowledged { attempt };
        self.send_to(name, frame, effects);
    }

    /// Returns the call that waits for `attempt` from the target `name`.
    ///
    /// Frames for attempts that were given up, moved, or are another target's are counted.
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
            self.counters.stray_frames += 1;
        }
        call
    }

    fn take_pulse(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        pulse: frames::AgentHeartbeat,
        effects: &mut Vec<GatewayEffect>,
    ) {
        let Some(target) = self.targets.get_mut(name) else {
            return;
        };
        target.clock = Some(state::AgentClock::new(pulse.now, now));
        target.target_up = pulse.target_up;
        let known = std::mem::take(&mut target.load.cached);
        target.load = pulse.load;
        target.load.cached = pulse.cached.unwrap_or(known);
        target.placed_since = 0;
        target.placed_tokens = measures::TokenCount::ZERO;
        if pulse.leaving {
            target.mark_leaving();
            let frame = frames::GatewayFrame::LeavingAcknowledged { pulse: pulse.now };
            self.send_to(name, frame, effects);
        }
    }
}
