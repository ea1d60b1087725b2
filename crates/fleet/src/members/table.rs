//! Table of gateways, merged from gossip, links and the VM list.

use std::collections::BTreeMap;
use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::MemberRecord;
use super::MemberState;
use crate::subset;

/// Maximum number of gateways that the table holds for each of the other zones.
const MAX_REMOTE_ZONE_MEMBERS: usize = 3;

/// Maximum number of gateways that the table holds for this gateway's zone.
const MAX_OWN_ZONE_MEMBERS: usize = 512;

/// Time within which a suspect gateway may refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which a dead gateway is kept, so that an outdated VM list does not add it again.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// A gateway named by the VM list or by the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedRecord {
    /// VM on which the gateway runs.
    pub vm: ids::VmName,
    /// Zone of the VM.
    pub zone: ids::ZoneName,
    /// Address at which the gateway accepts links from other gateways.
    pub address: net::SocketAddr,
}

/// Whether a merged record is to be propagated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record is outdated, does not fit into the table, or belongs to another zone; in the last
    /// case the table may still have stored it.
    NoPropagation,
    /// The record is new and must be propagated to peers in this gateway's zone.
    Propagate,
}

/// What the table holds for one VM.
#[derive(Debug, Clone)]
struct MemberEntry {
    seed: SeedRecord,
    record: Option<MemberRecord>,
    changed_at: time::Timestamp,
    is_listed: bool,
}

/// All known gateways except this one.
#[derive(Debug)]
pub struct MemberTable {
    own_vm: ids::VmName,
    own_zone: ids::ZoneName,
    entries: BTreeMap<ids::VmName, MemberEntry>,
    listed_in_zone: usize,
    listed_in_fleet: usize,
}

impl MemberTable {
    /// Creates an empty table for the gateway on `own_vm`.
    pub const fn new(own_vm: ids::VmName, own_zone: ids::ZoneName) -> Self {
        Self {
            own_vm,
            own_zone,
            entries: BTreeMap::new(),
            listed_in_zone: 0,
            listed_in_fleet: 0,
        }
    }

    /// Updates the table from the VM list, which may be minutes old.
    pub fn apply_list(&mut self, now: time::Timestamp, seeds: &[SeedRecord]) {
        self.listed_in_fleet = seeds.len();
        self.listed_in_zone = seeds
            .iter()
            .filter(|seed| seed.zone == self.own_zone)
            .count();
        for entry in self.entries.values_mut() {
            entry.is_listed = false;
        }

        for seed in self.select_seeds(seeds) {
            let entry = self.entries.entry(seed.vm.clone());
            let entry = entry.or_insert_with(|| MemberEntry::new(seed.clone(), now));
            entry.is_listed = true;
        }
    }

    /// Merges a record that a peer sent.
    pub fn merge(&mut self, now: time::Timestamp, record: MemberRecord) -> MergeOutcome {
        if record.vm == self.own_vm {
            return MergeOutcome::NoPropagation;
        }
        if let Some(entry) = self.entries.get_mut(&record.vm) {
            return entry.merge(now, record, &self.own_zone);
        }

        let is_own_zone = record.zone == self.own_zone;
        let limit = if is_own_zone {
            MAX_OWN_ZONE_MEMBERS
        } else {
            MAX_REMOTE_ZONE_MEMBERS
        };
        let in_zone = |entry: &&MemberEntry| entry.seed.zone == record.zone;
        let is_full = self.entries.values().filter(in_zone).count() >= limit;
        if is_full || record.state == MemberState::Dead {
            return MergeOutcome::NoPropagation;
        }

        let mut entry = MemberEntry::new(seed_from_record(&record), now);
        let outcome = entry.merge(now, record, &self.own_zone);
        self.entries.insert(entry.seed.vm.clone(), entry);
        outcome
    }

    /// Marks a gateway as suspect and returns the record to propagate, or `None` if the gateway has
    /// no record or already is suspect or dead.
    pub fn mark_suspect(&mut self, now: time::Timestamp, vm: &ids::VmName) -> Option<MemberRecord> {
        let entry = self.entries.get_mut(vm)?;
        let record = entry.record.as_mut()?;
        match record.state {
            MemberState::Alive | MemberState::Leaving => {}
            MemberState::Suspect | MemberState::Dead => return None,
        }

        record.state = MemberState::Suspect;
        entry.changed_at = now;
        Some(record.clone())
    }

