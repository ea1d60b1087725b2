//! The fleet reducer: one function over all events, with effects as data.

mod connections;
mod effect;
mod event;
mod joining;
mod links;
mod membership;
mod notices;
mod reading;
mod spread;
mod status;
mod transfers;
mod upkeep;

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
pub use status::FleetCounters;
pub use status::FleetStatus;
pub use status::SectionStatus;
pub use upkeep::TICK_INTERVAL;

use crate::judge;
use crate::members;
use crate::messages;
use crate::sections;
use crate::suspects;

/// Part of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetRole {
    /// Gossips with other gateways, feeds agents, and may read for its zone.
    Gateway,
    /// Is fed by gateways; connects to nothing and reads nothing.
    Agent,
}

/// What a process is told when it starts.
#[derive(Debug, Clone)]
pub struct FleetIdentity {
    /// VM of the process.
    pub vm: ids::VmName,
    /// Zone of the VM.
    pub zone: ids::ZoneName,
    /// Address at which a gateway takes links of other gateways.
    pub address: net::SocketAddr,
    /// This life of the process.
    pub process: ids::ProcessId,
    /// Part in the fleet.
    pub role: FleetRole,
    /// Seed of the generator that draws jitter and peers.
    pub seed: u64,
}

/// Membership and configuration of one process.
#[derive(Debug)]
pub struct FleetReducer {
    role: FleetRole,
    own: members::MemberRecord,
    generator: ChaCha8Rng,
    links: BTreeMap<ids::LinkId, links::PeerLink>,
    connections: connections::ConnectionState,
    members: members::MemberTable,
    news: membership::MemberNews,
    judge: Box<dyn judge::SectionJudge>,
    store: sections::SectionStore,
    spread: spread::SpreadState,
    join: joining::JoinState,
    reader: reading::ReaderState,
    vm_list: reading::VmListState,
    suspects: suspects::SuspectTable,
    departures: notices::DepartureTable,
    clock: upkeep::UpkeepState,
    counters: FleetCounters,
}

impl FleetReducer {
    /// Makes the reducer of a process that starts at `now`, whose sections `judge` checks.
    pub fn new(
        identity: FleetIdentity,
        judge: Box<dyn judge::SectionJudge>,
        now: time::Timestamp,
    ) -> Self {
        let own = members::MemberRecord {
            vm: identity.vm.clone(),
            zone: identity.zone.clone(),
            address: identity.address,
            process: identity.process,
            number: 0,
            state: members::MemberState::Alive,
        };

        Self {
            role: identity.role,
            own,
            generator: ChaCha8Rng::seed_from_u64(identity.seed),
            links: BTreeMap::new(),
            connections: connections::ConnectionState::default(),
            members: members::MemberTable::new(identity.vm, identity.zone),
            news: membership::MemberNews::default(),
            judge,
            store: sections::SectionStore::default(),
            spread: spread::SpreadState::default(),
            join: joining::JoinState::new(identity.role, now),
            reader: reading::ReaderState::default(),
            vm_list: reading::VmListState::default(),
            suspects: suspects::SuspectTable::default(),
            departures: notices::DepartureTable::default(),
            clock: upkeep::UpkeepState::new(now),
            counters: FleetCounters::default(),
        }
    }

    /// Applies one event at `now` and appends what is to be done.
    ///
    /// `now` never goes back between two events.
    pub fn apply(
        &mut self,
        now: time::Timestamp,
        event: FleetEvent,
        effects: &mut Vec<FleetEffect>,
    ) {
        match event {
            FleetEvent::LinkOpened { link, kind } => self.open_link(now, link, kind, effects),
            FleetEvent::LinkClosed { link } => self.close_link(now, link, effects),
            FleetEvent::ConnectFailed { vm } => self.fail_connect(now, &vm),
            FleetEvent::Message { link, message } => {
                self.take_message(now, link, message, effects);
            }
            FleetEvent::Junk { link } => self.take_junk(link, effects),
            FleetEvent::SectionsRead(reading) => self.take_reading(now, reading, effects),
            FleetEvent::SectionsFailed => self.fail_reading(now),
            FleetEvent::VmsRead(listing) => self.take_vms(now, &listing, effects),
            FleetEvent::VmsFailed => self.fail_vms(now),
            FleetEvent::Suspects(records) => self.spread_suspects(now, None, &records, effects),
            FleetEvent::Leave => self.leave(),
            FleetEvent::Tick => self.tick(now, effects),
        }
    }

    fn take_message(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        message: messages::FleetMessage,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(peer) = self.links.get_mut(&link) else {
            self.counters.stray_messages += 1;
            return;
        };
        peer.last_heard = now;

        match message {
            messages::FleetMessage::Hello(record) => self.take_hello(now, link, *record, effects),
            messages::FleetMessage::Subscribe => self.take_subscription(link, effects),
            messages::FleetMessage::Heartbeat(heartbeat) => {
                self.take_heartbeat(now, link, heartbeat, effects);
            }
            messages::FleetMessage::AllHeads(heads) => {
                self.take_heads(now, link, heads.clone(), effects);
                self.take_answer(now, link, &heads, effects);
            }
            messages::FleetMessage::NewHeads(heads) => self.take_heads(now, link, heads, effects),
            messages::FleetMessage::Pull(wish) => self.answer_pull(link, &wish, effects),
            messages::FleetMessage::Patch(patch) => self.take_patch(now, link, &patch, effects),
            messages::FleetMessage::Manifest(manifest) => {
                self.take_manifest(now, link, manifest, effects);
            }
            messages::FleetMessage::PullParts(wish) => self.answer_parts(link, &wish, effects),
            messages::FleetMessage::Part(part) => self.take_part(now, link, part, effects),
            messages::FleetMessage::Unavailable(head) => {
                self.take_unavailable(now, link, &head, effects);
            }
            messages::FleetMessage::Members(records) => {
                self.take_members(now, link, records, effects)
            }
            messages::FleetMessage::Suspects(records) => {
                self.spread_suspects(now, Some(link), &records, effects);
            }
            messages::FleetMessage::Departures(vms) => {
                self.spread_departures(now, Some(link), &vms, effects);
            }
        }
    }
}

fn send(effects: &mut Vec<FleetEffect>, link: ids::LinkId, message: messages::FleetMessage) {
    effects.push(FleetEffect::Send { link, message });
}
