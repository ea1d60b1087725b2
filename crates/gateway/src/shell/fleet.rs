//! The gateway as a member of the fleet: exchanges updates with the fleet's task, and frames with
//! the agents on the gateway's links.

use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_fleet::reducer as fleet_reducer;
use kingcupfall_fleet::shell as fleet_shell;
use kingcupfall_policy::quarantine;

use super::command;
use super::context;

/// Passes frames and updates from the fleet's task to the gateway's driver.
pub struct GatewayHost {
    context: context::ServerContext,
}

impl GatewayHost {
    /// Creates the host of the gateway with this context.
    pub fn new(context: context::ServerContext) -> Self {
        Self { context }
    }
}

impl fleet_shell::FleetHost for GatewayHost {
    fn send(&self, link: ids::LinkId, bytes: Vec<u8>) {
        let command = command::DriverCommand::FleetFrame { link, bytes };
        self.context.send_command(command);
    }

    fn handle_document(&self, notice: fleet_shell::DocumentNotice) {
        let command = command::DriverCommand::ActivateDocument(notice.acceptance);
        self.context.send_command(command);
    }

    fn handle_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        self.context
            .send_command(command::DriverCommand::MergeSuspects(records));
    }

    fn handle_departures(&self, vms: Vec<ids::VmName>) {
        self.context
            .send_command(command::DriverCommand::AddDepartures(vms));
    }
}

/// The driver's access to the fleet.
///
/// Before the gateway has joined a fleet, it only keeps track of the open links.
#[derive(Default)]
pub struct FleetClient {
    handle: Option<fleet_shell::FleetHandle>,
    links: BTreeSet<ids::LinkId>,
}

impl FleetClient {
    /// Joins a fleet, and reports the open links to it.
    pub fn join(&mut self, handle: fleet_shell::FleetHandle) {
        for link in &self.links {
            handle.open_link(*link, fleet_reducer::LinkKind::Agent);
        }
        self.handle = Some(handle);
    }

    /// Records that a link to an agent was opened.
    pub fn open_link(&mut self, link: ids::LinkId) {
        self.links.insert(link);
        if let Some(handle) = &self.handle {
            handle.open_link(link, fleet_reducer::LinkKind::Agent);
        }
    }

    /// Records that a link to an agent was closed.
    pub fn close_link(&mut self, link: ids::LinkId) {
        let was_open = self.links.remove(&link);
        if let Some(handle) = self.handle.as_ref().filter(|_| was_open) {
            handle.close_link(link);
        }
    }

    /// Passes a frame received from an agent to the fleet.
    pub fn handle_frame(&self, link: ids::LinkId, bytes: Vec<u8>) {
        if let Some(handle) = &self.handle {
            handle.handle_frame(link, bytes);
        }
    }

    /// Propagates the suspects that this gateway knows; the fleet ignores those it has already
    /// seen.
    pub fn propagate_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        if let Some(handle) = self.handle.as_ref().filter(|_| !records.is_empty()) {
            handle.propagate_suspects(records);
        }
    }

    /// Notifies the fleet that this gateway takes no new calls.
    pub fn leave(&self) {
        if let Some(handle) = &self.handle {
            handle.leave();
        }
    }

    /// Stops the fleet's task in this process.
    pub fn stop(&self) {
        if let Some(handle) = &self.handle {
            handle.stop();
        }
    }
}
