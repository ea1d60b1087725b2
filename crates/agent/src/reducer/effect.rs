//! Effects that the agent's reducer asks for.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use kingcupfall_link::frames;

/// A generation to start on the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerateCommand {
    /// Attempt; the engine knows the stream by this id.
    pub attempt: ids::AttemptId,
    /// What to generate.
    pub request: work::GenerationRequest,
    /// Priority to give the engine.
    pub priority: measures::Priority,
    /// Most prompt tokens the engine may process in one step, where it allows it.
    pub prefill_chunk: Option<measures::TokenCount>,
}

/// One effect.
#[derive(Debug, Clone, PartialEq)]
pub enum AgentEffect {
    /// Send a frame.
    Send {
        /// Link to send on.
        link: ids::LinkId,
        /// The frame.
        frame: frames::AgentFrame,
    },
    /// Close a link.
    CloseLink {
        /// The link.
        link: ids::LinkId,
    },
    /// Start a generation.
    Generate(Box<GenerateCommand>),
    /// Pause a stream of the engine.
    Pause {
        /// Attempt to pause.
        attempt: ids::AttemptId,
    },
    /// Resume a stream of the engine.
    Resume {
        /// Attempt to resume.
        attempt: ids::AttemptId,
    },
    /// Cancel a stream of the engine.
    Cancel {
        /// Attempt to cancel.
        attempt: ids::AttemptId,
    },
    /// Call the plain service.
    CallService {
        /// Attempt that calls.
        attempt: ids::AttemptId,
        /// The call.
        request: Box<work::ServiceRequest>,
    },
    /// End the process; all work has ended.
    Exit,
}
