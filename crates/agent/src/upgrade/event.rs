//! Events that the upgrade reducer takes.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::measures;

use super::UpgradeNote;
use super::UpgradePlan;
use super::WallTime;
use crate::protocol;

/// Number that ties an answer to the effect that asked for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QuestionNumber(u64);

impl QuestionNumber {
    /// Returns the number that follows.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Highest fencing number that it took.
    pub fencing: measures::FencingNumber,
    /// Models it has loaded.
    pub loaded: Vec<protocol::LoadedModel>,
}

/// Answer to [`UpgradeEffect::Prepare`](super::UpgradeEffect::Prepare).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preparation {
    /// Number of the question.
    pub question: QuestionNumber,
    /// Whether this process still holds the port that excludes other agents of the target.
    pub is_fence_held: bool,
    /// State of the engine; `None` when it does not answer.
    pub engine: Option<EngineState>,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it; loading may go on.
    Taken,
    /// The engine refused its fencing number.
    Outdated,
    /// The weight store or the engine is busy.
    Busy {
        /// When to try again.
        retry_after: Duration,
    },
    /// It was not sent, because its time had passed.
    Expired,
    /// The engine did not answer, or answered with an error.
    Failed,
}

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum UpgradeEvent {
    /// The document in force has changed.
    PlanChanged(UpgradePlan),
    /// Another agent tells about its target.
    PeerNoted(UpgradeNote),
    /// A target's agent is dead or out of reach.
    PeerGone {
        /// The target.
        target: ids::TargetName,
    },
    /// The regular probe of the engine has ended.
    EngineSeen(Option<EngineState>),
    /// Engine and port were checked before an order.
    Prepared(Preparation),
    /// An order has ended.
    OrderEnded {
        /// Number of the order.
        question: QuestionNumber,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// The agent has no work left after [`UpgradeEffect::Drain`](super::UpgradeEffect::Drain).
    Drained,
    /// Time has passed; comes at least once a second.
    Tick {
        /// Time of day.
        wall: WallTime,
    },
}
