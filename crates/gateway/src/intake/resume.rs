//! Parsing of requests to resume a stream.

use kingcupfall_core::findings;
use kingcupfall_core::ids;

use super::CallerIdentity;
use super::IntakeContext;
use super::ProblemDetails;
use super::RequestHead;
use super::Result;
use super::generation;
use crate::reducer;

/// Parses a request to resume a stream, which names the stream in its `Last-Event-ID` header.
///
/// # Errors
///
/// A [`ProblemDetails`] when the header is missing or not a well-formed event id.
pub fn parse_resume(
    context: &IntakeContext<'_>,
    caller: &CallerIdentity,
    head: &RequestHead<'_>,
    call: ids::CallId,
) -> Result<reducer::ResumeRequest> {
    let mut findings = findings::FindingList::default();
    let event_id = head.last_event_id.unwrap_or_default();
    let token = generation::ok_or_record(&mut findings, "last-event-id", event_id.parse());
    let Some(token) = token else {
        return Err(ProblemDetails::of_findings(
            head.refusal_outcome(),
            findings,
        ));
    };

    // The event id does not include the class of the original call, so the default class is used.
    let class: ids::ClassName = generation::DEFAULT_CLASS
        .parse()
        .expect("the default class is a valid name");
    Ok(reducer::ResumeRequest {
        call,
        tag: super::caller_tag(context.document, caller, class),
        token,
    })
}
