//! Builds HTTP responses and reads request heads.

use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::work;
use ntex::http;
use ntex::web;
use serde::Serialize;

use super::context;
use crate::intake;
use crate::reducer;

/// Header with the outcome of the call.
pub const OUTCOME_HEADER: &str = "kingcupfall-outcome";

/// Header with the idempotency key under which a call ran or is to run.
pub const KEY_HEADER: &str = "idempotency-key";

/// Header of a response that was produced by an earlier call with the same key.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";

const PROBLEM_TYPE: &str = "application/problem+json";
const JSON_TYPE: &str = "application/json";

/// Returns the headers of a request that the gateway uses.
pub fn request_head(request: &web::HttpRequest) -> intake::RequestHead<'_> {
    intake::RequestHead {
        authorization: header_text(request, "authorization"),
        idempotency_key: header_text(request, KEY_HEADER),
        last_event_id: header_text(request, "last-event-id"),
        content_type: header_text(request, "content-type"),
    }
}

/// Builds the response of a problem, and counts the problem in the metrics.
pub fn problem_response(
    context: &context::ServerContext,
    problem: &intake::ProblemDetails,
) -> web::HttpResponse {
    context.metrics().calls().record_problem(problem.code);
    let status = http::StatusCode::from_u16(problem.status)
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = response_builder(context, status, problem.outcome);
    if let Some(retry_after) = problem.retry_after {
        builder.set_header("retry-after", seconds_rounded_up(retry_after).to_string());
    }
    if let Some(key) = &problem.idempotency_key {
        builder.set_header(KEY_HEADER, key.as_ref());
    }
    if status == http::StatusCode::UNAUTHORIZED {
        builder.set_header("www-authenticate", "Bearer");
    }
    if problem.closes_connection {
        builder.force_close();
    }

    builder.content_type(PROBLEM_TYPE).body(json_text(problem))
}

/// Builds the response of a call of `organisation` that ended in a problem.
pub fn call_problem_response(
    context: &context::ServerContext,
    organisation: &ids::OrganisationName,
    problem: &reducer::CallProblem,
) -> web::HttpResponse {
    let details = intake::ProblemDetails::of_call(problem, context.signing_key(), organisation);
    problem_response(context, &details)
}

/// Builds the response of a call that gets no reply because the gateway is stopping.
pub fn stopping_response(
    context: &context::ServerContext,
    outcome: work::CallOutcome,
) -> web::HttpResponse {
    let code = intake::IntakeCode::GatewayStopping;
    let problem = intake::ProblemDetails::new(code, outcome, "the gateway is shutting down");
    problem_response(context, &problem)
}

/// Builds a JSON response of a completed call.
pub fn json_response(
    context: &context::ServerContext,
    status: http::StatusCode,
    value: &impl Serialize,
) -> web::HttpResponse {
    response_builder(context, status, work::CallOutcome::Completed)
        .content_type(JSON_TYPE)
        .body(json_text(value))
}

/// Starts a response with the outcome header.
///
/// While the gateway is stopping, each response closes its connection.
pub fn response_builder(
    context: &context::ServerContext,
    status: http::StatusCode,
    outcome: work::CallOutcome,
) -> web::HttpResponseBuilder {
    let mut builder = web::HttpResponse::build(status);
    builder.set_header(OUTCOME_HEADER, outcome.to_string());
    builder.set_header("cache-control", "no-store");
    if context.is_stopping() {
        builder.force_close();
    }
    builder
}

/// Serialises a value as JSON.
pub fn json_text(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("all types of this API are serialisable as JSON")
}

fn header_text<'a>(request: &'a web::HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Rounds up, so that a caller that waits as long as requested does not retry too early.
fn seconds_rounded_up(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
