//! The known targets, merged from the directory's lists and changes and from what peers report.

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

/// Time after the directory's return within which targets whose records expired are expected to
/// register again: the platform states about two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_500);

/// Share of all records from which a simultaneous removal of several may be an expiry of their
/// registrations in an outage that this relay did not notice.
const MIN_EXPIRED_SHARE: f64 = 0.5;

/// Part of the time for which a departed target serves on that such records are kept without a sign
/// of an outage: their targets may as well have left together. The rest of that time is for the
/// delay with which a removal is seen, and for the calls that are sent until then.
const UNEXPLAINED_GRACE_SHARE: f64 = 0.25;

/// Maximum number of departures that are kept, so that late updates don't make their incarnations
/// usable again.
const MAX_KNOWN_DEPARTURES: usize = 4_096;

/// Maximum number of records unless another one is set.
const DEFAULT_MAX_RECORDS: usize = 1_024;

/// A change in which targets may be used.
#[derive(Debug, Clone, PartialEq)]
pub enum TargetChange {
    /// A target is new or usable again, or its record changed.
    Usable(Rc<TargetRecord>),
    /// A target accepts no new work from now on.
    Leaving(TargetKey),
    /// A target's record disappeared, possibly because its registration expired during an outage
    /// of the directory. The target may be used until the end of the grace period.
    Missing(TargetKey, MissingCause),
    /// A target's record was removed; requests that it runs may still complete.
    Gone(TargetKey),
}

/// Why a record that the directory lacks is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingCause {
    /// The directory was away, or has just returned.
    Outage,
    /// Most records disappeared at once, without a sign of an outage.
    Unexplained,
}

/// A record that the directory lacks.
#[derive(Debug, Clone, Copy)]
struct MissingRecord {
    since: time::Timestamp,
    cause: MissingCause,
}

/// Record of a target, and whether the directory lacks it.
#[derive(Debug, Clone)]
struct TargetEntry {
    record: Rc<TargetRecord>,
    missing: Option<MissingRecord>,
}

/// Where changes of records come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateSource {
    Directory,
    Peer,
}

/// How an incarnation of a target departed, as peers report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDeparture {
    /// Directory revision at which the departure was seen.
    #[serde(rename = "r")]
    pub revision: DirectoryRevision,
    /// Whether the incarnation can't become usable again, as it drains or another one has replaced
    /// it. A record that was merely removed may be written again by a target that had lost its
    /// connection to the directory.
    #[serde(rename = "d")]
    pub is_final: bool,
}

/// The updates that bring an older table to the state of a newer one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetDelta {
    /// Directory revision to which the updates apply; `None` if `written` is the complete list.
    #[serde(rename = "s")]
    pub since: Option<DirectoryRevision>,
    /// Directory revision of the newer table.
    #[serde(rename = "r")]
    pub revision: DirectoryRevision,
    /// Records that were added or changed.
    #[serde(rename = "w")]
    pub written: Vec<TargetRecord>,
    /// Names of the removed records, with the revision at which each was removed.
    #[serde(rename = "g")]
    pub removed: Vec<(ids::TargetName, DirectoryRevision)>,
    /// Whether the sender has just received a response of the directory that confirms the newer
    /// table. False from relays that do not know this field.
    #[serde(rename = "f", default)]
    pub is_confirmed: bool,
}

/// Targets by name. An incarnation whose departure is final never becomes usable again.
///
/// Any program may write records to the directory, so their number is limited. Known ones stay, except
/// that targets of routed services replace those of other services.
#[derive(Debug)]
pub struct TargetTable {
    entries: BTreeMap<ids::TargetName, TargetEntry>,
    max_records: usize,
    /// Services to which requests may be routed.
    routed_services: BTreeSet<ids::ServiceName>,
    /// Names of the targets of other services.
    unrouted: BTreeSet<ids::TargetName>,
    /// Number of records that were not added since the last call of `take_dropped_count`.
    dropped_count: u64,
    departures: BTreeMap<TargetKey, TargetDeparture>,
    departure_order: VecDeque<TargetKey>,
    /// Number of departures that were ever added.
    departure_count: u64,
    /// Highest revision of a departure that was evicted from `departures`.
    evicted_revision: DirectoryRevision,
    revision: DirectoryRevision,
    is_directory_lost: bool,
    directory_regained_at: Option<time::Timestamp>,
    /// Time of the last response that a call of the directory received late or after a failure.
    directory_disturbed_at: Option<time::Timestamp>,
    /// Time for which a target serves on after its record was removed.
    departure_time: Duration,
}

