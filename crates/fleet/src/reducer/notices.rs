//! Suspects and departures: small updates that each gateway sends to all its peers once.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_policy::quarantine;

use super::FleetEffect;
use super::FleetReducer;
use super::send;
use crate::messages;

/// Time for which a VM is kept as leaving after it was last named as such.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of VMs that are kept as leaving.
const MAX_DEPARTURES: usize = 4_096;

/// VMs known to be leaving, with the time at which each entry expires.
#[derive(Debug, Default)]
pub(super) struct DepartureTable {
    vms: BTreeMap<ids::VmName, time::Timestamp>,
}

impl DepartureTable {
    /// Adds VMs, or renews their entries, and returns those that were not known.
    fn merge(&mut self, now: time::Timestamp, vms: &[ids::VmName]) -> Vec<ids::VmName> {
        let mut updates = Vec::new();
        for vm in vms {
            let is_known = self.vms.contains_key(vm);
            if !is_known && self.vms.len() >= MAX_DEPARTURES {
                break;
            }
            self.vms.insert(vm.clone(), now + DEPARTURE_RETENTION);
            if !is_known {
                updates.push(vm.clone());
            }
        }
        updates
    }

    pub(super) fn remove_expired(&mut self, now: time::Timestamp) {
        self.vms.retain(|_, expires_at| *expires_at > now);
    }

    pub(super) fn vms(&self) -> impl Iterator<Item = &ids::VmName> {
        self.vms.keys()
    }
}

impl FleetReducer {
    /// Merges records found here, or by the peer on `source`, and propagates those that are new.
    pub(super) fn propagate_suspects(
        &mut self,
        now: time::Timestamp,
        source: Option<ids::LinkId>,
        records: &[quarantine::SuspectRecord],
        effects: &mut Vec<FleetEffect>,
    ) {
        let mut updates = Vec::new();
        for record in records {
            if self.suspects.merge(now, record) {
                updates.push(*record);
            }
        }
        if updates.is_empty() {
            return;
        }

        self.flood(source, effects, |links, effects| {
            for link in links {
                let message = messages::FleetMessage::Suspects(updates.clone());
                send(effects, link, message);
            }
        });
        if source.is_some() {
            effects.push(FleetEffect::ForwardSuspects(updates));
        }
    }

    /// Merges leaving VMs named by the VM list, or by the peer on `source`, and propagates those
    /// that are new.
    pub(super) fn propagate_departures(
        &mut self,
        now: time::Timestamp,
        source: Option<ids::LinkId>,
        vms: &[ids::VmName],
        effects: &mut Vec<FleetEffect>,
    ) {
        let updates = self.departures.merge(now, vms);
        if updates.is_empty() {
            return;
        }

        self.flood(source, effects, |links, effects| {
            for link in links {
                send_departures(link, &updates, effects);
            }
        });
        effects.push(FleetEffect::ForwardDepartures(updates));
    }

    /// Sends all suspects to a new peer or to one whose digest differs.
    pub(super) fn send_suspects(
        &self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<FleetEffect>,
    ) {
        let records = self.suspects.records(now);
        if !records.is_empty() {
            send(effects, link, messages::FleetMessage::Suspects(records));
        }
    }

    /// Sends all known suspects and departures to a new peer.
    pub(super) fn send_notices(
        &self,
        now: time::Timestamp,
        link: ids::LinkId,
        effects: &mut Vec<FleetEffect>,
    ) {
        self.send_suspects(now, link, effects);
        let vms: Vec<ids::VmName> = self.departures.vms().cloned().collect();
        send_departures(link, &vms, effects);
    }

    /// Calls `forward` with all active gossip links except `source`, on which the update was
    /// received.
    fn flood(
        &self,
        source: Option<ids::LinkId>,
        effects: &mut Vec<FleetEffect>,
        forward: impl Fn(Vec<ids::LinkId>, &mut Vec<FleetEffect>),
    ) {
        let mut links = self.select_links(|peer| peer.is_gossip_link() && peer.is_active);
        links.retain(|link| Some(*link) != source);
        forward(links, effects);
    }
}

fn send_departures(link: ids::LinkId, vms: &[ids::VmName], effects: &mut Vec<FleetEffect>) {
    for vms in vms.chunks(messages::MAX_LIST_LENGTH) {
        let message = messages::FleetMessage::Departures(vms.to_vec());
        send(effects, link, message);
    }
}
