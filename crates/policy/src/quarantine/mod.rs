//! Requests that may crash the targets that run them.

mod suspects;
mod trusting;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use serde::Deserialize;
use serde::Serialize;

pub use suspects::SuspectQuarantine;
pub use trusting::TrustingQuarantine;

/// What is held against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Nothing.
    Clear,
    /// It was running on a target that crashed; it runs beside no other suspect.
    Suspect,
    /// It is refused until this time.
    Quarantined {
        /// End of the quarantine on this gateway's clock.
        until: time::Timestamp,
    },
}

/// One entry, as gateways tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub fingerprint: work::RequestFingerprint,
    /// Attempts of it that ended with a crash of their target; each has its own id, so a record
    /// that comes twice counts once.
    pub crashes: [Option<ids::AttemptId>; 2],
    /// How much longer the entry is kept, in seconds, when it is sent.
    pub seconds_left: u32,
}

/// Judges requests for one gateway.
pub trait QuarantinePolicy {
    /// Returns what is held against a request.
    fn judge(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> SuspectVerdict;

    /// Notes that a target crashed while it ran `attempt` of the request.
    fn record_crash(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        attempt: ids::AttemptId,
    );

    /// Notes that a request completed, which clears a suspicion but no quarantine.
    fn record_completion(&mut self, now: time::Timestamp, fingerprint: work::RequestFingerprint);

    /// Takes an entry from another gateway.
    fn merge(&mut self, now: time::Timestamp, record: &SuspectRecord);

    /// Returns all entries that are in force.
    fn records(&self, now: time::Timestamp) -> Vec<SuspectRecord>;
}
