//! The endpoint `/v1/generations`.

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::work;
use ntex::http;
use ntex::web;
use serde::Serialize;

use super::admission;
use super::body;
use super::context;
use super::respond;
use super::session;
use super::stream;
use crate::intake;
use crate::reducer;

/// Response to a generation that is not streamed.
#[derive(Debug, Serialize)]
struct BufferedResponse<'a> {
    outcome: work::CallOutcome,
    generation: ids::AttemptId,
    text: &'a str,
    total: measures::SequenceNumber,
    reason: work::FinishReason,
}

/// Starts a generation, or resumes a stream if the request has a `Last-Event-ID` header.
pub async fn post_generation(
    request: web::HttpRequest,
    mut payload: web::types::Payload,
    context: web::types::State<context::ServerContext>,
) -> web::HttpResponse {
    let head = respond::request_head(&request);
    if head.last_event_id.is_some() {
        return resume_stream(&request, &context).await;
    }
    let result = handle_generation(&request, &mut payload, &context).await;
    body::discard_body(&context, &mut payload).await;
    match result {
        Ok(response) => response,
        Err(problem) => respond::problem_response(&context, &problem),
    }
}

/// Resumes the stream of the request's `Last-Event-ID` header.
pub async fn get_generation(
    request: web::HttpRequest,
    context: web::types::State<context::ServerContext>,
) -> web::HttpResponse {
    resume_stream(&request, &context).await
}

async fn handle_generation(
    request: &web::HttpRequest,
    payload: &mut web::types::Payload,
    context: &context::ServerContext,
) -> intake::Result<web::HttpResponse> {
    let head = respond::request_head(request);
    let admitted = admission::admit(context, &head)?;
    let outcome = head.refusal_outcome();
    let body = body::read_body(context, request, payload, outcome).await?;

    let call = context.next_call_id();
    let intake_context = context.intake_context(admitted.document.document());
    let call_request =
        intake::parse_generation(&intake_context, &admitted.caller, &head, call, &body)?;
    let is_stream = call_request.stream;
    let event = reducer::GatewayEvent::Call(Box::new(call_request));
    let session = context.open_call(admitted.slot, call, event);

    let organisation = admitted.caller.organisation;
    Ok(match is_stream {
        true => stream::stream_response(context, request, organisation, session).await,
        false => buffered_response(context, &organisation, session).await,
    })
}

async fn resume_stream(
    request: &web::HttpRequest,
    context: &context::ServerContext,
) -> web::HttpResponse {
    match handle_resume(request, context).await {
        Ok(response) => response,
        Err(problem) => respond::problem_response(context, &problem),
    }
}

async fn handle_resume(
    request: &web::HttpRequest,
    context: &context::ServerContext,
) -> intake::Result<web::HttpResponse> {
    let head = respond::request_head(request);
    let admitted = admission::admit(context, &head)?;

    let call = context.next_call_id();
    let intake_context = context.intake_context(admitted.document.document());
    let resume = intake::parse_resume(&intake_context, &admitted.caller, &head, call)?;
    let event = reducer::GatewayEvent::Resume(Box::new(resume));
    let session = context.open_call(admitted.slot, call, event);

    Ok(stream::stream_response(context, request, admitted.caller.organisation, session).await)
}

async fn buffered_response(
    context: &context::ServerContext,
    organisation: &ids::OrganisationName,
    mut session: session::CallSession,
) -> web::HttpResponse {
    match session.next().await {
        Some(reducer::CallReply::Buffered(buffered)) => {
            let text = buffered.tokens.concat();
            let response = BufferedResponse {
                outcome: work::CallOutcome::Completed,
                generation: buffered.attempt,
                text: &text,
                total: measures::SequenceNumber::new(buffered.tokens.len() as u64),
                reason: buffered.reason,
            };
            respond::json_response(context, http::StatusCode::OK, &response)
        }
        Some(reducer::CallReply::Problem(problem)) => {
            respond::call_problem_response(context, organisation, &problem)
        }
        Some(
            reducer::CallReply::Tokens(_)
            | reducer::CallReply::Finished { .. }
            | reducer::CallReply::Service(_)
            | reducer::CallReply::Key(_),
        )
        | None => respond::stopping_response(context, work::CallOutcome::Unknown),
    }
}
