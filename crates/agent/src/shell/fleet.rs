//! The agent's part in the fleet: the document and departures reach it over its gateways' links.

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
use super::turn;
use crate::reducer;

/// An agent takes no links of other gateways, so its address in the fleet is none.
const NO_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

/// The document in force at an agent; `None` before the first.
pub type DocumentWatch = watch::Receiver<Option<fleet::DocumentNotice>>;

/// The fleet's shell of an agent, and what it brings.
pub(super) struct AgentMembership {
    /// Takes links and frames of the fleet.
    pub(super) handle: fleet::FleetHandle,
    /// Shows the document in force.
    pub(super) documents: DocumentWatch,
}

/// Starts the fleet's shell for an agent.
///
/// # Errors
///
/// [`ShellError::Client`] when the fleet's shell can't start.
pub(super) async fn start(
    config: &AgentConfig,
    events: mpsc::Sender<turn::ShellEvent>,
) -> Result<AgentMembership> {
    let (sender, documents) = watch::channel(None);
    let mut generator = rand::rng();
    let setup = fleet::FleetSetup {
        identity: fleet_reducer::FleetIdentity {
            vm: config.vm.clone(),
            zone: config.zone.clone(),
            address: NO_ADDRESS,
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

    // An agent binds nothing for the fleet, so that only its client could fail.
    let handle = fleet::start(setup).await.map_err(|_| ShellError::Client)?;
    Ok(AgentMembership { handle, documents })
}

/// Hands what the fleet has to the agent's loop.
struct AgentHost {
    target: ids::TargetName,
    vm: ids::VmName,
    events: mpsc::Sender<turn::ShellEvent>,
    documents: watch::Sender<Option<fleet::DocumentNotice>>,
}

impl AgentHost {
    /// Sends an event without holding the fleet up while the loop's queue is full.
    fn send_event(&self, event: turn::ShellEvent) {
        let events = self.events.clone();
        if let Err(mpsc::error::TrySendError::Full(event)) = events.try_send(event) {
            ntex::rt::spawn(async move {
                // An error means that the agent has ended.
                let _ = events.send(event).await;
            });
        }
    }

    fn leave(&self) {
        self.send_event(turn::ShellEvent::Reducer(reducer::AgentEvent::Leave));
    }
}

impl fleet::FleetHost for AgentHost {
    fn send(&self, link: ids::LinkId, bytes: Vec<u8>) {
        // Fleet frames may be lost: digests make up for them.
        let _ = self
            .events
            .try_send(turn::ShellEvent::FleetFrame { link, bytes });
    }

    fn take_document(&self, notice: fleet::DocumentNotice) {
        let entry = notice.document.targets.get(&self.target);
        if entry.is_some_and(|entry| entry.leaving) {
            self.leave();
        }
        if let Some(service) = service_entry(&notice.document, &self.target) {
            self.send_event(turn::ShellEvent::Service(service.clone()));
        }
        self.documents.send_replace(Some(notice));
    }

    /// Agents judge no suspects.
    fn take_suspects(&self, _records: Vec<quarantine::SuspectRecord>) {}

    fn take_departures(&self, vms: Vec<ids::VmName>) {
        if vms.contains(&self.vm) {
            self.leave();
        }
    }
}

/// Returns what the document says of the plain service that `target` is a replica of.
fn service_entry<'a>(
    document: &'a sections::OperatorDocument,
    target: &ids::TargetName,
) -> Option<&'a sections::ServiceEntry> {
    match &document.targets.get(target)?.kind {
        sections::TargetKind::Service { service } => document.services.get(service),
        sections::TargetKind::Engine { .. } => None,
    }
}