    /// Declares suspects dead that did not refute in time. Removes gateways that have been dead, or
    /// unlisted without ever having a record, for the retention period.
    pub fn apply_timeouts(&mut self, now: time::Timestamp) {
        for entry in self.entries.values_mut() {
            let age = now.since(entry.changed_at);
            if let Some(record) = &mut entry.record
                && record.state == MemberState::Suspect
                && age >= SUSPICION_TIMEOUT
            {
                record.state = MemberState::Dead;
                entry.changed_at = now;
            }
        }

        self.entries.retain(|_, entry| {
            let is_retention_over = now.since(entry.changed_at) >= DEAD_RETENTION;
            let is_removable = match &entry.record {
                Some(record) => record.state == MemberState::Dead,
                None => !entry.is_listed,
            };
            !(is_retention_over && is_removable)
        });
    }

    /// Returns the record of a VM's gateway; `None` if only the VM list named it.
    pub fn record(&self, vm: &ids::VmName) -> Option<&MemberRecord> {
        self.entries.get(vm)?.record.as_ref()
    }

    /// Returns the address of a VM's gateway, from its newest record or else the VM list.
    pub fn address(&self, vm: &ids::VmName) -> Option<net::SocketAddr> {
        self.entries.get(vm).map(|entry| entry.seed.address)
    }

    /// Returns the records of all gateways that have one, whatever their state.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries
            .values()
            .filter_map(|entry| entry.record.as_ref())
    }

    /// Returns the serving gateways in this gateway's zone, without this one.
    pub fn serving_in_zone(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.zone == self.own_zone && record.state.is_serving())
    }

    /// Returns the gateways that a link may be opened to, either in this gateway's zone or in all
    /// other zones.
    ///
    /// They include gateways that only the VM list names, and dead gateways that it still names, as
    /// these may be reachable again after a partition.
    pub fn link_candidates(&self, is_own_zone: bool) -> impl Iterator<Item = &ids::VmName> {
        self.entries
            .iter()
            .filter(move |(_, entry)| (entry.seed.zone == self.own_zone) == is_own_zone)
            .filter(|(_, entry)| entry.is_link_candidate())
            .map(|(vm, _)| vm)
    }

    /// Returns the number of gateways in this zone that the VM list names, including this one.
    pub const fn listed_in_zone(&self) -> usize {
        self.listed_in_zone
    }

    /// Returns the number of gateways in the fleet that the VM list names, including this one.
    pub const fn listed_in_fleet(&self) -> usize {
        self.listed_in_fleet
    }

    /// Returns the number of gateways in the table, without this one.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the table holds no gateway.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Selects the gateways of a list that the table holds: those of this gateway's zone, and a few
    /// from each of the other zones.
    fn select_seeds<'a>(&self, seeds: &'a [SeedRecord]) -> Vec<&'a SeedRecord> {
        let mut zones: BTreeMap<&ids::ZoneName, Vec<&SeedRecord>> = BTreeMap::new();
        for seed in seeds.iter().filter(|seed| seed.vm != self.own_vm) {
            zones.entry(&seed.zone).or_default().push(seed);
        }

        let mut selected = Vec::new();
        for (zone, mut seeds) in zones {
            let limit = if *zone == self.own_zone {
                MAX_OWN_ZONE_MEMBERS
            } else {
                MAX_REMOTE_ZONE_MEMBERS
            };
            let own_vm = self.own_vm.as_str();
            seeds.sort_by_key(|seed| subset::weight(own_vm, seed.vm.as_str()));
            selected.extend(seeds.into_iter().rev().take(limit));
        }
        selected
    }
}

impl MemberEntry {
    const fn new(seed: SeedRecord, now: time::Timestamp) -> Self {
        Self {
            seed,
            record: None,
            changed_at: now,
            is_listed: false,
        }
    }

    fn merge(
        &mut self,
        now: time::Timestamp,
        record: MemberRecord,
        own_zone: &ids::ZoneName,
    ) -> MergeOutcome {
        let is_newer = self
            .record
            .as_ref()
            .is_none_or(|known| record.replaces(known));
        if !is_newer {
            return MergeOutcome::NoPropagation;
        }

        let is_own_zone = record.zone == *own_zone;
        self.seed = seed_from_record(&record);
        self.record = Some(record);
        self.changed_at = now;
        match is_own_zone {
            true => MergeOutcome::Propagate,
            false => MergeOutcome::NoPropagation,
        }
    }

    /// Returns true if a link may be opened to this gateway. Leaving gateways are excluded.
    fn is_link_candidate(&self) -> bool {
        match self.record.as_ref().map(|record| record.state) {
            Some(MemberState::Alive | MemberState::Suspect) => true,
            Some(MemberState::Leaving) => false,
            Some(MemberState::Dead) | None => self.is_listed,
        }
    }
}

fn seed_from_record(record: &MemberRecord) -> SeedRecord {
    SeedRecord {
        vm: record.vm.clone(),
        zone: record.zone.clone(),
        address: record.address,
    }
}
