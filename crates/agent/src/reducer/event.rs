//! Events that the agent's reducer takes.

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_link::frames;

/// How the target failed one piece of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkFailure {
    /// The target never received it: no connection was made.
    NotSent,
    /// The connection broke, or the target died, while it ran.
    Lost,
    /// The target answered that it can't serve; the work may have run in part, and may be why.
    Unable,
    /// The target answered that the work itself is wrong.
    Refused,
}

/// One event.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    /// A gateway opened a link.
    LinkOpened {
        /// The link.
        link: ids::LinkId,
    },
    /// A link was closed or lost.
    LinkClosed {
        /// The link.
        link: ids::LinkId,
    },
    /// A frame came in.
    Frame {
        /// Link it came on.
        link: ids::LinkId,
        /// The frame.
        frame: frames::GatewayFrame,
    },
    /// The engine generated a token.
    Token {
        /// Attempt it belongs to.
        attempt: ids::AttemptId,
        /// Its place in the generation.
        index: measures::SequenceNumber,
        /// Its text.
        text: Box<str>,
    },
    /// The engine finished a generation.
    GenerationEnded {
        /// Attempt that ended.
        attempt: ids::AttemptId,
        /// Why.
        reason: work::FinishReason,
    },
    /// The plain service answered.
    Answered {
        /// Attempt that was answered.
        attempt: ids::AttemptId,
        /// The answer.
        answer: work::ServiceResponse,
    },
    /// The target failed an attempt.
    WorkFailed {
        /// Attempt that failed.
        attempt: ids::AttemptId,
        /// How.
        failure: WorkFailure,
    },
    /// The target was found to answer, or to be dead together with all it ran.
    TargetHealth {
        /// Whether it answers.
        up: bool,
    },
    /// The engine reported its load.
    EngineReport(engine::EngineReport),
    /// The engine reported a change of its prefix cache.
    CacheChanged(engine::CacheEvent),
    /// The document says how many calls the plain service runs at a time.
    ServiceConcurrency {
        /// Calls at a time.
        calls: u32,
    },
    /// The VM list, the document or the operator says that this target leaves.
    Leave,
    /// The process was asked to stop when all work has ended.
    Stop,
    /// Time has passed; comes at least every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}
