//! Requests for the rest of a stream.

use kingcupfall_core::findings;
use kingcupfall_core::ids;

use super::CallerIdentity;
use super::IntakeContext;
use super::ProblemDetails;
use super::RequestHead;
use super::Result;
use super::generation;
use crate::reducer;

/// Reads a request with the header `Last-Event-ID`.
///
/// # Errors
///
/// A [`ProblemDetails`] when the header is missing or is no event id of this system.
pub fn read_resume(
    context: &IntakeContext<'_>,
    caller: &CallerIdentity,
    head: &RequestHead<'_>,
    call: ids::CallId,
) -> Result<reducer::ResumeRequest> {
    let mut findings = findings::FindingList::default();
    let text = head.last_event_id.unwrap_or_default();
    let token = generation::collect(&mut findings, "last-event-id", text.parse());
    let Some(token) = token else {
        return Err(ProblemDetails::of_findings(
            head.refusal_outcome(),
            findings,
        ));
    };

    let class: ids::ClassName = generation::DEFAULT_CLASS.parse().expect("a valid name");
    Ok(reducer::ResumeRequest {
        call,
        tag: super::caller_tag(context.document, caller, class),
        token,
    })
}
