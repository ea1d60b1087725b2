//! HTTP routes of the stand-in engine.

use std::net;
use std::sync::Arc;

use futures_util::stream;
use kingcupfall_agent::protocol;
use kingcupfall_core::ids;
use ntex::web;
use serde::Deserialize;
use tokio::sync::mpsc;

use super::core;
use super::streams;
use crate::server;

type CoreState = web::types::State<Arc<core::EngineCore>>;

#[derive(Deserialize)]
struct CacheQuery {
    /// Number of the first requested event, from `next` of the previous response.
    #[serde(default)]
    after: u64,
}

/// Serves the engine on `listener`.
pub(super) fn serve(
    listener: net::TcpListener,
    core: Arc<core::EngineCore>,
) -> server::Result<ntex::server::Server> {
    let factory = move || {
        let core = Arc::clone(&core);
        async move {
            web::App::new()
                .state(core)
                .state(server::json_config())
                .service(web::resource("/v1/generate").route(web::post().to(generate)))
                .service(web::resource("/v1/streams/{id}").route(web::delete().to(cancel)))
                .service(web::resource("/v1/streams/{id}/pause").route(web::post().to(pause)))
                .service(web::resource("/v1/streams/{id}/resume").route(web::post().to(resume)))
                .service(web::resource("/v1/load").route(web::get().to(load)))
                .service(web::resource("/v1/cache-events").route(web::get().to(cache_events)))
                .service(web::resource("/v1/orders").route(web::post().to(order)))
                .service(web::resource("/v1/health").route(web::get().to(health)))
        }
    };

    Ok(web::HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run())
}

async fn generate(
    core: CoreState,
    body: web::types::Json<protocol::GenerateBody>,
) -> web::HttpResponse {
    match core.submit(&body) {
        Ok(parts) => web::HttpResponse::Ok()
            .content_type("text/event-stream")
            .streaming(Box::pin(body_parts(parts))),
        Err(core::SubmitError::Dead) => web::HttpResponse::ServiceUnavailable().finish(),
        Err(core::SubmitError::Duplicate) => web::HttpResponse::Conflict().finish(),
        Err(core::SubmitError::UnknownModel) => web::HttpResponse::NotFound().finish(),
    }
}

fn body_parts(
    parts: mpsc::UnboundedReceiver<streams::BodyPart>,
) -> impl stream::Stream<Item = streams::BodyPart> {
    stream::unfold(parts, |mut parts| async move {
        let part = parts.recv().await?;
        Some((part, parts))
    })
}

async fn cancel(core: CoreState, path: web::types::Path<ids::AttemptId>) -> web::HttpResponse {
    known_stream_response(core.cancel(*path))
}

async fn pause(core: CoreState, path: web::types::Path<ids::AttemptId>) -> web::HttpResponse {
    known_stream_response(core.pause(*path))
}

async fn resume(core: CoreState, path: web::types::Path<ids::AttemptId>) -> web::HttpResponse {
    known_stream_response(core.resume(*path))
}

async fn load(core: CoreState) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&core.load())
}

async fn cache_events(core: CoreState, query: web::types::Query<CacheQuery>) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&core.cache_events(query.after))
}

async fn order(core: CoreState, body: web::types::Json<protocol::OrderBody>) -> web::HttpResponse {
    let is_accepted = core.handle_order(body.into_inner());
    let Some(health) = core.health() else {
        return web::HttpResponse::ServiceUnavailable().finish();
    };
    match is_accepted {
        true => web::HttpResponse::Ok().json(&health),
        false => web::HttpResponse::Conflict().json(&health),
    }
}

async fn health(core: CoreState) -> web::HttpResponse {
    match core.health() {
        Some(body) => web::HttpResponse::Ok().json(&body),
        None => web::HttpResponse::ServiceUnavailable().finish(),
    }
}

fn known_stream_response(is_known: bool) -> web::HttpResponse {
    match is_known {
        true => web::HttpResponse::NoContent().finish(),
        false => web::HttpResponse::NotFound().finish(),
    }
}
