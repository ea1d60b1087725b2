//! Policy that never suspects a prompt part.

use kingcupfall_core::ids;
use kingcupfall_core::time;
use kingcupfall_core::work;

use super::LostPrompt;
use super::PartChange;
use super::PartQuarantine;
use super::PromptCrash;
use super::PromptPartPolicy;

/// Baseline policy that records no crashes and quarantines no part.
#[derive(Debug, Default, Clone)]
pub struct NoPartQuarantine;

impl PromptPartPolicy for NoPartQuarantine {
    fn quarantined_part(&self, _parts: &[work::PromptPartId]) -> Option<PartQuarantine> {
        None
    }

    fn quarantined_parts(&self) -> Vec<PartQuarantine> {
        Vec::new()
    }

    fn are_sound(&self, _parts: &[work::PromptPartId]) -> bool {
        true
    }

    fn is_empty(&self) -> bool {
        true
    }

    fn record_crash(
        &mut self,
        _now: time::Timestamp,
        _crash: ids::CrashId,
        _prompts: &[LostPrompt],
    ) -> Option<PromptCrash> {
        None
    }

    fn record_sound_stream(
        &mut self,
        _now: time::Timestamp,
        _parts: &[work::PromptPartId],
        _began_at: time::Timestamp,
    ) -> Vec<PromptCrash> {
        Vec::new()
    }

    fn record_response(
        &mut self,
        _now: time::Timestamp,
        _crash: ids::CrashId,
        _sent_at: time::Timestamp,
    ) -> Option<PromptCrash> {
        None
    }

    fn merge(&mut self, _now: time::Timestamp, _record: &PromptCrash) -> Option<PromptCrash> {
        None
    }

    fn review(&mut self, _now: time::Timestamp) -> Vec<PartChange> {
        Vec::new()
    }

    fn records_after(&self, _now: time::Timestamp, _change_count: u64) -> (Vec<PromptCrash>, u64) {
        (Vec::new(), 0)
    }

    fn boxed_clone(&self) -> Box<dyn PromptPartPolicy> {
        Box::new(self.clone())
    }
}
