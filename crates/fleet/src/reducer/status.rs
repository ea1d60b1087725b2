//! What the administration API and metrics show of a fleet reducer.

use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use serde::Serialize;

use super::FleetReducer;
use super::JoinPhase;
use crate::members;
use crate::sections;

/// Counts since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FleetCounters {
    /// Calls at the configuration service.
    pub service_calls: u64,
    /// Calls that failed.
    pub failed_readings: u64,
    /// Answers of an older revision than one seen before.
    pub stale_readings: u64,
    /// Readings of the VM list.
    pub list_calls: u64,
    /// Versions of sections put in force.
    pub sections_changed: u64,
    /// Pulls answered to peers.
    pub pulls_answered: u64,
    /// Lasting differences of digests.
    pub repairs: u64,
    /// Transfers whose parts did not make the version they were of.
    pub damaged_transfers: u64,
    /// Gateways marked as suspect by this one.
    pub suspicions: u64,
    /// Times this gateway refuted a record of itself.
    pub refutations: u64,
    /// Links dropped because they were silent.
    pub silent_links: u64,
    /// Times this process was found to have been paused.
    pub pauses: u64,
    /// Messages that are not for this process, or came late.
    #[serde(rename = "stray_messages")]
    pub unexpected_messages: u64,
    /// Bytes that are no message.
    #[serde(rename = "junk_messages")]
    pub malformed_messages: u64,
}

/// A section as one process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SectionStatus {
    /// The section.
    pub section: sections::SectionName,
    /// Version in force here.
    pub version: Option<measures::SectionVersion>,
    /// Hash of the content in force here.
    pub hash: Option<Box<str>>,
    /// Newer version that has findings.
    pub rejected: Option<measures::SectionVersion>,
    /// Highest accepted version heard of.
    pub highest: Option<measures::SectionVersion>,
}

/// A process's view of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// Sections by name.
    pub sections: Vec<SectionStatus>,
    /// Whether the process has asked its peers what is in force.
    pub is_confirmed: bool,
    /// Whether the process reads the configuration service for its zone.
    pub is_reader: bool,
    /// Gateways of the zone that serve, but this one.
    pub zone_live: usize,
    /// Gateways of the zone that the VM list names.
    pub zone_listed: usize,
    /// Gateways that are suspect or dead.
    pub lost: Vec<ids::VmName>,
    /// VMs known to leave.
    pub departures: usize,
    /// Links on which heartbeats travel.
    pub active_links: usize,
    /// Counts.
    pub counters: FleetCounters,
}

impl FleetReducer {
    /// Returns the view of the fleet.
    pub fn status(&self) -> FleetStatus {
        let is_lost = |record: &&members::MemberRecord| match record.state {
            members::MemberState::Suspect | members::MemberState::Dead => true,
            members::MemberState::Alive | members::MemberState::Leaving => false,
        };
        let lost = self.members.records().filter(is_lost);

        FleetStatus {
            sections: self.section_statuses(),
            is_confirmed: self.join.phase == JoinPhase::Confirmed,
            is_reader: self.is_reader(),
            zone_live: self.members.serving_in_zone().count(),
            zone_listed: self.members.listed_in_zone(),
            lost: lost.map(|record| record.vm.clone()).collect(),
            departures: self.departures.vms().count(),
            active_links: self.select_links(|peer| peer.is_active).len(),
            counters: self.counters.clone(),
        }
    }

    /// Returns the sections in force.
    pub const fn store(&self) -> &sections::SectionStore {
        &self.store
    }

    /// Returns how far the process is with asking its peers.
    pub const fn join_phase(&self) -> JoinPhase {
        self.join.phase
    }

    /// Says whether this process reads the configuration service for its zone.
    pub const fn is_reader(&self) -> bool {
        self.reader.is_reading()
    }

    /// Says whether this process leaves.
    pub fn is_leaving(&self) -> bool {
        self.own.state == members::MemberState::Leaving
    }

    /// Returns the record of a gateway as this process has it.
    pub fn member(&self, vm: &ids::VmName) -> Option<&members::MemberRecord> {
        self.members.record(vm)
    }

    /// Returns the counts.
    pub const fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Returns all suspects that the process knows of.
    pub fn suspects(
        &self,
        now: time::Timestamp,
    ) -> Vec<kingcupfall_policy::quarantine::SuspectRecord> {
        self.suspects.records(now)
    }

    fn section_statuses(&self) -> Vec<SectionStatus> {
        let known = self
            .propagation
            .newest_versions
            .keys()
            .chain(self.propagation.rejected.keys());
        let known: BTreeSet<&sections::SectionName> = known.collect();
        known
            .into_iter()
            .map(|section| self.section_status(section))
            .collect()
    }

    fn section_status(&self, section: &sections::SectionName) -> SectionStatus {
        let accepted = self.store.head(section, sections::SectionVerdict::Accepted);
        let rejected = self.store.head(section, sections::SectionVerdict::Rejected);
        let newest = self.propagation.newest_versions.get(section);

        SectionStatus {
            section: section.clone(),
            version: accepted.map(|head| head.version),
            hash: accepted.map(|head| head.hash.to_string().into()),
            rejected: rejected.map(|head| head.version),
            highest: newest.map(|newest| newest.head.version),
        }
    }
}
