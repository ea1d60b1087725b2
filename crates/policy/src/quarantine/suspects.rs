//! Suspicion of a request after one crash, and quarantine after a second.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::QuarantinePolicy;
use super::QuarantineStatus;
use super::SuspectRecord;

/// Time for which a request stays a suspect after its first crash.
const SUSPICION_DURATION: Duration = Duration::from_secs(600);

/// Time for which a request is quarantined after its second crash.
const QUARANTINE_DURATION: Duration = Duration::from_secs(1_800);

/// Maximum number of entries. In a full table a new entry replaces the suspect that expires first,
/// or, if all entries are quarantined, the quarantine that expires first.
const MAX_ENTRIES: usize = 4_096;

/// Crashes that an entry remembers although the request has completed since; beyond that, the
/// oldest are forgotten.
const MAX_CLEARED_CRASHES: usize = 8;

/// Recorded crashes of one request; it is quarantined when both slots are filled.
#[derive(Debug, Clone)]
struct SuspectEntry {
    crashes: [Option<ids::CrashId>; 2],
    /// Crashes after which the request completed, oldest first: other processes may still report
    /// them.
    cleared: VecDeque<ids::CrashId>,
    expires_at: time::Timestamp,
    /// Number of changes of the table up to the last one of this entry.
    changed_at: u64,
}

impl SuspectEntry {
    fn is_quarantined(&self) -> bool {
        self.crashes.iter().all(Option::is_some)
    }

    fn record(&self, now: time::Timestamp, fingerprint: work::RequestFingerprint) -> SuspectRecord {
        SuspectRecord {
            fingerprint,
            crashes: self.crashes,
            seconds_left: whole_seconds(self.expires_at.since(now)),
        }
    }

    fn is_suspect(&self) -> bool {
        self.crashes.iter().any(Option::is_some)
    }

    fn clear(&mut self) {
        for crash in self.crashes.into_iter().flatten() {
            self.clear_crash(crash);
        }
    }

    fn clear_crash(&mut self, cleared: ids::CrashId) {
        for crash in &mut self.crashes {
            if crash.take_if(|crash| *crash == cleared).is_some() {
                self.cleared.push_back(cleared);
            }
        }
        let excess = self.cleared.len().saturating_sub(MAX_CLEARED_CRASHES);
        self.cleared.drain(..excess);
    }

    /// Adds a crash and returns true if it was new and there was a free slot for it.
    fn add_crash(&mut self, crash: ids::CrashId) -> bool {
        if self.crashes.contains(&Some(crash)) || self.cleared.contains(&crash) {
            return false;
        }
        match self.crashes.iter_mut().find(|crash| crash.is_none()) {
            Some(free_slot) => {
                *free_slot = Some(crash);
                true
            }
            None => false,
        }
    }
}

/// Quarantine policy that counts crashes by request fingerprint.
#[derive(Debug, Default, Clone)]
pub struct SuspectQuarantine {
    entries: BTreeMap<work::RequestFingerprint, SuspectEntry>,
    /// Number of crashes that were added to entries so far.
    change_count: u64,
}

impl SuspectQuarantine {
    /// Returns the number of entries, including expired ones that are not removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove_expired(&mut self, now: time::Timestamp) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    fn evict_if_full(&mut self, now: time::Timestamp) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        self.remove_expired(now);
        if self.entries.len() < MAX_ENTRIES {
            return;
        }

        let evicted = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.is_quarantined(), entry.expires_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = evicted {
            self.entries.remove(&fingerprint);
        }
    }

    fn entry(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> &mut SuspectEntry {
        if !self.entries.contains_key(&fingerprint) {
            self.evict_if_full(now);
        }
        let entry = self.entries.entry(fingerprint).or_insert(SuspectEntry {
            crashes: [None, None],
            cleared: VecDeque::new(),
            expires_at: now,
            changed_at: 0,
        });
        if entry.expires_at <= now {
            entry.crashes = [None, None];
            entry.cleared.clear();
        }
        entry
    }
}

impl QuarantinePolicy for SuspectQuarantine {
    fn status(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> QuarantineStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        if entry.expires_at <= now {
            self.entries.remove(&fingerprint);
            return QuarantineStatus::Clear;
        }
        match (entry.is_quarantined(), entry.is_suspect()) {
            (true, _) => QuarantineStatus::Quarantined {
                until: entry.expires_at,
            },
            (false, true) => QuarantineStatus::Suspect,
            (false, false) => QuarantineStatus::Clear,
        }
    }

    fn record_crash(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        crash: ids::CrashId,
    ) {
        let change_count = self.change_count + 1;
        let entry = self.entry(now, fingerprint);
        if !entry.add_crash(crash) {
            return;
        }
        entry.expires_at = now + entry_lifetime(entry);
        entry.changed_at = change_count;
        self.change_count = change_count;
    }

    fn record_completion(&mut self, _now: time::Timestamp, fingerprint: work::RequestFingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint)
            && !entry.is_quarantined()
        {
            entry.clear();
        }
    }

    fn disprove_crash(&mut self, crash: ids::CrashId) {
        for entry in self.entries.values_mut() {
            entry.clear_crash(crash);
        }
    }

    fn merge(&mut self, now: time::Timestamp, record: &SuspectRecord) {
        let lifetime = Duration::from_secs(u64::from(record.seconds_left));
        if lifetime.is_zero() {
            return;
        }

        let change_count = self.change_count + 1;
        let entry = self.entry(now, record.fingerprint);
        let mut has_changed = false;
        for crash in record.crashes.iter().flatten() {
            has_changed |= entry.add_crash(*crash);
        }
        let lifetime = lifetime.min(entry_lifetime(entry));
        entry.expires_at = entry.expires_at.max(now + lifetime);
        if has_changed {
            entry.changed_at = change_count;
            self.change_count = change_count;
        }
    }

    fn records(&self, now: time::Timestamp) -> Vec<SuspectRecord> {
        self.records_after(now, 0).0
    }

    fn records_after(&self, now: time::Timestamp, change_count: u64) -> (Vec<SuspectRecord>, u64) {
        let is_included = |entry: &SuspectEntry| {
            entry.changed_at > change_count && entry.expires_at > now && entry.is_suspect()
        };
        let entries = self.entries.iter().filter(|(_, entry)| is_included(entry));
        let records = entries.map(|(fingerprint, entry)| entry.record(now, *fingerprint));
        (records.collect(), self.change_count)
    }

    fn record(
        &self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> Option<SuspectRecord> {
        let entry = self.entries.get(&fingerprint)?;
        let is_current = entry.expires_at > now && entry.is_suspect();
        is_current.then(|| entry.record(now, fingerprint))
    }

    fn boxed_clone(&self) -> Box<dyn QuarantinePolicy> {
        Box::new(self.clone())
    }
}

fn entry_lifetime(entry: &SuspectEntry) -> Duration {
    match entry.is_quarantined() {
        true => QUARANTINE_DURATION,
        false => SUSPICION_DURATION,
    }
}

fn whole_seconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_secs()).unwrap_or(u32::MAX)
}
