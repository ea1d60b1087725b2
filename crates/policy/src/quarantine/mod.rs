//! Quarantine of requests that may crash the targets that run them.

mod disabled;
mod prompt_parts;
mod suspects;

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;
use serde::Deserialize;
use serde::Serialize;

pub use disabled::NoQuarantine;
pub use prompt_parts::CrashCorrelation;
pub use prompt_parts::LostPrompt;
pub use prompt_parts::NoPartQuarantine;
pub use prompt_parts::PartChange;
pub use prompt_parts::PartQuarantine;
pub use prompt_parts::PartStanding;
pub use prompt_parts::PromptCrash;
pub use prompt_parts::PromptPartPolicy;
pub use prompt_parts::PromptRecord;
pub use suspects::SuspectQuarantine;

/// Quarantine status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No crash is on record.
    Clear,
    /// It was running on a target that crashed; a target runs no other suspect with it.
    Suspect,
    /// It is refused, because targets crashed repeatedly while running it.
    Quarantined {
        /// End of the quarantine, on the local clock.
        until: time::Timestamp,
    },
}

/// Entry of one suspected or quarantined request, as exchanged between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub fingerprint: work::RequestFingerprint,
    /// Crashes of targets that ran the request. A crash that is reported twice counts once.
    pub crashes: [Option<ids::CrashId>; 2],
    /// Remaining time until the entry expires, in seconds from the time of sending.
    pub seconds_left: u32,
}

/// Tracks the requests that may crash targets.
pub trait QuarantinePolicy {
    /// Returns the quarantine status of a request.
    fn status(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> QuarantineStatus;

    /// Records that a target crashed while it ran the request.
    fn record_crash(
        &mut self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
        crash: ids::CrashId,
    );

    /// Records that a request completed, which clears a suspicion but not a quarantine. Crashes
    /// before that no longer count, also if another process reports them later.
    fn record_completion(&mut self, now: time::Timestamp, fingerprint: work::RequestFingerprint);

    /// Records that a target which was taken for crashed has responded since: the crash counts for
    /// no request, also if another process reports it later.
    fn disprove_crash(&mut self, crash: ids::CrashId);

    /// Merges an entry received from another process.
    fn merge(&mut self, now: time::Timestamp, record: &SuspectRecord);

    /// Returns all entries that have not expired.
    fn records(&self, now: time::Timestamp) -> Vec<SuspectRecord>;

    /// Returns the entries that changed after the first `change_count` changes and have not
    /// expired, and the number of all changes.
    fn records_after(&self, now: time::Timestamp, change_count: u64) -> (Vec<SuspectRecord>, u64);

    /// Returns the entry of a request, unless there is none or it has expired.
    fn record(
        &self,
        now: time::Timestamp,
        fingerprint: work::RequestFingerprint,
    ) -> Option<SuspectRecord>;

    /// Returns a copy that does not share state with this policy, to try a decision on.
    fn boxed_clone(&self) -> Box<dyn QuarantinePolicy>;
}
