//! The agent as a member of the fleet: frames on the links of gateways, and the document.

use kingcupfall_core::ids;
use kingcupfall_fleet::reducer as fleet_reducer;
use kingcupfall_fleet::shell as fleet_shell;
use kingcupfall_policy::quarantine;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::turn;
use crate::reducer;

/// The document in force; `None` before the first.
pub type DocumentWatch = watch::Receiver<Option<fleet_shell::DocumentNotice>>;

/// Takes what the fleet has for this agent.
pub(super) struct AgentHost {
    target: ids::TargetName,
    events: mpsc::Sender<turn::ShellEvent>,
    documents: watch::Sender<Option<fleet_shell::DocumentNotice>>,
}

impl AgentHost {
    /// Makes the host of the agent beside `target`, and the watch on its documents.
    pub(super) fn new(
        target: ids::TargetName,
        events: mpsc::Sender<turn::ShellEvent>,
    ) -> (Self, DocumentWatch) {
        let (documents, watch) = watch::channel(None);
        let host = Self {
            target,
            events,
            documents,
        };
        (host, watch)
    }
}

impl fleet_shell::FleetHost for AgentHost {
    fn send(&self, link: ids::LinkId, bytes: Vec<u8>) {
        // A frame that is dropped while the queue is full is made up for by digests.
        let _ = self
            .events
            .try_send(turn::ShellEvent::FleetFrame { link, bytes });
    }

    fn take_document(&self, notice: fleet_shell::DocumentNotice) {
        let entry = notice.document.targets.get(&self.target);
        if entry.is_some_and(|entry| entry.leaving) {
            let events = self.events.clone();
            ntex::rt::spawn(async move {
                turn::report(&events, reducer::AgentEvent::Leave).await;
            });
        }
        self.documents.send_replace(Some(notice));
    }

    fn take_suspects(&self, _records: Vec<quarantine::SuspectRecord>) {
        // Gateways judge requests; an agent is told of each suspect by its start order.
    }

    fn take_departures(&self, _vms: Vec<ids::VmName>) {
        // Gateways stop placing on VMs that leave.
    }
}

/// The loop's side of the fleet; does nothing before the agent has joined one.
#[derive(Default)]
pub(super) struct FleetPort {
    handle: Option<fleet_shell::FleetHandle>,
}

impl FleetPort {
    pub(super) fn join(&mut self, handle: fleet_shell::FleetHandle) {
        self.handle = Some(handle);
    }

    pub(super) fn open_link(&self, link: ids::LinkId) {
        if let Some(handle) = &self.handle {
            handle.open_link(link, fleet_reducer::LinkKind::Feed);
        }
    }

    pub(super) fn close_link(&self, link: ids::LinkId) {
        if let Some(handle) = &self.handle {
            handle.close_link(link);
        }
    }

    pub(super) fn take_frame(&self, link: ids::LinkId, bytes: Vec<u8>) {
        if let Some(handle) = &self.handle {
            handle.take_frame(link, bytes);
        }
    }

    pub(super) fn stop(&self) {
        if let Some(handle) = &self.handle {
            handle.stop();
        }
    }
}
