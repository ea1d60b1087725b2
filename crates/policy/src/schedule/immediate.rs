//! Immediate admission of all work; the engine itself handles full memory.

use std::collections::HashMap;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;

use super::ScheduleDecision;
use super::SubmittedWork;
use super::WorkOutcome;
use super::WorkScheduler;

/// Baseline scheduler that admits all work in the order of its submission, without a limit.
#[derive(Debug, Default)]
pub struct ImmediateScheduler {
    waiting: Vec<ids::AttemptId>,
    running: HashMap<ids::AttemptId, SubmittedWork>,
    report: engine::EngineReport,
}

impl ImmediateScheduler {
    /// Creates a scheduler without work.
    pub fn new() -> Self {
        Self::default()
    }
}

impl WorkScheduler for ImmediateScheduler {
    fn submit(&mut self, _now: time::Timestamp, work: SubmittedWork) {
        self.waiting.push(work.attempt);
        self.running.insert(work.attempt, work);
    }

    fn record_tokens(&mut self, _now: time::Timestamp, _attempt: ids::AttemptId, _count: u64) {}

    fn end(&mut self, _now: time::Timestamp, attempt: ids::AttemptId, _outcome: WorkOutcome) {
        self.waiting.retain(|waiting| *waiting != attempt);
        self.running.remove(&attempt);
    }

    fn observe_report(&mut self, _now: time::Timestamp, report: &engine::EngineReport) {
        self.report = *report;
    }

    fn observe_cache(&mut self, _now: time::Timestamp, _event: &engine::CacheEvent) {}

    fn decide(&mut self, _now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>) {
        let admitted = self.waiting.drain(..);
        decisions.extend(admitted.map(|attempt| ScheduleDecision::Admit {
            attempt,
            prefill_chunk: None,
        }));
    }

    fn summarize(&self, _now: time::Timestamp) -> load::LoadSummary {
        load::LoadSummary {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            memory_total: self.report.memory_total,
            memory_used: self.report.memory_used,
            memory_forecast: self.report.memory_used,
            ..load::LoadSummary::default()
        }
    }
}
