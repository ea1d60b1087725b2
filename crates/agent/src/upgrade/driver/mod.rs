//! Timers, HTTP and process life around the upgrade reducer.

mod engine;
mod life;
mod task;

pub use life::AgentLife;
pub use life::FencePort;
pub use task::UpgradeHandle;
pub use task::UpgradeHost;
pub use task::UpgradeSetup;
pub use task::start;
