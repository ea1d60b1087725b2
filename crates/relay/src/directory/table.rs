//! Targets that may be used, from lists, changes and peers' knowledge of them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use serde::Deserialize;
use serde::Serialize;

use super::DirectoryRevision;
use super::TargetKey;
use super::TargetRecord;
use super::TargetState;

/// Time after the directory's return within which lapsed records are written again: the platform
/// states about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_500);

/// Share of a service's records that is lost at once only when they lapsed, not when targets left.
const LAPSE_SHARE: f64 = 0.5;

/// Lives whose leaving is remembered, so that late news does not bring them back.
const DEPARTURE_LIMIT: usize = 4_096;

/// Something that changed for the targets that may be used.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetChange {
    /// A target is new, or its record changed.
    Usable(Rc<TargetRecord>),
    /// A target takes no new work from now on.
    Leaving(TargetKey),
    /// A target's record is gone; what it runs may go on for a while.
    Gone(TargetKey),
}

/// Record of a target, and since when it is missing in the directory.
#[derive(Debug, Clone)]
struct TargetEntry {
    record: Rc<TargetRecord>,
    missing_since: Option<time::Timestamp>,
}

/// How a life of a target left, as peers tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDeparture {
    /// State of the directory that showed it.
    #[serde(rename = "r")]
    pub revision: DirectoryRevision,
    /// Whether the target said so itself. Then it is final; a record that was merely removed may
    /// be written again by a target that had lost its path to the directory.
    #[serde(rename = "d")]
    pub is_final: bool,
}

/// What a table knows and an older one lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetDifference {
    /// State of the directory from which it counts; `None` when it holds everything.
    #[serde(rename = "s")]
    pub since: Option<DirectoryRevision>,
    /// State of the directory up to which it counts.
    #[serde(rename = "r")]
    pub revision: DirectoryRevision,
    /// Records that are new or changed.
    #[serde(rename = "w")]
    pub written: Vec<TargetRecord>,
    /// Records that were removed.
    #[serde(rename = "g")]
    pub removed: Vec<(ids::TargetName, DirectoryRevision)>,
}

/// Targets by name. It never takes back that a life of a target leaves.
#[derive(Debug, Default)]
pub struct TargetTable {
    entries: BTreeMap<ids::TargetName, TargetEntry>,
    departures: BTreeMap<TargetKey, TargetDeparture>,
    departure_order: VecDeque<TargetKey>,
    /// Number of departures that were ever remembered.
    departure_count: u64,
    /// Newest departure that is no longer remembered.
    forgotten: DirectoryRevision,
    revision: DirectoryRevision,
    is_lost: bool,
    regained_at: Option<time::Timestamp>,
}

impl TargetTable {
    /// Returns the newest state of the directory that was seen.
    pub const fn revision(&self) -> DirectoryRevision {
        self.revision
    }

    /// Returns the records that are present.
    pub fn records(&self) -> impl Iterator<Item = &Rc<TargetRecord>> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the number of departures that were ever remembered.
    pub const fn departure_count(&self) -> u64 {
        self.departure_count
    }

    /// Returns the lives that are known to leave, newest first, but for the first `count` ones
    /// that were remembered.
    pub fn departures_after(
        &self,
        count: u64,
    ) -> impl Iterator<Item = (TargetKey, TargetDeparture)> {
        let new = self.departure_count.saturating_sub(count);
        let newest = self.departure_order.iter().rev();
        newest
            .take(usize::try_from(new).unwrap_or(usize::MAX))
            .filter_map(|key| Some((key.clone(), *self.departures.get(key)?)))
    }

    /// Returns what a table that stands for `since` lacks.
    pub fn difference(&self, since: DirectoryRevision) -> TargetDifference {
        let is_whole = since <= self.forgotten;
        let since = (!is_whole).then_some(since);
        let is_new = |revision: DirectoryRevision| since.is_none_or(|since| revision > since);
        let removed = self.departures.iter().filter(|(key, departure)| {
            // Where another life has the name, its record tells of the end of this one.
            since.is_some() && is_new(departure.revision) && !self.entries.contains_key(&key.name)
        });
        TargetDifference {
            since,
            revision: self.revision,
            written: self
                .records()
                .filter(|record| is_new(record.revision))
                .map(|record| (**record).clone())
                .collect(),
            removed: removed
                .map(|(key, departure)| (key.name.clone(), departure.revision))
                .collect(),
        }
    }

    /// Takes what another table knows and this one lacks.
    pub fn catch_up(
        &mut self,
        now: time::Timestamp,
        difference: TargetDifference,
    ) -> Vec<TargetChange> {
        let Some(since) = difference.since else {
            return self.list(now, difference.revision, difference.written);
        };
        if since > self.revision || difference.revision < self.revision {
            return Vec::new();
        }
        let changes = self.change(now, difference.written, difference.removed);
        self.revision = self.revision.max(difference.revision);
        changes
    }

    /// Returns how a life left, if it did.
    pub fn departure(&self, key: &TargetKey) -> Option<TargetDeparture> {
        self.departures.get(key).copied()
    }

    /// Notes that the directory does not answer.
    pub fn lose(&mut self) {
        self.is_lost = true;
    }

    /// Notes that the directory answers again.
    pub fn regain(&mut self, now: time::Timestamp) {
        if self.is_lost {
            self.is_lost = false;
            self.regained_at = Some(now);
        }
    }

