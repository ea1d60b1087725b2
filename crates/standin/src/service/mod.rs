//! Stand-in of a plain service that takes bookings and counts how often each call is executed.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use ntex::util::Bytes;
use ntex::web;
use serde::Serialize;
use tokio::sync::watch;

use crate::server;

/// Path and body of a call; a repeated call has the same ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CallIdentity {
    path: Box<str>,
    body: Box<[u8]>,
}

/// Response to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct BookingResponse {
    /// Number of the booking, counted over all calls.
    booking: u64,
    /// How often a call with this path and body was executed.
    runs: u64,
}

/// Response to `GET /v1/runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct RunsResponse {
    /// Number of executed calls.
    total: u64,
    /// Highest number of executions of the same call.
    #[serde(rename = "most_of_one")]
    max_runs: u64,
}

struct ServiceCore {
    /// Number of executions of each call.
    runs: Mutex<BTreeMap<CallIdentity, u64>>,
    /// Whether responses are held back.
    is_holding: watch::Sender<bool>,
}

impl ServiceCore {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallIdentity, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn execute(&self, call: CallIdentity) -> BookingResponse {
        let mut runs = self.lock();
        let count = runs.entry(call).or_default();
        *count += 1;
        let runs_of_call = *count;

        BookingResponse {
            booking: runs.values().sum(),
            runs: runs_of_call,
        }
    }
}

/// A running stand-in service.
#[derive(Clone)]
pub struct ServiceStandin {
    core: Arc<ServiceCore>,
    server: server::StandinServer,
}

impl ServiceStandin {
    /// Starts a service. Must be called within an ntex system.
    ///
    /// # Errors
    ///
    /// The error of the operating system, for example if the address is in use.
    pub fn start(listen: net::SocketAddr) -> server::Result<Self> {
        let (listener, address) = server::bind(listen)?;
        let core = Arc::new(ServiceCore {
            runs: Mutex::default(),
            is_holding: watch::Sender::new(false),
        });
        let http = serve(listener, Arc::clone(&core))?;

        Ok(Self {
            core,
            server: server::StandinServer::new(address, http),
        })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns how often calls of `path` with `body` were executed.
    pub fn runs(&self, path: &str, body: &[u8]) -> u64 {
        let call = CallIdentity {
            path: path.into(),
            body: body.into(),
        };
        self.core.lock().get(&call).copied().unwrap_or_default()
    }

    /// Returns the number of executed calls.
    pub fn total_runs(&self) -> u64 {
        self.core.lock().values().sum()
    }

    /// Holds back the responses of further calls, which are executed at once, until
    /// [`Self::release_responses`].
    pub fn hold_responses(&self) {
        self.core.is_holding.send_replace(true);
    }

    /// Sends the responses that were held back.
    pub fn release_responses(&self) {
        self.core.is_holding.send_replace(false);
    }

    /// Stops the service at once and closes all its connections.
    pub async fn kill(&self) {
        self.server.kill().await;
    }
}

type CoreState = web::types::State<Arc<ServiceCore>>;

fn serve(
    listener: net::TcpListener,
    core: Arc<ServiceCore>,
) -> server::Result<ntex::server::Server> {
    let factory = move || {
        let core = Arc::clone(&core);
        async move {
            web::App::new()
                .state(core)
                .state(server::payload_config())
                .service(web::resource("/health").route(web::get().to(health)))
                .service(web::resource("/v1/runs").route(web::get().to(runs)))
                .service(web::resource("/{path}*").route(web::post().to(call)))
        }
    };

    Ok(web::HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run())
}

async fn health() -> web::HttpResponse {
    web::HttpResponse::Ok().finish()
}

async fn runs(core: CoreState) -> web::HttpResponse {
    let runs = core.lock();
    let response = RunsResponse {
        total: runs.values().sum(),
        max_runs: runs.values().copied().max().unwrap_or_default(),
    };
    web::HttpResponse::Ok().json(&response)
}

async fn call(core: CoreState, path: web::types::Path<Box<str>>, body: Bytes) -> web::HttpResponse {
    let response = core.execute(CallIdentity {
        path: path.into_inner(),
        body: body.to_vec().into(),
    });

    let mut hold_state = core.is_holding.subscribe();
    // An error means that the service is stopping.
    let _ = hold_state.wait_for(|is_holding| !is_holding).await;
    web::HttpResponse::Ok().json(&response)
}
