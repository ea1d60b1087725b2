//! First-in, first-out admission up to a number of concurrent calls.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;

use super::ScheduleDecision;
use super::SubmittedWork;
use super::WorkOutcome;
use super::WorkScheduler;

/// Concurrent calls until the document sets a limit.
const DEFAULT_CONCURRENCY: u32 = 16;

/// Retry delay returned to callers of overdue work.
const OVERDUE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Scheduler of a plain service, which has no key-value memory to forecast.
#[derive(Debug)]
pub struct ConcurrentScheduler {
    max_concurrent_calls: u32,
    waiting: VecDeque<SubmittedWork>,
    running: BTreeSet<ids::AttemptId>,
}

impl ConcurrentScheduler {
    /// Creates a scheduler without work and with the default limit.
    pub fn new() -> Self {
        Self {
            max_concurrent_calls: DEFAULT_CONCURRENCY,
            waiting: VecDeque::new(),
            running: BTreeSet::new(),
        }
    }

    fn refuse_overdue(&mut self, now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>) {
        self.waiting.retain(|work| {
            let is_overdue = now > work.start_by;
            if is_overdue {
                decisions.push(ScheduleDecision::Refuse {
                    attempt: work.attempt,
                    retry_after: OVERDUE_RETRY_AFTER,
                });
            }
            !is_overdue
        });
    }
}

impl Default for ConcurrentScheduler {
    fn default() -> Self {
        Self::new()
    }
}

impl WorkScheduler for ConcurrentScheduler {
    fn submit(&mut self, _now: time::Timestamp, work: SubmittedWork) {
        self.waiting.push_back(work);
    }

    fn record_tokens(&mut self, _now: time::Timestamp, _attempt: ids::AttemptId, _count: u64) {}

    fn end(&mut self, _now: time::Timestamp, attempt: ids::AttemptId, _outcome: WorkOutcome) {
        self.waiting.retain(|work| work.attempt != attempt);
        self.running.remove(&attempt);
    }

    fn observe_report(&mut self, _now: time::Timestamp, _report: &engine::EngineReport) {}

    fn observe_cache(&mut self, _now: time::Timestamp, _event: &engine::CacheEvent) {}

    fn set_concurrency(&mut self, calls: u32) {
        self.max_concurrent_calls = calls;
    }

    fn decide(&mut self, now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>) {
        self.refuse_overdue(now, decisions);

        while self.running.len() < self.max_concurrent_calls as usize {
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            self.running.insert(work.attempt);
            decisions.push(ScheduleDecision::Admit {
                attempt: work.attempt,
                prefill_chunk: None,
            });
        }
    }

    fn summarize(&self, _now: time::Timestamp) -> load::LoadSummary {
        load::LoadSummary {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            ..load::LoadSummary::default()
        }
    }
}
