//! Decisions on queueing, refusing, placing and evacuating, without input or output.
//!
//! One reducer, [`Dispatcher`], takes [`DispatchEvent`]s and answers with [`DispatchEffect`]s. It
//! answers for the load that this process carries itself, beside what peers tell of theirs.

mod admission;
mod budget;
mod calls;
mod claims;
mod copies;
mod doubt;
mod effect;
mod event;
mod load;
mod place;
mod queue;
mod reducer;
mod returns;
mod targets;

pub use budget::RepeatCount;
pub use budget::RepeatKind;
pub use budget::RetryBounds;
pub use budget::RetryBudget;
pub use calls::CallDemand;
pub use claims::ClaimMessage;
pub use claims::RoomBound;
pub use claims::RoomClaim;
pub use doubt::TargetDoubt;
pub use effect::CallPlacement;
pub use effect::CallRefusal;
pub use effect::DispatchEffect;
pub use effect::RefusalReason;
pub use event::AttemptResult;
pub use event::DispatchEvent;
pub use load::LoadCount;
pub use load::PeerLoad;
pub use reducer::DispatchSettings;
pub use reducer::Dispatcher;
pub use returns::RefusedRecord;