impl Default for TargetTable {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            max_records: DEFAULT_MAX_RECORDS,
            routed_services: BTreeSet::new(),
            unrouted: BTreeSet::new(),
            dropped_count: 0,
            departures: BTreeMap::new(),
            departure_order: VecDeque::new(),
            departure_count: 0,
            evicted_revision: DirectoryRevision::default(),
            revision: DirectoryRevision::default(),
            is_directory_lost: false,
            directory_regained_at: None,
            directory_disturbed_at: None,
            departure_time: Duration::ZERO,
        }
    }
}

impl TargetTable {
    /// Sets the maximum number of records. Records that are known already stay.
    pub const fn set_max_records(&mut self, max_records: usize) {
        self.max_records = max_records;
    }

    /// Returns the maximum number of records.
    pub const fn max_records(&self) -> usize {
        self.max_records
    }

    /// Sets the services to which requests may be routed.
    pub fn set_routed_services(&mut self, services: BTreeSet<ids::ServiceName>) {
        self.routed_services = services;
        let entries = self.entries.iter();
        self.unrouted = entries
            .filter(|(_, entry)| !self.routed_services.contains(&entry.record.service))
            .map(|(name, _)| name.clone())
            .collect();
    }

    /// Returns whether requests may be routed to a service.
    pub fn is_routed(&self, service: &ids::ServiceName) -> bool {
        self.routed_services.contains(service)
    }

    /// Returns the record of the target with this name.
    pub fn record(&self, name: &ids::TargetName) -> Option<&Rc<TargetRecord>> {
        self.entries.get(name).map(|entry| &entry.record)
    }

    /// Returns whether there is a record of the target with this name.
    pub fn has_record(&self, name: &ids::TargetName) -> bool {
        self.entries.contains_key(name)
    }

    /// Returns how many records were not added for want of room since the last call.
    pub const fn take_dropped_count(&mut self) -> u64 {
        std::mem::replace(&mut self.dropped_count, 0)
    }

    /// Sets the time for which a target serves on after its record was removed; zero if it is not
    /// known.
    pub const fn set_departure_time(&mut self, time: Duration) {
        self.departure_time = time;
    }

    /// Returns the newest directory revision that was seen.
    pub const fn revision(&self) -> DirectoryRevision {
        self.revision
    }

    /// Returns the records of all targets, including draining ones and those that the directory
    /// lacks but that may still be registered again.
    pub fn records(&self) -> impl Iterator<Item = &Rc<TargetRecord>> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Returns the number of departures that were ever added, for use with `departures_after`.
    pub const fn departure_count(&self) -> u64 {
        self.departure_count
    }

    /// Returns the departures that were added after the first `count` ones, newest first.
    pub fn departures_after(
        &self,
        count: u64,
    ) -> impl Iterator<Item = (TargetKey, TargetDeparture)> {
        let added = self.departure_count.saturating_sub(count);
        let newest = self.departure_order.iter().rev();
        newest
            .take(usize::try_from(added).unwrap_or(usize::MAX))
            .filter_map(|key| Some((key.clone(), *self.departures.get(key)?)))
    }

    /// Returns the updates for a table whose revision is `since`: the complete list if that table
    /// is new, or may lack departures that were evicted from this one.
    pub fn delta_since(&self, since: DirectoryRevision) -> TargetDelta {
        let is_complete_list = since <= self.evicted_revision;
        let since = (!is_complete_list).then_some(since);
        let is_new = |revision: DirectoryRevision| since.is_none_or(|since| revision > since);
        let removed = self.departures.iter().filter(|(key, departure)| {
            // If another incarnation has the name, its record implies the end of this one.
            since.is_some() && is_new(departure.revision) && !self.entries.contains_key(&key.name)
        });
        TargetDelta {
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
            is_confirmed: false,
        }
    }

