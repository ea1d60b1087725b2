//! What every request goes through before its body is read.

use std::sync::Arc;
use std::time::Duration;

use kingcupfall_core::work;

use super::context;
use super::document;
use crate::intake;

/// Wait that callers are told when the gateway can take no more calls, or has no document yet.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that may go on.
pub struct AdmittedRequest {
    /// The document that it is read against.
    pub document: Arc<document::ActiveDocument>,
    /// Who sent it.
    pub caller: intake::CallerIdentity,
    /// Its right to be in progress.
    pub slot: context::CallSlot,
}

/// Finds out who sent a request, and whether there is room for it.
///
/// # Errors
///
/// A [`intake::ProblemDetails`] that refuses the request.
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
        let detail = "the gateway has as many calls in progress as it takes";
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
