//! Interface between the shell and the target.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;

use crate::reducer;

/// Executes work on a target and reports the results as events. No method blocks.
pub trait TargetDriver {
    /// Starts a generation.
    fn generate(&self, command: reducer::GenerateCommand);

    /// Pauses a stream.
    fn pause(&self, attempt: ids::AttemptId);

    /// Resumes a paused stream.
    fn resume(&self, attempt: ids::AttemptId);

    /// Cancels a stream; no event of the stream follows.
    fn cancel(&self, attempt: ids::AttemptId);

    /// Sets the response timeout of the plain service for later calls.
    fn set_service_timeout(&mut self, timeout: Duration);

    /// Calls the plain service.
    fn call_service(&self, attempt: ids::AttemptId, request: work::ServiceRequest);
}
