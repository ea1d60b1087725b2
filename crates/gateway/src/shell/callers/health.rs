//! `GET /healthz`, for the platform's balancer.

use ntex::http;
use ntex::web;
use serde::Serialize;

use super::context;
use super::respond;

/// Body of the answer.
#[derive(Debug, Serialize)]
struct HealthReport {
    status: &'static str,
}

/// Answers 200 while new calls are welcome, and 503 from the moment the gateway stops.
pub async fn get_health(context: web::types::State<context::ServerContext>) -> web::HttpResponse {
    let (status, text) = match context.is_stopping() {
        false => (http::StatusCode::OK, "serving"),
        true => (http::StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    };
    let mut builder = web::HttpResponse::build(status);
    if context.is_stopping() {
        builder.force_close();
    }
    builder
        .content_type("application/json")
        .body(respond::json_text(&HealthReport { status: text }))
}
