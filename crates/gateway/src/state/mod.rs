//! State of the gateway's reducer: calls, targets and clock estimates.

mod calls;
mod clock;
mod resume;
mod targets;

pub use calls::CallPhase;
pub use calls::CallState;
pub use calls::CallTable;
pub use calls::PlacedAttempt;
pub use clock::AgentClock;
pub use resume::ResumeError;
pub use resume::ResumeToken;
pub use targets::LinkPhase;
pub use targets::ServedWork;
pub use targets::TargetListing;
pub use targets::TargetObstacle;
pub use targets::TargetState;
pub use targets::TargetTable;
