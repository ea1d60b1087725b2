//! Member records: merging, suspicion, refutation and gossip.

use std::collections::BTreeMap;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use rand::seq::IteratorRandom;

use super::FleetEffect;
use super::FleetReducer;
use super::FleetRole;
use super::send;
use crate::members;
use crate::messages;

/// Number of peers to which a gateway propagates a new record.
const RECORD_FANOUT: usize = 4;

/// Maximum number of records in one update message, so that the loss of a zone causes no burst.
const MAX_UPDATE_RECORDS: usize = 32;

/// Number of records sent to a new peer, and periodically to a random one.
const SAMPLE_SIZE: usize = 16;

/// Records that are to be propagated at the next tick, by VM.
#[derive(Debug, Default)]
pub(super) struct MemberUpdates {
    records: BTreeMap<ids::VmName, members::MemberRecord>,
}

impl FleetReducer {
    pub(super) fn handle_members(
        &mut self,
        now: time::Timestamp,
        link: ids::LinkId,
        records: Vec<members::MemberRecord>,
        effects: &mut Vec<FleetEffect>,
    ) {
        if self.role == FleetRole::Agent {
            self.counters.unexpected_messages += 1;
            return;
        }

        for record in records {
            if record.vm == self.own_record.vm {
                self.refute(&record);
                continue;
            }
            let vm = record.vm.clone();
            match self.members.merge(now, record.clone()) {
                members::MergeOutcome::Propagate => {
                    self.member_updates.records.insert(vm, record);
                }
                members::MergeOutcome::NoPropagation => {
                    self.send_newer_record(link, &record, effects)
                }
            }
        }
    }

    /// Marks a gateway as suspect and queues its record for gossip.
    pub(super) fn mark_suspect(&mut self, now: time::Timestamp, vm: &ids::VmName) {
        if let Some(record) = self.members.mark_suspect(now, vm) {
            self.counters.suspicions += 1;
            self.reader.invalidate_selection();
            self.member_updates.records.insert(vm.clone(), record);
        }
    }

    /// Announces that this gateway is leaving, so that peers no longer count it as serving.
    pub(super) fn start_leaving(&mut self) {
        if self.own_record.state == members::MemberState::Leaving {
            return;
        }
        self.own_record.state = members::MemberState::Leaving;
        self.announce_own_record(self.own_record.version);
    }

    /// Sends queued records to a few random peers. Keeps them if there is no peer.
    pub(super) fn gossip_member_updates(&mut self, effects: &mut Vec<FleetEffect>) {
        if self.member_updates.records.is_empty() {
            return;
        }
        let links = self.select_random_peers(RECORD_FANOUT, None);
        if links.is_empty() {
            return;
        }

        let mut records = Vec::new();
        while records.len() < MAX_UPDATE_RECORDS
            && let Some((_, record)) = self.member_updates.records.pop_first()
        {
            records.push(record);
        }
        for link in links {
            let message = messages::FleetMessage::Members(records.clone());
            send(effects, link, message);
        }
    }

    /// Sends a random sample of the zone's records and this gateway's own record to a random peer.
    pub(super) fn gossip_member_sample(&mut self, effects: &mut Vec<FleetEffect>) {
        for link in self.select_random_peers(1, None) {
            self.send_member_sample(link, effects);
        }
    }

    pub(super) fn send_member_sample(&mut self, link: ids::LinkId, effects: &mut Vec<FleetEffect>) {
        let zone = &self.own_record.zone;
        let known = self.members.records().filter(|record| record.zone == *zone);
        let mut records: Vec<members::MemberRecord> = known
            .choose_multiple(&mut self.generator, SAMPLE_SIZE)
            .into_iter()
            .cloned()
            .collect();

        records.push(self.own_record.clone());
        send(effects, link, messages::FleetMessage::Members(records));
    }

    /// Refutes a record of this VM that is not older than this gateway's own record and differs
    /// from it, such as the record of a previous incarnation or one with the state suspect or dead.
    fn refute(&mut self, record: &members::MemberRecord) {
        let is_older = record.version < self.own_record.version;
        if is_older || *record == self.own_record {
            return;
        }
        self.counters.refutations += 1;
        self.announce_own_record(record.version);
    }

    fn announce_own_record(&mut self, known_version: u64) {
        self.own_record.version = known_version.saturating_add(1);
        self.member_updates
            .records
            .insert(self.own_record.vm.clone(), self.own_record.clone());
        self.reader.invalidate_selection();
    }

    /// Sends the known record to a peer whose record is older, such as a peer that was paused.
    fn send_newer_record(
        &self,
        link: ids::LinkId,
        record: &members::MemberRecord,
        effects: &mut Vec<FleetEffect>,
    ) {
        let Some(known) = self.members.record(&record.vm) else {
            return;
        };
        if known.version > record.version && known.zone == self.own_record.zone {
            let records = vec![known.clone()];
            send(effects, link, messages::FleetMessage::Members(records));
        }
    }
}
