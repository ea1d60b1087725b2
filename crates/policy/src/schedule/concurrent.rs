//! First in, first admitted, up to a number of calls at a time.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use kingcupfall_core::engine;
use kingcupfall_core::ids;
use kingcupfall_core::load;
use kingcupfall_core::time;

use super::ScheduleDecision;
use super::WorkEnd;
use super::WorkScheduler;
use super::WorkTicket;

/// Calls at a time before the document says how many.
const DEFAULT_CONCURRENCY: u32 = 16;

/// Wait that callers of overdue work are told.
const OVERDUE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Scheduler of a plain service, which holds no memory to forecast.
#[derive(Debug)]
pub struct ConcurrentScheduler {
    concurrency: u32,
    waiting: VecDeque<WorkTicket>,
    running: BTreeSet<ids::AttemptId>,
}

impl ConcurrentScheduler {
    /// Makes a scheduler with nothing to do.
    pub fn new() -> Self {
        Self {
            concurrency: DEFAULT_CONCURRENCY,
            waiting: VecDeque::new(),
            running: BTreeSet::new(),
        }
    }

    fn refuse_overdue(&mut self, now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>) {
        self.waiting.retain(|ticket| {
            let is_overdue = now > ticket.start_by;
            if is_overdue {
                decisions.push(ScheduleDecision::Refuse {
                    attempt: ticket.attempt,
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
    fn submit(&mut self, _now: time::Timestamp, ticket: WorkTicket) {
        self.waiting.push_back(ticket);
    }

    fn record_tokens(&mut self, _now: time::Timestamp, _attempt: ids::AttemptId, _count: u64) {}

    fn end(&mut self, _now: time::Timestamp, attempt: ids::AttemptId, _end: WorkEnd) {
        self.waiting.retain(|ticket| ticket.attempt != attempt);
        self.running.remove(&attempt);
    }

    fn observe_report(&mut self, _now: time::Timestamp, _report: &engine::EngineReport) {}

    fn observe_cache(&mut self, _now: time::Timestamp, _event: &engine::CacheEvent) {}

    fn set_concurrency(&mut self, calls: u32) {
        self.concurrency = calls;
    }

    fn decide(&mut self, now: time::Timestamp, decisions: &mut Vec<ScheduleDecision>) {
        self.refuse_overdue(now, decisions);

        while self.running.len() < self.concurrency as usize {
            let Some(ticket) = self.waiting.pop_front() else {
                return;
            };
            self.running.insert(ticket.attempt);
            decisions.push(ScheduleDecision::Admit {
                attempt: ticket.attempt,
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
