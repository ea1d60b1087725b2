//! Stand-in of the VM list, which shows changes late.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use kingcupfall_core::ids;
use ntex::web;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::server;

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// It takes callers.
    Gateway,
    /// It has a target and its agent.
    Target,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub name: ids::VmName,
    /// Its availability zone.
    pub zone: ids::ZoneName,
    /// What it is for.
    pub role: VmRole,
    /// Where the system's process on it takes links.
    pub address: net::SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// Answer of `GET /v1/vms`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// All VMs by name.
    pub vms: Vec<VmEntry>,
}

#[derive(Debug)]
struct VmChange {
    at: Instant,
    name: ids::VmName,
    entry: Option<VmEntry>,
}

#[derive(Debug, Default)]
struct VmState {
    shown: BTreeMap<ids::VmName, VmEntry>,
    /// Changes that are not shown yet, oldest first.
    pending: Vec<VmChange>,
}

struct VmCore {
    lag: Duration,
    state: Mutex<VmState>,
}

impl VmCore {
    fn lock(&self) -> MutexGuard<'_, VmState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, name: ids::VmName, entry: Option<VmEntry>) {
        let change = VmChange {
            at: Instant::now(),
            name,
            entry,
        };
        self.lock().pending.push(change);
    }

    fn snapshot(&self) -> VmSnapshot {
        let mut state = self.lock();
        let due = state
            .pending
            .iter()
            .take_while(|change| change.at.elapsed() >= self.lag)
            .count();
        let changes: Vec<VmChange> = state.pending.drain(..due).collect();
        for change in changes {
            match change.entry {
                Some(entry) => state.shown.insert(change.name, entry),
                None => state.shown.remove(&change.name),
            };
        }

        VmSnapshot {
            vms: state.shown.values().cloned().collect(),
        }
    }
}

/// A running stand-in VM list.
#[derive(Clone)]
pub struct VmStandin {
    core: Arc<VmCore>,
    server: server::StandinServer,
}

impl VmStandin {
    /// Starts an empty list whose changes show after `lag`. Must be called in an ntex system.
    ///
    /// # Errors
    ///
    /// The operating system's, when the address is taken.
    pub fn start(listen: net::SocketAddr, lag: Duration) -> server::Result<Self> {
        let (listener, address) = server::bind(listen)?;
        let core = Arc::new(VmCore {
            lag,
            state: Mutex::default(),
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

    /// Adds or changes a VM.
    pub fn set_vm(&self, entry: VmEntry) {
        self.core.change(entry.name.clone(), Some(entry));
    }

    /// Removes a VM.
    pub fn remove_vm(&self, name: &ids::VmName) {
        self.core.change(name.clone(), None);
    }

    /// Kills it with all its connections.
    pub async fn kill(&self) {
        self.server.kill().await;
    }
}

type CoreState = web::types::State<Arc<VmCore>>;

fn serve(listener: net::TcpListener, core: Arc<VmCore>) -> server::Result<ntex::server::Server> {
    let factory = move || {
        let core = Arc::clone(&core);
        async move {
            web::App::new()
                .state(core)
                .service(web::resource("/v1/vms").route(web::get().to(list)))
        }
    };

    Ok(web::HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run())
}

async fn list(core: CoreState) -> web::HttpResponse {
    web::HttpResponse::Ok().json(&core.snapshot())
}