    /// Applies the updates of a newer table. Ignores them if this table is newer, or older than the
    /// revision that they apply to.
    pub fn apply_delta(&mut self, now: time::Timestamp, delta: TargetDelta) -> Vec<TargetChange> {
        let Some(since) = delta.since else {
            return self.merge_list(now, delta.revision, delta.written, UpdateSource::Peer);
        };
        if since > self.revision || delta.revision < self.revision {
            return Vec::new();
        }
        self.begin_era(now, delta.revision);
        let changes = self.merge_changes(now, delta.written, delta.removed, UpdateSource::Peer);
        self.revision = self.revision.max(delta.revision);
        changes
    }

    /// Returns how an incarnation departed, if it did.
    pub fn departure(&self, key: &TargetKey) -> Option<TargetDeparture> {
        self.departures.get(key).copied()
    }

    /// Records that the directory stopped responding. Until it responds again, no record is
    /// removed because the directory lacks it.
    pub fn record_directory_lost(&mut self) {
        self.is_directory_lost = true;
    }

    /// Returns whether the directory has stopped responding.
    pub const fn is_directory_lost(&self) -> bool {
        self.is_directory_lost
    }

    /// Records that the directory responds again.
    pub fn record_directory_regained(&mut self, now: time::Timestamp) {
        if self.is_directory_lost {
            self.is_directory_lost = false;
            self.directory_regained_at = Some(now);
        }
    }

    /// Records that a response of the directory came late or after a failure. That alone is no
    /// outage, but explains why most records disappear at once.
    pub const fn record_directory_disturbed(&mut self, now: time::Timestamp) {
        self.directory_disturbed_at = Some(now);
    }

    /// Applies the directory's complete list of records. Ignores a list that is older than the
    /// table.
    pub fn apply_list(
        &mut self,
        now: time::Timestamp,
        revision: DirectoryRevision,
        records: Vec<TargetRecord>,
    ) -> Vec<TargetChange> {
        self.merge_list(now, revision, records, UpdateSource::Directory)
    }