    /// Takes a whole list.
    pub fn list(
        &mut self,
        now: time::Timestamp,
        revision: DirectoryRevision,
        records: Vec<TargetRecord>,
    ) -> Vec<TargetChange> {
        if revision < self.revision {
            return Vec::new();
        }
        let listed: BTreeSet<_> = records
            .iter()
            .map(|record| record.key.name.clone())
            .collect();
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();

        let mut changes = Vec::new();
        for record in records {
            self.write(record, &mut changes);
        }
        self.revision = self.revision.max(revision);
        let lapsed = self.is_lapse(now, &missing);
        for name in missing {
            self.miss(now, &name, lapsed, &mut changes);
        }
        changes
    }

    /// Takes changed and removed records that belong together.
    pub fn change(
        &mut self,
        now: time::Timestamp,
        written: Vec<TargetRecord>,
        removed: Vec<(ids::TargetName, DirectoryRevision)>,
    ) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        for record in written {
            self.revision = self.revision.max(record.revision);
            self.write(record, &mut changes);
        }
        let last = removed.iter().map(|(_, revision)| *revision).max();
        self.revision = self.revision.max(last.unwrap_or_default());
        let names: Vec<_> = removed.iter().map(|(name, _)| name.clone()).collect();
        let lapsed = self.is_lapse(now, &names);
        for (name, revision) in removed {
            let is_older = self
                .entries
                .get(&name)
                .is_some_and(|entry| entry.record.revision > revision);
            if !is_older {
                self.miss(now, &name, lapsed, &mut changes);
            }
        }
        changes
    }

    /// Takes lives that a peer knows to leave.
    pub fn depart(&mut self, departures: &[(TargetKey, TargetDeparture)]) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        for (key, departure) in departures {
            let is_back = !departure.is_final
                && self.entries.get(&key.name).is_some_and(|entry| {
                    entry.record.key == *key && entry.record.revision > departure.revision
                });
            if !is_back && self.remember(key, *departure) {
                changes.push(TargetChange::Leaving(key.clone()));
            }
        }
        changes
    }

    /// Drops records that are still missing when their time to come back is over.
    pub fn expire(&mut self, now: time::Timestamp) -> Vec<TargetChange> {
        if self.is_lost {
            return Vec::new();
        }
        let due: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                let since = entry.missing_since.max(self.regained_at);
                entry.missing_since.is_some()
                    && since.is_some_and(|since| now.since(since) >= LAPSE_GRACE)
            })
            .map(|(name, _)| name.clone())
            .collect();

        let mut changes = Vec::new();
        for name in due {
            self.remove(&name, &mut changes);
        }
        changes
    }

    /// Says whether records that vanish now have probably lapsed while the directory was away.
    fn is_lapse(&self, now: time::Timestamp, names: &[ids::TargetName]) -> bool {
        let is_recent = self
            .regained_at
            .is_some_and(|at| now.since(at) < LAPSE_GRACE);
        if self.is_lost || is_recent {
            return true;
        }
        names.len() > 1 && names.len() as f64 >= LAPSE_SHARE * self.entries.len() as f64
    }

    fn write(&mut self, record: TargetRecord, changes: &mut Vec<TargetChange>) {
        if let Some(entry) = self.entries.get_mut(&record.key.name) {
            if entry.record.revision > record.revision {
                return;
            }
            let is_return = entry.missing_since.take().is_some();
            if *entry.record == record && !is_return {
                return;
            }
            if entry.record.key != record.key {
                let old = entry.record.key.clone();
                let departure = TargetDeparture {
                    revision: record.revision,
                    is_final: true,
                };
                self.remember(&old, departure);
                changes.push(TargetChange::Gone(old));
            }
        }

        let is_draining = record.state == TargetState::Draining;
        let record = Rc::new(record);
        let key = record.key.clone();
        let entry = TargetEntry {
            record: Rc::clone(&record),
            missing_since: None,
        };
        self.entries.insert(key.name.clone(), entry);
        if is_draining {
            let departure = TargetDeparture {
                revision: record.revision,
                is_final: true,
            };
            if self.remember(&key, departure) {
                changes.push(TargetChange::Leaving(key));
            }
        } else if self.may_return(&record) {
            self.departures.remove(&key);
            changes.push(TargetChange::Usable(record));
        }
    }

    fn miss(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        lapsed: bool,
        changes: &mut Vec<TargetChange>,
    ) {
        if !lapsed {
            self.remove(name, changes);
            return;
        }
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing_since.get_or_insert(now);
        }
    }

    fn remove(&mut self, name: &ids::TargetName, changes: &mut Vec<TargetChange>) {
        if let Some(entry) = self.entries.remove(name) {
            let key = entry.record.key.clone();
            let departure = TargetDeparture {
                revision: self.revision,
                is_final: false,
            };
            self.remember(&key, departure);
            changes.push(TargetChange::Gone(key));
        }
    }

    fn may_return(&self, record: &TargetRecord) -> bool {
        self.departures
            .get(&record.key)
            .is_none_or(|departure| !departure.is_final && record.revision > departure.revision)
    }

    /// Remembers that a life leaves; says whether that is new.
    fn remember(&mut self, key: &TargetKey, departure: TargetDeparture) -> bool {
        if let Some(known) = self.departures.get_mut(key) {
            known.revision = known.revision.max(departure.revision);
            known.is_final |= departure.is_final;
            return false;
        }
        self.departures.insert(key.clone(), departure);
        self.departure_order.retain(|known| known != key);
        self.departure_order.push_back(key.clone());
        self.departure_count += 1;
        if self.departure_order.len() > DEPARTURE_LIMIT
            && let Some(oldest) = self.departure_order.pop_front()
            && let Some(departure) = self.departures.remove(&oldest)
        {
            self.forgotten = self.forgotten.max(departure.revision);
        }
        true
    }
}
