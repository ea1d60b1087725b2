//! The endpoint `/v1/idempotency-keys`.

use kingcupfall_core::ids;
use kingcupfall_core::work;
use ntex::http;
use ntex::web;
use serde::Serialize;

use super::admission;
use super::body;
use super::context;
use super::respond;
use crate::intake;
use crate::reducer;

/// Response with a new key.
#[derive(Debug, Serialize)]
struct KeyResponse<'a> {
    idempotency_key: &'a str,
    service: &'a ids::ServiceName,
    target: &'a ids::TargetName,
}

/// Issues an idempotency key.
pub async fn post_key(
    request: web::HttpRequest,
    mut payload: web::types::Payload,
    context: web::types::State<context::ServerContext>,
) -> web::HttpResponse {
    let result = issue_key(&request, &mut payload, &context).await;
    body::discard_body(&context, &mut payload).await;
    match result {
        Ok(response) => response,
        Err(problem) => respond::problem_response(&context, &problem),
    }
}

async fn issue_key(
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
    let key_request =
        intake::parse_key_request(&intake_context, &admitted.caller, &head, call, &body)?;
    let service = key_request.service.clone();
    let event = reducer::GatewayEvent::IssueKey(Box::new(key_request));
    let mut session = context.open_call(admitted.slot, call, event);

    Ok(match session.next().await {
        Some(reducer::CallReply::Key(key)) => {
            let text = context
                .signing_key()
                .sign(&key, &admitted.caller.organisation);
            let response = KeyResponse {
                idempotency_key: &text,
                service: &service,
                target: &key.target,
            };
            respond::json_response(context, http::StatusCode::CREATED, &response)
        }
        Some(reducer::CallReply::Problem(problem)) => {
            respond::call_problem_response(context, &admitted.caller.organisation, &problem)
        }
        Some(
            reducer::CallReply::Tokens(_)
            | reducer::CallReply::Finished { .. }
            | reducer::CallReply::Buffered(_)
            | reducer::CallReply::Service(_),
        )
        | None => respond::stopping_response(context, work::CallOutcome::NotRun),
    })
}
