//! State of a fleet reducer as shown by the administration API and metrics.

use std::collections::BTreeSet;

use kingcupfall_core::ids;
use kingcupfall_core::measures;
use kingcupfall_core::time;
use serde::Serialize;

use super::FleetReducer;
use super::JoinPhase;
use crate::members;
use crate::sections;

/// Counters since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct FleetCounters {
    /// Calls to the configuration service.
    pub service_calls: u64,
    /// Calls to the configuration service that failed.
    pub failed_readings: u64,
    /// Responses with an older revision than one received before.
    pub stale_readings: u64,
    /// Calls that read the VM list.
    #[serde(rename = "list_calls")]
    pub vm_list_reads: u64,
    /// Versions of sections that were stored, accepted or rejected.
    pub sections_changed: u64,
    /// Pull requests of peers that were replied to.
    #[serde(rename = "pulls_answered")]
    pub pull_replies: u64,
    /// Lasting differences between section digests, which were repaired by sending all heads.
    pub repairs: u64,
    /// Transfers whose parts did not add up to the content that the manifest names.
    pub damaged_transfers: u64,
    /// Gateways that this process marked as suspect.
    pub suspicions: u64,
    /// Records of itself that this gateway refuted.
    pub refutations: u64,
    /// Links that were closed or deactivated because they were silent.
    pub silent_links: u64,
    /// Pauses of this process that were detected.
    pub pauses: u64,
    /// Messages on unknown links, replies that were not requested, and member records sent to an
    /// agent.
    #[serde(rename = "stray_messages")]
    pub unexpected_messages: u64,
    /// Frames that were not a valid message.
    #[serde(rename = "junk_messages")]
    pub malformed_messages: u64,
}

/// State of a section as known to one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SectionStatus {
    /// Name of the section.
    pub section: sections::SectionName,
    /// Active version.
    pub version: Option<measures::SectionVersion>,
    /// Hash of the content of the active version.
    pub hash: Option<Box<str>>,
    /// Newest rejected version, if the process keeps one.
    pub rejected: Option<measures::SectionVersion>,
    /// Newest accepted version seen in any message or response.
    pub highest: Option<measures::SectionVersion>,
}

/// State of the fleet as known to one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// Sections in the order of their names.
    pub sections: Vec<SectionStatus>,
    /// Whether the process is in [`JoinPhase::Confirmed`].
    pub is_confirmed: bool,
    /// Whether the process reads the configuration service for its zone.
    pub is_reader: bool,
    /// Serving gateways of the zone, without this one.
    pub zone_live: usize,
    /// Gateways of the zone that the VM list names, including this one.
    pub zone_listed: usize,
    /// Gateways that are suspect or dead.
    pub lost: Vec<ids::VmName>,
    /// Number of VMs known to be leaving.
    pub departures: usize,
    /// Number of links on which heartbeats are exchanged.
    pub active_links: usize,
    /// Counters since the start of the process.
    pub counters: FleetCounters,
}

impl FleetReducer {
    /// Returns the state of the fleet as known to this process.
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

    /// Returns the store of accepted and rejected sections.
    pub const fn store(&self) -> &sections::SectionStore {
        &self.store
    }

    /// Returns the progress of the process in querying its peers.
    pub const fn join_phase(&self) -> JoinPhase {
        self.join.phase
    }

    /// Returns true if this process reads the configuration service for its zone.
    pub const fn is_reader(&self) -> bool {
        self.reader.is_reading()
    }

    /// Returns true if this process is leaving the fleet.
    pub fn is_leaving(&self) -> bool {
        self.own_record.state == members::MemberState::Leaving
    }

    /// Returns the record of a gateway; `None` for unknown gateways and for this one.
    pub fn member(&self, vm: &ids::VmName) -> Option<&members::MemberRecord> {
        self.members.record(vm)
    }

    /// Returns the counters since the start of the process.
    pub const fn counters(&self) -> &FleetCounters {
        &self.counters
    }

    /// Returns all suspects known to the process.
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
