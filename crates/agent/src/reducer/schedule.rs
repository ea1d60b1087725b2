//! Execution of the scheduler's decisions.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_link::frames;
use kingcupfall_policy::schedule as policy;

use super::AgentEffect;
use super::AgentReducer;
use super::GenerateCommand;
use crate::state;

impl AgentReducer {
    pub(super) fn run_schedule(&mut self, now: time::Timestamp, effects: &mut Vec<AgentEffect>) {
        if !self.is_target_usable(now) {
            return;
        }
        let mut decisions = Vec::new();
        self.scheduler.decide(now, &mut decisions);

        for decision in decisions {
            self.execute(now, &decision, effects);
        }
    }

    fn execute(
        &mut self,
        now: time::Timestamp,
        decision: &policy::ScheduleDecision,
        effects: &mut Vec<AgentEffect>,
    ) {
        match *decision {
            policy::ScheduleDecision::Admit {
                attempt,
                prefill_chunk,
            } => self.admit(now, attempt, prefill_chunk, effects),
            policy::ScheduleDecision::Pause { attempt } => {
                self.counters.pauses += 1;
                effects.push(AgentEffect::Pause { attempt });
            }
            policy::ScheduleDecision::Resume { attempt } => {
                effects.push(AgentEffect::Resume { attempt });
            }
            policy::ScheduleDecision::Refuse {
                attempt,
                retry_after,
            } => {
                let code = frames::RefusalCode::Overloaded;
                self.refuse_unstarted(now, attempt, code, retry_after, effects);
            }
        }
    }

    fn admit(
        &mut self,
        now: time::Timestamp,
        attempt: ids::AttemptId,
        prefill_chunk: Option<measures::TokenCount>,
        effects: &mut Vec<AgentEffect>,
    ) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        if state.phase != state::AttemptPhase::Queued {
            return;
        }
        if now > state.order.start_by {
            let code = frames::RefusalCode::TooLate;
            self.refuse_unstarted(now, attempt, code, Duration::ZERO, effects);
            return;
        }

        state.phase = state::AttemptPhase::Running;
        self.counters.started += 1;
        effects.push(start_effect(&state.order, prefill_chunk));
    }
}

fn start_effect(
    order: &frames::StartOrder,
    prefill_chunk: Option<measures::TokenCount>,
) -> AgentEffect {
    match &order.request {
        work::WorkRequest::Generation(request) => {
            AgentEffect::Generate(Box::new(GenerateCommand {
                attempt: order.attempt,
                request: request.clone(),
                priority: order.tag.priority,
                prefill_chunk,
            }))
        }
        work::WorkRequest::Service(request) => AgentEffect::CallService {
            attempt: order.attempt,
            request: Box::new(request.clone()),
        },
    }
}
