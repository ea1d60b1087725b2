//! Suspicion after one crash, quarantine after a second.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::QuarantinePolicy;
use super::SuspectRecord;
use super::SuspectVerdict;

/// Time for which one crash is held against a request.
const SUSPICION_LIFE: Duration = Duration::from_secs(600);

/// Time for which a request is refused after its second crash.
const QUARANTINE_LIFE: Duration = Duration::from_secs(1_800);

/// Most entries kept; the one that ends soonest is dropped for a new one.
const ENTRY_LIMIT: usize = 4_096;

/// What is held against one request.
#[derive(Debug, Clone, Copy)]
struct SuspectEntry {
    crashes: [Option<ids::AttemptId>; 2],
    expires_at: time::Timestamp,
}

impl SuspectEntry {
    fn is_quarantined(&self) -> bool {
        self.crashes.iter().all(Option::is_some)
    }

    /// Adds a crash and says whether it was new.
    fn add(&mut self, attempt: ids::AttemptId) -> bool {
        if self.crashes.contains(&Some(attempt)) {
            return false;
        }
        match self.crashes.iter_mut().find(|crash| crash.is_none()) {
            Some(free) => {
                *free = Some(attempt);
                true
            }
            None => false,
        }
    }
}

/// Quarantine by fingerprint.
#[derive(Debug, Default)]
pub struct SuspectQuarantine {
    entries: BTreeMap<work::RequestFingerprint, SuspectEntry>,
}

impl SuspectQuarantine {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Says whether nothing is held against any request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: time::Timestamp) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    fn make_room(&mut self, now: time::Timestamp) {
        if self.entries.len() < ENTRY_LIMIT {
            return;
        }
        self.expire(now);
        if self.entries.len() < ENTRY_LIMIT {
            return;
        }

        let soonest = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| (entry.is_quarantined(), entry.expires_at))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(fingerprint) = soonest {
            self.entries.remove(&fingerprint);
        }
    }

    fn entry(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> &mut SuspectEntry {
        if !self.entries.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let entry = self.entries.entry(fingerprint).or_insert(SuspectEntry {
            crashes: [None, None],
            expires_at: now,
        });
        if entry.expires_at <= now {
            entry.crashes = [None, None];
        }
        entry
    }
}

impl QuarantinePolicy for SuspectQuarantine {
    fn judge(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> SuspectVerdict {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return SuspectVerdict::Clear;
        };
        if entry.expires_at <= now {
            self.entries.remove(&fingerprint);
            return SuspectVerdict::Clear;
        }
        match entry.is_quarantined() {
            true => SuspectVerdict::Quarantined {
                until: entry.expires_at,
            },
            false => SuspectVerdict::Suspect,
        }
    }

    fn record_crash(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        attempt: ids::AttemptId,
    ) {
        let entry = self.entry(now, fingerprint);
        if !entry.add(attempt) {
            return;
        }
        entry.expires_at = now + entry_life(entry);
    }

    fn record_completion(&mut self, _now: time::Timestamp, fingerprint: work::RequestFingerprint) {
        let is_suspect = self
            .entries
            .get(&fingerprint)
            .is_some_and(|entry| !entry.is_quarantined());
        if is_suspect {
            self.entries.remove(&fingerprint);
        }
    }

    fn merge(&mut self, now: time::Timestamp, record: &SuspectRecord) {
        let life = Duration::from_secs(u64::from(record.seconds_left));
        if life.is_zero() {
            return;
        }

        let entry = self.entry(now, record.fingerprint);
        for attempt in record.crashes.iter().flatten() {
            entry.add(*attempt);
        }
        let life = life.min(entry_life(entry));
        entry.expires_at = entry.expires_at.max(now + life);
    }

    fn records(&self, now: time::Timestamp) -> Vec<SuspectRecord> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.expires_at > now)
            .map(|(fingerprint, entry)| SuspectRecord {
                fingerprint: *fingerprint,
                crashes: entry.crashes,
                seconds_left: seconds(entry.expires_at.since(now)),
            })
            .collect()
    }
}

fn entry_life(entry: &SuspectEntry) -> Duration {
    match entry.is_quarantined() {
        true => QUARANTINE_LIFE,
        false => SUSPICION_LIFE,
    }
}

fn seconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_secs()).unwrap_or(u32::MAX)
}
