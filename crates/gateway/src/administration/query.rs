//! Questions about the reducer's state, answered by the task that owns it.

use kingcupfall_core::measures;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::place;

use super::report;
use crate::reducer;
use crate::state;

/// A question about the reducer's state.
#[derive(Debug, Clone, PartialEq)]
pub enum StateQuery {
    /// All targets.
    Targets,
    /// How the targets stand for a piece of work.
    Explain {
        /// What is asked for.
        serves: state::ServedWork,
        /// Whose work it is.
        tag: work::CallerTag,
        /// Tokens of its prompt.
        prompt_tokens: measures::TokenCount,
    },
    /// Suspected and quarantined requests.
    Quarantine,
    /// Counts for the metrics.
    Gauges,
}

/// The answer to a [`StateQuery`].
#[derive(Debug, Clone, PartialEq)]
pub enum StateAnswer {
    /// All targets, by name.
    Targets(Vec<report::TargetReport>),
    /// Targets that serve the work, by name.
    Explain(Vec<report::StandingReport>),
    /// Entries of the quarantine.
    Quarantine(Vec<report::QuarantineReport>),
    /// Counts for the metrics.
    Gauges(GaugeReport),
}

/// Counts for the metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GaugeReport {
    /// Calls that have not ended.
    pub calls: usize,
    /// Condition of each target.
    pub targets: Vec<TargetCondition>,
    /// What the reducer counts.
    pub counters: reducer::GatewayCounters,
}

/// Whether a target can be chosen, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetCondition {
    /// It can be chosen.
    Ready,
    /// It takes no new work.
    Leaving,
    /// There is no link to its agent.
    NoLink,
    /// Its agent has been silent too long.
    Silent,
    /// Its agent says that it does not answer.
    TargetDown,
}

impl TargetCondition {
    /// All conditions.
    pub const ALL: [Self; 5] = [
        Self::Ready,
        Self::Leaving,
        Self::NoLink,
        Self::Silent,
        Self::TargetDown,
    ];

    /// Returns the condition as metrics write it.
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

/// Answers a question at the time `now`.
pub fn answer_query(
    reducer: &reducer::GatewayReducer,
    now: time::Timestamp,
    query: &StateQuery,
) -> StateAnswer {
    match query {
        StateQuery::Targets => StateAnswer::Targets(list_targets(reducer, now)),
        StateQuery::Explain {
            serves,
            tag,
            prompt_tokens,
        } => {
            let question = place::PlacementRequest {
                tag,
                prompt_tokens: *prompt_tokens,
                prefix: None,
                suspect: false,
            };
            let standings = reducer.explain(now, serves, &question);
            StateAnswer::Explain(standings.iter().map(report::StandingReport::new).collect())
        }
        StateQuery::Quarantine => {
            let records = reducer.suspects(now);
            StateAnswer::Quarantine(records.iter().map(report::QuarantineReport::new).collect())
        }
        StateQuery::Gauges => StateAnswer::Gauges(GaugeReport {
            calls: reducer.calls().len(),
            targets: reducer
                .targets()
                .iter()
                .map(|target| TargetCondition::of_obstacle(obstacle(target, now)))
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
        .map(|target| report::TargetReport::new(now, target, obstacle(target, now)))
        .collect()
}

fn obstacle(target: &state::TargetState, now: time::Timestamp) -> Option<state::TargetObstacle> {
    target.obstacle(now, reducer::TARGET_SILENCE_TIMEOUT)
}
