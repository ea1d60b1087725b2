//! Upgrades of the models that an engine serves, decided by its own agent.
//!
//! Agents agree without a coordinator: each ranks the targets of a model by the same hash of the
//! document's content, waits for its time slot, and holds while others fail or too few serve. Only
//! the agent beside an engine gives it orders, and each order follows a fresh check that the agent
//! still may give it.

mod clock;
pub mod driver;
mod effect;
mod event;
mod judge;
mod notes;
mod peers;
mod plan;
mod reducer;
mod run;
mod steps;

pub use clock::WallTime;
pub use clock::WindowPosition;
pub use effect::UpgradeEffect;
pub use event::EngineState;
pub use event::OrderOutcome;
pub use event::Preparation;
pub use event::QuestionNumber;
pub use event::UpgradeEvent;
pub use judge::HoldReason;
pub use notes::UpgradeNote;
pub use peers::PeerTable;
pub use plan::ModelPlan;
pub use plan::UpgradePlan;
pub use reducer::UpgradeReducer;
