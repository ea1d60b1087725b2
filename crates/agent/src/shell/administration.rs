//! HTTP server for operators: metrics and health.

use std::net;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use kingcupfall_telemetry::registry;
use ntex::web;

use super::Result;
use super::ShellError;
use super::metrics;

/// Maximum number of concurrent connections; metric scrapers need few.
const MAX_CONNECTIONS: usize = 64;

/// State shared with the request handlers.
#[derive(Clone)]
pub(super) struct AdministrationState {
    /// Metrics to serve.
    pub(super) metrics: metrics::MetricSource,
    /// Whether the agent accepts new work and its target responds.
    pub(super) ready: Arc<AtomicBool>,
}

/// Running administration server; dropping it stops the server.
pub(super) struct AdministrationServer {
    address: net::SocketAddr,
    server: ntex::server::Server,
}

impl AdministrationServer {
    /// Starts the server at `address`.
    ///
    /// # Errors
    ///
    /// [`ShellError::Bind`] if the address can't be bound.
    pub(super) fn start(address: net::SocketAddr, state: AdministrationState) -> Result<Self> {
        let bind_error = |error| ShellError::Bind(address, error);
        let listener = net::TcpListener::bind(address).map_err(bind_error)?;
        let bound_address = listener.local_addr().map_err(bind_error)?;
        let factory = move || {
            let state = state.clone();
            async move {
                web::App::new()
                    .state(state)
                    .service(web::resource("/metrics").route(web::get().to(get_metrics)))
                    .service(web::resource("/healthz").route(web::get().to(get_health)))
            }
        };
        let server = web::HttpServer::new(factory)
            .workers(1)
            .maxconn(MAX_CONNECTIONS)
            .disable_signals()
            .listen(listener)
            .map_err(bind_error)?
            .run();

        Ok(Self {
            address: bound_address,
            server,
        })
    }

    /// Returns the bound address.
    pub(super) fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for AdministrationServer {
    fn drop(&mut self) {
        // The stop command is sent by the call; its completion need not be awaited.
        drop(self.server.stop(false));
    }
}

async fn get_metrics(state: web::types::State<AdministrationState>) -> web::HttpResponse {
    web::HttpResponse::Ok()
        .content_type(registry::CONTENT_TYPE)
        .body(state.metrics.encode())
}

async fn get_health(state: web::types::State<AdministrationState>) -> web::HttpResponse {
    match state.ready.load(Ordering::Relaxed) {
        true => web::HttpResponse::Ok().finish(),
        false => web::HttpResponse::ServiceUnavailable().finish(),
    }
}
