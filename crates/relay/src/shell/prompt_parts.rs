//! Writes to the log which prompts were lost in crashes, and which parts of prompts are refused.

use kingcupfall_core::ids;
use kingcupfall_policy::quarantine;

use super::directory_events;
use super::state::RelayState;
use crate::dispatch;
use crate::telemetry;

/// Maximum number of prompts that a record names: as many as a target has just begun to run.
const MAX_NAMED_PROMPTS: usize = 16;

/// Writes the prompts that may have caused the crash of a target to the log.
pub(super) fn record_lost_prompts(
    state: &RelayState,
    target: &ids::TargetName,
    prompts: &[quarantine::LostPrompt],
) {
    state.metrics.record_prompt_crash();
    let named = prompts.iter().take(MAX_NAMED_PROMPTS).map(|prompt| {
        let parts: Vec<_> = prompt.parts.iter().map(ToString::to_string).collect();
        parts.join(",")
    });
    let named: Vec<_> = named.collect();
    let record = telemetry::DecisionRecord::new(telemetry::RecordKind::PromptsLost)
        .target(target)
        .prompts(&named.join(";"))
        .count(prompts.len() as u64);
    state.record(&record);
}

/// Writes changed standings of prompt parts to the log.
pub(super) fn record_changes(
    state: &RelayState,
    changes: &[quarantine::PartChange],
    source: &dispatch::PartSource,
) {
    for change in changes {
        let (kind, label) = match change.standing {
            quarantine::PartStanding::Suspected => {
                (telemetry::RecordKind::PartSuspected, "suspected")
            }
            quarantine::PartStanding::Quarantined => {
                (telemetry::RecordKind::PartQuarantined, "quarantined")
            }
            quarantine::PartStanding::Cleared => (telemetry::RecordKind::PartCleared, "cleared"),
        };
        state.metrics.record_part_change(label);
        let record = telemetry::DecisionRecord::new(kind)
            .part(Some(change.part))
            .count(change.crash_count as u64);
        state.record(&match source {
            dispatch::PartSource::Crash(target) => record.target(target).outcome("crash"),
            dispatch::PartSource::Peer => record.outcome(directory_events::PEER_SOURCE),
            dispatch::PartSource::Response => record.outcome("response"),
            dispatch::PartSource::Time => record.outcome("time"),
        });
    }
}

impl RelayState {
    /// Returns the prompt parts that are quarantined.
    pub fn quarantined_parts(&self) -> Vec<quarantine::PartQuarantine> {
        self.with_dispatcher(|dispatcher, _| dispatcher.quarantined_parts())
    }
}
