//! State tables of the agent's reducer.

mod attempts;
mod buffer;
mod executions;
mod tombstones;

pub use attempts::AttemptEnd;
pub use attempts::AttemptPhase;
pub use attempts::AttemptState;
pub use attempts::AttemptTable;
pub use attempts::TokenSubscriber;
pub use buffer::TokenBuffer;
pub use executions::ExecutionLookup;
pub use executions::ExecutionRecord;
pub use executions::ExecutionTable;
pub use executions::RepeatWaiter;
pub use tombstones::TombstoneTable;
