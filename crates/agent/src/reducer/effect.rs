//! Effects that the agent's reducer returns.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_link::frames;

/// Generation to start on the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerateCommand {
    /// Id of the attempt, by which the engine knows the stream.
    pub attempt: ids::AttemptId,
    /// Model, prompt and limits of the generation.
    pub request: work::GenerationRequest,
    /// Priority of the stream at the engine.
    pub priority: measures::Priority,
    /// Maximum number of prompt tokens per engine step, where the engine supports a limit.
    pub prefill_chunk: Option<measures::TokenCount>,
}

/// Action for the shell to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEffect {
    /// Send a frame.
    Send {
        /// Link to send on.
        link: ids::LinkId,
        /// Frame to send.
        frame: frames::AgentFrame,
    },
    /// Close a link.
    CloseLink {
        /// Link to close.
        link: ids::LinkId,
    },
    /// Start a generation on the engine.
    Generate(Box<GenerateCommand>),
    /// Pause a stream on the engine.
    Pause {
        /// Attempt to pause.
        attempt: ids::AttemptId,
    },
    /// Resume a stream on the engine.
    Resume {
        /// Attempt to resume.
        attempt: ids::AttemptId,
    },
    /// Cancel a stream on the engine.
    Cancel {
        /// Attempt to cancel.
        attempt: ids::AttemptId,
    },
    /// Call the plain service.
    CallService {
        /// Attempt that makes the call.
        attempt: ids::AttemptId,
        /// Request to send.
        request: Box<work::ServiceRequest>,
    },
    /// Exit the process; all work has ended.
    Exit,
}
