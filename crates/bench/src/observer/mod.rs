//! Observes a run from the callers' side, independently of the reducers under test.

mod request;
mod result;
mod run;

pub use request::RequestOutcome;
pub use request::RequestRecord;
pub use result::LoadSample;
pub use result::PolicyResult;
pub use result::RunResult;
pub use result::RunTraces;
pub use run::RunObserver;
pub use run::START_TIMEOUT;
