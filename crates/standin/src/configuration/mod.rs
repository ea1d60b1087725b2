//! Stand-in of the configuration service: read as a whole, or watched; never written over HTTP.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kingcupfall_core::measures;
use kingcupfall_document::acceptance;
use kingcupfall_document::sections;
use ntex::web;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time;

use crate::server;

/// Longest wait of a watch; it then answers without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Answer of `GET /v1/sections` and `GET /v1/watch`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSnapshot {
    /// Rises with each change of any section.
    pub revision: u64,
    /// All sections, or those that changed since the revision that was asked after.
    pub sections: Vec<acceptance::SectionText>,
}

/// How the service behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceMode {
    /// It answers with the newest sections.
    Fresh,
    /// It answers with the sections of the time when it became stale.
    Stale,
    /// It answers with an error.
    Down,
}

#[derive(Debug, Clone)]
struct HeldSection {
    text: acceptance::SectionText,
    /// Revision that changed it.
    changed_at: u64,
}

type SectionMap = BTreeMap<sections::SectionName, HeldSection>;

#[derive(Debug, Default)]
struct ServiceState {
    newest: SectionMap,
    revision: u64,
    /// What a stale service shows.
    frozen: Option<(SectionMap, u64)>,
    down: bool,
}

struct ConfigurationCore {
    state: Mutex<ServiceState>,
    shown: watch::Sender<u64>,
    calls: AtomicU64,
}

impl ConfigurationCore {
    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn snapshot(&self, after: u64) -> Option<ServiceSnapshot> {
        let state = self.lock();
        if state.down {
            return None;
        }
        let (sections, revision) = match &state.frozen {
            Some((sections, revision)) => (sections, *revision),
            None => (&state.newest, state.revision),
        };

        Some(ServiceSnapshot {
            revision,
            sections: sections
                .values()
                .filter(|held| held.changed_at > after)
                .map(|held| held.text.clone())
                .collect(),
        })
    }

    /// Wakes the watches after a change of what is shown.
    fn announce(&self) {
        self.shown.send_modify(|changes| *changes += 1);
    }
}

/// A running stand-in configuration service.
#[derive(Clone)]
pub struct ConfigurationStandin {
    core: Arc<ConfigurationCore>,
    server: server::StandinServer,
}

impl ConfigurationStandin {
    /// Starts a service without sections. Must be called in an ntex system.
    ///
    /// # Errors
    ///
    /// The operating system's, when the address is taken.
    pub fn start(listen: net::SocketAddr) -> server::Result<Self> {
        let (listener, address) = server::bind(listen)?;
        let core = Arc::new(ConfigurationCore {
            state: Mutex::default(),
            shown: watch::Sender::new(0),
            calls: AtomicU64::new(0),
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

    /// Changes one section and returns its new version.
    pub fn set_section(
        &self,
        section: sections::SectionName,
        text: &str,
    ) -> measures::SectionVersion {
        let mut state = self.core.lock();
        state.revision += 1;
        let revision = state.revision;
        let newest = state.newest.get(&section);
        let version = newest.map_or(1, |held| held.text.version.get() + 1);
        let version = measures::SectionVersion::new(version);
        let held = HeldSection {
            text: acceptance::SectionText {
                section,
                version,
                text: text.into(),
            },
            changed_at: revision,
        };
        state.newest.insert(section, held);
        drop(state);

        self.core.announce();
        version
    }

    /// Changes how the service behaves.
    pub fn set_mode(&self, mode: ServiceMode) {
        let mut state = self.core.lock();
        state.down = mode == ServiceMode::Down;
        state.frozen = match mode {
            ServiceMode::Stale => Some((state.newest.clone(), state.revision)),
            ServiceMode::Fresh | ServiceMode::Down => None,
        };
        drop(state);

        self.core.announce();
    }

    /// Returns the number of calls so far; a waiting watch counts as one.
    pub fn calls(&self) -> u64 {
        self.core.calls.load(Ordering::Relaxed)
    }

    /// Kills it with all its connections.
    pub async fn kill(&self) {
        self.server.kill().await;
    }
}

type CoreState = web::types::State<Arc<ConfigurationCore>>;

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
}

fn serve(
    listener: net::TcpListener,
    core: Arc<ConfigurationCore>,
) -> server::Result<ntex::server::Server> {
    let factory = move || {
        let core = Arc::clone(&core);
        async move {
            web::App::new()
                .state(core)
                .service(web::resource("/v1/sections").route(web::get().to(read)))
                .service(web::resource("/v1/watch").route(web::get().to(wait)))
        }
    };

    Ok(web::HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run())
}

async fn read(core: CoreState) -> web::HttpResponse {
    core.calls.fetch_add(1, Ordering::Relaxed);
    answer(core.snapshot(0))
}

async fn wait(core: CoreState, query: web::types::Query<WatchQuery>) -> web::HttpResponse {
    core.calls.fetch_add(1, Ordering::Relaxed);
    let mut shown = core.shown.subscribe();
    let deadline = time::Instant::now() + WATCH_TIMEOUT;

    loop {
        let snapshot = core.snapshot(query.after);
        let is_news = match &snapshot {
            Some(snapshot) => snapshot.revision > query.after,
            None => true,
        };
        if is_news {
            return answer(snapshot);
        }
        if time::timeout_at(deadline, shown.changed()).await.is_err() {
            return answer(core.snapshot(query.after));
        }
    }
}

fn answer(snapshot: Option<ServiceSnapshot>) -> web::HttpResponse {
    match snapshot {
        Some(snapshot) => web::HttpResponse::Ok().json(&snapshot),
        None => web::HttpResponse::ServiceUnavailable().finish(),
    }
}
