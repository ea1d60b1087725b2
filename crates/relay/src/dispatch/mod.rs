//! Decides which target runs each call, which calls wait and which are refused, without performing
//! input or output.
//!
//! [`Dispatcher`] is a reducer: it handles [`DispatchEvent`]s and returns [`DispatchEffect`]s for
//! the shell to execute. It counts the load that this relay puts on targets itself and adds the
//! load that peers report.

mod admission;
mod budget;
mod calls;
mod cold;
mod copies;
mod crashes;
mod effect;
mod evacuation;
mod event;
mod explanation;
mod forecast;
mod headroom;
mod health;
mod limits;
mod load;
mod migrations;
mod obstacle;
mod placement;
mod prompt_crashes;
mod queue;
mod reducer;
mod refused;
mod reservations;
mod shares;
mod speeds;
mod targets;
mod terms;

pub use budget::BudgetUsage;
pub use budget::RepeatKind;
pub use budget::RetryBounds;
pub use budget::RetryBudget;
pub use calls::CallDemand;
pub use cold::ColdBounds;
pub use cold::ColdChange;
pub use crashes::CrashVerdict;
pub use effect::CallPlacement;
pub use effect::CallRefusal;
pub use effect::DispatchEffect;
pub use effect::LimitSource;
pub use effect::PartSource;
pub use effect::RefusalReason;
pub use effect::SuspectSource;
pub use event::AttemptResult;
pub use event::DispatchEvent;
pub use explanation::PlacementExplanation;
pub use explanation::PlacementOutcome;
pub use explanation::TargetExplanation;
pub use forecast::PlacementForecast;
pub use health::TargetHealth;
pub use limits::LimitSharers;
pub use limits::SharedLimit;
pub use limits::TargetLimit;
pub use load::LoadCount;
pub use load::PeerLoad;
pub use obstacle::TargetObstacle;
pub use reducer::DispatchSettings;
pub use reducer::Dispatcher;
pub use refused::RefusedRequest;
pub use reservations::LoadLimit;
pub use reservations::ReservationMessage;
pub use reservations::ReservationRequest;
pub use speeds::SpeedReport;
