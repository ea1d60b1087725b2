//! The gateway as a member of the fleet: frames on the links to agents, and news both ways.

use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_fleet::reducer as fleet_reducer;
use kingcupfall_fleet::shell as fleet_shell;
use kingcupfall_policy::quarantine;

use super::command;
use super::context;

/// Takes what the fleet has for this gateway.
pub struct GatewayHost {
    context: context::ServerContext,
}

impl GatewayHost {
    /// Makes the host of a gateway.
    pub fn new(context: context::ServerContext) -> Self {
        Self { context }
    }
}

impl fleet_shell::FleetHost for GatewayHost {
    fn send(&self, link: ids::LinkId, bytes: Vec<u8>) {
        let command = command::DriverCommand::FleetFrame { link, bytes };
        self.context.send_command(command);
    }

    fn take_document(&self, notice: fleet_shell::DocumentNotice) {
        let command = command::DriverCommand::ActivateDocument(notice.acceptance);
        self.context.send_command(command);
    }

    fn take_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        self.context
            .send_command(command::DriverCommand::MergeSuspects(records));
    }

    fn take_departures(&self, vms: Vec<ids::VmName>) {
        self.context
            .send_command(command::DriverCommand::AddDepartures(vms));
    }
}

/// The driver's side of the fleet; does nothing before the gateway has joined one.
#[derive(Default)]
pub struct FleetClient {
    handle: Option<fleet_shell::FleetHandle>,
    links: BTreeSet<ids::LinkId>,
}

impl FleetClient {
    /// Joins a fleet, and tells it the links that are open.
    pub fn join(&mut self, handle: fleet_shell::FleetHandle) {
        for link in &self.links {
            handle.open_link(*link, fleet_reducer::LinkKind::Agent);
        }
        self.handle = Some(handle);
    }

    /// Notes that a link to an agent is open.
    pub fn open_link(&mut self, link: ids::LinkId) {
        self.links.insert(link);
        if let Some(handle) = &self.handle {
            handle.open_link(link, fleet_reducer::LinkKind::Agent);
        }
    }

    /// Notes that a link to an agent is closed.
    pub fn close_link(&mut self, link: ids::LinkId) {
        let was_open = self.links.remove(&link);
        if let Some(handle) = self.handle.as_ref().filter(|_| was_open) {
            handle.close_link(link);
        }
    }

    /// Hands a frame of an agent over.
    pub fn handle_frame(&self, link: ids::LinkId, bytes: Vec<u8>) {
        if let Some(handle) = &self.handle {
            handle.take_frame(link, bytes);
        }
    }

    /// Spreads the suspects that this gateway knows of; the fleet drops those that it knows.
    pub fn propagate_suspects(&self, records: Vec<quarantine::SuspectRecord>) {
        if let Some(handle) = self.handle.as_ref().filter(|_| !records.is_empty()) {
            handle.spread_suspects(records);
        }
    }

    /// Tells the fleet that this gateway takes no new calls.
    pub fn leave(&self) {
        if let Some(handle) = &self.handle {
            handle.leave();
        }
    }

    /// Leaves the fleet for good.
    pub fn stop(&self) {
        if let Some(handle) = &self.handle {
            handle.stop();
        }
    }
}
