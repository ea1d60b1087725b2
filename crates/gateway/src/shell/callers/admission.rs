//! Checks on every request before its body is read.

use std::sync::Arc;
use std::time::Duration;

use kingcupfall_core::work;

use super::context;
use super::document;
use crate::intake;

/// `Retry-After` of a refusal when the gateway is at its limit of calls, or has no document yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that passed admission.
pub struct AdmittedRequest {
    /// The active document, against which the body is validated.
    pub document: Arc<document::ActiveDocument>,
    /// The authenticated caller.
    pub caller: intake::CallerIdentity,
    /// Slot of the request's call.
    pub slot: context::CallSlot,
}

/// Authenticates the caller of a request, and acquires a slot for its call.
///
/// # Errors
///
/// The [`intake::ProblemDetails`] of the refusal.
pub fn admit(
    context: &context::ServerContext,
    head: &intake::RequestHead<'_>,
) -> intake::Result<AdmittedRequest> {
    let outcome = head.refusal_outcome();
    let document = context.document();
    if !document.is_ready() {
        let detail = "the gateway has no document yet; use another";
        return Err(refuse(intake::IntakeCode::GatewayStarting, outcome, detail));
    }

    let caller = intake::authenticate(document.document(), head)?;
    let Some(slot) = context.try_acquire_slot() else {
        let detail = "the gateway is at its limit of concurrent calls";
        return Err(refuse(intake::IntakeCode::GatewayBusy, outcome, detail));
    };
    Ok(AdmittedRequest {
        document,
        caller,
        slot,
    })
}

fn refuse(
    code: intake::IntakeCode,
    outcome: work::CallOutcome,
    detail: &str,
) -> intake::ProblemDetails {
    intake::ProblemDetails::new(code, outcome, detail).with_retry_after(RETRY_AFTER)
}
