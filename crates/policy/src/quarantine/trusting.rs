//! Holds nothing against any request.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::QuarantinePolicy;
use super::SuspectRecord;
use super::SuspectVerdict;

/// Quarantine that is always empty.
#[derive(Debug, Default)]
pub struct TrustingQuarantine;

impl QuarantinePolicy for TrustingQuarantine {
    fn judge(
        &mut self,
        _now: time::Timestamp,
        _fingerprint: work::RequestFingerprint,
    ) -> SuspectVerdict {
        SuspectVerdict::Clear
    }

    fn record_crash(
        &mut self,
        _now: time::Timestamp,
        _fingerprint: work::RequestFingerprint,
        _attempt: ids::AttemptId,
    ) {
    }

    fn record_completion(&mut self, _now: time::Timestamp, _fingerprint: work::RequestFingerprint) {
    }

    fn merge(&mut self, _now: time::Timestamp, _record: &SuspectRecord) {}

    fn records(&self, _now: time::Timestamp) -> Vec<SuspectRecord> {
        Vec::new()
    }
}
