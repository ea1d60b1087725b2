//! Quarantine policy that never suspects a request.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::QuarantinePolicy;
use super::QuarantineStatus;
use super::SuspectRecord;

/// Baseline policy that records no crashes and reports every request as clear.
#[derive(Debug, Default, Clone)]
pub struct NoQuarantine;

impl QuarantinePolicy for NoQuarantine {
    fn status(
        &mut self,
        _now: time::Timestamp,
        _fingerprint: work::RequestFingerprint,
    ) -> QuarantineStatus {
        QuarantineStatus::Clear
    }

    fn record_crash(
        &mut self,
        _now: time::Timestamp,
        _fingerprint: work::RequestFingerprint,
        _crash: ids::CrashId,
    ) {
    }

    fn record_completion(&mut self, _now: time::Timestamp, _fingerprint: work::RequestFingerprint) {
    }

    fn disprove_crash(&mut self, _crash: ids::CrashId) {}

    fn merge(&mut self, _now: time::Timestamp, _record: &SuspectRecord) {}

    fn records(&self, _now: time::Timestamp) -> Vec<SuspectRecord> {
        Vec::new()
    }

    fn records_after(
        &self,
        _now: time::Timestamp,
        _change_count: u64,
    ) -> (Vec<SuspectRecord>, u64) {
        (Vec::new(), 0)
    }

    fn record(
        &self,
        _now: time::Timestamp,
        _fingerprint: work::RequestFingerprint,
    ) -> Option<SuspectRecord> {
        None
    }

    fn boxed_clone(&self) -> Box<dyn QuarantinePolicy> {
        Box::new(self.clone())
    }
}
