//! Stand-in of the configuration service. Its sections are read or watched over HTTP, and changed
//! only through the handle.

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

/// Maximum wait of a watch request, which then gets a response without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Response to `GET /v1/sections` and `GET /v1/watch`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationSnapshot {
    /// Increases by one with each change of a section.
    pub revision: u64,
    /// All sections; for a watch, only those that changed after the revision in the query.
    pub sections: Vec<acceptance::SectionText>,
}

/// Mode of the service; the modes other than `Fresh` simulate faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigurationMode {
    /// Responds with the current sections.
    Fresh,
    /// Responds with the sections as they were when the mode was set.
    Stale,
    /// Responds with status 503.
    Down,
}

#[derive(Debug, Clone)]
struct VersionedSection {
    text: acceptance::SectionText,
    /// Revision of its last change.
    changed_revision: u64,
}

type SectionMap = BTreeMap<sections::SectionName, VersionedSection>;

#[derive(Debug, Default)]
struct ConfigurationState {
    current: SectionMap,
    revision: u64,
    /// Sections and revision that are served in the stale mode.
    stale: Option<(SectionMap, u64)>,
    is_down: bool,
}

struct ConfigurationCore {
    state: Mutex<ConfigurationState>,
    /// Number of changes of what is served; wakes the watch requests.
    change_count: watch::Sender<u64>,
    call_count: AtomicU64,
}

impl ConfigurationCore {
    fn lock(&self) -> MutexGuard<'_, ConfigurationState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the sections that changed after a revision; `None` if the service is down.
    fn snapshot(&self, after: u64) -> Option<ConfigurationSnapshot> {
        let state = self.lock();
        if state.is_down {
            return None;
        }
        let (sections, revision) = match &state.stale {
            Some((sections, revision)) => (sections, *revision),
            None => (&state.current, state.revision),
        };

        Some(ConfigurationSnapshot {
            revision,
            sections: sections
                .values()
                .filter(|versioned| versioned.changed_revision > after)
                .map(|versioned| versioned.text.clone())
                .collect(),
        })
    }

    /// Wakes the watch requests after a change of what is served.
    fn notify_watchers(&self) {
        self.change_count.send_modify(|count| *count += 1);
    }
}

/// A running stand-in configuration service.
#[derive(Clone)]
pub struct ConfigurationStandin {
    core: Arc<ConfigurationCore>,
    server: server::StandinServer,
}

impl ConfigurationStandin {
    /// Starts a service without sections. Must be called within an ntex system.
    ///
    /// # Errors
    ///
    /// The error of the operating system, for example if the address is in use.
    pub fn start(listen: net::SocketAddr) -> server::Result<Self> {
        let (listener, address) = server::bind(listen)?;
        let core = Arc::new(ConfigurationCore {
            state: Mutex::default(),
            change_count: watch::Sender::new(0),
            call_count: AtomicU64::new(0),
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

    /// Sets the text of one section and returns its new version.
    pub fn set_section(
        &self,
        section: sections::SectionName,
        text: &str,
    ) -> measures::SectionVersion {
        let mut state = self.core.lock();
        state.revision += 1;
        let revision = state.revision;
        let current = state.current.get(&section);
        let version = current.map_or(1, |versioned| versioned.text.version.get() + 1);
        let version = measures::SectionVersion::new(version);
        let versioned = VersionedSection {
            text: acceptance::SectionText {
                section,
                version,
                text: text.into(),
            },
            changed_revision: revision,
        };
        state.current.insert(section, versioned);
        drop(state);

        self.core.notify_watchers();
        version
    }

    /// Sets the mode of the service.
    pub fn set_mode(&self, mode: ConfigurationMode) {
        let mut state = self.core.lock();
        state.is_down = mode == ConfigurationMode::Down;
        state.stale = match mode {
            ConfigurationMode::Stale => Some((state.current.clone(), state.revision)),
            ConfigurationMode::Fresh | ConfigurationMode::Down => None,
        };
        drop(state);

        self.core.notify_watchers();
    }

    /// Returns the number of requests so far; a watch counts once, however long it waits.
    pub fn call_count(&self) -> u64 {
        self.core.call_count.load(Ordering::Relaxed)
    }

    /// Stops the service at once and closes all its connections.
    pub async fn kill(&self) {
        self.server.kill().await;
    }
}

type CoreState = web::types::State<Arc<ConfigurationCore>>;

#[derive(Deserialize)]
struct WatchQuery {
    /// Newest revision that the client has received.
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
                .service(web::resource("/v1/sections").route(web::get().to(read_sections)))
                .service(web::resource("/v1/watch").route(web::get().to(watch_sections)))
        }
    };

    Ok(web::HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run())
}

async fn read_sections(core: CoreState) -> web::HttpResponse {
    core.call_count.fetch_add(1, Ordering::Relaxed);
    snapshot_response(core.snapshot(0))
}

async fn watch_sections(
    core: CoreState,
    query: web::types::Query<WatchQuery>,
) -> web::HttpResponse {
    core.call_count.fetch_add(1, Ordering::Relaxed);
    let mut change_count = core.change_count.subscribe();
    let deadline = time::Instant::now() + WATCH_TIMEOUT;

    loop {
        let snapshot = core.snapshot(query.after);
        let has_update = match &snapshot {
            Some(snapshot) => snapshot.revision > query.after,
            None => true,
        };
        if has_update {
            return snapshot_response(snapshot);
        }
        if time::timeout_at(deadline, change_count.changed())
            .await
            .is_err()
        {
            return snapshot_response(core.snapshot(query.after));
        }
    }
}

fn snapshot_response(snapshot: Option<ConfigurationSnapshot>) -> web::HttpResponse {
    match snapshot {
        Some(snapshot) => web::HttpResponse::Ok().json(&snapshot),
        None => web::HttpResponse::ServiceUnavailable().finish(),
    }
}
