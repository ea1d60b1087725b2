//! What callers see of a run, counted without help of the reducers under test.

mod call;
mod request;
mod result;

pub use call::RunObserver;
pub use call::START_WINDOW;
pub use request::RequestOutcome;
pub use request::RequestRecord;
pub use result::LoadSample;
pub use result::PolicyResult;
pub use result::RunResult;
pub use result::RunTraces;
