//! Stand-in of the platform's VM list, which shows changes with a delay.

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

/// Role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs a gateway, which callers connect to.
    Gateway,
    /// Runs a target and its agent.
    Target,
}

/// Entry of one VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: ids::VmName,
    /// Availability zone of the VM.
    pub zone: ids::ZoneName,
    /// Role of the VM.
    pub role: VmRole,
    /// Address on which the system's process on the VM accepts links.
    pub address: net::SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// Response to `GET /v1/vms`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// All VMs by name.
    pub vms: Vec<VmEntry>,
}

#[derive(Debug)]
struct VmChange {
    changed_at: Instant,
    name: ids::VmName,
    /// New entry; `None` if the VM was removed.
    entry: Option<VmEntry>,
}

#[derive(Debug, Default)]
struct VmState {
    visible: BTreeMap<ids::VmName, VmEntry>,
    /// Changes that are not visible yet, oldest first.
    pending: Vec<VmChange>,
}

struct VmCore {
    /// Time until a change becomes visible.
    lag: Duration,
    state: Mutex<VmState>,
}

impl VmCore {
    fn lock(&self) -> MutexGuard<'_, VmState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push_change(&self, name: ids::VmName, entry: Option<VmEntry>) {
        let change = VmChange {
            changed_at: Instant::now(),
            name,
            entry,
        };
        self.lock().pending.push(change);
    }

    /// Applies the changes that are old enough, and returns the list.
    fn snapshot(&self) -> VmSnapshot {
        let mut state = self.lock();
        let due_count = state
            .pending
            .iter()
            .take_while(|change| change.changed_at.elapsed() >= self.lag)
            .count();
        let changes: Vec<VmChange> = state.pending.drain(..due_count).collect();
        for change in changes {
            match change.entry {
                Some(entry) => state.visible.insert(change.name, entry),
                None => state.visible.remove(&change.name),
            };
        }

        VmSnapshot {
            vms: state.visible.values().cloned().collect(),
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
    /// Starts an empty list that shows changes after `lag`. Must be called within an ntex system.
    ///
    /// # Errors
    ///
    /// The error of the operating system, for example if the address is in use.
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

    /// Returns the address that the list listens on.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Adds or replaces a VM; the change becomes visible after the lag.
    pub fn set_vm(&self, entry: VmEntry) {
        self.core.push_change(entry.name.clone(), Some(entry));
    }

    /// Removes a VM; the change becomes visible after the lag.
    pub fn remove_vm(&self, name: &ids::VmName) {
        self.core.push_change(name.clone(), None);
    }

    /// Stops the server at once and closes all its connections.
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
