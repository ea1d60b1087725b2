//! Events that the agent's reducer handles.

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_link::frames;

/// How an attempt failed on the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkFailure {
    /// The target did not receive the work: no connection was made.
    NotSent,
    /// The connection broke, or the target died, during the work.
    Lost,
    /// The target responded with a server error; the work may have run in part and may be the
    /// cause.
    ServerError,
    /// The target rejected the work itself as invalid.
    Rejected,
}

/// Input of the reducer.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEvent {
    /// A gateway opened a link.
    LinkOpened {
        /// New link.
        link: ids::LinkId,
    },
    /// A link was closed or lost.
    LinkClosed {
        /// Link that ended.
        link: ids::LinkId,
    },
    /// A frame from a gateway arrived.
    FrameReceived {
        /// Link on which it arrived.
        link: ids::LinkId,
        /// Frame that arrived.
        frame: frames::GatewayFrame,
    },
    /// The engine generated a token.
    Token {
        /// Attempt of the token.
        attempt: ids::AttemptId,
        /// Index of the token in the generation, from 0.
        index: measures::SequenceNumber,
        /// Text of the token.
        text: Box<str>,
    },
    /// The engine finished a generation.
    GenerationEnded {
        /// Attempt that ended.
        attempt: ids::AttemptId,
        /// Why the generation ended.
        reason: work::FinishReason,
    },
    /// The plain service responded.
    Responded {
        /// Attempt that made the call.
        attempt: ids::AttemptId,
        /// Response of the service.
        response: work::ServiceResponse,
    },
    /// An attempt failed on the target.
    WorkFailed {
        /// Attempt that failed.
        attempt: ids::AttemptId,
        /// How the attempt failed.
        failure: WorkFailure,
    },
    /// A probe found the target healthy, or dead together with all it ran.
    TargetHealth {
        /// Whether the target responds.
        up: bool,
    },
    /// The engine reported its load.
    EngineReport(engine::EngineReport),
    /// The engine reported a change of its prefix cache.
    CacheChanged(engine::CacheEvent),
    /// The document sets the concurrency limit of the plain service.
    ServiceConcurrency {
        /// Maximum number of concurrent calls.
        calls: u32,
    },
    /// The VM list, the document or the operator marks this target as leaving.
    Leave,
    /// The process was asked to exit when all work has ended.
    Stop,
    /// Time has passed; sent at least every [`TICK_INTERVAL`](super::TICK_INTERVAL).
    Tick,
}
