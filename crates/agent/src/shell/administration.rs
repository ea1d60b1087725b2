//! The agent's own port for operators: metrics and health.

use std::net;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use kingcupfall_telemetry::registry;
use ntex::web;

use super::Result;
use super::ShellError;
use super::metrics;

/// Requests served at a time; scrapers need few.
const CONNECTION_LIMIT: usize = 64;

/// What the port answers with.
#[derive(Clone)]
pub(super) struct AdministrationState {
    /// The metrics.
    pub(super) metrics: metrics::MetricSource,
    /// Whether the agent takes new work and its target answers.
    pub(super) ready: Arc<AtomicBool>,
}

/// A running administration server; it ends when this is dropped.
pub(super) struct AdministrationServer {
    address: net::SocketAddr,
    server: ntex::server::Server,
}

impl AdministrationServer {
    /// Listens at `address`.
    ///
    /// # Errors
    ///
    /// [`ShellError::Bind`] when the address is taken.
    pub(super) fn start(address: net::SocketAddr, state: AdministrationState) -> Result<Self> {
        let bind_error = |error| ShellError::Bind(address, error);
        let listener = net::TcpListener::bind(address).map_err(bind_error)?;
        let local = listener.local_addr().map_err(bind_error)?;
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
            .maxconn(CONNECTION_LIMIT)
            .disable_signals()
            .listen(listener)
            .map_err(bind_error)?
            .run();

        Ok(Self {
            address: local,
            server,
        })
    }

    /// Returns where it listens.
    pub(super) fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for AdministrationServer {
    fn drop(&mut self) {
        // The order to stop is sent at once; nobody waits for its end.
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
