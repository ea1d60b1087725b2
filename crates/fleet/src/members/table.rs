//! Table of gateways, merged from gossip, links and the VM list.

use std::collections::BTreeMap;
use std::net;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;

use super::MemberRecord;
use super::MemberState;
use crate::subset;

/// Gateways of each other zone that are remembered.
const MAX_REMOTE_ZONE_MEMBERS: usize = 3;

/// Most gateways of the own zone that are remembered.
const MAX_OWN_ZONE_MEMBERS: usize = 512;

/// Time in which a suspect may refute.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the dead are remembered, so that a lagging VM list does not revive them.
const DEAD_RETENTION: Duration = Duration::from_secs(600);

/// A gateway that the VM list or the settings name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedRecord {
    /// VM that it runs on.
    pub vm: ids::VmName,
    /// Zone of the VM.
    pub zone: ids::ZoneName,
    /// Address at which it takes links of other gateways.
    pub address: net::SocketAddr,
}

/// How a record changed the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Not at all: it was old, or not to be remembered here.
    NoPropagation,
    /// It is new, and peers of the zone should hear of it.
    Propagate,
}

/// What is remembered of one VM.
#[derive(Debug, Clone)]
struct MemberEntry {
    seed: SeedRecord,
    record: Option<MemberRecord>,
    changed_at: time::Timestamp,
    is_listed: bool,
}

/// All known gateways but the own one.
#[derive(Debug)]
pub struct MemberTable {
    own_vm: ids::VmName,
    own_zone: ids::ZoneName,
    entries: BTreeMap<ids::VmName, MemberEntry>,
    listed_in_zone: usize,
    listed_in_fleet: usize,
}

impl MemberTable {
    /// Makes an empty table of the gateway on `own_vm`.
    pub const fn new(own_vm: ids::VmName, own_zone: ids::ZoneName) -> Self {
        Self {
            own_vm,
            own_zone,
            entries: BTreeMap::new(),
            listed_in_zone: 0,
            listed_in_fleet: 0,
        }
    }

    /// Takes the gateways that the VM list names; the list may be minutes old.
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

    /// Takes a record from a peer.
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

    /// Marks a gateway as suspect, and returns the record to spread.
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

    /// Declares suspects dead whose time has passed, and forgets the dead after a time.
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

    /// Returns the record of a VM.
    pub fn record(&self, vm: &ids::VmName) -> Option<&MemberRecord> {
        self.entries.get(vm)?.record.as_ref()
    }

    /// Returns the address of a VM's gateway.
    pub fn address(&self, vm: &ids::VmName) -> Option<net::SocketAddr> {
        self.entries.get(vm).map(|entry| entry.seed.address)
    }

    /// Returns all records.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries
            .values()
            .filter_map(|entry| entry.record.as_ref())
    }

    /// Returns the serving gateways of the own zone.
    pub fn serving_in_zone(&self) -> impl Iterator<Item = &MemberRecord> {
        self.records()
            .filter(|record| record.zone == self.own_zone && record.state.is_serving())
    }

    /// Returns gateways worth a link, by whether they are in the own zone.
    ///
    /// Among them are those of which only the VM list speaks, and the dead, which may have come
    /// back after a partition.
    pub fn link_candidates(&self, is_own_zone: bool) -> impl Iterator<Item = &ids::VmName> {
        self.entries
            .iter()
            .filter(move |(_, entry)| (entry.seed.zone == self.own_zone) == is_own_zone)
            .filter(|(_, entry)| entry.is_link_candidate())
            .map(|(vm, _)| vm)
    }

    /// Returns the number of gateways of the zone that the VM list names, this one included.
    pub const fn listed_in_zone(&self) -> usize {
        self.listed_in_zone
    }

    /// Returns the number of gateways of the fleet that the VM list names.
    pub const fn listed_in_fleet(&self) -> usize {
        self.listed_in_fleet
    }

    /// Returns the number of remembered gateways.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether no gateway is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Chooses the gateways of a list that are remembered: the own zone and a few of each other.
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
            .is_none_or(|known| record.is_newer(known));
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

    /// Says whether a link should be tried: not to those that leave.
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
