//! Read-only queries of the reducer's state, executed by the task that owns the reducer.

use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::place;

use super::report;
use crate::reducer;
use crate::state;

/// A query of the reducer's state.
#[derive(Debug, Clone, PartialEq)]
pub enum StateQuery {
    /// State of all targets.
    Targets,
    /// Obstacle and placement score of each target that serves the requested work.
    Explain {
        /// Models or service requested.
        requested: state::ServedWork,
        /// Organisation, class and priority of the caller.
        tag: work::CallerTag,
        /// Length of the prompt.
        prompt_tokens: measures::TokenCount,
    },
    /// Suspected and quarantined requests.
    Quarantine,
    /// Current values of the metrics.
    Gauges,
}

/// Reply to the [`StateQuery`] of the same name.
#[derive(Debug, Clone, PartialEq)]
pub enum StateReply {
    /// All targets, ordered by name.
    Targets(Vec<report::TargetReport>),
    /// Targets that serve the requested work, ordered by name.
    Explain(Vec<report::CandidateReport>),
    /// Suspected and quarantined requests.
    Quarantine(Vec<report::QuarantineReport>),
    /// Current values of the metrics.
    Gauges(GaugeReport),
}

/// Values of the metrics that are read from the reducer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GaugeReport {
    /// Calls that have not ended.
    pub calls: usize,
    /// Condition of each target.
    pub targets: Vec<TargetCondition>,
    /// Counters since the start of the process.
    pub counters: reducer::GatewayCounters,
}

/// Whether a target is eligible for new work, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetCondition {
    /// The target is eligible.
    Ready,
    /// The target is leaving and takes no new work.
    Leaving,
    /// No link to the target's agent is open.
    NoLink,
    /// Nothing has been received from the agent for [`reducer::TARGET_SILENCE_TIMEOUT`].
    Silent,
    /// The agent reports that the target does not respond.
    TargetDown,
}

impl TargetCondition {
    /// All conditions, in the order of declaration.
    pub const ALL: [Self; 5] = [
        Self::Ready,
        Self::Leaving,
        Self::NoLink,
        Self::Silent,
        Self::TargetDown,
    ];

    /// Returns the value of the metric label.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Leaving => "leaving",
            Self::NoLink => "no_link",
            Self::Silent => "silent",
            Self::TargetDown => "target_down",
        }
    }

    fn of_obstacle(obstacle: Option<state::TargetObstacle>) -> Self {
        match obstacle {
            None => Self::Ready,
            Some(state::TargetObstacle::Leaving) => Self::Leaving,
            Some(state::TargetObstacle::NoLink) => Self::NoLink,
            Some(state::TargetObstacle::Silent) => Self::Silent,
            Some(state::TargetObstacle::TargetDown) => Self::TargetDown,
        }
    }
}

/// Executes `query` against the state of `reducer` at the time `now`.
pub fn execute_query(
    reducer: &reducer::GatewayReducer,
    now: time::Timestamp,
    query: &StateQuery,
) -> StateReply {
    match query {
        StateQuery::Targets => StateReply::Targets(list_targets(reducer, now)),
        StateQuery::Explain {
            requested,
            tag,
            prompt_tokens,
        } => {
            let request = place::PlacementRequest {
                tag,
                prompt_tokens: *prompt_tokens,
                prefix: None,
                suspect: false,
            };
            let candidates = reducer.explain(now, requested, &request);
            StateReply::Explain(
                candidates
                    .iter()
                    .map(report::CandidateReport::new)
                    .collect(),
            )
        }
        StateQuery::Quarantine => {
            let records = reducer.suspects(now);
            StateReply::Quarantine(records.iter().map(report::QuarantineReport::new).collect())
        }
        StateQuery::Gauges => StateReply::Gauges(GaugeReport {
            calls: reducer.calls().len(),
            targets: reducer
                .targets()
                .iter()
                .map(|target| TargetCondition::of_obstacle(current_obstacle(target, now)))
                .collect(),
            counters: reducer.counters().clone(),
        }),
    }
}

fn list_targets(
    reducer: &reducer::GatewayReducer,
    now: time::Timestamp,
) -> Vec<report::TargetReport> {
    reducer
        .targets()
        .iter()
        .map(|target| report::TargetReport::new(now, target, current_obstacle(target, now)))
        .collect()
}

fn current_obstacle(
    target: &state::TargetState,
    now: time::Timestamp,
) -> Option<state::TargetObstacle> {
    target.obstacle(now, reducer::TARGET_SILENCE_TIMEOUT)
}