    fn merge_list(
        &mut self,
        now: time::Timestamp,
        revision: DirectoryRevision,
        records: Vec<TargetRecord>,
        source: UpdateSource,
    ) -> Vec<TargetChange> {
        if revision < self.revision {
            return Vec::new();
        }
        self.begin_era(now, revision);
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
            self.write_record(record, &mut changes);
        }
        self.revision = self.revision.max(revision);
        let cause = self.missing_cause(now, &missing, source);
        for name in missing {
            self.handle_missing(now, &name, cause, &mut changes);
        }
        changes
    }

    /// Applies a batch of records that were changed and removed in the directory. Removals in one
    /// batch are simultaneous for the check whether the registrations expired.
    pub fn apply_changes(
        &mut self,
        now: time::Timestamp,
        written: Vec<TargetRecord>,
        removed: Vec<(ids::TargetName, DirectoryRevision)>,
    ) -> Vec<TargetChange> {
        self.merge_changes(now, written, removed, UpdateSource::Directory)
    }

    fn merge_changes(
        &mut self,
        now: time::Timestamp,
        written: Vec<TargetRecord>,
        removed: Vec<(ids::TargetName, DirectoryRevision)>,
        source: UpdateSource,
    ) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        for record in written {
            self.revision = self.revision.max(record.revision);
            self.write_record(record, &mut changes);
        }
        let last = removed.iter().map(|(_, revision)| *revision).max();
        self.revision = self.revision.max(last.unwrap_or_default());
        let names: Vec<_> = removed.iter().map(|(name, _)| name.clone()).collect();
        let cause = self.missing_cause(now, &names, source);
        for (name, revision) in removed {
            let is_outdated = self
                .entries
                .get(&name)
                .is_some_and(|entry| entry.record.revision > revision);
            if !is_outdated {
                self.handle_missing(now, &name, cause, &mut changes);
            }
        }
        changes
    }

    /// Applies departures that a peer reported.
    pub fn apply_departures(
        &mut self,
        departures: &[(TargetKey, TargetDeparture)],
    ) -> Vec<TargetChange> {
        let mut changes = Vec::new();
        for (key, departure) in departures {
            let is_registered_again = !departure.is_final
                && self.entries.get(&key.name).is_some_and(|entry| {
                    entry.record.key == *key && entry.record.revision > departure.revision
                });
            if !is_registered_again && self.add_departure(key, *departure) {
                changes.push(TargetChange::Leaving(key.clone()));
            }
        }
        changes
    }

    /// Applies the departure that a target announced itself.
    pub fn apply_announced_departure(&mut self, key: &TargetKey) -> Vec<TargetChange> {
        let departure = TargetDeparture {
            revision: self.revision,
            is_final: true,
        };
        self.apply_departures(&[(key.clone(), departure)])
    }

    /// Removes records that the directory still lacks at the end of the grace period for another
    /// registration.
    pub fn remove_expired(&mut self, now: time::Timestamp) -> Vec<TargetChange> {
        let expired: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                let grace_end = entry.missing.and_then(|missing| self.grace_end(missing));
                grace_end.is_some_and(|end| now >= end)
            })
            .map(|(name, _)| name.clone())
            .collect();

        let mut changes = Vec::new();
        for name in expired {
            self.remove_record(&name, &mut changes);
        }
        changes
    }

    /// Returns the time until which a missing record is kept; `None` while the directory is away.
    /// After an outage it is the same for all records, whenever their removal was seen. A removal
    /// that was seen without an outage holds, whatever happens to the directory afterwards.
    fn grace_end(&self, missing: MissingRecord) -> Option<time::Timestamp> {
        match missing.cause {
            MissingCause::Unexplained => {
                let grace = self.departure_time.mul_f64(UNEXPLAINED_GRACE_SHARE);
                Some(missing.since + grace.min(REREGISTRATION_GRACE))
            }
            MissingCause::Outage if self.is_directory_lost => None,
            MissingCause::Outage => {
                let ends = [self.directory_regained_at, self.directory_disturbed_at]
                    .into_iter()
                    .flatten()
                    .map(|at| at + REREGISTRATION_GRACE)
                    .filter(|end| missing.since < *end);
                Some(ends.max().unwrap_or(missing.since))
            }
        }
    }

    /// Prepares for the records of a later era of the directory, if `revision` belongs to one.
    /// Targets that the directory's copy lacks get time to register again, and its records don't
    /// bring departed incarnations back.
    fn begin_era(&mut self, now: time::Timestamp, revision: DirectoryRevision) {
        let is_first = self.revision == DirectoryRevision::default();
        if is_first || revision.era() <= self.revision.era() {
            return;
        }
        self.directory_regained_at = Some(now);
        for departure in self.departures.values_mut() {
            departure.revision = departure.revision.max(revision);
        }
    }

    /// Returns why records that disappear now may have expired although their targets run, so that
    /// these may register again; `None` if they are to be removed.
    fn missing_cause(
        &self,
        now: time::Timestamp,
        names: &[ids::TargetName],
        source: UpdateSource,
    ) -> Option<MissingCause> {
        let is_recent =
            |at: Option<time::Timestamp>| at.is_some_and(|at| now.since(at) < REREGISTRATION_GRACE);
        if self.is_directory_lost || is_recent(self.directory_regained_at) {
            return Some(MissingCause::Outage);
        }
        // A peer has kept such records itself before it reports their removal.
        if source == UpdateSource::Peer {
            return None;
        }
        // A batch that covers some time also names targets that came and went meanwhile.
        let known = names
            .iter()
            .filter(|name| self.entries.contains_key(*name))
            .count();
        if known < 2 || (known as f64) < MIN_EXPIRED_SHARE * self.entries.len() as f64 {
            return None;
        }
        match is_recent(self.directory_disturbed_at) {
            true => Some(MissingCause::Outage),
            false => Some(MissingCause::Unexplained),
        }
    }

    /// Returns whether incarnations of a target with a known start have registered.
    fn has_known_start(&self, name: &ids::TargetName) -> bool {
        let has_start = |key: &TargetKey| key.name == *name && key.started_ms > 0;
        let first = TargetKey {
            name: name.clone(),
            started_ms: 0,
        };
        let entry = self.entries.get(name);
        entry.is_some_and(|entry| has_start(&entry.record.key))
            || self
                .departures
                .range(first..)
                .take(2)
                .any(|(key, _)| has_start(key))
    }

    fn write_record(&mut self, record: TargetRecord, changes: &mut Vec<TargetChange>) {
        // Targets always state their start. A record without one comes from another writer and does
        // not end the incarnation, which may register again.
        if record.key.started_ms == 0 && self.has_known_start(&record.key.name) {
            let is_newer = |entry: &TargetEntry| entry.record.revision < record.revision;
            if self.entries.get(&record.key.name).is_some_and(is_newer) {
                self.revision = self.revision.max(record.revision);
                self.remove_record(&record.key.name, changes);
            }
            return;
        }
        if let Some(entry) = self.entries.get_mut(&record.key.name) {
            if entry.record.revision > record.revision {
                return;
            }
            let was_missing = entry.missing.take().is_some();
            if *entry.record == record && !was_missing {
                return;
            }
            if entry.record.key != record.key {
                let old = entry.record.key.clone();
                let departure = TargetDeparture {
                    revision: record.revision,
                    is_final: true,
                };
                self.add_departure(&old, departure);
                changes.push(TargetChange::Gone(old));
            }
        }

        if !self.make_room(&record, changes) {
            self.dropped_count += 1;
            return;
        }
        if self.is_routed(&record.service) {
            self.unrouted.remove(&record.key.name);
        } else {
            self.unrouted.insert(record.key.name.clone());
        }
        let is_draining = record.state == TargetState::Draining;
        let record = Rc::new(record);
        let key = record.key.clone();
        let entry = TargetEntry {
            record: Rc::clone(&record),
            missing: None,
        };
        self.entries.insert(key.name.clone(), entry);
        if is_draining {
            let departure = TargetDeparture {
                revision: record.revision,
                is_final: true,
            };
            if self.add_departure(&key, departure) {
                changes.push(TargetChange::Leaving(key));
            }
        } else if self.may_be_used(&record) {
            self.departures.remove(&key);
            changes.push(TargetChange::Usable(record));
        }
    }

    /// Makes room for a record, if there has to be. Returns whether there is room.
    fn make_room(&mut self, record: &TargetRecord, changes: &mut Vec<TargetChange>) -> bool {
        if self.entries.len() < self.max_records || self.has_record(&record.key.name) {
            return true;
        }
        if !self.is_routed(&record.service) {
            return false;
        }
        let Some(replaced) = self.unrouted.pop_first() else {
            return false;
        };
        self.remove_record(&replaced, changes);
        self.entries.len() < self.max_records
    }

    /// Handles a target that the directory lacks: removes its record, or keeps it for the grace
    /// period if there is a cause for which the registration may have expired.
    fn handle_missing(
        &mut self,
        now: time::Timestamp,
        name: &ids::TargetName,
        cause: Option<MissingCause>,
        changes: &mut Vec<TargetChange>,
    ) {
        let Some(cause) = cause else {
            self.remove_record(name, changes);
            return;
        };
        if let Some(entry) = self.entries.get_mut(name)
            && entry.missing.is_none()
        {
            entry.missing = Some(MissingRecord { since: now, cause });
            changes.push(TargetChange::Missing(entry.record.key.clone(), cause));
        }
    }

    fn remove_record(&mut self, name: &ids::TargetName, changes: &mut Vec<TargetChange>) {
        self.unrouted.remove(name);
        if let Some(entry) = self.entries.remove(name) {
            let key = entry.record.key.clone();
            let departure = TargetDeparture {
                revision: self.revision,
                is_final: false,
            };
            self.add_departure(&key, departure);
            changes.push(TargetChange::Gone(key));
        }
    }

    /// Returns true unless the record's incarnation has departed, finally or later than the record.
    fn may_be_used(&self, record: &TargetRecord) -> bool {
        self.departures
            .get(&record.key)
            .is_none_or(|departure| !departure.is_final && record.revision > departure.revision)
    }

    /// Adds or updates the departure of an incarnation; returns true if it was added.
    fn add_departure(&mut self, key: &TargetKey, departure: TargetDeparture) -> bool {
        if let Some(known) = self.departures.get_mut(key) {
            known.revision = known.revision.max(departure.revision);
            known.is_final |= departure.is_final;
            return false;
        }
        self.departures.insert(key.clone(), departure);
        self.departure_order.retain(|known| known != key);
        self.departure_order.push_back(key.clone());
        self.departure_count += 1;
        if self.departure_order.len() > MAX_KNOWN_DEPARTURES
            && let Some(oldest) = self.departure_order.pop_front()
            && let Some(departure) = self.departures.remove(&oldest)
        {
            self.evicted_revision = self.evicted_revision.max(departure.revision);
        }
        true
    }
}
