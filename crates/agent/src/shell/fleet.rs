//! Fleet membership of the agent: receives the document and departures over its gateways' links.

use std::net;

use kingcupfall_core::ids;
use kingcupfall_document::sections;
use kingcupfall_fleet::reducer as fleet_reducer;
use kingcupfall_fleet::shell as fleet;
use kingcupfall_policy::quarantine;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::AgentConfig;
use super::Result;
use super::ShellError;
use super::event_loop;
use crate::reducer;

/// Placeholder address in the fleet: no member connects to an agent, whose fleet frames use the
/// links of its gateways.
const UNUSED_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

/// Watch on the active document; `None` until the first one arrives.
pub type DocumentWatch = watch::Receiver<Option<fleet::DocumentNotice>>;

/// Fleet shell of an agent.
pub(super) struct AgentMembership {
    /// Handle that receives the links and frames of the fleet.
    pub(super) handle: fleet::FleetHandle,
    /// Watch on the active document.
    pub(super) documents: DocumentWatch,
}

/// Starts the fleet shell of an agent.
///
/// # Errors
///
/// [`ShellError::Client`] if the fleet shell can't start.
pub(super) async fn start(
    config: &AgentConfig,
    events: mpsc::Sender<event_loop::ShellEvent>,
) -> Result<AgentMembership> {
    let (sender, documents) = watch::channel(None);
    let mut generator = rand::rng();
    let setup = fleet::FleetSetup {
        identity: fleet_reducer::FleetIdentity {
            vm: config.vm.clone(),
            zone: config.zone.clone(),
            address: UNUSED_ADDRESS,
            process: ids::ProcessId::random(&mut generator),
            role: fleet_reducer::FleetRole::Agent,
            seed: generator.random(),
        },
        link_key: config.link_key.clone(),
        platform: None,
        host: Box::new(AgentHost {
            target: config.target.clone(),
            vm: config.vm.clone(),
            events,
            documents: sender,
        }),
    };

    // An agent binds no fleet address, so only creating the HTTP client can fail.
    let handle = fleet::start(setup).await.map_err(|_| ShellError::Client)?;
    Ok(AgentMembership { handle, documents })
}

/// Forwards updates from the fleet shell to the agent's event loop.
struct AgentHost {
    target: ids::TargetName,
    vm: ids::VmName,
    events: mpsc::Sender<event_loop::ShellEvent>,
    documents: watch::Sender<Option<fleet::DocumentNotice>>,
}

impl AgentHost {
    /// Sends an event without blocking the fleet shell while the event channel is full.
    fn send_event(&self, event: event_loop::ShellEvent) {
        let events = self.events.clone();
        if let Err(mpsc::error::TrySendError::Full(event)) = events.try_send(event) {
            ntex::rt::spawn(async move {
                // Sending fails only if the agent has ended.
                let _ = events.send(event).await;
            });
        }
    }

    fn send_leave(&self) {
        self.send_event(event_loop::ShellEvent::Reducer(reducer::AgentEvent::Leave));
    }
}

impl fleet::FleetHost for AgentHost {
    fn send(&self, link: ids::LinkId, bytes: Vec<u8>) {
        // A fleet frame may be dropped: the digest exchange recovers lost updates.
        let _ = self
            .events
            .try_send(event_loop::ShellEvent::FleetFrame { link, bytes });
    }

    fn handle_document(&self, notice: fleet::DocumentNotice) {
        let entry = notice.document.targets.get(&self.target);
        if entry.is_some_and(|entry| entry.leaving) {
            self.send_leave();
        }
        if let Some(service) = service_entry(&notice.document, &self.target) {
            self.send_event(event_loop::ShellEvent::ServiceSettings(service.clone()));
        }
        self.documents.send_replace(Some(notice));
    }

    /// Does nothing: agents do not quarantine requests.
    fn handle_suspects(&self, _records: Vec<quarantine::SuspectRecord>) {}

    fn handle_departures(&self, vms: Vec<ids::VmName>) {
        if vms.contains(&self.vm) {
            self.send_leave();
        }
    }
}

/// Returns the document's entry of the plain service that `target` is a replica of.
fn service_entry<'a>(
    document: &'a sections::OperatorDocument,
    target: &ids::TargetName,
) -> Option<&'a sections::ServiceEntry> {
    match &document.targets.get(target)?.kind {
        sections::TargetKind::Service { service } => document.services.get(service),
        sections::TargetKind::Engine { .. } => None,
    }
}
