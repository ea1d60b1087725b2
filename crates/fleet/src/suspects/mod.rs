//! Requests that may crash targets, as gateways propagate them to each other.

use std::collections::BTreeMap;
use std::time::Duration;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use kingcupfall_policy::quarantine;
use xxhash_rust::xxh3;

/// Maximum number of requests that the table holds.
const MAX_SUSPECTS: usize = 256;

/// Longest time for which a record is kept, whatever its sender states.
const MAX_RETENTION: Duration = Duration::from_secs(3_600);

/// Unexpired records known to one process.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: BTreeMap<work::RequestFingerprint, SuspectEntry>,
    digest: u64,
}

#[derive(Debug)]
struct SuspectEntry {
    crashes: [Option<ids::CrashId>; 2],
    expires_at: time::Timestamp,
}

impl SuspectTable {
    /// Merges a record and returns true if it reports a crash that was not known.
    pub fn merge(&mut self, now: time::Timestamp, record: &quarantine::SuspectRecord) -> bool {
        let retention = Duration::from_secs(u64::from(record.seconds_left)).min(MAX_RETENTION);
        let known = self.entries.get(&record.fingerprint);
        let known_crashes = known.map(|entry| entry.crashes).unwrap_or_default();
        let crashes = merge_crashes(known_crashes, record.crashes);
        let is_full = known.is_none() && self.entries.len() >= MAX_SUSPECTS;
        if crashes == known_crashes || is_full || retention.is_zero() {
            return false;
        }

        let expires_at = now + retention;
        self.digest ^= entry_digest(record.fingerprint, known_crashes);
        self.digest ^= entry_digest(record.fingerprint, crashes);
        let entry = SuspectEntry {
            crashes,
            expires_at,
        };
        self.entries.insert(record.fingerprint, entry);
        true
    }

    /// Removes records that have expired.
    pub fn remove_expired(&mut self, now: time::Timestamp) {
        let digest = &mut self.digest;
        self.entries.retain(|fingerprint, entry| {
            let is_kept = entry.expires_at > now;
            if !is_kept {
                *digest ^= entry_digest(*fingerprint, entry.crashes);
            }
            is_kept
        });
    }

    /// Returns all records with the time until they expire.
    pub fn records(&self, now: time::Timestamp) -> Vec<quarantine::SuspectRecord> {
        let to_record = |(fingerprint, entry): (&work::RequestFingerprint, &SuspectEntry)| {
            let remaining = entry.expires_at.since(now).as_secs();
            quarantine::SuspectRecord {
                fingerprint: *fingerprint,
                crashes: entry.crashes,
                seconds_left: u32::try_from(remaining).unwrap_or(u32::MAX),
            }
        };
        self.entries.iter().map(to_record).collect()
    }

    /// Returns a hash of all records that is equal in processes that know the same crashes.
    pub const fn digest(&self) -> u64 {
        self.digest
    }
}

/// Merges the crashes of two records. Keeps the two lowest ids, so that the order of arrival does
/// not matter.
fn merge_crashes(
    first: [Option<ids::CrashId>; 2],
    second: [Option<ids::CrashId>; 2],
) -> [Option<ids::CrashId>; 2] {
    let mut crashes: Vec<ids::CrashId> = first.into_iter().chain(second).flatten().collect();
    crashes.sort();
    crashes.dedup();
    [crashes.first().copied(), crashes.get(1).copied()]
}

fn entry_digest(fingerprint: work::RequestFingerprint, crashes: [Option<ids::CrashId>; 2]) -> u64 {
    let mut hasher = xxh3::Xxh3::new();
    hasher.update(fingerprint.to_string().as_bytes());
    for crash in crashes.iter().flatten() {
        hasher.update(&crash.as_u128().to_le_bytes());
    }

    // An entry without crashes has the digest zero, like an entry that is not in the table.
    match crashes {
        [None, None] => 0,
        [Some(_), _] | [None, Some(_)] => hasher.digest(),
    }
}
