//! The callers' HTTP API.

mod admission;
mod body;
mod generations;
mod health;
mod keys;
mod respond;
mod services;
mod stream;

use ntex::web;

use super::context;
use super::document;
use super::session;
use crate::intake;

/// Adds the endpoints of the callers' API, the health endpoint included, to an application.
pub fn add_routes(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource("/v1/generations")
                .route(web::post().to(generations::post_generation))
                .route(web::get().to(generations::get_generation))
                .default_service(web::to(refuse_method)),
        )
        .service(
            web::resource("/v1/idempotency-keys")
                .route(web::post().to(keys::post_key))
                .default_service(web::to(refuse_method)),
        )
        .service(
            web::resource("/v1/services/{service}/{path}*")
                .route(web::post().to(services::post_service))
                .default_service(web::to(refuse_method)),
        );
    add_health(config);
}

/// Adds the health endpoint, `/healthz`, to an application.
pub fn add_health(config: &mut web::ServiceConfig) {
    config.service(
        web::resource("/healthz")
            .route(web::get().to(health::get_health))
            .default_service(web::to(refuse_method)),
    );
}

/// Refuses a request to a path without an endpoint.
pub async fn refuse_path(
    request: web::HttpRequest,
    context: web::types::State<context::ServerContext>,
) -> web::HttpResponse {
    let outcome = respond::request_head(&request).refusal_outcome();
    let code = intake::IntakeCode::UnknownPath;
    let problem = intake::ProblemDetails::new(code, outcome, "there is no such endpoint");
    respond::problem_response(&context, &problem)
}

async fn refuse_method(
    request: web::HttpRequest,
    context: web::types::State<context::ServerContext>,
) -> web::HttpResponse {
    let outcome = respond::request_head(&request).refusal_outcome();
    let code = intake::IntakeCode::MethodNotAllowed;
    let detail = "the endpoint does not take this method";
    let problem = intake::ProblemDetails::new(code, outcome, detail);
    respond::problem_response(&context, &problem)
}
