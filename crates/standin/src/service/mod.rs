//! Stand-in of a plain service: bookings, and how often each of them ran.

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

/// A call, by what makes it the same call when it is sent again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CallBody {
    path: Box<str>,
    body: Box<[u8]>,
}

/// Answer of the service to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct BookingAnswer {
    /// Number of the booking.
    booking: u64,
    /// How often a call with this body has run.
    runs: u64,
}

/// Answer of `GET /v1/runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
struct RunsAnswer {
    /// Calls that ran.
    total: u64,
    /// Most runs of one body.
    most_of_one: u64,
}

struct ServiceCore {
    runs: Mutex<BTreeMap<CallBody, u64>>,
    held: watch::Sender<bool>,
}

impl ServiceCore {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<CallBody, u64>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run(&self, call: CallBody) -> BookingAnswer {
        let mut runs = self.lock();
        let count = runs.entry(call).or_default();
        *count += 1;
        let runs_of_body = *count;

        BookingAnswer {
            booking: runs.values().sum(),
            runs: runs_of_body,
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
    /// Starts a service. Must be called in an ntex system.
    ///
    /// # Errors
    ///
    /// The operating system's, when the address is taken.
    pub fn start(listen: net::SocketAddr) -> server::Result<Self> {
        let (listener, address) = server::bind(listen)?;
        let core = Arc::new(ServiceCore {
            runs: Mutex::default(),
            held: watch::Sender::new(false),
        });
        let http = serve(listener, Arc::clone(&core))?;

        Ok(Self {
            core,
            server: server::StandinServer::new(address, http),
        })
    }

    /// Returns where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Returns how often calls of `path` with `body` ran.
    pub fn runs(&self, path: &str, body: &[u8]) -> u64 {
        let call = CallBody {
            path: path.into(),
            body: body.into(),
        };
        self.core.lock().get(&call).copied().unwrap_or_default()
    }

    /// Returns how many calls ran.
    pub fn total_runs(&self) -> u64 {
        self.core.lock().values().sum()
    }

    /// Holds back answers of calls that run from now on, until [`Self::release`].
    pub fn hold(&self) {
        self.core.held.send_replace(true);
    }

    /// Lets held answers go.
    pub fn release(&self) {
        self.core.held.send_replace(false);
    }

    /// Kills it with all its connections.
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
    let answer = RunsAnswer {
        total: runs.values().sum(),
        most_of_one: runs.values().copied().max().unwrap_or_default(),
    };
    web::HttpResponse::Ok().json(&answer)
}

async fn call(core: CoreState, path: web::types::Path<Box<str>>, body: Bytes) -> web::HttpResponse {
    let answer = core.run(CallBody {
        path: path.into_inner(),
        body: body.to_vec().into(),
    });

    let mut held = core.held.subscribe();
    // An error means that the service ends.
    let _ = held.wait_for(|is_held| !is_held).await;
    web::HttpResponse::Ok().json(&answer)
}
