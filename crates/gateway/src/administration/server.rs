//! The HTTP side of the administration API.

use kingcupfall_core::keys;
use ntex::http;
use ntex::web;
use serde::Serialize;

use super::StateAnswer;
use super::StateQuery;
use crate::shell;

/// Hash of the administration API's bearer key.
#[derive(Debug, Clone)]
pub struct AdministrationKey(keys::KeyHash);

impl AdministrationKey {
    /// Takes the hash.
    pub fn new(hash: keys::KeyHash) -> Self {
        Self(hash)
    }
}

/// Adds the endpoints of the administration API to an application.
pub fn add_routes(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/v1/sections").route(web::get().to(get_sections)))
        .service(web::resource("/v1/targets").route(web::get().to(get_targets)))
        .service(web::resource("/v1/quarantine").route(web::get().to(get_quarantine)));
}

type ContextState = web::types::State<shell::ServerContext>;
type KeyState = web::types::State<AdministrationKey>;

async fn get_sections(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    if !is_authorized(&request, &key) {
        return unauthorized();
    }
    json_response(&context.document().sections)
}

async fn get_targets(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    if !is_authorized(&request, &key) {
        return unauthorized();
    }
    state_response(&context, StateQuery::Targets).await
}

async fn get_quarantine(
    request: web::HttpRequest,
    context: ContextState,
    key: KeyState,
) -> web::HttpResponse {
    if !is_authorized(&request, &key) {
        return unauthorized();
    }
    state_response(&context, StateQuery::Quarantine).await
}

async fn state_response(context: &shell::ServerContext, query: StateQuery) -> web::HttpResponse {
    match context.ask(query).await {
        Some(StateAnswer::Targets(targets)) => json_response(&targets),
        Some(StateAnswer::Explain(standings)) => json_response(&standings),
        Some(StateAnswer::Quarantine(entries)) => json_response(&entries),
        None => web::HttpResponse::build(http::StatusCode::SERVICE_UNAVAILABLE).finish(),
    }
}

fn is_authorized(request: &web::HttpRequest, key: &AdministrationKey) -> bool {
    let header = request.headers().get(http::header::AUTHORIZATION);
    let text = header.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.strip_prefix("Bearer "))
        .is_some_and(|bearer| keys::KeyHash::of_key(bearer).matches(&key.0))
}

fn unauthorized() -> web::HttpResponse {
    web::HttpResponse::build(http::StatusCode::UNAUTHORIZED)
        .set_header("www-authenticate", "Bearer")
        .finish()
}

fn json_response(value: &impl Serialize) -> web::HttpResponse {
    web::HttpResponse::Ok().json(value)
}
