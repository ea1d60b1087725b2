//! `GET /healthz`, for the platform's load balancer.

use ntex::http;
use ntex::web;
use serde::Serialize;

use super::context;
use super::respond;

/// Body of the response.
#[derive(Debug, Serialize)]
struct HealthReport {
    status: &'static str,
}

/// Responds with 200 while the gateway accepts new calls, and with 503 while it has no document yet
/// or is stopping.
pub async fn get_health(context: web::types::State<context::ServerContext>) -> web::HttpResponse {
    let (status, text) = match (context.is_stopping(), context.document().is_ready()) {
        (true, _) => (http::StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        (false, false) => (http::StatusCode::SERVICE_UNAVAILABLE, "starting"),
        (false, true) => (http::StatusCode::OK, "serving"),
    };
    let mut builder = web::HttpResponse::build(status);
    if context.is_stopping() {
        builder.force_close();
    }
    builder
        .content_type("application/json")
        .body(respond::json_text(&HealthReport { status: text }))
}
