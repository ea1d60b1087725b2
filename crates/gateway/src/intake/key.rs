//! Parsing of requests for idempotency keys.

use kingcupfall_core::findings;
use kingcupfall_core::ids;
use serde::Deserialize;

use super::CallerIdentity;
use super::IntakeContext;
use super::ProblemDetails;
use super::RequestHead;
use super::Result;
use super::generation;
use super::service;
use crate::reducer;

/// JSON body of `POST /v1/idempotency-keys`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyBody {
    service: Box<str>,
}

/// Parses and validates the body of `POST /v1/idempotency-keys`.
///
/// # Errors
///
/// A [`ProblemDetails`] when the body is not the expected JSON or the document has no such service.
pub fn parse_key_request(
    context: &IntakeContext<'_>,
    caller: &CallerIdentity,
    head: &RequestHead<'_>,
    call: ids::CallId,
    body: &[u8],
) -> Result<reducer::KeyRequest> {
    let body: KeyBody = serde_json::from_slice(body).map_err(|error| {
        let mut findings = findings::FindingList::default();
        findings.push(generation::json_finding(&error));
        ProblemDetails::of_findings(head.refusal_outcome(), findings)
    })?;
    let (service, _) = service::find_service(context.document, head, &body.service)?;

    let class: ids::ClassName = service
        .as_str()
        .parse()
        .expect("service and class names have the same form");
    Ok(reducer::KeyRequest {
        call,
        tag: super::caller_tag(context.document, caller, class),
        service,
    })
}
