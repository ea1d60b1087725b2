//! The border between the shell and the target.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;

use crate::reducer;

/// Carries out work on a target and reports it as events. No method waits.
pub trait TargetDriver {
    /// Starts a generation.
    fn generate(&self, command: reducer::GenerateCommand);

    /// Pauses a stream.
    fn pause(&self, attempt: ids::AttemptId);

    /// Resumes a paused stream.
    fn resume(&self, attempt: ids::AttemptId);

    /// Cancels a stream; no event of it follows.
    fn cancel(&self, attempt: ids::AttemptId);

    /// Sets the longest wait for an answer of the plain service.
    fn set_service_timeout(&mut self, timeout: Duration);

    /// Calls the plain service.
    fn call(&self, attempt: ids::AttemptId, request: work::ServiceRequest);
}
