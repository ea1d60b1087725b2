//! The fleet reducer: one function that applies each event to the state and returns effects as
//! data, without any input or output of its own.

mod connections;
mod effect;
mod event;
mod joining;
mod links;
mod maintenance;
mod membership;
mod notices;
mod propagation;
mod reading;
mod status;
mod transfers;

use std::collections::BTreeMap;
use std::net;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use effect::FleetEffect;
pub use event::FleetEvent;
pub use event::LinkKind;
pub use event::ServiceReading;
pub use event::ServiceRevision;
pub use event::VmListing;
pub use joining::JoinPhase;
pub use maintenance::TICK_INTERVAL;
pub use status::FleetCounters;
pub use status::FleetStatus;
pub use status::SectionStatus;

use crate::members;
use crate::messages;
use crate::sections;
use crate::suspects;
use crate::validation;

/// Role of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetRole {
    /// A gateway: gossips with other gateways, sends updates to agents, and may read the
    /// configuration service and the VM list for its zone.
    Gateway,
    /// An agent: receives updates from gateways, and neither opens links nor reads the
    /// configuration service or the VM list.
    Agent,
}

/// Identity of a process, fixed when it starts.
#[derive(Debug, Clone)]
pub struct FleetIdentity {
    /// VM on which the process runs.
    pub vm: ids::VmName,
    /// Zone of the VM.
    pub zone: ids::ZoneName,
    /// Address at which a gateway accepts links from other gateways.
    pub address: net::SocketAddr,
    /// Id of the process, drawn at its start.
    pub process: ids::ProcessId,
    /// Role of the process in the fleet.
    pub role: FleetRole,
    /// Seed of the random generator, which draws jitter and selects peers.
    pub seed: u64,
}

/// Membership and configuration state of one process.
#[derive(Debug)]
pub struct FleetReducer {
    role: FleetRole,
    own_record: members::MemberRecord,
    generator: ChaCha8Rng,
    links: BTreeMap<ids::LinkId, links::PeerLink>,
    connections: connections::ConnectionState,
    members: members::MemberTable,
    member_updates: membership::MemberUpdates,
    validator: Box<dyn validation::SectionValidator>,
    store: sections::SectionStore,
    propagation: propagation::PropagationState,
    join: joining::JoinState,
    reader: reading::ReaderState,
    vm_list: reading::VmListState,
    suspects: suspects::SuspectTable,
    departures: notices::DepartureTable,
    schedule: maintenance::MaintenanceSchedule,
    counters: FleetCounters,
}

impl FleetReducer {
    /// Creates the reducer of a process that starts at `now` and validates its sections with
    /// `validator`.
    pub fn new(
        identity: FleetIdentity,
        validator: Box<dyn validation::SectionValidator>,
        now: time::Timestamp,
    ) -> Self {
        let own_record = members::MemberRecord {
            vm: identity.vm.clone(),
            zone: identity.zone.clone(),
            address: identity.address,
            process: identity.process,
            version: 0,
            state: members::MemberState::Alive,
        };

        Self {
            role: identity.role,
            own_record,
            generator: ChaCha8Rng::seed_from_u64(identity.seed),
            links: BTreeMap::new(),
            connections: connections::ConnectionState::default(),
            members: members::MemberTable::new(identity.vm, identity.zone),
            member_updates: membership::MemberUpdates::default(),
            validator,
            store: sections::SectionStore::default(),
            propagation: propagation::PropagationState::default(),
            join: joining::JoinState::new(identity.role, now),
            reader: reading::ReaderState::default(),
            vm_list: reading::VmListState::default(),
            suspects: suspects::SuspectTable::default(),
            departures: notices::DepartureTable::default(),
            schedule: maintenance::MaintenanceSchedule::new(now),
            counters: FleetCounters::default(),
        }
    }

    /// Applies one event and appends the effects to execute.
    ///
    /// `now` must not be earlier than at the previous event.
    pub fn apply(
        &mut self,
        now: time::Timestamp,
        event: FleetEvent,
        effects: &mut Vec<FleetEffect>,
    ) {
        match event {
            FleetEvent::LinkOpened { link, kind } => self.add_link(now, link, kind, effects),
            FleetEvent::LinkClosed { link } => self.remove_link(now, link, effects),
            FleetEvent::ConnectFailed { vm } => self.handle_connect_failed(now, &vm),
            FleetEvent::MessageReceived { link, message } => {
                self.handle_message(now, link, message, effects);
            }
            FleetEvent::MalformedReceived { link } => self.handle_malformed(link, effects),
            FleetEvent::SectionsRead(reading) => self.handle_sections_read(now, reading, effects),
            FleetEvent::SectionReadFailed => self.handle_section_read_failed(now),
            FleetEvent::VmListRead(listing) => self.handle_vm_list(now, &listing, effects),
            FleetEvent::VmListReadFailed => self.handle_vm_list_failed(now),
            FleetEvent::SuspectsFound(records) => {
                self.propagate_suspects(now, None, &records, effects)
            }
            FleetEvent::LeaveRequested => self.start_leaving(),
            FleetEvent::Tick => self.handle_tick(now, effects),
        }
    }

    fn handle_message(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        message: messages::FleetMessage,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(peer) = self.links.get_mut(&link) else {
            self.counters.unexpected_messages += 1;
            return;
        };
        peer.last_received = now;

        match message {
            messages::FleetMessage::Hello(record) => self.handle_hello(now, link, *record, effects),
            messages::FleetMessage::Subscribe => self.handle_subscribe(link, effects),
            messages::FleetMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(now, link, heartbeat, effects);
            }
            messages::FleetMessage::AllHeads(heads) => {
                self.handle_heads(now, link, heads.clone(), effects);
                self.handle_peer_reply(now, link, &heads, effects);
            }
            messages::FleetMessage::NewHeads(heads) => self.handle_heads(now, link, heads, effects),
            messages::FleetMessage::Pull(request) => self.handle_pull(link, &request, effects),
            messages::FleetMessage::Patch(patch) => self.handle_patch(now, link, &patch, effects),
            messages::FleetMessage::Manifest(manifest) => {
                self.handle_manifest(now, link, manifest, effects);
            }
            messages::FleetMessage::PullParts(request) => {
                self.handle_pull_parts(link, &request, effects)
            }
            messages::FleetMessage::Part(part) => self.handle_part(now, link, part, effects),
            messages::FleetMessage::Unavailable(head) => {
                self.handle_unavailable(now, link, &head, effects);
            }
            messages::FleetMessage::Members(records) => {
                self.handle_members(now, link, records, effects)
            }
            messages::FleetMessage::Suspects(records) => {
                self.propagate_suspects(now, Some(link), &records, effects);
            }
            messages::FleetMessage::Departures(vms) => {
                self.propagate_departures(now, Some(link), &vms, effects);
            }
        }
    }
}

fn send(effects: &mut Vec<FleetEffect>, link: ids::LinkId, message: messages::FleetMessage) {
    effects.push(FleetEffect::Send { link, message });
}
