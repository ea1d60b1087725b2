//! Questions about the reducer's state, answered by the task that owns it.

use kingcupfall_core::ids;
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
            let question = place::PlacementQuestion {
                tag,
                prompt_tokens: *prompt_tokens,
                prefix: None,
            };
            let standings = reducer.explain(now, serves, &question);
            StateAnswer::Explain(standings.iter().map(report::StandingReport::new).collect())
        }
        StateQuery::Quarantine => {
            let records = reducer.suspects(now);
            StateAnswer::Quarantine(records.iter().map(report::QuarantineReport::new).collect())
        }
    }
}

fn list_targets(
    reducer: &reducer::GatewayReducer,
    now: time::Timestamp,
) -> Vec<report::TargetReport> {
    let obstacles = obstacles(reducer, now);
    reducer
        .targets()
        .iter()
        .map(|target| {
            let name = &target.listing.name;
            let obstacle = obstacles
                .iter()
                .find(|standing| standing.target == *name)
                .and_then(|standing| standing.obstacle);
            report::TargetReport::new(now, target, obstacle)
        })
        .collect()
}

/// Returns the standing of all targets for the work that each of them serves.
fn obstacles(
    reducer: &reducer::GatewayReducer,
    now: time::Timestamp,
) -> Vec<reducer::TargetStanding> {
    let tag = anonymous_tag();
    let question = place::PlacementQuestion {
        tag: &tag,
        prompt_tokens: measures::TokenCount::ZERO,
        prefix: None,
    };
    reducer
        .targets()
        .iter()
        .flat_map(|target| reducer.explain(now, &target.listing.serves, &question))
        .collect()
}

fn anonymous_tag() -> work::CallerTag {
    let organisation: ids::OrganisationName = "-".parse().expect("a valid name");
    let class: ids::ClassName = "-".parse().expect("a valid name");
    work::CallerTag {
        organisation,
        class,
        priority: measures::Priority::ZERO,
        weight: measures::Weight::new(1),
    }
}
