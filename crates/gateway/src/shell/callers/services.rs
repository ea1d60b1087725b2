//! The endpoint `/v1/services/{service}/{path}`.

use kingcupfall_core::ids;
use kingcupfall_core::work;
use ntex::http;
use ntex::web;

use super::admission;
use super::body;
use super::context;
use super::respond;
use crate::intake;
use crate::reducer;

const SERVICES_PREFIX: &str = "/v1/services/";

/// Calls a service.
pub async fn post_service(
    request: web::HttpRequest,
    mut payload: web::types::Payload,
    context: web::types::State<context::ServerContext>,
) -> web::HttpResponse {
    let result = call_service(&request, &mut payload, &context).await;
    body::discard_body(&context, &mut payload).await;
    match result {
        Ok(response) => response,
        Err(problem) => respond::problem_response(&context, &problem),
    }
}

async fn call_service(
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
    let path = service_path(request.uri());
    let call_request =
        intake::parse_service_call(&intake_context, &admitted.caller, &head, call, path, &body)?;
    let event = reducer::GatewayEvent::Call(Box::new(call_request));
    let mut session = context.open_call(admitted.slot, call, event);

    let organisation = admitted.caller.organisation;
    Ok(match session.next().await {
        Some(reducer::CallReply::Service(reply)) => service_response(context, &organisation, reply),
        Some(reducer::CallReply::Problem(problem)) => {
            respond::call_problem_response(context, &organisation, &problem)
        }
        Some(
            reducer::CallReply::Tokens(_)
            | reducer::CallReply::Finished { .. }
            | reducer::CallReply::Buffered(_)
            | reducer::CallReply::Key(_),
        )
        | None => respond::stopping_response(context, work::CallOutcome::Unknown),
    })
}

/// Splits service and path from the URI as it was sent, without decoding.
///
/// A query stays part of the path, whose validation then refuses the question mark.
fn service_path(uri: &http::Uri) -> intake::ServicePath<'_> {
    let path_and_query = uri.path_and_query().map_or("", |path| path.as_str());
    let rest = path_and_query
        .strip_prefix(SERVICES_PREFIX)
        .unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    intake::ServicePath { service, path }
}

fn service_response(
    context: &context::ServerContext,
    organisation: &ids::OrganisationName,
    reply: reducer::ServiceReply,
) -> web::HttpResponse {
    let status =
        http::StatusCode::from_u16(reply.response.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let mut builder = respond::response_builder(context, status, work::CallOutcome::Completed);
    if let Some(key) = &reply.key {
        let text = context.signing_key().sign(key, organisation);
        builder.set_header(respond::KEY_HEADER, text.as_ref());
    }
    if reply.replayed {
        builder.set_header(respond::REPLAYED_HEADER, "true");
    }

    builder
        .content_type(reply.response.content_type.as_ref())
        .body(reply.response.body)
}
